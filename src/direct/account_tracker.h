// Keeps the usage caps of client accounts together with the other routers. A service of the kernel.
#pragma once

#include <cstdint>

#include "core/kernel.h"
#include "persimmon/limits.h"

namespace persimmon {

struct usage_grant {
  bool granted = false;
  milliseconds retry_in{0};  // not granted: until the amount is expected to be available

  bool operator==(const usage_grant&) const = default;
};

class account_tracker {
 public:
  explicit account_tracker(kernel& services) : kernel_(services) {}

  void Start() {}
  void Stop() {}

  // Takes the amount of one request from the account's cap. Waits for an answer of the account's home router if
  // necessary. An account without a limit is always granted.
  task<usage_grant> Take(account_name account, account_limit limit, std::uint64_t amount);

  // Gives back the amount of a request that was certainly not sent to any endpoint.
  void Return(const account_name& account, std::uint64_t amount);

 private:
  kernel& kernel_;
};

}  // namespace persimmon
