// Choice of endpoints for prefill, decode and service calls.
//
// Sections
//   1. endpoint views
//   2. corrected load and own dispatches
//   3. choices
//   4. subset of a router
//   5. health
//
// Choices are functions of immutable views. `draw` arguments are random numbers of the caller; they decide between
// equal candidates and whether a partly readmitted endpoint takes part.
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

// What a router knows about one endpoint when it chooses.
struct endpoint_view {
  endpoint_name name;
  zone_name zone;
  bool can_receive = true;                     // membership, role, model and record allow new work
  double health_share = 1.0;                   // 0: ejected; below 1: being readmitted
  microseconds link_delay{0};                  // one way
  microseconds report_age{0};                  // since the load report was taken
  std::uint16_t prefill_free = 0;              // as reported: slots
  std::uint16_t decode_free = 0;               // as reported: slots
  std::uint16_t decode_slots = 0;              // as reported
  std::uint32_t queued_tokens = 0;             // as reported: prompt tokens not yet prefilled; of a service: calls
  std::uint32_t prefill_tokens_per_s = 0;      // as reported; 0: unknown
  microseconds token_interval{0};              // as reported; 0: unknown
  microseconds decode_free_in{0};              // as reported: until the next decode slot is free
  std::uint32_t dispatched_prompt_tokens = 0;  // by this router, not in the report
  std::uint32_t dispatched_prefills = 0;       // by this router, not in the report
  std::uint32_t dispatched_decodes = 0;        // by this router, not in the report
  std::uint32_t calls_in_progress = 0;         // service calls and streams of this router on the endpoint
  std::uint32_t cached_tokens = 0;             // leading prompt tokens that are probably cached there

  bool operator==(const endpoint_view&) const = default;
};

