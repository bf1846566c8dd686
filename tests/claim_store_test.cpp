// link: persimmon_platform persimmon_fake_parts
// Guards against claims that are lost, reported wrongly or held up by another claim of the same transaction.
#include "store/claim_store.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <map>

#include "fakes/fake_platform.h"

namespace persimmon {
namespace {

claim_row Row(const std::string& key, const std::string& attempt) {
  return {idempotency_key{key}, attempt_id{attempt}, endpoint_name{"A"}, 3, claim_phase::kClaimed};
}

claim_operation Insert(const claim_row& row) { return {claim_operation_kind::kInsert, row, {}}; }
claim_operation Read(const std::string& key) { return {claim_operation_kind::kRead, Row(key, ""), {}}; }
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
    settings_.sweep_period = milliseconds(0);
    settings_.forward_timeout = milliseconds(200);
  }

  void SetUp() override {
    ASSERT_TRUE(platform_.Start());
    server_ = host_port{"127.0.0.1", platform_.Port()};
    AddStore("r1");
  }
  void TearDown() override { platform_.Stop(); }

  // Stores reach each other as routers do, but without a network.
  claim_store& AddStore(const std::string& name) {
    claim_links links;
    links.self = router_name{name};
    links.routers = [this] { return routers_; };
    links.send = [this, name](const router_name& target, const message& value) {
      if (is_silent_) {
        return true;
      }
      if (const auto* batch = std::get_if<claim_batch>(&value)) {
        ++forwarded_;
        stores_.at(target.value)->OnBatch(*batch, [this, name](const claim_results& results) {
          stores_.at(name)->OnResults(results);
        });
      }
      return true;
    };
    table_client table(context_, {server_}, kTimeout);
    stores_[name] = std::make_unique<claim_store>(timers_, context_, table, settings_, links);
    routers_.push_back(router_name{name});
    return *stores_[name];
  }

  claim_store& FirstStore() { return *stores_.at("r1"); }

  // A value without a default constructor cannot be the result of a spawned coroutine.
  template <class value>
  static task<> KeepResult(task<value> work, std::optional<value>& finished) {
    finished.emplace(co_await std::move(work));
  }

  template <class value>
  value Run(task<value> work) {
    std::optional<value> finished;
    asio::co_spawn(context_, KeepResult(std::move(work), finished), asio::detached);
    Until([&finished] { return finished.has_value(); });
    return *finished;
  }

  void Until(const std::function<bool()>& condition) {
    const auto end = timer_service::Now() + std::chrono::seconds(20);
    context_.restart();
    while (!condition() && timer_service::Now() < end) {
      context_.run_one_for(std::chrono::milliseconds(100));
    }
    ASSERT_TRUE(condition()) << "not met within 20 s";
  }

