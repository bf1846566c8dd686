// The configuration in force: polls the table service, takes snapshots from peers, never goes back to a lower revision.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "core/timers.h"
#include "net/wire.h"
#include "persimmon/records.h"
#include "platform/table_client.h"

namespace persimmon {

struct config_store_settings {
  bool poll_store = true;                          // routers poll; agents only while no router is connected
  milliseconds poll_period = milliseconds(1'000);  // spread by a jitter of a quarter
  std::size_t peers_needed = 2;                    // snapshots needed to start while the store is out

  bool operator==(const config_store_settings&) const = default;
};

// A service of the kernel.
class config_store {
 public:
  using listener = std::function<void(const std::shared_ptr<const configuration>&)>;

  config_store(timer_service& timers, asio::io_context& context, table_client& table, config_store_settings settings);

  void Start();
  void Stop();

  // Never null; revision 0 and no records before the first configuration is in force.
  std::shared_ptr<const configuration> Current() const;
  revision_number Revision() const;
  bool IsInForce() const;  // a configuration has been applied

  // Calls the function after every change of the configuration, and at once if one is in force.
  void Subscribe(listener on_change);

  // For peers: the snapshot to send to a process that has the given revision.
  config_snapshot MakeSnapshot(revision_number have) const;

  // From peers. A lower revision than the one in force is ignored. While none is in force and the store is out, the
  // highest of peers_needed snapshots is taken.
  void OfferSnapshot(const std::string& peer, const config_snapshot& snapshot);

  // Turns polling of the store on or off. Agents poll only while no router is connected.
  void SetPolling(bool enabled);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
