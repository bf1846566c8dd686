// Channels to other routers: configuration snapshots, suspects, lending of account limits, batches of claims.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/kernel.h"
#include "net/channel.h"
#include "router/router_settings.h"
#include "store/config_store.h"
#include "store/vm_list.h"

namespace persimmon {

class peer_directory {
 public:
  using message_listener = std::function<void(const channel_ptr&, const message&)>;

  peer_directory(kernel& services, const router_settings& settings, channel_handlers base_handlers);

  void Start();
  void Stop();

  // Names of all routers, this one included, sorted: those of the VM list that are not gone, or, before the list has
  // been read, those with an open channel. Hashing over the list keeps all routers agreed while a channel is down.
  std::vector<std::string> RouterNames() const;

  // This router and those with an open channel, sorted.
  std::vector<std::string> ConnectedRouters() const;

  // Returns false if there is no open channel to the router; nothing was sent then.
  bool Send(const std::string& router, const message& value);

  // Sends to every router with an open channel.
  void Broadcast(const message& value);

  // Calls the function for every message of a router, heartbeats included.
  void SubscribeMessages(message_listener on_message) { listeners_.push_back(std::move(on_message)); }

  // Connects to a router that is not among the settings. Repeating an address has no effect.
  void AddRouter(const host_port& address);

 private:
  void ApplyVmList(const std::vector<listed_vm>& list);
  void HandleOpen(const channel_ptr& opened);
  void HandleClose(const channel_ptr& closed);
  void HandleMessage(const channel_ptr& from, const message& value);

  kernel& kernel_;
  const router_settings& settings_;
  channel_handlers handlers_;
  std::unique_ptr<channel_listener> listener_;
  std::map<host_port, std::unique_ptr<channel_connector>> connectors_;
  std::map<std::string, std::vector<channel_ptr>> open_;  // by name; both sides may have opened one
  std::vector<std::string> listed_;                       // router names of the VM list
  std::vector<message_listener> listeners_;
};

}  // namespace persimmon
