// Internal state of the agent. The agent_*.cpp files implement the member functions, grouped by subject.
//
// Sections
//   1. routers
//   2. work
//   3. state: start and stop (agent.cpp), routers and reports (agent_routers.cpp), slots and model work
//      (agent_work.cpp), plain calls and attempts (agent_calls.cpp), engine and commands (agent_engine.cpp)
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agent/agent_settings.h"
#include "agent/engine_client.h"
#include "agent/identity.h"
#include "core/log.h"
#include "core/trace.h"
#include "net/channel.h"
#include "net/datagram.h"
#include "net/http.h"
#include "persimmon/attempts.h"
#include "persimmon/request_limits.h"
#include "persimmon/slots.h"
#include "store/config_store.h"

namespace persimmon::detail {

// ---------------------------------------------------------------------------------------------------------------------
// 1. routers
// ---------------------------------------------------------------------------------------------------------------------

// State of one incarnation of a router. After the loss of its channel, the session is kept for the silence limit
// (agent_settings::router_silence), so that the router can resume it on a new channel.
struct router_session {
  router_identity identity;
  channel_ptr channel;                // null: disconnected
  time_point last_message_at;         // time of the last message of any type
  std::uint64_t last_event_sent = 0;  // sequence number of the last cache event in a load report
  time_point last_fetch;              // time of the last fetch_config sent to this router
  load_report last_report;            // without its sequence number
  time_point last_report_at;          // time at which last_report was sent
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. work
// ---------------------------------------------------------------------------------------------------------------------

// A prefill or decode that a router has started. Kept for kEndedRetention after its end, so that resume_stream can
// repeat its results.
struct model_work {
  std::variant<start_prefill, start_decode> start;
  attempt_id attempt;
  request_id request;
  router_identity router;
  channel_ptr channel;   // receives the results; null until resume_stream names a new one
  bool started = false;  // sent to the engine
  bool cancelled = false;
  bool ended = false;  // the engine has released all resources of this work
  time_point ended_at;
  work_state state = work_state::kRunning;
  std::string reason;

  // prefill
  prefill_progress progress;

  // decode
  std::vector<std::string> produced_tokens;  // from start_decode.offset on
  std::size_t sent_count = 0;                // number of produced_tokens sent on the current channel
  bool end_sent = false;
  bool has_transfer_permit = false;
  time_point last_token;

  bool IsPrefill() const { return std::holds_alternative<start_prefill>(start); }
};

using work_ptr = std::shared_ptr<model_work>;

// A plain call in progress and the routers that wait for its end.
struct running_call {
  std::set<router_identity> answer_recipients;  // service_answer
  std::set<router_identity> status_recipients;  // attempt_status, from query_attempt with wait
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. state
// ---------------------------------------------------------------------------------------------------------------------

struct agent_state : std::enable_shared_from_this<agent_state> {
  agent_state(asio::io_context& context, agent_settings values, table_client& table, config_store& configs,
              tracer& traces);

  // --- start and stop (agent.cpp) ---
  result<void> BindPort();
  task<> Run();
  task<> AllocateIncarnation();
  void Listen();
  void Tick();
  void Stop();
  void StopGracefully(std::function<void()> on_drained);
  void UpdateLeaving();
  bool HasWork() const;
  void MarkSuperseded();

  // --- routers and reports (agent_routers.cpp) ---
  hello MakeHello() const;
  heartbeat MakeHeartbeat() const;
  void OnOpen(const channel_ptr& router_channel);
  void OnMessage(const channel_ptr& router_channel, const message& value);
  void OnClose(const channel_ptr& router_channel);
  router_session* FindSession(const channel_ptr& router_channel);
  void SendTo(const router_identity& router, const message& value);
  void DropSilentRouters(time_point now);
  void DropRouter(const router_identity& identity, const char* reason);
  void SendLoadReports();
  load_report MakeLoadReport() const;
  void AddCacheEvents(router_session& session, load_report& report);
  void FetchConfigIfNewer(router_session& session, revision_number revision);
  void UpdateStorePolling();

