// When and to which engines orders to change their stage are given, and when the right to give them may be taken over.
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
  milliseconds settle = milliseconds(1'500);  // the set of engines must be unchanged this long
  // An order without an answer may be carried out this much later; until then the engine gets no other order.
  milliseconds late_order = milliseconds(13'000);
  milliseconds round_pause = milliseconds(8'000);  // between two rounds, so that the effect of the first is seen
  // An engine is away for seconds while it changes, so a small excess of prefill engines is left as it is, and a small
  // lack as well.
  double tolerated_excess = 1.25;
  double tolerated_lack = 0.75;
  bool first_start = false;  // of the whole system: no traffic is disturbed, and the first round tolerates nothing

  bool operator==(const stage_settings&) const = default;
};

struct staged_engine {
  endpoint_name name;
  zone_name zone;
  std::uint64_t started_ms = 0;  // of its incarnation
  endpoint_role role = endpoint_role::kDecode;
  std::uint32_t load = 0;  // tokens in progress

  bool operator==(const staged_engine&) const = default;
};

struct stage_change {
  endpoint_name engine;
  endpoint_role role = endpoint_role::kDecode;  // the wanted one

  bool operator==(const stage_change&) const = default;
};

// Of one service.
class stage_planner {
 public:
  explicit stage_planner(stage_settings settings) : settings_(settings) {}

  // Engines that should change so that about `wanted_prefill` of them prefill. Empty while the set of engines changes,
  // right after a round, and while orders are pending; but a service without any prefill engine does not wait. The
  // least loaded engines of the fullest zone change first.
  std::vector<stage_change> Plan(std::span<const staged_engine> engines, double wanted_prefill, time_point now);

  // A round of orders begins.
  void NoteRound(time_point now) {
    last_round_ = now;
    was_balanced_ = true;
  }

  // An order was sent; it counts as carried out until the engine's entry shows its effect or the time for late orders
  // is over.
  void NoteOrder(const stage_change& change, time_point now);

 private:
  struct pending_order {
    endpoint_role role = endpoint_role::kDecode;
    time_point until;
  };

  stage_settings settings_;
  std::map<endpoint_name, std::uint64_t> known_;  // incarnations
  time_point known_since_;
  std::optional<time_point> last_round_;
  bool was_balanced_ = false;  // a round has been given, or none was needed
  std::map<endpoint_name, pending_order> pending_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. lease
// ---------------------------------------------------------------------------------------------------------------------

enum class lease_step : std::uint8_t {
  kCreate,    // write the row if it is absent
  kRenew,     // this router holds it: write it again at the seen version
  kTakeOver,  // its holder has been silent long enough: write it at the seen version
  kWait,      // another router holds it
};

// What one router has seen of the row that names the holder.
class lease_watch {
 public:
  explicit lease_watch(milliseconds lease_time) : lease_time_(lease_time) {}

  // The row as read now; version 0: absent.
  lease_step NoteRow(std::uint64_t version, const std::string& holder, const std::string& self, time_point now);

  std::uint64_t SeenVersion() const { return version_; }

 private:
  milliseconds lease_time_;
  std::uint64_t version_ = 0;
  time_point seen_since_;
};

}  // namespace persimmon
