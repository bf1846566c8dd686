// Guards against extra sends to a service that exceed the budget shared by all routers.
#include "persimmon/send_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace persimmon {
namespace {

// Several routers get requests and ask for extra sends at random times. In every window, the extra sends of all routers
// must not exceed `ratio` times their requests plus the slack.
RC_GTEST_PROP(send_budget_test, AllowSend_OfSeveralRouters_NeverExceedsTheSharedBudget, ()) {
  const auto routers = *rc::gen::inRange<std::size_t>(1, 8);
  const send_budget_settings settings{.ratio = 0.2, .slack = 56, .window = milliseconds(10'000), .utilization = 1.0};
  std::vector<send_budget> budgets(routers, send_budget(settings));
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

TEST(send_budget_test, AllowSend_AfterRecordedSends_CountsThem) {
  send_budget budget({.ratio = 0, .slack = 10, .window = milliseconds(10'000), .utilization = 1.0});
  const time_point now{std::chrono::hours(1)};
  for (int i = 0; i < 10; ++i) {
    budget.RecordSend(now);
  }
  EXPECT_FALSE(budget.AllowSend(now));
  EXPECT_TRUE(budget.AllowSend(now + milliseconds(10'001)));
}

}  // namespace
}  // namespace persimmon
