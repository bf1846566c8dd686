// Share of the requests served in time under the load of the deployments, in virtual time: compares the product's
// placement with simpler policies that it must beat and with an ideal one that has perfect knowledge.
#include <gtest/gtest.h>

#include "support/engine_model.h"

namespace persimmon {
namespace {

using support::engine_model;
using support::model_deployment;
using support::model_load;
using support::model_totals;
using support::placement_policy;

class placement_load_test : public testing::TestWithParam<bool> {
 protected:
  // Sums of three runs, so that the result does not depend on a single sequence of arrivals.
  static model_totals Simulate(placement_policy policy) {
    model_totals sum;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const model_deployment deployment = GetParam() ? support::GrownDeployment() : support::SmallDeployment();
      const model_load load = GetParam() ? support::GrownLoad(seed) : support::SmallLoad(seed);
      sum += engine_model(deployment, load, policy).Simulate();
    }
    RecordProperty("in_time_per_mille", static_cast<int>(sum.InTimeShare() * 1'000));
    return sum;
  }
};

INSTANTIATE_TEST_SUITE_P(deployments, placement_load_test, testing::Values(false, true),
                         [](const auto& info) { return info.param ? "grown" : "small"; });

// In a sustained burst, most requests are late if each router considers only its own requests.
TEST_P(placement_load_test, Burst_WhenLateRequestsLetOthersGoFirst_ServesMoreInTime) {
  const model_totals product = Simulate(placement_policy::kProduct);
  const model_totals isolated = Simulate(placement_policy::kIndependentRouters);
  EXPECT_GT(product.InTimeShare(), isolated.InTimeShare() + 0.05);
  EXPECT_LT(product.preempted * 2, isolated.preempted);
}

TEST_P(placement_load_test, Burst_AgainstRoundRobin_ServesMoreInTimeAndWastesFewerTokens) {
  const model_totals product = Simulate(placement_policy::kProduct);
  const model_totals round_robin = Simulate(placement_policy::kRoundRobin);
  EXPECT_GT(product.InTimeShare(), round_robin.InTimeShare() + 0.1);
  EXPECT_LT(product.wasted_tokens, round_robin.wasted_tokens);
}

// With delayed reports between routers and estimated output lengths, at most a fifth of the ideal result is lost.
TEST_P(placement_load_test, Burst_AgainstPerfectKnowledge_ServesFourFifthsInTime) {
  EXPECT_GT(Simulate(placement_policy::kProduct).InTimeShare(),
            0.8 * Simulate(placement_policy::kPerfectInformation).InTimeShare());
}

// Acceptance criterion of the deployments: of the tenth of requests with the longest prompts, the share
// served in time is at least half that of all requests.
TEST_P(placement_load_test, LongPrompts_InABurst_AreNotStarvedByShortOnes) {
  const model_totals product = Simulate(placement_policy::kProduct);
  EXPECT_GT(product.LargeShare(), 0.5 * product.InTimeShare());
}

}  // namespace
}  // namespace persimmon
