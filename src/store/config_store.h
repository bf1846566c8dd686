// The configuration in force: polls the table service, takes snapshots from peers, never goes back to a lower revision.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/timers.h"
#include "net/wire.h"
#include "persimmon/records.h"
#include "platform/table_client.h"

namespace persimmon {

inline constexpr const char* kConfigTable = "config";
inline constexpr const char* kHeadKey = "head";  // {"revision": N}

struct config_store_settings {
  bool poll_store = true;                               // routers poll; agents only while no router is connected
  milliseconds poll_period = milliseconds(1'000);       // spread by a jitter of a quarter
  std::size_t peers_needed = 2;                         // snapshots needed to start while the store is out
  milliseconds peer_wait = milliseconds(200);           // then further snapshots are awaited for this long
  milliseconds single_zone_wait = milliseconds(1'000);  // the same while all peers are in one availability zone

  bool operator==(const config_store_settings&) const = default;
};

// Reads {"revision": N}. Errors: kProtocol.
result<revision_number> ReadHeadRevision(const std::string& value);

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
  void Subscribe(const listener& on_change);

  // For peers: the snapshot to send to a process that has the given revision.
  config_snapshot MakeSnapshot(revision_number have) const;

  // From peers. A revision that is not higher than the one in force is ignored. While none is in force, snapshots count
  // only once the store has been found to be out: the highest of peers_needed peers is then taken. The name and the
  // availability zone are those of the peer's hello.
  void OfferSnapshot(const std::string& peer, const config_snapshot& snapshot, const std::string& zone = {});

  // Turns polling of the store on or off. Agents poll only while no router is connected. Until a configuration is in
  // force, the store is polled in any case.
  void SetPolling(bool enabled);

  // Sets how many peers' snapshots are needed to start while the store is out; for a deployment with fewer routers than
  // the setting asks for.
  void SetPeersNeeded(std::size_t count);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
