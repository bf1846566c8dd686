#include "core/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace persimmon {
namespace {

// PIPE_BUF on Linux: a pipe that polls as writable accepts a write of this size without blocking.
constexpr std::size_t kAtomicWriteBytes = 4'096;

// Of a text in a line. Some texts are chosen by callers and endpoints.
constexpr std::size_t kMaxTextBytes = 1'024;

bool IsWritable(int descriptor) {
  pollfd poll_entry{descriptor, POLLOUT, 0};
  return poll(&poll_entry, 1, 0) == 1 && (poll_entry.revents & POLLOUT) != 0;
}

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

event_line::event_line(event_log* log, std::string_view component, std::string_view event) : log_(log) {
  if (log_ != nullptr) {
    text_ = fmt::format(R"({{"t":{},"part":"{}","event":"{}")", UnixMilliseconds(), component, event);
  }
}

event_line::~event_line() {
  if (log_ != nullptr) {
    log_->Append(std::move(text_));
  }
}

event_line& event_line::Add(std::string_view name, double value) {
  if (log_ != nullptr) {
    fmt::format_to(std::back_inserter(text_), R"(,"{}":{:.3f})", name, value);
  }
  return *this;
}

event_line& event_line::Add(std::string_view name, std::string_view value) {
  if (log_ != nullptr) {
    nlohmann::json text(value.substr(0, kMaxTextBytes));
    if (value.size() > kMaxTextBytes) {
      text.get_ref<std::string&>() += fmt::format("... ({} bytes)", value.size());
    }
    const std::string quoted = text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    fmt::format_to(std::back_inserter(text_), R"(,"{}":{})", name, quoted);
  }
  return *this;
}

event_log::event_log(event_log_settings settings, int descriptor)
    : settings_(settings),
      descriptor_(descriptor),
      tokens_(settings.burst_lines),
      last_refill_(std::chrono::steady_clock::now()) {}

event_line event_log::Line(std::string_view component, std::string_view event) {
  return event_line(TakeToken() ? this : nullptr, component, event);
}

bool event_log::TakeToken() {
  const time_point now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> elapsed = now - last_refill_;
  last_refill_ = now;
  tokens_ = std::min(settings_.burst_lines, tokens_ + elapsed.count() * settings_.lines_per_second);
  if (tokens_ < 1) {
    ++dropped_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

void event_log::Append(std::string line) {
  if (pending_.size() + line.size() > settings_.pending_bytes) {
    Flush();
  }
  if (pending_.size() + line.size() > settings_.pending_bytes) {
    ++dropped_;
    return;
  }
  if (dropped_ > reported_drops_) {
    line += fmt::format(R"(,"dropped":{})", dropped_ - reported_drops_);
    reported_drops_ = dropped_;
  }
  pending_ += line;
  pending_ += "}\n";
  ++written_;
  if (pending_.size() >= kAtomicWriteBytes) {
    Flush();
  }
}

void event_log::Flush() {
  std::size_t begin = 0;
  while (begin < pending_.size() && IsWritable(descriptor_)) {
    const std::size_t count = std::min(kAtomicWriteBytes, pending_.size() - begin);
    const ssize_t written = write(descriptor_, pending_.data() + begin, count);
    if (written <= 0) {
      break;
    }
    begin += static_cast<std::size_t>(written);
  }
  pending_.erase(0, begin);
}

event_log& Events() {
  static event_log log{event_log_settings{}};
  return log;
}

}  // namespace persimmon
