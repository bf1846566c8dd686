// Checks that run before a request is admitted: API keys and account limits, and protection against requests that crash
// endpoints.
//
// Sections
//   1. accounts
//   2. suspect requests
//   3. suspected parts of prompts
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/kernel.h"
#include "core/mailbox.h"
#include "net/part_board.h"
#include "persimmon/account_limits.h"
#include "persimmon/suspects.h"
#include "router/caller_api.h"
#include "router/endpoint_directory.h"
#include "router/peer_directory.h"
#include "router/router_settings.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. accounts
// ---------------------------------------------------------------------------------------------------------------------

// Counts one request of an account as in progress for the lifetime of the object.
class in_progress_guard {
 public:
  explicit in_progress_guard(std::shared_ptr<std::uint32_t> count) : count_(std::move(count)) { ++*count_; }
  in_progress_guard(in_progress_guard&&) = default;
  in_progress_guard& operator=(in_progress_guard&&) = delete;
  ~in_progress_guard() {
    if (count_) {
      --*count_;
    }
  }

 private:
  std::shared_ptr<std::uint32_t> count_;
};

struct admitted_account {
  account_record record;
  std::shared_ptr<in_progress_guard> in_progress;
};

// A value, or the refusal to send to the caller.
template <class value>
using guard_result = outcome::result<value, refusal, outcome::policy::terminate>;

// Authenticates callers and enforces the limits of their accounts.
class account_guard {
 public:
  account_guard(kernel& services, const router_settings& settings);

  void Start();
  void Stop();

  // Looks up the account of the request's API key and counts the request against the account's limit of requests in
  // progress (key connections of its record).
  guard_result<admitted_account> Authenticate(const http_request& request);

  // Takes tokens from the account's token bucket. If too few are available locally, borrows from the account's home
  // router: the router that holds the account's token bucket, chosen by a hash of the account name.
  task<guard_result<void>> TakeTokens(account_record account, std::uint64_t amount);

  // Returns the tokens of a request that was refused before any attempt.
  void ReturnTokens(const account_name& account, std::uint64_t amount);

 private:
  void ApplyConfiguration(const configuration& config);
  void RequestLoan(const loan_request& request);
  void HandleMessage(const channel_ptr& from, const message& value);
  void ExpireLoans();
  account_home FindHome(const account_name& account) const;

  kernel& kernel_;
  const router_settings& settings_;
  account_limits limits_;
  std::unordered_map<std::string, account_record> by_key_hash_;
  std::unordered_map<account_name, account_record> by_name_;
  std::unordered_map<account_name, std::shared_ptr<std::uint32_t>> in_progress_;
  timer_subscription expiry_timer_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. suspect requests
// ---------------------------------------------------------------------------------------------------------------------

// Tracks suspects: requests that were running on an endpoint when it crashed. A request that keeps crashing endpoints
// is refused.
class suspect_guard {
 public:
  suspect_guard(kernel& services, const router_settings& settings);

  void Start();
  void Stop();

  suspect_check Check(fingerprint_number fingerprint) const;
  void RecordStart(fingerprint_number fingerprint, const endpoint_name& endpoint);
  void RecordEnd(fingerprint_number fingerprint, const endpoint_name& endpoint, bool answered);

  // Records a crash of the endpoint: its engine or service, or its agent process, was lost. Several attempts report the
  // same crash; it is counted once.
  void RecordCrash(const endpoint_name& endpoint);

  // The crash reports of this router, sent to the other routers in heartbeats.
  std::vector<suspect_report> OwnReports() const;

  // Hash of the account name and the request's content. Identifies repetitions of a request.
  static fingerprint_number MakeFingerprint(const account_name& account, std::string_view body);

 private:
  kernel& kernel_;
  const router_settings& settings_;
  suspect_table table_{suspect_settings{}};
  std::unordered_map<endpoint_name, time_point> last_crash_;  // time of the last counted crash
  timer_subscription expiry_timer_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. suspected parts of prompts
// ---------------------------------------------------------------------------------------------------------------------

// Refuses chats with a message under which engines crash: the board of such parts with the crashes that agents report
// and the channels to other routers.
class part_guard {
 public:
  explicit part_guard(kernel& services, const router_settings& settings) : kernel_(services), settings_(settings) {}

  void Start();
  void Stop();

  part_board& Board() { return *board_; }

  // Remaining time of the refusal; nothing if a request with these parts may be sent to an engine of the pool.
  std::optional<milliseconds> RemainingRefusal(const std::string& pool, const std::vector<part_id>& parts) const;

  // `run` without its incarnation.
  engine_run_ptr BeginRun(engine_run run);

  // Records that the agent has lost its engine. Several runs report the same crash.
  void RecordCrash(const endpoint_name& endpoint);

  // Called after evidence has changed.
  std::function<void()> on_change;

 private:
  void SendToSome(const message& value, std::size_t receivers) const;

  kernel& kernel_;
  const router_settings& settings_;
  std::unique_ptr<part_board> board_;  // set by Start
  // Crashes that this router has counted. Agents do not state the incarnation of their engine, so runs are told apart
  // by the count at their begin.
  std::unordered_map<endpoint_name, std::uint64_t> crashes_;
  timer_subscription gossip_timer_;
};

}  // namespace persimmon
