#include "direct/direct_settings.h"

#include <algorithm>

namespace persimmon {

feed_limits LimitFeed(const direct_settings& settings, milliseconds blind_limit) {
  return {std::min(settings.feed_wait, blind_limit / 2), std::min(settings.store_timeout, blind_limit / 4)};
}

void BindDirectSettings(settings_binder& bind, direct_settings& settings) {
  constexpr milliseconds kMillisecond(1);
  constexpr milliseconds kMinute(60'000);
  const auto duration = [&](const char* section, const char* key, milliseconds& target) {
    bind.Duration(section, key, target, kMillisecond, kMinute);
  };
  bind.Choice("policy", "adaptive", settings.adaptive, {"auto", "on", "off"});
  duration("store", "timeout_ms", settings.store_timeout);
  duration("store", "feed_wait_ms", settings.feed_wait);
  duration("endpoints", "connect_timeout_ms", settings.connect_timeout);
  duration("endpoints", "reuse_limit_ms", settings.reuse_limit);
  bind.Number("endpoints", "idle_connections", settings.idle_connections, 0, 1'000);
  duration("endpoints", "down_pause_ms", settings.down_pause);
  duration("endpoints", "down_pause_limit_ms", settings.down_pause_limit);
  bind.Real("plain", "second_try_share", settings.second_try_share, 0.05, 10);
  bind.Real("plain", "probe_share", settings.probe_share, 0, 0.5);
  duration("plain", "slow_memory_ms", settings.slow_memory);
  duration("plain", "load_memory_ms", settings.load_memory);
  duration("plain", "retry_after_ms", settings.plain_retry_after);
  duration("model", "reserve_timeout_ms", settings.reserve_timeout);
  duration("model", "reservation_time_ms", settings.reservation_time);
  duration("model", "refused_pause_ms", settings.refused_pause);
  duration("model", "transfer_time_ms", settings.transfer_time);
  duration("model", "late_wait_ms", settings.late_wait);
  duration("model", "late_retry_ms", settings.overload_retry_after);
  bind.Duration("model", "urgent_reserve_ms", settings.urgent_reserve, milliseconds(0), kMinute);
  bind.Duration("model", "share_window_ms", settings.share_window, milliseconds(1'000), kMinute);
  bind.Flag("model", "refuse_at_once", settings.refuse_at_once);
  bind.Number("model", "prefill_backlog_tokens", settings.max_prefill_backlog, 0, 1'000'000);
  bind.Number("model", "own_prompt_limit_tokens", settings.local_prefill_limit, 0, 1'000'000);
  duration("model", "stall_limit_ms", settings.stall_limit);
  bind.Flag("cache", "weigh_caches", settings.weigh_caches);
  duration("cache", "max_age_ms", settings.cache_max_age);
  duration("cache", "prefilled_lifetime_ms", settings.prefilled_lifetime);
  bind.Number("cache", "prefilled_datagrams_per_s", settings.prefilled_datagrams, 0, 1'000);
  duration("cache", "fetch_time_ms", settings.fetch_time);
  bind.Flag("stages", "order_stages", settings.order_stages);
  bind.Real("stages", "prefill_weight", settings.prefill_weight, 0.1, 10);
  duration("stages", "stage_settle_ms", settings.stage_settle);
  duration("stop", "announce_ms", settings.stop_announce);
  duration("stop", "reserve_ms", settings.stop_reserve);
}

}  // namespace persimmon
