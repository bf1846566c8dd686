// Guards against responses with missing, repeated or reordered tokens (guarantee G3), and against unbounded buffering.
#include "persimmon/stream_assembly.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "decision_support.h"

namespace persimmon {
namespace {

using texts = std::vector<std::string>;

class stream_assembly_test : public testing::Test {
 protected:
  accept_tokens_verdict Accept(std::uint32_t offset, const texts& pieces) {
    auto accepted = stream_.AcceptTokens(offset, pieces);
    delivered_.insert(delivered_.end(), accepted.ready.begin(), accepted.ready.end());
    return accepted.verdict;
  }

  stream_assembly stream_{stream_limits{4, 100, 1'000}};
  texts delivered_;
};

TEST_F(stream_assembly_test, AcceptTokens_OutOfOrder_DeliversInOrderOnce) {
  EXPECT_EQ(Accept(2, {"c", "d"}), accept_tokens_verdict::kAccepted);
  EXPECT_TRUE(stream_.HasGap());
  EXPECT_EQ(Accept(2, {"c"}), accept_tokens_verdict::kDuplicate);
  EXPECT_EQ(Accept(0, {"a", "b", "c"}), accept_tokens_verdict::kAccepted);
  EXPECT_EQ(Accept(0, {"a"}), accept_tokens_verdict::kDuplicate);
  EXPECT_EQ(delivered_, (texts{"a", "b", "c", "d"}));
  EXPECT_FALSE(stream_.HasGap());
}

// Guards against a stream that is complete before its last token, or never.
TEST_F(stream_assembly_test, RecordEnd_BeforeTheLastToken_CompletesWithIt) {
  Accept(0, {"a"});
  EXPECT_EQ(stream_.RecordEnd(2), accept_tokens_verdict::kAccepted);
  EXPECT_FALSE(stream_.IsComplete());
  EXPECT_EQ(stream_.RecordEnd(3), accept_tokens_verdict::kConflict);
  EXPECT_EQ(Accept(1, {"b", "c"}), accept_tokens_verdict::kOutOfRange);
  Accept(1, {"b"});
  EXPECT_TRUE(stream_.IsComplete());
  EXPECT_EQ(delivered_, (texts{"a", "b"}));
}

TEST_F(stream_assembly_test, AcceptTokens_WhenTextsDiffer_KeepsTheFirst) {
  Accept(1, {"b"});
  EXPECT_EQ(Accept(1, {"x"}), accept_tokens_verdict::kConflict);
  EXPECT_EQ(Accept(999, {"y", "z"}), accept_tokens_verdict::kOutOfRange);
  Accept(0, {"a"});
  EXPECT_EQ(delivered_, (texts{"a", "b"}));
  EXPECT_EQ(stream_.RecordEnd(1), accept_tokens_verdict::kConflict);
}

// Guards against a source that exhausts the memory with out-of-order tokens.
TEST_F(stream_assembly_test, AcceptTokens_WhenTooManyAreEarly_DropsTheFarthest) {
  EXPECT_EQ(Accept(2, {"c", "d", "e", "f", "g"}), accept_tokens_verdict::kOverflow);
  EXPECT_EQ(Accept(1, {"b"}), accept_tokens_verdict::kOverflow);
  EXPECT_EQ(stream_.BufferedCount(), 4U);
  EXPECT_EQ(Accept(900, {std::string(101, 'x')}), accept_tokens_verdict::kOverflow);
  Accept(0, {"a"});
  EXPECT_EQ(delivered_, (texts{"a", "b", "c", "d", "e"}));
  EXPECT_EQ(stream_.NextOffset(), 5U);
  EXPECT_EQ(stream_.BufferedBytes(), 0U);
}

TEST_F(stream_assembly_test, DiscardBuffered_AfterLostEndpoint_ContinuesAtTheNextToken) {
  Accept(0, {"a"});
  Accept(2, {"old"});
  stream_.RecordEnd(5);
  stream_.DiscardBuffered();
  EXPECT_EQ(Accept(1, {"b", "c"}), accept_tokens_verdict::kAccepted);
  stream_.RecordEnd(3);
  EXPECT_TRUE(stream_.IsComplete());
  EXPECT_EQ(delivered_, (texts{"a", "b", "c"}));
}

// The order of delivery does not change the response, as long as dropped tokens are sent again.
RC_GTEST_FIXTURE_PROP(stream_assembly_test, AcceptTokens_ForAnyPieces_AssemblesTheAnswer, ()) {
  const auto count = *rc::gen::inRange<std::uint32_t>(0, 40);
  texts answer;
  for (std::uint32_t i = 0; i < count; ++i) {
    answer.push_back("t" + std::to_string(i));
  }
  const auto range = [&](std::uint32_t from, std::uint32_t to) {
    return texts(answer.begin() + from, answer.begin() + to);
  };
  const auto cuts = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, count + 1));
  for (std::size_t i = 0; i + 1 < cuts.size(); i += 2) {
    const auto [from, to] = std::minmax(cuts[i], cuts[i + 1]);
    Accept(from, range(from, to));
    RC_ASSERT(stream_.BufferedCount() <= 4U);
    RC_ASSERT(delivered_ == range(0, stream_.NextOffset()));
  }
  stream_.RecordEnd(count);
  Accept(stream_.NextOffset(), range(stream_.NextOffset(), count));
  RC_ASSERT(delivered_ == answer);
  RC_ASSERT(stream_.IsComplete());
}

}  // namespace
}  // namespace persimmon
