// link: persimmon_net
// Idle connections: those of endpoints that are gone, and servers without a free descriptor.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <memory>
#include <thread>
#include <vector>

#include "net/http.h"
#include "net_support.h"

namespace persimmon {
namespace {

class connection_pool_test : public testing::Test {
 protected:
  ~connection_pool_test() override {
    for (const auto& server : servers_) {
      server->Stop();
    }
    loop_.RunFor(milliseconds(5));
  }

  http_server& AddServer() {
    servers_.push_back(std::make_unique<http_server>(loop_.Context(), host_port{"127.0.0.1", 0}, http_limits{},
                                                     [](std::shared_ptr<http_exchange> exchange) -> task<> {
                                                       http_response response{200, {}, "answer"};
                                                       (void)co_await exchange->Respond(std::move(response));
                                                     }));
    EXPECT_TRUE(servers_.back()->Start());
    return *servers_.back();
  }

  void Fetch(const http_server& server) {
    result<http_response> response(error{error_code::kUnavailable, ""});
    bool done = false;
    loop_.Start(client_->Fetch({"127.0.0.1", server.Port()}, {"GET", "/", {}, {}, {}}), response, done);
    ASSERT_TRUE(loop_.RunUntil([&done] { return done; }));
    ASSERT_TRUE(response);
  }

  test_loop loop_;
  std::vector<std::unique_ptr<http_server>> servers_;
  std::unique_ptr<http_client> client_ = std::make_unique<http_client>(loop_.Context(), http_client_limits{});
};

// Guards against connections to replaced endpoints that stay open for good: their addresses are never used again.
TEST_F(connection_pool_test, IdleConnection_ThatTheServerCloses_IsClosed) {
  for (int i = 0; i < 20; ++i) {
    http_server& server = AddServer();
    Fetch(server);
    server.Stop();
  }
  const http_server& server = AddServer();
  const time_point begin = timer_service::Now();
  while (client_->IdleConnections() > 1 && timer_service::Now() - begin < milliseconds(3'000)) {
    Fetch(server);
    loop_.RunFor(milliseconds(20));
  }
  EXPECT_EQ(client_->IdleConnections(), 1U);
}

// Guards against a program that does not end, because an idle connection keeps its loop running.
TEST_F(connection_pool_test, IdleConnection_DoesNotKeepTheLoopRunning) {
  asio::io_context context{1};
  http_client client(context, http_client_limits{});
  AddServer();
  std::jthread serving([this](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      loop_.RunFor(milliseconds(1));
    }
  });
  const host_port address{"127.0.0.1", servers_.back()->Port()};
  bool answered = false;
  asio::co_spawn(
      context,
      [&]() -> task<> {
        http_request request{"GET", "/", {}, {}, {}};
        auto response = co_await client.Fetch(address, std::move(request));
        answered = response.has_value();
      },
      asio::detached);
  context.run_for(std::chrono::seconds(5));
  EXPECT_TRUE(answered);
  EXPECT_TRUE(context.stopped());
  EXPECT_EQ(client.IdleConnections(), 1U);
}

// Guards against a number of descriptors that grows with the number of addresses.
TEST_F(connection_pool_test, IdleConnections_OfAllAddresses_StayWithinTheirLimit) {
  client_ = std::make_unique<http_client>(loop_.Context(), http_client_limits{.total_idle_connections = 5});
  for (int i = 0; i < 20; ++i) {
    Fetch(AddServer());
    EXPECT_LE(client_->IdleConnections(), 5U);
  }
  EXPECT_EQ(client_->CloseOldestIdleConnections(100), 5U);
  EXPECT_EQ(client_->IdleConnections(), 0U);
}

// A connection that serves one request after the other stays open.
TEST_F(connection_pool_test, IdleConnection_WhenUsedAgain_IsKept) {
  http_server& server = AddServer();
  for (int i = 0; i < 5; ++i) {
    Fetch(server);
    EXPECT_EQ(client_->IdleConnections(), 1U);
  }
}

// Leaves room for `count` further descriptors.
class descriptor_limit {
 public:
  explicit descriptor_limit(rlim_t count) {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int next = open("/dev/null", O_RDONLY | O_CLOEXEC);
    close(next);
    const rlimit limit{static_cast<rlim_t>(next) + count, before_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &before_); }
  descriptor_limit(const descriptor_limit&) = delete;
  descriptor_limit& operator=(const descriptor_limit&) = delete;

 private:
  rlimit before_{};
};

// Guards against a server that accepts nobody, because idle connections to endpoints hold the last descriptors.
TEST_F(connection_pool_test, NewConnection_WithoutAFreeDescriptor_TakesThatOfAnIdleOne) {
  http_server& server = AddServer();
  server.SetDescriptorSource([this] { return client_->CloseOldestIdleConnections(1); });
  for (int i = 0; i < 5; ++i) {
    Fetch(AddServer());
  }
  ASSERT_EQ(client_->IdleConnections(), 5U);
  const descriptor_limit limit(1);  // for the caller's end
  raw_connection caller(loop_, server.Port());
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(caller.AwaitText("answer"));
}

// The same for a new connection to an endpoint.
TEST_F(connection_pool_test, Fetch_WithoutAFreeDescriptor_TakesThatOfAnIdleConnection) {
  http_server& first = AddServer();
  http_server& second = AddServer();
  Fetch(first);
  ASSERT_EQ(client_->IdleConnections(), 1U);
  const descriptor_limit limit(0);
  Fetch(second);
}

// Guards against endpoints that are avoided or taken for crashed because this process has no descriptor left.
TEST_F(connection_pool_test, Fetch_WithoutAnyDescriptor_BlamesNoPeer) {
  http_server& server = AddServer();
  const descriptor_limit limit(0);
  result<http_response> response(error{error_code::kInvalid, ""});
  bool done = false;
  http_request request{"GET", "/", {}, {}, {}};
  loop_.Start(client_->Fetch({"127.0.0.1", server.Port()}, std::move(request)), response, done);
  ASSERT_TRUE(loop_.RunUntil([&] { return done; }));
  ASSERT_FALSE(response);
  EXPECT_EQ(response.error().code, error_code::kNoResources);
  EXPECT_TRUE(HadNoEffect(response.error().code));
}

// The same with idle connections of callers.
TEST_F(connection_pool_test, NewConnection_WithoutAFreeDescriptor_TakesThatOfAnIdleCaller) {
  http_server& server = AddServer();
  std::vector<std::unique_ptr<raw_connection>> idle;
  for (int i = 0; i < 5; ++i) {
    idle.push_back(std::make_unique<raw_connection>(loop_, server.Port()));
    idle.back()->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(idle.back()->AwaitText("answer"));
  }
  const descriptor_limit limit(1);
  raw_connection caller(loop_, server.Port());
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(caller.AwaitText("answer"));
  EXPECT_TRUE(idle.front()->AwaitEnd());
}

}  // namespace
}  // namespace persimmon
