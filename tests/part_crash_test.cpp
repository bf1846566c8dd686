// link: persimmon_direct persimmon_fake_parts
// Parts of prompts that crash engines, at the router without agents, with fakes of the platform and the endpoints.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "direct/router_group.h"
#include "net/datagram.h"
#include "persimmon/part_suspects.h"
#include "support/router_harness.h"

namespace persimmon {
namespace {

using fakes::fake_replica;
using fakes::replica_options;
using support::caller_exchange_ptr;
using support::router_harness;

constexpr const char* kFirst = "f1";     // part of all prompts of the route
constexpr const char* kDeadly = "dead";  // crashes the engine that begins to write on it
constexpr part_id kDeadlyId = 0xdead;
constexpr milliseconds kCrashIsKnown(200);  // after a response that was cut

// Another router: receives evidence and sends some.
class evidence_peer {
 public:
  explicit evidence_peer(router_harness& harness)
      : harness_(harness),
        socket_(harness.Kernel().Context(), host_port{"127.0.0.1", 0}, [this](const host_port&, const message& value) {
          if (const auto* evidence = std::get_if<part_evidence_list>(&value)) {
            received.push_back(*evidence);
          }
        }) {
    EXPECT_TRUE(socket_.Start());
  }
  ~evidence_peer() { socket_.Stop(); }

  void Announce() {
    router_state state;
    state.name = "router-2";
    state.incarnation = 7;
    state.sequence = ++sequence_;
    Send(message(state));
  }

