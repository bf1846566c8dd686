#include "direct/limit_tracker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>

#include "core/event_log.h"

namespace persimmon {
namespace {

constexpr const char* kComponent = "router.limits";
constexpr milliseconds kTickPeriod(200);
constexpr milliseconds kNewsPeriod(100);        // between two messages with changed limits
constexpr milliseconds kNewsPeriodPerPeer(8);   // limits the CPU time for sending with many routers
constexpr int kNewsRepeats = 3;                 // a lost datagram is made up
constexpr std::size_t kEntriesPerMessage = 30;  // of 32 bytes each; fits in a datagram
constexpr milliseconds kAnswerTimeout(60);      // of the home router, to one datagram
constexpr int kMaxAsks = 2;                     // datagrams for one permit
constexpr int kMaxRounds = 3;  // of one permit: the limit may change, or the permit become void, while it is acquired
constexpr milliseconds kHomeRetryTime(200);  // an endpoint whose home router does not answer is avoided for
constexpr milliseconds kExpiryPeriod(10'000);

std::uint32_t AgeMs(time_point at, time_point now) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ElapsedMs(at, now), 0, UINT32_MAX));
}

}  // namespace

void limit_tracker::Start() {
  directory_ = &kernel_.Find<deployment_directory>("directory");
  group_ = &kernel_.Find<router_group>("group");
  limits_ = std::make_unique<request_limits>(group_->Self().address.Text(), request_limit_settings{},
                                             timer_service::NowWithSuspension());
  group_->on_state = [this](const host_port& sender, const router_state& state) {
    const time_point now = timer_service::NowWithSuspension();
    limits_->Members().RecordHeard(sender.Text(), state.incarnation, state.leaving, now);
    for (const host_port& member : state.members) {
      limits_->Members().RecordListed(member.Text(), now);
    }
  };
  group_->SubscribeMessages([this](const host_port& sender, const message& received) { Receive(sender, received); });
  // A router that starts learns each limit from the endpoint's home router.
  group_->SubscribeRouters([this](const host_port& router) {
    const time_point now = timer_service::NowWithSuspension();
    std::vector<limited_endpoint> own;
    for (const limited_endpoint& endpoint : limits_->LimitedEndpoints()) {
      if (limits_->Members().HomeOf(endpoint.key, now) == group_->Self().address.Text()) {
        own.push_back(endpoint);
      }
    }
    SendEntries(own, {router});
  });
  tick_timer_ = kernel_.Timers().SubscribeEvery(kTickPeriod, 0.1, [this] {
    limits_->Members().Tick(timer_service::NowWithSuspension());
    limits_->Members().SetRouterCount(group_->RouterCount());
    if (group_->IsLeaving()) {
      limits_->Members().RecordOwnLeave();
    }
  });
  expiry_timer_ = kernel_.Timers().SubscribeEvery(kExpiryPeriod, 0.1, [this] { RemoveUnregistered(); });
}

void limit_tracker::Stop() {
  tick_timer_.Cancel();
  news_timer_.Cancel();
  expiry_timer_.Cancel();
}

// ---------------------------------------------------------------------------------------------------------------------
// What endpoints state
// ---------------------------------------------------------------------------------------------------------------------

void limit_tracker::RecordResponse(const endpoint_name& name, std::uint64_t started_ms,
                                   const platform::response_metadata& metadata, time_point sent) {
  const limited_endpoint endpoint{EndpointKey(name), started_ms};
  if (metadata.has_unreadable_limit) {
    Events().Line(kComponent, "limit_unreadable").Add("endpoint", name.value);
    return;
  }
  // Only a response that the endpoint itself has made proves that it states no limit.
  if (!metadata.request_limit && !metadata.has_seal) {
    return;
  }
  const std::optional<double> before = limits_->Rate(endpoint);
  const time_point now = timer_service::NowWithSuspension();
  const time_point sent_then = now - (timer_service::Now() - sent);
  if (limits_->RecordStatement(endpoint, {metadata.request_limit, sent_then, now}, now)) {
    Events()
        .Line(kComponent, "limit_stated")
        .Add("endpoint", name.value)
        .Add("started_ms", started_ms)
        .Add("limit", limits_->Rate(endpoint).value_or(endpoint_limit_entry::kNoLimit))
        .Add("before", before.value_or(endpoint_limit_entry::kNoLimit))
        .Add("sent_ms_ago", ElapsedMs(sent_then, now))
        .Add("home", limits_->Members().HomeOf(endpoint.key, now).value_or(""));
    RecordChange(endpoint);
  }
}

