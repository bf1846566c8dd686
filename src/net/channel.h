// TCP channels between the system's processes: framed messages, a hello on both sides, heartbeats with a deadline.
//
// Sections
//   1. settings and identity
//   2. channel
//   3. listener
//   4. connector
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/settings.h"
#include "core/timers.h"
#include "net/wire.h"
#include "persimmon/error.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. settings and identity
// ---------------------------------------------------------------------------------------------------------------------

struct channel_settings {
  milliseconds heartbeat_period = milliseconds(250);   // one heartbeat is sent per period
  milliseconds silence_limit = milliseconds(1'000);    // a channel that receives nothing for this long is closed
  milliseconds connect_timeout = milliseconds(1'000);  // for the connection and the hello of the other side
  milliseconds reconnect_minimum = milliseconds(50);   // first pause of a connector after a failure; doubles
  milliseconds reconnect_maximum = milliseconds(1'000);
  std::size_t queue_bytes = 64U << 20U;    // a channel with more unsent bytes is closed
  std::vector<std::string> allowed_hosts;  // IP numbers that may connect; empty: any

  bool operator==(const channel_settings&) const = default;
};

class channel;
using channel_ptr = std::shared_ptr<channel>;

// What a process does on its channels. All functions run on the program's io_context.
struct channel_handlers {
  std::function<hello()> make_hello;                                   // identity sent when a channel opens
  std::function<heartbeat()> make_heartbeat;                           // content of the next heartbeat
  std::function<void(const channel_ptr&)> on_open;                     // both hellos have been exchanged
  std::function<void(const channel_ptr&, const message&)> on_message;  // heartbeats included
  std::function<void(const channel_ptr&, const error&)> on_close;      // called once for each opened channel
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. channel
// ---------------------------------------------------------------------------------------------------------------------

class channel : public std::enable_shared_from_this<channel> {
 public:
  struct state;
  explicit channel(std::unique_ptr<state> state);
  ~channel();
  channel(const channel&) = delete;
  channel& operator=(const channel&) = delete;

  // Queues a message. Dropped if the channel is closed; on_close has told its owner then.
  void Send(const message& value);

  void Close(const error& reason);

  bool IsOpen() const;
  const hello& Peer() const;          // the other side's hello
  std::string RemoteAddress() const;  // IP:PORT
  std::string RemoteHost() const;     // IP number

  // Exchanges hellos, then serves the channel until it is closed. Used by listener and connector.
  task<> Run();

 private:
  std::unique_ptr<state> state_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. listener
// ---------------------------------------------------------------------------------------------------------------------

class channel_listener {
 public:
  channel_listener(asio::io_context& context, host_port address, channel_settings settings, channel_handlers handlers);
  ~channel_listener();
  channel_listener(const channel_listener&) = delete;
  channel_listener& operator=(const channel_listener&) = delete;

  // Binds exclusively. Errors: kUnavailable if the address is taken.
  result<void> Start();

  // Stops accepting and closes every channel.
  void Stop();

  std::uint16_t Port() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 4. connector. Keeps one channel to an address open and opens a new one, with growing pauses, whenever it is lost.
// ---------------------------------------------------------------------------------------------------------------------

class channel_connector {
 public:
  channel_connector(asio::io_context& context, host_port address, channel_settings settings, channel_handlers handlers);
  ~channel_connector();
  channel_connector(const channel_connector&) = delete;
  channel_connector& operator=(const channel_connector&) = delete;

  void Start();
  void Stop();

  channel_ptr Current() const;  // null while there is no open channel
  const host_port& Address() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// Compares two secrets in time that depends only on their lengths.
bool EqualSecrets(std::string_view left, std::string_view right);

}  // namespace persimmon
