// link: persimmon_direct persimmon_fake_parts
// Client accounts of the router without agents: which requests reach endpoints, and with which headers.
//
// Sections
//   1. keys and headers
//   2. revocation
//   3. state of the router
//   4. limits
#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

#include "direct/router_group.h"
#include "support/router_harness.h"

namespace persimmon {
namespace {

using fakes::fake_replica;
using fakes::replica_options;
using support::caller_exchange_ptr;
using support::desired_state_options;
using support::json;
using support::router_harness;
using support::WholeStream;

constexpr const char* kAuthorization = "Authorization";
constexpr const char* kTenant = "Persimmonchute-Tenant";
// A changed key must take effect within this time of the store's acknowledgement.
constexpr milliseconds kApplyTime(3'000);

// A router that has been started for this long knows that there are no others.
constexpr milliseconds kGroupStartTime(2'500);

header_list Key(const std::string& key) { return {{kAuthorization, "Bearer " + key}}; }

json Account(const std::string& name, const std::vector<std::string>& keys) {
  return {{"name", name}, {"api_keys", keys}};
}

class caller_accounts_test : public testing::Test {
 protected:
  caller_accounts_test() : caller_accounts_test(nullptr) {}

  // How long a stream without data keeps its engine, less than the timeout of the routes.
  static constexpr milliseconds kStallLimit{400};

  explicit caller_accounts_test(const std::function<void(direct_settings&)>& adjust,
                                router_harness::store_path path = router_harness::store_path::kDirect)
      : harness_(
            [&adjust](direct_settings& settings) {
              settings.stall_limit = kStallLimit;
              if (adjust) {
                adjust(settings);
              }
            },
            path) {
    for (const char* name : {"app-1", "app-2"}) {
      replica_options options;
      options.name = name;
      options.service = "app";
      plain_.push_back(&harness_.AddReplica(options));
    }
    AddEngine("prefill-1", "prefill");
    AddEngine("decode-1", "decode");
    state_.tenants = json::array({Account("alpha", {"key-a1", "key-a2"}), Account("beta", {"key-b"})});
    harness_.WriteDesiredState(state_);
  }

  void SetUp() override { ASSERT_TRUE(harness_.Start()); }

  void AddEngine(const std::string& name, const std::string& stage) {
    replica_options options;
    options.name = name;
    options.service = "llm";
    options.stage = stage;
    options.memory_tokens = stage == "decode" ? 10'000 : 0;
    options.tokens_per_ms = stage == "prefill" ? 4 : 0;
    options.event_interval = milliseconds(20);
    engines_.push_back(&harness_.AddReplica(options));
  }

  // Writes a desired state with these accounts and does not wait for the router.
  void WriteAccounts(const json& accounts) {
    ++state_.version;
    state_.tenants = accounts;
    harness_.WriteDesiredState(state_);
  }

  void ApplyAccounts(const json& accounts) {
    WriteAccounts(accounts);
    ASSERT_TRUE(
        harness_.RunUntil([&] { return harness_.Directory().Routes()->Revision() == state_.version; }, kApplyTime));
  }

  // Requests of callers that have reached endpoints, without control calls.
  std::vector<http_request> Reached() const {
    std::vector<http_request> reached;
    for (const auto& replicas : {plain_, engines_}) {
      for (const fake_replica* replica : replicas) {
        for (const http_request& request : replica->Requests()) {
          if (!FindHeader(request.headers, "Persimmonchute-Attempt-Id").empty()) {
            reached.push_back(request);
          }
        }
      }
    }
    return reached;
  }

  // Fails if an endpoint has received a key in any header, or another account name than this one.
  void ExpectOnlyAccount(const std::string& name) const {
    for (const http_request& request : Reached()) {
      EXPECT_EQ(FindHeader(request.headers, kTenant), name);
      for (const header_field& field : request.headers) {
        EXPECT_EQ(field.value.find("key-"), std::string::npos) << field.name;
        EXPECT_NE(field.name, kAuthorization);
      }
    }
  }

  caller_exchange_ptr FinishedCall(const std::string& path, const std::string& attempt, header_list headers = {}) {
    auto call = harness_.Send("GET", path, attempt, std::move(headers));
    EXPECT_TRUE(harness_.Finish(call));
    return call;
  }

  caller_exchange_ptr SendModel(const std::string& path, const std::string& attempt, const std::string& key) {
    return harness_.SendModel(path, attempt, 1'000, 100, milliseconds(14'000), Key(key));
  }

  desired_state_options state_;
  router_harness harness_;
  std::vector<fake_replica*> plain_;
  std::vector<fake_replica*> engines_;  // a prefill engine, then decode engines
};

// ---------------------------------------------------------------------------------------------------------------------
// 1. keys and headers
// ---------------------------------------------------------------------------------------------------------------------

// Endpoints attribute work by the name; a key in their hands could be used by them.
TEST_F(caller_accounts_test, KnownKey_OfPlainCalls_ArrivesAsAccountName) {
  for (const char* key : {"key-a1", "key-a2"}) {
    EXPECT_EQ(FinishedCall("/pages/1", "p1", Key(key))->Status(), 200);
    EXPECT_EQ(FinishedCall("/submit/1", "s1", Key(key))->Status(), 200);
  }
  EXPECT_EQ(Reached().size(), 4U);
  ExpectOnlyAccount("alpha");
}

// The prefill and the decode are separate requests, and each must carry the name.
TEST_F(caller_accounts_test, KnownKey_OfStreams_ArrivesAsAccountNameAtBothEngines) {
  const auto call = SendModel("/chat/1", "m1", "key-b");
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(call->body, WholeStream("m1", 5));
  EXPECT_EQ(Reached().size(), 2U);
  ExpectOnlyAccount("beta");
}

TEST_F(caller_accounts_test, SchemeOfAKey_InOtherCase_IsAccepted) {
  EXPECT_EQ(FinishedCall("/pages/1", "a1", {{"authorization", "bearer key-b"}})->Status(), 200);
  ExpectOnlyAccount("beta");
}

TEST_F(caller_accounts_test, RequestWithoutAKnownKey_IsAnswered401AndNotSent) {
  const std::vector<header_list> callers = {{},
                                            Key("key-x"),
                                            Key("KEY-A1"),
                                            Key(""),
                                            {{kAuthorization, "Basic key-a1"}},
                                            {{kAuthorization, "key-a1"}},
                                            {{kTenant, "alpha"}}};
  for (std::size_t i = 0; i < callers.size(); ++i) {
    for (const char* path : {"/pages/1", "/submit/1", "/chat/1", "/digest/1"}) {
      const auto call = FinishedCall(path, "x" + std::to_string(i), callers[i]);
      EXPECT_EQ(call->Status(), 401) << path << ", caller " << i;
      EXPECT_EQ(call->Header("WWW-Authenticate"), "Bearer");
      EXPECT_EQ(call->Header("Retry-After"), "");
      EXPECT_NE(call->body.find("\"not_run\""), std::string::npos);
    }
  }
  EXPECT_TRUE(Reached().empty());
}

TEST_F(caller_accounts_test, AnonymousRoute_WithoutAKnownKey_SendsNeitherHeader) {
  EXPECT_EQ(FinishedCall("/open/1", "o1")->Status(), 200);
  EXPECT_EQ(FinishedCall("/open/1", "o2", Key("key-x"))->Status(), 200);
  EXPECT_EQ(FinishedCall("/open/1", "o3", {{kTenant, "alpha"}})->Status(), 200);
  EXPECT_EQ(Reached().size(), 3U);
  ExpectOnlyAccount("");
}

TEST_F(caller_accounts_test, AnonymousRoute_WithAKnownKey_NamesTheAccount) {
  EXPECT_EQ(FinishedCall("/open/1", "o1", Key("key-a1"))->Status(), 200);
  ExpectOnlyAccount("alpha");
}

// A caller must not be able to use another account's name.
TEST_F(caller_accounts_test, AccountNameOfTheCaller_IsReplaced) {
  header_list headers = Key("key-a1");
  headers.push_back({kTenant, "beta"});
  headers.push_back({"persimmonchute-TENANT", "gamma"});
  EXPECT_EQ(FinishedCall("/pages/1", "a1", headers)->Status(), 200);
  const auto streamed = harness_.SendModel("/chat/1", "m1", 1'000, 100, milliseconds(14'000), headers);
  ASSERT_TRUE(harness_.Finish(streamed));
  EXPECT_EQ(streamed->Status(), 200);
  for (const http_request& request : Reached()) {
    EXPECT_EQ(std::count_if(request.headers.begin(), request.headers.end(),
                            [](const header_field& field) {
                              return field.name.size() == std::string(kTenant).size() &&
                                     FindHeader({field}, kTenant) == field.value;
                            }),
              1);
  }
  ExpectOnlyAccount("alpha");
}

TEST_F(caller_accounts_test, SecondAuthorizationHeader_IsNotForwarded) {
  header_list headers = Key("key-a1");
  headers.push_back({"AUTHORIZATION", "Bearer key-b"});
  EXPECT_EQ(FinishedCall("/pages/1", "a1", headers)->Status(), 200);
  ExpectOnlyAccount("alpha");
}

// Deployments without accounts are served as before.
TEST_F(caller_accounts_test, DeploymentWithoutAccounts_ForwardsBothHeadersOfCallers) {
  ApplyAccounts(nullptr);
  EXPECT_EQ(FinishedCall("/pages/1", "a1", {{kAuthorization, "Bearer key-x"}, {kTenant, "other"}})->Status(), 200);
  EXPECT_EQ(FinishedCall("/pages/1", "a2")->Status(), 200);
  ASSERT_EQ(Reached().size(), 2U);
  for (const http_request& request : Reached()) {
    const bool is_first = FindHeader(request.headers, "Persimmonchute-Attempt-Id") == "a1";
    EXPECT_EQ(FindHeader(request.headers, kAuthorization), is_first ? "Bearer key-x" : "");
    EXPECT_EQ(FindHeader(request.headers, kTenant), is_first ? "other" : "");
  }
}

TEST_F(caller_accounts_test, EmptyListOfAccounts_MakesEveryKeyUnknown) {
  ApplyAccounts(json::array());
  EXPECT_EQ(FinishedCall("/pages/1", "a1", Key("key-a1"))->Status(), 401);
  EXPECT_EQ(FinishedCall("/open/1", "a2", Key("key-a1"))->Status(), 200);
  ExpectOnlyAccount("");
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. revocation
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(caller_accounts_test, NewKey_IsKnownWithinTheApplyTime) {
  EXPECT_EQ(FinishedCall("/pages/1", "a1", Key("key-new"))->Status(), 401);
  ApplyAccounts(json::array({Account("alpha", {"key-new"})}));
  EXPECT_EQ(FinishedCall("/pages/1", "a2", Key("key-new"))->Status(), 200);
  ExpectOnlyAccount("alpha");
}

// A router that checked keys once for each connection would go on serving this caller.
TEST_F(caller_accounts_test, KeyRevoked_OnAnOpenConnection_IsRefused) {
  const auto first = harness_.SendOnKeptConnection("GET", "/pages/1", "a1", Key("key-a1"));
  ASSERT_TRUE(harness_.Finish(first));
  EXPECT_EQ(first->Status(), 200);
  ApplyAccounts(json::array({Account("alpha", {"key-a2"})}));
  const auto second = harness_.SendOnKeptConnection("GET", "/pages/1", "a2", Key("key-a1"));
  ASSERT_TRUE(harness_.Finish(second));
  EXPECT_TRUE(second->call->IsReused());
  EXPECT_EQ(second->Status(), 401);
  EXPECT_EQ(Reached().size(), 1U);
  EXPECT_EQ(FinishedCall("/pages/1", "a3", Key("key-a2"))->Status(), 200);
}

// A request that was admitted before the revocation must not be sent after it.
TEST_F(caller_accounts_test, KeyRevoked_WhileAModelRequestWaits_IsRefusedAtOnce) {
  engines_[1]->Faults().full = true;
  const auto call = SendModel("/chat/1", "m1", "key-a1");
  harness_.RunFor(milliseconds(100));
  ASSERT_FALSE(call->done);
  ApplyAccounts(json::array({Account("beta", {"key-b"})}));
  ASSERT_TRUE(harness_.Finish(call, milliseconds(500)));
  EXPECT_EQ(call->Status(), 401);
  engines_[1]->Faults().full = false;
  harness_.RunFor(milliseconds(200));
  EXPECT_TRUE(Reached().empty());
}

TEST_F(caller_accounts_test, KeyRevoked_DuringThePrefill_IsNotDecoded) {
  const auto call = SendModel("/chat/1", "m1", "key-a1");  // the prefill takes 250 ms
  ASSERT_TRUE(harness_.RunUntil([&] { return !Reached().empty(); }));
  ApplyAccounts(json::array({Account("beta", {"key-b"})}));
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 401);
  harness_.RunFor(milliseconds(100));
  EXPECT_EQ(Reached().size(), 1U);
  EXPECT_EQ(engines_[1]->Runs("m1"), 0);
  EXPECT_EQ(engines_[1]->ReservedTokens(), 0U);
  EXPECT_EQ(engines_[0]->StoredHandleCount(), 0U);
}

// The first try may have run, so the answer must not promise that nothing has.
TEST_F(caller_accounts_test, KeyRevoked_BeforeASecondTry_IsNotSentAgain) {
  for (fake_replica* replica : plain_) {
    replica->Faults().never_responds = true;
  }
  const auto call = harness_.Send("GET", "/pages/1", "a1", Key("key-a1"));  // the second try follows after 675 ms
  ASSERT_TRUE(harness_.RunUntil([&] { return !Reached().empty(); }));
  ApplyAccounts(json::array());
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 504);  // the first attempt goes on until the deadline and may have run
  EXPECT_EQ(Reached().size(), 1U);
}

class two_engines_test : public caller_accounts_test {
 protected:
  two_engines_test() { AddEngine("decode-2", "decode"); }

