// Splits a stream of server-sent events into complete events and tracks the id of the last one.
//
// When another endpoint continues a stream, no event may be lost or repeated. So only complete events are passed on,
// and the next endpoint is asked to continue after the id of the last one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon {

// The id of an event as a number; nothing if it is no decimal number of at most 18 digits.
std::optional<std::uint64_t> ParseEventNumber(std::string_view id);

class event_splitter {
 public:
  // A longer event is a protocol error.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  // Adds bytes and returns the complete events, including buffered bytes. Buffers the incomplete event at the end.
  std::string Add(std::string_view bytes);

  // Bytes of the incomplete event.
  const std::string& Incomplete() const { return incomplete_; }

  // True if the bytes so far end inside an event. A stream that ends there has been broken off, however its end is
  // framed. Line breaks between events belong to none.
  bool IsInsideEvent() const { return incomplete_.find_first_not_of("\r\n") != std::string::npos; }

  // Reason why a stream that ends here has been broken off: it ends inside an event, or before its first one. Null if
  // it may be whole. `may_be_empty`: the stream continues one that may have nothing left.
  const char* FindBrokenEnd(bool may_be_empty) const;

  // Discards the incomplete event, after its endpoint was lost.
  void DropIncomplete() { incomplete_.clear(); }

  // Id of the last complete event; empty before the first one with an id.
  const std::string& LastId() const { return last_id_; }

  // Starts to observe the ids of another endpoint's events.
  void BeginRun();

  // Id of the first event of the run; empty: none yet.
  const std::string& RunFirstId() const { return run_first_id_; }

  // True unless an id of the run is not greater than the one before, or by another step than the ones so far.
  bool IdsFollow() const { return ids_follow_; }

  std::size_t EventCount() const { return events_; }
  bool IsOversized() const { return incomplete_.size() > kMaxEventBytes; }

 private:
  void RecordEvent(std::string_view event);
  void RecordId(std::string_view id);

  std::string incomplete_;
  std::string last_id_;
  std::string run_first_id_;
  std::uint64_t step_ = 0;  // between the ids so far; 0: not known
  bool ids_follow_ = true;
  std::size_t events_ = 0;
};

}  // namespace persimmon
