// link: persimmon_direct persimmon_fake_parts
// Rate limits of client accounts at several routers without agents that exchange datagrams, in one process.
#include <gtest/gtest.h>

#include <algorithm>

#include "core/telemetry.h"
#include "direct/account_tracker.h"
#include "direct/router_group.h"
#include "support/router_fleet.h"

namespace persimmon {
namespace {

class account_exchange_test : public testing::Test, protected support::router_fleet {
 protected:
  // Starts three routers and waits until each of them can be a home router.
  void StartRouters() {
    harness_.WriteDesiredState();
    SetLimits(harness_.Kernel());
    harness_.StartWithoutWaiting();
    while (others_.size() < 2) {
      SetLimits(AddRouter().services);
    }
    ASSERT_TRUE(RunUntil([this] {
      return std::all_of(others_.begin(), others_.end(), [](const auto& router) {
        return router->services.template Find<router_group>("group").RouterCount() == 3;
      });
    }));
    for (std::size_t router = 0; router < 3; ++router) {
      for (std::size_t account = 0; account < 6; ++account) {
        ASSERT_TRUE(TakeUntilGranted(router, Account(account))) << "router " << router << " account " << account;
      }
    }
    RunFor(milliseconds(2'500));  // a home router that has just settled lends less, and the buckets fill up
  }

  void SetLimits(kernel& services) {
    services.Find<account_tracker>("accounts").find_limit = [this](const account_name& account) {
      const auto found = limits_.find(account);
      return found == limits_.end() ? std::nullopt : std::optional(found->second);
    };
  }

  kernel& Router(std::size_t index) { return index == 0 ? harness_.Kernel() : others_[index - 1]->services; }
  static account_name Account(std::size_t index) { return {"account-" + std::to_string(index)}; }

  std::string HomeOf(std::size_t router, const account_name& account) {
    return Router(router)
        .Find<limit_tracker>("limits")
        .Members()
        .HomeOf(AccountKey(account), timer_service::NowWithSuspension())
        .value_or("");
  }

  // Index of the account's home router; all routers agree.
  std::size_t HomeIndex(const account_name& account) {
    const std::string home = HomeOf(0, account);
    for (std::size_t i = 0; i < others_.size() + 1; ++i) {
      if (Router(i).Find<router_group>("group").Self().address.Text() == home) {
        return i;
      }
    }
    return 0;
  }

  std::shared_ptr<std::optional<usage_grant>> BeginTake(std::size_t router, const account_name& account,
                                                        std::uint64_t amount) {
    auto result = std::make_shared<std::optional<usage_grant>>();
    kernel& services = Router(router);
    auto& tracker = services.Find<account_tracker>("accounts");
    const account_limit limit = limits_.contains(account) ? limits_.at(account) : account_limit{47'000, 47'000};
    asio::co_spawn(
        services.Context(),
        [&tracker, account, limit, amount, result]() -> task<> {
          *result = co_await tracker.Take(account, limit, amount);
        },
        asio::detached);
    return result;
  }

  usage_grant Take(std::size_t router, const account_name& account, std::uint64_t amount = 5'000) {
    const auto result = BeginTake(router, account, amount);
    EXPECT_TRUE(RunUntil([&result] { return result->has_value(); }));
    return result->value_or(usage_grant{});
  }

  bool TakeUntilGranted(std::size_t router, const account_name& account) {
    const time_point end = timer_service::Now() + milliseconds(15'000);
    while (timer_service::Now() < end) {
      if (Take(router, account).granted) {
        return true;
      }
      RunFor(milliseconds(50));
    }
    return false;
  }

  std::uint64_t LoansAsked(std::size_t router) {
    return Router(router)
        .Find<telemetry>("telemetry")
        .Metrics()
        .AddCounter("persimmon_account_loan_requests_total", "", {{"outcome", "sent"}})
        .Value();
  }

  std::map<account_name, account_limit> limits_ = {{Account(0), {230'000, 230'000}},
                                                   {Account(1), {230'000, 230'000}},
                                                   {Account(2), {230'000, 230'000}},
                                                   {Account(3), {230'000, 230'000}},
                                                   {Account(4), {230'000, 230'000}},
                                                   {Account(5), {47'000, 47'000}},
                                                   {Account(6), {0, 0}}};
};

// Guards against routers that each grant the whole limit.
TEST_F(account_exchange_test, RequestsAtAllRouters_OverTheLimit_AreGrantedNoMoreThanItTogether) {
  StartRouters();
  const account_name account = Account(5);
  EXPECT_EQ(HomeOf(0, account), HomeOf(1, account));
  const time_point begin = timer_service::Now();
  std::vector<std::shared_ptr<std::optional<usage_grant>>> takes;
  for (int i = 0; i < 60; ++i) {
    takes.push_back(BeginTake(static_cast<std::size_t>(i) % 3, account, 5'000));
  }
  ASSERT_TRUE(RunUntil([&takes] {
    return std::all_of(takes.begin(), takes.end(), [](const auto& take) { return take->has_value(); });
  }));
  const double seconds = std::chrono::duration<double>(timer_service::Now() - begin).count();
  std::uint64_t granted = 0;
  for (const auto& take : takes) {
    granted += (*take)->granted ? 5'000 : 0;
    if (!(*take)->granted) {
      EXPECT_GT((*take)->retry_in, milliseconds(0));
      EXPECT_LE((*take)->retry_in, milliseconds(8'000));
    }
  }
  EXPECT_GE(granted, 5'000U);
  // The burst, an overdraft by one request, and the local shares of routers that get no answer in time.
  EXPECT_LE(static_cast<double>(granted), 47'000 * (seconds + 1) * 1.02 + 7'050 + 40'000);
  std::uint64_t asked = 0;
  for (std::size_t router = 0; router < 3; ++router) {
    asked += router == HomeIndex(account) ? 0 : LoansAsked(router);
  }
  EXPECT_GT(asked, 0U);
}

// Guards against an account that is refused for good after its home router has died.
TEST_F(account_exchange_test, Account_WhoseHomeRouterIsKilled_IsServedByItsSuccessor) {
  StartRouters();
  std::optional<account_name> account;
  for (std::size_t i = 0; i < 200 && !account; ++i) {
    limits_[Account(100 + i)] = {230'000, 230'000};
    if (HomeIndex(Account(100 + i)) == 2) {
      account = Account(100 + i);
    }
  }
  ASSERT_TRUE(account);
  EXPECT_TRUE(TakeUntilGranted(0, *account));
  KillLastRouter();
  EXPECT_TRUE(TakeUntilGranted(0, *account));
  EXPECT_TRUE(TakeUntilGranted(1, *account));
  EXPECT_TRUE(RunUntil([&] { return HomeIndex(*account) != 2 && HomeOf(0, *account) == HomeOf(1, *account); }));
}

// Guards against a home router that lends without limit because it does not know the account yet.
TEST_F(account_exchange_test, AccountThatItsHomeRouterDoesNotKnow_IsRefusedAtOtherRouters) {
  StartRouters();
  const account_name account{"unknown"};
  const std::size_t asker = (HomeIndex(account) + 1) % 3;
  for (int i = 0; i < 3; ++i) {
    const usage_grant grant = Take(asker, account);
    EXPECT_FALSE(grant.granted);
    EXPECT_GT(grant.retry_in, milliseconds(0));
  }
}

TEST_F(account_exchange_test, AccountWithoutALimit_IsGrantedWithoutMessages) {
  StartRouters();
  for (std::size_t router = 0; router < 3; ++router) {
    const std::uint64_t before = LoansAsked(router);
    for (int i = 0; i < 5; ++i) {
      EXPECT_TRUE(Take(router, Account(6), 10'000'000).granted);
    }
    EXPECT_EQ(LoansAsked(router), before);
  }
}

// Guards against refused requests that use up the limit: each is returned before the next, so all are granted.
TEST_F(account_exchange_test, ReturnedTokens_CanBeTakenAgainAtAnyRouter) {
  StartRouters();
  const account_name account = Account(5);
  const time_point begin = timer_service::Now();
  int granted = 0;
  for (int i = 0; i < 60; ++i) {
    const std::size_t router = static_cast<std::size_t>(i) % 3;
    if (Take(router, account).granted) {
      ++granted;
      Router(router).Find<account_tracker>("accounts").Return(account, 5'000);
    }
  }
  const double seconds = std::chrono::duration<double>(timer_service::Now() - begin).count();
  EXPECT_GT(granted * 5'000, 47'000 * (1 + seconds) + 7'050);
}

}  // namespace
}  // namespace persimmon
