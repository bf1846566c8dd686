// Reads and writes records with optimistic concurrency control.
//
// Sections
//   1. reading
//   2. writing
//
// A write is one transaction of three parts: the records, on condition that their rows have not changed since they were
// read; the row `head` with the next revision; and a row of the table `operations` under the operation id. The version
// of a record is the revision that wrote it last. The operation row resolves a lost reply: the writer inserts an abort
// marker if the row is absent. If that succeeds, the transaction has not taken effect and never will, even if it is
// still in flight. If the row exists, the transaction has taken effect.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "persimmon/records.h"
#include "platform/table_client.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. reading
// ---------------------------------------------------------------------------------------------------------------------

inline constexpr const char* kOperationTable = "operations";

struct stored_record {
  std::string text;
  std::uint64_t row_version = 0;

  bool operator==(const stored_record&) const = default;
};

// Contents of the table `config` from one consistent read.
struct stored_records {
  revision_number revision = 0;
  std::uint64_t head_version = 0;                // row version of `head`; 0: absent
  std::map<std::string, stored_record> records;  // by row key

  bool operator==(const stored_records&) const = default;
};

task<result<stored_records>> ReadRecords(table_client table);

// ---------------------------------------------------------------------------------------------------------------------
// 2. writing
// ---------------------------------------------------------------------------------------------------------------------

struct record_change {
  std::string key;                            // "pool/savetnik-llm"
  std::optional<std::string> text;            // absent: delete the record
  std::optional<std::uint64_t> read_version;  // version that the operator read; absent: the currently stored one
  // Row version at which the record was read before it was modified; absent: not checked.
  std::optional<std::uint64_t> read_row_version;

  bool operator==(const record_change&) const = default;
};

// A record that another writer has changed since it was read.
struct record_conflict {
  std::string key;
  std::uint64_t read_version = 0;              // stated by the change
  std::uint64_t stored_version = 0;            // 0: absent
  std::vector<record_difference> differences;  // left: stored, right: requested

  bool operator==(const record_conflict&) const = default;
};

enum class write_verdict : std::uint8_t { kWritten, kUnchanged, kConflict, kFindings };

struct write_report {
  write_verdict verdict = write_verdict::kWritten;
  revision_number revision = 0;      // with kWritten: the new one; otherwise the one that was read
  std::vector<std::string> changed;  // keys of written or deleted records
  std::vector<record_conflict> conflicts;
  finding_list findings;  // with kFindings; nothing was written

  bool operator==(const write_report&) const = default;
};

struct writer_settings {
  int max_attempts = 20;                                // attempts when other writers change `head` concurrently
  milliseconds retry_pause = milliseconds(20);          // before the next attempt; doubles each time, with jitter
  milliseconds resolve_timeout = milliseconds(10'000);  // time limit for resolving a lost reply
  milliseconds resolve_pause = milliseconds(200);       // between attempts to resolve a lost reply

  bool operator==(const writer_settings&) const = default;
};

// Writes all changes or none. Errors: kUnavailable if nothing was written; kTimeout if the outcome is unknown.
task<result<write_report>> WriteRecords(timer_service& timers, table_client table, std::vector<record_change> changes,
                                        writer_settings settings);

}  // namespace persimmon
