#include "direct/plain_calls.h"

#include <fmt/format.h>

#include "core/event_log.h"
#include "core/random.h"

namespace persimmon {
namespace {

constexpr const char* kPart = "router.plain";
// Longer answers are passed on while they arrive, and can then not be replaced by those of a second try.
constexpr std::size_t kMaxKeptBytes = 256U << 10U;
constexpr std::uint32_t kMaxConnectTries = 4;  // endpoints that could not be reached, for one request
constexpr milliseconds kMinTimeLeft(20);       // a try with less time cannot succeed
constexpr int kFirstServerError = 500;

bool IsPromise(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

}  // namespace

send_budget& send_budgets::For(const std::string& service) {
  const auto& deployment = settings_.deployment;
  send_budget_settings limits;
  limits.ratio = deployment.budget_ratio;
  limits.slack = deployment.budget_slack;
  limits.window = deployment.budget_window;
  send_budget& budget = budgets_.try_emplace(service, limits).first->second;
  budget.SetRouters(kernel_.Find<router_group>("group").RouterCount());
  return budget;
}

plain_calls::plain_calls(kernel& services, const direct_settings& settings, http_client& client)
    : kernel_(services), settings_(settings), client_(client) {}

void plain_calls::Start() {
  board_ = &kernel_.Find<endpoint_board>("board");
  budgets_ = &kernel_.Find<send_budgets>("budgets");
  crashes_ = &kernel_.Find<crash_guard>("crashes");
}

milliseconds plain_calls::RetryAfter() const {
  return std::chrono::duration_cast<milliseconds>(settings_.plain_retry_after * (1 + RandomUnit()));
}

std::optional<chosen_endpoint> plain_calls::Choose(const direct_call& call,
                                                   const std::vector<endpoint_name>& avoid) const {
  const auto endpoints = board_->List(call.Service().name, std::nullopt);
  auto views = board_->PlainViews(endpoints, avoid);
  const service_request wanted{settings_.deployment.zone, RandomNumber()};
  const auto index = ChooseService(views, wanted, selection_settings{});
  return index ? std::optional(endpoints[*index]) : std::nullopt;
}

task<call_outcome> plain_calls::Serve(direct_call_ptr call) {
  const route_record& route = call->Route();
  const bool is_idempotent = route.kind == call_kind::kIdempotent;
  send_budget& budget = budgets_->For(call->Service().name);
  budget.NoteRequest(timer_service::Now());
  if (const auto refused = crashes_->RefusedFor(call->Fingerprint())) {
    co_return co_await call->Refuse("crashes_endpoints", *refused);
  }
  std::vector<endpoint_name> avoid;
  std::uint32_t unreachable = 0;
  bool may_have_run = false;
  std::optional<attempt> failed_answer;  // a failure of an endpoint, passed on if no other try succeeds
  while (true) {
    const time_point now = timer_service::Now();
    const bool is_first = call->sends == 0;
    const bool has_time = call->TimeLeft(now) > kMinTimeLeft;
    if (call->IsCallerGone()) {
      co_return call->NoteGone();
    }
    const bool may_send = has_time && call->sends < route.max_attempts && unreachable < kMaxConnectTries;
    auto endpoint = may_send ? Choose(*call, avoid) : std::nullopt;
    if (endpoint && !is_first && !budget.AllowSend(now)) {
      call->reason = "budget_spent";
      endpoint.reset();
    }
    if (!endpoint) {
      break;
    }
    const bool may_repeat = is_idempotent && call->sends + 1 < route.max_attempts;
    time_point end = call->End();
    if (may_repeat) {
      const auto patience = route.target_latency * settings_.second_try_share;
      end = std::min(end, now + std::chrono::duration_cast<microseconds>(patience));
    }
    attempt done = co_await Try(call, *endpoint, end, may_repeat);
    avoid.push_back(endpoint->name);
    if (done.result == try_result::kNotSent) {
      ++unreachable;
      continue;
    }
    ++call->sends;
    call->endpoints += (call->endpoints.empty() ? "" : ",") + endpoint->name.value;
    if (done.is_streamed) {
      co_return done.streamed;
    }
    if (done.result == try_result::kAnswered) {
      const bool is_failure = done.answer.status >= kFirstServerError;
      if (!is_failure || !may_repeat) {
        co_return co_await PassOn(call, done);
      }
      failed_answer = std::move(done);
    } else if (done.result == try_result::kMayHaveRun) {
      may_have_run = true;
      call->reason = done.failure;
      if (!is_idempotent) {
        break;
      }
    } else if (done.result == try_result::kCallerGone) {
      co_return call->NoteGone();
    }
  }
  if (failed_answer) {
    co_return co_await PassOn(call, *failed_answer);
  }
  if (may_have_run) {
    const bool timed_out = call->TimeLeft(timer_service::Now()) <= kMinTimeLeft;
    co_return co_await call->Fail(timed_out ? 504 : 502, timed_out ? "timeout" : "endpoint_lost");
  }
  co_return co_await call->Refuse(call->sends == 0 ? "no_endpoint" : "endpoints_full", RetryAfter());
}

task<plain_calls::attempt> plain_calls::Try(direct_call_ptr call, chosen_endpoint endpoint, time_point end,
                                            bool may_repeat) {
  attempt done;
  http_call exchange(client_);
  call->OnCallerGone([&exchange] { exchange.Cancel(); });
  board_->AddCall(endpoint.name, 1);
  crashes_->NoteStart(call->Fingerprint(), endpoint);
  const time_point begin = timer_service::Now();
  auto request = platform::MakeCall(call->Forwarded(), endpoint.name, call->TimeLeft(begin));
  auto head = co_await exchange.Send(endpoint.address, std::move(request), end, AnswersAttempt(call->Terms().attempt));
  std::optional<error> failure;
  if (!head) {
    failure = head.error();
    done.result = failure->code == error_code::kUnavailable ? try_result::kNotSent : try_result::kMayHaveRun;
  } else {
    const auto answer = platform::ReadAnswer(head.value());
    done.answer = {head.value().status, platform::PassedHeaders(head.value().headers), {}};
    bool complete = false;
    while (!complete && !failure) {
      auto piece = co_await exchange.Read(end);
      if (!piece) {
        failure = piece.error();
        break;
      }
      complete = piece.value().empty();
      const bool is_long = done.answer.body.size() + piece.value().size() > kMaxKeptBytes;
      if (is_long && !done.is_streamed && answer.is_genuine) {
        done.is_streamed = true;
        (void)co_await call->Exchange().StartStream(done.answer.status, done.answer.headers);
        end = call->End();
      }
      done.answer.body += piece.value();
      if (done.is_streamed) {
        std::string bytes = std::exchange(done.answer.body, {});
        auto written = co_await call->Exchange().WriteChunk(std::move(bytes));
        if (!written) {
          failure = written.error();
        }
      }
    }
    const bool is_success = done.answer.status < 400;
    if (answer.proves_not_run) {
      done.result = try_result::kNotRun;
    } else if (failure) {
      done.result = try_result::kMayHaveRun;
    } else if (!answer.is_genuine || answer.is_encoded || (IsPromise(done.answer.status) && !is_success)) {
      // Not the endpoint's own whole answer, or a status that would promise the caller that the call has not run.
      done.result = try_result::kMayHaveRun;
      done.failure = "answer_not_genuine";
    } else {
      done.result = try_result::kAnswered;
    }
  }
  call->ClearCancel();
  board_->AddCall(endpoint.name, -1);
  if (failure) {
    done.failure = ErrorName(failure->code);
  }
  if (failure && failure->code == error_code::kClosed) {
    crashes_->NoteBroken(call->Fingerprint(), endpoint, call->Service().health_path);
  } else {
    crashes_->NoteEnd(call->Fingerprint(), endpoint, done.result == try_result::kAnswered);
  }
  if (call->IsCallerGone()) {
    done.result = try_result::kCallerGone;
  } else if (done.result == try_result::kNotSent) {
    board_->NoteUnreachable(endpoint);
  } else if (done.result == try_result::kMayHaveRun) {
    board_->NoteFailure(endpoint);
  } else {
    board_->NoteAnswer(endpoint);
  }
  if (done.is_streamed) {
    if (failure) {
      done.streamed = call->BreakOff("answer_broken");
    } else {
      auto finished = co_await call->Exchange().FinishStream();
      done.streamed = finished ? call_outcome::kAnswered : call_outcome::kCallerGone;
    }
  }
  if (done.result != try_result::kAnswered) {
    const auto took = std::chrono::duration_cast<milliseconds>(timer_service::Now() - begin);
    Events()
        .Line(kPart, "try_failed")
        .Request(call->Terms().attempt)
        .Add("endpoint", endpoint.name.value)
        .Add("result", static_cast<int>(done.result))
        .Add("failure", done.failure)
        .Add("detail", failure ? failure->message : "")
        .Add("reused", exchange.IsReused())
        .Add("may_repeat", may_repeat)
        .Add("took_ms", took.count());
  }
  co_return done;
}

task<call_outcome> plain_calls::PassOn(direct_call_ptr call, attempt& done) {
  auto written = co_await call->Exchange().Respond(std::move(done.answer));
  if (!written) {
    co_return call->NoteGone();
  }
  call->reason = "whole_answer";
  co_return call_outcome::kAnswered;
}

}  // namespace persimmon
