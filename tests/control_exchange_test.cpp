// link: persimmon_direct persimmon_fake_parts
// Exchanges whose responses name no attempt (reservations, reports, orders, health checks) with engines that write
// responses nobody has asked for, right before the response that a request waits for.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <set>

#include "direct/caller_auth.h"
#include "direct/router_group.h"
#include "direct/suspect_tracker.h"
#include "net/datagram.h"
#include "support/router_harness.h"

namespace persimmon {
namespace {

using asio::ip::tcp;
using fakes::replica_options;
using support::caller_exchange_ptr;
using support::json;
using support::router_harness;

struct received_request {
  std::size_t connection = 0;  // number of the connection, from 0
  std::string line;            // method and target
  std::string head;
  std::string body;

  // Value of a header; empty if it is absent.
  std::string Header(const std::string& name) const {
    const auto begin = head.find("\r\n" + name + ": ");
    if (begin == std::string::npos) {
      return {};
    }
    const auto value = begin + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
  }
};

std::string MakeResponse(int status, const std::string& headers, const std::string& body) {
  return fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}", status, headers, body.size(), body);
}

std::string MakeJsonResponse(const std::string& body) {
  return MakeResponse(200, "Content-Type: application/json\r\n", body);
}

std::string MakeCallResponse(const std::string& attempt, const std::string& body) {
  return MakeResponse(200, "Content-Type: application/json\r\nPersimmonchute-Attempt-Id: " + attempt + "\r\n", body);
}

// A decode engine that answers correctly, with other bytes before its response where a test sets them.
class scripted_engine : public std::enable_shared_from_this<scripted_engine> {
 public:
  explicit scripted_engine(asio::io_context& context)
      : context_(context), acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {}

  void Start() { asio::co_spawn(context_, Accept(), asio::detached); }

  void Stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& socket : sockets_) {
      socket->close(ignored);
    }
  }

  host_port Address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  std::size_t Connections() const { return sockets_.size(); }

  void Register(router_harness& harness, const std::string& name, const std::string& stage) const {
    const json entry = {{"service", "llm"}, {"address", Address().Text()},
                        {"zone", "zone-a"}, {"slots", 16},
                        {"state", "ready"}, {"born", 1},
                        {"seq", 1},         {"stage", stage}};
    harness.Platform().Tables().Commit({{{"servers", name}, entry.dump(), false, std::nullopt}});
  }

  std::vector<received_request> RequestsTo(const std::string& line) const {
    std::vector<received_request> found;
    std::copy_if(requests_.begin(), requests_.end(), std::back_inserter(found),
                 [&line](const received_request& request) { return request.line.starts_with(line); });
    return found;
  }

  // Names of the reservations that requests have used.
  std::vector<std::string> UsedReservations() const {
    std::vector<std::string> used;
    for (const received_request& request : RequestsTo("POST /digest/")) {
      used.push_back(request.Header("Persimmonchute-Kv-Hold"));
    }
    return used;
  }

  // Writes the bytes in place of the response to the next request whose method and target begin like this. From then on
  // its connection is one response behind.
  void WriteBefore(const std::string& line, std::string bytes) {
    extra_line_ = line;
    extra_ = std::move(bytes);
  }

  bool HasWrittenExtra() const { return extra_connection_.has_value(); }

  // True if the router has closed the connection on which the bytes were written.
  bool IsExtraConnectionClosed() const { return extra_connection_ && closed_.contains(*extra_connection_); }

  std::string last_grant;
  std::function<std::string(const received_request&)> answer;  // set: replaces the answers of an engine

 private:
  task<> Accept() {
    const auto self = shared_from_this();
    boost::system::error_code failure;
    while (!failure) {
      tcp::socket socket(context_);
      co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, failure));
      if (!failure) {
        sockets_.push_back(std::make_shared<tcp::socket>(std::move(socket)));
        asio::co_spawn(context_, Serve(sockets_.back(), sockets_.size() - 1), asio::detached);
      }
    }
  }

  task<> Serve(std::shared_ptr<tcp::socket> socket, std::size_t number) {
    const auto self = shared_from_this();
    std::string input;
    std::string pending;  // the next response, if the connection is one behind
    boost::system::error_code failure;
    while (true) {
      const std::size_t head_size = co_await asio::async_read_until(*socket, asio::dynamic_buffer(input), "\r\n\r\n",
                                                                    asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        break;
      }
      received_request request;
      request.connection = number;
      request.head = input.substr(0, head_size);
      request.line = request.head.substr(0, request.head.find(" HTTP/"));
      input.erase(0, head_size);
      const std::string length = request.Header("Content-Length");
      const std::size_t size = length.empty() ? 0 : std::stoul(length);
      while (input.size() < size && !failure) {
        std::string part(size - input.size(), '\0');
        const std::size_t count =
            co_await socket->async_read_some(asio::buffer(part), asio::redirect_error(asio::use_awaitable, failure));
        input.append(part, 0, count);
      }
      request.body = input.substr(0, size);
      input.erase(0, size);
      if (!extra_.empty() && request.line.starts_with(extra_line_)) {
        extra_connection_ = number;
        pending = std::exchange(extra_, {});
      }
      std::string response = MakeAnswer(request);
      if (extra_connection_ == number) {
        std::swap(response, pending);
      }
      requests_.push_back(std::move(request));
      co_await asio::async_write(*socket, asio::buffer(response), asio::redirect_error(asio::use_awaitable, failure));
    }
    closed_.insert(number);
  }

  std::string MakeAnswer(const received_request& request) {
    if (answer) {
      return answer(request);
    }
    if (request.line == "POST /hold-take") {
      last_grant = MakeJsonResponse(fmt::format(R"({{"hold":"hold{}"}})", ++holds_));
      return last_grant;
    }
    if (request.line == "GET /report") {
      return MakeJsonResponse(R"({"stage":"decode","busy":false,"seq":3})");
    }
    if (request.line == "POST /order") {
      return MakeResponse(202, "", "");
    }
    if (request.line.starts_with("POST /digest/")) {
      const std::string attempt = request.Header("Persimmonchute-Attempt-Id");
      return MakeResponse(200,
                          fmt::format("Content-Type: text/event-stream\r\nPersimmonchute-Attempt-Id: {0}\r\n"
                                      "Persimmonchute-Server-Seal: seal.{0}\r\n",
                                      attempt),
                          support::WholeStream(attempt, 5));
    }
    return MakeResponse(200, "", "");
  }

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
  std::vector<received_request> requests_;
  std::set<std::size_t> closed_;
  std::string extra_line_;
  std::string extra_;
  std::optional<std::size_t> extra_connection_;
  int holds_ = 0;
};

