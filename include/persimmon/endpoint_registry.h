// Registry of the endpoints that have an entry in the store; determines which of them can receive work.
//
// Sections
//   1. entries
//   2. registry
//
// An entry that is missing after a store outage may have expired although its endpoint is alive. Such endpoints keep
// receiving work for `expiry_grace`. An incarnation is identified by the endpoint's name and start time, because an
// endpoint may keep its name across a restart, which loses all its earlier state. An incarnation that has once been
// seen draining, in its entry or by its own word, never receives new work again, whatever a later entry says.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "persimmon/records.h"
#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. entries
// ---------------------------------------------------------------------------------------------------------------------

// A model that an engine serves.
struct served_model {
  std::string name;
  std::uint64_t weights_version = 0;

  auto operator<=>(const served_model&) const = default;
};

struct endpoint_entry {
  endpoint_name name;
  std::uint64_t started_ms = 0;  // start time, Unix milliseconds; 0: not stated
  std::string service;
  std::string address;  // IP:PORT
  zone_name zone;
  std::string version;    // of its software; empty: not stated
  bool draining = false;  // accepts no new work
  std::uint32_t slots = 0;
  std::optional<endpoint_role> role;  // model engines: prefill or decode
  std::vector<served_model> models;   // of a model engine

  bool operator==(const endpoint_entry&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. registry
// ---------------------------------------------------------------------------------------------------------------------

struct registry_settings {
  // Time after a store outage in which live endpoints renew entries that expired during the outage. The platform
  // guarantees about two seconds.
  milliseconds expiry_grace = milliseconds(2'200);

  // Time for which an incarnation without an entry is remembered as leaving. Its old entry may come back with an older
  // copy of the store, which is some seconds old.
  milliseconds leaving_retention = milliseconds(120'000);

  // Time in which the store removes the restored entry of an endpoint that no longer exists. The default is three
  // report intervals of 1.2 s and one in reserve.
  milliseconds restored_entry_check = milliseconds(4'800);

  bool operator==(const registry_settings&) const = default;
};

class endpoint_registry {
 public:
  explicit endpoint_registry(registry_settings settings) : settings_(settings) {}

  // Call when an entry was written or removed. An unreadable entry counts as removed.
  void PutEntry(const endpoint_entry& entry);

  // Call when the incarnation has stated by itself that it is leaving. Returns true if that is new.
  bool RecordLeaving(const endpoint_name& name, std::uint64_t started_ms, time_point now);

  // Returns until when the endpoint still receives work; nothing if it receives none.
  std::optional<time_point> RemoveEntry(const endpoint_name& name, time_point now);

  // Replaces all entries by a snapshot of the store. `after_outage`: the store was unavailable, so missing entries may
  // have expired while their endpoints are alive.
  void ReplaceAll(const std::vector<endpoint_entry>& entries, bool after_outage, time_point now);

  // Replaces all entries by those of a store that has come back from an older copy. Entries that are missing may have
  // been written since the copy, so they are treated as expired. An entry that had been removed before receives work
  // only after `restored_entry_check`, or when it is written again: its endpoint may have left since the copy.
  void ReplaceAllRestored(const std::vector<endpoint_entry>& entries, time_point now);

  // Call when the store is available again. If an entry is removed within `expiry_grace` from now, it is treated as
  // expired: unless it is draining, its endpoint keeps receiving work until that period ends.
  void RecordStoreRecovery(time_point now) { grace_end_ = now + settings_.expiry_grace; }

  // Removes the entries that are missing from the store and whose grace period has ended, admits restored entries whose
  // check has ended, and forgets incarnations that have left long ago. Returns true if an entry was removed or
  // admitted.
  bool RemoveExpiredEntries(time_point now);

  // True if the incarnation is registered and can receive new work.
  bool ReceivesWork(const endpoint_name& name, std::uint64_t started_ms) const;

  const endpoint_entry* Find(const endpoint_name& name) const;

  // Returns the endpoints of a service that can receive new work, ordered by name.
  std::vector<const endpoint_entry*> ListReady(const std::string& service) const;

  // True if a decode engine of the service with this software version can receive new work.
  bool HasDecodeEngine(const std::string& service, const std::string& version) const;

  // Returns the models at the engines of the service with this software version, draining ones included.
  std::set<served_model> ModelsOf(const std::string& service, const std::string& version) const;

  std::size_t Size() const { return entries_.size(); }

 private:
  struct stored_entry {
    endpoint_entry entry;
    std::optional<time_point> remove_at;      // set if missing from the store: time of removal
    std::optional<time_point> unknown_until;  // set for a restored entry whose endpoint may have left

    bool ReceivesWork() const { return !entry.draining && !unknown_until; }
  };

  struct past_incarnation {
    std::uint64_t started_ms = 0;
    time_point remembered_from;  // when its entry was removed, or when it stated that it leaves
  };

  registry_settings settings_;
  std::map<endpoint_name, stored_entry> entries_;
  std::map<endpoint_name, past_incarnation> leaving_;
  std::map<endpoint_name, past_incarnation> removed_;  // incarnations whose entries have been removed
  time_point grace_end_;
};

}  // namespace persimmon
