// Where callers' requests arrive: routing, readiness, control interface and planned stop. A service of the kernel.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>

#include "core/kernel.h"
#include "core/metrics.h"
#include "direct/direct_call.h"
#include "direct/directory.h"
#include "direct/generation_calls.h"
#include "direct/plain_calls.h"
#include "direct/router_group.h"
#include "direct/stage_orders.h"

namespace persimmon {

class entry {
 public:
  entry(kernel& services, direct_settings& settings, http_client& client);

  void Start();
  void Stop();

  // A planned stop: not ready at once; new requests are served for a while, then requests in progress end.
  void Drain(std::function<void()> finished);

 private:
  task<> Handle(std::shared_ptr<http_exchange> exchange);
  task<> RespondOwn(std::shared_ptr<http_exchange> exchange, int status, std::string code,
                    std::optional<milliseconds> retry_after);
  task<> HandleControl(std::shared_ptr<http_exchange> exchange);
  task<> HandleReadiness(std::shared_ptr<http_exchange> exchange);
  task<> DrainRequests(std::function<void()> finished);
  task<> FetchStateFromPeers();
  void ApplyLimits();
  void AwaitReload();
  bool IsReady() const;
  bool EndsBeforeStop(const direct_call& call) const;
  void LogEnd(const direct_call& call, call_outcome outcome);

  kernel& kernel_;
  direct_settings& settings_;  // shared by all services; only a reload changes it
  http_client& client_;
  deployment_directory* directory_ = nullptr;
  plain_calls* plain_ = nullptr;
  generation_calls* generations_ = nullptr;
  metrics_registry* metrics_ = nullptr;
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> readiness_;
  std::unique_ptr<http_server> control_;
  asio::signal_set reload_signals_;
  bool was_ready_ = false;
  bool stopping_ = false;
  time_point stop_end_;  // of a planned stop: requests in progress are given up
  bool stopped_ = false;
};

}  // namespace persimmon
