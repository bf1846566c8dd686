// Finds the software version at which a stream that a caller takes up again may go on. A service of the kernel.
//
// Three sources answer that, in this order: the service has had only one version for as long as callers resume streams;
// this router has forwarded the first event or holds a copy; one of the routers that hold copies does. Otherwise the
// version is unknown, and the stream must not go on.
//
// The versions of each service are also recorded in the store, so that a router that restarts knows whether the service
// had another version before. The record is written only when the set of versions changes.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/kernel.h"
#include "core/mailbox.h"
#include "direct/direct_call.h"
#include "direct/directory.h"
#include "direct/router_group.h"
#include "persimmon/stream_origins.h"

namespace persimmon {

class origin_tracker {
 public:
  origin_tracker(kernel& services, const direct_settings& settings, table_client table);

  void Start();
  void Stop();

  // Records the version that has sent the first event of the call's stream.
  void RecordFirstEvent(const direct_call& call, const std::string& version);

  // Returns the version at which the call's stream must go on; nothing if it is new or any version may serve it.
  // Errors: kUnavailable if the version is unknown.
  task<result<std::optional<std::string>>> FindVersion(direct_call_ptr call);

 private:
  struct service_state {
    service_versions versions;
    version_set recorded;                      // in the store, as read or written last
    std::optional<time_point> outdated_since;  // since when the record differs from the versions
  };

  struct query {
    explicit query(asio::io_context& context) : result_mailbox(context) {}
    std::set<host_port> unanswered;         // holders whose answer is awaited
    mailbox<std::uint64_t> result_mailbox;  // a version key; 0: known nowhere
  };

  // Longest time for which callers resume a stream, from the start of its first attempt.
  milliseconds ResumeTime() const;
  version_set Candidates(const std::string& service) const;
  // Services with several candidates, whose origins other routers must know.
  std::set<std::string> SharedServices() const;
  task<std::optional<std::uint64_t>> FindOrigin(origin_key attempt);
  task<std::optional<std::uint64_t>> AskHolders(origin_key attempt);
  void UpdateVersions();
  void UpdateHolders();
  void ScheduleCopies();
  void SendCopies();
  void Receive(const host_port& sender, const message& received);
  void ReceiveCopies(const host_port& sender, const hold_stream_origins& copies);
  task<> KeepRecords();
  task<> ReadRecords();
  task<> WriteRecord(std::string service);
  std::size_t OwnRank(const std::string& service) const;

  kernel& kernel_;
  const direct_settings& settings_;
  table_client table_;
  deployment_directory* directory_ = nullptr;
  router_group* group_ = nullptr;
  std::optional<stream_origin_table> origins_;  // set by Start, when the own address is known
  std::map<std::string, service_state> services_;
  std::map<std::uint64_t, std::string> service_of_version_;  // by version key, of all versions seen
  std::map<origin_key, std::vector<std::shared_ptr<query>>> queries_;
  std::uint64_t records_era_ = 0;  // of the store when the records were read or written last
  bool has_records_ = false;       // the records have been read
  bool is_copy_scheduled_ = false;
  bool stopped_ = false;
  timer_subscription copy_timer_;
  timer_subscription watch_timer_;
};

}  // namespace persimmon
