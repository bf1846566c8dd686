#include "direct/endpoint_tracker.h"

#include <algorithm>

#include "core/event_log.h"
#include "core/random.h"
#include "core/telemetry.h"

namespace persimmon {
namespace {

constexpr const char* kComponent = "router.board";
constexpr int kOk = 200;
constexpr milliseconds kHealthPeriod(250);
// Time until an engine's registry entry shows its new stage: about one report interval.
constexpr milliseconds kEntryUpdateDelay(1'500);

// A service without requests for this long may have lost the endpoints that report work times.
constexpr milliseconds kWorkTimeReportLifetime(60'000);

template <class number>
void AddClampedToZero(number& target, std::int64_t change) {
  target = static_cast<number>(std::max<std::int64_t>(0, static_cast<std::int64_t>(target) + change));
}

bool Contains(const std::vector<endpoint_name>& names, const endpoint_name& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

endpoint_tracker::endpoint_tracker(kernel& services, const direct_settings& settings)
    : kernel_(services), settings_(settings) {}

void endpoint_tracker::Start() {
  directory_ = &kernel_.Find<deployment_directory>("directory");
  group_ = &kernel_.Find<router_group>("group");
  limits_ = &kernel_.Find<limit_tracker>("limits");
  metrics_ = &kernel_.Find<telemetry>("telemetry").Metrics();
  health_timer_ = kernel_.Timers().SubscribeEvery(kHealthPeriod, 0.1, [this] {
    UpdateHealth();
    RemoveIdleStates();
    RemoveEndedClosures();
  });
}

void endpoint_tracker::Stop() { health_timer_.Cancel(); }

endpoint_tracker::endpoint_state& endpoint_tracker::StateOf(const endpoint_name& endpoint) {
  endpoint_state& state = states_[endpoint];
  state.use.endpoint = EndpointKey(endpoint);
  return state;
}

const endpoint_tracker::endpoint_state* endpoint_tracker::FindState(const endpoint_name& endpoint) const {
  const auto found = states_.find(endpoint);
  return found == states_.end() ? nullptr : &found->second;
}

void endpoint_tracker::AddCall(const endpoint_name& endpoint, int calls) {
  AddClampedToZero(StateOf(endpoint).use.calls, calls);
}

void endpoint_tracker::AddPrefill(const endpoint_name& endpoint, std::int64_t tokens, int prefills) {
  endpoint_use& use = StateOf(endpoint).use;
  AddClampedToZero(use.prefill_tokens, tokens);
  AddClampedToZero(use.prefills, prefills);
  group_->ScheduleUpdate();
}

endpoint_tracker::stream_id endpoint_tracker::AddStream(const endpoint_name& endpoint, const stream_memory& memory) {
  const stream_id id = ++next_stream_;
  StateOf(endpoint).streams.emplace(id, memory);
  group_->ScheduleUpdate();
  return id;
}

// Does not schedule a message: until the next one, peers count on the same peak as before.
void endpoint_tracker::UpdateStream(const endpoint_name& endpoint, stream_id id, const stream_memory& memory) {
  auto& streams = StateOf(endpoint).streams;
  if (const auto found = streams.find(id); found != streams.end()) {
    found->second = memory;
  }
}

void endpoint_tracker::RemoveStream(const endpoint_name& endpoint, stream_id id) {
  StateOf(endpoint).streams.erase(id);
  group_->ScheduleUpdate();
}

void endpoint_tracker::RecordReservationRefused(const endpoint_name& endpoint, std::uint32_t tokens) {
  const time_point now = timer_service::Now();
  endpoint_state& state = StateOf(endpoint);
  const bool is_recent = now < state.refused_until;
  state.refused_tokens = is_recent ? std::min(state.refused_tokens, tokens) : tokens;
  state.refused_until = now + settings_.refused_pause;
}

void endpoint_tracker::RecordResponse(const chosen_endpoint& endpoint, const platform::response_metadata& metadata,
                                      time_point sent) {
  if (metadata.is_leaving && !metadata.is_misdirected) {
    directory_->RecordLeaving(endpoint.name, endpoint.started_ms);
  }
  if (metadata.closed_for) {
    CloseEndpoint(endpoint, *metadata.closed_for);
  }
  if (metadata.has_unreadable_work_time) {
    Events().Line(kComponent, "work_time_unreadable").Add("endpoint", endpoint.name.value);
  }
  const endpoint_entry* entry = directory_->Endpoints().Find(endpoint.name);
  if (metadata.work_time_percent && !metadata.is_misdirected && entry != nullptr) {
    RecordWorkTimeReport(entry->service);
  }
  if (!metadata.is_misdirected) {
    limits_->RecordResponse(endpoint.name, endpoint.started_ms, metadata, sent);
  }
}

task<result<http_response>> endpoint_tracker::FetchControl(http_client& client, chosen_endpoint endpoint,
                                                           http_request request, milliseconds timeout,
                                                           http_client::response_filter fits, std::size_t body_bytes) {
  const std::string target = request.target;
  http_client::response_filter matches = [fits = std::move(fits)](const http_response& response) {
    return platform::CanAnswerControlRequest(response.headers) && (!fits || fits(response));
  };
  auto response = co_await client.Fetch(endpoint.address, std::move(request), timeout, std::move(matches), body_bytes);
  if (!response && response.error().code == error_code::kProtocol) {
    metrics_
        ->AddCounter("persimmon_unexpected_responses_total",
                     "Responses of endpoints to requests of the router itself that belong to other requests.", {})
        .Increment();
    Events()
        .Line(kComponent, "unexpected_response")
        .Add("endpoint", endpoint.name.value)
        .Add("address", endpoint.address.Text())
        .Add("target", target)
        .Add("detail", response.error().message);
  }
  co_return response;
}

task<result<platform::engine_report>> endpoint_tracker::FetchReport(http_client& client, chosen_endpoint engine,
                                                                    milliseconds timeout) {
  const permit_result taken = co_await AcquirePermit(engine, timeout);
  if (!taken.permit) {
    co_return error{error_code::kUnavailable, "the engine's limit allows no request now"};
  }
  const time_point sent = timer_service::Now();
  http_client::response_filter is_report = [](const http_response& candidate) {
    return candidate.status != kOk || platform::ParseReport(candidate.body).has_value();
  };
  auto request = platform::MakeReportRequest(engine.name);
  auto response =
      co_await FetchControl(client, engine, std::move(request), timeout, std::move(is_report), kMaxReportBytes);
  if (!response) {
    co_return response.error();
  }
  RecordResponse(engine, platform::ParseResponseHeaders(response.value().Head()), sent);
  if (response.value().status != kOk) {
    co_return error{error_code::kUnavailable, "no valid report from the engine"};
  }
  co_return platform::ParseReport(response.value().body);
}

void endpoint_tracker::CloseEndpoint(const chosen_endpoint& endpoint, milliseconds duration) {
  const time_point until = timer_service::Now() + duration;
  closure& closed = closures_[endpoint.name];
  // Of several answers, the one that asks for the latest time holds.
  const bool is_same = closed.started_ms == endpoint.started_ms;
  closed = {endpoint.started_ms, endpoint.address, is_same ? std::max(closed.until, until) : until};
  Events().Line(kComponent, "endpoint_closed").Add("endpoint", endpoint.name.value).Add("for_ms", duration.count());
}

bool endpoint_tracker::IsClosed(const chosen_endpoint& endpoint) const {
  const auto found = closures_.find(endpoint.name);
  return found != closures_.end() && found->second.started_ms == endpoint.started_ms &&
         timer_service::Now() < found->second.until;
}

bool endpoint_tracker::IsClosed(const host_port& address) const {
  const time_point now = timer_service::Now();
  return std::any_of(closures_.begin(), closures_.end(),
                     [&](const auto& item) { return item.second.address == address && now < item.second.until; });
}

milliseconds endpoint_tracker::TimeUntilOpen(const std::vector<chosen_endpoint>& endpoints) const {
  const time_point now = timer_service::Now();
  std::optional<milliseconds> shortest;
  for (const chosen_endpoint& endpoint : endpoints) {
    const milliseconds closed =
        IsClosed(endpoint) ? std::chrono::ceil<milliseconds>(closures_.at(endpoint.name).until - now) : milliseconds(0);
    const milliseconds remaining = std::max(closed, limits_->PredictWait(LimitKey(endpoint)));
    shortest = std::min(shortest.value_or(remaining), remaining);
  }
  return shortest.value_or(milliseconds(0));
}

void endpoint_tracker::RemoveEndedClosures() {
  std::erase_if(closures_, [now = timer_service::Now()](const auto& item) { return now >= item.second.until; });
}

void endpoint_tracker::RecordAnswer(const chosen_endpoint& endpoint) {
  StateOf(endpoint.name).down_pause = milliseconds(0);
  const endpoint_entry* entry = directory_->Endpoints().Find(endpoint.name);
  if (entry == nullptr) {
    return;
  }
  health_.try_emplace(entry->service, health_settings{})
      .first->second.RecordAnswer(endpoint.name, 1, timer_service::Now());
}

void endpoint_tracker::RecordFailure(const chosen_endpoint& endpoint) {
  const endpoint_entry* entry = directory_->Endpoints().Find(endpoint.name);
  if (entry == nullptr) {
    return;
  }
  health_.try_emplace(entry->service, health_settings{})
      .first->second.RecordFailure(endpoint.name, timer_service::Now());
}

void endpoint_tracker::RecordUnreachable(const chosen_endpoint& endpoint, const error& failure) {
  if (failure.code != error_code::kNoResources) {
    PauseEndpoint(endpoint, "unreachable");
  }
}

void endpoint_tracker::RecordRequestRejected(const chosen_endpoint& endpoint) { PauseEndpoint(endpoint, "rejected"); }

void endpoint_tracker::RecordStageOrder(const chosen_endpoint& endpoint, milliseconds switch_time) {
  RecordBusy(endpoint, switch_time + kEntryUpdateDelay);
}

void endpoint_tracker::RecordBusy(const chosen_endpoint& endpoint, milliseconds pause) {
  endpoint_state& state = StateOf(endpoint.name);
  state.paused_until = std::max(state.paused_until, timer_service::Now() + pause);
  group_->ScheduleUpdate();
}

// Each consecutive failure doubles the pause. Failures during a pause do not extend it.
void endpoint_tracker::PauseEndpoint(const chosen_endpoint& endpoint, const char* reason) {
  const time_point now = timer_service::Now();
  endpoint_state& state = StateOf(endpoint.name);
  if (now < state.paused_until) {
    return;
  }
  state.down_pause = std::clamp(state.down_pause * 2, settings_.down_pause, settings_.down_pause_limit);
  state.paused_until = now + state.down_pause;
  group_->ScheduleUpdate();
  Events()
      .Line(kComponent, "endpoint_paused")
      .Add("endpoint", endpoint.name.value)
      .Add("address", endpoint.address.Text())
      .Add("reason", reason)
      .Add("pause_ms", state.down_pause.count());
}

bool endpoint_tracker::UsesAdaptivePolicy(const std::string& service) const {
  if (settings_.adaptive != "auto") {
    return settings_.adaptive == "on";
  }
  const auto routes = directory_->Routes();
  const auto reported = work_time_reports_.find(service);
  return routes->Accounts().has_value() || routes->HasPriorities(service) ||
         (reported != work_time_reports_.end() && timer_service::Now() - reported->second < kWorkTimeReportLifetime);
}

std::vector<chosen_endpoint> endpoint_tracker::ListEndpoints(const std::string& service,
                                                             std::optional<endpoint_role> role) const {
  std::vector<chosen_endpoint> endpoints;
  for (const endpoint_entry* entry : directory_->Endpoints().ListReady(service)) {
    auto address = ParseHostPort(entry->address);
    if (address && (!role || entry->role == role)) {
      endpoints.push_back({entry->name, entry->started_ms, entry->zone, address.value(), entry->version});
    }
  }
  return endpoints;
}

bool endpoint_tracker::CanReceive(const chosen_endpoint& endpoint, time_point now) const {
  const endpoint_state* state = FindState(endpoint.name);
  return (state == nullptr || now >= state->paused_until) && !group_->IsPausedByPeer(endpoint.name, now) &&
         !IsClosed(endpoint);
}

double endpoint_tracker::HealthShare(const endpoint_name& endpoint) const {
  const endpoint_entry* entry = directory_->Endpoints().Find(endpoint);
  const auto health = entry == nullptr ? health_.end() : health_.find(entry->service);
  return health == health_.end() ? 1.0 : health->second.HealthShare(endpoint);
}

std::vector<endpoint_view> endpoint_tracker::PlainViews(const std::vector<chosen_endpoint>& endpoints,
                                                        const std::vector<endpoint_name>& avoid) const {
  const time_point now = timer_service::Now();
  std::vector<endpoint_view> views;
  for (const chosen_endpoint& endpoint : endpoints) {
    endpoint_view view;
    view.name = endpoint.name;
    view.zone = endpoint.zone;
    view.can_receive = CanReceive(endpoint, now) && !Contains(avoid, endpoint.name);
    view.health_share = HealthShare(endpoint.name);
    const endpoint_state* state = FindState(endpoint.name);
    view.permit_wait = limits_->PredictWait(LimitKey(endpoint));
    view.calls_in_progress = (state == nullptr ? 0U : state->use.calls) + group_->PeerUse(endpoint.name).calls;
    views.push_back(std::move(view));
  }
  // If all endpoints are paused, use the paused ones rather than fail the call.
  const bool any_can_receive =
      std::any_of(views.begin(), views.end(), [](const endpoint_view& view) { return view.can_receive; });
  for (std::size_t i = 0; i < views.size(); ++i) {
    const bool may_be_paused = !any_can_receive && !Contains(avoid, views[i].name) && !IsClosed(endpoints[i]);
    views[i].can_receive = views[i].can_receive || may_be_paused;
  }
  return views;
}

std::vector<engine_view> endpoint_tracker::EngineViews(
    const std::vector<chosen_endpoint>& endpoints, const engine_profile& profile,
    const std::vector<endpoint_name>& avoid, const std::function<bool(const chosen_endpoint&)>& is_usable) const {
  const time_point now = timer_service::Now();
  const auto is_candidate = [&](const chosen_endpoint& endpoint) {
    return is_usable(endpoint) && !Contains(avoid, endpoint.name);
  };
  const bool all_ejected = std::none_of(endpoints.begin(), endpoints.end(), [&](const chosen_endpoint& endpoint) {
    return is_candidate(endpoint) && HealthShare(endpoint.name) > 0;
  });
  std::vector<engine_view> views;
  for (const chosen_endpoint& endpoint : endpoints) {
    const endpoint_state* state = FindState(endpoint.name);
    const endpoint_use local_use = state == nullptr ? endpoint_use{} : state->use;
    const endpoint_use& peer_use = group_->PeerUse(endpoint.name);
    const bool is_in_rotation = all_ejected || RandomUnit() < HealthShare(endpoint.name);
    engine_view view;
    view.name = endpoint.name;
    view.zone = endpoint.zone;
    const bool has_permits = limits_->PredictWait(LimitKey(endpoint)) == milliseconds(0);
    view.can_receive = CanReceive(endpoint, now) && is_candidate(endpoint) && is_in_rotation && has_permits;
    view.kv_tokens = profile.kv_tokens;
    view.slots = profile.slots;
    view.streams = peer_use.streams;
    if (state != nullptr) {
      for (const auto& [id, stream] : state->streams) {
        view.streams.push_back(stream);
      }
    }
    view.running = static_cast<std::uint32_t>(view.streams.size()) + local_use.prefills + peer_use.prefills;
    view.pending_tokens = local_use.prefill_tokens + peer_use.prefill_tokens;
    view.refused_tokens = state != nullptr && now < state->refused_until ? state->refused_tokens : 0;
    views.push_back(std::move(view));
  }
  return views;
}

bool endpoint_tracker::IsCurrent(const chosen_endpoint& endpoint) const {
  return directory_->Endpoints().ReceivesWork(endpoint.name, endpoint.started_ms);
}

std::optional<chosen_endpoint> endpoint_tracker::FindByAddress(const std::string& service,
                                                               const host_port& address) const {
  const auto endpoints = ListEndpoints(service, std::nullopt);
  const auto found = std::find_if(endpoints.begin(), endpoints.end(),
                                  [&address](const chosen_endpoint& endpoint) { return endpoint.address == address; });
  return found == endpoints.end() ? std::nullopt : std::optional(*found);
}

bool endpoint_tracker::IsDecodeEngine(const endpoint_name& endpoint) const {
  const endpoint_entry* entry = directory_->Endpoints().Find(endpoint);
  return entry != nullptr && entry->role == endpoint_role::kDecode;
}

std::vector<endpoint_use> endpoint_tracker::LocalUses() const {
  const time_point now = timer_service::Now();
  std::vector<endpoint_use> uses;
  for (const auto& [name, state] : states_) {
    endpoint_use use = state.use;
    for (const auto& [id, stream] : state.streams) {
      use.streams.push_back(stream);
    }
    if (now < state.paused_until) {
      use.pause_ms = static_cast<std::uint16_t>(std::chrono::ceil<milliseconds>(state.paused_until - now).count());
    }
    if (use.pause_ms != 0 || !use.streams.empty() || use.prefill_tokens != 0 || use.prefills != 0 || use.calls != 0) {
      uses.push_back(std::move(use));
    }
  }
  return uses;
}

void endpoint_tracker::UpdateHealth() {
  const time_point now = timer_service::Now();
  for (auto& [service, table] : health_) {
    std::vector<endpoint_name> names;
    for (const endpoint_entry* entry : directory_->Endpoints().ListReady(service)) {
      names.push_back(entry->name);
    }
    table.SetEndpoints(names);
    for (const health_change& change : table.UpdateHealth(now)) {
      Events()
          .Line(kComponent, "health_changed")
          .Add("service", service)
          .Add("endpoint", change.endpoint.value)
          .Add("share", change.share);
    }
  }
}

// Removes the state of unregistered endpoints once nothing is in progress there. Endpoints start and stop all day, so
// the map would otherwise grow without bound.
void endpoint_tracker::RemoveIdleStates() {
  std::erase_if(states_, [this](const auto& item) {
    const endpoint_use& use = item.second.use;
    const bool is_idle = timer_service::Now() >= item.second.paused_until && item.second.streams.empty() &&
                         use.prefills == 0 && use.calls == 0;
    return is_idle && directory_->Endpoints().Find(item.first) == nullptr;
  });
}

}  // namespace persimmon
