#include "direct/account_tracker.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/event_log.h"
#include "core/random.h"
#include "core/telemetry.h"

namespace persimmon {
namespace {

constexpr const char* kComponent = "router.accounts";
constexpr milliseconds kMaxWait(120);       // of a request, for tokens of the home router
constexpr milliseconds kOverduePeriod(10);  // between checks for unanswered messages
constexpr milliseconds kLogPeriod(1'000);   // between two lines about refusals of one account
constexpr milliseconds kExpiryPeriod(1'000);
// Longest retry time that is stated to a caller, for a request that the limit can never admit.
constexpr milliseconds kMaxRetryTime(60'000);

}  // namespace

void account_tracker::Start() {
  directory_ = &kernel_.Find<deployment_directory>("directory");
  group_ = &kernel_.Find<router_group>("group");
  limit_tracker_ = &kernel_.Find<limit_tracker>("limits");
  if (!find_limit) {
    find_limit = [this](const account_name& account) -> std::optional<account_limit> {
      const auto& accounts = directory_->Routes()->Accounts();
      const caller_account* found = accounts ? accounts->Find(account) : nullptr;
      return found == nullptr ? std::nullopt : std::optional(found->limit);
    };
  }
  own_address_ = group_->Self().address.Text();
  limits_ = std::make_unique<account_limits>(own_address_, DirectAccountSettings(), RandomNumber() >> 1U);
  metrics_registry& metrics = kernel_.Find<telemetry>("telemetry").Metrics();
  const auto add = [&metrics](const char* name, const char* help, const char* outcome) {
    return &metrics.AddCounter(name, help, {{"outcome", outcome}});
  };
  constexpr const char* kTakes = "persimmon_account_takes_total";
  constexpr const char* kTakesHelp = "Requests checked against the limits of their accounts.";
  granted_ = add(kTakes, kTakesHelp, "granted");
  refused_by_limit_ = add(kTakes, kTakesHelp, "limit_reached");
  refused_without_home_ = add(kTakes, kTakesHelp, "home_router_unavailable");
  constexpr const char* kLoans = "persimmon_account_loan_requests_total";
  constexpr const char* kLoansHelp = "Messages to home routers of accounts.";
  loans_asked_ = add(kLoans, kLoansHelp, "sent");
  loans_repeated_ = add(kLoans, kLoansHelp, "repeated");
  loans_unanswered_ = add(kLoans, kLoansHelp, "unanswered");
  constexpr const char* kGiven = "persimmon_account_loans_total";
  constexpr const char* kGivenHelp = "Loans asked of this router as home router of accounts.";
  loans_given_ = add(kGiven, kGivenHelp, "given");
  loans_denied_ = add(kGiven, kGivenHelp, "denied");
  group_->SubscribeMessages([this](const host_port& sender, const message& received) { Receive(sender, received); });
  expiry_timer_ = kernel_.Timers().SubscribeEvery(kExpiryPeriod, 0.1, [this] { ExpireUnused(); });
}

void account_tracker::Stop() {
  overdue_timer_.Cancel();
  expiry_timer_.Cancel();
}

// ---------------------------------------------------------------------------------------------------------------------
// Requests of callers
// ---------------------------------------------------------------------------------------------------------------------

account_home account_tracker::FindHome(const account_name& account, time_point now) const {
  limit_members& members = limit_tracker_->Members();
  members.Tick(now);
  return FindAccountHome(members, own_address_, account, group_->RouterCount(), limits_->Settings(), now);
}

task<usage_grant> account_tracker::Take(account_name account, account_limit limit, std::uint64_t amount) {
  const time_point end = timer_service::Now() + kMaxWait;
  auto stage = account_limits::take_stage::kFirst;
  while (true) {
    // The limit may be changed while the request waits.
    const account_limit current = find_limit(account).value_or(limit);
    if (current.tokens_per_second == 0) {
      co_return usage_grant{true, milliseconds(0)};
    }
    const time_point now = timer_service::NowWithSuspension();
    const account_home home = FindHome(account, now);
    if (timer_service::Now() >= end) {
      stage = account_limits::take_stage::kLast;
    }
    const account_take taken = limits_->Take(account, current, amount, home, stage, now);
    if (taken.request) {
      loans_asked_->Increment();
      Send(*taken.request);
    }
    if (taken.verdict == take_verdict::kTaken) {
      granted_->Increment();
      co_return usage_grant{true, milliseconds(0)};
    }
    if (taken.verdict != take_verdict::kBorrow) {
      co_return Refuse(account, amount, taken, home);
    }
    stage = account_limits::take_stage::kRetry;
    co_await WaitForAnswer(account, end);
  }
}

usage_grant account_tracker::Refuse(const account_name& account, std::uint64_t amount, const account_take& taken,
                                    const account_home& home) {
  const milliseconds retry_in = std::clamp(taken.retry_in, milliseconds(1), kMaxRetryTime);
  (taken.is_local ? refused_without_home_ : refused_by_limit_)->Increment();
  LogRefusal(account, amount, taken, home);
  return usage_grant{false, taken.verdict == take_verdict::kTooLarge ? kMaxRetryTime : retry_in};
}

void account_tracker::LogRefusal(const account_name& account, std::uint64_t amount, const account_take& taken,
                                 const account_home& home) {
  const time_point now = timer_service::Now();
  refusal_log& log = refusal_logs_[account];
  ++log.refusals;
  if (log.logged != time_point() && now - log.logged < kLogPeriod) {
    return;
  }
  const bool is_too_large = taken.verdict == take_verdict::kTooLarge;
  const char* reason = is_too_large     ? "larger_than_burst"
                       : taken.is_local ? "home_router_unavailable"
                                        : "limit_reached";
  Events()
      .Line(kComponent, "account_limited")
      .Add("account", account.value)
      .Add("amount", amount)
      .Add("reason", reason)
      .Add("refusals", log.refusals)
      .Add("home", home.router)
      .Add("retry_ms", taken.retry_in.count());
  log = {now, 0};
}

void account_tracker::Return(const account_name& account, std::uint64_t amount) {
  const time_point now = timer_service::NowWithSuspension();
  if (const auto returned = limits_->Return(account, amount, FindHome(account, now), now)) {
    if (const auto address = ParseHostPort(returned->home)) {
      group_->Send(address.value(), message(return_tokens{account, returned->sequence, returned->amount}));
    }
  }
}

task<> account_tracker::WaitForAnswer(account_name account, time_point end) {
  const auto timer = std::make_shared<asio::steady_timer>(kernel_.Context(), end);
  waiting_[account].push_back(timer);
  boost::system::error_code ignored;
  co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  const auto found = waiting_.find(account);
  if (found != waiting_.end()) {
    std::erase(found->second, timer);
    if (found->second.empty()) {
      waiting_.erase(found);
    }
  }
}

void account_tracker::WakeWaiting(const account_name& account) {
  const auto found = waiting_.find(account);
  if (found == waiting_.end()) {
    return;
  }
  const std::vector<wakeup_timer> woken = std::move(found->second);
  waiting_.erase(found);
  for (const wakeup_timer& timer : woken) {
    timer->cancel();
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// Messages
// ---------------------------------------------------------------------------------------------------------------------

void account_tracker::Send(const loan_request& request) {
  const auto address = ParseHostPort(request.home);
  if (!address) {
    limits_->RecordFailure(request.account, request.sequence);
    return;
  }
  group_->Send(address.value(), message(lend_tokens{request.account, request.sequence, request.amount}));
  ScheduleOverdueCheck();
}

void account_tracker::Receive(const host_port& sender, const message& received) {
  if (const auto* asked = std::get_if<lend_tokens>(&received)) {
    Lend(sender, *asked);
  } else if (const auto* lent = std::get_if<tokens_lent>(&received)) {
    const loan granted{lent->amount, milliseconds(lent->retry_in_ms)};
    if (limits_->RecordLoan(lent->account, lent->sequence, granted, timer_service::NowWithSuspension())) {
      WakeWaiting(lent->account);
    }
  } else if (const auto* returned = std::get_if<return_tokens>(&received)) {
    TakeBack(sender, *returned);
  }
}

void account_tracker::TakeBack(const host_port& borrower, const return_tokens& returned) {
  const time_point now = timer_service::NowWithSuspension();
  const account_home home = FindHome(returned.account, now);
  limits_->TakeBack(borrower.Text(), returned.account, returned.sequence, returned.amount, home.own_share, now);
}

void account_tracker::Lend(const host_port& borrower, const lend_tokens& asked) {
  const time_point now = timer_service::NowWithSuspension();
  const account_home home = FindHome(asked.account, now);
  const loan lent = limits_->Lend(borrower.Text(), asked.account, find_limit(asked.account), asked.sequence,
                                  asked.amount, home.own_share, now);
  (lent.amount > 0 ? loans_given_ : loans_denied_)->Increment();
  const auto retry_ms = std::clamp<std::int64_t>(lent.retry_in.count(), 0, UINT32_MAX);
  group_->Send(borrower,
               message(tokens_lent{asked.account, asked.sequence, lent.amount, static_cast<std::uint32_t>(retry_ms)}));
}

void account_tracker::ScheduleOverdueCheck() {
  if (!is_overdue_check_scheduled_ && limits_->PendingCount() > 0) {
    is_overdue_check_scheduled_ = true;
    overdue_timer_ = kernel_.Timers().SubscribeOnce(kOverduePeriod, [this] { HandleOverdue(); });
  }
}

void account_tracker::HandleOverdue() {
  is_overdue_check_scheduled_ = false;
  const auto overdue = limits_->TakeOverdue(timer_service::NowWithSuspension());
  for (const loan_request& request : overdue.repeated) {
    loans_repeated_->Increment();
    Send(request);
  }
  for (const loan_request& request : overdue.failed) {
    loans_unanswered_->Increment();
    Events()
        .Line(kComponent, "home_router_unavailable")
        .Add("account", request.account.value)
        .Add("home", request.home)
        .Add("amount", request.amount);
    WakeWaiting(request.account);
  }
  ScheduleOverdueCheck();
}

void account_tracker::ExpireUnused() {
  std::erase_if(refusal_logs_, [](const auto& item) { return timer_service::Now() - item.second.logged > kLogPeriod; });
  const time_point now = timer_service::NowWithSuspension();
  limit_members& members = limit_tracker_->Members();
  members.Tick(now);
  limits_->Expire(
      [&](const account_name& account) { return OwnAccountShare(members, account, limits_->Settings(), now); }, now);
}

}  // namespace persimmon
