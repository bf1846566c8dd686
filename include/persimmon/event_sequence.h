// Order of the event ids of a stream: decides whether an event follows the ones before it.
//
// Within a run, which one endpoint sends over one connection, ids only have to increase. Services number their events
// as they like: by one, by a fixed step, or by the tokens so far, so that the steps are uneven and the last one is
// shorter.
//
// Where one run continues another, an event may have been omitted or repeated, so the first event of the new run must
// be the next one. As far as the steps of the ids are known, they tell which one that is.
//
// Sections
//   1. values
//   2. sequence of one stream
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. values
// ---------------------------------------------------------------------------------------------------------------------

// The id of an event as a number; nothing if it is no decimal number of at most 18 digits.
std::optional<std::uint64_t> ParseEventNumber(std::string_view id);

// How a service numbers the events of its streams.
struct event_numbering {
  std::optional<std::uint64_t> first = {};  // id of the first event of each stream; absent: not known
  std::optional<std::uint64_t> step = {};   // from one id to the next, but for a shorter last one; absent: not known
  bool varies = false;                      // the steps differ

  bool operator==(const event_numbering&) const = default;
};

// What the ids of one run show of the numbering of its service.
struct numbering_sample {
  std::optional<std::uint64_t> first = {};  // only of a run that begins a stream and has further events
  std::optional<std::uint64_t> step = {};   // at least two equal steps, and no other but a shorter last one
  bool varies = false;                      // the steps differ

  bool operator==(const numbering_sample&) const = default;
};

// Steps between the ids of consecutive events. The last step of a stream may be shorter than the others.
class id_steps {
 public:
  static constexpr std::uint32_t kComparable = 2;  // equal steps that show a step; one alone may be any
  static constexpr std::uint32_t kCertain = 4;     // equal steps that are no coincidence

  void Add(std::uint64_t step);

  // The step of all pairs of events but possibly the last one. Absent: there is none, or the steps vary.
  std::optional<std::uint64_t> Common() const { return count_ > 0 && !varies_ ? std::optional(step_) : std::nullopt; }

  // Equal steps on which Common rests, at most kCertain.
  std::uint32_t Count() const { return varies_ ? 0 : count_; }

  // True if the steps differ, apart from a shorter last one.
  bool Vary() const { return varies_; }

  // True if the last step is shorter than the others, as before the last event of a stream.
  bool EndShorter() const { return has_shorter_; }

  bool operator==(const id_steps&) const = default;

 private:
  std::uint64_t step_ = 0;
  std::uint32_t count_ = 0;   // equal steps, at most kCertain
  bool has_shorter_ = false;  // after the equal ones
  bool varies_ = false;
};

enum class event_verdict : std::uint8_t {
  kFollows,
  kUnconfirmed,  // the next events, or the end of the run, decide
  kBroken,       // the run must not go on; see Fault
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. sequence of one stream
// ---------------------------------------------------------------------------------------------------------------------

// Ids of the events of one stream across the runs that bring it.
class event_sequence {
 public:
  // The stream continues after an event that another router or connection has brought.
  void TakeUp(std::string_view id);

  // Starts a run that continues after the last event that follows. `known`: the numbering of the service.
  void BeginRun(const event_numbering& known);

  // Decides on the next event of the run; an empty id: it has none.
  event_verdict Check(std::string_view id);

  // Reason of the last verdict kBroken.
  const char* Fault() const { return fault_; }

  // True while events are unconfirmed.
  bool IsUnconfirmed() const { return !unconfirmed_.empty(); }

  // True if the unconfirmed events may be the last ones of the stream.
  bool MayEndUnconfirmed() const;

  // The unconfirmed events follow.
  void Confirm();

  // True if the ids so far tell which event a further run must begin with.
  bool IsNumbered() const { return kind_ == id_kind::kNumbers; }

  // Events before the one after which the stream was taken up, and that one. Absent: the numbering does not tell.
  std::optional<std::uint64_t> CountBefore() const;

  // True if the last event that follows has the id `tokens` and ids are known to count the tokens so far.
  // `tokens_per_event`: of a full event.
  bool HasCountedTokens(std::uint64_t tokens, std::uint64_t tokens_per_event) const;

  // True if the steps of the ids are known to differ, so that events hold different numbers of tokens.
  bool Varies() const { return known_.varies || steps_.Vary(); }

  numbering_sample Sample() const;

 private:
  enum class id_kind : std::uint8_t { kUnknown, kNumbers, kTexts, kNone };

  event_verdict CheckFirst(std::string_view id);
  event_verdict CheckNumber(std::uint64_t number);
  // Decides whether the run continues after last_, from its first events.
  event_verdict CheckContinuation();
  event_verdict Break(const char* fault);
  void Observe(std::uint64_t number);
  id_steps UnconfirmedSteps() const;
  // The step that a continuation must have, as far as it is known for certain.
  std::optional<std::uint64_t> CertainStep() const;

  id_kind kind_ = id_kind::kUnknown;
  std::uint64_t last_ = 0;                    // id of the last event that follows; with kNumbers
  id_steps steps_;                            // between events that follow, within the runs of the stream
  std::vector<std::uint64_t> unconfirmed_;    // ids of the first events of the run
  std::optional<std::uint64_t> taken_up_at_;  // id of an event that was not seen here
  event_numbering known_;
  const char* fault_ = nullptr;

  // Of the run.
  bool has_event_ = false;  // one that follows
  bool begins_stream_ = true;
  bool is_decreasing_ = false;
  std::optional<std::uint64_t> run_first_;
  std::uint64_t run_last_ = 0;
  id_steps run_steps_;
};

}  // namespace persimmon
