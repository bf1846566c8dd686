// link: persimmon_direct persimmon_fake_parts
// Calls to plain services that wait at the router while the endpoints are busy, with fakes of the platform and the
// endpoints.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "support/router_harness.h"

namespace persimmon {
namespace {

using fakes::fake_replica;
using support::caller_exchange_ptr;
using support::router_harness;

class call_gate_test : public testing::Test {
 protected:
  explicit call_gate_test(const std::string& mode = "on")
      : harness_([mode](direct_settings& settings) { settings.adaptive = mode; }) {
    for (const char* name : {"app-1", "app-2"}) {
      fakes::replica_options options;
      options.name = name;
      options.service = "app";
      options.work_time = milliseconds(40);
      fake_replica& added = harness_.AddReplica(options);
      added.Faults().server_load = "6,24,6,100";  // its queue is full
      endpoints_.push_back(&added);
    }
    harness_.WriteDesiredState({.timeout_ms = 5'000});
  }
  void SetUp() override {
    ASSERT_TRUE(harness_.Start());
    // Each router starts with a small window; the responses to these calls tell it how busy the endpoints are.
    for (int i = 0; i < 12; ++i) {
      ASSERT_TRUE(harness_.Finish(harness_.Send("POST", "/submit/1", "first-" + std::to_string(i), {}, "quiz")));
      harness_.RunFor(milliseconds(30));
    }
  }

  std::vector<caller_exchange_ptr> SendMany(int count) {
    std::vector<caller_exchange_ptr> calls;
    for (int i = 0; i < count; ++i) {
      calls.push_back(harness_.Send("POST", "/submit/1", "a" + std::to_string(i), {}, "quiz"));
    }
    return calls;
  }

  // Waits for all calls and returns the highest number of calls that one endpoint ran at the same time.
  int FinishAll(const std::vector<caller_exchange_ptr>& calls) {
    int highest = 0;
    harness_.RunUntil([&] {
      for (const fake_replica* endpoint : endpoints_) {
        highest = std::max(highest, endpoint->ActiveRuns());
      }
      return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->done; });
    });
    return highest;
  }

  router_harness harness_;
  std::vector<fake_replica*> endpoints_;
};

class call_gate_off_test : public call_gate_test {
 protected:
  call_gate_off_test() : call_gate_test("off") {}
};

// A call that must not be repeated would use up its only attempt at an endpoint whose queue is full.
TEST_F(call_gate_test, Calls_WhileEndpointsStateFullQueues_WaitAndAreAllAnswered) {
  const auto calls = SendMany(20);
  EXPECT_LE(FinishAll(calls), 2);
  for (const auto& call : calls) {
    EXPECT_EQ(call->Status(), 200);
  }
}

TEST_F(call_gate_off_test, Calls_WithoutTheAdaptivePolicy_AreSentAtOnce) { EXPECT_GE(FinishAll(SendMany(20)), 8); }

// A call whose caller has gone must not be sent when its turn comes.
TEST_F(call_gate_test, WaitingCall_WhoseCallerDisconnects_IsNotSent) {
  auto calls = SendMany(20);
  harness_.RunFor(milliseconds(10));
  for (auto& call : calls) {
    call->call->Cancel();
  }
  ASSERT_TRUE(harness_.RunUntil([&] { return endpoints_[0]->ActiveRuns() + endpoints_[1]->ActiveRuns() == 0; }));
  harness_.RunFor(milliseconds(300));
  int runs = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string attempt = "a" + std::to_string(i);
    runs += endpoints_[0]->Runs(attempt) + endpoints_[1]->Runs(attempt);
  }
  EXPECT_LE(runs, 4);
}

// Held until its deadline, a refused call could not come back.
TEST_F(call_gate_test, Calls_ThatCannotBeServedInTime_AreRefusedWhileTheirCallersCanComeBack) {
  std::vector<caller_exchange_ptr> calls;
  const time_point begin = timer_service::Now();
  for (int i = 0; i < 60; ++i) {
    calls.push_back(
        harness_.Send("POST", "/submit/1", "b" + std::to_string(i), {{"Persimmonchute-Deadline-Ms", "600"}}, "quiz"));
  }
  FinishAll(calls);
  EXPECT_LT(timer_service::Now() - begin, milliseconds(600));
  int refused = 0;
  for (const auto& call : calls) {
    if (call->Status() == 503) {
      ++refused;
      EXPECT_LE(std::stod(call->Header("Retry-After")), 0.2);
    }
  }
  EXPECT_GT(refused, 0);
}

// An endpoint that is lost while calls wait must not hold them back for ever.
TEST_F(call_gate_test, WaitingCalls_WhenOneEndpointIsLost_GoToTheOther) {
  const auto calls = SendMany(12);
  harness_.RunFor(milliseconds(20));
  endpoints_[0]->Unregister(harness_.Platform().Tables());
  endpoints_[0]->Stop();
  FinishAll(calls);
  const auto answered =
      std::count_if(calls.begin(), calls.end(), [](const auto& call) { return call->Status() == 200; });
  EXPECT_GE(answered, 10);  // those that were at the lost endpoint may have run
}

}  // namespace
}  // namespace persimmon
