// link: persimmon_net
// Channels: peers with a wrong secret or protocol version, truncated frames, silent peers and peers that do not read.
// The secret must not be sent to an unauthenticated peer.
#include "net/channel.h"

#include <gtest/gtest.h>

#include "net_support.h"

namespace persimmon {
namespace {

constexpr const char* kSecret = "the shared secret";

// One end of the channels under test; records its events.
struct channel_events {
  hello identity{"router", "r1", 1, "sofia-a", kSecret, 0, 0};
  std::vector<channel_ptr> open;
  std::vector<message> messages;
  std::vector<error> closed;
  std::uint64_t heartbeats = 0;

  channel_handlers Handlers() {
    channel_handlers handlers;
    handlers.make_hello = [this] { return identity; };
    handlers.make_heartbeat = [] { return heartbeat{}; };
    handlers.on_open = [this](const channel_ptr& channel) { open.push_back(channel); };
    handlers.on_message = [this](const channel_ptr&, const message& value) {
      if (std::holds_alternative<heartbeat>(value)) {
        ++heartbeats;
      } else {
        messages.push_back(value);
      }
    };
    handlers.on_close = [this](const channel_ptr&, const error& reason) { closed.push_back(reason); };
    return handlers;
  }
};

class channel_test : public testing::Test {
 protected:
  ~channel_test() override {
    if (connector_) {
      connector_->Stop();
    }
    if (listener_) {
      listener_->Stop();
    }
    loop_.RunFor(milliseconds(5));
  }

  void Listen() {
    listener_ =
        std::make_unique<channel_listener>(loop_.Context(), host_port{"127.0.0.1", 0}, settings_, server_.Handlers());
    ASSERT_TRUE(listener_->Start());
  }

  void Connect(std::uint16_t port) {
    connector_ = std::make_unique<channel_connector>(loop_.Context(), host_port{"127.0.0.1", port}, settings_,
                                                     client_.Handlers());
    connector_->Start();
  }

  bool AwaitOpen() {
    return loop_.RunUntil([&] { return !client_.open.empty() && !server_.open.empty(); });
  }

  std::unique_ptr<raw_connection> ConnectRaw() { return std::make_unique<raw_connection>(loop_, listener_->Port()); }

  // Returns a raw connection that has completed the handshake.
  std::unique_ptr<raw_connection> ConnectRawOpen() {
    auto peer = ConnectRaw();
    peer->Send(EncodeFrame(client_.identity));
    EXPECT_TRUE(loop_.RunUntil([&] { return server_.open.size() == 1; }));
    return peer;
  }

