// Sections
//   1. rows
//   2. one operation against the current row
//   3. batches in the table service
//   4. batching and forwarding
//   5. retention
//   6. store
#include "store/claim_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "core/log.h"
#include "core/mailbox.h"

namespace persimmon {
namespace {

using json = nlohmann::json;

// A version that no row ever has. A write with this condition always fails, and the failure reports the current row, so
// one transaction of such writes reads the rows of a whole batch.
constexpr std::uint64_t kNeverMatchingVersion = std::numeric_limits<std::uint64_t>::max();

// A batch is retried without the operations whose condition failed. Other routers may change rows between two rounds.
constexpr int kMaxCommitRounds = 5;

const logger& Log() {
  static const logger log("platform.claims");
  return log;
}

std::int64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. rows
// ---------------------------------------------------------------------------------------------------------------------

std::uint32_t ClaimShard(const idempotency_key& key) {
  // FNV-1a. The hash must never change, because existing rows are found by their shard.
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325ULL;
  constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  std::uint64_t hash = kOffset;
  for (const char byte : key.value) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
  }
  return static_cast<std::uint32_t>((hash ^ (hash >> 32U)) % kClaimShards);
}

std::string ClaimRowKey(const idempotency_key& key) {
  // Keys come from callers and may hold bytes that JSON cannot represent. Escaping keeps different keys distinct.
  return fmt::format("{:04x}/{}", ClaimShard(key), EncodePercent(key.value));
}

std::string FormatClaimRow(const claim_row& row, std::int64_t created_ms) {
  const json text = {{"attempt", row.attempt.value},
                     {"endpoint", row.endpoint.value},
                     {"incarnation", row.incarnation},
                     {"phase", row.phase == claim_phase::kDone ? "done" : "claimed"},
                     {"created_ms", created_ms}};
  return text.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<stored_claim> ParseClaimRow(const std::string& text) {
  const json value = json::parse(text, nullptr, false);
  const auto has_text = [&value](const char* name) { return value.contains(name) && value[name].is_string(); };
  const bool is_claim = value.is_object() && has_text("attempt") && has_text("endpoint") && has_text("phase") &&
                        value.contains("incarnation") && value["incarnation"].is_number_unsigned() &&
                        value.contains("created_ms") && value["created_ms"].is_number_integer();
  if (!is_claim || (value["phase"] != "done" && value["phase"] != "claimed")) {
    return error{error_code::kProtocol, "the row is not a claim"};
  }
  stored_claim claim;
  claim.row.attempt.value = value["attempt"].get<std::string>();
  claim.row.endpoint.value = value["endpoint"].get<std::string>();
  claim.row.incarnation = value["incarnation"].get<incarnation_number>();
  claim.row.phase = value["phase"] == "done" ? claim_phase::kDone : claim_phase::kClaimed;
  claim.created_ms = value["created_ms"].get<std::int64_t>();
  return claim;
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. one operation against the current row
// ---------------------------------------------------------------------------------------------------------------------

namespace {

struct pending_operation {
  claim_operation operation;
  std::function<void(const claim_result&)> done;
  std::optional<std::uint64_t> version;  // row version that the conditional write expects
};

using operation_list = std::vector<pending_operation>;

// State of a row as reported by a lookup or a conflict; version 0: the row is absent.
struct known_row {
  std::uint64_t version = 0;
  std::optional<claim_row> row;  // empty: the row is absent, or cannot be parsed if the version is not 0
};

using known_rows = std::map<std::string, known_row>;

known_rows ReadKnownRows(const std::vector<table_row>& rows) {
  known_rows known;
  for (const table_row& row : rows) {
    known_row item;
    item.version = row.version;
    if (row.version != 0) {
      auto claim = ParseClaimRow(row.value);
      if (claim) {
        item.row = claim.value().row;
      } else {
        Log().Error("Row {} of table {} is not a claim.", row.key, kClaimTable);
      }
    }
    known[row.key] = std::move(item);
  }
  return known;
}

// Sets the key of the row, which the stored text does not contain.
void SetKey(known_row& known, const idempotency_key& key) {
  if (known.row) {
    known.row->key = key;
  }
}

// Returns the result of the operation if the current row already determines it. Returns nothing if a write is needed;
// the write is then conditional on the row's version.
std::optional<claim_result> ResolveFromRow(pending_operation& item, known_row known) {
  const claim_operation& operation = item.operation;
  SetKey(known, operation.row.key);
  const bool is_absent = known.version == 0;
  if (!is_absent && !known.row) {
    return claim_result{claim_result_kind::kStoreUnavailable, {}};  // a row that cannot be parsed is never overwritten
  }
  if (operation.kind == claim_operation_kind::kRead) {
    return is_absent ? claim_result{claim_result_kind::kAbsent, {}}
                     : claim_result{claim_result_kind::kFound, *known.row};
  }
  if (is_absent) {
    return operation.kind == claim_operation_kind::kInsert
               ? std::nullopt
               : std::optional(claim_result{claim_result_kind::kAbsent, {}});
  }
  if (known.row == operation.row) {
    return claim_result{claim_result_kind::kWritten, {}};
  }
  const bool may_write = operation.kind != claim_operation_kind::kInsert && known.row->phase == claim_phase::kClaimed &&
                         known.row->attempt == operation.expected_attempt;
  if (!may_write) {
    return claim_result{claim_result_kind::kConflict, *known.row};
  }
  item.version = known.version;
  return std::nullopt;
}

// Result after a lost reply: the row shows whether the write has taken effect. If it has not, it may still take effect
// later.
claim_result ResolveLostWrite(const pending_operation& item, known_row known) {
  SetKey(known, item.operation.row.key);
  if (known.row == item.operation.row) {
    return {claim_result_kind::kWritten, {}};
  }
  const bool is_insert = item.operation.kind == claim_operation_kind::kInsert;
  if (is_insert && known.row) {
    return {claim_result_kind::kConflict, *known.row};  // rows are replaced, not removed: the insert cannot succeed
  }
  return {claim_result_kind::kUnknown, {}};
}

table_write MakeWrite(const pending_operation& item) {
  const claim_operation& operation = item.operation;
  table_write write;
  write.table = kClaimTable;
  write.key = ClaimRowKey(operation.row.key);
  write.value = FormatClaimRow(operation.row, WallClockMs());
  write.condition = operation.kind == claim_operation_kind::kInsert ? row_condition::kAbsent : row_condition::kVersion;
  write.version = item.version.value_or(kNeverMatchingVersion);
  return write;
}

void Complete(const operation_list& items, claim_result_kind kind) {
  for (const pending_operation& item : items) {
    item.done({kind, {}});
  }
}

bool NeedsLookup(const pending_operation& item) {
  return item.operation.kind != claim_operation_kind::kInsert && !item.version;
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 3. batches in the table service
// ---------------------------------------------------------------------------------------------------------------------

struct claim_store::state : std::enable_shared_from_this<claim_store::state> {
  state(timer_service& timers, asio::io_context& context, table_client table, claim_store_settings settings,
        claim_transport transport)
      : timers(timers),
        context(context),
        table(std::move(table)),
        settings(settings),
        transport(std::move(transport)) {}

  struct forwarded_batch {
    operation_list items;
    timer_subscription deadline;
  };

  struct pending_batch {
    operation_list items;
    timer_subscription timer;
  };

  // Completes the operations whose result the rows determine. Returns the others.
  operation_list CompleteDetermined(operation_list items, const known_rows& known) {
    operation_list rest;
    for (pending_operation& item : items) {
      const auto row = known.find(ClaimRowKey(item.operation.row.key));
      const auto determined = row == known.end() ? std::nullopt : ResolveFromRow(item, row->second);
      if (determined) {
        item.done(*determined);
      } else {
        rest.push_back(std::move(item));
      }
    }
    return rest;
  }

  // Reads the current rows of the operations in one request. Errors: as table_client.
  task<result<known_rows>> LookUp(const operation_list& items) {
    std::set<std::string> keys;
    for (const pending_operation& item : items) {
      keys.insert(ClaimRowKey(item.operation.row.key));
    }
    std::vector<table_write> writes;
    for (const std::string& key : keys) {
      table_write write;
      write.table = kClaimTable;
      write.key = key;
      write.value = "{}";
      write.condition = row_condition::kVersion;
      write.version = kNeverMatchingVersion;
      writes.push_back(std::move(write));
    }
    ++transactions;
    table_client client = table;
    auto answer = co_await client.Commit(std::move(writes));
    if (!answer) {
      co_return answer.error();
    }
    co_return ReadKnownRows(answer.value().conflicts);
  }

  task<> ResolveLostReply(operation_list items) {
    auto known = co_await LookUp(items);
    for (const pending_operation& item : items) {
      claim_result resolved{claim_result_kind::kUnknown, {}};
      if (known) {
        const auto row = known.value().find(ClaimRowKey(item.operation.row.key));
        resolved = row == known.value().end() ? resolved : ResolveLostWrite(item, row->second);
      }
      item.done(resolved);
    }
  }

  // Removes and returns one operation per key, because a transaction can write a row only once.
  static operation_list TakeOnePerKey(operation_list& items) {
    operation_list taken;
    operation_list rest;
    std::set<std::string> keys;
    for (pending_operation& item : items) {
      const bool is_first = keys.insert(item.operation.row.key.value).second;
      (is_first ? taken : rest).push_back(std::move(item));
    }
    items = std::move(rest);
    return taken;
  }

  task<> RunBatch(operation_list items) {
    const auto self = shared_from_this();
    while (!items.empty()) {
      operation_list distinct = TakeOnePerKey(items);
      co_await CommitDistinct(std::move(distinct));
    }
  }

  // Runs operations on distinct keys. A failed condition fails only its own operation.
  task<> CommitDistinct(operation_list items) {
    for (int round = 0; round < kMaxCommitRounds && !items.empty(); ++round) {
      if (std::any_of(items.begin(), items.end(), NeedsLookup)) {
        auto known = co_await LookUp(items);
        if (!known) {
          co_return Complete(items, claim_result_kind::kStoreUnavailable);  // nothing was written
        }
        items = CompleteDetermined(std::move(items), known.value());
        if (std::any_of(items.begin(), items.end(), NeedsLookup)) {
          Log().Error("The table service did not return the row of a failed condition.");
          co_return Complete(items, claim_result_kind::kStoreUnavailable);
        }
        if (items.empty()) {
          co_return;
        }
      }
      std::vector<table_write> writes;
      for (const pending_operation& item : items) {
        writes.push_back(MakeWrite(item));
      }
      ++transactions;
      table_client client = table;
      auto answer = co_await client.Commit(std::move(writes));
      if (!answer) {
        const error failure = answer.error();
        co_return co_await HandleFailure(std::move(items), failure);
      }
      if (answer.value().committed) {
        co_return Complete(items, claim_result_kind::kWritten);
      }
      for (pending_operation& item : items) {
        item.version.reset();
      }
      items = CompleteDetermined(std::move(items), ReadKnownRows(answer.value().conflicts));
    }
    Complete(items, claim_result_kind::kStoreUnavailable);  // every round ended in a conflict: nothing was written
  }

  task<> HandleFailure(operation_list items, error failure) {
    switch (failure.code) {
      case error_code::kUnavailable:
        co_return Complete(items, claim_result_kind::kStoreUnavailable);
      case error_code::kInvalid:
        if (items.size() > 1) {
          // Splits the batch, so that an operation that the service rejects does not fail the others.
          const auto middle = items.begin() + static_cast<std::ptrdiff_t>(items.size() / 2);
          operation_list second(std::make_move_iterator(middle), std::make_move_iterator(items.end()));
          items.erase(middle, items.end());
          co_await CommitDistinct(std::move(items));
          co_return co_await CommitDistinct(std::move(second));
        }
        Log().Error("The table service rejected a claim: {}.", failure.message);
        co_return Complete(items, claim_result_kind::kStoreUnavailable);
      default:
        co_return co_await ResolveLostReply(std::move(items));
    }
  }

  // -------------------------------------------------------------------------------------------------------------------
  // 4. batching and forwarding
  // -------------------------------------------------------------------------------------------------------------------

  // Returns this router if it is one of the key's batching routers, otherwise the first of them.
  router_name ChooseTarget(const idempotency_key& key) const {
    const auto batching_routers = ChooseBatchingRouters(key, transport.routers());
    const bool is_batching_router =
        std::find(batching_routers.begin(), batching_routers.end(), transport.self) != batching_routers.end();
    return is_batching_router || batching_routers.empty() ? transport.self : batching_routers.front();
  }

  // Counts the operation as pending until it is done. If too many are pending, completes it as kStoreUnavailable and
  // returns false.
  bool Admit(pending_operation& item) {
    if (pending_count >= settings.pending_operations) {
      item.done({claim_result_kind::kStoreUnavailable, {}});
      return false;
    }
    ++pending_count;
    item.done = [weak = weak_from_this(), done = std::move(item.done)](const claim_result& value) {
      if (const auto store = weak.lock()) {
        --store->pending_count;
      }
      done(value);
    };
    return true;
  }

  void Submit(pending_operation item) {
    if (!Admit(item)) {
      return;
    }
    const router_name target = ChooseTarget(item.operation.row.key);
    if (target == transport.self) {
      return AddToTransaction(std::move(item));
    }
    pending_batch& group = forward_batches[target];
    group.items.push_back(std::move(item));
    if (group.items.size() >= settings.batch_operations) {
      return Forward(target);
    }
    if (group.items.size() == 1) {
      group.timer = timers.SubscribeOnce(settings.forward_batch_window, [weak = weak_from_this(), target] {
        if (const auto store = weak.lock()) {
          store->Forward(target);
        }
      });
    }
  }

  // Adds the operation to this router's next transaction.
  void AddToTransaction(pending_operation item) {
    local_batch.items.push_back(std::move(item));
    if (local_batch.items.size() >= settings.batch_operations) {
      return Flush();
    }
    if (local_batch.items.size() == 1) {
      local_batch.timer = timers.SubscribeOnce(settings.store_batch_window, [weak = weak_from_this()] {
        if (const auto store = weak.lock()) {
          store->Flush();
        }
      });
    }
  }

  void Flush() {
    operation_list items = std::exchange(local_batch.items, {});
    if (!items.empty()) {
      asio::co_spawn(context, RunBatch(std::move(items)), asio::detached);
    }
  }

  void Forward(const router_name& target) {
    const auto found = forward_batches.find(target);
    if (found == forward_batches.end() || found->second.items.empty()) {
      return;
    }
    operation_list items = std::move(found->second.items);
    forward_batches.erase(found);
    claim_batch batch;
    batch.sequence = ++last_sequence;
    for (const pending_operation& item : items) {
      batch.operations.push_back(item.operation);
    }
    if (!transport.send(target, message(batch))) {
      for (pending_operation& item : items) {
        AddToTransaction(std::move(item));
      }
      return;
    }
    forwarded_batch& sent = awaiting_results[batch.sequence];
    sent.items = std::move(items);
    const std::uint64_t sequence = batch.sequence;
    sent.deadline = timers.SubscribeOnce(settings.forward_timeout, [weak = weak_from_this(), sequence] {
      if (const auto store = weak.lock()) {
        store->ExpireForwarded(sequence);
      }
    });
  }

  // Completes a forwarded batch as kUnknown: the batching router may have written its operations.
  void ExpireForwarded(std::uint64_t sequence) {
    const auto found = awaiting_results.find(sequence);
    if (found != awaiting_results.end()) {
      const operation_list items = std::move(found->second.items);
      awaiting_results.erase(found);
      Complete(items, claim_result_kind::kUnknown);
    }
  }

  void OnResults(const claim_results& results) {
    const auto found = awaiting_results.find(results.sequence);
    if (found == awaiting_results.end() || found->second.items.size() != results.results.size()) {
      Log().Debug("Ignored unexpected results of batch {}.", results.sequence);
      return;
    }
    const operation_list items = std::move(found->second.items);
    awaiting_results.erase(found);
    for (std::size_t i = 0; i < items.size(); ++i) {
      items[i].done(results.results[i]);
    }
  }

  void OnBatch(const claim_batch& batch, const reply_function& reply) {
    struct collected_results {
      claim_results results;
      std::size_t outstanding = 0;
    };
    const auto collected = std::make_shared<collected_results>();
    collected->results.sequence = batch.sequence;
    collected->results.results.resize(batch.operations.size());
    collected->outstanding = batch.operations.size();
    for (std::size_t i = 0; i < batch.operations.size(); ++i) {
      pending_operation item;
      item.operation = batch.operations[i];
      item.done = [collected, reply, i](const claim_result& value) {
        collected->results.results[i] = value;
        if (--collected->outstanding == 0) {
          reply(collected->results);
        }
      };
      if (Admit(item)) {
        AddToTransaction(std::move(item));
      }
    }
    if (batch.operations.empty()) {
      reply(collected->results);
    }
  }

  // -------------------------------------------------------------------------------------------------------------------
  // 5. retention
  // -------------------------------------------------------------------------------------------------------------------

  task<result<std::size_t>> DeleteExpired(std::uint32_t shard) {
    const auto self = shared_from_this();
    table_client client = table;
    std::string name = kClaimTable;
    std::string prefix = fmt::format("{:04x}/", shard);
    auto rows = co_await client.ReadRows(std::move(name), std::move(prefix));
    if (!rows) {
      co_return rows.error();
    }
    std::size_t deleted = 0;
    std::vector<table_write> writes;
    const std::int64_t oldest = WallClockMs() - settings.retention.count();
    const std::vector<table_row> found = std::move(rows.value());
    for (const table_row& row : found) {
      const auto claim = ParseClaimRow(row.value);
      if (claim && claim.value().created_ms < oldest) {
        writes.push_back({kClaimTable, row.key, std::nullopt, row_condition::kVersion, row.version});
      }
      if (!writes.empty() && (writes.size() >= settings.expiry_writes || &row == &found.back())) {
        ++transactions;
        const std::size_t count = writes.size();
        std::vector<table_write> sent = std::exchange(writes, {});
        auto answer = co_await client.Commit(std::move(sent));
        if (!answer) {
          co_return answer.error();
        }
        deleted += answer.value().committed ? count : 0;  // rows that have changed meanwhile are left for a later pass
      }
    }
    co_return deleted;
  }

  // Deletes the expired claims of the next shard whose first batching router is this router, so that one router cleans
  // each shard. Does nothing on a router that is not a batching router.
  void DeleteExpiredInNextShard() {
    for (std::uint32_t skipped = 0; skipped < kClaimShards; ++skipped) {
      next_shard = (next_shard + 1) % kClaimShards;
      const idempotency_key name{fmt::format("{:04x}", next_shard)};
      const auto batching_routers = ChooseBatchingRouters(name, transport.routers());
      const bool is_batching_router =
          std::find(batching_routers.begin(), batching_routers.end(), transport.self) != batching_routers.end();
      if (!is_batching_router) {
        return;
      }
      if (batching_routers.front() == transport.self) {
        asio::co_spawn(context, DeleteExpiredInShard(next_shard), asio::detached);
        return;
      }
    }
  }

  task<> DeleteExpiredInShard(std::uint32_t shard) {
    const auto deleted = co_await DeleteExpired(shard);
    if (!deleted) {
      Log().Warning("Failed to delete expired claims of shard {:04x}: {}.", shard, deleted.error().message);
    }
  }

  timer_service& timers;
  asio::io_context& context;
  table_client table;
  claim_store_settings settings;
  claim_transport transport;
  pending_batch local_batch;
  std::map<router_name, pending_batch> forward_batches;
  std::map<std::uint64_t, forwarded_batch> awaiting_results;  // by sequence
  std::uint64_t last_sequence = 0;
  std::uint64_t transactions = 0;
  std::size_t pending_count = 0;
  std::uint32_t next_shard = 0;
  timer_subscription expiry_timer;
};

// ---------------------------------------------------------------------------------------------------------------------
// 6. store
// ---------------------------------------------------------------------------------------------------------------------

claim_store::claim_store(timer_service& timers, asio::io_context& context, table_client table,
                         claim_store_settings settings, claim_transport transport)
    : state_(std::make_shared<state>(timers, context, std::move(table), settings, std::move(transport))) {}

void claim_store::Start() {
  if (state_->settings.expiry_period.count() == 0) {
    return;
  }
  constexpr double kJitter = 0.25;
  state_->expiry_timer =
      state_->timers.SubscribeEvery(state_->settings.expiry_period, kJitter, [weak = state_->weak_from_this()] {
        if (const auto store = weak.lock()) {
          store->DeleteExpiredInNextShard();
        }
      });
}

void claim_store::Stop() { state_->expiry_timer.Cancel(); }

task<claim_result> claim_store::Execute(claim_operation operation) {
  const auto self = state_;
  const auto result_mailbox = std::make_shared<mailbox<claim_result>>(self->context);
  pending_operation item;
  item.operation = std::move(operation);
  item.done = [result_mailbox](const claim_result& value) { result_mailbox->Push(value); };
  self->Submit(std::move(item));
  constexpr milliseconds kMaxWait(3'600'000);  // upper bound; every operation ends earlier by its own deadline
  auto value = co_await result_mailbox->Receive(kMaxWait);
  co_return value.value_or(claim_result{});
}

void claim_store::OnBatch(const claim_batch& batch, const reply_function& reply) { state_->OnBatch(batch, reply); }

void claim_store::OnResults(const claim_results& results) { state_->OnResults(results); }

task<result<std::size_t>> claim_store::DeleteExpiredClaims(std::uint32_t shard) {
  const auto self = state_;
  auto deleted = co_await self->DeleteExpired(shard);
  co_return deleted;
}

std::uint64_t claim_store::Transactions() const { return state_->transactions; }

}  // namespace persimmon
