// Which requests are served in a burst that exceeds the capacity, in virtual time: 24 routers, 45 engines and two
// classes of requests, of which the urgent one has the shorter target.
//
// Sections
//   1. bursts
//   2. starvation
//   3. failures
#include <gtest/gtest.h>

#include "support/engine_model.h"

namespace persimmon {
namespace {

using support::class_totals;
using support::engine_model;
using support::model_load;
using support::model_totals;
using support::placement_policy;

constexpr std::size_t kUrgent = 0;  // indexes of the classes
constexpr std::size_t kOther = 1;
// Differences between the classes that callers accept.
constexpr double kServedTolerance = 0.05;
constexpr double kInTimeTolerance = 0.15;

// Sum of three runs, so that the result does not depend on a single sequence of arrivals.
model_totals Simulate(model_load load, placement_policy policy = placement_policy::kAdmissionOrder) {
  model_totals sum;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    load.seed = seed;
    sum += engine_model(support::TwoClassDeployment(), load, policy).Simulate();
  }
  for (const auto& [index, totals] : sum.classes) {
    fmt::print("{}: {} requests, in time {:.3f}, served {:.3f}, served of the longest tenth of prompts {:.3f}\n",
               index == kUrgent ? "urgent" : "other", totals.requests, totals.InTimeShare(), totals.ServedShare(),
               totals.LargeServedShare());
  }
  return sum;
}

void ExpectUrgentFirst(const model_totals& totals) {
  const class_totals& urgent = totals.classes.at(kUrgent);
  const class_totals& other = totals.classes.at(kOther);
  EXPECT_GE(urgent.ServedShare(), other.ServedShare() - kServedTolerance);
  EXPECT_GE(urgent.InTimeShare(), other.InTimeShare() - kInTimeTolerance);
}

void ExpectNoneStarved(const model_totals& totals) {
  for (const auto& [index, of_class] : totals.classes) {
    EXPECT_GE(of_class.ServedShare(), totals.ServedShare() / 4) << "class " << index;
    EXPECT_GE(of_class.LargeServedShare(), of_class.ServedShare() / 2) << "longest prompts of class " << index;
  }
  for (const auto& [account, of_account] : totals.accounts) {
    EXPECT_GE(of_account.ServedShare(), totals.ServedShare() / 4)
        << "account " << account.second << " of class " << account.first;
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 1. bursts
// ---------------------------------------------------------------------------------------------------------------------

// Guards against an urgent class that is refused as often as one that may wait.
TEST(admission_order_test, Bursts_OfTwoClasses_ServeTheUrgentOneAtLeastAsOftenAndInTime) {
  const model_totals totals = Simulate(support::TwoClassLoad(1));
  ExpectUrgentFirst(totals);
  ExpectNoneStarved(totals);
}

TEST(admission_order_test, Bursts_AgainstOrderByLatestStart_ServeMoreOfTheUrgentClass) {
  const model_totals before = Simulate(support::TwoClassLoad(1), placement_policy::kProduct);
  const model_totals after = Simulate(support::TwoClassLoad(1));
  EXPECT_GT(after.classes.at(kUrgent).InTimeShare(), before.classes.at(kUrgent).InTimeShare());
  EXPECT_GT(after.classes.at(kUrgent).ServedShare(), before.classes.at(kUrgent).ServedShare());
}

// Guards against capacity that is reserved for urgent requests although there are none.
TEST(admission_order_test, Bursts_OfOneClass_AreServedAsBefore) {
  model_load load = support::TwoClassLoad(1);
  load.classes.erase(load.classes.begin());
  load.refuses_at_once = load.schedules_returns = false;
  load.classes[0].target_ms = 900;  // for which late requests wait as long with both policies
  load.classes[0].priority = 0;
  const model_totals before = Simulate(load, placement_policy::kProduct);
  const model_totals after = Simulate(load);
  EXPECT_NEAR(after.InTimeShare(), before.InTimeShare(), 0.02);
  EXPECT_NEAR(after.ServedShare(), before.ServedShare(), 0.02);
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. starvation
// ---------------------------------------------------------------------------------------------------------------------

// Guards against an account whose few requests are always behind those of others.
TEST(admission_order_test, Bursts_OfManyAccounts_StarveNone) {
  model_load load = support::TwoClassLoad(1);
  load.classes[kUrgent].accounts = 4;
  load.classes[kOther].accounts = 16;
  ExpectNoneStarved(Simulate(load));
}

// Guards against a less urgent class that gets nothing while the urgent one alone exceeds the capacity.
TEST(admission_order_test, UrgentOverload_LeavesTheOtherClassItsShare) {
  model_load load = support::TwoClassLoad(1);
  load.classes[kUrgent].rate = 41;
  load.classes[kOther].rate = 10;
  load.burst_factor = 2.2;
  load.burst_to_ms = 30'000;
  load.bursts.clear();
  const model_totals totals = Simulate(load);
  ExpectUrgentFirst(totals);
  ExpectNoneStarved(totals);
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. failures
// ---------------------------------------------------------------------------------------------------------------------

// Guards against capacity that stays reserved for requests of routers that are gone, and against peers that wait for
// those forever.
TEST(admission_order_test, RoutersLostInABurst_LeaveTheOrderOfTheOthers) {
  model_load load = support::TwoClassLoad(1);
  load.failure = {.at_ms = 20'000, .routers = 3};
  const model_totals totals = Simulate(load);
  ExpectUrgentFirst(totals);
  ExpectNoneStarved(totals);
}

// Guards against streams of lost engines, which are assigned again, that take the place of urgent requests.
TEST(admission_order_test, EnginesLostInABurst_KeepTheUrgentClassFirst) {
  model_load load = support::TwoClassLoad(1);
  load.failure = {.at_ms = 20'000, .prefill = 1, .decode = 4};
  const model_totals totals = Simulate(load);
  ExpectUrgentFirst(totals);
  ExpectNoneStarved(totals);
}

}  // namespace
}  // namespace persimmon
