// Memory of the incomplete answers of endpoints, over all calls of this router. A service of the kernel.
#pragma once

#include <memory>

#include "direct/direct_settings.h"
#include "persimmon/shared_limit.h"

namespace persimmon {

class answer_memory {
 public:
  explicit answer_memory(const direct_settings& settings)
      : limit_(std::make_shared<shared_limit>(LimitOf(settings), kAllowance)) {}

  void Start() {}
  void Stop() {}

  shared_limit::share NewShare() const { return shared_limit::share(limit_); }
  std::size_t InUse() const { return limit_->InUse(); }  // bytes

 private:
  static constexpr std::size_t kAllowance = 16U << 10U;
  static constexpr std::size_t kDefaultLimit = 64U << 20U;  // if the process has no limit of memory
  // Strings that grow may reserve twice what they hold.
  static constexpr double kMemoryShare = 0.15;

  static std::size_t LimitOf(const direct_settings& settings) {
    const auto memory = settings.deployment.memory_bytes;
    return memory ? static_cast<std::size_t>(kMemoryShare * static_cast<double>(*memory)) : kDefaultLimit;
  }

  std::shared_ptr<shared_limit> limit_;
};

}  // namespace persimmon
