// Guards against refused callers that all come back at once, in the same burst, or later than they can.
#include "persimmon/return_schedule.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

#include "decision_support.h"

namespace persimmon {
namespace {

constexpr milliseconds kBudget(12'000);

TEST(return_schedule_test, Assign_WithAMeasuredRate_GivesDistinctTimesAfterTheBacklog) {
  return_schedule schedule;
  const return_terms terms{.backlog = 14, .starts_per_s = 4, .time_left = kBudget};
  EXPECT_EQ(schedule.Assign(terms, At(0)), milliseconds(3'500));
  EXPECT_EQ(schedule.Assign(terms, At(0)), milliseconds(3'750));
  EXPECT_EQ(schedule.Assign(terms, At(100)), milliseconds(3'900)) << "250 ms after the one before it";
}

TEST(return_schedule_test, Assign_WithAnEmptyQueue_WaitsForTheShortestTime) {
  return_schedule schedule;
  EXPECT_EQ(schedule.Assign({.starts_per_s = 4, .time_left = kBudget}, At(0)), milliseconds(3'000));
}

// Without waiting requests nothing was measured; callers are spread as without the schedule.
TEST(return_schedule_test, Assign_WithoutARate_SpreadsCallersAtRandom) {
  return_schedule schedule;
  EXPECT_EQ(schedule.Assign({.time_left = kBudget, .draw = 0}, At(0)), milliseconds(3'000));
  EXPECT_EQ(schedule.Assign({.time_left = kBudget, .draw = 0.5}, At(0)), milliseconds(3'500));
}

// Callers ignore a longer time, so that their place would be lost.
RC_GTEST_PROP(return_schedule_test, Assign_ForAnyTerms_StaysWithinAThirdOfTheTimeLeft, ()) {
  return_schedule schedule;
  std::int64_t now = 0;
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 500));
  for (const int step : steps) {
    now += step;
    return_terms terms;
    terms.backlog = *rc::gen::inRange(0, 100);
    terms.time_left = milliseconds(*rc::gen::inRange(0, 20'000));
    terms.draw = *rc::gen::inRange(0, 100) / 100.0;
    if (*rc::gen::arbitrary<bool>()) {
      terms.starts_per_s = *rc::gen::inRange(0, 100) / 10.0;
    }
    const milliseconds wait = schedule.Assign(terms, At(now));
    RC_ASSERT(wait >= milliseconds(0));
    RC_ASSERT(wait * 3 <= terms.time_left + milliseconds(3));
  }
}

// A burst of refusals must not make a second burst: in any second, hardly more callers return than can be started.
RC_GTEST_PROP(return_schedule_test, Assign_OfManyCallers_SpreadsThemAtTheMeasuredRate, ()) {
  return_schedule schedule;
  const int rate = *rc::gen::inRange(2, 20);
  std::vector<std::int64_t> returns;
  for (int i = 0; i < rate; ++i) {
    const return_terms terms{.backlog = 1, .starts_per_s = rate, .time_left = kBudget};
    returns.push_back(i + schedule.Assign(terms, At(i)).count());
  }
  for (std::size_t i = 1; i < returns.size(); ++i) {
    RC_ASSERT(returns[i] - returns[i - 1] >= 1'000 / rate - 2);
  }
}

}  // namespace
}  // namespace persimmon
