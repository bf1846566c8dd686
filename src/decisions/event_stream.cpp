#include "persimmon/event_stream.h"

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
      RecordId(line);
    }
  }
}

void event_splitter::BeginRun() {
  run_first_id_.clear();
  ids_follow_ = true;
}

void event_splitter::RecordId(std::string_view id) {
  const auto number = ParseEventNumber(id);
  const auto last = ParseEventNumber(last_id_);
  if (number && last) {
    const bool is_greater = *number > *last;
    const std::uint64_t step = is_greater ? *number - *last : 0;
    ids_follow_ = ids_follow_ && is_greater && (step_ == 0 || step == step_);
    step_ = is_greater ? step : step_;
  }
  if (run_first_id_.empty()) {
    run_first_id_ = std::string(id);
  }
  last_id_ = std::string(id);
}

}  // namespace persimmon
