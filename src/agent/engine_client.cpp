#include "agent/engine_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace persimmon {
namespace {

using json = nlohmann::json;

constexpr milliseconds kControlTimeout(1'000);
constexpr std::size_t kMaxControlBodyBytes = 4U << 20U;  // states and lists of cache events
constexpr std::size_t kMaxLineBytes = 1U << 20U;         // of a stream; also of the body of a refusal

http_client_limits ControlLimits() {
  http_client_limits limits;
  limits.connect_timeout = kControlTimeout;
  limits.response_timeout = kControlTimeout;
  // No answer names its request, and an engine may write one twice. Some ten exchanges a second, all within a VM.
  limits.idle_connections = 0;
  limits.body_bytes = kMaxControlBodyBytes;
  return limits;
}

http_client_limits StreamLimits(milliseconds stream_timeout) {
  http_client_limits limits;
  limits.connect_timeout = kControlTimeout;
  limits.response_timeout = stream_timeout;
  limits.idle_timeout = stream_timeout;
  // The lines of a stream do not name their request, so a late second copy of one must not meet the next.
  limits.idle_connections = 0;
  limits.body_bytes = kMaxLineBytes;
  return limits;
}

error MakeProtocolError(std::string_view what) {
  return error{error_code::kProtocol, fmt::format("cannot parse the engine's {}", what)};
}

std::vector<std::string> ParseSortedList(const json& value, const char* key) {
  auto list = value.at(key).get<std::vector<std::string>>();
  std::sort(list.begin(), list.end());
  return list;
}

std::optional<fencing_token> ParseFencingToken(const json& value, const char* key) {
  if (!value.contains(key) || value.at(key).is_null()) {
    return std::nullopt;
  }
  const json& token = value.at(key);
  return fencing_token{token.at("revision").get<revision_number>(), token.at("incarnation").get<incarnation_number>()};
}

result<engine_state> ParseEngineState(const std::string& body) {
  try {
    const json value = json::parse(body);
    engine_state state;
    state.setup.roles = ParseSortedList(value, "roles");
    state.setup.models = ParseSortedList(value, "models");
    state.setup.adapters = ParseSortedList(value, "adapters");
    state.highest_token = ParseFencingToken(value, "fence");
    state.decode_slots = value.at("decode_slots").get<std::uint32_t>();
    return state;
  } catch (const json::exception&) {
    return MakeProtocolError("state");
  }
}

result<std::vector<cache_event>> ParseCacheEvents(const std::string& body) {
  try {
    std::vector<cache_event> events;
    const json value = json::parse(body);
    for (const json& item : value.at("events")) {
      events.push_back({item.at("sequence").get<std::uint64_t>(), item.at("prefix").get<std::uint64_t>(),
                        item.at("stored").get<bool>()});
    }
    return events;
  } catch (const json::exception&) {
    return MakeProtocolError("cache events");
  }
}

result<command_reply> ParseCommandReply(const http_response& response) {
  if (response.status == 200) {
    return command_reply{true, std::nullopt};
  }
  if (response.status != 409) {
    return error{error_code::kInvalid,
                 fmt::format("the engine answered a command with HTTP status {}", response.status)};
  }
  try {
    return command_reply{false, ParseFencingToken(json::parse(response.body), "highest")};
  } catch (const json::exception&) {
    return MakeProtocolError("refusal of a command");
  }
}

// Invalid UTF-8 is replaced instead of being rejected, because accepting or refusing a prompt is up to the engine.
std::string DumpJson(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

http_request MakeRequest(const char* method, std::string target, std::string body = {}) {
  http_request request;
  request.method = method;
  request.target = std::move(target);
  if (!body.empty()) {
    request.headers.push_back({"Content-Type", "application/json"});
  }
  request.body = std::move(body);
  return request;
}

}  // namespace

engine_client::engine_client(asio::io_context& context, host_port address, milliseconds stream_timeout)
    : address_(std::move(address)),
      control_(context, ControlLimits()),
      streams_(context, StreamLimits(stream_timeout)) {}

task<result<http_response>> engine_client::FetchControl(http_request request) {
  const time_point sent = timer_service::Now();
  auto reply = co_await control_.Fetch(address_, std::move(request));
  if (reply && on_response) {
    on_response(reply.value().Head(), sent);
  }
  co_return reply;
}

task<result<engine_state>> engine_client::ReadState() {
  http_request request = MakeRequest("GET", "/v1/state");
  auto reply = co_await FetchControl(std::move(request));
  if (!reply) {
    co_return reply.error();
  }
  co_return ParseEngineState(reply.value().body);
}

task<result<command_reply>> engine_client::SendCommand(fencing_token token, engine_setup setup) {
  const json body = {{"fence", {{"revision", token.revision}, {"incarnation", token.incarnation}}},
                     {"roles", setup.roles},
                     {"models", setup.models},
                     {"adapters", setup.adapters}};
  http_request request = MakeRequest("POST", "/v1/commands", DumpJson(body));
  auto reply = co_await FetchControl(std::move(request));
  if (!reply) {
    co_return reply.error();
  }
  co_return ParseCommandReply(reply.value());
}

task<result<std::vector<cache_event>>> engine_client::ReadCacheEvents(std::uint64_t after) {
  http_request request = MakeRequest("GET", fmt::format("/v1/cache-events?after={}", after));
  auto reply = co_await FetchControl(std::move(request));
  if (!reply) {
    co_return reply.error();
  }
  co_return ParseCacheEvents(reply.value().body);
}

task<result<bool>> engine_client::CancelWork(std::string id) {
  const json body = {{"id", id}};
  http_request request = MakeRequest("POST", "/v1/cancel", DumpJson(body));
  auto reply = co_await FetchControl(std::move(request));
  if (!reply) {
    co_return reply.error();
  }
  const json value = json::parse(reply.value().body, nullptr, false);
  co_return value.is_object() && value.value("cancelled", false);
}

task<result<void>> engine_client::Prefill(start_prefill work, std::string traceparent,
                                          http_client::line_handler on_line) {
  const json body = {{"id", work.attempt.value}, {"model", work.model},       {"adapter", work.adapter},
                     {"prompt", work.prompt},    {"priority", work.priority}, {"resume_tokens", work.resume_tokens}};
  std::string text = DumpJson(body);
  co_return co_await Stream("/v1/prefill", std::move(text), std::move(traceparent), std::move(on_line));
}

task<result<void>> engine_client::Decode(start_decode work, std::string traceparent,
                                         http_client::line_handler on_line) {
  const json body = {{"id", work.attempt.value},     {"source", work.ticket.engine},  {"kv", work.ticket.id},
                     {"pieces", work.ticket.pieces}, {"max_tokens", work.max_tokens}, {"offset", work.offset},
                     {"priority", work.priority}};
  std::string text = DumpJson(body);
  co_return co_await Stream("/v1/decode", std::move(text), std::move(traceparent), std::move(on_line));
}

task<result<void>> engine_client::Stream(std::string path, std::string body, std::string traceparent,
                                         http_client::line_handler on_line) {
  http_request request = MakeRequest("POST", std::move(path), std::move(body));
  request.headers.push_back({"traceparent", std::move(traceparent)});
  http_client::head_handler on_head;
  if (on_response) {
    on_head = [this, sent = timer_service::Now()](const http_response_head& head) { on_response(head, sent); };
  }
  auto reply = co_await streams_.FetchLines(address_, std::move(request), std::move(on_line), std::move(on_head));
  if (!reply) {
    co_return reply.error();
  }
  if (reply.value().status != 200) {
    const json value = json::parse(reply.value().body, nullptr, false);
    const std::string reason = value.is_object() ? value.value("error", "") : "";
    co_return error{error_code::kInvalid,
                    reason.empty() ? fmt::format("engine_status_{}", reply.value().status) : reason};
  }
  co_return outcome::success();
}

}  // namespace persimmon
