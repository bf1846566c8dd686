// link: persimmon_net
// HTTP server: malformed, oversized, slow and truncated input, responses that are lost or truncated, requests during a
// drain. HTTP client: truncated, slow and oversized responses, connection reuse.
#include "net/http.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <stdexcept>

#include "net_support.h"

namespace persimmon {
namespace {

constexpr const char* kGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

std::size_t CountOccurrences(std::string_view text, std::string_view substring) {
  std::size_t count = 0;
  for (auto position = text.find(substring); position != std::string_view::npos;
       position = text.find(substring, position + substring.size())) {
    ++count;
  }
  return count;
}

class http_server_test : public testing::Test {
 protected:
  void StartServer() {
    server_ = std::make_unique<http_server>(
        loop_.Context(), host_port{"127.0.0.1", 0}, limits_,
        [this](std::shared_ptr<http_exchange> exchange) { return Serve(std::move(exchange)); });
    ASSERT_TRUE(server_->Start());
  }

  ~http_server_test() override {
    if (server_) {
      server_->Stop();
      loop_.RunFor(milliseconds(5));
    }
  }

  std::unique_ptr<raw_connection> Connect() { return std::make_unique<raw_connection>(loop_, server_->Port()); }

  task<> Serve(std::shared_ptr<http_exchange> exchange) {
    ++requests_;
    const std::string target = exchange->Request().target;
    if (target == "/throw") {
      throw std::runtime_error("handler failed");
    }
    if (target == "/silent") {
      co_return;
    }
    if (target == "/wait") {
      co_await Wait(*exchange);
    }
    if (target.starts_with("/stream")) {
      co_await Stream(*exchange, target == "/stream" ? 3 : 100'000);
      co_return;
    }
    http_response response{
        200, {{"Content-Type", "text/plain"}}, fmt::format("{} {}", target, exchange->Request().body.Text())};
    auto sent = co_await exchange->Respond(std::move(response));
    responses_ += sent ? 1 : 0;
  }

  // Delays the response until the test calls release_ or the caller disconnects.
  task<> Wait(http_exchange& exchange) {
    asio::steady_timer timer(loop_.Context(), std::chrono::hours(1));
    release_ = [&timer] { timer.cancel(); };
    exchange.OnDisconnect([this, &timer] {
      ++disconnects_;
      timer.cancel();
    });
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    release_ = nullptr;
  }

  task<> Stream(http_exchange& exchange, int chunks) {
    header_list headers = {{"Content-Type", "text/plain"}};
    (void)co_await exchange.StartStream(200, std::move(headers));
    for (int i = 0; i < chunks; ++i) {
      std::string chunk = chunks == 3 ? fmt::format("part{} ", i) : std::string(16'384, 'x');
      auto sent = co_await exchange.WriteChunk(std::move(chunk));
      if (!sent) {
        ++failed_writes_;
        co_return;
      }
      if (exchange.Request().target == "/stream/abort") {
        exchange.AbortStream();
        co_return;
      }
      if (exchange.Request().target == "/stream/throw") {
        throw std::runtime_error("handler failed");
      }
    }
    (void)co_await exchange.FinishStream();
  }

  test_loop loop_;
  http_limits limits_;
  std::unique_ptr<http_server> server_;
  std::function<void()> release_;
  int requests_ = 0;
  int responses_ = 0;
  int disconnects_ = 0;
  int failed_writes_ = 0;
};

TEST_F(http_server_test, Serve_WhenConnectionIsKept_AnswersEachRequest) {
  StartServer();
  auto caller = Connect();
  for (std::size_t i = 1; i <= 3; ++i) {
    caller->Send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    ASSERT_TRUE(loop_.RunUntil([&] {
      caller->Poll();
      return CountOccurrences(caller->Received(), "/echo abc") == i;
    }));
  }
  EXPECT_FALSE(caller->IsClosed());
}

TEST_F(http_server_test, Serve_WhenCallerAsksForClose_ClosesAfterAnswer) {
  StartServer();
  auto caller = Connect();
  caller->Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  ASSERT_TRUE(caller->AwaitEnd());
  EXPECT_EQ(CountOccurrences(caller->Received(), "200 OK"), 1U);
  EXPECT_FALSE(caller->IsReset());
}

TEST_F(http_server_test, Serve_WhenRequestsArePipelined_AnswersInOrder) {
  StartServer();
  auto caller = Connect();
  caller->Send(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(caller->AwaitText("/3 "));
  const std::string& text = caller->Received();
  EXPECT_LT(text.find("/1 "), text.find("/2 "));
  EXPECT_LT(text.find("/2 "), text.find("/3 "));
}

TEST_F(http_server_test, Serve_WhenMethodIsHead_SendsHeadersOnly) {
  StartServer();
  auto caller = Connect();
  caller->Send("HEAD /abc HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(caller->AwaitText("\r\n\r\n"));
  caller->Send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(caller->AwaitText("/next "));
  EXPECT_NE(caller->Received().find("Content-Length: 5"), std::string::npos);
  EXPECT_EQ(caller->Received().find("/abc "), std::string::npos);
}

TEST_F(http_server_test, Serve_WhenHeaderIsTooLong_Answers431) {
  limits_.header_bytes = 1'024;
  StartServer();
  auto caller = Connect();
  caller->Send("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(4'000, 'a') + "\r\n\r\n");
  ASSERT_TRUE(caller->AwaitEnd());
  EXPECT_NE(caller->Received().find(" 431 "), std::string::npos) << caller->Received();
  EXPECT_EQ(requests_, 0);
}

TEST_F(http_server_test, Serve_WhenBodyIsTooLong_CallerReadsWhole413) {
  limits_.body_bytes = 10'000;
  StartServer();
  auto caller = Connect();
  // Far larger than the socket buffers, so that the caller is still writing when the response is sent.
  caller->Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 12000000\r\n\r\n" + std::string(12'000'000, 'a'));
  ASSERT_TRUE(caller->AwaitSent());
  ASSERT_TRUE(caller->AwaitEnd());
  EXPECT_NE(caller->Received().find(" 413 "), std::string::npos) << caller->Received();
  EXPECT_NE(caller->Received().find("body_too_large"), std::string::npos);
  EXPECT_FALSE(caller->IsReset());
  EXPECT_EQ(requests_, 0);
}

TEST_F(http_server_test, Serve_WhenChunkedBodyIsTooLong_Answers413) {
  limits_.body_bytes = 1'000;
  StartServer();
  auto caller = Connect();
  caller->Send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 10; ++i) {
    caller->Send("c8\r\n" + std::string(200, 'a') + "\r\n");
  }
  ASSERT_TRUE(caller->AwaitEnd());
  EXPECT_NE(caller->Received().find(" 413 "), std::string::npos) << caller->Received();
}

// A chunk header and a trailer are buffered until their end, so a caller must not send them without end.
TEST_F(http_server_test, Serve_WhenChunkHeaderOrTrailerHasNoEnd_Answers431) {
  StartServer();
  for (const char* start : {"1;", "1\r\nx\r\n0\r\nX: "}) {
    auto caller = Connect();
    caller->Send(std::string("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n") + start +
                 std::string(4U << 20U, 'x'));
    ASSERT_TRUE(caller->AwaitEnd());
    EXPECT_NE(caller->Received().find(" 431 "), std::string::npos) << caller->Received();
  }
  EXPECT_EQ(requests_, 0);
}

TEST_F(http_server_test, Serve_WhenCallerIsSlow_Answers408) {
  limits_.read_timeout = milliseconds(100);
  StartServer();
  auto caller = Connect();
  caller->Send("GET / HTTP/1.1\r\nHost:");
  ASSERT_TRUE(caller->AwaitEnd());
  EXPECT_NE(caller->Received().find(" 408 "), std::string::npos) << caller->Received();
  EXPECT_EQ(requests_, 0);
}

TEST_F(http_server_test, Serve_WhenCallerSendsByteByByte_LimitsWholeRequest) {
  limits_.read_timeout = milliseconds(200);
  limits_.header_bytes = 1 << 20;
  StartServer();
  auto caller = Connect();
  const std::string request = "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'a');
  std::size_t sent = 0;
  ASSERT_TRUE(loop_.RunUntil([&] {
    caller->Send(request.substr(sent++ % request.size(), 1));
    caller->Poll();
    return caller->IsClosed();
  }));
  EXPECT_NE(caller->Received().find(" 408 "), std::string::npos) << caller->Received();
}

TEST_F(http_server_test, Serve_WhenConnectionIsIdle_ClosesWithoutAnswer) {
  limits_.idle_timeout = milliseconds(100);
  StartServer();
  auto caller = Connect();
  ASSERT_TRUE(caller->AwaitEnd());
  EXPECT_EQ(caller->Received(), "");
}

// Guards against a body that is taken for further requests, because its transfer coding is not known.
TEST_F(http_server_test, Serve_WhenTransferCodingIsNotChunked_Answers400AndCloses) {
  StartServer();
  for (const char* coding : {"gzip", "identity", "chunked, gzip", "gzip, chunked", "xchunked"}) {
    const auto caller = Connect();
    caller->Send(fmt::format("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: {}\r\n\r\n{}", coding, kGet));
    EXPECT_TRUE(caller->AwaitEnd()) << coding;
    EXPECT_TRUE(caller->Received().starts_with("HTTP/1.1 400")) << coding << ": " << caller->Received();
  }
  EXPECT_EQ(requests_, 0);
}

TEST_F(http_server_test, Serve_WhenInputIsBroken_Answers400) {
  StartServer();
  const std::vector<std::string> inputs = {
      "\x16\x03\x01\x02garbage\r\n\r\n",
      "GET\r\n\r\n",
      "GET / HTTP/9.9\r\n\r\n",
      "GET / HTTP/1.1\r\nHost h\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      std::string("GET /\0 HTTP/1.1\r\n\r\n", 20),
  };
  for (const std::string& input : inputs) {
    auto caller = Connect();
    caller->Send(input);
    ASSERT_TRUE(caller->AwaitEnd()) << input;
    EXPECT_NE(caller->Received().find(" 400 "), std::string::npos) << input << " -> " << caller->Received();
  }
  EXPECT_EQ(requests_, 0);
}

TEST_F(http_server_test, Serve_WhenRequestIsCutOff_DoesNotRunIt) {
  StartServer();
  auto caller = Connect();
  caller->Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
  caller->ShutdownSend();
  ASSERT_TRUE(caller->AwaitEnd());
  EXPECT_EQ(requests_, 0);
}

RC_GTEST_FIXTURE_PROP(http_server_test, Serve_WhenInputIsRandom_StillAnswersOthers, ()) {
  StartServer();
  std::string input = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX-A: b\r\n\r\nabcde";
  const auto edits = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
      rc::gen::pair(rc::gen::inRange<std::size_t>(0, input.size()), rc::gen::arbitrary<char>()));
  for (const auto& [position, byte] : edits) {
    input[position] = byte;
  }
  auto caller = Connect();
  caller->Send(input);
  caller->ShutdownSend();
  RC_ASSERT(caller->AwaitEnd());
  auto other = Connect();
  other->Send("GET /other HTTP/1.1\r\nHost: h\r\n\r\n");
  RC_ASSERT(other->AwaitText("/other "));
  RC_ASSERT(loop_.RunUntil([&] { return server_->RequestsInProgress() == 0U; }));
}

TEST_F(http_server_test, Serve_WhenCallerExpectsContinue_IsToldToSendBody) {
  StartServer();
  auto caller = Connect();
  caller->Send("POST /e HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
  ASSERT_TRUE(caller->AwaitText("100 Continue\r\n\r\n"));
  caller->Send("abc");
  ASSERT_TRUE(caller->AwaitText("/e abc"));
}

TEST_F(http_server_test, Serve_WhenCallerLeaves_HandlerIsTold) {
  StartServer();
  auto caller = Connect();
  caller->Send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] { return requests_ == 1; }));
  caller->Close();
  ASSERT_TRUE(loop_.RunUntil([&] { return disconnects_ == 1 && server_->RequestsInProgress() == 0; }));
}

TEST_F(http_server_test, Serve_WhenCallerLeavesAfterPipelining_HandlerIsTold) {
  StartServer();
  auto caller = Connect();
  caller->Send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] { return requests_ == 1; }));
  caller->Send(kGet);
  loop_.RunFor(milliseconds(20));
  caller->Close();
  ASSERT_TRUE(loop_.RunUntil([&] { return disconnects_ == 1; }));
}

