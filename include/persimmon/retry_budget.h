// Retries as a share of first tries, so that a failing pool is not flooded with them.
#pragma once

#include "persimmon/types.h"

namespace persimmon {

struct retry_settings {
  double share = 0.1;             // retries allowed per first try
  double floor_per_second = 0.5;  // allowed without any first try, so that a quiet router can retry at all
  double most = 20;               // saved up at most

  bool operator==(const retry_settings&) const = default;
};

// Over any period: retries <= most + share * first tries + floor_per_second * seconds.
class retry_budget {
 public:
  // Starts with one retry.
  retry_budget(retry_settings settings, time_point now) : settings_(settings), updated_(now) {}

  void NoteFirstTry(time_point now);

  // True, and the retry is counted, if the budget allows one more.
  bool AllowRetry(time_point now);

  double Available(time_point now) const;

 private:
  retry_settings settings_;
  double available_ = 1;
  time_point updated_;
};

}  // namespace persimmon
