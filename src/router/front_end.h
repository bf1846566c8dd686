// The callers' side of the router: HTTP server, routes, health, metrics, drain.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/kernel.h"
#include "core/metrics.h"
#include "core/trace.h"
#include "net/http.h"
#include "router/guards.h"
#include "router/model_calls.h"
#include "router/router_settings.h"
#include "router/service_calls.h"

namespace persimmon {

class front_end {
 public:
  front_end(kernel& services, const router_settings& settings);

  void Start();
  void Stop();

  // Planned stop: not ready at once, no new connection after the grace time, then calls the function as soon as the
  // last request has its answer or the limit is over.
  void Drain(std::function<void()> finished);

 private:
  task<> Handle(std::shared_ptr<http_exchange> exchange);
  task<> Route(std::shared_ptr<http_exchange> exchange, request_id request);
  task<std::optional<refusal>> ServeCall(std::shared_ptr<http_exchange> exchange, request_id request);
  task<> DrainRequests(std::function<void()> finished);
  http_response MakeHealth() const;
  bool HasHeardPools() const;
  http_response MakeReadiness() const;
  http_response MakeMetrics();
  std::optional<pool_record> FindService(const http_request& request) const;

  kernel& kernel_;
  const router_settings& settings_;
  std::unique_ptr<http_server> server_;
  account_guard* accounts_ = nullptr;
  model_calls* models_ = nullptr;
  service_calls* services_ = nullptr;
  metrics_registry* metrics_ = nullptr;
  tracer* tracer_ = nullptr;
  bool draining_ = false;
  time_point started_;
};

}  // namespace persimmon
