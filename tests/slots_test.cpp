// Guards against slots that are granted twice, reserved but never used, or granted to a less urgent request.
#include "persimmon/slots.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace persimmon {
namespace {

const router_identity kRouterA{router_name{"router-a"}, 1};
const router_identity kRouterB{router_name{"router-b"}, 1};

slot_settings SmallSettings() {
  slot_settings settings;
  settings.decode_slots = 2;
  return settings;
}

class slot_table_test : public testing::Test {
 protected:
  slot_table_test() {
    engine_speed speed;
    speed.prefill_tokens_per_s = 1'000;
    speed.token_interval = milliseconds(10);
    table_.SetSpeed(speed);
  }

  slot_request Prefill(const std::string& attempt, milliseconds latest_start = milliseconds(100),
                       const router_identity& router = kRouterA) const {
    slot_request request;
    request.attempt = attempt_id{attempt};
    request.kind = slot_kind::kPrefill;
    request.router = router;
    request.start = now_;
    request.hold = milliseconds(50);
    request.latest_start = now_ + latest_start;
    request.prompt_tokens = 500;  // 500 ms
    return request;
  }

  slot_request Decode(const std::string& attempt, milliseconds start = milliseconds(0),
                      milliseconds latest_start = milliseconds(100), const router_identity& router = kRouterA) const {
    slot_request request = Prefill(attempt, latest_start, router);
    request.kind = slot_kind::kDecode;
    request.start = now_ + start;
    request.output_tokens = 100;  // 1 s
    return request;
  }

  slot_verdict Reserve(const slot_request& request) {
    const auto decision = table_.ReserveSlot(request, now_);
    EXPECT_TRUE(decision.has_value()) << "the request was kept as a bid";
    return decision ? decision->verdict : slot_verdict::kBusy;
  }

  start_verdict Start(const std::string& attempt, milliseconds lead = milliseconds(0)) {
    return table_.StartSlot(attempt_id{attempt}, lead, now_);
  }

  // Advances the time past the bid window of an open prefill slot.
  void OpenPrefill() {
    table_.TakeOpenings(now_);
    now_ += SmallSettings().bid_window;
  }

  void RunPrefill(const std::string& attempt) {
    OpenPrefill();
    ASSERT_EQ(Reserve(Prefill(attempt)), slot_verdict::kGranted);
    ASSERT_EQ(Start(attempt), start_verdict::kStarted);
  }

  void RunDecode(const std::string& attempt, const router_identity& router = kRouterA) {
    ASSERT_EQ(Reserve(Decode(attempt, milliseconds(0), milliseconds(100), router)), slot_verdict::kGranted);
    ASSERT_EQ(Start(attempt), start_verdict::kStarted);
  }

  std::string GrantedOf(const std::vector<slot_decision>& decisions) {
    std::string granted;
    for (const slot_decision& decision : decisions) {
      granted += decision.verdict == slot_verdict::kGranted ? decision.request.attempt.value : "";
    }
    return granted;
  }

