#include "router/endpoint_directory.h"

#include <algorithm>

#include "core/log.h"
#include "persimmon/selection.h"

namespace persimmon {
namespace {

const logger& Log() {
  static const logger log("router.endpoints");
  return log;
}

// A channel that stays closed for this long means that the agent is lost; its attempts then become suspects.
constexpr milliseconds kLossDelay(1'500);

// Messages about requests. The others repeat all the time and say nothing about a session.
bool IsSessionMessage(const message& value) {
  return !std::holds_alternative<heartbeat>(value) && !std::holds_alternative<load_report>(value) &&
         !std::holds_alternative<slot_open>(value) && !std::holds_alternative<fetch_config>(value);
}

bool HasRole(const endpoint_record& record, endpoint_role role) {
  return std::find(record.roles.begin(), record.roles.end(), role) != record.roles.end();
}

}  // namespace

endpoint_directory::endpoint_directory(kernel& services, const router_settings& settings,
                                       channel_handlers base_handlers)
    : kernel_(services), settings_(settings), base_handlers_(std::move(base_handlers)) {}

void endpoint_directory::Start() {
  reports_ = std::make_unique<datagram_socket>(kernel_.Context(), settings_.datagram,
                                               [this](const host_port&, const message& value) {
                                                 if (const auto* report = std::get_if<load_report>(&value)) {
                                                   HandleReport(*report);
                                                 }
                                               });
  if (auto started = reports_->Start(); !started) {
    StopProgram(started.error().message);
  }
  kernel_.Find<config_store>("config").Subscribe(
      [this](const std::shared_ptr<const configuration>& config) { ApplyConfiguration(*config); });
  loss_timer_ = kernel_.Timers().SubscribeEvery(milliseconds(100), 0, [this] {
    CheckLosses();
    UpdateHealth();
  });
}

void endpoint_directory::Stop() {
  loss_timer_.Cancel();
  for (auto& [name, item] : links_) {
    item.connector->Stop();
  }
  reports_->Stop();
}

// ---------------------------------------------------------------------------------------------------------------------
// Configuration
// ---------------------------------------------------------------------------------------------------------------------

std::vector<endpoint_record> endpoint_directory::ChooseWatched(const configuration& config) const {
  std::map<std::pair<std::string, endpoint_role>, std::vector<subset_member>> groups;
  for (const auto& [name, record] : config.endpoints) {
    for (const endpoint_role role : record.roles) {
      groups[{record.pool, role}].push_back(subset_member{name, record.zone});
    }
  }
  std::vector<endpoint_record> watched;
  std::map<endpoint_name, bool> seen;
  for (const auto& [group, members] : groups) {
    const auto subset =
        PickSubset(router_name{settings_.name}, members, static_cast<std::size_t>(settings_.endpoints_per_pool));
    for (const endpoint_name& name : subset) {
      if (!std::exchange(seen[name], true)) {
        watched.push_back(config.endpoints.at(name));
      }
    }
  }
  return watched;
}

void endpoint_directory::ApplyConfiguration(const configuration& config) {
  const auto watched = ChooseWatched(config);
  std::map<endpoint_name, const endpoint_record*> wanted;
  for (const endpoint_record& record : watched) {
    wanted[record.name] = &record;
  }
  for (auto item = links_.begin(); item != links_.end();) {
    const auto found = wanted.find(item->first);
    const bool keep = found != wanted.end() && found->second->address == item->second.status.record.address;
    if (keep) {
      ++item;
      continue;
    }
    // Attempts in progress learn of it as of any lost agent.
    const endpoint_name name = item->first;
    item->second.connector->Stop();
    ReportLoss(name);
    item = links_.erase(item);
  }
  ResetHealth(watched);
  for (const endpoint_record& record : watched) {
    const auto found = links_.find(record.name);
    if (found == links_.end()) {
      OpenLink(record);
    } else {
      found->second.status.record = record;
    }
    NotifyChange(record.name);
  }
}

void endpoint_directory::OpenLink(const endpoint_record& record) {
  auto address = ParseHostPort(record.address);
  if (!address) {
    Log().Error("Endpoint {} has no valid address: {}.", record.name.value, address.error().message);
    return;
  }
  const endpoint_name name = record.name;
  channel_handlers handlers = base_handlers_;
  handlers.on_open = [this, name](const channel_ptr& opened) { HandleOpen(name, opened); };
  handlers.on_message = [this, name](const channel_ptr& from, const message& value) {
    HandleMessage(name, from, value);
  };
  handlers.on_close = [this, name](const channel_ptr&, const error& reason) {
    Log().Info("Lost the channel to {}: {}.", name.value, reason.message);
    HandleClose(name);
  };
  link created;
  created.status.record = record;
  created.closed_at = timer_service::Now();
  created.connector =
      std::make_unique<channel_connector>(kernel_.Context(), address.value(), channel_settings{}, std::move(handlers));
  created.connector->Start();
  links_.emplace(name, std::move(created));
}

// ---------------------------------------------------------------------------------------------------------------------
// Channels
// ---------------------------------------------------------------------------------------------------------------------

endpoint_directory::link* endpoint_directory::FindLink(const endpoint_name& name) {
  const auto found = links_.find(name);
  return found == links_.end() ? nullptr : &found->second;
}

void endpoint_directory::HandleOpen(const endpoint_name& name, const channel_ptr& opened) {
  link* item = FindLink(name);
  if (item == nullptr) {
    return;
  }
  const hello& peer = opened->Peer();
  if (peer.name != name.value || peer.incarnation < item->status.incarnation) {
    opened->Close({error_code::kInvalid, "another process or an older incarnation answers at the endpoint's address"});
    return;
  }
  if (item->status.incarnation != 0 && peer.incarnation != item->status.incarnation) {
    ReportLoss(name);
  }
  item->status.open = true;
  item->status.incarnation = peer.incarnation;
  item->status.revision = peer.revision;
  item->status.prefill_open = false;
  item->status.leaving = false;
  PushToAttempts(name, channel_change{name, true, peer.incarnation});
  NotifyChange(name);
}

void endpoint_directory::HandleClose(const endpoint_name& name) {
  link* item = FindLink(name);
  if (item == nullptr) {
    return;
  }
  item->status.open = false;
  item->status.prefill_open = false;
  item->closed_at = timer_service::Now();
  PushToAttempts(name, channel_change{name, false, 0});
  NotifyChange(name);
}

void endpoint_directory::HandleMessage(const endpoint_name& name, const channel_ptr& from, const message& value) {
  link* item = FindLink(name);
  if (item == nullptr) {
    return;
  }
  if (IsSessionMessage(value)) {
    Log().Debug("Received {} from {}.", MessageName(value), name.value);
  }
  endpoint_status& status = item->status;
  if (const auto* beat = std::get_if<heartbeat>(&value)) {
    status.revision = beat->revision;
    if (status.leaving != beat->leaving) {
      status.leaving = beat->leaving;
      NotifyChange(name);
    }
  } else if (const auto* open = std::get_if<slot_open>(&value)) {
    if (open->role == slot_role::kPrefill) {
      status.prefill_open = true;
      NotifyChange(name);
    }
  } else if (const auto* fetch = std::get_if<fetch_config>(&value)) {
    from->Send(kernel_.Find<config_store>("config").MakeSnapshot(fetch->have));
  } else if (const auto* granted = std::get_if<slot_granted>(&value)) {
    RouteEvent(name, granted->attempt, *granted);
  } else if (const auto* refused = std::get_if<slot_refused>(&value)) {
    RouteEvent(name, refused->attempt, *refused);
  } else if (const auto* progress = std::get_if<prefill_progress>(&value)) {
    RouteEvent(name, progress->attempt, *progress);
  } else if (const auto* part = std::get_if<tokens>(&value)) {
    RouteEvent(name, part->attempt, *part);
  } else if (const auto* answer = std::get_if<service_answer>(&value)) {
    RouteEvent(name, answer->attempt, *answer);
  } else if (const auto* state = std::get_if<attempt_status>(&value)) {
    RouteEvent(name, state->attempt, *state);
  }
}

void endpoint_directory::HandleReport(const load_report& report) {
  link* item = FindLink(report.endpoint);
  if (item == nullptr || !EqualSecrets(report.secret, settings_.secret)) {
    return;
  }
  endpoint_status& status = item->status;
  const bool is_older = report.incarnation < status.incarnation ||
                        (report.incarnation == status.load.incarnation && report.sequence <= status.load.sequence);
  if (is_older) {
    return;
  }
  status.load = report;
  status.load.secret.clear();
  status.load_time = timer_service::Now();
  status.revision = std::max(status.revision, report.revision);
  status.leaving = report.leaving;
  if (report.prefill_free == 0) {
    status.prefill_open = false;
  }
  for (const auto& listener : report_listeners_) {
    listener(status.load);
  }
  NotifyChange(report.endpoint);
}

// ---------------------------------------------------------------------------------------------------------------------
// Attempts
// ---------------------------------------------------------------------------------------------------------------------

void endpoint_directory::RouteEvent(const endpoint_name& from, const attempt_id& attempt, attempt_event event) {
  const auto found = routes_.find(attempt);
  // An attempt is answered by its own endpoint only; anything else is late or misdirected.
  if (found != routes_.end() && found->second.endpoint == from) {
    found->second.box->Push(std::move(event));
  }
}

void endpoint_directory::PushToAttempts(const endpoint_name& name, const attempt_event& event) {
  for (const auto& [attempt, route] : routes_) {
    if (route.endpoint == name) {
      route.box->Push(event);
    }
  }
}

void endpoint_directory::Register(const attempt_id& attempt, const endpoint_name& endpoint,
                                  const std::shared_ptr<attempt_mailbox>& box) {
  routes_[attempt] = {endpoint, box, false};
  if (link* item = FindLink(endpoint)) {
    ++item->status.active_attempts;
  }
}

void endpoint_directory::Unregister(const attempt_id& attempt) {
  const auto found = routes_.find(attempt);
  if (found == routes_.end()) {
    return;
  }
  link* item = FindLink(found->second.endpoint);
  if (item != nullptr && item->status.active_attempts > 0) {
    --item->status.active_attempts;
  }
  routes_.erase(found);
}

// ---------------------------------------------------------------------------------------------------------------------
// Health
// ---------------------------------------------------------------------------------------------------------------------

void endpoint_directory::ResetHealth(const std::vector<endpoint_record>& watched) {
  std::map<std::pair<std::string, endpoint_role>, std::vector<endpoint_name>> groups;
  for (const endpoint_record& record : watched) {
    for (const endpoint_role role : record.roles) {
      groups[{record.pool, role}].push_back(record.name);
    }
  }
  for (const auto& [group, names] : groups) {
    health_.try_emplace(group, health_settings{}).first->second.SetEndpoints(names);
  }
}

health_table* endpoint_directory::FindHealth(const endpoint_name& name, endpoint_role role) {
  const link* item = FindLink(name);
  const auto found = item == nullptr ? health_.end() : health_.find({item->status.record.pool, role});
  return found == health_.end() ? nullptr : &found->second;
}

void endpoint_directory::NoteAnswer(const endpoint_name& name, endpoint_role role, double slowness) {
  if (health_table* health = FindHealth(name, role)) {
    health->NoteAnswer(name, slowness, timer_service::Now());
  }
}

void endpoint_directory::NoteFailure(const endpoint_name& name, endpoint_role role) {
  if (health_table* health = FindHealth(name, role)) {
    health->NoteFailure(name, timer_service::Now());
  }
}

double endpoint_directory::HealthShare(const endpoint_name& name, endpoint_role role) const {
  const auto item = links_.find(name);
  const auto found = item == links_.end() ? health_.end() : health_.find({item->second.status.record.pool, role});
  return found == health_.end() ? 1.0 : found->second.HealthShare(name);
}

void endpoint_directory::UpdateHealth() {
  for (auto& [group, health] : health_) {
    for (const health_change& change : health.UpdateHealth(timer_service::Now())) {
      const int percent = static_cast<int>(change.share * 100);
      if (change.phase == health_phase::kEjected) {
        Log().Warning("Endpoint {} of pool {} is slow or failing and gets no work.", change.endpoint.value,
                      group.first);
      } else {
        Log().Info("Endpoint {} of pool {} gets {}% of its work.", change.endpoint.value, group.first, percent);
      }
      NotifyChange(change.endpoint);
    }
  }
}

void endpoint_directory::CheckLosses() {
  const time_point now = timer_service::Now();
  for (auto& [name, item] : links_) {
    if (!item.status.open && now - item.closed_at > kLossDelay) {
      ReportLoss(name);
    }
  }
}

void endpoint_directory::ReportLoss(const endpoint_name& name) {
  std::vector<attempt_id> lost;
  for (auto& [attempt, route] : routes_) {
    if (route.endpoint == name && !std::exchange(route.loss_reported, true)) {
      lost.push_back(attempt);
    }
  }
  if (lost.empty()) {
    return;
  }
  for (const auto& listener : loss_listeners_) {
    listener(name, lost);
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// Access
// ---------------------------------------------------------------------------------------------------------------------

std::vector<const endpoint_status*> endpoint_directory::List(const std::string& pool, endpoint_role role) const {
  std::vector<const endpoint_status*> found;
  for (const auto& [name, item] : links_) {
    if (item.status.record.pool == pool && HasRole(item.status.record, role)) {
      found.push_back(&item.status);
    }
  }
  return found;
}

const endpoint_status* endpoint_directory::Find(const endpoint_name& name) const {
  const auto found = links_.find(name);
  return found == links_.end() ? nullptr : &found->second.status;
}

bool endpoint_directory::Send(const endpoint_name& name, const message& value) {
  link* item = FindLink(name);
  const channel_ptr current = item == nullptr ? nullptr : item->connector->Current();
  if (!current) {
    return false;
  }
  current->Send(value);
  Log().Debug("Sent {} to {}.", MessageName(value), name.value);
  return true;
}

void endpoint_directory::NotePrefillTaken(const endpoint_name& name) {
  if (link* item = FindLink(name)) {
    item->status.prefill_open = false;
  }
}

void endpoint_directory::NoteEngineLost(const endpoint_name& name) {
  if (link* item = FindLink(name)) {
    item->status.load.ready = false;
    item->status.prefill_open = false;
  }
}

void endpoint_directory::NotifyChange(const endpoint_name& name) {
  for (const auto& listener : change_listeners_) {
    listener(name);
  }
}

}  // namespace persimmon
