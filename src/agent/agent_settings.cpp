#include "agent/agent_settings.h"

namespace persimmon {

void BindAgentSettings(settings_binder& bind, agent_settings& settings) {
  bind.Text("process", "name", settings.name, presence::kRequired);
  bind.Text("process", "zone", settings.zone, presence::kRequired);
  bind.Text("peers", "secret", settings.secret, presence::kRequired);
  bind.TextList("peers", "allowed_hosts", settings.allowed_hosts);
  bind.AddressList("platform", "table_servers", settings.table_servers, presence::kRequired);
  bind.Duration("platform", "table_timeout_ms", settings.table_timeout, milliseconds(50), milliseconds(30'000));
  bind.Number("platform", "peers_needed", settings.peers_needed, 1, 100);
  bind.Text("trace", "file", settings.trace_file);
  bind.Address("listen", "channel", settings.channel, presence::kRequired);
  bind.Choice("endpoint", "kind", settings.kind, {"engine", "service"});
  bind.Address("endpoint", "engine", settings.engine);
  bind.Address("endpoint", "service", settings.service);
  bind.Duration("slots", "bid_window_ms", settings.bid_window, milliseconds(0), milliseconds(100));
  bind.Duration("slots", "lookahead_ms", settings.lookahead, milliseconds(0), milliseconds(1'000));
  bind.Number("slots", "transfers_at_once", settings.transfers_at_once, 1, 1'000);
  bind.Duration("slots", "piece_time_ms", settings.piece_time, milliseconds(0), milliseconds(10'000));
  bind.Flag("slots", "accept_unreserved", settings.accept_unreserved);
  bind.Number("slots", "service_calls", settings.service_calls, 1, 100'000);
  bind.Duration("limits", "report_period_ms", settings.report_period, milliseconds(20), milliseconds(10'000));
  bind.Duration("limits", "router_silence_ms", settings.router_silence, milliseconds(300), milliseconds(60'000));
  bind.Duration("limits", "stream_timeout_ms", settings.stream_timeout, milliseconds(100), milliseconds(60'000));
  bind.Duration("limits", "poll_period_ms", settings.poll_period, milliseconds(20), milliseconds(10'000));
  bind.Number("limits", "answer_bytes", settings.answer_bytes, 0, 1LL << 32U);
  bind.Duration("limits", "answer_retention_ms", settings.answer_retention, milliseconds(0), milliseconds(86'400'000));
  bind.Duration("limits", "stop_grace_ms", settings.stop_grace, milliseconds(0), milliseconds(10'000));
  const bool is_engine = settings.kind == "engine";
  const host_port& address = is_engine ? settings.engine : settings.service;
  if (address.port == 0) {
    bind.AddFinding("endpoint", is_engine ? "engine" : "service",
                    "an address with a port is required for kind = " + settings.kind);
  }
}

}  // namespace persimmon
