// Traces: W3C traceparent between hops, one span per hop, spans written as OTLP JSON.
//
//   span work = tracer.StartSpan("prefill", parent);     // parent: traceparent text of the hop before, or empty
//   work.SetAttribute("endpoint", name);
//   Send(..., work.Traceparent());
//   tracer.EndSpan(std::move(work));
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "persimmon/error.h"

namespace persimmon {

struct trace_context {
  std::string trace_id;  // 32 hexadecimal characters
  std::string span_id;   // 16 hexadecimal characters

  bool operator==(const trace_context&) const = default;
};

// Reads "00-<trace id>-<span id>-<flags>". Errors: kInvalid.
result<trace_context> ParseTraceparent(std::string_view text);
std::string FormatTraceparent(const trace_context& context);

struct span {
  std::string name;
  trace_context context;
  std::string parent_span_id;  // empty: the first span of its trace
  std::uint64_t start_unix_ns = 0;
  std::uint64_t end_unix_ns = 0;
  bool failed = false;
  std::vector<std::pair<std::string, std::string>> attributes;

  bool operator==(const span&) const = default;
  std::string Traceparent() const { return FormatTraceparent(context); }
  void SetAttribute(std::string key, std::string value) { attributes.emplace_back(std::move(key), std::move(value)); }
};

// Collects finished spans and passes them in batches, as OTLP JSON (ExportTraceServiceRequest), to a sink.
class tracer {
 public:
  using sink = std::function<void(const std::string& otlp_json)>;

  // Without a sink spans are dropped, but contexts are still passed on.
  tracer(std::string service_name, sink export_batch);

  // A span whose parent text is empty or malformed starts a new trace.
  span StartSpan(std::string name, std::string_view parent_traceparent) const;
  void EndSpan(span finished);

  // Exports what has been collected. Called by a timer and at the end of the program.
  void Flush();

 private:
  std::string service_name_;
  sink export_batch_;
  std::vector<span> finished_;
};

// A sink that appends one line per batch to a file.
tracer::sink MakeFileSink(const std::string& path);

// One batch of spans as OTLP JSON.
std::string FormatSpans(const std::string& service_name, const std::vector<span>& spans);

}  // namespace persimmon
