// link: persimmon_direct persimmon_fake_parts
// Idempotent calls whose attempts overlap, with fakes of the platform and the endpoints.
//
// Sections
//   1. outcomes of two attempts
//   2. limits: attempts, budget, deadline
//   3. when the adaptive policy is in effect
#include <gtest/gtest.h>

#include "core/telemetry.h"
#include "direct/direct_call.h"
#include "support/router_harness.h"

namespace persimmon {
namespace {

using fakes::fake_replica;
using fakes::replica_options;
using support::caller_exchange_ptr;
using support::router_harness;

// Work that nobody wants any more must have ended at the endpoint within half a second.
constexpr milliseconds kReleaseLimit(500);
constexpr milliseconds kSecondAfter(90);  // second_try_share of these tests times the target of the route
constexpr milliseconds kSlowAnswer(300);  // longer than kSecondAfter
constexpr milliseconds kVerySlow(30'000);

replica_options PlainReplica(const std::string& name, const std::string& zone = "zone-a") {
  replica_options options;
  options.name = name;
  options.service = "app";
  options.zone = zone;
  return options;
}

void UseAdaptivePolicy(direct_settings& settings) {
  settings.adaptive = "on";
  settings.second_try_share = 0.1;
  settings.probe_share = 0;  // so that a test can foresee the choice
}

class hedged_call_test : public testing::Test {
 protected:
  explicit hedged_call_test(const std::function<void(direct_settings&)>& adjust = UseAdaptivePolicy,
                            const support::desired_state_options& state = {})
      : harness_(adjust),
        first_(harness_.AddReplica(PlainReplica("app-1"))),
        second_(harness_.AddReplica(PlainReplica("app-2"))) {
    harness_.WriteDesiredState(state);
  }
  void SetUp() override { ASSERT_TRUE(harness_.Start()); }

  void SetBoth(const fakes::replica_faults& faults) {
    first_.Faults() = faults;
    second_.Faults() = faults;
  }
  int Runs(const std::string& attempt) const { return first_.Runs(attempt) + second_.Runs(attempt); }
  int ActiveRuns() const { return first_.ActiveRuns() + second_.ActiveRuns(); }

  // Sends a call whose first attempt is slow, and returns the endpoint of that attempt once it runs.
  fake_replica* SendSlowCall(caller_exchange_ptr& call, const std::string& attempt) {
    SetBoth({.answer_delay = kVerySlow});
    call = harness_.Send("GET", "/pages/1", attempt);
    EXPECT_TRUE(harness_.RunUntil([this] { return ActiveRuns() == 1; }));
    return first_.ActiveRuns() == 1 ? &first_ : &second_;
  }
  fake_replica& OtherThan(const fake_replica* replica) { return replica == &first_ ? second_ : first_; }
  bool WaitForSecondAttempt(const fake_replica* slow) {
    return harness_.RunUntil([&] { return OtherThan(slow).ActiveRuns() == 1; });
  }
  bool AllEndInTime() {
    return harness_.RunUntil([this] { return ActiveRuns() == 0; }, kReleaseLimit);
  }
  std::uint64_t Counter(const std::string& name, const metric_labels& labels) {
    return harness_.Kernel().Find<telemetry>("telemetry").Metrics().AddCounter(name, "", labels).Value();
  }

  router_harness harness_;
  fake_replica& first_;
  fake_replica& second_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 1. outcomes of two attempts
// ---------------------------------------------------------------------------------------------------------------------

// Guards against a second send for a call that is answered in time.
TEST_F(hedged_call_test, FastCall_IsSentOnce) {
  for (int i = 0; i < 20; ++i) {
    const std::string attempt = "a" + std::to_string(i);
    const auto call = harness_.Send("GET", "/pages/1", attempt);
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 200);
    EXPECT_EQ(Runs(attempt), 1);
  }
  EXPECT_TRUE(harness_.EndpointTracker().LocalUses().empty());
}

// Guards against discarding the response of an attempt that is slow and then answers before the second one.
TEST_F(hedged_call_test, SlowFirstAttempt_ThatAnswersFirst_IsDelivered) {
  caller_exchange_ptr call;
  fake_replica* slow = SendSlowCall(call, "a1");
  ASSERT_TRUE(WaitForSecondAttempt(slow));
  slow->Faults().answer_delay = milliseconds(0);
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_NE(call->body.find("answer of " + slow->Name()), std::string::npos);
  EXPECT_EQ(Runs("a1"), 2);
  EXPECT_TRUE(AllEndInTime());
  EXPECT_EQ(Counter("persimmon_second_attempts_total", {{"service", "app"}, {"cause", "slow"}}), 1U);
  EXPECT_EQ(Counter("persimmon_second_attempts_won_total", {{"service", "app"}}), 0U);
}

// Guards against work that goes on at an endpoint after another one has answered.
TEST_F(hedged_call_test, SecondAttempt_ThatAnswersFirst_IsDeliveredAndTheFirstIsCancelled) {
  for (int i = 0; i < 4; ++i) {
    const std::string attempt = "a" + std::to_string(i);
    caller_exchange_ptr call;
    fake_replica* slow = SendSlowCall(call, attempt);
    ASSERT_TRUE(WaitForSecondAttempt(slow));
    OtherThan(slow).Faults().answer_delay = milliseconds(0);
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 200);
    EXPECT_NE(call->body.find("answer of " + OtherThan(slow).Name()), std::string::npos);
    EXPECT_EQ(Runs(attempt), 2);
    EXPECT_TRUE(AllEndInTime());
  }
  EXPECT_TRUE(harness_.EndpointTracker().LocalUses().empty());
  EXPECT_EQ(Counter("persimmon_second_attempts_won_total", {{"service", "app"}}), 4U);
}

class random_choice_test : public hedged_call_test {
 protected:
  random_choice_test()
      : hedged_call_test([](direct_settings& settings) {
          UseAdaptivePolicy(settings);
          settings.probe_share = 1;  // so that an endpoint that looks slow is chosen again
        }) {}
};

// Guards against ejecting an endpoint because its attempts have lost.
TEST_F(random_choice_test, EndpointWhoseAttemptsLose_KeepsItsHealth) {
  constexpr int kLostAttempts = 6;  // twice the failures in a row that eject an endpoint
  first_.Faults().answer_delay = kVerySlow;
  for (int i = 0; i < 100 && first_.TotalRuns() < kLostAttempts; ++i) {
    const auto call = harness_.Send("GET", "/pages/1", "a" + std::to_string(i));
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 200);
  }
  ASSERT_EQ(first_.TotalRuns(), kLostAttempts);
  harness_.RunFor(milliseconds(400));  // longer than the period in which the health is judged
  const auto endpoints = harness_.EndpointTracker().ListEndpoints("app", std::nullopt);
  for (const auto& view : harness_.EndpointTracker().PlainViews(endpoints, {})) {
    EXPECT_EQ(view.health_share, 1.0) << view.name.value;
    EXPECT_TRUE(view.can_receive) << view.name.value;
  }
}

// Slowness alone starts no second attempt before the deadline, so that only an immediate retry can answer.
class retry_test : public hedged_call_test {
 protected:
  retry_test()
      : hedged_call_test([](direct_settings& settings) {
          UseAdaptivePolicy(settings);
          settings.second_try_share = 10;
        }) {}
};

TEST_F(retry_test, ServerErrorOfTheFirstAttempt_IsRetriedAtOnce) {
  SetBoth({.returns_500 = true});
  const auto call = harness_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(harness_.RunUntil([this] { return Runs("a1") == 1; }));
  (first_.Runs("a1") == 1 ? second_ : first_).Faults().returns_500 = false;
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(Runs("a1"), 2);
}

// Guards against answering with the server error of one attempt while the other one may still succeed.
TEST_F(hedged_call_test, ServerErrorOfOneOfTwoAttempts_DoesNotEndTheOther) {
  caller_exchange_ptr call;
  fake_replica* slow = SendSlowCall(call, "a1");
  ASSERT_TRUE(WaitForSecondAttempt(slow));
  OtherThan(slow).Faults() = {.returns_500 = true};
  ASSERT_TRUE(harness_.RunUntil([&] { return OtherThan(slow).ActiveRuns() == 0; }));
  harness_.RunFor(milliseconds(30));
  EXPECT_FALSE(call->done);
  slow->Faults().answer_delay = milliseconds(0);
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(Runs("a1"), 2);
}

TEST_F(hedged_call_test, ServerErrorOfOne_WhileTheOtherNeverResponds_IsDeliveredBeforeTheDeadline) {
  caller_exchange_ptr call;
  fake_replica* slow = SendSlowCall(call, "a1");
  ASSERT_TRUE(WaitForSecondAttempt(slow));
  OtherThan(slow).Faults() = {.returns_500 = true};
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 500);
  EXPECT_NE(call->Header("Persimmonchute-Server-Seal"), "");
  EXPECT_TRUE(AllEndInTime());
}

