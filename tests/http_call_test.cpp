// link: persimmon_net
// http_call: early, duplicate, late, split and truncated responses.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>

#include "net/http.h"
#include "net_support.h"

namespace persimmon {
namespace {

using asio::ip::tcp;

struct call_result {
  std::optional<result<http_response_head>> head;
  std::string body;
  std::optional<error> failure;
  bool done = false;
};

// The server is a plain socket, so that a test can send any bytes at any time.
class http_call_test : public testing::Test {
 protected:
  http_call_test()
      : acceptor_(loop_.Context(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        client_(loop_.Context(), http_client_limits{.connect_timeout = milliseconds(500)}) {
    acceptor_.non_blocking(true);
  }

  host_port Address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

  std::unique_ptr<raw_connection> Accept() {
    std::optional<tcp::socket> accepted;
    EXPECT_TRUE(loop_.RunUntil([&] {
      boost::system::error_code failure;
      tcp::socket socket(loop_.Context());
      acceptor_.accept(socket, failure);
      if (!failure) {
        accepted = std::move(socket);
      }
      return accepted.has_value();
    }));
    return std::make_unique<raw_connection>(loop_, std::move(*accepted));
  }

  std::shared_ptr<call_result> Start(http_call& call, const std::string& body = "",
                                     milliseconds limit = milliseconds(5'000),
                                     http_call::reuse_check may_reuse = nullptr) {
    auto observed = std::make_shared<call_result>();
    http_request request{"POST", "/x", {{"Id", "a1"}}, body, {}};
    asio::co_spawn(loop_.Context(), Run(call, Address(), std::move(request), limit, observed, std::move(may_reuse)),
                   asio::detached);
    return observed;
  }

  // Runs a call whose response leaves its connection open.
  void Complete(http_call& call, raw_connection& server, const std::shared_ptr<call_result>& observed) {
    server.Send("HTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 0\r\n\r\n");
    server.AwaitSent();
    ASSERT_TRUE(AwaitDone(observed));
    ASSERT_GT(call.Connection(), 0U);
  }

  bool AwaitDone(const std::shared_ptr<call_result>& observed) {
    return loop_.RunUntil([&] { return observed->done; });
  }

  static task<> Run(http_call& call, host_port address, http_request request, milliseconds limit,
                    std::shared_ptr<call_result> observed, http_call::reuse_check may_reuse = nullptr) {
    const time_point end = timer_service::Now() + limit;
    observed->head.emplace(co_await call.Send(
        std::move(address), std::move(request), end,
        [](const http_response_head& head) { return FindHeader(head.headers, "Id") == "a1"; }, nullptr,
        std::move(may_reuse)));
    if (!*observed->head) {
      observed->failure = observed->head->error();
    } else {
      for (bool more = true; more;) {
        auto piece = co_await call.Read(end);
        if (!piece) {
          observed->failure = piece.error();
          break;
        }
        more = !piece.value().empty();
        observed->body += piece.value();
      }
    }
    observed->done = true;
  }

  test_loop loop_;
  tcp::acceptor acceptor_;
  http_client client_;
};

TEST_F(http_call_test, CompleteResponse_InSeveralParts_IsReadAndTheConnectionReused) {
  http_call first(client_);
  auto observed = Start(first);
  auto server = Accept();
  ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
  server->Send("HTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 6\r\n\r\nabc");
  server->AwaitSent();
  server->Send("def");
  server->AwaitSent();
  ASSERT_TRUE(AwaitDone(observed));
  EXPECT_EQ(observed->body, "abcdef");
  http_call second(client_);
  observed = Start(second);
  ASSERT_TRUE(loop_.RunUntil([&] {
    server->Poll();
    return server->Received().find("POST", 10) != std::string::npos;
  }));
  EXPECT_TRUE(second.IsReused());
}

// A late response to an earlier request must not be delivered for this one.
TEST_F(http_call_test, ResponseToAnotherRequest_BeforeTheExpectedOne_IsDropped) {
  http_call call(client_);
  const auto observed = Start(call);
  auto server = Accept();
  ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
  server->Send(
      "HTTP/1.1 200 OK\r\nId: a0\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: "
      "3\r\n\r\nnew");
  server->AwaitSent();
  ASSERT_TRUE(AwaitDone(observed));
  EXPECT_EQ(observed->body, "new");
  EXPECT_TRUE(server->AwaitEnd());
}

TEST_F(http_call_test, BytesAfterTheResponse_CloseTheConnection) {
  http_call call(client_);
  const auto observed = Start(call);
  auto server = Accept();
  ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
  server->Send("HTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 3\r\n\r\nnewHTTP/1.1 200 OK\r\n");
  server->AwaitSent();
  ASSERT_TRUE(AwaitDone(observed));
  EXPECT_EQ(observed->body, "new");
  EXPECT_TRUE(server->AwaitEnd());
}

TEST_F(http_call_test, ResponseThatEndsEarly_IsNotComplete) {
  for (const char* head : {"Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n"}) {
    http_call call(client_);
    const auto observed = Start(call);
    auto server = Accept();
    ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
    server->Send(std::string("HTTP/1.1 200 OK\r\nId: a1\r\n") + head + "\r\n3\r\nabc\r\n");
    server->AwaitSent();
    server->Close();
    ASSERT_TRUE(AwaitDone(observed));
    ASSERT_TRUE(observed->failure);
    EXPECT_EQ(observed->failure->code, error_code::kClosed) << head;
  }
}

TEST_F(http_call_test, BytesThatAreNoResponse_AreAProtocolError) {
  http_call call(client_);
  const auto observed = Start(call);
  auto server = Accept();
  ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
  server->Send("certainly not an answer\r\n\r\n");
  server->AwaitSent();
  ASSERT_TRUE(AwaitDone(observed));
  ASSERT_TRUE(observed->failure);
  EXPECT_EQ(observed->failure->code, error_code::kProtocol);
}

// A server may respond before it has read a large body. Waiting for the end of the write first would deadlock.
TEST_F(http_call_test, ResponseBeforeALongRequestBodyIsRead_IsDelivered) {
  http_call call(client_);
  const auto observed = Start(call, std::string(16U << 20U, 'b'));
  auto server = Accept();
  server->Send("HTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 3\r\n\r\nyes");
  server->AwaitSent();
  ASSERT_TRUE(AwaitDone(observed));
  EXPECT_EQ(observed->body, "yes");
}

TEST_F(http_call_test, UnreachableServer_MeansNothingWasSent) {
  const host_port address = Address();
  acceptor_.close();
  http_call call(client_);
  auto observed = std::make_shared<call_result>();
  asio::co_spawn(loop_.Context(),
                 Run(call, address, http_request{"GET", "/", {}, {}, {}}, milliseconds(2'000), observed),
                 asio::detached);
  ASSERT_TRUE(AwaitDone(observed));
  ASSERT_TRUE(observed->failure);
  EXPECT_EQ(observed->failure->code, error_code::kUnavailable);
}

TEST_F(http_call_test, SilentServer_EndsTheCallWithATimeout) {
  http_call call(client_);
  const auto observed = Start(call, "", milliseconds(100));
  auto server = Accept();
  ASSERT_TRUE(AwaitDone(observed));
  EXPECT_EQ(observed->failure->code, error_code::kTimeout);
}

TEST_F(http_call_test, CancelledCall_ClosesTheConnectionAtOnce) {
  http_call call(client_);
  const auto observed = Start(call);
  auto server = Accept();
  ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
  call.Cancel();
  ASSERT_TRUE(AwaitDone(observed));
  EXPECT_EQ(observed->failure->code, error_code::kCancelled);
  EXPECT_TRUE(server->AwaitEnd());
}

TEST_F(http_call_test, KeptConnection_ThatTheServerHasClosed_IsNotUsed) {
  http_call first(client_);
  auto observed = Start(first);
  auto server = Accept();
  ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
  server->Send("HTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 0\r\n\r\n");
  server->AwaitSent();
  ASSERT_TRUE(AwaitDone(observed));
  server->Close();
  loop_.RunUntil([end = timer_service::Now() + milliseconds(20)] { return timer_service::Now() > end; });
  http_call second(client_);
  observed = Start(second);
  server = Accept();
  EXPECT_FALSE(second.IsReused());
}

// Guards against an id that is sent twice over one connection, where a copy of its first response would be taken for
// the second one.
TEST_F(http_call_test, KeptConnection_ThatIsNotAllowed_StaysInThePoolAndAnotherIsUsed) {
  http_call first(client_);
  auto observed = Start(first);
  auto server = Accept();
  ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
  Complete(first, *server, observed);
  const connection_number used = first.Connection();
  const http_call::reuse_check is_other = [used](connection_number number) { return number != used; };
  http_call second(client_);
  observed = Start(second, "", milliseconds(5'000), is_other);
  auto other_server = Accept();
  ASSERT_TRUE(other_server->AwaitText("\r\n\r\n"));
  EXPECT_FALSE(second.IsReused());
  EXPECT_NE(second.Connection(), used);
  EXPECT_EQ(client_.IdleConnections(), 1U);
  Complete(second, *other_server, observed);
  EXPECT_EQ(client_.IdleConnections(), 2U);
  EXPECT_EQ(client_.OpenedConnections(), 2U);
  // A pooled connection that is allowed is used before a new one, also if it is not the most recent one.
  const connection_number latest = second.Connection();
  http_call third(client_);
  observed = Start(third, "", milliseconds(5'000), [latest](connection_number number) { return number != latest; });
  ASSERT_TRUE(loop_.RunUntil([&] {
    server->Poll();
    return server->Received().find("POST", 10) != std::string::npos;
  }));
  EXPECT_EQ(third.Connection(), used);
  EXPECT_TRUE(third.IsReused());
  EXPECT_EQ(client_.OpenedConnections(), 2U);
}

TEST(hop_header_test, HeadersNamedInConnection_AreNeverForwarded) {
  const header_list headers = {{"Connection", "close, X-Own"}, {"X-Own", "1"}, {"X-Kept", "1"}};
  EXPECT_TRUE(IsHopByHopHeader(headers, "x-own"));
  EXPECT_TRUE(IsHopByHopHeader(headers, "Transfer-Encoding"));
  EXPECT_FALSE(IsHopByHopHeader(headers, "X-Kept"));
}

}  // namespace
}  // namespace persimmon
