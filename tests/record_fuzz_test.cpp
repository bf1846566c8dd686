// link: persimmon_adapter
// Entries and desired states of other writers: fields of other types, numbers out of range, deep nesting, cut texts.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/settings.h"
#include "platform/json_text.h"
#include "platform/records.h"

namespace persimmon::platform {
namespace {

using json = nlohmann::json;

constexpr std::uint64_t kMaxMilliseconds = 30ULL * 24 * 3'600 * 1'000;

json MakeEntry() {
  return {{"service", "llm"}, {"address", "10.0.0.1:8080"}, {"zone", "a"},       {"version", "v1"},
          {"slots", 16},      {"state", "ready"},           {"stage", "decode"}, {"born", 1'700},
          {"seq", 3},         {"cold_remaining_ms", 0}};
}

json MakeState() {
  const json engine = {{"slots", 16},      {"kv_capacity_tokens", 30'000}, {"stride", 10}, {"handle_ttl_s", 3.5},
                       {"hold_ms", 2'000}, {"role_switch_s", 0.5},         {"moves", true}};
  const json route = {{"name", "r"},         {"host", "h"},       {"prefix", "/a/"},         {"kind", "streaming"},
                      {"timeout_ms", 9'000}, {"service", "llm"},  {"priority", 1},           {"max_attempts", 2},
                      {"gap_aim_ms", 300},   {"resumable", true}, {"target_latency_ms", 900}};
  const json account = {{"name", "one"}, {"api_keys", {"k"}}, {"priority", 1}, {"per_s", 3.5}, {"burst", 10}};
  return {{"version", 7},
          {"routes", {route}},
          {"services", {{{"name", "llm"}, {"health_path", "/h"}, {"max_conns", 100}, {"engine", engine}}}},
          {"limits", {{"max_header_bytes", 8'192}, {"max_body_bytes", 100'000}, {"header_timeout_ms", 3'000}}},
          {"tenants", {account}}};
}

std::string Nest(std::size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

// Texts in place of a value. Some are no JSON values.
const std::vector<std::string>& OddValues() {
  static const std::vector<std::string> values = {"null",
                                                  "true",
                                                  "-1",
                                                  "0",
                                                  "0.5",
                                                  "65536",
                                                  "4294967295",
                                                  "4294967296",
                                                  "4294967305",
                                                  "9e15",
                                                  "1e16",
                                                  "1e308",
                                                  "1e999",
                                                  "-1e999",
                                                  "18446744073709551615",
                                                  "18446744073709551616",
                                                  std::string(400, '9'),
                                                  "\"\"",
                                                  "\"\\u0000\"",
                                                  "\"10.0.0.1:0\"",
                                                  "\"10.0.0.1:-1\"",
                                                  "\"10.0.0.1:65536\"",
                                                  "\"10.0.0.1:4294967305\"",
                                                  "\"[::1]:80\"",
                                                  "\"draining\"",
                                                  "\"\xff\xfe\"",
                                                  "[]",
                                                  "{}",
                                                  "[[]]",
                                                  Nest(70),
                                                  Nest(200'000),
                                                  std::string(70, '['),
                                                  '"' + std::string(100'000, 'x') + '"',
                                                  "{\"a\":" + Nest(100) + "}"};
  return values;
}

// Replaces some values anywhere in the text of a JSON value, and sometimes cuts the text.
std::string Mutate(const json& original) {
  const json flat = original.flatten();
  std::vector<std::string> paths;
  for (const auto& [path, value] : flat.items()) {
    paths.push_back(path);
  }
  json changed = original;
  std::vector<std::string> replacements;
  const auto count = *rc::gen::inRange<std::size_t>(1, 4);
  for (std::size_t i = 0; i < count; ++i) {
    const json::json_pointer path(paths[*rc::gen::inRange<std::size_t>(0, paths.size())]);
    changed[path] = "@" + std::to_string(i) + "@";
    replacements.push_back(OddValues()[*rc::gen::inRange<std::size_t>(0, OddValues().size())]);
  }
  std::string text = changed.dump();
  for (std::size_t i = 0; i < count; ++i) {
    const std::string mark = "\"@" + std::to_string(i) + "@\"";
    if (const auto position = text.find(mark); position != std::string::npos) {
      text.replace(position, mark.size(), replacements[i]);
    }
  }
  if (*rc::gen::inRange(0, 10) == 0) {
    text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
  }
  return text;
}

// Guards against odd entries that stop the process, or that name an endpoint which cannot be used.
RC_GTEST_PROP(entry_fuzz_test, ParseEndpointEntry_OfAnotherWriter_IsRejectedOrUsable, ()) {
  const std::string text = Mutate(MakeEntry());
  const auto entry = ParseEndpointEntry("i-1", text);
  if (entry) {
    RC_ASSERT(ParseHostPort(entry.value().address).has_value());
    RC_ASSERT(entry.value().version.size() <= 200U);
    const json body = json::parse(text);
    if (body.contains("slots") && body["slots"].is_number()) {
      RC_ASSERT(static_cast<double>(entry.value().slots) == std::floor(body["slots"].get<double>()));
    }
  }
}

// Guards against odd desired states that stop the process, and against times that overflow when they are added to a
// time point.
RC_GTEST_PROP(state_fuzz_test, ParseDesiredState_OfAnotherWriter_IsRejectedOrWithinItsBounds, ()) {
  const std::string text = Mutate(MakeState());
  finding_list findings;
  state_exporter exporter;
  const auto state = ParseDesiredState(text, findings, &exporter);
  if (!state) {
    return;
  }
  RC_ASSERT(state.value().Limits().header_timeout.count() <= static_cast<std::int64_t>(kMaxMilliseconds));
  if (const auto* route = state.value().FindRoute("h", "/a/1")) {
    RC_ASSERT(route->timeout.count() <= static_cast<std::int64_t>(kMaxMilliseconds));
  }
  finding_list again;
  RC_ASSERT(ParseDesiredState(exporter(), again).has_value());
}

// A number that its type cannot hold was converted all the same, which is undefined and differs between processors.
TEST(entry_range_test, SlotsBeyondTheirType_AreAFinding) {
  json entry = MakeEntry();
  entry["slots"] = 4'294'967'305U;
  EXPECT_FALSE(ParseEndpointEntry("i-1", entry.dump()));
  entry["slots"] = 4'294'967'295U;
  EXPECT_TRUE(ParseEndpointEntry("i-1", entry.dump()));
}

// The time-out of a route is added to the time of each request.
TEST(state_range_test, TimeoutBeyondAMonth_IsAFinding) {
  json state = MakeState();
  state["routes"][0]["timeout_ms"] = 8e15;
  finding_list findings;
  const auto parsed = ParseDesiredState(state.dump(), findings);
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed.value().RouteCount(), 0U);
  EXPECT_EQ(findings.size(), 1U);
}

// Guards against the recursion of copies and of the export.
TEST(json_text_test, Text_NestedDeeply_IsNoValue) {
  EXPECT_TRUE(ParseJson(Nest(64)).is_array());
  EXPECT_TRUE(ParseJson(Nest(65)).is_discarded());
  EXPECT_TRUE(ParseJson(Nest(1'000'000)).is_discarded());
  EXPECT_TRUE(ParseJson(json(std::string(100, '[')).dump()).is_string());
}

// An entry with a long version would make the record of the versions too large for its row.
TEST(entry_range_test, VersionBeyondItsLength_IsAFinding) {
  json entry = MakeEntry();
  entry["version"] = std::string(201, 'v');
  EXPECT_FALSE(ParseEndpointEntry("i-1", entry.dump()));
}

}  // namespace
}  // namespace persimmon::platform
