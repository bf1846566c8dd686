#include "agent/identity.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "core/random.h"

namespace persimmon {
namespace {

// Attempts to advance the counter row in one check. After that the check is inconclusive (kUnknown).
constexpr int kMaxAdvanceAttempts = 4;

}  // namespace

task<result<incarnation_counter::counter_row>> incarnation_counter::ReadCounter() {
  std::string table = kIncarnationTable;
  std::string key = key_;
  auto row = co_await table_.ReadRow(std::move(table), std::move(key));
  if (!row) {
    co_return row.error();
  }
  counter_row counter;
  if (row.value()) {
    const auto value = nlohmann::json::parse(row.value()->value, nullptr, false);
    if (!value.is_object() || !value.contains("incarnation") || !value["incarnation"].is_number_unsigned()) {
      co_return error{error_code::kProtocol, "the incarnation row of " + key_ + " cannot be parsed"};
    }
    counter.value = value["incarnation"].get<incarnation_number>();
    counter.version = row.value()->version;
  }
  co_return counter;
}

task<result<bool>> incarnation_counter::WriteCounter(counter_row observed, incarnation_number value) {
  table_write write;
  write.table = kIncarnationTable;
  write.key = key_;
  write.value = nlohmann::json{{"incarnation", value}, {"token", RandomHex(32)}}.dump();
  write.condition = observed.version == 0 ? row_condition::kAbsent : row_condition::kVersion;
  write.version = observed.version;
  std::vector<table_write> writes;
  writes.push_back(std::move(write));
  auto written = co_await table_.Commit(std::move(writes));
  if (!written) {
    co_return written.error();
  }
  co_return written.value().committed;
}

task<result<incarnation_number>> incarnation_counter::Allocate() {
  incarnation_settings settings;
  std::string key = key_;
  table_client table = table_;
  co_return co_await AllocateIncarnation(timers_, std::move(table), std::move(key), settings);
}

task<incarnation_check> incarnation_counter::Check(incarnation_number own, bool advance) {
  for (int attempt = 0; attempt < kMaxAdvanceAttempts; ++attempt) {
    auto observed = co_await ReadCounter();
    if (!observed) {
      co_return incarnation_check::kUnknown;
    }
    if (observed.value().value > own) {
      co_return incarnation_check::kSuperseded;
    }
    if (observed.value().value == own || !advance) {
      co_return incarnation_check::kCurrent;
    }
    const counter_row row = observed.value();
    // The next round reads the row again, which also resolves a lost reply.
    (void)co_await WriteCounter(row, own);
  }
  co_return incarnation_check::kUnknown;
}

incarnation_number MakeProvisionalIncarnation(std::optional<incarnation_number> engine_highest) {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto clock = std::chrono::duration_cast<microseconds>(since_epoch).count();
  return std::max(static_cast<incarnation_number>(clock), engine_highest.value_or(0) + 1);
}

}  // namespace persimmon
