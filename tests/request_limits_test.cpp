// Limits that endpoints state: which statement holds, the schedule of permits, and a model of many routers with loss,
// delays, pauses, kills and cuts between them.
//
// Sections
//   1. what an endpoint states
//   2. schedule of permits
//   3. home routers and permits
//   4. model of a group of routers
#include "persimmon/request_limits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>

namespace persimmon {
namespace {

time_point At(double seconds) {
  return time_point(std::chrono::duration_cast<time_point::duration>(std::chrono::duration<double>(1'000 + seconds)));
}

// ---------------------------------------------------------------------------------------------------------------------
// 1. what an endpoint states
// ---------------------------------------------------------------------------------------------------------------------

class stated_limit_test : public testing::Test {
 protected:
  void Merge(std::optional<double> rate, double sent, double received) { limit_.Merge({rate, At(sent), At(received)}); }
  stated_limit limit_;
};

TEST_F(stated_limit_test, Limit_OfANewerRequest_ReplacesTheOlderOne) {
  Merge(5, 0, 1);
  Merge(20, 1, 2);
  EXPECT_EQ(limit_.Rate(), 20);
  Merge(std::nullopt, 2, 3);
  EXPECT_EQ(limit_.Rate(), std::nullopt);
}

// A response that was under way when the limit began does not show that it has ended.
TEST_F(stated_limit_test, ResponseWithoutALimit_ToARequestSentBeforeItWasKnown_DoesNotEndIt) {
  Merge(5, 1, 2);
  Merge(std::nullopt, 1.5, 3);
  EXPECT_EQ(limit_.Rate(), 5);
  Merge(std::nullopt, 2.1, 3);
  EXPECT_EQ(limit_.Rate(), std::nullopt);
}

// A slow response that was made before the limit ended must not bring it back.
TEST_F(stated_limit_test, LateResponseWithALimit_OfARequestFromBeforeItsEnd_IsIgnored) {
  Merge(std::nullopt, 4, 5);
  Merge(5, 1, 3);
  EXPECT_EQ(limit_.Rate(), std::nullopt);
}

TEST_F(stated_limit_test, Limits_OfOverlappingRequests_HoldWithTheLowest) {
  Merge(8, 1, 2);
  Merge(5, 1.5, 2.5);
  Merge(9, 1.6, 2.6);
  EXPECT_EQ(limit_.Rate(), 5);
}

// Routers hear of statements in different orders.
RC_GTEST_FIXTURE_PROP(stated_limit_test, Statements_ThatDoNotOverlap_InAnyOrder_EndWithTheNewest, ()) {
  const auto count = *rc::gen::inRange(1, 6);
  std::vector<limit_statement> statements;
  for (int i = 0; i < count; ++i) {
    const int rate = *rc::gen::inRange(-1, 4);
    statements.push_back({rate < 0 ? std::nullopt : std::optional<double>(rate), At(i), At(i + 0.5)});
  }
  const auto newest = statements.back().rate;
  std::shuffle(statements.begin(), statements.end(), std::mt19937(*rc::gen::arbitrary<unsigned>()));
  stated_limit limit;
  for (const limit_statement& statement : statements) {
    limit.Merge(statement);
  }
  RC_ASSERT(limit.Rate() == newest);
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. schedule of permits
// ---------------------------------------------------------------------------------------------------------------------

class permit_schedule_test : public testing::Test {
 protected:
  request_limit_settings settings_;
};

TEST_F(permit_schedule_test, Request_ThatWouldWaitTooLong_IsRefusedWithItsWaitAndTakesNoTime) {
  permit_schedule schedule(settings_, At(0));
  EXPECT_EQ(schedule.Take(5, 1, milliseconds(0), At(0)), (permit_slot{true, microseconds(0)}));
  EXPECT_EQ(schedule.Take(5, 1, milliseconds(0), At(0)), (permit_slot{false, milliseconds(200)}));
  EXPECT_EQ(schedule.Take(5, 1, milliseconds(300), At(0)), (permit_slot{true, milliseconds(200)}));
  EXPECT_EQ(schedule.Take(5, 1, milliseconds(300), At(0)), (permit_slot{false, milliseconds(400)}));
}

// Nobody would learn that a limit of 0 has ended.
TEST_F(permit_schedule_test, LimitOfZero_LetsARequestThroughNowAndThen) {
  permit_schedule schedule(settings_, At(0));
  int sent = 0;
  for (int ms = 0; ms < 40'000; ms += 100) {
    sent += schedule.Take(0, 1, milliseconds(0), At(ms / 1e3)).granted ? 1 : 0;
  }
  EXPECT_GE(sent, 4);
  EXPECT_LE(sent, 9);
}

TEST_F(permit_schedule_test, HigherLimit_AfterALongQueue_TakesRequestsSooner) {
  permit_schedule schedule(settings_, At(0));
  for (int i = 0; i < 4; ++i) {
    schedule.Take(2, 1, milliseconds(2'000), At(0));
  }
  EXPECT_LE(schedule.Take(100, 1, milliseconds(2'000), At(0)).wait, milliseconds(10));
}

// For any limit and any times of requests, no period gets more than the limit and the burst.
RC_GTEST_FIXTURE_PROP(permit_schedule_test, Permits_InAnyPeriod_AreNoMoreThanTheLimitAndTheBurst, ()) {
  const double rate = *rc::gen::inRange(1, 200) / 4.0;
  permit_schedule schedule(settings_, At(0));
  std::vector<time_point> sent;
  time_point now = At(0);
  for (const int gap_ms : *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 120))) {
    now += milliseconds(gap_ms);
    const permit_slot slot = schedule.Take(rate, 1, milliseconds(*rc::gen::inRange(0, 500)), now);
    if (slot.granted) {
      sent.push_back(now + slot.wait);
    }
  }
  RC_ASSERT(std::is_sorted(sent.begin(), sent.end()));
  const double burst_s = std::chrono::duration<double>(settings_.burst_time).count();
  for (std::size_t i = 0; i < sent.size(); ++i) {
    for (std::size_t j = i; j < sent.size(); ++j) {
      const double period = std::chrono::duration<double>(sent[j] - sent[i]).count();
      RC_ASSERT(static_cast<double>(j - i + 1) <= rate * (period + burst_s) + 1 + 1e-3);
    }
  }
}

// What the agent sends without waiting (exclusive_limit::Charge) must delay its next requests. Nothing failed when the
// body of permit_schedule::Charge was empty.
TEST_F(permit_schedule_test, RequestsSentWithoutWaiting_DelayTheNextOnes) {
  exclusive_limit limit(settings_);
  limit.RecordStatement({5, At(0), At(0)});
  ASSERT_TRUE(limit.Take(microseconds(0), At(10)).granted);
  for (int i = 0; i < 4; ++i) {
    limit.Charge(At(10));
  }
  // Five requests at 5 per second, of which 250 ms are made up.
  EXPECT_EQ(limit.Take(microseconds(0), At(10)), (permit_slot{false, milliseconds(750)}));
  EXPECT_EQ(limit.PredictWait(At(10)), milliseconds(750));
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. home routers and permits
// ---------------------------------------------------------------------------------------------------------------------

// Two routers that both run for long, and the endpoint whose home router is the other one.
class limit_members_test : public testing::Test {
 protected:
  limit_members_test() {
    for (double at = 0; at <= 20; at += 0.4) {
      Hear(at);
    }
    while (self_.HomeOf(endpoint_.key, At(20)) != kOther) {
      ++endpoint_.key;
    }
  }

  void Hear(double at, bool leaving = false, std::uint64_t incarnation = 1) {
    self_.Tick(At(at));
    self_.SetRouterCount(2);
    self_.RecordHeard(kOther, incarnation, leaving, At(at));
  }

  static constexpr const char* kSelf = "10.0.0.1:7";
  static constexpr const char* kOther = "10.0.0.2:7";
  limited_endpoint endpoint_{1, 1};
  limit_members self_{kSelf, request_limit_settings{}, At(0)};
};

TEST_F(limit_members_test, RouterThatHasJustStarted_IsNoHomeRouter) {
  Hear(20.4, false, 2);
  EXPECT_EQ(self_.HomeOf(endpoint_.key, At(20.5)), kSelf);
  for (double at = 20.8; at < 23; at += 0.4) {
    Hear(at, false, 2);
  }
  EXPECT_EQ(self_.HomeOf(endpoint_.key, At(23)), kOther);
}

// It may have missed that another router has taken over.
TEST_F(limit_members_test, OwnProcess_AfterAPause_IsNoHomeRouterForAWhile) {
  Hear(20.4, true);
  ASSERT_GT(self_.OwnShare(endpoint_.key, At(20.5)), 0);
  self_.Tick(At(22));
  EXPECT_EQ(self_.OwnShare(endpoint_.key, At(22)), 0);
}

TEST_F(limit_members_test, SilentRouter_ThatAnotherOneHears_StaysHomeRouter) {
  self_.Tick(At(20.7));
  self_.RecordHeard("10.0.0.3:7", 1, false, At(20.7));
  for (double at = 21.2; at < 24; at += 0.4) {
    self_.Tick(At(at));
    self_.RecordHeard("10.0.0.3:7", 1, false, At(at));
    self_.RecordListed(kOther, At(at));
    EXPECT_NE(self_.HomeOf(endpoint_.key, At(at)), kSelf);
  }
}

// Both may act for a moment.
TEST_F(limit_members_test, Successor_OfAHomeRouterThatHasLeft_AssignsLessAtFirst) {
  Hear(20.4, true);
  self_.SetRouterCount(1);
  EXPECT_EQ(self_.OwnShare(endpoint_.key, At(20.5)), request_limit_settings{}.takeover_share);
  for (double at = 20.5; at < 25; at += 0.5) {
    self_.Tick(At(at));
  }
  EXPECT_EQ(self_.OwnShare(endpoint_.key, At(25)), 1);
}

TEST_F(limit_members_test, HalfOfTheRouters_BehindACut_AssignsAQuarter) {
  for (double at = 20.5; at < 30; at += 0.5) {
    self_.Tick(At(at));
  }
  EXPECT_EQ(self_.OwnShare(endpoint_.key, At(30)), 0.25);
}

// Guards against two routers that both assign the whole limit: the others do not hear this one, and it hears them all.
TEST_F(limit_members_test, RouterThatNobodyHears_AssignsAsIfItWereAlone) {
  Hear(20.4, true);  // so that this router is the home
  const auto hear_third = [this](double at, bool lists_self) {
    self_.Tick(At(at));
    self_.SetRouterCount(3);
    self_.RecordHeard("10.0.0.3:7", 1, false, At(at));
    if (lists_self) {
      self_.RecordListed(kSelf, At(at));
    }
  };
  for (double at = 20.5; at < 30; at += 0.4) {
    hear_third(at, true);
  }
  while (self_.HomeOf(endpoint_.key, At(30)) != kSelf) {
    ++endpoint_.key;
  }
  EXPECT_EQ(self_.OwnShare(endpoint_.key, At(30)), 1);
  for (double at = 30; at < 34; at += 0.4) {
    hear_third(at, false);
  }
  EXPECT_LT(self_.OwnShare(endpoint_.key, At(34)), 0.2) << "with the successor's whole limit, more than 1.5 times it";
  hear_third(34.1, true);
  EXPECT_EQ(self_.OwnShare(endpoint_.key, At(34.2)), 1);
}

class request_limits_test : public testing::Test {
 protected:
  const limited_endpoint endpoint_{1, 1};
  request_limits limits_{"10.0.0.1:7", request_limit_settings{}, At(0)};
};

TEST_F(request_limits_test, Permit_AfterItsTimeOrALowerLimit_IsVoid) {
  limits_.RecordStatement(endpoint_, {10, At(1), At(1)}, At(1));
  const send_permit permit{10, At(5)};
  EXPECT_TRUE(limits_.IsValid(endpoint_, permit, At(5)));
  EXPECT_FALSE(limits_.IsValid(endpoint_, permit, At(5.001)));
  limits_.RecordStatement(endpoint_, {8, At(2), At(2)}, At(2));
  EXPECT_FALSE(limits_.IsValid(endpoint_, permit, At(3)));
  limits_.RecordStatement(endpoint_, {std::nullopt, At(3), At(3)}, At(3));
  EXPECT_TRUE(limits_.IsValid(endpoint_, permit, At(6)));
}

// A permit that was not needed when a request was placed is needed once the endpoint states a limit.
TEST_F(request_limits_test, PermitFromBeforeTheLimit_OnceItIsStated_IsVoid) {
  const send_permit permit{std::nullopt, At(9)};
  EXPECT_TRUE(limits_.IsValid(endpoint_, permit, At(1)));
  limits_.RecordStatement(endpoint_, {10, At(1), At(1)}, At(1));
  EXPECT_FALSE(limits_.IsValid(endpoint_, permit, At(2)));
}

// An endpoint that starts again under its name has stated nothing.
TEST_F(request_limits_test, Limit_OfAnEarlierIncarnation_DoesNotHoldForTheNext) {
  limits_.RecordStatement(endpoint_, {10, At(1), At(1)}, At(1));
  EXPECT_EQ(limits_.Rate({1, 2}), std::nullopt);
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. model of a group of routers
// ---------------------------------------------------------------------------------------------------------------------

struct model_options {
  std::size_t routers = 5;
  double rate = 8;            // stated by the endpoint
  double demand = 60;         // requests per second, of all routers
  double seconds = 30;        // of one run
  double loss = 0.02;         // of messages
  double max_delay_s = 0.03;  // of messages
  double faults_per_s = 0.7;  // kills, pauses, leaves and cuts
  unsigned seed = 1;
};

// Events in virtual time. Each router asks for a permit for each of its requests and sends it when it may.
class limit_model {
 public:
  explicit limit_model(const model_options& options) : options_(options), random_(options.seed) {
    for (std::size_t i = 0; i < options_.routers; ++i) {
      addresses_.push_back("10.0.0." + std::to_string(i) + ":7");
    }
    for (std::size_t i = 0; i < options_.routers; ++i) {
      routers_.emplace_back();
      Restart(i, true);
    }
  }

  void Run() {
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      After(Unit() * 0.4, [this, i] { Heartbeat(i); });
    }
    After(0, [this] { Request(); });
    if (options_.faults_per_s > 0) {
      After(1, [this] { Fault(); });
    }
    while (!events_.empty() && events_.top().at <= options_.seconds) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
  }

  // Largest number of requests at the endpoint in any 4 s.
  std::size_t MostInAnyWindow() const {
    std::size_t most = 0;
    for (auto begin = sent_.begin(); begin != sent_.end(); ++begin) {
      const auto end = std::lower_bound(begin, sent_.end(), *begin + 4);
      most = std::max(most, static_cast<std::size_t>(end - begin));
    }
    return most;
  }

  double RateOfRequests(double from, double until) const {
    const auto count =
        std::lower_bound(sent_.begin(), sent_.end(), until) - std::lower_bound(sent_.begin(), sent_.end(), from);
    return static_cast<double>(count) / (until - from);
  }

 private:
  struct event {
    double at = 0;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  struct router {
    std::optional<request_limits> limits;
    std::map<std::size_t, double> heard;  // when
    std::uint64_t incarnation = 0;
    double paused_until = 0;
    double dead_until = 0;
    bool leaving = false;
    int side = 0;                                // of a cut
    std::vector<std::function<void()>> delayed;  // messages that arrived during a pause
  };

  double Unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  std::size_t Pick() { return random_() % routers_.size(); }
  const std::string& Address(std::size_t index) const { return addresses_[index]; }
  void After(double delay, std::function<void()> run) { events_.push({now_ + delay, ++order_, std::move(run)}); }
  bool IsUp(std::size_t index) const { return now_ >= routers_[index].dead_until; }

  void Restart(std::size_t index, bool first) {
    router& started = routers_[index];
    started.limits.emplace(Address(index), request_limit_settings{}, At(now_));
    // Routers of the model run already when it begins, and know the limit.
    if (first) {
      started.limits.emplace(Address(index), request_limit_settings{}, At(-8));
    }
    started.limits->RecordStatement(endpoint_, {options_.rate, At(-1), At(-1)}, At(now_));
    started.heard.clear();
    for (double at = -8; first && at < 0; at += 0.7) {
      started.limits->Members().Tick(At(at));
      for (std::size_t other = 0; other < options_.routers; ++other) {
        if (other != index) {
          started.limits->Members().RecordHeard(Address(other), 0, false, At(at));
          started.heard[other] = 0;
        }
      }
      started.limits->Members().RecordListed(Address(index), At(at));
    }
    started.limits->Members().SetRouterCount(static_cast<std::uint32_t>(options_.routers));
    started.limits->Members().Tick(At(now_));
    started.incarnation += first ? 0 : 1;
    started.leaving = false;
    started.paused_until = 0;
    started.delayed.clear();
  }

  // Delivers a message to a router, unless it is lost or cut off. A paused router handles it when it wakes.
  void Deliver(std::size_t from, std::size_t to, std::function<void()> handle) {
    if (Unit() < options_.loss || routers_[from].side != routers_[to].side) {
      return;
    }
    After(Unit() * options_.max_delay_s, [this, to, handle = std::move(handle)] {
      if (!IsUp(to)) {
        return;
      }
      if (now_ < routers_[to].paused_until) {
        routers_[to].delayed.push_back(handle);
      } else {
        handle();
      }
    });
  }

  void Heartbeat(std::size_t index) {
    After(0.36 + Unit() * 0.08, [this, index] { Heartbeat(index); });
    router& self = routers_[index];
    if (!IsUp(index) || now_ < self.paused_until) {
      return;
    }
    self.limits->Members().Tick(At(now_));
    self.limits->Members().SetRouterCount(static_cast<std::uint32_t>(options_.routers));
    std::vector<std::size_t> listed;
    for (const auto& [other, at] : self.heard) {
      if (now_ - at <= 1.5) {
        listed.push_back(other);
      }
    }
    std::shuffle(listed.begin(), listed.end(), random_);
    listed.resize(std::min<std::size_t>(listed.size(), 10));
    for (std::size_t other = 0; other < routers_.size(); ++other) {
      if (other == index) {
        continue;
      }
      Deliver(index, other, [this, index, other, listed, incarnation = self.incarnation, leaving = self.leaving] {
        router& receiver = routers_[other];
        receiver.heard[index] = now_;
        receiver.limits->Members().RecordHeard(Address(index), incarnation, leaving, At(now_));
        for (const std::size_t member : listed) {
          receiver.limits->Members().RecordListed(Address(member), At(now_));
        }
      });
    }
  }

  void Request() {
    After(std::exponential_distribution<double>(options_.demand)(random_), [this] { Request(); });
    const std::size_t index = Pick();
    router& self = routers_[index];
    if (!IsUp(index) || now_ < self.paused_until) {
      return;
    }
    const microseconds max_wait = milliseconds(random_() % 400);
    const auto home = self.limits->Members().HomeOf(endpoint_.key, At(now_));
    if (!home) {
      return;
    }
    if (*home == Address(index)) {
      Finish(index, self.incarnation, now_, self.limits->Decide(endpoint_, max_wait, At(now_)));
      return;
    }
    for (std::size_t other = 0; other < routers_.size(); ++other) {
      if (Address(other) == *home) {
        Deliver(index, other, [this, index, other, max_wait, asked = now_, incarnation = self.incarnation] {
          const permit_decision decision = routers_[other].limits->Decide(endpoint_, max_wait, At(now_));
          Deliver(other, index,
                  [this, index, incarnation, asked, decision] { Finish(index, incarnation, asked, decision); });
        });
      }
    }
  }

  void Finish(std::size_t index, std::uint64_t incarnation, double asked, const permit_decision& decision) {
    if (decision.verdict != permit_verdict::kGranted) {
      return;
    }
    const double wait = std::chrono::duration<double>(decision.wait).count();
    const send_permit permit{options_.rate, At(asked + wait) + request_limit_settings{}.permit_lifetime};
    const double until_sent = wait + Unit() * 0.01;
    After(until_sent, [this, index, incarnation, permit] { Send(index, incarnation, permit); });
  }

  void Send(std::size_t index, std::uint64_t incarnation, const send_permit& permit) {
    router& self = routers_[index];
    if (!IsUp(index) || self.incarnation != incarnation) {
      return;
    }
    if (now_ < self.paused_until) {
      self.delayed.push_back([this, index, incarnation, permit] { Send(index, incarnation, permit); });
    } else if (self.limits->IsValid(endpoint_, permit, At(now_))) {
      sent_.push_back(now_);
    }
  }

  void Fault() {
    After(std::exponential_distribution<double>(options_.faults_per_s)(random_), [this] { Fault(); });
    const std::size_t index = Pick();
    const double seconds = 0.2 + Unit() * 4;
    switch (random_() % 4) {
      case 0:
        Kill(index, seconds);
        break;
      case 1:
        Pause(index, seconds);
        break;
      case 2:
        routers_[index].leaving = true;
        routers_[index].limits->Members().RecordOwnLeave();
        After(1, [this, index, seconds] { Kill(index, seconds); });
        break;
      default:
        Cut(seconds * 2);
        break;
    }
  }

  void Kill(std::size_t index, double seconds) {
    if (IsUp(index)) {
      routers_[index].dead_until = now_ + seconds;
      routers_[index].delayed.clear();
      After(seconds, [this, index] { Restart(index, false); });
    }
  }

  void Pause(std::size_t index, double seconds) {
    if (!IsUp(index) || now_ < routers_[index].paused_until) {
      return;
    }
    routers_[index].paused_until = now_ + seconds;
    After(seconds, [this, index, incarnation = routers_[index].incarnation] {
      if (IsUp(index) && routers_[index].incarnation == incarnation) {
        for (const auto& handle : std::exchange(routers_[index].delayed, {})) {
          handle();
        }
      }
    });
  }

  void Cut(double seconds) {
    const double share = Unit() / 2;
    for (router& each : routers_) {
      each.side = Unit() < share ? 1 : 0;
    }
    After(seconds, [this] {
      for (router& each : routers_) {
        each.side = 0;
      }
    });
  }

  const limited_endpoint endpoint_{0x5eed, 1};
  model_options options_;
  std::mt19937 random_;
  double now_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<event> events_;
  std::vector<std::string> addresses_;
  std::deque<router> routers_;
  std::vector<double> sent_;
};

class limit_model_test : public testing::Test {
 protected:
  // The rule of the users' platform, without its excuses for disturbed routers.
  static double Allowed(double rate) { return 1.5 * rate * 4 + 5; }
};

TEST_F(limit_model_test, FiveRouters_WithoutFaults_UseTheWholeLimitAndNoMore) {
  for (const double rate : {0.5, 5.3, 7.2, 40.0}) {
    limit_model model({.rate = rate, .demand = 20 * rate, .loss = 0, .faults_per_s = 0});
    model.Run();
    EXPECT_LE(static_cast<double>(model.MostInAnyWindow()), rate * 4.25 + 1.5) << rate;
    EXPECT_GE(model.RateOfRequests(1, 30), 0.9 * rate) << rate;
  }
}

TEST_F(limit_model_test, FiveRouters_WithLossPausesKillsLeavesAndCuts_KeepTheLimit) {
  for (unsigned seed = 1; seed <= 150; ++seed) {
    limit_model model({.rate = seed % 3 == 0 ? 2.5 : seed % 3 == 1 ? 7.2 : 30.0, .seed = seed});
    model.Run();
    const double rate = seed % 3 == 0 ? 2.5 : seed % 3 == 1 ? 7.2 : 30.0;
    EXPECT_LE(static_cast<double>(model.MostInAnyWindow()), Allowed(rate)) << "seed " << seed;
  }
}

TEST_F(limit_model_test, FiveRouters_WithLossOfManyMessages_KeepTheLimitAndUseMostOfIt) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    limit_model model({.rate = 7.2, .loss = 0.3, .faults_per_s = 0, .seed = seed});
    model.Run();
    EXPECT_LE(static_cast<double>(model.MostInAnyWindow()), Allowed(7.2)) << "seed " << seed;
    EXPECT_GE(model.RateOfRequests(4, 30), 0.5 * 7.2) << "seed " << seed;
  }
}

TEST_F(limit_model_test, ManyRouters_WithFaults_KeepTheLimitAndUseMostOfIt) {
  limit_model model({.routers = 370, .rate = 7.2, .demand = 100, .seconds = 7, .faults_per_s = 3});
  model.Run();
  EXPECT_LE(static_cast<double>(model.MostInAnyWindow()), Allowed(7.2));
  EXPECT_GE(model.RateOfRequests(1, 7), 0.5 * 7.2);
}

}  // namespace
}  // namespace persimmon
