// Service calls: executes a call with an idempotency key at most once over all its attempts, sends a call without one
// at most once per attempt, and reports the outcome correctly (docs/design.md, section 7).
//
// Sections
//   1. settings
//   2. callbacks
//   3. calls
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/timers.h"
#include "net/wire.h"
#include "persimmon/claims.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. settings
// ---------------------------------------------------------------------------------------------------------------------

struct keyed_call_settings {
  milliseconds agent_reply_timeout = milliseconds(1'800);  // maximum wait for an agent's status, even past the deadline
  milliseconds send_limit = milliseconds(30'000);          // a call is not sent if RunCall began longer ago than this
  milliseconds retry_after = milliseconds(1'000);          // sent to callers whose call was not run
  std::size_t max_remembered_attempts = 10'000;            // number of own attempts remembered as not run
  milliseconds pause_before_send = milliseconds(0);        // for tests: delay between claim and send

  bool operator==(const keyed_call_settings&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. callbacks
// ---------------------------------------------------------------------------------------------------------------------

struct sent_call {
  call_reply reply = call_reply::kLost;
  service_answer answer;  // valid for kAnswered

  bool operator==(const sent_call&) const = default;
};

// Functions that keyed_calls needs from the rest of the router. They must not be coroutines that capture by reference.
struct keyed_call_callbacks {
  // Sends the call once to the agent in the claim row and waits for its answer. kNotSent only if no channel was open.
  std::function<task<sent_call>(claim_row target, call_service call, milliseconds timeout)> send;
  // Sends `cancel` with tombstone_only and the row's incarnation. Returns nullopt if no status arrives in time.
  std::function<task<std::optional<attempt_status>>(claim_row target, milliseconds timeout)> request_tombstone;
  // Sends `query_attempt` with the row's incarnation. Returns nullopt if no status arrives in time.
  std::function<task<std::optional<attempt_status>>(claim_row target, bool wait, milliseconds timeout)> query;
  // Executes an operation on the claim table.
  std::function<task<claim_result>(claim_operation operation)> store;
  // Returns a new attempt id, unique across all routers and restarts.
  std::function<attempt_id()> make_attempt;
};

// Converts the outcome of an agent's answer.
call_reply ClassifyAnswer(const service_answer& answer);

// Determines what an agent's status proves about an attempt. Without a status: kUnreachable.
attempt_report_status ClassifyStatus(const std::optional<attempt_status>& status);

// ---------------------------------------------------------------------------------------------------------------------
// 3. calls
// ---------------------------------------------------------------------------------------------------------------------

struct keyed_call {
  idempotency_key key;                 // account and Idempotency-Key; empty: one attempt, without a claim
  endpoint_name endpoint;              // for a new attempt; a repeated call may be answered by another endpoint
  incarnation_number incarnation = 0;  // of the endpoint's agent; 0 (unknown agent): ends kNotRun without sending
  call_service call;                   // RunCall sets attempt and incarnation
  milliseconds timeout = milliseconds(10'000);

  bool operator==(const keyed_call&) const = default;
};

struct keyed_call_result {
  outcome_kind outcome = outcome_kind::kMayHaveRun;
  claim_error code = claim_error::kNone;       // reason, for the caller's error code
  std::string message;                         // one sentence for the user; empty for kAnswered
  milliseconds retry_after = milliseconds(0);  // for kNotRun: time after which to retry
  service_answer answer;                       // valid for kAnswered
  attempt_id attempt;                          // of this call; the answer may come from an earlier attempt

  bool operator==(const keyed_call_result&) const = default;
};

// Runs service calls, with and without an idempotency key. Registered as a kernel service.
class keyed_calls {
 public:
  keyed_calls(timer_service& timers, asio::io_context& context, keyed_call_settings settings,
              keyed_call_callbacks callbacks);

  void Start() {}
  void Stop() {}

  // Runs one attempt of the call to its end. Takes at most the call's timeout plus one agent_reply_timeout. Remembers
  // which attempts of this router ended kNotRun, so that a repeated call can replace them without asking their agents.
  task<keyed_call_result> RunCall(keyed_call call);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
