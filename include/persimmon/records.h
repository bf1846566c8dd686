// Configuration records written by operators, and the immutable configuration built from them.
//
// Sections
//   1. record values
//   2. configuration
//   3. parsing, validation and rewriting
//
// A record is stored as a JSON object: {"kind", "name", "schema", "version", ...fields}. Schemas 1 and 2 can be read.
// Unknown fields are preserved when a record is rewritten.
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

// A pool is a group of endpoints that serve the same models, or one plain service.
struct pool_record {
  std::string name;
  pool_type type = pool_type::kModel;                     // "model" or "service"
  milliseconds first_token_target = milliseconds(1'300);  // first_token_ms: time to first token
  milliseconds token_interval_target = milliseconds(58);  // token_interval_ms: time between tokens
  std::uint32_t queue_limit = 2'000;                      // queued requests per router
  std::string path_prefix;                                // services: path prefix of the requests for the pool
  std::string host;                                       // services: Host header; empty: any
  std::vector<std::string> idempotent_paths;              // services: path prefixes of calls that may be retried
  milliseconds call_timeout = milliseconds(10'000);       // services: call_timeout_ms

  bool operator==(const pool_record&) const = default;
};

struct model_record {
  std::string name;
  std::string pool;                   // name of the pool that serves the model
  std::vector<std::string> versions;  // the last one is the desired version; named version_name in schema 1
  std::uint32_t max_context_tokens = 65'536;

  bool operator==(const model_record&) const = default;
};

struct adapter_record {
  std::string name;
  std::vector<std::string> models;  // base models; named model in schema 1

  bool operator==(const adapter_record&) const = default;
};

struct endpoint_record {
  endpoint_name name;
  std::string pool;
  std::vector<endpoint_role> roles;  // "prefill", "decode", "service"; named role in schema 1
  std::string address;               // address of the endpoint's agent, IP:PORT
  zone_name zone;
  endpoint_state state = endpoint_state::kActive;  // "active" or "draining"

  bool operator==(const endpoint_record&) const = default;
};

struct account_record {
  account_name name;
  std::string api_key_sha256;           // lower-case hexadecimal; the API key itself is never stored
  std::uint64_t tokens_per_second = 0;  // prompt and output tokens; 0: no limit
  std::uint64_t burst_tokens = 0;       // capacity of the token bucket
  std::uint32_t connections = 0;        // concurrent requests per router; 0: no limit
  std::int32_t priority = 0;            // added to the priority of each request
  double weight = 1.0;                  // relative share of an overloaded pool

  bool operator==(const account_record&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. configuration
// ---------------------------------------------------------------------------------------------------------------------

// All valid records of one revision. Immutable once published; shared as std::shared_ptr<const configuration>.
struct configuration {
  revision_number revision = 0;
  std::map<std::string, pool_record> pools;
  std::map<std::string, model_record> models;
  std::map<std::string, adapter_record> adapters;
  std::map<endpoint_name, endpoint_record> endpoints;
  std::map<account_name, account_record> accounts;
  std::vector<std::string> texts;  // JSON text of each valid record, sent to peers

  bool operator==(const configuration&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. parsing, validation and rewriting
// ---------------------------------------------------------------------------------------------------------------------

using record = std::variant<pool_record, model_record, adapter_record, endpoint_record, account_record>;

inline constexpr std::size_t kMaxRecordBytes = 64U << 10U;  // longer records are rejected
inline constexpr int kMaxRecordDepth = 16;                  // deeper nesting is rejected

// Parses one record of schema 1 or 2. Appends one finding for each problem to `findings`, with the place
// "record <kind>/<name>: <field>", and returns an error if there is a problem.
result<record> ParseRecord(std::string_view json, finding_list& findings);

// Returns the row key of a record, such as "pool/chat". Errors: kInvalid.
result<std::string> RecordKey(std::string_view json);

// Returns the version of the record; 0 if it was never stored. Errors: kInvalid.
result<std::uint64_t> RecordVersion(std::string_view json);

// Splits the content of a file, which is one record or an array of records, into one JSON text per record. Errors:
// kInvalid.
result<std::vector<std::string>> SplitRecords(std::string_view json);

// Parses all records and validates the references between them. Invalid records are reported in `findings` and left out
// of the configuration, both their fields and their text; the other records are unaffected.
configuration BuildConfiguration(revision_number revision, std::vector<std::string> texts, finding_list& findings);

// Converts a record to another schema. Unknown fields are preserved. Errors: kInvalid, including when a list has
// several values and the target is schema 1, which allows only one.
result<std::string> ConvertRecord(std::string_view json, int schema);

// Returns the record to store when `replacement` overwrites `stored`, which may be empty: the replacement with the
// given version and with the unknown fields of the stored record. A null in the replacement removes an unknown field.
// Errors: kInvalid.
result<std::string> ReplaceRecord(std::string_view stored, std::string_view replacement, std::uint64_t version);

// Returns the record with one top-level field set to a string. Errors: kInvalid.
result<std::string> SetRecordField(std::string_view json, const std::string& field, const std::string& value);

struct record_difference {
  std::string field;  // "limits.connections"
  std::string left;   // JSON text; empty: absent
  std::string right;

  bool operator==(const record_difference&) const = default;
};

// Returns the fields in which two versions of a record differ, ordered by name. An empty text means an absent record.
result<std::vector<record_difference>> CompareRecords(std::string_view left, std::string_view right);

}  // namespace persimmon
