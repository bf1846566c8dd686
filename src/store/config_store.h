// The configuration in force: polled from the table service or taken from peers. Its revision never decreases.
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
  bool poll_store = true;                               // routers: always; agents: while no router is connected
  milliseconds poll_period = milliseconds(1'000);       // with a jitter of 25 %
  std::size_t peers_needed = 2;                         // snapshots needed to start while the store is unavailable
  milliseconds peer_wait = milliseconds(200);           // how long to wait for further snapshots after that
  milliseconds single_zone_wait = milliseconds(1'000);  // the same if all peers are in one availability zone

  bool operator==(const config_store_settings&) const = default;
};

// Parses {"revision": N}. Errors: kProtocol.
result<revision_number> ReadHeadRevision(const std::string& value);

// A kernel service.
class config_store {
 public:
  using listener = std::function<void(const std::shared_ptr<const configuration>&)>;

  config_store(timer_service& timers, asio::io_context& context, table_client& table, config_store_settings settings);

  void Start();
  void Stop();

  // Never null. Until the first configuration is in force: revision 0 without records.
  std::shared_ptr<const configuration> Current() const;
  revision_number Revision() const;
  bool IsInForce() const;  // whether a configuration has been applied

  // Calls on_change after every change of the configuration, and immediately if one is in force.
  void Subscribe(const listener& on_change);

  // Returns the snapshot to send to a peer that has the given revision. Without records if the peer is up to date.
  config_snapshot MakeSnapshot(revision_number have) const;

  // Handles a snapshot from a peer; peer and zone (availability zone) come from the peer's hello. A revision that is
  // not higher than the one in force is ignored. While no configuration is in force, snapshots are used only after a
  // read of the store has failed: the highest revision of at least peers_needed peers is then applied.
  void OfferSnapshot(const std::string& peer, const config_snapshot& snapshot, const std::string& zone = {});

  // Enables or disables polling of the store. Agents poll only while no router is connected. Until a configuration is
  // in force, the store is always polled.
  void SetPolling(bool enabled);

  // Sets the number of peer snapshots needed to start while the store is unavailable. For deployments with fewer
  // routers than peers_needed.
  void SetPeersNeeded(std::size_t count);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
