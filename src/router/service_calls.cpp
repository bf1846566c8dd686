// Sections
//   1. requests
//   2. attempts
//   3. answers
#include "router/service_calls.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "core/log.h"
#include "core/random.h"
#include "core/telemetry.h"
#include "router/dispatcher.h"
#include "store/claim_store.h"

namespace persimmon {
namespace {

const logger& Log() {
  static const logger log("router.service");
  return log;
}

constexpr double kMovingAverageWeight = 0.05;  // weight of a new call
constexpr double kMinAverageDuration = 0.005;  // seconds; scheduling delays dominate shorter calls
constexpr milliseconds kResendPeriod(200);     // a message is resent after this, in case its channel was lost
constexpr std::size_t kMaxKeyLength = 256;     // maximum length of an Idempotency-Key, in characters

// True unless the header belongs to the connection or is set by the router itself.
bool ShouldForward(const header_field& field) {
  static constexpr std::array<std::string_view, 7> kExcluded = {
      "connection", "keep-alive", "transfer-encoding", "te", "authorization", "content-length", "upgrade"};
  std::string name = field.name;
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return std::tolower(letter); });
  return std::find(kExcluded.begin(), kExcluded.end(), name) == kExcluded.end() && name != "x-request-id" &&
         name != "traceparent";
}

refusal_code ToRefusalCode(claim_error code) {
  switch (code) {
    case claim_error::kStoreUnavailable:
      return refusal_code::kStoreUnavailable;
    case claim_error::kAlreadyAnswered:
      return refusal_code::kAlreadyAnswered;
    case claim_error::kInProgress:
      return refusal_code::kInProgress;
    case claim_error::kTimeout:
      return refusal_code::kTimeout;
    case claim_error::kNone:
    case claim_error::kEndpointLost:
      return refusal_code::kEndpointLost;
  }
  return refusal_code::kEndpointLost;
}

// A call is retried on another endpoint if the endpoint was lost and the call is idempotent or did not run. After a
// conflict with another attempt, or while the store is unavailable, a retry on another endpoint would fail too.
bool CanRetryOnOtherEndpoint(const keyed_call_result& result, bool idempotent) {
  return result.code == claim_error::kEndpointLost && (idempotent || result.outcome == outcome_kind::kNotRun);
}

}  // namespace

bool IsIdempotent(const http_request& request, const pool_record& pool) {
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
    view.health_share = endpoints_->HealthShare(status->record.name, endpoint_role::kService);
    view.calls_in_progress = status->active_attempts;
    const auto report_age = std::chrono::duration_cast<microseconds>(timer_service::Now() - status->load_time);
    view.permit_wait =
        std::max(microseconds(0), microseconds(milliseconds(status->load.decode_free_in_ms)) - report_age);
    views.push_back(std::move(view));
  }
  const service_request criteria{zone_name{settings_.zone}, RandomNumber()};
  const auto index = ChooseService(views, criteria, selection_settings{});
  return index ? std::optional(views[*index].name) : std::nullopt;
}

call_service service_calls::MakeCall(const call_context& context, const pool_record& pool) const {
  const http_request& request = context.exchange->Request();
  call_service call;
  call.request = context.request;
  call.traceparent = context.traceparent;
  call.fingerprint = suspect_guard::MakeFingerprint(context.account.record.name, request.target + request.body.Text());
  call.timeout_ms = static_cast<std::uint32_t>(pool.call_timeout.count());
  call.method = request.method;
  call.target = request.target;
  call.body = request.body.Text();
  for (const header_field& field : request.headers) {
    if (ShouldForward(field)) {
      call.headers.push_back(field);
    }
  }
  call.headers.push_back({"X-Request-Id", context.request.value});
  return call;
}

