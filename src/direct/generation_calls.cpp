// Sections
//   1. queue and placement
//   2. prefill
//   3. decode
//   4. a whole call
#include "direct/generation_calls.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <limits>

#include "core/event_log.h"
#include "core/random.h"
#include "core/telemetry.h"

namespace persimmon {
namespace {

constexpr const char* kPart = "router.model";
constexpr milliseconds kTickPeriod(20);        // while requests wait: expiry, and room freed by other routers
constexpr milliseconds kPrefillLimit(2'500);   // for one prefill with its queue; longer ones are tried elsewhere
constexpr milliseconds kMinTimeLeft(50);       // a run with less time cannot send its first event
constexpr milliseconds kResumeWait(500);       // for a place, of a request that has been placed before
constexpr milliseconds kNoEngineRetry(1'000);  // told to a caller when no engine is registered
constexpr milliseconds kControlLimit(1'000);   // for one call that frees memory
constexpr int kIntervalSamples = 32;           // streams over which the mean interval between tokens is taken
constexpr double kFirstBudgetShare = 0.85;     // of the largest of a route; first tries have 12 to 14 s on both sites
constexpr milliseconds kReportLimit(400);      // for the report of an engine
constexpr milliseconds kBusyPause(1'000);      // of an engine that carries out an order, until it is asked again
constexpr std::size_t kMaxRememberedRoutes = 4'096;
constexpr std::uint32_t kMaxPlacements = 4;  // of one request: reservations whose prefill or decode then failed

std::string Describe(const error& failure) { return fmt::format("{}: {}", ErrorName(failure.code), failure.message); }

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. queue and placement
// ---------------------------------------------------------------------------------------------------------------------

struct generation_calls::service_queue {
  service_queue(const service_record& record, const placement_queue_settings& settings)
      : record(record), queue(settings) {}

  service_record record;
  placement_queue queue;
  std::map<request_id, waiting_ptr> waiting;  // all that have no reservation yet
  output_spread spread;
  time_point last_pump;
  time_point this_pump;
  bool told_waiting = false;  // the other routers know that requests wait that can still be in time
};

generation_calls::generation_calls(kernel& services, const direct_settings& settings, http_client& client)
    : kernel_(services), settings_(settings), client_(client) {}

generation_calls::~generation_calls() = default;

void generation_calls::Start() {
  board_ = &kernel_.Find<endpoint_board>("board");
  budgets_ = &kernel_.Find<send_budgets>("budgets");
  group_ = &kernel_.Find<router_group>("group");
  metrics_ = &kernel_.Find<telemetry>("telemetry").Metrics();
  crashes_ = &kernel_.Find<crash_guard>("crashes");
}

void generation_calls::Stop() { tick_.Cancel(); }

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
    settings.own_prompt_limit = static_cast<std::uint32_t>(settings_.own_prompt_limit);
    queue = std::make_unique<service_queue>(service, settings);
  }
  queue->record = service;
  return *queue;
}

placement_request generation_calls::MakeRequest(const direct_call& call, bool is_resumed, time_point now) {
  const platform::request_terms& terms = call.Terms();
  const route_record& route = call.Route();
  // A caller's later tries have a smaller time budget than its first; the difference is the time it has waited before.
  // Callers differ in their first budgets too, by far less than a refused one waits before it comes back.
  const milliseconds budget = terms.time_budget.value_or(route.timeout);
  if (largest_budgets_.size() >= kMaxRememberedRoutes && !largest_budgets_.contains(route.name)) {
    largest_budgets_.clear();  // routes that are gone must not fill the memory; a few requests restore the others
  }
  milliseconds& largest = largest_budgets_[route.name];
  largest = std::max(largest, budget);
  const bool is_first_try = budget >= largest * kFirstBudgetShare;
  const milliseconds waited_before = is_first_try ? milliseconds(0) : largest - budget;

  placement_request request;
  request.request = request_id{fmt::format("{}", ++next_number_)};
  request.prompt_tokens = terms.prompt_tokens;
  request.tokens = terms.prompt_tokens + EstimateOutput(terms.expected_output_tokens, terms.max_output_tokens,
                                                        {.hint_share = settings_.output_share});
  request.is_resumed = is_resumed;
  const double prefill_ms = request.prompt_tokens / placement_settings{}.prefill_tokens_per_ms;
  const auto prefill = microseconds(static_cast<std::int64_t>(prefill_ms * 1'000));
  request.latest_start = call.Arrival() - waited_before + route.target_latency - prefill - settings_.transfer_time;
  if (is_resumed) {
    // A stream that has lost its engine, or a request that was placed before, goes first.
    request.latest_start = std::max(request.latest_start, now + kResumeWait);
  }
  // The patience of the caller of a broken stream begins anew with the last event.
  const time_point patient_since = is_resumed ? now : call.Arrival();
  request.give_up = std::min(patient_since + settings_.late_wait, call.End() - kMinTimeLeft);
  return request;
}

task<generation_calls::placement> generation_calls::AwaitPlace(direct_call_ptr call, std::vector<endpoint_name> avoid,
                                                               bool is_resumed) {
  const time_point now = timer_service::Now();
  service_queue& queue = QueueFor(call->Service());
  auto waiting = std::make_shared<waiting_request>(kernel_.Context());
  waiting->call = call;
  waiting->avoid = std::move(avoid);
  waiting->request = MakeRequest(*call, is_resumed, now);
  if (board_->List(call->Service().name, endpoint_role::kDecode).empty()) {
    co_return placement(denial{"no_endpoint", kNoEngineRetry});
  }
  if (!queue.queue.Add(waiting->request, now)) {
    co_return placement(denial{"over_capacity", LateRetry()});
  }
  queue.waiting[waiting->request.request] = waiting;
  call->OnCallerGone([this, waiting, service = call->Service().name] {
    Forget(*queues_[service], waiting);
    waiting->decision.Push(denial{"caller_gone", milliseconds(0)});
  });
  Pump(queue);
  ScheduleTick();
  auto decided = co_await waiting->decision.Receive(std::chrono::duration_cast<microseconds>(call->End() - now));
  call->ClearCancel();
  if (!decided) {
    Forget(queue, waiting);
    co_return placement(denial{"time_over", LateRetry()});
  }
  co_return std::move(*decided);
}

void generation_calls::PumpAll() {
  for (auto& [name, queue] : queues_) {
    Pump(*queue);
  }
}

std::vector<waiting_count> generation_calls::OwnWaiting() const {
  std::vector<waiting_count> counts;
  for (const auto& [name, queue] : queues_) {
    if (const std::size_t requests = queue->queue.InTimeCount(); requests > 0) {
      const auto limit = std::numeric_limits<std::uint16_t>::max();
      counts.push_back({ServiceKey(name), static_cast<std::uint16_t>(std::min<std::size_t>(requests, limit))});
    }
  }
  return counts;
}

void generation_calls::Forget(service_queue& queue, const waiting_ptr& waiting) {
  queue.queue.Remove(waiting->request.request);
  queue.waiting.erase(waiting->request.request);
}

void generation_calls::Pump(service_queue& queue) {
  PlaceWaiting(queue);
  const bool has_waiting = queue.queue.InTimeCount() > 0;
  if (has_waiting != queue.told_waiting) {
    queue.told_waiting = has_waiting;
    group_->NoteChange();
  }
}

void generation_calls::PlaceWaiting(service_queue& queue) {
  const time_point now = timer_service::Now();
  if (queue.waiting.empty()) {
    return;
  }
  for (const placement_request& request : queue.queue.TakeGivenUp(now)) {
    const auto found = queue.waiting.find(request.request);
    if (found != queue.waiting.end()) {
      found->second->decision.Push(denial{"overdue", LateRetry()});
      queue.waiting.erase(found);
    }
  }
  queue.last_pump = std::exchange(queue.this_pump, now);
  const engine_profile profile = queue.record.engine.value_or(engine_profile{});
  const auto engines = board_->List(queue.record.name, endpoint_role::kDecode);
  const auto prefill_engines = board_->List(queue.record.name, endpoint_role::kPrefill);
  placement_settings policy;
  policy.prefill_backlog = static_cast<std::uint32_t>(settings_.prefill_backlog);
  policy.own_prompt_limit = static_cast<std::uint32_t>(settings_.own_prompt_limit);
  const auto choose = [&](const placement_request& request) {
    auto views = board_->EngineViews(engines, profile, queue.waiting.at(request.request)->avoid);
    for (engine_view& view : views) {
      view.headroom_tokens = queue.spread.Headroom(view.running);
    }
    const auto prefill_views = board_->EngineViews(prefill_engines, profile, {});
    return ChooseEngines(views, prefill_views, request.tokens, request.prompt_tokens, settings_.deployment.zone,
                         RandomNumber(), policy);
  };
  const bool peers_wait = group_->PeersWaiting(queue.record.name) > 0;
  while (true) {
    const placement_step step = queue.queue.TakeNext(choose, peers_wait);
    if (step.blocked != wait_reason::kNone) {
      NoteBlocked(queue, step.blocked, now);
    }
    if (!step.placed) {
      return;
    }
    const waiting_ptr waiting = queue.waiting.at(step.placed->request);
    grant place{engines[step.engines.decode], std::nullopt, {}, step.placed->tokens};
    board_->AddDecode(place.engine.name, place.tokens, 1);
    if (step.engines.prefill) {
      place.prefill = prefill_engines[*step.engines.prefill];
      board_->AddPrefill(place.prefill->name, step.placed->prompt_tokens, 1);
    } else {
      board_->AddPrefill(place.engine.name, step.placed->prompt_tokens, 0);
    }
    asio::co_spawn(kernel_.Context(), Reserve(queue.record.name, waiting, std::move(place)), asio::detached);
  }
}

// Notes for every waiting request what the head of the queue waits for.
void generation_calls::NoteBlocked(service_queue& queue, wait_reason reason, time_point now) {
  const auto blocked = std::chrono::duration_cast<microseconds>(now - queue.last_pump);
  if (blocked < kTickPeriod * 3) {
    const metric_labels labels = {{"service", queue.record.name}, {"reason", WaitReasonName(reason)}};
    metrics_
        ->AddLatency("persimmon_queue_blocked_seconds", "Steps of time in which the head of a queue waited.", labels)
        .Record(blocked);
  }
  for (const auto& [request, waiting] : queue.waiting) {
    waiting->call->waited_for = reason;
  }
}

task<> generation_calls::Reserve(std::string service, waiting_ptr waiting, grant place) {
  const engine_profile profile = waiting->call->Service().engine.value_or(engine_profile{});
  const milliseconds lifetime = std::min(settings_.reservation_time, profile.hold_limit);
  auto request = platform::MakeReserve(place.engine.name, waiting->request.tokens, lifetime);
  auto answer = co_await client_.Fetch(place.engine.address, std::move(request), settings_.reserve_timeout);
  const time_point now = timer_service::Now();
  service_queue& queue = *queues_[service];
  auto reservation = answer && answer.value().status == 200 ? platform::ReadReservation(answer.value().body)
                                                            : result<std::string>(error{error_code::kUnavailable, ""});
  const bool still_waits = queue.waiting.contains(waiting->request.request);
  if (reservation) {
    place.reservation = reservation.value();
    if (still_waits && !waiting->call->IsCallerGone()) {
      waiting->call->waited = waiting->call->Age(now);
      queue.waiting.erase(waiting->request.request);
      waiting->decision.Push(std::move(place));
    } else {
      ReleasePlace(*waiting->call, place);
      ReleaseReservation(place);
    }
    co_return;
  }
  ReleasePlace(*waiting->call, place);
  if (!answer) {
    board_->NoteUnreachable(place.engine);
  } else {
    board_->NoteRefused(place.engine.name, waiting->request.tokens);
  }
  Events()
      .Line(kPart, "reservation_refused")
      .Request(waiting->call->Terms().attempt)
      .Add("endpoint", place.engine.name.value)
      .Add("tokens", waiting->request.tokens)
      .Add("status", answer ? answer.value().status : 0)
      .Add("detail", answer ? "" : Describe(answer.error()));
  if (still_waits) {
    queue.queue.PutBack(waiting->request, now);
    Pump(queue);
    ScheduleTick();
  }
}

// A request that is refused for lack of room comes back when the burst has most likely passed.
milliseconds generation_calls::LateRetry() const {
  return std::chrono::duration_cast<milliseconds>(settings_.late_retry * (1 + RandomUnit()));
}

void generation_calls::ScheduleTick() {
  if (tick_is_due_ || WaitingCount() == 0) {
    return;
  }
  tick_is_due_ = true;
  tick_ = kernel_.Timers().SubscribeOnce(kTickPeriod, [this] {
    tick_is_due_ = false;
    PumpAll();
    ScheduleTick();
  });
}

// Takes a place whose prefill has not been sent off the board.
void generation_calls::ReleasePlace(const direct_call& call, const grant& place) {
  board_->AddDecode(place.engine.name, -static_cast<std::int64_t>(place.tokens), -1);
  NotePromptRead(call, place, place.prefill ? place.prefill->name : place.engine.name);
}

// Takes a prompt off the engine that reads it.
void generation_calls::NotePromptRead(const direct_call& call, const grant& place, const endpoint_name& reader) {
  board_->AddPrefill(reader, -static_cast<std::int64_t>(call.Terms().prompt_tokens), place.prefill ? -1 : 0);
}

void generation_calls::ReleaseReservation(const grant& place) {
  asio::co_spawn(
      kernel_.Context(),
      SendControl(place.engine.address, platform::MakeReleaseReservation(place.reservation), "release_reservation"),
      asio::detached);
}

void generation_calls::DropCache(const platform::kv_source& source) {
  auto address = ParseHostPort(source.address);
  if (address) {
    asio::co_spawn(kernel_.Context(),
                   SendControl(address.value(), platform::MakeDropCache(source.handle), "drop_cache"), asio::detached);
  }
}

task<> generation_calls::SendControl(host_port address, http_request request, const char* purpose) {
  auto answer = co_await client_.Fetch(address, std::move(request), kControlLimit);
  if (!answer) {
    // The engine frees the memory by itself when the reservation or the handle lapses.
    Events().Line(kPart, "control_failed").Add("purpose", purpose).Add("detail", Describe(answer.error()));
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. prefill
// ---------------------------------------------------------------------------------------------------------------------

task<std::optional<platform::kv_source>> generation_calls::Prefill(direct_call_ptr call, const grant& place) {
  const engine_profile profile = call->Service().engine.value_or(engine_profile{});
  send_budget& budget = budgets_->For(call->Service().name);
  std::vector<endpoint_name> avoid;
  if (!place.prefill) {
    co_return platform::kv_source{};
  }
  chosen_endpoint engine = *place.prefill;  // on the board already
  while (true) {
    const time_point begin = timer_service::Now();
    if (!avoid.empty()) {
      if (call->TimeLeft(begin) < kMinTimeLeft) {
        co_return std::nullopt;
      }
      const auto engines = board_->List(call->Service().name, endpoint_role::kPrefill);
      const auto views = board_->EngineViews(engines, profile, avoid);
      const auto index = ChoosePrefillEngine(views, place.engine.zone, RandomNumber(), {});
      if (!index || !budget.AllowSend(begin)) {
        call->reason = index ? "budget_spent" : "no_prefill_engine";
        co_return std::nullopt;
      }
      engine = engines[*index];
      board_->AddPrefill(engine.name, call->Terms().prompt_tokens, 1);
    }
    avoid.push_back(engine.name);
    http_call exchange(client_);
    call->OnCallerGone([&exchange] { exchange.Cancel(); });
    const time_point end = std::min(call->End(), begin + kPrefillLimit);
    auto request = platform::MakePrefill(call->Forwarded(), engine.name, call->TimeLeft(begin));
    auto head = co_await exchange.Send(engine.address, std::move(request), end, AnswersAttempt(call->Terms().attempt));
    std::string body;
    std::optional<error> failure;
    if (!head) {
      failure = head.error();
    }
    for (bool more = !failure; more;) {
      auto piece = co_await exchange.Read(end);
      if (!piece) {
        failure = piece.error();
        break;
      }
      more = !piece.value().empty();
      body += piece.value();
    }
    call->ClearCancel();
    NotePromptRead(*call, place, engine.name);
    PumpAll();
    const auto took = std::chrono::duration_cast<milliseconds>(timer_service::Now() - begin);
    auto handle = !failure && head.value().status == 200 ? platform::ReadPrefillHandle(body)
                                                         : result<std::string>(error{error_code::kUnavailable, ""});
    if (handle) {
      board_->NoteAnswer(engine);
      Events()
          .Line(kPart, "prefilled")
          .Request(call->Terms().attempt)
          .Add("endpoint", engine.name.value)
          .Add("tokens", call->Terms().prompt_tokens)
          .Add("took_ms", took.count());
      co_return platform::kv_source{engine.address.Text(), handle.value()};
    }
    if (call->IsCallerGone()) {
      co_return std::nullopt;
    }
    const bool was_sent = !failure || failure->code != error_code::kUnavailable;
    if (!was_sent) {
      board_->NoteUnreachable(engine);
    } else if (failure) {
      board_->NoteFailure(engine);
    } else {
      board_->NoteRejected(engine);
    }
    if (was_sent) {
      budget.NoteSend(timer_service::Now());  // the rejected prefill reached the service beyond the request's own send
    }
    call->reason = "prefill_failed";
    Events()
        .Line(kPart, "prefill_failed")
        .Request(call->Terms().attempt)
        .Add("endpoint", engine.name.value)
        .Add("status", failure ? 0 : head.value().status)
        .Add("detail", failure ? Describe(*failure) : "")
        .Add("took_ms", took.count());
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. decode
// ---------------------------------------------------------------------------------------------------------------------

task<generation_calls::step_result> generation_calls::Decode(direct_call_ptr call, const grant& place,
                                                             std::optional<platform::kv_source> source,
                                                             stream_state& stream) {
  const time_point begin = timer_service::Now();
  http_call exchange(client_);
  call->OnCallerGone([&exchange] { exchange.Cancel(); });
  platform::decode_terms terms{std::move(source), place.reservation, stream.events.LastId()};
  auto request = platform::MakeDecode(call->Forwarded(), place.engine.name, call->TimeLeft(begin), terms);
  ++call->sends;
  call->endpoints += (call->endpoints.empty() ? "" : ",") + place.engine.name.value;
  const bool may_resume = call->Route().resumable && call->sends < call->Route().max_attempts;
  const time_point end = may_resume ? std::min(call->End(), begin + settings_.stall_limit) : call->End();
  auto head =
      co_await exchange.Send(place.engine.address, std::move(request), end, AnswersAttempt(call->Terms().attempt));
  if (!place.prefill) {
    NotePromptRead(*call, place, place.engine.name);
    PumpAll();
  }
  step_result outcome = step_result::kBroken;
  std::string detail;
  if (!head) {
    detail = Describe(head.error());
    if (head.error().code == error_code::kUnavailable) {
      board_->NoteUnreachable(place.engine);
      --call->sends;
      outcome = step_result::kNotRun;
    } else {
      board_->NoteFailure(place.engine);
    }
  } else {
    const auto answer = platform::ReadAnswer(head.value());
    const bool is_success = head.value().status >= 200 && head.value().status < 300;
    if (answer.proves_not_run) {
      detail = fmt::format("status {}", head.value().status);
      outcome = step_result::kNotRun;
      // The prompt cannot be fetched, or the engine changes its stage: it grants reservations then, but runs nothing.
      asio::co_spawn(kernel_.Context(), CheckEngine(place.engine), asio::detached);
    } else if (is_success && answer.is_genuine && !answer.is_encoded) {
      if (!stream.started) {
        stream.started = true;
        (void)co_await call->Exchange().StartStream(head.value().status, platform::PassedHeaders(head.value().headers));
      }
      outcome = co_await PassStream(call, exchange, place, stream);
    } else if (answer.is_genuine && !stream.started && head.value().status >= 400 && head.value().status != 429 &&
               head.value().status != 503 && head.value().status != 408) {
      // A failure of the engine itself is passed on as it is.
      http_response failed{head.value().status, platform::PassedHeaders(head.value().headers), {}};
      bool complete = false;
      while (!complete) {
        auto piece = co_await exchange.Read(end);
        if (!piece) {
          break;
        }
        complete = piece.value().empty();
        failed.body += piece.value();
      }
      detail = fmt::format("status {}", head.value().status);
      if (complete) {
        stream.started = true;
        call->reason = "endpoint_failure";
        (void)co_await call->Exchange().Respond(std::move(failed));
        outcome = step_result::kDone;
      }
    } else {
      detail = fmt::format("status {} without seal", head.value().status);
      board_->NoteFailure(place.engine);
    }
  }
  call->ClearCancel();
  if (call->IsCallerGone()) {
    outcome = step_result::kCallerGone;
  } else if (outcome == step_result::kBroken && timer_service::Now() >= call->End()) {
    outcome = step_result::kTimeout;
  }
  if (outcome != step_result::kDone) {
    const auto took = std::chrono::duration_cast<milliseconds>(timer_service::Now() - begin);
    Events()
        .Line(kPart, "decode_ended")
        .Request(call->Terms().attempt)
        .Add("endpoint", place.engine.name.value)
        .Add("result", static_cast<int>(outcome))
        .Add("events", stream.events.EventCount())
        .Add("detail", detail)
        .Add("took_ms", took.count());
  }
  co_return outcome;
}

// Pauses an engine that has refused a run with a reservation for as long as an order is being carried out there, or
// its entry does not show its new stage.
task<> generation_calls::CheckEngine(chosen_endpoint engine) {
  if (!checked_engines_.insert(engine.name).second) {
    co_return;
  }
  bool is_watched = true;
  while (is_watched && board_->IsCurrent(engine) && board_->IsDecodeEngine(engine.name)) {
    auto answer = co_await client_.Fetch(engine.address, platform::MakeReport(engine.name), kReportLimit);
    auto report = answer && answer.value().status == 200
                      ? platform::ReadReport(answer.value().body)
                      : result<platform::engine_report>(error{error_code::kUnavailable, "no report"});
    is_watched = report && (report.value().is_busy || report.value().stage == platform::engine_stage::kPrefill);
    Events()
        .Line(kPart, "engine_checked")
        .Add("endpoint", engine.name.value)
        .Add("pauses", is_watched)
        .Add("detail", report ? "" : Describe(report.error()));
    if (is_watched) {
      board_->NoteBusy(engine, kBusyPause);
      co_await kernel_.Timers().Sleep(kBusyPause);
    }
  }
  checked_engines_.erase(engine.name);
}

void generation_calls::NoteTokenInterval(microseconds streamed, std::size_t tokens) {
  if (tokens > 0) {
    token_interval_ += (streamed / static_cast<std::int64_t>(tokens) - token_interval_) / kIntervalSamples;
  }
}

task<generation_calls::step_result> generation_calls::PassStream(direct_call_ptr call, http_call& exchange,
                                                                 const grant& place, stream_state& stream) {
  const bool resumable = call->Route().resumable;
  const engine_profile profile = call->Service().engine.value_or(engine_profile{});
  std::uint32_t accounted = place.tokens;
  std::uint32_t used = call->Terms().prompt_tokens;
  const time_point begin = timer_service::Now();
  time_point last_event = begin;
  const std::size_t events_before = stream.events.EventCount();
  microseconds longest_pause(0);
  step_result outcome = step_result::kBroken;
  while (true) {
    const bool may_resume = resumable && call->sends < call->Route().max_attempts;
    const time_point now = timer_service::Now();
    auto piece = co_await exchange.Read(may_resume ? std::min(call->End(), now + settings_.stall_limit) : call->End());
    std::string whole = piece ? stream.events.Add(piece.value()) : std::string();
    if (!piece || stream.events.IsOverlong()) {
      board_->NoteFailure(place.engine);
      Events()
          .Line(kPart, "stream_broken")
          .Request(call->Terms().attempt)
          .Add("endpoint", place.engine.name.value)
          .Add("events", stream.events.EventCount())
          .Add("detail", piece ? "an event is longer than any valid one" : Describe(piece.error()));
      break;
    }
    const bool is_end = piece.value().empty();
    if (is_end && !stream.events.Rest().empty()) {
      whole += stream.events.Rest();
      stream.events.DropRest();
    }
    if (!resumable && !is_end) {
      // Nothing can go on elsewhere, so that bytes need not wait for the end of their event.
      whole += stream.events.Rest();
      stream.events.DropRest();
    }
    if (!whole.empty()) {
      const time_point read_at = timer_service::Now();
      longest_pause = std::max(longest_pause, std::chrono::duration_cast<microseconds>(read_at - last_event));
      last_event = read_at;
      if (call->first_event == milliseconds(0)) {
        call->first_event = call->Age(timer_service::Now());
      }
      auto written = co_await call->Exchange().WriteChunk(std::move(whole));
      if (!written) {
        outcome = step_result::kCallerGone;
        break;
      }
    }
    if (is_end) {
      auto finished = co_await call->Exchange().FinishStream();
      outcome = finished ? step_result::kDone : step_result::kCallerGone;
      call->reason = "whole_answer";  // replaces that of an earlier try
      board_->NoteAnswer(place.engine);
      NoteTokenInterval(std::chrono::duration_cast<microseconds>(last_event - begin),
                        (stream.events.EventCount() - events_before) * profile.tokens_per_event);
      QueueFor(call->Service())
          .spread.NoteAnswer(place.tokens - call->Terms().prompt_tokens,
                             static_cast<std::uint32_t>(stream.events.EventCount()) * profile.tokens_per_event);
      break;
    }
    // The answer may grow beyond the reservation.
    used =
        call->Terms().prompt_tokens + static_cast<std::uint32_t>(stream.events.EventCount()) * profile.tokens_per_event;
    if (used > accounted) {
      board_->AddDecode(place.engine.name, used - accounted, 0);
      accounted = used;
    }
  }
  board_->AddDecode(place.engine.name, -static_cast<std::int64_t>(accounted - place.tokens), 0);
  Events()
      .Line(kPart, "stream_ended")
      .Request(call->Terms().attempt)
      .Add("endpoint", place.engine.name.value)
      .Add("whole", outcome == step_result::kDone)
      .Add("events", stream.events.EventCount())
      .Add("used_tokens", used)
      .Add("reserved_tokens", place.tokens)
      .Add("own_prompt", !place.prefill)
      .Add("longest_pause_ms", std::chrono::duration_cast<milliseconds>(longest_pause).count());
  co_return outcome;
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. a whole call
// ---------------------------------------------------------------------------------------------------------------------

task<call_outcome> generation_calls::Serve(direct_call_ptr call) {
  send_budget& budget = budgets_->For(call->Service().name);
  budget.NoteRequest(timer_service::Now());
  if (const auto refused = crashes_->RefusedFor(call->Fingerprint())) {
    co_return co_await call->Refuse("crashes_endpoints", *refused);
  }
  stream_state stream;
  std::vector<endpoint_name> avoid;
  bool may_have_run = false;
  step_result result = step_result::kNotRun;
  for (std::uint32_t round = 0; round < kMaxPlacements; ++round) {
    // Asked before anything is reserved or prefilled again, so that neither is done in vain.
    if (call->sends > 0 && !budget.AllowSend(timer_service::Now())) {
      call->reason = "budget_spent";
      break;
    }
    placement decided = co_await AwaitPlace(call, avoid, round > 0);
    if (call->IsCallerGone()) {
      if (const auto* place = std::get_if<grant>(&decided)) {
        ReleasePlace(*call, *place);
        ReleaseReservation(*place);
      }
      result = step_result::kCallerGone;
      break;
    }
    if (const auto* denied = std::get_if<denial>(&decided)) {
      call->waited = call->Age(timer_service::Now());
      if (may_have_run) {
        call->reason = denied->reason;
        result = step_result::kBroken;
        break;
      }
      co_return co_await call->Refuse(denied->reason, denied->retry_after);
    }
    const grant place = std::get<grant>(std::move(decided));
    const auto release = [&] { board_->AddDecode(place.engine.name, -static_cast<std::int64_t>(place.tokens), -1); };
    auto source = co_await Prefill(call, place);
    if (!source) {
      release();
      ReleaseReservation(place);
      PumpAll();
      result = call->IsCallerGone() ? step_result::kCallerGone : step_result::kNotRun;
      break;
    }
    // The engine may have been told to leave while the prompt was read.
    const bool is_current = board_->IsCurrent(place.engine);
    if (call->IsCallerGone() || !is_current) {
      release();
      if (!place.prefill) {
        NotePromptRead(*call, place, place.engine.name);
      }
      ReleaseReservation(place);
      if (!source->handle.empty()) {
        DropCache(*source);
      }
      PumpAll();
      result = call->IsCallerGone() ? step_result::kCallerGone : step_result::kNotRun;
      if (call->IsCallerGone()) {
        break;
      }
      avoid.push_back(place.engine.name);
      continue;
    }
    const platform::kv_source used_source = *source;
    if (source->handle.empty()) {
      source.reset();
    }
    crashes_->NoteStart(call->Fingerprint(), place.engine);
    result = co_await Decode(call, place, std::move(source), stream);
    if (result == step_result::kBroken) {
      crashes_->NoteBroken(call->Fingerprint(), place.engine, call->Service().health_path);
    } else {
      crashes_->NoteEnd(call->Fingerprint(), place.engine, result == step_result::kDone);
    }
    release();
    PumpAll();
    if (result == step_result::kNotRun) {
      if (!used_source.handle.empty()) {
        DropCache(used_source);
      }
      ReleaseReservation(place);
    }
    if (result == step_result::kBroken) {
      may_have_run = true;
      stream.events.DropRest();
    }
    const bool may_go_on = call->sends < call->Route().max_attempts;
    const bool goes_on =
        (result == step_result::kNotRun || (result == step_result::kBroken && call->Route().resumable));
    if (!goes_on || !may_go_on || call->IsCallerGone()) {
      break;
    }
    avoid.push_back(place.engine.name);
  }
  co_return co_await Finish(call, result, stream, may_have_run);
}

task<call_outcome> generation_calls::Finish(direct_call_ptr call, step_result result, stream_state& stream,
                                            bool ever_sent) {
  if (result == step_result::kCallerGone || call->IsCallerGone()) {
    co_return call->NoteGone();
  }
  if (result == step_result::kDone) {
    co_return call_outcome::kAnswered;
  }
  if (stream.started) {
    co_return call->BreakOff(call->reason.empty() ? "stream_broken" : call->reason);
  }
  if (result == step_result::kNotRun && !ever_sent) {
    std::string reason = call->reason.empty() ? "engines_full" : call->reason;
    co_return co_await call->Refuse(std::move(reason), kNoEngineRetry);
  }
  const bool timed_out = result == step_result::kTimeout;
  co_return co_await call->Fail(timed_out ? 504 : 502, timed_out ? "timeout" : "endpoint_lost");
}

}  // namespace persimmon
