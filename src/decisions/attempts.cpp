#include "persimmon/attempts.h"

#include <utility>

namespace persimmon {
namespace {

bool IsOtherIncarnation(incarnation_number wanted, incarnation_number own) { return wanted != 0 && wanted != own; }

}  // namespace

accept_verdict attempt_table::AcceptAttempt(const attempt_id& attempt, incarnation_number incarnation, time_point now) {
  if (IsOtherIncarnation(incarnation, incarnation_)) {
    return accept_verdict::kWrongIncarnation;
  }
  const auto found = entries_.find(attempt);
  if (found == entries_.end()) {
    if (entries_.size() >= limits_.entries) {
      // Forgetting an entry could run its attempt twice, so a full table refuses new ones instead.
      return accept_verdict::kTombstoned;
    }
    entries_[attempt] = {attempt_record_phase::kRunning, now, std::nullopt};
    return accept_verdict::kRun;
  }
  switch (found->second.phase) {
    case attempt_record_phase::kTombstoned:
      return accept_verdict::kTombstoned;
    case attempt_record_phase::kRunning:
      return accept_verdict::kAlreadyRunning;
    case attempt_record_phase::kDone:
      return accept_verdict::kAlreadyDone;
  }
  return accept_verdict::kTombstoned;
}

tombstone_verdict attempt_table::TombstoneAttempt(const attempt_id& attempt, incarnation_number incarnation,
                                                  time_point now) {
  if (IsOtherIncarnation(incarnation, incarnation_)) {
    return tombstone_verdict::kWrongIncarnation;
  }
  const auto [found, inserted] =
      entries_.try_emplace(attempt, attempt_entry{attempt_record_phase::kTombstoned, now, std::nullopt});
  switch (found->second.phase) {
    case attempt_record_phase::kTombstoned:
      return tombstone_verdict::kConfirmed;
    case attempt_record_phase::kRunning:
      return tombstone_verdict::kRunning;
    case attempt_record_phase::kDone:
      return tombstone_verdict::kDone;
  }
  return tombstone_verdict::kRunning;
}

void attempt_table::FinishAttempt(const attempt_id& attempt, std::string answer, time_point now) {
  const auto found = entries_.find(attempt);
  if (found == entries_.end() || found->second.phase != attempt_record_phase::kRunning) {
    return;
  }
  found->second.phase = attempt_record_phase::kDone;
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
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto age = now - entry->second.changed;
    const bool is_running = entry->second.phase == attempt_record_phase::kRunning;
    if (!is_running && age > limits_.answer_retention) {
      DropAnswer(entry->second);
    }
    if (!is_running && age > limits_.entry_retention) {
      entry = entries_.erase(entry);
    } else {
      ++entry;
    }
  }
}

void attempt_table::DropAnswer(attempt_entry& entry) {
  if (entry.answer) {
    answer_bytes_ -= entry.answer->size();
    entry.answer.reset();
  }
}

}  // namespace persimmon
