#include "direct/call_gate.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/event_log.h"
#include "core/random.h"
#include "core/telemetry.h"

namespace persimmon {
namespace {

constexpr const char* kComponent = "router.plain";
constexpr milliseconds kDispatchPeriod(20);  // while calls wait: checks expiry and endpoints that are registered anew
// Of the time that the caller has left. A caller that is refused then can still come back and be served.
constexpr double kMaxWaitShare = 0.6;
// Callers do not wait longer than this share of their time left before they come back.
constexpr double kMaxRetryShare = 0.33;
constexpr std::size_t kMaxWindows = 4'096;  // bounds the memory for endpoints that are gone

}  // namespace

void call_gate::Start() {
  endpoint_tracker_ = &kernel_.Find<endpoint_tracker>("board");
  metrics_ = &kernel_.Find<telemetry>("telemetry").Metrics();
}

std::size_t call_gate::WaitingCount() const {
  std::size_t count = 0;
  for (const auto& [service, queue] : queues_) {
    count += queue.waiting.size();
  }
  return count;
}

std::uint32_t call_gate::Room(const chosen_endpoint& endpoint) const {
  const auto found = windows_.find(endpoint.name);
  const bool is_known = found != windows_.end() && found->second.started_ms == endpoint.started_ms;
  return is_known ? found->second.window.Room(found->second.calls) : call_window().Room(0);
}

void call_gate::RecordStart(const chosen_endpoint& endpoint) {
  if (windows_.size() >= kMaxWindows && !windows_.contains(endpoint.name)) {
    std::erase_if(windows_, [](const auto& item) { return item.second.calls == 0; });
  }
  endpoint_window& known = windows_[endpoint.name];
  if (known.started_ms != endpoint.started_ms) {
    known = {endpoint.started_ms, call_window(), 0};
  }
  ++known.calls;
}

void call_gate::RecordResponse(const chosen_endpoint& endpoint, const call_feedback& feedback) {
  const auto found = windows_.find(endpoint.name);
  if (found != windows_.end() && found->second.started_ms == endpoint.started_ms) {
    found->second.window.RecordResponse(feedback, found->second.calls, timer_service::Now());
  }
}

void call_gate::RecordEnd(const std::string& service, const chosen_endpoint& endpoint) {
  const auto found = windows_.find(endpoint.name);
  if (found != windows_.end() && found->second.started_ms == endpoint.started_ms && found->second.calls > 0) {
    --found->second.calls;
  }
  const auto queue = queues_.find(service);
  if (queue != queues_.end()) {
    queue->second.rate.RecordEnd(!queue->second.waiting.empty(), timer_service::Now());
    Dispatch(service, queue->second);
  }
}

bool call_gate::HasRoomNow(const std::string& service, const service_queue& queue) const {
  const auto endpoints = endpoint_tracker_->ListEndpoints(service, std::nullopt);
  const auto views = endpoint_tracker_->PlainViews(endpoints, {});
  std::size_t room = 0;
  bool can_receive = false;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    const bool is_usable = views[i].can_receive && views[i].health_share > 0;
    can_receive = can_receive || is_usable;
    room += is_usable ? Room(endpoints[i]) : 0;
  }
  // Without a usable endpoint, waiting does not help: the choice of an endpoint decides what becomes of the call.
  return !can_receive || room > queue.admitted;
}

task<std::optional<call_refusal>> call_gate::Enter(direct_call_ptr call, microseconds work_time) {
  const std::string service = call->Service().name;
  service_queue& queue = queues_[service];
  if (queue.waiting.empty() && HasRoomNow(service, queue)) {
    co_return std::nullopt;
  }
  const time_point now = timer_service::Now();
  const auto longest = std::chrono::duration_cast<milliseconds>(call->TimeLeft(now) * kMaxWaitShare);
  const auto predicted = std::chrono::duration_cast<milliseconds>(queue.rate.PredictWait(queue.waiting.size()));
  if (predicted > longest) {
    co_return Refuse(*call, "over_capacity", predicted);
  }
  placement_request request;
  request.request = request_id{fmt::format("{}", ++next_number_)};
  request.expiry = now + longest;
  // The queue lets a request expire only once it is late, but the caller may have less time left than the target.
  request.latest_start = std::min(call->Arrival() + call->Route().target_latency - work_time, request.expiry);
  request.urgency = UrgencyOf(call->Route(), call->Account() ? &*call->Account() : nullptr);
  request.account = call->Account() ? call->Account()->name : account_name();
  if (!queue.queue.Add(request, now)) {
    co_return Refuse(*call, "over_capacity", predicted);
  }
  const bool is_admitted = co_await Wait(call, queue, std::move(request));
  call->waited += std::chrono::duration_cast<milliseconds>(timer_service::Now() - now);
  if (!is_admitted && !call->IsCallerDisconnected()) {
    co_return Refuse(*call, "overdue", predicted);
  }
  co_return std::nullopt;
}

