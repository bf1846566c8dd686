// link: persimmon_platform persimmon_fake_parts
// Guards against a configuration that reverts, that is taken from a lagging peer, or that a bad record takes apart; and
// against two processes with one incarnation.
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

constexpr milliseconds kSlowAnswer = milliseconds(25);  // longer than the wait for peers
constexpr milliseconds kPause = milliseconds(30);       // in which something that must not happen would happen

// A pool whose queue limit is the revision, so that mixed revisions are seen.
std::string PoolText(revision_number revision) {
  return fmt::format(R"({{"kind":"pool","name":"p","schema":1,"version":{},"queue_limit":{}}})", revision, revision);
}

void WriteRevision(platform_in_process& world, revision_number revision, const std::vector<std::string>& texts) {
  std::vector<fakes::row_write> writes = {
      {{"config", "head"}, fmt::format(R"({{"revision":{}}})", revision), false, std::nullopt}};
  for (const std::string& text : texts) {
    writes.push_back({{"config", RecordKey(text).value()}, text, false, std::nullopt});
  }
  world.Platform().Tables().Commit(writes);
}

config_store_settings FastSettings() {
  config_store_settings settings;
  settings.poll_period = milliseconds(4);
  settings.peer_wait = milliseconds(4);
  settings.single_zone_wait = milliseconds(8);
  return settings;
}

// One process that is started again and again, with the revisions that it has applied.
class process_history {
 public:
  // The time-out is long, so that a busy VM does not look like an outage, which closes connections at once.
  explicit process_history(platform_in_process& world) : world_(world), table_(world.Client(milliseconds(10'000))) {
    Restart();
  }
  ~process_history() { store_->Stop(); }

  void Restart() {
    if (store_) {
      store_->Stop();
    }
    store_ = std::make_unique<config_store>(world_.Timers(), world_.Context(), table_, FastSettings());
    store_->Subscribe([this](const std::shared_ptr<const configuration>& applied) { Note(*applied); });
    store_->Start();
  }

  config_store& Store() { return *store_; }
  revision_number Highest() const { return highest_; }
  const std::string& Problem() const { return problem_; }

 private:
  void Note(const configuration& applied) {
    if (applied.revision < highest_) {
      problem_ = fmt::format("revision {} was applied after {}", applied.revision, highest_);
    }
    if (applied.pools.at("p").queue_limit != applied.revision) {
      problem_ = fmt::format("revision {} has a record of another one", applied.revision);
    }
    highest_ = std::max(highest_, applied.revision);
  }

  platform_in_process& world_;
  table_client table_;
  std::unique_ptr<config_store> store_;
  revision_number highest_ = 0;
  std::string problem_;
};

void Offer(process_history& process, int peer, revision_number revision) {
  config_snapshot snapshot;
  snapshot.revision = revision;
  snapshot.records = {PoolText(revision)};
  process.Store().OfferSnapshot("r" + std::to_string(peer), snapshot, peer % 2 == 0 ? "sofia-a" : "sofia-b");
}

// ---------------------------------------------------------------------------------------------------------------------
// revisions
// ---------------------------------------------------------------------------------------------------------------------

RC_GTEST_PROP(config_store_property, Revision_ThroughOutagesLagAndRestarts_IsNeverLowerThanApplied, ()) {
  platform_in_process world;
  revision_number head = 1;
  WriteRevision(world, head, {PoolText(head)});
  process_history process(world);
  RC_ASSERT(world.RunUntil([&] { return process.Store().Revision() == head; }));
  const auto steps = *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 5));
  for (const int step : steps) {
    const bool outage = world.Platform().Faults().outage;
    if (step == 0 && !outage) {
      WriteRevision(world, head + 1, {PoolText(head + 1)});
      ++head;
    } else if (step == 1) {
      world.Platform().Faults().outage = !outage;
    } else if (step == 2) {
      Offer(process, *rc::gen::inRange(0, 3), *rc::gen::inRange<revision_number>(1, head + 1));
    } else if (step == 3) {
      // The process restarts. In an outage, one of its peers holds what it had applied. While the store answers, even
      // slowly, all peers may lag.
      const revision_number held = process.Highest();
      const int informed = outage ? *rc::gen::inRange(0, 3) : -1;
      world.Platform().Faults().delay = outage ? milliseconds(0) : kSlowAnswer;
      process.Restart();
      for (int peer = 0; peer < 3; ++peer) {
        Offer(process, peer, peer == informed ? held : *rc::gen::inRange<revision_number>(1, held + 1));
      }
      RC_ASSERT(world.RunUntil([&] { return process.Store().IsInForce(); }));
      world.Platform().Faults().delay = milliseconds(0);
    } else if (!outage) {
      RC_ASSERT(world.RunUntil([&] { return process.Store().Revision() == head; }));
    }
    world.RunFor(milliseconds(*rc::gen::inRange(0, 8)));
    RC_ASSERT(process.Problem() == "");
    RC_ASSERT(process.Store().Revision() <= head);
  }
  world.Platform().Faults().outage = false;
  RC_ASSERT(world.RunUntil([&] { return process.Store().Revision() == head; }));
  RC_ASSERT(process.Problem() == "");
}

