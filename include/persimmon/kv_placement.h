// Placement of model requests by KV cache memory: which decode engine has memory for a whole request, and which prefill
// engine can process its prompt first.
//
// Sections
//   1. memory of streams
//   2. engine views
//   3. choices
//   4. stage plan
//   5. output estimate
//
// The engine itself grants or refuses each reservation; these choices only avoid requests to full engines. Each router
// knows its own reservations exactly and those of its peers as of their last message.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. memory of streams
// ---------------------------------------------------------------------------------------------------------------------

// KV cache memory of one stream on its engine, in tokens. The engine sets aside the reservation, or what the stream
// holds if that is more. The stream grows by one token with each output token until it ends.
struct stream_memory {
  std::uint32_t held_tokens = 0;       // prompt and the output so far
  std::uint32_t remaining_tokens = 0;  // expected output that is still to come
  std::uint32_t reserved_tokens = 0;   // granted by the engine; 0: not reserved yet

  bool operator==(const stream_memory&) const = default;
  template <class archive>
  void serialize(archive& ar) {
    ar(held_tokens, remaining_tokens, reserved_tokens);
  }
};

// Largest amount of memory that the engine has to set aside at the same time until all these streams have ended.
// Streams of one engine are assumed to advance at the same pace.
std::uint64_t PredictPeakMemory(std::span<const stream_memory> streams);

// Reservation for one more stream: what it will hold on average until its end, or less if the other streams need the
// memory for their growth. Nothing if the memory will not suffice for all. A reservation keeps concurrent routers from
// filling the same engine; a larger one would leave memory idle, because the stream reaches its maximum late.
std::optional<std::uint32_t> FindReservation(std::span<const stream_memory> streams, const stream_memory& added,
                                             std::uint64_t capacity);

// ---------------------------------------------------------------------------------------------------------------------
// 2. engine views
// ---------------------------------------------------------------------------------------------------------------------

// A router's view of one engine when it places a request.
struct engine_view {
  endpoint_name name;
  zone_name zone;
  bool can_receive = true;             // health and connections allow new work
  std::uint32_t kv_tokens = 0;         // KV cache memory of the engine
  std::uint32_t slots = 0;             // maximum batch size
  std::vector<stream_memory> streams;  // of this router and its peers
  std::uint32_t running = 0;           // requests of this router and its peers
  std::uint32_t pending_tokens = 0;    // prompt tokens queued or in prefill, of this router and its peers
  std::uint32_t headroom_tokens = 0;   // to leave free for responses that get longer than estimated
  std::uint32_t refused_tokens = 0;    // size of a recently refused reservation; 0: none
  // Used only with placement_settings::weighs_speeds.
  std::uint32_t cached_tokens = 0;   // of the prompt to be placed, which the engine probably need not read
  double prefill_tokens_per_ms = 0;  // 0: unknown, taken as usual
  double decode_pace = 1;            // speed of its streams relative to the mean of the service