TEST_F(hedged_call_test, ServerErrorsOfBoth_AreAnsweredWithTheEndpointsError) {
  SetBoth({.returns_500 = true});
  const auto call = harness_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 500);
  EXPECT_EQ(call->body, "failed");
  EXPECT_NE(call->Header("Persimmonchute-Server-Seal"), "");
  EXPECT_EQ(Runs("a1"), 2);
}

TEST_F(retry_test, ConnectionReset_OfTheFirstAttempt_IsRetriedAtOnce) {
  first_.Faults().drops_responses = true;
  for (const char* attempt : {"a1", "a2", "a3", "a4"}) {
    const auto call = harness_.Send("GET", "/pages/1", attempt);
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 200);
    EXPECT_EQ(second_.Runs(attempt), 1);
  }
}

// Guards against a promise that the call has not run, when both connections break.
TEST_F(hedged_call_test, ConnectionReset_OfBoth_IsAnsweredAsPossiblyRun) {
  SetBoth({.drops_responses = true});
  const auto call = harness_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 502);
  EXPECT_NE(call->body.find("may_have_run"), std::string::npos);
  EXPECT_EQ(Runs("a1"), 2);
}

// Guards against a reset of one attempt that ends the other.
TEST_F(hedged_call_test, ConnectionReset_OfOneOfTwoAttempts_DoesNotEndTheOther) {
  caller_exchange_ptr call;
  fake_replica* slow = SendSlowCall(call, "a1");
  ASSERT_TRUE(WaitForSecondAttempt(slow));
  OtherThan(slow).Faults() = {.drops_responses = true};
  ASSERT_TRUE(harness_.RunUntil([&] { return OtherThan(slow).ActiveRuns() == 0; }));
  slow->Faults().answer_delay = milliseconds(0);
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(Runs("a1"), 2);
}

