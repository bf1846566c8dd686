// Channels to the other routers. They carry configuration snapshots, reports of suspects, loans of account tokens and
// batches of claims.
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

  // Sorted names of all routers, including this one: those in the VM list that are not gone, or those with an open
  // channel while the list has not been read yet. Using the list keeps hashing consistent across routers when a channel
  // is down.
  std::vector<std::string> KnownRouters() const;

  // Sorted names of this router and of those with an open channel.
  std::vector<std::string> ConnectedRouters() const;

  // Sends a message to the router. Returns false, without sending, if no channel to it is open.
  bool Send(const std::string& router, const message& value);

  // Sends a message to every router with an open channel.
  void Broadcast(const message& value);

  // Calls the function for every message from another router, including heartbeats.
  void SubscribeMessages(message_listener on_message) { listeners_.push_back(std::move(on_message)); }

  // Calls the function for every channel that is opened to another router.
  void SubscribeOpens(std::function<void(const channel_ptr&)> on_open) {
    open_listeners_.push_back(std::move(on_open));
  }

  // Connects to a router. Has no effect if the address is known already or is this router's own.
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
  std::map<std::string, std::vector<channel_ptr>> open_channels_;  // by router name; both sides may have opened one
  std::vector<std::string> listed_routers_;                        // router names of the VM list
  std::vector<message_listener> listeners_;
  std::vector<std::function<void(const channel_ptr&)>> open_listeners_;
};

}  // namespace persimmon
