// Order of the event ids of a stream: decides whether an event follows the ones before it.
//
// A good run of events has ids that are decimal numbers and rise by one step, from the id after which the run
// continues. Everything else is a broken run. The step is learned: services count their events as they like.
//
// Sections
//   1. values
//   2. sequence of one stream
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. values
// ---------------------------------------------------------------------------------------------------------------------

// The id of an event as a number; nothing if it is no decimal number of at most 18 digits.
std::optional<std::uint64_t> ParseEventNumber(std::string_view id);

// How a service numbers the events of its streams.
struct event_numbering {
  std::optional<std::uint64_t> first = {};  // id of the first event of each stream; absent: not known
  std::optional<std::uint64_t> step = {};   // from one id to the next; absent: not known
  bool varies = false;  // the steps differ, so that an id only has to be greater than the one before

  bool operator==(const event_numbering&) const = default;
};

// What the ids of one run show of the numbering of its service.
struct numbering_sample {
  std::optional<std::uint64_t> first = {};  // only of a run that begins a stream
  std::optional<std::uint64_t> step = {};   // at least two equal steps, and no other
  bool varies = false;                      // the steps differ, or are not that of the service

  bool operator==(const numbering_sample&) const = default;
};

enum class event_verdict : std::uint8_t {
  kFollows,
  kUnconfirmed,  // the next event decides
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

  // True while an event is unconfirmed.
  bool IsUnconfirmed() const { return unconfirmed_.has_value(); }

  // True if the ids so far tell which event a further run must begin with.
  bool IsNumbered() const { return kind_ == id_kind::kNumbers; }

  // Events before the one after which the stream was taken up, and that one. Absent: the numbering does not tell.
  std::optional<std::uint64_t> CountBefore() const;

  numbering_sample Sample() const;

 private:
  enum class id_kind : std::uint8_t { kUnknown, kNumbers, kTexts, kNone };

  event_verdict CheckFirst(std::string_view id);
  event_verdict CheckNumber(std::uint64_t number);
  event_verdict Break(const char* fault);
  void Observe(std::uint64_t number);

  id_kind kind_ = id_kind::kUnknown;
  std::uint64_t last_ = 0;                    // id of the last event that follows; with kNumbers
  std::optional<std::uint64_t> step_;         // learned from the stream
  std::optional<std::uint64_t> unconfirmed_;  // id of an event
  std::optional<std::uint64_t> taken_up_at_;  // id of an event that was not seen here
  event_numbering known_;
  const char* fault_ = nullptr;

  // Of the run, for Sample.
  bool begins_stream_ = true;
  bool has_event_ = false;  // one that follows
  bool is_decreasing_ = false;
  bool varies_ = false;
  std::uint32_t steps_ = 0;
  std::uint64_t run_step_ = 0;
  std::optional<std::uint64_t> run_first_;
  std::uint64_t run_last_ = 0;
};

}  // namespace persimmon
