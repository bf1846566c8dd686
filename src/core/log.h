// Logger. A line has a time, level, component, request id if any, and one short sentence. Daemons write lines to the
// structured log on standard output (core/event_log.h), other programs to standard error.
#pragma once

#include <fmt/core.h>

#include <string>
#include <string_view>
#include <utility>

namespace persimmon {

enum class log_level { kDebug, kInfo, kWarning, kError };

// Lines below this level are dropped. Default: kInfo.
void SetLogLevel(log_level level);

// Parses "debug", "info", "warning" or "error"; returns false for any other text.
bool ParseLogLevel(std::string_view text, log_level& level);

// Redirects all further lines to the structured log of this process. Called once by daemons.
void UseEventLog();

namespace detail {
bool IsLogged(log_level level);
void WriteLogLine(log_level level, std::string_view component, std::string_view request, std::string_view sentence);
}  // namespace detail

// Logger of one component. Copies are cheap; ForRequest returns one that adds the request id to every line.
class logger {
 public:
  explicit logger(std::string component) : component_(std::move(component)) {}

  logger ForRequest(std::string request) const {
    logger copy(component_);
    copy.request_ = std::move(request);
    return copy;
  }

  template <class... values>
  void Debug(fmt::format_string<values...> format, values&&... args) const {
    Write(log_level::kDebug, format, std::forward<values>(args)...);
  }
  template <class... values>
  void Info(fmt::format_string<values...> format, values&&... args) const {
    Write(log_level::kInfo, format, std::forward<values>(args)...);
  }
  template <class... values>
  void Warning(fmt::format_string<values...> format, values&&... args) const {
    Write(log_level::kWarning, format, std::forward<values>(args)...);
  }
  template <class... values>
  void Error(fmt::format_string<values...> format, values&&... args) const {
    Write(log_level::kError, format, std::forward<values>(args)...);
  }

 private:
  template <class... values>
  void Write(log_level level, fmt::format_string<values...> format, values&&... args) const {
    if (detail::IsLogged(level)) {
      detail::WriteLogLine(level, component_, request_, fmt::format(format, std::forward<values>(args)...));
    }
  }

  std::string component_;  // such as "router.queue"
  std::string request_;    // request id; empty: none
};

// Logs the reason and aborts the program. For violated preconditions, not for invalid input.
[[noreturn]] void AbortProgram(std::string_view reason);

}  // namespace persimmon
