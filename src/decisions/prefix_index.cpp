#include "persimmon/prefix_index.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace persimmon {
namespace {

// ASCII white space, independent of the locale.
constexpr std::string_view kWhiteSpace = " \t\n\v\f\r";

// Calls `visit` with every token in order.
template <class function>
void ForEachToken(std::string_view prompt, function visit) {
  std::size_t begin = prompt.find_first_not_of(kWhiteSpace);
  while (begin != std::string_view::npos) {
    const std::size_t end = std::min(prompt.find_first_of(kWhiteSpace, begin), prompt.size());
    visit(prompt.substr(begin, end - begin));
    begin = prompt.find_first_not_of(kWhiteSpace, end);
  }
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. hashing of prompts
// ---------------------------------------------------------------------------------------------------------------------

std::uint32_t CountPromptTokens(std::string_view prompt) {
  std::uint32_t count = 0;
  ForEachToken(prompt, [&count](std::string_view) { ++count; });
  return count;
}

std::vector<std::uint64_t> HashPromptBlocks(std::string_view prompt) {
  std::vector<std::uint64_t> hashes;
  XXH64_state_t state;
  XXH64_reset(&state, 0);
  std::uint32_t count = 0;
  ForEachToken(prompt, [&](std::string_view token) {
    XXH64_update(&state, token.data(), token.size());
    XXH64_update(&state, " ", 1);
    if (++count % kBlockTokens == 0) {
      hashes.push_back(XXH64_digest(&state));
    }
  });
  return hashes;
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. index
// ---------------------------------------------------------------------------------------------------------------------

void prefix_index::ApplyCacheEvent(const endpoint_name& endpoint, const prefix_event& event) {
  endpoint_entries& entries = endpoints_[endpoint];
  if (entries.has_sequence && event.sequence <= entries.last_sequence) {
    const bool has_restarted = event.sequence <= 1 && entries.last_sequence > 1;
    if (!has_restarted) {
      return;
    }
    DropOldest(entries, entries.insertion_numbers.size());
  } else if (entries.has_sequence && event.sequence - entries.last_sequence > 1) {
    DropOldest(entries, event.sequence - entries.last_sequence - 1);
  }
  entries.last_sequence = event.sequence;
  entries.has_sequence = true;
  if (event.stored) {
    Store(entries, event.prefix_hash);
  } else {
    Erase(entries, event.prefix_hash);
  }
}

void prefix_index::RecordStored(const endpoint_name& endpoint, std::span<const std::uint64_t> block_hashes) {
  endpoint_entries& entries = endpoints_[endpoint];
  for (const std::uint64_t hash : block_hashes) {
    Store(entries, hash);
  }
}

std::uint32_t prefix_index::CachedTokens(const endpoint_name& endpoint,
                                         std::span<const std::uint64_t> block_hashes) const {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) {
    return 0;
  }
  std::uint32_t tokens = 0;
  for (const std::uint64_t hash : block_hashes) {
    if (!found->second.insertion_numbers.contains(hash)) {
      break;
    }
    tokens += kBlockTokens;
  }
  return tokens;
}

void prefix_index::DropEndpoint(const endpoint_name& endpoint) {
  const auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end()) {
    entry_count_ -= found->second.insertion_numbers.size();
    endpoints_.erase(found);
  }
}

void prefix_index::Store(endpoint_entries& entries, std::uint64_t hash) {
  const std::uint64_t insertion_number = next_insertion_number_++;
  const bool is_new = entries.insertion_numbers.insert_or_assign(hash, insertion_number).second;
  entries.order.push_back({hash, insertion_number});
  entry_count_ += is_new ? 1 : 0;
  EnforceLimits(entries);
}

void prefix_index::Erase(endpoint_entries& entries, std::uint64_t hash) {
  entry_count_ -= entries.insertion_numbers.erase(hash);
  EnforceLimits(entries);
}

void prefix_index::DropOldest(endpoint_entries& entries, std::uint64_t count) {
  while (count > 0 && !entries.order.empty()) {
    const indexed_hash oldest = entries.order.front();
    entries.order.pop_front();
    const auto found = entries.insertion_numbers.find(oldest.hash);
    if (found != entries.insertion_numbers.end() && found->second == oldest.insertion_number) {
      entries.insertion_numbers.erase(found);
      entry_count_ -= 1;
      count -= 1;
    }
  }
}

void prefix_index::EnforceLimits(endpoint_entries& entries) {
  if (entries.insertion_numbers.size() > limits_.entries_per_endpoint) {
    DropOldest(entries, entries.insertion_numbers.size() - limits_.entries_per_endpoint);
  }
  while (entry_count_ > limits_.entries) {
    // Removing an eighth at a time makes the search for the largest endpoint rare.
    const auto largest =
        std::max_element(endpoints_.begin(), endpoints_.end(), [](const auto& left, const auto& right) {
          return left.second.insertion_numbers.size() < right.second.insertion_numbers.size();
        });
    DropOldest(largest->second, std::max<std::uint64_t>(1, largest->second.insertion_numbers.size() / 8));
  }
  // Entries whose hash was stored again or evicted stay in `order` until it is twice as long as needed.
  constexpr std::size_t kMinOrder = 64;
  if (entries.order.size() > std::max(kMinOrder, 2 * entries.insertion_numbers.size())) {
    std::erase_if(entries.order, [&entries](const indexed_hash& entry) {
      const auto found = entries.insertion_numbers.find(entry.hash);
      return found == entries.insertion_numbers.end() || found->second != entry.insertion_number;
    });
  }
}

}  // namespace persimmon
