// Budget for extra sends to a service, such as retries: sends to its endpoints beyond those that a request
// needs if none of them fails.
//
// All routers share one budget per service, unlike the budget of retry_budget.h, which each router has for itself. It
// is `ratio` times the number of requests in any window, plus a fixed `slack`. Each router applies the ratio to its own
// requests and gets an equal part of the slack.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "persimmon/types.h"

namespace persimmon {

struct send_budget_settings {
  double ratio = 0.2;  // extra sends per request
  double slack = 56;   // extra sends per window, all routers together
  milliseconds window = milliseconds(10'000);
  // Fraction of the budget that routers may use. The rest is a reserve for unevenly distributed requests and routers
  // that have just joined.
  double utilization = 0.8;

  bool operator==(const send_budget_settings&) const = default;
};

class send_budget {
 public:
  explicit send_budget(send_budget_settings settings) : settings_(settings) {}

  void SetRouters(std::uint32_t count) { routers_ = count == 0 ? 1 : count; }
  void RecordRequest(time_point now);

  // Returns true and counts the sends if the budget allows that many more extra sends.
  bool AllowSends(std::size_t count, time_point now);
  bool AllowSend(time_point now) { return AllowSends(1, now); }

  // Takes back extra sends that were allowed and then not sent.
  void ReturnSends(std::size_t count);

  // Counts an extra send without a check. A send that was rejected or failed is extra even if it was the first of its
  // request, which is known only afterwards.
  void RecordSend(time_point now);

  double Available(time_point now);

  // Requests and extra sends in the current window.
  std::size_t RequestCount() const { return requests_.size(); }
  std::size_t SendCount() const { return sends_.size(); }

 private:
  void Expire(time_point now);

  send_budget_settings settings_;
  std::uint32_t routers_ = 1;
  std::deque<time_point> requests_;
  std::deque<time_point> sends_;
};

}  // namespace persimmon
