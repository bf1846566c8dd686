// Entry point of fake-service, which runs one fake application service.
#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "core/log.h"
#include "fakes/fake_service.h"

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to listen on; port 0: assigned by the OS");
DEFINE_string(name, "service", "name shown in responses");
DEFINE_int64(delay_ms, 0, "duration of a call in ms");
DEFINE_string(calls_file, "", "log of calls, from which counts are restored after a crash; empty: none");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Fake of a plain application service for tests.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const persimmon::logger log("fake.service");
  const auto listen = persimmon::ParseHostPort(FLAGS_listen);
  if (!listen) {
    log.Error("Cannot start: {}.", listen.error().message);
    return 2;
  }
  persimmon::asio::io_context context(1);
  persimmon::fake_service service(context, {listen.value(), FLAGS_name, FLAGS_delay_ms, FLAGS_calls_file});
  const auto started = service.Start();
  if (!started) {
    log.Error("Cannot start: {}.", started.error().message);
    return 1;
  }
  log.Info("{} is listening on port {}.", FLAGS_name, service.Port());
  persimmon::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  context.run();
  return 0;
}
