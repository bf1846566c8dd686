// Reassembles a stream from tokens with offsets, which may arrive out of order or more than once.
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
  std::uint32_t max_buffered_tokens = 4'096;     // out-of-order tokens, kept until the gap before them is filled
  std::size_t max_buffered_bytes = 256U << 10U;  // size of their texts
  std::uint32_t max_total_tokens = 1'000'000;    // larger offsets are out of range

  bool operator==(const stream_limits&) const = default;
};

enum class accept_tokens_verdict : std::uint8_t {
  kAccepted,    // new tokens, delivered or buffered
  kDuplicate,   // no new tokens
  kOverflow,    // buffered tokens were dropped; request them again from NextOffset()
  kOutOfRange,  // offset beyond the limit or the known end; ignored
  kConflict,    // a different text for a buffered token, or a contradicting end; ignored
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
  accepted_tokens AcceptTokens(std::uint32_t offset, std::span<const std::string> tokens);

  // Sets the end of the stream: `count` tokens in total. The end may arrive before the last tokens.
  accept_tokens_verdict RecordEnd(std::uint32_t count);

  // Discards buffered tokens and a known end, for another endpoint to continue the stream at NextOffset().
  void DiscardBuffered();

  std::uint32_t NextOffset() const { return next_offset_; }  // first token that has not been delivered
  bool IsComplete() const { return end_ && next_offset_ == *end_; }
  bool HasGap() const { return !buffered_.empty() || (end_ && next_offset_ < *end_); }
  std::size_t BufferedCount() const { return buffered_.size(); }
  std::size_t BufferedBytes() const { return buffered_bytes_; }

 private:
  bool BufferToken(std::uint32_t offset, const std::string& token);
  void TakeReady(std::vector<std::string>& ready);

  stream_limits limits_;
  std::uint32_t next_offset_ = 0;
  std::optional<std::uint32_t> end_;
  std::map<std::uint32_t, std::string> buffered_;
  std::size_t buffered_bytes_ = 0;
};

}  // namespace persimmon
