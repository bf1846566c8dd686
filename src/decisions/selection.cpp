// Sections
//   1. corrected load and dispatch log
//   2. choices
//   3. subset of a router
//   4. health
#include "persimmon/selection.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace persimmon {
namespace {

constexpr microseconds kOneSecond = microseconds(1'000'000);

microseconds TimeFor(double tokens, double tokens_per_s) {
  return microseconds(static_cast<std::int64_t>(tokens / tokens_per_s * static_cast<double>(kOneSecond.count())));
}

double PrefillSpeed(const endpoint_view& endpoint, const selection_settings& settings) {
  return endpoint.prefill_tokens_per_s > 0 ? endpoint.prefill_tokens_per_s : settings.default_prefill_tokens_per_s;
}

std::uint64_t HashedDraw(const endpoint_view& endpoint, std::uint64_t draw) {
  return XXH64(endpoint.name.value.data(), endpoint.name.value.size(), draw);
}

// Uniformly distributed in [0, 1).
double UniformDraw(const endpoint_view& endpoint, std::uint64_t draw) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(HashedDraw(endpoint, draw) >> 11U) * kScale;
}

// Chooses among the endpoints that may receive traffic in view of their health. If there are none, chooses among all
// that can receive work: an ejected endpoint is better than none.
template <class choice, class function>
std::optional<choice> ChooseByHealth(std::span<const endpoint_view> endpoints, std::uint64_t draw, function choose) {
  const auto is_in_rotation = [draw](const endpoint_view& endpoint) {
    return endpoint.health_share >= 1.0 || UniformDraw(endpoint, draw + 1) < endpoint.health_share;
  };
  if (auto found = choose([&](const endpoint_view& e) { return e.can_receive && is_in_rotation(e); })) {
    return found;
  }
  const bool has_candidate = std::any_of(endpoints.begin(), endpoints.end(),
                                         [&](const endpoint_view& e) { return e.can_receive && is_in_rotation(e); });
  if (has_candidate) {
    return std::nullopt;
  }
  return choose([](const endpoint_view& e) { return e.can_receive; });
}

