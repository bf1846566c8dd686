// Messages exchanged by the processes of the system, and their frame format.
//
// Sections
//   1. values shared by messages
//   2. connection messages: hello, heartbeat
//   3. slots and model work
//   4. plain service calls
//   5. attempts: cancel and status
//   6. load reports (UDP)
//   7. configuration, account limits, claims
//   8. state exchanged by routers that call endpoints directly (UDP)
//   9. frames
//
// A frame is a fixed-size header followed by a cereal portable binary archive. Decoding never throws and never reads
// beyond the input.
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
#include "persimmon/kv_placement.h"
#include "persimmon/request_limits.h"
#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. values shared by messages
// ---------------------------------------------------------------------------------------------------------------------

inline constexpr std::uint32_t kFrameMagic = 0x50524d31;     // "PRM1"
inline constexpr std::uint16_t kProtocolVersion = 1;         // incremented with every incompatible change of a message
inline constexpr std::size_t kFrameHeaderBytes = 12;         // magic 4, version 2, type 2, length 4
inline constexpr std::uint32_t kMaxFrameBytes = 16U << 20U;  // longer frames are rejected
inline constexpr std::size_t kMaxDatagramBytes = 1400;       // fits the payload of one Ethernet frame

enum class slot_role : std::uint8_t { kPrefill, kDecode, kService };

// "prefill", "decode" or "service".
const char* RoleName(slot_role role);

// Identifies the KV cache of a prefill that a decode engine is to fetch. It is transferred in pieces: a piece is the
// part of the KV cache for about 2,000 prompt tokens.
struct kv_ticket {
  std::string engine;        // address of the prefill engine, IP:PORT
  std::string id;            // handle of the KV cache on that engine; empty: none
  std::uint32_t pieces = 0;  // expected number of pieces of the KV cache

  bool operator==(const kv_ticket&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(engine, id, pieces);
  }
};

// A request that was running when an endpoint crashed, and may have caused the crash.
struct suspect_report {
  fingerprint_number fingerprint = 0;
  std::uint32_t crashes = 0;  // number of crashes that the sender has observed while the request was running
  std::uint32_t age_ms = 0;   // time since the last crash

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

// First message in both directions of a channel.
struct hello {
  std::string program;                 // "router", "agent" or "ctl"
  std::string name;                    // router or endpoint name
  incarnation_number incarnation = 0;  // distinguishes restarts of the sending process
  std::string zone;                    // availability zone
  std::string secret;                  // shared secret of the deployment
  revision_number revision = 0;        // configuration in force at the sender
  std::uint16_t datagram_port = 0;     // UDP port on which the sender receives load reports; 0: none

  bool operator==(const hello&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(program, name, incarnation, zone, secret, revision, datagram_port);
  }
};

struct heartbeat {
  std::uint64_t sequence = 0;
  revision_number revision = 0;          // configuration in force at the sender
  bool leaving = false;                  // the sender is shutting down and accepts no new work
  std::vector<suspect_report> suspects;  // the sender limits their number

  bool operator==(const heartbeat&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(sequence, revision, leaving, suspects);
  }
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. slots and model work
// ---------------------------------------------------------------------------------------------------------------------

// Announces a slot that is free or about to become free. The agent collects reserve_slot messages as bids for it.
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
  std::uint32_t start_in_ms = 0;     // when the slot is needed, relative to receipt
  std::uint32_t hold_ms = 0;         // time after start_in_ms at which an unused reservation is released
  std::int32_t latest_start_ms = 0;  // time until the latest start that meets the target; bids are ordered by it
  std::uint32_t prompt_tokens = 0;   // tokens to prefill, excluding the expected prefix cache hit
  std::uint32_t output_tokens = 0;   // upper bound or prediction of the output length
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

// Starts a prefill in a granted slot.
struct start_prefill {
  attempt_id attempt;
  request_id request;
  std::string traceparent;
  std::string model;
  std::string adapter;  // empty: none
  std::string prompt;
  std::uint32_t resume_tokens = 0;  // output tokens already delivered to the caller; prefilled after the prompt
  std::int32_t priority = 0;

