// Admission to a pool and the order of its queue.
//
// Sections
//   1. settings and values
//   2. start times and times to come back
//   3. rate meter
//   4. queue
//
// Jobs wait in order of their latest start: arrival + first-token target - predicted prefill - predicted transfer. A
// request is refused at once when the work ahead of it would delay its start, or that of a job already admitted, past
// the latest start. Work is counted in tokens.
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
  milliseconds first_token_target = milliseconds(1'300);  // of the pool record
  std::uint32_t queue_limit = 2'000;                      // waiting and picked jobs of this router
  // Predicted starts must be this much before the latest start. The work left in running prefills, which the router
  // does not know, makes starts vary by this much; without it 5.5% instead of 2.4% of the requests expire
  // (docs/policy.md).
  milliseconds margin = milliseconds(50);
  // A waiting job counts as harmed by a candidate only if it would start this much after its latest start. A long
  // prompt has little slack and is placed before many short ones; without tolerance it is refused for harming them.
  milliseconds harm_tolerance = milliseconds(150);
  milliseconds min_wait = milliseconds(50);         // latest start of a prompt too long for the target, after arrival
  milliseconds rate_window = milliseconds(1'000);   // time constant over which measured rates are forgotten
  milliseconds prior_weight = milliseconds(100);    // busy time that the reported rate counts for
  milliseconds short_drain = milliseconds(100);     // a pool is short when its queue takes longer than this to drain
  milliseconds share_window = milliseconds(5'000);  // time constant over which the accounts' shares are forgotten
  milliseconds share_slack = milliseconds(100);     // of the pool's rate: lead over the fair share at weight 1
  milliseconds min_retry = milliseconds(200);       // shortest time to come back
  milliseconds max_retry = milliseconds(30'000);    // longest time to come back
  bool fair_shares = true;                          // false: order and admission ignore accounts

  bool operator==(const admission_settings&) const = default;
};

// What the router knows about a pool, corrected for its own dispatches since the reports.
struct pool_state {
  std::uint32_t prefill_endpoints = 0;  // that can receive work
  std::uint32_t decode_endpoints = 0;   // that can receive work
  std::uint32_t prefill_free = 0;       // open prefill slots in the whole pool
  std::uint32_t decode_free = 0;        // open decode slots in the whole pool
  double prefill_tokens_per_s = 0;      // prompt tokens, whole pool, as reported; 0: unknown
  double decode_tokens_per_s = 0;       // output tokens, whole pool, as reported; 0: unknown
  std::uint32_t routers = 1;            // that share the pool, this one included
  bool uses_decode = true;              // false: a service, whose endpoints and slots are counted as prefill

  bool operator==(const pool_state&) const = default;
};

// A request that waits for its prefill slot.
struct queue_job {
  request_id request;
  account_name account;
  double weight = 1.0;  // of the account; above 0
  time_point arrival;
  time_point latest_start;          // see LatestStart
  bool deadline_bound = false;      // the caller's deadline sets the latest start, not the target
  std::uint32_t prompt_tokens = 0;  // to prefill, without the part expected in a prefix cache
  std::uint32_t output_tokens = 0;  // predicted length of the answer

  bool operator==(const queue_job&) const = default;
};

enum class admission_verdict : std::uint8_t {
  kAdmitted,
  kOverCapacity,         // the target would be missed, by this job or one admitted before it
  kQueueFull,            // the queue limit is reached
  kDeadlineUnreachable,  // the caller's own deadline cannot be met
  kNoEndpoint,           // no endpoint of the pool can receive work
  kDuplicate,            // the request is already queued
};

// "admitted", "over_capacity", ...
const char* AdmissionName(admission_verdict verdict);

struct admission_result {
  admission_verdict verdict = admission_verdict::kAdmitted;
  microseconds predicted_wait{0};    // until the start
  milliseconds retry_after{0};       // of a refusal
  std::vector<queue_job> displaced;  // given up in favour of this job, because their account exceeds its share

  bool operator==(const admission_result&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. start times and times to come back
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

// Latest start that meets the first-token target and the caller's deadline for the whole answer, if there is one. A
// prompt that would miss the target even on an idle endpoint gets `min_wait` after its arrival, so that it is served
// late when the pool has room and refused first when it has not. A deadline is never stretched in this way.
start_limit LatestStart(time_point arrival, const service_times& times, std::optional<time_point> deadline,
                        const admission_settings& settings);

// A time to come back, uniform over the `drain` time after the shortest one. `jitter` is random, from 0 to below 1.
milliseconds SpreadRetryAfter(microseconds drain, double jitter, const admission_settings& settings);

// ---------------------------------------------------------------------------------------------------------------------
// 3. rate meter
// ---------------------------------------------------------------------------------------------------------------------

// Tokens started per second of busy time and endpoint. Time without waiting work does not count, because the rate then
// shows the demand and not the capacity. Old measurements fade, so that an idle meter returns to the reported rate.
class rate_meter {
 public:
  explicit rate_meter(milliseconds window) : window_(window) {}

  void SetBusy(bool busy, time_point now);
  void NoteStart(double tokens, std::uint32_t endpoints, time_point now);

  // Tokens per second over `endpoints`, mixed with `prior` (0: unknown) that counts as much as `prior_weight` of busy
  // time. 0 when nothing is known.
  double Rate(double prior, milliseconds prior_weight, std::uint32_t endpoints, time_point now) const;

 private:
  struct totals {
    double tokens = 0;  // per endpoint
    double busy_s = 0;
  };
  totals Faded(time_point now) const;

  milliseconds window_;
  totals totals_;
  time_point updated_;
  bool busy_ = false;
};

// ---------------------------------------------------------------------------------------------------------------------
// 4. queue
// ---------------------------------------------------------------------------------------------------------------------

// The queue of one pool at one router. A job that PickNext hands out counts as work ahead until it is reported by
// exactly one of NoteStarted, Requeue and RemoveJob.
class admission_queue {
 public:
  explicit admission_queue(admission_settings settings);

  // Replaces the knowledge about the pool. Call it whenever reports or membership change.
  void UpdatePool(const pool_state& pool, time_point now);

  // Admits or refuses at once. The settings' margin applies. `jitter` as in SpreadRetryAfter.
  admission_result AdmitRequest(const queue_job& job, double jitter, time_point now);

  // Hands out the most urgent job: the earliest latest start among the accounts within their fair share. Overdue jobs
  // are never handed out. With `accept`, only jobs for which it is true.
  std::optional<queue_job> PickNext(time_point now, const std::function<bool(const queue_job&)>& accept = nullptr);

  // The job that PickNext would hand out, without handing it out. Valid until the next change of the queue.
  const queue_job* PeekNext(time_point now, const std::function<bool(const queue_job&)>& accept = nullptr) const;

  // Puts a picked job back in its place after its bid lost. False if the job was not picked.
  bool Requeue(const request_id& request, time_point now);

  // Notes that a picked job has its slots and starts. False if the job was not picked.
  bool NoteStarted(const request_id& request, time_point now);

  // Forgets a waiting or picked job: its caller disconnected or it was refused. False if there is none.
  bool RemoveJob(const request_id& request, time_point now);

  // Removes and returns the waiting jobs that are past their latest start. They are given up at once.
  std::vector<queue_job> ExpireOverdue(time_point now);

  // The earliest latest start of a waiting job: when ExpireOverdue next has something to do.
  std::optional<time_point> NextExpiry() const;

  // Time to come back for a request of this size that is given up now. Every call adds the request to the work that is
  // expected to return, so that many refused callers spread over the time the pool needs for all of them.
  milliseconds RetryAfter(std::uint32_t prompt_tokens, std::uint32_t output_tokens, double jitter, time_point now);

  // Time the pool needs to start everything that waits.
  microseconds DrainTime(time_point now) const;

  std::size_t WaitingCount() const { return waiting_.size(); }
  std::size_t PickedCount() const { return picked_.size(); }
  double PrefillRate(time_point now) const;  // tokens per second open to this router; 0: unknown
  double DecodeRate(time_point now) const;   // output tokens per second open to this router; 0: unknown

 private:
  struct order_key {
    time_point latest_start;
    std::uint64_t sequence = 0;  // first come, first served among equals

    auto operator<=>(const order_key&) const = default;
  };
  struct account_share {
    double weight = 1.0;
    double started = 0;         // tokens, fading over the share window
    double waiting = 0;         // tokens in the queue
    std::uint32_t jobs = 0;     // waiting and picked
    double offered_prompt = 0;  // tokens of all requests, admitted or not, fading over the rate window
    double offered_output = 0;
    time_point offered_updated;
    bool is_over = false;  // beyond the fair share; set by MarkOverShare
    time_point updated;
  };
  struct waiting_job {
    queue_job job;
    account_share* account = nullptr;  // in accounts_, whose nodes never move
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
    double prefill_free = 0;  // jobs that find an open slot
    double decode_free = 0;
  };
  // Adds up work in the order of starts.
  struct start_planner;
  // Result of planning the queue with a candidate in it.
  struct start_plan {
    microseconds wait{0};                                   // of the candidate
    bool candidate_late = false;                            // the candidate would miss its latest start
    bool harms_other = false;                               // an admitted job would miss its latest start because of it
    std::vector<waiting_map::const_iterator> up_to_harmed;  // the jobs in order, up to the first late or harmed one
  };

  work_rates Rates(time_point now) const;
  start_plan PlanWith(const queue_job& candidate, const std::vector<order_key>& excluded, time_point now);
  std::optional<std::vector<order_key>> FindDisplaced(const queue_job& candidate, start_plan& plan, time_point now);
  double ShareOf(const account_share& account, time_point now) const;
  double FairLimit(time_point now) const;
  double SlackTokens(time_point now) const;
  bool MarkOverShare(time_point now);
  void NoteOffered(const queue_job& job, time_point now);
  double FairFraction(const account_name& account, time_point now) const;
  bool ExceedsOwnShare(const queue_job& candidate, time_point now) const;
  bool IsShort(time_point now) const;
  double Returning(double tokens, double rate, time_point now) const;
  waiting_map::const_iterator FindNext(time_point now, const job_filter& accept) const;
  void Insert(const queue_job& job, const order_key& key, time_point now);
  queue_job Erase(waiting_map::const_iterator place);
  void ChargeStart(const queue_job& job, double sign, time_point now);
  void ReleaseAccount(const account_name& account);
  void DropIdleAccounts(time_point now);
  void UpdateBusy(time_point now);
  admission_result Refuse(const queue_job& job, admission_verdict verdict, double jitter, time_point now);

  admission_settings settings_;
  pool_state pool_;
  rate_meter prefill_meter_;
  rate_meter decode_meter_;
  waiting_map waiting_;
  std::unordered_map<request_id, order_key> places_;
  std::unordered_map<request_id, picked_job> picked_;
  std::unordered_map<account_name, account_share> accounts_;
  time_point accounts_checked_;  // when idle accounts were last dropped
  std::uint64_t next_sequence_ = 0;
  double waiting_prompt_ = 0;  // tokens of waiting and picked jobs
  double waiting_output_ = 0;
  double returning_prompt_ = 0;  // tokens of refused requests that are expected back
  double returning_output_ = 0;
  time_point returning_updated_;
};

}  // namespace persimmon
