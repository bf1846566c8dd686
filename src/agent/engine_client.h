// Client for a model engine's HTTP interface (section 13 of docs/design.md).
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/wire.h"
#include "persimmon/error.h"

namespace persimmon {

// Fencing token that orders the commands of different agents. The incarnation is compared before the revision, because
// a superseded agent that was paused may have received a higher revision than its successor.
struct fencing_token {
  revision_number revision = 0;
  incarnation_number incarnation = 0;

  bool operator==(const fencing_token&) const = default;
};

// Roles, models and adapters that an engine serves or should serve.
struct engine_setup {
  std::vector<std::string> roles;     // "prefill", "decode"; sorted
  std::vector<std::string> models;    // "name" or "name@version"; sorted
  std::vector<std::string> adapters;  // sorted

  bool operator==(const engine_setup&) const = default;
};

struct engine_state {
  engine_setup setup;
  std::optional<fencing_token> highest_token;  // highest that the engine has accepted; absent: not reported
  std::uint32_t decode_slots = 0;

  bool operator==(const engine_state&) const = default;
};

struct command_reply {
  bool accepted = false;
  std::optional<fencing_token> highest_token;  // highest that the engine has accepted, if it refused the command

  bool operator==(const command_reply&) const = default;
};

class engine_client {
 public:
  // stream_timeout: longest time between two lines of a running prefill or decode.
  engine_client(asio::io_context& context, host_port address, milliseconds stream_timeout);

  const host_port& Address() const { return address_; }

  // Called with the head of each response and the time when its request was sent.
  std::function<void(const http_response_head&, time_point sent)> on_response;

  // Errors of all functions: those of http_client, and kProtocol for an answer that cannot be parsed.
  task<result<engine_state>> ReadState();
  task<result<command_reply>> SendCommand(fencing_token token, engine_setup setup);
  task<result<std::vector<cache_event>>> ReadCacheEvents(std::uint64_t after);

  // Returns whether the engine had work with this id.
  task<result<bool>> CancelWork(std::string id);

  // Passes each line of the answer to on_line. A status other than 200 is the error kInvalid with the engine's reason.
  task<result<void>> Prefill(start_prefill work, std::string traceparent, http_client::line_handler on_line);
  task<result<void>> Decode(start_decode work, std::string traceparent, http_client::line_handler on_line);

 private:
  task<result<http_response>> FetchControl(http_request request);
  task<result<void>> Stream(std::string path, std::string body, std::string traceparent,
                            http_client::line_handler on_line);

  host_port address_;
  http_client control_;
  http_client streams_;
};

}  // namespace persimmon