TEST_F(http_server_test, Serve_WhenNextRequestArrivesEarly_IsAnsweredAfterFirst) {
  StartServer();
  auto caller = Connect();
  caller->Send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] { return requests_ == 1 && release_; }));
  caller->Send("GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
  loop_.RunFor(milliseconds(20));
  release_();
  ASSERT_TRUE(caller->AwaitText("/second "));
  EXPECT_LT(caller->Received().find("/wait "), caller->Received().find("/second "));
  EXPECT_EQ(disconnects_, 0);
}

TEST_F(http_server_test, Serve_WhenHandlerThrows_ClosesConnectionAndCountsItDone) {
  StartServer();
  auto caller = Connect();
  caller->Send("GET /throw HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(caller->AwaitEnd());
  EXPECT_EQ(caller->Received(), "");
  EXPECT_TRUE(loop_.RunUntil([&] { return server_->RequestsInProgress() == 0U; }));
}

TEST_F(http_server_test, Serve_WhenHandlerDoesNotAnswer_ClosesConnection) {
  StartServer();
  auto caller = Connect();
  caller->Send("GET /silent HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(caller->AwaitEnd());
  EXPECT_EQ(caller->Received(), "");
}

TEST_F(http_server_test, WriteChunk_WhenStreamIsComplete_SendsChunksAndTheTerminatingChunk) {
  StartServer();
  auto caller = Connect();
  caller->Send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(caller->AwaitText("0\r\n\r\n"));
  EXPECT_NE(caller->Received().find("6\r\npart0 \r\n6\r\npart1 \r\n6\r\npart2 \r\n0\r\n\r\n"), std::string::npos);
}

TEST_F(http_server_test, WriteChunk_WhenCallerSpeaksHttp10_SendsPlainBody) {
  StartServer();
  auto caller = Connect();
  caller->Send("GET /stream HTTP/1.0\r\n\r\n");
  ASSERT_TRUE(caller->AwaitEnd());
  EXPECT_TRUE(caller->Received().ends_with("\r\n\r\npart0 part1 part2 ")) << caller->Received();
  EXPECT_EQ(caller->Received().find("chunked"), std::string::npos);
}

// Without chunks the end of the connection ends the body, so only a reset shows that the body is incomplete.
TEST_F(http_server_test, AbortStream_WhenCallerSpeaksHttp10_ResetsTheConnection) {
  StartServer();
  for (const char* target : {"/stream/abort", "/stream/throw"}) {
    auto caller = Connect();
    caller->Send(fmt::format("GET {} HTTP/1.0\r\nHost: h\r\n\r\n", target));
    ASSERT_TRUE(caller->AwaitEnd());
    EXPECT_TRUE(caller->IsReset()) << target;
  }
  auto caller = Connect();
  caller->Send("GET /stream HTTP/1.0\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(caller->AwaitEnd());
  EXPECT_FALSE(caller->IsReset());
}

// Guards against a shutdown that makes an incomplete body without chunks look complete.
TEST_F(http_server_test, Stop_WhileABodyWithoutChunksIsSent_ResetsTheConnection) {
  StartServer();
  auto caller = Connect();
  caller->Send("GET /stream/long HTTP/1.0\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(caller->AwaitText("xxx"));
  server_->Stop();
  ASSERT_TRUE(caller->AwaitEnd());
  EXPECT_TRUE(caller->IsReset());
}

TEST_F(http_server_test, WriteChunk_WhenCallerDoesNotRead_FailsAfterWriteLimit) {
  limits_.write_timeout = milliseconds(200);
  StartServer();
  auto caller = Connect();
  caller->Send("GET /stream/long HTTP/1.1\r\nHost: h\r\n\r\n");
  // The caller does not read, so the socket buffers fill up.
  ASSERT_TRUE(loop_.RunUntil([&] { return failed_writes_ == 1; }));
  EXPECT_TRUE(loop_.RunUntil([&] { return server_->RequestsInProgress() == 0; }));
}

TEST_F(http_server_test, Accept_WhenAllConnectionsAreInUse_ClosesFurtherOnes) {
  limits_.connections = 2;
  StartServer();
  auto first = Connect();
  auto second = Connect();
  first->Send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  second->Send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] { return server_->RequestsInProgress() == 2; }));
  auto third = Connect();
  ASSERT_TRUE(third->AwaitEnd());
  EXPECT_EQ(server_->DisplacedConnections(), 0U);
  EXPECT_EQ(server_->RequestsInProgress(), 2U);
}

// Guards against callers that keep connections without using them and so keep all others out.
TEST_F(http_server_test, Accept_WhenLimitIsReached_ClosesTheConnectionThatHasBeenIdleForLongest) {
  limits_.connections = 2;
  StartServer();
  auto first = Connect();
  loop_.RunFor(milliseconds(5));
  auto second = Connect();
  loop_.RunFor(milliseconds(20));
  auto third = Connect();
  ASSERT_TRUE(first->AwaitEnd());
  for (auto* caller : {second.get(), third.get()}) {
    caller->Send("GET /served HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(caller->AwaitText("/served "));
    EXPECT_FALSE(caller->IsClosed());
  }
  EXPECT_EQ(server_->DisplacedConnections(), 1U);
}

// A request that has arrived is not lost, although nothing has read it yet.
TEST_F(http_server_test, Accept_WhenLimitIsReached_KeepsAConnectionWhoseRequestHasArrived) {
  limits_.connections = 2;
  StartServer();
  auto first = Connect();
  auto second = Connect();
  loop_.RunFor(milliseconds(20));
  first->Send("GET /served HTTP/1.1\r\nHost: h\r\n\r\n");
  auto third = Connect();
  EXPECT_TRUE(first->AwaitText("/served "));
  EXPECT_TRUE(second->AwaitEnd());
}

TEST_F(http_server_test, Accept_WhenLimitIsReached_ClosesTheConnectionWhoseCallerDoesNotRead) {
  limits_.connections = 2;
  StartServer();
  auto idle = Connect();
  auto unread = Connect();
  unread->Send("GET /stream/long HTTP/1.1\r\nHost: h\r\n\r\n");
  loop_.RunFor(milliseconds(1'500));
  auto third = Connect();
  third->Send("GET /served HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(third->AwaitText("/served "));
  EXPECT_TRUE(loop_.RunUntil([&] { return failed_writes_ == 1; }));
  EXPECT_FALSE(idle->IsClosed());
}

// Guards against callers whose requests are refused as fast as they send them, so that they are always in use.
TEST_F(http_server_test, Accept_WhenLimitIsReached_ClosesTheConnectionWhoseCallerSendsManyRequestsAhead) {
  limits_.connections = 2;
  StartServer();
  auto idle = Connect();
  auto eager = Connect();
  std::string ahead;
  for (int i = 0; i < 100; ++i) {
    ahead += "GET /served HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  eager->Send(ahead + "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] { return requests_ == 101; }));
  auto third = Connect();
  third->Send("GET /served HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(third->AwaitText("/served "));
  EXPECT_TRUE(eager->AwaitEnd());
  EXPECT_EQ(disconnects_, 1) << "the request in progress goes on";
  EXPECT_FALSE(idle->IsClosed());
}

TEST_F(http_server_test, Accept_WhenOnlyIncompleteRequestsAreOpen_ClosesOne) {
  limits_.connections = 1;
  StartServer();
  auto slow = Connect();
  slow->Send("GET /slow HTTP/1.1\r\n");
  loop_.RunFor(milliseconds(1'500));
  auto other = Connect();
  other->Send("GET /served HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(other->AwaitText("/served "));
  EXPECT_TRUE(slow->AwaitEnd());
}

TEST_F(http_server_test, Drain_WhenRequestIsInProgress_AnswersItThenCloses) {
  StartServer();
  auto busy = Connect();
  auto idle = Connect();
  busy->Send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] { return requests_ == 1 && release_; }));
  server_->Drain();
  ASSERT_TRUE(idle->AwaitEnd());
  EXPECT_FALSE(busy->IsClosed());
  release_();
  ASSERT_TRUE(busy->AwaitEnd());
  EXPECT_NE(busy->Received().find("/wait "), std::string::npos);
  EXPECT_NE(busy->Received().find("Connection: close"), std::string::npos);
}

// A caller whose connection the system has established already was cut off without an answer.
TEST_F(http_server_test, Drain_WhenAConnectionIsNotYetAccepted_AnswersItsRequest) {
  StartServer();
  const auto accepted = Connect();
  accepted->Send(kGet);
  ASSERT_TRUE(accepted->AwaitText("200 OK"));
  std::vector<std::unique_ptr<raw_connection>> pending;
  for (int i = 0; i < 5; ++i) {
    pending.push_back(Connect());
    pending.back()->Send(kGet);
  }
  server_->Drain();
  for (const auto& connection : pending) {
    EXPECT_TRUE(connection->AwaitText("200 OK"));
  }
}

TEST_F(http_server_test, Drain_WhenRequestIsPartlyRead_AnswersItThenCloses) {
  StartServer();
  auto caller = Connect();
  caller->Send("POST /part HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabc");
  loop_.RunFor(milliseconds(20));
  server_->Drain();
  caller->Send("def");
  ASSERT_TRUE(caller->AwaitEnd());
  EXPECT_NE(caller->Received().find("/part abcdef"), std::string::npos) << caller->Received();
}

TEST_F(http_server_test, Drain_WhenRequestHasArrivedUnread_AnswersIt) {
  StartServer();
  auto caller = Connect();
  loop_.RunFor(milliseconds(20));
  caller->Send("GET /late HTTP/1.1\r\nHost: h\r\n\r\n");
  server_->Drain();
  ASSERT_TRUE(caller->AwaitEnd());
  EXPECT_NE(caller->Received().find("/late "), std::string::npos) << caller->Received();
}

class http_client_test : public testing::Test {
 protected:
  result<http_response> Fetch(std::uint16_t port) {
    loop_.Start(client_->Fetch(host_port{"127.0.0.1", port}, request_), response_, done_);
    AwaitDone();
    return response_;
  }

  // Starts FetchLines against a raw listener; the test writes the response.
  void StartLines(std::uint16_t port, milliseconds total = milliseconds::max()) {
    http_client::line_handler on_line = [this](std::string_view line) {
      lines_.emplace_back(line);
      return line != "stop";
    };
    loop_.Start(client_->FetchLines(host_port{"127.0.0.1", port}, request_, std::move(on_line), total), response_,
                done_);
  }

  bool AwaitDone() {
    return loop_.RunUntil([&] { return done_; });
  }

  test_loop loop_;
  http_client_limits limits_;
  std::unique_ptr<http_client> client_ = std::make_unique<http_client>(loop_.Context(), limits_);
  http_request request_{"GET", "/", {}, "", ""};
  std::vector<std::string> lines_;
  result<http_response> response_ = error{error_code::kCancelled, "not run"};
  bool done_ = false;
};

TEST_F(http_client_test, Fetch_WhenNobodyListens_NothingWasSent) {
  std::uint16_t port = 0;
  {
    const raw_listener listener(loop_);
    port = listener.Port();
  }
  const auto response = Fetch(port);
  ASSERT_FALSE(response);
  EXPECT_EQ(response.error().code, error_code::kUnavailable);
}

TEST_F(http_client_test, FetchLines_WhenAnswerIsCutOff_IsClosed) {
  raw_listener listener(loop_);
  StartLines(listener.Port());
  auto server = listener.Accept();
  ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
  server->Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\none\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] { return lines_.size() == 1; }));
  server->Close();
  ASSERT_TRUE(AwaitDone());
  ASSERT_FALSE(response_);
  EXPECT_EQ(response_.error().code, error_code::kClosed);
}

TEST_F(http_client_test, FetchLines_WhenLastLineHasNoEnd_PassesIt) {
  raw_listener listener(loop_);
  StartLines(listener.Port());
  auto server = listener.Accept();
  ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
  server->Send("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\none\ntwo");
  ASSERT_TRUE(AwaitDone());
  EXPECT_TRUE(response_);
  EXPECT_EQ(lines_, (std::vector<std::string>{"one", "two"}));
}

TEST_F(http_client_test, FetchLines_WhenLineNeverEnds_IsRefused) {
  limits_.body_bytes = 10'000;
  client_ = std::make_unique<http_client>(loop_.Context(), limits_);
  raw_listener listener(loop_);
  StartLines(listener.Port());
  auto server = listener.Accept();
  ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
  server->Send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(100'000, 'a'));
  ASSERT_TRUE(AwaitDone());
  ASSERT_FALSE(response_);
  EXPECT_EQ(response_.error().code, error_code::kProtocol);
}

TEST_F(http_client_test, FetchLines_WhenHandlerReturnsFalse_ClosesConnection) {
  raw_listener listener(loop_);
  StartLines(listener.Port());
  auto server = listener.Accept();
  ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
  server->Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nstop\nmore\n");
  ASSERT_TRUE(AwaitDone());
  ASSERT_FALSE(response_) << lines_.size();
  EXPECT_EQ(response_.error().code, error_code::kCancelled);
  EXPECT_TRUE(server->AwaitEnd());
}

TEST_F(http_client_test, FetchLines_WhenTotalLimitIsOver_TimesOut) {
  raw_listener listener(loop_);
  StartLines(listener.Port(), milliseconds(100));
  auto server = listener.Accept();
  ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
  server->Send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] {
    server->Send("line\n");  // a response that never pauses
    return done_;
  }));
  ASSERT_FALSE(response_) << lines_.size();
  EXPECT_EQ(response_.error().code, error_code::kTimeout);
  EXPECT_TRUE(server->AwaitEnd());
}

