// link: persimmon_direct persimmon_fake_parts
// The end of a router's process while work of all kinds is in progress. Faults of ownership show under the sanitizers:
//   cmake --build build-sanitize --target stop_in_progress_test && build-sanitize/stop_in_progress_test
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/router_harness.h"

namespace persimmon {
namespace {

using fakes::replica_options;
using support::caller_exchange_ptr;
using support::router_harness;

class stop_in_progress_test : public testing::Test {
 protected:
  stop_in_progress_test() {
    harness_ = std::make_unique<router_harness>([](direct_settings& settings) { settings.order_stages = true; });
    prefill_ = &AddEngine("pre-1", "prefill", 100);
    engine_ = &AddEngine("dec-1", "decode", 0);
    AddEngine("dec-2", "decode", 0);
    replica_options options;
    options.name = "app-1";
    options.service = "app";
    endpoint_ = &harness_->AddReplica(options);
    harness_->WriteDesiredState({.timeout_ms = 14'000});
  }
  void SetUp() override { ASSERT_TRUE(harness_->Start()); }

  fakes::fake_replica& AddEngine(const std::string& name, const std::string& stage, std::uint32_t tokens_per_ms) {
    replica_options options;
    options.name = name;
    options.service = "llm";
    options.stage = stage;
    options.memory_tokens = stage == "decode" ? 10'000 : 0;
    options.tokens_per_ms = tokens_per_ms;
    options.event_interval = milliseconds(200);
    return harness_->AddReplica(options);
  }

  void SendModel(int count) {
    for (int i = 0; i < count; ++i) {
      calls_.push_back(harness_->SendModel("/digest/1", "m" + std::to_string(calls_.size()), 3'000, 100));
    }
  }

  // Ends the process of the router in the state that it is in.
  void End() {
    calls_.clear();
    harness_.reset();
  }

  std::unique_ptr<router_harness> harness_;
  fakes::fake_replica* prefill_ = nullptr;
  fakes::fake_replica* engine_ = nullptr;
  fakes::fake_replica* endpoint_ = nullptr;
  std::vector<caller_exchange_ptr> calls_;
};

// Guards against budgets that are freed before the work that returns its share to them.
TEST_F(stop_in_progress_test, Router_WithPrefillsInProgress_EndsCleanly) {
  prefill_->Faults().never_responds = true;
  SendModel(3);
  harness_->RunFor(milliseconds(100));
  End();
}

TEST_F(stop_in_progress_test, Router_WithWorkOfAllKinds_EndsCleanly) {
  endpoint_->Faults().never_responds = true;
  SendModel(3);
  harness_->RunFor(milliseconds(300));  // decodes
  engine_->Faults().reserve_delay = milliseconds(5'000);
  SendModel(6);  // reservations, and requests in the queue
  for (int i = 0; i < 4; ++i) {
    calls_.push_back(harness_->Send("GET", "/pages/1", "p" + std::to_string(i)));
    calls_.push_back(harness_->Send("POST", "/submit/1", "s" + std::to_string(i), {}, "quiz"));
  }
  harness_->RunFor(milliseconds(100));
  End();
}

TEST_F(stop_in_progress_test, Router_InThePlannedStop_EndsCleanly) {
  SendModel(6);
  harness_->RunFor(milliseconds(100));
  (void)harness_->BeginStop();
  harness_->RunFor(milliseconds(100));
  End();
}

}  // namespace
}  // namespace persimmon
