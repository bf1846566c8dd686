// Results of a load run: one result per request, and the report that summarizes them.
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
  kAnswered,  // a complete and correct answer
  kRefused,   // an explicit error, before or during the answer
  kLeft,      // the caller disconnected, as planned
  kLost,      // neither a complete answer nor an error
  kDoubled,   // a token was received twice, or a call ran twice
  kWrong,     // an incorrect or incomplete answer, or the answer to another request
};

// One request, including its retry after a refusal.
struct request_result {
  planned_request plan;
  request_end end = request_end::kLost;
  std::string code;             // error code of a refusal
  bool returned = false;        // the caller retried after a refusal
  bool resent = false;          // the connection broke, and the caller sent the request again
  std::uint32_t tokens = 0;     // output tokens received
  double first_token_s = 0;     // time from the arrival, or from the retry, to the first token; for plain calls and
                                // answers that are not streamed, to the end of the answer
  double token_interval_s = 0;  // mean over the answer
  double ended_s = 0;           // after the start of the run
  double refusal_s = 0;         // from sending the request to its last refusal; 0: none
  std::string detail;           // what went wrong

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

// Counts of one second of the run.
struct second_counts {
  std::uint64_t arrivals = 0;
  std::uint64_t in_time = 0;  // answers in time that ended in this second
  std::uint64_t refused = 0;

  // Answers in time to requests that arrived in this second.
  std::uint64_t arrivals_in_time = 0;
  std::uint64_t prompt_tokens_in_time = 0;
  std::uint64_t output_tokens_in_time = 0;

  bool operator==(const second_counts&) const = default;
};

// Totals of the requests that arrived during the plateau, or of all requests. The plateau is the time of the full surge
// rate; with the steady profile, it is the whole run.
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
  std::uint64_t streamed = 0;             // model requests answered with server-sent events
  std::uint64_t first_token_in_time = 0;  // streamed answers that met the target for the first token
  std::uint64_t interval_in_time = 0;     // streamed answers that met the target for the token interval
  std::uint64_t returned = 0;
  std::uint64_t resent = 0;
  std::uint64_t late_dispatches = 0;  // requests sent more than 20 ms after their planned time
  double duration_s = 0;
  double share_in_time = 0;  // share of model requests answered in time, without those whose caller disconnected
  double longest_quarter_in_time = 0;  // share_in_time of the longest quarter of prompts
  window_counts all;
  window_counts plateau;
  quantiles first_token_s;
  quantiles token_interval_s;
  quantiles service_s;
  quantiles refusal_s;
  std::map<std::string, std::uint64_t> refusals;  // by code
  std::vector<second_counts> seconds;
  std::vector<std::string> faults;  // descriptions of the first 20 lost, doubled and wrong requests
};

load_summary SummarizeResults(const std::vector<request_result>& results, const latency_targets& targets,
                              const traffic_generator& traffic, double duration_s);

// True if the request was answered correctly and within the latency targets.
bool IsInTime(const request_result& result, const latency_targets& targets);

// ---------------------------------------------------------------------------------------------------------------------
// 3. output
// ---------------------------------------------------------------------------------------------------------------------

std::string FormatText(const load_summary& summary);
std::string FormatJson(const load_summary& summary);

// SVG plot of arrivals, answers in time and refusals per second.
std::string FormatPlot(const load_summary& summary);

// "sent N answered N refused N lost N doubled N"
std::string FormatCounts(const load_summary& summary);

}  // namespace persimmon
