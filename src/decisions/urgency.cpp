#include "persimmon/urgency.h"

#include <iterator>

namespace persimmon {

std::optional<std::uint32_t> EnginePriority(const std::set<urgency_level>& levels, const urgency_level& level) {
  const auto found = levels.find(level);
  if (levels.size() < 2 || found == levels.end()) {
    return std::nullopt;
  }
  const auto rank = static_cast<std::size_t>(std::distance(levels.begin(), found));
  return static_cast<std::uint32_t>(rank * kLeastUrgentNumber / (levels.size() - 1));
}

}  // namespace persimmon
