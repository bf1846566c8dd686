// Sections
//   1. pools
//   2. waiting for slots
//   3. binding
//   4. measurements
#include "router/dispatcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "core/log.h"
#include "core/random.h"
#include "core/telemetry.h"

namespace persimmon {
namespace {

const logger& Log() {
  static const logger log("router.dispatch");
  return log;
}

constexpr milliseconds kDispatchPeriod(10);       // jobs past their latest start are refused within this time
constexpr milliseconds kPrefillHold(500);         // an unused prefill slot is released after this time
constexpr milliseconds kDecodeHold(2'000);        // an unused decode slot is released this long after its planned start
constexpr milliseconds kMinDecodeRetryDelay(10);  // delay after a refused decode reservation
constexpr milliseconds kMaxDecodeRetryDelay(100);
constexpr microseconds kMinPredictedPrefill(20'000);  // fixed costs dominate shorter prefills
constexpr microseconds kInitialTransferTime(60'000);  // start value of the moving average
constexpr double kMovingAverageWeight = 0.1;          // weight of a new sample
constexpr std::chrono::hours kForever(24 * 365);

double MovingAverage(double old_value, double new_value) {
  return old_value + kMovingAverageWeight * (new_value - old_value);
}

microseconds SecondsToMicroseconds(double seconds) {
  return microseconds(static_cast<std::int64_t>(seconds * 1'000'000.0));
}

milliseconds RemainingTime(time_point until, time_point now) {
  return std::chrono::duration_cast<milliseconds>(until - now);
}

refusal_code ToRefusalCode(admission_verdict verdict) {
  switch (verdict) {
    case admission_verdict::kDeadlineUnreachable:
      return refusal_code::kDeadlineUnreachable;
    case admission_verdict::kNoEndpoint:
      return refusal_code::kNoEndpoint;
    case admission_verdict::kDuplicate:
      return refusal_code::kInProgress;
    case admission_verdict::kAdmitted:
    case admission_verdict::kOverCapacity:
    case admission_verdict::kQueueFull:
      return refusal_code::kOverCapacity;
  }
  return refusal_code::kOverCapacity;
}

const char* AdmissionRefusalMessage(admission_verdict verdict) {
  switch (verdict) {
    case admission_verdict::kDeadlineUnreachable:
      return "The caller's deadline cannot be met.";
    case admission_verdict::kNoEndpoint:
      return "No endpoint of the pool can take work.";
    case admission_verdict::kQueueFull:
      return "The queue of the pool is full.";
    default:
      return "The first token would come too late.";
  }
}

// Excludes the endpoints to avoid, unless no other endpoint can accept work.
void AvoidEndpoints(std::vector<endpoint_view>& views, const std::vector<endpoint_name>& avoid) {
  const auto is_avoided = [&avoid](const endpoint_view& view) {
    return std::find(avoid.begin(), avoid.end(), view.name) != avoid.end();
  };
  const bool has_other = std::any_of(views.begin(), views.end(), [&is_avoided](const endpoint_view& view) {
    return view.can_receive && !is_avoided(view);
  });
  for (endpoint_view& view : views) {
    view.can_receive = view.can_receive && !(has_other && is_avoided(view));
  }
}

// Queue entries are keyed by job number, because callers may send duplicate request ids.
request_id QueueKey(std::uint64_t number) { return request_id{std::to_string(number)}; }

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. pools
// ---------------------------------------------------------------------------------------------------------------------

struct dispatcher::pool_queue {
  pool_queue(pool_record source, const admission_settings& settings) : record(std::move(source)), queue(settings) {}

  pool_record record;
  admission_queue queue;
  std::map<request_id, model_job_ptr> jobs;  // queued jobs and jobs being bound, by queue key
  double prefill_tokens_per_s = 0;           // measured, per endpoint; 0: not measured yet
  double transfer_s = std::chrono::duration<double>(kInitialTransferTime).count();
  time_point decode_blocked_until;  // no binding before this time, after a refused decode reservation
};

dispatcher::dispatcher(kernel& services, const router_settings& settings)
    : kernel_(services), settings_(settings), mode_(ParsePolicyMode(settings.mode)), process_id_(RandomHex(8)) {}

void dispatcher::Start() {
  endpoints_ = &kernel_.Find<endpoint_directory>("endpoints");
  peers_ = &kernel_.Find<peer_directory>("peers");
  tracer_ = &kernel_.Find<telemetry>("telemetry").Tracer();
  endpoints_->SubscribeChanges([this](const endpoint_name&) { DispatchAllPools(); });
  endpoints_->SubscribeReports([this](const load_report& report) { HandleReport(report); });
  kernel_.Find<config_store>("config").Subscribe(
      [this](const std::shared_ptr<const configuration>& config) { ApplyConfiguration(*config); });
}

void dispatcher::Stop() { dispatch_timer_.Cancel(); }

dispatcher::~dispatcher() = default;

void dispatcher::ApplyConfiguration(const configuration& config) {
  for (const auto& [name, record] : config.pools) {
    auto& pool = pools_[name];
    if (pool && pool->record == record) {
      continue;
    }
    if (pool && !pool->jobs.empty()) {
      // The queue keeps its settings, so waiting jobs keep the targets under which they were admitted.
      pool->record = record;
      continue;
    }
    admission_settings admission;
    admission.first_token_target = record.first_token_target;
    admission.queue_limit = record.queue_limit;
    pool = std::make_unique<pool_queue>(record, admission);
  }
}

dispatcher::pool_queue* dispatcher::FindPool(const std::string& name) {
  const auto found = pools_.find(name);
  return found == pools_.end() ? nullptr : found->second.get();
}

std::size_t dispatcher::QueuedJobs() const {
  std::size_t count = 0;
  for (const auto& [name, pool] : pools_) {
    count += pool->jobs.size();
  }
  return count;
}

std::vector<endpoint_view> dispatcher::MakeViews(const pool_queue& pool, endpoint_role role, const model_job* job,
                                                 time_point now) const {
  std::vector<endpoint_view> views;
  for (const endpoint_status* status : endpoints_->List(pool.record.name, role)) {
    const load_report& load = status->load;
    const auto dispatched_since_report = dispatches_.DispatchedSinceReport(status->record.name);
    endpoint_view view;
    view.name = status->record.name;
    view.zone = status->record.zone;
    view.can_receive = status->open && !status->leaving && load.ready && load.sequence != 0 &&
                       status->record.state == endpoint_state::kActive;
    view.health_share = endpoints_->HealthShare(status->record.name, role);
    view.report_age = std::chrono::duration_cast<microseconds>(now - status->load_time);
    view.prefill_free =
        status->prefill_slot_announced ? std::max<std::uint16_t>(load.prefill_free, 1) : load.prefill_free;
    view.decode_free = load.decode_free;
    view.decode_slots = load.decode_slots;
    view.queued_tokens = status->prefill_slot_announced ? 0 : load.queued_tokens;
    view.prefill_tokens_per_s = load.prefill_tokens_per_s;
    view.token_interval = microseconds(load.token_interval_us);
    view.decode_free_in = milliseconds(load.decode_free_in_ms);
    view.dispatched_prompt_tokens = status->prefill_slot_announced ? 0 : dispatched_since_report.prompt_tokens;
    view.dispatched_prefills = status->prefill_slot_announced ? 0 : dispatched_since_report.prefills;
    view.dispatched_decodes = dispatched_since_report.decodes;
    view.calls_in_progress = status->active_attempts;
    view.cached_tokens = job == nullptr ? 0 : prefixes_.CachedTokens(status->record.name, job->prefix_hashes);
    views.push_back(std::move(view));
  }
  if (job != nullptr && !job->avoid.empty()) {
    AvoidEndpoints(views, job->avoid);
  }
  return views;
}

void dispatcher::UpdatePool(pool_queue& pool, time_point now) {
  pool_state state;
  for (const endpoint_view& view : MakeViews(pool, endpoint_role::kPrefill, nullptr, now)) {
    if (view.can_receive) {
      ++state.prefill_endpoints;
      state.prefill_free += CorrectLoad(view, selection_).prefill_free;
      state.prefill_tokens_per_s += view.prefill_tokens_per_s;
    }
  }
  for (const endpoint_view& view : MakeViews(pool, endpoint_role::kDecode, nullptr, now)) {
    if (view.can_receive) {
      ++state.decode_endpoints;
      state.decode_free += CorrectLoad(view, selection_).decode_free;
      if (view.token_interval.count() > 0) {
        state.decode_tokens_per_s += view.decode_slots * 1'000'000.0 / static_cast<double>(view.token_interval.count());
      }
    }
  }
  state.routers = static_cast<std::uint32_t>(peers_->KnownRouters().size());
  pool.queue.UpdatePool(state, now);
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. waiting for slots
// ---------------------------------------------------------------------------------------------------------------------

queue_job dispatcher::MakeQueueJob(pool_queue& pool, const model_job& job, time_point now) {
  std::uint32_t cached = 0;
  double rate = pool.prefill_tokens_per_s;
  for (const endpoint_view& view : MakeViews(pool, endpoint_role::kPrefill, &job, now)) {
    cached = std::max(cached, view.can_receive ? view.cached_tokens : 0);
    rate = rate > 0 ? rate : view.prefill_tokens_per_s;
  }
  rate = rate > 0 ? rate : selection_.default_prefill_tokens_per_s;
  const std::uint32_t context = job.content.prompt_tokens + job.resume_tokens;
  const std::uint32_t uncached = context - std::min(cached, context);

  queue_job entry;
  entry.request = QueueKey(job.number);
  entry.account = job.account;
  entry.weight = job.account_weight;
  entry.arrival = job.arrival;
  entry.prompt_tokens = std::max<std::uint32_t>(1, uncached);
  entry.output_tokens = job.content.max_tokens - std::min(job.resume_tokens, job.content.max_tokens);
  service_times times;
  times.prefill = SecondsToMicroseconds(uncached / rate);
  times.transfer = SecondsToMicroseconds(pool.transfer_s);
  admission_settings targets;
  targets.first_token_target = job.first_token_target;
  // A retry is urgent, but its original latency target has often passed already. It is scheduled as if it had arrived
  // half of its first-token target ago.
  const time_point target_start = job.failed_attempts == 0 ? job.arrival : now - job.first_token_target / 2;
  const start_limit limit = LatestStart(target_start, times, job.caller_deadline, targets);
  entry.latest_start =
      job.failed_attempts == 0 ? limit.latest_start : std::max(limit.latest_start, now + targets.min_wait);
  entry.deadline_bound = limit.deadline_bound;
  return entry;
}

task<slots_result> dispatcher::AwaitSlots(model_job_ptr job) {
  pool_queue* pool = FindPool(job->pool);
  if (pool == nullptr) {
    co_return refusal{refusal_code::kNoEndpoint, outcome_kind::kNotRun, "The pool of the model does not exist."};
  }
  if (mode_ != policy_mode::kFull) {
    co_return BindBaseline(*pool, job);
  }
  const time_point now = timer_service::Now();
  UpdatePool(*pool, now);
  const queue_job entry = MakeQueueJob(*pool, *job, now);
  const admission_result admitted = pool->queue.AdmitRequest(entry, RandomUnit(), now);
  for (const queue_job& displaced : admitted.displaced) {
    const milliseconds retry =
        pool->queue.RetryAfter(displaced.prompt_tokens, displaced.output_tokens, RandomUnit(), now);
    RefuseJob(*pool, displaced,
              {refusal_code::kOverCapacity, outcome_kind::kNotRun, "The account exceeds its share.", retry});
  }
  if (admitted.verdict != admission_verdict::kAdmitted) {
    co_return refusal{ToRefusalCode(admitted.verdict), outcome_kind::kNotRun, AdmissionRefusalMessage(admitted.verdict),
                      admitted.retry_after};
  }
  pool->jobs[entry.request] = job;
  ScheduleDispatch();
  DispatchJobs(*pool);
  auto received = co_await job->slot_results.Receive(kForever);
  if (!received) {
    co_return refusal{refusal_code::kTimeout, outcome_kind::kNotRun, "No decision was made."};
  }
  co_return std::move(*received);
}

void dispatcher::RemoveJob(const model_job_ptr& job) {
  pool_queue* pool = FindPool(job->pool);
  const request_id key = QueueKey(job->number);
  if (pool == nullptr || !pool->jobs.contains(key)) {
    return;
  }
  pool->queue.RemoveJob(key, timer_service::Now());
  pool->jobs.erase(key);
  job->slot_results.Push(refusal{refusal_code::kTimeout, outcome_kind::kNotRun, "The caller has gone."});
}

void dispatcher::RefuseJob(pool_queue& pool, const queue_job& job, refusal reason) {
  const auto found = pool.jobs.find(job.request);
  if (found == pool.jobs.end()) {
    return;
  }
  const model_job_ptr refused = found->second;
  pool.jobs.erase(found);
  refused->slot_results.Push(std::move(reason));
}

void dispatcher::RefuseExpiredJobs(pool_queue& pool, time_point now) {
  const auto next = pool.queue.NextExpiry();
  if (!next || *next > now) {
    return;
  }
  for (const queue_job& job : pool.queue.ExpireOverdue(now)) {
    const milliseconds retry = pool.queue.RetryAfter(job.prompt_tokens, job.output_tokens, RandomUnit(), now);
    RefuseJob(pool, job,
              {refusal_code::kOverCapacity, outcome_kind::kNotRun, "The first token would come too late.", retry});
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. binding
// ---------------------------------------------------------------------------------------------------------------------

// The timer runs only while jobs are queued. 100 idle wake-ups per second would use most of a router's CPU budget for
// control work.
void dispatcher::ScheduleDispatch() {
  if (dispatch_scheduled_) {
    return;
  }
  dispatch_scheduled_ = true;
  dispatch_timer_ = kernel_.Timers().SubscribeOnce(kDispatchPeriod, [this] {
    dispatch_scheduled_ = false;
    DispatchAllPools();
    if (QueuedJobs() > 0) {
      ScheduleDispatch();
    }
  });
}

void dispatcher::DispatchAllPools() {
  for (auto& [name, pool] : pools_) {
    if (!pool->jobs.empty()) {
      DispatchJobs(*pool);
    }
  }
}

void dispatcher::DispatchJobs(pool_queue& pool) {
  const time_point now = timer_service::Now();
  UpdatePool(pool, now);
  RefuseExpiredJobs(pool, now);
  while (now >= pool.decode_blocked_until) {
    const queue_job* next = pool.queue.PeekNext(now);
    if (next == nullptr) {
      return;
    }
    const model_job_ptr job = pool.jobs.at(next->request);
    const std::uint32_t prompt_tokens = next->prompt_tokens;
    const auto plan = PlanBinding(pool, *job, now);
    if (!plan) {
      return;
    }
    pool.queue.PickNext(now);
    dispatches_.RecordPrefill(plan->slots.prefill, prompt_tokens, now);
    dispatches_.RecordDecode(plan->slots.decode, now);
    endpoints_->MarkPrefillSlotTaken(plan->slots.prefill);
    asio::co_spawn(kernel_.Context(), BindJob(pool.record.name, job, *plan), asio::detached);
  }
}

std::optional<dispatcher::bind_plan> dispatcher::PlanBinding(pool_queue& pool, const model_job& job, time_point now) {
  std::vector<endpoint_view> prefills = MakeViews(pool, endpoint_role::kPrefill, &job, now);
  std::erase_if(prefills, [this](const endpoint_view& view) {
    return !view.can_receive || CorrectLoad(view, selection_).prefill_free == 0;
  });
  prefill_request prefill_criteria;
  prefill_criteria.prompt_tokens = job.content.prompt_tokens + job.resume_tokens;
  prefill_criteria.preferred_zone = zone_name{settings_.zone};
  prefill_criteria.draw = RandomNumber();
  const auto prefill = ChoosePrefill(prefills, prefill_criteria, selection_);
  if (!prefill) {
    return std::nullopt;
  }
  const endpoint_view& chosen = prefills[prefill->index];
  const std::vector<endpoint_view> decodes = MakeViews(pool, endpoint_role::kDecode, &job, now);
  decode_request decode_criteria;
  decode_criteria.needed_in = prefill->wait + prefill->prefill + SecondsToMicroseconds(pool.transfer_s);
  decode_criteria.prefill_zone = chosen.zone;
  decode_criteria.draw = RandomNumber();
  const auto decode = ChooseDecode(decodes, decode_criteria, selection_);
  if (!decode) {
    return std::nullopt;
  }
  bind_plan plan;
  plan.slots.prefill_attempt = MakeAttemptId();
  plan.slots.prefill = chosen.name;
  plan.slots.decode_attempt = MakeAttemptId();
  plan.slots.decode = decodes[decode->index].name;
  plan.slots.cached_tokens = chosen.cached_tokens;
  plan.slots.predicted_prefill = prefill->prefill;
  plan.decode_start_ms =
      static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(decode_criteria.needed_in).count());
  return plan;
}

slots_result dispatcher::BindBaseline(pool_queue& pool, const model_job_ptr& job) {
  const time_point now = timer_service::Now();
  auto choose = [&](endpoint_role role) -> std::optional<endpoint_name> {
    std::vector<endpoint_view> views = MakeViews(pool, role, job.get(), now);
    std::erase_if(views, [](const endpoint_view& view) { return !view.can_receive; });
    if (views.empty()) {
      return std::nullopt;
    }
    if (mode_ == policy_mode::kRoundRobin) {
      return views[round_robin_++ % views.size()].name;
    }
    const auto least = std::min_element(views.begin(), views.end(), [role](const auto& left, const auto& right) {
      return role == endpoint_role::kPrefill ? left.queued_tokens < right.queued_tokens
                                             : left.decode_free > right.decode_free;
    });
    return least->name;
  };
  const auto prefill = choose(endpoint_role::kPrefill);
  const auto decode = choose(endpoint_role::kDecode);
  if (!prefill || !decode) {
    return refusal{refusal_code::kNoEndpoint, outcome_kind::kNotRun, "No endpoint of the pool can take work."};
  }
  granted_slots slots;
  slots.prefill_attempt = MakeAttemptId();
  slots.prefill = *prefill;
  slots.decode_attempt = MakeAttemptId();
  slots.decode = *decode;
  slots.granted_at = now;
  endpoints_->Register(slots.prefill_attempt, slots.prefill, job->events);
  endpoints_->Register(slots.decode_attempt, slots.decode, job->events);
  return slots;
}

void dispatcher::SendReservations(const model_job& job, const bind_plan& plan, time_point latest_start) {
  reserve_slot reservation;
  reservation.attempt = plan.slots.prefill_attempt;
  reservation.role = slot_role::kPrefill;
  reservation.hold_ms = static_cast<std::uint32_t>(kPrefillHold.count());
  reservation.latest_start_ms = static_cast<std::int32_t>(RemainingTime(latest_start, timer_service::Now()).count());
  reservation.prompt_tokens = job.content.prompt_tokens + job.resume_tokens - plan.slots.cached_tokens;
  reservation.output_tokens = job.content.max_tokens;
  reservation.priority = job.priority;
  reservation.fingerprint = job.fingerprint;
  reservation.suspect = job.suspect;
  endpoints_->Send(plan.slots.prefill, reservation);
  reservation.attempt = plan.slots.decode_attempt;
  reservation.role = slot_role::kDecode;
  reservation.start_in_ms = plan.decode_start_ms;
  reservation.hold_ms = static_cast<std::uint32_t>(kDecodeHold.count());
  endpoints_->Send(plan.slots.decode, reservation);
}

void dispatcher::ReleaseBinding(const bind_plan& plan, bool cancel_prefill, bool cancel_decode) {
  // An unanswered reservation may still be granted, so it is cancelled too. Only a refused one needs no cancel.
  if (cancel_prefill) {
    endpoints_->Send(plan.slots.prefill, cancel{plan.slots.prefill_attempt, 0, false});
  }
  if (cancel_decode) {
    endpoints_->Send(plan.slots.decode, cancel{plan.slots.decode_attempt, 0, false});
  }
  endpoints_->Unregister(plan.slots.prefill_attempt);
  endpoints_->Unregister(plan.slots.decode_attempt);
}

task<> dispatcher::BindJob(std::string pool_name, model_job_ptr job, bind_plan plan) {
  enum class reply { kNone, kGranted, kRefused };
  const auto replies = std::make_shared<attempt_mailbox>(kernel_.Context());
  endpoints_->Register(plan.slots.prefill_attempt, plan.slots.prefill, replies);
  endpoints_->Register(plan.slots.decode_attempt, plan.slots.decode, replies);
  const request_id key = QueueKey(job->number);
  time_point latest_start = job->arrival + job->first_token_target - plan.slots.predicted_prefill;
  span reservation = tracer_->StartSpan("reservation", job->traceparent);
  reservation.SetAttribute("prefill", plan.slots.prefill.value);
  reservation.SetAttribute("decode", plan.slots.decode.value);
  SendReservations(*job, plan, latest_start);

  reply prefill = reply::kNone;
  reply decode = reply::kNone;
  milliseconds decode_retry(0);
  const time_point end = timer_service::Now() + settings_.reply_timeout;
  while (prefill == reply::kNone || decode == reply::kNone) {
    const auto left = std::chrono::duration_cast<microseconds>(end - timer_service::Now());
    const auto event = co_await replies->Receive(std::max(left, microseconds(0)));
    if (!event || std::holds_alternative<channel_change>(*event)) {
      break;
    }
    if (const auto* granted = std::get_if<slot_granted>(&*event)) {
      (granted->attempt == plan.slots.prefill_attempt ? prefill : decode) = reply::kGranted;
    } else if (const auto* refused = std::get_if<slot_refused>(&*event)) {
      const bool is_prefill = refused->attempt == plan.slots.prefill_attempt;
      (is_prefill ? prefill : decode) = reply::kRefused;
      if (!is_prefill && refused->reason == refusal_reason::kBusy) {
        decode_retry = std::clamp(milliseconds(refused->retry_in_ms), kMinDecodeRetryDelay, kMaxDecodeRetryDelay);
      }
    }
  }

  reservation.failed = prefill != reply::kGranted || decode != reply::kGranted;
  tracer_->EndSpan(std::move(reservation));
  const time_point now = timer_service::Now();
  pool_queue* pool = FindPool(pool_name);
  const bool still_queued = pool != nullptr && pool->jobs.contains(key);
  if (!still_queued || prefill != reply::kGranted || decode != reply::kGranted) {
    ReleaseBinding(plan, prefill != reply::kRefused, decode != reply::kRefused);
    if (still_queued) {
      pool->decode_blocked_until = now + decode_retry;
      pool->queue.Requeue(key, now);
      DispatchJobs(*pool);
    }
    co_return;
  }
  pool->queue.RecordStarted(key, now);
  pool->jobs.erase(key);
  plan.slots.granted_at = now;
  endpoints_->Unregister(plan.slots.prefill_attempt);
  endpoints_->Unregister(plan.slots.decode_attempt);
  endpoints_->Register(plan.slots.prefill_attempt, plan.slots.prefill, job->events);
  endpoints_->Register(plan.slots.decode_attempt, plan.slots.decode, job->events);
  Log()
      .ForRequest(job->request.value)
      .Debug("Prefill slot granted on {}, decode slot on {}.", plan.slots.prefill.value, plan.slots.decode.value);
  job->slot_results.Push(plan.slots);
}

attempt_id dispatcher::MakeAttemptId() {
  return attempt_id{settings_.name + "/" + process_id_ + "/" + std::to_string(++next_attempt_)};
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. measurements
// ---------------------------------------------------------------------------------------------------------------------

void dispatcher::HandleReport(const load_report& report) {
  const endpoint_status* status = endpoints_->Find(report.endpoint);
  if (status != nullptr) {
    dispatches_.RecordReport(report.endpoint, status->load_time, microseconds(0));
  }
  for (const cache_event& event : report.cache_events) {
    prefixes_.ApplyCacheEvent(report.endpoint, prefix_event{event.sequence, event.prefix_hash, event.stored});
  }
}

void dispatcher::OnPrefillFinished(const model_job& job, const granted_slots& slots, std::uint32_t computed_tokens,
                                   microseconds duration) {
  prefixes_.RecordStored(slots.prefill, job.prefix_hashes);
  const auto predicted = static_cast<double>(std::max(slots.predicted_prefill, kMinPredictedPrefill).count());
  endpoints_->RecordAnswer(slots.prefill, endpoint_role::kPrefill, static_cast<double>(duration.count()) / predicted);
  pool_queue* pool = FindPool(job.pool);
  constexpr std::uint32_t kMinMeasuredTokens = 256;  // fixed costs dominate shorter prefills
  if (pool == nullptr || computed_tokens < kMinMeasuredTokens || duration.count() <= 0) {
    return;
  }
  const double rate = computed_tokens / std::chrono::duration<double>(duration).count();
  pool->prefill_tokens_per_s = pool->prefill_tokens_per_s == 0 ? rate : MovingAverage(pool->prefill_tokens_per_s, rate);
}

void dispatcher::OnFirstToken(const std::string& pool_name, microseconds time_since_prefill) {
  if (pool_queue* pool = FindPool(pool_name)) {
    pool->transfer_s = MovingAverage(pool->transfer_s, std::chrono::duration<double>(time_since_prefill).count());
  }
}

void dispatcher::OnAttemptFailed(const model_job& job, const endpoint_name& endpoint, endpoint_role role) {
  endpoints_->RecordFailure(endpoint, role);
  Log().ForRequest(job.request.value).Info("Attempt on {} failed.", endpoint.value);
}

}  // namespace persimmon
