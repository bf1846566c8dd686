// Entry point of persimmon-router, which routes callers' requests to the agents of the endpoints.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>

#include "core/program.h"
#include "core/telemetry.h"
#include "direct/direct_router.h"
#include "platform/table_client.h"
#include "router/dispatcher.h"
#include "router/endpoint_directory.h"
#include "router/front_end.h"
#include "router/guards.h"
#include "router/keyed_calls.h"
#include "router/model_calls.h"
#include "router/peer_directory.h"
#include "router/router_settings.h"
#include "router/service_calls.h"
#include "store/claim_store.h"
#include "store/config_store.h"
#include "store/vm_list.h"

namespace persimmon {
namespace {

// Start time in microseconds. A router has no persistent state, so this suffices to distinguish its incarnations.
incarnation_number MakeIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<incarnation_number>(std::chrono::duration_cast<microseconds>(now).count());
}

channel_handlers MakeBaseHandlers(kernel& services, const router_settings& settings, incarnation_number incarnation) {
  channel_handlers handlers;
  handlers.make_hello = [&services, settings, incarnation] {
    hello hello_message;
    hello_message.program = "router";
    hello_message.name = settings.name;
    hello_message.incarnation = incarnation;
    hello_message.zone = settings.zone;
    hello_message.secret = settings.secret;
    hello_message.revision = services.Find<config_store>("config").Revision();
    hello_message.datagram_port = settings.datagram.port;
    return hello_message;
  };
  handlers.make_heartbeat = [&services] {
    heartbeat heartbeat_message;
    heartbeat_message.revision = services.Find<config_store>("config").Revision();
    heartbeat_message.suspects = services.Find<suspect_guard>("suspects").OwnReports();
    return heartbeat_message;
  };
  return handlers;
}

claim_transport MakeClaimTransport(kernel& services, const router_settings& settings) {
  claim_transport transport;
  transport.self = router_name{settings.name};
  transport.routers = [&services] {
    std::vector<router_name> routers;
    for (const std::string& name : services.Find<peer_directory>("peers").ConnectedRouters()) {
      routers.push_back(router_name{name});
    }
    return routers;
  };
  transport.send = [&services](const router_name& router, const message& value) {
    return services.Find<peer_directory>("peers").Send(router.value, value);
  };
  return transport;
}

// Passes claim batches and their results from other routers to the claim store.
void ServeClaimBatches(peer_directory& peers, claim_store& claims) {
  peers.SubscribeMessages([&claims](const channel_ptr& from, const message& value) {
    if (const auto* batch = std::get_if<claim_batch>(&value)) {
      claims.OnBatch(*batch, [from](const claim_results& results) { from->Send(results); });
    } else if (const auto* results = std::get_if<claim_results>(&value)) {
      claims.OnResults(*results);
    }
  });
}

result<detail::stop_function> BuildRouter(kernel& services, const router_settings& settings) {
  const channel_handlers handlers = MakeBaseHandlers(services, settings, MakeIncarnation());
  config_store_settings config;
  config.poll_period = settings.poll_period;
  config.peers_needed = static_cast<std::size_t>(settings.config_peers);

  services.Register<telemetry>("telemetry", services, settings.name, settings.trace_file);
  const platform_client platform(services.Context(), settings.table_servers, settings.table_timeout);
  const auto table = std::make_shared<table_client>(services.Context(), settings.table_servers, settings.table_timeout);
  services.Register<vm_list>("vms", services.Timers(), services.Context(), platform, vm_list_settings{});
  services.Register<config_store>("config", services.Timers(), services.Context(), *table, config);
  auto& peers = services.Register<peer_directory>("peers", services, settings, handlers);
  auto& claims = services.Register<claim_store>("claims", services.Timers(), services.Context(), *table,
                                                claim_store_settings{}, MakeClaimTransport(services, settings));
  services.Register<endpoint_directory>("endpoints", services, settings, handlers);
  services.Register<suspect_guard>("suspects", services, settings);
  services.Register<part_guard>("parts", services, settings);
  services.Register<account_guard>("accounts", services, settings);
  services.Register<dispatcher>("dispatcher", services, settings);
  services.Register<model_calls>("models", services, settings);
  auto& calls = services.Register<service_calls>("services", services, settings);
  keyed_call_settings keyed;
  keyed.pause_before_send = settings.pause_before_send;
  services.Register<keyed_calls>("keyed", services.Timers(), services.Context(), keyed, calls.MakeCallbacks());
  ServeClaimBatches(peers, claims);
  auto& front = services.Register<front_end>("front_end", services, settings);
  return detail::stop_function([&front, table](std::function<void()> finished) { front.Drain(std::move(finished)); });
}

}  // namespace
}  // namespace persimmon

int main(int argc, char** argv) {
  // With a settings file of the platform, the program runs as the direct router, which needs no agents.
  if (persimmon::platform::SettingsPath()) {
    return persimmon::RunDaemon<persimmon::direct_settings>(
        argc, argv,
        {"persimmon-router", "Serves callers and forwards their requests directly to endpoints, without agents."},
        persimmon::BindDirectSettings, persimmon::BuildDirectRouter);
  }
  return persimmon::RunDaemon<persimmon::router_settings>(
      argc, argv, {"persimmon-router", "Serves callers and routes their requests to the agents of the endpoints."},
      persimmon::BindRouterSettings, persimmon::BuildRouter);
}
