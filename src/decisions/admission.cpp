// Sections
//   1. latest start and retry delay
//   2. rate meter
//   3. planning of starts
//   4. queue
#include "persimmon/admission.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace persimmon {
namespace {

// Maximum number of jobs that one admission may displace; limits its run time.
constexpr std::size_t kMaxDisplacedJobs = 16;

// Lowest rate returned: a measured rate of 0 means that the pool is stalled, but 0 stands for "unknown" in results.
constexpr double kStalledTokensPerS = 1.0;

double Seconds(std::chrono::nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

microseconds Microseconds(double seconds) {
  constexpr double kLongestS = 1e9;
  return microseconds(static_cast<std::int64_t>(std::min(seconds, kLongestS) * 1e6));
}

double DecayFactor(std::chrono::nanoseconds elapsed, milliseconds window) {
  return elapsed.count() <= 0 ? 1.0 : std::exp(-Seconds(elapsed) / Seconds(window));
}

double WorkTokens(const queue_job& job) { return static_cast<double>(job.prompt_tokens) + job.output_tokens; }

}  // namespace

const char* AdmissionName(admission_verdict verdict) {
  switch (verdict) {
    case admission_verdict::kAdmitted:
      return "admitted";
    case admission_verdict::kOverCapacity:
      return "over_capacity";
    case admission_verdict::kQueueFull:
      return "queue_full";
    case admission_verdict::kDeadlineUnreachable:
      return "deadline_unreachable";
    case admission_verdict::kNoEndpoint:
      return "no_endpoint";
    case admission_verdict::kDuplicate:
      return "duplicate";
  }
  return "unknown";
}

// ---------------------------------------------------------------------------------------------------------------------
// 1. latest start and retry delay
// ---------------------------------------------------------------------------------------------------------------------

start_limit LatestStart(time_point arrival, const service_times& times, std::optional<time_point> deadline,
                        const admission_settings& settings) {
  const auto first_token = times.prefill + times.transfer;
  start_limit limit;
  limit.latest_start = std::max(arrival + settings.first_token_target - first_token, arrival + settings.min_wait);
  if (deadline && *deadline - first_token - times.decode < limit.latest_start) {
    limit.latest_start = *deadline - first_token - times.decode;
    limit.deadline_bound = true;
  }
  return limit;
}

milliseconds SpreadRetryAfter(microseconds drain, double jitter, const admission_settings& settings) {
  const microseconds shortest = settings.min_retry_after;
  const microseconds spread = std::clamp<microseconds>(drain, shortest, settings.max_retry_after);
  const auto delay = shortest + Microseconds(Seconds(spread) * std::clamp(jitter, 0.0, 1.0));
  return std::min(std::chrono::ceil<milliseconds>(delay), settings.max_retry_after);
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. rate meter
// ---------------------------------------------------------------------------------------------------------------------

rate_meter::totals rate_meter::Decayed(time_point now) const {
  const double factor = DecayFactor(now - updated_, window_);
  totals decayed{totals_.tokens * factor, totals_.busy_s * factor};
  if (busy_) {
    decayed.busy_s += Seconds(window_) * (1 - factor);
  }
  return decayed;
}

void rate_meter::SetBusy(bool busy, time_point now) {
  totals_ = Decayed(now);
  updated_ = std::max(updated_, now);
  busy_ = busy;
}

void rate_meter::RecordStart(double tokens, std::uint32_t endpoints, time_point now) {
  totals_ = Decayed(now);
  updated_ = std::max(updated_, now);
  totals_.tokens += tokens / std::max(endpoints, 1U);
}

double rate_meter::Rate(double prior, milliseconds prior_weight, std::uint32_t endpoints, time_point now) const {
  const totals measured = Decayed(now);
  const double weight_s = Seconds(prior_weight);
  if (prior <= 0) {
    return measured.busy_s < weight_s ? 0 : std::max(measured.tokens * endpoints / measured.busy_s, kStalledTokensPerS);
  }
  return std::max((prior * weight_s + measured.tokens * endpoints) / (weight_s + measured.busy_s), kStalledTokensPerS);
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. planning of starts
// ---------------------------------------------------------------------------------------------------------------------

struct admission_queue::start_planner {
  work_rates rates;
  double prefill_ahead = 0;  // tokens of earlier jobs that have to wait for a slot
  double decode_ahead = 0;

  // Returns the predicted wait of the next job in order, in seconds, and adds its work ahead of the later jobs.
  double AddJob(const queue_job& job) {
    const double prefill_wait = AddWork(job.prompt_tokens, rates.prefill, rates.prefill_free, prefill_ahead);
    const double decode_wait = AddWork(job.output_tokens, rates.decode, rates.decode_free, decode_ahead);
    return std::max(prefill_wait, decode_wait);
  }

 private:
  static double AddWork(double tokens, double rate, double& free, double& ahead) {
    const double taken = std::min(free, 1.0);
    const double wait = taken >= 1.0 || rate <= 0 ? 0 : ahead / rate;
    free -= taken;
    ahead += tokens * (1 - taken);
    return wait;
  }
};

admission_queue::work_rates admission_queue::Rates(time_point now) const {
  const double routers = std::max(pool_.routers, 1U);
  work_rates rates;
  rates.prefill = PrefillRate(now);
  rates.decode = pool_.uses_decode ? DecodeRate(now) : 0;
  rates.prefill_free = pool_.prefill_free / routers;
  rates.decode_free = pool_.decode_free / routers;
  return rates;
}

double admission_queue::PrefillRate(time_point now) const {
  const double total = pool_.prefill_tokens_per_s;
  const double rate =
      prefill_meter_.Rate(total / std::max(pool_.routers, 1U), settings_.prior_weight, pool_.prefill_endpoints, now);
  return total > 0 ? std::min(rate, total) : rate;
}

double admission_queue::DecodeRate(time_point now) const {
  const double total = pool_.decode_tokens_per_s;
  const double rate =
      decode_meter_.Rate(total / std::max(pool_.routers, 1U), settings_.prior_weight, pool_.decode_endpoints, now);
  return total > 0 ? std::min(rate, total) : rate;
}

admission_queue::start_plan admission_queue::PlanStarts(const queue_job& candidate,
                                                        const std::vector<order_key>& excluded, time_point now) {
  start_planner with_candidate{Rates(now)};
  start_planner without_candidate = with_candidate;
  for (const auto& [request, picked] : picked_) {
    with_candidate.AddJob(picked.job);
    without_candidate.AddJob(picked.job);
  }
  const auto is_late = [&](const queue_job& job, double wait_s) {
    return now + Microseconds(wait_s) + settings_.margin > job.latest_start;
  };
  // Jobs start in two groups: first those of accounts within their fair share, then the others.
  const bool has_over_share_group = MarkOverShare(now);
  const auto own = accounts_.find(candidate.account);
  const bool is_candidate_over_share = own != accounts_.end() && own->second.is_over_share;

  start_plan plan;
  const auto add_candidate = [&] {
    const double wait_s = with_candidate.AddJob(candidate);
    plan.wait = Microseconds(wait_s);
    // A job with no work ahead of it is never refused, so that an idle pool always accepts work.
    plan.candidate_late = wait_s > 0 && is_late(candidate, wait_s);
  };
  for (const bool is_over_share_group : {false, true}) {
    bool is_candidate_due = is_over_share_group == is_candidate_over_share;
    for (auto position = waiting_.begin(); position != waiting_.end(); ++position) {
      const queue_job& job = position->second.job;
      if (is_candidate_due && candidate.latest_start < job.latest_start) {
        add_candidate();
        is_candidate_due = false;
        if (plan.candidate_late) {
          return plan;
        }
      }
      const bool is_other_group = position->second.account->is_over_share != is_over_share_group;
      if (is_other_group || std::find(excluded.begin(), excluded.end(), position->first) != excluded.end()) {
        continue;
      }
      plan.planned_jobs.push_back(position);
      const bool is_delayed = is_late(job, with_candidate.AddJob(job) - Seconds(settings_.lateness_tolerance));
      if (is_delayed && !is_late(job, without_candidate.AddJob(job))) {
        plan.delays_other = true;
        return plan;
      }
    }
    if (is_candidate_due) {
      add_candidate();
      if (plan.candidate_late) {
        return plan;
      }
    }
    if (!has_over_share_group) {
      break;
    }
  }
  return plan;
}

// Marks the accounts that have started more than their fair share. True if there are any.
bool admission_queue::MarkOverShare(time_point now) {
  const bool is_fair_sharing = settings_.fair_shares && IsCongested(now);
  const double limit = is_fair_sharing ? FairUsageLimit(now) : std::numeric_limits<double>::infinity();
  bool has_any = false;
  for (auto& [name, account] : accounts_) {
    account.is_over_share = is_fair_sharing && WeightedUsage(account, now) > limit;
    has_any = has_any || account.is_over_share;
  }
  return has_any;
}

// Chooses waiting jobs to displace until the candidate fits. They are from accounts whose usage exceeds that of the
// candidate's account by at least `share_slack`, largest usage first. Nothing if it cannot fit. `plan` becomes the plan
// without the displaced jobs.
std::optional<std::vector<admission_queue::order_key>> admission_queue::ChooseDisplaced(const queue_job& candidate,
                                                                                        start_plan& plan,
                                                                                        time_point now) {
  std::vector<order_key> displaced;
  std::unordered_map<const account_usage*, double> displaced_tokens;  // by account
  const auto total_usage = [&](const account_usage& account) {
    const auto found = displaced_tokens.find(&account);
    const double waiting = account.waiting - (found == displaced_tokens.end() ? 0 : found->second);
    return WeightedUsage(account, now) + waiting / account.weight;
  };
  const auto own = accounts_.find(candidate.account);
  const double candidate_usage =
      (own == accounts_.end() ? 0 : total_usage(own->second)) + WorkTokens(candidate) / candidate.weight;
  bool needs_room = waiting_.size() + picked_.size() >= settings_.queue_limit;
  while (needs_room || plan.candidate_late || plan.delays_other) {
    if (displaced.size() >= kMaxDisplacedJobs) {
      return std::nullopt;
    }
    waiting_map::const_iterator largest = waiting_.end();
    double max_usage = candidate_usage + SlackTokens(now);
    for (const auto position : plan.planned_jobs) {
      const double usage = total_usage(*position->second.account);
      if (usage >= max_usage) {
        largest = position;
        max_usage = usage;
      }
    }
    if (largest == waiting_.end()) {
      return std::nullopt;
    }
    displaced_tokens[largest->second.account] += WorkTokens(largest->second.job);
    displaced.push_back(largest->first);
    needs_room = false;
    plan = PlanStarts(candidate, displaced, now);
  }
  return displaced;
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. queue
// ---------------------------------------------------------------------------------------------------------------------

admission_queue::admission_queue(admission_settings settings)
    : settings_(settings), prefill_meter_(settings.rate_window), decode_meter_(settings.rate_window) {}

void admission_queue::UpdatePool(const pool_state& pool, time_point now) {
  pool_ = pool;
  UpdateBusy(now);
}

admission_result admission_queue::Refuse(const queue_job& job, admission_verdict verdict, double jitter,
                                         time_point now) {
  admission_result refused;
  refused.verdict = verdict;
  refused.retry_after = RetryAfter(job.prompt_tokens, job.output_tokens, jitter, now);
  return refused;
}

admission_result admission_queue::AdmitRequest(const queue_job& job, double jitter, time_point now) {
  if (positions_.contains(job.request) || picked_.contains(job.request)) {
    return Refuse(job, admission_verdict::kDuplicate, jitter, now);
  }
  if (pool_.prefill_endpoints == 0 || (pool_.uses_decode && pool_.decode_endpoints == 0)) {
    return Refuse(job, admission_verdict::kNoEndpoint, jitter, now);
  }
  const auto late = job.deadline_bound ? admission_verdict::kDeadlineUnreachable : admission_verdict::kOverCapacity;
  if (job.latest_start < now) {
    return Refuse(job, late, jitter, now);
  }
  RecordOffered(job, now);
  if (settings_.fair_shares && IsCongested(now) && IsDelayedByOwnJobs(job, now)) {
    return Refuse(job, late, jitter, now);
  }
  const bool is_full = waiting_.size() + picked_.size() >= settings_.queue_limit;
  start_plan plan = PlanStarts(job, {}, now);
  std::vector<order_key> displaced;
  if (is_full || plan.candidate_late || plan.delays_other) {
    const start_plan first_plan = plan;
    auto found = settings_.fair_shares ? ChooseDisplaced(job, plan, now) : std::nullopt;
    if (!found) {
      const bool is_late = first_plan.candidate_late || first_plan.delays_other;
      admission_result refused = Refuse(job, is_late ? late : admission_verdict::kQueueFull, jitter, now);
      refused.predicted_wait = first_plan.wait;
      return refused;
    }
    displaced = std::move(*found);
  }
  admission_result admitted;
  admitted.predicted_wait = plan.wait;
  for (const order_key& key : displaced) {
    admitted.displaced.push_back(Erase(waiting_.find(key)));
    DecrementJobCount(admitted.displaced.back().account);
  }
  Insert(job, {job.latest_start, next_sequence_++}, now);
  accounts_[job.account].jobs += 1;
  UpdateBusy(now);
  return admitted;
}

std::optional<queue_job> admission_queue::PickNext(time_point now, const job_filter& accept) {
  const auto position = FindNext(now, accept);
  if (position == waiting_.end()) {
    return std::nullopt;
  }
  const order_key key = position->first;
  queue_job job = Erase(position);
  pending_prompt_ += job.prompt_tokens;
  pending_output_ += job.output_tokens;
  ChargeStart(job, 1, now);
  picked_[job.request] = {job, key};
  return job;
}

const queue_job* admission_queue::PeekNext(time_point now, const job_filter& accept) const {
  const auto position = FindNext(now, accept);
  return position == waiting_.end() ? nullptr : &position->second.job;
}

bool admission_queue::Requeue(const request_id& request, time_point now) {
  const auto found = picked_.find(request);
  if (found == picked_.end()) {
    return false;
  }
  const picked_job picked = std::move(found->second);
  picked_.erase(found);
  pending_prompt_ -= picked.job.prompt_tokens;
  pending_output_ -= picked.job.output_tokens;
  ChargeStart(picked.job, -1, now);
  Insert(picked.job, picked.key, now);
  return true;
}

bool admission_queue::RecordStarted(const request_id& request, time_point now) {
  const auto found = picked_.find(request);
  if (found == picked_.end()) {
    return false;
  }
  const queue_job job = std::move(found->second.job);
  picked_.erase(found);
  pending_prompt_ -= job.prompt_tokens;
  pending_output_ -= job.output_tokens;
  DecrementJobCount(job.account);
  prefill_meter_.RecordStart(job.prompt_tokens, pool_.prefill_endpoints, now);
  decode_meter_.RecordStart(job.output_tokens, pool_.decode_endpoints, now);
  pool_.prefill_free -= pool_.prefill_free > 0 ? 1 : 0;
  pool_.decode_free -= pool_.decode_free > 0 ? 1 : 0;
  UpdateBusy(now);
  return true;
}

bool admission_queue::RemoveJob(const request_id& request, time_point now) {
  if (const auto position = positions_.find(request); position != positions_.end()) {
    DecrementJobCount(Erase(waiting_.find(position->second)).account);
    UpdateBusy(now);
    return true;
  }
  const auto found = picked_.find(request);
  if (found == picked_.end()) {
    return false;
  }
  ChargeStart(found->second.job, -1, now);
  pending_prompt_ -= found->second.job.prompt_tokens;
  pending_output_ -= found->second.job.output_tokens;
  DecrementJobCount(found->second.job.account);
  picked_.erase(found);
  UpdateBusy(now);
  return true;
}

std::vector<queue_job> admission_queue::ExpireOverdue(time_point now) {
  std::vector<queue_job> overdue;
  while (!waiting_.empty() && waiting_.begin()->first.latest_start < now) {
    overdue.push_back(Erase(waiting_.begin()));
    DecrementJobCount(overdue.back().account);
  }
  RemoveIdleAccounts(now);
  UpdateBusy(now);
  return overdue;
}

std::optional<time_point> admission_queue::NextExpiry() const {
  return waiting_.empty() ? std::nullopt : std::optional(waiting_.begin()->first.latest_start);
}

milliseconds admission_queue::RetryAfter(std::uint32_t prompt_tokens, std::uint32_t output_tokens, double jitter,
                                         time_point now) {
  const work_rates rates = Rates(now);
  const double max_delay_s = Seconds(settings_.max_retry_after);
  retry_prompt_ =
      std::min(ExpectedRetries(retry_prompt_, rates.prefill, now) + prompt_tokens, rates.prefill * max_delay_s);
  retry_output_ =
      std::min(ExpectedRetries(retry_output_, rates.decode, now) + output_tokens, rates.decode * max_delay_s);
  retry_updated_ = now;
  return SpreadRetryAfter(DrainTime(now), jitter, settings_);
}

// Tokens of refused requests whose retries are still expected. `tokens` is the number at the time of the last refusal;
// since then the pool had time to serve retries at `rate`.
double admission_queue::ExpectedRetries(double tokens, double rate, time_point now) const {
  return std::max(0.0, tokens - rate * std::max(0.0, Seconds(now - retry_updated_)));
}

microseconds admission_queue::DrainTime(time_point now) const {
  const work_rates rates = Rates(now);
  const double prompt = pending_prompt_ + ExpectedRetries(retry_prompt_, rates.prefill, now);
  const double output = pending_output_ + ExpectedRetries(retry_output_, rates.decode, now);
  const double prefill_s = rates.prefill <= 0 ? 0 : prompt / rates.prefill;
  const double decode_s = rates.decode <= 0 ? 0 : output / rates.decode;
  return Microseconds(std::max(prefill_s, decode_s));
}

double admission_queue::WeightedUsage(const account_usage& account, time_point now) const {
  return account.started * DecayFactor(now - account.updated, settings_.share_window) / account.weight;
}

// The largest weighted usage at which an account is still within its fair share.
double admission_queue::FairUsageLimit(time_point now) const {
  double least = std::numeric_limits<double>::infinity();
  for (const auto& [name, account] : accounts_) {
    if (account.waiting > 0) {
      least = std::min(least, WeightedUsage(account, now));
    }
  }
  return least + SlackTokens(now);
}

double admission_queue::SlackTokens(time_point now) const {
  const work_rates rates = Rates(now);
  return (rates.prefill + rates.decode) * Seconds(settings_.share_slack);
}

bool admission_queue::IsCongested(time_point now) const {
  const work_rates rates = Rates(now);
  const double limit_s = Seconds(settings_.congestion_threshold);
  return (rates.prefill > 0 && pending_prompt_ > rates.prefill * limit_s) ||
         (rates.decode > 0 && pool_.decode_free == 0 && pending_output_ > rates.decode * limit_s);
}

void admission_queue::RecordOffered(const queue_job& job, time_point now) {
  account_usage& account = accounts_[job.account];
  account.weight = job.weight > 0 ? job.weight : 1.0;
  const double factor = DecayFactor(now - account.offered_updated, settings_.rate_window);
  account.offered_prompt = account.offered_prompt * factor + job.prompt_tokens;
  account.offered_output = account.offered_output * factor + job.output_tokens;
  account.offered_updated = std::max(account.offered_updated, now);
}

// Weighted max-min fair fraction of the pool's rate for the account, given the recent demand of all accounts: every
// account gets its demand or its weighted fair share, whichever is less. 1 if the account's demand is met.
double admission_queue::FairFraction(const account_name& account, time_point now) const {
  struct demand {
    double prompt = 0;  // fraction of the pool's rate
    double output = 0;
    double weight = 1.0;
    bool is_own = false;
  };
  const work_rates rates = Rates(now);
  const double window_s = Seconds(settings_.rate_window);
  std::vector<demand> demands;
  double total_prompt = 0;
  double total_output = 0;
  for (const auto& [name, usage] : accounts_) {
    const double factor = DecayFactor(now - usage.offered_updated, settings_.rate_window) / window_s;
    const double prompt = rates.prefill > 0 ? usage.offered_prompt * factor / rates.prefill : 0;
    const double output = rates.decode > 0 ? usage.offered_output * factor / rates.decode : 0;
    demands.push_back({prompt, output, usage.weight, name == account});
    total_prompt += prompt;
    total_output += output;
  }
  if (std::max(total_prompt, total_output) <= 1) {
    return 1;
  }
  const bool is_decode = total_output > total_prompt;
  const auto part = [is_decode](const demand& item) { return is_decode ? item.output : item.prompt; };
  std::sort(demands.begin(), demands.end(), [&part](const demand& left, const demand& right) {
    return part(left) * right.weight < part(right) * left.weight;
  });
  double weights = 0;
  for (const demand& item : demands) {
    weights += item.weight;
  }
  double left = 1;
  for (const demand& item : demands) {
    const double fair = left * item.weight / weights;
    if (item.is_own) {
      return part(item) <= fair ? 1 : fair;
    }
    left -= std::min(part(item), fair);
    weights -= item.weight;
  }
  return 1;
}

// Whether the account's own waiting work, at its fair fraction of the rate, delays the candidate past its latest start.
// Without this check the account would fill the queue, and its jobs would be displaced after most of their wait.
bool admission_queue::IsDelayedByOwnJobs(const queue_job& candidate, time_point now) const {
  const double fraction = FairFraction(candidate.account, now);
  if (fraction >= 1) {
    return false;
  }
  double prompt_ahead = 0;
  double output_ahead = 0;
  for (const auto& [key, waiting] : waiting_) {
    if (key.latest_start > candidate.latest_start) {
      break;
    }
    if (waiting.job.account == candidate.account) {
      prompt_ahead += waiting.job.prompt_tokens;
      output_ahead += waiting.job.output_tokens;
    }
  }
  const work_rates rates = Rates(now);
  const bool is_decode_full = pool_.decode_free == 0 && rates.decode > 0;
  const double prefill_s = rates.prefill > 0 ? prompt_ahead / (fraction * rates.prefill) : 0;
  const double decode_s = is_decode_full ? output_ahead / (fraction * rates.decode) : 0;
  const double wait_s = std::max(prefill_s, decode_s);
  return wait_s > 0 && now + Microseconds(wait_s) + settings_.margin > candidate.latest_start;
}

admission_queue::waiting_map::const_iterator admission_queue::FindNext(time_point now, const job_filter& accept) const {
  const bool is_fair_sharing = settings_.fair_shares && IsCongested(now);
  const double fair_limit = is_fair_sharing ? FairUsageLimit(now) : std::numeric_limits<double>::infinity();
  auto fallback = waiting_.end();
  for (auto position = waiting_.begin(); position != waiting_.end(); ++position) {
    const bool is_overdue = position->second.job.latest_start < now;
    if (is_overdue || (accept && !accept(position->second.job))) {
      continue;
    }
    if (!is_fair_sharing || WeightedUsage(*position->second.account, now) <= fair_limit) {
      return position;
    }
    if (fallback == waiting_.end()) {
      fallback = position;
    }
  }
  return fallback;
}

void admission_queue::Insert(const queue_job& job, const order_key& key, time_point now) {
  account_usage& account = accounts_[job.account];
  account.weight = job.weight > 0 ? job.weight : 1.0;
  account.waiting += WorkTokens(job);
  pending_prompt_ += job.prompt_tokens;
  pending_output_ += job.output_tokens;
  positions_[job.request] = key;
  waiting_[key] = {job, &account};
  UpdateBusy(now);
}

queue_job admission_queue::Erase(waiting_map::const_iterator position) {
  queue_job job = position->second.job;
  position->second.account->waiting -= WorkTokens(job);
  pending_prompt_ -= job.prompt_tokens;
  pending_output_ -= job.output_tokens;
  positions_.erase(job.request);
  waiting_.erase(position);
  return job;
}

void admission_queue::ChargeStart(const queue_job& job, double sign, time_point now) {
  account_usage& account = accounts_[job.account];
  account.started *= DecayFactor(now - account.updated, settings_.share_window);
  account.started = std::max(0.0, account.started + sign * WorkTokens(job));
  account.updated = std::max(account.updated, now);
}

void admission_queue::DecrementJobCount(const account_name& account) {
  const auto found = accounts_.find(account);
  if (found != accounts_.end() && found->second.jobs > 0) {
    found->second.jobs -= 1;
  }
}

void admission_queue::RemoveIdleAccounts(time_point now) {
  if (now - last_idle_removal_ < settings_.rate_window) {
    return;
  }
  last_idle_removal_ = now;
  // A weighted usage below one token no longer affects any decision.
  std::erase_if(accounts_, [&](const auto& entry) {
    return entry.second.jobs == 0 && WeightedUsage(entry.second, now) < 1.0 &&
           now - entry.second.offered_updated > 10 * settings_.rate_window;
  });
}

void admission_queue::UpdateBusy(time_point now) {
  const bool has_work = !waiting_.empty() || !picked_.empty();
  const bool is_decode_full = pool_.uses_decode && pool_.decode_endpoints > 0 && pool_.decode_free == 0;
  prefill_meter_.SetBusy(has_work && !is_decode_full, now);
  decode_meter_.SetBusy(has_work && is_decode_full, now);
}

}  // namespace persimmon
