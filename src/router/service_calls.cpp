// Sections
//   1. requests
//   2. attempts
//   3. answers
#include "router/service_calls.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/log.h"
#include "core/random.h"
#include "core/telemetry.h"
#include "router/dispatcher.h"

namespace persimmon {
namespace {

const logger& Log() {
  static const logger log("router.service");
  return log;
}

// The agent is given this long to say what became of an attempt; its channel is reopened within that time or it is
// lost.
constexpr milliseconds kSettleTimeout(1'800);
constexpr milliseconds kAskPeriod(200);

// Headers that belong to the connection or to the router itself.
bool IsForwarded(const header_field& field) {
  static constexpr std::array<std::string_view, 7> kDropped = {
      "connection", "keep-alive", "transfer-encoding", "te", "authorization", "content-length", "upgrade"};
  std::string name = field.name;
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return std::tolower(letter); });
  return std::find(kDropped.begin(), kDropped.end(), name) == kDropped.end() && name != "x-request-id" &&
         name != "traceparent";
}

}  // namespace

bool IsRepeatable(const http_request& request, const pool_record& pool) {
  if (request.method == "GET" || request.method == "HEAD") {
    return true;
  }
  return std::any_of(pool.idempotent_paths.begin(), pool.idempotent_paths.end(),
                     [&request](const std::string& prefix) { return request.target.starts_with(prefix); });
}

service_calls::service_calls(kernel& services, const router_settings& settings)
    : kernel_(services),
      settings_(settings),
      retries_(retry_settings{settings.retry_share, 0.5, 20}, timer_service::Now()) {}

void service_calls::Start() {
  endpoints_ = &kernel_.Find<endpoint_directory>("endpoints");
  suspects_ = &kernel_.Find<suspect_guard>("suspects");
  metrics_ = &kernel_.Find<telemetry>("telemetry").Metrics();
  tracer_ = &kernel_.Find<telemetry>("telemetry").Tracer();
}

// ---------------------------------------------------------------------------------------------------------------------
// 1. requests
// ---------------------------------------------------------------------------------------------------------------------

std::optional<endpoint_name> service_calls::ChooseEndpoint(const std::string& pool,
                                                           const std::vector<endpoint_name>& avoid) const {
  std::vector<endpoint_view> views;
  for (const endpoint_status* status : endpoints_->List(pool, endpoint_role::kService)) {
    const bool is_avoided = std::find(avoid.begin(), avoid.end(), status->record.name) != avoid.end();
    endpoint_view view;
    view.name = status->record.name;
    view.zone = status->record.zone;
    view.can_receive = status->open && !status->leaving && status->load.ready && status->load.sequence != 0 &&
                       !is_avoided && status->record.state == endpoint_state::kActive;
    view.calls_in_progress = status->active_attempts;
    views.push_back(std::move(view));
  }
  const service_request wanted{zone_name{settings_.zone}, RandomNumber()};
  const auto index = ChooseService(views, wanted, selection_settings{});
  return index ? std::optional(views[*index].name) : std::nullopt;
}

call_service service_calls::MakeCall(const call_context& context, const pool_record& pool) const {
  const http_request& request = context.exchange->Request();
  call_service call;
  call.request = context.request;
  call.traceparent = context.traceparent;
  call.fingerprint = suspect_guard::MakeFingerprint(context.account.record.name, request.target + request.body);
  call.timeout_ms = static_cast<std::uint32_t>(pool.call_timeout.count());
  call.method = request.method;
  call.target = request.target;
  call.body = request.body;
  for (const header_field& field : request.headers) {
    if (IsForwarded(field)) {
      call.headers.push_back(field);
    }
  }
  call.headers.push_back({"X-Request-Id", context.request.value});
  return call;
}

