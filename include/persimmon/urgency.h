// How urgent a request is compared with others of its service, and the number by which engines know that.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>

namespace persimmon {

// Lower values are more urgent; 0 is the most urgent priority.
struct urgency_level {
  std::uint32_t priority = 0;        // of the account; if it has none, of the route
  std::uint32_t route_priority = 0;  // decides between equal priorities

  auto operator<=>(const urgency_level&) const = default;
};

inline constexpr std::uint32_t kLeastUrgentNumber = 9;

// The number from 0 (first) to 9 by which engines order requests and choose which to preempt. The levels of the service
// are spread evenly, so that requests without a number, which count as 5, stay between the most and the least urgent.
// Beyond ten levels, neighbours share a number. Nothing if the service has one level or does not have this one.
std::optional<std::uint32_t> EnginePriority(const std::set<urgency_level>& levels, const urgency_level& level);

}  // namespace persimmon
