// The agent of one endpoint: the only process that talks to its engine or service.
//
// It grants slots to routers, starts and cancels work, streams results, drops everything of a silent router, reports
// load, and keeps the engine's roles, models and adapters in line with the records.
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

// A service of the kernel. Needs a configuration that holds its endpoint record before it grants anything.
class agent_service {
 public:
  agent_service(asio::io_context& context, agent_settings settings, table_client& table, config_store& configs,
                tracer& traces);

  // Holds the listening port. Errors: kUnavailable if it is taken; nothing has been started then.
  result<void> HoldPort();

  // Draws the incarnation, then serves routers.
  void Start();
  void Stop();

  // Planned stop: takes no new work, finishes what runs, then calls the function.
  void Leave(std::function<void()> finished);

 private:
  std::shared_ptr<detail::agent_state> state_;
};

}  // namespace persimmon
