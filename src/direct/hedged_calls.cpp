#include "direct/hedged_calls.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "core/event_log.h"
#include "core/telemetry.h"

namespace persimmon {
namespace {

constexpr const char* kComponent = "router.plain";
// Attempts end by their own deadline; this only bounds the wait for one that has just passed it.
constexpr milliseconds kDeadlinePollPeriod(20);

bool IsGood(const attempt_outcome& outcome) {
  return outcome.is_streamed ||
         (outcome.result == attempt_result::kAnswered && outcome.response.status < kFirstServerError);
}

}  // namespace

void hedged_calls::Start() {
  auth_ = &kernel_.Find<caller_auth>("auth");
  endpoint_tracker_ = &kernel_.Find<endpoint_tracker>("board");
  budgets_ = &kernel_.Find<send_budgets>("budgets");
  metrics_ = &kernel_.Find<telemetry>("telemetry").Metrics();
}

void hedged_calls::race::CancelAllBut(const plain_attempt* kept) {
  for (const plain_attempt_ptr& attempt : in_progress) {
    if (attempt.get() != kept) {
      attempt->Cancel();
    }
  }
}

task<call_outcome> hedged_calls::Serve(direct_call_ptr call) {
  const attempt_schedule schedule(call->Route().max_attempts, attempts_.SecondAttemptDelay(*call),
                                  timer_service::Now());
  auto state = std::make_shared<race>(kernel_.Context(), call, schedule);
  call->SetDisconnectHandler([weak = std::weak_ptr<race>(state)] {
    if (const auto running = weak.lock()) {
      running->CancelAllBut(nullptr);
    }
  });
  const call_outcome outcome = co_await Run(state);
  call->ClearDisconnectHandler();
  state->CancelAllBut(nullptr);
  for (const endpoint_name& name : state->sent_to) {
    call->endpoints += (call->endpoints.empty() ? "" : ",") + name.value;
  }
  co_return outcome;
}

task<call_outcome> hedged_calls::Run(race_ptr state) {
  const direct_call_ptr call = state->call;
  while (true) {
    if (state->finished.IsEmpty()) {
      co_await StartDueAttempts(state);
    }
    if (call->IsCallerDisconnected()) {
      co_return call->EndAsCallerDisconnected();
    }
    const bool is_over = state->finished.IsEmpty() && state->schedule.InProgress() == 0;
    if (is_over || MustUseFallback(*state)) {
      co_return co_await EndWithoutAnswer(state);
    }
    const microseconds wait = WaitTime(*state);
    auto finished = co_await state->finished.Receive(wait);
    if (!finished) {
      continue;
    }
    const auto ended = co_await HandleOutcome(state, std::move(*finished));
    if (ended) {
      co_return *ended;
    }
  }
}

// A server error is delivered in time rather than held for a better response until the caller has given up.
bool hedged_calls::MustUseFallback(const race& state) {
  return state.fallback && state.winner == nullptr && state.finished.IsEmpty() &&
         state.call->TimeLeft(timer_service::Now()) <= kMinTimeLeft;
}

microseconds hedged_calls::WaitTime(const race& state) {
  const time_point now = timer_service::Now();
  time_point until = state.call->Deadline();
  if (state.fallback && state.winner == nullptr) {
    until -= kMinTimeLeft;
  }
  const auto next = state.schedule.NextStart();
  if (next && state.winner == nullptr) {
    until = std::min(until, *next);
  }
  const microseconds wait = std::chrono::duration_cast<microseconds>(until - now);
  return wait > microseconds(0) ? wait : microseconds(kDeadlinePollPeriod);
}

bool hedged_calls::IsDue(const race& state) {
  const auto next = state.schedule.NextStart();
  return next && *next <= timer_service::Now() && state.winner == nullptr && state.finished.IsEmpty() &&
         !state.call->IsCallerDisconnected();
}

task<> hedged_calls::StartDueAttempts(race_ptr state) {
  while (IsDue(*state)) {
    const start_result started = co_await StartAttempt(state);
    if (started == start_result::kNone) {
      state->schedule.RecordNoStart();
    }
  }
}

// Returns nothing if no further attempt can succeed.
std::optional<plain_attempts::choice> hedged_calls::ChooseNext(race& state) {
  direct_call& call = *state.call;
  const bool has_time = call.TimeLeft(timer_service::Now()) > kMinTimeLeft;
  if (!has_time || state.connect_failures >= kMaxConnectAttempts || state.permit_refusals >= kMaxPermitRefusals) {
    return std::nullopt;
  }
  state.refusal = auth_->Recheck(call);
  if (state.refusal) {
    return std::nullopt;
  }
  const bool is_extra = state.schedule.Sent() > 0;
  if (is_extra && attempts_.IsTooLate(call, state.avoid)) {
    return std::nullopt;
  }
  const zone_name avoided = state.in_progress.empty() ? zone_name{} : state.in_progress.front()->endpoint.zone;
  auto chosen = attempts_.Choose(call, state.avoid, true, avoided);
  if (chosen && is_extra && !budgets_->AllowExtraSends(call)) {
    call.reason = "budget_spent";
    chosen.reset();
  }
  if (chosen && !state.in_progress.empty()) {
    // A response of the attempt in progress must not wait for a permit.
    chosen->max_permit_wait = std::min(chosen->max_permit_wait, kShortPermitWait);
  }
  return chosen;
}

task<hedged_calls::start_result> hedged_calls::StartAttempt(race_ptr state) {
  const direct_call_ptr call = state->call;
  const bool is_extra = state->schedule.Sent() > 0;
  const auto chosen = ChooseNext(*state);
  if (!chosen) {
    co_return start_result::kNone;
  }
  const time_point asked = timer_service::Now();
  const permit_result taken = co_await endpoint_tracker_->AcquirePermit(chosen->endpoint, chosen->max_permit_wait);
  call->waited += std::chrono::duration_cast<milliseconds>(timer_service::Now() - asked);
  const bool is_wanted = !call->IsCallerDisconnected() && state->winner == nullptr && state->finished.IsEmpty();
  if (taken.permit && is_wanted) {
    Launch(state, *chosen, *taken.permit);
    co_return start_result::kStarted;
  }
  // An attempt that turned out to be not sent may have returned the extra send meanwhile (RunAttempt).
  if (is_extra && call->extra_sends > 0) {
    budgets_->ReturnExtraSends(*call, 1);
  }
  if (taken.permit) {
    co_return start_result::kTryOther;  // the loop of the caller decides anew once the event has been handled
  }
  ++state->permit_refusals;
  // Otherwise the endpoint with the shortest wait cannot take the call in time.
  const bool may_try_other = chosen->max_permit_wait <= kShortPermitWait;
  co_return may_try_other ? start_result::kTryOther : start_result::kNone;
}

void hedged_calls::Launch(const race_ptr& state, const plain_attempts::choice& chosen, const send_permit& permit) {
  const direct_call_ptr& call = state->call;
  auto attempt = std::make_shared<plain_attempt>(client_, call, chosen.endpoint, permit);
  attempt->deadline = call->Deadline();
  attempt->may_retry = state->schedule.Sent() + 1 < call->Route().max_attempts;
  attempt->is_adaptive = true;
  attempt->predicted = chosen.predicted;
  attempt->may_stream = [weak = std::weak_ptr<race>(state), raw = attempt.get()](int status) {
    const auto running = weak.lock();
    return running && MayStream(*running, *raw, status);
  };
  const time_point now = timer_service::Now();
  if (state->schedule.Sent() > 0) {
    const char* cause = state->in_progress.empty() ? "failed" : "slow";
    metrics_
        ->AddCounter("persimmon_second_attempts_total", "Further attempts of idempotent plain calls.",
                     {{"service", call->Service().name}, {"cause", cause}})
        .Increment();
    Events()
        .Line(kComponent, "second_attempt")
        .Request(call->Metadata().attempt)
        .Add("endpoint", chosen.endpoint.name.value)
        .Add("cause", cause)
        .Add("predicted_ms", std::chrono::duration_cast<milliseconds>(chosen.predicted).count())
        .Add("after_ms", call->Age(now).count());
  }
  state->schedule.RecordStart(now);
  call->sends = state->schedule.Sent();
  state->avoid.push_back(chosen.endpoint.name);
  state->sent_to.push_back(chosen.endpoint.name);
  state->in_progress.push_back(attempt);
  asio::co_spawn(kernel_.Context(), RunAttempt(state, attempt), asio::detached);
}

// Whether a long response may be streamed to the caller. A server error may only if no other attempt can do better.
bool hedged_calls::MayStream(race& state, const plain_attempt& attempt, int status) {
  const bool is_last = state.schedule.InProgress() == 1 && !state.schedule.NextStart() && !state.fallback;
  if (state.winner != nullptr || (status >= kFirstServerError && !is_last)) {
    return false;
  }
  state.winner = &attempt;
  state.CancelAllBut(&attempt);
  return true;
}

task<> hedged_calls::RunAttempt(race_ptr state, plain_attempt_ptr attempt) {
  attempt_outcome outcome = co_await attempts_.Send(attempt);
  std::erase(state->in_progress, attempt);
  if (outcome.result == attempt_result::kNotSent) {
    std::erase(state->sent_to, attempt->endpoint.name);
    if (state->call->extra_sends > 0) {
      budgets_->ReturnExtraSends(*state->call, 1);  // one send less, so one extra send less
    }
  }
  if (state->winner == nullptr && IsGood(outcome)) {
    state->winner = attempt.get();
    state->CancelAllBut(attempt.get());
  }
  finished_attempt finished{std::move(attempt), std::move(outcome)};
  state->finished.Push(std::move(finished));
}

// Returns the final state of the call, or nothing if another attempt may bring it.
task<std::optional<call_outcome>> hedged_calls::HandleOutcome(race_ptr state, finished_attempt finished) {
  const direct_call_ptr call = state->call;
  attempt_outcome& outcome = finished.outcome;
  const time_point now = timer_service::Now();
  if (state->winner == finished.attempt.get()) {
    RecordWinner(*state, *finished.attempt);
    if (outcome.is_streamed) {
      co_return outcome.call_result;
    }
    co_return co_await attempts_.Forward(call, outcome);
  }
  switch (outcome.result) {
    case attempt_result::kNotSent:
      state->schedule.RecordEnd(attempt_end::kNotSent, now);
      call->sends = state->schedule.Sent();
      ++state->connect_failures;
      break;
    case attempt_result::kNotRun:
      state->schedule.RecordEnd(attempt_end::kRejected, now);
      break;
    case attempt_result::kAnswered:
      state->schedule.RecordEnd(attempt_end::kFailed, now);
      if (!state->fallback) {
        state->fallback = std::move(outcome);
      }
      break;
    case attempt_result::kMayHaveRun:
    case attempt_result::kCancelled:
      state->schedule.RecordEnd(attempt_end::kFailed, now);
      state->may_have_run = true;
      call->reason = outcome.failure;
      break;
    case attempt_result::kCallerDisconnected:
      co_return call->EndAsCallerDisconnected();
  }
  co_return std::nullopt;
}

void hedged_calls::RecordWinner(const race& state, const plain_attempt& winner) {
  if (state.sent_to.size() < 2) {
    return;
  }
  const bool is_first = state.sent_to.front() == winner.endpoint.name;
  if (!is_first) {
    metrics_
        ->AddCounter("persimmon_second_attempts_won_total", "Further attempts whose response was forwarded.",
                     {{"service", state.call->Service().name}})
        .Increment();
  }
  Events()
      .Line(kComponent, "attempt_won")
      .Request(state.call->Metadata().attempt)
      .Add("endpoint", winner.endpoint.name.value)
      .Add("is_first", is_first)
      .Add("predicted_ms", std::chrono::duration_cast<milliseconds>(winner.predicted).count())
      .Add("took_ms", ElapsedMs(winner.begin, timer_service::Now()))
      .Add("sends", state.sent_to.size());
}

task<call_outcome> hedged_calls::EndWithoutAnswer(race_ptr state) {
  const direct_call_ptr call = state->call;
  state->CancelAllBut(nullptr);
  if (state->fallback) {
    co_return co_await attempts_.Forward(call, *state->fallback);
  }
  if (state->may_have_run) {
    const bool timed_out = call->TimeLeft(timer_service::Now()) <= kMinTimeLeft;
    const int status = timed_out ? 504 : 502;
    co_return co_await call->Fail(status, timed_out ? "timeout" : "endpoint_lost");
  }
  if (state->refusal) {
    co_return co_await call->Refuse(std::move(*state->refusal));
  }
  const char* reason = "no_endpoint";
  if (call->sends > 0) {
    reason = "endpoints_full";
  } else if (state->permit_refusals > 0) {
    reason = "endpoint_limits";
  }
  co_return co_await call->Refuse(reason, attempts_.RetryAfter(*call));
}

}  // namespace persimmon