task<keyed_call_result> service_calls::RunAttempt(const call_context& context, const call_service& call,
                                                  const pool_record& pool, endpoint_name endpoint, bool idempotent) {
  const std::string_view key = FindHeader(context.exchange->Request().headers, "Idempotency-Key");
  const endpoint_status* status = endpoints_->Find(endpoint);
  keyed_call keyed;
  if (!idempotent && !key.empty()) {
    // Account names and header values cannot contain a newline, so keys of different accounts never collide.
    keyed.key.value = context.account.record.name.value + "\n" + std::string(key);
  }
  keyed.endpoint = endpoint;
  keyed.incarnation = status == nullptr ? 0 : status->incarnation;
  keyed.call = call;
  keyed.timeout = pool.call_timeout;
  if (context.deadline) {
    const auto remaining = std::chrono::duration_cast<milliseconds>(*context.deadline - timer_service::Now());
    keyed.timeout = std::clamp(remaining, milliseconds(1), pool.call_timeout);
  }
  co_return co_await kernel_.Find<keyed_calls>("keyed").RunCall(std::move(keyed));
}

task<std::optional<refusal>> service_calls::Serve(call_context context, pool_record pool) {
  const bool idempotent = IsIdempotent(context.exchange->Request(), pool);
  if (FindHeader(context.exchange->Request().headers, "Idempotency-Key").size() > kMaxKeyLength) {
    refusal refused{refusal_code::kBadRequest, outcome_kind::kNotRun,
                    fmt::format("The Idempotency-Key is longer than {} characters.", kMaxKeyLength)};
    co_return co_await SendRefusal(context, std::move(refused));
  }
  const call_service call = MakeCall(context, pool);
  retries_.RecordFirstAttempt(timer_service::Now());
  std::vector<endpoint_name> avoid;
  refusal reason{refusal_code::kNoEndpoint, outcome_kind::kNotRun, "No endpoint of the pool can take work.",
                 milliseconds(1'000)};
  bool may_have_run = false;
  for (std::int64_t failed_attempts = 0; failed_attempts <= settings_.max_retries; ++failed_attempts) {
    const suspect_check suspect = suspects_->Check(call.fingerprint);
    if (suspect.verdict == suspect_verdict::kRefused) {
      reason = refusal{refusal_code::kSuspectRequest, outcome_kind::kNotRun,
                       "Endpoints have crashed while they ran this request.", suspect.retry_in};
      break;
    }
    if (failed_attempts > 0 && !retries_.AllowRetry(timer_service::Now())) {
      break;
    }
    const auto endpoint = ChooseEndpoint(pool.name, avoid);
    if (!endpoint) {
      break;
    }
    keyed_call_result result = co_await RunAttempt(context, call, pool, *endpoint, idempotent);
    if (result.outcome == outcome_kind::kAnswered) {
      co_return co_await SendAnswer(context, std::move(result.answer));
    }
    Log().ForRequest(context.request.value).Info("Attempt on {} failed: {}", endpoint->value, result.message);
    may_have_run = may_have_run || result.outcome == outcome_kind::kMayHaveRun;
    reason = refusal{ToRefusalCode(result.code), result.outcome, result.message, result.retry_after};
    if (!CanRetryOnOtherEndpoint(result, idempotent)) {
      break;
    }
    avoid.push_back(*endpoint);
  }
  reason.outcome = may_have_run ? outcome_kind::kMayHaveRun : reason.outcome;
  co_return co_await SendRefusal(context, std::move(reason));
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. attempts
// ---------------------------------------------------------------------------------------------------------------------

keyed_call_callbacks service_calls::MakeCallbacks() {
  keyed_call_callbacks callbacks;
  callbacks.send = [this](claim_row target, call_service call, milliseconds timeout) {
    return SendOnce(std::move(target), std::move(call), timeout);
  };
  callbacks.request_tombstone = [this](const claim_row& target, milliseconds timeout) {
    message agent_request = cancel{target.attempt, target.incarnation, true};
    return QueryAgent(target.endpoint, std::move(agent_request), target.attempt, timeout);
  };
  callbacks.query = [this](const claim_row& target, bool wait, milliseconds timeout) {
    message agent_request = query_attempt{target.attempt, target.incarnation, wait};
    return QueryAgent(target.endpoint, std::move(agent_request), target.attempt, timeout);
  };
  callbacks.store = [this](claim_operation operation) {
    return kernel_.Find<claim_store>("claims").Execute(std::move(operation));
  };
  callbacks.make_attempt = [this] { return kernel_.Find<dispatcher>("dispatcher").MakeAttemptId(); };
  return callbacks;
}

task<sent_call> service_calls::SendOnce(claim_row target, call_service call, milliseconds timeout) {
  const auto replies = std::make_shared<attempt_mailbox>(kernel_.Context());
  endpoints_->Register(target.attempt, target.endpoint, replies);
  suspects_->RecordStart(call.fingerprint, target.endpoint);
  span call_span = tracer_->StartSpan("service_call", call.traceparent);
  call_span.SetAttribute("endpoint", target.endpoint.value);
  call.traceparent = call_span.Traceparent();
  call.timeout_ms = static_cast<std::uint32_t>(timeout.count());
  const time_point begin = timer_service::Now();
  sent_call sent;
  if (!endpoints_->Send(target.endpoint, call)) {
    sent.reply = call_reply::kNotSent;
  } else {
    const time_point end = timer_service::Now() + timeout;
    bool waiting = true;
    while (waiting) {
      const auto remaining = std::chrono::duration_cast<microseconds>(end - timer_service::Now());
      const auto event = co_await replies->Receive(std::max(remaining, microseconds(0)));
      if (const auto* answer = event ? std::get_if<service_answer>(&*event) : nullptr) {
        sent.reply = ClassifyAnswer(*answer);
        sent.answer = *answer;
        waiting = false;
      } else {
        waiting = event && !std::holds_alternative<channel_change>(*event);
      }
    }
  }
  if (sent.answer.reason == kReasonEngineLost) {
    suspects_->RecordCrash(target.endpoint);
  }
  // A limit is no sign of ill health.
  if (sent.answer.reason != kReasonEndpointLimit) {
    RecordCallDuration(target.endpoint, sent.reply == call_reply::kAnswered,
                       std::chrono::duration<double>(timer_service::Now() - begin).count());
  }
  call_span.failed = sent.reply != call_reply::kAnswered;
  tracer_->EndSpan(std::move(call_span));
  suspects_->RecordEnd(call.fingerprint, target.endpoint, sent.reply == call_reply::kAnswered);
  endpoints_->Unregister(target.attempt);
  co_return sent;
}

void service_calls::RecordCallDuration(const endpoint_name& endpoint, bool answered, double seconds) {
  const endpoint_status* status = endpoints_->Find(endpoint);
  if (status == nullptr) {
    return;
  }
  if (!answered) {
    endpoints_->RecordFailure(endpoint, endpoint_role::kService);
    return;
  }
  double& average = average_seconds_.try_emplace(status->record.pool, seconds).first->second;
  average += kMovingAverageWeight * (seconds - average);
  endpoints_->RecordAnswer(endpoint, endpoint_role::kService, seconds / std::max(average, kMinAverageDuration));
}

task<std::optional<attempt_status>> service_calls::QueryAgent(endpoint_name endpoint, message agent_request,
                                                              attempt_id attempt, milliseconds timeout) {
  const auto replies = std::make_shared<attempt_mailbox>(kernel_.Context());
  endpoints_->Register(attempt, endpoint, replies);
  const time_point end = timer_service::Now() + timeout;
  std::optional<attempt_status> found;
  while (!found && timer_service::Now() < end) {
    endpoints_->Send(endpoint, agent_request);
    const time_point next = std::min(end, timer_service::Now() + kResendPeriod);
    while (!found && timer_service::Now() < next) {
      const auto remaining = std::chrono::duration_cast<microseconds>(next - timer_service::Now());
      const auto event = co_await replies->Receive(std::max(remaining, microseconds(0)));
      if (event && std::holds_alternative<attempt_status>(*event)) {
        found = std::get<attempt_status>(*event);
      }
    }
  }
  endpoints_->Unregister(attempt);
  co_return found;
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. answers
// ---------------------------------------------------------------------------------------------------------------------

task<std::optional<refusal>> service_calls::SendAnswer(call_context context, service_answer answer) {
  metrics_->AddCounter("persimmon_answers_total", "Whole answers.", {{"kind", "service"}}).Increment();
  http_response response;
  response.status = static_cast<int>(answer.status);
  for (const header_field& field : answer.headers) {
    if (ShouldForward(field)) {
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