task<bool> call_gate::Wait(direct_call_ptr call, service_queue& queue, placement_request request) {
  const auto waiting = std::make_shared<waiting_call>(kernel_.Context());
  waiting->call = call;
  const request_id id = request.request;
  queue.waiting[id] = waiting;
  call->SetDisconnectHandler([&queue, waiting, id] {
    if (queue.waiting.erase(id) > 0) {
      queue.queue.Remove(id);
      waiting->result.Push(false);
    }
  });
  ScheduleDispatch();
  const auto timeout = std::chrono::duration_cast<microseconds>(call->Deadline() - timer_service::Now());
  const auto result = co_await waiting->result.Receive(timeout);
  call->ClearDisconnectHandler();
  if (!result) {
    queue.waiting.erase(id);
    queue.queue.Remove(id);
  }
  const bool is_admitted = result.value_or(false);
  queue.admitted -= is_admitted ? 1 : 0;
  co_return is_admitted;
}

void call_gate::Dispatch(const std::string& service, service_queue& queue) {
  if (queue.waiting.empty()) {
    return;
  }
  const auto end = [&queue](const request_id& id, bool is_admitted) {
    const auto found = queue.waiting.find(id);
    if (found != queue.waiting.end()) {
      queue.admitted += is_admitted ? 1 : 0;
      found->second->result.Push(is_admitted);
      queue.waiting.erase(found);
    }
  };
  for (const placement_request& request : queue.queue.TakeExpired(timer_service::Now())) {
    end(request.request, false);
  }
  const auto choose = [&](const placement_request&) {
    engine_choice choice;
    choice.waits_for = HasRoomNow(service, queue) ? wait_reason::kNone : wait_reason::kDecodeMemory;
    return choice;
  };
  while (true) {
    const placement_step step = queue.queue.TakeNext(choose, false);
    if (!step.placed) {
      return;
    }
    queue.queue.Start(step.placed->request, timer_service::Now());
    end(step.placed->request, true);
  }
}

void call_gate::ScheduleDispatch() {
  if (timer_scheduled_ || WaitingCount() == 0) {
    return;
  }
  timer_scheduled_ = true;
  timer_ = kernel_.Timers().SubscribeOnce(kDispatchPeriod, [this] {
    timer_scheduled_ = false;
    for (auto& [service, queue] : queues_) {
      Dispatch(service, queue);
    }
    ScheduleDispatch();
  });
}

call_refusal call_gate::Refuse(const direct_call& call, const char* reason, milliseconds predicted) {
  const time_point now = timer_service::Now();
  const auto latest = std::chrono::duration_cast<milliseconds>(call.TimeLeft(now) * kMaxRetryShare);
  const auto spread = std::chrono::duration_cast<milliseconds>(settings_.plain_retry_after * (1 + RandomUnit()));
  metrics_
      ->AddCounter("persimmon_plain_refused_waiting_total", "Plain calls refused because the endpoints are busy.",
                   {{"service", call.Service().name}, {"reason", reason}})
      .Increment();
  Events()
      .Line(kComponent, "refused_waiting")
      .Request(call.Metadata().attempt)
      .Add("reason", reason)
      .Add("waited_ms", call.waited.count())
      .Add("predicted_ms", predicted.count())
      .Add("left_ms", call.TimeLeft(now).count());
  return call_refusal{503, reason, std::max(milliseconds(1), std::min(latest, predicted + spread))};
}

}  // namespace persimmon
