// Idempotent plain calls whose attempts overlap: a slow attempt goes on while a second one runs at another endpoint,
// and the first good response is forwarded. Used where the adaptive policy is in effect (docs/load-control.md, section
// 4).
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "core/mailbox.h"
#include "core/metrics.h"
#include "direct/plain_attempts.h"
#include "direct/send_budgets.h"

namespace persimmon {

class hedged_calls {
 public:
  hedged_calls(kernel& services, http_client& client, plain_attempts& attempts)
      : kernel_(services), client_(client), attempts_(attempts) {}

  void Start();

  task<call_outcome> Serve(direct_call_ptr call);

 private:
  struct finished_attempt {
    plain_attempt_ptr attempt;
    attempt_outcome outcome;
  };

  // State of one call. Attempts that have lost keep it alive until they have ended.
  struct race {
    race(asio::io_context& context, direct_call_ptr served, const attempt_schedule& planned)
        : call(std::move(served)), schedule(planned), finished(context) {}

    // Makes the attempt the only one that is wanted; null: none is. Cancels the others.
    void CancelAllBut(const plain_attempt* kept);

    direct_call_ptr call;
    attempt_schedule schedule;
    mailbox<finished_attempt> finished;
    std::vector<plain_attempt_ptr> in_progress;
    std::vector<endpoint_name> sent_to;       // in order, without endpoints that got nothing
    const plain_attempt* winner = nullptr;    // the attempt whose response is or will be forwarded
    std::vector<endpoint_name> avoid;         // endpoints of all attempts
    std::optional<attempt_outcome> fallback;  // a server error, forwarded if no other attempt succeeds
    std::optional<call_refusal> refusal;      // the key of the caller is not valid any more
    std::uint32_t connect_failures = 0;
    std::uint32_t permit_refusals = 0;
    bool may_have_run = false;
  };
  using race_ptr = std::shared_ptr<race>;

  enum class start_result : std::uint8_t { kStarted, kTryOther, kNone };

  task<call_outcome> Run(race_ptr state);
  task<> StartDueAttempts(race_ptr state);
  task<start_result> StartAttempt(race_ptr state);
  std::optional<plain_attempts::choice> ChooseNext(race& state);
  void Launch(const race_ptr& state, const plain_attempts::choice& chosen, const send_permit& permit);
  task<> RunAttempt(race_ptr state, plain_attempt_ptr attempt);
  task<std::optional<call_outcome>> HandleOutcome(race_ptr state, finished_attempt finished);
  task<call_outcome> EndWithoutAnswer(race_ptr state);
  void RecordWinner(const race& state, const plain_attempt& winner);
  static bool MayStream(race& state, const plain_attempt& attempt, int status);
  static bool IsDue(const race& state);
  static bool MustUseFallback(const race& state);
  static microseconds WaitTime(const race& state);

  kernel& kernel_;
  http_client& client_;
  plain_attempts& attempts_;
  caller_auth* auth_ = nullptr;
  endpoint_tracker* endpoint_tracker_ = nullptr;
  send_budgets* budgets_ = nullptr;
  metrics_registry* metrics_ = nullptr;
};

}  // namespace persimmon
