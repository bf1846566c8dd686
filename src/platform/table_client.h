// Client of the platform's table service.
//
// Sections
//   1. platform client: requests with a choice of servers
//   2. rows and transactions
//   3. table client
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/settings.h"
#include "core/timers.h"
#include "net/http.h"
#include "persimmon/error.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. platform client
// ---------------------------------------------------------------------------------------------------------------------

enum class repeat_rule : std::uint8_t {
  kIfNotSent,  // the next server is asked only if nothing was sent to the previous one
  kAlways,     // reads: the next server is asked after any failure
};

// Sends each request to one of several servers. Copies share their connections.
class platform_client {
 public:
  platform_client(asio::io_context& context, std::vector<host_port> servers, milliseconds timeout);

  // Errors: kUnavailable if nothing took effect; kTimeout and kClosed if the request may have taken effect.
  task<result<http_response>> Fetch(http_request request, repeat_rule rule);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// Encodes all but letters, digits, '-', '.', '_' and '~' as %XX.
std::string EncodePercent(std::string_view text);

// ---------------------------------------------------------------------------------------------------------------------
// 2. rows and transactions
// ---------------------------------------------------------------------------------------------------------------------

struct table_row {
  std::string table;
  std::string key;
  std::string value;          // JSON text
  std::uint64_t version = 0;  // set by the service, grows with every write of the row

  bool operator==(const table_row&) const = default;
};

enum class row_condition : std::uint8_t { kNone, kAbsent, kVersion };

// One write of a transaction. All conditions are checked before anything is written.
struct table_write {
  std::string table;
  std::string key;
  std::optional<std::string> value;  // absent: delete the row
  row_condition condition = row_condition::kNone;
  std::uint64_t version = 0;  // with kVersion: the version that the row must have

  bool operator==(const table_write&) const = default;
};

struct transaction_result {
  bool committed = false;
  std::vector<table_row> conflicts;  // current rows whose condition did not hold; version 0: absent

  bool operator==(const transaction_result&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. table client. Copies share their connections.
// ---------------------------------------------------------------------------------------------------------------------

class table_client {
 public:
  table_client(asio::io_context& context, std::vector<host_port> servers, milliseconds timeout);

  // A row, or nothing if it is absent. Errors: kUnavailable, kTimeout, kClosed, kProtocol.
  task<result<std::optional<table_row>>> ReadRow(std::string table, std::string key);

  // All rows of a table whose key starts with the prefix, from one consistent read.
  task<result<std::vector<table_row>>> ReadRows(std::string table, std::string prefix);

  // Errors: kUnavailable if nothing took effect; kTimeout and kClosed if the transaction may have taken effect, now or
  // later; kInvalid and kProtocol if the service refused it.
  task<result<transaction_result>> Commit(std::vector<table_write> writes);

 private:
  platform_client client_;
};

}  // namespace persimmon