  bool operator==(const engine_view&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. choices
// ---------------------------------------------------------------------------------------------------------------------

struct placement_settings {
  // Counts each stream at its maximum from its start, as if all reached it together.
  bool counts_maxima = false;
  std::uint32_t block_tokens = 16;            // engines allocate memory in blocks of this many tokens
  std::uint32_t cross_zone_tokens = 1'500;    // load penalty of an engine in another zone
  std::uint32_t max_prefill_backlog = 7'000;  // an engine with more pending prompt tokens gets no further prompts
  // Longest prompt that a decode engine prefills while all prefill engines are busy.
  std::uint32_t local_prefill_limit = 2'400;
  double prefill_tokens_per_ms = 33;  // usual speed of an engine
  // Weighs the speeds of engines and the prompts that they cache. Otherwise all engines count as equal.
  bool weighs_speeds = false;
  double transfer_ms = 20;  // time to fetch the KV cache of a prefill

  bool operator==(const placement_settings&) const = default;
};

// True if so many streams of other routers are unknown to this one that the predicted growth of the known ones must not
// be relied on. `streams` is the mean number on an engine, `stream_time` their mean duration, and `report_interval` the
// time until routers learn of each other's streams.
bool HasOutdatedViews(double streams, microseconds stream_time, microseconds report_interval);

// Chooses an engine whose memory suffices for its streams and this one until all have ended, by the power of two
// choices: of two random candidates the one with more free memory, so that routers with the same view do not all pick
// the same engine. `draw` is random.
std::optional<std::size_t> ChooseDecodeEngine(std::span<const engine_view> engines, const stream_memory& stream,
                                              const zone_name& preferred_zone, std::uint64_t draw,
                                              const placement_settings& settings);

// Work, in tokens of an engine of usual speed, until the engine has read the prompt after those that are pending there.
double PredictPrefillWork(const engine_view& engine, std::uint32_t prompt_tokens, const placement_settings& settings);

// The engine that will have read the prompt first; an engine in another zone counts as more loaded. Without
// weighs_speeds: the engine with the fewest pending prompt tokens. `draw` decides between equal ones; with
// weighs_speeds, ends that differ by less than a twentieth of the prompt are equal, because all routers would otherwise
// choose the same engine until they learn of each other's choices.
std::optional<std::size_t> ChoosePrefillEngine(std::span<const engine_view> engines, const zone_name& preferred_zone,
                                               std::uint64_t draw, const placement_settings& settings,
                                               std::uint32_t prompt_tokens = 0);

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
  std::uint32_t reserved_tokens = 0;   // to reserve at the decode engine
  std::optional<std::size_t> prefill;  // index into the prefill views; absent: the decode engine prefills the prompt

  bool operator==(const engine_choice&) const = default;
};

// Chooses both engines of a request, or tells what it has to wait for. `stream` holds the prompt and the estimated
// output. A prompt is assigned only to a prefill engine with few pending tokens: assigned
// earlier, it would hold decode memory while it waits, and more urgent prompts could not overtake it. If no prefill
// engine can receive work at all, the decode engine prefills the prompt, at half the speed.
//
// While all prefill engines are busy, as at the start of a burst, a decode engine prefills short prompts locally, one
// at a time. Its other streams stall meanwhile, so a long prompt would make all of them late.
//
// With weighs_speeds, the backlog limit applies to the time that an engine needs for it, so that a slow engine gets
// fewer prompts. An engine that caches part of the prompt may exceed it by that part, up to a quarter of the limit: the
// request then holds decode memory no longer than one that is placed at the limit elsewhere. A decode engine that
// caches nearly all of the prompt and ends earlier than a prefill engine and the transfer prefills the rest itself.
engine_choice ChooseEngines(std::span<const engine_view> decode, std::span<const engine_view> prefill,
                            const stream_memory& stream, const zone_name& preferred_zone, std::uint64_t draw,
                            const placement_settings& settings);

// ---------------------------------------------------------------------------------------------------------------------
// 4. stage plan
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
// 5. output estimate
// ---------------------------------------------------------------------------------------------------------------------

struct output_estimate_settings {
  double max_output_share = 0.35;  // fraction of the maximum output, without an estimate of the caller

  bool operator==(const output_estimate_settings&) const = default;
};

// Number of output tokens to reserve memory for. The callers' estimates are accurate at the median: half of the
// responses are longer. Reserving the maximum output would leave most of the memory idle.
std::uint32_t EstimateOutput(std::optional<std::uint32_t> hint, std::uint32_t maximum,
                             const output_estimate_settings& settings);

// Learns how output lengths differ from their estimates. Estimates are accurate at the median, but single ones are far
// off: an engine without free memory preempts a stream whenever the sum of its outputs exceeds the estimates. The ratio
// of length to estimate is modeled as log-normal.
class output_length_model {
 public:
  void RecordEstimate(std::uint32_t estimated_tokens);  // of a new request
  void RecordAnswer(std::uint32_t estimated_tokens, std::uint32_t output_tokens);

  // Expected number of further output tokens of a stream that has generated this many, at most the difference to
  // `maximum`. More than the difference to the estimate, because some streams become much longer. kMedian counts only
  // up to the median length until the stream has reached it.
  enum class expectation : std::uint8_t { kMean, kMedian };
  std::uint32_t ExpectRemaining(std::uint32_t estimated_tokens, std::uint32_t generated_tokens, std::uint32_t maximum,
                                expectation kind) const;

  // Tokens to leave free on an engine with this many streams: one standard deviation of the sum of their lengths. About
  // five in six engines then have enough memory, because only the excess on one side of the mean counts. 0 for an idle
  // engine, so that a request of its full size can be placed.
  std::uint32_t Headroom(std::uint32_t streams) const;

 private:
  static constexpr double kSampleWindow = 100;          // responses and requests in the moving averages
  static constexpr double kInitialSamples = 4;          // weight of the initial deviation
  static constexpr double kInitialDeviation = 1.0 / 3;  // of the logarithm; common for short texts

  double estimates_ = 0;  // requests so far
  double mean_estimate_ = 0;
  double answers_ = kInitialSamples;
  double mean_log_ratio_ = 0;
  double variance_ = kInitialDeviation * kInitialDeviation;
};

}  // namespace persimmon