// Guards against passing on a response that no endpoint has made, and against taking it for the winner.
TEST_F(hedged_call_test, AnswerWithoutSeal_OfTheFirstAttempt_LosesAgainstTheSecond) {
  first_.Faults().omits_seal = true;
  for (const char* attempt : {"a1", "a2", "a3", "a4"}) {
    const auto call = harness_.Send("GET", "/pages/1", attempt);
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 200);
    EXPECT_EQ(second_.Runs(attempt), 1);
  }
}

TEST_F(hedged_call_test, CallerThatLeaves_WhileBothAttemptsRun_EndsBoth) {
  caller_exchange_ptr call;
  fake_replica* slow = SendSlowCall(call, "a1");
  ASSERT_TRUE(WaitForSecondAttempt(slow));
  call->call->Cancel();
  EXPECT_TRUE(AllEndInTime());
  harness_.RunFor(kSecondAfter);
  EXPECT_EQ(Runs("a1"), 2);
  EXPECT_TRUE(harness_.EndpointTracker().LocalUses().empty());
}

TEST_F(hedged_call_test, CallerThatLeaves_BeforeTheSecondAttempt_GetsNone) {
  caller_exchange_ptr call;
  SendSlowCall(call, "a1");
  call->call->Cancel();
  EXPECT_TRUE(AllEndInTime());
  harness_.RunFor(2 * kSecondAfter);
  EXPECT_EQ(Runs("a1"), 1);
}

