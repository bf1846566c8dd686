// Sections
//   1. reading
//   2. planning a transaction
//   3. committing and resolving
#include "ctl/record_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "core/random.h"
#include "store/config_store.h"

namespace persimmon {
namespace {

using json = nlohmann::json;

constexpr milliseconds kMaxRetryPause = milliseconds(500);

// ---------------------------------------------------------------------------------------------------------------------
// 1. reading
// ---------------------------------------------------------------------------------------------------------------------

const stored_record* FindRecord(const stored_records& stored, const std::string& key) {
  const auto found = stored.records.find(key);
  return found == stored.records.end() ? nullptr : &found->second;
}

std::string TextOf(const stored_record* stored) { return stored == nullptr ? std::string() : stored->text; }

// An invalid version counts as 0, so that a corrupt record can be replaced.
std::uint64_t VersionOf(const std::string& text) {
  const auto version = text.empty() ? result<std::uint64_t>(0) : RecordVersion(text);
  return version ? version.value() : 0;
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. planning a transaction
// ---------------------------------------------------------------------------------------------------------------------

struct write_plan {
  write_report report;  // the verdict kWritten means that the writes can be committed; nothing is written yet
  std::vector<table_write> writes;
};

record_conflict DescribeConflict(const record_change& change, const std::string& stored_text) {
  record_conflict conflict;
  conflict.key = change.key;
  conflict.read_version = change.read_version.value_or(0);
  conflict.stored_version = VersionOf(stored_text);
  auto differences = CompareRecords(stored_text, change.text.value_or(std::string()));
  if (differences) {
    std::erase_if(differences.value(), [](const record_difference& item) { return item.field == "version"; });
    conflict.differences = std::move(differences.value());
  }
  return conflict;
}

bool IsConflict(const record_change& change, const stored_record* stored) {
  const std::uint64_t row_version = stored == nullptr ? 0 : stored->row_version;
  const bool row_differs = change.read_row_version && *change.read_row_version != row_version;
  const bool version_differs = change.read_version && *change.read_version != VersionOf(TextOf(stored));
  return row_differs || version_differs;
}

table_write MakeRecordWrite(const record_change& change, const stored_record* stored, std::optional<std::string> text) {
  table_write write;
  write.table = kConfigTable;
  write.key = change.key;
  write.value = std::move(text);
  write.condition = stored == nullptr ? row_condition::kAbsent : row_condition::kVersion;
  write.version = stored == nullptr ? 0 : stored->row_version;
  return write;
}

table_write MakeHeadWrite(const stored_records& stored, revision_number revision) {
  table_write write;
  write.table = kConfigTable;
  write.key = kHeadKey;
  write.value = json{{"revision", revision}}.dump();
  write.condition = stored.head_version == 0 ? row_condition::kAbsent : row_condition::kVersion;
  write.version = stored.head_version;
  return write;
}

// True if the change would alter nothing but the version of the stored record.
bool IsNoOp(const record_change& change, const stored_record* stored) {
  if (!change.text || stored == nullptr) {
    return !change.text && stored == nullptr;
  }
  const auto text = ReplaceRecord(stored->text, *change.text, 0);
  if (!text) {
    return false;
  }
  const auto differences = CompareRecords(stored->text, text.value());
  return differences && std::all_of(differences.value().begin(), differences.value().end(),
                                    [](const record_difference& item) { return item.field == "version"; });
}

// Findings that the changes cause: all findings of the changed records, and new findings of other records.
finding_list NewFindings(const std::map<std::string, std::string>& before,
                         const std::map<std::string, std::string>& after, const std::set<std::string>& changed) {
  const auto build = [](const std::map<std::string, std::string>& texts) {
    std::vector<std::string> list;
    list.reserve(texts.size());
    for (const auto& [key, text] : texts) {
      list.push_back(text);
    }
    finding_list findings;
    BuildConfiguration(1, std::move(list), findings);
    return findings;
  };
  const finding_list old_findings = build(before);
  finding_list findings = build(after);
  std::erase_if(findings, [&](const finding& item) {
    const bool is_changed = std::any_of(changed.begin(), changed.end(), [&](const std::string& key) {
      return item.place == "record " + key || item.place.starts_with("record " + key + ":");
    });
    return !is_changed && std::find(old_findings.begin(), old_findings.end(), item) != old_findings.end();
  });
  return findings;
}

result<write_plan> PlanWrites(const stored_records& stored, const std::vector<record_change>& changes) {
  write_plan plan;
  plan.report.revision = stored.revision + 1;
  std::map<std::string, std::string> before;
  for (const auto& [key, item] : stored.records) {
    before[key] = item.text;
  }
  std::map<std::string, std::string> after = before;
  for (const record_change& change : changes) {
    const stored_record* current = FindRecord(stored, change.key);
    if (IsNoOp(change, current)) {
      continue;
    }
    if (IsConflict(change, current)) {
      plan.report.conflicts.push_back(DescribeConflict(change, TextOf(current)));
      continue;
    }
    plan.report.changed.push_back(change.key);
    if (!change.text) {
      after.erase(change.key);
      plan.writes.push_back(MakeRecordWrite(change, current, std::nullopt));
      continue;
    }
    auto text = ReplaceRecord(TextOf(current), *change.text, plan.report.revision);
    if (!text) {
      return text.error();
    }
    after[change.key] = text.value();
    plan.writes.push_back(MakeRecordWrite(change, current, text.value()));
  }
  const std::set<std::string> changed(plan.report.changed.begin(), plan.report.changed.end());
  plan.report.findings = NewFindings(before, after, changed);
  if (!plan.report.findings.empty()) {
    plan.report.verdict = write_verdict::kFindings;
  } else if (!plan.report.conflicts.empty()) {
    plan.report.verdict = write_verdict::kConflict;
  } else if (plan.writes.empty()) {
    plan.report.verdict = write_verdict::kUnchanged;
  }
  if (plan.report.verdict != write_verdict::kWritten) {
    plan.report.revision = stored.revision;
    plan.report.changed.clear();
    return plan;
  }
  plan.writes.push_back(MakeHeadWrite(stored, plan.report.revision));
  return plan;
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. committing and resolving
// ---------------------------------------------------------------------------------------------------------------------

enum class commit_outcome : std::uint8_t { kCommitted, kNotCommitted, kHeadConflict, kConflict };

struct commit_result {
  commit_outcome outcome = commit_outcome::kNotCommitted;
  std::vector<table_row> conflicts;
  error failure;  // with kNotCommitted
};

std::string OperationKey(const std::string& operation) { return "op/" + operation; }

table_write MakeOperationWrite(const std::string& operation, const json& value) {
  table_write write;
  write.table = kOperationTable;
  write.key = OperationKey(operation);
  write.value = value.dump();
  write.condition = row_condition::kAbsent;
  return write;
}

// Finds out whether a transaction whose reply was lost has taken effect, and aborts it if it has not.
task<result<bool>> ResolveOperation(timer_service& timers, table_client table, std::string operation,
                                    writer_settings settings) {
  const time_point deadline = timer_service::Now() + settings.resolve_timeout;
  while (true) {
    std::vector<table_write> writes;
    writes.push_back(MakeOperationWrite(operation, json{{"aborted", true}}));
    auto aborted = co_await table.Commit(std::move(writes));
    if (aborted && aborted.value().committed) {
      co_return false;
    }
    if (aborted) {
      // The row exists. It is the abort marker if the reply to an earlier abort was lost.
      const bool row_exists = !aborted.value().conflicts.empty();
      const json row = json::parse(row_exists ? aborted.value().conflicts[0].value : "", nullptr, false);
      co_return row.is_object() && row.contains("revision");
    }
    if (timer_service::Now() > deadline) {
      co_return error{error_code::kTimeout,
                      fmt::format("the outcome of operation {} is unknown, because the platform does not respond: {}",
                                  operation, aborted.error().message)};
    }
    co_await timers.Sleep(settings.resolve_pause);
  }
}

// Deletes an operation row that is no longer needed. A failure is ignored and leaves one small row behind.
task<> DeleteOperation(table_client table, std::string operation) {
  table_write write;
  write.table = kOperationTable;
  write.key = OperationKey(operation);
  std::vector<table_write> writes;
  writes.push_back(std::move(write));
  const auto ignored = co_await table.Commit(std::move(writes));
  (void)ignored;
}

task<result<commit_result>> CommitOnce(timer_service& timers, table_client table, write_plan plan,
                                       writer_settings settings) {
  const std::string operation = RandomHex(32);
  std::vector<table_write> writes = plan.writes;
  writes.push_back(MakeOperationWrite(operation, json{{"revision", plan.report.revision}}));
  commit_result committed;
  auto reply = co_await table.Commit(std::move(writes));
  if (reply && reply.value().committed) {
    committed.outcome = commit_outcome::kCommitted;
    co_await DeleteOperation(table, operation);
    co_return committed;
  }
  if (reply) {
    committed.conflicts = reply.value().conflicts;
    const bool only_head = std::all_of(committed.conflicts.begin(), committed.conflicts.end(),
                                       [](const table_row& row) { return row.key == kHeadKey; });
    committed.outcome = only_head ? commit_outcome::kHeadConflict : commit_outcome::kConflict;
    co_return committed;
  }
  committed.failure = reply.error();
  const error_code code = committed.failure.code;
  if (code != error_code::kTimeout && code != error_code::kClosed) {
    co_return committed;
  }
  auto resolved = co_await ResolveOperation(timers, table, operation, settings);
  if (!resolved) {
    co_return resolved.error();
  }
  if (resolved.value()) {
    committed.outcome = commit_outcome::kCommitted;
    co_await DeleteOperation(table, operation);
  }
  co_return committed;
}

// Pins each change to the row versions of the first read, so that later attempts never overwrite a newer record.
void PinRowVersions(std::vector<record_change>& changes, const stored_records& stored) {
  for (record_change& change : changes) {
    const stored_record* current = FindRecord(stored, change.key);
    if (!change.read_row_version) {
      change.read_row_version = current == nullptr ? 0 : current->row_version;
    }
  }
}

}  // namespace

task<result<stored_records>> ReadRecords(table_client table) {
  const std::string name = kConfigTable;
  const std::string prefix;
  auto rows = co_await table.ReadRows(name, prefix);
  if (!rows) {
    co_return rows.error();
  }
  stored_records stored;
  for (table_row& row : rows.value()) {
    if (row.key != kHeadKey) {
      stored.records[row.key] = {std::move(row.value), row.version};
      continue;
    }
    const auto revision = ReadHeadRevision(row.value);
    if (!revision) {
      co_return revision.error();
    }
    stored.revision = revision.value();
    stored.head_version = row.version;
  }
  co_return stored;
}

task<result<write_report>> WriteRecords(timer_service& timers, table_client table, std::vector<record_change> changes,
                                        writer_settings settings) {
  milliseconds retry_pause = settings.retry_pause;
  error failure{error_code::kUnavailable, "too many concurrent writers; nothing was written"};
  for (int attempt = 0; attempt < settings.max_attempts; ++attempt) {
    auto stored = co_await ReadRecords(table);
    if (!stored) {
      co_return error{error_code::kUnavailable,
                      fmt::format("cannot read the records: {}; nothing was written", stored.error().message)};
    }
    auto planned = PlanWrites(stored.value(), changes);
    if (!planned) {
      co_return planned.error();
    }
    write_plan plan = std::move(planned.value());
    if (plan.report.verdict != write_verdict::kWritten) {
      co_return plan.report;
    }
    PinRowVersions(changes, stored.value());
    auto committed = co_await CommitOnce(timers, table, plan, settings);
    if (!committed) {
      co_return committed.error();
    }
    if (committed.value().outcome == commit_outcome::kCommitted) {
      co_return plan.report;
    }
    if (committed.value().outcome == commit_outcome::kNotCommitted) {
      const error& cause = committed.value().failure;
      failure = error{cause.code == error_code::kProtocol ? error_code::kProtocol : error_code::kUnavailable,
                      fmt::format("{}; nothing was written", cause.message)};
      const bool can_repeat = cause.code == error_code::kTimeout || cause.code == error_code::kClosed;
      if (!can_repeat) {
        co_return failure;
      }
    }
    // After a record conflict, the next attempt reads the newer record and reports the conflict.
    const auto jittered_pause = std::chrono::duration_cast<microseconds>(retry_pause * (0.5 + RandomUnit()));
    co_await timers.Sleep(jittered_pause);
    retry_pause = std::min(retry_pause * 2, kMaxRetryPause);
  }
  co_return failure;
}

}  // namespace persimmon
