// The persimmon-agent program.
#include "agent/agent.h"
#include "agent/agent_settings.h"
#include "core/program.h"

namespace persimmon {
namespace {

// Groups the objects that the services share into one kernel service, because they lack the Start and Stop functions
// that the kernel requires of a service.
struct shared_resources {
  shared_resources(asio::io_context& context, const agent_settings& settings)
      : table(context, settings.table_servers, settings.table_timeout),
        traces("persimmon-agent", settings.trace_file.empty() ? tracer::sink() : MakeFileSink(settings.trace_file)),
        timers(context) {}

  void Start() {
    flush_timer = timers.SubscribeEvery(milliseconds(1'000), 0, [this] { traces.Flush(); });
  }
  void Stop() {
    flush_timer.Cancel();
    traces.Flush();
  }

  table_client table;
  tracer traces;
  timer_service timers;
  timer_subscription flush_timer;
};

result<detail::stop_function> Build(kernel& services, const agent_settings& settings) {
  auto& resources = services.Register<shared_resources>("parts", services.Context(), settings);
  config_store_settings config_settings;
  config_settings.peers_needed = static_cast<std::size_t>(settings.peers_needed);
  auto& configs = services.Register<config_store>("configs", services.Timers(), services.Context(), resources.table,
                                                  config_settings);
  auto& agent = services.Register<agent_service>("agent", services.Context(), settings, resources.table, configs,
                                                 resources.traces);
  auto bound = agent.BindPort();
  if (!bound) {
    return bound.error();
  }
  return detail::stop_function(
      [&agent](std::function<void()> on_drained) { agent.StopGracefully(std::move(on_drained)); });
}

}  // namespace
}  // namespace persimmon

int main(int argc, char** argv) {
  using persimmon::agent_settings;
  return persimmon::RunDaemon<agent_settings>(
      argc, argv,
      {"persimmon-agent", "Runs next to one engine or service, grants its slots to routers and runs their requests."},
      persimmon::BindAgentSettings, persimmon::Build);
}