RC_GTEST_PROP(config_store_property, StartInOutage_TakesTheHighestOfSeveralPeersAndNotBefore, ()) {
  platform_in_process world;
  world.Platform().Faults().outage = true;
  process_history process(world);
  const std::size_t needed = *rc::gen::inRange<std::size_t>(2, 4);
  process.Store().SetPeersNeeded(needed);
  RC_ASSERT(world.RunUntil([&] { return world.Platform().Counts().refused > 1; }));
  const auto revisions =
      *rc::gen::container<std::vector<revision_number>>(needed + 1, rc::gen::inRange<revision_number>(1, 50));
  for (std::size_t peer = 0; peer + 1 < needed; ++peer) {
    Offer(process, static_cast<int>(peer), revisions[peer]);
    Offer(process, static_cast<int>(peer), revisions[peer]);  // one peer counts once
  }
  world.RunFor(kPause);
  RC_ASSERT(!process.Store().IsInForce());
  for (std::size_t peer = needed - 1; peer < revisions.size(); ++peer) {
    Offer(process, static_cast<int>(peer), revisions[peer]);
  }
  RC_ASSERT(world.RunUntil([&] { return process.Store().IsInForce(); }));
  RC_ASSERT(process.Store().Revision() == *std::max_element(revisions.begin(), revisions.end()));
}

TEST(config_store_test, Offer_WhileTheStoreAnswers_IsNotTakenAtStart) {
  platform_in_process world;
  WriteRevision(world, 9, {PoolText(9)});
  world.Platform().Faults().delay = kSlowAnswer;
  process_history process(world);
  Offer(process, 0, 4);
  Offer(process, 1, 5);
  ASSERT_TRUE(world.RunUntil([&] { return process.Store().IsInForce(); }));
  EXPECT_EQ(process.Store().Revision(), 9U);
}

TEST(config_store_test, Apply_WhenARecordIsBad_KeepsItsEarlierTextAndAppliesTheOthers) {
  platform_in_process world;
  const std::string account = R"({"kind":"account","name":"a","schema":2,"api_key_sha256":")" + std::string(64, 'b') +
                              R"(","limits":{"connections":)";
  WriteRevision(world, 1, {PoolText(1), account + "1}}"});
  process_history process(world);
  ASSERT_TRUE(world.RunUntil([&] { return process.Store().Revision() == 1; }));
  const std::string bad = R"({"kind":"pool","name":"p","schema":1,"queue_limit":2,"call_timeout_ms":"soon"})";
  WriteRevision(world, 2, {bad, account + "2}}"});
  ASSERT_TRUE(world.RunUntil([&] { return process.Store().Revision() == 2; }));
  const auto current = process.Store().Current();
  EXPECT_EQ(current->pools.at("p").queue_limit, 1U);  // nothing of the bad record is applied
  EXPECT_EQ(current->accounts.at(account_name{"a"}).connections, 2U);
}

TEST(config_store_test, SetPolling_WhenOff_StopsReadingOnceInForce) {
  platform_in_process world;
  WriteRevision(world, 1, {PoolText(1)});
  process_history process(world);
  process.Store().SetPolling(false);
  ASSERT_TRUE(world.RunUntil([&] { return process.Store().IsInForce(); }));
  WriteRevision(world, 2, {PoolText(2)});
  world.RunFor(kPause);
  EXPECT_EQ(process.Store().Revision(), 1U);
  process.Store().SetPolling(true);
  EXPECT_TRUE(world.RunUntil([&] { return process.Store().Revision() == 2; }));
}

