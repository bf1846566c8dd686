// Guards against a request that crashes one endpoint after another, and against refusing requests that merely ran on
// the same endpoint.
#include "persimmon/suspects.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "decision_support.h"

namespace persimmon {
namespace {

class suspects_test : public testing::Test {
 protected:
  static constexpr fingerprint_number kCrashing = 1;
  static constexpr fingerprint_number kHarmless = 2;

  suspect_verdict Check(const suspect_table& table, fingerprint_number fingerprint, std::int64_t now) const {
    return table.CheckSuspect(fingerprint, At(now)).verdict;
  }

  suspect_settings settings_;
  suspect_table table_{settings_};
  suspect_table peer_{settings_};
};

// Guards against a request that crashes more than two endpoints, and against a permanent refusal.
TEST_F(suspects_test, CheckSuspect_AfterTwoCrashes_RefusesForTheRetentionTime) {
  EXPECT_EQ(Check(table_, kCrashing, 0), suspect_verdict::kClear);
  table_.RecordStart(kCrashing, Endpoint(1));
  EXPECT_EQ(table_.RecordCrash(Endpoint(1), At(0)), std::vector{kCrashing});
  EXPECT_EQ(Check(table_, kCrashing, 10), suspect_verdict::kSuspect);
  table_.RecordStart(kCrashing, Endpoint(2));
  EXPECT_EQ(Check(table_, kCrashing, 20), suspect_verdict::kWait);  // a second copy could crash a third endpoint
  table_.RecordCrash(Endpoint(2), At(30));
  EXPECT_EQ(table_.CheckSuspect(kCrashing, At(1'030)),
            (suspect_check{suspect_verdict::kRefused, milliseconds(599'000)}));
  EXPECT_EQ(Check(table_, kCrashing, 600'031), suspect_verdict::kClear);
  table_.ExpireSuspects(At(600'031));
  EXPECT_EQ(table_.SuspectCount(), 0U);
}

// Guards against requests that remain suspects although they have finished on another endpoint.
TEST_F(suspects_test, RecordEnd_WhenSuspectFinishesElsewhere_ClearsItOnAllRouters) {
  table_.RecordStart(kCrashing, Endpoint(1));
  table_.RecordStart(kHarmless, Endpoint(1));
  table_.RecordCrash(Endpoint(1), At(0));
  peer_.MergeCrashReports("router-1#1", table_.OwnCrashReports(At(10)), At(10));
  EXPECT_EQ(Check(peer_, kHarmless, 10), suspect_verdict::kSuspect);
  table_.RecordStart(kHarmless, Endpoint(2));
  table_.RecordEnd(kHarmless, Endpoint(2), false, At(15));  // cancelled: does not clear it
  EXPECT_EQ(Check(table_, kHarmless, 15), suspect_verdict::kSuspect);
  const auto before = table_.OwnCrashReports(At(15));
  table_.RecordStart(kHarmless, Endpoint(2));
  table_.RecordEnd(kHarmless, Endpoint(2), true, At(20));
  EXPECT_EQ(Check(table_, kHarmless, 20), suspect_verdict::kClear);
  EXPECT_EQ(Check(table_, kCrashing, 20), suspect_verdict::kSuspect);
  peer_.MergeCrashReports("router-1#1", table_.OwnCrashReports(At(30)), At(30));
  EXPECT_EQ(Check(peer_, kHarmless, 30), suspect_verdict::kClear);
  peer_.MergeCrashReports("router-2#1", std::vector{crash_report{kHarmless, 1, milliseconds(40)}},
                          At(40));  // the crash was at time 0
  EXPECT_EQ(Check(peer_, kHarmless, 40), suspect_verdict::kClear);
  EXPECT_EQ(before.size(), 2U);
}

// Guards against counting repeated reports twice, and against counting crashes observed by two routers only once.
TEST_F(suspects_test, MergeCrashReports_FromTwoRouters_AddsTheirCrashesOnce) {
  const std::vector reports{crash_report{kCrashing, 1, milliseconds(5)}};
  peer_.MergeCrashReports("router-1#1", reports, At(10));
  peer_.MergeCrashReports("router-1#1", reports, At(20));
  EXPECT_EQ(Check(peer_, kCrashing, 20), suspect_verdict::kSuspect);
  peer_.MergeCrashReports("router-2#1", reports, At(30));
  EXPECT_EQ(Check(peer_, kCrashing, 30), suspect_verdict::kRefused);
  EXPECT_TRUE(peer_.OwnCrashReports(At(30)).empty());
  const std::vector old{crash_report{kHarmless, 2, milliseconds(600'001)}};
  peer_.MergeCrashReports("router-1#1", old, At(700'000));
  EXPECT_EQ(Check(peer_, kHarmless, 700'000), suspect_verdict::kClear);
}

TEST_F(suspects_test, Table_WhenManyCrash_StaysBounded) {
  settings_.max_suspects = 10;
  settings_.max_reports = 4;
  suspect_table table(settings_);
  for (fingerprint_number i = 0; i < 50; ++i) {
    table.RecordStart(i, Endpoint(1));
    table.RecordCrash(Endpoint(1), At(static_cast<std::int64_t>(i)));
  }
  EXPECT_EQ(table.SuspectCount(), 10U);
  EXPECT_EQ(table.RunningCount(), 0U);
  const auto reports = table.OwnCrashReports(At(60));
  ASSERT_EQ(reports.size(), 4U);
  EXPECT_EQ(reports.front().fingerprint, 49U);  // the newest
  EXPECT_EQ(Check(table, 0, 60), suspect_verdict::kClear);
}

// At most two endpoints are lost: a crashing request is resent through either router, together with random other
// requests, and the routers exchange reports after every step. All other requests can still run.
RC_GTEST_FIXTURE_PROP(suspects_test, Table_ForAnyResends_LosesAtMostTwoEndpoints, ()) {
  suspect_table routers[] = {suspect_table(settings_), suspect_table(settings_)};
  std::set<endpoint_name> lost;
  std::int64_t now = 0;
  int next_endpoint = 0;
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 32));
  for (const int step : steps) {
    now += 100;
    suspect_table& router = routers[step % 2];
    const endpoint_name endpoint = Endpoint(next_endpoint);
    const fingerprint_number neighbor = 10 + static_cast<fingerprint_number>(step / 4);
    const bool neighbor_is_suspect = Check(router, neighbor, now) != suspect_verdict::kClear;
    const auto verdict = Check(router, kCrashing, now);
    const bool crashing_runs = verdict == suspect_verdict::kClear || verdict == suspect_verdict::kSuspect;
    // The agent runs one suspect at a time, so a neighbor that is a suspect runs alone and finishes.
    if (step % 4 >= 2 && neighbor_is_suspect) {
      RC_ASSERT(Check(router, neighbor, now) == suspect_verdict::kSuspect);
      router.RecordStart(neighbor, endpoint);
      router.RecordEnd(neighbor, endpoint, true, At(now));
    } else if (crashing_runs) {
      router.RecordStart(kCrashing, endpoint);
      if (!neighbor_is_suspect) {
        router.RecordStart(neighbor, endpoint);
      }
      router.RecordCrash(endpoint, At(now));
      lost.insert(endpoint);
      ++next_endpoint;
    }
    routers[1].MergeCrashReports("a#1", routers[0].OwnCrashReports(At(now + 1)), At(now + 1));
    routers[0].MergeCrashReports("b#1", routers[1].OwnCrashReports(At(now + 1)), At(now + 1));
    RC_ASSERT(lost.size() <= 2U);
  }
}

// Guards against a crash that stops the router, because removing many suspects takes quadratic time. 0.5 s is the time
// in which a request must be answered after its time-out, on 0.19 cores.
TEST(suspect_table_test, RecordCrash_WithManyRunningRequests_EndsWithinMilliseconds) {
  constexpr fingerprint_number kRequests = 30'000;
  suspect_table table{suspect_settings{}};
  for (fingerprint_number request = 1; request <= kRequests; ++request) {
    table.RecordStart(request, endpoint_name{"one"});
  }
  const auto begin = std::chrono::steady_clock::now();
  EXPECT_EQ(table.RecordCrash(endpoint_name{"one"}, time_point(std::chrono::hours(1))).size(), kRequests);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(95));
  EXPECT_EQ(table.SuspectCount(), suspect_settings{}.max_suspects);
  EXPECT_EQ(table.RunningCount(), 0U);
}

// The limit drops the suspects with the oldest crashes.
TEST(suspect_table_test, RecordCrash_BeyondTheLimit_KeepsTheNewestSuspects) {
  suspect_table table{suspect_settings{.max_suspects = 2}};
  time_point now{std::chrono::hours(1)};
  for (fingerprint_number request = 1; request <= 5; ++request) {
    table.RecordStart(request, endpoint_name{"one"});
    now += milliseconds(1);
    (void)table.RecordCrash(endpoint_name{"one"}, now);
  }
  EXPECT_EQ(table.SuspectCount(), 2U);
  EXPECT_EQ(table.CheckSuspect(3, now).verdict, suspect_verdict::kClear);
  EXPECT_EQ(table.CheckSuspect(4, now).verdict, suspect_verdict::kSuspect);
  EXPECT_EQ(table.CheckSuspect(5, now).verdict, suspect_verdict::kSuspect);
}

}  // namespace
}  // namespace persimmon
