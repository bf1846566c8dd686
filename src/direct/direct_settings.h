// Settings of a router that sends requests directly to the endpoints, without agents. The struct documents the INI
// file: each field corresponds to one key and holds the default for a missing key.
#pragma once

#include "core/settings.h"
#include "persimmon/kv_placement.h"
#include "platform/settings.h"

namespace persimmon {

struct direct_settings {
  platform::deployment_settings deployment;  // read from the platform's settings file, not from the INI file

  // [policy]
  // Whether services use the adaptive policy (docs/load-control.md, section 1): "on", "off", or "auto" to decide for
  // each service.
  std::string adaptive = "auto";

  // [store]
  // Of one call; an unresponsive connection is detected after this time.
  milliseconds store_timeout = milliseconds(1'000);
  // Upper limit of one long poll of a change feed. Shorter where the deployment's bounds require that a silent
  // connection is detected earlier (LimitFeed).
  milliseconds feed_wait = milliseconds(2'500);

  // [endpoints]
  milliseconds connect_timeout = milliseconds(300);  // far above the few milliseconds of latency between zones
  milliseconds reuse_limit = milliseconds(2'000);    // idle time after which a pooled connection is not reused
  std::int64_t idle_connections = 12;                // pooled connections per endpoint
  // Time for which requests avoid an endpoint after a failed connection attempt or a rejected request; doubles up to
  // down_pause_limit.
  milliseconds down_pause = milliseconds(500);
  milliseconds down_pause_limit = milliseconds(4'000);

  // [plain]
  // Fraction of the target latency after which an idempotent call is also sent to another endpoint. The first attempt
  // then ends; with the adaptive policy it goes on, and the fraction is a minimum (attempt_schedule).
  double second_try_share = 0.75;
  // Only with the adaptive policy; see estimate_settings.
  double probe_share = 0.03;                           // share of the calls that disregard the estimates
  milliseconds slow_memory = milliseconds(400);        // time constant of what is known about the speed of an endpoint
  milliseconds load_memory = milliseconds(150);        // time constant of a reported number of requests
  milliseconds plain_retry_after = milliseconds(300);  // base Retry-After of a refusal; jitter adds up to 100%

  // [model]
  milliseconds reserve_timeout = milliseconds(250);     // for the response of an engine to a reservation request
  milliseconds reservation_time = milliseconds(2'000);  // lifetime of a reservation that no request uses yet
  // Time for which an engine that has refused a reservation is not asked for as much memory again.
  milliseconds refused_pause = milliseconds(40);
  // Time budgeted from the end of a prefill to the first event; the median is 150 ms and the 90th percentile 400 ms
  // outside bursts. A request that starts too late for this budget usually misses its latency target.
  milliseconds transfer_time = milliseconds(300);
  // How long a request that can no longer meet its target may wait for capacity. Callers are expected to disconnect
  // after 3.6 s without an event.
  // With the adaptive policy, this holds for routes whose callers do so after 3.6 s, and is scaled for others.
  milliseconds late_wait = milliseconds(2'500);
  // Base Retry-After of a refusal for lack of capacity; jitter adds up to 100%.
  milliseconds overload_retry_after = milliseconds(1'500);
  // Only with the adaptive policy: less urgent requests leave as much decode memory and prefill backlog free as more
  // urgent ones use in this time; 0: none. In simulated bursts, 2 s served 94% of the urgent requests in time, 0.5 s
  // 91% and 0 s 86%.
  milliseconds urgent_reserve = milliseconds(500);
  // Only with the adaptive policy: time over which it is measured how often levels of urgency and accounts are served.
  milliseconds share_window = milliseconds(10'000);
  // Only with the adaptive policy: refuse a request at once if its predicted wait is longer than it may wait.
  bool refuse_at_once = true;
  std::int64_t max_prefill_backlog = 7'000;  // a prefill engine with more pending prompt tokens gets no new prompts
  // Longest prompt, in tokens, that a decode engine prefills itself while the prefill engines are busy. Such a prefill
  // pauses the engine's streams. At 12 tokens per millisecond, the rate of a slow engine that also decodes, it takes
  // 200 ms, which keeps the gap between events below 300 ms.
  std::int64_t local_prefill_limit = 2'400;
  milliseconds stall_limit = milliseconds(2'000);  // a resumable stream without data for this long is resumed on
                                                   // another engine

  // [cache]; only for services that use the adaptive policy
  bool weigh_caches = true;  // weigh cached prompts and the speeds of engines, and check prefills before they are sent
  milliseconds cache_max_age = milliseconds(30'000);  // of a hint on a cached part, since its last use
  // How long a prompt that was read for a request without a response is remembered; callers retry within seconds.
  milliseconds prefilled_lifetime = milliseconds(5'000);
  // Datagrams per second for telling other routers of such prompts. 20 take about 2 KB/s of the 13 KB/s that the
  // control traffic of a router may use.
  std::int64_t prefilled_datagrams = 20;
  milliseconds fetch_time = milliseconds(20);  // for a decode engine to fetch the KV cache of a prefill

  // [stages]
  bool order_stages = true;  // switch engines between prefill and decode to follow the traffic
  // Multiplier for the number of prefill engines that a constant load needs. A burst loads the prefill engines first:
  // its prompts arrive at once, while decode memory fills over seconds.
  double prefill_weight = 1.2;
  milliseconds stage_settle = milliseconds(1'500);  // the set of engines must be stable for this long before an order

  // [stop]
  milliseconds stop_announce = milliseconds(3'000);  // new requests are accepted until the load balancer reacts
  milliseconds stop_reserve = milliseconds(700);     // part of the platform's grace period reserved for process exit

  bool operator==(const direct_settings&) const = default;
};

// Time limits of the long polls of one change feed.
struct feed_limits {
  milliseconds wait{0};          // time for which the store may hold a poll
  milliseconds answer_limit{0};  // additional time until the connection counts as silent

  bool operator==(const feed_limits&) const = default;
};

// Limits with which a change is known within `blind_limit` although the connection goes silent right before it: half of
// that time for the poll, a quarter for its answer, and the rest for a new connection and for what is then done.
feed_limits LimitFeed(const direct_settings& settings, milliseconds blind_limit);

// Binds the keys of the INI file.
void BindDirectSettings(settings_binder& bind, direct_settings& settings);

}  // namespace persimmon
