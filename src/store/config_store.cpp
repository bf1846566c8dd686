// Sections
//   1. rows of the table
//   2. applying a revision
//   3. polling the store
//   4. snapshots of peers
//   5. service
#include "store/config_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "core/log.h"

namespace persimmon {
namespace {

constexpr double kPollJitter = 0.25;         // of the period
constexpr std::size_t kLoggedFindings = 20;  // further ones are only counted

const logger& Log() {
  static const logger log("platform.config");
  return log;
}

// ---------------------------------------------------------------------------------------------------------------------
// 1. rows of the table
// ---------------------------------------------------------------------------------------------------------------------

struct stored_configuration {
  revision_number revision = 0;
  std::vector<std::string> texts;

  bool operator==(const stored_configuration&) const = default;
};

result<stored_configuration> ReadConfigRows(const std::vector<table_row>& rows) {
  stored_configuration stored;
  for (const table_row& row : rows) {
    if (row.key == kHeadKey) {
      auto revision = ReadHeadRevision(row.value);
      if (!revision) {
        return revision.error();
      }
      stored.revision = revision.value();
    } else {
      stored.texts.push_back(row.value);
    }
  }
  return stored;
}

std::map<std::string, std::string> TextsByKey(const std::vector<std::string>& texts) {
  std::map<std::string, std::string> by_key;
  for (const std::string& text : texts) {
    auto key = RecordKey(text);
    if (key) {
      by_key[key.value()] = text;
    }
  }
  return by_key;
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. applying a revision
// ---------------------------------------------------------------------------------------------------------------------

// Replaces the rejected records by their text in force, if there is one.
std::vector<std::string> RestoreTextsInForce(const std::vector<std::string>& texts,
                                             const std::set<std::string>& rejected,
                                             const std::map<std::string, std::string>& in_force) {
  std::vector<std::string> restored;
  for (const std::string& text : texts) {
    const auto key = RecordKey(text);
    const bool is_rejected = key && rejected.count(key.value()) != 0;
    const auto fallback = is_rejected ? in_force.find(key.value()) : in_force.end();
    restored.push_back(fallback == in_force.end() ? text : fallback->second);
  }
  return restored;
}

std::set<std::string> FindUnparsable(const std::vector<std::string>& texts) {
  std::set<std::string> keys;
  for (const std::string& text : texts) {
    finding_list ignored;  // findings are reported by BuildConfiguration
    const auto key = RecordKey(text);
    if (key && !ParseRecord(text, ignored)) {
      keys.insert(key.value());
    }
  }
  return keys;
}

std::set<std::string> FindRejected(const std::vector<std::string>& texts, const configuration& built) {
  const auto accepted = TextsByKey(built.texts);
  std::set<std::string> keys;
  for (const auto& [key, text] : TextsByKey(texts)) {
    if (accepted.count(key) == 0) {
      keys.insert(key);
    }
  }
  return keys;
}

void LogFindings(revision_number revision, const finding_list& findings) {
  for (std::size_t i = 0; i < std::min(findings.size(), kLoggedFindings); ++i) {
    Log().Warning("Revision {}: {}: {}.", revision, findings[i].place, findings[i].message);
  }
  if (findings.size() > kLoggedFindings) {
    Log().Warning("Revision {} has {} more findings.", revision, findings.size() - kLoggedFindings);
  }
}

// Builds a configuration. A record with findings falls back to its text in force, so that an invalid write does not
// disable a pool or an account. Records that cannot be parsed fall back first. The other records are then checked
// again, so that a valid record that refers to one of them keeps its new text, and only those still rejected fall back
// too.
configuration BuildWithFallback(revision_number revision, const std::vector<std::string>& texts,
                                const configuration& in_force) {
  finding_list findings;
  configuration built = BuildConfiguration(revision, texts, findings);
  if (findings.empty()) {
    return built;
  }
  LogFindings(revision, findings);
  const auto fallback = TextsByKey(in_force.texts);
  finding_list ignored;
  const auto parsable = RestoreTextsInForce(texts, FindUnparsable(texts), fallback);
  built = BuildConfiguration(revision, parsable, ignored);
  const auto restored = RestoreTextsInForce(parsable, FindRejected(parsable, built), fallback);
  return BuildConfiguration(revision, restored, ignored);
}

struct peer_snapshot {
  config_snapshot snapshot;
  std::string zone;

  bool operator==(const peer_snapshot&) const = default;
};

}  // namespace

result<revision_number> ReadHeadRevision(const std::string& value) {
  const auto head = nlohmann::json::parse(value, nullptr, false);
  if (!head.is_object() || !head.contains("revision") || !head["revision"].is_number_unsigned()) {
    return error{error_code::kProtocol, "row 'head' has no revision"};
  }
  return head["revision"].get<revision_number>();
}

struct config_store::state : std::enable_shared_from_this<config_store::state> {
  state(timer_service& timers, asio::io_context& context, table_client table, config_store_settings settings)
      : timers(timers), context(context), table(std::move(table)), settings(settings) {}

