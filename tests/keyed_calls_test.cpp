// link: persimmon_router_parts
// Guards against a call with an idempotency key whose outcome is reported wrongly, or that hangs when a reply is lost.
#include "router/keyed_calls.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <utility>

#include "persimmon/attempts.h"

namespace persimmon {
namespace {

constexpr incarnation_number kIncarnation = 3;

// Simulates one agent and one claim row, with switches for faults. Records the steps of a call in order.
class keyed_calls_test : public testing::Test {
 protected:
  keyed_calls_test() {
    settings_.agent_reply_timeout = milliseconds(30);
    settings_.retry_after = milliseconds(700);
  }

  static call_service Call() {
    call_service call;
    call.method = "POST";
    call.body = "submission";
    return call;
  }

  keyed_call MakeCall(const std::string& key) const {
    return {idempotency_key{key}, endpoint_name{"A"}, kIncarnation, Call(), timeout_};
  }

  keyed_call_callbacks Callbacks() {
    keyed_call_callbacks callbacks;
    callbacks.send = [this](claim_row target, call_service call, milliseconds timeout) {
      return Send(std::move(target), std::move(call), timeout);
    };
    callbacks.request_tombstone = [this](claim_row target, milliseconds) {
      return RequestTombstone(std::move(target));
    };
    callbacks.query = [this](claim_row target, bool wait, milliseconds timeout) {
      return Query(std::move(target), wait, timeout);
    };
    callbacks.store = [this](claim_operation operation) { return ExecuteInStore(std::move(operation)); };
    callbacks.make_attempt = [this] { return attempt_id{"a" + std::to_string(++attempts_)}; };
    return callbacks;
  }

  task<sent_call> Send(claim_row target, call_service call, milliseconds timeout) {
    steps_ += "send ";
    EXPECT_EQ(call.attempt, target.attempt);
    EXPECT_EQ(call.incarnation, target.incarnation);
    sent_call sent;
    if (!is_channel_open_) {
      sent.reply = call_reply::kNotSent;
      co_return sent;
    }
    if (!is_call_lost_) {
      const auto verdict = agent_.AcceptAttempt(target.attempt, target.incarnation, timer_service::Now());
      if (verdict != accept_verdict::kRun) {
        sent.reply = call_reply::kNotRun;
        co_return sent;
      }
      ++runs_;
      if (!never_completes_) {
        agent_.FinishAttempt(target.attempt, "kept", timer_service::Now());
      }
    }
    if (is_call_lost_ || is_reply_lost_ || never_completes_) {
      co_await timers_.Sleep(timeout);
      co_return sent;
    }
    sent.reply = call_reply::kAnswered;
    sent.answer.body = "fresh";
    co_return sent;
  }

  std::optional<attempt_status> Status(const claim_row& target) {
    attempt_status status;
    status.attempt = target.attempt;
    const attempt_entry* entry = agent_.FindAttempt(target.attempt);
    if (target.incarnation != agent_.Incarnation()) {
      status.phase = attempt_phase::kWrongIncarnation;
    } else if (entry != nullptr && entry->phase == attempt_entry_phase::kDone) {
      status.phase = attempt_phase::kDone;
      status.has_answer = entry->answer.has_value();
      status.answer.outcome = outcome_kind::kAnswered;
      status.answer.body = entry->answer.value_or("");
    } else if (entry != nullptr) {
      const bool is_running = entry->phase == attempt_entry_phase::kRunning;
      status.phase = is_running ? attempt_phase::kRunning : attempt_phase::kTombstoned;
    }
    return status;
  }

  task<std::optional<attempt_status>> RequestTombstone(claim_row target) {
    steps_ += "tombstone ";
    if (!is_agent_reachable_) {
      co_return std::nullopt;
    }
    agent_.TombstoneAttempt(target.attempt, target.incarnation, timer_service::Now());
    co_return Status(target);
  }

