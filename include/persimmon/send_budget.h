// Budget of extra sends to a service: everything that reaches its endpoints beyond the first send of each request.
//
// Routers share one budget per service: `ratio` times the requests for the service in any window, and a fixed slack.
// The ratio applies to each router's own requests; the slack is split evenly between the routers.
#pragma once

#include <cstdint>
#include <deque>

#include "persimmon/types.h"

namespace persimmon {

struct send_budget_settings {
  double ratio = 0.2;  // extra sends per request
  double slack = 56;   // extra sends per window, of all routers together
  milliseconds window = milliseconds(10'000);
  // Share of the budget that is used. The rest covers requests that arrive unevenly and routers that have just joined.
  double usage = 0.8;

  bool operator==(const send_budget_settings&) const = default;
};

class send_budget {
 public:
  explicit send_budget(send_budget_settings settings) : settings_(settings) {}

  void SetRouters(std::uint32_t count) { routers_ = count == 0 ? 1 : count; }
  void NoteRequest(time_point now);

  // True, and the send is counted, if the budget allows one more extra send.
  bool AllowSend(time_point now);

  // Counts an extra send that happened without a choice, such as a first send that was rejected.
  void NoteSend(time_point now);

  double Available(time_point now);

 private:
  void Expire(time_point now);

  send_budget_settings settings_;
  std::uint32_t routers_ = 1;
  std::deque<time_point> requests_;
  std::deque<time_point> sends_;
};

}  // namespace persimmon
