#include "load/traffic.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace persimmon {
namespace {

constexpr std::size_t kWordBytes = 5;          // four letters and a space
constexpr std::size_t kWordCount = 1U << 16U;  // prompts are substrings of a text with this many words
constexpr double kRampShare = 0.125;           // duration of the ramp-up and of the ramp-down, relative to the surge
// Rate at the start of the ramp-up and the end of the ramp-down, relative to the plateau.
constexpr double kRampStartRateShare = 0.2;
constexpr std::uint64_t kTokenMask = 0xffffff;
constexpr std::uint64_t kServicePages = 50;  // distinct paths of service GETs

bool ParseNumber(std::string_view text, double& value) {
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
  return failure == std::errc() && end == text.data() + text.size();
}

bool ParseRange(std::string_view text, size_range& range) {
  const auto colon = text.find(':');
  if (colon != std::string_view::npos) {
    if (!ParseNumber(text.substr(0, colon), range.weight) || range.weight <= 0) {
      return false;
    }
    text.remove_prefix(colon + 1);
  }
  const auto dash = text.find('-');
  double minimum = 0;
  double maximum = 0;
  if (!ParseNumber(text.substr(0, dash), minimum) ||
      !ParseNumber(dash == std::string_view::npos ? text : text.substr(dash + 1), maximum)) {
    return false;
  }
  range.minimum = static_cast<std::uint32_t>(minimum);
  range.maximum = static_cast<std::uint32_t>(maximum);
  return minimum >= 1 && maximum >= minimum && maximum <= 1'000'000;
}

}  // namespace

result<size_mix> ParseSizeMix(const std::string& text) {
  size_mix mix;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const auto end = std::min(text.find(',', begin), text.size());
    size_range range;
    if (!ParseRange(std::string_view(text).substr(begin, end - begin), range)) {
      return error{
          error_code::kInvalid,
          fmt::format(
              "'{}' is not N, MIN-MAX or a list WEIGHT:MIN-MAX,... with 1 <= MIN <= MAX <= 1000000 and WEIGHT > 0",
              text)};
    }
    mix.push_back(range);
    begin = end + 1;
  }
  return mix;
}

traffic_generator::traffic_generator(traffic_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed) {
  std::mt19937_64 letter_random(settings_.seed + 1);
  words_.reserve(kWordCount * kWordBytes);
  for (std::size_t i = 0; i < kWordCount; ++i) {
    std::uint64_t bits = letter_random();
    for (std::size_t k = 1; k < kWordBytes; ++k) {
      words_.push_back(static_cast<char>('a' + bits % 26));
      bits /= 26;
    }
    words_.push_back(' ');
  }
}

double traffic_generator::SampleUniform() { return static_cast<double>(random_() >> 11U) * 0x1.0p-53; }

std::uint32_t traffic_generator::SampleSize(const size_mix& mix) {
  double total = 0;
  for (const size_range& range : mix) {
    total += range.weight;
  }
  double position = SampleUniform() * total;
  const size_range* chosen = &mix.back();
  for (const size_range& range : mix) {
    if (position < range.weight) {
      chosen = &range;
      break;
    }
    position -= range.weight;
  }
  const double low = std::log(static_cast<double>(chosen->minimum));
  const double high = std::log(static_cast<double>(chosen->maximum) + 1.0);
  const auto size = static_cast<std::uint32_t>(std::exp(low + SampleUniform() * (high - low)));
  return std::clamp(size, chosen->minimum, chosen->maximum);
}

double traffic_generator::PlateauBegin() const {
  return settings_.profile == load_profile::kSurge ? settings_.duration_s * kRampShare : 0;
}

double traffic_generator::PlateauEnd() const { return settings_.duration_s - PlateauBegin(); }

double traffic_generator::RateAt(double at_s) const {
  if (settings_.profile == load_profile::kSteady) {
    return settings_.rate;
  }
  const double plateau_rate = settings_.rate * settings_.surge_factor;
  const double ramp_position = std::min(at_s, settings_.duration_s - at_s) / PlateauBegin();
  return plateau_rate *
         std::clamp(kRampStartRateShare + (1 - kRampStartRateShare) * ramp_position, kRampStartRateShare, 1.0);
}