  test_loop loop_;
  channel_settings settings_;
  channel_events server_;
  channel_events client_;
  std::unique_ptr<channel_listener> listener_;
  std::unique_ptr<channel_connector> connector_;
};

TEST_F(channel_test, Run_WhenBothKnowSecret_CarriesMessagesBothWays) {
  Listen();
  Connect(listener_->Port());
  ASSERT_TRUE(AwaitOpen());
  const message question = fetch_config{7};
  const message answer = config_snapshot{8, {"{}"}};
  client_.open.front()->Send(question);
  server_.open.front()->Send(answer);
  ASSERT_TRUE(loop_.RunUntil([&] { return client_.messages.size() == 1 && server_.messages.size() == 1; }));
  EXPECT_EQ(server_.messages.front(), question);
  EXPECT_EQ(client_.messages.front(), answer);
  EXPECT_TRUE(server_.open.front()->Peer().secret.empty());
}

TEST_F(channel_test, Run_WhenManyMessagesAreSent_ArriveOnceAndInOrder) {
  Listen();
  Connect(listener_->Port());
  ASSERT_TRUE(AwaitOpen());
  constexpr std::uint64_t kCount = 5'000;
  for (std::uint64_t i = 0; i < kCount; ++i) {
    client_.open.front()->Send(fetch_config{i});
  }
  ASSERT_TRUE(loop_.RunUntil([&] { return server_.messages.size() >= kCount; }));
  for (std::uint64_t i = 0; i < kCount; ++i) {
    EXPECT_EQ(server_.messages[i], message(fetch_config{i}));
  }
}

TEST_F(channel_test, Run_WhenSecretIsWrong_IsClosedBeforeItOpens) {
  client_.identity.secret = "the shared secreT";
  Listen();
  auto peer = ConnectRaw();
  peer->Send(EncodeFrame(client_.identity));
  ASSERT_TRUE(peer->AwaitEnd());
  EXPECT_TRUE(server_.open.empty());
}

TEST_F(channel_test, Run_BeforeThePeerIsAuthenticated_DoesNotSendTheSecret) {
  client_.identity.secret = "wrong";
  Listen();
  auto peer = ConnectRaw();
  loop_.RunFor(milliseconds(50));
  peer->Send(EncodeFrame(client_.identity));
  ASSERT_TRUE(peer->AwaitEnd());
  EXPECT_EQ(peer->Received().find(kSecret), std::string::npos);
}

TEST_F(channel_test, Run_WhenVersionIsUnknown_IsClosed) {
  Listen();
  auto peer = ConnectRaw();
  std::string frame = EncodeFrame(client_.identity);
  frame[5] = 99;
  peer->Send(frame);
  ASSERT_TRUE(peer->AwaitEnd());
  EXPECT_TRUE(server_.open.empty());
}

TEST_F(channel_test, Run_WhenVersionIsUnknownAfterHello_IsClosedWithReason) {
  Listen();
  auto peer = ConnectRawOpen();
  std::string frame = EncodeFrame(fetch_config{});
  frame[5] = 99;
  peer->Send(frame);
  ASSERT_TRUE(peer->AwaitEnd());
  ASSERT_EQ(server_.closed.size(), 1U);
  EXPECT_EQ(server_.closed.front().code, error_code::kProtocol);
}

TEST_F(channel_test, Run_WhenFirstMessageIsNotHello_IsClosed) {
  Listen();
  auto peer = ConnectRaw();
  peer->Send(EncodeFrame(fetch_config{}));
  ASSERT_TRUE(peer->AwaitEnd());
  EXPECT_TRUE(server_.open.empty());
}

TEST_F(channel_test, Run_WhenHelloIsTooLong_IsClosedBeforeItIsRead) {
  Listen();
  auto peer = ConnectRaw();
  client_.identity.name = std::string(100'000, 'a');
  peer->Send(EncodeFrame(client_.identity).substr(0, kFrameHeaderBytes));
  ASSERT_TRUE(peer->AwaitEnd());
  EXPECT_TRUE(server_.open.empty());
}

TEST_F(channel_test, Run_WhenNoHelloArrives_IsClosedInTime) {
  settings_.connect_timeout = milliseconds(100);
  Listen();
  auto peer = ConnectRaw();
  ASSERT_TRUE(peer->AwaitEnd());
  EXPECT_TRUE(server_.open.empty());
}

TEST_F(channel_test, Run_WhenFrameIsCutOff_IsClosedAndNothingIsDelivered) {
  Listen();
  auto peer = ConnectRawOpen();
  const std::string frame = EncodeFrame(config_snapshot{1, {std::string(1'000, 'a')}});
  peer->Send(frame.substr(0, frame.size() - 1));
  loop_.RunFor(milliseconds(20));
  peer->ShutdownSend();
  ASSERT_TRUE(loop_.RunUntil([&] { return server_.closed.size() == 1; }));
  EXPECT_TRUE(server_.messages.empty());
}

TEST_F(channel_test, Run_WhenFrameIsTooLong_IsClosedWithoutReadingIt) {
  Listen();
  auto peer = ConnectRawOpen();
  peer->Send(std::string("PRM1\0\1\0\1\xff\xff\xff\xff", 12));
  ASSERT_TRUE(peer->AwaitEnd());
  EXPECT_EQ(server_.closed.front().code, error_code::kProtocol);
}

TEST_F(channel_test, Run_WhenPeerGoesSilent_IsClosedWithinTwoSeconds) {
  Listen();
  auto peer = ConnectRawOpen();
  const time_point begin = timer_service::Now();
  ASSERT_TRUE(loop_.RunUntil([&] { return server_.closed.size() == 1; }));
  EXPECT_EQ(server_.closed.front().code, error_code::kTimeout);
  EXPECT_LT(timer_service::Now() - begin, milliseconds(2'000));
}

TEST_F(channel_test, Connector_WhenConnectionGoesSilent_OpensNewOneWithinTwoSeconds) {
  raw_listener listener(loop_);
  Connect(listener.Port());
  auto first = listener.Accept();
  ASSERT_TRUE(first);
  first->Send(EncodeFrame(server_.identity));
  ASSERT_TRUE(loop_.RunUntil([&] { return client_.open.size() == 1; }));
  const time_point silent_since = timer_service::Now();
  auto second = listener.Accept();
  ASSERT_TRUE(second);
  second->Send(EncodeFrame(server_.identity));
  ASSERT_TRUE(loop_.RunUntil([&] { return client_.open.size() == 2; }));
  EXPECT_LT(timer_service::Now() - silent_since, milliseconds(2'000));
  EXPECT_EQ(client_.closed.size(), 1U);
}

TEST_F(channel_test, Connector_WhenRestartedAtOnce_KeepsOneChannel) {
  Listen();
  Connect(listener_->Port());
  ASSERT_TRUE(AwaitOpen());
  connector_->Stop();
  connector_->Start();
  ASSERT_TRUE(loop_.RunUntil([&] { return client_.open.size() == 2; }));
  loop_.RunFor(milliseconds(300));
  EXPECT_EQ(client_.open.size() - client_.closed.size(), 1U);
}

TEST_F(channel_test, Connector_WhenListenerStartsLater_Connects) {
  Listen();
  const std::uint16_t port = listener_->Port();
  listener_->Stop();
  Connect(port);
  loop_.RunFor(milliseconds(100));
  listener_ =
      std::make_unique<channel_listener>(loop_.Context(), host_port{"127.0.0.1", port}, settings_, server_.Handlers());
  ASSERT_TRUE(listener_->Start());
  EXPECT_TRUE(AwaitOpen());
}

TEST_F(channel_test, Listener_WhenAddressIsNotListed_RefusesConnection) {
  settings_.allowed_hosts = {"10.0.0.1"};
  Listen();
  auto peer = ConnectRaw();
  peer->Send(EncodeFrame(client_.identity));
  ASSERT_TRUE(peer->AwaitEnd());
  EXPECT_EQ(peer->Received(), "");
  EXPECT_TRUE(server_.open.empty());
}

TEST_F(channel_test, Listener_WhenAddressIsTaken_ReportsIt) {
  Listen();
  channel_listener second(loop_.Context(), host_port{"127.0.0.1", listener_->Port()}, settings_, server_.Handlers());
  const auto started = second.Start();
  ASSERT_FALSE(started);
  EXPECT_EQ(started.error().code, error_code::kUnavailable);
}

TEST_F(channel_test, Send_WhenPeerDoesNotRead_ClosesAtQueueLimit) {
  settings_.send_queue_bytes = 1U << 20U;
  settings_.receive_timeout = milliseconds(60'000);
  Listen();
  auto peer = ConnectRawOpen();
  std::size_t queued = 0;
  // Nothing is queued until the socket buffers are full; 100 MB is far more than they hold.
  while (server_.closed.empty() && queued < 100U << 20U) {
    server_.open.front()->Send(config_snapshot{1, {std::string(65'536, 'a')}});
    queued += 65'536;
    loop_.RunFor(milliseconds(0));
  }
  ASSERT_EQ(server_.closed.size(), 1U);
  EXPECT_EQ(server_.closed.front().code, error_code::kClosed);
}

TEST_F(channel_test, Send_WhenWriteIsInProgress_CountsItsBytes) {
  settings_.send_queue_bytes = 1U << 20U;
  settings_.receive_timeout = milliseconds(60'000);
  Listen();
  auto peer = ConnectRawOpen();
  const message over_half_limit = config_snapshot{1, {std::string(600U << 10U, 'a')}};
  for (int i = 0; i < 40 && server_.closed.empty(); ++i) {
    server_.open.front()->Send(over_half_limit);  // with full socket buffers, two of these exceed the limit
    loop_.RunFor(milliseconds(5));
  }
  EXPECT_EQ(server_.closed.size(), 1U);
}

TEST_F(channel_test, Send_WhenMessageIsTooLongForFrame_KeepsChannel) {
  Listen();
  Connect(listener_->Port());
  ASSERT_TRUE(AwaitOpen());
  client_.open.front()->Send(config_snapshot{1, {std::string(kMaxFrameBytes, 'a')}});
  client_.open.front()->Send(fetch_config{5});
  ASSERT_TRUE(loop_.RunUntil([&] { return !server_.messages.empty() || !server_.closed.empty(); }));
  EXPECT_TRUE(server_.closed.empty());
  ASSERT_EQ(server_.messages.size(), 1U);
  EXPECT_EQ(server_.messages.front(), message(fetch_config{5}));
}

}  // namespace
}  // namespace persimmon
