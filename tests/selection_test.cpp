// Guards against choices by stale load, subsets that reshuffle when one endpoint changes, and ejection of a whole pool.
#include "persimmon/selection.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iterator>
#include <set>

#include "decision_support.h"

namespace persimmon {
namespace {

class selection_test : public testing::Test {
 protected:
  static endpoint_view View(int number, const std::string& zone = "a") {
    endpoint_view view;
    view.name = Endpoint(number);
    view.zone = {zone};
    view.prefill_free = 1;
    view.decode_free = 10;
    view.decode_slots = 20;
    view.prefill_tokens_per_s = 10'000;
    return view;
  }

  static std::vector<subset_member> Members(int count) {
    std::vector<subset_member> members;
    for (int i = 0; i < count; ++i) {
      members.push_back({Endpoint(i), {"zone-" + std::to_string(i % 3)}});
    }
    return members;
  }

  selection_settings settings_;
};

// Guards against a load that ignores changes since the report, or counts a dispatch that the report already includes.
TEST_F(selection_test, CorrectLoad_BetweenReports_AddsOwnDispatchesAndSubtractsFinishedWork) {
  auto view = View(1);
  view.prefill_free = 0;
  view.queued_tokens = 5'000;
  view.report_age = milliseconds(200);
  EXPECT_EQ(CorrectLoad(view, settings_).prefill_wait, milliseconds(300));
  view.dispatched_prefills = 1;
  view.dispatched_prompt_tokens = 1'000;
  EXPECT_EQ(CorrectLoad(view, settings_).prefill_wait, milliseconds(400));
  view.dispatched_decodes = 10;
  EXPECT_EQ(CorrectLoad(view, settings_).decode_free, 0U);
  view.report_age = milliseconds(5'000);
  EXPECT_EQ(CorrectLoad(view, settings_).decode_free, 0U);
}

TEST_F(selection_test, DispatchLog_WhenReportArrives_DropsOnlyDispatchesThatItIncludes) {
  dispatch_log log;
  log.RecordPrefill(Endpoint(1), 700, At(0));
  log.RecordPrefill(Endpoint(1), 300, At(10));
  log.RecordDecode(Endpoint(1), At(10));
  log.RecordReport(Endpoint(1), At(5), milliseconds(5));
  EXPECT_EQ(log.DispatchedSinceReport(Endpoint(1)), (dispatch_log::totals{300, 1, 1}));
  log.RecordReport(Endpoint(1), At(14), milliseconds(5));  // the dispatch at 10 arrives at 15
  EXPECT_EQ(log.DispatchedSinceReport(Endpoint(1)), (dispatch_log::totals{300, 1, 1}));
  log.RecordReport(Endpoint(1), At(15), milliseconds(5));
  EXPECT_EQ(log.DispatchedSinceReport(Endpoint(1)), dispatch_log::totals{});
}

// Guards against sending all requests of a reporting interval to the endpoint that was free in the last report.
TEST_F(selection_test, ChoosePrefill_AfterOwnDispatch_GoesElsewhere) {
  std::vector views{View(1), View(2)};
  const auto first = ChoosePrefill(views, {1'000, {}, 7}, settings_);
  ASSERT_TRUE(first);
  views[first->index].dispatched_prefills = 1;
  views[first->index].dispatched_prompt_tokens = 1'000;
  const auto second = ChoosePrefill(views, {1'000, {}, 7}, settings_);
  ASSERT_TRUE(second);
  EXPECT_NE(first->index, second->index);
}

// Guards against a cached prefix that is ignored, and against one that outweighs a long queue.
TEST_F(selection_test, ChoosePrefill_WhenPrefixIsCached_WeighsItAgainstTheQueue) {
  std::vector views{View(1), View(2)};
  views[1].cached_tokens = 4'096;
  EXPECT_EQ(ChoosePrefill(views, {6'000, {}, 1}, settings_)->index, 1U);
  EXPECT_EQ(ChoosePrefill(views, {6'000, {}, 1}, settings_)->uncached_tokens, 1'904U);
  views[1].prefill_free = 0;
  views[1].queued_tokens = 5'000;
  EXPECT_EQ(ChoosePrefill(views, {6'000, {}, 1}, settings_)->index, 0U);
  views[0].can_receive = false;
  views[1].can_receive = false;
  EXPECT_FALSE(ChoosePrefill(views, {6'000, {}, 1}, settings_));
}

// Guards against a prefill that starts although no decode slot will be free when it ends.
TEST_F(selection_test, ChooseDecode_WhenNoSlotIsFreeInTime_ChoosesNone) {
  std::vector views{View(1), View(2, "b")};
  views[0].decode_free = 0;
  views[0].decode_free_in = milliseconds(500);
  views[1].decode_free = 0;
  views[1].decode_free_in = milliseconds(400);
  EXPECT_FALSE(ChooseDecode(views, {milliseconds(300), {"a"}, 1}, settings_));
  EXPECT_EQ(ChooseDecode(views, {milliseconds(360), {"a"}, 1}, settings_)->index, 1U);
  views[1].dispatched_decodes = 1;
  EXPECT_FALSE(ChooseDecode(views, {milliseconds(360), {"a"}, 1}, settings_));
}

TEST_F(selection_test, ChooseDecode_AmongFreeEndpoints_PrefersZoneThenLoad) {
  std::vector views{View(1), View(2, "b")};
  EXPECT_EQ(ChooseDecode(views, {milliseconds(0), {"b"}, 1}, settings_)->index, 1U);
  views[1].decode_free = 1;
  EXPECT_EQ(ChooseDecode(views, {milliseconds(0), {"b"}, 1}, settings_)->index, 0U);
}

TEST_F(selection_test, ChooseService_AmongEndpoints_TakesTheLeastBusyThenTheZone) {
  std::vector views{View(1), View(2, "b"), View(3)};
  EXPECT_EQ(ChooseService(views, {{"b"}, 1}, settings_), 1U);
  views[1].calls_in_progress = 1;
  views[0].queued_tokens = 1;
  EXPECT_EQ(ChooseService(views, {{"b"}, 1}, settings_), 2U);
}

// Guards against a readmitted endpoint that immediately gets its full traffic, or none.
TEST_F(selection_test, ChooseService_WhenEndpointIsReadmitted_GetsItsShare) {
  std::vector views{View(1), View(2)};
  views[0].calls_in_progress = 5;  // the readmitted one is the least loaded
  views[1].health_share = 0.10;
  int chosen = 0;
  for (std::uint64_t draw = 0; draw < 2'000; ++draw) {
    chosen += ChooseService(views, {{}, draw}, settings_) == 1U ? 1 : 0;
  }
  EXPECT_NEAR(chosen, 200, 50);
  views[0].can_receive = false;
  EXPECT_EQ(ChooseService(views, {{}, 1}, settings_), 1U);  // the only remaining one
}

// Guards against subsets that reshuffle: removing one endpoint changes at most one other member, and every zone stays
// covered.
RC_GTEST_FIXTURE_PROP(selection_test, PickSubset_WhenOneEndpointIsRemoved_ChangesAtMostOneOtherMember, ()) {
  auto members = Members(*rc::gen::inRange(1, 60));
  const auto size = *rc::gen::inRange<std::size_t>(1, 30);
  const router_name router = Router(*rc::gen::inRange(0, 1'000));
  const auto before = PickSubset(router, members, size);
  std::set<zone_name> zones;
  std::set<zone_name> picked_zones;
  for (const auto& member : members) {
    zones.insert(member.zone);
    if (std::binary_search(before.begin(), before.end(), member.name)) {
      picked_zones.insert(member.zone);
    }
  }
  RC_ASSERT(picked_zones == zones);
  RC_ASSERT(before.size() == std::min(members.size(), std::max(size, zones.size())));
  const auto removed = members.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(members));
  const endpoint_name name = removed->name;
  members.erase(removed);
  const auto after = PickSubset(router, members, size);
  std::vector<endpoint_name> lost;
  std::vector<endpoint_name> gained;
  std::set_difference(before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(lost));
  std::set_difference(after.begin(), after.end(), before.begin(), before.end(), std::back_inserter(gained));
  RC_ASSERT(lost.size() <= 1U);
  RC_ASSERT(std::count(lost.begin(), lost.end(), name) == std::ssize(lost));
  RC_ASSERT(gained.size() <= lost.size());
}

// Guards against endpoints that only few routers connect to.
TEST_F(selection_test, PickSubset_OverManyRouters_SpreadsEvenly) {
  const auto members = Members(60);
  std::map<endpoint_name, int> router_counts;
  for (int router = 0; router < 370; ++router) {
    for (const auto& name : PickSubset(Router(router), members, 12)) {
      router_counts[name] += 1;
    }
  }
  for (const auto& [name, count] : router_counts) {  // 74 on average
    EXPECT_GT(count, 45) << name.value;
    EXPECT_LT(count, 110) << name.value;
  }
  EXPECT_EQ(router_counts.size(), 60U);
}

class health_table_test : public selection_test {
 protected:
  void SetEndpointCount(int count) {
    std::vector<endpoint_name> names;
    for (int i = 0; i < count; ++i) {
      names.push_back(Endpoint(i));
    }
    table_.SetEndpoints(names);
  }
  void Answer(int number, double latency_ratio, std::int64_t now) {
    for (int i = 0; i < 8; ++i) {
      table_.RecordAnswer(Endpoint(number), latency_ratio, At(now));
    }
  }
  health_table table_{health_settings{}};
};

// Guards against a slow endpoint that keeps its traffic, and against readmission in one step.
TEST_F(health_table_test, UpdateHealth_WhenEndpointIsSlow_EjectsAndReadmitsInSteps) {
  SetEndpointCount(3);
  Answer(0, 1.0, 0);
  Answer(1, 1.2, 0);
  Answer(2, 4.0, 0);
  EXPECT_EQ(table_.UpdateHealth(At(0)), (std::vector{health_change{Endpoint(2), health_phase::kEjected, 0.0}}));
  std::vector<double> shares;
  for (std::int64_t now = 0; now <= 20'000; now += 500) {
    for (const auto& change : table_.UpdateHealth(At(now))) {
      shares.push_back(change.share);
    }
  }
  EXPECT_EQ(shares, (std::vector{0.10, 0.25, 0.50, 1.0}));
}

TEST_F(health_table_test, UpdateHealth_WhenReadmittedEndpointFails_EjectsItForLonger) {
  SetEndpointCount(3);
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(table_.UpdateHealth(At(0)).empty());
    table_.RecordFailure(Endpoint(0), At(0));
  }
  EXPECT_EQ(table_.UpdateHealth(At(0)).size(), 1U);
  EXPECT_EQ(table_.UpdateHealth(At(5'000)).front().share, 0.10);
  table_.RecordFailure(Endpoint(0), At(5'100));
  EXPECT_EQ(table_.UpdateHealth(At(5'100)).front().share, 0.0);
  EXPECT_TRUE(table_.UpdateHealth(At(14'000)).empty());
  EXPECT_EQ(table_.UpdateHealth(At(15'100)).front().share, 0.10);
}

// Guards against ejecting an endpoint as slow when all are slow, for example because of long prompts.
TEST_F(health_table_test, UpdateHealth_WhenAllAreSlow_EjectsNone) {
  SetEndpointCount(4);
  for (int i = 0; i < 4; ++i) {
    Answer(i, 5.0 + i, 0);
  }
  EXPECT_TRUE(table_.UpdateHealth(At(0)).empty());
}

// Guards against ejecting a whole pool: whatever fails, most of the capacity remains.
RC_GTEST_FIXTURE_PROP(health_table_test, UpdateHealth_ForAnyFailures_KeepsMostOfThePool, ()) {
  const int count = *rc::gen::inRange(1, 20);
  SetEndpointCount(count);
  const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2 * count));
  std::int64_t now = 0;
  for (const int event : events) {
    if (event < count) {
      for (int i = 0; i < 3; ++i) {
        table_.RecordFailure(Endpoint(event), At(now));
      }
    } else {
      Answer(event - count, 9.0, now);
    }
    table_.UpdateHealth(At(now += 700));
    double lost = 0;
    for (int i = 0; i < count; ++i) {
      lost += 1 - table_.HealthShare(Endpoint(i));
    }
    RC_ASSERT(lost <= (count == 1 ? 0.0 : std::max(1.0, count * 0.34)) + 1e-9);
  }
}

}  // namespace
}  // namespace persimmon
