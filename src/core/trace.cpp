#include "core/trace.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cstdio>

#include "core/random.h"

namespace persimmon {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxBufferedSpans = 512;
constexpr std::size_t kTraceparentLength = 55;
constexpr int kOtlpStatusError = 2;

std::uint64_t UnixNanoseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::nanoseconds>(now).count());
}

bool IsHex(std::string_view text) { return text.find_first_not_of("0123456789abcdef") == std::string_view::npos; }

bool IsZero(std::string_view text) { return text.find_first_not_of('0') == std::string_view::npos; }

json::object MakeAttributeJson(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

json::object MakeSpanJson(const span& item) {
  json::array attributes;
  for (const auto& [key, value] : item.attributes) {
    attributes.push_back(MakeAttributeJson(key, value));
  }
  json::object text;
  text["traceId"] = item.context.trace_id;
  text["spanId"] = item.context.span_id;
  text["parentSpanId"] = item.parent_span_id;
  text["name"] = item.name;
  text["startTimeUnixNano"] = std::to_string(item.start_unix_ns);
  text["endTimeUnixNano"] = std::to_string(item.end_unix_ns);
  text["attributes"] = std::move(attributes);
  if (item.failed) {
    text["status"] = json::object{{"code", kOtlpStatusError}};
  }
  return text;
}

}  // namespace

result<trace_context> ParseTraceparent(std::string_view text) {
  const error malformed{error_code::kInvalid, "traceparent is malformed"};
  if (text.size() != kTraceparentLength || text[2] != '-' || text[35] != '-' || text[52] != '-') {
    return malformed;
  }
  const std::string_view trace_id = text.substr(3, 32);
  const std::string_view span_id = text.substr(36, 16);
  if (!IsHex(trace_id) || !IsHex(span_id) || IsZero(trace_id) || IsZero(span_id)) {
    return malformed;
  }
  return trace_context{std::string(trace_id), std::string(span_id)};
}

std::string FormatTraceparent(const trace_context& context) {
  return "00-" + context.trace_id + "-" + context.span_id + "-01";
}

tracer::tracer(std::string service_name, sink export_batch)
    : service_name_(std::move(service_name)), export_batch_(std::move(export_batch)) {}

span tracer::StartSpan(std::string name, std::string_view parent_traceparent) const {
  span started;
  started.name = std::move(name);
  started.start_unix_ns = UnixNanoseconds();
  started.context.span_id = RandomHex(16);
  auto parent = ParseTraceparent(parent_traceparent);
  if (parent) {
    started.context.trace_id = parent.value().trace_id;
    started.parent_span_id = parent.value().span_id;
  } else {
    started.context.trace_id = RandomHex(32);
  }
  return started;
}

void tracer::EndSpan(span finished) {
  if (!export_batch_) {
    return;
  }
  finished.end_unix_ns = UnixNanoseconds();
  finished_.push_back(std::move(finished));
  if (finished_.size() >= kMaxBufferedSpans) {
    Flush();
  }
}

void tracer::Flush() {
  if (export_batch_ && !finished_.empty()) {
    export_batch_(FormatSpans(service_name_, finished_));
  }
  finished_.clear();
}

tracer::sink MakeFileSink(const std::string& path) {
  return [path](const std::string& otlp_json) {
    if (std::FILE* file = std::fopen(path.c_str(), "a")) {
      const std::string line = otlp_json + "\n";
      std::fwrite(line.data(), 1, line.size(), file);
      std::fclose(file);
    }
  };
}

std::string FormatSpans(const std::string& service_name, const std::vector<span>& spans) {
  json::array items;
  for (const span& item : spans) {
    items.push_back(MakeSpanJson(item));
  }
  json::object scope{{"scope", {{"name", "persimmon"}}}, {"spans", std::move(items)}};
  json::object resource{{"attributes", json::array{MakeAttributeJson("service.name", service_name)}}};
  json::object group{{"resource", std::move(resource)}, {"scopeSpans", json::array{std::move(scope)}}};
  return json::serialize(json::object{{"resourceSpans", json::array{std::move(group)}}});
}

}  // namespace persimmon
