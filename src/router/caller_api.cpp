#include "router/caller_api.h"

#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

#include "core/api_key.h"
#include "persimmon/prefix_index.h"

namespace persimmon {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxRequestIdLength = 128;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

struct code_entry {
  refusal_code code;
  const char* name;
  int status;
};

constexpr std::array kCodes = {
    code_entry{refusal_code::kBadRequest, "bad_request", 400},
    code_entry{refusal_code::kUnauthorized, "unauthorized", 401},
    code_entry{refusal_code::kUnknownModel, "unknown_model", 404},
    code_entry{refusal_code::kUnknownRoute, "unknown_route", 404},
    code_entry{refusal_code::kBodyTooLarge, "body_too_large", 413},
    code_entry{refusal_code::kAccountLimit, "account_limit", 429},
    code_entry{refusal_code::kOverCapacity, "over_capacity", 429},
    code_entry{refusal_code::kDeadlineUnreachable, "deadline_unreachable", 503},
    code_entry{refusal_code::kSuspectRequest, "suspect_request", 503},
    code_entry{refusal_code::kStoreUnavailable, "store_unavailable", 503},
    code_entry{refusal_code::kAlreadyAnswered, "already_answered", 409},
    code_entry{refusal_code::kInProgress, "in_progress", 409},
    code_entry{refusal_code::kDraining, "draining", 503},
    code_entry{refusal_code::kEndpointLost, "endpoint_lost", 502},
    code_entry{refusal_code::kNoEndpoint, "no_endpoint", 503},
    code_entry{refusal_code::kTimeout, "timeout", 504},
    code_entry{refusal_code::kConnectionLimit, "connection_limit", 503},
};

const code_entry& FindCode(refusal_code code) { return kCodes[static_cast<std::size_t>(code)]; }

error InvalidField(std::string_view field, std::string_view rule) {
  return error{error_code::kInvalid, fmt::format("field '{}' {}", field, rule)};
}

// Messages of one chat that are kept as parts of its prompt, so that a caller cannot make the router keep many.
constexpr std::size_t kMaxSharedParts = 32;

// Flattens the messages of a chat request into one prompt, with one "role: content" line per message. Adds the hashes
// of all messages but the last to `shared_parts`.
result<std::string> BuildChatPrompt(const json& body, std::vector<std::uint64_t>& shared_parts) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return InvalidField("messages", "must be a list with at least one message");
  }
  std::string prompt;
  for (const json& item : *messages) {
    const bool is_message = item.is_object() && item.contains("role") && item["role"].is_string() &&
                            item.contains("content") && item["content"].is_string();
    if (!is_message) {
      return InvalidField("messages", "must hold objects with the texts 'role' and 'content'");
    }
    const std::string line = item["role"].get<std::string>() + ": " + item["content"].get<std::string>() + "\n";
    prompt += line;
    const bool is_last = &item == &messages->back();
    if (!is_last && shared_parts.size() < kMaxSharedParts) {
      shared_parts.push_back(XXH64(line.data(), line.size(), 0));
    }
  }
  return prompt;
}

