// Tests for three failures: a rewrite that drops fields of a record, validation that stops at the first problem, and an
// invalid record that is applied in part.
#include "persimmon/records.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace persimmon {
namespace {

using json = nlohmann::json;

const std::string kHash(64, 'a');

json ValidRecord(const std::string& kind, int schema, const std::string& name) {
  const bool is_schema_2 = schema == 2;
  json value = {{"kind", kind}, {"name", name}, {"schema", schema}, {"version", 3}};
  if (kind == "pool") {
    const json targets = {{"first_token_ms", 900}, {"token_interval_ms", 40}};
    value["type"] = "model";
    if (is_schema_2) {
      value["targets"] = targets;
    } else {
      value.update(targets);
    }
  } else if (kind == "model") {
    value["pool"] = "p";
    value[is_schema_2 ? "versions" : "version_name"] = is_schema_2 ? json({"v1"}) : json("v1");
  } else if (kind == "adapter") {
    value[is_schema_2 ? "models" : "model"] = is_schema_2 ? json({"m"}) : json("m");
  } else if (kind == "endpoint") {
    value.update({{"pool", "p"}, {"address", "127.0.0.1:7001"}, {"zone", "sofia-a"}, {"state", "draining"}});
    value[is_schema_2 ? "roles" : "role"] = is_schema_2 ? json({"decode"}) : json("decode");
  } else {
    const json limits = {{"tokens_per_second", 500}, {"burst_tokens", 9000}, {"connections", 7}};
    value.update({{"api_key_sha256", kHash}, {"priority", -2}, {"weight", 2.5}});
    if (is_schema_2) {
      value["limits"] = limits;
    } else {
      value.update(limits);
    }
  }
  return value;
}

rc::Gen<std::string> GenKind() {
  return rc::gen::element<std::string>("pool", "model", "adapter", "endpoint", "account");
}

// Generates a JSON value nested at most `depth` levels deep.
json GenValue(int depth) {
  const int choice = *rc::gen::inRange(0, depth > 0 ? 7 : 5);
  switch (choice) {
    case 0:
      return *rc::gen::arbitrary<std::int64_t>();
    case 1:
      return *rc::gen::element<std::string>("", "text", "ünïcode \" \\ \n", "null");
    case 2:
      return *rc::gen::arbitrary<bool>();
    case 3:
      return static_cast<double>(*rc::gen::inRange(-1000, 1000)) / 8.0;
    case 4:
      return *rc::gen::arbitrary<std::uint64_t>();
    case 5: {
      json list = json::array();
      for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        list.push_back(GenValue(depth - 1));
      }
      return list;
    }
    default: {
      json object = json::object();
      for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        object["inner_" + std::to_string(i)] = GenValue(depth - 1);
      }
      return object;
    }
  }
}

// Generates unknown fields, at the top level and inside the nested objects of schema 2.
json GenUnknownFields(const std::string& kind) {
  json fields = json::object();
  for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
    fields["future_" + std::to_string(i)] = GenValue(2);
  }
  if (kind == "pool" && *rc::gen::arbitrary<bool>()) {
    fields["targets"] = {{"future_percentile", 95}};
  }
  if (kind == "account" && *rc::gen::arbitrary<bool>()) {
    fields["limits"] = {{"future_requests", 11}};
  }
  return fields;
}

// True if `whole` has every field of `part` with an equal value; objects are compared recursively.
bool Contains(const json& whole, const json& part) {
  if (!part.is_object() || !whole.is_object()) {
    return whole == part;
  }
  for (const auto& [name, value] : part.items()) {
    if (!whole.contains(name) || !Contains(whole[name], value)) {
      return false;
    }
  }
  return true;
}

// ---------------------------------------------------------------------------------------------------------------------
// unknown fields
// ---------------------------------------------------------------------------------------------------------------------

