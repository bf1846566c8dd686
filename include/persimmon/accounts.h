// Client accounts: which account holds an API key, and what it may use.
//
// Sections
//   1. accounts
//   2. directory
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmon/limits.h"
#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. accounts
// ---------------------------------------------------------------------------------------------------------------------

enum class usage_unit : std::uint8_t { kRequests, kTokens };

// Amounts of accounts that are limited by requests are in thousandths of a request, so that a limit may have a
// fraction.
inline constexpr std::uint64_t kAmountPerRequest = 1'000;

struct caller_account {
  account_name name;
  std::vector<std::string> key_hashes;    // SHA-256 of each API key, lower-case hexadecimal
  std::optional<std::uint32_t> priority;  // goes before that of the route; 0 is most urgent
  usage_unit unit = usage_unit::kRequests;
  std::uint32_t plain_tokens = 0;  // amount of a request that states no tokens, if the unit is tokens
  account_limit limit;             // in amounts of the unit

  bool operator==(const caller_account&) const = default;
};

// Amount that a request uses. `tokens`: prompt and maximum output tokens; absent if the request states none.
std::uint64_t RequestAmount(const caller_account& account, std::optional<std::uint64_t> tokens);

// ---------------------------------------------------------------------------------------------------------------------
// 2. directory
// ---------------------------------------------------------------------------------------------------------------------

// All accounts of one revision. A key that two accounts claim belongs to the first one.
class account_directory {
 public:
  account_directory() = default;
  explicit account_directory(std::vector<caller_account> accounts);

  // Null if no account holds the key. The pointer is valid as long as the directory.
  const caller_account* FindByKeyHash(std::string_view hash) const;
  const caller_account* Find(const account_name& name) const;
  const std::vector<caller_account>& Accounts() const { return accounts_; }

  bool operator==(const account_directory&) const = default;

 private:
  std::vector<caller_account> accounts_;
  std::map<std::string, std::size_t, std::less<>> by_key_hash_;
  std::map<account_name, std::size_t> by_name_;
};

}  // namespace persimmon
