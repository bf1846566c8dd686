// Stand-in of a model engine for tests, demo and bench: continuous batching, prefix cache, KV transfer, commands.
// The interface is described in section 13 of docs/design.md. Nothing is computed; time passes as in a real engine.
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
  host_port listen;                            // port 0: chosen by the system
  std::string name = "engine";                 // for logs
  double prefill_tokens_per_s = 8'000;         // tokens that are not in the prefix cache
  std::int64_t decode_slots = 20;              // decode requests at once, transfers included
  double decode_base_ms = 10;                  // time of a decode step, without the part per request
  double decode_slope_ms = 1;                  // added to a decode step per running request
  double link_bytes_per_s = 1.25e9;            // shared by all transfers, for each direction
  double kv_bytes_per_token = 32'768;          // size of the KV cache
  std::int64_t kv_lifetime_ms = 900;           // a KV cache is evicted this long after its prefill
  std::int64_t prefix_cache_tokens = 200'000;  // size of the prefix cache
  std::int64_t load_lag_ms = 100;              // age of what /v1/load shows
  std::int64_t event_lag_ms = 100;             // delay of cache events
  double event_loss = 0;                       // share of cache events that are lost, 0 to 1
  std::int64_t piece_timeout_ms = 1'000;       // a transfer that receives nothing for this long has stalled
  bool checks_fencing = true;                  // false: old fencing numbers are accepted and none is remembered
  std::vector<std::string> roles = {"prefill", "decode"};  // until the first command

  bool operator==(const fake_engine_options&) const = default;
};

// Token n of the answer to a prompt. Tests compute the whole expected answer with it.
std::string FakeToken(std::string_view prompt, std::uint32_t number);

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
