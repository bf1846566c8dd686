// Messages between the system's processes and their frames.
//
// Sections
//   1. values shared by messages
//   2. connection messages: hello, heartbeat
//   3. slots and model work
//   4. plain service calls
//   5. attempts: cancel and status
//   6. load reports (UDP)
//   7. configuration, account limits, claims
//   8. routers that go straight to endpoints (UDP)
//   9. frames
//
// A frame is a fixed header and a cereal portable binary archive. Decoding never throws and never reads past the input.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "core/settings.h"
#include "persimmon/claims.h"
#include "persimmon/error.h"
#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. values shared by messages
// ---------------------------------------------------------------------------------------------------------------------

inline constexpr std::uint32_t kFrameMagic = 0x50524d31;     // "PRM1"
inline constexpr std::uint16_t kProtocolVersion = 1;         // raised with every incompatible change of a message
inline constexpr std::size_t kFrameHeaderBytes = 12;         // magic 4, version 2, type 2, length 4
inline constexpr std::uint32_t kMaxFrameBytes = 16U << 20U;  // longer frames are refused
inline constexpr std::size_t kMaxDatagramBytes = 1400;       // fits one Ethernet frame

enum class slot_role : std::uint8_t { kPrefill, kDecode, kService };

// "prefill", "decode" or "service".
const char* RoleName(slot_role role);

// Where a decode engine fetches the KV cache of a prefill from.
struct kv_ticket {
  std::string engine;        // address of the prefill engine, IP:PORT
  std::string id;            // name of the KV cache on that engine; empty: none
  std::uint32_t pieces = 0;  // expected number of pieces

  bool operator==(const kv_ticket&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(engine, id, pieces);
  }
};

// A request that was running when an endpoint crashed.
struct suspect_report {
  fingerprint_number fingerprint = 0;
  std::uint32_t crashes = 0;  // crashes seen so far
  std::uint32_t age_ms = 0;   // since the last crash

  bool operator==(const suspect_report&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(fingerprint, crashes, age_ms);
  }
};

struct header_field {
  std::string name;
  std::string value;

  bool operator==(const header_field&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(name, value);
  }
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. connection messages
// ---------------------------------------------------------------------------------------------------------------------

// First message of both sides of a channel.
struct hello {
  std::string program;                 // "router", "agent" or "ctl"
  std::string name;                    // router or endpoint name
  incarnation_number incarnation = 0;  // of the sending process
  std::string zone;                    // availability zone
  std::string secret;                  // shared by all processes of a deployment
  revision_number revision = 0;        // configuration in force at the sender
  std::uint16_t datagram_port = 0;     // where the sender receives load reports; 0: nowhere

  bool operator==(const hello&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(program, name, incarnation, zone, secret, revision, datagram_port);
  }
};

struct heartbeat {
  std::uint64_t sequence = 0;
  revision_number revision = 0;          // configuration in force at the sender
  bool leaving = false;                  // the sender takes no new work
  std::vector<suspect_report> suspects;  // bounded by the sender

  bool operator==(const heartbeat&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(sequence, revision, leaving, suspects);
  }
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. slots and model work
// ---------------------------------------------------------------------------------------------------------------------

// The agent has, or will have, a free slot and collects bids for it.
struct slot_open {
  slot_role role = slot_role::kPrefill;
  std::uint64_t sequence = 0;
  std::uint32_t start_in_ms = 0;  // predicted time until the slot is free

  bool operator==(const slot_open&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(role, sequence, start_in_ms);
  }
};

struct reserve_slot {
  attempt_id attempt;
  slot_role role = slot_role::kPrefill;
  std::uint32_t start_in_ms = 0;     // when the slot is needed, counted from receipt
  std::uint32_t hold_ms = 0;         // how long after that the agent keeps it unused
  std::int32_t latest_start_ms = 0;  // time left until the latest start that meets the target; bids are ordered by it
  std::uint32_t prompt_tokens = 0;   // to prefill, without the part expected in the endpoint's prefix cache
  std::uint32_t output_tokens = 0;   // upper bound or prediction of the answer's length
  std::int32_t priority = 0;         // higher is more urgent; passed to the engine
  fingerprint_number fingerprint = 0;
  bool suspect = false;  // at most one suspect runs on an endpoint at a time

