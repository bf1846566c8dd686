// Simulation of routers and prefill engines with caches in virtual time. It runs the placement queue, the choice of
// engines and the hints of the product; decode memory is unlimited, because engine_model.h covers it and would bind
// first with the long prompts used here.
//
// Sections
//   1. load and totals
//   2. engines
//   3. simulation
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "persimmon/placement_queue.h"
#include "persimmon/prompt_cache.h"

namespace persimmon::support {

// ---------------------------------------------------------------------------------------------------------------------
// 1. load and totals
// ---------------------------------------------------------------------------------------------------------------------

struct prompt_load {
  std::vector<double> tokens_per_ms = {33, 33, 33, 33};  // of each engine
  std::uint32_t memory_tokens = 29'000;                  // of an engine
  std::uint32_t routers = 5;
  double load = 1.5;               // relative to what the engines can read without their caches
  double shared_share = 1. / 3;    // of the requests, which have a prompt of 8,000 tokens
  bool has_popular_prefix = true;  // the first 6,000 tokens of those prompts are the same
  std::int64_t end_ms = 30'000;
  std::uint64_t seed = 1;
  bool weighs = true;  // the feature is on
};

struct prompt_totals {
  int requests = 0;
  int in_time = 0;
  std::vector<double> pending;  // mean of unread tokens at each engine

  double InTimeShare() const { return static_cast<double>(in_time) / std::max(1, requests); }
  double MeanPending() const {
    double sum = 0;
    for (const double tokens : pending) {
      sum += tokens;
    }
    return sum / static_cast<double>(pending.size());
  }
  double MaxPending() const { return *std::max_element(pending.begin(), pending.end()); }
};

namespace detail {

inline time_point PromptModelTime(std::int64_t ms) { return time_point(milliseconds(1'000'000 + ms)); }

struct prompt_request {
  std::uint64_t id = 0;
  std::int64_t arrival_ms = 0;
  std::uint32_t tokens = 0;
  std::uint32_t router = 0;
  std::vector<prompt_part> parts;
  std::int64_t sent_ms = 0;
  std::uint32_t cached_tokens = 0;   // predicted
  std::uint32_t pending_tokens = 0;  // at the engine, as the router knew it
  std::uint32_t read_tokens = 0;     // predicted
  double tokens_per_ms = 0;          // predicted
};

using prompt_request_ptr = std::shared_ptr<prompt_request>;

// ---------------------------------------------------------------------------------------------------------------------
// 2. engines
// ---------------------------------------------------------------------------------------------------------------------

// Reads prompts one after another; evicts the least recently used parts.
class caching_engine {
 public:
  caching_engine(double tokens_per_ms, std::uint32_t memory) : tokens_per_ms_(tokens_per_ms), memory_(memory) {}

  void Add(const prompt_request_ptr& request) { waiting_.push_back(request); }

  // Returns the prompts that have been read meanwhile.
  std::vector<prompt_request_ptr> Run(double duration_ms) {
    std::vector<prompt_request_ptr> finished;
    double tokens = duration_ms * tokens_per_ms_;
    while (tokens > 0 && !waiting_.empty()) {
      if (!is_reading_) {
        left_ = LoadUncached(*waiting_.front());
        is_reading_ = true;
      }
      const double read = std::min(tokens, left_);
      tokens -= read;
      left_ -= read;
      if (left_ > 0) {
        break;
      }
      finished.push_back(waiting_.front());
      waiting_.pop_front();
      is_reading_ = false;
    }
    return finished;
  }

  // Tokens that are still to be read, if the cache does not change.
  double PendingTokens() const {
    double sum = is_reading_ ? left_ : 0;
    for (std::size_t i = is_reading_ ? 1 : 0; i < waiting_.size(); ++i) {
      sum += waiting_[i]->tokens - CachedTokens(*waiting_[i]);
    }
    return sum;
  }

 private:
  bool Holds(std::uint64_t id) const {
    return std::any_of(cached_.begin(), cached_.end(), [id](const prompt_part& part) { return part.id == id; });
  }

  std::uint32_t CachedTokens(const prompt_request& request) const {
    std::uint32_t tokens = 0;
    for (const prompt_part& part : request.parts) {
      if (!Holds(part.id)) {
        break;
      }
      tokens += part.tokens;
    }
    return tokens;
  }

  // Makes room for the prompt and returns the tokens that have to be read.
  double LoadUncached(const prompt_request& request) {
    const std::uint32_t cached = CachedTokens(request);
    for (auto part = request.parts.rbegin(); part != request.parts.rend(); ++part) {
      cached_.remove_if([&](const prompt_part& other) { return other.id == part->id; });
      cached_.push_front(*part);
    }
    std::uint64_t sum = 0;
    auto kept = cached_.begin();
    while (kept != cached_.end() && sum + kept->tokens <= memory_) {
      sum += kept->tokens;
      ++kept;
    }
    cached_.erase(kept, cached_.end());
    return request.tokens - cached;
  }

