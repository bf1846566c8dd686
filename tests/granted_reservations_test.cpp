// Guards against a second copy of a grant that counts as a further one.
#include "persimmon/granted_reservations.h"

#include <gtest/gtest.h>

namespace persimmon {
namespace {

const endpoint_name kEngine{"e-1"};

class granted_reservations_test : public testing::Test {
 protected:
  bool Add(const std::string& name, milliseconds lifetime = milliseconds(2'000), std::uint64_t started_ms = 1) {
    return grants_.Add(kEngine, started_ms, name, now_ + lifetime, now_);
  }

  time_point now_{std::chrono::hours(1)};
  granted_reservations grants_{3};
};

TEST_F(granted_reservations_test, Name_WithinTheLifetime_IsNewOnce) {
  EXPECT_TRUE(Add("a"));
  now_ += milliseconds(1'999);
  EXPECT_FALSE(Add("a"));
  EXPECT_TRUE(Add("b"));
}

TEST_F(granted_reservations_test, Name_AfterTheLifetime_IsNewAgain) {
  EXPECT_TRUE(Add("a"));
  now_ += milliseconds(2'000);
  EXPECT_TRUE(Add("a"));
}

// A restarted engine counts anew, and other engines have names of their own.
TEST_F(granted_reservations_test, Name_OfAnotherIncarnationOrEngine_IsNew) {
  EXPECT_TRUE(Add("a"));
  EXPECT_TRUE(Add("a", milliseconds(2'000), 2));
  EXPECT_TRUE(grants_.Add(endpoint_name{"e-2"}, 1, "a", now_ + milliseconds(2'000), now_));
}

TEST_F(granted_reservations_test, Names_BeyondTheCapacity_ReplaceThoseThatExpireFirst) {
  EXPECT_TRUE(Add("long", milliseconds(9'000)));
  EXPECT_TRUE(Add("short", milliseconds(1'000)));
  EXPECT_TRUE(Add("middle", milliseconds(5'000)));
  EXPECT_TRUE(Add("new", milliseconds(5'000)));
  EXPECT_EQ(grants_.Size(), 3U);
  EXPECT_FALSE(Add("long", milliseconds(9'000)));
}

}  // namespace
}  // namespace persimmon
