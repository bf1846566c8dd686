// Error, result and finding types used by all modules.
//
// Sections
//   1. error and result
//   2. findings: validation problems, collected with their location and reported together
#pragma once

// The policy header does not compile unless result.hpp comes first.
// clang-format off
#include <boost/outcome/result.hpp>
#include <boost/outcome/policy/terminate.hpp>
// clang-format on
#include <compare>
#include <string>
#include <vector>

namespace persimmon {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

// ---------------------------------------------------------------------------------------------------------------------
// 1. error and result
// ---------------------------------------------------------------------------------------------------------------------

enum class error_code {
  kInvalid,      // invalid input; retrying cannot succeed
  kNotFound,     // the requested object does not exist
  kConflict,     // the condition of a write failed
  kTimeout,      // no reply in time; the operation may have taken effect
  kUnavailable,  // the peer refused or was unreachable; the operation had no effect
  kNoResources,  // this process lacks a descriptor, which says nothing of the peer; the operation had no effect
  kProtocol,     // received data violates the protocol
  kClosed,       // the connection was closed; the operation may have taken effect
  kCancelled,    // the operation was cancelled by this process
};

// True if an operation that failed with this code has not reached the peer.
constexpr bool HadNoEffect(error_code code) {
  return code == error_code::kUnavailable || code == error_code::kNoResources;
}

// Returns the stable lower-case name of an error code, for logs and JSON.
const char* ErrorName(error_code code);

struct error {
  error_code code = error_code::kInvalid;
  std::string message;  // one short human-readable sentence

  bool operator==(const error&) const = default;
};

// Either a value or an error. Reading the value of an error, or the error of a value, terminates the program.
template <class value>
using result = outcome::result<value, error, outcome::policy::terminate>;

// ---------------------------------------------------------------------------------------------------------------------
// 2. findings
// ---------------------------------------------------------------------------------------------------------------------

struct finding {
  std::string place;    // "router.ini:12: [router] port" or "record pool/chat: targets.first_token_ms"
  std::string message;  // description of the problem and of what is allowed

  auto operator<=>(const finding&) const = default;
};

using finding_list = std::vector<finding>;

// Formats one line per finding: "place: message".
std::string FormatFindings(const finding_list& findings);

}  // namespace persimmon
