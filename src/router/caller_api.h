// HTTP API for callers: parses requests and formats responses and errors. Does no I/O.
//
// Sections
//   1. refusals
//   2. model requests
//   3. model responses
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/http.h"
#include "persimmon/error.h"
#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. refusals
// ---------------------------------------------------------------------------------------------------------------------

// Error codes of the public API, with their HTTP status. They are stable; docs/operators.md explains each.
enum class refusal_code : std::uint8_t {
  kBadRequest,           // 400
  kUnauthorized,         // 401
  kUnknownModel,         // 404
  kUnknownRoute,         // 404
  kBodyTooLarge,         // 413
  kAccountLimit,         // 429
  kOverCapacity,         // 429
  kDeadlineUnreachable,  // 503
  kSuspectRequest,       // 503
  kStoreUnavailable,     // 503
  kAlreadyAnswered,      // 409
  kInProgress,           // 409
  kDraining,             // 503
  kEndpointLost,         // 502
  kNoEndpoint,           // 503
  kTimeout,              // 504
  kConnectionLimit,      // 503
};

// Name of a code in error bodies and metrics, such as "over_capacity".
const char* RefusalCodeName(refusal_code code);
int RefusalStatus(refusal_code code);

struct refusal {
  refusal_code code = refusal_code::kBadRequest;
  outcome_kind outcome = outcome_kind::kNotRun;
  std::string message;                         // one sentence for the user; not part of the stable API
  milliseconds retry_after = milliseconds(0);  // 0: omitted

  bool operator==(const refusal&) const = default;
};

// JSON body of an error response.
std::string FormatRefusal(const refusal& reason, const request_id& request);

// Complete error response. Has the headers Retry-After and X-Retry-After-Ms if reason.retry_after is set.
http_response MakeRefusal(const refusal& reason, const request_id& request);

// ---------------------------------------------------------------------------------------------------------------------
// 2. model requests
// ---------------------------------------------------------------------------------------------------------------------

struct model_request {
  std::string model;
  std::string adapter;  // from "model:adapter" in the model field; empty: none
  std::string prompt;
  // Hashes of the messages of a chat without the last one, which is the request's own. Other requests have the same.
  std::vector<std::uint64_t> shared_parts;
  std::uint32_t prompt_tokens = 0;  // estimate: number of whitespace-separated words
  std::uint32_t max_tokens = 0;
  std::int32_t priority = 0;
  bool stream = false;
  bool chat = false;  // /v1/chat/completions

  bool operator==(const model_request&) const = default;
};

inline constexpr std::uint32_t kDefaultMaxTokens = 128;
inline constexpr std::uint32_t kMaxTokensLimit = 8'192;

// Parses a completion or chat request. Errors: kInvalid, whose message names the invalid field.
result<model_request> ParseModelRequest(const http_request& request);

// Value of X-Request-Id, or the fallback if the header is missing, not printable or longer than 128 characters.
request_id ReadRequestId(const http_request& request, std::string fallback);

// Parses X-Deadline-Ms, the caller's deadline relative to now. Empty if the header is missing. Errors: kInvalid.
result<std::optional<milliseconds>> ReadDeadline(const http_request& request);

// API key from the Authorization header (Bearer scheme); empty if there is none.
std::string ReadApiKey(const http_request& request);

// ---------------------------------------------------------------------------------------------------------------------
// 3. model responses
// ---------------------------------------------------------------------------------------------------------------------

struct model_answer {
  std::string text;
  std::uint32_t tokens = 0;
  std::string finish_reason;  // "stop" or "length"

  bool operator==(const model_answer&) const = default;
};

// JSON body of a non-streaming response.
std::string FormatAnswer(const model_request& request, const request_id& id, const model_answer& answer);

// One server-sent event with a piece of text. The last event has a finish reason; in all others it is empty.
std::string FormatStreamEvent(const model_request& request, const request_id& id, std::string_view text,
                              std::string_view finish_reason);

// Error event that ends an incomplete stream, in place of "data: [DONE]".
std::string FormatStreamError(const refusal& reason, const request_id& id);

inline constexpr const char* kStreamEnd = "data: [DONE]\n\n";

}  // namespace persimmon
