// Channels to the agents of the endpoints that this router watches, their load, and the attempts in progress on them.
//
// Sections
//   1. events of an attempt
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
// 1. events of an attempt
// ---------------------------------------------------------------------------------------------------------------------

// The channel to the agent was lost, or is open again. A changed incarnation means that the agent forgot the attempt.
struct channel_change {
  endpoint_name endpoint;
  bool open = false;
  incarnation_number incarnation = 0;  // of the agent, if open

  bool operator==(const channel_change&) const = default;
};

// The caller closed its connection before its answer was complete.
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
  bool open = false;                   // the channel is open
  incarnation_number incarnation = 0;  // of the agent
  bool leaving = false;                // by heartbeat, load report or record
  revision_number revision = 0;        // configuration in force at the agent
  load_report load;                    // the latest report
  time_point load_time;                // when it arrived
  bool prefill_open = false;           // the agent has announced a prefill slot that no bid has taken yet
  std::uint32_t active_attempts = 0;   // attempts of this router in progress
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. directory
// ---------------------------------------------------------------------------------------------------------------------

class endpoint_directory {
 public:
  using change_listener = std::function<void(const endpoint_name&)>;
  // Called when an agent's process was lost, with the attempts that were in progress on it.
  using loss_listener = std::function<void(const endpoint_name&, const std::vector<attempt_id>&)>;

  endpoint_directory(kernel& services, const router_settings& settings, channel_handlers base_handlers);

  void Start();
  void Stop();

  // Status of the watched endpoints of a pool that have the role.
  std::vector<const endpoint_status*> List(const std::string& pool, endpoint_role role) const;
  const endpoint_status* Find(const endpoint_name& name) const;

  // Sends to the endpoint's agent. Returns false if no channel is open; nothing was sent then.
  bool Send(const endpoint_name& name, const message& value);

  // Routes events of the attempt to the mailbox until Unregister. One mailbox may serve several attempts.
  void Register(const attempt_id& attempt, const endpoint_name& endpoint, const std::shared_ptr<attempt_mailbox>& box);
  void Unregister(const attempt_id& attempt);

  // Notes a bid for the announced prefill slot, so that the endpoint is not asked again before it announces another.
  void NotePrefillTaken(const endpoint_name& name);

  // Speed and failures decide how much of its normal work an endpoint gets. The slowness is the measured time divided
  // by the predicted one.
  void NoteAnswer(const endpoint_name& name, endpoint_role role, double slowness);
  void NoteFailure(const endpoint_name& name, endpoint_role role);
  double HealthShare(const endpoint_name& name, endpoint_role role) const;

  // Notes that the engine or service of an endpoint was lost: it gets no work until its agent reports it ready again.
  void NoteEngineLost(const endpoint_name& name);

  void SubscribeChanges(change_listener on_change) { change_listeners_.push_back(std::move(on_change)); }
  void SubscribeLosses(loss_listener on_loss) { loss_listeners_.push_back(std::move(on_loss)); }
  void SubscribeReports(std::function<void(const load_report&)> on_report) {
    report_listeners_.push_back(std::move(on_report));
  }

 private:
  struct link {
    endpoint_status status;
    std::unique_ptr<channel_connector> connector;
    time_point closed_at;
  };
  struct attempt_route {
    endpoint_name endpoint;
    std::shared_ptr<attempt_mailbox> box;
    bool loss_reported = false;
  };

  void ApplyConfiguration(const configuration& config);
  std::vector<endpoint_record> ChooseWatched(const configuration& config) const;
  void OpenLink(const endpoint_record& record);
  void HandleOpen(const endpoint_name& name, const channel_ptr& opened);
  void HandleClose(const endpoint_name& name);
  void HandleMessage(const endpoint_name& name, const channel_ptr& from, const message& value);
  void HandleReport(const load_report& report);
  void RouteEvent(const endpoint_name& from, const attempt_id& attempt, attempt_event event);
  void PushToAttempts(const endpoint_name& name, const attempt_event& event);
  void CheckLosses();
  void ResetHealth(const std::vector<endpoint_record>& watched);
  void UpdateHealth();
  health_table* FindHealth(const endpoint_name& name, endpoint_role role);
  void ReportLoss(const endpoint_name& name);
  void NotifyChange(const endpoint_name& name);
  link* FindLink(const endpoint_name& name);

  kernel& kernel_;
  const router_settings& settings_;
  channel_handlers base_handlers_;
  std::map<endpoint_name, link> links_;
  std::map<std::pair<std::string, endpoint_role>, health_table> health_;  // by pool and role
  std::unordered_map<attempt_id, attempt_route> routes_;
  std::unique_ptr<datagram_socket> reports_;
  timer_subscription loss_timer_;
  std::vector<change_listener> change_listeners_;
  std::vector<loss_listener> loss_listeners_;
  std::vector<std::function<void(const load_report&)>> report_listeners_;
};

}  // namespace persimmon
