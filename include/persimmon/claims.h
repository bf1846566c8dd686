// The at-most-once protocol for calls with an idempotency key (docs/design.md, section 7).
//
// Sections
//   1. claim rows and store operations
//   2. events
//   3. actions
//   4. state machine
//   5. choice of the routers that batch store writes
//
// One state machine instance handles one attempt on one router. It performs no I/O: the program executes the actions
// and reports their results as events. Events that do not apply to the current step are ignored, so late replies are
// harmless.
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

// The store has one row per key. It names the attempt that may run the call, and its endpoint.
struct claim_row {
  idempotency_key key;
  attempt_id attempt;
  endpoint_name endpoint;
  incarnation_number incarnation = 0;  // of the endpoint's agent; it runs the attempt in no other incarnation
  claim_phase phase = claim_phase::kClaimed;

  bool operator==(const claim_row&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(key, attempt, endpoint, incarnation, phase);
  }
};

struct claim_operation {
  claim_operation_kind kind = claim_operation_kind::kInsert;
  claim_row row;                // content to write; kRead uses only the key
  attempt_id expected_attempt;  // kReplace, kFinish: the write succeeds only while this attempt holds the claim

  bool operator==(const claim_operation&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(kind, row, expected_attempt);
  }
};

enum class claim_result_kind : std::uint8_t {
  kWritten,           // the row has the requested content
  kConflict,          // the condition of the write failed; nothing was written
  kFound,             // kRead: the row exists
  kAbsent,            // kRead, kReplace, kFinish: the row does not exist; nothing was written
  kUnknown,           // the reply was lost; the write may have taken effect or may still do so
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

// Status of an attempt as reported by its agent in reply to a tombstone request or a status query.
enum class attempt_report_status : std::uint8_t {
  kNotRun,            // tombstoned, or ended before it reached the service: this id can never run
  kRunning,           // started and not finished, or still running when a waiting query timed out
  kAnswered,          // finished; the answer was retained and passed to the program
  kFailed,            // finished, but it is unknown whether the service ran the call
  kDone,              // finished; the answer is no longer retained
  kUnknown,           // the agent has no entry for the attempt (queries only)
  kOtherIncarnation,  // the agent has restarted since the claim, or is not the agent named in the claim
  kUnreachable,       // no channel to the agent, or no reply in time
};

enum class call_reply : std::uint8_t {
  kAnswered,    // the complete answer of the service arrived
  kNotRun,      // the agent states that it did not run the call; reported to the caller only if a tombstone proves it
  kMayHaveRun,  // the agent states that the service may have run the call
  kLost,        // the channel closed, or no reply in time
  kNotSent,     // the call was never passed to a channel
};

struct claim_started {
  bool operator==(const claim_started&) const = default;
};

// Result of the latest insert_claim, read_claim or replace_claim. The result of finish_claim is not reported.
struct store_replied {
  claim_result result;
  bool operator==(const store_replied&) const = default;
};

// Reply to send_call.
struct call_replied {
  call_reply reply = call_reply::kLost;
  bool operator==(const call_replied&) const = default;
};

// Reply to request_tombstone or query_attempt_status.
struct attempt_reported {
  attempt_id attempt;
  attempt_report_status status = attempt_report_status::kUnreachable;
  bool operator==(const attempt_reported&) const = default;
};

// The caller's deadline has passed. The program still executes the resulting actions, within a short time limit.
struct deadline_passed {
  bool operator==(const deadline_passed&) const = default;
};

using claim_event = std::variant<claim_started, store_replied, call_replied, attempt_reported, deadline_passed>;

// ---------------------------------------------------------------------------------------------------------------------
// 3. actions
// ---------------------------------------------------------------------------------------------------------------------

enum class claim_error : std::uint8_t {
  kNone,              // no error: the call was answered
  kStoreUnavailable,  // the claim could not be written or confirmed
  kAlreadyAnswered,   // another attempt of this key has finished and its answer is no longer retained
  kInProgress,        // another attempt of this key holds the claim or is running
  kEndpointLost,      // the agent is unreachable, has restarted, or did not run the call
  kTimeout,           // the caller's deadline passed
};

// Returns the code for the caller's error response: "store_unavailable", "already_answered", ...; empty for kNone.
const char* ClaimErrorName(claim_error code);

struct insert_claim {
  claim_row row;
  bool operator==(const insert_claim&) const = default;
};

struct read_claim {
  idempotency_key key;
  bool operator==(const read_claim&) const = default;
};

// Overwrites the row if the expected attempt still holds the claim.
struct replace_claim {
  claim_row row;
  attempt_id expected;
  bool operator==(const replace_claim&) const = default;
};

// Marks the row as done. The attempt does not depend on the result.
struct finish_claim {
  claim_row row;
  bool operator==(const finish_claim&) const = default;
};

struct send_call {
  claim_row row;  // attempt, endpoint and incarnation of the call
  bool operator==(const send_call&) const = default;
};

// Asks the row's agent to tombstone the row's attempt. An attempt that has already started keeps running.
struct request_tombstone {
  claim_row row;
  bool operator==(const request_tombstone&) const = default;
};

// Asks the row's agent for the status of the row's attempt, and for its answer.
struct query_attempt_status {
  claim_row row;
  bool wait = false;  // reply only when the attempt has finished
  bool operator==(const query_attempt_status&) const = default;
};

// The last action. With kAnswered, the answer is the one that arrived with the event.
struct end_claim {
  outcome_kind outcome = outcome_kind::kMayHaveRun;
  claim_error code = claim_error::kNone;
  bool operator==(const end_claim&) const = default;
};

using claim_action = std::variant<insert_claim, read_claim, replace_claim, finish_claim, send_call, request_tombstone,
                                  query_attempt_status, end_claim>;

// Returns the store operation for an action. Aborts the program if the action is not a store operation.
claim_operation MakeClaimOperation(const claim_action& action);

// ---------------------------------------------------------------------------------------------------------------------
// 4. state machine
// ---------------------------------------------------------------------------------------------------------------------

enum class claim_step : std::uint8_t {
  kIdle,
  kInserting,
  kVerifyingInsert,    // the reply of the insert was lost
  kTombstoningHolder,  // requested a tombstone of the attempt that holds the claim
  kWaitingForOther,    // the attempt that holds the claim is running; waiting for its end
  kFetchingAnswer,     // the row is done; its answer may still be retained
  kReplacing,
  kVerifyingReplace,  // the reply of the replacement was lost
  kSent,              // the call was sent; if it has a key, the store had confirmed this attempt's claim
  kTombstoningOwn,    // requested a tombstone of this attempt
  kWaitingForOwn,     // this attempt is running, but its reply was lost; waiting for its end
  kEnded,
};

struct claim_state {
  claim_step step = claim_step::kIdle;
  claim_row own_row;                 // row of this attempt
  claim_row other_row;               // row of another attempt, found in the store
  bool has_deadline_passed = false;  // the caller's deadline has passed

  bool operator==(const claim_state&) const = default;
};

struct claim_transition {
  claim_state state;
  std::vector<claim_action> actions;  // to execute in this order; empty if the event was ignored

  bool operator==(const claim_transition&) const = default;
};

// Returns the initial state of a new attempt. Each invocation needs a new, unused attempt id and an incarnation other
// than 0.
claim_state MakeClaimState(claim_row own_row);

// First transition of a call without a key, which is sent without a claim, as its only attempt. The row has no key.
claim_transition StartWithoutClaim(claim_row own_row);

// Applies one event. The first event is claim_started; the last action is end_claim.
claim_transition StepClaim(const claim_state& state, const claim_event& event);

// ---------------------------------------------------------------------------------------------------------------------
// 5. choice of the routers that batch store writes
// ---------------------------------------------------------------------------------------------------------------------

inline constexpr std::size_t kClaimBatchers = 4;  // routers per deployment that batch the store writes of claims

// Returns the routers to which claims of this key are forwarded, in order of preference. Routers with the same list of
// routers get the same result, and all keys together use at most kClaimBatchers routers.
std::vector<router_name> ChooseBatchingRouters(const idempotency_key& key, std::vector<router_name> routers);

}  // namespace persimmon