  bool operator==(const start_prefill&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, request, traceparent, model, adapter, prompt, resume_tokens, priority);
  }
};

// Failure reason: the process of the engine or service was lost, not only this attempt.
inline constexpr const char* kReasonEngineLost = "engine_lost";
// Reason of a refusal: the limit of requests that the endpoint states allows none now. Nothing was sent to it.
inline constexpr const char* kReasonEndpointLimit = "endpoint_limit";
// Failure reason: the engine or service could not be reached, and nothing was sent to it.
inline constexpr const char* kReasonEngineUnreachable = "engine_unreachable";

enum class work_state : std::uint8_t { kRunning, kFinished, kFailed, kCancelled };

struct prefill_progress {
  attempt_id attempt;
  work_state state = work_state::kRunning;
  std::uint32_t pieces_done = 0;
  kv_ticket ticket;  // set in every message once the engine has named the KV cache; before that, a failure has none
  std::uint32_t computed_tokens = 0;
  std::uint32_t cached_tokens = 0;  // served from the engine's prefix cache
  std::string reason;               // reason of a failure

  bool operator==(const prefill_progress&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, state, pieces_done, ticket, computed_tokens, cached_tokens, reason);
  }
};

// Starts the KV cache transfer and the decode in a granted slot. May be sent while the prefill is still running; the
// receiving agent fetches each piece of the KV cache when it becomes available.
struct start_decode {
  attempt_id attempt;
  request_id request;
  std::string traceparent;
  std::string model;
  std::string adapter;
  kv_ticket ticket;
  std::uint32_t max_tokens = 0;
  std::uint32_t offset = 0;  // index of the first token to generate
  std::int32_t priority = 0;

  bool operator==(const start_decode&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, request, traceparent, model, adapter, ticket, max_tokens, offset, priority);
  }
};

// Output tokens of an attempt; `offset` is the index of the first one. After resume_stream they are sent again from the
// requested offset.
struct tokens {
  attempt_id attempt;
  std::uint32_t offset = 0;
  std::vector<std::string> pieces;  // text of each token
  work_state state = work_state::kRunning;
  std::string reason;  // finish reason ("stop", "length") or failure reason

  bool operator==(const tokens&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, offset, pieces, state, reason);
  }
};

// Asks the agent to continue the token stream of a running attempt on this channel after the previous one was lost.
struct resume_stream {
  attempt_id attempt;
  std::uint32_t offset = 0;  // index of the first token that has not been received

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
  incarnation_number incarnation = 0;  // the call runs only if the agent has this incarnation; 0: any
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
  outcome_kind outcome = outcome_kind::kNotRun;  // kAnswered, kNotRun or kMayHaveRun
  std::uint32_t status = 0;                      // HTTP status if answered
  std::vector<header_field> headers;
  std::string body;
  std::string reason;  // reason of a refusal or failure

  bool operator==(const service_answer&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, outcome, status, headers, body, reason);
  }
};

// ---------------------------------------------------------------------------------------------------------------------
// 5. attempts
// ---------------------------------------------------------------------------------------------------------------------

// Cancels an attempt and releases its slots and memory. An attempt that has not started is tombstoned, so that a
// delayed or duplicated start message is rejected. The reply is attempt_status.
struct cancel {
  attempt_id attempt;
  incarnation_number incarnation = 0;  // expected incarnation of the agent; 0: any
  bool tombstone_only = false;         // true: does not stop a started attempt

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
  incarnation_number incarnation = 0;  // of the replying agent
  bool has_answer = false;             // true: `answer` holds the stored answer
  service_answer answer;

  bool operator==(const attempt_status&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, phase, incarnation, has_answer, answer);
  }
};

// Queries the status of an attempt without changing it. If `wait` is set, the reply for a running attempt is sent when
// it is done.
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
  std::uint64_t sequence = 0;     // position in the engine's event stream; a gap means lost events
  std::uint64_t prefix_hash = 0;  // hash of the prompt up to the end of a block
  bool stored = true;             // false: the block was evicted

  bool operator==(const cache_event&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(sequence, prefix_hash, stored);
  }
};

