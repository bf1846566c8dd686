#include "ctl/explain.h"

#include <algorithm>
#include <array>

namespace persimmon {
namespace {

constexpr std::array kExplanations = {
    code_explanation{"account_limit", "429, not_run. The account has exceeded its tokens per second or its burst.",
                     "Retry after the delay in Retry-After.",
                     "Compare limits.tokens_per_second and limits.burst_tokens of the account record with its usage."},
    code_explanation{"already_answered",
                     "409. A call with this Idempotency-Key has finished, and its answer is no longer kept.",
                     "Do not resend it; look up the effect of the first call.",
                     "No action is needed. The agent keeps answers only up to a limit of time and size."},
    code_explanation{"bad_request", "400, not_run. The request is malformed or lacks a field.",
                     "Correct the request; the message names the field.", "No action is needed."},
    code_explanation{"body_too_large", "413, not_run. The body is longer than the limit.", "Send a shorter body.",
                     "No action is needed."},
    code_explanation{"connection_limit", "503, not_run. The account has too many requests in progress.",
                     "Wait for answers before sending more.", "Check limits.connections of the account record."},
    code_explanation{"deadline_unreachable",
                     "503, not_run. The first token could not be produced within the target or the caller's deadline.",
                     "Retry after the delay in Retry-After, which is randomized to spread out retries.",
                     "The pool lacks prefill or decode capacity: add endpoints, or undrain some."},
    code_explanation{"draining", "503, not_run. This router is stopping and takes no new requests.",
                     "Retry; the load balancer chooses another router.", "Expected during a planned stop."},
    code_explanation{"endpoint_lost",
                     "502, may_have_run unless the body says not_run. The endpoint failed or became unreachable.",
                     "Retry only idempotent calls, or retry with the same Idempotency-Key.",
                     "Check `persimmonctl status` for unreachable agents, and the agent's log."},
    code_explanation{"in_progress", "409. A call with this Idempotency-Key is still running.",
                     "Retry with the same key after the delay in Retry-After.", "No action is needed."},
    code_explanation{"may_have_run", "Value of the field outcome: it is unknown whether the call ran.",
                     "Do not retry a call that must run at most once, unless it has an Idempotency-Key.",
                     "Look for an endpoint that failed at that time."},
    code_explanation{"no_endpoint", "503, not_run. No endpoint of the pool can receive work.",
                     "Retry after the delay in Retry-After.",
                     "Check `persimmonctl status` and the state of the pool's endpoint records."},
    code_explanation{
        "not_run",
        "Value of the field outcome: the call was never sent, or the agent has confirmed that it never will run.",
        "It is safe to retry the call.", "No action is needed."},
    code_explanation{
        "over_capacity", "429, not_run. The first token would miss its target, or the pool's queue is full.",
        "Retry after the delay in Retry-After.", "Check queue_limit of the pool record, or add endpoints."},
    code_explanation{"queue_full", "The pool's queue is full; see over_capacity.",
                     "Retry after the delay in Retry-After.",
                     "Check queue_limit of the pool record, or add endpoints."},
    code_explanation{
        "store_unavailable",
        "503, not_run. The platform's table service is unavailable, so the Idempotency-Key cannot be recorded.",
        "Retry with the same key after the delay in Retry-After. Nothing was sent.",
        "Check the table service; calls without a key are still served."},
    code_explanation{"suspect_request",
                     "503, not_run. Endpoints crashed while running this request, so it is refused for some time.",
                     "Change the request, or retry after the delay in Retry-After.",
                     "Look for the crash in the engine's log; the router's log has the request id."},
    code_explanation{"timeout",
                     "504. The endpoint did not answer in time; the body states whether the call may have run.",
                     "Retry only idempotent calls, or retry with the same Idempotency-Key.",
                     "Compare call_timeout_ms of the pool record with the response time of the service."},
    code_explanation{"unauthorized", "401, not_run. The API key is missing or belongs to no account.",
                     "Send Authorization: Bearer <api key>.",
                     "The account record holds the SHA-256 of the key in lower-case hexadecimal."},
    code_explanation{"unknown_model", "404, not_run. No record names this model.", "Correct the model name.",
                     "Check `persimmonctl list model`; a record with findings is not in force."},
    code_explanation{"unknown_route", "404, not_run. No service pool matches this path prefix or host.",
                     "Correct the path.", "Check path_prefix and host of the service pools."},
};

}  // namespace

std::span<const code_explanation> Explanations() { return kExplanations; }

const code_explanation* FindExplanation(std::string_view code) {
  const auto found = std::find_if(kExplanations.begin(), kExplanations.end(),
                                  [code](const code_explanation& item) { return item.code == code; });
  return found == kExplanations.end() ? nullptr : &*found;
}

}  // namespace persimmon
