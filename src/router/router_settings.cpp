#include "router/router_settings.h"

namespace persimmon {

void BindRouterSettings(settings_binder& bind, router_settings& settings) {
  constexpr milliseconds kMinute(60'000);
  bind.Text("process", "name", settings.name, presence::kRequired);
  bind.Text("process", "zone", settings.zone, presence::kRequired);

  bind.Address("listen", "http", settings.http, presence::kRequired);
  bind.Address("listen", "channel", settings.channel, presence::kRequired);
  bind.Address("listen", "datagram", settings.datagram, presence::kRequired);

  bind.AddressList("platform", "table_servers", settings.table_servers, presence::kRequired);
  bind.Duration("platform", "table_timeout_ms", settings.table_timeout, milliseconds(10), kMinute);
  bind.Duration("platform", "poll_period_ms", settings.poll_period, milliseconds(50), kMinute);

  bind.Text("peers", "secret", settings.secret, presence::kRequired);
  bind.TextList("peers", "allowed_hosts", settings.allowed_hosts);
  bind.AddressList("peers", "routers", settings.routers);
  bind.Number("peers", "config_peers", settings.config_peers, 1, 16);

  bind.Flag("accounts", "required", settings.accounts_required);

  bind.Number("limits", "header_bytes", settings.header_bytes, 1'024, 1 << 20);
  bind.Number("limits", "body_bytes", settings.body_bytes, 1'024, 8 << 20);
  bind.Number("limits", "connections", settings.connections, 1, 100'000);
  bind.Number("limits", "memory_mb", settings.memory_mb, 32, 1 << 20);
  bind.Duration("limits", "read_timeout_ms", settings.read_timeout, milliseconds(100), 10 * kMinute);

  bind.Choice("policy", "mode", settings.mode, {"full", "round_robin", "least_load"});
  bind.Number("policy", "endpoints_per_pool", settings.endpoints_per_pool, 1, 10'000);
  bind.Duration("policy", "reply_timeout_ms", settings.reply_timeout, milliseconds(10), kMinute);
  bind.Duration("policy", "progress_timeout_ms", settings.progress_timeout, milliseconds(100), kMinute);
  bind.Number("policy", "max_retries", settings.max_retries, 0, 10);
  bind.Real("policy", "retry_share", settings.retry_share, 0, 1);

  bind.Duration("stop", "grace_ms", settings.stop_grace, milliseconds(0), kMinute);
  bind.Duration("stop", "limit_ms", settings.stop_limit, milliseconds(100), 60 * kMinute);

  bind.Duration("test", "pause_before_send_ms", settings.pause_before_send, milliseconds(0), kMinute);

  bind.Text("trace", "file", settings.trace_file);
}

policy_mode ParsePolicyMode(const std::string& text) {
  if (text == "round_robin") {
    return policy_mode::kRoundRobin;
  }
  if (text == "least_load") {
    return policy_mode::kLeastLoad;
  }
  return policy_mode::kFull;
}

}  // namespace persimmon
