// Runs one agent with fake-platform and fake-engine or fake-service as real processes. The test acts as the routers.
//
// Sections
//   1. simulated_router: the router's side of a channel
//   2. agent_harness: processes, records, HTTP
#pragma once

#include <gtest/gtest.h>
#include <signal.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "net/channel.h"
#include "net/datagram.h"
#include "net/http.h"
#include "support/processes.h"
#include "support/table_rows.h"

namespace persimmon::support {

using json = nlohmann::json;

inline constexpr const char* kSecret = "test-secret";
inline constexpr milliseconds kRunInterval(5);

// ---------------------------------------------------------------------------------------------------------------------
// 1. simulated_router
// ---------------------------------------------------------------------------------------------------------------------

// Records all messages that it receives. It sends heartbeats only while its context runs, so a test simulates a
// suspended router by not running it.
class simulated_router {
 public:
  simulated_router(std::string name, incarnation_number incarnation, int agent_port)
      : name_(std::move(name)),
        incarnation_(incarnation),
        agent_port_(agent_port),
        work_guard_(asio::make_work_guard(context_)),
        datagrams_(context_, host_port{"127.0.0.1", 0}, [this](const host_port&, const message& value) {
          if (const auto* report = std::get_if<load_report>(&value)) {
            reports.push_back(*report);
          }
        }) {
    EXPECT_TRUE(datagrams_.Start());
    Connect();
  }
  ~simulated_router() { Disconnect(); }
  simulated_router(const simulated_router&) = delete;
  simulated_router& operator=(const simulated_router&) = delete;

  void Connect() {
    channel_handlers handlers;
    handlers.make_hello = [this] {
      return hello{"router", name_, incarnation_, "zone-a", kSecret, revision, datagrams_.Port()};
    };
    handlers.make_heartbeat = [this] {
      heartbeat sent;
      sent.revision = revision;
      return sent;
    };
    handlers.on_open = [this](const channel_ptr& opened) { peer = opened->Peer(); };
    handlers.on_message = [this](const channel_ptr& agent_channel, const message& value) {
      Receive(agent_channel, value);
    };
    handlers.on_close = [](const channel_ptr&, const error&) {};
    connector_ = std::make_unique<channel_connector>(
        context_, host_port{"127.0.0.1", static_cast<std::uint16_t>(agent_port_)}, channel_settings(), handlers);
    connector_->Start();
  }

  void Disconnect() {
    if (connector_) {
      connector_->Stop();
    }
    connector_.reset();
  }

  bool IsConnected() const { return connector_ && connector_->Current() != nullptr; }

  void Send(const message& value) {
    const channel_ptr agent_channel = connector_ ? connector_->Current() : nullptr;
    ASSERT_NE(agent_channel, nullptr) << "router " << name_ << " has no channel for " << MessageName(value);
    agent_channel->Send(value);
  }

  void Run(milliseconds time) {
    if (!frozen) {
      context_.run_for(time);
    }
  }

  // The last message of a type for an attempt; null if there is none.
  template <class type>
  const type* Last(const std::string& attempt) const {
    for (auto item = received.rbegin(); item != received.rend(); ++item) {
      const auto* found = std::get_if<type>(&*item);
      if (found != nullptr && found->attempt.value == attempt) {
        return found;
      }
    }
    return nullptr;
  }

  template <class type>
  std::size_t Count(const std::string& attempt) const {
    std::size_t count = 0;
    for (const message& item : received) {
      const auto* found = std::get_if<type>(&item);
      count += found != nullptr && found->attempt.value == attempt ? 1 : 0;
    }
    return count;
  }

  // The tokens of all messages for an attempt, appended without regard to their offsets, so that a gap or a duplicate
  // becomes visible.
  std::vector<std::string> ReceivedTokens(const std::string& attempt) const {
    std::vector<std::string> token_texts;
    for (const message& item : received) {
      const auto* chunk = std::get_if<tokens>(&item);
      if (chunk != nullptr && chunk->attempt.value == attempt) {
        token_texts.insert(token_texts.end(), chunk->pieces.begin(), chunk->pieces.end());
      }
    }
    return token_texts;
  }

  bool frozen = false;
  revision_number revision = 0;       // sent in hello and heartbeats
  std::vector<std::string> snapshot;  // records sent on fetch_config
  std::vector<message> received;
  std::vector<load_report> reports;
  std::optional<hello> peer;  // hello of the agent on the last channel

