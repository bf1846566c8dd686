// link: persimmon_direct persimmon_fake_parts
// The router without agents, with fakes of the platform and the endpoints.
//
// Sections
//   1. plain calls
//   2. model calls
//   3. directory and readiness
//   4. graceful shutdown
//   5. stage orders
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "direct/stage_orders.h"
#include "direct/suspect_tracker.h"
#include "persimmon/stream_origins.h"
#include "support/router_harness.h"

namespace persimmon {
namespace {

using fakes::fake_replica;
using fakes::replica_options;
using fakes::table_store;
using support::caller_exchange_ptr;
using support::json;
using support::router_harness;
using support::WholeStream;

// Time after which a leaving endpoint must get no more requests.
constexpr milliseconds kDrainTime(2'000);

// Sends calls for some seconds and returns how many reach the endpoint later than `limit` from now.
int CallsAfter(milliseconds limit, router_harness& harness, const fake_replica& endpoint) {
  constexpr milliseconds kObservedTime(2'500);
  const time_point left = timer_service::Now();
  int late_calls = 0;
  for (int i = 0; timer_service::Now() < left + kObservedTime; ++i) {
    const int runs_before = endpoint.TotalRuns();
    const bool is_late = timer_service::Now() > left + limit;
    EXPECT_TRUE(harness.Finish(harness.Send("GET", "/pages/1", "late-" + std::to_string(i))));
    late_calls += is_late ? endpoint.TotalRuns() - runs_before : 0;
    harness.RunFor(milliseconds(5));
  }
  return late_calls;
}

// Work of a caller that has disconnected must have ended at the endpoint within half a second.
constexpr milliseconds kReleaseLimit(500);

replica_options PlainReplica(const std::string& name) {
  replica_options options;
  options.name = name;
  options.service = "app";
  return options;
}

replica_options Engine(const std::string& name, const std::string& stage, std::uint32_t memory = 10'000) {
  replica_options options;
  options.name = name;
  options.service = "llm";
  options.stage = stage;
  options.memory_tokens = stage == "decode" ? memory : 0;
  return options;
}

// ---------------------------------------------------------------------------------------------------------------------
// 1. plain calls
// ---------------------------------------------------------------------------------------------------------------------

class plain_call_test : public testing::Test {
 protected:
  plain_call_test()
      : first_(harness_.AddReplica(PlainReplica("app-1"))), second_(harness_.AddReplica(PlainReplica("app-2"))) {
    harness_.WriteDesiredState();
  }
  void SetUp() override { ASSERT_TRUE(harness_.Start()); }

  void SetBoth(const fakes::replica_faults& faults) {
    first_.Faults() = faults;
    second_.Faults() = faults;
  }
  int Runs(const std::string& attempt) const { return first_.Runs(attempt) + second_.Runs(attempt); }

  router_harness harness_;
  fake_replica& first_;
  fake_replica& second_;
};

TEST_F(plain_call_test, Call_OnReadyEndpoints_GetsTheEndpointsAnswer) {
  const auto call = harness_.Send("GET", "/pages/1?x=2", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(call->Header("Persimmonchute-Attempt-Id"), "a1");
  EXPECT_NE(call->Header("Persimmonchute-Server-Seal"), "");
  EXPECT_NE(call->body.find("to a1"), std::string::npos);
  EXPECT_EQ(Runs("a1"), 1);
}

// A caller must not control endpoints by setting headers that are reserved for the router.
TEST_F(plain_call_test, Call_WithHeadersOfTheRouter_ArrivesWithoutThem) {
  const auto call = harness_.Send("GET", "/pages/1", "a1",
                                  {{"Persimmonchute-Kv-Hold", "x"},
                                   {"persimmonchute-kv-source", "1.2.3.4:5/x"},
                                   {"Persimmonchute-Expect-Instance", "other"},
                                   {"X-Kept", "2"}});
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  const fake_replica& reached = first_.Runs("a1") == 1 ? first_ : second_;
  const header_list& headers = reached.Requests().back().headers;
  EXPECT_EQ(FindHeader(headers, "Persimmonchute-Kv-Hold"), "");
  EXPECT_EQ(FindHeader(headers, "Persimmonchute-Kv-Source"), "");
  EXPECT_EQ(FindHeader(headers, "Persimmonchute-Expect-Instance"), reached.Name());
  EXPECT_EQ(FindHeader(headers, "X-Kept"), "2");
}

TEST_F(plain_call_test, TimeBudget_AtTheEndpoint_IsNeverLongerThanTheCallers) {
  const auto call = harness_.Send("GET", "/pages/1", "a1", {{"Persimmonchute-Deadline-Ms", "700"}});
  ASSERT_TRUE(harness_.Finish(call));
  const fake_replica& reached = first_.Runs("a1") == 1 ? first_ : second_;
  EXPECT_LE(std::stoi(std::string(FindHeader(reached.Requests().back().headers, "Persimmonchute-Deadline-Ms"))), 700);
}

// A submission that runs again would be counted twice.
TEST_F(plain_call_test, NonIdempotentCall_WhoseAnswerIsLost_RunsOnceAndIsNotPromisedNotRun) {
  SetBoth({.drops_responses = true});
  const auto call = harness_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 502);
  EXPECT_EQ(Runs("a1"), 1);
}

TEST_F(plain_call_test, IdempotentCall_WhoseAnswerIsLost_IsTriedOnAnotherEndpoint) {
  first_.Faults().drops_responses = true;
  for (const char* attempt : {"a1", "a2", "a3", "a4"}) {
    const auto call = harness_.Send("GET", "/pages/1", attempt);
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 200);
    EXPECT_EQ(second_.Runs(attempt), 1);
  }
}

TEST_F(plain_call_test, IdempotentCall_ThatFailsEverywhere_ReachesNoMoreEndpointsThanAllowed) {
  harness_.AddReplica(PlainReplica("app-3")).Faults().returns_500 = true;
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Endpoints().Size() == 3; }));
  SetBoth({.returns_500 = true});
  const auto call = harness_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 500);
  EXPECT_NE(call->Header("Persimmonchute-Server-Seal"), "");
  EXPECT_LE(Runs("a1"), 2);
}

TEST_F(plain_call_test, Call_WhenAllEndpointsAreFull_IsRefusedWithATimeToComeBack) {
  SetBoth({.full = true});
  const auto call = harness_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_GT(std::stod(call->Header("Retry-After")), 0);
  EXPECT_EQ(Runs("a1"), 0);
}

// An endpoint that states when it wants requests again must get none before, even if there is no other.
TEST_F(plain_call_test, Endpoints_ThatStateARetryTime_GetNothingUntilThenAndCallersLearnIt) {
  SetBoth({.full = true, .retry_after = milliseconds(1'200)});
  const time_point begin = timer_service::Now();
  ASSERT_TRUE(harness_.Finish(harness_.Send("GET", "/pages/1", "a0")));
  const auto received = [this] { return first_.Requests().size() + second_.Requests().size(); };
  const std::size_t requests = received();
  ASSERT_EQ(requests, 2U);
  for (int i = 1; timer_service::Now() < begin + milliseconds(1'000); ++i) {
    const auto call = harness_.Send("GET", "/pages/1", "a" + std::to_string(i));
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 503);
    EXPECT_GT(std::stod(call->Header("Retry-After")), 0.2);
    harness_.RunFor(milliseconds(20));
  }
  EXPECT_EQ(received(), requests);
  SetBoth({});
  harness_.RunFor(milliseconds(400));
  const auto call = harness_.Send("GET", "/pages/1", "last");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
}

// Of two answers in progress, the later one may state an earlier time.
TEST_F(plain_call_test, Endpoint_ThatStatesTwoRetryTimes_IsClosedUntilTheLaterOne) {
  const chosen_endpoint endpoint{endpoint_name{"app-1"}, 1, {}, first_.Address(), {}};
  const auto record = [&](const char* seconds) {
    harness_.EndpointTracker().RecordResponse(
        endpoint, platform::ParseResponseHeaders({503, {{"Retry-After", seconds}}}), timer_service::Now());
  };
  record("30");
  record("0.001");
  harness_.RunFor(milliseconds(20));
  EXPECT_TRUE(harness_.EndpointTracker().IsClosed(endpoint));
}

TEST_F(plain_call_test, Endpoint_ThatStatesARetryTime_LeavesTheCallsToTheOther) {
  first_.Faults() = {.full = true, .retry_after = milliseconds(60'000)};
  for (int i = 0; i < 30; ++i) {
    const auto call = harness_.Send("GET", "/pages/1", "a" + std::to_string(i));
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 200);
  }
  EXPECT_EQ(first_.Requests().size(), 1U);
}

TEST_F(plain_call_test, Answer_WithoutALength_IsPassedOnWhole) {
  SetBoth({.unframed = true});
  const auto call = harness_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_NE(call->body.find("to a1"), std::string::npos);
}

// A successful response without the seal does not come from the endpoint.
TEST_F(plain_call_test, Answer_WithoutSeal_IsNotPassedOnAsSuccess) {
  SetBoth({.omits_seal = true});
  const auto call = harness_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 502);
}

// Guards against passing on the beginning of an answer as a whole one, with a length of our own: the end of the
// endpoint's process ends a body without framing too.
TEST_F(plain_call_test, UnframedAnswer_WhoseEndpointIsGoneAtItsEnd_IsNotPassedOn) {
  for (fake_replica* endpoint : {&first_, &second_}) {
    endpoint->Faults() = {.unframed = true, .breaks_in_order = true, .stops_at_cut = true, .cut_after_bytes = 10};
  }
  const auto call = harness_.Send("POST", "/submit/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 502);
  EXPECT_EQ(first_.Runs("a1") + second_.Runs("a1"), 1);
}

// The same for a call that may be repeated: another endpoint answers it.
TEST_F(plain_call_test, UnframedAnswer_OfAnIdempotentCallWhoseEndpointIsGone_ComesFromAnotherEndpoint) {
  for (fake_replica* endpoint : {&first_, &second_}) {
    endpoint->Faults() = {.unframed = true, .breaks_in_order = true, .stops_at_cut = true, .cut_after_bytes = 10};
  }
  const auto call = harness_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(harness_.RunUntil([&] { return first_.Runs("a1") + second_.Runs("a1") == 1; }));
  (first_.Runs("a1") == 1 ? second_ : first_).Faults() = {};
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_TRUE(call->body.ends_with(" to a1")) << call->body;
}

// An unframed answer of an endpoint that still runs is whole.
TEST_F(plain_call_test, UnframedAnswer_OfALivingEndpoint_IsPassedOn) {
  for (fake_replica* endpoint : {&first_, &second_}) {
    endpoint->Faults() = {.unframed = true};
  }
  const auto call = harness_.Send("POST", "/submit/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_TRUE(call->body.ends_with(" to a1")) << call->body;
}

// Guards against buffering an answer that may not be passed on for as long as its endpoint sends it.
TEST_F(plain_call_test, AnswerWithoutSeal_ThatNeverEnds_IsGivenUpEarly) {
  SetBoth({.omits_seal = true, .endless_body = true});
  const time_point begin = timer_service::Now();
  const auto call = harness_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 502);
  EXPECT_LT(timer_service::Now() - begin, kReleaseLimit);
  EXPECT_TRUE(harness_.RunUntil([this] { return first_.ActiveRuns() + second_.ActiveRuns() == 0; }, kReleaseLimit));
}

// Guards against passing on the start of an answer that may not be passed on, only because it is long.
TEST_F(plain_call_test, LongAnswer_WithAnEncoding_IsNotPassedOnAsSuccess) {
  SetBoth({.endless_body = true, .encoded = true});
  const auto call = harness_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 502);
  EXPECT_FALSE(call->failure);
}

TEST_F(plain_call_test, AnswerWithSeal_ThatNeverEnds_IsBrokenOffAtTheRoutesTimeout) {
  for (const bool unframed : {true, false}) {
    SetBoth({.endless_body = true, .unframed = unframed});
    const time_point begin = timer_service::Now();
    const auto call = harness_.Send("POST", "/submit/1", unframed ? "a1" : "a2", {}, "quiz");
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_TRUE(call->failure);
    EXPECT_LT(timer_service::Now() - begin, milliseconds(1'500) + kReleaseLimit);
    EXPECT_TRUE(harness_.RunUntil([this] { return first_.ActiveRuns() + second_.ActiveRuns() == 0; }, kReleaseLimit));
  }
}

TEST_F(plain_call_test, UnresponsiveEndpoint_UntilTheRoutesTimeout_EndsWithATimeoutOnTime) {
  SetBoth({.never_responds = true});
  const time_point begin = timer_service::Now();
  const auto call = harness_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 504);
  EXPECT_LT(timer_service::Now() - begin, milliseconds(1'500) + kReleaseLimit);
  EXPECT_TRUE(harness_.RunUntil([this] { return first_.ActiveRuns() + second_.ActiveRuns() == 0; }, kReleaseLimit));
}

TEST_F(plain_call_test, CallerThatLeaves_EndsTheWorkAtTheEndpoint) {
  SetBoth({.never_responds = true});
  const auto call = harness_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(harness_.RunUntil([this] { return first_.ActiveRuns() + second_.ActiveRuns() == 1; }));
  call->call->Cancel();
  EXPECT_TRUE(harness_.RunUntil([this] { return first_.ActiveRuns() + second_.ActiveRuns() == 0; }, kReleaseLimit));
}

TEST_F(plain_call_test, DrainingEndpoint_OnceItsEntryIsSeen_GetsNoMoreCalls) {
  first_.Register(harness_.Platform().Tables(), true);
  ASSERT_TRUE(harness_.RunUntil([this] {
    const auto* entry = harness_.Directory().Endpoints().Find(endpoint_name{"app-1"});
    return entry != nullptr && entry->draining;
  }));
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(harness_.Finish(harness_.Send("GET", "/pages/1", "a" + std::to_string(i))));
  }
  EXPECT_EQ(first_.TotalRuns(), 0);
  EXPECT_EQ(second_.TotalRuns(), 20);
}

// An unreachable endpoint has received nothing, so even a non-idempotent call may be sent to another one.
TEST_F(plain_call_test, UnreachableEndpoint_WithNonIdempotentCalls_CostsNone) {
  first_.Stop();
  for (int i = 0; i < 10; ++i) {
    const auto call = harness_.Send("POST", "/submit/1", "a" + std::to_string(i), {}, "quiz");
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 200) << i;
  }
}

// Without the refusal, every retry of such a request would crash one more endpoint.
TEST_F(plain_call_test, RequestThatCrashesEndpoints_AfterThreeCrashes_IsRefusedWithoutRunning) {
  std::vector<fake_replica*> replicas = {&first_, &second_};
  for (const char* name : {"app-3", "app-4", "app-5"}) {
    replicas.push_back(&harness_.AddReplica(PlainReplica(name)));
  }
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Endpoints().Size() == 5; }));
  for (fake_replica* replica : replicas) {
    replica->Faults().crash_on = "poison";
  }
  const auto runs = [&] {
    int total = 0;
    for (const fake_replica* replica : replicas) {
      total += replica->TotalRuns();
    }
    return total;
  };
  for (int i = 0; i < 3; ++i) {
    const auto call = harness_.Send("POST", "/submit/1", "a" + std::to_string(i), {}, "poison");
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 502);
    harness_.RunFor(milliseconds(150));
  }
  EXPECT_EQ(runs(), 3);
  const auto call = harness_.Send("POST", "/submit/1", "a3", {}, "poison");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_EQ(runs(), 3);
  const auto other_call = harness_.Send("POST", "/submit/1", "b", {}, "quiz");
  ASSERT_TRUE(harness_.Finish(other_call));
  EXPECT_EQ(other_call->Status(), 200);
}

