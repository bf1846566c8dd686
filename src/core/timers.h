// Timer service. Parts subscribe to it instead of reading a clock or creating timers of their own.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "persimmon/types.h"

namespace persimmon {

namespace asio = boost::asio;

// A coroutine that produces a value on the program's io_context.
template <class value = void>
using task = asio::awaitable<value>;

// Ends a subscription when it is destroyed.
class timer_subscription {
 public:
  timer_subscription() = default;
  explicit timer_subscription(std::shared_ptr<bool> active) : active_(std::move(active)) {}
  timer_subscription(timer_subscription&&) = default;
  timer_subscription& operator=(timer_subscription&& other) noexcept {
    Cancel();
    active_ = std::move(other.active_);
    return *this;
  }
  ~timer_subscription() { Cancel(); }

  void Cancel() {
    if (active_) {
      *active_ = false;
    }
    active_.reset();
  }

 private:
  std::shared_ptr<bool> active_;
};

class timer_service {
 public:
  explicit timer_service(asio::io_context& context) : context_(context) {}

  static time_point Now() { return std::chrono::steady_clock::now(); }

  // Calls the function every period, spread by up to jitter (0 to 1, share of the period), until the subscription ends.
  [[nodiscard]] timer_subscription SubscribeEvery(milliseconds period, double jitter, std::function<void()> callback);

  // Calls the function once after the delay, unless the subscription has ended.
  [[nodiscard]] timer_subscription SubscribeOnce(microseconds delay, std::function<void()> callback);

  // Suspends the calling coroutine. Cancellation of the coroutine ends the wait early.
  task<> Sleep(microseconds delay);

 private:
  asio::io_context& context_;
};

}  // namespace persimmon
