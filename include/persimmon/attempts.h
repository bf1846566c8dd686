// The agent's table of attempts. It ensures that an attempt id runs at most once and a tombstoned id never runs. A
// tombstone is an entry that forbids an attempt id from running.
//
// Sections
//   1. values
//   2. filter of rejected attempts
//   3. table
//
// A full table rejects new attempts for good: their ids go into a Bloom filter of fixed size, so that a delayed copy is
// rejected too even if entries have expired in the meantime.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. values
// ---------------------------------------------------------------------------------------------------------------------

enum class attempt_entry_phase : std::uint8_t { kTombstoned, kRunning, kDone };

enum class accept_verdict : std::uint8_t {
  kRun,               // not seen before: run it
  kTombstoned,        // cancelled before it arrived, or rejected by a full table: never run it
  kAlreadyRunning,    // duplicate message
  kAlreadyDone,       // duplicate message; the answer may still be retained
  kWrongIncarnation,  // meant for another incarnation of this agent
};

enum class tombstone_verdict : std::uint8_t { kConfirmed, kRunning, kDone, kWrongIncarnation };

struct attempt_limits {
  std::size_t answer_bytes = 8U << 20U;                    // retained answers; the oldest are dropped first
  milliseconds answer_retention = milliseconds(300'000);   // how long an answer is kept
  milliseconds entry_retention = milliseconds(3'600'000);  // how long tombstones and finished attempts are kept
  std::size_t entries = 200'000;                           // a full table accepts no attempt until entries expire
  std::size_t rejection_filter_bits = 1U << 21U;           // per Bloom filter of rejected ids; 2 filters of 256 KiB

  bool operator==(const attempt_limits&) const = default;
};

struct attempt_entry {
  attempt_entry_phase phase = attempt_entry_phase::kRunning;
  time_point changed;
  std::optional<std::string> answer;  // encoded by the agent; absent if dropped or never stored

  bool operator==(const attempt_entry&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. filter of rejected attempts
// ---------------------------------------------------------------------------------------------------------------------

// Bloom filter with two generations. It remembers ids for at least the retention time in bounded memory. After a false
// positive, an attempt that was never added is rejected and reported as not run, which is correct because its delayed
// copies are rejected too.
class rejected_attempt_filter {
 public:
  rejected_attempt_filter(std::size_t bits, milliseconds retention)
      : bits_(bits == 0 ? 1 : bits), retention_(retention) {}

  void Add(const attempt_id& attempt, time_point now);
  bool Contains(const attempt_id& attempt) const;
  void Expire(time_point now);

 private:
  static constexpr std::size_t kHashes = 4;  // 1% false positives with 10 bits per id

  struct generation {
    std::vector<bool> bits;  // empty until the first id is added
    time_point latest;       // time of the last addition
  };

  std::array<std::size_t, kHashes> BitPositions(const attempt_id& attempt) const;

  std::size_t bits_;
  milliseconds retention_;
  time_point last_rotation_;
  std::array<generation, 2> generations_;  // current, previous
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. table
// ---------------------------------------------------------------------------------------------------------------------

class attempt_table {
 public:
  attempt_table(incarnation_number incarnation, attempt_limits limits)
      : incarnation_(incarnation), limits_(limits), rejected_(limits.rejection_filter_bits, limits.entry_retention) {}

  // Decides whether an attempt may run when its start message arrives. An incarnation of 0 matches any. Every result
  // but kRun also holds for all later copies of the message within the entry retention.
  accept_verdict AcceptAttempt(const attempt_id& attempt, incarnation_number incarnation, time_point now);

  // Ensures that the attempt never runs, unless it has already started.
  tombstone_verdict TombstoneAttempt(const attempt_id& attempt, incarnation_number incarnation, time_point now);

  // Marks a running attempt as done and retains its answer within the limits.
  void FinishAttempt(const attempt_id& attempt, std::string answer, time_point now);

  const attempt_entry* FindAttempt(const attempt_id& attempt) const;

  // Removes entries and answers older than their retention.
  void ExpireEntries(time_point now);

  incarnation_number Incarnation() const { return incarnation_; }
  std::size_t EntryCount() const { return entries_.size(); }
  std::size_t AnswerBytes() const { return answer_bytes_; }

 private:
  void DropAnswer(attempt_entry& entry);
  bool HasAnswer(const attempt_id& attempt) const;

  bool IsFull() const { return entries_.size() >= limits_.entries; }

  incarnation_number incarnation_;
  attempt_limits limits_;
  rejected_attempt_filter rejected_;
  std::unordered_map<attempt_id, attempt_entry> entries_;
  std::deque<attempt_id> answers_;  // attempts with a retained answer, oldest first
  std::size_t answer_bytes_ = 0;
};

}  // namespace persimmon
