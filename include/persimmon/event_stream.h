// Splits a stream of server-sent events into complete events and checks that each follows the one before.
//
// When another endpoint continues a stream, no event may be lost or repeated. So only complete events that follow are
// passed on, and the next endpoint is asked to continue after the id of the last one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "persimmon/event_sequence.h"

namespace persimmon {

// True if a body of this content type can be a stream of events; an empty type: not stated.
bool IsEventStreamType(std::string_view content_type);

class event_splitter {
 public:
  // A longer event is a protocol error.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  // `extension_field`: name of a field that events may have beside those of server-sent events. It must outlive the
  // splitter.
  explicit event_splitter(std::string_view extension_field = {}) : extension_field_(extension_field) {}

  // The stream continues after the event with this id, which its caller has. Empty: it begins here.
  void TakeUp(std::string_view id) { sequence_.TakeUp(id); }

  // Starts the run of one endpoint, after the last complete event. Before the first run, it need not be called.
  void BeginRun(const event_numbering& known);

  // Adds bytes and returns the complete events that follow the ones before, including buffered bytes. Buffers the
  // incomplete event at the end, and one whose id the next one has to confirm. After a fault, nothing is returned.
  std::string Add(std::string_view bytes);

  // Reason why the bytes of the run are not the next events of the stream. Null: they are, so far.
  const char* FindFault() const { return fault_; }

  // Bytes of the incomplete event, and of those before it that are not confirmed.
  const std::string& Incomplete() const { return incomplete_; }

  // True if the bytes so far end inside an event. A stream that ends there has been broken off, however its end is
  // framed. Line breaks between events belong to none.
  bool IsInsideEvent() const { return incomplete_.find_first_not_of("\r\n") != std::string::npos; }

  // Reason why a run that ends here has been broken off: it ends inside an event, without any, or after events of which
  // some before are missing. Null if it may be whole. `is_exhausted`: the events before the run are all that the caller
  // asked for.
  const char* FindBrokenEnd(bool is_exhausted) const;

  // Returns what is left of a run that is whole: events that only its end confirms, and line breaks after the last one.
  std::string TakeEnd();

  // Discards the incomplete event, after its endpoint was lost.
  void DropIncomplete();

  // Id of the last complete event; empty before the first one with an id.
  const std::string& LastId() const { return last_id_; }

  // Id of the event that is being read, or that has the fault; empty: it has none.
  const std::string& CurrentId() const { return event_id_; }

  // Id of the first event of the run; empty: none yet.
  const std::string& RunFirstId() const { return run_first_id_; }

  // True if another endpoint can continue the stream: it has had no event yet, or its ids tell which event is next.
  bool IsContinuable() const { return events_ == 0 || sequence_.IsNumbered(); }

  const event_sequence& Sequence() const { return sequence_; }
  std::size_t EventCount() const { return events_; }

  // Events of the stream so far, with those before it was taken up. Absent: the ids do not tell.
  std::optional<std::uint64_t> TotalCount() const;

  bool IsOversized() const { return incomplete_.size() > kMaxEventBytes; }

 private:
  void ReadLine(std::string_view line);
  void ReadField(std::string_view name, std::string_view value);
  bool EndBlock();
  void BeginBlock();
  void CountUnconfirmed();

  std::string_view extension_field_;
  event_sequence sequence_;
  std::string incomplete_;
  std::size_t line_begin_ = 0;  // of the first line of `incomplete_` that has not been read
  std::size_t scanned_ = 0;     // bytes of `incomplete_` in which the end of that line was not found
  bool is_event_ = false;       // the current block has a field of an event
  std::uint8_t fields_ = 0;     // that may occur once and are in the current block, as bits
  std::string event_id_;
  std::string last_id_;
  std::string unconfirmed_id_;  // of the last unconfirmed event
  std::string run_first_id_;
  std::size_t events_ = 0;
  std::size_t run_events_ = 0;
  std::size_t unconfirmed_events_ = 0;
  const char* fault_ = nullptr;
};

}  // namespace persimmon
