// The queue of model requests that wait for engines: which request is placed next, which lets others go first,
// which is refused.
//
// Sections
//   1. values
//   2. shares of levels and accounts
//   3. queue
//   4. room for urgent requests
//
// It is designed for overload: simultaneous bursts of different kinds, retrying callers, and several routers that share
// the engines. If requests were served in order of arrival, every one would then be late. Therefore the requests that
// can still meet their target go first, and late ones wait behind them until shortly before their callers are expected
// to disconnect.
//
// Requests of different urgency: among those in time, the more urgent ones go first. A level or an account that is
// served far less often than all requests gets a bounded share of the starts before them, so that none starves. Without
// different levels and accounts, the order is by latest start alone.
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
#include "persimmon/urgency.h"

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
  urgency_level urgency;
  account_name account;   // empty: none
  bool is_retry = false;  // of a caller that was refused before; goes before other late requests
  // Set in the result of TakeNext.
  bool has_blocked_start = false;  // it was placed while requests waited in vain
  bool has_starved_start = false;  // it went first because its level or account was starved

  bool operator==(const placement_request&) const = default;
};

// Result of TakeNext.
struct placement_step {
  std::optional<placement_request> placed;   // is now being reserved; absent: nothing can be placed now
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
  // Time over which it is measured how often levels and accounts are served: long enough for some ten requests of a
  // router, and short against the time between bursts.
  milliseconds share_window = milliseconds(10'000);
  // A level or account goes first while it is served less often than this fraction of all requests. Callers need a
  // quarter; the rest is for the delay until requests are counted as refused.
  double starved_share = 0.5;
  // Time over which the use by urgent requests is measured. A router of 24 gets one of them every few seconds.
  milliseconds use_window = milliseconds(30'000);
  double max_starved_starts = 0.25;  // largest fraction of the started tokens that goes first for that reason

  bool operator==(const placement_queue_settings&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. shares of levels and accounts
// ---------------------------------------------------------------------------------------------------------------------

// Sum of amounts in which older ones lose weight exponentially.
class decaying_sum {
 public:
  void Add(double amount, time_point now, milliseconds window);
  double At(time_point now, milliseconds window) const;

 private:
  double sum_ = 0;
  time_point updated_;
};

// Tokens of the requests that were started and that were refused, in a sliding window.
struct service_share {
  decaying_sum started;
  decaying_sum refused;
};

// Use of the engines by requests that are more urgent than a level, per second, and the mean size of such a request.
struct urgent_use {
  double requests_per_s = 0;
  double prompt_tokens_per_s = 0;
  double memory_tokens_per_s = 0;  // prompts and expected outputs

  bool operator==(const urgent_use&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. queue
// ---------------------------------------------------------------------------------------------------------------------

// The queue of one service on one router. A placed request is being reserved until Start, Requeue or Remove is called:
// its engine may refuse it, so it still stands before those behind it, and it has not been started.
class placement_queue {
 public:
  using engine_chooser = std::function<engine_choice(const placement_request&)>;

  explicit placement_queue(placement_queue_settings settings = {}) : settings_(settings) {}

  // False if the request must be refused: it is late and has expired, or a limit is reached.
  bool Add(const placement_request& request, time_point now);

  // Counts a request that is being reserved as started: its engine has accepted it.
  void Start(const request_id& request, time_point now);

  // Returns a request that is being reserved to the queue after its reservation was refused, ordered as before. Limits
  // do not apply.
  void Requeue(const request_id& request, time_point now);

  // False if the request is neither in the queue nor being reserved.
  bool Remove(const request_id& request);

  // Removes and returns the queued requests to refuse now. Moves those that have become late behind the others.
  std::vector<placement_request> TakeExpired(time_point now);

  // Returns the next request for which `choose` finds engines; it is being reserved from then on. Only the most urgent
  // one is tried, because small requests would otherwise starve a large one. But while it waits for a prefill engine, a
  // short prompt may be prefilled by a decode engine, which does not delay it. `peers_have_in_time_requests` means that
  // requests that can still meet their target are waiting on other routers; late requests then let them go first,
  // unless they are resumed. A request that can use only a part of the engines does not hold back those that can use
  // others. Late requests of the most urgent of several levels do not let peers go first, because most of those that
  // wait there are less urgent. While the most urgent request of those in time is blocked, late ones that are more
  // urgent are tried, because capacity is reserved for them.
  placement_step TakeNext(const engine_chooser& choose, bool peers_have_in_time_requests);

  // Requests that wait, and those of them that can still meet their target. Requests that are being reserved count as
  // waiting only while others wait in vain: otherwise there is capacity, and they usually start within a round trip.
  std::size_t WaitingCount() const;
  std::size_t InTimeCount() const;

  // Requests that TakeNext can place.
  std::size_t Size() const { return in_time_.size() + late_.size(); }

  // Requests that were started per second while others had to wait; absent until it has been measured for a second.
  std::optional<double> StartsPerSecond(time_point now) const;

  // How long the request would wait, if it were added, for those that go before it here and, if it is late, for those
  // in time at the `routers` - 1 others. Absent if the rate of starts is not known.
  std::optional<microseconds> PredictWait(const placement_request& request, std::size_t peers_in_time,
                                          std::uint32_t routers, time_point now) const;

  // Counts a request that was refused without having been added.
  void CountRefusal(const placement_request& request, time_point now);

  // What requests that are more urgent than `level` have recently started to use.
  urgent_use UseAbove(const urgency_level& level, time_point now) const;

 private:
  struct order_key {
    bool yields_to_retries = false;  // a late request of a caller that has not been refused before
    urgency_level urgency;
    time_point time;             // latest start; of a late request: expiry
    std::uint64_t sequence = 0;  // FIFO among equal times

    auto operator<=>(const order_key&) const = default;
  };
  using request_map = std::map<order_key, placement_request>;

  // A request for which a reservation is in progress.
  struct reserving_request {
    placement_request request;
    std::uint64_t sequence = 0;
    bool has_waited_in_vain = false;
  };

  using request_filter = std::function<bool(const placement_request&)>;

  struct level_use {
    decaying_sum requests;
    decaying_sum prompt_tokens;
    decaying_sum memory_tokens;
  };

  void Advance(time_point now);
  static double Tokens(const placement_request& request);
  bool IsLate(const placement_request& request) const { return request.latest_start < now_; }
  // Key of the request in the part of the queue to which it belongs at that time.
  static order_key KeyOf(const placement_request& request, std::uint64_t sequence, time_point now);
  void Insert(const placement_request& request, std::uint64_t sequence);
  // Moves a request from the queue to those that are being reserved and returns it with the fields that TakeNext sets.
  placement_request BeginReservation(const request_id& request, bool has_starved_start);
  // Removes a request that is being reserved and will not be started. Absent if it is not being reserved.
  std::optional<reserving_request> EndReservation(const request_id& request);
  void UpdateBlocked();
  void RecordStart(const placement_request& request, double sign);
  void RecordRefusal(const placement_request& request);
  service_share& ShareOf(const account_name& account);
  bool IsMostUrgent(const urgency_level& level) const;
  bool IsStarved(const service_share& share) const;
  // The request that goes first because its level or account is starved; null if there is none.
  const placement_request* FindStarved(const std::set<std::uint64_t>& skipped_groups) const;
  const placement_request* FindNext(bool peers_have_in_time_requests, const request_filter& accepts) const;
  placement_step TryNext(const engine_chooser& choose, bool peers_have_in_time_requests,
                         const std::set<std::uint64_t>& skipped_groups);

  placement_queue_settings settings_;
  request_map in_time_;
  request_map late_;
  std::map<request_id, reserving_request> reserving_;
  std::uint64_t next_sequence_ = 0;
  time_point now_;  // of the latest call that states the time
  std::optional<time_point> first_start_;
  // Measures the rate of starts: time in which requests wait in vain, and the requests started during it.
  bool is_blocked_ = false;
  std::uint64_t waited_sequence_ = 0;  // requests with a smaller sequence number have waited in vain
  decaying_sum blocked_seconds_;
  decaying_sum starts_while_blocked_;
  service_share all_;
  decaying_sum started_as_starved_;
  std::map<urgency_level, service_share> levels_;
  std::map<account_name, service_share> accounts_;
  std::map<urgency_level, level_use> uses_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 4. room for urgent requests
// ---------------------------------------------------------------------------------------------------------------------

// Hides from a less urgent request as much decode memory and prefill backlog as the more urgent ones use within `time`,
// so that they find room in a burst. `use` is that of this router; `routers` share the engines. Decode memory is hidden
// in blocks of the mean size of an urgent request, one each on the first engines of the views, because a remainder on
// every engine would hold no request; at most a quarter of the memory and of the backlog. The order of the views is the
// same on all routers.
void ReserveForUrgent(const urgent_use& use, std::uint32_t routers, milliseconds time,
                      std::span<engine_view> decode_engines, std::size_t prefill_engines, placement_settings& settings);

}  // namespace persimmon
