// Sections
//   1. prompts and tokens
//   2. prefix cache and cache events
//   3. engine state
//   4. prefill
//   5. transfer
//   6. decode
//   7. commands, state, faults
//   8. requests
#include "fakes/fake_engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "core/log.h"
#include "core/random.h"
#include "net/http.h"
#include "persimmon/prefix_index.h"

namespace persimmon {
namespace {

using json = nlohmann::json;

constexpr std::uint32_t kPieceTokens = 2'000;
constexpr std::size_t kMaxCacheEvents = 10'000;
constexpr milliseconds kLoadSamplePeriod(20);
constexpr int kCrashExitCode = 3;

const logger& Log() {
  static const logger log("fake.engine");
  return log;
}

std::string Line(const json& value) { return value.dump() + "\n"; }

http_response JsonReply(int status, const json& value) { return JsonResponse(status, value.dump()); }

// Wakes all waiting coroutines at once.
class notifier {
 public:
  explicit notifier(asio::io_context& context) : timer_(context, asio::steady_timer::time_point::max()) {}

  task<> Wait() {
    boost::system::error_code ignored;
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  void NotifyAll() { timer_.cancel(); }

 private:
  asio::steady_timer timer_;
};

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. prompts and tokens
// ---------------------------------------------------------------------------------------------------------------------

std::string FakeToken(std::string_view prompt, std::uint32_t number) {
  return fmt::format("w{:x} ", XXH64(prompt.data(), prompt.size(), number) & 0xffffffU);
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. prefix cache and cache events
// ---------------------------------------------------------------------------------------------------------------------

namespace {

struct stored_event {
  std::uint64_t sequence = 0;
  std::uint64_t prefix = 0;
  bool stored = true;
  time_point visible_from;
};

// Blocks in order of their last use; the least recently used are evicted.
class prefix_cache {
 public:
  explicit prefix_cache(std::size_t blocks) : capacity_(blocks) {}

  // Number of leading blocks that are cached.
  std::size_t CountCached(const std::vector<std::uint64_t>& hashes) const {
    std::size_t count = 0;
    while (count < hashes.size() && entries_.count(hashes[count]) != 0) {
      ++count;
    }
    return count;
  }

  template <class function>
  void Store(const std::vector<std::uint64_t>& hashes, function on_change) {
    for (const std::uint64_t hash : hashes) {
      const auto found = entries_.find(hash);
      if (found != entries_.end()) {
        order_.splice(order_.end(), order_, found->second);
        continue;
      }
      entries_[hash] = order_.insert(order_.end(), hash);
      on_change(hash, true);
    }
    while (entries_.size() > capacity_) {
      const std::uint64_t oldest = order_.front();
      order_.pop_front();
      entries_.erase(oldest);
      on_change(oldest, false);
    }
  }

 private:
  std::size_t capacity_;
  std::list<std::uint64_t> order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> entries_;
};

// A prefill and the KV cache that it produces.
struct prefill_job {
  explicit prefill_job(asio::io_context& context) : changed(context) {}

  std::string id;
  std::string kv;
  std::string prompt;
  int priority = 0;
  std::uint64_t sequence = 0;
  std::uint32_t tokens = 0;
  std::uint32_t cached = 0;
  std::uint32_t pieces = 1;
  std::uint32_t pieces_done = 0;
  bool started = false;
  bool finished = false;
  bool ended = false;               // cancelled or evicted
  std::set<std::uint32_t> fetched;  // pieces that a decode has fetched
  notifier changed;
  timer_subscription eviction;

  std::uint32_t PieceEnd(std::uint32_t piece) const { return std::min(tokens, (piece + 1) * kPieceTokens); }
  std::uint32_t PieceTokens(std::uint32_t piece) const { return PieceEnd(piece) - piece * kPieceTokens; }
};

struct decode_job {
  explicit decode_job(asio::io_context& context) : changed(context) {}

  std::string id;
  std::string prompt;
  std::uint32_t memory_tokens = 0;  // of its KV cache
  std::uint32_t next = 0;           // number of the next token
  std::uint32_t end = 0;
  bool running = false;
  bool ended = false;     // finished or cancelled
  std::string failure;    // of an ended job; empty: it finished
  std::string unwritten;  // lines for the caller
  notifier changed;
};

using prefill_ptr = std::shared_ptr<prefill_job>;
using decode_ptr = std::shared_ptr<decode_job>;
using exchange_ptr = std::shared_ptr<http_exchange>;

struct fence_number {
  std::uint64_t revision = 0;
  std::uint64_t incarnation = 0;

  // A newer incarnation outranks any revision: a paused former holder may have learned a higher revision.
  bool IsOlderThan(const fence_number& other) const {
    return std::pair(incarnation, revision) < std::pair(other.incarnation, other.revision);
  }
  json ToJson() const { return {{"revision", revision}, {"incarnation", incarnation}}; }
};

http_client_limits TransferLimits(const fake_engine_options& options) {
  http_client_limits limits;
  limits.response_timeout = milliseconds(options.piece_timeout_ms);
  return limits;
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 3. engine state
// ---------------------------------------------------------------------------------------------------------------------

struct fake_engine::state : std::enable_shared_from_this<fake_engine::state> {
  state(asio::io_context& context, fake_engine_options values)
      : context(context),
        options(std::move(values)),
        timers(context),
        client(context, TransferLimits(options)),
        cache(static_cast<std::size_t>(options.prefix_cache_tokens) / kBlockTokens),
        roles(options.roles) {}

  asio::io_context& context;
  fake_engine_options options;
  timer_service timers;
  http_client client;
  std::unique_ptr<http_server> server;
  timer_subscription sampling;

  prefix_cache cache;
  std::deque<stored_event> events;
  std::uint64_t last_event = 0;

  std::map<std::string, prefill_ptr> prefills;  // by KV id
  std::map<std::string, decode_ptr> decodes;    // by request id
  std::uint64_t last_prefill = 0;
  std::uint64_t prefill_tokens_total = 0;  // computed, without those from the prefix cache
  std::uint64_t prefill_tokens_used = 0;   // of KV caches that a decode has fetched whole
  bool prefill_loop_runs = false;
  bool decode_loop_runs = false;
  time_point send_link_free;     // when the outgoing link has sent all that was asked for
  time_point receive_link_free;  // the same for the incoming link

  std::vector<std::string> roles;
  std::vector<std::string> models;  // empty: any model
  std::vector<std::string> adapters;
  std::optional<fence_number> highest_fence;
  std::deque<std::pair<time_point, std::string>> load_samples;

  double slow_factor = 1;
  bool stall_transfers = false;
  std::string crash_text;

  bool HasRole(std::string_view role) const { return std::find(roles.begin(), roles.end(), role) != roles.end(); }

  // A loaded model is "name" or "name@version"; requests name it without the version.
  bool HasModel(const std::string& model) const {
    return models.empty() || std::any_of(models.begin(), models.end(), [&model](const std::string& loaded) {
             return loaded.substr(0, loaded.find('@')) == model;
           });
  }

  microseconds Delay(double seconds) const {
    return microseconds(static_cast<std::int64_t>(seconds * slow_factor * 1e6));
  }

  // Time until a shared link has carried the tokens of a piece.
  time_point UseLink(time_point& link_free, std::uint32_t tokens) const {
    const double seconds = tokens * options.kv_bytes_per_token / options.link_bytes_per_s;
    link_free = std::max(link_free, timer_service::Now()) + Delay(seconds);
    return link_free;
  }

  task<> SleepUntil(time_point when) {
    const auto rest = std::chrono::duration_cast<microseconds>(when - timer_service::Now());
    if (rest > microseconds(0)) {
      co_await timers.Sleep(rest);
    }
  }

  void CheckCrash(const std::string& prompt) const {
    if (!crash_text.empty() && prompt.find(crash_text) != std::string::npos) {
      Log().Warning("{} crashes: a prompt contains the configured text.", options.name);
      std::_Exit(kCrashExitCode);
    }
  }

  void AddEvent(std::uint64_t prefix, bool stored) {
    ++last_event;
    if (RandomUnit() < options.event_loss) {
      return;
    }
    const auto visible = timer_service::Now() + milliseconds(options.event_lag_ms);
    events.push_back({last_event, prefix, stored, visible});
    if (events.size() > kMaxCacheEvents) {
      events.pop_front();
    }
  }

  // -------------------------------------------------------------------------------------------------------------------
  // 4. prefill
  // -------------------------------------------------------------------------------------------------------------------

  prefill_ptr NextPrefill() const {
    prefill_ptr next;
    for (const auto& [kv, job] : prefills) {
      if (job->finished || job->ended) {
        continue;
      }
      const bool first = !next || job->priority > next->priority ||
                         (job->priority == next->priority && job->sequence < next->sequence);
      if (first) {
        next = job;
      }
    }
    return next;
  }

  task<> RunPrefills() {
    const auto self = shared_from_this();
    if (std::exchange(prefill_loop_runs, true)) {
      co_return;
    }
    while (const prefill_ptr job = NextPrefill()) {
      if (!std::exchange(job->started, true)) {
        CheckCrash(job->prompt);
        job->cached = static_cast<std::uint32_t>(cache.CountCached(HashPromptBlocks(job->prompt))) * kBlockTokens;
      }
      const std::uint32_t begin = job->pieces_done * kPieceTokens;
      const std::uint32_t computed = job->PieceEnd(job->pieces_done) - std::max(begin, job->cached);
      const bool is_cached = job->cached >= job->PieceEnd(job->pieces_done);
      co_await timers.Sleep(is_cached ? microseconds(0) : Delay(computed / options.prefill_tokens_per_s));
      prefill_tokens_total += is_cached ? 0 : computed;
      if (!job->ended) {
        FinishPiece(job);
      }
    }
    prefill_loop_runs = false;
  }

  void FinishPiece(const prefill_ptr& job) {
    ++job->pieces_done;
    if (job->pieces_done == job->pieces) {
      job->finished = true;
      cache.Store(HashPromptBlocks(job->prompt), [this](std::uint64_t hash, bool stored) { AddEvent(hash, stored); });
      job->eviction = timers.SubscribeOnce(milliseconds(options.kv_lifetime_ms), [this, job] { EndPrefill(job); });
    }
    job->changed.NotifyAll();
  }

  void EndPrefill(const prefill_ptr& job) {
    job->ended = true;
    job->changed.NotifyAll();
    prefills.erase(job->kv);
  }

  task<> ServePrefill(exchange_ptr exchange) {
    const json input = json::parse(exchange->Request().body);
    if (!HasRole("prefill")) {
      auto refusal = JsonReply(409, {{"error", "wrong_role"}});
      (void)co_await exchange->Respond(std::move(refusal));
      co_return;
    }
    if (!HasModel(input.value("model", ""))) {
      auto refusal = JsonReply(404, {{"error", "unknown_model"}});
      (void)co_await exchange->Respond(std::move(refusal));
      co_return;
    }
    auto job = std::make_shared<prefill_job>(context);
    job->id = input.at("id").get<std::string>();
    job->prompt = input.at("prompt").get<std::string>();
    job->priority = input.value("priority", 0);
    job->kv = RandomHex(16);
    job->sequence = ++last_prefill;
    job->tokens = std::max(1U, CountPromptTokens(job->prompt) + input.value("resume_tokens", 0U));
    job->pieces = (job->tokens + kPieceTokens - 1) / kPieceTokens;
    prefills[job->kv] = job;
    exchange->OnDisconnect([this, job] { EndPrefill(job); });
    (void)co_await exchange->StartStream(200, {});
    std::string head = Line({{"kv", job->kv}, {"pieces", job->pieces}});
    (void)co_await exchange->WriteChunk(std::move(head));
    asio::co_spawn(context, RunPrefills(), asio::detached);
    co_await StreamPrefill(exchange, job);
  }

  task<> StreamPrefill(exchange_ptr exchange, prefill_ptr job) {
    std::uint32_t written = 0;
    while (true) {
      std::string lines;
      for (; written < job->pieces_done; ++written) {
        const bool is_cached = job->cached >= job->PieceEnd(written);
        lines += Line({{"piece", written}, {"tokens", job->PieceTokens(written)}, {"cached", is_cached}});
      }
      if (job->finished && written == job->pieces) {
        lines += Line({{"done", true}, {"computed", job->tokens - job->cached}, {"cached", job->cached}});
      } else if (job->ended) {
        lines += Line({{"error", "cancelled"}});
      }
      const bool last = job->finished || job->ended;
      (void)co_await exchange->WriteChunk(std::move(lines));
      if (last) {
        break;
      }
      if (written == job->pieces_done && !job->ended) {
        co_await job->changed.Wait();
      }
    }
    (void)co_await exchange->FinishStream();
  }

  // -------------------------------------------------------------------------------------------------------------------
  // 5. transfer
  // -------------------------------------------------------------------------------------------------------------------

  // Answers a piece of a KV cache when it has been computed and its time on the link has passed.
  task<> ServePiece(exchange_ptr exchange, std::string kv, std::uint32_t piece) {
    const auto found = prefills.find(kv);
    const prefill_ptr job = found == prefills.end() ? nullptr : found->second;
    while (job && !job->ended && (job->pieces_done <= piece || stall_transfers)) {
      co_await job->changed.Wait();
    }
    if (job && !job->ended && piece < job->pieces) {
      const time_point sent = UseLink(send_link_free, job->PieceTokens(piece));
      co_await SleepUntil(sent);
    }
    if (!job || job->ended || piece >= job->pieces) {
      auto gone = JsonReply(410, {{"error", "kv_evicted"}});
      (void)co_await exchange->Respond(std::move(gone));
      co_return;
    }
    json body = {{"piece", piece}, {"tokens", job->PieceTokens(piece)}};
    if (piece == 0) {
      body["prompt"] = job->prompt;  // the decode engine derives its tokens from it
    }
    auto reply = JsonReply(200, body);
    auto sent = co_await exchange->Respond(std::move(reply));
    if (sent && job->fetched.insert(piece).second && job->fetched.size() == job->pieces) {
      prefill_tokens_used += job->tokens - std::min(job->cached, job->tokens);
    }
  }

  // Fetches all pieces of a decode's KV cache. Returns the error of the stream, empty if all arrived.
  task<std::string> FetchPieces(decode_ptr job, host_port source, std::string kv, std::uint32_t pieces) {
    for (std::uint32_t piece = 0; piece < pieces && !job->ended; ++piece) {
      http_request request{"GET", fmt::format("/v1/kv/{}/{}", kv, piece), {}, {}, {}};
      const time_point asked = timer_service::Now();
      auto reply = co_await client.Fetch(source, std::move(request));
      if (!reply) {
        co_return reply.error().code == error_code::kTimeout ? "transfer_stalled" : "kv_evicted";
      }
      if (reply.value().status != 200) {
        co_return "kv_evicted";
      }
      const json body = json::parse(reply.value().body);
      if (piece == 0) {
        job->prompt = body.at("prompt").get<std::string>();
      }
      // The incoming link carries the piece while the sender sends it.
      receive_link_free = std::max(receive_link_free, asked);
      const double seconds = body.at("tokens").get<double>() * options.kv_bytes_per_token / options.link_bytes_per_s;
      receive_link_free += Delay(seconds);
      const time_point received = receive_link_free;
      co_await SleepUntil(received);
      // Shows the receiving agent that a long transfer goes on.
      job->unwritten += Line({{"piece", piece}});
      job->changed.NotifyAll();
    }
    co_return std::string();
  }

  // -------------------------------------------------------------------------------------------------------------------
  // 6. decode
  // -------------------------------------------------------------------------------------------------------------------

  std::size_t CountRunningDecodes() const {
    return static_cast<std::size_t>(
        std::count_if(decodes.begin(), decodes.end(), [](const auto& item) { return item.second->running; }));
  }

  // One token per running request and step.
  task<> RunDecodes() {
    const auto self = shared_from_this();
    if (std::exchange(decode_loop_runs, true)) {
      co_return;
    }
    while (const std::size_t running = CountRunningDecodes()) {
      const double step_ms = options.decode_base_ms + options.decode_slope_ms * static_cast<double>(running);
      co_await timers.Sleep(Delay(step_ms / 1e3));
      const auto jobs = decodes;
      for (const auto& [id, job] : jobs) {
        if (job->running) {
          ProduceToken(job);
        }
      }
    }
    decode_loop_runs = false;
  }

  void ProduceToken(const decode_ptr& job) {
    if (job->next < job->end) {
      job->unwritten += Line({{"offset", job->next}, {"token", FakeToken(job->prompt, job->next)}});
      ++job->next;
      ++job->memory_tokens;
    }
    if (job->next >= job->end) {
      EndDecode(job, "");
    }
    job->changed.NotifyAll();
  }

  // Frees the memory of a decode at once.
  void EndDecode(const decode_ptr& job, const std::string& failure) {
    if (std::exchange(job->ended, true)) {
      return;
    }
    job->running = false;
    job->failure = failure;
    decodes.erase(job->id);
    job->changed.NotifyAll();
  }

  task<> ServeDecode(exchange_ptr exchange) {
    const json input = json::parse(exchange->Request().body);
    auto source = ParseHostPort(input.at("source").get<std::string>());
    const std::string id = input.at("id").get<std::string>();
    if (!HasRole("decode") || !source || decodes.count(id) != 0) {
      const char* reason = !HasRole("decode") ? "wrong_role" : !source ? "bad_source" : "duplicate_id";
      auto refusal = JsonReply(409, {{"error", reason}});
      (void)co_await exchange->Respond(std::move(refusal));
      co_return;
    }
    (void)co_await exchange->StartStream(200, {});
    if (static_cast<std::int64_t>(decodes.size()) >= options.decode_slots) {
      std::string line = Line({{"error", "no_slot"}});
      (void)co_await exchange->WriteChunk(std::move(line));
      (void)co_await exchange->FinishStream();
      co_return;
    }
    auto job = std::make_shared<decode_job>(context);
    const auto pieces = input.at("pieces").get<std::uint32_t>();
    job->id = id;
    job->memory_tokens = pieces * kPieceTokens;
    job->next = input.value("offset", 0U);
    job->end = input.at("max_tokens").get<std::uint32_t>();
    decodes[id] = job;
    exchange->OnDisconnect([this, job] { EndDecode(job, "cancelled"); });
    asio::co_spawn(context, Receive(job, source.value(), input.at("kv").get<std::string>(), pieces), asio::detached);
    co_await StreamDecode(exchange, job);
  }

  // Runs beside the stream, so that a cancel ends the stream while a piece is still awaited.
  task<> Receive(decode_ptr job, host_port source, std::string kv, std::uint32_t pieces) {
    const auto self = shared_from_this();
    std::string failure = co_await FetchPieces(job, std::move(source), std::move(kv), pieces);
    if (!failure.empty()) {
      EndDecode(job, failure);
    }
    if (!job->ended) {
      CheckCrash(job->prompt);
      job->running = true;
      asio::co_spawn(context, RunDecodes(), asio::detached);
    }
  }

  task<> StreamDecode(exchange_ptr exchange, decode_ptr job) {
    while (true) {
      std::string lines = std::exchange(job->unwritten, std::string());
      const bool last = job->ended;
      if (last) {
        lines += job->failure.empty() ? Line({{"done", true}, {"reason", "length"}}) : Line({{"error", job->failure}});
      }
      (void)co_await exchange->WriteChunk(std::move(lines));
      if (last) {
        break;
      }
      if (job->unwritten.empty() && !job->ended) {
        co_await job->changed.Wait();
      }
    }
    (void)co_await exchange->FinishStream();
  }

  // -------------------------------------------------------------------------------------------------------------------
  // 7. commands, state, faults
  // -------------------------------------------------------------------------------------------------------------------

  http_response CancelWork(const json& input) {
    const std::string id = input.at("id").get<std::string>();
    bool found = false;
    const auto decode = decodes.find(id);
    if (decode != decodes.end()) {
      found = true;
      EndDecode(decode_ptr(decode->second), "cancelled");
    }
    const auto jobs = prefills;
    for (const auto& [kv, job] : jobs) {
      if (job->id == id) {
        found = true;
        EndPrefill(job);
      }
    }
    return JsonReply(200, {{"cancelled", found}});
  }

  http_response ApplyCommand(const json& input) {
    const json& fence = input.at("fence");
    const fence_number number{fence.at("revision").get<std::uint64_t>(), fence.at("incarnation").get<std::uint64_t>()};
    if (options.checks_fencing) {
      if (highest_fence && number.IsOlderThan(*highest_fence)) {
        return JsonReply(409, {{"highest", highest_fence->ToJson()}});
      }
      highest_fence = number;
    }
    roles = input.value("roles", roles);
    models = input.value("models", models);
    adapters = input.value("adapters", adapters);
    Log().Info("{} obeys a command of incarnation {}.", options.name, number.incarnation);
    return JsonReply(200, {{"done", true}});
  }

  json DescribeState() const {
    std::uint64_t memory = 0;
    for (const auto& [id, job] : decodes) {
      memory += job->memory_tokens;
    }
    std::uint64_t kv_tokens = 0;
    std::size_t prefills_running = 0;
    for (const auto& [kv, job] : prefills) {
      kv_tokens += job->tokens;
      prefills_running += job->finished ? 0 : 1;
    }
    return {{"roles", roles},
            {"models", models},
            {"adapters", adapters},
            {"fence", highest_fence ? highest_fence->ToJson() : json()},
            {"decode_slots", options.decode_slots},
            {"decode_running", decodes.size()},
            {"prefill_running", prefills_running},
            {"memory_held", memory},
            {"kv_held", kv_tokens},
            {"prefill_tokens_total", prefill_tokens_total},
            {"prefill_tokens_used", prefill_tokens_used}};
  }

  void SampleLoad() {
    const time_point now = timer_service::Now();
    load_samples.emplace_back(now, DescribeState().dump());
    const milliseconds lag(options.load_lag_ms);
    while (load_samples.size() > 1 && now - load_samples[1].first >= lag) {
      load_samples.pop_front();
    }
  }

  http_response ListEvents(std::string_view target) const {
    const auto at = target.find("after=");
    const std::uint64_t after = at == std::string_view::npos ? 0 : std::strtoull(target.data() + at + 6, nullptr, 10);
    json list = json::array();
    for (const stored_event& event : events) {
      if (event.sequence > after && event.visible_from <= timer_service::Now()) {
        list.push_back({{"sequence", event.sequence}, {"prefix", event.prefix}, {"stored", event.stored}});
      }
    }
    return JsonReply(200, {{"events", list}});
  }

  http_response ApplyFaults(const json& input) {
    if (input.value("crash", false)) {
      std::_Exit(kCrashExitCode);
    }
    slow_factor = input.value("slow_factor", slow_factor);
    crash_text = input.value("crash_on", crash_text);
    stall_transfers = input.value("stall_transfers", stall_transfers);
    for (const auto& [kv, job] : prefills) {
      job->changed.NotifyAll();
    }
    if (input.contains("freeze_ms")) {
      // Blocks the whole process, connections stay open.
      std::this_thread::sleep_for(milliseconds(input.at("freeze_ms").get<std::int64_t>()));
    }
    return JsonReply(200, {{"done", true}});
  }

  // -------------------------------------------------------------------------------------------------------------------
  // 8. requests
  // -------------------------------------------------------------------------------------------------------------------

  http_response ServeSimple(const http_request& request) {
    const std::string_view target = request.target;
    if (request.method == "GET" && target == "/v1/state") {
      return JsonReply(200, DescribeState());
    }
    if (request.method == "GET" && target == "/v1/load") {
      return JsonResponse(200, load_samples.empty() ? DescribeState().dump() : load_samples.front().second);
    }
    if (request.method == "GET" && target.substr(0, 16) == "/v1/cache-events") {
      return ListEvents(target);
    }
    if (request.method == "POST" && target == "/v1/cancel") {
      return CancelWork(json::parse(request.body));
    }
    if (request.method == "POST" && target == "/v1/commands") {
      return ApplyCommand(json::parse(request.body));
    }
    if (request.method == "POST" && target == "/faults") {
      return ApplyFaults(json::parse(request.body));
    }
    return JsonReply(404, {{"error", "unknown_path"}});
  }

  task<> Dispatch(exchange_ptr exchange) {
    const http_request& request = exchange->Request();
    if (request.method == "POST" && request.target == "/v1/prefill") {
      co_await ServePrefill(exchange);
      co_return;
    }
    if (request.method == "POST" && request.target == "/v1/decode") {
      co_await ServeDecode(exchange);
      co_return;
    }
    constexpr std::string_view kPiecePath = "/v1/kv/";
    if (request.method == "GET" && request.target.rfind(kPiecePath, 0) == 0) {
      const std::string rest = request.target.substr(kPiecePath.size());
      const auto slash = rest.find('/');
      std::string kv = rest.substr(0, slash);
      const auto piece = static_cast<std::uint32_t>(
          slash == std::string::npos ? 0 : std::strtoul(rest.c_str() + slash + 1, nullptr, 10));
      co_await ServePiece(exchange, std::move(kv), piece);
      co_return;
    }
    auto reply = ServeSimple(request);
    (void)co_await exchange->Respond(std::move(reply));
  }

  task<> Serve(exchange_ptr exchange) {
    std::string problem;
    try {
      co_await Dispatch(exchange);
    } catch (const json::exception& failure) {
      problem = failure.what();
    }
    if (!problem.empty() && !exchange->IsStarted()) {
      auto reply = JsonReply(400, {{"error", "bad_request"}, {"message", problem}});
      (void)co_await exchange->Respond(std::move(reply));
    }
  }
};

fake_engine::fake_engine(asio::io_context& context, fake_engine_options options)
    : state_(std::make_shared<state>(context, std::move(options))) {}

fake_engine::~fake_engine() { Stop(); }

result<void> fake_engine::Start() {
  const auto state = state_;
  http_handler handler = [state](exchange_ptr exchange) { return state->Serve(std::move(exchange)); };
  state->server = std::make_unique<http_server>(state->context, state->options.listen, http_limits(), handler);
  state->sampling = state->timers.SubscribeEvery(kLoadSamplePeriod, 0, [state] { state->SampleLoad(); });
  return state->server->Start();
}

void fake_engine::Stop() {
  state_->sampling.Cancel();
  if (state_->server) {
    state_->server->Stop();
  }
}

std::uint16_t fake_engine::Port() const { return state_->server->Port(); }

}  // namespace persimmon
