// Check before a prefill is sent that its result will still be wanted and can be decoded.
//
// A prefill whose result no caller uses delays all prompts behind it. Load addressed: bursts after which decode engines
// refuse or have crashed and their requests are prefilled again, while callers give up and reservations expire.
#pragma once

#include <cstdint>
#include <optional>

#include "persimmon/types.h"

namespace persimmon {

struct prefill_conditions {
  bool is_caller_connected = true;
  bool is_decode_engine_current = true;  // the same incarnation, and it receives new work
  microseconds time_left{0};             // until the caller gives up
  microseconds prefill_time{0};          // predicted, with the wait for the prompts that are pending at the engine
  microseconds transfer_time{0};         // from the end of the prefill to the first event
  std::optional<microseconds> reservation_left;  // of the decode memory; absent: the decode needs no reservation

  bool operator==(const prefill_conditions&) const = default;
};

enum class prefill_verdict : std::uint8_t {
  kSend,
  kCallerGone,
  kTooLate,           // the first event would come after the caller has given up
  kDecodeEngineGone,  // another decode engine is needed
  kReservationEnds,   // the reservation would have expired; a new one is needed
};

// "send", "caller_gone", "no_time_left", "decode_engine_gone" or "reservation_ends".
const char* PrefillVerdictName(prefill_verdict verdict);

// The caller must be left `minimum` after the transfer, in which the first event is written to it.
prefill_verdict CheckPrefill(const prefill_conditions& conditions, microseconds minimum);

// How long a caller waits for the next event of its stream before it gives up.
microseconds AbandonmentTime(milliseconds target_latency, milliseconds target_event_interval);

}  // namespace persimmon
