#include "fakes/fake_replica.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace persimmon::fakes {
namespace {

using json = nlohmann::json;

constexpr milliseconds kMuteTime(60'000);
constexpr milliseconds kGonePoll(2);

std::string Header(const http_request& request, const char* name) {
  return std::string(FindHeader(request.headers, name));
}

std::uint32_t PromptTokens(const http_request& request) {
  const std::string counts = Header(request, "Persimmonchute-Token-Count");
  std::uint32_t tokens = 0;
  std::from_chars(counts.data(), counts.data() + counts.size(), tokens);
  return tokens;
}

}  // namespace

fake_replica::fake_replica(asio::io_context& context, replica_options options)
    : options_(std::move(options)),
      timers_(context),
      server_(context, host_port{"127.0.0.1", 0}, http_limits{},
              [this](std::shared_ptr<http_exchange> exchange) { return Handle(std::move(exchange)); }) {}

fake_replica::~fake_replica() { Stop(); }

result<void> fake_replica::Start() { return server_.Start(); }

void fake_replica::Stop() { server_.Stop(); }

void fake_replica::Register(table_store& tables, bool draining) const {
  json entry = {{"service", options_.service},
                {"address", Address().Text()},
                {"zone", options_.zone},
                {"slots", 16},
                {"state", draining ? "draining" : "ready"},
                {"born", options_.started_ms},
                {"seq", 1}};
  if (!options_.stage.empty()) {
    entry["stage"] = options_.stage;
  }
  tables.Commit({{{"servers", options_.name}, entry.dump(), false, std::nullopt}});
}

void fake_replica::Unregister(table_store& tables) const {
  tables.Commit({{{"servers", options_.name}, std::nullopt, false, std::nullopt}});
}

int fake_replica::Runs(const std::string& attempt) const {
  const auto found = runs_.find(attempt);
  return found == runs_.end() ? 0 : found->second;
}

int fake_replica::TotalRuns() const {
  int total = 0;
  for (const auto& [attempt, count] : runs_) {
    total += count;
  }
  return total;
}

std::uint32_t fake_replica::ReservedTokens() const {
  std::uint32_t total = 0;
  for (const auto& [name, tokens] : holds_) {
    total += tokens;
  }
  return total;
}

header_list fake_replica::AnswerHeaders(const std::string& attempt) const {
  header_list headers = {{"Persimmonchute-Attempt-Id", attempt}};
  if (!faults_.unsealed) {
    headers.push_back({"Persimmonchute-Server-Seal", "seal." + options_.name + "." + attempt});
  }
  return headers;
}

http_response fake_replica::NotRun(int status) const {
  return {status, {{"Persimmonchute-Not-Executed", "1"}, {"Persimmonchute-Instance-Id", options_.name}}, {}};
}

task<> fake_replica::Handle(std::shared_ptr<http_exchange> exchange) {
  const http_request& request = exchange->Request();
  requests_.push_back(request);
  http_response response;
  const std::string expected = Header(request, "Persimmonchute-Expect-Instance");
  if (!expected.empty() && expected != options_.name) {
    response = NotRun(421);
  } else if (request.target == "/report") {
    response = JsonResponse(200, json{{"stage", options_.stage}, {"busy", faults_.switches}, {"seq", orders_}}.dump());
  } else if (request.target == "/hold-take") {
    response = Reserve(request);
  } else if (request.target.starts_with("/hold-drop/")) {
    response.status = holds_.erase(request.target.substr(11)) > 0 ? 200 : 404;
  } else if (request.target.starts_with("/kv-handle/")) {
    response.status = handles_.erase(request.target.substr(11)) > 0 ? 200 : 404;
  } else if (request.target == "/order") {
    response = Order(request);
  } else if (faults_.full) {
    response = NotRun(503);
  } else if (Header(request, "Persimmonchute-Stage") == "prefill") {
    co_return co_await Prefill(exchange);
  } else {
    co_return co_await Run(exchange);
  }
  (void)co_await exchange->Respond(std::move(response));
}

http_response fake_replica::Reserve(const http_request& request) {
  const json body = json::parse(request.body, nullptr, false);
  const std::uint32_t tokens = body.is_object() ? body.value("tokens", 0U) : 0;
  if (faults_.full || ReservedTokens() + tokens > options_.memory_tokens) {
    return NotRun(503);
  }
  const std::string name = fmt::format("hold{}", ++next_id_);
  holds_[name] = tokens;
  return JsonResponse(200, json{{"hold", name}}.dump());
}

// Reads the prompt after those that it has got before. `pace` in tokens a millisecond.
task<> fake_replica::ReadPrompt(const http_request& request, double pace) {
  if (pace <= 0) {
    co_return;
  }
  const std::uint32_t tokens = PromptTokens(request);
  ++prompts_now_;
  most_prompts_at_once_ = std::max(most_prompts_at_once_, prompts_now_);
  const auto reading = std::chrono::duration_cast<microseconds>(milliseconds(1) * (tokens / pace));
  prompts_end_ = std::max(prompts_end_, timer_service::Now()) + reading;
  co_await timers_.Sleep(std::chrono::duration_cast<microseconds>(prompts_end_ - timer_service::Now()));
  --prompts_now_;
}

task<> fake_replica::Prefill(std::shared_ptr<http_exchange> exchange) {
  const http_request& request = exchange->Request();
  if (options_.stage != "prefill") {
    auto refused = NotRun(421);
    (void)co_await exchange->Respond(std::move(refused));
    co_return;
  }
  ++prefills_;
  co_await ReadPrompt(request, options_.tokens_per_ms);
  const std::string handle = fmt::format("handle{}", ++next_id_);
  if (!faults_.handles_lapse) {
    handles_.insert(handle);
  }
  http_response response = JsonResponse(200, json{{"handle", handle}, {"tokens", 100}, {"version", 1}}.dump());
  response.headers.push_back({"Persimmonchute-Attempt-Id", Header(request, "Persimmonchute-Attempt-Id")});
  (void)co_await exchange->Respond(std::move(response));
}

http_response fake_replica::Order(const http_request& request) {
  const json body = json::parse(request.body, nullptr, false);
  const std::uint64_t fence = body.value("fencing_token", 0ULL);
  if (fence < highest_fence_) {
    return {412, {}, {}};
  }
  if (body.value("expected", 0) != orders_) {
    return {409, {}, {}};
  }
  highest_fence_ = fence;
  ++orders_;
  options_.stage = body.value("stage", options_.stage);
  return {202, {}, {}};
}

// A decode engine runs a request only with memory for it.
bool fake_replica::TakeMemory(const http_request& request) {
  const std::string hold = Header(request, "Persimmonchute-Kv-Hold");
  return options_.memory_tokens == 0 || hold.empty() || holds_.erase(hold) > 0;
}

task<> fake_replica::Run(std::shared_ptr<http_exchange> exchange) {
  const std::string attempt = Header(exchange->Request(), "Persimmonchute-Attempt-Id");
  const std::string budget = Header(exchange->Request(), "Persimmonchute-Deadline-Ms");
  if (options_.stage == "prefill" || faults_.switches || !TakeMemory(exchange->Request())) {
    auto refused = NotRun(options_.stage == "prefill" ? 421 : 503);
    (void)co_await exchange->Respond(std::move(refused));
    co_return;
  }
  ++runs_[attempt];
  ++running_now_;
  if (!faults_.crash_on.empty() && exchange->Request().body == faults_.crash_on) {
    --running_now_;
    Stop();
    co_return;
  }
  if (faults_.loses_answers) {
    exchange->AbortStream();
  } else if (faults_.mute) {
    const time_point end = timer_service::Now() + kMuteTime;
    while (!exchange->IsDisconnected() && timer_service::Now() < end) {
      co_await timers_.Sleep(kGonePoll);
    }
  } else if (faults_.fails) {
    http_response failed{500, AnswerHeaders(attempt), "failed"};
    (void)co_await exchange->Respond(std::move(failed));
  } else if (options_.stage == "decode") {
    if (Header(exchange->Request(), "Persimmonchute-Kv-Source").empty()) {
      own_prompts_.push_back(PromptTokens(exchange->Request()));
      co_await ReadPrompt(exchange->Request(), options_.tokens_per_ms / 2.0);
    }
    co_await Stream(exchange, attempt);
  } else {
    http_response answer{200, AnswerHeaders(attempt), "answer of " + options_.name + " to " + attempt};
    (void)co_await exchange->Respond(std::move(answer));
  }
  --running_now_;
}

task<> fake_replica::Stream(std::shared_ptr<http_exchange> exchange, std::string attempt) {
  std::uint32_t first = 0;
  const std::string resume = Header(exchange->Request(), "Last-Event-Id");
  std::from_chars(resume.data(), resume.data() + resume.size(), first);
  header_list headers = AnswerHeaders(attempt);
  headers.push_back({"Content-Type", "text/event-stream"});
  auto sent = co_await exchange->StartStream(200, std::move(headers));
  while (sent && faults_.endless_event && !exchange->IsDisconnected()) {
    std::string part(64U << 10U, 'x');
    sent = co_await exchange->WriteChunk(std::move(part));
  }
  std::uint32_t made = 0;
  for (std::uint32_t id = first + 1; sent && id <= options_.events; ++id) {
    if (faults_.break_after != 0 && made == faults_.break_after) {
      std::string half = fmt::format("id: {}\ndata: piece {}", id, id);  // an event that does not end
      (void)co_await exchange->WriteChunk(std::move(half));
      exchange->AbortStream();
      co_return;
    }
    std::string event = fmt::format("id: {}\ndata: piece {} of {}\n\n", id, id, attempt);
    sent = co_await exchange->WriteChunk(std::move(event));
    ++made;
    co_await timers_.Sleep(options_.event_pause);
  }
  if (sent) {
    (void)co_await exchange->FinishStream();
  }
}

}  // namespace persimmon::fakes
