// Guards against requests that have nothing in common but a part of their prompts and crash one engine after another,
// and against refusing sound requests that share other parts with them or ran beside them.
#include "persimmon/part_suspects.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "decision_support.h"

namespace persimmon {
namespace {

using part_list = std::vector<part_id>;

class part_suspects_test : public testing::Test {
 protected:
  static constexpr part_id kFirst = 1;   // of all requests of a route
  static constexpr part_id kDeadly = 2;  // crashes engines
  static constexpr part_id kOther = 3;

  // A new request with these parts crashes an engine that has not crashed before.
  bool Crash(part_suspect_table& table, const part_list& parts, std::int64_t now) {
    ++next_;
    return table.RecordCrash(next_, next_, parts, At(now));
  }

  // As Crash, after a sound request without these parts was answered.
  bool CrashAmongOthers(const part_list& parts, std::int64_t now) {
    table_.RecordAnswer(part_list{kUnrelated}, At(now - 1));
    return Crash(table_, parts, now);
  }

  bool IsRefused(const part_suspect_table& table, const part_list& parts, std::int64_t now) const {
    return table.RemainingRefusal(parts, At(now)).has_value();
  }

  static constexpr part_id kUnrelated = 99;
  part_suspect_settings settings_;
  part_suspect_table table_{settings_};
  std::uint64_t next_ = 0;
};

TEST_F(part_suspects_test, Part_WithThreeCrashesAndNoAnswer_IsRefusedForItsTime) {
  table_.RecordAnswer(part_list{kFirst}, At(0));
  CrashAmongOthers({kFirst, kDeadly}, 1'000);
  CrashAmongOthers({kFirst, kDeadly}, 2'000);
  EXPECT_FALSE(IsRefused(table_, {kFirst, kDeadly}, 2'000));
  CrashAmongOthers({kFirst, kDeadly}, 3'000);
  EXPECT_EQ(table_.RemainingRefusal(part_list{kFirst, kDeadly}, At(4'000)), milliseconds(599'000));
  EXPECT_TRUE(IsRefused(table_, {kOther, kDeadly}, 4'000));
  EXPECT_FALSE(IsRefused(table_, {kDeadly}, 603'000));
}

// Guards against refusing the part that sound requests share with the guilty ones, although all of its last crashes are
// unanswered.
TEST_F(part_suspects_test, SharedPart_AnsweredBefore_YieldsToThePartThatNeverWas) {
  table_.RecordAnswer(part_list{kFirst}, At(0));
  for (int i = 1; i <= 5; ++i) {
    CrashAmongOthers({kFirst, kDeadly}, i * 1'000);
  }
  EXPECT_TRUE(IsRefused(table_, {kDeadly}, 6'000));
  EXPECT_FALSE(IsRefused(table_, {kFirst}, 6'000));
  EXPECT_FALSE(IsRefused(table_, {kFirst, kOther}, 6'000));
}

// Guards against refusing sound requests when nothing tells two parts apart, and against refusing neither.
TEST_F(part_suspects_test, PartsWithTheSameCrashes_AreRefusedOnlyTogether) {
  for (int i = 1; i <= 3; ++i) {
    CrashAmongOthers({kFirst, kDeadly}, i * 1'000);
  }
  EXPECT_TRUE(IsRefused(table_, {kFirst, kDeadly, kOther}, 4'000));
  EXPECT_FALSE(IsRefused(table_, {kFirst}, 4'000));
  EXPECT_FALSE(IsRefused(table_, {kDeadly}, 4'000));
  table_.RecordAnswer(part_list{kFirst}, At(4'100));
  EXPECT_TRUE(IsRefused(table_, {kDeadly}, 4'200));
  EXPECT_FALSE(IsRefused(table_, {kFirst}, 4'200));
}

// Guards against refusing a sound request because it has two of three parts that cannot be told apart.
TEST_F(part_suspects_test, RequestWithoutOneOfThePartsWithTheSameCrashes_IsNotRefused) {
  for (int i = 1; i <= 3; ++i) {
    CrashAmongOthers({kFirst, kOther, kDeadly}, i * 1'000);
  }
  EXPECT_TRUE(IsRefused(table_, {kFirst, kOther, kDeadly}, 4'000));
  EXPECT_FALSE(IsRefused(table_, {kFirst, kOther}, 4'000));
  CrashAmongOthers({kFirst, kOther}, 5'000);
  EXPECT_FALSE(IsRefused(table_, {kFirst, kOther}, 5'500));
  CrashAmongOthers({kFirst, kOther}, 6'000);
  EXPECT_TRUE(IsRefused(table_, {kFirst, kOther}, 6'500));
}

TEST_F(part_suspects_test, PartsWithTheSameCrashes_AreToldApartByFurtherCrashes) {
  for (int i = 1; i <= 3; ++i) {
    CrashAmongOthers({kFirst, kDeadly}, i * 1'000);
  }
  CrashAmongOthers({kDeadly}, 4'000);
  EXPECT_FALSE(IsRefused(table_, {kDeadly}, 4'500));
  CrashAmongOthers({kDeadly}, 5'000);
  EXPECT_TRUE(IsRefused(table_, {kDeadly}, 5'500));
  EXPECT_FALSE(IsRefused(table_, {kFirst}, 5'500));
}

// Guards against refusing a part because another one in the same requests, or beside them, crashes engines.
TEST_F(part_suspects_test, PartOfABystander_InSomeOfTheCrashes_IsNotRefused) {
  for (int i = 1; i <= 6; ++i) {
    CrashAmongOthers(i % 2 == 0 ? part_list{kOther, kDeadly} : part_list{kDeadly}, i * 1'000);
  }
  EXPECT_TRUE(IsRefused(table_, {kDeadly}, 7'000));
  EXPECT_FALSE(IsRefused(table_, {kOther}, 7'000));
}

// A request whose own text crashes engines is refused by its whole content (suspects.h); its parts are sound.
TEST_F(part_suspects_test, OneRequestSentAgainAndAgain_IsNoEvidenceAgainstItsParts) {
  for (std::uint64_t i = 1; i <= 8; ++i) {
    table_.RecordAnswer(part_list{kUnrelated}, At(static_cast<std::int64_t>(i) * 1'000 - 1));
    table_.RecordCrash(i, 7, part_list{kOther}, At(static_cast<std::int64_t>(i) * 1'000));
  }
  EXPECT_FALSE(IsRefused(table_, {kOther}, 9'000));
}

// Guards against blaming what was running when a zone was lost.
TEST_F(part_suspects_test, EnginesLostAtTheSameMoment_CountOnce) {
  table_.RecordAnswer(part_list{kUnrelated}, At(0));
  for (int i = 0; i < 6; ++i) {
    Crash(table_, {kOther}, 1'000 + i * 40);
  }
  EXPECT_FALSE(IsRefused(table_, {kOther}, 1'500));
}

// Guards against blaming parts while engines crash under every request.
TEST_F(part_suspects_test, Crashes_WhileNothingIsAnswered_AreNoEvidence) {
  table_.RecordAnswer(part_list{kFirst}, At(0));
  for (int i = 1; i <= 10; ++i) {
    EXPECT_EQ(Crash(table_, {kFirst, kOther}, i * 1'000), i == 1);
  }
  EXPECT_FALSE(IsRefused(table_, {kFirst, kOther}, 11'000));
}

TEST_F(part_suspects_test, PartThatWasAnsweredBefore_IsTriedAgainSoonAndThenLater) {
  table_.RecordAnswer(part_list{kOther}, At(0));
  for (int i = 1; i <= 3; ++i) {
    CrashAmongOthers({kOther}, i * 1'000);
  }
  EXPECT_EQ(table_.RemainingRefusal(part_list{kOther}, At(3'000)), milliseconds(5'000));
  EXPECT_FALSE(IsRefused(table_, {kOther}, 8'001));
  CrashAmongOthers({kOther}, 9'000);
  EXPECT_EQ(table_.RemainingRefusal(part_list{kOther}, At(9'000)), milliseconds(10'000));
  table_.RecordAnswer(part_list{kOther}, At(19'500));
  EXPECT_FALSE(IsRefused(table_, {kOther}, 19'500));
}

TEST_F(part_suspects_test, IsSuspected_ByTheCrashOfAnotherRequest_UntilTheNextAnswer) {
  table_.RecordCrash(1, 7, part_list{kOther}, At(0));
  EXPECT_FALSE(table_.IsSuspected(part_list{kOther}, 7));
  EXPECT_TRUE(table_.IsSuspected(part_list{kFirst, kOther}, 8));
  EXPECT_TRUE(table_.RecordAnswer(part_list{kOther}, At(100)));
  EXPECT_FALSE(table_.IsSuspected(part_list{kOther}, 8));
}

// Each router sees a part of the requests. Guards against a verdict without the answers that others have seen.
TEST_F(part_suspects_test, Routers_WithAPartOfTheEvidence_ComeToTheSameVerdict) {
  part_suspect_table routers[] = {part_suspect_table(settings_), part_suspect_table(settings_),
                                  part_suspect_table(settings_)};
  routers[0].RecordAnswer(part_list{kFirst}, At(0));
  for (int i = 1; i <= 3; ++i) {
    Crash(routers[i % 3], {kFirst, kDeadly}, i * 1'000);
  }
  for (int round = 0; round < 2; ++round) {
    for (const auto& from : routers) {
      for (auto& to : routers) {
        to.MergeReports(from.Reports(At(3'100)), At(3'100));
      }
    }
  }
  for (const auto& router : routers) {
    EXPECT_TRUE(IsRefused(router, {kDeadly}, 3'200));
    EXPECT_FALSE(IsRefused(router, {kFirst}, 3'200));
  }
  part_suspect_table started(settings_);
  EXPECT_TRUE(started.MergeReports(routers[1].Reports(At(4'000)), At(4'000)));
  EXPECT_TRUE(IsRefused(started, {kFirst, kDeadly}, 4'100));
  EXPECT_FALSE(started.MergeReports(routers[1].Reports(At(5'000)), At(5'000)));
}

// Guards against an answer that seems later with every message, until it clears the crashes after it, again and again.
TEST_F(part_suspects_test, AnswerBeforeTheCrashes_PassedOnForMinutes_ChangesNothing) {
  part_suspect_table peer(settings_);
  table_.RecordAnswer(part_list{kOther}, At(0));
  Crash(table_, {kOther}, 500);
  int changes = 0;
  for (int i = 0; i < 2'000; ++i) {
    const std::int64_t now = 1'000 + i * 10;
    changes += peer.MergeReports(table_.Reports(At(now)), At(now + 2)) ? 1 : 0;
    changes += table_.MergeReports(peer.Reports(At(now + 4)), At(now + 6)) ? 1 : 0;
  }
  EXPECT_EQ(changes, 1);
  EXPECT_TRUE(table_.IsSuspected(part_list{kOther}, 99));
  EXPECT_TRUE(peer.IsSuspected(part_list{kOther}, 99));
}

// Guards against routers that tell each other for ever of crashes that each has dropped for newer ones.
TEST_F(part_suspects_test, Routers_WithMoreCrashesThanTheyKeep_StopTellingEachOther) {
  part_suspect_table peer(settings_);
  for (int i = 1; i <= 12; ++i) {
    CrashAmongOthers({kDeadly}, i * 1'000);
    peer.MergeReports(table_.Reports(At(i * 1'000)), At(i * 1'000 + 1));
  }
  bool is_changed = true;
  for (int round = 0; round < 20 && is_changed; ++round) {
    is_changed = table_.MergeReports(peer.Reports(At(13'000)), At(13'003));
    is_changed = peer.MergeReports(table_.Reports(At(13'000)), At(13'003)) || is_changed;
  }
  EXPECT_FALSE(is_changed);
}

// Up to the number of crashes that are kept.
RC_GTEST_FIXTURE_PROP(part_suspects_test, Verdict_ForAnyOrderOfReports_IsTheSame, ()) {
  settings_.max_crashes = 5 * 6;  // all that are drawn for one part
  part_suspect_table table(settings_);
  std::vector<part_report> reports;
  for (const int value : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000))) {
    part_report report{static_cast<part_id>(value % 4), std::nullopt, {}};
    if (value % 7 == 0) {
      report.answer_age = milliseconds(value * 10);
    } else {
      report.crashes.push_back({static_cast<std::uint64_t>(value % 5), static_cast<fingerprint_number>(value % 6),
                                milliseconds(value % 5 * 1'000)});
    }
    reports.push_back(report);
  }
  std::vector<part_report> shuffled = reports;
  std::reverse(shuffled.begin(), shuffled.end());
  shuffled.insert(shuffled.end(), reports.begin(), reports.end());
  part_suspect_table other(settings_);
  table.MergeReports(reports, At(0));
  other.MergeReports(shuffled, At(0));
  RC_ASSERT(table.AccusedParts(At(0)) == other.AccusedParts(At(0)));
  const part_list parts = *rc::gen::container<part_list>(rc::gen::inRange<part_id>(0, 4));
  RC_ASSERT(table.RemainingRefusal(parts, At(0)) == other.RemainingRefusal(parts, At(0)));
}

// Five routers, a deadly part, and sound requests that share the first part and documents with the guilty ones.
RC_GTEST_FIXTURE_PROP(part_suspects_test, DeadlyPart_InAnyTraffic_IsRefusedInTimeAndNothingElseIs, ()) {
  std::vector<part_suspect_table> routers(5, part_suspect_table(settings_));
  for (auto& router : routers) {
    router.RecordAnswer(part_list{kUnrelated}, At(0));
  }
  std::size_t crashes = 0;
  std::int64_t now = 0;
  const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 1'000));
  for (const int step : steps) {
    now += 300;
    auto& router = routers[static_cast<std::size_t>(step % 5)];
    part_list parts = {kFirst, static_cast<part_id>(10 + step % 3)};
    const bool is_deadly = step % 2 == 0;
    if (!is_deadly) {
      RC_ASSERT(!IsRefused(router, parts, now));
      router.RecordAnswer(parts, At(now));
    } else if (!IsRefused(router, {kFirst, parts[1], kDeadly}, now)) {
      parts.push_back(kDeadly);
      crashes += Crash(router, parts, now) ? 1 : 0;
    }
    for (int round = 0; round < 2; ++round) {
      for (const auto& from : routers) {
        for (auto& to : routers) {
          to.MergeReports(from.Reports(At(now)), At(now));
        }
      }
    }
    RC_ASSERT(crashes <= 5U);  // the platform's bound
  }
}

RC_GTEST_FIXTURE_PROP(part_suspects_test, Table_ForAnyReports_StaysWithinItsLimits, ()) {
  settings_.max_suspects = 4;
  settings_.max_answered = 8;
  part_suspect_table table(settings_);
  for (const int value : *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 10'000))) {
    const auto part = static_cast<part_id>(value);
    table.RecordAnswer(part_list{part + 1, part + 2}, At(value));
    table.RecordCrash(part, part, part_list{part}, At(value + 1));
    table.MergeReports(table.Reports(At(value)), At(value));
    RC_ASSERT(table.SuspectCount() <= settings_.max_suspects);
    RC_ASSERT(table.AnsweredCount() <= settings_.max_answered + settings_.max_suspects);
  }
  table.Expire(At(20'000) + settings_.refusal_time);
  table.Expire(At(20'000) + settings_.refusal_time * 2);
  RC_ASSERT(table.SuspectCount() == 0U);
}

}  // namespace
}  // namespace persimmon
