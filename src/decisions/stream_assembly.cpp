#include "persimmon/stream_assembly.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace persimmon {

// Keeps an early token. When there is no room, tokens further ahead make room for nearer ones. False if any is dropped.
bool stream_assembly::KeepEarly(std::uint32_t offset, const std::string& piece) {
  early_.emplace(offset, piece);
  early_bytes_ += piece.size();
  bool has_room = true;
  while (early_.size() > limits_.early_tokens || early_bytes_ > limits_.early_bytes) {
    const auto last = std::prev(early_.end());
    early_bytes_ -= last->second.size();
    early_.erase(last);
    has_room = false;
  }
  return has_room;
}

void stream_assembly::DeliverEarly(std::vector<std::string>& ready) {
  for (auto next = early_.begin(); next != early_.end() && next->first == next_offset_; next = early_.erase(next)) {
    early_bytes_ -= next->second.size();
    ready.push_back(std::move(next->second));
    ++next_offset_;
  }
}

accepted_tokens stream_assembly::AcceptTokens(std::uint32_t offset, std::span<const std::string> pieces) {
  accepted_tokens accepted;
  const std::uint64_t end = std::uint64_t{offset} + pieces.size();
  if (end > end_.value_or(limits_.total_tokens)) {
    accepted.verdict = accept_tokens_verdict::kOutOfRange;
    return accepted;
  }
  bool is_new = false;
  bool has_overflow = false;
  bool has_conflict = false;
  for (const std::string& piece : pieces) {
    const std::uint32_t position = offset++;
    if (position < next_offset_) {
      continue;
    }
    if (position == next_offset_) {
      accepted.ready.push_back(piece);
      ++next_offset_;
      DeliverEarly(accepted.ready);
      is_new = true;
      continue;
    }
    const auto known = early_.find(position);
    if (known != early_.end()) {
      has_conflict = has_conflict || known->second != piece;
      continue;
    }
    has_overflow = !KeepEarly(position, piece) || has_overflow;
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

accept_tokens_verdict stream_assembly::NoteEnd(std::uint32_t count) {
  if (end_) {
    return *end_ == count ? accept_tokens_verdict::kDuplicate : accept_tokens_verdict::kConflict;
  }
  if (count > limits_.total_tokens) {
    return accept_tokens_verdict::kOutOfRange;
  }
  const bool has_tokens_past_end = count < next_offset_ || (!early_.empty() && early_.rbegin()->first >= count);
  if (has_tokens_past_end) {
    return accept_tokens_verdict::kConflict;
  }
  end_ = count;
  return accept_tokens_verdict::kAccepted;
}

void stream_assembly::RestartSource() {
  early_.clear();
  early_bytes_ = 0;
  if (end_ && *end_ != next_offset_) {
    end_.reset();
  }
}

}  // namespace persimmon
