// Sends a caller's request to an endpoint and judges the response, for plain calls, prefills and decodes alike.
#pragma once

#include "core/kernel.h"
#include "core/metrics.h"
#include "direct/direct_call.h"
#include "direct/endpoint_tracker.h"
#include "persimmon/reply_proof.h"

namespace persimmon {

// Head of a response that belongs to the request, and what it proves.
struct endpoint_reply {
  http_response_head head;
  platform::response_metadata metadata;
  reply_verdict verdict = reply_verdict::kResponse;

  bool operator==(const endpoint_reply&) const = default;
};

class call_sender {
 public:
  explicit call_sender(kernel& services) : kernel_(services) {}

  void Start();

  // Sends the request over a connection that has not carried its attempt id before; a request without an id gets a new
  // connection. Responses to other requests and responses that name none are dropped. Errors: those of http_call::Send.
  task<result<endpoint_reply>> Send(http_call& upstream, direct_call_ptr call, chosen_endpoint endpoint,
                                    http_request request, time_point deadline, http_call::send_check may_send);

 private:
  bool Matches(const direct_call& call, const chosen_endpoint& endpoint, const http_call& upstream,
               const http_response_head& head);
  void RecordUnproven(const direct_call& call, const chosen_endpoint& endpoint, const http_call& upstream,
                      const endpoint_reply& reply);

  kernel& kernel_;
  metrics_registry* metrics_ = nullptr;
};

}  // namespace persimmon
