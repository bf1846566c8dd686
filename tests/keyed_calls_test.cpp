// link: persimmon_router_parts
// Guards against a keyed call whose outcome is reported wrongly, or that hangs when a reply never comes.
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

// One agent and one claim row, with switches for what goes wrong. The steps are noted in order.
class keyed_calls_test : public testing::Test {
 protected:
  keyed_calls_test() {
    settings_.settle_timeout = milliseconds(30);
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

  keyed_call_links Links() {
    keyed_call_links links;
    links.send = [this](claim_row target, call_service call, milliseconds timeout) {
      return Send(std::move(target), std::move(call), timeout);
    };
    links.ask_tombstone = [this](claim_row target, milliseconds) { return AskTombstone(std::move(target)); };
    links.query = [this](claim_row target, bool wait, milliseconds timeout) {
      return Query(std::move(target), wait, timeout);
    };
    links.store = [this](claim_operation operation) { return UseStore(std::move(operation)); };
    links.make_attempt = [this] { return attempt_id{"a" + std::to_string(++attempts_)}; };
    return links;
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
      if (!is_never_done_) {
        agent_.FinishAttempt(target.attempt, "kept", timer_service::Now());
      }
    }
    if (is_call_lost_ || is_reply_lost_ || is_never_done_) {
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
    } else if (entry != nullptr && entry->phase == attempt_record_phase::kDone) {
      status.phase = attempt_phase::kDone;
      status.has_answer = entry->answer.has_value();
      status.answer.outcome = outcome_kind::kAnswered;
      status.answer.body = entry->answer.value_or("");
    } else if (entry != nullptr) {
      const bool is_running = entry->phase == attempt_record_phase::kRunning;
      status.phase = is_running ? attempt_phase::kRunning : attempt_phase::kTombstoned;
    }
    return status;
  }

  task<std::optional<attempt_status>> AskTombstone(claim_row target) {
    steps_ += "tombstone ";
    if (!is_agent_reachable_) {
      co_return std::nullopt;
    }
    agent_.TombstoneAttempt(target.attempt, target.incarnation, timer_service::Now());
    co_return Status(target);
  }

  task<std::optional<attempt_status>> Query(claim_row target, bool wait, milliseconds timeout) {
    steps_ += wait ? "wait " : "query ";
    if (wait && is_never_done_) {
      co_await timers_.Sleep(timeout);
      co_return std::nullopt;
    }
    co_return Status(target);
  }

  task<claim_result> UseStore(claim_operation operation) {
    static constexpr std::array kNames = {"insert ", "replace ", "finish ", "read "};
    steps_ += kNames[static_cast<std::size_t>(operation.kind)];
    if (is_store_silent_) {
      co_await timers_.Sleep(milliseconds(10'000));
    }
    if (is_store_out_) {
      co_return claim_result{claim_result_kind::kStoreUnavailable, {}};
    }
    const bool is_insert = operation.kind == claim_operation_kind::kInsert;
    const bool holds = is_insert ? row_.attempt.empty() : row_.attempt == operation.expected_attempt;
    if (operation.kind == claim_operation_kind::kRead) {
      co_return claim_result{claim_result_kind::kFound, row_};
    }
    if (!holds) {
      co_return claim_result{claim_result_kind::kConflict, row_};
    }
    row_ = operation.row;
    co_return claim_result{claim_result_kind::kWritten, {}};
  }

  static task<> KeepResult(task<keyed_call_result> work, std::optional<keyed_call_result>& kept) {
    keyed_call_result value = co_await std::move(work);
    kept = std::move(value);
  }

  keyed_call_result Run(const std::string& key) {
    keyed_calls calls(timers_, context_, settings_, Links());
    std::optional<keyed_call_result> kept;
    asio::co_spawn(context_, KeepResult(calls.RunCall(MakeCall(key)), kept), asio::detached);
    const auto end = timer_service::Now() + std::chrono::seconds(20);
    context_.restart();
    while (!kept && timer_service::Now() < end) {
      context_.run_one_for(std::chrono::milliseconds(100));
    }
    EXPECT_TRUE(kept.has_value()) << "no outcome within 20 s";
    return kept.value_or(keyed_call_result{});
  }

  // Runs what an ended call has left behind, such as finishing its row.
  void Settle() {
    context_.restart();
    context_.poll();
  }

  void HoldRow(const std::string& attempt, claim_phase phase) {
    row_ = {idempotency_key{"k"}, attempt_id{attempt}, endpoint_name{"A"}, kIncarnation, phase};
  }
  void StartOther(const std::string& attempt) {
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
  bool is_never_done_ = false;
  bool is_store_out_ = false;
  bool is_store_silent_ = false;
};

TEST_F(keyed_calls_test, RunCall_WhenAllGoesWell_ClaimsSendsAndFinishes) {
  const auto result = Run("k");
  Settle();
  EXPECT_EQ(result.outcome, outcome_kind::kAnswered);
  EXPECT_EQ(result.answer.body, "fresh");
  EXPECT_EQ(steps_, "insert send finish ");
  EXPECT_EQ(row_.phase, claim_phase::kDone);
}

TEST_F(keyed_calls_test, RunCall_WhenResentAfterTheEnd_GivesTheKeptAnswer) {
  Run("k");
  Settle();
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kAnswered);
  EXPECT_EQ(result.answer.body, "kept");
  EXPECT_EQ(runs_, 1);
}

TEST_F(keyed_calls_test, RunCall_WithoutKey_SendsOnceWithoutClaim) {
  const auto result = Run("");
  Settle();
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
  EXPECT_EQ(result.code, claim_code::kTimeout);
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

TEST_F(keyed_calls_test, RunCall_WhenStoreIsOut_SendsNothing) {
  is_store_out_ = true;
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kNotRun);
  EXPECT_EQ(result.code, claim_code::kStoreUnavailable);
  EXPECT_EQ(steps_, "insert ");
}

TEST_F(keyed_calls_test, RunCall_WhenStoreIsSilent_EndsAtTheDeadlineWithoutSending) {
  is_store_silent_ = true;
  timeout_ = milliseconds(20);
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kNotRun);
  EXPECT_EQ(result.code, claim_code::kTimeout);
  EXPECT_EQ(runs_, 0);
}

TEST_F(keyed_calls_test, RunCall_WhenChannelIsClosed_EndsNotRun) {
  is_channel_open_ = false;
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kNotRun);
  EXPECT_EQ(result.code, claim_code::kEndpointLost);
  EXPECT_EQ(steps_, "insert send ");
}

