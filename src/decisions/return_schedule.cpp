#include "persimmon/return_schedule.h"

#include <algorithm>

namespace persimmon {
namespace {

// A lower rate does not spread callers any further.
constexpr double kMinStartsPerSecond = 0.2;

microseconds Seconds(double seconds) { return microseconds(static_cast<std::int64_t>(seconds * 1e6)); }

}  // namespace

milliseconds return_schedule::Assign(const return_terms& terms, time_point now) {
  const auto limit = Seconds(static_cast<double>(terms.time_left.count()) / 1e3 * settings_.max_share_of_time_left);
  const auto shortest = std::min<microseconds>(settings_.shortest, limit);
  // Callers that cannot wait for their place are spread over the second half of the time that they have.
  const auto spread = [&](microseconds from, microseconds to) {
    const double share = terms.draw * static_cast<double>((to - from).count());
    return std::chrono::duration_cast<milliseconds>(from + microseconds(static_cast<std::int64_t>(share)));
  };
  if (!terms.starts_per_s) {
    return spread(shortest, std::min<microseconds>(2 * settings_.shortest, limit));
  }
  const double rate = std::max(kMinStartsPerSecond, *terms.starts_per_s);
  const time_point after_backlog = now + std::max(shortest, Seconds(terms.backlog / rate));
  const time_point place = std::max(next_, after_backlog);
  if (place - now > limit) {
    return spread(std::max(shortest, limit / 2), limit);
  }
  next_ = place + Seconds(1 / rate);
  return std::chrono::duration_cast<milliseconds>(place - now);
}

}  // namespace persimmon
