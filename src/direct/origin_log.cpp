#include "direct/origin_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <nlohmann/json.hpp>

#include "core/event_log.h"
#include "platform/json_text.h"

namespace persimmon {
namespace {

using json = nlohmann::json;

constexpr const char* kComponent = "router.origins";
constexpr const char* kOriginTable = "persimmon_origins";
constexpr std::size_t kMaxRowOrigins = 64;       // about 1.3 KB; a row is written anew with each batch
constexpr std::size_t kMaxRemovedRows = 50;      // in one transaction
constexpr std::size_t kMaxBatchOrigins = 2'000;  // in one row; about 40 KB of the 64 KB that a row may hold
constexpr milliseconds kAnswerLimit(300);        // for the answer of the change feed

std::string Hex(std::uint64_t value) { return fmt::format("{:016x}", value); }

std::optional<std::uint64_t> ParseHex(const json& value) {
  if (!value.is_string()) {
    return std::nullopt;
  }
  const auto& text = value.get_ref<const std::string&>();
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number, 16);
  return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

std::string MakeRow(const std::vector<stream_origin>& origins) {
  std::map<std::string, json> attempts;
  for (const stream_origin& origin : origins) {
    attempts[Hex(origin.version)].push_back(Hex(origin.attempt));
  }
  return json{{"schema", 1}, {"origins", attempts}}.dump();
}

// Entries that cannot be read name no origin; the others hold.
std::vector<stream_origin> ParseRow(const std::string& text, time_point expiry) {
  const json value = platform::ParseJson(text);
  std::vector<stream_origin> origins;
  if (!value.is_object() || !value.contains("origins") || !value["origins"].is_object()) {
    return origins;
  }
  for (const auto& [version_text, attempts] : value["origins"].items()) {
    const auto version = ParseHex(version_text);
    for (const json& item : version&& attempts.is_array() ? attempts : json::array()) {
      const auto attempt = ParseHex(item);
      if (attempt && origins.size() < kMaxBatchOrigins) {
        origins.push_back({*attempt, *version, expiry});
      }
    }
  }
  return origins;
}

time_point LastExpiry(const std::vector<stream_origin>& origins) {
  time_point last;
  for (const stream_origin& origin : origins) {
    last = std::max(last, origin.expiry);
  }
  return last;
}

}  // namespace

origin_log::origin_log(table_client table, std::string router, std::uint64_t incarnation)
    : table_(std::move(table)), router_(std::move(router)), incarnation_(incarnation) {}

bool origin_log::HasWork(time_point now) const {
  return !pending_.empty() ||
         std::any_of(own_rows_.begin(), own_rows_.end(), [now](const own_row& row) { return row.expiry <= now; }) ||
         (!open_row_.empty() && LastExpiry(open_row_) <= now);
}

task<result<void>> origin_log::Write() {
  const time_point now = timer_service::Now();
  const auto row_key = [this] { return fmt::format("{}/{}/{}", router_, Hex(incarnation_), row_number_); };
  const auto close_row = [&] {
    if (!open_row_.empty()) {
      own_rows_.push_back({row_key(), LastExpiry(open_row_)});
      open_row_.clear();
      ++row_number_;
    }
  };
  if (open_row_.size() >= kMaxRowOrigins || LastExpiry(open_row_) <= now) {
    close_row();
  }
  std::vector<stream_origin> batch = std::move(pending_);
  pending_.clear();
  if (batch.size() > kMaxBatchOrigins) {
    pending_.assign(batch.begin() + kMaxBatchOrigins, batch.end());
    batch.resize(kMaxBatchOrigins);
  }
  std::vector<table_write> writes;
  if (!batch.empty()) {
    if (open_row_.size() + batch.size() > kMaxBatchOrigins) {
      close_row();
    }
    open_row_.insert(open_row_.end(), batch.begin(), batch.end());
    table_write put;
    put.table = kOriginTable;
    put.key = row_key();
    put.value = MakeRow(open_row_);
    writes.push_back(std::move(put));
  }
  std::vector<std::string> removed;
  for (const own_row& row : own_rows_) {
    if (row.expiry <= now && removed.size() < kMaxRemovedRows) {
      table_write remove;
      remove.table = kOriginTable;
      remove.key = row.key;
      writes.push_back(std::move(remove));
      removed.push_back(row.key);
    }
  }
  if (writes.empty()) {
    co_return outcome::success();
  }
  auto written = co_await table_.Commit(std::move(writes));
  if (!written) {
    pending_.insert(pending_.begin(), batch.begin(), batch.end());
    close_row();
    co_return written.error();
  }
  std::erase_if(own_rows_, [&](const own_row& row) {
    return std::find(removed.begin(), removed.end(), row.key) != removed.end();
  });
  co_return outcome::success();
}

task<result<std::vector<table_row>>> origin_log::ReadChangedRows() {
  if (read_version_) {
    auto changes = co_await table_.AwaitChanges(kOriginTable, *read_version_, milliseconds(0), kAnswerLimit);
    if (!changes) {
      co_return changes.error();
    }
    if (!changes.value().is_history_lost && changes.value().era == read_era_) {
      read_version_ = changes.value().version;
      co_return std::move(changes.value().rows);
    }
  }
  auto snapshot = co_await table_.ReadTable(kOriginTable);
  if (!snapshot) {
    co_return snapshot.error();
  }
  read_version_ = snapshot.value().version;
  read_era_ = snapshot.value().era;
  co_return std::move(snapshot.value().rows);
}

task<result<std::vector<stream_origin>>> origin_log::Read(milliseconds lifetime) {
  const bool is_first = !read_version_;
  auto rows = co_await ReadChangedRows();
  if (!rows) {
    co_return rows.error();
  }
  const time_point expiry = timer_service::Now() + lifetime;
  const std::string own_prefix = router_ + "/";
  std::vector<stream_origin> origins;
  for (const table_row& row : rows.value()) {
    if (is_first && row.key.starts_with(own_prefix)) {
      own_rows_.push_back({row.key, expiry});
    }
    const auto parsed = ParseRow(row.value, expiry);
    origins.insert(origins.end(), parsed.begin(), parsed.end());
  }
  if (is_first || !origins.empty()) {
    Events()
        .Line(kComponent, "origins_read")
        .Add("rows", rows.value().size())
        .Add("origins", origins.size())
        .Add("store_version", *read_version_);
  }
  co_return origins;
}

task<result<void>> origin_log::RemoveOthers(std::vector<std::string> live) {
  auto snapshot = co_await table_.ReadTable(kOriginTable);
  if (!snapshot) {
    co_return snapshot.error();
  }
  std::vector<table_write> writes;
  for (const table_row& row : snapshot.value().rows) {
    const std::string router = row.key.substr(0, row.key.find('/'));
    if (std::find(live.begin(), live.end(), router) == live.end() && writes.size() < kMaxRemovedRows) {
      table_write remove;
      remove.table = kOriginTable;
      remove.key = row.key;
      writes.push_back(std::move(remove));
    }
  }
  if (!writes.empty()) {
    auto removed = co_await table_.Commit(std::move(writes));
    if (!removed) {
      co_return removed.error();
    }
  }
  co_return outcome::success();
}

}  // namespace persimmon
