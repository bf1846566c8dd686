#include "persimmon/event_sequence.h"

#include <algorithm>
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

namespace {

// True if a gap between two ids is that of several steps, so that events between them are missing.
bool IsMultiple(std::uint64_t gap, std::uint64_t step) { return gap > step && gap % step == 0; }

}  // namespace

void id_steps::Add(std::uint64_t step) {
  if (count_ == 0) {
    step_ = step;
    count_ = 1;
  } else if (has_shorter_ || step > step_) {
    varies_ = true;
  } else if (step < step_) {
    has_shorter_ = true;
  } else {
    count_ = std::min(count_ + 1, kCertain);
  }
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
  unconfirmed_.clear();
  fault_ = nullptr;
  begins_stream_ = kind_ == id_kind::kUnknown;
  has_event_ = false;
  is_decreasing_ = false;
  run_first_.reset();
  run_steps_ = {};
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
  // An id that later events of other streams have. Others, such as that of a shorter first event, prove nothing.
  const bool is_later = number && kind_ == id_kind::kUnknown && known_.first && known_.step && !known_.varies &&
                        *number > *known_.first && (*number - *known_.first) % *known_.step == 0;
  if (is_later) {
    return Break("the first event of the stream is missing");
  }
  kind_ = number ? id_kind::kNumbers : id_kind::kTexts;
  last_ = number.value_or(0);
  has_event_ = true;
  return event_verdict::kFollows;
}

event_verdict event_sequence::CheckNumber(std::uint64_t number) {
  const std::uint64_t before = unconfirmed_.empty() ? last_ : unconfirmed_.back();
  if (number <= before) {
    return Break("the id of an event is not greater than the one before");
  }
  if (!has_event_) {
    unconfirmed_.push_back(number);
    return CheckContinuation();
  }
  steps_.Add(number - last_);
  last_ = number;
  return event_verdict::kFollows;
}

std::optional<std::uint64_t> event_sequence::CertainStep() const {
  if (steps_.Count() >= id_steps::kCertain) {
    return steps_.Common();
  }
  // The step of the service is not that of a stream with other ids.
  const bool is_usual =
      known_.step && (!known_.first || (last_ >= *known_.first && (last_ - *known_.first) % *known_.step == 0));
  return is_usual ? known_.step : std::nullopt;
}

id_steps event_sequence::UnconfirmedSteps() const {
  id_steps steps;
  for (std::size_t i = 1; i < unconfirmed_.size(); ++i) {
    steps.Add(unconfirmed_[i] - unconfirmed_[i - 1]);
  }
  return steps;
}

event_verdict event_sequence::CheckContinuation() {
  constexpr const char* kNotNext = "the run does not begin at the next event";
  const std::uint64_t gap = unconfirmed_.front() - last_;
  const auto certain = CertainStep();
  const id_steps steps = UnconfirmedSteps();
  // A shorter step before a further event is not that before the last one, so it shows that the steps vary.
  const bool varies = Varies() || steps_.EndShorter() || steps.Vary();
  const std::uint64_t expected = certain.value_or(steps_.Common().value_or(1));
  if (varies || gap == expected || (!certain && gap == steps.Common())) {
    Confirm();
    return event_verdict::kFollows;
  }
  const bool is_last = unconfirmed_.size() == 1 && gap < expected;  // unless another event comes
  if (certain) {
    return is_last ? event_verdict::kUnconfirmed : Break(kNotNext);
  }
  if (steps.Count() < id_steps::kComparable) {
    return event_verdict::kUnconfirmed;
  }
  if (IsMultiple(gap, *steps.Common())) {
    return Break(kNotNext);
  }
  Confirm();
  return event_verdict::kFollows;
}

// What is not known does not break a run. It is broken if the gap before it is several times the step that is known of
// the stream, or that of the run itself; a single step of the run may be the shorter one before the last event.
bool event_sequence::MayEndUnconfirmed() const {
  if (unconfirmed_.empty()) {
    return false;
  }
  const std::uint64_t gap = unconfirmed_.front() - last_;
  const id_steps steps = UnconfirmedSteps();
  if (steps.EndShorter() && IsMultiple(gap, *steps.Common())) {
    return false;
  }
  const auto step = CertainStep() ? CertainStep() : steps_.Common();
  return !step || !IsMultiple(gap, *step);
}

void event_sequence::Confirm() {
  for (std::size_t i = 1; i < unconfirmed_.size(); ++i) {
    steps_.Add(unconfirmed_[i] - unconfirmed_[i - 1]);
  }
  last_ = unconfirmed_.back();
  has_event_ = true;
  unconfirmed_.clear();
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
    run_steps_.Add(number - run_last_);
  }
  run_last_ = number;
}

std::optional<std::uint64_t> event_sequence::CountBefore() const {
  if (kind_ == id_kind::kUnknown || (IsNumbered() && !taken_up_at_)) {
    return 0;
  }
  const auto step = steps_.Common() ? steps_.Common() : known_.step;
  const bool is_known = taken_up_at_ && known_.first && step && !Varies() && *taken_up_at_ >= *known_.first &&
                        (*taken_up_at_ - *known_.first) % *step == 0;
  return is_known ? std::optional((*taken_up_at_ - *known_.first) / *step + 1) : std::nullopt;
}

bool event_sequence::HasCountedTokens(std::uint64_t tokens, std::uint64_t tokens_per_event) const {
  // Ids of events with one token each count tokens as well as events.
  const bool counts_tokens = known_.first == tokens_per_event && known_.step == tokens_per_event && !known_.varies;
  return counts_tokens && IsNumbered() && last_ == tokens;
}

numbering_sample event_sequence::Sample() const {
  numbering_sample sample;
  if (is_decreasing_) {
    return sample;
  }
  // A first event that is also the last may be shorter than the first events of other streams.
  sample.first = begins_stream_ && run_steps_ != id_steps() ? run_first_ : std::nullopt;
  sample.varies = run_steps_.Vary();
  sample.step = run_steps_.Count() >= id_steps::kComparable ? run_steps_.Common() : std::nullopt;
  return sample;
}

}  // namespace persimmon
