// When refused callers should come back.
//
// It is designed for bursts of 3 to 10 s, after which there is room again. Callers that all come back at the same time
// would make a second burst; those that come back before the backlog is worked off are refused again.
#pragma once

#include <optional>

#include "persimmon/types.h"

namespace persimmon {

struct return_schedule_settings {
  milliseconds shortest{3'000};  // also without a measured rate
  // Callers wait for at most this fraction of the time that they have left, and come back then.
  double max_share_of_time_left = 1.0 / 3;

  bool operator==(const return_schedule_settings&) const = default;
};

// The state of the queue when a caller is refused.
struct return_terms {
  double backlog = 0;                                 // requests that wait
  std::optional<double> starts_per_s = std::nullopt;  // measured while requests wait; absent: not measured yet
  milliseconds time_left{0};                          // of the caller
  double draw = 0;                                    // random, in [0, 1)

  bool operator==(const return_terms&) const = default;
};

// Gives the refused callers of one queue distinct times after the backlog and the callers before them.
class return_schedule {
 public:
  explicit return_schedule(const return_schedule_settings& settings = {}) : settings_(settings) {}

  // Time after which the caller should come back. Reserves its place.
  milliseconds Assign(const return_terms& terms, time_point now);

 private:
  return_schedule_settings settings_;
  time_point next_;  // first time that no refused caller has
};

}  // namespace persimmon
