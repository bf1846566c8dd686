// Sections
//   1. calls
//   2. cancel and status
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "agent/agent_state.h"

namespace persimmon::detail {
namespace {

// After a refused connection the service is reported as not ready for this long. The agent cannot probe the service: it
// has no health path, and any other request would count as a call.
constexpr milliseconds kServiceRetryPause(1'000);

constexpr milliseconds kDefaultCallTimeout(10'000);
constexpr milliseconds kMaxPermitWait(500);  // of a call, for a service that states a limit

service_answer MakeAnswer(const attempt_id& attempt, outcome_kind outcome, const std::string& reason) {
  service_answer answer;
  answer.attempt = attempt;
  answer.outcome = outcome;
  answer.reason = reason;
  return answer;
}

std::optional<service_answer> DecodeAnswer(const std::string& encoded) {
  auto decoded = DecodeDatagram(encoded);
  if (!decoded) {
    return std::nullopt;
  }
  const auto* answer = std::get_if<service_answer>(&decoded.value());
  return answer == nullptr ? std::nullopt : std::optional(*answer);
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. calls
// ---------------------------------------------------------------------------------------------------------------------

void agent_state::OnCall(const router_session& session, const call_service& call) {
  const time_point now = timer_service::Now();
  const bool is_new = attempts.FindAttempt(call.attempt) == nullptr;
  const bool names_other_incarnation = call.incarnation != 0 && call.incarnation != incarnation;
  if (is_new && !names_other_incarnation) {
    const char* reject_reason = IsEngine()                                                          ? "wrong_role"
                                : leaving                                                           ? "leaving"
                                : !IsReady()                                                        ? "not_ready"
                                : static_cast<std::int64_t>(calls.size()) >= settings.service_calls ? "busy"
                                : PredictPermitWait() > kMaxPermitWait ? kReasonEndpointLimit
                                                                       : nullptr;
    if (reject_reason != nullptr) {
      RefuseCall(session, call, reject_reason);
      return;
    }
  }
  switch (attempts.AcceptAttempt(call.attempt, call.incarnation, now)) {
    case accept_verdict::kRun:
      calls[call.attempt].answer_recipients.insert(session.identity);
      asio::co_spawn(context, RunCall(call), asio::detached);
      return;
    case accept_verdict::kAlreadyRunning:
      calls[call.attempt].answer_recipients.insert(session.identity);
      return;
    case accept_verdict::kAlreadyDone:
      SendAnswer(session, call.attempt);
      return;
    case accept_verdict::kTombstoned:
      RefuseCall(session, call, "tombstoned");
      return;
    case accept_verdict::kWrongIncarnation:
      // The incarnation that the call names may have run an earlier copy of this call.
      SendTo(session.identity, MakeAnswer(call.attempt, outcome_kind::kMayHaveRun, "wrong_incarnation"));
      return;
  }
}

// Records a tombstone, so that a delayed copy of the call cannot run later. The answer reports not_run only if the
// tombstone was recorded.
void agent_state::RefuseCall(const router_session& session, const call_service& call, const std::string& reason) {
  const auto verdict = attempts.TombstoneAttempt(call.attempt, call.incarnation, timer_service::Now());
  const bool not_run_proven = verdict == tombstone_verdict::kConfirmed;
  log.ForRequest(call.request.value).Info("Refused a service call: {}.", reason);
  SendTo(session.identity,
         MakeAnswer(call.attempt, not_run_proven ? outcome_kind::kNotRun : outcome_kind::kMayHaveRun, reason));
}

void agent_state::SendAnswer(const router_session& session, const attempt_id& attempt) {
  const attempt_entry* entry = attempts.FindAttempt(attempt);
  if (entry != nullptr && entry->answer) {
    if (const auto answer = DecodeAnswer(*entry->answer)) {
      SendTo(session.identity, *answer);
      return;
    }
  }
  SendTo(session.identity, MakeAnswer(attempt, outcome_kind::kMayHaveRun, "answer_dropped"));
}

task<> agent_state::RunCall(call_service call) {
  const auto self = shared_from_this();
  span trace = traces.StartSpan("agent.call", call.traceparent);
  trace.SetAttribute("endpoint", settings.name);
  trace.SetAttribute("request", call.request.value);
  http_request request;
  request.method = call.method;
  request.target = call.target;
  request.headers = call.headers;
  request.body = std::move(call.body);
  if (FindHeader(request.headers, "X-Request-Id").empty()) {
    request.headers.push_back({"X-Request-Id", call.request.value});
  }
  std::erase_if(request.headers, [](const header_field& field) { return field.name == "traceparent"; });
  request.headers.push_back({"traceparent", trace.Traceparent()});
  const milliseconds timeout = call.timeout_ms == 0 ? kDefaultCallTimeout : milliseconds(call.timeout_ms);
  service_answer answer = MakeAnswer(call.attempt, outcome_kind::kAnswered, "");
  const bool is_permitted = co_await AcquirePermit(kMaxPermitWait * 2);
  const time_point sent = timer_service::Now();
  result<http_response> reply(error{error_code::kUnavailable, "the limit of the service allows no call"});
  if (is_permitted) {
    reply = co_await service.Fetch(settings.service, std::move(request), timeout);
  }
  if (reply) {
    RecordResponse(reply.value().Head(), sent);
    answer.status = static_cast<std::uint32_t>(reply.value().status);
    answer.headers = std::move(reply.value().headers);
    answer.body = std::move(reply.value().body);
  } else {
    const error_code code = reply.error().code;
    const bool not_sent = HadNoEffect(code);
    answer.outcome = not_sent ? outcome_kind::kNotRun : outcome_kind::kMayHaveRun;
    answer.reason = !is_permitted                  ? kReasonEndpointLimit
                    : code == error_code::kTimeout ? "timeout"
                    : not_sent                     ? "service_unreachable"
                                                   : kReasonEngineLost;
    log.ForRequest(call.request.value).Warning("Service call failed: {}.", reply.error().message);
    if (code == error_code::kUnavailable && is_permitted) {
      service_retry_at = timer_service::Now() + kServiceRetryPause;
      SendLoadReports();
    }
  }
  trace.failed = answer.outcome != outcome_kind::kAnswered;
  trace.SetAttribute("outcome", OutcomeName(answer.outcome));
  traces.EndSpan(std::move(trace));
  EndCall(call.attempt, answer);
}

void agent_state::EndCall(const attempt_id& attempt, const service_answer& answer) {
  attempts.FinishAttempt(attempt, EncodeFrame(answer), timer_service::Now());
  const auto found = calls.find(attempt);
  if (found == calls.end()) {
    return;
  }
  const running_call ended_call = std::move(found->second);
  calls.erase(found);
  for (const router_identity& router : ended_call.answer_recipients) {
    SendTo(router, answer);
  }
  for (const router_identity& router : ended_call.status_recipients) {
    SendTo(router, MakeStatus(attempt, 0));
  }
  UpdateLeaving();
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. cancel and status
// ---------------------------------------------------------------------------------------------------------------------

attempt_status agent_state::MakeStatus(const attempt_id& attempt, incarnation_number expected_incarnation) const {
  attempt_status status;
  status.attempt = attempt;
  status.incarnation = incarnation;
  if (expected_incarnation != 0 && expected_incarnation != incarnation) {
    status.phase = attempt_phase::kWrongIncarnation;
    return status;
  }
  const attempt_entry* entry = attempts.FindAttempt(attempt);
  if (entry == nullptr) {
    return status;
  }
  switch (entry->phase) {
    case attempt_entry_phase::kTombstoned:
      status.phase = attempt_phase::kTombstoned;
      break;
    case attempt_entry_phase::kRunning:
      status.phase = attempt_phase::kRunning;
      break;
    case attempt_entry_phase::kDone:
      status.phase = attempt_phase::kDone;
      break;
  }
  if (entry->answer) {
    if (const auto answer = DecodeAnswer(*entry->answer)) {
      status.has_answer = true;
      status.answer = *answer;
    }
  }
  return status;
}

void agent_state::OnCancel(const router_session& session, const cancel& request) {
  const time_point now = timer_service::Now();
  const auto verdict = attempts.TombstoneAttempt(request.attempt, request.incarnation, now);
  if (verdict == tombstone_verdict::kConfirmed) {
    slots.ReleaseSlot(request.attempt);
  }
  if (verdict == tombstone_verdict::kRunning && !request.tombstone_only) {
    const auto found = work_items.find(request.attempt);
    if (found != work_items.end()) {
      CancelWork(found->second);
    }
  }
  attempt_status status = MakeStatus(request.attempt, request.incarnation);
  if (verdict == tombstone_verdict::kConfirmed) {
    // A full attempt table has no entry for the tombstone; it keeps the id only in its filter of rejected attempts.
    status.phase = attempt_phase::kTombstoned;
  }
  SendTo(session.identity, status);
  ProcessSlots();
}

void agent_state::OnQuery(const router_session& session, const query_attempt& request) {
  const attempt_status status = MakeStatus(request.attempt, request.incarnation);
  const auto running = calls.find(request.attempt);
  if (request.wait && status.phase == attempt_phase::kRunning && running != calls.end()) {
    running->second.status_recipients.insert(session.identity);
    return;
  }
  SendTo(session.identity, status);
}

}  // namespace persimmon::detail
