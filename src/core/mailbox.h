// Queue between coroutines and callbacks of one io_context: callbacks push, one coroutine receives with a time limit.
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
  explicit mailbox(asio::io_context& context) : signal_(context) {}
  mailbox(const mailbox&) = delete;
  mailbox& operator=(const mailbox&) = delete;

  void Push(value item) {
    items_.push_back(std::move(item));
    signal_.cancel();
  }

  bool IsEmpty() const { return items_.empty(); }

  // The next item, or nothing once the time is over. The mailbox must outlive the call.
  task<std::optional<value>> Receive(microseconds limit) {
    const time_point end = timer_service::Now() + limit;
    while (items_.empty()) {
      if (timer_service::Now() >= end) {
        co_return std::nullopt;
      }
      boost::system::error_code ignored;
      signal_.expires_at(end);
      co_await signal_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    std::optional<value> item(std::move(items_.front()));
    items_.pop_front();
    co_return item;
  }

 private:
  asio::steady_timer signal_;
  std::deque<value> items_;
};

}  // namespace persimmon
