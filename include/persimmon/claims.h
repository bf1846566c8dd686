// The at-most-once protocol for calls with an idempotency key (docs/design.md, section 7).
//
// Sections
//   1. claim rows and store operations
//   2. events
//   3. actions
//   4. state machine
//   5. choice of batching routers
//
// The state machine belongs to one attempt in one router. It does no input or output: the program executes the actions
// and reports what became of them as events. Events that no longer matter are ignored, so late replies are harmless.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. claim rows and store operations
// ---------------------------------------------------------------------------------------------------------------------

enum class claim_operation_kind : std::uint8_t { kInsert, kReplace, kFinish, kRead };
enum class claim_phase : std::uint8_t { kClaimed, kDone };

// One row per key: which attempt may run the call, and where.
struct claim_row {
  idempotency_key key;
  attempt_id attempt;
  endpoint_name endpoint;
  incarnation_number incarnation = 0;  // of the endpoint's agent; it runs the attempt in no other
  claim_phase phase = claim_phase::kClaimed;

  bool operator==(const claim_row&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(key, attempt, endpoint, incarnation, phase);
  }
};

struct claim_operation {
  claim_operation_kind kind = claim_operation_kind::kInsert;
  claim_row row;                // wanted content; for kRead only the key counts
  attempt_id expected_attempt;  // kReplace, kFinish: the write holds only while this attempt holds the claim

  bool operator==(const claim_operation&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(kind, row, expected_attempt);
  }
};

enum class claim_result_kind : std::uint8_t {
  kWritten,           // the row has the wanted content
  kConflict,          // the condition did not hold; nothing was written
  kFound,             // kRead: the row
  kAbsent,            // kRead, kReplace, kFinish: there is no row; nothing was written
  kUnknown,           // the reply was lost; the write may have happened or may still happen
  kStoreUnavailable,  // nothing was written
};

struct claim_result {
  claim_result_kind kind = claim_result_kind::kUnknown;
  claim_row current;  // kConflict, kFound: the row in the store

