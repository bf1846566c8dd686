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

#include "core/log.h"
#include "persimmon/records.h"

namespace persimmon::fakes {
namespace {

using json = nlohmann::json;

constexpr std::size_t kMaxVmHistory = 4096;
constexpr std::size_t kMaxTransactionBytes = 16U << 20U;
constexpr std::uint32_t kMaxFaultCount = 3'600'000;

const logger& Log() {
  static const logger log("fakes.platform");
  return log;
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. table store
// ---------------------------------------------------------------------------------------------------------------------

std::optional<stored_row> table_store::Read(const row_id& id) const {
  const auto found = rows_.find(id);
  return found == rows_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::pair<row_id, stored_row>> table_store::ReadPrefix(const std::string& table,
                                                                   const std::string& prefix) const {
  std::vector<std::pair<row_id, stored_row>> rows;
  for (auto row = rows_.lower_bound({table, prefix}); row != rows_.end(); ++row) {
    if (row->first.table != table || !row->first.key.starts_with(prefix)) {
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
    const bool absent_holds = !write.if_absent || !row;
    const bool version_holds = !write.if_version || (row ? row->version : 0) == *write.if_version;
    if (!absent_holds || !version_holds) {
      conflicts.push_back(write.id);
    }
  }
  if (!conflicts.empty()) {
    return conflicts;
  }
  for (const row_write& write : writes) {
    if (write.value) {
      rows_[write.id] = {*write.value, ++last_version_};
    } else {
      rows_.erase(write.id);
    }
  }
  return {};
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. VM list with lag
// ---------------------------------------------------------------------------------------------------------------------

void vm_table::Put(const std::string& name, const vm_row& row, time_point now) {
  snapshot next{now, history_.empty() ? std::map<std::string, vm_row>() : history_.back().rows};
  next.rows[name] = row;
  history_.push_back(std::move(next));
  if (history_.size() > kMaxVmHistory) {
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

bool IsText(const json& object, const char* field) {
  return object.is_object() && object.contains(field) && object[field].is_string();
}

json RowJson(const row_id& id, const std::optional<stored_row>& row) {
  json value = {{"table", id.table}, {"key", id.key}, {"version", row ? row->version : 0}};
  value["value"] = row ? json(row->value) : json(nullptr);
  return value;
}

// Reads one write of a transaction. An unclear write is refused as a whole: a dropped condition would lose updates.
result<row_write> ReadWrite(const json& item) {
  if (!IsText(item, "table") || !IsText(item, "key")) {
    return error{error_code::kInvalid, "a write needs the texts table and key"};
  }
  row_write write{{item["table"], item["key"]}, std::nullopt, false, std::nullopt};
  const bool deletes = item.contains("delete") && item["delete"] == json(true);
  if (deletes == item.contains("value")) {
    return error{error_code::kInvalid, "a write needs either value or delete: true"};
  }
  if (!deletes) {
    if (!item["value"].is_string() || !json::accept(item["value"].get<std::string>())) {
      return error{error_code::kInvalid, "value is not a JSON text"};
    }
    write.value = item["value"].get<std::string>();
  }
  if (!item.contains("if")) {
    return write;
  }
  const json& condition = item["if"];
  if (condition == json{{"absent", true}}) {
    write.if_absent = true;
  } else if (condition.is_object() && condition.size() == 1 && condition.contains("version") &&
             condition["version"].is_number_unsigned()) {
    write.if_version = condition["version"].get<std::uint64_t>();
  } else {
    return error{error_code::kInvalid, "if is neither absent: true nor version: N"};
  }
  return write;
}

result<std::vector<row_write>> ReadWrites(const json& body) {
  if (!body.is_object() || !body.contains("writes") || !body["writes"].is_array() || body["writes"].empty()) {
    return error{error_code::kInvalid, "the body needs a list of writes"};
  }
  std::vector<row_write> writes;
  std::set<row_id> rows;
  for (const json& item : body["writes"]) {
    auto write = ReadWrite(item);
    if (!write) {
      return write.error();
    }
    const row_id& id = write.value().id;
    if (!rows.insert(id).second) {
      return error{error_code::kInvalid, fmt::format("row {}/{} stands twice", id.table, id.key)};
    }
    writes.push_back(std::move(write.value()));
  }
  return writes;
}

template <class number>
bool ReadCount(const json& body, const char* field, number& target) {
  if (!body.contains(field)) {
    return true;
  }
  if (!body[field].is_number_unsigned() || body[field].get<std::uint64_t>() > kMaxFaultCount) {
    return false;
  }
  target = number(body[field].get<std::uint32_t>());
  return true;
}

struct target_parts {
  std::vector<std::string> path;  // decoded segments
  std::string prefix;             // value of ?prefix=

  bool operator==(const target_parts&) const = default;
};

result<target_parts> SplitTarget(std::string_view target) {
  target_parts parts;
  const auto mark = target.find('?');
  std::string_view path = target.substr(0, mark);
  if (mark != std::string_view::npos) {
    const std::string_view query = target.substr(mark + 1);
    if (!query.starts_with("prefix=") || query.find('&') != std::string_view::npos) {
      return error{error_code::kInvalid, "the only query is ?prefix=P"};
    }
    auto prefix = DecodePercent(query.substr(7));
    if (!prefix) {
      return prefix.error();
    }
    parts.prefix = prefix.value();
  }
  while (!path.empty()) {
    path.remove_prefix(1);
    const auto slash = path.find('/');
    auto segment = DecodePercent(path.substr(0, slash));
    if (!segment) {
      return segment.error();
    }
    parts.path.push_back(segment.value());
    path = slash == std::string_view::npos ? std::string_view() : path.substr(slash);
  }
  return parts;
}

}  // namespace

result<std::string> DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded.push_back(text[i]);
      continue;
    }
    unsigned code = 0;
    const char* begin = text.data() + i + 1;
    const bool whole = i + 2 < text.size();
    if (!whole || std::from_chars(begin, begin + 2, code, 16).ptr != begin + 2) {
      return error{error_code::kInvalid, "the target has an incomplete %XX"};
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

result<void> fake_platform::Start() { return server_.Start(); }

void fake_platform::Stop() { server_.Stop(); }

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
    if (faults_.outage) {
      ++counters_.refused;
      exchange->AbortStream();
      co_return;
    }
  }
  const std::uint64_t committed_before = counters_.transactions;
  http_response response = Answer(request);
  if (counters_.transactions != committed_before && faults_.lose_replies > 0) {
    --faults_.lose_replies;
    ++counters_.lost_replies;
    exchange->AbortStream();
    co_return;
  }
  // A failed write means that the caller has gone; there is nobody to tell.
  (void)co_await exchange->Respond(std::move(response));
}

http_response fake_platform::Answer(const http_request& request) {
  auto target = SplitTarget(request.target);
  if (!target) {
    return BadRequest(target.error().message);
  }
  const auto& path = target.value().path;
  const bool is_get = request.method == "GET";
  if (is_get && path.size() == 4 && path[0] == "tables" && path[2] == "rows") {
    return ReadRow(path[1], path[3]);
  }
  if (is_get && path.size() == 3 && path[0] == "tables" && path[2] == "rows") {
    return ReadRows(path[1], target.value().prefix);
  }
  if (request.method == "POST" && request.target == "/transactions") {
    return Transact(request.body);
  }
  if (is_get && request.target == "/vms") {
    return ListVms();
  }
  if (request.method == "PUT" && path.size() == 2 && path[0] == "vms") {
    return PutVm(path[1], request.body);
  }
  if (request.method == "POST" && request.target == "/faults") {
    return SetFaults(request.body);
  }
  if (is_get && request.target == "/counters") {
    return Counters();
  }
  return JsonResponse(404, json{{"error", "no such path"}}.dump());
}

http_response fake_platform::ReadRow(const std::string& table, const std::string& key) {
  ++counters_.reads;
  const row_id id{table, key};
  const auto row = tables_.Read(id);
  if (!row) {
    return JsonResponse(404, json{{"error", "no such row"}}.dump());
  }
  return JsonResponse(200, RowJson(id, row).dump());
}

http_response fake_platform::ReadRows(const std::string& table, const std::string& prefix) {
  ++counters_.reads;
  json rows = json::array();
  for (const auto& [id, row] : tables_.ReadPrefix(table, prefix)) {
    rows.push_back(RowJson(id, row));
  }
  return JsonResponse(200, json{{"rows", std::move(rows)}}.dump());
}

http_response fake_platform::Transact(const std::string& body) {
  auto writes = ReadWrites(ParseBody(body));
  if (!writes) {
    return BadRequest(writes.error().message);
  }
  const auto conflicts = tables_.Commit(writes.value());
  if (conflicts.empty()) {
    ++counters_.transactions;
    return JsonResponse(200, json{{"committed", true}}.dump());
  }
  ++counters_.conflicts;
  json rows = json::array();
  for (const row_id& id : conflicts) {
    rows.push_back(RowJson(id, tables_.Read(id)));
  }
  return JsonResponse(409, json{{"committed", false}, {"conflicts", std::move(rows)}}.dump());
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
  if (!IsText(value, "role") || !IsText(value, "address") || !IsText(value, "zone") || !IsText(value, "state")) {
    return BadRequest("a VM needs the texts role, address, zone and state");
  }
  const vm_row row{value["role"], value["address"], value["zone"], value["state"]};
  const bool role_is_known = row.role == "router" || row.role == "endpoint";
  const bool state_is_known = row.state == "live" || row.state == "leaving" || row.state == "gone";
  if (!role_is_known || !state_is_known) {
    return BadRequest("role is router or endpoint; state is live, leaving or gone");
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
    if (name != "outage" && name != "delay_ms" && name != "lose_replies" && name != "vm_lag_ms") {
      return BadRequest("unknown fault '" + name + "'");
    }
  }
  platform_faults next = faults_;
  if (value.contains("outage") && !value["outage"].is_boolean()) {
    return BadRequest("outage is true or false");
  }
  next.outage = value.value("outage", next.outage);
  if (!ReadCount(value, "delay_ms", next.delay) || !ReadCount(value, "lose_replies", next.lose_replies) ||
      !ReadCount(value, "vm_lag_ms", next.vm_lag)) {
    return BadRequest(
        fmt::format("delay_ms, lose_replies and vm_lag_ms are whole numbers from 0 to {}", kMaxFaultCount));
  }
  faults_ = next;
  Log().Info("Faults: outage {}, delay {} ms, lost replies {}, VM lag {} ms.", faults_.outage, faults_.delay.count(),
             faults_.lose_replies, faults_.vm_lag.count());
  return JsonResponse(200, "{}");
}

http_response fake_platform::Counters() const {
  const json counts = {{"reads", counters_.reads},
                       {"transactions", counters_.transactions},
                       {"conflicts", counters_.conflicts},
                       {"lost_replies", counters_.lost_replies},
                       {"refused", counters_.refused}};
  return JsonResponse(200, counts.dump());
}

}  // namespace persimmon::fakes
