// Internal state of the agent. The member functions are spread over the agent_*.cpp files by subject.
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
#include "persimmon/slots.h"
#include "store/config_store.h"

namespace persimmon::detail {

// ---------------------------------------------------------------------------------------------------------------------
// 1. routers
// ---------------------------------------------------------------------------------------------------------------------

// One incarnation of a router. It outlives its channel by the silence limit, so that a new channel continues it.
struct router_session {
  router_identity identity;
  channel_ptr channel;           // null: lost
  time_point last_heard;         // of any message
  std::uint64_t event_sent = 0;  // sequence number of the last cache event in a load report
  time_point fetched;            // when fetch_config was last sent to it
  load_report last_report;       // without its sequence number
  time_point reported;           // when last_report was sent
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. work
// ---------------------------------------------------------------------------------------------------------------------

// A prefill or decode that a router has started. Kept for a while after its end, for resume_stream.
struct model_work {
  std::variant<start_prefill, start_decode> start;
  attempt_id attempt;
  request_id request;
  router_identity router;
  channel_ptr channel;  // receives the results; null until resume_stream names a new one
  bool begun = false;   // given to the engine
  bool cancelled = false;
  bool ended = false;  // the engine holds nothing of it any more
  time_point ended_at;
  work_state state = work_state::kRunning;
  std::string reason;

  // prefill
  prefill_progress progress;

  // decode
  std::vector<std::string> produced;  // from start_decode.offset on
  std::size_t sent = 0;               // of produced, on the present channel
  bool end_sent = false;
  bool transferring = false;
  time_point last_token;

  bool IsPrefill() const { return std::holds_alternative<start_prefill>(start); }
};

using work_ptr = std::shared_ptr<model_work>;

// A plain call in progress and who waits for its end.
struct running_call {
  std::set<router_identity> answer_to;  // service_answer
  std::set<router_identity> status_to;  // attempt_status, from query_attempt with wait
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. state
// ---------------------------------------------------------------------------------------------------------------------

struct agent_state : std::enable_shared_from_this<agent_state> {
  agent_state(asio::io_context& context, agent_settings values, table_client& table, config_store& configs,
              tracer& traces);

  // --- start and stop (agent.cpp) ---
  result<void> HoldPort();
  task<> Run();
  task<> DrawIncarnation();
  void Listen();
  void Tick();
  void Stop();
  void Leave(std::function<void()> on_finished);
  void UpdateLeaving();
  bool HasWork() const;
  void NoteSuperseded();

  // --- routers and reports (agent_routers.cpp) ---
  hello MakeHello() const;
  heartbeat MakeHeartbeat() const;
  void OnOpen(const channel_ptr& link);
  void OnMessage(const channel_ptr& link, const message& value);
  void OnClose(const channel_ptr& link);
  router_session* FindSession(const channel_ptr& link);
  void SendTo(const router_identity& router, const message& value);
  void DropSilentRouters(time_point now);
  void DropRouter(const router_identity& identity, const char* why);
  void SendLoadReports();
  load_report MakeReport() const;
  void AddCacheEvents(router_session& session, load_report& report);
  void ConsiderFetch(router_session& session, revision_number revision);
  void UpdatePolling();

  // --- slots and model work (agent_work.cpp) ---
  void OnReserve(const router_session& session, const reserve_slot& request);
  void SendDecision(const slot_decision& decision);
  void Pump();
  void PumpOnce();
  void OnStart(const router_session& session, std::variant<start_prefill, start_decode> start);
  microseconds TransferLead(const model_work& work) const;
  slot_request MakeUnreserved(const model_work& work, time_point now) const;
  void BeginWork(const work_ptr& work);
  task<> RunPrefill(work_ptr work);
  task<> RunDecode(work_ptr work);
  task<std::string> DecodeOnce(work_ptr work, std::string traceparent, time_point& first_token);
  bool OnPrefillLine(const work_ptr& work, std::string_view line, std::string& failure);
  bool OnDecodeLine(const work_ptr& work, std::string_view line, std::string& failure, time_point& first_token);
  task<> AwaitTransfer(work_ptr work);
  void EndTransfer(const work_ptr& work);
  void EndWork(const work_ptr& work, work_state state, const std::string& reason);
  void CancelWork(const work_ptr& work);
  task<> CancelOnEngine(work_ptr work);
  void FlushWork(const work_ptr& work);
  void OnResume(const router_session& session, const resume_stream& request);
  void FailStart(const router_session& session, const attempt_id& attempt, bool is_prefill, const std::string& reason);
  void ForgetEndedWork(time_point now);

  // --- plain calls and attempts (agent_calls.cpp) ---
  void OnCall(const router_session& session, const call_service& call);
  void RefuseCall(const router_session& session, const call_service& call, const std::string& reason);
  void SendAnswer(const router_session& session, const attempt_id& attempt);
  task<> RunCall(call_service call);
  void EndCall(const attempt_id& attempt, const service_answer& answer);
  void OnCancel(const router_session& session, const cancel& request);
  void OnQuery(const router_session& session, const query_attempt& request);
  attempt_status MakeStatus(const attempt_id& attempt, incarnation_number wanted) const;

  // --- engine and commands (agent_engine.cpp) ---
  void ApplyConfiguration(const std::shared_ptr<const configuration>& values);
  task<> PollEngine();
  task<> ReadEngine();
  task<> ReadCacheEvents();
  task<> Reconcile();
  task<> VerifyIncarnation();
  task<> RaiseCounter();
  void UpdateOpenKinds();
  bool IsEngine() const { return settings.kind == "engine"; }
  bool IsReady() const;
  engine_setup WantedSetup() const;
  bool IsDrainedFor(const engine_setup& wanted) const;

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
  boost::asio::ip::tcp::acceptor port_holder;  // keeps the port until the listener takes it over
  std::unique_ptr<channel_listener> listener;
  std::unique_ptr<datagram_socket> datagrams;
  incarnation_number incarnation = 0;
  bool provisional = false;        // drawn while the store was out and not yet raised in the counter row
  bool superseded = false;         // a newer incarnation has started
  bool verified = true;            // false after a pause of the process, until the counter row has been read
  bool stopping = false;           // SIGTERM
  bool leaving = false;            // stopping, draining or superseded
  std::function<void()> finished;  // called when the last work of a planned stop has ended
  time_point idle_since;
  time_point last_tick;
  time_point last_raise;
  time_point last_expiry;
  timer_subscription tick;
  timer_subscription reports;
  timer_subscription poll;
  timer_subscription pump_timer;
  bool stopped = false;

  // routers
  std::map<router_identity, router_session> sessions;
  std::uint64_t report_sequence = 0;
  std::uint64_t opening_sequence = 0;

  // slots and model work
  slot_table slots;
  engine_pace pace;
  std::map<attempt_id, work_ptr> works;
  std::int64_t transfers = 0;
  std::deque<work_ptr> transfer_queue;
  bool pumping = false;
  bool pump_again = false;

  // plain calls
  attempt_table attempts;
  std::map<attempt_id, running_call> calls;
  time_point service_retry;  // after a refused connection the service counts as not ready until then

  // engine
  std::shared_ptr<const configuration> config;
  std::optional<endpoint_record> record;  // of this endpoint, in the configuration in force
  std::optional<engine_state> reported;   // absent: the engine does not answer
  bool polling = false;
  bool registered = false;               // the engine has obeyed a command of this incarnation
  bool withheld = false;                 // a command waits for the store
  std::deque<cache_event> cache_events;  // the latest of the engine
  std::uint64_t last_cache_event = 0;
};

}  // namespace persimmon::detail
