// Opening of listening sockets, shared by the HTTP server and the channel listener.
#pragma once

#include <fmt/format.h>

#include <boost/asio/ip/tcp.hpp>

#include "core/settings.h"
#include "persimmon/error.h"

namespace persimmon {

// Binds the address and listens. The address may be bound while connections of an earlier process linger, but never by
// a second listener; that keeps a second agent off a VM. Errors: kUnavailable if the address is taken.
inline result<void> OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor, const host_port& address) {
  boost::system::error_code failure;
  const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.host), address.port);
  acceptor.open(endpoint.protocol(), failure);
  if (!failure) {
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), failure);
    acceptor.bind(endpoint, failure);
  }
  if (!failure) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return error{error_code::kUnavailable, fmt::format("cannot listen on {}: {}", address.Text(), failure.message())};
  }
  return outcome::success();
}

}  // namespace persimmon
