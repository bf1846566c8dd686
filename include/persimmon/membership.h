// Which processes can receive work, and which are gone for good.
//
// Sections
//   1. settings and values
//   2. table
//
// The heartbeat decides who gets work, because it is fresh. The VM list lags; it decides only who is leaving or gone. A
// member that the list calls gone is heard again only with a newer incarnation.
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
  milliseconds silence = milliseconds(1'000);           // without a heartbeat for this long: no new work
  milliseconds gone_retention = milliseconds(600'000);  // how long gone members are remembered after the last sign

  bool operator==(const membership_settings&) const = default;
};

enum class vm_state : std::uint8_t { kLive, kLeaving, kGone };

struct vm_entry {
  std::string name;
  vm_state state = vm_state::kLive;

  bool operator==(const vm_entry&) const = default;
};

enum class heartbeat_verdict : std::uint8_t {
  kKnown,           // the incarnation in force
  kNewMember,       // first heartbeat
  kNewIncarnation,  // the process has restarted; everything of the older incarnation is void
  kOldIncarnation,  // ignored
  kGone,            // ignored: declared gone, and the incarnation is not newer
};

enum class work_verdict : std::uint8_t { kCanReceive, kUnknown, kSilent, kLeaving, kGone };

// "can_receive", "unknown", "silent", "leaving" or "gone".
const char* WorkName(work_verdict verdict);

struct member_change {
  std::string name;
  vm_state state = vm_state::kLive;  // new state by the VM list

  bool operator==(const member_change&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. table
// ---------------------------------------------------------------------------------------------------------------------

class membership_table {
 public:
  explicit membership_table(membership_settings settings) : settings_(settings) {}

  // A leaving member stays leaving for the rest of its incarnation, even if a late heartbeat says otherwise.
  heartbeat_verdict NoteHeartbeat(const std::string& name, incarnation_number incarnation, bool leaving,
                                  time_point now);

  // The channel to the member was closed: no work until the next heartbeat.
  void NoteClosed(const std::string& name, incarnation_number incarnation);

  // Applies a VM list and returns the members whose state changed. Members that the list does not name keep their
  // state: an empty or short list is no proof that a VM is gone.
  std::vector<member_change> ApplyVmList(std::span<const vm_entry> list, time_point now);

  work_verdict CheckWork(const std::string& name, time_point now) const;
  bool CanReceiveWork(const std::string& name, time_point now) const {
    return CheckWork(name, now) == work_verdict::kCanReceive;
  }

  std::optional<incarnation_number> CurrentIncarnation(const std::string& name) const;

  // When a member that can receive work falls silent unless another heartbeat arrives.
  std::optional<time_point> SilentAt(const std::string& name) const;

  // Forgets gone members after the retention time.
  void ExpireMembers(time_point now);
  std::size_t MemberCount() const { return members_.size(); }

 private:
  struct member {
    incarnation_number incarnation = 0;  // 0: never heard
    bool heard = false;                  // a heartbeat of this incarnation has arrived on the present channel
    bool leaving = false;                // by its own heartbeat
    vm_state state = vm_state::kLive;    // in force
    vm_state listed = vm_state::kLive;   // by the last VM list that named it
    time_point last_heard;
    time_point last_sign;  // heartbeat or change of state
  };
  static void ApplyState(member& target, vm_state listed);

  membership_settings settings_;
  std::map<std::string, member> members_;
};

}  // namespace persimmon