  int Runs(const std::string& attempt) const { return engines_[1]->Runs(attempt) + engines_[2]->Runs(attempt); }
};

TEST_F(two_engines_test, KeyRevoked_BeforeASecondEngine_IsNotSentAgain) {
  for (const std::size_t engine : {1, 2}) {
    engines_[engine]->Faults().never_responds = true;
  }
  const auto call = SendModel("/digest/1", "m1", "key-a1");  // the second engine would follow after the stall limit
  ASSERT_TRUE(harness_.RunUntil([&] { return Runs("m1") == 1; }));
  ApplyAccounts(json::array());
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 502);
  EXPECT_EQ(Runs("m1"), 1);
  EXPECT_EQ(engines_[0]->Prefills(), 1);
}

// A stream in progress is not ended by a revocation, also if its engine is lost afterwards.
TEST_F(two_engines_test, KeyRevoked_DuringAStream_LetsItGoOnAtAnotherEngine) {
  for (const std::size_t engine : {1, 2}) {
    engines_[engine]->Faults().break_after_events = 3;
  }
  const auto call = SendModel("/digest/1", "m1", "key-a1");
  ASSERT_TRUE(harness_.RunUntil([&] { return !call->body.empty(); }));
  for (const std::size_t engine : {1, 2}) {
    if (engines_[engine]->Runs("m1") == 0) {
      engines_[engine]->Faults() = {};
    }
  }
  ApplyAccounts(json::array());
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(call->body, WholeStream("m1", 5));
  EXPECT_EQ(Runs("m1"), 2);
  ExpectOnlyAccount("alpha");
}

