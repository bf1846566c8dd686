#include "persimmon/event_stream.h"

namespace persimmon {

std::string event_splitter::Add(std::string_view bytes) {
  // The blank line that ends an event may be split between two pieces.
  const std::size_t searched = rest_.size() < 3 ? 0 : rest_.size() - 3;
  rest_.append(bytes);
  std::size_t begin = 0;
  std::size_t from = searched;
  while (true) {
    const auto plain = rest_.find("\n\n", from);
    const auto with_returns = rest_.find("\r\n\r\n", from);
    if (plain == std::string::npos && with_returns == std::string::npos) {
      break;
    }
    const std::size_t end = plain < with_returns ? plain + 2 : with_returns + 4;
    NoteEvent(std::string_view(rest_).substr(begin, end - begin));
    begin = end;
    from = end;
  }
  std::string complete = rest_.substr(0, begin);
  rest_.erase(0, begin);
  return complete;
}

void event_splitter::NoteEvent(std::string_view event) {
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
