// Sections
//   1. accounts
//   2. suspects
#include "router/guards.h"

#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "core/log.h"

namespace persimmon {
namespace {

const logger& Log() {
  static const logger log("router.guards");
  return log;
}

constexpr milliseconds kLoanTimeout(250);  // an unanswered request for tokens fails after this
constexpr milliseconds kBorrowPause(5);    // between two looks for borrowed tokens
constexpr milliseconds kHousekeeping(100);
constexpr milliseconds kSameCrash(1'000);  // losses of one endpoint within this time are one crash

account_limit LimitOf(const account_record& account) {
  return account_limit{account.tokens_per_second, account.burst_tokens};
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. accounts
// ---------------------------------------------------------------------------------------------------------------------

account_guard::account_guard(kernel& services, const router_settings& settings)
    : kernel_(services), settings_(settings) {}

void account_guard::Start() {
  kernel_.Find<config_store>("config").Subscribe(
      [this](const std::shared_ptr<const configuration>& config) { ApplyConfiguration(*config); });
  kernel_.Find<peer_directory>("peers").SubscribeMessages(
      [this](const channel_ptr& from, const message& value) { HandleMessage(from, value); });
  tick_ = kernel_.Timers().SubscribeEvery(kHousekeeping, 0, [this] {
    ExpireLoans();
    lender_.ExpireBuckets(timer_service::Now());
    table_.ExpireAccounts(timer_service::Now());
  });
}

void account_guard::Stop() { tick_.Cancel(); }

void account_guard::ApplyConfiguration(const configuration& config) {
  by_key_hash_.clear();
  by_name_.clear();
  for (const auto& [name, account] : config.accounts) {
    by_key_hash_[account.api_key_sha256] = account;
    by_name_[name] = account;
  }
}

guarded<admitted_account> account_guard::Authenticate(const http_request& request) {
  const std::string key = ReadApiKey(request);
  account_record record;
  record.name.value = "anonymous";
  if (settings_.accounts_required || !key.empty()) {
    // The look-up compares hashes, whose order tells a caller nothing about a key; the last comparison takes constant
    // time.
    const std::string hash = HashApiKey(key);
    const auto found = by_key_hash_.find(hash);
    if (key.empty() || found == by_key_hash_.end() || !EqualSecrets(found->second.api_key_sha256, hash)) {
      return refusal{refusal_code::kUnauthorized, outcome_kind::kNotRun, "The API key is missing or unknown."};
    }
    record = found->second;
  }
  auto& count = in_progress_[record.name];
  if (!count) {
    count = std::make_shared<std::uint32_t>(0);
  }
  if (record.connections != 0 && *count >= record.connections) {
    return refusal{refusal_code::kConnectionLimit, outcome_kind::kNotRun,
                   "The account has too many requests in progress.", milliseconds(1'000)};
  }
  return admitted_account{record, std::make_shared<account_lease>(count)};
}

router_name account_guard::FindHome(const account_name& account) const {
  std::vector<router_name> routers;
  for (const std::string& name : kernel_.Find<peer_directory>("peers").RouterNames()) {
    routers.push_back(router_name{name});
  }
  return HomeRouter(account, routers).value_or(router_name{settings_.name});
}

task<guarded<void>> account_guard::TakeTokens(account_record account, std::uint64_t amount) {
  const time_point end = timer_service::Now() + kLoanTimeout;
  const account_limit limit = LimitOf(account);
  if (limit.tokens_per_second == 0) {
    co_return outcome::success();
  }
  auto& peers = kernel_.Find<peer_directory>("peers");
  while (true) {
    const time_point now = timer_service::Now();
    const router_name home = FindHome(account.name);
    const std::size_t routers = peers.RouterNames().size();
    const take_result taken = table_.TakeTokens(account.name, limit, amount, now < end, routers, now);
    if (taken.borrow > 0) {
      AskHome(account, home, taken);
    }
    if (taken.verdict == take_verdict::kTaken) {
      co_return outcome::success();
    }
    if (taken.verdict == take_verdict::kTooLarge) {
      co_return refusal{refusal_code::kAccountLimit, outcome_kind::kNotRun,
                        "The request is larger than the account's burst limit."};
    }
    if (taken.verdict == take_verdict::kRefused) {
      co_return refusal{refusal_code::kAccountLimit, outcome_kind::kNotRun, "The account is at its limit.",
                        std::max(taken.retry_in, milliseconds(1))};
    }
    if (taken.borrow == 0 || home.value != settings_.name) {
      co_await kernel_.Timers().Sleep(kBorrowPause);
    }
  }
}

void account_guard::AskHome(const account_record& account, const router_name& home, const take_result& need) {
  const time_point now = timer_service::Now();
  if (home.value == settings_.name) {
    const loan granted = lender_.LendTokens(account.name, LimitOf(account), need.borrow, now);
    table_.NoteLoan(account.name, need.sequence, granted, now);
    return;
  }
  pending_[account.name] = {need.sequence, now};
  const lend_tokens question{account.name, need.sequence, need.borrow};
  if (!kernel_.Find<peer_directory>("peers").Send(home.value, question)) {
    pending_.erase(account.name);
    table_.NoteLoanFailed(account.name, need.sequence);
  }
}

void account_guard::HandleMessage(const channel_ptr& from, const message& value) {
  const time_point now = timer_service::Now();
  if (const auto* asked = std::get_if<lend_tokens>(&value)) {
    const auto account = by_name_.find(asked->account);
    loan granted;
    if (account != by_name_.end()) {
      granted = lender_.LendTokens(asked->account, LimitOf(account->second), asked->amount, now);
    }
    from->Send(tokens_lent{asked->account, asked->sequence, granted.amount,
                           static_cast<std::uint32_t>(std::min<std::int64_t>(granted.retry_in.count(), UINT32_MAX))});
  } else if (const auto* lent = std::get_if<tokens_lent>(&value)) {
    const auto found = pending_.find(lent->account);
    if (found == pending_.end() || found->second.sequence != lent->sequence) {
      return;
    }
    pending_.erase(found);
    table_.NoteLoan(lent->account, lent->sequence, loan{lent->amount, milliseconds(lent->retry_in_ms)}, now);
  }
}

void account_guard::ExpireLoans() {
  const time_point now = timer_service::Now();
  for (auto item = pending_.begin(); item != pending_.end();) {
    if (now - item->second.asked > kLoanTimeout) {
      table_.NoteLoanFailed(item->first, item->second.sequence);
      item = pending_.erase(item);
    } else {
      ++item;
    }
  }
}

void account_guard::ReturnTokens(const account_name& account, std::uint64_t amount) {
  const auto found = by_name_.find(account);
  if (found != by_name_.end() && found->second.tokens_per_second != 0) {
    table_.ReturnTokens(account, amount, timer_service::Now());
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. suspects
// ---------------------------------------------------------------------------------------------------------------------

suspect_guard::suspect_guard(kernel& services, const router_settings& settings)
    : kernel_(services), settings_(settings) {}

void suspect_guard::Start() {
  kernel_.Find<endpoint_directory>("endpoints")
      .SubscribeLosses([this](const endpoint_name& endpoint, const std::vector<attempt_id>&) { NoteCrash(endpoint); });
  kernel_.Find<peer_directory>("peers").SubscribeMessages([this](const channel_ptr& from, const message& value) {
    const auto* beat = std::get_if<heartbeat>(&value);
    if (beat == nullptr || beat->suspects.empty()) {
      return;
    }
    std::vector<suspect_fact> facts;
    for (const suspect_report& report : beat->suspects) {
      facts.push_back({report.fingerprint, report.crashes, milliseconds(report.age_ms)});
    }
    const std::string origin = fmt::format("{}/{}", from->Peer().name, from->Peer().incarnation);
    table_.MergeSuspects(origin, facts, timer_service::Now());
  });
  tick_ = kernel_.Timers().SubscribeEvery(milliseconds(1'000), 0.2, [this] {
    const time_point now = timer_service::Now();
    table_.ExpireSuspects(now);
    std::erase_if(last_crash_, [now](const auto& item) { return now - item.second > kSameCrash; });
  });
}

void suspect_guard::Stop() { tick_.Cancel(); }

suspect_check suspect_guard::Check(fingerprint_number fingerprint) const {
  return table_.CheckSuspect(fingerprint, timer_service::Now());
}

void suspect_guard::NoteStart(fingerprint_number fingerprint, const endpoint_name& endpoint) {
  table_.NoteStart(fingerprint, endpoint);
}

void suspect_guard::NoteEnd(fingerprint_number fingerprint, const endpoint_name& endpoint, bool answered) {
  table_.NoteEnd(fingerprint, endpoint, answered, timer_service::Now());
}

void suspect_guard::NoteCrash(const endpoint_name& endpoint) {
  const time_point now = timer_service::Now();
  kernel_.Find<endpoint_directory>("endpoints").NoteEngineLost(endpoint);
  const auto [found, inserted] = last_crash_.try_emplace(endpoint, now);
  if (!inserted && now - found->second < kSameCrash) {
    return;
  }
  found->second = now;
  const auto marked = table_.NoteCrash(endpoint, now);
  // The caller's next try may reach another router sooner than the next heartbeat would.
  heartbeat news;
  news.revision = kernel_.Find<config_store>("config").Revision();
  news.suspects = OwnReports();
  kernel_.Find<peer_directory>("peers").Broadcast(news);
  Log().Warning("Endpoint {} crashed; {} requests that ran on it are suspects.", endpoint.value, marked.size());
}

std::vector<suspect_report> suspect_guard::OwnReports() const {
  std::vector<suspect_report> reports;
  for (const suspect_fact& fact : table_.OwnFacts(timer_service::Now())) {
    reports.push_back({fact.fingerprint, fact.crashes, static_cast<std::uint32_t>(fact.age.count())});
  }
  return reports;
}

fingerprint_number suspect_guard::MakeFingerprint(const account_name& account, std::string_view body) {
  const std::uint64_t seed = XXH64(account.value.data(), account.value.size(), 0);
  return XXH64(body.data(), body.size(), seed);
}

}  // namespace persimmon
