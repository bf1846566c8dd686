#include "fakes/fake_service.h"

#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "core/log.h"
#include "net/http.h"

namespace persimmon {
namespace {

using json = nlohmann::json;
using exchange_ptr = std::shared_ptr<http_exchange>;

constexpr int kCrashExitCode = 3;

const logger& Log() {
  static const logger log("fake.service");
  return log;
}

}  // namespace

struct fake_service::state {
  state(asio::io_context& context, fake_service_options values)
      : context(context), options(std::move(values)), timers(context), delay(options.delay_ms) {}

  asio::io_context& context;
  fake_service_options options;
  timer_service timers;
  std::unique_ptr<http_server> server;
  std::map<std::string, std::uint64_t> calls;     // by "<method> <path> <body>"
  std::map<std::string, std::uint64_t> requests;  // by X-Request-Id
  milliseconds delay;
  double slow_factor = 1;
  std::string crash_text;
  std::string request_limit;              // stated in all responses, in requests per second; empty: not stated
  std::vector<std::int64_t> arrivals_ms;  // steady time of each call
  std::int64_t calls_until_crash = 0;     // number of calls until the process crashes; 0: no crash is planned

  void LoadCalls() {
    std::ifstream file(options.calls_file);
    for (std::string line; std::getline(file, line);) {
      const json entry = json::parse(line, nullptr, false);
      if (!entry.is_discarded()) {
        ++calls[entry.value("call", "")];
        ++requests[entry.value("request", "")];
      }
    }
  }

  void RecordCall(const std::string& call, const std::string& request) {
    ++calls[call];
    ++requests[request];
    if (!options.calls_file.empty()) {
      std::ofstream file(options.calls_file, std::ios::app);
      file << json{{"call", call}, {"request", request}}.dump() << "\n";
    }
  }

  http_response ApplyFaults(const std::string& body) {
    const json input = json::parse(body, nullptr, false);
    if (!input.is_object()) {
      return JsonResponse(400, R"({"error":"bad_request"})");
    }
    if (input.value("crash", false)) {
      std::_Exit(kCrashExitCode);
    }
    slow_factor = input.value("slow_factor", slow_factor);
    crash_text = input.value("crash_on", crash_text);
    delay = milliseconds(input.value("delay_ms", static_cast<std::int64_t>(delay.count())));
    request_limit = input.value("request_limit", request_limit);
    calls_until_crash = input.value("crash_before_answer", calls_until_crash);
    if (input.contains("freeze_ms")) {
      // Blocks the event loop: the process stops responding, but its connections stay open.
      std::this_thread::sleep_for(milliseconds(input.value("freeze_ms", 0)));
    }
    return JsonResponse(200, R"({"done":true})");
  }

  void CrashIfTriggered(const std::string& body) {
    const bool has_crash_text = !crash_text.empty() && body.find(crash_text) != std::string::npos;
    const bool is_crash_call = calls_until_crash > 0 && --calls_until_crash == 0;
    if (has_crash_text || is_crash_call) {
      Log().Warning("{} is crashing before it responds.", options.name);
      std::_Exit(kCrashExitCode);
    }
  }

  task<> Serve(exchange_ptr exchange) {
    const http_request& request = exchange->Request();
    if (request.method == "POST" && request.target == "/faults") {
      auto reply = ApplyFaults(request.body.Text());
      (void)co_await exchange->Respond(std::move(reply));
      co_return;
    }
    if (request.method == "GET" && request.target == "/calls") {
      auto reply = JsonResponse(200, json{{"calls", calls}, {"requests", requests}}.dump());
      (void)co_await exchange->Respond(std::move(reply));
      co_return;
    }
    if (request.method == "GET" && request.target == "/arrivals") {
      auto reply = JsonResponse(200, json{{"arrivals_ms", arrivals_ms}}.dump());
      (void)co_await exchange->Respond(std::move(reply));
      co_return;
    }
    arrivals_ms.push_back(std::chrono::duration_cast<milliseconds>(timer_service::Now().time_since_epoch()).count());
    const std::string call = fmt::format("{} {} {}", request.method, request.target, request.body.Text());
    RecordCall(call, std::string(FindHeader(request.headers, "X-Request-Id")));
    CrashIfTriggered(request.body.Text());
    const auto pause = microseconds(static_cast<std::int64_t>(static_cast<double>(delay.count()) * slow_factor * 1e3));
    if (pause > microseconds(0)) {
      co_await timers.Sleep(pause);
    }
    const auto hash = fmt::format("{:016x}", XXH64(request.body.Text().data(), request.body.Text().size(), 0));
    const json body = {
        {"service", options.name}, {"path", request.target}, {"calls", calls[call]}, {"body_hash", hash}};
    auto reply = JsonResponse(200, body.dump());
    if (!request_limit.empty()) {
      reply.headers.push_back({"Server-Limit", request_limit});
    }
    (void)co_await exchange->Respond(std::move(reply));
  }
};

fake_service::fake_service(asio::io_context& context, fake_service_options options)
    : state_(std::make_shared<state>(context, std::move(options))) {}

fake_service::~fake_service() { Stop(); }

result<void> fake_service::Start() {
  const auto state = state_;
  state->LoadCalls();
  http_handler handler = [state](exchange_ptr exchange) { return state->Serve(std::move(exchange)); };
  state->server = std::make_unique<http_server>(state->context, state->options.listen, http_limits(), handler);
  return state->server->Start();
}

void fake_service::Stop() {
  if (state_->server) {
    state_->server->Stop();
  }
}

std::uint16_t fake_service::Port() const { return state_->server->Port(); }

}  // namespace persimmon
