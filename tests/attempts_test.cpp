// Guards against an attempt that runs twice, or that runs although it was reported as never going to run.
#include "persimmon/attempts.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace persimmon {
namespace {

constexpr incarnation_number kIncarnation = 7;

attempt_limits SmallLimits() {
  attempt_limits limits;
  limits.entries = 3;
  limits.answer_bytes = 10;
  limits.rejection_filter_bits = 1U << 12U;
  return limits;
}

class attempt_table_test : public testing::Test {
 protected:
  accept_verdict Accept(const std::string& id) { return table_.AcceptAttempt(attempt_id{id}, kIncarnation, now_); }
  tombstone_verdict Tombstone(const std::string& id) {
    return table_.TombstoneAttempt(attempt_id{id}, kIncarnation, now_);
  }
  void Finish(const std::string& id, const std::string& answer) { table_.FinishAttempt(attempt_id{id}, answer, now_); }
  void AdvanceTime(milliseconds time) {
    now_ += time;
    table_.ExpireEntries(now_);
  }
  void FillTable() {
    for (const char* id : {"f1", "f2", "f3"}) {
      ASSERT_EQ(Accept(id), accept_verdict::kRun);
    }
  }

  attempt_limits limits_ = SmallLimits();
  attempt_table table_{kIncarnation, limits_};
  time_point now_;
};

TEST_F(attempt_table_test, AcceptAttempt_WhenRepeated_DoesNotRunAgain) {
  EXPECT_EQ(Accept("a"), accept_verdict::kRun);
  EXPECT_EQ(Accept("a"), accept_verdict::kAlreadyRunning);
  Finish("a", "answer");
  EXPECT_EQ(Accept("a"), accept_verdict::kAlreadyDone);
}

TEST_F(attempt_table_test, AcceptAttempt_WhenTombstoned_IsRefused) {
  EXPECT_EQ(Tombstone("a"), tombstone_verdict::kConfirmed);
  EXPECT_EQ(Accept("a"), accept_verdict::kTombstoned);
}

TEST_F(attempt_table_test, AcceptAttempt_WhenMeantForOtherIncarnation_IsRefused) {
  EXPECT_EQ(table_.AcceptAttempt(attempt_id{"a"}, kIncarnation - 1, now_), accept_verdict::kWrongIncarnation);
  EXPECT_EQ(table_.TombstoneAttempt(attempt_id{"a"}, kIncarnation - 1, now_), tombstone_verdict::kWrongIncarnation);
  EXPECT_EQ(Accept("a"), accept_verdict::kRun);
}

TEST_F(attempt_table_test, TombstoneAttempt_WhenStarted_LeavesItRunning) {
  Accept("a");
  EXPECT_EQ(Tombstone("a"), tombstone_verdict::kRunning);
  Finish("a", "answer");
  EXPECT_EQ(Tombstone("a"), tombstone_verdict::kDone);
  EXPECT_EQ(table_.FindAttempt(attempt_id{"a"})->answer, "answer");
}

// Guards against a call that runs although its caller was told not_run: a full table rejects the call, and a delayed
// copy arrives after entries have expired.
TEST_F(attempt_table_test, AcceptAttempt_WhenRefusedByFullTable_RefusesLaterCopy) {
  FillTable();
  EXPECT_EQ(Accept("late"), accept_verdict::kTombstoned);
  Finish("f1", "");
  AdvanceTime(limits_.entry_retention / 2);
  EXPECT_EQ(Accept("late"), accept_verdict::kTombstoned);
  AdvanceTime(limits_.entry_retention / 2 + milliseconds(1));
  EXPECT_EQ(table_.EntryCount(), 2U);  // the table has free entries again
  EXPECT_EQ(Accept("late"), accept_verdict::kTombstoned);
  EXPECT_EQ(Accept("new"), accept_verdict::kRun);
}

TEST_F(attempt_table_test, TombstoneAttempt_WhenTableIsFull_HoldsWithoutEntry) {
  FillTable();
  EXPECT_EQ(Tombstone("late"), tombstone_verdict::kConfirmed);
  EXPECT_EQ(table_.EntryCount(), limits_.entries);
  Finish("f1", "");
  AdvanceTime(limits_.entry_retention + milliseconds(1));
  EXPECT_EQ(Accept("late"), accept_verdict::kTombstoned);
}

// Guards against clearing a part of the filter that still holds an id within its retention.
TEST_F(attempt_table_test, RejectedAttemptFilter_WhenRotated_KeepsEachIdForTheRetention) {
  const milliseconds retention(1'000);
  rejected_attempt_filter filter(1U << 12U, retention);
  std::map<std::string, time_point> added;
  time_point now;
  for (int i = 0; i < 60; ++i) {
    const std::string id = "r" + std::to_string(i);
    filter.Add(attempt_id{id}, now);
    added[id] = now;
    now += milliseconds(170);
    filter.Expire(now);
    for (const auto& [known, time] : added) {
      EXPECT_TRUE(filter.Contains(attempt_id{known}) || now - time > retention) << known << " after step " << i;
    }
  }
  now += retention;
  filter.Expire(now + milliseconds(1));
  now += retention;
  filter.Expire(now + milliseconds(2));
  EXPECT_FALSE(filter.Contains(attempt_id{"r59"}));
}

TEST_F(attempt_table_test, TombstoneAttempt_WhenConfirmedAgain_RestartsTheRetention) {
  Tombstone("a");
  AdvanceTime(limits_.entry_retention - milliseconds(1));
  EXPECT_EQ(Tombstone("a"), tombstone_verdict::kConfirmed);
  AdvanceTime(limits_.entry_retention - milliseconds(1));
  EXPECT_EQ(Accept("a"), accept_verdict::kTombstoned);
}

TEST_F(attempt_table_test, FinishAttempt_WhenAnswersExceedLimit_DropsTheOldest) {
  for (const char* id : {"a", "b"}) {
    Accept(id);
    Finish(id, "sixsix");
  }
  EXPECT_FALSE(table_.FindAttempt(attempt_id{"a"})->answer.has_value());
  EXPECT_EQ(table_.FindAttempt(attempt_id{"b"})->answer, "sixsix");
  EXPECT_EQ(table_.AnswerBytes(), 6U);
  AdvanceTime(limits_.answer_retention + milliseconds(1));
  EXPECT_EQ(table_.AnswerBytes(), 0U);
  EXPECT_EQ(Accept("a"), accept_verdict::kAlreadyDone);
}

// Applies random sequences of starts, tombstones, ends and time steps, and checks that no id runs twice, that none runs
// after it was rejected, and that memory is bounded.
RC_GTEST_PROP(attempt_table_property, AnyOrder_RunsEachIdAtMostOnceAndKeepsRefusals, ()) {
  const attempt_limits limits = SmallLimits();
  attempt_table table(kIncarnation, limits);
  time_point now;
  std::map<std::string, int> runs;
  std::map<std::string, time_point> rejected;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 8)));
  for (const auto& [kind, number] : steps) {
    const attempt_id id{"id" + std::to_string(number)};
    if (kind == 0) {
      const auto verdict = table.AcceptAttempt(id, kIncarnation, now);
      if (verdict == accept_verdict::kRun) {
        RC_ASSERT(++runs[id.value] == 1);
        RC_ASSERT(rejected.count(id.value) == 0U);
      } else if (verdict == accept_verdict::kTombstoned) {
        rejected[id.value] = now;
      }
    } else if (kind == 1) {
      if (table.TombstoneAttempt(id, kIncarnation, now) == tombstone_verdict::kConfirmed) {
        RC_ASSERT(runs[id.value] == 0);
        rejected[id.value] = now;
      }
    } else if (kind == 2) {
      table.FinishAttempt(id, "abc", now);
    } else {
      now += limits.entry_retention / 20;
      table.ExpireEntries(now);
      // The guarantee does not cover ids older than the retention.
      std::erase_if(rejected, [&](const auto& item) { return now - item.second > limits.entry_retention; });
      std::erase_if(runs, [&](const auto& item) { return table.FindAttempt(attempt_id{item.first}) == nullptr; });
    }
    RC_ASSERT(table.EntryCount() <= limits.entries);
    RC_ASSERT(table.AnswerBytes() <= limits.answer_bytes);
  }
}

}  // namespace
}  // namespace persimmon
