// The transitions of the at-most-once protocol. The safeguards that the state machine enforces are a template
// parameter: programs use StepClaim, which has all of them, and tests disable one at a time to show that the model
// checker then finds a violation.
//
// Rules that these transitions enforce:
//   rule 1: An attempt id is claimed only once.
//   rule 2: After a write whose reply was lost, the row is read, and the call is sent only if it is this attempt's row.
//   rule 4: A claim is replaced only after its tombstone is confirmed, never because its agent was lost or restarted.
//   rule 5: Once the call has been sent, not_run is reported only after a confirmed tombstone.
#pragma once

#include <concepts>
#include <utility>

#include "persimmon/claims.h"

namespace persimmon::detail {

struct all_safeguards {
  static constexpr bool kTombstoneFirst = true;  // rule 4: replace a claim only after its tombstone is confirmed
  static constexpr bool kClaimOnce = true;       // rule 1: claim an attempt id only once
  static constexpr bool kProveNotRun = true;     // rule 5: once sent, report not_run only after a confirmed tombstone
  static constexpr bool kRefuseTakeover = true;  // rule 4: never replace the claim of a lost or restarted agent
};

template <class type>
concept claim_safeguards = requires {
  { type::kTombstoneFirst } -> std::convertible_to<bool>;
  { type::kClaimOnce } -> std::convertible_to<bool>;
  { type::kProveNotRun } -> std::convertible_to<bool>;
  { type::kRefuseTakeover } -> std::convertible_to<bool>;
};

template <claim_safeguards safeguards>
class claim_stepper {
 public:
  explicit claim_stepper(const claim_state& state) : next_{state, {}} {}

  claim_transition Step(const claim_event& event) {
    if (next_.state.step != claim_step::kEnded) {
      std::visit([this](const auto& content) { this->On(content); }, event);
    }
    return std::move(next_);
  }

 private:
  void On(const claim_started&) {
    if (next_.state.step == claim_step::kIdle) {
      Transition(claim_step::kInserting, insert_claim{next_.state.own_row});
    }
  }

  void On(const store_replied& event) {
    switch (next_.state.step) {
      case claim_step::kInserting:
        return OnInserted(event.result);
      case claim_step::kVerifyingInsert:
        return OnRowRead(event.result);
      case claim_step::kReplacing:
        return OnReplaced(event.result);
      case claim_step::kVerifyingReplace:
        return OnRowRead(event.result);
      default:
        return;
    }
  }

  void OnInserted(const claim_result& result) {
    switch (result.kind) {
      case claim_result_kind::kWritten:
        return Send();
      case claim_result_kind::kConflict:
        return IsOwn(result.current) ? Send() : OnOtherHolder(result.current);
      case claim_result_kind::kUnknown:
        return Transition(claim_step::kVerifyingInsert, read_claim{next_.state.own_row.key});
      default:
        return End(outcome_kind::kNotRun, claim_error::kStoreUnavailable);
    }
  }

  // Rule 2. If the row is not this attempt's, the attempt ends without ever sending the call. Its lost write may still
  // take effect later; the row then names an attempt that never runs, and a resend can tombstone and replace it.
  void OnRowRead(const claim_result& result) {
    if (result.kind != claim_result_kind::kFound) {
      return End(outcome_kind::kNotRun, claim_error::kStoreUnavailable);
    }
    if (IsOwn(result.current)) {
      return Send();
    }
    if (result.current.phase == claim_phase::kDone) {
      return OnOtherHolder(result.current);
    }
    End(outcome_kind::kNotRun, claim_error::kInProgress);
  }

  void OnReplaced(const claim_result& result) {
    switch (result.kind) {
      case claim_result_kind::kWritten:
        return Send();
      case claim_result_kind::kConflict:
        return OnRowRead({claim_result_kind::kFound, result.current});
      case claim_result_kind::kUnknown:
        return Transition(claim_step::kVerifyingReplace, read_claim{next_.state.own_row.key});
      default:
        return End(outcome_kind::kNotRun, claim_error::kStoreUnavailable);
    }
  }

  // Rule 4: another attempt of this key holds the row.
  void OnOtherHolder(const claim_row& row) {
    next_.state.other_row = row;
    if (row.phase == claim_phase::kDone) {
      return Transition(claim_step::kFetchingAnswer, query_attempt_status{row, false});
    }
    if constexpr (!safeguards::kTombstoneFirst) {
      return Replace();
    }
    Transition(claim_step::kTombstoningHolder, request_tombstone{row});
  }

  void On(const attempt_reported& event) {
    const bool is_own = event.attempt == next_.state.own_row.attempt;
    switch (next_.state.step) {
      case claim_step::kTombstoningHolder:
      case claim_step::kWaitingForOther:
      case claim_step::kFetchingAnswer:
        return is_own ? void() : OnOtherReported(event.status);
      case claim_step::kTombstoningOwn:
      case claim_step::kWaitingForOwn:
        return is_own ? OnOwnReported(event.status) : void();
      default:
        return;
    }
  }

