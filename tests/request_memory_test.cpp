// link: persimmon_adapter
// Memory of request bodies, over all connections of a server together.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <map>
#include <vector>

#include "net/http.h"
#include "net_support.h"
#include "persimmon/buffer_budget.h"
#include "platform/requests.h"

namespace persimmon {
namespace {

// Requests, cancellations and returns in any order: the amounts in use never exceed the limit, except for one that is
// alone, and no request is forgotten.
RC_GTEST_PROP(buffer_budget_test, Request_InAnyOrder_NeverExceedsTheLimitAndIsGranted, ()) {
  const auto limit = *rc::gen::inRange<std::size_t>(1, 1'000);
  const auto budget = std::make_shared<buffer_budget>(limit);
  std::map<buffer_budget::request_id, std::size_t> waiting;
  std::deque<buffer_budget::lease> leases;
  std::size_t granted = 0;
  std::size_t cancelled = 0;
  std::size_t requested = 0;
  const auto check = [&] {
    std::size_t sum = 0;
    std::size_t holders = 0;
    for (const auto& lease : leases) {
      sum += lease.Bytes();
      holders += lease.Bytes() > 0 ? 1 : 0;
    }
    RC_ASSERT(sum == budget->InUse());
    RC_ASSERT(sum <= limit || holders == 1);
    RC_ASSERT(granted + cancelled + budget->WaitingCount() == requested);
  };
  const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
      rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange<std::size_t>(1, 1'200)));
  for (const auto& [choice, bytes] : steps) {
    if (choice < 6) {
      ++requested;
      const auto id = budget->Request(bytes, [&](buffer_budget::lease lease) {
        leases.push_back(std::move(lease));
        ++granted;
      });
      waiting[id] = bytes;
    } else if (choice < 7 && !waiting.empty()) {
      cancelled += budget->Cancel(waiting.begin()->first) ? 1 : 0;
      waiting.erase(waiting.begin());
    } else if (choice < 8 && !leases.empty()) {
      buffer_budget::lease first = std::move(leases.front());
      leases.pop_front();
      first.Shrink(first.Bytes() / 2);
      leases.push_back(std::move(first));
    } else if (!leases.empty()) {
      const buffer_budget::lease ended = std::move(leases.front());
      leases.pop_front();
    }
    check();
  }
  while (!leases.empty()) {
    const buffer_budget::lease ended = std::move(leases.front());
    leases.pop_front();
  }
  RC_ASSERT(budget->WaitingCount() == 0);
  RC_ASSERT(granted + cancelled == requested);
}

constexpr std::size_t kMegabyte = 1U << 20U;

// A head of many short fields takes many times its length.
std::string RequestOfShortFields(std::size_t fields) {
  std::string text = "GET / HTTP/1.1\r\nHost: h\r\n";
  for (std::size_t i = 0; i < fields; ++i) {
    text += "a:\r\n";
  }
  return text + "\r\n";
}

// A server whose handler keeps each request for `work_`, as one that waits for an endpoint does.
class request_memory_test : public testing::Test {
 protected:
  request_memory_test() { limits_.body_memory_bytes = 4 * kMegabyte; }

  ~request_memory_test() override {
    if (server_) {
      server_->Stop();
      (void)loop_.RunUntil([this] { return server_->BodyMemoryInUse() == 0 && server_->RequestsInProgress() == 0; });
      loop_.RunFor(milliseconds(5));
    }
  }

  void StartServer() {
    server_ = std::make_unique<http_server>(
        loop_.Context(), host_port{"127.0.0.1", 0}, limits_,
        [this](std::shared_ptr<http_exchange> exchange) { return Serve(std::move(exchange)); });
    ASSERT_TRUE(server_->Start());
  }

  task<> Serve(std::shared_ptr<http_exchange> exchange) {
    const std::size_t bytes = exchange->Request().body.Text().size();
    in_progress_ += bytes;
    peak_ = std::max(peak_, in_progress_);
    ++runs_;
    asio::steady_timer timer(loop_.Context(), work_);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    http_response response{200, {}, fmt::format("read {}", bytes)};
    (void)co_await exchange->Respond(std::move(response));
    in_progress_ -= bytes;
  }

  std::unique_ptr<raw_connection> Connect() { return std::make_unique<raw_connection>(loop_, server_->Port()); }

  static std::string Request(std::size_t bytes, bool chunked = false) {
    const std::string body(bytes, 'x');
    const std::string head = "POST /upload HTTP/1.1\r\nHost: h\r\n";
    return chunked ? fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", head, bytes, body)
                   : fmt::format("{}Content-Length: {}\r\n\r\n{}", head, bytes, body);
  }

  std::vector<std::unique_ptr<raw_connection>> SendLongHeads(int count) {
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (int i = 0; i < count; ++i) {
      callers.push_back(Connect());
      callers.back()->Send(RequestOfShortFields(2'000));
    }
    return callers;
  }

  // Sends bodies of these sizes at the same time. Returns how many are answered with status 200.
  std::size_t SendAll(const std::vector<std::size_t>& sizes, bool chunked) {
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (const std::size_t bytes : sizes) {
      callers.push_back(Connect());
      callers.back()->Send(Request(bytes, chunked));
    }
    std::size_t answered = 0;
    (void)loop_.RunUntil([&] {
      answered = 0;
      std::size_t ended = 0;
      for (const auto& caller : callers) {
        caller->Poll();
        answered += caller->Received().starts_with("HTTP/1.1 200") ? 1 : 0;
        ended += caller->Received().starts_with("HTTP/1.1 ") ? 1 : 0;
      }
      return ended == callers.size();
    });
    return answered;
  }

  test_loop loop_;
  http_limits limits_;
  std::unique_ptr<http_server> server_;
  milliseconds work_ = milliseconds(10);
  std::size_t in_progress_ = 0;
  std::size_t peak_ = 0;
  int runs_ = 0;
};

// Guards against a router that exceeds its memory while each body is below its own limit.
TEST_F(request_memory_test, LongBodies_SentAtOnce_StayWithinTheMemoryAndAreAllAnswered) {
  StartServer();
  EXPECT_EQ(SendAll(std::vector<std::size_t>(16, kMegabyte), false), 16U);
  EXPECT_LE(peak_, limits_.body_memory_bytes);
  EXPECT_TRUE(loop_.RunUntil([&] { return server_->BodyMemoryInUse() == 0; }));
}

// The length of a chunked body is known only at its end.
TEST_F(request_memory_test, ChunkedBodies_SentAtOnce_StayWithinTheMemoryAndAreAllAnswered) {
  limits_.body_bytes = kMegabyte;
  StartServer();
  EXPECT_EQ(SendAll(std::vector<std::size_t>(16, kMegabyte - 1'000), true), 16U);
  EXPECT_LE(peak_, limits_.body_memory_bytes);
  EXPECT_TRUE(loop_.RunUntil([&] { return server_->BodyMemoryInUse() == 0; }));
}

// Guards against short requests that wait for the uploads of other callers.
TEST_F(request_memory_test, ShortBody_WhileUploadsUseTheirMemory_IsAnsweredBeforeThem) {
  work_ = milliseconds(200);
  StartServer();
  std::vector<std::unique_ptr<raw_connection>> uploads;
  for (int i = 0; i < 8; ++i) {
    uploads.push_back(Connect());
    uploads.back()->Send(Request(kMegabyte));
  }
  ASSERT_TRUE(loop_.RunUntil([&] {
    for (const auto& upload : uploads) {
      upload->Write();
    }
    return server_->WaitingBodies() > 0;
  }));
  const auto caller = Connect();
  caller->Send(Request(600));
  ASSERT_TRUE(caller->AwaitText("read 600"));
  EXPECT_GT(server_->WaitingBodies(), 0U);
}

// Guards against an upload that waits without end, and against one that runs after its refusal.
TEST_F(request_memory_test, LongBody_WithoutMemoryWithinTheReadTimeout_IsRefusedWithATimeToComeBack) {
  limits_.read_timeout = milliseconds(60);
  work_ = milliseconds(400);
  StartServer();
  std::vector<std::unique_ptr<raw_connection>> uploads;
  for (int i = 0; i < 4; ++i) {
    uploads.push_back(Connect());
    uploads.back()->Send(Request(kMegabyte));
  }
  ASSERT_TRUE(loop_.RunUntil([&] {
    std::size_t refused = 0;
    for (const auto& upload : uploads) {
      upload->Poll();
      refused += upload->Received().starts_with("HTTP/1.1 503") &&
                         upload->Received().find("Retry-After: 1") != std::string::npos &&
                         upload->Received().find("not_run") != std::string::npos
                     ? 1
                     : 0;
    }
    return refused == 1;
  }));
  EXPECT_EQ(runs_, 3);
}

// Guards against memory that a caller keeps after it has left in the middle of its body.
TEST_F(request_memory_test, CallersThatLeaveWithinTheirBodies_ReturnTheMemory) {
  StartServer();
  for (int i = 0; i < 8; ++i) {
    const auto caller = Connect();
    caller->Send(Request(kMegabyte).substr(0, 100'000));
    ASSERT_TRUE(caller->AwaitSent());
    caller->Close();
  }
  EXPECT_TRUE(loop_.RunUntil([&] { return server_->BodyMemoryInUse() == 0 && server_->WaitingBodies() == 0; }));
  EXPECT_EQ(SendAll({kMegabyte}, false), 1U);
}

// Guards against memory for heads that is bounded for each connection only. What is refused has not run.
TEST_F(request_memory_test, LongHeads_BeyondTheMemory_AreRefusedWithATimeToComeBack) {
  limits_.input_memory_bytes = kMegabyte;
  work_ = milliseconds(300);
  StartServer();
  auto callers = SendLongHeads(8);
  std::size_t refused = 0;
  std::size_t answered = 0;
  ASSERT_TRUE(loop_.RunUntil([&] {
    refused = answered = 0;
    for (const auto& caller : callers) {
      caller->Poll();
      const std::string& text = caller->Received();
      const bool is_refusal = text.starts_with("HTTP/1.1 503") && text.find("Retry-After: 1") != std::string::npos &&
                              text.find("not_run") != std::string::npos;
      refused += is_refusal ? 1 : 0;
      answered += text.starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    return refused + answered == callers.size();
  }));
  EXPECT_GT(refused, 0U);
  EXPECT_GT(answered, 0U);
  EXPECT_EQ(static_cast<std::size_t>(runs_), answered);
}

// Guards against ordinary callers that are refused because others use the memory, and against memory that stays taken.
TEST_F(request_memory_test, OrdinaryRequest_WhileLongHeadsUseTheMemory_IsAnswered) {
  limits_.input_memory_bytes = kMegabyte;
  work_ = milliseconds(300);
  StartServer();
  auto callers = SendLongHeads(8);
  const auto ordinary = Connect();
  ordinary->Send(Request(600));
  EXPECT_TRUE(ordinary->AwaitText("read 600"));
  callers.clear();
  const auto long_head = Connect();
  EXPECT_TRUE(loop_.RunUntil([&] { return server_->RequestsInProgress() == 0; }));
  long_head->Send(RequestOfShortFields(2'000));
  EXPECT_TRUE(long_head->AwaitText("HTTP/1.1 200"));
}

// The longest head that the limits allow may need more than all of the memory.
TEST_F(request_memory_test, LongestHead_WhenAlone_IsAnswered) {
  limits_.input_memory_bytes = kMegabyte;
  limits_.header_bytes = 64U << 10U;
  StartServer();
  const auto caller = Connect();
  caller->Send(RequestOfShortFields(16'000));
  EXPECT_TRUE(caller->AwaitText("HTTP/1.1 200"));
}

// Guards against a limit of what is sent ahead that loses requests.
TEST_F(request_memory_test, RequestsSentAhead_BeyondTheMemory_AreAllAnswered) {
  limits_.input_memory_bytes = 16U << 10U;
  work_ = milliseconds(1);
  StartServer();
  const auto caller = Connect();
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) {
    caller->Send(Request(600));
  }
  EXPECT_TRUE(loop_.RunUntil([&] {
    caller->Poll();
    return runs_ == kRequests && server_->RequestsInProgress() == 0;
  }));
}

// A server whose responses are longer than the buffers of the system.
class response_memory_test : public request_memory_test {
 protected:
  static constexpr std::size_t kResponseBytes = 8 * kMegabyte;

  enum class long_part : std::uint8_t { kBody, kChunk, kHeader };

  void StartServer(long_part part) {
    server_ = std::make_unique<http_server>(
        loop_.Context(), host_port{"127.0.0.1", 0}, limits_,
        [this, part](std::shared_ptr<http_exchange> exchange) { return Send(std::move(exchange), part); });
    ASSERT_TRUE(server_->Start());
  }

  task<> Send(std::shared_ptr<http_exchange> exchange, long_part part) {
    unsent_ += kResponseBytes;
    peak_ = std::max(peak_, unsent_);
    const std::string text(kResponseBytes, 'x');
    if (part == long_part::kChunk) {
      (void)co_await exchange->StartStream(200, {});
      (void)co_await exchange->WriteChunk(text);
      (void)co_await exchange->FinishStream();
    } else {
      http_response response;
      if (part == long_part::kBody) {
        response.body = text;
      } else {
        constexpr std::size_t kValueBytes = 32'768;
        for (std::size_t bytes = 0; bytes < kResponseBytes; bytes += kValueBytes) {
          response.headers.push_back({"a", text.substr(0, kValueBytes)});
        }
      }
      (void)co_await exchange->Respond(std::move(response));
    }
    unsent_ -= kResponseBytes;
  }

  // Lets callers that do not read ask one after the other. Returns how many responses were cut meanwhile.
  std::uint64_t SendUnreadRequests(int count) {
    for (int i = 0; i < count; ++i) {
      unread_callers_.push_back(Connect());
      unread_callers_.back()->Send(Request(1));
      (void)loop_.RunUntil([&] { return server_->RequestsInProgress() > 0; });
      loop_.RunFor(milliseconds(20));
    }
    return server_->UnreadResponses();
  }

  std::vector<std::unique_ptr<raw_connection>> unread_callers_;
  std::size_t unsent_ = 0;
};

// Guards against responses that are bounded for each connection only: callers who do not read them use up the memory.
TEST_F(response_memory_test, UnreadResponses_BeyondTheMemory_AreCutFromTheOldestOn) {
  limits_.output_memory_bytes = 4 * kResponseBytes;
  StartServer(long_part::kBody);
  EXPECT_EQ(SendUnreadRequests(12), 8U);
  EXPECT_LE(peak_, 5 * kResponseBytes);
  const auto reader = Connect();
  reader->Send(Request(1));
  EXPECT_TRUE(loop_.RunUntil([&] {
    reader->Poll();
    return reader->Received().size() > kResponseBytes;
  }));
}

TEST_F(response_memory_test, UnreadChunks_BeyondTheMemory_AreCutFromTheOldestOn) {
  limits_.output_memory_bytes = 4 * kResponseBytes + kMegabyte;  // a chunk is copied once, and framed
  StartServer(long_part::kChunk);
  EXPECT_EQ(SendUnreadRequests(6), 4U);
  EXPECT_LE(peak_, 3 * kResponseBytes);
}

// Responses repeat some headers of their requests.
TEST_F(response_memory_test, UnreadHeads_BeyondTheMemory_AreCutFromTheOldestOn) {
  limits_.output_memory_bytes = 4 * kResponseBytes + kMegabyte;
  StartServer(long_part::kHeader);
  EXPECT_EQ(SendUnreadRequests(6), 2U);
}

// A response above the limit is sent when nothing else is.
TEST_F(response_memory_test, LongResponse_WhenAlone_IsSentWhole) {
  limits_.output_memory_bytes = kMegabyte;
  StartServer(long_part::kBody);
  const auto reader = Connect();
  reader->Send(Request(1));
  EXPECT_TRUE(loop_.RunUntil([&] {
    reader->Poll();
    return reader->Received().size() > kResponseBytes;
  }));
  EXPECT_EQ(server_->UnreadResponses(), 0U);
}

// Guards against a copy of the body for each send of a call.
TEST(shared_body_test, Request_ForwardedToAnEndpoint_SharesTheBytesOfTheBody) {
  const http_request request{"POST", "/upload", {}, std::string(kMegabyte, 'x'), {}};
  const auto forwarded = platform::MakeForwardedRequest(request, platform::account_headers::kForward);
  const auto sent = platform::MakeCallRequest(forwarded, endpoint_name{"one"}, milliseconds(1'000));
  EXPECT_EQ(sent.body.Text().data(), request.body.Text().data());
}

}  // namespace
}  // namespace persimmon
