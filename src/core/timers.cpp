#include "core/timers.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <ctime>

#include "core/random.h"

namespace persimmon {
namespace {

milliseconds simulated_suspension(0);

struct periodic_timer : std::enable_shared_from_this<periodic_timer> {
  periodic_timer(asio::io_context& context, milliseconds period, double jitter, std::function<void()> callback,
                 std::shared_ptr<bool> active)
      : timer(context), period(period), jitter(jitter), callback(std::move(callback)), active(std::move(active)) {}

  void Schedule() {
    const double factor = 1.0 + jitter * (RandomUnit() - 0.5);
    timer.expires_after(std::chrono::duration_cast<microseconds>(period * factor));
    timer.async_wait([self = shared_from_this()](boost::system::error_code failure) {
      if (failure || !*self->active) {
        return;
      }
      self->callback();
      if (*self->active) {
        self->Schedule();
      }
    });
  }

  asio::steady_timer timer;
  milliseconds period;
  double jitter;
  std::function<void()> callback;
  std::shared_ptr<bool> active;
};

}  // namespace

time_point timer_service::NowWithSuspension() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec) + simulated_suspension);
}

void timer_service::SimulateSuspension(milliseconds duration) { simulated_suspension += duration; }

timer_subscription timer_service::SubscribeEvery(milliseconds period, double jitter, std::function<void()> callback) {
  auto active = std::make_shared<bool>(true);
  std::make_shared<periodic_timer>(context_, period, jitter, std::move(callback), active)->Schedule();
  return timer_subscription(active);
}

timer_subscription timer_service::SubscribeOnce(microseconds delay, std::function<void()> callback) {
  auto active = std::make_shared<bool>(true);
  auto timer = std::make_shared<asio::steady_timer>(context_, delay);
  timer->async_wait([timer, active, callback = std::move(callback)](boost::system::error_code failure) {
    if (!failure && *active) {
      callback();
    }
  });
  return timer_subscription(active);
}

task<> timer_service::Sleep(microseconds delay) {
  asio::steady_timer timer(context_, delay);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace persimmon
