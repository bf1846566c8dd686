#include "persimmon/call_admission.h"

#include <algorithm>

namespace persimmon {

void call_window::RecordResponse(const call_feedback& feedback, std::uint32_t calls, time_point now) {
  if (feedback.is_rejected) {
    Shrink(settings_.reject_factor, now);
    return;
  }
  const bool is_known = feedback.waiting && feedback.slots && *feedback.slots > 0;
  const double waiting_per_slot = is_known ? static_cast<double>(*feedback.waiting) / *feedback.slots : 0;
  if (waiting_per_slot > settings_.shrink_above) {
    Shrink(settings_.shrink_factor, now);
  } else if (waiting_per_slot <= settings_.grow_below && calls + 1 > window_) {
    window_ = std::min(window_ + 1 / window_, settings_.max_window);
  }
}

void call_window::Shrink(double factor, time_point now) {
  if (!shrunk_at_ || now - *shrunk_at_ >= settings_.shrink_pause) {
    window_ = std::max(window_ * factor, 1.0);
    shrunk_at_ = now;
  }
}

void call_rate::RecordEnd(bool others_wait, time_point now) {
  if (has_last_ && others_wait) {
    const auto interval = static_cast<double>(std::chrono::duration_cast<microseconds>(now - last_).count());
    interval_us_ = interval_us_ > 0 ? interval_us_ + (interval - interval_us_) * kSampleShare : interval;
  }
  has_last_ = others_wait;
  last_ = now;
}

microseconds call_rate::PredictWait(std::size_t waiting) const {
  return microseconds(static_cast<std::int64_t>(static_cast<double>(waiting) * interval_us_));
}

}  // namespace persimmon
