// Sections
//   1. home routers
//   2. state of one router
#include "persimmon/account_limits.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. home routers
// ---------------------------------------------------------------------------------------------------------------------

account_limit_settings DirectAccountSettings() {
  account_limit_settings settings;
  limit_settings& limits = settings.limits;
  limits.local_share = 0.02;
  limits.local_share_is_extra = true;
  limits.local_overdraft = 40'000;
  limits.loan_lifetime = milliseconds(500);
  limits.loan_demand_time = milliseconds(100);
  limits.rate_window = milliseconds(1'000);
  limits.max_loan_share = 0.1;
  limits.whole_loans = true;
  limits.overdraft_share = 0.15;  // 7,050 tokens of the smallest limits, 47,000; the largest requests have 7,000
  limits.partition_overdraft = 40'000;
  limits.return_time = milliseconds(1'000);
  return settings;
}

account_limit_settings AgentAccountSettings(milliseconds answer_time) {
  account_limit_settings settings;
  settings.answer_time = answer_time;
  settings.max_asks = 1;
  settings.silent_time = milliseconds(0);
  settings.misdirected_time = milliseconds(0);
  settings.max_local_retry = milliseconds(86'400'000);
  return settings;
}

std::uint64_t AccountKey(const account_name& account) { return XXH64(account.value.data(), account.value.size(), 0); }

double OwnAccountShare(const limit_members& members, const account_name& account,
                       const account_limit_settings& settings, time_point now) {
  const limit_members::home_role role = members.OwnRole(AccountKey(account), now);
  if (!role.is_home) {
    return 0;
  }
  double share = settings.unknown_count_share;
  if (role.side > 0) {
    share = role.side > 0.5 ? 1 : role.side * settings.minority_share;
  }
  return role.takes_over ? share * settings.takeover_share : share;
}

account_home FindAccountHome(const limit_members& members, const std::string& own_address, const account_name& account,
                             std::size_t routers, const account_limit_settings& settings, time_point now) {
  account_home home;
  home.router = members.HomeOf(AccountKey(account), now).value_or("");
  home.own_share = home.router == own_address ? OwnAccountShare(members, account, settings, now) : 0;
  home.routers = std::max<std::size_t>(routers, 1);
  return home;
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. state of one router
// ---------------------------------------------------------------------------------------------------------------------

bool account_limits::IsSilent(const std::string& router, time_point now) const {
  const auto found = silent_until_.find(router);
  return found != silent_until_.end() && now < found->second;
}

account_take account_limits::Take(const account_name& account, const account_limit& limit, std::uint64_t amount,
                                  const account_home& home, take_stage stage, time_point now) {
  const bool is_reachable = stage != take_stage::kLast && !home.router.empty() && !IsSilent(home.router, now);
  account_take result;
  result.is_local = !is_reachable;
  // A loan of this router's own bucket is there at once, so the second round takes it or is refused.
  for (int round = 0; round < 2; ++round) {
    const bool is_retry = round > 0 || stage != take_stage::kFirst;
    const take_result taken = table_.TakeTokens(account, limit, amount, is_reachable, home.routers, now, is_retry);
    result.verdict = taken.verdict;
    result.retry_in = taken.retry_in;
    if (taken.verdict == take_verdict::kRefused && !is_reachable) {
      result.retry_in = std::min(result.retry_in, settings_.max_local_retry);
    }
    if (taken.borrow == 0) {
      break;
    }
    if (home.router != own_name_) {
      result.request = loan_request{home.router, account, taken.sequence, taken.borrow};
      pending_[account] = {*result.request, now, now, 1};
      break;
    }
    const loan lent = Lend(own_name_, account, limit, taken.sequence, taken.borrow, home.own_share, now);
    table_.RecordLoan(account, taken.sequence, lent, now);
    if (taken.verdict == take_verdict::kTaken) {
      break;
    }
  }
  return result;
}

loan account_limits::Lend(const std::string& borrower, const account_name& account,
                          const std::optional<account_limit>& limit, std::uint64_t sequence, std::uint64_t amount,
                          double own_share, time_point now) {
  if (!limit || own_share <= 0) {
    return {0, settings_.misdirected_time};
  }
  if (borrower == own_name_) {
    return lender_.LendTokens(account, *limit, amount, now, own_share);
  }
  given_answer& answer = answers_[{borrower, account}];
  if (answer.sequence != sequence) {
    answer.sequence = sequence;
    answer.lent = lender_.LendTokens(account, *limit, amount, now, own_share);
    answer.at = now;
  }
  return answer.lent;
}

std::optional<loan_request> account_limits::Return(const account_name& account, std::uint64_t amount,
                                                   const account_home& home, time_point now) {
  const std::uint64_t returned = table_.ReturnTokens(account, amount, now);
  if (returned == 0 || home.router.empty()) {
    return std::nullopt;
  }
  if (home.router != own_name_) {
    return loan_request{home.router, account, ++next_return_, returned};
  }
  if (home.own_share > 0) {
    lender_.ReturnTokens(account, returned, now);
  }
  return std::nullopt;
}

void account_limits::TakeBack(const std::string& borrower, const account_name& account, std::uint64_t sequence,
                              std::uint64_t amount, double own_share, time_point now) {
  // Without a loan within the retention time there is nothing to return. A message that arrives late is ignored.
  const auto given = answers_.find({borrower, account});
  if (own_share > 0 && given != answers_.end() && sequence > given->second.last_return) {
    given->second.last_return = sequence;
    lender_.ReturnTokens(account, amount, now);
  }
}

bool account_limits::RecordLoan(const account_name& account, std::uint64_t sequence, const loan& lent, time_point now) {
  const auto found = pending_.find(account);
  if (found == pending_.end() || found->second.request.sequence != sequence) {
    return false;
  }
  last_answers_[found->second.request.home] = now;
  silent_until_.erase(found->second.request.home);
  pending_.erase(found);
  table_.RecordLoan(account, sequence, lent, now);
  return true;
}

void account_limits::RecordFailure(const account_name& account, std::uint64_t sequence) {
  const auto found = pending_.find(account);
  if (found != pending_.end() && found->second.request.sequence == sequence) {
    pending_.erase(found);
  }
  table_.RecordLoanFailure(account, sequence);
}

account_limits::overdue_requests account_limits::TakeOverdue(time_point now) {
  overdue_requests overdue;
  for (auto item = pending_.begin(); item != pending_.end();) {
    pending_loan& pending = item->second;
    if (now - pending.asked < settings_.answer_time) {
      ++item;
    } else if (pending.asks < settings_.max_asks) {
      ++pending.asks;
      pending.asked = now;
      overdue.repeated.push_back(pending.request);
      ++item;
    } else {
      table_.RecordLoanFailure(pending.request.account, pending.request.sequence);
      const auto answered = last_answers_.find(pending.request.home);
      if (answered == last_answers_.end() || answered->second < pending.first_asked) {
        silent_until_[pending.request.home] = now + settings_.silent_time;
      }
      overdue.failed.push_back(std::move(pending.request));
      item = pending_.erase(item);
    }
  }
  return overdue;
}

void account_limits::ExpireUnused(time_point now) {
  lender_.ExpireBuckets(now);
  table_.ExpireAccounts(now);
  std::erase_if(answers_, [&](const auto& item) { return now - item.second.at > settings_.answer_retention; });
  std::erase_if(last_answers_, [&](const auto& item) { return now - item.second > settings_.answer_retention; });
  std::erase_if(silent_until_, [now](const auto& item) { return now >= item.second; });
}

}  // namespace persimmon
