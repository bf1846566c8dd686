#include "persimmon/event_sequence.h"

#include <charconv>

namespace persimmon {

std::optional<std::uint64_t> ParseEventNumber(std::string_view id) {
  constexpr std::size_t kMaxDigits = 18;  // of a number that fits into 64 bits, also with a step added
  std::uint64_t number = 0;
  const char* end = id.data() + id.size();
  const auto [parsed_end, failure] = std::from_chars(id.data(), end, number);
  const bool is_number = !id.empty() && id.size() <= kMaxDigits && failure == std::errc() && parsed_end == end;
  return is_number ? std::optional(number) : std::nullopt;
}

void event_sequence::TakeUp(std::string_view id) {
  if (id.empty()) {
    return;
  }
  const auto number = ParseEventNumber(id);
  kind_ = number ? id_kind::kNumbers : id_kind::kTexts;
  last_ = number.value_or(0);
  taken_up_at_ = number;
}

void event_sequence::BeginRun(const event_numbering& known) {
  known_ = known;
  unconfirmed_.reset();
  fault_ = nullptr;
  begins_stream_ = kind_ == id_kind::kUnknown;
  has_event_ = false;
  is_decreasing_ = false;
  varies_ = false;
  steps_ = 0;
  run_step_ = 0;
  run_first_.reset();
}

event_verdict event_sequence::Check(std::string_view id) {
  const auto number = ParseEventNumber(id);
  if (number) {
    Observe(*number);
  } else if (!run_first_) {
    begins_stream_ = false;  // the first number of the run is not that of its first event
  }
  if (kind_ == id_kind::kUnknown || kind_ == id_kind::kNone) {
    return CheckFirst(id);
  }
  if (id.empty()) {
    return Break("an event has no id");
  }
  if (kind_ == id_kind::kTexts) {
    return event_verdict::kFollows;
  }
  return number ? CheckNumber(*number) : Break("the id of an event is no number");
}

event_verdict event_sequence::CheckFirst(std::string_view id) {
  if (id.empty() && known_.first) {
    return Break("the first event of the stream has no id");
  }
  if (id.empty()) {
    kind_ = id_kind::kNone;
    return event_verdict::kFollows;
  }
  const auto number = ParseEventNumber(id);
  if (number && kind_ == id_kind::kUnknown && known_.first && *number != *known_.first) {
    return Break("the first event of the stream is missing");
  }
  kind_ = number ? id_kind::kNumbers : id_kind::kTexts;
  last_ = number.value_or(0);
  has_event_ = true;
  return event_verdict::kFollows;
}

event_verdict event_sequence::CheckNumber(std::uint64_t number) {
  const std::uint64_t before = unconfirmed_.value_or(last_);
  if (number <= before) {
    return Break("the id of an event is not greater than the one before");
  }
  const std::uint64_t step = number - before;
  const bool continues_another = !has_event_ && !unconfirmed_;
  std::optional<std::uint64_t> expected = step_ ? step_ : known_.step;
  if (unconfirmed_) {
    expected = *unconfirmed_ - last_;
  } else if (!expected && (!continues_another || step == 1)) {
    expected = step;
  }
  if (known_.varies) {
    expected = step;
  }
  if (!expected) {
    unconfirmed_ = number;
    return event_verdict::kUnconfirmed;
  }
  if (step != *expected) {
    varies_ = varies_ || (!continues_another && !unconfirmed_);
    return Break(continues_another || unconfirmed_ ? "the run does not begin at the next event"
                                                   : "the id of an event is not the next one");
  }
  last_ = number;
  step_ = step;
  has_event_ = true;
  unconfirmed_.reset();
  return event_verdict::kFollows;
}

event_verdict event_sequence::Break(const char* fault) {
  fault_ = fault;
  return event_verdict::kBroken;
}

void event_sequence::Observe(std::uint64_t number) {
  if (!run_first_) {
    run_first_ = number;
  } else if (number <= run_last_) {
    is_decreasing_ = true;
  } else {
    const std::uint64_t step = number - run_last_;
    varies_ = varies_ || (steps_ > 0 && step != run_step_);
    run_step_ = step;
    ++steps_;
  }
  run_last_ = number;
}

std::optional<std::uint64_t> event_sequence::CountBefore() const {
  if (kind_ == id_kind::kUnknown || (IsNumbered() && !taken_up_at_)) {
    return 0;
  }
  const auto step = step_ ? step_ : known_.step;
  const bool is_known = taken_up_at_ && known_.first && step && !known_.varies && *taken_up_at_ >= *known_.first &&
                        (*taken_up_at_ - *known_.first) % *step == 0;
  return is_known ? std::optional((*taken_up_at_ - *known_.first) / *step + 1) : std::nullopt;
}

numbering_sample event_sequence::Sample() const {
  constexpr std::uint32_t kMinSteps = 2;  // one step alone cannot be compared
  numbering_sample sample;
  if (is_decreasing_) {
    return sample;
  }
  sample.first = begins_stream_ ? run_first_ : std::nullopt;
  sample.varies = varies_;
  if (!varies_ && steps_ >= kMinSteps) {
    sample.step = run_step_;
  }
  return sample;
}

}  // namespace persimmon
