// link: persimmon_platform persimmon_fake_parts
// Guards against a configuration that goes back to a lower revision, is taken from a lagging peer or is broken by an
// invalid record, and against two processes with the same incarnation.
#include "store/config_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "store/incarnation.h"
#include "store/vm_list.h"
#include "support/platform_in_process.h"

namespace persimmon {
namespace {

using support::platform_in_process;

constexpr milliseconds kSlowReply = milliseconds(25);    // longer than the wait for snapshots of peers
constexpr milliseconds kQuietPeriod = milliseconds(30);  // wait before checking that something has not happened

// A pool whose queue limit equals its revision, so that a mix of revisions is detected.
std::string PoolText(revision_number revision) {
  return fmt::format(R"({{"kind":"pool","name":"p","schema":1,"version":{},"queue_limit":{}}})", revision, revision);
}

void WriteRevision(platform_in_process& fixture, revision_number revision, const std::vector<std::string>& texts) {
  std::vector<fakes::row_write> writes = {
      {{"config", "head"}, fmt::format(R"({{"revision":{}}})", revision), false, std::nullopt}};
  for (const std::string& text : texts) {
    writes.push_back({{"config", RecordKey(text).value()}, text, false, std::nullopt});
  }
  fixture.Platform().Tables().Commit(writes);
}

config_store_settings FastSettings() {
  config_store_settings settings;
  settings.poll_period = milliseconds(4);
  settings.peer_wait = milliseconds(4);
  settings.single_zone_wait = milliseconds(8);
  return settings;
}

// A process that can be restarted. Checks the revisions that it applies.
class process_history {
 public:
  // The timeout is long, so that a busy VM is not taken for an outage. A simulated outage closes connections at once.
  explicit process_history(platform_in_process& fixture)
      : fixture_(fixture), table_(fixture.Client(milliseconds(10'000))) {
    Restart();
  }
  ~process_history() { store_->Stop(); }

  void Restart() {
    if (store_) {
      store_->Stop();
    }
    store_ = std::make_unique<config_store>(fixture_.Timers(), fixture_.Context(), table_, FastSettings());
    store_->Subscribe([this](const std::shared_ptr<const configuration>& applied) { RecordRevision(*applied); });
    store_->Start();
  }

  config_store& Store() { return *store_; }
  revision_number Highest() const { return highest_; }
  const std::string& Violation() const { return violation_; }

 private:
  void RecordRevision(const configuration& applied) {
    if (applied.revision < highest_) {
      violation_ = fmt::format("revision {} was applied after {}", applied.revision, highest_);
    }
    if (applied.pools.at("p").queue_limit != applied.revision) {
      violation_ = fmt::format("revision {} has a record of another revision", applied.revision);
    }
    highest_ = std::max(highest_, applied.revision);
  }

  platform_in_process& fixture_;
  table_client table_;
  std::unique_ptr<config_store> store_;
  revision_number highest_ = 0;
  std::string violation_;
};

void OfferRevision(process_history& process, int peer, revision_number revision) {
  config_snapshot snapshot;
  snapshot.revision = revision;
  snapshot.records = {PoolText(revision)};
  process.Store().OfferSnapshot("r" + std::to_string(peer), snapshot, peer % 2 == 0 ? "sofia-a" : "sofia-b");
}

// ---------------------------------------------------------------------------------------------------------------------
// revisions
// ---------------------------------------------------------------------------------------------------------------------

RC_GTEST_PROP(config_store_property, Revision_ThroughOutagesLagAndRestarts_IsNeverLowerThanApplied, ()) {
  platform_in_process fixture;
  revision_number head = 1;
  WriteRevision(fixture, head, {PoolText(head)});
  process_history process(fixture);
  RC_ASSERT(fixture.RunUntil([&] { return process.Store().Revision() == head; }));
  const auto steps = *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 5));
  for (const int step : steps) {
    const bool outage = fixture.Platform().Faults().outage;
    if (step == 0 && !outage) {
      WriteRevision(fixture, head + 1, {PoolText(head + 1)});
      ++head;
    } else if (step == 1) {
      fixture.Platform().Faults().outage = !outage;
    } else if (step == 2) {
      OfferRevision(process, *rc::gen::inRange(0, 3), *rc::gen::inRange<revision_number>(1, head + 1));
    } else if (step == 3) {
      // Restarts the process. During an outage, one of its peers has the revision that it had applied. While the store
      // is available, even if slow, all peers may lag behind.
      const revision_number held = process.Highest();
      const int up_to_date_peer = outage ? *rc::gen::inRange(0, 3) : -1;
      fixture.Platform().Faults().delay = outage ? milliseconds(0) : kSlowReply;
      process.Restart();
      for (int peer = 0; peer < 3; ++peer) {
        OfferRevision(process, peer, peer == up_to_date_peer ? held : *rc::gen::inRange<revision_number>(1, held + 1));
      }
      RC_ASSERT(fixture.RunUntil([&] { return process.Store().IsInForce(); }));
      fixture.Platform().Faults().delay = milliseconds(0);
    } else if (!outage) {
      RC_ASSERT(fixture.RunUntil([&] { return process.Store().Revision() == head; }));
    }
    fixture.RunFor(milliseconds(*rc::gen::inRange(0, 8)));
    RC_ASSERT(process.Violation() == "");
    RC_ASSERT(process.Store().Revision() <= head);
  }
  fixture.Platform().Faults().outage = false;
  RC_ASSERT(fixture.RunUntil([&] { return process.Store().Revision() == head; }));
  RC_ASSERT(process.Violation() == "");
}

RC_GTEST_PROP(config_store_property, StartInOutage_TakesTheHighestOfSeveralPeersAndNotBefore, ()) {
  platform_in_process fixture;
  fixture.Platform().Faults().outage = true;
  process_history process(fixture);
  const std::size_t needed = *rc::gen::inRange<std::size_t>(2, 4);
  process.Store().SetPeersNeeded(needed);
  RC_ASSERT(fixture.RunUntil([&] { return fixture.Platform().Counts().refused > 1; }));
  const auto revisions =
      *rc::gen::container<std::vector<revision_number>>(needed + 1, rc::gen::inRange<revision_number>(1, 50));
  for (std::size_t peer = 0; peer + 1 < needed; ++peer) {
    OfferRevision(process, static_cast<int>(peer), revisions[peer]);
    OfferRevision(process, static_cast<int>(peer), revisions[peer]);  // a repeated snapshot of one peer counts once
  }
  fixture.RunFor(kQuietPeriod);
  RC_ASSERT(!process.Store().IsInForce());
  for (std::size_t peer = needed - 1; peer < revisions.size(); ++peer) {
    OfferRevision(process, static_cast<int>(peer), revisions[peer]);
  }
  RC_ASSERT(fixture.RunUntil([&] { return process.Store().IsInForce(); }));
  RC_ASSERT(process.Store().Revision() == *std::max_element(revisions.begin(), revisions.end()));
}

TEST(config_store_test, OfferSnapshot_WhileTheStoreIsAvailable_IsNotAppliedAtStart) {
  platform_in_process fixture;
  WriteRevision(fixture, 9, {PoolText(9)});
  fixture.Platform().Faults().delay = kSlowReply;
  process_history process(fixture);
  OfferRevision(process, 0, 4);
  OfferRevision(process, 1, 5);
  ASSERT_TRUE(fixture.RunUntil([&] { return process.Store().IsInForce(); }));
  EXPECT_EQ(process.Store().Revision(), 9U);
}

TEST(config_store_test, Apply_WhenARecordIsInvalid_KeepsItsTextInForceAndAppliesTheOthers) {
  platform_in_process fixture;
  const std::string account = R"({"kind":"account","name":"a","schema":2,"api_key_sha256":")" + std::string(64, 'b') +
                              R"(","limits":{"connections":)";
  WriteRevision(fixture, 1, {PoolText(1), account + "1}}"});
  process_history process(fixture);
  ASSERT_TRUE(fixture.RunUntil([&] { return process.Store().Revision() == 1; }));
  const std::string bad = R"({"kind":"pool","name":"p","schema":1,"queue_limit":2,"call_timeout_ms":"soon"})";
  WriteRevision(fixture, 2, {bad, account + "2}}"});
  ASSERT_TRUE(fixture.RunUntil([&] { return process.Store().Revision() == 2; }));
  const auto current = process.Store().Current();
  EXPECT_EQ(current->pools.at("p").queue_limit, 1U);  // no field of the invalid record is applied
  EXPECT_EQ(current->accounts.at(account_name{"a"}).connections, 2U);
}

TEST(config_store_test, SetPolling_WhenOff_StopsReadingOnceInForce) {
  platform_in_process fixture;
  WriteRevision(fixture, 1, {PoolText(1)});
  process_history process(fixture);
  process.Store().SetPolling(false);
  ASSERT_TRUE(fixture.RunUntil([&] { return process.Store().IsInForce(); }));
  WriteRevision(fixture, 2, {PoolText(2)});
  fixture.RunFor(kQuietPeriod);
  EXPECT_EQ(process.Store().Revision(), 1U);
  process.Store().SetPolling(true);
  EXPECT_TRUE(fixture.RunUntil([&] { return process.Store().Revision() == 2; }));
}

// ---------------------------------------------------------------------------------------------------------------------
// incarnations
// ---------------------------------------------------------------------------------------------------------------------

incarnation_settings FastAllocation() { return {.attempts = 50, .retry_delay = milliseconds(1)}; }

RC_GTEST_PROP(incarnation_property, Allocate_ByManyCallersWithLostReplies_NeverReturnsANumberTwice, ()) {
  platform_in_process fixture;
  const int callers = *rc::gen::inRange(1, 8);
  fixture.Platform().Faults().lose_replies = *rc::gen::inRange<std::uint32_t>(0, 6);
  std::vector<std::shared_ptr<std::optional<result<incarnation_number>>>> allocations;
  for (int i = 0; i < callers; ++i) {
    allocations.push_back(
        fixture.Spawn(AllocateIncarnation(fixture.Timers(), fixture.Client(), "e1", FastAllocation())));
  }
  std::set<incarnation_number> numbers;
  for (const auto& allocation : allocations) {
    RC_ASSERT(fixture.RunUntil([&] { return allocation->has_value(); }));
    RC_ASSERT((*allocation)->has_value());
    RC_ASSERT(numbers.insert((*allocation)->value()).second);
  }
}

TEST(incarnation_test, Allocate_WhenTheReplyIsLost_ReturnsTheNumberThatWasWritten) {
  platform_in_process fixture;
  fixture.Platform().Faults().lose_replies = 1;
  const auto allocated = fixture.Run(AllocateIncarnation(fixture.Timers(), fixture.Client(), "e1", FastAllocation()));
  ASSERT_TRUE(allocated.has_value());
  EXPECT_EQ(allocated.value(), 1U);
  EXPECT_EQ(fixture.Platform().Counts().transactions, 1U);
}

// Guards against an incarnation that is given out twice because the counter came back from an older copy.
TEST(incarnation_test, Allocate_AfterTheStoreCameBackFromAnOlderCopy_ReturnsAHigherNumber) {
  platform_in_process fixture;
  const auto allocate = [&fixture] {
    return fixture.Run(AllocateIncarnation(fixture.Timers(), fixture.Client(), "e1", FastAllocation())).value();
  };
  allocate();
  fixture.Platform().Tables().SaveCopy();
  const incarnation_number last = allocate();
  fixture.Platform().Tables().Restore();
  EXPECT_GT(allocate(), last);
}

TEST(incarnation_test, Allocate_InAnOutage_ReturnsAnError) {
  platform_in_process fixture;
  fixture.Platform().Faults().outage = true;
  const incarnation_settings settings{.attempts = 2, .retry_delay = milliseconds(1)};
  const auto allocated = fixture.Run(AllocateIncarnation(fixture.Timers(), fixture.Client(), "e1", settings));
  ASSERT_FALSE(allocated.has_value());
  EXPECT_EQ(allocated.error().code, error_code::kClosed);
}

// ---------------------------------------------------------------------------------------------------------------------
// table client and VM list
// ---------------------------------------------------------------------------------------------------------------------

TEST(table_client_test, Commit_WhenTheFirstServerIsDown_UsesTheSecond) {
  platform_in_process fixture;
  table_client client(fixture.Context(), {host_port{"127.0.0.1", 1}, fixture.Address()}, milliseconds(500));
  table_write write;
  write.table = "t";
  write.key = "a/b c%";
  write.value = "{}";
  write.condition = row_condition::kAbsent;
  const auto first = fixture.Run(client.Commit({write}));
  ASSERT_TRUE(first.has_value());
  EXPECT_TRUE(first.value().committed);
  const auto second = fixture.Run(client.Commit({write}));
  EXPECT_FALSE(second.value().committed);
  EXPECT_EQ(second.value().conflicts, (std::vector<table_row>{{"t", "a/b c%", "{}", 1, 1}}));
  const auto row = fixture.Run(client.ReadRow("t", "a/b c%"));
  EXPECT_EQ(row.value()->version, 1U);
}

TEST(vm_list_test, Register_WhenTheListLags_IsSeenAfterTheLag) {
  platform_in_process fixture;
  fixture.Platform().Faults().vm_lag = milliseconds(0);
  const platform_client client(fixture.Context(), {fixture.Address()}, milliseconds(500));
  vm_list list(fixture.Timers(), fixture.Context(), client, {.poll_period = milliseconds(5)});
  const listed_vm own{"r1", vm_role::kRouter, {"127.0.0.1", 9001}, "hall-kiln", vm_phase::kLive};
  fixture.Platform().Faults().outage = true;
  list.RegisterSelf(own);
  list.Start();
  fixture.RunFor(kQuietPeriod);
  EXPECT_FALSE(list.HasBeenRead());
  fixture.Platform().Faults().outage = false;
  EXPECT_TRUE(fixture.RunUntil([&] { return list.Entries() == std::vector<listed_vm>{own}; }));
  list.Stop();
}

}  // namespace
}  // namespace persimmon
