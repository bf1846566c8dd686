// Claim rows in the table service: operations of many calls gathered into few transactions.
//
// Sections
//   1. settings and links
//   2. rows
//   3. store
//
// Table `claims` has one row per key. The row's name is a shard (hash of the key) and the key, so that old rows are
// found shard by shard. Operations are gathered twice: briefly in each router, then in a batching router chosen by the
// key.
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
// 1. settings and links
// ---------------------------------------------------------------------------------------------------------------------

struct claim_store_settings {
  milliseconds forward_gather = milliseconds(3);       // operations for one batching router
  milliseconds store_gather = milliseconds(12);        // operations of one transaction
  std::size_t batch_operations = 100;                  // a full batch is not held back any longer
  std::size_t pending_operations = 20'000;             // more are refused with kStoreUnavailable
  milliseconds forward_timeout = milliseconds(3'000);  // for the results of a batching router
  milliseconds retention = milliseconds(86'400'000);   // rows older than 24 h are deleted; a key then counts as new
  milliseconds sweep_period = milliseconds(5'000);     // one shard per period; 0: no sweep
  std::size_t sweep_writes = 100;                      // deletions in one transaction

  bool operator==(const claim_store_settings&) const = default;
};

// How the store reaches other routers. All functions run on the program's io_context.
struct claim_links {
  router_name self;
  std::function<std::vector<router_name>()> routers;             // those with an open channel, and self
  std::function<bool(const router_name&, const message&)> send;  // false: no open channel, nothing was sent
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. rows
// ---------------------------------------------------------------------------------------------------------------------

inline constexpr const char* kClaimTable = "claims";
inline constexpr std::uint32_t kClaimShards = 65'536;  // with 1,000 claims/s for 24 h, 1,300 rows in each

std::uint32_t ClaimShard(const idempotency_key& key);

// Name of the row: four hexadecimal digits of the shard, '/', the key with all but plain characters as %XX.
std::string ClaimRowKey(const idempotency_key& key);

// JSON text of the row, without the key. The time is milliseconds since 1970.
std::string FormatClaimRow(const claim_row& row, std::int64_t created_ms);

struct stored_claim {
  claim_row row;
  std::int64_t created_ms = 0;

  bool operator==(const stored_claim&) const = default;
};

// The row has no key then. Errors: kProtocol if the text is not a claim.
result<stored_claim> ParseClaimRow(const std::string& json);

// ---------------------------------------------------------------------------------------------------------------------
// 3. store
// ---------------------------------------------------------------------------------------------------------------------

// A service of the kernel.
class claim_store {
 public:
  using reply_function = std::function<void(const claim_results&)>;

  claim_store(timer_service& timers, asio::io_context& context, table_client table, claim_store_settings settings,
              claim_links links);

  void Start();
  void Stop();

  // Executes one operation, through a batching router if there is a better one than this router.
  task<claim_result> Execute(claim_operation operation);

  // From another router. The reply is called once, with as many results as operations.
  void OnBatch(const claim_batch& batch, const reply_function& reply);

  // From a batching router.
  void OnResults(const claim_results& results);

  // Deletes rows of a shard that have outlived the retention. Returns how many. Errors: as table_client.
  task<result<std::size_t>> SweepShard(std::uint32_t shard);

  std::uint64_t Transactions() const;  // sent to the table service, lookups included

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
