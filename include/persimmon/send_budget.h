// Budget for extra sends to a service, such as retries: sends to its endpoints beyond those that a request
// needs if none of them fails.
//
// All routers share one budget per service, unlike the budget of retry_budget.h, which each router has for itself. It
// is `ratio` times the number of requests in any window, plus a fixed `slack`. Each router applies the ratio to its own
// requests and gets an equal part of the slack.
//
// A provisional send, such as the first prefill of a request, is an extra send only if the endpoint rejects it, which
// is known afterwards. Until then it occupies the budget, so that sends which are rejected together do not exceed it.
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
  // `slack_from`: when the router may use its part of the slack. A router that has been started again waits for one
  // window, because its earlier process may have used that part.
  send_budget(send_budget_settings settings, time_point slack_from) : settings_(settings), slack_from_(slack_from) {}

  // Number of routers that share the slack; 0 if it is not known, so that this router may use none of it.
  void SetRouters(std::uint32_t count) { routers_ = count; }
  void RecordRequest(time_point now);

  // Returns true and counts the sends if the budget allows that many more extra sends.
  bool AllowSends(std::size_t count, time_point now);
  bool AllowSend(time_point now) { return AllowSends(1, now); }

  // Takes back extra sends that were allowed and then not sent.
  void ReturnSends(std::size_t count);

  enum class provisional_check : std::uint8_t {
    kAllowed,
    kWaits,  // too many provisional sends are in progress
    kSpent,  // the budget has no room for a rejection
  };

  // Whether another provisional send may be started. One at a time is allowed while the router has counted no extra
  // send, so that a router with few requests can start.
  provisional_check CheckProvisional(time_point now);
  void BeginProvisional() { ++provisional_; }

  // Ends a provisional send. A rejected one is counted by RecordSend.
  void EndProvisional() { provisional_ -= provisional_ > 0 ? 1 : 0; }

  // Counts an extra send without a check.
  void RecordSend(time_point now);

  // Extra sends that the budget has room for; negative if it is exceeded.
  double Available(time_point now);

  // Requests and extra sends in the current window.
  std::size_t RequestCount() const { return requests_.size(); }
  std::size_t SendCount() const { return sends_.size(); }

 private:
  void Expire(time_point now);

  send_budget_settings settings_;
  time_point slack_from_;
  std::uint32_t routers_ = 1;
  std::deque<time_point> requests_;
  std::deque<time_point> sends_;
  std::size_t provisional_ = 0;  // provisional sends in progress
};

}  // namespace persimmon
