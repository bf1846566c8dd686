// link: persimmon_direct persimmon_fake_parts
// Limits of requests per second that endpoints state, at routers without agents, with fakes of the platform and the
// endpoints.
//
// Sections
//   1. fixture
//   2. plain calls
#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

#include "direct/router_group.h"
#include "support/router_harness.h"

namespace persimmon {
namespace {

using fakes::fake_replica;
using fakes::replica_options;
using support::caller_exchange_ptr;
using support::router_harness;

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

// Several routers in one process. The harness runs the first of them and the fakes.
class endpoint_limit_test : public testing::Test {
 protected:
  struct other_router {
    kernel services;
    direct_settings settings;
    detail::stop_function stop;
  };

  ~endpoint_limit_test() override {
    for (const auto& router : others_) {
      router->services.Stop();
    }
  }

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

  void AddRouter() {
    auto added = std::make_unique<other_router>();
    added->settings = harness_.Settings();
    auto& deployment = added->settings.deployment;
    const std::string host = "127.0.0." + std::to_string(others_.size() + 2);
    const auto free_address = [&host] { return host_port{host, static_cast<std::uint16_t>(support::FreePort())}; };
    deployment.name = "router-" + std::to_string(others_.size() + 2);
    deployment.callers = free_address();
    deployment.readiness = free_address();
    deployment.control = free_address();
    deployment.seeds = {{"127.0.0.1", 1}};
    added->stop = RegisterDirectRouter(added->services, added->settings);
    added->services.Start();
    others_.push_back(std::move(added));
  }

  // Starts `routers` in total and waits until they know each other and the endpoints.
  void StartRouters(std::size_t routers) {
    harness_.WriteDesiredState({.timeout_ms = 3'000, .memory_tokens = 100'000});
    ASSERT_TRUE(harness_.Start());
    while (others_.size() + 1 < routers) {
      AddRouter();
    }
    ASSERT_TRUE(RunUntil([this, routers] {
      return std::all_of(others_.begin(), others_.end(), [routers](const auto& router) {
        return router->services.template Find<deployment_directory>("directory").IsInForce() &&
               router->services.template Find<router_group>("group").RouterCount() == routers;
      });
    }));
    RunFor(kKnown);
  }

  // Removes a router as a kill does.
  void KillLastRouter() {
    others_.back()->services.Stop();
    others_.pop_back();
  }

  bool RunUntil(const std::function<bool()>& condition, milliseconds limit = milliseconds(10'000)) {
    const time_point end = timer_service::Now() + limit;
    while (!condition()) {
      if (timer_service::Now() > end) {
        return false;
      }
      std::size_t handled = Poll(harness_.Kernel());
      for (const auto& router : others_) {
        handled += Poll(router->services);
      }
      if (handled == 0) {
        std::this_thread::sleep_for(microseconds(200));
      }
    }
    return true;
  }

  void RunFor(milliseconds duration) {
    const time_point end = timer_service::Now() + duration;
    RunUntil([end] { return timer_service::Now() >= end; }, duration + milliseconds(1'000));
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

  static std::size_t Poll(kernel& services) {
    services.Context().restart();
    return services.Context().poll();
  }

  static constexpr milliseconds kKnown{2'500};  // after which routers know for how long the others have run
  router_harness harness_;
  std::vector<std::unique_ptr<other_router>> others_;
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

}  // namespace
}  // namespace persimmon
