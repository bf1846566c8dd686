// link: persimmon_net
// Guards against a call with an idempotency key that runs twice, or that is reported as not_run although it ran, when
// processes die, pause or lose replies. Runs fake-platform, one fake-service with its agent, and two routers.
//
// Sections
//   1. processes
//   2. calls and checks
//   3. single faults
//   4. combined faults
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "core/random.h"
#include "net/http.h"
#include "support/processes.h"
#include "support/table_rows.h"

namespace persimmon {
namespace {

using json = nlohmann::json;
using support::child_process;
using support::FreePort;
using support::LoopbackHostPort;
using support::PutRows;
using support::SingleValue;

constexpr const char* kPath = "/app/quiz";

// The response to one request, as seen by the caller.
struct caller_result {
  std::optional<result<http_response>> reply;

  bool IsDone() const { return reply.has_value(); }
  bool HasResponse() const { return IsDone() && reply->has_value(); }
  int Status() const { return HasResponse() ? reply->value().status : 0; }
  std::string Body() const { return HasResponse() ? reply->value().body : ""; }
  // "answered", "not_run", "may_have_run", or empty if the connection failed.
  std::string Outcome() const {
    if (Status() == 200) {
      return "answered";
    }
    const json body = json::parse(Body(), nullptr, false);
    return body.is_object() && body.contains("error") ? body["error"].value("outcome", "") : "";
  }
  std::string Code() const {
    const json body = json::parse(Body(), nullptr, false);
    return body.is_object() && body.contains("error") ? body["error"].value("code", "") : "";
  }
};

using caller_ptr = std::shared_ptr<caller_result>;

class at_most_once_test : public testing::Test {
 protected:
  // -------------------------------------------------------------------------------------------------------------------
  // 1. processes
  // -------------------------------------------------------------------------------------------------------------------

