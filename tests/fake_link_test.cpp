// link: persimmon_fake_parts
// Checks that the link neither loses nor reorders bytes and that its faults take effect. Otherwise the tests that
// inject faults with it would prove nothing.
#include "fakes/fake_link.h"

#include <gtest/gtest.h>

#include "net_support.h"

namespace persimmon {
namespace {

class fake_link_test : public testing::Test {
 protected:
  ~fake_link_test() override {
    if (link_) {
      link_->Stop();
    }
    loop_.RunFor(milliseconds(50));
  }

  void StartLink() {
    options_.listen = {"127.0.0.1", 0};
    options_.target = {"127.0.0.1", listener_.Port()};
    link_ = std::make_unique<fake_link>(loop_.Context(), options_);
    ASSERT_TRUE(link_->Start());
  }

  void Connect() {
    caller_ = std::make_unique<raw_connection>(loop_, link_->Port());
    target_ = listener_.Accept();
    ASSERT_TRUE(target_);
  }

  test_loop loop_;
  raw_listener listener_{loop_};
  fake_link_options options_;
  std::unique_ptr<fake_link> link_;
  std::unique_ptr<raw_connection> caller_;
  std::unique_ptr<raw_connection> target_;
};

TEST_F(fake_link_test, Link_WhenMuchIsSent_ForwardsAllInOrderBothWays) {
  StartLink();
  Connect();
  std::string data;
  for (int i = 0; i < 200'000; ++i) {
    data += std::to_string(i) + " ";
  }
  caller_->Send(data);
  target_->Send(data);
  ASSERT_TRUE(loop_.RunUntil([&] {
    caller_->Poll();
    target_->Poll();
    return caller_->Received().size() >= data.size() && target_->Received().size() >= data.size();
  }));
  EXPECT_EQ(target_->Received(), data);
  EXPECT_EQ(caller_->Received(), data);
}

TEST_F(fake_link_test, Link_WhenCallerShutsDownSending_TargetReadsEnd) {
  StartLink();
  Connect();
  caller_->Send("last");
  caller_->ShutdownSend();
  ASSERT_TRUE(target_->AwaitEnd());
  EXPECT_EQ(target_->Received(), "last");
}

TEST_F(fake_link_test, Link_WhenDelayIsSet_DelaysBytes) {
  options_.delay_ms = 100;
  StartLink();
  Connect();
  const time_point begin = timer_service::Now();
  caller_->Send("a");
  ASSERT_TRUE(target_->AwaitText("a"));
  EXPECT_GE(timer_service::Now() - begin, milliseconds(100));
}

TEST_F(fake_link_test, Link_WhenRateIsLimited_DoesNotExceedIt) {
  options_.rate_bytes_per_s = 1e6;
  StartLink();
  Connect();
  const time_point begin = timer_service::Now();
  caller_->Send(std::string(200'000, 'a') + "end");
  ASSERT_TRUE(target_->AwaitText("end"));
  EXPECT_GE(timer_service::Now() - begin, milliseconds(200));
}

TEST_F(fake_link_test, SetSilent_WhenSet_StallsOnlyExistingConnections) {
  StartLink();
  Connect();
  caller_->Send("before ");
  ASSERT_TRUE(target_->AwaitText("before "));
  link_->SetSilent(true);
  caller_->Send("held");
  loop_.RunFor(milliseconds(100));
  target_->Poll();
  EXPECT_EQ(target_->Received(), "before ");
  EXPECT_FALSE(target_->IsClosed());
  auto old_caller = std::move(caller_);
  auto old_target = std::move(target_);
  Connect();
  caller_->Send("new");
  ASSERT_TRUE(target_->AwaitText("new"));
  link_->SetSilent(false);
  EXPECT_TRUE(old_target->AwaitText("held"));
}

TEST_F(fake_link_test, CutConnections_WhenCalled_ClosesBothSides) {
  StartLink();
  Connect();
  caller_->Send("a");
  ASSERT_TRUE(target_->AwaitText("a"));
  link_->CutConnections();
  EXPECT_TRUE(caller_->AwaitEnd());
  EXPECT_TRUE(target_->AwaitEnd());
}

TEST_F(fake_link_test, SetRefusingConnections_WhenSet_RefusesConnectionsUntilCleared) {
  StartLink();
  ASSERT_TRUE(link_->SetRefusingConnections(true));
  loop_.RunFor(milliseconds(5));
  EXPECT_THROW(raw_connection(loop_, link_->Port()), boost::system::system_error);
  ASSERT_TRUE(link_->SetRefusingConnections(false));
  Connect();
}

}  // namespace
}  // namespace persimmon
