// Fake of an endpoint that routers call directly: a plain service, a prefill engine or a decode engine, with its entry
// in the table service and fault injection. A plain service answers requests below /feed/ with a stream of events.
//
// It counts the requests that it runs, so that tests can check what reached it. It has no queue. Only the events of a
// stream and, if tokens_per_ms is set, the prefill of prompts take time.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/timers.h"
#include "fakes/fake_platform.h"
#include "net/http.h"

namespace persimmon::fakes {

struct replica_options {
  host_port listen = {"127.0.0.1", 0};
  std::string name;  // key of its entry in the table service
  std::string service;
  std::string zone = "zone-a";
  std::string stage;                              // role of an engine: "prefill" or "decode"; empty: a plain service
  std::string version;                            // of its software; empty: the entry states none
  std::uint64_t weights_version = 1;              // of the model "m" that an engine serves
  std::uint64_t started_ms = 1;                   // start time of its incarnation
  std::uint32_t memory_tokens = 0;                // KV cache capacity of a decode engine
  std::uint32_t events = 5;                       // events per stream
  milliseconds event_interval = milliseconds(1);  // after each event
  // Prefill rate; prompts are prefilled one after another, by decode engines at half the rate. 0: without delay.
  std::uint32_t tokens_per_ms = 0;
  milliseconds work_time = milliseconds(0);  // duration of a plain call
  bool exits_after_crash = false;            // ends the process after crash_on_part has stopped the endpoint
  bool logs_arrivals = false;                // writes a line for each received request to the event log

  bool operator==(const replica_options&) const = default;
};

// Injected faults. Each stays in effect until it is changed.
struct replica_faults {
  bool full = false;             // rejects requests and reservations with proof that nothing has run
  bool leaving = false;          // states in all responses that it is leaving
  bool rejects_work = false;     // like full, but grants reservations
  bool switching_stage = false;  // is switching to another stage: grants reservations but runs nothing
  bool never_responds = false;   // runs requests and sends no response
  bool returns_500 = false;      // runs requests and responds with status 500
  bool omits_seal = false;       // omits the seal header, which proves that the endpoint itself responded
  bool drops_responses = false;  // runs requests and closes the connection without a response
  bool endless_event = false;    // the first event of a stream never ends
  bool endless_body = false;     // bodies of plain calls, prefills and failures never end
  bool endless_control = false;  // bodies of answers to reservations, reports and health checks never end
  bool encoded = false;          // states a content encoding, so the bytes are not the endpoint's own
  bool unframed = false;         // bodies have neither a length nor chunks and end with the connection
  bool breaks_in_order = false;  // streams that break off end like whole ones: last chunk, or orderly close
  bool states_length = false;    // bodies of streams have a length
  bool stops_at_cut = false;     // the endpoint stops when cut_after_bytes breaks off a stream
  bool handles_expire = false;   // KV cache handles of prefills expire immediately
  std::string crash_on = {};     // running a request with this body stops the endpoint
  // The endpoint stops when it begins a stream whose prompt has this part; a prefill engine, when it reads it.
  std::string crash_on_part = {};
  std::string request_limit = {};        // stated in all responses, in requests per second; empty: not stated
  milliseconds retry_after{0};           // stated in rejections with status 503; 0: not stated
  std::string server_load = {};          // load header of responses that have run: "running,waiting,slots,work time"
  milliseconds answer_delay{0};          // additional duration of a plain call; ends when the caller disconnects
  milliseconds reserve_delay{0};         // before a reservation is granted or refused
  std::uint32_t stall_after_events = 0;  // streams stop after this many events, with a byte now and then; 0: never
  std::uint32_t break_after_events = 0;  // streams break off after this many events; 0: never
  // The first event of a stream, or the body of a plain call, stops after this many bytes without an end; 0: never.
  std::size_t stall_after_bytes = 0;
  std::optional<std::size_t> cut_after_bytes = {};  // streams break off after this many bytes of their body

  milliseconds cut_delay{0};  // between these bytes and the break

  // A refusal that is written before a request runs: without an id ("no_id"), with the id of an earlier request
  // ("earlier_id"), of the request itself ("own_id"), of both ("both_ids"), or as sent before on the same connection
  // ("repeated", after which the next request on it is refused). Empty: none.
  std::string early_refusal = {};
  std::uint32_t early_status = 503;   // of that refusal
  std::uint32_t unproven_status = 0;  // runs requests and states their id with this status, without proof; 0: never
  std::uint32_t cut_head_after_bytes = 0;  // responses break off after this many bytes of their head; 0: never
  bool doubled_id = false;                 // responses of requests that have run state the id twice
  // What follows a Last-Event-Id: all events ("restarts"), those after the next one ("skips"), an event without an id
  // ("no_id"), the head of another response ("other_response"), an error ("error_text") or nothing ("empty"). Empty:
  // the further events.
  std::string continuation = {};

