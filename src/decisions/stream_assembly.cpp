#include "persimmon/stream_assembly.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace persimmon {

// Buffers an out-of-order token. Drops the tokens with the highest offsets above the limits. False if any is dropped.
bool stream_assembly::BufferToken(std::uint32_t offset, const std::string& token) {
  buffered_.emplace(offset, token);
  buffered_bytes_ += token.size();
  bool all_kept = true;
  while (buffered_.size() > limits_.max_buffered_tokens || buffered_bytes_ > limits_.max_buffered_bytes) {
    const auto last = std::prev(buffered_.end());
    buffered_bytes_ -= last->second.size();
    buffered_.erase(last);
    all_kept = false;
  }
  return all_kept;
}

void stream_assembly::TakeReady(std::vector<std::string>& ready) {
  for (auto next = buffered_.begin(); next != buffered_.end() && next->first == next_offset_;
       next = buffered_.erase(next)) {
    buffered_bytes_ -= next->second.size();
    ready.push_back(std::move(next->second));
    ++next_offset_;
  }
}

accepted_tokens stream_assembly::AcceptTokens(std::uint32_t offset, std::span<const std::string> tokens) {
  accepted_tokens accepted;
  const std::uint64_t end = std::uint64_t{offset} + tokens.size();
  if (end > end_.value_or(limits_.max_total_tokens)) {
    accepted.verdict = accept_tokens_verdict::kOutOfRange;
    return accepted;
  }
  bool is_new = false;
  bool has_overflow = false;
  bool has_conflict = false;
  for (const std::string& token : tokens) {
    const std::uint32_t position = offset++;
    if (position < next_offset_) {
      continue;
    }
    if (position == next_offset_) {
      accepted.ready.push_back(token);
      ++next_offset_;
      TakeReady(accepted.ready);
      is_new = true;
      continue;
    }
    const auto found = buffered_.find(position);
    if (found != buffered_.end()) {
      has_conflict = has_conflict || found->second != token;
      continue;
    }
    has_overflow = !BufferToken(position, token) || has_overflow;
    is_new = true;
  }
  if (has_conflict) {
    accepted.verdict = accept_tokens_verdict::kConflict;
  } else if (has_overflow) {
    accepted.verdict = accept_tokens_verdict::kOverflow;
  } else if (!is_new) {
    accepted.verdict = accept_tokens_verdict::kDuplicate;
  }
  return accepted;
}

accept_tokens_verdict stream_assembly::RecordEnd(std::uint32_t count) {
  if (end_) {
    return *end_ == count ? accept_tokens_verdict::kDuplicate : accept_tokens_verdict::kConflict;
  }
  if (count > limits_.max_total_tokens) {
    return accept_tokens_verdict::kOutOfRange;
  }
  const bool has_tokens_past_end = count < next_offset_ || (!buffered_.empty() && buffered_.rbegin()->first >= count);
  if (has_tokens_past_end) {
    return accept_tokens_verdict::kConflict;
  }
  end_ = count;
  return accept_tokens_verdict::kAccepted;
}

void stream_assembly::DiscardBuffered() {
  buffered_.clear();
  buffered_bytes_ = 0;
  if (end_ && *end_ != next_offset_) {
    end_.reset();
  }
}

}  // namespace persimmon