struct selection_settings {
  double default_prefill_tokens_per_s = 10'000;                // for an endpoint that reports no pace
  microseconds cross_zone_cost = microseconds(2'000);          // added for an endpoint in another zone than preferred
  microseconds decode_slack = microseconds(50'000);            // a decode slot may be free this much later than needed
  microseconds stale_report = microseconds(2'000'000);         // an older report counts as no free slot
  microseconds default_token_interval = microseconds(50'000);  // for an endpoint that reports none
  microseconds default_slot_wait = microseconds(250'000);      // until a decode slot is free, where none is reported

  bool operator==(const selection_settings&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. corrected load and own dispatches
// ---------------------------------------------------------------------------------------------------------------------

// Load of an endpoint now: its report, what it has done since, and this router's dispatches that the report lacks.
struct corrected_load {
  microseconds prefill_wait{0};  // until a prefill that is sent now would start
  std::uint32_t prefill_free = 0;
  std::uint32_t decode_free = 0;
  microseconds decode_wait{0};  // until a decode slot is free

  bool operator==(const corrected_load&) const = default;
};

corrected_load CorrectLoad(const endpoint_view& endpoint, const selection_settings& settings);

// This router's dispatches that the reports do not show yet. Bounded: at most `kMaxDispatches` per endpoint.
class dispatch_log {
 public:
  static constexpr std::size_t kMaxDispatches = 1'000;

  struct totals {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t prefills = 0;
    std::uint32_t decodes = 0;

    bool operator==(const totals&) const = default;
  };

  void NotePrefill(const endpoint_name& endpoint, std::uint32_t prompt_tokens, time_point now);
  void NoteDecode(const endpoint_name& endpoint, time_point now);

  // A report taken at `taken` (local time: receipt less the link delay) shows every dispatch that had arrived by then.
  void NoteReport(const endpoint_name& endpoint, time_point taken, microseconds link_delay);

  totals Unreported(const endpoint_name& endpoint) const;
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
  std::size_t index = 0;    // into the views
  microseconds wait{0};     // until the prefill starts
  microseconds prefill{0};  // of the tokens that are not cached
  std::uint32_t uncached_tokens = 0;

  bool operator==(const prefill_choice&) const = default;
};

// The endpoint with the earliest predicted end of the prefill. Nothing if none can receive work.
std::optional<prefill_choice> ChoosePrefill(std::span<const endpoint_view> endpoints, const prefill_request& request,
                                            const selection_settings& settings);

struct decode_request {
  microseconds needed_in{0};  // predicted end of prefill and transfer
  zone_name prefill_zone;     // where the KV cache comes from; empty: unknown
  std::uint64_t draw = 0;

  bool operator==(const decode_request&) const = default;
};

struct decode_choice {
  std::size_t index = 0;    // into the views
  microseconds free_in{0};  // until the slot is free

  bool operator==(const decode_choice&) const = default;
};

// The least loaded endpoint among those whose slot is predicted to be free when needed, within `decode_slack`. Nothing
// if there is none: the prefill is then not started.
std::optional<decode_choice> ChooseDecode(std::span<const endpoint_view> endpoints, const decode_request& request,
                                          const selection_settings& settings);

struct service_request {
  zone_name preferred_zone;  // empty: none
  std::uint64_t draw = 0;

  bool operator==(const service_request&) const = default;
};

// The endpoint with the fewest calls in progress, reported and own; same zone first among equals.
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

// xxHash of both texts, with a separator. All rendezvous hashing uses it, so that every process agrees.
std::uint64_t RendezvousScore(std::string_view chooser, std::string_view candidate);

// The endpoints that a router watches, sorted by name: the best of every zone by rendezvous hashing, then the best of
// the rest, `size` in all (more if there are more zones). Adding or removing one endpoint changes at most one other
// place.
std::vector<endpoint_name> PickSubset(const router_name& router, std::span<const subset_member> endpoints,
                                      std::size_t size);

// ---------------------------------------------------------------------------------------------------------------------
// 5. health
// ---------------------------------------------------------------------------------------------------------------------

struct health_settings {
  double slow_factor = 3.0;                          // slower than this times the median of the pool: ejected
  double min_slowness = 1.5;                         // answers this close to their prediction are never slow
  std::uint32_t min_answers = 5;                     // fewer recent answers give no verdict on speed
  std::uint32_t failures_to_eject = 3;               // in a row
  double max_ejected_share = 0.34;                   // of the pool's capacity; at least one of two or more endpoints
  milliseconds window = milliseconds(5'000);         // time constant over which answers are forgotten
  milliseconds ejection = milliseconds(5'000);       // before the first step of readmission
  milliseconds max_ejection = milliseconds(60'000);  // doubled with each ejection in a row, up to this
  milliseconds step = milliseconds(3'000);           // duration of each step

  bool operator==(const health_settings&) const = default;
};

enum class health_phase : std::uint8_t { kHealthy, kEjected, kReadmitting };

struct health_change {
  endpoint_name endpoint;
  health_phase phase = health_phase::kHealthy;
  double share = 1.0;  // of its normal work

  bool operator==(const health_change&) const = default;
};

// Speed and failures of the endpoints of one pool and role.
class health_table {
 public:
  static constexpr double kSteps[] = {0.10, 0.25, 0.50};  // of readmission; then 100%

  explicit health_table(health_settings settings) : settings_(settings) {}

  // Makes the table hold exactly these endpoints. New ones start healthy.
  void SetEndpoints(std::span<const endpoint_name> endpoints);

  // `slowness` is the measured time divided by the predicted one, so that long prompts do not look slow.
  void NoteAnswer(const endpoint_name& endpoint, double slowness, time_point now);
  void NoteFailure(const endpoint_name& endpoint, time_point now);

  // Ejects and readmits. Returns what changed.
  std::vector<health_change> UpdateHealth(time_point now);

  // Share of its normal work that the endpoint may get: 1 when healthy or unknown, 0 when ejected.
  double HealthShare(const endpoint_name& endpoint) const;

 private:
  struct entry {
    health_phase phase = health_phase::kHealthy;
    std::size_t step = 0;
    time_point changed;           // start of the phase or step
    std::uint32_t ejections = 0;  // in a row
    std::uint32_t failures = 0;   // in a row
    double answers = 0;           // fading
    double slowness_sum = 0;      // fading
    time_point updated;
  };
  void Fade(entry& endpoint, time_point now) const;
  double MedianSlowness() const;
  bool IsSlow(const entry& endpoint, double median) const;
  bool IsBad(const entry& endpoint, double median) const;
  bool MayEject() const;
  void Eject(entry& endpoint, time_point now) const;
  void Readmit(entry& endpoint, time_point now) const;
  milliseconds EjectionTime(const entry& endpoint) const;
  static double Share(const entry& endpoint);

  health_settings settings_;
  std::map<endpoint_name, entry> entries_;
};

}  // namespace persimmon
