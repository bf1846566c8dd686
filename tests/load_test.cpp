// link: persimmon_load_parts
// Guards against a load generator that counts a lost, truncated, mixed-up or duplicated answer as correct.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <memory>
#include <set>
#include <thread>

#include "load/load_run.h"
#include "net/http.h"

namespace persimmon {
namespace {

namespace json = boost::json;

// How the stub router answers the requests of a run.
enum class stub_mode {
  kCorrect,
  kTruncated,        // the last token is missing, but the end marker arrives
  kNoEndMarker,      // the stream ends without the end marker
  kDuplicatedToken,  // the first token arrives twice
  kOtherPrompt,      // the answer belongs to another prompt
  kErrorEvent,
  kRefuseFirst,       // 429 with X-Retry-After-Ms, then a correct answer
  kBreakFirst,        // the connection is closed, then a correct answer
  kSilent,            // no answer until the caller disconnects
  kServiceTwice,      // the service reports that the call ran twice
  kServiceOtherPath,  // the answer belongs to another path
};

// Runs an HTTP server on a separate thread that responds like a router.
class stub_router {
 public:
  explicit stub_router(stub_mode mode)
      : mode_(mode),
        server_(context_, host_port{"127.0.0.1", 0}, http_limits{},
                [this](std::shared_ptr<http_exchange> exchange) { return Answer(std::move(exchange)); }) {
    EXPECT_TRUE(server_.Start());
    thread_ = std::thread([this] { context_.run(); });
  }

  ~stub_router() {
    context_.stop();
    thread_.join();
  }

  host_port Address() const { return {"127.0.0.1", server_.Port()}; }

 private:
  bool IsFirst(const http_request& request) {
    return seen_.insert(std::string(FindHeader(request.headers, "X-Request-Id"))).second;
  }

  task<> Answer(std::shared_ptr<http_exchange> exchange) {
    const http_request& request = exchange->Request();
    const bool first = IsFirst(request);
    if (mode_ == stub_mode::kSilent) {
      asio::steady_timer timer(context_, std::chrono::seconds(60));
      exchange->OnDisconnect([&timer] { timer.cancel(); });
      boost::system::error_code ignored;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      co_return;
    }
    if (mode_ == stub_mode::kBreakFirst && first) {
      co_return;
    }
    if (mode_ == stub_mode::kRefuseFirst && first) {
      http_response refusal = JsonResponse(429, R"({"error":{"code":"over_capacity","outcome":"not_run"}})");
      refusal.headers.push_back({"X-Retry-After-Ms", "20"});
      (void)co_await exchange->Respond(std::move(refusal));
      co_return;
    }
    if (request.target == "/v1/completions") {
      co_await AnswerModel(exchange);
    } else {
      co_await AnswerService(exchange);
    }
  }

  std::vector<std::string> MakeTokens(const std::string& prompt, std::uint32_t count) const {
    std::vector<std::string> out;
    for (std::uint32_t i = 0; i < count; ++i) {
      out.push_back(ExpectedToken(mode_ == stub_mode::kOtherPrompt ? prompt + "x" : prompt, i));
    }
    if (mode_ == stub_mode::kTruncated) {
      out.pop_back();
    }
    if (mode_ == stub_mode::kDuplicatedToken) {
      out.insert(out.begin() + 1, out.front());
    }
    return out;
  }

  task<> AnswerModel(std::shared_ptr<http_exchange> exchange) {
    const json::value body = json::parse(exchange->Request().body.Text());
    const json::object& fields = body.as_object();
    const std::string prompt(fields.at("prompt").as_string().c_str());
    const auto tokens = MakeTokens(prompt, static_cast<std::uint32_t>(fields.at("max_tokens").as_int64()));
    if (!fields.at("stream").as_bool()) {
      std::string text;
      for (const std::string& token : tokens) {
        text += token;
      }
      http_response response = JsonResponse(200, fmt::format(R"({{"choices":[{{"text":"{}"}}]}})", text));
      (void)co_await exchange->Respond(std::move(response));
      co_return;
    }
    header_list headers = {{"Content-Type", "text/event-stream"}};
    (void)co_await exchange->StartStream(200, std::move(headers));
    for (const std::string& token : tokens) {
      std::string chunk = fmt::format("data: {{\"choices\":[{{\"text\":\"{}\"}}]}}\n\n", token);
      (void)co_await exchange->WriteChunk(std::move(chunk));
    }
    if (mode_ == stub_mode::kNoEndMarker) {
      exchange->AbortStream();
      co_return;
    }
    std::string end = "data: [DONE]\n\n";
    if (mode_ == stub_mode::kErrorEvent) {
      end = "data: {\"error\":{\"code\":\"endpoint_lost\",\"outcome\":\"may_have_run\"}}\n\n";
    }
    (void)co_await exchange->WriteChunk(std::move(end));
    (void)co_await exchange->FinishStream();
  }

