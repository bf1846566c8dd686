// Compares placement policies for model requests under bursts, in simulated time. Deterministic for a given seed.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include "support/engine_model.h"

DEFINE_uint64(seed, 1, "seed of the first simulation");
DEFINE_int32(plays, 5, "number of simulations, with consecutive seeds from --seed on; their results are summed");
DEFINE_int64(reserve_ms, -1, "use of urgent requests for which room is kept; -1: the default");
DEFINE_bool(refuse_at_once, true, "refuse requests at once if their predicted wait is too long");
DEFINE_bool(schedule_returns, true, "give refused callers distinct times after the backlog");
DEFINE_bool(classes_only, false, "only the deployment with two classes of requests");
DEFINE_double(burst, 0,
              "request rate during the burst as a multiple of the normal rate; 0: the default of the deployment");

namespace persimmon {
namespace {

using support::placement_policy;

void PrintTrial(const char* name, const support::model_deployment& deployment, support::model_load load) {
  constexpr std::pair<placement_policy, const char*> kPolicies[] = {
      {placement_policy::kProduct, "present"},
      {placement_policy::kIndependentRouters, "independent routers"},
      {placement_policy::kRoundRobin, "round robin"},
      {placement_policy::kPerfectInformation, "perfect information"}};
  const std::uint64_t first_seed = load.seed;
  load.burst_factor = FLAGS_burst > 0 ? FLAGS_burst : load.burst_factor;
  fmt::print(
      "{}: {} routers, {} + {} engines, {} requests/s, {} times as many in the burst\n"
      "  in time, served: shares of all requests; large: share in time of the largest tenth of prompts\n",
      name, deployment.routers, deployment.prefill, deployment.decode, load.rate, load.burst_factor);
  fmt::print("  {:<24}{:>10}{:>10}{:>12}{:>12}{:>16}\n", "way", "in time", "served", "large", "preempted",
             "wasted tokens");
  for (const auto& [policy, label] : kPolicies) {
    support::model_totals sum;
    for (int i = 0; i < FLAGS_plays; ++i) {
      load.seed = first_seed + static_cast<std::uint64_t>(i);
      sum += support::engine_model(deployment, load, policy).Simulate();
    }
    fmt::print("  {:<24}{:>10.3f}{:>10.3f}{:>12.3f}{:>12}{:>16.0f}\n", label, sum.InTimeShare(), sum.ServedShare(),
               sum.LargeShare(), sum.preempted, sum.wasted_tokens);
  }
}

void PrintClasses(const char* name, const support::model_deployment& deployment, support::model_load load) {
  constexpr std::pair<placement_policy, const char*> kPolicies[] = {
      {placement_policy::kProduct, "latest start"},
      {placement_policy::kAdmissionOrder, "urgency"},
      {placement_policy::kPerfectInformation, "perfect information"}};
  const std::uint64_t first_seed = load.seed;
  load.burst_factor = FLAGS_burst > 0 ? FLAGS_burst : load.burst_factor;
  load.refuses_at_once = FLAGS_refuse_at_once;
  load.schedules_returns = FLAGS_schedule_returns;
  load.urgent_reserve_ms = FLAGS_reserve_ms >= 0 ? FLAGS_reserve_ms : load.urgent_reserve_ms;
  fmt::print("{}: by class in the order of urgency: in time, served, served of the longest tenth of prompts\n", name);
  for (const auto& [policy, label] : kPolicies) {
    support::model_totals sum;
    for (int i = 0; i < FLAGS_plays; ++i) {
      load.seed = first_seed + static_cast<std::uint64_t>(i);
      sum += support::engine_model(deployment, load, policy).Simulate();
    }
    fmt::print("  {:<20}", label);
    for (const auto& [index, totals] : sum.classes) {
      fmt::print("  {:.3f} {:.3f} {:.3f}", totals.InTimeShare(), totals.ServedShare(), totals.LargeServedShare());
    }
    fmt::print("  all {:.3f} {:.3f}, {} preempted, {:.0f} wasted tokens\n", sum.InTimeShare(), sum.ServedShare(),
               sum.preempted, sum.wasted_tokens);
  }
}

}  // namespace
}  // namespace persimmon

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  persimmon::PrintClasses("two classes", persimmon::support::TwoClassDeployment(),
                          persimmon::support::TwoClassLoad(FLAGS_seed));
  if (FLAGS_classes_only) {
    return 0;
  }
  persimmon::PrintTrial("small", persimmon::support::SmallDeployment(), persimmon::support::SmallLoad(FLAGS_seed));
  persimmon::PrintTrial("grown", persimmon::support::GrownDeployment(), persimmon::support::GrownLoad(FLAGS_seed));
  return 0;
}
