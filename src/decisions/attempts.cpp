#include "persimmon/attempts.h"

#include <algorithm>
#include <utility>

namespace persimmon {
namespace {

bool IsOtherIncarnation(incarnation_number wanted, incarnation_number own) { return wanted != 0 && wanted != own; }

}  // namespace

std::array<std::size_t, rejected_attempt_filter::kHashes> rejected_attempt_filter::BitPositions(
    const attempt_id& attempt) const {
  // Double hashing. The second hash is made odd, so that the positions differ.
  const std::uint64_t first = std::hash<std::string>{}(attempt.value);
  const std::uint64_t second = std::hash<std::string>{}(attempt.value + "#") | 1U;
  std::array<std::size_t, kHashes> positions{};
  for (std::size_t i = 0; i < kHashes; ++i) {
    positions[i] = static_cast<std::size_t>((first + i * second) % bits_);
  }
  return positions;
}

void rejected_attempt_filter::Add(const attempt_id& attempt, time_point now) {
  Expire(now);
  generation& current = generations_.front();
  current.bits.resize(bits_);
  current.latest = now;
  for (const std::size_t position : BitPositions(attempt)) {
    current.bits[position] = true;
  }
}

bool rejected_attempt_filter::Contains(const attempt_id& attempt) const {
  const auto positions = BitPositions(attempt);
  return std::any_of(generations_.begin(), generations_.end(), [&positions](const generation& filter) {
    return !filter.bits.empty() && std::all_of(positions.begin(), positions.end(),
                                               [&filter](std::size_t position) { return filter.bits[position]; });
  });
}

void rejected_attempt_filter::Expire(time_point now) {
  generation& current = generations_.front();
  generation& previous = generations_.back();
  if (!previous.bits.empty() && now - previous.latest > retention_) {
    previous = {};
  }
  if (!current.bits.empty() && previous.bits.empty() && now - last_rotation_ > retention_) {
    std::swap(current, previous);
  }
  if (current.bits.empty()) {
    last_rotation_ = now;
  }
}

accept_verdict attempt_table::AcceptAttempt(const attempt_id& attempt, incarnation_number incarnation, time_point now) {
  if (IsOtherIncarnation(incarnation, incarnation_)) {
    return accept_verdict::kWrongIncarnation;
  }
  const auto found = entries_.find(attempt);
  if (found == entries_.end()) {
    if (rejected_.Contains(attempt)) {
      return accept_verdict::kTombstoned;
    }
    if (IsFull()) {
      // Evicting an entry could let its attempt run twice, so a full table rejects new attempts instead.
      rejected_.Add(attempt, now);
      return accept_verdict::kTombstoned;
    }
    entries_[attempt] = {attempt_entry_phase::kRunning, now, std::nullopt};
    return accept_verdict::kRun;
  }
  switch (found->second.phase) {
    case attempt_entry_phase::kTombstoned:
      return accept_verdict::kTombstoned;
    case attempt_entry_phase::kRunning:
      return accept_verdict::kAlreadyRunning;
    case attempt_entry_phase::kDone:
      return accept_verdict::kAlreadyDone;
  }
  return accept_verdict::kTombstoned;
}

tombstone_verdict attempt_table::TombstoneAttempt(const attempt_id& attempt, incarnation_number incarnation,
                                                  time_point now) {
  if (IsOtherIncarnation(incarnation, incarnation_)) {
    return tombstone_verdict::kWrongIncarnation;
  }
  auto found = entries_.find(attempt);
  if (found == entries_.end()) {
    if (IsFull()) {
      rejected_.Add(attempt, now);
      return tombstone_verdict::kConfirmed;
    }
    found = entries_.emplace(attempt, attempt_entry{attempt_entry_phase::kTombstoned, now, std::nullopt}).first;
  }
  switch (found->second.phase) {
    case attempt_entry_phase::kTombstoned:
      found->second.changed = now;  // the retention restarts with each confirmation
      return tombstone_verdict::kConfirmed;
    case attempt_entry_phase::kRunning:
      return tombstone_verdict::kRunning;
    case attempt_entry_phase::kDone:
      return tombstone_verdict::kDone;
  }
  return tombstone_verdict::kRunning;
}

void attempt_table::FinishAttempt(const attempt_id& attempt, std::string answer, time_point now) {
  const auto found = entries_.find(attempt);
  if (found == entries_.end() || found->second.phase != attempt_entry_phase::kRunning) {
    return;
  }
  found->second.phase = attempt_entry_phase::kDone;
  found->second.changed = now;
  if (answer.empty() || answer.size() > limits_.answer_bytes) {
    return;
  }
  answer_bytes_ += answer.size();
  found->second.answer = std::move(answer);
  answers_.push_back(attempt);
  while (answer_bytes_ > limits_.answer_bytes && !answers_.empty()) {
    const auto oldest = entries_.find(answers_.front());
    answers_.pop_front();
    if (oldest != entries_.end()) {
      DropAnswer(oldest->second);
    }
  }
}

const attempt_entry* attempt_table::FindAttempt(const attempt_id& attempt) const {
  const auto found = entries_.find(attempt);
  return found == entries_.end() ? nullptr : &found->second;
}

void attempt_table::ExpireEntries(time_point now) {
  rejected_.Expire(now);
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto age = now - entry->second.changed;
    const bool is_running = entry->second.phase == attempt_entry_phase::kRunning;
    if (!is_running && age > limits_.answer_retention) {
      DropAnswer(entry->second);
    }
    if (!is_running && age > limits_.entry_retention) {
      entry = entries_.erase(entry);
    } else {
      ++entry;
    }
  }
  while (!answers_.empty() && !HasAnswer(answers_.front())) {
    answers_.pop_front();
  }
}

bool attempt_table::HasAnswer(const attempt_id& attempt) const {
  const attempt_entry* entry = FindAttempt(attempt);
  return entry != nullptr && entry->answer.has_value();
}

void attempt_table::DropAnswer(attempt_entry& entry) {
  if (entry.answer) {
    answer_bytes_ -= entry.answer->size();
    entry.answer.reset();
  }
}

}  // namespace persimmon
