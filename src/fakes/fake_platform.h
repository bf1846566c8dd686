// Test double of the platform: table service, VM list and fault switches, in memory.
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
  std::uint64_t version = 0;  // of the transaction that wrote it; a deleted row's version never returns

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
  bool only_checks = false;  // a condition without a write

  bool operator==(const row_write&) const = default;
};

class table_store {
 public:
  std::optional<stored_row> Read(const row_id& id) const;
  // Rows with keys from `from` to before `to`; an empty `to` means all.
  std::vector<std::pair<row_id, stored_row>> ReadRange(const std::string& table, const std::string& from,
                                                       const std::string& to) const;

  // Applies all writes, or none and returns the rows whose condition does not hold.
  std::vector<row_id> Commit(const std::vector<row_write>& writes);

  // Rows changed after the version, in the order of their last change. Nothing if that history is gone.
  std::optional<std::vector<row_id>> ChangesAfter(const std::string& table, std::uint64_t version) const;

  void DropHistory();
  std::uint64_t Version() const { return last_version_; }  // of the newest transaction

 private:
  std::map<row_id, stored_row> rows_;
  std::deque<std::pair<std::uint64_t, row_id>> history_;
  std::uint64_t last_version_ = 0;
  std::uint64_t lost_version_ = 0;  // changes up to this one are no longer known
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

  // The list as it was `lag` before now.
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
  bool outage = false;                   // connections are closed without an answer; no write takes effect
  milliseconds delay = milliseconds(0);  // before a request is carried out
  std::uint32_t lose_replies = 0;        // the next transactions take effect without a reply
  // The next transactions get no reply at once, and are carried out this much later if their conditions still hold.
  std::uint32_t late_writes = 0;
  milliseconds write_lag = milliseconds(500);
  bool silent = false;            // requests are taken and never answered
  std::string refused_path = {};  // requests whose target begins so are refused; empty: none
  int refused_status = 503;
  milliseconds vm_lag = milliseconds(1000);  // age of the VM list

  bool operator==(const platform_faults&) const = default;
};

struct platform_counters {
  std::uint64_t reads = 0;         // rows and prefixes
  std::uint64_t feeds = 0;         // calls that wait for changes
  std::uint64_t transactions = 0;  // committed
  std::uint64_t conflicts = 0;     // transactions refused
  std::uint64_t lost_replies = 0;
  std::uint64_t refused = 0;  // requests that met an outage
  std::uint64_t waiting = 0;  // requests that wait for the end of their delay

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

  // For tests that run the double in their own process.
  table_store& Tables() { return tables_; }
  platform_faults& Faults() { return faults_; }
  const platform_counters& Counts() const { return counters_; }

  // Stores the records of a JSON text as revision 1. Errors: kInvalid.
  result<void> Preload(const std::string& text);

 private:
  task<> Handle(std::shared_ptr<http_exchange> exchange);
  http_response Answer(const http_request& request);
  http_response ReadRows(const std::map<std::string, std::string>& query);
  task<http_response> Feed(const http_request& request);
  http_response Transact(const std::string& body);
  http_response ListVms() const;
  http_response PutVm(const std::string& name, const std::string& body);
  http_response SetFaults(const std::string& body);
  http_response Counters() const;

  timer_service timers_;
  table_store tables_;
  vm_table vms_;
  platform_faults faults_;
  platform_counters counters_;
  http_server server_;
};

// Decodes %XX. Errors: kInvalid.
result<std::string> DecodePercent(std::string_view text);

}  // namespace persimmon::fakes
