// TCP channels between the processes of the system: framed messages, a hello handshake in both directions, heartbeats
// and a receive timeout.
//
// Sections
//   1. settings and callbacks
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
// 1. settings and callbacks
// ---------------------------------------------------------------------------------------------------------------------

struct channel_settings {
  milliseconds heartbeat_period = milliseconds(250);    // interval between heartbeats
  milliseconds receive_timeout = milliseconds(1'000);   // a channel is closed if it receives nothing for this long
  milliseconds connect_timeout = milliseconds(1'000);   // for the TCP connection and the peer's hello
  milliseconds min_reconnect_delay = milliseconds(50);  // reconnect delay; doubles with each failed attempt
  milliseconds max_reconnect_delay = milliseconds(1'000);
  std::size_t send_queue_bytes = 64U << 20U;  // limit of unsent bytes; a channel over it is closed
  // Accepted connections that have not sent the secret; beyond it, the oldest one is closed. All routers of a
  // deployment may connect at once.
  std::size_t handshakes = 512;
  std::vector<std::string> allowed_hosts;  // IP addresses that may connect; empty: any

  bool operator==(const channel_settings&) const = default;
};

class channel;
using channel_ptr = std::shared_ptr<channel>;

// Callbacks of a channel. All of them run on the program's io_context.
struct channel_handlers {
  std::function<hello()> make_hello;                // identity sent when a channel opens
  std::function<heartbeat()> make_heartbeat;        // next heartbeat; the channel sets its sequence number
  std::function<void(const channel_ptr&)> on_open;  // the handshake is complete
  std::function<void(const channel_ptr&, const message&)> on_message;  // a message arrived; heartbeats included
  std::function<void(const channel_ptr&, const error&)> on_close;      // called once, only if on_open was called
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

  // Queues a message. It is dropped if the channel is closed.
  void Send(const message& value);

  void Close(const error& reason);

  bool IsOpen() const;  // the handshake is complete, and the channel is not closed
  bool IsClosed() const;
  const hello& Peer() const;          // the peer's hello, without the secret
  std::string RemoteAddress() const;  // IP:PORT
  std::string RemoteHost() const;     // IP address

  // Performs the handshake, then reads messages until the channel is closed. Called by the listener and the connector.
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

  // Binds the address exclusively. Errors: kUnavailable if it is in use.
  result<void> Start();

  // Stops accepting and closes every channel.
  void Stop();

  std::uint16_t Port() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 4. connector. Keeps one channel to an address open and reconnects with exponential backoff when it is closed.
// ---------------------------------------------------------------------------------------------------------------------

class channel_connector {
 public:
  channel_connector(asio::io_context& context, host_port address, channel_settings settings, channel_handlers handlers);
  ~channel_connector();
  channel_connector(const channel_connector&) = delete;
  channel_connector& operator=(const channel_connector&) = delete;

  void Start();
  void Stop();

  channel_ptr Current() const;  // null if no channel is open
  const host_port& Address() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// Constant-time comparison: the duration depends only on the lengths.
bool ConstantTimeEquals(std::string_view left, std::string_view right);

}  // namespace persimmon
