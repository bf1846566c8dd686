#include "direct/ingress.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <limits>
#include <nlohmann/json.hpp>

#include "core/event_log.h"
#include "core/log.h"
#include "core/random.h"
#include "core/telemetry.h"

namespace persimmon {
namespace {

constexpr const char* kComponent = "router.entry";
constexpr const char* kStopping = "stopping";  // reason of refusals
constexpr milliseconds kDrainPollPeriod(20);
constexpr milliseconds kLastAnswersTime(
    200);  // to write the answers of the calls that a stop ends; part of stop_reserve
constexpr milliseconds kPeerStatePollPeriod(400);  // between checks for a newer state on other routers
constexpr milliseconds kPeerStateTimeout(1'000);   // for the response of another router
constexpr milliseconds kNotReadyRetryAfter(500);   // Retry-After while no desired state is active
// Retry-After for long requests during a stop; short, because another router can accept them at once.
constexpr milliseconds kStoppingRetryAfter(20);
constexpr milliseconds kUnknownSourceRetryAfter(1'000);  // for a stream of which nobody knows where it began
constexpr milliseconds kFirstEventTime(700);  // 90th percentile of the time to the first event outside bursts
constexpr int kTooManyRequests = 429;
constexpr double kStreamMargin = 1.25;  // multiplier for the expected duration, for responses longer than estimated
constexpr std::size_t kFreedConnections = 16;  // idle ones to endpoints, closed when no descriptor is left

bool IsGeneration(const direct_call& call) {
  return call.Service().engine.has_value() && call.Route().kind == call_kind::kStreaming;
}

// True if the call asks for the rest of a stream that may run at several services or versions.
bool TakesUpStream(const direct_call& call) {
  return call.Route().kind == call_kind::kStreaming && !call.Metadata().resume_after.empty();
}

}  // namespace

ingress::ingress(kernel& services, direct_settings& settings, http_client& client)
    : kernel_(services), settings_(settings), client_(client), reload_signals_(services.Context(), SIGHUP) {}

void ingress::Start() {
  directory_ = &kernel_.Find<deployment_directory>("directory");
  auth_ = &kernel_.Find<caller_auth>("auth");
  accounts_ = &kernel_.Find<account_tracker>("accounts");
  plain_calls_ = &kernel_.Find<plain_calls>("plain");
  generation_calls_ = &kernel_.Find<generation_calls>("generations");
  origins_ = &kernel_.Find<origin_tracker>("origins");
  metrics_ = &kernel_.Find<telemetry>("telemetry").Metrics();
  auto& group = kernel_.Find<router_group>("group");
  group.on_change = [this] { generation_calls_->DispatchAll(); };
  const auto& deployment = settings_.deployment;
  const auto start_server = [this](const host_port& address, const http_limits& limits, auto handler) {
    auto server = std::make_unique<http_server>(kernel_.Context(), address, limits, handler);
    server->SetDescriptorSource([this] { return client_.CloseOldestIdleConnections(kFreedConnections); });
    if (auto started = server->Start(); !started) {
      AbortProgram(started.error().message);
    }
    return server;
  };
  const http_limits internal = InternalServerLimits(ProcessLimits());
  caller_server_ =
      start_server(deployment.callers, CallerServerLimits(ProcessLimits()),
                   [this](std::shared_ptr<http_exchange> exchange) { return Handle(std::move(exchange)); });
  readiness_server_ = start_server(deployment.readiness, internal, [this](std::shared_ptr<http_exchange> exchange) {
    return HandleReadiness(std::move(exchange));
  });
  if (deployment.control.port != 0) {
    control_server_ = start_server(deployment.control, internal, [this](std::shared_ptr<http_exchange> exchange) {
      return HandleControl(std::move(exchange));
    });
  }
  directory_->Subscribe([this] {
    ApplyLimits();
    generation_calls_->DispatchAll();
  });
  asio::co_spawn(kernel_.Context(), FetchStateFromPeers(), asio::detached);
  AwaitReload();
  Events()
      .Line(kComponent, "started")
      .Add("name", deployment.name)
      .Add("zone", deployment.zone.value)
      .Add("first_start", deployment.first_start)
      .Add("callers", deployment.callers.Text())
      .Add("store", deployment.store.Text());
}

void ingress::Stop() {
  stopped_ = true;
  reload_signals_.cancel();
  for (const auto& server : {&caller_server_, &readiness_server_, &control_server_}) {
    if (*server) {
      (*server)->Stop();
    }
  }
  Events().Line(kComponent, "stopped");
}

// Reloads the settings file on SIGHUP. Limits take effect immediately, address changes only after a restart. A file
// with errors is rejected completely.
void ingress::AwaitReload() {
  reload_signals_.async_wait([this](boost::system::error_code failure, int) {
    if (failure) {
      return;
    }
    const auto path = platform::SettingsPath();
    auto read = path ? platform::ReadDeploymentSettings(*path)
                     : result<platform::deployment_settings>(
                           error{error_code::kUnavailable, "the platform's settings file is not configured"});
    if (read) {
      platform::deployment_settings& current = settings_.deployment;
      current.stop_grace = read.value().stop_grace;
      current.lease_time = read.value().lease_time;
      current.budget_window = read.value().budget_window;
      current.budget_ratio = read.value().budget_ratio;
      current.budget_slack = read.value().budget_slack;
    }
    Events()
        .Line(kComponent, "reloaded")
        .Add("accepted", read.has_value())
        .Add("detail", read ? "" : read.error().message);
    AwaitReload();
  });
}

process_limits ingress::ProcessLimits() const {
  return {settings_.deployment.memory_bytes, settings_.deployment.descriptors};
}

void ingress::ApplyLimits() {
  const caller_limits& configured = directory_->Routes()->Limits();
  http_limits limits = CallerServerLimits(ProcessLimits());
  limits.header_bytes = configured.header_bytes;
  limits.body_bytes = configured.body_bytes;
  limits.read_timeout = configured.header_timeout;
  limits.idle_timeout = configured.idle_timeout;
  caller_server_->SetLimits(limits);
}

bool ingress::IsReady() const { return directory_->IsInForce() && !stopping_; }

task<> ingress::HandleReadiness(std::shared_ptr<http_exchange> exchange) {
  const bool is_ready = IsReady();
  if (is_ready != was_ready_) {
    Events()
        .Line(kComponent, is_ready ? "ready" : "not_ready")
        .Add("revision", directory_->Routes()->Revision())
        .Add("stopping", stopping_);
    was_ready_ = is_ready;
  }
  auto response = JsonResponse(is_ready ? 200 : 503, fmt::format(R"({{"ready":{}}})", is_ready));
  (void)co_await exchange->Respond(std::move(response));
}

task<> ingress::HandleControl(std::shared_ptr<http_exchange> exchange) {
  http_response response = JsonResponse(404, R"({"error":{"code":"unknown_path"}})");
  if (exchange->Request().target == "/metrics") {
    metrics_->AddGauge("persimmon_requests_in_progress", "Requests without a complete answer.")
        .Set(static_cast<double>(caller_server_->RequestsInProgress()));
    metrics_->AddGauge("persimmon_waiting_requests", "Model requests that wait for a reservation.")
        .Set(static_cast<double>(generation_calls_->WaitingCount()));
    metrics_->AddGauge("persimmon_idle_connections", "Idle connections to endpoints and routers.")
        .Set(static_cast<double>(client_.IdleConnections()));
    counter& opened = metrics_->AddCounter("persimmon_upstream_connections_total",
                                           "Connections that were opened to endpoints and routers.");
    opened.Increment(client_.OpenedConnections() - opened.Value());
    counter& displaced = metrics_->AddCounter("persimmon_displaced_connections_total",
                                              "Connections of callers that were closed at the limit for new ones.");
    displaced.Increment(caller_server_->DisplacedConnections() - displaced.Value());
    counter& unread = metrics_->AddCounter("persimmon_unread_responses_total",
                                           "Responses that were cut because callers did not read them.");
    unread.Increment(caller_server_->UnreadResponses() - unread.Value());
    metrics_->AddGauge("persimmon_watched_requests", "Requests that run at endpoints, for the case that one crashes.")
        .Set(static_cast<double>(kernel_.Find<suspect_tracker>("crashes").RunningCount()));
    metrics_
        ->AddGauge("persimmon_input_memory_bytes", "Memory of the heads of requests and of what callers send ahead.")
        .Set(static_cast<double>(caller_server_->InputMemoryInUse()));
    metrics_->AddGauge("persimmon_body_memory_bytes", "Memory of the bodies of requests in progress.")
        .Set(static_cast<double>(caller_server_->BodyMemoryInUse()));
    metrics_->AddGauge("persimmon_answer_memory_bytes", "Memory of incomplete answers of endpoints.")
        .Set(static_cast<double>(kernel_.Find<answer_memory>("answers").InUse()));
    metrics_->AddGauge("persimmon_waiting_bodies", "Requests whose body waits for memory.")
        .Set(static_cast<double>(caller_server_->WaitingBodies()));
    metrics_->AddGauge("persimmon_dropped_log_lines", "Log lines dropped because of the limits.")
        .Set(static_cast<double>(Events().DroppedLines()));
    response = {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_->RenderText()};
  } else if (exchange->Request().target == "/state" && directory_->IsInForce()) {
    response = JsonResponse(200, directory_->ExportState());
  } else if (exchange->Request().target.starts_with("/confirmation")) {
    std::string confirmation = auth_->ExportConfirmation(exchange->Request().target);
    response = confirmation.empty() ? JsonResponse(503, R"({"error":{"code":"unconfirmed"}})")
                                    : JsonResponse(200, std::move(confirmation));
  }
  (void)co_await exchange->Respond(std::move(response));
}

// Imports a newer state from another router while this one has no desired state, cannot reach the store, or stays
// behind the others.
task<> ingress::FetchStateFromPeers() {
  constexpr revision_number kNotBehind = std::numeric_limits<revision_number>::max();
  auto& group = kernel_.Find<router_group>("group");
  revision_number behind_revision = kNotBehind;  // revision with which this router was behind at the previous check
  while (!stopped_) {
    co_await kernel_.Timers().Sleep(kPeerStatePollPeriod);
    const revision_number local_revision = directory_->Routes()->Revision();
    const bool is_behind = group.NewestPeerRevision() > local_revision;
    const bool was_behind = std::exchange(behind_revision, is_behind ? local_revision : kNotBehind) == local_revision;
    // With the store, a router that stays behind has started from an older copy of it.
    const bool has_store = directory_->IsInForce() && directory_->IsStoreReachable();
    if (!is_behind || (has_store && !was_behind)) {
      continue;
    }
    for (const host_port& address : group.ControlAddresses()) {
      http_request request{"GET", "/state", {}, {}, {}};
      auto response = co_await client_.Fetch(address, std::move(request), kPeerStateTimeout);
      if (!response || response.value().status != 200) {
        continue;
      }
      auto imported = directory_->ImportState(response.value().body);
      Events()
          .Line(kComponent, "state_of_peer")
          .Add("address", address.Text())
          .Add("revision", directory_->Routes()->Revision())
          .Add("detail", imported ? "" : imported.error().message);
      if (imported) {
        break;
      }
    }
  }
}

task<> ingress::RespondWithError(std::shared_ptr<http_exchange> exchange, int status, std::string code,
                                 std::optional<milliseconds> retry_after) {
  const auto metadata = platform::ParseRequestHeaders(exchange->Request().headers);
  Events()
      .Line(kComponent, "refused")
      .Request(metadata.attempt)
      .Add("reason", code)
      .Add("status", status)
      .Add("host", FindHeader(exchange->Request().headers, "Host"))
      .Add("target", exchange->Request().target)
      .Add("revision", directory_->Routes()->Revision());
  metrics_->AddCounter("persimmon_refusals_total", "Requests refused before routing.", {{"code", code}}).Increment();
  std::string body = fmt::format(R"({{"error":{{"code":"{}","outcome":"not_run"}}}})", code);
  http_response response = MakeRouterResponse(status, std::move(body), metadata.attempt, retry_after);
  (void)co_await exchange->Respond(std::move(response));
}

task<> ingress::Handle(std::shared_ptr<http_exchange> exchange) {
  const time_point arrival = timer_service::Now();
  const http_request& request = exchange->Request();
  auto routes = directory_->Routes();
  if (routes->Revision() == 0) {
    co_return co_await RespondWithError(exchange, 503, "no_configuration", kNotReadyRetryAfter);
  }
  const route_record* route = routes->FindRoute(FindHeader(request.headers, "Host"), request.target);
  if (route == nullptr) {
    co_return co_await RespondWithError(exchange, 404, "unknown_route", std::nullopt);
  }
  const service_record* service = routes->FindService(PickService(*route, RandomUnit()));
  if (service == nullptr) {
    co_return co_await RespondWithError(exchange, 503, "unknown_service", kNotReadyRetryAfter);
  }
  auto call = std::make_shared<direct_call>(exchange, platform::ParseRequestHeaders(request.headers), *routes, *route,
                                            *service, arrival);
  routes.reset();
  call->WatchCaller();
  calls_[call.get()] = call;
  auto refused = auth_->Authenticate(*call);
  if (!refused && TakesUpStream(*call)) {
    refused = co_await BindToSource(call);
  }
  call_outcome outcome = call_outcome::kRefused;
  if (call->IsCallerDisconnected()) {
    outcome = call->EndAsCallerDisconnected();
  } else if (refused) {
    outcome = co_await call->Refuse(std::move(*refused));
  } else {
    outcome = co_await ServeLimited(call);
  }
  calls_.erase(call.get());
  auth_->CountResult(*call);
  LogCompletion(*call, outcome);
}

// Until then, the call has a service that was drawn for it as for a new request.
task<std::optional<call_refusal>> ingress::BindToSource(direct_call_ptr call) {
  if (IsStoppingFor(*call)) {
    co_return call_refusal{503, kStopping, kStoppingRetryAfter};
  }
  const auto source = co_await origins_->FindSource(call);
  if (!source) {
    const bool is_known = source.error().code == error_code::kNotFound;
    co_return call_refusal{503, is_known ? "stream_service_gone" : "stream_version_unknown", kUnknownSourceRetryAfter};
  }
  const auto routes = directory_->Routes();
  const service_record* service = routes->FindService(source.value().service);
  if (service == nullptr) {
    co_return call_refusal{503, "stream_service_gone", kUnknownSourceRetryAfter};
  }
  call->ContinueAt(*service, source.value().version);
  co_return std::nullopt;
}

// Serves a request if its account has the amount that it uses left.
task<call_outcome> ingress::ServeLimited(direct_call_ptr call) {
  const auto& account = call->Account();
  if (!account || account->limit.tokens_per_second == 0) {
    co_return co_await Serve(std::move(call));
  }
  const account_name name = account->name;  // the account of the call may change while it waits
  const std::uint64_t amount = RequestAmount(*account, call->Metadata().total_tokens);
  const account_limit limit = account->limit;
  const usage_grant grant = co_await accounts_->Take(name, limit, amount);
  if (!grant.granted) {
    Events()
        .Line(kComponent, "account_limited")
        .Request(call->Metadata().attempt)
        .Add("account", name.value)
        .Add("amount", amount)
        .Add("per_second", limit.tokens_per_second)
        .Add("burst", limit.burst_tokens)
        .Add("retry_ms", grant.retry_in.count());
    call_refusal refusal{kTooManyRequests, kOverLimit, grant.retry_in};
    co_return co_await call->Refuse(std::move(refusal));
  }
  const call_outcome outcome = co_await Serve(call);
  // A refusal states that no endpoint has run the request, although some may have received and rejected it.
  if (!call->was_sent || outcome == call_outcome::kRefused) {
    accounts_->Return(name, amount);
  }
  co_return outcome;
}

task<call_outcome> ingress::Serve(direct_call_ptr call) {
  if (IsStoppingFor(*call)) {
    co_return co_await call->Refuse(kStopping, kStoppingRetryAfter);
  }
  if (IsGeneration(*call)) {
    co_return co_await generation_calls_->Serve(std::move(call));
  }
  co_return co_await plain_calls_->Serve(std::move(call));
}

// True if this router is stopping and the call would probably outlast it.
bool ingress::IsStoppingFor(const direct_call& call) const { return stopping_ && !EndsBeforeDeadline(call); }

// True if the call is expected to end before the drain deadline. Such a call is served rather than refused, because a
// refusal uses up one of the caller's limited retries.
bool ingress::EndsBeforeDeadline(const direct_call& call) const {
  if (!IsGeneration(call)) {
    return timer_service::Now() + call.Route().target_latency < drain_deadline_;
  }
  const auto& metadata = call.Metadata();
  const std::uint32_t output = EstimateOutput(metadata.expected_output_tokens, metadata.max_output_tokens, {});
  const auto duration = output * generation_calls_->TokenInterval() * kStreamMargin;
  return timer_service::Now() + kFirstEventTime + std::chrono::duration_cast<microseconds>(duration) < drain_deadline_;
}

void ingress::LogCompletion(const direct_call& call, call_outcome outcome) {
  const time_point now = timer_service::Now();
  auto line = Events().Line(kComponent, "request");
  if (call.Account()) {
    line.Add("account", call.Account()->name.value);
  }
  line.Request(call.Metadata().attempt)
      .Add("route", call.Route().name)
      .Add("kind", CallKindName(call.Route().kind))
      .Add("revision", call.Revision())
      .Add("outcome", CallOutcomeName(outcome))
      .Add("reason", call.reason)
      .Add("sends", call.sends)
      .Add("extra_sends", call.extra_sends)
      .Add("prefills", call.prefills)
      .Add("endpoints", call.endpoints)
      .Add("waited_ms", call.waited.count())
      .Add("waited_for", WaitReasonName(call.waited_for))
      .Add("first_event_ms", call.first_event.count())
      .Add("took_ms", call.Age(now).count())
      .Add("left_ms", call.TimeLeft(now).count());
  const metric_labels labels = {{"kind", CallKindName(call.Route().kind)}, {"outcome", CallOutcomeName(outcome)}};
  metrics_->AddCounter("persimmon_calls_total", "Calls by kind and outcome.", labels).Increment();
  metrics_->AddLatencyHistogram("persimmon_call_seconds", "Time from a request to the end of its answer.", labels)
      .Record(std::chrono::duration_cast<microseconds>(now - call.Arrival()));
}

void ingress::Drain(std::function<void()> finished) {
  stopping_ = true;
  drain_deadline_ = timer_service::Now() + settings_.deployment.stop_grace - settings_.stop_reserve;
  Events().Line(kComponent, "stopping").Add("in_progress", caller_server_->RequestsInProgress());
  kernel_.Find<router_group>("group").StartLeaving();
  kernel_.Find<stage_orders>("stages").StartLeaving();
  caller_server_->DisableKeepAlive();
  asio::co_spawn(kernel_.Context(), DrainRequests(std::move(finished)), asio::detached);
}

task<> ingress::DrainRequests(std::function<void()> finished) {
  co_await kernel_.Timers().Sleep(settings_.stop_announce);
  caller_server_->Drain();
  while (caller_server_->IsBusy() && timer_service::Now() < drain_deadline_) {
    co_await kernel_.Timers().Sleep(kDrainPollPeriod);
  }
  const std::size_t given_up = caller_server_->RequestsInProgress();
  co_await EndCalls();
  Events().Line(kComponent, "drained").Add("given_up", given_up).Add("cut", caller_server_->RequestsInProgress());
  finished();
}

task<> ingress::EndCalls() {
  const auto unwritten = std::make_shared<std::size_t>(0);
  const auto end_call = [](direct_call_ptr call, std::shared_ptr<std::size_t> counted) -> task<> {
    co_await call->EndForStop();
    --*counted;
  };
  const auto calls = calls_;  // ending them changes calls_
  for (const auto& [key, weak] : calls) {
    if (const auto call = weak.lock()) {
      ++*unwritten;
      asio::co_spawn(kernel_.Context(), end_call(call, unwritten), asio::detached);
    }
  }
  const time_point end = timer_service::Now() + kLastAnswersTime;
  while (*unwritten > 0 && timer_service::Now() < end) {
    co_await kernel_.Timers().Sleep(kDrainPollPeriod);
  }
}

}  // namespace persimmon
