// Draws the incarnation of a process from a counter in the table service.
#pragma once

#include <string>

#include "persimmon/types.h"
#include "platform/table_client.h"

namespace persimmon {

inline constexpr const char* kIncarnationTable = "incarnations";

struct incarnation_settings {
  int attempts = 5;                        // conditional writes that are tried before the error is returned
  milliseconds pause = milliseconds(100);  // after a failed try

  bool operator==(const incarnation_settings&) const = default;
};

// The next incarnation of a name. Two callers never receive the same number; numbers may be skipped. A lost reply is
// settled by reading the counter row back, which names the token of the call that wrote it last. Errors: kUnavailable,
// kTimeout, kClosed, kProtocol, and kConflict if other callers of the same name were faster every time.
task<result<incarnation_number>> DrawIncarnation(timer_service& timers, table_client table, std::string name,
                                                 incarnation_settings settings);

}  // namespace persimmon