// A stream that had stalled never ended, because a byte arrived now and then.
TEST_F(http_client_test, FetchLines_WhenBytesArriveButNoLineEnds_TimesOut) {
  limits_.idle_timeout = milliseconds(200);
  client_ = std::make_unique<http_client>(loop_.Context(), limits_);
  raw_listener listener(loop_);
  StartLines(listener.Port());
  auto server = listener.Accept();
  ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
  server->Send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nline\n");
  for (int i = 0; i < 20 && !done_; ++i) {
    server->Send("x");
    loop_.RunFor(milliseconds(50));
  }
  ASSERT_TRUE(done_);
  ASSERT_FALSE(response_) << lines_.size();
  EXPECT_EQ(response_.error().code, error_code::kTimeout);
}

// One that is slow but goes on is sound.
TEST_F(http_client_test, FetchLines_WhenLinesArriveSlowly_PassesThemAll) {
  limits_.idle_timeout = milliseconds(300);
  client_ = std::make_unique<http_client>(loop_.Context(), limits_);
  raw_listener listener(loop_);
  StartLines(listener.Port());
  auto server = listener.Accept();
  ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
  server->Send("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n");
  for (int i = 0; i < 6; ++i) {
    server->Send("x\n");
    loop_.RunFor(milliseconds(150));
  }
  ASSERT_TRUE(AwaitDone());
  EXPECT_TRUE(response_);
  EXPECT_EQ(lines_.size(), 6U);
}

