// Entry point of fake-link, a TCP proxy with fault injection.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

#include "core/log.h"
#include "fakes/fake_link.h"
#include "net/http.h"

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to listen on; port 0: assigned by the OS");
DEFINE_string(to, "", "IP:PORT that connections are forwarded to");
DEFINE_string(control, "", "IP:PORT of the HTTP control interface (POST /faults); empty: none");
DEFINE_int64(delay_ms, 0, "latency added in each direction, in ms");
DEFINE_double(rate_bytes_per_s, 0, "bandwidth per direction, shared by all connections; 0: unlimited");

namespace {

using json = nlohmann::json;

// Applies {"silent":bool,"cut":true,"delay_ms":N,"refuse":bool}. A body with any malformed or unknown field is rejected
// as a whole.
persimmon::http_response ApplyFaults(persimmon::fake_link& link, const std::string& body) {
  const json input = json::parse(body, nullptr, false);
  bool valid = input.is_object();
  const json fields = valid ? input : json::object();
  for (const auto& [key, value] : fields.items()) {
    valid = valid && ((key == "delay_ms" && value.is_number_unsigned()) ||
                      ((key == "silent" || key == "cut" || key == "refuse") && value.is_boolean()));
  }
  if (!valid) {
    return persimmon::JsonResponse(
        400, R"({"error":"silent, cut and refuse must be booleans, delay_ms a non-negative integer"})");
  }
  if (input.contains("delay_ms")) {
    link.SetDelay(input["delay_ms"].get<std::int64_t>());
  }
  if (input.contains("silent")) {
    link.SetSilent(input["silent"].get<bool>());
  }
  if (input.value("cut", false)) {
    link.CutConnections();
  }
  if (input.contains("refuse")) {
    const auto changed = link.SetRefusingConnections(input["refuse"].get<bool>());
    if (!changed) {
      return persimmon::JsonResponse(500, json{{"error", changed.error().message}}.dump());
    }
  }
  return persimmon::JsonResponse(200, "{}");
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "TCP proxy with fault injection: delay, bandwidth limit, stalled, closed and refused connections.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const persimmon::logger log("fake.link");
  const auto listen = persimmon::ParseHostPort(FLAGS_listen);
  const auto target = persimmon::ParseHostPort(FLAGS_to);
  const auto control = persimmon::ParseHostPort(FLAGS_control.empty() ? FLAGS_listen : FLAGS_control);
  if (!listen || !target || !control || FLAGS_delay_ms < 0 || FLAGS_rate_bytes_per_s < 0) {
    log.Error(
        "Cannot start: --listen, --to and --control must be IP:PORT; --delay_ms and --rate_bytes_per_s must not be "
        "negative.");
    return 2;
  }
  persimmon::asio::io_context context(1);
  persimmon::fake_link link(context, {listen.value(), target.value(), FLAGS_delay_ms, FLAGS_rate_bytes_per_s});
  const persimmon::http_handler handler =
      [&link](std::shared_ptr<persimmon::http_exchange> exchange) -> persimmon::task<> {
    const persimmon::http_request& request = exchange->Request();
    persimmon::http_response response =
        persimmon::JsonResponse(404, R"({"error":"unknown path: only POST /faults is supported"})");
    if (request.method == "POST" && request.target == "/faults") {
      response = ApplyFaults(link, request.body.Text());
    }
    (void)co_await exchange->Respond(std::move(response));
  };
  persimmon::http_server server(context, control.value(), {}, handler);
  auto started = link.Start();
  if (started && !FLAGS_control.empty()) {
    started = server.Start();
  }
  if (!started) {
    log.Error("Cannot start: {}.", started.error().message);
    return 1;
  }
  log.Info("Forwarding connections from port {} to {}.", link.Port(), target.value().Text());
  persimmon::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  context.run();
  return 0;
}
