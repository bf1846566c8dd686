#include "direct/plain_attempts.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/event_log.h"
#include "core/random.h"
#include "core/telemetry.h"
#include "persimmon/event_stream.h"

namespace persimmon {
namespace {

constexpr const char* kComponent = "router.plain";
constexpr int kFirstRedirect = 300;
constexpr milliseconds kCleanupPeriod(10'000);
constexpr double kLateShare = 0.95;  // of the response times; a slower call counts as late

// The time for which a stream occupies an endpoint is decided by its events, so streams do not wait for room.
bool IsGated(const plain_attempt& attempt) {
  return attempt.is_adaptive && attempt.call->Route().kind != call_kind::kStreaming;
}

endpoint_incarnation IncarnationOf(const chosen_endpoint& endpoint) { return {endpoint.name, endpoint.started_ms}; }

}  // namespace

void plain_attempts::Start() {
  auth_ = &kernel_.Find<caller_auth>("auth");
  endpoint_tracker_ = &kernel_.Find<endpoint_tracker>("board");
  gate_.Start();
  sender_.Start();
  suspect_tracker_ = &kernel_.Find<suspect_tracker>("crashes");
  origins_ = &kernel_.Find<origin_tracker>("origins");
  answers_ = &kernel_.Find<answer_memory>("answers");
  metrics_ = &kernel_.Find<telemetry>("telemetry").Metrics();
  cleanup_timer_ = kernel_.Timers().SubscribeEvery(kCleanupPeriod, 0.1, [this] {
    for (auto& [service, estimates] : estimates_) {
      estimates.RemoveIdle(timer_service::Now());
    }
    std::erase_if(estimates_, [](const auto& item) { return item.second.EndpointCount() == 0; });
  });
}

call_estimates& plain_attempts::Estimates(const std::string& service) {
  const auto found = estimates_.find(service);
  if (found != estimates_.end()) {
    return found->second;
  }
  estimate_settings settings;
  settings.probe_share = settings_.probe_share;
  settings.slow_memory = settings_.slow_memory;
  settings.load_memory = settings_.load_memory;
  return estimates_.emplace(service, settings).first->second;
}

milliseconds plain_attempts::RetryAfter(const direct_call& call) const {
  const auto jittered = std::chrono::duration_cast<milliseconds>(settings_.plain_retry_after * (1 + RandomUnit()));
  const auto endpoints = endpoint_tracker_->ListEndpoints(call.Service().name, std::nullopt);
  return endpoint_tracker_->TimeUntilOpen(endpoints) + jittered;
}

// Excludes endpoints without room. If none has room, changes nothing and returns false.
bool plain_attempts::ExcludeBusy(const std::vector<chosen_endpoint>& endpoints,
                                 std::vector<endpoint_view>& views) const {
  std::vector<bool> has_room(views.size());
  bool any_has_room = false;
  for (std::size_t i = 0; i < views.size(); ++i) {
    has_room[i] = gate_.Room(endpoints[i]) > 0;
    any_has_room = any_has_room || (views[i].can_receive && has_room[i]);
  }
  for (std::size_t i = 0; i < views.size() && any_has_room; ++i) {
    views[i].can_receive = views[i].can_receive && has_room[i];
  }
  return any_has_room;
}

std::optional<plain_attempts::choice> plain_attempts::Choose(const direct_call& call,
                                                             const std::vector<endpoint_name>& avoid, bool is_adaptive,
                                                             const zone_name& avoided_zone) {
  const auto endpoints = endpoint_tracker_->ListEndpoints(call.Service().name, std::nullopt);
  auto views = endpoint_tracker_->PlainViews(endpoints, avoid);
  const time_point now = timer_service::Now();
  std::optional<call_choice> chosen;
  if (is_adaptive) {
    if (call.Route().kind != call_kind::kStreaming && !ExcludeBusy(endpoints, views) && call.sends > 0) {
      return std::nullopt;  // a further attempt would add to the load that makes the first one slow
    }
    const call_request request{settings_.deployment.zone, avoided_zone, RandomNumber()};
    chosen = Estimates(call.Service().name).Choose(views, request, now);
  } else {
    const service_request request{settings_.deployment.zone, RandomNumber()};
    if (const auto index = ChooseService(views, request, selection_settings{})) {
      chosen = call_choice{*index, microseconds(0)};
    }
  }
  if (!chosen) {
    return std::nullopt;
  }
  choice result{endpoints[chosen->index], kShortPermitWait, chosen->predicted};
  const auto takes_calls_now = [](const endpoint_view& view) {
    return view.can_receive && view.health_share > 0 && view.permit_wait == microseconds(0);
  };
  if (std::count_if(views.begin(), views.end(), takes_calls_now) <= 1) {
    // No other endpoint takes the call now. It may wait as long as it can still meet its target.
    const time_point latest = std::min(call.Arrival() + call.Route().target_latency, call.Deadline() - kMinTimeLeft);
    result.max_permit_wait = std::chrono::duration_cast<milliseconds>(std::max(latest, now) - now);
  }
  return result;
}

bool plain_attempts::IsTooLate(const direct_call& call, const std::vector<endpoint_name>& avoid) {
  const auto endpoints = endpoint_tracker_->ListEndpoints(call.Service().name, std::nullopt);
  const auto views = endpoint_tracker_->PlainViews(endpoints, avoid);
  const time_point now = timer_service::Now();
  const auto shortest = Estimates(call.Service().name).FindOverload(views, call.TimeLeft(now), now);
  if (shortest) {
    Events()
        .Line(kComponent, "too_late")
        .Request(call.Metadata().attempt)
        .Add("predicted_ms", std::chrono::duration_cast<milliseconds>(*shortest).count())
        .Add("left_ms", call.TimeLeft(now).count())
        .Add("endpoints", views.size())
        .Add("sends", call.sends);
  }
  return shortest.has_value();
}

microseconds plain_attempts::SecondAttemptDelay(const direct_call& call) {
  const auto share_of_target = call.Route().target_latency * settings_.second_try_share;
  return std::max(std::chrono::duration_cast<microseconds>(share_of_target),
                  Estimates(call.Service().name).ResponseTime(kLateShare));
}

task<attempt_outcome> plain_attempts::Send(plain_attempt_ptr attempt) {
  attempt_outcome outcome;
  outcome.memory = answers_->NewShare();
  RecordStart(*attempt);
  const direct_call_ptr call = attempt->call;
  auto request = platform::MakeCallRequest(call->Forwarded(), attempt->endpoint.name, call->TimeLeft(attempt->begin));
  auto check = auth_->MakeSendCheck(call, endpoint_tracker_->MakeSendCheck(attempt->endpoint, attempt->permit));
  auto may_send = [raw = attempt.get(), check = std::move(check)] {
    const bool is_allowed = !raw->is_cancelled && check();
    raw->is_send_refused = raw->call->is_send_refused;
    return is_allowed;
  };
  auto reply = co_await sender_.Send(attempt->upstream, call, attempt->endpoint, std::move(request), attempt->deadline,
                                     std::move(may_send));
  if (reply) {
    co_await ReadResponse(attempt, reply.value(), outcome);
  } else {
    outcome.broken = reply.error();
    outcome.result = HadNoEffect(reply.error().code) ? attempt_result::kNotSent : attempt_result::kMayHaveRun;
  }
  RecordEnd(*attempt, outcome);
  if (outcome.is_streamed) {
    co_await FinishStream(attempt, outcome);
  }
  if (outcome.result != attempt_result::kAnswered) {
    LogFailure(*attempt, outcome);
  }
  co_return outcome;
}

task<> plain_attempts::ReadResponse(plain_attempt_ptr attempt, const endpoint_reply& reply, attempt_outcome& outcome) {
  const platform::response_metadata& metadata = reply.metadata;
  endpoint_tracker_->RecordResponse(attempt->endpoint, metadata, attempt->begin);
  const bool is_not_run = reply.verdict == reply_verdict::kNotRun;
  const bool is_genuine = (metadata.has_seal || is_not_run) && !metadata.is_misdirected;
  if (attempt->is_adaptive && is_genuine) {
    const server_load report{metadata.running, metadata.waiting, metadata.slots, metadata.work_time_percent};
    Estimates(attempt->call->Service().name)
        .RecordReport(IncarnationOf(attempt->endpoint), report, timer_service::Now());
    if (IsGated(*attempt)) {
      gate_.RecordResponse(attempt->endpoint, {is_not_run, metadata.waiting, metadata.slots});
    }
  }
  outcome.response = {reply.head.status, platform::ForwardedHeaders(reply.head.headers), {}};
  // A response without a seal or with a content encoding is not the endpoint's own. From an unproven refusal the caller
  // would conclude that the call has not run.
  const bool is_forwardable = metadata.has_seal && !metadata.is_encoded && reply.verdict == reply_verdict::kResponse;
  // The framing does not prove that a stream of events is whole.
  const bool may_be_stream = attempt->call->Route().kind == call_kind::kStreaming && reply.head.status < kFirstRedirect;
  const bool is_stream = may_be_stream && IsEventStreamType(FindHeader(reply.head.headers, "Content-Type"));
  if (may_be_stream && !is_stream && !attempt->call->Metadata().resume_after.empty()) {
    outcome.broken = error{error_code::kProtocol, "the continuation of a stream is no stream of events"};
  }
  co_await ReadBody(attempt, is_forwardable, is_stream, outcome);
  if (is_not_run) {
    outcome.result = attempt_result::kNotRun;
  } else if (outcome.broken) {
    outcome.result = attempt_result::kMayHaveRun;
  } else if (!is_forwardable) {
    outcome.result = attempt_result::kMayHaveRun;
    outcome.failure = IsUnprovenRefusal(reply.verdict) ? "refusal_unproven" : "answer_not_genuine";
  } else {
    outcome.result = attempt_result::kAnswered;
  }
}

task<> plain_attempts::ReadBody(plain_attempt_ptr attempt, bool is_forwardable, bool is_stream,
                                attempt_outcome& outcome) {
  const direct_call_ptr call = attempt->call;
  event_splitter events(platform::kEventWeightVersion);
  events.TakeUp(call->Metadata().resume_after);
  events.BeginRun(numberings_.Find(call->Service().name, attempt->endpoint));
  bool complete = false;
  while (!complete && !outcome.broken) {
    auto piece = co_await attempt->upstream.Read(attempt->deadline);
    if (!piece) {
      outcome.broken = piece.error();
      break;
    }
    complete = piece.value().empty();
    std::string bytes = std::move(piece.value());
    const char* broken = nullptr;
    if (is_stream) {
      bytes = events.Add(bytes);
      broken = events.FindFault();
    }
    if (is_stream && complete && broken == nullptr) {
      broken = events.FindBrokenEnd(false);
      bytes = broken == nullptr ? events.TakeEnd() : std::string();
    }
    if (complete && is_forwardable && attempt->upstream.Framing() == body_framing::kConnectionEnd) {
      const bool is_gone = co_await suspect_tracker_->HasCrashed(attempt->endpoint, call->Service().health_path);
      if (is_gone) {
        outcome.broken = error{error_code::kClosed, "the endpoint is gone at the end of a body without framing"};
        break;
      }
    }
    if (broken != nullptr || events.IsOversized()) {
      const auto code = events.FindFault() != nullptr ? error_code::kProtocol : error_code::kClosed;
      outcome.broken = error{code, broken != nullptr ? broken : "an event exceeds the maximum length"};
      break;
    }
    const std::size_t body_bytes = outcome.response.body.size() + bytes.size();
    const bool has_memory = outcome.memory.Resize(body_bytes + events.Incomplete().size());
    if (!has_memory && (outcome.is_streamed || !events.Incomplete().empty())) {
      outcome.broken = error{error_code::kProtocol, kNoAnswerMemory};
      break;
    }
    const bool is_long = body_bytes > kMaxBufferedBytes || !has_memory;
    if (is_long && !outcome.is_streamed && !is_forwardable) {
      outcome.broken = error{error_code::kProtocol, "a body that is not passed on is too long to be buffered"};
      break;
    }
    if (is_long && !outcome.is_streamed && attempt->may_stream && !attempt->may_stream(outcome.response.status)) {
      outcome.is_dropped = true;
      outcome.broken = error{error_code::kCancelled, "a long body was not needed"};
      break;
    }
    if (is_long && !outcome.is_streamed) {
      outcome.is_streamed = true;  // the call cannot be retried afterwards
      RecordOrigin(*call, outcome.response.status);
      (void)co_await call->Exchange().StartStream(outcome.response.status, outcome.response.headers);
      attempt->deadline = call->Deadline();
    }
    outcome.response.body += bytes;
    if (outcome.is_streamed) {
      bytes = std::exchange(outcome.response.body, {});
      auto written = co_await call->Exchange().WriteChunk(std::move(bytes));
      if (!written) {
        outcome.broken = written.error();
      }
    }
  }
  if (is_stream && is_forwardable) {
    numberings_.Record(call->Service().name, attempt->endpoint, events.Sequence().Sample());
  }
}

task<> plain_attempts::FinishStream(plain_attempt_ptr attempt, attempt_outcome& outcome) {
  if (outcome.broken) {
    outcome.call_result = attempt->call->AbortResponse("answer_broken");
    co_return;
  }
  auto finished = co_await attempt->call->Exchange().FinishStream();
  outcome.call_result = finished ? call_outcome::kAnswered : call_outcome::kCallerDisconnected;
}

void plain_attempts::RecordOrigin(const direct_call& call, int status) {
  if (call.Route().kind == call_kind::kStreaming && call.Route().resumable && status < kFirstRedirect) {
    origins_->RecordFirstEvent(call, {});
  }
}

void plain_attempts::RecordStart(plain_attempt& attempt) {
  endpoint_tracker_->AddCall(attempt.endpoint.name, 1);
  suspect_tracker_->RecordStart(attempt.call->Fingerprint(), attempt.endpoint);
  attempt.begin = timer_service::Now();
  if (IsGated(attempt)) {
    gate_.RecordStart(attempt.endpoint);
  }
  // The duration of a stream is decided by its events, so it says nothing about the speed of the endpoint.
  if (attempt.is_adaptive && attempt.call->Route().kind != call_kind::kStreaming) {
    attempt.estimate_id =
        Estimates(attempt.call->Service().name).RecordStart(IncarnationOf(attempt.endpoint), attempt.begin);
  }
}

void plain_attempts::RecordEnd(const plain_attempt& attempt, attempt_outcome& outcome) {
  const direct_call_ptr& call = attempt.call;
  endpoint_tracker_->AddCall(attempt.endpoint.name, -1);
  if (outcome.broken) {
    outcome.failure = ErrorName(outcome.broken->code);
  }
  if (outcome.broken && outcome.broken->code == error_code::kClosed) {
    suspect_tracker_->RecordDisconnect(call->Fingerprint(), attempt.endpoint, call->Service().health_path);
  } else {
    suspect_tracker_->RecordEnd(call->Fingerprint(), attempt.endpoint, outcome.result == attempt_result::kAnswered);
  }
  RecordEstimate(attempt, outcome);
  RecordHealth(attempt, outcome);
  if (IsGated(attempt)) {
    gate_.RecordEnd(call->Service().name, attempt.endpoint);
  }
}

void plain_attempts::RecordHealth(const plain_attempt& attempt, attempt_outcome& outcome) {
  const bool is_cut = outcome.broken && outcome.broken->code == error_code::kCancelled;
  if (attempt.call->IsCallerDisconnected()) {
    outcome.result = attempt_result::kCallerDisconnected;
  } else if (outcome.result == attempt_result::kNotSent) {
    if (!attempt.is_cancelled && !attempt.is_send_refused &&
        endpoint_tracker_->IsPermitValid(attempt.endpoint, attempt.permit)) {
      endpoint_tracker_->RecordUnreachable(attempt.endpoint, *outcome.broken);
    }
  } else if (outcome.result == attempt_result::kMayHaveRun && is_cut && (attempt.is_cancelled || outcome.is_dropped)) {
    outcome.result = attempt_result::kCancelled;  // not a failure of the endpoint
  } else if (outcome.result == attempt_result::kMayHaveRun) {
    endpoint_tracker_->RecordFailure(attempt.endpoint);
  } else {
    endpoint_tracker_->RecordAnswer(attempt.endpoint);
  }
}

void plain_attempts::RecordEstimate(const plain_attempt& attempt, const attempt_outcome& outcome) {
  if (attempt.estimate_id == 0) {
    return;
  }
  const bool is_cut = outcome.broken &&
                      (outcome.broken->code == error_code::kCancelled || outcome.broken->code == error_code::kTimeout);
  const bool is_good = outcome.result == attempt_result::kAnswered && outcome.response.status < kFirstServerError;
  call_end end = call_end::kNoSample;
  if (is_good && !outcome.is_streamed) {
    end = call_end::kAnswered;
  } else if (is_cut && !outcome.is_streamed && !outcome.is_dropped) {
    end = call_end::kAbandoned;
  } else if (outcome.result == attempt_result::kNotRun) {
    end = call_end::kRejected;
  }
  const std::string& service = attempt.call->Service().name;
  const time_point now = timer_service::Now();
  Estimates(service).RecordEnd(IncarnationOf(attempt.endpoint), attempt.estimate_id, end, now);
  if (end == call_end::kAnswered) {
    const metric_labels labels = {{"service", service}};
    metrics_
        ->AddLatencyHistogram("persimmon_plain_predicted_seconds", "Predicted response time of answered plain calls.",
                              labels)
        .Record(attempt.predicted);
    metrics_->AddLatencyHistogram("persimmon_plain_finish_seconds", "Response time of the same calls.", labels)
        .Record(std::chrono::duration_cast<microseconds>(now - attempt.begin));
  }
}

void plain_attempts::LogFailure(const plain_attempt& attempt, const attempt_outcome& outcome) const {
  const std::int64_t elapsed_ms = ElapsedMs(attempt.begin, timer_service::Now());
  Events()
      .Line(kComponent, "try_failed")
      .Request(attempt.call->Metadata().attempt)
      .Add("endpoint", attempt.endpoint.name.value)
      .Add("result", static_cast<int>(outcome.result))
      .Add("failure", outcome.failure)
      .Add("detail", outcome.broken ? outcome.broken->message : "")
      .Add("reused", attempt.upstream.IsReused())
      .Add("framing", BodyFramingName(attempt.upstream.Framing()))
      .Add("may_repeat", attempt.may_retry)
      .Add("predicted_ms", std::chrono::duration_cast<milliseconds>(attempt.predicted).count())
      .Add("took_ms", elapsed_ms);
}

task<call_outcome> plain_attempts::Forward(direct_call_ptr call, attempt_outcome& outcome) {
  RecordOrigin(*call, outcome.response.status);
  auto written = co_await call->Exchange().Respond(std::move(outcome.response));
  if (!written) {
    co_return call->EndAsCallerDisconnected();
  }
  call->reason = "whole_answer";
  co_return call_outcome::kAnswered;
}

}  // namespace persimmon
