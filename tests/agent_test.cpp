// link: persimmon_platform persimmon_fake_parts
// Guards against leaked decode memory, work that runs twice or after a refusal, streams with gaps, and commands of a
// superseded agent. Runs the real programs; the test acts as the routers.
#include <fmt/format.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "fakes/fake_engine.h"
#include "persimmon/prefix_index.h"
#include "support/agent_harness.h"

namespace persimmon {
namespace {

using support::agent_harness;
using support::child_process;
using support::FreePort;
using support::json;
using support::simulated_router;
using support::SingleValue;

constexpr const char* kIncarnationRowPath = "/rows-get?table=incarnations&part=&from=agent%2Fendpoint-a";

// A decode of this many tokens takes longer than any test runs.
constexpr std::uint32_t kLongDecodeTokens = 100'000;

// Guarantee G1 (docs/guarantees.md) and the design require that memory is released within this time after the loss of a
// router or a cancel.
constexpr milliseconds kMaxReleaseTime(2'000);

std::string MakePrompt(std::size_t words, const std::string& prefix = "word") {
  std::string prompt;
  for (std::size_t i = 0; i < words; ++i) {
    prompt += fmt::format("{}{} ", prefix, i);
  }
  return prompt;
}

class agent_test : public agent_harness {
 protected:
  static reserve_slot MakeReservation(const std::string& attempt, slot_role role) {
    reserve_slot request;
    request.attempt = attempt_id{attempt};
    request.role = role;
    request.hold_ms = 60'000;
    request.latest_start_ms = 1'000;
    request.prompt_tokens = 1'000;
    request.output_tokens = 1'000;
    return request;
  }

  // Repeats the request until the slot is granted, because the agent may not have received its configuration yet.
  void Reserve(simulated_router& router, const std::string& attempt, slot_role role) {
    const bool granted = RunUntil([&] {
      const bool refused = router.Last<slot_refused>(attempt) != nullptr;
      if (router.Last<slot_granted>(attempt) == nullptr &&
          (router.Count<slot_refused>(attempt) == reservations_sent_[attempt])) {
        ++reservations_sent_[attempt];
        router.Send(MakeReservation(attempt, role));
      }
      return router.Last<slot_granted>(attempt) != nullptr || (refused && reservations_sent_[attempt] > 200);
    });
    ASSERT_TRUE(granted && router.Last<slot_granted>(attempt) != nullptr) << AgentLog();
  }

  void StartPrefill(simulated_router& router, const std::string& attempt, const std::string& prompt) {
    Reserve(router, attempt, slot_role::kPrefill);
    start_prefill start;
    start.attempt = attempt_id{attempt};
    start.request = request_id{"request-" + attempt};
    start.model = "model-a";
    start.prompt = prompt;
    router.Send(start);
  }

  kv_ticket AwaitTicket(simulated_router& router, const std::string& attempt) {
    const bool has_ticket = RunUntil([&] {
      const auto* progress = router.Last<prefill_progress>(attempt);
      return progress != nullptr && !progress->ticket.id.empty();
    });
    EXPECT_TRUE(has_ticket) << AgentLog();
    return has_ticket ? router.Last<prefill_progress>(attempt)->ticket : kv_ticket();
  }

  void StartDecode(simulated_router& router, const std::string& attempt, const kv_ticket& ticket,
                   std::uint32_t max_tokens, std::uint32_t offset = 0) {
    Reserve(router, attempt, slot_role::kDecode);
    start_decode start;
    start.attempt = attempt_id{attempt};
    start.request = request_id{"request-" + attempt};
    start.model = "model-a";
    start.ticket = ticket;
    start.max_tokens = max_tokens;
    start.offset = offset;
    router.Send(start);
  }

  // Starts a decode and waits until it has produced some tokens.
  void RunDecode(simulated_router& router, const std::string& attempt, const std::string& prompt,
                 std::uint32_t max_tokens) {
    StartPrefill(router, "prefill-" + attempt, prompt);
    const kv_ticket ticket = AwaitTicket(router, "prefill-" + attempt);
    StartDecode(router, attempt, ticket, max_tokens);
    ASSERT_TRUE(RunUntil([&] { return router.ReceivedTokens(attempt).size() >= 3; })) << AgentLog();
  }

  // Waits until the engine has released all decode memory. Returns the time taken.
  milliseconds TimeUntilMemoryReleased() {
    const time_point begin = std::chrono::steady_clock::now();
    EXPECT_TRUE(RunUntil([this] { return MemoryHeld() == 0; })) << AgentLog();
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
  }

  static std::vector<std::string> ExpectedTokens(const std::string& prompt, std::uint32_t from, std::uint32_t to) {
    std::vector<std::string> token_texts;
    for (std::uint32_t n = from; n < to; ++n) {
      token_texts.push_back(FakeToken(prompt, n));
    }
    return token_texts;
  }

  std::map<std::string, std::size_t> reservations_sent_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 1. whole answers
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(agent_test, Decode_WhenStartedDuringPrefill_StreamsTheWholeAnswer) {
  StartModelEndpoint();
  const std::string prompt = MakePrompt(5'000);
  StartPrefill(Router(), "p", prompt);
  StartDecode(Router(), "d", AwaitTicket(Router(), "p"), 20);
  ASSERT_TRUE(RunUntil([&] {
    const auto* part = Router().Last<tokens>("d");
    return part != nullptr && part->state != work_state::kRunning;
  }));
  EXPECT_EQ(Router().Last<tokens>("d")->state, work_state::kFinished);
  EXPECT_EQ(Router().Last<tokens>("d")->reason, "length");
  EXPECT_EQ(Router().ReceivedTokens("d"), ExpectedTokens(prompt, 0, 20));
  EXPECT_EQ(Router().Last<prefill_progress>("p")->state, work_state::kFinished);
  EXPECT_EQ(Router().Last<prefill_progress>("p")->computed_tokens, 5'000U);
}

TEST_F(agent_test, Decode_WithTransferLongerThanStreamTimeout_IsNotReportedAsStalled) {
  // Four pieces of 250 ms each.
  StartModelEndpoint({}, "[limits]\nstream_timeout_ms = 600");
  const std::string prompt = MakePrompt(8'000);
  StartPrefill(Router(), "p", prompt);
  StartDecode(Router(), "d", AwaitTicket(Router(), "p"), 5);
  ASSERT_TRUE(RunUntil([&] {
    const auto* part = Router().Last<tokens>("d");
    return part != nullptr && part->state != work_state::kRunning;
  }));
  EXPECT_EQ(Router().ReceivedTokens("d"), ExpectedTokens(prompt, 0, 5));
  EXPECT_EQ(AgentLog().find("A transfer has stalled"), std::string::npos);
}

// Guards against different prefix hashes in engines and routers, with which no cached prefix would ever be found.
TEST_F(agent_test, LoadReport_AfterPrefill_ContainsCacheEvents) {
  StartModelEndpoint({"--event_lag_ms=0"});
  const std::string prompt = MakePrompt(600);
  StartPrefill(Router(), "p", prompt);
  std::vector<std::uint64_t> hashes;
  ASSERT_TRUE(RunUntil([&] {
    hashes.clear();
    for (const load_report& report : Router().reports) {
      for (const cache_event& event : report.cache_events) {
        hashes.push_back(event.prefix_hash);
      }
    }
    return hashes.size() >= 2;
  }));
  EXPECT_EQ(hashes, HashPromptBlocks(prompt));
}

TEST_F(agent_test, Work_WithTraceFile_WritesASpanPerStep) {
  const std::string trace = folder_ / "traces.jsonl";
  StartModelEndpoint({}, "[trace]\nfile = " + trace);
  RunDecode(Router(), "d", MakePrompt(100), 4);
  const auto has_spans = [&trace] {
    std::ifstream file(trace);
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    return text.find("agent.prefill") != std::string::npos && text.find("agent.transfer") != std::string::npos &&
           text.find("agent.decode") != std::string::npos;
  };
  EXPECT_TRUE(RunUntil(has_spans));
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. cancel and loss of routers
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(agent_test, Cancel_WhenReserved_FreesTheSlotAndTombstones) {
  StartModelEndpoint({"--decode_slots=1"});
  Reserve(Router(), "d1", slot_role::kDecode);
  Router().Send(MakeReservation("d2", slot_role::kDecode));
  ASSERT_TRUE(RunUntil([this] { return Router().Last<slot_refused>("d2") != nullptr; }));
  EXPECT_EQ(Router().Last<slot_refused>("d2")->reason, refusal_reason::kBusy);
  Router().Send(cancel{attempt_id{"d1"}, 0, false});
  ASSERT_TRUE(RunUntil([this] { return Router().Last<attempt_status>("d1") != nullptr; }));
  EXPECT_EQ(Router().Last<attempt_status>("d1")->phase, attempt_phase::kTombstoned);
  Reserve(Router(), "d3", slot_role::kDecode);
  start_decode late;
  late.attempt = attempt_id{"d1"};
  Router().Send(late);
  ASSERT_TRUE(RunUntil([this] { return Router().Last<tokens>("d1") != nullptr; }));
  EXPECT_EQ(Router().Last<tokens>("d1")->state, work_state::kFailed);
  EXPECT_EQ(Router().Last<tokens>("d1")->reason, "tombstoned");
}

TEST_F(agent_test, Cancel_DuringPrefill_FreesTheEngine) {
  // One piece takes 20 s, so only the cancel can end the prefill within the time limit.
  StartModelEndpoint({"--prefill_tokens_per_s=100"});
  StartPrefill(Router(), "p", MakePrompt(6'000));
  AwaitTicket(Router(), "p");
  ASSERT_EQ(EngineState().value("prefill_running", 0), 1);
  const time_point begin = std::chrono::steady_clock::now();
  Router().Send(cancel{attempt_id{"p"}, 0, false});
  ASSERT_TRUE(RunUntil([this] {
    const json state = EngineState();
    return state.value("prefill_running", 1) == 0 && state.value("kv_held", 1) == 0;
  }));
  EXPECT_LT(std::chrono::steady_clock::now() - begin, kMaxReleaseTime);
  ASSERT_TRUE(RunUntil([this] { return Router().Last<prefill_progress>("p")->state == work_state::kCancelled; }));
}

TEST_F(agent_test, Cancel_DuringTransfer_FreesDecodeMemory) {
  StartModelEndpoint({"--piece_timeout_ms=60000", "--kv_lifetime_ms=60000"});
  Post(engine_port_, "/faults", {{"stall_transfers", true}});
  StartPrefill(Router(), "p", MakePrompt(1'000));
  StartDecode(Router(), "d", AwaitTicket(Router(), "p"), 100);
  ASSERT_TRUE(RunUntil([this] { return MemoryHeld() > 0; }));
  Router().Send(cancel{attempt_id{"d"}, 0, false});
  EXPECT_LT(TimeUntilMemoryReleased(), kMaxReleaseTime);
  ASSERT_TRUE(RunUntil([this] { return Router().Last<tokens>("d") != nullptr; }));
  EXPECT_EQ(Router().Last<tokens>("d")->state, work_state::kCancelled);
}

TEST_F(agent_test, Cancel_DuringDecode_FreesDecodeMemory) {
  StartModelEndpoint();
  RunDecode(Router(), "d", MakePrompt(100), kLongDecodeTokens);
  ASSERT_GT(MemoryHeld(), 0);
  Router().Send(cancel{attempt_id{"d"}, 0, false});
  EXPECT_LT(TimeUntilMemoryReleased(), kMaxReleaseTime);
}

TEST_F(agent_test, RouterKilled_DuringDecode_FreesItsMemoryAndReservations) {
  StartModelEndpoint({"--decode_slots=2"});
  RunDecode(Router(), "d", MakePrompt(100), kLongDecodeTokens);
  Reserve(Router(), "reserved", slot_role::kDecode);
  simulated_router& other = ConnectRouter("router-b");
  Router().Disconnect();
  EXPECT_LT(TimeUntilMemoryReleased(), kMaxReleaseTime);
  Reserve(other, "b1", slot_role::kDecode);
  Reserve(other, "b2", slot_role::kDecode);
}

TEST_F(agent_test, RouterFrozen_DuringDecode_FreesItsMemoryAndReservations) {
  StartModelEndpoint({"--decode_slots=2"});
  RunDecode(Router(), "d", MakePrompt(100), kLongDecodeTokens);
  Reserve(Router(), "reserved", slot_role::kDecode);
  simulated_router& other = ConnectRouter("router-b");
  Router().frozen = true;
  EXPECT_LT(TimeUntilMemoryReleased(), kMaxReleaseTime);
  Reserve(other, "b1", slot_role::kDecode);
  Reserve(other, "b2", slot_role::kDecode);
}

TEST_F(agent_test, RouterKilled_DuringTransfer_FreesItsMemory) {
  StartModelEndpoint({"--piece_timeout_ms=60000", "--kv_lifetime_ms=60000"});
  Post(engine_port_, "/faults", {{"stall_transfers", true}});
  StartPrefill(Router(), "p", MakePrompt(1'000));
  StartDecode(Router(), "d", AwaitTicket(Router(), "p"), 100);
  ASSERT_TRUE(RunUntil([this] { return MemoryHeld() > 0; }));
  Router().Disconnect();
  EXPECT_LT(TimeUntilMemoryReleased(), kMaxReleaseTime);
}

TEST_F(agent_test, RouterRestarted_WithNewerIncarnation_DropsTheOlderAtOnce) {
  StartModelEndpoint();
  RunDecode(Router(), "d", MakePrompt(100), kLongDecodeTokens);
  ConnectRouter("router-a", 2);
  EXPECT_LT(TimeUntilMemoryReleased(), kMaxReleaseTime);
}

TEST_F(agent_test, ChannelLost_AndResumed_StreamsWithoutGapOrDuplicate) {
  StartModelEndpoint();
  constexpr std::uint32_t kTokens = 150;
  const std::string prompt = MakePrompt(100);
  RunDecode(Router(), "d", prompt, kTokens);
  Router().Disconnect();
  // Treats the last two tokens as lost with the channel.
  const auto received = static_cast<std::uint32_t>(Router().ReceivedTokens("d").size()) - 2;
  ASSERT_LT(received, kTokens);
  Router().received.clear();
  // The decode continues without a channel. An agent that sent tokens before resume_stream would cause a gap here.
  ASSERT_TRUE(
      RunUntil([this] { return AgentLog().find("The channel of router router-a was lost") != std::string::npos; }));
  Router().Connect();
  ASSERT_TRUE(RunUntil([this] { return Router().IsConnected(); }));
  ASSERT_TRUE(RunUntil([this] { return MemoryHeld() > 0; }));
  Router().Send(resume_stream{attempt_id{"d"}, received});
  ASSERT_TRUE(RunUntil([this] {
    const auto* part = Router().Last<tokens>("d");
    return part != nullptr && part->state != work_state::kRunning;
  }));
  EXPECT_EQ(Router().Last<tokens>("d")->state, work_state::kFinished);
  EXPECT_EQ(Router().ReceivedTokens("d"), ExpectedTokens(prompt, received, kTokens));
}

TEST_F(agent_test, Resume_OfUnknownAttempt_IsRejected) {
  StartModelEndpoint();
  Router().Send(resume_stream{attempt_id{"nobody"}, 3});
  ASSERT_TRUE(
      RunUntil([this] { return Router().Last<prefill_progress>("nobody") || Router().Last<tokens>("nobody"); }));
  EXPECT_EQ(Router().Last<tokens>("nobody")->state, work_state::kFailed);
  EXPECT_EQ(Router().Last<tokens>("nobody")->reason, "unknown_attempt");
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. failures of the engine
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(agent_test, EngineKilled_DuringDecode_ReportsFailureAndRecovers) {
  StartModelEndpoint();
  const std::string prompt = MakePrompt(100);
  RunDecode(Router(), "d", prompt, kLongDecodeTokens);
  engine_->Signal(SIGKILL);
  ASSERT_TRUE(RunUntil([this] { return Router().Last<tokens>("d")->state != work_state::kRunning; }));
  EXPECT_EQ(Router().Last<tokens>("d")->state, work_state::kFailed);
  EXPECT_EQ(Router().Last<tokens>("d")->reason, kReasonEngineLost);
  const auto token_texts = Router().ReceivedTokens("d");
  EXPECT_EQ(token_texts, ExpectedTokens(prompt, 0, static_cast<std::uint32_t>(token_texts.size())));
  ASSERT_TRUE(RunUntil([this] { return !Router().reports.back().ready; }));
  Router().Send(MakeReservation("refused", slot_role::kPrefill));
  ASSERT_TRUE(RunUntil([this] { return Router().Last<slot_refused>("refused") != nullptr; }));
  EXPECT_EQ(Router().Last<slot_refused>("refused")->reason, refusal_reason::kNotReady);
  StartEngine();
  RunDecode(Router(), "again", prompt, 5);
}

// Guards against taking the end of a cut stream, however its end is framed, for the end of the answer.
TEST_F(agent_test, DecodeStream_CutAtAnyByte_IsNeverReportedAsFinished) {
  StartModelEndpoint({"--kv_lifetime_ms=60000", "--decode_base_ms=0.1", "--decode_slope_ms=0.1"});
  constexpr std::uint32_t kTokens = 2;
  const std::string prompt = MakePrompt(20);
  std::uint32_t number = 0;
  // Decodes the prompt and returns the end that the agent reports.
  const auto decode = [&](const json& faults) {
    Post(engine_port_, "/faults", faults);
    const std::string attempt = "d" + std::to_string(++number);
    StartPrefill(Router(), "prefill-" + attempt, prompt);
    StartDecode(Router(), attempt, AwaitTicket(Router(), "prefill-" + attempt), kTokens);
    EXPECT_TRUE(RunUntil([&] {
      const auto* part = Router().Last<tokens>(attempt);
      return part != nullptr && part->state != work_state::kRunning;
    }));
    return attempt;
  };
  for (const char* framing : {"chunks", "last_chunk", "connection_end"}) {
    bool is_whole = false;
    for (std::size_t bytes = 0; !is_whole && !HasFatalFailure(); ++bytes) {
      const std::string attempt = decode({{"cut_after_bytes", bytes}, {"cut_framing", framing}});
      is_whole = Router().Last<tokens>(attempt)->state == work_state::kFinished;
      const auto received = Router().ReceivedTokens(attempt);
      EXPECT_EQ(received, ExpectedTokens(prompt, 0, static_cast<std::uint32_t>(received.size()))) << bytes;
      EXPECT_TRUE(!is_whole || received.size() == kTokens) << framing << ", after " << bytes << " bytes";
    }
  }
}

// Guards against tokens of an engine that ignores the offset at which a decode continues, or begins too late.
TEST_F(agent_test, DecodeStream_ThatDoesNotBeginAtItsOffset_FailsWithoutAnyToken) {
  StartModelEndpoint({"--kv_lifetime_ms=60000"});
  const std::string prompt = MakePrompt(20);
  for (const int shift : {-3, -1, 1}) {
    Post(engine_port_, "/faults", {{"token_offset_shift", shift}});
    const std::string attempt = "d" + std::to_string(shift);
    StartPrefill(Router(), "prefill-" + attempt, prompt);
    StartDecode(Router(), attempt, AwaitTicket(Router(), "prefill-" + attempt), 8, 3);
    ASSERT_TRUE(RunUntil([&] {
      const auto* part = Router().Last<tokens>(attempt);
      return part != nullptr && part->state != work_state::kRunning;
    }));
    EXPECT_EQ(Router().Last<tokens>(attempt)->state, work_state::kFailed) << shift;
    EXPECT_EQ(Router().ReceivedTokens(attempt), std::vector<std::string>()) << shift;
  }
}

TEST_F(agent_test, Transfer_WhenStalledOnce_IsRepeated) {
  StartModelEndpoint({"--piece_timeout_ms=200", "--kv_lifetime_ms=60000"});
  Post(engine_port_, "/faults", {{"stall_transfers", true}});
  const std::string prompt = MakePrompt(1'000);
  StartPrefill(Router(), "p", prompt);
  StartDecode(Router(), "d", AwaitTicket(Router(), "p"), 10);
  ASSERT_TRUE(RunUntil([this] { return AgentLog().find("A transfer has stalled") != std::string::npos; }));
  Post(engine_port_, "/faults", {{"stall_transfers", false}});
  ASSERT_TRUE(RunUntil([this] {
    const auto* part = Router().Last<tokens>("d");
    return part != nullptr && part->state != work_state::kRunning;
  }));
  EXPECT_EQ(Router().ReceivedTokens("d"), ExpectedTokens(prompt, 0, 10));
}

TEST_F(agent_test, Transfer_WhenStalledTwice_FailsTruthfully) {
  StartModelEndpoint({"--piece_timeout_ms=200", "--kv_lifetime_ms=60000"});
  Post(engine_port_, "/faults", {{"stall_transfers", true}});
  StartPrefill(Router(), "p", MakePrompt(1'000));
  StartDecode(Router(), "d", AwaitTicket(Router(), "p"), 10);
  ASSERT_TRUE(RunUntil([this] { return Router().Last<tokens>("d") != nullptr; }));
  EXPECT_EQ(Router().Last<tokens>("d")->state, work_state::kFailed);
  EXPECT_EQ(Router().Last<tokens>("d")->reason, "transfer_stalled");
  EXPECT_LT(TimeUntilMemoryReleased(), kMaxReleaseTime);
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. configuration, leaving, commands
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(agent_test, Reserve_BeforeAConfigurationIsInForce_IsRefused) {
  StartPlatform();
  StartEngine();
  agent_port_ = FreePort();
  StartAgent(agent_port_);
  ConnectRouter();
  Router().Send(MakeReservation("early", slot_role::kPrefill));
  ASSERT_TRUE(RunUntil([this] { return Router().Last<slot_refused>("early") != nullptr; }));
  EXPECT_EQ(Router().Last<slot_refused>("early")->reason, refusal_reason::kNotReady);
  StoreRecords(1, MakeRecords("endpoint-a", {"prefill", "decode"}, agent_port_));
  Reserve(Router(), "later", slot_role::kPrefill);
}

TEST_F(agent_test, Stop_DuringDecode_FinishesItAndRefusesNewSlots) {
  StartModelEndpoint();
  constexpr std::uint32_t kTokens = 100;
  const std::string prompt = MakePrompt(100);
  RunDecode(Router(), "d", prompt, kTokens);
  agents_.front()->Signal(SIGTERM);
  ASSERT_TRUE(RunUntil([this] { return Router().last_heartbeat.leaving && Router().reports.back().leaving; }));
  Router().Send(MakeReservation("new", slot_role::kPrefill));
  ASSERT_TRUE(RunUntil([this] { return Router().Last<slot_refused>("new") != nullptr; }));
  EXPECT_EQ(Router().Last<slot_refused>("new")->reason, refusal_reason::kLeaving);
  ASSERT_TRUE(RunUntil([this] { return Router().Last<tokens>("d")->state != work_state::kRunning; }));
  EXPECT_EQ(Router().Last<tokens>("d")->state, work_state::kFinished);
  EXPECT_EQ(Router().ReceivedTokens("d"), ExpectedTokens(prompt, 0, kTokens));
  ASSERT_TRUE(RunUntil([this] { return !agents_.front()->IsRunning(); }));
  EXPECT_EQ(agents_.front()->WaitForExit(), 0);
}

TEST_F(agent_test, Draining_InTheRecord_RefusesSlotsUntilItIsActiveAgain) {
  StartModelEndpoint();
  const std::string prompt = MakePrompt(100);
  RunDecode(Router(), "d", prompt, 100);
  Router().snapshot = MakeRecords("endpoint-a", {"prefill", "decode"}, agent_port_, "draining");
  Router().revision = 2;
  ASSERT_TRUE(RunUntil([this] { return Router().last_heartbeat.leaving && Router().last_heartbeat.revision == 2; }))
      << AgentLog();
  Router().Send(MakeReservation("new", slot_role::kDecode));
  ASSERT_TRUE(RunUntil([this] { return Router().Last<slot_refused>("new") != nullptr; }));
  EXPECT_EQ(Router().Last<slot_refused>("new")->reason, refusal_reason::kLeaving);
  ASSERT_TRUE(RunUntil([this] { return Router().Last<tokens>("d")->state != work_state::kRunning; }));
  EXPECT_EQ(Router().ReceivedTokens("d"), ExpectedTokens(prompt, 0, 100));
  Router().snapshot = MakeRecords("endpoint-a", {"prefill", "decode"}, agent_port_);
  Router().revision = 3;
  Reserve(Router(), "again", slot_role::kDecode);
}

TEST_F(agent_test, RoleChange_DuringDecode_WaitsForItsEnd) {
  StartModelEndpoint();
  const std::string prompt = MakePrompt(100);
  RunDecode(Router(), "d", prompt, 100);
  Router().snapshot = MakeRecords("endpoint-a", {"prefill"}, agent_port_);
  Router().revision = 2;
  ASSERT_TRUE(RunUntil([this] { return Router().last_heartbeat.revision == 2; })) << AgentLog();
  Router().Send(MakeReservation("new", slot_role::kDecode));
  ASSERT_TRUE(RunUntil([this] { return Router().Last<slot_refused>("new") != nullptr; }));
  EXPECT_EQ(Router().Last<slot_refused>("new")->reason, refusal_reason::kWrongRole);
  const json prefill_only = {"prefill"};
  ASSERT_TRUE(RunUntil([&] { return EngineState()["roles"] == prefill_only; })) << AgentLog();
  EXPECT_EQ(Router().Last<tokens>("d")->state, work_state::kFinished);
  EXPECT_EQ(Router().ReceivedTokens("d"), ExpectedTokens(prompt, 0, 100));
}

TEST_F(agent_test, SecondAgent_OnTheSamePort_ExitsWithoutOutrankingTheFirst) {
  StartModelEndpoint();
  const incarnation_number first = Router().peer->incarnation;
  child_process& second = StartAgent(agent_port_);
  EXPECT_EQ(second.WaitForExit(), 1);
  EXPECT_EQ(json::parse(SingleValue(FetchJson(platform_port_, kIncarnationRowPath)))["incarnation"], first);
}

class former_agent_test : public agent_test {
 protected:
  // Pauses agent A while a second agent of the same name, B, starts on another port. Then resumes A, which receives a
  // higher revision that removes the prefill role from its engine.
  void ResumeSupersededAgent(const std::string& fencing, bool with_store) {
    StartModelEndpoint({"--fencing=" + fencing});
    ASSERT_TRUE(RunUntil([this] { return AgentLog().find("The engine has accepted") != std::string::npos; }));
    const incarnation_number first = Router().peer->incarnation;
    agents_.front()->Signal(SIGSTOP);
    Router().Disconnect();
    const int second_port = FreePort();
    child_process& second = StartAgent(second_port);
    ASSERT_TRUE(second.WaitForText("The engine has accepted")) << second.Err();
    if (!with_store) {
      Post(platform_port_, "/faults", {{"outage", true}});
    }
    Router().snapshot = MakeRecords("endpoint-a", {"decode"}, agent_port_);
    Router().revision = 9;
    agents_.front()->Signal(SIGCONT);
    Router().Connect();
    ASSERT_TRUE(RunUntil([this] { return Router().IsConnected(); }));
    EXPECT_EQ(Router().peer->incarnation, first);
    const char* expected = with_store ? "was superseded" : "sends no commands";
    ASSERT_TRUE(RunUntil([&] { return AgentLog().find(expected) != std::string::npos; })) << AgentLog();
    EXPECT_TRUE(RunUntil([this] { return Router().last_heartbeat.revision == 9; })) << AgentLog();
    json roles = EngineState()["roles"];
    std::sort(roles.begin(), roles.end());
    EXPECT_EQ(roles, json({"decode", "prefill"}));
  }
};

TEST_F(former_agent_test, Resumed_WithEngineThatChecksFencing_CommandsNothing) {
  ResumeSupersededAgent("check", true);
  // The engine refuses a late command of an older incarnation, even with a higher revision.
  const json late = {{"fence", {{"revision", 99}, {"incarnation", 1}}}, {"roles", {"decode"}}};
  const auto reply = Fetch(engine_port_, "POST", "/v1/commands", late.dump());
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply.value().status, 409);
}

TEST_F(former_agent_test, Resumed_WithEngineThatIgnoresFencing_CommandsNothing) {
  ResumeSupersededAgent("ignore", true);
}

TEST_F(former_agent_test, ResumedWithoutStore_WithEngineThatChecksFencing_CommandsNothing) {
  ResumeSupersededAgent("check", false);
}

TEST_F(former_agent_test, ResumedWithoutStore_WithEngineThatIgnoresFencing_CommandsNothing) {
  ResumeSupersededAgent("ignore", false);
}

class outage_start_test : public agent_test {
 protected:
  // Restarts the agent while the store is unavailable. A router provides the records, which remove the prefill role.
  void RestartDuringOutage(const std::string& fencing) {
    StartModelEndpoint({"--fencing=" + fencing});
    ASSERT_TRUE(RunUntil([this] { return AgentLog().find("The engine has accepted") != std::string::npos; }));
    first_incarnation_ = Router().peer->incarnation;
    agents_.front()->Signal(SIGKILL);
    agents_.front()->WaitForExit();
    Post(platform_port_, "/faults", {{"outage", true}});
    Router().snapshot = MakeRecords("endpoint-a", {"decode"}, agent_port_);
    Router().revision = 9;
    agents_.clear();
    StartAgent(agent_port_);
    ASSERT_TRUE(RunUntil([this] { return Router().IsConnected() && Router().peer->incarnation > first_incarnation_; }));
    ASSERT_TRUE(RunUntil([this] { return Router().last_heartbeat.revision == 9; })) << AgentLog();
  }

  bool HasOnlyDecode() { return EngineState()["roles"] == json({"decode"}); }

  incarnation_number ReadIncarnationRow() {
    const json row = json::parse(SingleValue(FetchJson(platform_port_, kIncarnationRowPath)), nullptr, false);
    return row.is_object() ? row.value("incarnation", 0ULL) : 0;
  }

  incarnation_number first_incarnation_ = 0;
};

TEST_F(outage_start_test, EngineThatTells_IsCommandedWithAHigherNumber) {
  RestartDuringOutage("check");
  ASSERT_TRUE(RunUntil([this] { return HasOnlyDecode(); })) << AgentLog();
  Post(platform_port_, "/faults", {{"outage", false}});
  EXPECT_TRUE(RunUntil([this] { return ReadIncarnationRow() == Router().peer->incarnation; })) << AgentLog();
}

TEST_F(outage_start_test, EngineThatCannotTell_IsServedAsLoadedUntilTheStoreIsBack) {
  RestartDuringOutage("ignore");
  ASSERT_TRUE(RunUntil([this] { return AgentLog().find("sends no commands") != std::string::npos; })) << AgentLog();
  EXPECT_FALSE(HasOnlyDecode());
  Reserve(Router(), "served", slot_role::kDecode);
  Router().Send(cancel{attempt_id{"served"}, 0, false});
  Post(platform_port_, "/faults", {{"outage", false}});
  EXPECT_TRUE(RunUntil([this] { return HasOnlyDecode(); })) << AgentLog();
}

// ---------------------------------------------------------------------------------------------------------------------
// 5. plain calls
// ---------------------------------------------------------------------------------------------------------------------

class agent_call_test : public agent_test {
 protected:
  call_service MakeCall(const std::string& attempt) {
    call_service call;
    call.attempt = attempt_id{attempt};
    call.request = request_id{"request-" + attempt};
    call.incarnation = Router().peer->incarnation;
    call.timeout_ms = 10'000;
    call.method = "POST";
    call.target = "/app/quiz";
    call.body = "body-" + attempt;
    return call;
  }

  // A service that answers each request with its body. It sends each answer a second time, after the next request on
  // the connection has arrived.
  task<> AnswerTwice(asio::ip::tcp::acceptor& acceptor) {
    while (acceptor.is_open()) {
      asio::ip::tcp::socket socket(context_);
      boost::system::error_code failure;
      co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, failure));
      if (!failure) {
        asio::co_spawn(context_, ServeTwice(std::move(socket)), asio::detached);
      }
    }
  }

  static task<> ServeTwice(asio::ip::tcp::socket socket) {
    constexpr std::string_view kBodyStart = "body-";  // and one more character
    std::string input;
    std::string previous;
    boost::system::error_code failure;
    while (!failure) {
      std::array<char, 4'096> bytes{};
      const std::size_t count =
          co_await socket.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failure));
      input.append(bytes.data(), count);
      const auto body = input.find(kBodyStart);
      if (failure || body == std::string::npos || input.size() <= body + kBodyStart.size()) {
        continue;
      }
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n" + input.substr(body, 6);
      input.clear();
      const std::string sent = previous + answer;
      previous = answer;
      co_await asio::async_write(socket, asio::buffer(sent), asio::redirect_error(asio::use_awaitable, failure));
    }
  }

  std::uint64_t CountCalls(const std::string& attempt) {
    const json calls = FetchJson(engine_port_, "/calls")["calls"];
    return calls.value("POST /app/quiz body-" + attempt, 0ULL);
  }

  const service_answer* AwaitAnswer(const std::string& attempt, std::size_t number = 1) {
    const bool answered = RunUntil([&] { return Router().Count<service_answer>(attempt) >= number; });
    EXPECT_TRUE(answered) << AgentLog();
    return Router().Last<service_answer>(attempt);
  }
};

TEST_F(agent_call_test, Call_WhenRepeated_RunsOnceAndAnswersEach) {
  StartServiceEndpoint({"--delay_ms=100"});
  Router().Send(MakeCall("a"));
  Router().Send(MakeCall("a"));
  AwaitAnswer("a");
  Router().Send(MakeCall("a"));
  const service_answer* repeated = AwaitAnswer("a", 2);
  ASSERT_NE(repeated, nullptr);
  EXPECT_EQ(repeated->outcome, outcome_kind::kAnswered);
  EXPECT_EQ(repeated->status, 200U);
  EXPECT_EQ(CountCalls("a"), 1U);
}

TEST_F(agent_call_test, Call_WhenTombstoned_NeverRuns) {
  StartServiceEndpoint();
  Router().Send(cancel{attempt_id{"a"}, Router().peer->incarnation, true});
  Router().Send(MakeCall("a"));
  EXPECT_EQ(AwaitAnswer("a")->outcome, outcome_kind::kNotRun);
  EXPECT_EQ(Router().Last<attempt_status>("a")->phase, attempt_phase::kTombstoned);
  EXPECT_EQ(CountCalls("a"), 0U);
}

// The next caller got the late second copy of an earlier answer.
TEST_F(agent_call_test, Answer_SentAgainLateByTheService_ReachesNoOtherCaller) {
  StartPlatform();
  asio::ip::tcp::acceptor acceptor(context_, {asio::ip::make_address("127.0.0.1"), 0});
  engine_port_ = acceptor.local_endpoint().port();
  asio::co_spawn(context_, AnswerTwice(acceptor), asio::detached);
  agent_port_ = FreePort();
  StoreRecords(1, MakeRecords("endpoint-a", {"service"}, agent_port_));
  StartAgent(agent_port_, "service");
  ConnectRouter();
  ASSERT_TRUE(AwaitReady()) << AgentLog();
  for (const char* attempt : {"a", "b", "c"}) {
    Router().Send(MakeCall(attempt));
    const auto* answer = AwaitAnswer(attempt);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->body, std::string("body-") + attempt);
  }
  acceptor.close();
}

TEST_F(agent_call_test, Call_ForAnotherIncarnation_NeverRunsAndReportsMayHaveRun) {
  StartServiceEndpoint();
  call_service call = MakeCall("a");
  call.incarnation += 1;
  Router().Send(call);
  EXPECT_EQ(AwaitAnswer("a")->outcome, outcome_kind::kMayHaveRun);
  EXPECT_EQ(CountCalls("a"), 0U);
}

TEST_F(agent_call_test, Call_WhenServiceCrashesBeforeItsAnswer_ReportsMayHaveRun) {
  StartServiceEndpoint();
  Post(engine_port_, "/faults", {{"crash_before_answer", 1}});
  Router().Send(MakeCall("a"));
  const service_answer* answer = AwaitAnswer("a");
  EXPECT_EQ(answer->outcome, outcome_kind::kMayHaveRun);
  EXPECT_EQ(answer->reason, kReasonEngineLost);
  // The service has exited: a call that cannot be sent has not run.
  ASSERT_TRUE(engine_->WaitForExit().has_value());
  Router().Send(MakeCall("b"));
  EXPECT_EQ(AwaitAnswer("b")->outcome, outcome_kind::kNotRun);
}

TEST_F(agent_call_test, Query_WithWait_IsAnsweredAtTheEndOfTheCall) {
  StartServiceEndpoint({"--delay_ms=200"});
  Router().Send(MakeCall("a"));
  Router().Send(query_attempt{attempt_id{"a"}, 0, false});
  Router().Send(query_attempt{attempt_id{"a"}, 0, true});
  ASSERT_TRUE(RunUntil([this] { return Router().Count<attempt_status>("a") >= 2; }));
  EXPECT_EQ(Router().Last<attempt_status>("a")->phase, attempt_phase::kDone);
  EXPECT_TRUE(Router().Last<attempt_status>("a")->has_answer);
}

TEST_F(agent_call_test, Stop_DuringCall_AnswersItAndRefusesNewCallsWithProof) {
  StartServiceEndpoint({"--delay_ms=500"});
  Router().Send(MakeCall("a"));
  ASSERT_TRUE(RunUntil([this] { return CountCalls("a") == 1; }));
  agents_.front()->Signal(SIGTERM);
  ASSERT_TRUE(RunUntil([this] { return Router().last_heartbeat.leaving; }));
  Router().Send(MakeCall("b"));
  EXPECT_EQ(AwaitAnswer("b")->outcome, outcome_kind::kNotRun);
  EXPECT_EQ(AwaitAnswer("a")->outcome, outcome_kind::kAnswered);
  ASSERT_TRUE(RunUntil([this] { return !agents_.front()->IsRunning(); }));
  EXPECT_EQ(agents_.front()->WaitForExit(), 0);
  EXPECT_EQ(CountCalls("b"), 0U);
}

}  // namespace
}  // namespace persimmon
