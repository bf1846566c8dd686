// Guards against prefixes that count as cached after their eviction, and against unbounded memory.
#include "persimmon/prefix_index.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decision_support.h"

namespace persimmon {
namespace {

class prefix_index_test : public testing::Test {
 protected:
  static std::string Prompt(int words, const std::string& gap = " ") {
    std::string text;
    for (int i = 0; i < words; ++i) {
      text += "word" + std::to_string(i) + gap;
    }
    return text;
  }
  void Apply(std::uint64_t sequence, std::uint64_t hash, bool stored = true) {
    index_.ApplyCacheEvent(Endpoint(1), {sequence, hash, stored});
  }
  std::uint32_t Cached(std::vector<std::uint64_t> hashes) { return index_.CachedTokens(Endpoint(1), hashes); }

  prefix_index index_{prefix_limits{}};
};

// Guards against a change of the hash, which must be the same in routers and engines. The expected value is the XXH64
// of 256 times "a ", because each token is hashed with one space after it, whatever white space the prompt has.
TEST_F(prefix_index_test, HashPromptBlocks_ForKnownPrompt_IsStable) {
  std::string prompt;
  for (int i = 0; i < 256; ++i) {
    prompt += "a\n";
  }
  EXPECT_EQ(HashPromptBlocks(prompt), (std::vector<std::uint64_t>{12201622684107459574U}));
}

TEST_F(prefix_index_test, HashPromptBlocks_ForAnyPrompt_DependsOnWordsOfWholeBlocksOnly) {
  EXPECT_TRUE(HashPromptBlocks(Prompt(255)).empty());
  const auto hashes = HashPromptBlocks(Prompt(700));
  EXPECT_EQ(hashes.size(), 2U);
  EXPECT_EQ(HashPromptBlocks(" \t" + Prompt(767, "\r\n\v")), hashes);
  EXPECT_EQ(HashPromptBlocks(Prompt(256)).front(), hashes.front());
  EXPECT_NE(HashPromptBlocks("other " + Prompt(700)).back(), hashes.back());
  EXPECT_EQ(CountPromptTokens(" a  b\tc\n"), 3U);
  EXPECT_EQ(CountPromptTokens(""), 0U);
}

TEST_F(prefix_index_test, CachedTokens_WhenMiddleBlockIsEvicted_StopsBeforeIt) {
  index_.RecordStored(Endpoint(1), std::vector<std::uint64_t>{1, 2});
  Apply(1, 3);
  EXPECT_EQ(Cached({1, 2, 3}), 768U);
  EXPECT_EQ(Cached({9, 2, 3}), 0U);
  Apply(2, 2, false);
  EXPECT_EQ(Cached({1, 2, 3}), 256U);
  EXPECT_EQ(index_.CachedTokens(Endpoint(2), std::vector<std::uint64_t>{1}), 0U);
  index_.DropEndpoint(Endpoint(1));
  EXPECT_EQ(Cached({1}), 0U);
  EXPECT_EQ(index_.EntryCount(), 0U);
}

// Guards against keeping entries whose eviction event may be lost.
TEST_F(prefix_index_test, ApplyCacheEvent_AfterGap_DropsAsManyOldEntriesAsMayBeEvicted) {
  for (std::uint64_t i = 1; i <= 5; ++i) {
    Apply(i, i);
  }
  Apply(8, 6);  // events 6 and 7 are lost
  EXPECT_EQ(Cached({1}), 0U);
  EXPECT_EQ(Cached({2}), 0U);
  EXPECT_EQ(Cached({3, 4, 5, 6}), 1'024U);
  Apply(7, 3, false);  // late event; already accounted for
  EXPECT_EQ(Cached({3}), 256U);
  Apply(1, 9);  // the engine has restarted
  EXPECT_EQ(Cached({3}), 0U);
  EXPECT_EQ(Cached({9}), 256U);
}

TEST_F(prefix_index_test, RecordStored_OnManyEndpoints_StaysWithinTheTotal) {
  prefix_index index({30, 60});
  for (int endpoint = 0; endpoint < 6; ++endpoint) {
    for (std::uint64_t hash = 0; hash < 30; ++hash) {
      index.RecordStored(Endpoint(endpoint), std::vector{hash});
    }
  }
  EXPECT_LE(index.EntryCount(), 60U);
  EXPECT_GE(index.EntryCount(), 45U);
}

// Guards against memory that grows with the traffic, and against a wrong entry count after any mix of events.
RC_GTEST_FIXTURE_PROP(prefix_index_test, ApplyCacheEvent_ForAnyEvents_StaysWithinLimits, ()) {
  prefix_index index({30, 60});
  std::uint64_t sequences[6] = {};
  const auto hashes = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 300));
  for (const int hash : hashes) {
    std::uint64_t& sequence = sequences[hash % 6];
    sequence += hash % 17 == 0 ? 3 : 1;
    index.ApplyCacheEvent(Endpoint(hash % 6), {sequence, static_cast<std::uint64_t>(hash), hash % 5 != 0});
    RC_ASSERT(index.EntryCount() <= 60U);
  }
  std::size_t found = 0;
  for (int endpoint = 0; endpoint < 6; ++endpoint) {
    std::size_t held = 0;
    for (std::uint64_t hash = 0; hash < 300; ++hash) {
      held += index.CachedTokens(Endpoint(endpoint), std::vector{hash}) / kBlockTokens;
    }
    RC_ASSERT(held <= 30U);
    found += held;
  }
  RC_ASSERT(found == index.EntryCount());
}

}  // namespace
}  // namespace persimmon
