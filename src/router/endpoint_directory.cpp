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

// If the channel stays closed for this long, the agent counts as lost, and the requests on it become suspects.
constexpr milliseconds kAgentLossTimeout(1'500);

// True for messages about a request. Periodic messages are not logged.
bool IsRequestMessage(const message& value) {
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
    AbortProgram(started.error().message);
  }
  kernel_.Find<config_store>("config").Subscribe(
      [this](const std::shared_ptr<const configuration>& config) { ApplyConfiguration(*config); });
  loss_timer_ = kernel_.Timers().SubscribeEvery(milliseconds(100), 0, [this] {
    CheckForLostAgents();
    UpdateHealth();
  });
}

void endpoint_directory::Stop() {
  loss_timer_.Cancel();
  for (auto& [name, connection] : connections_) {
    connection.connector->Stop();
  }
  reports_->Stop();
}

// ---------------------------------------------------------------------------------------------------------------------
// Configuration
// ---------------------------------------------------------------------------------------------------------------------

std::vector<endpoint_record> endpoint_directory::SelectWatchedEndpoints(const configuration& config) const {
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
  const auto watched = SelectWatchedEndpoints(config);
  std::map<endpoint_name, const endpoint_record*> watched_by_name;
  for (const endpoint_record& record : watched) {
    watched_by_name[record.name] = &record;
  }
  for (auto connection = connections_.begin(); connection != connections_.end();) {
    const auto found = watched_by_name.find(connection->first);
    const bool keep =
        found != watched_by_name.end() && found->second->address == connection->second.status.record.address;
    if (keep) {
      ++connection;
      continue;
    }
    // Attempts in progress are told that the agent was lost.
    const endpoint_name name = connection->first;
    connection->second.connector->Stop();
    ReportLoss(name);
    connection = connections_.erase(connection);
  }
  ResetHealth(watched);
  for (const endpoint_record& record : watched) {
    const auto found = connections_.find(record.name);
    if (found == connections_.end()) {
      OpenConnection(record);
    } else {
      found->second.status.record = record;
    }
    NotifyChange(record.name);
  }
}

