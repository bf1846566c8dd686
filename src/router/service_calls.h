// Calls of plain services: choice of an endpoint, one attempt or several, proof of what ran.
#pragma once

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
#include "router/model_calls.h"

namespace persimmon {

// What is known after one attempt.
struct attempt_outcome {
  outcome_kind outcome = outcome_kind::kNotRun;
  service_answer answer;       // of kAnswered
  std::string reason;          // otherwise
  bool endpoint_lost = false;  // the agent or its service was lost, so another try elsewhere may succeed

  bool operator==(const attempt_outcome&) const = default;
};

class service_calls {
 public:
  service_calls(kernel& services, const router_settings& settings);

  void Start();
  void Stop() {}

  // Serves the request on the pool and sends its answer or refusal. Returns the refusal, if there was one, for metrics.
  task<std::optional<refusal>> Serve(call_context context, pool_record pool);

  // Runs one attempt on an endpoint and finds out what became of it. kNotRun is proved: the call was never sent, the
  // agent refused it, or the agent has confirmed a tombstone.
  task<attempt_outcome> RunAttempt(endpoint_name endpoint, call_service call, milliseconds timeout);

  // Asks the agent for the state of an attempt. Nothing if it does not answer in time.
  task<std::optional<attempt_status>> Ask(endpoint_name endpoint, message question, attempt_id attempt,
                                          milliseconds timeout);

  // An endpoint that can take a call, without those to avoid.
  std::optional<endpoint_name> ChooseEndpoint(const std::string& pool, const std::vector<endpoint_name>& avoid) const;

 private:
  call_service MakeCall(const call_context& context, const pool_record& pool) const;
  task<attempt_outcome> SettleAttempt(endpoint_name endpoint, attempt_id attempt, incarnation_number incarnation);
  task<std::optional<refusal>> SendAnswer(call_context context, service_answer answer);
  task<std::optional<refusal>> SendRefusal(call_context context, refusal reason);

  kernel& kernel_;
  const router_settings& settings_;
  endpoint_directory* endpoints_ = nullptr;
  suspect_guard* suspects_ = nullptr;
  metrics_registry* metrics_ = nullptr;
  tracer* tracer_ = nullptr;
  retry_budget retries_;
};

// True if the call may be repeated without harm: GET, HEAD, or a path that the record lists as idempotent.
bool IsRepeatable(const http_request& request, const pool_record& pool);

}  // namespace persimmon