  task<std::optional<attempt_status>> Query(claim_row target, bool wait, milliseconds timeout) {
    steps_ += wait ? "wait " : "query ";
    if (wait && never_completes_) {
      co_await timers_.Sleep(timeout);
      co_return std::nullopt;
    }
    co_return Status(target);
  }

  task<claim_result> ExecuteInStore(claim_operation operation) {
    static constexpr std::array kNames = {"insert ", "replace ", "finish ", "read "};
    steps_ += kNames[static_cast<std::size_t>(operation.kind)];
    if (is_store_silent_) {
      co_await timers_.Sleep(milliseconds(10'000));
    }
    if (is_store_unavailable_) {
      co_return claim_result{claim_result_kind::kStoreUnavailable, {}};
    }
    const bool is_insert = operation.kind == claim_operation_kind::kInsert;
    const bool is_condition_met = is_insert ? row_.attempt.empty() : row_.attempt == operation.expected_attempt;
    if (operation.kind == claim_operation_kind::kRead) {
      co_return claim_result{claim_result_kind::kFound, row_};
    }
    if (!is_condition_met) {
      co_return claim_result{claim_result_kind::kConflict, row_};
    }
    row_ = operation.row;
    co_return claim_result{claim_result_kind::kWritten, {}};
  }

  static task<> StoreResult(task<keyed_call_result> work, std::optional<keyed_call_result>& final_result) {
    keyed_call_result value = co_await std::move(work);
    final_result = std::move(value);
  }

  keyed_call_result Run(const std::string& key) {
    keyed_calls calls(timers_, context_, settings_, Callbacks());
    std::optional<keyed_call_result> final_result;
    asio::co_spawn(context_, StoreResult(calls.RunCall(MakeCall(key)), final_result), asio::detached);
    const auto end = timer_service::Now() + std::chrono::seconds(20);
    context_.restart();
    while (!final_result && timer_service::Now() < end) {
      context_.run_one_for(std::chrono::milliseconds(100));
    }
    EXPECT_TRUE(final_result.has_value()) << "no outcome within 20 s";
    return final_result.value_or(keyed_call_result{});
  }

  // Runs the background work that a completed call has left, such as updating its claim row.
  void RunPending() {
    context_.restart();
    context_.poll();
  }

  void SetClaimRow(const std::string& attempt, claim_phase phase) {
    row_ = {idempotency_key{"k"}, attempt_id{attempt}, endpoint_name{"A"}, kIncarnation, phase};
  }
  void StartAttempt(const std::string& attempt) {
    agent_.AcceptAttempt(attempt_id{attempt}, kIncarnation, timer_service::Now());
  }

  asio::io_context context_{1};
  timer_service timers_{context_};
  keyed_call_settings settings_;
  milliseconds timeout_ = milliseconds(10'000);
  attempt_table agent_{kIncarnation, attempt_limits{}};
  claim_row row_;
  int attempts_ = 0;
  int runs_ = 0;
  std::string steps_;
  bool is_channel_open_ = true;
  bool is_agent_reachable_ = true;
  bool is_call_lost_ = false;
  bool is_reply_lost_ = false;
  bool never_completes_ = false;
  bool is_store_unavailable_ = false;
  bool is_store_silent_ = false;
};

TEST_F(keyed_calls_test, RunCall_WithoutFaults_ClaimsSendsAndFinishes) {
  const auto result = Run("k");
  RunPending();
  EXPECT_EQ(result.outcome, outcome_kind::kAnswered);
  EXPECT_EQ(result.answer.body, "fresh");
  EXPECT_EQ(steps_, "insert send finish ");
  EXPECT_EQ(row_.phase, claim_phase::kDone);
}

TEST_F(keyed_calls_test, RunCall_WhenResentAfterTheEnd_GivesTheKeptAnswer) {
  Run("k");
  RunPending();
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kAnswered);
  EXPECT_EQ(result.answer.body, "kept");
  EXPECT_EQ(runs_, 1);
}

TEST_F(keyed_calls_test, RunCall_WithoutKey_SendsOnceWithoutClaim) {
  const auto result = Run("");
  RunPending();
  EXPECT_EQ(result.outcome, outcome_kind::kAnswered);
  EXPECT_EQ(steps_, "send ");
}

TEST_F(keyed_calls_test, RunCall_WithoutKeyWhenReplyIsLost_FindsTheKeptAnswer) {
  is_reply_lost_ = true;
  timeout_ = milliseconds(20);
  const auto result = Run("");
  EXPECT_EQ(result.outcome, outcome_kind::kAnswered);
  EXPECT_EQ(result.answer.body, "kept");
  EXPECT_EQ(runs_, 1);
}

TEST_F(keyed_calls_test, RunCall_WithoutKeyWhenCallIsLost_ProvesNotRun) {
  is_call_lost_ = true;
  timeout_ = milliseconds(20);
  const auto result = Run("");
  EXPECT_EQ(result.outcome, outcome_kind::kNotRun);
  EXPECT_EQ(result.code, claim_error::kTimeout);
  EXPECT_EQ(result.retry_after, settings_.retry_after);
  EXPECT_EQ(agent_.AcceptAttempt(result.attempt, kIncarnation, timer_service::Now()), accept_verdict::kTombstoned);
}

TEST_F(keyed_calls_test, RunCall_WhenReplyIsLostAndAgentGone_EndsMayHaveRun) {
  is_reply_lost_ = true;
  is_agent_reachable_ = false;
  timeout_ = milliseconds(20);
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kMayHaveRun);
  EXPECT_NE(result.message, "");
}

TEST_F(keyed_calls_test, RunCall_WhenStoreIsUnavailable_SendsNothing) {
  is_store_unavailable_ = true;
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kNotRun);
  EXPECT_EQ(result.code, claim_error::kStoreUnavailable);
  EXPECT_EQ(steps_, "insert ");
}

TEST_F(keyed_calls_test, RunCall_WhenStoreIsSilent_EndsAtTheDeadlineWithoutSending) {
  is_store_silent_ = true;
  timeout_ = milliseconds(20);
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kNotRun);
  EXPECT_EQ(result.code, claim_error::kTimeout);
  EXPECT_EQ(runs_, 0);
}

TEST_F(keyed_calls_test, RunCall_WhenChannelIsClosed_EndsNotRun) {
  is_channel_open_ = false;
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kNotRun);
  EXPECT_EQ(result.code, claim_error::kEndpointLost);
  EXPECT_EQ(steps_, "insert send ");
}

