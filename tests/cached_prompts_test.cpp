// link: persimmon_direct persimmon_fake_parts
// Placement by cached prompts and the check of prefills, at the router without agents, with fakes of the platform and
// the endpoints. If not stated otherwise, the fake engines read prompts without delay, so that no measured time
// contradicts a hint.
//
// Sections
//   1. cached prompts
//   2. other routers
//   3. check of prefills
//   4. without the adaptive policy
#include <gtest/gtest.h>

#include <algorithm>

#include "core/telemetry.h"
#include "direct/prompt_tracker.h"
#include "net/datagram.h"
#include "support/router_harness.h"

namespace persimmon {
namespace {

using fakes::fake_replica;
using fakes::replica_options;
using support::caller_exchange_ptr;
using support::json;
using support::router_harness;

constexpr std::uint32_t kPromptTokens = 4'000;
constexpr int kPrefillEngines = 4;
constexpr int kPrompts = 5;  // the right engine is chosen for all of them by chance in one of 1,024 runs

// Another router that knows this one and receives its messages.
class prompt_peer {
 public:
  explicit prompt_peer(router_harness& harness)
      : harness_(harness),
        socket_(harness.Kernel().Context(), host_port{"127.0.0.1", 0},
                [this](const host_port&, const message& received) {
                  if (const auto* prompt = std::get_if<prompt_prefilled>(&received)) {
                    prompts.push_back(*prompt);
                  }
                }) {
    EXPECT_TRUE(socket_.Start());
    router_state state;
    state.name = "router-2";
    state.incarnation = 7;
    state.sequence = 1;
    Send(message(state));
    harness_.RunFor(milliseconds(20));
  }
  ~prompt_peer() { socket_.Stop(); }

  void Send(const message& value) {
    socket_.Send({"127.0.0.1", harness_.Settings().deployment.first_internal_port}, value);
  }

  std::vector<prompt_prefilled> prompts;