struct load_report {
  std::string secret;  // same as in hello
  endpoint_name endpoint;
  incarnation_number incarnation = 0;
  std::uint64_t sequence = 0;  // reports with a lower number are dropped
  revision_number revision = 0;
  bool leaving = false;
  bool ready = true;               // the engine responds
  std::uint16_t prefill_free = 0;  // free prefill slots
  std::uint16_t decode_free = 0;
  std::uint16_t decode_slots = 0;
  std::uint32_t queued_tokens = 0;         // prompt tokens waiting for prefill
  std::uint32_t prefill_tokens_per_s = 0;  // measured prefill throughput
  std::uint32_t token_interval_us = 0;     // measured inter-token latency
  // Predicted time until the next decode slot is free; of a service, until the limit that it states allows a call.
  std::uint32_t decode_free_in_ms = 0;
  std::vector<cache_event> cache_events;  // limited so that the report fits in kMaxDatagramBytes

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
  std::vector<std::string> records;  // JSON documents; empty if the receiver already has the revision

  bool operator==(const config_snapshot&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(revision, records);
  }
};

struct lend_tokens {
  account_name account;
  std::uint64_t sequence = 0;  // echoed in the reply
  std::uint64_t amount = 0;    // requested tokens

  bool operator==(const lend_tokens&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(account, sequence, amount);
  }
};

struct tokens_lent {
  account_name account;
  std::uint64_t sequence = 0;
  std::uint64_t amount = 0;       // granted tokens; may be 0
  std::uint32_t retry_in_ms = 0;  // time until more tokens are expected

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
// 8. state exchanged by routers that call endpoints directly (UDP)
// ---------------------------------------------------------------------------------------------------------------------

// Work in progress of one router on one endpoint.
struct endpoint_use {
  std::uint64_t endpoint = 0;          // XXH64 of its name
  std::vector<stream_memory> streams;  // decode reservations and streams
  std::uint32_t prefill_tokens = 0;    // prompt tokens of prefills in progress
  std::uint16_t prefills = 0;
  std::uint16_t calls = 0;     // plain calls in progress
  std::uint16_t pause_ms = 0;  // the endpoint was unreachable or rejected work; the router sends it none for this long

  bool operator==(const endpoint_use&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(endpoint, streams, prefill_tokens, prefills, calls, pause_ms);
  }
};

// Number of queued requests of a service at a router that can still meet their latency target.
struct waiting_count {
  std::uint64_t service = 0;  // XXH64 of its name
  std::uint16_t requests = 0;

  bool operator==(const waiting_count&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(service, requests);
  }
};

// What a router must always be able to tell: that it lives, which configuration it has, which requests crash endpoints.
// Its parts are bounded, so that it fits a datagram under any load. Sent to all other routers when it changes.
struct router_state {
  std::string name;
  std::uint64_t incarnation = 0;   // random; changes with each restart
  std::uint64_t sequence = 0;      // increases with each message of an incarnation; older messages are dropped
  revision_number revision = 0;    // of the configuration in force
  bool leaving = false;            // it is shutting down; receivers remove it as soon as its messages stop
  host_port control;               // address from which its configuration can be fetched
  std::vector<host_port> members;  // UDP addresses of the routers it has recently received messages from
  std::vector<suspect_report> suspects;
  std::vector<waiting_count> waiting;  // services without queued requests are omitted

  bool operator==(const router_state&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(name, incarnation, sequence, revision, leaving, control, members, suspects, waiting);
  }
};

// Work in progress of one router on all endpoints whose keys are in a range; those without work are omitted. Several of
// them cover all keys, so that each one replaces what is known of its range.
struct endpoint_use_list {
  std::uint64_t incarnation = 0;  // of the router
  std::uint64_t sequence = 0;     // of the router_state that was sent with it
  std::uint64_t first = 0;        // smallest key of the range
  std::uint64_t last = 0;         // largest key of the range
  std::vector<endpoint_use> uses;

