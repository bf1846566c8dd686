// Sections
//   1. agent_service
//   2. start
//   3. periodic work
//   4. graceful stop
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
// Interval between attempts to write a provisional incarnation to the endpoint's row in the table service.
constexpr milliseconds kCounterRetryPeriod(1'000);

// Each expiry scans all attempt entries, up to 200,000 of them.
constexpr milliseconds kExpiryPeriod(10'000);

// If a tick is delayed by more than this, the process was paused, and another incarnation may have started meanwhile.
constexpr milliseconds kMaxTickDelay(1'000);

// If the table service assigns no incarnation within this time, the agent starts with a provisional one.
constexpr milliseconds kAllocationTimeout(2'000);
constexpr milliseconds kAllocationRetryPause(100);

// A service may send an answer a second time, late, and nothing in it names its request. So no connection is used
// again; opening one within a VM takes well under a millisecond.
http_client_limits ServiceLimits() {
  http_client_limits limits;
  limits.idle_connections = 0;
  return limits;
}

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
      service(context, ServiceLimits()),
      startup_acceptor(context),
      slots(MakeSlotSettings(settings)),
      attempts(0, MakeAttemptLimits(settings)) {
  engine.on_response = [this](const http_response_head& head, time_point sent) { RecordResponse(head, sent); };
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. start
// ---------------------------------------------------------------------------------------------------------------------

// Binds the port before an incarnation is allocated: a second agent started by mistake on this VM must not get a higher
// incarnation than the running one.
result<void> agent_state::BindPort() {
  boost::system::error_code failure;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(settings.channel.host), settings.channel.port);
  startup_acceptor.open(endpoint.protocol(), failure);
  if (!failure) {
    startup_acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    startup_acceptor.bind(endpoint, failure);
  }
  if (!failure) {
    // With SO_REUSEADDR, only a listening socket prevents a second bind to the same address.
    startup_acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return error{error_code::kUnavailable,
                 fmt::format("cannot listen on {}: {}", settings.channel.Text(), failure.message())};
  }
  return outcome::success();
}

task<> agent_state::Run() {
  const auto self = shared_from_this();
  co_await AllocateIncarnation();
  if (stopped) {
    co_return;
  }
  attempts = attempt_table(incarnation, MakeAttemptLimits(settings));
  configs.Subscribe([self](const std::shared_ptr<const configuration>& values) { self->ApplyConfiguration(values); });
  last_tick = timer_service::Now();
  Listen();
  tick_timer = timers.SubscribeEvery(kTickPeriod, 0, [self] { self->Tick(); });
  report_timer = timers.SubscribeEvery(settings.report_period, 0.1, [self] { self->SendLoadReports(); });
  poll_timer = timers.SubscribeEvery(settings.poll_period, 0.1,
                                     [self] { asio::co_spawn(self->context, self->PollEngine(), asio::detached); });
  asio::co_spawn(context, PollEngine(), asio::detached);
}

task<> agent_state::AllocateIncarnation() {
  const time_point begin = timer_service::Now();
  std::string last_error;
  while (timer_service::Now() - begin < kAllocationTimeout && !stopped) {
    auto allocated = co_await counter.Allocate();
    if (allocated) {
      incarnation = allocated.value();
      log.Info("{} has incarnation {}.", settings.name, incarnation);
      co_return;
    }
    last_error = allocated.error().message;
    co_await timers.Sleep(kAllocationRetryPause);
  }
  std::optional<incarnation_number> highest;
  if (IsEngine()) {
    auto state = co_await engine.ReadState();
    if (state && state.value().highest_token) {
      highest = state.value().highest_token->incarnation;
    }
  }
  incarnation = MakeProvisionalIncarnation(highest);
  incarnation_provisional = true;
  log.Warning("{} has the provisional incarnation {}: the store is unavailable ({}).", settings.name, incarnation,
              last_error);
}

void agent_state::Listen() {
  const auto self = shared_from_this();
  channel_settings options;
  options.allowed_hosts = settings.allowed_hosts;
  channel_handlers handlers;
  handlers.make_hello = [self] { return self->MakeHello(); };
  handlers.make_heartbeat = [self] { return self->MakeHeartbeat(); };
  handlers.on_open = [self](const channel_ptr& router_channel) { self->OnOpen(router_channel); };
  handlers.on_message = [self](const channel_ptr& router_channel, const message& value) {
    self->OnMessage(router_channel, value);
  };
  handlers.on_close = [self](const channel_ptr& router_channel, const error&) { self->OnClose(router_channel); };
  boost::system::error_code ignored;
  startup_acceptor.close(ignored);
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
  log.Info("{} listens on {}.", settings.name, settings.channel.Text());
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. periodic work
// ---------------------------------------------------------------------------------------------------------------------

void agent_state::Tick() {
  const time_point now = timer_service::Now();
  if (now - last_tick > kMaxTickDelay) {
    log.Warning("{} was paused for {} ms; checking its incarnation.", settings.name,
                std::chrono::duration_cast<milliseconds>(now - last_tick).count());
    incarnation_verified = false;
    asio::co_spawn(context, VerifyIncarnation(), asio::detached);
  }
  last_tick = now;
  if (incarnation_provisional && now - last_counter_retry >= kCounterRetryPeriod) {
    last_counter_retry = now;
    asio::co_spawn(context, AdvanceCounter(), asio::detached);
  }
  DropSilentRouters(now);
  RemoveEndedWork(now);
  if (now - last_attempt_expiry >= kExpiryPeriod) {
    last_attempt_expiry = now;
    attempts.ExpireEntries(now);
  }
  UpdateLeaving();
  ProcessSlots();
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. graceful stop
// ---------------------------------------------------------------------------------------------------------------------

void agent_state::StopGracefully(std::function<void()> on_drained) {
  stopping = true;
  this->on_drained = std::move(on_drained);
  log.Info("{} is stopping: it accepts no new work and finishes the work in progress.", settings.name);
  UpdateLeaving();
}

void agent_state::MarkSuperseded() {
  if (std::exchange(superseded, true)) {
    return;
  }
  log.Error("{} was superseded by a newer incarnation: it sends no commands and accepts no new work.", settings.name);
  UpdateLeaving();
}

bool agent_state::HasWork() const {
  if (!calls.empty() || !slots.IsEmpty()) {
    return true;
  }
  return std::any_of(work_items.begin(), work_items.end(), [](const auto& item) { return !item.second->ended; });
}

void agent_state::UpdateLeaving() {
  const bool draining = record && record->state == endpoint_state::kDraining;
  const bool now_leaving = stopping || superseded || draining;
  if (now_leaving != leaving) {
    leaving = now_leaving;
    slots.SetLeaving(leaving);
    log.Info("{} {}.", settings.name, leaving ? "accepts no new work" : "accepts work again");
    SendLoadReports();
    ProcessSlots();
  }
  const time_point now = timer_service::Now();
  if (HasWork()) {
    idle_since = now;
  }
  if (stopping && on_drained && now - idle_since >= settings.stop_grace) {
    log.Info("{} has finished its work and is exiting.", settings.name);
    std::exchange(on_drained, nullptr)();
  }
}

void agent_state::Stop() {
  stopped = true;
  tick_timer.Cancel();
  report_timer.Cancel();
  poll_timer.Cancel();
  slot_timer.Cancel();
  boost::system::error_code ignored;
  startup_acceptor.close(ignored);
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

result<void> agent_service::BindPort() { return state_->BindPort(); }

void agent_service::Start() { asio::co_spawn(state_->context, state_->Run(), asio::detached); }

void agent_service::Stop() { state_->Stop(); }

void agent_service::StopGracefully(std::function<void()> on_drained) { state_->StopGracefully(std::move(on_drained)); }

}  // namespace persimmon
