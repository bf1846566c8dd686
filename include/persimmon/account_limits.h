// Rate limits of client accounts, kept by all routers together: the state of one router. It sends nothing itself.
//
// Sections
//   1. settings and values
//   2. state of one router
//
// Each account has a home router, which holds its token bucket and lends tokens to all routers (persimmon/limits.h).
// The caller of this module states which router that is, and which share of the limit this router may lend itself:
// routers without agents derive both from the live routers (limit_members), routers with agents from the VM list.
//
// For an account with rate r and burst b, and settings as in DirectAccountSettings, all routers together spend in any
// period of t seconds at most the sum of:
//   r*t + b             one home router
//   + 0.15*b            overdraft by one request
//   + 0.5 s * r         tokens lent before the period and spent in it; 1 s * r if requests return tokens
//   + 0.15*b + 0.3*r*d       for each change of the home router, where d is the time in which both act
//   + s*(r*t + b/2)     for a minority behind a network partition, where s is 0.1 of its part of the routers
//   + 0.02*r*t + 80,000 local shares of routers that cannot reach the home router, and overdraft of a minority
// Section "Bounds" of docs/design/account-limits.md compares the sum with what is allowed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "persimmon/limits.h"
#include "persimmon/request_limits.h"
#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. settings and values
// ---------------------------------------------------------------------------------------------------------------------

struct account_limit_settings {
  limit_settings limits;
  milliseconds answer_time = milliseconds(50);  // of the home router, to one message
  int max_asks = 2;                             // messages for one loan; a lost one is repeated
  // A home router that has not answered this or any other message meanwhile is asked for nothing for this long.
  milliseconds silent_time = milliseconds(200);
  // After which a request may be tried again, if a router that is not the home router was asked.
  milliseconds misdirected_time = milliseconds(50);
  // Longest time after which a request that the local share does not cover may be tried again: another home router may
  // be known by then.
  milliseconds max_local_retry = milliseconds(500);
  // Shares of a limit that a home router lends.
  double takeover_share = 0.3;                          // while its predecessor may still lend
  double unknown_count_share = 0.02;                    // while it is unknown how many routers there are
  double minority_share = 0.1;                          // times the part of the routers on a side without most of them
  milliseconds answer_retention = milliseconds(1'000);  // of answers, to give repeated questions the same one

  bool operator==(const account_limit_settings&) const = default;
};

// Settings of routers without agents.
account_limit_settings DirectAccountSettings();

// Settings of routers with agents: loans for the demand of half a second, over channels that lose no messages.
account_limit_settings AgentAccountSettings(milliseconds answer_time);

// Hash key of the account, for limit_members.
std::uint64_t AccountKey(const account_name& account);

// Home router of an account, as one router sees it.
struct account_home {
  std::string router;       // empty: unknown
  double own_share = 0;     // of the limit that this router may lend; 0: it is not the home router
  std::size_t routers = 1;  // among which local shares are divided

  bool operator==(const account_home&) const = default;
};

// Home router over the live routers. `routers`: number of all routers, with silent ones; 0: unknown.
account_home FindAccountHome(const limit_members& members, const std::string& own_address, const account_name& account,
                             std::size_t routers, const account_limit_settings& settings, time_point now);

// Share of the account's limit that this router may lend; 0 if it is not the home router.
double OwnAccountShare(const limit_members& members, const account_name& account,
                       const account_limit_settings& settings, time_point now);

// Message to the home router of an account.
struct loan_request {
  std::string home;
  account_name account;
  std::uint64_t sequence = 0;
  std::uint64_t amount = 0;

  bool operator==(const loan_request&) const = default;
};

struct account_take {
  take_verdict verdict = take_verdict::kTaken;  // kBorrow: try again when an answer has arrived
  milliseconds retry_in{0};
  bool is_local = false;                // decided by the local share, because the home router was not reachable
  std::optional<loan_request> request;  // to be sent now

  bool operator==(const account_take&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. state of one router
// ---------------------------------------------------------------------------------------------------------------------

class account_limits {
 public:
  // `first_sequence`: random, so that answers to an earlier process of this router are not mistaken for newer ones.
  account_limits(std::string own_name, const account_limit_settings& settings, std::uint64_t first_sequence)
      : settings_(settings),
        own_name_(std::move(own_name)),
        lender_(settings.limits),
        table_(settings.limits, first_sequence),
        next_return_(first_sequence) {}

  const account_limit_settings& Settings() const { return settings_; }

  // Takes the tokens of one request. `stage`: kFirst, kRetry after kBorrow, and kLast once the request has waited for
  // the home router as long as it may.
  enum class take_stage : std::uint8_t { kFirst, kRetry, kLast };
  account_take Take(const account_name& account, const account_limit& limit, std::uint64_t amount,
                    const account_home& home, take_stage stage, time_point now);

  // Returns tokens of a request that has not run at any endpoint. The result is to be sent to the home router, as
  // return_tokens.
  std::optional<loan_request> Return(const account_name& account, std::uint64_t amount, const account_home& home,
                                     time_point now);

  // Takes back tokens as the home router. `sequence`: a duplicate of a message must not create tokens.
  void TakeBack(const std::string& borrower, const account_name& account, std::uint64_t sequence, std::uint64_t amount,
                double own_share, time_point now);

  // Lends as the home router. `limit`: absent if this router does not know the account.
  loan Lend(const std::string& borrower, const account_name& account, const std::optional<account_limit>& limit,
            std::uint64_t sequence, std::uint64_t amount, double own_share, time_point now);

  // Returns false if no request with this number is outstanding.
  bool RecordLoan(const account_name& account, std::uint64_t sequence, const loan& lent, time_point now);

  // The message could not be sent.
  void RecordFailure(const account_name& account, std::uint64_t sequence);

  // Requests that were not answered in time.
  struct overdue_requests {
    std::vector<loan_request> repeated;  // to be sent again
    std::vector<loan_request> failed;    // their home routers are considered silent
  };
  overdue_requests TakeOverdue(time_point now);

  // To be called about once per second. Removes buckets of accounts of which this router is not the home router any
  // more, and what was not used for long.
  template <class function>
  void Expire(function share_of, time_point now) {
    lender_.UpdateShares(share_of, now);
    ExpireUnused(now);
  }

  std::size_t BucketCount() const { return lender_.BucketCount(); }
  std::size_t PendingCount() const { return pending_.size(); }
  std::uint64_t BorrowedTokens(const account_name& account, time_point now) const {
    return table_.BorrowedTokens(account, now);
  }

 private:
  struct pending_loan {
    loan_request request;
    time_point first_asked;
    time_point asked;  // last
    int asks = 1;
  };
  struct given_answer {
    std::uint64_t sequence = 0;
    loan lent;
    std::uint64_t last_return = 0;  // sequence number of the latest message that returned tokens
    time_point at;
  };
  bool IsSilent(const std::string& router, time_point now) const;
  void ExpireUnused(time_point now);

  account_limit_settings settings_;
  std::string own_name_;
  token_lender lender_;
  account_token_table table_;
  std::unordered_map<account_name, pending_loan> pending_;
  std::map<std::pair<std::string, account_name>, given_answer> answers_;  // by borrower and account
  std::uint64_t next_return_;
  std::map<std::string, time_point> last_answers_;  // by home router
  std::map<std::string, time_point> silent_until_;  // by home router
};

}  // namespace persimmon
