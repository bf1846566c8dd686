// link: persimmon_direct persimmon_fake_parts
// Memory of incomplete answers at a router without agents, over all of its calls together.
#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <vector>

#include "support/router_harness.h"

namespace persimmon {
namespace {

using fakes::fake_replica;
using fakes::replica_options;
using support::caller_exchange_ptr;
using support::router_harness;

constexpr std::size_t kProcessBytes = 48U << 20U;
constexpr std::size_t kStalledEventBytes = 1'000'000;  // below the limit of one event
constexpr std::size_t kStalledBodyBytes = 250'000;     // below the limit of one buffered body
constexpr int kStreams = 64;
constexpr int kCalls = 200;

// Bytes that the process has allocated.
std::size_t HeapBytes() {
  const auto usage = mallinfo2();
  return usage.uordblks + usage.hblkhd;
}

class answer_memory_test : public testing::Test {
 protected:
  answer_memory_test() : harness_([](direct_settings& settings) { settings.deployment.memory_bytes = kProcessBytes; }) {
    AddEngine("pre-1", "prefill");
    for (const char* name : {"dec-1", "dec-2", "dec-3", "dec-4"}) {
      faulty_engines_.push_back(&AddEngine(name, "decode"));
    }
    for (const char* name : {"app-1", "app-2", "app-3"}) {
      plain_.push_back(&AddPlain(name));
    }
    harness_.WriteDesiredState({.timeout_ms = 4'000, .memory_tokens = 1'000'000});
  }

  fake_replica& AddEngine(const std::string& name, const std::string& stage) {
    replica_options options;
    options.name = name;
    options.service = "llm";
    options.stage = stage;
    options.memory_tokens = stage == "decode" ? 1'000'000 : 0;
    return harness_.AddReplica(options);
  }

  fake_replica& AddPlain(const std::string& name) {
    replica_options options;
    options.name = name;
    options.service = "app";
    return harness_.AddReplica(options);
  }

  // Sends streams whose engines stop within the first event.
  std::vector<caller_exchange_ptr> SendStalledStreams(int count) {
    for (fake_replica* engine : faulty_engines_) {
      engine->Faults().stall_after_bytes = kStalledEventBytes;
    }
    std::vector<caller_exchange_ptr> calls;
    for (int i = 0; i < count; ++i) {
      calls.push_back(harness_.SendModel("/chat/1", "a" + std::to_string(i), 100, 100, milliseconds(4'000)));
    }
    return calls;
  }

  // Runs until all calls have ended. Returns the most bytes that the process had allocated meanwhile, beyond those at
  // the start and without the bodies that the callers have received. The buffers of the callers and the endpoints
  // count.
  std::size_t PeakUntilDone(const std::vector<caller_exchange_ptr>& calls) {
    const std::size_t before = HeapBytes();
    std::size_t peak = before;
    EXPECT_TRUE(harness_.RunUntil([&] {
      std::size_t received = 0;
      for (const auto& call : calls) {
        received += call->body.capacity();
      }
      peak = std::max(peak, HeapBytes() - received);
      return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->done; });
    }));
    return peak - before;
  }

  std::size_t PeakOfPlainCalls() {
    std::vector<caller_exchange_ptr> calls;
    for (int i = 0; i < kCalls; ++i) {
      calls.push_back(harness_.Send("POST", "/submit/1", "a" + std::to_string(i), {}, "quiz"));
    }
    const std::size_t peak = PeakUntilDone(calls);
    for (const auto& call : calls) {
      EXPECT_TRUE(call->failure || call->Status() != 200) << "an answer that looks whole";
    }
    return peak;
  }

  router_harness harness_;
  std::vector<fake_replica*> faulty_engines_;
  std::vector<fake_replica*> plain_;
};

// Guards against a limit for each event only: engines that send events without end use up the memory of the process,
// which ends with the requests of all other callers.
TEST_F(answer_memory_test, EventsWithoutEnd_OnManyStreams_StayWithinTheMemoryOfTheProcess) {
  ASSERT_TRUE(harness_.Start());
  const auto calls = SendStalledStreams(kStreams);
  EXPECT_LT(PeakUntilDone(calls), kProcessBytes);
  for (const auto& call : calls) {
    EXPECT_TRUE(call->failure || call->Status() != 200) << "an answer that looks whole";
  }
}

// The same for answers of plain calls that are buffered.
TEST_F(answer_memory_test, BodiesWithoutEnd_OnManyCalls_StayWithinTheMemoryOfTheProcess) {
  for (fake_replica* endpoint : plain_) {
    endpoint->Faults().stall_after_bytes = kStalledBodyBytes;
  }
  ASSERT_TRUE(harness_.Start());
  EXPECT_LT(PeakOfPlainCalls(), kProcessBytes);
}

TEST_F(answer_memory_test, ControlAnswersWithoutEnd_OfAllEngines_StayWithinTheMemoryOfTheProcess) {
  ASSERT_TRUE(harness_.Start());
  for (fake_replica* engine : faulty_engines_) {
    engine->Faults().endless_control = true;
  }
  std::vector<caller_exchange_ptr> calls;
  for (int i = 0; i < kStreams; ++i) {
    calls.push_back(harness_.SendModel("/chat/1", "a" + std::to_string(i), 100, 100, milliseconds(4'000)));
  }
  EXPECT_LT(PeakUntilDone(calls), kProcessBytes);
  for (const auto& call : calls) {
    EXPECT_EQ(call->Status(), 503);
  }
}

// Guards against sound answers that fail because others have used up the memory.
TEST_F(answer_memory_test, SoundStream_WhileOthersHaveUsedUpTheMemory_IsServed) {
  ASSERT_TRUE(harness_.Start());
  const auto calls = SendStalledStreams(kStreams * 3 / 4);  // some places stay free
  harness_.RunFor(milliseconds(1'000));
  for (fake_replica* engine : faulty_engines_) {
    engine->Faults().stall_after_bytes = 0;
  }
  const auto sound = harness_.SendModel("/chat/1", "sound", 100, 100, milliseconds(4'000));
  ASSERT_TRUE(harness_.Finish(sound));
  EXPECT_EQ(sound->Status(), 200);
  EXPECT_EQ(sound->body, support::WholeStream("sound", 5));
  (void)PeakUntilDone(calls);
}

}  // namespace
}  // namespace persimmon
