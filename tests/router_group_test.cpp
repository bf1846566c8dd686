// link: persimmon_direct persimmon_fake_parts
// Exchange of state between routers by datagrams: discovery, endpoint loads, and routers that leave.
//
// Sections
//   1. a group of routers
//   2. leaving
//   3. waiting requests
//   4. large groups
#include "direct/router_group.h"

#include <gtest/gtest.h>

#include "support/processes.h"

namespace persimmon {
namespace {

// ---------------------------------------------------------------------------------------------------------------------
// 1. a group of routers
// ---------------------------------------------------------------------------------------------------------------------

// Each router has its own loopback address, because all use the same port. The first router is the seed of the others.
class router_group_test : public testing::Test {
 protected:
  struct member {
    kernel services;
    direct_settings settings;
    router_group* group = nullptr;
    std::vector<endpoint_use> uses;
    std::vector<waiting_count> waiting;
  };

  void AddRouters(int count) {
    for (int i = 0; i < count; ++i) {
      auto added = std::make_unique<member>();
      const std::string host = "127.0.0." + std::to_string(members_.size() + 1);
      added->settings.deployment.name = "router-" + std::to_string(members_.size() + 1);
      added->settings.deployment.callers = {host, 1};
      added->settings.deployment.control = {host, 2};
      added->settings.deployment.first_internal_port = port_;
      added->settings.deployment.seeds = {{"127.0.0.1", 2}};
      added->group = &added->services.Register<router_group>("group", added->services, added->settings);
      added->group->local_uses = [uses = &added->uses] { return *uses; };
      added->group->local_waiting = [waiting = &added->waiting] { return *waiting; };
      added->group->local_revision = [] { return revision_number(1); };
      added->services.Start();
      members_.push_back(std::move(added));
    }
  }

