// Sections
//   1. configuration
//   2. polling
//   3. commands
//
// Commands are level-triggered: the desired setup from the records is compared with the one that the engine reports,
// and the command is repeated until they agree. Commands of a superseded agent are prevented as follows:
//   - An engine that checks fencing tokens refuses them, however late they arrive.
//   - For an engine that ignores fencing tokens, the agent reads the counter row (the row of the table service with the
//     latest incarnation of the endpoint's agent) right before each command and sends it only if the row holds its own
//     incarnation and the read took less than kMaxCheckDuration. While the store is unavailable it sends no command. A
//     pause between this check and the arrival of the command at the engine is not covered; only a check by the engine
//     could cover it.
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "agent/agent_state.h"

namespace persimmon::detail {
namespace {

constexpr std::size_t kMaxCacheEvents = 4'096;

// Share of a limit that the engine states which the agent uses to read the engine's state.
constexpr double kPollShare = 0.1;
constexpr milliseconds kMaxPollPause(10'000);

// If checking the counter row took longer than this, the check is repeated before a command is sent.
constexpr milliseconds kMaxCheckDuration(500);

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
  log.Info("{} has applied revision {}{}.", settings.name, values->revision,
           record ? "" : ", which has no record of this endpoint");
  UpdateOpenSlotKinds();
  UpdateLeaving();
  ProcessSlots();
  if (IsEngine()) {
    asio::co_spawn(context, PollEngine(), asio::detached);
  }
}

engine_setup agent_state::DesiredSetup() const {
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
  if (!record || !incarnation_verified) {
    return false;
  }
  return IsEngine() ? reported_state.has_value() : timer_service::Now() >= service_retry_at;
}

// Opens the slots of a kind if the agent is ready, the records assign the role and the engine has it.
void agent_state::UpdateOpenSlotKinds() {
  if (!IsEngine()) {
    slots.SetSlots(0, 0);
    return;
  }
  const bool ready = IsReady();
  for (const slot_kind kind : {slot_kind::kPrefill, slot_kind::kDecode}) {
    const char* role = kind == slot_kind::kPrefill ? "prefill" : "decode";
    slots.SetOpen(kind, ready && Contains(DesiredSetup().roles, role) && Contains(reported_state->setup.roles, role));
  }
  if (reported_state) {
    slots.SetSlots(1, reported_state->decode_slots);
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. polling
// ---------------------------------------------------------------------------------------------------------------------

task<> agent_state::PollEngine() {
  const auto self = shared_from_this();
  const time_point now = timer_service::Now();
  if (!IsEngine() || stopped || (limit.IsLimited() && now < next_limited_poll) ||
      std::exchange(engine_poll_running, true)) {
    co_return;
  }
  if (limit.IsLimited()) {
    limit.Charge(timer_service::NowWithSuspension());
    const auto pause = std::chrono::duration<double>(1 / std::max(kPollShare * *limit.Rate(), 1e-3));
    next_limited_poll =
        now + std::chrono::duration_cast<milliseconds>(std::min<std::chrono::duration<double>>(pause, kMaxPollPause));
  }
  co_await RefreshEngineState();
  if (reported_state) {
    if (!limit.IsLimited()) {
      co_await ReadCacheEvents();
    }
    co_await Reconcile();
  }
  engine_poll_running = false;
}

task<> agent_state::RefreshEngineState() {
  auto state = co_await engine.ReadState();
  const bool answered = state.has_value();
  if (answered != reported_state.has_value()) {
    if (answered) {
      log.Info("The engine at {} is available.", engine.Address().Text());
    } else {
      log.Warning("The engine at {} is unavailable: {}.", engine.Address().Text(), state.error().message);
    }
  }
  reported_state = answered ? std::optional(state.value()) : std::nullopt;
  UpdateOpenSlotKinds();
  ProcessSlots();
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

// Returns whether the engine has no work left in the roles that the setup removes.
bool agent_state::IsDrainedFor(const engine_setup& desired) const {
  const bool removes_prefill = Contains(reported_state->setup.roles, "prefill") && !Contains(desired.roles, "prefill");
  const bool removes_decode = Contains(reported_state->setup.roles, "decode") && !Contains(desired.roles, "decode");
  return (!removes_prefill || slots.CountEntries(slot_kind::kPrefill) == 0) &&
         (!removes_decode || slots.CountEntries(slot_kind::kDecode) == 0);
}

task<> agent_state::Reconcile() {
  const auto self = shared_from_this();
  if (!record || superseded) {
    co_return;
  }
  const engine_setup desired = DesiredSetup();
  // The first command is sent even if the setup is unchanged, so that the engine records this incarnation and refuses
  // older ones.
  if ((desired == reported_state->setup && command_accepted) || !IsDrainedFor(desired)) {
    co_return;
  }
  const time_point check_started = timer_service::Now();
  const auto verdict = co_await counter.Check(incarnation, incarnation_provisional);
  if (verdict == incarnation_check::kSuperseded) {
    MarkSuperseded();
    co_return;
  }
  if (verdict == incarnation_check::kCurrent) {
    incarnation_provisional = false;
  } else if (!reported_state || !reported_state->highest_token ||
             reported_state->highest_token->incarnation > incarnation) {
    // The store is unavailable, and the engine does not report a fencing token or has accepted a command of a newer
    // agent: keep serving the loaded setup.
    if (!std::exchange(deferral_logged, true)) {
      log.Warning("{} sends no commands until the store is available.", settings.name);
    }
    co_return;
  }
  if (timer_service::Now() - check_started > kMaxCheckDuration && verdict == incarnation_check::kCurrent) {
    co_return;  // the next poll checks again
  }
  if (!limit.Take(microseconds(0), timer_service::NowWithSuspension()).granted) {
    co_return;  // the next poll tries again
  }
  const fencing_token token{config->revision, incarnation};
  auto reply = co_await engine.SendCommand(token, desired);
  if (!reply) {
    log.Warning("Engine command failed: {}.", reply.error().message);
    co_return;
  }
  if (!reply.value().accepted) {
    const auto highest = reply.value().highest_token;
    log.Warning("The engine refused a command of incarnation {}; the highest incarnation it has accepted is {}.",
                incarnation, highest ? highest->incarnation : 0);
    if (highest && highest->incarnation > incarnation) {
      MarkSuperseded();
    }
    co_return;
  }
  command_accepted = true;
  deferral_logged = false;
  log.Info("The engine has accepted roles {} of revision {}.", fmt::join(desired.roles, ", "), token.revision);
}

// After a start without the store: advances the counter row to this incarnation as soon as the store is available, so
// that later starts are assigned higher ones.
task<> agent_state::AdvanceCounter() {
  const auto self = shared_from_this();
  const auto verdict = co_await counter.Check(incarnation, true);
  if (verdict == incarnation_check::kSuperseded) {
    MarkSuperseded();
  } else if (verdict == incarnation_check::kCurrent && std::exchange(incarnation_provisional, false)) {
    log.Info("The counter row was advanced to incarnation {}.", incarnation);
  }
}

// After the process was suspended, the agent accepts no work until it has confirmed that no newer incarnation has
// started, or that the store is unavailable.
task<> agent_state::VerifyIncarnation() {
  const auto self = shared_from_this();
  const auto verdict = co_await counter.Check(incarnation, incarnation_provisional);
  if (verdict == incarnation_check::kSuperseded) {
    MarkSuperseded();
    co_return;
  }
  incarnation_verified = true;
  UpdateOpenSlotKinds();
  ProcessSlots();
}

}  // namespace persimmon::detail
