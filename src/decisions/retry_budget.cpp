#include "persimmon/retry_budget.h"

#include <algorithm>

namespace persimmon {

double retry_budget::Available(time_point now) const {
  const double elapsed_s = std::max(0.0, std::chrono::duration<double>(now - updated_).count());
  return std::min(settings_.max_saved_retries, available_ + settings_.min_retries_per_second * elapsed_s);
}

void retry_budget::RecordFirstAttempt(time_point now) {
  available_ = std::min(settings_.max_saved_retries, Available(now) + settings_.retry_ratio);
  updated_ = std::max(updated_, now);
}

bool retry_budget::AllowRetry(time_point now) {
  available_ = Available(now);
  updated_ = std::max(updated_, now);
  if (available_ < 1) {
    return false;
  }
  available_ -= 1;
  return true;
}

}  // namespace persimmon
