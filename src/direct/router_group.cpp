#include "direct/router_group.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "core/event_log.h"
#include "core/random.h"

namespace persimmon {
namespace {

constexpr const char* kComponent = "router.group";
constexpr milliseconds kHeartbeatPeriod(400);  // between heartbeats if nothing changes
constexpr milliseconds kMinSendInterval(30);   // between two messages of this router
// Limits the CPU time for sending with many routers: below 2% of a core with 24 routers.
constexpr milliseconds kSendIntervalPerPeer(8);
constexpr milliseconds kSilenceTimeout(1'500);  // the load reported by a router expires after this silence
// An unresponsive router is counted in shared limits for this long, because it may still be running.
constexpr milliseconds kRemovalTimeout(12'000);
constexpr milliseconds kCandidateRetryPeriod(1'000);  // between two messages to an address that has not replied
// Maximum number of routers listed in one heartbeat, starting at a random one, because a datagram cannot hold all of
// them.
constexpr std::size_t kMaxMembers = 10;
// A router that has gone silent without leaving counts in shared limits for this long: a cut between routers may last
// that long, and both sides must not share the limits anew.
constexpr milliseconds kSilentCountTime(120'000);

constexpr std::size_t kMaxWaitingServices = 32;  // listed in one state, those with the most requests
constexpr std::size_t kMaxUseBytes = 1'200;      // of the loads in one datagram
constexpr std::size_t kUseBytes = 24;            // of one load without its streams, when it is encoded
constexpr std::size_t kStreamBytes = sizeof(stream_memory);
constexpr std::size_t kMaxStreams = 80;  // of one load; further ones are added up

// Adds up the streams that exceed the limit, so that a load fits a datagram. The sum overestimates their peak.
void LimitStreams(endpoint_use& use) {
  for (std::size_t i = kMaxStreams; i < use.streams.size(); ++i) {
    stream_memory& sum = use.streams[kMaxStreams - 1];
    sum.held_tokens += use.streams[i].held_tokens;
    sum.remaining_tokens += use.streams[i].remaining_tokens;
    sum.reserved_tokens += use.streams[i].reserved_tokens;
  }
  use.streams.resize(std::min(use.streams.size(), kMaxStreams));
}

// Divides the loads into lists that fit a datagram each and together cover all keys.
std::vector<endpoint_use_list> DivideUses(std::vector<endpoint_use> uses) {
  std::sort(uses.begin(), uses.end(),
            [](const endpoint_use& left, const endpoint_use& right) { return left.endpoint < right.endpoint; });
  std::vector<endpoint_use_list> lists(1);
  std::size_t bytes = 0;
  for (endpoint_use& use : uses) {
    LimitStreams(use);
    const std::size_t added = kUseBytes + kStreamBytes * use.streams.size();
    if (bytes + added > kMaxUseBytes && bytes > 0) {
      lists.back().last = use.endpoint - 1;
      lists.emplace_back().first = use.endpoint;
      bytes = 0;
    }
    lists.back().uses.push_back(std::move(use));
    bytes += added;
  }
  lists.back().last = std::numeric_limits<std::uint64_t>::max();
  return lists;
}

}  // namespace

std::uint64_t EndpointKey(const endpoint_name& name) { return XXH64(name.value.data(), name.value.size(), 0); }

std::uint64_t ServiceKey(const std::string& service) { return XXH64(service.data(), service.size(), 0); }

router_group::router_group(kernel& services, const direct_settings& settings)
    : kernel_(services), settings_(settings), incarnation_(RandomNumber()) {}

void router_group::Start() {
  const auto& deployment = settings_.deployment;
  own_address_ = {deployment.callers.host, deployment.first_internal_port};
  socket_ = std::make_unique<datagram_socket>(kernel_.Context(), own_address_,
                                              [this](const host_port& sender, const message& received) {
                                                if (const auto* state = std::get_if<router_state>(&received)) {
                                                  Receive(sender, *state);
                                                  return;
                                                }
                                                if (const auto* list = std::get_if<endpoint_use_list>(&received)) {
                                                  ReceiveUses(sender, *list);
                                                  return;
                                                }
                                                for (const message_handler& handler : message_handlers_) {
                                                  handler(sender, received);
                                                }
                                              });
  if (auto started = socket_->Start(); !started) {
    AbortProgram(started.error().message);
  }
  for (const host_port& seed : deployment.seeds) {
    const host_port address{seed.host, deployment.first_internal_port};
    if (address != own_address_) {
      candidates_[address] = time_point();
    }
  }
  heartbeat_timer_ = kernel_.Timers().SubscribeEvery(kHeartbeatPeriod, 0.2, [this] {
    ExpireSilentPeers();
    SendState(true);
  });
  SendState(true);
}

void router_group::Stop() {
  heartbeat_timer_.Cancel();
  send_timer_.Cancel();
  if (socket_) {
    socket_->Stop();
  }
}

milliseconds router_group::SendInterval() const {
  return std::max(kMinSendInterval, kSendIntervalPerPeer * static_cast<int>(peers_.size()));
}

// Called by components whose state is part of the messages, after a change of that state.
void router_group::ScheduleUpdate() { ScheduleSend(); }

void router_group::StartLeaving() {
  leaving_ = true;
  SendState(true);
}

void router_group::ScheduleSend() {
  if (send_scheduled_) {
    return;
  }
  send_scheduled_ = true;
  const time_point due = std::max(timer_service::Now() + milliseconds(3), last_sent_ + SendInterval());
  send_timer_ = kernel_.Timers().SubscribeOnce(std::chrono::duration_cast<microseconds>(due - timer_service::Now()),
                                               [this] { SendState(false); });
}

void router_group::SendState(bool is_heartbeat) {
  const time_point now = timer_service::Now();
  send_scheduled_ = false;
  last_sent_ = now;
  router_state state;
  state.name = settings_.deployment.name;
  state.incarnation = incarnation_;
  state.sequence = ++sequence_;
  state.revision = local_revision ? local_revision() : 0;
  state.leaving = leaving_;
  state.control = settings_.deployment.control;
  state.suspects = local_suspects ? local_suspects() : std::vector<suspect_report>();
  state.waiting = local_waiting ? local_waiting() : std::vector<waiting_count>();
  if (state.waiting.size() > kMaxWaitingServices) {
    std::partial_sort(state.waiting.begin(), state.waiting.begin() + kMaxWaitingServices, state.waiting.end(),
                      [](const auto& left, const auto& right) { return left.requests > right.requests; });
    state.waiting.resize(kMaxWaitingServices);
  }
  std::vector<host_port> recipients;
  for (const auto& [address, other] : peers_) {
    recipients.push_back(address);
  }
  if (is_heartbeat) {
    std::vector<host_port> heard;
    for (const auto& [address, other] : peers_) {
      if (now - other.last_heard <= kSilenceTimeout) {
        heard.push_back(address);
      }
    }
    const std::size_t first = heard.empty() ? 0 : RandomNumber() % heard.size();
    for (std::size_t i = 0; i < std::min(kMaxMembers, heard.size()); ++i) {
      state.members.push_back(heard[(first + i) % heard.size()]);
    }
  }
  const std::vector<host_port> peers = recipients;
  for (auto& [address, last_tried] : candidates_) {
    if (now - last_tried >= kCandidateRetryPeriod) {
      last_tried = now;
      recipients.push_back(address);
    }
  }
  socket_->SendAll(recipients, message(std::move(state)));
  SendUses(peers, is_heartbeat || std::exchange(sends_all_uses_, false));
}

// Divides the loads by ranges of keys. What has not changed since it was sent last is repeated with heartbeats only.
void router_group::SendUses(const std::vector<host_port>& recipients, bool all) {
  std::vector<endpoint_use_list> lists = DivideUses(local_uses ? local_uses() : std::vector<endpoint_use>());
  for (const endpoint_use_list& list : lists) {
    if (all || std::find(sent_uses_.begin(), sent_uses_.end(), list) == sent_uses_.end()) {
      endpoint_use_list sent = list;
      sent.incarnation = incarnation_;
      sent.sequence = sequence_;
      socket_->SendAll(recipients, message(std::move(sent)));
    }
  }
  sent_uses_ = std::move(lists);
}

void router_group::Receive(const host_port& sender, const router_state& state) {
  const time_point now = timer_service::Now();
  const auto known = peers_.find(sender);
  const bool is_new = known == peers_.end() || known->second.state.incarnation != state.incarnation;
  if (!is_new && known->second.state.sequence >= state.sequence) {
    return;
  }
  if (is_new) {
    Events().Line(kComponent, "router_heard").Add("router", state.name).Add("address", sender.Text());
  }
  if (state.leaving && (is_new || !known->second.state.leaving)) {
    // The leaving router is still included in the load sums until it stops sending, because its streams occupy the
    // engines until they end.
    Events().Line(kComponent, "router_leaves").Add("router", state.name);
  }
  peer_state& peer = peers_[sender];
  if (is_new) {
    if (known != peers_.end()) {
      ended_.emplace_back(member{sender, peer.state.incarnation}, peer.last_heard);
    }
    std::erase_if(ended_, [&](const auto& item) {
      return item.first == member{sender, state.incarnation};
    });  // it is back
    peer = peer_state();
  }
  peer.state = state;
  peer.last_heard = now;
  candidates_.erase(sender);
  silent_routers_.erase(sender);
  for (const host_port& member : state.members) {
    if (member != own_address_ && !peers_.contains(member)) {
      candidates_.emplace(member, time_point());
    }
  }
  if (on_suspects && !state.suspects.empty()) {
    on_suspects(state.name + "/" + std::to_string(state.incarnation), state.suspects);
  }
  if (is_new) {
    sends_all_uses_ = true;
    ScheduleSend();  // gives the new router this router's state at once
    for (const router_handler& handler : router_handlers_) {
      handler(sender);
    }
  }
  if (on_state) {
    on_state(sender, state);
  }
  if (is_new) {
    peer_uses_outdated_ = true;
    if (on_change) {
      on_change();
    }
  }
}

void router_group::ReceiveUses(const host_port& sender, const endpoint_use_list& list) {
  const auto found = peers_.find(sender);
  if (found == peers_.end() || found->second.state.incarnation != list.incarnation ||
      list.sequence < found->second.uses_sequence || list.first > list.last) {
    return;
  }
  peer_state& peer = found->second;
  peer.uses_sequence = list.sequence;
  std::map<std::uint64_t, endpoint_use> uses;
  for (const endpoint_use& use : list.uses) {
    if (use.endpoint >= list.first && use.endpoint <= list.last) {
      uses.emplace(use.endpoint, use);
    }
  }
  MergePauses(list.uses, timer_service::Now());
  const auto begin = peer.uses.lower_bound(list.first);
  const auto end = peer.uses.upper_bound(list.last);
  if (std::equal(begin, end, uses.begin(), uses.end())) {
    return;
  }
  peer.uses.erase(begin, end);
  peer.uses.merge(uses);
  peer_uses_outdated_ = true;
  if (on_change) {
    on_change();
  }
}

void router_group::ExpireSilentPeers() {
  const time_point now = timer_service::Now();
  bool changed = false;
  std::erase_if(silent_routers_, [now](const auto& item) { return now >= item.second; });
  std::erase_if(paused_until_, [now](const auto& item) { return now >= item.second; });
  std::erase_if(ended_, [now](const auto& item) { return now - item.second > kSilentCountTime; });
  for (auto& [address, other] : peers_) {
    if (now - other.last_heard > kSilenceTimeout && !(other.uses.empty() && other.state.waiting.empty())) {
      Events().Line(kComponent, "router_silent").Add("router", other.state.name);
      other.uses.clear();
      other.state.waiting.clear();
      changed = true;
    }
  }
  for (auto item = peers_.begin(); item != peers_.end();) {
    const milliseconds limit = item->second.state.leaving ? kSilenceTimeout : kRemovalTimeout;
    if (now - item->second.last_heard > limit) {
      Events().Line(kComponent, "router_forgotten").Add("router", item->second.state.name);
      candidates_.emplace(item->first, now);
      ended_.emplace_back(member{item->first, item->second.state.incarnation}, item->second.last_heard);
      if (!item->second.state.leaving) {
        silent_routers_[item->first] = now + kSilentCountTime;
      }
      item = peers_.erase(item);
      changed = true;
    } else {
      ++item;
    }
  }
  peer_uses_outdated_ = peer_uses_outdated_ || changed;
}

void router_group::SumUses() const {
  peer_uses_outdated_ = false;
  peer_uses_.clear();
  for (const auto& [address, other] : peers_) {
    for (const auto& [key, use] : other.uses) {
      endpoint_use& sum = peer_uses_[key];
      sum.streams.insert(sum.streams.end(), use.streams.begin(), use.streams.end());
      sum.prefill_tokens += use.prefill_tokens;
      sum.prefills += use.prefills;
      sum.calls += use.calls;
    }
  }
}

// Keeps the end of each pause separate from the load sums, because later messages of the same router omit a pause that
// has ended.
void router_group::MergePauses(const std::vector<endpoint_use>& uses, time_point now) {
  for (const endpoint_use& use : uses) {
    if (use.pause_ms != 0) {
      time_point& until = paused_until_[use.endpoint];
      until = std::max(until, now + milliseconds(use.pause_ms));
    }
  }
}

bool router_group::IsPausedByPeer(const endpoint_name& endpoint, time_point now) const {
  const auto found = paused_until_.find(EndpointKey(endpoint));
  return found != paused_until_.end() && now < found->second;
}

const endpoint_use& router_group::PeerUse(const endpoint_name& endpoint) const {
  static const endpoint_use no_use;
  if (peer_uses_outdated_) {
    SumUses();
  }
  const auto found = peer_uses_.find(EndpointKey(endpoint));
  return found == peer_uses_.end() ? no_use : found->second;
}

std::uint32_t router_group::PeersWaiting(const std::string& service) const {
  const std::uint64_t key = ServiceKey(service);
  std::uint32_t requests = 0;
  for (const auto& [address, other] : peers_) {
    for (const waiting_count& count : other.state.waiting) {
      requests += count.service == key ? count.requests : 0;
    }
  }
  return requests;
}

std::uint32_t router_group::RouterCount() const {
  const bool is_unknown = peers_.empty() && silent_routers_.empty() && !candidates_.empty();
  return is_unknown ? 0 : static_cast<std::uint32_t>(peers_.size() + silent_routers_.size()) + 1;
}

std::vector<router_group::member> router_group::LiveMembers() const {
  const time_point now = timer_service::Now();
  std::vector<member> members;
  if (!leaving_) {
    members.push_back(Self());
  }
  for (const auto& [address, other] : peers_) {
    if (!other.state.leaving && now - other.last_heard <= kSilenceTimeout) {
      members.push_back({address, other.state.incarnation});
    }
  }
  return members;
}

std::vector<router_group::member> router_group::RoutersSince(time_point since) const {
  std::vector<member> members;
  for (const auto& [address, other] : peers_) {
    members.push_back({address, other.state.incarnation});
  }
  for (const auto& [ended, last_heard] : ended_) {
    if (last_heard >= since) {
      members.push_back(ended);
    }
  }
  return members;
}

std::vector<host_port> router_group::OtherRouters() const {
  std::vector<host_port> addresses;
  addresses.reserve(peers_.size());
  for (const auto& [address, other] : peers_) {
    addresses.push_back(address);
  }
  return addresses;
}

std::optional<milliseconds> router_group::SilenceOf(const host_port& router, time_point now) const {
  const auto found = peers_.find(router);
  return found == peers_.end()
             ? std::nullopt
             : std::optional(std::chrono::duration_cast<milliseconds>(now - found->second.last_heard));
}

bool router_group::HearsAllRouters(time_point since) const {
  const time_point now = timer_service::Now();
  const bool has_ended =
      std::any_of(ended_.begin(), ended_.end(), [since](const auto& item) { return item.second >= since; });
  const bool all_heard = std::all_of(peers_.begin(), peers_.end(), [now](const auto& item) {
    return now - item.second.last_heard <= kSilenceTimeout;
  });
  return all_heard && !has_ended && silent_routers_.empty() && RouterCount() > 0;
}

revision_number router_group::NewestPeerRevision() const {
  revision_number newest = 0;
  for (const auto& [address, other] : peers_) {
    newest = std::max(newest, other.state.revision);
  }
  return newest;
}

std::vector<host_port> router_group::ControlAddresses() const {
  std::vector<const peer_state*> candidates;
  for (const auto& [address, other] : peers_) {
    if (!other.state.leaving && other.state.revision != 0 && other.state.control.port != 0) {
      candidates.push_back(&other);
    }
  }
  std::sort(candidates.begin(), candidates.end(), [](const peer_state* left, const peer_state* right) {
    return left->state.revision > right->state.revision;
  });
  std::vector<host_port> addresses;
  addresses.reserve(candidates.size());
  for (const peer_state* other : candidates) {
    addresses.push_back(other->state.control);
  }
  return addresses;
}

}  // namespace persimmon
