// The callers' HTTP interface as values: reading requests, formatting answers and errors. No sockets.
//
// Sections
//   1. refusals
//   2. model requests
//   3. model answers
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

// Stable codes that callers may rely on; docs/operators.md explains each.
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

// Stable text of a code, such as "over_capacity".
const char* RefusalCodeName(refusal_code code);
int RefusalStatus(refusal_code code);

struct refusal {
  refusal_code code = refusal_code::kBadRequest;
  outcome_kind outcome = outcome_kind::kNotRun;
  std::string message;                         // one sentence for people
  milliseconds retry_after = milliseconds(0);  // 0: no time is told

  bool operator==(const refusal&) const = default;
};

// JSON body of a refusal.
std::string FormatRefusal(const refusal& reason, const request_id& request);

// The whole response, with Retry-After and X-Retry-After-Ms where a time is told.
http_response MakeRefusal(const refusal& reason, const request_id& request);

// ---------------------------------------------------------------------------------------------------------------------
// 2. model requests
// ---------------------------------------------------------------------------------------------------------------------

struct model_request {
  std::string model;
  std::string adapter;  // "model:adapter" in the model field; empty: none
  std::string prompt;
  std::uint32_t prompt_tokens = 0;  // estimate: whitespace-separated words
  std::uint32_t max_tokens = 0;
  std::int32_t priority = 0;
  bool stream = false;
  bool chat = false;  // /v1/chat/completions

  bool operator==(const model_request&) const = default;
};

inline constexpr std::uint32_t kDefaultMaxTokens = 128;
inline constexpr std::uint32_t kMaxMaxTokens = 8'192;

// Errors: kInvalid with the field that is wrong.
result<model_request> ParseModelRequest(const http_request& request);

// Request id of the caller, or the fallback if it sent none or one that is not printable or over 128 characters.
request_id ReadRequestId(const http_request& request, std::string fallback);

// The caller's deadline in milliseconds from now. Errors: kInvalid. Absent: nothing.
result<std::optional<milliseconds>> ReadDeadline(const http_request& request);

// API key of the Authorization header; empty if there is none.
std::string ReadApiKey(const http_request& request);

// Lower-case hexadecimal SHA-256.
std::string HashApiKey(std::string_view key);

// ---------------------------------------------------------------------------------------------------------------------
// 3. model answers
// ---------------------------------------------------------------------------------------------------------------------

struct model_answer {
  std::string text;
  std::uint32_t tokens = 0;
  std::string finish_reason;  // "stop" or "length"

  bool operator==(const model_answer&) const = default;
};

// Body of an answer that is not streamed.
std::string FormatAnswer(const model_request& request, const request_id& id, const model_answer& answer);

// One server-sent event with some text; the last one carries the finish reason.
std::string FormatStreamEvent(const model_request& request, const request_id& id, std::string_view text,
                              std::string_view finish_reason);

// Event of a stream that cannot be completed, in place of the final "data: [DONE]".
std::string FormatStreamError(const refusal& reason, const request_id& id);

inline constexpr const char* kStreamEnd = "data: [DONE]\n\n";

}  // namespace persimmon
