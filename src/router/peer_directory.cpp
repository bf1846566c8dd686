#include "router/peer_directory.h"

#include <algorithm>

#include "core/log.h"

namespace persimmon {

peer_directory::peer_directory(kernel& services, const router_settings& settings, channel_handlers base_handlers)
    : kernel_(services), settings_(settings), handlers_(std::move(base_handlers)) {
  handlers_.on_open = [this](const channel_ptr& opened) { HandleOpen(opened); };
  handlers_.on_close = [this](const channel_ptr& closed, const error&) { HandleClose(closed); };
  handlers_.on_message = [this](const channel_ptr& from, const message& value) { HandleMessage(from, value); };
}

void peer_directory::Start() {
  channel_settings channels;
  channels.allowed_hosts = settings_.allowed_hosts;
  listener_ = std::make_unique<channel_listener>(kernel_.Context(), settings_.channel, channels, handlers_);
  if (auto started = listener_->Start(); !started) {
    AbortProgram(started.error().message);
  }
  for (const host_port& address : settings_.routers) {
    AddRouter(address);
  }
  auto& vms = kernel_.Find<vm_list>("vms");
  listed_vm own{settings_.name, vm_role::kRouter, settings_.channel, settings_.zone, vm_phase::kLive};
  vms.RegisterSelf(std::move(own));
  vms.Subscribe([this](const std::vector<listed_vm>& list) { ApplyVmList(list); });
}

void peer_directory::ApplyVmList(const std::vector<listed_vm>& list) {
  listed_routers_.clear();
  for (const listed_vm& vm : list) {
    if (vm.role != vm_role::kRouter || vm.phase == vm_phase::kGone) {
      continue;
    }
    listed_routers_.push_back(vm.name);
    if (vm.name != settings_.name) {
      AddRouter(vm.address);
    }
  }
}

void peer_directory::Stop() {
  for (auto& [address, connector] : connectors_) {
    connector->Stop();
  }
  if (listener_) {
    listener_->Stop();
  }
}

void peer_directory::AddRouter(const host_port& address) {
  if (address == settings_.channel || connectors_.contains(address)) {
    return;
  }
  auto connector = std::make_unique<channel_connector>(kernel_.Context(), address, channel_settings{}, handlers_);
  connector->Start();
  connectors_.emplace(address, std::move(connector));
}

std::vector<std::string> peer_directory::ConnectedRouters() const {
  std::vector<std::string> names = {settings_.name};
  for (const auto& [name, channels] : open_channels_) {
    names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<std::string> peer_directory::KnownRouters() const {
  if (listed_routers_.empty()) {
    return ConnectedRouters();
  }
  std::vector<std::string> names = listed_routers_;
  names.push_back(settings_.name);
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

bool peer_directory::Send(const std::string& router, const message& value) {
  const auto found = open_channels_.find(router);
  if (found == open_channels_.end()) {
    return false;
  }
  found->second.back()->Send(value);
  return true;
}

void peer_directory::Broadcast(const message& value) {
  for (const auto& [name, channels] : open_channels_) {
    channels.back()->Send(value);
  }
}

void peer_directory::HandleOpen(const channel_ptr& opened) {
  if (opened->Peer().program != "router") {
    return;  // persimmonctl only reads the revision from hello and heartbeats
  }
  if (opened->Peer().name == settings_.name) {
    opened->Close({error_code::kInvalid, "the peer has the same name as this router"});
    return;
  }
  open_channels_[opened->Peer().name].push_back(opened);
  // Ask for the peer's configuration: a router that starts during a store outage depends on snapshots. If the revisions
  // are equal, the reply is only a few bytes.
  opened->Send(fetch_config{kernel_.Find<config_store>("config").Revision()});
  for (const auto& listener : open_listeners_) {
    listener(opened);
  }
}

void peer_directory::HandleClose(const channel_ptr& closed) {
  const auto found = open_channels_.find(closed->Peer().name);
  if (found == open_channels_.end()) {
    return;
  }
  std::erase(found->second, closed);
  if (found->second.empty()) {
    open_channels_.erase(found);
  }
}

void peer_directory::HandleMessage(const channel_ptr& from, const message& value) {
  auto& config = kernel_.Find<config_store>("config");
  if (const auto* fetch = std::get_if<fetch_config>(&value)) {
    from->Send(config.MakeSnapshot(fetch->have));
  } else if (const auto* snapshot = std::get_if<config_snapshot>(&value)) {
    config.OfferSnapshot(from->Peer().name, *snapshot, from->Peer().zone);
  } else if (const auto* heartbeat_message = std::get_if<heartbeat>(&value)) {
    if (heartbeat_message->revision > config.Revision()) {
      from->Send(fetch_config{config.Revision()});
    }
  }
  if (from->Peer().program != "router") {
    return;
  }
  for (const auto& listener : listeners_) {
    listener(from, value);
  }
}

}  // namespace persimmon
