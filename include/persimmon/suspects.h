// Detection of requests that crash endpoints ("queries of death").
//
// Sections
//   1. settings and values
//   2. table
//
// Every request that is running on an endpoint when it crashes becomes a suspect. Only one copy of a suspect runs at a
// time, and an endpoint runs only one suspect at a time (see reserve_slot in net/wire.h), so a second crash can be
// attributed to only one of them. A suspect that finishes is cleared. After `max_crashes` crashes a request is refused
// for the retention time. At most `max_crashes` endpoints are lost to one fingerprint, provided that routers receive
// each other's reports before they start another copy. Copies that were already running elsewhere at the first crash
// are not covered.
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
  std::uint32_t max_crashes = 2;                          // crashes after which a request is refused
  milliseconds retention = milliseconds(600'000);         // how long a suspect is kept after its last crash
  std::size_t max_suspects = 2'000;                       // those with the oldest crash are dropped first
  std::size_t max_reports = 32;                           // in one heartbeat; the newest are sent
  milliseconds clear_report_time = milliseconds(60'000);  // how long the clearing of a suspect is reported

  bool operator==(const suspect_settings&) const = default;
};

enum class suspect_verdict : std::uint8_t {
  kClear,    // not a suspect: run it normally
  kSuspect,  // run it, but only on an endpoint without another suspect
  kWait,     // a copy of this suspect is running; wait until it has finished
  kRefused,  // it has crashed too many endpoints
};

struct suspect_check {
  suspect_verdict verdict = suspect_verdict::kClear;
  milliseconds retry_in{0};  // kRefused: time until it may run again

  bool operator==(const suspect_check&) const = default;
};

// Report about one fingerprint, sent to other routers. It covers only crashes that the sender observed itself, so that
// repeated or relayed reports are never counted twice.
struct crash_report {
  fingerprint_number fingerprint = 0;
  std::uint32_t crashes = 0;  // 0: cleared, because the request finished
  milliseconds age{0};        // time since the last crash or the clearing

  bool operator==(const crash_report&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. table
// ---------------------------------------------------------------------------------------------------------------------

class suspect_table {
 public:
  explicit suspect_table(suspect_settings settings) : settings_(settings) {}

  // Checks whether a request may be sent to an endpoint now.
  suspect_check CheckSuspect(fingerprint_number fingerprint, time_point now) const;

  // Records the start or the end of a copy on an endpoint. An end with an answer clears the fingerprint; a cancelled or
  // failed copy does not.
  void RecordStart(fingerprint_number fingerprint, const endpoint_name& endpoint);
  void RecordEnd(fingerprint_number fingerprint, const endpoint_name& endpoint, bool answered, time_point now);

  // Records the crash of an endpoint. All requests of this router that run there become suspects; returns their
  // fingerprints.
  std::vector<fingerprint_number> RecordCrash(const endpoint_name& endpoint, time_point now);

  // Merges the reports of another router. `origin` identifies the router and its incarnation.
  void MergeCrashReports(const std::string& origin, std::span<const crash_report> reports, time_point now);

  // Returns the crashes and clearings that this router observed, for the next heartbeat: at most `max_reports`,
  // newest first.
  std::vector<crash_report> OwnCrashReports(time_point now) const;

  void ExpireSuspects(time_point now);
  std::size_t SuspectCount() const { return suspects_.size(); }
  std::size_t RunningCount() const { return running_.size(); }

 private:
  struct suspect_entry {
    std::map<std::string, std::uint32_t> crashes;  // crash count by reporting router; empty: this router
    time_point last_crash_at;
    time_point own_crash_at;
  };
  struct clearing {
    time_point cleared_at;
    bool observed_here = false;  // observed by this router
  };
  static std::uint32_t TotalCrashes(const suspect_entry& entry);
  std::uint32_t RunningCopies(fingerprint_number fingerprint) const;
  void Clear(fingerprint_number fingerprint, time_point cleared_at, bool observed_here);
  void RecordCrashes(fingerprint_number fingerprint, const std::string& origin, std::uint32_t crashes,
                     time_point crashed);
  void EnforceLimits();

  suspect_settings settings_;
  std::unordered_map<fingerprint_number, suspect_entry> suspects_;
  std::unordered_map<fingerprint_number, clearing> cleared_;
  std::unordered_map<fingerprint_number, std::map<endpoint_name, std::uint32_t>> running_;  // copies by endpoint
};

}  // namespace persimmon
