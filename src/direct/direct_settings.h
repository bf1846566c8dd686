// Settings of a router that goes straight to the endpoints, without agents. The struct is the manual: each field is one
// key of the INI file, and its default holds where the key is absent.
#pragma once

#include "core/settings.h"
#include "persimmon/kv_placement.h"
#include "platform/settings.h"

namespace persimmon {

struct direct_settings {
  platform::deployment_settings deployment;  // of the platform's settings file, not of the INI file

  // [store]
  milliseconds store_timeout = milliseconds(1'000);  // for one call; a silent connection is noticed after it
  milliseconds feed_wait = milliseconds(2'500);      // for one call that waits for changes; together with store_timeout
                                                     // below the three silent intervals after which entries lapse

  // [endpoints]
  milliseconds connect_timeout = milliseconds(300);  // zones are a few milliseconds apart
  milliseconds reuse_limit = milliseconds(2'000);    // idle time after which a kept connection is not used again
  std::int64_t idle_connections = 12;                // kept per endpoint
  milliseconds down_pause = milliseconds(500);       // after a failed connection; doubles up to down_pause_limit
  milliseconds down_pause_limit = milliseconds(4'000);

  // [plain]
  double second_try_share = 0.75;  // of the target latency: an idempotent call is tried elsewhere then
  milliseconds plain_retry_after = milliseconds(300);  // told with a refusal; jitter of up to the same is added

  // [model]
  milliseconds reserve_timeout = milliseconds(250);     // for the answer of an engine to a reservation
  milliseconds reservation_time = milliseconds(2'000);  // of a reservation that no request has used yet
  milliseconds refused_pause = milliseconds(40);  // an engine that refused a reservation is not asked again for it
  // Predicted, from the end of a prefill to the first event: 150 ms at the median, 400 ms for nine in ten on the
  // calm day. A request that is started later than this allows mostly misses its target.
  milliseconds transfer_time = milliseconds(300);
  // A request that is late already may wait this long for room; callers leave after 3.6 s without an event.
  milliseconds late_wait = milliseconds(2'500);
  milliseconds late_retry =
      milliseconds(1'500);               // told with a refusal for lack of room; jitter of up to the same is added
  std::int64_t prefill_backlog = 7'000;  // prompt tokens ahead on an engine to which a prompt is bound
  // Longest prompt that a decode engine reads itself while the prefill engines are busy. A slow engine reads 12 tokens
  // a millisecond beside its streams; 200 ms of that leave the pause between their events below 300 ms.
  std::int64_t own_prompt_limit = 2'400;
  milliseconds stall_limit = milliseconds(2'000);  // a resumable stream that is silent for this long goes on elsewhere
  double output_share = 1.0;                       // of the caller's estimate of the output that memory is reserved for

  // [stages]
  bool order_stages = true;  // change the stages of engines to suit the traffic
  // Share of prefill engines against that of an even load. A burst meets the prefill engines first: prompts arrive at
  // once, while decode memory fills over seconds.
  double prefill_weight = 1.2;
  milliseconds stage_settle = milliseconds(1'500);  // the set of engines must be unchanged this long before an order

  // [stop]
  milliseconds stop_announce =
      milliseconds(3'000);                        // still takes new requests this long, until the balancer has noticed
  milliseconds stop_reserve = milliseconds(700);  // of the platform's grace, kept for the end of the process

  bool operator==(const direct_settings&) const = default;
};

// Binds the keys of the INI file.
void BindDirectSettings(settings_binder& bind, direct_settings& settings);

}  // namespace persimmon
