#include "fakes/fake_link.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <string>
#include <vector>

namespace persimmon {
namespace {

using tcp = asio::ip::tcp;
using sys_error = boost::system::error_code;

constexpr std::size_t kReadBufferBytes = 65'536;
constexpr std::size_t kMaxQueuedBytes = 4U << 20U;  // per connection and direction; reading pauses at this size
constexpr milliseconds kSilencePollInterval(20);

auto UseAwaitable(sys_error& ec) { return asio::redirect_error(asio::use_awaitable, ec); }

// Data in flight and the time of its delivery.
struct data_chunk {
  time_point deliver_at;
  std::string bytes;  // empty: end of stream
};

// Connection of a caller and the forwarded one to the target.
struct link_connection {
  explicit link_connection(asio::io_context& context) : caller(context), target(context) {}

  void Close() {
    sys_error ignored;
    closed = true;
    caller.close(ignored);
    target.close(ignored);
  }

  tcp::socket caller;
  tcp::socket target;
  bool silent = false;
  bool closed = false;
};

using link_connection_ptr = std::shared_ptr<link_connection>;

// Data in flight in one direction of one connection.
struct link_queue {
  explicit link_queue(asio::io_context& context) : changed(context) {}

  std::deque<data_chunk> chunks;
  std::size_t bytes = 0;
  asio::steady_timer changed;  // condition variable: cancelled whenever the queue changes
};

}  // namespace

struct fake_link::state : std::enable_shared_from_this<fake_link::state> {
  state(asio::io_context& context, fake_link_options options)
      : context(context), timers(context), options(std::move(options)), acceptor(context) {}

  asio::io_context& context;
  timer_service timers;
  fake_link_options options;
  tcp::acceptor acceptor;
  std::uint16_t port = 0;
  std::vector<std::weak_ptr<link_connection>> connections;
  std::array<time_point, 2> link_free_at;  // when each direction will have sent everything queued so far

  result<void> Listen() {
    sys_error ec;
    const std::uint16_t wanted = port != 0 ? port : options.listen.port;
    const tcp::endpoint endpoint(asio::ip::make_address(options.listen.host), wanted);
    acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
      acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
      acceptor.bind(endpoint, ec);
    }
    if (!ec) {
      acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      return error{error_code::kUnavailable,
                   fmt::format("cannot listen on {}: {}", options.listen.Text(), ec.message())};
    }
    port = acceptor.local_endpoint().port();
    asio::co_spawn(context, AcceptLoop(), asio::detached);
    return outcome::success();
  }

