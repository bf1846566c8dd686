// link: persimmon_platform persimmon_fake_parts
// Guards against claims that are lost, reported with a wrong result, or blocked by another claim in the same
// transaction.
#include "store/claim_store.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <map>

#include "fakes/fake_platform.h"

namespace persimmon {
namespace {

claim_row MakeRow(const std::string& key, const std::string& attempt) {
  return {idempotency_key{key}, attempt_id{attempt}, endpoint_name{"A"}, 3, claim_phase::kClaimed};
}

claim_operation Insert(const claim_row& row) { return {claim_operation_kind::kInsert, row, {}}; }
claim_operation Read(const std::string& key) { return {claim_operation_kind::kRead, MakeRow(key, ""), {}}; }
claim_operation Replace(const claim_row& row, const std::string& expected) {
  return {claim_operation_kind::kReplace, row, attempt_id{expected}};
}
claim_operation Finish(claim_row row) {
  row.phase = claim_phase::kDone;
  return {claim_operation_kind::kFinish, row, row.attempt};
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

class claim_store_test : public testing::Test {
 protected:
  claim_store_test() : platform_(context_, host_port{"127.0.0.1", 0}) {
    settings_.expiry_period = milliseconds(0);
    settings_.forward_timeout = milliseconds(200);
  }

  void SetUp() override {
    ASSERT_TRUE(platform_.Start());
    server_ = host_port{"127.0.0.1", platform_.Port()};
    AddStore("r1");
  }
  void TearDown() override { platform_.Stop(); }

  // Connects the stores to each other as in a group of routers, but without a network.
  claim_store& AddStore(const std::string& name) {
    claim_transport transport;
    transport.self = router_name{name};
    transport.routers = [this] { return routers_; };
    transport.send = [this, name](const router_name& target, const message& value) {
      if (drop_batches_) {
        return true;
      }
      if (const auto* batch = std::get_if<claim_batch>(&value)) {
        ++forwarded_batches_;
        stores_.at(target.value)->OnBatch(*batch, [this, name](const claim_results& results) {
          stores_.at(name)->OnResults(results);
        });
      }
      return true;
    };
    table_client table(context_, {server_}, kTimeout);
    stores_[name] = std::make_unique<claim_store>(timers_, context_, table, settings_, transport);
    routers_.push_back(router_name{name});
    return *stores_[name];
  }

  claim_store& FirstStore() { return *stores_.at("r1"); }

  // The result type of a spawned coroutine needs a default constructor; an optional works for every type.
  template <class value>
  static task<> StoreResult(task<value> work, std::optional<value>& outcome) {
    outcome.emplace(co_await std::move(work));
  }

  template <class value>
  value Run(task<value> work) {
    std::optional<value> outcome;
    asio::co_spawn(context_, StoreResult(std::move(work), outcome), asio::detached);
    RunUntil([&outcome] { return outcome.has_value(); });
    return *outcome;
  }

  void RunUntil(const std::function<bool()>& condition) {
    const auto end = timer_service::Now() + std::chrono::seconds(20);
    context_.restart();
    while (!condition() && timer_service::Now() < end) {
      context_.run_one_for(std::chrono::milliseconds(100));
    }
    ASSERT_TRUE(condition()) << "condition not met within 20 s";
  }

  std::vector<claim_result> Execute(const std::vector<claim_operation>& operations, const std::string& store = "r1") {
    std::vector<std::optional<claim_result>> results(operations.size());
    for (std::size_t i = 0; i < operations.size(); ++i) {
      asio::co_spawn(context_, stores_.at(store)->Execute(operations[i]),
                     [&results, i](const std::exception_ptr&, claim_result item) { results[i] = std::move(item); });
    }
    RunUntil([&results] {
      return std::all_of(results.begin(), results.end(), [](const auto& item) { return item.has_value(); });
    });
    std::vector<claim_result> values;
    for (const auto& item : results) {
      values.push_back(item.value_or(claim_result{}));
    }
    return values;
  }
  claim_result Execute(const claim_operation& operation) { return Execute(std::vector{operation}).front(); }

  void SetFaults(const std::string& faults) {
    http_client http(context_, http_client_limits{});
    http_request request;
    request.method = "POST";
    request.target = "/faults";
    request.body = faults;
    const auto response = Run(http.Fetch(server_, request));
    ASSERT_TRUE(response);
    ASSERT_EQ(response.value().status, 200);
  }

  void PutRow(const std::string& key, const std::string& text) {
    table_client table(context_, {server_}, kTimeout);
    std::vector<table_write> writes = {{kClaimTable, key, text, row_condition::kNone, 0}};
    ASSERT_TRUE(Run(table.Commit(writes)));
  }

  static constexpr milliseconds kTimeout = milliseconds(2'000);

  asio::io_context context_{1};
  timer_service timers_{context_};
  fakes::fake_platform platform_;
  host_port server_;
  claim_store_settings settings_;
  std::map<std::string, std::unique_ptr<claim_store>> stores_;
  std::vector<router_name> routers_;
  bool drop_batches_ = false;  // forwarded batches are dropped and get no results
  int forwarded_batches_ = 0;
};

TEST_F(claim_store_test, ParseClaimRow_OfFormattedRow_ReturnsTheRow) {
  claim_row row = MakeRow("k", "a");
  const auto parsed = ParseClaimRow(FormatClaimRow(row, 17));
  ASSERT_TRUE(parsed);
  row.key = {};
  EXPECT_EQ(parsed.value(), (stored_claim{row, 17}));
  for (const char* text : {"", "[]", "{}", R"({"attempt":1})", R"({"attempt":"a","endpoint":"A","phase":"x"})"}) {
    EXPECT_FALSE(ParseClaimRow(text)) << text;
  }
}

TEST_F(claim_store_test, ClaimRowKey_ForBytesInvalidInJson_KeepsKeysDistinct) {
  EXPECT_NE(ClaimRowKey(idempotency_key{"\xff"}), ClaimRowKey(idempotency_key{"\xfe"}));
  EXPECT_NE(ClaimRowKey(idempotency_key{"a/b"}), ClaimRowKey(idempotency_key{"a%2Fb"}));
  EXPECT_EQ(Execute(Insert(MakeRow("\xff", "a"))).kind, claim_result_kind::kWritten);
  EXPECT_EQ(Execute(Insert(MakeRow("\xfe", "b"))).kind, claim_result_kind::kWritten);
}

TEST_F(claim_store_test, Execute_ForOneKey_DependsOnTheCurrentRow) {
  const claim_row first = MakeRow("k", "a");
  const claim_row second = MakeRow("k", "b");
  EXPECT_EQ(Execute(Read("k")).kind, claim_result_kind::kAbsent);
  EXPECT_EQ(Execute(Finish(first)).kind, claim_result_kind::kAbsent);
  EXPECT_EQ(Execute(Insert(first)).kind, claim_result_kind::kWritten);
  EXPECT_EQ(Execute(Insert(first)).kind, claim_result_kind::kWritten);  // repeated after a lost reply
  EXPECT_EQ(Execute(Insert(second)), (claim_result{claim_result_kind::kConflict, first}));
  EXPECT_EQ(Execute(Replace(second, "x")), (claim_result{claim_result_kind::kConflict, first}));
  EXPECT_EQ(Execute(Replace(second, "a")).kind, claim_result_kind::kWritten);
  EXPECT_EQ(Execute(Finish(first)), (claim_result{claim_result_kind::kConflict, second}));
  EXPECT_EQ(Execute(Finish(second)).kind, claim_result_kind::kWritten);
  const claim_result found = Execute(Read("k"));
  EXPECT_EQ(found.kind, claim_result_kind::kFound);
  EXPECT_EQ(found.current, Finish(second).row);
  EXPECT_EQ(Execute(Replace(MakeRow("k", "c"), "b")).kind, claim_result_kind::kConflict);  // done rows are not replaced
}

TEST_F(claim_store_test, Execute_ForManyKeys_UsesOneTransaction) {
  std::vector<claim_operation> operations;
  for (int i = 0; i < 80; ++i) {
    operations.push_back(Insert(MakeRow("k" + std::to_string(i), "a")));
  }
  for (const claim_result& result : Execute(operations)) {
    EXPECT_EQ(result.kind, claim_result_kind::kWritten);
  }
  EXPECT_EQ(FirstStore().Transactions(), 1U);
}

TEST_F(claim_store_test, Execute_WhenOneConditionFails_WritesTheOthers) {
  const claim_row existing = MakeRow("k1", "held");
  Execute(Insert(existing));
  const auto results = Execute({Insert(MakeRow("k0", "a")), Insert(MakeRow("k1", "a")), Insert(MakeRow("k2", "a")),
                                Replace(MakeRow("k1", "b"), "other"), Read("k1")});
  EXPECT_EQ(results[0].kind, claim_result_kind::kWritten);
  EXPECT_EQ(results[1], (claim_result{claim_result_kind::kConflict, existing}));
  EXPECT_EQ(results[2].kind, claim_result_kind::kWritten);
  EXPECT_EQ(results[3], (claim_result{claim_result_kind::kConflict, existing}));
  EXPECT_EQ(results[4], (claim_result{claim_result_kind::kFound, existing}));
}

TEST_F(claim_store_test, Execute_WhenTwoAttemptsOfOneKeyAreInOneBatch_WritesTheFirst) {
  const auto results = Execute({Insert(MakeRow("k", "a")), Insert(MakeRow("k", "b"))});
  EXPECT_EQ(results[0].kind, claim_result_kind::kWritten);
  EXPECT_EQ(results[1], (claim_result{claim_result_kind::kConflict, MakeRow("k", "a")}));
}

TEST_F(claim_store_test, Execute_WhenReplyIsLost_ReadsTheRowsBack) {
  SetFaults(R"({"lose_replies":1})");
  const auto results = Execute({Insert(MakeRow("k1", "a")), Insert(MakeRow("k2", "a"))});
  EXPECT_EQ(results[0].kind, claim_result_kind::kWritten);
  EXPECT_EQ(results[1].kind, claim_result_kind::kWritten);
}

TEST_F(claim_store_test, Execute_WhenReplyOfReplacementIsLost_ReadsTheRowBack) {
  Execute(Insert(MakeRow("k", "a")));
  SetFaults(R"({"lose_replies":1})");
  EXPECT_EQ(Execute(Replace(MakeRow("k", "b"), "a")).kind, claim_result_kind::kWritten);
}

// During the outage the connection closes without an answer, so the router cannot know whether the write took effect.
TEST_F(claim_store_test, Execute_DuringOutage_ReportsUnknown) {
  SetFaults(R"({"outage":true})");
  EXPECT_EQ(Execute(Insert(MakeRow("k", "a"))).kind, claim_result_kind::kUnknown);
  EXPECT_EQ(Execute(Read("k")).kind, claim_result_kind::kStoreUnavailable);
  SetFaults(R"({"outage":false})");
  EXPECT_EQ(Execute(Read("k")).kind, claim_result_kind::kAbsent);
}

TEST_F(claim_store_test, Execute_WhenStoreCannotBeReached_ReportsThatNothingWasWritten) {
  platform_.Stop();
  EXPECT_EQ(Execute(Insert(MakeRow("k", "a"))).kind, claim_result_kind::kStoreUnavailable);
}

TEST_F(claim_store_test, Execute_WhenRowIsNotAClaim_DoesNotOverwriteIt) {
  PutRow(ClaimRowKey(idempotency_key{"k"}), R"({"some":"thing"})");
  EXPECT_EQ(Execute(Insert(MakeRow("k", "a"))).kind, claim_result_kind::kStoreUnavailable);
  EXPECT_EQ(Execute(Replace(MakeRow("k", "a"), "b")).kind, claim_result_kind::kStoreUnavailable);
}

TEST_F(claim_store_test, Execute_WhenTooManyArePending_RefusesTheRest) {
  settings_.pending_operations = 2;
  AddStore("r2");
  const auto results = Execute({Insert(MakeRow("a", "a")), Insert(MakeRow("b", "a")), Insert(MakeRow("c", "a"))}, "r2");
  EXPECT_EQ(results[1].kind, claim_result_kind::kWritten);
  EXPECT_EQ(results[2].kind, claim_result_kind::kStoreUnavailable);
  EXPECT_EQ(Execute({Insert(MakeRow("c", "a"))}, "r2").front().kind, claim_result_kind::kWritten);
}

TEST_F(claim_store_test, Execute_WhenOthersAreBatchingRouters_ForwardsInBatches) {
  for (int i = 2; i <= 12; ++i) {
    AddStore("r" + std::to_string(i));
  }
  const auto batching_routers = ChooseBatchingRouters(idempotency_key{""}, routers_);
  std::string other_router;
  for (const router_name& name : routers_) {
    if (std::find(batching_routers.begin(), batching_routers.end(), name) == batching_routers.end()) {
      other_router = name.value;
    }
  }
  std::vector<claim_operation> operations;
  for (int i = 0; i < 80; ++i) {
    operations.push_back(Insert(MakeRow("k" + std::to_string(i), "a")));
  }
  for (const claim_result& result : Execute(operations, other_router)) {
    EXPECT_EQ(result.kind, claim_result_kind::kWritten);
  }
  EXPECT_EQ(forwarded_batches_, static_cast<int>(kClaimBatchers));
  EXPECT_EQ(stores_.at(other_router)->Transactions(), 0U);
  drop_batches_ = true;
  EXPECT_EQ(Execute({Insert(MakeRow("z", "a"))}, other_router).front().kind, claim_result_kind::kUnknown);
}

TEST_F(claim_store_test, DeleteExpiredClaims_WithOldAndNewRows_DeletesTheOldOnes) {
  const claim_row old_row = MakeRow("old", "a");
  const std::int64_t old_ms = NowMs() - settings_.retention.count() - 1'000;
  PutRow(ClaimRowKey(old_row.key), FormatClaimRow(old_row, old_ms));
  Execute(Insert(MakeRow("new", "a")));
  for (const char* key : {"old", "new"}) {
    ASSERT_TRUE(Run(FirstStore().DeleteExpiredClaims(ClaimShard(idempotency_key{key}))));
  }
  EXPECT_EQ(Execute(Read("old")).kind, claim_result_kind::kAbsent);
  EXPECT_EQ(Execute(Read("new")).kind, claim_result_kind::kFound);
}

}  // namespace
}  // namespace persimmon
