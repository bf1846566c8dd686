// One whole stream out of tokens that arrive by offset: no gap, no duplicate.
//
// Sections
//   1. values
//   2. assembly
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. values
// ---------------------------------------------------------------------------------------------------------------------

struct stream_limits {
  std::uint32_t early_tokens = 4'096;      // kept until the gap before them is filled
  std::size_t early_bytes = 256U << 10U;   // of their texts
  std::uint32_t total_tokens = 1'000'000;  // a larger offset is an error

  bool operator==(const stream_limits&) const = default;
};

enum class accept_tokens_verdict : std::uint8_t {
  kAccepted,    // new tokens, delivered or kept
  kDuplicate,   // nothing new
  kOverflow,    // early tokens were dropped for lack of room; ask again from NextOffset()
  kOutOfRange,  // offset past the limit or past the known end; ignored
  kConflict,    // a different text for a kept token, or a second end; ignored
};

struct accepted_tokens {
  accept_tokens_verdict verdict = accept_tokens_verdict::kAccepted;
  std::vector<std::string> ready;  // tokens to deliver now, in order

  bool operator==(const accepted_tokens&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. assembly
// ---------------------------------------------------------------------------------------------------------------------

class stream_assembly {
 public:
  explicit stream_assembly(stream_limits limits) : limits_(limits) {}

  // Accepts tokens numbered from `offset`. Every token is returned in `ready` exactly once and in order.
  accepted_tokens AcceptTokens(std::uint32_t offset, std::span<const std::string> pieces);

  // Notes that the stream has `count` tokens in all. The end may arrive before the last tokens.
  accept_tokens_verdict NoteEnd(std::uint32_t count);

  // Drops kept early tokens and a known end, when another endpoint continues the stream at NextOffset().
  void RestartSource();

  std::uint32_t NextOffset() const { return next_offset_; }  // first token that has not been delivered
  bool IsComplete() const { return end_ && next_offset_ == *end_; }
  bool HasGap() const { return !early_.empty() || (end_ && next_offset_ < *end_); }
  std::size_t EarlyCount() const { return early_.size(); }
  std::size_t EarlyBytes() const { return early_bytes_; }

 private:
  bool KeepEarly(std::uint32_t offset, const std::string& piece);
  void DeliverEarly(std::vector<std::string>& ready);

  stream_limits limits_;
  std::uint32_t next_offset_ = 0;
  std::optional<std::uint32_t> end_;
  std::map<std::uint32_t, std::string> early_;
  std::size_t early_bytes_ = 0;
};

}  // namespace persimmon
