// Sections
//   1. source of a resumed stream
//   2. copies at other routers
//   3. records of versions in the store
#include "direct/origin_tracker.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "core/event_log.h"
#include "core/random.h"
#include "persimmon/selection.h"
#include "platform/json_text.h"

namespace persimmon {
namespace {

using json = nlohmann::json;

constexpr const char* kComponent = "router.origins";
constexpr const char* kVersionTable = "persimmon_versions";
constexpr milliseconds kWatchPeriod(100);   // checks for changed routers and copies that are not acknowledged
constexpr milliseconds kAnswerTime(60);     // for the answer of a holder, before it is asked again
constexpr int kQueryRounds = 3;             // a datagram may be lost
constexpr milliseconds kRecordsWait(400);   // for the records after a start, while a resumed stream waits
constexpr milliseconds kRecordsPoll(20);    // between checks of that wait
constexpr milliseconds kRecordPeriod(500);  // between checks of the records
constexpr milliseconds kRankDelay(1'500);   // later start of each further router that keeps a record
constexpr std::size_t kRecordKeepers = 3;   // routers that remove versions from the record, by rank
// The same for a version that is to be added. Streams begin there only afterwards, so any router adds it in the end.
constexpr milliseconds kAddRankDelay(300);
constexpr std::size_t kMaxAddRank = 5;
// Streams begin at versions that cannot be recorded if no other version has served for this long.
constexpr milliseconds kUnusableLimit(5'000);
constexpr milliseconds kConfirmTime(400);  // for a check of the versions, while a resumed stream waits
constexpr milliseconds kStoreTime(150);    // of it, for the answer of the store before the routers are asked
constexpr milliseconds kCheckPoll(3);
constexpr milliseconds kLogPeriod(200);           // between two writes of origins by this router
constexpr milliseconds kLogPeriodPerRouter(20);   // the same, by the number of routers: 50 writes per second in all
constexpr std::size_t kMaxCopiesPerMessage = 60;  // 20 bytes each; fits a datagram
constexpr milliseconds kMinResumeTime(30'000);    // lower limit of ResumeTime
// Engines that live report themselves within about 2 s to a store that has come back.
constexpr milliseconds kEntriesBackTime(2'500);
constexpr std::uint64_t kFirstEra = 1;            // of a store that has never come back from a copy
constexpr std::size_t kMaxRecordedVersions = 64;  // of one service, against records of other writers

struct version_record {
  name_set versions;
  std::uint64_t complete_era = kFirstEra;  // the latest era of the store in which it was complete
};

version_record ParseRecord(const std::string& text) {
  const json value = platform::ParseJson(text);
  version_record record;
  if (value.is_object() && value.contains("versions") && value["versions"].is_array()) {
    for (const json& version : value["versions"]) {
      if (version.is_string() && record.versions.size() < kMaxRecordedVersions) {
        record.versions.insert(version.get<std::string>());
      }
    }
  }
  if (value.is_object() && value.contains("era") && value["era"].is_number_unsigned()) {
    record.complete_era = value["era"].get<std::uint64_t>();
  }
  return record;
}

std::string MakeRecord(const version_record& record) {
  return json{{"schema", 1}, {"versions", record.versions}, {"era", record.complete_era}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

std::string JoinNames(const name_set& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text;
}

// The version of the model's weights; nothing if it is not served, or with several versions.
std::optional<std::uint64_t> WeightsOf(const std::string& model, const std::set<served_model>& models) {
  std::optional<std::uint64_t> weights;
  for (const served_model& served : models) {
    if (served.name != model) {
      continue;
    }
    if (weights) {
      return std::nullopt;
    }
    weights = served.weights_version;
  }
  return weights;
}

bool Contains(const std::vector<std::uint64_t>& keys, std::uint64_t key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

}  // namespace

origin_tracker::origin_tracker(kernel& services, const direct_settings& settings, table_client table)
    : kernel_(services), settings_(settings), table_(std::move(table)), record_wakeup_(services.Context()) {}

void origin_tracker::Start() {
  directory_ = &kernel_.Find<deployment_directory>("directory");
  group_ = &kernel_.Find<router_group>("group");
  origins_.emplace(group_->Self().address.Text(), stream_origin_settings{});
  log_.emplace(table_, group_->Self().address.Text(), group_->Self().incarnation);
  group_->SubscribeMessages([this](const host_port& sender, const message& received) { Receive(sender, received); });
  directory_->Subscribe([this] { UpdateVersions(); });
  watch_timer_ = kernel_.Timers().SubscribeEvery(kWatchPeriod, 0.1, [this] {
    origins_->RemoveExpired(timer_service::Now());
    SendCopies();
    ScheduleLog();
  });
  has_records_ = settings_.deployment.first_start;
  asio::co_spawn(kernel_.Context(), KeepRecords(), asio::detached);
}

void origin_tracker::Stop() {
  stopped_ = true;
  watch_timer_.Cancel();
}

// ---------------------------------------------------------------------------------------------------------------------
// 1. source of a resumed stream
// ---------------------------------------------------------------------------------------------------------------------

// A caller's time budget covers all its attempts. It is not known for streams of other routers, so the routes' timeouts
// stand in for it.
milliseconds origin_tracker::ResumeTime() const {
  return std::max(kMinResumeTime, 2 * directory_->Routes()->LongestResumableTimeout());
}

name_set origin_tracker::Candidates(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? name_set() : found->second.versions.Candidates(timer_service::Now(), ResumeTime());
}

name_set origin_tracker::SharedServices() const {
  name_set shared;
  for (const auto& [name, state] : services_) {
    if (Candidates(name).size() > 1) {
      shared.insert(name);
    }
  }
  const time_point now = timer_service::Now();
  for (const auto& [route, services] : routes_) {
    name_set candidates = services.Candidates(now, ResumeTime());
    if (candidates.size() > 1) {
      shared.merge(candidates);
    }
  }
  return shared;
}

name_set origin_tracker::CandidateServices(const route_record& route) const {
  name_set services = ServicesOf(route);
  if (const auto found = routes_.find(route.name); found != routes_.end()) {
    services.merge(found->second.Candidates(timer_service::Now(), ResumeTime()));
  }
  return services;
}

std::optional<std::string> origin_tracker::SoleService(const route_record& route) const {
  const name_set services = CandidateServices(route);
  // A router with a newer desired state may have begun streams of the route at another service.
  const bool is_newest = group_->NewestPeerRevision() <= directory_->Routes()->Revision();
  return services.size() == 1 && is_newest ? std::optional(*services.begin()) : std::nullopt;
}

bool origin_tracker::Continues(const std::string& service, const known_source& origin, const std::string& model) const {
  const endpoint_registry& endpoints = directory_->Endpoints();
  const std::string& version = origin.source.version;
  const auto weights = WeightsOf(model, endpoints.ModelsOf(service, version));
  return endpoints.HasDecodeEngine(service, version) && weights && weights == WeightsOf(model, origin.models);
}

std::optional<stream_source> origin_tracker::FindContinuation(const direct_call& call,
                                                              const known_source& origin) const {
  const stream_source& source = origin.source;
  const route_record& route = call.Route();
  const bool is_named = route.Names(source.service);
  if (is_named && (origin.is_plain || directory_->Endpoints().HasDecodeEngine(source.service, source.version))) {
    return source;
  }
  const name_set drawn = ServicesOf(route);
  route_record others = route;
  std::erase_if(others.services, [&](const weighted_service& target) {
    return origin.is_plain || target.service == source.service || !drawn.contains(target.service) ||
           !Continues(target.service, origin, call.Metadata().model);
  });
  if (!others.services.empty()) {
    return stream_source{PickService(others, RandomUnit()), source.version};
  }
  return is_named ? std::optional(source) : std::nullopt;
}

void origin_tracker::UpdateRoutes() {
  const auto table = directory_->Routes();
  if (std::exchange(routes_revision_, table->Revision()) == table->Revision()) {
    return;
  }
  const time_point now = timer_service::Now();
  std::map<std::string, name_set> named;
  for (const route_record* route : table->Routes()) {
    if (route->kind == call_kind::kStreaming && route->resumable) {
      named[route->name] = ServicesOf(*route);
    }
  }
  for (auto& [route, services] : routes_) {
    named.try_emplace(route);
  }
  for (auto& [route, services] : named) {
    routes_[route].Set(std::move(services), now);
  }
  std::erase_if(routes_, [&](const auto& item) { return item.second.Candidates(now, ResumeTime()).empty(); });
}

void origin_tracker::AddSource(const std::string& service, const std::string& version, bool is_plain) {
  const std::uint64_t key = VersionKey(service, version);
  if (!sources_.contains(key)) {
    sources_.emplace(key, known_source{{service, version}, is_plain, {}});
  }
}

void origin_tracker::UpdateVersions() {
  UpdateRoutes();
  const time_point now = timer_service::Now();
  for (const auto& [name, service] : directory_->Routes()->Services()) {
    if (!service.engine) {
      AddSource(name, {}, true);
      continue;
    }
    name_set serving;
    for (const endpoint_entry* entry : directory_->Endpoints().ListReady(name)) {
      serving.insert(entry->version);
      AddSource(name, entry->version, false);
    }
    recent_names& versions = services_[name].versions;
    if (serving == versions.Current()) {
      continue;
    }
    Events()
        .Line(kComponent, "versions_changed")
        .Add("service", name)
        .Add("serving", JoinNames(serving))
        .Add("before", JoinNames(versions.Current()));
    versions.Set(std::move(serving), now);
    record_wakeup_.Push(true);
  }
}

bool origin_tracker::MayBegin(const std::string& service, const std::string& version) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return false;
  }
  const service_state& state = found->second;
  return state.usable.contains(version) ||
         (state.unusable_since && timer_service::Now() - *state.unusable_since >= kUnusableLimit);
}

void origin_tracker::RecordFirstEvent(const direct_call& call, const std::string& version) {
  const platform::request_metadata& metadata = call.Metadata();
  const std::string& attempt = metadata.resumed_attempt.empty() ? metadata.attempt : metadata.resumed_attempt;
  RecordOrigin(call, attempt, {call.Service().name, version});
}

void origin_tracker::RecordOrigin(const direct_call& call, const std::string& attempt, const stream_source& source) {
  if (attempt.empty()) {
    return;
  }
  const platform::request_metadata& metadata = call.Metadata();
  const std::uint64_t key = VersionKey(source.service, source.version);
  const milliseconds budget = std::max(metadata.time_budget.value_or(call.Route().timeout), call.Route().timeout);
  origins_->Record({OriginKey(attempt), key, call.Arrival() + budget});
  SendCopies();
}

task<result<stream_source>> origin_tracker::FindSource(direct_call_ptr call) {
  const auto& metadata = call->Metadata();
  const route_record& route = call->Route();
  if (const auto service = SoleService(route)) {
    const service_record* record = directory_->Routes()->FindService(*service);
    if (record != nullptr && !record->engine) {
      co_return stream_source{*service, {}};  // versions of plain services are not told apart
    }
  }
  const time_point wait_end = timer_service::Now() + kRecordsWait;
  while (!has_records_ && timer_service::Now() < wait_end && !call->IsCallerDisconnected()) {
    co_await kernel_.Timers().Sleep(kRecordsPoll);
  }
  const origin_key resumed = OriginKey(metadata.resumed_attempt);
  const time_point search_start = timer_service::Now();
  origin_search search;
  std::optional<std::uint64_t> origin;
  std::optional<std::uint64_t> answer;  // of the holders of copies
  if (!metadata.resumed_attempt.empty()) {
    origin = origins_->Find(resumed, search_start);
    search.found_in = origin ? "this_router" : "";
    if (!origin) {
      answer = co_await AskHolders(resumed, search);
      origin = answer && *answer != 0 ? answer : std::nullopt;
    }
  }
  std::optional<stream_source> source;
  if (!origin) {
    source = co_await ConfirmSoleSource(call);
  }
  if (source) {
    RecordOrigin(*call, metadata.resumed_attempt, *source);
    co_return *source;
  }
  if (!origin && !metadata.resumed_attempt.empty()) {
    origin = co_await FindOrigin(resumed, answer, search);
  }
  const auto began = origin ? sources_.find(*origin) : sources_.end();
  if (began != sources_.end()) {
    source = FindContinuation(*call, began->second);
  }
  Events()
      .Line(kComponent, "stream_resumed")
      .Request(metadata.attempt)
      .Add("resumes", metadata.resumed_attempt)
      .Add("route", route.name)
      .Add("service", source ? source->service : "")
      .Add("version", source ? source->version : "")
      .Add("known", origin.has_value())
      .Add("found_in", search.found_in)
      .Add("asked", search.asked)
      .Add("took_ms", ElapsedMs(search_start, timer_service::Now()))
      .Add("log_age_ms", log_read_.began ? ElapsedMs(*log_read_.began, timer_service::Now()) : -1)
      .Add("records_read", has_records_)
      .Add("store_reachable", directory_->IsStoreReachable())
      .Add("began_at", began != sources_.end() ? began->second.source.service : "")
      .Add("began_version", began != sources_.end() ? began->second.source.version : "")
      .Add("candidates", JoinNames(CandidateServices(route)))
      .Add("routers", group_->LiveMembers().size());
  if (source) {
    co_return *source;
  }
  if (began != sources_.end()) {
    co_return error{error_code::kNotFound, "no service of the route continues what the stream's service has begun"};
  }
  co_return error{error_code::kUnavailable, "it is unknown where the stream began"};
}

task<std::optional<stream_source>> origin_tracker::ConfirmSoleSource(direct_call_ptr call) {
  const auto service = SoleService(call->Route());
  if (!service) {
    co_return std::nullopt;
  }
  if (Candidates(*service).size() > 1) {
    co_return std::nullopt;
  }
  const bool is_confirmed = co_await ConfirmSingleVersion(*service);
  const name_set versions = Candidates(*service);
  // The route may have changed during the check.
  if (!is_confirmed || versions.size() != 1 || SoleService(call->Route()) != service) {
    co_return std::nullopt;
  }
  co_return stream_source{*service, *versions.begin()};
}

// The list of endpoints of a router that has been cut off or suspended is old, and so is what it concludes from it. The
// record of the versions is not, if it is read now: no stream begins at a version before it is recorded.
task<bool> origin_tracker::ConfirmSingleVersion(std::string service) {
  shared_check& check = services_[service].check;  // services are never removed
  std::function<task<>()> start = [this, service] { return RunCheck(service); };
  co_return co_await AwaitCheck(check, kConfirmTime, std::move(start));
}

task<bool> origin_tracker::AwaitCheck(shared_check& check, milliseconds limit, std::function<task<>()> start) {
  const time_point asked = timer_service::Now();
  while (timer_service::Now() - asked < limit) {
    if (check.began && *check.began >= asked) {
      co_return check.is_confirmed;
    }
    if (!std::exchange(check.is_running, true)) {
      asio::co_spawn(kernel_.Context(), start(), asio::detached);
    }
    co_await kernel_.Timers().Sleep(kCheckPoll);
  }
  co_return false;
}

task<> origin_tracker::RunCheck(std::string service) {
  const time_point began = timer_service::Now();
  const bool is_record_doubtful = IsRecordDoubtful(began);
  std::optional<bool> is_recorded;
  if (directory_->IsStoreReachable() && !is_record_doubtful) {
    // The read goes on when the time is up, because the store may still answer it.
    auto done = std::make_shared<mailbox<bool>>(kernel_.Context());
    asio::co_spawn(kernel_.Context(), CheckRecord(service, done), asio::detached);
    is_recorded = co_await done->Receive(kStoreTime);
  }
  bool is_confirmed = is_recorded.value_or(false);
  // The other routers may have started after the restore too.
  if (!is_confirmed && began >= entries_back_at_) {
    is_confirmed = co_await AskRouters(service);
  }
  service_state& state = services_[service];
  state.check.End(began, is_confirmed && Candidates(service).size() <= 1);
  Events()
      .Line(kComponent, "versions_checked")
      .Add("service", service)
      .Add("confirmed", state.check.is_confirmed)
      .Add("by", is_recorded.value_or(false) ? "store" : "routers")
      .Add("record_doubtful", is_record_doubtful)
      .Add("versions", JoinNames(Candidates(service)))
      .Add("took_ms", ElapsedMs(began, timer_service::Now()));
}

// Pushes true if the record could be read. It may name further versions.
task<> origin_tracker::CheckRecord(std::string service, std::shared_ptr<mailbox<bool>> done) {
  auto row = co_await table_.ReadRow(kVersionTable, service);
  // A store that has come back from an older copy may lack the record of a version.
  const bool is_valid = row && (records_era_ == 0 || table_.Era() == records_era_);
  if (is_valid && row.value()) {
    ApplyRecord(service, *row.value());
  }
  done->Push(is_valid);
}

// True if all routers that may have begun streams know of no other version.
task<bool> origin_tracker::AskRouters(std::string service) {
  auto waiting = std::make_shared<version_query>(kernel_.Context());
  waiting->service = ServiceKey(service);
  waiting->question = RandomNumber();
  for (const host_port& router : group_->OtherRouters()) {
    waiting->unanswered.insert(router);
  }
  // What a router that has ended knew is lost with it.
  if (!group_->HearsAllRouters(timer_service::Now() - ResumeTime())) {
    co_return false;
  }
  version_queries_.push_back(waiting);
  std::optional<bool> answer;
  if (waiting->unanswered.empty()) {
    answer = true;
  }
  for (int round = 0; round < kQueryRounds && !answer; ++round) {
    group_->SendAll({waiting->unanswered.begin(), waiting->unanswered.end()},
                    message(ask_versions{waiting->service, waiting->question}));
    answer = co_await waiting->result_mailbox.Receive(kAnswerTime);
  }
  std::erase(version_queries_, waiting);
  co_return answer.value_or(false);
}

versions_known origin_tracker::MakeVersions(const std::string& service) const {
  versions_known known{ServiceKey(service), {}, {}};
  for (const std::string& version : Candidates(service)) {
    known.candidates.push_back(VersionKey(service, version));
    if (services_.at(service).usable.contains(version)) {
      known.recorded.push_back(known.candidates.back());
    }
  }
  return known;
}

void origin_tracker::ReceiveVersions(const versions_known& known) {
  for (auto& [name, state] : services_) {
    if (ServiceKey(name) != known.service) {
      continue;
    }
    for (const std::string& version : Candidates(name)) {
      if (Contains(known.recorded, VersionKey(name, version))) {
        state.recorded.insert(version);
        if (state.usable.insert(version).second && on_usable) {
          on_usable();
        }
      }
    }
  }
}

// A message from before the question, which a router may read only after it, does not say what the sender knows now.
void origin_tracker::ReceiveAnswer(const host_port& sender, const versions_answer& answer) {
  std::vector<std::uint64_t> own;
  for (const auto& [name, state] : services_) {
    if (ServiceKey(name) == answer.known.service) {
      for (const std::string& version : Candidates(name)) {
        own.push_back(VersionKey(name, version));
      }
    }
  }
  for (const auto& asked : version_queries_) {
    if (asked->question != answer.question || asked->unanswered.erase(sender) == 0) {
      continue;
    }
    const bool knows_other = std::any_of(answer.known.candidates.begin(), answer.known.candidates.end(),
                                         [&](std::uint64_t key) { return !Contains(own, key); });
    if (knows_other || asked->unanswered.empty()) {
      asked->result_mailbox.Push(!knows_other);
    }
  }
}

task<std::optional<std::uint64_t>> origin_tracker::FindOrigin(origin_key attempt, std::optional<std::uint64_t> answer,
                                                              origin_search& search) {
  if (const auto known = origins_->Find(attempt, timer_service::Now())) {
    search.found_in = "this_router";  // a copy has arrived meanwhile
    co_return known;
  }
  for (int round = 1; round < kQueryRounds && !answer; ++round) {
    answer = co_await AskHolders(attempt, search);
  }
  if (answer && *answer != 0) {
    co_return answer;
  }
  const auto logged = co_await FindLogged(attempt);
  search.found_in = logged ? "store" : "";
  co_return logged;
}

// Looks for the origin in the store. All calls that wait share one read.
task<std::optional<std::uint64_t>> origin_tracker::FindLogged(origin_key attempt) {
  if (directory_->IsStoreReachable()) {
    std::function<task<>()> start = [this] { return ReadLog(); };
    (void)co_await AwaitCheck(log_read_, kStoreTime, std::move(start));
  }
  co_return origins_->Find(attempt, timer_service::Now());
}

task<> origin_tracker::ReadLog() {
  const time_point began = timer_service::Now();
  auto read = co_await log_->Read(ResumeTime());
  if (read) {
    for (const stream_origin& origin : read.value()) {
      origins_->RecordCopy(origin);
    }
  } else {
    Events().Line(kComponent, "origins_unreadable").Add("reason", read.error().message);
  }
  log_read_.End(began, read.has_value());
}

// Returns the version key that the first holder with one answers, 0 if all answer that they know none, and nothing if
// some do not answer in time.
task<std::optional<std::uint64_t>> origin_tracker::AskHolders(origin_key attempt, origin_search& search) {
  UpdateHolders();
  const auto holders = origins_->HoldersOf(attempt);
  if (holders.empty()) {
    if (group_->RouterCount() == 1) {
      co_return 0;  // this router is alone
    }
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
  RecordAnswers(holders, *waiting, search);
  co_return answer;
}

void origin_tracker::RecordAnswers(const std::vector<origin_holder>& holders, const query& asked,
                                   origin_search& search) const {
  for (const origin_holder& holder : holders) {
    const auto address = ParseHostPort(holder.address);
    const auto answer = address ? asked.answers.find(address.value()) : asked.answers.end();
    const bool is_known = answer != asked.answers.end() && answer->second != 0;
    search.found_in = is_known ? "holder" : search.found_in;
    const auto silence = address ? group_->SilenceOf(address.value(), timer_service::Now()) : std::nullopt;
    search.asked += fmt::format("{}{} {} (heard {} ms ago)", search.asked.empty() ? "" : ", ", holder.address,
                                is_known                        ? "knows it"
                                : answer != asked.answers.end() ? "does not know it"
                                                                : "does not answer",
                                silence ? silence->count() : -1);
  }
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

void origin_tracker::SendCopies() {
  if (origins_->Size() == 0) {
    return;
  }
  UpdateHolders();
  const time_point now = timer_service::Now();
  for (const auto& [holder, origins] : origins_->TakeDueCopies(now)) {
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
  } else if (const auto* asked = std::get_if<find_versions>(&received)) {
    for (const auto& [name, state] : services_) {
      if (ServiceKey(name) == asked->service) {
        group_->Send(sender, message(MakeVersions(name)));
      }
    }
  } else if (const auto* known = std::get_if<versions_known>(&received)) {
    ReceiveVersions(*known);
  } else if (const auto* question = std::get_if<ask_versions>(&received)) {
    for (const auto& [name, state] : services_) {
      if (ServiceKey(name) == question->service) {
        group_->Send(sender, message(versions_answer{question->question, MakeVersions(name)}));
      }
    }
  } else if (const auto* answer = std::get_if<versions_answer>(&received)) {
    ReceiveVersions(answer->known);
    ReceiveAnswer(sender, *answer);
  } else if (const auto* record = std::get_if<ask_records>(&received)) {
    if (const std::uint64_t era = ConfirmedEra(); era >= record->era) {
      group_->Send(sender, message(records_confirmed{group_->Self().incarnation, era}));
    }
  } else if (const auto* confirmed = std::get_if<records_confirmed>(&received)) {
    ReceiveConfirmation(sender, *confirmed);
  } else if (const auto* found = std::get_if<stream_origin_found>(&received)) {
    const auto waiting = queries_.find(found->attempt);
    if (waiting == queries_.end()) {
      return;
    }
    for (const auto& asked : waiting->second) {
      if (asked->unanswered.erase(sender) > 0) {
        asked->answers[sender] = found->version;
      }
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
    UpdateRecordStates(now);
    const bool can_write = has_records_ && directory_->IsInForce() && directory_->IsStoreReachable();
    std::vector<std::string> due;
    for (const auto& [name, state] : services_) {
      if (!can_write || !state.outdated_since) {
        continue;
      }
      const bool is_addition = state.confirmed_era < confirmations_.Era() ||
                               !std::includes(state.recorded.begin(), state.recorded.end(),
                                              state.versions.Current().begin(), state.versions.Current().end());
      const std::size_t rank = OwnRank(name);
      const milliseconds delay = is_addition ? kAddRankDelay * static_cast<int>(std::min(rank, kMaxAddRank))
                                             : kRankDelay * static_cast<int>(std::min(rank, kRecordKeepers));
      if ((is_addition || rank < kRecordKeepers) && now - *state.outdated_since >= delay) {
        due.push_back(name);
      }
    }
    for (const std::string& name : due) {
      co_await WriteRecord(name);
    }
    AskForRecorded();
    AskForConfirmations(now);
    const bool has_shared = !SharedServices().empty();
    if (std::exchange(has_shared_, has_shared) && !has_shared && can_write) {
      co_await RemoveOldLogs();
    }
    co_await record_wakeup_.Receive(due.empty() && !is_addition_due_ ? kRecordPeriod : kAddRankDelay / 2);
  }
}

void origin_tracker::UpdateRecordStates(time_point now) {
  const bool is_restored = table_.Era() != records_era_ && records_era_ != 0;
  if (is_restored) {
    std::vector<origin_holder> routers;
    for (const router_group::member& member : group_->RoutersSince(now - ResumeTime())) {
      routers.push_back({member.address.Text(), member.incarnation});
    }
    confirmations_.Begin(table_.Era(), now, routers, group_->RouterCount() > 0);
    origins_->ForgetLogged();
  }
  records_era_ = table_.Era();
  is_addition_due_ = false;
  RemoveOldSources(now);
  UpdateModels();
  for (auto& [name, state] : services_) {
    if (is_restored) {
      state.recorded.clear();  // the record may be an older one
    }
    const name_set candidates = Candidates(name);
    const name_set& serving = state.versions.Current();
    std::erase_if(state.usable, [&](const std::string& version) { return !candidates.contains(version); });
    const bool is_unconfirmed = !candidates.empty() && state.confirmed_era < confirmations_.Era();
    const bool is_outdated = candidates != state.recorded || is_unconfirmed || IsStampOutdated(state, now);
    state.outdated_since = is_outdated ? state.outdated_since.value_or(now) : std::optional<time_point>();
    const bool is_usable =
        std::any_of(serving.begin(), serving.end(),
                    [&usable = state.usable](const std::string& version) { return usable.contains(version); });
    state.unusable_since =
        is_usable || serving.empty() ? std::optional<time_point>() : state.unusable_since.value_or(now);
    is_addition_due_ =
        is_addition_due_ || !std::includes(state.usable.begin(), state.usable.end(), serving.begin(), serving.end());
  }
}

// Versions come from entries of endpoints, so their number has no bound over the life of a router.
void origin_tracker::RemoveOldSources(time_point now) {
  name_set routed;
  for (auto& [route, services] : routes_) {
    services.RemoveExpired(now, ResumeTime());
    routed.merge(services.Candidates(now, ResumeTime()));
  }
  std::map<std::string, name_set> versions;
  for (auto& [name, state] : services_) {
    state.versions.RemoveExpired(now, ResumeTime());
    versions[name] = Candidates(name);
  }
  std::erase_if(sources_, [&](const auto& item) {
    const auto& [source, is_plain, models] = item.second;
    return is_plain ? !routed.contains(source.service) : !versions[source.service].contains(source.version);
  });
}

// Remembers the models of the services whose engines are all gone.
void origin_tracker::UpdateModels() {
  for (auto& [key, known] : sources_) {
    auto models = directory_->Endpoints().ModelsOf(known.source.service, known.source.version);
    if (!models.empty()) {
      known.models = std::move(models);
    }
  }
}

// A router that cannot read the store, for example because it has started in an outage, learns from the others which
// versions are recorded.
void origin_tracker::AskForRecorded() {
  if (!is_addition_due_ || directory_->IsStoreReachable()) {
    return;
  }
  for (const auto& [name, state] : services_) {
    group_->SendAll(group_->OtherRouters(), message(find_versions{ServiceKey(name)}));
  }
}

std::uint64_t origin_tracker::ConfirmedEra() const {
  std::uint64_t era = has_records_ ? table_.Era() : 0;
  for (const auto& [name, state] : services_) {
    if (!Candidates(name).empty()) {
      era = std::min(era, state.confirmed_era);
    }
  }
  return era;
}

bool origin_tracker::IsRecordDoubtful(time_point now) const {
  return now < entries_back_at_ || confirmations_.IsDoubtful(now, ResumeTime());
}

bool origin_tracker::IsStampOutdated(const service_state& state, time_point now) const {
  return !state.recorded.empty() && state.complete_era < table_.Era() && !IsRecordDoubtful(now);
}

void origin_tracker::AskForConfirmations(time_point now) {
  if (!confirmations_.IsDoubtful(now, ResumeTime()) || now - asked_for_confirmations_ < kRecordPeriod) {
    return;
  }
  asked_for_confirmations_ = now;
  for (const origin_holder& router : confirmations_.Unconfirmed()) {
    if (const auto address = ParseHostPort(router.address)) {
      group_->Send(address.value(), message(ask_records{confirmations_.Era()}));
    }
  }
}

void origin_tracker::ReceiveConfirmation(const host_port& sender, const records_confirmed& confirmed) {
  const time_point now = timer_service::Now();
  const bool was_doubtful = confirmations_.IsDoubtful(now, ResumeTime());
  confirmations_.RecordConfirmed({sender.Text(), confirmed.incarnation}, confirmed.era);
  if (was_doubtful && !confirmations_.IsDoubtful(now, ResumeTime())) {
    Events().Line(kComponent, "records_confirmed").Add("era", confirmations_.Era());
  }
}

// Routers that are gone leave their rows behind.
task<> origin_tracker::RemoveOldLogs() {
  if (OwnRank(kVersionTable) != 0) {
    co_return;
  }
  std::vector<std::string> live;
  for (const router_group::member& member : group_->LiveMembers()) {
    live.push_back(member.address.Text());
  }
  auto removed = co_await log_->RemoveOthers(std::move(live));
  if (!removed) {
    Events().Line(kComponent, "old_origins_not_removed").Add("reason", removed.error().message);
  }
}

void origin_tracker::ApplyRecord(const std::string& service, const table_row& row) {
  service_state& state = services_[service];
  const version_record record = ParseRecord(row.value);
  const name_set& versions = record.versions;
  state.complete_era = record.complete_era;
  const std::pair version(row.era, row.version);
  if (std::exchange(state.record_version, version) != version) {
    state.versions.AddSeen(versions, timer_service::Now());
  }
  AddUsable(service, versions);
  const name_set candidates = Candidates(service);
  if (std::includes(versions.begin(), versions.end(), candidates.begin(), candidates.end())) {
    state.confirmed_era = row.era;
  }
}

// Notes the content of the record.
void origin_tracker::AddUsable(const std::string& service, const name_set& versions) {
  service_state& state = services_[service];
  state.recorded = versions;
  bool is_changed = false;
  for (const std::string& version : versions) {
    is_changed = state.usable.insert(version).second || is_changed;
    AddSource(service, version, false);
  }
  if (is_changed && on_usable) {
    on_usable();
  }
}

task<> origin_tracker::ReadRecords() {
  auto snapshot = co_await table_.ReadTable(kVersionTable);
  if (!snapshot) {
    Events().Line(kComponent, "records_unreadable").Add("reason", snapshot.error().message);
    co_return;
  }
  for (const table_row& row : snapshot.value().rows) {
    ApplyRecord(row.key, row);
    Events()
        .Line(kComponent, "record_read")
        .Add("service", row.key)
        .Add("versions", JoinNames(services_[row.key].recorded));
  }
  std::function<task<>()> start = [this] { return ReadLog(); };
  has_records_ = co_await AwaitCheck(log_read_, 2 * settings_.store_timeout, std::move(start));
  const std::uint64_t era = snapshot.value().era;
  const bool predates_restore = snapshot.value().rows.empty()
                                    ? era > kFirstEra
                                    : std::any_of(services_.begin(), services_.end(), [era](const auto& item) {
                                        return !item.second.recorded.empty() && item.second.complete_era < era;
                                      });
  if (has_records_ && predates_restore) {
    entries_back_at_ = timer_service::Now() + kEntriesBackTime;
    Events().Line(kComponent, "records_predate_restore").Add("era", era);
  }
}

void origin_tracker::ScheduleLog() {
  const time_point now = timer_service::Now();
  if (is_log_written_ || now < next_log_write_ || !directory_->IsStoreReachable()) {
    return;
  }
  const name_set shared = SharedServices();
  if (!shared.empty()) {
    const auto needs_log = [&](std::uint64_t version) {
      const auto source = sources_.find(version);
      return source == sources_.end() || shared.contains(source->second.source.service);
    };
    for (const stream_origin& origin : origins_->TakeUnlogged(needs_log, now)) {
      log_->Add(origin);
    }
  }
  if (log_->HasWork(now)) {
    is_log_written_ = true;
    next_log_write_ = now + std::max(kLogPeriod, kLogPeriodPerRouter * static_cast<int>(group_->RouterCount()));
    asio::co_spawn(kernel_.Context(), WriteLog(), asio::detached);
  }
}

task<> origin_tracker::WriteLog() {
  auto written = co_await log_->Write();
  if (!written) {
    Events().Line(kComponent, "origins_not_written").Add("reason", written.error().message);
  }
  is_log_written_ = false;
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
  const name_set known = row.value() ? ParseRecord(row.value()->value).versions : name_set();
  state.complete_era = 0;
  if (row.value()) {
    ApplyRecord(service, *row.value());
  }
  const time_point now = timer_service::Now();
  const name_set versions = Candidates(service);
  if (versions == known && !IsStampOutdated(state, now)) {
    co_return;
  }
  const std::uint64_t complete_era = IsRecordDoubtful(now) ? state.complete_era : table_.Era();
  std::vector<table_write> writes(1);
  writes[0].table = kVersionTable;
  writes[0].key = service;
  writes[0].value = MakeRecord({versions, complete_era});
  writes[0].condition = row.value() ? row_condition::kVersion : row_condition::kAbsent;
  writes[0].version = row.value() ? row.value()->version : 0;
  auto written = co_await table_.Commit(std::move(writes));
  const bool is_written = written && written.value().committed;
  if (is_written) {
    state.record_version = {written.value().era, written.value().version};
    state.confirmed_era = written.value().era;
    state.complete_era = complete_era;
    AddUsable(service, versions);
    group_->SendAll(group_->OtherRouters(), message(MakeVersions(service)));
  } else if (written) {
    record_wakeup_.Push(true);
  }
  Events()
      .Line(kComponent, is_written ? "record_written" : "record_not_written")
      .Add("service", service)
      .Add("versions", JoinNames(versions))
      .Add("before", JoinNames(known))
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
