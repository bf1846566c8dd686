#include "persimmon/membership.h"

#include <algorithm>

namespace persimmon {

const char* EligibilityName(work_eligibility eligibility) {
  switch (eligibility) {
    case work_eligibility::kCanReceive:
      return "can_receive";
    case work_eligibility::kUnknown:
      return "unknown";
    case work_eligibility::kSilent:
      return "silent";
    case work_eligibility::kLeaving:
      return "leaving";
    case work_eligibility::kGone:
      return "gone";
  }
  return "unknown";
}

heartbeat_verdict membership_table::RecordHeartbeat(const std::string& name, incarnation_number incarnation,
                                                    bool leaving, time_point now) {
  member& entry = members_[name];
  if (incarnation < entry.incarnation) {
    return heartbeat_verdict::kOldIncarnation;
  }
  const bool is_new = incarnation > entry.incarnation;
  const bool is_first = entry.incarnation == 0;
  if (entry.state == vm_state::kGone && (!is_new || is_first)) {
    return heartbeat_verdict::kGone;
  }
  if (is_new) {
    entry.incarnation = incarnation;
    entry.leaving = false;
    entry.state = entry.state == vm_state::kGone ? vm_state::kLive : entry.state;
  }
  entry.leaving = entry.leaving || leaving;
  entry.has_heartbeat = true;
  entry.last_heartbeat = std::max(entry.last_heartbeat, now);
  entry.last_activity = std::max(entry.last_activity, now);
  if (!is_new) {
    return heartbeat_verdict::kKnown;
  }
  return is_first ? heartbeat_verdict::kNewMember : heartbeat_verdict::kNewIncarnation;
}

void membership_table::RecordChannelClosed(const std::string& name, incarnation_number incarnation) {
  const auto found = members_.find(name);
  if (found != members_.end() && found->second.incarnation == incarnation) {
    found->second.has_heartbeat = false;
  }
}

void membership_table::ApplyListedState(member& target, vm_state listed) {
  switch (listed) {
    case vm_state::kGone:
      target.state = vm_state::kGone;
      target.has_heartbeat = false;
      break;
    case vm_state::kLeaving:
      target.state = target.state == vm_state::kGone ? vm_state::kGone : vm_state::kLeaving;
      break;
    case vm_state::kLive:
      // A member that was gone before its first heartbeat may be a new process that was not in the list yet.
      if (target.state == vm_state::kLeaving || target.incarnation == 0) {
        target.state = vm_state::kLive;
      }
      break;
  }
}

std::vector<member_change> membership_table::ApplyVmList(std::span<const vm_entry> list, time_point now) {
  std::vector<member_change> changes;
  for (const vm_entry& listed : list) {
    const auto found = members_.find(listed.name);
    if (found == members_.end() && listed.state == vm_state::kLive) {
      continue;
    }
    member& entry = found == members_.end() ? members_[listed.name] : found->second;
    // Only changes in the list matter: a repeated "gone" refers to the older incarnation.
    if (entry.listed == listed.state) {
      continue;
    }
    const vm_state before = entry.state;
    entry.listed = listed.state;
    ApplyListedState(entry, listed.state);
    if (entry.state != before) {
      entry.last_activity = std::max(entry.last_activity, now);
      changes.push_back({listed.name, entry.state});
    }
  }
  return changes;
}

work_eligibility membership_table::CheckEligibility(const std::string& name, time_point now) const {
  const auto found = members_.find(name);
  if (found == members_.end()) {
    return work_eligibility::kUnknown;
  }
  const member& entry = found->second;
  if (entry.state == vm_state::kGone) {
    return work_eligibility::kGone;
  }
  if (entry.incarnation == 0) {
    return work_eligibility::kUnknown;
  }
  if (entry.leaving || entry.state == vm_state::kLeaving) {
    return work_eligibility::kLeaving;
  }
  if (!entry.has_heartbeat || now - entry.last_heartbeat > settings_.heartbeat_timeout) {
    return work_eligibility::kSilent;
  }
  return work_eligibility::kCanReceive;
}

std::optional<incarnation_number> membership_table::CurrentIncarnation(const std::string& name) const {
  const auto found = members_.find(name);
  const bool is_known = found != members_.end() && found->second.incarnation != 0;
  return is_known ? std::optional(found->second.incarnation) : std::nullopt;
}

std::optional<time_point> membership_table::HeartbeatDeadline(const std::string& name) const {
  const auto found = members_.find(name);
  const bool is_heard = found != members_.end() && found->second.has_heartbeat;
  return is_heard ? std::optional(found->second.last_heartbeat + settings_.heartbeat_timeout) : std::nullopt;
}

void membership_table::ExpireMembers(time_point now) {
  std::erase_if(members_, [&](const auto& item) {
    return item.second.state == vm_state::kGone && now - item.second.last_activity > settings_.gone_retention;
  });
}

}  // namespace persimmon
