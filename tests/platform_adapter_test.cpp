// link: persimmon_adapter
// Parsers for the settings, records and headers of the platform.
//
// Sections
//   1. settings
//   2. desired state
//   3. endpoint entries
//   4. headers
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <nlohmann/json.hpp>

#include "core/api_key.h"
#include "platform/records.h"
#include "platform/requests.h"
#include "platform/settings.h"

namespace persimmon::platform {
namespace {

using json = nlohmann::json;

// ---------------------------------------------------------------------------------------------------------------------
// 1. settings
// ---------------------------------------------------------------------------------------------------------------------

constexpr const char* kSettings =
    "node_name=front-1\nrole=router\nzone=zone-a\nlisten.front=10.1.0.35:8144\nlisten.ready=10.1.0.35:8140\n"
    "listen.control=10.1.0.35:8146\ninternal_ports=7660,7675\nseeds=10.1.0.35:8146,10.2.0.28:8146\nbootstrap=true\n"
    "bounds.grace_s=8\nbounds.lease_ms=3000\nbounds.retry_budget_ratio=0.2\nbounds.retry_budget_slack=56\n"
    "bounds.budget_window_s=2.5\nplatform.address=10.200.1.7:8142\nsomething.new=1\n";

TEST(deployment_settings_test, CompleteFile_WithUnknownKeys_IsReadWhole) {
  finding_list findings;
  const deployment_settings settings = ParseDeploymentSettings(kSettings, findings);
  EXPECT_TRUE(findings.empty()) << FormatFindings(findings);
  EXPECT_EQ(settings.name, "front-1");
  EXPECT_EQ(settings.callers.Text(), "10.1.0.35:8144");
  EXPECT_EQ(settings.store.Text(), "10.200.1.7:8142");
  EXPECT_EQ(settings.seeds.size(), 2U);
  EXPECT_EQ(settings.first_internal_port, 7660);
  EXPECT_EQ(settings.budget_window, milliseconds(2'500));
  EXPECT_TRUE(settings.first_start);
}

TEST(deployment_settings_test, StrictRevocation_IsOffUnlessStated) {
  finding_list findings;
  EXPECT_FALSE(ParseDeploymentSettings(kSettings, findings).strict_revoke);
  const std::string strict = std::string(kSettings) + "bounds.strict_revoke=true\nbounds.revoke_ms=2500\n";
  const deployment_settings settings = ParseDeploymentSettings(strict, findings);
  EXPECT_TRUE(settings.strict_revoke);
  EXPECT_EQ(settings.revoke_time, milliseconds(2'500));
  EXPECT_TRUE(findings.empty()) << FormatFindings(findings);
  ParseDeploymentSettings(std::string(kSettings) + "bounds.strict_revoke=perhaps\n", findings);
  EXPECT_NE(FormatFindings(findings).find("bounds.strict_revoke"), std::string::npos);
}

TEST(deployment_settings_test, FaultyFile_ReportsEveryFindingTogether) {
  finding_list findings;
  ParseDeploymentSettings("node_name=a\nzone=z\nlisten.front=nowhere\nbounds.grace_s=soon\n", findings);
  const std::string text = FormatFindings(findings);
  EXPECT_NE(text.find("line 3: listen.front"), std::string::npos) << text;
  EXPECT_NE(text.find("line 4: bounds.grace_s"), std::string::npos) << text;
  EXPECT_NE(text.find("platform.address"), std::string::npos) << text;
  EXPECT_NE(text.find("internal_ports"), std::string::npos) << text;
}

RC_GTEST_PROP(deployment_settings_property, ParseDeploymentSettings_ForAnyText_OnlyReportsFindings, ()) {
  finding_list findings;
  ParseDeploymentSettings(*rc::gen::arbitrary<std::string>(), findings);
  RC_ASSERT(!findings.empty());
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. desired state
// ---------------------------------------------------------------------------------------------------------------------

json MakeState() {
  return {{"version", 7},
          {"routes",
           {{{"name", "r-1"},
             {"host", "a.example"},
             {"prefix", "/x/"},
             {"kind", "streaming"},
             {"timeout_ms", 14'000},
             {"target_latency_ms", 900},
             {"service", "llm"},
             {"max_attempts", 2},
             {"resumable", true},
             {"gap_aim_ms", 300}},
            {{"name", "r-2"},
             {"host", "a.example"},
             {"prefix", "/y/"},
             {"kind", "idempotent"},
             {"split", {{{"service", "app"}, {"weight", 90}}, {{"service", "app2"}, {"weight", 10}}}}}}},
          {"services",
           {{{"name", "llm"},
             {"engine",
              {{"slots", 16},
               {"kv_capacity_tokens", 34'446},
               {"handle_ttl_s", 0.5},
               {"hold_ms", 2'000.0},
               {"stride", 14}}}},
            {{"name", "app"}}}},
          {"limits", {{"max_header_bytes", 16'384}, {"idle_timeout_ms", 15'000}}}};
}

TEST(desired_state_test, ValidState_BecomesRoutesServicesAndLimits) {
  finding_list findings;
  const auto table = ParseDesiredState(MakeState().dump(), findings);
  ASSERT_TRUE(table);
  EXPECT_TRUE(findings.empty()) << FormatFindings(findings);
  EXPECT_EQ(table.value().Revision(), 7U);
  const route_record* stream = table.value().FindRoute("a.example", "/x/1");
  ASSERT_NE(stream, nullptr);
  EXPECT_EQ(stream->kind, call_kind::kStreaming);
  EXPECT_TRUE(stream->resumable);
  EXPECT_EQ(stream->target_event_interval, milliseconds(300));
  const route_record* split = table.value().FindRoute("a.example", "/y/1");
  ASSERT_NE(split, nullptr);
  EXPECT_EQ(split->services.size(), 2U);
  EXPECT_EQ(split->max_attempts, 1U);
  const service_record* llm = table.value().FindService("llm");
  ASSERT_NE(llm, nullptr);
  ASSERT_TRUE(llm->engine);
  EXPECT_EQ(llm->engine->handle_lifetime, milliseconds(500));
  EXPECT_EQ(llm->engine->tokens_per_event, 14U);
  EXPECT_EQ(table.value().Limits().idle_timeout, milliseconds(15'000));
}

// An invalid route must not disable the others.
TEST(desired_state_test, InvalidRoute_IsSkippedAndReportedWithItsLocation) {
  json state = MakeState();
  state["routes"][0]["kind"] = "telepathic";
  state["routes"].push_back(17);
  finding_list findings;
  const auto table = ParseDesiredState(state.dump(), findings);
  ASSERT_TRUE(table);
  EXPECT_EQ(table.value().FindRoute("a.example", "/x/1"), nullptr);
  EXPECT_NE(table.value().FindRoute("a.example", "/y/1"), nullptr);
  const std::string text = FormatFindings(findings);
  EXPECT_NE(text.find("route 0: kind"), std::string::npos) << text;
  EXPECT_NE(text.find("route 2"), std::string::npos) << text;
}

RC_GTEST_PROP(desired_state_property, ParseDesiredState_ForAnyBytes_NeverStopsTheProcess, ()) {
  finding_list findings;
  (void)ParseDesiredState(*rc::gen::arbitrary<std::string>(), findings);
}

// SHA-256 of "key-1", from sha256sum.
constexpr const char* kHashOfKey1 = "be2974546978e3739e6d6da85c4be9f334ce32df2b9fd4b6ff1b55c0d57e9d44";

json MakeAccounts() {
  return json::array({{{"name", "alpha"},
                       {"api_keys", {"key-1", "key-2"}},
                       {"priority", 0},
                       {"unit", "token_stream"},
                       {"plain_tokens", 40},
                       {"per_s", 25'000.4},
                       {"burst", 90'000}},
                      {{"name", "beta"}, {"api_keys", {"key-3"}}, {"unit", "call"}, {"per_s", 0.25}},
                      {{"name", "gamma"}}});
}

// The text that a router sends to others for this desired state.
std::string Export(const json& state) {
  finding_list findings;
  state_exporter exporter;
  EXPECT_TRUE(ParseDesiredState(state.dump(), findings, &exporter));
  return exporter();
}

TEST(accounts_test, StateWithoutAccounts_HasNone) {
  finding_list findings;
  EXPECT_FALSE(ParseDesiredState(MakeState().dump(), findings).value().Accounts());
  EXPECT_EQ(Export(MakeState()), MakeState().dump());
}

TEST(accounts_test, ValidAccounts_AreReadWithHashesAndAmountsOfTheirUnit) {
  json state = MakeState();
  state["tenants"] = MakeAccounts();
  state["routes"][1]["anonymous"] = true;
  finding_list findings;
  const auto table = ParseDesiredState(state.dump(), findings);
  ASSERT_TRUE(table);
  EXPECT_TRUE(findings.empty()) << FormatFindings(findings);
  EXPECT_FALSE(table.value().FindRoute("a.example", "/x/1")->anonymous);
  EXPECT_TRUE(table.value().FindRoute("a.example", "/y/1")->anonymous);
  ASSERT_TRUE(table.value().Accounts());
  const caller_account* alpha = table.value().Accounts()->FindByKeyHash(kHashOfKey1);
  ASSERT_NE(alpha, nullptr);
  EXPECT_EQ(alpha->name.value, "alpha");
  EXPECT_EQ(alpha->key_hashes.size(), 2U);
  EXPECT_EQ(alpha->priority, std::optional<std::uint32_t>(0));
  EXPECT_EQ(alpha->unit, usage_unit::kTokens);
  EXPECT_EQ(alpha->plain_tokens, 40U);
  EXPECT_EQ(alpha->limit, (account_limit{25'000, 90'000}));
  const caller_account* beta = table.value().Accounts()->Find(account_name{"beta"});
  ASSERT_NE(beta, nullptr);
  EXPECT_EQ(beta->priority, std::nullopt);
  EXPECT_EQ(beta->unit, usage_unit::kRequests);
  EXPECT_EQ(beta->limit, (account_limit{250, 0})) << "a quarter of a request";
  EXPECT_EQ(table.value().Accounts()->Find(account_name{"gamma"})->limit, account_limit{});
}

// Guards against a limit so low that it is rounded to zero, which means no limit.
TEST(accounts_test, SmallestLimit_StaysALimit) {
  json state = MakeState();
  state["tenants"] = json::array({{{"name", "a"}, {"per_s", 1e-9}, {"unit", "token_stream"}}});
  finding_list findings;
  const auto table = ParseDesiredState(state.dump(), findings);
  EXPECT_EQ(table.value().Accounts()->Find(account_name{"a"})->limit.tokens_per_second, 1U);
}

// Routers import the state of others, and must then check keys in the same way.
TEST(accounts_test, StateWithHashedKeys_IsReadLikeTheOriginal) {
  json state = MakeState();
  state["tenants"] = MakeAccounts();
  finding_list findings;
  const std::string exported = Export(state);
  EXPECT_EQ(exported.find("key-"), std::string::npos) << exported;
  EXPECT_EQ(ParseDesiredState(exported, findings).value(), ParseDesiredState(state.dump(), findings).value());
  EXPECT_EQ(Export(json::parse(exported)), exported);
  EXPECT_TRUE(findings.empty()) << FormatFindings(findings);
}

TEST(accounts_test, InvalidAccount_IsSkippedAndReportedWithoutItsKeys) {
  json state = MakeState();
  state["tenants"] = MakeAccounts();
  state["tenants"][0]["per_s"] = "secret-1";
  state["tenants"].push_back("secret-2");
  state["tenants"].push_back({{"name", "two\r\nlines"}, {"api_keys", {"secret-3"}}});
  state["tenants"].push_back({{"name", "beta"}, {"api_keys", {"secret-4"}}});
  state["tenants"].push_back({{"name", "delta"}, {"api_keys", {"secret-5", 7, ""}}});
  state["tenants"].push_back({{"name", "epsilon"}, {"api_keys", "secret-6"}});
  state["tenants"].push_back({{"api_keys", {"secret-7"}}, {"api_key", "secret-8"}, {"api_key_hashes", {"secret-9"}}});
  finding_list findings;
  const auto table = ParseDesiredState(state.dump(), findings);
  const auto& accounts = table.value().Accounts();
  ASSERT_TRUE(accounts);
  std::vector<std::string> names;
  for (const caller_account& account : accounts->Accounts()) {
    names.push_back(account.name.value);
  }
  EXPECT_EQ(names, (std::vector<std::string>{"beta", "gamma", "delta"}));
  EXPECT_EQ(accounts->Find(account_name{"delta"})->key_hashes.size(), 1U);
  const std::string text = FormatFindings(findings);
  for (const char* place : {"tenant 0: per_s", "tenant 3", "tenant 4: name", "tenant 5: name", "tenant 6: api_keys",
                            "tenant 7: api_keys", "tenant 8: name", "tenant 8: api_key_hashes"}) {
    EXPECT_NE(text.find(place), std::string::npos) << place << " in " << text;
  }
  EXPECT_EQ(text.find("secret"), std::string::npos) << text;
  EXPECT_EQ(Export(state).find("secret"), std::string::npos) << Export(state);
}

// The largest deployment has 4,700 accounts, 7,700 requests per second and 370 routers. Guards against a check that
// searches all accounts: then the checks of one second of all routers take far longer than a tenth of it.
TEST(accounts_test, AccountsOfTheLargestDeployment_AreCheckedInAFractionOfItsRequestRate) {
  constexpr int kAccounts = 4'700;
  constexpr int kRequests = 7'700;
  const auto key = [](int number) { return "key-" + std::to_string(number); };
  json state = MakeState();
  for (int i = 0; i < kAccounts; ++i) {
    const std::string name = "account-" + std::to_string(i);
    state["tenants"].push_back({{"name", name}, {"api_keys", {key(2 * i), key(2 * i + 1)}}});
  }
  finding_list findings;
  const auto table = ParseDesiredState(state.dump(), findings);
  const account_directory& accounts = *table.value().Accounts();
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kRequests; ++i) {
    const int number = i % (2 * kAccounts);
    const caller_account* account = accounts.FindByKeyHash(HashApiKey(key(number)));
    ASSERT_NE(account, nullptr);
    ASSERT_EQ(account->name.value, "account-" + std::to_string(number / 2));
  }
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(100));
  EXPECT_EQ(accounts.FindByKeyHash(HashApiKey(key(2 * kAccounts))), nullptr);
}

// A faulty list must not open the services to everyone.
TEST(accounts_test, AccountsThatAreNoList_HoldNoKey) {
  json state = MakeState();
  state["tenants"] = {{"alpha", {{"api_keys", {"key-1"}}}}};
  finding_list findings;
  const auto table = ParseDesiredState(state.dump(), findings);
  ASSERT_TRUE(table.value().Accounts());
  EXPECT_TRUE(table.value().Accounts()->Accounts().empty());
  EXPECT_NE(FormatFindings(findings).find("tenants"), std::string::npos);
  EXPECT_EQ(Export(state).find("key-1"), std::string::npos);
}

// Guards against a stop of all routers by one faulty desired state.
RC_GTEST_PROP(accounts_property, ParseDesiredState_ForAnyAccounts_NeverStopsTheProcess, ()) {
  const auto any_value = rc::gen::element<json>(nullptr, 1, -2.5, "key-1", "", json::array(), json::array({"key-1", 2}),
                                                json::object(), true, 1e300);
  json account = json::object();
  for (const char* field :
       {"name", "api_keys", "api_key_hashes", "priority", "unit", "plain_tokens", "per_s", "burst"}) {
    account[field] = *any_value;
  }
  json state = MakeState();
  state["tenants"] = json::array({account, *any_value});
  finding_list findings;
  state_exporter exporter;
  RC_ASSERT(ParseDesiredState(state.dump(), findings, &exporter).has_value());
  const std::string exported = exporter();
  RC_ASSERT(exported.find("key-1") == std::string::npos || account["name"] == "key-1" || account["unit"] == "key-1");
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. endpoint entries
// ---------------------------------------------------------------------------------------------------------------------

json MakeEntry() {
  return {{"service", "llm"},   {"address", "10.0.0.1:80"},    {"zone", "z"}, {"state", "ready"}, {"slots", 16},
          {"stage", "prefill"}, {"born", 1'700'000'000'123ULL}};
}

TEST(endpoint_entry_test, ValidEntry_IsReadWithItsIncarnation) {
  const auto entry = ParseEndpointEntry("i-1", MakeEntry().dump());
  ASSERT_TRUE(entry);
  EXPECT_EQ(entry.value().name.value, "i-1");
  EXPECT_EQ(entry.value().started_ms, 1'700'000'000'123U);
  EXPECT_EQ(entry.value().role, endpoint_role::kPrefill);
  EXPECT_FALSE(entry.value().draining);
}

// Guards against an entry of another writer whose list of models is wrong or long.
TEST(endpoint_entry_test, Models_ThatCannotBeRead_AreSkipped) {
  json entry = MakeEntry();
  entry["models"] = {{{"name", "m"}, {"version", 3}},
                     {{"name", "m"}, {"version", "3"}},
                     {{"name", 3}, {"version", 3}},
                     {{"version", 3}},
                     {{"name", "m"}, {"version", -3}},
                     "m",
                     {{"name", std::string(1'000, 'm')}, {"version", 3}}};
  EXPECT_EQ(ParseEndpointEntry("i-1", entry.dump()).value().models, (std::vector<served_model>{{"m", 3}}));
  for (int i = 0; i < 1'000; ++i) {
    entry["models"].push_back({{"name", std::to_string(i)}, {"version", 1}});
  }
  EXPECT_EQ(ParseEndpointEntry("i-1", entry.dump()).value().models.size(), 64U);
  for (const json& models : {json("m"), json(3), json::object(), json()}) {
    entry["models"] = models;
    EXPECT_TRUE(ParseEndpointEntry("i-1", entry.dump()).value().models.empty());
  }
}

TEST(endpoint_entry_test, MalformedEntry_IsRejected) {
  for (const auto& [field, value] : std::vector<std::pair<std::string, json>>{{"state", "resting"},
                                                                              {"state", 3},
                                                                              {"stage", "both"},
                                                                              {"address", "nowhere"},
                                                                              {"service", json::array()},
                                                                              {"slots", "many"},
                                                                              {"born", -1}}) {
    json entry = MakeEntry();
    entry[field] = value;
    EXPECT_FALSE(ParseEndpointEntry("i-1", entry.dump())) << field << " = " << value;
  }
  for (const char* field : {"service", "address", "state"}) {
    json entry = MakeEntry();
    entry.erase(field);
    EXPECT_FALSE(ParseEndpointEntry("i-1", entry.dump())) << field;
  }
}

RC_GTEST_PROP(endpoint_entry_property, ParseEndpointEntry_ForAnyBytes_NeverStopsTheProcess, ()) {
  (void)ParseEndpointEntry("i-1", *rc::gen::arbitrary<std::string>());
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. headers
// ---------------------------------------------------------------------------------------------------------------------

TEST(request_metadata_test, HeadersOfACaller_AreDecodedOnce) {
  const request_metadata metadata = ParseRequestHeaders({{"persimmonchute-attempt-id", "a1"},
                                                         {"Persimmonchute-Model", "m"},
                                                         {"Persimmonchute-Token-Count", "1460, 80"},
                                                         {"Persimmonchute-Length-Hint", "40"},
                                                         {"Persimmonchute-Deadline-Ms", "2500"},
                                                         {"Last-Event-Id", "7"}});
  EXPECT_EQ(metadata.attempt, "a1");
  EXPECT_EQ(metadata.prompt_tokens, 1460U);
  EXPECT_EQ(metadata.max_output_tokens, 80U);
  EXPECT_EQ(metadata.expected_output_tokens, std::optional<std::uint32_t>(40));
  EXPECT_EQ(metadata.time_budget, std::optional<milliseconds>(2'500));
  EXPECT_EQ(metadata.resume_after, "7");
}

// Guards against suspecting the last part, which belongs to the request itself.
TEST(request_metadata_test, PartsOfAPrompt_AreReadWithoutTheLastOne) {
  const auto parts = [](const char* value) {
    return platform::ParseRequestHeaders({{"Persimmonchute-Prompt-Prefix", value}}).shared_parts;
  };
  EXPECT_EQ(parts("5c1e07a2:800, 91BD3F06:410,e4402b7d:250"), (std::vector<std::uint64_t>{0x5c1e07a2, 0x91bd3f06}));
  EXPECT_EQ(parts("e4402b7d:250"), std::vector<std::uint64_t>());
  EXPECT_EQ(parts(""), std::vector<std::uint64_t>());
  EXPECT_EQ(parts(",x:1,:5,12345678901234567890:1,7:1,8:1"), std::vector<std::uint64_t>{7});
}

// Guards against hints on a prompt whose parts were read only in part, and against a wrong last part.
TEST(request_metadata_test, PartsOfAPrompt_AreReadWithTheirTokensUpToTheFirstMalformedOne) {
  const auto read = [](const char* value) {
    return platform::ParseRequestHeaders({{"Persimmonchute-Prompt-Prefix", value}});
  };
  const std::vector<prompt_part> all = {{0x5c1e07a2, 800}, {0x91bd3f06, 410}, {0xe4402b7d, 250}};
  EXPECT_EQ(read("5c1e07a2:800, 91BD3F06:410,e4402b7d:250").parts, all);
  EXPECT_TRUE(read("5c1e07a2:800, 91BD3F06:410,e4402b7d:250").has_all_parts);
  EXPECT_EQ(read("7:1,x:1,8:1").parts, (std::vector<prompt_part>{{7, 1}}));
  EXPECT_FALSE(read("7:1,x:1,8:1").has_all_parts);
  EXPECT_FALSE(read("7:1,8").has_all_parts);
  EXPECT_FALSE(read("7:1,8:").has_all_parts);
  EXPECT_TRUE(read("").parts.empty());
  EXPECT_FALSE(read("").has_all_parts);
}

TEST(request_metadata_test, PartsOfAPrompt_BeyondTheLimit_AreIgnored) {
  std::string many;
  for (int i = 0; i < 3'000; ++i) {
    many += "a:1,";
  }
  EXPECT_LE(platform::ParseRequestHeaders({{"Persimmonchute-Prompt-Prefix", many}}).shared_parts.size(), 32U);
  EXPECT_LE(platform::ParseRequestHeaders({{"Persimmonchute-Prompt-Prefix", many}}).parts.size(), 33U);
  EXPECT_FALSE(platform::ParseRequestHeaders({{"Persimmonchute-Prompt-Prefix", many}}).has_all_parts);
}

TEST(request_metadata_test, MalformedNumbers_CountAsAbsent) {
  const request_metadata metadata =
      ParseRequestHeaders({{"Persimmonchute-Token-Count", "many,x"}, {"Persimmonchute-Deadline-Ms", "-5"}});
  EXPECT_EQ(metadata.prompt_tokens, 0U);
  EXPECT_FALSE(metadata.time_budget);
}

// Limits count a request without stated tokens differently from one that states none.
TEST(request_metadata_test, TotalTokens_AreTheSumOrAbsent) {
  const auto total = [](const header_list& headers) { return ParseRequestHeaders(headers).total_tokens; };
  EXPECT_EQ(total({{"Persimmonchute-Token-Count", "1460, 80"}}), std::optional<std::uint64_t>(1'540));
  EXPECT_EQ(total({{"Persimmonchute-Token-Count", "4294967295,4294967295"}}),
            std::optional<std::uint64_t>(8'589'934'590));
  EXPECT_EQ(total({{"Persimmonchute-Token-Count", "7"}}), std::optional<std::uint64_t>(7));
  EXPECT_EQ(total({{"Persimmonchute-Token-Count", "0,0"}}), std::optional<std::uint64_t>(0));
  EXPECT_EQ(total({{"Persimmonchute-Token-Count", "many"}}), std::nullopt);
  EXPECT_EQ(total({}), std::nullopt);
}

TEST(forwarded_request_test, AccountHeaders_AreRemovedOnlyOnDemandInAnyCase) {
  http_request request;
  request.headers = {{"AUTHORIZATION", "Bearer k"}, {"persimmonchute-tenant", "x"}, {"X-Kept", "1"}};
  EXPECT_EQ(MakeForwardedRequest(request).headers, request.headers);
  http_request forwarded = MakeForwardedRequest(request, account_headers::kRemove);
  EXPECT_EQ(forwarded.headers, (header_list{{"X-Kept", "1"}}));
  SetAccountHeader(forwarded, "alpha");
  SetAccountHeader(forwarded, "beta");
  EXPECT_EQ(forwarded.headers, (header_list{{"X-Kept", "1"}, {"Persimmonchute-Tenant", "beta"}}));
  SetAccountHeader(forwarded, "");
  EXPECT_EQ(forwarded.headers, (header_list{{"X-Kept", "1"}}));
}

// The router may state that a call has not run only if the endpoint has stated it; no status states it.
TEST(answer_terms_test, OnlyTheHeader_StatesThatACallHasNotRun) {
  for (const int status : {400, 408, 421, 429, 503}) {
    EXPECT_FALSE(ParseResponseHeaders({status, {}}).states_not_run) << status;
    EXPECT_TRUE(ParseResponseHeaders({status, {{"Persimmonchute-Not-Executed", "1"}}}).states_not_run) << status;
  }
  EXPECT_TRUE(ParseResponseHeaders({421, {}}).is_misdirected);
  EXPECT_EQ(ParseResponseHeaders({503, {{"Persimmonchute-Attempt-Id", "a1"}}}).attempt, "a1");
  EXPECT_FALSE(ParseResponseHeaders({200, {}}).has_seal);
  EXPECT_TRUE(ParseResponseHeaders({200, {{"Content-Encoding", "gzip"}}}).is_encoded);
}

// Guards against a copy of another request's refusal into which the id of this one was written too.
TEST(answer_terms_test, ResponseWithTwoDifferentIds_NamesNeitherRequest) {
  const auto names = [](const std::vector<std::string>& ids) {
    header_list headers;
    for (const std::string& id : ids) {
      headers.push_back({"Persimmonchute-Attempt-Id", id});
    }
    return ParseResponseHeaders({503, headers}).attempt;
  };
  EXPECT_EQ(names({"a1", "a1"}), "a1");
  for (const std::vector<std::string>& ids : {std::vector<std::string>{"a1", "a2"}, {"a2", "a1"}, {"a1", "a2", "a1"}}) {
    EXPECT_NE(names(ids), "a1");
    EXPECT_NE(names(ids), "a2");
  }
}

TEST(decode_request_test, RequestToADecodeEngine_ReplacesTheCallersOwnPosition) {
  http_request request;
  request.headers = {{"Last-Event-Id", "3"}, {"Persimmonchute-Deadline-Ms", "9000"}};
  const http_request decode = MakeDecodeRequest(MakeForwardedRequest(request), endpoint_name{"i-1"}, milliseconds(500),
                                                {kv_source{"1.2.3.4:5", "h"}, "r", "8"});
  EXPECT_EQ(FindHeader(decode.headers, "Last-Event-Id"), "8");
  EXPECT_EQ(FindHeader(decode.headers, "Persimmonchute-Deadline-Ms"), "500");
  EXPECT_EQ(FindHeader(decode.headers, "Persimmonchute-Kv-Source"), "1.2.3.4:5/h");
  EXPECT_EQ(FindHeader(decode.headers, "Persimmonchute-Kv-Hold"), "r");
}

// Guards against callers that set their own priority at the engines, and engines that get one where none is in use.
TEST(request_priority_test, RequestToAnEngine_HasThePriorityOfTheRouterAlone) {
  constexpr const char* kHeader = "Persimmonchute-Request-Priority";
  http_request request;
  request.headers = {{kHeader, "0"}};
  const http_request forwarded = MakeForwardedRequest(request);
  const endpoint_name engine{"i-1"};
  decode_terms terms;
  EXPECT_EQ(FindHeader(MakePrefillRequest(forwarded, engine, milliseconds(500)).headers, kHeader), "");
  EXPECT_EQ(FindHeader(MakeDecodeRequest(forwarded, engine, milliseconds(500), terms).headers, kHeader), "");
  terms.priority = 9;
  EXPECT_EQ(FindHeader(MakePrefillRequest(forwarded, engine, milliseconds(500), 4).headers, kHeader), "4");
  EXPECT_EQ(FindHeader(MakeDecodeRequest(forwarded, engine, milliseconds(500), terms).headers, kHeader), "9");
}

// A time in another form, or one that no endpoint means, must not close it for good.
TEST(response_headers_test, RetryAfter_InSecondsWith503_ClosesTheEndpoint_OtherFormsDoNot) {
  const auto closed_for = [](int status, const std::string& value) {
    return platform::ParseResponseHeaders({status, {{"Retry-After", value}}}).closed_for;
  };
  EXPECT_EQ(closed_for(503, "2"), milliseconds(2'000));
  EXPECT_EQ(closed_for(503, "0.25"), milliseconds(250));
  EXPECT_EQ(closed_for(503, "1e9"), milliseconds(3'600'000));
  for (const char* value : {"", "-1", "nan", "soon", "2 s", "Fri, 04 Dec 2026 07:00:00 GMT"}) {
    EXPECT_EQ(closed_for(503, value), std::nullopt) << value;
  }
  EXPECT_EQ(closed_for(429, "2"), std::nullopt);
}

// An endpoint that states a limit in another form must neither lose its limit nor get one of zero.
response_metadata ParseLoad(const char* value) {
  return ParseResponseHeaders({200, {{"Persimmonchute-Server-Load", value}}});
}

TEST(response_headers_test, ServerLoad_WithAWorkTime_IsReadWhole) {
  const response_metadata metadata = ParseLoad("3,1,6,250");
  EXPECT_EQ(metadata.running, 3U);
  EXPECT_EQ(metadata.waiting, 1U);
  EXPECT_EQ(metadata.slots, 6U);
  EXPECT_EQ(metadata.work_time_percent, 250U);
  EXPECT_EQ(ParseLoad("3, 1, 6, 99.6").work_time_percent, 100U);
}

// Guards against the adaptive policy in deployments whose endpoints state no work time.
TEST(response_headers_test, ServerLoad_WithoutAWorkTime_StatesNone) {
  for (const char* value : {"3,1,6", "3,1", ""}) {
    EXPECT_FALSE(ParseLoad(value).work_time_percent) << value;
    EXPECT_FALSE(ParseLoad(value).has_unreadable_work_time) << value;
  }
}

// Guards against predictions from a number that cannot be a work time.
TEST(response_headers_test, ServerLoad_WithAMalformedWorkTime_IsIgnoredAndReported) {
  for (const char* value : {"3,1,6,x", "3,1,6,-5", "3,1,6,0", "3,1,6,12x", "3,1,6,inf", "3,1,6,10001"}) {
    EXPECT_FALSE(ParseLoad(value).work_time_percent) << value;
    EXPECT_TRUE(ParseLoad(value).has_unreadable_work_time) << value;
    EXPECT_EQ(ParseLoad(value).slots, 6U) << value;
  }
}

TEST(response_headers_test, RequestLimit_OfAResponse_IsTheLowestReadableNumber) {
  const auto read = [](const header_list& headers) { return platform::ParseResponseHeaders({200, headers}); };
  EXPECT_EQ(read({{"server-limit", " 7.25 "}}).request_limit, 7.25);
  EXPECT_EQ(read({{"Server-Limit", "0"}}).request_limit, 0.0);
  EXPECT_EQ(read({{"Server-Limit", "9"}, {"Server-Limit", "4"}}).request_limit, 4.0);
  EXPECT_EQ(read({{"Server-Limit", "9, 4.5,x"}}).request_limit, 4.5);
  EXPECT_EQ(read({}).request_limit, std::nullopt);
  EXPECT_FALSE(read({}).has_unreadable_limit);
  for (const char* text : {"-1", "inf", "nan", "1e999", "7/s", "", ","}) {
    EXPECT_EQ(read({{"Server-Limit", text}}).request_limit, std::nullopt) << text;
    EXPECT_TRUE(read({{"Server-Limit", text}}).has_unreadable_limit) << text;
  }
}

}  // namespace
}  // namespace persimmon::platform