  task<> AcceptLoop() {
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
      auto next = std::make_shared<link_connection>(context);
      sys_error ec;
      co_await acceptor.async_accept(next->caller, UseAwaitable(ec));
      if (ec) {
        break;
      }
      std::erase_if(connections, [](const auto& item) { return item.expired(); });
      connections.push_back(next);
      asio::co_spawn(context, StartForwarding(next), asio::detached);
    }
  }

  task<> StartForwarding(link_connection_ptr connection) {
    const auto self = shared_from_this();
    sys_error ec;
    const tcp::endpoint endpoint(asio::ip::make_address(options.target.host), options.target.port);
    co_await connection->target.async_connect(endpoint, UseAwaitable(ec));
    if (ec) {
      connection->Close();
      co_return;
    }
    sys_error ignored;
    connection->caller.set_option(tcp::no_delay(true), ignored);
    connection->target.set_option(tcp::no_delay(true), ignored);
    for (std::size_t direction = 0; direction < 2; ++direction) {
      auto queue = std::make_shared<link_queue>(context);
      asio::co_spawn(context, ReadLoop(connection, queue, direction), asio::detached);
      asio::co_spawn(context, WriteLoop(connection, queue, direction), asio::detached);
    }
  }

  // Reads from the sender into the queue, and stamps each chunk with its delivery time.
  task<> ReadLoop(link_connection_ptr connection, std::shared_ptr<link_queue> queue, std::size_t direction) {
    const auto self = shared_from_this();
    tcp::socket& source = direction == 0 ? connection->caller : connection->target;
    while (!connection->closed) {
      if (connection->silent) {
        co_await timers.Sleep(kSilencePollInterval);
        continue;
      }
      if (queue->bytes >= kMaxQueuedBytes) {
        co_await WaitForChange(queue);
        continue;
      }
      std::string bytes(kReadBufferBytes, '\0');
      sys_error ec;
      const std::size_t count = co_await source.async_read_some(asio::buffer(bytes), UseAwaitable(ec));
      if (ec && ec != asio::error::eof) {
        connection->Close();
        queue->changed.cancel();
        break;
      }
      bytes.resize(ec ? 0 : count);
      const time_point deliver_at = ReserveLink(direction, bytes.size()) + milliseconds(options.delay_ms);
      queue->bytes += bytes.size();
      queue->chunks.push_back({deliver_at, std::move(bytes)});
      queue->changed.cancel();
      if (ec) {
        break;
      }
    }
  }

  // Writes queued chunks to the receiver when they are due.
  task<> WriteLoop(link_connection_ptr connection, std::shared_ptr<link_queue> queue, std::size_t direction) {
    const auto self = shared_from_this();
    tcp::socket& destination = direction == 0 ? connection->target : connection->caller;
    while (!connection->closed) {
      if (queue->chunks.empty()) {
        co_await WaitForChange(queue);
        continue;
      }
      const data_chunk next = std::move(queue->chunks.front());
      queue->chunks.pop_front();
      queue->bytes -= next.bytes.size();
      queue->changed.cancel();
      asio::steady_timer timer(context, next.deliver_at);
      sys_error ec;
      co_await timer.async_wait(UseAwaitable(ec));
      while (connection->silent && !connection->closed) {
        co_await timers.Sleep(kSilencePollInterval);
      }
      if (connection->closed) {
        break;
      }
      if (next.bytes.empty()) {
        destination.shutdown(tcp::socket::shutdown_send, ec);
        break;
      }
      co_await asio::async_write(destination, asio::buffer(next.bytes), UseAwaitable(ec));
      if (ec) {
        connection->Close();
      }
    }
  }

  task<> WaitForChange(std::shared_ptr<link_queue> queue) {
    sys_error ignored;
    queue->changed.expires_at(time_point::max());
    co_await queue->changed.async_wait(UseAwaitable(ignored));
  }

  // Reserves bandwidth for the bytes. Returns when the link will have sent them.
  time_point ReserveLink(std::size_t direction, std::size_t bytes) {
    time_point& free_at = link_free_at[direction];
    free_at = std::max(free_at, timer_service::Now());
    if (options.rate_bytes_per_s > 0) {
      free_at += std::chrono::duration_cast<time_point::duration>(
          std::chrono::duration<double>(static_cast<double>(bytes) / options.rate_bytes_per_s));
    }
    return free_at;
  }

  template <class function>
  void ForEachConnection(const function& apply) {
    const auto all = connections;
    for (const auto& item : all) {
      if (const link_connection_ptr connection = item.lock()) {
        apply(*connection);
      }
    }
  }
};

fake_link::fake_link(asio::io_context& context, fake_link_options options)
    : state_(std::make_shared<state>(context, std::move(options))) {}

fake_link::~fake_link() { Stop(); }

result<void> fake_link::Start() { return state_->Listen(); }

void fake_link::Stop() {
  sys_error ignored;
  state_->acceptor.close(ignored);
  CutConnections();
}

std::uint16_t fake_link::Port() const { return state_->port; }

void fake_link::SetSilent(bool silent) {
  state_->ForEachConnection([silent](link_connection& connection) { connection.silent = silent; });
}

void fake_link::CutConnections() {
  state_->ForEachConnection([](link_connection& connection) { connection.Close(); });
}

void fake_link::SetDelay(std::int64_t delay_ms) { state_->options.delay_ms = delay_ms; }

result<void> fake_link::SetRefusingConnections(bool refusing) {
  if (refusing) {
    sys_error ignored;
    state_->acceptor.close(ignored);
    return outcome::success();
  }
  if (state_->acceptor.is_open()) {
    return outcome::success();
  }
  return state_->Listen();
}

}  // namespace persimmon
