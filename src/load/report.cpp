#include "load/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>

namespace persimmon {
namespace {

namespace bh = boost::histogram;
namespace json = boost::json;

constexpr int kBins = 1'000;  // quantiles are accurate to 1.5%
constexpr double kMinSeconds = 0.00003;
constexpr double kMaxSeconds = 100.0;
constexpr double kLateDispatchSeconds = 0.02;
constexpr std::size_t kMaxReportedFaults = 20;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

class quantile_histogram {
 public:
  void Record(double seconds) {
    bins_(std::clamp(seconds, kMinSeconds, kMaxSeconds * 0.999));
    maximum_ = std::max(maximum_, seconds);
    ++count_;
  }

  quantiles Summarize() const { return {Quantile(0.5), Quantile(0.9), Quantile(0.95), Quantile(0.99), maximum_}; }

 private:
  double Quantile(double share) const {
    const double rank = share * static_cast<double>(count_);
    double cumulative = 0;
    for (int bin = 0; bin < kBins; ++bin) {
      const double bin_count = bins_.at(bin);
      if (bin_count > 0 && cumulative + bin_count >= rank) {
        return std::min(maximum_, bins_.axis().value(bin + (rank - cumulative) / bin_count));
      }
      cumulative += bin_count;
    }
    return maximum_;
  }