TEST_F(keyed_calls_test, RunCall_WhenOtherAttemptNeverStarted_ReplacesItAndRuns) {
  SetClaimRow("other", claim_phase::kClaimed);
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kAnswered);
  EXPECT_EQ(steps_.substr(0, 30), "insert tombstone replace send ");
  EXPECT_EQ(agent_.AcceptAttempt(attempt_id{"other"}, kIncarnation, timer_service::Now()), accept_verdict::kTombstoned);
}

TEST_F(keyed_calls_test, RunCall_WhenOtherAttemptRunsPastTheDeadline_EndsMayHaveRun) {
  SetClaimRow("other", claim_phase::kClaimed);
  StartAttempt("other");
  never_completes_ = true;
  timeout_ = milliseconds(50);
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kMayHaveRun);
  EXPECT_EQ(result.code, claim_error::kInProgress);
  EXPECT_EQ(steps_, "insert tombstone wait ");
}

TEST_F(keyed_calls_test, RunCall_WhenAgentOfOtherAttemptHasRestarted_EndsMayHaveRunWithoutSending) {
  SetClaimRow("other", claim_phase::kClaimed);
  row_.incarnation = kIncarnation - 1;
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kMayHaveRun);
  EXPECT_EQ(result.code, claim_error::kEndpointLost);
  EXPECT_EQ(steps_, "insert tombstone ");
}

