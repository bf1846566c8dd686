#include "net/datagram.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/log.h"

namespace persimmon {
namespace {

using udp = asio::ip::udp;
using sys_error = boost::system::error_code;

const logger& Log() {
  static const logger log("net.datagram");
  return log;
}

}  // namespace

struct datagram_socket::state : std::enable_shared_from_this<datagram_socket::state> {
  state(asio::io_context& context, host_port address, handler on_message)
      : context(context), address(std::move(address)), on_message(std::move(on_message)), socket(context) {}

  asio::io_context& context;
  host_port address;
  handler on_message;
  udp::socket socket;

  task<> ReceiveLoop() {
    const auto self = shared_from_this();
    std::array<char, 65536> bytes{};
    while (socket.is_open()) {
      udp::endpoint sender;
      sys_error failure;
      const std::size_t count = co_await socket.async_receive_from(asio::buffer(bytes), sender,
                                                                   asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        if (failure == asio::error::operation_aborted) {
          break;
        }
        continue;
      }
      auto decoded = DecodeDatagram(std::string_view(bytes.data(), count));
      if (!decoded) {
        Log().Warning("Dropped a datagram from {}: {}.", sender.address().to_string(), decoded.error().message);
        continue;
      }
      const host_port from{sender.address().to_string(), sender.port()};
      on_message(from, decoded.value());
    }
  }
};

datagram_socket::datagram_socket(asio::io_context& context, host_port address, handler on_message)
    : state_(std::make_shared<state>(context, std::move(address), std::move(on_message))) {}

datagram_socket::~datagram_socket() { Stop(); }

result<void> datagram_socket::Start() {
  sys_error failure;
  const udp::endpoint endpoint(asio::ip::make_address(state_->address.host), state_->address.port);
  state_->socket.open(endpoint.protocol(), failure);
  if (!failure) {
    state_->socket.bind(endpoint, failure);
  }
  if (!failure) {
    state_->socket.non_blocking(true, failure);
  }
  if (failure) {
    return error{error_code::kUnavailable,
                 fmt::format("cannot bind {}: {}", state_->address.Text(), failure.message())};
  }
  asio::co_spawn(state_->context, state_->ReceiveLoop(), asio::detached);
  return outcome::success();
}

void datagram_socket::Stop() {
  sys_error ignored;
  state_->socket.close(ignored);
}

std::uint16_t datagram_socket::Port() const {
  sys_error ignored;
  return state_->socket.local_endpoint(ignored).port();
}

void datagram_socket::Send(const host_port& receiver, const message& value) { SendAll({receiver}, value); }

void datagram_socket::SendAll(const std::vector<host_port>& receivers, const message& value) {
  const std::string bytes = EncodeFrame(value);
  if (bytes.size() > kMaxDatagramBytes) {
    Log().Warning("Dropped a {} message of {} bytes: it exceeds the maximum datagram size.", MessageName(value),
                  bytes.size());
    return;
  }
  for (const host_port& receiver : receivers) {
    sys_error ignored;
    const udp::endpoint endpoint(asio::ip::make_address(receiver.host, ignored), receiver.port);
    state_->socket.send_to(asio::buffer(bytes), endpoint, 0, ignored);
  }
}

}  // namespace persimmon
