// link: persimmon_direct persimmon_fake_parts
// Streams that callers take up again after the router that forwarded them is gone: those that can be known go on, and
// the others are refused.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <optional>
#include <random>
#include <set>
#include <span>

#include "persimmon/stream_origins.h"
#include "support/router_fleet.h"

namespace persimmon {
namespace {

using fakes::fake_replica;
using fakes::replica_options;
using fakes::table_store;
using nlohmann::json;
using support::caller_exchange_ptr;

constexpr std::size_t kRouters = 4;
constexpr milliseconds kAway(300);         // how long the store is away in a drill
constexpr milliseconds kCopied(200);       // after which a stream outlives its router
constexpr milliseconds kInTouch(2'500);    // after a drill, until the routers have read the store again
constexpr milliseconds kReadmission(500);  // until a new endpoint is known to all routers

// Streams of the last router that are taken up at the first one.
class router_streams_test : public testing::Test, protected support::router_fleet {
 protected:
  fake_replica& AddEngine(const std::string& name, const std::string& stage, const std::string& version,
                          const std::string& service = "llm", std::uint64_t weights_version = 1) {
    replica_options options;
    options.name = name;
    options.service = service;
    options.stage = stage;
    options.version = version;
    options.weights_version = weights_version;
    options.memory_tokens = stage == "decode" ? 100'000 : 0;
    options.event_interval = milliseconds(stage.empty() ? 1 : 30);
    engines_.push_back(&harness_.AddReplica(options));
    return *engines_.back();
  }

  caller_exchange_ptr SendStream(const host_port& router, const std::string& attempt, header_list extra = {},
                                 const std::string& path = "/digest/1") {
    header_list headers = {{"Persimmonchute-Model", "m"},
                           {"Persimmonchute-Token-Count", "1000,100"},
                           {"Persimmonchute-Length-Hint", "100"},
                           {"Persimmonchute-Prompt-Prefix", "5c:200"},
                           {"Persimmonchute-Deadline-Ms", "14000"}};
    headers.insert(headers.end(), extra.begin(), extra.end());
    return harness_.SendTo(router, "POST", path, attempt, std::move(headers), "prompt");
  }

  // Sends streams to the last router.
  std::vector<caller_exchange_ptr> SendStreams() {
    std::vector<caller_exchange_ptr> calls;
    for (int i = 0; i < streams_; ++i) {
      calls.push_back(SendStream(others_.back()->settings.deployment.callers, "first-" + std::to_string(i)));
    }
    return calls;
  }

  void LeaveAfterFirstEvents(const std::vector<caller_exchange_ptr>& calls) {
    ASSERT_TRUE(RunUntil([&calls] {
      return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return !call->body.empty(); });
    }));
    for (const caller_exchange_ptr& call : calls) {
      call->call->Cancel();
    }
    RunFor(kCopied);
  }

  void BeginStreams() { LeaveAfterFirstEvents(SendStreams()); }

  // Takes up a stream at the first router. Returns the status of the answer.
  int Resume(const std::string& attempt, const std::string& resumed) {
    return Resume(attempt, resumed, harness_.Settings().deployment.callers);
  }

  int Resume(const std::string& attempt, const std::string& resumed, const host_port& router) {
    const auto call = SendStream(router, attempt, {{"Resumes", resumed}, {"Last-Event-Id", "1"}});
    EXPECT_TRUE(RunUntil([&call] { return call->done; }));
    return call->Status();
  }

  // Runs of an attempt at the engines whose names begin so.
  int RunsOf(const std::string& attempt, const std::string& prefix) const {
    int runs = 0;
    for (const fake_replica* engine : engines_) {
      runs += engine->Name().starts_with(prefix) ? engine->Runs(attempt) : 0;
    }
    return runs;
  }

  std::vector<fake_replica*> engines_;
  int streams_ = 6;
};

// One service, whose engines have one software version at first.
class lost_router_test : public router_streams_test {
 protected:
  void SetUp() override {
    AddEngine("pre-1", "prefill", "old");
    AddEngine("old-1", "decode", "old");
    AddEngine("old-2", "decode", "old");
    harness_.WriteDesiredState({.timeout_ms = 14'000, .memory_tokens = 100'000});
    ASSERT_TRUE(StartRouters(kRouters));
    RunFor(kReadmission);
  }

