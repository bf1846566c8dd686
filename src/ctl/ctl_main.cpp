// Program persimmonctl: reads and writes records, drains endpoints, shows where a revision is in force and explains
// refusal codes.
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <sys/resource.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <sstream>

#include "core/program.h"
#include "ctl/commands.h"

DEFINE_string(platform, "127.0.0.1:7900", "addresses of the platform servers, IP:PORT[,IP:PORT...]");
DEFINE_string(secret, "", "peer secret, needed by status and wait; --fromenv=secret reads it from FLAGS_secret");
DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_int32(timeout_ms, 15'000, "time limit of wait");
DEFINE_int32(request_timeout_ms, 2'000, "time limit of one request to the platform");

namespace {

constexpr const char* kUsage = R"(Reads and writes configuration records, and shows where each revision is in force.

Usage: persimmonctl [flags] SUBCOMMAND

  put FILE...            write records; a "version" in a file must match the stored one
  get KIND/NAME          print a record
  list [KIND]            list records
  diff FILE...           show what put would change
  delete KIND/NAME       delete a record
  drain ENDPOINT         stop sending new work to an endpoint
  undrain ENDPOINT       resume sending work to it
  status                 show the revision that is in force in each process
  wait REVISION          wait until the revision is in force in every live process
  explain CODE           explain a refusal code and how to react to it

Exit codes:
  0  success; wait: in force everywhere; diff: no differences
  1  diff: there are differences; wait: not in force everywhere within --timeout_ms
  2  invalid command line, file or record; nothing was written
  3  conflict: a record was changed since it was read; prints the differences; nothing was written
  4  the record or code does not exist
  5  the platform does not respond; nothing was written
  6  the platform stopped responding during a write, which may have taken effect
)";

persimmon::result<std::vector<persimmon::host_port>> ReadServers(const std::string& text) {
  std::vector<persimmon::host_port> servers;
  std::stringstream list(text);
  for (std::string item; std::getline(list, item, ',');) {
    auto server = persimmon::ParseHostPort(item);
    if (!server) {
      return server.error();
    }
    servers.push_back(server.value());
  }
  if (servers.empty()) {
    return persimmon::error{persimmon::error_code::kInvalid, "at least one server is required"};
  }
  return servers;
}

// The command status opens one channel to each process: 1,770 at the target size of docs/design.md. The usual soft
// limit is 1,024 open files.
void RaiseFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

persimmon::task<> RunAndStop(boost::asio::io_context& context, persimmon::ctl_options options,
                             std::vector<std::string> arguments, int& exit_code) {
  exit_code = co_await persimmon::RunCommand(context, std::move(options), std::move(arguments));
  context.stop();
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetVersionString(persimmon::kProgramVersion);
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  persimmon::SetLogLevel(persimmon::log_level::kError);
  const auto servers = ReadServers(FLAGS_platform);
  if (!servers || FLAGS_timeout_ms < 1 || FLAGS_request_timeout_ms < 1) {
    fmt::print(stderr, "persimmonctl: {}\n",
               servers ? "--timeout_ms and --request_timeout_ms must be at least 1"
                       : "--platform: " + servers.error().message);
    return persimmon::kExitInvalid;
  }
  persimmon::ctl_options options;
  options.platform = servers.value();
  options.secret = FLAGS_secret;
  options.json = FLAGS_json;
  options.timeout = persimmon::milliseconds(FLAGS_timeout_ms);
  options.request_timeout = persimmon::milliseconds(FLAGS_request_timeout_ms);
  RaiseFileLimit();
  boost::asio::io_context context(1);
  int exit_code = persimmon::kExitUnavailable;
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  boost::asio::co_spawn(context, RunAndStop(context, options, arguments, exit_code), boost::asio::detached);
  context.run();
  return exit_code;
}
