// link: persimmon_direct persimmon_fake_parts
// The router that goes straight to the endpoints, against test doubles of the platform and of the endpoints.
//
// Sections
//   1. plain calls
//   2. model calls
//   3. directory and readiness
//   4. planned stop
//   5. orders
#include <gtest/gtest.h>

#include "direct/stage_orders.h"
#include "support/direct_world.h"

namespace persimmon {
namespace {

using fakes::fake_replica;
using fakes::replica_options;
using support::caller_exchange_ptr;
using support::direct_world;
using support::WholeStream;

// The rule for work that a caller has left: gone from the endpoint after half a second.
constexpr milliseconds kGoneLimit(500);

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
      : first_(world_.AddReplica(PlainReplica("app-1"))), second_(world_.AddReplica(PlainReplica("app-2"))) {
    world_.WriteDesiredState();
  }
  void SetUp() override { ASSERT_TRUE(world_.Start()); }

  void SetBoth(const fakes::replica_faults& faults) {
    first_.Faults() = faults;
    second_.Faults() = faults;
  }
  int Runs(const std::string& attempt) const { return first_.Runs(attempt) + second_.Runs(attempt); }

  direct_world world_;
  fake_replica& first_;
  fake_replica& second_;
};

TEST_F(plain_call_test, Call_OnReadyEndpoints_GetsTheEndpointsAnswer) {
  const auto call = world_.Send("GET", "/pages/1?x=2", "a1");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(call->Header("Persimmonchute-Attempt-Id"), "a1");
  EXPECT_NE(call->Header("Persimmonchute-Server-Seal"), "");
  EXPECT_NE(call->body.find("to a1"), std::string::npos);
  EXPECT_EQ(Runs("a1"), 1);
}

// A caller that sets the router's own headers must not steer endpoints.
TEST_F(plain_call_test, Call_WithHeadersOfTheRouter_ArrivesWithoutThem) {
  const auto call = world_.Send("GET", "/pages/1", "a1",
                                {{"Persimmonchute-Kv-Hold", "x"},
                                 {"persimmonchute-kv-source", "1.2.3.4:5/x"},
                                 {"Persimmonchute-Expect-Instance", "other"},
                                 {"X-Kept", "2"}});
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  const fake_replica& reached = first_.Runs("a1") == 1 ? first_ : second_;
  const header_list& headers = reached.Requests().back().headers;
  EXPECT_EQ(FindHeader(headers, "Persimmonchute-Kv-Hold"), "");
  EXPECT_EQ(FindHeader(headers, "Persimmonchute-Kv-Source"), "");
  EXPECT_EQ(FindHeader(headers, "Persimmonchute-Expect-Instance"), reached.Name());
  EXPECT_EQ(FindHeader(headers, "X-Kept"), "2");
}

TEST_F(plain_call_test, TimeBudget_AtTheEndpoint_IsNeverLongerThanTheCallers) {
  const auto call = world_.Send("GET", "/pages/1", "a1", {{"Persimmonchute-Deadline-Ms", "700"}});
  ASSERT_TRUE(world_.Finish(call));
  const fake_replica& reached = first_.Runs("a1") == 1 ? first_ : second_;
  EXPECT_LE(std::stoi(std::string(FindHeader(reached.Requests().back().headers, "Persimmonchute-Deadline-Ms"))), 700);
}

// Running a submission again would count it twice.
TEST_F(plain_call_test, NonIdempotentCall_WhoseAnswerIsLost_RunsOnceAndIsNotPromisedNotRun) {
  SetBoth({.loses_answers = true});
  const auto call = world_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 502);
  EXPECT_EQ(Runs("a1"), 1);
}

TEST_F(plain_call_test, IdempotentCall_WhoseAnswerIsLost_IsTriedOnAnotherEndpoint) {
  first_.Faults().loses_answers = true;
  for (const char* attempt : {"a1", "a2", "a3", "a4"}) {
    const auto call = world_.Send("GET", "/pages/1", attempt);
    ASSERT_TRUE(world_.Finish(call));
    EXPECT_EQ(call->Status(), 200);
    EXPECT_EQ(second_.Runs(attempt), 1);
  }
}

TEST_F(plain_call_test, IdempotentCall_ThatFailsEverywhere_ReachesNoMoreEndpointsThanAllowed) {
  world_.AddReplica(PlainReplica("app-3")).Faults().fails = true;
  ASSERT_TRUE(world_.RunUntil([this] { return world_.Directory().Endpoints().Size() == 3; }));
  SetBoth({.fails = true});
  const auto call = world_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 500);
  EXPECT_NE(call->Header("Persimmonchute-Server-Seal"), "");
  EXPECT_LE(Runs("a1"), 2);
}

TEST_F(plain_call_test, Call_WhenAllEndpointsAreFull_IsRefusedWithATimeToComeBack) {
  SetBoth({.full = true});
  const auto call = world_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_GT(std::stod(call->Header("Retry-After")), 0);
  EXPECT_EQ(Runs("a1"), 0);
}

