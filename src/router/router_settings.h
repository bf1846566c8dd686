// Settings of persimmon-router. The comments in the struct document the INI file: [section], key, meaning, unit; the
// initializers are the defaults.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/settings.h"

namespace persimmon {

enum class policy_mode : std::uint8_t {
  kFull,        // admission control, queue ordered by latest start, reservation of both slots
  kRoundRobin,  // benchmark baseline: round robin, no admission control, no reservation
  kLeastLoad,   // benchmark baseline: least reported load, no admission control, no reservation
};

struct router_settings {
  // [process]
  std::string name;  // name: unique among all routers; required
  std::string zone;  // zone: availability zone of this VM; required

  // [listen]
  host_port http;      // http: HTTP server for callers, IP:PORT; required
  host_port channel;   // channel: for other routers and persimmonctl, IP:PORT; required
  host_port datagram;  // datagram: for load reports from agents, IP:PORT; required

  // [platform]
  std::vector<host_port> table_servers;              // table_servers: table service, IP:PORT, ...; required
  milliseconds table_timeout = milliseconds(2'000);  // table_timeout_ms: timeout of one call
  milliseconds poll_period = milliseconds(1'000);    // poll_period_ms: time between reads of the latest revision

  // [peers]
  std::string secret;                      // secret: shared secret of the deployment; required
  std::vector<std::string> allowed_hosts;  // allowed_hosts: IP addresses that may connect; empty: any
  std::vector<host_port> routers;          // routers: channel addresses of other routers, in addition to the VM list
  std::int64_t config_peers = 2;           // config_peers: snapshots required to start without the store

  // [accounts]
  bool accounts_required = true;  // required: refuse requests without an API key

  // [limits]
  std::int64_t header_bytes = 16'384;                // header_bytes: maximum header size of a request
  std::int64_t body_bytes = 4 << 20;                 // body_bytes: maximum body size of a request
  std::int64_t connections = 4'096;                  // connections: maximum number of connections of all callers
  std::int64_t memory_mb = 256;                      // memory_mb: memory of this process, MiB; bounds what callers use
  milliseconds read_timeout = milliseconds(10'000);  // read_timeout_ms: time to read one complete request

  // [policy]
  std::string mode = "full";                            // mode: full, round_robin or least_load
  std::int64_t endpoints_per_pool = 64;                 // endpoints_per_pool: endpoints watched per pool and role
  milliseconds reply_timeout = milliseconds(400);       // reply_timeout_ms: for an agent's reply to a reservation
  milliseconds progress_timeout = milliseconds(3'000);  // progress_timeout_ms: maximum time between progress messages
  std::int64_t max_retries = 3;                         // max_retries: maximum retries of one request
  double retry_share = 0.1;                             // retry_share: maximum ratio of retries to first attempts

  // [stop]
  milliseconds stop_grace = milliseconds(1'000);    // grace_ms: for load balancers, still accepts connections this long
                                                    // after reporting not ready
  milliseconds stop_limit = milliseconds(120'000);  // limit_ms: after this, requests in progress are aborted

  // [test]
  milliseconds pause_before_send = milliseconds(0);  // pause_before_send_ms: delay between claim and send

  // [trace]
  std::string trace_file;  // file: trace output, OTLP JSON lines; empty: no traces

  bool operator==(const router_settings&) const = default;
};

// Binds every field to its INI section and key.
void BindRouterSettings(settings_binder& bind, router_settings& settings);

// Parses a validated value of [policy] mode.
policy_mode ParsePolicyMode(const std::string& text);

}  // namespace persimmon
