// Subcommands of persimmonctl.
#pragma once

#include <string>
#include <vector>

#include "core/settings.h"
#include "core/timers.h"

namespace persimmon {

inline constexpr int kExitDone = 0;         // success; wait: in force everywhere; diff: no differences
inline constexpr int kExitDifferent = 1;    // diff: there are differences; wait: not in force everywhere in time
inline constexpr int kExitInvalid = 2;      // invalid command line, file or record; nothing was written
inline constexpr int kExitConflict = 3;     // another writer changed a record since it was read; nothing was written
inline constexpr int kExitNotFound = 4;     // the record or code does not exist
inline constexpr int kExitUnavailable = 5;  // the platform does not respond; nothing was written
inline constexpr int kExitUnknown = 6;      // the write may have taken effect; read the record before repeating it

struct ctl_options {
  std::vector<host_port> platform;
  std::string secret;
  bool json = false;
  milliseconds timeout = milliseconds(15'000);         // time limit of the subcommand wait
  milliseconds request_timeout = milliseconds(2'000);  // time limit of one request to the platform

  bool operator==(const ctl_options&) const = default;
};

// Runs a subcommand and returns its exit code. Prints results to standard output and errors to standard error.
task<int> RunCommand(asio::io_context& context, ctl_options options, std::vector<std::string> arguments);

}  // namespace persimmon