TEST_F(http_client_test, FetchLines_WhenAnswerPauses_TimesOut) {
  limits_.idle_timeout = milliseconds(100);
  client_ = std::make_unique<http_client>(loop_.Context(), limits_);
  raw_listener listener(loop_);
  StartLines(listener.Port());
  auto server = listener.Accept();
  ASSERT_TRUE(server->AwaitText("\r\n\r\n"));
  server->Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nline\n");
  ASSERT_TRUE(AwaitDone());
  ASSERT_FALSE(response_) << lines_.size();
  EXPECT_EQ(response_.error().code, error_code::kTimeout);
}

TEST_F(http_client_test, Fetch_WhenKeptConnectionWasClosed_OpensNewOne) {
  raw_listener listener(loop_);
  StartLines(listener.Port());
  auto first = listener.Accept();
  ASSERT_TRUE(first->AwaitText("\r\n\r\n"));
  first->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(AwaitDone());
  first->Close();
  loop_.RunFor(milliseconds(20));
  done_ = false;
  StartLines(listener.Port());
  auto second = listener.Accept();
  ASSERT_TRUE(second && second->AwaitText("\r\n\r\n"));
  second->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(AwaitDone());
  EXPECT_TRUE(response_);
}

TEST_F(http_client_test, Fetch_WhenConnectionIsKept_ReusesIt) {
  raw_listener listener(loop_);
  StartLines(listener.Port());
  auto server = listener.Accept();
  for (int i = 1; i <= 2; ++i) {
    ASSERT_TRUE(loop_.RunUntil([&] {
      server->Poll();
      return CountOccurrences(server->Received(), "\r\n\r\n") == static_cast<std::size_t>(i);
    }));
    server->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(AwaitDone());
    done_ = false;
    StartLines(listener.Port());
  }
}

}  // namespace
}  // namespace persimmon