class control_exchange_test : public testing::Test {
 protected:
  explicit control_exchange_test(const std::function<void(direct_settings&)>& adjust = nullptr)
      : harness_(adjust), engine_(std::make_shared<scripted_engine>(harness_.Kernel().Context())) {
    engine_->Start();
    harness_.WriteDesiredState({.timeout_ms = 14'000, .hold_ms = 20'000});
    replica_options prefill;
    prefill.name = "p-1";
    prefill.service = "llm";
    prefill.stage = "prefill";
    harness_.AddReplica(prefill);
    engine_->Register(harness_, "e-1", "decode");
  }

  void SetUp() override {
    harness_.StartWithoutWaiting();
    ASSERT_TRUE(harness_.RunUntil([this] {
      const auto& directory = harness_.Directory();
      return directory.IsInForce() && directory.Endpoints().Size() >= 2;
    }));
  }

  ~control_exchange_test() override { engine_->Stop(); }

  static task<> CheckHealth(suspect_tracker& suspects, chosen_endpoint engine, bool* checked) {
    (void)co_await suspects.HasCrashed(std::move(engine), "/health");
    *checked = true;
  }

  // Long before the time after which an idle connection is closed.
  bool IsExtraConnectionClosed() {
    return harness_.RunUntil([this] { return engine_->IsExtraConnectionClosed(); }, milliseconds(500));
  }

  chosen_endpoint Engine() const { return {endpoint_name{"e-1"}, 1, zone_name{"zone-a"}, engine_->Address(), {}}; }

  void ExpectWholeStream(const std::string& attempt) {
    const caller_exchange_ptr caller = harness_.SendModel("/digest/x", attempt);
    ASSERT_TRUE(harness_.Finish(caller));
    EXPECT_EQ(caller->Status(), 200) << attempt;
    EXPECT_EQ(caller->body, support::WholeStream(attempt, 5));
  }

  // Fetches the engine's report over a connection that other exchanges use too.
  result<platform::engine_report> FetchReport() {
    std::optional<result<platform::engine_report>> report;
    asio::co_spawn(harness_.Kernel().Context(), Store(harness_.EndpointTracker(), client_, Engine(), &report),
                   asio::detached);
    EXPECT_TRUE(harness_.RunUntil([&report] { return report.has_value(); }));
    return *report;
  }

