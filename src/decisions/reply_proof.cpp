#include "persimmon/reply_proof.h"

namespace persimmon {
namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

// Statuses from which a caller concludes that its request has not run.
bool ImpliesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests || status == kUnavailable;
}

// Statuses with which an endpoint states that it has not run a request.
bool IsRefusal(int status) { return ImpliesNotRun(status) || status == kBadRequest; }

}  // namespace

reply_verdict JudgeReply(const reply_statement& reply, const reply_context& context) {
  if (reply.attempt != context.attempt) {
    return reply.attempt.empty() ? reply_verdict::kNamesNoRequest : reply_verdict::kOtherRequest;
  }
  if (!reply.states_not_run) {
    return ImpliesNotRun(reply.status) ? reply_verdict::kNoStatement : reply_verdict::kResponse;
  }
  if (!IsRefusal(reply.status)) {
    return reply_verdict::kUnexpectedStatus;
  }
  if (reply.has_seal) {
    return reply_verdict::kContradictingSeal;
  }
  // Nothing but the connection tells responses without an id apart.
  const bool is_used = context.has_carried_before || (context.attempt.empty() && !context.is_connection_new);
  return is_used ? reply_verdict::kUsedConnection : reply_verdict::kNotRun;
}

bool IsOwnReply(reply_verdict verdict) {
  return verdict != reply_verdict::kOtherRequest && verdict != reply_verdict::kNamesNoRequest;
}

bool IsUnprovenRefusal(reply_verdict verdict) {
  return IsOwnReply(verdict) && verdict != reply_verdict::kResponse && verdict != reply_verdict::kNotRun;
}

const char* ReplyVerdictName(reply_verdict verdict) {
  switch (verdict) {
    case reply_verdict::kOtherRequest:
      return "other_request";
    case reply_verdict::kNamesNoRequest:
      return "names_no_request";
    case reply_verdict::kResponse:
      return "response";
    case reply_verdict::kNotRun:
      return "not_run";
    case reply_verdict::kNoStatement:
      return "no_statement";
    case reply_verdict::kUnexpectedStatus:
      return "unexpected_status";
    case reply_verdict::kContradictingSeal:
      return "contradicting_seal";
    case reply_verdict::kUsedConnection:
      return "used_connection";
  }
  return "unknown";
}

}  // namespace persimmon
