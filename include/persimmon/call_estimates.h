// Estimates of when an endpoint of a plain service would answer a call, the choice of an endpoint by them, and the
// times at which attempts of one call start. Docs: docs/design/uneven-endpoints.md.
//
// Sections
//   1. decaying times
//   2. estimates of one service
//   3. schedule of the attempts of one call
//
// Addresses endpoints that differ in speed for some hundred milliseconds at a time while each router sees only a few
// responses per second of each.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>

#include "persimmon/selection.h"
#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. decaying times
// ---------------------------------------------------------------------------------------------------------------------

// Histogram of durations from 0.5 ms to 100 s in logarithmic bins; the weight of a sample decays exponentially. The
// error of a quantile is at most 12%.
class decaying_times {
 public:
  explicit decaying_times(milliseconds decay_time) : decay_time_(decay_time) {}

  void Record(microseconds duration, time_point now);

  // Number of recent samples: the sum of their decayed weights.
  double Weight(time_point now) const;

  // The duration that this share of the recent samples does not exceed; 0 without samples.
  microseconds Quantile(double share) const;

 private:
  static constexpr std::size_t kBins = 64;

  milliseconds decay_time_;
  std::array<float, kBins> weights_{};
  double total_ = 0;
  time_point updated_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. estimates of one service
// ---------------------------------------------------------------------------------------------------------------------

struct estimate_settings {
  // Time constants. An endpoint responds slowly for some hundred milliseconds at a time, so what is known about its
  // current speed loses its value as fast.
  milliseconds slow_memory = milliseconds(400);
  milliseconds load_memory = milliseconds(150);     // of a reported number of requests; a call takes some 30 ms
  milliseconds history = milliseconds(10'000);      // of usual durations
  milliseconds report_limit = milliseconds(1'000);  // an endpoint not heard of for longer is never a reason to refuse
  // Share of the calls for which an endpoint is chosen without regard to the estimates, so that an endpoint that looks
  // slow still gets enough calls for its recovery to be detected.
  double probe_share = 0.03;
  microseconds default_work = milliseconds(30);    // duration of a call while none has been measured
  std::uint32_t default_slots = 8;                 // of an endpoint that reports none
  milliseconds idle_limit = milliseconds(60'000);  // an endpoint that has got no calls for this long is forgotten

  bool operator==(const estimate_settings&) const = default;
};

// What a response states about the load of its endpoint.
struct server_load {
  std::optional<std::uint32_t> running;
  std::optional<std::uint32_t> waiting;
  std::optional<std::uint32_t> slots;
  std::optional<std::uint32_t> work_time_percent;

  bool operator==(const server_load&) const = default;
};

// One process of an endpoint. State of an earlier incarnation is dropped when a later one is seen.
struct endpoint_incarnation {
  endpoint_name name;
  std::uint64_t started_ms = 0;

  bool operator==(const endpoint_incarnation&) const = default;
};

enum class call_end : std::uint8_t {
  kAnswered,   // complete response; its duration is a sample
  kNoSample,   // failed or not sent: the duration says nothing about the speed of the endpoint
  kRejected,   // not run; only a full endpoint rejects calls
  kAbandoned,  // ended by the router before the response: the duration is a lower bound
};

struct call_request {
  zone_name preferred_zone;  // empty: none
  zone_name avoided_zone;    // of an earlier attempt that is still in progress; empty: none
  std::uint64_t draw = 0;    // random number

  bool operator==(const call_request&) const = default;
};

struct call_choice {
  std::size_t index = 0;      // index into the views
  microseconds predicted{0};  // time until the response

  bool operator==(const call_choice&) const = default;
};

class call_estimates {
 public:
  static constexpr std::size_t kMaxEndpoints = 2'048;      // the one without calls for the longest time is forgotten
  static constexpr std::size_t kMaxCallsInProgress = 512;  // per endpoint; further ones have no id and no age

  using call_id = std::uint64_t;

  explicit call_estimates(estimate_settings settings);

  // A call has been sent to the endpoint. The id, which is never reused, is to be passed to RecordEnd.
  call_id RecordStart(const endpoint_incarnation& endpoint, time_point now);
  void RecordEnd(const endpoint_incarnation& endpoint, call_id call, call_end end, time_point now);
  void RecordReport(const endpoint_incarnation& endpoint, const server_load& report, time_point now);

  // Forgets endpoints that get no calls.
  void RemoveIdle(time_point now);

  // Time from now until the response of a call that is sent now. `calls_in_progress`: known calls of all routers there.
  microseconds PredictFinish(const endpoint_name& endpoint, std::uint32_t calls_in_progress, time_point now) const;

  // Chooses the better of two random candidates, which are drawn with weights by their estimates, so that routers with
  // the same information do not choose the same endpoint. Endpoints whose estimates hardly differ count as equal; then
  // the preferred zone decides. As with ChooseService, only endpoints with the shortest wait for a permit are
  // candidates, and an ejected endpoint only if there is no other. Nothing if no endpoint can receive calls.
  std::optional<call_choice> Choose(std::span<const endpoint_view> endpoints, const call_request& request,
                                    time_point now) const;

  // The shortest predicted time until a response if every endpoint that can receive calls is predicted to answer later
  // than `time_left`, and all of these predictions rest on recent responses. Otherwise nothing.
  std::optional<microseconds> FindOverload(std::span<const endpoint_view> endpoints, microseconds time_left,
                                           time_point now) const;

  // Response time that this share of the recent calls of the service does not exceed; 0 while none is known. Calls that
  // the router has ended early count with their duration until then.
  microseconds ResponseTime(double share) const { return responses_.Quantile(share); }

  // The same for one endpoint, without waiting time and at the usual work time.
  microseconds WorkTime(const endpoint_name& endpoint, double share) const;

  std::size_t EndpointCount() const { return endpoints_.size(); }

 private:
  struct endpoint_state {
    explicit endpoint_state(milliseconds history) : work(history) {}

    std::uint64_t started_ms = 0;
    server_load report;
    std::optional<time_point> reported;  // receipt of the report
    double mean_load = 0;                // decayed mean of reported requests
    decaying_times work;                 // durations without waiting time, at the usual work time
    double log_slowness_sum = 0;         // decayed sum of the logarithms of measured duration / usual duration
    double slowness_weight = 0;          // decayed number of samples in it
    time_point slowness_updated;
    std::uint32_t unanswered = 0;         // abandoned calls since the last response
    std::map<call_id, time_point> calls;  // in progress, by id, with their starts
    std::optional<time_point> heard;      // last response
    time_point used;                      // last call
  };

  endpoint_state* Find(const endpoint_incarnation& endpoint);
  endpoint_state* FindOrAdd(const endpoint_incarnation& endpoint, time_point now);
  const endpoint_state* Find(const endpoint_name& endpoint) const;
  microseconds UsualWork(const endpoint_state* state, time_point now) const;
  double ReportedSlowness(const endpoint_state& state, time_point now) const;
  double MeasuredSlowness(const endpoint_state& state, time_point now) const;
  double SlownessOfCallsInProgress(const endpoint_state& state, double usual_us, time_point now) const;
  void RecordSlowness(endpoint_state& state, double ratio, time_point now);
  microseconds SlownessMemory(const endpoint_state& state) const;
  double EstimateLoad(const endpoint_state& state, std::uint32_t calls_in_progress, time_point now) const;

  estimate_settings settings_;
  std::map<endpoint_name, endpoint_state> endpoints_;
  decaying_times work_;       // of all endpoints, without waiting time and at the usual work time
  decaying_times responses_;  // response times of the service
  call_id next_call_ = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. schedule of the attempts of one call
// ---------------------------------------------------------------------------------------------------------------------

enum class attempt_end : std::uint8_t {
  kNotSent,   // nothing was sent; does not count as an attempt
  kRejected,  // the endpoint states that it has not run the call
  kFailed,    // response with a server error, or no complete response
};

// When the next attempt of an idempotent call may start. Attempts overlap: one that is slow goes on while the next one
// runs elsewhere. At most two are in progress at a time.
class attempt_schedule {
 public:
  // `second_after`: time after which an attempt is joined by another one.
  attempt_schedule(std::uint32_t max_attempts, microseconds second_after, time_point now)
      : max_attempts_(max_attempts), second_after_(second_after), next_(now) {}

  void RecordStart(time_point now);
  void RecordEnd(attempt_end end, time_point now);

  // When the next attempt is due: in the past if one has failed and none is in progress. Nothing if none may start.
  std::optional<time_point> NextStart() const;

  // The attempt that was due could not be started, for example because the budget is spent. The next one is due when
  // all attempts in progress have failed; without any, none is started any more.
  void RecordNoStart();

  std::uint32_t InProgress() const { return in_progress_; }
  std::uint32_t Sent() const { return sent_; }  // including those in progress

 private:
  static constexpr std::uint32_t kMaxInProgress = 2;

  std::uint32_t max_attempts_;
  microseconds second_after_;
  time_point next_;
  std::uint32_t sent_ = 0;
  std::uint32_t in_progress_ = 0;
};

}  // namespace persimmon
