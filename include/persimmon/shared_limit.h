// Bounds the memory that many holders use together: the incomplete answers of all calls, or the input of all
// connections.
//
// The load that this answers: peers that send bytes without end on many connections at the same time. A limit per
// holder does not bound their sum. Nobody is kept waiting for memory: a holder that needs more than the rest fails. A
// small allowance per holder, above what a sound peer needs, does not depend on what the others use.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace persimmon {

class shared_limit {
 public:
  // What one holder uses. It is returned when the share is destroyed.
  class share {
   public:
    share() = default;  // without a limit
    explicit share(std::shared_ptr<shared_limit> limit) : limit_(std::move(limit)) {}
    share(share&& other) noexcept : limit_(std::move(other.limit_)), bytes_(std::exchange(other.bytes_, 0)) {}
    share& operator=(share&& other) noexcept {
      std::swap(limit_, other.limit_);
      std::swap(bytes_, other.bytes_);
      return *this;
    }
    share(const share&) = delete;
    share& operator=(const share&) = delete;
    ~share() { (void)Resize(0); }

    // Sets the bytes that the holder uses. Returns false, and changes nothing, if they exceed the allowance and all
    // holders together would use more than the limit.
    bool Resize(std::size_t bytes) {
      if (!limit_) {
        return true;
      }
      const std::size_t others = limit_->in_use_ - bytes_;
      const bool fits = others <= limit_->bytes_ && bytes <= limit_->bytes_ - others;
      if (bytes > bytes_ && bytes > limit_->allowance_ && !fits) {
        return false;
      }
      limit_->in_use_ = others + bytes;
      bytes_ = bytes;
      return true;
    }

    std::size_t Bytes() const { return bytes_; }

   private:
    std::shared_ptr<shared_limit> limit_;
    std::size_t bytes_ = 0;
  };

  // `bytes`: of all holders together. `allowance`: bytes that each holder may use in any case.
  shared_limit(std::size_t bytes, std::size_t allowance) : bytes_(bytes), allowance_(allowance) {}

  // Replaces the bytes of all holders together. What they use stays theirs.
  void SetLimit(std::size_t bytes) { bytes_ = bytes; }

  std::size_t Limit() const { return bytes_; }   // bytes
  std::size_t InUse() const { return in_use_; }  // bytes

 private:
  std::size_t bytes_;
  std::size_t allowance_;
  std::size_t in_use_ = 0;
};

}  // namespace persimmon
