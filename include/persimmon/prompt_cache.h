// Hints of a router on the prompts that engines cache, and on the speed at which they read.
//
// Sections
//   1. values
//   2. cached prompts
//   3. speed of engines
//   4. prompts without a response
//
// An engine that has computed or fetched the first parts of a prompt skips them while they are in its memory. Engines
// do not report what they cache, so each router predicts it from the requests that it has sent. A wrong prediction
// costs at most the time that it promised to save: the request is read in full, and the measured time drops the hint.
//
// Load addressed: a third of the prompts share a prefix of 6,000 tokens, engines cache 29,000 tokens and differ in
// speed by a factor of two, and prompts arrive at 1.5 times the rate that the engines could read without their caches.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. values
// ---------------------------------------------------------------------------------------------------------------------

// One part of a prompt. Parts with the same id in the same position after the same parts have the same text.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;

  bool operator==(const prompt_part&) const = default;
};

// One process of an engine. Its memory is empty when it starts.
struct engine_incarnation {
  endpoint_name name;
  std::uint64_t started_ms = 0;

  auto operator<=>(const engine_incarnation&) const = default;
};

// Memory of an engine that cached parts can occupy, and who else fills it.
struct cache_memory {
  std::uint32_t free_tokens = 0;  // memory of the engine less what its running requests use
  std::uint32_t routers = 1;      // routers that send requests to the engines, this one included
  std::uint32_t engines = 1;      // of the service in the same role

