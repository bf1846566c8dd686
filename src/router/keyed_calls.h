// Non-idempotent calls of plain services: at most one run, and a truthful outcome (docs/design.md, section 7).
//
// Sections
//   1. settings
//   2. links to agents and store
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
  milliseconds settle_timeout = milliseconds(1'800);  // for the agent's word on an attempt, also after the deadline
  milliseconds send_limit = milliseconds(30'000);     // a call is not sent later than this after its claim was begun
  milliseconds retry_after = milliseconds(1'000);     // told to callers whose call was not run
  std::size_t kept_attempts = 10'000;                 // attempts of this router known not to have run
  milliseconds pause_before_send = milliseconds(0);   // test switch: time between claim and send

  bool operator==(const keyed_call_settings&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. links to agents and store
// ---------------------------------------------------------------------------------------------------------------------

struct sent_call {
  call_reply reply = call_reply::kLost;
  service_answer answer;  // kAnswered

  bool operator==(const sent_call&) const = default;
};

// What the service needs from the rest of the router. The functions must not be coroutines that capture by reference.
struct keyed_call_links {
  // Sends the call once to the agent of the row and waits for its answer. kNotSent only if no channel accepted it.
  std::function<task<sent_call>(claim_row target, call_service call, milliseconds timeout)> send;
  // Sends `cancel` with tombstone_only and the row's incarnation. Nothing if no status arrives in time.
  std::function<task<std::optional<attempt_status>>(claim_row target, milliseconds timeout)> ask_tombstone;
  // Sends `query_attempt` with the row's incarnation. Nothing if no status arrives in time.
  std::function<task<std::optional<attempt_status>>(claim_row target, bool wait, milliseconds timeout)> query;
  // Executes an operation on the claim rows.
  std::function<task<claim_result>(claim_operation operation)> store;
  // A fresh attempt id, unique over all routers and restarts.
  std::function<attempt_id()> make_attempt;
};

// The call_reply of an agent's answer.
call_reply ClassifyAnswer(const service_answer& answer);

// The finding of an agent's status. kUnreachable for none.
attempt_finding ClassifyStatus(const std::optional<attempt_status>& status);

// ---------------------------------------------------------------------------------------------------------------------
// 3. calls
// ---------------------------------------------------------------------------------------------------------------------

struct keyed_call {
  idempotency_key key;                 // account and Idempotency-Key; empty: exactly one attempt, without a claim
  endpoint_name endpoint;              // chosen for a new attempt; a resend may end with the answer of another one
  incarnation_number incarnation = 0;  // of the endpoint's agent; 0 (no agent known): ends kNotRun, nothing is sent
  call_service call;                   // attempt and incarnation are filled in
  milliseconds timeout = milliseconds(10'000);

  bool operator==(const keyed_call&) const = default;
};

struct keyed_call_result {
  outcome_kind outcome = outcome_kind::kMayHaveRun;
  claim_code code = claim_code::kNone;         // of the caller's error
  std::string message;                         // one sentence for the caller; empty for kAnswered
  milliseconds retry_after = milliseconds(0);  // kNotRun: when to come back
  service_answer answer;                       // kAnswered
  attempt_id attempt;                          // of this call; the answer may be of an earlier attempt of the key

  bool operator==(const keyed_call_result&) const = default;
};

// A service of the kernel.
class keyed_calls {
 public:
  keyed_calls(timer_service& timers, asio::io_context& context, keyed_call_settings settings, keyed_call_links links);

  void Start() {}
  void Stop() {}

  // Runs one attempt of the call to its end, within the timeout and at most one settle_timeout. Of attempts of this
  // router it knows the end itself and asks no agent, so a second call may follow one that ended kNotRun.
  task<keyed_call_result> RunCall(keyed_call call);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
