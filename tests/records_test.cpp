// Guards against records that lose fields on a rewrite, findings that are reported one at a time, and bad records that
// are applied in part.
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
  const bool is_new = schema == 2;
  json value = {{"kind", kind}, {"name", name}, {"schema", schema}, {"version", 3}};
  if (kind == "pool") {
    const json targets = {{"first_token_ms", 900}, {"token_interval_ms", 40}};
    value["type"] = "model";
    if (is_new) {
      value["targets"] = targets;
    } else {
      value.update(targets);
    }
  } else if (kind == "model") {
    value["pool"] = "p";
    value[is_new ? "versions" : "version_name"] = is_new ? json({"v1"}) : json("v1");
  } else if (kind == "adapter") {
    value[is_new ? "models" : "model"] = is_new ? json({"m"}) : json("m");
  } else if (kind == "endpoint") {
    value.update({{"pool", "p"}, {"address", "127.0.0.1:7001"}, {"zone", "sofia-a"}, {"state", "draining"}});
    value[is_new ? "roles" : "role"] = is_new ? json({"decode"}) : json("decode");
  } else {
    const json limits = {{"tokens_per_second", 500}, {"burst_tokens", 9000}, {"connections", 7}};
    value.update({{"api_key_sha256", kHash}, {"priority", -2}, {"weight", 2.5}});
    if (is_new) {
      value["limits"] = limits;
    } else {
      value.update(limits);
    }
  }
  return value;
}

rc::Gen<std::string> AnyKind() {
  return rc::gen::element<std::string>("pool", "model", "adapter", "endpoint", "account");
}

// Any JSON value of a few levels.
json AnyValue(int depth) {
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
        list.push_back(AnyValue(depth - 1));
      }
      return list;
    }
    default: {
      json object = json::object();
      for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        object["inner_" + std::to_string(i)] = AnyValue(depth - 1);
      }
      return object;
    }
  }
}

// Unknown fields, at the top and inside the objects that schema 2 has.
json AnyUnknownFields(const std::string& kind) {
  json fields = json::object();
  for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
    fields["future_" + std::to_string(i)] = AnyValue(2);
  }
  if (kind == "pool" && *rc::gen::arbitrary<bool>()) {
    fields["targets"] = {{"future_percentile", 95}};
  }
  if (kind == "account" && *rc::gen::arbitrary<bool>()) {
    fields["limits"] = {{"future_requests", 11}};
  }
  return fields;
}

// True if every field of the part is in the whole, objects compared field by field.
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
  const std::string kind = *AnyKind();
  const int schema = *rc::gen::inRange(1, 3);
  const json unknown = AnyUnknownFields(kind);
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
  const std::string kind = *AnyKind();
  const int stored_schema = *rc::gen::inRange(1, 3);
  const int written_schema = *rc::gen::inRange(1, 3);
  const json unknown = AnyUnknownFields(kind);
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

TEST(records_test, Replace_WhenFileNamesAnUnknownField_TheFileWins) {
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

TEST(records_test, Convert_WhenListHasTwoValues_IsRefusedForSchema1) {
  json endpoint = ValidRecord("endpoint", 2, "e");
  endpoint["roles"] = {"prefill", "decode"};
  const auto converted = ConvertRecord(endpoint.dump(), 1);
  ASSERT_FALSE(converted.has_value());
  EXPECT_EQ(converted.error().message, "'roles' has 2 values; schema 1 can hold one");
}

// ---------------------------------------------------------------------------------------------------------------------
// findings
// ---------------------------------------------------------------------------------------------------------------------

TEST(records_test, Parse_WhenRecordHasSevenMistakes_ReportsAllWithTheirFields) {
  finding_list findings;
  const auto parsed = ParseRecord(
      R"({"kind":"pool","name":"p","schema":2,"version":-1,"type":"modell","first_token_ms":5,
          "targets":{"first_token_ms":0,"token_interval_ms":"58"},"queue_limit":1.5,"idempotent_paths":["/a",3]})",
      findings);
  EXPECT_FALSE(parsed.has_value());
  EXPECT_EQ(FormatFindings(findings),
            "record pool/p: version: -1 is not a whole number from 0 to 9223372036854775807\n"
            "record pool/p: first_token_ms: field of schema 1; schema 2 has 'targets.first_token_ms'\n"
            "record pool/p: type: 'modell' is not one of model, service\n"
            "record pool/p: targets.first_token_ms: 0 is not a whole number from 1 to 3600000\n"
            "record pool/p: targets.token_interval_ms: \"58\" is not a whole number from 1 to 3600000\n"
            "record pool/p: queue_limit: 1.5 is not a whole number from 1 to 1000000\n"
            "record pool/p: idempotent_paths[1]: 3 is not a text with at least one character\n");
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

