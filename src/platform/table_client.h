// Client of the platform's table service.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/settings.h"
#include "core/timers.h"
#include "net/http.h"
#include "persimmon/error.h"

namespace persimmon {

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

class table_client {
 public:
  table_client(asio::io_context& context, std::vector<host_port> servers, milliseconds timeout);

  // A row, or nothing if it is absent. Errors: kUnavailable, kTimeout, kClosed, kProtocol.
  task<result<std::optional<table_row>>> ReadRow(std::string table, std::string key);

  // All rows of a table whose key starts with the prefix, from one consistent read.
  task<result<std::vector<table_row>>> ReadRows(std::string table, std::string prefix);

  // Errors: kUnavailable if nothing took effect; kTimeout and kClosed if the transaction may have taken effect.
  task<result<transaction_result>> Commit(std::vector<table_write> writes);

 private:
  http_client http_;
  std::vector<host_port> servers_;
  milliseconds timeout_;
};

}  // namespace persimmon
