#include "net/server_limits.h"

#include <algorithm>

namespace persimmon {
namespace {

// Shares of the memory of the process. The rest holds the state of the deployment, answers and what the allocator
// cannot reuse.
constexpr double kBodyMemoryShare = 0.3;
constexpr double kInputMemoryShare = 0.1;    // heads of requests and what callers send ahead
constexpr double kOutputMemoryShare = 0.04;  // what callers have not read yet
constexpr double kConnectionMemoryShare = 0.25;
constexpr double kInternalMemoryShare = 0.01;  // for the connections of one internal server, and for its output
// Of an open connection of a caller: the server's allowance for its input, the connection and its request in progress.
constexpr std::size_t kConnectionBytes = 24U << 10U;

// Shares of the descriptors. As many as the callers' are for what their requests have open to endpoints; the rest is
// for idle connections to endpoints, the store and other routers.
constexpr double kCallerDescriptorShare = 0.37;
constexpr double kInternalDescriptorShare = 0.02;
constexpr std::size_t kMaxCallerConnections = 3'000;
constexpr std::size_t kMaxInternalConnections = 128;
constexpr std::size_t kMinConnections = 8;

constexpr std::size_t kInternalHeaderBytes = 8U << 10U;
constexpr std::size_t kInternalBodyBytes = 4U << 10U;
constexpr std::size_t kInternalBodyMemoryBytes = 64U << 10U;
constexpr std::size_t kInternalInputMemoryBytes = 512U << 10U;

std::size_t Share(double share, std::size_t amount) {
  return static_cast<std::size_t>(share * static_cast<double>(amount));
}

}  // namespace

http_limits CallerServerLimits(const process_limits& process) {
  http_limits limits;
  limits.connections = kMaxCallerConnections;
  if (process.descriptors) {
    limits.connections = std::min(limits.connections, Share(kCallerDescriptorShare, *process.descriptors));
  }
  if (process.memory_bytes) {
    limits.connections =
        std::min(limits.connections, Share(kConnectionMemoryShare, *process.memory_bytes) / kConnectionBytes);
    limits.body_memory_bytes = Share(kBodyMemoryShare, *process.memory_bytes);
    limits.input_memory_bytes = Share(kInputMemoryShare, *process.memory_bytes);
    limits.output_memory_bytes = Share(kOutputMemoryShare, *process.memory_bytes);
  }
  limits.connections = std::max(limits.connections, kMinConnections);
  return limits;
}

http_limits InternalServerLimits(const process_limits& process) {
  http_limits limits;
  limits.header_bytes = kInternalHeaderBytes;
  limits.body_bytes = kInternalBodyBytes;
  limits.body_memory_bytes = kInternalBodyMemoryBytes;
  limits.input_memory_bytes = kInternalInputMemoryBytes;
  limits.connections = kMaxInternalConnections;
  if (process.descriptors) {
    limits.connections = std::min(limits.connections, Share(kInternalDescriptorShare, *process.descriptors));
  }
  if (process.memory_bytes) {
    const std::size_t memory = Share(kInternalMemoryShare, *process.memory_bytes);
    limits.connections = std::min(limits.connections, memory / kConnectionBytes);
    limits.output_memory_bytes = std::min(limits.output_memory_bytes, memory);
  }
  limits.connections = std::max(limits.connections, kMinConnections);
  return limits;
}

}  // namespace persimmon
