// Traffic of the load generator: when requests arrive, what they ask for, and what a right answer looks like.
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

// One part of a mix: values between the bounds, spread evenly over their logarithm.
struct size_range {
  double weight = 1.0;  // share of requests, relative to the other parts
  std::uint32_t minimum = 1;
  std::uint32_t maximum = 1;

  bool operator==(const size_range&) const = default;
};

using size_mix = std::vector<size_range>;

// Reads "20-20000" or "0.7:20-500,0.3:8000-24000". Errors: kInvalid.
result<size_mix> ParseSizeMix(const std::string& text);

enum class load_profile : std::uint8_t {
  kSteady,  // the rate from start to end
  kSurge,   // an eighth of the time ramp, three quarters plateau, an eighth tail; 80 s give a plateau of a minute
};

struct traffic_settings {
  load_profile profile = load_profile::kSteady;
  double rate = 10;           // requests/s
  double surge_factor = 1.5;  // surge: rate of the plateau, as a multiple of rate
  double duration_s = 10;     // of the arrivals
  std::uint64_t seed = 1;     // of times, sizes and kinds
  std::string run_id;         // part of prompts, bodies and keys, so that two runs never share them

  std::string model;  // empty: no model requests
  size_mix prompt_tokens = {{1, 20, 2'000}};
  size_mix output_tokens = {{1, 16, 64}};
  double shared_prefix_share = 0;  // share of model requests that start with one of the shared prefixes
  std::uint32_t shared_prefix_tokens = 512;
  std::uint32_t shared_prefixes = 8;  // number of different prefixes
  double stream_share = 1;            // share of model requests answered as server-sent events

  std::string service_path;  // empty: no service requests
  double service_share = 1;  // share of service requests, if there are model requests as well
  double post_share = 0.5;   // share of service requests that are POSTs with an Idempotency-Key

  double leave_share = 0;  // share of callers that go away
  double leave_after_min_s = 0.05;
  double leave_after_max_s = 2.0;
  double return_share = 0;  // share of refused callers that come back once when told

  bool operator==(const traffic_settings&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. planned requests
// ---------------------------------------------------------------------------------------------------------------------

enum class request_kind : std::uint8_t { kModel, kGet, kPost };

struct planned_request {
  std::uint64_t number = 0;  // counted from 1
  double at_s = 0;           // arrival, after the start of the run
  request_kind kind = request_kind::kModel;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t prefix_tokens = 0;  // of the prompt; 0: no shared prefix
  std::uint32_t prefix = 0;         // number of the shared prefix
  bool stream = false;
  double leave_after_s = 0;     // 0: the caller stays
  bool returns = false;         // the caller comes back once when it is refused
  std::uint64_t variation = 0;  // random value that varies prompt text and path

  bool operator==(const planned_request&) const = default;
};

class traffic_generator {
 public:
  explicit traffic_generator(traffic_settings settings);

  // The next request in order of arrival. Returns false after the end of the run.
  bool PlanNext(planned_request& request);

  // Words of one prompt, separated by blanks. One word is one token.
  std::string BuildPrompt(const planned_request& request) const;

  // Idempotency-Key of a POST, and part of every prompt.
  std::string BuildKey(const planned_request& request) const;

  std::string BuildServiceTarget(const planned_request& request) const;
  std::string BuildServiceBody(const planned_request& request) const;

  // Requests/s that the profile wants at a moment.
  double RateAt(double at_s) const;

  // First and last moment of the plateau; the whole run if the profile is steady.
  double PlateauBegin() const;
  double PlateauEnd() const;

 private:
  double DrawUnit();
  std::uint32_t DrawSize(const size_mix& mix);

  traffic_settings settings_;
  std::mt19937_64 random_;
  std::string words_;  // text of fixed-width words that prompts are cut from
  std::uint64_t number_ = 0;
  double at_s_ = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. expected answers
// ---------------------------------------------------------------------------------------------------------------------

// Text of output token n of a prompt, as section 13 of docs/design.md defines it.
std::string ExpectedToken(std::string_view prompt, std::uint32_t number);

enum class token_verdict : std::uint8_t { kRight, kDoubled, kWrong };

// Compares the tokens of one answer, in order of arrival, with the expected ones.
class answer_checker {
 public:
  answer_checker(std::string prompt, std::uint32_t output_tokens)
      : prompt_(std::move(prompt)), output_tokens_(output_tokens) {}

  // Takes text with any number of whole tokens. Returns the number of tokens in it.
  std::uint32_t AddText(std::string_view text);

  std::uint32_t Received() const { return received_; }
  bool IsWhole() const { return verdict_ == token_verdict::kRight && rest_.empty() && received_ == output_tokens_; }
  token_verdict Verdict() const { return verdict_; }

 private:
  void CheckToken(std::string_view token);

  std::string prompt_;
  std::uint32_t output_tokens_;
  std::uint32_t received_ = 0;
  std::string rest_;  // begin of a token whose end has not arrived
  std::string last_;  // the token before, to tell a doubled one
  token_verdict verdict_ = token_verdict::kRight;
};

// Lower-case hexadecimal XXH64 of a text, as fake-service reports it.
std::string HashText(std::string_view text);

}  // namespace persimmon
