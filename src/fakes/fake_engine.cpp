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

constexpr std::uint32_t kPieceTokens = 2'000;    // tokens per piece, the unit of KV cache transfer
constexpr std::size_t kMaxCacheEvents = 10'000;  // the oldest are dropped first
constexpr milliseconds kLoadSamplePeriod(20);
constexpr int kCrashExitCode = 3;

const logger& Log() {
  static const logger log("fake.engine");
  return log;
}

std::string JsonLine(const json& value) { return value.dump() + "\n"; }

http_response JsonReply(int status, const json& value) { return JsonResponse(status, value.dump()); }

// Condition variable for coroutines: NotifyAll resumes all that wait.
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

std::string FakeToken(std::string_view prompt, std::uint32_t offset) {
  return fmt::format("w{:x} ", XXH64(prompt.data(), prompt.size(), offset) & 0xffffffU);
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. prefix cache and cache events
// ---------------------------------------------------------------------------------------------------------------------

namespace {

// A change of the prefix cache, as /v1/cache-events reports it.
struct cache_event_entry {
  std::uint64_t sequence = 0;
  std::uint64_t prefix = 0;
  bool stored = true;     // false: evicted
  time_point visible_at;  // models the reporting delay
};

// LRU cache of prompt blocks, identified by their hashes.
class prefix_cache {
 public:
  explicit prefix_cache(std::size_t blocks) : capacity_(blocks) {}

  // Number of leading blocks that are in the cache.
  std::size_t CountCachedBlocks(const std::vector<std::uint64_t>& hashes) const {
    std::size_t count = 0;
    while (count < hashes.size() && entries_.count(hashes[count]) != 0) {
      ++count;
    }
    return count;
  }

  // Adds the blocks and evicts the least recently used ones. Calls on_change(hash, stored) for each change.
  template <class function>
  void Store(const std::vector<std::uint64_t>& hashes, function on_change) {
    for (const std::uint64_t hash : hashes) {
      const auto found = entries_.find(hash);
      if (found != entries_.end()) {
        lru_order_.splice(lru_order_.end(), lru_order_, found->second);
        continue;
      }
      entries_[hash] = lru_order_.insert(lru_order_.end(), hash);
      on_change(hash, true);
    }
    while (entries_.size() > capacity_) {
      const std::uint64_t oldest = lru_order_.front();
      lru_order_.pop_front();
      entries_.erase(oldest);
      on_change(oldest, false);
    }
  }

 private:
  std::size_t capacity_;
  std::list<std::uint64_t> lru_order_;  // least recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> entries_;
};

// A prefill and the KV cache that it produces.
struct prefill_job {
  explicit prefill_job(asio::io_context& context) : changed(context) {}

  std::string id;
  std::string kv;  // id of its KV cache
  std::string prompt;
  int priority = 0;
  std::uint64_t sequence = 0;  // order of arrival
  std::uint32_t tokens = 0;
  std::uint32_t cached = 0;  // leading tokens found in the prefix cache
  std::uint32_t pieces = 1;
  std::uint32_t pieces_done = 0;
  bool started = false;
  bool finished = false;
  bool ended = false;               // cancelled or evicted
  std::set<std::uint32_t> fetched;  // pieces that a decode engine has fetched
  notifier changed;
  timer_subscription eviction;

  std::uint32_t PieceEnd(std::uint32_t piece) const { return std::min(tokens, (piece + 1) * kPieceTokens); }
  std::uint32_t PieceTokens(std::uint32_t piece) const { return PieceEnd(piece) - piece * kPieceTokens; }
};

struct decode_job {
  explicit decode_job(asio::io_context& context) : changed(context) {}

  std::string id;
  std::string prompt;
  std::uint32_t memory_tokens = 0;  // size of its KV cache
  std::uint32_t next_offset = 0;    // of the next token to generate
  std::uint32_t end_offset = 0;     // generation stops before this offset
  bool running = false;
  bool ended = false;          // finished or cancelled
  std::string failure;         // error of an ended job; empty if it finished
  std::string pending_output;  // response lines that are not sent yet
  notifier changed;
};

using prefill_ptr = std::shared_ptr<prefill_job>;
using decode_ptr = std::shared_ptr<decode_job>;
using exchange_ptr = std::shared_ptr<http_exchange>;

struct fencing_token {
  std::uint64_t revision = 0;
  std::uint64_t incarnation = 0;

  // The incarnation takes precedence over the revision: a former holder that was paused may have seen a higher
  // revision.
  bool IsOlderThan(const fencing_token& other) const {
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
  std::string request_limit;              // stated in responses, in requests per second; empty: not stated
  std::vector<std::int64_t> arrivals_ms;  // steady time of each request, without those of other engines
  http_client client;
  std::unique_ptr<http_server> server;
  timer_subscription sampling;

  prefix_cache cache;
  std::deque<cache_event_entry> event_log;
  std::uint64_t last_event_sequence = 0;

  std::map<std::string, prefill_ptr> prefills;  // by KV id
  std::map<std::string, decode_ptr> decodes;    // by request id
  std::uint64_t last_prefill_sequence = 0;
  std::uint64_t prefill_tokens_total = 0;  // computed tokens, without those from the prefix cache
  std::uint64_t prefill_tokens_used = 0;   // computed tokens of KV caches that a decode engine has fetched completely
  bool prefill_loop_running = false;
  bool decode_loop_running = false;
  time_point send_link_free_at;     // when the outgoing link will have sent everything requested so far
  time_point receive_link_free_at;  // the same for receiving

  std::vector<std::string> roles;
  std::vector<std::string> models;  // empty: accepts any model
  std::vector<std::string> adapters;
  std::optional<fencing_token> highest_fence;
  std::deque<std::pair<time_point, std::string>> load_samples;

  double slow_factor = 1;
  bool stall_transfers = false;
  std::string crash_text;
  std::optional<std::size_t> cut_after_bytes;  // decode streams break off after this many bytes of their body
  std::string cut_framing;                     // of such streams: "chunks", "last_chunk" or "connection_end"
  std::int64_t token_offset_shift = 0;         // added to the offset of each token

  bool HasRole(std::string_view role) const { return std::find(roles.begin(), roles.end(), role) != roles.end(); }

  // Models are loaded as "name" or "name@version"; requests refer to them without the version.
  bool HasModel(const std::string& model) const {
    return models.empty() || std::any_of(models.begin(), models.end(), [&model](const std::string& loaded) {
             return loaded.substr(0, loaded.find('@')) == model;
           });
  }

  microseconds ScaledDuration(double seconds) const {
    return microseconds(static_cast<std::int64_t>(seconds * slow_factor * 1e6));
  }

  // Reserves time on a shared link for the tokens. Returns when their transfer ends.
  time_point ReserveLink(time_point& link_free_at, std::uint32_t tokens) const {
    const double seconds = tokens * options.kv_bytes_per_token / options.link_bytes_per_s;
    link_free_at = std::max(link_free_at, timer_service::Now()) + ScaledDuration(seconds);
    return link_free_at;
  }

  task<> SleepUntil(time_point when) {
    const auto remaining = std::chrono::duration_cast<microseconds>(when - timer_service::Now());
    if (remaining > microseconds(0)) {
      co_await timers.Sleep(remaining);
    }
  }

  void CrashIfTriggered(const std::string& prompt) const {
    if (!crash_text.empty() && prompt.find(crash_text) != std::string::npos) {
      Log().Warning("{} is crashing: a prompt contains the text set by crash_on.", options.name);
      std::_Exit(kCrashExitCode);
    }
  }

  void AppendCacheEvent(std::uint64_t prefix, bool stored) {
    ++last_event_sequence;
    if (RandomUnit() < options.event_loss) {
      return;
    }
    const auto visible_time = timer_service::Now() + milliseconds(options.event_lag_ms);
    event_log.push_back({last_event_sequence, prefix, stored, visible_time});
    if (event_log.size() > kMaxCacheEvents) {
      event_log.pop_front();
    }
  }

  // -------------------------------------------------------------------------------------------------------------------
  // 4. prefill
  // -------------------------------------------------------------------------------------------------------------------

  // Unfinished prefill with the highest priority; of several, the one that arrived first. Null if there is none.
  prefill_ptr NextPrefill() const {
    prefill_ptr next;
    for (const auto& [kv, job] : prefills) {
      if (job->finished || job->ended) {
        continue;
      }
      const bool runs_first = !next || job->priority > next->priority ||
                              (job->priority == next->priority && job->sequence < next->sequence);
      if (runs_first) {
        next = job;
      }
    }
    return next;
  }

  // Computes one piece at a time, so that a prefill of higher priority can take over between two pieces.
  task<> RunPrefills() {
    const auto self = shared_from_this();
    if (std::exchange(prefill_loop_running, true)) {
      co_return;
    }
    while (const prefill_ptr job = NextPrefill()) {
      if (!std::exchange(job->started, true)) {
        CrashIfTriggered(job->prompt);
        job->cached = static_cast<std::uint32_t>(cache.CountCachedBlocks(HashPromptBlocks(job->prompt))) * kBlockTokens;
      }
      const std::uint32_t begin = job->pieces_done * kPieceTokens;
      const std::uint32_t computed = job->PieceEnd(job->pieces_done) - std::max(begin, job->cached);
      const bool is_cached = job->cached >= job->PieceEnd(job->pieces_done);
      co_await timers.Sleep(is_cached ? microseconds(0) : ScaledDuration(computed / options.prefill_tokens_per_s));
      prefill_tokens_total += is_cached ? 0 : computed;
      if (!job->ended) {
        FinishPiece(job);
      }
    }
    prefill_loop_running = false;
  }

  void FinishPiece(const prefill_ptr& job) {
    ++job->pieces_done;
    if (job->pieces_done == job->pieces) {
      job->finished = true;
      cache.Store(HashPromptBlocks(job->prompt),
                  [this](std::uint64_t hash, bool stored) { AppendCacheEvent(hash, stored); });
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
    const json input = json::parse(exchange->Request().body.Text());
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
    job->sequence = ++last_prefill_sequence;
    job->tokens = std::max(1U, CountPromptTokens(job->prompt) + input.value("resume_tokens", 0U));
    job->pieces = (job->tokens + kPieceTokens - 1) / kPieceTokens;
    prefills[job->kv] = job;
    exchange->OnDisconnect([this, job] { EndPrefill(job); });
    (void)co_await exchange->StartStream(200, OwnHeaders());
    std::string first_line = JsonLine({{"kv", job->kv}, {"pieces", job->pieces}});
    (void)co_await exchange->WriteChunk(std::move(first_line));
    asio::co_spawn(context, RunPrefills(), asio::detached);
    co_await StreamPrefill(exchange, job);
  }

  task<> StreamPrefill(exchange_ptr exchange, prefill_ptr job) {
    std::uint32_t written = 0;
    while (true) {
      std::string lines;
      for (; written < job->pieces_done; ++written) {
        const bool is_cached = job->cached >= job->PieceEnd(written);
        lines += JsonLine({{"piece", written}, {"tokens", job->PieceTokens(written)}, {"cached", is_cached}});
      }
      if (job->finished && written == job->pieces) {
        lines += JsonLine({{"done", true}, {"computed", job->tokens - job->cached}, {"cached", job->cached}});
      } else if (job->ended) {
        lines += JsonLine({{"error", "cancelled"}});
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

  // Sends a piece of a KV cache once it has been computed and the simulated link has carried it.
  task<> ServePiece(exchange_ptr exchange, std::string kv, std::uint32_t piece) {
    const auto found = prefills.find(kv);
    const prefill_ptr job = found == prefills.end() ? nullptr : found->second;
    while (job && !job->ended && (job->pieces_done <= piece || stall_transfers)) {
      co_await job->changed.Wait();
    }
    if (job && !job->ended && piece < job->pieces) {
      const time_point sent = ReserveLink(send_link_free_at, job->PieceTokens(piece));
      co_await SleepUntil(sent);
    }
    if (!job || job->ended || piece >= job->pieces) {
      auto gone = JsonReply(410, {{"error", "kv_evicted"}});
      (void)co_await exchange->Respond(std::move(gone));
      co_return;
    }
    json body = {{"piece", piece}, {"tokens", job->PieceTokens(piece)}};
    if (piece == 0) {
      body["prompt"] = job->prompt;  // the decode engine derives the output tokens from it
    }
    auto reply = JsonReply(200, body);
    auto sent = co_await exchange->Respond(std::move(reply));
    if (sent && job->fetched.insert(piece).second && job->fetched.size() == job->pieces) {
      prefill_tokens_used += job->tokens - std::min(job->cached, job->tokens);
    }
  }

  // Fetches all pieces of the KV cache for a decode. Returns the error to report on its stream; empty if all arrived.
  task<std::string> FetchPieces(decode_ptr job, host_port source, std::string kv, std::uint32_t pieces) {
    for (std::uint32_t piece = 0; piece < pieces && !job->ended; ++piece) {
      http_request request{"GET", fmt::format("/v1/kv/{}/{}", kv, piece), {}, {}, {}};
      const time_point requested_at = timer_service::Now();
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
      // Sending and receiving overlap, so the time on the incoming link starts with the request.
      receive_link_free_at = std::max(receive_link_free_at, requested_at);
      const double seconds = body.at("tokens").get<double>() * options.kv_bytes_per_token / options.link_bytes_per_s;
      receive_link_free_at += ScaledDuration(seconds);
      const time_point received = receive_link_free_at;
      co_await SleepUntil(received);
      // Reports progress, so that the agent does not take a long transfer for a stalled one.
      job->pending_output += JsonLine({{"piece", piece}});
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

  // Continuous batching: each step generates one token for every running request.
  task<> RunDecodes() {
    const auto self = shared_from_this();
    if (std::exchange(decode_loop_running, true)) {
      co_return;
    }
    while (const std::size_t running = CountRunningDecodes()) {
      const double step_ms = options.decode_base_ms + options.decode_slope_ms * static_cast<double>(running);
      co_await timers.Sleep(ScaledDuration(step_ms / 1e3));
      const auto jobs = decodes;
      for (const auto& [id, job] : jobs) {
        if (job->running) {
          GenerateToken(job);
        }
      }
    }
    decode_loop_running = false;
  }

  void GenerateToken(const decode_ptr& job) {
    if (job->next_offset < job->end_offset) {
      job->pending_output += JsonLine(
          {{"offset", job->next_offset + token_offset_shift}, {"token", FakeToken(job->prompt, job->next_offset)}});
      ++job->next_offset;
      ++job->memory_tokens;
    }
    if (job->next_offset >= job->end_offset) {
      EndDecode(job, "");
    }
    job->changed.NotifyAll();
  }

  // Ends a decode and frees its memory immediately.
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
    const json input = json::parse(exchange->Request().body.Text());
    auto source = ParseHostPort(input.at("source").get<std::string>());
    const std::string id = input.at("id").get<std::string>();
    if (!HasRole("decode") || !source || decodes.count(id) != 0) {
      const char* reason = !HasRole("decode") ? "wrong_role" : !source ? "bad_source" : "duplicate_id";
      auto refusal = JsonReply(409, {{"error", reason}});
      (void)co_await exchange->Respond(std::move(refusal));
      co_return;
    }
    (void)co_await exchange->StartStream(200, OwnHeaders());
    if (static_cast<std::int64_t>(decodes.size()) >= options.decode_slots) {
      std::string line = JsonLine({{"error", "no_slot"}});
      (void)co_await exchange->WriteChunk(std::move(line));
      (void)co_await exchange->FinishStream();
      co_return;
    }
    auto job = std::make_shared<decode_job>(context);
    const auto pieces = input.at("pieces").get<std::uint32_t>();
    job->id = id;
    job->memory_tokens = pieces * kPieceTokens;
    job->next_offset = input.value("offset", 0U);
    job->end_offset = input.at("max_tokens").get<std::uint32_t>();
    decodes[id] = job;
    exchange->OnDisconnect([this, job] { EndDecode(job, "cancelled"); });
    asio::co_spawn(context, ReceiveKvCache(job, source.value(), input.at("kv").get<std::string>(), pieces),
                   asio::detached);
    if (cut_after_bytes) {
      co_await StreamCutDecode(exchange, job);
    } else {
      co_await StreamDecode(exchange, job);
    }
  }

  // Sends the first bytes of the whole body and breaks off.
  task<> StreamCutDecode(exchange_ptr exchange, decode_ptr job) {
    while (!job->ended) {
      co_await job->changed.Wait();
    }
    const std::string whole = job->pending_output + DecodeEnd(*job);
    std::string part = whole.substr(0, *cut_after_bytes);
    (void)co_await exchange->WriteChunk(std::move(part));
    if (cut_framing == "chunks") {
      exchange->AbortStream();
    } else {
      (void)co_await exchange->FinishStream();
    }
  }

  static std::string DecodeEnd(const decode_job& job) {
    return job.failure.empty() ? JsonLine({{"done", true}, {"reason", "length"}}) : JsonLine({{"error", job.failure}});
  }

  // Runs concurrently with StreamDecode, so that a cancellation ends the stream while a piece is still outstanding.
  task<> ReceiveKvCache(decode_ptr job, host_port source, std::string kv, std::uint32_t pieces) {
    const auto self = shared_from_this();
    std::string failure = co_await FetchPieces(job, std::move(source), std::move(kv), pieces);
    if (!failure.empty()) {
      EndDecode(job, failure);
    }
    if (!job->ended) {
      CrashIfTriggered(job->prompt);
      job->running = true;
      asio::co_spawn(context, RunDecodes(), asio::detached);
    }
  }

  task<> StreamDecode(exchange_ptr exchange, decode_ptr job) {
    while (true) {
      std::string lines = std::exchange(job->pending_output, std::string());
      const bool last = job->ended;
      if (last) {
        lines += DecodeEnd(*job);
      }
      (void)co_await exchange->WriteChunk(std::move(lines));
      if (last) {
        break;
      }
      if (job->pending_output.empty() && !job->ended) {
        co_await job->changed.Wait();
      }
    }
    (void)co_await exchange->FinishStream();
  }

  // -------------------------------------------------------------------------------------------------------------------
  // 7. commands, state, faults
  // -------------------------------------------------------------------------------------------------------------------

  http_response CancelRequest(const json& input) {
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
    const fencing_token token{fence.at("revision").get<std::uint64_t>(), fence.at("incarnation").get<std::uint64_t>()};
    if (options.checks_fencing) {
      if (highest_fence && token.IsOlderThan(*highest_fence)) {
        return JsonReply(409, {{"highest", highest_fence->ToJson()}});
      }
      highest_fence = token;
    }
    roles = input.value("roles", roles);
    models = input.value("models", models);
    adapters = input.value("adapters", adapters);
    Log().Info("{} applied a command from incarnation {}.", options.name, token.incarnation);
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

  // Keeps the newest sample that is at least load_lag_ms old, which /v1/load returns, and all newer ones.
  void SampleLoad() {
    const time_point now = timer_service::Now();
    load_samples.emplace_back(now, DescribeState().dump());
    const milliseconds lag(options.load_lag_ms);
    while (load_samples.size() > 1 && now - load_samples[1].first >= lag) {
      load_samples.pop_front();
    }
  }

  http_response ListCacheEvents(std::string_view target) const {
    const auto position = target.find("after=");
    const std::uint64_t after =
        position == std::string_view::npos ? 0 : std::strtoull(target.data() + position + 6, nullptr, 10);
    json list = json::array();
    for (const cache_event_entry& event : event_log) {
      if (event.sequence > after && event.visible_at <= timer_service::Now()) {
        list.push_back({{"sequence", event.sequence}, {"prefix", event.prefix}, {"stored", event.stored}});
      }
    }
    return JsonReply(200, {{"events", list}});
  }

  http_response ApplyFaults(const json& input) {
    request_limit = input.value("request_limit", request_limit);
    if (input.value("crash", false)) {
      std::_Exit(kCrashExitCode);
    }
    slow_factor = input.value("slow_factor", slow_factor);
    crash_text = input.value("crash_on", crash_text);
    stall_transfers = input.value("stall_transfers", stall_transfers);
    if (input.contains("cut_after_bytes")) {
      const json& bytes = input.at("cut_after_bytes");
      cut_after_bytes = bytes.is_null() ? std::nullopt : std::optional(bytes.get<std::size_t>());
    }
    cut_framing = input.value("cut_framing", cut_framing);
    token_offset_shift = input.value("token_offset_shift", token_offset_shift);
    for (const auto& [kv, job] : prefills) {
      job->changed.NotifyAll();
    }
    if (input.contains("freeze_ms")) {
      // Blocks the event loop: the process stops responding, but its connections stay open.
      std::this_thread::sleep_for(milliseconds(input.at("freeze_ms").get<std::int64_t>()));
    }
    return JsonReply(200, {{"done", true}});
  }

  // -------------------------------------------------------------------------------------------------------------------
  // 8. requests
  // -------------------------------------------------------------------------------------------------------------------

  header_list OwnHeaders() const {
    return request_limit.empty() ? header_list() : header_list{{"Server-Limit", request_limit}};
  }

  // Requests that are answered without waiting.
  http_response ServeSynchronously(const http_request& request) {
    const std::string_view target = request.target;
    if (request.method == "GET" && target == "/v1/state") {
      return JsonReply(200, DescribeState());
    }
    if (request.method == "GET" && target == "/v1/load") {
      return JsonResponse(200, load_samples.empty() ? DescribeState().dump() : load_samples.front().second);
    }
    if (request.method == "GET" && target.substr(0, 16) == "/v1/cache-events") {
      return ListCacheEvents(target);
    }
    if (request.method == "POST" && target == "/v1/cancel") {
      return CancelRequest(json::parse(request.body.Text()));
    }
    if (request.method == "POST" && target == "/v1/commands") {
      return ApplyCommand(json::parse(request.body.Text()));
    }
    if (request.method == "POST" && target == "/faults") {
      return ApplyFaults(json::parse(request.body.Text()));
    }
    if (request.method == "GET" && target == "/arrivals") {
      return JsonReply(200, {{"arrivals_ms", arrivals_ms}});
    }
    return JsonReply(404, {{"error", "unknown_path"}});
  }

  task<> Dispatch(exchange_ptr exchange) {
    const http_request& request = exchange->Request();
    if (request.target.starts_with("/v1/") && !request.target.starts_with("/v1/kv/")) {
      // Other engines fetch KV cache by themselves.
      arrivals_ms.push_back(std::chrono::duration_cast<milliseconds>(timer_service::Now().time_since_epoch()).count());
    }
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
    auto reply = ServeSynchronously(request);
    for (header_field& field : OwnHeaders()) {
      reply.headers.push_back(std::move(field));
    }
    (void)co_await exchange->Respond(std::move(reply));
  }

  task<> Serve(exchange_ptr exchange) {
    std::string parse_error;
    try {
      co_await Dispatch(exchange);
    } catch (const json::exception& failure) {
      parse_error = failure.what();
    }
    if (!parse_error.empty() && !exchange->IsStarted()) {
      auto reply = JsonReply(400, {{"error", "bad_request"}, {"message", parse_error}});
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