// A success without the seal is not the endpoint's answer.
TEST_F(plain_call_test, Answer_WithoutSeal_IsNotPassedOnAsSuccess) {
  SetBoth({.unsealed = true});
  const auto call = world_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 502);
}

TEST_F(plain_call_test, MuteEndpoint_UntilTheRoutesTimeout_EndsWithATimeoutOnTime) {
  SetBoth({.mute = true});
  const time_point begin = timer_service::Now();
  const auto call = world_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 504);
  EXPECT_LT(timer_service::Now() - begin, milliseconds(1'500) + kGoneLimit);
  EXPECT_TRUE(world_.RunUntil([this] { return first_.RunningNow() + second_.RunningNow() == 0; }, kGoneLimit));
}

TEST_F(plain_call_test, CallerThatLeaves_EndsTheWorkAtTheEndpoint) {
  SetBoth({.mute = true});
  const auto call = world_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(world_.RunUntil([this] { return first_.RunningNow() + second_.RunningNow() == 1; }));
  call->call->Cancel();
  EXPECT_TRUE(world_.RunUntil([this] { return first_.RunningNow() + second_.RunningNow() == 0; }, kGoneLimit));
}

TEST_F(plain_call_test, DrainingEndpoint_OnceItsEntryIsSeen_GetsNoMoreCalls) {
  first_.Register(world_.Platform().Tables(), true);
  ASSERT_TRUE(world_.RunUntil([this] {
    const auto* entry = world_.Directory().Endpoints().Find(endpoint_name{"app-1"});
    return entry != nullptr && entry->draining;
  }));
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(world_.Finish(world_.Send("GET", "/pages/1", "a" + std::to_string(i))));
  }
  EXPECT_EQ(first_.TotalRuns(), 0);
  EXPECT_EQ(second_.TotalRuns(), 20);
}

// An unreachable endpoint has received nothing, so any call may go to another one.
TEST_F(plain_call_test, UnreachableEndpoint_WithNonIdempotentCalls_CostsNone) {
  first_.Stop();
  for (int i = 0; i < 10; ++i) {
    const auto call = world_.Send("POST", "/submit/1", "a" + std::to_string(i), {}, "quiz");
    ASSERT_TRUE(world_.Finish(call));
    EXPECT_EQ(call->Status(), 200) << i;
  }
}

// Each caller that sends such a request again would otherwise cost one endpoint more.
TEST_F(plain_call_test, RequestThatCrashesEndpoints_AfterThreeCrashes_IsRefusedWithoutRunning) {
  std::vector<fake_replica*> replicas = {&first_, &second_};
  for (const char* name : {"app-3", "app-4", "app-5"}) {
    replicas.push_back(&world_.AddReplica(PlainReplica(name)));
  }
  ASSERT_TRUE(world_.RunUntil([this] { return world_.Directory().Endpoints().Size() == 5; }));
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
    const auto call = world_.Send("POST", "/submit/1", "a" + std::to_string(i), {}, "poison");
    ASSERT_TRUE(world_.Finish(call));
    EXPECT_EQ(call->Status(), 502);
    world_.RunFor(milliseconds(150));
  }
  EXPECT_EQ(runs(), 3);
  const auto call = world_.Send("POST", "/submit/1", "a3", {}, "poison");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_EQ(runs(), 3);
  const auto innocent = world_.Send("POST", "/submit/1", "b", {}, "quiz");
  ASSERT_TRUE(world_.Finish(innocent));
  EXPECT_EQ(innocent->Status(), 200);
}

