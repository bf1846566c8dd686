// A small deployment of real processes on loopback for tests: fake platform, endpoints with their agents, routers, and
// configuration records.
//
// Sections
//   1. HTTP requests
//   2. endpoints and routers
//   3. deployment
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "net/http.h"
#include "support/processes.h"

namespace persimmon::support {

// ---------------------------------------------------------------------------------------------------------------------
// 1. HTTP requests
// ---------------------------------------------------------------------------------------------------------------------

inline constexpr const char* kApiKey = "test-key";
inline constexpr const char* kApiKeyHash = "62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef";

// Sends one request and returns the response. Status 0: no complete response.
inline http_response FetchOnce(int port, http_request request, milliseconds limit = milliseconds(30'000)) {
  asio::io_context context;
  http_client client(context, http_client_limits{});
  http_response response;
  response.status = 0;
  auto run = [&]() -> task<> {
    const host_port address{"127.0.0.1", static_cast<std::uint16_t>(port)};
    auto fetched = co_await client.Fetch(address, request, limit);
    if (fetched) {
      response = std::move(fetched.value());
    }
  };
  asio::co_spawn(context, run(), asio::detached);
  context.run();
  return response;
}

inline http_response Get(int port, const std::string& target) {
  return FetchOnce(port, http_request{"GET", target, {}, "", ""});
}

inline http_response Post(int port, const std::string& target, const std::string& body, header_list headers = {}) {
  return FetchOnce(port, http_request{"POST", target, std::move(headers), body, ""});
}

// Adds the API key of the test account.
inline header_list WithKey(header_list headers = {}) {
  headers.push_back({"Authorization", std::string("Bearer ") + kApiKey});
  return headers;
}

// Result of a streamed completion.
struct streamed_answer {
  int status = 0;
  std::string text;
  std::string error_code;  // from an error event or error body
  std::string error_outcome;
  bool complete = false;  // ended with [DONE]
};

// Requests a streamed completion. on_text is called after each piece of text and returns false to close the connection.
inline streamed_answer SendStreamed(int port, const char* target, const nlohmann::json& body,
                                    const std::function<bool(const streamed_answer&)>& on_text = nullptr,
                                    header_list headers = WithKey()) {
  asio::io_context context;
  http_client_limits limits;
  limits.response_timeout = milliseconds(30'000);
  limits.idle_timeout = milliseconds(15'000);
  http_client client(context, limits);
  streamed_answer answer;
  auto on_line = [&](std::string_view line) {
    if (!line.starts_with("data: ")) {
      return true;
    }
    const std::string_view data = line.substr(6);
    if (data == "[DONE]") {
      answer.complete = true;
      return true;
    }
    const auto event = nlohmann::json::parse(data, nullptr, false);
    if (event.contains("error")) {
      answer.error_code = event["error"]["code"];
      answer.error_outcome = event["error"]["outcome"];
      return true;
    }
    const nlohmann::json& choice = event["choices"][0];
    answer.text += choice.contains("delta") ? choice["delta"].value("content", "") : choice["text"].get<std::string>();
    return on_text == nullptr || on_text(answer);
  };
  auto run = [&]() -> task<> {
    const host_port address{"127.0.0.1", static_cast<std::uint16_t>(port)};
    http_request request{"POST", target, headers, body.dump(), ""};
    http_client::line_handler handler = on_line;
    auto fetched = co_await client.FetchLines(address, request, handler);
    if (fetched) {
      answer.status = fetched.value().status;
      const auto refusal = nlohmann::json::parse(fetched.value().body, nullptr, false);
      if (refusal.is_object() && refusal.contains("error")) {
        answer.error_code = refusal["error"]["code"];
        answer.error_outcome = refusal["error"]["outcome"];
      }
    }
  };
  asio::co_spawn(context, run(), asio::detached);
  context.run();
  return answer;
}

inline streamed_answer Complete(int port, const std::string& prompt, int max_tokens,
                                const std::function<bool(const streamed_answer&)>& on_text = nullptr,
                                header_list headers = WithKey()) {
  const nlohmann::json body = {
      {"model", "test-model"}, {"prompt", prompt}, {"max_tokens", max_tokens}, {"stream", true}};
  return SendStreamed(port, "/v1/completions", body, on_text, std::move(headers));
}

// Sends a chat request with these messages in order.
inline streamed_answer CompleteChat(int port, const std::vector<std::string>& messages, int max_tokens) {
  nlohmann::json body = {{"model", "test-model"}, {"max_tokens", max_tokens}, {"stream", true}};
  for (const std::string& text : messages) {
    body["messages"].push_back({{"role", "user"}, {"content", text}});
  }
  return SendStreamed(port, "/v1/chat/completions", body);
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. endpoints and routers
// ---------------------------------------------------------------------------------------------------------------------

struct test_endpoint {
  std::string name;
  std::string role;
  int target_port = 0;  // engine or service
  int agent_port = 0;
  std::unique_ptr<child_process> target;
  std::unique_ptr<child_process> agent;
};

struct router_process {
  std::string name;
  int http_port = 0;
  int channel_port = 0;
  std::unique_ptr<child_process> process;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. deployment
// ---------------------------------------------------------------------------------------------------------------------

class deployment {
 public:
  deployment() : folder_(std::filesystem::temp_directory_path() / ("persimmon-test-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(folder_);
    platform_port = FreePort();
    platform = std::make_unique<child_process>("fake-platform",
                                               std::vector<std::string>{"--listen", LoopbackHostPort(platform_port)});
    EXPECT_TRUE(platform->WaitForPort(platform_port));
    AddRecord("pool-model", {{"kind", "pool"},
                             {"name", "test-pool"},
                             {"schema", 2},
                             {"type", "model"},
                             {"targets", {{"first_token_ms", 10'000}, {"token_interval_ms", 1'000}}}});
    AddRecord("pool-service", {{"kind", "pool"},
                               {"name", "test-service"},
                               {"schema", 2},
                               {"type", "service"},
                               {"path_prefix", "/app"},
                               {"call_timeout_ms", 5'000}});
    AddRecord("model",
              {{"kind", "model"}, {"name", "test-model"}, {"schema", 2}, {"pool", "test-pool"}, {"versions", {"1"}}});
    AddRecord("account", {{"kind", "account"},
                          {"name", "test-account"},
                          {"schema", 2},
                          {"api_key_sha256", kApiKeyHash},
                          {"limits", {{"tokens_per_second", 0}, {"burst_tokens", 0}, {"connections", 0}}}});
  }

  ~deployment() {
    routers.clear();
    endpoints.clear();
    platform.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  // Starts an engine (role "prefill" or "decode") or a service (role "service") and its agent.
  test_endpoint& AddEndpoint(const std::string& name, const std::string& role, std::vector<std::string> flags = {}) {
    auto added = std::make_unique<test_endpoint>();
    added->name = name;
    added->role = role;
    added->target_port = FreePort();
    added->agent_port = FreePort();
    std::vector<std::string> arguments = {"--listen", LoopbackHostPort(added->target_port), "--name", name};
    if (role != "service") {
      arguments.insert(arguments.end(), {"--roles", role});
    }
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    added->target = std::make_unique<child_process>(role == "service" ? "fake-service" : "fake-engine", arguments);
    EXPECT_TRUE(added->target->WaitForPort(added->target_port));
    const std::string kind = role == "service" ? "service" : "engine";
    Write(name + ".ini",
          "[process]\nname = " + name + "\nzone = zone-a\n[listen]\nchannel = " + LoopbackHostPort(added->agent_port) +
              "\n[endpoint]\nkind = " + kind + "\n" + kind + " = " + LoopbackHostPort(added->target_port) +
              "\n[platform]\ntable_servers = " + LoopbackHostPort(platform_port) + "\n[peers]\nsecret = test-secret\n" +
              agent_settings);
    StartAgent(*added);
    AddRecord("endpoint-" + name, EndpointRecord(name, role, added->agent_port));
    endpoints.push_back(std::move(added));
    return *endpoints.back();
  }

  nlohmann::json EndpointRecord(const std::string& name, const std::string& role, int address_port) const {
    return {{"kind", "endpoint"}, {"name", name},
            {"schema", 2},        {"pool", role == "service" ? "test-service" : "test-pool"},
            {"roles", {role}},    {"address", LoopbackHostPort(address_port)},
            {"zone", "zone-a"}};
  }

  void StartAgent(test_endpoint& endpoint) const {
    const std::string file = (folder_ / (endpoint.name + ".ini")).string();
    endpoint.agent = std::make_unique<child_process>("persimmon-agent", std::vector<std::string>{"--config", file});
  }

  router_process& AddRouter(const std::string& name, const std::string& settings = "",
                            const std::vector<std::string>& flags = {}) {
    auto added = std::make_unique<router_process>();
    added->name = name;
    added->http_port = FreePort();
    added->channel_port = FreePort();
    std::string peers;
    for (const auto& other : routers) {
      peers += (peers.empty() ? "" : ", ") + LoopbackHostPort(other->channel_port);
    }
    Write(name + ".ini",
          "[process]\nname = " + name + "\nzone = zone-a\n[listen]\nhttp = " + LoopbackHostPort(added->http_port) +
              "\nchannel = " + LoopbackHostPort(added->channel_port) + "\ndatagram = " + LoopbackHostPort(FreePort()) +
              "\n[platform]\ntable_servers = " + LoopbackHostPort(platform_port) +
              "\npoll_period_ms = 300\n[peers]\nsecret = test-secret\n" +
              (peers.empty() ? "" : "routers = " + peers + "\n") + settings);
    StartRouter(*added, flags);
    routers.push_back(std::move(added));
    return *routers.back();
  }

  void StartRouter(router_process& router, const std::vector<std::string>& flags = {}) const {
    std::vector<std::string> arguments = {"--config", (folder_ / (router.name + ".ini")).string()};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    router.process = std::make_unique<child_process>("persimmon-router", arguments);
  }

  // Writes the records added since the last call and waits until every router is ready.
  void WriteRecords() {
    std::vector<std::string> arguments = ControlArguments({"put"});
    arguments.insert(arguments.end(), files_.begin(), files_.end());
    const program_result written = RunProgram("persimmonctl", arguments);
    ASSERT_EQ(written.exit_code, 0) << written.out << written.err;
    files_.clear();
    for (const auto& router : routers) {
      ASSERT_TRUE(WaitUntil([&] { return Get(router->http_port, "/readyz").status == 200; })) << router->process->Err();
    }
  }

  std::vector<std::string> ControlArguments(std::vector<std::string> command) const {
    command.insert(command.begin(), {"--platform", LoopbackHostPort(platform_port), "--secret", "test-secret"});
    return command;
  }

  void AddRecord(const std::string& file, const nlohmann::json& record) {
    Write(file + ".json", record.dump());
    files_.insert((folder_ / (file + ".json")).string());
  }

  // Configures faults of a fake program, as JSON.
  void InjectFaults(int port, const std::string& json) const { EXPECT_EQ(Post(port, "/faults", json).status, 200); }

  // KV cache memory in use on an engine, or -1 if it does not respond.
  static long MemoryInUse(const test_endpoint& endpoint) {
    const http_response state = Get(endpoint.target_port, "/v1/state");
    const auto body = nlohmann::json::parse(state.body, nullptr, false);
    return state.status == 200 && body.contains("memory_held") ? body["memory_held"].get<long>() : -1;
  }

  // Aborts if there is no endpoint of this name.
  test_endpoint& Endpoint(const std::string& name) const {
    for (const auto& endpoint : endpoints) {
      if (endpoint->name == name) {
        return *endpoint;
      }
    }
    std::abort();
  }

  int platform_port = 0;
  std::string agent_settings;  // appended to the settings file of new agents
  std::unique_ptr<child_process> platform;
  std::vector<std::unique_ptr<test_endpoint>> endpoints;
  std::vector<std::unique_ptr<router_process>> routers;

 private:
  void Write(const std::string& name, const std::string& text) const { std::ofstream(folder_ / name) << text; }

  std::filesystem::path folder_;
  std::set<std::string> files_;  // record files for the next WriteRecords
};

}  // namespace persimmon::support
