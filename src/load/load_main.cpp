// Generates open-loop load for the routers, verifies every answer and reports which met the latency targets.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

#include "core/program.h"
#include "core/random.h"
#include "load/load_run.h"

DEFINE_string(targets, "", "IP:PORT,... of the routers; each request goes to a random one");
DEFINE_string(profile, "steady", "steady, or surge: ramp-up, plateau for three quarters of the duration, ramp-down");
DEFINE_double(rate, 10, "requests/s");
DEFINE_double(surge_factor, 1.5, "surge: plateau rate as a multiple of --rate");
DEFINE_double(duration_s, 10, "time during which requests are started; 80 gives a surge a plateau of one minute");
DEFINE_uint64(seed, 1, "seed for arrival times, sizes and kinds of requests");
DEFINE_string(run_id, "", "makes idempotency keys and prompts unique to this run; random by default");
DEFINE_string(model, "", "model name in model requests; empty sends none");
DEFINE_string(prompt_tokens, "20-2000", "prompt length, MIN-MAX (log-uniform) or a mix WEIGHT:MIN-MAX,...");
DEFINE_string(max_tokens, "16-64", "output length, MIN-MAX (log-uniform) or a mix WEIGHT:MIN-MAX,...");
DEFINE_double(shared_prefix_share, 0, "fraction of prompts that start with a shared prefix");
DEFINE_uint32(shared_prefix_tokens, 512, "length of each shared prefix in tokens");
DEFINE_uint32(shared_prefixes, 8, "number of different shared prefixes");
DEFINE_double(stream_share, 1, "fraction of model requests streamed as server-sent events");
DEFINE_string(service_path, "", "path prefix of a plain service; empty sends no service requests");
DEFINE_double(service_share, 0.2, "fraction of requests that go to the service, if model requests are sent as well");
DEFINE_double(post_share, 0.5, "fraction of service requests that are POSTs with an Idempotency-Key");
DEFINE_string(service_hosts, "", "IP:PORT,... of fake services whose call counts are verified after the run");
DEFINE_double(leave_share, 0, "fraction of callers that disconnect before their answer is complete");
DEFINE_double(leave_after_min_s, 0.05, "shortest time after which such a caller disconnects");
DEFINE_double(leave_after_max_s, 2, "longest time after which such a caller disconnects");
DEFINE_double(return_share, 0, "fraction of refused callers that retry once after the Retry-After delay");
DEFINE_string(api_key, "", "sent as Authorization: Bearer");
DEFINE_double(timeout_s, 30, "time limit for one answer");
DEFINE_double(first_token_ms, 1300, "target for the time to first token");
DEFINE_double(token_interval_ms, 58, "target for the mean time between the tokens of an answer");
DEFINE_string(json, "", "write the report as JSON to this file");
DEFINE_string(plot, "", "write an SVG plot of the run to this file");
DEFINE_bool(progress, true, "print a progress line per second to standard error");

namespace persimmon {
namespace {

constexpr int kExitWrongAnswers = 3;  // lost, doubled or wrong answers

// Parses flags and collects all errors, so that they can be reported together.
class flag_reader {
 public:
  std::vector<host_port> ParseAddresses(const char* name, const std::string& text) {
    std::vector<host_port> addresses;
    std::size_t begin = 0;
    while (begin < text.size()) {
      const auto end = std::min(text.find(',', begin), text.size());
      auto address = ParseHostPort(text.substr(begin, end - begin));
      if (address) {
        addresses.push_back(address.value());
      } else {
        Add(name, address.error().message);
      }
      begin = end + 1;
    }
    return addresses;
  }

  size_mix ParseMix(const char* name, const std::string& text) {
    auto mix = ParseSizeMix(text);
    if (!mix) {
      Add(name, mix.error().message);
      return {};
    }
    return mix.value();
  }

  void CheckShare(const char* name, double value) { Check(value >= 0 && value <= 1, name, "must be from 0 to 1"); }
  void CheckPositive(const char* name, double value) { Check(value > 0, name, "must be greater than 0"); }

  void Check(bool valid, const char* name, const std::string& message) {
    if (!valid) {
      Add(name, message);
    }
  }

  const finding_list& Findings() const { return findings_; }

 private:
  void Add(const char* name, const std::string& message) { findings_.push_back({fmt::format("--{}", name), message}); }

