// Sections
//   1. decaying times
//   2. estimates of one service
//   3. schedule of the attempts of one call
#include "persimmon/call_estimates.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace persimmon {
namespace {

constexpr double kFirstBinUs = 500;      // upper end of the first bin
constexpr double kBinGrowth = 1.21;      // 63 further bins reach 100 s
constexpr double kMinHistoryWeight = 5;  // samples of one endpoint from which its own usual duration is used
constexpr double kPriorWeight = 1;       // samples that a usual speed counts as, so that one slow call proves little
constexpr double kMinSlowness = 0.5;
constexpr double kMaxSlowness = 8;
constexpr std::uint32_t kMaxMemoryDoublings = 3;
// A candidate with half the predicted time is drawn four times as often.
constexpr double kWeightExponent = 2;
// Predictions within this factor count as equal, because their error is larger.
constexpr double kEqualFactor = 1.1;
// A second attempt is worth more where it does not share the fault of the first one's zone.
constexpr double kAvoidedZoneFactor = 1.5;
// Assumed queue of an endpoint that rejects a call without stating its load, in rounds of its slots.
constexpr std::uint32_t kFullRounds = 2;
// Of a service with more endpoints, a random selection of this many is estimated. A choice then takes 22 us rather than
// 860 us with 1,400 endpoints.
constexpr std::size_t kMaxCandidates = 16;
// An attempt that was abandoned earlier than this multiple of the usual duration says nothing about the endpoint.
constexpr double kMinAbandonedRatio = 2;

double Us(microseconds duration) { return static_cast<double>(duration.count()); }

microseconds FromUs(double us) { return microseconds(static_cast<std::int64_t>(us)); }

microseconds Elapsed(time_point from, time_point until) {
  return std::chrono::duration_cast<microseconds>(std::max(until, from) - from);
}

double DecayFactor(microseconds age, microseconds decay_time) { return std::exp(-Us(age) / Us(decay_time)); }

// Random numbers in [0, 1) derived from one draw (the generator splitmix64).
class unit_draws {
 public:
  explicit unit_draws(std::uint64_t seed) : state_(seed) {}

  double Next() {
    constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
    state_ += 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return static_cast<double>((mixed ^ (mixed >> 31U)) >> 11U) * kScale;
  }

 private:
  std::uint64_t state_;
};

struct candidate {
  std::size_t index = 0;
  double finish_us = 0;  // predicted
  double cost = 0;       // finish_us, raised for the avoided zone
  double weight = 0;
  double health = 0;
};

// Draws one candidate with the probability proportional to a weight.
template <class function>
const candidate& Draw(const std::vector<candidate>& candidates, double draw, function weight_of) {
  double total = 0;
  for (const candidate& item : candidates) {
    total += weight_of(item);
  }
  double rest = draw * total;
  for (const candidate& item : candidates) {
    rest -= weight_of(item);
    if (rest < 0) {
      return item;
    }
  }
  return candidates.back();
}

// Indexes of the endpoints among which a call may be chosen.
std::vector<std::size_t> ListCandidates(std::span<const endpoint_view> endpoints) {
  const auto list = [&](const auto& is_candidate) {
    std::vector<std::size_t> found;
    std::optional<microseconds> shortest_wait;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      if (is_candidate(endpoints[i]) && endpoints[i].permit_wait <= shortest_wait.value_or(microseconds::max())) {
        if (shortest_wait && endpoints[i].permit_wait < *shortest_wait) {
          found.clear();
        }
        shortest_wait = endpoints[i].permit_wait;
        found.push_back(i);
      }
    }
    return found;
  };
  auto found = list([](const endpoint_view& view) { return view.can_receive && view.health_share > 0; });
  return found.empty() ? list([](const endpoint_view& view) { return view.can_receive; }) : found;
}

