// Server-sent events of one stream: where events end, and the id of the last whole one.
//
// A stream that goes on at another endpoint must neither miss an event nor repeat one, so only whole events are passed
// on, and the next endpoint is asked to continue after the id of the last one.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace persimmon {

class event_splitter {
 public:
  // An event longer than this is not part of a valid stream.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  // Adds bytes and returns those that complete events, together with what was held back before. The rest is held back.
  std::string Add(std::string_view bytes);

  // Bytes of an event that has not ended.
  const std::string& Rest() const { return rest_; }

  // Forgets the unfinished event, because its endpoint was lost.
  void DropRest() { rest_.clear(); }

  // Id of the last whole event; empty before the first one with an id.
  const std::string& LastId() const { return last_id_; }

  std::size_t EventCount() const { return events_; }
  bool IsOverlong() const { return rest_.size() > kMaxEventBytes; }

 private:
  void NoteEvent(std::string_view event);

  std::string rest_;
  std::string last_id_;
  std::size_t events_ = 0;
};

}  // namespace persimmon
