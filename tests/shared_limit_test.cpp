// Memory that incomplete answers share.
#include "persimmon/shared_limit.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <utility>
#include <vector>

namespace persimmon {
namespace {

// Answers grow, shrink and end in any order: together they never use more than the limit and the allowance of each, an
// answer within its allowance never fails, and nothing stays in use.
RC_GTEST_PROP(shared_limit_test, Resize_InAnyOrder_NeverExceedsTheLimitAndTheAllowances, ()) {
  constexpr std::size_t kShares = 8;
  const auto bytes = *rc::gen::inRange<std::size_t>(0, 1'000);
  const auto allowance = *rc::gen::inRange<std::size_t>(0, 100);
  const auto limit = std::make_shared<shared_limit>(bytes, allowance);
  std::vector<shared_limit::share> shares;
  std::array<std::size_t, kShares> used{};
  for (std::size_t i = 0; i < kShares; ++i) {
    shares.emplace_back(limit);
  }
  const auto steps = *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
      rc::gen::pair(rc::gen::inRange<std::size_t>(0, kShares), rc::gen::inRange<std::size_t>(0, 1'200)));
  for (const auto& [index, wanted] : steps) {
    const bool is_set = shares[index].Resize(wanted);
    RC_ASSERT(is_set || (wanted > allowance && wanted > used[index]));
    used[index] = is_set ? wanted : used[index];
    std::size_t sum = 0;
    for (const std::size_t each : used) {
      sum += each;
    }
    RC_ASSERT(limit->InUse() == sum);
    RC_ASSERT(sum <= bytes + kShares * allowance);
  }
  shares.clear();
  RC_ASSERT(limit->InUse() == 0U);
}

TEST(shared_limit_test, Resize_OfAMovedShare_IsReturnedOnce) {
  const auto limit = std::make_shared<shared_limit>(100, 0);
  shared_limit::share first(limit);
  ASSERT_TRUE(first.Resize(60));
  shared_limit::share second = std::move(first);
  EXPECT_EQ(limit->InUse(), 60U);
  second = shared_limit::share(limit);
  EXPECT_EQ(limit->InUse(), 0U);
}

}  // namespace
}  // namespace persimmon
