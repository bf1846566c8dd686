#include "persimmon/event_stream.h"

#include <algorithm>
#include <utility>

namespace persimmon {
namespace {

// Fields that an event may have once.
constexpr std::uint8_t kIdBit = 1;
constexpr std::uint8_t kTypeBit = 2;
constexpr std::uint8_t kExtensionBit = 4;

}  // namespace

bool IsEventStreamType(std::string_view content_type) {
  constexpr std::string_view kMediaType = "text/event-stream";
  const std::string_view media_type = content_type.substr(0, content_type.find_first_of("; \t"));
  const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
  return content_type.empty() || std::equal(media_type.begin(), media_type.end(), kMediaType.begin(), kMediaType.end(),
                                            [&](char a, char b) { return lower(a) == b; });
}

void event_splitter::BeginRun(const event_numbering& known) {
  DropIncomplete();
  sequence_.BeginRun(known);
  run_first_id_.clear();
  run_events_ = 0;
  fault_ = nullptr;
}

void event_splitter::DropIncomplete() {
  incomplete_.clear();
  line_begin_ = 0;
  scanned_ = 0;
  unconfirmed_events_ = 0;
  BeginBlock();
}

std::string event_splitter::Add(std::string_view bytes) {
  if (fault_ != nullptr) {
    return {};
  }
  incomplete_.append(bytes);
  std::size_t complete_end = 0;
  while (fault_ == nullptr) {
    const std::size_t line_end = incomplete_.find('\n', scanned_);
    if (line_end == std::string::npos) {
      scanned_ = incomplete_.size();
      break;
    }
    std::string_view line = std::string_view(incomplete_).substr(line_begin_, line_end - line_begin_);
    line.remove_suffix(line.ends_with('\r') ? 1 : 0);
    line_begin_ = line_end + 1;
    scanned_ = line_begin_;
    if (!line.empty()) {
      ReadLine(line);
    } else if (EndBlock()) {
      complete_end = line_begin_;
    }
  }
  std::string complete = incomplete_.substr(0, complete_end);
  incomplete_.erase(0, complete_end);
  line_begin_ -= complete_end;
  scanned_ -= complete_end;
  return complete;
}

std::optional<std::uint64_t> event_splitter::TotalCount() const {
  const auto before = sequence_.CountBefore();
  return before ? std::optional(*before + events_) : std::nullopt;
}

const char* event_splitter::FindBrokenEnd(bool is_exhausted) const {
  const std::string_view rest = std::string_view(incomplete_).substr(sequence_.IsUnconfirmed() ? line_begin_ : 0);
  if (is_event_ || rest.find_first_not_of("\r\n") != std::string_view::npos) {
    return "the body ends inside an event";
  }
  if (sequence_.IsUnconfirmed()) {
    return sequence_.MayEndUnconfirmed() ? nullptr : "the run does not begin at the next event";
  }
  return run_events_ == 0 && !is_exhausted ? "the body ends before its first event" : nullptr;
}

std::string event_splitter::TakeEnd() {
  if (sequence_.IsUnconfirmed()) {
    sequence_.Confirm();
    CountUnconfirmed();
  }
  return std::exchange(incomplete_, {});
}

void event_splitter::CountUnconfirmed() {
  events_ += unconfirmed_events_;
  run_events_ += unconfirmed_events_;
  unconfirmed_events_ = 0;
  if (!unconfirmed_id_.empty()) {
    last_id_ = unconfirmed_id_;
  }
}

void event_splitter::BeginBlock() {
  is_event_ = false;
  fields_ = 0;
  event_id_.clear();
}

void event_splitter::ReadLine(std::string_view line) {
  const std::size_t name_end = line.find(':');
  if (name_end == 0) {
    return;  // a comment
  }
  std::string_view value = name_end == std::string_view::npos ? std::string_view() : line.substr(name_end + 1);
  value.remove_prefix(value.starts_with(' ') ? 1 : 0);
  ReadField(line.substr(0, name_end), value);
}

// Events are made of the fields of server-sent events and the extension, each of them once except data.
void event_splitter::ReadField(std::string_view name, std::string_view value) {
  std::uint8_t single = 0;  // bit of a field that may occur once
  if (name == "id") {
    single = kIdBit;
    event_id_ = value;
  } else if (name == "event") {
    single = kTypeBit;
  } else if (!name.empty() && name == extension_field_) {
    single = kExtensionBit;
  } else if (name == "retry") {
    return;  // the time until a reconnect is no part of an event
  } else if (name != "data") {
    fault_ = "a line is no field of an event";
    return;
  }
  if ((fields_ & single) != 0) {
    fault_ = "an event has a field twice";
  }
  fields_ = static_cast<std::uint8_t>(fields_ | single);
  is_event_ = true;
}

// True if all bytes so far may be passed on.
bool event_splitter::EndBlock() {
  if (is_event_) {
    const event_verdict verdict = sequence_.Check(event_id_);
    if (run_first_id_.empty()) {
      run_first_id_ = event_id_;
    }
    if (verdict == event_verdict::kBroken) {
      fault_ = sequence_.Fault();
      return false;
    }
    ++unconfirmed_events_;
    unconfirmed_id_ = event_id_;
    if (verdict == event_verdict::kFollows) {
      CountUnconfirmed();
    }
  }
  BeginBlock();
  return !sequence_.IsUnconfirmed();
}

}  // namespace persimmon
