// HTTP server for callers: request routing, health and readiness checks, metrics, and draining on shutdown.
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

  // Graceful shutdown. Immediately reports that the router is not ready, and stops accepting connections after
  // settings.stop_grace. Calls the function when the last request has been answered, or settings.stop_limit later at
  // the latest.
  void Drain(std::function<void()> finished);

 private:
  task<> Handle(std::shared_ptr<http_exchange> exchange);
  task<> Route(std::shared_ptr<http_exchange> exchange, request_id request);
  task<std::optional<refusal>> ServeCall(std::shared_ptr<http_exchange> exchange, request_id request);
  task<> DrainRequests(std::function<void()> finished);
  http_response MakeHealth() const;
  bool HasRequiredReports() const;
  http_response MakeReadiness() const;
  http_response MakeMetrics();
  std::optional<pool_record> FindServicePool(const http_request& request) const;

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
