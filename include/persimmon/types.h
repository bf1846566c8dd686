// Time, identifier and outcome types shared by decisions, messages and programs.
//
// Sections
//   1. time
//   2. identifiers
//   3. outcomes
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. time. Decision code receives the time as an argument and never reads a clock.
// ---------------------------------------------------------------------------------------------------------------------

using std::chrono::microseconds;
using std::chrono::milliseconds;
using time_point = std::chrono::steady_clock::time_point;

// ---------------------------------------------------------------------------------------------------------------------
// 2. identifiers
// ---------------------------------------------------------------------------------------------------------------------

// Strongly typed string identifier, so that an attempt id cannot be passed as a request id.
template <class tag>
struct text_id {
  std::string value;

  auto operator<=>(const text_id&) const = default;
  bool empty() const { return value.empty(); }

  template <class archive>
  void serialize(archive& ar) {
    ar(value);
  }
};

using attempt_id = text_id<struct attempt_tag>;      // one attempt of a request on one endpoint; never reused
using request_id = text_id<struct request_tag>;      // one request of a caller, including all its attempts
using endpoint_name = text_id<struct endpoint_tag>;  // name of an endpoint record
using router_name = text_id<struct router_tag>;      // name of a router
using account_name = text_id<struct account_tag>;    // name of an account record
using idempotency_key = text_id<struct key_tag>;     // account and value of the Idempotency-Key header
using zone_name = text_id<struct zone_tag>;          // availability zone

// Start of the numbers of an era of the store. A store that comes back from an older copy is in a higher era and gives
// out its versions again; numbers that start here rise over the eras. 2^40 numbers in an era keep those of 8,192 eras
// exact in a double, as some JSON readers use.
inline std::uint64_t FirstNumberOfEra(std::uint64_t era) { return era <= 1 ? 0 : (era - 1) << 40U; }

using incarnation_number = std::uint64_t;  // increases with every start of a process of the same name
using revision_number = std::uint64_t;     // revision of the configuration; 0: none yet
// Hash that identifies equal requests. It covers the account, for service calls the target, and the body; on routers
// that call endpoints without agents, the length of the method, the target and the body.
using fingerprint_number = std::uint64_t;

// ---------------------------------------------------------------------------------------------------------------------
// 3. outcomes
// ---------------------------------------------------------------------------------------------------------------------

// What a caller can conclude about its request.
enum class outcome_kind : std::uint8_t {
  kAnswered,    // the complete answer was delivered
  kNotRun,      // proven: never sent, the agent confirmed a tombstone, or without agents the endpoint stated it
  kMayHaveRun,  // no proof either way; a non-idempotent call is not retried
};

// "answered", "not_run" or "may_have_run".
const char* OutcomeName(outcome_kind outcome);

}  // namespace persimmon

template <class tag>
struct std::hash<persimmon::text_id<tag>> {
  std::size_t operator()(const persimmon::text_id<tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value);
  }
};
