#include "router/front_end.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "core/log.h"
#include "core/random.h"
#include "core/telemetry.h"
#include "net/server_limits.h"
#include "router/dispatcher.h"

namespace persimmon {
namespace {

const logger& Log() {
  static const logger log("router.http");
  return log;
}

constexpr milliseconds kDrainPollPeriod(20);
constexpr milliseconds kAllEndpointsTimeout(2'000);  // after the start: readiness requires a report of every endpoint
constexpr milliseconds kAnyEndpointTimeout(5'000);   // after the start: readiness requires a report per pool and role

bool IsModelRoute(std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  return path == "/v1/completions" || path == "/v1/chat/completions";
}

// True if the path of the target equals the prefix or is below it; "/app" does not match "/application".
bool HasPrefix(std::string_view target, std::string_view prefix) {
  if (!target.starts_with(prefix)) {
    return false;
  }
  const bool ends_with_slash = !prefix.empty() && prefix.back() == '/';
  return ends_with_slash || target.size() == prefix.size() || target[prefix.size()] == '/' ||
         target[prefix.size()] == '?';
}

}  // namespace

front_end::front_end(kernel& services, const router_settings& settings) : kernel_(services), settings_(settings) {}

void front_end::Start() {
  accounts_ = &kernel_.Find<account_guard>("accounts");
  models_ = &kernel_.Find<model_calls>("models");
  services_ = &kernel_.Find<service_calls>("services");
  metrics_ = &kernel_.Find<telemetry>("telemetry").Metrics();
  tracer_ = &kernel_.Find<telemetry>("telemetry").Tracer();
  const process_limits process{static_cast<std::size_t>(settings_.memory_mb) << 20U, std::nullopt};
  http_limits limits = CallerServerLimits(process);
  limits.header_bytes = static_cast<std::size_t>(settings_.header_bytes);
  limits.body_bytes = static_cast<std::size_t>(settings_.body_bytes);
  limits.connections = std::min(limits.connections, static_cast<std::size_t>(settings_.connections));
  limits.read_timeout = settings_.read_timeout;
  server_ = std::make_unique<http_server>(
      kernel_.Context(), settings_.http, limits,
      [this](std::shared_ptr<http_exchange> exchange) { return Handle(std::move(exchange)); });
  if (auto started = server_->Start(); !started) {
    AbortProgram(started.error().message);
  }
  started_ = timer_service::Now();
  Log().Info("Listening for callers on {}.", settings_.http.Text());
}

void front_end::Stop() { server_->Stop(); }

task<> front_end::Handle(std::shared_ptr<http_exchange> exchange) {
  const std::string_view target = exchange->Request().target;
  if (target == "/healthz") {
    http_response response = MakeHealth();
    (void)co_await exchange->Respond(std::move(response));
  } else if (target == "/readyz") {
    http_response response = MakeReadiness();
    (void)co_await exchange->Respond(std::move(response));
  } else if (target == "/metrics") {
    http_response response = MakeMetrics();
    (void)co_await exchange->Respond(std::move(response));
  } else {
    request_id request = ReadRequestId(exchange->Request(), RandomHex(16));
    co_await Route(std::move(exchange), std::move(request));
  }
}

task<> front_end::Route(std::shared_ptr<http_exchange> exchange, request_id request) {
  const time_point begin = timer_service::Now();
  const auto refused = co_await ServeCall(exchange, request);
  const auto duration = std::chrono::duration_cast<microseconds>(timer_service::Now() - begin);
  metrics_->AddLatencyHistogram("persimmon_request_seconds", "Time from a request to the end of its answer.")
      .Record(duration);
  if (refused) {
    metrics_->AddCounter("persimmon_refusals_total", "Refused requests.", {{"code", RefusalCodeName(refused->code)}})
        .Increment();
    Log()
        .ForRequest(request.value)
        .Info("Request refused with {} ({}): {}", RefusalCodeName(refused->code), OutcomeName(refused->outcome),
              refused->message);
  }
}

task<std::optional<refusal>> front_end::ServeCall(std::shared_ptr<http_exchange> exchange, request_id request) {
  call_context context{exchange, request, {}, {}, timer_service::Now(), std::nullopt};
  std::optional<refusal> refused;
  auto account = accounts_->Authenticate(exchange->Request());
  auto deadline = ReadDeadline(exchange->Request());
  const auto service = FindServicePool(exchange->Request());
  const bool is_model = IsModelRoute(exchange->Request().target) && exchange->Request().method == "POST";
  if (!kernel_.Find<config_store>("config").IsInForce()) {
    refused = refusal{refusal_code::kDraining, outcome_kind::kNotRun, "No configuration is in force yet.",
                      milliseconds(1'000)};
  } else if (!account) {
    refused = account.error();
  } else if (!deadline) {
    refused = refusal{refusal_code::kBadRequest, outcome_kind::kNotRun, deadline.error().message};
  } else if (!is_model && !service) {
    refused = refusal{refusal_code::kUnknownRoute, outcome_kind::kNotRun, "No service is configured for this path."};
  }
  if (refused) {
    http_response response = MakeRefusal(*refused, request);
    (void)co_await exchange->Respond(std::move(response));
    co_return refused;
  }
  context.account = account.value();
  if (deadline.value()) {
    context.deadline = context.arrival + *deadline.value();
  }
  span request_span = tracer_->StartSpan("request", FindHeader(exchange->Request().headers, "traceparent"));
  request_span.SetAttribute("request_id", request.value);
  request_span.SetAttribute("account", context.account.record.name.value);
  context.traceparent = request_span.Traceparent();
  if (is_model) {
    auto content = ParseModelRequest(exchange->Request());
    if (content) {
      refused = co_await models_->Serve(context, std::move(content.value()));
    } else {
      refused = refusal{refusal_code::kBadRequest, outcome_kind::kNotRun, content.error().message};
      http_response response = MakeRefusal(*refused, request);
      (void)co_await exchange->Respond(std::move(response));
    }
  } else {
    refused = co_await services_->Serve(context, *service);
  }
  request_span.failed = refused.has_value();
  tracer_->EndSpan(std::move(request_span));
  co_return refused;
}

std::optional<pool_record> front_end::FindServicePool(const http_request& request) const {
  const auto config = kernel_.Find<config_store>("config").Current();
  const std::string_view host_header = FindHeader(request.headers, "Host");
  const std::string_view host = host_header.substr(0, host_header.rfind(':'));
  const pool_record* best = nullptr;
  for (const auto& [name, pool] : config->pools) {
    const bool is_service = pool.type == pool_type::kService;
    const bool host_matches = pool.host.empty() || pool.host == host;
    const bool path_matches = HasPrefix(request.target, pool.path_prefix);
    const bool is_more_specific = best == nullptr || pool.path_prefix.size() > best->path_prefix.size();
    if (is_service && host_matches && path_matches && is_more_specific) {
      best = &pool;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

http_response front_end::MakeHealth() const { return JsonResponse(200, R"({"status":"ok"})"); }

// Until the first load reports arrive, a new router would refuse all requests and then overload the endpoints that
// report first. So readiness first requires a report of every endpoint, later one report per pool and role, and finally
// none, because a pool may be down.
bool front_end::HasRequiredReports() const {
  const auto elapsed = timer_service::Now() - started_;
  if (elapsed > kAnyEndpointTimeout) {
    return true;
  }
  const bool require_all = elapsed < kAllEndpointsTimeout;
  const auto& endpoints = kernel_.Find<endpoint_directory>("endpoints");
  const auto has_reported = [](const endpoint_status* status) {
    return status->open && status->load.sequence != 0 && status->load.ready;
  };
  const auto config = kernel_.Find<config_store>("config").Current();
  for (const auto& [name, pool] : config->pools) {
    for (const endpoint_role role : {endpoint_role::kPrefill, endpoint_role::kDecode, endpoint_role::kService}) {
      const auto watched = endpoints.List(name, role);
      const auto reported = std::count_if(watched.begin(), watched.end(), has_reported);
      const auto needed = require_all ? static_cast<std::ptrdiff_t>(watched.size()) : watched.empty() ? 0 : 1;
      if (reported < needed) {
        return false;
      }
    }
  }
  return true;
}

http_response front_end::MakeReadiness() const {
  const auto& config = kernel_.Find<config_store>("config");
  const bool ready = !draining_ && config.IsInForce() && HasRequiredReports();
  return JsonResponse(ready ? 200 : 503, fmt::format(R"({{"ready":{},"draining":{},"revision":{}}})", ready, draining_,
                                                     config.Revision()));
}

http_response front_end::MakeMetrics() {
  const auto in_progress = static_cast<double>(server_->RequestsInProgress());
  const auto queued = static_cast<double>(kernel_.Find<dispatcher>("dispatcher").QueuedJobs());
  const auto revision = static_cast<double>(kernel_.Find<config_store>("config").Revision());
  metrics_->AddGauge("persimmon_requests_in_progress", "Requests without a complete answer.").Set(in_progress);
  metrics_->AddGauge("persimmon_queued_jobs", "Model requests that wait for slots.").Set(queued);
  metrics_->AddGauge("persimmon_config_revision", "Configuration revision in force.").Set(revision);
  return http_response{200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_->RenderText()};
}

void front_end::Drain(std::function<void()> finished) {
  draining_ = true;
  Log().Info("Draining: {} requests in progress.", server_->RequestsInProgress());
  asio::co_spawn(kernel_.Context(), DrainRequests(std::move(finished)), asio::detached);
}

task<> front_end::DrainRequests(std::function<void()> finished) {
  // Keep serving new connections until the load balancer has noticed that this router is not ready.
  co_await kernel_.Timers().Sleep(settings_.stop_grace);
  server_->Drain();
  const time_point end = timer_service::Now() + settings_.stop_limit;
  while (server_->RequestsInProgress() > 0 && timer_service::Now() < end) {
    co_await kernel_.Timers().Sleep(kDrainPollPeriod);
  }
  Log().Info("Drained: {} requests aborted.", server_->RequestsInProgress());
  finished();
}

}  // namespace persimmon
