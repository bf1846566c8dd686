#include "persimmon/stage_plan.h"

#include <algorithm>
#include <cmath>

namespace persimmon {

std::vector<stage_change> stage_planner::Plan(std::span<const engine_stage_view> engines, double wanted_prefill,
                                              time_point now) {
  std::map<endpoint_name, std::uint64_t> present;
  for (const engine_stage_view& engine : engines) {
    present[engine.name] = engine.started_ms;
  }
  if (present != start_times_) {
    start_times_ = std::move(present);
    unchanged_since_ = now;
  }
  std::erase_if(pending_,
                [&](const auto& item) { return now >= item.second.until || !start_times_.contains(item.first); });
  const bool is_settled = now - unchanged_since_ >= settings_.settle;
  const bool is_paused = last_round_ && now - *last_round_ < settings_.round_pause;
  if (engines.size() < 2) {
    return {};
  }

  std::uint32_t prefill = 0;
  std::map<zone_name, std::map<endpoint_role, std::uint32_t>> zones;
  std::vector<const engine_stage_view*> changeable;
  for (const engine_stage_view& engine : engines) {
    const auto ordered = pending_.find(engine.name);
    const endpoint_role role = ordered == pending_.end() ? engine.role : ordered->second.role;
    prefill += role == endpoint_role::kPrefill ? 1 : 0;
    ++zones[engine.zone][role];
    if (ordered == pending_.end()) {
      changeable.push_back(&engine);
    }
  }
  if (prefill > 0 && (!is_settled || is_paused)) {
    return {};
  }
  const std::uint32_t target = static_cast<std::uint32_t>(std::max(1.0, std::round(wanted_prefill)));
  const double excess = prefill - wanted_prefill;
  const bool is_within_tolerance = excess <= settings_.tolerated_excess && -excess <= settings_.tolerated_lack;
  const bool has_tolerance = first_round_done_ || !settings_.first_start;
  if (prefill == target || (prefill > 0 && has_tolerance && is_within_tolerance)) {
    first_round_done_ = true;
    return {};
  }
  const endpoint_role from = prefill > target ? endpoint_role::kPrefill : endpoint_role::kDecode;
  const endpoint_role to = from == endpoint_role::kPrefill ? endpoint_role::kDecode : endpoint_role::kPrefill;
  std::uint32_t remaining_changes = prefill > target ? prefill - target : target - prefill;
  std::vector<stage_change> changes;
  while (remaining_changes > 0) {
    const auto is_preferred = [&](const engine_stage_view* left, const engine_stage_view* right) {
      const std::uint32_t left_count = zones[left->zone][from];
      const std::uint32_t right_count = zones[right->zone][from];
      return left_count != right_count ? left_count > right_count : left->load < right->load;
    };
    const engine_stage_view* best = nullptr;
    for (const engine_stage_view* engine : changeable) {
      if (engine->role == from && (best == nullptr || is_preferred(engine, best))) {
        best = engine;
      }
    }
    if (best == nullptr) {
      break;
    }
    --zones[best->zone][from];
    ++zones[best->zone][to];
    std::erase(changeable, best);
    changes.push_back({best->name, to});
    --remaining_changes;
  }
  return changes;
}

void stage_planner::RecordOrder(const stage_change& change, time_point now) {
  pending_[change.engine] = {change.role, now + settings_.order_timeout};
}

std::uint64_t MakeFencingToken(std::uint64_t era, std::uint64_t version) { return FirstNumberOfEra(era) + version; }

lease_step lease_watch::RecordRow(const lease_row& row, const std::string& self, time_point now) {
  if (seen_ && seen_->era != row.era) {
    wait_until_ = now + 2 * lease_time_;
  }
  if (seen_ != row) {
    seen_ = row;
    seen_since_ = now;
  }
  if (wait_until_ && now < *wait_until_) {
    return lease_step::kWait;
  }
  if (row.version == 0) {
    return lease_step::kCreate;
  }
  if (row.holder == self) {
    return lease_step::kRenew;
  }
  return now - seen_since_ >= 2 * lease_time_ ? lease_step::kTakeOver : lease_step::kWait;
}

}  // namespace persimmon