  bool operator==(const endpoint_use_list&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(incarnation, sequence, first, last, uses);
  }
};

// Which software version began the stream of an attempt.
struct stream_origin_copy {
  std::uint64_t attempt = 0;      // OriginKey
  std::uint64_t version = 0;      // VersionKey
  std::uint32_t lifetime_ms = 0;  // for which the receiver keeps it

  bool operator==(const stream_origin_copy&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, version, lifetime_ms);
  }
};

// Asks another router to hold copies. It answers with stream_origins_held.
struct hold_stream_origins {
  std::vector<stream_origin_copy> origins;

  bool operator==(const hold_stream_origins&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(origins);
  }
};

struct stream_origins_held {
  std::uint64_t incarnation = 0;  // of the router that holds them
  std::vector<std::uint64_t> attempts;

  bool operator==(const stream_origins_held&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(incarnation, attempts);
  }
};

// Asks another router for the origin of an attempt. It answers with stream_origin_found.
struct find_stream_origin {
  std::uint64_t attempt = 0;

  bool operator==(const find_stream_origin&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt);
  }
};

struct stream_origin_found {
  std::uint64_t attempt = 0;
  std::uint64_t version = 0;  // 0: not known there

  bool operator==(const stream_origin_found&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(attempt, version);
  }
};

// Asks another router which versions of a service are recorded. It answers with versions_known.
struct find_versions {
  std::uint64_t service = 0;  // XXH64 of its name

  bool operator==(const find_versions&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(service);
  }
};

// Versions of a service that a router knows, by VersionKey. Also sent to all routers once a version is recorded.
struct versions_known {
  std::uint64_t service = 0;              // XXH64 of its name
  std::vector<std::uint64_t> recorded;    // in the store, so that streams may begin there
  std::vector<std::uint64_t> candidates;  // that may have begun a stream which callers still take up

  bool operator==(const versions_known&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(service, recorded, candidates);
  }
};

// Asks another router which versions of a service it knows now. It answers with versions_answer.
struct ask_versions {
  std::uint64_t service = 0;   // XXH64 of its name
  std::uint64_t question = 0;  // random; the answer repeats it

  bool operator==(const ask_versions&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(service, question);
  }
};

struct versions_answer {
  std::uint64_t question = 0;
  versions_known known;

  bool operator==(const versions_answer&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(question, known);
  }
};

// Asks another router whether it has confirmed the records of versions in an era of the store: they hold all versions
// that it knows. It answers with records_confirmed once it has.
struct ask_records {
  std::uint64_t era = 0;

  bool operator==(const ask_records&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(era);
  }
};

struct records_confirmed {
  std::uint64_t incarnation = 0;  // of the router that has confirmed them
  std::uint64_t era = 0;

  bool operator==(const records_confirmed&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(incarnation, era);
  }
};

// One crash of an engine under a request with a suspected part of a prompt.
struct part_crash_entry {
  std::uint64_t crash = 0;  // identifies the endpoint and its incarnation
  fingerprint_number request = 0;
  std::uint32_t age_ms = 0;

  bool operator==(const part_crash_entry&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(crash, request, age_ms);
  }
};

// What a router knows of one suspected part of prompts.
struct part_evidence {
  std::uint64_t part = 0;
  std::uint32_t answer_age_ms = kNoAnswer;  // since the latest answer to a request with the part
  std::vector<part_crash_entry> crashes;    // since that answer

  static constexpr std::uint32_t kNoAnswer = UINT32_MAX;

  bool operator==(const part_evidence&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(part, answer_age_ms, crashes);
  }
};

// Evidence on parts of prompts, from any router. Receivers merge it and pass it on.
struct part_evidence_list {
  std::uint64_t service = 0;  // XXH64 of its name
  std::vector<part_evidence> parts;

  bool operator==(const part_evidence_list&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(service, parts);
  }
};