  bool operator==(const cache_memory&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. cached prompts
// ---------------------------------------------------------------------------------------------------------------------

struct prompt_cache_settings {
  milliseconds max_age = milliseconds(30'000);  // since the last use of a part by this router
  // Bounds of the memory of the hints: 512 parts take 16 KB, so hints for 64 engines take about 1 MB.
  std::size_t max_parts = 512;  // per engine
  std::size_t max_engines = 512;

  bool operator==(const prompt_cache_settings&) const = default;
};

// The parts that this router has had computed or fetched at each engine of one role of a service.
class prompt_cache {
 public:
  explicit prompt_cache(prompt_cache_settings settings = {}) : settings_(settings) {}

  // Records that the engine now holds these parts, in the order of the prompt. Drops the least recently used parts that
  // exceed the memory, as the engine does.
  void RecordParts(const engine_incarnation& engine, std::span<const prompt_part> parts, const cache_memory& memory,
                   time_point now);

  // Number of tokens at the start of the prompt that the engine probably need not read. A part counts only if all parts
  // before it are cached. Of an engine whose hints have been wrong lately, only the share that was right.
  std::uint32_t PredictCachedTokens(const engine_incarnation& engine, std::span<const prompt_part> parts,
                                    const cache_memory& memory, time_point now) const;

  static bool IsCheckable(std::uint32_t cached_tokens) { return cached_tokens >= kMinCheckedTokens; }

  // Records whether a measured time agreed with a prediction. A contradiction drops the parts and those that have not
  // been used since, because the engine evicts the least recently used parts first.
  void RecordCheck(const engine_incarnation& engine, std::span<const prompt_part> parts, bool was_right);

  // Drops the hints of all incarnations for which `is_current` is false.
  template <class predicate>
  void Retain(predicate is_current) {
    std::erase_if(engines_, [&](const auto& item) {
      return !is_current(engine_incarnation{item.first, item.second.started_ms});
    });
  }

  std::size_t EngineCount() const { return engines_.size(); }
  std::size_t PartCount(const endpoint_name& engine) const;
  std::size_t MemoryBytes() const;  // of the hints, without the overhead of the allocator

 private:
  static constexpr std::uint32_t kMinCheckedTokens = 256;  // a shorter saving disappears in the noise of a measurement

  struct cached_part {
    std::uint64_t id = 0;
    time_point last_use;
    std::uint64_t read_before = 0;  // value of read_tokens_ at the last use
    std::uint32_t tokens = 0;
    bool is_private = false;  // the last part of a prompt, which other requests do not have
  };

  struct engine_hints {
    std::uint64_t started_ms = 0;
    std::vector<cached_part> parts;  // most recently used first
    double right = 0;                // checked predictions, decayed
    double wrong = 0;
    time_point last_use;
  };

  static std::size_t CountHeld(const engine_hints& hints, const cache_memory& memory);
  bool HasBeenPushedOut(const cached_part& part, const cache_memory& memory) const;
  const engine_hints* Find(const engine_incarnation& engine) const;
  engine_hints& Insert(const engine_incarnation& engine, time_point now);

  prompt_cache_settings settings_;
  std::uint64_t read_tokens_ = 0;  // that were new to their engine, of all engines
  std::map<endpoint_name, engine_hints> engines_;
};

// Measured time of a prefill whose beginning was expected to be cached.
struct prefill_measurement {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;   // predicted
  std::uint32_t pending_tokens = 0;  // of other prompts at the engine when the request was sent
  double elapsed_ms = 0;
  double tokens_per_ms = 0;  // predicted speed

  bool operator==(const prefill_measurement&) const = default;
};

// True if the time shows that the engine has read the whole prompt. The limit is halfway between the work with and
// without the cached tokens. All pending tokens count as unread: half of the prompt in progress less gave a false alarm
// for 13% of the hints in the load test.
bool ContradictsHint(const prefill_measurement& measured);

// ---------------------------------------------------------------------------------------------------------------------
// 3. speed of engines
// ---------------------------------------------------------------------------------------------------------------------

struct engine_speed_settings {
  double usual_tokens_per_ms = 33;               // of an engine, until the service has been measured
  milliseconds half_life = milliseconds(8'000);  // of the weight of a measurement; VMs slow down for seconds
  // Half-life of a reported work time, which changes many times per second.
  milliseconds report_half_life = milliseconds(500);
  std::size_t max_engines = 512;

  bool operator==(const engine_speed_settings&) const = default;
};

// Speeds of the engines of one service, as ratios to the usual speed of the service. An engine without recent
// measurements counts as usual, so that it gets prompts and is measured again.
class engine_speeds {
 public:
  explicit engine_speeds(engine_speed_settings settings = {}) : settings_(settings) {}

  // Records a completed prefill. The prompts that were pending at the engine are part of the work; the more of them,
  // the less the measurement counts, because part of them had been read already or left the engine unread.
  void RecordPrefill(const engine_incarnation& engine, std::uint32_t read_tokens, std::uint32_t pending_tokens,
                     double elapsed_ms, time_point now);

  // Records the mean time between two tokens of a stream.
  void RecordTokenInterval(const engine_incarnation& engine, double interval_ms, time_point now);

  // Records the current work time on the VM of the engine; 100 is usual.
  void RecordWorkTime(const engine_incarnation& engine, std::optional<std::uint32_t> percent, time_point now);

  double UsualTokensPerMs() const;
  double TokensPerMs(const engine_incarnation& engine, time_point now) const;  // prefill

  // Speed of streams relative to the mean of the service: 2 if tokens arrive in half the time.
  double DecodePace(const engine_incarnation& engine, time_point now) const;

  template <class predicate>
  void Retain(predicate is_current) {
    std::erase_if(engines_, [&](const auto& item) {
      return !is_current(engine_incarnation{item.first, item.second.started_ms});
    });
  }

  std::size_t EngineCount() const { return engines_.size(); }

 private:
  // Weighted mean over the latest samples.
  struct moving_mean {
    double value = 0;
    double weight = 0;

    void Add(double sample, double added_weight);
  };

  // Weighted mean of logarithms, of which the weights decay.
  struct decayed_mean {
    double sum = 0;
    double weight = 0;
    time_point updated;

    void Add(double value, double added_weight, milliseconds half_life, time_point now);
    double Value(double prior, milliseconds half_life, time_point now) const;  // the prior replaces decayed weight
  };

  struct engine_state {
    std::uint64_t started_ms = 0;
    decayed_mean log_speed;  // at a work time of 100, relative to usual_tokens_per_ms
    decayed_mean log_interval;
    double work_time = 100;  // percent, as reported
    time_point reported_at;
    time_point last_use;
  };

  const engine_state* Find(const engine_incarnation& engine) const;
  engine_state& Insert(const engine_incarnation& engine, time_point now);
  double WorkTimeRatio(const engine_state& state, time_point now) const;

  engine_speed_settings settings_;
  std::map<endpoint_name, engine_state> engines_;
  moving_mean usual_speed_;     // logarithm, relative to usual_tokens_per_ms
  moving_mean usual_interval_;  // logarithm of milliseconds
};

// ---------------------------------------------------------------------------------------------------------------------
// 4. prompts without a response
// ---------------------------------------------------------------------------------------------------------------------

// Prompts that an engine has read for a request that then ended without a response. Its caller may retry at any router.
class prefilled_prompts {
 public:
  struct entry {
    std::uint64_t engine = 0;  // key of its name
    std::uint64_t started_ms = 0;
    std::uint32_t tokens = 0;
    time_point expiry;

    bool operator==(const entry&) const = default;
  };

  explicit prefilled_prompts(std::size_t limit = 1'024) : limit_(limit) {}

  // Replaces the entry of the prompt. Beyond the limit, entries that expire first are dropped.
  void Add(std::uint64_t prompt, const entry& added, time_point now);
  const entry* Find(std::uint64_t prompt, time_point now) const;  // null: none, or expired
  void Remove(std::uint64_t prompt) { entries_.erase(prompt); }
  void RemoveExpired(time_point now);
  std::size_t Size() const { return entries_.size(); }

 private:
  std::size_t limit_;
  std::unordered_map<std::uint64_t, entry> entries_;
};

}  // namespace persimmon
