// Simulation of the engines, routers and callers of a model service in virtual time, to evaluate placement. It runs the
// decision code of the product with parameters of the deployments; it does not model the network.
//
// Sections
//   1. deployment, load and placement policies
//   2. engines
//   3. routers
//   4. simulation
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "persimmon/placement_queue.h"
#include "persimmon/return_schedule.h"

namespace persimmon::support {

// ---------------------------------------------------------------------------------------------------------------------
// 1. deployment, load and placement policies
// ---------------------------------------------------------------------------------------------------------------------

struct model_deployment {
  std::uint32_t routers = 5;
  std::uint32_t prefill = 4;
  std::uint32_t decode = 14;
  std::uint32_t memory_tokens = 34'446;
  std::uint32_t slots = 16;
  double prefill_tokens_per_ms = 25;  // of a prefill engine; the slowest in the deployments
  double token_ms = 3.4;              // token interval of a decode engine with one stream
  double token_ms_per_stream = 0.03;  // increase for each further stream
  std::uint32_t event_tokens = 14;
  double transfer_ms = 20;

  std::uint32_t ReportPeriodMs() const { return std::max(30U, 8 * (routers - 1)); }
};

// Requests of one route.
struct model_class {
  double rate = 20;              // requests per second
  std::int64_t target_ms = 900;  // until the first event
  std::uint32_t priority = 0;    // lower is more urgent
  std::uint32_t accounts = 1;    // each request belongs to a random one

