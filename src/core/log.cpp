#include "core/log.h"

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "core/event_log.h"

namespace persimmon {
namespace {

std::atomic<log_level> minimum_level{log_level::kInfo};
std::atomic<bool> uses_event_log{false};

const char* LevelName(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return "debug";
    case log_level::kInfo:
      return "info";
    case log_level::kWarning:
      return "warning";
    case log_level::kError:
      return "error";
  }
  return "error";
}

}  // namespace

void SetLogLevel(log_level level) { minimum_level = level; }

bool ParseLogLevel(std::string_view text, log_level& level) {
  for (log_level candidate : {log_level::kDebug, log_level::kInfo, log_level::kWarning, log_level::kError}) {
    if (text == LevelName(candidate)) {
      level = candidate;
      return true;
    }
  }
  return false;
}

void UseEventLog() { uses_event_log = true; }

namespace detail {

bool IsLogged(log_level level) { return level >= minimum_level.load(std::memory_order_relaxed); }

void WriteLogLine(log_level level, std::string_view component, std::string_view request, std::string_view sentence) {
  if (uses_event_log) {
    auto line = Events().Line(component, "message");
    line.Add("level", LevelName(level));
    if (!request.empty()) {
      line.Request(request);
    }
    line.Add("message", sentence);
    return;
  }
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  std::string line = fmt::format("{:%Y-%m-%dT%H:%M:%S}Z {:<7} {}: ", now, LevelName(level), component);
  if (!request.empty()) {
    line += fmt::format("request={} ", request);
  }
  line.append(sentence);
  line.push_back('\n');
  // A single write per line, so that lines of processes that share a terminal do not interleave.
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace detail

void AbortProgram(std::string_view reason) {
  detail::WriteLogLine(log_level::kError, "core.misuse", "", reason);
  Events().Flush();
  std::abort();
}

}  // namespace persimmon
