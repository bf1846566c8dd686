// Runs a fake platform on the io_context of the test, so that the test controls when each fault occurs.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "core/log.h"
#include "fakes/fake_platform.h"
#include "platform/table_client.h"

namespace persimmon::support {

class platform_in_process {
 public:
  static constexpr milliseconds kRequestTimeout = milliseconds(100);

  platform_in_process() : platform_(context_, host_port{"127.0.0.1", 0}), timers_(context_) {
    SetLogLevel(log_level::kError);
    if (!platform_.Start()) {
      AbortProgram("The fake platform cannot listen.");
    }
  }

  ~platform_in_process() {
    platform_.Stop();
    RunFor(milliseconds(1));
  }

  asio::io_context& Context() { return context_; }
  timer_service& Timers() { return timers_; }
  fakes::fake_platform& Platform() { return platform_; }
  host_port Address() const { return {"127.0.0.1", platform_.Port()}; }
  table_client Client(milliseconds timeout = kRequestTimeout) { return table_client(context_, {Address()}, timeout); }

  // Runs the io_context until the condition holds. Returns false if it does not hold within the limit.
  bool RunUntil(const std::function<bool()>& condition, milliseconds limit = milliseconds(20'000)) {
    const time_point deadline = timer_service::Now() + limit;
    while (!condition()) {
      if (timer_service::Now() > deadline) {
        return false;
      }
      context_.restart();
      context_.run_one_for(milliseconds(5));
    }
    return true;
  }

  void RunFor(milliseconds duration) {
    context_.restart();
    context_.run_for(duration);
  }

  // Starts a coroutine. The returned optional is filled when it ends.
  template <class value>
  std::shared_ptr<std::optional<value>> Spawn(task<value> work) {
    auto stored = std::make_shared<std::optional<value>>();
    asio::co_spawn(context_, StoreResult(std::move(work), stored), asio::detached);
    return stored;
  }

  // Runs a coroutine to its end and returns its result.
  template <class value>
  value Run(task<value> work) {
    const auto stored = Spawn(std::move(work));
    if (!RunUntil([&stored] { return stored->has_value(); })) {
      AbortProgram("A coroutine of the test did not end within the limit.");
    }
    return std::move(**stored);
  }

 private:
  template <class value>
  static task<> StoreResult(task<value> work, std::shared_ptr<std::optional<value>> stored) {
    value done = co_await std::move(work);
    stored->emplace(std::move(done));
  }

  asio::io_context context_{1};
  fakes::fake_platform platform_;
  timer_service timers_;
};

}  // namespace persimmon::support
