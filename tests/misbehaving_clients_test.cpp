// link: persimmon_platform
// run: serial
// Clients that send without reading, announce more than they send, or open connections without end, against the real
// processes on loopback: the process lives, its memory and descriptors stay within its limits, and an ordinary request
// is answered.
//
// Sections
//   1. crowd
//   2. router without agents
//   3. router with agents
#include <fcntl.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <poll.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "core/base64.h"
#include "support/deployment.h"
#include "support/processes.h"

namespace persimmon::support {
namespace {

constexpr std::size_t kProcessMb = 48;       // memory of the process under test
constexpr std::size_t kProcessFiles = 700;   // descriptors that it may open
constexpr int kClients = 450;                // a crowd
constexpr int kRequestsAhead = 3'000;        // that each client sends without reading an answer
constexpr int kClientReceiveBytes = 4'096;   // of the sockets of the clients, so that unread answers fill them soon
constexpr milliseconds kQuietTime(2'000);    // a crowd that has sent nothing for so long is stuck
constexpr milliseconds kCrowdLimit(60'000);  // for a crowd to send what it can
constexpr std::size_t kMaxHeaderBytes = 8'192;
constexpr std::size_t kMaxBodyBytes = 100'000;

// ---------------------------------------------------------------------------------------------------------------------
// 1. crowd
// ---------------------------------------------------------------------------------------------------------------------

std::string Repeat(std::string_view text, int count) {
  std::string repeated;
  for (int i = 0; i < count; ++i) {
    repeated += text;
  }
  return repeated;
}

std::string GetRequest(const std::string& target, const std::string& fields = "") {
  return fmt::format("GET {} HTTP/1.1\r\nHost: app.example\r\n{}\r\n", target, fields);
}

// Field lines of one byte name and no value, as many as the limit of a head allows.
std::string ShortFields(std::size_t head_bytes) {
  constexpr std::string_view kField = "a:\r\n";
  constexpr std::size_t kRest = 200;  // for the request line and the other fields
  return Repeat(kField, static_cast<int>((head_bytes - kRest) / kField.size()));
}

// A request whose body lacks its last byte.
std::string IncompleteRequest(const std::string& fields, std::size_t body_bytes) {
  return fmt::format("POST /pages/1 HTTP/1.1\r\nHost: app.example\r\n{}Content-Length: {}\r\n\r\n", fields,
                     body_bytes) +
         std::string(body_bytes - 1, 'x');
}

// A request whose head has the maximum length, in many fields.
http_request LargestHead(const std::string& target, std::size_t head_bytes, header_list headers = {}) {
  constexpr std::size_t kFieldBytes = 8;  // "a: b" and the line end, as clients write them
  constexpr std::size_t kRest = 400;      // for the request line and the other fields
  headers.push_back({"Host", "app.example"});
  for (std::size_t bytes = kRest; bytes + kFieldBytes <= head_bytes; bytes += kFieldBytes) {
    headers.push_back({"a", "b"});
  }
  return http_request{"GET", target, std::move(headers), "", ""};
}

// Connections that send all of their input, as far as the peer takes it, and never read.
class crowd {
 public:
  // `input` must outlive the crowd.
  crowd(int port, int clients, std::string_view input) : input_(input) {
    for (int i = 0; i < clients; ++i) {
      Connect(port);
    }
  }
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;

  ~crowd() {
    for (const client& each : clients_) {
      close(each.descriptor);
    }
  }

  // Sends what the peer takes now. Returns true if any client has sent something.
  bool SendSome() {
    bool has_sent = false;
    for (client& each : clients_) {
      while (!each.failed && each.sent < input_.size()) {
        const ssize_t count =
            send(each.descriptor, input_.data() + each.sent, input_.size() - each.sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count <= 0) {
          each.failed = errno != EAGAIN;
          break;
        }
        each.sent += static_cast<std::size_t>(count);
        has_sent = true;
      }
    }
    return has_sent;
  }

 private:
  struct client {
    int descriptor = -1;
    std::size_t sent = 0;
    bool failed = false;  // the peer has closed the connection
  };

  void Connect(int port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kClientReceiveBytes, sizeof(kClientReceiveBytes));
    const sockaddr_in address = LoopbackAddress(port);
    const bool is_connected = connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    clients_.push_back({descriptor, 0, !is_connected});
  }

  std::string_view input_;
  std::vector<client> clients_;
};

// What a process uses, as the kernel counts it.
std::size_t PeakMemoryMb(int pid) {
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) {
      return static_cast<std::size_t>(std::stoul(line.substr(line.find(':') + 1))) >> 10U;
    }
  }
  return 0;
}

std::size_t OpenFiles(int pid) {
  std::error_code failure;
  const auto entries = std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", pid), failure);
  return failure ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

class misbehaving_clients_test : public testing::Test {
 protected:
  // Lets crowds send until they are stuck. Records the most descriptors that the process had open meanwhile.
  void Play(child_process& process, const std::vector<std::unique_ptr<crowd>>& crowds) {
    auto last_progress = std::chrono::steady_clock::now();
    const auto end = last_progress + kCrowdLimit;
    for (auto now = last_progress; now < end && now - last_progress < kQuietTime && process.IsRunning();
         now = std::chrono::steady_clock::now()) {
      for (const auto& each : crowds) {
        if (each->SendSome()) {
          last_progress = std::chrono::steady_clock::now();
        }
      }
      peak_files_ = std::max(peak_files_, OpenFiles(process.Pid()));
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  void ExpectWithinLimits(child_process& process) const {
    EXPECT_TRUE(process.IsRunning()) << process.Err();
    const std::size_t peak_mb = PeakMemoryMb(process.Pid());
    EXPECT_GT(peak_mb, 0U);
    EXPECT_LE(peak_mb, kProcessMb);
    EXPECT_LE(peak_files_, kProcessFiles);
    RecordProperty("peak_mb", static_cast<int>(peak_mb));
    RecordProperty("peak_files", static_cast<int>(peak_files_));
    fmt::print("peak: {} MB, {} descriptors\n", peak_mb, peak_files_);
  }

 private:
  std::size_t peak_files_ = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. router without agents
// ---------------------------------------------------------------------------------------------------------------------

class direct_router_clients_test : public misbehaving_clients_test {
 protected:
  direct_router_clients_test()
      : folder_(std::filesystem::temp_directory_path() / fmt::format("persimmon-clients-{}", getpid())) {
    std::filesystem::create_directories(folder_);
  }

  ~direct_router_clients_test() override {
    router_.reset();
    endpoint_.reset();
    platform_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  void SetUp() override {
    platform_ = std::make_unique<child_process>("fake-platform",
                                                std::vector<std::string>{"--listen", LoopbackHostPort(platform_port_)});
    ASSERT_TRUE(platform_->WaitForPort(platform_port_));
    WriteDesiredState();
    endpoint_ = std::make_unique<child_process>(
        "fake-replica",
        std::vector<std::string>{"--listen", LoopbackHostPort(FreePort()), "--store", LoopbackHostPort(platform_port_),
                                 "--name", "app-1", "--service", "app", "--work_ms=5"});
    StartRouter();
    ASSERT_TRUE(WaitUntil([this] { return OrdinaryStatus() == 200; })) << router_->Out() << router_->Err();
  }

  // Status of the answer to an ordinary request.
  int OrdinaryStatus() {
    const header_list headers = {{"Host", "app.example"},
                                 {"Persimmonchute-Attempt-Id", fmt::format("ordinary-{}", ++ordinary_)},
                                 {"Persimmonchute-Deadline-Ms", "3000"}};
    return FetchOnce(callers_port_, http_request{"GET", "/pages/1", headers, "", ""}).status;
  }

  std::unique_ptr<crowd> MakeCrowd(int port, int clients, std::string_view input) {
    return std::make_unique<crowd>(port, clients, input);
  }

  // Plays the crowds; ordinary requests are sent while they are connected and after they have left.
  void PlayAndCheck(std::vector<std::unique_ptr<crowd>> crowds) {
    Play(*router_, crowds);
    EXPECT_EQ(OrdinaryStatus(), 200) << "beside the crowd";
    crowds.clear();
    EXPECT_EQ(OrdinaryStatus(), 200) << "after the crowd";
    ExpectWithinLimits(*router_);
  }

  // Like PlayAndCheck. The crowd uses the endpoint, so an ordinary request is answered once the endpoint has room.
  void PlayBesideTheEndpoint(int port, std::string_view input) {
    std::vector<std::unique_ptr<crowd>> crowds;
    crowds.push_back(MakeCrowd(port, kClients, input));
    Play(*router_, crowds);
    crowds.clear();
    EXPECT_TRUE(WaitUntil([this] { return OrdinaryStatus() == 200; })) << "after the crowd";
    ExpectWithinLimits(*router_);
  }

  void PlayAndCheck(int port, int clients, std::string_view input) {
    std::vector<std::unique_ptr<crowd>> crowds;
    crowds.push_back(MakeCrowd(port, clients, input));
    PlayAndCheck(std::move(crowds));
  }

  const int callers_port_ = FreePort();
  const int readiness_port_ = FreePort();
  const int control_port_ = FreePort();

 private:
  void WriteDesiredState() const {
    const nlohmann::json route = {{"name", "pages"},      {"host", "app.example"}, {"prefix", "/pages/"},
                                  {"kind", "idempotent"}, {"timeout_ms", 3'000},   {"target_latency_ms", 300},
                                  {"priority", 1},        {"service", "app"},      {"max_attempts", 2},
                                  {"resumable", false}};
    const nlohmann::json state = {{"version", 1},
                                  {"routes", {route}},
                                  {"services", {{{"name", "app"}, {"health_path", "/health"}, {"max_conns", 100}}}},
                                  {"limits",
                                   {{"max_header_bytes", kMaxHeaderBytes},
                                    {"max_body_bytes", kMaxBodyBytes},
                                    {"header_timeout_ms", 30'000},
                                    {"idle_timeout_ms", 60'000}}}};
    const nlohmann::json put = {
        {"table", "op"}, {"part", ""}, {"key", "config"}, {"value", EncodeBase64(state.dump())}};
    const nlohmann::json body = {
        {"expected", nlohmann::json::array()}, {"remove", nlohmann::json::array()}, {"puts", {put}}};
    ASSERT_EQ(Post(platform_port_, "/rows-tx", body.dump()).status, 200);
  }

  void StartRouter() {
    const std::string settings = (folder_ / "node.conf").string();
    const std::string config = (folder_ / "router.ini").string();
    std::ofstream(settings) << "node_name=router-1\nzone=zone-a\nbootstrap=true\nheartbeat_ms=1200\n"
                            << "listen.front=" << LoopbackHostPort(callers_port_) << "\n"
                            << "listen.ready=" << LoopbackHostPort(readiness_port_) << "\n"
                            << "listen.control=" << LoopbackHostPort(control_port_) << "\n"
                            << "seeds=" << LoopbackHostPort(control_port_) << "\n"
                            << "internal_ports=" << internal_port_ << "," << internal_port_ << "\n"
                            << "platform.address=" << LoopbackHostPort(platform_port_) << "\n"
                            << "limits.memory_mb=" << kProcessMb << "\nlimits.max_fds=" << kProcessFiles << "\n"
                            << "bounds.grace_s=8\nbounds.lease_ms=3000\nbounds.retry_budget_ratio=0.2\n"
                            << "bounds.retry_budget_slack=56\nbounds.budget_window_s=10\n";
    std::ofstream(config) << "[stages]\norder_stages = false\n";
    setenv("PERSIMMONCHUTE_SETTINGS", settings.c_str(), 1);
    router_ = std::make_unique<child_process>("persimmon-router", std::vector<std::string>{"--config", config});
    unsetenv("PERSIMMONCHUTE_SETTINGS");
  }

  const std::filesystem::path folder_;
  const int platform_port_ = FreePort();
  const int internal_port_ = FreePort();
  std::unique_ptr<child_process> platform_;
  std::unique_ptr<child_process> endpoint_;
  std::unique_ptr<child_process> router_;
  int ordinary_ = 0;
};

TEST_F(direct_router_clients_test, RequestsAheadAtReadiness_WithUnreadAnswers_StayWithinTheLimits) {
  PlayAndCheck(readiness_port_, kClients, Repeat(GetRequest("/readiness"), kRequestsAhead));
}

TEST_F(direct_router_clients_test, RequestsAheadWithoutARoute_WithUnreadAnswers_StayWithinTheLimits) {
  PlayAndCheck(callers_port_, kClients, Repeat(GetRequest("/nowhere/1"), kRequestsAhead));
}

TEST_F(direct_router_clients_test, RequestsAheadAtControl_WithUnreadAnswers_StayWithinTheLimits) {
  PlayAndCheck(control_port_, kClients, Repeat(GetRequest("/metrics"), kRequestsAhead));
}

// A field takes many times its length once it has been parsed.
TEST_F(direct_router_clients_test, HeadsOfShortFields_WithIncompleteBodies_StayWithinTheLimits) {
  PlayAndCheck(callers_port_, kClients, IncompleteRequest(ShortFields(kMaxHeaderBytes), 10));
}

TEST_F(direct_router_clients_test, IncompleteHeads_AtAllInterfaces_StayWithinTheLimits) {
  const std::string head = "GET / HTTP/1.1\r\nHost: app.example\r\nx: " + std::string(kMaxHeaderBytes - 1'000, 'x');
  std::vector<std::unique_ptr<crowd>> crowds;
  for (const int port : {callers_port_, readiness_port_, control_port_}) {
    crowds.push_back(MakeCrowd(port, kClients, head));
  }
  PlayAndCheck(std::move(crowds));
}

TEST_F(direct_router_clients_test, IncompleteBodies_AtAllInterfaces_StayWithinTheLimits) {
  const std::string request = IncompleteRequest("", kMaxBodyBytes);
  std::vector<std::unique_ptr<crowd>> crowds;
  for (const int port : {callers_port_, readiness_port_, control_port_}) {
    crowds.push_back(MakeCrowd(port, kClients, request));
  }
  PlayAndCheck(std::move(crowds));
}

TEST_F(direct_router_clients_test, SilentConnections_MoreThanDescriptors_StayWithinTheLimits) {
  std::vector<std::unique_ptr<crowd>> crowds;
  for (const int port : {callers_port_, readiness_port_, control_port_}) {
    crowds.push_back(MakeCrowd(port, static_cast<int>(kProcessFiles), "G"));
  }
  PlayAndCheck(std::move(crowds));
}

TEST_F(direct_router_clients_test, RequestsAheadToAnEndpoint_WithUnreadAnswers_StayWithinTheLimits) {
  const std::string input = Repeat(GetRequest("/pages/1", "Persimmonchute-Deadline-Ms: 3000\r\n"), kRequestsAhead);
  PlayBesideTheEndpoint(callers_port_, input);
}

TEST_F(direct_router_clients_test, LargestRequest_InCalm_IsServed) {
  const http_response fields = FetchOnce(callers_port_, LargestHead("/pages/1", kMaxHeaderBytes));
  EXPECT_EQ(fields.status, 200) << fields.body;
  const http_response body =
      Post(callers_port_, "/pages/1", std::string(kMaxBodyBytes, 'x'), {{"Host", "app.example"}});
  EXPECT_EQ(body.status, 200) << body.body;
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. router with agents
// ---------------------------------------------------------------------------------------------------------------------

class agent_router_clients_test : public misbehaving_clients_test {
 protected:
  void SetUp() override {
    deployment_.AddEndpoint("app-1", "service");
    deployment_.AddRouter("router-1",
                          fmt::format("[limits]\nconnections = {}\nmemory_mb = {}\n", kProcessFiles - 100, kProcessMb));
    deployment_.WriteRecords();
    ASSERT_TRUE(WaitUntil([this] { return OrdinaryStatus() == 200; }));
  }

  int OrdinaryStatus() { return FetchOnce(Port(), http_request{"GET", "/app/1", WithKey(), "", ""}).status; }

  int Port() const { return deployment_.routers.front()->http_port; }

  void PlayAndCheck(int clients, std::string_view input) {
    PlayAndCheck(*deployment_.routers.front()->process, Port(), clients, input);
  }

  // `process`: the one that listens on the port.
  void PlayAndCheck(child_process& process, int port, int clients, std::string_view input) {
    {
      std::vector<std::unique_ptr<crowd>> crowds;
      crowds.push_back(std::make_unique<crowd>(port, clients, input));
      Play(process, crowds);
      EXPECT_EQ(OrdinaryStatus(), 200) << "beside the crowd";
    }
    EXPECT_EQ(OrdinaryStatus(), 200) << "after the crowd";
    ExpectWithinLimits(process);
  }

  deployment deployment_;
};

TEST_F(agent_router_clients_test, RequestsAheadAtReadiness_WithUnreadAnswers_StayWithinTheLimits) {
  PlayAndCheck(kClients, Repeat(GetRequest("/readyz"), kRequestsAhead));
}

TEST_F(agent_router_clients_test, RequestsAheadWithoutARoute_WithUnreadAnswers_StayWithinTheLimits) {
  PlayAndCheck(kClients, Repeat(GetRequest("/nowhere/1"), kRequestsAhead));
}

TEST_F(agent_router_clients_test, RequestsAheadAtMetrics_WithUnreadAnswers_StayWithinTheLimits) {
  PlayAndCheck(kClients, Repeat(GetRequest("/metrics"), kRequestsAhead));
}

TEST_F(agent_router_clients_test, HeadsOfShortFields_WithIncompleteBodies_StayWithinTheLimits) {
  PlayAndCheck(kClients, IncompleteRequest(ShortFields(kMaxHeaderBytes), 10));
}

TEST_F(agent_router_clients_test, LargestRequest_InCalm_IsServed) {
  constexpr std::size_t kDefaultHeaderBytes = 16'384;
  constexpr std::size_t kDefaultBodyBytes = 4U << 20U;
  const http_response fields = FetchOnce(Port(), LargestHead("/app/1", kDefaultHeaderBytes, WithKey()));
  EXPECT_EQ(fields.status, 200) << fields.body;
  const http_response body = Post(Port(), "/app/1", std::string(kDefaultBodyBytes, 'x'), WithKey());
  EXPECT_EQ(body.status, 200) << body.body;
}

TEST_F(agent_router_clients_test, SilentConnections_MoreThanTheLimit_StayWithinTheLimits) {
  PlayAndCheck(static_cast<int>(kProcessFiles), "G");
}

// Two for each descriptor, none of which sends the secret.
TEST_F(agent_router_clients_test, SilentChannels_AtAnAgent_StayWithinTheLimits) {
  const test_endpoint& endpoint = deployment_.Endpoint("app-1");
  PlayAndCheck(*endpoint.agent, endpoint.agent_port, static_cast<int>(2 * kProcessFiles), "G");
}

TEST_F(agent_router_clients_test, SilentChannels_AtARouter_StayWithinTheLimits) {
  const router_process& router = *deployment_.routers.front();
  PlayAndCheck(*router.process, router.channel_port, static_cast<int>(2 * kProcessFiles), "G");
}

}  // namespace
}  // namespace persimmon::support
