// Sections
//   1. versions of a resumed stream
//   2. copies at other routers
//   3. records of versions in the store
#include "direct/origin_tracker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "core/event_log.h"
#include "core/random.h"
#include "persimmon/selection.h"

namespace persimmon {
namespace {

using json = nlohmann::json;

constexpr const char* kComponent = "router.origins";
constexpr const char* kVersionTable = "persimmon_versions";
constexpr milliseconds kCopyDelay(20);            // from the first event to the copies, to send several in one datagram
constexpr milliseconds kWatchPeriod(100);         // checks for changed routers and copies that are not acknowledged
constexpr milliseconds kAnswerTime(60);           // for the answer of a holder, before it is asked again
constexpr int kQueryRounds = 3;                   // a datagram may be lost
constexpr milliseconds kRecordsWait(400);         // for the records after a start, while a resumed stream waits
constexpr milliseconds kRecordPeriod(500);        // between checks of the records
constexpr milliseconds kRankDelay(1'500);         // later start of each further router that keeps a record
constexpr std::size_t kRecordKeepers = 3;         // routers that write the record of a service, by rank
constexpr std::size_t kMaxCopiesPerMessage = 60;  // 20 bytes each; fits a datagram
constexpr milliseconds kMinResumeTime(30'000);    // lower limit of ResumeTime
constexpr std::size_t kMaxRecordedVersions = 64;  // of one service, against records of other writers

version_set ParseRecord(const std::string& text) {
  const json value = json::parse(text, nullptr, false);
  version_set versions;
  if (value.is_object() && value.contains("versions") && value["versions"].is_array()) {
    for (const json& version : value["versions"]) {
      if (version.is_string() && versions.size() < kMaxRecordedVersions) {
        versions.insert(version.get<std::string>());
      }
    }
  }
  return versions;
}

std::string MakeRecord(const version_set& versions) {
  return json{{"schema", 1}, {"versions", versions}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string JoinVersions(const version_set& versions) {
  std::string text;
  for (const std::string& version : versions) {
    text += (text.empty() ? "" : ",") + version;
  }
  return text;
}

}  // namespace

origin_tracker::origin_tracker(kernel& services, const direct_settings& settings, table_client table)
    : kernel_(services), settings_(settings), table_(std::move(table)) {}

void origin_tracker::Start() {
  directory_ = &kernel_.Find<deployment_directory>("directory");
  group_ = &kernel_.Find<router_group>("group");
  origins_.emplace(group_->Self().address.Text(), stream_origin_settings{});
  group_->SubscribeMessages([this](const host_port& sender, const message& received) { Receive(sender, received); });
  directory_->Subscribe([this] { UpdateVersions(); });
  watch_timer_ = kernel_.Timers().SubscribeEvery(kWatchPeriod, 0.1, [this] {
    origins_->RemoveExpired(timer_service::Now());
    SendCopies();
  });
  has_records_ = settings_.deployment.first_start;
  asio::co_spawn(kernel_.Context(), KeepRecords(), asio::detached);
}

void origin_tracker::Stop() {
  stopped_ = true;
  copy_timer_.Cancel();
  watch_timer_.Cancel();
}

// ---------------------------------------------------------------------------------------------------------------------
// 1. versions of a resumed stream
// ---------------------------------------------------------------------------------------------------------------------

// A caller's time budget covers all its attempts. It is not known for streams of other routers, so the routes' timeouts
// stand in for it.
milliseconds origin_tracker::ResumeTime() const {
  return std::max(kMinResumeTime, 2 * directory_->Routes()->LongestResumableTimeout());
}

version_set origin_tracker::Candidates(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? version_set()
                                  : found->second.versions.Candidates(timer_service::Now(), ResumeTime());
}

std::set<std::string> origin_tracker::SharedServices() const {
  std::set<std::string> shared;
  for (const auto& [name, state] : services_) {
    if (Candidates(name).size() > 1) {
      shared.insert(name);
    }
  }
  return shared;
}

void origin_tracker::UpdateVersions() {
  const time_point now = timer_service::Now();
  for (const auto& [name, service] : directory_->Routes()->Services()) {
    if (!service.engine) {
      continue;
    }
    version_set serving;
    for (const endpoint_entry* entry : directory_->Endpoints().ListReady(name)) {
      serving.insert(entry->version);
      service_of_version_.try_emplace(VersionKey(name, entry->version), name);
    }
    service_versions& versions = services_[name].versions;
    if (serving == versions.Serving()) {
      continue;
    }
    Events()
        .Line(kComponent, "versions_changed")
        .Add("service", name)
        .Add("serving", JoinVersions(serving))
        .Add("before", JoinVersions(versions.Serving()));
    versions.SetServing(std::move(serving), now);
  }
}

void origin_tracker::RecordFirstEvent(const direct_call& call, const std::string& version) {
  const platform::request_metadata& metadata = call.Metadata();
  const std::string& attempt = metadata.resumed_attempt.empty() ? metadata.attempt : metadata.resumed_attempt;
  if (attempt.empty()) {
    return;
  }
  const std::uint64_t key = VersionKey(call.Service().name, version);
  const milliseconds budget = std::max(metadata.time_budget.value_or(call.Route().timeout), call.Route().timeout);
  origins_->Record({OriginKey(attempt), key, call.Arrival() + budget});
  if (Candidates(call.Service().name).size() > 1) {
    ScheduleCopies();
  }
}

task<result<std::optional<std::string>>> origin_tracker::FindVersion(direct_call_ptr call) {
  using version_result = result<std::optional<std::string>>;
  const auto& metadata = call->Metadata();
  if (metadata.resume_after.empty()) {
    co_return version_result(std::nullopt);  // a new stream
  }
  const time_point wait_end = timer_service::Now() + kRecordsWait;
  while (!has_records_ && timer_service::Now() < wait_end && !call->IsCallerDisconnected()) {
    co_await kernel_.Timers().Sleep(kCopyDelay);
  }
  const std::string& service = call->Service().name;
  const version_set candidates = Candidates(service);
  if (has_records_ && candidates.size() <= 1) {
    co_return version_result(std::nullopt);
  }
  std::optional<std::uint64_t> origin;
  if (!metadata.resumed_attempt.empty()) {
    origin = co_await FindOrigin(OriginKey(metadata.resumed_attempt));
  }
  std::optional<std::string> version;
  for (const std::string& candidate : candidates) {
    if (origin && VersionKey(service, candidate) == *origin) {
      version = candidate;
    }
  }
  Events()
      .Line(kComponent, "stream_resumed")
      .Request(metadata.attempt)
      .Add("resumes", metadata.resumed_attempt)
      .Add("version", version.value_or(""))
      .Add("known", origin.has_value())
      .Add("candidates", JoinVersions(candidates))
      .Add("routers", group_->LiveMembers().size());
  if (!version) {
    co_return error{error_code::kUnavailable, "the version that began the stream is unknown"};
  }
  co_return version_result(version);
}

task<std::optional<std::uint64_t>> origin_tracker::FindOrigin(origin_key attempt) {
  if (const auto known = origins_->Find(attempt, timer_service::Now())) {
    co_return known;
  }
  for (int round = 0; round < kQueryRounds; ++round) {
    auto answer = co_await AskHolders(attempt);
    if (answer) {
      co_return *answer == 0 ? std::nullopt : answer;
    }
  }
  co_return std::nullopt;
}

// Returns the version key that the first holder with one answers, 0 if all answer that they know none, and nothing if
// some do not answer in time.
task<std::optional<std::uint64_t>> origin_tracker::AskHolders(origin_key attempt) {
  UpdateHolders();
  const auto holders = origins_->HoldersOf(attempt);
  if (holders.empty()) {
    co_await kernel_.Timers().Sleep(kAnswerTime);  // other routers may not have been heard yet
    co_return std::nullopt;
  }
  auto waiting = std::make_shared<query>(kernel_.Context());
  queries_[attempt].push_back(waiting);
  for (const origin_holder& holder : holders) {
    if (const auto address = ParseHostPort(holder.address)) {
      waiting->unanswered.insert(address.value());
      group_->Send(address.value(), message(find_stream_origin{attempt}));
    }
  }
  auto answer = co_await waiting->result_mailbox.Receive(kAnswerTime);
  auto& others = queries_[attempt];
  std::erase(others, waiting);
  if (others.empty()) {
    queries_.erase(attempt);
  }
  co_return answer;
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. copies at other routers
// ---------------------------------------------------------------------------------------------------------------------

void origin_tracker::UpdateHolders() {
  std::vector<origin_holder> holders;
  for (const router_group::member& member : group_->LiveMembers()) {
    holders.push_back({member.address.Text(), member.incarnation});
  }
  origins_->SetHolders(std::move(holders));
}

void origin_tracker::ScheduleCopies() {
  if (is_copy_scheduled_) {
    return;
  }
  is_copy_scheduled_ = true;
  copy_timer_ = kernel_.Timers().SubscribeOnce(kCopyDelay, [this] {
    is_copy_scheduled_ = false;
    SendCopies();
  });
}

void origin_tracker::SendCopies() {
  const std::set<std::string> shared = SharedServices();
  if (shared.empty() || origins_->Size() == 0) {
    return;
  }
  UpdateHolders();
  const time_point now = timer_service::Now();
  const auto needs_copies = [&](std::uint64_t version) {
    const auto service = service_of_version_.find(version);
    // A version that this router has not seen is one more than it knows of.
    return service == service_of_version_.end() || shared.contains(service->second);
  };
  for (const auto& [holder, origins] : origins_->TakeDueCopies(needs_copies, now)) {
    const auto address = ParseHostPort(holder.address);
    if (!address) {
      continue;
    }
    hold_stream_origins copies;
    for (const stream_origin& origin : origins) {
      const auto lifetime = std::chrono::ceil<milliseconds>(origin.expiry - now).count();
      copies.origins.push_back({origin.attempt, origin.version, static_cast<std::uint32_t>(lifetime)});
      if (copies.origins.size() == kMaxCopiesPerMessage) {
        group_->Send(address.value(), message(std::exchange(copies, {})));
      }
    }
    if (!copies.origins.empty()) {
      group_->Send(address.value(), message(std::move(copies)));
    }
  }
}

void origin_tracker::Receive(const host_port& sender, const message& received) {
  if (const auto* copies = std::get_if<hold_stream_origins>(&received)) {
    ReceiveCopies(sender, *copies);
  } else if (const auto* held = std::get_if<stream_origins_held>(&received)) {
    origins_->RecordHeld({sender.Text(), held->incarnation}, held->attempts);
  } else if (const auto* find = std::get_if<find_stream_origin>(&received)) {
    const auto version = origins_->Find(find->attempt, timer_service::Now());
    group_->Send(sender, message(stream_origin_found{find->attempt, version.value_or(0)}));
  } else if (const auto* found = std::get_if<stream_origin_found>(&received)) {
    const auto waiting = queries_.find(found->attempt);
    if (waiting == queries_.end()) {
      return;
    }
    for (const auto& asked : waiting->second) {
      asked->unanswered.erase(sender);
      if (found->version != 0 || asked->unanswered.empty()) {
        asked->result_mailbox.Push(found->version);
      }
    }
  }
}

void origin_tracker::ReceiveCopies(const host_port& sender, const hold_stream_origins& copies) {
  const time_point now = timer_service::Now();
  const milliseconds limit = ResumeTime();
  stream_origins_held held{group_->Self().incarnation, {}};
  for (const stream_origin_copy& copy : copies.origins) {
    origins_->RecordCopy(
        {copy.attempt, copy.version, now + std::min<milliseconds>(limit, milliseconds(copy.lifetime_ms))});
    held.attempts.push_back(copy.attempt);
  }
  group_->Send(sender, message(std::move(held)));
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. records of versions in the store
// ---------------------------------------------------------------------------------------------------------------------

task<> origin_tracker::KeepRecords() {
  while (!stopped_) {
    if (!has_records_) {
      co_await ReadRecords();
    }
    const time_point now = timer_service::Now();
    const bool is_restored = table_.Era() != records_era_ && records_era_ != 0;
    for (auto& [name, state] : services_) {
      if (is_restored) {
        state.recorded.clear();  // the record may be an older one
      }
      const bool is_outdated = Candidates(name) != state.recorded;
      state.outdated_since = is_outdated ? state.outdated_since.value_or(now) : std::optional<time_point>();
    }
    records_era_ = table_.Era();
    if (has_records_ && directory_->IsInForce() && directory_->IsStoreReachable()) {
      std::vector<std::string> due;
      for (const auto& [name, state] : services_) {
        const std::size_t rank = state.outdated_since ? OwnRank(name) : kRecordKeepers;
        if (rank < kRecordKeepers && now - *state.outdated_since >= kRankDelay * static_cast<int>(rank)) {
          due.push_back(name);
        }
      }
      for (const std::string& name : due) {
        co_await WriteRecord(name);
      }
    }
    co_await kernel_.Timers().Sleep(kRecordPeriod);
  }
}

task<> origin_tracker::ReadRecords() {
  auto snapshot = co_await table_.ReadTable(kVersionTable);
  if (!snapshot) {
    Events().Line(kComponent, "records_unreadable").Add("reason", snapshot.error().message);
    co_return;
  }
  for (const table_row& row : snapshot.value().rows) {
    const version_set versions = ParseRecord(row.value);
    service_state& state = services_[row.key];
    state.versions.AddRecorded(versions, timer_service::Now());
    state.recorded = versions;
    for (const std::string& version : versions) {
      service_of_version_.try_emplace(VersionKey(row.key, version), row.key);
    }
    Events().Line(kComponent, "record_read").Add("service", row.key).Add("versions", JoinVersions(versions));
  }
  has_records_ = true;
}

// Reads the record first: another router may have written it meanwhile, or may know of a version that this one does
// not.
task<> origin_tracker::WriteRecord(std::string service) {
  auto row = co_await table_.ReadRow(kVersionTable, service);
  if (!row) {
    Events().Line(kComponent, "record_unreadable").Add("service", service).Add("reason", row.error().message);
    co_return;
  }
  service_state& state = services_[service];
  const version_set known = row.value() ? ParseRecord(row.value()->value) : version_set();
  for (const std::string& version : known) {
    if (!state.recorded.contains(version)) {
      state.versions.AddRecorded({version}, timer_service::Now());
      service_of_version_.try_emplace(VersionKey(service, version), service);
    }
  }
  const version_set versions = Candidates(service);
  if (versions == known) {
    state.recorded = known;
    co_return;
  }
  std::vector<table_write> writes(1);
  writes[0].table = kVersionTable;
  writes[0].key = service;
  writes[0].value = MakeRecord(versions);
  writes[0].condition = row.value() ? row_condition::kVersion : row_condition::kAbsent;
  writes[0].version = row.value() ? row.value()->version : 0;
  auto written = co_await table_.Commit(std::move(writes));
  const bool is_written = written && written.value().committed;
  if (is_written) {
    services_[service].recorded = versions;
  }
  Events()
      .Line(kComponent, is_written ? "record_written" : "record_not_written")
      .Add("service", service)
      .Add("versions", JoinVersions(versions))
      .Add("before", JoinVersions(known))
      .Add("reason", !written     ? written.error().message
                     : is_written ? ""
                                  : "another router has written it first");
}

// Position of this router among all that can keep the record of the service.
std::size_t origin_tracker::OwnRank(const std::string& service) const {
  const std::uint64_t own_score = RendezvousScore(service, group_->Self().address.Text());
  const auto members = group_->LiveMembers();
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const auto& member) {
    return RendezvousScore(service, member.address.Text()) > own_score;
  }));
}

}  // namespace persimmon
