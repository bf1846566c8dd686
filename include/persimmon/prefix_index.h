// Index of the prompt prefixes that each endpoint probably has cached. A wrong entry costs time, never correctness.
//
// Sections
//   1. hashing of prompts
//   2. index
#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. hashing of prompts
// ---------------------------------------------------------------------------------------------------------------------

inline constexpr std::uint32_t kBlockTokens = 256;  // tokens per cache block

// Number of prompt tokens: words separated by ASCII white space.
std::uint32_t CountPromptTokens(std::string_view prompt);

// Hashes of the prompt up to the end of each complete block of kBlockTokens tokens. Routers and engines must compute
// the same hash: XXH64 (xxHash) with seed 0 over all tokens so far, each followed by exactly one space.
std::vector<std::uint64_t> HashPromptBlocks(std::string_view prompt);

// ---------------------------------------------------------------------------------------------------------------------
// 2. index
// ---------------------------------------------------------------------------------------------------------------------

struct prefix_limits {
  std::size_t entries_per_endpoint = 20'000;  // the oldest are removed first
  std::size_t entries = 200'000;              // of all endpoints; about 64 bytes each

  bool operator==(const prefix_limits&) const = default;
};

// One event of an engine's cache event stream.
struct prefix_event {
  std::uint64_t sequence = 0;  // a gap means that events were lost
  std::uint64_t prefix_hash = 0;
  bool stored = true;  // false: evicted

  bool operator==(const prefix_event&) const = default;
};

class prefix_index {
 public:
  explicit prefix_index(prefix_limits limits) : limits_(limits) {}

  // Applies one event. n lost events may include n evictions, so the n oldest entries of the endpoint are removed then.
  // Events that are not newer than the last one are ignored, unless the sequence has restarted at 0 or 1.
  void ApplyCacheEvent(const endpoint_name& endpoint, const prefix_event& event);

  // Records blocks that the endpoint has just prefilled for this router, before the engine's events arrive.
  void RecordStored(const endpoint_name& endpoint, std::span<const std::uint64_t> block_hashes);

  // Number of leading prompt tokens that are probably cached: complete blocks up to the first unknown one.
  std::uint32_t CachedTokens(const endpoint_name& endpoint, std::span<const std::uint64_t> block_hashes) const;

  // Removes an endpoint that is gone or has restarted.
  void DropEndpoint(const endpoint_name& endpoint);

  std::size_t EntryCount() const { return entry_count_; }

 private:
  struct indexed_hash {
    std::uint64_t hash = 0;
    std::uint64_t insertion_number = 0;
  };
  struct endpoint_entries {
    std::unordered_map<std::uint64_t, std::uint64_t> insertion_numbers;  // by hash
    std::deque<indexed_hash> order;                                      // oldest first; may contain stale entries
    std::uint64_t last_sequence = 0;
    bool has_sequence = false;
  };
  void Store(endpoint_entries& entries, std::uint64_t hash);
  void Erase(endpoint_entries& entries, std::uint64_t hash);
  void DropOldest(endpoint_entries& entries, std::uint64_t count);
  void EnforceLimits(endpoint_entries& entries);

  prefix_limits limits_;
  std::unordered_map<endpoint_name, endpoint_entries> endpoints_;
  std::size_t entry_count_ = 0;
  std::uint64_t next_insertion_number_ = 0;
};

}  // namespace persimmon