TEST_F(plain_call_test, ExtraSends_WhenEveryCallFails_StayWithinTheBudget) {
  SetBoth({.returns_500 = true});
  constexpr int kCalls = 100;
  for (int i = 0; i < kCalls; ++i) {
    ASSERT_TRUE(harness_.Finish(harness_.Send("GET", "/pages/1", "a" + std::to_string(i))));
  }
  const auto& deployment = harness_.Settings().deployment;
  EXPECT_LE(first_.TotalRuns() + second_.TotalRuns() - kCalls,
            deployment.budget_ratio * kCalls + deployment.budget_slack);
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. model calls
// ---------------------------------------------------------------------------------------------------------------------

class model_call_test : public testing::Test {
 protected:
  model_call_test()
      : prefill_(harness_.AddReplica(Engine("pre-1", "prefill"))),
        first_(harness_.AddReplica(Engine("dec-1", "decode"))),
        second_(harness_.AddReplica(Engine("dec-2", "decode"))) {
    harness_.WriteDesiredState({.timeout_ms = 14'000});
  }
  void SetUp() override { ASSERT_TRUE(harness_.Start()); }

  int Runs(const std::string& attempt) const { return first_.Runs(attempt) + second_.Runs(attempt); }

  void SetBoth(const fakes::replica_faults& faults) {
    first_.Faults() = faults;
    second_.Faults() = faults;
  }

  // Each engine stops after this many bytes of an unframed stream.
  void StopBothAfter(std::size_t bytes) {
    SetBoth({.unframed = true,
             .breaks_in_order = true,
             .stops_at_cut = true,
             .cut_after_bytes = bytes,
             .cut_delay = milliseconds(150)});
  }

  // Waits until the router knows that the engine leaves.
  void ReportDraining(const fake_replica& engine) {
    harness_.Platform().Tables().Commit({{{"servers", engine.Name()}, engine.EntryText(true, 2), false, std::nullopt}});
    EXPECT_TRUE(harness_.RunUntil([&] {
      const auto* entry = harness_.Directory().Endpoints().Find(endpoint_name{engine.Name()});
      return entry != nullptr && entry->draining;
    }));
  }

  // True if the engines hold no memory and no runs.
  bool IsAllFreed() const {
    return first_.ReservedTokens() + second_.ReservedTokens() == 0 && first_.ActiveRuns() + second_.ActiveRuns() == 0;
  }

  router_harness harness_;
  fake_replica& prefill_;
  fake_replica& first_;
  fake_replica& second_;
};

TEST_F(model_call_test, Call_OnFreeEngines_IsPrefilledOnceAndStreamedWhole) {
  const auto call = harness_.SendModel("/chat/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_FALSE(call->failure);
  EXPECT_EQ(call->body, WholeStream("a1", 5));
  EXPECT_EQ(prefill_.Prefills(), 1);
  EXPECT_EQ(Runs("a1"), 1);
  EXPECT_TRUE(IsAllFreed());
  EXPECT_TRUE(harness_.EndpointTracker().LocalUses().empty());
}

// Guards against a prompt for an engine that was chosen before it left: the reservation lies between choice and
// prefill.
TEST_F(model_call_test, PrefillEngine_ThatLeavesWhileMemoryIsReserved_GetsNoPrompt) {
  first_.Faults().reserve_delay = milliseconds(150);
  second_.Faults().reserve_delay = milliseconds(150);
  const auto call = harness_.SendModel("/chat/1", "a1");
  harness_.RunFor(milliseconds(30));
  fake_replica& other = harness_.AddReplica(Engine("pre-2", "prefill"));
  prefill_.Register(harness_.Platform().Tables(), true);
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->body, WholeStream("a1", 5));
  EXPECT_EQ(prefill_.Prefills(), 0);
  EXPECT_EQ(other.Prefills(), 1);
}

// A request that cannot be served before the engines open again must not wait for it in the queue.
TEST_F(model_call_test, Engines_ThatStateARetryTime_GetNothingAndRequestsAreRefusedAtOnce) {
  for (fake_replica* engine : {&first_, &second_}) {
    engine->Faults() = {.full = true, .retry_after = milliseconds(30'000)};
  }
  ASSERT_TRUE(harness_.Finish(harness_.SendModel("/chat/1", "a1")));
  const std::size_t requests = first_.Requests().size() + second_.Requests().size();
  EXPECT_EQ(requests, 2U);
  const time_point begin = timer_service::Now();
  const auto call = harness_.SendModel("/chat/1", "a2");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_LT(timer_service::Now() - begin, milliseconds(200));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_GT(std::stod(call->Header("Retry-After")), 25);
  EXPECT_EQ(first_.Requests().size() + second_.Requests().size(), requests);
}

// Guards against prefills that are repeated without being counted: each further round of a request sends a prefill and
// a decode call, and both are extra sends.
TEST(model_budget_test, ExtraSends_WhenEveryDecodeCallIsRejected_StayWithinTheBudget) {
  router_harness harness([](direct_settings& settings) { settings.deployment.budget_slack = 0; });
  harness.AddReplica(Engine("pre-1", "prefill"));
  for (const char* name : {"dec-1", "dec-2", "dec-3"}) {
    harness.AddReplica(Engine(name, "decode")).Faults().rejects_work = true;
  }
  harness.WriteDesiredState({.timeout_ms = 14'000, .attempts = 3});
  ASSERT_TRUE(harness.Start());
  constexpr int kCalls = 100;
  for (int i = 0; i < kCalls; ++i) {
    ASSERT_TRUE(harness.Finish(harness.SendModel("/digest/1", "a" + std::to_string(i))));
  }
  EXPECT_LE(harness.ExtraModelSends(), harness.Settings().deployment.budget_ratio * kCalls);
}

// Guards against counting rejected prefills only afterwards: prompts sent before the first rejection is known exceed
// the budget together.
TEST(model_budget_test, ExtraSends_WhenEveryPrefillIsRejected_StayWithinTheBudget) {
  router_harness harness([](direct_settings& settings) { settings.deployment.budget_slack = 0; });
  for (const char* name : {"pre-1", "pre-2", "pre-3", "pre-4"}) {
    harness.AddReplica(Engine(name, "prefill")).Faults().rejects_work = true;
  }
  harness.AddReplica(Engine("dec-1", "decode", 200'000));
  harness.WriteDesiredState({.timeout_ms = 14'000, .memory_tokens = 200'000});
  ASSERT_TRUE(harness.Start());
  constexpr int kRounds = 8;
  constexpr int kCalls = 16;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<caller_exchange_ptr> calls;
    for (int i = 0; i < kCalls; ++i) {
      calls.push_back(harness.SendModel("/chat/1", "a" + std::to_string(round * kCalls + i), 200));
    }
    for (const auto& call : calls) {
      ASSERT_TRUE(harness.Finish(call));
    }
    harness.RunFor(milliseconds(550));  // the pause after the first rejection ends
  }
  EXPECT_LE(harness.ExtraModelSends(), harness.Settings().deployment.budget_ratio * kRounds * kCalls);
}

// If a prompt is prefilled before decode memory is reserved and no memory becomes free, the prefill is wasted.
TEST_F(model_call_test, Call_WithoutDecodeMemory_IsNotPrefilled) {
  first_.Faults().full = true;
  second_.Faults().full = true;
  const auto call = harness_.SendModel("/chat/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_NE(call->Header("Retry-After"), "");
  EXPECT_EQ(prefill_.Prefills(), 0);
  EXPECT_EQ(Runs("a1"), 0);
}

TEST_F(model_call_test, Stream_ThatBreaksOffOnAResumableRoute_GoesOnWithoutGapOrRepeat) {
  first_.Faults().break_after_events = 2;
  second_.Faults().break_after_events = 3;
  const auto call = harness_.SendModel("/digest/1", "a1");
  ASSERT_TRUE(harness_.RunUntil([this] { return Runs("a1") == 1; }));
  (first_.Runs("a1") == 1 ? second_ : first_).Faults().break_after_events = 0;
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_FALSE(call->failure) << call->failure->message;
  EXPECT_EQ(call->body, WholeStream("a1", 5));
  EXPECT_EQ(Runs("a1"), 2);
}

// Callers disconnect some seconds after the last event, so the wait for capacity of a resumed stream must be counted
// from the last event and not from the request.
TEST(model_resume_test, Stream_ThatBreaksOffLate_WaitsForRoomAsLongAsAFreshOne) {
  router_harness harness([](direct_settings& settings) { settings.late_wait = milliseconds(1'000); });
  harness.AddReplica(Engine("pre-1", "prefill"));
  replica_options options = Engine("dec-1", "decode");
  options.event_interval = milliseconds(300);
  fake_replica& first = harness.AddReplica(options);
  harness.WriteDesiredState({.timeout_ms = 14'000});
  ASSERT_TRUE(harness.Start());
  first.Faults().break_after_events = 4;  // after 1,200 ms
  const auto call = harness.SendModel("/digest/1", "a1");
  ASSERT_TRUE(harness.RunUntil([&] { return first.Runs("a1") == 1 && first.ActiveRuns() == 0; }));
  fake_replica& second = harness.AddReplica(Engine("dec-2", "decode"));
  second.Faults().full = true;
  harness.RunFor(milliseconds(700));
  second.Faults().full = false;
  ASSERT_TRUE(harness.Finish(call));
  EXPECT_FALSE(call->failure) << call->failure->message;
  EXPECT_EQ(call->body, WholeStream("a1", 5));
}

// The router buffers the bytes of an event until the event ends, so the buffer needs a limit.
TEST_F(model_call_test, Stream_WhoseEventNeverEnds_IsBrokenOffAndFreesTheEngine) {
  first_.Faults().endless_event = true;
  second_.Faults().endless_event = true;
  const auto call = harness_.SendModel("/digest/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_TRUE(call->failure);
  EXPECT_TRUE(call->body.empty());
  EXPECT_TRUE(harness_.RunUntil([this] { return IsAllFreed(); }, kReleaseLimit));
}

// Guards against buffering the body of a prefill for as long as its engine sends it.
TEST_F(model_call_test, Prefill_WhoseBodyNeverEnds_IsGivenUpEarly) {
  prefill_.Faults().endless_body = true;
  const time_point begin = timer_service::Now();
  const auto call = harness_.SendModel("/digest/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_LT(timer_service::Now() - begin, kReleaseLimit);
  EXPECT_TRUE(harness_.RunUntil([this] { return IsAllFreed(); }, kReleaseLimit));
}

// Guards against buffering the error response of an engine for as long as the engine sends it.
TEST_F(model_call_test, Failure_WhoseBodyNeverEnds_IsGivenUpEarly) {
  SetBoth({.returns_500 = true, .endless_body = true});
  const time_point begin = timer_service::Now();
  const auto call = harness_.SendModel("/chat/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 502);
  EXPECT_LT(timer_service::Now() - begin, kReleaseLimit);
  EXPECT_TRUE(harness_.RunUntil([this] { return IsAllFreed(); }, kReleaseLimit));
}

// An engine refuses reservations whose lifetime exceeds its limit, so requesting a longer one would make every call
// fail.
TEST(model_reserve_test, Reservation_OnEnginesWithAShortLimit_AsksForNoMore) {
  router_harness harness;
  harness.AddReplica(Engine("pre-1", "prefill"));
  fake_replica& engine = harness.AddReplica(Engine("dec-1", "decode"));
  harness.WriteDesiredState({.timeout_ms = 14'000, .hold_ms = 400});
  ASSERT_TRUE(harness.Start());
  ASSERT_TRUE(harness.Finish(harness.SendModel("/chat/1", "a1")));
  int reservations = 0;
  for (const http_request& request : engine.Requests()) {
    if (request.target == "/hold-take") {
      ++reservations;
      EXPECT_EQ(support::json::parse(request.body.Text()).value("ttl_ms", 0), 400);
    }
  }
  EXPECT_EQ(reservations, 1);
}

TEST_F(model_call_test, Stream_WithoutALength_IsForwardedWhole) {
  SetBoth({.unframed = true});
  for (const char* path : {"/chat/1", "/digest/1"}) {
    const auto call = harness_.SendModel(path, path);
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_FALSE(call->failure);
    EXPECT_EQ(call->body, WholeStream(path, 5));
    EXPECT_EQ(Runs(path), 1);
  }
}

// Guards against a broken stream that is framed as complete, whatever marked its end at the engine.
TEST_F(model_call_test, Stream_ThatEndsInOrderInsideAnEvent_LooksBrokenToTheCaller) {
  for (const bool unframed : {true, false}) {
    SetBoth({.unframed = unframed, .breaks_in_order = true, .break_after_events = 2});
    const std::string attempt = unframed ? "unframed" : "chunked";
    const auto call = harness_.SendModel("/chat/1", attempt);
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 200);
    EXPECT_TRUE(call->failure) << attempt;
    EXPECT_EQ(Runs(attempt), 1);
  }
}

// Guards against forwarding the incomplete event and ending the stream instead of going on at the other engine.
TEST_F(model_call_test, Stream_ThatEndsInOrderInsideAnEvent_GoesOnAtAnotherEngine) {
  for (const bool unframed : {true, false}) {
    SetBoth({.unframed = unframed, .breaks_in_order = true, .break_after_events = 2});
    const std::string attempt = unframed ? "unframed" : "chunked";
    const auto call = harness_.SendModel("/digest/1", attempt);
    ASSERT_TRUE(harness_.RunUntil([&] { return Runs(attempt) == 1; }));
    (first_.Runs(attempt) == 1 ? second_ : first_).Faults().break_after_events = 0;
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_FALSE(call->failure);
    EXPECT_EQ(call->body, WholeStream(attempt, 5));
    EXPECT_EQ(Runs(attempt), 2);
  }
}

// How a stream ends that is cut: what marks the end of its body, and whether its connection ends in order.
struct stream_cut {
  const char* name;
  fakes::replica_faults faults;
  bool proves_end;  // the end of a whole body cannot be mistaken for a cut
};

const stream_cut kStreamCuts[] = {
    {"with a length", {.breaks_in_order = true, .states_length = true}, true},
    {"in chunks", {}, true},
    {"in chunks, with the last one", {.breaks_in_order = true}, false},
    {"with neither, closed in order", {.unframed = true, .breaks_in_order = true}, false},
    {"with neither, reset", {.unframed = true}, true},
};

// A stream of two events that is cut after every number of bytes.
class stream_cut_test : public testing::Test {
 protected:
  static constexpr std::uint32_t kEvents = 2;

  // Sends a request for each cut and checks its response.
  template <class checker>
  static void CutEverywhere(const stream_cut& cut, bool staged, const std::string& path, const checker& check) {
    router_harness harness([](direct_settings& settings) { settings.deployment.budget_slack = 1'000; });
    std::vector<fake_replica*> engines;
    for (const char* name : {"dec-1", "dec-2"}) {
      replica_options options = path == "/feed/1" ? PlainReplica(name) : Engine(name, "decode");
      options.events = kEvents;
      options.event_interval = milliseconds(0);
      engines.push_back(&harness.AddReplica(options));
    }
    if (staged) {
      harness.AddReplica(Engine("pre-1", "prefill"));
    }
    harness.WriteDesiredState({.timeout_ms = 14'000});
    ASSERT_TRUE(harness.Start());
    const std::string whole = WholeStream("a1000", kEvents);
    const std::size_t first_event_end = whole.find("\n\n") + 2;
    for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
      const std::string attempt = "a" + std::to_string(1'000 + bytes);
      for (fake_replica* engine : engines) {
        engine->Faults() = cut.faults;
        engine->Faults().cut_after_bytes = bytes;
      }
      const auto call = harness.SendModel(path, attempt);
      ASSERT_TRUE(harness.RunUntil([&] { return engines[0]->Runs(attempt) + engines[1]->Runs(attempt) > 0; }));
      engines[engines[0]->Runs(attempt) > 0 ? 1 : 0]->Faults() = {};
      ASSERT_TRUE(harness.Finish(call)) << bytes;
      check(*call, WholeStream(attempt, kEvents), bytes, bytes == first_event_end);
    }
  }
};

// Guards against framing a response as complete whose stream was cut.
TEST_F(stream_cut_test, Stream_CutAtAnyByte_LooksBrokenToTheCaller) {
  for (const stream_cut& cut : kStreamCuts) {
    for (const bool staged : {true, false}) {
      CutEverywhere(cut, staged, "/chat/1", [&](const auto& call, const auto&, std::size_t bytes, bool between_events) {
        if (cut.proves_end || !between_events) {
          EXPECT_TRUE(call.failure) << cut.name << ", staged " << staged << ", after " << bytes << " bytes";
        }
      });
    }
  }
}

// Guards against a gap, a repetition or an early end when another engine continues a stream that was cut.
TEST_F(stream_cut_test, ResumableStream_CutAtAnyByte_ReachesTheCallerWhole) {
  for (const stream_cut& cut : kStreamCuts) {
    for (const bool staged : {true, false}) {
      CutEverywhere(cut, staged, "/digest/1",
                    [&](const auto& call, const auto& whole, std::size_t bytes, bool between_events) {
                      if (cut.proves_end || !between_events) {
                        EXPECT_FALSE(call.failure) << cut.name << ", after " << bytes << " bytes";
                        EXPECT_EQ(call.body, whole) << cut.name << ", after " << bytes << " bytes";
                      }
                    });
    }
  }
}

// Guards against passing on the cut stream of a service without engines as a plain answer that is whole.
TEST_F(stream_cut_test, StreamOfAPlainService_CutAtAnyByte_IsNotPassedOnAsWhole) {
  for (const stream_cut& cut : kStreamCuts) {
    CutEverywhere(cut, false, "/feed/1", [&](const auto& call, const auto&, std::size_t bytes, bool between_events) {
      if (cut.proves_end || !between_events) {
        EXPECT_TRUE(call.failure || call.Status() != 200) << cut.name << ", after " << bytes << " bytes";
      }
    });
  }
}

// Guards against taking the end of a crashed engine's connection between two events for the end of the stream.
TEST_F(model_call_test, UnframedStream_WhoseEngineCrashesBetweenEvents_GoesOnAtAnotherEngine) {
  const std::size_t first_event = WholeStream("a1", 1).size();
  SetBoth({.unframed = true, .breaks_in_order = true, .stops_at_cut = true, .cut_after_bytes = first_event});
  const auto call = harness_.SendModel("/digest/1", "a1");
  ASSERT_TRUE(harness_.RunUntil([&] { return Runs("a1") == 1; }));
  (first_.Runs("a1") == 1 ? second_ : first_).Faults() = {};
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_FALSE(call->failure);
  EXPECT_EQ(call->body, WholeStream("a1", 5));
}

// Guards against a table that grows with every stream and is emptied only by a crash of the engine.
TEST_F(model_call_test, Streams_ThatHaveEnded_AreNoLongerWatchedForCrashes) {
  const auto& suspects = harness_.Kernel().Find<suspect_tracker>("crashes");
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(harness_.Finish(harness_.SendModel("/chat/1", "a" + std::to_string(i))));
  }
  EXPECT_EQ(prefill_.Prefills(), 5);
  EXPECT_TRUE(harness_.RunUntil([&] { return suspects.RunningCount() == 0; }, kReleaseLimit));
}

// Guards against taking the end of a leaving engine's process for the end of the stream: an engine may be gone two
// seconds after its notice, in the middle of a stream.
TEST_F(model_call_test, UnframedStream_WhoseLeavingEngineIsGoneBetweenEvents_GoesOnAtAnotherEngine) {
  const std::size_t first_event = WholeStream("a1", 1).size();
  StopBothAfter(first_event);
  const auto call = harness_.SendModel("/digest/1", "a1");
  ASSERT_TRUE(harness_.RunUntil([&] { return Runs("a1") == 1; }));
  fake_replica& engine = first_.Runs("a1") == 1 ? first_ : second_;
  (&engine == &first_ ? second_ : first_).Faults() = {};
  ReportDraining(engine);
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_FALSE(call->failure);
  EXPECT_EQ(call->body, WholeStream("a1", 5));
}

// The same where nothing may continue the stream: the caller must see that it is not whole.
TEST_F(model_call_test, UnframedStream_WhoseLeavingEngineIsGoneOnAnotherRoute_LooksBrokenToTheCaller) {
  const std::size_t first_event = WholeStream("a1", 1).size();
  StopBothAfter(first_event);
  const auto call = harness_.SendModel("/chat/1", "a1");
  ASSERT_TRUE(harness_.RunUntil([&] { return Runs("a1") == 1; }));
  ReportDraining(first_.Runs("a1") == 1 ? first_ : second_);
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_TRUE(call->failure);
}

// An engine that leaves stops when its last stream has ended. The stream has all tokens that were asked for, ten in
// each event, so another engine's empty run confirms its end.
TEST_F(model_call_test, UnframedStream_AfterWhoseEndTheLeavingEngineStops_ReachesTheCallerWhole) {
  StopBothAfter(WholeStream("a1", 5).size());
  const auto call = harness_.SendModel("/digest/1", "a1", 1'000, 50);
  ASSERT_TRUE(harness_.RunUntil([&] { return Runs("a1") == 1; }));
  fake_replica& engine = first_.Runs("a1") == 1 ? first_ : second_;
  (&engine == &first_ ? second_ : first_).Faults() = {};
  ReportDraining(engine);
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_FALSE(call->failure);
  EXPECT_EQ(call->body, WholeStream("a1", 5));
}

// Guards against a false end: a leaving engine may stop in the middle of a stream, and an empty run proves nothing
// then.
TEST_F(model_call_test, UnframedStream_OfALeavingEngineThatMayHaveMore_LooksBrokenToTheCaller) {
  StopBothAfter(WholeStream("a1", 5).size());
  const auto call = harness_.SendModel("/digest/1", "a1", 1'000, 51);
  ASSERT_TRUE(harness_.RunUntil([&] { return Runs("a1") == 1; }));
  fake_replica& engine = first_.Runs("a1") == 1 ? first_ : second_;
  (&engine == &first_ ? second_ : first_).Faults() = {};
  ReportDraining(engine);
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_TRUE(call->failure);
  EXPECT_EQ(call->body, WholeStream("a1", 5));
}

TEST_F(model_call_test, Stream_ThatBreaksOffOnAnotherRoute_LooksBrokenToTheCaller) {
  first_.Faults().break_after_events = 2;
  second_.Faults().break_after_events = 2;
  const auto call = harness_.SendModel("/chat/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_TRUE(call->failure);
  EXPECT_EQ(Runs("a1"), 1);
}

// A request whose prefill fails is refused as not run, and the decode memory that was reserved for it must be released.
TEST_F(model_call_test, Handle_ThatLapsesBeforeTheDecode_LeavesNothingReserved) {
  prefill_.Faults().full = true;
  const auto call = harness_.SendModel("/chat/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_EQ(Runs("a1"), 0);
  EXPECT_TRUE(harness_.RunUntil([this] { return IsAllFreed(); }, kReleaseLimit));
}

// An engine that switches its stage grants reservations and refuses runs, so each prefill for it is wasted. Late
// execution of stage orders wasted 201 prefills in one day.
TEST_F(model_call_test, Engine_ThatExecutesAnOrder_GetsNoMoreRequests) {
  first_.Faults().switching_stage = true;
  for (int i = 0; i < 30; ++i) {
    const auto call = harness_.SendModel("/digest/1", "a" + std::to_string(i));
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->body, WholeStream("a" + std::to_string(i), 5));
  }
  EXPECT_LE(prefill_.Prefills(), 32) << "prompts were prefilled for an engine that refuses runs";
  first_.Faults().switching_stage = false;
  EXPECT_TRUE(harness_.RunUntil([this] {
    static int extra_calls = 0;
    return harness_.Finish(harness_.SendModel("/digest/1", "b" + std::to_string(++extra_calls))) &&
           first_.TotalRuns() > 0;
  })) << "the engine must be used again after the switch";
}

// The pause of an engine that switches its stage must end once its entry shows the new stage. Otherwise the engine is
// used neither for prefill nor for decode.
TEST_F(model_call_test, Engine_ThatHasBecomeAPrefillEngine_PrefillsPrompts) {
  first_.Faults().switching_stage = true;
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(harness_.Finish(harness_.SendModel("/digest/1", "a" + std::to_string(i))));
  }
  first_.SetStage("prefill");
  first_.Faults().switching_stage = false;
  harness_.RunFor(milliseconds(1'200));
  first_.Register(harness_.Platform().Tables());
  prefill_.Unregister(harness_.Platform().Tables());
  harness_.RunFor(milliseconds(1'500));
  for (int i = 0; i < 10; ++i) {
    const auto call = harness_.SendModel("/digest/1", "b" + std::to_string(i));
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->body, WholeStream("b" + std::to_string(i), 5));
    harness_.RunFor(milliseconds(200));
  }
  EXPECT_EQ(first_.Prefills(), 10);
}

// Guards against refusing requests that wait while the entries of all engines are missing for a moment.
TEST_F(model_call_test, WaitingCall_WhileNoEngineIsRegistered_KeepsItsPlace) {
  SetBoth({.full = true});
  const auto call = harness_.SendModel("/chat/1", "a1");
  harness_.RunFor(milliseconds(100));
  for (fake_replica* engine : {&first_, &second_}) {
    engine->Unregister(harness_.Platform().Tables());
  }
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Endpoints().Size() == 1; }));
  harness_.RunFor(milliseconds(200));
  SetBoth({});
  for (fake_replica* engine : {&first_, &second_}) {
    engine->Register(harness_.Platform().Tables());
  }
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->body, WholeStream("a1", 5));
}

TEST_F(model_call_test, CallerThatLeaves_WhileItsStreamRuns_FreesTheEngine) {
  first_.Faults().never_responds = true;
  second_.Faults().never_responds = true;
  const auto call = harness_.SendModel("/chat/1", "a1");
  ASSERT_TRUE(harness_.RunUntil([this] { return Runs("a1") == 1; }));
  call->call->Cancel();
  EXPECT_TRUE(harness_.RunUntil([this] { return IsAllFreed(); }, kReleaseLimit));
  EXPECT_TRUE(harness_.RunUntil([this] { return harness_.EndpointTracker().LocalUses().empty(); }, kReleaseLimit));
}

TEST_F(model_call_test, CallerThatDisconnects_WhileItWaitsForCapacity_TakesNoReservation) {
  const auto running = harness_.SendModel("/chat/1", "big", 1'000, 100);
  first_.Faults().full = true;
  second_.Faults().full = true;
  const auto call = harness_.SendModel("/chat/1", "a1");
  harness_.RunFor(milliseconds(100));
  call->call->Cancel();
  harness_.RunFor(milliseconds(50));
  first_.Faults().full = false;
  second_.Faults().full = false;
  harness_.RunFor(milliseconds(200));
  EXPECT_EQ(Runs("a1"), 0);
  EXPECT_TRUE(IsAllFreed());
}

// Without any prefill engine, the decode engines prefill prompts themselves, which is slow but serves the calls.
TEST_F(model_call_test, Call_WithoutPrefillEngines_IsServedByADecodeEngineAlone) {
  prefill_.Unregister(harness_.Platform().Tables());
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Endpoints().Size() == 2; }));
  const auto call = harness_.SendModel("/chat/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->body, WholeStream("a1", 5));
}

// Each engine of 10,000 tokens has room for four requests of 2,000 tokens, because some memory stays free for responses
// that get longer than estimated. The other requests must wait until one has ended, and all must be served.
TEST_F(model_call_test, Calls_BeyondTheMemory_WaitAndAreAllServed) {
  std::vector<caller_exchange_ptr> calls;
  for (int i = 0; i < 30; ++i) {
    calls.push_back(harness_.SendModel("/chat/1", "a" + std::to_string(i), 1'900, 100));
  }
  for (int i = 0; i < 30; ++i) {
    ASSERT_TRUE(harness_.Finish(calls[static_cast<std::size_t>(i)]));
    EXPECT_EQ(calls[static_cast<std::size_t>(i)]->body, WholeStream("a" + std::to_string(i), 5)) << i;
  }
  EXPECT_TRUE(IsAllFreed());
}

// A sustained overload: one engine with memory for one request at a time. Its streams take 300 ms.
class overload_test : public testing::Test {
 protected:
  overload_test() {
    harness_.AddReplica(Engine("pre-1", "prefill"));
    replica_options options = Engine("dec-1", "decode", 1'200);
    options.event_interval = milliseconds(60);
    engine_ = &harness_.AddReplica(options);
    harness_.WriteDesiredState({.timeout_ms = 14'000, .memory_tokens = 1'200});
  }
  void SetUp() override {
    ASSERT_TRUE(harness_.Start());
    // The router learns the largest time budget of a route from its callers.
    ASSERT_TRUE(harness_.Finish(Send("first", milliseconds(14'000))));
    engine_->Faults().full = true;
  }

  caller_exchange_ptr Send(const std::string& attempt, milliseconds budget) {
    const auto call = harness_.SendModel("/chat/1", attempt, 1'000, 100, budget);
    harness_.RunFor(milliseconds(20));
    return call;
  }

  // Frees the engine and returns which of the two requests runs first.
  std::string FirstRun(const std::string& one, const std::string& other) {
    engine_->Faults().full = false;
    harness_.RunUntil([&] { return engine_->Runs(one) + engine_->Runs(other) > 0; });
    return engine_->Runs(one) > 0 ? one : other;
  }

  router_harness harness_;
  fake_replica* engine_ = nullptr;
};

// First attempts have different time budgets (12 to 14 s), so a smaller budget alone must not mark a retry. Otherwise
// three of four first attempts would be served after all other requests.
TEST_F(overload_test, FirstAttempt_WithASmallerBudgetThanOthers_KeepsItsPlaceInTheQueue) {
  const auto earlier = Send("earlier", milliseconds(12'000));
  const auto later = Send("later", milliseconds(14'000));
  EXPECT_EQ(FirstRun("earlier", "later"), "earlier");
}

// A retry after a refusal has already missed its latency target; a request that can still meet it has priority.
TEST_F(overload_test, Retry_WhileAFirstAttemptWaits_IsServedAfterIt) {
  const auto returned = Send("returned", milliseconds(9'000));
  const auto fresh = Send("fresh", milliseconds(14'000));
  EXPECT_EQ(FirstRun("returned", "fresh"), "fresh");
}

// Guards against late requests taking the capacity for which requests that can still meet their target wait at other
// routers.
TEST_F(overload_test, LateRequest_WhileOneInTimeWaitsAtAnotherRouter_TakesNoCapacity) {
  datagram_socket peer(harness_.Kernel().Context(), host_port{"127.0.0.1", 0}, [](const host_port&, const message&) {});
  ASSERT_TRUE(peer.Start());
  router_state state;
  state.name = "router-2";
  state.incarnation = 7;
  state.waiting = {{ServiceKey("llm"), 1}};
  const auto send_state = [&] {
    ++state.sequence;
    peer.Send({"127.0.0.1", harness_.Settings().deployment.first_internal_port}, message(state));
    harness_.RunFor(milliseconds(100));
  };
  send_state();
  const auto call = Send("returned", milliseconds(9'000));
  engine_->Faults().full = false;
  for (int i = 0; i < 4; ++i) {
    send_state();
  }
  EXPECT_EQ(engine_->Runs("returned"), 0);
  state.waiting.clear();
  send_state();
  EXPECT_EQ(engine_->Runs("returned"), 1);
  peer.Stop();
}

// Requests of two priorities for one engine. `adaptive`: the setting.
class urgency_test : public testing::TestWithParam<const char*> {
 protected:
  urgency_test() : harness_([](direct_settings& settings) { settings.adaptive = GetParam(); }) {
    prefill_ = &harness_.AddReplica(Engine("pre-1", "prefill"));
    engine_ = &harness_.AddReplica(Engine("dec-1", "decode", 1'200));
    harness_.WriteDesiredState({.timeout_ms = 14'000, .memory_tokens = 1'200, .has_urgent_route = true});
  }
  void SetUp() override {
    ASSERT_TRUE(harness_.Start());
    engine_->Faults().full = true;
  }

  caller_exchange_ptr Send(const std::string& path, const std::string& attempt) {
    const auto call = harness_.SendModel(path, attempt, 1'000, 100);
    harness_.RunFor(milliseconds(20));
    // The process may have been suspended during all of that time. What needs no waiting is done then.
    harness_.Kernel().Context().restart();
    harness_.Kernel().Context().poll();
    return call;
  }

  // Values of the priority header that the engine has received for the attempt; "" for a request without it.
  static std::set<std::string> Priorities(const fake_replica& engine, const std::string& attempt) {
    std::set<std::string> values;
    for (const http_request& request : engine.Requests()) {
      if (FindHeader(request.headers, "Persimmonchute-Attempt-Id") == attempt) {
        values.insert(std::string(FindHeader(request.headers, "Persimmonchute-Request-Priority")));
      }
    }
    return values;
  }

  // Lets both calls run and returns the one that runs first.
  std::string FirstRun(const caller_exchange_ptr& one, const caller_exchange_ptr& other) {
    engine_->Faults().full = false;
    harness_.RunUntil([&] { return engine_->Runs("usual") + engine_->Runs("urgent") > 0; });
    const std::string first = engine_->Runs("usual") > 0 ? "usual" : "urgent";
    EXPECT_TRUE(harness_.Finish(one));
    EXPECT_TRUE(harness_.Finish(other));
    return first;
  }

  router_harness harness_;
  fake_replica* prefill_ = nullptr;
  fake_replica* engine_ = nullptr;
};

using adaptive_urgency_test = urgency_test;
INSTANTIATE_TEST_SUITE_P(settings, adaptive_urgency_test, testing::Values("auto", "on"));

// Guards against urgent requests that wait behind others, and against engines that preempt their streams.
TEST_P(adaptive_urgency_test, UrgentRequest_AfterALessUrgentOne_GoesFirstAtRouterAndEngines) {
  const auto usual = Send("/chat/1", "usual");
  const auto urgent = Send("/urgent/1", "urgent");
  EXPECT_EQ(FirstRun(usual, urgent), "urgent");
  for (const fake_replica* engine : {prefill_, engine_}) {
    EXPECT_EQ(Priorities(*engine, "urgent"), std::set<std::string>{"0"});
    EXPECT_EQ(Priorities(*engine, "usual"), std::set<std::string>{"9"});
  }
}

// Guards against a request that waits for seconds only to be refused, and against callers that all come back at once or
// later than they can.
TEST_P(adaptive_urgency_test, Request_WhosePredictedWaitIsTooLong_IsRefusedAtOnceWithItsOwnReturnTime) {
  // Nothing starts for 1.5 s, so that each request before another one is predicted to take as long.
  std::vector<caller_exchange_ptr> waiting = {Send("/chat/1", "waiting-0")};
  harness_.RunFor(milliseconds(1'500));
  waiting.push_back(Send("/chat/1", "waiting-1"));
  waiting.push_back(Send("/chat/1", "waiting-2"));
  std::set<std::string> return_times;
  for (const char* attempt : {"one", "other"}) {
    const auto call = Send("/chat/1", attempt);
    ASSERT_TRUE(call->done);
    EXPECT_EQ(call->Status(), 503);
    EXPECT_NE(call->body.find("wait_too_long"), std::string::npos) << call->body;
    const double seconds = std::stod(call->Header("Retry-After"));
    EXPECT_GT(seconds, 0);
    EXPECT_LE(seconds, 14.0 / 3);
    return_times.insert(call->Header("Retry-After"));
  }
  EXPECT_EQ(return_times.size(), 2U);
}

using fixed_urgency_test = urgency_test;
INSTANTIATE_TEST_SUITE_P(settings, fixed_urgency_test, testing::Values("off"));

// Guards against a change for deployments that do not ask for the adaptive policy.
TEST_P(fixed_urgency_test, Priorities_WithoutTheAdaptivePolicy_ChangeNeitherOrderNorHeaders) {
  const auto usual = Send("/chat/1", "usual");
  const auto urgent = Send("/urgent/1", "urgent");
  EXPECT_EQ(FirstRun(usual, urgent), "usual");
  for (const fake_replica* engine : {prefill_, engine_}) {
    EXPECT_EQ(Priorities(*engine, "urgent"), std::set<std::string>{""});
    EXPECT_EQ(Priorities(*engine, "usual"), std::set<std::string>{""});
  }
}

// The start of a burst: many prompts arrive at once for one prefill engine, while the decode engines have free memory.
class prompt_burst_test : public testing::Test {
 protected:
  static constexpr milliseconds kTarget{900};  // target latency of the routes, to the first event

  prompt_burst_test() {
    replica_options prefill = Engine("pre-1", "prefill");
    prefill.tokens_per_ms = 20;
    prefill_ = &harness_.AddReplica(std::move(prefill));
    for (const char* name : {"dec-1", "dec-2", "dec-3"}) {
      replica_options engine = Engine(name, "decode");
      engine.memory_tokens = 16'000;
      engine.tokens_per_ms = 20;
      decode_.push_back(&harness_.AddReplica(std::move(engine)));
    }
    harness_.WriteDesiredState({.timeout_ms = 14'000, .memory_tokens = 16'000});
  }
  void SetUp() override { ASSERT_TRUE(harness_.Start()); }

  std::vector<caller_exchange_ptr> SendBurst(int count, std::uint32_t prompt_tokens) {
    std::vector<caller_exchange_ptr> calls;
    for (int i = 0; i < count; ++i) {
      calls.push_back(harness_.SendModel("/chat/1", "a" + std::to_string(i), prompt_tokens));
    }
    return calls;
  }

  router_harness harness_;
  fake_replica* prefill_ = nullptr;
  std::vector<fake_replica*> decode_;
};

// The prefill engine alone would need 1,200 ms for these prompts, so four of them would miss the target.
TEST_F(prompt_burst_test, ShortPrompts_BeyondThePrefillEngine_ArePrefilledByDecodeEnginesInTime) {
  const auto calls = SendBurst(16, 1'500);
  EXPECT_TRUE(harness_.RunUntil(
      [&] { return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->done; }); }, kTarget));
  for (const caller_exchange_ptr& call : calls) {
    EXPECT_EQ(call->Status(), 200);
    EXPECT_FALSE(call->failure);
  }
  EXPECT_GT(prefill_->Prefills(), 0);
  for (const fake_replica* engine : decode_) {
    EXPECT_LE(engine->MaxPendingPrompts(), 1U) << "streams would wait for several prefills at once";
  }
  EXPECT_TRUE(harness_.EndpointTracker().LocalUses().empty());
}

// While a decode engine prefills a long prompt, the gaps in its streams exceed what their callers accept.
TEST_F(prompt_burst_test, LongPrompts_BeyondThePrefillEngine_WaitForIt) {
  const auto calls = SendBurst(5, 4'000);
  for (const caller_exchange_ptr& call : calls) {
    ASSERT_TRUE(harness_.Finish(call));
  }
  for (const fake_replica* engine : decode_) {
    EXPECT_TRUE(engine->LocalPrefillTokens().empty());
  }
}

// A long prompt at the head of the queue must not block short prompts from engines that only they can use.
TEST_F(prompt_burst_test, ShortPromptBehindLongOnes_IsPrefilledByADecodeEngine) {
  const auto calls = SendBurst(5, 4'000);
  harness_.RunFor(milliseconds(20));
  const auto call = harness_.SendModel("/chat/1", "short", 1'000);
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(calls.back()->Status(), 0) << "the last long prompt must still wait";
  for (const caller_exchange_ptr& other : calls) {
    ASSERT_TRUE(harness_.Finish(other));
  }
}

// Engines of two software versions serve side by side.
class stream_version_test : public testing::Test {
 protected:
  stream_version_test() : prefill_(harness_.AddReplica(Engine("pre-1", "prefill"))) {
    for (const char* name : {"old-1", "old-2", "new-1", "new-2", "new-3"}) {
      replica_options options = Engine(name, "decode");
      options.version = std::string(name).substr(0, 3);
      options.event_interval = milliseconds(10);
      engines_.push_back(&harness_.AddReplica(options));
    }
    harness_.WriteDesiredState({.timeout_ms = 14'000});
  }
  void SetUp() override { ASSERT_TRUE(harness_.Start()); }

  // Versions of the engines that have run the attempt, in order of the engines.
  std::string VersionsOf(const std::string& attempt) const {
    std::string versions;
    for (const fake_replica* engine : engines_) {
      versions += engine->Runs(attempt) > 0 ? engine->Name().substr(0, 3) + " " : "";
    }
    return versions;
  }

  // Starts a stream, and leaves after its first event. Returns the version that began it.
  std::string BeginStream(const std::string& attempt) {
    const auto call = harness_.SendModel("/digest/1", attempt);
    EXPECT_TRUE(harness_.RunUntil([&] { return !call->body.empty(); }));
    call->call->Cancel();
    EXPECT_TRUE(harness_.Finish(call));
    return VersionsOf(attempt);
  }

  caller_exchange_ptr Resume(const std::string& attempt, const std::string& resumed) {
    return harness_.SendModel("/digest/1", attempt, 1'000, 100, milliseconds(10'000),
                              {{"Resumes", resumed}, {"Last-Event-Id", "1"}});
  }

  router_harness harness_;
  fake_replica& prefill_;
  std::vector<fake_replica*> engines_;
};

// Guards against joining parts of two versions within one answer.
TEST_F(stream_version_test, Stream_ThatBreaksOff_GoesOnAtTheVersionThatBeganIt) {
  for (int i = 0; i < 10; ++i) {
    const std::string attempt = "a" + std::to_string(i);
    for (fake_replica* engine : engines_) {
      engine->Faults().break_after_events = 2;
    }
    const auto call = harness_.SendModel("/digest/1", attempt);
    ASSERT_TRUE(harness_.RunUntil([&] { return !VersionsOf(attempt).empty(); }));
    const std::string version = VersionsOf(attempt);
    for (fake_replica* engine : engines_) {
      engine->Faults().break_after_events = engine->Runs(attempt) > 0 ? 2 : 0;
    }
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_FALSE(call->failure);
    EXPECT_EQ(VersionsOf(attempt), version + version);
    harness_.RunFor(milliseconds(100));
  }
}

// Guards against waiting in vain for an ejected engine, because the pool has healthy ones that the stream cannot use.
TEST_F(stream_version_test, Stream_WhoseOnlyOtherEngineIsEjected_GoesOnThere) {
  for (std::size_t i = 1; i < engines_.size(); ++i) {
    engines_[i]->Faults().full = true;
  }
  const auto engines = harness_.EndpointTracker().ListEndpoints("llm", endpoint_role::kDecode);
  const auto ejected = std::find_if(engines.begin(), engines.end(),
                                    [](const chosen_endpoint& engine) { return engine.name.value == "old-2"; });
  ASSERT_NE(ejected, engines.end());
  constexpr milliseconds kHealthUpdate(400);  // longer than the period between health updates
  harness_.EndpointTracker().RecordAnswer(*ejected);
  harness_.RunFor(kHealthUpdate);  // health is tracked from the first answer on
  for (std::uint32_t i = 0; i < health_settings{}.failures_to_eject; ++i) {
    harness_.EndpointTracker().RecordFailure(*ejected);
  }
  harness_.RunFor(kHealthUpdate);
  engines_[0]->Faults().break_after_events = 2;
  const auto call = harness_.SendModel("/digest/1", "a1");
  ASSERT_TRUE(harness_.RunUntil([&] { return engines_[0]->Runs("a1") == 1; }));
  engines_[1]->Faults().full = false;
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_FALSE(call->failure);
  EXPECT_EQ(engines_[1]->Runs("a1"), 1);
}

// Guards against going on at another version because the last engine of the first one is gone.
TEST_F(stream_version_test, Stream_WhoseVersionHasNoOtherEngine_LooksBrokenToTheCaller) {
  engines_[1]->Unregister(harness_.Platform().Tables());
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Endpoints().Size() == 5; }));
  for (std::size_t i = 2; i < engines_.size(); ++i) {
    engines_[i]->Faults().full = true;
  }
  engines_[0]->Faults().break_after_events = 2;
  const time_point begin = timer_service::Now();
  const auto call = harness_.SendModel("/digest/1", "a1");
  ASSERT_TRUE(harness_.RunUntil([&] { return VersionsOf("a1") == "old "; }));
  for (std::size_t i = 2; i < engines_.size(); ++i) {
    engines_[i]->Faults().full = false;
  }
  engines_[0]->Unregister(harness_.Platform().Tables());
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_TRUE(call->failure);
  EXPECT_EQ(VersionsOf("a1"), "old ");
  EXPECT_LT(timer_service::Now() - begin, kDrainTime);
}

TEST_F(stream_version_test, ResumedStream_OfThisRouter_GoesOnAtTheVersionThatBeganIt) {
  for (int i = 0; i < 10; ++i) {
    const std::string first = "a" + std::to_string(i);
    const std::string second = "b" + std::to_string(i);
    const std::string version = BeginStream(first);
    const auto call = Resume(second, first);
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 200);
    EXPECT_EQ(VersionsOf(second), version);
  }
}

// Guards against a guess: if nobody knows which version began a stream, it must not go on.
TEST_F(stream_version_test, ResumedStream_ThatNobodyKnows_IsRefusedWithoutRunning) {
  const auto call = Resume("b1", "unknown");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_NE(call->Header("Retry-After"), "");
  EXPECT_EQ(VersionsOf("b1"), "");
}

// Guards against waiting in the queue for engines of a version that is gone.
TEST_F(stream_version_test, ResumedStream_WhoseVersionIsGone_IsRefusedAtOnce) {
  for (std::size_t i = 2; i < engines_.size(); ++i) {
    engines_[i]->Faults().full = true;
  }
  ASSERT_EQ(BeginStream("a1"), "old ");
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    engines_[i]->Faults().full = false;
    if (i < 2) {
      engines_[i]->Unregister(harness_.Platform().Tables());
    }
  }
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Endpoints().Size() == 4; }));
  const time_point begin = timer_service::Now();
  const auto call = Resume("b1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_EQ(VersionsOf("b1"), "");
  EXPECT_LT(timer_service::Now() - begin, milliseconds(200));
}

// The platform binds the events of a stream to one version, not the prefill of its prompt (docs/platform.md).
TEST_F(stream_version_test, NewStream_PrefilledByAnotherVersion_IsServed) {
  const auto call = harness_.SendModel("/digest/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->body, WholeStream("a1", 5));
  EXPECT_EQ(prefill_.Prefills(), 1);
}

// Guards against taking an engine that restarts under its name for one of the version that it had before.
TEST_F(stream_version_test, ResumedStream_WhoseEnginesRestartWithAnotherVersion_IsRefused) {
  for (std::size_t i = 2; i < engines_.size(); ++i) {
    engines_[i]->Faults().full = true;
  }
  ASSERT_EQ(BeginStream("a1"), "old ");
  for (std::size_t i = 0; i < 2; ++i) {
    json entry = json::parse(engines_[i]->EntryText(false, 2));
    entry["version"] = "new";
    entry["born"] = 2;
    harness_.Platform().Tables().Commit({{{"servers", engines_[i]->Name()}, entry.dump(), false, std::nullopt}});
  }
  ASSERT_TRUE(harness_.RunUntil([this] {
    const auto* entry = harness_.Directory().Endpoints().Find(endpoint_name{engines_[1]->Name()});
    return entry != nullptr && entry->version == "new";
  }));
  const auto call = Resume("b1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_EQ(VersionsOf("b1"), "");
}

// Another router of the deployment, as far as the origins of streams are concerned.
class peer_router {
 public:
  explicit peer_router(router_harness& harness)
      : harness_(harness),
        socket_(harness.Kernel().Context(), host_port{"127.0.0.1", 0},
                [this](const host_port&, const message& received) { Receive(received); }) {
    EXPECT_TRUE(socket_.Start());
    state_.name = "router-2";
    state_.incarnation = 7;
  }
  ~peer_router() { socket_.Stop(); }

  // Makes itself known, again after each change of its state.
  void Announce() {
    ++state_.sequence;
    Send(message(state_));
    harness_.RunFor(milliseconds(20));
  }
  void Restart() { ++state_.incarnation; }

  // Announces versions of the model service.
  void SendVersions(const std::vector<std::string>& announced) { Send(message(MakeVersions(announced))); }

  std::map<std::uint64_t, std::uint64_t> origins;  // version keys by attempt; received and known
  std::vector<std::string> versions;               // of the model service that it knows; empty: it does not answer
  int copies_received = 0;
  bool answers = true;

 private:
  void Send(const message& value) {
    socket_.Send({"127.0.0.1", harness_.Settings().deployment.first_internal_port}, value);
  }
  void Receive(const message& received) {
    if (!answers) {
      return;
    }
    if (const auto* copies = std::get_if<hold_stream_origins>(&received)) {
      stream_origins_held held{state_.incarnation, {}};
      for (const stream_origin_copy& copy : copies->origins) {
        origins[copy.attempt] = copy.version;
        held.attempts.push_back(copy.attempt);
        ++copies_received;
      }
      Send(message(held));
    } else if (const auto* find = std::get_if<find_stream_origin>(&received)) {
      const auto found = origins.find(find->attempt);
      Send(message(stream_origin_found{find->attempt, found == origins.end() ? 0 : found->second}));
    } else if (const auto* asked = std::get_if<ask_versions>(&received); asked && !versions.empty()) {
      Send(message(versions_answer{asked->question, MakeVersions(versions)}));
    }
  }
  static versions_known MakeVersions(const std::vector<std::string>& named) {
    versions_known known{ServiceKey("llm"), {}, {}};
    for (const std::string& version : named) {
      known.candidates.push_back(VersionKey("llm", version));
    }
    return known;
  }

  router_harness& harness_;
  datagram_socket socket_;
  router_state state_;
};

// Guards against losing the version of a stream with the router that began it.
TEST_F(stream_version_test, NewStream_WhileTwoVersionsServe_IsCopiedToAnotherRouter) {
  peer_router peer(harness_);
  peer.Announce();
  const std::string version = BeginStream("a1");
  ASSERT_TRUE(harness_.RunUntil([&] { return peer.origins.contains(OriginKey("a1")); }, milliseconds(500)));
  EXPECT_EQ(peer.origins.at(OriginKey("a1")), VersionKey("llm", version.substr(0, 3)));
  peer.Announce();
  harness_.RunFor(milliseconds(300));
  EXPECT_EQ(peer.copies_received, 1) << "an acknowledged copy is sent again";
  peer.Restart();
  peer.Announce();
  EXPECT_TRUE(harness_.RunUntil([&] { return peer.copies_received == 2; }, milliseconds(500)))
      << "a router that has restarted has lost its copy";
}

// Guards against losing the version of a stream with all routers.
TEST_F(stream_version_test, NewStream_WhileTwoVersionsServe_IsWrittenToTheStore) {
  const std::string version = BeginStream("a1");
  const std::string attempt = fmt::format("{:016x}", OriginKey("a1"));
  const std::string key = fmt::format("{:016x}", VersionKey("llm", version.substr(0, 3)));
  EXPECT_TRUE(harness_.RunUntil(
      [&] {
        const auto& tables = harness_.Platform().Tables();
        const auto rows = tables.ChangesAfter("persimmon_origins", 0);
        return std::any_of(rows->begin(), rows->end(), [&](const auto& row) {
          const json content = json::parse(tables.Read(row)->value);
          return content["origins"].value(key, json::array()) == json::array({attempt});
        });
      },
      milliseconds(500)));
}

TEST_F(stream_version_test, ResumedStream_OfAnotherRouter_GoesOnAtTheVersionThatBeganIt) {
  peer_router peer(harness_);
  for (int i = 0; i < 10; ++i) {
    peer.Announce();
    const std::string version = i % 2 == 0 ? "old" : "new";
    const std::string first = "first-" + std::to_string(i);
    peer.origins[OriginKey(first)] = VersionKey("llm", version);
    const auto call = Resume("b" + std::to_string(i), first);
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 200);
    EXPECT_EQ(VersionsOf("b" + std::to_string(i)), version + " ");
  }
}

// A router that holds copies may be gone without a word; the caller must not wait for it.
TEST_F(stream_version_test, ResumedStream_WhoseHolderIsSilent_IsRefusedWithinMilliseconds) {
  peer_router peer(harness_);
  peer.answers = false;
  peer.Announce();
  const time_point begin = timer_service::Now();
  const auto call = Resume("b1", "first");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_EQ(VersionsOf("b1"), "");
  EXPECT_LT(timer_service::Now() - begin, kReleaseLimit);
}

// Guards against streams that only their own router knows when a second version appears: it may be gone by then.
TEST(stream_copy_test, OpenStream_BeforeASecondVersionAppears_IsCopiedOnce) {
  router_harness harness;
  replica_options options = Engine("pre-1", "prefill");
  options.version = "old";
  harness.AddReplica(options);
  options = Engine("dec-1", "decode");
  options.version = "old";
  options.event_interval = milliseconds(200);
  harness.AddReplica(options);
  harness.WriteDesiredState({.timeout_ms = 14'000});
  ASSERT_TRUE(harness.Start());
  peer_router peer(harness);
  peer.Announce();
  const auto call = harness.SendModel("/digest/1", "a1");
  ASSERT_TRUE(harness.RunUntil([&] { return !call->body.empty(); }));
  EXPECT_TRUE(harness.RunUntil([&] { return peer.copies_received == 1; }, milliseconds(250)));
  EXPECT_EQ(peer.origins[OriginKey("a1")], VersionKey("llm", "old"));
  options.name = "dec-2";
  options.version = "new";
  harness.AddReplica(options);
  peer.Announce();
  harness.RunFor(milliseconds(300));
  EXPECT_EQ(peer.copies_received, 1);
}

// A router that starts, not for the first time, and sees one version.
class version_record_test : public testing::Test {
 protected:
  static constexpr const char* kTable = "persimmon_versions";
  // After which engines that live have reported themselves to a store that has come back.
  static constexpr milliseconds kEnginesBack{3'000};

  version_record_test() : harness_([](direct_settings& settings) { settings.deployment.first_start = false; }) {
    replica_options options = Engine("pre-1", "prefill");
    options.version = "new";
    harness_.AddReplica(options);
    options = Engine("dec-1", "decode");
    options.version = "new";
    engine_ = &harness_.AddReplica(options);
    harness_.WriteDesiredState({.timeout_ms = 14'000});
  }

  int StatusOfResumed() {
    const auto call = harness_.SendModel("/digest/1", "b1", 1'000, 100, milliseconds(10'000),
                                         {{"Resumes", "unknown"}, {"Last-Event-Id", "2"}});
    EXPECT_TRUE(harness_.Finish(call));
    return call->Status();
  }

  std::optional<fakes::stored_row> RecordRow() { return harness_.Platform().Tables().Read({kTable, "llm"}); }

  std::vector<std::string> RecordedVersions() {
    const auto row = RecordRow();
    const json record = row ? json::parse(row->value, nullptr, false) : json();
    return record.is_object() ? record["versions"].get<std::vector<std::string>>() : std::vector<std::string>();
  }

  router_harness harness_;
  fake_replica* engine_ = nullptr;
};

// Guards against taking the only version that serves for the one that began the stream.
TEST_F(version_record_test, ResumedStream_AfterARestartWithinARoll_IsRefused) {
  harness_.Platform().Tables().Commit(
      {{{kTable, "llm"}, R"({"schema":1,"versions":["new","old"]})", false, std::nullopt}});
  ASSERT_TRUE(harness_.Start());
  EXPECT_EQ(StatusOfResumed(), 503);
  EXPECT_EQ(engine_->TotalRuns(), 0);
}

// Guards against trust in a record that the store has brought back from before a release: until the engines have
// reported themselves again, neither the record nor the list names the newer version.
TEST_F(version_record_test, ResumedStream_AfterARestartWithARecordFromBeforeADrill_IsRefusedUntilEnginesAreBack) {
  auto& tables = harness_.Platform().Tables();
  tables.Commit({{{kTable, "llm"}, R"({"schema":1,"versions":["new"],"era":1})", false, std::nullopt}});
  tables.SaveCopy();
  tables.Restore();
  ASSERT_TRUE(harness_.Start());
  EXPECT_EQ(StatusOfResumed(), 503);
  EXPECT_EQ(engine_->TotalRuns(), 0);
  harness_.RunFor(kEnginesBack);
  EXPECT_EQ(StatusOfResumed(), 200);
  EXPECT_TRUE(harness_.RunUntil([this] { return json::parse(RecordRow()->value).value("era", 0U) == 2U; }))
      << "routers that start later must know that the record is complete";
}

// Guards against refusing streams after each restart: with one version for long, any engine can continue them.
TEST_F(version_record_test, ResumedStream_AfterARestartWithOneVersion_GoesOn) {
  harness_.Platform().Tables().Commit({{{kTable, "llm"}, R"({"schema":1,"versions":["new"]})", false, std::nullopt}});
  ASSERT_TRUE(harness_.Start());
  EXPECT_EQ(StatusOfResumed(), 200);
}

TEST_F(version_record_test, Record_WhenAVersionAppears_IsWrittenOnce) {
  ASSERT_TRUE(harness_.Start());
  ASSERT_TRUE(harness_.RunUntil([this] { return RecordedVersions() == std::vector<std::string>{"new"}; }));
  replica_options options = Engine("dec-2", "decode");
  options.version = "newer";
  harness_.AddReplica(options);
  ASSERT_TRUE(harness_.RunUntil([this] { return RecordedVersions().size() == 2; }));
  const std::uint64_t version = RecordRow()->version;
  harness_.RunFor(milliseconds(1'200));
  EXPECT_EQ(RecordRow()->version, version);
}

// Guards against an old list of endpoints: a router that has not heard of a new version yet joins it with another one.
TEST_F(version_record_test, ResumedStream_WhenTheRecordNamesAnUnknownVersion_IsRefused) {
  ASSERT_TRUE(harness_.Start());
  ASSERT_TRUE(harness_.RunUntil([this] { return RecordedVersions() == std::vector<std::string>{"new"}; }));
  harness_.Platform().Tables().Commit(
      {{{kTable, "llm"}, R"({"schema":1,"versions":["new","newer"]})", false, std::nullopt}});
  EXPECT_EQ(StatusOfResumed(), 503);
  EXPECT_EQ(engine_->TotalRuns(), 0);
}

// Guards against streams at a version of which other routers cannot know yet.
TEST_F(version_record_test, NewVersion_UntilItIsRecorded_GetsNoStreams) {
  ASSERT_TRUE(harness_.Start());
  ASSERT_TRUE(harness_.RunUntil([this] { return RecordedVersions() == std::vector<std::string>{"new"}; }));
  harness_.Platform().Faults().refused_path = "/rows-tx";
  replica_options options = Engine("dec-2", "decode");
  options.version = "newer";
  fake_replica& joined = harness_.AddReplica(options);
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Endpoints().Size() == 3; }));
  engine_->Faults().full = true;
  const auto call = harness_.SendModel("/digest/1", "a1");
  harness_.RunFor(milliseconds(300));
  EXPECT_EQ(joined.TotalRuns(), 0);
  harness_.Platform().Faults().refused_path.clear();
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(joined.TotalRuns(), 1);
}

// Guards against the loss of all origins with all routers: streams that were taken up afterwards were refused.
TEST_F(version_record_test, ResumedStream_AfterAllRoutersWereLost_GoesOnAtTheVersionInTheStore) {
  harness_.Platform().Tables().Commit(
      {{{kTable, "llm"}, R"({"schema":1,"versions":["new","old"]})", false, std::nullopt}});
  const json origins = {{fmt::format("{:016x}", VersionKey("llm", "new")), {fmt::format("{:016x}", OriginKey("a1"))}},
                        {fmt::format("{:016x}", VersionKey("llm", "old")), {fmt::format("{:016x}", OriginKey("a2"))}}};
  harness_.Platform().Tables().Commit({{{"persimmon_origins", "127.0.0.9:7000/1/0"},
                                        json{{"schema", 1}, {"origins", origins}}.dump(),
                                        false,
                                        std::nullopt}});
  ASSERT_TRUE(harness_.Start());
  const auto resume = [this](const char* attempt, const char* resumed) {
    const auto call = harness_.SendModel("/digest/1", attempt, 1'000, 100, milliseconds(10'000),
                                         {{"Resumes", resumed}, {"Last-Event-Id", "2"}});
    EXPECT_TRUE(harness_.Finish(call));
    return call->Status();
  };
  EXPECT_EQ(resume("b1", "a1"), 200);
  EXPECT_EQ(resume("b2", "a2"), 503) << "no engine of its version serves";
  EXPECT_EQ(resume("b3", "a3"), 503) << "nobody knows which version began it";
  EXPECT_EQ(engine_->TotalRuns(), 1);
}

// Guards against calls to the store that a deployment with one version does not need.
TEST_F(version_record_test, NewStream_WhileOneVersionServes_IsNotWrittenToTheStore) {
  ASSERT_TRUE(harness_.Start());
  ASSERT_TRUE(harness_.RunUntil([this] { return RecordedVersions() == std::vector<std::string>{"new"}; }));
  const std::uint64_t version = harness_.Platform().Tables().Version();
  ASSERT_TRUE(harness_.Finish(harness_.SendModel("/digest/1", "a1")));
  harness_.RunFor(milliseconds(500));
  EXPECT_EQ(harness_.Platform().Tables().Version(), version);
}

// The same for a router that loses the store: its list of endpoints is as old as the outage.
class version_outage_test : public testing::Test {
 protected:
  version_outage_test() : peer_(harness_) {
    replica_options options = Engine("pre-1", "prefill");
    options.version = "old";
    harness_.AddReplica(options);
    options = Engine("dec-1", "decode");
    options.version = "old";
    engine_ = &harness_.AddReplica(options);
    harness_.WriteDesiredState({.timeout_ms = 14'000});
  }

  void SetUp() override {
    ASSERT_TRUE(harness_.Start());
    ASSERT_TRUE(harness_.Finish(harness_.SendModel("/digest/1", "a1")));
    harness_.Platform().Faults().outage = true;
    ASSERT_TRUE(harness_.RunUntil([this] { return !harness_.Directory().IsStoreReachable(); }));
    peer_.Announce();
  }

  int StatusOfResumed() {
    const auto call = harness_.SendModel("/digest/1", "b1", 1'000, 100, milliseconds(10'000),
                                         {{"Resumes", "unknown"}, {"Last-Event-Id", "1"}});
    EXPECT_TRUE(harness_.Finish(call));
    return call->Status();
  }

  router_harness harness_;
  peer_router peer_;
  fake_replica* engine_ = nullptr;
};

// Guards against joining two versions at a router that has not heard of the newer one.
TEST_F(version_outage_test, ResumedStream_WhenAnotherRouterKnowsANewVersion_IsRefused) {
  peer_.versions = {"old", "new"};
  EXPECT_EQ(StatusOfResumed(), 503);
  EXPECT_EQ(engine_->TotalRuns(), 1);
}

// A router that is cut off from the others too cannot know.
TEST_F(version_outage_test, ResumedStream_WhenAnotherRouterIsSilent_IsRefusedInTime) {
  const time_point begin = timer_service::Now();
  EXPECT_EQ(StatusOfResumed(), 503);
  EXPECT_LT(timer_service::Now() - begin, kReleaseLimit);
}

// Guards against an announcement from before the question, delivered late, that counts as its answer.
TEST_F(version_outage_test, ResumedStream_WhenOnlyAnEarlierAnnouncementArrives_IsRefused) {
  const auto call = harness_.SendModel("/digest/1", "b1", 1'000, 100, milliseconds(10'000),
                                       {{"Resumes", "unknown"}, {"Last-Event-Id", "1"}});
  while (!call->done) {
    peer_.SendVersions({"old"});
    harness_.RunFor(milliseconds(5));
  }
  EXPECT_EQ(call->Status(), 503);
  EXPECT_EQ(engine_->TotalRuns(), 1);
}

// Guards against refusing everybody: while the store is away for all routers, no new version can begin a stream.
TEST_F(version_outage_test, ResumedStream_WhenAllRoutersKnowTheSameVersion_GoesOn) {
  peer_.versions = {"old"};
  EXPECT_EQ(StatusOfResumed(), 200);
}

// An unreadable record must not stop the router, and is written anew.
TEST_F(version_record_test, Record_ThatIsUnreadable_IsReplaced) {
  harness_.Platform().Tables().Commit({{{kTable, "llm"}, "no json", false, std::nullopt}});
  ASSERT_TRUE(harness_.Start());
  EXPECT_TRUE(harness_.RunUntil([this] { return RecordedVersions() == std::vector<std::string>{"new"}; }));
}

// With one version, a stream goes on although nobody knows which engine began it.
TEST_F(model_call_test, ResumedStream_ThatNobodyKnows_GoesOnWhileOneVersionServes) {
  const auto call = harness_.SendModel("/digest/1", "b1", 1'000, 100, milliseconds(10'000),
                                       {{"Resumes", "unknown"}, {"Last-Event-Id", "2"}});
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_TRUE(call->body.starts_with("id: 3\n"));
}

// A stream that had stalled was not taken to another engine, because a byte arrived now and then.
TEST(stalled_stream_test, Stream_ThatStallsWithAByteNowAndThen_GoesOnAtAnotherEngine) {
  router_harness harness([](direct_settings& settings) { settings.stall_limit = milliseconds(500); });
  harness.AddReplica(Engine("pre-1", "prefill"));
  fake_replica& first = harness.AddReplica(Engine("dec-1", "decode"));
  harness.AddReplica(Engine("dec-2", "decode")).Faults().full = true;
  harness.WriteDesiredState({.timeout_ms = 4'000});
  ASSERT_TRUE(harness.Start());
  first.Faults().stall_after_events = 2;
  const auto call = harness.SendModel("/digest/1", "a1");
  ASSERT_TRUE(harness.RunUntil([&call] { return call->body.find("id: 2") != std::string::npos; }));
  harness.AddReplica(Engine("dec-3", "decode"));
  ASSERT_TRUE(harness.Finish(call));
  EXPECT_EQ(call->body, WholeStream("a1", 5));
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. directory and readiness
// ---------------------------------------------------------------------------------------------------------------------

class directory_test : public testing::Test {
 protected:
  directory_test() : replica_(harness_.AddReplica(PlainReplica("app-1"))) {}

  router_harness harness_;
  fake_replica& replica_;
};

// Without a desired state, a router cannot know that a route does not exist, so 404 would be wrong.
TEST_F(directory_test, Router_WithoutDesiredState_IsNotReadyAndAnswers503) {
  harness_.StartWithoutWaiting();
  harness_.RunFor(milliseconds(50));
  EXPECT_EQ(harness_.Readiness(), 503);
  const auto call = harness_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
}

TEST_F(directory_test, Router_WithDesiredState_IsReadyAndAnswers404ForUnknownRoutes) {
  harness_.WriteDesiredState();
  ASSERT_TRUE(harness_.Start());
  EXPECT_EQ(harness_.Readiness(), 200);
  const auto call = harness_.Send("GET", "/unknown/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 404);
}

TEST_F(directory_test, NewDesiredState_WhenVersionIsHigher_TakesEffect_AndALowerOneIsIgnored) {
  harness_.WriteDesiredState({.version = 5});
  ASSERT_TRUE(harness_.Start());
  harness_.WriteDesiredState({.version = 7});
  EXPECT_TRUE(
      harness_.RunUntil([this] { return harness_.Directory().Routes()->Revision() == 7; }, milliseconds(2'000)));
  harness_.WriteDesiredState({.version = 6});
  harness_.RunFor(milliseconds(200));
  EXPECT_EQ(harness_.Directory().Routes()->Revision(), 7U);
}

TEST_F(directory_test, StoreOutage_ServesCallsAndAppliesChangesAfterwards) {
  harness_.WriteDesiredState();
  ASSERT_TRUE(harness_.Start());
  harness_.Platform().Faults().outage = true;
  ASSERT_TRUE(harness_.RunUntil([this] { return !harness_.Directory().IsStoreReachable(); }));
  const auto call = harness_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  harness_.WriteDesiredState({.version = 2});
  harness_.Platform().Faults().outage = false;
  EXPECT_TRUE(
      harness_.RunUntil([this] { return harness_.Directory().Routes()->Revision() == 2; }, milliseconds(3'000)));
}

TEST_F(directory_test, LostHistory_IsReplacedByReadingTheTableAgain) {
  harness_.WriteDesiredState();
  ASSERT_TRUE(harness_.Start());
  harness_.Platform().Faults().outage = true;
  ASSERT_TRUE(harness_.RunUntil([this] { return !harness_.Directory().IsStoreReachable(); }));
  harness_.WriteDesiredState({.version = 2});
  replica_.Unregister(harness_.Platform().Tables());
  harness_.Platform().Tables().DropHistory();
  harness_.Platform().Faults().outage = false;
  EXPECT_TRUE(
      harness_.RunUntil([this] { return harness_.Directory().Routes()->Revision() == 2; }, milliseconds(3'000)));
  EXPECT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Endpoints().Size() == 0; }, milliseconds(5'000)));
}

// Many endpoints may start or stop at once, and the platform counts the calls of all 24 routers, so a router must read
// such changes in batches and not with one call per endpoint.
TEST_F(directory_test, ChangesOfManyEndpoints_AtOnce_AreReadWithFewCalls) {
  harness_.WriteDesiredState();
  ASSERT_TRUE(harness_.Start());
  const std::uint64_t before = harness_.Platform().Counts().feeds;
  const time_point begin = timer_service::Now();
  for (int i = 2; i < 42; ++i) {
    harness_.AddReplica(PlainReplica("app-" + std::to_string(i)));
    harness_.RunFor(milliseconds(10));
  }
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Endpoints().Size() == 41; }));
  const auto elapsed = std::chrono::duration_cast<milliseconds>(timer_service::Now() - begin);
  // One call per tenth of a second for the endpoints, plus the long polls of both tables that end without a change.
  const auto waits = static_cast<std::uint64_t>(2 * (elapsed / harness_.Settings().feed_wait + 1));
  EXPECT_LE(harness_.Platform().Counts().feeds - before, static_cast<std::uint64_t>(elapsed.count()) / 100 + waits + 1);
}

// An outage on an unresponsive connection is detected when the call times out, but it began with the last response.
TEST_F(directory_test, EntriesThatExpireWhileTheStoreIsUnresponsive_AreKeptUntilTheEndpointsAreBack) {
  harness_.WriteDesiredState();
  ASSERT_TRUE(harness_.Start());
  harness_.Platform().Faults().delay = milliseconds(60'000);
  harness_.RunFor(milliseconds(2'520));
  replica_.Unregister(harness_.Platform().Tables());
  harness_.Platform().Faults().delay = milliseconds(0);
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().IsStoreReachable(); }));
  harness_.RunFor(milliseconds(300));
  EXPECT_EQ(harness_.Directory().Endpoints().Size(), 1U) << "the endpoint may register again within two seconds";
}

// A store that accepts calls and never responds keeps its connections open; only the timeout of the call detects it.
TEST_F(directory_test, UnresponsiveStore_IsDetectedAndServingGoesOn) {
  harness_.WriteDesiredState();
  ASSERT_TRUE(harness_.Start());
  harness_.Platform().Faults().silent = true;
  const milliseconds limit = harness_.Settings().feed_wait + harness_.Settings().store_timeout;
  EXPECT_TRUE(harness_.RunUntil([this] { return !harness_.Directory().IsStoreReachable(); }, limit * 2));
  const auto call = harness_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  harness_.WriteDesiredState({.version = 2});
  harness_.Platform().Faults().silent = false;
  EXPECT_TRUE(
      harness_.RunUntil([this] { return harness_.Directory().Routes()->Revision() == 2; }, milliseconds(3'000)));
}

// The store may reject some clients or requests while it serves others.
TEST_F(directory_test, RefusedCallsOfOneTable_LeaveTheOtherInForce) {
  harness_.WriteDesiredState();
  ASSERT_TRUE(harness_.Start());
  for (const int status : {503, 429}) {
    harness_.Platform().Faults().refused_path = "/rows-feed?table=servers";
    harness_.Platform().Faults().refused_status = status;
    harness_.RunFor(milliseconds(600));
    const std::uint64_t revision = harness_.Directory().Routes()->Revision() + 1;
    harness_.WriteDesiredState({.version = revision});
    EXPECT_TRUE(
        harness_.RunUntil([&] { return harness_.Directory().Routes()->Revision() == revision; }, milliseconds(2'000)))
        << status;
    EXPECT_EQ(harness_.Directory().Endpoints().Size(), 1U) << status;
  }
}

// A malformed row of another writer must not affect the other rows.
TEST_F(directory_test, MalformedEntry_IsSkippedWithoutAffectingOthers) {
  harness_.WriteDesiredState();
  harness_.Platform().Tables().Commit({{{"servers", "bad-1"}, "not json", false, std::nullopt},
                                       {{"servers", "bad-2"}, R"({"service":7,"state":"ready"})", false, std::nullopt},
                                       {{"servers", "bad-3"}, std::string("\xff\x00", 2), false, std::nullopt}});
  ASSERT_TRUE(harness_.Start());
  const auto call = harness_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(harness_.Directory().Endpoints().Size(), 1U);
}

// A change must be known within the bound, however long the polls of the settings are.
TEST(feed_limits_test, LimitFeed_ForABlindTime_LeavesTimeForANewConnection) {
  const direct_settings settings;
  for (const int blind_ms : {1'000, 2'000, 3'000, 5'000, 60'000}) {
    const milliseconds blind(blind_ms);
    const feed_limits limits = LimitFeed(settings, blind);
    EXPECT_LE((limits.wait + limits.answer_limit) * 4, blind * 3);
    EXPECT_LE(limits.wait, settings.feed_wait);
  }
}

// With the product's own limits for store calls.
class leaving_endpoint_test : public testing::Test {
 protected:
  leaving_endpoint_test()
      : harness_(
            [](direct_settings& settings) {
              settings.feed_wait = direct_settings{}.feed_wait;
              settings.store_timeout = direct_settings{}.store_timeout;
            },
            router_harness::store_path::kLink),
        first_(harness_.AddReplica(PlainReplica("app-1"))) {
    harness_.AddReplica(PlainReplica("app-2"));
    harness_.WriteDesiredState();
  }
  void SetUp() override { ASSERT_TRUE(harness_.Start()); }

  router_harness harness_;
  fake_replica& first_;
};

// Guards against waiting for the store although the endpoint itself has stated that it is leaving.
TEST_F(leaving_endpoint_test, Endpoint_ThatStatesItsLeavingInAnAnswer_GetsNoMoreCalls) {
  first_.Faults().leaving = true;
  for (int i = 0; first_.TotalRuns() == 0; ++i) {
    ASSERT_TRUE(harness_.Finish(harness_.Send("GET", "/pages/1", "a" + std::to_string(i))));
  }
  for (int i = 0; i < 30; ++i) {
    ASSERT_TRUE(harness_.Finish(harness_.Send("GET", "/pages/1", "b" + std::to_string(i))));
  }
  EXPECT_EQ(first_.TotalRuns(), 1);
}

// A rejection, a reservation and a report state the leaving as well as an answer.
TEST_F(model_call_test, Engine_ThatStatesItsLeavingInARefusedReservation_GetsNoMoreRequests) {
  first_.Faults().leaving = true;
  first_.Faults().full = true;
  second_.Faults().full = true;
  const auto refused = harness_.SendModel("/chat/1", "a1");
  ASSERT_TRUE(harness_.Finish(refused));
  first_.Faults().full = false;
  second_.Faults().full = false;
  const std::size_t requests = first_.Requests().size();
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(harness_.Finish(harness_.SendModel("/chat/1", "b" + std::to_string(i))));
  }
  EXPECT_EQ(first_.Requests().size(), requests);
  EXPECT_EQ(second_.TotalRuns(), 10);
}

// Guards against taking an endpoint that leaves for one whose entry expired in an outage long past: the first long poll
// after an outage ends seconds after the store is back.
TEST_F(leaving_endpoint_test, UnannouncedLeave_WhenTheStoreHasBeenBackForSeconds_EndsTheCallsAtOnce) {
  auto& faults = harness_.Platform().Faults();
  faults.refused_path = "/rows-feed";
  harness_.RunFor(milliseconds(2'800));
  faults.refused_path.clear();
  // Entries that expired in the outage are written again within about two seconds.
  harness_.RunFor(milliseconds(2'620));
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().IsStoreReachable(); }));
  first_.Unregister(harness_.Platform().Tables());
  EXPECT_EQ(CallsAfter(milliseconds(400), harness_, first_), 0);
}

// Guards against a router that keeps using an endpoint because its connection to the store has gone silent.
TEST_F(leaving_endpoint_test, Leave_WhileTheStoreConnectionIsSilent_EndsTheCallsWithinTheDrainTime) {
  harness_.RunFor(milliseconds(300));
  harness_.StoreLink().SetSilent(true);
  first_.Register(harness_.Platform().Tables(), true);
  EXPECT_EQ(CallsAfter(kDrainTime, harness_, first_), 0);
}

// Guards against a feed that continues from a version which the restored store has given out again: the change of the
// second endpoint would be missed.
TEST_F(directory_test, RestoredStore_WhoseVersionsAreGivenOutAgain_IsReadAnew) {
  harness_.WriteDesiredState();
  ASSERT_TRUE(harness_.Start());
  table_store& tables = harness_.Platform().Tables();
  tables.SaveCopy();
  harness_.AddReplica(PlainReplica("app-2"));
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Endpoints().Size() == 2; }));
  harness_.StoreOutage(milliseconds(50), [&] {
    tables.Restore();
    replica_.Register(tables, true);  // takes the version that app-2 had
  });
  EXPECT_TRUE(harness_.RunUntil(
      [this] {
        const auto* entry = harness_.Directory().Endpoints().Find(endpoint_name{"app-1"});
        return entry != nullptr && entry->draining;
      },
      milliseconds(1'500)));
  // An entry that was written since the copy is missing until its endpoint writes it again.
  EXPECT_TRUE(harness_.Directory().Endpoints().ReceivesWork(endpoint_name{"app-2"}, 1));
}

// Guards against work for endpoints that had left and whose entries come back with the older copy.
TEST_F(directory_test, RestoredEntries_OfEndpointsThatHadLeft_GetNoCalls) {
  fake_replica& announced = harness_.AddReplica(PlainReplica("app-2"));
  fake_replica& unannounced = harness_.AddReplica(PlainReplica("app-3"));
  harness_.WriteDesiredState();
  ASSERT_TRUE(harness_.Start());
  table_store& tables = harness_.Platform().Tables();
  tables.SaveCopy();
  announced.Register(tables, true);
  unannounced.Unregister(tables);
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Endpoints().Size() == 2; }));
  harness_.RunFor(milliseconds(200));
  harness_.StoreOutage(milliseconds(50), [&] { tables.Restore(); });
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Endpoints().Size() == 3; }));
  for (int i = 0; i < 30; ++i) {
    ASSERT_TRUE(harness_.Finish(harness_.Send("GET", "/pages/1", "a" + std::to_string(i))));
  }
  EXPECT_EQ(announced.TotalRuns() + unannounced.TotalRuns(), 0);
  EXPECT_EQ(replica_.TotalRuns(), 30);
}

TEST_F(directory_test, RestoredStore_WithAnOlderDesiredState_LeavesTheNewerOneInForce) {
  harness_.WriteDesiredState();
  ASSERT_TRUE(harness_.Start());
  table_store& tables = harness_.Platform().Tables();
  tables.SaveCopy();
  harness_.WriteDesiredState({.version = 5});
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Routes()->Revision() == 5; }));
  harness_.StoreOutage(milliseconds(50), [&] { tables.Restore(); });
  harness_.RunFor(milliseconds(600));
  EXPECT_EQ(harness_.Directory().Routes()->Revision(), 5U);
  harness_.WriteDesiredState({.version = 6});
  EXPECT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Routes()->Revision() == 6; }));
}

// Guards against a router that starts from an older copy of the store and serves an older desired state than the
// others.
TEST_F(directory_test, Router_ThatStaysBehindItsPeers_TakesTheirDesiredState) {
  harness_.WriteDesiredState();
  ASSERT_TRUE(harness_.Start());
  auto& context = harness_.Kernel().Context();
  const json state = {{"desired_state", support::MakeDesiredState({.version = 9})}, {"endpoints", json::object()}};
  http_server control(context, host_port{"127.0.0.1", 0}, {}, [&](std::shared_ptr<http_exchange> exchange) -> task<> {
    auto response = JsonResponse(200, state.dump());
    (void)co_await exchange->Respond(std::move(response));
  });
  ASSERT_TRUE(control.Start());
  datagram_socket peer(context, host_port{"127.0.0.1", 0}, [](const host_port&, const message&) {});
  ASSERT_TRUE(peer.Start());
  router_state sent;
  sent.name = "router-2";
  sent.incarnation = 7;
  sent.sequence = 1;
  sent.revision = 9;
  sent.control = {"127.0.0.1", control.Port()};
  peer.Send({"127.0.0.1", harness_.Settings().deployment.first_internal_port}, message(sent));
  EXPECT_TRUE(
      harness_.RunUntil([this] { return harness_.Directory().Routes()->Revision() == 9; }, milliseconds(3'000)));
  control.Stop();
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. graceful shutdown
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(plain_call_test, PlannedStop_WithARequestInProgress_LetsItEndAndIsNotReady) {
  SetBoth({.never_responds = true});
  const auto call = harness_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(harness_.RunUntil([this] { return first_.ActiveRuns() + second_.ActiveRuns() == 1; }));
  const auto finished = harness_.BeginStop();
  EXPECT_EQ(harness_.Readiness(), 503);
  ASSERT_TRUE(harness_.RunUntil([&] { return *finished; }));
  harness_.Kernel().Stop();  // as at program exit: bytes not yet written are lost
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_FALSE(call->failure);
  EXPECT_EQ(call->Status(), 504);  // ended by the route's timeout, not by the stop
}

TEST_F(plain_call_test, PlannedStop_BeforeTheBalancerNotices_StillServesNewCalls) {
  const auto finished = harness_.BeginStop();
  const auto call = harness_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(call->Header("Connection"), "close");
  EXPECT_TRUE(harness_.RunUntil([&] { return *finished; }));
}

TEST_F(model_call_test, PlannedStop_WithAShortModelRequest_StillServesIt) {
  const auto finished = harness_.BeginStop();
  const auto call = harness_.SendModel("/chat/1", "a1", 1'000, 100);
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->body, WholeStream("a1", 5));
  EXPECT_TRUE(harness_.RunUntil([&] { return *finished; }));
}

// A long stream would exceed the grace period; another router can accept it at once.
TEST_F(model_call_test, PlannedStop_WithALongModelRequest_SendsItElsewhereAtOnce) {
  const auto finished = harness_.BeginStop();
  const auto call = harness_.SendModel("/chat/1", "a1", 1'000, 3'000);
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_LT(std::stod(call->Header("Retry-After")), 0.1);
  EXPECT_EQ(Runs("a1"), 0);
  EXPECT_TRUE(harness_.RunUntil([&] { return *finished; }));
}

// A refusal costs the caller time. If the engines are faster than assumed, the stream ends before the deadline.
TEST_F(model_call_test, PlannedStop_WithALongRequestOnFastEngines_StillServesIt) {
  for (int i = 0; i < 100; ++i) {
    ASSERT_TRUE(harness_.Finish(harness_.SendModel("/chat/1", "a" + std::to_string(i))));
  }
  const auto finished = harness_.BeginStop();
  const auto call = harness_.SendModel("/chat/1", "long", 1'000, 3'000);
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->body, WholeStream("long", 5));
  EXPECT_TRUE(harness_.RunUntil([&] { return *finished; }));
}

// ---------------------------------------------------------------------------------------------------------------------
// 5. stage orders
// ---------------------------------------------------------------------------------------------------------------------

class stage_orders_test : public testing::Test {
 protected:
  stage_orders_test()
      : harness_([](direct_settings& settings) {
          settings.order_stages = true;
          settings.stage_settle = milliseconds(50);
          settings.deployment.first_start = true;
        }) {
    harness_.WriteDesiredState({.timeout_ms = 14'000});
    for (int i = 0; i < 6; ++i) {
      engines_.push_back(&harness_.AddReplica(Engine("e-" + std::to_string(i), i < 4 ? "prefill" : "decode")));
    }
  }

  int Orders() const {
    int orders = 0;
    for (const fake_replica* engine : engines_) {
      orders += engine->Orders();
    }
    return orders;
  }

  router_harness harness_;
  std::vector<fake_replica*> engines_;
};

TEST_F(stage_orders_test, ExcessOfPrefillEngines_IsOrderedToDecodeOnce) {
  ASSERT_TRUE(harness_.Start());
  ASSERT_TRUE(harness_.RunUntil([this] { return Orders() > 0; }));
  harness_.RunFor(milliseconds(1'500));
  EXPECT_GE(Orders(), 1);
  EXPECT_LE(Orders(), 3);
  for (const fake_replica* engine : engines_) {
    EXPECT_LE(engine->Orders(), 1) << engine->Name();
  }
}

// A lease write may take effect after its call has failed. Orders must wait until this router has read itself as the
// holder of the row, and must carry, as fencing token, the version of a row that it has written.
TEST_F(stage_orders_test, LeaseWrite_ThatTakesEffectLate_LeadsToOneOrderForEachEngine) {
  harness_.Platform().Faults().late_writes = 1;
  ASSERT_TRUE(harness_.Start());
  harness_.RunFor(milliseconds(100));
  EXPECT_EQ(Orders(), 0);
  ASSERT_TRUE(harness_.RunUntil([this] { return Orders() > 0; }, milliseconds(20'000)));
  harness_.RunFor(milliseconds(1'500));
  EXPECT_LE(Orders(), 3);
  for (const fake_replica* engine : engines_) {
    EXPECT_LE(engine->Orders(), 1) << engine->Name();
  }
}

// A router whose machine is suspended between its lease and the order may have lost the lease when it wakes.
TEST_F(stage_orders_test, Order_AfterASuspensionSinceTheLeaseWasTaken_IsNotSent) {
  ASSERT_TRUE(harness_.Start());
  const auto asked_for_report = [this] {
    return std::any_of(engines_.begin(), engines_.end(), [](const fake_replica* engine) {
      return !engine->Requests().empty() && engine->Requests().back().target == "/report";
    });
  };
  ASSERT_TRUE(harness_.RunUntil(asked_for_report));
  ASSERT_EQ(Orders(), 0);
  timer_service::SimulateSuspension(milliseconds(3'000));
  harness_.RunFor(milliseconds(200));
  EXPECT_EQ(Orders(), 0);
}

// Two lease holders at the same time would revert each other's orders.
TEST_F(stage_orders_test, RowOfAnotherHolder_ThatIsFresh_StopsAllOrders) {
  harness_.Platform().Tables().Commit({{{"persimmon_leases", "llm"}, R"({"holder":"router-9"})", false, std::nullopt}});
  ASSERT_TRUE(harness_.Start());
  harness_.RunFor(milliseconds(2'000));
  EXPECT_EQ(Orders(), 0);
}

}  // namespace
}  // namespace persimmon
