// Results of a load run: one value per caller's request, and the report made of all of them.
//
// Sections
//   1. results of single requests
//   2. report
//   3. output
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load/traffic.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. results of single requests
// ---------------------------------------------------------------------------------------------------------------------

enum class request_end : std::uint8_t {
  kAnswered,  // the whole and right answer
  kRefused,   // a truthful error, before or in the middle of the answer
  kLeft,      // the caller went away, as planned
  kLost,      // neither a whole answer nor an error
  kDoubled,   // a token twice, or a call that ran twice
  kWrong,     // whole, but not the answer to this request
};

// A caller's request, including its return after a refusal.
struct request_result {
  planned_request plan;
  request_end end = request_end::kLost;
  std::string code;             // of a refusal
  bool returned = false;        // the caller came back after a refusal
  bool resent = false;          // the connection broke and the caller sent the request again
  std::uint32_t tokens = 0;     // output tokens received
  double first_token_s = 0;     // from the arrival, or from the return, of the caller; plain calls: whole answer
  double token_interval_s = 0;  // mean of the answer
  double ended_s = 0;           // after the start of the run
  double refusal_s = 0;         // time to the last refusal; 0: none
  std::string detail;           // what was wrong

  bool operator==(const request_result&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. report
// ---------------------------------------------------------------------------------------------------------------------

struct latency_targets {
  double first_token_s = 1.3;
  double token_interval_s = 0.058;

  bool operator==(const latency_targets&) const = default;
};

struct quantiles {
  double p50 = 0;
  double p90 = 0;
  double p95 = 0;
  double p99 = 0;
  double maximum = 0;

  bool operator==(const quantiles&) const = default;
};

struct second_counts {
  std::uint64_t arrivals = 0;
  std::uint64_t in_time = 0;  // answers in time, counted at their end
  std::uint64_t refused = 0;

  // By the second of the arrival.
  std::uint64_t arrivals_in_time = 0;
  std::uint64_t prompt_tokens_in_time = 0;
  std::uint64_t output_tokens_in_time = 0;

  bool operator==(const second_counts&) const = default;
};

// Requests whose arrival lies in the plateau, or all requests.
struct window_counts {
  double seconds = 0;
  std::uint64_t requests = 0;
  std::uint64_t in_time = 0;
  std::uint64_t offered_prompt_tokens = 0;
  std::uint64_t offered_output_tokens = 0;
  std::uint64_t prompt_tokens_in_time = 0;
  std::uint64_t output_tokens_in_time = 0;

  bool operator==(const window_counts&) const = default;
};

struct load_summary {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t left = 0;
  std::uint64_t lost = 0;
  std::uint64_t doubled = 0;
  std::uint64_t wrong = 0;
  std::uint64_t in_time = 0;
  std::uint64_t streamed = 0;             // answered model requests with server-sent events
  std::uint64_t first_token_in_time = 0;  // of the streamed answers, by the first target alone
  std::uint64_t interval_in_time = 0;     // of the streamed answers, by the second target alone
  std::uint64_t returned = 0;
  std::uint64_t resent = 0;
  std::uint64_t late_dispatches = 0;  // arrivals that this process started over 20 ms late
  double duration_s = 0;
  double share_in_time = 0;            // of model requests whose caller stayed
  double longest_quarter_in_time = 0;  // the same, of the longest quarter of prompts
  window_counts all;
  window_counts plateau;
  quantiles first_token_s;
  quantiles token_interval_s;
  quantiles service_s;
  quantiles refusal_s;
  std::map<std::string, std::uint64_t> refusals;  // by code
  std::vector<second_counts> seconds;
  std::vector<std::string> faults;  // first few lost, doubled and wrong requests
};

load_summary SummarizeResults(const std::vector<request_result>& results, const latency_targets& targets,
                              const traffic_generator& traffic, double duration_s);

bool IsInTime(const request_result& result, const latency_targets& targets);

// ---------------------------------------------------------------------------------------------------------------------
// 3. output
// ---------------------------------------------------------------------------------------------------------------------

std::string FormatText(const load_summary& summary);
std::string FormatJson(const load_summary& summary);

// Arrivals, answers in time and refusals per second, with axes and legend.
std::string FormatPlot(const load_summary& summary);

// "sent N answered N refused N lost N doubled N"
std::string FormatLastLine(const load_summary& summary);

}  // namespace persimmon