  slot_table table_{SmallSettings()};
  time_point now_ = time_point() + std::chrono::hours(1);
};

// ---------------------------------------------------------------------------------------------------------------------
// 1. prefill
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(slot_table_test, ReserveSlot_WithinWindow_GoesToTheEarliestLatestStart) {
  table_.TakeOpenings(now_);
  EXPECT_FALSE(table_.ReserveSlot(Prefill("a", milliseconds(300)), now_));
  EXPECT_FALSE(table_.ReserveSlot(Prefill("b", milliseconds(100)), now_));
  EXPECT_FALSE(table_.ReserveSlot(Prefill("c", milliseconds(200)), now_));
  EXPECT_TRUE(table_.DecideBids(now_).empty());
  EXPECT_EQ(table_.NextDue(now_), now_ + SmallSettings().bid_window);
  now_ += SmallSettings().bid_window;
  const auto decisions = table_.DecideBids(now_);
  EXPECT_EQ(decisions.size(), 3U);
  EXPECT_EQ(GrantedOf(decisions), "b");
}

TEST_F(slot_table_test, ReserveSlot_AfterTheWindow_IsGrantedAtOnce) {
  OpenPrefill();
  EXPECT_EQ(Reserve(Prefill("a")), slot_verdict::kGranted);
  EXPECT_EQ(Reserve(Prefill("b")), slot_verdict::kBusy);
}

TEST_F(slot_table_test, ReserveSlot_AfterTheWindowButBeforeTheDecision_DoesNotOvertake) {
  table_.TakeOpenings(now_);
  EXPECT_FALSE(table_.ReserveSlot(Prefill("a", milliseconds(10)), now_));
  now_ += SmallSettings().bid_window;
  EXPECT_FALSE(table_.ReserveSlot(Prefill("late", milliseconds(50)), now_));
  EXPECT_EQ(GrantedOf(table_.DecideBids(now_)), "a");
}

TEST_F(slot_table_test, Prefill_NearItsEnd_OpensTheNextSlotOnce) {
  RunPrefill("a");
  now_ += milliseconds(470);
  EXPECT_TRUE(table_.TakeOpenings(now_).empty());
  now_ += milliseconds(15);  // 15 ms before the predicted end, within the lookahead
  const auto openings = table_.TakeOpenings(now_);
  ASSERT_EQ(openings.size(), 1U);
  EXPECT_EQ(openings[0].kind, slot_kind::kPrefill);
  EXPECT_EQ(openings[0].start_in, milliseconds(15));
  EXPECT_TRUE(table_.TakeOpenings(now_).empty());
  now_ += SmallSettings().bid_window;
  EXPECT_EQ(Reserve(Prefill("b")), slot_verdict::kGranted);
  EXPECT_EQ(Reserve(Prefill("c")), slot_verdict::kBusy);
  // The first prefill has not ended, so the second one waits.
  EXPECT_EQ(Start("b"), start_verdict::kWaiting);
  EXPECT_TRUE(table_.TakeDueStarts(now_).empty());
  table_.ReleaseSlot(attempt_id{"a"});
  EXPECT_EQ(table_.TakeDueStarts(now_), std::vector<attempt_id>{attempt_id{"b"}});
}

TEST_F(slot_table_test, UpdateProgress_OfFasterPrefill_OpensEarlier) {
  RunPrefill("a");
  now_ += milliseconds(100);
  table_.UpdateProgress(attempt_id{"a"}, 490, now_);
  EXPECT_EQ(table_.TakeOpenings(now_).size(), 1U);
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. decode
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(slot_table_test, ReserveSlot_ForAFutureStart_UsesPredictedEnds) {
  RunDecode("a");
  RunDecode("b");
  EXPECT_EQ(Reserve(Decode("early", milliseconds(900))), slot_verdict::kBusy);
  now_ += SmallSettings().bid_window;
  table_.ReserveSlot(Decode("fitting", milliseconds(1'000)), now_);
  now_ += SmallSettings().bid_window;
  EXPECT_EQ(GrantedOf(table_.DecideBids(now_)), "fitting");
}

TEST_F(slot_table_test, ReserveSlot_WhileContended_GoesToTheEarliestLatestStart) {
  table_.TakeOpenings(now_);  // consumes the opening of the prefill slot
  RunDecode("a");
  RunDecode("b");
  EXPECT_EQ(Reserve(Decode("refused")), slot_verdict::kBusy);
  table_.ReleaseSlot(attempt_id{"a"});
  const auto openings = table_.TakeOpenings(now_);
  ASSERT_EQ(openings.size(), 1U);
  EXPECT_EQ(openings[0].kind, slot_kind::kDecode);
  EXPECT_FALSE(table_.ReserveSlot(Decode("later", milliseconds(0), milliseconds(200)), now_));
  EXPECT_FALSE(table_.ReserveSlot(Decode("urgent", milliseconds(0), milliseconds(50)), now_));
  now_ += SmallSettings().bid_window;
  EXPECT_EQ(GrantedOf(table_.DecideBids(now_)), "urgent");
}

TEST_F(slot_table_test, StartSlot_BeforeItsStart_DoesNotUseTheSlotOfAnEarlierReservation) {
  RunDecode("a");
  ASSERT_EQ(Reserve(Decode("soon", milliseconds(50))), slot_verdict::kGranted);
  now_ += milliseconds(10);
  // "a" is predicted to have ended by then: it has 100 tokens.
  ASSERT_EQ(Reserve(Decode("later", milliseconds(1'000))), slot_verdict::kGranted);
  EXPECT_EQ(Start("later", milliseconds(2'000)), start_verdict::kWaiting);
  now_ += milliseconds(40);
  EXPECT_EQ(Start("soon"), start_verdict::kStarted);
}

TEST_F(slot_table_test, StartSlot_WhileFewSlotsAreFree_StartsAtMostTheLeadEarly) {
  RunDecode("a");
  ASSERT_EQ(Reserve(Decode("b", milliseconds(500))), slot_verdict::kGranted);
  EXPECT_EQ(Start("b", milliseconds(100)), start_verdict::kWaiting);
  now_ += milliseconds(399);
  EXPECT_TRUE(table_.TakeDueStarts(now_).empty());
  now_ += milliseconds(1);
  EXPECT_EQ(table_.TakeDueStarts(now_), std::vector<attempt_id>{attempt_id{"b"}});
}

TEST_F(slot_table_test, StartSlot_WhileManySlotsAreFree_StartsAtOnce) {
  table_.SetSlots(1, 8);
  ASSERT_EQ(Reserve(Decode("a", milliseconds(500))), slot_verdict::kGranted);
  EXPECT_EQ(Start("a"), start_verdict::kStarted);
}

TEST_F(slot_table_test, ExpireReservations_AfterTheHold_FreesTheSlot) {
  ASSERT_EQ(Reserve(Decode("a", milliseconds(100))), slot_verdict::kGranted);
  now_ += milliseconds(150);
  EXPECT_TRUE(table_.ExpireReservations(now_).empty());
  now_ += milliseconds(1);
  EXPECT_EQ(table_.ExpireReservations(now_), std::vector<attempt_id>{attempt_id{"a"}});
  EXPECT_EQ(Start("a"), start_verdict::kUnknown);
  EXPECT_EQ(table_.CountFree(slot_kind::kDecode), 2U);
}

TEST_F(slot_table_test, StartUnreserved_WhenFull_WaitsInOrderOfArrival) {
  RunDecode("a");
  RunDecode("b");
  EXPECT_EQ(table_.StartUnreserved(Decode("first"), now_), start_verdict::kWaiting);
  now_ += milliseconds(1);
  EXPECT_EQ(table_.StartUnreserved(Decode("next"), now_), start_verdict::kWaiting);
  table_.ReleaseSlot(attempt_id{"a"});
  EXPECT_EQ(table_.TakeDueStarts(now_), std::vector<attempt_id>{attempt_id{"first"}});
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. refusals
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(slot_table_test, ReserveSlot_WhenLeaving_IsRefusedButGrantedSlotsStart) {
  ASSERT_EQ(Reserve(Decode("granted")), slot_verdict::kGranted);
  table_.TakeOpenings(now_);
  EXPECT_FALSE(table_.ReserveSlot(Prefill("bid"), now_));
  table_.SetLeaving(true);
  EXPECT_EQ(Reserve(Decode("new")), slot_verdict::kLeaving);
  now_ += SmallSettings().bid_window;
  const auto decisions = table_.DecideBids(now_);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].verdict, slot_verdict::kLeaving);
  EXPECT_TRUE(table_.TakeOpenings(now_).empty());
  EXPECT_EQ(Start("granted"), start_verdict::kStarted);
}

TEST_F(slot_table_test, ReserveSlot_OfAClosedKind_IsRefusedButGrantedSlotsStart) {
  ASSERT_EQ(Reserve(Decode("granted")), slot_verdict::kGranted);
  table_.SetOpen(slot_kind::kDecode, false);
  EXPECT_EQ(Reserve(Decode("new")), slot_verdict::kWrongRole);
  EXPECT_EQ(Start("granted"), start_verdict::kStarted);
}

TEST_F(slot_table_test, ReserveSlot_OfASecondSuspect_IsRefused) {
  slot_request first = Decode("a");
  first.suspect = true;
  slot_request second = Decode("b");
  second.suspect = true;
  EXPECT_EQ(Reserve(first), slot_verdict::kGranted);
  EXPECT_EQ(Reserve(second), slot_verdict::kSuspectRunning);
  EXPECT_EQ(Reserve(Decode("other")), slot_verdict::kGranted);
  table_.ReleaseSlot(first.attempt);
  EXPECT_EQ(Reserve(second), slot_verdict::kGranted);
}

TEST_F(slot_table_test, ReserveSlot_OfAnAttemptWithASlot_IsRefused) {
  EXPECT_EQ(Reserve(Decode("a")), slot_verdict::kGranted);
  EXPECT_EQ(Reserve(Decode("a")), slot_verdict::kDuplicate);
}

TEST_F(slot_table_test, DropRouter_OfASilentRouter_FreesBidsAndReservations) {
  RunDecode("running", kRouterA);
  ASSERT_EQ(Reserve(Decode("reserved", milliseconds(0), milliseconds(0), kRouterA)), slot_verdict::kGranted);
  table_.TakeOpenings(now_);
  EXPECT_FALSE(table_.ReserveSlot(Prefill("bid", milliseconds(1), kRouterA), now_));
  EXPECT_EQ(Reserve(Decode("b1", milliseconds(0), milliseconds(0), kRouterB)), slot_verdict::kBusy);
  EXPECT_EQ(table_.DropRouter(kRouterA).size(), 3U);
  // The engine holds the memory of the running attempt until it confirms the cancel.
  EXPECT_EQ(table_.CountEntries(slot_kind::kDecode), 1U);
  EXPECT_EQ(table_.CountRunning(slot_kind::kDecode), 1U);
  table_.ReleaseSlot(attempt_id{"running"});
  EXPECT_TRUE(table_.IsEmpty());
  now_ += SmallSettings().bid_window;
  EXPECT_TRUE(table_.DecideBids(now_).empty());
  table_.ReserveSlot(Decode("b2", milliseconds(0), milliseconds(0), kRouterB), now_);
  table_.ReserveSlot(Decode("b3", milliseconds(0), milliseconds(1), kRouterB), now_);
  now_ += SmallSettings().bid_window;
  EXPECT_EQ(GrantedOf(table_.DecideBids(now_)), "b2b3");
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. properties
// ---------------------------------------------------------------------------------------------------------------------

RC_GTEST_PROP(slot_table_property, BidsWithinTheWindow_TheEarliestLatestStartWins, ()) {
  const auto latest = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(-500, 500)));
  slot_table table{slot_settings()};
  time_point now = time_point() + std::chrono::hours(1);
  table.TakeOpenings(now);
  for (std::size_t i = 0; i < latest.size(); ++i) {
    slot_request request;
    request.attempt = attempt_id{std::to_string(i)};
    request.router = i % 2 == 0 ? kRouterA : kRouterB;
    request.latest_start = now + milliseconds(latest[i]);
    request.prompt_tokens = 100;
    RC_ASSERT(!table.ReserveSlot(request, now));
  }
  now += slot_settings().bid_window;
  const auto decisions = table.DecideBids(now);
  RC_ASSERT(decisions.size() == latest.size());
  std::size_t granted = 0;
  for (const slot_decision& decision : decisions) {
    if (decision.verdict == slot_verdict::kGranted) {
      ++granted;
      RC_ASSERT(latest[std::stoul(decision.request.attempt.value)] == *std::min_element(latest.begin(), latest.end()));
    }
  }
  RC_ASSERT(granted == 1U);
}

// Random sequence of messages, timers and lost routers. Invariants checked after every step: no more slots are in use
// than exist, at most one suspect holds a slot, nothing is granted while leaving, and a dropped router has no
// reservations.
class slot_table_run {
 public:
  slot_table_run() : table_(SmallSettings()) {}

  void Step() {
    now_ += milliseconds(*rc::gen::inRange(0, 40));
    // Losses are rare and most messages refer to recent attempts, so that the table is often full.
    const int operation = *rc::gen::inRange(0, 100);
    if (operation < 30) {
      Reserve();
    } else if (operation < 60) {
      table_.StartSlot(RecentAttempt(), milliseconds(*rc::gen::inRange(0, 1'500)), now_);
    } else if (operation < 65) {
      table_.ReleaseSlot(RecentAttempt());
    } else if (operation < 70) {
      table_.UpdateProgress(RecentAttempt(), *rc::gen::inRange<std::uint32_t>(0, 300), now_);
    } else if (operation < 72) {
      Drop(*rc::gen::arbitrary<bool>() ? kRouterA : kRouterB);
    } else if (operation < 76) {
      leaving_ = *rc::gen::inRange(0, 4) == 0;
      table_.SetLeaving(leaving_);
    } else {
      RunTimers();
    }
    Check();
  }

 private:
  attempt_id RecentAttempt() const { return attempt_id{std::to_string(last_attempt_ - *rc::gen::inRange(0, 6))}; }

  void Reserve() {
    slot_request request;
    request.attempt = attempt_id{std::to_string(++last_attempt_)};
    request.kind = *rc::gen::arbitrary<bool>() ? slot_kind::kPrefill : slot_kind::kDecode;
    request.router = *rc::gen::arbitrary<bool>() ? kRouterA : kRouterB;
    request.start = now_ + milliseconds(*rc::gen::inRange(0, 1'000));
    request.hold = milliseconds(*rc::gen::inRange(0, 200));
    request.latest_start = now_ + milliseconds(*rc::gen::inRange(-100, 500));
    request.prompt_tokens = *rc::gen::inRange<std::uint32_t>(0, 2'000);
    request.output_tokens = *rc::gen::inRange<std::uint32_t>(0, 50);
    request.suspect = *rc::gen::inRange(0, 4) == 0;
    if (const auto decision = table_.ReserveSlot(request, now_)) {
      CheckDecision(*decision);
    }
  }

  void RunTimers() {
    table_.ExpireReservations(now_);
    for (const slot_decision& decision : table_.DecideBids(now_)) {
      CheckDecision(decision);
    }
    table_.TakeDueStarts(now_);
    table_.TakeOpenings(now_);
  }

  void CheckDecision(const slot_decision& decision) {
    if (decision.verdict == slot_verdict::kGranted) {
      RC_ASSERT(!leaving_);
      RC_ASSERT(granted_.insert(decision.request.attempt).second);
      RC_ASSERT(decision.start >= now_);
    }
  }

  void Drop(const router_identity& router) {
    table_.DropRouter(router);
    for (const attempt_id& attempt : granted_) {
      const slot_entry* entry = table_.FindEntry(attempt);
      const bool is_free = entry == nullptr || entry->request.router != router ||
                           entry->phase == slot_phase::kRunning;  // RC_ASSERT evaluates both sides of ||
      RC_ASSERT(is_free);
    }
  }

  void Check() {
    for (const slot_kind kind : {slot_kind::kPrefill, slot_kind::kDecode}) {
      RC_ASSERT(table_.CountRunning(kind) <= table_.Slots(kind));
    }
    std::size_t suspects = 0;
    for (const attempt_id& attempt : granted_) {
      const slot_entry* entry = table_.FindEntry(attempt);
      suspects += entry != nullptr && entry->request.suspect ? 1 : 0;
    }
    RC_ASSERT(suspects <= 1U);
    // The next timer is never due far in the future.
    const auto due = table_.NextDue(now_);
    const bool is_soon = !due || *due < now_ + std::chrono::hours(1);
    RC_ASSERT(is_soon);
  }

  slot_table table_;
  time_point now_ = time_point() + std::chrono::hours(1);
  int last_attempt_ = 0;
  bool leaving_ = false;
  std::set<attempt_id> granted_;
};

RC_GTEST_PROP(slot_table_property, AnyOrder_NeverUsesMoreSlotsThanExist, ()) {
  const int steps = *rc::gen::inRange(1, 150);
  slot_table_run run;
  for (int i = 0; i < steps; ++i) {
    run.Step();
  }
}

}  // namespace
}  // namespace persimmon
