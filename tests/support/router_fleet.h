// Several routers without agents in one process, with fakes of the platform and the endpoints. Each router has a kernel
// of its own, so that a test can freeze it or end it alone.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "direct/router_group.h"
#include "support/router_harness.h"

namespace persimmon::support {

class router_fleet {
 public:
  explicit router_fleet(const std::function<void(direct_settings&)>& adjust = nullptr) : harness_(adjust) {}

  ~router_fleet() {
    for (const auto& router : others_) {
      router->services.Stop();
    }
  }

 protected:
  struct other_router {
    kernel services;
    direct_settings settings;
    detail::stop_function stop;
    bool is_frozen = false;  // its kernel does not run
  };

  // Starts a router at an address of its own.
  other_router& AddRouter() {
    auto added = std::make_unique<other_router>();
    added->settings = harness_.Settings();
    auto& deployment = added->settings.deployment;
    const std::string number = std::to_string(++last_number_);
    const auto free_address = [&number] {
      return host_port{"127.0.0." + number, static_cast<std::uint16_t>(FreePort())};
    };
    deployment.name = "router-" + number;
    deployment.callers = free_address();
    deployment.readiness = free_address();
    deployment.control = free_address();
    deployment.seeds = {{"127.0.0.1", 1}};
    return StartRouter(std::move(added));
  }

  // Replaces the last router by a new process at its address.
  void RestartLastRouter() {
    auto added = std::make_unique<other_router>();
    added->settings = others_.back()->settings;
    KillLastRouter();
    StartRouter(std::move(added));
  }

  // Starts `routers` in total, the first of them in the harness, and waits until they know each other and the
  // endpoints. The desired state must have been written.
  bool StartRouters(std::size_t routers) {
    if (!harness_.Start()) {
      return false;
    }
    while (others_.size() + 1 < routers) {
      AddRouter();
    }
    return RunUntil([this, routers] {
      return std::all_of(others_.begin(), others_.end(), [routers](const auto& router) {
        return router->services.template Find<deployment_directory>("directory").IsInForce() &&
               router->services.template Find<router_group>("group").RouterCount() == routers;
      });
    });
  }

  // Removes a router as a kill does.
  void KillLastRouter() {
    others_.back()->services.Stop();
    others_.pop_back();
  }

  // Runs all routers that are not frozen until the condition holds. Returns false if it does not hold within the limit.
  bool RunUntil(const std::function<bool()>& condition, milliseconds limit = milliseconds(10'000)) {
    const time_point end = timer_service::Now() + limit;
    while (!condition()) {
      if (timer_service::Now() > end) {
        return false;
      }
      std::size_t handled = Poll(harness_.Kernel());
      for (const auto& router : others_) {
        handled += router->is_frozen ? 0 : Poll(router->services);
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

  router_harness harness_;
  std::vector<std::unique_ptr<other_router>> others_;

 private:
  other_router& StartRouter(std::unique_ptr<other_router> added) {
    added->stop = RegisterDirectRouter(added->services, added->settings);
    added->services.Start();
    others_.push_back(std::move(added));
    return *others_.back();
  }

  static std::size_t Poll(kernel& services) {
    services.Context().restart();
    return services.Context().poll();
  }

  int last_number_ = 1;
};

}  // namespace persimmon::support
