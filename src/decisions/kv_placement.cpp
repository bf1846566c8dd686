#include "persimmon/kv_placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <vector>

namespace persimmon {
namespace {

std::uint32_t RoundUp(std::uint32_t tokens, std::uint32_t block) { return (tokens + block - 1) / block * block; }

// Memory set aside for the stream when each stream of its engine has generated `tokens` more; none after its end.
std::uint64_t MemoryAfter(const stream_memory& stream, std::uint32_t tokens) {
  return tokens > stream.remaining_tokens ? 0 : std::max(stream.reserved_tokens, stream.held_tokens + tokens);
}

std::uint64_t MemoryAfter(std::span<const stream_memory> streams, std::uint32_t tokens) {
  return std::transform_reduce(streams.begin(), streams.end(), std::uint64_t{0}, std::plus<>(),
                               [tokens](const stream_memory& stream) { return MemoryAfter(stream, tokens); });
}

std::uint64_t SumMaxima(std::span<const stream_memory> streams) {
  return std::transform_reduce(
      streams.begin(), streams.end(), std::uint64_t{0}, std::plus<>(),
      [](const stream_memory& stream) { return MemoryAfter(stream, stream.remaining_tokens); });
}

std::uint64_t FreeTokens(const engine_view& engine) {
  const std::uint64_t peak = PredictPeakMemory(engine.streams);
  return engine.kv_tokens > peak ? engine.kv_tokens - peak : 0;
}

// The reservation to ask the engine for, or nothing if it lacks the capacity for the stream.
std::optional<std::uint32_t> ReservationAt(const engine_view& engine, const stream_memory& stream,
                                           const placement_settings& settings) {
  if (!engine.can_receive || engine.running >= engine.slots || engine.kv_tokens < engine.headroom_tokens) {
    return std::nullopt;
  }
  const std::uint64_t capacity = engine.kv_tokens - engine.headroom_tokens;
  const stream_memory rounded{RoundUp(stream.held_tokens, settings.block_tokens), stream.remaining_tokens, 0};
  std::optional<std::uint32_t> tokens;
  if (settings.counts_maxima) {
    const std::uint32_t maximum = rounded.held_tokens + rounded.remaining_tokens;
    tokens = SumMaxima(engine.streams) + maximum <= capacity ? std::optional(maximum) : std::nullopt;
  } else {
    tokens = FindReservation(engine.streams, rounded, capacity);
  }
  const bool was_refused = engine.refused_tokens > 0 && tokens && *tokens >= engine.refused_tokens;
  return was_refused ? std::nullopt : tokens;
}

// On an engine, on average. With one on every fourth engine, one stream in sixteen was preempted.
constexpr double kMaxUnknownStreams = 0.12;
constexpr double kMinDeviation = 0.01;  // below it, all outputs are as long as estimated
constexpr double kMinTail = 1e-6;       // avoids a division by zero far beyond the estimate

// Probability that a standard normal variable exceeds the value.
double NormalTail(double value) { return 0.5 * std::erfc(value / std::sqrt(2.0)); }

// Penalty, in tokens, for an engine in another zone.
double ZonePenalty(const engine_view& engine, const zone_name& preferred_zone, const placement_settings& settings) {
  return preferred_zone.empty() || engine.zone == preferred_zone ? 0 : settings.cross_zone_tokens;
}

// Time that the engine takes for a token, relative to one of usual speed.
double Slowness(const engine_view& engine, const placement_settings& settings) {
  return engine.prefill_tokens_per_ms > 0 ? settings.prefill_tokens_per_ms / engine.prefill_tokens_per_ms : 1;
}

// Ends of a prefill that differ by less than this fraction of its own time count as equal.
constexpr double kEqualEndShare = 0.05;

// An engine that caches part of the prompt may exceed the backlog limit by at most this fraction.
constexpr double kCachedBacklogShare = 0.25;

// A decode engine reads prompts at half the speed of a prefill engine, because its streams go on meanwhile.
constexpr double kDecodeSlowness = 2;

// While a prefill engine has room, a decode engine reads at most this part of local_prefill_limit: its streams stall
// for 50 ms. With the whole limit, requests that share a popular prefix would stall the streams of all decode engines.
constexpr std::uint32_t kCachedRestDivisor = 4;

// True if the engine gets no further prompts because of the time that its pending ones take.
bool HasPrefillBacklog(const engine_view& engine, const placement_settings& settings) {
  if (!settings.weighs_speeds) {
    return engine.pending_tokens > settings.max_prefill_backlog;
  }
  const double allowed =
      settings.max_prefill_backlog + std::min<double>(engine.cached_tokens * Slowness(engine, settings),
                                                      settings.max_prefill_backlog * kCachedBacklogShare);
  return engine.pending_tokens * Slowness(engine, settings) > allowed;
}

// The engine that will have read the prompt first, of those for which the predicate is true.
template <class predicate>
std::optional<std::size_t> FindPrefillEngine(std::span<const engine_view> engines, const zone_name& preferred_zone,
                                             std::uint64_t draw, const placement_settings& settings,
                                             std::uint32_t prompt_tokens, predicate is_suitable) {
  const auto cost = [&](const engine_view& engine) {
    const double work = settings.weighs_speeds ? PredictPrefillWork(engine, prompt_tokens, settings)
                                               : static_cast<double>(engine.pending_tokens);
    return work + ZonePenalty(engine, preferred_zone, settings);
  };
  std::optional<std::size_t> best;
  double best_cost = 0;
  for (std::size_t offset = 0; offset < engines.size(); ++offset) {
    const std::size_t i = (draw + offset) % engines.size();
    if (!engines[i].can_receive || engines[i].running >= engines[i].slots || !is_suitable(engines[i])) {
      continue;
    }
    if (!best || cost(engines[i]) < best_cost) {
      best = i;
      best_cost = cost(engines[i]);
    }
  }
  if (!best || !settings.weighs_speeds) {
    return best;
  }
  // The first one in the order of `draw` that is equal to the best.
  const double equal_cost = best_cost + prompt_tokens * kEqualEndShare;
  for (std::size_t offset = 0; offset < engines.size(); ++offset) {
    const std::size_t i = (draw + offset) % engines.size();
    const bool is_candidate =
        engines[i].can_receive && engines[i].running < engines[i].slots && is_suitable(engines[i]);
    if (is_candidate && cost(engines[i]) <= equal_cost) {
      return i;
    }
  }
  return best;
}

// The decode engine that ends a prefill of its own first, and when, in tokens of an engine of usual speed.
struct local_prefill {
  std::optional<std::size_t> engine;
  double work = 0;
};

// Returns the one with more free memory, after the zone penalty, of two random suitable engines.
template <class predicate>
std::optional<std::size_t> ChooseByFreeMemory(std::span<const engine_view> engines, const zone_name& preferred_zone,
                                              std::uint64_t draw, const placement_settings& settings,
                                              predicate is_suitable) {
  std::vector<std::size_t> candidates;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    if (is_suitable(engines[i])) {
      candidates.push_back(i);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto score = [&](std::size_t index) {
    const engine_view& engine = engines[index];
    const double free = static_cast<double>(FreeTokens(engine)) - ZonePenalty(engine, preferred_zone, settings);
    // Free memory is used up faster by faster streams. A score below zero must not rise by a slow pace.
    const double pace = settings.weighs_speeds ? engine.decode_pace : 1;
    return free > 0 ? free * pace : free / pace;
  };
  const std::size_t first = candidates[draw % candidates.size()];
  const std::size_t second = candidates[(draw >> 32U) % candidates.size()];
  return score(second) > score(first) ? second : first;
}

// Of the engines that cache part of the prompt and are not reading another one.
local_prefill FindCachedPrefill(std::span<const engine_view> engines, const stream_memory& stream,
                                const zone_name& preferred_zone, const placement_settings& settings,
                                std::uint32_t max_read_tokens) {
  local_prefill best;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    const engine_view& engine = engines[i];
    const std::uint32_t read_tokens = stream.held_tokens - std::min(stream.held_tokens, engine.cached_tokens);
    if (engine.cached_tokens == 0 || engine.pending_tokens > 0 || read_tokens > max_read_tokens ||
        !ReservationAt(engine, stream, settings)) {
      continue;
    }
    const double work = kDecodeSlowness * PredictPrefillWork(engine, stream.held_tokens, settings) +
                        ZonePenalty(engine, preferred_zone, settings);
    if (!best.engine || work < best.work) {
      best = {i, work};
    }
  }
  return best;
}

}  // namespace

// The sum grows until a stream ends, so it has its maxima at the ends of streams.
std::uint64_t PredictPeakMemory(std::span<const stream_memory> streams) {
  std::uint64_t peak = 0;
  for (const stream_memory& stream : streams) {
    peak = std::max(peak, MemoryAfter(streams, stream.remaining_tokens));
  }
  return peak;
}

std::optional<std::uint32_t> FindReservation(std::span<const stream_memory> streams, const stream_memory& added,
                                             std::uint64_t capacity) {
  std::uint64_t reservation = std::uint64_t{added.held_tokens} + added.remaining_tokens / 2;
  const auto fits_after = [&](std::uint32_t tokens) {
    const std::uint64_t others = MemoryAfter(streams, tokens);
    if (others + added.held_tokens + tokens > capacity) {
      return false;
    }
    reservation = std::min(reservation, capacity - others);
    return true;
  };
  for (const stream_memory& stream : streams) {
    if (stream.remaining_tokens < added.remaining_tokens && !fits_after(stream.remaining_tokens)) {
      return std::nullopt;
    }
  }
  if (!fits_after(added.remaining_tokens)) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(reservation);
}

bool HasOutdatedViews(double streams, microseconds stream_time, microseconds report_interval) {
  return streams * static_cast<double>(report_interval.count()) >
         kMaxUnknownStreams * static_cast<double>(stream_time.count());
}

std::optional<std::size_t> ChooseDecodeEngine(std::span<const engine_view> engines, const stream_memory& stream,
                                              const zone_name& preferred_zone, std::uint64_t draw,
                                              const placement_settings& settings) {
  return ChooseByFreeMemory(engines, preferred_zone, draw, settings,
                            [&](const engine_view& engine) { return ReservationAt(engine, stream, settings); });
}

double PredictPrefillWork(const engine_view& engine, std::uint32_t prompt_tokens, const placement_settings& settings) {
  const std::uint32_t read_tokens = prompt_tokens - std::min(prompt_tokens, engine.cached_tokens);
  return (static_cast<double>(engine.pending_tokens) + read_tokens) * Slowness(engine, settings);
}

std::optional<std::size_t> ChoosePrefillEngine(std::span<const engine_view> engines, const zone_name& preferred_zone,
                                               std::uint64_t draw, const placement_settings& settings,
                                               std::uint32_t prompt_tokens) {
  return FindPrefillEngine(engines, preferred_zone, draw, settings, prompt_tokens,
                           [](const engine_view&) { return true; });
}

const char* WaitReasonName(wait_reason reason) {
  switch (reason) {
    case wait_reason::kNone:
      return "none";
    case wait_reason::kDecodeMemory:
      return "decode_memory";
    case wait_reason::kPrefillBusy:
      return "prefill_busy";
  }
  return "unknown";
}

engine_choice ChooseEngines(std::span<const engine_view> decode, std::span<const engine_view> prefill,
                            const stream_memory& stream, const zone_name& preferred_zone, std::uint64_t draw,
                            const placement_settings& settings) {
  const auto decode_engine = ChooseDecodeEngine(decode, stream, preferred_zone, draw, settings);
  if (!decode_engine) {
    return {wait_reason::kDecodeMemory, 0, 0, std::nullopt};
  }
  const auto assign = [&](std::size_t engine, std::optional<std::size_t> prefill_engine) {
    return engine_choice{wait_reason::kNone, engine, ReservationAt(decode[engine], stream, settings).value_or(0),
                         prefill_engine};
  };
  const bool has_prefill_engine =
      std::any_of(prefill.begin(), prefill.end(), [](const engine_view& engine) { return engine.can_receive; });
  if (!has_prefill_engine) {
    const local_prefill local = settings.weighs_speeds ? FindCachedPrefill(decode, stream, preferred_zone, settings,
                                                                           settings.local_prefill_limit)
                                                       : local_prefill{};
    return assign(local.engine.value_or(*decode_engine), std::nullopt);
  }
  // With weighs_speeds, an engine with a backlog does not hide another one that has room and ends later.
  const auto prefill_engine = FindPrefillEngine(
      prefill, decode[*decode_engine].zone, draw, settings, stream.held_tokens,
      [&](const engine_view& engine) { return !settings.weighs_speeds || !HasPrefillBacklog(engine, settings); });
  if (settings.weighs_speeds) {
    const std::uint32_t max_read_tokens =
        prefill_engine ? settings.local_prefill_limit / kCachedRestDivisor : settings.local_prefill_limit;
    const local_prefill local = FindCachedPrefill(decode, stream, preferred_zone, settings, max_read_tokens);
    const double separate_work =
        prefill_engine ? PredictPrefillWork(prefill[*prefill_engine], stream.held_tokens, settings) +
                             ZonePenalty(prefill[*prefill_engine], decode[*decode_engine].zone, settings) +
                             settings.transfer_ms * settings.prefill_tokens_per_ms
                       : 0;
    if (local.engine && (!prefill_engine || local.work < separate_work)) {
      return assign(*local.engine, std::nullopt);
    }
  }
  if (!prefill_engine || HasPrefillBacklog(prefill[*prefill_engine], settings)) {
    const auto local_engine =
        ChooseByFreeMemory(decode, preferred_zone, draw, settings, [&](const engine_view& engine) {
          return stream.held_tokens <= settings.local_prefill_limit && engine.pending_tokens == 0 &&
                 ReservationAt(engine, stream, settings);
        });
    return local_engine ? assign(*local_engine, std::nullopt)
                        : engine_choice{wait_reason::kPrefillBusy, 0, 0, std::nullopt};
  }
  return assign(*decode_engine, prefill_engine);
}

double PlanPrefillEngines(std::uint32_t engines, std::uint32_t kv_tokens, std::uint32_t slots,
                          const workload_profile& profile) {
  if (engines < 2) {
    return 0;
  }
  const double request_tokens = profile.prompt_tokens + profile.output_tokens;
  const double by_memory = std::max(1.0, kv_tokens / request_tokens);
  const double concurrent = slots == 0 ? by_memory : std::min(by_memory, static_cast<double>(slots));
  const double prefill_ms = profile.prompt_tokens / profile.prefill_tokens_per_ms;
  const double decode_ms = profile.output_tokens * profile.token_interval_ms / concurrent;
  const double wanted = engines * prefill_ms / (prefill_ms + decode_ms);
  return std::clamp(wanted, 1.0, static_cast<double>(engines - 1));
}

std::uint32_t EstimateOutput(std::optional<std::uint32_t> hint, std::uint32_t maximum,
                             const output_estimate_settings& settings) {
  const double estimate = hint ? *hint : maximum * settings.max_output_share;
  return std::min(maximum, static_cast<std::uint32_t>(std::ceil(estimate)));
}

void output_length_model::RecordEstimate(std::uint32_t estimated_tokens) {
  estimates_ = std::min(estimates_ + 1, kSampleWindow);
  mean_estimate_ += (estimated_tokens - mean_estimate_) / estimates_;
}

void output_length_model::RecordAnswer(std::uint32_t estimated_tokens, std::uint32_t output_tokens) {
  if (estimated_tokens == 0 || output_tokens == 0) {
    return;
  }
  answers_ = std::min(answers_ + 1, kSampleWindow);
  const double log_ratio = std::log(static_cast<double>(output_tokens) / estimated_tokens);
  const double difference = log_ratio - mean_log_ratio_;
  mean_log_ratio_ += difference / answers_;
  variance_ += (difference * difference - variance_) / answers_;
}

std::uint32_t output_length_model::ExpectRemaining(std::uint32_t estimated_tokens, std::uint32_t generated_tokens,
                                                   std::uint32_t maximum, expectation kind) const {
  if (generated_tokens >= maximum) {
    return 0;
  }
  const double left = maximum - generated_tokens;
  const double median = std::max(1.0, estimated_tokens * std::exp(mean_log_ratio_));
  if (kind == expectation::kMedian && generated_tokens < median) {
    return static_cast<std::uint32_t>(std::min(median - generated_tokens, left));
  }
  const double deviation = std::max(kMinDeviation, std::sqrt(variance_));
  if (generated_tokens == 0) {
    return static_cast<std::uint32_t>(std::min(median * std::exp(deviation * deviation / 2), left));
  }
  // Mean of a log-normal variable that exceeds the tokens generated so far.
  const double position = std::log(generated_tokens / median) / deviation;
  const double share_above = NormalTail(position);
  const double mean = median * std::exp(deviation * deviation / 2);
  const double mean_above = share_above < kMinTail ? generated_tokens * (1 + deviation)  // far beyond the estimate
                                                   : mean * NormalTail(position - deviation) / share_above;
  return static_cast<std::uint32_t>(std::clamp(mean_above - generated_tokens, 0.0, left));
}

std::uint32_t output_length_model::Headroom(std::uint32_t streams) const {
  return static_cast<std::uint32_t>(mean_estimate_ * std::sqrt(variance_ * streams));
}

}  // namespace persimmon
