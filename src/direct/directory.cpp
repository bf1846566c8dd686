#include "direct/directory.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "core/event_log.h"
#include "core/random.h"
#include "platform/records.h"

namespace persimmon {
namespace {

using json = nlohmann::json;

constexpr const char* kPart = "router.directory";
constexpr milliseconds kRetryPause(200);  // after a failed call; a jitter of the same is added
// Endpoints are removed after three silent intervals of more than a second, so that a shorter outage lapses none.
constexpr milliseconds kLapsingOutage(2'500);
constexpr milliseconds kLapseCheck(200);
// After changes of endpoints, so that those that follow at once come with one call. Many start or leave together, and
// the platform counts calls; the delay is small against the two seconds in which a leaving endpoint is to be seen.
constexpr milliseconds kGatherPause(100);
constexpr std::size_t kMaxLoggedFindings = 5;  // of one desired state

}  // namespace

deployment_directory::deployment_directory(kernel& services, const direct_settings& settings, table_client table)
    : kernel_(services), settings_(settings), table_(std::move(table)) {}

void deployment_directory::Start() {
  auto& context = kernel_.Context();
  asio::co_spawn(context, FollowTable(platform::kDesiredStateTable, kDesiredState), asio::detached);
  asio::co_spawn(context, FollowTable(platform::kEndpointTable, kEndpoints), asio::detached);
  lapse_timer_ = kernel_.Timers().SubscribeEvery(kLapseCheck, 0, [this] {
    if (registry_.ExpireLapsed(timer_service::Now())) {
      Events().Line(kPart, "lapsed_endpoints_dropped").Add("endpoints", registry_.Size());
      NotifyListeners();
    }
  });
}

void deployment_directory::Stop() {
  stopped_ = true;
  lapse_timer_.Cancel();
}

task<> deployment_directory::FollowTable(std::string table, feed_index index) {
  feed_state& feed = feeds_[index];
  bool must_read = true;
  while (!stopped_) {
    const bool was_snapshot = must_read;
    std::vector<table_row> rows;
    std::optional<error> failure;
    if (must_read) {
      auto snapshot = co_await table_.ReadTable(table);
      if (snapshot) {
        rows = std::move(snapshot.value().rows);
        feed.version = snapshot.value().version;
        must_read = false;
      } else {
        failure = snapshot.error();
      }
    } else {
      auto changes = co_await table_.AwaitChanges(table, feed.version, settings_.feed_wait);
      if (!changes) {
        failure = changes.error();
      } else if (changes.value().is_history_lost) {
        Events().Line(kPart, "history_lost").Add("table", table).Add("version", feed.version);
        must_read = true;
        continue;
      } else {
        rows = std::move(changes.value().rows);
        feed.version = changes.value().version;
      }
    }
    if (stopped_) {
      co_return;
    }
    if (failure) {
      NoteFailure(table, feed, *failure);
      const auto pause = kRetryPause * (1 + RandomUnit());
      co_await kernel_.Timers().Sleep(std::chrono::duration_cast<microseconds>(pause));
      continue;
    }
    const bool after_outage = feed.is_away && timer_service::Now() - feed.away_since > kLapsingOutage;
    NoteAnswer(table, feed);
    if (after_outage) {
      registry_.NoteStoreBack(timer_service::Now());
    }
    if (!rows.empty() || was_snapshot) {
      ApplyRows(index, rows, was_snapshot, after_outage);
    }
    if (index == kEndpoints && !rows.empty() && !was_snapshot) {
      co_await kernel_.Timers().Sleep(kGatherPause);
    }
  }
}

void deployment_directory::NoteAnswer(const std::string& table, feed_state& feed) {
  feed.last_answer = timer_service::Now();
  if (feed.is_away) {
    const auto away = std::chrono::duration_cast<milliseconds>(timer_service::Now() - feed.away_since);
    Events().Line(kPart, "store_regained").Add("table", table).Add("away_ms", away.count());
    feed.is_away = false;
  }
}

void deployment_directory::NoteFailure(const std::string& table, feed_state& feed, const error& failure) {
  if (!feed.is_away) {
    feed.is_away = true;
    // A silent connection hides the beginning of an outage until the call times out.
    feed.away_since = feed.last_answer.value_or(timer_service::Now());
    Events().Line(kPart, "store_lost").Add("table", table).Add("reason", failure.message);
  }
}

void deployment_directory::ApplyRows(feed_index index, const std::vector<table_row>& rows, bool is_snapshot,
                                     bool after_outage) {
  if (index == kDesiredState) {
    for (const table_row& row : rows) {
      if (row.key == platform::kDesiredStateKey && row.version != 0) {
        ApplyDesiredState(row);
      }
    }
    return;
  }
  if (is_snapshot) {
    ApplyEndpoints(rows, after_outage);
  } else {
    for (const table_row& row : rows) {
      ApplyEndpointRow(row);
    }
  }
  NotifyListeners();
}

void deployment_directory::ApplyDesiredState(const table_row& row) {
  finding_list findings;
  auto parsed = platform::ParseDesiredState(row.value, findings);
  for (std::size_t i = 0; i < findings.size() && i < kMaxLoggedFindings; ++i) {
    Events().Line(kPart, "finding").Add("place", findings[i].place).Add("message", findings[i].message);
  }
  if (!parsed) {
    Events().Line(kPart, "desired_state_unreadable").Add("reason", parsed.error().message);
    return;
  }
  if (parsed.value().Revision() <= routes_->Revision()) {
    Events()
        .Line(kPart, "revision_ignored")
        .Add("revision", parsed.value().Revision())
        .Add("in_force", routes_->Revision());
    return;
  }
  routes_ = std::make_shared<const routing_table>(std::move(parsed.value()));
  desired_text_ = row.value;
  Events()
      .Line(kPart, "revision_in_force")
      .Add("revision", routes_->Revision())
      .Add("routes", routes_->RouteCount())
      .Add("services", routes_->Services().size())
      .Add("findings", findings.size());
  NotifyListeners();
}

void deployment_directory::ApplyEndpointRow(const table_row& row) {
  const time_point now = timer_service::Now();
  if (row.version == 0) {
    registry_.RemoveEntry(endpoint_name{row.key}, now);
    entry_texts_.erase(row.key);
    Events().Line(kPart, "endpoint_removed").Add("endpoint", row.key);
    return;
  }
  auto entry = platform::ParseEndpointEntry(row.key, row.value);
  if (!entry) {
    registry_.RemoveEntry(endpoint_name{row.key}, now);
    entry_texts_.erase(row.key);
    Events().Line(kPart, "endpoint_unreadable").Add("endpoint", row.key).Add("reason", entry.error().message);
    return;
  }
  registry_.PutEntry(entry.value());
  entry_texts_[row.key] = row.value;
  Events()
      .Line(kPart, "endpoint_entry")
      .Add("endpoint", row.key)
      .Add("address", entry.value().address)
      .Add("draining", entry.value().draining)
      .Add("started_ms", entry.value().started_ms)
      .Add("role", !entry.value().role                             ? "none"
                   : entry.value().role == endpoint_role::kPrefill ? "prefill"
                                                                   : "decode");
}

void deployment_directory::ApplyEndpoints(const std::vector<table_row>& rows, bool after_outage) {
  std::vector<endpoint_entry> entries;
  entry_texts_.clear();
  for (const table_row& row : rows) {
    auto entry = platform::ParseEndpointEntry(row.key, row.value);
    if (entry) {
      entry_texts_[row.key] = row.value;
      entries.push_back(std::move(entry.value()));
    } else {
      Events().Line(kPart, "endpoint_unreadable").Add("endpoint", row.key).Add("reason", entry.error().message);
    }
  }
  registry_.ReplaceAll(entries, after_outage, timer_service::Now());
  Events().Line(kPart, "endpoints_read").Add("endpoints", entries.size()).Add("after_outage", after_outage);
}

void deployment_directory::NotifyListeners() {
  for (const auto& listener : listeners_) {
    listener();
  }
}

std::string deployment_directory::ExportState() const {
  return json{{"desired_state", desired_text_}, {"endpoints", entry_texts_}}.dump(-1, ' ', false,
                                                                                  json::error_handler_t::replace);
}

result<void> deployment_directory::ImportState(const std::string& text) {
  const json body = json::parse(text, nullptr, false);
  const bool is_valid = body.is_object() && body.contains("desired_state") && body["desired_state"].is_string() &&
                        body.contains("endpoints") && body["endpoints"].is_object();
  if (!is_valid) {
    return error{error_code::kProtocol, "the state of another router cannot be read"};
  }
  ApplyDesiredState({platform::kDesiredStateTable, platform::kDesiredStateKey, body["desired_state"], 1});
  if (registry_.Size() == 0) {
    std::vector<table_row> rows;
    for (const auto& [name, entry] : body["endpoints"].items()) {
      if (entry.is_string()) {
        rows.push_back({platform::kEndpointTable, name, entry.get<std::string>(), 1});
      }
    }
    ApplyEndpoints(rows, false);
    NotifyListeners();
  }
  return outcome::success();
}

}  // namespace persimmon
