#include "direct/call_sender.h"

#include "core/event_log.h"
#include "core/telemetry.h"

namespace persimmon {
namespace {

constexpr const char* kComponent = "router.replies";

reply_statement StatementOf(const http_response_head& head, const platform::response_metadata& metadata) {
  return {head.status, metadata.attempt, metadata.states_not_run, metadata.has_seal};
}

reply_context ContextOf(const direct_call& call, const http_call& upstream) {
  return {call.Metadata().attempt, !upstream.IsReused(), call.HasUsed(upstream.Connection())};
}

}  // namespace

void call_sender::Start() { metrics_ = &kernel_.Find<telemetry>("telemetry").Metrics(); }

task<result<endpoint_reply>> call_sender::Send(http_call& upstream, direct_call_ptr call, chosen_endpoint endpoint,
                                               http_request request, time_point deadline,
                                               http_call::send_check may_send) {
  auto matches = [this, call, &endpoint, &upstream](const http_response_head& head) {
    return Matches(*call, endpoint, upstream, head);
  };
  auto may_reuse = [call](connection_number connection) {
    return !call->Metadata().attempt.empty() && !call->HasUsed(connection);
  };
  auto head = co_await upstream.Send(endpoint.address, std::move(request), deadline, std::move(matches),
                                     std::move(may_send), std::move(may_reuse));
  if (!head) {
    co_return head.error();  // the connection is closed
  }
  endpoint_reply reply;
  reply.head = std::move(head.value());
  reply.metadata = platform::ParseResponseHeaders(reply.head);
  reply.verdict = JudgeReply(StatementOf(reply.head, reply.metadata), ContextOf(*call, upstream));
  call->RecordUse(upstream.Connection());
  if (IsUnprovenRefusal(reply.verdict)) {
    RecordUnproven(*call, endpoint, upstream, reply);
    upstream.Cancel();  // the endpoint may be running the request; closing the connection ends that
  }
  co_return reply;
}

bool call_sender::Matches(const direct_call& call, const chosen_endpoint& endpoint, const http_call& upstream,
                          const http_response_head& head) {
  const auto metadata = platform::ParseResponseHeaders(head);
  const reply_verdict verdict = JudgeReply(StatementOf(head, metadata), ContextOf(call, upstream));
  if (IsOwnReply(verdict)) {
    return true;
  }
  metrics_
      ->AddCounter("persimmon_replies_dropped_total", "Responses of endpoints that belong to no request in progress.",
                   {{"reason", ReplyVerdictName(verdict)}})
      .Increment();
  Events()
      .Line(kComponent, "reply_dropped")
      .Request(call.Metadata().attempt)
      .Add("endpoint", endpoint.name.value)
      .Add("reason", ReplyVerdictName(verdict))
      .Add("names", metadata.attempt)
      .Add("status", head.status)
      .Add("connection", upstream.Connection())
      .Add("reused", upstream.IsReused());
  return false;
}

void call_sender::RecordUnproven(const direct_call& call, const chosen_endpoint& endpoint, const http_call& upstream,
                                 const endpoint_reply& reply) {
  metrics_
      ->AddCounter("persimmon_unproven_refusals_total",
                   "Responses that imply that a request has not run, without proof.",
                   {{"reason", ReplyVerdictName(reply.verdict)}})
      .Increment();
  Events()
      .Line(kComponent, "refusal_unproven")
      .Request(call.Metadata().attempt)
      .Add("endpoint", endpoint.name.value)
      .Add("reason", ReplyVerdictName(reply.verdict))
      .Add("status", reply.head.status)
      .Add("connection", upstream.Connection())
      .Add("reused", upstream.IsReused());
}

}  // namespace persimmon
