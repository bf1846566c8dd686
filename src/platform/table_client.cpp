// Sections
//   1. platform client
//   2. JSON bodies
//   3. table client
#include "platform/table_client.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "core/log.h"

namespace persimmon {
namespace {

using json = nlohmann::json;

// True for an error after which the request has certainly not taken effect.
bool WasNotSent(const error& failure) { return failure.code == error_code::kUnavailable; }

error UnexpectedStatus(const http_response& response) {
  constexpr std::size_t kShownBytes = 200;
  return error{error_code::kProtocol,
               fmt::format("the platform answered {}: {}", response.status, response.body.substr(0, kShownBytes))};
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. platform client
// ---------------------------------------------------------------------------------------------------------------------

struct platform_client::state {
  state(asio::io_context& context, std::vector<host_port> servers, milliseconds timeout)
      : http(context, http_client_limits{.connect_timeout = timeout, .response_timeout = timeout}),
        servers(std::move(servers)) {}

  http_client http;
  std::vector<host_port> servers;
  std::size_t preferred = 0;  // the server that answered last
};

platform_client::platform_client(asio::io_context& context, std::vector<host_port> servers, milliseconds timeout)
    : state_(std::make_shared<state>(context, std::move(servers), timeout)) {
  if (state_->servers.empty()) {
    StopProgram("A platform client needs at least one server.");
  }
}

task<result<http_response>> platform_client::Fetch(http_request request, repeat_rule rule) {
  const auto state = state_;
  const std::size_t count = state->servers.size();
  const std::size_t first = state->preferred;
  error failure;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t chosen = (first + i) % count;
    const host_port server = state->servers[chosen];
    auto response = co_await state->http.Fetch(server, request);
    if (response) {
      state->preferred = chosen;
      co_return response;
    }
    failure = response.error();
    if (rule == repeat_rule::kIfNotSent && !WasNotSent(failure)) {
      break;
    }
  }
  co_return failure;
}

std::string EncodePercent(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    const bool is_plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
                          c == '.' || c == '_' || c == '~';
    if (is_plain) {
      encoded.push_back(c);
    } else {
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
  }
  return encoded;
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. JSON bodies
// ---------------------------------------------------------------------------------------------------------------------

namespace {

json ParseBody(const std::string& body) { return json::parse(body, nullptr, false); }

// Reads {"key","value","version"}. A row with version 0 is absent and has no value.
std::optional<table_row> ReadRowJson(const std::string& table, const json& item) {
  const bool has_key = item.is_object() && item.contains("key") && item["key"].is_string();
  const bool has_version = has_key && item.contains("version") && item["version"].is_number_unsigned();
  if (!has_version) {
    return std::nullopt;
  }
  table_row row{table, item["key"].get<std::string>(), {}, item["version"].get<std::uint64_t>()};
  if (item.contains("value") && item["value"].is_string()) {
    row.value = item["value"].get<std::string>();
  } else if (row.version != 0) {
    return std::nullopt;
  }
  return row;
}

json WriteJson(const table_write& write) {
  json item = {{"table", write.table}, {"key", write.key}};
  if (write.value) {
    item["value"] = *write.value;
  } else {
    item["delete"] = true;
  }
  if (write.condition == row_condition::kAbsent) {
    item["if"] = {{"absent", true}};
  } else if (write.condition == row_condition::kVersion) {
    item["if"] = {{"version", write.version}};
  }
  return item;
}

result<transaction_result> ReadTransaction(const http_response& response) {
  const json body = ParseBody(response.body);
  const bool is_valid = body.is_object() && body.contains("committed") && body["committed"].is_boolean();
  transaction_result transaction;
  if (response.status == 200 && is_valid && body["committed"].get<bool>()) {
    transaction.committed = true;
    return transaction;
  }
  if (response.status != 409 || !is_valid || !body.contains("conflicts") || !body["conflicts"].is_array()) {
    return UnexpectedStatus(response);
  }
  for (const json& item : body["conflicts"]) {
    const bool has_table = item.is_object() && item.contains("table") && item["table"].is_string();
    auto row = has_table ? ReadRowJson(item["table"].get<std::string>(), item) : std::nullopt;
    if (!row) {
      return UnexpectedStatus(response);
    }
    transaction.conflicts.push_back(std::move(*row));
  }
  return transaction;
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 3. table client
// ---------------------------------------------------------------------------------------------------------------------

table_client::table_client(asio::io_context& context, std::vector<host_port> servers, milliseconds timeout)
    : client_(context, std::move(servers), timeout) {}

task<result<std::optional<table_row>>> table_client::ReadRow(std::string table, std::string key) {
  platform_client client = client_;
  http_request request;
  request.method = "GET";
  request.target = fmt::format("/tables/{}/rows/{}", EncodePercent(table), EncodePercent(key));
  auto response = co_await client.Fetch(std::move(request), repeat_rule::kAlways);
  if (!response) {
    co_return response.error();
  }
  std::optional<table_row> row;
  if (response.value().status == 404) {
    co_return row;
  }
  if (response.value().status == 200) {
    row = ReadRowJson(table, ParseBody(response.value().body));
  }
  if (!row) {
    co_return UnexpectedStatus(response.value());
  }
  co_return row;
}

task<result<std::vector<table_row>>> table_client::ReadRows(std::string table, std::string prefix) {
  platform_client client = client_;
  http_request request;
  request.method = "GET";
  request.target = fmt::format("/tables/{}/rows?prefix={}", EncodePercent(table), EncodePercent(prefix));
  auto response = co_await client.Fetch(std::move(request), repeat_rule::kAlways);
  if (!response) {
    co_return response.error();
  }
  const json body = ParseBody(response.value().body);
  if (response.value().status != 200 || !body.is_object() || !body.contains("rows") || !body["rows"].is_array()) {
    co_return UnexpectedStatus(response.value());
  }
  std::vector<table_row> rows;
  for (const json& item : body["rows"]) {
    auto row = ReadRowJson(table, item);
    if (!row) {
      co_return error{error_code::kProtocol, fmt::format("a row of table {} has no key, value or version", table)};
    }
    rows.push_back(std::move(*row));
  }
  co_return rows;
}

task<result<transaction_result>> table_client::Commit(std::vector<table_write> writes) {
  platform_client client = client_;
  json body = {{"writes", json::array()}};
  for (const table_write& write : writes) {
    body["writes"].push_back(WriteJson(write));
  }
  http_request request;
  request.method = "POST";
  request.target = "/transactions";
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  auto response = co_await client.Fetch(std::move(request), repeat_rule::kIfNotSent);
  if (!response) {
    co_return response.error();
  }
  co_return ReadTransaction(response.value());
}

}  // namespace persimmon