  double tokens_per_ms_;
  std::uint32_t memory_;
  std::deque<prompt_request_ptr> waiting_;
  bool is_reading_ = false;  // the first one
  double left_ = 0;
  std::list<prompt_part> cached_;  // most recently used first
};

struct prompt_router {
  placement_queue queue;
  std::map<std::uint64_t, prompt_request_ptr> waiting;
  std::vector<std::uint32_t> own;       // pending tokens by engine
  std::vector<std::uint32_t> reported;  // as last sent to the other routers
  prompt_cache cache;
  engine_speeds speeds;
};

}  // namespace detail

// ---------------------------------------------------------------------------------------------------------------------
// 3. simulation
// ---------------------------------------------------------------------------------------------------------------------

class prompt_model {
 public:
  explicit prompt_model(const prompt_load& load) : load_(load), random_(load.seed), routers_(load.routers) {
    for (const double speed : load.tokens_per_ms) {
      engines_.emplace_back(speed, load.memory_tokens);
      total_speed_ += speed;
    }
    for (detail::prompt_router& router : routers_) {
      router.own.resize(engines_.size());
      router.reported.resize(engines_.size());
    }
    totals_.pending.resize(engines_.size());
  }

  prompt_totals Simulate() {
    constexpr std::int64_t kSettleMs = 4'000;
    for (now_ = 0; now_ < load_.end_ms + kSettleMs; now_ += kStepMs) {
      if (now_ < load_.end_ms) {
        GenerateArrivals();
      }
      for (std::size_t i = 0; i < engines_.size(); ++i) {
        for (const auto& request : engines_[i].Run(kStepMs)) {
          Finish(*request, i);
        }
        totals_.pending[i] += engines_[i].PendingTokens() * kStepMs / static_cast<double>(load_.end_ms);
      }
      for (std::uint32_t i = 0; i < routers_.size(); ++i) {
        if ((now_ / kStepMs + i) % (ReportPeriodMs() / kStepMs) == 0) {
          routers_[i].reported = routers_[i].own;
        }
        Place(i);
      }
    }
    return totals_;
  }

 private:
  static constexpr std::int64_t kStepMs = 4;
  static constexpr std::int64_t kTargetMs = 900;
  static constexpr std::int64_t kTransferMs = 300;    // as the router's setting transfer_time
  static constexpr std::int64_t kLateWaitMs = 2'500;  // as the router's setting late_wait
  static constexpr std::uint32_t kLongPrompt = 8'000;
  static constexpr std::uint32_t kPrefixTokens = 6'000;
  static constexpr double kMeanPrompt = 3'250;  // of the other requests, log-normal
  static constexpr std::uint64_t kPopularPart = 1;

  std::int64_t ReportPeriodMs() const { return std::max<std::int64_t>(32, 8 * (load_.routers - 1)); }

  static engine_incarnation Incarnation(std::size_t engine) {
    return {endpoint_name{"engine-" + std::to_string(engine)}, 1};
  }