bool IsOtherZone(const endpoint_view& endpoint, const zone_name& preferred) {
  return !preferred.empty() && endpoint.zone != preferred;
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. corrected load and dispatch log
// ---------------------------------------------------------------------------------------------------------------------

corrected_load CorrectLoad(const endpoint_view& endpoint, const selection_settings& settings) {
  const bool is_stale = endpoint.report_age > settings.max_report_age;
  const std::uint32_t prefill_free = is_stale ? 0 : endpoint.prefill_free;
  const std::uint32_t decode_free = is_stale ? 0 : endpoint.decode_free;
  const double speed = PrefillSpeed(endpoint, settings);
  const double age_s = std::chrono::duration<double>(endpoint.report_age).count();
  corrected_load load;
  load.prefill_free = prefill_free - std::min(prefill_free, endpoint.dispatched_prefills);
  if (load.prefill_free == 0) {
    const double left = std::max(0.0, endpoint.queued_tokens - speed * age_s);
    load.prefill_wait = TimeFor(left + endpoint.dispatched_prompt_tokens, speed);
  }
  load.decode_free = decode_free - std::min(decode_free, endpoint.dispatched_decodes);
  if (load.decode_free == 0) {
    // Every dispatch beyond the free slots waits until one more slot is released.
    const std::uint32_t excess = endpoint.dispatched_decodes - std::min(decode_free, endpoint.dispatched_decodes);
    const microseconds slot_wait =
        endpoint.decode_free_in > microseconds(0) ? endpoint.decode_free_in : settings.default_slot_wait;
    load.decode_wait = std::max(microseconds(0), slot_wait * (excess + 1) - endpoint.report_age);
  }
  return load;
}

void dispatch_log::Add(const endpoint_name& endpoint, const dispatch& added) {
  auto& list = dispatches_[endpoint];
  list.push_back(added);
  if (list.size() > kMaxDispatches) {
    list.pop_front();
  }
}

void dispatch_log::RecordPrefill(const endpoint_name& endpoint, std::uint32_t prompt_tokens, time_point now) {
  Add(endpoint, {now, prompt_tokens, false});
}

void dispatch_log::RecordDecode(const endpoint_name& endpoint, time_point now) { Add(endpoint, {now, 0, true}); }

void dispatch_log::RecordReport(const endpoint_name& endpoint, time_point taken, microseconds link_delay) {
  const auto found = dispatches_.find(endpoint);
  if (found == dispatches_.end()) {
    return;
  }
  std::erase_if(found->second, [&](const dispatch& sent) { return sent.sent + link_delay <= taken; });
  if (found->second.empty()) {
    dispatches_.erase(found);
  }
}

dispatch_log::totals dispatch_log::DispatchedSinceReport(const endpoint_name& endpoint) const {
  totals sum;
  const auto found = dispatches_.find(endpoint);
  if (found == dispatches_.end()) {
    return sum;
  }
  for (const dispatch& sent : found->second) {
    sum.prompt_tokens += sent.prompt_tokens;
    sum.prefills += sent.is_decode ? 0 : 1;
    sum.decodes += sent.is_decode ? 1 : 0;
  }
  return sum;
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. choices
// ---------------------------------------------------------------------------------------------------------------------

std::optional<prefill_choice> ChoosePrefill(std::span<const endpoint_view> endpoints, const prefill_request& request,
                                            const selection_settings& settings) {
  return ChooseByHealth<prefill_choice>(endpoints, request.draw, [&](const auto& is_candidate) {
    std::optional<prefill_choice> best;
    std::tuple<microseconds, std::uint64_t> least;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      const endpoint_view& endpoint = endpoints[i];
      if (!is_candidate(endpoint)) {
        continue;
      }
      prefill_choice choice;
      choice.index = i;
      choice.uncached_tokens = request.prompt_tokens - std::min(request.prompt_tokens, endpoint.cached_tokens);
      choice.wait = endpoint.link_delay + CorrectLoad(endpoint, settings).prefill_wait;
      choice.prefill = TimeFor(choice.uncached_tokens, PrefillSpeed(endpoint, settings));
      const bool is_cross_zone = IsOtherZone(endpoint, request.preferred_zone);
      const microseconds cost =
          choice.wait + choice.prefill + (is_cross_zone ? settings.cross_zone_cost : microseconds(0));
      const std::tuple order(cost, HashedDraw(endpoint, request.draw));
      if (!best || order < least) {
        best = choice;
        least = order;
      }
    }
    return best;
  });
}

std::optional<decode_choice> ChooseDecode(std::span<const endpoint_view> endpoints, const decode_request& request,
                                          const selection_settings& settings) {
  return ChooseByHealth<decode_choice>(endpoints, request.draw, [&](const auto& is_candidate) {
    std::optional<decode_choice> best;
    std::tuple<microseconds, std::uint64_t> least;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      const endpoint_view& endpoint = endpoints[i];
      if (!is_candidate(endpoint) || endpoint.decode_slots == 0) {
        continue;
      }
      const corrected_load load = CorrectLoad(endpoint, settings);
      if (load.decode_wait > request.needed_in + settings.decode_slack) {
        continue;
      }
      // A larger batch increases the interval between tokens.
      const microseconds interval =
          endpoint.token_interval > microseconds(0) ? endpoint.token_interval : settings.default_token_interval;
      const std::uint32_t used =
          endpoint.decode_slots - std::min<std::uint32_t>(load.decode_free, endpoint.decode_slots);
      const microseconds batch_cost = interval * used / endpoint.decode_slots;
      const microseconds lateness = std::max(microseconds(0), load.decode_wait - request.needed_in);
      const bool is_cross_zone = IsOtherZone(endpoint, request.prefill_zone);
      const microseconds cost =
          lateness + batch_cost + endpoint.link_delay + (is_cross_zone ? settings.cross_zone_cost : microseconds(0));
      const std::tuple order(cost, HashedDraw(endpoint, request.draw));
      if (!best || order < least) {
        best = decode_choice{i, load.decode_wait};
        least = order;
      }
    }
    return best;
  });
}

