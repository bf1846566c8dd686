#include "persimmon/prompt_cache.h"

#include <algorithm>
#include <cmath>

namespace persimmon {
namespace {

constexpr double kMaxChecks = 8;  // checked predictions over which the share of right ones is measured

// Weight of the assumption that an engine is as fast as usual, in measurements of an idle engine.
constexpr double kPriorWeight = 0.5;

// Prompts of at least this length count as a full measurement; of shorter ones, fixed costs are a large part.
constexpr double kFullMeasureTokens = 1'000;

// Deployments have engines that differ by a factor of more than two; a ratio beyond this one is a wrong measurement.
constexpr double kMaxSpeedRatio = 6;

constexpr double kUsualSamples = 64;  // measurements in the means of a service

double Clamp(double ratio, double limit) { return std::clamp(ratio, 1 / limit, limit); }

double DecayFactor(time_point since, time_point now, milliseconds half_life) {
  const double age = std::chrono::duration<double, std::milli>(now - since).count();
  return age <= 0 ? 1 : std::exp2(-age / static_cast<double>(half_life.count()));
}

// Tokens that an engine still had to read of other prompts when a prompt was sent to it. The one in progress is counted
// as a whole until it has been read; on average half of it is left. Its length is taken to be that of the sent prompt.
double UnreadTokens(std::uint32_t pending_tokens, std::uint32_t read_tokens) {
  return pending_tokens - std::min(pending_tokens, read_tokens) / 2.0;
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 2. cached prompts
// ---------------------------------------------------------------------------------------------------------------------

const prompt_cache::engine_hints* prompt_cache::Find(const engine_incarnation& engine) const {
  const auto found = engines_.find(engine.name);
  const bool is_same = found != engines_.end() && found->second.started_ms == engine.started_ms;
  return is_same ? &found->second : nullptr;
}

prompt_cache::engine_hints& prompt_cache::Insert(const engine_incarnation& engine, time_point now) {
  if (!engines_.contains(engine.name) && engines_.size() >= settings_.max_engines) {
    engines_.erase(std::min_element(engines_.begin(), engines_.end(), [](const auto& left, const auto& right) {
      return left.second.last_use < right.second.last_use;
    }));
  }
  engine_hints& hints = engines_[engine.name];
  if (hints.started_ms != engine.started_ms) {
    hints = engine_hints{};
    hints.started_ms = engine.started_ms;
  }
  hints.last_use = now;
  return hints;
}

// Number of the most recently used parts that the engine has probably kept. Parts that requests share are refreshed by
// the other routers too, so only the work of this router counts against them.
std::size_t prompt_cache::CountHeld(const engine_hints& hints, const cache_memory& memory) {
  std::uint64_t tokens = 0;
  std::size_t held = 0;
  for (const cached_part& part : hints.parts) {
    tokens += part.tokens;
    if (tokens > memory.free_tokens) {
      break;
    }
    ++held;
  }
  return held;
}

// A private part is pushed out by the work of all routers. Each of them is taken to send as much as this one, spread
// over the engines.
bool prompt_cache::HasBeenPushedOut(const cached_part& part, const cache_memory& memory) const {
  const double read_since = static_cast<double>(read_tokens_ - part.read_before);
  return read_since * memory.routers / std::max(1U, memory.engines) + part.tokens > memory.free_tokens;
}

void prompt_cache::RecordParts(const engine_incarnation& engine, std::span<const prompt_part> parts,
                               const cache_memory& memory, time_point now) {
  engine_hints& hints = Insert(engine, now);
  const auto is_known = [&hints](std::uint64_t id) {
    return std::any_of(hints.parts.begin(), hints.parts.end(), [id](const cached_part& part) { return part.id == id; });
  };
  for (const prompt_part& part : parts) {
    read_tokens_ += is_known(part.id) ? 0 : part.tokens;
  }
  std::vector<cached_part> updated;
  updated.reserve(std::min(settings_.max_parts, hints.parts.size() + parts.size()));
  const auto is_listed = [&updated](std::uint64_t id) {
    return std::any_of(updated.begin(), updated.end(), [id](const cached_part& part) { return part.id == id; });
  };
  for (std::size_t i = 0; i < parts.size() && updated.size() < settings_.max_parts; ++i) {
    if (!is_listed(parts[i].id)) {
      updated.push_back({parts[i].id, now, read_tokens_, parts[i].tokens, i + 1 == parts.size()});
    }
  }
  const std::size_t used_now = updated.size();
  for (const cached_part& part : hints.parts) {
    const bool is_used_now = std::any_of(updated.begin(), updated.begin() + static_cast<std::ptrdiff_t>(used_now),
                                         [&part](const cached_part& other) { return other.id == part.id; });
    if (!is_used_now && updated.size() < settings_.max_parts && now - part.last_use <= settings_.max_age) {
      updated.push_back(part);
    }
  }
  hints.parts = std::move(updated);
  hints.parts.resize(CountHeld(hints, memory));
}

std::uint32_t prompt_cache::PredictCachedTokens(const engine_incarnation& engine, std::span<const prompt_part> parts,
                                                const cache_memory& memory, time_point now) const {
  const engine_hints* hints = Find(engine);
  if (hints == nullptr) {
    return 0;
  }
  const std::size_t held = CountHeld(*hints, memory);
  std::uint64_t cached = 0;
  for (const prompt_part& part : parts) {
    const auto end = hints->parts.begin() + static_cast<std::ptrdiff_t>(held);
    const auto found =
        std::find_if(hints->parts.begin(), end, [&part](const cached_part& other) { return other.id == part.id; });
    if (found == end || found->tokens != part.tokens || now - found->last_use > settings_.max_age ||
        (found->is_private && HasBeenPushedOut(*found, memory))) {
      break;
    }
    cached += part.tokens;
  }
  const double right_share = (1 + hints->right) / (1 + hints->right + hints->wrong);
  return static_cast<std::uint32_t>(static_cast<double>(cached) * right_share);
}

void prompt_cache::RecordCheck(const engine_incarnation& engine, std::span<const prompt_part> parts, bool was_right) {
  const auto found = engines_.find(engine.name);
  if (found == engines_.end() || found->second.started_ms != engine.started_ms) {
    return;
  }
  engine_hints& hints = found->second;
  (was_right ? hints.right : hints.wrong) += 1;
  if (const double checks = hints.right + hints.wrong; checks > kMaxChecks) {
    hints.right *= kMaxChecks / checks;
    hints.wrong *= kMaxChecks / checks;
  }
  if (was_right) {
    return;
  }
  const auto first = std::find_if(hints.parts.begin(), hints.parts.end(), [&](const cached_part& part) {
    return std::any_of(parts.begin(), parts.end(), [&part](const prompt_part& other) { return other.id == part.id; });
  });
  hints.parts.erase(first, hints.parts.end());
}

std::size_t prompt_cache::PartCount(const endpoint_name& engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? 0 : found->second.parts.size();
}

std::size_t prompt_cache::MemoryBytes() const {
  std::size_t bytes = 0;
  for (const auto& [name, hints] : engines_) {
    bytes += sizeof(name) + name.value.capacity() + sizeof(hints) + hints.parts.capacity() * sizeof(cached_part);
  }
  return bytes;
}

bool ContradictsHint(const prefill_measurement& measured) {
  if (!prompt_cache::IsCheckable(measured.cached_tokens) || measured.tokens_per_ms <= 0) {
    return false;
  }
  const double work = measured.elapsed_ms * measured.tokens_per_ms;
  const double expected = static_cast<double>(measured.pending_tokens) + measured.prompt_tokens;
  return work > expected - measured.cached_tokens / 2.0;
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. speed of engines
// ---------------------------------------------------------------------------------------------------------------------

void engine_speeds::moving_mean::Add(double sample, double added_weight) {
  weight = std::min(weight + added_weight, kUsualSamples);
  value += (sample - value) * added_weight / weight;
}

void engine_speeds::decayed_mean::Add(double value, double added_weight, milliseconds half_life, time_point now) {
  const double factor = DecayFactor(updated, now, half_life);
  sum = sum * factor + value * added_weight;
  weight = weight * factor + added_weight;
  updated = now;
}

double engine_speeds::decayed_mean::Value(double prior, milliseconds half_life, time_point now) const {
  const double factor = DecayFactor(updated, now, half_life);
  return (sum * factor + prior * kPriorWeight) / (weight * factor + kPriorWeight);
}

const engine_speeds::engine_state* engine_speeds::Find(const engine_incarnation& engine) const {
  const auto found = engines_.find(engine.name);
  const bool is_same = found != engines_.end() && found->second.started_ms == engine.started_ms;
  return is_same ? &found->second : nullptr;
}

engine_speeds::engine_state& engine_speeds::Insert(const engine_incarnation& engine, time_point now) {
  if (!engines_.contains(engine.name) && engines_.size() >= settings_.max_engines) {
    engines_.erase(std::min_element(engines_.begin(), engines_.end(), [](const auto& left, const auto& right) {
      return left.second.last_use < right.second.last_use;
    }));
  }
  engine_state& state = engines_[engine.name];
  if (state.started_ms != engine.started_ms) {
    state = engine_state{};
    state.started_ms = engine.started_ms;
  }
  state.last_use = now;
  return state;
}

// How much longer work takes than usual. A report loses its influence with its age.
double engine_speeds::WorkTimeRatio(const engine_state& state, time_point now) const {
  return std::pow(state.work_time / 100, DecayFactor(state.reported_at, now, settings_.report_half_life));
}

void engine_speeds::RecordPrefill(const engine_incarnation& engine, std::uint32_t read_tokens,
                                  std::uint32_t pending_tokens, double elapsed_ms, time_point now) {
  if (read_tokens == 0 || elapsed_ms <= 0) {
    return;
  }
  engine_state& state = Insert(engine, now);
  const double work = read_tokens + UnreadTokens(pending_tokens, read_tokens);
  const double own_share = read_tokens / work;
  const double weight = own_share * own_share * std::min(1.0, read_tokens / kFullMeasureTokens);
  const double measured = work / elapsed_ms * WorkTimeRatio(state, now);
  const double ratio = Clamp(measured / settings_.usual_tokens_per_ms, kMaxSpeedRatio);
  usual_speed_.Add(std::log(ratio), weight);
  state.log_speed.Add(std::log(ratio), weight, settings_.half_life, now);
}

void engine_speeds::RecordTokenInterval(const engine_incarnation& engine, double interval_ms, time_point now) {
  if (interval_ms <= 0) {
    return;
  }
  engine_state& state = Insert(engine, now);
  usual_interval_.Add(std::log(interval_ms), 1);
  state.log_interval.Add(std::log(interval_ms), 1, settings_.half_life, now);
}

void engine_speeds::RecordWorkTime(const engine_incarnation& engine, std::optional<std::uint32_t> percent,
                                   time_point now) {
  if (!percent || *percent == 0) {
    return;
  }
  engine_state& state = Insert(engine, now);
  state.work_time = 100 * Clamp(*percent / 100.0, kMaxSpeedRatio);
  state.reported_at = now;
}

double engine_speeds::UsualTokensPerMs() const { return settings_.usual_tokens_per_ms * std::exp(usual_speed_.value); }

double engine_speeds::TokensPerMs(const engine_incarnation& engine, time_point now) const {
  const engine_state* state = Find(engine);
  if (state == nullptr) {
    return UsualTokensPerMs();
  }
  const double log_speed = state->log_speed.Value(usual_speed_.value, settings_.half_life, now);
  return settings_.usual_tokens_per_ms * std::exp(log_speed) / WorkTimeRatio(*state, now);
}

double engine_speeds::DecodePace(const engine_incarnation& engine, time_point now) const {
  const engine_state* state = Find(engine);
  if (state == nullptr) {
    return 1;
  }
  constexpr double kMaxPace = 2;  // a faster engine is not preferred more, so that the others keep being used
  const double log_interval = state->log_interval.Value(usual_interval_.value, settings_.half_life, now);
  return Clamp(std::exp(usual_interval_.value - log_interval), kMaxPace);
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. prompts without a response
// ---------------------------------------------------------------------------------------------------------------------

void prefilled_prompts::Add(std::uint64_t prompt, const entry& added, time_point now) {
  if (!entries_.contains(prompt) && entries_.size() >= limit_) {
    RemoveExpired(now);
  }
  if (!entries_.contains(prompt) && entries_.size() >= limit_) {
    entries_.erase(std::min_element(entries_.begin(), entries_.end(), [](const auto& left, const auto& right) {
      return left.second.expiry < right.second.expiry;
    }));
  }
  entries_[prompt] = added;
}

const prefilled_prompts::entry* prefilled_prompts::Find(std::uint64_t prompt, time_point now) const {
  const auto found = entries_.find(prompt);
  return found == entries_.end() || now >= found->second.expiry ? nullptr : &found->second;
}

void prefilled_prompts::RemoveExpired(time_point now) {
  std::erase_if(entries_, [now](const auto& item) { return now >= item.second.expiry; });
}

}  // namespace persimmon