json MakeStreamChoice(const model_request& request, std::string_view text, std::string_view finish_reason) {
  json choice = {{"index", 0}};
  if (request.chat) {
    choice["delta"] = text.empty() ? json::object() : json{{"content", text}};
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = finish_reason.empty() ? json() : json(finish_reason);
  return choice;
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. refusals
// ---------------------------------------------------------------------------------------------------------------------

const char* RefusalCodeName(refusal_code code) { return FindCode(code).name; }
int RefusalStatus(refusal_code code) { return FindCode(code).status; }

std::string FormatRefusal(const refusal& reason, const request_id& request) {
  json body;
  body["error"] = {{"code", RefusalCodeName(reason.code)},
                   {"outcome", OutcomeName(reason.outcome)},
                   {"message", reason.message},
                   {"request_id", request.value}};
  if (reason.retry_after.count() > 0) {
    body["error"]["retry_after_ms"] = reason.retry_after.count();
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

http_response MakeRefusal(const refusal& reason, const request_id& request) {
  http_response response = JsonResponse(RefusalStatus(reason.code), FormatRefusal(reason, request));
  response.headers.push_back({"X-Request-Id", request.value});
  if (reason.retry_after.count() > 0) {
    const auto seconds = (reason.retry_after.count() + 999) / 1000;
    response.headers.push_back({"Retry-After", std::to_string(seconds)});
    response.headers.push_back({"X-Retry-After-Ms", std::to_string(reason.retry_after.count())});
  }
  return response;
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. model requests
// ---------------------------------------------------------------------------------------------------------------------

result<model_request> ParseModelRequest(const http_request& request) {
  const json body = json::parse(request.body.Text(), nullptr, false);
  if (body.is_discarded() || !body.is_object()) {
    return error{error_code::kInvalid, "the body is not a JSON object"};
  }
  model_request parsed;
  parsed.chat = request.target.starts_with("/v1/chat/");
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string() || model->get_ref<const std::string&>().empty()) {
    return InvalidField("model", "must be a text");
  }
  const std::string full_name = model->get<std::string>();
  const auto colon = full_name.find(':');
  parsed.model = full_name.substr(0, colon);
  parsed.adapter = colon == std::string::npos ? "" : full_name.substr(colon + 1);
  if (parsed.chat) {
    auto prompt = BuildChatPrompt(body, parsed.shared_parts);
    if (!prompt) {
      return prompt.error();
    }
    parsed.prompt = std::move(prompt.value());
  } else {
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string()) {
      return InvalidField("prompt", "must be a text");
    }
    parsed.prompt = prompt->get<std::string>();
  }
  parsed.prompt_tokens = CountPromptTokens(parsed.prompt);
  if (parsed.prompt_tokens == 0) {
    return InvalidField(parsed.chat ? "messages" : "prompt", "must not be empty");
  }
  parsed.max_tokens = kDefaultMaxTokens;
  if (const auto limit = body.find("max_tokens"); limit != body.end()) {
    if (!limit->is_number_integer() || limit->get<std::int64_t>() < 1 || limit->get<std::int64_t>() > kMaxTokensLimit) {
      return InvalidField("max_tokens", fmt::format("must be a whole number from 1 to {}", kMaxTokensLimit));
    }
    parsed.max_tokens = limit->get<std::uint32_t>();
  }
  if (const auto stream = body.find("stream"); stream != body.end()) {
    if (!stream->is_boolean()) {
      return InvalidField("stream", "must be true or false");
    }
    parsed.stream = stream->get<bool>();
  }
  if (const auto priority = body.find("priority"); priority != body.end()) {
    if (!priority->is_number_integer() || std::abs(priority->get<std::int64_t>()) > 100) {
      return InvalidField("priority", "must be a whole number from -100 to 100");
    }
    parsed.priority = priority->get<std::int32_t>();
  }
  return parsed;
}

request_id ReadRequestId(const http_request& request, std::string fallback) {
  const std::string_view id_header = FindHeader(request.headers, "X-Request-Id");
  const bool printable = std::all_of(id_header.begin(), id_header.end(), [](char character) {
    return std::isgraph(static_cast<unsigned char>(character)) != 0;
  });
  if (id_header.empty() || id_header.size() > kMaxRequestIdLength || !printable) {
    return request_id{std::move(fallback)};
  }
  return request_id{std::string(id_header)};
}

result<std::optional<milliseconds>> ReadDeadline(const http_request& request) {
  const std::string_view text = FindHeader(request.headers, "X-Deadline-Ms");
  if (text.empty()) {
    return std::optional<milliseconds>();
  }
  std::int64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || number < 1 || number > kMaxDeadlineMs) {
    return error{error_code::kInvalid,
                 fmt::format("header X-Deadline-Ms must be a whole number from 1 to {}", kMaxDeadlineMs)};
  }
  return std::optional<milliseconds>(milliseconds(number));
}

std::string ReadApiKey(const http_request& request) {
  return std::string(ParseBearerKey(FindHeader(request.headers, "Authorization")));
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. model responses
// ---------------------------------------------------------------------------------------------------------------------

std::string FormatAnswer(const model_request& request, const request_id& id, const model_answer& answer) {
  json choice = {{"index", 0}, {"finish_reason", answer.finish_reason}};
  if (request.chat) {
    choice["message"] = {{"role", "assistant"}, {"content", answer.text}};
  } else {
    choice["text"] = answer.text;
  }
  const json body = {{"id", id.value},
                     {"object", request.chat ? "chat.completion" : "text_completion"},
                     {"model", request.model},
                     {"choices", json::array({choice})},
                     {"usage",
                      {{"prompt_tokens", request.prompt_tokens},
                       {"completion_tokens", answer.tokens},
                       {"total_tokens", request.prompt_tokens + answer.tokens}}}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string FormatStreamEvent(const model_request& request, const request_id& id, std::string_view text,
                              std::string_view finish_reason) {
  const json body = {{"id", id.value},
                     {"object", request.chat ? "chat.completion.chunk" : "text_completion"},
                     {"model", request.model},
                     {"choices", json::array({MakeStreamChoice(request, text, finish_reason)})}};
  return "data: " + body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

std::string FormatStreamError(const refusal& reason, const request_id& id) {
  return "data: " + FormatRefusal(reason, id) + "\n\n";
}

}  // namespace persimmon
