// Timer service. Components use it instead of reading a clock or creating their own timers.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "persimmon/types.h"

namespace persimmon {

namespace asio = boost::asio;

// Coroutine that runs on the program's io_context and returns a value.
template <class value = void>
using task = asio::awaitable<value>;

namespace detail {
struct subscribed_timer;
}

// Handle of a timer callback. Cancel and the destructor cancel the callback and free the timer immediately, not only
// when it would have expired.
class timer_subscription {
 public:
  timer_subscription() = default;
  explicit timer_subscription(std::weak_ptr<detail::subscribed_timer> timer) : timer_(std::move(timer)) {}
  timer_subscription(timer_subscription&&) = default;
  timer_subscription& operator=(timer_subscription&& other) noexcept {
    Cancel();
    timer_ = std::move(other.timer_);
    return *this;
  }
  ~timer_subscription() { Cancel(); }

  void Cancel();

 private:
  std::weak_ptr<detail::subscribed_timer> timer_;  // owned by its pending wait
};

// Time between two points in whole milliseconds, for logs.
inline std::int64_t ElapsedMs(time_point from, time_point until) {
  return std::chrono::duration_cast<milliseconds>(until - from).count();
}

class timer_service {
 public:
  explicit timer_service(asio::io_context& context) : context_(context) {}

  static time_point Now() { return std::chrono::steady_clock::now(); }

  // Like Now, but also counts the time for which the machine was suspended. For permissions with a time limit that
  // others have given. Not comparable with Now.
  static time_point NowWithSuspension();

  // For tests: the machine has been suspended for so much longer.
  static void SimulateSuspension(milliseconds duration);

  // Calls the function periodically until the subscription ends. Each interval varies randomly; `jitter` (0 to 1) is
  // the width of the variation as a fraction of the period.
  [[nodiscard]] timer_subscription SubscribeEvery(milliseconds period, double jitter, std::function<void()> callback);

  // Calls the function once after the delay, unless the subscription ends before.
  [[nodiscard]] timer_subscription SubscribeOnce(microseconds delay, std::function<void()> callback);

  // Suspends the calling coroutine for the delay. Cancelling the coroutine ends the wait early.
  task<> Sleep(microseconds delay);

 private:
  asio::io_context& context_;
};

}  // namespace persimmon
