// Guards against late refusals, refusals by an idle pool, lost or duplicated jobs, and accounts that exceed their
// share.
#include "persimmon/admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "decision_support.h"

namespace persimmon {
namespace {

class admission_test : public testing::Test {
 protected:
  static queue_job Job(int id, std::int64_t latest_ms, std::uint32_t prompt = 1'000, int account = 0) {
    queue_job job;
    job.request = {"request-" + std::to_string(id)};
    job.account = Account(account);
    job.arrival = At(0);
    job.latest_start = At(latest_ms);
    job.prompt_tokens = prompt;
    job.output_tokens = 10;
    return job;
  }

  // One busy prefill endpoint that computes 10,000 tokens per second, and plenty of decode slots.
  static pool_state BusyPool() {
    pool_state pool;
    pool.prefill_endpoints = 1;
    pool.decode_endpoints = 1;
    pool.decode_free = 1'000'000;
    pool.prefill_tokens_per_s = 10'000;
    return pool;
  }

  // Sets no margin, so that tests can use exact times.
  static admission_queue MakeQueue(const pool_state& pool, admission_settings settings = {},
                                   milliseconds lateness_tolerance = milliseconds(0)) {
    settings.margin = milliseconds(0);
    settings.lateness_tolerance = lateness_tolerance;
    admission_queue queue(settings);
    queue.UpdatePool(pool, At(0));
    return queue;
  }

  static admission_verdict Admit(admission_queue& queue, const queue_job& job, std::int64_t now_ms = 0) {
    return queue.AdmitRequest(job, 0.5, At(now_ms)).verdict;
  }

  static void StartNext(admission_queue& queue, std::int64_t now_ms) {
    const auto job = queue.PickNext(At(now_ms));
    ASSERT_TRUE(job);
    ASSERT_TRUE(queue.RecordStarted(job->request, At(now_ms)));
  }

