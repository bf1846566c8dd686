#include "persimmon/granted_reservations.h"

namespace persimmon {

bool granted_reservations::Add(const endpoint_name& engine, std::uint64_t started_ms, const std::string& reservation,
                               time_point expiry, time_point now) {
  while (!by_expiry_.empty() && (by_expiry_.begin()->first <= now || grants_.size() >= capacity_)) {
    grants_.erase(by_expiry_.begin()->second);
    by_expiry_.erase(by_expiry_.begin());
  }
  grant added(engine, started_ms, reservation);
  if (!grants_.insert(added).second) {
    return false;
  }
  by_expiry_.emplace(expiry, std::move(added));
  return true;
}

}  // namespace persimmon
