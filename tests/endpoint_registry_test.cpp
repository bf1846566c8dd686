// Tests of registered endpoints: entries that expire during a store outage, and draining.
#include "persimmon/endpoint_registry.h"

#include <gtest/gtest.h>

namespace persimmon {
namespace {

endpoint_entry MakeEntry(const std::string& name, bool draining = false) {
  endpoint_entry entry;
  entry.name = endpoint_name{name};
  entry.service = "app";
  entry.address = "10.0.0.1:80";
  entry.draining = draining;
  return entry;
}

class endpoint_registry_test : public testing::Test {
 protected:
  std::size_t Ready() const { return registry_.ListReady("app").size(); }

  time_point now_{std::chrono::hours(1)};
  endpoint_registry registry_{registry_settings{}};
};

TEST_F(endpoint_registry_test, DrainingEndpoint_IsNotReadyButKnown) {
  registry_.PutEntry(MakeEntry("a"));
  registry_.PutEntry(MakeEntry("a", true));
  EXPECT_EQ(Ready(), 0U);
  EXPECT_NE(registry_.Find(endpoint_name{"a"}), nullptr);
}

TEST_F(endpoint_registry_test, RemovedEntry_WhileTheStoreIsStable_IsRemovedAtOnce) {
  registry_.PutEntry(MakeEntry("a"));
  registry_.RemoveEntry(endpoint_name{"a"}, now_);
  EXPECT_EQ(Ready(), 0U);
}

// Guards against the loss of live endpoints whose entries expired during a store outage.
TEST_F(endpoint_registry_test, MissingEntry_AfterAnOutage_StaysReadyUntilTheGracePeriodEnds) {
  registry_.PutEntry(MakeEntry("a"));
  registry_.PutEntry(MakeEntry("b"));
  registry_.ReplaceAll({MakeEntry("b")}, true, now_);
  EXPECT_EQ(Ready(), 2U);
  EXPECT_FALSE(registry_.RemoveExpiredEntries(now_ + milliseconds(2'000)));
  EXPECT_TRUE(registry_.RemoveExpiredEntries(now_ + milliseconds(2'300)));
  EXPECT_EQ(Ready(), 1U);
}

TEST_F(endpoint_registry_test, MissingEntry_WhenRenewed_StaysReady) {
  registry_.PutEntry(MakeEntry("a"));
  registry_.ReplaceAll({}, true, now_);
  registry_.PutEntry(MakeEntry("a"));
  registry_.RemoveExpiredEntries(now_ + milliseconds(10'000));
  EXPECT_EQ(Ready(), 1U);
}

// Guards against new work for an endpoint that was draining before the outage and has since left.
TEST_F(endpoint_registry_test, DrainingEntry_MissingAfterAnOutage_IsRemovedAtOnce) {
  registry_.PutEntry(MakeEntry("a", true));
  registry_.ReplaceAll({}, true, now_);
  EXPECT_EQ(registry_.Size(), 0U);
}

// Guards against new work for an endpoint that has left and whose old entry comes back with an older copy of the store.
TEST_F(endpoint_registry_test, DrainingEndpoint_WhoseEntryIsReadyAgain_StaysOutUntilItStartsAgain) {
  registry_.PutEntry(MakeEntry("a", true));
  registry_.PutEntry(MakeEntry("a"));
  EXPECT_EQ(Ready(), 0U);
  registry_.RemoveEntry(endpoint_name{"a"}, now_);
  registry_.RemoveExpiredEntries(now_ + milliseconds(1'000));
  registry_.PutEntry(MakeEntry("a"));
  EXPECT_EQ(Ready(), 0U);
  endpoint_entry restarted = MakeEntry("a");
  restarted.started_ms = 7;
  registry_.PutEntry(restarted);
  EXPECT_EQ(Ready(), 1U);
}

TEST_F(endpoint_registry_test, Endpoint_ThatHasStatedItsLeaving_ReceivesNoWorkUntilItStartsAgain) {
  endpoint_entry entry = MakeEntry("a");
  entry.started_ms = 5;
  registry_.PutEntry(entry);
  EXPECT_TRUE(registry_.RecordLeaving(entry.name, 5, now_));
  EXPECT_FALSE(registry_.RecordLeaving(entry.name, 5, now_));
  EXPECT_FALSE(registry_.ReceivesWork(entry.name, 5));
  registry_.PutEntry(entry);
  EXPECT_EQ(Ready(), 0U);
  entry.started_ms = 6;
  registry_.PutEntry(entry);
  EXPECT_TRUE(registry_.ReceivesWork(entry.name, 6));
  EXPECT_EQ(Ready(), 1U);
}

// Guards against work for an endpoint that had left: its restored entry is no sign of life, however often it is read.
TEST_F(endpoint_registry_test, RestoredEntry_OfARemovedEndpoint_GetsWorkOnlyWhenWrittenOrStillThereLater) {
  const auto restore = [this] {
    registry_.PutEntry(MakeEntry("a"));
    registry_.RemoveEntry(endpoint_name{"a"}, now_);
    registry_.ReplaceAllRestored({MakeEntry("a")}, now_);
  };
  restore();
  EXPECT_EQ(Ready(), 0U);
  registry_.ReplaceAll({MakeEntry("a")}, false, now_);
  registry_.ReplaceAllRestored({MakeEntry("a")}, now_ + milliseconds(1'000));
  registry_.RemoveExpiredEntries(now_ + milliseconds(5'000));
  EXPECT_EQ(Ready(), 0U);
  EXPECT_TRUE(registry_.RemoveExpiredEntries(now_ + milliseconds(5'900)));
  EXPECT_EQ(Ready(), 1U);
  restore();
  registry_.PutEntry(MakeEntry("a"));
  EXPECT_EQ(Ready(), 1U);
}

// An entry that was written after the copy was made is missing until its endpoint writes it again.
TEST_F(endpoint_registry_test, EntryThatTheOlderCopyLacks_StaysReadyForAWhile) {
  registry_.PutEntry(MakeEntry("a"));
  registry_.ReplaceAllRestored({}, now_);
  EXPECT_EQ(Ready(), 1U);
  EXPECT_TRUE(registry_.RemoveExpiredEntries(now_ + milliseconds(2'300)));
  EXPECT_EQ(Ready(), 0U);
}

// A late response of an earlier incarnation must not take the present one out of use.
TEST_F(endpoint_registry_test, LeavingOfAnEarlierIncarnation_LeavesThePresentOneInUse) {
  endpoint_entry entry = MakeEntry("a");
  entry.started_ms = 6;
  registry_.PutEntry(entry);
  registry_.RecordLeaving(entry.name, 5, now_);
  EXPECT_EQ(Ready(), 1U);
}

TEST_F(endpoint_registry_test, MissingEntry_WithoutAnOutage_IsRemovedAtOnce) {
  registry_.PutEntry(MakeEntry("a"));
  registry_.ReplaceAll({}, false, now_);
  EXPECT_EQ(registry_.Size(), 0U);
}

}  // namespace
}  // namespace persimmon
