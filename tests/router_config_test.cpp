// link: persimmon_ctl_parts
// Guards against a router that restarts with an old configuration revision, or that becomes ready before it has the
// highest revision among several peers. Runs real router processes on loopback.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <filesystem>
#include <fstream>

#include "core/log.h"
#include "ctl/fleet.h"
#include "net/http.h"
#include "support/processes.h"

namespace persimmon {
namespace {

using support::child_process;
using support::FreePort;
using support::LoopbackHostPort;
using support::WaitUntil;

constexpr const char* kSecret = "test-secret";
constexpr int kRouters = 3;

host_port At(int port) { return {"127.0.0.1", static_cast<std::uint16_t>(port)}; }

struct router_ports {
  int http = FreePort();
  int channel = FreePort();
  int datagram = FreePort();
};

class router_config_test : public testing::Test {
 protected:
  router_config_test()
      : folder_(std::filesystem::temp_directory_path() / fmt::format("router-config-test-{}", getpid())),
        platform_port_(FreePort()) {
    SetLogLevel(log_level::kError);
    std::filesystem::create_directories(folder_);
  }

  ~router_config_test() override { std::filesystem::remove_all(folder_); }

  void SetUp() override {
    // No endpoint records, because unreachable endpoints would delay readiness by several seconds.
    const auto records = folder_ / "records.json";
    std::ofstream(records) << R"({"kind":"pool","name":"savetnik-llm","schema":2})";
    platform_ = std::make_unique<child_process>(
        "fake-platform",
        std::vector<std::string>{"--listen", LoopbackHostPort(platform_port_), "--preload", records.string()});
    ASSERT_TRUE(platform_->WaitForPort(platform_port_)) << platform_->Err();
    for (int i = 0; i < kRouters; ++i) {
      StartRouter(i);
    }
    for (int i = 0; i < kRouters; ++i) {
      ASSERT_TRUE(WaitUntil([&] { return RevisionOf(i) == 1; })) << routers_[i]->Err();
    }
  }

  void StartRouter(int index) {
    const router_ports& ports = ports_[index];
    std::string peers;
    for (int i = 0; i < kRouters; ++i) {
      peers += (peers.empty() ? "" : ",") + LoopbackHostPort(ports_[i].channel);
    }
    const auto path = folder_ / fmt::format("r{}.ini", index);
    std::ofstream(path) << fmt::format(
        "[process]\nname = r{}\nzone = zone-{}\n[listen]\nhttp = {}\nchannel = {}\ndatagram = {}\n"
        "[platform]\ntable_servers = {}\npoll_period_ms = 100\n[peers]\nsecret = {}\nrouters = {}\n",
        index, index, LoopbackHostPort(ports.http), LoopbackHostPort(ports.channel), LoopbackHostPort(ports.datagram),
        LoopbackHostPort(platform_port_), kSecret, peers);
    routers_[index].reset();
    routers_[index] =
        std::make_unique<child_process>("persimmon-router", std::vector<std::string>{"--config", path.string()});
  }

  static int Fetch(int port, const std::string& method, const std::string& target, const std::string& body) {
    asio::io_context context;
    http_client client(context, http_client_limits());
    int status = 0;
    const auto work = [&]() -> task<> {
      http_request request;
      request.method = method;
      request.target = target;
      request.body = body;
      const host_port address = At(port);
      const auto response = co_await client.Fetch(address, request);
      status = response ? response.value().status : 0;
    };
    asio::co_spawn(context, work(), asio::detached);
    context.run();
    return status;
  }

  bool IsReady(int index) const { return Fetch(ports_[index].http, "GET", "/readyz", "") == 200; }

  // Configuration revision in the router's hello message, or 0 if the router cannot be reached.
  revision_number RevisionOf(int index) const {
    asio::io_context context;
    fleet_monitor monitor(context, kSecret, channel_settings());
    monitor.SetTargets({{"router", fmt::format("r{}", index), "", At(ports_[index].channel), vm_phase::kLive}});
    const auto is_connected = [&monitor] { return monitor.Views()[0].is_connected; };
    WaitUntil([&] {
      context.run_for(milliseconds(5));
      return is_connected();
    });
    return is_connected() ? monitor.Views()[0].revision : 0;
  }

