// Client of a model engine's HTTP interface (section 13 of docs/design.md).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/wire.h"
#include "persimmon/error.h"

namespace persimmon {

// Orders commands of different agents. A newer incarnation outranks any revision, because a paused former holder may
// have learned a higher revision than its successor.
struct fence_number {
  revision_number revision = 0;
  incarnation_number incarnation = 0;

  bool operator==(const fence_number&) const = default;
};

// What an engine is, or should be, ready to serve.
struct engine_setup {
  std::vector<std::string> roles;     // "prefill", "decode"; sorted
  std::vector<std::string> models;    // "name" or "name@version"; sorted
  std::vector<std::string> adapters;  // sorted

  bool operator==(const engine_setup&) const = default;
};

struct engine_state {
  engine_setup setup;
  std::optional<fence_number> highest;  // absent: the engine cannot tell
  std::uint32_t decode_slots = 0;

  bool operator==(const engine_state&) const = default;
};

struct command_reply {
  bool obeyed = false;
  std::optional<fence_number> highest;  // of a refused command

  bool operator==(const command_reply&) const = default;
};

class engine_client {
 public:
  // stream_timeout: longest time without a line of a running prefill or decode.
  engine_client(asio::io_context& context, host_port address, milliseconds stream_timeout);

  const host_port& Address() const { return address_; }

  // Errors of all functions: those of http_client, and kProtocol for an answer that cannot be read.
  task<result<engine_state>> ReadState();
  task<result<command_reply>> SendCommand(fence_number fence, engine_setup setup);
  task<result<std::vector<cache_event>>> ReadCacheEvents(std::uint64_t after);

  // Returns whether the engine knew the id.
  task<result<bool>> CancelWork(std::string id);

  // Streams the lines of the answer. A status other than 200 is an error: kInvalid with the engine's reason.
  task<result<void>> Prefill(start_prefill work, std::string traceparent, http_client::line_handler on_line);
  task<result<void>> Decode(start_decode work, std::string traceparent, http_client::line_handler on_line);

 private:
  task<result<void>> Stream(std::string path, std::string body, std::string traceparent,
                            http_client::line_handler on_line);

  host_port address_;
  http_client control_;
  http_client streams_;
};

}  // namespace persimmon
