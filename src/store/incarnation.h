// Allocates the incarnation of a process from a counter in the table service.
#pragma once

#include <string>

#include "persimmon/types.h"
#include "platform/table_client.h"

namespace persimmon {

inline constexpr const char* kIncarnationTable = "incarnations";

struct incarnation_settings {
  int attempts = 5;                              // attempts of the conditional write before an error is returned
  milliseconds retry_delay = milliseconds(100);  // delay after a failed request

  bool operator==(const incarnation_settings&) const = default;
};

// Returns the next incarnation of a name. No number is returned twice; numbers may be skipped. Each call writes its own
// random token into the counter row, so that after a lost reply it can read the row back and recognize its write.
// Errors: kUnavailable, kTimeout, kClosed, kProtocol, and kConflict if other processes with the same name changed the
// row at every attempt.
task<result<incarnation_number>> AllocateIncarnation(timer_service& timers, table_client table, std::string name,
                                                     incarnation_settings settings);

}  // namespace persimmon
