#include "persimmon/accounts.h"

#include <utility>

namespace persimmon {

std::uint64_t RequestAmount(const caller_account& account, std::optional<std::uint64_t> tokens) {
  return account.unit == usage_unit::kTokens ? tokens.value_or(account.plain_tokens) : kAmountPerRequest;
}

account_directory::account_directory(std::vector<caller_account> accounts) : accounts_(std::move(accounts)) {
  for (std::size_t i = 0; i < accounts_.size(); ++i) {
    by_name_.try_emplace(accounts_[i].name, i);
    for (const std::string& hash : accounts_[i].key_hashes) {
      by_key_hash_.try_emplace(hash, i);
    }
  }
}

const caller_account* account_directory::FindByKeyHash(std::string_view hash) const {
  const auto found = by_key_hash_.find(hash);
  return found == by_key_hash_.end() ? nullptr : &accounts_[found->second];
}

const caller_account* account_directory::Find(const account_name& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &accounts_[found->second];
}

}  // namespace persimmon
