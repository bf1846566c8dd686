#include "persimmon/kv_placement.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace persimmon {
namespace {

std::uint32_t RoundUp(std::uint32_t tokens, std::uint32_t block) { return (tokens + block - 1) / block * block; }

std::uint32_t FreeTokens(const engine_view& engine) {
  return engine.kv_tokens > engine.reserved_tokens ? engine.kv_tokens - engine.reserved_tokens : 0;
}

bool HasCapacity(const engine_view& engine, std::uint32_t tokens, const placement_settings& settings) {
  const bool was_refused = engine.refused_tokens > 0 && tokens >= engine.refused_tokens;
  return engine.can_receive && !was_refused && engine.running < engine.slots &&
         FreeTokens(engine) >= RoundUp(tokens, settings.block_tokens) + engine.headroom_tokens;
}

// Penalty, in tokens, for an engine in another zone.
double ZonePenalty(const engine_view& engine, const zone_name& preferred_zone, const placement_settings& settings) {
  return preferred_zone.empty() || engine.zone == preferred_zone ? 0 : settings.cross_zone_tokens;
}

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
    return static_cast<double>(FreeTokens(engines[index])) - ZonePenalty(engines[index], preferred_zone, settings);
  };
  const std::size_t first = candidates[draw % candidates.size()];
  const std::size_t second = candidates[(draw >> 32U) % candidates.size()];
  return score(second) > score(first) ? second : first;
}

}  // namespace

std::optional<std::size_t> ChooseDecodeEngine(std::span<const engine_view> engines, std::uint32_t tokens,
                                              const zone_name& preferred_zone, std::uint64_t draw,
                                              const placement_settings& settings) {
  return ChooseByFreeMemory(engines, preferred_zone, draw, settings,
                            [&](const engine_view& engine) { return HasCapacity(engine, tokens, settings); });
}

std::optional<std::size_t> ChoosePrefillEngine(std::span<const engine_view> engines, const zone_name& preferred_zone,
                                               std::uint64_t draw, const placement_settings& settings) {
  std::optional<std::size_t> best;
  double best_cost = 0;
  for (std::size_t offset = 0; offset < engines.size(); ++offset) {
    const std::size_t i = (draw + offset) % engines.size();
    if (!engines[i].can_receive || engines[i].running >= engines[i].slots) {
      continue;
    }
    const double cost = engines[i].pending_tokens + ZonePenalty(engines[i], preferred_zone, settings);
    if (!best || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
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
                            std::uint32_t tokens, std::uint32_t prompt_tokens, const zone_name& preferred_zone,
                            std::uint64_t draw, const placement_settings& settings) {
  const auto decode_engine = ChooseDecodeEngine(decode, tokens, preferred_zone, draw, settings);
  if (!decode_engine) {
    return {wait_reason::kDecodeMemory, 0, std::nullopt};
  }
  const bool has_prefill_engine =
      std::any_of(prefill.begin(), prefill.end(), [](const engine_view& engine) { return engine.can_receive; });
  if (!has_prefill_engine) {
    return {wait_reason::kNone, *decode_engine, std::nullopt};
  }
  const auto prefill_engine = ChoosePrefillEngine(prefill, decode[*decode_engine].zone, draw, settings);
  if (!prefill_engine || prefill[*prefill_engine].pending_tokens > settings.max_prefill_backlog) {
    const auto local_engine =
        ChooseByFreeMemory(decode, preferred_zone, draw, settings, [&](const engine_view& engine) {
          return prompt_tokens <= settings.local_prefill_limit && engine.pending_tokens == 0 &&
                 HasCapacity(engine, tokens, settings);
        });
    return local_engine ? engine_choice{wait_reason::kNone, *local_engine, std::nullopt}
                        : engine_choice{wait_reason::kPrefillBusy, 0, std::nullopt};
  }
  return {wait_reason::kNone, *decode_engine, prefill_engine};
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
  const double estimate = hint ? *hint * settings.hint_share : maximum * settings.max_output_share;
  return std::min(maximum, static_cast<std::uint32_t>(std::ceil(estimate)));
}

void output_length_deviation::RecordAnswer(std::uint32_t estimated_tokens, std::uint32_t output_tokens) {
  const double difference = static_cast<double>(output_tokens) - estimated_tokens;
  variance_ += (difference * difference - variance_) / kSampleWindow;
}

std::uint32_t output_length_deviation::Headroom(std::uint32_t streams) const {
  return static_cast<std::uint32_t>(std::sqrt(variance_ * streams));
}

}  // namespace persimmon
