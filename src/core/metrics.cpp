#include "core/metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace persimmon {
namespace {

namespace bh = boost::histogram;

constexpr int kBins = 120;
constexpr double kMinSeconds = 0.00005;
constexpr double kMaxSeconds = 100.0;
const std::vector<double> kBucketBounds = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                           0.5,   1.0,    1.3,   2.5,  5.0,   10.0, 30.0};

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

std::string RenderLabels(const metric_labels& labels, const std::string& extra = {}) {
  std::string text;
  for (const auto& [name, value] : labels) {
    text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, value);
  }
  if (!extra.empty()) {
    text += (text.empty() ? "" : ",") + extra;
  }
  return text.empty() ? "" : "{" + text + "}";
}

}  // namespace

struct latency_histogram::state {
  decltype(bh::make_histogram(log_axis(kBins, kMinSeconds, kMaxSeconds))) bins =
      bh::make_histogram(log_axis(kBins, kMinSeconds, kMaxSeconds));
  std::uint64_t count = 0;
  double sum = 0;
};

latency_histogram::latency_histogram() : state_(std::make_unique<state>()) {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::Record(microseconds latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  state_->bins(std::max(seconds, kMinSeconds));
  state_->sum += seconds;
  ++state_->count;
}

std::uint64_t latency_histogram::Count() const { return state_->count; }
double latency_histogram::SumSeconds() const { return state_->sum; }

double latency_histogram::Quantile(double quantile) const {
  const double rank = quantile * static_cast<double>(state_->count);
  double cumulative = 0;
  for (int bin = 0; bin < kBins; ++bin) {
    const double in_bin = state_->bins.at(bin);
    if (in_bin > 0 && cumulative + in_bin >= rank) {
      const auto& axis = state_->bins.axis();
      return axis.value(bin + (rank - cumulative) / in_bin);
    }
    cumulative += in_bin;
  }
  return state_->count == 0 ? 0 : kMaxSeconds;
}

std::vector<std::uint64_t> latency_histogram::CumulativeCounts(const std::vector<double>& bounds) const {
  std::vector<std::uint64_t> counts(bounds.size(), 0);
  for (int bin = 0; bin <= kBins; ++bin) {
    const double upper = bin < kBins ? state_->bins.axis().value(bin + 1) : kMaxSeconds;
    const auto in_bin = static_cast<std::uint64_t>(state_->bins.at(bin));
    for (std::size_t i = 0; i < bounds.size(); ++i) {
      counts[i] += bin < kBins && upper <= bounds[i] * 1.0001 ? in_bin : 0;
    }
  }
  return counts;
}

template <class metric>
struct metrics_registry::family {
  std::string help;
  std::map<metric_labels, metric> metrics;
};

struct metrics_registry::state {
  std::map<std::string, family<counter>> counters;
  std::map<std::string, family<gauge>> gauges;
  std::map<std::string, family<latency_histogram>> latencies;
};

metrics_registry::metrics_registry() : state_(std::make_unique<state>()) {}
metrics_registry::~metrics_registry() = default;

counter& metrics_registry::AddCounter(const std::string& name, const std::string& help, const metric_labels& labels) {
  auto& found = state_->counters[name];
  found.help = help;
  return found.metrics[labels];
}

gauge& metrics_registry::AddGauge(const std::string& name, const std::string& help, const metric_labels& labels) {
  auto& found = state_->gauges[name];
  found.help = help;
  return found.metrics[labels];
}

latency_histogram& metrics_registry::AddLatencyHistogram(const std::string& name, const std::string& help,
                                                         const metric_labels& labels) {
  auto& found = state_->latencies[name];
  found.help = help;
  return found.metrics[labels];
}

std::string metrics_registry::RenderText() const {
  std::string text;
  for (const auto& [name, family] : state_->counters) {
    text += fmt::format("# HELP {} {}\n# TYPE {} counter\n", name, family.help, name);
    for (const auto& [labels, metric] : family.metrics) {
      text += fmt::format("{}{} {}\n", name, RenderLabels(labels), metric.Value());
    }
  }
  for (const auto& [name, family] : state_->gauges) {
    text += fmt::format("# HELP {} {}\n# TYPE {} gauge\n", name, family.help, name);
    for (const auto& [labels, metric] : family.metrics) {
      text += fmt::format("{}{} {}\n", name, RenderLabels(labels), metric.Value());
    }
  }
  for (const auto& [name, family] : state_->latencies) {
    text += fmt::format("# HELP {} {}\n# TYPE {} histogram\n", name, family.help, name);
    for (const auto& [labels, metric] : family.metrics) {
      const auto counts = metric.CumulativeCounts(kBucketBounds);
      for (std::size_t i = 0; i < counts.size(); ++i) {
        const std::string bound = fmt::format("le=\"{}\"", kBucketBounds[i]);
        text += fmt::format("{}_bucket{} {}\n", name, RenderLabels(labels, bound), counts[i]);
      }
      text += fmt::format("{}_bucket{} {}\n", name, RenderLabels(labels, "le=\"+Inf\""), metric.Count());
      text += fmt::format("{}_sum{} {}\n", name, RenderLabels(labels), metric.SumSeconds());
      text += fmt::format("{}_count{} {}\n", name, RenderLabels(labels), metric.Count());
    }
  }
  return text;
}

}  // namespace persimmon
