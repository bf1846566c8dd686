// Monitors which revision is in force in each process, over one channel to every router and agent.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/timers.h"
#include "net/channel.h"
#include "persimmon/records.h"
#include "store/vm_list.h"

namespace persimmon {

struct process_target {
  std::string program;  // "router" or "agent"
  std::string name;
  std::string zone;
  host_port address;
  vm_phase phase = vm_phase::kLive;

  bool operator==(const process_target&) const = default;
};

struct process_view {
  process_target target;
  bool is_connected = false;
  bool is_leaving = false;  // reported by the VM list or by its heartbeat
  revision_number revision = 0;
  incarnation_number incarnation = 0;
  std::string problem;  // why the revision is unknown; empty: connected

  bool operator==(const process_view&) const = default;
};

// Returns the routers of the VM list and the agents of the endpoint records, without those whose VM is gone.
std::vector<process_target> ListProcesses(const std::vector<listed_vm>& vms, const configuration& records);

// True if at least one process is connected and every live process has the revision or a higher one in force. A leaving
// process that cannot be reached has exited and is ignored.
bool IsInForceEverywhere(const std::vector<process_view>& views, revision_number revision);

// Keeps one channel to every target and records the revisions that they report.
class fleet_monitor {
 public:
  fleet_monitor(asio::io_context& context, std::string secret, channel_settings settings);
  ~fleet_monitor();

  // Opens channels to new targets and closes the channels to targets that are no longer listed.
  void SetTargets(const std::vector<process_target>& targets);

  std::vector<process_view> Views() const;

  // True if every target has either connected or not answered within the connect timeout.
  bool HasTriedAll() const;

 private:
  struct entry;
  asio::io_context& context_;
  std::string secret_;
  std::string name_;
  channel_settings settings_;
  std::map<std::string, std::shared_ptr<entry>> entries_;  // by address
};

}  // namespace persimmon
