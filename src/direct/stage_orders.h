// Adjusts the number of prefill and decode engines to the traffic by sending stage orders. A service of the kernel.
//
// Only the router that holds the lease of a service sends orders. The lease is a row of the store, whose version is the
// fencing token of the orders. The holder renews the row before each round and sends all orders of the round at once.
// Another router takes over the lease if the row has not changed for twice the lease time, so that at least the lease
// time passes between the orders of two holders.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/kernel.h"
#include "direct/directory.h"
#include "direct/endpoint_tracker.h"
#include "persimmon/stage_plan.h"
#include "platform/table_client.h"

namespace persimmon {

class stage_orders {
 public:
  stage_orders(kernel& services, const direct_settings& settings, http_client& client, table_client table);

  void Start();
  void Stop();

  // Stops sending orders; called when the router begins to stop.
  void StartLeaving() { leaving_ = true; }

 private:
  task<> Run();
  task<> RunRound(service_record service);
  // Returns the fencing token for one round of orders, or nothing if the lease could not be acquired.
  task<std::optional<std::uint64_t>> AcquireLease(const std::string& service);
  // Returns false if the engine has already accepted a higher fencing token.
  task<bool> SendOrder(service_record service, chosen_endpoint engine, endpoint_role role, std::uint64_t fencing_token,
                       time_point lease_begin);

  kernel& kernel_;
  const direct_settings& settings_;
  http_client& client_;
  table_client table_;
  deployment_directory* directory_ = nullptr;
  endpoint_tracker* endpoint_tracker_ = nullptr;
  std::map<std::string, stage_planner> planners_;  // by service
  std::map<std::string, lease_watch> leases_;      // by service
  bool leaving_ = false;
  bool stopped_ = false;
};

}  // namespace persimmon
