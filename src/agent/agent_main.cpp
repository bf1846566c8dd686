// Program persimmon-agent.
#include "agent/agent.h"
#include "agent/agent_settings.h"
#include "core/program.h"

namespace persimmon {
namespace {

// Services of the kernel need Start and Stop; the parts below have none of their own.
struct shared_parts {
  shared_parts(asio::io_context& context, const agent_settings& settings)
      : table(context, settings.table_servers, settings.table_timeout),
        traces("persimmon-agent", settings.trace_file.empty() ? tracer::sink() : MakeFileSink(settings.trace_file)),
        timers(context) {}

  void Start() {
    flush = timers.SubscribeEvery(milliseconds(1'000), 0, [this] { traces.Flush(); });
  }
  void Stop() {
    flush.Cancel();
    traces.Flush();
  }

  table_client table;
  tracer traces;
  timer_service timers;
  timer_subscription flush;
};

result<detail::stop_function> Build(kernel& services, const agent_settings& settings) {
  auto& parts = services.Register<shared_parts>("parts", services.Context(), settings);
  config_store_settings config_settings;
  config_settings.peers_needed = static_cast<std::size_t>(settings.peers_needed);
  auto& configs =
      services.Register<config_store>("configs", services.Timers(), services.Context(), parts.table, config_settings);
  auto& agent =
      services.Register<agent_service>("agent", services.Context(), settings, parts.table, configs, parts.traces);
  auto held = agent.HoldPort();
  if (!held) {
    return held.error();
  }
  return detail::stop_function([&agent](std::function<void()> finished) { agent.Leave(std::move(finished)); });
}

}  // namespace
}  // namespace persimmon

int main(int argc, char** argv) {
  using persimmon::agent_settings;
  return persimmon::RunDaemon<agent_settings>(
      argc, argv, {"persimmon-agent", "Grants the slots of one endpoint and runs its work."},
      persimmon::BindAgentSettings, persimmon::Build);
}