  bool operator==(const replica_faults&) const = default;
};

class fake_replica {
 public:
  fake_replica(asio::io_context& context, replica_options options);
  ~fake_replica();

  result<void> Start();
  void Stop();

  // The value of its entry in the table service. `reports`: number of its status reports so far.
  std::string EntryText(bool draining, std::uint64_t reports) const;
  // Writes or removes its entry in the table service.
  void Register(table_store& tables, bool draining = false) const;
  void Unregister(table_store& tables) const;

  replica_faults& Faults() { return faults_; }
  host_port Address() const { return {options_.listen.host, server_.Port()}; }
  const std::string& Name() const { return options_.name; }

  // Returns the number of requests that ran under an attempt id. Requests that were only received do not count.
  int Runs(const std::string& attempt) const;
  int TotalRuns() const;
  int Prefills() const { return prefills_; }
  // Returns the token counts of the prompts that a decode engine had to prefill itself.
  const std::vector<std::uint32_t>& LocalPrefillTokens() const { return local_prefill_tokens_; }
  // Returns the highest number of prompts that were waiting for prefill or in prefill at the same time. It is 0 if
  // tokens_per_ms is 0.
  std::size_t MaxPendingPrompts() const { return max_pending_prompts_; }
  int Orders() const { return orders_; }
  const std::vector<http_request>& Requests() const { return requests_; }  // all, including those that did not run
  const std::vector<time_point>& Arrivals() const { return arrivals_; }    // times of Requests()
  int ActiveRuns() const { return running_count_; }
  std::uint32_t ReservedTokens() const;
  std::size_t StoredHandleCount() const { return handles_.size(); }
  const std::string& Stage() const { return options_.stage; }
  // Changes the stage as an order does. Register updates the entry.
  void SetStage(const std::string& stage) { options_.stage = stage; }

 private:
  task<> Handle(std::shared_ptr<http_exchange> exchange);
  task<> ServeRequest(std::shared_ptr<http_exchange> exchange);
  body_framing Framing() const;
  task<> Answer(std::shared_ptr<http_exchange> exchange, http_response answer);
  task<> StreamEvents(std::shared_ptr<http_exchange> exchange, std::string attempt);
  task<> DelayAnswer(std::shared_ptr<http_exchange> exchange);
  bool CrashesOn(const http_request& request) const;
  task<> Crash();
  task<> SendWithoutEnd(std::shared_ptr<http_exchange> exchange, std::size_t bytes);
  task<> BreakOff(std::shared_ptr<http_exchange> exchange);
  http_response Reserve(const http_request& request);
  task<> ServePrefill(std::shared_ptr<http_exchange> exchange);
  task<> SimulatePrefill(const http_request& request, double rate);
  http_response ApplyOrder(const http_request& request);
  http_response NotExecuted(int status) const;
  task<> WriteEarlyRefusal(std::shared_ptr<http_exchange> exchange);
  task<> CutHead(std::shared_ptr<http_exchange> exchange, std::string attempt);
  void AddOwnState(header_list& headers) const;
  task<> Respond(std::shared_ptr<http_exchange> exchange, http_response response);
  http_response SetFaults(const std::string& body);
  void LogWrongReply(const http_request& request, const std::string& kind, bool has_carried = false) const;
  void LogArrival(const http_request& request, const char* result) const;
  header_list ResponseHeaders(const std::string& attempt) const;
  bool ConsumeReservation(const http_request& request);

  replica_options options_;
  timer_service timers_;
  replica_faults faults_;
  std::map<std::string, int> runs_;
  std::map<std::string, std::uint32_t> reservations_;  // reserved KV cache tokens by reservation id (the field "hold")
  std::set<std::string> handles_;
  std::vector<http_request> requests_;
  std::vector<time_point> arrivals_;
  std::map<std::string, std::vector<std::string>> carried_ids_;  // attempt ids in order, by address of the caller
  std::map<std::string, std::string> refused_ids_;               // of the latest refusal, by address of the caller
  int prefills_ = 0;
  std::vector<std::uint32_t> local_prefill_tokens_;
  std::size_t pending_prompts_ = 0;
  std::size_t max_pending_prompts_ = 0;
  time_point prefills_end_;  // when all prompts received so far will be prefilled
  int orders_ = 0;
  int running_count_ = 0;
  std::uint64_t next_id_ = 0;
  std::uint64_t highest_fencing_token_ = 0;
  http_server server_;
};

}  // namespace persimmon::fakes