void endpoint_directory::OpenConnection(const endpoint_record& record) {
  auto address = ParseHostPort(record.address);
  if (!address) {
    Log().Error("The address of endpoint {} is not valid: {}.", record.name.value, address.error().message);
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
  agent_connection created;
  created.status.record = record;
  created.closed_at = timer_service::Now();
  created.connector =
      std::make_unique<channel_connector>(kernel_.Context(), address.value(), channel_settings{}, std::move(handlers));
  created.connector->Start();
  connections_.emplace(name, std::move(created));
}

// ---------------------------------------------------------------------------------------------------------------------
// Channels
// ---------------------------------------------------------------------------------------------------------------------

endpoint_directory::agent_connection* endpoint_directory::FindConnection(const endpoint_name& name) {
  const auto found = connections_.find(name);
  return found == connections_.end() ? nullptr : &found->second;
}

void endpoint_directory::HandleOpen(const endpoint_name& name, const channel_ptr& opened) {
  agent_connection* connection = FindConnection(name);
  if (connection == nullptr) {
    return;
  }
  const hello& peer = opened->Peer();
  if (peer.name != name.value || peer.incarnation < connection->status.incarnation) {
    opened->Close({error_code::kInvalid, "another process or an older incarnation responds at the endpoint's address"});
    return;
  }
  if (connection->status.incarnation != 0 && peer.incarnation != connection->status.incarnation) {
    ReportLoss(name);
  }
  connection->status.open = true;
  connection->status.incarnation = peer.incarnation;
  connection->status.revision = peer.revision;
  connection->status.prefill_slot_announced = false;
  connection->status.leaving = false;
  PushToAttempts(name, channel_change{name, true, peer.incarnation});
  NotifyChange(name);
}

void endpoint_directory::HandleClose(const endpoint_name& name) {
  agent_connection* connection = FindConnection(name);
  if (connection == nullptr) {
    return;
  }
  connection->status.open = false;
  connection->status.prefill_slot_announced = false;
  connection->closed_at = timer_service::Now();
  PushToAttempts(name, channel_change{name, false, 0});
  NotifyChange(name);
}

void endpoint_directory::HandleMessage(const endpoint_name& name, const channel_ptr& from, const message& value) {
  agent_connection* connection = FindConnection(name);
  if (connection == nullptr) {
    return;
  }
  if (IsRequestMessage(value)) {
    Log().Debug("Received {} from {}.", MessageName(value), name.value);
  }
  endpoint_status& status = connection->status;
  if (const auto* heartbeat_message = std::get_if<heartbeat>(&value)) {
    status.revision = heartbeat_message->revision;
    if (status.leaving != heartbeat_message->leaving) {
      status.leaving = heartbeat_message->leaving;
      NotifyChange(name);
    }
  } else if (const auto* open = std::get_if<slot_open>(&value)) {
    if (open->role == slot_role::kPrefill) {
      status.prefill_slot_announced = true;
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
  } else if (const auto* chunk = std::get_if<tokens>(&value)) {
    RouteEvent(name, chunk->attempt, *chunk);
  } else if (const auto* answer = std::get_if<service_answer>(&value)) {
    RouteEvent(name, answer->attempt, *answer);
  } else if (const auto* state = std::get_if<attempt_status>(&value)) {
    RouteEvent(name, state->attempt, *state);
  }
}

void endpoint_directory::HandleReport(const load_report& report) {
  agent_connection* connection = FindConnection(report.endpoint);
  if (connection == nullptr || !ConstantTimeEquals(report.secret, settings_.secret)) {
    return;
  }
  endpoint_status& status = connection->status;
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
    status.prefill_slot_announced = false;
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
  // Events from other endpoints are late or misrouted, and dropped.
  if (found != routes_.end() && found->second.endpoint == from) {
    found->second.events->Push(std::move(event));
  }
}

void endpoint_directory::PushToAttempts(const endpoint_name& name, const attempt_event& event) {
  for (const auto& [attempt, route] : routes_) {
    if (route.endpoint == name) {
      route.events->Push(event);
    }
  }
}

void endpoint_directory::Register(const attempt_id& attempt, const endpoint_name& endpoint,
                                  const std::shared_ptr<attempt_mailbox>& events) {
  routes_[attempt] = {endpoint, events, false};
  if (agent_connection* connection = FindConnection(endpoint)) {
    ++connection->status.active_attempts;
  }
}

void endpoint_directory::Unregister(const attempt_id& attempt) {
  const auto found = routes_.find(attempt);
  if (found == routes_.end()) {
    return;
  }
  agent_connection* connection = FindConnection(found->second.endpoint);
  if (connection != nullptr && connection->status.active_attempts > 0) {
    --connection->status.active_attempts;
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
  const agent_connection* connection = FindConnection(name);
  const auto found = connection == nullptr ? health_.end() : health_.find({connection->status.record.pool, role});
  return found == health_.end() ? nullptr : &found->second;
}

void endpoint_directory::RecordAnswer(const endpoint_name& name, endpoint_role role, double slowness) {
  if (health_table* health = FindHealth(name, role)) {
    health->RecordAnswer(name, slowness, timer_service::Now());
  }
}

void endpoint_directory::RecordFailure(const endpoint_name& name, endpoint_role role) {
  if (health_table* health = FindHealth(name, role)) {
    health->RecordFailure(name, timer_service::Now());
  }
}

double endpoint_directory::HealthShare(const endpoint_name& name, endpoint_role role) const {
  const auto connection = connections_.find(name);
  const auto found =
      connection == connections_.end() ? health_.end() : health_.find({connection->second.status.record.pool, role});
  return found == health_.end() ? 1.0 : found->second.HealthShare(name);
}

void endpoint_directory::UpdateHealth() {
  for (auto& [group, health] : health_) {
    for (const health_change& change : health.UpdateHealth(timer_service::Now())) {
      const int percent = static_cast<int>(change.share * 100);
      if (change.phase == health_phase::kEjected) {
        Log().Warning("Endpoint {} of pool {} is ejected: it is slow or failing.", change.endpoint.value, group.first);
      } else {
        Log().Info("Endpoint {} of pool {} gets {}% of its normal load.", change.endpoint.value, group.first, percent);
      }
      NotifyChange(change.endpoint);
    }
  }
}

void endpoint_directory::CheckForLostAgents() {
  const time_point now = timer_service::Now();
  for (auto& [name, connection] : connections_) {
    if (!connection.status.open && now - connection.closed_at > kAgentLossTimeout) {
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
  for (const auto& [name, connection] : connections_) {
    if (connection.status.record.pool == pool && HasRole(connection.status.record, role)) {
      found.push_back(&connection.status);
    }
  }
  return found;
}

const endpoint_status* endpoint_directory::Find(const endpoint_name& name) const {
  const auto found = connections_.find(name);
  return found == connections_.end() ? nullptr : &found->second.status;
}

bool endpoint_directory::Send(const endpoint_name& name, const message& value) {
  agent_connection* connection = FindConnection(name);
  const channel_ptr current = connection == nullptr ? nullptr : connection->connector->Current();
  if (!current) {
    return false;
  }
  current->Send(value);
  Log().Debug("Sent {} to {}.", MessageName(value), name.value);
  return true;
}

void endpoint_directory::MarkPrefillSlotTaken(const endpoint_name& name) {
  if (agent_connection* connection = FindConnection(name)) {
    connection->status.prefill_slot_announced = false;
  }
}

void endpoint_directory::MarkEngineLost(const endpoint_name& name) {
  if (agent_connection* connection = FindConnection(name)) {
    connection->status.load.ready = false;
    connection->status.prefill_slot_announced = false;
  }
}

void endpoint_directory::NotifyChange(const endpoint_name& name) {
  for (const auto& listener : change_listeners_) {
    listener(name);
  }
}

}  // namespace persimmon