  // Takes up all streams of the last router and expects that they go on at the version that began them.
  void ExpectAllGoOn(const std::string& version = "old") {
    for (int i = 0; i < streams_; ++i) {
      const std::string attempt = "again-" + std::to_string(i);
      EXPECT_EQ(Resume(attempt, "first-" + std::to_string(i)), 200) << attempt;
      EXPECT_EQ(RunsOf(attempt, version), 1) << attempt;
    }
  }

  // The store is away for a moment and comes back as it was when `change` had not been called yet.
  void Drill(const std::function<void()>& change = [] {}) {
    table_store& tables = harness_.Platform().Tables();
    tables.SaveCopy();
    change();
    harness_.Platform().Faults().outage = true;
    RunFor(kAway);
    tables.Restore();
    harness_.Platform().Faults().outage = false;
  }
};

// Guards against the loss of all streams of a frozen router as a release begins: their origins were known to it alone,
// because the service had had one version until then.
TEST_F(lost_router_test, StreamsOfAFrozenRouter_AfterASecondVersionJoined_GoOn) {
  BeginStreams();
  others_.back()->is_frozen = true;
  AddEngine("new-1", "decode", "new");
  RunFor(kReadmission);
  ExpectAllGoOn();
}

// Guards against a conclusion from the time of the caller's request: streams that wait may begin at a version that
// joined later.
TEST_F(lost_router_test, StreamsThatWaitedForASecondVersion_GoOnThere) {
  for (fake_replica* engine : engines_) {
    engine->Faults().full = engine->Name().starts_with("old");
  }
  std::vector<caller_exchange_ptr> calls = SendStreams();
  RunFor(kCopied);
  AddEngine("new-1", "decode", "new");
  AddEngine("new-2", "decode", "new");
  LeaveAfterFirstEvents(calls);
  KillLastRouter();
  for (fake_replica* engine : engines_) {
    engine->Faults().full = false;
  }
  ExpectAllGoOn("new");
}

// Guards against the loss of all streams of a killed router after a drill: the record of versions was not trusted, and
// the router that was gone could not be asked.
TEST_F(lost_router_test, StreamsOfAKilledRouter_AfterADrill_GoOn) {
  Drill();
  RunFor(kInTouch);
  BeginStreams();
  KillLastRouter();
  ExpectAllGoOn();
}

// Guards against the loss of streams whose router ends right after their first events: their origins had not been
// copied yet.
TEST_F(lost_router_test, StreamsOfARouterKilledRightAfterTheirFirstEvents_GoOn) {
  AddEngine("new-1", "decode", "new");
  RunFor(kReadmission);
  const auto calls = SendStreams();
  ASSERT_TRUE(RunUntil([&calls] {
    return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return !call->body.empty(); });
  }));
  KillLastRouter();
  for (int i = 0; i < streams_; ++i) {
    const std::string again = "again-" + std::to_string(i);
    const std::string first = "first-" + std::to_string(i);
    EXPECT_EQ(Resume(again, first), 200) << again;
    EXPECT_EQ(RunsOf(again, "new"), RunsOf(first, "new")) << again;
  }
}

// Guards against distrust of the record for as long as callers take up streams, although all routers have found it
// complete: a router that is gone can no longer be asked.
TEST_F(lost_router_test, UnknownStream_AfterADrillThatAllRoutersHaveConfirmed_GoesOn) {
  Drill();
  RunFor(kInTouch);
  KillLastRouter();
  EXPECT_EQ(Resume("again", "unknown"), 200);
}

// Guards against a conclusion from a record that may lack what one of the routers knows.
TEST_F(lost_router_test, UnknownStream_UntilAllRoutersHaveConfirmedTheRecord_IsRefused) {
  others_.back()->is_frozen = true;
  Drill();
  RunFor(kInTouch);
  EXPECT_EQ(Resume("again-1", "unknown"), 503);
  EXPECT_EQ(RunsOf("again-1", "old"), 0);
  others_.back()->is_frozen = false;
  RunFor(kInTouch);
  KillLastRouter();
  EXPECT_EQ(Resume("again-2", "unknown"), 200);
}

