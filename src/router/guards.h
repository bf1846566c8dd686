// Checks before a request is admitted: accounts with their limits, and requests that crash endpoints.
//
// Sections
//   1. accounts
//   2. suspects
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/kernel.h"
#include "core/mailbox.h"
#include "persimmon/limits.h"
#include "persimmon/suspects.h"
#include "router/caller_api.h"
#include "router/endpoint_directory.h"
#include "router/peer_directory.h"
#include "router/router_settings.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. accounts
// ---------------------------------------------------------------------------------------------------------------------

// Counts a request of an account as in progress until it is destroyed.
class account_lease {
 public:
  explicit account_lease(std::shared_ptr<std::uint32_t> count) : count_(std::move(count)) { ++*count_; }
  account_lease(account_lease&&) = default;
  account_lease& operator=(account_lease&&) = delete;
  ~account_lease() {
    if (count_) {
      --*count_;
    }
  }

 private:
  std::shared_ptr<std::uint32_t> count_;
};

struct admitted_account {
  account_record record;
  std::shared_ptr<account_lease> lease;
};

template <class value>
using guarded = outcome::result<value, refusal, outcome::policy::terminate>;

class account_guard {
 public:
  account_guard(kernel& services, const router_settings& settings);

  void Start();
  void Stop();

  // Finds the account of an API key and counts the request against its connections.
  guarded<admitted_account> Authenticate(const http_request& request);

  // Takes tokens from the account's limit, borrowing from its home router where needed.
  task<guarded<void>> TakeTokens(account_record account, std::uint64_t amount);

  // Gives back what a refused request did not use.
  void ReturnTokens(const account_name& account, std::uint64_t amount);

 private:
  struct pending_loan {
    std::uint64_t sequence = 0;
    time_point asked;
  };

  void ApplyConfiguration(const configuration& config);
  void AskHome(const account_record& account, const router_name& home, const take_result& need);
  void HandleMessage(const channel_ptr& from, const message& value);
  void ExpireLoans();
  router_name FindHome(const account_name& account) const;

  kernel& kernel_;
  const router_settings& settings_;
  token_lender lender_{limit_settings{}};
  token_account_table table_{limit_settings{}};
  std::unordered_map<std::string, account_record> by_key_hash_;
  std::unordered_map<account_name, account_record> by_name_;
  std::unordered_map<account_name, std::shared_ptr<std::uint32_t>> in_progress_;
  std::unordered_map<account_name, pending_loan> pending_;
  timer_subscription tick_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. suspects
// ---------------------------------------------------------------------------------------------------------------------

class suspect_guard {
 public:
  suspect_guard(kernel& services, const router_settings& settings);

  void Start();
  void Stop();

  suspect_check Check(fingerprint_number fingerprint) const;
  void NoteStart(fingerprint_number fingerprint, const endpoint_name& endpoint);
  void NoteEnd(fingerprint_number fingerprint, const endpoint_name& endpoint, bool answered);

  // The endpoint crashed. Several attempts notice the same crash; it is counted once.
  void NoteCrash(const endpoint_name& endpoint);

  // For heartbeats.
  std::vector<suspect_report> OwnReports() const;

  // Hash of account and body.
  static fingerprint_number MakeFingerprint(const account_name& account, std::string_view body);

 private:
  kernel& kernel_;
  const router_settings& settings_;
  suspect_table table_{suspect_settings{}};
  std::unordered_map<endpoint_name, time_point> last_crash_;
  timer_subscription tick_;
};

}  // namespace persimmon
