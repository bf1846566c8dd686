// Sections
//   1. one caller
//   2. run
//   3. verification of the services' call counts
#include "load/load_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <charconv>
#include <map>
#include <unordered_map>

#include "net/http.h"

namespace persimmon {
namespace {

namespace json = boost::json;

constexpr int kMaxConnectAttempts = 3;        // routers that a load balancer tries for one request
constexpr double kMaxRetryDelaySeconds = 60;  // callers do not retry after a longer delay
constexpr std::size_t kIdleConnections = 4096;
constexpr double kLateDispatchSeconds = 0.02;
constexpr milliseconds kHealthCheckPeriod(1'000);
constexpr const char* kUnreachable = "unreachable";

double SecondsSince(time_point begin) { return std::chrono::duration<double>(timer_service::Now() - begin).count(); }

microseconds ToMicroseconds(double seconds) { return microseconds(static_cast<std::int64_t>(seconds * 1e6)); }

milliseconds ToMilliseconds(double seconds) {
  return milliseconds(std::max<std::int64_t>(1, static_cast<std::int64_t>(seconds * 1e3)));
}

const json::value* FindField(const json::value& parent, std::string_view name) {
  const json::object* object = parent.if_object();
  return object == nullptr ? nullptr : object->if_contains(name);
}

std::string FindText(const json::value& parent, std::string_view name) {
  const json::value* found = FindField(parent, name);
  return found != nullptr && found->is_string() ? std::string(found->get_string()) : std::string();
}

// Finds the text of a completion, a chat completion or one chunk of either; null if there is none.
const json::string* FindAnswerText(const json::value& answer) {
  const json::value* choices = FindField(answer, "choices");
  if (choices == nullptr || !choices->is_array() || choices->get_array().empty()) {
    return nullptr;
  }
  const json::value& choice = choices->get_array().front();
  const json::value* text = FindField(choice, "text");
  for (const char* nested : {"delta", "message"}) {
    const json::value* holder = FindField(choice, nested);
    if (text == nullptr && holder != nullptr) {
      text = FindField(*holder, "content");
    }
  }
  return text == nullptr ? nullptr : text->if_string();
}

// Result of one attempt to send a request.
struct attempt_result {
  request_end end = request_end::kLost;
  bool unreachable = false;  // the router did not accept the connection
  bool broken = false;       // the connection ended before the answer was complete
  std::string code;          // of a refusal, such as "over_capacity"
  std::string outcome;       // of a refusal: "not_run" or "may_have_run"
  double retry_after_s = 0;  // from the headers of a refusal; 0: absent
  std::string detail;
};

// ---------------------------------------------------------------------------------------------------------------------
// 1. one caller
// ---------------------------------------------------------------------------------------------------------------------

// Parses the server-sent events of one answer and measures the times of its tokens.
class event_reader {
 public:
  event_reader(answer_checker& checker, time_point begin) : checker_(checker), begin_(begin) {}

  bool AddLine(std::string_view line) {
    static constexpr std::string_view kPrefix = "data: ";
    if (line.substr(0, kPrefix.size()) != kPrefix) {
      return true;
    }
    line.remove_prefix(kPrefix.size());
    if (line == "[DONE]") {
      done_ = true;
      return true;
    }
    boost::system::error_code failure;
    const json::value event = json::parse(line, failure);
    if (failure) {
      malformed_ = true;
      return true;
    }
    if (const json::value* error_field = FindField(event, "error")) {
      error_code_ = FindText(*error_field, "code");
      error_outcome_ = FindText(*error_field, "outcome");
      failed_ = true;
      return true;
    }
    if (const json::string* text = FindAnswerText(event)) {
      const std::uint32_t count = checker_.AddText(std::string_view(text->data(), text->size()));
      if (count > 0) {
        last_token_s_ = SecondsSince(begin_);
        first_token_s_ = tokens_ == 0 ? last_token_s_ : first_token_s_;
        tokens_ += count;
      }
    }
    return true;
  }

  bool IsDone() const { return done_; }
  bool IsMalformed() const { return malformed_; }
  bool HasFailed() const { return failed_; }
  const std::string& ErrorCode() const { return error_code_; }
  const std::string& ErrorOutcome() const { return error_outcome_; }
  double FirstTokenSeconds() const { return first_token_s_; }
  double IntervalSeconds() const { return tokens_ < 2 ? 0 : (last_token_s_ - first_token_s_) / (tokens_ - 1); }

 private:
  answer_checker& checker_;
  time_point begin_;
  std::uint32_t tokens_ = 0;
  double first_token_s_ = 0;
  double last_token_s_ = 0;
  bool done_ = false;
  bool malformed_ = false;
  bool failed_ = false;
  std::string error_code_;
  std::string error_outcome_;
};

void ReadRefusal(const http_response& response, attempt_result& attempt) {
  attempt.end = request_end::kRefused;
  attempt.code = fmt::format("http_{}", response.status);
  boost::system::error_code failure;
  const json::value body = json::parse(response.body, failure);
  const json::value* error_field = failure ? nullptr : FindField(body, "error");
  if (error_field != nullptr && !FindText(*error_field, "code").empty()) {
    attempt.code = FindText(*error_field, "code");
    attempt.outcome = FindText(*error_field, "outcome");
  }
  const std::string_view milliseconds_text = FindHeader(response.headers, "X-Retry-After-Ms");
  const std::string_view seconds_text = FindHeader(response.headers, "Retry-After");
  const std::string_view delay_text = milliseconds_text.empty() ? seconds_text : milliseconds_text;
  double value = 0;
  const auto parsed = std::from_chars(delay_text.data(), delay_text.data() + delay_text.size(), value);
  if (!delay_text.empty() && parsed.ec == std::errc()) {
    attempt.retry_after_s = milliseconds_text.empty() ? value : value / 1e3;
  }
}

void CheckTokens(const answer_checker& checker, attempt_result& attempt) {
  if (checker.IsComplete()) {
    attempt.end = request_end::kAnswered;
    return;
  }
  attempt.end = checker.Status() == token_status::kDoubled ? request_end::kDoubled : request_end::kWrong;
  attempt.detail = fmt::format("only the first {} tokens are correct", checker.Received());
}

// Classifies a request without an answer: the router was unreachable, the caller disconnected as planned, or the
// connection broke.
void ClassifyFailure(const error& failure, const planned_request& plan, bool timed_out, attempt_result& attempt) {
  attempt.detail = failure.message;
  if (failure.code == error_code::kUnavailable) {
    attempt.unreachable = true;
  } else if (plan.disconnect_after_s > 0 && timed_out) {
    attempt.end = request_end::kLeft;
  } else {
    attempt.broken = true;
  }
}

// State shared by all callers of a run.
struct load_run {
  explicit load_run(const load_run_settings& run_settings)
      : settings(run_settings),
        traffic(run_settings.traffic),
        client(context, MakeLimits(run_settings)),
        timers(context),
        target_random(run_settings.traffic.seed + 2) {}

  static http_client_limits MakeLimits(const load_run_settings& run_settings) {
    http_client_limits limits;
    limits.response_timeout = ToMilliseconds(run_settings.timeout_s);
    limits.idle_timeout = ToMilliseconds(run_settings.timeout_s);
    limits.idle_connections = kIdleConnections;
    return limits;
  }

  load_run_settings settings;
  asio::io_context context{1};
  traffic_generator traffic;
  http_client client;
  timer_service timers;
  std::mt19937_64 target_random;
  time_point start;
  std::vector<request_result> results;
  std::uint64_t planned = 0;
  std::uint64_t in_progress = 0;
  std::uint64_t late_dispatches = 0;
  std::unordered_map<std::string, std::size_t> posts;          // idempotency key to the index of its result
  std::unordered_map<std::string, std::string> post_outcomes;  // key to the outcome stated by its refusal
  load_summary progress;  // its `lost` counts lost, doubled and wrong answers together

  std::map<host_port, time_point> unreachable_until;

  // Chooses a router at random. Like a load balancer, it skips a router that has refused a connection until the next
  // health check.
  host_port ChooseTarget() {
    std::vector<host_port> reachable;
    for (const host_port& target : settings.targets) {
      const auto found = unreachable_until.find(target);
      if (found == unreachable_until.end() || found->second <= timer_service::Now()) {
        reachable.push_back(target);
      }
    }
    const auto& choice = reachable.empty() ? settings.targets : reachable;
    return choice[target_random() % choice.size()];
  }

  void RecordFailure(const host_port& target, const error& failure) {
    if (failure.code == error_code::kUnavailable) {
      unreachable_until[target] = timer_service::Now() + kHealthCheckPeriod;
    }
  }

  http_request BuildRequest(const planned_request& plan, const std::string& prompt) const {
    http_request request;
    const std::string key = traffic.BuildKey(plan);
    request.headers.push_back({"X-Request-Id", key});
    if (!settings.api_key.empty()) {
      request.headers.push_back({"Authorization", "Bearer " + settings.api_key});
    }
    if (plan.kind == request_kind::kModel) {
      request.method = "POST";
      request.target = "/v1/completions";
      request.headers.push_back({"Content-Type", "application/json"});
      request.body = fmt::format(R"({{"model":"{}","max_tokens":{},"stream":{},"prompt":"{}"}})",
                                 settings.traffic.model, plan.output_tokens, plan.stream, prompt);
      return request;
    }
    request.method = plan.kind == request_kind::kPost ? "POST" : "GET";
    request.target = traffic.BuildServiceTarget(plan);
    if (plan.kind == request_kind::kPost) {
      request.headers.push_back({"Idempotency-Key", key});
      request.headers.push_back({"Content-Type", "application/json"});
      request.body = traffic.BuildServiceBody(plan);
    }
    return request;
  }

  task<attempt_result> SendStreaming(planned_request plan, std::string prompt, time_point begin,
                                     request_result& result) {
    attempt_result attempt;
    answer_checker checker(prompt, plan.output_tokens);
    event_reader reader(checker, begin);
    const host_port target = ChooseTarget();
    http_request request = BuildRequest(plan, prompt);
    const double limit = plan.disconnect_after_s > 0 ? plan.disconnect_after_s : settings.timeout_s;
    const milliseconds time_limit = ToMilliseconds(limit);
    http_client::line_handler on_line = [&reader](std::string_view line) { return reader.AddLine(line); };
    auto answer = co_await client.FetchLines(target, std::move(request), std::move(on_line), time_limit);
    result.tokens = checker.Received();
    result.first_token_s = reader.FirstTokenSeconds();
    result.token_interval_s = reader.IntervalSeconds();
    if (!answer) {
      RecordFailure(target, answer.error());
      ClassifyFailure(answer.error(), plan, answer.error().code == error_code::kTimeout, attempt);
    } else if (answer.value().status != 200) {
      ReadRefusal(answer.value(), attempt);
    } else if (reader.HasFailed()) {
      attempt.end = request_end::kRefused;
      attempt.code = reader.ErrorCode();
      attempt.outcome = reader.ErrorOutcome();
    } else if (!reader.IsDone()) {
      attempt.detail = "the stream ended without [DONE]";
    } else if (reader.IsMalformed()) {
      attempt.end = request_end::kWrong;
      attempt.detail = "an event is not valid JSON";
    } else {
      CheckTokens(checker, attempt);
    }
    co_return attempt;
  }

  task<attempt_result> SendBuffered(planned_request plan, std::string prompt, time_point begin,
                                    request_result& result) {
    attempt_result attempt;
    const host_port target = ChooseTarget();
    http_request request = BuildRequest(plan, prompt);
    const std::string path = request.target;
    const std::string body = request.body.Text();
    const double limit = plan.disconnect_after_s > 0 ? plan.disconnect_after_s : settings.timeout_s;
    const milliseconds time_limit = ToMilliseconds(limit);
    auto answer = co_await client.Fetch(target, std::move(request), time_limit);
    result.first_token_s = SecondsSince(begin);
    if (!answer) {
      RecordFailure(target, answer.error());
      ClassifyFailure(answer.error(), plan, answer.error().code == error_code::kTimeout, attempt);
      co_return attempt;
    }
    if (answer.value().status != 200) {
      ReadRefusal(answer.value(), attempt);
      co_return attempt;
    }
    boost::system::error_code failure;
    const json::value content = json::parse(answer.value().body, failure);
    if (failure) {
      attempt.end = request_end::kWrong;
      attempt.detail = "the answer is not valid JSON";
    } else if (plan.kind == request_kind::kModel) {
      answer_checker checker(prompt, plan.output_tokens);
      if (const json::string* text = FindAnswerText(content)) {
        checker.AddText(std::string_view(text->data(), text->size()));
      }
      result.tokens = checker.Received();
      CheckTokens(checker, attempt);
    } else {
      CheckServiceAnswer(content, path, body, plan, attempt);
    }
    co_return attempt;
  }

  static void CheckServiceAnswer(const json::value& content, const std::string& path, const std::string& body,
                                 const planned_request& plan, attempt_result& attempt) {
    const json::value* calls = FindField(content, "calls");
    const std::string hash = FindText(content, "body_hash");
    attempt.end = request_end::kAnswered;
    if (FindText(content, "path") != path) {
      attempt.end = request_end::kWrong;
      attempt.detail = fmt::format("the answer is for path '{}' instead of '{}'", FindText(content, "path"), path);
    } else if (!hash.empty() && plan.kind == request_kind::kPost && hash != HashText(body)) {
      attempt.end = request_end::kWrong;
      attempt.detail = "the answer is for another request body";
    } else if (plan.kind == request_kind::kPost && calls != nullptr && calls->is_int64() && calls->get_int64() > 1) {
      attempt.end = request_end::kDoubled;
      attempt.detail = fmt::format("the service received the call {} times", calls->get_int64());
    }
  }

  task<attempt_result> SendWithFailover(const planned_request& plan, const std::string& prompt, time_point begin,
                                        request_result& result) {
    for (int attempts = 1;; ++attempts) {
      attempt_result attempt;
      if (plan.kind == request_kind::kModel && plan.stream) {
        attempt = co_await SendStreaming(plan, prompt, begin, result);
      } else {
        attempt = co_await SendBuffered(plan, prompt, begin, result);
      }
      if (!attempt.unreachable) {
        co_return attempt;
      }
      if (attempts == kMaxConnectAttempts) {
        attempt.end = request_end::kRefused;
        attempt.code = kUnreachable;
        co_return attempt;
      }
    }
  }

  task<> RunCaller(planned_request plan) {
    request_result result;
    result.plan = plan;
    const std::string prompt = plan.kind == request_kind::kModel ? traffic.BuildPrompt(plan) : std::string();
    time_point begin = start + ToMicroseconds(plan.at_s);
    attempt_result attempt;
    while (true) {
      const time_point sent = timer_service::Now();
      attempt = co_await SendWithFailover(plan, prompt, begin, result);
      if (attempt.broken && !result.resent) {
        result.resent = true;
        continue;
      }
      if (attempt.end == request_end::kRefused) {
        result.refusal_s = SecondsSince(sent);
        if (plan.retries_after_refusal && !result.returned && attempt.retry_after_s > 0 &&
            attempt.retry_after_s <= kMaxRetryDelaySeconds) {
          result.returned = true;
          co_await timers.Sleep(ToMicroseconds(attempt.retry_after_s));
          begin = timer_service::Now();
          continue;
        }
      }
      break;
    }
    result.end = attempt.end;
    result.code = attempt.code;
    result.detail = attempt.detail;
    result.ended_s = SecondsSince(start);
    Finish(std::move(result), attempt.outcome);
  }

  void Finish(request_result result, const std::string& outcome) {
    --in_progress;
    progress.answered += result.end == request_end::kAnswered ? 1 : 0;
    progress.refused += result.end == request_end::kRefused ? 1 : 0;
    progress.in_time += IsInTime(result, settings.latency) ? 1 : 0;
    const bool is_incorrect =
        result.end == request_end::kLost || result.end == request_end::kDoubled || result.end == request_end::kWrong;
    progress.lost += is_incorrect ? 1 : 0;
    if (result.plan.kind == request_kind::kPost) {
      const std::string key = traffic.BuildKey(result.plan);
      posts[key] = results.size();
      post_outcomes[key] = outcome;
    }
    results.push_back(std::move(result));
  }

  // -------------------------------------------------------------------------------------------------------------------
  // 2. run
  // -------------------------------------------------------------------------------------------------------------------

  task<> Dispatch() {
    planned_request plan;
    asio::steady_timer timer(context);
    while (traffic.PlanNext(plan)) {
      const time_point due = start + ToMicroseconds(plan.at_s);
      if (due > timer_service::Now()) {
        timer.expires_at(due);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      }
      late_dispatches += SecondsSince(due) > kLateDispatchSeconds ? 1 : 0;
      ++planned;
      ++in_progress;
      asio::co_spawn(context, RunCaller(plan), asio::detached);
    }
    while (in_progress > 0) {
      const microseconds pause(5'000);
      co_await timers.Sleep(pause);
    }
    for (const host_port& service : settings.services) {
      co_await FetchCallCounts(service);
    }
    CheckCallCounts();
    context.stop();
  }

  void PrintProgress() const {
    fmt::print(stderr,
               "{:6.1f} s  sent {}  answered {}  in time {}  refused {}  lost, doubled or wrong {}  in progress {}\n",
               SecondsSince(start), planned, progress.answered, progress.in_time, progress.refused, progress.lost,
               in_progress);
  }

  // -------------------------------------------------------------------------------------------------------------------
  // 3. verification of the services' call counts
  // -------------------------------------------------------------------------------------------------------------------

  std::unordered_map<std::string, std::int64_t> calls;  // idempotency key to number of calls, over all services

  task<> FetchCallCounts(host_port service) {
    http_request request;
    request.method = "GET";
    request.target = "/calls";
    auto answer = co_await client.Fetch(service, std::move(request));
    if (!answer) {
      fmt::print(stderr, "cannot read the call counts of {}: {}\n", service.Text(), answer.error().message);
      co_return;
    }
    boost::system::error_code failure;
    const json::value content = json::parse(answer.value().body, failure);
    const json::value* counts = failure ? nullptr : FindField(content, "calls");
    if (counts == nullptr || !counts->is_object()) {
      fmt::print(stderr, "cannot read the call counts of {}: the answer has no object \"calls\"\n", service.Text());
      co_return;
    }
    static constexpr std::string_view kBodyPrefix = R"({"submission":")";
    for (const auto& item : counts->get_object()) {
      const std::string_view name(item.key().data(), item.key().size());
      const auto begin = name.find(kBodyPrefix);
      if (begin != std::string_view::npos && item.value().is_int64()) {
        const std::string_view rest = name.substr(begin + kBodyPrefix.size());
        calls[std::string(rest.substr(0, rest.find('"')))] += item.value().get_int64();
      }
    }
  }

  void CheckCallCounts() {
    if (settings.services.empty()) {
      return;
    }
    for (const auto& [key, index] : posts) {
      request_result& result = results[index];
      const auto found = calls.find(key);
      const std::int64_t count = found == calls.end() ? 0 : found->second;
      if (count > 1) {
        result.end = request_end::kDoubled;
        result.detail = fmt::format("the services received the call {} times", count);
      } else if (count == 1 && result.end == request_end::kRefused && post_outcomes[key] == "not_run") {
        result.end = request_end::kWrong;
        result.detail = "refused as not_run, but a service ran it";
      } else if (count == 0 && result.end == request_end::kAnswered) {
        result.end = request_end::kWrong;
        result.detail = "answered, but no service ran it";
      }
    }
  }
};

}  // namespace

load_summary RunLoad(const load_run_settings& settings) {
  load_run run(settings);
  run.start = timer_service::Now();
  timer_subscription progress;
  if (settings.show_progress) {
    progress = run.timers.SubscribeEvery(milliseconds(1'000), 0, [&run] { run.PrintProgress(); });
  }
  asio::co_spawn(run.context, run.Dispatch(), asio::detached);
  run.context.run();
  const double duration = SecondsSince(run.start);
  load_summary summary = SummarizeResults(run.results, settings.latency, run.traffic, duration);
  summary.late_dispatches = run.late_dispatches;
  return summary;
}

}  // namespace persimmon