 private:
  router_harness& harness_;
  datagram_socket socket_;
};

class cached_prompts_test : public testing::Test {
 protected:
  explicit cached_prompts_test(const std::string& adaptive = "on", int hold_ms = 2'000, std::uint32_t tokens_per_ms = 0)
      : harness_([&adaptive](direct_settings& settings) { settings.adaptive = adaptive; }),
        tokens_per_ms_(tokens_per_ms) {
    for (int i = 0; i < kPrefillEngines; ++i) {
      prefill_.push_back(&AddEngine("prefill-" + std::to_string(i), "prefill"));
    }
    decode_ = &AddEngine("decode-0", "decode");
    harness_.WriteDesiredState({.timeout_ms = 14'000, .hold_ms = hold_ms});
  }
  void SetUp() override { ASSERT_TRUE(harness_.Start()); }

  fake_replica& AddEngine(const std::string& name, const std::string& stage) {
    replica_options options;
    options.name = name;
    options.service = "llm";
    options.stage = stage;
    options.memory_tokens = 10'000;
    options.tokens_per_ms = stage == "prefill" ? tokens_per_ms_ : 0;
    return harness_.AddReplica(options);
  }

  // `last_part`: hexadecimal id of the part that belongs to the request.
  caller_exchange_ptr Send(const std::string& attempt, const std::string& last_part,
                           milliseconds budget = milliseconds(14'000), const std::string& path = "/chat/1") {
    header_list headers = {{"Persimmonchute-Model", "m"},
                           {"Persimmonchute-Token-Count", std::to_string(kPromptTokens) + ",100"},
                           {"Persimmonchute-Length-Hint", "100"},
                           {"Persimmonchute-Prompt-Prefix", last_part + ":" + std::to_string(kPromptTokens)},
                           {"Persimmonchute-Deadline-Ms", std::to_string(budget.count())}};
    auto call = harness_.Send("POST", path, attempt, std::move(headers), "prompt " + last_part);
    EXPECT_TRUE(harness_.Finish(call));
    return call;
  }

  // Sends a request whose prompt is read and whose decode is then rejected, so that its caller has to retry.
  void SendRejected(const std::string& attempt, const std::string& last_part) {
    decode_->Faults().rejects_work = true;
    EXPECT_EQ(Send(attempt, last_part)->Status(), 503);
    decode_->Faults().rejects_work = false;
    EXPECT_TRUE(EngineOf(attempt)) << "the prompt was not read";
  }

  static int CountPrefills(const fake_replica& engine, const std::string& attempt) {
    const auto& requests = engine.Requests();
    return static_cast<int>(std::count_if(requests.begin(), requests.end(), [&attempt](const http_request& request) {
      return FindHeader(request.headers, "Persimmonchute-Attempt-Id") == attempt &&
             FindHeader(request.headers, "Persimmonchute-Stage") == "prefill";
    }));
  }

  // The prefill engine that has received the prompt of an attempt.
  fake_replica* EngineOf(const std::string& attempt) const {
    for (fake_replica* engine : prefill_) {
      if (CountPrefills(*engine, attempt) > 0) {
        return engine;
      }
    }
    return nullptr;
  }

  int Prefills() const {
    int count = 0;
    for (const fake_replica* engine : prefill_) {
      count += engine->Prefills();
    }
    return count;
  }

  void AddPending(const fake_replica& engine, int tokens) {
    harness_.EndpointTracker().AddPrefill(endpoint_name{engine.Name()}, tokens, tokens > 0 ? 1 : -1);
  }

  std::string Metrics() { return harness_.Kernel().Find<telemetry>("telemetry").Metrics().RenderText(); }

  router_harness harness_;
  std::uint32_t tokens_per_ms_;  // prefill rate of the prefill engines; 0: without delay
  std::vector<fake_replica*> prefill_;
  fake_replica* decode_ = nullptr;
};

// ---------------------------------------------------------------------------------------------------------------------
// 1. cached prompts
// ---------------------------------------------------------------------------------------------------------------------

// Guards against reading a prompt again at another engine after its request was refused.
TEST_F(cached_prompts_test, Retry_AfterARefusal_GoesToTheEngineThatHasReadThePrompt) {
  for (int i = 0; i < kPrompts; ++i) {
    const std::string part = "a" + std::to_string(i);
    SendRejected("first" + part, part);
    EXPECT_EQ(Send("retry" + part, part)->Status(), 200);
    EXPECT_EQ(EngineOf("retry" + part), EngineOf("first" + part));
  }
  EXPECT_NE(Metrics().find("persimmon_cached_tokens_predicted_total"), std::string::npos);
}

// Guards against waiting at a busy engine for longer than another one needs for the whole prompt.
TEST_F(cached_prompts_test, Retry_WhileItsEngineIsBusy_GoesElsewhere) {
  for (int i = 0; i < kPrompts; ++i) {
    const std::string part = "b" + std::to_string(i);
    SendRejected("first" + part, part);
    AddPending(*EngineOf("first" + part), 6'500);
    EXPECT_EQ(Send("retry" + part, part)->Status(), 200);
    EXPECT_NE(EngineOf("retry" + part), EngineOf("first" + part));
    AddPending(*EngineOf("first" + part), -6'500);
  }
}

// Guards against hints on the memory of a process that has ended.
TEST_F(cached_prompts_test, Retry_AfterARestartOfItsEngine_HasNoHint) {
  for (int i = 0; i < kPrompts; ++i) {
    const std::string part = "c" + std::to_string(i);
    SendRejected("first" + part, part);
    fake_replica* engine = EngineOf("first" + part);
    json entry = json::parse(engine->EntryText(false, 1));
    entry["born"] = 2 + i;
    harness_.Platform().Tables().Commit({{{"servers", engine->Name()}, entry.dump(), false, std::nullopt}});
    const auto born = static_cast<std::uint64_t>(2 + i);
    ASSERT_TRUE(harness_.RunUntil([&] {
      const endpoint_entry* known = harness_.Directory().Endpoints().Find(endpoint_name{engine->Name()});
      return known != nullptr && known->started_ms == born;
    }));
    AddPending(*engine, 2'000);  // less than the prompt, so that a hint would outweigh it
    EXPECT_EQ(Send("retry" + part, part)->Status(), 200);
    EXPECT_NE(EngineOf("retry" + part), engine);
    AddPending(*engine, -2'000);
  }
}

// Guards against a separate prefill and a transfer for a prompt that the decode engine still holds.
TEST_F(cached_prompts_test, Repeated_Prompt_IsReadByTheDecodeEngineThatHoldsIt) {
  EXPECT_EQ(Send("first", "d1")->Status(), 200);
  EXPECT_EQ(Prefills(), 1);
  EXPECT_EQ(Send("second", "d1")->Status(), 200);
  EXPECT_EQ(Prefills(), 1);
  EXPECT_EQ(decode_->LocalPrefillTokens().size(), 1U);
}

// Guards against a second full prefill elsewhere for a request whose decode engine has rejected it.
TEST_F(cached_prompts_test, SecondPrefill_AfterARejectedDecode_GoesToTheSameEngine) {
  fake_replica& second = AddEngine("decode-1", "decode");
  ASSERT_TRUE(harness_.RunUntil([&] { return harness_.Directory().Endpoints().Size() == kPrefillEngines + 2; }));
  int repeated = 0;
  for (int i = 0; i < 60 && repeated < kPrompts; ++i) {
    decode_->Faults().rejects_work = true;
    const std::string part = "7" + std::to_string(i);
    const int before = Prefills();
    EXPECT_EQ(Send("a" + part, part, milliseconds(14'000), "/digest/1")->Status(), 200);
    EXPECT_EQ(second.Runs("a" + part), 1);
    if (Prefills() - before == 2) {
      ++repeated;
      EXPECT_EQ(CountPrefills(*EngineOf("a" + part), "a" + part), 2);
    }
    harness_.RunFor(milliseconds(5));
  }
  EXPECT_EQ(repeated, kPrompts);
}

class uncached_engines_test : public cached_prompts_test {
 protected:
  uncached_engines_test() : cached_prompts_test("on", 2'000, 33) {}
};

// Guards against keeping hints on engines that have evicted a prompt, or that cache nothing, as these.
TEST_F(uncached_engines_test, Retry_ThatTakesAsLongAsTheWholePrompt_DropsTheHint) {
  SendRejected("first", "d2");
  EXPECT_EQ(Metrics().find("persimmon_cache_hints_contradicted_total"), std::string::npos);
  EXPECT_EQ(Send("retry", "d2")->Status(), 200);
  EXPECT_EQ(EngineOf("retry"), EngineOf("first"));
  EXPECT_NE(Metrics().find("persimmon_cache_hints_contradicted_total{service=\"llm\"} 1"), std::string::npos)
      << Metrics();
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. other routers
// ---------------------------------------------------------------------------------------------------------------------

// Guards against losing a prefill because the caller retries at another router.
TEST_F(cached_prompts_test, RefusedRequest_WhosePromptWasRead_IsToldToTheOtherRouters) {
  prompt_peer peer(harness_);
  SendRejected("first", "e1");
  ASSERT_TRUE(harness_.RunUntil([&] { return !peer.prompts.empty(); }, milliseconds(1'000)));
  const prompt_prefilled expected{PromptKey("llm", 0xe1), EndpointKey(endpoint_name{EngineOf("first")->Name()}), 1,
                                  kPromptTokens};
  EXPECT_EQ(peer.prompts.front(), expected);
  EXPECT_EQ(Send("answered", "e2")->Status(), 200);
  harness_.RunFor(milliseconds(50));
  EXPECT_EQ(peer.prompts.size(), 1U) << "an answered request is announced";
}

TEST_F(cached_prompts_test, Notices_OfManyRequests_AreLimited) {
  prompt_peer peer(harness_);
  const time_point begin = timer_service::Now();
  for (int i = 0; i < 100; ++i) {
    SendRejected("first" + std::to_string(i), "f" + std::to_string(i));
  }
  harness_.RunFor(milliseconds(50));
  const double seconds = std::chrono::duration<double>(timer_service::Now() - begin).count();
  EXPECT_LE(static_cast<double>(peer.prompts.size()), 60 + 20 * seconds + 1);
}

TEST_F(cached_prompts_test, PromptReadForAnotherRouter_GoesToItsEngine) {
  prompt_peer peer(harness_);
  for (int i = 0; i < kPrompts; ++i) {
    const std::string name = prefill_[static_cast<std::size_t>(i % kPrefillEngines)]->Name();
    const std::string part = "1" + std::to_string(i);
    peer.Send(message(prompt_prefilled{PromptKey("llm", 0x10U + static_cast<unsigned>(i)),
                                       EndpointKey(endpoint_name{name}), 1, kPromptTokens}));
    harness_.RunFor(milliseconds(20));
    EXPECT_EQ(Send("retry" + part, part)->Status(), 200);
    ASSERT_TRUE(EngineOf("retry" + part));
    EXPECT_EQ(EngineOf("retry" + part)->Name(), name);
  }
}

// A message about an earlier incarnation must not be applied to the restarted engine.
TEST_F(cached_prompts_test, PromptReadForAnotherRouter_ByAnEarlierIncarnation_IsNotUsed) {
  prompt_peer peer(harness_);
  peer.Send(message(
      prompt_prefilled{PromptKey("llm", 0x21), EndpointKey(endpoint_name{prefill_[0]->Name()}), 99, kPromptTokens}));
  harness_.RunFor(milliseconds(20));
  AddPending(*prefill_[0], 2'000);
  EXPECT_EQ(Send("retry", "21")->Status(), 200);
  EXPECT_NE(EngineOf("retry"), prefill_[0]);
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. check of prefills
// ---------------------------------------------------------------------------------------------------------------------

class short_reservation_test : public cached_prompts_test {
 protected:
  // 4,000 tokens take 120 ms at the usual speed.
  short_reservation_test() : cached_prompts_test("on", 40) {}
};

// Guards against a prefill whose decode is rejected because its reservation has expired.
TEST_F(short_reservation_test, Prefill_ThatOutlastsItsReservation_IsNotSent) {
  EXPECT_EQ(Send("a1", "1")->Status(), 503);
  EXPECT_EQ(Prefills(), 0);
  EXPECT_NE(Metrics().find("reason=\"reservation_ends\""), std::string::npos) << Metrics();
  EXPECT_TRUE(harness_.RunUntil([&] { return decode_->ReservedTokens() == 0; })) << "reservations are left";
}

// Guards against a prefill whose caller gives up before the first event.
TEST_F(cached_prompts_test, Prefill_WithoutEnoughTimeLeft_IsNotSent) {
  EXPECT_EQ(Send("a1", "1", milliseconds(160))->Status(), 503);
  EXPECT_EQ(Prefills(), 0);
  EXPECT_NE(Metrics().find("reason=\"no_time_left\""), std::string::npos) << Metrics();
  EXPECT_TRUE(harness_.RunUntil([&] { return decode_->ReservedTokens() == 0; }));
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. without the adaptive policy
// ---------------------------------------------------------------------------------------------------------------------

class plain_policy_test : public cached_prompts_test {
 protected:
  plain_policy_test() : cached_prompts_test("off", 40) {}
};

TEST_F(plain_policy_test, Retry_IsPlacedByPendingTokensOnly) {
  prompt_peer peer(harness_);
  for (int i = 0; i < kPrompts; ++i) {
    const std::string part = "a" + std::to_string(i);
    SendRejected("first" + part, part);
    AddPending(*EngineOf("first" + part), 1);
    EXPECT_EQ(Send("retry" + part, part)->Status(), 200);
    EXPECT_NE(EngineOf("retry" + part), EngineOf("first" + part));
    AddPending(*EngineOf("first" + part), -1);
  }
  EXPECT_EQ(Prefills(), 2 * kPrompts) << "prefills are checked or read by decode engines";
  EXPECT_TRUE(peer.prompts.empty());
  EXPECT_EQ(Metrics().find("persimmon_prefills_skipped_total"), std::string::npos);
}

}  // namespace
}  // namespace persimmon
