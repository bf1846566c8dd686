// Traffic of the load generator: arrival times and contents of requests, and the expected answers.
//
// Sections
//   1. settings
//   2. planned requests
//   3. expected answers
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "persimmon/error.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. settings
// ---------------------------------------------------------------------------------------------------------------------

// One component of a mix: log-uniform values between two bounds.
struct size_range {
  double weight = 1.0;  // relative share of requests
  std::uint32_t minimum = 1;
  std::uint32_t maximum = 1;

  bool operator==(const size_range&) const = default;
};

using size_mix = std::vector<size_range>;

// Parses "500", "20-20000" or "0.7:20-500,0.3:8000-24000". Errors: kInvalid.
result<size_mix> ParseSizeMix(const std::string& text);

enum class load_profile : std::uint8_t {
  kSteady,  // constant rate
  kSurge,   // ramp-up for 1/8 of the time, plateau for 3/4, ramp-down for 1/8; 80 s give a plateau of one minute
};

struct traffic_settings {
  load_profile profile = load_profile::kSteady;
  double rate = 10;           // requests/s
  double surge_factor = 1.5;  // surge: plateau rate as a multiple of rate
  double duration_s = 10;     // time during which requests are started
  std::uint64_t seed = 1;     // for arrival times, sizes and kinds
  std::string run_id;         // part of prompts, bodies and idempotency keys, which makes them unique to the run

  std::string model;  // empty: no model requests
  size_mix prompt_tokens = {{1, 20, 2'000}};
  size_mix output_tokens = {{1, 16, 64}};
  double shared_prefix_share = 0;  // fraction of model requests that start with a shared prefix
  std::uint32_t shared_prefix_tokens = 512;
  std::uint32_t shared_prefixes = 8;  // number of distinct prefixes
  double stream_share = 1;            // fraction of model requests streamed as server-sent events

  std::string service_path;  // empty: no service requests
  double service_share = 1;  // fraction of service requests, if there are model requests as well
  double post_share = 0.5;   // fraction of service requests that are POSTs with an Idempotency-Key

  double leave_share = 0;  // fraction of callers that disconnect before their answer is complete
  double leave_after_min_s = 0.05;
  double leave_after_max_s = 2.0;
  double return_share = 0;  // fraction of refused callers that retry once after the Retry-After delay

  bool operator==(const traffic_settings&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. planned requests
// ---------------------------------------------------------------------------------------------------------------------

enum class request_kind : std::uint8_t { kModel, kGet, kPost };

struct planned_request {
  std::uint64_t number = 0;  // counted from 1
  double at_s = 0;           // arrival time, after the start of the run
  request_kind kind = request_kind::kModel;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t prefix_tokens = 0;  // length of the shared prefix; 0: none
  std::uint32_t prefix = 0;         // index of the shared prefix
  bool stream = false;
  double disconnect_after_s = 0;       // time until the caller disconnects; 0: never
  bool retries_after_refusal = false;  // the caller retries once after a refusal
  std::uint64_t variation = 0;         // random value that selects the prompt text and the path

  bool operator==(const planned_request&) const = default;
};

// Generates requests with random arrival times at the rate of the profile. The same settings give the same requests.
class traffic_generator {
 public:
  explicit traffic_generator(traffic_settings settings);

  // Generates the next request in order of arrival. Returns false at the end of the run.
  bool PlanNext(planned_request& request);

  // Returns the words of a prompt, separated by spaces. One word is one token.
  std::string BuildPrompt(const planned_request& request) const;

  // Returns the Idempotency-Key of a POST, which is also part of every prompt.
  std::string BuildKey(const planned_request& request) const;

  std::string BuildServiceTarget(const planned_request& request) const;
  std::string BuildServiceBody(const planned_request& request) const;

  // Target rate of the profile at a time, requests/s.
  double RateAt(double at_s) const;

  // Start and end of the plateau. With a steady profile, it is the whole run.
  double PlateauBegin() const;
  double PlateauEnd() const;

 private:
  double SampleUniform();
  std::uint32_t SampleSize(const size_mix& mix);

  traffic_settings settings_;
  std::mt19937_64 random_;
  std::string words_;  // fixed-width words; prompts are substrings of it
  std::uint64_t number_ = 0;
  double at_s_ = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. expected answers
// ---------------------------------------------------------------------------------------------------------------------

// Text of output token n of a prompt. The rule is in section 13 of docs/design.md.
std::string ExpectedToken(std::string_view prompt, std::uint32_t number);

enum class token_status : std::uint8_t { kCorrect, kDoubled, kWrong };

// Compares the tokens of one answer with the expected ones, in order of arrival.
class answer_checker {
 public:
  answer_checker(std::string prompt, std::uint32_t output_tokens)
      : prompt_(std::move(prompt)), output_tokens_(output_tokens) {}

  // Adds text that may end inside a token. Returns the number of tokens that it completes.
  std::uint32_t AddText(std::string_view text);

  std::uint32_t Received() const { return received_; }
  bool IsComplete() const {
    return status_ == token_status::kCorrect && partial_token_.empty() && received_ == output_tokens_;
  }
  token_status Status() const { return status_; }

 private:
  void CheckToken(std::string_view token);

  std::string prompt_;
  std::uint32_t output_tokens_;
  std::uint32_t received_ = 0;
  std::string partial_token_;   // start of a token whose end has not arrived
  std::string previous_token_;  // last accepted token, to detect a duplicate
  token_status status_ = token_status::kCorrect;
};

// Lower-case hexadecimal XXH64 of a text, in the format of fake-service.
std::string HashText(std::string_view text);

}  // namespace persimmon
