// Which events follow the ones before, for streams whose numbering is known and for others.
#include "persimmon/event_sequence.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace persimmon {
namespace {

constexpr event_verdict kFollows = event_verdict::kFollows;
constexpr event_verdict kUnconfirmed = event_verdict::kUnconfirmed;
constexpr event_verdict kBroken = event_verdict::kBroken;

std::vector<event_verdict> CheckAll(event_sequence& sequence, const std::vector<std::string>& ids) {
  std::vector<event_verdict> verdicts;
  for (const std::string& id : ids) {
    verdicts.push_back(sequence.Check(id));
  }
  return verdicts;
}

// Verdicts on a run after an event whose stream is not known otherwise.
std::vector<event_verdict> CheckTakenUp(const std::string& after, const event_numbering& known,
                                        const std::vector<std::string>& ids) {
  event_sequence sequence;
  sequence.TakeUp(after);
  sequence.BeginRun(known);
  return CheckAll(sequence, ids);
}

using verdicts = std::vector<event_verdict>;

TEST(event_sequence_test, TakenUpStream_WithoutAKnownStep_NeedsTheSameStepTwiceOrTheNextNumber) {
  EXPECT_EQ(CheckTakenUp("5", {}, {"6", "7"}), (verdicts{kFollows, kFollows}));
  EXPECT_EQ(CheckTakenUp("50", {}, {"60", "70"}), (verdicts{kUnconfirmed, kFollows}));
  EXPECT_EQ(CheckTakenUp("5", {}, {"7", "8"}), (verdicts{kUnconfirmed, kBroken}));
  EXPECT_EQ(CheckTakenUp("5", {}, {"6", "8"}), (verdicts{kFollows, kBroken}));
  EXPECT_EQ(CheckTakenUp("5", {}, {"5"}), (verdicts{kBroken}));
  EXPECT_EQ(CheckTakenUp("5", {}, {""}), (verdicts{kBroken}));
  EXPECT_EQ(CheckTakenUp("5", {}, {"x"}), (verdicts{kBroken}));
}

TEST(event_sequence_test, TakenUpStream_WithAKnownStep_BeginsWithIt) {
  EXPECT_EQ(CheckTakenUp("50", {.step = 10}, {"60", "70"}), (verdicts{kFollows, kFollows}));
  EXPECT_EQ(CheckTakenUp("50", {.step = 10}, {"51"}), (verdicts{kBroken}));
  EXPECT_EQ(CheckTakenUp("5", {.step = 1}, {"7"}), (verdicts{kBroken}));
}

// Guards against broken streams of services whose ids are sound and only grow.
TEST(event_sequence_test, Stream_OfAServiceWhoseStepsVary_OnlyHasToGrow) {
  EXPECT_EQ(CheckTakenUp("5", {.varies = true}, {"9", "10", "30"}), (verdicts{kFollows, kFollows, kFollows}));
  EXPECT_EQ(CheckTakenUp("5", {.varies = true}, {"9", "9"}), (verdicts{kFollows, kBroken}));
  EXPECT_EQ(CheckTakenUp("5", {.varies = true}, {"4"}), (verdicts{kBroken}));
}

TEST(event_sequence_test, Run_AfterAnother_FollowsTheStepOfTheStream) {
  event_sequence sequence;
  sequence.BeginRun({});
  EXPECT_EQ(CheckAll(sequence, {"3", "6"}), (verdicts{kFollows, kFollows}));
  sequence.BeginRun({.step = 1});
  EXPECT_EQ(CheckAll(sequence, {"7"}), (verdicts{kBroken}));
  sequence.BeginRun({.step = 1});
  EXPECT_EQ(CheckAll(sequence, {"9", "12"}), (verdicts{kFollows, kFollows}));
}

TEST(event_sequence_test, NewStream_OfAServiceWhoseFirstIdIsKnown_BeginsWithIt) {
  event_sequence sequence;
  sequence.BeginRun({.first = 1, .step = 1});
  EXPECT_EQ(sequence.Check("2"), kBroken);
  sequence.BeginRun({.first = 1, .step = 1});
  EXPECT_EQ(CheckAll(sequence, {"1", "2", "4"}), (verdicts{kFollows, kFollows, kBroken}));
}

// Guards against a stream that holds only the text of another answer, of a service that is known to number its events.
TEST(event_sequence_test, FirstEventWithoutAnId_OfAServiceWhoseFirstIdIsKnown_IsBroken) {
  event_sequence sequence;
  sequence.BeginRun({.first = 1, .step = 1});
  EXPECT_EQ(sequence.Check(""), event_verdict::kBroken);
}

// Guards against breaking the streams of a service that begins each with an event without an id.
TEST(event_sequence_test, Sample_OfARunThatBeginsWithoutAnId_TellsNoFirstId) {
  event_sequence sequence;
  sequence.BeginRun({});
  for (const char* id : {"", "1", "2", "3"}) {
    EXPECT_EQ(sequence.Check(id), event_verdict::kFollows) << id;
  }
  EXPECT_EQ(sequence.Sample(), (numbering_sample{.step = 1}));
}

// Guards against taking an unconfirmed event of a lost engine for one that has been passed on.
TEST(event_sequence_test, UnconfirmedEvent_OfALostRun_IsForgotten) {
  event_sequence sequence;
  sequence.TakeUp("10");
  sequence.BeginRun({});
  EXPECT_EQ(sequence.Check("20"), kUnconfirmed);
  sequence.BeginRun({});
  EXPECT_EQ(CheckAll(sequence, {"11", "12"}), (verdicts{kFollows, kFollows}));
}

TEST(event_sequence_test, Ids_ThatAreNoNumbers_AreNotComparedButMustBeThere) {
  event_sequence sequence;
  EXPECT_EQ(CheckAll(sequence, {"b", "a", ""}), (verdicts{kFollows, kFollows, kBroken}));
  EXPECT_FALSE(sequence.IsNumbered());
  event_sequence without_ids;
  EXPECT_EQ(CheckAll(without_ids, {"", "", ""}), (verdicts{kFollows, kFollows, kFollows}));
  EXPECT_FALSE(without_ids.IsNumbered());
}

TEST(event_sequence_test, ParseEventNumber_ForOtherTexts_ReturnsNothing) {
  EXPECT_EQ(ParseEventNumber("12"), 12U);
  for (const char* text : {"", "-1", "+1", " 1", "1 ", "0x1", "1.0", "1234567890123456789"}) {
    EXPECT_EQ(ParseEventNumber(text), std::nullopt) << text;
  }
}

}  // namespace
}  // namespace persimmon
