// Sections
//   1. channel
//   2. listener
//   3. connector
#include "net/channel.h"

#include <fmt/format.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <set>

#include "core/log.h"
#include "net/acceptor.h"

namespace persimmon {
namespace {

using tcp = asio::ip::tcp;
using sys_error = boost::system::error_code;

// Limit of the first frame, so that an unauthenticated peer cannot make the process allocate large buffers.
constexpr std::uint32_t kMaxHelloBytes = 4096;
constexpr milliseconds kAcceptRetryDelay(100);  // after a failed accept, for example if no file descriptor is free

// Role of this process in a connection. The accepting side sends its hello, which contains the secret, only after the
// peer has sent the right secret.
enum class channel_side : std::uint8_t { kConnecting, kAccepting };

const logger& Log() {
  static const logger log("net.channel");
  return log;
}

auto RedirectError(sys_error& failure) { return asio::redirect_error(asio::use_awaitable, failure); }

}  // namespace

bool ConstantTimeEquals(std::string_view left, std::string_view right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

// ---------------------------------------------------------------------------------------------------------------------
// 1. channel
// ---------------------------------------------------------------------------------------------------------------------

struct channel::state {
  state(asio::io_context& context, tcp::socket socket, channel_side side, channel_settings settings,
        channel_handlers handlers)
      : context(context),
        timers(context),
        side(side),
        socket(std::move(socket)),
        settings(std::move(settings)),
        handlers(std::move(handlers)) {
    sys_error failure;
    const auto remote = this->socket.remote_endpoint(failure);
    if (!failure) {
      remote_host = remote.address().to_string();
      remote_port = remote.port();
    }
    this->socket.set_option(tcp::no_delay(true), failure);
  }

  asio::io_context& context;
  timer_service timers;
  channel_side side;
  tcp::socket socket;
  channel_settings settings;
  channel_handlers handlers;
  hello peer;
  std::string remote_host;
  std::uint16_t remote_port = 0;
  std::string unsent;             // frames queued behind the write in progress
  std::size_t writing_bytes = 0;  // size of the write in progress
  bool writing = false;
  bool open = false;  // the handshake is complete
  bool closed = false;
  std::uint64_t heartbeats = 0;
  time_point last_received = timer_service::Now();
  timer_subscription heartbeat_timer;

  task<result<message>> ReadMessage(std::uint32_t limit) {
    std::array<char, kFrameHeaderBytes> head{};
    sys_error failure;
    co_await asio::async_read(socket, asio::buffer(head), RedirectError(failure));
    if (failure) {
      co_return error{error_code::kClosed, failure.message()};
    }
    auto header = DecodeFrameHeader(std::string_view(head.data(), head.size()));
    if (!header) {
      co_return header.error();
    }
    if (header.value().length > limit) {
      co_return error{error_code::kProtocol,
                      fmt::format("first frame of {} bytes exceeds the limit", header.value().length)};
    }
    std::string body(header.value().length, '\0');
    co_await asio::async_read(socket, asio::buffer(body), RedirectError(failure));
    if (failure) {
      co_return error{error_code::kClosed, failure.message()};
    }
    last_received = timer_service::Now();
    co_return DecodeFrameBody(header.value(), body);
  }
};

channel::channel(std::unique_ptr<state> state) : state_(std::move(state)) {}
channel::~channel() = default;

bool channel::IsOpen() const { return state_->open && !state_->closed; }
bool channel::IsClosed() const { return state_->closed; }
const hello& channel::Peer() const { return state_->peer; }
std::string channel::RemoteHost() const { return state_->remote_host; }
std::string channel::RemoteAddress() const { return fmt::format("{}:{}", state_->remote_host, state_->remote_port); }

void channel::Send(const message& value) {
  if (state_->closed) {
    return;
  }
  const std::string frame = EncodeFrame(value);
  if (frame.size() > kFrameHeaderBytes + kMaxFrameBytes) {
    // The receiver would close the channel and so abort all other work on it.
    Log().Error("Dropped a {} message of {} bytes to {}: it exceeds the maximum frame size.", MessageName(value),
                frame.size(), RemoteAddress());
    return;
  }
  state_->unsent += frame;
  if (state_->unsent.size() + state_->writing_bytes > state_->settings.send_queue_bytes) {
    Close({error_code::kClosed, "send queue limit exceeded"});
    return;
  }
  if (state_->writing) {
    return;
  }
  state_->writing = true;
  auto write = [](channel_ptr self) -> task<> {
    while (!self->state_->unsent.empty() && !self->state_->closed) {
      const std::string data = std::exchange(self->state_->unsent, std::string());
      sys_error failure;
      self->state_->writing_bytes = data.size();
      co_await asio::async_write(self->state_->socket, asio::buffer(data), RedirectError(failure));
      self->state_->writing_bytes = 0;
      if (failure) {
        self->Close({error_code::kClosed, failure.message()});
      }
    }
    self->state_->writing = false;
  };
  asio::co_spawn(state_->context, write(shared_from_this()), asio::detached);
}

void channel::Close(const error& reason) {
  if (std::exchange(state_->closed, true)) {
    return;
  }
  const channel_ptr self = shared_from_this();
  sys_error ignored;
  state_->socket.close(ignored);
  state_->heartbeat_timer.Cancel();
  if (reason.code == error_code::kProtocol) {
    Log().Warning("Closed the channel to {}: {}.", RemoteAddress(), reason.message);
  }
  if (state_->open && state_->handlers.on_close) {
    state_->handlers.on_close(self, reason);
  }
}

task<> channel::Run() {
  const channel_ptr self = shared_from_this();
  const hello own = state_->handlers.make_hello();
  if (state_->side == channel_side::kConnecting) {
    Send(own);
  }
  timer_subscription deadline = state_->timers.SubscribeOnce(state_->settings.connect_timeout, [self] {
    if (!self->state_->open) {
      self->Close({error_code::kTimeout, "no handshake message received before the connect timeout"});
    }
  });
  auto first = co_await state_->ReadMessage(kMaxHelloBytes);
  if (!first) {
    Close(first.error());
    co_return;
  }
  const hello* peer = std::get_if<hello>(&first.value());
  if (peer == nullptr) {
    Close({error_code::kProtocol, fmt::format("first message is {} instead of hello", MessageName(first.value()))});
    co_return;
  }
  if (!ConstantTimeEquals(peer->secret, own.secret)) {
    Close({error_code::kProtocol, "peer sent a wrong secret"});
    co_return;
  }
  state_->peer = *peer;
  state_->peer.secret.clear();
  if (state_->closed) {
    co_return;
  }
  if (state_->side == channel_side::kAccepting) {
    Send(own);
  }
  state_->open = true;
  state_->handlers.on_open(self);
  state_->heartbeat_timer = state_->timers.SubscribeEvery(state_->settings.heartbeat_period, 0.1, [this] {
    if (timer_service::Now() - state_->last_received > state_->settings.receive_timeout) {
      Close({error_code::kTimeout, "no message received within the receive timeout"});
      return;
    }
    heartbeat beat = state_->handlers.make_heartbeat();
    beat.sequence = ++state_->heartbeats;
    Send(beat);
  });
  while (!state_->closed) {
    auto next = co_await state_->ReadMessage(kMaxFrameBytes);
    if (!next) {
      Close(next.error());
      break;
    }
    if (!state_->closed) {
      state_->handlers.on_message(self, next.value());
    }
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. listener
// ---------------------------------------------------------------------------------------------------------------------

struct channel_listener::state : std::enable_shared_from_this<channel_listener::state> {
  state(asio::io_context& context, host_port address, channel_settings settings, channel_handlers handlers)
      : context(context),
        timers(context),
        address(std::move(address)),
        settings(std::move(settings)),
        handlers(std::move(handlers)),
        acceptor(context) {}

  asio::io_context& context;
  timer_service timers;
  host_port address;
  channel_settings settings;
  channel_handlers handlers;
  tcp::acceptor acceptor;
  std::set<channel_ptr> channels;
  std::deque<std::weak_ptr<channel>> handshakes;  // in progress, and some that have ended

  // Makes room for a new handshake.
  void LimitHandshakes() {
    std::erase_if(handshakes, [](const std::weak_ptr<channel>& item) {
      const channel_ptr accepted = item.lock();
      return !accepted || accepted->IsOpen() || accepted->IsClosed();
    });
    if (handshakes.size() >= settings.handshakes) {
      handshakes.front().lock()->Close({error_code::kUnavailable, "too many handshakes are in progress"});
      handshakes.pop_front();
    }
  }

  bool IsAllowed(const std::string& host) const {
    return settings.allowed_hosts.empty() || std::find(settings.allowed_hosts.begin(), settings.allowed_hosts.end(),
                                                       host) != settings.allowed_hosts.end();
  }

  task<> AcceptLoop() {
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
      sys_error failure;
      tcp::socket socket(context);
      co_await acceptor.async_accept(socket, RedirectError(failure));
      if (failure == asio::error::operation_aborted || !acceptor.is_open()) {
        break;
      }
      if (failure) {
        Log().Warning("Accept failed: {}.", failure.message());
        co_await timers.Sleep(kAcceptRetryDelay);
        continue;
      }
      auto accepted = std::make_shared<channel>(
          std::make_unique<channel::state>(context, std::move(socket), channel_side::kAccepting, settings, handlers));
      if (!IsAllowed(accepted->RemoteHost())) {
        Log().Warning("Rejected a channel from {}: the address is not in allowed_hosts.", accepted->RemoteAddress());
        continue;
      }
      LimitHandshakes();
      handshakes.push_back(accepted);
      asio::co_spawn(context, Serve(accepted), asio::detached);
    }
  }

  task<> Serve(channel_ptr accepted) {
    const auto self = shared_from_this();
    channels.insert(accepted);
    co_await accepted->Run();
    channels.erase(accepted);
  }
};

channel_listener::channel_listener(asio::io_context& context, host_port address, channel_settings settings,
                                   channel_handlers handlers)
    : state_(std::make_shared<state>(context, std::move(address), std::move(settings), std::move(handlers))) {}

channel_listener::~channel_listener() { Stop(); }

result<void> channel_listener::Start() {
  if (auto opened = OpenAcceptor(state_->acceptor, state_->address); !opened) {
    return opened.error();
  }
  asio::co_spawn(state_->context, state_->AcceptLoop(), asio::detached);
  return outcome::success();
}

void channel_listener::Stop() {
  sys_error ignored;
  state_->acceptor.close(ignored);
  const auto channels = state_->channels;
  for (const channel_ptr& item : channels) {
    item->Close({error_code::kClosed, "process is shutting down"});
  }
}

std::uint16_t channel_listener::Port() const {
  sys_error ignored;
  return state_->acceptor.local_endpoint(ignored).port();
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. connector
// ---------------------------------------------------------------------------------------------------------------------

struct channel_connector::state : std::enable_shared_from_this<channel_connector::state> {
  state(asio::io_context& context, host_port address, channel_settings settings, channel_handlers handlers)
      : context(context),
        timers(context),
        address(std::move(address)),
        settings(std::move(settings)),
        handlers(std::move(handlers)) {}

  asio::io_context& context;
  timer_service timers;
  host_port address;
  channel_settings settings;
  channel_handlers handlers;
  channel_ptr current;
  std::uint64_t generation = 0;  // incremented by Start and Stop; ends the loop of an earlier Start
  bool running = false;

  bool IsRunning(std::uint64_t loop_generation) const { return running && loop_generation == generation; }

  // Opens a channel and runs it until it is closed. Returns true if it lasted longer than the receive timeout, so that
  // the next reconnect starts with the shortest delay.
  task<bool> ConnectOnce(std::uint64_t loop_generation) {
    auto socket = std::make_shared<tcp::socket>(context);
    const auto deadline = timers.SubscribeOnce(settings.connect_timeout, [socket] {
      sys_error ignored;
      socket->close(ignored);
    });
    sys_error failure;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
    co_await socket->async_connect(endpoint, RedirectError(failure));
    if (failure || !IsRunning(loop_generation)) {
      co_return false;
    }
    current = std::make_shared<channel>(
        std::make_unique<channel::state>(context, std::move(*socket), channel_side::kConnecting, settings, handlers));
    const channel_ptr connection = current;
    const time_point begin = timer_service::Now();
    co_await connection->Run();
    if (current == connection) {
      current.reset();
    }
    co_return timer_service::Now() - begin > settings.receive_timeout;
  }

  task<> ReconnectLoop() {
    const auto self = shared_from_this();
    const std::uint64_t loop_generation = generation;
    milliseconds delay = settings.min_reconnect_delay;
    while (IsRunning(loop_generation)) {
      const bool was_stable = co_await ConnectOnce(loop_generation);
      if (!IsRunning(loop_generation)) {
        break;
      }
      delay = was_stable ? settings.min_reconnect_delay : std::min(delay * 2, settings.max_reconnect_delay);
      co_await timers.Sleep(delay);
    }
  }
};

channel_connector::channel_connector(asio::io_context& context, host_port address, channel_settings settings,
                                     channel_handlers handlers)
    : state_(std::make_shared<state>(context, std::move(address), std::move(settings), std::move(handlers))) {}

channel_connector::~channel_connector() { Stop(); }

void channel_connector::Start() {
  if (std::exchange(state_->running, true)) {
    return;
  }
  ++state_->generation;
  asio::co_spawn(state_->context, state_->ReconnectLoop(), asio::detached);
}

void channel_connector::Stop() {
  state_->running = false;
  ++state_->generation;
  if (state_->current) {
    state_->current->Close({error_code::kClosed, "process is shutting down"});
  }
}

channel_ptr channel_connector::Current() const {
  return state_->current && state_->current->IsOpen() ? state_->current : nullptr;
}

const host_port& channel_connector::Address() const { return state_->address; }

}  // namespace persimmon
