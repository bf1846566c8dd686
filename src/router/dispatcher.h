// Queues of the model pools and the binding of jobs to slots: admission, order by latest start, reservation of the
// prefill and the decode slot before anything is computed.
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

// Slots that both agents have granted. The holder must use or cancel them and unregister both attempts.
struct granted_slots {
  attempt_id prefill_attempt;
  endpoint_name prefill;
  attempt_id decode_attempt;
  endpoint_name decode;
  std::uint32_t cached_tokens = 0;  // expected in the prefix cache of the prefill endpoint
  microseconds predicted_prefill = microseconds(0);
  time_point granted_at;

  bool operator==(const granted_slots&) const = default;
};

using slots_result = outcome::result<granted_slots, refusal, outcome::policy::terminate>;

// A model request that waits for slots. Owned by its request; the dispatcher keeps it only while it waits.
struct model_job {
  explicit model_job(asio::io_context& context)
      : events(std::make_shared<attempt_mailbox>(context)), decisions(context) {}

  std::uint64_t number = 0;  // unique in this process
  request_id request;
  std::string traceparent;  // of the router's span of the request
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
  std::uint32_t resume_tokens = 0;  // delivered to the caller by earlier attempts
  std::uint32_t tries = 0;
  std::vector<endpoint_name> avoid;  // endpoints on which an earlier attempt failed

  std::shared_ptr<attempt_mailbox> events;  // of the attempts, from the endpoint directory
  mailbox<slots_result> decisions;
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

  // Waits until both slots are granted, or returns a refusal as soon as it is decided.
  task<slots_result> AwaitSlots(model_job_ptr job);

  // Takes the job out of its queue because its caller has gone. AwaitSlots then returns a refusal that nobody reads.
  void RemoveJob(const model_job_ptr& job);

  // Measured times of one attempt, for predictions: from the start of the prefill to its end, and from there to the
  // first token.
  void NotePrefillFinished(const model_job& job, const granted_slots& slots, std::uint32_t computed_tokens,
                           microseconds duration);
  void NoteFirstToken(const std::string& pool, microseconds after_prefill);
  void NoteAttemptFailed(const model_job& job, const endpoint_name& endpoint, endpoint_role role);

  attempt_id MakeAttemptId();

  std::size_t QueuedJobs() const;

 private:
  // Queue and measurements of one pool.
  struct pool_queue;

  struct bind_plan {
    granted_slots slots;
    std::uint32_t decode_start_ms = 0;
  };

  pool_queue* FindPool(const std::string& name);
  void ApplyConfiguration(const configuration& config);
  void ScheduleTick();
  void PumpAll();
  void Pump(pool_queue& pool);
  std::optional<bind_plan> PlanBinding(pool_queue& pool, const model_job& job, time_point now);
  slots_result BindBaseline(pool_queue& pool, const model_job_ptr& job);
  task<> BindJob(std::string pool_name, model_job_ptr job, bind_plan plan);
  void SendReservations(const model_job& job, const bind_plan& plan, time_point latest_start);
  void ReleaseBinding(const bind_plan& plan, bool prefill_granted, bool decode_granted);
  void RefuseOverdue(pool_queue& pool, time_point now);
  void RefuseJob(pool_queue& pool, const queue_job& job, refusal reason);
  void UpdatePool(pool_queue& pool, time_point now);
  queue_job MakeQueueJob(pool_queue& pool, const model_job& job, time_point now);
  std::vector<endpoint_view> MakeViews(const pool_queue& pool, endpoint_role role, const model_job* job,
                                       time_point now) const;
  void HandleReport(const load_report& report);

  kernel& kernel_;
  const router_settings& settings_;
  policy_mode mode_;
  std::string process_id_;  // makes attempt ids unique across restarts of this router
  endpoint_directory* endpoints_ = nullptr;
  peer_directory* peers_ = nullptr;
  tracer* tracer_ = nullptr;
  std::map<std::string, std::unique_ptr<pool_queue>> pools_;
  prefix_index prefixes_{prefix_limits{}};
  dispatch_log dispatches_;
  selection_settings selection_;
  timer_subscription tick_;
  bool tick_is_due_ = false;
  std::uint64_t next_attempt_ = 0;
  std::uint64_t round_robin_ = 0;
};

}  // namespace persimmon
