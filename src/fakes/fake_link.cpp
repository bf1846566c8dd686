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

constexpr std::size_t kReadBytes = 65'536;
constexpr std::size_t kMaxQueuedBytes = 4U << 20U;  // per connection and direction; then the sender has to wait
constexpr milliseconds kSilenceCheck(20);

auto AwaitWith(sys_error& failure) { return asio::redirect_error(asio::use_awaitable, failure); }

// Bytes on their way, with the moment at which they arrive.
struct packet {
  time_point due;
  std::string bytes;  // empty: the sender has closed its side
};

struct relay_connection {
  explicit relay_connection(asio::io_context& context) : caller(context), target(context) {}

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

using relay_ptr = std::shared_ptr<relay_connection>;

// Packets of one direction of one connection.
struct relay_queue {
  explicit relay_queue(asio::io_context& context) : changed(context) {}

  std::deque<packet> packets;
  std::size_t bytes = 0;
  asio::steady_timer changed;  // cancelled whenever the queue changes
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
  std::vector<std::weak_ptr<relay_connection>> connections;
  std::array<time_point, 2> link_free;  // when each direction has sent what was put on it

  result<void> Listen() {
    sys_error failure;
    const std::uint16_t wanted = port != 0 ? port : options.listen.port;
    const tcp::endpoint endpoint(asio::ip::make_address(options.listen.host), wanted);
    acceptor.open(endpoint.protocol(), failure);
    if (!failure) {
      acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
      acceptor.bind(endpoint, failure);
    }
    if (!failure) {
      acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
      return error{error_code::kUnavailable,
                   fmt::format("cannot listen on {}: {}", options.listen.Text(), failure.message())};
    }
    port = acceptor.local_endpoint().port();
    asio::co_spawn(context, Accept(), asio::detached);
    return outcome::success();
  }

  task<> Accept() {
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
      auto next = std::make_shared<relay_connection>(context);
      sys_error failure;
      co_await acceptor.async_accept(next->caller, AwaitWith(failure));
      if (failure) {
        break;
      }
      std::erase_if(connections, [](const auto& item) { return item.expired(); });
      connections.push_back(next);
      asio::co_spawn(context, Serve(next), asio::detached);
    }
  }

  task<> Serve(relay_ptr connection) {
    const auto self = shared_from_this();
    sys_error failure;
    const tcp::endpoint endpoint(asio::ip::make_address(options.to.host), options.to.port);
    co_await connection->target.async_connect(endpoint, AwaitWith(failure));
    if (failure) {
      connection->Close();
      co_return;
    }
    sys_error ignored;
    connection->caller.set_option(tcp::no_delay(true), ignored);
    connection->target.set_option(tcp::no_delay(true), ignored);
    for (std::size_t direction = 0; direction < 2; ++direction) {
      auto queue = std::make_shared<relay_queue>(context);
      asio::co_spawn(context, Receive(connection, queue, direction), asio::detached);
      asio::co_spawn(context, Deliver(connection, queue, direction), asio::detached);
    }
  }

  task<> Receive(relay_ptr connection, std::shared_ptr<relay_queue> queue, std::size_t direction) {
    const auto self = shared_from_this();
    tcp::socket& source = direction == 0 ? connection->caller : connection->target;
    while (!connection->closed) {
      if (connection->silent) {
        co_await timers.Sleep(kSilenceCheck);
        continue;
      }
      if (queue->bytes >= kMaxQueuedBytes) {
        co_await AwaitChange(queue);
        continue;
      }
      std::string bytes(kReadBytes, '\0');
      sys_error failure;
      const std::size_t count = co_await source.async_read_some(asio::buffer(bytes), AwaitWith(failure));
      if (failure && failure != asio::error::eof) {
        connection->Close();
        queue->changed.cancel();
        break;
      }
      bytes.resize(failure ? 0 : count);
      const time_point due = ReserveLink(direction, bytes.size()) + milliseconds(options.delay_ms);
      queue->bytes += bytes.size();
      queue->packets.push_back({due, std::move(bytes)});
      queue->changed.cancel();
      if (failure) {
        break;
      }
    }
  }

  task<> Deliver(relay_ptr connection, std::shared_ptr<relay_queue> queue, std::size_t direction) {
    const auto self = shared_from_this();
    tcp::socket& target = direction == 0 ? connection->target : connection->caller;
    while (!connection->closed) {
      if (queue->packets.empty()) {
        co_await AwaitChange(queue);
        continue;
      }
      const packet next = std::move(queue->packets.front());
      queue->packets.pop_front();
      queue->bytes -= next.bytes.size();
      queue->changed.cancel();
      asio::steady_timer timer(context, next.due);
      sys_error failure;
      co_await timer.async_wait(AwaitWith(failure));
      while (connection->silent && !connection->closed) {
        co_await timers.Sleep(kSilenceCheck);
      }
      if (connection->closed) {
        break;
      }
      if (next.bytes.empty()) {
        target.shutdown(tcp::socket::shutdown_send, failure);
        break;
      }
      co_await asio::async_write(target, asio::buffer(next.bytes), AwaitWith(failure));
      if (failure) {
        connection->Close();
      }
    }
  }

  task<> AwaitChange(std::shared_ptr<relay_queue> queue) {
    sys_error ignored;
    queue->changed.expires_at(time_point::max());
    co_await queue->changed.async_wait(AwaitWith(ignored));
  }

  // Returns when the bytes have been put on the link.
  time_point ReserveLink(std::size_t direction, std::size_t bytes) {
    time_point& free = link_free[direction];
    free = std::max(free, timer_service::Now());
    if (options.rate_bytes_per_s > 0) {
      free += std::chrono::duration_cast<time_point::duration>(
          std::chrono::duration<double>(static_cast<double>(bytes) / options.rate_bytes_per_s));
    }
    return free;
  }

  template <class function>
  void ForEachConnection(const function& apply) {
    const auto all = connections;
    for (const auto& item : all) {
      if (const relay_ptr connection = item.lock()) {
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
  state_->ForEachConnection([silent](relay_connection& connection) { connection.silent = silent; });
}

void fake_link::CutConnections() {
  state_->ForEachConnection([](relay_connection& connection) { connection.Close(); });
}

void fake_link::SetDelay(std::int64_t delay_ms) { state_->options.delay_ms = delay_ms; }

result<void> fake_link::SetRefuse(bool refuse) {
  if (refuse) {
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
