#include "direct/caller_auth.h"

#include <algorithm>

#include "core/api_key.h"
#include "core/random.h"
#include "core/telemetry.h"
#include "net/channel.h"

namespace persimmon {
namespace {

// Reasons of refusals, in responses and logs.
constexpr const char* kKeyMissing = "key_missing";
constexpr const char* kKeyUnknown = "key_unknown";
constexpr const char* kKeyMayBeNew = "key_may_be_new";
constexpr const char* kKeyRevoked = "key_revoked";
constexpr const char* kKeysUnconfirmed = "keys_unconfirmed";

constexpr int kUnauthorized = 401;
constexpr int kUnavailable = 503;
// Retry-After while a key may be new; other routers are asked for a newer desired state twice in this time.
constexpr milliseconds kMayBeNewRetryAfter(800);
constexpr milliseconds kUnconfirmedRetryAfter(1'000);

milliseconds WithJitter(milliseconds base) {
  return std::chrono::duration_cast<milliseconds>(base * (1 + RandomUnit()));
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
}

// With strict revocation, a router cut off from the store must not serve keys that may have been revoked.
bool caller_auth::IsConfirmed() const {
  const auto& deployment = settings_.deployment;
  if (!deployment.strict_revoke) {
    return true;
  }
  const auto answered = directory_->LastStoreAnswer();
  return answered && timer_service::Now() - *answered <= deployment.revoke_time;
}

caller_auth::key_check caller_auth::Check(const direct_call& call,
                                          const std::shared_ptr<const routing_table>& routes) const {
  const auto& accounts = routes->Accounts();
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
    return {key_verdict::kAccepted, std::shared_ptr<const caller_account>(routes, account)};
  }
  if (call.Route().anonymous) {
    return {};
  }
  if (!has_key) {
    return {key_verdict::kMissing, nullptr};
  }
  const bool may_be_new = !directory_->FollowsDesiredState() || group_->NewestPeerRevision() > routes->Revision();
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
  key_check checked = Check(call, routes);
  switch (checked.verdict) {
    case key_verdict::kAccepted:
      call.checked_revision = routes->Revision();
      if (checked.account || call.Account() != nullptr) {
        call.SetAccount(std::move(checked.account));
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
    if (!check()) {
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
  const key_check checked = Check(call, routes);
  const caller_account* named = call.Account();
  const bool has_same_name =
      checked.account ? named != nullptr && named->name == checked.account->name : named == nullptr;
  return checked.verdict == key_verdict::kAccepted && has_same_name;
}

void caller_auth::CountResult(const direct_call& call) {
  if (!call.Table().Accounts()) {
    return;
  }
  const char* result = call.Account() != nullptr ? "accepted" : "anonymous";
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
