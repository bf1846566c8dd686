// Rate limits of client accounts: the state of one router, and a model of many routers with loss, delays, kills,
// pauses, leaves, partitions and a lowered limit.
//
// Sections
//   1. state of one router
//   2. model of a group of routers
//   3. the limit and its use in the model
#include "persimmon/account_limits.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace persimmon {
namespace {

using take_stage = account_limits::take_stage;

time_point At(double seconds) {
  return time_point(std::chrono::duration_cast<time_point::duration>(std::chrono::duration<double>(1'000 + seconds)));
}

// ---------------------------------------------------------------------------------------------------------------------
// 1. state of one router
// ---------------------------------------------------------------------------------------------------------------------

class account_limits_test : public testing::Test {
 protected:
  account_take Take(std::uint64_t amount, double at, take_stage stage = take_stage::kFirst) {
    return borrower_.Take(account_, limit_, amount, {"home", 0, 5}, stage, At(at));
  }
  loan Lend(const loan_request& request, double at) {
    return home_.Lend("self", account_, limit_, request.sequence, request.amount, 1, At(at));
  }

  const account_name account_{"acme"};
  account_limit limit_{47'000, 47'000};
  account_limits borrower_{"self", DirectAccountSettings(), 1};
  account_limits home_{"home", DirectAccountSettings(), 1};
};

TEST_F(account_limits_test, Take_AtTheHomeRouter_NeedsNoMessage) {
  const account_take taken = home_.Take(account_, limit_, 5'000, {"home", 1, 5}, take_stage::kFirst, At(0));
  EXPECT_EQ(taken.verdict, take_verdict::kTaken);
  EXPECT_FALSE(taken.request);
}

TEST_F(account_limits_test, Take_AtAnotherRouter_BorrowsExactlyTheAmount) {
  const account_take asked = Take(5'000, 0);
  EXPECT_EQ(asked.verdict, take_verdict::kBorrow);
  ASSERT_TRUE(asked.request);
  EXPECT_EQ(*asked.request, (loan_request{"home", account_, 1, 5'000}));
  EXPECT_TRUE(borrower_.RecordLoan(account_, 1, Lend(*asked.request, 0), At(0.001)));
  EXPECT_EQ(Take(5'000, 0.001, take_stage::kRetry).verdict, take_verdict::kTaken);
  EXPECT_EQ(borrower_.BorrowedTokens(account_, At(0.001)), 0U);
}

// A repeated message must not take tokens from the bucket again, and a second answer must not count twice.
TEST_F(account_limits_test, Loan_WhoseMessageIsRepeated_IsGivenAndCountedOnce) {
  const account_take asked = Take(5'000, 0);
  const auto overdue = borrower_.TakeOverdue(At(0.06));
  ASSERT_EQ(overdue.repeated.size(), 1U);
  EXPECT_EQ(overdue.repeated.front(), *asked.request);
  const loan first = Lend(*asked.request, 0.06);
  EXPECT_EQ(Lend(*asked.request, 0.07), first);
  EXPECT_TRUE(borrower_.RecordLoan(account_, 1, first, At(0.07)));
  EXPECT_FALSE(borrower_.RecordLoan(account_, 1, first, At(0.08)));
  EXPECT_EQ(borrower_.BorrowedTokens(account_, At(0.08)), 5'000U);
  // 23,500 tokens at first, and 3,290 more after 70 ms.
  EXPECT_GE(home_.Lend("other", account_, limit_, 1, 21'000, 1, At(0.07)).amount, 21'000U);
}

// A home router that does not know the account yet must not lend without limit.
TEST_F(account_limits_test, Lend_OfAnUnknownAccountOrWithoutAShare_GivesNothing) {
  EXPECT_EQ(home_.Lend("self", account_, std::nullopt, 1, 5'000, 1, At(0)).amount, 0U);
  const loan misdirected = home_.Lend("self", account_, limit_, 2, 5'000, 0, At(0));
  EXPECT_EQ(misdirected.amount, 0U);
  EXPECT_GT(misdirected.retry_in, milliseconds(0));
}

TEST_F(account_limits_test, HomeRouterThatDoesNotAnswer_IsNotAskedForAWhile) {
  Take(5'000, 0);
  EXPECT_EQ(borrower_.TakeOverdue(At(0.05)).repeated.size(), 1U);
  EXPECT_EQ(borrower_.TakeOverdue(At(0.10)).failed.size(), 1U);
  const account_take refused = Take(5'000, 0.11);
  EXPECT_EQ(refused.verdict, take_verdict::kRefused);
  EXPECT_LE(refused.retry_in, milliseconds(500));
  EXPECT_TRUE(Take(5'000, 0.31).request);
}

// Guards against a lowered limit under which what was borrowed before is still spent.
TEST_F(account_limits_test, LowerLimit_VoidsLoansAndLowersTheBucketAtOnce) {
  limit_ = {230'000, 230'000};
  const account_take asked = Take(5'000, 0);
  const loan lent = Lend(*asked.request, 0);
  ASSERT_EQ(lent.amount, 5'000U);
  borrower_.RecordLoan(account_, 1, lent, At(0));
  limit_ = {47'000, 47'000};
  EXPECT_EQ(Take(5'000, 0.01).verdict, take_verdict::kBorrow);
  EXPECT_EQ(home_.Lend("other", account_, limit_, 1, 60'000, 1, At(0.01)).amount, 0U);
}

// An answer that is under way when the limit falls was given under the higher one.
TEST_F(account_limits_test, LowerLimit_WhileAnAnswerIsUnderWay_IgnoresTheAnswer) {
  limit_ = {230'000, 230'000};
  const account_take asked = Take(5'000, 0);
  const loan lent = Lend(*asked.request, 0);
  limit_ = {47'000, 47'000};
  const account_take again = Take(5'000, 0.01);
  ASSERT_TRUE(again.request);
  EXPECT_FALSE(borrower_.RecordLoan(account_, asked.request->sequence, lent, At(0.01)));
  EXPECT_EQ(borrower_.BorrowedTokens(account_, At(0.01)), 0U);
}

TEST_F(account_limits_test, Return_SoonAfterTheTake_CanBeSpentAgainOnce) {
  borrower_.RecordLoan(account_, 1, Lend(*Take(5'000, 0).request, 0), At(0));
  ASSERT_EQ(Take(5'000, 0, take_stage::kRetry).verdict, take_verdict::kTaken);
  borrower_.Return(account_, 5'000, At(0.2));
  borrower_.Return(account_, 5'000, At(0.2));
  EXPECT_EQ(borrower_.BorrowedTokens(account_, At(0.2)), 5'000U);
  EXPECT_EQ(borrower_.BorrowedTokens(account_, At(1)), 0U);
}

// Tokens of requests that wait for seconds would add to those of a later period.
TEST_F(account_limits_test, Return_LongAfterTheTake_IsLost) {
  borrower_.RecordLoan(account_, 1, Lend(*Take(5'000, 0).request, 0), At(0));
  ASSERT_EQ(Take(5'000, 0, take_stage::kRetry).verdict, take_verdict::kTaken);
  borrower_.Return(account_, 5'000, At(1));
  EXPECT_EQ(borrower_.BorrowedTokens(account_, At(1)), 0U);
}

// Guards against one message per request of a busy account.
TEST_F(account_limits_test, BusyAccount_BorrowsInAdvance) {
  limit_ = {2'000'000, 2'000'000};
  int asked_while_waiting = 0;
  for (int i = 0; i < 100; ++i) {
    const double at = 10 + i / 100.0;
    account_take taken = Take(5'000, at);
    // The rate of the account is known after the first third.
    asked_while_waiting += i >= 33 && taken.verdict == take_verdict::kBorrow ? 1 : 0;
    if (taken.request) {
      borrower_.RecordLoan(account_, taken.request->sequence, Lend(*taken.request, at), At(at));
    }
    if (taken.verdict == take_verdict::kBorrow) {
      taken = Take(5'000, at, take_stage::kRetry);
      if (taken.request) {
        borrower_.RecordLoan(account_, taken.request->sequence, Lend(*taken.request, at), At(at));
      }
    }
  }
  EXPECT_EQ(asked_while_waiting, 0);
}

// A bucket must not fill up while another router lends.
TEST_F(account_limits_test, BucketOfAFormerHomeRouter_IsRemoved) {
  home_.Lend("self", account_, limit_, 1, 20'000, 1, At(0));
  home_.Expire([](const account_name&) { return 0.0; }, At(1));
  EXPECT_EQ(home_.BucketCount(), 0U);
}

}  // namespace
}  // namespace persimmon
