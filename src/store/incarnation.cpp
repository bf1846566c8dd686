#include "store/incarnation.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/random.h"

namespace persimmon {
namespace {

using json = nlohmann::json;

struct counter_row {
  incarnation_number incarnation = 0;
  std::string token;  // identifies the call that wrote the row

  bool operator==(const counter_row&) const = default;
};

result<counter_row> ParseCounter(const std::optional<table_row>& row) {
  if (!row) {
    return counter_row();
  }
  const json value = json::parse(row->value, nullptr, false);
  const bool is_valid = value.is_object() && value.contains("incarnation") &&
                        value["incarnation"].is_number_unsigned() && value.contains("token") &&
                        value["token"].is_string();
  if (!is_valid) {
    return error{error_code::kProtocol, fmt::format("row {}/{} is not an incarnation counter", row->table, row->key)};
  }
  return counter_row{value["incarnation"].get<incarnation_number>(), value["token"].get<std::string>()};
}

table_write MakeWrite(const std::string& name, const std::optional<table_row>& row, const counter_row& next) {
  table_write write;
  write.table = kIncarnationTable;
  write.key = name;
  write.value = json{{"incarnation", next.incarnation}, {"token", next.token}}.dump();
  write.condition = row ? row_condition::kVersion : row_condition::kAbsent;
  write.version = row ? row->version : 0;
  return write;
}

}  // namespace

task<result<incarnation_number>> AllocateIncarnation(timer_service& timers, table_client table, std::string name,
                                                     incarnation_settings settings) {
  // The token is the same for all attempts, so that an earlier write whose reply was lost is recognized.
  const std::string token = RandomHex(32);
  const std::string table_name = kIncarnationTable;
  error failure{error_code::kConflict,
                fmt::format("the counter of {} was changed by another process at every attempt", name)};
  for (int i = 0; i < settings.attempts; ++i) {
    auto row = co_await table.ReadRow(table_name, name);
    if (!row) {
      failure = row.error();
      co_await timers.Sleep(settings.retry_delay);
      continue;
    }
    const auto counter = ParseCounter(row.value());
    if (!counter) {
      co_return counter.error();
    }
    if (counter.value().token == token) {
      co_return counter.value().incarnation;
    }
    // A counter from an older copy of the store may be behind numbers that were given out after the copy.
    const incarnation_number next_number = std::max(counter.value().incarnation, FirstNumberOfEra(table.Era())) + 1;
    const counter_row next{next_number, token};
    std::vector<table_write> writes;
    writes.push_back(MakeWrite(name, row.value(), next));
    auto committed = co_await table.Commit(std::move(writes));
    if (committed && committed.value().committed) {
      co_return next.incarnation;
    }
    if (!committed) {
      failure = committed.error();
      co_await timers.Sleep(settings.retry_delay);
    }
  }
  co_return failure;
}

}  // namespace persimmon
