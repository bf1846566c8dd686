// Calls of model services: reserve decode memory, prefill, decode and forward the stream. A service of the kernel.
//
// Requests wait in the placement queue of their service. For the request at the head, the router asks the engine with
// the most free memory for a reservation; the engine arbitrates between routers by granting or refusing it. A prompt is
// prefilled only after decode memory has been reserved, so that no prefill is wasted.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/mailbox.h"
#include "core/metrics.h"
#include "direct/answer_memory.h"
#include "direct/call_sender.h"
#include "direct/caller_auth.h"
#include "direct/direct_call.h"
#include "direct/endpoint_tracker.h"
#include "direct/numbering_tracker.h"
#include "direct/origin_tracker.h"
#include "direct/part_tracker.h"
#include "direct/prompt_tracker.h"
#include "direct/send_budgets.h"
#include "direct/suspect_tracker.h"
#include "persimmon/event_stream.h"
#include "persimmon/granted_reservations.h"
#include "persimmon/placement_queue.h"
#include "persimmon/return_schedule.h"

namespace persimmon {

class generation_calls {
 public:
  generation_calls(kernel& services, const direct_settings& settings, http_client& client);
  ~generation_calls();

  void Start();
  void Stop();

  task<call_outcome> Serve(direct_call_ptr call);

  std::size_t WaitingCount() const;

  // Waiting requests by service, to be sent to the other routers.
  std::vector<waiting_count> LocalWaiting() const;

  // Mean time between output tokens over recent streams; kAssumedTokenInterval before the first stream.
  microseconds TokenInterval() const { return token_interval_; }

  // Tries to assign engines to waiting requests; to be called when capacity may have become free.
  void DispatchAll();

