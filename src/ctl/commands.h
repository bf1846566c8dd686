// Subcommands of persimmonctl.
#pragma once

#include <string>
#include <vector>

#include "core/settings.h"
#include "core/timers.h"

namespace persimmon {

inline constexpr int kExitDone = 0;         // done; wait: the revision is in force everywhere; diff: no difference
inline constexpr int kExitDifferent = 1;    // diff: there are differences; wait: not everywhere within the time
inline constexpr int kExitInvalid = 2;      // command line, file or record is invalid; nothing was written
inline constexpr int kExitConflict = 3;     // somebody else changed a record since it was read; nothing was written
inline constexpr int kExitNotFound = 4;     // the named record or code does not exist
inline constexpr int kExitUnavailable = 5;  // the platform does not answer; nothing was written
inline constexpr int kExitUnknown = 6;      // the write may have taken effect; read the record before repeating it

struct ctl_options {
  std::vector<host_port> platform;
  std::string secret;
  bool json = false;
  milliseconds timeout = milliseconds(15'000);         // of wait
  milliseconds request_timeout = milliseconds(2'000);  // of one request to the platform

  bool operator==(const ctl_options&) const = default;
};

// Runs a subcommand and returns the exit code. Results go to standard output, problems to standard error.
task<int> RunCommand(asio::io_context& context, ctl_options options, std::vector<std::string> words);

}  // namespace persimmon