  // Reports that engines have crashed under three other requests with the part.
  void ReportCrashes(part_id part) {
    part_evidence evidence;
    evidence.part = part;
    for (std::uint32_t i = 1; i <= 3; ++i) {
      evidence.crashes.push_back({i, i, 1'000 * i});
    }
    Send(message(part_evidence_list{ServiceKey("llm"), {evidence}}));
  }

  std::size_t CrashesReceived(part_id part) const {
    std::set<std::uint64_t> crashes;
    for (const part_evidence_list& list : received) {
      for (const part_evidence& evidence : list.parts) {
        for (const part_crash_entry& crash : evidence.crashes) {
          if (evidence.part == part) {
            crashes.insert(crash.crash);
          }
        }
      }
    }
    return crashes.size();
  }

  std::vector<part_evidence_list> received;

 private:
  void Send(const message& value) {
    socket_.Send({"127.0.0.1", harness_.Settings().deployment.first_internal_port}, value);
  }

  router_harness& harness_;
  datagram_socket socket_;
  std::uint64_t sequence_ = 0;
};

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

// Guards against sending a request that has waited since before the verdict.
TEST_F(part_crash_test, WaitingRequest_WhosePartIsJudgedMeanwhile_IsRefusedAtOnce) {
  for (fake_replica* engine : engines_) {
    engine->Faults().full = true;
  }
  const auto call = Send("/chat/1", "a1", Parts(kFirst, kDeadly));
  harness_.RunFor(milliseconds(100));
  EXPECT_FALSE(call->done);
  evidence_peer peer(harness_);
  peer.ReportCrashes(kDeadlyId);
  ASSERT_TRUE(harness_.Finish(call, milliseconds(300)));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_EQ(Runs("a1"), 0);
}

// Guards against decoding a request that was prefilled before the verdict.
TEST_F(part_crash_test, PrefilledRequest_WhosePartIsJudgedMeanwhile_IsNotDecoded) {
  harness_.RunFor(milliseconds(20));
  evidence_peer peer(harness_);
  const auto call = Send("/chat/1", "a1", Parts(kFirst, kDeadly));
  ASSERT_TRUE(harness_.RunUntil([this] { return prefill_->Prefills() == 1; }));
  peer.ReportCrashes(kDeadlyId);
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_EQ(Runs("a1"), 0);
  EXPECT_TRUE(harness_.RunUntil([this] { return prefill_->StoredHandleCount() == 0; }, milliseconds(500)));
}

// Guards against judging by what one router sees.
TEST_F(part_crash_test, Crash_UnderARequest_IsToldToOtherRoutersAtOnce) {
  evidence_peer peer(harness_);
  peer.Announce();
  harness_.RunFor(milliseconds(20));
  ExpectServed("sound", std::string(kFirst) + ":200");
  ASSERT_TRUE(harness_.Finish(Send("/chat/1", "deadly", Parts(kFirst, kDeadly))));
  EXPECT_TRUE(harness_.RunUntil([&] { return peer.CrashesReceived(kDeadlyId) == 1; }, kCrashIsKnown));
}

// Guards against a verdict that a router which starts later does not know.
TEST_F(part_crash_test, Router_ThatIsHeardForTheFirstTime_LearnsTheEvidenceAtOnce) {
  CrashThree("/chat/1");
  harness_.RunFor(milliseconds(100));
  evidence_peer peer(harness_);
  peer.Announce();
  EXPECT_TRUE(harness_.RunUntil([&] { return peer.CrashesReceived(kDeadlyId) == 3; }, milliseconds(100)));
}

// Guards against keeping the suspicion of a part, because the answers of other routers are not told.
TEST_F(part_crash_test, AnswerToASuspectedPart_IsToldToOtherRouters) {
  evidence_peer peer(harness_);
  peer.Announce();
  harness_.RunFor(milliseconds(20));
  peer.ReportCrashes(0xc1);
  harness_.RunFor(milliseconds(20));
  peer.received.clear();
  const auto refused = Send("/chat/1", "refused", "c1:200");
  ASSERT_TRUE(harness_.Finish(refused));
  EXPECT_EQ(refused->Status(), 503);
  peer.ReportCrashes(0xc2);
  peer.ReportCrashes(0xc3);
  harness_.RunFor(milliseconds(20));
  // The reports name the same crashes for all three, so one of the parts alone may run.
  ExpectServed("sound", "c2:200");
  EXPECT_TRUE(harness_.RunUntil(
      [&] {
        return std::any_of(peer.received.begin(), peer.received.end(), [](const part_evidence_list& list) {
          return std::any_of(list.parts.begin(), list.parts.end(), [](const part_evidence& evidence) {
            return evidence.part == 0xc2 && evidence.answer_age_ms != part_evidence::kNoAnswer;
          });
        });
      },
      kCrashIsKnown));
}

// Guards against losing the prefill engines one after the other to a part that crashes them when they read it.
TEST_F(part_crash_test, DeadlyPart_ThatCrashesPrefillEngines_IsRefusedAfterThreeOfThem) {
  std::vector<fake_replica*> prefill_engines = {prefill_};
  for (int i = 2; i <= 8; ++i) {
    replica_options options;
    options.name = "pre-" + std::to_string(i);
    options.service = "llm";
    options.stage = "prefill";
    prefill_engines.push_back(&harness_.AddReplica(options));
  }
  ASSERT_TRUE(harness_.RunUntil([this] { return harness_.Directory().Endpoints().Size() == 17; }));
  for (fake_replica* engine : prefill_engines) {
    engine->Faults().crash_on_part = kDeadly;
  }
  const auto prefills = [&] {
    int sum = 0;
    for (const fake_replica* engine : prefill_engines) {
      sum += engine->Prefills();
    }
    return sum;
  };
  int deadly_prefills = 0;
  for (int i = 0; i < 6; ++i) {
    ExpectServed("sound-" + std::to_string(i), std::string(kFirst) + ":200");
    const int before = prefills();
    const auto call = Send("/chat/1", "deadly-" + std::to_string(i), Parts(kFirst, kDeadly));
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_EQ(call->Status(), 503);
    deadly_prefills += prefills() - before;
    harness_.RunFor(kCrashIsKnown + milliseconds(100));
  }
  EXPECT_LE(deadly_prefills, 5);  // one request may crash three before its parts can be told from its own text
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
