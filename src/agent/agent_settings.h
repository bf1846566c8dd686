// Settings of persimmon-agent. config/agent.ini shows every key with its meaning.
#pragma once

#include <string>
#include <vector>

#include "core/settings.h"
#include "persimmon/types.h"

namespace persimmon {

struct agent_settings {
  // [process]
  std::string name;  // name of the endpoint record
  std::string zone;  // availability zone

  // [peers]
  std::string secret;
  std::vector<std::string> allowed_hosts;  // IP addresses of routers; empty: any

  // [platform]
  std::vector<host_port> table_servers;
  milliseconds table_timeout = milliseconds(1'000);
  std::int64_t peers_needed = 2;  // routers whose snapshots are needed to start while the store is unavailable

  // [trace]
  std::string trace_file;  // empty: no spans are written

  // [listen]
  host_port channel;

  // [endpoint]
  std::string kind = "engine";  // "engine" or "service"
  host_port engine;             // address of the engine, if kind is "engine"
  host_port service;            // address of the service, if kind is "service"

  // [slots]
  milliseconds bid_window = milliseconds(4);
  milliseconds lookahead = milliseconds(20);
  std::int64_t transfers_at_once = 4;  // concurrent transfers on the network link
  // Expected transfer time of one piece of 2,000 tokens. While slots are scarce, a decode is sent to its engine earlier
  // by this time for each piece.
  milliseconds piece_time = milliseconds(60);
  bool accept_unreserved = false;    // work without a reservation queues for a slot instead of failing
  std::int64_t service_calls = 256;  // calls in progress; more are refused as busy

  // [limits]
  milliseconds report_period = milliseconds(250);     // load reports
  milliseconds router_silence = milliseconds(1'500);  // a router silent for this long loses its work and slots
  milliseconds stream_timeout = milliseconds(3'000);  // an engine stream fails if no line arrives for this long
  milliseconds poll_period = milliseconds(250);       // polling of the engine's state
  std::int64_t answer_bytes = 8 << 20;                // total size of the stored answers of plain calls
  milliseconds answer_retention = milliseconds(300'000);
  milliseconds stop_grace = milliseconds(300);  // between the end of the last work and the exit

  bool operator==(const agent_settings&) const = default;
};

void BindAgentSettings(settings_binder& bind, agent_settings& settings);

}  // namespace persimmon
