// Main function shared by all daemons: command line, settings check, signals, exit codes.
//
//   int main(int argc, char** argv) {
//     return persimmon::RunDaemon<router_settings>(argc, argv, {"persimmon-router", "Routes ..."}, BindSettings, Run);
//   }
#pragma once

#include <functional>
#include <string>

#include "core/event_log.h"
#include "core/kernel.h"
#include "core/settings.h"

namespace persimmon {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;   // startup failed, or a failure at run time
inline constexpr int kExitSettings = 2;  // invalid settings or command line; the program was not started

inline constexpr const char* kProgramVersion = "0.1.0";

struct program_description {
  std::string name;     // name of the binary
  std::string summary;  // one sentence, shown by --help

  bool operator==(const program_description&) const = default;
};

namespace detail {

// Parses --config FILE, --check, --log_level, --help and --version. Returns false if the program must exit with
// exit_code.
bool ReadCommandLine(int& argc, char**& argv, const program_description& description, std::string& config_path,
                     bool& check_only, int& exit_code);

// Prints the findings to standard error, or, if there are none, a line to standard output that the settings are valid.
// Returns the exit code.
int ReportSettings(const std::string& path, const finding_list& findings, bool check_only);

// Runs the kernel until a graceful shutdown has finished. on_stop is called on the first SIGTERM or SIGINT and receives
// a callback to call when shutdown is complete; a second signal ends the program immediately.
using stop_function = std::function<void(std::function<void()> finished)>;
int RunKernel(kernel& services, const stop_function& on_stop);

}  // namespace detail

// Runs a daemon. bind_settings binds the fields of the settings struct; build registers the services in the kernel and
// returns the function that performs a graceful shutdown, or an error.
template <class settings>
int RunDaemon(int argc, char** argv, const program_description& description,
              const std::function<void(settings_binder&, settings&)>& bind_settings,
              const std::function<result<detail::stop_function>(kernel&, const settings&)>& build) {
  std::string path;
  bool check_only = false;
  int exit_code = kExitSuccess;
  if (!detail::ReadCommandLine(argc, argv, description, path, check_only, exit_code)) {
    return exit_code;
  }
  settings values;
  const settings_file file = ReadSettingsFile(path);
  settings_binder binder(file);
  bind_settings(binder, values);
  // For an unreadable file, report only that and not every missing key.
  const finding_list findings = file.entries.empty() && !file.findings.empty() ? file.findings : binder.Finish();
  if (check_only || !findings.empty()) {
    return detail::ReportSettings(path, findings, check_only);
  }
  UseEventLog();
  kernel services;
  auto on_stop = build(services, values);
  if (!on_stop) {
    logger("core.program").Error("Cannot start: {}.", on_stop.error().message);
    Events().Flush();
    return kExitFailure;
  }
  return detail::RunKernel(services, on_stop.value());
}

}  // namespace persimmon
