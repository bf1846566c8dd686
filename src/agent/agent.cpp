// Sections
//   1. agent_service
//   2. start
//   3. periodic work
//   4. leaving and stop
#include "agent/agent.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdlib>

#include "agent/agent_state.h"
#include "core/program.h"

namespace persimmon {
namespace detail {
namespace {

constexpr milliseconds kTickPeriod(100);
// How often an agent with a provisional incarnation looks whether the store answers again.
constexpr milliseconds kRaisePause(1'000);

// Expiry looks at each of up to 200,000 entries.
constexpr milliseconds kExpiryPeriod(10'000);

// A tick that is this late shows that the process was paused: another incarnation may have started meanwhile.
constexpr milliseconds kPauseLimit(1'000);

// An agent starts with a provisional incarnation after trying to draw one for this long.
constexpr milliseconds kDrawLimit(2'000);
constexpr milliseconds kDrawPause(100);

slot_settings MakeSlotSettings(const agent_settings& settings) {
  slot_settings values;
  values.bid_window = settings.bid_window;
  values.lookahead = settings.lookahead;
  return values;
}

attempt_limits MakeAttemptLimits(const agent_settings& settings) {
  attempt_limits limits;
  limits.answer_bytes = static_cast<std::size_t>(settings.answer_bytes);
  limits.answer_retention = settings.answer_retention;
  return limits;
}

}  // namespace

agent_state::agent_state(asio::io_context& context, agent_settings values, table_client& table, config_store& configs,
                         tracer& traces)
    : context(context),
      settings(std::move(values)),
      configs(configs),
      traces(traces),
      timers(context),
      counter(timers, table, "agent/" + settings.name),
      engine(context, settings.engine, settings.stream_timeout),
      service(context, http_client_limits()),
      port_holder(context),
      slots(MakeSlotSettings(settings)),
      attempts(0, MakeAttemptLimits(settings)) {}

// ---------------------------------------------------------------------------------------------------------------------
// 2. start
// ---------------------------------------------------------------------------------------------------------------------

// The port is held before the incarnation is drawn: a second agent started by mistake on this VM must not outrank the
// running one.
result<void> agent_state::HoldPort() {
  boost::system::error_code failure;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(settings.channel.host), settings.channel.port);
  port_holder.open(endpoint.protocol(), failure);
  if (!failure) {
    port_holder.set_option(asio::socket_base::reuse_address(true), failure);
    port_holder.bind(endpoint, failure);
  }
  if (!failure) {
    // Only a listening socket excludes a second one on the same address.
    port_holder.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return error{error_code::kUnavailable,
                 fmt::format("cannot listen on {}: {}", settings.channel.Text(), failure.message())};
  }
  return outcome::success();
}

task<> agent_state::Run() {
  const auto self = shared_from_this();
  co_await DrawIncarnation();
  if (stopped) {
    co_return;
  }
  attempts = attempt_table(incarnation, MakeAttemptLimits(settings));
  configs.Subscribe([self](const std::shared_ptr<const configuration>& values) { self->ApplyConfiguration(values); });
  last_tick = timer_service::Now();
  Listen();
  tick = timers.SubscribeEvery(kTickPeriod, 0, [self] { self->Tick(); });
  reports = timers.SubscribeEvery(settings.report_period, 0.1, [self] { self->SendLoadReports(); });
  poll = timers.SubscribeEvery(settings.poll_period, 0.1,
                               [self] { asio::co_spawn(self->context, self->PollEngine(), asio::detached); });
  asio::co_spawn(context, PollEngine(), asio::detached);
}

task<> agent_state::DrawIncarnation() {
  const time_point begin = timer_service::Now();
  std::string problem;
  while (timer_service::Now() - begin < kDrawLimit && !stopped) {
    auto drawn = co_await counter.Draw();
    if (drawn) {
      incarnation = drawn.value();
      log.Info("{} has incarnation {}.", settings.name, incarnation);
      co_return;
    }
    problem = drawn.error().message;
    co_await timers.Sleep(kDrawPause);
  }
  std::optional<incarnation_number> highest;
  if (IsEngine()) {
    auto state = co_await engine.ReadState();
    if (state && state.value().highest) {
      highest = state.value().highest->incarnation;
    }
  }
  incarnation = MakeProvisionalIncarnation(highest);
  provisional = true;
  log.Warning("{} has the provisional incarnation {}: the store does not answer ({}).", settings.name, incarnation,
              problem);
}

void agent_state::Listen() {
  const auto self = shared_from_this();
  channel_settings options;
  options.allowed_hosts = settings.allowed_hosts;
  channel_handlers handlers;
  handlers.make_hello = [self] { return self->MakeHello(); };
  handlers.make_heartbeat = [self] { return self->MakeHeartbeat(); };
  handlers.on_open = [self](const channel_ptr& link) { self->OnOpen(link); };
  handlers.on_message = [self](const channel_ptr& link, const message& value) { self->OnMessage(link, value); };
  handlers.on_close = [self](const channel_ptr& link, const error&) { self->OnClose(link); };
  boost::system::error_code ignored;
  port_holder.close(ignored);
  listener = std::make_unique<channel_listener>(context, settings.channel, options, handlers);
  auto listening = listener->Start();
  datagrams = std::make_unique<datagram_socket>(context, host_port{settings.channel.host, 0},
                                                [](const host_port&, const message&) {});
  if (listening) {
    listening = datagrams->Start();
  }
  if (!listening) {
    log.Error("Cannot start: {}.", listening.error().message);
    std::_Exit(kExitFailure);
  }
  log.Info("{} serves on {}.", settings.name, settings.channel.Text());
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. periodic work
// ---------------------------------------------------------------------------------------------------------------------

void agent_state::Tick() {
  const time_point now = timer_service::Now();
  if (now - last_tick > kPauseLimit) {
    log.Warning("{} was paused for {} ms and checks its incarnation.", settings.name,
                std::chrono::duration_cast<milliseconds>(now - last_tick).count());
    verified = false;
    asio::co_spawn(context, VerifyIncarnation(), asio::detached);
  }
  last_tick = now;
  if (provisional && now - last_raise >= kRaisePause) {
    last_raise = now;
    asio::co_spawn(context, RaiseCounter(), asio::detached);
  }
  DropSilentRouters(now);
  ForgetEndedWork(now);
  if (now - last_expiry >= kExpiryPeriod) {
    last_expiry = now;
    attempts.ExpireEntries(now);
  }
  UpdateLeaving();
  Pump();
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. leaving and stop
// ---------------------------------------------------------------------------------------------------------------------

void agent_state::Leave(std::function<void()> on_finished) {
  stopping = true;
  finished = std::move(on_finished);
  log.Info("{} leaves: it takes no new work and finishes what runs.", settings.name);
  UpdateLeaving();
}

void agent_state::NoteSuperseded() {
  if (std::exchange(superseded, true)) {
    return;
  }
  log.Error("{} was superseded by a newer incarnation: it sends no commands and takes no new work.", settings.name);
  UpdateLeaving();
}

bool agent_state::HasWork() const {
  if (!calls.empty() || !slots.IsEmpty()) {
    return true;
  }
  return std::any_of(works.begin(), works.end(), [](const auto& item) { return !item.second->ended; });
}

void agent_state::UpdateLeaving() {
  const bool draining = record && record->state == endpoint_state::kDraining;
  const bool now_leaving = stopping || superseded || draining;
  if (now_leaving != leaving) {
    leaving = now_leaving;
    slots.SetLeaving(leaving);
    log.Info("{} is {}.", settings.name, leaving ? "leaving" : "taking work again");
    SendLoadReports();
    Pump();
  }
  const time_point now = timer_service::Now();
  if (HasWork()) {
    idle_since = now;
  }
  if (stopping && finished && now - idle_since >= settings.stop_grace) {
    log.Info("{} has finished its work and stops.", settings.name);
    std::exchange(finished, nullptr)();
  }
}

void agent_state::Stop() {
  stopped = true;
  tick.Cancel();
  reports.Cancel();
  poll.Cancel();
  pump_timer.Cancel();
  boost::system::error_code ignored;
  port_holder.close(ignored);
  if (listener) {
    listener->Stop();
  }
  if (datagrams) {
    datagrams->Stop();
  }
  traces.Flush();
}

}  // namespace detail

// ---------------------------------------------------------------------------------------------------------------------
// 1. agent_service
// ---------------------------------------------------------------------------------------------------------------------

agent_service::agent_service(asio::io_context& context, agent_settings settings, table_client& table,
                             config_store& configs, tracer& traces)
    : state_(std::make_shared<detail::agent_state>(context, std::move(settings), table, configs, traces)) {}

result<void> agent_service::HoldPort() { return state_->HoldPort(); }

void agent_service::Start() { asio::co_spawn(state_->context, state_->Run(), asio::detached); }

void agent_service::Stop() { state_->Stop(); }

void agent_service::Leave(std::function<void()> finished) { state_->Leave(std::move(finished)); }

}  // namespace persimmon