  static task<> Store(endpoint_tracker& tracker, http_client& client, chosen_endpoint engine,
                      std::optional<result<platform::engine_report>>* report) {
    auto fetched = co_await tracker.FetchReport(client, std::move(engine), milliseconds(400));
    report->emplace(std::move(fetched));
  }

  router_harness harness_;
  std::shared_ptr<scripted_engine> engine_;
  http_client client_{harness_.Kernel().Context(), http_client_limits{}};
};

// Guards against two requests that run with one reservation.
TEST_F(control_exchange_test, Reservation_AnsweredByACopyOfAnEarlierGrant_IsNotTaken) {
  ExpectWholeStream("a1");
  engine_->WriteBefore("POST /hold-take", engine_->last_grant);
  ExpectWholeStream("a2");
  const auto used = engine_->UsedReservations();
  EXPECT_EQ(std::set<std::string>(used.begin(), used.end()).size(), used.size()) << used.back();
  EXPECT_TRUE(IsExtraConnectionClosed());
}

// Guards against memory that belongs to another request.
TEST_F(control_exchange_test, Reservation_AnsweredByTheResponseToACall_IsNotTaken) {
  ExpectWholeStream("a1");
  engine_->WriteBefore("POST /hold-take", MakeCallResponse("a1", R"({"hold":"other"})"));
  ExpectWholeStream("a2");
  for (const std::string& used : engine_->UsedReservations()) {
    EXPECT_NE(used, "other");
  }
  EXPECT_TRUE(IsExtraConnectionClosed());
}

// Guards against a connection that stays one response behind.
TEST_F(control_exchange_test, Reservation_AnsweredByAReport_ClosesItsConnection) {
  ExpectWholeStream("a1");
  engine_->WriteBefore("POST /hold-take", MakeJsonResponse(R"({"stage":"decode","busy":false,"seq":3})"));
  ExpectWholeStream("a2");
  EXPECT_TRUE(IsExtraConnectionClosed());
}

// Guards against a connection whose later responses are taken for those to other requests.
TEST_F(control_exchange_test, Release_AnsweredByTheResponseToACall_ClosesItsConnection) {
  ExpectWholeStream("a1");
  engine_->WriteBefore("DELETE /", MakeCallResponse("a1", "{}"));
  for (int i = 0; i < 20 && !engine_->HasWrittenExtra(); ++i) {
    const caller_exchange_ptr caller = harness_.SendModel("/digest/x", "b" + std::to_string(i));
    harness_.RunUntil([this, sent = engine_->RequestsTo("POST /hold-take").size()] {
      return engine_->RequestsTo("POST /hold-take").size() > sent;
    });
    caller->call->Cancel();
    harness_.RunFor(milliseconds(20));
  }
  EXPECT_TRUE(IsExtraConnectionClosed());
}

// Guards against orders that rest on the state of another engine or another time.
TEST_F(control_exchange_test, Report_AnsweredByTheResponseToACall_IsAnError) {
  ASSERT_TRUE(FetchReport());
  engine_->WriteBefore("GET /report", MakeCallResponse("a1", R"({"stage":"decode","busy":false,"seq":9})"));
  const auto report = FetchReport();
  ASSERT_FALSE(report);
  EXPECT_EQ(report.error().code, error_code::kProtocol);
  EXPECT_TRUE(IsExtraConnectionClosed());
}

TEST_F(control_exchange_test, Report_AnsweredByAGrant_ClosesItsConnection) {
  ASSERT_TRUE(FetchReport());
  engine_->WriteBefore("GET /report", MakeJsonResponse(R"({"hold":"hold1"})"));
  const auto report = FetchReport();
  ASSERT_FALSE(report);
  EXPECT_EQ(report.error().code, error_code::kProtocol);
  EXPECT_TRUE(IsExtraConnectionClosed());
}

// Guards against a health check that takes an answer from before a crash for a sign of life.
TEST_F(control_exchange_test, HealthCheck_AnsweredByTheResponseToACall_ClosesItsConnection) {
  ExpectWholeStream("a1");
  engine_->WriteBefore("GET /health", MakeCallResponse("a1", "{}"));
  bool checked = false;
  asio::co_spawn(harness_.Kernel().Context(),
                 CheckHealth(harness_.Kernel().Find<suspect_tracker>("crashes"), Engine(), &checked), asio::detached);
  ASSERT_TRUE(harness_.RunUntil([&checked] { return checked; }));
  EXPECT_TRUE(IsExtraConnectionClosed());
}