  timer_service& timers;
  asio::io_context& context;
  table_client table;
  config_store_settings settings;
  std::shared_ptr<const configuration> current = std::make_shared<const configuration>();
  std::vector<listener> listeners;
  std::map<std::string, peer_snapshot> peer_snapshots;  // by peer name; used until a configuration is in force
  timer_subscription poll_timer;
  timer_subscription snapshot_timer;
  bool running = false;
  bool poll_in_progress = false;
  bool store_unavailable = false;             // the last poll failed
  revision_number logged_lower_revision = 0;  // lower revision of the store that was already logged
  enum class snapshot_wait : std::uint8_t { kNone, kSingleZone, kSeveralZones } current_wait = snapshot_wait::kNone;

  bool IsInForce() const { return current->revision != 0; }

  void Apply(revision_number revision, const std::vector<std::string>& texts) {
    if (revision <= current->revision) {
      return;
    }
    current = std::make_shared<const configuration>(BuildWithFallback(revision, texts, *current));
    peer_snapshots.clear();
    snapshot_timer.Cancel();
    Log().Info("Revision {} with {} records is in force.", revision, current->texts.size());
    const auto all = listeners;
    for (const listener& on_change : all) {
      on_change(current);
    }
  }

  // -------------------------------------------------------------------------------------------------------------------
  // 3. polling the store
  // -------------------------------------------------------------------------------------------------------------------

  void PollNow() {
    const bool should_poll = settings.poll_store || !IsInForce();
    if (running && should_poll && !poll_in_progress) {
      asio::co_spawn(context, Poll(), asio::detached);
    }
  }

  task<> Poll() {
    const auto self = shared_from_this();
    poll_in_progress = true;
    const auto read = co_await ReadStore();
    poll_in_progress = false;
    if (!running) {
      co_return;
    }
    LogReadResult(read);
    UpdateSnapshotWait();
  }

  // Reads the head row, and all rows if its revision is higher than the one in force.
  task<result<void>> ReadStore() {
    std::string name = kConfigTable;
    std::string head_key = kHeadKey;
    auto head = co_await table.ReadRow(name, head_key);
    if (!head) {
      co_return head.error();
    }
    if (!head.value()) {
      co_return outcome::success();  // the table is still empty
    }
    const auto revision = ReadHeadRevision(head.value()->value);
    if (!revision) {
      co_return revision.error();
    }
    WarnOfLowerRevision(revision.value());
    if (revision.value() <= current->revision) {
      co_return outcome::success();
    }
    std::string prefix;
    auto rows = co_await table.ReadRows(name, prefix);
    if (!rows) {
      co_return rows.error();
    }
    const auto stored = ReadConfigRows(rows.value());
    if (!stored) {
      co_return stored.error();
    }
    if (running) {
      Apply(stored.value().revision, stored.value().texts);
    }
    co_return outcome::success();
  }

  // Warns once for each lower revision of the store.
  void WarnOfLowerRevision(revision_number head) {
    if (head < current->revision && head != logged_lower_revision) {
      Log().Warning("Ignored revision {} of the store: it is lower than revision {} in force.", head,
                    current->revision);
    }
    logged_lower_revision = head < current->revision ? head : 0;
  }

  // Logs only the start and the end of an outage, so that a long one does not fill the log.
  void LogReadResult(const result<void>& read) {
    if (!read && !store_unavailable) {
      Log().Warning("Cannot read the store: {}. Revision {} stays in force.", read.error().message, current->revision);
    } else if (read && store_unavailable) {
      Log().Info("The store is available again.");
    }
    store_unavailable = !read;
  }

  // -------------------------------------------------------------------------------------------------------------------
  // 4. snapshots of peers
  // -------------------------------------------------------------------------------------------------------------------

