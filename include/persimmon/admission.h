// Admission control of a pool and the order of its queue.
//
// Sections
//   1. settings and values
//   2. latest start and retry delay
//   3. rate meter
//   4. queue
//
// The queue is ordered by latest start time: arrival + first-token target - predicted prefill - predicted transfer. A
// request is refused immediately if the work ahead of it would delay its own start, or the start of an admitted job,
// past the latest start. Work is counted in tokens.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. settings and values
// ---------------------------------------------------------------------------------------------------------------------

struct admission_settings {
  milliseconds first_token_target = milliseconds(1'300);  // from the pool record
  std::uint32_t queue_limit = 2'000;                      // waiting and picked jobs on this router
  // Safety margin between a predicted start and the latest start. The router cannot see how much work is left in
  // running prefills, so actual starts vary by about this much. Without the margin, 5.5% of the requests
  // expire in the queue instead of 2.4% (docs/policy.md).
  milliseconds margin = milliseconds(50);
  // A new request may delay the predicted start of a waiting job to at most this long after the job's latest start;
  // beyond that the new request is refused. A long prompt has little slack and is ordered before many short ones;
  // without a tolerance it would be refused for delaying them.
  milliseconds lateness_tolerance = milliseconds(150);
  // A request may wait this long even if it then misses the target, see LatestStart.
  milliseconds min_wait = milliseconds(50);
  milliseconds rate_window = milliseconds(1'000);  // time constant of the decay of measured rates
  // Weight of the reported rate when it is averaged with the measured rate, as busy time of a measurement.
  milliseconds prior_weight = milliseconds(100);
  milliseconds congestion_threshold = milliseconds(100);  // a pool is congested when draining its queue takes longer
  milliseconds share_window = milliseconds(5'000);        // time constant of the decay of an account's usage
  // Excess over the fair share that an account of weight 1 may use, as time at the prefill and decode rates available
  // to this router.
  milliseconds share_slack = milliseconds(100);
  milliseconds min_retry_after = milliseconds(200);     // shortest retry delay
  milliseconds max_retry_after = milliseconds(30'000);  // longest retry delay
  bool fair_shares = true;                              // false: admission and queue order ignore accounts

  bool operator==(const admission_settings&) const = default;
};

// The router's view of a pool: the endpoints' load reports, corrected for the router's own dispatches since then.
struct pool_state {
  std::uint32_t prefill_endpoints = 0;  // that can receive work
  std::uint32_t decode_endpoints = 0;   // that can receive work
  std::uint32_t prefill_free = 0;       // free prefill slots of the whole pool
  std::uint32_t decode_free = 0;        // free decode slots of the whole pool
  double prefill_tokens_per_s = 0;      // prompt tokens, whole pool, as reported; 0: unknown
  double decode_tokens_per_s = 0;       // output tokens, whole pool, as reported; 0: unknown
  std::uint32_t routers = 1;            // that share the pool, including this one
  bool uses_decode = true;              // false: a service; its endpoints and slots are counted as prefill

  bool operator==(const pool_state&) const = default;
};

// A request that waits for a prefill slot.
struct queue_job {
  request_id request;
  account_name account;
  double weight = 1.0;  // of the account; above 0
  time_point arrival;
  time_point latest_start;          // see LatestStart
  bool deadline_bound = false;      // the caller's deadline sets the latest start, not the target
  std::uint32_t prompt_tokens = 0;  // to prefill; excludes tokens expected in a prefix cache
  std::uint32_t output_tokens = 0;  // predicted length of the response

  bool operator==(const queue_job&) const = default;
};

enum class admission_verdict : std::uint8_t {
  kAdmitted,
  kOverCapacity,         // this job or one admitted before it would miss the target
  kQueueFull,            // the queue limit is reached
  kDeadlineUnreachable,  // the caller's own deadline cannot be met
  kNoEndpoint,           // no endpoint of the pool can receive work
  kDuplicate,            // the request is already queued
};

// "admitted", "over_capacity", ...
const char* AdmissionName(admission_verdict verdict);

struct admission_result {
  admission_verdict verdict = admission_verdict::kAdmitted;
  microseconds predicted_wait{0};    // predicted time until the job starts
  milliseconds retry_after{0};       // of a refusal
  std::vector<queue_job> displaced;  // removed to admit this job; their accounts exceed their fair share

  bool operator==(const admission_result&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. latest start and retry delay
// ---------------------------------------------------------------------------------------------------------------------

// Predicted times of a request on an idle endpoint.
struct service_times {
  microseconds prefill{0};
  microseconds transfer{0};  // from the end of the prefill to the first output token
  microseconds decode{0};    // from the first output token to the last

  bool operator==(const service_times&) const = default;
};

struct start_limit {
  time_point latest_start;
  bool deadline_bound = false;  // set by the caller's deadline

  bool operator==(const start_limit&) const = default;
};

// Latest start that meets the first-token target and, if there is one, the caller's deadline for the whole response. A
// prompt that would miss the target even on an idle endpoint may start up to `min_wait` after its arrival, so it is
// served late when the pool has capacity and is refused first when it has none. A deadline is never extended this way.
start_limit LatestStart(time_point arrival, const service_times& times, std::optional<time_point> deadline,
                        const admission_settings& settings);

// Retry delay, uniformly distributed over the `drain` time after the shortest delay. `jitter` is random in [0, 1).
milliseconds SpreadRetryAfter(microseconds drain, double jitter, const admission_settings& settings);

// ---------------------------------------------------------------------------------------------------------------------
// 3. rate meter
// ---------------------------------------------------------------------------------------------------------------------

// Measures throughput: tokens of started jobs per second of busy time, per endpoint. Time without waiting work is
// excluded, because throughput then reflects the demand and not the capacity. Measurements decay exponentially, so an
// idle meter returns to the reported rate.
class rate_meter {
 public:
  explicit rate_meter(milliseconds window) : window_(window) {}

  void SetBusy(bool busy, time_point now);
  void RecordStart(double tokens, std::uint32_t endpoints, time_point now);

  // Tokens per second of `endpoints` endpoints. The measurement is averaged with `prior` (0: unknown), which has the
  // weight of `prior_weight` of busy time. 0 when nothing is known.
  double Rate(double prior, milliseconds prior_weight, std::uint32_t endpoints, time_point now) const;

 private:
  struct totals {
    double tokens = 0;  // per endpoint
    double busy_s = 0;
  };
  totals Decayed(time_point now) const;

  milliseconds window_;
  totals totals_;
  time_point updated_;
  bool busy_ = false;
};

// ---------------------------------------------------------------------------------------------------------------------
// 4. queue
// ---------------------------------------------------------------------------------------------------------------------

// The queue of one pool on one router. A job returned by PickNext still counts as work ahead of the waiting jobs until
// exactly one of RecordStarted, Requeue and RemoveJob is called for it.
class admission_queue {
 public:
  explicit admission_queue(admission_settings settings);

  // Replaces the view of the pool. Must be called whenever load reports or membership change.
  void UpdatePool(const pool_state& pool, time_point now);

  // Admits or refuses a request immediately, applying the settings' margin. `jitter` as in SpreadRetryAfter.
  admission_result AdmitRequest(const queue_job& job, double jitter, time_point now);

  // Picks the most urgent job: the earliest latest start among the accounts within their fair share. Jobs past their
  // latest start are never picked. `accept`, if given, restricts the choice to jobs for which it returns true.
  std::optional<queue_job> PickNext(time_point now, const std::function<bool(const queue_job&)>& accept = nullptr);

  // The job that PickNext would pick, left in the queue. The pointer is valid until the queue changes.
  const queue_job* PeekNext(time_point now, const std::function<bool(const queue_job&)>& accept = nullptr) const;

  // Returns a picked job to its position in the queue after its slot reservation was refused. False if the job was not
  // picked.
  bool Requeue(const request_id& request, time_point now);

  // Records that a picked job got its slots and starts. False if the job was not picked.
  bool RecordStarted(const request_id& request, time_point now);

  // Removes a waiting or picked job whose caller disconnected or that was refused. False if there is none.
  bool RemoveJob(const request_id& request, time_point now);

  // Removes and returns the waiting jobs that are past their latest start; they are no longer started.
  std::vector<queue_job> ExpireOverdue(time_point now);

  // The earliest latest start of a waiting job: when ExpireOverdue is next due.
  std::optional<time_point> NextExpiry() const;

  // Retry delay for a request of this size that is refused or dropped now. Every call adds the request to the work that
  // is expected to be retried, so that the retries of many callers spread over the time the pool needs for all of them.
  milliseconds RetryAfter(std::uint32_t prompt_tokens, std::uint32_t output_tokens, double jitter, time_point now);

  // Time the pool needs to start all pending jobs and the expected retries.
  microseconds DrainTime(time_point now) const;

  std::size_t WaitingCount() const { return waiting_.size(); }
  std::size_t PickedCount() const { return picked_.size(); }
  double PrefillRate(time_point now) const;  // tokens per second available to this router; 0: unknown
  double DecodeRate(time_point now) const;   // output tokens per second available to this router; 0: unknown

 private:
  struct order_key {
    time_point latest_start;
    std::uint64_t sequence = 0;  // FIFO among equal times

    auto operator<=>(const order_key&) const = default;
  };
  struct account_usage {
    double weight = 1.0;
    double started = 0;         // tokens started, decaying over the share window
    double waiting = 0;         // tokens of waiting jobs
    std::uint32_t jobs = 0;     // waiting and picked
    double offered_prompt = 0;  // tokens of all requests, admitted or not, decaying over the rate window
    double offered_output = 0;
    time_point offered_updated;
    bool is_over_share = false;  // set by MarkOverShare
    time_point updated;
  };
  struct waiting_job {
    queue_job job;
    account_usage* account = nullptr;  // points into accounts_, whose nodes have stable addresses
  };
  struct picked_job {
    queue_job job;
    order_key key;
  };
  using waiting_map = std::map<order_key, waiting_job>;
  using job_filter = std::function<bool(const queue_job&)>;

  struct work_rates {
    double prefill = 0;  // tokens per second; 0: unknown, no limit
    double decode = 0;
    double prefill_free = 0;  // this router's part of the free slots
    double decode_free = 0;
  };
  // Predicts waits by adding up work in the order of starts.
  struct start_planner;
  // Predicted starts of the queue with a candidate added.
  struct start_plan {
    microseconds wait{0};                                   // of the candidate
    bool candidate_late = false;                            // the candidate would miss its latest start
    bool delays_other = false;                              // it would make an admitted job miss its latest start
    std::vector<waiting_map::const_iterator> planned_jobs;  // in start order, up to the first late or delayed one
  };

  work_rates Rates(time_point now) const;
  start_plan PlanStarts(const queue_job& candidate, const std::vector<order_key>& excluded, time_point now);
  std::optional<std::vector<order_key>> ChooseDisplaced(const queue_job& candidate, start_plan& plan, time_point now);
  double WeightedUsage(const account_usage& account, time_point now) const;
  double FairUsageLimit(time_point now) const;
  double SlackTokens(time_point now) const;
  bool MarkOverShare(time_point now);
  void RecordOffered(const queue_job& job, time_point now);
  double FairFraction(const account_name& account, time_point now) const;
  bool IsDelayedByOwnJobs(const queue_job& candidate, time_point now) const;
  bool IsCongested(time_point now) const;
  double ExpectedRetries(double tokens, double rate, time_point now) const;
  waiting_map::const_iterator FindNext(time_point now, const job_filter& accept) const;
  void Insert(const queue_job& job, const order_key& key, time_point now);
  queue_job Erase(waiting_map::const_iterator position);
  // Adds the job's tokens to the started tokens of its account (`sign` 1), or takes them back (-1).
  void ChargeStart(const queue_job& job, double sign, time_point now);
  void DecrementJobCount(const account_name& account);
  void RemoveIdleAccounts(time_point now);
  void UpdateBusy(time_point now);
  admission_result Refuse(const queue_job& job, admission_verdict verdict, double jitter, time_point now);

  admission_settings settings_;
  pool_state pool_;
  rate_meter prefill_meter_;
  rate_meter decode_meter_;
  waiting_map waiting_;
  std::unordered_map<request_id, order_key> positions_;
  std::unordered_map<request_id, picked_job> picked_;
  std::unordered_map<account_name, account_usage> accounts_;
  time_point last_idle_removal_;  // when idle accounts were last removed
  std::uint64_t next_sequence_ = 0;
  double pending_prompt_ = 0;  // tokens of waiting and picked jobs
  double pending_output_ = 0;
  double retry_prompt_ = 0;  // tokens of refused requests that are expected to be retried
  double retry_output_ = 0;
  time_point retry_updated_;
};

}  // namespace persimmon
