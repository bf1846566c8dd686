// Settings of persimmon-router. The struct is the manual: section and key in INI, meaning, unit, default.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/settings.h"

namespace persimmon {

enum class policy_mode : std::uint8_t {
  kFull,        // queue by latest start, admission, reservation of both slots
  kRoundRobin,  // baseline for measurements: endpoints in turn, no admission, no reservation
  kLeastLoad,   // baseline for measurements: least reported load, no admission, no reservation
};

struct router_settings {
  // [process]
  std::string name;  // name: unique among routers; required
  std::string zone;  // zone: availability zone of this VM; required

  // [listen]
  host_port http;      // http: callers, IP:PORT; required
  host_port channel;   // channel: other routers and persimmonctl, IP:PORT; required
  host_port datagram;  // datagram: load reports of agents, IP:PORT; required

  // [platform]
  std::vector<host_port> table_servers;              // table_servers: table service, IP:PORT, ...; required
  milliseconds table_timeout = milliseconds(2'000);  // table_timeout_ms: for one call
  milliseconds poll_period = milliseconds(1'000);    // poll_period_ms: between reads of the head revision

  // [peers]
  std::string secret;                      // secret: shared by all processes of a deployment; required
  std::vector<std::string> allowed_hosts;  // allowed_hosts: IP numbers that may connect; empty: any
  std::vector<host_port> routers;          // routers: channels of other routers, besides the VM list
  std::int64_t config_peers = 2;           // config_peers: snapshots needed to start without the store

  // [accounts]
  bool accounts_required = true;  // required: refuse callers without an API key

  // [limits]
  std::int64_t header_bytes = 16'384;                // header_bytes: of one request
  std::int64_t body_bytes = 4 << 20;                 // body_bytes: of one request
  std::int64_t connections = 4'096;                  // connections: of all callers
  milliseconds read_timeout = milliseconds(10'000);  // read_timeout_ms: for one whole request

  // [policy]
  std::string mode = "full";                            // mode: full, round_robin or least_load
  std::int64_t endpoints_per_pool = 64;                 // endpoints_per_pool: endpoints watched per pool and role
  milliseconds reply_timeout = milliseconds(400);       // reply_timeout_ms: for an agent's answer to a reservation
  milliseconds progress_timeout = milliseconds(3'000);  // progress_timeout_ms: between two messages of running work
  std::int64_t max_retries = 3;                         // max_retries: further tries of one request
  double retry_share = 0.1;                             // retry_share: retries per first try, over all requests

  // [stop]
  milliseconds stop_grace = milliseconds(1'000);    // grace_ms: not ready but still accepting, for the balancer
  milliseconds stop_limit = milliseconds(120'000);  // limit_ms: then requests in progress are given up

  // [test]
  milliseconds pause_before_send = milliseconds(0);  // pause_before_send_ms: between a claim and its call, for tests

  // [trace]
  std::string trace_file;  // file: OTLP JSON lines; empty: none

  bool operator==(const router_settings&) const = default;
};

// Binds every field to its section and key.
void BindRouterSettings(settings_binder& bind, router_settings& settings);

policy_mode ParsePolicyMode(const std::string& text);

}  // namespace persimmon
