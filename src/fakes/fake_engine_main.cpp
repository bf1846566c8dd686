// Entry point of fake-engine, which runs one simulated inference engine.
#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <sstream>

#include "core/log.h"
#include "fakes/fake_engine.h"

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to listen on; port 0: assigned by the OS");
DEFINE_string(name, "engine", "name in log lines");
DEFINE_double(prefill_tokens_per_s, 8000, "prompt tokens prefilled per second, without those in the prefix cache");
DEFINE_int64(decode_slots, 20, "maximum of concurrent decode requests");
DEFINE_double(decode_base_ms, 10, "duration of a decode step in ms, without the part per request");
DEFINE_double(decode_slope_ms, 1, "ms added to a decode step per running request");
DEFINE_double(link_bytes_per_s, 1.25e9, "network bandwidth per direction, shared by all transfers");
DEFINE_double(kv_bytes_per_token, 32768, "KV cache size per token in bytes");
DEFINE_int64(kv_lifetime_ms, 900, "time from the end of a prefill to the eviction of its KV cache, in ms");
DEFINE_int64(prefix_cache_tokens, 200000, "capacity of the prefix cache in tokens");
DEFINE_int64(load_lag_ms, 100, "age of the reported load in ms");
DEFINE_int64(event_lag_ms, 100, "delay of cache events in ms");
DEFINE_double(event_loss, 0, "fraction of cache events that are lost, 0 to 1");
DEFINE_int64(piece_timeout_ms, 1000, "a transfer that receives nothing for this long, in ms, fails as stalled");
DEFINE_string(fencing, "check", "check: reject stale fencing tokens; ignore: accept all and record none");
DEFINE_string(roles, "prefill,decode", "comma-separated roles until the first command sets others");

namespace {

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    items.push_back(item);
  }
  return items;
}

persimmon::fake_engine_options ReadOptions(const persimmon::host_port& listen) {
  persimmon::fake_engine_options options;
  options.listen = listen;
  options.name = FLAGS_name;
  options.prefill_tokens_per_s = FLAGS_prefill_tokens_per_s;
  options.decode_slots = FLAGS_decode_slots;
  options.decode_base_ms = FLAGS_decode_base_ms;
  options.decode_slope_ms = FLAGS_decode_slope_ms;
  options.link_bytes_per_s = FLAGS_link_bytes_per_s;
  options.kv_bytes_per_token = FLAGS_kv_bytes_per_token;
  options.kv_lifetime_ms = FLAGS_kv_lifetime_ms;
  options.prefix_cache_tokens = FLAGS_prefix_cache_tokens;
  options.load_lag_ms = FLAGS_load_lag_ms;
  options.event_lag_ms = FLAGS_event_lag_ms;
  options.event_loss = FLAGS_event_loss;
  options.piece_timeout_ms = FLAGS_piece_timeout_ms;
  options.checks_fencing = FLAGS_fencing == "check";
  options.roles = SplitList(FLAGS_roles);
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Simulated inference engine for tests.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const persimmon::logger log("fake.engine");
  const auto listen = persimmon::ParseHostPort(FLAGS_listen);
  if (!listen || (FLAGS_fencing != "check" && FLAGS_fencing != "ignore")) {
    log.Error("Cannot start: {}.", listen ? "--fencing must be check or ignore" : listen.error().message);
    return 2;
  }
  persimmon::asio::io_context context(1);
  persimmon::fake_engine engine(context, ReadOptions(listen.value()));
  const auto started = engine.Start();
  if (!started) {
    log.Error("Cannot start: {}.", started.error().message);
    return 1;
  }
  log.Info("{} is listening on port {}.", FLAGS_name, engine.Port());
  persimmon::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  context.run();
  return 0;
}
