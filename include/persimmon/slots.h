// The slots of one endpoint and their reservations over time. The agent owns the table; routers bid for its slots.
//
// An opening is a slot that has become available for reservation; it is announced to the routers. A bid is a request
// for a slot that is collected for a short time, the bid window, so that the most urgent of several requests is
// granted.
//
// Sections
//   1. settings and requests
//   2. decisions
//   3. table
//
// Prefill: a slot is open while the engine is idle or is predicted to become idle within the lookahead. Bids that
// arrive within the bid window after the opening are collected, and the bid with the earliest latest start wins. A slot
// that has been open for longer is granted to the first bid.
//
// Decode: a slot is granted for a future start if one is predicted to be free from then on, given the remaining tokens
// of the running requests and the measured speed of the engine. After a refusal for lack of slots the table is
// contended: bids are collected for one window, starting with the first bid, and granted in the order of latest start.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. settings and requests
// ---------------------------------------------------------------------------------------------------------------------

enum class slot_kind : std::uint8_t { kPrefill, kDecode };
inline constexpr std::size_t kSlotKinds = 2;

struct slot_settings {
  std::uint32_t prefill_slots = 1;  // an engine computes one prefill at a time
  std::uint32_t decode_slots = 20;
  // Decodes may start early if at least this fraction of the decode slots is free.
  double early_start_free_share = 0.25;
  milliseconds bid_window = milliseconds(4);    // from the opening of a slot to its grant
  milliseconds lookahead = milliseconds(20);    // a prefill slot opens this long before its predicted release
  milliseconds max_lead = milliseconds(5'000);  // decode slots are not reserved further ahead than this
  milliseconds max_hold = milliseconds(2'000);  // upper limit of a requested hold

  bool operator==(const slot_settings&) const = default;
};

// Measured speed of the engine, from which the ends of requests are predicted.
struct engine_speed {
  double prefill_tokens_per_s = 8'000;
  microseconds token_interval = microseconds(30'000);

  bool operator==(const engine_speed&) const = default;
};

// One incarnation of a router.
struct router_identity {
  router_name name;
  incarnation_number incarnation = 0;

  auto operator<=>(const router_identity&) const = default;
};

struct slot_request {
  attempt_id attempt;
  slot_kind kind = slot_kind::kPrefill;
  router_identity router;
  time_point start;  // when the slot is needed; ignored for prefill, which starts as soon as possible
  milliseconds hold = milliseconds(0);  // the unused reservation expires this long after the granted start
  time_point latest_start;              // of the request; bids are ordered by it
  std::uint32_t prompt_tokens = 0;      // to prefill
  std::uint32_t output_tokens = 0;      // predicted or maximum length of the response
  fingerprint_number fingerprint = 0;
  bool suspect = false;  // the request may have crashed an endpoint, see suspects.h

  bool operator==(const slot_request&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. decisions
// ---------------------------------------------------------------------------------------------------------------------

enum class slot_verdict : std::uint8_t {
  kGranted,
  kBusy,            // no slot is predicted to be free at that time
  kLeaving,         // the endpoint takes no new work
  kWrongRole,       // the endpoint does not have the role
  kSuspectRunning,  // a suspect holds a slot already; only one may at a time
  kDuplicate,       // the attempt already has a slot or a bid
};

struct slot_decision {
  slot_request request;
  slot_verdict verdict = slot_verdict::kBusy;
  time_point start;                      // granted: predicted start
  milliseconds retry = milliseconds(0);  // refused: predicted time until a slot opens

  bool operator==(const slot_decision&) const = default;
};

enum class start_verdict : std::uint8_t {
  kStarted,  // the slot is in use now
  kWaiting,  // the slot is not free yet; TakeDueStarts returns the attempt once it is
  kUnknown,  // no reservation: never granted, expired or dropped
};

// A slot that routers may bid for.
struct slot_opening {
  slot_kind kind = slot_kind::kPrefill;
  milliseconds start_in = milliseconds(0);  // predicted time until it is free

  bool operator==(const slot_opening&) const = default;
};

enum class slot_phase : std::uint8_t { kReserved, kWaiting, kRunning };

struct slot_entry {
  slot_request request;
  slot_phase phase = slot_phase::kReserved;
  time_point start;                     // granted start; of a running entry: the actual start
  microseconds lead = microseconds(0);  // of a waiting entry: how long before the granted start it may run
  time_point last_progress;             // of a running entry
  std::uint32_t tokens_done = 0;        // prefilled prompt tokens or generated output tokens

  bool operator==(const slot_entry&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. table
// ---------------------------------------------------------------------------------------------------------------------

class slot_table {
 public:
  explicit slot_table(slot_settings settings) : settings_(settings) {}

  // Sets the number of slots of the engine.
  void SetSlots(std::uint32_t prefill_slots, std::uint32_t decode_slots);

  // While a kind of slot is closed, new requests for it are refused (kWrongRole); granted slots can still be started
  // and finished.
  void SetOpen(slot_kind kind, bool open) { open_[static_cast<std::size_t>(kind)] = open; }
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  void SetSpeed(const engine_speed& speed) { speed_ = speed; }

  // Decides immediately, or returns nothing and keeps the request as a bid until its window ends (DecideBids).
  std::optional<slot_decision> ReserveSlot(const slot_request& request, time_point now);

  // Decides the bids whose window has ended.
  std::vector<slot_decision> DecideBids(time_point now);

  // Starts a reserved attempt. No more entries of a kind run than there are slots. A decode may start before its
  // granted start by at most `lead`, because its slot would be idle until its KV cache arrives. This limit does not
  // apply while at least `early_start_free_share` of the slots is free.
  start_verdict StartSlot(const attempt_id& attempt, microseconds lead, time_point now);

  // Adds an attempt without a reservation. Starts it if a slot is free; otherwise it waits (kWaiting) in order of
  // arrival.
  start_verdict StartUnreserved(const slot_request& request, time_point now);

  // Starts the waiting entries that are due and returns their attempts.
  std::vector<attempt_id> TakeDueStarts(time_point now);

  // Records the number of tokens finished so far; lower numbers than before are ignored.
  void UpdateProgress(const attempt_id& attempt, std::uint32_t tokens_done, time_point now);

  // Removes the slot or the bid of an attempt. Returns false if it has none.
  bool ReleaseSlot(const attempt_id& attempt);

  // Drops the reservations that were not used in time and returns their attempts.
  std::vector<attempt_id> ExpireReservations(time_point now);

  // Drops the bids and unused reservations of a router's incarnation. Returns their attempts and those of its running
  // entries, which keep their slots until ReleaseSlot: the engine holds their memory until it confirms the cancel.
  std::vector<attempt_id> DropRouter(const router_identity& router);

  // Returns the slots that have opened since the last call, to be announced to all routers.
  std::vector<slot_opening> TakeOpenings(time_point now);

  // Returns the slots that are open now, to be announced to a router that has just connected.
  std::vector<slot_opening> ListOpenings(time_point now) const;

  // When the next bid window, reservation, opening or waiting start is due. Nothing if no timer is needed.
  std::optional<time_point> NextDue(time_point now) const;

  const slot_entry* FindEntry(const attempt_id& attempt) const;
  std::uint32_t CountRunning(slot_kind kind) const;
  std::uint32_t CountEntries(slot_kind kind) const;  // running, waiting and reserved
  std::uint32_t CountFree(slot_kind kind) const;     // not running and not reserved
  std::uint32_t Slots(slot_kind kind) const;
  std::uint32_t QueuedPromptTokens() const;                        // prompt tokens that remain to be prefilled
  milliseconds PredictFree(slot_kind kind, time_point now) const;  // until a new request could start
  bool IsEmpty() const { return entries_.empty(); }
  bool IsLeaving() const { return leaving_; }

 private:
  struct bid {
    slot_request request;
    std::uint64_t sequence = 0;
  };

  microseconds PredictDuration(const slot_request& request) const;
  time_point PredictEnd(const slot_entry& entry, time_point now) const;
  time_point PredictBegin(const slot_entry& entry, time_point now) const;
  std::uint32_t PeakUsage(slot_kind kind, time_point begin, time_point end, time_point now,
                          const attempt_id& except) const;
  std::optional<slot_verdict> FindRefusal(const slot_request& request) const;
  bool IsSuspectBlocked(const slot_request& request) const;
  bool IsOpen(slot_kind kind) const { return open_[static_cast<std::size_t>(kind)] && Slots(kind) > 0; }
  bool HasBid(slot_kind kind) const;
  bool IsPrefillOpen(time_point now) const;
  bool HasFreeSlot(const slot_request& request, time_point now) const;
  void UpdatePrefillOpening(time_point now);
  std::optional<time_point> WindowEnd(slot_kind kind) const;
  start_verdict TryStart(slot_entry& entry, time_point now);
  slot_decision Grant(const slot_request& request, time_point now);
  slot_decision Refuse(const slot_request& request, slot_verdict verdict, time_point now);
  bool CanRun(const slot_entry& entry, time_point now) const;

  slot_settings settings_;
  engine_speed speed_;
  bool leaving_ = false;
  std::array<bool, kSlotKinds> open_ = {true, true};
  std::map<attempt_id, slot_entry> entries_;
  std::vector<bid> bids_;
  std::uint64_t last_bid_sequence_ = 0;
  std::optional<time_point> prefill_open_since_;
  bool prefill_announced_ = false;
  std::optional<time_point> decode_window_end_;  // set while decode bids are collected
  bool decode_contended_ = false;
  std::optional<slot_request> decode_refused_;  // the refused request with the longest lead, until a slot opens
  microseconds decode_refused_lead_ = microseconds(0);
};

}  // namespace persimmon