bool traffic_generator::PlanNext(planned_request& request) {
  at_s_ += -std::log(1.0 - SampleUniform()) / RateAt(at_s_);
  if (at_s_ >= settings_.duration_s) {
    return false;
  }
  request = planned_request{};
  request.number = ++number_;
  request.at_s = at_s_;
  const bool service =
      settings_.model.empty() || (!settings_.service_path.empty() && SampleUniform() < settings_.service_share);
  request.variation = random_();
  if (service) {
    request.kind = SampleUniform() < settings_.post_share ? request_kind::kPost : request_kind::kGet;
  } else {
    request.kind = request_kind::kModel;
    request.prompt_tokens = SampleSize(settings_.prompt_tokens);
    request.output_tokens = SampleSize(settings_.output_tokens);
    request.stream = SampleUniform() < settings_.stream_share;
    if (SampleUniform() < settings_.shared_prefix_share) {
      request.prefix_tokens = std::min(settings_.shared_prefix_tokens, request.prompt_tokens - 1);
      request.prefix = static_cast<std::uint32_t>(random_() % settings_.shared_prefixes);
    }
  }
  if (SampleUniform() < settings_.leave_share) {
    const double range = settings_.leave_after_max_s - settings_.leave_after_min_s;
    request.disconnect_after_s = settings_.leave_after_min_s + SampleUniform() * range;
  }
  request.retries_after_refusal = SampleUniform() < settings_.return_share;
  return true;
}

std::string traffic_generator::BuildKey(const planned_request& request) const {
  return fmt::format("{}-{}", settings_.run_id, request.number);
}

std::string traffic_generator::BuildPrompt(const planned_request& request) const {
  std::string prompt;
  prompt.reserve((request.prompt_tokens + 1) * kWordBytes + 32);
  const auto append = [&](std::size_t first, std::size_t count) {
    while (count > 0) {
      const std::size_t offset = first % kWordCount;
      const std::size_t length = std::min(count, kWordCount - offset);
      prompt.append(words_, offset * kWordBytes, length * kWordBytes);
      first += length;
      count -= length;
    }
  };
  append(std::size_t{request.prefix} * 4099, request.prefix_tokens);
  prompt += BuildKey(request);
  prompt += ' ';
  append(request.variation, request.prompt_tokens - request.prefix_tokens - 1);
  prompt.pop_back();
  return prompt;
}

std::string traffic_generator::BuildServiceTarget(const planned_request& request) const {
  if (request.kind == request_kind::kPost) {
    return settings_.service_path + "/submissions";
  }
  return fmt::format("{}/pages/{}", settings_.service_path, request.variation % kServicePages);
}

std::string traffic_generator::BuildServiceBody(const planned_request& request) const {
  if (request.kind != request_kind::kPost) {
    return {};
  }
  return fmt::format(R"({{"submission":"{}","answer":{}}})", BuildKey(request), request.variation % 4);
}

std::string ExpectedToken(std::string_view prompt, std::uint32_t number) {
  return fmt::format("w{:x} ", XXH64(prompt.data(), prompt.size(), number) & kTokenMask);
}

std::uint32_t answer_checker::AddText(std::string_view text) {
  std::uint32_t count = 0;
  partial_token_.append(text);
  std::size_t begin = 0;
  for (auto end = partial_token_.find(' '); end != std::string::npos; end = partial_token_.find(' ', begin)) {
    CheckToken(std::string_view(partial_token_).substr(begin, end + 1 - begin));
    begin = end + 1;
    ++count;
  }
  partial_token_.erase(0, begin);
  return count;
}

void answer_checker::CheckToken(std::string_view token) {
  if (status_ != token_status::kCorrect) {
    return;
  }
  const std::string expected = ExpectedToken(prompt_, received_);
  if (token == expected && received_ < output_tokens_) {
    previous_token_ = expected;
    ++received_;
    return;
  }
  status_ = token == previous_token_ ? token_status::kDoubled : token_status::kWrong;
}

std::string HashText(std::string_view text) { return fmt::format("{:016x}", XXH64(text.data(), text.size(), 0)); }

}  // namespace persimmon