// Guards against confirmations by the process that has replaced the one that knew more.
TEST_F(lost_router_test, UnknownStream_AfterARouterRestartedWithinADrill_IsRefused) {
  Drill([this] {
    RestartLastRouter();
    RunFor(kReadmission);
  });
  RunFor(kInTouch);
  EXPECT_EQ(Resume("again", "unknown"), 503);
}

// The streaming route is split between three model services of one software version.
class split_route_test : public router_streams_test {
 protected:
  static constexpr const char* kServices[] = {"llm-a", "llm-b", "llm-c"};
  // With another software version, with other weights, and with both versions of the weights.
  static constexpr const char* kOtherServices[] = {"llm-v2", "llm-w2", "llm-w1-w2"};
  static constexpr const char* kPlainServices[] = {"feed-a", "feed-b", "feed-c"};

  void SetUp() override {
    streams_ = 12;
    for (const std::string service : kServices) {
      AddEngines(service, "v1");
    }
    AddEngines("llm-v2", "v2");
    AddEngines("llm-w2", "v1", 2);
    AddEngines("llm-w1-w2", "v1");
    AddEngine("llm-w1-w2-dec-3", "decode", "v1", "llm-w1-w2", 2);
    for (const std::string service : kPlainServices) {
      AddEngine(service + "-1", "", "", service);
    }
    WriteServices(1, {"llm-a", "llm-b", "llm-c"});
    ASSERT_TRUE(StartRouters(kRouters));
    RunFor(kReadmission);
  }

  void AddEngines(const std::string& service, const std::string& version, std::uint64_t weights_version = 1) {
    AddEngine(service + "-pre", "prefill", version, service, weights_version);
    AddEngine(service + "-dec-1", "decode", version, service, weights_version);
    AddEngine(service + "-dec-2", "decode", version, service, weights_version);
  }

  void RemoveEngines(const std::string& service) {
    for (fake_replica* engine : engines_) {
      if (engine->Name().starts_with(service + "-")) {
        engine->Unregister(harness_.Platform().Tables());
      }
    }
    RunFor(kReadmission);
  }

  // Writes a desired state in which the streaming route has these services; the others stay, without a route.
  void WriteServices(std::uint64_t version, std::vector<std::string> routed, std::vector<int> weights = {}) {
    std::vector<std::string> all(std::begin(kServices), std::end(kServices));
    all.insert(all.end(), std::begin(kOtherServices), std::end(kOtherServices));
    harness_.WriteDesiredState({.version = version,
                                .timeout_ms = 14'000,
                                .memory_tokens = 100'000,
                                .split_services = std::move(routed),
                                .split_weights = std::move(weights),
                                .unrouted_services = std::move(all),
                                .feed_services = {std::begin(kPlainServices), std::end(kPlainServices)}});
  }

  // The service whose engines have run the attempt; those of several are separated by blanks.
  std::string ServiceOf(const std::string& attempt) const {
    std::string services;
    for (const auto& names : {std::span(kServices), std::span(kOtherServices), std::span(kPlainServices)}) {
      for (const std::string service : names) {
        services += RunsOf(attempt, service + "-") > 0 ? (services.empty() ? "" : " ") + service : "";
      }
    }
    return services;
  }

  // Takes up all streams of the last router, and returns the services that ran the rests. Each must be answered so.
  std::set<std::string> ResumeAll(int status) {
    std::set<std::string> services;
    for (int i = 0; i < streams_; ++i) {
      const std::string again = "again-" + std::to_string(i);
      EXPECT_EQ(Resume(again, "first-" + std::to_string(i)), status) << again;
      services.insert(ServiceOf(again));
    }
    return services;
  }
};

// Guards against a service that is drawn anew for each attempt of a caller: only those streams went on that happened to
// draw the service that had begun them.
TEST_F(split_route_test, StreamsOfAKilledRouter_GoOnAtTheServicesThatBeganThem) {
  BeginStreams();
  KillLastRouter();
  std::set<std::string> begun;
  for (int i = 0; i < streams_; ++i) {
    const std::string first = "first-" + std::to_string(i);
    const std::string again = "again-" + std::to_string(i);
    EXPECT_EQ(Resume(again, first), 200) << again;
    EXPECT_EQ(ServiceOf(again), ServiceOf(first));
    begun.insert(ServiceOf(first));
  }
  EXPECT_GT(begun.size(), 1U) << "the streams began at one service";
}

