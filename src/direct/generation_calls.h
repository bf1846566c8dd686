// Calls of model services: reserve decode memory, prefill, decode, and pass the stream on. A service of the kernel.
//
// Requests wait in the placement queue of their service. The head of the queue asks the engine with the most room for a
// reservation; the engine's grant decides between routers. Nothing is prefilled before decode memory is reserved.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/mailbox.h"
#include "core/metrics.h"
#include "direct/direct_call.h"
#include "direct/endpoint_board.h"
#include "direct/plain_calls.h"
#include "persimmon/event_stream.h"
#include "persimmon/placement_queue.h"

namespace persimmon {

class generation_calls {
 public:
  generation_calls(kernel& services, const direct_settings& settings, http_client& client);
  ~generation_calls();

  void Start();
  void Stop();

  task<call_outcome> Serve(direct_call_ptr call);

  std::size_t WaitingCount() const;

  // For other routers.
  std::vector<waiting_count> OwnWaiting() const;

  // From one output token to the next, over the streams of the last seconds; an assumed value before the first one.
  microseconds TokenInterval() const { return token_interval_; }

  // Tries to place waiting requests; call it when room may have become free.
  void PumpAll();

 private:
  static constexpr microseconds kAssumedTokenInterval{5'000};  // of a busy engine

  // Memory reserved on a decode engine, and the prefill engine that reads the prompt.
  struct grant {
    chosen_endpoint engine;
    std::optional<chosen_endpoint> prefill;  // absent: the decode engine reads the prompt itself
    std::string reservation;
    std::uint32_t tokens = 0;
  };

  // Why a request gets no reservation.
  struct denial {
    std::string reason;
    milliseconds retry_after{0};
  };

  using placement = std::variant<grant, denial>;

  struct waiting_request {
    explicit waiting_request(asio::io_context& context) : decision(context) {}
    direct_call_ptr call;
    placement_request request;
    std::vector<endpoint_name> avoid;
    mailbox<placement> decision;
  };
  using waiting_ptr = std::shared_ptr<waiting_request>;

  struct service_queue;

  // State of one stream over all the engines that it runs on.
  struct stream_state {
    event_splitter events;
    bool started = false;  // the head of the answer has been passed on
  };

  enum class step_result : std::uint8_t {
    kDone,    // the whole stream was passed on, or an answer of the endpoint
    kNotRun,  // the endpoint proved that it has not run the request
    kBroken,  // the run was lost
    kCallerGone,
    kTimeout,  // the time of the request is over
  };

  service_queue& QueueFor(const service_record& service);
  task<placement> AwaitPlace(direct_call_ptr call, std::vector<endpoint_name> avoid, bool is_resumed);
  placement_request MakeRequest(const direct_call& call, bool is_resumed, time_point now);
  void Pump(service_queue& queue);
  void PlaceWaiting(service_queue& queue);
  void NoteBlocked(service_queue& queue, wait_reason reason, time_point now);
  void Forget(service_queue& queue, const waiting_ptr& waiting);
  task<> Reserve(std::string service, waiting_ptr waiting, grant place);
  milliseconds LateRetry() const;
  void ScheduleTick();

  // Without a prefill engine the result is an empty source.
  task<std::optional<platform::kv_source>> Prefill(direct_call_ptr call, const grant& place);
  task<step_result> Decode(direct_call_ptr call, const grant& place, std::optional<platform::kv_source> source,
                           stream_state& stream);
  task<step_result> PassStream(direct_call_ptr call, http_call& exchange, const grant& place, stream_state& stream);
  task<call_outcome> Finish(direct_call_ptr call, step_result result, stream_state& stream, bool ever_sent);

  task<> CheckEngine(chosen_endpoint engine);
  void NoteTokenInterval(microseconds streamed, std::size_t tokens);
  void ReleaseReservation(const grant& place);
  void ReleasePlace(const direct_call& call, const grant& place);
  void NotePromptRead(const direct_call& call, const grant& place, const endpoint_name& reader);
  void DropCache(const platform::kv_source& source);
  task<> SendControl(host_port address, http_request request, const char* purpose);

  kernel& kernel_;
  const direct_settings& settings_;
  http_client& client_;
  endpoint_board* board_ = nullptr;
  send_budgets* budgets_ = nullptr;
  router_group* group_ = nullptr;
  metrics_registry* metrics_ = nullptr;
  crash_guard* crashes_ = nullptr;
  std::map<std::string, std::unique_ptr<service_queue>> queues_;
  std::map<std::string, milliseconds> largest_budgets_;  // of the callers' time, by route
  std::set<endpoint_name> checked_engines_;              // that CheckEngine watches
  timer_subscription tick_;
  bool tick_is_due_ = false;
  microseconds token_interval_ = kAssumedTokenInterval;
  std::uint64_t next_number_ = 0;
};

}  // namespace persimmon
