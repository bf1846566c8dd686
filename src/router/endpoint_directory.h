// Connections to the agents of the watched endpoints, with their load and health, and the routing of agent messages to
// the attempts in progress. The watched endpoints are the subset of each pool that this router connects to and sends
// work to.
//
// Sections
//   1. attempt events
//   2. endpoint state
//   3. directory
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/kernel.h"
#include "core/mailbox.h"
#include "net/channel.h"
#include "net/datagram.h"
#include "persimmon/records.h"
#include "persimmon/selection.h"
#include "router/router_settings.h"
#include "store/config_store.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. attempt events
// ---------------------------------------------------------------------------------------------------------------------

// The channel to the agent was lost or reopened. A different incarnation means that the agent has restarted and no
// longer knows the attempt.
struct channel_change {
  endpoint_name endpoint;
  bool open = false;
  incarnation_number incarnation = 0;  // incarnation of the agent, if open

  bool operator==(const channel_change&) const = default;
};

// The caller closed its connection before the response was complete.
struct caller_gone {
  bool operator==(const caller_gone&) const = default;
};

using attempt_event = std::variant<slot_granted, slot_refused, prefill_progress, tokens, service_answer, attempt_status,
                                   channel_change, caller_gone>;

using attempt_mailbox = mailbox<attempt_event>;

// ---------------------------------------------------------------------------------------------------------------------
// 2. endpoint state
// ---------------------------------------------------------------------------------------------------------------------

struct endpoint_status {
  endpoint_record record;
  bool open = false;                    // a channel to the agent is open
  incarnation_number incarnation = 0;   // of the agent; 0: not connected yet
  bool leaving = false;                 // the agent accepts no new work, by its latest heartbeat or load report
  revision_number revision = 0;         // configuration revision of the agent
  load_report load;                     // latest load report
  time_point load_time;                 // arrival time of the latest load report
  bool prefill_slot_announced = false;  // the agent has announced a free prefill slot that is not reserved yet
  std::uint32_t active_attempts = 0;    // this router's attempts in progress
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. directory
// ---------------------------------------------------------------------------------------------------------------------

class endpoint_directory {
 public:
  using change_listener = std::function<void(const endpoint_name&)>;
  // Called when an agent has restarted, has been unreachable for too long or is no longer watched, with the attempts
  // that were in progress on it. suspect_guard counts this as a crash of the endpoint.
  using loss_listener = std::function<void(const endpoint_name&, const std::vector<attempt_id>&)>;

  endpoint_directory(kernel& services, const router_settings& settings, channel_handlers base_handlers);

  void Start();
  void Stop();

  // Status of the pool's watched endpoints that have the role.
  std::vector<const endpoint_status*> List(const std::string& pool, endpoint_role role) const;
  const endpoint_status* Find(const endpoint_name& name) const;

  // Sends a message to the endpoint's agent. Returns false, without sending, if no channel is open.
  bool Send(const endpoint_name& name, const message& value);

  // Delivers the attempt's events to the mailbox until Unregister. Several attempts may share a mailbox.
  void Register(const attempt_id& attempt, const endpoint_name& endpoint,
                const std::shared_ptr<attempt_mailbox>& events);
  void Unregister(const attempt_id& attempt);

  // Marks the announced prefill slot as taken, so that no other job is sent to it before the next announcement.
  void MarkPrefillSlotTaken(const endpoint_name& name);

  // Record the result of an attempt on an endpoint. Speed and failures determine HealthShare, the fraction of its
  // normal load that the endpoint receives. The slowness is the measured time divided by the predicted time.
  void RecordAnswer(const endpoint_name& name, endpoint_role role, double slowness);
  void RecordFailure(const endpoint_name& name, endpoint_role role);
  double HealthShare(const endpoint_name& name, endpoint_role role) const;

  // Reports that the endpoint's engine or service was lost. The endpoint gets no work until its agent reports it ready.
  void MarkEngineLost(const endpoint_name& name);

  void SubscribeChanges(change_listener on_change) { change_listeners_.push_back(std::move(on_change)); }
  void SubscribeLosses(loss_listener on_loss) { loss_listeners_.push_back(std::move(on_loss)); }
  void SubscribeReports(std::function<void(const load_report&)> on_report) {
    report_listeners_.push_back(std::move(on_report));
  }

 private:
  struct agent_connection {
    endpoint_status status;
    std::unique_ptr<channel_connector> connector;
    time_point closed_at;  // when the channel was last closed, or the connection created
  };
  struct attempt_route {
    endpoint_name endpoint;
    std::shared_ptr<attempt_mailbox> events;
    bool loss_reported = false;
  };

  void ApplyConfiguration(const configuration& config);
  std::vector<endpoint_record> SelectWatchedEndpoints(const configuration& config) const;
  void OpenConnection(const endpoint_record& record);
  void HandleOpen(const endpoint_name& name, const channel_ptr& opened);
  void HandleClose(const endpoint_name& name);
  void HandleMessage(const endpoint_name& name, const channel_ptr& from, const message& value);
  void HandleReport(const load_report& report);
  void RouteEvent(const endpoint_name& from, const attempt_id& attempt, attempt_event event);
  void PushToAttempts(const endpoint_name& name, const attempt_event& event);
  void CheckForLostAgents();
  void ResetHealth(const std::vector<endpoint_record>& watched);
  void UpdateHealth();
  health_table* FindHealth(const endpoint_name& name, endpoint_role role);
  void ReportLoss(const endpoint_name& name);
  void NotifyChange(const endpoint_name& name);
  agent_connection* FindConnection(const endpoint_name& name);

  kernel& kernel_;
  const router_settings& settings_;
  channel_handlers base_handlers_;
  std::map<endpoint_name, agent_connection> connections_;
  std::map<std::pair<std::string, endpoint_role>, health_table> health_;  // keyed by pool and role
  std::unordered_map<attempt_id, attempt_route> routes_;
  std::unique_ptr<datagram_socket> reports_;
  timer_subscription loss_timer_;
  std::vector<change_listener> change_listeners_;
  std::vector<loss_listener> loss_listeners_;
  std::vector<std::function<void(const load_report&)>> report_listeners_;
};

}  // namespace persimmon
