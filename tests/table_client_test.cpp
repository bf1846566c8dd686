// link: persimmon_platform persimmon_fake_parts
// The client of the table service: snapshots, feeds with lost history, conditions, and lost responses.
#include "platform/table_client.h"

#include <gtest/gtest.h>

#include "support/platform_in_process.h"

namespace persimmon {
namespace {

class table_client_test : public testing::Test {
 protected:
  void Put(const std::string& key, const std::string& value) {
    harness_.Platform().Tables().Commit({{{"t", key}, value, false, std::nullopt}});
  }
  void Remove(const std::string& key) {
    harness_.Platform().Tables().Commit({{{"t", key}, std::nullopt, false, std::nullopt}});
  }

  static table_write Write(const std::string& key, const std::string& value, row_condition condition,
                           std::uint64_t version = 0) {
    return {"t", key, value, condition, version};
  }

  support::platform_in_process harness_;
  table_client client_ = harness_.Client();
};

TEST_F(table_client_test, ReadTable_WithMoreRowsThanAPage_ReadsThemAll) {
  for (int i = 0; i < 1'203; ++i) {
    Put("key-" + std::to_string(i), "value");
  }
  const auto snapshot = harness_.Run(client_.ReadTable("t"));
  ASSERT_TRUE(snapshot);
  EXPECT_EQ(snapshot.value().rows.size(), 1'203U);
}

TEST_F(table_client_test, Values_WithAnyBytes_ComeBackUnchanged) {
  for (const std::string& value :
       {std::string(), std::string("a"), std::string("\x00\xff\x7f", 3), std::string("{}")}) {
    Put("k", value);
    const auto row = harness_.Run(client_.ReadRow("t", "k"));
    ASSERT_TRUE(row && row.value());
    EXPECT_EQ(row.value()->value, value);
  }
}

TEST_F(table_client_test, AwaitChanges_AfterASnapshot_YieldsWritesAndRemovalsInOrder) {
  Put("a", "1");
  const auto snapshot = harness_.Run(client_.ReadTable("t"));
  Put("b", "2");
  Remove("a");
  const auto changes = harness_.Run(client_.AwaitChanges("t", snapshot.value().version, milliseconds(50)));
  ASSERT_TRUE(changes);
  ASSERT_EQ(changes.value().rows.size(), 2U);
  EXPECT_EQ(changes.value().rows[0].value, "2");
  EXPECT_EQ(changes.value().rows[1].key, "a");
  EXPECT_EQ(changes.value().rows[1].version, 0U);
  const auto none = harness_.Run(client_.AwaitChanges("t", changes.value().version, milliseconds(20)));
  ASSERT_TRUE(none);
  EXPECT_TRUE(none.value().rows.empty());
}

TEST_F(table_client_test, AwaitChanges_BeyondTheHistory_TellsThatItIsLost) {
  Put("a", "1");
  const auto snapshot = harness_.Run(client_.ReadTable("t"));
  Put("b", "2");
  harness_.Platform().Tables().DropHistory();
  const auto changes = harness_.Run(client_.AwaitChanges("t", snapshot.value().version, milliseconds(20)));
  ASSERT_TRUE(changes);
  EXPECT_TRUE(changes.value().is_history_lost);
}

TEST_F(table_client_test, Commit_WithAFailingCondition_ChangesNothingAndNamesTheConflict) {
  Put("a", "1");
  std::vector<table_write> writes = {Write("b", "2", row_condition::kNone), Write("a", "3", row_condition::kAbsent)};
  const auto refused = harness_.Run(client_.Commit(writes));
  ASSERT_TRUE(refused);
  EXPECT_FALSE(refused.value().committed);
  ASSERT_EQ(refused.value().conflicts.size(), 1U);
  EXPECT_EQ(refused.value().conflicts[0].value, "1");
  EXPECT_FALSE(harness_.Platform().Tables().Read({"t", "b"}));
}

TEST_F(table_client_test, Commit_AtTheSeenVersion_ReturnsTheNewOne) {
  Put("a", "1");
  const auto row = harness_.Run(client_.ReadRow("t", "a"));
  std::vector<table_write> writes = {Write("a", "2", row_condition::kVersion, row.value()->version)};
  const auto written = harness_.Run(client_.Commit(writes));
  ASSERT_TRUE(written);
  ASSERT_TRUE(written.value().committed);
  EXPECT_GT(written.value().version, row.value()->version);
  EXPECT_EQ(written.value().version, harness_.Platform().Tables().Read({"t", "a"})->version);
}

// After a lost response the error must not state that the transaction has had no effect.
TEST_F(table_client_test, Commit_WhoseAnswerIsLost_MayHaveTakenEffect) {
  harness_.Platform().Faults().lose_replies = 1;
  std::vector<table_write> writes = {Write("a", "2", row_condition::kAbsent)};
  const auto lost = harness_.Run(client_.Commit(writes));
  ASSERT_FALSE(lost);
  EXPECT_NE(lost.error().code, error_code::kUnavailable);
  EXPECT_TRUE(harness_.Platform().Tables().Read({"t", "a"}));
}

TEST_F(table_client_test, Calls_DuringAnOutage_Fail) {
  harness_.Platform().Faults().outage = true;
  EXPECT_FALSE(harness_.Run(client_.ReadTable("t")));
  EXPECT_FALSE(harness_.Run(client_.AwaitChanges("t", 0, milliseconds(20))));
}

// Guards against comparing versions across the eras of a store that was restored from an older copy: it gives out again
// the versions of the writes that it has lost.
TEST_F(table_client_test, RestoredStore_StatesAHigherEraInEveryAnswer) {
  Put("a", "1");
  harness_.Platform().Tables().SaveCopy();
  Put("a", "2");
  const auto before = harness_.Run(client_.ReadTable("t"));
  ASSERT_TRUE(before);
  harness_.Platform().Tables().Restore();
  const auto row = harness_.Run(client_.ReadRow("t", "a"));
  ASSERT_TRUE(row && row.value());
  EXPECT_EQ(row.value()->value, "1");
  EXPECT_EQ(row.value()->era, before.value().era + 1);
  std::vector<table_write> writes = {Write("a", "3", row_condition::kVersion, row.value()->version)};
  const auto written = harness_.Run(client_.Commit(std::move(writes)));
  ASSERT_TRUE(written && written.value().committed);
  EXPECT_EQ(written.value().version, before.value().version) << "the version is given out again";
  EXPECT_EQ(written.value().era, before.value().era + 1);
}

TEST_F(table_client_test, AwaitChanges_FromAVersionThatTheRestoredStoreLacks_TellsThatHistoryIsLost) {
  harness_.Platform().Tables().SaveCopy();
  Put("a", "1");
  const auto snapshot = harness_.Run(client_.ReadTable("t"));
  harness_.Platform().Tables().Restore();
  const auto changes = harness_.Run(client_.AwaitChanges("t", snapshot.value().version, milliseconds(20)));
  ASSERT_TRUE(changes);
  EXPECT_TRUE(changes.value().is_history_lost);
  EXPECT_EQ(changes.value().era, snapshot.value().era + 1);
}

}  // namespace
}  // namespace persimmon
