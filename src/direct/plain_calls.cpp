#include "direct/plain_calls.h"

#include <algorithm>

#include "core/telemetry.h"

namespace persimmon {

plain_calls::plain_calls(kernel& services, const direct_settings& settings, http_client& client)
    : kernel_(services),
      settings_(settings),
      client_(client),
      attempts_(services, settings),
      hedged_calls_(services, client, attempts_) {}

void plain_calls::Start() {
  auth_ = &kernel_.Find<caller_auth>("auth");
  endpoint_tracker_ = &kernel_.Find<endpoint_tracker>("board");
  budgets_ = &kernel_.Find<send_budgets>("budgets");
  suspect_tracker_ = &kernel_.Find<suspect_tracker>("crashes");
  metrics_ = &kernel_.Find<telemetry>("telemetry").Metrics();
  attempts_.Start();
  hedged_calls_.Start();
}

task<call_outcome> plain_calls::Serve(direct_call_ptr call) {
  const route_record& route = call->Route();
  budgets_->RecordRequest(*call);
  if (const auto refused = suspect_tracker_->RemainingRefusal(call->Fingerprint())) {
    co_return co_await call->Refuse("crashes_endpoints", *refused);
  }
  const bool is_adaptive = endpoint_tracker_->UsesAdaptivePolicy(call->Service().name);
  // The time until the first event of a stream is not measured.
  if (is_adaptive && route.kind != call_kind::kStreaming && attempts_.IsTooLate(*call, {})) {
    metrics_
        ->AddCounter("persimmon_plain_too_late_total", "Plain calls refused because no endpoint could answer in time.",
                     {{"service", call->Service().name}})
        .Increment();
    co_return co_await call->Refuse("too_late", attempts_.RetryAfter(*call));
  }
  if (is_adaptive && route.kind != call_kind::kStreaming) {
    auto refused = co_await attempts_.AwaitRoom(call);
    if (call->IsCallerDisconnected()) {
      co_return call->EndAsCallerDisconnected();
    }
    if (refused) {
      co_return co_await call->Refuse(std::move(*refused));
    }
  }
  if (is_adaptive && route.kind == call_kind::kIdempotent && route.max_attempts > 1) {
    co_return co_await hedged_calls_.Serve(call);
  }
  co_return co_await ServeInTurn(call, is_adaptive);
}

task<call_outcome> plain_calls::ServeInTurn(direct_call_ptr call, bool is_adaptive) {
  progress state;
  state.is_adaptive = is_adaptive;
  while (!state.is_finished) {
    if (call->IsCallerDisconnected()) {
      co_return call->EndAsCallerDisconnected();
    }
    if (auto refused = auth_->Recheck(*call)) {
      if (!state.may_have_run && !state.error_response) {
        co_return co_await call->Refuse(std::move(*refused));
      }
      call->reason = std::move(refused->code);
      break;
    }
    const auto chosen = ChooseNext(*call, state);
    if (!chosen) {
      break;
    }
    const auto permit = co_await TakePermit(call, *chosen, state);
    if (call->IsCallerDisconnected()) {
      co_return call->EndAsCallerDisconnected();
    }
    if (!permit) {
      continue;
    }
    const auto ended = co_await RunAttempt(MakeAttempt(call, *chosen, *permit, is_adaptive), state);
    if (ended) {
      co_return *ended;
    }
  }
  co_return co_await EndWithoutAnswer(call, state);
}

std::optional<plain_attempts::choice> plain_calls::ChooseNext(direct_call& call, const progress& state) {
  const bool has_time = call.TimeLeft(timer_service::Now()) > kMinTimeLeft;
  const bool may_send = has_time && call.sends < call.Route().max_attempts &&
                        state.connect_failures < kMaxConnectAttempts && state.permit_refusals < kMaxPermitRefusals;
  auto chosen = may_send ? attempts_.Choose(call, state.avoid, state.is_adaptive) : std::nullopt;
  if (chosen && call.sends > 0 && !budgets_->AllowExtraSends(call)) {
    call.reason = "budget_spent";
    chosen.reset();
  }
  return chosen;
}

task<std::optional<send_permit>> plain_calls::TakePermit(direct_call_ptr call, plain_attempts::choice chosen,
                                                         progress& state) {
  const time_point asked = timer_service::Now();
  const permit_result taken = co_await endpoint_tracker_->AcquirePermit(chosen.endpoint, chosen.max_permit_wait);
  call->waited += std::chrono::duration_cast<milliseconds>(timer_service::Now() - asked);
  if (!taken.permit && !call->IsCallerDisconnected()) {
    if (call->sends > 0) {
      budgets_->ReturnExtraSends(*call, 1);
    }
    ++state.permit_refusals;
    // Otherwise the endpoint with the shortest wait cannot take the call in time.
    state.is_finished = chosen.max_permit_wait > kShortPermitWait;
  }
  co_return taken.permit;
}

plain_attempt_ptr plain_calls::MakeAttempt(const direct_call_ptr& call, const plain_attempts::choice& chosen,
                                           const send_permit& permit, bool is_adaptive) {
  const route_record& route = call->Route();
  auto attempt = std::make_shared<plain_attempt>(client_, call, chosen.endpoint, permit);
  attempt->may_retry = route.kind == call_kind::kIdempotent && call->sends + 1 < route.max_attempts;
  attempt->is_adaptive = is_adaptive;
  attempt->predicted = chosen.predicted;
  attempt->deadline = call->Deadline();
  if (attempt->may_retry) {
    const auto timeout = std::chrono::duration_cast<microseconds>(route.target_latency * settings_.second_try_share);
    attempt->deadline = std::min(attempt->deadline, timer_service::Now() + timeout);
  }
  return attempt;
}

// Returns the final state of the call, or nothing if another attempt may follow.
task<std::optional<call_outcome>> plain_calls::RunAttempt(plain_attempt_ptr attempt, progress& state) {
  const direct_call_ptr call = attempt->call;
  call->SetDisconnectHandler([weak = std::weak_ptr<plain_attempt>(attempt)] {
    if (const auto sent = weak.lock()) {
      sent->Cancel();
    }
  });
  attempt_outcome outcome = co_await attempts_.Send(attempt);
  call->ClearDisconnectHandler();
  state.avoid.push_back(attempt->endpoint.name);
  if (outcome.result == attempt_result::kNotSent) {
    ++state.connect_failures;
    co_return std::nullopt;
  }
  ++call->sends;
  call->endpoints += (call->endpoints.empty() ? "" : ",") + attempt->endpoint.name.value;
  if (outcome.is_streamed) {
    co_return outcome.call_result;
  }
  if (outcome.result == attempt_result::kAnswered) {
    const bool is_server_error = outcome.response.status >= kFirstServerError;
    if (!is_server_error || !attempt->may_retry) {
      co_return co_await attempts_.Forward(call, outcome);
    }
    state.error_response = std::move(outcome);
  } else if (outcome.result == attempt_result::kMayHaveRun) {
    state.may_have_run = true;
    call->reason = outcome.failure;
    state.is_finished = call->Route().kind != call_kind::kIdempotent;
  } else if (outcome.result == attempt_result::kCallerDisconnected) {
    co_return call->EndAsCallerDisconnected();
  }
  co_return std::nullopt;
}

task<call_outcome> plain_calls::EndWithoutAnswer(direct_call_ptr call, progress& state) {
  if (state.error_response) {
    co_return co_await attempts_.Forward(call, *state.error_response);
  }
  if (state.may_have_run) {
    const bool timed_out = call->TimeLeft(timer_service::Now()) <= kMinTimeLeft;
    co_return co_await call->Fail(timed_out ? 504 : 502, timed_out ? "timeout" : "endpoint_lost");
  }
  const char* reason = "no_endpoint";
  if (call->sends > 0) {
    reason = "endpoints_full";
  } else if (state.permit_refusals > 0) {
    reason = "endpoint_limits";
  }
  co_return co_await call->Refuse(reason, attempts_.RetryAfter(*call));
}

}  // namespace persimmon
