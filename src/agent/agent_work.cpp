// Sections
//   1. slots
//   2. starts
//   3. prefill
//   4. decode and transfer
//   5. end, cancel, resume
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "agent/agent_state.h"
#include "persimmon/prefix_index.h"

namespace persimmon::detail {
namespace {

using json = nlohmann::json;

// Ended work is kept for this long, so that resume_stream can repeat its results. A lost channel is replaced within the
// silence limit of 1.5 s.
constexpr milliseconds kEndedRetention(5'000);

constexpr const char* kTransferStalled = "transfer_stalled";  // also the engine's reason
constexpr const char* kInvalidStream = "engine_answer_invalid";
constexpr milliseconds kCancelRetryPeriod(50);
constexpr milliseconds kLimitedCancelRetryPeriod(500);  // of an engine that states a limit
// That granted work may wait for a permit of an engine that states a limit, beyond its reservation; and before it
// fails.
constexpr milliseconds kMaxPermitDelay(500);
constexpr milliseconds kMaxPermitWait(2'000);
constexpr milliseconds kTransferPollPeriod(2);

// Weight of the newest sample in the moving averages of the engine's speed.
constexpr double kAverageWeight = 0.1;

// Intervals outside of these bounds are not decode steps: shorter ones are tokens that arrived together, longer ones
// are pauses.
constexpr microseconds kMinTokenInterval(200);
constexpr microseconds kMaxTokenInterval(2'000'000);

slot_role ToRole(slot_kind kind) { return kind == slot_kind::kPrefill ? slot_role::kPrefill : slot_role::kDecode; }

refusal_reason ToRefusalReason(slot_verdict verdict) {
  switch (verdict) {
    case slot_verdict::kLeaving:
      return refusal_reason::kLeaving;
    case slot_verdict::kWrongRole:
      return refusal_reason::kWrongRole;
    case slot_verdict::kSuspectRunning:
      return refusal_reason::kSuspectRunning;
    case slot_verdict::kDuplicate:
      return refusal_reason::kDuplicate;
    case slot_verdict::kGranted:
    case slot_verdict::kBusy:
      break;
  }
  return refusal_reason::kBusy;
}

std::uint32_t ToMilliseconds(std::chrono::nanoseconds duration) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, std::chrono::ceil<milliseconds>(duration).count()));
}

// Reason of a failed exchange with the engine. A closed connection means that the engine's process was lost. A refused
// one means that it was lost earlier, so this work cannot have caused the loss.
std::string FailureReason(const error& failure) {
  switch (failure.code) {
    case error_code::kInvalid:
      return failure.message;  // the engine's own reason
    case error_code::kClosed:
      return kReasonEngineLost;
    case error_code::kTimeout:
      return "engine_silent";
    case error_code::kUnavailable:
    case error_code::kNoResources:
      return kReasonEngineUnreachable;
    default:
      return "engine_answer_invalid";
  }
}

double MovingAverage(double old_value, double sample) { return old_value + kAverageWeight * (sample - old_value); }

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. slots
// ---------------------------------------------------------------------------------------------------------------------

void agent_state::OnReserve(const router_session& session, const reserve_slot& request) {
  const time_point now = timer_service::Now();
  if (request.role == slot_role::kService || !IsReady()) {
    const bool wrong_role = request.role == slot_role::kService;
    const auto reason = leaving      ? refusal_reason::kLeaving
                        : wrong_role ? refusal_reason::kWrongRole
                                     : refusal_reason::kNotReady;
    SendTo(session.identity, slot_refused{request.attempt, request.role, reason, ToMilliseconds(kEndedRetention)});
    return;
  }
  const milliseconds permit_wait = PredictPermitWait();
  if (permit_wait > milliseconds(request.start_in_ms) + kMaxPermitDelay) {
    SendTo(session.identity,
           slot_refused{request.attempt, request.role, refusal_reason::kBusy, ToMilliseconds(permit_wait)});
    return;
  }
  slot_request reservation;
  reservation.attempt = request.attempt;
  reservation.kind = request.role == slot_role::kPrefill ? slot_kind::kPrefill : slot_kind::kDecode;
  reservation.router = session.identity;
  reservation.start = now + milliseconds(request.start_in_ms);
  reservation.hold = milliseconds(request.hold_ms);
  reservation.latest_start = now + milliseconds(request.latest_start_ms);
  reservation.prompt_tokens = request.prompt_tokens;
  reservation.output_tokens = request.output_tokens;
  reservation.fingerprint = request.fingerprint;
  reservation.suspect = request.suspect;
  const slot_entry* existing = slots.FindEntry(request.attempt);
  if (existing != nullptr && existing->request.router == session.identity && existing->phase == slot_phase::kReserved) {
    // The earlier grant may have been lost with a channel.
    SendTo(session.identity, slot_granted{request.attempt, request.role, ToMilliseconds(existing->start - now)});
    return;
  }
  if (const auto decision = slots.ReserveSlot(reservation, now)) {
    SendSlotDecision(*decision);
  }
  ProcessSlots();
}

void agent_state::SendSlotDecision(const slot_decision& decision) {
  const slot_request& request = decision.request;
  const slot_role role = ToRole(request.kind);
  if (decision.verdict == slot_verdict::kGranted) {
    const auto start_in = ToMilliseconds(decision.start - timer_service::Now());
    SendTo(request.router, slot_granted{request.attempt, role, start_in});
    return;
  }
  const refusal_reason reason = ToRefusalReason(decision.verdict);
  log.Debug("Refused a {} slot to attempt {}: {}.", RoleName(role), request.attempt.value, RefusalName(reason));
  SendTo(request.router, slot_refused{request.attempt, role, reason, ToMilliseconds(decision.retry)});
}

// Processes everything in the slot table that is due. Work that starts or ends here may call this function again.
void agent_state::ProcessSlots() {
  if (processing_slots) {
    process_slots_again = true;
    return;
  }
  processing_slots = true;
  do {
    process_slots_again = false;
    ProcessSlotsOnce();
  } while (process_slots_again);
  processing_slots = false;
  const time_point now = timer_service::Now();
  slot_timer.Cancel();
  if (const auto due = slots.NextDue(now)) {
    const auto delay = std::chrono::ceil<microseconds>(std::max(*due, now) - now);
    slot_timer = timers.SubscribeOnce(delay + microseconds(100), [self = shared_from_this()] { self->ProcessSlots(); });
  }
}

void agent_state::ProcessSlotsOnce() {
  const time_point now = timer_service::Now();
  for (const attempt_id& attempt : slots.ExpireReservations(now)) {
    log.Info("The unused reservation of attempt {} has expired.", attempt.value);
  }
  for (const slot_decision& decision : slots.DecideBids(now)) {
    SendSlotDecision(decision);
  }
  for (const attempt_id& attempt : slots.TakeDueStarts(now)) {
    const auto found = work_items.find(attempt);
    if (found != work_items.end()) {
      StartWork(found->second);
    }
  }
  const auto openings = slots.TakeOpenings(now);
  if (openings.empty() || !IsReady()) {
    return;
  }
  for (const slot_opening& opening : openings) {
    const slot_open opening_message{ToRole(opening.kind), ++opening_sequence, ToMilliseconds(opening.start_in)};
    for (const auto& [identity, session] : sessions) {
      SendTo(identity, opening_message);
    }
  }
  SendLoadReports();
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. starts
// ---------------------------------------------------------------------------------------------------------------------

void agent_state::RefuseStart(const router_session& session, const attempt_id& attempt, bool is_prefill,
                              const std::string& reason) {
  log.Info("Attempt {} was not started: {}.", attempt.value, reason);
  if (is_prefill) {
    prefill_progress failed;
    failed.attempt = attempt;
    failed.state = work_state::kFailed;
    failed.reason = reason;
    SendTo(session.identity, failed);
    return;
  }
  tokens failed;
  failed.attempt = attempt;
  failed.state = work_state::kFailed;
  failed.reason = reason;
  SendTo(session.identity, failed);
}

void agent_state::OnStart(const router_session& session, std::variant<start_prefill, start_decode> start) {
  const time_point now = timer_service::Now();
  auto work = std::make_shared<model_work>();
  const bool is_prefill = std::holds_alternative<start_prefill>(start);
  work->attempt = std::visit([](const auto& value) { return value.attempt; }, start);
  work->request = std::visit([](const auto& value) { return value.request; }, start);
  work->start = std::move(start);
  work->router = session.identity;
  work->channel = session.channel;
  work->progress.attempt = work->attempt;
  const slot_entry* entry = slots.FindEntry(work->attempt);
  const auto kind = is_prefill ? slot_kind::kPrefill : slot_kind::kDecode;
  const bool has_slot = entry != nullptr && entry->request.router == session.identity && entry->request.kind == kind;
  switch (attempts.AcceptAttempt(work->attempt, 0, now)) {
    case accept_verdict::kRun:
      break;
    case accept_verdict::kAlreadyRunning:
    case accept_verdict::kAlreadyDone:
      return;  // a repeated message; resume_stream requests the results
    case accept_verdict::kTombstoned:
    case accept_verdict::kWrongIncarnation:
      slots.ReleaseSlot(work->attempt);
      RefuseStart(session, work->attempt, is_prefill, "tombstoned");
      ProcessSlots();
      return;
  }
  const bool may_wait = settings.accept_unreserved && !leaving && IsReady() && entry == nullptr;
  if (!has_slot && !may_wait) {
    attempts.FinishAttempt(work->attempt, "", now);
    RefuseStart(session, work->attempt, is_prefill, "no_slot");
    return;
  }
  work_items[work->attempt] = work;
  const start_verdict verdict = has_slot ? slots.StartSlot(work->attempt, TransferLeadTime(*work), now)
                                         : slots.StartUnreserved(MakeUnreservedRequest(*work, now), now);
  if (verdict == start_verdict::kStarted) {
    StartWork(work);
  }
  ProcessSlots();
}

microseconds agent_state::TransferLeadTime(const model_work& work) const {
  const auto* decode = std::get_if<start_decode>(&work.start);
  // The extra piece covers the time between the end of the prefill and the arrival of its last piece.
  return decode == nullptr ? microseconds(0) : settings.piece_time * (decode->ticket.pieces + 1);
}

slot_request agent_state::MakeUnreservedRequest(const model_work& work, time_point now) const {
  slot_request request;
  request.attempt = work.attempt;
  request.router = work.router;
  request.start = now;
  request.latest_start = now;
  if (const auto* prefill = std::get_if<start_prefill>(&work.start)) {
    request.kind = slot_kind::kPrefill;
    request.prompt_tokens = CountPromptTokens(prefill->prompt) + prefill->resume_tokens;
  } else {
    const auto& decode = std::get<start_decode>(work.start);
    request.kind = slot_kind::kDecode;
    request.output_tokens = decode.max_tokens - std::min(decode.offset, decode.max_tokens);
  }
  return request;
}

void agent_state::StartWork(const work_ptr& work) {
  if (std::exchange(work->started, true)) {
    return;
  }
  asio::co_spawn(context, work->IsPrefill() ? RunPrefill(work) : RunDecode(work), asio::detached);
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. prefill
// ---------------------------------------------------------------------------------------------------------------------

task<> agent_state::RunPrefill(work_ptr work) {
  const auto self = shared_from_this();
  start_prefill start = std::get<start_prefill>(work->start);
  span trace = traces.StartSpan("agent.prefill", start.traceparent);
  trace.SetAttribute("endpoint", settings.name);
  trace.SetAttribute("request", work->request.value);
  const time_point begin = timer_service::Now();
  std::string failure;
  http_client::line_handler on_line = [self, work, &failure](std::string_view line) {
    return self->OnPrefillLine(work, line, failure);
  };
  std::string traceparent = trace.Traceparent();
  result<void> done(error{error_code::kInvalid, kReasonEndpointLimit});
  if (co_await AcquirePermit(kMaxPermitWait)) {
    done = co_await engine.Prefill(std::move(start), std::move(traceparent), std::move(on_line));
  }
  if (failure.empty() && !done) {
    failure = FailureReason(done.error());
  }
  const bool completed = work->progress.state == work_state::kFinished;
  if (completed && work->progress.computed_tokens > 0) {
    const std::chrono::duration<double> time = timer_service::Now() - begin;
    speed.prefill_tokens_per_s =
        MovingAverage(speed.prefill_tokens_per_s, work->progress.computed_tokens / time.count());
    slots.SetSpeed(speed);
  }
  trace.failed = !completed;
  trace.SetAttribute("computed_tokens", std::to_string(work->progress.computed_tokens));
  traces.EndSpan(std::move(trace));
  const work_state state = completed         ? work_state::kFinished
                           : work->cancelled ? work_state::kCancelled
                                             : work_state::kFailed;
  EndWork(work, state, completed ? "" : failure.empty() ? kReasonEngineLost : failure);
}

// Returns false to close the connection, which makes the engine abort the prefill.
bool agent_state::OnPrefillLine(const work_ptr& work, std::string_view line, std::string& failure) {
  if (work->cancelled) {
    failure = "cancelled";
    return false;
  }
  const json value = json::parse(line, nullptr, false);
  if (!value.is_object()) {
    failure = kInvalidStream;
    return false;
  }
  prefill_progress& progress = work->progress;
  try {
    if (value.contains("error")) {
      failure = value.at("error").get<std::string>();
      return false;
    }
    if (value.contains("kv")) {
      progress.ticket = {engine.Address().Text(), value.at("kv").get<std::string>(),
                         value.at("pieces").get<std::uint32_t>()};
    } else if (value.contains("piece")) {
      ++progress.pieces_done;
      if (!value.value("cached", false)) {
        progress.computed_tokens += value.at("tokens").get<std::uint32_t>();
      }
    } else if (value.value("done", false)) {
      progress.computed_tokens = value.at("computed").get<std::uint32_t>();
      progress.cached_tokens = value.at("cached").get<std::uint32_t>();
      progress.state = work_state::kFinished;
      return true;  // EndWork sends it
    }
  } catch (const json::exception&) {
    failure = kInvalidStream;
    return false;
  }
  slots.UpdateProgress(work->attempt, progress.computed_tokens, timer_service::Now());
  SendPendingResults(work);
  ProcessSlots();
  return true;
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. decode and transfer
// ---------------------------------------------------------------------------------------------------------------------

task<> agent_state::RunDecode(work_ptr work) {
  const auto self = shared_from_this();
  const start_decode start = std::get<start_decode>(work->start);
  span transfer = traces.StartSpan("agent.transfer", start.traceparent);
  transfer.SetAttribute("endpoint", settings.name);
  transfer.SetAttribute("request", work->request.value);
  co_await AcquireTransferPermit(work);
  time_point first_token;
  std::string failure = "cancelled";
  std::string traceparent = transfer.Traceparent();
  if (!work->cancelled) {
    failure = co_await DecodeOnce(work, traceparent, first_token);
  }
  if (failure == kTransferStalled && !work->cancelled && work->produced_tokens.empty()) {
    log.ForRequest(work->request.value).Warning("A transfer has stalled and is retried once.");
    failure = co_await DecodeOnce(work, traceparent, first_token);
  }
  ReleaseTransferPermit(work);
  const time_point now = timer_service::Now();
  const bool transferred = first_token != time_point();
  const auto decode_time = transferred ? now - first_token : std::chrono::nanoseconds(0);
  transfer.failed = !transferred;
  span decode = traces.StartSpan("agent.decode", start.traceparent);
  traces.EndSpan(std::move(transfer));
  if (transferred) {
    decode.start_unix_ns -= static_cast<std::uint64_t>(std::chrono::nanoseconds(decode_time).count());
    decode.SetAttribute("endpoint", settings.name);
    decode.SetAttribute("request", work->request.value);
    decode.SetAttribute("tokens", std::to_string(work->produced_tokens.size()));
    decode.failed = !failure.empty();
    traces.EndSpan(std::move(decode));
  }
  const work_state state = failure.empty()   ? work_state::kFinished
                           : work->cancelled ? work_state::kCancelled
                                             : work_state::kFailed;
  EndWork(work, state, failure.empty() ? work->reason : failure);
}

// Runs one decode on the engine. Returns the reason of a failure, or an empty text after a complete answer.
task<std::string> agent_state::DecodeOnce(work_ptr work, std::string traceparent, time_point& first_token) {
  const auto self = shared_from_this();
  start_decode start = std::get<start_decode>(work->start);
  std::string failure;
  bool completed = false;
  http_client::line_handler on_line = [self, work, &failure, &first_token, &completed](std::string_view line) {
    const bool keep_reading = self->OnDecodeLine(work, line, failure, first_token);
    completed = completed || work->state == work_state::kFinished;
    return keep_reading;
  };
  result<void> done(error{error_code::kInvalid, kReasonEndpointLimit});
  if (co_await AcquirePermit(kMaxPermitWait)) {
    done = co_await engine.Decode(std::move(start), std::move(traceparent), std::move(on_line));
  }
  if (completed) {
    co_return std::string();
  }
  if (!failure.empty()) {
    co_return failure;
  }
  if (done) {
    co_return kReasonEngineLost;  // the stream ended without its last line
  }
  // A timeout has closed the connection, which makes the engine abort the decode.
  const bool stalled = done.error().code == error_code::kTimeout && work->produced_tokens.empty();
  co_return stalled ? kTransferStalled : FailureReason(done.error());
}

bool agent_state::OnDecodeLine(const work_ptr& work, std::string_view line, std::string& failure,
                               time_point& first_token) {
  if (work->cancelled) {
    failure = "cancelled";
    return false;
  }
  const json value = json::parse(line, nullptr, false);
  const time_point now = timer_service::Now();
  try {
    if (value.is_object() && value.contains("token")) {
      const std::uint32_t first_offset = std::get<start_decode>(work->start).offset;
      if (value.at("offset").get<std::uint32_t>() != first_offset + work->produced_tokens.size()) {
        failure = kInvalidStream;  // the engine's stream has a gap or a duplicate
        return false;
      }
      work->produced_tokens.push_back(value.at("token").get<std::string>());
    } else if (value.is_object() && value.contains("piece")) {
      return true;  // a piece of the KV cache has arrived: the transfer has not stalled
    } else if (value.is_object() && value.value("done", false)) {
      work->state = work_state::kFinished;
      work->reason = value.value("reason", "stop");
      return true;  // EndWork sends it
    } else if (value.is_object() && value.contains("error")) {
      failure = value.at("error").get<std::string>();
      return false;
    } else {
      failure = kInvalidStream;
      return false;
    }
  } catch (const json::exception&) {
    failure = kInvalidStream;
    return false;
  }
  if (first_token == time_point()) {
    first_token = now;
    ReleaseTransferPermit(work);
  } else {
    const auto interval = std::chrono::duration_cast<microseconds>(now - work->last_token);
    if (interval > kMinTokenInterval && interval < kMaxTokenInterval) {
      const double average =
          MovingAverage(static_cast<double>(speed.token_interval.count()), static_cast<double>(interval.count()));
      speed.token_interval = microseconds(static_cast<std::int64_t>(average));
      slots.SetSpeed(speed);
    }
  }
  work->last_token = now;
  slots.UpdateProgress(work->attempt, static_cast<std::uint32_t>(work->produced_tokens.size()), now);
  SendPendingResults(work);
  return true;
}

// Waits, in order of arrival, until fewer than transfers_at_once transfers are active.
task<> agent_state::AcquireTransferPermit(work_ptr work) {
  const auto self = shared_from_this();
  transfer_queue.push_back(work);
  while (!work->cancelled && (active_transfers >= settings.transfers_at_once || transfer_queue.front() != work)) {
    co_await timers.Sleep(kTransferPollPeriod);
  }
  transfer_queue.erase(std::remove(transfer_queue.begin(), transfer_queue.end(), work), transfer_queue.end());
  if (!work->cancelled) {
    ++active_transfers;
    work->has_transfer_permit = true;
  }
}

void agent_state::ReleaseTransferPermit(const work_ptr& work) {
  if (std::exchange(work->has_transfer_permit, false)) {
    --active_transfers;
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 5. end, cancel, resume
// ---------------------------------------------------------------------------------------------------------------------

void agent_state::EndWork(const work_ptr& work, work_state state, const std::string& reason) {
  work->ended = true;
  work->ended_at = timer_service::Now();
  work->state = state;
  work->reason = reason;
  work->progress.state = state;
  work->progress.reason = reason;
  attempts.FinishAttempt(work->attempt, "", work->ended_at);
  slots.ReleaseSlot(work->attempt);
  if (state == work_state::kFailed) {
    log.ForRequest(work->request.value).Warning("Attempt {} has failed: {}.", work->attempt.value, reason);
  }
  SendPendingResults(work);
  UpdateLeaving();
  ProcessSlots();
}

void agent_state::CancelWork(const work_ptr& work) {
  if (work->ended || std::exchange(work->cancelled, true)) {
    return;
  }
  if (!work->started) {
    EndWork(work, work_state::kCancelled, "cancelled");
    return;
  }
  asio::co_spawn(context, CancelOnEngine(work), asio::detached);
}

// Repeats the cancel until the engine's stream has ended, because a cancel may reach the engine before the start that
// it cancels.
task<> agent_state::CancelOnEngine(work_ptr work) {
  const auto self = shared_from_this();
  while (!work->ended && !stopped) {
    std::string id = work->attempt.value;
    limit.Charge(timer_service::NowWithSuspension());
    (void)co_await engine.CancelWork(std::move(id));
    if (!work->ended) {
      co_await timers.Sleep(limit.IsLimited() ? kLimitedCancelRetryPeriod : kCancelRetryPeriod);
    }
  }
}

// Sends the results that have not been sent on the router's current channel.
void agent_state::SendPendingResults(const work_ptr& work) {
  if (!work->channel || !work->channel->IsOpen()) {
    return;
  }
  if (work->IsPrefill()) {
    work->channel->Send(work->progress);
    return;
  }
  const bool send_end = work->ended && !work->end_sent;
  if (work->sent_count >= work->produced_tokens.size() && !send_end) {
    return;
  }
  tokens part;
  part.attempt = work->attempt;
  part.offset = std::get<start_decode>(work->start).offset + static_cast<std::uint32_t>(work->sent_count);
  part.pieces.assign(work->produced_tokens.begin() + static_cast<std::ptrdiff_t>(work->sent_count),
                     work->produced_tokens.end());
  part.state = work->ended ? work->state : work_state::kRunning;
  part.reason = work->ended ? work->reason : "";
  work->sent_count = work->produced_tokens.size();
  work->end_sent = work->ended;
  work->channel->Send(part);
}

void agent_state::OnResume(const router_session& session, const resume_stream& request) {
  const auto found = work_items.find(request.attempt);
  if (found == work_items.end() || found->second->router != session.identity) {
    RefuseStart(session, request.attempt, false, "unknown_attempt");
    return;
  }
  const work_ptr work = found->second;
  work->channel = session.channel;
  if (!work->IsPrefill()) {
    const std::uint32_t first_offset = std::get<start_decode>(work->start).offset;
    const std::size_t resume_index = request.offset > first_offset ? request.offset - first_offset : 0;
    work->sent_count = std::min(resume_index, work->produced_tokens.size());
    work->end_sent = false;
  }
  SendPendingResults(work);
}

void agent_state::RemoveEndedWork(time_point now) {
  for (auto item = work_items.begin(); item != work_items.end();) {
    const bool expired = item->second->ended && now - item->second->ended_at > kEndedRetention;
    item = expired ? work_items.erase(item) : std::next(item);
  }
}

}  // namespace persimmon::detail
