// Placement of model requests by KV memory: which decode engine has room for a whole request, and which prefill engine
// reads its prompt soonest.
//
// Sections
//   1. engine views
//   2. choices
//   3. stage plan
//   4. output estimate
//
// The engine's own grant of a reservation decides. These choices only keep routers from asking engines that are full:
// each router knows its own reservations exactly and those of its peers as of their last message.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. engine views
// ---------------------------------------------------------------------------------------------------------------------

// What a router knows about one engine when it places a request.
struct engine_view {
  endpoint_name name;
  zone_name zone;
  bool can_receive = true;            // health and connections allow new work
  std::uint32_t kv_tokens = 0;        // memory of the engine
  std::uint32_t slots = 0;            // requests in one batch
  std::uint32_t reserved_tokens = 0;  // by this router and its peers
  std::uint32_t running = 0;          // requests of this router and its peers
  std::uint32_t pending_tokens = 0;   // prompt tokens that it reads now, for this router and its peers
  std::uint32_t headroom_tokens = 0;  // to leave free for answers that get longer than estimated
  std::uint32_t refused_tokens = 0;   // a request of this size was refused a moment ago; 0: none

  bool operator==(const engine_view&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. choices
// ---------------------------------------------------------------------------------------------------------------------

struct placement_settings {
  std::uint32_t block_tokens = 16;          // engines hand out memory in blocks of this many tokens
  std::uint32_t cross_zone_tokens = 1'500;  // an engine in another zone must be this much less loaded
  std::uint32_t prefill_backlog = 7'000;    // prompt tokens ahead on an engine to which a prompt is bound
  std::uint32_t own_prompt_limit = 2'400;   // of a prompt that a decode engine reads itself while prefill is busy
  double prefill_tokens_per_ms = 33;        // pace of an engine, until it is measured

  bool operator==(const placement_settings&) const = default;
};

// The engine with the most free memory among those with room for the tokens, by the power of two choices: of two random
// candidates the better one, so that routers with the same picture do not all pick the same engine. `draw` is random.
std::optional<std::size_t> ChooseDecodeEngine(std::span<const engine_view> engines, std::uint32_t tokens,
                                              const zone_name& preferred_zone, std::uint64_t draw,
                                              const placement_settings& settings);

// The engine with the fewest pending prompt tokens; the preferred zone first among about equals.
std::optional<std::size_t> ChoosePrefillEngine(std::span<const engine_view> engines, const zone_name& preferred_zone,
                                               std::uint64_t draw, const placement_settings& settings);

// Why a request has to wait for its engines.
enum class wait_reason : std::uint8_t {
  kNone,
  kDecodeMemory,  // no decode engine has room for it
  kPrefillBusy,   // every prefill engine has enough prompts ahead
};

// "none", "decode_memory" or "prefill_busy".
const char* WaitReasonName(wait_reason reason);

// Where a request runs, if it need not wait.
struct engine_choice {
  wait_reason waits_for = wait_reason::kNone;
  std::size_t decode = 0;              // into the decode views
  std::optional<std::size_t> prefill;  // into the prefill views; absent: the decode engine reads the prompt itself

  bool operator==(const engine_choice&) const = default;
};

// Chooses both engines of a request, or tells what it has to wait for. `tokens` is the memory to reserve, of which
// `prompt_tokens` are the prompt. A prompt is bound only to an engine that reads it soon: bound earlier, it would hold
// decode memory while it waits, and more urgent prompts could not pass it. If no prefill engine can receive work at
// all, the decode engine reads the prompt, at half the pace.
//
// While all prefill engines are busy, as at the start of a burst, a decode engine reads a short prompt itself, one at
// a time. Its other streams pause meanwhile, so a long prompt would make all of them late.
engine_choice ChooseEngines(std::span<const engine_view> decode, std::span<const engine_view> prefill,
                            std::uint32_t tokens, std::uint32_t prompt_tokens, const zone_name& preferred_zone,
                            std::uint64_t draw, const placement_settings& settings);

// ---------------------------------------------------------------------------------------------------------------------
// 3. stage plan
// ---------------------------------------------------------------------------------------------------------------------

// Mean request of a service and pace of its engines. The defaults hold until requests have been measured.
struct workload_profile {
  double prompt_tokens = 3'200;
  double output_tokens = 900;
  double prefill_tokens_per_ms = 33;
  double token_interval_ms = 3.6;

  bool operator==(const workload_profile&) const = default;
};

// How many of `engines` are to prefill, so that both stages are full at the same request rate; a fraction, because
// engines are whole. At least one engine is left to each stage. 0 if there are fewer than two engines.
double PlanPrefillEngines(std::uint32_t engines, std::uint32_t kv_tokens, std::uint32_t slots,
                          const workload_profile& profile);

// ---------------------------------------------------------------------------------------------------------------------
// 4. output estimate
// ---------------------------------------------------------------------------------------------------------------------

struct output_estimate_settings {
  double hint_share = 1.0;      // of the caller's estimate that is reserved
  double maximum_share = 0.35;  // of the largest allowed output, without an estimate of the caller

  bool operator==(const output_estimate_settings&) const = default;
};

// Output tokens to reserve memory for. The caller's estimate is right at the median; reserving the largest output
// leaves most of the memory idle.
std::uint32_t EstimateOutput(std::optional<std::uint32_t> hint, std::uint32_t maximum,
                             const output_estimate_settings& settings);

// Learns how far answers differ from their estimates. Estimates are right on average and far off one by one; an engine
// that is filled to the last token preempts a stream whenever the sum of its answers exceeds that of the estimates.
class output_spread {
 public:
  void NoteAnswer(std::uint32_t estimated_tokens, std::uint32_t output_tokens);

  // Tokens to leave free on an engine with so many streams: one standard deviation of the sum of their lengths, which
  // keeps five in six engines from preempting. None for an idle engine, so that a request of its size can be placed.
  std::uint32_t Headroom(std::uint32_t streams) const;

 private:
  static constexpr double kSamples = 200;           // answers over which the deviation is taken
  static constexpr double kAssumedDeviation = 300;  // tokens, before the first answers; of answers of 900 tokens

  double variance_ = kAssumedDeviation * kAssumedDeviation;
};

}  // namespace persimmon