// Guards against buffering a long response, against mixing the bytes of two attempts, and against an attempt that goes
// on while the response of the other one is streamed.
TEST_F(hedged_call_test, LongAnswer_WhileTheOtherAttemptRuns_IsStreamedAlone) {
  caller_exchange_ptr call;
  fake_replica* slow = SendSlowCall(call, "a1");
  ASSERT_TRUE(WaitForSecondAttempt(slow));
  OtherThan(slow).Faults() = {.endless_body = true};
  ASSERT_TRUE(harness_.RunUntil([&] { return call->body.size() > kMaxBufferedBytes; }));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_TRUE(harness_.RunUntil([&] { return slow->ActiveRuns() == 0; }, kReleaseLimit));
  EXPECT_EQ(call->body.find_first_not_of('x'), std::string::npos);
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_TRUE(call->failure);  // cut off at the timeout of the route
  EXPECT_TRUE(AllEndInTime());
  EXPECT_EQ(Runs("a1"), 2);
}

// A rejected attempt proves that the call has not run there, and another endpoint may serve it.
TEST_F(retry_test, RejectedAttempt_IsSentElsewhereAtOnce) {
  first_.Faults().full = true;
  for (const char* attempt : {"a1", "a2", "a3", "a4"}) {
    const auto call = harness_.Send("GET", "/pages/1", attempt);
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 200);
  }
}

TEST_F(hedged_call_test, RejectionsOfBoth_AreARefusalWithATimeToComeBack) {
  SetBoth({.full = true});
  const auto call = harness_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_GT(std::stod(call->Header("Retry-After")), 0);
  EXPECT_EQ(Runs("a1"), 0);
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. limits: attempts, budget, deadline
// ---------------------------------------------------------------------------------------------------------------------

class three_endpoints_test : public hedged_call_test {
 protected:
  explicit three_endpoints_test(const std::function<void(direct_settings&)>& adjust = UseAdaptivePolicy,
                                const support::desired_state_options& state = {})
      : hedged_call_test(adjust, state), third_(harness_.AddReplica(PlainReplica("app-3", "zone-b"))) {}

  int AllRuns(const std::string& attempt) const { return Runs(attempt) + third_.Runs(attempt); }

  fake_replica& third_;
};

// Guards against more sends than max_attempts (2).
TEST_F(three_endpoints_test, CallThatFailsEverywhere_IsSentAsOftenAsAllowed) {
  SetBoth({.returns_500 = true, .answer_delay = kSlowAnswer});
  third_.Faults() = {.returns_500 = true, .answer_delay = kSlowAnswer};
  for (const char* attempt : {"a1", "a2", "a3"}) {
    const auto call = harness_.Send("GET", "/pages/1", attempt);
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 500);
    EXPECT_EQ(AllRuns(attempt), 2);
  }
}

// Guards against two attempts in the same zone, where one fault may make both slow.
TEST_F(three_endpoints_test, SecondAttempt_OfACallInTheOwnZone_PrefersAnotherZone) {
  int in_other_zone = 0;
  constexpr int kCalls = 12;
  for (int i = 0; i < kCalls; ++i) {
    SetBoth({.answer_delay = kVerySlow});
    third_.Faults() = {.answer_delay = kVerySlow};
    const auto call = harness_.Send("GET", "/pages/1", "a" + std::to_string(i));
    ASSERT_TRUE(harness_.RunUntil([this] { return ActiveRuns() + third_.ActiveRuns() == 2; }));
    in_other_zone += third_.ActiveRuns();
    SetBoth({});
    third_.Faults() = {};
    ASSERT_TRUE(harness_.Finish(call));
  }
  EXPECT_GE(in_other_zone, kCalls / 2);
}