// Guards against the price of connections: a sound engine sees no more than one beside that of its calls.
TEST_F(control_exchange_test, SoundEngine_SeesNoMoreThanOneFurtherConnection) {
  for (int i = 0; i < 100; ++i) {
    ExpectWholeStream("a" + std::to_string(i));
  }
  EXPECT_EQ(engine_->RequestsTo("POST /hold-take").size(), 100U);
  EXPECT_LE(engine_->Connections(), 2U);
}

class stage_order_exchange_test : public control_exchange_test {
 protected:
  stage_order_exchange_test()
      : control_exchange_test([](direct_settings& settings) {
          settings.order_stages = true;
          settings.stage_settle = milliseconds(50);
        }) {
    for (const char* name : {"e-2", "e-3", "e-4", "e-5"}) {
      engine_->Register(harness_, name, "prefill");
    }
  }
};

// Guards against an order whose result is taken from the response to something else.
TEST_F(stage_order_exchange_test, Order_AnsweredByTheResponseToACall_ClosesItsConnection) {
  engine_->WriteBefore("POST /order", MakeCallResponse("a1", "{}"));
  ASSERT_TRUE(harness_.RunUntil([this] { return engine_->HasWrittenExtra(); }));
  EXPECT_TRUE(IsExtraConnectionClosed());
}

// A router that loses the store, with another one whose answers are those of a scripted server.
class confirmation_exchange_test : public testing::Test {
 protected:
  static constexpr milliseconds kRevokeTime{400};

  confirmation_exchange_test()
      : harness_([](direct_settings& settings) {
          settings.deployment.strict_revoke = true;
          settings.deployment.revoke_time = kRevokeTime;
        }),
        control_(std::make_shared<scripted_engine>(harness_.Kernel().Context())),
        socket_(harness_.Kernel().Context(), host_port{"127.0.0.1", 0}, [](const host_port&, const message&) {}) {
    harness_.WriteDesiredState({.tenants = json::array()});
    control_->answer = [this](const received_request& request) { return Answer(request.line); };
    control_->Start();
    EXPECT_TRUE(socket_.Start());
  }
  ~confirmation_exchange_test() override {
    socket_.Stop();
    control_->Stop();
  }

  std::string Answer(const std::string& line) {
    if (repeats_ && !last_answer_.empty()) {
      return last_answer_;
    }
    json body = {{"revision", 1}, {"age_ms", 0}};
    if (const auto id = line.find("?id="); id != std::string::npos) {
      body["id"] = std::stoull(line.substr(id + 4));
    }
    last_answer_ = MakeJsonResponse(body.dump());
    return last_answer_;
  }

  void Announce() {
    router_state state;
    state.name = "router-2";
    state.incarnation = 7;
    state.sequence = ++sequence_;
    state.revision = 1;
    state.control = control_->Address();
    socket_.Send({"127.0.0.1", harness_.Settings().deployment.first_internal_port}, message(state));
  }

  void RunFor(milliseconds duration) {
    for (const time_point end = timer_service::Now() + duration; timer_service::Now() < end;) {
      Announce();
      harness_.RunFor(milliseconds(50));
    }
  }

  bool IsConfirmed() {
    const auto text = harness_.Kernel().Find<caller_auth>("auth").ExportConfirmation("/confirmation");
    return !text.empty() && json::parse(text)["age_ms"].get<std::int64_t>() <= kRevokeTime.count();
  }

  router_harness harness_;
  std::shared_ptr<scripted_engine> control_;
  datagram_socket socket_;
  std::string last_answer_;
  bool repeats_ = false;
  std::uint64_t sequence_ = 0;
};

// Guards against revoked keys that are served, because an earlier confirmation counts as a new one.
TEST_F(confirmation_exchange_test, Confirmation_AnsweredByACopyOfAnEarlierOne_DoesNotCount) {
  ASSERT_TRUE(harness_.Start());
  harness_.Platform().Faults().outage = true;
  RunFor(3 * kRevokeTime);
  EXPECT_TRUE(IsConfirmed());
  EXPECT_FALSE(last_answer_.empty());
  repeats_ = true;
  RunFor(3 * kRevokeTime);
  EXPECT_FALSE(IsConfirmed());
}

}  // namespace
}  // namespace persimmon
