// Token rate limits of accounts, enforced across all routers.
//
// Sections
//   1. settings and values
//   2. token bucket
//   3. home router: lending tokens
//   4. borrowed tokens on each router
//
// Each account has a home router, chosen by hash, which holds the account's token bucket. It lends tokens from the
// bucket to all routers. Tokens leave the bucket when they are lent, so a lost message, a crashed borrower or an
// expired loan can only lose tokens. The fraction `local_share` of the limit is never lent: each of the n known routers
// may spend 1/n of it while it cannot reach the home router.
//
// For an account with rate r and burst b, all routers together spend in any period of t seconds at most the sum of:
//   r*t + b            the limit
//   + r*loan_lifetime  tokens lent before the period and spent in it
//   + b/2              for each restart or change of the home router
//   + r*d              for each change of the home router, where d is the time in which routers disagree about it
//   + m                for each start of a router that then spends its local share, where m is the largest request
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. settings and values
// ---------------------------------------------------------------------------------------------------------------------

struct limit_settings {
  double local_share = 0.05;                          // of the limit, reserved for disconnected routers
  milliseconds loan_lifetime = milliseconds(2'000);   // time after which unused lent tokens expire
  milliseconds loan_demand_time = milliseconds(500);  // one loan covers the demand of this period, at the recent rate
  milliseconds rate_window = milliseconds(2'000);     // time constant of the recent rate's average
  // Largest loan as a fraction of the burst; exceeded only if a single request needs more.
  double max_loan_share = 0.25;
  milliseconds idle_retention = milliseconds(60'000);  // time after which idle accounts are removed
  // True: the local share is lent too, so that connected routers can use the whole limit, and is spent in excess of it.
  bool local_share_is_extra = false;
  // Largest sum, over all routers, by which requests may overdraw the local share. 0: each router may overdraw it by
  // one request.
  double local_overdraft = 0;
  // True: a router borrows exactly what a request needs, and in advance only if its demand uses the loan within
  // loan_demand_time. Loans are granted whole or not at all. With many routers and small limits, rests of loans that no
  // request fits into would expire.
  bool whole_loans = false;
  // With whole_loans, a bucket may be overdrawn by this part of its burst. Otherwise small requests would keep the
  // level below what a large one needs, and large ones would never be admitted.
  double overdraft_share = 0;
  // Largest overdraft of the buckets of all sides of a partitioned network together, in tokens.
  double partition_overdraft = 0;
  // Time after a loan was requested in which tokens of requests that were not sent can be returned.
  milliseconds return_time = milliseconds(2'000);

  bool operator==(const limit_settings&) const = default;
};

// Rate limit of one account, from its account record.
struct account_limit {
  std::uint64_t tokens_per_second = 0;  // 0: no limit
  std::uint64_t burst_tokens = 0;       // 0: the tokens of one second

  bool operator==(const account_limit&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. token bucket
// ---------------------------------------------------------------------------------------------------------------------

class token_bucket {
 public:
  token_bucket(double rate, double burst, double level, time_point now)
      : rate_(rate), burst_(burst), level_(level), updated_at_(now) {}

  // Changes the limit. The level is kept, capped at the new burst.
  void SetLimit(double rate, double burst, time_point now);
  double Level(time_point now) const;
  void Take(double amount, time_point now);  // the level may fall below 0
  void Add(double amount, time_point now);   // capped at the burst

  // Time until the level reaches `amount`. If that never happens or takes longer than a day, returns one day.
  milliseconds TimeUntilAvailable(double amount, time_point now) const;

 private:
  double rate_;   // tokens per second
  double burst_;  // capacity
  double level_;
  time_point updated_at_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. home router: lending tokens
// ---------------------------------------------------------------------------------------------------------------------

// Returns the account's home router by rendezvous hashing; nullopt without routers. Pass the routers of the VM list,
// not those with recent heartbeats: routers disagree about which ones are alive, and two home routers would lend the
// same tokens twice.
std::optional<router_name> HomeRouter(const account_name& account, std::span<const router_name> routers);

struct loan {
  std::uint64_t amount = 0;  // tokens granted; may be 0
  milliseconds retry_in{0};  // time until the rest is expected to be available

  bool operator==(const loan&) const = default;
};

// Token buckets of the accounts whose home is this router. A new bucket is half full.
class token_lender {
 public:
  explicit token_lender(limit_settings settings) : settings_(settings) {}

  // Lends up to `amount` tokens. Granted tokens leave the bucket and are not returned. `share`: part of the limit that
  // this router may lend.
  loan LendTokens(const account_name& account, const account_limit& limit, std::uint64_t amount, time_point now,
                  double share = 1);

  // Puts returned tokens back, if this router has the account's bucket.
  void ReturnTokens(const account_name& account, std::uint64_t amount, time_point now);

  // Sets the share of each account's limit that this router may lend from now on. Removes the buckets of accounts with
  // share 0: another router has lent since then, so the bucket must not fill up meanwhile.
  template <class function>
  void UpdateShares(function share_of, time_point now) {
    for (auto item = buckets_.begin(); item != buckets_.end();) {
      const double share = share_of(item->first);
      SetLimit(item->second, item->second.limit, share, now);
      item = share <= 0 ? buckets_.erase(item) : std::next(item);
    }
  }

  // Removes buckets that are at least half full and have been idle for the retention time.
  void ExpireBuckets(time_point now);
  std::size_t BucketCount() const { return buckets_.size(); }

 private:
  struct bucket_entry {
    token_bucket bucket;
    account_limit limit;
    double share = 1;
    time_point last_used;
  };
  double Capacity(const account_limit& limit, double share) const;
  double Overdraft(const account_limit& limit, double share) const;
  void SetLimit(bucket_entry& entry, const account_limit& limit, double share, time_point now) const;

  limit_settings settings_;
  std::unordered_map<account_name, bucket_entry> buckets_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 4. borrowed tokens on each router
// ---------------------------------------------------------------------------------------------------------------------

enum class take_verdict : std::uint8_t {
  kTaken,
  kBorrow,    // not enough tokens: request `borrow` from the home router, then retry
  kRefused,   // the account has reached its limit; retry after `retry_in`
  kTooLarge,  // more than the part of the burst that is not reserved as local share; can never succeed
};

struct take_result {
  take_verdict verdict = take_verdict::kTaken;
  // kTaken, kBorrow: tokens to request from the home router now; 0: none. With kTaken, to refill in advance.
  std::uint64_t borrow = 0;
  std::uint64_t sequence = 0;  // sequence number of the request to the home router
  milliseconds retry_in{0};

  bool operator==(const take_result&) const = default;
};

// Per account, the tokens that this router has borrowed and its part of the local share.
class account_token_table {
 public:
  // `first_sequence`: a random one keeps answers to an earlier process of this router apart.
  explicit account_token_table(limit_settings settings, std::uint64_t first_sequence = 1)
      : settings_(settings), next_sequence_(first_sequence) {}

  // Takes the tokens for one request. `routers` is the number of routers in the VM list. While the home router is
  // unreachable, only borrowed tokens and the local share are spent. At most one request for tokens is outstanding per
  // account, until RecordLoan or RecordLoanFailure is called. `is_retry`: of a request that has got kBorrow, so its
  // amount is already counted as demand.
  take_result TakeTokens(const account_name& account, const account_limit& limit, std::uint64_t amount,
                         bool home_reachable, std::size_t routers, time_point now, bool is_retry = false);

  // Handles the home router's reply. Lent tokens expire after the loan lifetime, counted from the request for them. A
  // reply to any other than the outstanding request is ignored, so tokens may be lost but never counted twice.
  void RecordLoan(const account_name& account, std::uint64_t sequence, const loan& lent, time_point now);
  void RecordLoanFailure(const account_name& account, std::uint64_t sequence);

  // Returns tokens that a request took but did not use, for example because it was rejected. With whole_loans, only
  // those of a request that took this amount from loans that were requested within the return time; others are lost.
  // The result is the amount to be returned to the home router: nobody here may need it before it expires.
  std::uint64_t ReturnTokens(const account_name& account, std::uint64_t amount, time_point now);

  void ExpireAccounts(time_point now);
  std::size_t AccountCount() const { return accounts_.size(); }

  // Borrowed tokens that have not expired.
  std::uint64_t BorrowedTokens(const account_name& account, time_point now) const;

 private:
  struct active_loan {
    double amount = 0;
    time_point requested;
    time_point expires;
  };
  struct recent_take {
    double amount = 0;
    time_point requested;  // of the earliest loan that it took from
  };
  struct entry {
    std::deque<active_loan> active_loans;  // earliest expiry first
    std::deque<recent_take> recent_takes;  // from loans; only with whole_loans
    account_limit limit;
    std::optional<token_bucket> local;
    double demand = 0;  // requested tokens, with exponential decay over the rate window
    time_point demand_updated;
    time_point refused_until;                // the home router has no tokens before this time
    time_point prefetch_refused_until;       // only with whole_loans
    bool is_prefetch = false;                // the outstanding request
    std::uint64_t outstanding_sequence = 0;  // sequence number of the outstanding request to the home router; 0: none
    time_point requested_at;
    time_point last_used;
  };
  static void RemoveExpired(entry& account, time_point now);
  static double BorrowedAmount(const entry& account, time_point now);
  void Spend(entry& account, double amount, time_point now) const;
  static void SetLimit(entry& account, const account_limit& limit);
  bool IsPastReturn(const recent_take& taken, time_point now) const {
    return now >= taken.requested + settings_.return_time;
  }
  bool WantsPrefetch(const entry& account, const account_limit& limit, double amount, time_point now) const;
  void RecordDemand(entry& account, double amount, time_point now) const;
  std::uint64_t LoanSize(const entry& account, const account_limit& limit, double shortfall) const;
  void RequestTokens(entry& account, const account_limit& limit, double shortfall, take_result& result, time_point now);
  void UpdateLocal(entry& account, const account_limit& limit, std::size_t routers, time_point now) const;
  take_result TakeLocal(entry& account, double amount, double burst, std::size_t routers, time_point now) const;

  limit_settings settings_;
  std::unordered_map<account_name, entry> accounts_;
  std::uint64_t next_sequence_;
};

}  // namespace persimmon
