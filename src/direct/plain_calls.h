// Plain calls: calls to services other than models. The caller receives a complete response of an endpoint, or an error
// that states whether the call may have run. A service of the kernel.
#pragma once

#include <string>
#include <vector>

#include "direct/caller_auth.h"
#include "direct/direct_call.h"
#include "direct/endpoint_tracker.h"
#include "direct/send_budgets.h"
#include "direct/suspect_tracker.h"

namespace persimmon {

class plain_calls {
 public:
  plain_calls(kernel& services, const direct_settings& settings, http_client& client);

  void Start();
  void Stop() {}

  task<call_outcome> Serve(direct_call_ptr call);

 private:
  enum class attempt_result : std::uint8_t { kAnswered, kNotSent, kNotRun, kMayHaveRun, kCallerDisconnected };

  // Outcome of one attempt to send the call to an endpoint.
  struct attempt_outcome {
    attempt_result result = attempt_result::kNotSent;
    http_response response;    // complete with kAnswered
    bool is_streamed = false;  // the response exceeded kMaxBufferedBytes and was streamed to the caller
    call_outcome call_result = call_outcome::kFailed;
    std::string failure;
  };

  struct choice {
    chosen_endpoint endpoint;
    milliseconds max_permit_wait{0};  // that the call may wait for a permit of the endpoint
  };

  std::optional<choice> Choose(const direct_call& call, const std::vector<endpoint_name>& avoid) const;
  task<attempt_outcome> SendAttempt(direct_call_ptr call, chosen_endpoint endpoint, send_permit permit,
                                    time_point deadline, bool may_retry);
  task<call_outcome> ForwardResponse(direct_call_ptr call, attempt_outcome& outcome);
  milliseconds RetryAfter(const direct_call& call) const;

  kernel& kernel_;
  const direct_settings& settings_;
  http_client& client_;
  caller_auth* auth_ = nullptr;
  endpoint_tracker* endpoint_tracker_ = nullptr;
  send_budgets* budgets_ = nullptr;
  suspect_tracker* suspect_tracker_ = nullptr;
};

}  // namespace persimmon
