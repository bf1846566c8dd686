// Stores claim rows in the table service and batches the operations of many calls into few transactions.
//
// Sections
//   1. settings and transport
//   2. rows
//   3. store
//
// Table `claims` has one row per idempotency key. The row key starts with a shard number (a hash of the idempotency
// key), so that expired rows can be listed shard by shard. Operations are batched twice: briefly in each router, then
// in a batching router that is selected by the key.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/timers.h"
#include "net/wire.h"
#include "persimmon/claims.h"
#include "platform/table_client.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. settings and transport
// ---------------------------------------------------------------------------------------------------------------------

struct claim_store_settings {
  milliseconds forward_batch_window = milliseconds(3);  // batching of operations for one batching router
  milliseconds store_batch_window = milliseconds(12);   // batching of operations for one transaction
  std::size_t batch_operations = 100;                   // a batch that reaches this size is sent immediately
  std::size_t pending_operations = 20'000;              // further ones fail with kStoreUnavailable
  milliseconds forward_timeout = milliseconds(3'000);   // time limit for the results of a batching router
  milliseconds retention = milliseconds(86'400'000);    // rows older than 24 h are deleted; a key then counts as new
  milliseconds expiry_period = milliseconds(5'000);     // one shard per period; 0: never
  std::size_t expiry_writes = 100;                      // deletions in one transaction

  bool operator==(const claim_store_settings&) const = default;
};

// Connects the store to other routers. All functions run on the program's io_context.
struct claim_transport {
  router_name self;
  std::function<std::vector<router_name>()> routers;             // routers with an open channel, and self
  std::function<bool(const router_name&, const message&)> send;  // false: no open channel, the message was not sent
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. rows
// ---------------------------------------------------------------------------------------------------------------------

inline constexpr const char* kClaimTable = "claims";
inline constexpr std::uint32_t kClaimShards = 65'536;  // about 1,300 rows each at 1,000 claims/s for 24 h

std::uint32_t ClaimShard(const idempotency_key& key);

// Row key: four hexadecimal digits of the shard, '/', and the percent-encoded idempotency key.
std::string ClaimRowKey(const idempotency_key& key);

// JSON text of the row, without the key. created_ms: milliseconds since the Unix epoch (1970).
std::string FormatClaimRow(const claim_row& row, std::int64_t created_ms);

struct stored_claim {
  claim_row row;
  std::int64_t created_ms = 0;

  bool operator==(const stored_claim&) const = default;
};

// Parses the text of a row. The key of the result is empty. Errors: kProtocol if the text is not a claim.
result<stored_claim> ParseClaimRow(const std::string& json);

// ---------------------------------------------------------------------------------------------------------------------
// 3. store
// ---------------------------------------------------------------------------------------------------------------------

// A kernel service.
class claim_store {
 public:
  using reply_function = std::function<void(const claim_results&)>;

  claim_store(timer_service& timers, asio::io_context& context, table_client table, claim_store_settings settings,
              claim_transport transport);

  void Start();
  void Stop();

  // Executes one operation, through a batching router of its key unless this router is one of them.
  task<claim_result> Execute(claim_operation operation);

  // Handles a batch of another router. Calls reply once, with one result per operation.
  void OnBatch(const claim_batch& batch, const reply_function& reply);

  // Handles the results of a batch that was forwarded to a batching router.
  void OnResults(const claim_results& results);

  // Deletes the rows of a shard that are older than the retention. Returns their number. Errors: as table_client.
  task<result<std::size_t>> DeleteExpiredClaims(std::uint32_t shard);

  std::uint64_t Transactions() const;  // number sent to the table service, including lookups

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