  void OnOtherReported(attempt_report_status status) {
    const claim_step step = next_.state.step;
    const bool row_is_done = step == claim_step::kFetchingAnswer;
    switch (status) {
      case attempt_report_status::kAnswered:
        return End(outcome_kind::kAnswered, claim_error::kNone);
      case attempt_report_status::kNotRun:
        return row_is_done ? End(outcome_kind::kMayHaveRun, claim_error::kAlreadyAnswered) : Replace();
      case attempt_report_status::kRunning:
        if (step == claim_step::kTombstoningHolder && !next_.state.has_deadline_passed) {
          return Transition(claim_step::kWaitingForOther, query_attempt_status{next_.state.other_row, true});
        }
        return End(outcome_kind::kMayHaveRun, claim_error::kInProgress);
      case attempt_report_status::kDone:
        return End(outcome_kind::kMayHaveRun, claim_error::kAlreadyAnswered);
      case attempt_report_status::kFailed:
        return End(outcome_kind::kMayHaveRun, claim_error::kEndpointLost);
      case attempt_report_status::kUnknown:
      case attempt_report_status::kOtherIncarnation:
      case attempt_report_status::kUnreachable:
        if constexpr (!safeguards::kRefuseTakeover) {
          return Replace();
        }
        return End(outcome_kind::kMayHaveRun, row_is_done ? claim_error::kAlreadyAnswered : claim_error::kEndpointLost);
    }
  }

  void On(const call_replied& event) {
    const claim_step step = next_.state.step;
    const bool awaits_reply =
        step == claim_step::kSent || step == claim_step::kTombstoningOwn || step == claim_step::kWaitingForOwn;
    if (awaits_reply && event.reply == call_reply::kAnswered) {
      return EndAnswered();
    }
    if (step != claim_step::kSent) {
      return;
    }
    switch (event.reply) {
      case call_reply::kNotSent:
        return End(outcome_kind::kNotRun, claim_error::kEndpointLost);
      case call_reply::kMayHaveRun:
        return End(outcome_kind::kMayHaveRun, claim_error::kEndpointLost);
      default:
        return RequestOwnTombstone();
    }
  }

  // Rule 5. Only a tombstone proves that no delayed copy of the call can still run.
  void RequestOwnTombstone() {
    if constexpr (!safeguards::kProveNotRun) {
      return End(outcome_kind::kNotRun, FailureCode());
    }
    Transition(claim_step::kTombstoningOwn, request_tombstone{next_.state.own_row});
  }

  void OnOwnReported(attempt_report_status status) {
    switch (status) {
      case attempt_report_status::kAnswered:
        return EndAnswered();
      case attempt_report_status::kNotRun:
        if constexpr (!safeguards::kClaimOnce) {
          return Reclaim();
        }
        return End(outcome_kind::kNotRun, FailureCode());
      case attempt_report_status::kRunning:
        if (next_.state.step == claim_step::kTombstoningOwn && !next_.state.has_deadline_passed) {
          return Transition(claim_step::kWaitingForOwn, query_attempt_status{next_.state.own_row, true});
        }
        return End(outcome_kind::kMayHaveRun, claim_error::kTimeout);
      default:
        return End(outcome_kind::kMayHaveRun, FailureCode());
    }
  }

  void On(const deadline_passed&) {
    const claim_step step = next_.state.step;
    next_.state.has_deadline_passed = true;
    switch (step) {
      case claim_step::kSent:
        return RequestOwnTombstone();
      case claim_step::kTombstoningOwn:
        return;  // the reply to the tombstone request, or its absence, decides
      case claim_step::kWaitingForOwn:
        return End(outcome_kind::kMayHaveRun, claim_error::kTimeout);
      case claim_step::kWaitingForOther:
        return End(outcome_kind::kMayHaveRun, claim_error::kInProgress);
      case claim_step::kFetchingAnswer:
        return End(outcome_kind::kMayHaveRun, claim_error::kAlreadyAnswered);
      case claim_step::kTombstoningHolder:
        // The attempt that holds the row may be running, and a run of any attempt of the same key counts as a run
        // of the call.
        return End(outcome_kind::kMayHaveRun, claim_error::kTimeout);
      default:
        return End(outcome_kind::kNotRun, claim_error::kTimeout);
    }
  }

  // Runs only with kClaimOnce disabled: claims the same attempt id again for another endpoint.
  void Reclaim() {
    const attempt_id attempt = next_.state.own_row.attempt;
    next_.state.own_row.endpoint = safeguards::OtherEndpoint(next_.state.own_row.endpoint);
    Transition(claim_step::kReplacing, replace_claim{next_.state.own_row, attempt});
  }

  bool IsOwn(const claim_row& row) const { return row.attempt == next_.state.own_row.attempt; }

  claim_error FailureCode() const {
    return next_.state.has_deadline_passed ? claim_error::kTimeout : claim_error::kEndpointLost;
  }

  void Send() { Transition(claim_step::kSent, send_call{next_.state.own_row}); }

  void Replace() {
    Transition(claim_step::kReplacing, replace_claim{next_.state.own_row, next_.state.other_row.attempt});
  }

  void EndAnswered() {
    if (!next_.state.own_row.key.empty()) {
      claim_row done = next_.state.own_row;
      done.phase = claim_phase::kDone;
      next_.actions.emplace_back(finish_claim{std::move(done)});
    }
    End(outcome_kind::kAnswered, claim_error::kNone);
  }

  void End(outcome_kind outcome, claim_error code) { Transition(claim_step::kEnded, end_claim{outcome, code}); }

  void Transition(claim_step step, claim_action action) {
    next_.state.step = step;
    next_.actions.push_back(std::move(action));
  }

  claim_transition next_;
};

}  // namespace persimmon::detail