 private:
  void Receive(const channel_ptr& agent_channel, const message& value) {
    if (std::holds_alternative<heartbeat>(value)) {
      last_heartbeat = std::get<heartbeat>(value);
      return;
    }
    if (std::holds_alternative<fetch_config>(value) && !snapshot.empty()) {
      agent_channel->Send(config_snapshot{revision, snapshot});
    }
    received.push_back(value);
  }

 public:
  heartbeat last_heartbeat;

 private:
  std::string name_;
  incarnation_number incarnation_;
  int agent_port_;
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  datagram_socket datagrams_;
  std::unique_ptr<channel_connector> connector_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. agent_harness
// ---------------------------------------------------------------------------------------------------------------------

class agent_harness : public testing::Test {
 protected:
  agent_harness() : work_guard_(asio::make_work_guard(context_)), http_(context_, http_client_limits()) {
    folder_ = std::filesystem::path(testing::TempDir()) / ("agent-test-" + RandomHex(8));
    std::filesystem::create_directories(folder_);
  }
  ~agent_harness() override {
    routers_.clear();
    agents_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  // Runs the routers and the HTTP client until the condition holds. Returns false if the limit passes first.
  bool RunUntil(const std::function<bool()>& condition, milliseconds limit = kDefaultTimeout) {
    const time_point end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      for (const auto& router : routers_) {
        router->Run(kRunInterval);
      }
      context_.run_for(milliseconds(1));
    }
    return true;
  }

  result<http_response> Fetch(int port, const std::string& method, const std::string& target,
                              const std::string& body = {}) {
    std::optional<result<http_response>> reply;
    auto exchange = [this, port, method, target, body, &reply]() -> task<> {
      http_request request{method, target, {}, body, {}};
      host_port address{"127.0.0.1", static_cast<std::uint16_t>(port)};
      auto answer = co_await http_.Fetch(std::move(address), std::move(request));
      reply = std::move(answer);
    };
    asio::co_spawn(context_, exchange(), asio::detached);
    RunUntil([&reply] { return reply.has_value(); });
    return reply ? *reply : result<http_response>(error{error_code::kTimeout, "no answer"});
  }

  json FetchJson(int port, const std::string& target) {
    auto reply = Fetch(port, "GET", target);
    return reply ? json::parse(reply.value().body, nullptr, false) : json();
  }

  void Post(int port, const std::string& target, const json& body) {
    auto reply = Fetch(port, "POST", target, body.dump());
    ASSERT_TRUE(reply) << reply.error().message;
    ASSERT_EQ(reply.value().status, 200) << reply.value().body;
  }

  // --- platform and records ---

  void StartPlatform() {
    platform_port_ = FreePort();
    platform_ = std::make_unique<child_process>("fake-platform",
                                                std::vector<std::string>{"--listen", LoopbackHostPort(platform_port_)});
    ASSERT_TRUE(platform_->WaitForPort(platform_port_));
  }

  // Records of one pool, one endpoint and, unless it is a service, one model.
  static std::vector<std::string> MakeRecords(const std::string& endpoint, const std::vector<std::string>& roles,
                                              int agent_port, const std::string& state = "active") {
    const bool is_service = roles.front() == "service";
    json pool = {{"kind", "pool"}, {"name", "pool-a"}, {"schema", 2}, {"version", 1}};
    pool["type"] = is_service ? "service" : "model";
    if (is_service) {
      pool["path_prefix"] = "/app";
    }
    json record = {{"kind", "endpoint"}, {"name", endpoint}, {"schema", 2}, {"version", 1}, {"pool", "pool-a"}};
    record["roles"] = roles;
    record["address"] = LoopbackHostPort(agent_port);
    record["zone"] = "zone-a";
    record["state"] = state;
    std::vector<std::string> records = {pool.dump(), record.dump()};
    if (!is_service) {
      json model = {{"kind", "model"}, {"name", "model-a"}, {"schema", 2}, {"version", 1}, {"pool", "pool-a"}};
      model["versions"] = {"v1"};
      records.push_back(model.dump());
    }
    return records;
  }

