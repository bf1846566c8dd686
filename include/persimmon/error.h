// Errors, results and findings shared by all parts.
//
// Sections
//   1. error and result
//   2. findings: problems collected with their place and reported together
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
  kInvalid,      // input that can never succeed
  kNotFound,     // the named thing does not exist
  kConflict,     // a condition of a write did not hold
  kTimeout,      // no answer in time; the operation may have taken effect
  kUnavailable,  // the other side refused or could not be reached; nothing took effect
  kProtocol,     // bytes that do not follow the protocol
  kClosed,       // the connection ended; the operation may have taken effect
  kCancelled,    // the operation was cancelled by this process
};

// Stable lower-case name of an error code, for logs and JSON.
const char* ErrorName(error_code code);

struct error {
  error_code code = error_code::kInvalid;
  std::string message;  // one short sentence for people

  bool operator==(const error&) const = default;
};

// Either a value or an error. Reading the absent alternative stops the program.
template <class value>
using result = outcome::result<value, error, outcome::policy::terminate>;

// ---------------------------------------------------------------------------------------------------------------------
// 2. findings
// ---------------------------------------------------------------------------------------------------------------------

struct finding {
  std::string place;    // "router.ini:12: [router] port" or "record pool/savetnik-llm: targets.first_token_ms"
  std::string message;  // what is wrong and what is allowed

  auto operator<=>(const finding&) const = default;
};

using finding_list = std::vector<finding>;

// One line per finding: "place: message".
std::string FormatFindings(const finding_list& findings);

}  // namespace persimmon
