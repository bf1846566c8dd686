// Guards against retries that multiply the load of a failing pool.
#include "persimmon/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decision_support.h"

namespace persimmon {
namespace {

class retry_budget_test : public testing::Test {
 protected:
  retry_settings settings_;
};

TEST_F(retry_budget_test, AllowRetry_WithoutFirstAttempts_AllowsTheMinimumRate) {
  retry_budget budget(settings_, At(0));
  EXPECT_TRUE(budget.AllowRetry(At(0)));
  EXPECT_FALSE(budget.AllowRetry(At(0)));
  EXPECT_FALSE(budget.AllowRetry(At(1'999)));
  EXPECT_TRUE(budget.AllowRetry(At(2'000)));
}

TEST_F(retry_budget_test, AllowRetry_AfterTenFirstAttempts_AllowsOneMore) {
  settings_.min_retries_per_second = 0;
  retry_budget budget(settings_, At(0));
  EXPECT_TRUE(budget.AllowRetry(At(0)));
  for (int i = 0; i < 11; ++i) {
    EXPECT_FALSE(i < 10 && budget.AllowRetry(At(i)));
    budget.RecordFirstAttempt(At(i));
  }
  EXPECT_TRUE(budget.AllowRetry(At(20)));
  EXPECT_FALSE(budget.AllowRetry(At(20)));
}

// Checks that no sequence of calls exceeds the bound stated in retry_budget.h.
RC_GTEST_FIXTURE_PROP(retry_budget_test, AllowRetry_ForAnyMix_StaysWithinTheBound, ()) {
  retry_budget budget(settings_, At(0));
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
  double first_attempts = 0;
  double retries = 0;
  std::int64_t now = 0;
  for (const int step : steps) {
    now += step / 4;
    if (step % 4 == 0) {
      budget.RecordFirstAttempt(At(now));
      first_attempts += 1;
    } else {
      retries += budget.AllowRetry(At(now)) ? 1 : 0;
    }
    RC_ASSERT(retries <=
              1 + settings_.retry_ratio * first_attempts + settings_.min_retries_per_second * now / 1e3 + 1e-6);
  }
}

}  // namespace
}  // namespace persimmon