  // --- slots and model work (agent_work.cpp) ---
  void OnReserve(const router_session& session, const reserve_slot& request);
  void SendSlotDecision(const slot_decision& decision);
  void ProcessSlots();
  void ProcessSlotsOnce();
  void OnStart(const router_session& session, std::variant<start_prefill, start_decode> start);
  microseconds TransferLeadTime(const model_work& work) const;
  slot_request MakeUnreservedRequest(const model_work& work, time_point now) const;
  void StartWork(const work_ptr& work);
  task<> RunPrefill(work_ptr work);
  task<> RunDecode(work_ptr work);
  task<std::string> DecodeOnce(work_ptr work, std::string traceparent, time_point& first_token);
  bool OnPrefillLine(const work_ptr& work, std::string_view line, std::string& failure);
  bool OnDecodeLine(const work_ptr& work, std::string_view line, std::string& failure, time_point& first_token);
  task<> AcquireTransferPermit(work_ptr work);
  void ReleaseTransferPermit(const work_ptr& work);
  void EndWork(const work_ptr& work, work_state state, const std::string& reason);
  void CancelWork(const work_ptr& work);
  task<> CancelOnEngine(work_ptr work);
  void SendPendingResults(const work_ptr& work);
  void OnResume(const router_session& session, const resume_stream& request);
  void RefuseStart(const router_session& session, const attempt_id& attempt, bool is_prefill,
                   const std::string& reason);
  void RemoveEndedWork(time_point now);

  // --- plain calls and attempts (agent_calls.cpp) ---
  void OnCall(const router_session& session, const call_service& call);
  void RefuseCall(const router_session& session, const call_service& call, const std::string& reason);
  void SendAnswer(const router_session& session, const attempt_id& attempt);
  task<> RunCall(call_service call);
  void EndCall(const attempt_id& attempt, const service_answer& answer);
  void OnCancel(const router_session& session, const cancel& request);
  void OnQuery(const router_session& session, const query_attempt& request);
  attempt_status MakeStatus(const attempt_id& attempt, incarnation_number expected_incarnation) const;

  // --- limit that the endpoint states (agent_limit.cpp) ---
  void RecordResponse(const http_response_head& head, time_point sent);
  task<bool> AcquirePermit(milliseconds max_wait);  // false: the limit allows no request within that time
  milliseconds PredictPermitWait() const;           // of a new request, after those that have reserved a slot

  // --- engine and commands (agent_engine.cpp) ---
  void ApplyConfiguration(const std::shared_ptr<const configuration>& values);
  task<> PollEngine();
  task<> RefreshEngineState();
  task<> ReadCacheEvents();
  task<> Reconcile();
  task<> VerifyIncarnation();
  task<> AdvanceCounter();
  void UpdateOpenSlotKinds();
  bool IsEngine() const { return settings.kind == "engine"; }
  bool IsReady() const;
  engine_setup DesiredSetup() const;
  bool IsDrainedFor(const engine_setup& desired) const;

  const logger log{"agent"};
  asio::io_context& context;
  agent_settings settings;
  config_store& configs;
  tracer& traces;
  timer_service timers;
  incarnation_counter counter;
  engine_client engine;
  http_client service;

  // start and stop
  boost::asio::ip::tcp::acceptor startup_acceptor;  // holds the port until the listener opens it
  std::unique_ptr<channel_listener> listener;
  std::unique_ptr<datagram_socket> datagrams;
  incarnation_number incarnation = 0;
  bool incarnation_provisional = false;  // chosen without the store, and the counter row is not yet advanced to it
  bool superseded = false;               // a newer incarnation has started
  bool incarnation_verified = true;      // false after a pause of the process, until the counter row has been read
  bool stopping = false;                 // SIGTERM
  bool leaving = false;                  // stopping, draining or superseded: no new work is accepted
  std::function<void()> on_drained;      // called once a graceful stop has finished all work
  time_point idle_since;
  time_point last_tick;
  time_point last_counter_retry;
  time_point last_attempt_expiry;
  timer_subscription tick_timer;
  timer_subscription report_timer;
  timer_subscription poll_timer;
  timer_subscription slot_timer;
  bool stopped = false;

  // routers
  std::map<router_identity, router_session> sessions;
  std::uint64_t report_sequence = 0;
  std::uint64_t opening_sequence = 0;

  // slots and model work
  slot_table slots;
  engine_speed speed;
  std::map<attempt_id, work_ptr> work_items;
  std::int64_t active_transfers = 0;
  std::deque<work_ptr> transfer_queue;
  bool processing_slots = false;
  bool process_slots_again = false;

  // plain calls
  attempt_table attempts;
  std::map<attempt_id, running_call> calls;
  time_point service_retry_at;  // after a refused connection the service is reported as not ready until then

  // Limit that the endpoint states. No other process sends requests to it.
  exclusive_limit limit{request_limit_settings{}};
  time_point next_limited_poll;

  // engine
  std::shared_ptr<const configuration> config;
  std::optional<endpoint_record> record;       // of this endpoint, in the configuration in force
  std::optional<engine_state> reported_state;  // absent: the engine is unavailable
  bool engine_poll_running = false;
  bool command_accepted = false;         // the engine has accepted a command of this incarnation
  bool deferral_logged = false;          // logged that commands wait for the store
  std::deque<cache_event> cache_events;  // the latest events of the engine, oldest first
  std::uint64_t last_cache_event = 0;
};

}  // namespace persimmon::detail