// What a router knows of the limit that an endpoint states.
struct endpoint_limit_entry {
  std::uint64_t endpoint = 0;         // XXH64 of its name
  std::uint64_t started_ms = 0;       // start time of its process
  double rate = kNoLimit;             // requests per second
  std::uint32_t sent_age_ms = 0;      // since the request to which it stated this was sent
  std::uint32_t received_age_ms = 0;  // since the response arrived

  static constexpr double kNoLimit = -1;

  bool operator==(const endpoint_limit_entry&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(endpoint, started_ms, rate, sent_age_ms, received_age_ms);
  }
};

// Limits that have changed, or all that a router is home router of.
struct endpoint_limit_list {
  std::vector<endpoint_limit_entry> limits;

  bool operator==(const endpoint_limit_list&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(limits);
  }
};

// Asks the home router of an endpoint for a permit to send one request. It answers with permit_answer.
struct ask_permit {
  std::uint64_t sequence = 0;  // echoed in the answer
  std::uint32_t max_wait_us = 0;
  endpoint_limit_entry limit;

  bool operator==(const ask_permit&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(sequence, max_wait_us, limit);
  }
};

struct permit_answer {
  std::uint64_t sequence = 0;
  permit_verdict verdict = permit_verdict::kNotHome;
  std::uint32_t wait_us = 0;
  endpoint_limit_entry limit;  // as the home router knows it

  bool operator==(const permit_answer&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(sequence, verdict, wait_us, limit);
  }
};

// Returns tokens of requests that have not run at any endpoint to the home router of the account. Not answered: if the
// datagram is lost, so are the tokens.
struct return_tokens {
  account_name account;
  std::uint64_t sequence = 0;  // increases with each message of the sender
  std::uint64_t amount = 0;

  bool operator==(const return_tokens&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(account, sequence, amount);
  }
};

// An engine has read the prompt of a request that then ended without a response. Its caller may retry at any router.
struct prompt_prefilled {
  std::uint64_t prompt = 0;      // hash of the service and the id of the last part
  std::uint64_t engine = 0;      // XXH64 of its name
  std::uint64_t started_ms = 0;  // start time of its process
  std::uint32_t tokens = 0;

  bool operator==(const prompt_prefilled&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(prompt, engine, started_ms, tokens);
  }
};

// ---------------------------------------------------------------------------------------------------------------------
// 9. frames
// ---------------------------------------------------------------------------------------------------------------------

// The index of a type in this list is its type number on the wire. Append new messages at the end only.
using message =
    std::variant<hello, heartbeat, slot_open, reserve_slot, slot_granted, slot_refused, start_prefill, prefill_progress,
                 start_decode, tokens, resume_stream, call_service, service_answer, cancel, attempt_status,
                 query_attempt, load_report, fetch_config, config_snapshot, lend_tokens, tokens_lent, claim_batch,
                 claim_results, router_state, hold_stream_origins, stream_origins_held, find_stream_origin,
                 stream_origin_found, part_evidence_list, endpoint_limit_list, ask_permit, permit_answer, return_tokens,
                 prompt_prefilled, find_versions, versions_known, endpoint_use_list, ask_versions, versions_answer,
                 ask_records, records_confirmed>;

// Name of the message type, for logs and golden files.
const char* MessageName(const message& value);

struct frame_header {
  std::uint16_t version = 0;
  std::uint16_t type = 0;
  std::uint32_t length = 0;  // bytes that follow the header

  bool operator==(const frame_header&) const = default;
};

// Returns a complete frame: header and body.
std::string EncodeFrame(const message& value);

// Errors: kProtocol for a wrong magic number, an unknown version or type, or a length over kMaxFrameBytes.
result<frame_header> DecodeFrameHeader(std::string_view bytes);

// Errors: kProtocol unless the body holds exactly one message of the type in the header.
result<message> DecodeFrameBody(const frame_header& header, std::string_view body);

// Decodes a datagram, or an answer that the agent has stored in this format. The input must be exactly one frame.
result<message> DecodeDatagram(std::string_view bytes);

}  // namespace persimmon
