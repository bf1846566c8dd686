#include "direct/router_group.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "core/event_log.h"
#include "core/random.h"

namespace persimmon {
namespace {

constexpr const char* kPart = "router.group";
constexpr milliseconds kBeatPeriod(400);        // heartbeat without changes
constexpr milliseconds kMinSendPause(30);       // between two messages
constexpr milliseconds kSendPausePerPeer(8);    // keeps the cost of a change below 2% of a core with 24 routers
constexpr milliseconds kSilence(1'500);         // a silent router's uses are forgotten
constexpr milliseconds kCountedAfter(12'000);   // a silent router still counts for shared limits, because it may live
constexpr milliseconds kCandidatePause(1'000);  // between two messages to an address that has not answered
constexpr std::size_t kMaxMembers =
    10;  // named in a heartbeat, drawn anew each time; all of them do not fit a datagram
constexpr std::uint32_t kAssumedRouters = 5;  // for shared limits, until the other routers have been heard

}  // namespace

std::uint64_t EndpointKey(const endpoint_name& name) { return XXH64(name.value.data(), name.value.size(), 0); }

std::uint64_t ServiceKey(const std::string& service) { return XXH64(service.data(), service.size(), 0); }

router_group::router_group(kernel& services, const direct_settings& settings)
    : kernel_(services), settings_(settings), incarnation_(RandomNumber()) {}

void router_group::Start() {
  const auto& deployment = settings_.deployment;
  own_address_ = {deployment.callers.host, deployment.first_internal_port};
  socket_ = std::make_unique<datagram_socket>(kernel_.Context(), own_address_,
                                              [this](const host_port& sender, const message& value) {
                                                if (const auto* state = std::get_if<router_state>(&value)) {
                                                  Receive(sender, *state);
                                                }
                                              });
  if (auto started = socket_->Start(); !started) {
    StopProgram(started.error().message);
  }
  for (const host_port& seed : deployment.seeds) {
    const host_port address{seed.host, deployment.first_internal_port};
    if (address != own_address_) {
      candidates_[address] = time_point();
    }
  }
  beat_timer_ = kernel_.Timers().SubscribeEvery(kBeatPeriod, 0.2, [this] {
    ForgetSilent();
    SendState(true);
  });
  SendState(true);
}

void router_group::Stop() {
  beat_timer_.Cancel();
  send_timer_.Cancel();
  if (socket_) {
    socket_->Stop();
  }
}

milliseconds router_group::SendPause() const {
  return std::max(kMinSendPause, kSendPausePerPeer * static_cast<int>(peers_.size()));
}

void router_group::NoteChange() { ScheduleSend(); }

void router_group::NoteLeaving() {
  leaving_ = true;
  SendState(true);
}

void router_group::ScheduleSend() {
  if (send_is_due_) {
    return;
  }
  send_is_due_ = true;
  const time_point due = std::max(timer_service::Now() + milliseconds(3), last_sent_ + SendPause());
  send_timer_ = kernel_.Timers().SubscribeOnce(std::chrono::duration_cast<microseconds>(due - timer_service::Now()),
                                               [this] { SendState(false); });
}

void router_group::SendState(bool with_members) {
  const time_point now = timer_service::Now();
  send_is_due_ = false;
  last_sent_ = now;
  router_state state;
  state.name = settings_.deployment.name;
  state.incarnation = incarnation_;
  state.sequence = ++sequence_;
  state.revision = own_revision ? own_revision() : 0;
  state.leaving = leaving_;
  state.control = settings_.deployment.control;
  state.uses = own_uses ? own_uses() : std::vector<endpoint_use>();
  state.suspects = own_suspects ? own_suspects() : std::vector<suspect_report>();
  state.waiting = own_waiting ? own_waiting() : std::vector<waiting_count>();
  std::vector<host_port> receivers;
  for (const auto& [address, other] : peers_) {
    receivers.push_back(address);
  }
  if (with_members) {
    const std::size_t first = receivers.empty() ? 0 : RandomNumber() % receivers.size();
    for (std::size_t i = 0; i < std::min(kMaxMembers, receivers.size()); ++i) {
      state.members.push_back(receivers[(first + i) % receivers.size()]);
    }
  }
  for (auto& [address, tried] : candidates_) {
    if (now - tried >= kCandidatePause) {
      tried = now;
      receivers.push_back(address);
    }
  }
  socket_->SendAll(receivers, message(std::move(state)));
}

void router_group::Receive(const host_port& sender, const router_state& state) {
  const time_point now = timer_service::Now();
  const auto known = peers_.find(sender);
  const bool is_new = known == peers_.end() || known->second.state.incarnation != state.incarnation;
  if (!is_new && known->second.state.sequence >= state.sequence) {
    return;
  }
  if (is_new) {
    Events().Line(kPart, "router_heard").Add("router", state.name).Add("address", sender.Text());
  }
  if (state.leaving && (is_new || !known->second.state.leaving)) {
    // It keeps its place until it is silent: its streams use the engines to the end.
    Events().Line(kPart, "router_leaves").Add("router", state.name);
  }
  const bool uses_changed = is_new || known->second.state.uses != state.uses;
  peers_.insert_or_assign(sender, peer{state, now});
  candidates_.erase(sender);
  for (const host_port& member : state.members) {
    if (member != own_address_ && !peers_.contains(member)) {
      candidates_.emplace(member, time_point());
    }
  }
  if (on_suspects && !state.suspects.empty()) {
    on_suspects(state.name + "/" + std::to_string(state.incarnation), state.suspects);
  }
  if (is_new) {
    ScheduleSend();  // the new router learns this one's state at once
  }
  NotePauses(state, now);
  if (uses_changed) {
    SumUses();
    if (on_change) {
      on_change();
    }
  }
}

void router_group::ForgetSilent() {
  const time_point now = timer_service::Now();
  bool changed = false;
  std::erase_if(paused_until_, [now](const auto& item) { return now >= item.second; });
  for (auto& [address, other] : peers_) {
    if (now - other.heard > kSilence && !(other.state.uses.empty() && other.state.waiting.empty())) {
      Events().Line(kPart, "router_silent").Add("router", other.state.name);
      other.state.uses.clear();
      other.state.waiting.clear();
      changed = true;
    }
  }
  for (auto item = peers_.begin(); item != peers_.end();) {
    const milliseconds limit = item->second.state.leaving ? kSilence : kCountedAfter;
    if (now - item->second.heard > limit) {
      Events().Line(kPart, "router_forgotten").Add("router", item->second.state.name);
      candidates_.emplace(item->first, now);
      item = peers_.erase(item);
    } else {
      ++item;
    }
  }
  if (changed) {
    SumUses();
  }
}

void router_group::SumUses() {
  peer_uses_.clear();
  for (const auto& [address, other] : peers_) {
    for (const endpoint_use& use : other.state.uses) {
      endpoint_use& sum = peer_uses_[use.endpoint];
      sum.decode_tokens += use.decode_tokens;
      sum.decodes += use.decodes;
      sum.prefill_tokens += use.prefill_tokens;
      sum.prefills += use.prefills;
      sum.calls += use.calls;
    }
  }
}

// Pauses are remembered apart from the sums: a later message of the same router no longer carries one that has ended.
void router_group::NotePauses(const router_state& state, time_point now) {
  for (const endpoint_use& use : state.uses) {
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

endpoint_use router_group::PeerUse(const endpoint_name& endpoint) const {
  const auto found = peer_uses_.find(EndpointKey(endpoint));
  return found == peer_uses_.end() ? endpoint_use{} : found->second;
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
  const auto heard = static_cast<std::uint32_t>(peers_.size()) + 1;
  return peers_.empty() ? kAssumedRouters : heard;
}

revision_number router_group::NewestPeerRevision() const {
  revision_number newest = 0;
  for (const auto& [address, other] : peers_) {
    newest = std::max(newest, other.state.revision);
  }
  return newest;
}

std::vector<host_port> router_group::ControlAddresses() const {
  std::vector<const peer*> known;
  for (const auto& [address, other] : peers_) {
    if (!other.state.leaving && other.state.revision != 0 && other.state.control.port != 0) {
      known.push_back(&other);
    }
  }
  std::sort(known.begin(), known.end(),
            [](const peer* left, const peer* right) { return left->state.revision > right->state.revision; });
  std::vector<host_port> addresses;
  addresses.reserve(known.size());
  for (const peer* other : known) {
    addresses.push_back(other->state.control);
  }
  return addresses;
}

}  // namespace persimmon