class no_budget_test : public hedged_call_test {
 protected:
  no_budget_test()
      : hedged_call_test([](direct_settings& settings) {
          UseAdaptivePolicy(settings);
          settings.deployment.budget_slack = 0;
          settings.deployment.budget_ratio = 0;
        }) {}
};

// Guards against a second send without budget, and against ending the first attempt for lack of it.
TEST_F(no_budget_test, SlowCall_WithoutBudget_IsSentOnceAndAnswered) {
  SetBoth({.answer_delay = kSlowAnswer});
  const auto call = harness_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(Runs("a1"), 1);
}

TEST_F(no_budget_test, UnreachableEndpoint_CostsNeitherAnAttemptNorTheBudget) {
  first_.Stop();
  for (int i = 0; i < 5; ++i) {
    const auto call = harness_.Send("GET", "/pages/1", "a" + std::to_string(i));
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 200) << i;
  }
}

TEST_F(no_budget_test, FailedCall_WithoutBudget_IsAnsweredWithTheEndpointsError) {
  SetBoth({.returns_500 = true});
  const auto call = harness_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 500);
  EXPECT_EQ(Runs("a1"), 1);
}

class one_extra_send_test : public hedged_call_test {
 protected:
  one_extra_send_test()
      : hedged_call_test([](direct_settings& settings) {
          UseAdaptivePolicy(settings);
          settings.deployment.budget_slack = 1.5;  // of which a router uses 80%
          settings.deployment.budget_ratio = 0;
        }) {}
};

// Guards against a budget that is used up by second attempts that were not sent.
TEST_F(one_extra_send_test, SecondAttempt_ThatCannotBeSent_LeavesTheBudgetToTheNext) {
  caller_exchange_ptr call;
  fake_replica* slow = SendSlowCall(call, "a1");
  OtherThan(slow).Stop();
  const auto is_paused = [&] {
    const auto endpoints = harness_.EndpointTracker().ListEndpoints("app", std::nullopt);
    for (const auto& view : harness_.EndpointTracker().PlainViews(endpoints, {})) {
      if (view.name.value == OtherThan(slow).Name()) {
        return !view.can_receive;
      }
    }
    return false;
  };
  ASSERT_TRUE(harness_.RunUntil(is_paused));
  fake_replica& third = harness_.AddReplica(PlainReplica("app-3"));
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Endpoints().Size() == 3; }));
  slow->Faults() = {.returns_500 = true};
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(third.Runs("a1"), 1);
}

TEST_F(hedged_call_test, ExtraSends_WhenEveryCallFails_StayWithinTheBudget) {
  SetBoth({.returns_500 = true});
  constexpr int kCalls = 100;
  for (int i = 0; i < kCalls; ++i) {
    ASSERT_TRUE(harness_.Finish(harness_.Send("GET", "/pages/1", "a" + std::to_string(i))));
  }
  const auto& deployment = harness_.Settings().deployment;
  EXPECT_LE(first_.TotalRuns() + second_.TotalRuns() - kCalls,
            deployment.budget_ratio * kCalls + deployment.budget_slack);
}

TEST_F(hedged_call_test, CallThatNeverEnds_IsAnsweredAtTheDeadlineAndEndsEverywhere) {
  SetBoth({.never_responds = true});
  const time_point begin = timer_service::Now();
  const auto call = harness_.Send("GET", "/pages/1", "a1", {{"Persimmonchute-Deadline-Ms", "400"}});
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 504);
  EXPECT_LT(timer_service::Now() - begin, milliseconds(400) + kReleaseLimit);
  EXPECT_TRUE(AllEndInTime());
  EXPECT_EQ(Runs("a1"), 2);
}

// Guards against a second attempt that cannot end before the deadline.
TEST_F(hedged_call_test, SecondAttempt_ShortBeforeTheDeadline_IsNotSent) {
  SetBoth({.never_responds = true});
  const auto call = harness_.Send("GET", "/pages/1", "a1", {{"Persimmonchute-Deadline-Ms", "100"}});
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 504);
  EXPECT_EQ(Runs("a1"), 1);
}

