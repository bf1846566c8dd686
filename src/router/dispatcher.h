// Queues the jobs of each model pool and binds them to endpoints: admits jobs, orders them by their latest start, and
// reserves a prefill and a decode slot before any computation starts.
//
// Sections
//   1. jobs
//   2. dispatcher
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/kernel.h"
#include "core/mailbox.h"
#include "core/metrics.h"
#include "core/trace.h"
#include "persimmon/admission.h"
#include "persimmon/prefix_index.h"
#include "persimmon/records.h"
#include "persimmon/selection.h"
#include "router/caller_api.h"
#include "router/endpoint_directory.h"
#include "router/peer_directory.h"
#include "router/router_settings.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. jobs
// ---------------------------------------------------------------------------------------------------------------------

// Slots granted by both agents. The owner must use or cancel them, and must unregister both attempts.
struct granted_slots {
  attempt_id prefill_attempt;
  endpoint_name prefill;
  attempt_id decode_attempt;
  endpoint_name decode;
  std::uint32_t cached_tokens = 0;  // prompt tokens expected in the endpoint's prefix cache
  microseconds predicted_prefill = microseconds(0);
  time_point granted_at;

  bool operator==(const granted_slots&) const = default;
};

using slots_result = outcome::result<granted_slots, refusal, outcome::policy::terminate>;

// A model request that needs slots. The request handler owns it; the dispatcher refers to it only while it is queued.
struct model_job {
  explicit model_job(asio::io_context& context)
      : events(std::make_shared<attempt_mailbox>(context)), slot_results(context) {}

  std::uint64_t number = 0;  // unique within this process
  request_id request;
  std::string traceparent;  // W3C trace context of the request's span
  account_name account;
  double account_weight = 1.0;
  std::string pool;
  model_request content;
  std::vector<std::uint64_t> prefix_hashes;
  fingerprint_number fingerprint = 0;
  std::int32_t priority = 0;
  bool suspect = false;
  time_point arrival;
  milliseconds first_token_target = milliseconds(0);
  std::optional<time_point> caller_deadline;
  std::uint32_t resume_tokens = 0;  // already delivered to the caller by earlier attempts
  std::uint32_t failed_attempts = 0;
  std::vector<endpoint_name> avoid;  // endpoints where an earlier attempt failed

  std::shared_ptr<attempt_mailbox> events;  // events of the attempts, from endpoint_directory
  mailbox<slots_result> slot_results;       // result for AwaitSlots
};

using model_job_ptr = std::shared_ptr<model_job>;

// ---------------------------------------------------------------------------------------------------------------------
// 2. dispatcher
// ---------------------------------------------------------------------------------------------------------------------

class dispatcher {
 public:
  dispatcher(kernel& services, const router_settings& settings);
  ~dispatcher();
  dispatcher(const dispatcher&) = delete;
  dispatcher& operator=(const dispatcher&) = delete;

  void Start();
  void Stop();

  // Queues the job and waits until both slots are granted or the job is refused.
  task<slots_result> AwaitSlots(model_job_ptr job);

  // Removes the job from its queue after its caller has disconnected. AwaitSlots then returns a refusal that is sent to
  // nobody.
  void RemoveJob(const model_job_ptr& job);

  // Record measurements of an attempt, from which those of later attempts are predicted: the duration of the prefill,
  // and the time from its end to the first token.
  void OnPrefillFinished(const model_job& job, const granted_slots& slots, std::uint32_t computed_tokens,
                         microseconds duration);
  void OnFirstToken(const std::string& pool, microseconds time_since_prefill);

  // Records the failure in the health of the endpoint, which then receives a smaller share of the load.
  void OnAttemptFailed(const model_job& job, const endpoint_name& endpoint, endpoint_role role);

  attempt_id MakeAttemptId();

  std::size_t QueuedJobs() const;

 private:
  // Job queue and measurements of one pool.
  struct pool_queue;

  struct bind_plan {
    granted_slots slots;
    std::uint32_t decode_start_ms = 0;  // predicted start of the decode, from now
  };

  pool_queue* FindPool(const std::string& name);
  void ApplyConfiguration(const configuration& config);
  void ScheduleDispatch();
  void DispatchAllPools();
  void DispatchJobs(pool_queue& pool);
  std::optional<bind_plan> PlanBinding(pool_queue& pool, const model_job& job, time_point now);
  // Chooses the endpoints by round robin or least load, without reserving slots. For the baselines of the benchmark.
  slots_result BindBaseline(pool_queue& pool, const model_job_ptr& job);
  task<> BindJob(std::string pool_name, model_job_ptr job, bind_plan plan);
  void SendReservations(const model_job& job, const bind_plan& plan, time_point latest_start);
  void ReleaseBinding(const bind_plan& plan, bool cancel_prefill, bool cancel_decode);
  void RefuseExpiredJobs(pool_queue& pool, time_point now);
  void RefuseJob(pool_queue& pool, const queue_job& job, refusal reason);
  void UpdatePool(pool_queue& pool, time_point now);
  queue_job MakeQueueJob(pool_queue& pool, const model_job& job, time_point now);
  std::vector<endpoint_view> MakeViews(const pool_queue& pool, endpoint_role role, const model_job* job,
                                       time_point now) const;
  void HandleReport(const load_report& report);

  kernel& kernel_;
  const router_settings& settings_;
  policy_mode mode_;
  std::string process_id_;  // random; keeps attempt ids unique across restarts
  endpoint_directory* endpoints_ = nullptr;
  peer_directory* peers_ = nullptr;
  tracer* tracer_ = nullptr;
  std::map<std::string, std::unique_ptr<pool_queue>> pools_;
  prefix_index prefixes_{prefix_limits{}};
  dispatch_log dispatches_;
  selection_settings selection_;
  timer_subscription dispatch_timer_;
  bool dispatch_scheduled_ = false;
  std::uint64_t next_attempt_ = 0;
  std::uint64_t round_robin_ = 0;
};

}  // namespace persimmon