  bool operator==(const claim_result&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(kind, current);
  }
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. events
// ---------------------------------------------------------------------------------------------------------------------

// What an agent says about an attempt in reply to a request for a tombstone or a query.
enum class attempt_finding : std::uint8_t {
  kNotRun,            // tombstoned, or ended without reaching the service: this id can no longer run
  kRunning,           // started and not ended, or still running when a waiting query gave up
  kAnswered,          // done, and the answer is kept: the program has it
  kFailed,            // done, but whether the service ran it is not known
  kDone,              // done; the answer is no longer kept
  kUnknown,           // the agent has no entry (queries only)
  kOtherIncarnation,  // the agent has restarted since the claim, or is not the one that the claim names
  kUnreachable,       // no reply in time, or no channel
};

enum class call_reply : std::uint8_t {
  kAnswered,    // the whole answer of the service arrived
  kNotRun,      // the agent says that it did not run the call; proved by a tombstone before the caller is told
  kMayHaveRun,  // the agent says that the service may have run the call
  kLost,        // the channel closed, or no reply in time
  kNotSent,     // the call was never given to a channel
};

struct claim_started {
  bool operator==(const claim_started&) const = default;
};

// Result of the latest insert, read or replacement. The result of finish_claim is not reported.
struct store_replied {
  claim_result result;
  bool operator==(const store_replied&) const = default;
};

// Reply to send_call.
struct call_replied {
  call_reply reply = call_reply::kLost;
  bool operator==(const call_replied&) const = default;
};

// Reply to ask_tombstone or ask_status.
struct attempt_reported {
  attempt_id attempt;
  attempt_finding finding = attempt_finding::kUnreachable;
  bool operator==(const attempt_reported&) const = default;
};

// The caller's time is up. The program still executes the actions that this event leads to, within a short limit.
struct deadline_passed {
  bool operator==(const deadline_passed&) const = default;
};

using claim_event = std::variant<claim_started, store_replied, call_replied, attempt_reported, deadline_passed>;

// ---------------------------------------------------------------------------------------------------------------------
// 3. actions
// ---------------------------------------------------------------------------------------------------------------------

enum class claim_code : std::uint8_t {
  kNone,              // answered
  kStoreUnavailable,  // the claim could not be written or confirmed
  kAlreadyAnswered,   // another attempt of this key has ended and its answer is no longer kept
  kInProgress,        // another attempt of this key holds the claim or is running
  kEndpointLost,      // the agent was lost, has restarted, or did not run the call
  kTimeout,           // the caller's deadline passed
};

// Code in the caller's error: "store_unavailable", "already_answered", ...; empty for kNone.
const char* ClaimCodeName(claim_code code);

struct insert_claim {
  claim_row row;
  bool operator==(const insert_claim&) const = default;
};

struct read_claim {
  idempotency_key key;
  bool operator==(const read_claim&) const = default;
};

// Writes the row on condition that the expected attempt still holds the claim.
struct replace_claim {
  claim_row row;
  attempt_id expected;
  bool operator==(const replace_claim&) const = default;
};

// Marks the row as done. Its result changes nothing for this attempt.
struct finish_claim {
  claim_row row;
  bool operator==(const finish_claim&) const = default;
};

struct send_call {
  claim_row row;  // attempt, endpoint and incarnation to send
  bool operator==(const send_call&) const = default;
};

// Asks the agent of the row for a tombstone of the row's attempt; leaves a started attempt running.
struct ask_tombstone {
  claim_row row;
  bool operator==(const ask_tombstone&) const = default;
};

// Asks the agent of the row for the state of the row's attempt and for its answer.
struct ask_status {
  claim_row row;
  bool wait = false;  // until the attempt has ended
  bool operator==(const ask_status&) const = default;
};

// The last action. With kAnswered, the answer is the one that came with the event.
struct end_claim {
  outcome_kind outcome = outcome_kind::kMayHaveRun;
  claim_code code = claim_code::kNone;
  bool operator==(const end_claim&) const = default;
};

using claim_action = std::variant<insert_claim, read_claim, replace_claim, finish_claim, send_call, ask_tombstone,
                                  ask_status, end_claim>;

// The store operation of an action. Misuse (an action of another kind) stops the program.
claim_operation MakeClaimOperation(const claim_action& action);

// ---------------------------------------------------------------------------------------------------------------------
// 4. state machine
// ---------------------------------------------------------------------------------------------------------------------

enum class claim_step : std::uint8_t {
  kIdle,
  kInserting,
  kReadingInsert,    // the reply of the insert was lost
  kAskingTombstone,  // of the attempt that holds the claim
  kWaitingForOther,  // the attempt that holds the claim is running
  kFetchingAnswer,   // the row is done: its answer may still be kept
  kReplacing,
  kReadingReplace,  // the reply of the replacement was lost
  kSent,            // under a claim that is known to be this attempt's
  kProvingNotRun,   // asked for a tombstone of this attempt
  kWaitingForOwn,   // this attempt is running, but its reply was lost
  kEnded,
};

struct claim_state {
  claim_step step = claim_step::kIdle;
  claim_row own;               // of this attempt
  claim_row other;             // found in the store instead of it
  bool deadline_over = false;  // the caller's time is up

  bool operator==(const claim_state&) const = default;
};

struct claim_transition {
  claim_state state;
  std::vector<claim_action> actions;  // in this order; empty if the event changes nothing

  bool operator==(const claim_transition&) const = default;
};

// State of a new attempt. The attempt id is fresh for every call of this function; the incarnation is not 0.
claim_state MakeClaim(claim_row own);

// First transition of a call without a key: it is sent without a claim, as its only attempt. The row has no key.
claim_transition StartWithoutClaim(claim_row own);

// Begins with claim_started and ends with the action end_claim.
claim_transition StepClaim(const claim_state& state, const claim_event& event);

// ---------------------------------------------------------------------------------------------------------------------
// 5. choice of batching routers
// ---------------------------------------------------------------------------------------------------------------------

inline constexpr std::size_t kClaimBatchers = 4;  // batching routers of a deployment

// The routers to which claims of this key are forwarded, best first. Every router that sees the same routers gets the
// same list, and all keys together use at most kClaimBatchers routers.
std::vector<router_name> ChooseBatchers(const idempotency_key& key, std::vector<router_name> routers);

}  // namespace persimmon
