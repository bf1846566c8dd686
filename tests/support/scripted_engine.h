// An endpoint whose answers are written by the test, for answers that no sound endpoint gives. It accepts reservations
// and health checks.
#pragma once

#include <fmt/format.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/timers.h"
#include "fakes/fake_platform.h"
#include "net/http.h"
#include "support/processes.h"
#include "support/registry_entry.h"

namespace persimmon::support {

// One answer to a call: its body in pieces, and how it ends.
struct scripted_run {
  std::vector<std::string> pieces;
  bool is_broken_off = false;  // the connection closes before the end of the body
  std::string content_type = "text/event-stream";

  bool operator==(const scripted_run&) const = default;
};

class scripted_engine {
 public:
  // Returns the answer to a call. All engines of a test may share one function.
  using script = std::function<scripted_run(const http_request&)>;

  scripted_engine(asio::io_context& context, std::string name, std::string service, std::string stage, script answer)
      : name_(std::move(name)),
        service_(std::move(service)),
        stage_(std::move(stage)),
        answer_(std::move(answer)),
        timers_(context),
        server_(context, {"127.0.0.1", 0}, http_limits{},
                [this](std::shared_ptr<http_exchange> exchange) { return Handle(std::move(exchange)); }) {
    if (!server_.Start()) {
      AbortProgram("A scripted engine cannot listen.");
    }
  }

  void Stop() { server_.Stop(); }

  void Register(fakes::table_store& tables) const {
    RegisterEndpoint(tables, name_, service_, {"127.0.0.1", server_.Port()}, stage_, 16);
  }

  const std::vector<http_request>& Calls() const { return calls_; }

 private:
  // Long enough for the caller to read the pieces one by one.
  static constexpr milliseconds kPieceInterval{2};

  task<> Handle(std::shared_ptr<http_exchange> exchange) {
    const std::string attempt(FindHeader(exchange->Request().headers, "Persimmonchute-Attempt-Id"));
    if (exchange->Request().target == "/hold-take") {
      (void)co_await exchange->Respond(JsonResponse(200, R"({"hold":"hold1"})"));
      co_return;
    }
    if (attempt.empty()) {
      (void)co_await exchange->Respond(JsonResponse(200, "{}"));
      co_return;
    }
    calls_.push_back(exchange->Request());
    const scripted_run run = answer_(exchange->Request());
    header_list headers = {{"Persimmonchute-Attempt-Id", attempt}, {"Persimmonchute-Server-Seal", "seal-" + name_}};
    if (!run.content_type.empty()) {
      headers.push_back({"Content-Type", run.content_type});
    }
    auto sent = co_await exchange->StartStream(200, std::move(headers));
    for (const std::string& piece : run.pieces) {
      if (sent) {
        std::string bytes = piece;
        sent = co_await exchange->WriteChunk(std::move(bytes));
        co_await timers_.Sleep(kPieceInterval);
      }
    }
    if (sent && run.is_broken_off) {
      exchange->AbortStream();
    } else if (sent) {
      (void)co_await exchange->FinishStream();
    }
  }

  std::string name_;
  std::string service_;
  std::string stage_;
  script answer_;
  timer_service timers_;
  std::vector<http_request> calls_;
  http_server server_;
};

}  // namespace persimmon::support