TEST_F(keyed_calls_test, RunCall_WhenPausedForLongBeforeSending_SendsNothing) {
  settings_.pause_before_send = milliseconds(30);
  settings_.send_limit = milliseconds(5);
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kNotRun);
  EXPECT_EQ(steps_, "insert ");
}

// Guards against stopping the router process in this case, which would abort all its other requests.
TEST_F(keyed_calls_test, RunCall_WhenNoAgentIsKnown_EndsNotRun) {
  keyed_calls calls(timers_, context_, settings_, Callbacks());
  keyed_call call = MakeCall("k");
  call.incarnation = 0;
  std::optional<keyed_call_result> final_result;
  asio::co_spawn(context_, StoreResult(calls.RunCall(call), final_result), asio::detached);
  RunPending();
  ASSERT_TRUE(final_result.has_value());
  EXPECT_EQ(final_result->outcome, outcome_kind::kNotRun);
  EXPECT_EQ(steps_, "");
}

// The router knows that its own attempt was never sent, even when the attempt's agent is unreachable.
TEST_F(keyed_calls_test, RunCall_AfterOwnAttemptThatWasNotSent_ReplacesItWithoutItsAgent) {
  keyed_calls calls(timers_, context_, settings_, Callbacks());
  std::optional<keyed_call_result> first;
  std::optional<keyed_call_result> second;
  is_channel_open_ = false;
  asio::co_spawn(context_, StoreResult(calls.RunCall(MakeCall("k")), first), asio::detached);
  RunPending();
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first->outcome, outcome_kind::kNotRun);
  is_channel_open_ = true;
  is_agent_reachable_ = false;
  asio::co_spawn(context_, StoreResult(calls.RunCall(MakeCall("k")), second), asio::detached);
  RunPending();
  ASSERT_TRUE(second.has_value());
  EXPECT_EQ(second->outcome, outcome_kind::kAnswered);
  EXPECT_EQ(steps_, "insert send insert replace send finish ");
}

// Two requests with the same key on one router: the second must not receive the agent's replies to the first.
TEST_F(keyed_calls_test, RunCall_WhileOwnAttemptIsRunning_GivesItsAnswer) {
  settings_.pause_before_send = milliseconds(10);
  keyed_calls calls(timers_, context_, settings_, Callbacks());
  std::optional<keyed_call_result> first;
  std::optional<keyed_call_result> second;
  asio::co_spawn(context_, StoreResult(calls.RunCall(MakeCall("k")), first), asio::detached);
  asio::co_spawn(context_, StoreResult(calls.RunCall(MakeCall("k")), second), asio::detached);
  const auto end = timer_service::Now() + std::chrono::seconds(20);
  while (!(first && second) && timer_service::Now() < end) {
    context_.run_one_for(std::chrono::milliseconds(100));
  }
  ASSERT_TRUE(first && second);
  EXPECT_EQ(first->outcome, outcome_kind::kAnswered);
  EXPECT_EQ(second->outcome, outcome_kind::kAnswered);
  EXPECT_EQ(runs_, 1);
}

TEST_F(keyed_calls_test, ClassifyStatus_ForEndedAttempts_SaysWhatIsProved) {
  attempt_status status;
  status.phase = attempt_phase::kDone;
  EXPECT_EQ(ClassifyStatus(status), attempt_report_status::kDone);
  status.has_answer = true;
  status.answer.outcome = outcome_kind::kNotRun;
  EXPECT_EQ(ClassifyStatus(status), attempt_report_status::kNotRun);
  status.answer.outcome = outcome_kind::kMayHaveRun;
  EXPECT_EQ(ClassifyStatus(status), attempt_report_status::kFailed);
  EXPECT_EQ(ClassifyStatus(std::nullopt), attempt_report_status::kUnreachable);
}

}  // namespace
}  // namespace persimmon
