// link: persimmon_direct persimmon_fake_parts
// Planned stops of a router without agents: what its grace time leaves of requests that come late or last long.
#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

#include "support/router_harness.h"

namespace persimmon {
namespace {

using boost::asio::ip::tcp;
using fakes::fake_replica;
using fakes::replica_options;
using support::caller_exchange_ptr;
using support::router_harness;

constexpr milliseconds kGrace(2'000);
constexpr milliseconds kReserve(500);
constexpr milliseconds kAnnounce(50);

class planned_stop_test : public testing::Test {
 protected:
  planned_stop_test()
      : harness_([](direct_settings& settings) {
          settings.deployment.stop_grace = kGrace;
          settings.stop_reserve = kReserve;
          settings.stop_announce = kAnnounce;
        }) {
    replica_options options;
    options.name = "app-1";
    options.service = "app";
    endpoint_ = &harness_.AddReplica(options);
    options = {};
    options.name = "dec-1";
    options.service = "llm";
    options.stage = "decode";
    options.memory_tokens = 10'000;
    engine_ = &harness_.AddReplica(options);
    harness_.WriteDesiredState({.timeout_ms = 14'000});
  }
  void SetUp() override { ASSERT_TRUE(harness_.Start()); }

  // Stops the router and waits until its process would have ended.
  void StopAndEnd() {
    const time_point begin = timer_service::Now();
    const auto finished = harness_.BeginStop();
    ASSERT_TRUE(harness_.RunUntil([&] { return *finished; }));
    EXPECT_LT(timer_service::Now() - begin, kGrace) << "the platform would have killed the process";
    harness_.Kernel().Stop();  // as at program exit: bytes not yet written are lost
  }

  router_harness harness_;
  fake_replica* endpoint_ = nullptr;
  fake_replica* engine_ = nullptr;
};

// Guards against requests that are cut without an answer at the end of the grace time.
TEST_F(planned_stop_test, CallThatRunsBeyondTheGrace_IsAnsweredAsOneThatMayHaveRun) {
  endpoint_->Faults().never_responds = true;
  const auto unsafe = harness_.Send("POST", "/submit/1", "a1", {}, "quiz");
  const auto safe = harness_.Send("GET", "/pages/1", "a2");
  ASSERT_TRUE(harness_.RunUntil([this] { return endpoint_->ActiveRuns() == 2; }));
  StopAndEnd();
  for (const caller_exchange_ptr& call : {unsafe, safe}) {
    ASSERT_TRUE(harness_.Finish(call));
    EXPECT_FALSE(call->failure);
    EXPECT_GE(call->Status(), 500);
    EXPECT_NE(call->Status(), 503) << "503 states that the request has not run";
    EXPECT_NE(call->body.find("may_have_run"), std::string::npos);
  }
}

// Guards against a cut of requests that still wait: they have not run, and another router can take them.
TEST_F(planned_stop_test, CallThatWaitsAtTheEndOfTheGrace_IsRefusedAsNotRun) {
  engine_->Faults().full = true;
  const auto call = harness_.SendModel("/chat/1", "a1", 1'000, 100);
  harness_.RunFor(milliseconds(100));
  StopAndEnd();
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_FALSE(call->failure);
  EXPECT_EQ(call->Status(), 503);
  EXPECT_NE(call->body.find("not_run"), std::string::npos);
  EXPECT_NE(call->Header("Retry-After"), "");
  EXPECT_EQ(engine_->TotalRuns(), 0);
}

// A started response can no longer become another one; its caller must see that it is incomplete.
TEST_F(planned_stop_test, StreamThatRunsBeyondTheGrace_LooksBrokenToTheCaller) {
  engine_->Faults().stall_after_events = 2;
  const auto call = harness_.SendModel("/chat/1", "a1", 1'000, 100);
  ASSERT_TRUE(harness_.RunUntil([&] { return !call->body.empty(); }));
  StopAndEnd();
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_TRUE(call->failure);
}

// A caller on an open connection whose request is read at a chosen time.
class late_upload_test : public planned_stop_test {
 protected:
  // Sends a request but for its last byte, begins the stop, and sends that byte so long after the signal. Returns the
  // response.
  std::string SendLate(milliseconds after_signal) {
    const std::string request =
        "POST /submit/1 HTTP/1.1\r\nHost: app.example\r\nPersimmonchute-Attempt-Id: a1\r\nContent-Length: "
        "4\r\n\r\nquiz";
    const host_port& callers = harness_.Settings().deployment.callers;
    tcp::socket socket(harness_.Kernel().Context());
    socket.connect({boost::asio::ip::make_address(callers.host), callers.port});
    boost::asio::write(socket, boost::asio::buffer(request, request.size() - 1));
    harness_.RunFor(milliseconds(50));
    const auto finished = harness_.BeginStop();
    harness_.RunFor(after_signal);
    boost::asio::write(socket, boost::asio::buffer(request.substr(request.size() - 1)));
    EXPECT_TRUE(harness_.RunUntil([&] { return *finished; }));
    harness_.Kernel().Stop();
    std::string response(4'096, '\0');
    boost::system::error_code failure;
    response.resize(socket.read_some(boost::asio::buffer(response), failure));
    return response;
  }
};

// Guards against requests that are passed on although the process ends before they can be answered.
TEST_F(late_upload_test, RequestReadAtTheEndOfTheGrace_IsRefusedWithoutRunning) {
  const std::string response = SendLate(kGrace - kReserve - milliseconds(300));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503")) << response;
  EXPECT_NE(response.find("not_run"), std::string::npos) << response;
  EXPECT_EQ(endpoint_->TotalRuns(), 0);
}

TEST_F(late_upload_test, RequestReadEarlyInTheGrace_IsServed) {
  const std::string response = SendLate(milliseconds(200));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
  EXPECT_EQ(endpoint_->TotalRuns(), 1);
}

}  // namespace
}  // namespace persimmon
