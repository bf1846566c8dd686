// UDP socket that carries one message per datagram: load reports and router states. The protocol tolerates lost
// datagrams.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "core/settings.h"
#include "core/timers.h"
#include "net/wire.h"
#include "persimmon/error.h"

namespace persimmon {

class datagram_socket {
 public:
  using handler = std::function<void(const host_port& sender, const message& value)>;

  // Port 0 binds an ephemeral port.
  datagram_socket(asio::io_context& context, host_port address, handler on_message);
  ~datagram_socket();
  datagram_socket(const datagram_socket&) = delete;
  datagram_socket& operator=(const datagram_socket&) = delete;

  // Binds the address and starts to receive. Errors: kUnavailable if the address is in use.
  result<void> Start();
  void Stop();

  std::uint16_t Port() const;

  // Sends without blocking; the message is dropped if the socket buffer is full. A message over kMaxDatagramBytes is
  // dropped and logged.
  void Send(const host_port& receiver, const message& value);

  // Sends one message to several receivers and encodes it only once.
  void SendAll(const std::vector<host_port>& receivers, const message& value);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