  decltype(bh::make_histogram(log_axis(kBins, kMinSeconds, kMaxSeconds))) bins_ =
      bh::make_histogram(log_axis(kBins, kMinSeconds, kMaxSeconds));
  std::uint64_t count_ = 0;
  double maximum_ = 0;
};

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

void AddToWindow(window_counts& window, const request_result& result, bool in_time) {
  ++window.requests;
  window.offered_prompt_tokens += result.plan.prompt_tokens;
  window.offered_output_tokens += result.plan.output_tokens;
  if (in_time) {
    ++window.in_time;
    window.prompt_tokens_in_time += result.plan.prompt_tokens;
    window.output_tokens_in_time += result.tokens;
  }
}

const char* EndName(request_end end) {
  switch (end) {
    case request_end::kAnswered:
      return "answered";
    case request_end::kRefused:
      return "refused";
    case request_end::kLeft:
      return "left";
    case request_end::kLost:
      return "lost";
    case request_end::kDoubled:
      return "doubled";
    case request_end::kWrong:
      return "wrong";
  }
  return "lost";
}

void CountEnd(load_summary& summary, const request_result& result) {
  switch (result.end) {
    case request_end::kAnswered:
      ++summary.answered;
      break;
    case request_end::kRefused:
      ++summary.refused;
      ++summary.refusals[result.code];
      break;
    case request_end::kLeft:
      ++summary.left;
      break;
    case request_end::kLost:
      ++summary.lost;
      break;
    case request_end::kDoubled:
      ++summary.doubled;
      break;
    case request_end::kWrong:
      ++summary.wrong;
      break;
  }
  const bool fault =
      result.end == request_end::kLost || result.end == request_end::kDoubled || result.end == request_end::kWrong;
  if (fault && summary.faults.size() < kMaxReportedFaults) {
    summary.faults.push_back(fmt::format("request {} at {:.3f} s {}: {}", result.plan.number, result.plan.at_s,
                                         EndName(result.end), result.detail));
  }
}

void CountSecond(load_summary& summary, double at_s, std::uint64_t second_counts::*field, std::uint64_t amount = 1) {
  const auto second = static_cast<std::size_t>(std::max(0.0, at_s));
  if (second >= summary.seconds.size()) {
    summary.seconds.resize(second + 1);
  }
  summary.seconds[second].*field += amount;
}

// Share of model requests in time, among those with at least the given prompt length.
double ShareInTime(const std::vector<request_result>& results, const latency_targets& targets,
                   std::uint32_t minimum_prompt) {
  std::uint64_t requests = 0;
  std::uint64_t in_time = 0;
  for (const request_result& result : results) {
    if (result.plan.kind == request_kind::kModel && result.end != request_end::kLeft &&
        result.plan.prompt_tokens >= minimum_prompt) {
      ++requests;
      in_time += IsInTime(result, targets) ? 1 : 0;
    }
  }
  return Share(in_time, requests);
}

// Shortest prompt in the longest quarter of the model requests.
std::uint32_t LongestQuarterThreshold(const std::vector<request_result>& results) {
  std::vector<std::uint32_t> lengths;
  for (const request_result& result : results) {
    if (result.plan.kind == request_kind::kModel) {
      lengths.push_back(result.plan.prompt_tokens);
    }
  }
  if (lengths.empty()) {
    return 0;
  }
  const auto quartile = lengths.begin() + static_cast<std::ptrdiff_t>(lengths.size() * 3 / 4);
  std::nth_element(lengths.begin(), quartile, lengths.end());
  return *quartile;
}

json::object ToJson(const quantiles& values) {
  return {{"p50", values.p50}, {"p90", values.p90}, {"p95", values.p95}, {"p99", values.p99}, {"max", values.maximum}};
}

json::object ToJson(const window_counts& window) {
  json::object out;
  out["seconds"] = window.seconds;
  out["requests"] = window.requests;
  out["in_time"] = window.in_time;
  out["offered_prompt_tokens"] = window.offered_prompt_tokens;
  out["offered_output_tokens"] = window.offered_output_tokens;
  out["prompt_tokens_in_time"] = window.prompt_tokens_in_time;
  out["output_tokens_in_time"] = window.output_tokens_in_time;
  return out;
}

std::string FormatQuantiles(const char* name, const quantiles& values) {
  return fmt::format("{:<24} p50 {:9.2f}  p90 {:9.2f}  p95 {:9.2f}  p99 {:9.2f}  max {:9.2f} ms\n", name,
                     values.p50 * 1e3, values.p90 * 1e3, values.p95 * 1e3, values.p99 * 1e3, values.maximum * 1e3);
}

std::string FormatWindow(const char* name, const window_counts& window) {
  const double seconds = std::max(window.seconds, 0.001);
  return fmt::format(
      "{:<24} {:.1f} s: offered {:.1f} requests/s, {:.0f} prompt and {:.0f} output tokens/s; goodput {:.1f} "
      "requests/s, "
      "{:.0f} prompt and {:.0f} output tokens/s\n",
      name, seconds, static_cast<double>(window.requests) / seconds,
      static_cast<double>(window.offered_prompt_tokens) / seconds,
      static_cast<double>(window.offered_output_tokens) / seconds, static_cast<double>(window.in_time) / seconds,
      static_cast<double>(window.prompt_tokens_in_time) / seconds,
      static_cast<double>(window.output_tokens_in_time) / seconds);
}

}  // namespace

bool IsInTime(const request_result& result, const latency_targets& targets) {
  if (result.end != request_end::kAnswered) {
    return false;
  }
  if (result.plan.kind == request_kind::kModel && !result.plan.stream) {
    // Only the time of the complete answer is known. Meeting both targets implies this limit.
    return result.first_token_s <= targets.first_token_s + targets.token_interval_s * result.tokens;
  }
  return result.first_token_s <= targets.first_token_s && result.token_interval_s <= targets.token_interval_s;
}

load_summary SummarizeResults(const std::vector<request_result>& results, const latency_targets& targets,
                              const traffic_generator& traffic, double duration_s) {
  load_summary summary;
  quantile_histogram first_token;
  quantile_histogram interval;
  quantile_histogram service;
  quantile_histogram refusal;
  summary.duration_s = duration_s;
  summary.all.seconds = duration_s;
  summary.plateau.seconds = traffic.PlateauEnd() - traffic.PlateauBegin();
  for (const request_result& result : results) {
    const bool in_time = IsInTime(result, targets);
    ++summary.sent;
    CountEnd(summary, result);
    summary.in_time += in_time ? 1 : 0;
    summary.returned += result.returned ? 1 : 0;
    summary.resent += result.resent ? 1 : 0;
    CountSecond(summary, result.plan.at_s, &second_counts::arrivals);
    if (in_time) {
      CountSecond(summary, result.ended_s, &second_counts::in_time);
      CountSecond(summary, result.plan.at_s, &second_counts::arrivals_in_time);
      CountSecond(summary, result.plan.at_s, &second_counts::prompt_tokens_in_time, result.plan.prompt_tokens);
      CountSecond(summary, result.plan.at_s, &second_counts::output_tokens_in_time, result.tokens);
    }
    if (result.end == request_end::kRefused) {
      CountSecond(summary, result.ended_s, &second_counts::refused);
    }
    AddToWindow(summary.all, result, in_time);
    if (result.plan.at_s >= traffic.PlateauBegin() && result.plan.at_s < traffic.PlateauEnd()) {
      AddToWindow(summary.plateau, result, in_time);
    }
    if (result.refusal_s > 0) {
      refusal.Record(result.refusal_s);
    }
    if (result.end != request_end::kAnswered) {
      continue;
    }
    if (result.plan.kind != request_kind::kModel) {
      service.Record(result.first_token_s);
    } else if (result.plan.stream) {
      ++summary.streamed;
      first_token.Record(result.first_token_s);
      interval.Record(result.token_interval_s);
      summary.first_token_in_time += result.first_token_s <= targets.first_token_s ? 1 : 0;
      summary.interval_in_time += result.token_interval_s <= targets.token_interval_s ? 1 : 0;
    }
  }
  summary.share_in_time = ShareInTime(results, targets, 0);
  summary.longest_quarter_in_time = ShareInTime(results, targets, LongestQuarterThreshold(results));
  summary.first_token_s = first_token.Summarize();
  summary.token_interval_s = interval.Summarize();
  summary.service_s = service.Summarize();
  summary.refusal_s = refusal.Summarize();
  return summary;
}

std::string FormatText(const load_summary& summary) {
  std::string text;
  text += fmt::format(
      "offered                  {} requests in {:.1f} s; {} requests were sent more than {:.0f} ms after their planned "
      "time\n",
      summary.sent, summary.duration_s, summary.late_dispatches, kLateDispatchSeconds * 1e3);
  text += fmt::format("answered                 {}, in time {} ({:.1f}% of offered)\n", summary.answered,
                      summary.in_time, 100 * Share(summary.in_time, summary.sent));
  text += fmt::format(
      "callers                  {} disconnected, {} retried after a refusal, {} resent after a broken connection\n",
      summary.left, summary.returned, summary.resent);
  text += FormatWindow("whole run", summary.all);
  text += FormatWindow("plateau", summary.plateau);
  text += fmt::format("model requests in time   {:.1f}% of all, {:.1f}% of the longest quarter of prompts\n",
                      100 * summary.share_in_time, 100 * summary.longest_quarter_in_time);
  text += FormatQuantiles("time to first token", summary.first_token_s);
  text += FormatQuantiles("token interval", summary.token_interval_s);
  text += FormatQuantiles("service answers", summary.service_s);
  text += FormatQuantiles("refusals", summary.refusal_s);
  for (const auto& [code, count] : summary.refusals) {
    text += fmt::format("refused                  {} {}\n", code, count);
  }
  text += fmt::format("faults                   {} lost, {} doubled, {} wrong\n", summary.lost, summary.doubled,
                      summary.wrong);
  for (const std::string& fault : summary.faults) {
    text += fmt::format("fault                    {}\n", fault);
  }
  return text;
}

std::string FormatJson(const load_summary& summary) {
  json::object out;
  out["sent"] = summary.sent;
  out["answered"] = summary.answered;
  out["refused"] = summary.refused;
  out["left"] = summary.left;
  out["lost"] = summary.lost;
  out["doubled"] = summary.doubled;
  out["wrong"] = summary.wrong;
  out["in_time"] = summary.in_time;
  out["streamed"] = summary.streamed;
  out["first_token_in_time"] = summary.first_token_in_time;
  out["interval_in_time"] = summary.interval_in_time;
  out["returned"] = summary.returned;
  out["resent"] = summary.resent;
  out["late_dispatches"] = summary.late_dispatches;
  out["duration_s"] = summary.duration_s;
  out["share_in_time"] = summary.share_in_time;
  out["longest_quarter_in_time"] = summary.longest_quarter_in_time;
  out["all"] = ToJson(summary.all);
  out["plateau"] = ToJson(summary.plateau);
  out["first_token_s"] = ToJson(summary.first_token_s);
  out["token_interval_s"] = ToJson(summary.token_interval_s);
  out["service_s"] = ToJson(summary.service_s);
  out["refusal_s"] = ToJson(summary.refusal_s);
  json::object refusals;
  for (const auto& [code, count] : summary.refusals) {
    refusals[code] = count;
  }
  out["refusals"] = std::move(refusals);
  json::array seconds;
  for (const second_counts& second : summary.seconds) {
    seconds.push_back(json::object{{"arrivals", second.arrivals},
                                   {"in_time", second.in_time},
                                   {"refused", second.refused},
                                   {"arrivals_in_time", second.arrivals_in_time},
                                   {"prompt_tokens_in_time", second.prompt_tokens_in_time},
                                   {"output_tokens_in_time", second.output_tokens_in_time}});
  }
  out["seconds"] = std::move(seconds);
  json::array faults;
  for (const std::string& fault : summary.faults) {
    faults.push_back(json::string(fault));
  }
  out["faults"] = std::move(faults);
  return json::serialize(out) + "\n";
}

namespace {

constexpr double kPlotWidth = 900;
constexpr double kPlotHeight = 380;
constexpr double kPlotLeft = 60;
constexpr double kPlotRight = 20;
constexpr double kPlotTop = 40;
constexpr double kPlotBottom = 50;
constexpr double kTickCount = 5;

// Tick spacing: 1, 2 or 5 times a power of ten, so that at most kTickCount ticks cover the maximum.
double TickStep(double maximum) {
  const double raw = std::max(maximum / kTickCount, 1.0);
  const double power = std::pow(10.0, std::floor(std::log10(raw)));
  for (const double factor : {1.0, 2.0, 5.0, 10.0}) {
    if (factor * power >= raw) {
      return factor * power;
    }
  }
  return 10 * power;
}

struct plot_scale {
  double seconds = 1;
  double maximum = 1;

