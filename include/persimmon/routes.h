// Routes that map callers' requests to services, and the properties of a service's endpoints.
//
// Sections
//   1. services
//   2. routes
//   3. routing table
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "persimmon/accounts.h"
#include "persimmon/types.h"
#include "persimmon/urgency.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. services
// ---------------------------------------------------------------------------------------------------------------------

// Properties of the model engines behind a service. They are the same for all its endpoints.
struct engine_profile {
  std::uint32_t slots = 0;             // maximum number of requests in one batch
  std::uint32_t kv_tokens = 0;         // KV cache capacity of one engine, in tokens
  std::uint32_t tokens_per_event = 1;  // output tokens per stream event
  // A handle refers to the KV cache of a finished prefill. The engine keeps it this long for the decode.
  milliseconds handle_lifetime = milliseconds(500);
  milliseconds max_reservation_time = milliseconds(2'000);  // longest reservation of decode KV memory
  milliseconds stage_switch_time = milliseconds(6'000);  // how long an engine is unavailable while it changes its stage
  bool supports_kv_backup = false;      // engines copy the KV cache of a running request to another engine
  bool supports_run_migration = false;  // engines can migrate a running request to another engine

  bool operator==(const engine_profile&) const = default;
};

struct service_record {
  std::string name;
  std::string health_path;               // returns status 200 while the endpoint is healthy
  std::uint32_t max_connections = 0;     // to one endpoint, from all routers together; 0: no limit
  std::optional<engine_profile> engine;  // absent: a plain service

  bool operator==(const service_record&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. routes
// ---------------------------------------------------------------------------------------------------------------------

// Kind of the calls of a route; determines whether and how they may be retried.
enum class call_kind : std::uint8_t { kIdempotent, kNonIdempotent, kStreaming };

// "idempotent", "non_idempotent" or "streaming".
const char* CallKindName(call_kind kind);

struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;  // relative share of the requests; 0: none

  bool operator==(const weighted_service&) const = default;
};

struct route_record {
  std::string name;
  std::string host;         // Host header, without a port
  std::string path_prefix;  // begins and ends with a slash
  call_kind kind = call_kind::kNonIdempotent;
  milliseconds timeout = milliseconds(10'000);           // longest time that a caller waits for its answer
  milliseconds target_latency = milliseconds(1'000);     // until the answer; streams: until the first event
  milliseconds target_event_interval = milliseconds(0);  // streams: time between events; 0: no target
  std::uint32_t priority = 0;                            // 0 is served first
  std::uint32_t max_attempts = 1;                        // maximum number of endpoints tried per request
  bool resumable = false;                                // a broken stream may continue on another endpoint
  bool anonymous = false;                                // callers need no API key
  std::vector<weighted_service> services;                // at least one

  // True if the service is among those of the route, with any weight.
  bool Names(const std::string& service) const;

  bool operator==(const route_record&) const = default;
};

// Urgency of the route's requests. `account`: null for a caller without account.
urgency_level UrgencyOf(const route_record& route, const caller_account* account);

// Time without an event after which callers abandon a stream of the route, also while they wait for its first event.
milliseconds AbandonTime(const route_record& route);

// ---------------------------------------------------------------------------------------------------------------------
// 3. routing table
// ---------------------------------------------------------------------------------------------------------------------

// Limits on requests and connections of callers.
struct caller_limits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 4U << 20U;
  milliseconds header_timeout = milliseconds(3'000);  // to receive one request, counted from its first byte
  milliseconds idle_timeout = milliseconds(15'000);   // between two requests on a connection

  bool operator==(const caller_limits&) const = default;
};

// Routes and services of one revision. Immutable once published.
class routing_table {
 public:
  routing_table() = default;
  // `accounts`: absent if callers need no API keys.
  routing_table(revision_number revision, std::vector<route_record> routes, std::vector<service_record> services,
                const caller_limits& limits, std::optional<account_directory> accounts = std::nullopt);

  // Returns the route of the host with the longest prefix of the path, or null. The query string of the request target
  // is ignored.
  const route_record* FindRoute(std::string_view host, std::string_view target) const;

  const service_record* FindService(const std::string& name) const;

  revision_number Revision() const { return revision_; }  // 0: no routing table has been applied yet
  const caller_limits& Limits() const { return limits_; }
  const std::optional<account_directory>& Accounts() const { return accounts_; }
  const std::map<std::string, service_record>& Services() const { return services_; }
  std::size_t RouteCount() const;

  // True if streaming routes to the service have different priorities.
  bool HasPriorities(const std::string& service) const { return services_with_priorities_.contains(service); }

  // Levels of urgency that streaming calls of the service may have, given its routes and all accounts.
  const std::set<urgency_level>& UrgencyLevels(const std::string& service) const;

  // All routes, in the order of their hosts and path prefixes.
  std::vector<const route_record*> Routes() const;

  // Longest timeout of the routes whose streams can be resumed; 0 without such a route.
  milliseconds LongestResumableTimeout() const;

  bool operator==(const routing_table&) const = default;

 private:
  using prefix_map = std::map<std::string, route_record, std::less<>>;

  revision_number revision_ = 0;
  std::map<std::string, prefix_map, std::less<>> hosts_;
  std::map<std::string, service_record> services_;
  std::set<std::string> services_with_priorities_;
  std::map<std::string, std::set<urgency_level>> urgency_levels_;  // by service
  caller_limits limits_;
  std::optional<account_directory> accounts_;
};

// Services that may be picked for the route's requests: those with a weight.
std::set<std::string> ServicesOf(const route_record& route);

// Picks one of the route's services with a probability proportional to its weight. `draw` is a random number in [0, 1).
const std::string& PickService(const route_record& route, double draw);

}  // namespace persimmon