RC_GTEST_PROP(records_property, Convert_ThereAndBack_KeepsUnknownFieldsAndMeaning, ()) {
  const std::string kind = *GenKind();
  const int schema = *rc::gen::inRange(1, 3);
  const json unknown = GenUnknownFields(kind);
  json original = ValidRecord(kind, schema, "x");
  original.merge_patch(unknown);
  finding_list findings;
  const auto before = ParseRecord(original.dump(), findings);
  RC_ASSERT(FormatFindings(findings) == "");
  const auto converted = ConvertRecord(original.dump(), 3 - schema);
  RC_ASSERT(converted.has_value());
  const auto after = ParseRecord(converted.value(), findings);
  RC_ASSERT(FormatFindings(findings) == "");
  RC_ASSERT(before.value() == after.value());
  RC_ASSERT(Contains(json::parse(converted.value()), unknown));
  const auto back = ConvertRecord(converted.value(), schema);
  RC_ASSERT(back.has_value());
  RC_ASSERT(json::parse(back.value()) == original);
}

RC_GTEST_PROP(records_property, Replace_ByEitherSchema_KeepsUnknownFieldsOfTheStoredRecord, ()) {
  const std::string kind = *GenKind();
  const int stored_schema = *rc::gen::inRange(1, 3);
  const int written_schema = *rc::gen::inRange(1, 3);
  const json unknown = GenUnknownFields(kind);
  json stored = ValidRecord(kind, stored_schema, "x");
  stored.merge_patch(unknown);
  const json replacement = ValidRecord(kind, written_schema, "x");
  const auto written = ReplaceRecord(stored.dump(), replacement.dump(), 12);
  RC_ASSERT(written.has_value());
  RC_ASSERT(Contains(json::parse(written.value()), unknown));
  RC_ASSERT(RecordVersion(written.value()).value() == 12U);
  finding_list findings;
  RC_ASSERT(ParseRecord(written.value(), findings).value() == ParseRecord(replacement.dump(), findings).value());
  RC_ASSERT(FormatFindings(findings) == "");
}

TEST(records_test, Replace_WhenReplacementHasAnUnknownField_OverridesTheStoredOne) {
  json stored = ValidRecord("model", 2, "m");
  stored["future"] = 1;
  stored["other"] = 2;
  json replacement = ValidRecord("model", 1, "m");
  replacement["future"] = 5;
  replacement["other"] = nullptr;
  const json written = json::parse(ReplaceRecord(stored.dump(), replacement.dump(), 4).value());
  EXPECT_EQ(written["future"], 5);
  EXPECT_FALSE(written.contains("other"));
}

TEST(records_test, Convert_WhenListHasTwoValues_IsRejectedForSchema1) {
  json endpoint = ValidRecord("endpoint", 2, "e");
  endpoint["roles"] = {"prefill", "decode"};
  const auto converted = ConvertRecord(endpoint.dump(), 1);
  ASSERT_FALSE(converted.has_value());
  EXPECT_EQ(converted.error().message, "'roles' has 2 values; schema 1 allows only one");
}

// ---------------------------------------------------------------------------------------------------------------------
// findings
// ---------------------------------------------------------------------------------------------------------------------

TEST(records_test, Parse_WhenRecordHasSevenProblems_ReportsAllWithTheirFields) {
  finding_list findings;
  const auto parsed = ParseRecord(
      R"({"kind":"pool","name":"p","schema":2,"version":-1,"type":"modell","first_token_ms":5,
          "targets":{"first_token_ms":0,"token_interval_ms":"58"},"queue_limit":1.5,"idempotent_paths":["/a",3]})",
      findings);
  EXPECT_FALSE(parsed.has_value());
  EXPECT_EQ(FormatFindings(findings),
            "record pool/p: version: -1 is not a whole number from 0 to 9223372036854775807\n"
            "record pool/p: first_token_ms: belongs to schema 1; in schema 2 this field is 'targets.first_token_ms'\n"
            "record pool/p: type: 'modell' is not one of model, service\n"
            "record pool/p: targets.first_token_ms: 0 is not a whole number from 1 to 3600000\n"
            "record pool/p: targets.token_interval_ms: \"58\" is not a whole number from 1 to 3600000\n"
            "record pool/p: queue_limit: 1.5 is not a whole number from 1 to 1000000\n"
            "record pool/p: idempotent_paths[1]: 3 is not a string with at least one character\n");
}

