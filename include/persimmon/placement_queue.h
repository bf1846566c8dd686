// The queue of model requests that wait for engines: which request is placed next, which lets others go first,
// which is refused.
//
// Sections
//   1. values
//   2. queue
//
// It is designed for overload: simultaneous bursts of different kinds, retrying callers, and several routers that share
// the engines. If requests were served in order of arrival, every one would then be late. Therefore the requests that
// can still meet their target go first, and late ones wait behind them until shortly before their callers are expected
// to disconnect.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "persimmon/kv_placement.h"
#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. values
// ---------------------------------------------------------------------------------------------------------------------

struct placement_request {
  request_id request;
  time_point latest_start;  // that meets the first-token target; afterwards the request is late
  time_point expiry;        // a late request is refused then, shortly before its caller is expected to disconnect
  stream_memory memory;     // holds the prompt, which is to be prefilled; the remaining tokens are the output
  bool is_resumed = false;  // its caller has received part of the response
  // Requests of one group can use only the same part of the engines; 0: all engines.
  std::uint64_t engine_group = 0;

  bool operator==(const placement_request&) const = default;
};

// Result of TakeNext.
struct placement_step {
  std::optional<placement_request> placed;   // removed from the queue; absent: nothing can be placed now
  engine_choice engines;                     // of the placed request
  wait_reason blocked = wait_reason::kNone;  // why the head of the queue waits
  std::uint64_t blocked_group = 0;           // its engine group

  bool operator==(const placement_step&) const = default;
};

struct placement_queue_settings {
  std::size_t request_limit = 2'000;  // waiting requests; further ones are refused at once
  std::size_t late_limit = 200;       // waiting requests that are late
  // Longest prompt that a decode engine prefills while all prefill engines are busy.
  std::uint32_t local_prefill_limit = 2'400;

  bool operator==(const placement_queue_settings&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. queue
// ---------------------------------------------------------------------------------------------------------------------

// The queue of one service on one router.
class placement_queue {
 public:
  using engine_chooser = std::function<engine_choice(const placement_request&)>;

  explicit placement_queue(placement_queue_settings settings = {}) : settings_(settings) {}

  // False if the request must be refused: it is late and has expired, or a limit is reached.
  bool Add(const placement_request& request, time_point now);

  // Returns a placed request to the queue after its reservation was refused, ordered as before. Limits do not apply.
  void Requeue(const placement_request& request, time_point now);

  // False if the request is not in the queue.
  bool Remove(const request_id& request);

  // Removes and returns the requests to refuse now. Moves those that have become late behind the others.
  std::vector<placement_request> TakeExpired(time_point now);

  // Removes and returns the next request for which `choose` finds engines. Only the most urgent one is tried, because
  // small requests would otherwise starve a large one. But while it waits for a prefill engine, a short prompt may be
  // prefilled by a decode engine, which does not delay it. `peers_have_in_time_requests` means that requests that can
  // still meet their target are waiting on other routers; late requests then let them go first, unless they are
  // resumed. A request that can use only a part of the engines does not hold back those that can use others.
  placement_step TakeNext(const engine_chooser& choose, bool peers_have_in_time_requests);

  std::size_t InTimeCount() const { return in_time_.size(); }
  std::size_t Size() const { return in_time_.size() + late_.size(); }

 private:
  struct order_key {
    time_point time;             // latest start; of a late request: expiry
    std::uint64_t sequence = 0;  // FIFO among equal times

    auto operator<=>(const order_key&) const = default;
  };
  using request_map = std::map<order_key, placement_request>;

  void Insert(const placement_request& request, time_point now);
  const placement_request* FindNext(bool peers_have_in_time_requests, bool short_prompts_only,
                                    const std::set<std::uint64_t>& skipped_groups) const;
  placement_step TryNext(const engine_chooser& choose, bool peers_have_in_time_requests,
                         const std::set<std::uint64_t>& skipped_groups);

  placement_queue_settings settings_;
  request_map in_time_;
  request_map late_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace persimmon
