// Plans role changes: which engines are ordered to change their stage, and when. Tracks the lease whose holder
// may order stage changes.
//
// Sections
//   1. planner
//   2. lease
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "persimmon/kv_placement.h"
#include "persimmon/records.h"
#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. planner
// ---------------------------------------------------------------------------------------------------------------------

struct stage_settings {
  milliseconds settle = milliseconds(1'500);  // how long the set of engines must be unchanged before a plan is made
  // How long an unconfirmed order may still take effect; until then the engine gets no other order.
  milliseconds order_timeout = milliseconds(13'000);
  // Time between two rounds, so that the effect of the first is visible. A round is the orders of one plan.
  milliseconds round_pause = milliseconds(8'000);
  // An engine is unavailable for seconds while it changes its role, so a small excess or lack of prefill engines is not
  // corrected. Both limits are differences between the actual and the wanted number of prefill engines.
  double tolerated_excess = 1.25;
  double tolerated_lack = 0.75;
  // Set at the first start of the whole system: there is no traffic to disturb, so the first round has no tolerance.
  bool first_start = false;

  bool operator==(const stage_settings&) const = default;
};

struct engine_stage_view {
  endpoint_name name;
  zone_name zone;
  std::uint64_t started_ms = 0;  // start time of the engine process
  endpoint_role role = endpoint_role::kDecode;
  std::uint32_t load = 0;  // tokens in progress

  bool operator==(const engine_stage_view&) const = default;
};

struct stage_change {
  endpoint_name engine;
  endpoint_role role = endpoint_role::kDecode;  // role to change to

  bool operator==(const stage_change&) const = default;
};

// Plans the role changes of one service.
class stage_planner {
 public:
  explicit stage_planner(stage_settings settings) : settings_(settings) {}

  // Returns the role changes after which about `wanted_prefill` engines run prefill. Empty while the set of engines
  // changes and right after a round; these delays do not apply without a prefill engine. An engine with a pending order
  // counts as having its new role and is not changed. Engines are taken first from the zone with the most engines in
  // the old role, least loaded first.
  std::vector<stage_change> Plan(std::span<const engine_stage_view> engines, double wanted_prefill, time_point now);

  // Records the start of a round of orders.
  void RecordRound(time_point now) {
    last_round_ = now;
    first_round_done_ = true;
  }

  // Records that an order was sent. Until it times out, the engine counts as having the new role; afterwards the role
  // in its entry counts.
  void RecordOrder(const stage_change& change, time_point now);

 private:
  struct pending_order {
    endpoint_role role = endpoint_role::kDecode;
    time_point until;
  };

  stage_settings settings_;
  std::map<endpoint_name, std::uint64_t> start_times_;  // of the engine processes
  time_point unchanged_since_;
  std::optional<time_point> last_round_;
  bool first_round_done_ = false;  // a round was started, or none was needed
  std::map<endpoint_name, pending_order> pending_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. lease
// ---------------------------------------------------------------------------------------------------------------------

enum class lease_step : std::uint8_t {
  kCreate,    // write the row if it is absent
  kRenew,     // this router holds the lease: write the row again at the seen version
  kTakeOver,  // the holder has not renewed it in time: write the row at the seen version
  kWait,      // another router holds the lease
};

// The row of a lease. Versions can be compared only within one era of the store.
struct lease_row {
  std::uint64_t era = 0;
  std::uint64_t version = 0;  // 0: absent
  std::string holder;

  bool operator==(const lease_row&) const = default;
};

// Fencing token of the holder that has written this version of the row. It rises with every holder, also over the eras
// of the store, in which versions are given out again.
std::uint64_t MakeFencingToken(std::uint64_t era, std::uint64_t version);

// Tracks the row that names the lease holder, as read by one router.
class lease_watch {
 public:
  explicit lease_watch(milliseconds lease_time) : lease_time_(lease_time) {}

  // Records the row as read now (version 0: absent) and returns the next step. In a new era of the store, which may
  // have lost the row of the present holder, every router waits until the lease of that holder has certainly ended.
  lease_step RecordRow(const lease_row& row, const std::string& self, time_point now);

 private:
  milliseconds lease_time_;
  std::optional<lease_row> seen_;
  time_point seen_since_;
  std::optional<time_point> wait_until_;  // set by a new era
};

}  // namespace persimmon
