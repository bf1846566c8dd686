// Opens listening sockets for the HTTP server and the channel listener.
#pragma once

#include <fmt/format.h>

#include <boost/asio/ip/tcp.hpp>

#include "core/settings.h"
#include "persimmon/error.h"

namespace persimmon {

// Binds the address and listens. SO_REUSEADDR allows a restart while connections of the previous process are in
// TIME_WAIT, but not a second listener on the same address, which prevents two agents on one VM.
// Errors: kUnavailable if the address is in use.
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
