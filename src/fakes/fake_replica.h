// Test double of an endpoint that callers' requests go to directly: a plain service, a prefill engine or a decode
// engine, with its entry in the table service and switches for faults.
//
// It counts what it runs, so that tests can check what reached it. It has no queue, and it takes time only for the
// events of a stream and, at a set pace, for prompts.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/timers.h"
#include "fakes/fake_platform.h"
#include "net/http.h"

namespace persimmon::fakes {

struct replica_options {
  std::string name;  // key of its entry
  std::string service;
  std::string zone = "zone-a";
  std::string stage;                // "prefill" or "decode"; empty: a plain service
  std::uint64_t started_ms = 1;     // of its incarnation
  std::uint32_t memory_tokens = 0;  // of a decode engine
  std::uint32_t events = 5;         // of each stream
  milliseconds event_pause = milliseconds(1);
  std::uint32_t tokens_per_ms = 0;  // of prompts, one after another; decode engines read at half the pace; 0: at once

  bool operator==(const replica_options&) const = default;
};

// Each switch stays until it is changed.
struct replica_faults {
  bool full = false;              // refuses, and proves that nothing has run
  bool switches = false;          // carries out an order: grants reservations and runs nothing
  bool mute = false;              // runs requests and sends nothing
  bool fails = false;             // runs requests and answers 500
  bool unsealed = false;          // answers without its seal
  bool loses_answers = false;     // runs requests and closes the connection
  bool endless_event = false;     // streams never end their first event
  bool handles_lapse = false;     // prefilled prompts are gone at once
  std::string crash_on = {};      // a run with this body ends the endpoint
  std::uint32_t break_after = 0;  // streams break off after so many events; 0: they do not

  bool operator==(const replica_faults&) const = default;
};

class fake_replica {
 public:
  fake_replica(asio::io_context& context, replica_options options);
  ~fake_replica();

  result<void> Start();
  void Stop();

  // Its entry in the table service.
  void Register(table_store& tables, bool draining = false) const;
  void Unregister(table_store& tables) const;

  replica_faults& Faults() { return faults_; }
  host_port Address() const { return {"127.0.0.1", server_.Port()}; }
  const std::string& Name() const { return options_.name; }

  // What reached it, by attempt id.
  int Runs(const std::string& attempt) const;
  int TotalRuns() const;
  int Prefills() const { return prefills_; }
  const std::vector<std::uint32_t>& OwnPrompts() const { return own_prompts_; }  // tokens that a decode engine read
  std::size_t MostPromptsAtOnce() const { return most_prompts_at_once_; }        // that have been sent to it
  int Orders() const { return orders_; }
  const std::vector<http_request>& Requests() const { return requests_; }  // all, runs or not
  int RunningNow() const { return running_now_; }
  std::uint32_t ReservedTokens() const;
  std::size_t KeptHandles() const { return handles_.size(); }
  const std::string& Stage() const { return options_.stage; }
  void SetStage(const std::string& stage) {
    options_.stage = stage;
  }  // as an order does; its entry follows by Register

 private:
  task<> Handle(std::shared_ptr<http_exchange> exchange);
  task<> Run(std::shared_ptr<http_exchange> exchange);
  task<> Stream(std::shared_ptr<http_exchange> exchange, std::string attempt);
  http_response Reserve(const http_request& request);
  task<> Prefill(std::shared_ptr<http_exchange> exchange);
  task<> ReadPrompt(const http_request& request, double pace);
  http_response Order(const http_request& request);
  http_response NotRun(int status) const;
  header_list AnswerHeaders(const std::string& attempt) const;
  bool TakeMemory(const http_request& request);

  replica_options options_;
  timer_service timers_;
  replica_faults faults_;
  std::map<std::string, int> runs_;
  std::map<std::string, std::uint32_t> holds_;  // reserved tokens by name
  std::set<std::string> handles_;
  std::vector<http_request> requests_;
  int prefills_ = 0;
  std::vector<std::uint32_t> own_prompts_;
  std::size_t prompts_now_ = 0;
  std::size_t most_prompts_at_once_ = 0;
  time_point prompts_end_;  // when all prompts that it has got are read
  int orders_ = 0;
  int running_now_ = 0;
  std::uint64_t next_id_ = 0;
  std::uint64_t highest_fence_ = 0;
  http_server server_;
};

}  // namespace persimmon::fakes
