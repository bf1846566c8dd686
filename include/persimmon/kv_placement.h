// Placement of model requests by KV cache memory: which decode engine has memory for a whole request, and which prefill
// engine can process its prompt first.
//
// Sections
//   1. engine views
//   2. choices
//   3. stage plan
//   4. output estimate
//
// The engine itself grants or refuses each reservation; these choices only avoid requests to full engines. Each router
// knows its own reservations exactly and those of its peers as of their last message.
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

// A router's view of one engine when it places a request.
struct engine_view {
  endpoint_name name;
  zone_name zone;
  bool can_receive = true;            // health and connections allow new work
  std::uint32_t kv_tokens = 0;        // KV cache memory of the engine
  std::uint32_t slots = 0;            // maximum batch size
  std::uint32_t reserved_tokens = 0;  // by requests of this router and its peers
  std::uint32_t running = 0;          // requests of this router and its peers
  std::uint32_t pending_tokens = 0;   // prompt tokens queued or in prefill, of this router and its peers
  std::uint32_t headroom_tokens = 0;  // to leave free for responses that get longer than estimated
  std::uint32_t refused_tokens = 0;   // size of a recently refused request; 0: none

  bool operator==(const engine_view&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. choices
// ---------------------------------------------------------------------------------------------------------------------

struct placement_settings {
  std::uint32_t block_tokens = 16;            // engines allocate memory in blocks of this many tokens
  std::uint32_t cross_zone_tokens = 1'500;    // load penalty of an engine in another zone
  std::uint32_t max_prefill_backlog = 7'000;  // an engine with more pending prompt tokens gets no further prompts
  // Longest prompt that a decode engine prefills while all prefill engines are busy.
  std::uint32_t local_prefill_limit = 2'400;
  double prefill_tokens_per_ms = 33;  // speed of an engine, until it is measured

  bool operator==(const placement_settings&) const = default;
};

// Chooses an engine with enough free memory for the tokens by the power of two choices: of two random candidates the
// one with more free memory, so that routers with the same view do not all pick the same engine. `draw` is random.
std::optional<std::size_t> ChooseDecodeEngine(std::span<const engine_view> engines, std::uint32_t tokens,
                                              const zone_name& preferred_zone, std::uint64_t draw,
                                              const placement_settings& settings);

// The engine with the fewest pending prompt tokens; an engine in another zone counts as more loaded.
std::optional<std::size_t> ChoosePrefillEngine(std::span<const engine_view> engines, const zone_name& preferred_zone,
                                               std::uint64_t draw, const placement_settings& settings);

// Why a request has to wait for its engines.
enum class wait_reason : std::uint8_t {
  kNone,
  kDecodeMemory,  // no decode engine has enough free memory
  kPrefillBusy,   // every prefill engine has too many pending prompt tokens
};

// "none", "decode_memory" or "prefill_busy".
const char* WaitReasonName(wait_reason reason);

// The engines of a request, or the reason why it has to wait.
struct engine_choice {
  wait_reason waits_for = wait_reason::kNone;
  std::size_t decode = 0;              // index into the decode views
  std::optional<std::size_t> prefill;  // index into the prefill views; absent: the decode engine prefills the prompt

  bool operator==(const engine_choice&) const = default;
};

// Chooses both engines of a request, or tells what it has to wait for. `tokens` is the memory to reserve, of which
// `prompt_tokens` are the prompt. A prompt is assigned only to a prefill engine with few pending tokens: assigned
// earlier, it would hold decode memory while it waits, and more urgent prompts could not overtake it. If no prefill
// engine can receive work at all, the decode engine prefills the prompt, at half the speed.
//
// While all prefill engines are busy, as at the start of a burst, a decode engine prefills short prompts locally, one
// at a time. Its other streams stall meanwhile, so a long prompt would make all of them late.
engine_choice ChooseEngines(std::span<const engine_view> decode, std::span<const engine_view> prefill,
                            std::uint32_t tokens, std::uint32_t prompt_tokens, const zone_name& preferred_zone,
                            std::uint64_t draw, const placement_settings& settings);

// ---------------------------------------------------------------------------------------------------------------------
// 3. stage plan
// ---------------------------------------------------------------------------------------------------------------------

// Mean request of a service and speed of its engines. The defaults apply until requests have been measured.
struct workload_profile {
  double prompt_tokens = 3'200;
  double output_tokens = 900;
  double prefill_tokens_per_ms = 33;
  double token_interval_ms = 3.6;

  bool operator==(const workload_profile&) const = default;
};

// Number of `engines` that should run prefill, so that both stages saturate at the same request rate. Not rounded to
// whole engines. Leaves at least one engine to each stage. 0 if there are fewer than two engines.
double PlanPrefillEngines(std::uint32_t engines, std::uint32_t kv_tokens, std::uint32_t slots,
                          const workload_profile& profile);

// ---------------------------------------------------------------------------------------------------------------------
// 4. output estimate
// ---------------------------------------------------------------------------------------------------------------------

struct output_estimate_settings {
  double hint_share = 1.0;         // fraction of the caller's estimate to reserve
  double max_output_share = 0.35;  // fraction of the maximum output, without an estimate of the caller

  bool operator==(const output_estimate_settings&) const = default;
};

// Number of output tokens to reserve memory for. The callers' estimates are accurate at the median: half of the
// responses are longer. Reserving the maximum output would leave most of the memory idle.
std::uint32_t EstimateOutput(std::optional<std::uint32_t> hint, std::uint32_t maximum,
                             const output_estimate_settings& settings);

// Measures the deviation of output lengths from their estimates. Estimates are accurate at the median, but
// single ones are far off; an engine without free memory preempts a stream whenever the sum of its outputs exceeds the
// estimates.
class output_length_deviation {
 public:
  void RecordAnswer(std::uint32_t estimated_tokens, std::uint32_t output_tokens);

  // Tokens to leave free on an engine with this many streams: one standard deviation of the sum of their lengths. About
  // five in six engines then have enough memory, because only the excess on one side of the mean counts. 0 for an idle
  // engine, so that a request of its full size can be placed.
  std::uint32_t Headroom(std::uint32_t streams) const;

 private:
  static constexpr double kSampleWindow = 200;      // responses in the moving average
  static constexpr double kInitialDeviation = 300;  // tokens; initial value, for responses of 900 tokens

  double variance_ = kInitialDeviation * kInitialDeviation;
};

}  // namespace persimmon
