// Sections
//   1. requests
//   2. attempts
//   3. answers
#include "router/model_calls.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/log.h"
#include "core/telemetry.h"

namespace persimmon {
namespace {

const logger& Log() {
  static const logger log("router.model");
  return log;
}

// An attempt fails if its agent's channel stays closed for this long. The agent cancels this router's work after the
// same time.
constexpr milliseconds kChannelLossTimeout(1'500);
constexpr milliseconds kPrefillCrashReportTimeout(500);  // for the prefill agent's report, after the decode failed
constexpr std::uint32_t kMinTokensForInterval = 4;       // shorter answers are too noisy to measure decode speed
constexpr milliseconds kSuspectPollPeriod(100);  // between checks for an identical suspect request that still runs
constexpr milliseconds kSuspectTimeout(10'000);  // maximum wait for the end of such a request

}  // namespace

model_calls::model_calls(kernel& services, const router_settings& settings)
    : kernel_(services),
      settings_(settings),
      retries_(retry_settings{settings.retry_share, 0.5, 20}, timer_service::Now()) {}

void model_calls::Start() {
  dispatcher_ = &kernel_.Find<dispatcher>("dispatcher");
  endpoints_ = &kernel_.Find<endpoint_directory>("endpoints");
  suspects_ = &kernel_.Find<suspect_guard>("suspects");
  parts_ = &kernel_.Find<part_guard>("parts");
  parts_->on_change = [this] { RejectWaiting(); };
  accounts_ = &kernel_.Find<account_guard>("accounts");
  metrics_ = &kernel_.Find<telemetry>("telemetry").Metrics();
  tracer_ = &kernel_.Find<telemetry>("telemetry").Tracer();
}

// ---------------------------------------------------------------------------------------------------------------------
// 1. requests
// ---------------------------------------------------------------------------------------------------------------------

guard_result<pool_record> model_calls::FindPool(const model_request& content) const {
  const auto config = kernel_.Find<config_store>("config").Current();
  const auto model = config->models.find(content.model);
  const bool adapter_matches = [&] {
    if (content.adapter.empty()) {
      return true;
    }
    const auto adapter = config->adapters.find(content.adapter);
    return adapter != config->adapters.end() && std::find(adapter->second.models.begin(), adapter->second.models.end(),
                                                          content.model) != adapter->second.models.end();
  }();
  if (model == config->models.end() || !adapter_matches) {
    return refusal{refusal_code::kUnknownModel, outcome_kind::kNotRun, "The model or its adapter is not known."};
  }
  if (content.prompt_tokens + content.max_tokens > model->second.max_context_tokens) {
    return refusal{refusal_code::kBadRequest, outcome_kind::kNotRun,
                   "Prompt and max_tokens exceed the model's context length."};
  }
  const auto pool = config->pools.find(model->second.pool);
  if (pool == config->pools.end()) {
    return refusal{refusal_code::kNoEndpoint, outcome_kind::kNotRun, "The pool of the model does not exist."};
  }
  return pool->second;
}

model_job_ptr model_calls::MakeJob(const call_context& context, const model_request& content, const pool_record& pool) {
  auto job = std::make_shared<model_job>(kernel_.Context());
  job->number = ++next_job_;
  job->request = context.request;
  job->traceparent = context.traceparent;
  job->account = context.account.record.name;
  job->account_weight = context.account.record.weight;
  job->pool = pool.name;
  job->content = content;
  job->prefix_hashes = HashPromptBlocks(content.prompt);
  job->fingerprint = suspect_guard::MakeFingerprint(job->account, context.exchange->Request().body.Text());
  job->priority = content.priority + context.account.record.priority;
  job->arrival = context.arrival;
  job->first_token_target = pool.first_token_target;
  job->caller_deadline = context.deadline;
  return job;
}

bool model_calls::AllowRetry(const call_state& call) {
  const auto failed_attempts = static_cast<std::int64_t>(call.job->failed_attempts);
  return failed_attempts <= settings_.max_retries && retries_.AllowRetry(timer_service::Now());
}

std::optional<refusal> model_calls::FindPartRefusal(const model_job& job) const {
  const auto remaining = parts_->RemainingRefusal(job.pool, job.content.shared_parts);
  if (!remaining) {
    return std::nullopt;
  }
  return refusal{refusal_code::kSuspectRequest, outcome_kind::kNotRun,
                 "Endpoints have crashed while they ran requests with one of these messages.", *remaining};
}

// Ends the wait of the jobs that must not be sent any more.
void model_calls::RejectWaiting() {
  const std::set<model_job_ptr> waiting = waiting_;
  for (const model_job_ptr& job : waiting) {
    if (FindPartRefusal(*job)) {
      dispatcher_->RemoveJob(job);
    }
  }
}

task<std::optional<refusal>> model_calls::Serve(call_context context, model_request content) {
  call_state call;
  call.context = context;
  auto pool = FindPool(content);
  call.job = MakeJob(context, content, pool ? pool.value() : pool_record{});
  call.token_interval_target = pool ? pool.value().token_interval_target : pool_record{}.token_interval_target;
  if (!pool) {
    co_return co_await SendRefusal(call, pool.error());
  }
  const std::uint64_t token_cost = content.prompt_tokens + content.max_tokens;
  auto taken = co_await accounts_->TakeTokens(context.account.record, token_cost);
  if (!taken) {
    co_return co_await SendRefusal(call, taken.error());
  }
  context.exchange->OnDisconnect([this, job = call.job] {
    job->events->Push(caller_gone{});
    dispatcher_->RemoveJob(job);
  });
  retries_.RecordFirstAttempt(timer_service::Now());
  const time_point suspect_wait_end = timer_service::Now() + kSuspectTimeout;

  while (true) {
    const suspect_check suspect = suspects_->Check(call.job->fingerprint);
    call.job->suspect = suspect.verdict != suspect_verdict::kClear;
    if (suspect.verdict == suspect_verdict::kRefused) {
      refusal refused{refusal_code::kSuspectRequest, outcome_kind::kNotRun,
                      "Endpoints have crashed while they ran this request.", suspect.retry_in};
      co_return co_await SendRefusal(call, std::move(refused));
    }
    if (auto refused = FindPartRefusal(*call.job)) {
      co_return co_await SendRefusal(call, std::move(*refused));
    }
    if (suspect.verdict == suspect_verdict::kWait) {
      if (timer_service::Now() > suspect_wait_end) {
        refusal copy_running{refusal_code::kSuspectRequest, outcome_kind::kNotRun,
                             "A copy of this request is still running.", milliseconds(2'000)};
        co_return co_await SendRefusal(call, std::move(copy_running));
      }
      co_await kernel_.Timers().Sleep(kSuspectPollPeriod);
      continue;
    }
    span queue_span = tracer_->StartSpan("queue", context.traceparent);
    waiting_.insert(call.job);
    auto slots = co_await dispatcher_->AwaitSlots(call.job);
    waiting_.erase(call.job);
    queue_span.failed = !slots;
    tracer_->EndSpan(std::move(queue_span));
    if (context.exchange->IsDisconnected() && !slots) {
      co_return std::nullopt;
    }
    auto refused = FindPartRefusal(*call.job);  // engines may have crashed meanwhile
    if (!slots || refused) {
      if (slots) {
        ReleaseSlots(slots.value());
      }
      if (call.job->failed_attempts == 0) {
        accounts_->ReturnTokens(call.job->account, token_cost);
      }
      refusal reason = refused ? std::move(*refused) : slots.error();
      co_return co_await SendRefusal(call, std::move(reason));
    }
    const attempt_result end = co_await RunAttempt(call, slots.value());
    if (end == attempt_result::kCallerDisconnected) {
      co_return std::nullopt;
    }
    if (end == attempt_result::kFinished) {
      co_await SendEnd(call);
      co_return std::nullopt;
    }
    ++call.job->failed_attempts;
    call.job->resume_tokens = call.assembly.NextOffset();
    call.assembly.DiscardBuffered();
    const bool may_crash_another = call.lost_run && parts_->Board().IsSuspected(*call.lost_run);
    if (may_crash_another || !AllowRetry(call)) {
      refusal endpoint_lost{refusal_code::kEndpointLost, outcome_kind::kMayHaveRun,
                            fmt::format("The endpoint failed: {}.", call.failure), milliseconds(1'000)};
      co_return co_await SendRefusal(call, std::move(endpoint_lost));
    }
    Log()
        .ForRequest(call.job->request.value)
        .Info("Retrying from token {}: {}.", call.job->resume_tokens, call.failure);
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. attempts
// ---------------------------------------------------------------------------------------------------------------------

task<model_calls::attempt_result> model_calls::RunAttempt(call_state& call, granted_slots slots) {
  attempt_state attempt;
  attempt.slots = slots;
  attempt.started = timer_service::Now();
  const endpoint_status* prefill = endpoints_->Find(slots.prefill);
  const endpoint_status* decode = endpoints_->Find(slots.decode);
  attempt.prefill_incarnation = prefill == nullptr ? 0 : prefill->incarnation;
  attempt.decode_incarnation = decode == nullptr ? 0 : decode->incarnation;
  suspects_->RecordStart(call.job->fingerprint, slots.prefill);
  if (slots.decode != slots.prefill) {
    suspects_->RecordStart(call.job->fingerprint, slots.decode);
  }
  call.lost_run.reset();
  attempt.prefill_run = BeginRun(*call.job, slots.prefill);
  attempt.decode_run = slots.decode == slots.prefill ? attempt.prefill_run : BeginRun(*call.job, slots.decode);
  span attempt_span = tracer_->StartSpan("attempt", call.context.traceparent);
  attempt_span.SetAttribute("prefill", slots.prefill.value);
  attempt_span.SetAttribute("decode", slots.decode.value);

  start_prefill start;
  start.attempt = slots.prefill_attempt;
  start.request = call.job->request;
  start.traceparent = attempt_span.Traceparent();
  start.model = call.job->content.model;
  start.adapter = call.job->content.adapter;
  start.prompt = call.job->content.prompt;
  start.resume_tokens = call.job->resume_tokens;
  start.priority = call.job->priority;
  endpoints_->Send(slots.prefill, start);

  std::optional<attempt_result> end;
  time_point last_progress = timer_service::Now();
  while (!end) {
    // While the prefill runs, the timeout is extended by twice its predicted duration, so that long prompts do not time
    // out.
    const auto limit =
        settings_.progress_timeout + (attempt.prefill_finished ? microseconds(0) : slots.predicted_prefill * 2);
    auto event = co_await call.job->events->Receive(milliseconds(100));
    if (IsChannelLost(attempt)) {
      FailAttempt(call, attempt, attempt.prefill_channel_closed_at ? endpoint_role::kPrefill : endpoint_role::kDecode,
                  "the channel to the agent was lost");
      end = attempt_result::kFailed;
    } else if (IsDecodeFailureFinal(attempt)) {
      FailAttempt(call, attempt, endpoint_role::kDecode, fmt::format("decode failed: {}", attempt.decode_failure));
      end = attempt_result::kFailed;
    } else if (event) {
      const bool is_progress = !std::holds_alternative<channel_change>(*event);
      last_progress = is_progress ? timer_service::Now() : last_progress;
      attempt_event content = std::move(*event);
      end = co_await HandleEvent(call, attempt, std::move(content));
    } else if (timer_service::Now() - last_progress > limit) {
      FailAttempt(call, attempt, attempt.prefill_finished ? endpoint_role::kDecode : endpoint_role::kPrefill,
                  "the agent sent nothing in time");
      end = attempt_result::kFailed;
    }
  }
  attempt_span.failed = *end != attempt_result::kFinished;
  tracer_->EndSpan(std::move(attempt_span));
  EndAttempt(call, attempt, *end);
  co_return *end;
}

task<std::optional<model_calls::attempt_result>> model_calls::HandleEvent(call_state& call, attempt_state& attempt,
                                                                          attempt_event event) {
  if (std::holds_alternative<caller_gone>(event)) {
    co_return attempt_result::kCallerDisconnected;
  }
  if (const auto* change = std::get_if<channel_change>(&event)) {
    co_return HandleChannelChange(call, attempt, *change);
  }
  if (const auto* progress = std::get_if<prefill_progress>(&event)) {
    co_return HandlePrefill(call, attempt, *progress);
  }
  if (auto* chunk = std::get_if<tokens>(&event)) {
    if (chunk->attempt == attempt.slots.decode_attempt) {
      co_return co_await HandleTokens(call, attempt, std::move(*chunk));
    }
  }
  if (const auto* refused = std::get_if<slot_refused>(&event)) {
    const bool is_prefill = refused->attempt == attempt.slots.prefill_attempt;
    FailAttempt(call, attempt, is_prefill ? endpoint_role::kPrefill : endpoint_role::kDecode,
                fmt::format("the agent refused: {}", RefusalName(refused->reason)));
    co_return attempt_result::kFailed;
  }
  co_return std::nullopt;
}

std::optional<model_calls::attempt_result> model_calls::HandlePrefill(call_state& call, attempt_state& attempt,
                                                                      const prefill_progress& progress) {
  if (progress.attempt != attempt.slots.prefill_attempt) {
    return std::nullopt;  // belongs to an earlier attempt of this request
  }
  if (progress.state == work_state::kFailed || progress.state == work_state::kCancelled) {
    if (progress.reason == kReasonEngineLost) {
      suspects_->RecordCrash(attempt.slots.prefill);
      RecordCrash(call, attempt.prefill_run);
    }
    if (progress.reason == kReasonEngineUnreachable) {
      endpoints_->MarkEngineLost(attempt.slots.prefill);
    }
    FailAttempt(call, attempt, endpoint_role::kPrefill, fmt::format("prefill failed: {}", progress.reason));
    return attempt_result::kFailed;
  }
  if (!attempt.decode_started && !progress.ticket.id.empty()) {
    if (FindPartRefusal(*call.job)) {
      call.failure = "engines have crashed under a part of the prompt";
      return attempt_result::kFailed;
    }
    StartDecode(call, attempt, progress.ticket);
  }
  if (progress.state == work_state::kFinished && !std::exchange(attempt.prefill_finished, true)) {
    call.prefill_end = timer_service::Now();
    const auto duration = std::chrono::duration_cast<microseconds>(call.prefill_end - attempt.started);
    dispatcher_->OnPrefillFinished(*call.job, attempt.slots, progress.computed_tokens, duration);
    if (!attempt.decode_failure.empty()) {
      FailAttempt(call, attempt, endpoint_role::kDecode, fmt::format("decode failed: {}", attempt.decode_failure));
      return attempt_result::kFailed;
    }
  }
  return std::nullopt;
}

void model_calls::StartDecode(call_state& call, attempt_state& attempt, const kv_ticket& ticket) {
  attempt.decode_started = true;
  start_decode start;
  start.attempt = attempt.slots.decode_attempt;
  start.request = call.job->request;
  start.traceparent = call.context.traceparent;
  start.model = call.job->content.model;
  start.adapter = call.job->content.adapter;
  start.ticket = ticket;
  start.max_tokens = call.job->content.max_tokens;
  start.offset = call.assembly.NextOffset();
  start.priority = call.job->priority;
  endpoints_->Send(attempt.slots.decode, start);
}

task<std::optional<model_calls::attempt_result>> model_calls::HandleTokens(call_state& call, attempt_state& attempt,
                                                                           tokens chunk) {
  if (chunk.state == work_state::kFailed || chunk.state == work_state::kCancelled) {
    if (chunk.reason == kReasonEngineLost) {
      suspects_->RecordCrash(attempt.slots.decode);
      RecordCrash(call, attempt.decode_run);
    }
    if (chunk.reason == kReasonEngineUnreachable) {
      endpoints_->MarkEngineLost(attempt.slots.decode);
    }
    if (!attempt.prefill_finished && attempt.decode_failure.empty()) {
      // A crash of the prefill engine also makes the transfer fail. Wait for the prefill agent to report the crash: if
      // it were not counted, the request could crash one more endpoint.
      attempt.decode_failure = chunk.reason;
      attempt.decode_failed_at = timer_service::Now();
      co_return std::nullopt;
    }
    FailAttempt(call, attempt, endpoint_role::kDecode, fmt::format("decode failed: {}", chunk.reason));
    co_return attempt_result::kFailed;
  }
  const accepted_tokens accepted = call.assembly.AcceptTokens(chunk.offset, chunk.pieces);
  parts_->Board().RecordEvents(*attempt.decode_run, call.assembly.NextOffset() - call.job->resume_tokens);
  if (!accepted.ready.empty()) {
    if (!call.first_token) {
      call.first_token = timer_service::Now();
      metrics_->AddLatencyHistogram("persimmon_first_token_seconds", "Time from arrival to the first token.")
          .Record(std::chrono::duration_cast<microseconds>(*call.first_token - call.context.arrival));
      if (attempt.prefill_finished) {
        dispatcher_->OnFirstToken(call.job->pool,
                                  std::chrono::duration_cast<microseconds>(*call.first_token - call.prefill_end));
      }
    }
    const bool delivered = co_await DeliverText(call, accepted.ready);
    if (!delivered) {
      co_return attempt_result::kCallerDisconnected;
    }
  }
  if (chunk.state == work_state::kFinished) {
    call.assembly.RecordEnd(chunk.offset + static_cast<std::uint32_t>(chunk.pieces.size()));
    call.finish_reason = chunk.reason;
  }
  if (call.assembly.IsComplete()) {
    attempt.decode_finished = true;
    parts_->Board().RecordEnd(*attempt.decode_run);
    RecordTokenInterval(call, attempt);
    co_return attempt_result::kFinished;
  }
  if (call.assembly.HasGap()) {
    endpoints_->Send(attempt.slots.decode, resume_stream{attempt.slots.decode_attempt, call.assembly.NextOffset()});
  }
  co_return std::nullopt;
}

void model_calls::RecordTokenInterval(const call_state& call, const attempt_state& attempt) {
  const std::uint32_t decoded_tokens = call.assembly.NextOffset() - call.job->resume_tokens;
  if (!call.first_token || decoded_tokens < kMinTokensForInterval || call.job->failed_attempts > 0) {
    return;
  }
  const auto elapsed = std::chrono::duration<double>(timer_service::Now() - *call.first_token);
  const double interval = elapsed.count() / (decoded_tokens - 1);
  const double target = std::chrono::duration<double>(call.token_interval_target).count();
  endpoints_->RecordAnswer(attempt.slots.decode, endpoint_role::kDecode, interval / target);
  metrics_->AddLatencyHistogram("persimmon_token_interval_seconds", "Mean time between the tokens of an answer.")
      .Record(microseconds(static_cast<std::int64_t>(interval * 1'000'000)));
}

std::optional<model_calls::attempt_result> model_calls::HandleChannelChange(call_state& call, attempt_state& attempt,
                                                                            const channel_change& change) {
  const bool is_prefill = change.endpoint == attempt.slots.prefill && !attempt.prefill_finished;
  const bool is_decode = change.endpoint == attempt.slots.decode;
  const time_point now = timer_service::Now();
  if (!change.open) {
    attempt.prefill_channel_closed_at = is_prefill ? std::optional(now) : attempt.prefill_channel_closed_at;
    attempt.decode_channel_closed_at = is_decode ? std::optional(now) : attempt.decode_channel_closed_at;
    return std::nullopt;
  }
  const bool has_restarted = (is_prefill && change.incarnation != attempt.prefill_incarnation) ||
                             (is_decode && change.incarnation != attempt.decode_incarnation);
  if (has_restarted) {
    FailAttempt(call, attempt, is_decode ? endpoint_role::kDecode : endpoint_role::kPrefill, "the agent has restarted");
    return attempt_result::kFailed;
  }
  if (is_prefill) {
    attempt.prefill_channel_closed_at.reset();
    endpoints_->Send(change.endpoint, resume_stream{attempt.slots.prefill_attempt, 0});
  }
  if (is_decode) {
    attempt.decode_channel_closed_at.reset();
    if (attempt.decode_started) {
      endpoints_->Send(change.endpoint, resume_stream{attempt.slots.decode_attempt, call.assembly.NextOffset()});
    }
  }
  return std::nullopt;
}

bool model_calls::IsChannelLost(const attempt_state& attempt) const {
  const time_point now = timer_service::Now();
  const bool prefill_lost =
      attempt.prefill_channel_closed_at && now - *attempt.prefill_channel_closed_at > kChannelLossTimeout;
  const bool decode_lost =
      attempt.decode_channel_closed_at && now - *attempt.decode_channel_closed_at > kChannelLossTimeout;
  return prefill_lost || decode_lost;
}

bool model_calls::IsDecodeFailureFinal(const attempt_state& attempt) const {
  return !attempt.decode_failure.empty() &&
         timer_service::Now() - attempt.decode_failed_at > kPrefillCrashReportTimeout;
}

void model_calls::FailAttempt(call_state& call, const attempt_state& attempt, endpoint_role role,
                              const std::string& reason) {
  const endpoint_name& endpoint = role == endpoint_role::kPrefill ? attempt.slots.prefill : attempt.slots.decode;
  call.failure = reason;
  call.job->avoid.push_back(endpoint);
  dispatcher_->OnAttemptFailed(*call.job, endpoint, role);
}

void model_calls::EndAttempt(call_state& call, attempt_state& attempt, attempt_result end) {
  const bool answered = end == attempt_result::kFinished;
  suspects_->RecordEnd(call.job->fingerprint, attempt.slots.prefill, answered);
  if (attempt.slots.decode != attempt.slots.prefill) {
    suspects_->RecordEnd(call.job->fingerprint, attempt.slots.decode, answered);
  }
  if (!attempt.prefill_finished) {
    endpoints_->Send(attempt.slots.prefill, cancel{attempt.slots.prefill_attempt, 0, false});
  }
  if (!attempt.decode_finished) {
    endpoints_->Send(attempt.slots.decode, cancel{attempt.slots.decode_attempt, 0, false});
  }
  endpoints_->Unregister(attempt.slots.prefill_attempt);
  endpoints_->Unregister(attempt.slots.decode_attempt);
}

// Gives back slots on which nothing has been started.
void model_calls::ReleaseSlots(const granted_slots& slots) {
  endpoints_->Send(slots.prefill, cancel{slots.prefill_attempt, 0, false});
  endpoints_->Send(slots.decode, cancel{slots.decode_attempt, 0, false});
  endpoints_->Unregister(slots.prefill_attempt);
  endpoints_->Unregister(slots.decode_attempt);
}

engine_run_ptr model_calls::BeginRun(const model_job& job, const endpoint_name& endpoint) {
  return parts_->BeginRun({job.pool, job.content.shared_parts, job.fingerprint, job.request.value, endpoint, 0, 0});
}

void model_calls::RecordCrash(call_state& call, const engine_run_ptr& run) {
  call.lost_run = run;
  parts_->RecordCrash(run->engine);
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. answers
// ---------------------------------------------------------------------------------------------------------------------

task<bool> model_calls::DeliverText(call_state& call, const std::vector<std::string>& pieces) {
  if (!call.job->content.stream) {
    for (const std::string& piece : pieces) {
      call.text += piece;
    }
    co_return true;
  }
  if (!std::exchange(call.stream_started, true)) {
    header_list headers = {{"Content-Type", "text/event-stream"},
                           {"Cache-Control", "no-cache"},
                           {"X-Request-Id", call.job->request.value}};
    auto started = co_await call.context.exchange->StartStream(200, std::move(headers));
    if (!started) {
      co_return false;
    }
  }
  std::string events;
  for (const std::string& piece : pieces) {
    events += FormatStreamEvent(call.job->content, call.job->request, piece, "");
  }
  auto written = co_await call.context.exchange->WriteChunk(std::move(events));
  co_return bool(written);
}

task<> model_calls::SendEnd(call_state& call) {
  metrics_->AddCounter("persimmon_answers_total", "Whole answers.", {{"kind", "model"}}).Increment();
  metrics_->AddCounter("persimmon_output_tokens_total", "Tokens of whole answers.")
      .Increment(call.assembly.NextOffset());
  if (call.stream_started) {
    std::string last = FormatStreamEvent(call.job->content, call.job->request, "", call.finish_reason) + kStreamEnd;
    auto written = co_await call.context.exchange->WriteChunk(std::move(last));
    if (written) {
      (void)co_await call.context.exchange->FinishStream();
    }
    co_return;
  }
  model_answer answer{call.text, call.assembly.NextOffset(), call.finish_reason};
  http_response response = JsonResponse(200, FormatAnswer(call.job->content, call.job->request, answer));
  response.headers.push_back({"X-Request-Id", call.job->request.value});
  (void)co_await call.context.exchange->Respond(std::move(response));
}

task<std::optional<refusal>> model_calls::SendRefusal(call_state& call, refusal reason) {
  if (call.job->failed_attempts > 0) {
    reason.outcome = outcome_kind::kMayHaveRun;
  }
  if (!call.stream_started) {
    http_response response = MakeRefusal(reason, call.job->request);
    (void)co_await call.context.exchange->Respond(std::move(response));
    co_return reason;
  }
  // The HTTP status has already been sent, so an error event tells the caller that the answer is incomplete.
  std::string event = FormatStreamError(reason, call.job->request);
  auto written = co_await call.context.exchange->WriteChunk(std::move(event));
  if (written) {
    (void)co_await call.context.exchange->FinishStream();
  }
  co_return reason;
}

}  // namespace persimmon
