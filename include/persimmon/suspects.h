// Requests that were running when an endpoint crashed.
//
// Sections
//   1. settings and values
//   2. table
//
// Every request that runs on an endpoint when it crashes becomes a suspect. A suspect runs in one place at a time, and
// endpoints run one suspect at a time (reserve_slot.suspect), so a second crash convicts only one of them. A request
// that finishes is cleared. After `max_crashes` crashes it is refused for the retention time. At most `max_crashes`
// endpoints are lost to one fingerprint, as far as the routers have told each other before they start a copy; copies
// that were already running elsewhere at the first crash are outside this bound.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. settings and values
// ---------------------------------------------------------------------------------------------------------------------

struct suspect_settings {
  std::uint32_t max_crashes = 2;                      // lost endpoints after which a request is refused
  milliseconds retention = milliseconds(600'000);     // after the last crash
  std::size_t entries = 2'000;                        // suspects; those with the oldest crash are dropped first
  std::size_t reported = 32;                          // most entries in one heartbeat; the newest are sent
  milliseconds clear_reports = milliseconds(60'000);  // how long the clearing of a suspect is reported

  bool operator==(const suspect_settings&) const = default;
};

enum class suspect_verdict : std::uint8_t {
  kClear,    // run it like any other
  kSuspect,  // run it, but only where no other suspect runs
  kWait,     // a copy of this suspect is running; run it after that one has finished
  kRefused,  // it has cost too many endpoints
};

struct suspect_check {
  suspect_verdict verdict = suspect_verdict::kClear;
  milliseconds retry_in{0};  // kRefused: until it may run again

  bool operator==(const suspect_check&) const = default;
};

// What one router tells others about one fingerprint: only crashes it has seen itself, so that repeated and relayed
// reports are never counted twice.
struct suspect_fact {
  fingerprint_number fingerprint = 0;
  std::uint32_t crashes = 0;  // 0: cleared, because the request has finished
  milliseconds age{0};        // since the last crash, or since the clearing

  bool operator==(const suspect_fact&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. table
// ---------------------------------------------------------------------------------------------------------------------

class suspect_table {
 public:
  explicit suspect_table(suspect_settings settings) : settings_(settings) {}

  // Call before a request is sent to an endpoint.
  suspect_check CheckSuspect(fingerprint_number fingerprint, time_point now) const;

  // Notes that a copy starts or ends on an endpoint. An end with an answer clears the fingerprint; a cancelled or
  // failed run does not.
  void NoteStart(fingerprint_number fingerprint, const endpoint_name& endpoint);
  void NoteEnd(fingerprint_number fingerprint, const endpoint_name& endpoint, bool answered, time_point now);

  // The endpoint crashed. Everything this router has running there becomes suspect; returns those fingerprints.
  std::vector<fingerprint_number> NoteCrash(const endpoint_name& endpoint, time_point now);

  // Takes over what another router reports. `origin` names the router and its incarnation.
  void MergeSuspects(const std::string& origin, std::span<const suspect_fact> facts, time_point now);

  // Own crashes and clearings for the next heartbeat, newest first, at most `reported`.
  std::vector<suspect_fact> OwnFacts(time_point now) const;

  void ExpireSuspects(time_point now);
  std::size_t SuspectCount() const { return suspects_.size(); }
  std::size_t RunningCount() const { return running_.size(); }

 private:
  struct suspect_entry {
    std::map<std::string, std::uint32_t> crashes;  // by origin; the empty origin is this router
    time_point last_crash;
    time_point own_crash;
  };
  struct clearing {
    time_point cleared;
    bool own = false;  // seen by this router
  };
  static std::uint32_t CrashCount(const suspect_entry& entry);
  std::uint32_t RunningCopies(fingerprint_number fingerprint) const;
  void Clear(fingerprint_number fingerprint, time_point cleared, bool own);
  void NoteCrashes(fingerprint_number fingerprint, const std::string& origin, std::uint32_t crashes,
                   time_point crashed);
  void EnforceLimits();

  suspect_settings settings_;
  std::unordered_map<fingerprint_number, suspect_entry> suspects_;
  std::unordered_map<fingerprint_number, clearing> cleared_;
  std::unordered_map<fingerprint_number, std::map<endpoint_name, std::uint32_t>> running_;  // copies by endpoint
};

}  // namespace persimmon
