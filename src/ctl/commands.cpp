// Sections
//   1. output
//   2. files
//   3. records: put, get, list, diff, delete, drain, undrain
//   4. processes: status, wait
//   5. explain
//   6. choice of the subcommand
#include "ctl/commands.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "ctl/explain.h"
#include "ctl/fleet.h"
#include "ctl/record_writer.h"

namespace persimmon {
namespace {

using json = nlohmann::ordered_json;

constexpr milliseconds kRefreshPeriod = milliseconds(500);  // of the VM list and the records while waiting
constexpr milliseconds kCheckPeriod = milliseconds(20);     // of the revisions while waiting
constexpr milliseconds kHeartbeatPeriod = milliseconds(250);

struct command_context {
  asio::io_context& context;
  timer_service timers;
  ctl_options options;
  table_client table;
  platform_client platform;
};

// ---------------------------------------------------------------------------------------------------------------------
// 1. output
// ---------------------------------------------------------------------------------------------------------------------

int ExitCodeOf(const error& failure) {
  switch (failure.code) {
    case error_code::kInvalid:
      return kExitInvalid;
    case error_code::kNotFound:
      return kExitNotFound;
    case error_code::kConflict:
      return kExitConflict;
    case error_code::kTimeout:
      return kExitUnknown;
    default:
      return kExitUnavailable;
  }
}

int Fail(const error& failure) {
  fmt::print(stderr, "persimmonctl: {}\n", failure.message);
  return ExitCodeOf(failure);
}

// A read has no effect, so that no failure of it leaves an unknown outcome.
int FailRead(const error& failure) {
  fmt::print(stderr, "persimmonctl: cannot read from the platform: {}\n", failure.message);
  return kExitUnavailable;
}

int FailUsage(const std::string& message) { return Fail({error_code::kInvalid, message + "; see --help"}); }

// Prints rows with aligned columns.
void PrintTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += fmt::format("{:<{}}  ", row[i], widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    fmt::print("{}\n", line);
  }
}

void PrintDifferences(std::FILE* stream, const std::string& key, const std::vector<record_difference>& differences) {
  for (const record_difference& item : differences) {
    fmt::print(stream, "{}: {}: {} -> {}\n", key, item.field, item.left.empty() ? "(absent)" : item.left,
               item.right.empty() ? "(absent)" : item.right);
  }
}

json DifferencesJson(const std::vector<record_difference>& differences) {
  json list = json::array();
  for (const record_difference& item : differences) {
    list.push_back({{"field", item.field}, {"stored", item.left}, {"wanted", item.right}});
  }
  return list;
}

json ReportJson(const write_report& report) {
  static constexpr std::array kVerdicts = {"written", "unchanged", "conflict", "findings"};
  json value = {{"verdict", kVerdicts.at(static_cast<std::size_t>(report.verdict))},
                {"revision", report.revision},
                {"changed", report.changed},
                {"conflicts", json::array()},
                {"findings", json::array()}};
  for (const record_conflict& item : report.conflicts) {
    value["conflicts"].push_back({{"record", item.key},
                                  {"read_version", item.read_version},
                                  {"stored_version", item.stored_version},
                                  {"differences", DifferencesJson(item.differences)}});
  }
  for (const finding& item : report.findings) {
    value["findings"].push_back({{"place", item.place}, {"message", item.message}});
  }
  return value;
}

void PrintConflicts(const write_report& report) {
  for (const record_conflict& item : report.conflicts) {
    if (item.stored_version == 0) {
      fmt::print(stderr, "{}: conflict: the record was deleted; nothing was written\n", item.key);
    } else {
      fmt::print(stderr, "{}: conflict: the stored version is {}; nothing was written; stored -> wanted:\n", item.key,
                 item.stored_version);
    }
    PrintDifferences(stderr, item.key, item.differences);
  }
}

int FinishWrite(const ctl_options& options, const result<write_report>& written) {
  if (!written) {
    return Fail(written.error());
  }
  const write_report& report = written.value();
  if (options.json) {
    fmt::print("{}\n", ReportJson(report).dump(2));
  }
  switch (report.verdict) {
    case write_verdict::kWritten:
      if (!options.json) {
        fmt::print("revision {}: {}\n", report.revision, fmt::join(report.changed, ", "));
      }
      return kExitDone;
    case write_verdict::kUnchanged:
      if (!options.json) {
        fmt::print("revision {}: nothing to change\n", report.revision);
      }
      return kExitDone;
    case write_verdict::kConflict:
      PrintConflicts(report);
      return kExitConflict;
    case write_verdict::kFindings:
      fmt::print(stderr, "{}{} finding(s); nothing was written\n", FormatFindings(report.findings),
                 report.findings.size());
      return kExitInvalid;
  }
  return kExitInvalid;
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. files
// ---------------------------------------------------------------------------------------------------------------------

result<std::string> ReadWholeFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    return error{error_code::kInvalid, fmt::format("{}: cannot be read", path)};
  }
  return text.str();
}

