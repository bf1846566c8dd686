// Simulated inference engine for tests, the demo and benchmarks: continuous batching, prefix cache, KV cache transfer
// and commands. It computes nothing; delays reproduce the timing of a real engine. The interface is described in
// section 13 of docs/design.md.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/settings.h"
#include "core/timers.h"
#include "persimmon/error.h"

namespace persimmon {

struct fake_engine_options {
  host_port listen;                            // port 0: assigned by the OS
  std::string name = "engine";                 // name in log lines
  double prefill_tokens_per_s = 8'000;         // rate for tokens that are not in the prefix cache
  std::int64_t decode_slots = 20;              // maximum of concurrent decode requests, including those in transfer
  double decode_base_ms = 10;                  // duration of a decode step, without the part per request
  double decode_slope_ms = 1;                  // added to the duration per running request
  double link_bytes_per_s = 1.25e9;            // network bandwidth per direction, shared by all transfers
  double kv_bytes_per_token = 32'768;          // KV cache size per token
  std::int64_t kv_lifetime_ms = 900;           // time from the end of a prefill to the eviction of its KV cache
  std::int64_t prefix_cache_tokens = 200'000;  // capacity of the prefix cache
  std::int64_t load_lag_ms = 100;              // age of the load that /v1/load reports
  std::int64_t event_lag_ms = 100;             // delay of cache events
  double event_loss = 0;                       // fraction of cache events that are lost, 0 to 1
  std::int64_t piece_timeout_ms = 1'000;       // a transfer that receives nothing for this long fails as stalled
  bool checks_fencing = true;                  // false: stale fencing tokens are accepted and none is recorded
  std::vector<std::string> roles = {"prefill", "decode"};  // until the first command sets others

  bool operator==(const fake_engine_options&) const = default;
};

// Token at an offset of the output for a prompt. Deterministic, so that tests can compute the whole expected output.
std::string FakeToken(std::string_view prompt, std::uint32_t offset);

class fake_engine {
 public:
  fake_engine(asio::io_context& context, fake_engine_options options);
  ~fake_engine();
  fake_engine(const fake_engine&) = delete;
  fake_engine& operator=(const fake_engine&) = delete;

  // Errors: kUnavailable if the address is taken.
  result<void> Start();
  void Stop();
  std::uint16_t Port() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
