#include "direct/direct_call.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "direct/suspect_tracker.h"

namespace persimmon {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr const char* kStopReason = "stopping";
constexpr milliseconds kStopRetryAfter(20);  // another router can take the request at once

}  // namespace

const char* CallOutcomeName(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::kAnswered:
      return "answered";
    case call_outcome::kRefused:
      return "refused";
    case call_outcome::kFailed:
      return "failed";
    case call_outcome::kCallerDisconnected:
      return "caller_gone";
  }
  return "unknown";
}

http_response MakeRouterResponse(int status, std::string body, const std::string& attempt,
                                 std::optional<milliseconds> retry_after) {
  http_response response = JsonResponse(status, std::move(body));
  for (header_field& field : platform::RouterResponseHeaders(attempt)) {
    response.headers.push_back(std::move(field));
  }
  if (retry_after) {
    response.headers.push_back({"Retry-After", fmt::format("{:.3f}", static_cast<double>(retry_after->count()) / 1e3)});
  }
  return response;
}

direct_call::direct_call(std::shared_ptr<http_exchange> exchange, platform::request_metadata metadata,
                         const routing_table& table, const route_record& route, const service_record& service,
                         time_point arrival)
    : exchange_(std::move(exchange)),
      metadata_(std::move(metadata)),
      revision_(table.Revision()),
      route_(route),
      service_(service),
      has_accounts_(table.Accounts().has_value()),
      has_key_headers_(!has_accounts_),
      forwarded_(platform::MakeForwardedRequest(exchange_->Request(), has_key_headers_
                                                                          ? platform::account_headers::kForward
                                                                          : platform::account_headers::kRemove)),
      fingerprint_(suspect_tracker::Fingerprint(forwarded_)),
      arrival_(arrival),
      deadline_(arrival + std::min(route.timeout, metadata_.time_budget.value_or(route.timeout))) {}

void direct_call::WatchCaller() {
  exchange_->OnDisconnect([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->caller_disconnected_ = true;
      if (auto cancel = std::exchange(self->cancel_upstream_, nullptr)) {
        cancel();
      }
    }
  });
}

void direct_call::ContinueAt(const service_record& service, std::string version) {
  service_ = service;
  engine_version = service.engine ? std::optional(std::move(version)) : std::nullopt;
}

void direct_call::SetDisconnectHandler(std::function<void()> cancel) {
  if (caller_disconnected_) {
    cancel();
  } else {
    cancel_upstream_ = std::move(cancel);
  }
}

milliseconds direct_call::TimeLeft(time_point now) const {
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(deadline_ - now));
}

milliseconds direct_call::Age(time_point now) const { return std::chrono::duration_cast<milliseconds>(now - arrival_); }

void direct_call::RemoveKeyHeaders() {
  forwarded_ = platform::MakeForwardedRequest(exchange_->Request(), platform::account_headers::kRemove);
  has_key_headers_ = false;
}

void direct_call::SetAccount(const caller_account* account) {
  account_.reset();
  if (account != nullptr) {
    account_ =
        caller_account{account->name, {}, account->priority, account->unit, account->plain_tokens, account->limit};
  }
  platform::SetAccountHeader(forwarded_, account_ ? account_->name.value : std::string());
}

bool direct_call::HasUsed(connection_number connection) const {
  return std::find(used_connections_.begin(), used_connections_.end(), connection) != used_connections_.end();
}

http_response direct_call::MakeErrorResponse(int status, const std::string& code,
                                             std::optional<milliseconds> retry_after, bool not_run) const {
  const nlohmann::json body = {
      {"error",
       {{"code", code}, {"outcome", not_run ? "not_run" : "may_have_run"}, {"request_id", metadata_.attempt}}}};
  std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  http_response response = MakeRouterResponse(status, std::move(text), metadata_.attempt, retry_after);
  if (status == kUnauthorized) {
    response.headers.push_back({"WWW-Authenticate", "Bearer"});  // required by RFC 9110, section 15.5.2
  }
  return response;
}

task<void> direct_call::RespondWithError(int status, const std::string& code, std::optional<milliseconds> retry_after,
                                         bool not_run) {
  http_response response = MakeErrorResponse(status, code, retry_after, not_run);
  // A failed write means that the caller has disconnected; the exchange reports that through OnDisconnect.
  (void)co_await exchange_->Respond(std::move(response));
}

task<call_outcome> direct_call::Refuse(std::string code, milliseconds retry_after) {
  // A variable, because GCC 12 destroys an aggregate temporary in a co_await expression twice.
  call_refusal refusal{503, std::move(code), retry_after};
  co_return co_await Refuse(std::move(refusal));
}

task<call_outcome> direct_call::Refuse(call_refusal refusal) {
  reason = refusal.code;
  co_await RespondWithError(refusal.status, refusal.code, refusal.retry_after, true);
  co_return call_outcome::kRefused;
}

task<call_outcome> direct_call::Fail(int status, std::string code) {
  reason = std::move(code);
  co_await RespondWithError(status, reason, std::nullopt, false);
  co_return call_outcome::kFailed;
}

call_outcome direct_call::AbortResponse(const std::string& code) {
  reason = code;
  exchange_->AbortStream();
  return call_outcome::kFailed;
}

call_outcome direct_call::EndAsCallerDisconnected() {
  reason = stop_outcome_ ? kStopReason : "caller_gone";
  return stop_outcome_.value_or(call_outcome::kCallerDisconnected);
}

task<> direct_call::EndForStop() {
  const auto self = shared_from_this();
  if (caller_disconnected_ || exchange_->IsStarted()) {
    co_return;
  }
  // Nothing is sent to an endpoint from here on, so what is stated stays true.
  caller_disconnected_ = true;
  if (auto cancel = std::exchange(cancel_upstream_, nullptr)) {
    cancel();
  }
  stop_outcome_ = was_sent ? call_outcome::kFailed : call_outcome::kRefused;
  http_response response = was_sent ? MakeErrorResponse(kBadGateway, kStopReason, std::nullopt, false)
                                    : MakeErrorResponse(kUnavailable, kStopReason, kStopRetryAfter, true);
  (void)co_await exchange_->RespondInstead(std::move(response));
}

task<result<std::string>> ReadBufferedBody(http_call& upstream, time_point deadline, shared_limit::share memory) {
  std::string body;
  while (true) {
    auto piece = co_await upstream.Read(deadline);
    if (!piece || piece.value().empty()) {
      co_return piece ? result<std::string>(std::move(body)) : piece;
    }
    body += piece.value();
    if (body.size() > kMaxBufferedBytes) {
      co_return error{error_code::kProtocol, fmt::format("a body to buffer exceeds {} bytes", kMaxBufferedBytes)};
    }
    if (!memory.Resize(body.size())) {
      co_return error{error_code::kProtocol, kNoAnswerMemory};
    }
  }
}

}  // namespace persimmon
