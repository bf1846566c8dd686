// link: persimmon_platform persimmon_fake_parts
// Guards against decode memory that nobody uses, work that runs twice or after a refusal, streams with gaps, and
// commands of a former agent. Real processes; the test plays the routers.
#include <fmt/format.h>

#include "fakes/fake_engine.h"
#include "support/agent_harness.h"

namespace persimmon {
namespace {

using support::agent_harness;
using support::child_process;
using support::FreePort;
using support::json;
using support::test_router;

// A decode of this many tokens takes longer than any test.
constexpr std::uint32_t kEndlessTokens = 100'000;

// G1 and the design promise that memory is free within this time after the loss of a router or a cancel.
constexpr milliseconds kFreeLimit(2'000);

std::string MakePrompt(std::size_t words, const std::string& mark = "word") {
  std::string prompt;
  for (std::size_t i = 0; i < words; ++i) {
    prompt += fmt::format("{}{} ", mark, i);
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

  // Repeats the request until the slot is granted, because the agent may still learn its configuration.
  void Reserve(test_router& router, const std::string& attempt, slot_role role) {
    const bool granted = RunUntil([&] {
      const bool refused = router.Last<slot_refused>(attempt) != nullptr;
      if (router.Last<slot_granted>(attempt) == nullptr && (router.Count<slot_refused>(attempt) == asked_[attempt])) {
        ++asked_[attempt];
        router.Send(MakeReservation(attempt, role));
      }
      return router.Last<slot_granted>(attempt) != nullptr || (refused && asked_[attempt] > 200);
    });
    ASSERT_TRUE(granted && router.Last<slot_granted>(attempt) != nullptr) << AgentLog();
  }

  void StartPrefill(test_router& router, const std::string& attempt, const std::string& prompt) {
    Reserve(router, attempt, slot_role::kPrefill);
    start_prefill start;
    start.attempt = attempt_id{attempt};
    start.request = request_id{"request-" + attempt};
    start.model = "model-a";
    start.prompt = prompt;
    router.Send(start);
  }

  kv_ticket AwaitTicket(test_router& router, const std::string& attempt) {
    const bool known = RunUntil([&] {
      const auto* progress = router.Last<prefill_progress>(attempt);
      return progress != nullptr && !progress->ticket.id.empty();
    });
    EXPECT_TRUE(known) << AgentLog();
    return known ? router.Last<prefill_progress>(attempt)->ticket : kv_ticket();
  }

  void StartDecode(test_router& router, const std::string& attempt, const kv_ticket& ticket, std::uint32_t max_tokens,
                   std::uint32_t offset = 0) {
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

  // A decode that has produced some tokens.
  void RunDecode(test_router& router, const std::string& attempt, const std::string& prompt, std::uint32_t max_tokens) {
    StartPrefill(router, "prefill-" + attempt, prompt);
    const kv_ticket ticket = AwaitTicket(router, "prefill-" + attempt);
    StartDecode(router, attempt, ticket, max_tokens);
    ASSERT_TRUE(RunUntil([&] { return router.ReceivedTokens(attempt).size() >= 3; })) << AgentLog();
  }

  // Time until the engine holds nothing for decodes.
  milliseconds TimeUntilFree() {
    const time_point begin = std::chrono::steady_clock::now();
    EXPECT_TRUE(RunUntil([this] { return MemoryHeld() == 0; })) << AgentLog();
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
  }

  static std::vector<std::string> ExpectedTokens(const std::string& prompt, std::uint32_t from, std::uint32_t to) {
    std::vector<std::string> pieces;
    for (std::uint32_t n = from; n < to; ++n) {
      pieces.push_back(FakeToken(prompt, n));
    }
    return pieces;
  }

  std::map<std::string, std::size_t> asked_;
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

}  // namespace
}  // namespace persimmon