TEST_F(keyed_calls_test, RunCall_WhenOtherNeverStarted_ReplacesAndRuns) {
  HoldRow("other", claim_phase::kClaimed);
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kAnswered);
  EXPECT_EQ(steps_.substr(0, 30), "insert tombstone replace send ");
  EXPECT_EQ(agent_.AcceptAttempt(attempt_id{"other"}, kIncarnation, timer_service::Now()), accept_verdict::kTombstoned);
}

TEST_F(keyed_calls_test, RunCall_WhenOtherIsRunningPastTheDeadline_EndsMayHaveRun) {
  HoldRow("other", claim_phase::kClaimed);
  StartOther("other");
  is_never_done_ = true;
  timeout_ = milliseconds(50);
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kMayHaveRun);
  EXPECT_EQ(result.code, claim_code::kInProgress);
  EXPECT_EQ(steps_, "insert tombstone wait ");
}

TEST_F(keyed_calls_test, RunCall_WhenAgentOfOtherHasRestarted_EndsMayHaveRunWithoutSending) {
  HoldRow("other", claim_phase::kClaimed);
  row_.incarnation = kIncarnation - 1;
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kMayHaveRun);
  EXPECT_EQ(result.code, claim_code::kEndpointLost);
  EXPECT_EQ(steps_, "insert tombstone ");
}

TEST_F(keyed_calls_test, RunCall_WhenPausedForLongBeforeSending_SendsNothing) {
  settings_.pause_before_send = milliseconds(30);
  settings_.send_limit = milliseconds(5);
  const auto result = Run("k");
  EXPECT_EQ(result.outcome, outcome_kind::kNotRun);
  EXPECT_EQ(steps_, "insert ");
}

// A router that stops here would lose every other request too.
TEST_F(keyed_calls_test, RunCall_WhenNoAgentIsKnown_EndsNotRun) {
  keyed_calls calls(timers_, context_, settings_, Links());
  keyed_call call = MakeCall("k");
  call.incarnation = 0;
  std::optional<keyed_call_result> kept;
  asio::co_spawn(context_, KeepResult(calls.RunCall(call), kept), asio::detached);
  Settle();
  ASSERT_TRUE(kept.has_value());
  EXPECT_EQ(kept->outcome, outcome_kind::kNotRun);
  EXPECT_EQ(steps_, "");
}

// The router knows that its own attempt was never sent, even if that attempt's agent can no longer be asked.
TEST_F(keyed_calls_test, RunCall_AfterOwnAttemptThatWasNotSent_ReplacesItWithoutItsAgent) {
  keyed_calls calls(timers_, context_, settings_, Links());
  std::optional<keyed_call_result> first;
  std::optional<keyed_call_result> second;
  is_channel_open_ = false;
  asio::co_spawn(context_, KeepResult(calls.RunCall(MakeCall("k")), first), asio::detached);
  Settle();
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first->outcome, outcome_kind::kNotRun);
  is_channel_open_ = true;
  is_agent_reachable_ = false;
  asio::co_spawn(context_, KeepResult(calls.RunCall(MakeCall("k")), second), asio::detached);
  Settle();
  ASSERT_TRUE(second.has_value());
  EXPECT_EQ(second->outcome, outcome_kind::kAnswered);
  EXPECT_EQ(steps_, "insert send insert replace send finish ");
}

// Two requests with one key in one router: the second must not take over the first one's replies.
TEST_F(keyed_calls_test, RunCall_WhileOwnAttemptIsRunning_GivesItsAnswer) {
  settings_.pause_before_send = milliseconds(10);
  keyed_calls calls(timers_, context_, settings_, Links());
  std::optional<keyed_call_result> first;
  std::optional<keyed_call_result> second;
  asio::co_spawn(context_, KeepResult(calls.RunCall(MakeCall("k")), first), asio::detached);
  asio::co_spawn(context_, KeepResult(calls.RunCall(MakeCall("k")), second), asio::detached);
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
  EXPECT_EQ(ClassifyStatus(status), attempt_finding::kDone);
  status.has_answer = true;
  status.answer.outcome = outcome_kind::kNotRun;
  EXPECT_EQ(ClassifyStatus(status), attempt_finding::kNotRun);
  status.answer.outcome = outcome_kind::kMayHaveRun;
  EXPECT_EQ(ClassifyStatus(status), attempt_finding::kFailed);
  EXPECT_EQ(ClassifyStatus(std::nullopt), attempt_finding::kUnreachable);
}

}  // namespace
}  // namespace persimmon