TEST(records_test, Parse_WhenFieldsAreMissing_NamesEach) {
  finding_list findings;
  EXPECT_FALSE(ParseRecord(R"({"kind":"endpoint","name":"e","schema":1})", findings).has_value());
  EXPECT_EQ(FormatFindings(findings),
            "record endpoint/e: pool: required field is missing\n"
            "record endpoint/e: role: required field is missing\n"
            "record endpoint/e: address: required field is missing\n"
            "record endpoint/e: zone: required field is missing\n");
}

TEST(records_test, Parse_WithDuplicateField_IsRejected) {
  finding_list findings;
  EXPECT_FALSE(
      ParseRecord(R"({"kind":"adapter","name":"a","schema":1,"model":"m","model":"n"})", findings).has_value());
  EXPECT_EQ(FormatFindings(findings), "record ?/?: duplicate field 'model' in an object\n");
}

TEST(records_test, Parse_WhenKeyHashIsMalformed_DoesNotShowIt) {
  finding_list findings;
  json account = ValidRecord("account", 2, "a");
  account["api_key_sha256"] = "secret-key";
  EXPECT_FALSE(ParseRecord(account.dump(), findings).has_value());
  EXPECT_EQ(FormatFindings(findings).find("secret-key"), std::string::npos);
}

TEST(records_test, Parse_WhenNestedTooDeeply_IsRejected) {
  finding_list findings;
  json pool = ValidRecord("pool", 1, "p");
  pool["future"] = json::parse(std::string(40, '[') + std::string(40, ']'));
  EXPECT_FALSE(ParseRecord(pool.dump(), findings).has_value());
  EXPECT_EQ(FormatFindings(findings), "record ?/?: nested deeper than 16 levels\n");
}

// Fuzzing: random corruption of a record gives a record or findings and never crashes the program.
RC_GTEST_PROP(records_property, Parse_OfCorruptedText_GivesARecordOrFindings, ()) {
  std::string text = ValidRecord(*GenKind(), *rc::gen::inRange(1, 3), "x").dump();
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    text[position] = *rc::gen::arbitrary<char>();
  }
  finding_list findings;
  const auto parsed = ParseRecord(text, findings);
  RC_ASSERT(parsed.has_value() == findings.empty());
  for (const finding& item : findings) {
    RC_ASSERT(item.place.starts_with("record "));
    RC_ASSERT(!item.message.empty());
  }
  finding_list build_findings;
  const configuration built = BuildConfiguration(1, {text}, build_findings);
  RC_ASSERT(built.texts.size() <= 1U);
  const auto key = RecordKey(text);
  const auto converted = ConvertRecord(text, 2);
  RC_ASSERT(key.has_value() || !converted.has_value());
}

// ---------------------------------------------------------------------------------------------------------------------
// configuration
// ---------------------------------------------------------------------------------------------------------------------

std::vector<std::string> SampleTexts() {
  json service = ValidRecord("pool", 1, "s");
  service["type"] = "service";
  service["path_prefix"] = "/s";
  return {ValidRecord("pool", 2, "p").dump(),     service.dump(),
          ValidRecord("model", 1, "m").dump(),    ValidRecord("adapter", 2, "a").dump(),
          ValidRecord("endpoint", 1, "e").dump(), ValidRecord("account", 2, "c").dump()};
}

TEST(records_test, Build_WhenAllIsValid_HasEveryRecord) {
  finding_list findings;
  const configuration built = BuildConfiguration(7, SampleTexts(), findings);
  EXPECT_EQ(FormatFindings(findings), "");
  EXPECT_EQ(built.revision, 7U);
  EXPECT_EQ(built.texts.size(), 6U);
  EXPECT_EQ(built.pools.at("p").first_token_target, milliseconds(900));
  EXPECT_EQ(built.models.at("m").versions, std::vector<std::string>{"v1"});
  EXPECT_EQ(built.endpoints.at(endpoint_name{"e"}).roles, std::vector{endpoint_role::kDecode});
  EXPECT_EQ(built.endpoints.at(endpoint_name{"e"}).state, endpoint_state::kDraining);
  EXPECT_EQ(built.accounts.at(account_name{"c"}).connections, 7U);
}

