#include "core/program.h"

#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>

DEFINE_string(config, "", "INI file with the settings of the program");
DEFINE_bool(check, false, "check the settings, print all errors in them and exit");
DEFINE_string(log_level, "info", "lowest level that is logged: debug, info, warning or error");

namespace persimmon::detail {

bool ReadCommandLine(int& argc, char**& argv, const program_description& description, std::string& config_path,
                     bool& check_only, int& exit_code) {
  gflags::SetVersionString(kProgramVersion);
  gflags::SetUsageMessage(description.summary + "\nUsage: " + description.name + " --config FILE [--check]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  config_path = FLAGS_config;
  check_only = FLAGS_check;
  exit_code = kExitSettings;
  log_level level = log_level::kInfo;
  if (!ParseLogLevel(FLAGS_log_level, level)) {
    fmt::print(stderr, "{}: --log_level must be debug, info, warning or error\n", description.name);
    return false;
  }
  SetLogLevel(level);
  if (config_path.empty()) {
    fmt::print(stderr, "{}: --config FILE is required; see --help\n", description.name);
    return false;
  }
  return true;
}

int ReportSettings(const std::string& path, const finding_list& findings, bool check_only) {
  if (findings.empty()) {
    fmt::print("{}: settings are valid\n", path);
    return kExitSuccess;
  }
  fmt::print(stderr, "{}", FormatFindings(findings));
  fmt::print(stderr, "{}: {} finding(s){}\n", path, findings.size(), check_only ? "" : "; the program was not started");
  return kExitSettings;
}

int RunKernel(kernel& services, const stop_function& on_stop) {
  auto& context = services.Context();
  asio::signal_set signals(context, SIGINT, SIGTERM);
  std::function<void()> wait_for_signal;
  bool stopping = false;
  wait_for_signal = [&] {
    signals.async_wait([&](boost::system::error_code failure, int) {
      if (failure) {
        return;
      }
      if (stopping) {
        context.stop();
        return;
      }
      stopping = true;
      wait_for_signal();
      on_stop([&context] { context.stop(); });
    });
  };
  wait_for_signal();
  services.Start();
  const auto flush = services.Timers().SubscribeEvery(Events().FlushPeriod(), 0.1, [] { Events().Flush(); });
  context.run();
  services.Stop();
  Events().Flush();
  return kExitSuccess;
}

}  // namespace persimmon::detail
