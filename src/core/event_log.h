// Structured log on standard output: one JSON object a line, one line for each decision.
//
//   events.Line("router.model", "refused").Request(id).Add("reason", "queue_full").Add("waited_ms", 12);
//
// Lines are gathered and written when the receiver is ready. Writing never blocks: lines beyond the limits are dropped
// and counted, and the next line that is written carries the count in "dropped".
#pragma once

#include <fmt/format.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/timers.h"

namespace persimmon {

struct event_log_settings {
  double lines_per_second = 300;            // sustained; a request takes about three lines
  double burst_lines = 3'000;               // beyond the sustained rate
  std::size_t pending_bytes = 256U << 10U;  // gathered while the receiver is not ready
  milliseconds flush_period = milliseconds(100);

  bool operator==(const event_log_settings&) const = default;
};

class event_log;

// One line under construction. It is logged when it is destroyed.
class event_line {
 public:
  event_line(event_log* log, std::string_view part, std::string_view event);
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
  event_log* log_;  // null: the line is dropped
  std::string text_;
};

class event_log {
 public:
  // Writes to a file descriptor; tests use others than standard output.
  explicit event_log(event_log_settings settings, int descriptor = 1);

  event_line Line(std::string_view part, std::string_view event);

  // Writes what the receiver accepts at once.
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
  time_point refilled_;
  std::uint64_t written_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_drops_ = 0;
};

// The log of this process.
event_log& Events();

}  // namespace persimmon
