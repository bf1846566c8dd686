// Sections
//   1. configuration
//   2. polling
//   3. commands
//
// Commands are level-triggered: the setup that the records want is compared with what the engine reports, and the
// command is repeated until they agree. What keeps a former agent from commanding the engine:
//   - An engine that checks fencing numbers refuses it, whenever its command arrives.
//   - For an engine that ignores them, the agent reads the counter row right before each command and sends it only if
//     the row is its own and the read took less than kCheckLimit. Without the store it sends no command. What remains
//     is a pause between this check and the arrival of the command at the engine; only the engine could close that gap.
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "agent/agent_state.h"

namespace persimmon::detail {
namespace {

constexpr std::size_t kMaxCacheEvents = 4'096;

// A check of the counter row that took longer is repeated before a command is sent.
constexpr milliseconds kCheckLimit(500);

const char* RoleText(endpoint_role role) {
  switch (role) {
    case endpoint_role::kPrefill:
      return "prefill";
    case endpoint_role::kDecode:
      return "decode";
    case endpoint_role::kService:
      return "service";
  }
  return "";
}

bool Contains(const std::vector<std::string>& list, const std::string& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. configuration
// ---------------------------------------------------------------------------------------------------------------------

void agent_state::ApplyConfiguration(const std::shared_ptr<const configuration>& values) {
  config = values;
  const auto found = values->endpoints.find(endpoint_name{settings.name});
  record = found == values->endpoints.end() ? std::nullopt : std::optional(found->second);
  log.Info("{} applies revision {}{}.", settings.name, values->revision,
           record ? "" : ", which holds no record of this endpoint");
  UpdateOpenKinds();
  UpdateLeaving();
  Pump();
  if (IsEngine()) {
    asio::co_spawn(context, PollEngine(), asio::detached);
  }
}

engine_setup agent_state::WantedSetup() const {
  engine_setup setup;
  for (const endpoint_role role : record->roles) {
    setup.roles.emplace_back(RoleText(role));
  }
  std::set<std::string> pool_models;
  for (const auto& [name, model] : config->models) {
    if (model.pool == record->pool) {
      pool_models.insert(name);
      setup.models.push_back(model.versions.empty() ? name : name + "@" + model.versions.back());
    }
  }
  for (const auto& [name, adapter] : config->adapters) {
    const bool serves = std::any_of(adapter.models.begin(), adapter.models.end(),
                                    [&pool_models](const std::string& model) { return pool_models.count(model) != 0; });
    if (serves) {
      setup.adapters.push_back(name);
    }
  }
  std::sort(setup.roles.begin(), setup.roles.end());
  std::sort(setup.models.begin(), setup.models.end());
  std::sort(setup.adapters.begin(), setup.adapters.end());
  return setup;
}

bool agent_state::IsReady() const {
  if (!record || !verified) {
    return false;
  }
  return IsEngine() ? reported.has_value() : timer_service::Now() >= service_retry;
}

// A kind of slot is open while the records want its role and the engine has it.
void agent_state::UpdateOpenKinds() {
  if (!IsEngine()) {
    slots.SetSlots(0, 0);
    return;
  }
  const bool ready = IsReady();
  for (const slot_kind kind : {slot_kind::kPrefill, slot_kind::kDecode}) {
    const char* role = kind == slot_kind::kPrefill ? "prefill" : "decode";
    slots.SetOpen(kind, ready && Contains(WantedSetup().roles, role) && Contains(reported->setup.roles, role));
  }
  if (reported) {
    slots.SetSlots(1, reported->decode_slots);
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. polling
// ---------------------------------------------------------------------------------------------------------------------

task<> agent_state::PollEngine() {
  const auto self = shared_from_this();
  if (!IsEngine() || stopped || std::exchange(polling, true)) {
    co_return;
  }
  co_await ReadEngine();
  if (reported) {
    co_await ReadCacheEvents();
    co_await Reconcile();
  }
  polling = false;
}

task<> agent_state::ReadEngine() {
  auto state = co_await engine.ReadState();
  const bool answered = state.has_value();
  if (answered != reported.has_value()) {
    if (answered) {
      log.Info("The engine at {} answers.", engine.Address().Text());
    } else {
      log.Warning("The engine at {} does not answer: {}.", engine.Address().Text(), state.error().message);
    }
  }
  reported = answered ? std::optional(state.value()) : std::nullopt;
  UpdateOpenKinds();
  Pump();
}

task<> agent_state::ReadCacheEvents() {
  auto events = co_await engine.ReadCacheEvents(last_cache_event);
  if (!events) {
    co_return;
  }
  for (const cache_event& event : events.value()) {
    last_cache_event = std::max(last_cache_event, event.sequence);
    cache_events.push_back(event);
  }
  while (cache_events.size() > kMaxCacheEvents) {
    cache_events.pop_front();
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. commands
// ---------------------------------------------------------------------------------------------------------------------

// Work of a role that the engine is to lose must end first.
bool agent_state::IsDrainedFor(const engine_setup& wanted) const {
  const bool loses_prefill = Contains(reported->setup.roles, "prefill") && !Contains(wanted.roles, "prefill");
  const bool loses_decode = Contains(reported->setup.roles, "decode") && !Contains(wanted.roles, "decode");
  return (!loses_prefill || slots.CountEntries(slot_kind::kPrefill) == 0) &&
         (!loses_decode || slots.CountEntries(slot_kind::kDecode) == 0);
}

task<> agent_state::Reconcile() {
  const auto self = shared_from_this();
  if (!record || superseded) {
    co_return;
  }
  const engine_setup wanted = WantedSetup();
  // The first command is sent even if nothing changes: the engine learns the incarnation and refuses older ones.
  if ((wanted == reported->setup && registered) || !IsDrainedFor(wanted)) {
    co_return;
  }
  const time_point checked = timer_service::Now();
  const auto verdict = co_await counter.Check(incarnation, provisional);
  if (verdict == incarnation_check::kSuperseded) {
    NoteSuperseded();
    co_return;
  }
  if (verdict == incarnation_check::kCurrent) {
    provisional = false;
  } else if (!reported || !reported->highest || reported->highest->incarnation > incarnation) {
    // The store is out and the engine cannot tell, or knows of a newer agent: serve what is loaded.
    if (!std::exchange(withheld, true)) {
      log.Warning("{} sends no commands until the store answers.", settings.name);
    }
    co_return;
  }
  if (timer_service::Now() - checked > kCheckLimit && verdict == incarnation_check::kCurrent) {
    co_return;  // the next poll checks again
  }
  const fence_number fence{config->revision, incarnation};
  auto reply = co_await engine.SendCommand(fence, wanted);
  if (!reply) {
    log.Warning("A command has failed: {}.", reply.error().message);
    co_return;
  }
  if (!reply.value().obeyed) {
    const auto highest = reply.value().highest;
    log.Warning("The engine refused a command of incarnation {}; it has seen {}.", incarnation,
                highest ? highest->incarnation : 0);
    if (highest && highest->incarnation > incarnation) {
      NoteSuperseded();
    }
    co_return;
  }
  registered = true;
  withheld = false;
  log.Info("The engine was told to serve {} with revision {}.", fmt::join(wanted.roles, ", "), fence.revision);
}

// After a start without the store: raises the counter row as soon as the store answers, so that a later start draws a
// higher number.
task<> agent_state::RaiseCounter() {
  const auto self = shared_from_this();
  const auto verdict = co_await counter.Check(incarnation, true);
  if (verdict == incarnation_check::kSuperseded) {
    NoteSuperseded();
  } else if (verdict == incarnation_check::kCurrent && std::exchange(provisional, false)) {
    log.Info("The counter row was raised to incarnation {}.", incarnation);
  }
}

// After a pause the agent takes no work until it knows that no newer incarnation has started, or that the store cannot
// tell.
task<> agent_state::VerifyIncarnation() {
  const auto self = shared_from_this();
  const auto verdict = co_await counter.Check(incarnation, provisional);
  if (verdict == incarnation_check::kSuperseded) {
    NoteSuperseded();
    co_return;
  }
  verified = true;
  UpdateOpenKinds();
  Pump();
}

}  // namespace persimmon::detail
