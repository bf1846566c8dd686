// The agent of one endpoint: the only process that talks to its engine or service.
//
// It grants slots to routers, starts and cancels work, streams results, releases everything that a silent router holds,
// reports load, and reconciles the engine's roles, models and adapters with the configuration records.
#pragma once

#include <functional>
#include <memory>

#include "agent/agent_settings.h"
#include "core/kernel.h"
#include "core/trace.h"
#include "platform/table_client.h"
#include "store/config_store.h"

namespace persimmon {

namespace detail {
struct agent_state;
}

// A kernel service. Grants nothing until a configuration with its endpoint record is in force.
class agent_service {
 public:
  agent_service(asio::io_context& context, agent_settings settings, table_client& table, config_store& configs,
                tracer& traces);

  // Binds the listening port. Errors: kUnavailable if the port is in use; nothing has been started then.
  result<void> BindPort();

  // Allocates an incarnation, then accepts routers.
  void Start();
  void Stop();

  // Graceful stop: accepts no new work, finishes the work in progress, then calls on_drained.
  void StopGracefully(std::function<void()> on_drained);

 private:
  std::shared_ptr<detail::agent_state> state_;
};

}  // namespace persimmon