endpoint_limit_entry limit_tracker::MakeEntry(const limited_endpoint& endpoint) const {
  const time_point now = timer_service::NowWithSuspension();
  // What is not known must not replace what the receiver knows.
  endpoint_limit_entry entry{endpoint.key, endpoint.started_ms, endpoint_limit_entry::kNoLimit, UINT32_MAX, UINT32_MAX};
  if (const auto known = limits_->Statement(endpoint)) {
    entry.rate = known->rate.value_or(endpoint_limit_entry::kNoLimit);
    entry.sent_age_ms = AgeMs(known->sent, now);
    entry.received_age_ms = AgeMs(known->received, now);
  }
  return entry;
}

void limit_tracker::Merge(const endpoint_limit_entry& entry) {
  if (!std::isfinite(entry.rate)) {
    Events().Line(kComponent, "limit_not_a_number").Add("endpoint_key", entry.endpoint);
    return;
  }
  const time_point now = timer_service::NowWithSuspension();
  const auto rate = entry.rate < 0 ? std::nullopt : std::optional(entry.rate);
  const limit_statement statement{rate, now - milliseconds(entry.sent_age_ms),
                                  now - milliseconds(entry.received_age_ms)};
  if (limits_->RecordStatement({entry.endpoint, entry.started_ms}, statement, now)) {
    Events()
        .Line(kComponent, "limit_learned")
        .Add("endpoint_key", entry.endpoint)
        .Add("limit", entry.rate)
        .Add("age_ms", entry.received_age_ms);
  }
}

void limit_tracker::RecordChange(const limited_endpoint& endpoint) {
  TellHome(endpoint);
  const bool is_scheduled = !news_.empty();
  news_[endpoint] = kNewsRepeats;
  if (!is_scheduled) {
    news_timer_ = kernel_.Timers().SubscribeOnce(milliseconds(1), [this] { TellOthers(); });
  }
}

void limit_tracker::TellHome(const limited_endpoint& endpoint) {
  const auto home = limits_->Members().HomeOf(endpoint.key, timer_service::NowWithSuspension());
  if (home && *home != group_->Self().address.Text()) {
    if (const auto address = ParseHostPort(*home)) {
      SendEntries({endpoint}, {address.value()});
    }
  }
}

void limit_tracker::TellOthers() {
  std::vector<limited_endpoint> told;
  for (auto item = news_.begin(); item != news_.end();) {
    told.push_back(item->first);
    item = --item->second == 0 ? news_.erase(item) : std::next(item);
  }
  const std::vector<host_port> others = Others();
  SendEntries(told, others);
  if (!news_.empty()) {
    const milliseconds period = std::max(kNewsPeriod, kNewsPeriodPerPeer * static_cast<int>(others.size()));
    news_timer_ = kernel_.Timers().SubscribeOnce(period, [this] { TellOthers(); });
  }
}

void limit_tracker::SendEntries(const std::vector<limited_endpoint>& endpoints,
                                const std::vector<host_port>& receivers) {
  for (std::size_t first = 0; first < endpoints.size(); first += kEntriesPerMessage) {
    endpoint_limit_list list;
    for (std::size_t i = first; i < std::min(first + kEntriesPerMessage, endpoints.size()); ++i) {
      list.limits.push_back(MakeEntry(endpoints[i]));
    }
    group_->SendAll(receivers, message(std::move(list)));
  }
}

std::vector<host_port> limit_tracker::Others() const {
  std::vector<host_port> others;
  for (const router_group::member& member : group_->LiveMembers()) {
    if (member != group_->Self()) {
      others.push_back(member.address);
    }
  }
  return others;
}

void limit_tracker::RemoveUnregistered() {
  std::set<limited_endpoint> registered;
  for (const auto& [name, service] : directory_->Routes()->Services()) {
    for (const endpoint_entry* entry : directory_->Endpoints().ListReady(name)) {
      registered.insert({EndpointKey(entry->name), entry->started_ms});
    }
  }
  limits_->RemoveUnregistered([&registered](const limited_endpoint& endpoint) { return registered.contains(endpoint); },
                              timer_service::NowWithSuspension());
}

// ---------------------------------------------------------------------------------------------------------------------
// Permits
// ---------------------------------------------------------------------------------------------------------------------

milliseconds limit_tracker::PredictWait(const limited_endpoint& endpoint) const {
  return std::chrono::ceil<milliseconds>(limits_->PredictWait(endpoint, timer_service::NowWithSuspension()));
}

bool limit_tracker::IsValid(const limited_endpoint& endpoint, const send_permit& permit) const {
  return limits_->IsValid(endpoint, permit, timer_service::NowWithSuspension());
}

