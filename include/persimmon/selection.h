// Choice of endpoints for prefill, decode and service calls.
//
// Sections
//   1. endpoint views
//   2. corrected load and dispatch log
//   3. choices
//   4. subset of a router
//   5. health
//
// Choices are pure functions of immutable views. `draw` arguments are random numbers; they break ties between equal
// candidates and decide whether an endpoint that is being readmitted is a candidate.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. endpoint views
// ---------------------------------------------------------------------------------------------------------------------

// A router's view of one endpoint at the time of a choice.
struct endpoint_view {
  endpoint_name name;
  zone_name zone;
  bool can_receive = true;                     // allowed by membership, role, model and the endpoint record
  double health_share = 1.0;                   // share of normal traffic; 0: ejected; below 1: being readmitted
  microseconds link_delay{0};                  // one way
  microseconds report_age{0};                  // since the load report was measured
  std::uint16_t prefill_free = 0;              // as reported: slots
  std::uint16_t decode_free = 0;               // as reported: slots
  std::uint16_t decode_slots = 0;              // as reported
  std::uint32_t queued_tokens = 0;             // as reported: prompt tokens not yet prefilled; service: calls
  std::uint32_t prefill_tokens_per_s = 0;      // as reported; 0: unknown
  microseconds token_interval{0};              // as reported; 0: unknown
  microseconds decode_free_in{0};              // as reported: until the next decode slot is free
  std::uint32_t dispatched_prompt_tokens = 0;  // by this router, not in the report
  std::uint32_t dispatched_prefills = 0;       // by this router, not in the report
  std::uint32_t dispatched_decodes = 0;        // by this router, not in the report
  std::uint32_t calls_in_progress = 0;         // service calls and streams of this router on the endpoint
  microseconds permit_wait{0};                 // until a limit that the endpoint has stated allows a request
  std::uint32_t cached_tokens = 0;             // leading prompt tokens that are probably cached there

  bool operator==(const endpoint_view&) const = default;
};

