#include "direct/caller_auth.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

#include "core/api_key.h"
#include "core/random.h"
#include "core/telemetry.h"
#include "net/channel.h"
#include "platform/json_text.h"

namespace persimmon {
namespace {

// Reasons of refusals, in responses and logs.
constexpr const char* kKeyMissing = "key_missing";
constexpr const char* kKeyUnknown = "key_unknown";
constexpr const char* kKeyMayBeNew = "key_may_be_new";
constexpr const char* kKeyRevoked = "key_revoked";
constexpr const char* kKeysUnconfirmed = "keys_unconfirmed";

constexpr std::string_view kQuestion = "/confirmation?id=";  // followed by a random number that the answer repeats

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kUnavailable = 503;
// Retry-After while a key may be new; other routers are asked for a newer desired state twice in this time.
constexpr milliseconds kMayBeNewRetryAfter(800);
constexpr milliseconds kUnconfirmedRetryAfter(1'000);
// Other routers are asked for a confirmation once this part of revoke_time has passed since the latest one. The rest
// is enough for two rounds.
constexpr double kAskAfterShare = 0.6;
constexpr int kAskRounds = 8;             // per revoke_time
constexpr std::size_t kAskedRouters = 3;  // in one round
constexpr milliseconds kMinAskPeriod(20);
constexpr milliseconds kMaxConfirmationAge(3'600'000);  // longer than any useful revoke_time

milliseconds WithJitter(milliseconds base) {
  return std::chrono::duration_cast<milliseconds>(base * (1 + RandomUnit()));
}

std::optional<std::uint64_t> ReadQuestionId(std::string_view target) {
  std::uint64_t id = 0;
  if (!target.starts_with(kQuestion)) {
    return std::nullopt;
  }
  const char* end = target.data() + target.size();
  const auto parsed = std::from_chars(target.data() + kQuestion.size(), end, id);
  return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(id) : std::nullopt;
}

bool HoldsKey(const caller_account& account, const std::string& key_hash) {
  return std::any_of(account.key_hashes.begin(), account.key_hashes.end(),
                     [&](const std::string& hash) { return ConstantTimeEquals(hash, key_hash); });
}

}  // namespace

void caller_auth::Start() {
  directory_ = &kernel_.Find<deployment_directory>("directory");
  group_ = &kernel_.Find<router_group>("group");
  metrics_ = &kernel_.Find<telemetry>("telemetry").Metrics();
  if (settings_.deployment.strict_revoke) {
    asio::co_spawn(kernel_.Context(), FollowPeers(), asio::detached);
  }
}

std::optional<time_point> caller_auth::ConfirmedAt() const {
  auto confirmed_at = std::max(directory_->ConfirmedAt(), confirmed_by_peer_at_);  // an absent time is the least
  if (newer_revision_ != 0 && newer_revision_ <= directory_->Routes()->Revision()) {
    confirmed_at = std::max(confirmed_at, std::optional<time_point>(newer_confirmed_at_));
  }
  return confirmed_at;
}

// With strict revocation, a router cut off from the store must not serve keys that may have been revoked.
bool caller_auth::IsConfirmed() const {
  const auto& deployment = settings_.deployment;
  const auto confirmed_at = deployment.strict_revoke ? ConfirmedAt() : std::nullopt;
  return !deployment.strict_revoke || (confirmed_at && timer_service::Now() - *confirmed_at <= deployment.revoke_time);
}

std::string caller_auth::ExportConfirmation(std::string_view target) const {
  const auto id = ReadQuestionId(target);
  const auto confirmed_at = ConfirmedAt();
  if (!confirmed_at) {
    return {};
  }
  // Rounded up, so that a confirmation that is passed on repeatedly does not become newer.
  const std::int64_t age_ms = ElapsedMs(*confirmed_at, timer_service::Now()) + 1;
  nlohmann::json confirmation = {{"revision", directory_->Routes()->Revision()}, {"age_ms", age_ms}};
  if (id) {
    confirmation["id"] = *id;
  }
  return confirmation.dump();
}

// Asks other routers while the store does not confirm the desired state. They pass on what others have told them, so
// that one router that reaches the store is enough.
task<> caller_auth::FollowPeers() {
  const milliseconds revoke_time = settings_.deployment.revoke_time;
  while (!stopped_) {
    co_await kernel_.Timers().Sleep(std::max(revoke_time / kAskRounds, kMinAskPeriod));
    const auto confirmed_at = ConfirmedAt();
    const bool is_recent = confirmed_at && timer_service::Now() - *confirmed_at < kAskAfterShare * revoke_time;
    if (stopped_ || is_recent || !directory_->Routes()->Accounts()) {
      continue;
    }
    std::vector<host_port> addresses = group_->ControlAddresses();
    for (std::size_t i = 0; i < std::min(kAskedRouters, addresses.size()); ++i) {
      std::swap(addresses[i], addresses[i + RandomNumber() % (addresses.size() - i)]);
      asio::co_spawn(kernel_.Context(), AskPeer(addresses[i]), asio::detached);
    }
  }
}

task<> caller_auth::AskPeer(host_port address) {
  const time_point asked_at = timer_service::Now();
  const milliseconds timeout = std::max(settings_.deployment.revoke_time / kAskRounds, kMinAskPeriod);
  // The age counts from this question, so the answer to an earlier one would make a confirmation newer than it is.
  const std::uint64_t id = RandomNumber();
  http_request request{"GET", fmt::format("{}{}", kQuestion, id), {}, {}, {}};
  http_client::response_filter matches = [id](const http_response& candidate) {
    const auto body = platform::ParseJson(candidate.body);
    return candidate.status != kOk || (body.is_object() && body.contains("id") && body["id"] == id);
  };
  const auto response = co_await client_.Fetch(address, std::move(request), timeout, std::move(matches));
  if (!response || response.value().status != kOk) {
    co_return;
  }
  const auto body = platform::ParseJson(response.value().body);
  const bool is_valid = body.contains("revision") && body["revision"].is_number_unsigned() && body.contains("age_ms") &&
                        body["age_ms"].is_number_unsigned();
  if (!is_valid) {
    co_return;
  }
  const auto revision = body["revision"].get<revision_number>();
  const auto age = std::min(milliseconds(body["age_ms"].get<std::uint32_t>()), kMaxConfirmationAge);
  const time_point at = asked_at - age;
  if (revision <= directory_->Routes()->Revision()) {
    confirmed_by_peer_at_ = std::max(confirmed_by_peer_at_, std::optional<time_point>(at));
  } else if (newer_revision_ == 0 || at > newer_confirmed_at_) {
    newer_revision_ = revision;
    newer_confirmed_at_ = at;
  }
}

caller_auth::key_check caller_auth::Check(const direct_call& call, const routing_table& routes) const {
  const auto& accounts = routes.Accounts();
  if (!accounts) {
    return {};
  }
  const bool has_key = !call.key_hash.empty();
  if (has_key && !IsConfirmed()) {
    return {key_verdict::kUnconfirmed, nullptr};
  }
  // A lookup by hash does not reveal a key through its timing, because callers cannot choose the hash of a key.
  const caller_account* account = has_key ? accounts->FindByKeyHash(call.key_hash) : nullptr;
  if (account != nullptr && HoldsKey(*account, call.key_hash)) {
    return {key_verdict::kAccepted, account};
  }
  if (call.Route().anonymous) {
    return {};
  }
  if (!has_key) {
    return {key_verdict::kMissing, nullptr};
  }
  const bool may_be_new = !directory_->FollowsDesiredState() || group_->NewestPeerRevision() > routes.Revision();
  return {may_be_new ? key_verdict::kMayBeNew : key_verdict::kUnknown, nullptr};
}

std::optional<call_refusal> caller_auth::Authenticate(direct_call& call) { return Apply(call, true); }

std::optional<call_refusal> caller_auth::Recheck(direct_call& call) {
  auto refused = Apply(call, false);
  return call.has_response ? std::nullopt : std::move(refused);
}

std::optional<call_refusal> caller_auth::Apply(direct_call& call, bool is_new) {
  const auto routes = directory_->Routes();
  const bool has_accounts = routes->Accounts().has_value();
  const bool is_unchanged = !is_new && call.checked_revision == routes->Revision();
  if (is_unchanged && (!has_accounts || IsConfirmed())) {
    return std::nullopt;
  }
  if (has_accounts && call.HasKeyHeaders()) {
    call.RemoveKeyHeaders();  // accounts have been introduced since the request arrived
    is_new = true;
  }
  if (has_accounts && is_new) {
    const std::string_view key = ParseBearerKey(platform::FindAuthorization(call.Exchange().Request().headers));
    call.key_hash = key.empty() ? std::string() : HashApiKey(key);
  }
  const key_check checked = Check(call, *routes);
  switch (checked.verdict) {
    case key_verdict::kAccepted:
      call.checked_revision = routes->Revision();
      if (checked.account != nullptr || call.Account()) {
        call.SetAccount(checked.account);
      }
      return std::nullopt;
    case key_verdict::kMissing:
      return call_refusal{kUnauthorized, kKeyMissing, std::nullopt};
    case key_verdict::kUnconfirmed:
      return call_refusal{kUnavailable, kKeysUnconfirmed, WithJitter(kUnconfirmedRetryAfter)};
    case key_verdict::kMayBeNew:
      if (is_new) {
        return call_refusal{kUnavailable, kKeyMayBeNew, WithJitter(kMayBeNewRetryAfter)};
      }
      break;  // the key was known when the request arrived
    case key_verdict::kUnknown:
      break;
  }
  return call_refusal{kUnauthorized, is_new ? kKeyUnknown : kKeyRevoked, std::nullopt};
}

http_call::send_check caller_auth::MakeSendCheck(direct_call_ptr call, http_call::send_check check) {
  call->is_send_refused = false;
  return [this, call = std::move(call), check = std::move(check)] {
    if (call->IsCallerDisconnected() || !check()) {
      return false;
    }
    call->is_send_refused = !IsAccountCurrent(*call);
    call->was_sent = call->was_sent || !call->is_send_refused;
    return !call->is_send_refused;
  };
}

// True if the request may be sent as it is, with the account that it names.
bool caller_auth::IsAccountCurrent(const direct_call& call) const {
  const auto routes = directory_->Routes();
  if (!routes->Accounts() || (call.checked_revision == routes->Revision() && IsConfirmed())) {
    return true;
  }
  if (call.HasKeyHeaders() || call.has_response) {
    return !call.HasKeyHeaders();
  }
  const key_check checked = Check(call, *routes);
  const bool has_same_name =
      checked.account == nullptr ? !call.Account() : call.Account() && call.Account()->name == checked.account->name;
  return checked.verdict == key_verdict::kAccepted && has_same_name;
}

void caller_auth::CountResult(const direct_call& call) {
  if (!call.HasAccounts()) {
    return;
  }
  const char* result = call.Account() ? "accepted" : "anonymous";
  for (const char* refusal : {kKeyMissing, kKeyUnknown, kKeyMayBeNew, kKeyRevoked, kKeysUnconfirmed, kOverLimit}) {
    if (call.reason == refusal) {
      result = refusal;
    }
  }
  metrics_
      ->AddCounter("persimmon_account_checks_total", "Requests by the result of the account check.",
                   {{"result", result}})
      .Increment();
}

}  // namespace persimmon