// Reads the records of files as changes. All problems of all files are collected.
std::vector<record_change> ReadChanges(const std::vector<std::string>& paths, finding_list& findings) {
  std::vector<record_change> changes;
  std::map<std::string, std::string> path_of;
  for (const std::string& path : paths) {
    const auto text = ReadWholeFile(path);
    const auto records = text ? SplitRecords(text.value()) : result<std::vector<std::string>>(text.error());
    if (!records) {
      findings.push_back({path, records.error().message});
      continue;
    }
    for (const std::string& item : records.value()) {
      finding_list own;
      const auto parsed = ParseRecord(item, own);
      for (const finding& found : own) {
        findings.push_back({fmt::format("{}: {}", path, found.place), found.message});
      }
      if (!parsed) {
        continue;
      }
      const std::string key = RecordKey(item).value();
      const auto [other, inserted] = path_of.try_emplace(key, path);
      if (!inserted) {
        findings.push_back({fmt::format("{}: record {}", path, key), "the record also stands in " + other->second});
        continue;
      }
      const auto version = RecordVersion(item);
      const bool names_version = version && version.value() > 0;
      changes.push_back({key, item, names_version ? std::optional(version.value()) : std::nullopt, std::nullopt});
    }
  }
  return changes;
}

int FailFindings(const finding_list& findings) {
  fmt::print(stderr, "{}{} finding(s); nothing was written\n", FormatFindings(findings), findings.size());
  return kExitInvalid;
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. records
// ---------------------------------------------------------------------------------------------------------------------

task<int> PutRecords(command_context& self, std::vector<std::string> paths) {
  finding_list findings;
  std::vector<record_change> changes = ReadChanges(paths, findings);
  if (!findings.empty()) {
    co_return FailFindings(findings);
  }
  const writer_settings settings;
  const auto written = co_await WriteRecords(self.timers, self.table, std::move(changes), settings);
  co_return FinishWrite(self.options, written);
}

task<int> GetRecord(command_context& self, std::string key) {
  const auto stored = co_await ReadRecords(self.table);
  if (!stored) {
    co_return FailRead(stored.error());
  }
  const auto found = stored.value().records.find(key);
  if (found == stored.value().records.end()) {
    co_return Fail({error_code::kNotFound, fmt::format("no record {}", key)});
  }
  const json value = json::parse(found->second.text, nullptr, false);
  fmt::print("{}\n", value.is_discarded() ? found->second.text : value.dump(2));
  co_return kExitDone;
}

std::string FieldText(const json& value, const char* field) {
  if (!value.is_object() || !value.contains(field)) {
    return "?";
  }
  return value[field].is_string() ? value[field].get<std::string>() : value[field].dump();
}

task<int> ListRecords(command_context& self, std::string kind) {
  const auto stored = co_await ReadRecords(self.table);
  if (!stored) {
    co_return FailRead(stored.error());
  }
  json list = json::array();
  std::vector<std::vector<std::string>> rows = {{"KIND", "NAME", "SCHEMA", "VERSION"}};
  for (const auto& [key, item] : stored.value().records) {
    if (!kind.empty() && !key.starts_with(kind + "/")) {
      continue;
    }
    const json value = json::parse(item.text, nullptr, false);
    const auto slash = key.find('/');
    rows.push_back(
        {key.substr(0, slash), key.substr(slash + 1), FieldText(value, "schema"), FieldText(value, "version")});
    list.push_back(value.is_discarded() ? json(item.text) : value);
  }
  if (self.options.json) {
    const json all = {{"revision", stored.value().revision}, {"records", list}};
    fmt::print("{}\n", all.dump(2));
  } else {
    PrintTable(rows);
    fmt::print("revision {}, {} record(s)\n", stored.value().revision, rows.size() - 1);
  }
  co_return kExitDone;
}

task<int> DiffRecords(command_context& self, std::vector<std::string> paths) {
  finding_list findings;
  const std::vector<record_change> changes = ReadChanges(paths, findings);
  if (!findings.empty()) {
    co_return FailFindings(findings);
  }
  const auto stored = co_await ReadRecords(self.table);
  if (!stored) {
    co_return FailRead(stored.error());
  }
  json all = json::array();
  bool has_any = false;
  for (const record_change& change : changes) {
    const auto found = stored.value().records.find(change.key);
    const bool is_new = found == stored.value().records.end();
    const std::string current = is_new ? std::string() : found->second.text;
    // Unknown fields of the stored record are kept by a write and therefore no difference.
    const auto wanted = ReplaceRecord(current, *change.text, RecordVersion(current.empty() ? "{}" : current).value());
    const auto differences = CompareRecords(current, wanted ? wanted.value() : *change.text);
    if (!differences) {
      co_return Fail(differences.error());
    }
    has_any = has_any || !differences.value().empty();
    if (self.options.json) {
      all.push_back({{"record", change.key}, {"differences", DifferencesJson(differences.value())}});
    } else {
      PrintDifferences(stdout, change.key, differences.value());
    }
  }
  if (self.options.json) {
    fmt::print("{}\n", all.dump(2));
  }
  co_return has_any ? kExitDifferent : kExitDone;
}

task<int> DeleteRecord(command_context& self, std::string key) {
  const auto stored = co_await ReadRecords(self.table);
  if (!stored) {
    co_return FailRead(stored.error());
  }
  const auto found = stored.value().records.find(key);
  if (found == stored.value().records.end()) {
    co_return Fail({error_code::kNotFound, fmt::format("no record {}", key)});
  }
  std::vector<record_change> changes;
  changes.push_back({key, std::nullopt, std::nullopt, found->second.row_version});
  const writer_settings settings;
  const auto written = co_await WriteRecords(self.timers, self.table, std::move(changes), settings);
  co_return FinishWrite(self.options, written);
}

task<int> SetEndpointState(command_context& self, std::string endpoint, std::string state) {
  const auto stored = co_await ReadRecords(self.table);
  if (!stored) {
    co_return FailRead(stored.error());
  }
  const std::string key = "endpoint/" + endpoint;
  const auto found = stored.value().records.find(key);
  if (found == stored.value().records.end()) {
    co_return Fail({error_code::kNotFound, fmt::format("no record {}", key)});
  }
  const auto text = SetRecordField(found->second.text, "state", state);
  if (!text) {
    co_return Fail(text.error());
  }
  std::vector<record_change> changes;
  changes.push_back({key, text.value(), std::nullopt, found->second.row_version});
  const writer_settings settings;
  const auto written = co_await WriteRecords(self.timers, self.table, std::move(changes), settings);
  co_return FinishWrite(self.options, written);
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. processes
// ---------------------------------------------------------------------------------------------------------------------

struct fleet_state {
  revision_number head = 0;
  std::vector<process_target> targets;
};

// Reads which processes there are. Errors if the records or the VM list cannot be read.
task<result<fleet_state>> ReadFleet(command_context& self) {
  const auto stored = co_await ReadRecords(self.table);
  if (!stored) {
    co_return stored.error();
  }
  const auto vms = co_await ReadVmList(self.platform);
  if (!vms) {
    co_return vms.error();
  }
  std::vector<std::string> texts;
  texts.reserve(stored.value().records.size());
  for (const auto& [key, item] : stored.value().records) {
    texts.push_back(item.text);
  }
  finding_list ignored;  // shown by put and list; here only the addresses count
  const configuration records = BuildConfiguration(stored.value().revision, std::move(texts), ignored);
  fleet_state fleet;
  fleet.head = stored.value().revision;
  fleet.targets = ListProcesses(vms.value(), records);
  co_return fleet;
}

channel_settings WatchSettings() {
  channel_settings settings;
  settings.reconnect_maximum = kHeartbeatPeriod;  // a process that comes back is seen soon
  return settings;
}

std::string StateText(const process_view& view) {
  if (!view.is_connected) {
    return view.is_leaving ? "left" : "unreachable";
  }
  return view.is_leaving ? "leaving" : "live";
}

void PrintViews(const ctl_options& options, revision_number head, const std::vector<process_view>& views) {
  if (options.json) {
    json list = json::array();
    for (const process_view& view : views) {
      list.push_back({{"program", view.target.program},
                      {"name", view.target.name},
                      {"zone", view.target.zone},
                      {"address", view.target.address.Text()},
                      {"state", StateText(view)},
                      {"incarnation", view.incarnation},
                      {"revision", view.is_connected ? json(view.revision) : json(nullptr)},
                      {"problem", view.problem}});
    }
    const json all = {{"revision", head}, {"processes", list}};
    fmt::print("{}\n", all.dump(2));
    return;
  }
  std::vector<std::vector<std::string>> rows = {
      {"PROGRAM", "NAME", "ZONE", "ADDRESS", "STATE", "INCARNATION", "REVISION", "PROBLEM"}};
  for (const process_view& view : views) {
    rows.push_back({view.target.program, view.target.name, view.target.zone, view.target.address.Text(),
                    StateText(view), view.is_connected ? std::to_string(view.incarnation) : "-",
                    view.is_connected ? std::to_string(view.revision) : "-", view.problem});
  }
  PrintTable(rows);
  const auto holding = std::count_if(views.begin(), views.end(), [head](const process_view& view) {
    return view.is_connected && view.revision >= head;
  });
  fmt::print("revision {} of the store is in force in {} of {} process(es)\n", head, holding, views.size());
}

task<int> ShowStatus(command_context& self) {
  const auto fleet = co_await ReadFleet(self);
  if (!fleet) {
    co_return FailRead(fleet.error());
  }
  fleet_watch watch(self.context, self.options.secret, WatchSettings());
  watch.SetTargets(fleet.value().targets);
  while (!watch.HasTriedAll()) {
    co_await self.timers.Sleep(kCheckPeriod);
  }
  PrintViews(self.options, fleet.value().head, watch.Views());
  co_return kExitDone;
}

task<int> WaitForRevision(command_context& self, revision_number revision) {
  const time_point deadline = timer_service::Now() + self.options.timeout;
  fleet_watch watch(self.context, self.options.secret, WatchSettings());
  time_point next_refresh = timer_service::Now();
  revision_number head = 0;
  bool is_read = false;  // the last look at the VM list and the records succeeded
  std::string problem = "the platform does not answer";
  while (timer_service::Now() < deadline) {
    if (timer_service::Now() >= next_refresh) {
      const auto fleet = co_await ReadFleet(self);
      is_read = fleet.has_value();
      if (fleet) {
        head = fleet.value().head;
        watch.SetTargets(fleet.value().targets);
      } else {
        problem = fleet.error().message;
      }
      next_refresh = timer_service::Now() + kRefreshPeriod;
    }
    if (is_read && IsEverywhere(watch.Views(), revision)) {
      PrintViews(self.options, head, watch.Views());
      co_return kExitDone;
    }
    co_await self.timers.Sleep(kCheckPeriod);
  }
  PrintViews(self.options, head, watch.Views());
  if (!is_read) {
    co_return FailRead({error_code::kUnavailable, problem});
  }
  fmt::print(stderr, "persimmonctl: revision {} is not in force everywhere after {} ms\n", revision,
             self.options.timeout.count());
  co_return kExitDifferent;
}

// ---------------------------------------------------------------------------------------------------------------------
// 5. explain
// ---------------------------------------------------------------------------------------------------------------------

int ExplainCode(const ctl_options& options, const std::string& code) {
  const code_explanation* found = FindExplanation(code);
  if (found == nullptr) {
    std::vector<std::string_view> names;
    names.reserve(Explanations().size());
    for (const code_explanation& item : Explanations()) {
      names.push_back(item.code);
    }
    return Fail({error_code::kNotFound, fmt::format("no code '{}'; known are {}", code, fmt::join(names, ", "))});
  }
  if (options.json) {
    const json value = {
        {"code", found->code}, {"meaning", found->meaning}, {"caller", found->caller}, {"operator", found->operators}};
    fmt::print("{}\n", value.dump(2));
  } else {
    fmt::print("{}\n  meaning:  {}\n  caller:   {}\n  operator: {}\n", found->code, found->meaning, found->caller,
               found->operators);
  }
  return kExitDone;
}

// ---------------------------------------------------------------------------------------------------------------------
// 6. choice of the subcommand
// ---------------------------------------------------------------------------------------------------------------------

result<revision_number> ParseRevision(const std::string& text) {
  revision_number revision = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), revision);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return error{error_code::kInvalid, fmt::format("'{}' is not a revision", text)};
  }
  return revision;
}

