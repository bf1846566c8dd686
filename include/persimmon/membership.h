// Group membership: which processes can receive work, and which are permanently gone.
//
// Sections
//   1. settings and values
//   2. table
//
// Heartbeats determine which members receive work, because they are current. The VM list lags behind and determines
// only which members are leaving or gone. Heartbeats of a gone member are ignored until it has a newer incarnation.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. settings and values
// ---------------------------------------------------------------------------------------------------------------------

struct membership_settings {
  milliseconds heartbeat_timeout = milliseconds(1'000);  // no new work after this time without a heartbeat
  milliseconds gone_retention = milliseconds(600'000);   // how long gone members are kept after their last activity

  bool operator==(const membership_settings&) const = default;
};

enum class vm_state : std::uint8_t { kLive, kLeaving, kGone };

struct vm_entry {
  std::string name;
  vm_state state = vm_state::kLive;

  bool operator==(const vm_entry&) const = default;
};

enum class heartbeat_verdict : std::uint8_t {
  kKnown,           // from the current incarnation
  kNewMember,       // first heartbeat
  kNewIncarnation,  // the process has restarted; all state of the older incarnation is invalid
  kOldIncarnation,  // ignored: sent by an older incarnation
  kGone,            // ignored: the member is gone and the incarnation is not newer
};

enum class work_eligibility : std::uint8_t { kCanReceive, kUnknown, kSilent, kLeaving, kGone };

// "can_receive", "unknown", "silent", "leaving" or "gone".
const char* EligibilityName(work_eligibility eligibility);

struct member_change {
  std::string name;
  vm_state state = vm_state::kLive;  // new state from the VM list

  bool operator==(const member_change&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. table
// ---------------------------------------------------------------------------------------------------------------------

class membership_table {
 public:
  explicit membership_table(membership_settings settings) : settings_(settings) {}

  // Handles a heartbeat. A leaving member stays leaving for its whole incarnation, even if a delayed heartbeat says
  // otherwise.
  heartbeat_verdict RecordHeartbeat(const std::string& name, incarnation_number incarnation, bool leaving,
                                    time_point now);

  // Call when the channel to the member was closed. The member gets no work until its next heartbeat.
  void RecordChannelClosed(const std::string& name, incarnation_number incarnation);

  // Applies a VM list and returns the members whose state changed. Members missing from the list keep their state,
  // because an empty or incomplete list does not prove that a VM is gone.
  std::vector<member_change> ApplyVmList(std::span<const vm_entry> list, time_point now);

  work_eligibility CheckEligibility(const std::string& name, time_point now) const;
  bool CanReceiveWork(const std::string& name, time_point now) const {
    return CheckEligibility(name, now) == work_eligibility::kCanReceive;
  }

  std::optional<incarnation_number> CurrentIncarnation(const std::string& name) const;

  // Time at which the member becomes silent unless another heartbeat arrives; nullopt without a heartbeat on the
  // current channel.
  std::optional<time_point> HeartbeatDeadline(const std::string& name) const;

  // Removes gone members after the retention time.
  void ExpireMembers(time_point now);
  std::size_t MemberCount() const { return members_.size(); }

 private:
  struct member {
    incarnation_number incarnation = 0;  // 0: no heartbeat received yet
    bool has_heartbeat = false;          // this incarnation has sent a heartbeat on the current channel
    bool leaving = false;                // according to its heartbeats
    vm_state state = vm_state::kLive;    // effective state
    vm_state listed = vm_state::kLive;   // in the last VM list that contained it
    time_point last_heartbeat;
    time_point last_activity;  // last heartbeat or change of state
  };
  static void ApplyListedState(member& target, vm_state listed);

  membership_settings settings_;
  std::map<std::string, member> members_;
};

}  // namespace persimmon