  admission_settings settings_;
};

// Guards against a latest start that ignores the caller's deadline, the prefill time or the transfer time.
TEST_F(admission_test, LatestStart_ForEachBound_TakesTheTightest) {
  const service_times times{milliseconds(400), milliseconds(100), milliseconds(500)};
  EXPECT_EQ(LatestStart(At(0), times, std::nullopt, settings_), (start_limit{At(800), false}));
  EXPECT_EQ(LatestStart(At(0), times, At(1'500), settings_), (start_limit{At(500), true}));
  EXPECT_EQ(LatestStart(At(0), times, At(9'000), settings_), (start_limit{At(800), false}));
  const service_times too_long{milliseconds(2'000), milliseconds(0), milliseconds(0)};
  EXPECT_EQ(LatestStart(At(0), too_long, std::nullopt, settings_), (start_limit{At(50), false}));
  EXPECT_EQ(LatestStart(At(0), too_long, At(1'000), settings_), (start_limit{At(-1'000), true}));
}

// A request with nothing ahead of it is never refused, whatever the rates of the pool.
RC_GTEST_FIXTURE_PROP(admission_test, AdmitRequest_WhenNothingIsAhead_Admits, ()) {
  pool_state pool;
  pool.prefill_endpoints = *rc::gen::inRange(1, 100);
  pool.decode_endpoints = *rc::gen::inRange(1, 100);
  pool.prefill_free = *rc::gen::inRange(0, 3);
  pool.decode_free = *rc::gen::inRange(0, 3);
  pool.prefill_tokens_per_s = *rc::gen::inRange(0, 100'000);
  pool.routers = *rc::gen::inRange(1, 400);
  auto queue = MakeQueue(pool);
  const auto job = Job(1, *rc::gen::inRange(0, 1'300), *rc::gen::inRange(1, 60'000));
  RC_ASSERT(Admit(queue, job) == admission_verdict::kAdmitted);
}

// Guards against a request that waits before it is refused, and against a refusal without a retry delay.
TEST_F(admission_test, AdmitRequest_WhenWorkAheadMissesTarget_RefusesAtOnce) {
  auto queue = MakeQueue(BusyPool());
  EXPECT_EQ(Admit(queue, Job(1, 900, 4'000)), admission_verdict::kAdmitted);
  EXPECT_EQ(Admit(queue, Job(2, 901, 4'000)), admission_verdict::kAdmitted);  // waits 400 ms
  // Would wait 800 ms, but must start within 702 ms.
  const auto refused = queue.AdmitRequest(Job(3, 902, 4'000), 0.5, At(200));
  EXPECT_EQ(refused.verdict, admission_verdict::kOverCapacity);
  EXPECT_GE(refused.retry_after, settings_.min_retry_after);
  EXPECT_EQ(queue.WaitingCount(), 2U);
}

// Guards against an urgent request that makes a job miss its target after it was admitted.
TEST_F(admission_test, AdmitRequest_WhenItDelaysAnAdmittedJob_Refuses) {
  auto queue = MakeQueue(BusyPool());
  EXPECT_EQ(Admit(queue, Job(1, 300, 4'000)), admission_verdict::kAdmitted);
  EXPECT_EQ(Admit(queue, Job(2, 500, 1'000)), admission_verdict::kAdmitted);  // waits 400 ms of 500
  EXPECT_EQ(Admit(queue, Job(3, 200, 2'000)), admission_verdict::kOverCapacity);
  EXPECT_EQ(Admit(queue, Job(4, 200, 900)), admission_verdict::kAdmitted);
}

// Guards against refusing every long prompt because it delays many short ones a little, and against an unlimited
// tolerance.
TEST_F(admission_test, AdmitRequest_WhenItDelaysWithinTheTolerance_Admits) {
  auto queue = MakeQueue(BusyPool(), {}, milliseconds(150));
  EXPECT_EQ(Admit(queue, Job(1, 300, 4'000)), admission_verdict::kAdmitted);
  EXPECT_EQ(Admit(queue, Job(2, 500, 1'000)), admission_verdict::kAdmitted);      // waits 400 ms of 500
  EXPECT_EQ(Admit(queue, Job(3, 200, 2'600)), admission_verdict::kOverCapacity);  // job 2 at 660 ms, 160 ms late
  EXPECT_EQ(Admit(queue, Job(4, 200, 2'400)), admission_verdict::kAdmitted);      // job 2 at 640 ms, 140 ms late
}

// Guards against a margin that is not applied, or that makes an idle pool refuse requests.
TEST_F(admission_test, AdmitRequest_WithMargin_RefusesStartsTooCloseToTheLatest) {
  settings_.margin = milliseconds(50);
  admission_queue queue(settings_);
  queue.UpdatePool(BusyPool(), At(0));
  EXPECT_EQ(Admit(queue, Job(1, 10, 4'000)), admission_verdict::kAdmitted);  // nothing is ahead
  EXPECT_EQ(Admit(queue, Job(2, 449, 1'000)), admission_verdict::kOverCapacity);
  EXPECT_EQ(Admit(queue, Job(3, 450, 1'000)), admission_verdict::kAdmitted);
}

TEST_F(admission_test, AdmitRequest_WhenDeadlineCannotBeMet_ReportsIt) {
  auto queue = MakeQueue(BusyPool());
  auto job = Job(1, -1);
  job.deadline_bound = true;
  EXPECT_EQ(Admit(queue, job), admission_verdict::kDeadlineUnreachable);
  EXPECT_EQ(Admit(queue, Job(2, 1'000, 9'000)), admission_verdict::kAdmitted);
  job = Job(3, 1'100);
  job.deadline_bound = true;
  EXPECT_EQ(Admit(queue, job, 300), admission_verdict::kDeadlineUnreachable);
}

TEST_F(admission_test, AdmitRequest_WhenQueueIsFull_Refuses) {
  settings_.queue_limit = 2;
  auto queue = MakeQueue(BusyPool(), settings_);
  EXPECT_EQ(Admit(queue, Job(1, 1'000, 10)), admission_verdict::kAdmitted);
  EXPECT_EQ(Admit(queue, Job(1, 1'000, 10)), admission_verdict::kDuplicate);
  EXPECT_EQ(Admit(queue, Job(2, 1'000, 10)), admission_verdict::kAdmitted);
  ASSERT_TRUE(queue.PickNext(At(0)));  // a job with a pending reservation still counts
  EXPECT_EQ(Admit(queue, Job(3, 1'000, 10)), admission_verdict::kQueueFull);
}

TEST_F(admission_test, AdmitRequest_WhenNoEndpointIsLeft_Refuses) {
  auto pool = BusyPool();
  pool.decode_endpoints = 0;
  auto queue = MakeQueue(pool);
  EXPECT_EQ(Admit(queue, Job(1, 1'000)), admission_verdict::kNoEndpoint);
  pool.uses_decode = false;
  queue.UpdatePool(pool, At(0));
  EXPECT_EQ(Admit(queue, Job(1, 1'000)), admission_verdict::kAdmitted);
}

// Guards against admission by prefill alone when the decode slots are the bottleneck.
TEST_F(admission_test, AdmitRequest_WhenDecodeIsSlower_CountsDecodeSlots) {
  auto pool = BusyPool();
  pool.prefill_free = 100;
  pool.decode_free = 2;
  pool.decode_tokens_per_s = 20;  // a job of 10 tokens every 500 ms
  auto queue = MakeQueue(pool);
  for (int id = 0; id < 4; ++id) {  // two free slots, then waits of 0 and 500 ms
    EXPECT_EQ(Admit(queue, Job(id, 900, 10)), admission_verdict::kAdmitted) << id;
  }
  EXPECT_EQ(Admit(queue, Job(4, 900, 10)), admission_verdict::kOverCapacity);  // 1,000 ms
}

// Guards against a rate that stays low after a stall, and against one that ignores the stall.
TEST_F(admission_test, AdmitRequest_AfterCapacityReturns_Recovers) {
  auto queue = MakeQueue(BusyPool());
  EXPECT_EQ(Admit(queue, Job(0, 6'000, 2'000)), admission_verdict::kAdmitted);
  EXPECT_EQ(Admit(queue, Job(1, 6'000, 2'000)), admission_verdict::kAdmitted);
  EXPECT_LT(queue.PrefillRate(At(5'000)), 2'000);  // nothing has started for 5 s
  EXPECT_EQ(Admit(queue, Job(2, 6'300, 2'000), 5'000), admission_verdict::kOverCapacity);
  StartNext(queue, 5'000);
  StartNext(queue, 5'200);
  for (int id = 3; id < 12; ++id) {  // work at the previous speed: 2,000 tokens every 200 ms
    const std::int64_t now = 4'800 + id * 200;
    ASSERT_EQ(Admit(queue, Job(id, now + 1'000, 2'000), now), admission_verdict::kAdmitted) << id;
    StartNext(queue, now + 199);
  }
  EXPECT_GT(queue.PrefillRate(At(7'200)), 7'000);
}

// Guards against a rate limited by demand: few requests in an idle pool do not reduce its measured capacity.
TEST_F(admission_test, PrefillRate_WhenDemandIsLow_StaysAtCapacity) {
  auto queue = MakeQueue(BusyPool());
  for (int id = 0; id < 20; ++id) {
    const std::int64_t now = id * 500;
    ASSERT_EQ(Admit(queue, Job(id, now + 1'000, 100), now), admission_verdict::kAdmitted);
    StartNext(queue, now + 5);  // the reservation takes 5 ms
  }
  EXPECT_GT(queue.PrefillRate(At(10'000)), 9'000);
}

TEST_F(admission_test, PrefillRate_WhenHalfTheEndpointsAreLost_HalvesAtOnce) {
  auto pool = BusyPool();
  pool.prefill_endpoints = 2;
  auto queue = MakeQueue(pool);
  for (int id = 0; id < 40; ++id) {
    queue.AdmitRequest(Job(id, 90'000, 500), 0.5, At(0));
  }
  for (int step = 1; step <= 30; ++step) {  // 5,000 of the reported 10,000 tokens per second: others use the rest
    StartNext(queue, step * 100);
  }
  const double before = queue.PrefillRate(At(3'000));
  EXPECT_NEAR(before, 5'000, 1'000);
  pool.prefill_endpoints = 1;
  pool.prefill_tokens_per_s = 5'000;
  queue.UpdatePool(pool, At(3'000));
  EXPECT_NEAR(queue.PrefillRate(At(3'000)), before / 2, 1);
}

// Jobs are picked in order of latest start, for any order of arrival and any refused reservations.
RC_GTEST_FIXTURE_PROP(admission_test, PickNext_ForAnyArrivals_FollowsLatestStart, ()) {
  settings_.fair_shares = *rc::gen::arbitrary<bool>();  // no effect with a single account
  auto pool = BusyPool();
  pool.prefill_tokens_per_s = 0;
  auto queue = MakeQueue(pool, settings_);
  const auto starts = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100'000));
  for (std::size_t i = 0; i < starts.size(); ++i) {
    RC_ASSERT(Admit(queue, Job(static_cast<int>(i), starts[i])) == admission_verdict::kAdmitted);
  }
  const auto refused_reservations = *rc::gen::arbitrary<std::vector<bool>>();
  for (std::size_t i = 0; i < refused_reservations.size() && queue.WaitingCount() > 0; ++i) {
    const auto job = queue.PickNext(At(0));
    RC_ASSERT(queue.Requeue(job->request, At(0)));
    RC_ASSERT(queue.PeekNext(At(0))->request == job->request);
  }
  time_point last = At(0);
  while (const auto job = queue.PickNext(At(0))) {
    RC_ASSERT(job->latest_start >= last);
    last = job->latest_start;
  }
  RC_ASSERT(queue.PickedCount() == starts.size());
}

// Guards against a job that is still picked or kept after its latest start.
TEST_F(admission_test, ExpireOverdue_WhenLatestStartHasPassed_RemovesExactlyThose) {
  auto queue = MakeQueue(BusyPool());
  Admit(queue, Job(1, 100));
  Admit(queue, Job(2, 300));
  EXPECT_EQ(queue.NextExpiry(), At(100));
  EXPECT_EQ(queue.PeekNext(At(101))->request, Job(2, 0).request);
  EXPECT_TRUE(queue.ExpireOverdue(At(100)).empty());
  EXPECT_EQ(queue.ExpireOverdue(At(101)), std::vector{Job(1, 100)});
  EXPECT_EQ(queue.WaitingCount(), 1U);
}

// Guards against jobs that are lost, duplicated or still counted after their removal: each is removed exactly once.
RC_GTEST_FIXTURE_PROP(admission_test, Queue_ForAnyOperations_KeepsEveryJobOnce, ()) {
  settings_.share_slack = milliseconds(100);
  settings_.queue_limit = 20;
  auto queue = MakeQueue(BusyPool(), settings_);
  std::set<std::string> queued;
  std::vector<request_id> picked;
  const auto remove = [&](const request_id& request) { RC_ASSERT(queued.erase(request.value) == 1); };
  std::int64_t now = 0;
  const int steps = *rc::gen::inRange(1, 150);
  for (int id = 0; id < steps; ++id) {
    now += *rc::gen::inRange(0, 60);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        if (const auto job = queue.PickNext(At(now))) {
          picked.push_back(job->request);
        }
        break;
      case 1:
        if (!picked.empty()) {
          const auto outcome = *rc::gen::inRange(0, 3);
          const bool is_known = outcome == 0   ? queue.RecordStarted(picked.back(), At(now))
                                : outcome == 1 ? queue.Requeue(picked.back(), At(now))
                                               : queue.RemoveJob(picked.back(), At(now));
          RC_ASSERT(is_known);
          if (outcome != 1) {
            remove(picked.back());
          }
          picked.pop_back();
        }
        break;
      case 2:
        for (const auto& job : queue.ExpireOverdue(At(now))) {
          remove(job.request);
        }
        break;
      default: {
        const auto job =
            Job(id, now + *rc::gen::inRange(50, 1'300), *rc::gen::inRange(10, 5'000), *rc::gen::inRange(0, 3));
        const auto result = queue.AdmitRequest(job, 0.5, At(now));
        for (const auto& other : result.displaced) {
          RC_ASSERT(other.account != job.account);
          remove(other.request);
        }
        if (result.verdict == admission_verdict::kAdmitted) {
          queued.insert(job.request.value);
        } else {
          RC_ASSERT(result.displaced.empty());
        }
      }
    }
    RC_ASSERT(queue.WaitingCount() + queue.PickedCount() == queued.size());
    RC_ASSERT(queued.size() <= settings_.queue_limit);
  }
  for (const auto& request : picked) {
    RC_ASSERT(queue.RemoveJob(request, At(now)));
  }
  queue.ExpireOverdue(At(now + 10'000));
  RC_ASSERT(queue.WaitingCount() == 0U);
  RC_ASSERT(queue.DrainTime(At(now + 100'000)) <= microseconds(31'000'000));
}

// Guards against sharing by request count: accounts of equal weight get equal tokens although the prompts of one are
// ten times as long, and double the weight gets double the tokens.
TEST_F(admission_test, PickNext_WhenPoolIsShort_SharesTokensByWeight) {
  settings_.share_slack = milliseconds(100);
  auto queue = MakeQueue(BusyPool(), settings_);
  std::map<account_name, double> started;
  std::map<account_name, int> waiting;
  int id = 0;
  const auto refill = [&](std::int64_t now) {
    for (int account = 0; account < 3; ++account) {
      while (waiting[Account(account)] < 20) {
        ++id;
        auto job = Job(id, now + 1'000'000 + id % 7, account == 1 ? 200 : 2'000, account);
        job.weight = account == 2 ? 2.0 : 1.0;
        ASSERT_EQ(queue.AdmitRequest(job, 0.5, At(now)).verdict, admission_verdict::kAdmitted);
        waiting[job.account] += 1;
      }
    }
  };
  double total = 0;
  for (std::int64_t now = 0; now < 20'000; now += 100) {
    refill(now);
    for (double budget = 1'000; budget > 0;) {
      const auto job = queue.PickNext(At(now));
      ASSERT_TRUE(job);
      queue.RecordStarted(job->request, At(now));
      budget -= job->prompt_tokens;
      started[job->account] += job->prompt_tokens;
      waiting[job->account] -= 1;
      total += job->prompt_tokens;
    }
  }
  EXPECT_NEAR(started[Account(0)] / total, 0.25, 0.03);
  EXPECT_NEAR(started[Account(1)] / total, 0.25, 0.03);
  EXPECT_NEAR(started[Account(2)] / total, 0.50, 0.03);
}

// Guards against an account that fills the queue first and starves the others.
TEST_F(admission_test, AdmitRequest_WhenAnotherAccountFillsTheQueue_DisplacesItsLastJob) {
  settings_.share_slack = milliseconds(200);
  auto queue = MakeQueue(BusyPool(), settings_);
  for (int id = 0; id < 5; ++id) {
    ASSERT_EQ(Admit(queue, Job(id, 850 + id, 2'000, 1)), admission_verdict::kAdmitted);
  }
  EXPECT_EQ(Admit(queue, Job(5, 860, 2'000, 1)), admission_verdict::kOverCapacity);
  const auto result = queue.AdmitRequest(Job(6, 870, 2'000, 2), 0.5, At(0));
  EXPECT_EQ(result.verdict, admission_verdict::kAdmitted);
  EXPECT_EQ(result.displaced, std::vector{Job(4, 854, 2'000, 1)});
}

// Guards against jobs that are admitted beyond their account's share and displaced after most of their wait. An account
// that sends more than its share of the rate is refused immediately.
TEST_F(admission_test, AdmitRequest_WhenAccountExceedsItsShare_RefusesItAtOnceAndNotTheOthers) {
  admission_queue queue(settings_);
  queue.UpdatePool(BusyPool(), At(0));
  int heavy_refused = 0;
  int heavy_displaced = 0;
  int other_refused = 0;
  double budget = 0;
  // 10 s with a job every 2.5 ms: 500 tokens of the heavy account, or, every fifth time, 60 tokens of the other one.
  for (int id = 0; id < 4'000; ++id) {
    const std::int64_t now = id * 5 / 2;
    const int account = id % 5 == 0 ? 2 : 1;
    const auto result = queue.AdmitRequest(Job(id, now + 1'000, account == 1 ? 500 : 60, account), 0.5, At(now));
    const int refused = result.verdict == admission_verdict::kAdmitted ? 0 : 1;
    (account == 1 ? heavy_refused : other_refused) += refused;
    heavy_displaced += static_cast<int>(result.displaced.size());
    queue.ExpireOverdue(At(now));
    for (budget = std::min(budget + 25, 600.0); budget >= 500;) {
      const auto job = queue.PickNext(At(now));
      if (!job) {
        break;
      }
      queue.RecordStarted(job->request, At(now));
      budget -= job->prompt_tokens;
    }
  }
  EXPECT_LE(other_refused, 40);     // of 800
  EXPECT_GE(heavy_refused, 2'800);  // of 3,200
  EXPECT_LE(heavy_displaced, 100);
}

// Guards against refused callers that all retry at the same time: 400 refusals of 1,000 tokens need 40 s of this pool
// and are spread over the longest retry delay, 30 s.
TEST_F(admission_test, RetryAfter_ForManyRefusals_SpreadsThemOverTheDrainTime) {
  auto queue = MakeQueue(BusyPool());
  std::map<std::int64_t, int> per_second;
  for (int i = 0; i < 400; ++i) {
    const double jitter = (i * 37 % 100) / 100.0;
    const auto delay = queue.RetryAfter(1'000, 10, jitter, At(i));
    EXPECT_LE(delay, settings_.max_retry_after);
    per_second[delay.count() / 1'000] += 1;
  }
  for (const auto& [second, count] : per_second) {
    EXPECT_LE(count, 50) << second;
  }
  // Expected retries expire as the time needed to serve them passes.
  EXPECT_LT(queue.DrainTime(At(20'000)), queue.DrainTime(At(400)));
  queue.RetryAfter(0, 0, 0, At(60'000));
  EXPECT_EQ(queue.DrainTime(At(60'000)), microseconds(0));
}

}  // namespace
}  // namespace persimmon
