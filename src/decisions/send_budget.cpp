#include "persimmon/send_budget.h"

#include <algorithm>

namespace persimmon {

void send_budget::Expire(time_point now) {
  const time_point oldest = now - settings_.window;
  while (!requests_.empty() && requests_.front() < oldest) {
    requests_.pop_front();
  }
  while (!sends_.empty() && sends_.front() < oldest) {
    sends_.pop_front();
  }
}

void send_budget::RecordRequest(time_point now) {
  Expire(now);
  requests_.push_back(now);
}

double send_budget::Available(time_point now) {
  Expire(now);
  const bool has_slack = routers_ > 0 && now >= slack_from_;
  const double slack = has_slack ? settings_.slack / routers_ : 0;
  const double total = settings_.ratio * static_cast<double>(requests_.size()) + slack;
  return settings_.utilization * total - static_cast<double>(sends_.size() + provisional_);
}

send_budget::provisional_check send_budget::CheckProvisional(time_point now) {
  if (Available(now) >= 1 || (sends_.empty() && provisional_ == 0)) {
    return provisional_check::kAllowed;
  }
  return provisional_ > 0 ? provisional_check::kWaits : provisional_check::kSpent;
}

bool send_budget::AllowSends(std::size_t count, time_point now) {
  if (count > 0 && Available(now) < static_cast<double>(count)) {
    return false;
  }
  sends_.insert(sends_.end(), count, now);
  return true;
}

void send_budget::ReturnSends(std::size_t count) {
  sends_.erase(sends_.end() - static_cast<std::ptrdiff_t>(std::min(count, sends_.size())), sends_.end());
}

void send_budget::RecordSend(time_point now) {
  Expire(now);
  sends_.push_back(now);
}

}  // namespace persimmon
