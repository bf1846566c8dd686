// Evidence of all routers on parts of prompts under which engines crash, and the runs that may become evidence. Used by
// the router without agents and by the one with agents.
//
// Each router sees a part of the requests. What it learns of a suspected part goes to some other routers at once, which
// pass it on to a few random ones; for some seconds each router repeats it to random ones, because messages are lost. A
// router that is heard for the first time is told everything. Answers are told only of parts that are suspected, so the
// cost grows with the crashes and not with the traffic.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/metrics.h"
#include "net/wire.h"
#include "persimmon/part_suspects.h"

namespace persimmon {

// One run of a request on an engine. It may become evidence for as long as a reference to it exists.
struct engine_run {
  std::string service;         // or pool
  std::vector<part_id> parts;  // that the request shares with others
  fingerprint_number request = 0;
  std::string attempt;  // for the log
  endpoint_name engine;
  std::uint64_t incarnation = 0;  // of the engine
  std::size_t events = 0;         // of this run that have arrived

  // A run that has written more than its first event did not crash its engine by beginning.
  bool HasWrittenOn() const { return events > 1; }
};

using engine_run_ptr = std::shared_ptr<engine_run>;

class part_board {
 public:
  // Sends a message to so many other routers, drawn at random.
  using send_function = std::function<void(const message& value, std::size_t receivers)>;

  static constexpr milliseconds kGossipPeriod{500};

  part_board(metrics_registry& metrics, send_function send) : metrics_(metrics), send_(std::move(send)) {}

  // Remaining time of the refusal; nothing if a request with these parts may be sent to an engine.
  std::optional<milliseconds> RemainingRefusal(const std::string& service, const std::vector<part_id>& parts) const;

  engine_run_ptr BeginRun(engine_run run);
  void RecordEvents(engine_run& run, std::size_t events);  // `events` that have arrived so far
  void RecordEnd(const engine_run& run);                   // its complete end has arrived
  void RecordBreak(engine_run_ptr run);  // it has broken off; whether its engine has crashed is checked

  // Records that an engine has crashed. Several calls for one crash count once.
  void RecordCrash(const endpoint_name& engine, std::uint64_t incarnation);

  // True if the run may have crashed its engine and another request has crashed one with the same part.
  bool IsSuspected(const engine_run& run) const;

  // Merges evidence of another router.
  void Receive(const part_evidence_list& received);

  // Everything that is known of suspected parts, for a router that is heard for the first time. Each message fits in a
  // datagram.
  std::vector<part_evidence_list> AllEvidence() const;

  // Expires evidence and passes on what has changed lately; to be called once per kGossipPeriod.
  void Gossip();

 private:
  struct service_parts {
    std::uint64_t key = 0;  // hash of the name
    std::string name;       // empty: no request of the service has reached this router
    part_suspect_table table{part_suspect_settings{}};
    std::vector<part_id> accused;  // as logged last
    std::optional<time_point> changed_at;
  };

  service_parts& PartsOf(const std::string& service);
  service_parts& PartsOf(std::uint64_t service_key);
  void RecordAnswer(const engine_run& run);
  void RecordChange(service_parts& parts);
  void LogVerdicts(service_parts& parts);
  static std::vector<part_evidence_list> EvidenceOf(const service_parts& parts);
  void Send(const service_parts& parts, std::size_t receivers);

  metrics_registry& metrics_;
  send_function send_;
  std::map<std::uint64_t, service_parts> services_;  // by key
  std::vector<std::weak_ptr<engine_run>> runs_;
  std::vector<std::pair<time_point, engine_run_ptr>> broken_runs_;  // with the time of the break
  std::uint64_t rounds_ = 0;                                        // of gossip
};

}  // namespace persimmon
