// Unbounded queue from callbacks to a coroutine of one io_context. Single consumer; Receive takes a timeout.
#pragma once

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <optional>
#include <utility>

#include "core/timers.h"

namespace persimmon {

template <class value>
class mailbox {
 public:
  explicit mailbox(asio::io_context& context) : wakeup_timer_(context) {}
  mailbox(const mailbox&) = delete;
  mailbox& operator=(const mailbox&) = delete;

  void Push(value item) {
    items_.push_back(std::move(item));
    wakeup_timer_.cancel();
  }

  bool IsEmpty() const { return items_.empty(); }

  // Returns the next item, or nullopt after the timeout. The mailbox must outlive the call.
  task<std::optional<value>> Receive(microseconds timeout) {
    const time_point end = timer_service::Now() + timeout;
    while (items_.empty()) {
      if (timer_service::Now() >= end) {
        co_return std::nullopt;
      }
      boost::system::error_code ignored;
      wakeup_timer_.expires_at(end);
      co_await wakeup_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    std::optional<value> item(std::move(items_.front()));
    items_.pop_front();
    co_return item;
  }

 private:
  asio::steady_timer wakeup_timer_;
  std::deque<value> items_;
};

}  // namespace persimmon
