// Estimates of plain services, the choice of an endpoint by them, and the schedule of overlapping attempts.
//
// Sections
//   1. decaying times
//   2. predictions
//   3. choices
//   4. refusals
//   5. schedule of attempts
//   6. load test in virtual time
#include "persimmon/call_estimates.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "persimmon/send_budget.h"

namespace persimmon {
namespace {

const time_point kStart = time_point(milliseconds(1'000'000));

endpoint_incarnation Endpoint(const std::string& name, std::uint64_t started_ms = 1) {
  return {endpoint_name{name}, started_ms};
}

endpoint_view View(const std::string& name, const std::string& zone = "zone-a") {
  endpoint_view view;
  view.name = endpoint_name{name};
  view.zone = zone_name{zone};
  return view;
}

const server_load kIdle{0, 0, 6, 100};

// Records a complete call.
void Answer(call_estimates& estimates, const std::string& name, milliseconds duration, const server_load& report,
            time_point end) {
  const auto id = estimates.RecordStart(Endpoint(name), end - duration);
  estimates.RecordReport(Endpoint(name), report, end);
  estimates.RecordEnd(Endpoint(name), id, call_end::kAnswered, end);
}

// Share of the choices that fall on each endpoint.
std::vector<double> Shares(const call_estimates& estimates, const std::vector<endpoint_view>& views, time_point now,
                           const zone_name& preferred = {}, const zone_name& avoided = {}) {
  constexpr int kDraws = 4'000;
  std::vector<double> shares(views.size());
  for (int i = 0; i < kDraws; ++i) {
    const auto chosen = estimates.Choose(views, {preferred, avoided, static_cast<std::uint64_t>(i) * 7'919}, now);
    if (chosen) {
      shares[chosen->index] += 1;
    }
  }
  for (double& share : shares) {
    share /= kDraws;
  }
  return shares;
}

// Estimates that know two idle endpoints of the usual speed.
call_estimates TwoIdleEndpoints() {
  call_estimates estimates{estimate_settings{}};
  for (int i = 0; i < 20; ++i) {
    for (const char* name : {"a", "b"}) {
      Answer(estimates, name, milliseconds(30), kIdle, kStart - milliseconds(100 * (20 - i)));
    }
  }
  return estimates;
}

// ---------------------------------------------------------------------------------------------------------------------
// 1. decaying times
// ---------------------------------------------------------------------------------------------------------------------

TEST(decaying_times_test, Quantile_OfKnownTimes_IsWithinTheErrorOfABin) {
  decaying_times times(milliseconds(10'000));
  EXPECT_EQ(times.Quantile(0.5), microseconds(0));
  for (int i = 1; i <= 100; ++i) {
    times.Record(milliseconds(i), kStart);
  }
  EXPECT_NEAR(static_cast<double>(times.Quantile(0.5).count()), 50'000, 6'000);
  EXPECT_NEAR(static_cast<double>(times.Quantile(0.95).count()), 95'000, 11'400);
}

// Guards against a service that stays slow in the estimates after it has become fast.
TEST(decaying_times_test, OldTimes_LoseTheirWeight) {
  decaying_times times(milliseconds(1'000));
  for (int i = 0; i < 100; ++i) {
    times.Record(milliseconds(500), kStart);
  }
  for (int i = 0; i < 10; ++i) {
    times.Record(milliseconds(20), kStart + milliseconds(5'000));
  }
  EXPECT_LT(times.Quantile(0.5), milliseconds(30));
  EXPECT_LT(times.Weight(kStart + milliseconds(60'000)), 0.01);
}

RC_GTEST_PROP(decaying_times_property, Quantiles_OfAnyTimes_AreOrderedAndBounded, ()) {
  decaying_times times(milliseconds(1'000));
  time_point now = kStart;
  for (const auto us :
       *rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>()))) {
    now += microseconds(us % 100'000);
    times.Record(microseconds(us), now);
  }
  RC_ASSERT(times.Quantile(0.05) <= times.Quantile(0.5));
  RC_ASSERT(times.Quantile(0.5) <= times.Quantile(0.95));
  RC_ASSERT(times.Quantile(1) <= milliseconds(120'000));
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. predictions
// ---------------------------------------------------------------------------------------------------------------------

TEST(call_estimates_test, PredictFinish_GrowsWithTheReportedQueueAndWorkTime) {
  call_estimates estimates = TwoIdleEndpoints();
  const auto finish = [&] { return estimates.PredictFinish(endpoint_name{"a"}, 0, kStart); };
  EXPECT_NEAR(static_cast<double>(finish().count()), 30'000, 5'000);
  estimates.RecordReport(Endpoint("a"), {6, 12, 6, 100}, kStart);
  EXPECT_NEAR(static_cast<double>(finish().count()), 100'000, 20'000);  // three rounds of work and its own
  estimates.RecordReport(Endpoint("a"), {0, 0, 6, 250}, kStart);
  EXPECT_NEAR(static_cast<double>(finish().count()), 75'000, 10'000);
}

// Guards against avoiding an endpoint for what it reported long ago.
TEST(call_estimates_test, Report_LosesItsValueWithItsAge) {
  call_estimates estimates = TwoIdleEndpoints();
  estimates.RecordReport(Endpoint("a"), {6, 20, 6, 300}, kStart);
  const auto fresh = estimates.PredictFinish(endpoint_name{"a"}, 0, kStart);
  const auto old = estimates.PredictFinish(endpoint_name{"a"}, 0, kStart + milliseconds(4'000));
  EXPECT_GT(fresh, milliseconds(200));
  EXPECT_LT(old, fresh / 3);
}

// Guards against choosing an endpoint that hangs for as long as it has not answered.
TEST(call_estimates_test, CallInProgress_ThatTakesLong_ShowsThatTheEndpointIsSlow) {
  call_estimates estimates = TwoIdleEndpoints();
  const auto id = estimates.RecordStart(Endpoint("a"), kStart);
  const time_point later = kStart + milliseconds(200);
  EXPECT_GT(estimates.PredictFinish(endpoint_name{"a"}, 1, later), milliseconds(150));
  estimates.RecordEnd(Endpoint("a"), id, call_end::kAbandoned, later);
  EXPECT_GT(estimates.PredictFinish(endpoint_name{"a"}, 0, later), milliseconds(50));
  EXPECT_LT(estimates.PredictFinish(endpoint_name{"a"}, 0, later + milliseconds(4'000)), milliseconds(40));
}

// Guards against an endpoint that rejects all calls, and therefore never reports a response time, looking free.
TEST(call_estimates_test, Rejection_ShowsThatTheEndpointIsFull) {
  call_estimates estimates = TwoIdleEndpoints();
  const auto id = estimates.RecordStart(Endpoint("a"), kStart);
  const time_point later = kStart + milliseconds(2);
  estimates.RecordEnd(Endpoint("a"), id, call_end::kRejected, later);
  EXPECT_GT(estimates.PredictFinish(endpoint_name{"a"}, 0, later), milliseconds(80));
  EXPECT_LT(estimates.PredictFinish(endpoint_name{"a"}, 0, later + milliseconds(4'000)), milliseconds(60));
}

// Guards against a short delay of second attempts after many first attempts have lost early.
TEST(call_estimates_test, AttemptThatLostEarly_DoesNotCountAsAResponseTime) {
  call_estimates estimates = TwoIdleEndpoints();
  const auto before = estimates.ResponseTime(0.05);
  for (int i = 0; i < 50; ++i) {
    const auto id = estimates.RecordStart(Endpoint("a"), kStart);
    estimates.RecordEnd(Endpoint("a"), id, call_end::kAbandoned, kStart + milliseconds(3));
  }
  EXPECT_EQ(estimates.ResponseTime(0.05), before);
}

// Guards against calling an endpoint that hangs as often as one that is slow for a moment.
TEST(call_estimates_test, EndpointThatRepeatedlyDoesNotAnswer_IsRememberedLonger) {
  call_estimates estimates = TwoIdleEndpoints();
  time_point now = kStart;
  for (int i = 0; i < 4; ++i) {
    const auto id = estimates.RecordStart(Endpoint("a"), now);
    now += milliseconds(200);
    estimates.RecordEnd(Endpoint("a"), id, call_end::kAbandoned, now);
  }
  EXPECT_GT(estimates.PredictFinish(endpoint_name{"a"}, 0, now + milliseconds(1'500)), milliseconds(60));
  Answer(estimates, "a", milliseconds(30), kIdle, now + milliseconds(1'500));
  EXPECT_LT(estimates.PredictFinish(endpoint_name{"a"}, 0, now + milliseconds(2'500)), milliseconds(50));
}

// Guards against taking the speed of a process for that of the one that replaces it.
TEST(call_estimates_test, LaterIncarnation_StartsWithoutTheHistoryOfTheEarlierOne) {
  call_estimates estimates = TwoIdleEndpoints();
  estimates.RecordReport(Endpoint("a"), {6, 24, 6, 500}, kStart);
  estimates.RecordReport(Endpoint("a", 2), kIdle, kStart);
  EXPECT_LT(estimates.PredictFinish(endpoint_name{"a"}, 0, kStart), milliseconds(40));
  estimates.RecordReport(Endpoint("a", 1), {6, 24, 6, 500}, kStart);  // a late response of the earlier one
  EXPECT_LT(estimates.PredictFinish(endpoint_name{"a"}, 0, kStart), milliseconds(40));
}

// Guards against growth without bound while endpoints start and stop all day.
TEST(call_estimates_test, Endpoints_ThatGetNoCalls_AreForgotten) {
  call_estimates estimates{estimate_settings{}};
  for (std::size_t i = 0; i < call_estimates::kMaxEndpoints + 100; ++i) {
    const auto id = estimates.RecordStart(Endpoint("e" + std::to_string(i)), kStart + milliseconds(i));
    if (i % 2 == 0) {
      estimates.RecordEnd(Endpoint("e" + std::to_string(i)), id, call_end::kNoSample, kStart + milliseconds(i));
    }
  }
  EXPECT_EQ(estimates.EndpointCount(), call_estimates::kMaxEndpoints);
  estimates.RemoveIdle(kStart + milliseconds(600'000));
  EXPECT_LE(estimates.EndpointCount(), call_estimates::kMaxEndpoints / 2);  // those with calls in progress
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. choices
// ---------------------------------------------------------------------------------------------------------------------

TEST(call_choice_test, EqualEndpoints_GetEqualShares) {
  const call_estimates estimates = TwoIdleEndpoints();
  const auto shares = Shares(estimates, {View("a"), View("b")}, kStart);
  EXPECT_NEAR(shares[0], 0.5, 0.05);
}

// Guards against an endpoint that gets all calls because it has answered first, faster than the assumed duration.
TEST(call_choice_test, FirstAnswers_AreNotComparedWithADefault) {
  call_estimates estimates{estimate_settings{}};
  for (int i = 0; i < 3; ++i) {
    Answer(estimates, "a", milliseconds(1), kIdle, kStart);
  }
  const auto shares = Shares(estimates, {View("a"), View("b")}, kStart);
  EXPECT_NEAR(shares[0], 0.5, 0.05);
}

TEST(call_choice_test, AmongEqualEndpoints_TheOwnZoneIsPreferred) {
  const call_estimates estimates = TwoIdleEndpoints();
  const auto shares = Shares(estimates, {View("a", "zone-a"), View("b", "zone-b")}, kStart, zone_name{"zone-b"});
  EXPECT_GT(shares[1], 0.65);
}

TEST(call_choice_test, SecondAttempt_PrefersAnotherZone) {
  const call_estimates estimates = TwoIdleEndpoints();
  const auto shares = Shares(estimates, {View("a", "zone-a"), View("b", "zone-b")}, kStart, {}, zone_name{"zone-a"});
  EXPECT_GT(shares[1], 0.85);
}

// Guards against a slow endpoint that gets as many calls as the others, and against one that gets none, so that its
// recovery is never detected.
TEST(call_choice_test, EndpointThatLooksSlow_GetsFewCallsButSome) {
  call_estimates estimates = TwoIdleEndpoints();
  estimates.RecordReport(Endpoint("a"), {6, 18, 6, 400}, kStart);
  const auto shares = Shares(estimates, {View("a"), View("b")}, kStart);
  EXPECT_GT(shares[0], 0.008);
  EXPECT_LT(shares[0], 0.1);
}

// Guards against all routers choosing the endpoint that looks best.
TEST(call_choice_test, EndpointThatLooksBest_DoesNotGetAllCalls) {
  call_estimates estimates = TwoIdleEndpoints();
  for (const char* name : {"c", "d"}) {
    Answer(estimates, name, milliseconds(30), kIdle, kStart);
  }
  estimates.RecordReport(Endpoint("a"), {5, 0, 6, 70}, kStart);
  const auto shares = Shares(estimates, {View("a"), View("b"), View("c"), View("d")}, kStart);
  EXPECT_GT(shares[0], 0.3);
  EXPECT_LT(shares[0], 0.75);
}

TEST(call_choice_test, EndpointsThatMayNotReceiveOrAreEjectedOrLimited_AreNotChosen) {
  const call_estimates estimates = TwoIdleEndpoints();
  auto views = std::vector{View("a"), View("b"), View("c"), View("d")};
  views[0].can_receive = false;
  views[1].health_share = 0;
  views[2].permit_wait = milliseconds(10);
  EXPECT_DOUBLE_EQ(Shares(estimates, views, kStart)[3], 1);
  views[3].can_receive = false;
  EXPECT_DOUBLE_EQ(Shares(estimates, views, kStart)[2], 1);  // the shortest wait for a permit
  views[2].can_receive = false;
  EXPECT_DOUBLE_EQ(Shares(estimates, views, kStart)[1], 1);  // an ejected endpoint is better than none
  views[1].can_receive = false;
  EXPECT_FALSE(estimates.Choose(views, {}, kStart));
}

// Guards against choices that leave out endpoints of a service with many of them.
TEST(call_choice_test, ManyEndpoints_AllGetCalls) {
  const call_estimates estimates{estimate_settings{}};
  constexpr std::size_t kViews = 100;
  std::vector<endpoint_view> views;
  views.reserve(kViews);
  for (std::size_t i = 0; i < kViews; ++i) {
    views.push_back(View("e" + std::to_string(i)));
  }
  const auto shares = Shares(estimates, views, kStart);
  EXPECT_GT(*std::min_element(shares.begin(), shares.end()), 0.003);
  EXPECT_LT(*std::max_element(shares.begin(), shares.end()), 0.02);
}

TEST(call_choice_test, EndpointThatIsBeingReadmitted_GetsItsShareOfTheCalls) {
  const call_estimates estimates = TwoIdleEndpoints();
  auto views = std::vector{View("a"), View("b")};
  views[0].health_share = 0.1;
  const double share = Shares(estimates, views, kStart)[0];
  EXPECT_GT(share, 0.005);
  EXPECT_LT(share, 0.15);
}

RC_GTEST_PROP(call_choice_property, Choose_ForAnyHistory_TakesAnEndpointThatCanReceive, ()) {
  call_estimates estimates{estimate_settings{}};
  time_point now = kStart;
  std::vector<std::pair<std::string, call_estimates::call_id>> calls;
  const int steps = *rc::gen::inRange(0, 200);
  for (int i = 0; i < steps; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 300));
    const std::string name(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
    const auto number = [](int limit) { return static_cast<std::uint32_t>(*rc::gen::inRange(0, limit)); };
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        calls.emplace_back(name, estimates.RecordStart(Endpoint(name), now));
        break;
      case 1:
        estimates.RecordReport(Endpoint(name), {number(40), number(40), number(8), number(10'000)}, now);
        break;
      default:
        if (!calls.empty()) {
          const auto end = static_cast<call_end>(*rc::gen::inRange(0, 4));
          estimates.RecordEnd(Endpoint(calls.back().first), calls.back().second, end, now);
          calls.pop_back();
        }
    }
  }
  auto views = std::vector{View("a"), View("b"), View("c"), View("d"), View("e")};
  for (endpoint_view& view : views) {
    view.can_receive = *rc::gen::arbitrary<bool>();
    view.health_share = *rc::gen::element(0.0, 0.1, 1.0);
  }
  const bool any = std::any_of(views.begin(), views.end(), [](const endpoint_view& view) { return view.can_receive; });
  const auto chosen = estimates.Choose(views, {{}, {}, *rc::gen::arbitrary<std::uint64_t>()}, now);
  RC_ASSERT(chosen.has_value() == any);
  RC_ASSERT(!chosen || (views[chosen->index].can_receive && chosen->predicted > microseconds(0)));
  RC_ASSERT(!chosen || chosen->predicted < milliseconds(600'000));
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. refusals
// ---------------------------------------------------------------------------------------------------------------------

TEST(overload_test, CallThatNoEndpointCanAnswerInTime_IsFoundOnlyFromRecentReports) {
  call_estimates estimates = TwoIdleEndpoints();
  const auto views = std::vector{View("a"), View("b")};
  const auto find = [&](time_point now) { return estimates.FindOverload(views, milliseconds(150), now); };
  EXPECT_FALSE(find(kStart));
  estimates.RecordReport(Endpoint("a"), {6, 24, 6, 500}, kStart);
  EXPECT_FALSE(find(kStart));  // the other endpoint is free
  estimates.RecordReport(Endpoint("b"), {6, 24, 6, 500}, kStart);
  EXPECT_TRUE(find(kStart));
  EXPECT_FALSE(find(kStart + milliseconds(1'500)));
}

// Guards against refusing calls because nothing is known about an endpoint, for example after a start.
TEST(overload_test, UnknownEndpoint_IsNoReasonToRefuse) {
  call_estimates estimates = TwoIdleEndpoints();
  estimates.RecordReport(Endpoint("a"), {6, 24, 6, 500}, kStart);
  EXPECT_FALSE(estimates.FindOverload(std::vector{View("a"), View("new")}, milliseconds(20), kStart));
  EXPECT_FALSE(estimates.FindOverload({}, milliseconds(20), kStart));
}

// ---------------------------------------------------------------------------------------------------------------------
// 5. schedule of attempts
// ---------------------------------------------------------------------------------------------------------------------

constexpr microseconds kDelay = milliseconds(100);

TEST(attempt_schedule_test, SlowAttempt_IsJoinedByOneMoreAfterTheDelay) {
  attempt_schedule schedule(2, kDelay, kStart);
  EXPECT_EQ(schedule.NextStart(), kStart);
  schedule.RecordStart(kStart);
  EXPECT_EQ(schedule.NextStart(), kStart + kDelay);
  schedule.RecordStart(kStart + kDelay);
  EXPECT_FALSE(schedule.NextStart());
  EXPECT_EQ(schedule.InProgress(), 2U);
}

TEST(attempt_schedule_test, FailedAttempt_IsRetriedAtOnceUnlessAnotherIsInProgress) {
  attempt_schedule schedule(3, kDelay, kStart);
  schedule.RecordStart(kStart);
  schedule.RecordEnd(attempt_end::kFailed, kStart + milliseconds(5));
  EXPECT_EQ(schedule.NextStart(), kStart + milliseconds(5));
  schedule.RecordStart(kStart + milliseconds(5));
  schedule.RecordStart(kStart + milliseconds(105));
  schedule.RecordEnd(attempt_end::kFailed, kStart + milliseconds(110));
  EXPECT_FALSE(schedule.NextStart());
}

TEST(attempt_schedule_test, AttemptThatWasNotSent_DoesNotCount) {
  attempt_schedule schedule(1, kDelay, kStart);
  schedule.RecordStart(kStart);
  schedule.RecordEnd(attempt_end::kNotSent, kStart + milliseconds(1));
  EXPECT_EQ(schedule.NextStart(), kStart + milliseconds(1));
  EXPECT_EQ(schedule.Sent(), 0U);
}

TEST(attempt_schedule_test, AttemptThatCannotStart_IsDueOnlyAfterAFailure) {
  attempt_schedule schedule(2, kDelay, kStart);
  schedule.RecordStart(kStart);
  schedule.RecordNoStart();
  EXPECT_EQ(schedule.NextStart(), time_point::max());
  schedule.RecordEnd(attempt_end::kFailed, kStart + milliseconds(200));
  EXPECT_EQ(schedule.NextStart(), kStart + milliseconds(200));
  schedule.RecordNoStart();
  EXPECT_FALSE(schedule.NextStart());
}

// ---------------------------------------------------------------------------------------------------------------------
// 6. load test in virtual time: 24 routers with 8 requests/s each and a burst of twice that, 3 endpoints that are slow
// at
//    times. Compares the estimates and overlapping attempts with ChooseService and attempts that follow one another.
// ---------------------------------------------------------------------------------------------------------------------

constexpr int kRouters = 24;
constexpr int kEndpoints = 3;
constexpr std::size_t kSlots = 6;
constexpr std::size_t kQueue = 24;
constexpr double kRequestsPerS = 8;  // of one router
constexpr double kServerErrorShare = 0.14;
constexpr double kIdempotentShare = 0.8;
constexpr double kSlowFactor = 2.5;
constexpr double kSlowMs = 600;                          // mean duration of a slow period
constexpr double kFastMs = kSlowMs * (1 - 0.15) / 0.15;  // 15% of the time is slow
constexpr milliseconds kTarget(150);
constexpr milliseconds kTimeBudget(1'000);
constexpr milliseconds kRoundTrip(1);
constexpr milliseconds kPeerPeriod(400);  // of the messages with which routers exchange their calls in progress
constexpr double kSecondTryShare = 0.75;
constexpr std::uint32_t kMaxAttempts = 2;

enum class policy : std::uint8_t { kCallsInProgress, kEstimates };

class simulator {
 public:
  explicit simulator(std::uint64_t seed) : random(seed) {}

  void At(time_point when, std::function<void()> action) { events_.emplace(when, std::move(action)); }
  void After(microseconds delay, std::function<void()> action) { At(now + delay, std::move(action)); }
  void RunUntil(time_point end) {
    while (!events_.empty() && events_.begin()->first <= end) {
      auto event = events_.extract(events_.begin());
      now = event.key();
      event.mapped()();
    }
  }
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(random); }
  microseconds Exponential(double mean_ms) { return FromMs(-mean_ms * std::log(1 - Uniform())); }
  static microseconds FromMs(double ms) { return microseconds(static_cast<std::int64_t>(ms * 1'000)); }

  time_point now = kStart;
  std::mt19937_64 random;

 private:
  std::multimap<time_point, std::function<void()>> events_;
};

// One request at an endpoint.
struct job {
  bool fails = false;
  bool is_cancelled = false;
  bool is_running = false;
  std::function<void(int status, const server_load& load)> done;
};
using job_ptr = std::shared_ptr<job>;

class model_endpoint {
 public:
  explicit model_endpoint(simulator& sim) : sim_(sim) { ChangeSpeed(); }

  void Receive(const job_ptr& added) {
    if (running_ < kSlots) {
      Run(added);
    } else if (waiting_.size() < kQueue) {
      waiting_.push_back(added);
    } else {
      added->done(503, Load());
    }
  }

  // While the endpoint hangs, nothing ends there.
  void SetHangs(bool hangs) { hangs_ = hangs; }

  void Cancel(const job_ptr& ended) {
    if (std::exchange(ended->is_cancelled, true)) {
      return;
    }
    if (ended->is_running) {
      --running_;
      StartNext();
    } else {
      std::erase(waiting_, ended);
    }
  }

 private:
  void ChangeSpeed() {
    is_slow_ = !is_slow_;
    sim_.After(sim_.Exponential(is_slow_ ? kSlowMs : kFastMs), [this] { ChangeSpeed(); });
  }

  void Run(const job_ptr& started) {
    ++running_;
    started->is_running = true;
    double work_ms = std::lognormal_distribution<double>(std::log(30.0), 0.4)(sim_.random);
    work_ms *= (sim_.Uniform() < 0.01 ? 5 : 1) * (is_slow_ ? kSlowFactor : 1);
    sim_.After(simulator::FromMs(work_ms), [this, started] {
      if (started->is_cancelled || hangs_) {
        return;
      }
      started->is_cancelled = true;  // it has ended
      --running_;
      StartNext();
      started->done(started->fails ? 500 : 200, Load());
    });
  }

  void StartNext() {
    if (!waiting_.empty() && running_ < kSlots) {
      const job_ptr next = waiting_.front();
      waiting_.pop_front();
      Run(next);
    }
  }

  // The work time that is reported varies by a tenth around the true one.
  server_load Load() {
    const double percent = (is_slow_ ? 100 * kSlowFactor : 100) * (0.9 + 0.2 * sim_.Uniform());
    return {static_cast<std::uint32_t>(running_), static_cast<std::uint32_t>(waiting_.size()),
            static_cast<std::uint32_t>(kSlots), static_cast<std::uint32_t>(percent)};
  }

  simulator& sim_;
  bool is_slow_ = true;
  bool hangs_ = false;
  std::size_t running_ = 0;
  std::deque<job_ptr> waiting_;
};

struct part_result {
  double requests = 0;
  double idempotent = 0;
  double good = 0;  // idempotent calls answered with 200 within the target
  double sends = 0;

  double GoodShare() const { return good / std::max(1.0, idempotent); }
};

class load_model {
 public:
  load_model(policy chosen, std::uint64_t seed, bool reports_work_time = true)
      : policy_(chosen), reports_work_time_(reports_work_time), sim_(seed) {
    for (int i = 0; i < kEndpoints; ++i) {
      endpoints_.push_back(std::make_unique<model_endpoint>(sim_));
      names_.push_back("app-" + std::to_string(i));
    }
    for (int i = 0; i < kRouters; ++i) {
      routers_.push_back(std::make_unique<router>());
      routers_.back()->budget.SetRouters(kRouters);
      routers_.back()->zone = zone_name{"zone-" + std::to_string(i % kEndpoints)};
      ScheduleArrival(*routers_.back());
      Publish(*routers_.back(), simulator::FromMs(sim_.Uniform() * kPeerPeriod.count()));
    }
  }

  // Runs one part with a multiple of the usual load and returns its result.
  part_result RunPart(milliseconds duration, double factor) {
    factor_ = factor;
    result_ = std::make_shared<part_result>();
    const auto result = result_;
    sim_.RunUntil(sim_.now + duration);
    result_ = std::make_shared<part_result>();
    return *result;
  }

  void SetHangs(std::size_t endpoint, bool hangs) { endpoints_[endpoint]->SetHangs(hangs); }

  // Highest excess of extra sends over 0.2 of the requests in any window of 10 s, sampled every second.
  double MaxExcess() const {
    double highest = 0;
    for (time_point end = kStart + milliseconds(10'000); end < sim_.now; end += milliseconds(1'000)) {
      const auto count = [end](const std::vector<time_point>& times) {
        return static_cast<double>(std::count_if(times.begin(), times.end(), [end](time_point when) {
          return when >= end - milliseconds(10'000) && when < end;
        }));
      };
      highest = std::max(highest, count(extra_sends_) - 0.2 * count(requests_));
    }
    return highest;
  }

 private:
  struct router {
    call_estimates estimates{estimate_settings{}};
    send_budget budget{send_budget_settings{}, kStart};
    zone_name zone;
    std::array<std::uint32_t, kEndpoints> calls{};      // in progress
    std::array<std::uint32_t, kEndpoints> published{};  // as the other routers know them
  };

  struct attempt {
    std::size_t endpoint = 0;
    job_ptr work;
    call_estimates::call_id id = 0;
  };

  struct call {
    explicit call(router& owner, const attempt_schedule& planned) : served_by(owner), schedule(planned) {}

    router& served_by;
    std::shared_ptr<part_result> part;
    time_point arrival;
    bool is_idempotent = false;
    bool is_done = false;
    attempt_schedule schedule;
    std::vector<attempt> in_progress;
    std::vector<std::size_t> avoid;
  };
  using call_ptr = std::shared_ptr<call>;

  void ScheduleArrival(router& owner) {
    sim_.After(sim_.Exponential(1'000 / (kRequestsPerS * factor_)), [this, &owner] {
      Arrive(owner);
      ScheduleArrival(owner);
    });
  }

  void Publish(router& owner, microseconds delay) {
    sim_.After(delay, [this, &owner] {
      owner.published = owner.calls;
      Publish(owner, kPeerPeriod);
    });
  }

  void Arrive(router& owner) {
    const bool is_idempotent = sim_.Uniform() < kIdempotentShare;
    const auto share_of_target = std::chrono::duration_cast<microseconds>(kTarget * kSecondTryShare);
    const microseconds delay =
        policy_ == policy::kEstimates ? std::max(share_of_target, owner.estimates.ResponseTime(0.95)) : share_of_target;
    auto added = std::make_shared<call>(owner, attempt_schedule(is_idempotent ? kMaxAttempts : 1, delay, sim_.now));
    added->part = result_;
    added->arrival = sim_.now;
    added->is_idempotent = is_idempotent;
    owner.budget.RecordRequest(sim_.now);
    requests_.push_back(sim_.now);
    added->part->requests += 1;
    added->part->idempotent += is_idempotent ? 1 : 0;
    sim_.After(kTimeBudget, [this, added] { End(added, 0); });
    if (policy_ == policy::kEstimates && owner.estimates.FindOverload(Views(*added), kTimeBudget, sim_.now)) {
      End(added, 503);
      return;
    }
    StartAttempt(added);
  }

  std::vector<endpoint_view> Views(const call& served) const {
    std::vector<endpoint_view> views;
    for (std::size_t i = 0; i < names_.size(); ++i) {
      endpoint_view view = View(names_[i], "zone-" + std::to_string(i));
      view.can_receive = std::find(served.avoid.begin(), served.avoid.end(), i) == served.avoid.end();
      view.calls_in_progress = served.served_by.calls[i];
      for (const auto& peer : routers_) {
        view.calls_in_progress += peer.get() == &served.served_by ? 0 : peer->published[i];
      }
      views.push_back(std::move(view));
    }
    return views;
  }

  std::optional<std::size_t> Choose(const call& served) {
    const auto views = Views(served);
    const router& owner = served.served_by;
    if (policy_ == policy::kCallsInProgress) {
      return ChooseService(views, {owner.zone, sim_.random()}, selection_settings{});
    }
    const zone_name avoided = served.in_progress.empty() ? zone_name{} : views[served.in_progress[0].endpoint].zone;
    const auto chosen = owner.estimates.Choose(views, {owner.zone, avoided, sim_.random()}, sim_.now);
    return chosen ? std::optional(chosen->index) : std::nullopt;
  }

  void StartAttempt(const call_ptr& served) {
    router& owner = served->served_by;
    const auto next = served->schedule.NextStart();
    if (served->is_done || !next || *next > sim_.now) {
      return;
    }
    const bool is_extra = served->schedule.Sent() > 0;
    const auto chosen = Choose(*served);
    if (!chosen || (is_extra && !owner.budget.AllowSend(sim_.now))) {
      served->schedule.RecordNoStart();
      return;
    }
    if (is_extra) {
      extra_sends_.push_back(sim_.now);
    }
    served->part->sends += 1;
    served->schedule.RecordStart(sim_.now);
    served->avoid.push_back(*chosen);
    ++owner.calls[*chosen];
    attempt started{*chosen, std::make_shared<job>(), owner.estimates.RecordStart(Endpoint(names_[*chosen]), sim_.now)};
    started.work->fails = served->is_idempotent && sim_.Uniform() < kServerErrorShare;
    started.work->done = [this, served, started](int status, const server_load& load) {
      sim_.After(kRoundTrip, [this, served, started, status, load] { Finish(served, started, status, load); });
    };
    served->in_progress.push_back(started);
    endpoints_[*chosen]->Receive(started.work);
    if (const auto due = served->schedule.NextStart(); due && *due != time_point::max()) {
      sim_.At(*due, [this, served] { JoinOrReplace(served); });
    }
  }

  // The first attempt is late. Without the estimates, it ends when the second one starts.
  void JoinOrReplace(const call_ptr& served) {
    if (served->is_done || served->in_progress.empty() || !served->schedule.NextStart() ||
        *served->schedule.NextStart() > sim_.now) {
      return;
    }
    if (policy_ == policy::kCallsInProgress) {
      const attempt late = served->in_progress.front();
      Abandon(served, late);
      served->schedule.RecordEnd(attempt_end::kFailed, sim_.now);
    }
    StartAttempt(served);
  }

  void Abandon(const call_ptr& served, const attempt& ended) {
    router& owner = served->served_by;
    endpoints_[ended.endpoint]->Cancel(ended.work);
    --owner.calls[ended.endpoint];
    owner.estimates.RecordEnd(Endpoint(names_[ended.endpoint]), ended.id, call_end::kAbandoned, sim_.now);
    std::erase_if(served->in_progress, [&](const attempt& item) { return item.id == ended.id; });
  }

  void Finish(const call_ptr& served, const attempt& ended, int status, server_load load) {
    const auto is_same = [&](const attempt& item) { return item.id == ended.id; };
    if (std::none_of(served->in_progress.begin(), served->in_progress.end(), is_same)) {
      return;  // abandoned
    }
    router& owner = served->served_by;
    std::erase_if(served->in_progress, is_same);
    --owner.calls[ended.endpoint];
    if (!reports_work_time_) {
      load.work_time_percent.reset();
    }
    const endpoint_incarnation endpoint = Endpoint(names_[ended.endpoint]);
    owner.estimates.RecordReport(endpoint, load, sim_.now);
    owner.estimates.RecordEnd(endpoint, ended.id, EndOf(status), sim_.now);
    served->schedule.RecordEnd(status == 503 ? attempt_end::kRejected : attempt_end::kFailed, sim_.now);
    if (status == 200) {
      End(served, status);
    } else {
      StartAttempt(served);
    }
  }

  static call_end EndOf(int status) {
    return status == 200 ? call_end::kAnswered : status == 503 ? call_end::kRejected : call_end::kNoSample;
  }

  void End(const call_ptr& served, int status) {
    if (std::exchange(served->is_done, true)) {
      return;
    }
    const bool is_good = status == 200 && served->is_idempotent && sim_.now - served->arrival <= kTarget;
    served->part->good += is_good ? 1 : 0;
    while (!served->in_progress.empty()) {
      const attempt lost = served->in_progress.front();
      Abandon(served, lost);
    }
  }

  policy policy_;
  bool reports_work_time_;
  double factor_ = 1;
  simulator sim_;
  std::vector<std::unique_ptr<model_endpoint>> endpoints_;
  std::vector<std::string> names_;
  std::vector<std::unique_ptr<router>> routers_;
  std::shared_ptr<part_result> result_ = std::make_shared<part_result>();
  std::vector<time_point> requests_;
  std::vector<time_point> extra_sends_;
};

struct run_result {
  std::map<std::string, part_result> parts;
  double max_excess = 0;
};

run_result RunModel(policy chosen, bool reports_work_time = true) {
  run_result total;
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6}) {
    load_model model(chosen, seed, reports_work_time);
    const auto add = [&](const char* name, const part_result& part) {
      part_result& sum = total.parts[name];
      sum.requests += part.requests;
      sum.idempotent += part.idempotent;
      sum.good += part.good;
      sum.sends += part.sends;
    };
    add("calm", model.RunPart(milliseconds(40'000), 1));
    add("burst", model.RunPart(milliseconds(10'000), 2));
    add("after", model.RunPart(milliseconds(20'000), 1));
    total.max_excess = std::max(total.max_excess, model.MaxExcess());
  }
  return total;
}

void Print(const char* title, const run_result& run) {
  for (const auto& [name, part] : run.parts) {
    std::printf("%-22s %-6s good %.4f of %.0f, sends per request %.3f\n", title, name.c_str(), part.GoodShare(),
                part.idempotent, part.sends / part.requests);
  }
  std::printf("%-22s highest excess of extra sends over 0.2 of the requests: %.0f\n", title, run.max_excess);
}

// Guards against estimates that answer fewer calls in time than the choice by calls in progress, or that need more
// sends than the budget allows.
TEST(uneven_endpoints_load_test, Estimates_AnswerMoreCallsInTimeThanCallsInProgress) {
  const run_result before = RunModel(policy::kCallsInProgress);
  const run_result after = RunModel(policy::kEstimates);
  Print("calls in progress", before);
  Print("estimates", after);
  EXPECT_GE(after.parts.at("calm").GoodShare(), 0.85);
  for (const char* part : {"calm", "burst", "after"}) {
    EXPECT_GE(after.parts.at(part).GoodShare(), before.parts.at(part).GoodShare()) << part;
  }
  EXPECT_LE(after.max_excess, send_budget_settings{}.slack);
}

// The adaptive policy may also be in effect where endpoints report no work time.
TEST(uneven_endpoints_load_test, EstimatesWithoutWorkTimes_AnswerMoreCallsInTimeThanCallsInProgress) {
  const run_result before = RunModel(policy::kCallsInProgress, false);
  const run_result after = RunModel(policy::kEstimates, false);
  Print("without work times", after);
  for (const char* part : {"calm", "burst", "after"}) {
    EXPECT_GE(after.parts.at(part).GoodShare(), before.parts.at(part).GoodShare()) << part;
  }
  EXPECT_LE(after.max_excess, send_budget_settings{}.slack);
}

// Guards against an endpoint that hangs and still gets a share of the calls from each router, which then all need a
// second attempt. The estimates must notice it themselves: an attempt that loses counts as no failure.
TEST(uneven_endpoints_load_test, EndpointThatHangs_GetsFewCalls) {
  part_result sum;
  double max_excess = 0;
  for (const std::uint64_t seed : {1, 2, 3}) {
    load_model model(policy::kEstimates, seed);
    (void)model.RunPart(milliseconds(10'000), 1);
    model.SetHangs(0, true);
    const part_result part = model.RunPart(milliseconds(10'000), 1);
    model.SetHangs(0, false);
    (void)model.RunPart(milliseconds(10'000), 1);
    sum.idempotent += part.idempotent;
    sum.good += part.good;
    max_excess = std::max(max_excess, model.MaxExcess());
  }
  std::printf("one endpoint hangs: good %.4f, highest excess %.0f\n", sum.GoodShare(), max_excess);
  EXPECT_GE(sum.GoodShare(), 0.85);
  EXPECT_LE(max_excess, send_budget_settings{}.slack);
}

}  // namespace
}  // namespace persimmon
