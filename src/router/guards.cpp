// Sections
//   1. accounts
//   2. suspect requests
//   3. suspected parts of prompts
#include "router/guards.h"

#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "core/api_key.h"
#include "core/log.h"
#include "core/random.h"
#include "core/telemetry.h"

namespace persimmon {
namespace {

const logger& Log() {
  static const logger log("router.guards");
  return log;
}

constexpr milliseconds kLoanTimeout(250);   // timeout of a loan request to the home router
constexpr milliseconds kLoanPollPeriod(5);  // between checks for borrowed tokens
constexpr milliseconds kExpiryPeriod(100);
constexpr milliseconds kCrashMergeTime(1'000);  // losses of an endpoint within this time count as one crash

account_limit MakeAccountLimit(const account_record& account) {
  return account_limit{account.tokens_per_second, account.burst_tokens};
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. accounts
// ---------------------------------------------------------------------------------------------------------------------

account_guard::account_guard(kernel& services, const router_settings& settings)
    : kernel_(services),
      settings_(settings),
      limits_(settings.name, AgentAccountSettings(kLoanTimeout), RandomNumber() >> 1U) {}

void account_guard::Start() {
  kernel_.Find<config_store>("config").Subscribe(
      [this](const std::shared_ptr<const configuration>& config) { ApplyConfiguration(*config); });
  kernel_.Find<peer_directory>("peers").SubscribeMessages(
      [this](const channel_ptr& from, const message& value) { HandleMessage(from, value); });
  expiry_timer_ = kernel_.Timers().SubscribeEvery(kExpiryPeriod, 0, [this] {
    ExpireLoans();
    limits_.Expire([](const account_name&) { return 1.0; }, timer_service::Now());
  });
}

void account_guard::Stop() { expiry_timer_.Cancel(); }

void account_guard::ApplyConfiguration(const configuration& config) {
  by_key_hash_.clear();
  by_name_.clear();
  for (const auto& [name, account] : config.accounts) {
    by_key_hash_[account.api_key_sha256] = account;
    by_name_[name] = account;
  }
}

guard_result<admitted_account> account_guard::Authenticate(const http_request& request) {
  const std::string key = ReadApiKey(request);
  account_record record;
  record.name.value = "anonymous";
  if (settings_.accounts_required || !key.empty()) {
    // Looking up the hash does not leak the key through timing, because a caller cannot derive the key from the hash.
    // The final comparison takes constant time.
    const std::string hash = HashApiKey(key);
    const auto found = by_key_hash_.find(hash);
    if (key.empty() || found == by_key_hash_.end() || !ConstantTimeEquals(found->second.api_key_sha256, hash)) {
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
  return admitted_account{record, std::make_shared<in_progress_guard>(count)};
}

account_home account_guard::FindHome(const account_name& account) const {
  std::vector<router_name> routers;
  for (const std::string& name : kernel_.Find<peer_directory>("peers").KnownRouters()) {
    routers.push_back(router_name{name});
  }
  const std::string home = HomeRouter(account, routers).value_or(router_name{settings_.name}).value;
  return account_home{home, home == settings_.name ? 1.0 : 0.0, routers.size()};
}

task<guard_result<void>> account_guard::TakeTokens(account_record account, std::uint64_t amount) {
  const time_point end = timer_service::Now() + kLoanTimeout;
  const account_limit limit = MakeAccountLimit(account);
  if (limit.tokens_per_second == 0) {
    co_return outcome::success();
  }
  auto stage = account_limits::take_stage::kFirst;
  while (true) {
    const time_point now = timer_service::Now();
    if (now >= end) {
      stage = account_limits::take_stage::kLast;
    }
    const account_take taken = limits_.Take(account.name, limit, amount, FindHome(account.name), stage, now);
    if (taken.request) {
      RequestLoan(*taken.request);
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
    stage = account_limits::take_stage::kRetry;
    co_await kernel_.Timers().Sleep(kLoanPollPeriod);
  }
}

void account_guard::RequestLoan(const loan_request& request) {
  const lend_tokens asked{request.account, request.sequence, request.amount};
  if (!kernel_.Find<peer_directory>("peers").Send(request.home, asked)) {
    limits_.RecordFailure(request.account, request.sequence);
  }
}

void account_guard::HandleMessage(const channel_ptr& from, const message& value) {
  const time_point now = timer_service::Now();
  if (const auto* lend = std::get_if<lend_tokens>(&value)) {
    const auto account = by_name_.find(lend->account);
    const auto limit = account == by_name_.end() ? std::nullopt : std::optional(MakeAccountLimit(account->second));
    const loan granted = limits_.Lend(from->Peer().name, lend->account, limit, lend->sequence, lend->amount, 1, now);
    from->Send(tokens_lent{lend->account, lend->sequence, granted.amount,
                           static_cast<std::uint32_t>(std::min<std::int64_t>(granted.retry_in.count(), UINT32_MAX))});
  } else if (const auto* lent = std::get_if<tokens_lent>(&value)) {
    limits_.RecordLoan(lent->account, lent->sequence, loan{lent->amount, milliseconds(lent->retry_in_ms)}, now);
  }
}

void account_guard::ExpireLoans() {
  limits_.TakeOverdue(timer_service::Now());  // a channel does not lose messages, so none is repeated
}

void account_guard::ReturnTokens(const account_name& account, std::uint64_t amount) {
  const auto found = by_name_.find(account);
  if (found != by_name_.end() && found->second.tokens_per_second != 0) {
    limits_.Return(account, amount, FindHome(account), timer_service::Now());
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. suspect requests
// ---------------------------------------------------------------------------------------------------------------------

suspect_guard::suspect_guard(kernel& services, const router_settings& settings)
    : kernel_(services), settings_(settings) {}

void suspect_guard::Start() {
  kernel_.Find<endpoint_directory>("endpoints")
      .SubscribeLosses(
          [this](const endpoint_name& endpoint, const std::vector<attempt_id>&) { RecordCrash(endpoint); });
  kernel_.Find<peer_directory>("peers").SubscribeMessages([this](const channel_ptr& from, const message& value) {
    const auto* heartbeat_message = std::get_if<heartbeat>(&value);
    if (heartbeat_message == nullptr || heartbeat_message->suspects.empty()) {
      return;
    }
    std::vector<crash_report> reports;
    for (const suspect_report& report : heartbeat_message->suspects) {
      reports.push_back({report.fingerprint, report.crashes, milliseconds(report.age_ms)});
    }
    const std::string origin = fmt::format("{}/{}", from->Peer().name, from->Peer().incarnation);
    table_.MergeCrashReports(origin, reports, timer_service::Now());
  });
  expiry_timer_ = kernel_.Timers().SubscribeEvery(milliseconds(1'000), 0.2, [this] {
    const time_point now = timer_service::Now();
    table_.ExpireSuspects(now);
    std::erase_if(last_crash_, [now](const auto& item) { return now - item.second > kCrashMergeTime; });
  });
}

void suspect_guard::Stop() { expiry_timer_.Cancel(); }

suspect_check suspect_guard::Check(fingerprint_number fingerprint) const {
  return table_.CheckSuspect(fingerprint, timer_service::Now());
}

void suspect_guard::RecordStart(fingerprint_number fingerprint, const endpoint_name& endpoint) {
  table_.RecordStart(fingerprint, endpoint);
}

void suspect_guard::RecordEnd(fingerprint_number fingerprint, const endpoint_name& endpoint, bool answered) {
  table_.RecordEnd(fingerprint, endpoint, answered, timer_service::Now());
}

void suspect_guard::RecordCrash(const endpoint_name& endpoint) {
  const time_point now = timer_service::Now();
  kernel_.Find<endpoint_directory>("endpoints").MarkEngineLost(endpoint);
  const auto [found, inserted] = last_crash_.try_emplace(endpoint, now);
  if (!inserted && now - found->second < kCrashMergeTime) {
    return;
  }
  found->second = now;
  const auto marked = table_.RecordCrash(endpoint, now);
  // Tell the other routers now: a retry of the caller may reach them before the next periodic heartbeat.
  heartbeat suspect_update;
  suspect_update.revision = kernel_.Find<config_store>("config").Revision();
  suspect_update.suspects = OwnReports();
  kernel_.Find<peer_directory>("peers").Broadcast(suspect_update);
  Log().Warning("Endpoint {} crashed; {} requests that were running on it are now suspects.", endpoint.value,
                marked.size());
}

std::vector<suspect_report> suspect_guard::OwnReports() const {
  std::vector<suspect_report> reports;
  for (const crash_report& report : table_.OwnCrashReports(timer_service::Now())) {
    reports.push_back({report.fingerprint, report.crashes, static_cast<std::uint32_t>(report.age.count())});
  }
  return reports;
}

fingerprint_number suspect_guard::MakeFingerprint(const account_name& account, std::string_view body) {
  const std::uint64_t seed = XXH64(account.value.data(), account.value.size(), 0);
  return XXH64(body.data(), body.size(), seed);
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. suspected parts of prompts
// ---------------------------------------------------------------------------------------------------------------------

void part_guard::Start() {
  auto& peers = kernel_.Find<peer_directory>("peers");
  board_ = std::make_unique<part_board>(
      kernel_.Find<telemetry>("telemetry").Metrics(),
      [this](const message& value, std::size_t receivers) { SendToSome(value, receivers); });
  peers.SubscribeMessages([this](const channel_ptr&, const message& value) {
    if (const auto* evidence = std::get_if<part_evidence_list>(&value)) {
      board_->Receive(*evidence);
      if (on_change) {
        on_change();
      }
    }
  });
  peers.SubscribeOpens([this](const channel_ptr& opened) {
    for (part_evidence_list& list : board_->AllEvidence()) {
      opened->Send(message(std::move(list)));
    }
  });
  gossip_timer_ = kernel_.Timers().SubscribeEvery(part_board::kGossipPeriod, 0.2, [this] { board_->Gossip(); });
}

void part_guard::Stop() { gossip_timer_.Cancel(); }

std::optional<milliseconds> part_guard::RemainingRefusal(const std::string& pool,
                                                         const std::vector<part_id>& parts) const {
  return board_->RemainingRefusal(pool, parts);
}

engine_run_ptr part_guard::BeginRun(engine_run run) {
  run.incarnation = crashes_[run.engine];
  return board_->BeginRun(std::move(run));
}

void part_guard::RecordCrash(const endpoint_name& endpoint) {
  board_->RecordCrash(endpoint, crashes_[endpoint]++);
  if (on_change) {
    on_change();
  }
}

void part_guard::SendToSome(const message& value, std::size_t receivers) const {
  auto& peers = kernel_.Find<peer_directory>("peers");
  std::vector<std::string> others = peers.ConnectedRouters();
  std::erase(others, settings_.name);
  const std::size_t count = std::min(receivers, others.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(others[i], others[i + RandomNumber() % (others.size() - i)]);
    (void)peers.Send(others[i], value);  // a router whose channel has just closed is told when it opens again
  }
}

}  // namespace persimmon
