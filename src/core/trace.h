// Distributed tracing: W3C traceparent propagation, one span per hop, export as OTLP JSON.
//
//   span work = tracer.StartSpan("prefill", parent);     // parent: caller's traceparent, or empty
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

// Parses "00-<trace id>-<span id>-<flags>". Errors: kInvalid.
result<trace_context> ParseTraceparent(std::string_view text);
std::string FormatTraceparent(const trace_context& context);

struct span {
  std::string name;
  trace_context context;
  std::string parent_span_id;  // empty: root span
  std::uint64_t start_unix_ns = 0;
  std::uint64_t end_unix_ns = 0;
  bool failed = false;
  std::vector<std::pair<std::string, std::string>> attributes;

  bool operator==(const span&) const = default;
  std::string Traceparent() const { return FormatTraceparent(context); }
  void SetAttribute(std::string key, std::string value) { attributes.emplace_back(std::move(key), std::move(value)); }
};

// Buffers finished spans and exports them in batches, as OTLP JSON (ExportTraceServiceRequest), to a sink.
class tracer {
 public:
  using sink = std::function<void(const std::string& otlp_json)>;

  // Without a sink spans are dropped, but trace contexts are still propagated.
  tracer(std::string service_name, sink export_batch);

  // An empty or malformed parent starts a new trace.
  span StartSpan(std::string name, std::string_view parent_traceparent) const;
  void EndSpan(span finished);

  // Exports the buffered spans. Called periodically and at shutdown.
  void Flush();

 private:
  std::string service_name_;
  sink export_batch_;
  std::vector<span> finished_;
};

// Sink that appends one line per batch to a file.
tracer::sink MakeFileSink(const std::string& path);

// Serializes a batch of spans as OTLP JSON.
std::string FormatSpans(const std::string& service_name, const std::vector<span>& spans);

}  // namespace persimmon
