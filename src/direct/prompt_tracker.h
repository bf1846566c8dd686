// Which prompts the engines cache and how fast they are, as far as this router can tell from its own requests. A
// service of the kernel, for the services that use the adaptive policy.
//
// Routers do not exchange these hints, with one exception: when a request ends without a response after its prompt was
// read, the others learn at which engine, because its caller may retry at any router.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "direct/direct_call.h"
#include "direct/endpoint_tracker.h"
#include "persimmon/limits.h"
#include "persimmon/prefill_check.h"
#include "persimmon/prompt_cache.h"

namespace persimmon {

// What this router expects of an engine when it sends a prompt to it.
struct prefill_prediction {
  std::uint32_t cached_tokens = 0;
  std::uint32_t pending_tokens = 0;  // of other prompts
  double tokens_per_ms = 0;

  bool operator==(const prefill_prediction&) const = default;
};

// Identifies a prompt among those of all services by the id of its last part; key of a prompt_prefilled.
std::uint64_t PromptKey(const std::string& service, std::uint64_t last_part);

class prompt_tracker {
 public:
  prompt_tracker(kernel& services, const direct_settings& settings) : kernel_(services), settings_(settings) {}

  void Start();
  void Stop();

  // False: the service is served as without this component, and nothing is recorded for it.
  bool IsUsedFor(const std::string& service) const;

  // The rest of the functions do nothing for a service that does not use it.

  // Lets the placement weigh speeds and cached prompts.
  void ApplySettings(const std::string& service, placement_settings& settings) const;
  void FillViews(const direct_call& call, endpoint_role role, const std::vector<chosen_endpoint>& engines,
                 std::vector<engine_view>& views);

  // `own_pending`: prompt tokens of this call that are already part of the engine's load.
  prefill_prediction Predict(const direct_call& call, endpoint_role role, const chosen_endpoint& engine,
                             std::uint32_t own_pending) const;

  // Work to count as pending at the engine that reads the prompt.
  static std::uint32_t ReadTokens(const direct_call& call, std::uint32_t cached_tokens);

  // Whether a prefill that starts now is worth sending. `wait_start`: since when the caller has been waiting for an
  // event.
  prefill_verdict Check(const direct_call& call, const chosen_endpoint& decode_engine,
                        const prefill_prediction& prediction, time_point wait_start,
                        std::optional<time_point> reserved_until);

  // A prefill engine has completed the prompt.
  void RecordPrefill(const direct_call& call, const chosen_endpoint& engine, const prefill_prediction& prediction,
                     microseconds elapsed);

  // A decode engine that has read the prompt itself has sent its first event.
  void RecordOwnRead(const direct_call& call, const chosen_endpoint& engine, const prefill_prediction& prediction,
                     microseconds until_first_event);

  // A decode engine holds the prompt after a stream that has ended.
  void RecordStreamEnd(const direct_call& call, const chosen_endpoint& engine);

  void RecordTokenInterval(const std::string& service, const chosen_endpoint& engine, microseconds streamed,
                           std::size_t tokens);

  // `percent`: work time figure of the response; 100 is usual.
  void RecordWorkTime(const std::string& service, const chosen_endpoint& engine, std::optional<std::uint32_t> percent);

  // The request has ended without a response after the engine has read its prompt.
  void RecordNoResponse(const direct_call& call, const chosen_endpoint& engine);

 private:
  struct service_state {
    explicit service_state(const prompt_cache_settings& settings) : prefill(settings), decode(settings) {}

    prompt_cache prefill;  // of the engines of each role
    prompt_cache decode;
    engine_speeds speeds;
    std::uint32_t prefill_engines = 1;  // at the latest placement
    std::uint32_t decode_engines = 1;
  };

  static engine_incarnation Incarnation(const chosen_endpoint& engine) { return {engine.name, engine.started_ms}; }
  template <class state>
  static auto& CacheOf(state& service, endpoint_role role) {
    return role == endpoint_role::kPrefill ? service.prefill : service.decode;
  }
  service_state& StateOf(const std::string& service);
  const service_state* FindState(const std::string& service) const;
  cache_memory MemoryOf(const engine_view& view, const service_state& state, endpoint_role role) const;
  const prefilled_prompts::entry* FindPrefilled(const direct_call& call) const;
  engine_view ViewOf(const direct_call& call, const chosen_endpoint& engine) const;
  std::uint32_t PredictCached(const direct_call& call, endpoint_role role, const chosen_endpoint& engine,
                              const engine_view& view, const prefilled_prompts::entry* prefilled) const;
  void RecordHeld(const direct_call& call, endpoint_role role, const chosen_endpoint& engine);
  bool CheckHint(const direct_call& call, endpoint_role role, const chosen_endpoint& engine,
                 const prefill_measurement& measured);
  void RemoveOutdated();

  kernel& kernel_;
  const direct_settings& settings_;
  endpoint_tracker* endpoint_tracker_ = nullptr;
  router_group* group_ = nullptr;
  metrics_registry* metrics_ = nullptr;
  std::map<std::string, service_state> services_;
  prefilled_prompts prefilled_;
  std::optional<token_bucket> datagrams_;  // set by Start
  timer_subscription cleanup_timer_;
};

}  // namespace persimmon