  at_most_once_test() : http_(context_, MakeLimits()) {
    folder_ = std::filesystem::path(testing::TempDir()) / ("at-most-once-" + RandomHex(8));
    std::filesystem::create_directories(folder_);
  }
  ~at_most_once_test() override {
    routers_.clear();
    agent_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  static http_client_limits MakeLimits() {
    http_client_limits limits;
    limits.response_timeout = milliseconds(30'000);
    limits.idle_connections = 0;  // reusing a connection to a killed process would fail the next request
    return limits;
  }

  void SetUp() override {
    for (int* port : {&platform_port_, &service_port_, &agent_port_, &http_ports_[0], &http_ports_[1],
                      &channel_ports_[0], &channel_ports_[1], &datagram_ports_[0], &datagram_ports_[1]}) {
      *port = FreePort();
    }
    platform_ = std::make_unique<child_process>("fake-platform",
                                                std::vector<std::string>{"--listen", LoopbackHostPort(platform_port_)});
    ASSERT_TRUE(platform_->WaitForPort(platform_port_));
    service_ = std::make_unique<child_process>(
        "fake-service",
        std::vector<std::string>{"--listen", LoopbackHostPort(service_port_), "--calls_file", folder_ / "calls"});
    ASSERT_TRUE(service_->WaitForPort(service_port_));
    StoreRecords();
    StartAgent();
  }

  void StoreRecords() {
    const json pool = {
        {"kind", "pool"},        {"name", "app"},           {"schema", 2}, {"version", 1}, {"type", "service"},
        {"path_prefix", "/app"}, {"call_timeout_ms", 6'000}};
    const json endpoint = {
        {"kind", "endpoint"}, {"name", "app-1"},      {"schema", 2},      {"version", 1},
        {"pool", "app"},      {"roles", {"service"}}, {"zone", "zone-a"}, {"address", LoopbackHostPort(agent_port_)}};
    Post(platform_port_, "/rows-tx",
         PutRows(
             "config",
             {{"head", json{{"revision", 1}}.dump()}, {"pool/app", pool.dump()}, {"endpoint/app-1", endpoint.dump()}}));
  }

  void StartAgent() {
    const std::string path = folder_ / "agent.ini";
    std::ofstream(path) << "[process]\nname = app-1\nzone = zone-a\n[peers]\nsecret = s\n[platform]\ntable_servers = "
                        << LoopbackHostPort(platform_port_)
                        << "\npeers_needed = 1\n[listen]\nchannel = " << LoopbackHostPort(agent_port_)
                        << "\n[endpoint]\nkind = service\nservice = " << LoopbackHostPort(service_port_) << "\n";
    agent_ = std::make_unique<child_process>("persimmon-agent", std::vector<std::string>{"--config", path});
    ASSERT_TRUE(agent_->WaitForPort(agent_port_)) << agent_->Err();
  }

  // The pause is the delay between storing the claim and sending the call.
  void StartRouter(std::size_t number, int pause_ms = 0) {
    const std::string path = folder_ / ("router-" + std::to_string(number) + ".ini");
    std::ofstream(path) << "[process]\nname = router-" << number
                        << "\nzone = zone-a\n[listen]\nhttp = " << LoopbackHostPort(http_ports_[number])
                        << "\nchannel = " << LoopbackHostPort(channel_ports_[number])
                        << "\ndatagram = " << LoopbackHostPort(datagram_ports_[number])
                        << "\n[platform]\ntable_servers = " << LoopbackHostPort(platform_port_)
                        << "\ntable_timeout_ms = 1000\n[peers]\nsecret = s\nrouters = "
                        << LoopbackHostPort(channel_ports_[1 - number]) << "\n[accounts]\nrequired = false\n[test]\n"
                        << "pause_before_send_ms = " << pause_ms << "\n";
    routers_.resize(2);
    routers_[number] = std::make_unique<child_process>("persimmon-router", std::vector<std::string>{"--config", path});
    ASSERT_TRUE(routers_[number]->WaitForPort(http_ports_[number])) << routers_[number]->Err();
    ASSERT_TRUE(WaitForService(number)) << routers_[number]->Err();
  }

  void StartRouters(int first_pause_ms = 0) {
    StartRouter(0, first_pause_ms);
    StartRouter(1);
  }

  // Waits until the router can forward an idempotent call to the service.
  bool WaitForService(std::size_t router) {
    const auto end = std::chrono::steady_clock::now() + support::kDefaultTimeout;
    while (std::chrono::steady_clock::now() < end) {
      const caller_ptr probe = Send(router, "GET", "/app/warm", "", "");
      WaitForResponses({probe});
      if (probe->Status() == 200) {
        return true;
      }
      context_.restart();
      context_.run_for(milliseconds(20));
    }
    return false;
  }

  void RestartAgent() {
    ASSERT_TRUE(agent_->WaitForExit().has_value());
    StartAgent();
    for (std::size_t router = 0; router < routers_.size(); ++router) {
      ASSERT_TRUE(WaitForService(router)) << routers_[router]->Err();
    }
  }

  // -------------------------------------------------------------------------------------------------------------------
  // 2. calls and checks
  // -------------------------------------------------------------------------------------------------------------------

  static task<> Exchange(http_client& http, int port, http_request request, caller_ptr caller) {
    host_port address{"127.0.0.1", static_cast<std::uint16_t>(port)};
    auto reply = co_await http.Fetch(std::move(address), std::move(request));
    caller->reply = std::move(reply);
  }

  caller_ptr SendTo(int port, http_request request) {
    auto caller = std::make_shared<caller_result>();
    asio::co_spawn(context_, Exchange(http_, port, std::move(request), caller), asio::detached);
    return caller;
  }

  caller_ptr Send(std::size_t router, const std::string& method, const std::string& target, const std::string& key,
                  const std::string& body) {
    http_request request;
    request.method = method;
    request.target = target;
    request.body = body;
    if (!key.empty()) {
      request.headers.push_back({"Idempotency-Key", key});
    }
    return SendTo(http_ports_[router], std::move(request));
  }

  // Sends a call with an idempotency key. The key is also the body, so that the service counts runs by key.
  caller_ptr Submit(std::size_t router, const std::string& key) { return Send(router, "POST", kPath, key, key); }

  bool RunUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + 2 * support::kDefaultTimeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      context_.restart();
      context_.run_for(milliseconds(5));
    }
    return true;
  }

  void WaitForResponses(const std::vector<caller_ptr>& callers) {
    EXPECT_TRUE(RunUntil([&callers] {
      return std::all_of(callers.begin(), callers.end(), [](const caller_ptr& item) { return item->IsDone(); });
    })) << "a caller got no response";
  }

  caller_ptr SubmitAndWait(std::size_t router, const std::string& key) {
    const caller_ptr caller = Submit(router, key);
    WaitForResponses({caller});
    return caller;
  }

  void Post(int port, const std::string& target, const json& body) {
    http_request request;
    request.method = "POST";
    request.target = target;
    request.body = body.dump();
    const caller_ptr caller = SendTo(port, std::move(request));
    WaitForResponses({caller});
    ASSERT_EQ(caller->Status(), 200) << caller->Body();
  }

  void SetStoreFaults(const json& faults) { Post(platform_port_, "/faults", faults); }
  void SetServiceFaults(const json& faults) { Post(service_port_, "/faults", faults); }

  json Get(int port, const std::string& target) {
    http_request request;
    request.method = "GET";
    request.target = target;
    const caller_ptr caller = SendTo(port, std::move(request));
    WaitForResponses({caller});
    return json::parse(caller->Body(), nullptr, false);
  }

  // Number of times that the service ran the call of a key.
  int CountRuns(const std::string& key) {
    const json calls = Get(service_port_, "/calls");
    return calls.is_object() ? calls["calls"].value(std::string("POST ") + kPath + " " + key, 0) : -1;
  }

  // Attempt id in the only claim row; empty if there is none.
  std::string ClaimingAttempt() {
    const json row = json::parse(SingleValue(Get(platform_port_, "/rows-get?table=claims&part=")), nullptr, false);
    return row.is_object() ? row.value("attempt", "") : "";
  }

  bool WaitForRun(const std::string& key) {
    return RunUntil([&] { return CountRuns(key) == 1; });
  }

  // True if a connection to the local port has received bytes that the process has not read yet.
  static bool HasUnreadBytes(int port) {
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
      std::istringstream fields(line);
      std::string slot;
      std::string local;
      std::string remote;
      std::string phase;
      std::string queues;  // TX:RX queue sizes in hexadecimal
      fields >> slot >> local >> remote >> phase >> queues;
      const bool is_port = std::stoi(local.substr(local.find(':') + 1), nullptr, 16) == port;
      const bool is_established = phase == "01";
      if (is_port && is_established && std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16) > 0) {
        return true;
      }
    }
    return false;
  }