// Guards against the same for streams of plain services.
TEST_F(split_route_test, PlainStreams_ThatAreTakenUp_GoOnAtTheServicesThatBeganThem) {
  const auto finish = [this](const host_port& router, const std::string& attempt, header_list extra) {
    const auto call = SendStream(router, attempt, std::move(extra), "/feed/1");
    EXPECT_TRUE(RunUntil([&call] { return call->done; }));
    return call->Status();
  };
  for (int i = 0; i < streams_; ++i) {
    const std::string first = "first-" + std::to_string(i);
    const std::string again = "again-" + std::to_string(i);
    EXPECT_EQ(finish(others_.back()->settings.deployment.callers, first, {}), 200);
    RunFor(milliseconds(30));
    EXPECT_EQ(finish(harness_.Settings().deployment.callers, again, {{"Resumes", first}, {"Last-Event-Id", "1"}}), 200);
    EXPECT_EQ(ServiceOf(again), ServiceOf(first));
  }
  EXPECT_EQ(finish(harness_.Settings().deployment.callers, "other", {{"Resumes", "unknown"}, {"Last-Event-Id", "1"}}),
            503);
}

// Guards against a conclusion from the number of versions: three services have one each.
TEST_F(split_route_test, UnknownStream_OfARouteWithSeveralServices_IsRefused) {
  for (int i = 0; i < streams_; ++i) {
    EXPECT_EQ(Resume("again-" + std::to_string(i), "unknown"), 503);
    EXPECT_EQ(ServiceOf("again-" + std::to_string(i)), "");
  }
}

// Guards against origins that are lost with all routers because each service has one version.
TEST_F(split_route_test, StreamsBegunAtSeveralServices_AreWrittenToTheStore) {
  BeginStreams();
  std::set<std::string> written;
  EXPECT_TRUE(RunUntil([&] {
    const auto& tables = harness_.Platform().Tables();
    const auto rows = tables.ChangesAfter("persimmon_origins", 0);
    for (const auto& row : *rows) {
      const json content = json::parse(tables.Read(row)->value);
      for (const auto& [version, attempts] : content["origins"].items()) {
        written.insert(attempts.begin(), attempts.end());
      }
    }
    return written.size() == static_cast<std::size_t>(streams_);
  })) << written.size();
}

// Guards against the loss of all streams of a killed router after the operator has moved their route to another service
// of the same software: a request must not be run by the old one any more, and the new one continues the streams.
TEST_F(split_route_test, Streams_WhenTheRouteWasMovedToTheSameSoftware_GoOnThere) {
  WriteServices(2, {"llm-a", "llm-b"});
  RunFor(kReadmission);
  BeginStreams();
  KillLastRouter();
  WriteServices(3, {"llm-c"});
  RunFor(kReadmission);
  EXPECT_EQ(ResumeAll(200), std::set<std::string>{"llm-c"});
}

// Guards against streams that change their service although the route still names it.
TEST_F(split_route_test, Streams_WhenAnotherServiceLeavesTheRoute_StayAtTheirs) {
  BeginStreams();
  KillLastRouter();
  WriteServices(2, {"llm-a", "llm-b"});
  RunFor(kReadmission);
  for (int i = 0; i < streams_; ++i) {
    const std::string first = "first-" + std::to_string(i);
    const std::string again = "again-" + std::to_string(i);
    EXPECT_EQ(Resume(again, first), 200);
    if (ServiceOf(first) == "llm-c") {
      EXPECT_TRUE(ServiceOf(again) == "llm-a" || ServiceOf(again) == "llm-b") << ServiceOf(again);
    } else {
      EXPECT_EQ(ServiceOf(again), ServiceOf(first));
    }
  }
}

// Guards against the loss of streams whose service has no engine left, while another one of their route continues them.
TEST_F(split_route_test, Streams_OfAServiceWithoutEngines_GoOnAtAnotherOfTheRoute) {
  WriteServices(2, {"llm-a", "llm-b"}, {1, 0});
  RunFor(kReadmission);
  BeginStreams();
  KillLastRouter();
  WriteServices(3, {"llm-a", "llm-b"});
  for (fake_replica* engine : engines_) {
    if (engine->Name().starts_with("llm-a-dec")) {
      engine->Register(harness_.Platform().Tables(), true);  // it drains
    }
  }
  RunFor(kReadmission);
  EXPECT_EQ(ResumeAll(200), std::set<std::string>{"llm-b"});
}