// A call that waits for a permit of its endpoint is sent when the permit arrives, without passing the queue again.
TEST_F(caller_accounts_test, KeyRevoked_WhileACallWaitsForAPermit_IsRefused) {
  for (fake_replica* replica : plain_) {
    replica->Faults().request_limit = "2";
  }
  harness_.RunFor(kGroupStartTime);
  for (int i = 0; i < 4; ++i) {  // the router learns the limits and uses up what they allow
    FinishedCall("/pages/1", "b" + std::to_string(i), Key("key-b"));
  }
  const std::size_t reached_before = Reached().size();
  std::vector<caller_exchange_ptr> calls;
  calls.reserve(4);
  for (int i = 0; i < 4; ++i) {
    calls.push_back(harness_.Send("GET", "/pages/1", "a" + std::to_string(i), Key("key-a1")));
  }
  harness_.RunFor(milliseconds(20));
  const auto waiting = std::count_if(calls.begin(), calls.end(), [](const auto& call) { return !call->done; });
  ASSERT_GT(waiting, 0);
  ApplyAccounts(json::array({Account("beta", {"key-b"})}));
  for (const auto& call : calls) {
    ASSERT_TRUE(harness_.Finish(call));
  }
  EXPECT_EQ(std::count_if(calls.begin(), calls.end(), [](const auto& call) { return call->Status() == 401; }), waiting);
  EXPECT_EQ(Reached().size(), reached_before);
}

