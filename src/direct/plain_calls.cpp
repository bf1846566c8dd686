#include "direct/plain_calls.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/event_log.h"
#include "core/random.h"
#include "persimmon/event_stream.h"

namespace persimmon {
namespace {

constexpr const char* kComponent = "router.plain";
constexpr std::uint32_t kMaxConnectAttempts = 4;  // unreachable endpoints that are tried for one request
constexpr milliseconds kMinTimeLeft(20);          // with less time left, an attempt cannot succeed and is not started
// A limited endpoint may make a call wait this long although another endpoint takes it at once.
constexpr milliseconds kShortPermitWait(5);
constexpr std::uint32_t kMaxPermitRefusals = 8;  // endpoints that refuse one call a permit
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;

// True for a successful response that states no other content than events.
bool IsEventStream(const http_response_head& head) {
  const std::string_view type = FindHeader(head.headers, "Content-Type");
  return head.status < kFirstRedirect && (type.empty() || type.starts_with("text/event-stream"));
}

bool ImpliesNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

}  // namespace

plain_calls::plain_calls(kernel& services, const direct_settings& settings, http_client& client)
    : kernel_(services), settings_(settings), client_(client) {}

void plain_calls::Start() {
  auth_ = &kernel_.Find<caller_auth>("auth");
  endpoint_tracker_ = &kernel_.Find<endpoint_tracker>("board");
  budgets_ = &kernel_.Find<send_budgets>("budgets");
  suspect_tracker_ = &kernel_.Find<suspect_tracker>("crashes");
}

milliseconds plain_calls::RetryAfter(const direct_call& call) const {
  const auto jittered = std::chrono::duration_cast<milliseconds>(settings_.plain_retry_after * (1 + RandomUnit()));
  const auto endpoints = endpoint_tracker_->ListEndpoints(call.Service().name, std::nullopt);
  return endpoint_tracker_->TimeUntilOpen(endpoints) + jittered;
}

std::optional<plain_calls::choice> plain_calls::Choose(const direct_call& call,
                                                       const std::vector<endpoint_name>& avoid) const {
  const auto endpoints = endpoint_tracker_->ListEndpoints(call.Service().name, std::nullopt);
  const auto views = endpoint_tracker_->PlainViews(endpoints, avoid);
  const service_request selection{settings_.deployment.zone, RandomNumber()};
  const auto index = ChooseService(views, selection, selection_settings{});
  if (!index) {
    return std::nullopt;
  }
  const auto takes_calls_now = [](const endpoint_view& view) {
    return view.can_receive && view.health_share > 0 && view.permit_wait == microseconds(0);
  };
  if (std::count_if(views.begin(), views.end(), takes_calls_now) > 1) {
    return choice{endpoints[*index], kShortPermitWait};
  }
  // No other endpoint takes the call now. It may wait as long as it can still meet its target.
  const time_point now = timer_service::Now();
  const time_point latest = std::min(call.Arrival() + call.Route().target_latency, call.Deadline() - kMinTimeLeft);
  return choice{endpoints[*index], std::chrono::duration_cast<milliseconds>(std::max(latest, now) - now)};
}

task<call_outcome> plain_calls::Serve(direct_call_ptr call) {
  const route_record& route = call->Route();
  const bool is_idempotent = route.kind == call_kind::kIdempotent;
  budgets_->RecordRequest(*call);
  if (const auto refused = suspect_tracker_->RemainingRefusal(call->Fingerprint())) {
    co_return co_await call->Refuse("crashes_endpoints", *refused);
  }
  std::vector<endpoint_name> avoid;
  std::uint32_t connect_failures = 0;
  std::uint32_t permit_refusals = 0;
  bool may_have_run = false;
  std::optional<attempt_outcome> error_response;  // forwarded if no other attempt succeeds
  while (true) {
    const bool is_first = call->sends == 0;
    const bool has_time = call->TimeLeft(timer_service::Now()) > kMinTimeLeft;
    if (call->IsCallerDisconnected()) {
      co_return call->EndAsCallerDisconnected();
    }
    if (auto refused = auth_->Recheck(*call)) {
      if (!may_have_run && !error_response) {
        co_return co_await call->Refuse(std::move(*refused));
      }
      call->reason = std::move(refused->code);
      break;
    }
    const bool may_send = has_time && call->sends < route.max_attempts && connect_failures < kMaxConnectAttempts &&
                          permit_refusals < kMaxPermitRefusals;
    auto chosen = may_send ? Choose(*call, avoid) : std::nullopt;
    if (chosen && !is_first && !budgets_->AllowExtraSends(*call)) {
      call->reason = "budget_spent";
      chosen.reset();
    }
    if (!chosen) {
      break;
    }
    const chosen_endpoint endpoint = chosen->endpoint;
    const time_point asked = timer_service::Now();
    const permit_result taken = co_await endpoint_tracker_->AcquirePermit(endpoint, chosen->max_permit_wait);
    const time_point now = timer_service::Now();
    call->waited += std::chrono::duration_cast<milliseconds>(now - asked);
    if (call->IsCallerDisconnected()) {
      co_return call->EndAsCallerDisconnected();
    }
    if (!taken.permit) {
      if (!is_first) {
        budgets_->ReturnExtraSends(*call, 1);
      }
      ++permit_refusals;
      if (chosen->max_permit_wait > kShortPermitWait) {
        break;  // the endpoint with the shortest wait cannot take the call in time
      }
      continue;
    }
    const bool may_retry = is_idempotent && call->sends + 1 < route.max_attempts;
    time_point deadline = call->Deadline();
    if (may_retry) {
      const auto attempt_timeout = route.target_latency * settings_.second_try_share;
      deadline = std::min(deadline, now + std::chrono::duration_cast<microseconds>(attempt_timeout));
    }
    attempt_outcome outcome = co_await SendAttempt(call, endpoint, *taken.permit, deadline, may_retry);
    avoid.push_back(endpoint.name);
    if (outcome.result == attempt_result::kNotSent) {
      ++connect_failures;
      continue;
    }
    ++call->sends;
    call->endpoints += (call->endpoints.empty() ? "" : ",") + endpoint.name.value;
    if (outcome.is_streamed) {
      co_return outcome.call_result;
    }
    if (outcome.result == attempt_result::kAnswered) {
      const bool is_server_error = outcome.response.status >= kFirstServerError;
      if (!is_server_error || !may_retry) {
        co_return co_await ForwardResponse(call, outcome);
      }
      error_response = std::move(outcome);
    } else if (outcome.result == attempt_result::kMayHaveRun) {
      may_have_run = true;
      call->reason = outcome.failure;
      if (!is_idempotent) {
        break;
      }
    } else if (outcome.result == attempt_result::kCallerDisconnected) {
      co_return call->EndAsCallerDisconnected();
    }
  }
  if (error_response) {
    co_return co_await ForwardResponse(call, *error_response);
  }
  if (may_have_run) {
    const bool timed_out = call->TimeLeft(timer_service::Now()) <= kMinTimeLeft;
    co_return co_await call->Fail(timed_out ? 504 : 502, timed_out ? "timeout" : "endpoint_lost");
  }
  const char* reason = call->sends > 0 ? "endpoints_full" : permit_refusals > 0 ? "endpoint_limits" : "no_endpoint";
  co_return co_await call->Refuse(reason, RetryAfter(*call));
}

task<plain_calls::attempt_outcome> plain_calls::SendAttempt(direct_call_ptr call, chosen_endpoint endpoint,
                                                            send_permit permit, time_point deadline, bool may_retry) {
  attempt_outcome outcome;
  http_call upstream(client_);
  call->SetDisconnectHandler([&upstream] { upstream.Cancel(); });
  endpoint_tracker_->AddCall(endpoint.name, 1);
  suspect_tracker_->RecordStart(call->Fingerprint(), endpoint);
  const time_point begin = timer_service::Now();
  auto request = platform::MakeCallRequest(call->Forwarded(), endpoint.name, call->TimeLeft(begin));
  auto may_send = auth_->MakeSendCheck(call, endpoint_tracker_->MakeSendCheck(endpoint, permit));
  auto head = co_await upstream.Send(endpoint.address, std::move(request), deadline,
                                     MakeAttemptFilter(call->Metadata().attempt), std::move(may_send));
  std::optional<error> failure;
  if (!head) {
    failure = head.error();
    outcome.result = failure->code == error_code::kUnavailable ? attempt_result::kNotSent : attempt_result::kMayHaveRun;
  } else {
    const auto metadata = platform::ParseResponseHeaders(head.value());
    endpoint_tracker_->RecordResponse(endpoint, metadata, begin);
    outcome.response = {head.value().status, platform::ForwardedHeaders(head.value().headers), {}};
    // A response without a seal or with a content encoding is not the endpoint's own. From some statuses the caller
    // would conclude that the call has not run, which the endpoint has not stated.
    const bool is_forwardable = metadata.has_seal && !metadata.is_encoded && !metadata.proves_not_run &&
                                !ImpliesNotRun(outcome.response.status);
    // The framing does not prove that a stream of events is whole.
    const bool is_stream = call->Route().kind == call_kind::kStreaming && IsEventStream(head.value());
    event_splitter events;
    bool complete = false;
    while (!complete && !failure) {
      auto piece = co_await upstream.Read(deadline);
      if (!piece) {
        failure = piece.error();
        break;
      }
      complete = piece.value().empty();
      (void)events.Add(is_stream ? std::string_view(piece.value()) : std::string_view());
      const char* broken =
          complete && is_stream ? events.FindBrokenEnd(!call->Metadata().resume_after.empty()) : nullptr;
      if (broken != nullptr || events.IsOversized()) {
        failure = error{error_code::kClosed, broken != nullptr ? broken : "an event exceeds the maximum length"};
        break;
      }
      const bool is_long = outcome.response.body.size() + piece.value().size() > kMaxBufferedBytes;
      if (is_long && !outcome.is_streamed && !is_forwardable) {
        failure = error{error_code::kProtocol,
                        fmt::format("a body that is not passed on exceeds {} bytes", kMaxBufferedBytes)};
        break;
      }
      if (is_long && !outcome.is_streamed) {
        outcome.is_streamed = true;  // the call cannot be retried afterwards
        (void)co_await call->Exchange().StartStream(outcome.response.status, outcome.response.headers);
        deadline = call->Deadline();
      }
      outcome.response.body += piece.value();
      if (outcome.is_streamed) {
        std::string bytes = std::exchange(outcome.response.body, {});
        auto written = co_await call->Exchange().WriteChunk(std::move(bytes));
        if (!written) {
          failure = written.error();
        }
      }
    }
    if (metadata.proves_not_run) {
      outcome.result = attempt_result::kNotRun;
    } else if (failure) {
      outcome.result = attempt_result::kMayHaveRun;
    } else if (!is_forwardable) {
      outcome.result = attempt_result::kMayHaveRun;
      outcome.failure = "answer_not_genuine";
    } else {
      outcome.result = attempt_result::kAnswered;
    }
  }
  call->ClearDisconnectHandler();
  endpoint_tracker_->AddCall(endpoint.name, -1);
  if (failure) {
    outcome.failure = ErrorName(failure->code);
  }
  if (failure && failure->code == error_code::kClosed) {
    suspect_tracker_->RecordDisconnect(call->Fingerprint(), endpoint, call->Service().health_path);
  } else {
    suspect_tracker_->RecordEnd(call->Fingerprint(), endpoint, outcome.result == attempt_result::kAnswered);
  }
  if (call->IsCallerDisconnected()) {
    outcome.result = attempt_result::kCallerDisconnected;
  } else if (outcome.result == attempt_result::kNotSent) {
    if (!call->is_send_refused && endpoint_tracker_->IsPermitValid(endpoint, permit)) {
      endpoint_tracker_->RecordUnreachable(endpoint);
    }
  } else if (outcome.result == attempt_result::kMayHaveRun) {
    endpoint_tracker_->RecordFailure(endpoint);
  } else {
    endpoint_tracker_->RecordAnswer(endpoint);
  }
  if (outcome.is_streamed) {
    if (failure) {
      outcome.call_result = call->AbortResponse("answer_broken");
    } else {
      auto finished = co_await call->Exchange().FinishStream();
      outcome.call_result = finished ? call_outcome::kAnswered : call_outcome::kCallerDisconnected;
    }
  }
  if (outcome.result != attempt_result::kAnswered) {
    const std::int64_t elapsed_ms = ElapsedMs(begin, timer_service::Now());
    Events()
        .Line(kComponent, "try_failed")
        .Request(call->Metadata().attempt)
        .Add("endpoint", endpoint.name.value)
        .Add("result", static_cast<int>(outcome.result))
        .Add("failure", outcome.failure)
        .Add("detail", failure ? failure->message : "")
        .Add("reused", upstream.IsReused())
        .Add("framing", BodyFramingName(upstream.Framing()))
        .Add("may_repeat", may_retry)
        .Add("took_ms", elapsed_ms);
  }
  co_return outcome;
}

task<call_outcome> plain_calls::ForwardResponse(direct_call_ptr call, attempt_outcome& outcome) {
  auto written = co_await call->Exchange().Respond(std::move(outcome.response));
  if (!written) {
    co_return call->EndAsCallerDisconnected();
  }
  call->reason = "whole_answer";
  co_return call_outcome::kAnswered;
}

}  // namespace persimmon