struct selection_settings {
  double default_prefill_tokens_per_s = 10'000;                // if an endpoint reports none
  microseconds cross_zone_cost = microseconds(2'000);          // added for an endpoint outside the preferred zone
  microseconds decode_slack = microseconds(50'000);            // tolerated lateness of a decode slot
  microseconds max_report_age = microseconds(2'000'000);       // an older report counts as no free slots
  microseconds default_token_interval = microseconds(50'000);  // if an endpoint reports none
  microseconds default_slot_wait = microseconds(250'000);      // until a decode slot is free, if not reported

  bool operator==(const selection_settings&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. corrected load and dispatch log
// ---------------------------------------------------------------------------------------------------------------------

// Estimated current load of an endpoint: its report, less the work done since, plus this router's dispatches that the
// report does not include.
struct corrected_load {
  microseconds prefill_wait{0};  // until a prefill that is sent now would start
  std::uint32_t prefill_free = 0;
  std::uint32_t decode_free = 0;
  microseconds decode_wait{0};  // until a decode slot is free

  bool operator==(const corrected_load&) const = default;
};

corrected_load CorrectLoad(const endpoint_view& endpoint, const selection_settings& settings);

// This router's dispatches that are not yet included in load reports; at most `kMaxDispatches` per endpoint.
class dispatch_log {
 public:
  static constexpr std::size_t kMaxDispatches = 1'000;

  struct totals {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t prefills = 0;
    std::uint32_t decodes = 0;

    bool operator==(const totals&) const = default;
  };

  void RecordPrefill(const endpoint_name& endpoint, std::uint32_t prompt_tokens, time_point now);
  void RecordDecode(const endpoint_name& endpoint, time_point now);

  // A report measured at `taken` (local time: receipt minus the link delay) includes all dispatches that had arrived by
  // then. Removes these from the log.
  void RecordReport(const endpoint_name& endpoint, time_point taken, microseconds link_delay);

  totals DispatchedSinceReport(const endpoint_name& endpoint) const;
  void DropEndpoint(const endpoint_name& endpoint) { dispatches_.erase(endpoint); }

 private:
  struct dispatch {
    time_point sent;
    std::uint32_t prompt_tokens = 0;
    bool is_decode = false;
  };
  void Add(const endpoint_name& endpoint, const dispatch& added);

  std::unordered_map<endpoint_name, std::deque<dispatch>> dispatches_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. choices
// ---------------------------------------------------------------------------------------------------------------------

struct prefill_request {
  std::uint32_t prompt_tokens = 0;
  zone_name preferred_zone;  // empty: none
  std::uint64_t draw = 0;

  bool operator==(const prefill_request&) const = default;
};

struct prefill_choice {
  std::size_t index = 0;    // index into the views
  microseconds wait{0};     // until the prefill starts
  microseconds prefill{0};  // of the tokens that are not cached
  std::uint32_t uncached_tokens = 0;

  bool operator==(const prefill_choice&) const = default;
};

// The endpoint with the earliest predicted end of the prefill. Nothing if no endpoint can receive work.
std::optional<prefill_choice> ChoosePrefill(std::span<const endpoint_view> endpoints, const prefill_request& request,
                                            const selection_settings& settings);

struct decode_request {
  microseconds needed_in{0};  // predicted end of prefill and transfer
  zone_name prefill_zone;     // source of the KV cache; empty: unknown
  std::uint64_t draw = 0;

  bool operator==(const decode_request&) const = default;
};

struct decode_choice {
  std::size_t index = 0;    // index into the views
  microseconds free_in{0};  // until the slot is free

  bool operator==(const decode_choice&) const = default;
};

// The least loaded endpoint among those with a slot that is predicted to be free when needed, within `decode_slack`.
// Nothing if there is none; the prefill must not be started then.
std::optional<decode_choice> ChooseDecode(std::span<const endpoint_view> endpoints, const decode_request& request,
                                          const selection_settings& settings);

struct service_request {
  zone_name preferred_zone;  // empty: none
  std::uint64_t draw = 0;

  bool operator==(const service_request&) const = default;
};

// The endpoint with the fewest calls in progress, as reported and from this router. Ties prefer the same zone. If the
// limits of all endpoints make a request wait, the one with the shortest wait.
std::optional<std::size_t> ChooseService(std::span<const endpoint_view> endpoints, const service_request& request,
                                         const selection_settings& settings);

// ---------------------------------------------------------------------------------------------------------------------
// 4. subset of a router
// ---------------------------------------------------------------------------------------------------------------------

struct subset_member {
  endpoint_name name;
  zone_name zone;

  auto operator<=>(const subset_member&) const = default;
};

// xxHash of `candidate`, seeded with the hash of `chooser`, such as the name of a router or an account. All rendezvous
// hashing uses it, so that every process ranks the candidates alike.
std::uint64_t RendezvousScore(std::string_view chooser, std::string_view candidate);

// Returns the endpoints that a router connects to, sorted by name. Takes the endpoint with the highest rendezvous score
// of every zone, then those with the highest scores of the rest, `size` in total (more if there are more zones). Adding
// or removing one endpoint changes at most one other member.
std::vector<endpoint_name> PickSubset(const router_name& router, std::span<const subset_member> endpoints,
                                      std::size_t size);

// ---------------------------------------------------------------------------------------------------------------------
// 5. health
// ---------------------------------------------------------------------------------------------------------------------

struct health_settings {
  double slow_factor = 3.0;                               // ejected if slower than this times the median of the pool
  double min_latency_ratio = 1.5;                         // an endpoint below this ratio is never ejected as slow
  std::uint32_t min_answers = 5;                          // with fewer recent answers, latency is not judged
  std::uint32_t failures_to_eject = 3;                    // an endpoint is ejected after this many consecutive failures
  double max_ejected_share = 0.34;                        // of the pool's endpoints; at least one of two or more
  milliseconds window = milliseconds(5'000);              // time constant of the decay of answers
  milliseconds ejection_time = milliseconds(5'000);       // before the first readmission step
  milliseconds max_ejection_time = milliseconds(60'000);  // consecutive ejections double the time up to this
  milliseconds readmission_step_time = milliseconds(3'000);  // duration of each readmission step

  bool operator==(const health_settings&) const = default;
};

enum class health_phase : std::uint8_t { kHealthy, kEjected, kReadmitting };

struct health_change {
  endpoint_name endpoint;
  health_phase phase = health_phase::kHealthy;
  double share = 1.0;  // of its normal traffic

  bool operator==(const health_change&) const = default;
};

// Outlier detection: latency and failures of the endpoints of one pool and role.
class health_table {
 public:
  static constexpr double kReadmissionShares[] = {0.10, 0.25, 0.50};  // of normal traffic, by step; then 100%

  explicit health_table(health_settings settings) : settings_(settings) {}

  // Replaces the set of endpoints. New ones start healthy.
  void SetEndpoints(std::span<const endpoint_name> endpoints);

  // `latency_ratio` is the measured time divided by the predicted one, so that long prompts do not count as slow.
  void RecordAnswer(const endpoint_name& endpoint, double latency_ratio, time_point now);
  void RecordFailure(const endpoint_name& endpoint, time_point now);

  // Ejects and readmits endpoints. Returns the changes.
  std::vector<health_change> UpdateHealth(time_point now);

  // Share of its normal traffic that the endpoint may get: 1 when healthy or unknown, 0 when ejected.
  double HealthShare(const endpoint_name& endpoint) const;

 private:
  struct entry {
    health_phase phase = health_phase::kHealthy;
    std::size_t step = 0;
    time_point changed;            // start of the current phase or step
    std::uint32_t ejections = 0;   // consecutive
    std::uint32_t failures = 0;    // consecutive
    double answers = 0;            // decaying count
    double latency_ratio_sum = 0;  // decaying
    time_point updated;
  };
  void Decay(entry& endpoint, time_point now) const;
  double MedianLatencyRatio() const;
  bool IsSlow(const entry& endpoint, double median) const;
  bool IsUnhealthy(const entry& endpoint, double median) const;
  bool MayEject() const;
  void Eject(entry& endpoint, time_point now) const;
  void Readmit(entry& endpoint, time_point now) const;
  milliseconds EjectionTime(const entry& endpoint) const;
  static double Share(const entry& endpoint);

  health_settings settings_;
  std::map<endpoint_name, entry> entries_;
};

}  // namespace persimmon