TEST_F(plain_call_test, ExtraSends_WhenEveryCallFails_StayWithinTheBudget) {
  SetBoth({.fails = true});
  constexpr int kCalls = 100;
  for (int i = 0; i < kCalls; ++i) {
    ASSERT_TRUE(world_.Finish(world_.Send("GET", "/pages/1", "a" + std::to_string(i))));
  }
  const auto& deployment = world_.Settings().deployment;
  EXPECT_LE(first_.TotalRuns() + second_.TotalRuns() - kCalls,
            deployment.budget_ratio * kCalls + deployment.budget_slack);
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. model calls
// ---------------------------------------------------------------------------------------------------------------------

class model_call_test : public testing::Test {
 protected:
  model_call_test()
      : prefill_(world_.AddReplica(Engine("pre-1", "prefill"))),
        first_(world_.AddReplica(Engine("dec-1", "decode"))),
        second_(world_.AddReplica(Engine("dec-2", "decode"))) {
    world_.WriteDesiredState({.timeout_ms = 14'000});
  }
  void SetUp() override { ASSERT_TRUE(world_.Start()); }

  int Runs(const std::string& attempt) const { return first_.Runs(attempt) + second_.Runs(attempt); }

  // Nothing is held for requests that are over.
  bool IsAllFreed() const {
    return first_.ReservedTokens() + second_.ReservedTokens() == 0 && first_.RunningNow() + second_.RunningNow() == 0;
  }

  direct_world world_;
  fake_replica& prefill_;
  fake_replica& first_;
  fake_replica& second_;
};

TEST_F(model_call_test, Call_OnFreeEngines_IsPrefilledOnceAndStreamedWhole) {
  const auto call = world_.SendModel("/chat/1", "a1");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_FALSE(call->failure);
  EXPECT_EQ(call->body, WholeStream("a1", 5));
  EXPECT_EQ(prefill_.Prefills(), 1);
  EXPECT_EQ(Runs("a1"), 1);
  EXPECT_TRUE(IsAllFreed());
  EXPECT_TRUE(world_.Board().OwnUses().empty());
}

// A prompt that is read before decode memory is reserved may have been read in vain.
TEST_F(model_call_test, Call_WithoutDecodeMemory_IsNotPrefilled) {
  first_.Faults().full = true;
  second_.Faults().full = true;
  const auto call = world_.SendModel("/chat/1", "a1");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_NE(call->Header("Retry-After"), "");
  EXPECT_EQ(prefill_.Prefills(), 0);
  EXPECT_EQ(Runs("a1"), 0);
}

TEST_F(model_call_test, Stream_ThatBreaksOffOnAResumableRoute_GoesOnWithoutGapOrRepeat) {
  first_.Faults().break_after = 2;
  second_.Faults().break_after = 3;
  const auto call = world_.SendModel("/digest/1", "a1");
  ASSERT_TRUE(world_.RunUntil([this] { return Runs("a1") == 1; }));
  (first_.Runs("a1") == 1 ? second_ : first_).Faults().break_after = 0;
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_FALSE(call->failure) << call->failure->message;
  EXPECT_EQ(call->body, WholeStream("a1", 5));
  EXPECT_EQ(Runs("a1"), 2);
}

// A caller leaves after some seconds without an event, counted from the last one and not from its request.
TEST(model_resume_test, Stream_ThatBreaksOffLate_WaitsForRoomAsLongAsAFreshOne) {
  direct_world world([](direct_settings& settings) { settings.late_wait = milliseconds(1'000); });
  world.AddReplica(Engine("pre-1", "prefill"));
  replica_options options = Engine("dec-1", "decode");
  options.event_pause = milliseconds(300);
  fake_replica& first = world.AddReplica(options);
  world.WriteDesiredState({.timeout_ms = 14'000});
  ASSERT_TRUE(world.Start());
  first.Faults().break_after = 4;  // after 1,200 ms
  const auto call = world.SendModel("/digest/1", "a1");
  ASSERT_TRUE(world.RunUntil([&] { return first.Runs("a1") == 1 && first.RunningNow() == 0; }));
  fake_replica& second = world.AddReplica(Engine("dec-2", "decode"));
  second.Faults().full = true;
  world.RunFor(milliseconds(700));
  second.Faults().full = false;
  ASSERT_TRUE(world.Finish(call));
  EXPECT_FALSE(call->failure) << call->failure->message;
  EXPECT_EQ(call->body, WholeStream("a1", 5));
}

// The router holds back the bytes of an event until it ends, and must not hold back without limit.
TEST_F(model_call_test, Stream_WhoseEventNeverEnds_IsBrokenOffAndFreesTheEngine) {
  first_.Faults().endless_event = true;
  second_.Faults().endless_event = true;
  const auto call = world_.SendModel("/digest/1", "a1");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_TRUE(call->failure);
  EXPECT_TRUE(call->body.empty());
  EXPECT_TRUE(world_.RunUntil([this] { return IsAllFreed(); }, kGoneLimit));
}

// An engine refuses a reservation for longer than it allows, and nothing would be served.
TEST(model_reserve_test, Reservation_OnEnginesWithAShortLimit_AsksForNoMore) {
  direct_world world;
  world.AddReplica(Engine("pre-1", "prefill"));
  fake_replica& engine = world.AddReplica(Engine("dec-1", "decode"));
  world.WriteDesiredState({.timeout_ms = 14'000, .hold_ms = 400});
  ASSERT_TRUE(world.Start());
  ASSERT_TRUE(world.Finish(world.SendModel("/chat/1", "a1")));
  int reservations = 0;
  for (const http_request& request : engine.Requests()) {
    if (request.target == "/hold-take") {
      ++reservations;
      EXPECT_EQ(support::json::parse(request.body).value("ttl_ms", 0), 400);
    }
  }
  EXPECT_EQ(reservations, 1);
}

TEST_F(model_call_test, Stream_ThatBreaksOffOnAnotherRoute_LooksBrokenToTheCaller) {
  first_.Faults().break_after = 2;
  second_.Faults().break_after = 2;
  const auto call = world_.SendModel("/chat/1", "a1");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_TRUE(call->failure);
  EXPECT_EQ(Runs("a1"), 1);
}

// The engines refuse the request with proof, so it may be placed again.
TEST_F(model_call_test, Handle_ThatLapsesBeforeTheDecode_LeavesNothingReserved) {
  prefill_.Faults().full = true;
  const auto call = world_.SendModel("/chat/1", "a1");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_EQ(Runs("a1"), 0);
  EXPECT_TRUE(world_.RunUntil([this] { return IsAllFreed(); }, kGoneLimit));
}

// An engine that changes its stage grants reservations and refuses runs. Each prompt that is read for it is read in
// vain: 201 on one day of nastavnik-grown whose orders were carried out late.
TEST_F(model_call_test, Engine_ThatCarriesOutAnOrder_GetsNoMoreRequests) {
  first_.Faults().switches = true;
  for (int i = 0; i < 30; ++i) {
    const auto call = world_.SendModel("/digest/1", "a" + std::to_string(i));
    ASSERT_TRUE(world_.Finish(call));
    EXPECT_EQ(call->body, WholeStream("a" + std::to_string(i), 5));
  }
  EXPECT_LE(prefill_.Prefills(), 32) << "prompts were read in vain";
  first_.Faults().switches = false;
  EXPECT_TRUE(world_.RunUntil([this] {
    static int more = 0;
    return world_.Finish(world_.SendModel("/digest/1", "b" + std::to_string(++more))) && first_.TotalRuns() > 0;
  })) << "it is used again afterwards";
}

// The pause of an engine that changes its stage must end once its entry shows the new one, or it is lost for both.
TEST_F(model_call_test, Engine_ThatHasBecomeAPrefillEngine_ReadsPrompts) {
  first_.Faults().switches = true;
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(world_.Finish(world_.SendModel("/digest/1", "a" + std::to_string(i))));
  }
  first_.SetStage("prefill");
  first_.Faults().switches = false;
  world_.RunFor(milliseconds(1'200));
  first_.Register(world_.Platform().Tables());
  prefill_.Unregister(world_.Platform().Tables());
  world_.RunFor(milliseconds(1'500));
  for (int i = 0; i < 10; ++i) {
    const auto call = world_.SendModel("/digest/1", "b" + std::to_string(i));
    ASSERT_TRUE(world_.Finish(call));
    EXPECT_EQ(call->body, WholeStream("b" + std::to_string(i), 5));
    world_.RunFor(milliseconds(200));
  }
  EXPECT_EQ(first_.Prefills(), 10);
}

TEST_F(model_call_test, CallerThatLeaves_WhileItsStreamRuns_FreesTheEngine) {
  first_.Faults().mute = true;
  second_.Faults().mute = true;
  const auto call = world_.SendModel("/chat/1", "a1");
  ASSERT_TRUE(world_.RunUntil([this] { return Runs("a1") == 1; }));
  call->call->Cancel();
  EXPECT_TRUE(world_.RunUntil([this] { return IsAllFreed(); }, kGoneLimit));
  EXPECT_TRUE(world_.RunUntil([this] { return world_.Board().OwnUses().empty(); }, kGoneLimit));
}

TEST_F(model_call_test, CallerThatLeaves_WhileItWaitsForRoom_TakesNoReservation) {
  const auto running = world_.SendModel("/chat/1", "big", 1'000, 100);
  first_.Faults().full = true;
  second_.Faults().full = true;
  const auto call = world_.SendModel("/chat/1", "a1");
  world_.RunFor(milliseconds(100));
  call->call->Cancel();
  world_.RunFor(milliseconds(50));
  first_.Faults().full = false;
  second_.Faults().full = false;
  world_.RunFor(milliseconds(200));
  EXPECT_EQ(Runs("a1"), 0);
  EXPECT_TRUE(IsAllFreed());
}

// Without any prefill engine the decode engines read prompts themselves, slowly, instead of serving nothing.
TEST_F(model_call_test, Call_WithoutPrefillEngines_IsServedByADecodeEngineAlone) {
  prefill_.Unregister(world_.Platform().Tables());
  ASSERT_TRUE(world_.RunUntil([this] { return world_.Directory().Endpoints().Size() == 2; }));
  const auto call = world_.SendModel("/chat/1", "a1");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->body, WholeStream("a1", 5));
}

// Engines of 10,000 tokens hold four requests of 2,000; the others wait until one has ended, and all are served.
TEST_F(model_call_test, Calls_BeyondTheMemory_WaitAndAreAllServed) {
  std::vector<caller_exchange_ptr> calls;
  for (int i = 0; i < 30; ++i) {
    calls.push_back(world_.SendModel("/chat/1", "a" + std::to_string(i), 1'900, 100));
  }
  for (int i = 0; i < 30; ++i) {
    ASSERT_TRUE(world_.Finish(calls[static_cast<std::size_t>(i)]));
    EXPECT_EQ(calls[static_cast<std::size_t>(i)]->body, WholeStream("a" + std::to_string(i), 5)) << i;
  }
  EXPECT_TRUE(IsAllFreed());
}

// A sustained overload: one engine with room for one request at a time. Its streams take 300 ms.
class overload_test : public testing::Test {
 protected:
  overload_test() {
    world_.AddReplica(Engine("pre-1", "prefill"));
    replica_options options = Engine("dec-1", "decode", 1'200);
    options.event_pause = milliseconds(60);
    engine_ = &world_.AddReplica(options);
    world_.WriteDesiredState({.timeout_ms = 14'000, .memory_tokens = 1'200});
  }
  void SetUp() override {
    ASSERT_TRUE(world_.Start());
    // The largest time budget of the route is learned from its callers.
    ASSERT_TRUE(world_.Finish(Send("first", milliseconds(14'000))));
    engine_->Faults().full = true;
  }

  caller_exchange_ptr Send(const std::string& attempt, milliseconds budget) {
    const auto call = world_.SendModel("/chat/1", attempt, 1'000, 100, budget);
    world_.RunFor(milliseconds(20));
    return call;
  }

  // Of the two requests, the one that runs first once the engine has room.
  std::string FirstRun(const std::string& one, const std::string& other) {
    engine_->Faults().full = false;
    world_.RunUntil([&] { return engine_->Runs(one) + engine_->Runs(other) > 0; });
    return engine_->Runs(one) > 0 ? one : other;
  }

  direct_world world_;
  fake_replica* engine_ = nullptr;
};

// Callers of both sites give first tries budgets from 12 to 14 s. Taken for callers that come back, three of four were
// served behind all others, which cost the grown sites a third of what they earn.
TEST_F(overload_test, FirstTry_WithASmallerBudgetThanOthers_KeepsItsPlaceInTheQueue) {
  const auto earlier = Send("earlier", milliseconds(12'000));
  const auto later = Send("later", milliseconds(14'000));
  EXPECT_EQ(FirstRun("earlier", "later"), "earlier");
}

// A caller that comes back after a refusal has missed its target already; one that can still meet it goes first.
TEST_F(overload_test, CallerThatComesBack_WhileAFreshOneWaits_GoesBehindIt) {
  const auto returned = Send("returned", milliseconds(9'000));
  const auto fresh = Send("fresh", milliseconds(14'000));
  EXPECT_EQ(FirstRun("returned", "fresh"), "fresh");
}

// With many routers the late requests of some took the room that fresh requests of the others waited for.
TEST_F(overload_test, LateRequest_WhileAFreshOneWaitsAtAnotherRouter_LeavesItTheRoom) {
  datagram_socket peer(world_.Kernel().Context(), host_port{"127.0.0.1", 0}, [](const host_port&, const message&) {});
  ASSERT_TRUE(peer.Start());
  router_state state;
  state.name = "router-2";
  state.incarnation = 7;
  state.waiting = {{ServiceKey("llm"), 1}};
  const auto tell = [&] {
    ++state.sequence;
    peer.Send({"127.0.0.1", world_.Settings().deployment.first_internal_port}, message(state));
    world_.RunFor(milliseconds(100));
  };
  tell();
  const auto call = Send("returned", milliseconds(9'000));
  engine_->Faults().full = false;
  for (int i = 0; i < 4; ++i) {
    tell();
  }
  EXPECT_EQ(engine_->Runs("returned"), 0);
  state.waiting.clear();
  tell();
  EXPECT_EQ(engine_->Runs("returned"), 1);
  peer.Stop();
}

// The start of a burst: prompts come at once to one prefill engine, while the decode engines have room.
class prompt_burst_test : public testing::Test {
 protected:
  static constexpr milliseconds kTarget{900};  // of the routes, to the first event

  prompt_burst_test() {
    replica_options prefill = Engine("pre-1", "prefill");
    prefill.tokens_per_ms = 20;
    prefill_ = &world_.AddReplica(std::move(prefill));
    for (const char* name : {"dec-1", "dec-2", "dec-3"}) {
      replica_options engine = Engine(name, "decode");
      engine.memory_tokens = 16'000;
      engine.tokens_per_ms = 20;
      decode_.push_back(&world_.AddReplica(std::move(engine)));
    }
    world_.WriteDesiredState({.timeout_ms = 14'000, .memory_tokens = 16'000});
  }
  void SetUp() override { ASSERT_TRUE(world_.Start()); }

  std::vector<caller_exchange_ptr> SendBurst(int count, std::uint32_t prompt_tokens) {
    std::vector<caller_exchange_ptr> calls;
    for (int i = 0; i < count; ++i) {
      calls.push_back(world_.SendModel("/chat/1", "a" + std::to_string(i), prompt_tokens));
    }
    return calls;
  }

  direct_world world_;
  fake_replica* prefill_ = nullptr;
  std::vector<fake_replica*> decode_;
};

// The prefill engine alone takes 1,200 ms for these prompts, so that four of them would be late.
TEST_F(prompt_burst_test, ShortPrompts_BeyondThePrefillEngine_AreReadByDecodeEnginesInTime) {
  const auto calls = SendBurst(16, 1'500);
  EXPECT_TRUE(world_.RunUntil(
      [&] { return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->done; }); }, kTarget));
  for (const caller_exchange_ptr& call : calls) {
    EXPECT_EQ(call->Status(), 200);
    EXPECT_FALSE(call->failure);
  }
  EXPECT_GT(prefill_->Prefills(), 0);
  for (const fake_replica* engine : decode_) {
    EXPECT_LE(engine->MostPromptsAtOnce(), 1U) << "streams pause for more than one prompt";
  }
  EXPECT_TRUE(world_.Board().OwnUses().empty());
}

// While a decode engine reads a long prompt, its other streams pause longer than their callers allow.
TEST_F(prompt_burst_test, LongPrompts_BeyondThePrefillEngine_WaitForIt) {
  const auto calls = SendBurst(5, 4'000);
  for (const caller_exchange_ptr& call : calls) {
    ASSERT_TRUE(world_.Finish(call));
  }
  for (const fake_replica* engine : decode_) {
    EXPECT_TRUE(engine->OwnPrompts().empty());
  }
}

// A long prompt at the head of the queue must not keep short ones from engines that it cannot use.
TEST_F(prompt_burst_test, ShortPromptBehindLongOnes_IsReadByADecodeEngine) {
  const auto calls = SendBurst(5, 4'000);
  world_.RunFor(milliseconds(20));
  const auto call = world_.SendModel("/chat/1", "short", 1'000);
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(calls.back()->Status(), 0) << "the last long prompt waits";
  for (const caller_exchange_ptr& other : calls) {
    ASSERT_TRUE(world_.Finish(other));
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. directory and readiness
// ---------------------------------------------------------------------------------------------------------------------

class directory_test : public testing::Test {
 protected:
  directory_test() : replica_(world_.AddReplica(PlainReplica("app-1"))) {}

  direct_world world_;
  fake_replica& replica_;
};

// A router that knows no desired state cannot tell that a route does not exist.
TEST_F(directory_test, Router_WithoutDesiredState_IsNotReadyAndAnswers503) {
  world_.StartWithoutWaiting();
  world_.RunFor(milliseconds(50));
  EXPECT_EQ(world_.Readiness(), 503);
  const auto call = world_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
}

TEST_F(directory_test, Router_WithDesiredState_IsReadyAndAnswers404ForUnknownRoutes) {
  world_.WriteDesiredState();
  ASSERT_TRUE(world_.Start());
  EXPECT_EQ(world_.Readiness(), 200);
  const auto call = world_.Send("GET", "/unknown/1", "a1");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 404);
}

TEST_F(directory_test, NewDesiredState_IsInForceSoon_AndALowerOneNever) {
  world_.WriteDesiredState({.version = 5});
  ASSERT_TRUE(world_.Start());
  world_.WriteDesiredState({.version = 7});
  EXPECT_TRUE(world_.RunUntil([this] { return world_.Directory().Routes()->Revision() == 7; }, milliseconds(2'000)));
  world_.WriteDesiredState({.version = 6});
  world_.RunFor(milliseconds(200));
  EXPECT_EQ(world_.Directory().Routes()->Revision(), 7U);
}

TEST_F(directory_test, StoreOutage_KeepsServingAndTakesUpChangesAfterwards) {
  world_.WriteDesiredState();
  ASSERT_TRUE(world_.Start());
  world_.Platform().Faults().outage = true;
  ASSERT_TRUE(world_.RunUntil([this] { return !world_.Directory().IsStoreReachable(); }));
  const auto call = world_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  world_.WriteDesiredState({.version = 2});
  world_.Platform().Faults().outage = false;
  EXPECT_TRUE(world_.RunUntil([this] { return world_.Directory().Routes()->Revision() == 2; }, milliseconds(3'000)));
}

TEST_F(directory_test, LostHistory_IsReplacedByReadingTheTableAgain) {
  world_.WriteDesiredState();
  ASSERT_TRUE(world_.Start());
  world_.Platform().Faults().outage = true;
  ASSERT_TRUE(world_.RunUntil([this] { return !world_.Directory().IsStoreReachable(); }));
  world_.WriteDesiredState({.version = 2});
  replica_.Unregister(world_.Platform().Tables());
  world_.Platform().Tables().DropHistory();
  world_.Platform().Faults().outage = false;
  EXPECT_TRUE(world_.RunUntil([this] { return world_.Directory().Routes()->Revision() == 2; }, milliseconds(3'000)));
  EXPECT_TRUE(world_.RunUntil([this] { return world_.Directory().Endpoints().Size() == 0; }, milliseconds(5'000)));
}

// The platform counts calls; endpoints start and leave together, and a call for each of them is many with 24 routers.
TEST_F(directory_test, ChangesOfManyEndpoints_AtOnce_AreReadWithFewCalls) {
  world_.WriteDesiredState();
  ASSERT_TRUE(world_.Start());
  const std::uint64_t before = world_.Platform().Counts().feeds;
  const time_point begin = timer_service::Now();
  for (int i = 2; i < 42; ++i) {
    world_.AddReplica(PlainReplica("app-" + std::to_string(i)));
    world_.RunFor(milliseconds(10));
  }
  ASSERT_TRUE(world_.RunUntil([this] { return world_.Directory().Endpoints().Size() == 41; }));
  const auto took = std::chrono::duration_cast<milliseconds>(timer_service::Now() - begin);
  // One a tenth of a second for the endpoints, and the waits of both tables that end without a change.
  const auto waits = static_cast<std::uint64_t>(2 * (took / world_.Settings().feed_wait + 1));
  EXPECT_LE(world_.Platform().Counts().feeds - before, static_cast<std::uint64_t>(took.count()) / 100 + waits + 1);
}

// An outage behind a silent connection is seen when the call times out; it began with the last answer.
TEST_F(directory_test, EntriesThatLapseInASilentOutage_AreKeptUntilTheEndpointsAreBack) {
  world_.WriteDesiredState();
  ASSERT_TRUE(world_.Start());
  world_.Platform().Faults().delay = milliseconds(60'000);
  world_.RunFor(milliseconds(2'520));
  replica_.Unregister(world_.Platform().Tables());
  world_.Platform().Faults().delay = milliseconds(0);
  ASSERT_TRUE(world_.RunUntil([this] { return world_.Directory().IsStoreReachable(); }));
  world_.RunFor(milliseconds(300));
  EXPECT_EQ(world_.Directory().Endpoints().Size(), 1U) << "it may be back within two seconds";
}

// A store that takes calls and never answers looks alive to a connection; only the time limit of the call shows it.
TEST_F(directory_test, SilentStore_IsNoticedAndServingGoesOn) {
  world_.WriteDesiredState();
  ASSERT_TRUE(world_.Start());
  world_.Platform().Faults().silent = true;
  const milliseconds limit = world_.Settings().feed_wait + world_.Settings().store_timeout;
  EXPECT_TRUE(world_.RunUntil([this] { return !world_.Directory().IsStoreReachable(); }, limit * 2));
  const auto call = world_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  world_.WriteDesiredState({.version = 2});
  world_.Platform().Faults().silent = false;
  EXPECT_TRUE(world_.RunUntil([this] { return world_.Directory().Routes()->Revision() == 2; }, milliseconds(3'000)));
}

// The store may turn single callers or calls away while it serves others.
TEST_F(directory_test, RefusedCallsOfOneTable_LeaveTheOtherInForce) {
  world_.WriteDesiredState();
  ASSERT_TRUE(world_.Start());
  for (const int status : {503, 429}) {
    world_.Platform().Faults().refused_path = "/rows-feed?table=servers";
    world_.Platform().Faults().refused_status = status;
    world_.RunFor(milliseconds(600));
    const std::uint64_t revision = world_.Directory().Routes()->Revision() + 1;
    world_.WriteDesiredState({.version = revision});
    EXPECT_TRUE(
        world_.RunUntil([&] { return world_.Directory().Routes()->Revision() == revision; }, milliseconds(2'000)))
        << status;
    EXPECT_EQ(world_.Directory().Endpoints().Size(), 1U) << status;
  }
}

// Another writer's row must not harm the others.
TEST_F(directory_test, EntryThatCannotBeRead_NamesNoEndpointAndHarmsNoOther) {
  world_.WriteDesiredState();
  world_.Platform().Tables().Commit({{{"servers", "bad-1"}, "not json", false, std::nullopt},
                                     {{"servers", "bad-2"}, R"({"service":7,"state":"ready"})", false, std::nullopt},
                                     {{"servers", "bad-3"}, std::string("\xff\x00", 2), false, std::nullopt}});
  ASSERT_TRUE(world_.Start());
  const auto call = world_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(world_.Directory().Endpoints().Size(), 1U);
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. planned stop
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(plain_call_test, PlannedStop_WithARequestInProgress_LetsItEndAndIsNotReady) {
  SetBoth({.mute = true});
  const auto call = world_.Send("POST", "/submit/1", "a1", {}, "quiz");
  ASSERT_TRUE(world_.RunUntil([this] { return first_.RunningNow() + second_.RunningNow() == 1; }));
  const auto finished = world_.BeginStop();
  EXPECT_EQ(world_.Readiness(), 503);
  ASSERT_TRUE(world_.RunUntil([&] { return *finished; }));
  world_.Kernel().Stop();  // as at the end of the program: what has not been written by now is lost
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_FALSE(call->failure);
  EXPECT_EQ(call->Status(), 504);  // the route's timeout has ended it, not the stop
}

TEST_F(plain_call_test, PlannedStop_BeforeTheBalancerNotices_StillServesNewCalls) {
  const auto finished = world_.BeginStop();
  const auto call = world_.Send("GET", "/pages/1", "a1");
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(call->Header("Connection"), "close");
  EXPECT_TRUE(world_.RunUntil([&] { return *finished; }));
}

TEST_F(model_call_test, PlannedStop_WithAShortModelRequest_StillServesIt) {
  const auto finished = world_.BeginStop();
  const auto call = world_.SendModel("/chat/1", "a1", 1'000, 100);
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->body, WholeStream("a1", 5));
  EXPECT_TRUE(world_.RunUntil([&] { return *finished; }));
}

// A long stream would outlast the time for the stop; another router can take it at once.
TEST_F(model_call_test, PlannedStop_WithALongModelRequest_SendsItElsewhereAtOnce) {
  const auto finished = world_.BeginStop();
  const auto call = world_.SendModel("/chat/1", "a1", 1'000, 3'000);
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_LT(std::stod(call->Header("Retry-After")), 0.1);
  EXPECT_EQ(Runs("a1"), 0);
  EXPECT_TRUE(world_.RunUntil([&] { return *finished; }));
}

// Refused, a caller comes back late; engines that are faster than assumed end its stream in time.
TEST_F(model_call_test, PlannedStop_WithALongRequestOnFastEngines_StillServesIt) {
  for (int i = 0; i < 100; ++i) {
    ASSERT_TRUE(world_.Finish(world_.SendModel("/chat/1", "a" + std::to_string(i))));
  }
  const auto finished = world_.BeginStop();
  const auto call = world_.SendModel("/chat/1", "long", 1'000, 3'000);
  ASSERT_TRUE(world_.Finish(call));
  EXPECT_EQ(call->body, WholeStream("long", 5));
  EXPECT_TRUE(world_.RunUntil([&] { return *finished; }));
}

// ---------------------------------------------------------------------------------------------------------------------
// 5. orders
// ---------------------------------------------------------------------------------------------------------------------

class stage_orders_test : public testing::Test {
 protected:
  stage_orders_test()
      : world_([](direct_settings& settings) {
          settings.order_stages = true;
          settings.stage_settle = milliseconds(50);
          settings.deployment.first_start = true;
        }) {
    world_.WriteDesiredState({.timeout_ms = 14'000});
    for (int i = 0; i < 6; ++i) {
      engines_.push_back(&world_.AddReplica(Engine("e-" + std::to_string(i), i < 4 ? "prefill" : "decode")));
    }
  }

  int Orders() const {
    int orders = 0;
    for (const fake_replica* engine : engines_) {
      orders += engine->Orders();
    }
    return orders;
  }

  direct_world world_;
  std::vector<fake_replica*> engines_;
};

TEST_F(stage_orders_test, ExcessOfPrefillEngines_IsOrderedToDecodeOnce) {
  ASSERT_TRUE(world_.Start());
  ASSERT_TRUE(world_.RunUntil([this] { return Orders() > 0; }));
  world_.RunFor(milliseconds(1'500));
  EXPECT_GE(Orders(), 1);
  EXPECT_LE(Orders(), 3);
  for (const fake_replica* engine : engines_) {
    EXPECT_LE(engine->Orders(), 1) << engine->Name();
  }
}

// The write of the lease may be carried out after the call has failed. Orders wait until the row has been read with
// this router as its holder, and carry the version of a row that it has written.
TEST_F(stage_orders_test, LeaseWrite_ThatTakesEffectLate_LeadsToOneOrderForEachEngine) {
  world_.Platform().Faults().late_writes = 1;
  ASSERT_TRUE(world_.Start());
  world_.RunFor(milliseconds(100));
  EXPECT_EQ(Orders(), 0);
  ASSERT_TRUE(world_.RunUntil([this] { return Orders() > 0; }, milliseconds(20'000)));
  world_.RunFor(milliseconds(1'500));
  EXPECT_LE(Orders(), 3);
  for (const fake_replica* engine : engines_) {
    EXPECT_LE(engine->Orders(), 1) << engine->Name();
  }
}

// Two holders at once would undo each other's orders.
TEST_F(stage_orders_test, RowOfAnotherHolder_ThatIsFresh_StopsAllOrders) {
  world_.Platform().Tables().Commit({{{"persimmon_leases", "llm"}, R"({"holder":"router-9"})", false, std::nullopt}});
  ASSERT_TRUE(world_.Start());
  world_.RunFor(milliseconds(2'000));
  EXPECT_EQ(Orders(), 0);
}

}  // namespace
}  // namespace persimmon