struct command_shape {
  std::size_t minimum;  // number of arguments
  std::size_t maximum;
};

const std::map<std::string, command_shape>& Shapes() {
  static const std::map<std::string, command_shape> shapes = {
      {"put", {1, 10'000}}, {"get", {1, 1}},     {"list", {0, 1}},   {"diff", {1, 10'000}}, {"delete", {1, 1}},
      {"drain", {1, 1}},    {"undrain", {1, 1}}, {"status", {0, 0}}, {"wait", {1, 1}},      {"explain", {1, 1}}};
  return shapes;
}

}  // namespace

task<int> RunCommand(asio::io_context& context, ctl_options options, std::vector<std::string> words) {
  const auto shape = words.empty() ? Shapes().end() : Shapes().find(words[0]);
  if (shape == Shapes().end()) {
    co_return FailUsage(words.empty() ? "a subcommand is required" : fmt::format("no subcommand '{}'", words[0]));
  }
  const std::string command = words[0];
  const std::vector<std::string> rest(words.begin() + 1, words.end());
  if (rest.size() < shape->second.minimum || rest.size() > shape->second.maximum) {
    co_return FailUsage(fmt::format("wrong number of arguments for {}", command));
  }
  if (command == "explain") {
    co_return ExplainCode(options, rest[0]);
  }
  command_context self{context, timer_service(context), options,
                       table_client(context, options.platform, options.request_timeout),
                       platform_client(context, options.platform, options.request_timeout)};
  const std::string argument = rest.empty() ? std::string() : rest[0];
  if (command == "put") {
    co_return co_await PutRecords(self, rest);
  }
  if (command == "get") {
    co_return co_await GetRecord(self, argument);
  }
  if (command == "list") {
    co_return co_await ListRecords(self, argument);
  }
  if (command == "diff") {
    co_return co_await DiffRecords(self, rest);
  }
  if (command == "delete") {
    co_return co_await DeleteRecord(self, argument);
  }
  if (command == "drain" || command == "undrain") {
    const std::string state = command == "drain" ? "draining" : "active";
    co_return co_await SetEndpointState(self, argument, state);
  }
  if (command == "status") {
    co_return co_await ShowStatus(self);
  }
  const auto revision = ParseRevision(argument);
  if (!revision) {
    co_return FailUsage(revision.error().message);
  }
  co_return co_await WaitForRevision(self, revision.value());
}

}  // namespace persimmon
