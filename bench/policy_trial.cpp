// Compares queue orders and admission policies of a pool on generated arrivals, in simulated time. It drives the
// decision functions for one router and one pool with fixed rates; it does not model a cluster. Deterministic for a
// given seed.
//
// Sections
//   1. workload
//   2. queues
//   3. run
//   4. output
#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "persimmon/admission.h"

DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_double(load, 1.5, "offered work as a multiple of the capacity of the bottleneck pool");
DEFINE_int32(seconds, 60, "time during which requests arrive");
DEFINE_string(slower, "prefill", "pool that is the bottleneck: prefill or decode");
DEFINE_int32(margin_ms, -1, "admission margin; -1: default");
DEFINE_int32(rate_window_ms, 0, "time constant of measured rates; 0: default");
DEFINE_int32(prior_weight_ms, 0, "weight of the reported rate against measured rates, as busy time in ms; 0: default");
DEFINE_int32(share_slack_ms, 0,
             "excess over its fair share that an account may use, as time at the rate of the pool; 0: default");
DEFINE_int32(stated_routers, 1,
             "number of routers among which the queue divides the rates of the pool; the trial has one router");
DEFINE_bool(known_rates, true, "endpoints report their rates");

namespace persimmon {
namespace {

// ---------------------------------------------------------------------------------------------------------------------
// 1. workload
// ---------------------------------------------------------------------------------------------------------------------

constexpr double kPrefillTokensPerS = 10'000;  // per prefill slot
constexpr int kPrefillSlots = 18;
constexpr microseconds kTransfer = microseconds(50'000);
constexpr microseconds kTokenInterval = microseconds(50'000);
constexpr double kMeanPrompt = 3'720;  // measured mean of the clamped distribution below, over 2,500 s of arrivals
constexpr double kMeanOutput = 39.5;   // measured in the same way

struct arrival {
  queue_job job;
  microseconds prefill{0};
  microseconds decode{0};
};

microseconds FromSeconds(double seconds) { return microseconds(static_cast<std::int64_t>(seconds * 1e6)); }

int DecodeSlots() {
  const double needed = kPrefillSlots * kPrefillTokensPerS / kMeanPrompt * kMeanOutput * 0.05;
  return static_cast<int>(FLAGS_slower == "decode" ? needed * 0.6 : needed * 1.6);
}

double BottleneckTokens(const queue_job& job) {
  return FLAGS_slower == "decode" ? job.output_tokens : job.prompt_tokens;
}

double BottleneckTokensPerS() {
  return FLAGS_slower == "decode" ? DecodeSlots() / 0.05 : kPrefillSlots * kPrefillTokensPerS;
}

double CapacityPerS() {  // requests
  const double prefill = kPrefillSlots * kPrefillTokensPerS / kMeanPrompt;
  const double decode = DecodeSlots() / (kMeanOutput * 0.05);
  return std::min(prefill, decode);
}

std::vector<arrival> GenerateArrivals(const admission_settings& settings) {
  std::mt19937_64 random(FLAGS_seed);
  std::exponential_distribution<double> gap(CapacityPerS() * FLAGS_load);
  std::lognormal_distribution<double> prompt(std::log(4'000) - 0.32, 0.8);
  std::exponential_distribution<double> output(1 / 32.0);
  std::discrete_distribution<int> account({0.6, 0.2, 0.2});
  std::vector<arrival> arrivals;
  for (double at = gap(random); at < FLAGS_seconds; at += gap(random)) {
    arrival item;
    item.job.request = {std::to_string(arrivals.size())};
    item.job.account = {std::string(1, static_cast<char>('A' + account(random)))};
    item.job.arrival = time_point(std::chrono::seconds(1'000)) + FromSeconds(at);
    item.job.prompt_tokens = static_cast<std::uint32_t>(std::clamp(prompt(random), 50.0, 10'000.0));
    item.job.output_tokens = 8 + static_cast<std::uint32_t>(std::min(output(random), 200.0));
    item.prefill = FromSeconds(item.job.prompt_tokens / kPrefillTokensPerS);
    item.decode = kTokenInterval * item.job.output_tokens;
    item.job.latest_start =
        LatestStart(item.job.arrival, {item.prefill, kTransfer, item.decode}, std::nullopt, settings).latest_start;
    arrivals.push_back(item);
  }
  return arrivals;
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. queues
// ---------------------------------------------------------------------------------------------------------------------

enum class queue_order { kArrival, kShortest, kLatestStart };

// Plain ordered queue. With admission, it refuses a job whose predicted start is after its latest start. With expiry,
// it drops waiting jobs whose latest start has passed.
class plain_queue {
 public:
  plain_queue(queue_order order, bool admission, bool expiry)
      : order_(order), has_admission_(admission), has_expiry_(expiry) {}

  void UpdatePool(const pool_state& pool, time_point) { pool_ = pool; }

  admission_result AdmitRequest(const queue_job& job, double, time_point now) {
    admission_result result;
    double ahead = 0;
    for (const auto& [key, waiting] : waiting_) {
      ahead += key < KeyOf(job) ? waiting.prompt_tokens : 0;
    }
    const bool is_start_late = now + FromSeconds(ahead / pool_.prefill_tokens_per_s) > job.latest_start;
    if (has_admission_ && is_start_late) {
      result.verdict = admission_verdict::kOverCapacity;
    } else {
      waiting_[KeyOf(job)] = job;
    }
    return result;
  }
  const queue_job* PeekNext(time_point) const { return waiting_.empty() ? nullptr : &waiting_.begin()->second; }
  std::optional<queue_job> PickNext(time_point) {
    return waiting_.empty() ? std::nullopt : std::optional(waiting_.extract(waiting_.begin()).mapped());
  }
  bool RecordStarted(const request_id&, time_point) { return true; }
  std::vector<queue_job> ExpireOverdue(time_point now) {
    std::vector<queue_job> overdue;
    for (auto position = waiting_.begin(); has_expiry_ && position != waiting_.end();) {
      const bool is_overdue = position->second.latest_start < now;
      if (is_overdue) {
        overdue.push_back(position->second);
      }
      position = is_overdue ? waiting_.erase(position) : std::next(position);
    }
    return overdue;
  }

 private:
  using key = std::pair<std::int64_t, std::string>;
  key KeyOf(const queue_job& job) const {
    const auto start = job.latest_start.time_since_epoch().count();
    const auto arrived = job.arrival.time_since_epoch().count();
    return {order_ == queue_order::kShortest  ? std::int64_t{job.prompt_tokens}
            : order_ == queue_order::kArrival ? arrived
                                              : start,
            job.request.value};
  }

  queue_order order_;
  bool has_admission_;
  bool has_expiry_;
  pool_state pool_;
  std::map<key, queue_job> waiting_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. run
// ---------------------------------------------------------------------------------------------------------------------

struct totals {
  double offered = 0;  // tokens for the bottleneck pool: prompt for prefill, output for decode
  double goodput = 0;  // tokens answered in time
  int requests = 0;
  int in_time = 0;
  int started_late = 0;        // started after their latest start
  int refused = 0;             // on arrival, without waiting
  int expired = 0;             // dropped while waiting, as overdue
  int displaced = 0;           // dropped while waiting, in favor of another account
  double dropped_wait_ms = 0;  // total wait of the expired and displaced requests
  std::map<std::string, double> account_offered;
  std::map<std::string, double> account_goodput;
  int long_requests = 0;
  int long_in_time = 0;
};

template <class queue_type>
totals Run(queue_type& queue, const std::vector<arrival>& arrivals) {
  totals sum;
  std::vector<std::uint32_t> sizes;
  std::map<request_id, const arrival*> by_request;
  for (const arrival& item : arrivals) {
    sizes.push_back(item.job.prompt_tokens);
    by_request[item.job.request] = &item;
    const double work = BottleneckTokens(item.job);
    sum.offered += work;
    sum.account_offered[item.job.account.value] += work;
  }
  std::sort(sizes.begin(), sizes.end());
  const std::uint32_t long_prompt_tokens =  // the longest quarter of prompts has at least this many
      sizes[sizes.size() * 3 / 4];
  std::multiset<time_point> prefill_free;  // time at which each slot becomes free
  std::multiset<time_point> decode_free;
  const time_point begin(std::chrono::seconds(1'000));
  for (int i = 0; i < kPrefillSlots; ++i) {
    prefill_free.insert(begin);
  }
  for (int i = 0; i < DecodeSlots(); ++i) {
    decode_free.insert(begin);
  }
  std::mt19937_64 random(FLAGS_seed + 1);
  std::uniform_real_distribution<double> jitter(0, 1);
  std::size_t next = 0;
  // Steps of 1 ms approximate the few milliseconds during which an agent collects reservation requests for a slot.
  for (time_point now = begin; now < begin + std::chrono::seconds(FLAGS_seconds + 30); now += milliseconds(1)) {
    for (const queue_job& job : queue.ExpireOverdue(now)) {
      sum.expired += 1;
      sum.dropped_wait_ms += std::chrono::duration<double, std::milli>(now - job.arrival).count();
    }
    pool_state pool;
    pool.prefill_endpoints = kPrefillSlots;
    pool.decode_endpoints = std::max(1, DecodeSlots() / 20);
    pool.prefill_free = static_cast<std::uint32_t>(std::distance(prefill_free.begin(), prefill_free.upper_bound(now)));
    pool.decode_free = static_cast<std::uint32_t>(std::distance(decode_free.begin(), decode_free.upper_bound(now)));
    pool.prefill_tokens_per_s = FLAGS_known_rates ? kPrefillSlots * kPrefillTokensPerS : 0;
    pool.decode_tokens_per_s = FLAGS_known_rates ? DecodeSlots() / 0.05 : 0;
    pool.routers = static_cast<std::uint32_t>(FLAGS_stated_routers);
    queue.UpdatePool(pool, now);
    for (; next < arrivals.size() && arrivals[next].job.arrival <= now; ++next) {
      const queue_job& job = arrivals[next].job;
      sum.requests += 1;
      sum.long_requests += job.prompt_tokens >= long_prompt_tokens ? 1 : 0;
      const auto result = queue.AdmitRequest(job, jitter(random), now);
      sum.refused += result.verdict == admission_verdict::kAdmitted ? 0 : 1;
      for (const queue_job& other : result.displaced) {
        sum.displaced += 1;
        sum.dropped_wait_ms += std::chrono::duration<double, std::milli>(now - other.arrival).count();
      }
    }
    while (const queue_job* job = queue.PeekNext(now)) {
      const arrival& item = *by_request.at(job->request);
      const time_point needed = now + item.prefill + kTransfer;
      if (*prefill_free.begin() > now || *decode_free.begin() > needed) {
        break;
      }
      queue.PickNext(now);
      queue.RecordStarted(item.job.request, now);
      prefill_free.erase(prefill_free.begin());
      prefill_free.insert(now + item.prefill);
      // Of the slots that are free in time, use the one that becomes free last, as it idles least.
      decode_free.erase(std::prev(decode_free.upper_bound(needed)));
      decode_free.insert(needed + item.decode);
      if (now > item.job.latest_start) {
        sum.started_late += 1;
        continue;
      }
      const double work = BottleneckTokens(item.job);
      sum.in_time += 1;
      sum.goodput += work;
      sum.account_goodput[item.job.account.value] += work;
      sum.long_in_time += item.job.prompt_tokens >= long_prompt_tokens ? 1 : 0;
    }
  }
  return sum;
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. output
// ---------------------------------------------------------------------------------------------------------------------

void PrintRow(const char* name, const totals& sum) {
  // Work that the bottleneck pool can start from the first arrival until the last request must have its first token,
  // which is 1.3 s (the default target) after its arrival.
  const double bound = std::min(sum.offered, BottleneckTokensPerS() * (FLAGS_seconds + 1.3));
  const double all = static_cast<double>(sum.in_time) / sum.requests;
  const double longest = static_cast<double>(sum.long_in_time) / sum.long_requests;
  const int dropped = sum.expired + sum.displaced;
  std::printf("%-34s %7.1f %9.2f %7d %7d %7d %7d %9.0f  ", name, 100 * sum.goodput / bound, all > 0 ? longest / all : 0,
              sum.started_late, sum.refused, sum.expired, sum.displaced,
              dropped > 0 ? sum.dropped_wait_ms / dropped : 0);
  for (const auto& [account, offered] : sum.account_offered) {
    const auto goodput = sum.account_goodput.find(account);
    std::printf(" %s %.2f", account.c_str(), goodput == sum.account_goodput.end() ? 0 : goodput->second / offered);
  }
  std::printf("\n");
}

void RunAll() {
  admission_settings settings;
  settings.margin = FLAGS_margin_ms >= 0 ? milliseconds(FLAGS_margin_ms) : settings.margin;
  settings.rate_window = FLAGS_rate_window_ms > 0 ? milliseconds(FLAGS_rate_window_ms) : settings.rate_window;
  settings.prior_weight = FLAGS_prior_weight_ms > 0 ? milliseconds(FLAGS_prior_weight_ms) : settings.prior_weight;
  settings.share_slack = FLAGS_share_slack_ms > 0 ? milliseconds(FLAGS_share_slack_ms) : settings.share_slack;
  const auto arrivals = GenerateArrivals(settings);
  std::printf("trial in simulated time: seed %lu, load %.2f, bottleneck pool %s, %d s, %zu requests\n", FLAGS_seed,
              FLAGS_load, FLAGS_slower.c_str(), FLAGS_seconds, arrivals.size());
  double prompt = 0;
  double output = 0;
  for (const arrival& item : arrivals) {
    prompt += item.job.prompt_tokens;
    output += item.job.output_tokens;
  }
  const auto count = static_cast<double>(arrivals.size());
  std::printf(
      "means: %.0f prompt tokens, %.1f output tokens\n"
      "longest/all: share in time of the longest quarter of prompts, relative to that of all requests\n"
      "late: started after the latest start; expired and displ. (displaced by another account): dropped while waiting\n"
      "ms until dropped: mean wait of the expired and displaced requests\n",
      prompt / count, output / count);
  std::printf("%-34s %7s %9s %7s %7s %7s %7s %9s   %s\n", "order", "goodput", "longest/", "late", "refused", "expired",
              "displ.", "ms until", "share of tokens in time by account");
  std::printf("%-34s %7s %9s %7s %7s %7s %7s %9s\n", "", "% bound", "all", "", "at once", "", "", "dropped");
  const auto run_plain = [&](const char* name, queue_order order, bool admission, bool expiry) {
    plain_queue queue(order, admission, expiry);
    PrintRow(name, Run(queue, arrivals));
  };
  run_plain("arrival, no expiry", queue_order::kArrival, false, false);
  run_plain("arrival, expiry", queue_order::kArrival, false, true);
  run_plain("arrival, expiry, admission", queue_order::kArrival, true, true);
  run_plain("shortest first, expiry", queue_order::kShortest, false, true);
  run_plain("shortest first, expiry, admission", queue_order::kShortest, true, true);
  run_plain("latest start, expiry", queue_order::kLatestStart, false, true);
  for (const bool fair : {false, true}) {
    settings.fair_shares = fair;
    admission_queue queue(settings);
    PrintRow(fair ? "admission_queue, fair shares" : "admission_queue, no fair shares", Run(queue, arrivals));
  }
}

}  // namespace
}  // namespace persimmon

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  persimmon::RunAll();
  return 0;
}
