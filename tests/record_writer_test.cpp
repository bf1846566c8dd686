// link: persimmon_ctl_parts persimmon_fake_parts
// Guards against lost updates, lost replies that are resolved wrongly or twice, and partial writes.
#include "ctl/record_writer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "support/platform_in_process.h"

namespace persimmon {
namespace {

using support::platform_in_process;
using pending_write = std::shared_ptr<std::optional<result<write_report>>>;

constexpr writer_settings kFastSettings = {.max_attempts = 60,
                                           .retry_pause = milliseconds(1),
                                           .resolve_timeout = milliseconds(15'000),
                                           .resolve_pause = milliseconds(2)};

std::string PoolText(const std::string& name, int queue_limit) {
  return fmt::format(R"({{"kind":"pool","name":"{}","schema":2,"queue_limit":{}}})", name, queue_limit);
}

record_change Change(const std::string& name, int queue_limit, std::optional<std::uint64_t> version = std::nullopt) {
  return {"pool/" + name, PoolText(name, queue_limit), version, std::nullopt};
}

pending_write Write(platform_in_process& harness, std::vector<record_change> changes) {
  return harness.Spawn(WriteRecords(harness.Timers(), harness.Client(), std::move(changes), kFastSettings));
}

write_report Finish(platform_in_process& harness, const pending_write& write) {
  RC_ASSERT(harness.RunUntil([&] { return write->has_value(); }));
  RC_ASSERT((*write)->has_value());
  return (*write)->value();
}

stored_records Read(platform_in_process& harness) { return harness.Run(ReadRecords(harness.Client())).value(); }

std::size_t OperationRows(platform_in_process& harness) {
  return harness.Platform().Tables().ReadRange(kOperationTable, "op/", "op0").size();
}

RC_GTEST_PROP(record_writer_property, SameRecordAtOneMoment_OneSucceedsAndTheOthersSeeTheDifference, ()) {
  platform_in_process harness;
  Finish(harness, Write(harness, {Change("p", 1)}));
  const int writers = *rc::gen::inRange(2, 6);
  harness.Platform().Faults().lose_replies = *rc::gen::inRange<std::uint32_t>(0, 4);
  std::vector<pending_write> writes;
  for (int i = 0; i < writers; ++i) {
    writes.push_back(Write(harness, {Change("p", 10 + i, 1)}));
  }
  int written = 0;
  for (const pending_write& write : writes) {
    const write_report report = Finish(harness, write);
    if (report.verdict == write_verdict::kWritten) {
      ++written;
      RC_ASSERT(report.revision == 2U);
    } else {
      RC_ASSERT(report.verdict == write_verdict::kConflict);
      RC_ASSERT(report.conflicts.size() == 1U);
      RC_ASSERT(report.conflicts[0].stored_version == 2U);
      RC_ASSERT(report.conflicts[0].differences.size() == 1U);
      RC_ASSERT(report.conflicts[0].differences[0].field == "queue_limit");
    }
  }
  RC_ASSERT(written == 1);
  RC_ASSERT(Read(harness).revision == 2U);
}

RC_GTEST_PROP(record_writer_property, DifferentRecordsWithLostReplies_EachIsWrittenExactlyOnce, ()) {
  platform_in_process harness;
  const int writers = *rc::gen::inRange(1, 6);
  harness.Platform().Faults().lose_replies = *rc::gen::inRange<std::uint32_t>(0, 8);
  std::vector<pending_write> writes;
  for (int i = 0; i < writers; ++i) {
    writes.push_back(Write(harness, {Change("p" + std::to_string(i), 10 + i)}));
  }
  std::set<revision_number> revisions;
  for (const pending_write& write : writes) {
    const write_report report = Finish(harness, write);
    RC_ASSERT(report.verdict == write_verdict::kWritten);
    RC_ASSERT(revisions.insert(report.revision).second);
  }
  const stored_records stored = Read(harness);
  RC_ASSERT(stored.revision == static_cast<revision_number>(writers));
  RC_ASSERT(stored.records.size() == static_cast<std::size_t>(writers));
}

TEST(record_writer_test, Write_WhenTheReplyIsLost_IsResolvedAsOneSuccess) {
  platform_in_process harness;
  harness.Platform().Faults().lose_replies = 1;
  const write_report report = Finish(harness, Write(harness, {Change("p", 5)}));
  EXPECT_EQ(report.verdict, write_verdict::kWritten);
  EXPECT_EQ(report.revision, 1U);
  EXPECT_EQ(Read(harness).revision, 1U);
  EXPECT_EQ(harness.Platform().Counts().lost_replies, 1U);
  EXPECT_EQ(OperationRows(harness), 0U);
}

// Guards against a transaction that takes effect after it was reported as not written. Its message is in flight for
// longer than the timeout, so the operation row is still absent when the writer resolves the outcome. A writer that
// only read the row would report that nothing was written, and the transaction would commit later.
TEST(record_writer_test, Write_WhenTheTransactionIsLate_NeverTakesEffectAfterItWasResolved) {
  platform_in_process harness;
  auto& platform = harness.Platform();
  const auto write = Write(harness, {Change("p", 5)});
  ASSERT_TRUE(harness.RunUntil([&] { return platform.Counts().reads == 1; }));
  platform.Faults().delay = 5 * platform_in_process::kRequestTimeout;
  ASSERT_TRUE(harness.RunUntil([&] { return platform.Counts().waiting == 1; }));
  platform.Faults().delay = milliseconds(0);
  ASSERT_TRUE(harness.RunUntil([&] { return platform.Counts().transactions > 0 || platform.Counts().reads > 1; }));
  platform.Faults().outage = true;  // before the next attempt can read the records
  ASSERT_TRUE(harness.RunUntil([&] { return write->has_value(); }));
  ASSERT_FALSE((*write)->has_value());
  EXPECT_EQ((*write)->error().code, error_code::kUnavailable);  // "nothing was written"
  ASSERT_EQ(platform.Counts().waiting, 1U);
  platform.Faults().outage = false;
  ASSERT_TRUE(harness.RunUntil([&] { return platform.Counts().waiting == 0; }));
  EXPECT_EQ(Read(harness).records.size(), 0U);
  EXPECT_EQ(Read(harness).revision, 0U);
}

TEST(record_writer_test, Write_InAnOutage_WritesNothing) {
  platform_in_process harness;
  harness.Platform().Faults().outage = true;
  const auto write = Write(harness, {Change("p", 5)});
  ASSERT_TRUE(harness.RunUntil([&] { return write->has_value(); }));
  ASSERT_FALSE((*write)->has_value());
  EXPECT_EQ((*write)->error().code, error_code::kUnavailable);
}

TEST(record_writer_test, Write_WhenOneRecordIsBad_ReportsAllFindingsAndWritesNothing) {
  platform_in_process harness;
  Finish(harness, Write(harness, {Change("p", 1)}));
  const std::string model = R"({"kind":"model","name":"m","schema":1,"pool":"nowhere","version_name":"v"})";
  const std::string bad = R"({"kind":"pool","name":"q","schema":1,"queue_limit":0,"first_token_ms":"x"})";
  const write_report report = Finish(harness, Write(harness, {Change("p", 2),
                                                              {"pool/q", bad, std::nullopt, std::nullopt},
                                                              {"model/m", model, std::nullopt, std::nullopt}}));
  EXPECT_EQ(report.verdict, write_verdict::kFindings);
  EXPECT_EQ(FormatFindings(report.findings),
            "record pool/q: first_token_ms: \"x\" is not a whole number from 1 to 3600000\n"
            "record pool/q: queue_limit: 0 is not a whole number from 1 to 1000000\n"
            "record model/m: pool: pool 'nowhere' does not exist or is invalid\n");
  const stored_records stored = Read(harness);
  EXPECT_EQ(stored.revision, 1U);
  EXPECT_EQ(stored.records.size(), 1U);
}

TEST(record_writer_test, Delete_WhenOthersReferToTheRecord_IsRefused) {
  platform_in_process harness;
  const std::string model = R"({"kind":"model","name":"m","schema":1,"pool":"p","version_name":"v"})";
  Finish(harness, Write(harness, {Change("p", 1), {"model/m", model, std::nullopt, std::nullopt}}));
  const write_report report = Finish(harness, Write(harness, {{"pool/p", std::nullopt, std::nullopt, std::nullopt}}));
  EXPECT_EQ(FormatFindings(report.findings), "record model/m: pool: pool 'p' does not exist or is invalid\n");
  EXPECT_EQ(Read(harness).records.size(), 2U);
}

TEST(record_writer_test, Write_WhenTheRecordWasDeletedAndCreatedAgain_RefusesTheOldVersion) {
  platform_in_process harness;
  Finish(harness, Write(harness, {Change("p", 1)}));
  Finish(harness, Write(harness, {{"pool/p", std::nullopt, std::nullopt, std::nullopt}}));
  Finish(harness, Write(harness, {Change("p", 2)}));
  EXPECT_EQ(Finish(harness, Write(harness, {Change("p", 3, 1)})).verdict, write_verdict::kConflict);
  EXPECT_EQ(Finish(harness, Write(harness, {Change("p", 3, 3)})).verdict, write_verdict::kWritten);
  EXPECT_EQ(Finish(harness, Write(harness, {Change("p", 3)})).verdict, write_verdict::kUnchanged);
}

}  // namespace
}  // namespace persimmon
