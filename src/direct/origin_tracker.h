// Finds the service and the software version at which a stream that a caller takes up again may go on. A service of the
// kernel.
//
// This is answered, in this order, by: this router, if it has forwarded the first event or holds a copy; one of the
// routers that hold copies; the route, if it has had only one service, and that only one version, for as long as
// callers resume streams; the store. Otherwise the source is unknown, and the stream must not go on.
//
// That there has been one source only is concluded for streams of which all copies are lost. The versions of each
// service are recorded in the store before the first stream begins at one of them. So a router whose list of endpoints
// is old, or that has restarted, learns from the record, read after the caller's request has arrived, whether there is
// another version. Without the store, all routers that may be running must answer instead.
//
// While the streams of a route may begin at several sources, their origins are also written to the store
// (origin_log.h), so that they outlive the loss of all routers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/kernel.h"
#include "core/mailbox.h"
#include "direct/direct_call.h"
#include "direct/directory.h"
#include "direct/origin_log.h"
#include "direct/router_group.h"
#include "persimmon/stream_origins.h"

namespace persimmon {

class origin_tracker {
 public:
  origin_tracker(kernel& services, const direct_settings& settings, table_client table);

  void Start();
  void Stop();

  // Records the version that has sent the first event of the call's stream; empty for a plain service. Sends copies, so
  // it is called before the event is forwarded: the stream can go on once its caller has an event.
  void RecordFirstEvent(const direct_call& call, const std::string& version);

  // Called after a version has become usable.
  std::function<void()> on_usable;

  // True if streams may begin at the version: it is recorded, so that every router can know of it.
  bool MayBegin(const std::string& service, const std::string& version) const;

  // Returns where the stream that the call takes up must go on: at the service that began it, or, if the route does not
  // name that one or it has no engine left, at another service of the route with the same software and weights.
  // Errors: kUnavailable if it is unknown where the stream began, kNotFound if no service of the route continues it.
  task<result<stream_source>> FindSource(direct_call_ptr call);

 private:
  // A read or a question whose answer must be newer than the call that waits for it. Calls that wait share it.
  struct shared_check {
    bool is_running = false;
    std::optional<time_point> began;  // start of the latest check that has ended
    bool is_confirmed = false;        // its result

    void End(time_point start, bool confirmed) {
      is_running = false;
      began = start;
      is_confirmed = confirmed;
    }
  };

  struct service_state {
    recent_names versions;
    name_set recorded;                                       // in the store, as read or written last
    std::uint64_t complete_era = 0;                          // stated by the record: the era in which it was complete
    std::pair<std::uint64_t, std::uint64_t> record_version;  // era and version of its row
    name_set usable;                                         // have been recorded, also in an earlier era of the store
    std::uint64_t confirmed_era = 0;                         // the latest in which the record held all candidates
    std::optional<time_point> outdated_since;                // since when the record differs from the versions
    std::optional<time_point> unusable_since;                // since when no version that serves is usable
    shared_check check;                                      // whether the known versions are all that there are
  };

  struct query {
    explicit query(asio::io_context& context) : result_mailbox(context) {}
    std::set<host_port> unanswered;              // holders whose answer is awaited
    std::map<host_port, std::uint64_t> answers;  // version keys; 0: not known to the holder
    mailbox<std::uint64_t> result_mailbox;       // a version key; 0: known nowhere
  };

  struct known_source {
    stream_source source;
    bool is_plain = false;
    std::set<served_model> models;  // of its engines when they were registered last
  };

  // How the origin of a stream was looked for, for the log.
  struct origin_search {
    std::string_view found_in;  // empty: nowhere
    std::string asked;          // the holders, with their answers and the times since they were last heard
  };

  struct version_query {
    explicit version_query(asio::io_context& context) : result_mailbox(context) {}
    std::uint64_t service = 0;
    std::uint64_t question = 0;
    std::set<host_port> unanswered;
    mailbox<bool> result_mailbox;  // true: all routers know the same version; false: one knows another
  };