  bool operator==(const reserve_slot&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, role, start_in_ms, hold_ms, latest_start_ms, prompt_tokens, output_tokens, priority, fingerprint,
       suspect);
  }
};

struct slot_granted {
  attempt_id attempt;
  slot_role role = slot_role::kPrefill;
  std::uint32_t start_in_ms = 0;  // predicted start

  bool operator==(const slot_granted&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, role, start_in_ms);
  }
};

enum class refusal_reason : std::uint8_t {
  kBusy,
  kLeaving,
  kNotReady,
  kSuspectRunning,
  kWrongRole,
  kDuplicate,
  kUnknownModel
};

// "busy", "leaving", ...
const char* RefusalName(refusal_reason reason);

struct slot_refused {
  attempt_id attempt;
  slot_role role = slot_role::kPrefill;
  refusal_reason reason = refusal_reason::kBusy;
  std::uint32_t retry_in_ms = 0;  // predicted time until a slot is free

  bool operator==(const slot_refused&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, role, reason, retry_in_ms);
  }
};

// Starts the prefill of a granted slot.
struct start_prefill {
  attempt_id attempt;
  request_id request;
  std::string traceparent;
  std::string model;
  std::string adapter;  // empty: none
  std::string prompt;
  std::uint32_t resume_tokens = 0;  // tokens already delivered to the caller, part of the prefilled context
  std::int32_t priority = 0;

  bool operator==(const start_prefill&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, request, traceparent, model, adapter, prompt, resume_tokens, priority);
  }
};

// Reason of a failure that means that the engine's or service's process was lost, not only this piece of work.
inline constexpr const char* kReasonEngineLost = "engine_lost";
// Reason of a failure before anything was sent to the engine or service, because it could not be reached.
inline constexpr const char* kReasonEngineUnreachable = "engine_unreachable";

enum class work_state : std::uint8_t { kRunning, kFinished, kFailed, kCancelled };

struct prefill_progress {
  attempt_id attempt;
  work_state state = work_state::kRunning;
  std::uint32_t pieces_done = 0;
  kv_ticket ticket;  // known from the first message on
  std::uint32_t computed_tokens = 0;
  std::uint32_t cached_tokens = 0;  // taken from the engine's prefix cache
  std::string reason;               // of a failure

  bool operator==(const prefill_progress&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, state, pieces_done, ticket, computed_tokens, cached_tokens, reason);
  }
};

// Starts the transfer of the KV cache and the decode of a granted slot. May be sent while the prefill still runs; the
// receiving agent fetches each piece when it becomes available.
struct start_decode {
  attempt_id attempt;
  request_id request;
  std::string traceparent;
  std::string model;
  std::string adapter;
  kv_ticket ticket;
  std::uint32_t max_tokens = 0;
  std::uint32_t offset = 0;  // number of the first token to produce
  std::int32_t priority = 0;

  bool operator==(const start_decode&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, request, traceparent, model, adapter, ticket, max_tokens, offset, priority);
  }
};

// Tokens of an answer, numbered from `offset`. Sent again from any offset after resume_stream.
struct tokens {
  attempt_id attempt;
  std::uint32_t offset = 0;
  std::vector<std::string> pieces;  // text of each token
  work_state state = work_state::kRunning;
  std::string reason;  // finish reason ("stop", "length") or reason of a failure

  bool operator==(const tokens&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, offset, pieces, state, reason);
  }
};

// Asks the agent to continue a running attempt on this channel after the previous channel was lost.
struct resume_stream {
  attempt_id attempt;
  std::uint32_t offset = 0;  // first token that has not been received

  bool operator==(const resume_stream&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, offset);
  }
};

// ---------------------------------------------------------------------------------------------------------------------
// 4. plain service calls
// ---------------------------------------------------------------------------------------------------------------------

struct call_service {
  attempt_id attempt;
  request_id request;
  std::string traceparent;
  incarnation_number incarnation = 0;  // the agent runs the call only in this incarnation; 0: any
  fingerprint_number fingerprint = 0;
  std::uint32_t timeout_ms = 0;
  std::string method;
  std::string target;
  std::vector<header_field> headers;
  std::string body;

