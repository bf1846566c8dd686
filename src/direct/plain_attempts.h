// Choice of an endpoint for a plain call and one attempt to send the call there, shared by calls whose attempts follow
// one another (plain_calls.h) and calls whose attempts overlap (hedged_calls.h).
//
// Sections
//   1. attempts
//   2. choices, sends and estimates
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "direct/answer_memory.h"
#include "direct/call_gate.h"
#include "direct/call_sender.h"
#include "direct/caller_auth.h"
#include "direct/direct_call.h"
#include "direct/endpoint_tracker.h"
#include "direct/numbering_tracker.h"
#include "direct/origin_tracker.h"
#include "direct/suspect_tracker.h"
#include "persimmon/call_estimates.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. attempts
// ---------------------------------------------------------------------------------------------------------------------

inline constexpr std::uint32_t kMaxConnectAttempts = 4;  // unreachable endpoints that are tried for one request
inline constexpr milliseconds kMinTimeLeft(20);  // with less time left, an attempt cannot succeed and is not started
// A limited endpoint may make a call wait this long although another endpoint takes it at once.
inline constexpr milliseconds kShortPermitWait(5);
inline constexpr std::uint32_t kMaxPermitRefusals = 8;  // endpoints that refuse one call a permit
inline constexpr int kFirstServerError = 500;

enum class attempt_result : std::uint8_t {
  kAnswered,
  kNotSent,
  kNotRun,
  kMayHaveRun,
  kCallerDisconnected,
  kCancelled,  // ended by the router, for example because another attempt has won; may have run
};

// Outcome of one attempt to send the call to an endpoint.
struct attempt_outcome {
  attempt_result result = attempt_result::kNotSent;
  http_response response;      // complete with kAnswered
  shared_limit::share memory;  // of its body
  bool is_streamed = false;    // the response was too long to be buffered and was streamed to the caller
  bool is_dropped = false;     // the response was too long to be buffered and may_stream was false
  call_outcome call_result = call_outcome::kFailed;
  std::optional<error> broken;  // why there is no complete response
  std::string failure;          // the same in short, for the log
};

struct plain_attempt {
  plain_attempt(http_client& client, direct_call_ptr sent_call, chosen_endpoint target, const send_permit& taken)
      : call(std::move(sent_call)), endpoint(std::move(target)), permit(taken), upstream(client) {}

  direct_call_ptr call;
  chosen_endpoint endpoint;
  send_permit permit;
  time_point deadline;
  bool may_retry = false;
  bool is_adaptive = false;  // the estimates learn from it
  microseconds predicted{0};
  // Whether a response with this status that is too long to be buffered may be streamed to the caller. Null: always.
  std::function<bool(int status)> may_stream;
  http_call upstream;
  bool is_cancelled = false;
  bool is_send_refused = false;  // the key of the caller is not valid any more
  call_estimates::call_id estimate_id = 0;
  time_point begin;  // start of the send

  // Ends the attempt. The endpoint notices that the connection closes.
  void Cancel() {
    is_cancelled = true;
    upstream.Cancel();
  }
};

using plain_attempt_ptr = std::shared_ptr<plain_attempt>;

// ---------------------------------------------------------------------------------------------------------------------
// 2. choices, sends and estimates
// ---------------------------------------------------------------------------------------------------------------------

class plain_attempts {
 public:
  struct choice {
    chosen_endpoint endpoint;
    milliseconds max_permit_wait{0};  // that the call may wait for a permit of the endpoint
    microseconds predicted{0};        // time until the response; 0 without the adaptive policy
  };

  plain_attempts(kernel& services, const direct_settings& settings)
      : kernel_(services), settings_(settings), gate_(services, settings), sender_(services) {}

  void Start();
  void Stop() {
    cleanup_timer_.Cancel();
    gate_.Stop();
  }

  // Waits until an endpoint of the service has room for the call; see call_gate::Enter.
  task<std::optional<call_refusal>> AwaitRoom(const direct_call_ptr& call) {
    return gate_.Enter(call, Estimates(call->Service().name).ResponseTime(0.5));
  }

  // `avoid`: endpoints that must not get the call. With the adaptive policy, the choice rests on the estimates and
  // prefers endpoints outside `avoided_zone`; endpoints without room get a call only if it is the first send of the
  // request and none has room.
  std::optional<choice> Choose(const direct_call& call, const std::vector<endpoint_name>& avoid, bool is_adaptive,
                               const zone_name& avoided_zone = {});

  // Sends the call and reads the response. Never throws; the outcome is recorded for health, suspects and estimates.
  task<attempt_outcome> Send(plain_attempt_ptr attempt);

  // Sends a buffered response to the caller.
  task<call_outcome> Forward(direct_call_ptr call, attempt_outcome& outcome);

  // Retry-After of a refusal.
  milliseconds RetryAfter(const direct_call& call) const;

  // True if every endpoint that may get the call is predicted to answer after its deadline.
  bool IsTooLate(const direct_call& call, const std::vector<endpoint_name>& avoid);

  // Time after which a slow attempt is joined by another one.
  microseconds SecondAttemptDelay(const direct_call& call);

 private:
  call_estimates& Estimates(const std::string& service);
  bool ExcludeBusy(const std::vector<chosen_endpoint>& endpoints, std::vector<endpoint_view>& views) const;
  task<> ReadResponse(plain_attempt_ptr attempt, const endpoint_reply& reply, attempt_outcome& outcome);
  task<> ReadBody(plain_attempt_ptr attempt, bool is_forwardable, bool is_stream, attempt_outcome& outcome);
  task<> FinishStream(plain_attempt_ptr attempt, attempt_outcome& outcome);
  // Called before the first byte of a response goes to the caller, who can take up the rest if it is a stream.
  void RecordOrigin(const direct_call& call, int status);
  void RecordStart(plain_attempt& attempt);
  void RecordEnd(const plain_attempt& attempt, attempt_outcome& outcome);
  void RecordHealth(const plain_attempt& attempt, attempt_outcome& outcome);
  void RecordEstimate(const plain_attempt& attempt, const attempt_outcome& outcome);
  void LogFailure(const plain_attempt& attempt, const attempt_outcome& outcome) const;

  kernel& kernel_;
  const direct_settings& settings_;
  call_gate gate_;
  call_sender sender_;
  caller_auth* auth_ = nullptr;
  endpoint_tracker* endpoint_tracker_ = nullptr;
  answer_memory* answers_ = nullptr;
  suspect_tracker* suspect_tracker_ = nullptr;
  origin_tracker* origins_ = nullptr;
  metrics_registry* metrics_ = nullptr;
  std::map<std::string, call_estimates> estimates_;  // by service
  numbering_tracker numberings_;
  timer_subscription cleanup_timer_;
};

}  // namespace persimmon
