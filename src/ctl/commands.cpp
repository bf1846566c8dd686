// Sections
//   1. output
//   2. files
//   3. records: put, get, list, diff, delete, drain, undrain
//   4. processes: status, wait
//   5. explain
//   6. command dispatch
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

constexpr milliseconds kRefreshPeriod = milliseconds(500);  // wait: between reads of the VM list and the records
constexpr milliseconds kCheckPeriod = milliseconds(20);     // between checks of the reported revisions
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

// Reads have no side effects, so a failed read never maps to kExitUnknown.
int FailRead(const error& failure) {
  fmt::print(stderr, "persimmonctl: cannot read from the platform: {}\n", failure.message);
  return kExitUnavailable;
}

int FailUsage(const std::string& message) { return Fail({error_code::kInvalid, message + "; see --help"}); }

// Prints rows as a table with aligned columns.
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
      fmt::print(stderr, "{}: conflict: the stored version is {}; nothing was written; stored -> requested:\n",
                 item.key, item.stored_version);
    }
    PrintDifferences(stderr, item.key, item.differences);
  }
}

int ReportWrite(const ctl_options& options, const result<write_report>& written) {
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

// Parses the records of files into changes. Collects the problems of all files.
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
      finding_list record_findings;
      const auto parsed = ParseRecord(item, record_findings);
      for (const finding& found : record_findings) {
        findings.push_back({fmt::format("{}: {}", path, found.place), found.message});
      }
      if (!parsed) {
        continue;
      }
      const std::string key = RecordKey(item).value();
      const auto [existing, inserted] = path_of.try_emplace(key, path);
      if (!inserted) {
        findings.push_back({fmt::format("{}: record {}", path, key), "the record is also in " + existing->second});
        continue;
      }
      const auto version = RecordVersion(item);
      const bool has_version = version && version.value() > 0;
      changes.push_back({key, item, has_version ? std::optional(version.value()) : std::nullopt, std::nullopt});
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

task<int> PutRecords(command_context& ctx, std::vector<std::string> paths) {
  finding_list findings;
  std::vector<record_change> changes = ReadChanges(paths, findings);
  if (!findings.empty()) {
    co_return FailFindings(findings);
  }
  const writer_settings settings;
  const auto written = co_await WriteRecords(ctx.timers, ctx.table, std::move(changes), settings);
  co_return ReportWrite(ctx.options, written);
}

task<int> GetRecord(command_context& ctx, std::string key) {
  const auto stored = co_await ReadRecords(ctx.table);
  if (!stored) {
    co_return FailRead(stored.error());
  }
  const auto found = stored.value().records.find(key);
  if (found == stored.value().records.end()) {
    co_return Fail({error_code::kNotFound, fmt::format("record {} does not exist", key)});
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

task<int> ListRecords(command_context& ctx, std::string kind) {
  const auto stored = co_await ReadRecords(ctx.table);
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
  if (ctx.options.json) {
    const json all = {{"revision", stored.value().revision}, {"records", list}};
    fmt::print("{}\n", all.dump(2));
  } else {
    PrintTable(rows);
    fmt::print("revision {}, {} record(s)\n", stored.value().revision, rows.size() - 1);
  }
  co_return kExitDone;
}

task<int> DiffRecords(command_context& ctx, std::vector<std::string> paths) {
  finding_list findings;
  const std::vector<record_change> changes = ReadChanges(paths, findings);
  if (!findings.empty()) {
    co_return FailFindings(findings);
  }
  const auto stored = co_await ReadRecords(ctx.table);
  if (!stored) {
    co_return FailRead(stored.error());
  }
  json all = json::array();
  bool has_differences = false;
  for (const record_change& change : changes) {
    const auto found = stored.value().records.find(change.key);
    const bool is_new = found == stored.value().records.end();
    const std::string current = is_new ? std::string() : found->second.text;
    // A write keeps the unknown fields of the stored record, so they are not differences.
    const auto wanted = ReplaceRecord(current, *change.text, RecordVersion(current.empty() ? "{}" : current).value());
    const auto differences = CompareRecords(current, wanted ? wanted.value() : *change.text);
    if (!differences) {
      co_return Fail(differences.error());
    }
    has_differences = has_differences || !differences.value().empty();
    if (ctx.options.json) {
      all.push_back({{"record", change.key}, {"differences", DifferencesJson(differences.value())}});
    } else {
      PrintDifferences(stdout, change.key, differences.value());
    }
  }
  if (ctx.options.json) {
    fmt::print("{}\n", all.dump(2));
  }
  co_return has_differences ? kExitDifferent : kExitDone;
}

task<int> DeleteRecord(command_context& ctx, std::string key) {
  const auto stored = co_await ReadRecords(ctx.table);
  if (!stored) {
    co_return FailRead(stored.error());
  }
  const auto found = stored.value().records.find(key);
  if (found == stored.value().records.end()) {
    co_return Fail({error_code::kNotFound, fmt::format("record {} does not exist", key)});
  }
  std::vector<record_change> changes;
  changes.push_back({key, std::nullopt, std::nullopt, found->second.row_version});
  const writer_settings settings;
  const auto written = co_await WriteRecords(ctx.timers, ctx.table, std::move(changes), settings);
  co_return ReportWrite(ctx.options, written);
}

task<int> SetEndpointState(command_context& ctx, std::string endpoint, std::string state) {
  const auto stored = co_await ReadRecords(ctx.table);
  if (!stored) {
    co_return FailRead(stored.error());
  }
  const std::string key = "endpoint/" + endpoint;
  const auto found = stored.value().records.find(key);
  if (found == stored.value().records.end()) {
    co_return Fail({error_code::kNotFound, fmt::format("record {} does not exist", key)});
  }
  const auto text = SetRecordField(found->second.text, "state", state);
  if (!text) {
    co_return Fail(text.error());
  }
  std::vector<record_change> changes;
  changes.push_back({key, text.value(), std::nullopt, found->second.row_version});
  const writer_settings settings;
  const auto written = co_await WriteRecords(ctx.timers, ctx.table, std::move(changes), settings);
  co_return ReportWrite(ctx.options, written);
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. processes
// ---------------------------------------------------------------------------------------------------------------------

struct fleet_state {
  revision_number head = 0;
  std::vector<process_target> targets;
};

// Reads the list of processes. Fails if the records or the VM list cannot be read.
task<result<fleet_state>> ReadFleet(command_context& ctx) {
  const auto stored = co_await ReadRecords(ctx.table);
  if (!stored) {
    co_return stored.error();
  }
  const auto vms = co_await ReadVmList(ctx.platform);
  if (!vms) {
    co_return vms.error();
  }
  std::vector<std::string> texts;
  texts.reserve(stored.value().records.size());
  for (const auto& [key, item] : stored.value().records) {
    texts.push_back(item.text);
  }
  finding_list ignored;  // ignored, because only the addresses of the valid records are needed
  const configuration records = BuildConfiguration(stored.value().revision, std::move(texts), ignored);
  fleet_state fleet;
  fleet.head = stored.value().revision;
  fleet.targets = ListProcesses(vms.value(), records);
  co_return fleet;
}

channel_settings MonitorSettings() {
  channel_settings settings;
  settings.max_reconnect_delay = kHeartbeatPeriod;  // reconnects soon to a process that has restarted
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
  const auto up_to_date = std::count_if(views.begin(), views.end(), [head](const process_view& view) {
    return view.is_connected && view.revision >= head;
  });
  fmt::print("revision {} of the store is in force in {} of {} process(es)\n", head, up_to_date, views.size());
}

task<int> ShowStatus(command_context& ctx) {
  const auto fleet = co_await ReadFleet(ctx);
  if (!fleet) {
    co_return FailRead(fleet.error());
  }
  fleet_monitor monitor(ctx.context, ctx.options.secret, MonitorSettings());
  monitor.SetTargets(fleet.value().targets);
  while (!monitor.HasTriedAll()) {
    co_await ctx.timers.Sleep(kCheckPeriod);
  }
  PrintViews(ctx.options, fleet.value().head, monitor.Views());
  co_return kExitDone;
}

task<int> WaitForRevision(command_context& ctx, revision_number revision) {
  const time_point deadline = timer_service::Now() + ctx.options.timeout;
  fleet_monitor monitor(ctx.context, ctx.options.secret, MonitorSettings());
  time_point next_refresh = timer_service::Now();
  revision_number head = 0;
  bool last_read_succeeded = false;  // of the VM list and the records
  std::string problem = "the platform does not respond";
  while (timer_service::Now() < deadline) {
    if (timer_service::Now() >= next_refresh) {
      const auto fleet = co_await ReadFleet(ctx);
      last_read_succeeded = fleet.has_value();
      if (fleet) {
        head = fleet.value().head;
        monitor.SetTargets(fleet.value().targets);
      } else {
        problem = fleet.error().message;
      }
      next_refresh = timer_service::Now() + kRefreshPeriod;
    }
    if (last_read_succeeded && IsInForceEverywhere(monitor.Views(), revision)) {
      PrintViews(ctx.options, head, monitor.Views());
      co_return kExitDone;
    }
    co_await ctx.timers.Sleep(kCheckPeriod);
  }
  PrintViews(ctx.options, head, monitor.Views());
  if (!last_read_succeeded) {
    co_return FailRead({error_code::kUnavailable, problem});
  }
  fmt::print(stderr, "persimmonctl: revision {} is not in force everywhere after {} ms\n", revision,
             ctx.options.timeout.count());
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
    return Fail(
        {error_code::kNotFound, fmt::format("unknown code '{}'; known codes are {}", code, fmt::join(names, ", "))});
  }
  if (options.json) {
    const json value = {{"code", found->code},
                        {"meaning", found->meaning},
                        {"caller", found->caller_action},
                        {"operator", found->operator_action}};
    fmt::print("{}\n", value.dump(2));
  } else {
    fmt::print("{}\n  meaning:  {}\n  caller:   {}\n  operator: {}\n", found->code, found->meaning,
               found->caller_action, found->operator_action);
  }
  return kExitDone;
}

// ---------------------------------------------------------------------------------------------------------------------
// 6. command dispatch
// ---------------------------------------------------------------------------------------------------------------------

result<revision_number> ParseRevision(const std::string& text) {
  revision_number revision = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), revision);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return error{error_code::kInvalid, fmt::format("'{}' is not a revision", text)};
  }
  return revision;
}