 private:
  static constexpr microseconds kAssumedTokenInterval{5'000};  // interval on a busy engine

  // Far more than a router gets in the lifetime of a reservation.
  static constexpr std::size_t kMaxGrants = 16'384;

  // A decode engine with reserved memory, and the prefill engine for the prompt.
  struct engine_assignment {
    chosen_endpoint engine;
    std::optional<chosen_endpoint> prefill;  // absent: the decode engine prefills the prompt itself
    std::string reservation;                 // empty: the engine states a limit, and a permit takes its place
    std::optional<send_permit> permit;
    stream_memory memory;                              // at the start of the decode
    endpoint_tracker::stream_id stream_id = 0;         // of the load on the decode engine
    time_point chosen_at;                              // when the engines were chosen
    provisional_send first_prefill;                    // set until the first prefill of the request has ended
    prefill_prediction prediction;                     // of the engine that reads the prompt
    std::uint32_t pending_tokens = 0;                  // counted as load of the engine that reads the prompt
    time_point reserved_until;                         // end of the reservation; only with a reservation
    prefill_verdict verdict = prefill_verdict::kSend;  // why Prefill has sent nothing
  };

  // Reason why no engine was assigned to a request.
  struct rejection {
    std::string reason;
    milliseconds retry_after{0};
  };

  using assignment_result = std::variant<engine_assignment, rejection>;

  struct waiting_request {
    explicit waiting_request(asio::io_context& context) : result_mailbox(context) {}
    direct_call_ptr call;
    placement_request request;
    std::vector<endpoint_name> avoid;
    mailbox<assignment_result> result_mailbox;
  };
  using waiting_ptr = std::shared_ptr<waiting_request>;

  struct service_queue;

  // State of one stream across all engines that it runs on.
  struct stream_state {
    event_splitter events{platform::kEventWeightVersion};
    bool started = false;                         // the response head has been forwarded
    time_point decode_sent;                       // of the current run
    time_point wait_start;                        // since when the caller has been waiting for the next event
    std::optional<chosen_endpoint> prefilled_at;  // engine that has completed the latest prefill
  };

  enum class decode_result : std::uint8_t {
    kDone,    // the complete stream, or an error response of the engine, was forwarded
    kNotRun,  // the endpoint stated that it has not run the request
    kBroken,  // the connection broke during the run
    kCallerDisconnected,
    kTimeout,  // the request's deadline has passed
  };

  service_queue& QueueFor(const service_record& service);
  task<assignment_result> AwaitAssignment(direct_call_ptr call, std::vector<endpoint_name> avoid, bool is_resumed);
  placement_request MakeRequest(const direct_call& call, bool is_resumed, time_point now);
  // The number that engines are told; nothing if the service has no levels of urgency.
  std::optional<std::uint32_t> PriorityOf(const direct_call& call) const;
  void Dispatch(service_queue& queue);
  void PlaceWaiting(service_queue& queue);
  // Tells the other routers if the state that they know of the waiting requests has changed.
  void ReportWaiting(service_queue& queue);
  // Hands the assignment to the waiting request.
  void Assign(service_queue& queue, const waiting_ptr& waiting, engine_assignment assignment, time_point now);
  void RejectUnservable(service_queue& queue, const std::vector<chosen_endpoint>& engines);
  void RecordBlocked(service_queue& queue, wait_reason reason, time_point now);
  void RemoveWaiting(service_queue& queue, const waiting_ptr& waiting);
  task<> TakePermit(std::string service, waiting_ptr waiting, engine_assignment assignment);
  task<> Reserve(std::string service, waiting_ptr waiting, engine_assignment assignment);
  // The reason to refuse a request before it waits: its predicted wait is longer than it may wait.
  std::optional<rejection> FindRefusal(service_queue& queue, direct_call& call, const placement_request& request,
                                       time_point now);
  milliseconds CapacityRetryAfter() const;
  // The same for a call that is refused now; with the adaptive policy, the caller's place after the backlog.
  milliseconds AssignReturn(service_queue& queue, const direct_call& call, time_point now);
  task<call_outcome> Run(direct_call_ptr call);
  void RecordOutcome(const direct_call& call, call_outcome outcome);
  void ScheduleDispatch();

  // Returns an empty source if the assignment has no prefill engine, and nothing if the prefill failed.
  task<std::optional<platform::kv_source>> Prefill(direct_call_ptr call, engine_assignment& assignment,
                                                   time_point wait_start);
  task<decode_result> Decode(direct_call_ptr call, const engine_assignment& assignment,
                             std::optional<platform::kv_source> source, stream_state& stream, engine_run& run);
  task<decode_result> ForwardStream(direct_call_ptr call, http_call& upstream, const engine_assignment& assignment,
                                    stream_state& stream, engine_run& run);
  task<std::string> CheckStreamEnd(const direct_call& call, const http_call& upstream, chosen_endpoint engine,
                                   const event_splitter& events);
  task<call_outcome> Finish(direct_call_ptr call, decode_result result, stream_state& stream, bool may_have_run);

  task<> CheckEngine(chosen_endpoint engine);
  static void RecordStreamTime(service_queue& queue, microseconds duration);
  void RecordTokenInterval(microseconds streamed, std::size_t tokens);
  void ReleaseReservation(const engine_assignment& assignment);
  void ReleaseAssignment(const engine_assignment& assignment);
  void AddPrefill(const direct_call& call, engine_assignment& assignment, const chosen_endpoint& engine,
                  endpoint_role role);
  void ReleasePrefill(const engine_assignment& assignment, const endpoint_name& prefill_engine);
  void DropCache(const std::string& service, const platform::kv_source& source);
  task<> SendControl(chosen_endpoint engine, http_request request, const char* purpose);

  kernel& kernel_;
  const direct_settings& settings_;
  http_client& client_;
  call_sender sender_;
  caller_auth* auth_ = nullptr;
  deployment_directory* directory_ = nullptr;
  endpoint_tracker* endpoint_tracker_ = nullptr;
  send_budgets* budgets_ = nullptr;
  router_group* group_ = nullptr;
  metrics_registry* metrics_ = nullptr;
  suspect_tracker* suspect_tracker_ = nullptr;
  part_tracker* part_tracker_ = nullptr;
  origin_tracker* origins_ = nullptr;
  answer_memory* answers_ = nullptr;
  prompt_tracker* prompts_ = nullptr;
  std::map<std::string, std::unique_ptr<service_queue>> queues_;
  granted_reservations granted_{kMaxGrants};
  numbering_tracker numberings_;
  std::map<std::string, milliseconds> largest_budgets_;  // largest time budget seen of callers, by route
  std::set<endpoint_name> engines_being_checked_;        // engines that CheckEngine polls
  timer_subscription dispatch_timer_;
  bool dispatch_scheduled_ = false;
  microseconds token_interval_ = kAssumedTokenInterval;
  std::uint64_t next_number_ = 0;
};

}  // namespace persimmon
