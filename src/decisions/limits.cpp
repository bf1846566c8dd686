// Sections
//   1. token bucket
//   2. home router
//   3. every router
#include "persimmon/limits.h"

#include <algorithm>
#include <cmath>

#include "persimmon/selection.h"

namespace persimmon {
namespace {

// Loans that expire this close together are kept as one, with the earlier expiry.
constexpr milliseconds kBatchMerge = milliseconds(50);

// Longest time that TimeUntil reports.
constexpr milliseconds kNever = milliseconds(86'400'000);

double Seconds(std::chrono::nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

double BurstOf(const account_limit& limit) {
  return static_cast<double>(limit.burst_tokens > 0 ? limit.burst_tokens : limit.tokens_per_second);
}

double LendableBurst(const account_limit& limit, const limit_settings& settings) {
  return BurstOf(limit) * (1 - settings.local_share);
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. token bucket
// ---------------------------------------------------------------------------------------------------------------------

double token_bucket::Level(time_point now) const {
  const double elapsed_s = std::max(0.0, Seconds(now - updated_));
  return std::min(burst_, level_ + rate_ * elapsed_s);
}

void token_bucket::SetLimit(double rate, double burst, time_point now) {
  level_ = std::min(Level(now), burst);
  updated_ = std::max(updated_, now);
  rate_ = rate;
  burst_ = burst;
}

void token_bucket::Take(double amount, time_point now) {
  level_ = Level(now) - amount;
  updated_ = std::max(updated_, now);
}

void token_bucket::Add(double amount, time_point now) {
  level_ = std::min(burst_, Level(now) + amount);
  updated_ = std::max(updated_, now);
}

milliseconds token_bucket::TimeUntil(double amount, time_point now) const {
  const double missing = amount - Level(now);
  if (missing <= 0) {
    return milliseconds(0);
  }
  if (amount > burst_ || rate_ <= 0 || missing / rate_ >= Seconds(kNever)) {
    return kNever;
  }
  return milliseconds(static_cast<std::int64_t>(std::ceil(missing / rate_ * 1e3)));
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

loan token_lender::LendTokens(const account_name& account, const account_limit& limit, std::uint64_t amount,
                              time_point now) {
  if (limit.tokens_per_second == 0) {
    return {amount, milliseconds(0)};
  }
  const double rate = static_cast<double>(limit.tokens_per_second) * (1 - settings_.local_share);
  const double burst = LendableBurst(limit, settings_);
  // Half full: a router that has just become the home does not know what its predecessor has lent.
  auto& entry = buckets_.try_emplace(account, bucket_entry{{rate, burst, burst / 2, now}, limit, now}).first->second;
  if (entry.limit != limit) {
    entry.bucket.SetLimit(rate, burst, now);
    entry.limit = limit;
  }
  entry.used = now;
  const double wanted = std::min(static_cast<double>(amount), burst);
  const double level = std::max(0.0, std::floor(entry.bucket.Level(now)));
  loan lent;
  // Less than half is not lent: small remains would expire in several routers without serving a request in any of them.
  if (level >= wanted || level * 2 >= wanted) {
    lent.amount = static_cast<std::uint64_t>(std::min(level, wanted));
    entry.bucket.Take(static_cast<double>(lent.amount), now);
  }
  if (lent.amount < amount) {
    lent.retry_in = entry.bucket.TimeUntil(std::min(burst, static_cast<double>(amount - lent.amount)), now);
  }
  return lent;
}

void token_lender::ExpireBuckets(time_point now) {
  std::erase_if(buckets_, [&](const auto& item) {
    const bucket_entry& entry = item.second;
    // A new bucket is only half full, so that forgetting a full one never adds tokens.
    return now - entry.used > settings_.idle_retention &&
           entry.bucket.Level(now) >= LendableBurst(entry.limit, settings_) / 2;
  });
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. every router
// ---------------------------------------------------------------------------------------------------------------------

void token_account_table::DropExpired(entry& account, time_point now) {
  while (!account.batches.empty() && account.batches.front().expires <= now) {
    account.batches.pop_front();
  }
}

double token_account_table::Spendable(const entry& account, time_point now) {
  double sum = 0;
  for (const borrowed_batch& batch : account.batches) {
    sum += batch.expires > now ? batch.amount : 0;
  }
  return sum;
}

void token_account_table::Spend(entry& account, double amount) {
  while (amount > 0 && !account.batches.empty()) {
    borrowed_batch& batch = account.batches.front();
    const double taken = std::min(amount, batch.amount);
    batch.amount -= taken;
    amount -= taken;
    if (batch.amount <= 0) {
      account.batches.pop_front();
    }
  }
}

void token_account_table::NoteNeed(entry& account, double amount, time_point now) const {
  const double elapsed_s = std::max(0.0, Seconds(now - account.need_updated));
  account.need = account.need * std::exp(-elapsed_s / Seconds(settings_.rate_window)) + amount;
  account.need_updated = now;
}

std::uint64_t token_account_table::BatchSize(const entry& account, const account_limit& limit, double missing) const {
  const double rate = account.need / Seconds(settings_.rate_window);
  const double batch = std::min(rate * Seconds(settings_.batch_time), BurstOf(limit) * settings_.max_batch_share);
  return static_cast<std::uint64_t>(std::ceil(std::max(batch, missing)));
}

void token_account_table::Ask(entry& account, const account_limit& limit, double missing, take_result& result,
                              time_point now) {
  if (account.asked != 0) {
    return;
  }
  account.asked = next_sequence_++;
  account.asked_at = now;
  result.sequence = account.asked;
  result.borrow = BatchSize(account, limit, missing);
}

take_result token_account_table::TakeLocal(entry& account, const account_limit& limit, double amount,
                                           std::size_t routers, time_point now) const {
  const double share = settings_.local_share / static_cast<double>(std::max<std::size_t>(routers, 1));
  const double rate = static_cast<double>(limit.tokens_per_second) * share;
  const double burst = BurstOf(limit) * share;
  if (account.local) {
    account.local->SetLimit(rate, burst, now);
  } else {
    account.local.emplace(rate, burst, 0.0, now);
  }
  // A request larger than the local burst is let through when the bucket is full, and leaves it in debt; otherwise no
  // request of usual size could ever run on a share this small.
  const double needed = std::min(amount, burst);
  take_result result;
  if (account.local->Level(now) >= needed) {
    account.local->Take(amount, now);
    return result;
  }
  result.verdict = take_verdict::kRefused;
  result.retry_in = account.local->TimeUntil(needed, now);
  return result;
}

take_result token_account_table::TakeTokens(const account_name& account, const account_limit& limit,
                                            std::uint64_t amount, bool home_reachable, std::size_t routers,
                                            time_point now) {
  take_result result;
  if (limit.tokens_per_second == 0) {
    return result;
  }
  const auto wanted = static_cast<double>(amount);
  if (wanted > std::floor(LendableBurst(limit, settings_))) {
    result.verdict = take_verdict::kTooLarge;
    return result;
  }
  entry& own = accounts_[account];
  own.used = now;
  DropExpired(own, now);
  NoteNeed(own, wanted, now);
  const double spendable = Spendable(own, now);
  const bool may_ask = home_reachable && now >= own.refused_until;
  if (spendable >= wanted) {
    Spend(own, wanted);
    const double batch = static_cast<double>(BatchSize(own, limit, 0));
    if (may_ask && spendable - wanted < batch / 2) {
      Ask(own, limit, 0, result, now);
    }
    return result;
  }
  if (!home_reachable) {
    return TakeLocal(own, limit, wanted, routers, now);
  }
  if (!may_ask) {
    result.verdict = take_verdict::kRefused;
    result.retry_in = std::chrono::ceil<milliseconds>(own.refused_until - now);
    return result;
  }
  result.verdict = take_verdict::kBorrow;
  Ask(own, limit, wanted - spendable, result, now);
  return result;
}

void token_account_table::NoteLoan(const account_name& account, std::uint64_t sequence, const loan& lent,
                                   time_point now) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end() || found->second.asked != sequence || sequence == 0) {
    return;
  }
  entry& own = found->second;
  own.asked = 0;
  if (lent.retry_in > milliseconds(0)) {
    own.refused_until = now + lent.retry_in;
  }
  DropExpired(own, now);
  const time_point expires = own.asked_at + settings_.loan_lifetime;
  if (lent.amount == 0 || expires <= now) {
    return;
  }
  if (!own.batches.empty() && expires - own.batches.back().expires <= kBatchMerge) {
    own.batches.back().amount += static_cast<double>(lent.amount);
  } else {
    own.batches.push_back({static_cast<double>(lent.amount), expires});
  }
}

void token_account_table::NoteLoanFailed(const account_name& account, std::uint64_t sequence) {
  const auto found = accounts_.find(account);
  if (found != accounts_.end() && found->second.asked == sequence) {
    found->second.asked = 0;
  }
}

void token_account_table::ReturnTokens(const account_name& account, std::uint64_t amount, time_point now) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return;
  }
  DropExpired(found->second, now);
  // Without an unexpired batch the tokens are lost: giving them a new lifetime would exceed the stated bound.
  if (!found->second.batches.empty()) {
    found->second.batches.front().amount += static_cast<double>(amount);
  }
}

void token_account_table::ExpireAccounts(time_point now) {
  std::erase_if(accounts_, [&](const auto& item) {
    const entry& own = item.second;
    const bool is_in_debt = own.local && own.local->Level(now) < 0;
    return !is_in_debt && own.asked == 0 && now - own.used > settings_.idle_retention;
  });
}

std::uint64_t token_account_table::BorrowedTokens(const account_name& account, time_point now) const {
  const auto found = accounts_.find(account);
  return found == accounts_.end() ? 0 : static_cast<std::uint64_t>(Spendable(found->second, now));
}

}  // namespace persimmon