  bool operator==(const call_service&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, request, traceparent, incarnation, fingerprint, timeout_ms, method, target, headers, body);
  }
};

struct service_answer {
  attempt_id attempt;
  outcome_kind outcome = outcome_kind::kNotRun;  // kAnswered, or what is known about the call
  std::uint32_t status = 0;                      // HTTP status of an answer
  std::vector<header_field> headers;
  std::string body;
  std::string reason;  // of a refusal or failure

  bool operator==(const service_answer&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, outcome, status, headers, body, reason);
  }
};

// ---------------------------------------------------------------------------------------------------------------------
// 5. attempts
// ---------------------------------------------------------------------------------------------------------------------

// Cancels an attempt: releases its slots and memory. If it has not started it is tombstoned, so that a delayed copy of
// its start is rejected. Answered by attempt_status.
struct cancel {
  attempt_id attempt;
  incarnation_number incarnation = 0;  // the agent's incarnation that the sender means; 0: any
  bool tombstone_only = false;         // true: leave a started attempt running

  bool operator==(const cancel&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, incarnation, tombstone_only);
  }
};

enum class attempt_phase : std::uint8_t { kUnknown, kTombstoned, kRunning, kDone, kWrongIncarnation };

struct attempt_status {
  attempt_id attempt;
  attempt_phase phase = attempt_phase::kUnknown;
  incarnation_number incarnation = 0;  // of the answering agent
  bool has_answer = false;             // true: the kept answer follows
  service_answer answer;

  bool operator==(const attempt_status&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, phase, incarnation, has_answer, answer);
  }
};

// Asks for the status without changing it. With wait set, a running attempt is answered when it is done.
struct query_attempt {
  attempt_id attempt;
  incarnation_number incarnation = 0;
  bool wait = false;

  bool operator==(const query_attempt&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, incarnation, wait);
  }
};

// ---------------------------------------------------------------------------------------------------------------------
// 6. load reports
// ---------------------------------------------------------------------------------------------------------------------

struct cache_event {
  std::uint64_t sequence = 0;     // of the engine's event stream; a jump is a gap
  std::uint64_t prefix_hash = 0;  // hash of the prompt up to the end of a block
  bool stored = true;             // false: evicted

  bool operator==(const cache_event&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(sequence, prefix_hash, stored);
  }
};

struct load_report {
  std::string secret;  // as in hello
  endpoint_name endpoint;
  incarnation_number incarnation = 0;
  std::uint64_t sequence = 0;  // older reports are dropped
  revision_number revision = 0;
  bool leaving = false;
  bool ready = true;               // the engine answers
  std::uint16_t prefill_free = 0;  // slots
  std::uint16_t decode_free = 0;
  std::uint16_t decode_slots = 0;
  std::uint32_t queued_tokens = 0;         // prompt tokens not yet prefilled
  std::uint32_t prefill_tokens_per_s = 0;  // measured
  std::uint32_t token_interval_us = 0;     // measured time between tokens
  std::uint32_t decode_free_in_ms = 0;     // predicted time until the next decode slot is free
  std::vector<cache_event> cache_events;   // bounded so that the report fits kMaxDatagramBytes

  bool operator==(const load_report&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(secret, endpoint, incarnation, sequence, revision, leaving, ready, prefill_free, decode_free, decode_slots,
       queued_tokens, prefill_tokens_per_s, token_interval_us, decode_free_in_ms, cache_events);
  }
};

// ---------------------------------------------------------------------------------------------------------------------
// 7. configuration, account limits, claims
// ---------------------------------------------------------------------------------------------------------------------

struct fetch_config {
  revision_number have = 0;

  bool operator==(const fetch_config&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(have);
  }
};

struct config_snapshot {
  revision_number revision = 0;
  std::vector<std::string> records;  // JSON texts; empty if the receiver already has the revision

  bool operator==(const config_snapshot&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(revision, records);
  }
};

struct lend_tokens {
  account_name account;
  std::uint64_t sequence = 0;  // echoed in the reply
  std::uint64_t amount = 0;    // tokens asked for

