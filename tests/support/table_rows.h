// Helpers that build request bodies and read response bodies of the table service.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "core/base64.h"

namespace persimmon::support {

// Returns the body of a transaction that writes rows of one table without conditions.
inline nlohmann::json PutRows(const std::string& table, const std::vector<std::pair<std::string, std::string>>& rows) {
  nlohmann::json puts = nlohmann::json::array();
  for (const auto& [key, value] : rows) {
    puts.push_back({{"table", table}, {"part", ""}, {"key", key}, {"value", EncodeBase64(value)}});
  }
  return {{"expected", nlohmann::json::array()}, {"puts", puts}, {"remove", nlohmann::json::array()}};
}

// Returns the value of the only row in the response to a read; empty unless there is exactly one row.
inline std::string SingleValue(const nlohmann::json& answer) {
  if (!answer.is_object() || !answer.contains("rows") || answer["rows"].size() != 1) {
    return {};
  }
  return DecodeBase64(answer["rows"][0].value("value", "")).value_or("");
}

}  // namespace persimmon::support
