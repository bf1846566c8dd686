// Guards against requests that are served late although they could be in time, long prompts that are starved by short
// ones, and requests that are lost or served twice.
//
// Sections
//   1. order
//   2. refusals
//   3. any sequence of operations
#include "persimmon/placement_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

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
  queue_.Requeue(*step.placed, At(10));
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
// 2. refusals
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
// 3. any sequence of operations
// ---------------------------------------------------------------------------------------------------------------------

RC_GTEST_FIXTURE_PROP(placement_queue_test, Queue_ForAnyOperations_KeepsEveryRequestOnce, ()) {
  std::map<std::string, placement_request> waiting;
  std::vector<placement_request> placed;
  std::int64_t now = 0;
  const auto operations = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
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
      queue_.Requeue(placed.back(), At(now));
      waiting[placed.back().request.value] = placed.back();
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
  }
}

}  // namespace
}  // namespace persimmon