// ---------------------------------------------------------------------------------------------------------------------
// incarnations
// ---------------------------------------------------------------------------------------------------------------------

incarnation_settings FastDraws() { return {.attempts = 50, .pause = milliseconds(1)}; }

RC_GTEST_PROP(incarnation_property, Draw_ByManyWithLostReplies_NeverGivesANumberTwice, ()) {
  platform_in_process world;
  const int callers = *rc::gen::inRange(1, 8);
  world.Platform().Faults().lose_replies = *rc::gen::inRange<std::uint32_t>(0, 6);
  std::vector<std::shared_ptr<std::optional<result<incarnation_number>>>> draws;
  for (int i = 0; i < callers; ++i) {
    draws.push_back(world.Spawn(DrawIncarnation(world.Timers(), world.Client(), "e1", FastDraws())));
  }
  std::set<incarnation_number> numbers;
  for (const auto& draw : draws) {
    RC_ASSERT(world.RunUntil([&] { return draw->has_value(); }));
    RC_ASSERT((*draw)->has_value());
    RC_ASSERT(numbers.insert((*draw)->value()).second);
  }
}

TEST(incarnation_test, Draw_WhenTheReplyIsLost_ReturnsTheNumberThatWasWritten) {
  platform_in_process world;
  world.Platform().Faults().lose_replies = 1;
  const auto drawn = world.Run(DrawIncarnation(world.Timers(), world.Client(), "e1", FastDraws()));
  ASSERT_TRUE(drawn.has_value());
  EXPECT_EQ(drawn.value(), 1U);
  EXPECT_EQ(world.Platform().Counts().transactions, 1U);
}

TEST(incarnation_test, Draw_InAnOutage_ReturnsAnError) {
  platform_in_process world;
  world.Platform().Faults().outage = true;
  const incarnation_settings settings{.attempts = 2, .pause = milliseconds(1)};
  const auto drawn = world.Run(DrawIncarnation(world.Timers(), world.Client(), "e1", settings));
  ASSERT_FALSE(drawn.has_value());
  EXPECT_EQ(drawn.error().code, error_code::kClosed);
}

// ---------------------------------------------------------------------------------------------------------------------
// table client and VM list
// ---------------------------------------------------------------------------------------------------------------------

TEST(table_client_test, Commit_WhenTheFirstServerIsDown_UsesTheSecond) {
  platform_in_process world;
  table_client client(world.Context(), {host_port{"127.0.0.1", 1}, world.Address()}, milliseconds(500));
  table_write write;
  write.table = "t";
  write.key = "a/b c%";
  write.value = "{}";
  write.condition = row_condition::kAbsent;
  const auto first = world.Run(client.Commit({write}));
  ASSERT_TRUE(first.has_value());
  EXPECT_TRUE(first.value().committed);
  const auto second = world.Run(client.Commit({write}));
  EXPECT_FALSE(second.value().committed);
  EXPECT_EQ(second.value().conflicts, (std::vector<table_row>{{"t", "a/b c%", "{}", 1}}));
  const auto row = world.Run(client.ReadRow("t", "a/b c%"));
  EXPECT_EQ(row.value()->version, 1U);
}

TEST(vm_list_test, Register_WhenTheListLags_IsSeenAfterTheLag) {
  platform_in_process world;
  world.Platform().Faults().vm_lag = milliseconds(0);
  const platform_client client(world.Context(), {world.Address()}, milliseconds(500));
  vm_list list(world.Timers(), world.Context(), client, {.poll_period = milliseconds(5)});
  const listed_vm own{"r1", vm_role::kRouter, {"127.0.0.1", 9001}, "hall-kiln", vm_phase::kLive};
  world.Platform().Faults().outage = true;
  list.Announce(own);
  list.Start();
  world.RunFor(kPause);
  EXPECT_FALSE(list.HasBeenRead());
  world.Platform().Faults().outage = false;
  EXPECT_TRUE(world.RunUntil([&] { return list.Entries() == std::vector<listed_vm>{own}; }));
  list.Stop();
}

}  // namespace
}  // namespace persimmon