  task<> AnswerService(std::shared_ptr<http_exchange> exchange) {
    const http_request& request = exchange->Request();
    const std::string path = mode_ == stub_mode::kServiceOtherPath ? request.target + "x" : request.target;
    const int calls = mode_ == stub_mode::kServiceTwice ? 2 : 1;
    http_response response =
        JsonResponse(200, fmt::format(R"({{"service":"s","path":"{}","calls":{},"body_hash":"{}"}})", path, calls,
                                      HashText(request.body.Text())));
    (void)co_await exchange->Respond(std::move(response));
  }

  stub_mode mode_;
  asio::io_context context_{1};
  std::set<std::string> seen_;
  http_server server_;
  std::thread thread_;
};

class load_test : public testing::Test {
 protected:
  load_test() {
    settings_.traffic.rate = 200;
    settings_.traffic.duration_s = 0.3;
    settings_.traffic.run_id = "t";
    settings_.traffic.model = "savetnik";
    settings_.traffic.output_tokens = {{1, 4, 8}};
    settings_.show_progress = false;
  }

  load_summary Run(stub_mode mode) {
    const stub_router router(mode);
    settings_.targets = {router.Address()};
    return RunLoad(settings_);
  }

  void UseService() {
    settings_.traffic.model.clear();
    settings_.traffic.service_path = "/kurs";
  }

