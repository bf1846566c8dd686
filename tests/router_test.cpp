// link: persimmon_platform
// Tests the router process with real agents and fake engines, services and platform on loopback, while parts of the
// deployment fail.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>

#include "support/deployment.h"

namespace persimmon::support {
namespace {

using std::chrono::steady_clock;

constexpr int kLongAnswerTokens = 120;  // at 20 ms per token, long enough to inject a failure

// Guarantee G1 (docs/guarantees.md): decode memory is freed within this time.
constexpr milliseconds kMemoryReleaseLimit = milliseconds(2'000);

class router_test : public testing::Test {
 protected:
  // Lets the seven endpoints of the role crash on one message, and sends chats with it through two routers, with sound
  // ones between them that share the first message.
  void ExpectDeadlyMessageRefused(const std::string& role) {
    std::vector<test_endpoint*> endpoints;
    for (int i = 1; i <= 7; ++i) {
      endpoints.push_back(&deployment_.Endpoint(role + "-" + std::to_string(i)));
      deployment_.InjectFaults(endpoints.back()->target_port, R"({"crash_on":"deadly"})");
    }
    std::string last_code;
    for (int i = 0; i < 8; ++i) {
      const std::string number = std::to_string(i);
      const int port = HttpPort(static_cast<std::size_t>(i % 2));
      const auto sound = CompleteChat(port, {"common rules", "question " + number}, 4);
      EXPECT_TRUE(sound.complete) << i << " " << sound.error_code << deployment_.routers[0]->process->Err();
      const auto guilty = CompleteChat(port, {"common rules", "a deadly document", "question " + number}, 4);
      EXPECT_FALSE(guilty.complete);
      last_code = guilty.error_code;
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    const auto lost = std::count_if(endpoints.begin(), endpoints.end(),
                                    [](const test_endpoint* endpoint) { return !endpoint->target->IsRunning(); });
    EXPECT_LE(lost, 5) << deployment_.routers[0]->process->Err() << deployment_.routers[1]->process->Err();
    EXPECT_EQ(last_code, "suspect_request");
  }

  void StartDeployment(int prefills, int decodes, int services, int routers) {
    for (int i = 1; i <= prefills; ++i) {
      deployment_.AddEndpoint("prefill-" + std::to_string(i), "prefill");
    }
    for (int i = 1; i <= decodes; ++i) {
      deployment_.AddEndpoint("decode-" + std::to_string(i), "decode", {"--decode_base_ms", "20"});
    }
    for (int i = 1; i <= services; ++i) {
      deployment_.AddEndpoint("service-" + std::to_string(i), "service");
    }
    for (int i = 1; i <= routers; ++i) {
      deployment_.AddRouter("router-" + std::to_string(i));
    }
    deployment_.WriteRecords();
  }

  int HttpPort(std::size_t router = 0) const { return deployment_.routers.at(router)->http_port; }

  test_endpoint* FindActiveDecode() const {
    for (const auto& endpoint : deployment_.endpoints) {
      if (endpoint->role == "decode" && deployment::MemoryInUse(*endpoint) > 0) {
        return endpoint.get();
      }
    }
    return nullptr;
  }

  bool IsMemoryFree() const {
    for (const auto& endpoint : deployment_.endpoints) {
      if (endpoint->role == "decode" && deployment::MemoryInUse(*endpoint) != 0) {
        return false;
      }
    }
    return true;
  }

  // Measures the time until no decode engine uses memory.
  milliseconds MeasureMemoryRelease() const {
    const auto begin = steady_clock::now();
    EXPECT_TRUE(WaitUntil([this] { return IsMemoryFree(); }));
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
  }

  // Starts a long completion in a thread and waits until its first token has arrived.
  std::thread StartLongCompletion(std::atomic<bool>& started, streamed_answer& answer) {
    std::thread caller([this, &started, &answer] {
      answer = Complete(HttpPort(), "a long question", kLongAnswerTokens, [&started](const streamed_answer&) {
        started = true;
        return true;
      });
    });
    EXPECT_TRUE(WaitUntil([&started] { return started.load(); }));
    return caller;
  }

  // Injects the failure into the decode endpoint of a running stream and expects the same text as without a failure.
  void ExpectCompleteAnswerAfter(const std::function<void(test_endpoint&)>& fail) {
    const std::string prompt = "a question about the budget";
    const streamed_answer expected = Complete(HttpPort(), prompt, kLongAnswerTokens);
    ASSERT_TRUE(expected.complete) << expected.error_code;
    bool failed = false;
    const streamed_answer answer = Complete(HttpPort(), prompt, kLongAnswerTokens, [&](const streamed_answer&) {
      test_endpoint* active = failed ? nullptr : FindActiveDecode();
      if (active != nullptr) {
        fail(*active);
        failed = true;
      }
      return true;
    });
    EXPECT_TRUE(failed);
    EXPECT_TRUE(answer.complete) << answer.error_code;
    EXPECT_EQ(answer.text, expected.text);
  }

  deployment deployment_;
};

// Guards against routers that each grant the whole limit of an account: one of them borrows from the other.
TEST_F(router_test, Account_AtItsLimit_IsRefusedAtBothRouters) {
  deployment_.AddRecord("account",
                        {{"kind", "account"},
                         {"name", "test-account"},
                         {"schema", 2},
                         {"api_key_sha256", kApiKeyHash},
                         {"limits", {{"tokens_per_second", 10}, {"burst_tokens", 200}, {"connections", 0}}}});
  StartDeployment(1, 1, 0, 2);
  const auto begin = steady_clock::now();
  int complete[] = {0, 0};
  int refused[] = {0, 0};
  for (int i = 0; i < 12; ++i) {
    const streamed_answer answer = Complete(HttpPort(static_cast<std::size_t>(i % 2)), "a question", 40);
    complete[i % 2] += answer.complete ? 1 : 0;
    refused[i % 2] += answer.error_code == "account_limit" ? 1 : 0;
  }
  const double seconds = std::chrono::duration<double>(steady_clock::now() - begin).count();
  EXPECT_EQ(complete[0] + complete[1] + refused[0] + refused[1], 12);
  EXPECT_GE(complete[0] + complete[1], 2);
  EXPECT_GE(refused[0], 1);
  EXPECT_GE(refused[1], 1);
  EXPECT_LE(40 * (complete[0] + complete[1]), 200 + 10 * (seconds + 1));
}

// Guards against a gap, a repeated token or a false end in a stream whose endpoint was lost (G2, G3).
TEST_F(router_test, Completion_WhenDecodeVmIsKilled_ContinuesElsewhereWithoutGap) {
  StartDeployment(2, 2, 0, 1);
  ExpectCompleteAnswerAfter([](test_endpoint& active) {
    active.agent->Signal(SIGKILL);
    active.target->Signal(SIGKILL);
  });
}

// Guards against an agent that reports a truncated stream as complete when only its engine dies (G3).
TEST_F(router_test, Completion_WhenDecodeEngineIsKilled_ContinuesElsewhereWithoutGap) {
  StartDeployment(2, 2, 0, 1);
  ExpectCompleteAnswerAfter([](test_endpoint& active) { active.target->Signal(SIGKILL); });
}

// Guards against a stream that ends like a complete answer when no endpoint is left to continue it (G3, G4).
TEST_F(router_test, Completion_WhenLastDecodeVmIsKilled_EndsWithATruthfulError) {
  StartDeployment(1, 1, 0, 1);
  bool killed = false;
  const streamed_answer answer = Complete(HttpPort(), "a question", kLongAnswerTokens, [&](const streamed_answer&) {
    if (!std::exchange(killed, true)) {
      deployment_.Endpoint("decode-1").agent->Signal(SIGKILL);
      deployment_.Endpoint("decode-1").target->Signal(SIGKILL);
    }
    return true;
  });
  EXPECT_FALSE(answer.complete);
  EXPECT_NE(answer.error_code, "");
  EXPECT_EQ(answer.error_outcome, "may_have_run");
}

// Guards against decode memory that stays allocated after the caller has disconnected (G1).
TEST_F(router_test, Completion_WhenCallerGoes_FreesDecodeMemory) {
  StartDeployment(1, 2, 0, 1);
  Complete(HttpPort(), "a question", kLongAnswerTokens, [](const streamed_answer&) { return false; });
  EXPECT_LT(MeasureMemoryRelease(), kMemoryReleaseLimit);
}

// Guards against decode memory that only a message from the killed router would free (G1).
TEST_F(router_test, Completion_WhenRouterIsKilled_FreesDecodeMemory) {
  StartDeployment(1, 2, 0, 1);
  std::atomic<bool> started = false;
  streamed_answer answer;
  std::thread caller = StartLongCompletion(started, answer);
  deployment_.routers[0]->process->Signal(SIGKILL);
  EXPECT_LT(MeasureMemoryRelease(), kMemoryReleaseLimit);
  caller.join();
  EXPECT_FALSE(answer.complete);
}

// Guards against decode memory that stays allocated while the router's connection is open but silent (G1).
TEST_F(router_test, Completion_WhenRouterIsFrozen_FreesDecodeMemoryAndTellsNoFalseEnd) {
  StartDeployment(1, 2, 0, 1);
  std::atomic<bool> started = false;
  streamed_answer answer;
  std::thread caller = StartLongCompletion(started, answer);
  deployment_.routers[0]->process->Signal(SIGSTOP);
  EXPECT_LT(MeasureMemoryRelease(), kMemoryReleaseLimit);
  deployment_.routers[0]->process->Signal(SIGCONT);
  caller.join();
  // The resumed router either computes the rest again or reports that the answer is incomplete.
  EXPECT_TRUE(answer.complete || !answer.error_code.empty());
  if (answer.complete) {
    EXPECT_EQ(answer.text, Complete(HttpPort(), "a long question", kLongAnswerTokens).text);
  }
}

// Guards against a graceful shutdown that aborts a request in progress (G7).
TEST_F(router_test, Stop_WhenARequestIsInProgress_FinishesItFirst) {
  StartDeployment(1, 1, 0, 1);
  std::atomic<bool> started = false;
  streamed_answer answer;
  std::thread caller = StartLongCompletion(started, answer);
  deployment_.routers[0]->process->Signal(SIGTERM);
  EXPECT_TRUE(WaitUntil([this] { return Get(HttpPort(), "/readyz").status != 200; }));
  caller.join();
  EXPECT_TRUE(answer.complete) << answer.error_code;
  EXPECT_EQ(deployment_.routers[0]->process->WaitForExit().value_or(-1), 0);
}

// Guards against a graceful shutdown of an agent that aborts a running decode or receives new work (G6, G7).
TEST_F(router_test, Stop_WhenAnAgentLeaves_FinishesItsWorkAndGetsNoNewOne) {
  StartDeployment(1, 2, 0, 1);
  std::atomic<bool> started = false;
  streamed_answer answer;
  std::thread caller = StartLongCompletion(started, answer);
  test_endpoint* active = FindActiveDecode();
  ASSERT_NE(active, nullptr);
  active->agent->Signal(SIGTERM);
  caller.join();
  EXPECT_TRUE(answer.complete) << answer.error_code;
  EXPECT_EQ(active->agent->WaitForExit().value_or(-1), 0);
  EXPECT_TRUE(Complete(HttpPort(), "the next question", 4).complete);
}

// Guards against a request that crashes one endpoint after another, and against refusing other requests because of it.
TEST_F(router_test, Completion_WhenItCrashesEachEndpoint_CostsAtMostTwo) {
  StartDeployment(4, 1, 0, 2);
  for (int i = 1; i <= 4; ++i) {
    deployment_.InjectFaults(deployment_.Endpoint("prefill-" + std::to_string(i)).target_port,
                             R"({"crash_on":"poison"})");
  }
  std::string last_code;
  for (int i = 0; i < 6; ++i) {
    const streamed_answer answer = Complete(HttpPort(static_cast<std::size_t>(i % 2)), "some poison here", 4);
    EXPECT_FALSE(answer.complete);
    last_code = answer.error_code;
  }
  int lost = 0;
  for (int i = 1; i <= 4; ++i) {
    lost += deployment_.Endpoint("prefill-" + std::to_string(i)).target->IsRunning() ? 0 : 1;
  }
  EXPECT_LE(lost, 2) << deployment_.routers[0]->process->Err() << deployment_.routers[1]->process->Err();
  EXPECT_EQ(last_code, "suspect_request");
  const streamed_answer first = Complete(HttpPort(0), "a harmless question", 4);
  EXPECT_TRUE(first.complete) << first.error_code << deployment_.routers[0]->process->Err();
  const streamed_answer second = Complete(HttpPort(1), "a harmless question", 4);
  EXPECT_TRUE(second.complete) << second.error_code << deployment_.routers[1]->process->Err();
}

// Guards against losing one endpoint after another to chats of which no two are alike but for one message.
TEST_F(router_test, Chat_WithAMessageThatCrashesPrefillEngines_IsRefusedAndSoundOnesAreNot) {
  StartDeployment(7, 1, 0, 2);
  ExpectDeadlyMessageRefused("prefill");
}

TEST_F(router_test, Chat_WithAMessageThatCrashesDecodeEngines_IsRefusedAndSoundOnesAreNot) {
  StartDeployment(1, 7, 0, 2);
  ExpectDeadlyMessageRefused("decode");
}

// Guards against a drained endpoint that still receives work (G6), and against a configuration change that takes effect
// too late (G8).
TEST_F(router_test, Drain_WhenRecordIsWritten_StopsNewWorkWithinThreeSeconds) {
  StartDeployment(2, 2, 0, 1);
  const auto begin = steady_clock::now();
  const auto drained = RunProgram("persimmonctl", deployment_.ControlArguments({"drain", "decode-1"}));
  ASSERT_EQ(drained.exit_code, 0) << drained.out << drained.err;
  auto is_draining = [this] {
    const auto list = nlohmann::json::parse(Get(HttpPort(), "/readyz").body, nullptr, false);
    return list.is_object() && list["revision"].get<int>() == 2;
  };
  EXPECT_TRUE(WaitUntil(is_draining));
  EXPECT_LT(steady_clock::now() - begin, milliseconds(3'000));
  std::atomic<bool> stop = false;
  bool used = false;
  std::thread watch([&] {
    while (!stop) {
      used = used || deployment::MemoryInUse(deployment_.Endpoint("decode-1")) > 0;
    }
  });
  for (int i = 0; i < 8; ++i) {
    const streamed_answer answer = Complete(HttpPort(), "question " + std::to_string(i), 10);
    EXPECT_TRUE(answer.complete) << answer.error_code;
  }
  stop = true;
  watch.join();
  EXPECT_FALSE(used);
}

// Guards against a stream that hangs because its connection was lost silently while new connections work.
TEST_F(router_test, Completion_WhenItsConnectionGoesSilent_IsResumedWithinTwoSeconds) {
  constexpr milliseconds kResumeLimit(2'000);
  deployment_.AddEndpoint("prefill-1", "prefill");
  test_endpoint& decode = deployment_.AddEndpoint("decode-1", "decode", {"--decode_base_ms", "20"});
  const int link_port = FreePort();
  const int control_port = FreePort();
  child_process link("fake-link", {"--listen", LoopbackHostPort(link_port), "--to", LoopbackHostPort(decode.agent_port),
                                   "--control", LoopbackHostPort(control_port)});
  ASSERT_TRUE(link.WaitForPort(link_port));
  ASSERT_TRUE(link.WaitForPort(control_port));
  deployment_.AddRecord("endpoint-decode-1", deployment_.EndpointRecord("decode-1", "decode", link_port));
  deployment_.AddRouter("router-1");
  deployment_.WriteRecords();
  const streamed_answer expected = Complete(HttpPort(), "a question", kLongAnswerTokens);
  ASSERT_TRUE(expected.complete) << expected.error_code;
  int pieces = 0;
  auto last = steady_clock::now();
  auto longest = steady_clock::duration::zero();
  const streamed_answer answer = Complete(HttpPort(), "a question", kLongAnswerTokens, [&](const streamed_answer&) {
    longest = pieces == 0 ? longest : std::max(longest, steady_clock::now() - last);
    last = steady_clock::now();
    if (++pieces == 5) {
      deployment_.InjectFaults(control_port, R"({"silent":true})");
    }
    return true;
  });
  EXPECT_TRUE(answer.complete) << answer.error_code;
  EXPECT_EQ(answer.text, expected.text);
  EXPECT_LT(longest, kResumeLimit);
  EXPECT_GT(longest, milliseconds(200));  // a shorter gap means that the fault had no effect
}

// Guards against requests that are accepted without a valid API key, and against refusals without a specific
// error code.
TEST_F(router_test, Request_WhenItIsNotValid_IsRefusedWithAStableCode) {
  StartDeployment(1, 1, 1, 1);
  const std::string body = R"({"model":"test-model","prompt":"x"})";
  auto code_of = [](const http_response& response) {
    return nlohmann::json::parse(response.body, nullptr, false)["error"]["code"].get<std::string>();
  };
  EXPECT_EQ(code_of(Post(HttpPort(), "/v1/completions", body)), "unauthorized");
  EXPECT_EQ(code_of(Post(HttpPort(), "/v1/completions", body, {{"Authorization", "Bearer wrong"}})), "unauthorized");
  EXPECT_EQ(code_of(Post(HttpPort(), "/v1/completions", "{", WithKey())), "bad_request");
  EXPECT_EQ(code_of(Post(HttpPort(), "/v1/completions", R"({"model":"other","prompt":"x"})", WithKey())),
            "unknown_model");
  EXPECT_EQ(code_of(Post(HttpPort(), "/nowhere", "", WithKey())), "unknown_route");
  EXPECT_EQ(code_of(Post(HttpPort(), "/app/x", "", WithKey({{"X-Deadline-Ms", "soon"}}))), "bad_request");
  EXPECT_EQ(Post(HttpPort(), "/app/x", "content", WithKey()).status, 200);
}

}  // namespace
}  // namespace persimmon::support