TEST(records_test, Build_WhenAPoolIsInvalid_LeavesOutAllThatRefersToIt) {
  auto texts = SampleTexts();
  json pool = json::parse(texts[0]);
  pool["targets"]["first_token_ms"] = "soon";
  texts[0] = pool.dump();
  finding_list findings;
  const configuration built = BuildConfiguration(7, texts, findings);
  EXPECT_EQ(FormatFindings(findings),
            "record pool/p: targets.first_token_ms: \"soon\" is not a whole number from 1 to 3600000\n"
            "record model/m: pool: pool 'p' does not exist or is invalid\n"
            "record adapter/a: models: model 'm' does not exist or is invalid\n"
            "record endpoint/e: pool: pool 'p' does not exist or is invalid\n");
  EXPECT_EQ(built.pools.count("p") + built.models.size() + built.adapters.size() + built.endpoints.size(), 0U);
  EXPECT_EQ(built.texts.size(), 2U);
  EXPECT_EQ(built.pools.count("s"), 1U);
  EXPECT_EQ(built.accounts.size(), 1U);
}

TEST(records_test, Build_WhenTwoRecordsConflict_NamesTheSecond) {
  auto texts = SampleTexts();
  texts.push_back(ValidRecord("endpoint", 2, "f").dump());
  texts.push_back(ValidRecord("account", 1, "d").dump());
  texts.push_back(texts[3]);
  json wrong_role = ValidRecord("endpoint", 1, "g");
  wrong_role["role"] = "service";
  wrong_role["address"] = "127.0.0.1:7002";
  texts.push_back(wrong_role.dump());
  finding_list findings;
  const configuration built = BuildConfiguration(7, texts, findings);
  EXPECT_EQ(FormatFindings(findings),
            "record adapter/a: another record has the same kind and name\n"
            "record endpoint/f: address: endpoint 'e' has the same address\n"
            "record endpoint/g: roles: a role does not match the type of pool 'p'\n"
            "record account/d: api_key_sha256: account 'c' has the same API key\n");
  EXPECT_EQ(built.texts.size(), 6U);
}

// Operators copy the sample records, so they must stay valid when the checks change.
TEST(records_test, Samples_OfBothDeployments_HaveNoFindings) {
  std::vector<std::string> texts;
  for (const std::string name : {"nastavnik", "waikato"}) {
    std::ifstream file(std::string(PERSIMMON_TEST_DIR "/../config/records/") + name + ".json");
    std::stringstream text;
    text << file.rdbuf();
    const auto records = SplitRecords(text.str());
    ASSERT_TRUE(records.has_value()) << name;
    texts.insert(texts.end(), records.value().begin(), records.value().end());
  }
  finding_list findings;
  const configuration built = BuildConfiguration(1, texts, findings);
  EXPECT_EQ(FormatFindings(findings), "");
  EXPECT_EQ(built.pools.size(), 4U);
  EXPECT_EQ(built.endpoints.size(), 9U);
}

TEST(records_test, Compare_WhenFieldsDiffer_ListsEachWithBothValues) {
  const json left = {{"a", 1}, {"limits", {{"x", 1}, {"y", 2}}}, {"old", true}};
  const json right = {{"a", 1}, {"limits", {{"x", 1}, {"y", 3}}}, {"new", "n"}};
  const auto differences = CompareRecords(left.dump(), right.dump());
  const std::vector<record_difference> expected = {{"limits.y", "2", "3"}, {"new", "", "\"n\""}, {"old", "true", ""}};
  EXPECT_EQ(differences.value(), expected);
}

}  // namespace
}  // namespace persimmon
