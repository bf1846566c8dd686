// Tests of the hints on cached prompts, the speeds of engines, the choice of engines by them, and the check of
// prefills.
//
// Sections
//   1. cached prompts
//   2. speeds of engines
//   3. choice of engines
//   4. check of prefills
//   5. load
#include "persimmon/prompt_cache.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <random>

#include "decision_support.h"
#include "persimmon/kv_placement.h"
#include "persimmon/prefill_check.h"
#include "support/prompt_model.h"

namespace persimmon {
namespace {

using support::prompt_load;
using support::prompt_model;
using support::prompt_totals;

const engine_incarnation kEngine{endpoint_name{"p1"}, 1};
constexpr cache_memory kMemory{29'000, 1, 1};

// ---------------------------------------------------------------------------------------------------------------------
// 1. cached prompts
// ---------------------------------------------------------------------------------------------------------------------

class prompt_cache_test : public testing::Test {
 protected:
  std::uint32_t Predict(const std::vector<prompt_part>& parts, std::int64_t at = 1,
                        const cache_memory& memory = kMemory) const {
    return cache_.PredictCachedTokens(kEngine, parts, memory, At(at));
  }

  prompt_cache cache_;
};

TEST_F(prompt_cache_test, Prompt_WithTheBeginningOfAnEarlierOne_IsCachedUpToTheFirstOtherPart) {
  cache_.RecordParts(kEngine, std::vector<prompt_part>{{1, 100}, {2, 200}, {3, 400}}, kMemory, At(0));
  EXPECT_EQ(Predict({{1, 100}, {2, 200}, {3, 400}}), 700U);
  EXPECT_EQ(Predict({{1, 100}, {2, 200}, {9, 400}}), 300U);
  EXPECT_EQ(Predict({{9, 100}, {2, 200}, {3, 400}}), 0U) << "a part counts without the parts before it";
  EXPECT_EQ(Predict({{1, 150}, {2, 200}}), 0U) << "a part counts with another number of tokens";
}

TEST_F(prompt_cache_test, Engine_AfterARestart_HasNoHints) {
  cache_.RecordParts(kEngine, std::vector<prompt_part>{{1, 100}}, kMemory, At(0));
  const engine_incarnation restarted{kEngine.name, 2};
  EXPECT_EQ(cache_.PredictCachedTokens(restarted, std::vector<prompt_part>{{1, 100}}, kMemory, At(1)), 0U);
  cache_.RecordParts(restarted, std::vector<prompt_part>{{2, 100}}, kMemory, At(2));
  EXPECT_EQ(Predict({{1, 100}}), 0U) << "a hint of the earlier incarnation is still used";
}

TEST_F(prompt_cache_test, Parts_BeyondTheMemory_AreDroppedLeastRecentlyUsedFirst) {
  cache_.RecordParts(kEngine, std::vector<prompt_part>{{1, 6'000}, {2, 10'000}}, kMemory, At(0));
  cache_.RecordParts(kEngine, std::vector<prompt_part>{{1, 6'000}, {3, 10'000}}, kMemory, At(1));
  EXPECT_EQ(Predict({{1, 6'000}, {3, 10'000}}), 16'000U);
  EXPECT_EQ(Predict({{1, 6'000}, {2, 10'000}}), 16'000U);
  cache_.RecordParts(kEngine, std::vector<prompt_part>{{1, 6'000}, {4, 10'000}}, kMemory, At(2));
  EXPECT_EQ(Predict({{1, 6'000}, {2, 10'000}}), 6'000U);
}

TEST_F(prompt_cache_test, Hint_WhileRunningRequestsUseTheMemory_IsNotUsed) {
  cache_.RecordParts(kEngine, std::vector<prompt_part>{{1, 6'000}}, kMemory, At(0));
  EXPECT_EQ(Predict({{1, 6'000}}, 1, {5'000, 1, 1}), 0U);
  EXPECT_EQ(Predict({{1, 6'000}}, 1, {7'000, 1, 1}), 6'000U);
}

// With several routers, most of what pushes a prompt out of an engine was sent by the others.
TEST_F(prompt_cache_test, LastPart_AfterTheWorkOfAllRouters_IsExpectedToBePushedOut) {
  const cache_memory shared{29'000, 5, 2};
  cache_.RecordParts(kEngine, std::vector<prompt_part>{{1, 1'000}, {2, 3'000}}, shared, At(0));
  cache_.RecordParts({endpoint_name{"p2"}, 1}, std::vector<prompt_part>{{1, 1'000}, {3, 8'000}}, shared, At(1));
  EXPECT_EQ(Predict({{1, 1'000}, {2, 3'000}}, 2, shared), 4'000U);
  cache_.RecordParts({endpoint_name{"p2"}, 1}, std::vector<prompt_part>{{1, 1'000}, {4, 8'000}}, shared, At(2));
  EXPECT_EQ(Predict({{1, 1'000}, {2, 3'000}}, 3, shared), 1'000U);
}

TEST_F(prompt_cache_test, Hint_AfterItsMaximumAge_IsNotUsed) {
  cache_.RecordParts(kEngine, std::vector<prompt_part>{{1, 100}}, kMemory, At(0));
  EXPECT_EQ(Predict({{1, 100}}, 30'000), 100U);
  EXPECT_EQ(Predict({{1, 100}}, 30'001), 0U);
}

TEST_F(prompt_cache_test, Hint_ContradictedByATime_IsDroppedWithOlderOnes) {
  cache_.RecordParts(kEngine, std::vector<prompt_part>{{1, 1'000}}, kMemory, At(0));
  cache_.RecordParts(kEngine, std::vector<prompt_part>{{2, 1'000}}, kMemory, At(1));
  cache_.RecordParts(kEngine, std::vector<prompt_part>{{3, 1'000}}, kMemory, At(2));
  cache_.RecordCheck(kEngine, std::vector<prompt_part>{{2, 1'000}}, false);
  EXPECT_EQ(Predict({{1, 1'000}}, 3), 0U);
  EXPECT_EQ(Predict({{2, 1'000}}, 3), 0U);
  EXPECT_EQ(Predict({{3, 1'000}}, 3), 500U) << "after a wrong hint, others of the engine count in full";
}

// An engine without a cache would otherwise attract prompts by each new hint.
TEST_F(prompt_cache_test, Engine_WhoseHintsAreAlwaysWrong_LosesItsAdvantage) {
  const std::vector<prompt_part> parts = {{1, 4'000}};
  for (int i = 0; i < 10; ++i) {
    cache_.RecordParts(kEngine, parts, kMemory, At(i));
    cache_.RecordCheck(kEngine, parts, false);
  }
  cache_.RecordParts(kEngine, parts, kMemory, At(10));
  EXPECT_LT(Predict(parts, 11), 600U);
  for (int i = 0; i < 30; ++i) {
    cache_.RecordCheck(kEngine, parts, true);
  }
  EXPECT_GT(Predict(parts, 11), 3'500U);
}

TEST(contradicts_hint_test, Time_OfTheWholePrompt_ContradictsTheHint) {
  EXPECT_FALSE(ContradictsHint({8'000, 6'000, 0, 2'000 / 33.0, 33}));
  EXPECT_TRUE(ContradictsHint({8'000, 6'000, 0, 8'000 / 33.0, 33}));
  EXPECT_FALSE(ContradictsHint({8'000, 6'000, 7'000, 9'000 / 33.0, 33})) << "the wait for other prompts counts";
  EXPECT_FALSE(ContradictsHint({8'000, 0, 0, 60'000 / 33.0, 33})) << "nothing was predicted";
}

RC_GTEST_PROP(prompt_cache_property_test, Hints_OfAnyPrompts_StayWithinTheirBounds, ()) {
  prompt_cache cache;
  std::int64_t now = 0;
  for (const auto& numbers : *rc::gen::container<std::vector<std::vector<std::uint16_t>>>(
           rc::gen::container<std::vector<std::uint16_t>>(rc::gen::inRange<std::uint16_t>(0, 40)))) {
    std::vector<prompt_part> parts;
    std::uint64_t sum = 0;
    for (const std::uint16_t number : numbers) {
      parts.push_back({number, 100U + number * 50U});
      sum += parts.back().tokens;
    }
    const engine_incarnation engine{Endpoint(static_cast<int>(numbers.size() % 3)), 1};
    const std::uint32_t predicted = cache.PredictCachedTokens(engine, parts, kMemory, At(now));
    RC_ASSERT(predicted <= sum);
    cache.RecordParts(engine, parts, kMemory, At(++now));
    RC_ASSERT(cache.PredictCachedTokens(engine, parts, kMemory, At(now)) <= std::max<std::uint64_t>(sum, predicted));
    RC_ASSERT(cache.PartCount(engine.name) * 100 <= kMemory.free_tokens);
    RC_ASSERT(cache.PredictCachedTokens(engine, parts, {0, 1, 1}, At(now)) == 0U);
  }
}

// Prompts with many tiny parts must not fill the memory of the router.
TEST(prompt_cache_memory_test, HintsFor64Engines_WithTinyParts_TakeAtMost2Mb) {
  prompt_cache cache;
  std::uint64_t id = 0;
  for (int round = 0; round < 30; ++round) {
    for (int engine = 0; engine < 64; ++engine) {
      std::vector<prompt_part> parts;
      for (int i = 0; i < 33; ++i) {
        parts.push_back({++id, 1});
      }
      cache.RecordParts({Endpoint(engine), 1}, parts, kMemory, At(round));
    }
  }
  EXPECT_EQ(cache.EngineCount(), 64U);
  EXPECT_LE(cache.MemoryBytes(), 2U << 20U);
}

TEST(prompt_cache_memory_test, Engines_BeyondTheLimit_ReplaceTheLeastRecentlyUsed) {
  prompt_cache_settings settings;
  settings.max_engines = 2;
  prompt_cache cache(settings);
  const std::vector<prompt_part> parts = {{1, 1'000}};
  for (int engine = 0; engine < 3; ++engine) {
    cache.RecordParts({Endpoint(engine), 1}, parts, kMemory, At(engine));
  }
  EXPECT_EQ(cache.EngineCount(), 2U);
  EXPECT_EQ(cache.PredictCachedTokens({Endpoint(0), 1}, parts, kMemory, At(4)), 0U);
  EXPECT_EQ(cache.PredictCachedTokens({Endpoint(2), 1}, parts, kMemory, At(4)), 1'000U);
}

TEST(prefilled_prompts_test, Entries_ExpireAndAreBounded) {
  prefilled_prompts prompts(2);
  prompts.Add(1, {7, 1, 1'000, At(100)}, At(0));
  prompts.Add(2, {7, 1, 1'000, At(200)}, At(0));
  EXPECT_NE(prompts.Find(1, At(99)), nullptr);
  EXPECT_EQ(prompts.Find(1, At(100)), nullptr);
  prompts.Add(3, {7, 1, 1'000, At(300)}, At(50));
  EXPECT_EQ(prompts.Size(), 2U);
  EXPECT_EQ(prompts.Find(1, At(60)), nullptr) << "the entry that expires first is kept";
  EXPECT_NE(prompts.Find(3, At(60)), nullptr);
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. speeds of engines
// ---------------------------------------------------------------------------------------------------------------------

TEST(engine_speeds_test, Speed_OfPrefillsOfAnIdleEngine_IsLearned) {
  engine_speeds speeds;
  EXPECT_DOUBLE_EQ(speeds.TokensPerMs(kEngine, At(0)), 33);
  for (int i = 0; i < 10; ++i) {
    speeds.RecordPrefill(kEngine, 3'000, 0, 3'000 / 14.0, At(i * 100));
  }
  EXPECT_NEAR(speeds.TokensPerMs(kEngine, At(1'000)), 14, 2);
  const engine_incarnation other{endpoint_name{"p2"}, 1};
  for (int i = 0; i < 100; ++i) {
    speeds.RecordPrefill(other, 3'000, 0, 3'000 / 33.0, At(1'000 + i * 100));
  }
  EXPECT_LT(speeds.TokensPerMs(kEngine, At(11'000)), 25);
  EXPECT_GT(speeds.TokensPerMs(kEngine, At(120'000)), 25) << "an engine without measurements must be tried again";
  EXPECT_DOUBLE_EQ(speeds.TokensPerMs({kEngine.name, 2}, At(1'000)), speeds.UsualTokensPerMs())
      << "a restarted engine has the speed of the earlier incarnation";
}

// A prompt that waits behind others takes long on a fast engine too. On average, half of the prompt in progress has
// been read when another one is sent.
TEST(engine_speeds_test, Speed_MeasuredBehindOtherPrompts_CountsTheirWork) {
  engine_speeds speeds;
  for (int i = 0; i < 10; ++i) {
    speeds.RecordPrefill(kEngine, 3'000, 6'000, 7'500 / 33.0, At(i * 100));
  }
  EXPECT_NEAR(speeds.TokensPerMs(kEngine, At(1'000)), 33, 1);
}

// The pending tokens of peers may be outdated, so that such measurements must not outweigh those of an idle engine.
TEST(engine_speeds_test, Speed_WithWrongPendingTokens_IsDominatedByIdleMeasurements) {
  engine_speeds speeds;
  for (int i = 0; i < 20; ++i) {
    speeds.RecordPrefill(kEngine, 3'000, 0, 3'000 / 33.0, At(i * 100));
    speeds.RecordPrefill(kEngine, 2'000, 8'000, 2'000 / 33.0, At(i * 100 + 50));  // the others had already been read
  }
  EXPECT_NEAR(speeds.TokensPerMs(kEngine, At(2'000)), 33, 5);
}

TEST(engine_speeds_test, WorkTimeFigure_ScalesTheSpeedUntilItIsOld) {
  engine_speeds speeds;
  for (int i = 0; i < 10; ++i) {
    speeds.RecordWorkTime(kEngine, 200, At(i * 100));
    speeds.RecordPrefill(kEngine, 3'000, 0, 3'000 / 16.5, At(i * 100));
  }
  speeds.RecordWorkTime(kEngine, 200, At(1'000));
  EXPECT_NEAR(speeds.TokensPerMs(kEngine, At(1'000)), 16.5, 1);
  speeds.RecordWorkTime(kEngine, 100, At(1'001));
  EXPECT_NEAR(speeds.TokensPerMs(kEngine, At(1'001)), 33, 2);
  speeds.RecordWorkTime(kEngine, 300, At(1'002));
  EXPECT_NEAR(speeds.TokensPerMs(kEngine, At(6'000)), 33, 2) << "an old report still counts";
  speeds.RecordWorkTime(kEngine, std::nullopt, At(6'000));
  EXPECT_NEAR(speeds.TokensPerMs(kEngine, At(6'000)), 33, 2);
}

RC_GTEST_PROP(engine_speeds_property_test, Speeds_AreBetweenTheExtremesOfTheMeasurementsAndTheUsualSpeed, ()) {
  engine_speeds speeds;
  double lowest = 33;
  double highest = 33;
  std::int64_t now = 0;
  for (const int speed : *rc::gen::container<std::vector<int>>(rc::gen::inRange(8, 150))) {
    now += 200;
    speeds.RecordPrefill(kEngine, 3'000, 0, 3'000.0 / speed, At(now));
    lowest = std::min<double>(lowest, speed);
    highest = std::max<double>(highest, speed);
    RC_ASSERT(speeds.TokensPerMs(kEngine, At(now)) >= lowest * 0.999);
    RC_ASSERT(speeds.TokensPerMs(kEngine, At(now)) <= highest * 1.001);
  }
}

TEST(engine_speeds_test, DecodePace_OfAFasterEngine_IsAboveOneAndBounded) {
  engine_speeds speeds;
  const engine_incarnation slow{endpoint_name{"d2"}, 1};
  EXPECT_DOUBLE_EQ(speeds.DecodePace(kEngine, At(0)), 1);
  for (int i = 0; i < 200; ++i) {
    speeds.RecordTokenInterval(kEngine, 2, At(i * 50));
    speeds.RecordTokenInterval(slow, 8, At(i * 50));
  }
  EXPECT_GT(speeds.DecodePace(kEngine, At(10'000)), 1.5);
  EXPECT_LE(speeds.DecodePace(kEngine, At(10'000)), 2);
  EXPECT_LT(speeds.DecodePace(slow, At(10'000)), 0.7);
  EXPECT_NEAR(speeds.DecodePace(slow, At(200'000)), 1, 0.05);
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. choice of engines
// ---------------------------------------------------------------------------------------------------------------------

engine_view MakeView(const std::string& name, std::uint32_t pending = 0, std::uint32_t cached = 0, double speed = 33) {
  engine_view view;
  view.name = endpoint_name{name};
  view.zone = zone_name{"zone-a"};
  view.kv_tokens = 29'000;
  view.slots = 16;
  view.pending_tokens = pending;
  view.cached_tokens = cached;
  view.prefill_tokens_per_ms = speed;
  return view;
}

class weighed_choice_test : public testing::Test {
 protected:
  weighed_choice_test() { settings_.weighs_speeds = true; }

  engine_choice Choose(std::uint32_t tokens = 8'000, std::uint64_t draw = 0) const {
    return ChooseEngines(decode_, prefill_, {tokens, 100}, zone_name{"zone-a"}, draw, settings_);
  }

  placement_settings settings_;
  std::vector<engine_view> decode_ = {MakeView("d1")};
  std::vector<engine_view> prefill_ = {MakeView("p1"), MakeView("p2")};
};

TEST_F(weighed_choice_test, Prompt_GoesWhereItsPredictedEndIsEarliest) {
  prefill_ = {MakeView("p1"), MakeView("p2", 3'000, 6'000)};
  EXPECT_EQ(Choose().prefill, std::optional<std::size_t>(1)) << "the cached prompt is not preferred";
  prefill_ = {MakeView("p1"), MakeView("p2", 6'900, 6'000)};
  EXPECT_EQ(Choose().prefill, std::optional<std::size_t>(0)) << "the wait at a busy engine is not counted";
  prefill_ = {MakeView("p1", 2'000, 0, 50), MakeView("p2", 0, 0, 20)};
  EXPECT_EQ(Choose().prefill, std::optional<std::size_t>(0)) << "the slow engine is chosen";
  prefill_ = {MakeView("p1"), MakeView("p2", 0, 2'000)};
  prefill_[1].zone = zone_name{"zone-b"};
  EXPECT_EQ(Choose().prefill, std::optional<std::size_t>(1));
  prefill_[1].cached_tokens = 1'000;
  EXPECT_EQ(Choose().prefill, std::optional<std::size_t>(0)) << "the penalty of another zone is not counted";
}

TEST_F(weighed_choice_test, EqualEnds_AreChosenByTheDraw) {
  prefill_ = {MakeView("p1", 100), MakeView("p2"), MakeView("p3", 2'000)};
  std::array<int, 3> chosen{};
  for (std::uint64_t draw = 0; draw < 30; ++draw) {
    ++chosen.at(*Choose(8'000, draw).prefill);
  }
  EXPECT_GE(chosen[0], 10);
  EXPECT_GE(chosen[1], 10);
  EXPECT_EQ(chosen[2], 0);
}

TEST_F(weighed_choice_test, SlowEngine_HasASmallerBacklogLimit) {
  prefill_ = {MakeView("p1", 4'000, 0, 16)};
  EXPECT_EQ(Choose().waits_for, wait_reason::kPrefillBusy);
  prefill_[0].pending_tokens = 3'300;
  EXPECT_EQ(Choose().prefill, std::optional<std::size_t>(0)) << "a slow engine must get prompts too";
}

TEST_F(weighed_choice_test, EngineThatCachesThePrompt_MayExceedTheLimitALittle) {
  prefill_ = {MakeView("p1", 8'500, 6'000), MakeView("p2", 7'500)};
  EXPECT_EQ(Choose().prefill, std::optional<std::size_t>(0));
  prefill_[0].pending_tokens = 9'000;
  EXPECT_EQ(Choose().waits_for, wait_reason::kPrefillBusy);
  prefill_ = {MakeView("p1", 8'500, 1'000), MakeView("p2", 6'900)};
  EXPECT_EQ(Choose().prefill, std::optional<std::size_t>(1));
}

TEST_F(weighed_choice_test, DecodeEngine_ThatHoldsThePrompt_ReadsTheRestItself) {
  decode_ = {MakeView("d1"), MakeView("d2", 0, 7'800)};
  engine_choice choice = Choose();
  EXPECT_EQ(choice.decode, 1U);
  EXPECT_EQ(choice.prefill, std::nullopt);
  decode_[1].cached_tokens = 4'000;  // 8,000 tokens at half the speed take as long as the whole prompt elsewhere
  EXPECT_TRUE(Choose().prefill);
  decode_[1].cached_tokens = 7'800;
  decode_[1].pending_tokens = 500;
  EXPECT_TRUE(Choose().prefill) << "a second prompt stalls the streams of the engine";
  decode_[1].pending_tokens = 0;
  decode_[1].streams = {{28'000, 0, 28'000}};
  EXPECT_TRUE(Choose().prefill) << "the engine has no memory";
}

// Guards against stalling the streams of all decode engines by requests that share a popular prefix.
TEST_F(weighed_choice_test, DecodeEngine_ThatCachesAPopularPrefix_ReadsTheRestOnlyWhilePrefillEnginesAreBusy) {
  decode_ = {MakeView("d1", 0, 6'000)};
  prefill_ = {MakeView("p1", 5'000, 6'000), MakeView("p2", 5'000, 6'000)};
  EXPECT_TRUE(Choose().prefill);
  prefill_ = {MakeView("p1", 9'000, 6'000), MakeView("p2", 9'000, 6'000)};
  EXPECT_EQ(Choose().waits_for, wait_reason::kNone);
  EXPECT_EQ(Choose().prefill, std::nullopt);
}

TEST_F(weighed_choice_test, FasterDecodeEngine_IsPreferredButNotAlways) {
  decode_ = {MakeView("d1"), MakeView("d2"), MakeView("d3")};
  decode_[0].decode_pace = 1.5;
  std::array<int, 3> chosen{};
  for (std::uint64_t draw = 0; draw < 9; ++draw) {
    ++chosen.at(Choose(3'000, (draw / 3) << 32U | draw % 3).decode);
  }
  EXPECT_EQ(chosen[0], 5);
  EXPECT_GT(chosen[1] + chosen[2], 0);
}

// Deployments that do not use the adaptive policy must be served as before.
RC_GTEST_PROP(choose_engines_property_test, Choice_WithoutTheAdaptivePolicy_IgnoresSpeedsAndCaches, ()) {
  const auto make = [](const std::string& name) {
    engine_view view = MakeView(name, *rc::gen::inRange<std::uint32_t>(0, 9'000));
    view.zone = zone_name{*rc::gen::arbitrary<bool>() ? "zone-a" : "zone-b"};
    view.can_receive = *rc::gen::inRange(0, 4) > 0;
    view.streams = {{*rc::gen::inRange<std::uint32_t>(0, 29'000), 0, 0}};
    view.prefill_tokens_per_ms = 0;
    return view;
  };
  std::vector<engine_view> decode = {make("d1"), make("d2"), make("d3")};
  std::vector<engine_view> prefill = {make("p1"), make("p2"), make("p3")};
  const stream_memory stream{*rc::gen::inRange<std::uint32_t>(1, 9'000), 200, 0};
  const auto draw = *rc::gen::arbitrary<std::uint64_t>();
  const zone_name zone{"zone-a"};
  const engine_choice plain = ChooseEngines(decode, prefill, stream, zone, draw, {});
  const auto plain_prefill = ChoosePrefillEngine(prefill, zone, draw, {});
  for (auto* views : {&decode, &prefill}) {
    for (engine_view& view : *views) {
      view.cached_tokens = *rc::gen::inRange<std::uint32_t>(0, 9'000);
      view.prefill_tokens_per_ms = *rc::gen::inRange(5, 90);
      view.decode_pace = *rc::gen::inRange(1, 8) / 4.0;
    }
  }
  RC_ASSERT(ChooseEngines(decode, prefill, stream, zone, draw, {}) == plain);
  RC_ASSERT(ChoosePrefillEngine(prefill, zone, draw, {}, stream.held_tokens) == plain_prefill);
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. check of prefills
// ---------------------------------------------------------------------------------------------------------------------

class prefill_check_test : public testing::Test {
 protected:
  prefill_verdict Check() const { return CheckPrefill(conditions_, milliseconds(50)); }

  prefill_conditions conditions_{
      true, true, milliseconds(1'000), milliseconds(300), milliseconds(20), milliseconds(400)};
};

TEST_F(prefill_check_test, Prefill_WhoseResultIsWanted_IsSent) { EXPECT_EQ(Check(), prefill_verdict::kSend); }

TEST_F(prefill_check_test, Prefill_ForACallerThatHasLeft_IsNotSent) {
  conditions_.is_caller_connected = false;
  EXPECT_EQ(Check(), prefill_verdict::kCallerGone);
}

TEST_F(prefill_check_test, Prefill_WhoseFirstEventWouldBeTooLate_IsNotSent) {
  conditions_.time_left = milliseconds(370);
  EXPECT_EQ(Check(), prefill_verdict::kSend);
  conditions_.time_left = milliseconds(369);
  EXPECT_EQ(Check(), prefill_verdict::kTooLate);
}

TEST_F(prefill_check_test, Prefill_ForADecodeEngineThatLeaves_IsNotSent) {
  conditions_.is_decode_engine_current = false;
  EXPECT_EQ(Check(), prefill_verdict::kDecodeEngineGone);
}

TEST_F(prefill_check_test, Prefill_ThatOutlastsItsReservation_IsNotSent) {
  conditions_.reservation_left = milliseconds(299);
  EXPECT_EQ(Check(), prefill_verdict::kReservationEnds);
  conditions_.reservation_left.reset();
  EXPECT_EQ(Check(), prefill_verdict::kSend) << "a decode with a permit has no reservation";
}

TEST(abandonment_time_test, Gap_IsTheLargestOfTheLimits) {
  EXPECT_EQ(AbandonmentTime(milliseconds(900), milliseconds(0)), milliseconds(3'600));
  EXPECT_EQ(AbandonmentTime(milliseconds(400), milliseconds(100)), milliseconds(2'000));
  EXPECT_EQ(AbandonmentTime(milliseconds(400), milliseconds(300)), milliseconds(2'400));
}

// ---------------------------------------------------------------------------------------------------------------------
// 5. load
// ---------------------------------------------------------------------------------------------------------------------

struct load_comparison {
  double with = 0;  // shares in time
  double without = 0;
  double worst_pending = 0;  // largest ratio of the pending tokens of an engine to their mean
};

load_comparison Compare(prompt_load load, int seeds) {
  load_comparison result;
  for (int seed = 1; seed <= seeds; ++seed) {
    load.seed = static_cast<std::uint64_t>(seed);
    load.weighs = true;
    const prompt_totals with = prompt_model(load).Simulate();
    load.weighs = false;
    const prompt_totals without = prompt_model(load).Simulate();
    result.with += with.InTimeShare() / seeds;
    result.without += without.InTimeShare() / seeds;
    result.worst_pending = std::max(result.worst_pending, with.MaxPending() / std::max(1.0, with.MeanPending()));
  }
  std::printf("in time: %.3f with, %.3f without; largest pending %.2f of the mean\n", result.with, result.without,
              result.worst_pending);
  return result;
}

struct decode_load_result {
  double mean_interval_ms = 0;    // between tokens, over all streams
  std::vector<int> streams;       // started at each engine
  std::vector<double> intervals;  // of each engine
};

// Streams of one router at decode engines of unequal speed, at about 40% of their memory.
decode_load_result SimulateDecode(bool weighs, std::uint64_t seed) {
  constexpr std::int64_t kEndMs = 60'000;
  constexpr std::uint32_t kPromptTokens = 3'200;
  constexpr std::uint32_t kOutputTokens = 900;
  struct running_stream {
    std::int64_t end_ms = 0;
    std::int64_t start_ms = 0;
  };
  decode_load_result result;
  result.intervals = {3, 3, 4, 4, 6, 8};
  result.streams.resize(result.intervals.size());
  std::vector<std::vector<running_stream>> running(result.intervals.size());
  std::mt19937_64 random(seed);
  engine_speeds speeds;
  placement_settings settings;
  settings.weighs_speeds = weighs;
  int placed = 0;
  for (std::int64_t now = 0; now < kEndMs; now += 10) {
    std::vector<engine_view> views;
    for (std::size_t i = 0; i < running.size(); ++i) {
      std::erase_if(running[i], [&](const running_stream& stream) {
        const bool has_ended = stream.end_ms <= now;
        if (has_ended) {
          speeds.RecordTokenInterval({Endpoint(static_cast<int>(i)), 1}, result.intervals[i], At(now));
        }
        return has_ended;
      });
      views.push_back(MakeView(Endpoint(static_cast<int>(i)).value));
      views.back().decode_pace = speeds.DecodePace({Endpoint(static_cast<int>(i)), 1}, At(now));
      for (const running_stream& stream : running[i]) {
        const auto written =
            static_cast<std::uint32_t>(static_cast<double>(now - stream.start_ms) / result.intervals[i]);
        views.back().streams.push_back({kPromptTokens + written, kOutputTokens - written, 0});
      }
    }
    for (int count = std::poisson_distribution<int>(0.05)(random); count > 0; --count) {
      const auto engine = ChooseDecodeEngine(views, {kPromptTokens, kOutputTokens, 0}, {}, random(), settings);
      if (engine) {
        const double interval = result.intervals[*engine];
        running[*engine].push_back({now + static_cast<std::int64_t>(kOutputTokens * interval), now});
        views[*engine].streams.push_back({kPromptTokens, kOutputTokens, 0});
        ++result.streams[*engine];
        result.mean_interval_ms += (interval - result.mean_interval_ms) / ++placed;
      }
    }
  }
  return result;
}

TEST(decode_load_test, UnevenDecodeEngines_WriteFasterWithoutLeavingSlowOnesIdle) {
  const decode_load_result with = SimulateDecode(true, 1);
  const decode_load_result without = SimulateDecode(false, 1);
  std::printf("token interval: %.2f ms with, %.2f ms without; streams of the slowest engine %d and %d\n",
              with.mean_interval_ms, without.mean_interval_ms, with.streams.back(), without.streams.back());
  EXPECT_LT(with.mean_interval_ms, without.mean_interval_ms);
  for (const int streams : with.streams) {
    EXPECT_GT(streams, 10) << "a slow engine gets none";
  }
  EXPECT_LT(with.streams[0], with.streams[1] * 2) << "one engine gets all";
}

TEST(prompt_load_test, PopularPrefix_UnderOverload_IsServedInTimeMoreOften) {
  const load_comparison result = Compare({}, 40);
  EXPECT_GT(result.with, result.without);
  EXPECT_LE(result.worst_pending, 2) << "a popular prefix concentrates requests on one engine";
}

// Routers learn of each other's prompts only every 184 ms.
TEST(prompt_load_test, PopularPrefix_WithManyRouters_IsServedInTimeMoreOften) {
  prompt_load load;
  load.routers = 24;
  load.tokens_per_ms.assign(16, 33);
  const load_comparison result = Compare(load, 5);
  EXPECT_GT(result.with, result.without);
  EXPECT_LE(result.worst_pending, 2);
}

TEST(prompt_load_test, UnevenEngines_WithAPopularPrefix_ServeMoreInTime) {
  prompt_load load;
  load.tokens_per_ms = {20, 50, 33, 25};
  const load_comparison result = Compare(load, 5);
  EXPECT_GT(result.with, result.without);
  EXPECT_LE(result.worst_pending, 2);
}

TEST(prompt_load_test, UnevenEngines_WithNothingShared_ServeMoreInTime) {
  prompt_load load;
  load.tokens_per_ms = {20, 50, 33, 25};
  load.has_popular_prefix = false;
  load.load = 0.8;
  const load_comparison result = Compare(load, 5);
  EXPECT_GT(result.with, result.without);
}

// The hints must not make the placement worse where they cannot help. Differences below 0.03 are noise.
TEST(prompt_load_test, NothingShared_IsServedAsWithoutHints) {
  prompt_load load;
  load.has_popular_prefix = false;
  load.load = 0.9;
  const load_comparison moderate = Compare(load, 20);
  EXPECT_NEAR(moderate.with, moderate.without, 0.03);
  load.load = 1.5;
  const load_comparison high = Compare(load, 20);
  EXPECT_NEAR(high.with, high.without, 0.03);
}

}  // namespace
}  // namespace persimmon
