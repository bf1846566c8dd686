#include "fakes/fake_replica.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "core/event_log.h"

namespace persimmon::fakes {
namespace {

using json = nlohmann::json;

constexpr const char* kComponent = "fake.replica";
constexpr milliseconds kHangDuration(60'000);
constexpr milliseconds kDisconnectPollInterval(2);
constexpr milliseconds kCrashLogTime(250);     // for the log lines of a crash; longer than the flush period of the log
constexpr milliseconds kStallBytePeriod(100);  // between two bytes of a stream that has stalled
constexpr int kCrashExitCode = 70;
constexpr std::size_t kStalledPartBytes = 4U << 10U;   // of one write of a body that stalls
constexpr std::size_t kEndlessPartBytes = 64U << 10U;  // of one write of a body or an event without end

std::string Header(const http_request& request, const char* name) {
  return std::string(FindHeader(request.headers, name));
}

// True if a header may hold the API key of a caller.
bool HasKey(const http_request& request) {
  return std::any_of(request.headers.begin(), request.headers.end(), [](const header_field& field) {
    return !FindHeader({field}, "Authorization").empty() || field.value.find("Bearer") != std::string::npos;
  });
}

bool HasPart(const http_request& request, const std::string& part) {
  const std::string parts = "," + Header(request, "Persimmonchute-Prompt-Prefix");
  return parts.find("," + part + ":") != std::string::npos;
}

const std::set<std::string>& EarlyRefusals() {
  static const std::set<std::string> names = {"", "no_id", "earlier_id", "own_id", "both_ids", "repeated"};
  return names;
}

// Bodies of continued streams that are none, by name of the fault. Each ends like an event.
const std::map<std::string, std::string>& WrongContinuations() {
  static const std::map<std::string, std::string> bodies = {
      {"no_id", "event: error\ndata: overloaded\n\n"},
      {"other_response", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
      {"error_text", "{\"error\":\"the engine has failed\"}\n\n"},
      {"empty", ""}};
  return bodies;
}

bool IsContinuation(const std::string& name) {
  return name.empty() || name == "restarts" || name == "skips" || WrongContinuations().contains(name);
}

std::uint32_t PromptTokens(const http_request& request) {
  const std::string header = Header(request, "Persimmonchute-Token-Count");
  std::uint32_t tokens = 0;
  std::from_chars(header.data(), header.data() + header.size(), tokens);
  return tokens;
}

}  // namespace

fake_replica::fake_replica(asio::io_context& context, replica_options options)
    : options_(std::move(options)),
      timers_(context),
      server_(context, options_.listen, http_limits{},
              [this](std::shared_ptr<http_exchange> exchange) { return Handle(std::move(exchange)); }) {}

fake_replica::~fake_replica() { Stop(); }

result<void> fake_replica::Start() { return server_.Start(); }

void fake_replica::Stop() { server_.Stop(); }

std::string fake_replica::EntryText(bool draining, std::uint64_t reports) const {
  json entry = {{"service", options_.service},
                {"address", Address().Text()},
                {"zone", options_.zone},
                {"slots", 16},
                {"state", draining ? "draining" : "ready"},
                {"born", options_.started_ms},
                {"seq", reports}};
  if (!options_.stage.empty()) {
    entry["stage"] = options_.stage;
    entry["models"] = json::array({json{{"name", "m"}, {"version", options_.weights_version}}});
  }
  if (!options_.version.empty()) {
    entry["version"] = options_.version;
  }
  return entry.dump();
}

void fake_replica::Register(table_store& tables, bool draining) const {
  tables.Commit({{{"servers", options_.name}, EntryText(draining, 1), false, std::nullopt}});
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
  for (const auto& [name, tokens] : reservations_) {
    total += tokens;
  }
  return total;
}

header_list fake_replica::ResponseHeaders(const std::string& attempt) const {
  header_list headers(faults_.doubled_id ? 2 : 1, {"Persimmonchute-Attempt-Id", attempt});
  if (!faults_.omits_seal) {
    headers.push_back({"Persimmonchute-Server-Seal", "seal." + options_.name + "." + attempt});
  }
  if (faults_.encoded) {
    headers.push_back({"Content-Encoding", "gzip"});
  }
  if (!faults_.server_load.empty()) {
    headers.push_back({"Persimmonchute-Server-Load", faults_.server_load});
  }
  AddOwnState(headers);
  return headers;
}

void fake_replica::AddOwnState(header_list& headers) const {
  if (faults_.leaving) {
    headers.push_back({"Server-Leaving", "1"});
  }
  if (!faults_.request_limit.empty()) {
    headers.push_back({"Server-Limit", faults_.request_limit});
  }
}

body_framing fake_replica::Framing() const {
  return faults_.states_length ? body_framing::kLength
         : faults_.unframed    ? body_framing::kConnectionEnd
                               : body_framing::kChunks;
}

http_response fake_replica::NotExecuted(int status) const {
  http_response response{
      status, {{"Persimmonchute-Not-Executed", "1"}, {"Persimmonchute-Instance-Id", options_.name}}, {}};
  if (status == 503 && faults_.retry_after.count() > 0) {
    const double seconds = static_cast<double>(faults_.retry_after.count()) / 1e3;
    response.headers.push_back({"Retry-After", fmt::format("{:.3f}", seconds)});
  }
  return response;
}

// Applies an object of faults by name, {"full":true,"retry_after_ms":500}; faults that are not listed here need a test
// in the same process.
http_response fake_replica::SetFaults(const std::string& body) {
  const json input = json::parse(body, nullptr, false);
  const json fields = input.is_object() ? input : json::object();
  const std::map<std::string, bool*> flags = {{"full", &faults_.full},
                                              {"rejects_work", &faults_.rejects_work},
                                              {"never_responds", &faults_.never_responds},
                                              {"omits_seal", &faults_.omits_seal},
                                              {"endless_body", &faults_.endless_body},
                                              {"endless_event", &faults_.endless_event},
                                              {"unframed", &faults_.unframed},
                                              {"breaks_in_order", &faults_.breaks_in_order},
                                              {"doubled_id", &faults_.doubled_id}};
  std::uint32_t retry_after_ms = 0;
  const std::map<std::string, std::uint32_t*> numbers = {{"retry_after_ms", &retry_after_ms},
                                                         {"break_after_events", &faults_.break_after_events},
                                                         {"early_status", &faults_.early_status},
                                                         {"unproven_status", &faults_.unproven_status},
                                                         {"cut_head_after_bytes", &faults_.cut_head_after_bytes}};
  for (const auto& [name, value] : fields.items()) {
    const bool is_text =
        value.is_string() &&
        (name == "request_limit" || (name == "early_refusal" && EarlyRefusals().contains(value.get<std::string>())) ||
         (name == "continuation" && IsContinuation(value.get<std::string>())));
    const bool is_flag = flags.contains(name) && value.is_boolean();
    const bool is_number = numbers.contains(name) && value.is_number_unsigned();
    if (!is_text && !is_flag && !is_number) {
      return JsonResponse(400, json{{"error", "unknown fault or a value of the wrong type: " + name}}.dump());
    }
  }
  for (const auto& [name, value] : fields.items()) {
    if (name == "request_limit") {
      faults_.request_limit = value.get<std::string>();
      Events().Line(kComponent, "limit_set").Add("endpoint", options_.name).Add("limit", faults_.request_limit);
    } else if (value.is_string()) {
      (name == "continuation" ? faults_.continuation : faults_.early_refusal) = value.get<std::string>();
    } else if (flags.contains(name)) {
      *flags.at(name) = value.get<bool>();
    } else {
      *numbers.at(name) = value.get<std::uint32_t>();
    }
  }
  if (fields.contains("retry_after_ms")) {
    faults_.retry_after = milliseconds(retry_after_ms);
  }
  return JsonResponse(200, "{}");
}

// `result`: "run", "prefill", "rejected", "rejected_prefill", or "control" for calls that are not a caller's request.
void fake_replica::LogArrival(const http_request& request, const char* result) const {
  if (options_.logs_arrivals) {
    Events()
        .Line(kComponent, "arrival")
        .Request(Header(request, "Persimmonchute-Attempt-Id"))
        .Add("endpoint", options_.name)
        .Add("service", options_.service)
        .Add("result", result)
        .Add("account", Header(request, "Persimmonchute-Tenant"))
        .Add("has_key", HasKey(request))
        .Add("retry_after_ms", std::string_view(result).starts_with("rejected") ? faults_.retry_after.count() : 0);
  }
}

// `has_carried`: the connection had carried the id of the request before.
void fake_replica::LogWrongReply(const http_request& request, const std::string& kind, bool has_carried) const {
  if (options_.logs_arrivals) {
    Events()
        .Line(kComponent, "wrong_reply")
        .Request(Header(request, "Persimmonchute-Attempt-Id"))
        .Add("endpoint", options_.name)
        .Add("kind", kind)
        .Add("has_carried", has_carried);
  }
}

task<> fake_replica::Handle(std::shared_ptr<http_exchange> exchange) {
  const http_request& request = exchange->Request();
  if (!options_.logs_arrivals) {
    requests_.push_back(request);  // kept for tests in the same process
    arrivals_.push_back(timer_service::Now());
  }
  http_response response;
  const std::string expected = Header(request, "Persimmonchute-Expect-Instance");
  const bool is_control = request.target == "/report" || request.target == "/order" || request.target == "/health" ||
                          request.target.starts_with("/hold-") || request.target.starts_with("/kv-handle/");
  if (is_control) {
    LogArrival(request, "control");
  }
  if (is_control && faults_.endless_control) {
    auto sent = co_await exchange->StartStream(200, {}, body_framing::kChunks);
    while (sent) {
      std::string filler(kEndlessPartBytes, 'x');
      sent = co_await exchange->WriteChunk(std::move(filler));
    }
    co_return;
  }
  if (!expected.empty() && expected != options_.name) {
    response = NotExecuted(421);
  } else if (request.target == "/report") {
    response =
        JsonResponse(200, json{{"stage", options_.stage}, {"busy", faults_.switching_stage}, {"seq", orders_}}.dump());
  } else if (request.target == "/hold-take") {
    const milliseconds delay = faults_.reserve_delay;
    co_await timers_.Sleep(delay);
    response = Reserve(request);
  } else if (request.target.starts_with("/hold-drop/")) {
    response.status = reservations_.erase(request.target.substr(11)) > 0 ? 200 : 404;
  } else if (request.target.starts_with("/kv-handle/")) {
    response.status = handles_.erase(request.target.substr(11)) > 0 ? 200 : 404;
  } else if (request.target == "/order") {
    response = ApplyOrder(request);
  } else if (request.target == "/faults") {
    response = SetFaults(request.body.Text());
  } else if (request.target == "/health") {
    response = {200, {{"Persimmonchute-Instance-Id", options_.name}}, {}};
  } else if (faults_.full || faults_.rejects_work ||
             (faults_.early_refusal == "repeated" && !refused_ids_.contains(request.remote))) {
    LogArrival(request, Header(request, "Persimmonchute-Stage") == "prefill" ? "rejected_prefill" : "rejected");
    const std::string attempt = Header(request, "Persimmonchute-Attempt-Id");
    carried_ids_[request.remote].push_back(attempt);
    refused_ids_[request.remote] = attempt;
    response = NotExecuted(503);
  } else {
    co_await WriteEarlyRefusal(exchange);
    if (Header(request, "Persimmonchute-Stage") == "prefill") {
      co_return co_await ServePrefill(exchange);
    }
    co_return co_await ServeRequest(exchange);
  }
  co_await Respond(exchange, std::move(response));
}

// Sends a response that the replica makes without running a request. Refusals repeat the attempt id.
task<> fake_replica::Respond(std::shared_ptr<http_exchange> exchange, http_response response) {
  const std::string attempt = Header(exchange->Request(), "Persimmonchute-Attempt-Id");
  if (!attempt.empty() && !FindHeader(response.headers, "Persimmonchute-Not-Executed").empty()) {
    response.headers.push_back({"Persimmonchute-Attempt-Id", attempt});
  }
  AddOwnState(response.headers);
  (void)co_await exchange->Respond(std::move(response));
}

http_response fake_replica::Reserve(const http_request& request) {
  const json body = json::parse(request.body.Text(), nullptr, false);
  const std::uint32_t tokens = body.is_object() ? body.value("tokens", 0U) : 0;
  if (faults_.full || ReservedTokens() + tokens > options_.memory_tokens) {
    return NotExecuted(503);
  }
  const std::string name = fmt::format("hold{}", ++next_id_);
  reservations_[name] = tokens;
  return JsonResponse(200, json{{"hold", name}}.dump());
}

// Waits for the simulated prefill of the prompt, which starts after those of all earlier prompts. `rate` is in tokens
// per millisecond; 0: without delay.
task<> fake_replica::SimulatePrefill(const http_request& request, double rate) {
  if (rate <= 0) {
    co_return;
  }
  const std::uint32_t tokens = PromptTokens(request);
  ++pending_prompts_;
  max_pending_prompts_ = std::max(max_pending_prompts_, pending_prompts_);
  const auto duration = std::chrono::duration_cast<microseconds>(milliseconds(1) * (tokens / rate));
  prefills_end_ = std::max(prefills_end_, timer_service::Now()) + duration;
  co_await timers_.Sleep(std::chrono::duration_cast<microseconds>(prefills_end_ - timer_service::Now()));
  --pending_prompts_;
}

task<> fake_replica::ServePrefill(std::shared_ptr<http_exchange> exchange) {
  const http_request& request = exchange->Request();
  LogArrival(request, options_.stage == "prefill" ? "prefill" : "rejected_prefill");
  if (options_.stage != "prefill") {
    auto refused = NotExecuted(421);
    co_await Respond(exchange, std::move(refused));
    co_return;
  }
  ++prefills_;
  if (CrashesOn(request)) {
    co_return co_await Crash();
  }
  co_await SimulatePrefill(request, options_.tokens_per_ms);
  const std::string handle = fmt::format("handle{}", ++next_id_);
  if (!faults_.handles_expire) {
    handles_.insert(handle);
  }
  http_response response = JsonResponse(200, json{{"handle", handle}, {"tokens", 100}, {"version", 1}}.dump());
  response.headers.push_back({"Persimmonchute-Attempt-Id", Header(request, "Persimmonchute-Attempt-Id")});
  AddOwnState(response.headers);
  co_await Answer(exchange, std::move(response));
}

http_response fake_replica::ApplyOrder(const http_request& request) {
  const json body = json::parse(request.body.Text(), nullptr, false);
  const std::uint64_t fencing_token = body.value("fencing_token", 0ULL);
  if (fencing_token < highest_fencing_token_) {
    return {412, {}, {}};
  }
  if (body.value("expected", 0) != orders_) {
    return {409, {}, {}};
  }
  highest_fencing_token_ = fencing_token;
  ++orders_;
  options_.stage = body.value("stage", options_.stage);
  return {202, {}, {}};
}

// A decode engine runs a request only if the reservation that it names still exists; running it consumes the
// reservation.
bool fake_replica::ConsumeReservation(const http_request& request) {
  const std::string hold = Header(request, "Persimmonchute-Kv-Hold");
  return options_.memory_tokens == 0 || hold.empty() || reservations_.erase(hold) > 0;
}

task<> fake_replica::ServeRequest(std::shared_ptr<http_exchange> exchange) {
  const std::string attempt = Header(exchange->Request(), "Persimmonchute-Attempt-Id");
  const std::string budget = Header(exchange->Request(), "Persimmonchute-Deadline-Ms");
  if (options_.stage == "prefill" || faults_.switching_stage || !ConsumeReservation(exchange->Request())) {
    LogArrival(exchange->Request(), "rejected");
    auto refused = NotExecuted(options_.stage == "prefill" ? 421 : 503);
    co_await Respond(exchange, std::move(refused));
    co_return;
  }
  LogArrival(exchange->Request(), "run");
  ++runs_[attempt];
  ++running_count_;
  if (!faults_.crash_on.empty() && exchange->Request().body == faults_.crash_on) {
    --running_count_;
    Stop();
    co_return;
  }
  co_await DelayAnswer(exchange);
  if (faults_.drops_responses) {
    exchange->AbortStream();
  } else if (faults_.never_responds) {
    const time_point end = timer_service::Now() + kHangDuration;
    while (!exchange->IsDisconnected() && timer_service::Now() < end) {
      co_await timers_.Sleep(kDisconnectPollInterval);
    }
  } else if (faults_.cut_head_after_bytes != 0) {
    co_await CutHead(exchange, attempt);
  } else if (faults_.unproven_status != 0) {
    LogWrongReply(exchange->Request(), "unproven_status");
    http_response unproven{static_cast<int>(faults_.unproven_status), {{"Persimmonchute-Attempt-Id", attempt}}, {}};
    co_await Answer(exchange, std::move(unproven));
  } else if (faults_.returns_500) {
    http_response failed{500, ResponseHeaders(attempt), "failed"};
    co_await Answer(exchange, std::move(failed));
  } else if (options_.stage.empty() && exchange->Request().target.starts_with("/feed/")) {
    co_await StreamEvents(exchange, attempt);
  } else if (options_.stage == "decode") {
    if (Header(exchange->Request(), "Persimmonchute-Kv-Source").empty()) {
      local_prefill_tokens_.push_back(PromptTokens(exchange->Request()));
      co_await SimulatePrefill(exchange->Request(), options_.tokens_per_ms / 2.0);
    }
    co_await StreamEvents(exchange, attempt);
  } else {
    if (options_.work_time.count() > 0) {
      co_await timers_.Sleep(options_.work_time);
    }
    http_response answer{200, ResponseHeaders(attempt), "answer of " + options_.name + " to " + attempt};
    co_await Answer(exchange, std::move(answer));
  }
  --running_count_;
}

// Writes what the fault early_refusal states.
task<> fake_replica::WriteEarlyRefusal(std::shared_ptr<http_exchange> exchange) {
  const std::string& remote = exchange->Request().remote;
  const std::string own = Header(exchange->Request(), "Persimmonchute-Attempt-Id");
  std::vector<std::string>& carried = carried_ids_[remote];
  const bool has_carried = std::find(carried.begin(), carried.end(), own) != carried.end();
  const auto other = std::find_if(carried.rbegin(), carried.rend(), [&own](const auto& id) { return id != own; });
  const std::string earlier = other == carried.rend() ? "earlier-" + options_.name : *other;
  carried.push_back(own);
  const std::map<std::string, std::vector<std::string>> ids = {
      {"no_id", {}}, {"earlier_id", {earlier}}, {"own_id", {own}}, {"both_ids", {own, earlier}}};
  std::vector<std::string> stated;
  if (faults_.early_refusal == "repeated") {
    stated = {refused_ids_[remote]};
    refused_ids_.erase(remote);
  } else if (ids.contains(faults_.early_refusal)) {
    stated = ids.at(faults_.early_refusal);
  } else {
    co_return;
  }
  std::string text = fmt::format("HTTP/1.1 {} Refused\r\nPersimmonchute-Not-Executed: 1\r\n", faults_.early_status);
  for (const std::string& id : stated) {
    text += "Persimmonchute-Attempt-Id: " + id + "\r\n";
  }
  text += "Content-Length: 0\r\n\r\n";
  LogWrongReply(exchange->Request(), faults_.early_refusal, has_carried);
  (void)co_await exchange->WriteRaw(std::move(text));
}

// Breaks off in the head of the response of a request that has run.
task<> fake_replica::CutHead(std::shared_ptr<http_exchange> exchange, std::string attempt) {
  std::string head = "HTTP/1.1 200 OK\r\n";
  for (const header_field& field : ResponseHeaders(attempt)) {
    head += field.name + ": " + field.value + "\r\n";
  }
  head += "Content-Type: text/event-stream\r\n";
  head.resize(std::min<std::size_t>(head.size(), faults_.cut_head_after_bytes));
  LogWrongReply(exchange->Request(), "cut_head");
  (void)co_await exchange->WriteRaw(std::move(head));
  exchange->AbortStream();
}

// Waits for answer_delay; the fault may change meanwhile.
task<> fake_replica::DelayAnswer(std::shared_ptr<http_exchange> exchange) {
  const time_point begin = timer_service::Now();
  while (timer_service::Now() < begin + faults_.answer_delay && !exchange->IsDisconnected()) {
    co_await timers_.Sleep(kDisconnectPollInterval);
  }
}

// Sends the response of a plain call that has run.
task<> fake_replica::Answer(std::shared_ptr<http_exchange> exchange, http_response answer) {
  if (!faults_.unframed && !faults_.endless_body && faults_.stall_after_bytes == 0) {
    (void)co_await exchange->Respond(std::move(answer));
    co_return;
  }
  auto sent = co_await exchange->StartStream(answer.status, std::move(answer.headers), Framing());
  if (sent && faults_.stall_after_bytes > 0) {
    co_return co_await SendWithoutEnd(exchange, faults_.stall_after_bytes);
  }
  if (faults_.cut_after_bytes) {
    std::string part = answer.body.substr(0, *faults_.cut_after_bytes);
    (void)co_await exchange->WriteChunk(std::move(part));
    co_await timers_.Sleep(faults_.cut_delay);
    co_await BreakOff(exchange);
    co_return;
  }
  do {
    std::string part = faults_.endless_body ? std::string(kEndlessPartBytes, 'x') : answer.body;
    if (sent) {
      sent = co_await exchange->WriteChunk(std::move(part));
    }
  } while (sent && faults_.endless_body);
  if (sent) {
    (void)co_await exchange->FinishStream();
  }
}

// Sends so many bytes of a body, and then nothing until the caller leaves.
task<> fake_replica::SendWithoutEnd(std::shared_ptr<http_exchange> exchange, std::size_t bytes) {
  result<void> written = outcome::success();
  for (std::size_t sent = 0; written && sent < bytes; sent += kStalledPartBytes) {
    std::string part(std::min(kStalledPartBytes, bytes - sent), 'x');
    written = co_await exchange->WriteChunk(std::move(part));
  }
  while (!exchange->IsDisconnected()) {
    co_await timers_.Sleep(kDisconnectPollInterval);
  }
}

// True if the request has the part that crashes the endpoint; writes a line then.
bool fake_replica::CrashesOn(const http_request& request) const {
  if (faults_.crash_on_part.empty() || !HasPart(request, faults_.crash_on_part)) {
    return false;
  }
  Events()
      .Line(kComponent, "crash")
      .Request(Header(request, "Persimmonchute-Attempt-Id"))
      .Add("endpoint", options_.name)
      .Add("part", faults_.crash_on_part);
  return true;
}

task<> fake_replica::Crash() {
  Stop();
  if (options_.exits_after_crash) {
    co_await timers_.Sleep(kCrashLogTime);
    std::_Exit(kCrashExitCode);
  }
}

task<> fake_replica::BreakOff(std::shared_ptr<http_exchange> exchange) {
  if (faults_.breaks_in_order) {
    (void)co_await exchange->FinishStream();
  } else {
    exchange->AbortStream();
  }
  if (faults_.stops_at_cut) {
    Stop();
  }
}

task<> fake_replica::StreamEvents(std::shared_ptr<http_exchange> exchange, std::string attempt) {
  std::uint32_t last_event_id = 0;
  const std::string resume = Header(exchange->Request(), "Last-Event-Id");
  std::from_chars(resume.data(), resume.data() + resume.size(), last_event_id);
  const std::string continuation = resume.empty() ? std::string() : faults_.continuation;
  const auto wrong = WrongContinuations().find(continuation);
  last_event_id = continuation == "restarts" ? 0 : last_event_id + (continuation == "skips" ? 1 : 0);
  if (!continuation.empty()) {
    LogWrongReply(exchange->Request(), "continuation_" + continuation);
  }
  header_list headers = ResponseHeaders(attempt);
  headers.push_back({"Content-Type", continuation == "error_text" ? "application/json" : "text/event-stream"});
  const auto event_text = [&attempt](std::uint32_t id) {
    return fmt::format("id: {}\ndata: piece {} of {}\n\n", id, id, attempt);
  };
  std::string whole;
  for (std::uint32_t id = last_event_id + 1; id <= options_.events; ++id) {
    whole += event_text(id);
  }
  if (faults_.states_length) {
    headers.push_back({"Content-Length", std::to_string(whole.size())});
  }
  auto sent = co_await exchange->StartStream(200, std::move(headers), Framing());
  if (wrong != WrongContinuations().end()) {
    std::string body = wrong->second;
    (void)co_await exchange->WriteChunk(std::move(body));
    (void)co_await exchange->FinishStream();
    co_return;
  }
  if (CrashesOn(exchange->Request())) {
    co_return co_await Crash();
  }
  if (faults_.cut_after_bytes) {
    std::string part = whole.substr(0, *faults_.cut_after_bytes);
    (void)co_await exchange->WriteChunk(std::move(part));
    co_await timers_.Sleep(faults_.cut_delay);
    co_await BreakOff(exchange);
    co_return;
  }
  if (sent && faults_.stall_after_bytes > 0) {
    co_return co_await SendWithoutEnd(exchange, faults_.stall_after_bytes);
  }
  while (sent && faults_.endless_event && !exchange->IsDisconnected()) {
    std::string filler(kEndlessPartBytes, 'x');
    sent = co_await exchange->WriteChunk(std::move(filler));
  }
  std::uint32_t sent_events = 0;
  for (std::uint32_t id = last_event_id + 1; sent && id <= options_.events; ++id) {
    if (faults_.break_after_events != 0 && sent_events == faults_.break_after_events) {
      std::string incomplete = fmt::format("id: {}\ndata: piece {}", id, id);  // an event without its end
      (void)co_await exchange->WriteChunk(std::move(incomplete));
      co_await BreakOff(exchange);
      co_return;
    }
    if (faults_.stall_after_events != 0 && sent_events == faults_.stall_after_events) {
      while (sent && !exchange->IsDisconnected()) {
        std::string byte = ":";
        sent = co_await exchange->WriteChunk(std::move(byte));
        co_await timers_.Sleep(kStallBytePeriod);
      }
      co_return;
    }
    std::string event = event_text(id);
    sent = co_await exchange->WriteChunk(std::move(event));
    ++sent_events;
    co_await timers_.Sleep(options_.event_interval);
  }
  if (sent) {
    (void)co_await exchange->FinishStream();
  }
}

}  // namespace persimmon::fakes
