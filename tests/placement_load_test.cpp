// What callers get under the load of the deployments, in virtual time: the product's placement against ways that it
// must beat, and against one that knows everything.
#include <gtest/gtest.h>

#include "support/engine_model.h"

namespace persimmon {
namespace {

using support::engine_model;
using support::model_deployment;
using support::model_load;
using support::model_totals;
using support::placing_way;

class placement_load_test : public testing::TestWithParam<bool> {
 protected:
  // Sums of three plays, so that one draw of the arrivals does not decide.
  static model_totals Play(placing_way way) {
    model_totals sum;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const model_deployment deployment = GetParam() ? support::GrownDeployment() : support::SmallDeployment();
      const model_load load = GetParam() ? support::GrownLoad(seed) : support::SmallLoad(seed);
      sum += engine_model(deployment, load, way).Play();
    }
    RecordProperty("in_time_per_mille", static_cast<int>(sum.InTimeShare() * 1'000));
    return sum;
  }
};

INSTANTIATE_TEST_SUITE_P(deployments, placement_load_test, testing::Values(false, true),
                         [](const auto& info) { return info.param ? "grown" : "small"; });

// With a sustained burst, routers that each look after their own callers make most of them late.
TEST_P(placement_load_test, Burst_WithRequestsThatYield_ServesMoreInTime) {
  const model_totals present = Play(placing_way::kPresent);
  const model_totals own_order = Play(placing_way::kOwnOrder);
  EXPECT_GT(present.InTimeShare(), own_order.InTimeShare() + 0.05);
  EXPECT_LT(present.preempted * 2, own_order.preempted);
}

TEST_P(placement_load_test, Burst_AgainstEnginesInTurn_ServesMoreInTimeAndReadsLessInVain) {
  const model_totals present = Play(placing_way::kPresent);
  const model_totals in_turn = Play(placing_way::kRoundRobin);
  EXPECT_GT(present.InTimeShare(), in_turn.InTimeShare() + 0.1);
  EXPECT_LT(present.tokens_in_vain, in_turn.tokens_in_vain);
}

// Five routers with old news of each other and estimated lengths lose at most a fifth of what is possible.
TEST_P(placement_load_test, Burst_AgainstPerfectKnowledge_ServesFourFifthsInTime) {
  EXPECT_GT(Play(placing_way::kPresent).InTimeShare(), 0.8 * Play(placing_way::kPerfect).InTimeShare());
}

// The gate of the deployments: the largest tenth is served at least half as often as all.
TEST_P(placement_load_test, LongPrompts_InABurst_DoNotPayForShortOnes) {
  const model_totals present = Play(placing_way::kPresent);
  EXPECT_GT(present.LargeShare(), 0.5 * present.InTimeShare());
}

}  // namespace
}  // namespace persimmon