TEST(records_test, Parse_WhenNameStandsTwice_IsRefused) {
  finding_list findings;
  EXPECT_FALSE(
      ParseRecord(R"({"kind":"adapter","name":"a","schema":1,"model":"m","model":"n"})", findings).has_value());
  EXPECT_EQ(FormatFindings(findings), "record ?/?: field 'model' stands twice in one object\n");
}

TEST(records_test, Parse_WhenHashIsNotOne_DoesNotShowIt) {
  finding_list findings;
  json account = ValidRecord("account", 2, "a");
  account["api_key_sha256"] = "secret-key";
  EXPECT_FALSE(ParseRecord(account.dump(), findings).has_value());
  EXPECT_EQ(FormatFindings(findings).find("secret-key"), std::string::npos);
}

TEST(records_test, Parse_WhenTextIsNestedTooDeeply_IsRefused) {
  finding_list findings;
  json pool = ValidRecord("pool", 1, "p");
  pool["future"] = json::parse(std::string(40, '[') + std::string(40, ']'));
  EXPECT_FALSE(ParseRecord(pool.dump(), findings).has_value());
  EXPECT_EQ(FormatFindings(findings), "record ?/?: nested deeper than 16 levels\n");
}

// Any damage to a text gives a record or findings, and never ends the program.
RC_GTEST_PROP(records_property, Parse_OfDamagedText_GivesARecordOrFindings, ()) {
  std::string text = ValidRecord(*AnyKind(), *rc::gen::inRange(1, 3), "x").dump();
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
    text[place] = *rc::gen::arbitrary<char>();
  }
  finding_list findings;
  const auto parsed = ParseRecord(text, findings);
  RC_ASSERT(parsed.has_value() == findings.empty());
  for (const finding& item : findings) {
    RC_ASSERT(item.place.starts_with("record "));
    RC_ASSERT(!item.message.empty());
  }
  finding_list again;
  const configuration built = BuildConfiguration(1, {text}, again);
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

TEST(records_test, Build_WhenAPoolHasFindings_LeavesOutAllThatRefersToIt) {
  auto texts = SampleTexts();
  json pool = json::parse(texts[0]);
  pool["targets"]["first_token_ms"] = "soon";
  texts[0] = pool.dump();
  finding_list findings;
  const configuration built = BuildConfiguration(7, texts, findings);
  EXPECT_EQ(FormatFindings(findings),
            "record pool/p: targets.first_token_ms: \"soon\" is not a whole number from 1 to 3600000\n"
            "record model/m: pool: pool 'p' does not exist or has findings\n"
            "record adapter/a: models: model 'm' does not exist or has findings\n"
            "record endpoint/e: pool: pool 'p' does not exist or has findings\n");
  EXPECT_EQ(built.pools.count("p") + built.models.size() + built.adapters.size() + built.endpoints.size(), 0U);
  EXPECT_EQ(built.texts.size(), 2U);
  EXPECT_EQ(built.pools.count("s"), 1U);
  EXPECT_EQ(built.accounts.size(), 1U);
}

TEST(records_test, Build_WhenTwoRecordsClash_NamesTheSecond) {
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
            "record endpoint/g: roles: a role does not fit the type of pool 'p'\n"
            "record account/d: api_key_sha256: account 'c' has the same key\n");
  EXPECT_EQ(built.texts.size(), 6U);
}

// The samples are what operators copy, so that a change of the checks must not leave them behind.
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
