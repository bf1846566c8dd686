// In-memory fake of the platform: table service, VM list and fault injection.
//
// Sections
//   1. table store
//   2. VM list with lag
//   3. faults
//   4. HTTP service
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/settings.h"
#include "core/timers.h"
#include "net/http.h"
#include "persimmon/error.h"

namespace persimmon::fakes {

// ---------------------------------------------------------------------------------------------------------------------
// 1. table store
// ---------------------------------------------------------------------------------------------------------------------

struct stored_row {
  std::string value;
  std::uint64_t version = 0;  // of the transaction that wrote it; never used again, even after a delete

  bool operator==(const stored_row&) const = default;
};

struct row_id {
  std::string table;
  std::string key;

  auto operator<=>(const row_id&) const = default;
};

struct row_write {
  row_id id;
  std::optional<std::string> value;  // absent: delete
  bool if_absent = false;
  std::optional<std::uint64_t> if_version;
  bool check_only = false;  // only checks the condition and writes nothing

  bool operator==(const row_write&) const = default;
};

class table_store {
 public:
  std::optional<stored_row> Read(const row_id& id) const;
  // Rows with keys in [from, to); an empty `to` means no upper bound.
  std::vector<std::pair<row_id, stored_row>> ReadRange(const std::string& table, const std::string& from,
                                                       const std::string& to) const;

  // Applies all writes atomically. If any condition fails, applies none and returns the rows with failed conditions.
  std::vector<row_id> Commit(const std::vector<row_write>& writes);

  // Rows changed after the version, in the order of their last change; nullopt if that history has been discarded.
  std::optional<std::vector<row_id>> ChangesAfter(const std::string& table, std::uint64_t version) const;

  // Discards all history, so that reading changes after an older version fails.
  void DropHistory();
  std::uint64_t Version() const { return last_version_; }  // of the latest transaction

  // Saves a copy of all rows, and comes back from it: rows, versions and history are those of the copy, and the era
  // rises by one. Without a copy, the store comes back empty.
  void SaveCopy();
  void Restore();
  std::uint64_t Era() const { return era_; }

 private:
  std::map<row_id, stored_row> rows_;
  std::deque<std::pair<std::uint64_t, row_id>> history_;
  std::uint64_t last_version_ = 0;
  std::uint64_t discarded_version_ = 0;  // changes up to this version have been discarded from history_
  std::uint64_t era_ = 1;
  std::shared_ptr<const table_store> copy_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. VM list with lag
// ---------------------------------------------------------------------------------------------------------------------

struct vm_row {
  std::string role;     // "router" or "endpoint"
  std::string address;  // channel address, IP:PORT
  std::string zone;
  std::string state = "live";  // "live", "leaving" or "gone"

  bool operator==(const vm_row&) const = default;
};

class vm_table {
 public:
  void Put(const std::string& name, const vm_row& row, time_point now);

  // The list as it was at now - lag.
  std::map<std::string, vm_row> List(time_point now, milliseconds lag) const;

 private:
  struct snapshot {
    time_point since;
    std::map<std::string, vm_row> rows;
  };
  std::deque<snapshot> history_;  // bounded, oldest first
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. faults
// ---------------------------------------------------------------------------------------------------------------------

struct platform_faults {
  bool outage = false;                   // connections are closed without a response; no write takes effect
  milliseconds delay = milliseconds(0);  // before a request is processed
  std::uint32_t lose_replies = 0;  // number of next transactions that are committed, but whose replies are dropped
  // Number of next transactions whose connection is closed immediately and which are applied after write_lag, if their
  // conditions still hold then.
  std::uint32_t late_writes = 0;
  milliseconds write_lag = milliseconds(500);
  bool silent = false;            // requests are accepted, but not answered while this is set
  std::string refused_path = {};  // requests whose target has this prefix get refused_status; empty: none
  int refused_status = 503;
  milliseconds vm_lag = milliseconds(1000);  // age of the VM list

  bool operator==(const platform_faults&) const = default;
};

struct platform_counters {
  std::uint64_t reads = 0;         // range reads and change feed requests
  std::uint64_t feeds = 0;         // change feed requests (long polls)
  std::uint64_t transactions = 0;  // committed
  std::uint64_t conflicts = 0;     // transactions rejected because a condition failed
  std::uint64_t lost_replies = 0;
  std::uint64_t refused = 0;  // requests rejected by outage or refused_path
  std::uint64_t waiting = 0;  // requests whose delay has not ended

  bool operator==(const platform_counters&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 4. HTTP service
// ---------------------------------------------------------------------------------------------------------------------

class fake_platform {
 public:
  fake_platform(asio::io_context& context, host_port listen);

  result<void> Start();
  void Stop();
  std::uint16_t Port() const { return server_.Port(); }

  // For tests that run the fake in their own process.
  table_store& Tables() { return tables_; }
  platform_faults& Faults() { return faults_; }
  const platform_counters& Counts() const { return counters_; }

  // Removes endpoint entries that are not written again for this long, also during an outage. 0: never.
  void SetEntryExpiry(milliseconds expiry) { entry_expiry_ = expiry; }

  // Stores the records of a JSON document as revision 1. Errors: kInvalid.
  result<void> Preload(const std::string& text);

 private:
  task<> Handle(std::shared_ptr<http_exchange> exchange);
  http_response RouteRequest(const http_request& request);
  http_response ReadRows(const std::map<std::string, std::string>& query);
  task<http_response> ReadFeed(const http_request& request);
  http_response CommitTransaction(const std::string& body);
  http_response ListVms() const;
  http_response PutVm(const std::string& name, const std::string& body);
  http_response SetFaults(const std::string& body);
  http_response ReportCounters() const;
  void RecordReports(const std::vector<row_write>& writes);
  void RemoveExpiredEntries();

  timer_service timers_;
  table_store tables_;
  vm_table vms_;
  platform_faults faults_;
  platform_counters counters_;
  milliseconds entry_expiry_{0};
  std::map<row_id, time_point> last_reports_;  // of the endpoint entries
  timer_subscription expiry_timer_;
  http_server server_;
};

// Decodes percent-encoded characters (%XX). Errors: kInvalid.
result<std::string> PercentDecode(std::string_view text);

}  // namespace persimmon::fakes