  void OfferSnapshot(const std::string& peer, const config_snapshot& snapshot, const std::string& zone) {
    if (snapshot.revision <= current->revision) {
      return;
    }
    if (IsInForce()) {
      Apply(snapshot.revision, snapshot.records);
      return;
    }
    peer_snapshot& entry = peer_snapshots[peer];
    if (snapshot.revision > entry.snapshot.revision) {
      entry = {snapshot, zone};
    }
    UpdateSnapshotWait();
  }

  bool HasSeveralZones() const {
    std::set<std::string> zones;
    for (const auto& [peer, entry] : peer_snapshots) {
      zones.insert(entry.zone);
    }
    return zones.size() > 1;
  }

  // Starts, restarts or cancels the wait before the highest snapshot is applied. While the store is available,
  // snapshots of peers are not used: peers may lag behind a revision that this process had applied before a restart.
  void UpdateSnapshotWait() {
    if (IsInForce() || !store_unavailable || peer_snapshots.size() < std::max<std::size_t>(settings.peers_needed, 1)) {
      current_wait = snapshot_wait::kNone;
      snapshot_timer.Cancel();
      return;
    }
    const snapshot_wait required_wait = HasSeveralZones() ? snapshot_wait::kSeveralZones : snapshot_wait::kSingleZone;
    if (current_wait >= required_wait) {
      return;  // a further snapshot does not prolong the wait
    }
    current_wait = required_wait;
    const milliseconds delay =
        required_wait == snapshot_wait::kSeveralZones ? settings.peer_wait : settings.single_zone_wait;
    snapshot_timer = timers.SubscribeOnce(delay, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->ApplyHighestSnapshot();
      }
    });
  }

  void ApplyHighestSnapshot() {
    current_wait = snapshot_wait::kNone;
    if (!running || IsInForce() || !store_unavailable || peer_snapshots.empty()) {
      return;
    }
    const auto highest =
        std::max_element(peer_snapshots.begin(), peer_snapshots.end(), [](const auto& left, const auto& right) {
          return left.second.snapshot.revision < right.second.snapshot.revision;
        });
    Log().Info("The store is unavailable; applying revision {} of peer {}, the highest of {} snapshots.",
               highest->second.snapshot.revision, highest->first, peer_snapshots.size());
    const config_snapshot chosen = highest->second.snapshot;
    Apply(chosen.revision, chosen.records);
  }
};

// ---------------------------------------------------------------------------------------------------------------------
// 5. service
// ---------------------------------------------------------------------------------------------------------------------

config_store::config_store(timer_service& timers, asio::io_context& context, table_client& table,
                           config_store_settings settings)
    : state_(std::make_shared<state>(timers, context, table, settings)) {}

void config_store::Start() {
  state_->running = true;
  state_->poll_timer =
      state_->timers.SubscribeEvery(state_->settings.poll_period, kPollJitter, [weak = std::weak_ptr(state_)] {
        if (const auto self = weak.lock()) {
          self->PollNow();
        }
      });
  state_->PollNow();
}

void config_store::Stop() {
  state_->running = false;
  state_->poll_timer.Cancel();
  state_->snapshot_timer.Cancel();
}

std::shared_ptr<const configuration> config_store::Current() const { return state_->current; }

revision_number config_store::Revision() const { return state_->current->revision; }

bool config_store::IsInForce() const { return state_->IsInForce(); }

void config_store::Subscribe(const listener& on_change) {
  state_->listeners.push_back(on_change);
  if (state_->IsInForce()) {
    on_change(state_->current);
  }
}

config_snapshot config_store::MakeSnapshot(revision_number have) const {
  config_snapshot snapshot;
  snapshot.revision = state_->current->revision;
  if (have < snapshot.revision) {
    snapshot.records = state_->current->texts;
  }
  return snapshot;
}

void config_store::OfferSnapshot(const std::string& peer, const config_snapshot& snapshot, const std::string& zone) {
  state_->OfferSnapshot(peer, snapshot, zone);
}

void config_store::SetPolling(bool enabled) {
  const bool was_enabled = std::exchange(state_->settings.poll_store, enabled);
  if (enabled && !was_enabled) {
    state_->PollNow();
  }
}

void config_store::SetPeersNeeded(std::size_t count) {
  state_->settings.peers_needed = count;
  state_->UpdateSnapshotWait();
}

}  // namespace persimmon
