// Limits of the HTTP servers of one process, which share its memory and its descriptors.
#pragma once

#include <optional>

#include "net/http.h"

namespace persimmon {

struct process_limits {
  std::optional<std::size_t> memory_bytes;  // of this process; absent: no limit
  std::optional<std::size_t> descriptors;   // for sockets; absent: no limit

  bool operator==(const process_limits&) const = default;
};

// Limits of the server for callers. What the deployment allows a single request is set by the caller of this function.
http_limits CallerServerLimits(const process_limits& process);

// Limits of a server for short requests without a body, such as readiness checks, metrics and questions of other
// routers. It takes little of the memory and the descriptors, whoever connects to it.
http_limits InternalServerLimits(const process_limits& process);

}  // namespace persimmon
