// UDP socket for single messages: load reports and revisions. Losing a datagram is harmless.
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

  // Port 0 lets the system choose one.
  datagram_socket(asio::io_context& context, host_port address, handler on_message);
  ~datagram_socket();
  datagram_socket(const datagram_socket&) = delete;
  datagram_socket& operator=(const datagram_socket&) = delete;

  // Errors: kUnavailable if the address is taken.
  result<void> Start();
  void Stop();

  std::uint16_t Port() const;

  // Sends at once or drops the message. A message over kMaxDatagramBytes is dropped with a log line.
  void Send(const host_port& receiver, const message& value);

  // The same to several receivers; the message is encoded once.
  void SendAll(const std::vector<host_port>& receivers, const message& value);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