  std::vector<claim_result> Execute(const std::vector<claim_operation>& operations, const std::string& store = "r1") {
    std::vector<std::optional<claim_result>> results(operations.size());
    for (std::size_t i = 0; i < operations.size(); ++i) {
      asio::co_spawn(context_, stores_.at(store)->Execute(operations[i]),
                     [&results, i](const std::exception_ptr&, claim_result item) { results[i] = std::move(item); });
    }
    Until([&results] {
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
  bool is_silent_ = false;  // forwarded batches get no results
  int forwarded_ = 0;
};

TEST_F(claim_store_test, ParseClaimRow_AfterFormat_GivesTheRowBack) {
  claim_row row = Row("k", "a");
  const auto parsed = ParseClaimRow(FormatClaimRow(row, 17));
  ASSERT_TRUE(parsed);
  row.key = {};
  EXPECT_EQ(parsed.value(), (stored_claim{row, 17}));
  for (const char* text : {"", "[]", "{}", R"({"attempt":1})", R"({"attempt":"a","endpoint":"A","phase":"x"})"}) {
    EXPECT_FALSE(ParseClaimRow(text)) << text;
  }
}

TEST_F(claim_store_test, ClaimRowKey_ForBytesThatJsonCannotHold_KeepsKeysApart) {
  EXPECT_NE(ClaimRowKey(idempotency_key{"\xff"}), ClaimRowKey(idempotency_key{"\xfe"}));
  EXPECT_NE(ClaimRowKey(idempotency_key{"a/b"}), ClaimRowKey(idempotency_key{"a%2Fb"}));
  EXPECT_EQ(Execute(Insert(Row("\xff", "a"))).kind, claim_result_kind::kWritten);
  EXPECT_EQ(Execute(Insert(Row("\xfe", "b"))).kind, claim_result_kind::kWritten);
}

TEST_F(claim_store_test, Execute_ForOneKey_FollowsTheRow) {
  const claim_row first = Row("k", "a");
  const claim_row second = Row("k", "b");
  EXPECT_EQ(Execute(Read("k")).kind, claim_result_kind::kAbsent);
  EXPECT_EQ(Execute(Finish(first)).kind, claim_result_kind::kAbsent);
  EXPECT_EQ(Execute(Insert(first)).kind, claim_result_kind::kWritten);
  EXPECT_EQ(Execute(Insert(first)).kind, claim_result_kind::kWritten);  // repeated by a router that lost the reply
  EXPECT_EQ(Execute(Insert(second)), (claim_result{claim_result_kind::kConflict, first}));
  EXPECT_EQ(Execute(Replace(second, "x")), (claim_result{claim_result_kind::kConflict, first}));
  EXPECT_EQ(Execute(Replace(second, "a")).kind, claim_result_kind::kWritten);
  EXPECT_EQ(Execute(Finish(first)), (claim_result{claim_result_kind::kConflict, second}));
  EXPECT_EQ(Execute(Finish(second)).kind, claim_result_kind::kWritten);
  const claim_result found = Execute(Read("k"));
  EXPECT_EQ(found.kind, claim_result_kind::kFound);
  EXPECT_EQ(found.current, Finish(second).row);
  EXPECT_EQ(Execute(Replace(Row("k", "c"), "b")).kind, claim_result_kind::kConflict);  // done rows are not replaced
}

TEST_F(claim_store_test, Execute_ForManyKeys_NeedsFewTransactions) {
  std::vector<claim_operation> operations;
  for (int i = 0; i < 80; ++i) {
    operations.push_back(Insert(Row("k" + std::to_string(i), "a")));
  }
  for (const claim_result& result : Execute(operations)) {
    EXPECT_EQ(result.kind, claim_result_kind::kWritten);
  }
  EXPECT_EQ(FirstStore().Transactions(), 1U);
}

TEST_F(claim_store_test, Execute_WhenOneConditionFails_WritesTheOthers) {
  const claim_row held = Row("k1", "held");
  Execute(Insert(held));
  const auto results = Execute({Insert(Row("k0", "a")), Insert(Row("k1", "a")), Insert(Row("k2", "a")),
                                Replace(Row("k1", "b"), "other"), Read("k1")});
  EXPECT_EQ(results[0].kind, claim_result_kind::kWritten);
  EXPECT_EQ(results[1], (claim_result{claim_result_kind::kConflict, held}));
  EXPECT_EQ(results[2].kind, claim_result_kind::kWritten);
  EXPECT_EQ(results[3], (claim_result{claim_result_kind::kConflict, held}));
  EXPECT_EQ(results[4], (claim_result{claim_result_kind::kFound, held}));
}

TEST_F(claim_store_test, Execute_WhenTwoAttemptsOfOneKeyAreInOneBatch_LetsOneWin) {
  const auto results = Execute({Insert(Row("k", "a")), Insert(Row("k", "b"))});
  EXPECT_EQ(results[0].kind, claim_result_kind::kWritten);
  EXPECT_EQ(results[1], (claim_result{claim_result_kind::kConflict, Row("k", "a")}));
}

TEST_F(claim_store_test, Execute_WhenReplyIsLost_ReadsTheRowsBack) {
  SetFaults(R"({"lose_replies":1})");
  const auto results = Execute({Insert(Row("k1", "a")), Insert(Row("k2", "a"))});
  EXPECT_EQ(results[0].kind, claim_result_kind::kWritten);
  EXPECT_EQ(results[1].kind, claim_result_kind::kWritten);
}

TEST_F(claim_store_test, Execute_WhenReplyOfReplacementIsLost_ReadsTheRowBack) {
  Execute(Insert(Row("k", "a")));
  SetFaults(R"({"lose_replies":1})");
  EXPECT_EQ(Execute(Replace(Row("k", "b"), "a")).kind, claim_result_kind::kWritten);
}

// The connection closes without an answer, so the write may have happened as far as this router can know.
TEST_F(claim_store_test, Execute_WhenStoreIsOut_ReportsThatNothingIsKnown) {
  SetFaults(R"({"outage":true})");
  EXPECT_EQ(Execute(Insert(Row("k", "a"))).kind, claim_result_kind::kUnknown);
  EXPECT_EQ(Execute(Read("k")).kind, claim_result_kind::kStoreUnavailable);
  SetFaults(R"({"outage":false})");
  EXPECT_EQ(Execute(Read("k")).kind, claim_result_kind::kAbsent);
}

TEST_F(claim_store_test, Execute_WhenStoreCannotBeReached_ReportsThatNothingWasWritten) {
  platform_.Stop();
  EXPECT_EQ(Execute(Insert(Row("k", "a"))).kind, claim_result_kind::kStoreUnavailable);
}

TEST_F(claim_store_test, Execute_WhenRowIsNotAClaim_LeavesItAlone) {
  PutRow(ClaimRowKey(idempotency_key{"k"}), R"({"some":"thing"})");
  EXPECT_EQ(Execute(Insert(Row("k", "a"))).kind, claim_result_kind::kStoreUnavailable);
  EXPECT_EQ(Execute(Replace(Row("k", "a"), "b")).kind, claim_result_kind::kStoreUnavailable);
}

TEST_F(claim_store_test, Execute_WhenTooManyArePending_RefusesTheRest) {
  settings_.pending_operations = 2;
  AddStore("r2");
  const auto results = Execute({Insert(Row("a", "a")), Insert(Row("b", "a")), Insert(Row("c", "a"))}, "r2");
  EXPECT_EQ(results[1].kind, claim_result_kind::kWritten);
  EXPECT_EQ(results[2].kind, claim_result_kind::kStoreUnavailable);
  EXPECT_EQ(Execute({Insert(Row("c", "a"))}, "r2").front().kind, claim_result_kind::kWritten);
}

TEST_F(claim_store_test, Execute_WhenOthersAreBatchingRouters_ForwardsInBatches) {
  for (int i = 2; i <= 12; ++i) {
    AddStore("r" + std::to_string(i));
  }
  const auto batchers = ChooseBatchers(idempotency_key{""}, routers_);
  std::string outsider;
  for (const router_name& name : routers_) {
    if (std::find(batchers.begin(), batchers.end(), name) == batchers.end()) {
      outsider = name.value;
    }
  }
  std::vector<claim_operation> operations;
  for (int i = 0; i < 80; ++i) {
    operations.push_back(Insert(Row("k" + std::to_string(i), "a")));
  }
  for (const claim_result& result : Execute(operations, outsider)) {
    EXPECT_EQ(result.kind, claim_result_kind::kWritten);
  }
  EXPECT_EQ(forwarded_, static_cast<int>(kClaimBatchers));
  EXPECT_EQ(stores_.at(outsider)->Transactions(), 0U);
  is_silent_ = true;
  EXPECT_EQ(Execute({Insert(Row("z", "a"))}, outsider).front().kind, claim_result_kind::kUnknown);
}

TEST_F(claim_store_test, SweepShard_WithOldAndNewRows_DeletesTheOldOnes) {
  const claim_row old_row = Row("old", "a");
  const std::int64_t old_ms = NowMs() - settings_.retention.count() - 1'000;
  PutRow(ClaimRowKey(old_row.key), FormatClaimRow(old_row, old_ms));
  Execute(Insert(Row("new", "a")));
  for (const char* key : {"old", "new"}) {
    ASSERT_TRUE(Run(FirstStore().SweepShard(ClaimShard(idempotency_key{key}))));
  }
  EXPECT_EQ(Execute(Read("old")).kind, claim_result_kind::kAbsent);
  EXPECT_EQ(Execute(Read("new")).kind, claim_result_kind::kFound);
}

}  // namespace
}  // namespace persimmon
