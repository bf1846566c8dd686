// Lets calls to plain services wait while the endpoints have enough to do (persimmon/call_admission.h). Part of
// plain_attempts.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/mailbox.h"
#include "core/metrics.h"
#include "direct/direct_call.h"
#include "direct/endpoint_tracker.h"
#include "persimmon/call_admission.h"
#include "persimmon/placement_queue.h"

namespace persimmon {

class call_gate {
 public:
  call_gate(kernel& services, const direct_settings& settings) : kernel_(services), settings_(settings) {}

  void Start();
  void Stop() { timer_.Cancel(); }

  // Waits until an endpoint of the call's service has room. Returns why the call must be refused instead, or nothing.
  // `work_time`: usual duration of a call. The caller may have disconnected meanwhile.
  task<std::optional<call_refusal>> Enter(direct_call_ptr call, microseconds work_time);

  // Number of calls that the endpoint may get now.
  std::uint32_t Room(const chosen_endpoint& endpoint) const;

  void RecordStart(const chosen_endpoint& endpoint);
  void RecordResponse(const chosen_endpoint& endpoint, const call_feedback& feedback);
  void RecordEnd(const std::string& service, const chosen_endpoint& endpoint);

  std::size_t WaitingCount() const;

 private:
  struct endpoint_window {
    std::uint64_t started_ms = 0;  // start time of the endpoint's process
    call_window window;
    std::uint32_t calls = 0;  // in progress
  };

  struct waiting_call {
    explicit waiting_call(asio::io_context& context) : result(context) {}
    direct_call_ptr call;
    mailbox<bool> result;  // true: an endpoint has room; false: the call is refused
  };
  using waiting_ptr = std::shared_ptr<waiting_call>;

  struct service_queue {
    placement_queue queue;
    std::map<request_id, waiting_ptr> waiting;
    call_rate rate;
    std::size_t admitted = 0;  // calls that have been let through and not been sent yet
  };

  task<bool> Wait(direct_call_ptr call, service_queue& queue, placement_request request);
  bool HasRoomNow(const std::string& service, const service_queue& queue) const;
  void Dispatch(const std::string& service, service_queue& queue);
  void ScheduleDispatch();
  call_refusal Refuse(const direct_call& call, const char* reason, milliseconds predicted);

  kernel& kernel_;
  const direct_settings& settings_;
  endpoint_tracker* endpoint_tracker_ = nullptr;
  metrics_registry* metrics_ = nullptr;
  std::map<endpoint_name, endpoint_window> windows_;
  std::map<std::string, service_queue> queues_;  // by service
  std::uint64_t next_number_ = 0;
  timer_subscription timer_;
  bool timer_scheduled_ = false;
};

}  // namespace persimmon