std::optional<std::size_t> ChooseService(std::span<const endpoint_view> endpoints, const service_request& request,
                                         const selection_settings&) {
  return ChooseByHealth<std::size_t>(endpoints, request.draw, [&](const auto& is_candidate) {
    std::optional<std::size_t> best;
    std::tuple<microseconds, std::uint64_t, bool, microseconds, std::uint64_t> least;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      const endpoint_view& endpoint = endpoints[i];
      if (!is_candidate(endpoint)) {
        continue;
      }
      const std::uint64_t calls = std::uint64_t{endpoint.queued_tokens} + endpoint.calls_in_progress;
      const bool is_cross_zone = IsOtherZone(endpoint, request.preferred_zone);
      const std::tuple order(endpoint.permit_wait, calls, is_cross_zone, endpoint.link_delay,
                             HashedDraw(endpoint, request.draw));
      if (!best || order < least) {
        best = i;
        least = order;
      }
    }
    return best;
  });
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. subset of a router
// ---------------------------------------------------------------------------------------------------------------------

std::uint64_t RendezvousScore(std::string_view chooser, std::string_view candidate) {
  const std::uint64_t seed = XXH64(chooser.data(), chooser.size(), 0);
  return XXH64(candidate.data(), candidate.size(), seed);
}

std::vector<endpoint_name> PickSubset(const router_name& router, std::span<const subset_member> endpoints,
                                      std::size_t size) {
  struct scored {
    std::uint64_t score = 0;
    const subset_member* member = nullptr;
  };
  std::vector<scored> ranked;
  ranked.reserve(endpoints.size());
  for (const subset_member& member : endpoints) {
    ranked.push_back({RendezvousScore(router.value, member.name.value), &member});
  }
  std::sort(ranked.begin(), ranked.end(), [](const scored& left, const scored& right) {
    return std::tie(left.score, left.member->name) > std::tie(right.score, right.member->name);
  });
  std::map<zone_name, bool> zones;  // zones whose best endpoint has been picked
  std::vector<const subset_member*> rest;
  std::vector<endpoint_name> picked;
  for (const scored& candidate : ranked) {
    if (zones.emplace(candidate.member->zone, true).second) {
      picked.push_back(candidate.member->name);
    } else {
      rest.push_back(candidate.member);
    }
  }
  for (const subset_member* member : rest) {
    if (picked.size() >= size) {
      break;
    }
    picked.push_back(member->name);
  }
  std::sort(picked.begin(), picked.end());
  return picked;
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. health
// ---------------------------------------------------------------------------------------------------------------------

void health_table::SetEndpoints(std::span<const endpoint_name> endpoints) {
  std::map<endpoint_name, entry> kept;
  for (const endpoint_name& name : endpoints) {
    const auto found = entries_.find(name);
    kept.emplace(name, found == entries_.end() ? entry{} : found->second);
  }
  entries_ = std::move(kept);
}

void health_table::Decay(entry& endpoint, time_point now) const {
  const double elapsed = std::chrono::duration<double>(now - endpoint.updated).count();
  if (elapsed > 0) {
    const double factor = std::exp(-elapsed / std::chrono::duration<double>(settings_.window).count());
    endpoint.answers *= factor;
    endpoint.latency_ratio_sum *= factor;
    endpoint.updated = now;
  }
}

void health_table::RecordAnswer(const endpoint_name& endpoint, double latency_ratio, time_point now) {
  const auto found = entries_.find(endpoint);
  if (found == entries_.end() || !(latency_ratio >= 0)) {
    return;
  }
  Decay(found->second, now);
  found->second.answers += 1;
  found->second.latency_ratio_sum += latency_ratio;
  found->second.failures = 0;
}

void health_table::RecordFailure(const endpoint_name& endpoint, time_point now) {
  const auto found = entries_.find(endpoint);
  if (found == entries_.end()) {
    return;
  }
  Decay(found->second, now);
  found->second.failures += 1;
}

// The lower median, so that of two endpoints the faster one is the reference.
double health_table::MedianLatencyRatio() const {
  std::vector<double> values;
  for (const auto& [name, endpoint] : entries_) {
    if (endpoint.phase != health_phase::kEjected && endpoint.answers >= settings_.min_answers) {
      values.push_back(endpoint.latency_ratio_sum / endpoint.answers);
    }
  }
  if (values.empty()) {
    return 0;
  }
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

bool health_table::IsSlow(const entry& endpoint, double median) const {
  if (median <= 0 || endpoint.answers < settings_.min_answers) {
    return false;
  }
  const double latency_ratio = endpoint.latency_ratio_sum / endpoint.answers;
  return latency_ratio > settings_.min_latency_ratio && latency_ratio > median * settings_.slow_factor;
}

bool health_table::IsUnhealthy(const entry& endpoint, double median) const {
  const std::uint32_t allowed_failures = endpoint.phase == health_phase::kReadmitting ? 1 : settings_.failures_to_eject;
  return endpoint.failures >= allowed_failures || IsSlow(endpoint, median);
}

double health_table::Share(const entry& endpoint) {
  switch (endpoint.phase) {
    case health_phase::kHealthy:
      return 1.0;
    case health_phase::kEjected:
      return 0.0;
    case health_phase::kReadmitting:
      return kReadmissionShares[endpoint.step];
  }
  return 1.0;
}

// An endpoint that is being readmitted counts as fully ejected, because it may be ejected again at any time.
bool health_table::MayEject() const {
  const auto count = static_cast<double>(entries_.size());
  const auto unhealthy = std::count_if(entries_.begin(), entries_.end(),
                                       [](const auto& item) { return item.second.phase != health_phase::kHealthy; });
  return entries_.size() >= 2 &&
         static_cast<double>(unhealthy + 1) <= std::max(1.0, count * settings_.max_ejected_share);
}

milliseconds health_table::EjectionTime(const entry& endpoint) const {
  milliseconds time = settings_.ejection_time;
  for (std::uint32_t i = 1; i < endpoint.ejections && time < settings_.max_ejection_time; ++i) {
    time *= 2;
  }
  return std::min(time, settings_.max_ejection_time);
}

void health_table::Eject(entry& endpoint, time_point now) const {
  endpoint.phase = health_phase::kEjected;
  endpoint.step = 0;
  endpoint.changed = now;
  endpoint.ejections += 1;
  endpoint.answers = 0;
  endpoint.latency_ratio_sum = 0;
  endpoint.failures = 0;
}

void health_table::Readmit(entry& endpoint, time_point now) const {
  if (endpoint.phase == health_phase::kEjected) {
    endpoint.phase = health_phase::kReadmitting;
    endpoint.step = 0;
    endpoint.failures = 0;
  } else if (endpoint.step + 1 < std::size(kReadmissionShares)) {
    endpoint.step += 1;
  } else {
    endpoint.phase = health_phase::kHealthy;
    endpoint.step = 0;
  }
  endpoint.changed = now;
}

std::vector<health_change> health_table::UpdateHealth(time_point now) {
  std::vector<health_change> changes;
  for (auto& [name, endpoint] : entries_) {
    Decay(endpoint, now);
  }
  const double median = MedianLatencyRatio();
  for (auto& [name, endpoint] : entries_) {
    const auto elapsed_in_phase = now - endpoint.changed;
    const bool was_readmitting = endpoint.phase == health_phase::kReadmitting;
    if (endpoint.phase == health_phase::kEjected) {
      if (elapsed_in_phase < EjectionTime(endpoint)) {
        continue;
      }
      Readmit(endpoint, now);
    } else if (IsUnhealthy(endpoint, median) && (was_readmitting || MayEject())) {
      Eject(endpoint, now);
    } else if (was_readmitting && elapsed_in_phase >= settings_.readmission_step_time) {
      Readmit(endpoint, now);
    } else {
      if (endpoint.phase == health_phase::kHealthy && elapsed_in_phase >= settings_.max_ejection_time) {
        endpoint.ejections = 0;
      }
      continue;
    }
    changes.push_back({name, endpoint.phase, Share(endpoint)});
  }
  return changes;
}

double health_table::HealthShare(const endpoint_name& endpoint) const {
  const auto found = entries_.find(endpoint);
  return found == entries_.end() ? 1.0 : Share(found->second);
}

}  // namespace persimmon
