// Keeps prefill and decode engines in proportion to the traffic, by orders to the engines. A service of the kernel.
//
// One router at a time gives orders. It holds a row of the store whose version is the fence of its orders; it renews
// the row before each round, and gives the orders of a round at once. Another router takes the row over when it has not
// changed for twice the lease time.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/kernel.h"
#include "direct/directory.h"
#include "direct/endpoint_board.h"
#include "persimmon/stage_plan.h"
#include "platform/table_client.h"

namespace persimmon {

class stage_orders {
 public:
  stage_orders(kernel& services, const direct_settings& settings, http_client& client, table_client table);

  void Start();
  void Stop();

  // A stopping router gives no more orders.
  void NoteLeaving() { leaving_ = true; }

 private:
  task<> Run();
  task<> Round(service_record service);
  // The fence for one round of orders, or nothing if another router holds the row.
  task<std::optional<std::uint64_t>> TakeLease(const std::string& service);
  // False if a higher fence has been used.
  task<bool> GiveOrder(service_record service, chosen_endpoint engine, endpoint_role role, std::uint64_t fence);

  kernel& kernel_;
  const direct_settings& settings_;
  http_client& client_;
  table_client table_;
  deployment_directory* directory_ = nullptr;
  endpoint_board* board_ = nullptr;
  std::map<std::string, stage_planner> planners_;  // by service
  std::map<std::string, lease_watch> leases_;      // by service
  bool leaving_ = false;
  bool stopped_ = false;
};

}  // namespace persimmon
