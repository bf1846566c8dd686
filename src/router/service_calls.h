// Calls of plain services: choice of an endpoint, one attempt or several, proof of what ran.
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

  // Serves the request on the pool and sends its answer or refusal. Returns the refusal, if there was one, for metrics.
  task<std::optional<refusal>> Serve(call_context context, pool_record pool);

  // Links for keyed_calls: the attempts that it runs go through this router's channels and claim store.
  keyed_call_links MakeLinks();

  // An endpoint that can take a call, without those to avoid.
  std::optional<endpoint_name> ChooseEndpoint(const std::string& pool, const std::vector<endpoint_name>& avoid) const;

 private:
  call_service MakeCall(const call_context& context, const pool_record& pool) const;
  task<keyed_call_result> RunOnce(const call_context& context, const call_service& call, const pool_record& pool,
                                  endpoint_name endpoint, bool repeatable);
  task<sent_call> SendOnce(claim_row target, call_service call, milliseconds timeout);
  void NoteCallSpeed(const endpoint_name& endpoint, bool answered, double seconds);
  // Asks the agent for the state of an attempt. Nothing if it does not answer in time.
  task<std::optional<attempt_status>> Ask(endpoint_name endpoint, message question, attempt_id attempt,
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
  std::map<std::string, double> average_seconds_;  // of answered calls, by pool
};

// True if the call may be repeated without harm: GET, HEAD, or a path that the record lists as idempotent.
bool IsRepeatable(const http_request& request, const pool_record& pool);

}  // namespace persimmon
