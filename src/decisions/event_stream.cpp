#include "persimmon/event_stream.h"

namespace persimmon {

std::string event_splitter::Add(std::string_view bytes) {
  // The blank line that ends an event may be split between two calls.
  const std::size_t search_begin = incomplete_.size() < 3 ? 0 : incomplete_.size() - 3;
  incomplete_.append(bytes);
  std::size_t begin = 0;
  std::size_t from = search_begin;
  while (true) {
    const auto lf_end = incomplete_.find("\n\n", from);
    const auto crlf_end = incomplete_.find("\r\n\r\n", from);
    if (lf_end == std::string::npos && crlf_end == std::string::npos) {
      break;
    }
    const std::size_t end = lf_end < crlf_end ? lf_end + 2 : crlf_end + 4;
    RecordEvent(std::string_view(incomplete_).substr(begin, end - begin));
    begin = end;
    from = end;
  }
  std::string complete = incomplete_.substr(0, begin);
  incomplete_.erase(0, begin);
  return complete;
}

const char* event_splitter::FindBrokenEnd(bool may_be_empty) const {
  if (IsInsideEvent()) {
    return "the body ends inside an event";
  }
  return events_ == 0 && !may_be_empty ? "the body ends before its first event" : nullptr;
}

void event_splitter::RecordEvent(std::string_view event) {
  ++events_;
  while (!event.empty()) {
    const auto end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.starts_with("id:")) {
      line.remove_prefix(3);
      line.remove_prefix(line.starts_with(' ') ? 1 : 0);
      last_id_ = std::string(line);
    }
  }
}

}  // namespace persimmon
