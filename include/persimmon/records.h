// Records that operators write, and the immutable configuration made of them.
//
// Sections
//   1. record values
//   2. configuration
//   3. reading, checking and writing
//
// A record is stored as JSON: {"kind", "name", "schema", "version", ...fields}. Schemas 1 and 2 are read; fields that
// this program does not know are kept when a record is rewritten.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "persimmon/error.h"
#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. record values
// ---------------------------------------------------------------------------------------------------------------------

inline constexpr int kOldestSchema = 1;
inline constexpr int kNewestSchema = 2;

enum class pool_type : std::uint8_t { kModel, kService };
enum class endpoint_role : std::uint8_t { kPrefill, kDecode, kService };
enum class endpoint_state : std::uint8_t { kActive, kDraining };

// Endpoints that serve the same models, or one plain service.
struct pool_record {
  std::string name;
  pool_type type = pool_type::kModel;                     // "model" or "service"
  milliseconds first_token_target = milliseconds(1'300);  // first_token_ms: time to first token
  milliseconds token_interval_target = milliseconds(58);  // token_interval_ms: time between tokens
  std::uint32_t queue_limit = 2'000;                      // queue_limit: waiting requests per router
  std::string path_prefix;                                // services: path under which callers reach the pool
  std::string host;                                       // services: Host header; empty: any
  std::vector<std::string> idempotent_paths;              // services: path prefixes whose calls may be repeated
  milliseconds call_timeout = milliseconds(10'000);       // services: call_timeout_ms

  bool operator==(const pool_record&) const = default;
};

struct model_record {
  std::string name;
  std::string pool;                   // pool that serves the model
  std::vector<std::string> versions;  // schema 1: version_name; the last is the wanted one
  std::uint32_t max_context_tokens = 65'536;

  bool operator==(const model_record&) const = default;
};

struct adapter_record {
  std::string name;
  std::vector<std::string> models;  // schema 1: model

  bool operator==(const adapter_record&) const = default;
};

struct endpoint_record {
  endpoint_name name;
  std::string pool;
  std::vector<endpoint_role> roles;  // "prefill", "decode", "service"; schema 1: role
  std::string address;               // of its agent, IP:PORT
  zone_name zone;
  endpoint_state state = endpoint_state::kActive;  // "active" or "draining"

  bool operator==(const endpoint_record&) const = default;
};

struct account_record {
  account_name name;
  std::string api_key_sha256;           // lower-case hexadecimal; the key itself is never stored
  std::uint64_t tokens_per_second = 0;  // prompt and output tokens; 0: no limit
  std::uint64_t burst_tokens = 0;       // size of the token bucket
  std::uint32_t connections = 0;        // requests in progress per router; 0: no limit
  std::int32_t priority = 0;            // added to the priority of a request
  double weight = 1.0;                  // share among accounts when a pool is short

  bool operator==(const account_record&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. configuration
// ---------------------------------------------------------------------------------------------------------------------

// All records of one revision. Immutable once published; shared as std::shared_ptr<const configuration>.
struct configuration {
  revision_number revision = 0;
  std::map<std::string, pool_record> pools;
  std::map<std::string, model_record> models;
  std::map<std::string, adapter_record> adapters;
  std::map<endpoint_name, endpoint_record> endpoints;
  std::map<account_name, account_record> accounts;
  std::vector<std::string> texts;  // the JSON texts, for peers

  bool operator==(const configuration&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. reading, checking and writing
// ---------------------------------------------------------------------------------------------------------------------

using record = std::variant<pool_record, model_record, adapter_record, endpoint_record, account_record>;

inline constexpr std::size_t kMaxRecordBytes = 64U << 10U;  // longer texts are refused
inline constexpr int kMaxRecordDepth = 16;                  // deeper nesting is refused

// Reads one record of schema 1 or 2. All problems are added to the findings, with the place "record <kind>/<name>:
// <field>"; the result is an error if there was any.
result<record> ParseRecord(std::string_view json, finding_list& findings);

// "pool/savetnik-llm": the row key of a record's JSON text. Errors: kInvalid.
result<std::string> RecordKey(std::string_view json);

// The record's own version: 0 if it was never written. Errors: kInvalid.
result<std::uint64_t> RecordVersion(std::string_view json);

// Splits a file's text, one record or an array of records, into the JSON texts of its records. Errors: kInvalid.
result<std::vector<std::string>> SplitRecords(std::string_view json);

// Reads all records and checks the references between them. Findings name records that are left out; a record with
// findings does not hinder the others, and neither its fields nor its text are in the configuration.
configuration BuildConfiguration(revision_number revision, std::vector<std::string> texts, finding_list& findings);

// Rewrites a record's JSON text to another schema. Unknown fields are kept. Errors: kInvalid, also for a list with more
// than one value, which schema 1 cannot hold.
result<std::string> ConvertRecord(std::string_view json, int schema);

// The text to store when `replacement` takes the place of `stored`, which may be empty: the replacement with the given
// version and with those fields of the stored record that this program does not know. A null in the replacement removes
// an unknown field. Errors: kInvalid.
result<std::string> ReplaceRecord(std::string_view stored, std::string_view replacement, std::uint64_t version);

// The record's text with one field set to a text value. Errors: kInvalid.
result<std::string> SetRecordField(std::string_view json, const std::string& field, const std::string& value);

struct record_difference {
  std::string field;  // "limits.connections"
  std::string left;   // JSON text; empty: absent
  std::string right;

  bool operator==(const record_difference&) const = default;
};

// Fields in which two JSON texts of a record differ, ordered by name. An empty text is an absent record.
result<std::vector<record_difference>> CompareRecords(std::string_view left, std::string_view right);

}  // namespace persimmon