struct argument_range {
  std::size_t minimum;  // number of arguments
  std::size_t maximum;
};

const std::map<std::string, argument_range>& Subcommands() {
  static const std::map<std::string, argument_range> subcommands = {
      {"put", {1, 10'000}}, {"get", {1, 1}},     {"list", {0, 1}},   {"diff", {1, 10'000}}, {"delete", {1, 1}},
      {"drain", {1, 1}},    {"undrain", {1, 1}}, {"status", {0, 0}}, {"wait", {1, 1}},      {"explain", {1, 1}}};
  return subcommands;
}

}  // namespace

task<int> RunCommand(asio::io_context& context, ctl_options options, std::vector<std::string> arguments) {
  const auto subcommand = arguments.empty() ? Subcommands().end() : Subcommands().find(arguments[0]);
  if (subcommand == Subcommands().end()) {
    co_return FailUsage(arguments.empty() ? "a subcommand is required"
                                          : fmt::format("unknown subcommand '{}'", arguments[0]));
  }
  const std::string command = arguments[0];
  const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
  if (rest.size() < subcommand->second.minimum || rest.size() > subcommand->second.maximum) {
    co_return FailUsage(fmt::format("wrong number of arguments for {}", command));
  }
  if (command == "explain") {
    co_return ExplainCode(options, rest[0]);
  }
  command_context ctx{context, timer_service(context), options,
                      table_client(context, options.platform, options.request_timeout),
                      platform_client(context, options.platform, options.request_timeout)};
  const std::string argument = rest.empty() ? std::string() : rest[0];
  if (command == "put") {
    co_return co_await PutRecords(ctx, rest);
  }
  if (command == "get") {
    co_return co_await GetRecord(ctx, argument);
  }
  if (command == "list") {
    co_return co_await ListRecords(ctx, argument);
  }
  if (command == "diff") {
    co_return co_await DiffRecords(ctx, rest);
  }
  if (command == "delete") {
    co_return co_await DeleteRecord(ctx, argument);
  }
  if (command == "drain" || command == "undrain") {
    const std::string state = command == "drain" ? "draining" : "active";
    co_return co_await SetEndpointState(ctx, argument, state);
  }
  if (command == "status") {
    co_return co_await ShowStatus(ctx);
  }
  const auto revision = ParseRevision(argument);
  if (!revision) {
    co_return FailUsage(revision.error().message);
  }
  co_return co_await WaitForRevision(ctx, revision.value());
}

}  // namespace persimmon