  void GenerateArrivals() {
    const double mean_tokens = load_.shared_share * kLongPrompt + (1 - load_.shared_share) * kMeanPrompt;
    const double per_ms = load_.load * total_speed_ / mean_tokens;
    const int count = std::poisson_distribution<int>(per_ms * kStepMs)(random_);
    for (int i = 0; i < count; ++i) {
      auto request = std::make_shared<detail::prompt_request>();
      request->id = ++next_id_;
      request->arrival_ms = now_;
      request->router = std::uniform_int_distribution<std::uint32_t>(0, load_.routers - 1)(random_);
      const std::uint64_t own_part = 1'000 + 2 * request->id;
      if (std::bernoulli_distribution(load_.shared_share)(random_)) {
        request->tokens = kLongPrompt;
        const std::uint64_t prefix = load_.has_popular_prefix ? kPopularPart : own_part + 1;
        request->parts = {{prefix, kPrefixTokens}, {own_part, kLongPrompt - kPrefixTokens}};
      } else {
        const double sampled = std::lognormal_distribution<double>(std::log(2'950), 0.44)(random_);
        request->tokens = static_cast<std::uint32_t>(std::clamp(sampled, 200.0, 9'000.0));
        request->parts = {{own_part, request->tokens}};
      }
      ++totals_.requests;
      Submit(request);
    }
  }

  void Submit(const detail::prompt_request_ptr& request) {
    detail::prompt_router& router = routers_[request->router];
    placement_request queued;
    queued.request = request_id{std::to_string(request->id)};
    queued.memory = {request->tokens, 0, 0};
    const auto prefill_ms = static_cast<std::int64_t>(request->tokens / placement_settings{}.prefill_tokens_per_ms);
    queued.latest_start = detail::PromptModelTime(now_ + kTargetMs - prefill_ms - kTransferMs);
    queued.expiry = detail::PromptModelTime(now_ + kLateWaitMs);
    if (router.queue.Add(queued, detail::PromptModelTime(now_))) {
      router.waiting[request->id] = request;
    }
  }

  // The part of the memory that is not used by running prompts.
  cache_memory Memory(std::uint32_t pending) const {
    return {load_.memory_tokens - std::min(load_.memory_tokens, pending), load_.routers,
            static_cast<std::uint32_t>(engines_.size())};
  }

  std::uint32_t Pending(std::uint32_t router, std::size_t engine) const {
    std::uint32_t sum = 0;
    for (std::uint32_t i = 0; i < routers_.size(); ++i) {
      sum += i == router ? routers_[i].own[engine] : routers_[i].reported[engine];
    }
    return sum;
  }

  std::vector<engine_view> Views(std::uint32_t index, const detail::prompt_request& request) const {
    const detail::prompt_router& router = routers_[index];
    std::vector<engine_view> views(engines_.size());
    for (std::size_t i = 0; i < views.size(); ++i) {
      views[i].name = Incarnation(i).name;
      views[i].kv_tokens = load_.memory_tokens;
      views[i].slots = 1'000;
      views[i].pending_tokens = Pending(index, i);
      if (load_.weighs) {
        const time_point now = detail::PromptModelTime(now_);
        views[i].cached_tokens =
            router.cache.PredictCachedTokens(Incarnation(i), request.parts, Memory(views[i].pending_tokens), now);
        views[i].prefill_tokens_per_ms = router.speeds.TokensPerMs(Incarnation(i), now);
      }
    }
    return views;
  }

  void Place(std::uint32_t index) {
    detail::prompt_router& router = routers_[index];
    const time_point now = detail::PromptModelTime(now_);
    for (const placement_request& request : router.queue.TakeExpired(now)) {
      router.waiting.erase(std::stoull(request.request.value));
    }
    engine_view decode;
    decode.kv_tokens = 100'000'000;
    decode.slots = 100'000;
    const std::vector<engine_view> decode_views = {decode};
    placement_settings settings;
    settings.local_prefill_limit = 0;
    settings.weighs_speeds = load_.weighs;
    if (load_.weighs) {
      settings.prefill_tokens_per_ms = router.speeds.UsualTokensPerMs();
    }
    std::vector<engine_view> views;
    const auto choose = [&](const placement_request& request) {
      views = Views(index, *router.waiting.at(std::stoull(request.request.value)));
      return ChooseEngines(decode_views, views, request.memory, {}, random_(), settings);
    };
    while (true) {
      const placement_step step = router.queue.TakeNext(choose, false);
      if (!step.placed) {
        return;
      }
      router.queue.Start(step.placed->request, now);
      const std::uint64_t id = std::stoull(step.placed->request.value);
      Start(router, router.waiting.at(id), *step.engines.prefill, views[*step.engines.prefill]);
      router.waiting.erase(id);
    }
  }

  void Start(detail::prompt_router& router, const detail::prompt_request_ptr& request, std::size_t engine,
             const engine_view& view) {
    request->sent_ms = now_;
    request->cached_tokens = std::min(request->tokens, view.cached_tokens);
    request->read_tokens = request->tokens - request->cached_tokens;
    request->pending_tokens = view.pending_tokens;
    request->tokens_per_ms = view.prefill_tokens_per_ms;
    router.own[engine] += request->read_tokens;
    engines_[engine].Add(request);
  }

  void Finish(const detail::prompt_request& request, std::size_t engine) {
    detail::prompt_router& router = routers_[request.router];
    router.own[engine] -= request.read_tokens;
    totals_.in_time += now_ - request.arrival_ms + kTransferMs <= kTargetMs ? 1 : 0;
    if (!load_.weighs) {
      return;
    }
    const time_point now = detail::PromptModelTime(now_);
    const auto elapsed_ms = static_cast<double>(now_ - request.sent_ms + kStepMs);
    const bool is_right = !ContradictsHint(
        {request.tokens, request.cached_tokens, request.pending_tokens, elapsed_ms, request.tokens_per_ms});
    if (prompt_cache::IsCheckable(request.cached_tokens)) {
      router.cache.RecordCheck(Incarnation(engine), request.parts, is_right);
    }
    router.speeds.RecordPrefill(Incarnation(engine), is_right ? request.read_tokens : request.tokens,
                                request.pending_tokens, elapsed_ms, now);
    router.cache.RecordParts(Incarnation(engine), request.parts, Memory(Pending(request.router, engine)), now);
  }

  prompt_load load_;
  std::mt19937_64 random_;
  std::int64_t now_ = 0;
  std::uint64_t next_id_ = 0;
  double total_speed_ = 0;
  std::vector<detail::caching_engine> engines_;
  std::vector<detail::prompt_router> routers_;
  prompt_totals totals_;
};

}  // namespace persimmon::support
