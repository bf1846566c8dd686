// Calls of plain services: one whole answer of an endpoint, or a truthful refusal. A service of the kernel.
#pragma once

#include <map>
#include <string>

#include "direct/crash_guard.h"
#include "direct/direct_call.h"
#include "direct/endpoint_board.h"
#include "persimmon/send_budget.h"

namespace persimmon {

// Budgets of extra sends, one a service. A service of the kernel.
class send_budgets {
 public:
  send_budgets(kernel& services, const direct_settings& settings) : kernel_(services), settings_(settings) {}
  void Start() {}
  void Stop() {}

  send_budget& For(const std::string& service);

 private:
  kernel& kernel_;
  const direct_settings& settings_;
  std::map<std::string, send_budget> budgets_;
};

class plain_calls {
 public:
  plain_calls(kernel& services, const direct_settings& settings, http_client& client);

  void Start();
  void Stop() {}

  task<call_outcome> Serve(direct_call_ptr call);

 private:
  enum class try_result : std::uint8_t { kAnswered, kNotSent, kNotRun, kMayHaveRun, kCallerGone };

  // What one try has yielded.
  struct attempt {
    try_result result = try_result::kNotSent;
    http_response answer;      // whole, with kAnswered
    bool is_streamed = false;  // the answer was too long to be kept and has been passed on
    call_outcome streamed = call_outcome::kFailed;
    std::string failure;
  };

  std::optional<chosen_endpoint> Choose(const direct_call& call, const std::vector<endpoint_name>& avoid) const;
  task<attempt> Try(direct_call_ptr call, chosen_endpoint endpoint, time_point end, bool may_repeat);
  task<call_outcome> PassOn(direct_call_ptr call, attempt& done);
  milliseconds RetryAfter() const;

  kernel& kernel_;
  const direct_settings& settings_;
  http_client& client_;
  endpoint_board* board_ = nullptr;
  send_budgets* budgets_ = nullptr;
  crash_guard* crashes_ = nullptr;
};

}  // namespace persimmon
