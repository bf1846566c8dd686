// Sections
//   1. token bucket
//   2. home router
//   3. borrowed tokens on each router
#include "persimmon/limits.h"

#include <algorithm>
#include <cmath>

#include "persimmon/selection.h"

namespace persimmon {
namespace {

// Loans that expire within this time of each other are merged, with the earlier expiry.
constexpr milliseconds kLoanMergeTime = milliseconds(50);

// After which a request that does not fit into the local share may be tried again: the home router may be back by then.
constexpr milliseconds kHomeRetryTime = milliseconds(200);

// Longest time that TimeUntilAvailable returns: one day.
constexpr milliseconds kMaxWait = milliseconds(86'400'000);

double Seconds(std::chrono::nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

double EffectiveBurst(const account_limit& limit) {
  return static_cast<double>(limit.burst_tokens > 0 ? limit.burst_tokens : limit.tokens_per_second);
}

// Part of the limit that the home router lends.
double LendableShare(const limit_settings& settings) {
  return settings.local_share_is_extra ? 1 : 1 - settings.local_share;
}

double LendableBurst(const account_limit& limit, const limit_settings& settings) {
  return EffectiveBurst(limit) * LendableShare(settings);
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. token bucket
// ---------------------------------------------------------------------------------------------------------------------

double token_bucket::Level(time_point now) const {
  const double elapsed_s = std::max(0.0, Seconds(now - updated_at_));
  return std::min(burst_, level_ + rate_ * elapsed_s);
}

void token_bucket::SetLimit(double rate, double burst, time_point now) {
  level_ = std::min(Level(now), burst);
  updated_at_ = std::max(updated_at_, now);
  rate_ = rate;
  burst_ = burst;
}

void token_bucket::Take(double amount, time_point now) {
  level_ = Level(now) - amount;
  updated_at_ = std::max(updated_at_, now);
}

void token_bucket::Add(double amount, time_point now) {
  level_ = std::min(burst_, Level(now) + amount);
  updated_at_ = std::max(updated_at_, now);
}

milliseconds token_bucket::TimeUntilAvailable(double amount, time_point now) const {
  const double shortfall = amount - Level(now);
  if (shortfall <= 0) {
    return milliseconds(0);
  }
  if (amount > burst_ || rate_ <= 0 || shortfall / rate_ >= Seconds(kMaxWait)) {
    return kMaxWait;
  }
  return milliseconds(static_cast<std::int64_t>(std::ceil(shortfall / rate_ * 1e3)));
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. home router
// ---------------------------------------------------------------------------------------------------------------------

std::optional<router_name> HomeRouter(const account_name& account, std::span<const router_name> routers) {
  const router_name* best = nullptr;
  std::uint64_t best_score = 0;
  for (const router_name& router : routers) {
    const std::uint64_t score = RendezvousScore(account.value, router.value);
    if (best == nullptr || score > best_score || (score == best_score && router < *best)) {
      best = &router;
      best_score = score;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

double token_lender::Capacity(const account_limit& limit, double share) const {
  return LendableBurst(limit, settings_) * share;
}

double token_lender::Overdraft(const account_limit& limit, double share) const {
  const double whole = EffectiveBurst(limit) * settings_.overdraft_share;
  return std::min(whole, settings_.partition_overdraft * share);
}

void token_lender::SetLimit(bucket_entry& entry, const account_limit& limit, double share, time_point now) const {
  if (entry.limit != limit || entry.share != share) {
    const double rate = static_cast<double>(limit.tokens_per_second) * LendableShare(settings_) * share;
    entry.bucket.SetLimit(rate, Capacity(limit, share), now);
    entry.limit = limit;
    entry.share = share;
  }
}

loan token_lender::LendTokens(const account_name& account, const account_limit& limit, std::uint64_t amount,
                              time_point now, double share) {
  if (limit.tokens_per_second == 0) {
    return {amount, milliseconds(0)};
  }
  const double rate = static_cast<double>(limit.tokens_per_second) * LendableShare(settings_) * share;
  const double burst = Capacity(limit, share);
  // Starts half full, because a new home router does not know what its predecessor has lent.
  const bucket_entry created{{rate, burst, burst / 2, now}, limit, share, now};
  auto& entry = buckets_.try_emplace(account, created).first->second;
  SetLimit(entry, limit, share, now);
  entry.last_used = now;
  const double level = std::floor(entry.bucket.Level(now));
  loan lent;
  if (settings_.whole_loans) {
    const auto wanted = static_cast<double>(amount);
    const double needed = std::max(0.0, wanted - Overdraft(limit, share));
    if (level >= needed) {
      lent.amount = amount;
      entry.bucket.Take(wanted, now);
    } else {
      lent.retry_in = entry.bucket.TimeUntilAvailable(needed, now);
    }
    return lent;
  }
  const double wanted = std::min(static_cast<double>(amount), burst);
  // Less than half of the wanted amount is not lent: small loans would expire on several routers without being enough
  // for a request on any of them.
  if (level > 0 && (level >= wanted || level * 2 >= wanted)) {
    lent.amount = static_cast<std::uint64_t>(std::min(level, wanted));
    entry.bucket.Take(static_cast<double>(lent.amount), now);
  }
  if (lent.amount < amount) {
    lent.retry_in = entry.bucket.TimeUntilAvailable(std::min(burst, static_cast<double>(amount - lent.amount)), now);
  }
  return lent;
}

void token_lender::ReturnTokens(const account_name& account, std::uint64_t amount, time_point now) {
  const auto found = buckets_.find(account);
  if (found != buckets_.end()) {
    found->second.bucket.Add(static_cast<double>(amount), now);
  }
}

void token_lender::ExpireBuckets(time_point now) {
  std::erase_if(buckets_, [&](const auto& item) {
    const bucket_entry& entry = item.second;
    // A recreated bucket starts half full, so removing one that is at least half full never creates tokens.
    return now - entry.last_used > settings_.idle_retention &&
           entry.bucket.Level(now) >= Capacity(entry.limit, entry.share) / 2;
  });
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. borrowed tokens on each router
// ---------------------------------------------------------------------------------------------------------------------

void account_token_table::RemoveExpired(entry& account, time_point now) {
  while (!account.active_loans.empty() && account.active_loans.front().expires <= now) {
    account.active_loans.pop_front();
  }
}

void account_token_table::SetLimit(entry& account, const account_limit& limit) {
  const bool is_lower = limit.tokens_per_second < account.limit.tokens_per_second ||
                        EffectiveBurst(limit) < EffectiveBurst(account.limit);
  if (is_lower) {
    // What was lent under the higher limit must not be spent under the lower one.
    account.active_loans.clear();
    account.recent_takes.clear();
    account.outstanding_sequence = 0;
  }
  account.limit = limit;
}

double account_token_table::BorrowedAmount(const entry& account, time_point now) {
  double sum = 0;
  for (const active_loan& lent : account.active_loans) {
    sum += lent.expires > now ? lent.amount : 0;
  }
  return sum;
}

void account_token_table::Spend(entry& account, double amount, time_point now) const {
  if (settings_.whole_loans && !account.active_loans.empty()) {
    std::erase_if(account.recent_takes, [&](const recent_take& taken) { return IsPastReturn(taken, now); });
    account.recent_takes.push_back({amount, account.active_loans.front().requested});
  }
  while (amount > 0 && !account.active_loans.empty()) {
    active_loan& lent = account.active_loans.front();
    const double taken = std::min(amount, lent.amount);
    lent.amount -= taken;
    amount -= taken;
    if (lent.amount <= 0) {
      account.active_loans.pop_front();
    }
  }
}

void account_token_table::RecordDemand(entry& account, double amount, time_point now) const {
  const double elapsed_s = std::max(0.0, Seconds(now - account.demand_updated));
  account.demand = account.demand * std::exp(-elapsed_s / Seconds(settings_.rate_window)) + amount;
  account.demand_updated = now;
}

std::uint64_t account_token_table::LoanSize(const entry& account, const account_limit& limit, double shortfall) const {
  const double rate = account.demand / Seconds(settings_.rate_window);
  const double demand =
      std::min(rate * Seconds(settings_.loan_demand_time), EffectiveBurst(limit) * settings_.max_loan_share);
  return static_cast<std::uint64_t>(std::ceil(std::max(demand, shortfall)));
}

void account_token_table::RequestTokens(entry& account, const account_limit& limit, double shortfall,
                                        take_result& result, time_point now) {
  if (account.outstanding_sequence != 0) {
    return;
  }
  account.outstanding_sequence = next_sequence_++;
  account.requested_at = now;
  account.is_prefetch = shortfall <= 0;
  result.sequence = account.outstanding_sequence;
  result.borrow = settings_.whole_loans && shortfall > 0 ? static_cast<std::uint64_t>(std::ceil(shortfall))
                                                         : LoanSize(account, limit, shortfall);
}

bool account_token_table::WantsPrefetch(const entry& account, const account_limit& limit, double amount,
                                        time_point now) const {
  const auto loan_size = static_cast<double>(LoanSize(account, limit, 0));
  // A loan for less than two requests would mostly leave a rest.
  const bool is_busy = loan_size >= 2 * amount && now >= account.prefetch_refused_until;
  return BorrowedAmount(account, now) < loan_size / 2 && (!settings_.whole_loans || is_busy);
}

void account_token_table::UpdateLocal(entry& account, const account_limit& limit, std::size_t routers,
                                      time_point now) const {
  const double share = settings_.local_share / static_cast<double>(std::max<std::size_t>(routers, 1));
  const double rate = static_cast<double>(limit.tokens_per_second) * share;
  const double burst = EffectiveBurst(limit) * share;
  if (account.local) {
    account.local->SetLimit(rate, burst, now);
  } else {
    account.local.emplace(rate, burst, 0.0, now);
  }
}

take_result account_token_table::TakeLocal(entry& account, double amount, double burst, std::size_t routers,
                                           time_point now) const {
  // A request larger than the local burst is admitted when the bucket is full, and leaves a negative level. Otherwise
  // no request of typical size could ever run with the small local share.
  const double needed = std::min(amount, burst);
  const double overdraft = settings_.local_overdraft / static_cast<double>(std::max<std::size_t>(routers, 1));
  const bool is_too_large = settings_.local_overdraft > 0 && amount > burst + overdraft;
  take_result result;
  if (account.local->Level(now) >= needed && !is_too_large) {
    account.local->Take(amount, now);
    return result;
  }
  result.verdict = take_verdict::kRefused;
  result.retry_in = is_too_large ? kHomeRetryTime : account.local->TimeUntilAvailable(needed, now);
  return result;
}

take_result account_token_table::TakeTokens(const account_name& account, const account_limit& limit,
                                            std::uint64_t amount, bool home_reachable, std::size_t routers,
                                            time_point now, bool is_retry) {
  take_result result;
  if (limit.tokens_per_second == 0) {
    return result;
  }
  const auto wanted = static_cast<double>(amount);
  if (wanted > std::floor(LendableBurst(limit, settings_))) {
    result.verdict = take_verdict::kTooLarge;
    return result;
  }
  entry& state = accounts_[account];
  state.last_used = now;
  SetLimit(state, limit);
  RemoveExpired(state, now);
  UpdateLocal(state, limit, routers, now);
  if (!is_retry) {
    RecordDemand(state, wanted, now);
  }
  const double borrowed = BorrowedAmount(state, now);
  const bool may_borrow = home_reachable && now >= state.refused_until;
  if (borrowed >= wanted) {
    Spend(state, wanted, now);
    if (may_borrow && WantsPrefetch(state, limit, wanted, now)) {
      RequestTokens(state, limit, 0, result, now);
    }
    return result;
  }
  if (!home_reachable) {
    const double burst =
        EffectiveBurst(limit) * settings_.local_share / static_cast<double>(std::max<std::size_t>(routers, 1));
    return TakeLocal(state, wanted, burst, routers, now);
  }
  if (!may_borrow) {
    result.verdict = take_verdict::kRefused;
    result.retry_in = std::chrono::ceil<milliseconds>(state.refused_until - now);
    return result;
  }
  result.verdict = take_verdict::kBorrow;
  RequestTokens(state, limit, wanted - borrowed, result, now);
  return result;
}

void account_token_table::RecordLoan(const account_name& account, std::uint64_t sequence, const loan& lent,
                                     time_point now) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end() || found->second.outstanding_sequence != sequence || sequence == 0) {
    return;
  }
  entry& state = found->second;
  state.outstanding_sequence = 0;
  if (lent.retry_in > milliseconds(0)) {
    // The home router may still have enough for one request when it has not enough for a loan in advance.
    const bool is_prefetch = settings_.whole_loans && state.is_prefetch;
    (is_prefetch ? state.prefetch_refused_until : state.refused_until) = now + lent.retry_in;
  }
  RemoveExpired(state, now);
  const time_point expires = state.requested_at + settings_.loan_lifetime;
  if (lent.amount == 0 || expires <= now) {
    return;
  }
  if (!state.active_loans.empty() && expires - state.active_loans.back().expires <= kLoanMergeTime) {
    state.active_loans.back().amount += static_cast<double>(lent.amount);
  } else {
    state.active_loans.push_back({static_cast<double>(lent.amount), state.requested_at, expires});
  }
}

void account_token_table::RecordLoanFailure(const account_name& account, std::uint64_t sequence) {
  const auto found = accounts_.find(account);
  if (found != accounts_.end() && found->second.outstanding_sequence == sequence) {
    found->second.outstanding_sequence = 0;
  }
}

std::uint64_t account_token_table::ReturnTokens(const account_name& account, std::uint64_t amount, time_point now) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return 0;
  }
  entry& state = found->second;
  RemoveExpired(state, now);
  if (settings_.whole_loans) {
    const auto taken = std::find_if(state.recent_takes.begin(), state.recent_takes.end(), [&](const recent_take& each) {
      return each.amount == static_cast<double>(amount) && !IsPastReturn(each, now);
    });
    if (taken == state.recent_takes.end()) {
      return 0;
    }
    state.recent_takes.erase(taken);
    return amount;
  }
  // If all loans have expired, the tokens are lost: a new lifetime for them would exceed the bound in limits.h.
  if (!state.active_loans.empty()) {
    state.active_loans.front().amount += static_cast<double>(amount);
  }
  return 0;
}

void account_token_table::ExpireAccounts(time_point now) {
  std::erase_if(accounts_, [&](const auto& item) {
    const entry& state = item.second;
    const bool is_overdrawn = state.local && state.local->Level(now) < 0;
    return !is_overdrawn && state.outstanding_sequence == 0 && now - state.last_used > settings_.idle_retention;
  });
}

std::uint64_t account_token_table::BorrowedTokens(const account_name& account, time_point now) const {
  const auto found = accounts_.find(account);
  return found == accounts_.end() ? 0 : static_cast<std::uint64_t>(BorrowedAmount(found->second, now));
}

}  // namespace persimmon
