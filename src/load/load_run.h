// One run of the load generator. The load is open-loop: every request starts at its planned time, whether or not
// earlier ones have been answered.
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
  std::vector<host_port> services;  // fake services whose call counts are verified after the run; may be empty
  std::string api_key;              // empty: no Authorization header
  double timeout_s = 30;            // time limit for one answer
  latency_targets latency;
  bool show_progress = true;  // print one line per second to standard error

  bool operator==(const load_run_settings&) const = default;
};

// Sends the traffic, waits for the last answer and verifies the services' call counts. Runs its own io_context, so the
// call blocks until the run is complete.
load_summary RunLoad(const load_run_settings& settings);

}  // namespace persimmon
