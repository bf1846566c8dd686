// link: persimmon_net
#include "net/server_limits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace persimmon {
namespace {

constexpr std::size_t kInternalServers = 2;  // readiness and control
constexpr std::size_t kConnectionBytes = 24U << 10U;
constexpr std::size_t kMegabyte = 1U << 20U;

// All servers of a router, with one connection to an endpoint for each caller.
RC_GTEST_PROP(server_limits_property, Servers_OfOneProcess_LeaveDescriptorsForTheStore, ()) {
  const auto descriptors = *rc::gen::inRange<std::size_t>(200, 100'000);
  const process_limits process{std::nullopt, descriptors};
  const std::size_t callers = CallerServerLimits(process).connections;
  const std::size_t internal = kInternalServers * InternalServerLimits(process).connections;
  RC_ASSERT(2 * callers + internal < descriptors);
  RC_ASSERT(callers > 0U && internal > 0U);
}

RC_GTEST_PROP(server_limits_property, Servers_OfOneProcess_LeaveMemoryForItsState, ()) {
  const auto memory = *rc::gen::inRange<std::size_t>(48 * kMegabyte, 2'048 * kMegabyte);
  const process_limits process{memory, 8'000};
  std::size_t used = 0;
  const http_limits callers = CallerServerLimits(process);
  const http_limits internal = InternalServerLimits(process);
  used += callers.connections * kConnectionBytes + callers.body_memory_bytes + callers.input_memory_bytes;
  used += kInternalServers *
          (internal.connections * kConnectionBytes + internal.body_memory_bytes + internal.input_memory_bytes);
  RC_ASSERT(used < memory * 8 / 10);
}

// What a deployment's limits allow a client to send is set by the deployment, not here.
TEST(server_limits_test, SmallestVm_OfTheDeployments_KeepsRoomForItsCallers) {
  const http_limits limits = CallerServerLimits({88 * kMegabyte, 3'900});
  EXPECT_GE(limits.connections, 900U);
  EXPECT_GE(limits.body_memory_bytes, 26 * kMegabyte);
  EXPECT_GE(limits.input_memory_bytes, 8 * kMegabyte);
}

TEST(server_limits_test, ProcessWithoutLimits_HasDefaults) {
  EXPECT_EQ(CallerServerLimits({}).body_memory_bytes, http_limits{}.body_memory_bytes);
  EXPECT_EQ(CallerServerLimits({}).input_memory_bytes, http_limits{}.input_memory_bytes);
  EXPECT_LT(InternalServerLimits({}).connections, CallerServerLimits({}).connections);
}

}  // namespace
}  // namespace persimmon
