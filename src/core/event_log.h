// Structured log on standard output: one JSON object per line, one line per event.
//
//   events.Line("router.model", "refused").Request(id).Add("reason", "queue_full").Add("waited_ms", 12);
//
// Lines are buffered and written when the descriptor is writable. Logging never blocks: lines over the limits are
// dropped and counted, and the next line that is logged carries the count in the field "dropped".
#pragma once

#include <fmt/format.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/timers.h"

namespace persimmon {

struct event_log_settings {
  double lines_per_second = 300;            // sustained rate; a request takes about three lines
  double burst_lines = 3'000;               // burst above the sustained rate (token bucket size)
  std::size_t pending_bytes = 256U << 10U;  // buffer size while the descriptor is not writable
  milliseconds flush_period = milliseconds(100);

  bool operator==(const event_log_settings&) const = default;
};

class event_log;

// Builder of one line. The destructor logs the line.
class event_line {
 public:
  event_line(event_log* log, std::string_view component, std::string_view event);
  event_line(const event_line&) = delete;
  event_line& operator=(const event_line&) = delete;
  ~event_line();

  event_line& Request(std::string_view id) { return Add("request", id); }

  template <std::integral number>
  event_line& Add(std::string_view name, number value) {
    if (log_ != nullptr) {
      if constexpr (std::same_as<number, bool>) {
        fmt::format_to(std::back_inserter(text_), R"(,"{}":{})", name, value ? "true" : "false");
      } else {
        fmt::format_to(std::back_inserter(text_), R"(,"{}":{})", name, value);
      }
    }
    return *this;
  }
  event_line& Add(std::string_view name, double value);
  event_line& Add(std::string_view name, std::string_view value);
  event_line& Add(std::string_view name, const char* value) { return Add(name, std::string_view(value)); }

 private:
  event_log* log_;  // null: the line is dropped by the rate limit
  std::string text_;
};

class event_log {
 public:
  // Writes to a file descriptor; the default is standard output.
  explicit event_log(event_log_settings settings, int descriptor = 1);

  event_line Line(std::string_view component, std::string_view event);

  // Writes as much of the buffer as the descriptor accepts without blocking.
  void Flush();

  std::uint64_t WrittenLines() const { return written_; }
  std::uint64_t DroppedLines() const { return dropped_; }
  milliseconds FlushPeriod() const { return settings_.flush_period; }

 private:
  friend class event_line;
  bool TakeToken();
  void Append(std::string line);

  event_log_settings settings_;
  int descriptor_;
  std::string pending_;
  double tokens_;
  time_point last_refill_;
  std::uint64_t written_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_drops_ = 0;
};

// The event log of this process.
event_log& Events();

}  // namespace persimmon