  void StoreRecords(revision_number revision, const std::vector<std::string>& records) {
    std::vector<std::pair<std::string, std::string>> rows = {{"head", json{{"revision", revision}}.dump()}};
    for (const std::string& text : records) {
      const json record = json::parse(text);
      rows.emplace_back(record["kind"].get<std::string>() + "/" + record["name"].get<std::string>(), text);
    }
    Post(platform_port_, "/rows-tx", PutRows("config", rows));
  }

  // --- endpoint ---

  void StartEngine(std::vector<std::string> options = {}) {
    engine_port_ = engine_port_ == 0 ? FreePort() : engine_port_;
    options.insert(options.end(), {"--listen", LoopbackHostPort(engine_port_)});
    engine_ = std::make_unique<child_process>("fake-engine", options);
    ASSERT_TRUE(engine_->WaitForPort(engine_port_));
  }

  void StartService(std::vector<std::string> options = {}) {
    engine_port_ = engine_port_ == 0 ? FreePort() : engine_port_;
    options.insert(options.end(), {"--listen", LoopbackHostPort(engine_port_)});
    engine_ = std::make_unique<child_process>("fake-service", options);
    ASSERT_TRUE(engine_->WaitForPort(engine_port_));
  }

  child_process& StartAgent(int port, const std::string& kind = "engine", const std::string& extra_settings = "") {
    const std::string path = folder_ / ("agent-" + std::to_string(agents_.size()) + ".ini");
    std::ofstream file(path);
    file << "[process]\nname = endpoint-a\nzone = zone-a\n[peers]\nsecret = " << kSecret
         << "\n[platform]\ntable_servers = " << LoopbackHostPort(platform_port_)
         << "\npeers_needed = 1\n[listen]\nchannel = " << LoopbackHostPort(port) << "\n[endpoint]\nkind = " << kind
         << "\n"
         << kind << " = " << LoopbackHostPort(engine_port_) << "\n"
         << extra_settings << "\n";
    file.close();
    agents_.push_back(std::make_unique<child_process>("persimmon-agent",
                                                      std::vector<std::string>{"--config", path, "--log_level=debug"}));
    return *agents_.back();
  }

  // Starts the platform, an engine and an agent, connects one router and waits until the agent is ready.
  void StartModelEndpoint(std::vector<std::string> engine_options = {}, const std::string& agent_settings = "") {
    StartPlatform();
    StartEngine(std::move(engine_options));
    agent_port_ = FreePort();
    StoreRecords(1, MakeRecords("endpoint-a", {"prefill", "decode"}, agent_port_));
    StartAgent(agent_port_, "engine", agent_settings);
    ConnectRouter();
    ASSERT_TRUE(AwaitReady()) << agents_.back()->Err();
  }

  void StartServiceEndpoint(std::vector<std::string> service_options = {}) {
    StartPlatform();
    StartService(std::move(service_options));
    agent_port_ = FreePort();
    StoreRecords(1, MakeRecords("endpoint-a", {"service"}, agent_port_));
    StartAgent(agent_port_, "service");
    ConnectRouter();
    ASSERT_TRUE(AwaitReady()) << agents_.back()->Err();
  }

  simulated_router& ConnectRouter(const std::string& name = "router-a", incarnation_number incarnation = 1,
                                  int port = 0) {
    routers_.push_back(std::make_unique<simulated_router>(name, incarnation, port == 0 ? agent_port_ : port));
    simulated_router* router = routers_.back().get();
    EXPECT_TRUE(RunUntil([router] { return router->IsConnected(); })) << AgentLog();
    return *router;
  }

  bool AwaitReady() {
    return RunUntil([this] {
      return !Router().reports.empty() && Router().reports.back().ready && Router().reports.back().revision > 0;
    });
  }

  simulated_router& Router() { return *routers_.front(); }
  std::string AgentLog() const { return agents_.empty() ? "" : agents_.front()->Out() + agents_.front()->Err(); }

  json EngineState() { return FetchJson(engine_port_, "/v1/state"); }
  std::int64_t MemoryHeld() { return EngineState().value("memory_held", -1); }

  std::filesystem::path folder_;
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  http_client http_;
  int platform_port_ = 0;
  int engine_port_ = 0;  // of the engine or the service
  int agent_port_ = 0;
  std::unique_ptr<child_process> platform_;
  std::unique_ptr<child_process> engine_;  // the engine or the service behind the agent
  std::vector<std::unique_ptr<child_process>> agents_;
  std::vector<std::unique_ptr<simulated_router>> routers_;
};

}  // namespace persimmon::support
