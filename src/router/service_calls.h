// Serves calls of non-model services: chooses an endpoint, retries where that is safe, and reports whether the call
// ran.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/kernel.h"
#include "core/metrics.h"
#include "core/trace.h"
#include "persimmon/retry_budget.h"
#include "persimmon/selection.h"
#include "router/endpoint_directory.h"
#include "router/guards.h"
#include "router/keyed_calls.h"
#include "router/model_calls.h"

namespace persimmon {

class service_calls {
 public:
  service_calls(kernel& services, const router_settings& settings);

  void Start();
  void Stop() {}

  // Serves the request on an endpoint of the pool and sends its answer or refusal. Returns the refusal, if any, for the
  // metrics.
  task<std::optional<refusal>> Serve(call_context context, pool_record pool);

  // Callbacks for keyed_calls. They use this router's channels and claim store.
  keyed_call_callbacks MakeCallbacks();

  // Chooses an endpoint that can accept a call and is not in `avoid`.
  std::optional<endpoint_name> ChooseEndpoint(const std::string& pool, const std::vector<endpoint_name>& avoid) const;

 private:
  call_service MakeCall(const call_context& context, const pool_record& pool) const;
  task<keyed_call_result> RunAttempt(const call_context& context, const call_service& call, const pool_record& pool,
                                     endpoint_name endpoint, bool idempotent);
  task<sent_call> SendOnce(claim_row target, call_service call, milliseconds timeout);
  void RecordCallDuration(const endpoint_name& endpoint, bool answered, double seconds);
  // Sends the message to the agent until it replies with the status of the attempt. Returns nullopt on timeout.
  task<std::optional<attempt_status>> QueryAgent(endpoint_name endpoint, message agent_request, attempt_id attempt,
                                                 milliseconds timeout);
  task<std::optional<refusal>> SendAnswer(call_context context, service_answer answer);
  task<std::optional<refusal>> SendRefusal(call_context context, refusal reason);

  kernel& kernel_;
  const router_settings& settings_;
  endpoint_directory* endpoints_ = nullptr;
  suspect_guard* suspects_ = nullptr;
  metrics_registry* metrics_ = nullptr;
  tracer* tracer_ = nullptr;
  retry_budget retries_;
  std::map<std::string, double> average_seconds_;  // moving average of call durations, by pool
};

// True for GET, HEAD, and paths that the pool's record lists as idempotent. Only such calls are retried when they may
// have run.
bool IsIdempotent(const http_request& request, const pool_record& pool);

}  // namespace persimmon
