// What the head of a response from an endpoint proves: whose response it is, and whether its request has not run.
//
// A faulty endpoint may send a response late, twice or while it runs the request. A request that is told "not run" is
// sent again, so without proof it counts as one that may have run.
#pragma once

#include <cstdint>
#include <string>

#include "persimmon/types.h"

namespace persimmon {

// What the head of a response states.
struct reply_statement {
  int status = 0;               // of HTTP
  std::string attempt;          // attempt id of the request that it answers; empty: it names none
  bool states_not_run = false;  // that the endpoint has not run the request and never will
  bool has_seal = false;        // which an endpoint adds to the response of a request that it has run

  bool operator==(const reply_statement&) const = default;
};

// The request whose response is expected, and the connection over which it was sent.
struct reply_context {
  std::string attempt;              // attempt id of the request; empty: it has none
  bool is_connection_new = true;    // the connection has carried no other request before
  bool has_carried_before = false;  // the connection has carried an earlier send of the same attempt id

  bool operator==(const reply_context&) const = default;
};

enum class reply_verdict : std::uint8_t {
  // Not a response to the request, which is read and dropped.
  kOtherRequest,    // names another request, or one although the request has no id
  kNamesNoRequest,  // names none although endpoints repeat the id of each request that has one
  // A response to the request.
  kResponse,  // proves nothing about a request that has not run
  kNotRun,    // the endpoint has not run the request and never will
  // A response to the request that implies "not run" without proof: the request may have run.
  kNoStatement,        // a status that means "not run" to callers, without the statement
  kUnexpectedStatus,   // the statement with a status that is no refusal
  kContradictingSeal,  // the statement with the seal of a request that has run
  kUsedConnection,     // possibly a copy of the response to an earlier send over the same connection
};

// 421 proves nothing by itself: only the statement does, although an endpoint that is not the expected one answers 421.
reply_verdict JudgeReply(const reply_statement& reply, const reply_context& context);

// True if the response belongs to the request.
bool IsOwnReply(reply_verdict verdict);

// True if the response implies "not run" without proof.
bool IsUnprovenRefusal(reply_verdict verdict);

// "other_request", "names_no_request", "response", "not_run", "no_statement", "unexpected_status", "contradicting_seal"
// or "used_connection".
const char* ReplyVerdictName(reply_verdict verdict);

}  // namespace persimmon