  double X(double second) const { return kPlotLeft + (kPlotWidth - kPlotLeft - kPlotRight) * second / seconds; }
  double Y(double value) const {
    return kPlotHeight - kPlotBottom - (kPlotHeight - kPlotTop - kPlotBottom) * value / maximum;
  }
};

std::string PlotLine(const load_summary& summary, const plot_scale& scale, std::uint64_t second_counts::*field,
                     const char* color) {
  std::string points;
  for (std::size_t i = 0; i < summary.seconds.size(); ++i) {
    const auto value = static_cast<double>(summary.seconds[i].*field);
    points += fmt::format("{:.1f},{:.1f} ", scale.X(static_cast<double>(i) + 0.5), scale.Y(value));
  }
  return fmt::format("<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"2\" points=\"{}\"/>\n", color, points);
}

std::string PlotAxes(const plot_scale& scale) {
  std::string svg;
  const double step = TickStep(scale.maximum);
  for (double value = 0; value <= scale.maximum; value += step) {
    svg += fmt::format(
        "<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" y2=\"{:.1f}\" stroke=\"#dddddd\"/>"
        "<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"end\">{:g}</text>\n",
        scale.X(0), scale.Y(value), scale.X(scale.seconds), scale.Y(value), kPlotLeft - 6, scale.Y(value) + 4, value);
  }
  const double time_step = TickStep(scale.seconds * kTickCount / 10);
  for (double second = 0; second <= scale.seconds; second += time_step) {
    svg += fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"middle\">{:g}</text>\n", scale.X(second),
                       kPlotHeight - kPlotBottom + 18, second);
  }
  svg += fmt::format(
      "<path d=\"M{0:.1f} {1:.1f} V{2:.1f} H{3:.1f}\" fill=\"none\" stroke=\"black\"/>\n"
      "<text x=\"{4:.1f}\" y=\"{5:.1f}\" text-anchor=\"middle\">seconds</text>\n"
      "<text x=\"16\" y=\"{6:.1f}\" transform=\"rotate(-90 16 {6:.1f})\" text-anchor=\"middle\">requests per "
      "second</text>\n",
      scale.X(0), kPlotTop, scale.Y(0), scale.X(scale.seconds), scale.X(scale.seconds / 2), kPlotHeight - 12,
      kPlotHeight / 2);
  return svg;
}

}  // namespace