// Guards against a stream that goes on at a service which the operator has taken from the route, or that is joined to
// what another software version or other weights write.
TEST_F(split_route_test, Streams_WhenTheRouteWasMovedToOtherSoftwareOrWeights_AreRefused) {
  WriteServices(2, {"llm-a"});
  RunFor(kReadmission);
  BeginStreams();
  KillLastRouter();
  std::uint64_t version = 3;
  for (const char* service : kOtherServices) {
    WriteServices(version++, {service});
    RunFor(kReadmission);
    EXPECT_EQ(ResumeAll(503), std::set<std::string>{""}) << service;
  }
}

// Guards against the loss of streams whose service was taken away together with its engines.
TEST_F(split_route_test, Streams_OfAServiceThatIsGone_GoOnAtTheSameSoftwareAndWeights) {
  WriteServices(2, {"llm-a"});
  RunFor(kReadmission);
  BeginStreams();
  KillLastRouter();
  WriteServices(3, {"llm-b"});
  RemoveEngines("llm-a");
  EXPECT_EQ(ResumeAll(200), std::set<std::string>{"llm-b"});
  AddRouter();  // does not know the weights of the service that is gone
  RunFor(kReadmission);
  EXPECT_EQ(Resume("new", "first-0", others_.back()->settings.deployment.callers), 503);
  EXPECT_EQ(ServiceOf("new"), "");
}

// Guards against a stream that goes on at a service to which new requests are not sent.
TEST_F(split_route_test, Streams_WhenTheRouteWasMoved_GoOnWhereNewRequestsAreSent) {
  WriteServices(2, {"llm-a"});
  RunFor(kReadmission);
  BeginStreams();
  KillLastRouter();
  WriteServices(3, {"llm-b", "llm-c"}, {0, 1});
  RunFor(kReadmission);
  EXPECT_EQ(ResumeAll(200), std::set<std::string>{"llm-c"});
}

// Guards against joining a stream to the service to which its route was moved meanwhile.
TEST_F(split_route_test, UnknownStream_AfterTheRouteWasMoved_IsRefused) {
  WriteServices(2, {"llm-a"});
  RunFor(kReadmission);
  EXPECT_EQ(Resume("again", "unknown"), 503);
  EXPECT_EQ(ServiceOf("again"), "");
}

// Desired states, versions, weights and losses of routers that are drawn from a seed.
class changing_route_test : public router_streams_test, public testing::WithParamInterface<unsigned> {
 protected:
  static constexpr int kRounds = 4;
  static constexpr const char* kServices[] = {"llm-a", "llm-b", "llm-c"};

  struct engine_kind {
    std::string service;
    std::string version;
    std::uint64_t weights_version = 0;

    std::string Prefix() const { return service + "-" + version + "-"; }
    bool operator==(const engine_kind&) const = default;
  };

  void SetUp() override {
    for (const std::string service : kServices) {
      AddKind({service, "v1", Draw(3) == 0 ? 2U : 1U});
      if (Draw(2) == 0) {
        AddKind({service, "v2", Draw(3) == 0 ? 2U : 1U});
      }
    }
    WriteRoute();
    ASSERT_TRUE(StartRouters(kRouters));
    RunFor(kReadmission);
  }

  unsigned Draw(unsigned count) { return static_cast<unsigned>(random_() % count); }

  void AddKind(const engine_kind& kind) {
    kinds_.push_back(kind);
    for (const std::string stage : {"prefill", "decode", "decode"}) {
      AddEngine(kind.Prefix() + std::to_string(engines_.size()), stage, kind.version, kind.service,
                kind.weights_version);
    }
  }

  // Draws the services of the streaming route and their weights, of which one at least is not 0.
  void WriteRoute() {
    named_.clear();
    drawn_.clear();
    std::vector<int> weights;
    for (const std::string service : kServices) {
      if (Draw(3) > 0) {
        named_.push_back(service);
        weights.push_back(static_cast<int>(Draw(3)));
      }
    }
    if (named_.empty() || std::all_of(weights.begin(), weights.end(), [](int weight) { return weight == 0; })) {
      named_ = {kServices[Draw(3)]};
      weights = {1};
    }
    for (std::size_t i = 0; i < named_.size(); ++i) {
      if (weights[i] > 0) {
        drawn_.insert(named_[i]);
      }
    }
    harness_.WriteDesiredState({.version = ++revision_,
                                .timeout_ms = 14'000,
                                .memory_tokens = 100'000,
                                .split_services = named_,
                                .split_weights = weights,
                                .unrouted_services = {std::begin(kServices), std::end(kServices)}});
  }

