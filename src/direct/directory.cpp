#include "direct/directory.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "core/event_log.h"
#include "core/random.h"
#include "platform/json_text.h"
#include "platform/records.h"

namespace persimmon {
namespace {

using json = nlohmann::json;

constexpr const char* kComponent = "router.directory";
constexpr milliseconds kRetryDelay(200);  // after a failed call, plus a random time of up to the same length
// The store removes an entry after three report intervals without a report. The last report may be one interval older
// than the outage, so no entry expires in an outage that is shorter than two.
constexpr int kMinExpiryIntervals = 2;
// The store removes the restored entry of an endpoint that no longer exists after three intervals; one is in reserve.
constexpr int kEntryCheckIntervals = 4;
constexpr milliseconds kExpiryCheckPeriod(200);
// Delay after endpoint changes, so that further changes are read in one batch. Many endpoints start or stop together,
// and the platform counts calls. The delay is short compared with the two seconds within which a stopping
// endpoint must be noticed.
constexpr milliseconds kBatchDelay(100);
constexpr std::size_t kMaxLoggedFindings = 5;  // per desired state

}  // namespace

deployment_directory::deployment_directory(kernel& services, const direct_settings& settings, table_client table)
    : kernel_(services),
      settings_(settings),
      table_(std::move(table)),
      registry_(registry_settings{.restored_entry_check = kEntryCheckIntervals * settings.deployment.report_interval}) {
}

void deployment_directory::Start() {
  auto& context = kernel_.Context();
  asio::co_spawn(context, FollowTable(platform::kDesiredStateTable, kDesiredState), asio::detached);
  asio::co_spawn(context, FollowTable(platform::kEndpointTable, kEndpoints), asio::detached);
  expiry_timer_ = kernel_.Timers().SubscribeEvery(kExpiryCheckPeriod, 0, [this] {
    if (registry_.RemoveExpiredEntries(timer_service::Now())) {
      Events().Line(kComponent, "lapsed_endpoints_dropped").Add("endpoints", registry_.Size());
      NotifyListeners();
    }
  });
}

void deployment_directory::Stop() {
  stopped_ = true;
  expiry_timer_.Cancel();
}

feed_limits deployment_directory::Limits(feed_index index) const {
  const auto& deployment = settings_.deployment;
  milliseconds blind_limit = deployment.contact_time;
  if (index == kEndpoints) {
    blind_limit = std::min(blind_limit, deployment.drain_time);
  } else if (deployment.strict_revoke && routes_->Accounts()) {
    // An answered poll confirms the desired state as of its start, two polls before the next answer. With polls of a
    // quarter of revoke_time, half of it remains for delays.
    blind_limit = std::min(blind_limit, deployment.revoke_time / 2);
  }
  return LimitFeed(settings_, blind_limit);
}

task<> deployment_directory::FollowTable(std::string table, feed_index index) {
  const auto& deployment = settings_.deployment;
  feed_state& feed = feeds_[index];
  bool needs_snapshot = true;
  while (!stopped_) {
    const bool was_snapshot = needs_snapshot;
    bool is_restored = false;
    std::vector<table_row> rows;
    std::optional<error> failure;
    const time_point begin = timer_service::Now();
    if (needs_snapshot) {
      auto snapshot = co_await table_.ReadTable(table);
      if (snapshot) {
        rows = std::move(snapshot.value().rows);
        is_restored = feed.last_success && snapshot.value().era > feed.era;
        feed.version = snapshot.value().version;
        feed.era = snapshot.value().era;
        needs_snapshot = false;
      } else {
        failure = snapshot.error();
      }
    } else {
      const feed_limits limits = Limits(index);
      // After a failure, the first call does not wait for changes, so that the return of the store is noticed at once.
      const milliseconds wait = feed.is_unreachable ? milliseconds(0) : limits.wait;
      const milliseconds answer_limit = feed.is_unreachable ? settings_.store_timeout : limits.answer_limit;
      auto changes = co_await table_.AwaitChanges(table, feed.version, wait, answer_limit);
      if (!changes) {
        failure = changes.error();
      } else if (changes.value().is_history_lost || changes.value().era != feed.era) {
        // Versions of another era cannot be compared with the one that this feed continues from.
        Events()
            .Line(kComponent, changes.value().era != feed.era ? "store_restored" : "history_lost")
            .Add("table", table)
            .Add("version", feed.version)
            .Add("era", changes.value().era);
        needs_snapshot = true;
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
      const bool is_first = !feed.is_unreachable;
      RecordFailure(table, feed, *failure);
      if (is_first && failure->code == error_code::kTimeout) {
        continue;  // a new connection may work, and the time limit of the silent one has been used up
      }
      const auto delay = kRetryDelay * (1 + RandomUnit());
      co_await kernel_.Timers().Sleep(std::chrono::duration_cast<microseconds>(delay));
      continue;
    }
    const bool after_outage = feed.is_unreachable && timer_service::Now() - feed.unreachable_since >
                                                         kMinExpiryIntervals * deployment.report_interval;
    RecordSuccess(table, feed);
    feed.confirmed_at = begin;
    if (after_outage && index == kEndpoints) {
      registry_.RecordStoreRecovery(timer_service::Now());
    }
    if (!rows.empty() || was_snapshot) {
      ApplyRows(index, rows,
                is_restored                    ? row_origin::kRestoredSnapshot
                : was_snapshot && after_outage ? row_origin::kSnapshotAfterOutage
                : was_snapshot                 ? row_origin::kSnapshot
                                               : row_origin::kChanges);
    }
    if (index == kEndpoints && !rows.empty() && !was_snapshot) {
      co_await kernel_.Timers().Sleep(kBatchDelay);
    }
  }
}

void deployment_directory::RecordSuccess(const std::string& table, feed_state& feed) {
  const time_point now = timer_service::Now();
  feed.last_success = now;
  if (feed.is_unreachable) {
    Events()
        .Line(kComponent, "store_regained")
        .Add("table", table)
        .Add("away_ms", ElapsedMs(feed.unreachable_since, now));
    feed.is_unreachable = false;
  }
}

void deployment_directory::RecordFailure(const std::string& table, feed_state& feed, const error& failure) {
  if (!feed.is_unreachable) {
    feed.is_unreachable = true;
    // On a silent connection the call times out long after the outage began, so the last success is the start.
    feed.unreachable_since = feed.last_success.value_or(timer_service::Now());
    Events()
        .Line(kComponent, "store_lost")
        .Add("table", table)
        .Add("silent_ms", ElapsedMs(feed.unreachable_since, timer_service::Now()))
        .Add("reason", failure.message);
  }
}

void deployment_directory::ApplyRows(feed_index index, const std::vector<table_row>& rows, row_origin origin) {
  if (index == kDesiredState) {
    for (const table_row& row : rows) {
      if (row.key == platform::kDesiredStateKey && row.version != 0) {
        ApplyDesiredState(row);
      }
    }
    return;
  }
  if (origin == row_origin::kChanges) {
    for (const table_row& row : rows) {
      ApplyEndpointRow(row);
    }
  } else {
    ApplyEndpoints(rows, origin);
  }
  NotifyListeners();
}

void deployment_directory::ApplyDesiredState(const table_row& row) {
  finding_list findings;
  platform::state_exporter exporter;
  auto parsed = platform::ParseDesiredState(row.value, findings, &exporter);
  for (std::size_t i = 0; i < findings.size() && i < kMaxLoggedFindings; ++i) {
    Events().Line(kComponent, "finding").Add("place", findings[i].place).Add("message", findings[i].message);
  }
  if (!parsed) {
    Events().Line(kComponent, "desired_state_unreadable").Add("reason", parsed.error().message);
    return;
  }
  if (parsed.value().Revision() <= routes_->Revision()) {
    Events()
        .Line(kComponent, "revision_ignored")
        .Add("revision", parsed.value().Revision())
        .Add("in_force", routes_->Revision());
    return;
  }
  routes_ = std::make_shared<const routing_table>(std::move(parsed.value()));
  exporter_ = std::move(exporter);
  // With thousands of routes and a small share of a processor, parsing and exporting take 100 ms each. Streams may
  // pause for one of them, but not for both.
  asio::post(kernel_.Context(), [this] { MakeExport(); });
  Events()
      .Line(kComponent, "revision_in_force")
      .Add("revision", routes_->Revision())
      .Add("routes", routes_->RouteCount())
      .Add("services", routes_->Services().size())
      .Add("findings", findings.size());
  NotifyListeners();
}

void deployment_directory::ApplyEndpointRow(const table_row& row) {
  const time_point now = timer_service::Now();
  if (row.version == 0) {
    const auto used_until = registry_.RemoveEntry(endpoint_name{row.key}, now);
    endpoint_texts_.erase(row.key);
    Events()
        .Line(kComponent, "endpoint_removed")
        .Add("endpoint", row.key)
        .Add("still_used_ms", used_until ? ElapsedMs(now, *used_until) : 0);
    return;
  }
  auto entry = platform::ParseEndpointEntry(row.key, row.value);
  if (!entry) {
    registry_.RemoveEntry(endpoint_name{row.key}, now);
    endpoint_texts_.erase(row.key);
    Events().Line(kComponent, "endpoint_unreadable").Add("endpoint", row.key).Add("reason", entry.error().message);
    return;
  }
  registry_.PutEntry(entry.value());
  endpoint_texts_[row.key] = row.value;
  Events()
      .Line(kComponent, "endpoint_entry")
      .Add("endpoint", row.key)
      .Add("address", entry.value().address)
      .Add("draining", entry.value().draining)
      .Add("started_ms", entry.value().started_ms)
      .Add("version", entry.value().version)
      .Add("role", !entry.value().role                             ? "none"
                   : entry.value().role == endpoint_role::kPrefill ? "prefill"
                                                                   : "decode");
}

void deployment_directory::ApplyEndpoints(const std::vector<table_row>& rows, row_origin origin) {
  std::vector<endpoint_entry> entries;
  endpoint_texts_.clear();
  for (const table_row& row : rows) {
    auto entry = platform::ParseEndpointEntry(row.key, row.value);
    if (entry) {
      endpoint_texts_[row.key] = row.value;
      entries.push_back(std::move(entry.value()));
    } else {
      Events().Line(kComponent, "endpoint_unreadable").Add("endpoint", row.key).Add("reason", entry.error().message);
    }
  }
  const time_point now = timer_service::Now();
  const bool is_restored = origin == row_origin::kRestoredSnapshot;
  const bool after_outage = origin == row_origin::kSnapshotAfterOutage;
  if (is_restored) {
    registry_.ReplaceAllRestored(entries, now);
  } else {
    registry_.ReplaceAll(entries, after_outage, now);
  }
  Events()
      .Line(kComponent, "endpoints_read")
      .Add("endpoints", entries.size())
      .Add("after_outage", after_outage)
      .Add("restored", is_restored);
}

bool deployment_directory::FollowsDesiredState() const {
  const feed_state& feed = feeds_[kDesiredState];
  // Two polls with their answers may take this long.
  const auto max_age = 1.5 * settings_.deployment.contact_time;
  return feed.confirmed_at && !feed.is_unreachable && timer_service::Now() - *feed.confirmed_at <= max_age;
}

void deployment_directory::RecordLeaving(const endpoint_name& endpoint, std::uint64_t started_ms) {
  if (registry_.RecordLeaving(endpoint, started_ms, timer_service::Now())) {
    Events().Line(kComponent, "endpoint_leaving").Add("endpoint", endpoint.value).Add("started_ms", started_ms);
    NotifyListeners();
  }
}

void deployment_directory::NotifyListeners() {
  for (const auto& listener : listeners_) {
    listener();
  }
}

void deployment_directory::MakeExport() {
  if (exporter_) {
    desired_text_ = std::exchange(exporter_, nullptr)();
  }
}

std::string deployment_directory::ExportState() {
  MakeExport();
  return json{{"desired_state", desired_text_}, {"endpoints", endpoint_texts_}}.dump(-1, ' ', false,
                                                                                     json::error_handler_t::replace);
}

result<void> deployment_directory::ImportState(const std::string& text) {
  const json body = platform::ParseJson(text);
  const bool is_valid = body.is_object() && body.contains("desired_state") && body["desired_state"].is_string() &&
                        body.contains("endpoints") && body["endpoints"].is_object();
  if (!is_valid) {
    return error{error_code::kProtocol,
                 "the exported state of the other router is not a JSON object with 'desired_state' and 'endpoints'"};
  }
  ApplyDesiredState({platform::kDesiredStateTable, platform::kDesiredStateKey, body["desired_state"], 1});
  if (registry_.Size() == 0) {
    std::vector<table_row> rows;
    for (const auto& [name, entry] : body["endpoints"].items()) {
      if (entry.is_string()) {
        rows.push_back({platform::kEndpointTable, name, entry.get<std::string>(), 1});
      }
    }
    ApplyEndpoints(rows, row_origin::kSnapshot);
    NotifyListeners();
  }
  return outcome::success();
}

}  // namespace persimmon
