// Guards against requests that are served late although they could be in time, long prompts that are starved by short
// ones, and requests that are lost or served twice.
//
// Sections
//   1. order
//   2. urgency and shares
//   3. refusals
//   4. any sequence of operations
#include "persimmon/placement_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

#include "decision_support.h"

namespace persimmon {
namespace {

class placement_queue_test : public testing::Test {
 protected:
  static placement_request Request(int id, std::int64_t latest_ms, std::uint32_t prompt = 3'000,
                                   std::int64_t expiry_ms = 5'000) {
    placement_request request;
    request.request = request_id{std::to_string(id)};
    request.latest_start = At(latest_ms);
    request.expiry = At(expiry_ms);
    request.memory = {prompt, 900};
    return request;
  }

  static engine_choice HasCapacity(const placement_request&) { return {wait_reason::kNone, 0, 0, 0}; }
  static engine_choice NoMemory(const placement_request&) { return {wait_reason::kDecodeMemory, 0, 0, std::nullopt}; }

  // Prefill engines have a full backlog; a decode engine prefills prompts of up to 2,400 tokens.
  static engine_choice OnlyLocalPrefill(const placement_request& request) {
    return request.memory.held_tokens <= 2'400 ? engine_choice{wait_reason::kNone, 0, 0, std::nullopt}
                                               : engine_choice{wait_reason::kPrefillBusy, 0, 0, std::nullopt};
  }

  std::string Next(const placement_queue::engine_chooser& choose, bool peers_wait = false) {
    const placement_step step = queue_.TakeNext(choose, peers_wait);
    return step.placed ? step.placed->request.value : "";
  }