// Guards against sends to endpoints that cannot answer in time, and against an endless refusal: the reports age.
TEST_F(hedged_call_test, Call_ThatNoEndpointCanAnswerInTime_IsRefusedAtOnceUntilTheReportsAreOld) {
  SetBoth({.server_load = "6,24,6,900", .answer_delay = milliseconds(80)});
  // Sent together, so that both endpoints get some and both reports are recent.
  constexpr std::size_t kCalls = 16;
  std::vector<caller_exchange_ptr> calls;
  calls.reserve(kCalls);
  for (std::size_t i = 0; i < kCalls; ++i) {
    calls.push_back(harness_.Send("POST", "/submit/1", "warm-" + std::to_string(i), {}, "quiz"));
  }
  for (const auto& call : calls) {
    ASSERT_TRUE(harness_.Finish(call));
  }
  ASSERT_GT(first_.TotalRuns(), 0);
  ASSERT_GT(second_.TotalRuns(), 0);
  const time_point begin = timer_service::Now();
  for (const char* kind : {"/pages/1", "/submit/1"}) {
    const auto call = harness_.Send(kind == std::string("/pages/1") ? "GET" : "POST", kind, "late",
                                    {{"Persimmonchute-Deadline-Ms", "25"}});
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 503) << kind;
    EXPECT_NE(call->body.find("too_late"), std::string::npos) << call->body;
    EXPECT_GT(std::stod(call->Header("Retry-After")), 0);
  }
  EXPECT_LT(timer_service::Now() - begin, milliseconds(100));
  EXPECT_EQ(Runs("late"), 0);
  harness_.RunFor(milliseconds(1'100));
  ASSERT_TRUE(harness_.Finish(harness_.Send("GET", "/pages/1", "later", {{"Persimmonchute-Deadline-Ms", "200"}})));
  EXPECT_EQ(Runs("later"), 1);
}

// A submission that runs again would be counted twice.
TEST_F(hedged_call_test, NonIdempotentCall_ThatIsSlow_IsSentOnce) {
  SetBoth({.answer_delay = kSlowAnswer});
  const auto call = harness_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(Runs("a1"), 1);
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. when the adaptive policy is in effect
// ---------------------------------------------------------------------------------------------------------------------

class automatic_policy_test : public hedged_call_test {
 protected:
  automatic_policy_test() : hedged_call_test([](direct_settings& settings) { settings.second_try_share = 0.1; }) {}
};

// Guards against overlapping attempts in deployments that have not asked for them: the first attempt is ended when the
// second one starts, as before.
TEST_F(automatic_policy_test, SlowCall_WithoutWorkTimes_HasOneAttemptAtATime) {
  SetBoth({.server_load = "1,0,6"});
  ASSERT_TRUE(harness_.Finish(harness_.Send("GET", "/pages/1", "a0")));
  SetBoth({.server_load = "1,0,6", .answer_delay = kVerySlow});
  const auto call = harness_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(harness_.RunUntil([this] { return Runs("a1") == 2; }));
  EXPECT_TRUE(harness_.RunUntil([this] { return ActiveRuns() == 1; }, kReleaseLimit));
  SetBoth({});
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(Counter("persimmon_second_attempts_total", {{"service", "app"}, {"cause", "slow"}}), 0U);
}

TEST_F(automatic_policy_test, SlowCall_AfterAReportedWorkTime_HasOverlappingAttempts) {
  SetBoth({.server_load = "1,0,6,100"});
  ASSERT_TRUE(harness_.Finish(harness_.Send("GET", "/pages/1", "a0")));
  caller_exchange_ptr call;
  fake_replica* slow = SendSlowCall(call, "a1");
  ASSERT_TRUE(WaitForSecondAttempt(slow));
  EXPECT_EQ(ActiveRuns(), 2);
  SetBoth({});
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
}

}  // namespace
}  // namespace persimmon
