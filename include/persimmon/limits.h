// Limits of accounts over all routers.
//
// Sections
//   1. settings and values
//   2. token bucket
//   3. home router: lending
//   4. every router: borrowing and spending
//
// The home router of an account holds its token bucket and lends from it in batches. Lent tokens leave the bucket when
// they are lent, so a lost message, a dead borrower or an expired loan can only lose tokens. The share `local_share` of
// the limit is never lent: each of the n known routers has 1/n of it for the time it cannot reach the home router.
//
// Bound, for an account with rate r and burst b, over any period of t seconds and all routers together:
//   r*t + b            the limit
//   + r*loan_lifetime  lent before the period and spent in it
//   + b/2              for each restart or change of the home router
//   + r*d              for each change of the home router, d being the time in which routers disagree about it
//   + m                for each start of a router that then spends its local share; m is the largest request
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
  double local_share = 0.05;                           // of the limit, kept back for routers that are cut off
  milliseconds loan_lifetime = milliseconds(2'000);    // unused lent tokens expire
  milliseconds batch_time = milliseconds(500);         // a batch covers the account's recent need for this time
  milliseconds rate_window = milliseconds(2'000);      // time constant of the recent rate
  double max_batch_share = 0.25;                       // of the burst: largest batch, unless one request needs more
  milliseconds idle_retention = milliseconds(60'000);  // buckets of idle accounts are then forgotten

  bool operator==(const limit_settings&) const = default;
};

// Limit of one account, from its record.
struct account_limit {
  std::uint64_t tokens_per_second = 0;  // 0: no limit
  std::uint64_t burst_tokens = 0;       // 0: one second's tokens

  bool operator==(const account_limit&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. token bucket
// ---------------------------------------------------------------------------------------------------------------------

class token_bucket {
 public:
  token_bucket(double rate, double burst, double level, time_point now)
      : rate_(rate), burst_(burst), level_(level), updated_(now) {}

  // Changes the limit. The level is kept, but no higher than the new burst.
  void SetLimit(double rate, double burst, time_point now);
  double Level(time_point now) const;
  void Take(double amount, time_point now);  // the level may fall below 0
  void Add(double amount, time_point now);   // never above the burst

  // Time until the level reaches `amount`; the longest representable time if it never does.
  milliseconds TimeUntil(double amount, time_point now) const;

 private:
  double rate_;   // tokens per second
  double burst_;  // highest level
  double level_;
  time_point updated_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. home router
// ---------------------------------------------------------------------------------------------------------------------

// The account's home among the routers of the VM list, by rendezvous hashing. Use the list and not the heartbeats: a
// home that moves while routers disagree about who is alive would lend twice. Nothing without routers.
std::optional<router_name> HomeRouter(const account_name& account, std::span<const router_name> routers);

struct loan {
  std::uint64_t amount = 0;  // tokens granted, possibly 0
  milliseconds retry_in{0};  // when the rest is expected

  bool operator==(const loan&) const = default;
};

// The buckets of the accounts whose home this router is. A bucket starts half full.
class token_lender {
 public:
  explicit token_lender(limit_settings settings) : settings_(settings) {}

  // Lends up to `amount`. Tokens granted leave the bucket for good.
  loan LendTokens(const account_name& account, const account_limit& limit, std::uint64_t amount, time_point now);

  // Forgets the buckets, at least half full, of accounts that have been idle for the retention time.
  void ExpireBuckets(time_point now);
  std::size_t BucketCount() const { return buckets_.size(); }

 private:
  struct bucket_entry {
    token_bucket bucket;
    account_limit limit;
    time_point used;
  };
  limit_settings settings_;
  std::unordered_map<account_name, bucket_entry> buckets_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 4. every router
// ---------------------------------------------------------------------------------------------------------------------

enum class take_verdict : std::uint8_t {
  kTaken,
  kBorrow,    // not enough here: ask the home router for `amount`, then try again
  kRefused,   // the account is at its limit; come back after `retry_in`
  kTooLarge,  // larger than the lendable part of the burst: never possible
};

struct take_result {
  take_verdict verdict = take_verdict::kTaken;
  std::uint64_t borrow = 0;    // kTaken, kBorrow: tokens to ask the home router for now; 0: none
  std::uint64_t sequence = 0;  // of the request to the home router
  milliseconds retry_in{0};

  bool operator==(const take_result&) const = default;
};

// Tokens that this router has borrowed, and its local shares.
class token_account_table {
 public:
  explicit token_account_table(limit_settings settings) : settings_(settings) {}

  // Takes the tokens of one request. `routers` is the number of routers in the VM list. While the home router cannot be
  // reached, only borrowed tokens and the local share are spent. One request for tokens is outstanding at a time;
  // NoteLoan or NoteLoanFailed ends it.
  take_result TakeTokens(const account_name& account, const account_limit& limit, std::uint64_t amount,
                         bool home_reachable, std::size_t routers, time_point now);

  // The home router's answer. Lent tokens expire after the loan lifetime, counted from the time they were asked for. An
  // answer whose sequence number is not the outstanding one is ignored: its tokens are lost, and none counts twice.
  void NoteLoan(const account_name& account, std::uint64_t sequence, const loan& lent, time_point now);
  void NoteLoanFailed(const account_name& account, std::uint64_t sequence);

  // Gives back tokens that a request took and did not use, for example when it was refused.
  void ReturnTokens(const account_name& account, std::uint64_t amount, time_point now);

  void ExpireAccounts(time_point now);
  std::size_t AccountCount() const { return accounts_.size(); }

  // Borrowed tokens that can be spent now.
  std::uint64_t BorrowedTokens(const account_name& account, time_point now) const;

 private:
  struct borrowed_batch {
    double amount = 0;
    time_point expires;
  };
  struct entry {
    std::deque<borrowed_batch> batches;  // earliest expiry first
    std::optional<token_bucket> local;
    double need = 0;  // tokens asked for, fading over the rate window
    time_point need_updated;
    time_point refused_until;  // the home router has nothing before this
    std::uint64_t asked = 0;   // sequence number of the outstanding request; 0: none
    time_point asked_at;
    time_point used;
  };
  static void DropExpired(entry& account, time_point now);
  static double Spendable(const entry& account, time_point now);
  static void Spend(entry& account, double amount);
  void NoteNeed(entry& account, double amount, time_point now) const;
  std::uint64_t BatchSize(const entry& account, const account_limit& limit, double missing) const;
  void Ask(entry& account, const account_limit& limit, double missing, take_result& result, time_point now);
  take_result TakeLocal(entry& account, const account_limit& limit, double amount, std::size_t routers,
                        time_point now) const;

  limit_settings settings_;
  std::unordered_map<account_name, entry> accounts_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace persimmon