// Keeps a random selection of the indexes.
void LimitCandidates(std::vector<std::size_t>& indexes, unit_draws& draws) {
  if (indexes.size() <= kMaxCandidates) {
    return;
  }
  for (std::size_t i = 0; i < kMaxCandidates; ++i) {
    const auto offset = static_cast<std::size_t>(draws.Next() * static_cast<double>(indexes.size() - i));
    std::swap(indexes[i], indexes[i + offset]);
  }
  indexes.resize(kMaxCandidates);
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. decaying times
// ---------------------------------------------------------------------------------------------------------------------

void decaying_times::Record(microseconds duration, time_point now) {
  if (total_ > 0 && now > updated_) {
    const double factor = DecayFactor(Elapsed(updated_, now), decay_time_);
    for (float& weight : weights_) {
      weight = static_cast<float>(weight * factor);
    }
    total_ *= factor;
  }
  updated_ = std::max(updated_, now);
  const double steps = std::log(std::max(Us(duration), 1.0) / kFirstBinUs) / std::log(kBinGrowth);
  const auto bin = static_cast<std::size_t>(std::clamp(std::ceil(steps), 0.0, static_cast<double>(kBins - 1)));
  weights_[bin] += 1;
  total_ += 1;
}

double decaying_times::Weight(time_point now) const {
  return total_ > 0 ? total_ * DecayFactor(Elapsed(updated_, now), decay_time_) : 0;
}

microseconds decaying_times::Quantile(double share) const {
  if (total_ <= 0) {
    return microseconds(0);
  }
  double sum = 0;
  for (const float weight : weights_) {
    sum += weight;
  }
  double rest = share * sum;
  double upper_us = kFirstBinUs;
  for (std::size_t bin = 0; bin < kBins; ++bin) {
    rest -= weights_[bin];
    if (rest <= 0 && weights_[bin] > 0) {
      break;
    }
    upper_us *= kBinGrowth;
  }
  return FromUs(upper_us / std::sqrt(kBinGrowth));  // the middle of the bin
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. estimates of one service
// ---------------------------------------------------------------------------------------------------------------------

call_estimates::call_estimates(estimate_settings settings)
    : settings_(settings), work_(settings.history), responses_(settings.history) {}

const call_estimates::endpoint_state* call_estimates::Find(const endpoint_name& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? nullptr : &found->second;
}

// Returns the state only of this incarnation.
call_estimates::endpoint_state* call_estimates::Find(const endpoint_incarnation& endpoint) {
  const auto found = endpoints_.find(endpoint.name);
  const bool is_same = found != endpoints_.end() && found->second.started_ms == endpoint.started_ms;
  return is_same ? &found->second : nullptr;
}

// Replaces the state of an earlier incarnation; returns null if a later one is known.
call_estimates::endpoint_state* call_estimates::FindOrAdd(const endpoint_incarnation& endpoint, time_point now) {
  auto found = endpoints_.find(endpoint.name);
  if (found != endpoints_.end() && found->second.started_ms > endpoint.started_ms) {
    return nullptr;
  }
  if (found != endpoints_.end() && found->second.started_ms < endpoint.started_ms) {
    endpoints_.erase(found);
    found = endpoints_.end();
  }
  if (found == endpoints_.end()) {
    if (endpoints_.size() >= kMaxEndpoints) {
      endpoints_.erase(std::min_element(endpoints_.begin(), endpoints_.end(), [](const auto& left, const auto& right) {
        return left.second.used < right.second.used;
      }));
    }
    found = endpoints_.emplace(endpoint.name, endpoint_state(settings_.history)).first;
    found->second.started_ms = endpoint.started_ms;
    found->second.used = now;
  }
  return &found->second;
}

call_estimates::call_id call_estimates::RecordStart(const endpoint_incarnation& endpoint, time_point now) {
  const call_id id = ++next_call_;
  if (endpoint_state* state = FindOrAdd(endpoint, now)) {
    state->used = now;
    if (state->calls.size() < kMaxCallsInProgress) {
      state->calls.emplace(id, now);
    }
  }
  return id;
}

void call_estimates::RecordEnd(const endpoint_incarnation& endpoint, call_id call, call_end end, time_point now) {
  endpoint_state* state = Find(endpoint);
  if (state == nullptr) {
    return;
  }
  const auto found = state->calls.find(call);
  if (found == state->calls.end()) {
    return;
  }
  const time_point start = found->second;
  const microseconds duration = Elapsed(start, now);
  state->calls.erase(found);
  if (end == call_end::kNoSample) {
    return;
  }
  if (end == call_end::kRejected) {
    if (!state->reported || *state->reported < start) {
      const std::uint32_t slots = state->report.slots.value_or(settings_.default_slots);
      RecordReport(endpoint, {slots, kFullRounds * slots, slots, state->report.work_time_percent}, now);
    }
    return;
  }
  if (end == call_end::kAbandoned) {
    const double ratio = Us(duration) / (Us(UsualWork(state, now)) * ReportedSlowness(*state, now));
    // An attempt that has lost early would make the response times look short.
    if (ratio >= kMinAbandonedRatio) {
      responses_.Record(duration, now);
      ++state->unanswered;
      if (!state->heard || *state->heard < start) {
        // All responses are older than the call, so they do not contradict it.
        state->log_slowness_sum = 0;
        state->slowness_weight = 0;
      }
      RecordSlowness(*state, ratio, now);
    }
    return;
  }
  responses_.Record(duration, now);
  state->unanswered = 0;
  state->heard = now;
  // The report has come with this response. Its queue stands for the one that the call has waited in.
  const double slots = state->report.slots.value_or(settings_.default_slots);
  const double rounds = 1 + state->report.waiting.value_or(0) / std::max(slots, 1.0);
  const double work_time = state->report.work_time_percent.value_or(100) / 100.0;
  const double work_us = Us(duration) / rounds / work_time;
  state->work.Record(FromUs(work_us), now);
  work_.Record(FromUs(work_us), now);
  // After the sample has been recorded, so that the first ones are not compared with a default.
  RecordSlowness(*state, work_us / Us(UsualWork(state, now)), now);
}

void call_estimates::RecordReport(const endpoint_incarnation& endpoint, const server_load& report, time_point now) {
  endpoint_state* state = FindOrAdd(endpoint, now);
  if (state == nullptr || !(report.running || report.waiting || report.slots || report.work_time_percent)) {
    return;
  }
  const double load = static_cast<double>(report.running.value_or(0)) + report.waiting.value_or(0);
  const microseconds age = state->reported ? Elapsed(*state->reported, now) : settings_.slow_memory;
  const double kept = state->reported ? DecayFactor(age, settings_.slow_memory * 2) : 0;
  state->mean_load = kept * state->mean_load + (1 - kept) * load;
  state->report = report;
  state->reported = now;
  state->heard = now;
}

void call_estimates::RemoveIdle(time_point now) {
  std::erase_if(endpoints_, [&](const auto& item) {
    return item.second.calls.empty() && now - item.second.used > settings_.idle_limit;
  });
}

// Usual duration of a call at the endpoint without waiting.
microseconds call_estimates::UsualWork(const endpoint_state* state, time_point now) const {
  if (state != nullptr && state->work.Weight(now) >= kMinHistoryWeight) {
    return state->work.Quantile(0.5);
  }
  const microseconds work = work_.Quantile(0.5);
  return work > microseconds(0) ? work : settings_.default_work;
}

microseconds call_estimates::WorkTime(const endpoint_name& endpoint, double share) const {
  const endpoint_state* state = Find(endpoint);
  return state == nullptr ? microseconds(0) : state->work.Quantile(share);
}

// The older the report, the closer to the usual work time.
double call_estimates::ReportedSlowness(const endpoint_state& state, time_point now) const {
  if (!state.reported || !state.report.work_time_percent) {
    return 1;
  }
  const double reported = *state.report.work_time_percent / 100.0;
  return 1 + (reported - 1) * DecayFactor(Elapsed(*state.reported, now), settings_.slow_memory);
}

// What is known about an endpoint that repeatedly does not answer is kept longer, up to eight times. Otherwise each
// router would send a call to an endpoint that hangs several times a second.
microseconds call_estimates::SlownessMemory(const endpoint_state& state) const {
  return settings_.slow_memory * (1U << std::min(state.unanswered, kMaxMemoryDoublings));
}

void call_estimates::RecordSlowness(endpoint_state& state, double ratio, time_point now) {
  const double kept = DecayFactor(Elapsed(state.slowness_updated, now), SlownessMemory(state));
  state.log_slowness_sum = kept * state.log_slowness_sum + std::log(std::clamp(ratio, kMinSlowness, kMaxSlowness));
  state.slowness_weight = kept * state.slowness_weight + 1;
  state.slowness_updated = now;
}

double call_estimates::MeasuredSlowness(const endpoint_state& state, time_point now) const {
  const double kept = DecayFactor(Elapsed(state.slowness_updated, now), SlownessMemory(state));
  return std::exp(kept * state.log_slowness_sum / (kept * state.slowness_weight + kPriorWeight));
}

// A call in progress that has already taken longer than usual shows that the endpoint is slow before it responds.
double call_estimates::SlownessOfCallsInProgress(const endpoint_state& state, double usual_us, time_point now) const {
  if (state.calls.empty()) {
    return kMinSlowness;
  }
  const double ratio = Us(Elapsed(state.calls.begin()->second, now)) / usual_us;
  return ratio < kMinAbandonedRatio ? kMinSlowness : std::min(ratio, kMaxSlowness);
}

// Requests at the endpoint now. The reported number loses its value within a few call durations; then the mean of the
// reports is the better estimate.
double call_estimates::EstimateLoad(const endpoint_state& state, std::uint32_t calls_in_progress,
                                    time_point now) const {
  double load = 0;
  if (state.reported) {
    const double last = static_cast<double>(state.report.running.value_or(0)) + state.report.waiting.value_or(0);
    const double kept = DecayFactor(Elapsed(*state.reported, now), settings_.load_memory);
    load = kept * last + (1 - kept) * state.mean_load;
    for (auto call = state.calls.rbegin(); call != state.calls.rend() && call->second > *state.reported; ++call) {
      load += 1;
    }
  }
  return std::max(load, static_cast<double>(std::max<std::size_t>(state.calls.size(), calls_in_progress)));
}

microseconds call_estimates::PredictFinish(const endpoint_name& endpoint, std::uint32_t calls_in_progress,
                                           time_point now) const {
  const endpoint_state* state = Find(endpoint);
  const double usual_us = Us(UsualWork(state, now));
  if (state == nullptr) {
    return FromUs(usual_us * (1 + static_cast<double>(calls_in_progress) / settings_.default_slots));
  }
  const double slots = std::max(state->report.slots.value_or(settings_.default_slots), 1U);
  const double measured = std::max(MeasuredSlowness(*state, now), SlownessOfCallsInProgress(*state, usual_us, now));
  const double work_us = usual_us * ReportedSlowness(*state, now) * measured;
  const double load = EstimateLoad(*state, calls_in_progress, now);
  const double wait_us = std::max(0.0, load + 1 - slots) / slots * work_us;
  // Below the number of slots, a free endpoint is still the safer one: the load is only an estimate.
  const double share_used = std::min(1.0, load / slots);
  return FromUs(wait_us + work_us * (1 + 0.2 * share_used));
}

std::optional<call_choice> call_estimates::Choose(std::span<const endpoint_view> endpoints, const call_request& request,
                                                  time_point now) const {
  unit_draws draws(request.draw);
  std::vector<std::size_t> indexes = ListCandidates(endpoints);
  LimitCandidates(indexes, draws);
  std::vector<candidate> candidates;
  for (const std::size_t index : indexes) {
    const endpoint_view& view = endpoints[index];
    candidate item;
    item.index = index;
    item.finish_us = std::max(1.0, Us(PredictFinish(view.name, view.calls_in_progress, now)));
    const bool is_avoided = !request.avoided_zone.empty() && view.zone == request.avoided_zone;
    item.cost = item.finish_us * (is_avoided ? kAvoidedZoneFactor : 1);
    item.health = view.health_share > 0 ? view.health_share : 1;  // 0 only if all are ejected
    item.weight = item.health / std::pow(item.cost, kWeightExponent);
    candidates.push_back(item);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const bool is_probe = draws.Next() < settings_.probe_share && request.avoided_zone.empty();
  if (is_probe) {
    const candidate& probed = Draw(candidates, draws.Next(), [](const candidate& item) { return item.health; });
    return call_choice{probed.index, FromUs(probed.finish_us)};
  }
  const auto weight_of = [](const candidate& item) { return item.weight; };
  const candidate& first = Draw(candidates, draws.Next(), weight_of);
  const candidate& second = Draw(candidates, draws.Next(), weight_of);
  const auto is_local = [&](const candidate& item) { return endpoints[item.index].zone == request.preferred_zone; };
  const bool are_equal =
      first.cost < second.cost * kEqualFactor && second.cost < first.cost * kEqualFactor && first.index != second.index;
  bool takes_second = second.cost < first.cost;
  if (are_equal) {
    takes_second = is_local(second) && !is_local(first);
  }
  const candidate& chosen = takes_second ? second : first;
  return call_choice{chosen.index, FromUs(chosen.finish_us)};
}

std::optional<microseconds> call_estimates::FindOverload(std::span<const endpoint_view> endpoints,
                                                         microseconds time_left, time_point now) const {
  std::optional<microseconds> shortest;
  for (const endpoint_view& view : endpoints) {
    if (!view.can_receive) {
      continue;
    }
    const endpoint_state* state = Find(view.name);
    const bool is_known = state != nullptr && state->heard && now - *state->heard <= settings_.report_limit;
    const microseconds finish = PredictFinish(view.name, view.calls_in_progress, now);
    if (!is_known || finish <= time_left) {
      return std::nullopt;
    }
    shortest = std::min(shortest.value_or(finish), finish);
  }
  return shortest;
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. schedule of the attempts of one call
// ---------------------------------------------------------------------------------------------------------------------

void attempt_schedule::RecordStart(time_point now) {
  ++sent_;
  ++in_progress_;
  next_ = now + second_after_;
}

void attempt_schedule::RecordEnd(attempt_end end, time_point now) {
  in_progress_ -= in_progress_ > 0 ? 1 : 0;
  if (end == attempt_end::kNotSent) {
    sent_ -= sent_ > 0 ? 1 : 0;
  }
  // After a failure, an attempt that is still in progress stands for the retry until it is late itself.
  if (end != attempt_end::kFailed || in_progress_ == 0) {
    next_ = std::min(next_, now);
  }
}

void attempt_schedule::RecordNoStart() {
  if (in_progress_ == 0) {
    max_attempts_ = sent_;
  }
  next_ = time_point::max();
}

std::optional<time_point> attempt_schedule::NextStart() const {
  const bool may_start = sent_ < max_attempts_ && in_progress_ < kMaxInProgress;
  return may_start ? std::optional(next_) : std::nullopt;
}

}  // namespace persimmon
