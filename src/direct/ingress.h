// HTTP servers for callers, readiness checks and the control interface; routing and graceful shutdown. A service of the
// kernel.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "core/kernel.h"
#include "core/metrics.h"
#include "direct/account_tracker.h"
#include "direct/caller_auth.h"
#include "direct/direct_call.h"
#include "direct/directory.h"
#include "direct/generation_calls.h"
#include "direct/origin_tracker.h"
#include "direct/plain_calls.h"
#include "direct/router_group.h"
#include "direct/stage_orders.h"
#include "net/server_limits.h"

namespace persimmon {

class ingress {
 public:
  ingress(kernel& services, direct_settings& settings, http_client& client);

  void Start();
  void Stop();

  // Graceful shutdown: reports not ready immediately, accepts new requests for the time stop_announce, then waits until
  // the requests in progress have ended or the grace period is over, answers those that are left, and calls `finished`.
  void Drain(std::function<void()> finished);

 private:
  task<> Handle(std::shared_ptr<http_exchange> exchange);
  // Binds a call that takes up a stream to the service where it began. Returns the refusal if it cannot go on.
  task<std::optional<call_refusal>> BindToSource(direct_call_ptr call);
  task<call_outcome> Serve(direct_call_ptr call);
  task<call_outcome> ServeLimited(direct_call_ptr call);
  task<> RespondWithError(std::shared_ptr<http_exchange> exchange, int status, std::string code,
                          std::optional<milliseconds> retry_after);
  task<> HandleControl(std::shared_ptr<http_exchange> exchange);
  task<> HandleReadiness(std::shared_ptr<http_exchange> exchange);
  task<> DrainRequests(std::function<void()> finished);
  // Answers the calls whose responses have not been started, and waits for the answers to be written.
  task<> EndCalls();
  task<> FetchStateFromPeers();
  process_limits ProcessLimits() const;
  void ApplyLimits();
  void AwaitReload();
  bool IsReady() const;
  bool IsStoppingFor(const direct_call& call) const;
  bool EndsBeforeDeadline(const direct_call& call) const;
  void LogCompletion(const direct_call& call, call_outcome outcome);

  kernel& kernel_;
  direct_settings& settings_;  // shared by all services; modified only by a reload
  http_client& client_;
  deployment_directory* directory_ = nullptr;
  caller_auth* auth_ = nullptr;
  account_tracker* accounts_ = nullptr;
  plain_calls* plain_calls_ = nullptr;
  generation_calls* generation_calls_ = nullptr;
  origin_tracker* origins_ = nullptr;
  metrics_registry* metrics_ = nullptr;
  std::unique_ptr<http_server> caller_server_;
  std::unique_ptr<http_server> readiness_server_;
  std::unique_ptr<http_server> control_server_;
  asio::signal_set reload_signals_;
  bool was_ready_ = false;
  bool stopping_ = false;
  time_point drain_deadline_;  // of a graceful shutdown; requests in progress are ended then
  std::map<const direct_call*, std::weak_ptr<direct_call>> calls_;  // in progress
  bool stopped_ = false;
};

}  // namespace persimmon
