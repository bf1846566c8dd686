#include "ctl/explain.h"

#include <algorithm>
#include <array>

namespace persimmon {
namespace {

constexpr std::array kExplanations = {
    code_explanation{"account_limit", "429, not_run. The account has used its tokens per second or its burst.",
                     "Come back after Retry-After.",
                     "Compare limits.tokens_per_second and limits.burst_tokens of the account record with its use."},
    code_explanation{"already_answered",
                     "409. A call with this Idempotency-Key has finished, and its answer is no longer kept.",
                     "Do not send it again; look up the effect of the first call.",
                     "Nothing is wrong. The agent keeps answers for a bounded time and size."},
    code_explanation{"bad_request", "400, not_run. The request could not be read or lacks a field.",
                     "Correct the request; the message names the field.", "Nothing to change."},
    code_explanation{"body_too_large", "413, not_run. The body is longer than the limit.", "Send a shorter body.",
                     "Nothing to change."},
    code_explanation{"connection_limit", "503, not_run. The account has too many requests in progress.",
                     "Wait for answers before sending more.", "Check limits.connections of the account record."},
    code_explanation{"deadline_unreachable",
                     "503, not_run. The first token could not be produced within the target or the caller's deadline.",
                     "Come back after Retry-After, which spreads returning callers over time.",
                     "The pool is short of prefill or decode capacity: add endpoints, or end drains."},
    code_explanation{"draining", "503, not_run. This router is stopping and takes no new requests.",
                     "Send again; the load balancer chooses another router.", "Expected during a planned stop."},
    code_explanation{"endpoint_lost", "502, may_have_run unless the body says not_run. The endpoint was lost.",
                     "Repeat only calls that may run twice, or resend with the same Idempotency-Key.",
                     "See `persimmonctl status` for agents that cannot be reached, and the agent's log."},
    code_explanation{"in_progress", "409. A call with this Idempotency-Key is still running.",
                     "Come back after Retry-After with the same key.", "Nothing to change."},
    code_explanation{"may_have_run", "Outcome. Nobody can prove whether the call ran.",
                     "Do not repeat a call that must run at most once without an Idempotency-Key.",
                     "Look for an endpoint that was lost at that time."},
    code_explanation{"no_endpoint", "503, not_run. No endpoint of the pool can receive work.",
                     "Come back after Retry-After.",
                     "See `persimmonctl status` and the state of the pool's endpoint records."},
    code_explanation{"not_run", "Outcome. The call was never sent, or the agent has confirmed that it never will run.",
                     "It is safe to send the call again.", "Nothing to change."},
    code_explanation{"over_capacity", "429, not_run. The first token would come too late, or the pool's queue is full.",
                     "Come back after Retry-After.", "Check queue_limit of the pool record, or add endpoints."},
    code_explanation{"queue_full", "The pool's queue is full; see over_capacity.", "Come back after Retry-After.",
                     "Check queue_limit of the pool record, or add endpoints."},
    code_explanation{"store_unavailable",
                     "503, not_run. The platform's table service is out, so that the call cannot be claimed.",
                     "Come back after Retry-After with the same key. Nothing was sent.",
                     "Check the table service; calls without a key are still served."},
    code_explanation{"suspect_request",
                     "503, not_run. Endpoints crashed while they ran this request, so that it is refused for a while.",
                     "Change the request, or come back after Retry-After.",
                     "Look for the crash in the engine's log; the router's log names the request."},
    code_explanation{"timeout",
                     "504. The endpoint did not answer in time; the body says whether the call may have run.",
                     "Repeat only calls that may run twice, or resend with the same Idempotency-Key.",
                     "Compare call_timeout_ms of the pool record with the time the service takes."},
    code_explanation{"unauthorized", "401, not_run. The API key is missing or belongs to no account.",
                     "Send Authorization: Bearer <api key>.",
                     "The account record holds the SHA-256 of the key in lower-case hexadecimal."},
    code_explanation{"unknown_model", "404, not_run. No record names this model.", "Correct the model's name.",
                     "See `persimmonctl list model`; a record with findings is not in force."},
    code_explanation{"unknown_route", "404, not_run. No service pool has this path prefix or host.",
                     "Correct the path.", "See path_prefix and host of the service pools."},
};

}  // namespace

std::span<const code_explanation> Explanations() { return kExplanations; }

const code_explanation* FindExplanation(std::string_view code) {
  const auto found = std::find_if(kExplanations.begin(), kExplanations.end(),
                                  [code](const code_explanation& item) { return item.code == code; });
  return found == kExplanations.end() ? nullptr : &*found;
}

}  // namespace persimmon