task<std::optional<refusal>> service_calls::Serve(call_context context, pool_record pool) {
  const bool repeatable = IsRepeatable(context.exchange->Request(), pool);
  call_service call = MakeCall(context, pool);
  retries_.NoteFirstTry(timer_service::Now());
  std::vector<endpoint_name> avoid;
  attempt_outcome last;
  last.reason = "no endpoint of the pool can take work";
  bool may_have_run = false;
  for (std::int64_t tries = 0; tries <= settings_.max_retries; ++tries) {
    const suspect_check suspect = suspects_->Check(call.fingerprint);
    if (suspect.verdict == suspect_verdict::kRefused) {
      refusal refused{refusal_code::kSuspectRequest, outcome_kind::kNotRun,
                      "Endpoints have crashed while they ran this request.", suspect.retry_in};
      refused.outcome = may_have_run ? outcome_kind::kMayHaveRun : outcome_kind::kNotRun;
      co_return co_await SendRefusal(context, std::move(refused));
    }
    if (tries > 0 && !retries_.AllowRetry(timer_service::Now())) {
      break;
    }
    const auto endpoint = ChooseEndpoint(pool.name, avoid);
    if (!endpoint) {
      break;
    }
    call.attempt = kernel_.Find<dispatcher>("dispatcher").MakeAttemptId();
    last = co_await RunAttempt(*endpoint, call, pool.call_timeout);
    if (last.outcome == outcome_kind::kAnswered) {
      service_answer answer = last.answer;
      co_return co_await SendAnswer(context, std::move(answer));
    }
    Log().ForRequest(context.request.value).Info("Attempt on {} failed: {}.", endpoint->value, last.reason);
    may_have_run = may_have_run || last.outcome == outcome_kind::kMayHaveRun;
    if (last.outcome == outcome_kind::kMayHaveRun && !repeatable) {
      break;
    }
    avoid.push_back(*endpoint);
  }
  refusal reason{last.endpoint_lost ? refusal_code::kEndpointLost : refusal_code::kNoEndpoint, outcome_kind::kNotRun,
                 fmt::format("The call failed: {}.", last.reason), milliseconds(1'000)};
  reason.outcome = may_have_run ? outcome_kind::kMayHaveRun : outcome_kind::kNotRun;
  co_return co_await SendRefusal(context, std::move(reason));
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. attempts
// ---------------------------------------------------------------------------------------------------------------------

task<attempt_outcome> service_calls::RunAttempt(endpoint_name endpoint, call_service call, milliseconds timeout) {
  const auto box = std::make_shared<attempt_mailbox>(kernel_.Context());
  const endpoint_status* status = endpoints_->Find(endpoint);
  const incarnation_number incarnation = status == nullptr ? 0 : status->incarnation;
  call.incarnation = call.incarnation == 0 ? incarnation : call.incarnation;
  attempt_outcome result;
  endpoints_->Register(call.attempt, endpoint, box);
  suspects_->NoteStart(call.fingerprint, endpoint);
  span work = tracer_->StartSpan("service_call", call.traceparent);
  work.SetAttribute("endpoint", endpoint.value);
  call.traceparent = work.Traceparent();
  if (!endpoints_->Send(endpoint, call)) {
    result.reason = "the channel to the agent is closed";
  } else {
    const time_point end = timer_service::Now() + timeout;
    bool settled = false;
    while (!settled) {
      const auto left = std::chrono::duration_cast<microseconds>(end - timer_service::Now());
      const auto event = co_await box->Receive(std::max(left, microseconds(0)));
      const auto* answer = event ? std::get_if<service_answer>(&*event) : nullptr;
      if (answer != nullptr) {
        settled = true;
        result.outcome = answer->outcome;
        result.answer = *answer;
        result.reason = answer->reason;
        result.endpoint_lost = answer->reason == kReasonEngineLost;
        if (result.endpoint_lost) {
          suspects_->NoteCrash(endpoint);
        }
      } else if (!event || std::holds_alternative<channel_change>(*event)) {
        settled = true;
        result = co_await SettleAttempt(endpoint, call.attempt, incarnation);
      }
    }
  }
  work.failed = result.outcome != outcome_kind::kAnswered;
  tracer_->EndSpan(std::move(work));
  suspects_->NoteEnd(call.fingerprint, endpoint, result.outcome == outcome_kind::kAnswered);
  endpoints_->Unregister(call.attempt);
  co_return result;
}

task<std::optional<attempt_status>> service_calls::Ask(endpoint_name endpoint, message question, attempt_id attempt,
                                                       milliseconds timeout) {
  const auto box = std::make_shared<attempt_mailbox>(kernel_.Context());
  endpoints_->Register(attempt, endpoint, box);
  const time_point end = timer_service::Now() + timeout;
  std::optional<attempt_status> found;
  while (!found && timer_service::Now() < end) {
    endpoints_->Send(endpoint, question);
    const time_point next = std::min(end, timer_service::Now() + kAskPeriod);
    while (!found && timer_service::Now() < next) {
      const auto left = std::chrono::duration_cast<microseconds>(next - timer_service::Now());
      const auto event = co_await box->Receive(std::max(left, microseconds(0)));
      if (event && std::holds_alternative<attempt_status>(*event)) {
        found = std::get<attempt_status>(*event);
      }
    }
  }
  endpoints_->Unregister(attempt);
  co_return found;
}

// The answer did not come: its time is over or the channel was lost. A tombstone proves that the call has not run and
// never will; a finished attempt still has its answer.
task<attempt_outcome> service_calls::SettleAttempt(endpoint_name endpoint, attempt_id attempt,
                                                   incarnation_number incarnation) {
  attempt_outcome result;
  result.outcome = outcome_kind::kMayHaveRun;
  message question = cancel{attempt, incarnation, true};
  const auto status = co_await Ask(endpoint, std::move(question), attempt, kSettleTimeout);
  if (!status) {
    result.reason = "the agent was lost";
    result.endpoint_lost = true;
  } else if (status->phase == attempt_phase::kTombstoned) {
    result.outcome = outcome_kind::kNotRun;
    result.reason = "the call did not start in time";
  } else if (status->phase == attempt_phase::kDone && status->has_answer) {
    result.outcome = status->answer.outcome;
    result.answer = status->answer;
    result.reason = status->answer.reason;
  } else if (status->phase == attempt_phase::kWrongIncarnation) {
    result.reason = "the agent has restarted";
    result.endpoint_lost = true;
  } else {
    result.reason = "the call did not finish in time";
  }
  co_return result;
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. answers
// ---------------------------------------------------------------------------------------------------------------------

task<std::optional<refusal>> service_calls::SendAnswer(call_context context, service_answer answer) {
  metrics_->AddCounter("persimmon_answers_total", "Whole answers.", {{"kind", "service"}}).Increment();
  http_response response;
  response.status = static_cast<int>(answer.status);
  for (const header_field& field : answer.headers) {
    if (IsForwarded(field)) {
      response.headers.push_back(field);
    }
  }
  response.headers.push_back({"X-Request-Id", context.request.value});
  response.body = std::move(answer.body);
  (void)co_await context.exchange->Respond(std::move(response));
  co_return std::nullopt;
}

task<std::optional<refusal>> service_calls::SendRefusal(call_context context, refusal reason) {
  http_response response = MakeRefusal(reason, context.request);
  (void)co_await context.exchange->Respond(std::move(response));
  co_return reason;
}

}  // namespace persimmon
