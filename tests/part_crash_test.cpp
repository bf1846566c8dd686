// link: persimmon_direct persimmon_fake_parts
// Parts of prompts that crash engines, at the router without agents, with fakes of the platform and the endpoints.
#include <gtest/gtest.h>

#include "support/router_harness.h"

namespace persimmon {
namespace {

using fakes::fake_replica;
using fakes::replica_options;
using support::caller_exchange_ptr;
using support::router_harness;

constexpr const char* kFirst = "f1";        // part of all prompts of the route
constexpr const char* kDeadly = "dead";     // crashes the engine that begins to write on it
constexpr milliseconds kCrashIsKnown(200);  // after a response that was cut

class part_crash_test : public testing::Test {
 protected:
  part_crash_test() {
    replica_options prefill;
    prefill.name = "pre-1";
    prefill.service = "llm";
    prefill.stage = "prefill";
    prefill.tokens_per_ms = 50;
    prefill_ = &harness_.AddReplica(prefill);
    for (int i = 1; i <= 9; ++i) {
      replica_options options;
      options.name = "dec-" + std::to_string(i);
      options.service = "llm";
      options.stage = "decode";
      options.memory_tokens = 10'000;
      engines_.push_back(&harness_.AddReplica(options));
      engines_.back()->Faults().crash_on_part = kDeadly;
    }
    harness_.WriteDesiredState({.timeout_ms = 14'000});
  }
  void SetUp() override { ASSERT_TRUE(harness_.Start()); }

  // Sends a request that differs from all others in its body and its last part.
  caller_exchange_ptr Send(const std::string& path, const std::string& attempt, const std::string& shared_parts) {
    const std::string parts = shared_parts + (shared_parts.empty() ? "" : ",") + std::to_string(++next_) + ":600";
    header_list headers = {{"Persimmonchute-Model", "m"},
                           {"Persimmonchute-Token-Count", "1000,100"},
                           {"Persimmonchute-Length-Hint", "100"},
                           {"Persimmonchute-Prompt-Prefix", parts},
                           {"Persimmonchute-Deadline-Ms", "14000"}};
    return harness_.Send("POST", path, attempt, std::move(headers), "prompt of " + attempt);
  }

  static std::string Parts(const std::string& first, const std::string& second) {
    return first + ":200," + second + ":200";
  }

  // Sends a sound request and expects its whole answer.
  void ExpectServed(const std::string& attempt, const std::string& shared_parts) {
    const auto call = Send("/chat/1", attempt, shared_parts);
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 200) << attempt;
    EXPECT_FALSE(call->failure) << attempt;
  }

  int Runs(const std::string& attempt) const {
    int runs = 0;
    for (const fake_replica* engine : engines_) {
      runs += engine->Runs(attempt);
    }
    return runs;
  }

  // Engines that have begun to write on the deadly part.
  int Crashes() const {
    int crashes = 0;
    for (const auto& [attempt, is_deadly] : deadly_) {
      crashes += Runs(attempt);
    }
    return crashes;
  }

  // Sends requests with the deadly part, with sound ones between them, until an engine has crashed under three.
  void CrashThree(const std::string& path) {
    for (int i = 0; i < 3; ++i) {
      ExpectServed("sound-" + std::to_string(i), std::string(kFirst) + ":200");
      const std::string attempt = "deadly-" + std::to_string(i);
      deadly_[attempt] = true;
      ASSERT_TRUE(harness_.Finish(Send(path, attempt, Parts(kFirst, kDeadly))));
      harness_.RunFor(kCrashIsKnown + milliseconds(100));
    }
  }

  router_harness harness_;
  fake_replica* prefill_ = nullptr;
  std::vector<fake_replica*> engines_;
  std::map<std::string, bool> deadly_;
  int next_ = 0x1000;
};

// Guards against losing one engine after the other to requests of which no two are alike.
TEST_F(part_crash_test, DeadlyPart_AfterThreeRequests_IsRefusedBeforeAnythingIsSent) {
  CrashThree("/chat/1");
  EXPECT_EQ(Crashes(), 3);
  const int prefills = prefill_->Prefills();
  for (int i = 0; i < 5; ++i) {
    const std::string attempt = "late-" + std::to_string(i);
    const auto call = Send("/chat/1", attempt, Parts(i % 2 == 0 ? kFirst : "f2", kDeadly));
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 503);
    EXPECT_GT(std::stod(call->Header("Retry-After")), 1.0);
    EXPECT_EQ(Runs(attempt), 0);
  }
  EXPECT_EQ(prefill_->Prefills(), prefills);
}

// Guards against refusing sound requests for the parts that they share with the guilty ones.
TEST_F(part_crash_test, SoundRequests_WithTheFirstPartOfGuiltyOnes_AreServed) {
  CrashThree("/chat/1");
  for (int i = 0; i < 5; ++i) {
    ExpectServed("late-" + std::to_string(i), Parts(kFirst, "c" + std::to_string(i)));
  }
}

// Guards against a first part that nobody has seen in a sound request before the crashes.
TEST_F(part_crash_test, SoundRequest_WithAFirstPartThatOnlyGuiltyOnesHad_IsServed) {
  for (int i = 0; i < 3; ++i) {
    ExpectServed("other-" + std::to_string(i), "c1:200");
    ASSERT_TRUE(harness_.Finish(Send("/chat/1", "deadly-" + std::to_string(i), Parts("f2", kDeadly))));
    harness_.RunFor(kCrashIsKnown + milliseconds(100));
  }
  const auto refused = Send("/chat/1", "late", Parts("f2", kDeadly));
  ASSERT_TRUE(harness_.Finish(refused));
  EXPECT_EQ(refused->Status(), 503);
  ExpectServed("sound", "f2:200");
}

// Guards against a second crash by a request whose part has crashed an engine under another request.
TEST_F(part_crash_test, RequestWithASuspectedPart_ThatCrashesAnEngine_IsNotSentToAnother) {
  CrashThree("/digest/1");
  EXPECT_EQ(Runs("deadly-0"), 2);  // nothing is known yet
  EXPECT_EQ(Runs("deadly-1"), 1);
  EXPECT_EQ(Runs("deadly-2"), 1);
}

// A leaving engine ends with the streams that it still has. Guards against counting that as a crash.
TEST_F(part_crash_test, LeavingEngines_ThatEndWithTheirStreams_AreNoEvidence) {
  for (int i = 0; i < 4; ++i) {
    ExpectServed("sound-" + std::to_string(i), std::string(kFirst) + ":200");
    const std::string attempt = "cut-" + std::to_string(i);
    for (fake_replica* engine : engines_) {
      engine->Faults().never_responds = true;
    }
    const auto call = Send("/chat/1", attempt, Parts(kFirst, "c1"));
    ASSERT_TRUE(harness_.RunUntil([&] { return Runs(attempt) == 1; }));
    for (fake_replica* engine : engines_) {
      engine->Faults().never_responds = false;
      if (engine->Runs(attempt) == 1) {
        engine->Register(harness_.Platform().Tables(), true);
        harness_.RunFor(milliseconds(200));
        engine->Stop();
      }
    }
    ASSERT_TRUE(harness_.Finish(call));
    harness_.RunFor(kCrashIsKnown + milliseconds(100));
  }
  ExpectServed("late", Parts(kFirst, "c1"));
}

}  // namespace
}  // namespace persimmon
