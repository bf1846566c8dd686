// The other routers of the deployment: who lives, what they have in progress on each endpoint, which requests crash
// endpoints. A service of the kernel.
//
// Routers find each other through the seeds of the settings and through the members that others name. Each sends its
// state by UDP when it changes, and otherwise as a heartbeat. Losing a message is harmless: the next one is complete.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/kernel.h"
#include "direct/direct_settings.h"
#include "net/datagram.h"
#include "persimmon/suspects.h"

namespace persimmon {

// XXH64 of an endpoint's name, as in endpoint_use.
std::uint64_t EndpointKey(const endpoint_name& name);

// XXH64 of a service's name, as in waiting_count.
std::uint64_t ServiceKey(const std::string& service);

class router_group {
 public:
  router_group(kernel& services, const direct_settings& settings);

  void Start();
  void Stop();

  // Sources of this router's own state; set before Start.
  std::function<revision_number()> own_revision;
  std::function<std::vector<endpoint_use>()> own_uses;
  std::function<std::vector<suspect_report>()> own_suspects;
  std::function<std::vector<waiting_count>()> own_waiting;
  // Called with the suspects of another router. `origin` names it and its incarnation.
  std::function<void(const std::string& origin, const std::vector<suspect_report>&)> on_suspects;
  // Called after another router's state has changed.
  std::function<void()> on_change;

  // The own state has changed; it is sent within a few milliseconds.
  void NoteChange();
  void NoteLeaving();

  // What the other routers have in progress on the endpoint, as of their last messages.
  endpoint_use PeerUse(const endpoint_name& endpoint) const;

  // Requests of the service that wait at other routers and can still be in time, as of their last messages.
  std::uint32_t PeersWaiting(const std::string& service) const;

  // Another router could not reach the endpoint, or was rejected by it, a moment ago.
  bool IsPausedByPeer(const endpoint_name& endpoint, time_point now) const;

  // Routers that share limits: this one, those that are heard, and those that were heard a moment ago.
  std::uint32_t RouterCount() const;

  revision_number NewestPeerRevision() const;  // 0: none is known

  // Control addresses of the routers that are heard, those with the newest revision first.
  std::vector<host_port> ControlAddresses() const;

 private:
  struct peer {
    router_state state;
    time_point heard;
  };

  void Receive(const host_port& sender, const router_state& state);
  void SendState(bool with_members);
  void ScheduleSend();
  void ForgetSilent();
  void SumUses();
  void NotePauses(const router_state& state, time_point now);
  milliseconds SendPause() const;

  kernel& kernel_;
  const direct_settings& settings_;
  std::unique_ptr<datagram_socket> socket_;
  host_port own_address_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  std::map<host_port, peer> peers_;
  std::map<host_port, time_point> candidates_;  // named by others, not heard yet: last tried
  std::unordered_map<std::uint64_t, endpoint_use> peer_uses_;
  std::unordered_map<std::uint64_t, time_point> paused_until_;  // by other routers
  timer_subscription beat_timer_;
  timer_subscription send_timer_;
  time_point last_sent_;
  bool send_is_due_ = false;
  bool leaving_ = false;
};

}  // namespace persimmon
