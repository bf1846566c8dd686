// The queue of model requests that wait for engines: which goes next, which makes room for others, which is given up.
//
// Sections
//   1. values
//   2. queue
//
// It answers a load beyond the engines: bursts of several kinds at once, callers that come back, several routers before
// the same engines. Served in order of arrival, every request would then be late. Here those that can still meet their
// target go first, and the others wait behind them for as long as their callers do.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "persimmon/kv_placement.h"
#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. values
// ---------------------------------------------------------------------------------------------------------------------

struct placement_request {
  request_id request;
  time_point latest_start;          // that meets the target; the request is late afterwards
  time_point give_up;               // a late one is refused then, shortly before its caller leaves
  std::uint32_t prompt_tokens = 0;  // to read
  std::uint32_t tokens = 0;         // of memory to reserve, prompt and answer
  bool is_resumed = false;          // its caller has a part of the answer

  bool operator==(const placement_request&) const = default;
};

// What the queue does next.
struct placement_step {
  std::optional<placement_request> placed;   // taken out of the queue; absent: nothing can be placed now
  engine_choice engines;                     // of the placed request
  wait_reason blocked = wait_reason::kNone;  // why the head of the queue waits

  bool operator==(const placement_step&) const = default;
};

struct placement_queue_settings {
  std::size_t request_limit = 2'000;       // waiting requests; further ones are refused at once
  std::size_t late_limit = 200;            // of these, late ones
  std::uint32_t own_prompt_limit = 2'400;  // a prompt up to this may be read by a decode engine

  bool operator==(const placement_queue_settings&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. queue
// ---------------------------------------------------------------------------------------------------------------------

// Of one service at one router.
class placement_queue {
 public:
  using engine_chooser = std::function<engine_choice(const placement_request&)>;

  explicit placement_queue(placement_queue_settings settings = {}) : settings_(settings) {}

  // False if the request has to be refused at once: it is late and would be given up now, or the queue is full.
  bool Add(const placement_request& request, time_point now);

  // Puts a placed request back whose reservation was refused. It keeps its place and is never refused for a limit.
  void PutBack(const placement_request& request, time_point now);

  // False if the request does not wait.
  bool Remove(const request_id& request);

  // Requests that are given up now. Those that have just become late are put behind the others.
  std::vector<placement_request> TakeGivenUp(time_point now);

  // Takes the next request that `choose` finds engines for. Only the most urgent one is tried, because smaller ones
  // would keep passing a long one; but while it waits for a prefill engine, a short prompt may go to a decode engine,
  // which takes nothing from it. With `peers_wait`, requests of other routers that can be in time wait too; late
  // requests leave them the room, unless they are resumed.
  placement_step TakeNext(const engine_chooser& choose, bool peers_wait);

  std::size_t InTimeCount() const { return in_time_.size(); }
  std::size_t Size() const { return in_time_.size() + late_.size(); }

 private:
  struct order_key {
    time_point time;             // latest start, or the time of giving up of a late request
    std::uint64_t sequence = 0;  // first come, first served among equals

    auto operator<=>(const order_key&) const = default;
  };
  using request_map = std::map<order_key, placement_request>;

  void Insert(const placement_request& request, time_point now);
  const placement_request* FindNext(bool peers_wait, bool only_short) const;

  placement_queue_settings settings_;
  request_map in_time_;
  request_map late_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace persimmon