TEST_F(caller_accounts_test, KeyRevoked_DuringAStream_LetsItFinish) {
  const auto call = SendModel("/digest/1", "m1", "key-a1");
  ASSERT_TRUE(harness_.RunUntil([&] { return !call->body.empty(); }));
  ApplyAccounts(json::array());
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(call->body, WholeStream("m1", 5));
}

// The name that a request carries must be that of the account that holds the key when it is sent.
TEST_F(caller_accounts_test, KeyMovedToAnotherAccount_WhileARequestWaits_ArrivesWithItsName) {
  engines_[1]->Faults().full = true;
  const auto call = SendModel("/chat/1", "m1", "key-a1");
  harness_.RunFor(milliseconds(100));
  ApplyAccounts(json::array({Account("beta", {"key-a1"})}));
  engines_[1]->Faults().full = false;
  ASSERT_TRUE(harness_.Finish(call));
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(Reached().size(), 2U);
  ExpectOnlyAccount("beta");
}

// The key of a request that arrived before there were accounts must not reach an endpoint that is chosen later.
TEST_F(caller_accounts_test, AccountsIntroduced_WhileARequestWaits_ApplyToIt) {
  ApplyAccounts(nullptr);
  engines_[1]->Faults().full = true;
  const auto known = SendModel("/chat/1", "m1", "key-a1");
  const auto unknown = SendModel("/chat/1", "m2", "key-x");
  harness_.RunFor(milliseconds(100));
  ApplyAccounts(json::array({Account("alpha", {"key-a1"})}));
  engines_[1]->Faults().full = false;
  ASSERT_TRUE(harness_.Finish(known));
  ASSERT_TRUE(harness_.Finish(unknown));
  EXPECT_EQ(known->Status(), 200);
  EXPECT_EQ(unknown->Status(), 401);
  EXPECT_EQ(Reached().size(), 2U);
  ExpectOnlyAccount("alpha");
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. state of the router
// ---------------------------------------------------------------------------------------------------------------------

TEST(caller_accounts_start_test, RouterWithoutADesiredState_Answers503) {
  router_harness harness;
  harness.StartWithoutWaiting();
  harness.RunFor(milliseconds(100));
  const auto call = harness.Send("GET", "/pages/1", "a1", Key("key-a1"));
  ASSERT_TRUE(harness.Finish(call));
  EXPECT_EQ(call->Status(), 503);
  EXPECT_NE(call->Header("Retry-After"), "");
}

// The key may have been added since the router last heard of the store.
TEST_F(caller_accounts_test, UnknownKey_WhileTheStoreIsAway_IsAnswered503) {
  harness_.Platform().Faults().outage = true;
  ASSERT_TRUE(harness_.RunUntil([&] { return !harness_.Directory().FollowsDesiredState(); }));
  const auto unknown = FinishedCall("/pages/1", "a1", Key("key-new"));
  EXPECT_EQ(unknown->Status(), 503);
  EXPECT_NE(unknown->Header("Retry-After"), "");
  EXPECT_EQ(FinishedCall("/pages/1", "a2")->Status(), 401) << "no new key makes a request without one valid";
  EXPECT_EQ(FinishedCall("/pages/1", "a3", Key("key-a1"))->Status(), 200);
  harness_.Platform().Faults().outage = false;
  ASSERT_TRUE(harness_.RunUntil([&] { return harness_.Directory().FollowsDesiredState(); }));
  EXPECT_EQ(FinishedCall("/pages/1", "a4", Key("key-new"))->Status(), 401);
  EXPECT_EQ(Reached().size(), 1U);
}

// Another router may know the key already.
TEST_F(caller_accounts_test, UnknownKey_WhileAnotherRouterHasANewerState_IsAnswered503) {
  datagram_socket peer(harness_.Kernel().Context(), host_port{"127.0.0.1", 0}, [](const host_port&, const message&) {});
  ASSERT_TRUE(peer.Start());
  router_state sent;
  sent.name = "router-2";
  sent.incarnation = 7;
  sent.sequence = 1;
  sent.revision = state_.version + 1;
  peer.Send({"127.0.0.1", harness_.Settings().deployment.first_internal_port}, message(sent));
  ASSERT_TRUE(harness_.RunUntil(
      [this, &sent] { return harness_.Kernel().Find<router_group>("group").NewestPeerRevision() == sent.revision; }));
  EXPECT_EQ(FinishedCall("/pages/1", "a1", Key("key-x"))->Status(), 503);
  EXPECT_EQ(FinishedCall("/pages/1", "a2", Key("key-a1"))->Status(), 200);
  ApplyAccounts(json::array({Account("alpha", {"key-a1"})}));
  EXPECT_EQ(FinishedCall("/pages/1", "a3", Key("key-x"))->Status(), 401);
  peer.Stop();
}

// The control port is open to all VMs of the deployment; hashes are enough for other routers to check keys.
TEST_F(caller_accounts_test, ExportedState_HasNoKeysAndServesAnotherRouter) {
  const auto exported = harness_.SendToControl("/state");
  ASSERT_TRUE(harness_.Finish(exported));
  EXPECT_EQ(exported->Status(), 200);
  EXPECT_EQ(exported->body.find("key-"), std::string::npos) << exported->body;
  router_harness other;
  other.StartWithoutWaiting();
  ASSERT_TRUE(other.Directory().ImportState(exported->body));
  EXPECT_EQ(other.Directory().Routes()->Accounts(), harness_.Directory().Routes()->Accounts());
  EXPECT_EQ(other.Directory().ExportState(), exported->body);
}

TEST_F(caller_accounts_test, Metrics_CountResultsAndHoldNeitherKeysNorNames) {
  FinishedCall("/pages/1", "a1", Key("key-a1"));
  FinishedCall("/pages/1", "a2", Key("key-x"));
  FinishedCall("/pages/1", "a3");
  FinishedCall("/open/1", "a4");
  const auto metrics = harness_.SendToControl("/metrics");
  ASSERT_TRUE(harness_.Finish(metrics));
  for (const char* result : {"accepted", "key_unknown", "key_missing", "anonymous"}) {
    const std::string line = std::string("persimmon_account_checks_total{result=\"") + result + "\"} 1";
    EXPECT_NE(metrics->body.find(line), std::string::npos) << line;
  }
  EXPECT_EQ(metrics->body.find("key-"), std::string::npos);
  EXPECT_EQ(metrics->body.find("alpha"), std::string::npos);
}

class strict_revocation_test : public caller_accounts_test {
 protected:
  strict_revocation_test()
      : caller_accounts_test([](direct_settings& settings) {
          settings.deployment.strict_revoke = true;
          settings.deployment.revoke_time = kRevokeTime;
        }) {}

  static constexpr milliseconds kRevokeTime{600};
};

// A router that is cut off cannot know whether a key has been revoked.
TEST_F(strict_revocation_test, RequestsWithAKey_WhileTheStateIsUnconfirmed_AreAnswered503) {
  EXPECT_EQ(FinishedCall("/pages/1", "a1", Key("key-a1"))->Status(), 200);
  harness_.RunFor(2 * kRevokeTime);
  EXPECT_EQ(FinishedCall("/pages/1", "a2", Key("key-a1"))->Status(), 200) << "a quiet store confirms the state";
  harness_.Platform().Faults().outage = true;
  harness_.RunFor(kRevokeTime + milliseconds(100));
  const auto refused = FinishedCall("/pages/1", "a3", Key("key-a1"));
  EXPECT_EQ(refused->Status(), 503);
  EXPECT_NE(refused->Header("Retry-After"), "");
  EXPECT_EQ(FinishedCall("/open/1", "a4")->Status(), 200);
  EXPECT_EQ(FinishedCall("/pages/1", "a5")->Status(), 401);
  harness_.Platform().Faults().outage = false;
  ASSERT_TRUE(harness_.RunUntil([&] { return harness_.Directory().FollowsDesiredState(); }));
  EXPECT_EQ(FinishedCall("/pages/1", "a6", Key("key-a1"))->Status(), 200);
}

// An answer of the store that has waited in a buffer during a pause says nothing about the time since it was sent.
TEST_F(strict_revocation_test, AfterAPauseOfTheProcess_AnOldAnswerOfTheStoreConfirmsNothing) {
  EXPECT_EQ(FinishedCall("/pages/1", "a1", Key("key-a1"))->Status(), 200);
  std::this_thread::sleep_for(kRevokeTime + milliseconds(100));  // a poll is in progress
  EXPECT_EQ(FinishedCall("/pages/1", "a2", Key("key-a1"))->Status(), 503);
  harness_.RunFor(kRevokeTime);
  EXPECT_EQ(FinishedCall("/pages/1", "a3", Key("key-a1"))->Status(), 200);
}

// Two routers; only the second one keeps its connection to the store.
class confirmation_test : public caller_accounts_test {
 protected:
  confirmation_test()
      : caller_accounts_test(
            [](direct_settings& settings) {
              settings.deployment.strict_revoke = true;
              settings.deployment.revoke_time = kRevokeTime;
            },
            router_harness::store_path::kLink) {}

  ~confirmation_test() override { other_.Stop(); }

  void SetUp() override {
    caller_accounts_test::SetUp();
    direct_settings settings = harness_.Settings();
    auto& deployment = settings.deployment;
    const auto free_address = [] { return host_port{"127.0.0.2", static_cast<std::uint16_t>(support::FreePort())}; };
    deployment.name = "router-2";
    deployment.callers = free_address();
    deployment.readiness = free_address();
    deployment.control = free_address();
    deployment.store = {"127.0.0.1", harness_.Platform().Port()};
    deployment.seeds = {harness_.Settings().deployment.control};
    stop_ = RegisterDirectRouter(other_, settings);
    other_.Start();
    ASSERT_TRUE(RunBothUntil([this] {
      return !harness_.Kernel().Find<router_group>("group").ControlAddresses().empty() &&
             other_.Find<deployment_directory>("directory").IsInForce();
    }));
  }

  bool RunBothUntil(const std::function<bool()>& condition, milliseconds limit = milliseconds(10'000)) {
    const time_point end = timer_service::Now() + limit;
    while (!condition()) {
      if (timer_service::Now() > end) {
        return false;
      }
      std::size_t handled = 0;
      for (kernel* services : {&harness_.Kernel(), &other_}) {
        services->Context().restart();
        handled += services->Context().poll();
      }
      if (handled == 0) {
        std::this_thread::sleep_for(microseconds(200));
      }
    }
    return true;
  }

  void RunBothFor(milliseconds duration) {
    const time_point end = timer_service::Now() + duration;
    RunBothUntil([end] { return timer_service::Now() >= end; }, duration + milliseconds(1'000));
  }

  int StatusOf(const std::string& attempt, const std::string& key) {
    const auto call = harness_.Send("GET", "/pages/1", attempt, Key(key));
    EXPECT_TRUE(RunBothUntil([&] { return call->done; }));
    return call->Status();
  }

  static constexpr milliseconds kRevokeTime{1'000};

  kernel other_;
  detail::stop_function stop_;
};

// A router that is cut off from the store only must serve known keys, and must learn changes of keys.
TEST_F(confirmation_test, RouterCutOffFromTheStore_IsConfirmedByAnotherRouter) {
  ASSERT_TRUE(harness_.StoreLink().SetRefusingConnections(true));
  harness_.StoreLink().CutConnections();
  const time_point end = timer_service::Now() + 4 * kRevokeTime;
  for (int i = 0; timer_service::Now() < end; ++i) {
    EXPECT_EQ(StatusOf("a" + std::to_string(i), "key-a1"), 200);
    RunBothFor(milliseconds(20));
  }
  EXPECT_EQ(StatusOf("x1", "key-new"), 503);
  WriteAccounts(json::array({Account("beta", {"key-new"})}));
  ASSERT_TRUE(RunBothUntil([this] { return harness_.Directory().Routes()->Revision() == state_.version; }, kApplyTime));
  EXPECT_EQ(StatusOf("x2", "key-new"), 200);
  EXPECT_NE(StatusOf("x3", "key-a1"), 200);
  // Without the store at the other router either, nothing confirms the state.
  harness_.Platform().Faults().outage = true;
  RunBothFor(kRevokeTime + milliseconds(100));
  EXPECT_EQ(StatusOf("x4", "key-new"), 503);
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. limits
// ---------------------------------------------------------------------------------------------------------------------

class limited_account_test : public caller_accounts_test {
 protected:
  limited_account_test() {
    json limited = Account("alpha", {"key-a1"});
    limited["per_s"] = kPerSecond;
    limited["burst"] = kBurst;
    WriteAccounts(json::array({limited, Account("beta", {"key-b"})}));
  }

  void SetUp() override {
    caller_accounts_test::SetUp();
    ASSERT_TRUE(harness_.RunUntil([&] { return harness_.Directory().Routes()->Revision() == state_.version; }));
    harness_.RunFor(kGroupStartTime);  // the router knows by then that it is the home of all accounts
  }

  static constexpr int kPerSecond = 4;
  static constexpr int kBurst = 8;
};

// Endpoints must not run what exceeds the limit, and 429 promises that the request has not run.
TEST_F(limited_account_test, RequestsOverTheLimit_AreAnswered429AndNotSent) {
  constexpr int kRequests = 40;
  const time_point begin = timer_service::Now();
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string attempt = "a" + std::to_string(i);
    const auto call = FinishedCall("/pages/1", attempt, Key("key-a1"));
    const int runs = plain_[0]->Runs(attempt) + plain_[1]->Runs(attempt);
    served += runs;
    if (call->Status() == 200) {
      EXPECT_EQ(runs, 1);
      continue;
    }
    EXPECT_EQ(call->Status(), 429);
    EXPECT_EQ(runs, 0);
    EXPECT_GT(std::stod(call->Header("Retry-After")), 0);
    EXPECT_NE(call->body.find("\"not_run\""), std::string::npos);
  }
  const double seconds = std::chrono::duration<double>(timer_service::Now() - begin).count();
  EXPECT_LE(served, kPerSecond * seconds + kBurst + 1);
  EXPECT_GT(served, 0);
  EXPECT_EQ(FinishedCall("/pages/1", "b1", Key("key-b"))->Status(), 200) << "another account is not limited";
}

// Endpoints that reject requests must not use up the limit of the account: nothing has run.
TEST_F(limited_account_test, RequestsThatEndpointsReject_UseNothing) {
  for (fake_replica* replica : plain_) {
    replica->Faults().full = true;
  }
  for (int i = 0; i < 5 * kBurst; ++i) {
    EXPECT_EQ(FinishedCall("/pages/1", "a" + std::to_string(i), Key("key-a1"))->Status(), 503);
  }
}

// A request that no endpoint has received must not use up the limit.
TEST_F(limited_account_test, RequestsThatAreNotSent_UseNothing) {
  for (fake_replica* replica : plain_) {
    replica->Unregister(harness_.Platform().Tables());
  }
  ASSERT_TRUE(harness_.RunUntil([&] { return harness_.Directory().Endpoints().Size() == engines_.size(); }));
  for (int i = 0; i < 10 * kBurst; ++i) {
    EXPECT_EQ(FinishedCall("/pages/1", "n" + std::to_string(i), Key("key-a1"))->Status(), 503);
  }
}

}  // namespace
}  // namespace persimmon