  // After which a caller without an event abandons its request (targets of event intervals are 300 ms or less).
  std::int64_t AbandonMs() const { return std::max<std::int64_t>(2'400, 4 * target_ms); }
};

struct model_burst {
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
  double factor = 1;  // of the rate
};

// Routers and engines that are lost at the same time.
struct model_failure {
  std::int64_t at_ms = -1;  // -1: no failure
  std::uint32_t routers = 0;
  std::uint32_t prefill = 0;
  std::uint32_t decode = 0;
};

struct model_load {
  double rate = 20;           // requests per second
  double burst_factor = 1.8;  // of the rate, during the burst
  std::int64_t burst_from_ms = 5'000;
  std::int64_t burst_to_ms = 15'000;
  std::int64_t end_ms = 25'000;  // of the arrivals
  std::uint64_t seed = 1;
  std::vector<model_class> classes;   // empty: one, with `rate` and the default target
  std::vector<model_burst> bursts;    // further bursts
  std::uint32_t max_prompt = 9'000;   // tokens
  std::uint32_t median_output = 900;  // tokens
  model_failure failure;
  // Of the policy kAdmissionOrder.
  bool refuses_at_once = true;
  bool schedules_returns = true;
  std::int64_t urgent_reserve_ms = 500;  // use of more urgent requests for which room is kept; 0: none
};

enum class placement_policy : std::uint8_t {
  kProduct,             // the policy of the product for services without levels of urgency
  kAdmissionOrder,      // the policy of the product for services that use the adaptive policy
  kIndependentRouters,  // routers on their own: late requests do not wait for peers; no local prefill, no headroom; the
                        // maximum of each stream is reserved from its start
  kRoundRobin,          // engines in rotation, without reservations and without a queue
  kPerfectInformation,  // a single router that knows all output lengths and the current state of all engines
};

// Requests of one class, or of one account of it.
struct class_totals {
  int requests = 0;
  int served = 0;
  int in_time = 0;
  int large = 0;
  int large_served = 0;

  class_totals& operator+=(const class_totals& other) {
    requests += other.requests;
    served += other.served;
    in_time += other.in_time;
    large += other.large;
    large_served += other.large_served;
    return *this;
  }

  double ServedShare() const { return requests == 0 ? 0 : static_cast<double>(served) / requests; }
  double InTimeShare() const { return requests == 0 ? 0 : static_cast<double>(in_time) / requests; }
  double LargeServedShare() const { return large == 0 ? 0 : static_cast<double>(large_served) / large; }
};

struct model_totals {
  int requests = 0;
  int in_time = 0;  // first event within the target; no pause over 300 ms, i.e. not preempted
  int large = 0;    // requests with a prompt longer than kLargePrompt: the longest tenth of prompts
  int large_in_time = 0;
  int served = 0;
  int preempted = 0;
  double wasted_tokens = 0;
  std::map<std::size_t, class_totals> classes;                             // by index in the load
  std::map<std::pair<std::size_t, std::uint32_t>, class_totals> accounts;  // by index of the class and account

  model_totals& operator+=(const model_totals& other) {
    requests += other.requests;
    in_time += other.in_time;
    large += other.large;
    large_in_time += other.large_in_time;
    served += other.served;
    preempted += other.preempted;
    wasted_tokens += other.wasted_tokens;
    for (const auto& [index, totals] : other.classes) {
      classes[index] += totals;
    }
    for (const auto& [account, totals] : other.accounts) {
      accounts[account] += totals;
    }
    return *this;
  }

  double InTimeShare() const { return requests == 0 ? 0 : static_cast<double>(in_time) / requests; }
  double LargeShare() const { return large == 0 ? 0 : static_cast<double>(large_in_time) / large; }
  double ServedShare() const { return requests == 0 ? 0 : static_cast<double>(served) / requests; }
};

namespace detail {

constexpr std::int64_t kStepMs = 5;
constexpr std::int64_t kLateWaitMs = 2'500;        // as the router's setting late_wait
constexpr std::int64_t kTransferLimitMs = 300;     // as the router's setting transfer_time
constexpr std::int64_t kTimeBudgetMs = 13'000;     // of a caller, for all its attempts
constexpr std::int64_t kResumeStartLimitMs = 500;  // as the router's constant kResumeStartLimit
constexpr std::int64_t kRefusedPauseMs = 40;       // as the router's setting refused_pause
constexpr double kLargePrompt = 5'200;             // a tenth of the prompts sampled below is longer
constexpr std::uint32_t kLocalPrefillChunk = 512;  // prompt tokens prefilled between two output tokens

inline time_point AtMs(std::int64_t ms) { return time_point(milliseconds(1'000'000 + ms)); }

struct model_request {
  std::uint64_t id = 0;
  std::int64_t arrival_ms = 0;  // of the first attempt
  std::int64_t attempt_ms = 0;  // of this attempt
  std::uint32_t prompt = 0;
  std::uint32_t output = 0;
  std::uint32_t hint = 0;
  std::uint32_t router = 0;
  std::size_t class_index = 0;
  model_class kind;
  std::uint32_t account = 0;
  bool is_retry = false;
  bool is_resumed = false;  // has lost its engine
  std::int64_t first_event_ms = -1;
  bool was_preempted = false;
  stream_memory memory;                  // estimated at the start
  std::uint32_t reserved = 0;            // at the decode engine
  std::optional<std::uint32_t> prefill;  // engine
  std::uint32_t decode = 0;
};

using request_ptr = std::shared_ptr<model_request>;

// ---------------------------------------------------------------------------------------------------------------------
// 2. engines
// ---------------------------------------------------------------------------------------------------------------------

struct prefill_engine {
  std::deque<std::pair<request_ptr, double>> prompts;  // with the remaining tokens
};

struct decode_run {
  request_ptr request;
  double generated = 0;
  double local_prefill_left = 0;  // prompt tokens that this engine still has to prefill
  std::int64_t starts_ms = -1;    // -1: its prompt is still on a prefill engine
};

struct decode_engine {
  std::vector<decode_run> runs;
  std::deque<decode_run> preempted;

  static double MemoryUse(const decode_run& run) {
    return std::max<double>(run.request->reserved, run.request->prompt + run.generated);
  }
  double UsedMemory() const {
    double sum = 0;
    for (const decode_run& run : runs) {
      sum += MemoryUse(run);
    }
    return sum;
  }
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. routers
// ---------------------------------------------------------------------------------------------------------------------

struct engine_usage {
  std::map<std::uint64_t, stream_memory> streams;  // by request
  std::uint32_t prompt_tokens = 0;
  std::uint32_t prompts = 0;
};

struct model_router {
  placement_queue queue;
  return_schedule returns;
  bool is_lost = false;
  output_length_model output_lengths;
  std::vector<engine_usage> own;       // by engine: prefill engines first
  std::vector<engine_usage> reported;  // as last sent to the other routers
  std::size_t reported_waiting = 0;
  std::map<std::uint64_t, request_ptr> waiting;
  std::map<std::uint32_t, std::pair<std::uint32_t, std::int64_t>> refused;  // engine: tokens, until
};

}  // namespace detail

// ---------------------------------------------------------------------------------------------------------------------
// 4. simulation
// ---------------------------------------------------------------------------------------------------------------------

class engine_model {
 public:
  engine_model(const model_deployment& deployment, const model_load& load, placement_policy policy)
      : deployment_(deployment),
        load_(load),
        policy_(policy),
        random_(load.seed),
        arrival_random_(load.seed + 1'000),
        has_classes_(!load.classes.empty()) {
    if (load_.classes.empty()) {
      load_.classes.push_back({.rate = load.rate});
    }
    if (policy == placement_policy::kPerfectInformation) {
      deployment_.routers = 1;
    }
    prefill_.resize(deployment_.prefill);
    decode_.resize(deployment_.decode);
    routers_.resize(deployment_.routers);
    for (detail::model_router& router : routers_) {
      router.own.resize(deployment_.prefill + deployment_.decode);
      router.reported = router.own;
    }
  }

  model_totals Simulate() {
    constexpr std::int64_t kSettleMs = 20'000;  // for the last streams to end
    constexpr std::int64_t kSilenceMs = 1'500;  // after which peers remove the load of a lost router
    for (now_ = 0; now_ < load_.end_ms + kSettleMs; now_ += detail::kStepMs) {
      if (now_ == load_.failure.at_ms) {
        LoseRoutersAndEngines();
      }
      GenerateArrivals();
      RunPrefill();
      RunDecode();
      for (std::uint32_t i = 0; i < routers_.size(); ++i) {
        if (!routers_[i].is_lost) {
          SendReport(i);
          Place(i);
        } else if (now_ == load_.failure.at_ms + kSilenceMs) {
          routers_[i].reported = routers_[i].own;
          routers_[i].reported_waiting = 0;
        }
      }
    }
    return totals_;
  }

 private:
  using request_ptr = detail::request_ptr;

  bool IsProduct() const {
    return policy_ == placement_policy::kProduct || policy_ == placement_policy::kAdmissionOrder;
  }

  std::size_t DecodeIndex(std::uint32_t engine) const { return deployment_.prefill + engine; }

  bool HasOutdatedViews() const {
    constexpr milliseconds kMeanStreamTime(3'600);
    double streams = 0;
    for (const detail::decode_engine& engine : decode_) {
      streams += static_cast<double>(engine.runs.size()) / static_cast<double>(decode_.size());
    }
    return IsProduct() &&
           persimmon::HasOutdatedViews(streams, kMeanStreamTime, milliseconds(deployment_.ReportPeriodMs()));
  }

  // --- callers ---

  double BurstFactor() const {
    double factor = now_ >= load_.burst_from_ms && now_ < load_.burst_to_ms ? load_.burst_factor : 1;
    for (const model_burst& burst : load_.bursts) {
      factor = now_ >= burst.from_ms && now_ < burst.to_ms ? burst.factor : factor;
    }
    return factor;
  }

  void GenerateArrivals() {
    for (std::size_t index = 0; index < load_.classes.size() && now_ < load_.end_ms; ++index) {
      const model_class& kind = load_.classes[index];
      const double mean = kind.rate * BurstFactor() * detail::kStepMs / 1e3;
      const int count = std::poisson_distribution<int>(mean)(ArrivalRandom());
      for (int i = 0; i < count; ++i) {
        auto request = std::make_shared<detail::model_request>();
        request->class_index = index;
        request->kind = kind;
        if (kind.accounts > 1) {
          request->account = std::uniform_int_distribution<std::uint32_t>(0, kind.accounts - 1)(ArrivalRandom());
        }
        request->id = ++next_id_;
        request->arrival_ms = request->attempt_ms = now_;
        // As in the deployments: nine in ten prompts have 1,750 to 5,200 tokens; half of the responses are longer than
        // estimated.
        request->prompt = SampleLogNormal(2'950, 0.44, 200, load_.max_prompt);
        request->output = SampleLogNormal(load_.median_output, 0.4, 50, 2'400);
        request->hint = policy_ == placement_policy::kPerfectInformation
                            ? request->output
                            : SampleLogNormal(request->output, 0.35, 50, 2'400);
        ++totals_.requests;
        const bool is_large = request->prompt > detail::kLargePrompt;
        totals_.large += is_large ? 1 : 0;
        for (class_totals* totals : TotalsOf(*request)) {
          ++totals->requests;
          totals->large += is_large ? 1 : 0;
        }
        Submit(request);
      }
    }
    while (!retries_.empty() && retries_.begin()->first <= now_) {
      const request_ptr request = retries_.begin()->second;
      retries_.erase(retries_.begin());
      Submit(request);
    }
  }

  // With classes, the arrivals are the same for all policies.
  std::mt19937_64& ArrivalRandom() { return has_classes_ ? arrival_random_ : random_; }

  std::array<class_totals*, 2> TotalsOf(const detail::model_request& request) {
    return {&totals_.classes[request.class_index], &totals_.accounts[{request.class_index, request.account}]};
  }

  std::uint32_t SampleLogNormal(double median, double sigma, std::uint32_t lowest, std::uint32_t highest) {
    const double value = std::lognormal_distribution<double>(std::log(median), sigma)(ArrivalRandom());
    return static_cast<std::uint32_t>(std::clamp<double>(value, lowest, highest));
  }

  void Submit(const request_ptr& request) {
    request->attempt_ms = now_;
    do {
      request->router = std::uniform_int_distribution<std::uint32_t>(0, deployment_.routers - 1)(random_);
    } while (routers_[request->router].is_lost);
    if (policy_ == placement_policy::kRoundRobin) {
      StartRoundRobin(request);
      return;
    }
    detail::model_router& router = routers_[request->router];
    if (!request->is_retry) {
      router.output_lengths.RecordEstimate(request->hint);
    }
    if (policy_ == placement_policy::kIndependentRouters) {
      request->memory = {request->prompt + request->hint, 0};
    } else {
      request->memory = {request->prompt, ExpectRemaining(*request, 0)};
    }
    Queue(request);
  }

  void Queue(const request_ptr& request) {
    detail::model_router& router = routers_[request->router];
    placement_request queued_request;
    queued_request.request = request_id{std::to_string(request->id)};
    queued_request.memory = request->memory;
    const auto prefill_ms = static_cast<std::int64_t>(request->prompt / deployment_.prefill_tokens_per_ms);
    queued_request.latest_start =
        detail::AtMs(request->arrival_ms + request->kind.target_ms - prefill_ms - detail::kTransferLimitMs);
    std::int64_t late_wait_ms = detail::kLateWaitMs;
    if (policy_ == placement_policy::kAdmissionOrder) {
      late_wait_ms = late_wait_ms * request->kind.AbandonMs() / 3'600;
      queued_request.urgency = {request->kind.priority, request->kind.priority};
      queued_request.is_retry = request->is_retry;
      if (request->kind.accounts > 1) {
        queued_request.account = account_name{fmt::format("{}-{}", request->class_index, request->account)};
      }
    }
    if (request->is_resumed) {
      queued_request.is_resumed = true;
      queued_request.latest_start =
          std::max(queued_request.latest_start, detail::AtMs(now_ + detail::kResumeStartLimitMs));
    }
    queued_request.expiry = detail::AtMs((request->is_resumed ? now_ : request->attempt_ms) + late_wait_ms);
    if (policy_ == placement_policy::kAdmissionOrder && load_.refuses_at_once && !request->is_resumed) {
      const time_point now = detail::AtMs(now_);
      const auto wait = router.queue.PredictWait(queued_request, PeersWaiting(request->router),
                                                 static_cast<std::uint32_t>(routers_.size()), now);
      if (wait && now + *wait > queued_request.expiry) {
        router.queue.CountRefusal(queued_request, now);
        Refuse(request);
        return;
      }
    }
    if (router.queue.Add(queued_request, detail::AtMs(now_))) {
      router.waiting[request->id] = request;
    } else {
      Refuse(request);
    }
  }

  // A refused caller retries once.
  void Refuse(const request_ptr& request) {
    if (!request->is_retry) {
      request->is_retry = true;
      auto pause = std::uniform_int_distribution<std::int64_t>(1'500, 3'000)(random_);
      if (policy_ == placement_policy::kAdmissionOrder && load_.schedules_returns) {
        detail::model_router& router = routers_[request->router];
        const time_point now = detail::AtMs(now_);
        pause = router.returns
                    .Assign({static_cast<double>(router.queue.WaitingCount()), router.queue.StartsPerSecond(now),
                             milliseconds(detail::kTimeBudgetMs - (now_ - request->arrival_ms)),
                             std::uniform_real_distribution<double>()(random_)},
                            now)
                    .count();
      }
      retries_.emplace(now_ + pause, request);
    }
  }

  // --- failures ---

  // The last routers and engines of each kind are lost. Callers of a lost router see a broken connection and try again
  // once. Requests of a lost engine are assigned again by their router.
  void LoseRoutersAndEngines() {
    for (std::uint32_t i = deployment_.routers - load_.failure.routers; i < deployment_.routers; ++i) {
      routers_[i].is_lost = true;
    }
    std::vector<request_ptr> ended;
    const auto drop = [&](const request_ptr& request, bool is_engine_lost) {
      if (routers_[request->router].is_lost || is_engine_lost) {
        ended.push_back(request);
        return true;
      }
      return false;
    };
    for (std::uint32_t i = 0; i < deployment_.decode; ++i) {
      const bool is_lost = i >= deployment_.decode - load_.failure.decode;
      std::erase_if(decode_[i].runs, [&](const auto& run) {
        const bool is_dropped = drop(run.request, is_lost);
        if (is_dropped && !run.request->prefill && run.generated == 0 && run.local_prefill_left > 0) {
          UpdatePendingPrompt(*run.request, static_cast<std::uint32_t>(DecodeIndex(i)), -1);
        }
        return is_dropped;
      });
      std::erase_if(decode_[i].preempted, [&](const auto& run) { return drop(run.request, is_lost); });
    }
    for (std::uint32_t i = 0; i < deployment_.prefill; ++i) {
      const bool is_lost = i >= deployment_.prefill - load_.failure.prefill;
      std::vector<request_ptr> prompts;
      for (const auto& [request, tokens] : prefill_[i].prompts) {
        if (is_lost || std::find(ended.begin(), ended.end(), request) != ended.end()) {
          prompts.push_back(request);
        }
      }
      std::erase_if(prefill_[i].prompts, [&](const auto& item) {
        return std::find(prompts.begin(), prompts.end(), item.first) != prompts.end();
      });
      for (const request_ptr& request : prompts) {
        if (!routers_[request->router].is_lost) {
          UpdatePendingPrompt(*request, i, -1);
        }
        request->prefill.reset();
        if (std::find(ended.begin(), ended.end(), request) == ended.end()) {
          ended.push_back(request);
          std::erase_if(decode_[request->decode].runs, [&](const auto& run) { return run.request == request; });
        }
      }
    }
    for (const request_ptr& request : ended) {
      detail::model_router& router = routers_[request->router];
      if (router.is_lost) {
        Refuse(request);
        continue;
      }
      router.own[DecodeIndex(request->decode)].streams.erase(request->id);
      request->is_resumed = true;
      request->prefill.reset();
      Queue(request);
    }
    for (detail::model_router& router : routers_) {
      if (router.is_lost) {
        for (const auto& [id, request] : router.waiting) {
          Refuse(request);
        }
        router.waiting.clear();
        router.queue = placement_queue();
        router.own.assign(router.own.size(), {});
      }
    }
  }

  bool IsEngineLost(std::size_t engine) const {
    const bool is_prefill = engine < deployment_.prefill;
    const std::size_t index = is_prefill ? engine : engine - deployment_.prefill;
    const std::size_t left =
        is_prefill ? deployment_.prefill - load_.failure.prefill : deployment_.decode - load_.failure.decode;
    return load_.failure.at_ms >= 0 && now_ >= load_.failure.at_ms && index >= left;
  }

  // --- engines ---

  void RunPrefill() {
    for (std::uint32_t i = 0; i < prefill_.size(); ++i) {
      double tokens = deployment_.prefill_tokens_per_ms * detail::kStepMs;
      auto& prompts = prefill_[i].prompts;
      while (tokens > 0 && !prompts.empty()) {
        const double processed = std::min(tokens, prompts.front().second);
        tokens -= processed;
        prompts.front().second -= processed;
        if (prompts.front().second > 0) {
          break;
        }
        const request_ptr request = prompts.front().first;
        prompts.pop_front();
        UpdatePendingPrompt(*request, i, -1);
        FinishPrefill(request);
      }
    }
  }

  void FinishPrefill(const request_ptr& request) {
    if (policy_ == placement_policy::kRoundRobin) {
      StartDecodeRoundRobin(request);
      return;
    }
    for (detail::decode_run& run : decode_[request->decode].runs) {
      if (run.request == request) {
        run.starts_ms = now_ + static_cast<std::int64_t>(deployment_.transfer_ms);
      }
    }
  }

  void RunDecode() {
    for (std::uint32_t i = 0; i < decode_.size(); ++i) {
      detail::decode_engine& engine = decode_[i];
      double running = 0;
      bool has_local_prefill = false;
      for (const detail::decode_run& run : engine.runs) {
        running += run.starts_ms >= 0 && run.local_prefill_left <= 0 ? 1 : 0;
        has_local_prefill = has_local_prefill || (run.starts_ms >= 0 && run.local_prefill_left > 0);
      }
      const double local_prefill_rate = deployment_.prefill_tokens_per_ms / 2;
      const double token_ms = deployment_.token_ms + deployment_.token_ms_per_stream * running;
      const double step_ms = has_local_prefill ? token_ms + detail::kLocalPrefillChunk / local_prefill_rate : token_ms;
      double local_prefill_tokens = has_local_prefill ? local_prefill_rate * detail::kStepMs : 0;
      for (detail::decode_run& run : engine.runs) {
        if (run.starts_ms < 0 || now_ < run.starts_ms) {
          continue;
        }
        if (run.local_prefill_left > 0) {
          const double processed = std::min(local_prefill_tokens, run.local_prefill_left);
          local_prefill_tokens -= processed;
          run.local_prefill_left -= processed;
          if (run.local_prefill_left <= 0 && !run.request->prefill && run.generated == 0) {
            UpdatePendingPrompt(*run.request, static_cast<std::uint32_t>(DecodeIndex(i)), -1);
          }
          continue;
        }
        run.generated += detail::kStepMs / step_ms;
        UpdateStream(run, static_cast<std::uint32_t>(DecodeIndex(i)));
        if (run.request->first_event_ms < 0 && run.generated >= deployment_.event_tokens) {
          run.request->first_event_ms = now_;
        }
      }
      FinishRuns(i);
      Preempt(i);
    }
  }

  void FinishRuns(std::uint32_t index) {
    detail::decode_engine& engine = decode_[index];
    std::erase_if(engine.runs, [&](const detail::decode_run& run) {
      const bool is_complete = run.generated >= run.request->output;
      const bool is_abandoned = run.request->first_event_ms < 0 &&
                                now_ - run.request->attempt_ms > run.request->kind.AbandonMs() && run.starts_ms >= 0 &&
                                run.local_prefill_left <= 0;
      if (is_complete || is_abandoned) {
        FinishRun(*run.request, index, is_complete);
      }
      return is_complete || is_abandoned;
    });
  }

  void FinishRun(const detail::model_request& request, std::uint32_t index, bool is_complete) {
    if (policy_ != placement_policy::kRoundRobin) {
      routers_[request.router].own[DecodeIndex(index)].streams.erase(request.id);
    }
    if (!is_complete) {
      totals_.wasted_tokens += request.prompt;
      return;
    }
    if (policy_ != placement_policy::kRoundRobin) {
      routers_[request.router].output_lengths.RecordAnswer(request.hint, request.output);
    }
    ++totals_.served;
    const bool is_in_time =
        request.first_event_ms - request.arrival_ms <= request.kind.target_ms && !request.was_preempted;
    for (class_totals* totals : TotalsOf(request)) {
      ++totals->served;
      totals->in_time += is_in_time ? 1 : 0;
      totals->large_served += request.prompt > detail::kLargePrompt ? 1 : 0;
    }
    totals_.in_time += is_in_time ? 1 : 0;
    totals_.large_in_time += is_in_time && request.prompt > detail::kLargePrompt ? 1 : 0;
  }

  // The number by which engines order requests; all the same where routers send none.
  std::uint32_t EnginePriority(const detail::model_request& request) const {
    return policy_ == placement_policy::kAdmissionOrder ? request.kind.priority : 0;
  }

  // Preempts the newest of the least urgent streams that have outgrown their reservation. It is prefilled again when
  // there is enough memory.
  void Preempt(std::uint32_t index) {
    detail::decode_engine& engine = decode_[index];
    while (engine.UsedMemory() > deployment_.memory_tokens) {
      auto outgrown = engine.runs.rend();
      for (auto run = engine.runs.rbegin(); run != engine.runs.rend(); ++run) {
        const bool is_outgrown = run->request->prompt + run->generated > run->request->reserved;
        const bool is_less_urgent =
            outgrown == engine.runs.rend() || EnginePriority(*outgrown->request) < EnginePriority(*run->request);
        outgrown = is_outgrown && is_less_urgent ? run : outgrown;
      }
      if (outgrown == engine.runs.rend()) {
        break;
      }
      detail::decode_run run = *outgrown;
      engine.runs.erase(std::next(outgrown).base());
      run.request->was_preempted = true;
      run.local_prefill_left = run.request->prompt + run.generated;
      totals_.wasted_tokens += run.local_prefill_left;
      ++totals_.preempted;
      const auto position =
          std::find_if(engine.preempted.begin(), engine.preempted.end(), [&](const detail::decode_run& other) {
            return EnginePriority(*run.request) < EnginePriority(*other.request);
          });
      engine.preempted.insert(position, run);
    }
    while (!engine.preempted.empty() &&
           engine.UsedMemory() + detail::decode_engine::MemoryUse(engine.preempted.front()) <=
               deployment_.memory_tokens) {
      engine.runs.push_back(engine.preempted.front());
      engine.preempted.pop_front();
    }
  }

  // --- routers ---

  std::uint32_t ExpectRemaining(const detail::model_request& request, std::uint32_t generated) const {
    constexpr std::uint32_t kMaxOutput = 2'400;
    if (policy_ == placement_policy::kPerfectInformation) {
      return request.output > generated ? request.output - generated : 0;
    }
    const auto kind =
        HasOutdatedViews() ? output_length_model::expectation::kMedian : output_length_model::expectation::kMean;
    return routers_[request.router].output_lengths.ExpectRemaining(request.hint, generated, kMaxOutput, kind);
  }

  void UpdateStream(const detail::decode_run& run, std::uint32_t engine) {
    if (policy_ == placement_policy::kIndependentRouters) {
      return;
    }
    auto& streams = routers_[run.request->router].own[engine].streams;
    if (const auto found = streams.find(run.request->id); found != streams.end()) {
      const auto generated = static_cast<std::uint32_t>(run.generated);
      found->second = {run.request->prompt + generated, ExpectRemaining(*run.request, generated),
                       run.request->reserved};
    }
  }

  void UpdatePendingPrompt(const detail::model_request& request, std::uint32_t engine, int sign) {
    if (policy_ == placement_policy::kRoundRobin) {
      return;
    }
    detail::engine_usage& usage = routers_[request.router].own[engine];
    usage.prompt_tokens += static_cast<std::uint32_t>(sign) * request.prompt;
    usage.prompts += static_cast<std::uint32_t>(engine < deployment_.prefill ? sign : 0);
  }

  void SendReport(std::uint32_t index) {
    const std::int64_t period = deployment_.ReportPeriodMs() / detail::kStepMs;
    if ((now_ / detail::kStepMs + index) % period == 0) {
      routers_[index].reported = routers_[index].own;
      routers_[index].reported_waiting = routers_[index].queue.InTimeCount();
    }
  }

  engine_view View(std::uint32_t router, std::size_t engine) {
    engine_view view;
    view.name = endpoint_name{std::to_string(engine)};
    view.kv_tokens = deployment_.memory_tokens;
    view.slots = deployment_.slots;
    view.can_receive = !IsEngineLost(engine);
    for (std::uint32_t i = 0; i < routers_.size(); ++i) {
      const detail::engine_usage& usage = i == router ? routers_[i].own[engine] : routers_[i].reported[engine];
      for (const auto& [id, stream] : usage.streams) {
        view.streams.push_back(stream);
      }
      view.running += static_cast<std::uint32_t>(usage.streams.size()) + usage.prompts;
      view.pending_tokens += usage.prompt_tokens;
    }
    const auto refused = routers_[router].refused.find(static_cast<std::uint32_t>(engine));
    if (refused != routers_[router].refused.end() && now_ < refused->second.second) {
      view.refused_tokens = refused->second.first;
    }
    if (IsProduct()) {
      view.headroom_tokens = routers_[router].output_lengths.Headroom(view.running);
    }
    return view;
  }

  std::size_t PeersWaiting(std::uint32_t index) const {
    std::size_t waiting = 0;
    for (std::uint32_t i = 0; i < routers_.size(); ++i) {
      waiting += i == index ? 0 : routers_[i].reported_waiting;
    }
    return waiting;
  }

  void Place(std::uint32_t index) {
    detail::model_router& router = routers_[index];
    for (const placement_request& request : router.queue.TakeExpired(detail::AtMs(now_))) {
      const std::uint64_t id = std::stoull(request.request.value);
      Refuse(router.waiting.at(id));
      router.waiting.erase(id);
    }
    if (router.queue.Size() == 0) {
      return;
    }
    const bool yields_to_peers = IsProduct() && PeersWaiting(index) > 0;
    placement_settings placement;
    placement.local_prefill_limit =
        policy_ == placement_policy::kIndependentRouters ? 0 : placement.local_prefill_limit;
    placement.counts_maxima = HasOutdatedViews();
    const auto choose = [&](const placement_request& request) {
      std::vector<engine_view> prefill;
      std::vector<engine_view> decode;
      for (std::uint32_t i = 0; i < deployment_.prefill; ++i) {
        prefill.push_back(View(index, i));
      }
      for (std::uint32_t i = 0; i < deployment_.decode; ++i) {
        decode.push_back(View(index, DecodeIndex(i)));
      }
      placement_settings terms = placement;
      if (policy_ == placement_policy::kAdmissionOrder) {
        const urgent_use use = router.queue.UseAbove(request.urgency, detail::AtMs(now_));
        ReserveForUrgent(use, deployment_.routers, milliseconds(load_.urgent_reserve_ms), decode, prefill.size(),
                         terms);
      }
      return ChooseEngines(decode, prefill, request.memory, {}, random_(), terms);
    };
    while (true) {
      const placement_step step = router.queue.TakeNext(choose, yields_to_peers);
      if (!step.placed) {
        return;
      }
      const std::uint64_t id = std::stoull(step.placed->request.value);
      const request_ptr request = router.waiting.at(id);
      request->reserved = request->memory.reserved_tokens = step.engines.reserved_tokens;
      const auto engine = static_cast<std::uint32_t>(step.engines.decode);
      if (!CanReserve(engine, *request)) {
        router.refused[static_cast<std::uint32_t>(DecodeIndex(engine))] = {request->reserved,
                                                                           now_ + detail::kRefusedPauseMs};
        router.queue.Requeue(step.placed->request, detail::AtMs(now_));
        continue;
      }
      router.queue.Start(step.placed->request, detail::AtMs(now_));
      router.waiting.erase(id);
      Start(request, engine, step.engines.prefill);
    }
  }

  bool CanReserve(std::uint32_t engine, const detail::model_request& request) const {
    return decode_[engine].runs.size() < deployment_.slots &&
           decode_[engine].UsedMemory() + request.reserved <= deployment_.memory_tokens;
  }

  void Start(const request_ptr& request, std::uint32_t engine, std::optional<std::size_t> prefill) {
    request->decode = engine;
    routers_[request->router].own[DecodeIndex(engine)].streams[request->id] = request->memory;
    detail::decode_run run;
    run.request = request;
    if (prefill) {
      request->prefill = static_cast<std::uint32_t>(*prefill);
      UpdatePendingPrompt(*request, *request->prefill, 1);
      auto& prompts = prefill_[*prefill].prompts;
      const auto position = std::find_if(prompts.begin() + (prompts.empty() ? 0 : 1), prompts.end(), [&](auto& other) {
        return EnginePriority(*request) < EnginePriority(*other.first);
      });
      prompts.emplace(position, request, request->prompt);
    } else {
      run.local_prefill_left = request->prompt;
      run.starts_ms = now_;
      UpdatePendingPrompt(*request, static_cast<std::uint32_t>(DecodeIndex(engine)), 1);
    }
    decode_[engine].runs.push_back(run);
  }

  void StartRoundRobin(const request_ptr& request) {
    request->prefill = next_prefill_++ % deployment_.prefill;
    prefill_[*request->prefill].prompts.emplace_back(request, request->prompt);
  }

  // Full engines refuse; after three of them the request is refused, and its prefill was wasted.
  void StartDecodeRoundRobin(const request_ptr& request) {
    constexpr int kMaxAttempts = 3;
    for (int i = 0; i < kMaxAttempts; ++i) {
      const std::uint32_t engine = next_decode_++ % deployment_.decode;
      request->reserved = request->prompt;
      if (CanReserve(engine, *request)) {
        detail::decode_run run;
        run.request = request;
        run.starts_ms = now_ + static_cast<std::int64_t>(deployment_.transfer_ms);
        decode_[engine].runs.push_back(run);
        return;
      }
    }
    totals_.wasted_tokens += request->prompt;
    Refuse(request);
  }

  model_deployment deployment_;
  model_load load_;
  placement_policy policy_;
  std::mt19937_64 random_;
  std::mt19937_64 arrival_random_;
  bool has_classes_ = false;
  std::int64_t now_ = 0;
  std::uint64_t next_id_ = 0;
  std::uint32_t next_prefill_ = 0;
  std::uint32_t next_decode_ = 0;
  std::vector<detail::prefill_engine> prefill_;
  std::vector<detail::decode_engine> decode_;
  std::vector<detail::model_router> routers_;
  std::multimap<std::int64_t, request_ptr> retries_;
  model_totals totals_;
};

// A small and a grown deployment, as documented by the platform, with the load and bursts of an ordinary day.
inline model_deployment SmallDeployment() { return {}; }

inline model_deployment GrownDeployment() {
  model_deployment deployment;
  deployment.routers = 24;
  deployment.prefill = 10;
  deployment.decode = 35;
  deployment.memory_tokens = 25'385;
  deployment.slots = 32;
  return deployment;
}

// A grown deployment with two classes of requests, and bursts that exceed its capacity.
inline model_deployment TwoClassDeployment() {
  model_deployment deployment;
  deployment.routers = 24;
  deployment.prefill = 10;
  deployment.decode = 35;
  deployment.memory_tokens = 29'249;
  deployment.slots = 32;
  deployment.prefill_tokens_per_ms = 33;
  deployment.token_ms = 3.7;
  deployment.token_ms_per_stream = 0.0193;
  deployment.event_tokens = 12;
  return deployment;
}

inline model_load TwoClassLoad(std::uint64_t seed) {
  model_load load;
  load.classes = {{.rate = 3.6, .target_ms = 800, .priority = 0}, {.rate = 47.8, .target_ms = 2'000, .priority = 1}};
  load.burst_factor = 1.9;
  load.burst_from_ms = 15'000;
  load.burst_to_ms = 25'000;
  load.bursts = {{35'000, 39'000, 2.2}};
  load.end_ms = 43'000;
  load.max_prompt = 6'600;
  load.median_output = 770;  // mean 830
  load.seed = seed;
  return load;
}

inline model_load SmallLoad(std::uint64_t seed) {
  model_load load;
  load.seed = seed;
  return load;
}

inline model_load GrownLoad(std::uint64_t seed) {
  model_load load;
  load.rate = 45;
  load.burst_factor = 1.7;
  load.seed = seed;
  return load;
}

}  // namespace persimmon::support
