// Guards against accounts that exceed their limit by using many routers, and against limits that cannot be fully used.
#include "persimmon/limits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decision_support.h"

namespace persimmon {
namespace {

class limits_test : public testing::Test {
 protected:
  take_result Take(std::uint64_t amount, std::int64_t now, bool reachable = true) {
    return table_.TakeTokens(Account(1), limit_, amount, reachable, 10, At(now));
  }

  limit_settings settings_;
  account_limit limit_{1'000, 10'000};
  account_token_table table_{settings_};
  token_lender lender_{settings_};
};

TEST_F(limits_test, HomeRouter_WhenOtherRouterIsRemoved_Stays) {
  std::vector<router_name> routers;
  for (int i = 0; i < 20; ++i) {
    routers.push_back(Router(i));
  }
  const auto home = HomeRouter(Account(1), routers);
  ASSERT_TRUE(home);
  std::erase_if(routers, [&](const router_name& router) { return router != *home && router != Router(3); });
  EXPECT_EQ(HomeRouter(Account(1), routers), home);
  EXPECT_FALSE(HomeRouter(Account(1), {}));
}

// The home router holds the token bucket of an account. Guards against one that lends more than its bucket holds, or
// starts with a full bucket after a restart.
TEST_F(limits_test, LendTokens_FromNewBucket_LendsHalfTheBurstThenTheRate) {
  EXPECT_EQ(lender_.LendTokens(Account(1), limit_, 4'000, At(0)), (loan{4'000, milliseconds(0)}));
  const loan partial = lender_.LendTokens(Account(1), limit_, 1'500, At(0));  // 4,750 - 4,000 remain
  EXPECT_EQ(partial.amount, 750U);
  EXPECT_GT(partial.retry_in, milliseconds(700));
  EXPECT_EQ(lender_.LendTokens(Account(1), limit_, 1'500, At(100)).amount, 0U);  // less than half is not lent
  // The home router lends 95% of the 1,000 tokens per second; 5% is reserved as local share of disconnected routers.
  EXPECT_EQ(lender_.LendTokens(Account(1), limit_, 1'000, At(1'000)).amount, 950U);
  lender_.ExpireBuckets(At(2'000));
  EXPECT_EQ(lender_.BucketCount(), 1U);
  lender_.ExpireBuckets(At(62'000));
  EXPECT_EQ(lender_.BucketCount(), 0U);
}

TEST_F(limits_test, TakeTokens_WhenNothingIsBorrowed_RequestsOnceAndThenSpends) {
  const auto first = Take(500, 0);
  EXPECT_EQ(first.verdict, take_verdict::kBorrow);
  EXPECT_EQ(first.borrow, 500U);
  EXPECT_EQ(Take(500, 1).borrow, 0U);  // only one outstanding request
  table_.RecordLoan(Account(1), first.sequence, {500, milliseconds(0)}, At(2));
  table_.RecordLoan(Account(1), first.sequence, {500, milliseconds(0)}, At(2));  // duplicate reply
  EXPECT_EQ(table_.BorrowedTokens(Account(1), At(2)), 500U);
  EXPECT_EQ(Take(500, 2).verdict, take_verdict::kTaken);
  EXPECT_EQ(Take(10'000, 3).verdict, take_verdict::kTooLarge);
  EXPECT_EQ(table_.TakeTokens(Account(2), {}, 1'000'000, false, 1, At(0)).verdict, take_verdict::kTaken);
}

// Guards against one message per request: a busy account borrows tokens in advance.
TEST_F(limits_test, TakeTokens_WhenAccountIsBusy_RequestsALoan) {
  std::uint64_t borrow = 0;
  for (int i = 0; i < 20; ++i) {
    const auto result = Take(100, i * 100);
    borrow = std::max(borrow, result.borrow);
    table_.RecordLoan(Account(1), result.sequence, {result.borrow, milliseconds(0)}, At(i * 100));
  }
  EXPECT_GT(borrow, 300U);
  EXPECT_LE(borrow, 2'500U);
}

TEST_F(limits_test, TakeTokens_WhenHomeHasNothing_RefusesUntilItHas) {
  const auto first = Take(500, 0);
  table_.RecordLoan(Account(1), first.sequence, {0, milliseconds(300)}, At(1));
  const auto refused = Take(500, 101);
  EXPECT_EQ(refused.verdict, take_verdict::kRefused);
  EXPECT_EQ(refused.retry_in, milliseconds(200));
  EXPECT_EQ(Take(500, 301).verdict, take_verdict::kBorrow);
}

// Guards against lent tokens that are accumulated and spent long after they left the home router's bucket.
TEST_F(limits_test, TakeTokens_AfterTheLoanLifetime_CannotSpendIt) {
  const auto first = Take(500, 0);
  table_.RecordLoan(Account(1), first.sequence, {500, milliseconds(0)}, At(1'000));
  EXPECT_EQ(table_.BorrowedTokens(Account(1), At(1'999)), 500U);
  EXPECT_EQ(table_.BorrowedTokens(Account(1), At(2'000)), 0U);
}

// Guards against spending an expired loan instead of a valid one, which would then be spent as well.
TEST_F(limits_test, TakeTokens_WithExpiredAndValidLoan_SpendsTheValidOne) {
  table_.RecordLoan(Account(1), Take(500, 0).sequence, {500, milliseconds(0)}, At(0));
  table_.RecordLoan(Account(1), Take(1'000, 1'900).sequence, {500, milliseconds(0)}, At(1'900));
  EXPECT_EQ(table_.BorrowedTokens(Account(1), At(1'900)), 1'000U);
  EXPECT_EQ(Take(500, 2'100).verdict, take_verdict::kTaken);
  EXPECT_EQ(table_.BorrowedTokens(Account(1), At(2'100)), 0U);
}

// Guards against an account that gets no tokens, or unlimited tokens, while its home router is unreachable.
TEST_F(limits_test, TakeTokens_WhenHomeIsUnreachable_SpendsTheLocalShare) {
  EXPECT_EQ(Take(200, 0, false).verdict, take_verdict::kRefused);  // the local bucket starts empty
  EXPECT_EQ(Take(200, 10'000, false).verdict, take_verdict::kTaken);
  const auto refused = Take(200, 10'000, false);
  EXPECT_EQ(refused.verdict, take_verdict::kRefused);
  EXPECT_EQ(refused.retry_in, milliseconds(40'000));  // 5 tokens per second: from -150 up to 50
  EXPECT_EQ(Take(200, 50'000, false).verdict, take_verdict::kTaken);
}

// Checks the bound stated in limits.h while the home router becomes unreachable, routers and the home router restart,
// replies are lost or late, and tokens are returned.
RC_GTEST_FIXTURE_PROP(limits_test, TakeTokens_OverAllRouters_StaysWithinTheBound, ()) {
  constexpr std::size_t kRouters = 4;
  constexpr double kLargestRequest = 800;
  struct taken {
    std::int64_t now = 0;
    double amount = 0;
  };
  std::vector<account_token_table> routers(kRouters, account_token_table(settings_));
  std::vector<double> starts(kRouters, 1);
  token_lender home(settings_);
  std::vector<taken> history;
  std::vector<std::int64_t> home_restarts;
  double router_starts = kRouters;
  std::int64_t now = 0;
  const auto steps =
      *rc::gen::container<std::vector<std::uint32_t>>(400, rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>()));
  std::uint32_t state = 1;
  for (const std::uint32_t step : steps) {
    state = state * 1'664'525U + step + 1'013'904'223U;
    const std::uint32_t random = state >> 4U;
    now += random % 40;
    account_token_table& router = routers[random / 64 % kRouters];
    const std::uint32_t event = random / 1'024 % 64;
    if (event == 0) {
      router = account_token_table(settings_);
      router_starts += 1;
      continue;
    }
    if (event == 1) {
      home = token_lender(settings_);
      home_restarts.push_back(now);
      continue;
    }
    const std::uint64_t amount = 1 + random / 65'536 % static_cast<std::uint64_t>(kLargestRequest);
    const bool is_reachable = event % 4 != 2;
    const auto result = router.TakeTokens(Account(1), limit_, amount, is_reachable, kRouters, At(now));
    if (result.verdict == take_verdict::kTaken) {
      history.push_back({now, static_cast<double>(amount)});
      if (event % 16 == 5) {
        router.ReturnTokens(Account(1), amount, At(now));
        history.pop_back();
      }
    }
    if (result.borrow > 0) {
      const loan lent = home.LendTokens(Account(1), limit_, result.borrow, At(now));
      if (event % 8 == 3) {
        router.RecordLoanFailure(Account(1), result.sequence);  // the reply was lost
      } else {
        router.RecordLoan(Account(1), result.sequence, lent, At(now + event));
        now += event;
      }
    }
  }
  for (std::size_t first = 0; first < history.size(); first += 7) {
    double sum = 0;
    for (std::size_t last = first; last < history.size(); ++last) {
      sum += history[last].amount;
      const double seconds = static_cast<double>(history[last].now - history[first].now) / 1e3;
      const double bound = 1'000 * (seconds + 2.0) + 10'000 + 5'000.0 * static_cast<double>(home_restarts.size()) +
                           kLargestRequest * router_starts;
      RC_ASSERT(sum <= bound);
    }
  }
}

}  // namespace
}  // namespace persimmon
