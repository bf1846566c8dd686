#include "persimmon/prefill_check.h"

#include <algorithm>

namespace persimmon {

const char* PrefillVerdictName(prefill_verdict verdict) {
  switch (verdict) {
    case prefill_verdict::kSend:
      return "send";
    case prefill_verdict::kCallerGone:
      return "caller_gone";
    case prefill_verdict::kTooLate:
      return "no_time_left";
    case prefill_verdict::kDecodeEngineGone:
      return "decode_engine_gone";
    case prefill_verdict::kReservationEnds:
      return "reservation_ends";
  }
  return "unknown";
}

prefill_verdict CheckPrefill(const prefill_conditions& conditions, microseconds minimum) {
  if (!conditions.is_caller_connected) {
    return prefill_verdict::kCallerGone;
  }
  if (conditions.time_left < conditions.prefill_time + conditions.transfer_time + minimum) {
    return prefill_verdict::kTooLate;
  }
  if (!conditions.is_decode_engine_current) {
    return prefill_verdict::kDecodeEngineGone;
  }
  if (conditions.reservation_left && *conditions.reservation_left < conditions.prefill_time) {
    return prefill_verdict::kReservationEnds;
  }
  return prefill_verdict::kSend;
}

// The platform's callers abandon a stream after a gap of max(2 s, 4 x target, 8 x event interval target).
microseconds AbandonmentTime(milliseconds target_latency, milliseconds target_event_interval) {
  constexpr milliseconds kShortestGap(2'000);
  return std::max({kShortestGap, target_latency * 4, target_event_interval * 8});
}

}  // namespace persimmon
