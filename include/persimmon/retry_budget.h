// Limits the retries of one router to a fraction of its first attempts, so that retries do not overload a failing pool.
//
// Routers do not share this budget; send_budget.h has one that all routers share per service.
#pragma once

#include "persimmon/types.h"

namespace persimmon {

struct retry_settings {
  double retry_ratio = 0.1;             // retries per first attempt
  double min_retries_per_second = 0.5;  // always allowed, so that a router with few requests can retry
  double max_saved_retries = 20;        // retries that can accumulate

  bool operator==(const retry_settings&) const = default;
};

// In any period: retries <= max_saved_retries + retry_ratio * first attempts + min_retries_per_second * seconds.
class retry_budget {
 public:
  // The budget starts with one retry.
  retry_budget(retry_settings settings, time_point now) : settings_(settings), updated_(now) {}

  void RecordFirstAttempt(time_point now);

  // Returns true and counts the retry if the budget allows one more.
  bool AllowRetry(time_point now);

  double Available(time_point now) const;

 private:
  retry_settings settings_;
  double available_ = 1;
  time_point updated_;
};

}  // namespace persimmon