  placement_queue queue_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 1. order
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(placement_queue_test, TakeNext_WithCapacity_FollowsTheLatestStart) {
  ASSERT_TRUE(queue_.Add(Request(1, 700), At(0)));
  ASSERT_TRUE(queue_.Add(Request(2, 300), At(0)));
  ASSERT_TRUE(queue_.Add(Request(3, 500), At(0)));
  EXPECT_EQ(Next(HasCapacity), "2");
  EXPECT_EQ(Next(HasCapacity), "3");
  EXPECT_EQ(Next(HasCapacity), "1");
  EXPECT_EQ(Next(HasCapacity), "");
}

TEST_F(placement_queue_test, LateRequest_WhileOneCanBeInTime_GoesBehindIt) {
  ASSERT_TRUE(queue_.Add(Request(1, 100), At(0)));
  ASSERT_TRUE(queue_.Add(Request(2, 900), At(400)));
  EXPECT_TRUE(queue_.TakeExpired(At(400)).empty());
  EXPECT_EQ(Next(HasCapacity), "2");
  EXPECT_EQ(Next(HasCapacity), "1");
}

// Guards against a late request that takes memory from requests of other routers that can still meet their target.
TEST_F(placement_queue_test, LateRequest_WhilePeersWait_YieldsToThem) {
  ASSERT_TRUE(queue_.Add(Request(1, -1), At(0)));
  EXPECT_EQ(Next(HasCapacity, true), "");
  EXPECT_EQ(Next(HasCapacity, false), "1");
}

TEST_F(placement_queue_test, ResumedStream_ThatIsLate_YieldsToNoPeer) {
  placement_request resumed = Request(2, -1, 3'000, 9'000);
  resumed.is_resumed = true;
  ASSERT_TRUE(queue_.Add(Request(1, -1), At(0)));
  ASSERT_TRUE(queue_.Add(resumed, At(0)));
  EXPECT_EQ(Next(HasCapacity, true), "2");
  EXPECT_EQ(Next(HasCapacity, true), "");
}

// Smaller requests would fit, but would starve a large one.
TEST_F(placement_queue_test, Head_ThatWaitsForMemory_IsNotOvertaken) {
  ASSERT_TRUE(queue_.Add(Request(1, 300, 8'000), At(0)));
  ASSERT_TRUE(queue_.Add(Request(2, 700, 500), At(0)));
  const auto only_small = [](const placement_request& request) {
    return request.memory.held_tokens + request.memory.remaining_tokens < 2'000 ? HasCapacity(request)
                                                                                : NoMemory(request);
  };
  const placement_step step = queue_.TakeNext(only_small, false);
  EXPECT_FALSE(step.placed);
  EXPECT_EQ(step.blocked, wait_reason::kDecodeMemory);
}

// A decode engine may not prefill the long prompt, so placing the short one does not delay it.
TEST_F(placement_queue_test, Head_ThatWaitsForPrefill_LetsShortPromptsGoToDecodeEngines) {
  ASSERT_TRUE(queue_.Add(Request(1, 300, 8'000), At(0)));
  ASSERT_TRUE(queue_.Add(Request(2, 700, 3'000), At(0)));
  ASSERT_TRUE(queue_.Add(Request(3, 900, 1'000), At(0)));
  const placement_step step = queue_.TakeNext(OnlyLocalPrefill, false);
  ASSERT_TRUE(step.placed);
  EXPECT_EQ(step.placed->request.value, "3");
  EXPECT_FALSE(step.engines.prefill);
  EXPECT_EQ(step.blocked, wait_reason::kPrefillBusy);
  EXPECT_EQ(queue_.Size(), 2U);
}

TEST_F(placement_queue_test, Requeue_AfterARefusedReservation_KeepsItsPlace) {
  ASSERT_TRUE(queue_.Add(Request(1, 300), At(0)));
  ASSERT_TRUE(queue_.Add(Request(2, 700), At(0)));
  const placement_step step = queue_.TakeNext(HasCapacity, false);
  queue_.Requeue(step.placed->request, At(10));
  EXPECT_EQ(Next(HasCapacity), "1");
}

// Guards against a stream that waits for one of few engines of its version and holds back requests for all others.
TEST_F(placement_queue_test, TakeNext_WhenAnEngineGroupIsFull_ServesTheOthers) {
  placement_request bound = Request(1, 100);
  bound.engine_group = 7;
  ASSERT_TRUE(queue_.Add(bound, At(0)));
  bound.request = request_id{"2"};
  ASSERT_TRUE(queue_.Add(bound, At(0)));
  ASSERT_TRUE(queue_.Add(Request(3, 700), At(0)));
  const auto group_is_full = [](const placement_request& request) {
    return request.engine_group == 7 ? NoMemory(request) : HasCapacity(request);
  };
  EXPECT_EQ(Next(group_is_full), "3");
  EXPECT_EQ(queue_.TakeNext(group_is_full, false).blocked, wait_reason::kDecodeMemory);
  EXPECT_EQ(Next(HasCapacity), "1");
  EXPECT_EQ(Next(HasCapacity), "2");
}

// Guards against small requests that starve a large one: without a group, only the most urgent request is tried.
TEST_F(placement_queue_test, TakeNext_WhenAllEnginesAreFull_LetsNoBoundRequestPass) {
  ASSERT_TRUE(queue_.Add(Request(1, 100), At(0)));
  placement_request bound = Request(2, 700);
  bound.engine_group = 7;
  ASSERT_TRUE(queue_.Add(bound, At(0)));
  EXPECT_EQ(Next([](const placement_request& request) {
              return request.engine_group == 7 ? HasCapacity(request) : NoMemory(request);
            }),
            "");
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. urgency and shares
// ---------------------------------------------------------------------------------------------------------------------

class urgency_queue_test : public placement_queue_test {
 protected:
  static placement_request Request(int id, std::uint32_t priority, std::int64_t latest_ms,
                                   std::int64_t expiry_ms = 5'000) {
    placement_request request = placement_queue_test::Request(id, latest_ms, 3'000, expiry_ms);
    request.urgency = {priority, 0};
    return request;
  }

  // Every second, requests of both kinds arrive and one is started. Each waits for 2 s. Returns how many were started,
  // by priority.
  template <class make_request>
  std::map<std::uint32_t, int> Overload(int seconds, make_request make) {
    std::map<std::uint32_t, int> started;
    int id = 0;
    for (int second = 0; second < seconds; ++second) {
      const std::int64_t now = std::int64_t{second} * 1'000;
      queue_.TakeExpired(At(now));
      for (int i = 0; i < 4; ++i) {
        queue_.Add(make(++id, now), At(now));
      }
      const placement_step step = queue_.TakeNext(HasCapacity, false);
      started[step.placed ? step.placed->urgency.priority : 99] += 1;
    }
    return started;
  }
};

TEST_F(urgency_queue_test, TakeNext_OfRequestsInTime_FollowsUrgencyThenLatestStart) {
  ASSERT_TRUE(queue_.Add(Request(1, 2, 300), At(0)));
  ASSERT_TRUE(queue_.Add(Request(2, 1, 900), At(0)));
  ASSERT_TRUE(queue_.Add(Request(3, 1, 700), At(0)));
  EXPECT_EQ(Next(HasCapacity), "3");
  EXPECT_EQ(Next(HasCapacity), "2");
  EXPECT_EQ(Next(HasCapacity), "1");
}

// Guards against an account's priority that is ignored where routes have the same one.
TEST_F(urgency_queue_test, TakeNext_OfOnePriority_FollowsThatOfTheRoute) {
  placement_request request = Request(1, 1, 300);
  request.urgency.route_priority = 4;
  ASSERT_TRUE(queue_.Add(request, At(0)));
  request.request = request_id{"2"};
  request.urgency.route_priority = 3;
  ASSERT_TRUE(queue_.Add(request, At(0)));
  EXPECT_EQ(Next(HasCapacity), "2");
}

// Guards against a refused caller that is refused a second time while first attempts that are late too are served.
TEST_F(urgency_queue_test, TakeNext_OfLateRequests_ServesRetriesThenUrgencyThenExpiry) {
  placement_request retry = Request(1, 2, -1, 4'000);
  retry.is_retry = true;
  ASSERT_TRUE(queue_.Add(Request(2, 2, -1, 2'000), At(0)));
  ASSERT_TRUE(queue_.Add(Request(3, 1, -1, 3'000), At(0)));
  ASSERT_TRUE(queue_.Add(retry, At(0)));
  ASSERT_TRUE(queue_.Add(Request(4, 1, -1, 2'500), At(0)));
  for (const char* expected : {"1", "4", "3", "2"}) {
    EXPECT_EQ(Next(HasCapacity), expected);
  }
}

TEST_F(urgency_queue_test, TakeExpired_OfSeveralLevels_MovesAllThatAreLateBehindTheOthers) {
  ASSERT_TRUE(queue_.Add(Request(1, 1, 100), At(0)));
  ASSERT_TRUE(queue_.Add(Request(2, 1, 900), At(0)));
  ASSERT_TRUE(queue_.Add(Request(3, 2, 100), At(0)));
  ASSERT_TRUE(queue_.Add(Request(4, 2, 900), At(0)));
  queue_.TakeExpired(At(200));
  EXPECT_EQ(queue_.InTimeCount(), 2U);
  for (const char* expected : {"2", "4", "1", "3"}) {
    EXPECT_EQ(Next(HasCapacity), expected);
  }
}

// Capacity reserved for urgent requests would stay idle while a less urgent one, which may not use it, is the head.
TEST_F(urgency_queue_test, LateUrgentRequest_WhileALessUrgentOneIsBlocked_UsesTheReservedCapacity) {
  ASSERT_TRUE(queue_.Add(Request(1, 2, 900), At(0)));
  ASSERT_TRUE(queue_.Add(Request(2, 1, -1), At(0)));
  const auto only_urgent = [](const placement_request& request) {
    return request.urgency.priority == 1 ? HasCapacity(request) : NoMemory(request);
  };
  EXPECT_EQ(Next(only_urgent), "2");
  EXPECT_EQ(Next(only_urgent), "");
}

// Guards against a less urgent level that gets nothing while an urgent one alone exceeds the capacity.
TEST_F(urgency_queue_test, UrgentOverload_LeavesTheOtherLevelAQuarterOfItsShare) {
  const auto started = Overload(
      400, [](int id, std::int64_t now) { return Request(id, id % 4 == 0 ? 2 : 1, now + 1'000, now + 2'000); });
  EXPECT_GE(started.at(2), 400 / 4 / 4);
  EXPECT_GE(started.at(1), 3 * started.at(2)) << "the urgent level has three quarters of the requests";
}

// Guards against an account that gets nothing, because all its requests are behind those of others.
TEST_F(urgency_queue_test, AccountWhoseRequestsAreAlwaysLast_IsStillServed) {
  std::map<std::string, int> started;
  int id = 0;
  for (int second = 0; second < 400; ++second) {
    const std::int64_t now = std::int64_t{second} * 1'000;
    queue_.TakeExpired(At(now));
    for (int i = 0; i < 4; ++i) {
      const bool is_last = i == 0;
      placement_request request = Request(++id, 1, now + (is_last ? 1'500 : 1'000), now + 2'000);
      request.account = account_name{is_last ? "last" : "other"};
      queue_.Add(request, At(now));
    }
    const placement_step step = queue_.TakeNext(HasCapacity, false);
    ASSERT_TRUE(step.placed);
    started[step.placed->account.value] += 1;
  }
  EXPECT_GE(started["last"], 400 / 4 / 4);
}

// Guards against urgent requests that wait behind others whose level is starved for another reason than urgency.
RC_GTEST_FIXTURE_PROP(urgency_queue_test, StarvedLevels_ForAnyLoad_GetABoundedShare, ()) {
  const auto urgent_of_eight = *rc::gen::inRange(1, 8);
  const auto started = Overload(300, [&](int id, std::int64_t now) {
    return Request(id, id % 8 < urgent_of_eight ? 1 : 2, now + 1'000, now + 2'000);
  });
  const auto count = [&](std::uint32_t priority) {
    const auto found = started.find(priority);
    return found == started.end() ? 0 : found->second;
  };
  RC_ASSERT(count(99) == 0);
  const int requests = 300 * 4;
  const double served = 300.0 / requests;
  RC_ASSERT(count(1) >= served / 4 * requests * urgent_of_eight / 8);
  RC_ASSERT(count(2) >= served / 4 * requests * (8 - urgent_of_eight) / 8);
  // Served at least as often as the other level.
  RC_ASSERT(count(1) * (8 - urgent_of_eight) >= count(2) * urgent_of_eight);
}

TEST_F(urgency_queue_test, UseAbove_CountsStartedRequestsOfMoreUrgentLevels) {
  ASSERT_TRUE(queue_.Add(Request(1, 1, 900), At(0)));
  ASSERT_TRUE(queue_.Add(Request(2, 2, 900), At(0)));
  queue_.TakeNext(HasCapacity, false);
  const placement_step second = queue_.TakeNext(HasCapacity, false);
  EXPECT_EQ(queue_.UseAbove({1, 0}, At(0)), urgent_use());
  // A tenth of the window of 30 s counts as measured.
  EXPECT_DOUBLE_EQ(queue_.UseAbove({2, 0}, At(0)).prompt_tokens_per_s, 1'000);
  EXPECT_DOUBLE_EQ(queue_.UseAbove({2, 0}, At(0)).memory_tokens_per_s, 1'300);
  EXPECT_DOUBLE_EQ(queue_.UseAbove({3, 0}, At(0)).requests_per_s, 2 / 3.0);
  queue_.Requeue(second.placed->request, At(0));
  EXPECT_DOUBLE_EQ(queue_.UseAbove({3, 0}, At(0)).requests_per_s, 1 / 3.0) << "it was not started after all";
  EXPECT_LT(queue_.UseAbove({2, 0}, At(600'000)).memory_tokens_per_s, 1);
}

class reserve_test : public testing::Test {
 protected:
  // Hidden memory by engine.
  static std::vector<std::uint32_t> Reserve(std::size_t engines, std::uint32_t memory, const urgent_use& use) {
    std::vector<engine_view> views(engines);
    for (engine_view& view : views) {
      view.kv_tokens = memory;
    }
    placement_settings settings;
    ReserveForUrgent(use, 2, milliseconds(1'000), views, 4, settings);
    std::vector<std::uint32_t> hidden;
    std::transform(views.begin(), views.end(), std::back_inserter(hidden),
                   [](const engine_view& view) { return view.headroom_tokens; });
    hidden.push_back(placement_settings{}.max_prefill_backlog - settings.max_prefill_backlog);
    return hidden;
  }
};

// The last number is the hidden prefill backlog of each of four engines.
TEST_F(reserve_test, ReserveForUrgent_HidesWhatAllRoutersUse_InWholeRequests) {
  EXPECT_EQ(Reserve(4, 30'000, {1.5, 4'500, 6'000}), (std::vector<std::uint32_t>{4'000, 4'000, 4'000, 0, 1'750}));
  EXPECT_EQ(Reserve(4, 30'000, {0.1, 300, 400}), (std::vector<std::uint32_t>{0, 0, 0, 0, 150}));
  EXPECT_EQ(Reserve(4, 30'000, {}), (std::vector<std::uint32_t>{0, 0, 0, 0, 0}));
  EXPECT_EQ(Reserve(0, 0, {1.5, 4'500, 6'000}), (std::vector<std::uint32_t>{0})) << "no decode engine";
  EXPECT_EQ(Reserve(1, 30'000, {1.5, 0, 0}), (std::vector<std::uint32_t>{0, 0})) << "requests without tokens";
}

// Guards against a small deployment in which less urgent requests find no memory, although no urgent one waits.
TEST_F(reserve_test, ReserveForUrgent_WithFewEngines_LeavesThreeQuarters) {
  EXPECT_EQ(Reserve(1, 4'500, {10, 30'000, 40'000}), (std::vector<std::uint32_t>{0, 1'750}));
  EXPECT_EQ(Reserve(2, 20'000, {10, 30'000, 40'000}), (std::vector<std::uint32_t>{4'000, 4'000, 1'750}));
}

// Guards against a rate of starts from times in which capacity was idle: it would predict long waits after a calm time.
TEST_F(urgency_queue_test, StartsPerSecond_IsMeasuredWhileRequestsWaitInVain) {
  int id = 0;
  const auto run = [&](std::int64_t from, std::int64_t to, bool has_waiting) {
    for (std::int64_t now = from; now < to; now += 100) {
      queue_.TakeExpired(At(now));
      ASSERT_TRUE(queue_.Add(Request(++id, 1, now + 100'000), At(now)));
      const bool is_free = !has_waiting || now % 500 == 0;
      const placement_step step = queue_.TakeNext(is_free ? HasCapacity : NoMemory, false);
      ASSERT_EQ(step.placed.has_value(), is_free);
      if (step.placed) {
        queue_.Start(step.placed->request, At(now));
      }
    }
  };
  run(0, 5'000, false);
  EXPECT_EQ(queue_.StartsPerSecond(At(5'000)), std::nullopt);
  EXPECT_EQ(queue_.PredictWait(Request(-1, 1, 100'000), 0, 1, At(5'000)), std::nullopt);
  run(5'000, 10'000, true);
  const auto rate = queue_.StartsPerSecond(At(10'000));
  ASSERT_TRUE(rate);
  EXPECT_NEAR(*rate, 2, 0.2);
  // 40 requests wait. A late one waits for all of them and for those of peers, an urgent one for none.
  ASSERT_EQ(queue_.Size(), 40U);
  const auto wait = [&](const placement_request& request, std::size_t peers) {
    return std::chrono::duration<double>(queue_.PredictWait(request, peers, 10, At(10'000)).value_or(microseconds(0)));
  };
  // One start is added to those of 5 s, of which 3.9 s are left after the decay.
  const double cautious_rate = *rate + 1 / 3.9;
  EXPECT_NEAR(wait(Request(-1, 1, -1), 0).count(), 40 / cautious_rate, 0.3);
  EXPECT_NEAR(wait(Request(-1, 1, -1), 100).count(), 50 / cautious_rate, 0.3);
  EXPECT_EQ(wait(Request(-1, 0, 20'000), 100).count(), 0);
}

// Guards against refusing all requests because no engine was available for a second.
TEST_F(urgency_queue_test, PredictWait_AfterAShortTimeWithoutStarts_IsShort) {
  ASSERT_TRUE(queue_.Add(Request(1, 1, 100'000), At(0)));
  for (std::int64_t now = 0; now <= 1'500; now += 100) {
    queue_.TakeExpired(At(now));
    EXPECT_FALSE(queue_.TakeNext(NoMemory, false).placed);
  }
  const auto wait = queue_.PredictWait(Request(2, 1, 200'000), 0, 1, At(1'500));
  ASSERT_TRUE(wait);
  EXPECT_LE(*wait, milliseconds(1'500));
}

// Guards against a request that is let in to wait longer than it may, because one before it is being reserved.
TEST_F(urgency_queue_test, PredictWait_WhileARequestIsBeingReserved_StillCountsIt) {
  for (std::int64_t now = 0; now <= 1'500; now += 100) {
    queue_.TakeExpired(At(now));
    if (now == 0) {
      ASSERT_TRUE(queue_.Add(Request(1, 1, 100'000), At(now)));
      ASSERT_TRUE(queue_.Add(Request(2, 1, 110'000), At(now)));
    }
    ASSERT_FALSE(queue_.TakeNext(NoMemory, false).placed);
  }
  const auto wait = [&] { return queue_.PredictWait(Request(3, 1, 200'000), 0, 1, At(1'500)); };
  const auto before = wait();
  ASSERT_TRUE(before);
  const placement_step step = queue_.TakeNext(HasCapacity, false);
  ASSERT_TRUE(step.placed);
  EXPECT_EQ(wait(), before);
  queue_.Requeue(step.placed->request, At(1'500));
  EXPECT_EQ(wait(), before);
}

// Guards against refusals in a burst that finds free engines, by a rate that was measured in an earlier overload.
TEST_F(urgency_queue_test, PredictWait_WithCapacity_IgnoresRequestsThatAreBeingReserved) {
  ASSERT_TRUE(queue_.Add(Request(1, 1, 100'000), At(0)));
  for (std::int64_t now = 0; now <= 2'000; now += 100) {
    queue_.TakeExpired(At(now));
    ASSERT_FALSE(queue_.TakeNext(NoMemory, false).placed);
  }
  ASSERT_EQ(Next(HasCapacity), "1");
  queue_.Start(request_id{"1"}, At(2'000));
  for (int id = 2; id < 8; ++id) {
    EXPECT_EQ(queue_.PredictWait(Request(id, 1, 200'000), 0, 1, At(2'100)), std::nullopt);
    ASSERT_TRUE(queue_.Add(Request(id, 1, 100'000), At(2'100)));
    ASSERT_EQ(Next(HasCapacity), std::to_string(id));
    ASSERT_EQ(Next(HasCapacity), "");
  }
  EXPECT_EQ(queue_.InTimeCount(), 0U) << "peers need not yield to them";
}

// Guards against late requests of peers that take the capacity for which a request is being reserved again and again.
TEST_F(urgency_queue_test, InTimeCount_WhileAWaitingRequestIsBeingReserved_StillCountsIt) {
  ASSERT_TRUE(queue_.Add(Request(1, 1, 1'000), At(0)));
  ASSERT_FALSE(queue_.TakeNext(NoMemory, false).placed);
  ASSERT_EQ(Next(HasCapacity), "1");
  ASSERT_EQ(Next(HasCapacity), "");
  EXPECT_EQ(queue_.Size(), 0U);
  EXPECT_EQ(queue_.InTimeCount(), 1U);
  EXPECT_EQ(queue_.WaitingCount(), 1U);
  queue_.TakeExpired(At(1'001));
  EXPECT_EQ(queue_.InTimeCount(), 0U) << "it has become late";
  EXPECT_EQ(queue_.WaitingCount(), 1U);
  queue_.Start(request_id{"1"}, At(1'002));
  EXPECT_EQ(queue_.WaitingCount(), 0U);
}

// Guards against too short predictions while engines answer reservations late: that time is waited in vain too.
TEST_F(urgency_queue_test, PredictWait_WhileReservationsFailSlowly_CountsTheirTime) {
  ASSERT_TRUE(queue_.Add(Request(1, 1, 100'000), At(0)));
  for (std::int64_t now = 0; now < 4'000; now += 400) {
    queue_.TakeExpired(At(now));
    ASSERT_EQ(Next(HasCapacity), "1");
    ASSERT_EQ(Next(HasCapacity), "");
    queue_.Requeue(request_id{"1"}, At(now + 390));
  }
  const auto wait = queue_.PredictWait(Request(2, 1, 200'000), 0, 1, At(4'000));
  ASSERT_TRUE(wait);
  EXPECT_GE(*wait, milliseconds(2'900)) << "3.6 s, of which those long ago count less";
}

// Guards against refusals by a wait that is predicted from a time in which nobody waited.
TEST_F(urgency_queue_test, StartsPerSecond_AfterTheLastWaitingRequestLeft_MeasuresNoIdleTime) {
  for (const bool is_reserving : {false, true}) {
    queue_ = placement_queue();
    ASSERT_TRUE(queue_.Add(Request(1, 1, 100'000), At(0)));
    ASSERT_FALSE(queue_.TakeNext(NoMemory, false).placed);
    ASSERT_EQ(Next(is_reserving ? HasCapacity : NoMemory), is_reserving ? "1" : "");
    ASSERT_TRUE(queue_.Remove(request_id{"1"}));
    ASSERT_TRUE(queue_.Add(Request(2, 1, 100'000), At(5'000)));
    EXPECT_EQ(queue_.StartsPerSecond(At(5'000)), std::nullopt);
  }
}

// A caller that leaves during the reservation of its request has not been served.
TEST_F(urgency_queue_test, Remove_OfARequestThatIsBeingReserved_IsNoStart) {
  ASSERT_TRUE(queue_.Add(Request(1, 1, 900), At(0)));
  ASSERT_EQ(Next(HasCapacity), "1");
  EXPECT_TRUE(queue_.Remove(request_id{"1"}));
  EXPECT_FALSE(queue_.Remove(request_id{"1"}));
  EXPECT_DOUBLE_EQ(queue_.UseAbove({2, 0}, At(0)).requests_per_s, 0);
}

// A single request whose reservation is refused again and again must not count as started each time.
TEST_F(urgency_queue_test, Requeue_OfTheOnlyRequest_IsNoStart) {
  ASSERT_TRUE(queue_.Add(Request(1, 1, 100'000), At(0)));
  for (std::int64_t now = 0; now < 3'000; now += 100) {
    queue_.TakeExpired(At(now));
    const placement_step step = queue_.TakeNext(HasCapacity, false);
    ASSERT_TRUE(step.placed);
    EXPECT_FALSE(queue_.TakeNext(HasCapacity, false).placed);
    queue_.Requeue(step.placed->request, At(now));
  }
  EXPECT_NEAR(queue_.StartsPerSecond(At(2'900)).value_or(99), 0, 0.01);
}

// A refused reservation must not count as a start, or the predicted wait would be too short.
TEST_F(urgency_queue_test, Requeue_OfAPlacedRequest_IsNoStart) {
  for (std::int64_t now = 0; now < 3'000; now += 100) {
    queue_.TakeExpired(At(now));
    ASSERT_TRUE(queue_.Add(Request(static_cast<int>(now), 1, 100'000), At(now)));
    const placement_step step = queue_.TakeNext(now == 0 ? NoMemory : HasCapacity, false);
    if (step.placed) {
      queue_.Requeue(step.placed->request, At(now));
    }
  }
  EXPECT_NEAR(queue_.StartsPerSecond(At(2'900)).value_or(99), 0, 0.01);
}

TEST(engine_priority_test, EnginePriority_OfAnyLevels_KeepsTheirOrder) {
  EXPECT_EQ(EnginePriority({}, {}), std::nullopt);
  EXPECT_EQ(EnginePriority({{1, 1}}, {1, 1}), std::nullopt);
  EXPECT_EQ(EnginePriority({{1, 1}, {2, 2}}, {1, 1}), 0U);
  EXPECT_EQ(EnginePriority({{1, 1}, {2, 2}}, {2, 2}), 9U);
  EXPECT_EQ(EnginePriority({{1, 1}, {2, 2}}, {3, 3}), std::nullopt);
}

// Guards against urgent streams that less urgent ones preempt.
RC_GTEST_PROP(engine_priority_test, EnginePriority_OfTwoLevels_IsNeverLowerForTheLessUrgent, ()) {
  std::set<urgency_level> levels;
  for (const int priority : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40))) {
    levels.insert({static_cast<std::uint32_t>(priority), 0});
  }
  RC_PRE(levels.size() > 1);
  std::uint32_t previous = 0;
  for (const urgency_level& level : levels) {
    const auto number = EnginePriority(levels, level);
    RC_ASSERT(number.has_value());
    RC_ASSERT(*number >= previous && *number <= kLeastUrgentNumber);
    RC_ASSERT(levels.size() > 10 || level == *levels.begin() || *number > previous);
    previous = *number;
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. refusals
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(placement_queue_test, TakeExpired_AtTheExpiry_ReturnsExactlyTheExpired) {
  ASSERT_TRUE(queue_.Add(Request(1, 300, 3'000, 1'000), At(0)));
  ASSERT_TRUE(queue_.Add(Request(2, 300, 3'000, 2'000), At(0)));
  EXPECT_TRUE(queue_.TakeExpired(At(999)).empty());
  const auto expired = queue_.TakeExpired(At(1'000));
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired[0].request.value, "1");
  EXPECT_EQ(queue_.Size(), 1U);
}

// A request that cannot be served is refused immediately and not queued.
TEST_F(placement_queue_test, Add_OfAnExpiredRequest_IsRefused) {
  EXPECT_FALSE(queue_.Add(Request(1, 300, 3'000, 1'000), At(1'000)));
}

TEST_F(placement_queue_test, Add_BeyondTheLimits_IsRefused) {
  queue_ = placement_queue({.request_limit = 3, .late_limit = 1});
  EXPECT_TRUE(queue_.Add(Request(1, -1), At(0)));
  EXPECT_FALSE(queue_.Add(Request(2, -1), At(0)));
  EXPECT_TRUE(queue_.Add(Request(3, 500), At(0)));
  EXPECT_TRUE(queue_.Add(Request(4, 500), At(0)));
  EXPECT_FALSE(queue_.Add(Request(5, 500), At(0)));
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. any sequence of operations
// ---------------------------------------------------------------------------------------------------------------------

RC_GTEST_FIXTURE_PROP(placement_queue_test, Queue_ForAnyOperations_KeepsEveryRequestOnce, ()) {
  std::map<std::string, placement_request> waiting;
  std::vector<placement_request> placed;
  std::int64_t now = 0;
  const auto operations = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
  int next_id = 0;
  for (const int operation : operations) {
    now += *rc::gen::inRange(0, 300);
    if (operation == 0) {
      auto request = Request(++next_id, now + *rc::gen::inRange(-200, 800), *rc::gen::inRange<std::uint32_t>(1, 9'000),
                             now + *rc::gen::inRange(0, 2'500));
      request.is_resumed = *rc::gen::arbitrary<bool>();
      if (queue_.Add(request, At(now))) {
        waiting[request.request.value] = request;
      }
    } else if (operation == 1) {
      const placement_step step = queue_.TakeNext(OnlyLocalPrefill, *rc::gen::arbitrary<bool>());
      if (step.placed) {
        RC_ASSERT(waiting.erase(step.placed->request.value) == 1U);
        placed.push_back(*step.placed);
      }
    } else if (operation == 2 && !placed.empty()) {
      queue_.Requeue(placed.back().request, At(now));
      waiting[placed.back().request.value] = placed.back();
      placed.pop_back();
    } else if (operation == 5 && !placed.empty()) {
      queue_.Start(placed.back().request, At(now));
      placed.pop_back();
    } else if (operation == 3) {
      for (const placement_request& request : queue_.TakeExpired(At(now))) {
        RC_ASSERT(request.expiry <= At(now));
        RC_ASSERT(waiting.erase(request.request.value) == 1U);
      }
    } else if (operation == 4 && !waiting.empty()) {
      const std::string id = waiting.begin()->first;
      RC_ASSERT(queue_.Remove(request_id{id}));
      waiting.erase(id);
    }
    RC_ASSERT(queue_.Size() == waiting.size());
    RC_ASSERT(queue_.WaitingCount() >= waiting.size() && queue_.WaitingCount() <= waiting.size() + placed.size());
    RC_ASSERT(queue_.InTimeCount() <= queue_.WaitingCount());
  }
}

// The same with requests of several levels and accounts, whose order changes with the shares.
RC_GTEST_FIXTURE_PROP(urgency_queue_test, Queue_WithLevelsAndAccounts_KeepsEveryRequestOnce, ()) {
  std::set<std::string> waiting;
  std::vector<placement_request> placed;
  std::int64_t now = 0;
  int next_id = 0;
  for (const int operation : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6))) {
    now += *rc::gen::inRange(0, 300);
    if (operation == 0) {
      auto request = Request(++next_id, *rc::gen::inRange<std::uint32_t>(0, 3), now + *rc::gen::inRange(-200, 800),
                             now + *rc::gen::inRange(0, 2'500));
      request.is_retry = *rc::gen::arbitrary<bool>();
      request.is_resumed = *rc::gen::arbitrary<bool>();
      request.account = account_name{std::to_string(*rc::gen::inRange(0, 3))};
      if (queue_.Add(request, At(now))) {
        waiting.insert(request.request.value);
      }
    } else if (operation == 1) {
      const bool is_free = *rc::gen::arbitrary<bool>();
      const placement_step step =
          queue_.TakeNext(is_free ? HasCapacity : OnlyLocalPrefill, *rc::gen::arbitrary<bool>());
      if (step.placed) {
        RC_ASSERT(waiting.erase(step.placed->request.value) == 1U);
        placed.push_back(*step.placed);
      }
    } else if (operation == 2 && !placed.empty()) {
      queue_.Requeue(placed.back().request, At(now));
      waiting.insert(placed.back().request.value);
      placed.pop_back();
    } else if (operation == 5 && !placed.empty()) {
      queue_.Start(placed.back().request, At(now));
      placed.pop_back();
    } else if (operation == 3) {
      for (const placement_request& request : queue_.TakeExpired(At(now))) {
        RC_ASSERT(request.expiry <= At(now));
        RC_ASSERT(waiting.erase(request.request.value) == 1U);
      }
    } else if (operation == 4 && !waiting.empty()) {
      const std::string id = *waiting.begin();
      RC_ASSERT(queue_.Remove(request_id{id}));
      waiting.erase(id);
    }
    RC_ASSERT(queue_.Size() == waiting.size());
    RC_ASSERT(queue_.WaitingCount() >= waiting.size() && queue_.WaitingCount() <= waiting.size() + placed.size());
    RC_ASSERT(queue_.InTimeCount() <= queue_.WaitingCount());
  }
}

}  // namespace
}  // namespace persimmon
