// Kernel service that owns the metrics and the tracer of a process.
#pragma once

#include <string>

#include "core/kernel.h"
#include "core/metrics.h"
#include "core/trace.h"

namespace persimmon {

class telemetry {
 public:
  // If trace_file is empty, spans are dropped.
  telemetry(kernel& services, std::string process_name, const std::string& trace_file)
      : kernel_(services),
        tracer_(std::move(process_name), trace_file.empty() ? tracer::sink() : MakeFileSink(trace_file)) {}

  void Start() {
    flush_timer_ = kernel_.Timers().SubscribeEvery(milliseconds(500), 0.2, [this] { tracer_.Flush(); });
  }
  void Stop() {
    flush_timer_.Cancel();
    tracer_.Flush();
  }

  metrics_registry& Metrics() { return metrics_; }
  tracer& Tracer() { return tracer_; }

 private:
  kernel& kernel_;
  metrics_registry metrics_;
  tracer tracer_;
  timer_subscription flush_timer_;
};

}  // namespace persimmon