  finding_list findings_;
};

load_run_settings ReadFlags(flag_reader& reader) {
  load_run_settings settings;
  traffic_settings& traffic = settings.traffic;
  settings.targets = reader.ParseAddresses("targets", FLAGS_targets);
  settings.services = reader.ParseAddresses("service_hosts", FLAGS_service_hosts);
  settings.api_key = FLAGS_api_key;
  settings.timeout_s = FLAGS_timeout_s;
  settings.latency = {FLAGS_first_token_ms / 1e3, FLAGS_token_interval_ms / 1e3};
  settings.show_progress = FLAGS_progress;
  traffic.profile = FLAGS_profile == "surge" ? load_profile::kSurge : load_profile::kSteady;
  traffic.rate = FLAGS_rate;
  traffic.surge_factor = FLAGS_surge_factor;
  traffic.duration_s = FLAGS_duration_s;
  traffic.seed = FLAGS_seed;
  traffic.run_id = FLAGS_run_id.empty() ? RandomHex(8) : FLAGS_run_id;
  traffic.model = FLAGS_model;
  traffic.prompt_tokens = reader.ParseMix("prompt_tokens", FLAGS_prompt_tokens);
  traffic.output_tokens = reader.ParseMix("max_tokens", FLAGS_max_tokens);
  traffic.shared_prefix_share = FLAGS_shared_prefix_share;
  traffic.shared_prefix_tokens = FLAGS_shared_prefix_tokens;
  traffic.shared_prefixes = FLAGS_shared_prefixes;
  traffic.stream_share = FLAGS_stream_share;
  traffic.service_path = FLAGS_service_path;
  traffic.service_share = FLAGS_service_share;
  traffic.post_share = FLAGS_post_share;
  traffic.leave_share = FLAGS_leave_share;
  traffic.leave_after_min_s = FLAGS_leave_after_min_s;
  traffic.leave_after_max_s = FLAGS_leave_after_max_s;
  traffic.return_share = FLAGS_return_share;
  reader.Check(!settings.targets.empty(), "targets", "at least one IP:PORT is required");
  reader.Check(FLAGS_profile == "surge" || FLAGS_profile == "steady", "profile", "must be steady or surge");
  reader.Check(!traffic.model.empty() || !traffic.service_path.empty(), "model",
               "--model or --service_path is required");
  reader.Check(traffic.service_path.empty() || traffic.service_path.front() == '/', "service_path",
               "must start with /");
  reader.Check(traffic.shared_prefixes > 0, "shared_prefixes", "must be greater than 0");
  reader.Check(traffic.leave_after_min_s > 0 && traffic.leave_after_max_s >= traffic.leave_after_min_s,
               "leave_after_min_s", "must be greater than 0 and at most --leave_after_max_s");
  reader.CheckPositive("rate", traffic.rate);
  reader.CheckPositive("surge_factor", traffic.surge_factor);
  reader.CheckPositive("duration_s", traffic.duration_s);
  reader.CheckPositive("timeout_s", settings.timeout_s);
  reader.CheckShare("shared_prefix_share", traffic.shared_prefix_share);
  reader.CheckShare("stream_share", traffic.stream_share);
  reader.CheckShare("service_share", traffic.service_share);
  reader.CheckShare("post_share", traffic.post_share);
  reader.CheckShare("leave_share", traffic.leave_share);
  reader.CheckShare("return_share", traffic.return_share);
  return settings;
}

// Writes a file unless the path is empty. On failure, prints a message and returns false.
bool WriteFile(const std::string& path, const std::string& text) {
  if (path.empty()) {
    return true;
  }
  std::ofstream file(path);
  file << text;
  file.close();
  if (!file) {
    fmt::print(stderr, "persimmon-load: cannot write {}\n", path);
    return false;
  }
  return true;
}

}  // namespace
}  // namespace persimmon

int main(int argc, char** argv) {
  using namespace persimmon;
  gflags::SetVersionString(kProgramVersion);
  gflags::SetUsageMessage(
      "Generates open-loop load, verifies every answer and reports which met the latency targets.\n"
      "Usage: persimmon-load --targets IP:PORT,... --model NAME --rate N [--profile surge] [--json FILE]\n"
      "Exit codes: 0 no incorrect answers, 1 a file could not be written, 2 invalid command line, 3 lost, doubled or "
      "wrong answers");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  flag_reader reader;
  const load_run_settings settings = ReadFlags(reader);
  if (!reader.Findings().empty()) {
    fmt::print(stderr, "{}", FormatFindings(reader.Findings()));
    return kExitSettings;
  }
  const load_summary summary = RunLoad(settings);
  fmt::print("{}", FormatText(summary));
  const bool written = WriteFile(FLAGS_json, FormatJson(summary)) && WriteFile(FLAGS_plot, FormatPlot(summary));
  fmt::print("{}\n", FormatCounts(summary));
  if (!written) {
    return kExitFailure;
  }
  return summary.lost + summary.doubled + summary.wrong == 0 ? kExitSuccess : kExitWrongAnswers;
}
