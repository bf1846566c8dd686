#include "core/timers.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <ctime>

#include "core/random.h"

namespace persimmon {
namespace {

milliseconds simulated_suspension(0);

}  // namespace

namespace detail {

struct subscribed_timer : std::enable_shared_from_this<subscribed_timer> {
  subscribed_timer(asio::io_context& context, std::function<void()> callback)
      : timer(context), callback(std::move(callback)) {}

  // Returns the time until the callback is called again.
  using next_delay = std::function<microseconds()>;

  void Schedule(microseconds delay, next_delay next = nullptr) {
    timer.expires_after(delay);
    timer.async_wait([self = shared_from_this(), next = std::move(next)](boost::system::error_code failure) {
      if (failure || !self->active) {
        return;
      }
      self->callback();
      if (next && self->active) {
        self->Schedule(next(), next);
      }
    });
  }

  void Cancel() {
    active = false;
    timer.cancel();
  }

  asio::steady_timer timer;
  std::function<void()> callback;
  bool active = true;
};

}  // namespace detail

void timer_subscription::Cancel() {
  if (const auto timer = timer_.lock()) {
    timer->Cancel();
  }
  timer_.reset();
}

time_point timer_service::NowWithSuspension() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec) + simulated_suspension);
}

void timer_service::SimulateSuspension(milliseconds duration) { simulated_suspension += duration; }

timer_subscription timer_service::SubscribeEvery(milliseconds period, double jitter, std::function<void()> callback) {
  const auto timer = std::make_shared<detail::subscribed_timer>(context_, std::move(callback));
  const auto delay = [period, jitter] {
    return std::chrono::duration_cast<microseconds>(period * (1.0 + jitter * (RandomUnit() - 0.5)));
  };
  timer->Schedule(delay(), delay);
  return timer_subscription(timer);
}

timer_subscription timer_service::SubscribeOnce(microseconds delay, std::function<void()> callback) {
  const auto timer = std::make_shared<detail::subscribed_timer>(context_, std::move(callback));
  timer->Schedule(delay);
  return timer_subscription(timer);
}

task<> timer_service::Sleep(microseconds delay) {
  asio::steady_timer timer(context_, delay);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace persimmon
