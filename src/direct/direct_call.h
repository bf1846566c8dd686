// One request of a caller on its way to an endpoint: what all kinds of calls share.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/kernel.h"
#include "net/http.h"
#include "persimmon/kv_placement.h"
#include "persimmon/routes.h"
#include "platform/requests.h"

namespace persimmon {

// How a call ended, for logs and metrics.
enum class call_outcome : std::uint8_t {
  kAnswered,    // the endpoint's whole answer was passed on
  kRefused,     // truthfully: it has not run
  kFailed,      // it may have run, or its answer broke off
  kCallerGone,  // the caller left first
};

// "answered", "refused", "failed" or "caller_gone".
const char* CallOutcomeName(call_outcome outcome);

// An answer of the router's own, with a JSON body. `retry_after`: when the caller may come back; absent: not told.
http_response MakeOwnAnswer(int status, std::string body, const std::string& attempt,
                            std::optional<milliseconds> retry_after);

class direct_call : public std::enable_shared_from_this<direct_call> {
 public:
  direct_call(std::shared_ptr<http_exchange> exchange, platform::request_terms terms,
              std::shared_ptr<const routing_table> table, const route_record& route, const service_record& service,
              time_point arrival);

  // Starts to watch for the caller leaving.
  void WatchCaller();

  const platform::request_terms& Terms() const { return terms_; }
  const route_record& Route() const { return route_; }
  const service_record& Service() const { return service_; }
  const http_request& Forwarded() const { return forwarded_; }
  time_point Arrival() const { return arrival_; }
  time_point End() const { return end_; }  // the caller's time budget or the route's timeout, whichever ends first
  fingerprint_number Fingerprint() const { return fingerprint_; }
  revision_number Revision() const { return table_->Revision(); }
  milliseconds TimeLeft(time_point now) const;
  milliseconds Age(time_point now) const;
  bool IsCallerGone() const { return caller_gone_; }
  http_exchange& Exchange() { return *exchange_; }

  // Called once when the caller leaves; replaces the previous function. Called at once if the caller has left.
  void OnCallerGone(std::function<void()> cancel);
  void ClearCancel() { cancel_ = nullptr; }

  // Answers of the router's own. Each is sent at most once, and only while no answer has begun.
  task<call_outcome> Refuse(std::string reason, milliseconds retry_after);
  task<call_outcome> Fail(int status, std::string reason);

  // Breaks off an answer that has begun, so that the caller sees that it is not whole.
  call_outcome BreakOff(const std::string& reason);

  call_outcome NoteGone();

  std::string reason;     // of the outcome, for the log
  std::string endpoints;  // that it was sent to, in order, for the log
  std::uint32_t sends = 0;
  milliseconds waited{0};  // in the queue, until engines were reserved
  wait_reason waited_for = wait_reason::kNone;
  milliseconds first_event{0};  // from the arrival; 0: none has been passed on

 private:
  task<void> RespondOwn(int status, const std::string& code, std::optional<milliseconds> retry_after);

  std::shared_ptr<http_exchange> exchange_;
  platform::request_terms terms_;
  std::shared_ptr<const routing_table> table_;  // keeps route and service alive
  const route_record& route_;
  const service_record& service_;
  http_request forwarded_;
  fingerprint_number fingerprint_ = 0;
  time_point arrival_;
  time_point end_;
  bool caller_gone_ = false;
  std::function<void()> cancel_;
};

using direct_call_ptr = std::shared_ptr<direct_call>;

// True if the head answers the request with this attempt id. An answer without an id is taken as its own.
http_call::head_filter AnswersAttempt(const std::string& attempt);

}  // namespace persimmon
