// Sections
//   1. table store
//   2. VM list with lag
//   3. JSON bodies
//   4. HTTP service
#include "fakes/fake_platform.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>

#include "core/base64.h"
#include "core/log.h"
#include "persimmon/records.h"

namespace persimmon::fakes {
namespace {

using json = nlohmann::json;

constexpr milliseconds kSilencePollInterval(5);
constexpr std::size_t kMaxVmSnapshots = 4096;
constexpr std::size_t kMaxTransactionBytes = 16U << 20U;
constexpr std::uint32_t kMaxFaultValue = 3'600'000;
constexpr std::size_t kMaxTransactionEntries = 100;
constexpr std::size_t kMaxPageRows = 500;           // rows per read
constexpr std::size_t kMaxHistoryEntries = 10'000;  // changes that a feed can resume from
constexpr milliseconds kMaxFeedWait(30'000);
constexpr milliseconds kFeedPollInterval(5);
constexpr milliseconds kExpiryCheckPeriod(50);
constexpr const char* kEndpointTable = "servers";

const logger& Log() {
  static const logger log("fakes.platform");
  return log;
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. table store
// ---------------------------------------------------------------------------------------------------------------------

namespace {

// True if the entry of an endpoint is written again with no other change than its count of reports. Such a write is no
// change of the table.
bool IsRepeatedReport(const row_id& id, const std::string& before, const std::string& after) {
  json old_entry = id.table == kEndpointTable ? json::parse(before, nullptr, false) : json();
  json new_entry = id.table == kEndpointTable ? json::parse(after, nullptr, false) : json();
  if (!old_entry.is_object() || !new_entry.is_object()) {
    return false;
  }
  old_entry.erase("seq");
  new_entry.erase("seq");
  return old_entry == new_entry;
}

}  // namespace

std::optional<stored_row> table_store::Read(const row_id& id) const {
  const auto found = rows_.find(id);
  return found == rows_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::pair<row_id, stored_row>> table_store::ReadRange(const std::string& table, const std::string& from,
                                                                  const std::string& to) const {
  std::vector<std::pair<row_id, stored_row>> rows;
  for (auto row = rows_.lower_bound({table, from}); row != rows_.end(); ++row) {
    if (row->first.table != table || (!to.empty() && row->first.key >= to)) {
      break;
    }
    rows.emplace_back(*row);
  }
  return rows;
}

std::vector<row_id> table_store::Commit(const std::vector<row_write>& writes) {
  std::vector<row_id> conflicts;
  for (const row_write& write : writes) {
    const auto row = Read(write.id);
    const bool absence_met = !write.if_absent || !row;
    const bool version_met = !write.if_version || (row ? row->version : 0) == *write.if_version;
    if (!absence_met || !version_met) {
      conflicts.push_back(write.id);
    }
  }
  if (!conflicts.empty()) {
    return conflicts;
  }
  ++last_version_;
  for (const row_write& write : writes) {
    if (write.check_only) {
      continue;
    }
    if (write.value) {
      const auto row = rows_.find(write.id);
      if (row != rows_.end() && IsRepeatedReport(write.id, row->second.value, *write.value)) {
        row->second.value = *write.value;
        continue;
      }
      rows_[write.id] = {*write.value, last_version_};
    } else {
      rows_.erase(write.id);
    }
    history_.emplace_back(last_version_, write.id);
  }
  while (history_.size() > kMaxHistoryEntries) {
    discarded_version_ = history_.front().first;
    history_.pop_front();
  }
  return {};
}

std::optional<std::vector<row_id>> table_store::ChangesAfter(const std::string& table, std::uint64_t version) const {
  if (version < discarded_version_ || version > last_version_) {
    return std::nullopt;
  }
  std::vector<row_id> changed;
  for (const auto& [changed_at, id] : history_) {
    if (changed_at > version && id.table == table) {
      std::erase(changed, id);
      changed.push_back(id);
    }
  }
  return changed;
}

void table_store::SaveCopy() {
  copy_.reset();
  copy_ = std::make_shared<const table_store>(*this);
}

void table_store::Restore() {
  const auto copy = copy_ ? copy_ : std::make_shared<const table_store>();
  const std::uint64_t next_era = era_ + 1;
  *this = *copy;
  copy_ = copy;
  era_ = next_era;
}

void table_store::DropHistory() {
  discarded_version_ = last_version_;
  history_.clear();
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. VM list with lag
// ---------------------------------------------------------------------------------------------------------------------

void vm_table::Put(const std::string& name, const vm_row& row, time_point now) {
  snapshot next{now, history_.empty() ? std::map<std::string, vm_row>() : history_.back().rows};
  next.rows[name] = row;
  history_.push_back(std::move(next));
  if (history_.size() > kMaxVmSnapshots) {
    history_.pop_front();
  }
}

std::map<std::string, vm_row> vm_table::List(time_point now, milliseconds lag) const {
  const auto newer =
      std::find_if(history_.begin(), history_.end(), [&](const snapshot& item) { return item.since > now - lag; });
  return newer == history_.begin() ? std::map<std::string, vm_row>() : std::prev(newer)->rows;
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. JSON bodies
// ---------------------------------------------------------------------------------------------------------------------

namespace {

http_response BadRequest(const std::string& message) { return JsonResponse(400, json{{"error", message}}.dump()); }

json ParseBody(const std::string& body) { return json::parse(body, nullptr, false); }

bool HasString(const json& object, const char* field) {
  return object.is_object() && object.contains(field) && object[field].is_string();
}

json RowToJson(const row_id& id, const std::optional<stored_row>& row) {
  json value = {{"table", id.table}, {"part", ""}, {"key", id.key}, {"ver", row ? row->version : 0}};
  if (row) {
    value["value"] = EncodeBase64(row->value);
  }
  return value;
}

// Reads table and key of one entry of a transaction. A malformed entry must reject the whole transaction: ignoring a
// condition would cause lost updates.
result<row_id> ParseRowId(const json& item) {
  if (!HasString(item, "table") || !HasString(item, "key")) {
    return error{error_code::kInvalid, "an entry needs the string fields table and key"};
  }
  return row_id{item["table"], item["key"]};
}

result<std::vector<row_write>> ParseWrites(const json& body) {
  if (!body.is_object()) {
    return error{error_code::kInvalid, "the body is not a JSON object"};
  }
  std::map<row_id, row_write> writes;
  for (const char* list : {"puts", "remove"}) {
    for (const json& item : body.value(list, json::array())) {
      auto id = ParseRowId(item);
      if (!id) {
        return id.error();
      }
      row_write write{id.value(), std::nullopt, false, std::nullopt};
      if (list == std::string_view("puts")) {
        auto value = HasString(item, "value") ? DecodeBase64(item["value"].get<std::string>()) : std::nullopt;
        if (!value) {
          return error{error_code::kInvalid, "value is not valid base64"};
        }
        write.value = std::move(*value);
      }
      if (!writes.emplace(id.value(), std::move(write)).second) {
        return error{error_code::kInvalid,
                     fmt::format("row {}/{} appears more than once", id.value().table, id.value().key)};
      }
    }
  }
  std::vector<row_write> ordered;
  for (const json& item : body.value("expected", json::array())) {
    auto id = ParseRowId(item);
    if (!id || !item.contains("ver") || !item["ver"].is_number_unsigned()) {
      return error{error_code::kInvalid,
                   "an expected row needs the string fields table and key and the unsigned integer ver"};
    }
    row_write check{id.value(), std::nullopt, false, item["ver"].get<std::uint64_t>(), true};
    const auto written = writes.find(id.value());
    if (written == writes.end()) {
      ordered.push_back(std::move(check));
    } else {
      written->second.if_version = check.if_version;
    }
  }
  for (auto& [id, write] : writes) {
    ordered.push_back(std::move(write));
  }
  if (ordered.empty() || ordered.size() > kMaxTransactionEntries) {
    return error{error_code::kInvalid, fmt::format("a transaction must have 1 to {} entries", kMaxTransactionEntries)};
  }
  return ordered;
}

template <class number>
bool ReadUnsigned(const json& body, const char* field, number& target) {
  if (!body.contains(field)) {
    return true;
  }
  if (!body[field].is_number_unsigned() || body[field].get<std::uint64_t>() > kMaxFaultValue) {
    return false;
  }
  target = number(body[field].get<std::uint32_t>());
  return true;
}

struct parsed_target {
  std::vector<std::string> path;             // decoded segments
  std::map<std::string, std::string> query;  // decoded values by name

  bool operator==(const parsed_target&) const = default;
};

result<std::map<std::string, std::string>> ParseQuery(std::string_view query) {
  std::map<std::string, std::string> values;
  while (!query.empty()) {
    const auto end = query.find('&');
    const std::string_view item = query.substr(0, end);
    query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    const auto equals = item.find('=');
    auto value = PercentDecode(equals == std::string_view::npos ? std::string_view() : item.substr(equals + 1));
    if (!value) {
      return value.error();
    }
    values[std::string(item.substr(0, equals))] = std::move(value.value());
  }
  return values;
}

result<parsed_target> ParseTarget(std::string_view target) {
  parsed_target parts;
  const auto query_start = target.find('?');
  std::string_view path = target.substr(0, query_start);
  if (query_start != std::string_view::npos) {
    auto query = ParseQuery(target.substr(query_start + 1));
    if (!query) {
      return query.error();
    }
    parts.query = std::move(query.value());
  }
  while (!path.empty()) {
    path.remove_prefix(1);
    const auto slash = path.find('/');
    auto segment = PercentDecode(path.substr(0, slash));
    if (!segment) {
      return segment.error();
    }
    parts.path.push_back(segment.value());
    path = slash == std::string_view::npos ? std::string_view() : path.substr(slash);
  }
  return parts;
}

// An unsigned integer parameter of the query; nullopt if it is absent or malformed.
std::optional<std::uint64_t> QueryNumber(const parsed_target& target, const std::string& name) {
  const auto found = target.query.find(name);
  std::uint64_t number = 0;
  if (found == target.query.end() ||
      std::from_chars(found->second.data(), found->second.data() + found->second.size(), number).ec != std::errc{}) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

result<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded.push_back(text[i]);
      continue;
    }
    unsigned code = 0;
    const char* begin = text.data() + i + 1;
    const bool has_two_digits = i + 2 < text.size();
    if (!has_two_digits || std::from_chars(begin, begin + 2, code, 16).ptr != begin + 2) {
      return error{error_code::kInvalid, "the request target has an invalid percent-encoding"};
    }
    decoded.push_back(static_cast<char>(code));
    i += 2;
  }
  return decoded;
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. HTTP service
// ---------------------------------------------------------------------------------------------------------------------

fake_platform::fake_platform(asio::io_context& context, host_port listen)
    : timers_(context),
      server_(context, std::move(listen), http_limits{.body_bytes = kMaxTransactionBytes},
              [this](std::shared_ptr<http_exchange> exchange) { return Handle(std::move(exchange)); }) {}

result<void> fake_platform::Start() {
  if (entry_expiry_.count() > 0) {
    expiry_timer_ = timers_.SubscribeEvery(kExpiryCheckPeriod, 0, [this] { RemoveExpiredEntries(); });
  }
  return server_.Start();
}

void fake_platform::Stop() {
  expiry_timer_.Cancel();
  server_.Stop();
}

void fake_platform::RecordReports(const std::vector<row_write>& writes) {
  for (const row_write& write : writes) {
    if (write.id.table == kEndpointTable && write.value) {
      last_reports_[write.id] = timer_service::Now();
    }
  }
}

void fake_platform::RemoveExpiredEntries() {
  const time_point oldest = timer_service::Now() - entry_expiry_;
  for (const auto& [id, row] : tables_.ReadRange(kEndpointTable, {}, {})) {
    // A restored entry counts as reported when it is first seen.
    const auto report = last_reports_.try_emplace(id, timer_service::Now()).first;
    if (report->second < oldest) {
      tables_.Commit({{id, std::nullopt, false, std::nullopt}});
      last_reports_.erase(report);
    }
  }
}

result<void> fake_platform::Preload(const std::string& text) {
  auto records = SplitRecords(text);
  if (!records) {
    return records.error();
  }
  std::vector<row_write> writes;
  for (const std::string& item : records.value()) {
    auto key = RecordKey(item);
    if (!key) {
      return key.error();
    }
    auto stored = ReplaceRecord({}, item, 1);
    if (!stored) {
      return stored.error();
    }
    writes.push_back({{"config", key.value()}, stored.value(), false, std::nullopt});
  }
  writes.push_back({{"config", "head"}, R"({"revision":1})", false, std::nullopt});
  tables_.Commit(writes);
  return outcome::success();
}

task<> fake_platform::Handle(std::shared_ptr<http_exchange> exchange) {
  const http_request& request = exchange->Request();
  const bool is_control = request.target == "/faults" || request.target == "/counters";
  if (!is_control) {
    if (faults_.delay.count() > 0) {
      const milliseconds delay = faults_.delay;
      ++counters_.waiting;
      co_await timers_.Sleep(delay);
      --counters_.waiting;
    }
    while (faults_.silent && !exchange->IsDisconnected()) {
      co_await timers_.Sleep(kSilencePollInterval);
    }
    if (!faults_.refused_path.empty() && request.target.starts_with(faults_.refused_path)) {
      ++counters_.refused;
      http_response refused{faults_.refused_status, {{"Store-Era", std::to_string(tables_.Era())}}, {}};
      (void)co_await exchange->Respond(std::move(refused));
      co_return;
    }
    if (faults_.late_writes > 0 && request.target == "/rows-tx") {
      --faults_.late_writes;
      const std::string body = request.body.Text();
      exchange->AbortStream();
      co_await timers_.Sleep(faults_.write_lag);
      (void)CommitTransaction(body);
      co_return;
    }
    if (faults_.outage) {
      ++counters_.refused;
      exchange->AbortStream();
      co_return;
    }
  }
  const std::uint64_t committed_before = counters_.transactions;
  http_response response;
  if (request.target.starts_with("/rows-feed?")) {
    ++counters_.feeds;
    response = co_await ReadFeed(request);
  } else {
    response = RouteRequest(request);
  }
  if (counters_.transactions != committed_before && faults_.lose_replies > 0) {
    --faults_.lose_replies;
    ++counters_.lost_replies;
    exchange->AbortStream();
    co_return;
  }
  response.headers.push_back({"Store-Era", std::to_string(tables_.Era())});
  // A failed write means that the caller has disconnected, so there is nobody to report it to.
  (void)co_await exchange->Respond(std::move(response));
}

http_response fake_platform::RouteRequest(const http_request& request) {
  auto target = ParseTarget(request.target);
  if (!target) {
    return BadRequest(target.error().message);
  }
  const auto& path = target.value().path;
  const bool is_get = request.method == "GET";
  if (is_get && path.size() == 1 && path[0] == "rows-get") {
    return ReadRows(target.value().query);
  }
  if (request.method == "POST" && request.target == "/rows-tx") {
    return CommitTransaction(request.body.Text());
  }
  if (is_get && request.target == "/vms") {
    return ListVms();
  }
  if (request.method == "PUT" && path.size() == 2 && path[0] == "vms") {
    return PutVm(path[1], request.body.Text());
  }
  if (request.method == "POST" && request.target == "/faults") {
    return SetFaults(request.body.Text());
  }
  if (is_get && request.target == "/counters") {
    return ReportCounters();
  }
  return JsonResponse(404, json{{"error", "no such path"}}.dump());
}

http_response fake_platform::ReadRows(const std::map<std::string, std::string>& query) {
  ++counters_.reads;
  const auto parameter = [&query](const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  };
  json rows = json::array();
  bool has_more = false;
  for (const auto& [id, row] : tables_.ReadRange(parameter("table"), parameter("from"), parameter("to"))) {
    has_more = rows.size() == kMaxPageRows;
    if (has_more) {
      break;
    }
    rows.push_back(RowToJson(id, row));
  }
  const json body = {{"rows", std::move(rows)}, {"has_more", has_more}, {"ver", tables_.Version()}, {"now_ms", 0}};
  return JsonResponse(200, body.dump());
}

task<http_response> fake_platform::ReadFeed(const http_request& request) {
  auto target = ParseTarget(request.target);
  const auto after = target ? QueryNumber(target.value(), "after") : std::nullopt;
  const auto wait = target ? QueryNumber(target.value(), "wait_ms") : std::nullopt;
  if (!after || !wait || !target.value().query.contains("table")) {
    co_return BadRequest("a feed request needs the parameters table, after and wait_ms");
  }
  ++counters_.reads;
  const std::string table = target.value().query.at("table");
  const std::uint64_t era = tables_.Era();
  const time_point end = timer_service::Now() + std::min(milliseconds(*wait), kMaxFeedWait);
  while (true) {
    const auto changes = tables_.ChangesAfter(table, *after);
    if (!changes || tables_.Era() != era) {
      co_return JsonResponse(410, json{{"error", "the history after this version is no longer available"}}.dump());
    }
    if (!changes->empty() || timer_service::Now() >= end) {
      json rows = json::array();
      for (const row_id& id : *changes) {
        const auto row = tables_.Read(id);
        json item = RowToJson(id, row);
        if (!row) {
          item["deleted"] = true;
        }
        rows.push_back(std::move(item));
      }
      const json body = {{"rows", std::move(rows)}, {"ver", tables_.Version()}, {"now_ms", 0}};
      co_return JsonResponse(200, body.dump());
    }
    co_await timers_.Sleep(kFeedPollInterval);
  }
}

http_response fake_platform::CommitTransaction(const std::string& body) {
  auto writes = ParseWrites(ParseBody(body));
  if (!writes) {
    return BadRequest(writes.error().message);
  }
  const auto conflicts = tables_.Commit(writes.value());
  if (conflicts.empty()) {
    ++counters_.transactions;
    RecordReports(writes.value());
    return JsonResponse(200, json{{"ver", tables_.Version()}, {"now_ms", 0}}.dump());
  }
  ++counters_.conflicts;
  json rows = json::array();
  for (const row_write& write : writes.value()) {
    if (write.if_version) {
      rows.push_back(RowToJson(write.id, tables_.Read(write.id)));
    }
  }
  return JsonResponse(412, json{{"rows", std::move(rows)}, {"ver", tables_.Version()}, {"now_ms", 0}}.dump());
}

http_response fake_platform::ListVms() const {
  json list = json::array();
  for (const auto& [name, row] : vms_.List(timer_service::Now(), faults_.vm_lag)) {
    list.push_back(
        {{"name", name}, {"role", row.role}, {"address", row.address}, {"zone", row.zone}, {"state", row.state}});
  }
  return JsonResponse(200, json{{"vms", std::move(list)}}.dump());
}

http_response fake_platform::PutVm(const std::string& name, const std::string& body) {
  const json value = ParseBody(body);
  if (!HasString(value, "role") || !HasString(value, "address") || !HasString(value, "zone") ||
      !HasString(value, "state")) {
    return BadRequest("a VM needs the string fields role, address, zone and state");
  }
  const vm_row row{value["role"], value["address"], value["zone"], value["state"]};
  const bool role_is_known = row.role == "router" || row.role == "endpoint";
  const bool state_is_known = row.state == "live" || row.state == "leaving" || row.state == "gone";
  if (!role_is_known || !state_is_known) {
    return BadRequest("role must be router or endpoint; state must be live, leaving or gone");
  }
  vms_.Put(name, row, timer_service::Now());
  return JsonResponse(200, json{{"name", name}}.dump());
}

http_response fake_platform::SetFaults(const std::string& body) {
  const json value = ParseBody(body);
  if (!value.is_object()) {
    return BadRequest("the body is not a JSON object");
  }
  for (const auto& [name, unused] : value.items()) {
    if (name != "outage" && name != "silent" && name != "refused_path" && name != "delay_ms" &&
        name != "lose_replies" && name != "vm_lag_ms" && name != "save_copy" && name != "restore") {
      return BadRequest("unknown fault '" + name + "'");
    }
  }
  platform_faults next = faults_;
  for (const char* name : {"save_copy", "restore"}) {
    if (value.contains(name) && !value[name].is_boolean()) {
      return BadRequest(fmt::format("{} must be true or false", name));
    }
  }
  for (const auto& [name, target] : {std::pair("outage", &next.outage), std::pair("silent", &next.silent)}) {
    if (value.contains(name) && !value[name].is_boolean()) {
      return BadRequest(fmt::format("{} must be true or false", name));
    }
    *target = value.value(name, *target);
  }
  if (value.contains("refused_path") && !value["refused_path"].is_string()) {
    return BadRequest("refused_path must be a string");
  }
  next.refused_path = value.value("refused_path", next.refused_path);
  if (!ReadUnsigned(value, "delay_ms", next.delay) || !ReadUnsigned(value, "lose_replies", next.lose_replies) ||
      !ReadUnsigned(value, "vm_lag_ms", next.vm_lag)) {
    return BadRequest(
        fmt::format("delay_ms, lose_replies and vm_lag_ms must be integers from 0 to {}", kMaxFaultValue));
  }
  if (value.value("save_copy", false)) {
    tables_.SaveCopy();
  }
  if (value.value("restore", false)) {
    tables_.Restore();
    Log().Info("Restored from the saved copy: era {}, version {}.", tables_.Era(), tables_.Version());
  }
  faults_ = next;
  Log().Info("Faults changed: outage {}, delay {} ms, replies to lose {}, VM lag {} ms.", faults_.outage,
             faults_.delay.count(), faults_.lose_replies, faults_.vm_lag.count());
  return JsonResponse(200, "{}");
}

http_response fake_platform::ReportCounters() const {
  const json counts = {{"reads", counters_.reads},
                       {"transactions", counters_.transactions},
                       {"conflicts", counters_.conflicts},
                       {"lost_replies", counters_.lost_replies},
                       {"refused", counters_.refused}};
  return JsonResponse(200, counts.dump());
}

}  // namespace persimmon::fakes
