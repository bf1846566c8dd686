// Guards against extra sends to a service that exceed the budget shared by all routers.
#include "persimmon/send_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace persimmon {
namespace {

// Several routers get requests and ask for extra sends at random times. In every window, the extra sends of all routers
// must not exceed `ratio` times their requests plus the slack.
RC_GTEST_PROP(send_budget_test, AllowSend_OfSeveralRouters_NeverExceedsTheSharedBudget, ()) {
  const auto routers = *rc::gen::inRange<std::size_t>(1, 8);
  const send_budget_settings settings{.ratio = 0.2, .slack = 56, .window = milliseconds(10'000), .utilization = 1.0};
  std::vector<send_budget> budgets(routers, send_budget(settings, time_point()));
  for (send_budget& budget : budgets) {
    budget.SetRouters(static_cast<std::uint32_t>(routers));
  }
  std::vector<time_point> requests;
  std::vector<time_point> sends;
  time_point now{std::chrono::hours(1)};
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 200), rc::gen::inRange(0, 100)));
  for (const auto& [pause, choice] : steps) {
    now += milliseconds(pause);
    send_budget& budget = budgets[static_cast<std::size_t>(choice) % routers];
    if (choice < 30) {
      budget.RecordRequest(now);
      requests.push_back(now);
    } else if (budget.AllowSend(now)) {
      sends.push_back(now);
    }
    const auto in_window = [&](const std::vector<time_point>& times) {
      return std::count_if(times.begin(), times.end(), [&](time_point t) { return t >= now - settings.window; });
    };
    RC_ASSERT(static_cast<double>(in_window(sends)) <=
              settings.ratio * static_cast<double>(in_window(requests)) + settings.slack);
  }
}

// Guards against a share of the slack that is used twice within one window: by a router, and again after its restart.
RC_GTEST_PROP(send_budget_test, AllowSend_AcrossRestarts_NeverExceedsTheSharedBudget, ()) {
  const send_budget_settings settings{.ratio = 0.2, .slack = 56, .window = milliseconds(10'000), .utilization = 1.0};
  constexpr std::size_t kRouters = 3;
  std::vector<send_budget> budgets(kRouters, send_budget(settings, time_point()));
  std::vector<time_point> sends;
  time_point now{std::chrono::hours(1)};
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 400), rc::gen::inRange(0, 100)));
  for (const auto& [pause, choice] : steps) {
    now += milliseconds(pause);
    send_budget& budget = budgets[static_cast<std::size_t>(choice) % kRouters];
    budget.SetRouters(kRouters);
    if (choice < 10) {
      budget = send_budget(settings, now + settings.window);
    } else if (budget.AllowSend(now)) {
      sends.push_back(now);
    }
    const auto in_window =
        std::count_if(sends.begin(), sends.end(), [&](time_point t) { return t >= now - settings.window; });
    RC_ASSERT(static_cast<double>(in_window) <= settings.slack);
  }
}

// A router that does not know how many others share the slack must not use any of it.
TEST(send_budget_test, AllowSend_WithAnUnknownNumberOfRouters_UsesNoSlack) {
  send_budget budget({.ratio = 0, .slack = 56, .window = milliseconds(10'000), .utilization = 1.0}, time_point());
  budget.SetRouters(0);
  EXPECT_FALSE(budget.AllowSend(time_point{std::chrono::hours(1)}));
}

// Sends that are found to be extra only when they are rejected must not exceed the budget together.
RC_GTEST_PROP(send_budget_test, ProvisionalSends_RejectedAtAnyTime_NeverExceedTheBudget, ()) {
  send_budget budget({.ratio = 0.2, .slack = 10, .window = milliseconds(10'000), .utilization = 1.0}, time_point());
  std::vector<time_point> requests;
  std::vector<time_point> rejections;
  int in_progress = 0;
  time_point now{std::chrono::hours(1)};
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 200), rc::gen::inRange(0, 100)));
  for (const auto& [pause, choice] : steps) {
    now += milliseconds(pause);
    if (choice < 30) {
      budget.RecordRequest(now);
      requests.push_back(now);
    } else if (choice < 70) {
      if (budget.CheckProvisional(now) == send_budget::provisional_check::kAllowed) {
        budget.BeginProvisional();
        ++in_progress;
      }
    } else if (in_progress > 0) {
      --in_progress;
      budget.EndProvisional();
      if (choice < 95) {
        budget.RecordSend(now);
        rejections.push_back(now);
      }
    }
    const auto in_window = [](const std::vector<time_point>& times, time_point end) {
      return static_cast<double>(std::count_if(
          times.begin(), times.end(), [end](time_point t) { return t >= end - milliseconds(10'000) && t <= end; }));
    };
    // Requests of the window, of the one before it or of the one half a window before it count, whichever are most: a
    // send may begin under a larger budget than the one in which it is rejected.
    const double most_requests = std::max({in_window(requests, now), in_window(requests, now - milliseconds(5'000)),
                                           in_window(requests, now - milliseconds(10'000))});
    RC_ASSERT(in_window(rejections, now) <= 0.2 * most_requests + 10);
  }
}

// A router with few requests must be able to send at all, and must learn from the first rejection.
TEST(send_budget_test, CheckProvisional_WithAnEmptyBudget_AllowsOneAtATimeUntilOneIsRejected) {
  using check = send_budget::provisional_check;
  send_budget budget({.ratio = 0.2, .slack = 0, .window = milliseconds(10'000), .utilization = 1.0}, time_point());
  const time_point now{std::chrono::hours(1)};
  EXPECT_EQ(budget.CheckProvisional(now), check::kAllowed);
  budget.BeginProvisional();
  EXPECT_EQ(budget.CheckProvisional(now), check::kWaits);
  budget.EndProvisional();
  EXPECT_EQ(budget.CheckProvisional(now), check::kAllowed);
  budget.RecordSend(now);
  EXPECT_EQ(budget.CheckProvisional(now), check::kSpent);
}

TEST(send_budget_test, AllowSend_AfterRecordedSends_CountsThem) {
  send_budget budget({.ratio = 0, .slack = 10, .window = milliseconds(10'000), .utilization = 1.0}, time_point());
  const time_point now{std::chrono::hours(1)};
  for (int i = 0; i < 10; ++i) {
    budget.RecordSend(now);
  }
  EXPECT_FALSE(budget.AllowSend(now));
  EXPECT_TRUE(budget.AllowSend(now + milliseconds(10'001)));
}

}  // namespace
}  // namespace persimmon
