// Runs a router without agents, a fake platform and fake endpoints in one process and on one io_context, so that a test
// controls when each fault occurs.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/kernel.h"
#include "direct/direct_router.h"
#include "direct/directory.h"
#include "direct/endpoint_tracker.h"
#include "fakes/fake_link.h"
#include "fakes/fake_platform.h"
#include "fakes/fake_replica.h"
#include "support/processes.h"

namespace persimmon::support {

using json = nlohmann::json;

inline constexpr const char* kHost = "app.example";

// A caller's request and the state of its response.
struct caller_exchange {
  std::optional<http_response_head> head;
  std::string body;
  std::optional<error> failure;  // no response, or an incomplete one
  bool done = false;
  std::unique_ptr<http_call> call;

  int Status() const { return head ? head->status : 0; }
  std::string Header(const char* name) const { return head ? std::string(FindHeader(head->headers, name)) : ""; }
};

using caller_exchange_ptr = std::shared_ptr<caller_exchange>;

// Options of a desired state with a service "app" and a model service "llm".
struct desired_state_options {
  std::uint64_t version = 1;
  int timeout_ms = 1'500;
  int attempts = 2;
  int chat_attempts = 1;  // of the streams that must not be repeated
  std::uint32_t memory_tokens = 10'000;
  int hold_ms = 2'000;
  std::size_t max_body_bytes = 100'000;
  json tenants = nullptr;  // client accounts; null: none. With accounts there is an anonymous route /open/.
  // Adds a route "/urgent/" to the model service, with priority 0; the others have priority 1.
  bool has_urgent_route = false;
  // Model services between which the route "/digest/" is split, with equal weights; empty: it has the service "llm".
  std::vector<std::string> split_services = {};
  std::vector<int> split_weights = {};  // instead of the equal ones
  // Further model services, without a route.
  std::vector<std::string> unrouted_services = {};
  // Plain services between which the route "/feed/" is split, which is resumable then; empty: it has the service "app".
  std::vector<std::string> feed_services = {};
};

inline std::string MakeDesiredState(const desired_state_options& options) {
  const auto route = [&](const char* prefix, const char* kind, const char* service, bool resumable, int attempts) {
    return json{{"name", prefix},
                {"host", kHost},
                {"prefix", prefix},
                {"kind", kind},
                {"timeout_ms", options.timeout_ms},
                {"target_latency_ms", 900},
                {"priority", 1},
                {"service", service},
                {"max_attempts", attempts},
                {"resumable", resumable}};
  };
  json routes = {route("/pages/", "idempotent", "app", false, options.attempts),
                 route("/submit/", "non_idempotent", "app", false, 1),
                 route("/chat/", "streaming", "llm", false, options.chat_attempts),
                 route("/digest/", "streaming", "llm", true, options.attempts),
                 route("/feed/", "streaming", "app", false, 1)};
  if (options.has_urgent_route) {
    routes.push_back(route("/urgent/", "streaming", "llm", false, 1));
    routes.back()["priority"] = 0;
  }
  const json engine = {{"slots", 16},          {"kv_capacity_tokens", options.memory_tokens},
                       {"stride", 10},         {"handle_ttl_s", 0.5},
                       {"role_switch_s", 0.1}, {"hold_ms", options.hold_ms}};
  json services = {{{"name", "app"}, {"health_path", "/health"}, {"max_conns", 100}}};
  std::set<std::string> models = {"llm"};
  models.insert(options.split_services.begin(), options.split_services.end());
  models.insert(options.unrouted_services.begin(), options.unrouted_services.end());
  for (const std::string& name : models) {
    services.push_back({{"name", name}, {"health_path", "/health"}, {"max_conns", 100}, {"engine", engine}});
  }
  for (const std::string& name : options.feed_services) {
    services.push_back({{"name", name}, {"health_path", "/health"}, {"max_conns", 100}});
  }
  const auto split = [&routes](const char* route, const std::vector<std::string>& names,
                               const std::vector<int>& weights = {}) {
    for (json& changed : routes) {
      if (changed["name"] == route && !names.empty()) {
        changed.erase("service");
        changed["resumable"] = true;
        for (std::size_t i = 0; i < names.size(); ++i) {
          changed["split"].push_back({{"service", names[i]}, {"weight", weights.empty() ? 1 : weights[i]}});
        }
      }
    }
  };
  split("/digest/", options.split_services, options.split_weights);
  split("/feed/", options.feed_services);
  json state = {{"version", options.version},
                {"routes", routes},
                {"services", services},
                {"limits",
                 {{"max_header_bytes", 8'192},
                  {"max_body_bytes", options.max_body_bytes},
                  {"header_timeout_ms", 3'000},
                  {"idle_timeout_ms", 15'000}}}};
  if (!options.tenants.is_null()) {
    json open = route("/open/", "idempotent", "app", false, options.attempts);
    open["anonymous"] = true;
    state["routes"].push_back(std::move(open));
    state["tenants"] = options.tenants;
  }
  return state.dump();
}

class router_harness {
 public:
  enum class store_path : std::uint8_t { kDirect, kLink };

  // With kLink, the connections of the router to the store go through StoreLink().
  explicit router_harness(const std::function<void(direct_settings&)>& adjust = nullptr,
                          store_path path = store_path::kDirect)
      : platform_(kernel_.Context(), host_port{"127.0.0.1", 0}),
        client_(kernel_.Context(), http_client_limits{.idle_connections = 0}),
        keeping_client_(kernel_.Context(), http_client_limits{.idle_connections = 1}) {
    SetLogLevel(log_level::kError);
    if (!platform_.Start()) {
      AbortProgram("The fake platform cannot listen.");
    }
    settings_.deployment.name = "router-1";
    settings_.deployment.zone = zone_name{"zone-a"};
    settings_.deployment.callers = FreeAddress();
    settings_.deployment.readiness = FreeAddress();
    settings_.deployment.control = FreeAddress();
    settings_.deployment.store = {"127.0.0.1", platform_.Port()};
    if (path == store_path::kLink) {
      store_link_ = std::make_unique<fake_link>(
          kernel_.Context(), fake_link_options{.listen = FreeAddress(), .target = settings_.deployment.store});
      if (!store_link_->Start()) {
        AbortProgram("The fake link cannot listen.");
      }
      settings_.deployment.store = {"127.0.0.1", store_link_->Port()};
    }
    settings_.deployment.first_internal_port = FreeAddress().port;
    settings_.feed_wait = milliseconds(100);
    settings_.store_timeout = milliseconds(300);
    settings_.deployment.first_start = true;
    settings_.order_stages = false;
    settings_.stop_announce = milliseconds(50);
    if (adjust) {
      adjust(settings_);
    }
    stop_ = RegisterDirectRouter(kernel_, settings_);
  }

  ~router_harness() {
    kernel_.Stop();
    if (store_link_) {
      store_link_->Stop();
    }
    platform_.Stop();
    for (const auto& replica : replicas_) {
      replica->Stop();
    }
    RunFor(milliseconds(2));
  }

  fakes::fake_replica& AddReplica(fakes::replica_options options) {
    replicas_.push_back(std::make_unique<fakes::fake_replica>(kernel_.Context(), std::move(options)));
    if (!replicas_.back()->Start()) {
      AbortProgram("A fake replica cannot listen.");
    }
    replicas_.back()->Register(platform_.Tables());
    return *replicas_.back();
  }

  void WriteDesiredState(const desired_state_options& options = {}) {
    platform_.Tables().Commit({{{"op", "config"}, MakeDesiredState(options), false, std::nullopt}});
  }

  // Takes the store away for a moment, and changes it meanwhile.
  void StoreOutage(milliseconds duration, const std::function<void()>& change) {
    platform_.Faults().outage = true;
    change();
    RunFor(duration);
    platform_.Faults().outage = false;
  }

  // Starts the router and waits until it has read the desired state and the entries of all replicas.
  bool Start() {
    kernel_.Start();
    return RunUntil([this] {
      const auto& directory = Directory();
      return directory.IsInForce() && directory.Endpoints().Size() == replicas_.size();
    });
  }

  void StartWithoutWaiting() { kernel_.Start(); }

  // Sends to model engines beyond the first accepted prefill and the first decode call of each request, as the
  // endpoints count them. Rejected prefills count.
  int ExtraModelSends() const {
    std::map<std::string, int> decode_calls;
    std::map<std::string, int> prefills;
    int rejected_prefills = 0;
    for (const auto& replica : replicas_) {
      for (const http_request& request : replica->Requests()) {
        const std::string attempt(FindHeader(request.headers, "Persimmonchute-Attempt-Id"));
        const bool is_prefill = FindHeader(request.headers, "Persimmonchute-Stage") == "prefill";
        if (attempt.empty()) {
          continue;
        }
        if (is_prefill && replica->Faults().rejects_work) {
          ++rejected_prefills;
        } else {
          ++(is_prefill ? prefills : decode_calls)[attempt];
        }
      }
    }
    int extra = rejected_prefills;
    for (const auto* counts : {&decode_calls, &prefills}) {
      for (const auto& [attempt, count] : *counts) {
        extra += count - 1;
      }
    }
    return extra;
  }

  deployment_directory& Directory() { return kernel_.Find<deployment_directory>("directory"); }
  endpoint_tracker& EndpointTracker() { return kernel_.Find<endpoint_tracker>("board"); }
  fakes::fake_platform& Platform() { return platform_; }
  fake_link& StoreLink() { return *store_link_; }
  const direct_settings& Settings() const { return settings_; }
  kernel& Kernel() { return kernel_; }

  // Begins a planned stop. The value becomes true when the router has drained and the program would exit.
  std::shared_ptr<bool> BeginStop() {
    auto finished = std::make_shared<bool>(false);
    stop_([finished] { *finished = true; });
    return finished;
  }

  // Sends a request. `path` must start with the prefix of a route; the replicas count runs by attempt id.
  caller_exchange_ptr Send(const std::string& method, const std::string& path, const std::string& attempt,
                           header_list extra_headers = {}, const std::string& body = "") {
    return SendTo(settings_.deployment.callers, method, path, attempt, std::move(extra_headers), body);
  }

  // Like Send, over a connection that is kept open. The call tells whether it was.
  caller_exchange_ptr SendOnKeptConnection(const std::string& method, const std::string& path,
                                           const std::string& attempt, header_list extra_headers = {}) {
    return SendTo(settings_.deployment.callers, method, path, attempt, std::move(extra_headers), "", &keeping_client_);
  }

  // Sends a request to the router's control interface.
  caller_exchange_ptr SendToControl(const std::string& path) {
    return SendTo(settings_.deployment.control, "GET", path, "");
  }

  // Like Send, to another router.
  caller_exchange_ptr SendTo(const host_port& router, const std::string& method, const std::string& path,
                             const std::string& attempt, header_list extra_headers = {}, const std::string& body = "",
                             http_client* client = nullptr) {
    http_request request;
    request.method = method;
    request.target = path;
    request.headers = {{"Host", kHost}, {"Persimmonchute-Attempt-Id", attempt}};
    request.headers.insert(request.headers.end(), extra_headers.begin(), extra_headers.end());
    request.body = body;
    auto exchange = std::make_shared<caller_exchange>();
    exchange->call = std::make_unique<http_call>(client != nullptr ? *client : client_);
    asio::co_spawn(kernel_.Context(), Exchange(router, std::move(request), exchange), asio::detached);
    return exchange;
  }

  caller_exchange_ptr SendModel(const std::string& path, const std::string& attempt,
                                std::uint32_t prompt_tokens = 1'000, std::uint32_t output_tokens = 100,
                                milliseconds budget = milliseconds(14'000), header_list extra_headers = {},
                                const std::string& body = "prompt") {
    header_list headers = {
        {"Persimmonchute-Model", "m"},
        {"Persimmonchute-Token-Count", std::to_string(prompt_tokens) + "," + std::to_string(output_tokens)},
        {"Persimmonchute-Length-Hint", std::to_string(output_tokens)},
        {"Persimmonchute-Prompt-Prefix", "5c:200"},
        {"Persimmonchute-Deadline-Ms", std::to_string(budget.count())}};
    headers.insert(headers.end(), extra_headers.begin(), extra_headers.end());
    return Send("POST", path, attempt, std::move(headers), body);
  }

  bool Finish(const caller_exchange_ptr& exchange, milliseconds limit = milliseconds(10'000)) {
    return RunUntil([&exchange] { return exchange->done; }, limit);
  }

  // HTTP status of the readiness check.
  int Readiness() {
    http_request request{"GET", "/readiness", {}, {}, {}};
    auto exchange = std::make_shared<caller_exchange>();
    exchange->call = std::make_unique<http_call>(client_);
    asio::co_spawn(kernel_.Context(), Exchange(settings_.deployment.readiness, std::move(request), exchange),
                   asio::detached);
    Finish(exchange);
    return exchange->Status();
  }

  bool RunUntil(const std::function<bool()>& condition, milliseconds limit = milliseconds(10'000)) {
    const time_point deadline = timer_service::Now() + limit;
    while (!condition()) {
      if (timer_service::Now() > deadline) {
        return false;
      }
      kernel_.Context().restart();
      kernel_.Context().run_one_for(milliseconds(5));
    }
    return true;
  }

  void RunFor(milliseconds duration) {
    const time_point end = timer_service::Now() + duration;
    RunUntil([end] { return timer_service::Now() >= end; }, duration + milliseconds(100));
  }

 private:
  static host_port FreeAddress() { return {"127.0.0.1", static_cast<std::uint16_t>(FreePort())}; }

  static task<> Exchange(host_port address, http_request request, caller_exchange_ptr exchange) {
    const time_point end = timer_service::Now() + milliseconds(20'000);
    auto head =
        co_await exchange->call->Send(address, std::move(request), end, [](const http_response_head&) { return true; });
    if (!head) {
      exchange->failure = head.error();
    } else {
      exchange->head = head.value();
      for (bool more = true; more;) {
        auto piece = co_await exchange->call->Read(end);
        if (!piece) {
          exchange->failure = piece.error();
          break;
        }
        more = !piece.value().empty();
        exchange->body += piece.value();
      }
    }
    exchange->done = true;
  }

  kernel kernel_;
  direct_settings settings_;
  fakes::fake_platform platform_;
  std::unique_ptr<fake_link> store_link_;
  std::vector<std::unique_ptr<fakes::fake_replica>> replicas_;
  http_client client_;
  http_client keeping_client_;
  detail::stop_function stop_;
};

// Text of a stream of `count` events as the fake replicas send it.
inline std::string WholeStream(const std::string& attempt, std::uint32_t count) {
  std::string text;
  for (std::uint32_t id = 1; id <= count; ++id) {
    text += "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + " of " + attempt + "\n\n";
  }
  return text;
}

}  // namespace persimmon::support
