// Keeps the rate limits of client accounts (persimmon/account_limits.h) together with the other routers. A service of
// the kernel.
//
// A router borrows tokens from the home router of the account by datagrams: lend_tokens and its answer, tokens_lent. A
// lost one is repeated once. Tokens of requests that have not run go back as return_tokens.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/kernel.h"
#include "core/metrics.h"
#include "direct/directory.h"
#include "direct/limit_tracker.h"
#include "direct/router_group.h"
#include "persimmon/account_limits.h"

namespace persimmon {

struct usage_grant {
  bool granted = false;
  milliseconds retry_in{0};  // not granted: until the amount is expected to be available

  bool operator==(const usage_grant&) const = default;
};

class account_tracker {
 public:
  explicit account_tracker(kernel& services) : kernel_(services) {}

  void Start();
  void Stop();

  // Limit of an account, or nothing if the account is unknown: this router lends it nothing then. Set before Start; by
  // default that of the desired state in force.
  std::function<std::optional<account_limit>(const account_name&)> find_limit;

  // Takes the amount of one request from the account's limit. Waits at most 120 ms for an answer of the account's home
  // router. An account without a limit is always granted. `limit` counts only if find_limit does not
  // know the account.
  task<usage_grant> Take(account_name account, account_limit limit, std::uint64_t amount);

  // Returns the amount of a request that has certainly not run at any endpoint.
  void Return(const account_name& account, std::uint64_t amount);

 private:
  // Refusals of one account that are not logged yet: there is at most one line per account and second.
  struct refusal_log {
    time_point logged;
    std::uint64_t refusals = 0;
  };
  // Wakes requests that wait for an answer, of one account each.
  using wakeup_timer = std::shared_ptr<asio::steady_timer>;

  account_home FindHome(const account_name& account, time_point now) const;
  usage_grant Refuse(const account_name& account, std::uint64_t amount, const account_take& taken,
                     const account_home& home);
  void LogRefusal(const account_name& account, std::uint64_t amount, const account_take& taken,
                  const account_home& home);
  task<> WaitForAnswer(account_name account, time_point end);
  void WakeWaiting(const account_name& account);
  void Receive(const host_port& sender, const message& received);
  void Lend(const host_port& borrower, const lend_tokens& asked);
  void TakeBack(const host_port& borrower, const return_tokens& returned);
  void Send(const loan_request& request);
  void ScheduleOverdueCheck();
  void HandleOverdue();
  void ExpireUnused();

  kernel& kernel_;
  deployment_directory* directory_ = nullptr;
  router_group* group_ = nullptr;
  limit_tracker* limit_tracker_ = nullptr;
  std::string own_address_;
  std::unique_ptr<account_limits> limits_;  // set by Start, when the own address is known
  std::unordered_map<account_name, std::vector<wakeup_timer>> waiting_;
  std::unordered_map<account_name, refusal_log> refusal_logs_;
  bool is_overdue_check_scheduled_ = false;
  timer_subscription overdue_timer_;
  timer_subscription expiry_timer_;
  counter* granted_ = nullptr;
  counter* refused_by_limit_ = nullptr;
  counter* refused_without_home_ = nullptr;
  counter* loans_asked_ = nullptr;
  counter* loans_repeated_ = nullptr;
  counter* loans_unanswered_ = nullptr;
  counter* loans_given_ = nullptr;
  counter* loans_denied_ = nullptr;
};

}  // namespace persimmon