  bool operator==(const lend_tokens&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(account, sequence, amount);
  }
};

struct tokens_lent {
  account_name account;
  std::uint64_t sequence = 0;
  std::uint64_t amount = 0;       // tokens granted, possibly 0
  std::uint32_t retry_in_ms = 0;  // when more are expected

  bool operator==(const tokens_lent&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(account, sequence, amount, retry_in_ms);
  }
};

struct claim_batch {
  std::uint64_t sequence = 0;
  std::vector<claim_operation> operations;

  bool operator==(const claim_batch&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(sequence, operations);
  }
};

struct claim_results {
  std::uint64_t sequence = 0;
  std::vector<claim_result> results;  // in the order of the operations

  bool operator==(const claim_results&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(sequence, results);
  }
};

// ---------------------------------------------------------------------------------------------------------------------
// 8. routers that go straight to endpoints (UDP)
// ---------------------------------------------------------------------------------------------------------------------

// What one router has in progress on one endpoint.
struct endpoint_use {
  std::uint64_t endpoint = 0;        // XXH64 of its name
  std::uint32_t decode_tokens = 0;   // KV memory reserved
  std::uint16_t decodes = 0;         // reservations and streams
  std::uint32_t prefill_tokens = 0;  // of prefills in progress
  std::uint16_t prefills = 0;
  std::uint16_t calls = 0;     // plain calls in progress
  std::uint16_t pause_ms = 0;  // it was unreachable or rejected work, and gets none for this long

  bool operator==(const endpoint_use&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(endpoint, decode_tokens, decodes, prefill_tokens, prefills, calls, pause_ms);
  }
};

// Requests of a service that wait at a router and can still be in time.
struct waiting_count {
  std::uint64_t service = 0;  // XXH64 of its name
  std::uint16_t requests = 0;

  bool operator==(const waiting_count&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(service, requests);
  }
};

// State of a router, sent to all others when it changes.
struct router_state {
  std::string name;
  std::uint64_t incarnation = 0;   // random; a restarted router has another one
  std::uint64_t sequence = 0;      // rises with each message of an incarnation; older messages are dropped
  revision_number revision = 0;    // of the configuration in force
  bool leaving = false;            // it stops, and is forgotten as soon as it is silent
  host_port control;               // where its configuration can be fetched
  std::vector<host_port> members;  // datagram addresses of the routers that it has heard lately
  std::vector<endpoint_use> uses;  // endpoints without use are left out
  std::vector<suspect_report> suspects;
  std::vector<waiting_count> waiting;  // services without waiting requests are left out

  bool operator==(const router_state&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(name, incarnation, sequence, revision, leaving, control, members, uses, suspects, waiting);
  }
};

// ---------------------------------------------------------------------------------------------------------------------
// 9. frames
// ---------------------------------------------------------------------------------------------------------------------

// The position of a type in this list is its number on the wire: add new messages at the end only.
using message = std::variant<hello, heartbeat, slot_open, reserve_slot, slot_granted, slot_refused, start_prefill,
                             prefill_progress, start_decode, tokens, resume_stream, call_service, service_answer,
                             cancel, attempt_status, query_attempt, load_report, fetch_config, config_snapshot,
                             lend_tokens, tokens_lent, claim_batch, claim_results, router_state>;

// Name of a message's type, for logs and golden files.
const char* MessageName(const message& value);

struct frame_header {
  std::uint16_t version = 0;
  std::uint16_t type = 0;
  std::uint32_t length = 0;  // bytes that follow the header

  bool operator==(const frame_header&) const = default;
};

// A whole frame: header and body.
std::string EncodeFrame(const message& value);

// Errors: kProtocol for a wrong magic number, an unknown version or type, or a length over kMaxFrameBytes.
result<frame_header> DecodeFrameHeader(std::string_view bytes);

// Errors: kProtocol for a body that does not hold exactly one message of the header's type.
result<message> DecodeFrameBody(const frame_header& header, std::string_view body);

// Decodes a datagram, which holds exactly one frame.
result<message> DecodeDatagram(std::string_view bytes);

}  // namespace persimmon