  bool RunUntil(const std::function<bool()>& condition, milliseconds limit) {
    const time_point deadline = timer_service::Now() + limit;
    while (!condition()) {
      if (timer_service::Now() > deadline) {
        return false;
      }
      for (const auto& each : members_) {
        each->services.Context().restart();
        each->services.Context().poll();
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
    return true;
  }

  void RunFor(milliseconds duration) {
    const time_point end = timer_service::Now() + duration;
    RunUntil([end] { return timer_service::Now() >= end; }, duration + milliseconds(1'000));
  }

  bool AllRouterCountsAre(std::uint32_t routers) const {
    return std::all_of(members_.begin(), members_.end(),
                       [routers](const auto& each) { return each->group->RouterCount() == routers; });
  }

  router_group& Group(std::size_t index) { return *members_[index]->group; }

  void SetUse(std::size_t index, std::uint32_t held_tokens) {
    endpoint_use use;
    use.endpoint = EndpointKey(kEngine);
    use.streams = {{held_tokens, 0}};
    members_[index]->uses = {use};
    members_[index]->group->ScheduleUpdate();
  }

  // Memory of the streams on kEngine of all other routers, as the router knows it.
  std::uint64_t PeerTokens(std::size_t index) { return PredictPeakMemory(Group(index).PeerUse(kEngine).streams); }

  const endpoint_name kEngine{"engine-1"};
  std::uint16_t port_ = static_cast<std::uint16_t>(support::FreePort());
  std::vector<std::unique_ptr<member>> members_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. leaving
// ---------------------------------------------------------------------------------------------------------------------

// A stopping router still forwards streams for seconds. If the other routers did not count their memory, they would ask
// full engines for reservations.
TEST_F(router_group_test, LeavingRouter_WithStreamsInProgress_StillCountsInTheEngineLoad) {
  AddRouters(3);
  ASSERT_TRUE(RunUntil([this] { return AllRouterCountsAre(3); }, milliseconds(5'000)));
  SetUse(0, 700);
  ASSERT_TRUE(RunUntil([this] { return PeerTokens(1) == 700; }, milliseconds(2'000)));
  Group(0).StartLeaving();
  RunFor(milliseconds(100));
  EXPECT_EQ(PeerTokens(1), 700U);
  SetUse(0, 300);
  EXPECT_TRUE(RunUntil([this] { return PeerTokens(2) == 300; }, milliseconds(2'000)));
}

// Guards against treating every message of a leaving router as one of a new router. All others then logged two lines
// and sent their full state for each: 2,000 lines in one day with five routers.
TEST_F(router_group_test, LeavingRouter_ThatKeepsSending_IsNotTreatedAsANewOne) {
  AddRouters(2);
  ASSERT_TRUE(RunUntil([this] { return AllRouterCountsAre(2); }, milliseconds(5'000)));
  int changes = 0;
  Group(1).on_change = [&changes] { ++changes; };
  Group(0).StartLeaving();
  for (int i = 0; i < 10; ++i) {
    Group(0).ScheduleUpdate();
    RunFor(milliseconds(50));
  }
  EXPECT_EQ(changes, 0) << "its endpoint loads have not changed";
}

// A router that has left sends no requests, so its share of the common limits must go to the others.
TEST_F(router_group_test, LeavingRouter_OnceItIsSilent_IsNotCounted) {
  AddRouters(3);
  ASSERT_TRUE(RunUntil([this] { return AllRouterCountsAre(3); }, milliseconds(5'000)));
  Group(2).StartLeaving();
  RunFor(milliseconds(50));
  members_[2]->services.Stop();
  members_.pop_back();
  EXPECT_TRUE(RunUntil([this] { return AllRouterCountsAre(2); }, milliseconds(4'000)));
}

// Guards against a share of the common limits that grows behind a cut: both sides of it would use the whole limit.
TEST_F(router_group_test, SilentRouter_ThatHasNotLeft_StillCountsInTheCommonLimits) {
  AddRouters(3);
  ASSERT_TRUE(RunUntil([this] { return AllRouterCountsAre(3); }, milliseconds(5'000)));
  members_[2]->services.Stop();
  members_.pop_back();
  RunFor(milliseconds(13'000));  // longer than a silent router stays a peer
  EXPECT_TRUE(AllRouterCountsAre(3));
}

// A router that has not heard of any other yet must not take a part of the common limits that belongs to them.
TEST_F(router_group_test, Router_ThatHasHeardOfNoOther_DoesNotKnowHowManyShareTheLimits) {
  AddRouters(2);
  members_.erase(members_.begin());  // the seed of the other
  RunFor(milliseconds(200));
  EXPECT_EQ(Group(0).RouterCount(), 0U);
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. waiting requests
// ---------------------------------------------------------------------------------------------------------------------

// Late requests yield capacity to waiting requests that other routers report; those of a router that has ended must not
// block them.
TEST_F(router_group_test, WaitingRequests_OfOtherRouters_AreSummedUntilTheyAreSilent) {
  AddRouters(3);
  ASSERT_TRUE(RunUntil([this] { return AllRouterCountsAre(3); }, milliseconds(5'000)));
  members_[1]->waiting = {{ServiceKey("llm"), 2}, {ServiceKey("app"), 1}};
  members_[2]->waiting = {{ServiceKey("llm"), 3}};
  Group(1).ScheduleUpdate();
  Group(2).ScheduleUpdate();
  EXPECT_TRUE(RunUntil([this] { return Group(0).PeersWaiting("llm") == 5; }, milliseconds(2'000)));
  EXPECT_EQ(Group(0).PeersWaiting("app"), 1U);
  EXPECT_EQ(Group(0).PeersWaiting("other"), 0U);
  members_[2]->services.Stop();
  members_.pop_back();
  EXPECT_TRUE(RunUntil([this] { return Group(0).PeersWaiting("llm") == 2; }, milliseconds(3'000)));
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. large groups
// ---------------------------------------------------------------------------------------------------------------------

// Guards against a router whose messages are dropped under load, because they exceed a datagram: the others take it for
// gone. 400 streams on 144 endpoints.
TEST_F(router_group_test, RouterWithManyStreams_IsHeardAndItsLoadsAreKnown) {
  AddRouters(3);
  ASSERT_TRUE(RunUntil([this] { return AllRouterCountsAre(3); }, milliseconds(5'000)));
  constexpr std::uint32_t kEndpoints = 144;
  constexpr std::uint32_t kStreams = 400;
  const auto name_of = [](std::uint32_t i) { return endpoint_name{"engine-" + std::to_string(i % kEndpoints)}; };
  std::map<std::uint64_t, endpoint_use> uses;
  for (std::uint32_t i = 0; i < kStreams; ++i) {
    endpoint_use& use = uses[EndpointKey(name_of(i))];
    use.endpoint = EndpointKey(name_of(i));
    use.streams.push_back({1'000 + i, 500, 0});
  }
  for (const auto& [key, use] : uses) {
    members_[0]->uses.push_back(use);
  }
  Group(0).local_revision = [] { return revision_number(2); };
  Group(0).ScheduleUpdate();
  const auto streams_at = [&](std::size_t index) {
    std::size_t count = 0;
    for (std::uint32_t i = 0; i < kEndpoints; ++i) {
      count += Group(index).PeerUse(name_of(i)).streams.size();
    }
    return count;
  };
  EXPECT_TRUE(RunUntil([&] { return streams_at(1) == kStreams && streams_at(2) == kStreams; }, milliseconds(2'000)));
  EXPECT_EQ(Group(1).NewestPeerRevision(), 2U);
  RunFor(milliseconds(2'000));  // longer than a silent router counts as live
  EXPECT_EQ(Group(1).LiveMembers().size(), 3U);
  EXPECT_EQ(streams_at(1), kStreams);
  members_[0]->uses.clear();
  Group(0).ScheduleUpdate();
  EXPECT_TRUE(RunUntil([&] { return streams_at(1) == 0 && streams_at(2) == 0; }, milliseconds(2'000)));
}

// One engine with more streams than a datagram holds.
TEST_F(router_group_test, EndpointWithManyStreams_IsKnownWithAllTheirMemory) {
  AddRouters(2);
  ASSERT_TRUE(RunUntil([this] { return AllRouterCountsAre(2); }, milliseconds(5'000)));
  endpoint_use use;
  use.endpoint = EndpointKey(kEngine);
  use.streams.assign(1'000, stream_memory{10, 0, 0});
  members_[0]->uses = {use};
  Group(0).ScheduleUpdate();
  EXPECT_TRUE(RunUntil([this] { return PeerTokens(1) == 10'000; }, milliseconds(2'000)));
}

// Shared limits are divided by the number of routers, so each router must know all others in a group of any size.
TEST_F(router_group_test, LargeGroup_FromOneSeed_AllKnowEachOtherAndTheirLoads) {
  constexpr std::uint32_t kRouters = 24;
  AddRouters(kRouters);
  EXPECT_TRUE(RunUntil([this] { return AllRouterCountsAre(kRouters); }, milliseconds(10'000)));
  for (std::size_t i = 0; i < kRouters; ++i) {
    SetUse(i, 100);
  }
  EXPECT_TRUE(RunUntil(
      [this] {
        return std::all_of(members_.begin(), members_.end(), [this](const auto& each) {
          return PredictPeakMemory(each->group->PeerUse(kEngine).streams) == (kRouters - 1) * 100;
        });
      },
      milliseconds(3'000)));
}

}  // namespace
}  // namespace persimmon
