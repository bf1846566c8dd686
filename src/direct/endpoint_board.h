// This router's picture of the endpoints: what is in progress on each, by this router and its peers, and which ones
// fail. A service of the kernel.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/kernel.h"
#include "direct/directory.h"
#include "direct/router_group.h"
#include "persimmon/kv_placement.h"
#include "persimmon/selection.h"

namespace persimmon {

// An endpoint chosen for a request, copied because its entry may change meanwhile.
struct chosen_endpoint {
  endpoint_name name;
  std::uint64_t started_ms = 0;  // of its incarnation
  zone_name zone;
  host_port address;

  bool operator==(const chosen_endpoint&) const = default;
};

class endpoint_board {
 public:
  endpoint_board(kernel& services, const direct_settings& settings);

  void Start();
  void Stop();

  // Work of this router. Counts never go below zero.
  void AddCall(const endpoint_name& endpoint, int calls);
  void AddPrefill(const endpoint_name& endpoint, std::int64_t tokens, int prefills);
  void AddDecode(const endpoint_name& endpoint, std::int64_t tokens, int decodes);

  // An engine refused to reserve this many tokens; it is not asked for as much again for a moment.
  void NoteRefused(const endpoint_name& endpoint, std::uint32_t tokens);

  void NoteAnswer(const chosen_endpoint& endpoint);
  void NoteFailure(const chosen_endpoint& endpoint);      // no whole answer, or late beyond its limit
  void NoteUnreachable(const chosen_endpoint& endpoint);  // nothing could be sent
  void NoteRejected(const chosen_endpoint& endpoint);     // it refused work that it should have room for

  // An order changes the engine's stage; it takes no work until that is done.
  void NoteOrdered(const chosen_endpoint& endpoint, milliseconds switch_time);
  void NoteBusy(const chosen_endpoint& endpoint, milliseconds pause);  // it is carrying out an order

  // Endpoints of a service in the order of the views.
  std::vector<chosen_endpoint> List(const std::string& service, std::optional<endpoint_role> role) const;
  std::vector<endpoint_view> PlainViews(const std::vector<chosen_endpoint>& endpoints,
                                        const std::vector<endpoint_name>& avoid) const;
  std::vector<engine_view> EngineViews(const std::vector<chosen_endpoint>& endpoints, const engine_profile& profile,
                                       const std::vector<endpoint_name>& avoid) const;

  // True if the endpoint is registered with the same incarnation and takes new work.
  bool IsCurrent(const chosen_endpoint& endpoint) const;

  // True if its entry names it a decode engine.
  bool IsDecodeEngine(const endpoint_name& endpoint) const;

  // For other routers.
  std::vector<endpoint_use> OwnUses() const;

 private:
  struct endpoint_state {
    endpoint_use use;
    time_point down_until;
    milliseconds down_pause{0};
    std::uint32_t refused_tokens = 0;
    time_point refused_until;
  };

  void Pause(const chosen_endpoint& endpoint, const char* reason);
  endpoint_state& State(const endpoint_name& endpoint);
  const endpoint_state* FindState(const endpoint_name& endpoint) const;
  bool CanReceive(const chosen_endpoint& endpoint, time_point now) const;
  void UpdateHealth();
  void DropIdleStates();

  kernel& kernel_;
  const direct_settings& settings_;
  deployment_directory* directory_ = nullptr;
  router_group* group_ = nullptr;
  std::map<endpoint_name, endpoint_state> states_;
  std::map<std::string, health_table> health_;  // by service
  timer_subscription health_timer_;
};

}  // namespace persimmon
