// The agent's table of attempts: an attempt id runs at most once, a tombstoned id never runs.
//
// Sections
//   1. values
//   2. table
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. values
// ---------------------------------------------------------------------------------------------------------------------

enum class attempt_record_phase : std::uint8_t { kTombstoned, kRunning, kDone };

enum class accept_verdict : std::uint8_t {
  kRun,               // first time: run it
  kTombstoned,        // cancelled before it arrived: never run it
  kAlreadyRunning,    // a repeated message
  kAlreadyDone,       // a repeated message; the answer may still be kept
  kWrongIncarnation,  // meant for another incarnation of this agent
};

enum class tombstone_verdict : std::uint8_t { kConfirmed, kRunning, kDone, kWrongIncarnation };

struct attempt_limits {
  std::size_t answer_bytes = 8U << 20U;                    // kept answers; the oldest are dropped first
  milliseconds answer_retention = milliseconds(300'000);   // kept answers
  milliseconds entry_retention = milliseconds(3'600'000);  // tombstones and the fact that an attempt ran
  std::size_t entries = 200'000;                           // a full table accepts no attempt until entries expire

  bool operator==(const attempt_limits&) const = default;
};

struct attempt_entry {
  attempt_record_phase phase = attempt_record_phase::kRunning;
  time_point changed;
  std::optional<std::string> answer;  // encoded by the agent; absent if dropped or never kept

  bool operator==(const attempt_entry&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. table
// ---------------------------------------------------------------------------------------------------------------------

class attempt_table {
 public:
  attempt_table(incarnation_number incarnation, attempt_limits limits) : incarnation_(incarnation), limits_(limits) {}

  // Decides whether a start message may run. An incarnation of 0 accepts any.
  accept_verdict AcceptAttempt(const attempt_id& attempt, incarnation_number incarnation, time_point now);

  // Rejects the attempt for good, unless it has started.
  tombstone_verdict TombstoneAttempt(const attempt_id& attempt, incarnation_number incarnation, time_point now);

  // Notes the end of a running attempt and keeps its answer within the limits.
  void FinishAttempt(const attempt_id& attempt, std::string answer, time_point now);

  const attempt_entry* FindAttempt(const attempt_id& attempt) const;

  // Drops what has outlived its retention.
  void ExpireEntries(time_point now);

  incarnation_number Incarnation() const { return incarnation_; }
  std::size_t EntryCount() const { return entries_.size(); }
  std::size_t AnswerBytes() const { return answer_bytes_; }

 private:
  void DropAnswer(attempt_entry& entry);

  incarnation_number incarnation_;
  attempt_limits limits_;
  std::unordered_map<attempt_id, attempt_entry> entries_;
  std::deque<attempt_id> answers_;  // attempts with a kept answer, oldest first
  std::size_t answer_bytes_ = 0;
};

}  // namespace persimmon
