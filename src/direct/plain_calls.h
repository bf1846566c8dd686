// Plain calls: calls to services other than models. The caller receives a complete response of an endpoint, or an error
// that states whether the call may have run. A service of the kernel.
#pragma once

#include <optional>
#include <vector>

#include "direct/caller_auth.h"
#include "direct/direct_call.h"
#include "direct/endpoint_tracker.h"
#include "direct/hedged_calls.h"
#include "direct/plain_attempts.h"
#include "direct/send_budgets.h"
#include "direct/suspect_tracker.h"

namespace persimmon {

class plain_calls {
 public:
  plain_calls(kernel& services, const direct_settings& settings, http_client& client);

  void Start();
  void Stop() { attempts_.Stop(); }

  task<call_outcome> Serve(direct_call_ptr call);

 private:
  // State of a call whose attempts follow one another.
  struct progress {
    bool is_adaptive = false;
    std::vector<endpoint_name> avoid;
    std::uint32_t connect_failures = 0;
    std::uint32_t permit_refusals = 0;
    bool may_have_run = false;
    bool is_finished = false;                       // no further attempt is made
    std::optional<attempt_outcome> error_response;  // forwarded if no other attempt succeeds
  };

  task<call_outcome> ServeInTurn(direct_call_ptr call, bool is_adaptive);
  std::optional<plain_attempts::choice> ChooseNext(direct_call& call, const progress& state);
  task<std::optional<send_permit>> TakePermit(direct_call_ptr call, plain_attempts::choice chosen, progress& state);
  plain_attempt_ptr MakeAttempt(const direct_call_ptr& call, const plain_attempts::choice& chosen,
                                const send_permit& permit, bool is_adaptive);
  task<std::optional<call_outcome>> RunAttempt(plain_attempt_ptr attempt, progress& state);
  task<call_outcome> EndWithoutAnswer(direct_call_ptr call, progress& state);

  kernel& kernel_;
  const direct_settings& settings_;
  http_client& client_;
  caller_auth* auth_ = nullptr;
  plain_attempts attempts_;
  hedged_calls hedged_calls_;
  endpoint_tracker* endpoint_tracker_ = nullptr;
  send_budgets* budgets_ = nullptr;
  suspect_tracker* suspect_tracker_ = nullptr;
  metrics_registry* metrics_ = nullptr;
};

}  // namespace persimmon