task<permit_result> limit_tracker::Acquire(limited_endpoint endpoint, milliseconds max_wait) {
  const time_point end = timer_service::Now() + max_wait;
  milliseconds retry_in = kHomeRetryTime;
  for (int round = 0; round < kMaxRounds; ++round) {
    const std::optional<double> rate = limits_->Rate(endpoint);
    const time_point asked = timer_service::NowWithSuspension();
    if (!rate) {
      co_return permit_result{send_permit{std::nullopt, asked}, milliseconds(0)};
    }
    const auto remaining = std::chrono::duration_cast<milliseconds>(end - timer_service::Now());
    const auto home = limits_->Members().HomeOf(endpoint.key, asked);
    std::optional<permit_decision> decision;
    if (home == group_->Self().address.Text()) {
      decision = limits_->Decide(endpoint, std::max(remaining, milliseconds(0)), asked);
    } else if (home) {
      decision = co_await Ask(endpoint, *home, std::max(remaining, milliseconds(0)));
    }
    if (decision && decision->verdict == permit_verdict::kGranted) {
      co_await kernel_.Timers().Sleep(decision->wait);
      // Counted from the question, so that a delay can only shorten it.
      const send_permit permit{rate, asked + decision->wait + limits_->Settings().permit_lifetime};
      if (IsValid(endpoint, permit)) {
        co_return permit_result{permit, milliseconds(0)};
      }
    } else if (!decision || decision->verdict != permit_verdict::kNoLimit) {
      const bool is_refused = decision && decision->verdict == permit_verdict::kRefused;
      const microseconds wait = is_refused ? decision->wait : microseconds(kHomeRetryTime);
      limits_->RecordRefusal(endpoint, wait, timer_service::NowWithSuspension());
      retry_in = std::chrono::ceil<milliseconds>(wait);
      if (!is_refused) {
        Events()
            .Line(kComponent, "home_router_unavailable")
            .Add("endpoint_key", endpoint.key)
            .Add("home", home.value_or(""))
            .Add("answered", decision.has_value());
      }
      break;
    }
  }
  co_return permit_result{std::nullopt, retry_in};
}

task<std::optional<permit_decision>> limit_tracker::Ask(limited_endpoint endpoint, std::string home,
                                                        milliseconds max_wait) {
  const auto address = ParseHostPort(home);
  if (!address) {
    co_return std::nullopt;
  }
  const auto answers = std::make_shared<answer_mailbox>(kernel_.Context());
  const std::uint64_t sequence = ++next_sequence_;
  asked_[sequence] = answers;
  std::optional<permit_answer> answer;
  for (int asks = 0; asks < kMaxAsks && !answer; ++asks) {
    const auto wait_us = static_cast<std::uint32_t>(microseconds(max_wait).count());
    group_->Send(address.value(), message(ask_permit{sequence, wait_us, MakeEntry(endpoint)}));
    answer = co_await answers->Receive(kAnswerTimeout);
  }
  asked_.erase(sequence);
  if (!answer) {
    co_return std::nullopt;
  }
  Merge(answer->limit);
  co_return permit_decision{answer->verdict, microseconds(answer->wait_us)};
}

void limit_tracker::Charge(const limited_endpoint& endpoint) {
  if (IsLimited(endpoint)) {
    // The permit is not used, but its time is taken.
    asio::co_spawn(
        kernel_.Context(),
        [this, endpoint]() -> task<> { (void)co_await Acquire(endpoint, limits_->Settings().max_wait); },
        asio::detached);
  }
}

void limit_tracker::Receive(const host_port& sender, const message& received) {
  if (const auto* list = std::get_if<endpoint_limit_list>(&received)) {
    for (const endpoint_limit_entry& entry : list->limits) {
      Merge(entry);
    }
  } else if (const auto* ask = std::get_if<ask_permit>(&received)) {
    Merge(ask->limit);
    const limited_endpoint endpoint{ask->limit.endpoint, ask->limit.started_ms};
    const permit_decision decision =
        limits_->Decide(endpoint, microseconds(ask->max_wait_us), timer_service::NowWithSuspension());
    group_->Send(sender,
                 message(permit_answer{ask->sequence, decision.verdict,
                                       static_cast<std::uint32_t>(decision.wait.count()), MakeEntry(endpoint)}));
  } else if (const auto* answer = std::get_if<permit_answer>(&received)) {
    const auto found = asked_.find(answer->sequence);
    if (found != asked_.end()) {
      found->second->Push(*answer);
    }
  }
}

}  // namespace persimmon
