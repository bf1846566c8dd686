// The agent's table of attempts: an attempt id runs at most once, a tombstoned id never runs.
//
// Sections
//   1. values
//   2. refusals of a full table
//   3. table
//
// A full table accepts no new attempt, and what it has refused stays refused: the ids go into a filter of fixed size,
// so that a delayed copy is refused too even if entries have expired in the meantime.
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

enum class attempt_record_phase : std::uint8_t { kTombstoned, kRunning, kDone };

enum class accept_verdict : std::uint8_t {
  kRun,               // first time: run it
  kTombstoned,        // cancelled before it arrived, or refused by a full table: never run it
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
  std::size_t refusal_bits = 1U << 21U;                    // per filter of refused ids; 2 filters of 256 KiB

  bool operator==(const attempt_limits&) const = default;
};

struct attempt_entry {
  attempt_record_phase phase = attempt_record_phase::kRunning;
  time_point changed;
  std::optional<std::string> answer;  // encoded by the agent; absent if dropped or never kept

  bool operator==(const attempt_entry&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. refusals of a full table
// ---------------------------------------------------------------------------------------------------------------------

// Remembers ids for at least the retention in bounded memory. It may also name ids that were never added: such an
// attempt is refused, which is truthful, because its delayed copies are then refused as well.
class refusal_filter {
 public:
  refusal_filter(std::size_t bits, milliseconds retention) : bits_(bits == 0 ? 1 : bits), retention_(retention) {}

  void Add(const attempt_id& attempt, time_point now);
  bool Contains(const attempt_id& attempt) const;
  void Expire(time_point now);

 private:
  static constexpr std::size_t kHashes = 4;  // 1% false positives at 10 bits per id

  struct generation {
    std::vector<bool> bits;  // empty until the first id is added
    time_point latest;       // when the last id was added
  };

  std::array<std::size_t, kHashes> Positions(const attempt_id& attempt) const;

  std::size_t bits_;
  milliseconds retention_;
  time_point rotated_;
  std::array<generation, 2> generations_;  // current, previous
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. table
// ---------------------------------------------------------------------------------------------------------------------

class attempt_table {
 public:
  attempt_table(incarnation_number incarnation, attempt_limits limits)
      : incarnation_(incarnation), limits_(limits), refusals_(limits.refusal_bits, limits.entry_retention) {}

  // Decides whether a start message may run. An incarnation of 0 accepts any. Every verdict but kRun holds for all
  // later copies of the message within the entry retention.
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
  bool HasAnswer(const attempt_id& attempt) const;

  bool IsFull() const { return entries_.size() >= limits_.entries; }

  incarnation_number incarnation_;
  attempt_limits limits_;
  refusal_filter refusals_;
  std::unordered_map<attempt_id, attempt_entry> entries_;
  std::deque<attempt_id> answers_;  // attempts with a kept answer, oldest first
  std::size_t answer_bytes_ = 0;
};

}  // namespace persimmon
