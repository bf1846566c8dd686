// link: persimmon_direct persimmon_fake_parts
// Limits of requests per second that endpoints state, at routers without agents, with fakes of the platform and the
// endpoints.
//
// Sections
//   1. fixture
//   2. plain calls
//   3. model calls
#include <gtest/gtest.h>

#include <algorithm>

#include "direct/limit_tracker.h"
#include "direct/router_group.h"
#include "support/router_fleet.h"

namespace persimmon {
namespace {

using fakes::fake_replica;
using fakes::replica_options;
using support::caller_exchange_ptr;

constexpr milliseconds kWindow(4'000);
constexpr double kAllowedFactor = 1.5;  // of the stated limit, in any window
constexpr double kAllowedExtra = 5;     // requests, in any window
// An endpoint that is limited must keep getting this share of its limit while there is demand.
constexpr double kWantedShare = 0.9;

// ---------------------------------------------------------------------------------------------------------------------
// 1. fixture
// ---------------------------------------------------------------------------------------------------------------------

// Largest number of arrivals in any window that begins at `from` or later.
std::size_t MostInAnyWindow(const std::vector<time_point>& arrivals, time_point from) {
  std::size_t most = 0;
  for (auto begin = std::lower_bound(arrivals.begin(), arrivals.end(), from); begin != arrivals.end(); ++begin) {
    const auto end = std::lower_bound(begin, arrivals.end(), *begin + kWindow);
    most = std::max(most, static_cast<std::size_t>(end - begin));
  }
  return most;
}

class endpoint_limit_test : public testing::Test, protected support::router_fleet {
 protected:
  fake_replica& AddPlain(const std::string& name) {
    replica_options options;
    options.name = name;
    options.service = "app";
    options.work_time = milliseconds(20);
    return harness_.AddReplica(options);
  }

  fake_replica& AddEngine(const std::string& name, const std::string& stage) {
    replica_options options;
    options.name = name;
    options.service = "llm";
    options.stage = stage;
    options.memory_tokens = stage == "decode" ? 100'000 : 0;
    return harness_.AddReplica(options);
  }

  // Starts `routers` in total and waits until they know each other and the endpoints.
  void StartRouters(std::size_t routers) {
    harness_.WriteDesiredState({.timeout_ms = 3'000, .memory_tokens = 100'000});
    ASSERT_TRUE(router_fleet::StartRouters(routers));
    RunFor(kKnown);
  }

  // Sends requests at a constant rate, to one router after the other.
  void SendFor(milliseconds duration, double per_second, const std::string& method, const std::string& path,
               const header_list& headers = {}) {
    const time_point begin = timer_service::Now();
    for (int i = 0; timer_service::Now() < begin + duration; ++i) {
      const std::size_t router = static_cast<std::size_t>(next_) % (others_.size() + 1);
      const host_port address =
          router == 0 ? harness_.Settings().deployment.callers : others_[router - 1]->settings.deployment.callers;
      const std::string attempt = "a" + std::to_string(++next_);
      calls_.push_back(harness_.SendTo(address, method, path, attempt, headers, "body"));
      const auto due = begin + std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(i / per_second));
      RunUntil([due] { return timer_service::Now() >= due; });
    }
  }

  void FinishCalls() {
    EXPECT_TRUE(RunUntil(
        [this] { return std::all_of(calls_.begin(), calls_.end(), [](const auto& call) { return call->done; }); }));
  }

  std::size_t CountStatus(int status) const {
    return static_cast<std::size_t>(
        std::count_if(calls_.begin(), calls_.end(), [status](const auto& call) { return call->Status() == status; }));
  }

  // `from`: when the limit had been stated to all.
  static void ExpectLimitKept(const fake_replica& endpoint, double limit, time_point from) {
    const auto most = static_cast<double>(MostInAnyWindow(endpoint.Arrivals(), from));
    const double window_s = std::chrono::duration<double>(kWindow).count();
    EXPECT_LE(most, kAllowedFactor * limit * window_s + kAllowedExtra) << endpoint.Name();
  }

  static double ArrivalRate(const fake_replica& endpoint, time_point from, time_point until) {
    const auto& arrivals = endpoint.Arrivals();
    const auto count = std::lower_bound(arrivals.begin(), arrivals.end(), until) -
                       std::lower_bound(arrivals.begin(), arrivals.end(), from);
    return static_cast<double>(count) / std::chrono::duration<double>(until - from).count();
  }

  static constexpr milliseconds kKnown{2'500};  // after which routers know for how long the others have run
  std::vector<caller_exchange_ptr> calls_;
  int next_ = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. plain calls
// ---------------------------------------------------------------------------------------------------------------------

// An endpoint in need got three times its limit, because each router sent as before.
TEST_F(endpoint_limit_test, EndpointThatStatesALimit_WithFiveRouters_GetsNoMoreAndWhatItTakes) {
  fake_replica& limited = AddPlain("app-1");
  AddPlain("app-2");
  AddPlain("app-3");
  StartRouters(5);
  SendFor(milliseconds(1'000), 80, "GET", "/pages/1");
  limited.Faults().request_limit = "7.2";
  SendFor(milliseconds(1'000), 80, "GET", "/pages/1");
  const time_point stated = timer_service::Now();
  SendFor(milliseconds(6'000), 80, "GET", "/pages/1");
  const time_point end = timer_service::Now();
  FinishCalls();
  ExpectLimitKept(limited, 7.2, stated);
  EXPECT_GE(ArrivalRate(limited, stated, end), kWantedShare * 7.2);
  EXPECT_EQ(CountStatus(200), calls_.size()) << "the others have room for all";
}

// What a router sends without waiting, such as cancellations, must delay the requests of all routers. Nothing failed
// when the body of the function that accounts for it was empty.
TEST_F(endpoint_limit_test, RequestsSentWithoutWaiting_DelayThoseOfAllRouters) {
  fake_replica& limited = AddPlain("app-1");
  limited.Faults().request_limit = "0.5";
  StartRouters(2);
  auto& tracker = harness_.Kernel().Find<limit_tracker>("limits");
  auto& other = others_.front()->services.Find<limit_tracker>("limits");
  const auto* entry = harness_.Directory().Endpoints().ListReady("app").front();
  const limited_endpoint endpoint{EndpointKey(entry->name), entry->started_ms};
  calls_.push_back(harness_.Send("GET", "/pages/1", "a1"));
  FinishCalls();
  ASSERT_TRUE(RunUntil([&] { return tracker.IsLimited(endpoint) && other.IsLimited(endpoint); }));
  const auto is_granted = [&](limit_tracker& asker, kernel& services) {
    std::optional<permit_result> result;
    asio::co_spawn(
        services.Context(), [&]() -> task<> { result = co_await asker.Acquire(endpoint, milliseconds(0)); },
        asio::detached);
    EXPECT_TRUE(RunUntil([&result] { return result.has_value(); }));
    return result && result->permit.has_value();
  };
  RunFor(milliseconds(2'500));
  ASSERT_TRUE(is_granted(tracker, harness_.Kernel()));  // the next one may be sent after 2 s
  RunFor(milliseconds(2'100));
  tracker.Charge(endpoint);
  tracker.Charge(endpoint);
  RunFor(milliseconds(50));
  // Without the charges, both routers would get a permit at once.
  EXPECT_FALSE(is_granted(other, others_.front()->services));
  EXPECT_FALSE(is_granted(tracker, harness_.Kernel()));
}

// Second attempts are requests too.
TEST_F(endpoint_limit_test, EndpointsThatStateLimits_AndFailEveryCall_GetNoMoreWithTheRetries) {
  fake_replica& first = AddPlain("app-1");
  fake_replica& second = AddPlain("app-2");
  for (fake_replica* endpoint : {&first, &second}) {
    endpoint->Faults().returns_500 = true;
    endpoint->Faults().request_limit = "4";
  }
  StartRouters(3);
  SendFor(milliseconds(1'000), 60, "GET", "/pages/1");
  const time_point stated = timer_service::Now();
  SendFor(milliseconds(5'000), 60, "GET", "/pages/1");
  FinishCalls();
  ExpectLimitKept(first, 4, stated);
  ExpectLimitKept(second, 4, stated);
}

// With too few permits for all, a call is served in time or refused at once, and refused callers do not come back
// together.
TEST_F(endpoint_limit_test, AllEndpointsWithLimits_BelowTheDemand_AreUsedAndTheRestIsRefusedAtOnce) {
  fake_replica& first = AddPlain("app-1");
  fake_replica& second = AddPlain("app-2");
  StartRouters(3);
  first.Faults().request_limit = "10";
  second.Faults().request_limit = "6.5";
  SendFor(milliseconds(1'000), 60, "POST", "/submit/1");
  const time_point stated = timer_service::Now();
  const std::size_t first_call = calls_.size();
  SendFor(milliseconds(6'000), 60, "POST", "/submit/1");
  const time_point end = timer_service::Now();
  FinishCalls();
  ExpectLimitKept(first, 10, stated);
  ExpectLimitKept(second, 6.5, stated);
  EXPECT_GE(ArrivalRate(first, stated, end), kWantedShare * 10);
  EXPECT_GE(ArrivalRate(second, stated, end), kWantedShare * 6.5);
  std::vector<double> retry_after;
  for (std::size_t i = first_call; i < calls_.size(); ++i) {
    ASSERT_TRUE(calls_[i]->Status() == 200 || calls_[i]->Status() == 503) << calls_[i]->Status();
    if (calls_[i]->Status() == 503) {
      retry_after.push_back(std::stod(calls_[i]->Header("Retry-After")));
    }
  }
  ASSERT_GT(retry_after.size(), 100U);
  const auto [least, most] = std::minmax_element(retry_after.begin(), retry_after.end());
  EXPECT_GT(*least, 0.2);
  EXPECT_GT(*most - *least, 0.2);
}

// A router that sends nothing to the endpoint never hears from it that its limit has ended.
TEST_F(endpoint_limit_test, LimitOfZero_OnceItHasEnded_EndsAtAllRouters) {
  fake_replica& limited = AddPlain("app-1");
  AddPlain("app-2");
  StartRouters(3);
  limited.Faults().request_limit = "0";
  SendFor(milliseconds(1'000), 60, "GET", "/pages/1");
  const time_point stated = timer_service::Now();
  SendFor(milliseconds(4'000), 60, "GET", "/pages/1");
  EXPECT_LE(MostInAnyWindow(limited.Arrivals(), stated), 2U);
  limited.Faults().request_limit.clear();
  SendFor(milliseconds(6'000), 60, "GET", "/pages/1");
  const time_point ended = timer_service::Now();
  SendFor(milliseconds(2'000), 60, "GET", "/pages/1");
  EXPECT_GE(ArrivalRate(limited, ended, timer_service::Now()), 10);
  FinishCalls();
  EXPECT_EQ(CountStatus(200), calls_.size());
}

// Each start of a router, or a change of the home router, must not give the limit anew.
TEST_F(endpoint_limit_test, Limit_WhileRoutersAreKilledAndStarted_IsKeptAndUsed) {
  fake_replica& limited = AddPlain("app-1");
  AddPlain("app-2");
  StartRouters(5);
  limited.Faults().request_limit = "7";
  SendFor(milliseconds(1'000), 60, "GET", "/pages/1");
  const time_point stated = timer_service::Now();
  for (int i = 0; i < 4; ++i) {
    KillLastRouter();
    SendFor(milliseconds(700), 60, "GET", "/pages/1");
    AddRouter();
    RunFor(milliseconds(200));
    SendFor(milliseconds(1'500), 60, "GET", "/pages/1");
  }
  ExpectLimitKept(limited, 7, stated);
  EXPECT_GE(ArrivalRate(limited, stated, timer_service::Now()), 0.4 * 7);
}

// A permit that was given before the machine was suspended has expired when it wakes, although its timers have not seen
// the time pass.
TEST_F(endpoint_limit_test, Permit_AfterASuspensionOfTheMachine_IsNotUsed) {
  fake_replica& limited = AddPlain("app-1");
  StartRouters(1);
  limited.Faults().request_limit = "50";
  ASSERT_TRUE(RunUntil([this] {
    SendFor(milliseconds(20), 50, "GET", "/pages/1");
    return harness_.EndpointTracker().IsLimited(harness_.EndpointTracker().ListEndpoints("app", std::nullopt).at(0));
  }));
  auto& tracker = harness_.EndpointTracker();
  const chosen_endpoint endpoint = tracker.ListEndpoints("app", std::nullopt).at(0);
  std::optional<permit_result> taken;
  asio::co_spawn(
      harness_.Kernel().Context(),
      [&]() -> task<> { taken = co_await tracker.AcquirePermit(endpoint, milliseconds(500)); }, asio::detached);
  ASSERT_TRUE(RunUntil([&taken] { return taken.has_value(); }));
  ASSERT_TRUE(taken->permit.has_value());
  EXPECT_TRUE(tracker.MakeSendCheck(endpoint, *taken->permit)());
  timer_service::SimulateSuspension(milliseconds(3'000));
  EXPECT_FALSE(tracker.MakeSendCheck(endpoint, *taken->permit)());
  FinishCalls();
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. model calls
// ---------------------------------------------------------------------------------------------------------------------

class engine_limit_test : public endpoint_limit_test {
 protected:
  engine_limit_test() {
    for (int i = 1; i <= 3; ++i) {
      decode_.push_back(&AddEngine("dec-" + std::to_string(i), "decode"));
      prefill_.push_back(&AddEngine("pre-" + std::to_string(i), "prefill"));
    }
  }

  void SendStreams(milliseconds duration, double per_second) {
    SendFor(duration, per_second, "POST", "/digest/1",
            {{"Persimmonchute-Model", "m"},
             {"Persimmonchute-Token-Count", "3000,50"},
             {"Persimmonchute-Length-Hint", "50"},
             {"Persimmonchute-Deadline-Ms", "3000"}});
  }

  std::vector<fake_replica*> decode_;
  std::vector<fake_replica*> prefill_;
};

// Reservations, reports and calls that free memory are requests too.
TEST_F(engine_limit_test, DecodeEngineThatStatesALimit_WithThreeRouters_GetsNoMoreAndWhatItTakes) {
  StartRouters(3);
  decode_[0]->Faults().request_limit = "4.5";
  SendStreams(milliseconds(1'000), 40);
  const time_point stated = timer_service::Now();
  SendStreams(milliseconds(6'000), 40);
  const time_point end = timer_service::Now();
  FinishCalls();
  ExpectLimitKept(*decode_[0], 4.5, stated);
  EXPECT_GE(ArrivalRate(*decode_[0], stated, end), kWantedShare * 4.5);
  EXPECT_EQ(CountStatus(200), calls_.size()) << "the others have room for all";
}

TEST_F(engine_limit_test, PrefillEngineThatStatesALimit_WithThreeRouters_GetsNoMoreAndWhatItTakes) {
  StartRouters(3);
  prefill_[0]->Faults().request_limit = "4.5";
  SendStreams(milliseconds(1'000), 40);
  const time_point stated = timer_service::Now();
  SendStreams(milliseconds(6'000), 40);
  const time_point end = timer_service::Now();
  FinishCalls();
  ExpectLimitKept(*prefill_[0], 4.5, stated);
  EXPECT_GE(ArrivalRate(*prefill_[0], stated, end), kWantedShare * 4.5);
  EXPECT_EQ(CountStatus(200), calls_.size()) << "the others have room for all";
}

// Streams that no engine may begin in time are refused, and none is broken off.
TEST_F(engine_limit_test, AllEnginesWithLimits_BelowTheDemand_AreUsedAndTheRestIsRefused) {
  StartRouters(2);
  for (fake_replica* engine : decode_) {
    engine->Faults().request_limit = "3";
  }
  SendStreams(milliseconds(1'000), 30);
  const time_point stated = timer_service::Now();
  SendStreams(milliseconds(6'000), 30);
  const time_point end = timer_service::Now();
  FinishCalls();
  for (const fake_replica* engine : decode_) {
    ExpectLimitKept(*engine, 3, stated);
    EXPECT_GE(ArrivalRate(*engine, stated, end), 0.8 * 3);
  }
  EXPECT_EQ(CountStatus(200) + CountStatus(503), calls_.size());
}

}  // namespace
}  // namespace persimmon
