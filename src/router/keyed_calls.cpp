// Sections
//   1. words of agents
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
// 1. words of agents
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

attempt_finding ClassifyStatus(const std::optional<attempt_status>& status) {
  if (!status) {
    return attempt_finding::kUnreachable;
  }
  switch (status->phase) {
    case attempt_phase::kUnknown:
      return attempt_finding::kUnknown;
    case attempt_phase::kTombstoned:
      return attempt_finding::kNotRun;
    case attempt_phase::kRunning:
      return attempt_finding::kRunning;
    case attempt_phase::kWrongIncarnation:
      return attempt_finding::kOtherIncarnation;
    case attempt_phase::kDone:
      break;
  }
  if (!status->has_answer) {
    return attempt_finding::kDone;
  }
  switch (ClassifyAnswer(status->answer)) {
    case call_reply::kAnswered:
      return attempt_finding::kAnswered;
    case call_reply::kNotRun:
      return attempt_finding::kNotRun;
    default:
      return attempt_finding::kFailed;
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

std::string DescribeEnd(const end_claim& end) {
  const bool not_run = end.outcome == outcome_kind::kNotRun;
  switch (end.code) {
    case claim_code::kNone:
      return "";
    case claim_code::kStoreUnavailable:
      return "The call was not sent because its key could not be recorded.";
    case claim_code::kAlreadyAnswered:
      return "The call with this key has ended and its answer is no longer kept.";
    case claim_code::kInProgress:
      return not_run ? "Another attempt with this key came first; this one was not sent."
                     : "Another attempt with this key is running.";
    case claim_code::kEndpointLost:
      return not_run ? "The endpoint did not run the call." : "The endpoint was lost; the call may have run.";
    case claim_code::kTimeout:
      return not_run ? "The call did not start in time." : "The call did not end in time and may have run.";
  }
  return "";
}

task<> DeliverResult(task<claim_result> work, std::shared_ptr<mailbox<claim_result>> box) {
  claim_result value = co_await std::move(work);
  box->Push(std::move(value));
}

task<> IgnoreResult(task<claim_result> work) { (void)co_await std::move(work); }

}  // namespace

struct keyed_calls::state {
  state(timer_service& timers, asio::io_context& context, keyed_call_settings settings, keyed_call_links links)
      : timers(timers), context(context), settings(settings), links(std::move(links)) {}

  using result_box = std::shared_ptr<mailbox<keyed_call_result>>;

  // Notes the end of an attempt and tells those who wait for it.
  void NoteEnd(const keyed_call_result& result) {
    const auto found = running.find(result.attempt);
    if (found != running.end()) {
      const std::vector<result_box> waiting = std::move(found->second);
      running.erase(found);
      for (const result_box& box : waiting) {
        box->Push(result);
      }
    }
    if (result.outcome == outcome_kind::kNotRun && not_run.insert(result.attempt).second) {
      not_run_order.push_back(result.attempt);
    }
    while (not_run_order.size() > settings.kept_attempts) {
      not_run.erase(not_run_order.front());
      not_run_order.pop_front();
    }
  }

  timer_service& timers;
  asio::io_context& context;
  keyed_call_settings settings;
  keyed_call_links links;
  std::unordered_map<attempt_id, std::vector<result_box>> running;  // attempts of this router and who waits for them
  std::unordered_set<attempt_id> not_run;                           // ended ones that will never be sent or run
  std::deque<attempt_id> not_run_order;                             // oldest first
};

namespace {

// Executes the actions of one attempt. Lives in the frame of RunCall.
template <class shared_state>
class call_runner {
 public:
  call_runner(shared_state shared, keyed_call call)
      : shared_(std::move(shared)),
        call_(std::move(call)),
        begun_(timer_service::Now()),
        deadline_(begun_ + call_.timeout) {}

  task<keyed_call_result> Run() {
    claim_row own;
    own.key = call_.key;
    own.attempt = shared_->links.make_attempt();
    own.endpoint = call_.endpoint;
    own.incarnation = call_.incarnation;
    result_.attempt = own.attempt;
    if (own.incarnation == 0) {
      End({outcome_kind::kNotRun, claim_code::kEndpointLost});
      co_return std::move(result_);
    }
    shared_->running[own.attempt];
    call_.call.attempt = own.attempt;
    call_.call.incarnation = own.incarnation;
    const bool has_key = !own.key.empty();
    claim_transition next = has_key ? StepClaim(MakeClaim(own), claim_started{}) : StartWithoutClaim(own);
    while (!ended_) {
      if (next.actions.empty()) {
        StopProgram("A claim ended without an outcome.");
      }
      std::optional<claim_event> event;
      for (const claim_action& action : next.actions) {
        auto reported = co_await Execute(action);
        if (reported) {
          event = std::move(reported);
        }
      }
      if (!ended_) {
        // Every action but the last of an attempt reports an event.
        next = StepClaim(next.state, event.value_or(claim_event(deadline_passed{})));
      }
    }
    shared_->NoteEnd(result_);
    co_return std::move(result_);
  }

 private:
  task<std::optional<claim_event>> Execute(claim_action action) {
    std::optional<claim_event> event;
    if (const auto* end = std::get_if<end_claim>(&action)) {
      End(*end);
    } else if (std::holds_alternative<finish_claim>(action)) {
      claim_operation operation = MakeClaimOperation(action);
      asio::co_spawn(shared_->context, IgnoreResult(shared_->links.store(std::move(operation))), asio::detached);
    } else if (const auto* send = std::get_if<send_call>(&action)) {
      event = co_await Send(*send);
    } else if (const auto* tombstone = std::get_if<ask_tombstone>(&action)) {
      claim_row row = tombstone->row;
      // A conditional expression around co_await is miscompiled by GCC 12.
      if (IsLocal(row)) {
        event = co_await AwaitLocal(std::move(row));
      } else {
        event = co_await AskTombstone(std::move(row));
      }
    } else if (const auto* query = std::get_if<ask_status>(&action)) {
      event = co_await Query(*query);
    } else {
      claim_operation operation = MakeClaimOperation(action);
      event = co_await UseStore(std::move(operation));
    }
    co_return event;
  }

  task<claim_event> UseStore(claim_operation operation) {
    const auto box = std::make_shared<mailbox<claim_result>>(shared_->context);
    task<claim_result> work = shared_->links.store(std::move(operation));
    asio::co_spawn(shared_->context, DeliverResult(std::move(work), box), asio::detached);
    auto value = co_await box->Receive(TimeLeft());
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
    // Agents keep tombstones for a limited time: a router that was paused for long must not send its call any more.
    const bool is_late = timer_service::Now() - begun_ > shared_->settings.send_limit;
    if (is_late) {
      Log().ForRequest(call_.call.request.value).Warning("The call is not sent: its claim is too old.");
      co_return event;
    }
    sent_call sent = co_await shared_->links.send(action.row, call_.call, LeftMs());
    if (sent.reply == call_reply::kAnswered) {
      result_.answer = std::move(sent.answer);
    }
    event = call_replied{sent.reply};
    if (sent.reply == call_reply::kLost && LeftMs().count() == 0) {
      event = deadline_passed{};
    }
    co_return event;
  }

  task<claim_event> AskTombstone(claim_row row) {
    auto status = co_await shared_->links.ask_tombstone(row, shared_->settings.settle_timeout);
    claim_event event = Report(row, std::move(status));
    co_return event;
  }

  // Another attempt of this router, in progress or known not to have run. An attempt in progress must not be tombstoned
  // through a second conversation with its agent, which would take over the replies to the first one.
  bool IsLocal(const claim_row& row) const {
    const bool is_other = row.attempt != result_.attempt;
    return is_other && (shared_->running.contains(row.attempt) || shared_->not_run.contains(row.attempt));
  }

  task<claim_event> AwaitLocal(claim_row row) {
    attempt_finding finding = attempt_finding::kNotRun;
    const auto found = shared_->running.find(row.attempt);
    if (found != shared_->running.end()) {
      const auto box = std::make_shared<mailbox<keyed_call_result>>(shared_->context);
      found->second.push_back(box);
      auto ended = co_await box->Receive(TimeLeft());
      if (!ended) {
        claim_event late = deadline_passed{};
        co_return late;
      }
      const bool was_answered = ended->outcome == outcome_kind::kAnswered;
      const bool was_not_run = ended->outcome == outcome_kind::kNotRun;
      finding = was_answered  ? attempt_finding::kAnswered
                : was_not_run ? attempt_finding::kNotRun
                              : attempt_finding::kFailed;
      result_.answer = std::move(ended->answer);
    }
    claim_event event = attempt_reported{row.attempt, finding};
    co_return event;
  }

  task<claim_event> Query(ask_status action) {
    // A query that does not wait is answered at once, also when the caller's time is nearly over.
    const milliseconds limit = action.wait ? LeftMs() : shared_->settings.settle_timeout;
    auto status = co_await shared_->links.query(action.row, action.wait, limit);
    claim_event event = deadline_passed{};
    if (status || !action.wait || LeftMs().count() > 0) {
      event = Report(action.row, std::move(status));
    }
    co_return event;
  }

  claim_event Report(const claim_row& row, std::optional<attempt_status> status) {
    const attempt_finding finding = ClassifyStatus(status);
    if (finding == attempt_finding::kAnswered) {
      result_.answer = std::move(status->answer);
    }
    return attempt_reported{row.attempt, finding};
  }

  void End(const end_claim& end) {
    ended_ = true;
    result_.outcome = end.outcome;
    result_.code = end.code;
    result_.message = DescribeEnd(end);
    if (end.outcome != outcome_kind::kAnswered) {
      result_.answer = {};
      Log()
          .ForRequest(call_.call.request.value)
          .Info("Attempt {} ended {} with {}.", result_.attempt.value, OutcomeName(end.outcome),
                ClaimCodeName(end.code));
    }
    if (end.outcome == outcome_kind::kNotRun) {
      result_.retry_after = shared_->settings.retry_after;
    }
  }

  microseconds TimeLeft() const {
    const auto left = std::chrono::duration_cast<microseconds>(deadline_ - timer_service::Now());
    return std::max(left, microseconds(0));
  }

  milliseconds LeftMs() const { return std::chrono::duration_cast<milliseconds>(TimeLeft()); }

  shared_state shared_;
  keyed_call call_;
  time_point begun_;
  time_point deadline_;
  keyed_call_result result_;
  bool ended_ = false;
};

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 3. service
// ---------------------------------------------------------------------------------------------------------------------

keyed_calls::keyed_calls(timer_service& timers, asio::io_context& context, keyed_call_settings settings,
                         keyed_call_links links)
    : state_(std::make_shared<state>(timers, context, settings, std::move(links))) {}

task<keyed_call_result> keyed_calls::RunCall(keyed_call call) {
  call_runner<std::shared_ptr<state>> runner(state_, std::move(call));
  keyed_call_result result = co_await runner.Run();
  co_return result;
}

}  // namespace persimmon
