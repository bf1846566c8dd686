// Serves model requests from admission to the last token: prefill, KV transfer, decode, and retries on other endpoints.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/kernel.h"
#include "core/metrics.h"
#include "core/trace.h"
#include "net/http.h"
#include "persimmon/retry_budget.h"
#include "persimmon/stream_assembly.h"
#include "router/dispatcher.h"
#include "router/guards.h"

namespace persimmon {

// Request data that the front end passes to model_calls and service_calls.
struct call_context {
  std::shared_ptr<http_exchange> exchange;
  request_id request;
  admitted_account account;
  std::string traceparent;  // W3C trace context of the request's span
  time_point arrival;
  std::optional<time_point> deadline;  // set by the caller
};

class model_calls {
 public:
  model_calls(kernel& services, const router_settings& settings);

  void Start();
  void Stop() {}

  // Serves the request and sends its answer or refusal. Returns the refusal, if any, for the request metrics.
  task<std::optional<refusal>> Serve(call_context context, model_request content);

 private:
  enum class attempt_result { kFinished, kFailed, kCallerDisconnected };

  // State of one request over all its attempts.
  struct call_state {
    call_context context;
    model_job_ptr job;
    stream_assembly assembly{stream_limits{}};
    std::string text;  // text so far, of a non-streaming answer
    std::string finish_reason;
    std::string failure;      // why the last attempt failed
    engine_run_ptr lost_run;  // of the last attempt, if its engine has crashed
    bool stream_started = false;
    std::optional<time_point> first_token;
    time_point prefill_end;
    milliseconds token_interval_target = milliseconds(0);  // setting of the pool
  };

  // State of one attempt.
  struct attempt_state {
    granted_slots slots;
    engine_run_ptr prefill_run;
    engine_run_ptr decode_run;  // the prefill's run, if one engine does both
    bool decode_started = false;
    bool prefill_finished = false;
    bool decode_finished = false;
    time_point started;
    std::optional<time_point> prefill_channel_closed_at;  // when the channel to the agent was closed; empty: open
    std::optional<time_point> decode_channel_closed_at;
    std::string decode_failure;  // set if the decode failed while the prefill was still running
    time_point decode_failed_at;
    incarnation_number prefill_incarnation = 0;
    incarnation_number decode_incarnation = 0;
  };

  model_job_ptr MakeJob(const call_context& context, const model_request& content, const pool_record& pool);
  guard_result<pool_record> FindPool(const model_request& content) const;
  bool AllowRetry(const call_state& call);
  std::optional<refusal> FindPartRefusal(const model_job& job) const;
  void RejectWaiting();
  void ReleaseSlots(const granted_slots& slots);
  engine_run_ptr BeginRun(const model_job& job, const endpoint_name& endpoint);
  void RecordCrash(call_state& call, const engine_run_ptr& run);
  task<attempt_result> RunAttempt(call_state& call, granted_slots slots);
  task<std::optional<attempt_result>> HandleEvent(call_state& call, attempt_state& attempt, attempt_event event);
  std::optional<attempt_result> HandlePrefill(call_state& call, attempt_state& attempt,
                                              const prefill_progress& progress);
  task<std::optional<attempt_result>> HandleTokens(call_state& call, attempt_state& attempt, tokens chunk);
  std::optional<attempt_result> HandleChannelChange(call_state& call, attempt_state& attempt,
                                                    const channel_change& change);
  void RecordTokenInterval(const call_state& call, const attempt_state& attempt);
  bool IsChannelLost(const attempt_state& attempt) const;
  bool IsDecodeFailureFinal(const attempt_state& attempt) const;
  void StartDecode(call_state& call, attempt_state& attempt, const kv_ticket& ticket);
  void EndAttempt(call_state& call, attempt_state& attempt, attempt_result end);
  task<bool> DeliverText(call_state& call, const std::vector<std::string>& pieces);
  task<std::optional<refusal>> SendRefusal(call_state& call, refusal reason);
  task<> SendEnd(call_state& call);
  void FailAttempt(call_state& call, const attempt_state& attempt, endpoint_role role, const std::string& reason);

  kernel& kernel_;
  const router_settings& settings_;
  dispatcher* dispatcher_ = nullptr;
  endpoint_directory* endpoints_ = nullptr;
  suspect_guard* suspects_ = nullptr;
  part_guard* parts_ = nullptr;
  std::set<model_job_ptr> waiting_;  // jobs that wait for slots
  account_guard* accounts_ = nullptr;
  metrics_registry* metrics_ = nullptr;
  tracer* tracer_ = nullptr;
  retry_budget retries_;
  std::uint64_t next_job_ = 0;
};

}  // namespace persimmon