  // Waits until the key is claimed and returns the claiming attempt. The router has not sent the call yet.
  std::string WaitForClaim() {
    std::string attempt;
    RunUntil([&] { return !(attempt = ClaimingAttempt()).empty(); });
    return attempt;
  }

  // Checks what must hold for all callers of a key after any faults.
  void CheckKey(const std::string& key, const std::vector<caller_ptr>& callers) {
    const int runs = CountRuns(key);
    EXPECT_LE(runs, 1) << key;
    std::string outcomes;
    bool any_answered = false;
    bool all_not_run = true;
    for (const caller_ptr& caller : callers) {
      any_answered = any_answered || caller->Outcome() == "answered";
      all_not_run = all_not_run && caller->Outcome() == "not_run";
      outcomes += caller->Outcome() + " " + caller->Code() + "; ";
    }
    EXPECT_TRUE(!any_answered || runs == 1) << key << ": " << outcomes;
    EXPECT_TRUE(!all_not_run || runs == 0) << key << ": " << outcomes;
  }

  asio::io_context context_{1};
  http_client http_;
  std::filesystem::path folder_;
  int platform_port_ = 0;
  int service_port_ = 0;
  int agent_port_ = 0;
  std::array<int, 2> http_ports_{};
  std::array<int, 2> channel_ports_{};
  std::array<int, 2> datagram_ports_{};
  std::unique_ptr<child_process> platform_;
  std::unique_ptr<child_process> service_;
  std::unique_ptr<child_process> agent_;
  std::vector<std::unique_ptr<child_process>> routers_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. single faults
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(at_most_once_test, Resend_ThroughOtherRouter_GetsTheSameAnswer) {
  ASSERT_NO_FATAL_FAILURE(StartRouters());
  const caller_ptr first = SubmitAndWait(0, "k");
  const caller_ptr second = SubmitAndWait(1, "k");
  EXPECT_EQ(first->Status(), 200) << first->Body();
  EXPECT_EQ(second->Body(), first->Body());
  EXPECT_EQ(CountRuns("k"), 1);
}

TEST_F(at_most_once_test, Claim_WhenReplyIsLostAfterItTookEffect_RunsOnce) {
  ASSERT_NO_FATAL_FAILURE(StartRouters());
  SetStoreFaults({{"lose_replies", 1}});
  const caller_ptr first = SubmitAndWait(0, "k");
  EXPECT_EQ(first->Status(), 200) << first->Body();
  CheckKey("k", {first, SubmitAndWait(1, "k")});
}

TEST_F(at_most_once_test, Router_WhenPausedBetweenClaimAndSendAndReplaced_DoesNotRunItsCall) {
  ASSERT_NO_FATAL_FAILURE(StartRouters(3'000));
  const caller_ptr first = Submit(0, "k");
  const std::string claimed = WaitForClaim();
  routers_[0]->Signal(SIGSTOP);
  const caller_ptr second = SubmitAndWait(1, "k");
  EXPECT_EQ(second->Status(), 200) << second->Body();
  EXPECT_NE(ClaimingAttempt(), claimed) << "the claim was not replaced while the router that made it was paused";
  routers_[0]->Signal(SIGCONT);
  WaitForResponses({first});
  EXPECT_EQ(CountRuns("k"), 1);
  CheckKey("k", {first, second});
}

TEST_F(at_most_once_test, Router_WhenKilledBetweenClaimAndSend_LeavesTheCallToAResend) {
  ASSERT_NO_FATAL_FAILURE(StartRouters(20'000));
  const caller_ptr first = Submit(0, "k");
  const std::string claimed = WaitForClaim();
  routers_[0]->Signal(SIGKILL);
  const caller_ptr second = SubmitAndWait(1, "k");
  EXPECT_EQ(second->Status(), 200) << second->Body();
  EXPECT_NE(ClaimingAttempt(), claimed);
  EXPECT_EQ(CountRuns("k"), 1);
}

// The service is stopped, so the agent has accepted and forwarded the call, but nothing has run when the agent dies.
TEST_F(at_most_once_test, Agent_WhenKilledBetweenAcceptAndRun_EndsMayHaveRun) {
  ASSERT_NO_FATAL_FAILURE(StartRouters());
  service_->Signal(SIGSTOP);
  const caller_ptr first = Submit(0, "k");
  ASSERT_TRUE(RunUntil([this] { return HasUnreadBytes(service_port_); })) << "the agent has not accepted the call";
  agent_->Signal(SIGKILL);
  service_->Signal(SIGCONT);
  WaitForResponses({first});
  EXPECT_EQ(first->Outcome(), "may_have_run") << first->Body();
  ASSERT_NO_FATAL_FAILURE(RestartAgent());
  const caller_ptr second = SubmitAndWait(1, "k");
  EXPECT_EQ(second->Outcome(), "may_have_run") << second->Body();
  CheckKey("k", {first, second});
}

TEST_F(at_most_once_test, Call_WhenAgentIsKilledBetweenRunAndAnswer_IsNotRunAgain) {
  ASSERT_NO_FATAL_FAILURE(StartRouters());
  SetServiceFaults({{"delay_ms", 5'000}});
  const caller_ptr first = Submit(0, "k");
  ASSERT_TRUE(WaitForRun("k"));
  agent_->Signal(SIGKILL);
  WaitForResponses({first});
  EXPECT_EQ(first->Outcome(), "may_have_run") << first->Body();
  SetServiceFaults({{"delay_ms", 0}});
  ASSERT_NO_FATAL_FAILURE(RestartAgent());
  const caller_ptr second = SubmitAndWait(1, "k");
  EXPECT_EQ(second->Outcome(), "may_have_run") << second->Body();
  EXPECT_EQ(CountRuns("k"), 1);
}

TEST_F(at_most_once_test, Call_WhenStoreIsUnavailableBeforeTheClaim_EndsNotRun) {
  ASSERT_NO_FATAL_FAILURE(StartRouters());
  SetStoreFaults({{"outage", true}});
  const caller_ptr first = SubmitAndWait(0, "k");
  EXPECT_EQ(first->Outcome(), "not_run");
  EXPECT_EQ(first->Code(), "store_unavailable");
  EXPECT_NE(FindHeader(first->reply->value().headers, "Retry-After"), "");
  EXPECT_EQ(CountRuns("k"), 0);
  SetStoreFaults({{"outage", false}});
  const caller_ptr second = SubmitAndWait(0, "k");
  EXPECT_EQ(second->Status(), 200) << second->Body();
  CheckKey("k", {first, second});
}

TEST_F(at_most_once_test, Call_WhenStoreIsUnavailableBetweenClaimAndSend_RunsOnce) {
  ASSERT_NO_FATAL_FAILURE(StartRouters(1'000));
  const caller_ptr first = Submit(0, "k");
  WaitForClaim();
  SetStoreFaults({{"outage", true}});
  WaitForResponses({first});
  EXPECT_EQ(first->Status(), 200) << first->Body();
  const caller_ptr second = SubmitAndWait(1, "k");
  EXPECT_EQ(second->Code(), "store_unavailable") << second->Body();
  SetStoreFaults({{"outage", false}});
  const caller_ptr third = SubmitAndWait(1, "k");
  EXPECT_EQ(third->Body(), first->Body());
  EXPECT_EQ(CountRuns("k"), 1);
}

// The claim row stays in the claimed phase because the store is unavailable. The agent still has the answer.
TEST_F(at_most_once_test, Call_WhenStoreIsUnavailableBetweenRunAndFinish_KeepsItsAnswer) {
  ASSERT_NO_FATAL_FAILURE(StartRouters());
  SetServiceFaults({{"delay_ms", 1'000}});
  const caller_ptr first = Submit(0, "k");
  ASSERT_TRUE(WaitForRun("k"));
  SetStoreFaults({{"outage", true}});
  WaitForResponses({first});
  EXPECT_EQ(first->Status(), 200) << first->Body();
  SetStoreFaults({{"outage", false}});
  const caller_ptr second = SubmitAndWait(1, "k");
  EXPECT_EQ(second->Body(), first->Body());
  EXPECT_EQ(CountRuns("k"), 1);
}

TEST_F(at_most_once_test, TwoRouters_WithOneKeyAtTheSameTime_RunTheCallOnce) {
  constexpr int kKeys = 20;
  ASSERT_NO_FATAL_FAILURE(StartRouters());
  std::vector<std::vector<caller_ptr>> callers;
  for (int i = 0; i < kKeys; ++i) {
    const std::string key = "k" + std::to_string(i);
    callers.push_back({Submit(0, key), Submit(1, key)});
  }
  for (int i = 0; i < kKeys; ++i) {
    WaitForResponses(callers[i]);
    CheckKey("k" + std::to_string(i), callers[i]);
  }
}

TEST_F(at_most_once_test, CallWithoutKey_WhenAgentIsKilled_GetsOneAttempt) {
  ASSERT_NO_FATAL_FAILURE(StartRouters());
  SetServiceFaults({{"delay_ms", 5'000}});
  const caller_ptr first = Send(0, "POST", kPath, "", "k");
  ASSERT_TRUE(WaitForRun("k"));
  agent_->Signal(SIGKILL);
  WaitForResponses({first});
  EXPECT_EQ(first->Outcome(), "may_have_run") << first->Body();
  EXPECT_EQ(CountRuns("k"), 1);
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. combined faults
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(at_most_once_test, Replacement_WhenRouterIsPausedAndReplyIsLost_RunsOnce) {
  ASSERT_NO_FATAL_FAILURE(StartRouters(3'000));
  const caller_ptr first = Submit(0, "k");
  WaitForClaim();
  routers_[0]->Signal(SIGSTOP);
  SetStoreFaults({{"lose_replies", 2}});
  const caller_ptr second = SubmitAndWait(1, "k");
  SetStoreFaults({{"lose_replies", 0}});
  routers_[0]->Signal(SIGCONT);
  WaitForResponses({first});
  const caller_ptr third = SubmitAndWait(1, "k");
  EXPECT_EQ(third->Status(), 200) << third->Body();
  EXPECT_EQ(CountRuns("k"), 1);
  CheckKey("k", {first, second, third});
}

TEST_F(at_most_once_test, Call_WhenAgentIsKilledDuringAnOutage_IsNotRunAgain) {
  ASSERT_NO_FATAL_FAILURE(StartRouters());
  SetServiceFaults({{"delay_ms", 5'000}});
  const caller_ptr first = Submit(0, "k");
  ASSERT_TRUE(WaitForRun("k"));
  SetStoreFaults({{"outage", true}});
  agent_->Signal(SIGKILL);
  WaitForResponses({first});
  EXPECT_EQ(first->Outcome(), "may_have_run") << first->Body();
  const caller_ptr second = SubmitAndWait(1, "k");
  EXPECT_NE(second->Outcome(), "answered");
  SetStoreFaults({{"outage", false}});
  SetServiceFaults({{"delay_ms", 0}});
  ASSERT_NO_FATAL_FAILURE(RestartAgent());
  const caller_ptr third = SubmitAndWait(1, "k");
  EXPECT_EQ(third->Outcome(), "may_have_run") << third->Body();
  EXPECT_EQ(CountRuns("k"), 1);
}

}  // namespace
}  // namespace persimmon