  // Longest time for which callers resume a stream, from the start of its first attempt.
  milliseconds ResumeTime() const;
  name_set Candidates(const std::string& service) const;
  // Services whose streams may be taken for those of another source: with several candidates, or on a resumable route
  // that has had several services. The origins of their streams are written to the store.
  name_set SharedServices() const;
  // The services at which streams of the route may have begun.
  name_set CandidateServices(const route_record& route) const;
  // The only service at which streams of the route may have begun; nothing if there may be several.
  std::optional<std::string> SoleService(const route_record& route) const;
  // Returns the source of the call's stream if the route had only one when the call began.
  task<std::optional<stream_source>> ConfirmSoleSource(direct_call_ptr call);
  // Returns where a stream goes on that began at `origin`; nothing if the route does not allow it anywhere.
  std::optional<stream_source> FindContinuation(const direct_call& call, const known_source& origin) const;
  // True if engines of the service continue what those of `origin` have begun: they have the same software version, and
  // the same weights of the model.
  bool Continues(const std::string& service, const known_source& origin, const std::string& model) const;
  // Waits for a check that begins after the call, and starts it unless one is running. Returns its result, or false if
  // it does not end in time.
  task<bool> AwaitCheck(shared_check& check, milliseconds limit, std::function<task<>()> start);
  // Confirms that the only known version of a service was the only one when the call began.
  task<bool> ConfirmSingleVersion(std::string service);
  task<> RunCheck(std::string service);
  task<> CheckRecord(std::string service, std::shared_ptr<mailbox<bool>> done);
  task<bool> AskRouters(std::string service);
  void ReceiveVersions(const versions_known& known);
  void ReceiveAnswer(const host_port& sender, const versions_answer& answer);
  versions_known MakeVersions(const std::string& service) const;
  void ApplyRecord(const std::string& service, const table_row& row);
  void AddUsable(const std::string& service, const name_set& versions);
  void RecordOrigin(const direct_call& call, const std::string& attempt, const stream_source& source);
  // Asks the holders of copies again, up to kQueryRounds times in all, and then the store. `answer`: of the first
  // round.
  task<std::optional<std::uint64_t>> FindOrigin(origin_key attempt, std::optional<std::uint64_t> answer,
                                                origin_search& search);
  task<std::optional<std::uint64_t>> FindLogged(origin_key attempt);
  task<> ReadLog();
  void ScheduleLog();
  task<> WriteLog();
  task<std::optional<std::uint64_t>> AskHolders(origin_key attempt, origin_search& search);
  void RecordAnswers(const std::vector<origin_holder>& holders, const query& asked, origin_search& search) const;
  void UpdateRoutes();
  void AddSource(const std::string& service, const std::string& version, bool is_plain);
  void RemoveOldSources(time_point now);
  void UpdateModels();
  void UpdateVersions();
  void UpdateHolders();
  void SendCopies();
  void Receive(const host_port& sender, const message& received);
  void ReceiveCopies(const host_port& sender, const hold_stream_origins& copies);
  task<> KeepRecords();
  void UpdateRecordStates(time_point now);
  task<> RemoveOldLogs();
  void AskForRecorded();
  // The latest era of the store in which the records of all services held all versions that this router knows.
  std::uint64_t ConfirmedEra() const;
  void AskForConfirmations(time_point now);
  // True while the record may lack versions because the store has come back from an older copy.
  bool IsRecordDoubtful(time_point now) const;
  // True if the record of the service states an era before the present one, although it is known to be complete.
  bool IsStampOutdated(const service_state& state, time_point now) const;
  void ReceiveConfirmation(const host_port& sender, const records_confirmed& confirmed);
  task<> ReadRecords();
  task<> WriteRecord(std::string service);
  std::size_t OwnRank(const std::string& service) const;

  kernel& kernel_;
  const direct_settings& settings_;
  table_client table_;
  deployment_directory* directory_ = nullptr;
  router_group* group_ = nullptr;
  std::optional<stream_origin_table> origins_;  // set by Start, when the own address is known
  std::optional<origin_log> log_;               // as origins_
  shared_check log_read_;
  bool is_log_written_ = false;  // a write is in progress
  bool has_shared_ = false;      // a service had several candidates at the previous check of the records
  time_point next_log_write_;
  std::vector<std::shared_ptr<version_query>> version_queries_;
  bool is_addition_due_ = false;        // a version that serves is not usable yet
  record_confirmations confirmations_;  // since the store has come back from an older copy, which may lack records
  time_point asked_for_confirmations_;
  // Until then, engines may not have reported themselves again to a store that was restored before this router started.
  time_point entries_back_at_;
  mailbox<bool> record_wakeup_;  // the versions of a service have changed
  std::map<std::string, service_state> services_;
  std::map<std::string, recent_names> routes_;     // services of each resumable route, by its name
  revision_number routes_revision_ = 0;            // of the desired state that routes_ holds
  std::map<std::uint64_t, known_source> sources_;  // by version key, those that may have begun a stream
  std::map<origin_key, std::vector<std::shared_ptr<query>>> queries_;
  std::uint64_t records_era_ = 0;  // of the store when the records were read or written last
  bool has_records_ = false;       // the records have been read
  bool stopped_ = false;
  timer_subscription watch_timer_;
};

}  // namespace persimmon