std::string FormatPlot(const load_summary& summary) {
  plot_scale scale;
  scale.seconds = std::max<double>(1, static_cast<double>(summary.seconds.size()));
  for (const second_counts& second : summary.seconds) {
    scale.maximum =
        std::max(scale.maximum, static_cast<double>(std::max({second.arrivals, second.in_time, second.refused})));
  }
  struct series {
    const char* name;
    const char* color;
    std::uint64_t second_counts::*field;
  };
  const std::vector<series> all = {{"arrivals", "#1f4e9c", &second_counts::arrivals},
                                   {"answers in time", "#2a8a3e", &second_counts::in_time},
                                   {"refusals", "#c0392b", &second_counts::refused}};
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" viewBox=\"0 0 {0} {1}\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n",
      kPlotWidth, kPlotHeight);
  svg += PlotAxes(scale);
  double legend = kPlotLeft + 10;
  for (const series& item : all) {
    svg += PlotLine(summary, scale, item.field, item.color);
    svg += fmt::format(
        "<line x1=\"{0:.0f}\" y1=\"20\" x2=\"{1:.0f}\" y2=\"20\" stroke=\"{2}\" stroke-width=\"2\"/>"
        "<text x=\"{3:.0f}\" y=\"24\">{4}</text>\n",
        legend, legend + 24, item.color, legend + 30, item.name);
    legend += 160;
  }
  return svg + "</svg>\n";
}

std::string FormatCounts(const load_summary& summary) {
  return fmt::format("sent {} answered {} refused {} lost {} doubled {}", summary.sent, summary.answered,
                     summary.refused, summary.lost, summary.doubled);
}

}  // namespace persimmon
