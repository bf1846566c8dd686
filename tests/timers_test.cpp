// link: persimmon_core
#include "core/timers.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <memory>
#include <optional>

namespace persimmon {
namespace {

class timer_service_test : public testing::Test {
 protected:
  // Subscribes a callback that counts and owns `token_`.
  timer_subscription SubscribeOnce(milliseconds delay) {
    return timers_.SubscribeOnce(delay, [this, token = std::exchange(token_, nullptr)] { ++calls_; });
  }

  void RunFor(milliseconds duration) {
    context_.restart();
    context_.run_for(duration);
  }

  asio::io_context context_{1};
  timer_service timers_{context_};
  std::shared_ptr<int> token_ = std::make_shared<int>(0);
  const std::weak_ptr<int> watched_token_ = token_;
  int calls_ = 0;
};

TEST_F(timer_service_test, SubscribeOnce_WhenDue_CallsOnce) {
  const auto subscription = SubscribeOnce(milliseconds(1));
  RunFor(milliseconds(30));
  EXPECT_EQ(calls_, 1);
}

// Guards against timers that are kept until they expire: a server that starts one for each request would keep those of
// all requests of the last minutes.
TEST_F(timer_service_test, SubscribeOnce_WhenCancelled_FreesItsCallbackWithoutWaiting) {
  auto subscription = SubscribeOnce(milliseconds(3'600'000));
  subscription.Cancel();
  context_.poll();
  EXPECT_TRUE(watched_token_.expired());
  EXPECT_TRUE(context_.stopped()) << "work is left";
  EXPECT_EQ(calls_, 0);
}

TEST_F(timer_service_test, SubscribeEvery_WhenCancelledInItsCallback_EndsAndIsFreed) {
  timer_subscription subscription;
  subscription = timers_.SubscribeEvery(milliseconds(1), 0.1, [&, token = std::exchange(token_, nullptr)] {
    if (++calls_ == 3) {
      subscription.Cancel();
    }
  });
  RunFor(milliseconds(100));
  EXPECT_EQ(calls_, 3);
  EXPECT_TRUE(watched_token_.expired());
}

TEST_F(timer_service_test, Cancel_WhenDueButNotYetCalled_PreventsTheCall) {
  auto subscription = SubscribeOnce(milliseconds(0));
  asio::post(context_, [&] { subscription.Cancel(); });
  RunFor(milliseconds(20));
  EXPECT_LE(calls_, 0);
}

TEST(timer_subscription_test, Subscription_ThatOutlivesTheContext_IsDestroyedSafely) {
  std::optional<asio::io_context> context(1);
  timer_service timers(*context);
  auto once = timers.SubscribeOnce(milliseconds(1'000), [] {});
  auto every = timers.SubscribeEvery(milliseconds(1'000), 0, [] {});
  context.reset();
  once.Cancel();
}

}  // namespace
}  // namespace persimmon
