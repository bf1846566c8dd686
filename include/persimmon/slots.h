// The slots of one endpoint and their reservations over time. The agent owns the table; routers compete for its slots.
//
// Sections
//   1. settings and requests
//   2. decisions
//   3. table
//
// Prefill: a slot is open while the engine is idle or will be within the lookahead. Bids that arrive within the bid
// window after the opening are collected, and the bid with the earliest latest start wins; a slot that has been open
// for longer is granted at once.
// Decode: a slot is granted for a future start if, by the remaining tokens and the measured pace of the running
// requests, one is predicted to be free from then on. After a refusal for lack of slots the table counts as contended:
// bids are collected for one window from the first bid on and granted in the order of their latest start.
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
  double ample_share = 0.25;  // with this share of the decode slots free, decodes start as early as they can
  milliseconds bid_window = milliseconds(4);        // from the opening of a slot to its grant
  milliseconds lookahead = milliseconds(20);        // a prefill slot opens this long before it is predicted to be free
  milliseconds longest_lead = milliseconds(5'000);  // a decode slot that starts later than this is not reserved
  milliseconds longest_hold = milliseconds(2'000);  // a requested hold is cut to this

  bool operator==(const slot_settings&) const = default;
};

// Measured speeds of the engine, used to predict ends.
struct engine_pace {
  double prefill_tokens_per_s = 8'000;
  microseconds token_interval = microseconds(30'000);

  bool operator==(const engine_pace&) const = default;
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
  time_point start;                     // when the slot is needed; prefill: as soon as possible
  milliseconds hold = milliseconds(0);  // how long after the granted start it is kept unused
  time_point latest_start;              // of the request; bids are ordered by it
  std::uint32_t prompt_tokens = 0;      // to prefill
  std::uint32_t output_tokens = 0;      // bound or prediction of the answer's length
  fingerprint_number fingerprint = 0;
  bool suspect = false;

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
  kSuspectRunning,  // at most one suspect holds slots at a time
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
  kWaiting,  // the slot is not free yet; TakeDueStarts reports when it is
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
  time_point start;                     // granted start; of a running entry: the real one
  microseconds lead = microseconds(0);  // of a waiting entry: how long before the start it may run
  time_point progressed;                // of a running entry: last progress
  std::uint32_t tokens_done = 0;        // computed prompt tokens or produced tokens

  bool operator==(const slot_entry&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. table
// ---------------------------------------------------------------------------------------------------------------------

class slot_table {
 public:
  explicit slot_table(slot_settings settings) : settings_(settings) {}

  // Numbers of slots that the engine has.
  void SetSlots(std::uint32_t prefill_slots, std::uint32_t decode_slots);

  // A closed kind grants nothing new (kWrongRole); what has been granted still starts and finishes.
  void SetOpen(slot_kind kind, bool open) { open_[static_cast<std::size_t>(kind)] = open; }
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  void SetPace(const engine_pace& pace) { pace_ = pace; }

  // Decides at once, or returns nothing and keeps the bid until its window ends (DecideBids).
  std::optional<slot_decision> ReserveSlot(const slot_request& request, time_point now);

  // Decides the bids whose window has ended.
  std::vector<slot_decision> DecideBids(time_point now);

  // Uses a reservation. Never more entries of a kind run than there are slots. A decode starts before its granted start
  // by at most the lead, unless many slots are free: while it waits for its KV cache it would keep a slot idle.
  start_verdict StartSlot(const attempt_id& attempt, microseconds lead, time_point now);

  // Adds work that was never reserved, in order of arrival (kWaiting), and starts it if a slot is free.
  start_verdict StartUnreserved(const slot_request& request, time_point now);

  // Waiting entries that run from now on.
  std::vector<attempt_id> TakeDueStarts(time_point now);

  // Tokens finished so far; earlier numbers are ignored.
  void NoteProgress(const attempt_id& attempt, std::uint32_t tokens_done, time_point now);

  // Frees the slot or the bid of an attempt. Returns false if it has none.
  bool ReleaseSlot(const attempt_id& attempt);

  // Drops reservations that were not used in time and returns their attempts.
  std::vector<attempt_id> ExpireReservations(time_point now);

  // Drops bids and unused reservations of a router's incarnation. Returns their attempts and those of its running
  // entries, which keep their slots until ReleaseSlot: the engine holds their memory until it has confirmed the cancel.
  std::vector<attempt_id> DropRouter(const router_identity& router);

  // Slots that have opened since the last call, to be announced to all routers.
  std::vector<slot_opening> TakeOpenings(time_point now);

  // Slots that are open now, to be announced to a router that has just connected.
  std::vector<slot_opening> ListOpenings(time_point now) const;

  // When the next bid window, reservation, opening or waiting start is due. Nothing: not before the next event.
  std::optional<time_point> NextDue(time_point now) const;

  const slot_entry* FindEntry(const attempt_id& attempt) const;
  std::uint32_t CountRunning(slot_kind kind) const;
  std::uint32_t CountEntries(slot_kind kind) const;  // running, waiting and reserved
  std::uint32_t CountFree(slot_kind kind) const;     // not running and not reserved
  std::uint32_t Slots(slot_kind kind) const;
  std::uint32_t QueuedPromptTokens() const;  // prompt tokens of prefills that are not computed yet
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
  std::optional<slot_verdict> FindObstacle(const slot_request& request) const;
  bool IsSuspectBlocked(const slot_request& request) const;
  bool IsOpen(slot_kind kind) const { return open_[static_cast<std::size_t>(kind)] && Slots(kind) > 0; }
  bool HasBid(slot_kind kind) const;
  bool IsPrefillOpen(time_point now) const;
  bool HasRoom(const slot_request& request, time_point now) const;
  void UpdatePrefillOpening(time_point now);
  std::optional<time_point> WindowEnd(slot_kind kind) const;
  start_verdict TryStart(slot_entry& entry, time_point now);
  slot_decision Grant(const slot_request& request, time_point now);
  slot_decision Refuse(const slot_request& request, slot_verdict verdict, time_point now);
  bool MayRun(const slot_entry& entry, time_point now) const;

  slot_settings settings_;
  engine_pace pace_;
  bool leaving_ = false;
  std::array<bool, kSlotKinds> open_ = {true, true};
  std::map<attempt_id, slot_entry> entries_;
  std::vector<bid> bids_;
  std::uint64_t last_bid_ = 0;
  std::optional<time_point> prefill_open_since_;
  bool prefill_announced_ = false;
  std::optional<time_point> decode_window_end_;  // while decode bids are collected
  bool decode_contended_ = false;
  std::optional<slot_request> decode_refused_;  // the refused request with the longest lead, until a slot is announced
  microseconds decode_refused_lead_ = microseconds(0);
};

}  // namespace persimmon
