#include "direct/stage_orders.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "core/event_log.h"
#include "core/random.h"
#include "platform/json_text.h"
#include "platform/requests.h"

namespace persimmon {
namespace {

using json = nlohmann::json;

constexpr const char* kComponent = "router.stages";
constexpr const char* kLeaseTable = "persimmon_leases";
constexpr milliseconds kPlanPeriod(400);       // mean time between rounds, with random jitter of up to a quarter
constexpr milliseconds kMaxStartDelay(1'200);  // random, so that routers that start together do not plan simultaneously
constexpr milliseconds kOrderTimeout(400);     // for the response of an engine
// Orders are sent at most this long after the lease was requested, so that a router that was suspended in the meantime
// sends no orders with an outdated lease.
constexpr milliseconds kLeaseUseLimit(1'000);

bool IsLeaseUsable(time_point begin) { return timer_service::NowWithSuspension() - begin <= kLeaseUseLimit; }

std::string MakeLeaseValue(const std::string& holder) { return json{{"holder", holder}}.dump(); }

std::string ReadLeaseHolder(const std::string& text) {
  const json value = platform::ParseJson(text);
  return value.is_object() && value.contains("holder") && value["holder"].is_string()
             ? value["holder"].get<std::string>()
             : std::string();
}

}  // namespace

stage_orders::stage_orders(kernel& services, const direct_settings& settings, http_client& client, table_client table)
    : kernel_(services), settings_(settings), client_(client), table_(std::move(table)) {}

void stage_orders::Start() {
  directory_ = &kernel_.Find<deployment_directory>("directory");
  endpoint_tracker_ = &kernel_.Find<endpoint_tracker>("board");
  if (settings_.order_stages) {
    asio::co_spawn(kernel_.Context(), Run(), asio::detached);
  }
}

void stage_orders::Stop() { stopped_ = true; }

task<> stage_orders::Run() {
  co_await kernel_.Timers().Sleep(std::chrono::duration_cast<microseconds>(kMaxStartDelay * RandomUnit()));
  while (!stopped_ && !leaving_) {
    const auto routes = directory_->Routes();
    for (const auto& [name, service] : routes->Services()) {
      if (service.engine && directory_->IsStoreReachable() && !leaving_) {
        co_await RunRound(service);
      }
    }
    const auto delay = kPlanPeriod * (0.75 + 0.5 * RandomUnit());
    co_await kernel_.Timers().Sleep(std::chrono::duration_cast<microseconds>(delay));
  }
}

task<> stage_orders::RunRound(service_record service) {
  const stage_settings settings{.settle = settings_.stage_settle, .first_start = settings_.deployment.first_start};
  stage_planner& planner = planners_.try_emplace(service.name, settings).first->second;
  const auto endpoints = endpoint_tracker_->ListEndpoints(service.name, std::nullopt);
  const auto views = endpoint_tracker_->EngineViews(endpoints, *service.engine, {});
  std::vector<engine_stage_view> engines;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    const endpoint_entry* entry = directory_->Endpoints().Find(endpoints[i].name);
    if (entry != nullptr && entry->role) {
      const auto load = static_cast<std::uint32_t>(PredictPeakMemory(views[i].streams)) + views[i].pending_tokens;
      engines.push_back({endpoints[i].name, endpoints[i].zone, endpoints[i].started_ms, *entry->role, load});
    }
  }
  workload_profile profile;
  profile.prefill_tokens_per_ms /= settings_.prefill_weight;
  const double prefill_target = PlanPrefillEngines(static_cast<std::uint32_t>(engines.size()),
                                                   service.engine->kv_tokens, service.engine->slots, profile);
  const auto changes = planner.Plan(engines, prefill_target, timer_service::Now());
  if (changes.empty()) {
    co_return;
  }
  const time_point lease_begin = timer_service::NowWithSuspension();
  const auto fencing_token = co_await AcquireLease(service.name);
  if (!fencing_token) {
    planner.RecordRound(timer_service::Now());
    co_return;
  }
  planner.RecordRound(timer_service::Now());
  for (const stage_change& change : changes) {
    if (!IsLeaseUsable(lease_begin) || leaving_) {
      Events().Line(kComponent, "round_ended_early").Add("service", service.name).Add("fence", *fencing_token);
      break;
    }
    for (const chosen_endpoint& endpoint : endpoints) {
      if (endpoint.name == change.engine && !endpoint_tracker_->IsClosed(endpoint)) {
        planner.RecordOrder(change, timer_service::Now());
        if (!co_await SendOrder(service, endpoint, change.role, *fencing_token, lease_begin)) {
          co_return;
        }
      }
    }
  }
}

task<std::optional<std::uint64_t>> stage_orders::AcquireLease(const std::string& service) {
  const std::string& own_name = settings_.deployment.name;
  lease_watch& lease = leases_.try_emplace(service, settings_.deployment.lease_time).first->second;
  auto row = co_await table_.ReadRow(kLeaseTable, service);
  if (!row) {
    Events().Line(kComponent, "lease_unreadable").Add("service", service).Add("reason", row.error().message);
    co_return std::nullopt;
  }
  lease_row seen{table_.Era(), 0, {}};
  if (row.value()) {
    seen = {row.value()->era, row.value()->version, ReadLeaseHolder(row.value()->value)};
  }
  const lease_step step = lease.RecordRow(seen, own_name, timer_service::Now());
  if (step == lease_step::kWait) {
    Events()
        .Line(kComponent, "lease_held_elsewhere")
        .Add("service", service)
        .Add("holder", seen.holder)
        .Add("era", seen.era)
        .Add("fence", MakeFencingToken(seen.era, seen.version));
    co_return std::nullopt;
  }
  std::vector<table_write> writes(1);
  writes[0].table = kLeaseTable;
  writes[0].key = service;
  writes[0].value = MakeLeaseValue(own_name);
  writes[0].condition = step == lease_step::kCreate ? row_condition::kAbsent : row_condition::kVersion;
  writes[0].version = seen.version;
  auto written = co_await table_.Commit(std::move(writes));
  // A write in a later era than the read may have met a version that was given out again.
  const bool is_restored = written && written.value().era != seen.era;
  if (!written || !written.value().committed || is_restored) {
    Events()
        .Line(kComponent, "lease_not_taken")
        .Add("service", service)
        .Add("fence", MakeFencingToken(seen.era, seen.version))
        .Add("reason", !written      ? written.error().message
                       : is_restored ? "the store was restored from a copy"
                                     : "another router has updated the lease first");
    co_return std::nullopt;
  }
  const std::uint64_t fencing_token = MakeFencingToken(written.value().era, written.value().version);
  Events().Line(kComponent, "lease_taken").Add("service", service).Add("fence", fencing_token);
  co_return fencing_token;
}

task<bool> stage_orders::SendOrder(service_record service, chosen_endpoint engine, endpoint_role role,
                                   std::uint64_t fencing_token, time_point lease_begin) {
  const auto stage =
      role == endpoint_role::kPrefill ? platform::engine_stage::kPrefill : platform::engine_stage::kDecode;
  auto report = co_await endpoint_tracker_->FetchReport(client_, engine, kOrderTimeout);
  if (!report || report.value().is_busy) {
    Events()
        .Line(kComponent, "order_not_sent")
        .Add("service", service.name)
        .Add("endpoint", engine.name.value)
        .Add("reason", report ? "busy" : report.error().message);
    co_return true;
  }
  const permit_result taken = co_await endpoint_tracker_->AcquirePermit(engine, kOrderTimeout);
  // The process or the machine may have been suspended since the round began.
  const char* obstacle = !taken.permit                 ? "its limit allows no request now"
                         : !IsLeaseUsable(lease_begin) ? "the lease was taken too long ago"
                                                       : nullptr;
  if (obstacle != nullptr) {
    Events()
        .Line(kComponent, "order_not_sent")
        .Add("service", service.name)
        .Add("endpoint", engine.name.value)
        .Add("reason", obstacle);
    co_return true;
  }
  auto request = platform::MakeStageOrderRequest(engine.name, stage, settings_.deployment.name, fencing_token,
                                                 report.value().orders_accepted);
  const time_point sent = timer_service::Now();
  auto response = co_await endpoint_tracker_->FetchControl(client_, engine, std::move(request), kOrderTimeout);
  if (response) {
    endpoint_tracker_->RecordResponse(engine, platform::ParseResponseHeaders(response.value().Head()), sent);
  }
  const int status = response ? response.value().status : 0;
  Events()
      .Line(kComponent, "order_sent")
      .Add("service", service.name)
      .Add("endpoint", engine.name.value)
      .Add("stage", platform::StageName(stage))
      .Add("fence", fencing_token)
      .Add("expected", report.value().orders_accepted)
      .Add("status", status);
  if (status == platform::kOrderAccepted && service.engine) {
    endpoint_tracker_->RecordStageOrder(engine, service.engine->stage_switch_time);
  }
  co_return status != platform::kOrderFencingTokenOutdated;
}

}  // namespace persimmon
