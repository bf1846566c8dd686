// Sections
//   1. queue and engine assignment
//   2. prefill
//   3. decode
//   4. execution of a call
#include "direct/generation_calls.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <limits>

#include "core/event_log.h"
#include "core/random.h"
#include "core/telemetry.h"

namespace persimmon {
namespace {

constexpr const char* kComponent = "router.model";
constexpr int kOk = 200;
constexpr const char* kPartRefused = "part_crashes_engines";  // reason of a refusal
constexpr milliseconds kDispatchPeriod(20);  // while requests wait: checks expiry and capacity freed by other routers
constexpr milliseconds kPrefillTimeout(2'500);  // of one prefill including queueing; then another engine is tried
constexpr milliseconds kMinTimeLeft(50);        // with less time left, no first event can be delivered
// Time limit for assigning engines again to a request that lost its engine.
constexpr milliseconds kResumeStartLimit(500);
// That a prefilled request waits for a permit of its decode engine; its KV cache is kept about as long.
constexpr milliseconds kDecodePermitWait(500);
constexpr milliseconds kNoEngineRetryAfter(1'000);  // Retry-After when no engine is available
constexpr milliseconds kControlTimeout(1'000);      // of one call that frees memory
constexpr int kStreamTimeSamples = 32;              // streams over which their duration is averaged
constexpr int kIntervalSamples = 32;                // streams over which the token interval is averaged
// A request with at least this fraction of the route's largest time budget counts as a first attempt. First attempts
// have 12 to 14 s.
constexpr double kFirstAttemptBudgetShare = 0.85;
// Of the time that a caller has left. A late request that is refused then can still come back and be served; one that
// waits longer uses up the time of its caller while requests in time go first.
constexpr double kMaxLateWaitShare = 0.4;
constexpr milliseconds kReportTimeout(400);  // of a request for the report of an engine
// Pause of an engine that executes an order; afterwards the router requests its report again.
constexpr milliseconds kBusyPause(1'000);
constexpr std::size_t kMaxRememberedRoutes = 4'096;
constexpr std::uint32_t kMaxAssignments = 4;  // engine assignments per request, including failed ones

// Excludes prefill engines while the send budget has no room for a rejected prefill.
void ApplyBudget(send_budget::provisional_check check, std::vector<engine_view>& prefill_engines) {
  for (engine_view& engine : prefill_engines) {
    if (check == send_budget::provisional_check::kSpent) {
      engine.can_receive = false;
    } else if (check == send_budget::provisional_check::kWaits) {
      engine.pending_tokens = std::numeric_limits<std::uint32_t>::max();  // as busy, so that prompts wait
    }
  }
}

// True if the engine's software version may serve the call's stream.
bool IsUsableFor(const direct_call& call, const chosen_endpoint& engine) {
  return !call.engine_version || *call.engine_version == engine.version;
}

bool IsAnyUsableFor(const direct_call& call, const std::vector<chosen_endpoint>& engines) {
  return std::any_of(engines.begin(), engines.end(), [&](const auto& engine) { return IsUsableFor(call, engine); });
}

// The setting late_wait is for requests whose callers abandon them after this time; it is scaled for others.
constexpr milliseconds kLateWaitAbandonTime(3'600);

// True if the events so far hold as many tokens as the caller allows at most, so that nothing can follow. A service
// that does not state the tokens of an event counts with one, which is the least that an event has.
bool IsOutputExhausted(const direct_call& call, const event_splitter& events) {
  const std::uint64_t max_output = call.Metadata().max_output_tokens;
  const std::uint64_t tokens_per_event = call.Service().engine.value_or(engine_profile{}).tokens_per_event;
  if (max_output == 0) {
    return false;
  }
  const auto count = events.TotalCount();
  const bool is_counted = count && !events.Sequence().Varies();
  return (is_counted && *count * tokens_per_event >= max_output) ||
         events.Sequence().HasCountedTokens(max_output, tokens_per_event);
}

// Why a run was given up, with the ids of the event and of the one before.
std::string DescribeFault(const event_splitter& events) {
  constexpr std::size_t kMaxIdBytes = 40;
  return fmt::format("{}: '{}' after '{}'", events.FindFault(), events.CurrentId().substr(0, kMaxIdBytes),
                     events.LastId().substr(0, kMaxIdBytes));
}

std::string FormatError(const error& failure) {
  return fmt::format("{}: {}", ErrorName(failure.code), failure.message);
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. queue and engine assignment
// ---------------------------------------------------------------------------------------------------------------------

struct generation_calls::service_queue {
  service_queue(const service_record& record, const placement_queue_settings& settings,
                const return_schedule_settings& return_settings)
      : record(record), queue(settings), returns(return_settings) {}

  service_record record;
  placement_queue queue;
  return_schedule returns;
  std::map<request_id, waiting_ptr> waiting;  // all requests without a reservation
  output_length_model output_lengths;
  output_length_model::expectation length_expectation = output_length_model::expectation::kMedian;
  microseconds stream_time{0};  // mean duration of the answered streams; 0: none yet
  time_point previous_dispatch;
  time_point current_dispatch;
  bool reported_waiting = false;  // the last state sent to peers listed waiting requests that can meet their target
};

generation_calls::generation_calls(kernel& services, const direct_settings& settings, http_client& client)
    : kernel_(services), settings_(settings), client_(client), sender_(services) {}

generation_calls::~generation_calls() = default;

void generation_calls::Start() {
  auth_ = &kernel_.Find<caller_auth>("auth");
  directory_ = &kernel_.Find<deployment_directory>("directory");
  endpoint_tracker_ = &kernel_.Find<endpoint_tracker>("board");
  budgets_ = &kernel_.Find<send_budgets>("budgets");
  group_ = &kernel_.Find<router_group>("group");
  metrics_ = &kernel_.Find<telemetry>("telemetry").Metrics();
  suspect_tracker_ = &kernel_.Find<suspect_tracker>("crashes");
  part_tracker_ = &kernel_.Find<part_tracker>("parts");
  origins_ = &kernel_.Find<origin_tracker>("origins");
  prompts_ = &kernel_.Find<prompt_tracker>("prompts");
  answers_ = &kernel_.Find<answer_memory>("answers");
  sender_.Start();
  origins_->on_usable = [this] { DispatchAll(); };
}

void generation_calls::Stop() { dispatch_timer_.Cancel(); }

std::size_t generation_calls::WaitingCount() const {
  std::size_t count = 0;
  for (const auto& [name, queue] : queues_) {
    count += queue->waiting.size();
  }
  return count;
}

generation_calls::service_queue& generation_calls::QueueFor(const service_record& service) {
  auto& queue = queues_[service.name];
  if (!queue) {
    placement_queue_settings settings;
    settings.local_prefill_limit = static_cast<std::uint32_t>(settings_.local_prefill_limit);
    settings.share_window = settings_.share_window;
    // A caller that is refused at once has not waited in the queue yet, so it comes back later than others.
    const return_schedule_settings return_settings{.shortest = 2 * settings_.overload_retry_after};
    queue = std::make_unique<service_queue>(service, settings, return_settings);
  }
  queue->record = service;
  return *queue;
}

placement_request generation_calls::MakeRequest(const direct_call& call, bool is_resumed, time_point now) {
  const platform::request_metadata& metadata = call.Metadata();
  const route_record& route = call.Route();
  // A caller retries with a smaller time budget than that of its first attempt; the difference is the time since
  // its first attempt. First attempts differ in their budgets too, but by far less than a refused caller waits before
  // it retries.
  const milliseconds budget = metadata.time_budget.value_or(route.timeout);
  if (largest_budgets_.size() >= kMaxRememberedRoutes && !largest_budgets_.contains(route.name)) {
    // Limits the memory held for removed routes by clearing all entries. The next requests restore those of routes in
    // use.
    largest_budgets_.clear();
  }
  milliseconds& largest = largest_budgets_[route.name];
  largest = std::max(largest, budget);
  const bool is_first_attempt = budget >= largest * kFirstAttemptBudgetShare;
  const milliseconds waited_before = is_first_attempt ? milliseconds(0) : largest - budget;

  placement_request request;
  request.request = request_id{fmt::format("{}", ++next_number_)};
  const std::uint32_t estimate = EstimateOutput(metadata.expected_output_tokens, metadata.max_output_tokens, {});
  service_queue& queue = QueueFor(call.Service());
  output_length_model& output_lengths = queue.output_lengths;
  if (!is_resumed) {
    output_lengths.RecordEstimate(estimate);
  }
  request.memory = {metadata.prompt_tokens,
                    output_lengths.ExpectRemaining(estimate, 0, metadata.max_output_tokens, queue.length_expectation)};
  request.is_resumed = is_resumed;
  request.engine_group = call.engine_version ? VersionKey(call.Service().name, *call.engine_version) : 0;
  const double prefill_ms = metadata.prompt_tokens / placement_settings{}.prefill_tokens_per_ms;
  const auto prefill = microseconds(static_cast<std::int64_t>(prefill_ms * 1'000));
  request.latest_start = call.Arrival() - waited_before + route.target_latency - prefill - settings_.transfer_time;
  if (is_resumed) {
    // A stream that has lost its engine, or a request whose earlier assignment failed, counts as in time for this long,
    // even if it has missed its target.
    request.latest_start = std::max(request.latest_start, now + kResumeStartLimit);
  }
  milliseconds late_wait = settings_.late_wait;
  if (endpoint_tracker_->UsesAdaptivePolicy(call.Service().name)) {
    late_wait = settings_.late_wait * AbandonTime(route).count() / kLateWaitAbandonTime.count();
    request.urgency = call.urgency;
    request.account = call.Account() ? call.Account()->name : account_name();
    request.is_retry = !is_first_attempt;
  }
  // The caller of a broken stream measures its wait for the next event from the last event, so late_wait starts again.
  const time_point wait_start = is_resumed ? now : call.Arrival();
  request.expiry = std::min(wait_start + late_wait, call.Deadline() - kMinTimeLeft);
  if (endpoint_tracker_->UsesAdaptivePolicy(call.Service().name) && !is_resumed) {
    const auto longest = std::chrono::duration_cast<milliseconds>(call.TimeLeft(now) * kMaxLateWaitShare);
    request.expiry = std::min(request.expiry, std::max(now + longest, request.latest_start));
  }
  return request;
}

std::optional<std::uint32_t> generation_calls::PriorityOf(const direct_call& call) const {
  const std::string& service = call.Service().name;
  if (!endpoint_tracker_->UsesAdaptivePolicy(service)) {
    return std::nullopt;
  }
  const auto routes = directory_->Routes();
  return EnginePriority(routes->UrgencyLevels(service), call.urgency);
}

task<generation_calls::assignment_result> generation_calls::AwaitAssignment(direct_call_ptr call,
                                                                            std::vector<endpoint_name> avoid,
                                                                            bool is_resumed) {
  const time_point now = timer_service::Now();
  service_queue& queue = QueueFor(call->Service());
  auto waiting = std::make_shared<waiting_request>(kernel_.Context());
  waiting->call = call;
  waiting->avoid = std::move(avoid);
  waiting->request = MakeRequest(*call, is_resumed, now);
  const auto decode_engines = endpoint_tracker_->ListEndpoints(call->Service().name, endpoint_role::kDecode);
  if (decode_engines.empty()) {
    co_return assignment_result(rejection{"no_endpoint", kNoEngineRetryAfter});
  }
  if (!IsAnyUsableFor(*call, decode_engines)) {
    co_return assignment_result(rejection{"stream_version_gone", kNoEngineRetryAfter});
  }
  const milliseconds until_open = endpoint_tracker_->TimeUntilOpen(decode_engines);
  if (now + until_open >= waiting->request.expiry) {
    co_return assignment_result(rejection{"endpoints_closed", until_open + CapacityRetryAfter()});
  }
  if (auto refused = FindRefusal(queue, *call, waiting->request, now)) {
    co_return assignment_result(std::move(*refused));
  }
  if (!queue.queue.Add(waiting->request, now)) {
    co_return assignment_result(rejection{"over_capacity", AssignReturn(queue, *call, now)});
  }
  queue.waiting[waiting->request.request] = waiting;
  call->SetDisconnectHandler([this, waiting, service = call->Service().name] {
    RemoveWaiting(*queues_[service], waiting);
    waiting->result_mailbox.Push(rejection{"caller_gone", milliseconds(0)});
  });
  Dispatch(queue);
  ScheduleDispatch();
  auto assigned =
      co_await waiting->result_mailbox.Receive(std::chrono::duration_cast<microseconds>(call->Deadline() - now));
  call->ClearDisconnectHandler();
  if (!assigned) {
    RemoveWaiting(queue, waiting);
    co_return assignment_result(rejection{"time_over", CapacityRetryAfter()});
  }
  co_return std::move(*assigned);
}

void generation_calls::DispatchAll() {
  for (auto& [name, queue] : queues_) {
    Dispatch(*queue);
  }
}

std::vector<waiting_count> generation_calls::LocalWaiting() const {
  std::vector<waiting_count> counts;
  for (const auto& [name, queue] : queues_) {
    if (const std::size_t requests = queue->queue.InTimeCount(); requests > 0) {
      const auto max_count = std::numeric_limits<std::uint16_t>::max();
      counts.push_back({ServiceKey(name), static_cast<std::uint16_t>(std::min<std::size_t>(requests, max_count))});
    }
  }
  return counts;
}

void generation_calls::RemoveWaiting(service_queue& queue, const waiting_ptr& waiting) {
  queue.queue.Remove(waiting->request.request);
  queue.waiting.erase(waiting->request.request);
}

void generation_calls::Dispatch(service_queue& queue) {
  PlaceWaiting(queue);
  ReportWaiting(queue);
}

void generation_calls::ReportWaiting(service_queue& queue) {
  const bool has_waiting = queue.queue.InTimeCount() > 0;
  if (has_waiting != queue.reported_waiting) {
    queue.reported_waiting = has_waiting;
    group_->ScheduleUpdate();
  }
}

void generation_calls::PlaceWaiting(service_queue& queue) {
  const time_point now = timer_service::Now();
  if (queue.waiting.empty()) {
    return;
  }
  for (const placement_request& request : queue.queue.TakeExpired(now)) {
    const auto found = queue.waiting.find(request.request);
    if (found != queue.waiting.end()) {
      found->second->result_mailbox.Push(rejection{"overdue", AssignReturn(queue, *found->second->call, now)});
      queue.waiting.erase(found);
    }
  }
  queue.previous_dispatch = std::exchange(queue.current_dispatch, now);
  const engine_profile profile = queue.record.engine.value_or(engine_profile{});
  const auto engines = endpoint_tracker_->ListEndpoints(queue.record.name, endpoint_role::kDecode);
  const auto prefill_engines = endpoint_tracker_->ListEndpoints(queue.record.name, endpoint_role::kPrefill);
  RejectUnservable(queue, engines);
  const bool is_adaptive = endpoint_tracker_->UsesAdaptivePolicy(queue.record.name);
  placement_settings settings;
  settings.max_prefill_backlog = static_cast<std::uint32_t>(settings_.max_prefill_backlog);
  settings.local_prefill_limit = static_cast<std::uint32_t>(settings_.local_prefill_limit);
  prompts_->ApplySettings(queue.record.name, settings);
  const auto choose = [&](const placement_request& request) {
    const waiting_request& waiting = *queue.waiting.at(request.request);
    auto views = endpoint_tracker_->EngineViews(engines, profile, waiting.avoid, [&](const chosen_endpoint& engine) {
      return IsUsableFor(*waiting.call, engine) && origins_->MayBegin(queue.record.name, engine.version);
    });
    double streams = 0;
    for (engine_view& view : views) {
      streams += static_cast<double>(view.streams.size()) / static_cast<double>(views.size());
      view.headroom_tokens = queue.output_lengths.Headroom(view.running);
    }
    settings.counts_maxima = HasOutdatedViews(streams, queue.stream_time, group_->SendInterval());
    // The sum of maxima is cautious by itself.
    queue.length_expectation =
        settings.counts_maxima ? output_length_model::expectation::kMedian : output_length_model::expectation::kMean;
    auto prefill_views = endpoint_tracker_->EngineViews(prefill_engines, profile, {});
    prompts_->FillViews(*waiting.call, endpoint_role::kDecode, engines, views);
    prompts_->FillViews(*waiting.call, endpoint_role::kPrefill, prefill_engines, prefill_views);
    if (waiting.call->prefills == 0) {
      ApplyBudget(budgets_->CheckProvisional(queue.record.name), prefill_views);
    }
    placement_settings terms = settings;
    if (is_adaptive) {
      ReserveForUrgent(queue.queue.UseAbove(request.urgency, now), std::max(1U, group_->RouterCount()),
                       settings_.urgent_reserve, views, prefill_views.size(), terms);
    }
    return ChooseEngines(views, prefill_views, request.memory, settings_.deployment.zone, RandomNumber(), terms);
  };
  const bool peers_wait = group_->PeersWaiting(queue.record.name) > 0;
  while (true) {
    const placement_step step = queue.queue.TakeNext(choose, peers_wait);
    if (step.blocked != wait_reason::kNone) {
      RecordBlocked(queue, step.blocked, now);
    }
    if (!step.placed) {
      return;
    }
    const waiting_ptr waiting = queue.waiting.at(step.placed->request);
    waiting->request = *step.placed;
    stream_memory memory = step.placed->memory;
    memory.reserved_tokens = step.engines.reserved_tokens;
    engine_assignment assignment;
    assignment.engine = engines[step.engines.decode];
    assignment.memory = memory;
    assignment.chosen_at = now;
    assignment.stream_id = endpoint_tracker_->AddStream(assignment.engine.name, memory);
    if (step.engines.prefill) {
      assignment.prefill = prefill_engines[*step.engines.prefill];
      if (waiting->call->prefills == 0) {
        assignment.first_prefill = budgets_->BeginProvisional(queue.record.name);
      }
      AddPrefill(*waiting->call, assignment, *assignment.prefill, endpoint_role::kPrefill);
    } else {
      AddPrefill(*waiting->call, assignment, assignment.engine, endpoint_role::kDecode);
    }
    asio::co_spawn(kernel_.Context(), Reserve(queue.record.name, waiting, std::move(assignment)), asio::detached);
  }
}

// Rejects the waiting requests that could only wait in vain: streams whose software version has no decode engine any
// more, requests whose key has been revoked, and those with a part under which engines have crashed meanwhile.
void generation_calls::RejectUnservable(service_queue& queue, const std::vector<chosen_endpoint>& engines) {
  std::vector<std::pair<waiting_ptr, rejection>> rejected;
  for (const auto& [request, waiting] : queue.waiting) {
    if (waiting->call->engine_version && !IsAnyUsableFor(*waiting->call, engines)) {
      rejected.emplace_back(waiting, rejection{"stream_version_gone", kNoEngineRetryAfter});
    } else if (const auto refused = auth_->Recheck(*waiting->call)) {
      rejected.emplace_back(waiting, rejection{refused->code, kNoEngineRetryAfter});
    } else if (const auto refused = part_tracker_->RemainingRefusal(*waiting->call)) {
      rejected.emplace_back(waiting, rejection{kPartRefused, *refused});
    }
  }
  for (const auto& [waiting, reason] : rejected) {
    RemoveWaiting(queue, waiting);
    waiting->result_mailbox.Push(reason);
  }
}

// Records the time since the previous dispatch as blocked in the metrics, by reason, if that time is shorter than three
// dispatch periods. Stores the reason in each waiting request.
void generation_calls::RecordBlocked(service_queue& queue, wait_reason reason, time_point now) {
  const auto blocked = std::chrono::duration_cast<microseconds>(now - queue.previous_dispatch);
  if (blocked < kDispatchPeriod * 3) {
    const metric_labels labels = {{"service", queue.record.name}, {"reason", WaitReasonName(reason)}};
    metrics_
        ->AddLatencyHistogram("persimmon_queue_blocked_seconds", "Steps of time in which the head of a queue waited.",
                              labels)
        .Record(blocked);
  }
  for (const auto& [request, waiting] : queue.waiting) {
    waiting->call->waited_for = reason;
  }
}

void generation_calls::Assign(service_queue& queue, const waiting_ptr& waiting, engine_assignment assignment,
                              time_point now) {
  waiting->call->waited = waiting->call->Age(now);
  queue.queue.Start(waiting->request.request, now);
  queue.waiting.erase(waiting->request.request);
  waiting->result_mailbox.Push(std::move(assignment));
  ReportWaiting(queue);
}

// For a stream on an engine that states a limit, a permit takes the place of the reservation, which would count as a
// request of its own.
task<> generation_calls::TakePermit(std::string service, waiting_ptr waiting, engine_assignment assignment) {
  const permit_result taken = co_await endpoint_tracker_->AcquirePermit(assignment.engine, settings_.reserve_timeout);
  const time_point now = timer_service::Now();
  service_queue& queue = *queues_[service];
  const bool still_waits = queue.waiting.contains(waiting->request.request);
  if (taken.permit && still_waits && !waiting->call->IsCallerDisconnected()) {
    assignment.permit = taken.permit;
    Assign(queue, waiting, std::move(assignment), now);
    co_return;
  }
  ReleaseAssignment(assignment);
  if (still_waits) {
    queue.queue.Requeue(waiting->request.request, now);
    Dispatch(queue);
    ScheduleDispatch();
  }
}

task<> generation_calls::Reserve(std::string service, waiting_ptr waiting, engine_assignment assignment) {
  if (endpoint_tracker_->IsLimited(assignment.engine)) {
    co_return co_await TakePermit(std::move(service), std::move(waiting), std::move(assignment));
  }
  const engine_profile profile = waiting->call->Service().engine.value_or(engine_profile{});
  const milliseconds lifetime = std::min(settings_.reservation_time, profile.max_reservation_time);
  const std::uint32_t tokens = assignment.memory.reserved_tokens;
  const time_point sent = timer_service::Now();
  auto request = platform::MakeReserveRequest(assignment.engine.name, tokens, lifetime);
  http_client::response_filter is_grant_or_refusal = [this, engine = assignment.engine,
                                                      lifetime](const http_response& candidate) {
    if (candidate.status != kOk) {
      return true;
    }
    const auto name = platform::ParseReservation(candidate.body);
    const time_point granted = timer_service::Now();
    return name && granted_.Add(engine.name, engine.started_ms, name.value(), granted + lifetime, granted);
  };
  auto response = co_await endpoint_tracker_->FetchControl(client_, assignment.engine, std::move(request),
                                                           settings_.reserve_timeout, std::move(is_grant_or_refusal));
  if (response) {
    endpoint_tracker_->RecordResponse(assignment.engine, platform::ParseResponseHeaders(response.value().Head()), sent);
  }
  const time_point now = timer_service::Now();
  service_queue& queue = *queues_[service];
  auto reservation = response && response.value().status == kOk
                         ? platform::ParseReservation(response.value().body)
                         : result<std::string>(error{error_code::kUnavailable, ""});
  const bool still_waits = queue.waiting.contains(waiting->request.request);
  if (reservation) {
    assignment.reservation = reservation.value();
    assignment.reserved_until = sent + lifetime;
    if (still_waits && !waiting->call->IsCallerDisconnected()) {
      Assign(queue, waiting, std::move(assignment), now);
    } else {
      ReleaseAssignment(assignment);
      ReleaseReservation(assignment);
    }
    co_return;
  }
  ReleaseAssignment(assignment);
  if (!response && response.error().code != error_code::kProtocol) {
    endpoint_tracker_->RecordUnreachable(assignment.engine, response.error());
  } else {
    endpoint_tracker_->RecordReservationRefused(assignment.engine.name, tokens);
  }
  Events()
      .Line(kComponent, "reservation_refused")
      .Request(waiting->call->Metadata().attempt)
      .Add("endpoint", assignment.engine.name.value)
      .Add("tokens", tokens)
      .Add("status", response ? response.value().status : 0)
      .Add("detail", response ? "" : FormatError(response.error()));
  if (still_waits) {
    queue.queue.Requeue(waiting->request.request, now);
    Dispatch(queue);
    ScheduleDispatch();
  }
}

// Retry-After for lack of capacity: long enough that a burst has probably ended.
milliseconds generation_calls::CapacityRetryAfter() const {
  return std::chrono::duration_cast<milliseconds>(settings_.overload_retry_after * (1 + RandomUnit()));
}

milliseconds generation_calls::AssignReturn(service_queue& queue, const direct_call& call, time_point now) {
  if (!endpoint_tracker_->UsesAdaptivePolicy(queue.record.name)) {
    return CapacityRetryAfter();
  }
  return queue.returns.Assign({static_cast<double>(queue.queue.WaitingCount()), queue.queue.StartsPerSecond(now),
                               call.TimeLeft(now), RandomUnit()},
                              now);
}

std::optional<generation_calls::rejection> generation_calls::FindRefusal(service_queue& queue, direct_call& call,
                                                                         const placement_request& request,
                                                                         time_point now) {
  if (!endpoint_tracker_->UsesAdaptivePolicy(queue.record.name)) {
    return std::nullopt;
  }
  const auto wait = queue.queue.PredictWait(request, group_->PeersWaiting(queue.record.name),
                                            std::max(1U, group_->RouterCount()), now);
  if (wait) {
    call.predicted_wait = std::chrono::duration_cast<milliseconds>(*wait);
  }
  // The caller of a stream that has begun cannot repeat it elsewhere.
  if (!wait || request.is_resumed || !settings_.refuse_at_once || now + *wait <= request.expiry) {
    return std::nullopt;
  }
  queue.queue.CountRefusal(request, now);
  return rejection{"wait_too_long", AssignReturn(queue, call, now)};
}

// Counts a call of a service with levels of urgency, and logs one that was not served in time.
void generation_calls::RecordOutcome(const direct_call& call, call_outcome outcome) {
  if (!endpoint_tracker_->UsesAdaptivePolicy(call.Service().name)) {
    return;
  }
  const bool has_begun = call.first_event > milliseconds(0);
  const bool is_in_time = has_begun && call.first_event <= call.Route().target_latency;
  const char* result = outcome == call_outcome::kRefused ? "refused"
                       : is_in_time                      ? "in_time"
                       : has_begun                       ? "late"
                                                         : "unserved";
  const std::string level = fmt::format("{}.{}", call.urgency.priority, call.urgency.route_priority);
  metrics_
      ->AddCounter("persimmon_model_calls_total",
                   "Model calls by urgency (priority of the account, then of the route) and result.",
                   {{"service", call.Service().name}, {"urgency", level}, {"result", result}})
      .Increment();
  if (!is_in_time) {
    Events()
        .Line(kComponent, "not_in_time")
        .Request(call.Metadata().attempt)
        .Add("urgency", level)
        .Add("result", result)
        .Add("reason", call.reason)
        .Add("predicted_wait_ms", call.predicted_wait ? call.predicted_wait->count() : -1)
        .Add("waited_ms", call.waited.count())
        .Add("first_event_ms", call.first_event.count());
  }
}

void generation_calls::ScheduleDispatch() {
  if (dispatch_scheduled_ || WaitingCount() == 0) {
    return;
  }
  dispatch_scheduled_ = true;
  dispatch_timer_ = kernel_.Timers().SubscribeOnce(kDispatchPeriod, [this] {
    dispatch_scheduled_ = false;
    DispatchAll();
    ScheduleDispatch();
  });
}

// Removes an assignment from the endpoint loads. Only for an assignment whose prefill has not been sent.
void generation_calls::ReleaseAssignment(const engine_assignment& assignment) {
  endpoint_tracker_->RemoveStream(assignment.engine.name, assignment.stream_id);
  ReleasePrefill(assignment, assignment.prefill ? assignment.prefill->name : assignment.engine.name);
}

// Adds the part of the prompt that is not cached to the load of the engine that reads it.
void generation_calls::AddPrefill(const direct_call& call, engine_assignment& assignment, const chosen_endpoint& engine,
                                  endpoint_role role) {
  assignment.prediction = prompts_->Predict(call, role, engine, 0);
  assignment.pending_tokens = prompt_tracker::ReadTokens(call, assignment.prediction.cached_tokens);
  endpoint_tracker_->AddPrefill(engine.name, assignment.pending_tokens, assignment.prefill ? 1 : 0);
}

// Removes the prompt from the load of the engine that prefills it.
void generation_calls::ReleasePrefill(const engine_assignment& assignment, const endpoint_name& prefill_engine) {
  endpoint_tracker_->AddPrefill(prefill_engine, -static_cast<std::int64_t>(assignment.pending_tokens),
                                assignment.prefill ? -1 : 0);
}

void generation_calls::ReleaseReservation(const engine_assignment& assignment) {
  if (assignment.reservation.empty()) {
    return;
  }
  asio::co_spawn(kernel_.Context(),
                 SendControl(assignment.engine, platform::MakeReleaseReservationRequest(assignment.reservation),
                             "release_reservation"),
                 asio::detached);
}

void generation_calls::DropCache(const std::string& service, const platform::kv_source& source) {
  const auto address = ParseHostPort(source.address);
  if (address) {
    // An engine that is leaving is not listed; its limit is not known any more.
    const chosen_endpoint engine = endpoint_tracker_->FindByAddress(service, address.value())
                                       .value_or(chosen_endpoint{{}, 0, {}, address.value(), {}});
    asio::co_spawn(kernel_.Context(), SendControl(engine, platform::MakeDropCacheRequest(source.handle), "drop_cache"),
                   asio::detached);
  }
}

task<> generation_calls::SendControl(chosen_endpoint engine, http_request request, const char* purpose) {
  const permit_result taken = co_await endpoint_tracker_->AcquirePermit(engine, kControlTimeout);
  if (endpoint_tracker_->IsClosed(engine.address) || !taken.permit) {
    Events().Line(kComponent, "control_skipped").Add("purpose", purpose).Add("address", engine.address.Text());
    co_return;
  }
  auto response = co_await endpoint_tracker_->FetchControl(client_, engine, std::move(request), kControlTimeout);
  if (!response) {
    // The engine frees the memory by itself when the reservation or the handle expires.
    Events().Line(kComponent, "control_failed").Add("purpose", purpose).Add("detail", FormatError(response.error()));
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. prefill
// ---------------------------------------------------------------------------------------------------------------------

task<std::optional<platform::kv_source>> generation_calls::Prefill(direct_call_ptr call, engine_assignment& assignment,
                                                                   time_point wait_start) {
  const engine_profile profile = call->Service().engine.value_or(engine_profile{});
  const auto reserved_until =
      assignment.reservation.empty() ? std::nullopt : std::optional<time_point>(assignment.reserved_until);
  std::vector<endpoint_name> avoid;
  if (!assignment.prefill) {
    co_return platform::kv_source{};
  }
  chosen_endpoint engine = *assignment.prefill;  // the engine's load already includes this prefill
  provisional_send first_prefill = std::exchange(assignment.first_prefill, {});
  while (true) {
    const time_point begin = timer_service::Now();
    if (!avoid.empty()) {
      if (call->TimeLeft(begin) < kMinTimeLeft) {
        co_return std::nullopt;
      }
      if (part_tracker_->RemainingRefusal(*call)) {
        call->reason = kPartRefused;
        co_return std::nullopt;
      }
      if (auto refused = auth_->Recheck(*call)) {
        call->reason = std::move(refused->code);
        co_return std::nullopt;
      }
      const auto engines = endpoint_tracker_->ListEndpoints(call->Service().name, endpoint_role::kPrefill);
      auto views = endpoint_tracker_->EngineViews(engines, profile, avoid);
      placement_settings settings;
      prompts_->ApplySettings(call->Service().name, settings);
      prompts_->FillViews(*call, endpoint_role::kPrefill, engines, views);
      const auto index =
          ChoosePrefillEngine(views, assignment.engine.zone, RandomNumber(), settings, call->Metadata().prompt_tokens);
      if (index) {
        const prefill_prediction prediction = prompts_->Predict(*call, endpoint_role::kPrefill, engines[*index], 0);
        assignment.verdict = prompts_->Check(*call, assignment.engine, prediction, wait_start, reserved_until);
        if (assignment.verdict != prefill_verdict::kSend) {
          call->reason = PrefillVerdictName(assignment.verdict);
          co_return std::nullopt;
        }
      }
      const std::string& service = call->Service().name;
      const bool is_first = call->prefills == 0;
      const bool is_allowed = is_first ? budgets_->CheckProvisional(service) == send_budget::provisional_check::kAllowed
                                       : index && budgets_->AllowExtraSends(*call);
      if (!index || !is_allowed) {
        call->reason = index ? "budget_spent" : "no_prefill_engine";
        co_return std::nullopt;
      }
      first_prefill = is_first ? budgets_->BeginProvisional(service) : provisional_send();
      engine = engines[*index];
      AddPrefill(*call, assignment, engine, endpoint_role::kPrefill);
    } else {
      // Other prompts may have been sent to the engine while memory was being reserved.
      assignment.prediction = prompts_->Predict(*call, endpoint_role::kPrefill, engine, assignment.pending_tokens);
      assignment.verdict = prompts_->Check(*call, assignment.engine, assignment.prediction, wait_start, reserved_until);
      if (assignment.verdict != prefill_verdict::kSend) {
        ReleasePrefill(assignment, engine.name);
        if (call->prefills > 0) {
          budgets_->ReturnExtraSends(*call, 1);
        }
        call->reason = PrefillVerdictName(assignment.verdict);
        co_return std::nullopt;
      }
    }
    avoid.push_back(engine.name);
    const permit_result taken = co_await endpoint_tracker_->AcquirePermit(engine, settings_.reserve_timeout);
    http_call upstream(client_);
    call->SetDisconnectHandler([&upstream] { upstream.Cancel(); });
    const time_point end = std::min(call->Deadline(), begin + kPrefillTimeout);
    suspect_tracker_->RecordStart(call->Fingerprint(), engine);
    const engine_run_ptr run = part_tracker_->BeginRun(*call, engine);
    const time_point sent_at = timer_service::Now();
    auto request =
        platform::MakePrefillRequest(call->Forwarded(), engine.name, call->TimeLeft(sent_at), PriorityOf(*call));
    result<endpoint_reply> reply(error{error_code::kUnavailable, "the engine's limit allows no request now"});
    if (taken.permit && !call->IsCallerDisconnected()) {
      auto may_send = auth_->MakeSendCheck(call, endpoint_tracker_->MakeSendCheck(engine, *taken.permit));
      reply = co_await sender_.Send(upstream, call, engine, std::move(request), end, std::move(may_send));
    }
    std::string body;
    std::optional<error> failure;
    if (!reply) {
      failure = reply.error();
    } else {
      endpoint_tracker_->RecordResponse(engine, reply.value().metadata, begin);
      prompts_->RecordWorkTime(call->Service().name, engine, reply.value().metadata.work_time_percent);
    }
    if (!failure) {
      auto read = co_await ReadBufferedBody(upstream, end, answers_->NewShare());
      if (read) {
        body = std::move(read.value());
      } else {
        failure = read.error();
      }
    }
    call->ClearDisconnectHandler();
    ReleasePrefill(assignment, engine.name);
    first_prefill.End();
    const std::int64_t elapsed_ms = ElapsedMs(begin, timer_service::Now());
    result<std::string> handle(error{error_code::kUnavailable, ""});
    if (!failure && reply.value().head.status == 200 && reply.value().verdict == reply_verdict::kResponse) {
      handle = platform::ParsePrefillHandle(body);
    }
    const bool was_sent = !failure || !HadNoEffect(failure->code);
    // After the first completed prefill, a further one has been counted before it was sent.
    if (!was_sent && call->prefills > 0) {
      budgets_->ReturnExtraSends(*call, 1);
    } else if (!handle && was_sent && call->prefills == 0 && !call->IsCallerDisconnected()) {
      budgets_->RecordExtraSend(*call);
    }
    DispatchAll();
    if (handle) {
      endpoint_tracker_->RecordAnswer(engine);
      suspect_tracker_->RecordEnd(call->Fingerprint(), engine, false);  // it may still crash the decode engine
      prompts_->RecordPrefill(*call, engine, assignment.prediction,
                              std::chrono::duration_cast<microseconds>(timer_service::Now() - sent_at));
      Events()
          .Line(kComponent, "prefilled")
          .Request(call->Metadata().attempt)
          .Add("endpoint", engine.name.value)
          .Add("tokens", call->Metadata().prompt_tokens)
          .Add("completed_before", call->prefills)
          .Add("chosen_ms_before", ElapsedMs(assignment.chosen_at, begin))
          .Add("cached_tokens", assignment.prediction.cached_tokens)
          .Add("pending_tokens", assignment.prediction.pending_tokens)
          .Add("speed", fmt::format("{:.1f}", assignment.prediction.tokens_per_ms))
          .Add("took_ms", elapsed_ms);
      ++call->prefills;
      co_return platform::kv_source{engine.address.Text(), handle.value()};
    }
    // Reading a part may crash an engine too. The check takes 50 ms, so that a request cannot crash one after the
    // other.
    bool may_crash_another = false;
    if (failure && failure->code == error_code::kClosed) {
      part_tracker_->Board().RecordBreak(run);
      const bool has_crashed =
          co_await suspect_tracker_->CheckDisconnect(call->Fingerprint(), engine, call->Service().health_path);
      may_crash_another = has_crashed && (part_tracker_->Board().IsSuspected(*run) ||
                                          suspect_tracker_->RemainingRefusal(call->Fingerprint()).has_value());
    } else {
      suspect_tracker_->RecordEnd(call->Fingerprint(), engine, false);
    }
    if (call->IsCallerDisconnected()) {
      co_return std::nullopt;
    }
    if (!was_sent) {
      if (taken.permit && !call->is_send_refused && endpoint_tracker_->IsPermitValid(engine, *taken.permit)) {
        endpoint_tracker_->RecordUnreachable(engine, *failure);
      }
    } else if (failure || IsUnprovenRefusal(reply.value().verdict)) {
      endpoint_tracker_->RecordFailure(engine);
    } else {
      endpoint_tracker_->RecordRequestRejected(engine);
    }
    call->reason = may_crash_another ? "suspected_part" : "prefill_failed";
    Events()
        .Line(kComponent, "prefill_failed")
        .Request(call->Metadata().attempt)
        .Add("endpoint", engine.name.value)
        .Add("status", failure ? 0 : reply.value().head.status)
        .Add("completed_before", call->prefills)
        .Add("extra_sends", call->extra_sends)
        .Add("chosen_ms_before", ElapsedMs(assignment.chosen_at, begin))
        .Add("detail", failure ? FormatError(*failure) : "")
        .Add("took_ms", elapsed_ms);
    if (may_crash_another) {
      co_return std::nullopt;
    }
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. decode
// ---------------------------------------------------------------------------------------------------------------------

task<generation_calls::decode_result> generation_calls::Decode(direct_call_ptr call,
                                                               const engine_assignment& assignment,
                                                               std::optional<platform::kv_source> source,
                                                               stream_state& stream, engine_run& run) {
  // The prefill may have taken longer than the permit is valid, or the engine may state a limit since.
  send_permit permit = assignment.permit.value_or(send_permit{std::nullopt, timer_service::NowWithSuspension()});
  if (!endpoint_tracker_->IsPermitValid(assignment.engine, permit)) {
    const auto max_wait = std::min(call->TimeLeft(timer_service::Now()), kDecodePermitWait);
    const permit_result taken = co_await endpoint_tracker_->AcquirePermit(assignment.engine, max_wait);
    if (!taken.permit) {
      if (!assignment.prefill) {
        ReleasePrefill(assignment, assignment.engine.name);
      }
      Events()
          .Line(kComponent, "decode_not_permitted")
          .Request(call->Metadata().attempt)
          .Add("endpoint", assignment.engine.name.value)
          .Add("retry_ms", taken.retry_in.count());
      co_return decode_result::kNotRun;
    }
    permit = *taken.permit;
  }
  const time_point begin = timer_service::Now();
  stream.decode_sent = begin;
  http_call upstream(client_);
  call->SetDisconnectHandler([&upstream] { upstream.Cancel(); });
  platform::decode_terms terms{std::move(source), assignment.reservation, stream.events.LastId(), PriorityOf(*call)};
  auto request = platform::MakeDecodeRequest(call->Forwarded(), assignment.engine.name, call->TimeLeft(begin), terms);
  ++call->sends;
  call->endpoints += (call->endpoints.empty() ? "" : ",") + assignment.engine.name.value;
  const bool may_resume = call->Route().resumable && call->sends < call->Route().max_attempts;
  const time_point end = may_resume ? std::min(call->Deadline(), begin + settings_.stall_limit) : call->Deadline();
  auto may_send = auth_->MakeSendCheck(call, endpoint_tracker_->MakeSendCheck(assignment.engine, permit));
  auto reply = co_await sender_.Send(upstream, call, assignment.engine, std::move(request), end, std::move(may_send));
  if (!assignment.prefill) {
    ReleasePrefill(assignment, assignment.engine.name);
    DispatchAll();
  }
  decode_result outcome = decode_result::kBroken;
  std::string detail;
  if (!reply) {
    detail = FormatError(reply.error());
    if (HadNoEffect(reply.error().code)) {
      if (!call->is_send_refused && endpoint_tracker_->IsPermitValid(assignment.engine, permit)) {
        endpoint_tracker_->RecordUnreachable(assignment.engine, reply.error());
      }
      --call->sends;
      outcome = decode_result::kNotRun;
    } else {
      endpoint_tracker_->RecordFailure(assignment.engine);
    }
  } else {
    const http_response_head& head = reply.value().head;
    const platform::response_metadata& metadata = reply.value().metadata;
    endpoint_tracker_->RecordResponse(assignment.engine, metadata, begin);
    prompts_->RecordWorkTime(call->Service().name, assignment.engine, metadata.work_time_percent);
    const bool is_success = head.status >= 200 && head.status < 300;
    const bool is_event_stream = IsEventStreamType(FindHeader(head.headers, "Content-Type"));
    if (reply.value().verdict == reply_verdict::kNotRun) {
      detail = fmt::format("status {}", head.status);
      outcome = decode_result::kNotRun;
      // Possible causes: the KV cache cannot be fetched, or the engine is switching its stage, during which it grants
      // reservations but rejects requests.
      asio::co_spawn(kernel_.Context(), CheckEngine(assignment.engine), asio::detached);
    } else if (IsUnprovenRefusal(reply.value().verdict)) {
      detail = fmt::format("status {} without proof that the request has not run", head.status);
      endpoint_tracker_->RecordFailure(assignment.engine);
    } else if (is_success && metadata.has_seal && !metadata.is_encoded && is_event_stream) {
      if (!stream.started) {
        stream.started = true;
        call->has_response = true;
        (void)co_await call->Exchange().StartStream(head.status, platform::ForwardedHeaders(head.headers));
      }
      outcome = co_await ForwardStream(call, upstream, assignment, stream, run);
    } else if (metadata.has_seal && !stream.started && head.status >= 400) {
      // An error response of the engine itself is forwarded unchanged.
      detail = fmt::format("status {}", head.status);
      auto body = co_await ReadBufferedBody(upstream, end, answers_->NewShare());
      if (body) {
        http_response failed{head.status, platform::ForwardedHeaders(head.headers), std::move(body.value())};
        stream.started = true;
        call->reason = "endpoint_failure";
        (void)co_await call->Exchange().Respond(std::move(failed));
        outcome = decode_result::kDone;
      } else {
        detail += ", " + FormatError(body.error());
      }
    } else {
      detail = fmt::format(
          "cannot forward the response with status {}: unexpected status, no seal header, encoded body, no stream of "
          "events or stream already started",
          head.status);
      endpoint_tracker_->RecordFailure(assignment.engine);
    }
  }
  call->ClearDisconnectHandler();
  if (call->IsCallerDisconnected()) {
    outcome = decode_result::kCallerDisconnected;
  } else if (outcome == decode_result::kBroken && timer_service::Now() >= call->Deadline()) {
    outcome = decode_result::kTimeout;
  }
  if (outcome != decode_result::kDone) {
    const std::int64_t elapsed_ms = ElapsedMs(begin, timer_service::Now());
    Events()
        .Line(kComponent, "decode_ended")
        .Request(call->Metadata().attempt)
        .Add("endpoint", assignment.engine.name.value)
        .Add("result", static_cast<int>(outcome))
        .Add("events", stream.events.EventCount())
        .Add("parts", fmt::format("{:x}", fmt::join(call->Metadata().shared_parts, ",")))
        .Add("extra_sends", call->extra_sends)
        .Add("chosen_ms_before", ElapsedMs(assignment.chosen_at, begin))
        .Add("detail", detail)
        .Add("took_ms", elapsed_ms);
  }
  co_return outcome;
}

// Pauses an engine that has rejected a request despite a reservation, until it has executed its stage order and its
// registry entry shows the new stage.
task<> generation_calls::CheckEngine(chosen_endpoint engine) {
  if (!engines_being_checked_.insert(engine.name).second) {
    co_return;
  }
  bool is_switching = true;
  while (is_switching && endpoint_tracker_->IsCurrent(engine) && endpoint_tracker_->IsDecodeEngine(engine.name)) {
    if (endpoint_tracker_->IsClosed(engine)) {
      co_await kernel_.Timers().Sleep(kBusyPause);
      continue;
    }
    auto report = co_await endpoint_tracker_->FetchReport(client_, engine, kReportTimeout);
    is_switching = report && (report.value().is_busy || report.value().stage == platform::engine_stage::kPrefill);
    Events()
        .Line(kComponent, "engine_checked")
        .Add("endpoint", engine.name.value)
        .Add("pauses", is_switching)
        .Add("detail", report ? "" : FormatError(report.error()));
    if (is_switching) {
      endpoint_tracker_->RecordBusy(engine, kBusyPause);
      co_await kernel_.Timers().Sleep(kBusyPause);
    }
  }
  engines_being_checked_.erase(engine.name);
}

void generation_calls::RecordTokenInterval(microseconds streamed, std::size_t tokens) {
  if (tokens > 0) {
    token_interval_ += (streamed / static_cast<std::int64_t>(tokens) - token_interval_) / kIntervalSamples;
  }
}

void generation_calls::RecordStreamTime(service_queue& queue, microseconds duration) {
  queue.stream_time = queue.stream_time.count() == 0
                          ? duration
                          : queue.stream_time + (duration - queue.stream_time) / kStreamTimeSamples;
}

// Returns why a stream whose body has ended was broken off, and an empty text if it is whole.
task<std::string> generation_calls::CheckStreamEnd(const direct_call& call, const http_call& upstream,
                                                   chosen_endpoint engine, const event_splitter& events) {
  if (const char* broken = events.FindBrokenEnd(IsOutputExhausted(call, events))) {
    co_return broken;
  }
  // The end of a process ends a body without length or chunks like its own end does. A leaving engine may stop in the
  // middle of a stream too, or right after its last one; where the route allows it, another engine tells which.
  if (upstream.Framing() != body_framing::kConnectionEnd) {
    co_return std::string();
  }
  const bool is_gone = co_await suspect_tracker_->HasCrashed(engine, call.Service().health_path);
  co_return is_gone ? "the engine is gone at the end of a body without framing" : "";
}

task<generation_calls::decode_result> generation_calls::ForwardStream(direct_call_ptr call, http_call& upstream,
                                                                      const engine_assignment& assignment,
                                                                      stream_state& stream, engine_run& run) {
  const bool resumable = call->Route().resumable;
  const engine_profile profile = call->Service().engine.value_or(engine_profile{});
  std::uint32_t used_tokens = call->Metadata().prompt_tokens;
  const std::uint32_t max_output = call->Metadata().max_output_tokens;
  const std::uint32_t estimated_output = EstimateOutput(call->Metadata().expected_output_tokens, max_output, {});
  output_length_model& output_lengths = QueueFor(call->Service()).output_lengths;
  const auto output_tokens = [&] {
    return static_cast<std::uint32_t>(stream.events.EventCount()) * profile.tokens_per_event;
  };
  const time_point begin = timer_service::Now();
  time_point last_event = begin;
  // End of the latest write of whole events. Bytes of an event that does not end are no progress, and the time in which
  // a slow caller takes an event is not the engine's.
  time_point last_progress = begin;
  const std::size_t events_before = stream.events.EventCount();
  stream.events.BeginRun(numberings_.Find(call->Service().name, assignment.engine));
  microseconds longest_pause(0);
  // Id of the event after which this run continues.
  const std::string continued_after =
      stream.events.LastId().empty() ? call->Metadata().resume_after : stream.events.LastId();
  std::size_t incomplete_bytes = 0;  // of an event whose end has not arrived
  shared_limit::share memory = answers_->NewShare();
  bool has_first_event = false;  // of this run
  decode_result outcome = decode_result::kBroken;
  while (true) {
    const bool may_resume = resumable && call->sends < call->Route().max_attempts && stream.events.IsContinuable();
    const time_point stalled_at = last_progress + settings_.stall_limit;
    auto piece = co_await upstream.Read(may_resume ? std::min(call->Deadline(), stalled_at) : call->Deadline());
    std::string forwarded = piece ? stream.events.Add(piece.value()) : std::string();
    part_tracker_->Board().RecordEvents(run, stream.events.EventCount() - events_before);
    incomplete_bytes = stream.events.Incomplete().size();
    const bool is_end = piece && piece.value().empty();
    std::string failure;
    if (!piece) {
      failure = FormatError(piece.error());
    } else if (stream.events.FindFault() != nullptr) {
      failure = DescribeFault(stream.events);
    } else if (stream.events.IsOversized()) {
      failure = "an event exceeds the maximum length";
    } else if (!memory.Resize(incomplete_bytes)) {
      failure = kNoAnswerMemory;
    } else if (is_end) {
      failure = co_await CheckStreamEnd(*call, upstream, assignment.engine, stream.events);
    }
    if (is_end && failure.empty()) {
      forwarded += stream.events.TakeEnd();
    }
    if (!forwarded.empty()) {
      const time_point read_at = timer_service::Now();
      if (!assignment.prefill && !has_first_event) {
        prompts_->RecordOwnRead(*call, assignment.engine, assignment.prediction,
                                std::chrono::duration_cast<microseconds>(read_at - stream.decode_sent) -
                                    token_interval_ * profile.tokens_per_event);
      }
      has_first_event = true;
      longest_pause = std::max(longest_pause, std::chrono::duration_cast<microseconds>(read_at - last_event));
      last_event = read_at;
      if (call->first_event == milliseconds(0)) {
        call->first_event = call->Age(timer_service::Now());
      }
      if (resumable && !call->engine_version) {
        call->engine_version = assignment.engine.version;
        origins_->RecordFirstEvent(*call, assignment.engine.version);
      }
      auto written = co_await call->Exchange().WriteChunk(std::move(forwarded));
      if (!written) {
        outcome = decode_result::kCallerDisconnected;
        break;
      }
      last_progress = timer_service::Now();
    }
    if (!failure.empty()) {
      endpoint_tracker_->RecordFailure(assignment.engine);
      Events()
          .Line(kComponent, "stream_broken")
          .Request(call->Metadata().attempt)
          .Add("endpoint", assignment.engine.name.value)
          .Add("events", stream.events.EventCount())
          .Add("framing", BodyFramingName(upstream.Framing()))
          .Add("detail", failure);
      break;
    }
    if (is_end) {
      auto finished = co_await call->Exchange().FinishStream();
      outcome = finished ? decode_result::kDone : decode_result::kCallerDisconnected;
      call->reason = "whole_answer";  // replaces the reason of an earlier attempt
      endpoint_tracker_->RecordAnswer(assignment.engine);
      part_tracker_->Board().RecordEnd(run);
      RecordTokenInterval(std::chrono::duration_cast<microseconds>(last_event - begin),
                          (stream.events.EventCount() - events_before) * profile.tokens_per_event);
      prompts_->RecordTokenInterval(call->Service().name, assignment.engine,
                                    std::chrono::duration_cast<microseconds>(last_event - begin),
                                    (stream.events.EventCount() - events_before) * profile.tokens_per_event);
      output_lengths.RecordAnswer(estimated_output, output_tokens());
      RecordStreamTime(QueueFor(call->Service()), std::chrono::duration_cast<microseconds>(last_event - begin));
      break;
    }
    used_tokens = call->Metadata().prompt_tokens + output_tokens();
    const std::uint32_t remaining = output_lengths.ExpectRemaining(estimated_output, output_tokens(), max_output,
                                                                   QueueFor(call->Service()).length_expectation);
    endpoint_tracker_->UpdateStream(assignment.engine.name, assignment.stream_id,
                                    {used_tokens, remaining, assignment.memory.reserved_tokens});
  }
  numberings_.Record(call->Service().name, assignment.engine, stream.events.Sequence().Sample());
  Events()
      .Line(kComponent, "stream_ended")
      .Request(call->Metadata().attempt)
      .Add("endpoint", assignment.engine.name.value)
      .Add("version", assignment.engine.version)
      .Add("resumes", call->Metadata().resumed_attempt)
      .Add("continued_after", continued_after)
      .Add("first_id", stream.events.RunFirstId())
      .Add("last_id", stream.events.LastId())
      .Add("ids_follow", stream.events.Sequence().Fault() == nullptr)
      .Add("whole", outcome == decode_result::kDone)
      .Add("framing", BodyFramingName(upstream.Framing()))
      .Add("incomplete_bytes", incomplete_bytes)
      .Add("events", stream.events.EventCount())
      .Add("max_output_tokens", max_output)
      .Add("exhausted", IsOutputExhausted(*call, stream.events))
      .Add("used_tokens", used_tokens)
      .Add("estimated_tokens", assignment.memory.held_tokens + assignment.memory.remaining_tokens)
      .Add("own_prompt", !assignment.prefill)
      .Add("longest_pause_ms", std::chrono::duration_cast<milliseconds>(longest_pause).count());
  co_return outcome;
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. execution of a call
// ---------------------------------------------------------------------------------------------------------------------

task<call_outcome> generation_calls::Serve(direct_call_ptr call) {
  call->urgency = UrgencyOf(call->Route(), call->Account() ? &*call->Account() : nullptr);
  const call_outcome outcome = co_await Run(call);
  RecordOutcome(*call, outcome);
  co_return outcome;
}

task<call_outcome> generation_calls::Run(direct_call_ptr call) {
  budgets_->RecordRequest(*call);
  if (const auto refused = suspect_tracker_->RemainingRefusal(call->Fingerprint())) {
    co_return co_await call->Refuse("crashes_endpoints", *refused);
  }
  const bool continues_stream = !call->Metadata().resume_after.empty();
  stream_state stream;
  stream.events.TakeUp(call->Metadata().resume_after);
  stream.wait_start = call->Arrival();
  std::vector<endpoint_name> avoid;
  bool may_have_run = false;
  decode_result result = decode_result::kNotRun;
  for (std::uint32_t assignment_round = 0; assignment_round < kMaxAssignments; ++assignment_round) {
    if (auto refused = auth_->Recheck(*call)) {
      if (!may_have_run) {
        co_return co_await call->Refuse(std::move(*refused));
      }
      call->reason = std::move(refused->code);
      result = decode_result::kBroken;
      break;
    }
    if (const auto refused = part_tracker_->RemainingRefusal(*call)) {
      if (!may_have_run) {
        co_return co_await call->Refuse(kPartRefused, *refused);
      }
      call->reason = kPartRefused;
      result = decode_result::kBroken;
      break;
    }
    // Counted before the reservation and the prefill, which would be wasted if the sends are not allowed. The first
    // completed prefill and the first decode call of a request are no extra sends.
    const std::uint32_t extra_prefills = call->prefills > 0 ? 1 : 0;
    const std::uint32_t extra_sends = extra_prefills + (call->sends > 0 ? 1 : 0);
    if (!budgets_->AllowExtraSends(*call, extra_sends)) {
      call->reason = "budget_spent";
      break;
    }
    assignment_result assigned = co_await AwaitAssignment(call, avoid, assignment_round > 0 || continues_stream);
    const auto* chosen = std::get_if<engine_assignment>(&assigned);
    if (chosen == nullptr || call->IsCallerDisconnected()) {
      budgets_->ReturnExtraSends(*call, extra_sends);
    } else if (!chosen->prefill) {
      budgets_->ReturnExtraSends(*call, extra_prefills);
    }
    if (call->IsCallerDisconnected()) {
      if (chosen != nullptr) {
        ReleaseAssignment(*chosen);
        ReleaseReservation(*chosen);
      }
      result = decode_result::kCallerDisconnected;
      break;
    }
    if (const auto* rejected = std::get_if<rejection>(&assigned)) {
      call->waited = call->Age(timer_service::Now());
      if (may_have_run) {
        call->reason = rejected->reason;
        result = decode_result::kBroken;
        break;
      }
      if (auto refused = auth_->Recheck(*call)) {
        co_return co_await call->Refuse(std::move(*refused));
      }
      co_return co_await call->Refuse(rejected->reason, rejected->retry_after);
    }
    engine_assignment assignment = std::get<engine_assignment>(std::move(assigned));
    const auto release_decode = [&] { endpoint_tracker_->RemoveStream(assignment.engine.name, assignment.stream_id); };
    auto source = co_await Prefill(call, assignment, stream.wait_start);
    if (!source) {
      release_decode();
      ReleaseReservation(assignment);
      DispatchAll();
      const bool needs_engine = assignment.verdict == prefill_verdict::kDecodeEngineGone;
      if (needs_engine || assignment.verdict == prefill_verdict::kReservationEnds) {
        budgets_->ReturnExtraSends(*call, call->sends > 0 ? 1 : 0);
        if (needs_engine) {
          avoid.push_back(assignment.engine.name);
        }
        continue;
      }
      result = call->IsCallerDisconnected() ? decode_result::kCallerDisconnected : decode_result::kNotRun;
      break;
    }
    if (!source->handle.empty()) {
      const auto address = ParseHostPort(source->address);
      stream.prefilled_at =
          address ? endpoint_tracker_->FindByAddress(call->Service().name, address.value()) : std::nullopt;
    }
    // During the prefill the engine may have started to drain, engines may have crashed under a part of the prompt, or
    // the caller's key may have been revoked.
    const bool is_current = endpoint_tracker_->IsCurrent(assignment.engine);
    const bool is_refused = part_tracker_->RemainingRefusal(*call).has_value() || auth_->Recheck(*call).has_value();
    if (call->IsCallerDisconnected() || !is_current || is_refused) {
      release_decode();
      if (!assignment.prefill) {
        ReleasePrefill(assignment, assignment.engine.name);
      }
      ReleaseReservation(assignment);
      if (!source->handle.empty()) {
        DropCache(call->Service().name, *source);
      }
      DispatchAll();
      result = call->IsCallerDisconnected() ? decode_result::kCallerDisconnected : decode_result::kNotRun;
      if (call->IsCallerDisconnected()) {
        break;
      }
      avoid.push_back(assignment.engine.name);
      continue;
    }
    const platform::kv_source used_source = *source;
    if (source->handle.empty()) {
      source.reset();
    }
    suspect_tracker_->RecordStart(call->Fingerprint(), assignment.engine);
    const engine_run_ptr run = part_tracker_->BeginRun(*call, assignment.engine);
    const std::size_t events_before = stream.events.EventCount();
    result = co_await Decode(call, assignment, std::move(source), stream, *run);
    bool may_crash_another = false;
    if (result == decode_result::kBroken) {
      part_tracker_->Board().RecordBreak(run);
      const std::string& health_path = call->Service().health_path;
      if (part_tracker_->Board().IsSuspected(*run)) {
        may_crash_another =
            co_await suspect_tracker_->CheckDisconnect(call->Fingerprint(), assignment.engine, health_path);
      } else {
        suspect_tracker_->RecordDisconnect(call->Fingerprint(), assignment.engine, health_path);
      }
    } else {
      suspect_tracker_->RecordEnd(call->Fingerprint(), assignment.engine, result == decode_result::kDone);
    }
    release_decode();
    DispatchAll();
    if (stream.events.EventCount() > events_before) {
      prompts_->RecordStreamEnd(*call, assignment.engine);
      stream.wait_start = timer_service::Now();
    }
    if (result == decode_result::kNotRun) {
      if (!used_source.handle.empty()) {
        DropCache(call->Service().name, used_source);
      }
      ReleaseReservation(assignment);
    }
    if (result == decode_result::kBroken) {
      may_have_run = true;
      stream.events.DropIncomplete();
    }
    const bool attempts_left = call->sends < call->Route().max_attempts;
    const bool can_continue = call->Route().resumable && stream.events.IsContinuable();
    const bool can_retry = result == decode_result::kNotRun || (result == decode_result::kBroken && can_continue);
    if (may_crash_another) {
      call->reason = "suspected_part";
    }
    if (!can_retry || !attempts_left || may_crash_another || call->IsCallerDisconnected()) {
      break;
    }
    avoid.push_back(assignment.engine.name);
  }
  co_return co_await Finish(call, result, stream, may_have_run);
}

task<call_outcome> generation_calls::Finish(direct_call_ptr call, decode_result result, stream_state& stream,
                                            bool may_have_run) {
  if (stream.prefilled_at && !stream.started) {
    prompts_->RecordNoResponse(*call, *stream.prefilled_at);
  }
  if (result == decode_result::kCallerDisconnected || call->IsCallerDisconnected()) {
    co_return call->EndAsCallerDisconnected();
  }
  if (result == decode_result::kDone) {
    co_return call_outcome::kAnswered;
  }
  if (stream.started) {
    co_return call->AbortResponse(call->reason.empty() ? "stream_broken" : call->reason);
  }
  if (result == decode_result::kNotRun && !may_have_run) {
    if (auto refused = auth_->Recheck(*call)) {
      co_return co_await call->Refuse(std::move(*refused));
    }
    std::string reason = call->reason.empty() ? "engines_full" : call->reason;
    co_return co_await call->Refuse(std::move(reason), kNoEngineRetryAfter);
  }
  const bool timed_out = result == decode_result::kTimeout;
  co_return co_await call->Fail(timed_out ? 504 : 502, timed_out ? "timeout" : "endpoint_lost");
}

}  // namespace persimmon
