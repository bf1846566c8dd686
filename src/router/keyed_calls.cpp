// Sections
//   1. agent replies
//   2. one call
//   3. service
#include "router/keyed_calls.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "core/log.h"
#include "core/mailbox.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. agent replies
// ---------------------------------------------------------------------------------------------------------------------

call_reply ClassifyAnswer(const service_answer& answer) {
  switch (answer.outcome) {
    case outcome_kind::kAnswered:
      return call_reply::kAnswered;
    case outcome_kind::kNotRun:
      return call_reply::kNotRun;
    case outcome_kind::kMayHaveRun:
      return call_reply::kMayHaveRun;
  }
  return call_reply::kMayHaveRun;
}

attempt_report_status ClassifyStatus(const std::optional<attempt_status>& status) {
  if (!status) {
    return attempt_report_status::kUnreachable;
  }
  switch (status->phase) {
    case attempt_phase::kUnknown:
      return attempt_report_status::kUnknown;
    case attempt_phase::kTombstoned:
      return attempt_report_status::kNotRun;
    case attempt_phase::kRunning:
      return attempt_report_status::kRunning;
    case attempt_phase::kWrongIncarnation:
      return attempt_report_status::kOtherIncarnation;
    case attempt_phase::kDone:
      break;
  }
  if (!status->has_answer) {
    return attempt_report_status::kDone;
  }
  switch (ClassifyAnswer(status->answer)) {
    case call_reply::kAnswered:
      return attempt_report_status::kAnswered;
    case call_reply::kNotRun:
      return attempt_report_status::kNotRun;
    default:
      return attempt_report_status::kFailed;
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. one call
// ---------------------------------------------------------------------------------------------------------------------

namespace {

const logger& Log() {
  static const logger log("router.keyed");
  return log;
}

std::string OutcomeMessage(const end_claim& end) {
  const bool not_run = end.outcome == outcome_kind::kNotRun;
  switch (end.code) {
    case claim_error::kNone:
      return "";
    case claim_error::kStoreUnavailable:
      return "The call was not sent because its key could not be recorded.";
    case claim_error::kAlreadyAnswered:
      return "The call with this key has ended and its answer is no longer kept.";
    case claim_error::kInProgress:
      return not_run ? "Another attempt with this key came first; this one was not sent."
                     : "Another attempt with this key is running.";
    case claim_error::kEndpointLost:
      return not_run ? "The endpoint did not run the call." : "The endpoint was lost; the call may have run.";
    case claim_error::kTimeout:
      return not_run ? "The call did not start in time." : "The call did not end in time and may have run.";
  }
  return "";
}

task<> DeliverResult(task<claim_result> work, std::shared_ptr<mailbox<claim_result>> results) {
  claim_result value = co_await std::move(work);
  results->Push(std::move(value));
}

task<> IgnoreResult(task<claim_result> work) { (void)co_await std::move(work); }

}  // namespace

struct keyed_calls::state {
  state(timer_service& timers, asio::io_context& context, keyed_call_settings settings, keyed_call_callbacks callbacks)
      : timers(timers), context(context), settings(settings), callbacks(std::move(callbacks)) {}

  using result_mailbox_ptr = std::shared_ptr<mailbox<keyed_call_result>>;

  // Records the end of an attempt and notifies the calls that wait for it.
  void RecordEnd(const keyed_call_result& result) {
    const auto found = running.find(result.attempt);
    if (found != running.end()) {
      const std::vector<result_mailbox_ptr> waiting = std::move(found->second);
      running.erase(found);
      for (const result_mailbox_ptr& results : waiting) {
        results->Push(result);
      }
    }
    if (result.outcome == outcome_kind::kNotRun && not_run.insert(result.attempt).second) {
      not_run_order.push_back(result.attempt);
    }
    while (not_run_order.size() > settings.max_remembered_attempts) {
      not_run.erase(not_run_order.front());
      not_run_order.pop_front();
    }
  }

  timer_service& timers;
  asio::io_context& context;
  keyed_call_settings settings;
  keyed_call_callbacks callbacks;
  std::unordered_map<attempt_id, std::vector<result_mailbox_ptr>> running;  // own attempts in progress, with waiters
  std::unordered_set<attempt_id> not_run;                                   // own ended attempts that will never run
  std::deque<attempt_id> not_run_order;                                     // same ids, oldest first
};

namespace {

// Executes the actions of one attempt. The object lives in the coroutine frame of RunCall.
template <class shared_state>
class call_runner {
 public:
  call_runner(shared_state shared, keyed_call call)
      : shared_(std::move(shared)),
        call_(std::move(call)),
        started_at_(timer_service::Now()),
        deadline_(started_at_ + call_.timeout) {}

  task<keyed_call_result> Run() {
    claim_row own;
    own.key = call_.key;
    own.attempt = shared_->callbacks.make_attempt();
    own.endpoint = call_.endpoint;
    own.incarnation = call_.incarnation;
    result_.attempt = own.attempt;
    if (own.incarnation == 0) {
      Finish({outcome_kind::kNotRun, claim_error::kEndpointLost});
      co_return std::move(result_);
    }
    shared_->running[own.attempt];
    call_.call.attempt = own.attempt;
    call_.call.incarnation = own.incarnation;
    const bool has_key = !own.key.empty();
    claim_transition next = has_key ? StepClaim(MakeClaimState(own), claim_started{}) : StartWithoutClaim(own);
    while (!ended_) {
      if (next.actions.empty()) {
        AbortProgram("Internal error: a claim ended without an outcome.");
      }
      std::optional<claim_event> event;
      for (const claim_action& action : next.actions) {
        auto reported = co_await Execute(action);
        if (reported) {
          event = std::move(reported);
        }
      }
      if (!ended_) {
        // Every action except the last one of an attempt produces an event.
        next = StepClaim(next.state, event.value_or(claim_event(deadline_passed{})));
      }
    }
    shared_->RecordEnd(result_);
    co_return std::move(result_);
  }

 private:
  task<std::optional<claim_event>> Execute(claim_action action) {
    std::optional<claim_event> event;
    if (const auto* end = std::get_if<end_claim>(&action)) {
      Finish(*end);
    } else if (std::holds_alternative<finish_claim>(action)) {
      claim_operation operation = MakeClaimOperation(action);
      asio::co_spawn(shared_->context, IgnoreResult(shared_->callbacks.store(std::move(operation))), asio::detached);
    } else if (const auto* send = std::get_if<send_call>(&action)) {
      event = co_await Send(*send);
    } else if (const auto* tombstone = std::get_if<request_tombstone>(&action)) {
      claim_row row = tombstone->row;
      // GCC 12 miscompiles a conditional expression with co_await.
      if (IsLocalAttempt(row)) {
        event = co_await AwaitLocalAttempt(std::move(row));
      } else {
        event = co_await RequestTombstone(std::move(row));
      }
    } else if (const auto* query = std::get_if<query_attempt_status>(&action)) {
      event = co_await Query(*query);
    } else {
      claim_operation operation = MakeClaimOperation(action);
      event = co_await ExecuteInStore(std::move(operation));
    }
    co_return event;
  }

  task<claim_event> ExecuteInStore(claim_operation operation) {
    const auto results = std::make_shared<mailbox<claim_result>>(shared_->context);
    task<claim_result> work = shared_->callbacks.store(std::move(operation));
    asio::co_spawn(shared_->context, DeliverResult(std::move(work), results), asio::detached);
    auto value = co_await results->Receive(RemainingTime());
    claim_event event = deadline_passed{};
    if (value) {
      event = store_replied{std::move(*value)};
    }
    co_return event;
  }

  task<claim_event> Send(send_call action) {
    claim_event event = call_replied{call_reply::kNotSent};
    if (!call_.key.empty() && shared_->settings.pause_before_send.count() > 0) {
      co_await shared_->timers.Sleep(shared_->settings.pause_before_send);
    }
    // Agents keep tombstones for a limited time. A router that was paused for longer must not send its call, because
    // the tombstone that would stop it may have expired.
    const bool is_expired = timer_service::Now() - started_at_ > shared_->settings.send_limit;
    if (is_expired) {
      Log().ForRequest(call_.call.request.value).Warning("Not sending the call: it was started too long ago.");
      co_return event;
    }
    sent_call sent = co_await shared_->callbacks.send(action.row, call_.call, RemainingMs());
    if (sent.reply == call_reply::kAnswered) {
      result_.answer = std::move(sent.answer);
    }
    event = call_replied{sent.reply};
    if (sent.reply == call_reply::kLost && RemainingMs().count() == 0) {
      event = deadline_passed{};
    }
    co_return event;
  }

  task<claim_event> RequestTombstone(claim_row row) {
    auto status = co_await shared_->callbacks.request_tombstone(row, shared_->settings.agent_reply_timeout);
    claim_event event = MakeReport(row, std::move(status));
    co_return event;
  }

  // True for another attempt of this router that is in progress or known not to have run. No tombstone is requested for
  // an attempt in progress: the endpoint directory delivers the agent's messages about an attempt to one mailbox only,
  // so the request would take over the replies for which that attempt waits.
  bool IsLocalAttempt(const claim_row& row) const {
    const bool is_other = row.attempt != result_.attempt;
    return is_other && (shared_->running.contains(row.attempt) || shared_->not_run.contains(row.attempt));
  }

  task<claim_event> AwaitLocalAttempt(claim_row row) {
    attempt_report_status finding = attempt_report_status::kNotRun;
    const auto found = shared_->running.find(row.attempt);
    if (found != shared_->running.end()) {
      const auto results = std::make_shared<mailbox<keyed_call_result>>(shared_->context);
      found->second.push_back(results);
      auto ended = co_await results->Receive(RemainingTime());
      if (!ended) {
        claim_event late = deadline_passed{};
        co_return late;
      }
      const bool was_answered = ended->outcome == outcome_kind::kAnswered;
      const bool was_not_run = ended->outcome == outcome_kind::kNotRun;
      finding = was_answered  ? attempt_report_status::kAnswered
                : was_not_run ? attempt_report_status::kNotRun
                              : attempt_report_status::kFailed;
      result_.answer = std::move(ended->answer);
    }
    claim_event event = attempt_reported{row.attempt, finding};
    co_return event;
  }

  task<claim_event> Query(query_attempt_status action) {
    // A query that does not wait is answered at once, so it is sent even if the caller's deadline is near.
    const milliseconds limit = action.wait ? RemainingMs() : shared_->settings.agent_reply_timeout;
    auto status = co_await shared_->callbacks.query(action.row, action.wait, limit);
    claim_event event = deadline_passed{};
    if (status || !action.wait || RemainingMs().count() > 0) {
      event = MakeReport(action.row, std::move(status));
    }
    co_return event;
  }

  claim_event MakeReport(const claim_row& row, std::optional<attempt_status> status) {
    const attempt_report_status finding = ClassifyStatus(status);
    if (finding == attempt_report_status::kAnswered) {
      result_.answer = std::move(status->answer);
    }
    return attempt_reported{row.attempt, finding};
  }

  void Finish(const end_claim& end) {
    ended_ = true;
    result_.outcome = end.outcome;
    result_.code = end.code;
    result_.message = OutcomeMessage(end);
    if (end.outcome != outcome_kind::kAnswered) {
      result_.answer = {};
      Log()
          .ForRequest(call_.call.request.value)
          .Info("Attempt {} ended {} with {}.", result_.attempt.value, OutcomeName(end.outcome),
                ClaimErrorName(end.code));
    }
    if (end.outcome == outcome_kind::kNotRun) {
      result_.retry_after = shared_->settings.retry_after;
    }
  }

  microseconds RemainingTime() const {
    const auto remaining = std::chrono::duration_cast<microseconds>(deadline_ - timer_service::Now());
    return std::max(remaining, microseconds(0));
  }

  milliseconds RemainingMs() const { return std::chrono::duration_cast<milliseconds>(RemainingTime()); }

  shared_state shared_;
  keyed_call call_;
  time_point started_at_;
  time_point deadline_;
  keyed_call_result result_;
  bool ended_ = false;
};

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 3. service
// ---------------------------------------------------------------------------------------------------------------------

keyed_calls::keyed_calls(timer_service& timers, asio::io_context& context, keyed_call_settings settings,
                         keyed_call_callbacks callbacks)
    : state_(std::make_shared<state>(timers, context, settings, std::move(callbacks))) {}

task<keyed_call_result> keyed_calls::RunCall(keyed_call call) {
  call_runner<std::shared_ptr<state>> runner(state_, std::move(call));
  keyed_call_result result = co_await runner.Run();
  co_return result;
}

}  // namespace persimmon
