// State of the other routers of the deployment: liveness, their load on each endpoint, and the requests that crash
// endpoints. A service of the kernel.
//
// Each router sends its state by UDP to its peers after a change, and otherwise as a heartbeat. A lost message is
// harmless, because the next one is complete. The state has a bounded size. The loads of endpoints, which grow with the
// traffic, follow it in as many datagrams as they need; after a change only those that differ are sent.
//
// Discovery uses these terms:
//   seed       address of a router in the settings
//   peer       other router that has sent a message and has not been removed since
//   member     address in a heartbeat, which lists peers of its sender
//   candidate  address of a seed, a member or a removed peer that is tried until a message arrives from it
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/kernel.h"
#include "direct/direct_settings.h"
#include "net/datagram.h"
#include "persimmon/suspects.h"

namespace persimmon {

// XXH64 of the endpoint name; key of an endpoint_use.
std::uint64_t EndpointKey(const endpoint_name& name);

// XXH64 of the service name; key of a waiting_count.
std::uint64_t ServiceKey(const std::string& service);

class router_group {
 public:
  router_group(kernel& services, const direct_settings& settings);

  void Start();
  void Stop();

  // Callbacks that return this router's own state for each message; set before Start.
  std::function<revision_number()> local_revision;
  std::function<std::vector<endpoint_use>()> local_uses;
  std::function<std::vector<suspect_report>()> local_suspects;
  std::function<std::vector<waiting_count>()> local_waiting;
  // Called with the suspect reports of another router. `origin` is its name and incarnation.
  std::function<void(const std::string& origin, const std::vector<suspect_report>&)> on_suspects;
  // Adds a function that is called with the address of a router from which the first message of its incarnation has
  // arrived. Before Start of the kernel has returned.
  using router_handler = std::function<void(const host_port&)>;
  void SubscribeRouters(router_handler handler) { router_handlers_.push_back(std::move(handler)); }
  // Called with each state that another router sends.
  std::function<void(const host_port& sender, const router_state&)> on_state;
  // Called after the endpoint loads of another router have changed.
  std::function<void()> on_change;

  // Adds a function that is called with the messages of other types that routers send to each other. Before Start of
  // the kernel has returned.
  using message_handler = std::function<void(const host_port& sender, const message&)>;
  void SubscribeMessages(message_handler handler) { message_handlers_.push_back(std::move(handler)); }

  // Schedules sending this router's state in 3 ms, or later if the minimum interval between messages requires it.
  void ScheduleUpdate();
  void StartLeaving();

  // Load that the other routers put on the endpoint, according to their last messages.
  const endpoint_use& PeerUse(const endpoint_name& endpoint) const;

  // Requests of the service that wait at other routers and can still meet their target, according to their last
  // messages.
  std::uint32_t PeersWaiting(const std::string& service) const;

  // Shortest time between two messages of a router, after which its peers know its load.
  milliseconds SendInterval() const;

  // True while another router pauses the endpoint because it was unreachable, rejected work or executes an order.
  bool IsPausedByPeer(const endpoint_name& endpoint, time_point now) const;

  // Number of routers that share limits: this one, its peers, and routers that have gone silent without leaving and may
  // still be running behind a cut. 0 if there are other routers and none has been heard yet.
  std::uint32_t RouterCount() const;

  // Addresses and incarnations of the routers that have been heard lately and are not leaving, with this one.
  struct member {
    host_port address;
    std::uint64_t incarnation = 0;

    bool operator==(const member&) const = default;
  };
  std::vector<member> LiveMembers() const;
  // The other routers that have been heard and have not ended before `since`, as far as is known. A router that has
  // restarted is listed with each of its incarnations.
  std::vector<member> RoutersSince(time_point since) const;
  bool IsLeaving() const { return leaving_; }
  member Self() const { return {own_address_, incarnation_}; }

  // Addresses of the other routers that have been heard and may still be running, also of those that are leaving.
  std::vector<host_port> OtherRouters() const;

  // Time since another router was last heard; nothing if it has not been, or has been forgotten.
  std::optional<milliseconds> SilenceOf(const host_port& router, time_point now) const;

  // True if all other routers that may still be running have been heard lately, and none has ended since `since`. False
  // if there are other routers and none has been heard yet.
  bool HearsAllRouters(time_point since) const;

  // Sends a message of another type than router_state to a router. It may be lost.
  void Send(const host_port& receiver, const message& value) { socket_->Send(receiver, value); }
  void SendAll(const std::vector<host_port>& receivers, const message& value) { socket_->SendAll(receivers, value); }

  revision_number NewestPeerRevision() const;  // 0: unknown

  // Control addresses of the other routers that hold a desired state and are not leaving, newest revision first.
  std::vector<host_port> ControlAddresses() const;

 private:
  struct peer_state {
    router_state state;
    time_point last_heard;
    std::map<std::uint64_t, endpoint_use> uses;  // by endpoint key
    std::uint64_t uses_sequence = 0;             // of the latest list
  };

  void Receive(const host_port& sender, const router_state& state);
  void ReceiveUses(const host_port& sender, const endpoint_use_list& list);
  void SendState(bool is_heartbeat);
  void SendUses(const std::vector<host_port>& recipients, bool all);
  void ScheduleSend();
  void ExpireSilentPeers();
  void SumUses() const;
  void MergePauses(const std::vector<endpoint_use>& uses, time_point now);

  kernel& kernel_;
  const direct_settings& settings_;
  std::vector<message_handler> message_handlers_;
  std::vector<router_handler> router_handlers_;
  std::unique_ptr<datagram_socket> socket_;
  host_port own_address_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  std::map<host_port, peer_state> peers_;
  std::map<host_port, time_point> candidates_;        // with the time of the last message to each
  std::map<host_port, time_point> silent_routers_;    // removed peers, counted until this time
  std::vector<std::pair<member, time_point>> ended_;  // removed or replaced incarnations, and when they were heard last
  mutable std::unordered_map<std::uint64_t, endpoint_use> peer_uses_;  // sums by endpoint key
  mutable bool peer_uses_outdated_ = false;                            // the sums are calculated when they are needed
  std::unordered_map<std::uint64_t, time_point> paused_until_;  // pauses reported by other routers, by endpoint key
  timer_subscription heartbeat_timer_;
  timer_subscription send_timer_;
  time_point last_sent_;
  bool send_scheduled_ = false;
  bool sends_all_uses_ = false;               // with the next message, because a router has joined
  std::vector<endpoint_use_list> sent_uses_;  // as sent last
  bool leaving_ = false;
};

}  // namespace persimmon