  // The kind of the engines that have run the attempt; the test fails if there are several.
  std::optional<engine_kind> KindOf(const std::string& attempt) const {
    std::optional<engine_kind> ran;
    for (const engine_kind& kind : kinds_) {
      if (RunsOf(attempt, kind.Prefix()) > 0) {
        EXPECT_FALSE(ran) << attempt << " was run by engines of two kinds";
        ran = kind;
      }
    }
    return ran;
  }

  // Where a stream that began at engines of the kind may go on.
  std::vector<engine_kind> ContinuationsOf(const engine_kind& began) const {
    if (std::find(named_.begin(), named_.end(), began.service) != named_.end()) {
      return {began};
    }
    std::vector<engine_kind> continuations;
    std::copy_if(kinds_.begin(), kinds_.end(), std::back_inserter(continuations), [&](const engine_kind& kind) {
      return drawn_.contains(kind.service) && kind.version == began.version &&
             kind.weights_version == began.weights_version;
    });
    return continuations;
  }

  void LoseLastRouter() {
    switch (Draw(3)) {
      case 0:
        RestartLastRouter();
        break;
      case 1:
        KillLastRouter();
        AddRouter();
        break;
      default:  // its callers have only lost their connections
        break;
    }
  }

  std::mt19937 random_{GetParam()};
  std::vector<engine_kind> kinds_;
  std::vector<std::string> named_;  // services of the route
  name_set drawn_;                  // those with a weight
  std::uint64_t revision_ = 0;
};

// Guards against streams that are lost, or joined to what other software, other weights or a service outside the route
// write, when routers are lost and desired states change in any order.
TEST_P(changing_route_test, StreamsThatAreTakenUp_GoOnWhereTheRouteAllowsIt) {
  for (int round = 0; round < kRounds; ++round) {
    const std::string suffix = "-" + std::to_string(round) + "-";
    std::vector<caller_exchange_ptr> calls;
    for (int i = 0; i < streams_; ++i) {
      calls.push_back(SendStream(others_.back()->settings.deployment.callers, "first" + suffix + std::to_string(i)));
    }
    ASSERT_TRUE(RunUntil([&calls] {
      return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return !call->body.empty(); });
    }));
    if (Draw(2) == 0) {
      WriteRoute();
    }
    LoseLastRouter();
    for (const caller_exchange_ptr& call : calls) {
      call->call->Cancel();
    }
    if (Draw(2) == 0) {
      WriteRoute();
    }
    RunFor(2 * kReadmission);
    for (int i = 0; i < streams_; ++i) {
      const std::string again = "again" + suffix + std::to_string(i);
      const auto began = KindOf("first" + suffix + std::to_string(i));
      ASSERT_TRUE(began);
      const auto allowed = ContinuationsOf(*began);
      const host_port router = Draw(2) == 0 ? harness_.Settings().deployment.callers
                                            : others_[Draw(kRouters - 1)]->settings.deployment.callers;
      EXPECT_EQ(Resume(again, "first" + suffix + std::to_string(i), router), allowed.empty() ? 503 : 200) << again;
      const auto ran = KindOf(again);
      EXPECT_EQ(ran.has_value(), !allowed.empty()) << again;
      EXPECT_TRUE(!ran || std::find(allowed.begin(), allowed.end(), *ran) != allowed.end())
          << again << " began at " << began->Prefix() << " and went on at " << ran->Prefix();
    }
  }
}

unsigned SeedCount() {
  const char* text = std::getenv("ROUTE_SEEDS");  // NOLINT(concurrency-mt-unsafe): read before any thread starts
  return text == nullptr ? 4U : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

INSTANTIATE_TEST_SUITE_P(seeds, changing_route_test, testing::Range(1U, 1U + SeedCount()));

}  // namespace
}  // namespace persimmon
