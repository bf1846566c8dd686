// Counters, gauges and latency histograms (Boost.Histogram), exported in the Prometheus text format.
//
//   metrics_registry metrics;
//   counter& refusals = metrics.AddCounter("persimmon_refusals_total", "Refused requests.", {{"code", "queue_full"}});
//   refusals.Increment();
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

using metric_labels = std::vector<std::pair<std::string, std::string>>;

class counter {
 public:
  void Increment(std::uint64_t amount = 1) { value_ += amount; }
  std::uint64_t Value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

class gauge {
 public:
  void Set(double value) { value_ = value; }
  double Value() const { return value_; }

 private:
  double value_ = 0;
};

// Histogram of latencies from 0.05 ms to 100 s with 120 logarithmic bins; the error of a quantile is at most 13%.
class latency_histogram {
 public:
  latency_histogram();
  ~latency_histogram();
  latency_histogram(const latency_histogram&) = delete;
  latency_histogram& operator=(const latency_histogram&) = delete;

  void Record(microseconds latency);
  std::uint64_t Count() const;
  double SumSeconds() const;
  double Quantile(double quantile) const;  // seconds; 0 if nothing was recorded

  // Cumulative counts: for each bound (seconds), the number of recorded latencies up to it.
  std::vector<std::uint64_t> CumulativeCounts(const std::vector<double>& bounds) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

class metrics_registry {
 public:
  metrics_registry();
  ~metrics_registry();
  metrics_registry(const metrics_registry&) = delete;
  metrics_registry& operator=(const metrics_registry&) = delete;

  // Return the metric with that name and labels, creating it on first use. Cheap enough to call for every request. The
  // returned references stay valid.
  counter& AddCounter(const std::string& name, const std::string& help, const metric_labels& labels = {});
  gauge& AddGauge(const std::string& name, const std::string& help, const metric_labels& labels = {});
  latency_histogram& AddLatencyHistogram(const std::string& name, const std::string& help,
                                         const metric_labels& labels = {});

  std::string RenderText() const;

 private:
  template <class metric>
  struct family;
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace persimmon