  load_run_settings settings_;
};

TEST_F(load_test, RunLoad_WhenAnswersAreRight_CountsEachOnce) {
  settings_.traffic.stream_share = 0.5;
  settings_.traffic.shared_prefix_share = 0.5;
  settings_.traffic.service_path = "/kurs";
  settings_.traffic.service_share = 0.3;
  const load_summary summary = Run(stub_mode::kCorrect);
  EXPECT_GT(summary.sent, 20U);
  EXPECT_EQ(summary.answered, summary.sent) << FormatText(summary);
}

TEST_F(load_test, RunLoad_WhenTokenIsMissing_CountsWrong) {
  const load_summary summary = Run(stub_mode::kTruncated);
  EXPECT_GT(summary.sent, 0U);
  EXPECT_EQ(summary.wrong, summary.sent);
}

TEST_F(load_test, RunLoad_WhenTokenIsMissingInNonStreamingAnswer_CountsWrong) {
  settings_.traffic.stream_share = 0;
  const load_summary summary = Run(stub_mode::kTruncated);
  EXPECT_GT(summary.sent, 0U);
  EXPECT_EQ(summary.wrong, summary.sent);
}

TEST_F(load_test, RunLoad_WhenStreamIsCutOff_CountsLostAfterOneResend) {
  const load_summary summary = Run(stub_mode::kNoEndMarker);
  EXPECT_GT(summary.sent, 0U);
  EXPECT_EQ(summary.lost, summary.sent);
  EXPECT_EQ(summary.resent, summary.sent);
}

TEST_F(load_test, RunLoad_WhenTokenIsDuplicated_CountsDuplicated) {
  const load_summary summary = Run(stub_mode::kDuplicatedToken);
  EXPECT_GT(summary.sent, 0U);
  EXPECT_EQ(summary.doubled, summary.sent);
}

TEST_F(load_test, RunLoad_WhenAnswersBelongToOtherPrompts_CountsWrong) {
  const load_summary summary = Run(stub_mode::kOtherPrompt);
  EXPECT_GT(summary.sent, 0U);
  EXPECT_EQ(summary.wrong, summary.sent);
}

TEST_F(load_test, RunLoad_WhenStreamEndsWithError_CountsRefusalByCode) {
  const load_summary summary = Run(stub_mode::kErrorEvent);
  EXPECT_GT(summary.sent, 0U);
  EXPECT_EQ(summary.refusals.at("endpoint_lost"), summary.sent);
}

TEST_F(load_test, RunLoad_WhenCallersRetryAfterRefusal_CountsOneRequest) {
  settings_.traffic.return_share = 1;
  const load_summary summary = Run(stub_mode::kRefuseFirst);
  EXPECT_GT(summary.sent, 0U);
  EXPECT_EQ(summary.answered, summary.sent);
  EXPECT_EQ(summary.returned, summary.sent);
}

TEST_F(load_test, RunLoad_WhenCallersDoNotRetry_CountsRefusals) {
  const load_summary summary = Run(stub_mode::kRefuseFirst);
  EXPECT_EQ(summary.refusals.at("over_capacity"), summary.sent);
}

TEST_F(load_test, RunLoad_WhenConnectionBreaks_ResendsOnce) {
  const load_summary summary = Run(stub_mode::kBreakFirst);
  EXPECT_GT(summary.sent, 0U);
  EXPECT_EQ(summary.answered, summary.sent) << FormatText(summary);
  EXPECT_EQ(summary.resent, summary.sent);
}

TEST_F(load_test, RunLoad_WhenCallersDisconnect_CountsNoLoss) {
  settings_.traffic.leave_share = 1;
  settings_.traffic.leave_after_max_s = 0.1;
  const load_summary summary = Run(stub_mode::kSilent);
  EXPECT_GT(summary.sent, 0U);
  EXPECT_EQ(summary.left, summary.sent) << FormatText(summary);
}

TEST_F(load_test, RunLoad_WhenNoRouterListens_CountsRefusals) {
  std::uint16_t port = 0;
  {
    const stub_router router(stub_mode::kCorrect);
    port = router.Address().port;
  }
  settings_.targets = {{"127.0.0.1", port}};
  const load_summary summary = RunLoad(settings_);
  EXPECT_GT(summary.sent, 0U);
  EXPECT_EQ(summary.refusals.at("unreachable"), summary.sent);
}

TEST_F(load_test, RunLoad_WhenServiceRanTwice_CountsDuplicated) {
  UseService();
  settings_.traffic.post_share = 1;
  const load_summary summary = Run(stub_mode::kServiceTwice);
  EXPECT_GT(summary.sent, 0U);
  EXPECT_EQ(summary.doubled, summary.sent);
}

TEST_F(load_test, RunLoad_WhenServiceAnswersAreForOtherPaths_CountsWrong) {
  UseService();
  const load_summary summary = Run(stub_mode::kServiceOtherPath);
  EXPECT_GT(summary.sent, 0U);
  EXPECT_EQ(summary.wrong, summary.sent);
}

TEST_F(load_test, ParseSizeMix_WhenTextIsMalformed_IsRefused) {
  for (const char* text : {"", "x", "10-5", "0-5", "1-", "-1-5", "0:1-5", "1-5,", "1:2:3"}) {
    EXPECT_FALSE(ParseSizeMix(text)) << text;
  }
  EXPECT_EQ(ParseSizeMix("0.7:20-500,0.3:8000-24000").value(), (size_mix{{0.7, 20, 500}, {0.3, 8'000, 24'000}}));
}

TEST_F(load_test, PlanNext_WhenSeedIsEqual_PlansEqualRequests) {
  traffic_generator first(settings_.traffic);
  traffic_generator second(settings_.traffic);
  planned_request left;
  planned_request right;
  while (first.PlanNext(left)) {
    ASSERT_TRUE(second.PlanNext(right));
    EXPECT_EQ(left, right);
    EXPECT_EQ(first.BuildPrompt(left), second.BuildPrompt(right));
  }
}

TEST_F(load_test, PlanNext_WhenProfileIsSurge_ReachesFactorOnPlateau) {
  settings_.traffic.profile = load_profile::kSurge;
  settings_.traffic.duration_s = 80;
  traffic_generator traffic(settings_.traffic);
  EXPECT_NEAR(traffic.PlateauEnd() - traffic.PlateauBegin(), 60, 1e-9);
  EXPECT_NEAR(traffic.RateAt(traffic.PlateauBegin() + 1), 300, 1e-9);
  std::uint64_t on_plateau = 0;
  planned_request request;
  while (traffic.PlanNext(request)) {
    on_plateau += request.at_s >= traffic.PlateauBegin() && request.at_s < traffic.PlateauEnd() ? 1 : 0;
  }
  EXPECT_NEAR(static_cast<double>(on_plateau), 18'000, 600);  // the tolerance is over 4 standard deviations
}

TEST_F(load_test, BuildPrompt_WhenPrefixIsShared_HasWantedLengthAndPrefix) {
  settings_.traffic.shared_prefix_share = 1;
  settings_.traffic.shared_prefixes = 1;
  settings_.traffic.shared_prefix_tokens = 10;
  settings_.traffic.prompt_tokens = {{1, 100, 30'000}};
  traffic_generator traffic(settings_.traffic);
  std::set<std::string> prefixes;
  planned_request request;
  while (traffic.PlanNext(request)) {
    const std::string prompt = traffic.BuildPrompt(request);
    EXPECT_EQ(std::count(prompt.begin(), prompt.end(), ' ') + 1, request.prompt_tokens);
    prefixes.insert(prompt.substr(0, 50));
  }
  EXPECT_EQ(prefixes.size(), 1U);
}

TEST_F(load_test, FormatPlot_WhenRunIsDone_HasThreeLines) {
  const load_summary summary = Run(stub_mode::kCorrect);
  const std::string plot = FormatPlot(summary);
  std::size_t lines = 0;
  for (auto at = plot.find("<polyline"); at != std::string::npos; at = plot.find("<polyline", at + 1)) {
    ++lines;
  }
  EXPECT_EQ(lines, 3U);
  EXPECT_TRUE(plot.ends_with("</svg>\n"));
}

}  // namespace
}  // namespace persimmon
