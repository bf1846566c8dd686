// Local copy of the store's tables: the active desired state and the registered endpoints. A service of the kernel.
//
// Each table is read once and then followed through its change feed. A lower revision is never applied. While the store
// is unreachable, the last known state stays active; a process that starts during an outage imports the state of
// another router.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/kernel.h"
#include "direct/direct_settings.h"
#include "persimmon/endpoint_registry.h"
#include "persimmon/routes.h"
#include "platform/records.h"
#include "platform/table_client.h"

namespace persimmon {

class deployment_directory {
 public:
  deployment_directory(kernel& services, const direct_settings& settings, table_client table);

  void Start();
  void Stop();

  // Never null; has revision 0 before the first desired state becomes active.
  std::shared_ptr<const routing_table> Routes() const { return routes_; }
  bool IsInForce() const { return routes_->Revision() != 0; }
  bool IsStoreReachable() const { return !feeds_[0].is_unreachable && !feeds_[1].is_unreachable; }

  // Time at which the store certainly held no newer desired state than the active one; absent before the first answer.
  // It is the start of the latest poll that has been answered, because the answer may have waited in a buffer during a
  // pause of this process.
  std::optional<time_point> ConfirmedAt() const { return feeds_[kDesiredState].confirmed_at; }

  // True if this router follows the desired state in the store.
  bool FollowsDesiredState() const;

  const endpoint_registry& Endpoints() const { return registry_; }

  // Records that the incarnation of an endpoint has stated by itself that it is leaving.
  void RecordLeaving(const endpoint_name& endpoint, std::uint64_t started_ms);

  // Registers a function that is called after every change of routes or endpoints.
  void Subscribe(std::function<void()> on_change) { listeners_.push_back(std::move(on_change)); }

  // Serialize and restore the state as JSON, for a router that starts while the store is unreachable. Errors:
  // kProtocol.
  std::string ExportState();
  result<void> ImportState(const std::string& text);

 private:
  void MakeExport();
  struct feed_state {
    bool is_unreachable = false;
    time_point unreachable_since;
    std::optional<time_point> last_success;
    std::optional<time_point> confirmed_at;  // start of the latest call that has succeeded
    std::uint64_t version = 0;
    std::uint64_t era = 0;  // of the store that has given the version
  };
  enum feed_index : std::size_t { kDesiredState, kEndpoints };

  task<> FollowTable(std::string table, feed_index index);
  feed_limits Limits(feed_index index) const;
  void RecordSuccess(const std::string& table, feed_state& feed);
  void RecordFailure(const std::string& table, feed_state& feed, const error& failure);
  // What the rows of a call are, compared with the known ones.
  enum class row_origin : std::uint8_t {
    kChanges,              // changes since the previous call
    kSnapshot,             // the whole table
    kSnapshotAfterOutage,  // the whole table, in which entries may be missing because they expired in an outage
    kRestoredSnapshot,     // the whole table of a store that has come back from an older copy
  };

  void ApplyRows(feed_index index, const std::vector<table_row>& rows, row_origin origin);
  void ApplyDesiredState(const table_row& row);
  void ApplyEndpointRow(const table_row& row);
  void ApplyEndpoints(const std::vector<table_row>& rows, row_origin origin);
  void NotifyListeners();

  kernel& kernel_;
  const direct_settings& settings_;
  table_client table_;
  std::shared_ptr<const routing_table> routes_ = std::make_shared<routing_table>();
  endpoint_registry registry_;
  std::string desired_text_;  // JSON of the active desired state with hashes in place of API keys, for ExportState
  platform::state_exporter exporter_;                  // makes desired_text_; empty once it has been made
  std::map<std::string, std::string> endpoint_texts_;  // JSON entry by endpoint name, for ExportState
  std::array<feed_state, 2> feeds_;
  std::vector<std::function<void()>> listeners_;
  timer_subscription expiry_timer_;
  bool stopped_ = false;
};

}  // namespace persimmon