  void SetFaults(const std::string& body) const { ASSERT_EQ(Fetch(platform_port_, "POST", "/faults", body), 200); }

  // Writes a record and waits until all routers have applied the new revision.
  void RaiseRevision(int queue_limit, const std::string& revision) {
    const auto path = folder_ / "pool.json";
    std::ofstream(path) << fmt::format(R"({{"kind":"pool","name":"savetnik-llm","schema":2,"queue_limit":{}}})",
                                       queue_limit);
    const std::vector<std::string> platform = {"--platform", LoopbackHostPort(platform_port_)};
    const auto put = support::RunProgram("persimmonctl", {"put", path.string(), platform[0], platform[1]});
    ASSERT_EQ(put.exit_code, 0) << put.err;
    ASSERT_EQ(put.out, "revision " + revision + ": pool/savetnik-llm\n");
    for (int i = 0; i < kRouters; ++i) {
      ASSERT_TRUE(WaitUntil([&] { return std::to_string(RevisionOf(i)) == revision; })) << routers_[i]->Err();
    }
  }

  std::filesystem::path folder_;
  int platform_port_;
  std::array<router_ports, kRouters> ports_;
  std::unique_ptr<child_process> platform_;
  std::array<std::unique_ptr<child_process>, kRouters> routers_;
};

TEST_F(router_config_test, Restart_InAnOutage_HasTheRevisionOfItsPeersAndNotBeforeTwoAnswer) {
  RaiseRevision(100, "2");
  SetFaults(R"({"outage":true})");
  routers_[2]->Signal(SIGKILL);
  ASSERT_TRUE(routers_[2]->WaitForExit());
  routers_[0]->Signal(SIGSTOP);
  StartRouter(2);
  ASSERT_TRUE(routers_[2]->WaitForPort(ports_[2].http)) << routers_[2]->Err();
  // Only one peer responds. The router needs a second one, because a single peer may be out of date.
  EXPECT_FALSE(WaitUntil([&] { return IsReady(2) || RevisionOf(2) != 0; }, milliseconds(2'500)));
  routers_[0]->Signal(SIGCONT);
  ASSERT_TRUE(WaitUntil([&] { return RevisionOf(2) != 0; })) << routers_[2]->Err();
  EXPECT_EQ(RevisionOf(2), 2U);
  EXPECT_TRUE(WaitUntil([&] { return IsReady(2); }));
  SetFaults(R"({"outage":false})");
  RaiseRevision(200, "3");
}

TEST_F(router_config_test, Restart_WhileOnePeerLags_NeverHoldsTheOldRevision) {
  routers_[0]->Signal(SIGSTOP);  // does not receive the revision that the others apply
  const auto path = folder_ / "pool.json";
  std::ofstream(path) << R"({"kind":"pool","name":"savetnik-llm","schema":2,"queue_limit":7})";
  const auto put =
      support::RunProgram("persimmonctl", {"put", path.string(), "--platform", LoopbackHostPort(platform_port_)});
  ASSERT_EQ(put.exit_code, 0) << put.err;
  for (int i = 1; i < kRouters; ++i) {
    ASSERT_TRUE(WaitUntil([&] { return RevisionOf(i) == 2; }));
  }
  SetFaults(R"({"outage":true})");
  routers_[0]->Signal(SIGCONT);
  routers_[2]->Signal(SIGKILL);
  ASSERT_TRUE(routers_[2]->WaitForExit());
  StartRouter(2);
  ASSERT_TRUE(WaitUntil([&] { return RevisionOf(2) != 0; })) << routers_[2]->Err();
  EXPECT_EQ(RevisionOf(2), 2U);
}

}  // namespace
}  // namespace persimmon
