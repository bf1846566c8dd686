// One run of the load generator: starts every request at its time, whatever has become of those before it.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "core/settings.h"
#include "core/timers.h"
#include "load/report.h"
#include "load/traffic.h"

namespace persimmon {

struct load_run_settings {
  traffic_settings traffic;
  std::vector<host_port> targets;   // HTTP addresses of the routers
  std::vector<host_port> services;  // fake services whose calls are counted after the run; may be empty
  std::string api_key;              // empty: no Authorization header
  double timeout_s = 30;            // for one answer
  latency_targets latency;
  bool show_progress = true;  // one line per second on standard error

  bool operator==(const load_run_settings&) const = default;
};

// Sends the traffic, waits for the last answer, checks the services' calls. Runs an io_context of its own.
load_summary RunLoad(const load_run_settings& settings);

}  // namespace persimmon
