// How the numbering of a service is learned, also where some of its endpoints are faulty.
#include "persimmon/event_numbering.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace persimmon {
namespace {

const numbering_sample kByOne{.first = 1, .step = 1};
const numbering_sample kByTen{.first = 10, .step = 10};
const numbering_sample kVarying{.first = 1, .varies = true};

TEST(numbering_votes_test, Known_AfterOneEndpointAlone_IsNothing) {
  numbering_votes votes;
  for (int run = 0; run < 20; ++run) {
    votes.Record("a", kByTen);
  }
  EXPECT_EQ(votes.Known(), event_numbering{});
}

TEST(numbering_votes_test, Known_AfterTwoEndpointsAgree_IsTheirNumbering) {
  numbering_votes votes;
  votes.Record("a", kByTen);
  votes.Record("b", kByTen);
  EXPECT_EQ(votes.Known(), (event_numbering{.first = 10, .step = 10}));
  votes.Record("c", kByOne);
  EXPECT_EQ(votes.Known(), (event_numbering{.first = 10, .step = 10}));
}

// Guards against a single faulty endpoint that turns the check of steps off, whenever its runs come.
RC_GTEST_PROP(numbering_votes_test, Known_WithOneFaultyEndpoint_NeverVaries, ()) {
  numbering_votes votes;
  votes.Record("sound-0", kByOne);
  votes.Record("sound-1", kByOne);
  const auto order = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
  const auto faulty = *rc::gen::element(kVarying, kByTen);
  for (const int endpoint : order) {
    votes.Record(endpoint == 0 ? "faulty" : "sound-" + std::to_string(endpoint - 1), endpoint == 0 ? faulty : kByOne);
    RC_ASSERT(votes.Known() == (event_numbering{.first = 1, .step = 1}));
  }
}

// Guards against a check of steps that is off after a router's first runs, because each endpoint fails now and then.
TEST(numbering_votes_test, Known_AfterOneVaryingRunOfEachEndpoint_DoesNotVary) {
  numbering_votes votes;
  for (const char* endpoint : {"a", "b", "c"}) {
    votes.Record(endpoint, kVarying);
    EXPECT_FALSE(votes.Known().varies);
  }
}

// Guards against streams that are broken for ever, because the ids of their service do not rise by one step.
TEST(numbering_votes_test, Known_AfterVaryingRunsOfTwoEndpoints_Varies) {
  numbering_votes votes;
  for (const char* endpoint : {"a", "a", "a", "b", "b"}) {
    EXPECT_FALSE(votes.Known().varies);
    votes.Record(endpoint, kVarying);
  }
  EXPECT_TRUE(votes.Known().varies);
  EXPECT_EQ(votes.Known().step, std::nullopt);
}

TEST(numbering_votes_test, Known_AfterVaryingRunsOfTheOnlyEndpoint_VariesUntilAnotherIsRegular) {
  numbering_votes votes;
  for (int run = 0; run < 4; ++run) {
    EXPECT_FALSE(votes.Known().varies);
    votes.Record("a", kVarying);
  }
  EXPECT_TRUE(votes.Known().varies);
  votes.Record("b", kByOne);
  EXPECT_FALSE(votes.Known().varies);
}

// Guards against a step of the past that breaks the streams of a service which counts otherwise now.
TEST(numbering_votes_test, Known_AfterTheServiceCountsOtherwise_IsLearnedAnew) {
  numbering_votes votes;
  for (const char* endpoint : {"a", "b", "c"}) {
    votes.Record(endpoint, kByOne);
  }
  for (int run = 0; run < 2; ++run) {
    for (const char* endpoint : {"a", "b", "c"}) {
      votes.Record(endpoint, {.first = 10, .varies = true});  // broken at the second event
    }
  }
  EXPECT_TRUE(votes.Known().varies);
  for (int run = 0; run < 8; ++run) {
    for (const char* endpoint : {"a", "b", "c"}) {
      votes.Record(endpoint, kByTen);
    }
  }
  EXPECT_EQ(votes.Known(), (event_numbering{.first = 10, .step = 10}));
}

TEST(numbering_votes_test, Known_BeyondTheLargestNumberOfEndpoints_RestsOnTheLatest) {
  numbering_votes votes;
  for (std::size_t i = 0; i < numbering_votes::kMaxVoters; ++i) {
    votes.Record("old-" + std::to_string(i), kByOne);
  }
  for (std::size_t i = 0; i < numbering_votes::kMaxVoters; ++i) {
    votes.Record("new-" + std::to_string(i), kByTen);
  }
  EXPECT_EQ(votes.Known(), (event_numbering{.first = 10, .step = 10}));
}

TEST(event_numberings_test, Find_ForAnotherVersionOrService_KnowsNothing) {
  event_numberings numberings;
  EXPECT_FALSE(numberings.Record("s", "v1", "a", kByOne));
  EXPECT_TRUE(numberings.Record("s", "v1", "b", kByOne));
  EXPECT_EQ(numberings.Find("s", "v1"), (event_numbering{.first = 1, .step = 1}));
  EXPECT_EQ(numberings.Find("s", "v2"), event_numbering{});
  EXPECT_EQ(numberings.Find("t", "v1"), event_numbering{});
  for (std::size_t i = 0; i < event_numberings::kMaxServices; ++i) {
    numberings.Record("s" + std::to_string(i), "", "a", kByOne);
  }
  EXPECT_EQ(numberings.Find("s", "v1"), event_numbering{});
}

}  // namespace
}  // namespace persimmon
