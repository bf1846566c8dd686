// Guards against work for silent or leaving members, and against a gone member that returns with the same incarnation.
#include "persimmon/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decision_support.h"

namespace persimmon {
namespace {

class membership_test : public testing::Test {
 protected:
  heartbeat_verdict Heartbeat(incarnation_number incarnation, std::int64_t now, bool leaving = false) {
    return table_.RecordHeartbeat("vm", incarnation, leaving, At(now));
  }
  void ApplyList(vm_state state, std::int64_t now = 0) {
    table_.ApplyVmList(std::vector{vm_entry{"vm", state}}, At(now));
  }
  work_eligibility CheckEligibility(std::int64_t now) const { return table_.CheckEligibility("vm", At(now)); }

  membership_table table_{membership_settings{}};
};

TEST_F(membership_test, CheckEligibility_WhenHeartbeatStops_EndsWorkAfterTheSilence) {
  EXPECT_EQ(CheckEligibility(0), work_eligibility::kUnknown);
  EXPECT_EQ(Heartbeat(1, 0), heartbeat_verdict::kNewMember);
  EXPECT_EQ(Heartbeat(1, 100), heartbeat_verdict::kKnown);
  EXPECT_EQ(table_.HeartbeatDeadline("vm"), At(1'100));
  EXPECT_EQ(CheckEligibility(1'100), work_eligibility::kCanReceive);
  EXPECT_EQ(CheckEligibility(1'101), work_eligibility::kSilent);
  Heartbeat(1, 1'200);
  EXPECT_EQ(CheckEligibility(1'200), work_eligibility::kCanReceive);
  table_.RecordChannelClosed("vm", 1);
  EXPECT_EQ(CheckEligibility(1'200), work_eligibility::kSilent);
}

// Guards against a delayed heartbeat that reverts a leaving member to live (guarantee G6 in docs/guarantees.md).
TEST_F(membership_test, CheckEligibility_WhenMemberIsLeaving_StaysSoForTheIncarnation) {
  Heartbeat(1, 0, true);
  Heartbeat(1, 10, false);
  EXPECT_EQ(CheckEligibility(10), work_eligibility::kLeaving);
  EXPECT_EQ(Heartbeat(2, 20), heartbeat_verdict::kNewIncarnation);
  EXPECT_EQ(CheckEligibility(20), work_eligibility::kCanReceive);
  EXPECT_EQ(Heartbeat(1, 30, true), heartbeat_verdict::kOldIncarnation);
  EXPECT_EQ(CheckEligibility(30), work_eligibility::kCanReceive);
  ApplyList(vm_state::kLeaving);
  EXPECT_EQ(CheckEligibility(30), work_eligibility::kLeaving);
}

// Guards against work for a paused process that resumes after its VM was declared gone.
TEST_F(membership_test, RecordHeartbeat_AfterGone_AcceptsOnlyNewerIncarnation) {
  Heartbeat(3, 0);
  ApplyList(vm_state::kGone);
  EXPECT_EQ(Heartbeat(3, 10), heartbeat_verdict::kGone);
  ApplyList(vm_state::kLive);  // the replacement VM has the same name
  EXPECT_EQ(Heartbeat(3, 20), heartbeat_verdict::kGone);
  EXPECT_EQ(Heartbeat(4, 30), heartbeat_verdict::kNewIncarnation);
  EXPECT_EQ(CheckEligibility(30), work_eligibility::kCanReceive);
}

// Guards against a lagging VM list that stops work for a new incarnation, and against an outage that empties the list.
TEST_F(membership_test, ApplyVmList_WhenListLags_KeepsTheNewIncarnation) {
  Heartbeat(3, 0);
  ApplyList(vm_state::kGone);
  Heartbeat(4, 30);
  ApplyList(vm_state::kGone);
  EXPECT_EQ(CheckEligibility(30), work_eligibility::kCanReceive);
  EXPECT_TRUE(table_.ApplyVmList({}, At(40)).empty());
  EXPECT_EQ(CheckEligibility(40), work_eligibility::kCanReceive);
}

TEST_F(membership_test, RecordHeartbeat_WhenGoneBeforeFirstHeartbeat_WaitsForTheList) {
  ApplyList(vm_state::kGone);
  EXPECT_EQ(Heartbeat(5, 10), heartbeat_verdict::kGone);
  ApplyList(vm_state::kLive);
  EXPECT_EQ(Heartbeat(5, 20), heartbeat_verdict::kNewMember);
  EXPECT_EQ(CheckEligibility(20), work_eligibility::kCanReceive);
  ApplyList(vm_state::kGone, 30);
  table_.ExpireMembers(At(600'031));
  EXPECT_EQ(table_.MemberCount(), 0U);
}

// Checks that no order of messages lowers an incarnation or gives work to a gone member.
RC_GTEST_FIXTURE_PROP(membership_test, Table_ForAnyMessages_NeverLowersAnIncarnation, ()) {
  incarnation_number highest = 0;
  incarnation_number gone = 0;
  vm_state listed = vm_state::kLive;
  const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
  std::int64_t now = 0;
  for (const int event : events) {
    now += 100;
    if (event < 5) {
      const auto incarnation = static_cast<incarnation_number>(event + 1);
      const auto verdict = Heartbeat(incarnation, now);
      const bool is_accepted = verdict != heartbeat_verdict::kOldIncarnation && verdict != heartbeat_verdict::kGone;
      RC_ASSERT(!is_accepted || incarnation >= highest);
      RC_ASSERT(!is_accepted || incarnation > gone);
      highest = is_accepted ? incarnation : highest;
    } else {
      const auto state = static_cast<vm_state>(event - 5);
      gone = state == vm_state::kGone && listed != state ? highest : gone;
      listed = state;
      ApplyList(state, now);
    }
    RC_ASSERT(highest == 0 || table_.CurrentIncarnation("vm") == highest);
    RC_ASSERT(!table_.CanReceiveWork("vm", At(now)) || highest > gone);
  }
}

}  // namespace
}  // namespace persimmon
