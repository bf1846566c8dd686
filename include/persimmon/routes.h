// Routes from callers' requests to services, and what a service says about its endpoints.
//
// Sections
//   1. services
//   2. routes
//   3. routing table
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. services
// ---------------------------------------------------------------------------------------------------------------------

// Model engines of a service: equal for all its endpoints.
struct engine_profile {
  std::uint32_t slots = 0;                           // requests in one batch
  std::uint32_t kv_tokens = 0;                       // KV memory of one engine, in tokens
  std::uint32_t tokens_per_event = 1;                // output tokens in one event of a stream
  milliseconds handle_lifetime = milliseconds(500);  // of a finished prefill that no decode has taken
  milliseconds hold_limit = milliseconds(2'000);     // longest reservation of decode memory
  milliseconds stage_switch = milliseconds(6'000);   // an engine is away this long when its stage changes
  bool keeps_backups = false;                        // engines copy the KV cache of a run to another engine
  bool moves_runs = false;                           // engines hand a run over to another engine

  bool operator==(const engine_profile&) const = default;
};

struct service_record {
  std::string name;
  std::string health_path;               // answers 200 while the endpoint is healthy
  std::uint32_t max_connections = 0;     // of one endpoint, from all routers together; 0: no limit
  std::optional<engine_profile> engine;  // absent: a plain service

  bool operator==(const service_record&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. routes
// ---------------------------------------------------------------------------------------------------------------------

// What may be repeated.
enum class call_kind : std::uint8_t { kIdempotent, kNonIdempotent, kStreaming };

// "idempotent", "non_idempotent" or "streaming".
const char* CallKindName(call_kind kind);

struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;  // share of the requests; 0: none

  bool operator==(const weighted_service&) const = default;
};

struct route_record {
  std::string name;
  std::string host;         // Host header, without a port
  std::string path_prefix;  // begins and ends with a slash
  call_kind kind = call_kind::kNonIdempotent;
  milliseconds timeout = milliseconds(10'000);        // longest time that a caller is kept waiting
  milliseconds target_latency = milliseconds(1'000);  // to the answer; of streams, to the first event
  milliseconds target_gap = milliseconds(0);          // of streams: between events; 0: none
  std::uint32_t priority = 0;                         // 0 is served first
  std::uint32_t max_attempts = 1;                     // endpoints that one request may be sent to
  bool resumable = false;                             // a stream may go on at another endpoint
  std::vector<weighted_service> services;             // at least one

  bool operator==(const route_record&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. routing table
// ---------------------------------------------------------------------------------------------------------------------

// Limits on what callers may send.
struct caller_limits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 4U << 20U;
  milliseconds header_timeout = milliseconds(3'000);  // for one request, once its first byte has arrived
  milliseconds idle_timeout = milliseconds(15'000);   // between requests of a connection

  bool operator==(const caller_limits&) const = default;
};

// Routes and services of one revision. Immutable once published.
class routing_table {
 public:
  routing_table() = default;
  routing_table(revision_number revision, std::vector<route_record> routes, std::vector<service_record> services,
                const caller_limits& limits);

  // The route of that host whose prefix is the longest beginning of the path. A query in the target is ignored.
  const route_record* FindRoute(std::string_view host, std::string_view target) const;

  const service_record* FindService(const std::string& name) const;

  revision_number Revision() const { return revision_; }  // 0: none is in force yet
  const caller_limits& Limits() const { return limits_; }
  const std::map<std::string, service_record>& Services() const { return services_; }
  std::size_t RouteCount() const;

  bool operator==(const routing_table&) const = default;

 private:
  using prefix_map = std::map<std::string, route_record, std::less<>>;

  revision_number revision_ = 0;
  std::map<std::string, prefix_map, std::less<>> hosts_;
  std::map<std::string, service_record> services_;
  caller_limits limits_;
};

// Picks one of the route's services by weight. `draw` is random, from 0 to below 1.
const std::string& PickService(const route_record& route, double draw);

}  // namespace persimmon
