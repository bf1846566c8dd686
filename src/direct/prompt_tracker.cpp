#include "direct/prompt_tracker.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <numeric>

#include "core/event_log.h"
#include "core/random.h"
#include "core/telemetry.h"

namespace persimmon {
namespace {

constexpr const char* kComponent = "router.prompts";
constexpr milliseconds kCleanupPeriod(1'000);
constexpr milliseconds kMinTimeLeft(50);   // for the first event to reach the caller
constexpr double kDatagramBurst = 3;       // seconds of the rate that may be sent at once
constexpr double kDecodeReadShare = 0.5;   // of the prefill speed, at which an engine reads prompts between its streams
constexpr std::size_t kMaxServices = 256;  // beyond it, all hints are dropped and learned again

std::uint64_t KeyOf(const direct_call& call) { return PromptKey(call.Service().name, call.Metadata().parts.back().id); }

bool HasKey(const direct_call& call) { return call.Metadata().has_all_parts && !call.Metadata().parts.empty(); }

double Milliseconds(microseconds duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

}  // namespace

std::uint64_t PromptKey(const std::string& service, std::uint64_t last_part) {
  return XXH64(&last_part, sizeof(last_part), ServiceKey(service));
}

void prompt_tracker::Start() {
  endpoint_tracker_ = &kernel_.Find<endpoint_tracker>("board");
  group_ = &kernel_.Find<router_group>("group");
  metrics_ = &kernel_.Find<telemetry>("telemetry").Metrics();
  const auto rate = static_cast<double>(settings_.prefilled_datagrams);
  datagrams_.emplace(rate, rate * kDatagramBurst, rate * kDatagramBurst, timer_service::Now());
  group_->SubscribeMessages([this](const host_port&, const message& received) {
    if (const auto* read = std::get_if<prompt_prefilled>(&received)) {
      const time_point now = timer_service::Now();
      prefilled_.Add(read->prompt, {read->engine, read->started_ms, read->tokens, now + settings_.prefilled_lifetime},
                     now);
    }
  });
  cleanup_timer_ = kernel_.Timers().SubscribeEvery(kCleanupPeriod, 0.2, [this] { RemoveOutdated(); });
}

void prompt_tracker::Stop() { cleanup_timer_.Cancel(); }

bool prompt_tracker::IsUsedFor(const std::string& service) const {
  return settings_.weigh_caches && endpoint_tracker_->UsesAdaptivePolicy(service);
}

void prompt_tracker::RemoveOutdated() {
  prefilled_.RemoveExpired(timer_service::Now());
  for (auto& [name, state] : services_) {
    std::vector<engine_incarnation> current;
    for (const chosen_endpoint& engine : endpoint_tracker_->ListEndpoints(name, std::nullopt)) {
      current.push_back(Incarnation(engine));
    }
    std::sort(current.begin(), current.end());
    const auto is_current = [&current](const engine_incarnation& engine) {
      return std::binary_search(current.begin(), current.end(), engine);
    };
    state.prefill.Retain(is_current);
    state.decode.Retain(is_current);
    state.speeds.Retain(is_current);
  }
}

prompt_tracker::service_state& prompt_tracker::StateOf(const std::string& service) {
  if (services_.size() >= kMaxServices && !services_.contains(service)) {
    services_.clear();
  }
  prompt_cache_settings cache_settings;
  cache_settings.max_age = settings_.cache_max_age;
  return services_.try_emplace(service, cache_settings).first->second;
}

const prompt_tracker::service_state* prompt_tracker::FindState(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

cache_memory prompt_tracker::MemoryOf(const engine_view& view, const service_state& state, endpoint_role role) const {
  const std::uint64_t used = std::transform_reduce(
      view.streams.begin(), view.streams.end(), std::uint64_t{view.pending_tokens}, std::plus<>(),
      [](const stream_memory& stream) { return std::max(stream.held_tokens, stream.reserved_tokens); });
  const std::uint64_t free = view.kv_tokens - std::min<std::uint64_t>(view.kv_tokens, used);
  return {static_cast<std::uint32_t>(free), std::max(1U, group_->RouterCount()),
          role == endpoint_role::kPrefill ? state.prefill_engines : state.decode_engines};
}

engine_view prompt_tracker::ViewOf(const direct_call& call, const chosen_endpoint& engine) const {
  return endpoint_tracker_->EngineViews({engine}, call.Service().engine.value_or(engine_profile{}), {}).front();
}

// The prompt of the call as another request without a response has left it at an engine; null if there is none.
const prefilled_prompts::entry* prompt_tracker::FindPrefilled(const direct_call& call) const {
  return HasKey(call) ? prefilled_.Find(KeyOf(call), timer_service::Now()) : nullptr;
}

std::uint32_t prompt_tracker::PredictCached(const direct_call& call, endpoint_role role, const chosen_endpoint& engine,
                                            const engine_view& view, const prefilled_prompts::entry* prefilled) const {
  const platform::request_metadata& metadata = call.Metadata();
  const service_state* state = FindState(call.Service().name);
  std::uint32_t cached = 0;
  if (state != nullptr) {
    cached = CacheOf(*state, role)
                 .PredictCachedTokens(Incarnation(engine), metadata.parts, MemoryOf(view, *state, role),
                                      timer_service::Now());
  }
  if (prefilled != nullptr && prefilled->started_ms == engine.started_ms &&
      prefilled->engine == EndpointKey(engine.name)) {
    cached = std::max(cached, prefilled->tokens);
  }
  return std::min(cached, metadata.prompt_tokens);
}

void prompt_tracker::ApplySettings(const std::string& service, placement_settings& settings) const {
  if (!IsUsedFor(service)) {
    return;
  }
  settings.weighs_speeds = true;
  settings.transfer_ms = static_cast<double>(settings_.fetch_time.count());
  if (const service_state* state = FindState(service)) {
    settings.prefill_tokens_per_ms = state->speeds.UsualTokensPerMs();
  }
}

void prompt_tracker::FillViews(const direct_call& call, endpoint_role role, const std::vector<chosen_endpoint>& engines,
                               std::vector<engine_view>& views) {
  if (!IsUsedFor(call.Service().name)) {
    return;
  }
  const time_point now = timer_service::Now();
  const prefilled_prompts::entry* prefilled = FindPrefilled(call);
  service_state& state = StateOf(call.Service().name);
  auto& count = role == endpoint_role::kPrefill ? state.prefill_engines : state.decode_engines;
  count = std::max(1U, static_cast<std::uint32_t>(engines.size()));
  for (std::size_t i = 0; i < views.size(); ++i) {
    views[i].cached_tokens = PredictCached(call, role, engines[i], views[i], prefilled);
    views[i].prefill_tokens_per_ms = state.speeds.TokensPerMs(Incarnation(engines[i]), now);
    views[i].decode_pace = state.speeds.DecodePace(Incarnation(engines[i]), now);
  }
}

prefill_prediction prompt_tracker::Predict(const direct_call& call, endpoint_role role, const chosen_endpoint& engine,
                                           std::uint32_t own_pending) const {
  const std::string& service = call.Service().name;
  if (!IsUsedFor(service)) {
    return {};
  }
  const engine_view view = ViewOf(call, engine);
  const service_state* state = FindState(service);
  const double speed = state == nullptr ? placement_settings{}.prefill_tokens_per_ms
                                        : state->speeds.TokensPerMs(Incarnation(engine), timer_service::Now());
  return {PredictCached(call, role, engine, view, FindPrefilled(call)),
          view.pending_tokens - std::min(view.pending_tokens, own_pending), speed};
}

std::uint32_t prompt_tracker::ReadTokens(const direct_call& call, std::uint32_t cached_tokens) {
  const std::uint32_t prompt = call.Metadata().prompt_tokens;
  return prompt - std::min(prompt, cached_tokens);
}

prefill_verdict prompt_tracker::Check(const direct_call& call, const chosen_endpoint& decode_engine,
                                      const prefill_prediction& prediction, time_point wait_start,
                                      std::optional<time_point> reserved_until) {
  if (!IsUsedFor(call.Service().name) || prediction.tokens_per_ms <= 0) {
    return prefill_verdict::kSend;
  }
  const time_point now = timer_service::Now();
  const auto until = [now](time_point end) { return std::chrono::duration_cast<microseconds>(end - now); };
  const time_point abandoned =
      wait_start + AbandonmentTime(call.Route().target_latency, call.Route().target_event_interval);
  const double work = static_cast<double>(prediction.pending_tokens) + ReadTokens(call, prediction.cached_tokens);
  prefill_conditions conditions;
  conditions.is_caller_connected = !call.IsCallerDisconnected();
  conditions.is_decode_engine_current = endpoint_tracker_->IsCurrent(decode_engine);
  conditions.time_left = until(std::min(call.Deadline(), abandoned));
  conditions.prefill_time = microseconds(static_cast<std::int64_t>(work / prediction.tokens_per_ms * 1'000));
  conditions.transfer_time = settings_.fetch_time;
  if (reserved_until) {
    conditions.reservation_left = until(*reserved_until);
  }
  const prefill_verdict verdict = CheckPrefill(conditions, kMinTimeLeft);
  if (verdict != prefill_verdict::kSend) {
    metrics_
        ->AddCounter("persimmon_prefills_skipped_total", "Prefills not sent because nobody would use their result.",
                     {{"service", call.Service().name}, {"reason", PrefillVerdictName(verdict)}})
        .Increment();
    Events()
        .Line(kComponent, "prefill_skipped")
        .Request(call.Metadata().attempt)
        .Add("reason", PrefillVerdictName(verdict))
        .Add("time_left_ms", std::chrono::duration_cast<milliseconds>(conditions.time_left).count())
        .Add("predicted_ms", std::chrono::duration_cast<milliseconds>(conditions.prefill_time).count())
        .Add("pending_tokens", prediction.pending_tokens)
        .Add("cached_tokens", prediction.cached_tokens);
  }
  return verdict;
}

// Returns false if the measured time contradicts the hint, which is then dropped.
bool prompt_tracker::CheckHint(const direct_call& call, endpoint_role role, const chosen_endpoint& engine,
                               const prefill_measurement& measured) {
  const bool is_right = !ContradictsHint(measured);
  if (prompt_cache::IsCheckable(measured.cached_tokens)) {
    CacheOf(StateOf(call.Service().name), role).RecordCheck(Incarnation(engine), call.Metadata().parts, is_right);
  }
  if (!is_right) {
    if (HasKey(call)) {
      prefilled_.Remove(KeyOf(call));
    }
    metrics_
        ->AddCounter("persimmon_cache_hints_contradicted_total",
                     "Predictions of cached prompts that the time of the prefill contradicted.",
                     {{"service", call.Service().name}})
        .Increment();
  }
  return is_right;
}

void prompt_tracker::RecordHeld(const direct_call& call, endpoint_role role, const chosen_endpoint& engine) {
  service_state& state = StateOf(call.Service().name);
  CacheOf(state, role)
      .RecordParts(Incarnation(engine), call.Metadata().parts, MemoryOf(ViewOf(call, engine), state, role),
                   timer_service::Now());
}

void prompt_tracker::RecordPrefill(const direct_call& call, const chosen_endpoint& engine,
                                   const prefill_prediction& prediction, microseconds elapsed) {
  const std::string& service = call.Service().name;
  if (!IsUsedFor(service)) {
    return;
  }
  const std::uint32_t prompt_tokens = call.Metadata().prompt_tokens;
  const prefill_measurement measured{prompt_tokens, prediction.cached_tokens, prediction.pending_tokens,
                                     Milliseconds(elapsed), prediction.tokens_per_ms};
  const bool is_right = CheckHint(call, endpoint_role::kPrefill, engine, measured);
  const std::uint32_t read_tokens = is_right ? ReadTokens(call, prediction.cached_tokens) : prompt_tokens;
  StateOf(service).speeds.RecordPrefill(Incarnation(engine), read_tokens, prediction.pending_tokens,
                                        measured.elapsed_ms, timer_service::Now());
  metrics_
      ->AddCounter("persimmon_cached_tokens_predicted_total",
                   "Prompt tokens of completed prefills that were expected to be cached.", {{"service", service}})
      .Increment(prediction.cached_tokens);
  RecordHeld(call, endpoint_role::kPrefill, engine);
}

void prompt_tracker::RecordOwnRead(const direct_call& call, const chosen_endpoint& engine,
                                   const prefill_prediction& prediction, microseconds until_first_event) {
  if (IsUsedFor(call.Service().name)) {
    CheckHint(call, endpoint_role::kDecode, engine,
              {call.Metadata().prompt_tokens, prediction.cached_tokens, prediction.pending_tokens,
               Milliseconds(until_first_event), prediction.tokens_per_ms * kDecodeReadShare});
  }
}

void prompt_tracker::RecordStreamEnd(const direct_call& call, const chosen_endpoint& engine) {
  if (IsUsedFor(call.Service().name)) {
    RecordHeld(call, endpoint_role::kDecode, engine);
  }
}

void prompt_tracker::RecordTokenInterval(const std::string& service, const chosen_endpoint& engine,
                                         microseconds streamed, std::size_t tokens) {
  if (IsUsedFor(service) && tokens > 0) {
    StateOf(service).speeds.RecordTokenInterval(
        Incarnation(engine), Milliseconds(streamed) / static_cast<double>(tokens), timer_service::Now());
  }
}

void prompt_tracker::RecordWorkTime(const std::string& service, const chosen_endpoint& engine,
                                    std::optional<std::uint32_t> percent) {
  if (percent && IsUsedFor(service)) {
    StateOf(service).speeds.RecordWorkTime(Incarnation(engine), percent, timer_service::Now());
  }
}

// Where there are more routers than datagrams, a random part of them is told: the caller may retry at any of them, so
// each datagram is worth the same.
void prompt_tracker::RecordNoResponse(const direct_call& call, const chosen_endpoint& engine) {
  if (!IsUsedFor(call.Service().name) || !HasKey(call)) {
    return;
  }
  const time_point now = timer_service::Now();
  const prompt_prefilled notice{KeyOf(call), EndpointKey(engine.name), engine.started_ms,
                                call.Metadata().prompt_tokens};
  prefilled_.Add(notice.prompt, {notice.engine, notice.started_ms, notice.tokens, now + settings_.prefilled_lifetime},
                 now);
  std::vector<host_port> others;
  for (const router_group::member& member : group_->LiveMembers()) {
    if (member != group_->Self()) {
      others.push_back(member.address);
    }
  }
  const auto allowed = static_cast<std::size_t>(std::max(0.0, datagrams_->Level(now)));
  const std::size_t count = std::min(allowed, others.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(others[i], others[i + RandomNumber() % (others.size() - i)]);
  }
  others.resize(count);
  datagrams_->Take(static_cast<double>(count), now);
  group_->SendAll(others, message(notice));
  Events()
      .Line(kComponent, "prompt_without_response")
      .Request(call.Metadata().attempt)
      .Add("endpoint", engine.name.value)
      .Add("tokens", notice.tokens)
      .Add("routers_told", count);
}

}  // namespace persimmon
