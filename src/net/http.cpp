// Sections
//   1. messages
//   2. server connections
//   3. server
//   4. client
//   5. streaming calls
#include "net/http.h"

#include <fmt/format.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <limits>
#include <map>
#include <set>

#include "core/log.h"
#include "core/mailbox.h"
#include "net/acceptor.h"
#include "persimmon/shared_limit.h"

namespace persimmon {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using sys_error = boost::system::error_code;

constexpr std::size_t kHeadReadBytes = 4'096;   // read at once of the head of a request
constexpr std::size_t kBodyReadBytes = 16'384;  // the same of a body
// Memory that each connection may use for its input, whatever the others use.
constexpr std::size_t kInputAllowance = 12U << 10U;
// The same for responses that its caller has not read yet.
constexpr std::size_t kOutputAllowance = 8U << 10U;
// Of the memory for input. The rest is for the heads of requests.
constexpr double kReadAheadShare = 0.5;
// A parsed head exists twice, as it arrived and as it is forwarded; each field takes this much besides its text.
constexpr std::size_t kHeadCopies = 2;
constexpr std::size_t kFieldBytes = 128;
constexpr milliseconds kWritePollPeriod(1);
constexpr milliseconds kAcknowledgePollPeriod(5);   // while a server has not received all of a request
constexpr std::size_t kMaxPipelinedBytes = 65'536;  // of pipelined requests, buffered while a response is prepared
constexpr std::size_t kMaxUnparsedBytes = 65'536;   // of a chunk header or a trailer, buffered until its end arrives
// The same of a response. Each connection to an endpoint keeps a buffer of this size once much has arrived on it.
constexpr std::size_t kClientBufferBytes = 16'384;
// Longer bodies have their own part of the memory for bodies, so that short requests do not wait for uploads.
constexpr std::size_t kLongBodyBytes = 65'536;
constexpr double kLongBodyShare = 0.75;
constexpr milliseconds kMemoryRetryAfter(1'000);  // Retry-After of a request that gets no memory
constexpr milliseconds kLingerTimeout(1'000);     // time for which the input of a rejected caller is still read
constexpr std::size_t kMaxLingerBytes = 64U << 20U;
constexpr milliseconds kIdleCheckPeriod(1'000);  // between two checks of idle connections
constexpr std::size_t kMaxIdleChecks = 64;       // connections in one check, which takes a system call for each
constexpr milliseconds kAcceptRetryDelay(100);   // after a failed accept, for example if no file descriptor is free
constexpr milliseconds kStalledTime(1'000);      // without progress, until a connection may be closed for a new one
constexpr std::size_t kManyRequestsAhead = 32;   // no caller that waits for answers sends so many
constexpr unsigned kFirstStatus = 100;           // of the valid ones (RFC 9110, section 15)
constexpr unsigned kLastStatus = 599;            // of the same
constexpr unsigned kFirstFinalStatus = 200;      // lower ones belong to interim responses
constexpr std::size_t kMaxInterimResponses = 8;  // before a final response; a server may send them without end
constexpr milliseconds kLateReadLimit(100);      // time for which data is still read after a deadline
constexpr unsigned kHttp10 = 10;                 // HTTP/1.0 in Beast's encoding

const logger& Log() {
  static const logger log("net.http");
  return log;
}

auto RedirectError(sys_error& failure) { return asio::redirect_error(asio::use_awaitable, failure); }

template <class fields>
header_list CopyHeaders(const fields& source) {
  header_list headers;
  for (const auto& field : source) {
    headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

// Headers that Beast sets itself, or that apply to one connection only.
bool IsConnectionHeader(std::string_view name) {
  return beast::iequals(name, "connection") || beast::iequals(name, "keep-alive") ||
         beast::iequals(name, "transfer-encoding") || beast::iequals(name, "content-length");
}

// True if the body has a transfer coding besides chunks. Its length may be unknown then (RFC 9112, section 6.3), so
// that what follows a request would be taken for further requests. The coding itself is not passed on.
template <class message_type>
bool HasOtherCoding(const message_type& message) {
  const auto codings = message.equal_range(http::field::transfer_encoding);
  return std::any_of(codings.first, codings.second,
                     [](const auto& field) { return !beast::iequals(field.value(), "chunked"); });
}

std::size_t TextBytes(const header_list& headers) {
  std::size_t bytes = 0;
  for (const header_field& field : headers) {
    bytes += field.name.size() + field.value.size();
  }
  return bytes;
}

template <class target>
void SetHeaders(target& message, const header_list& headers) {
  for (const header_field& field : headers) {
    if (!IsConnectionHeader(field.name)) {
      message.insert(field.name, field.value);
    }
  }
}

error MakeError(const sys_error& failure, std::string_view what) {
  if (failure == beast::error::timeout) {
    return error{error_code::kTimeout, fmt::format("{} timed out", what)};
  }
  return error{error_code::kClosed, fmt::format("{} failed: {}", what, failure.message())};
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. messages
// ---------------------------------------------------------------------------------------------------------------------

std::string_view FindHeader(const header_list& headers, std::string_view name) {
  for (const header_field& field : headers) {
    if (beast::iequals(field.name, name)) {
      return field.value;
    }
  }
  return {};
}

bool IsHopByHopHeader(const header_list& headers, std::string_view name) {
  static constexpr std::array<std::string_view, 8> kNames = {
      "connection",       "keep-alive", "proxy-authenticate", "proxy-authorization",
      "proxy-connection", "te",         "transfer-encoding",  "upgrade"};
  if (std::any_of(kNames.begin(), kNames.end(), [name](auto listed) { return beast::iequals(listed, name); })) {
    return true;
  }
  for (const header_field& field : headers) {
    if (beast::iequals(field.name, "connection") && http::token_list(field.value).exists(name)) {
      return true;
    }
  }
  return false;
}

const std::string& shared_body::Text() const {
  static const std::string empty;
  return content_ ? content_->bytes : empty;
}

const char* BodyFramingName(body_framing framing) {
  switch (framing) {
    case body_framing::kLength:
      return "length";
    case body_framing::kChunks:
      return "chunks";
    case body_framing::kConnectionEnd:
      return "connection_end";
  }
  return "unknown";
}

http_response JsonResponse(int status, std::string body) {
  return http_response{status, {{"Content-Type", "application/json"}}, std::move(body)};
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. server connections
// ---------------------------------------------------------------------------------------------------------------------

struct http_server::state : std::enable_shared_from_this<http_server::state> {
  state(asio::io_context& context, host_port address, http_limits limits, http_handler handler)
      : context(context),
        timers(context),
        address(std::move(address)),
        limits(limits),
        handler(std::move(handler)),
        acceptor(context) {
    SetMemory();
  }

  asio::io_context& context;
  timer_service timers;
  host_port address;
  http_limits limits;
  http_handler handler;
  tcp::acceptor acceptor;
  std::set<std::shared_ptr<detail::http_connection>> connections;  // closed ones too, until their request has ended
  std::size_t open_connections = 0;
  std::uint64_t displaced_connections = 0;
  std::size_t requests = 0;
  bool draining = false;
  bool disable_keep_alive = false;  // each response closes its connection
  std::function<std::size_t()> free_descriptors;
  const std::shared_ptr<buffer_budget> long_bodies = std::make_shared<buffer_budget>(0);
  const std::shared_ptr<buffer_budget> short_bodies = std::make_shared<buffer_budget>(0);
  const std::shared_ptr<shared_limit> input = std::make_shared<shared_limit>(0, kInputAllowance);
  const std::shared_ptr<shared_limit> output = std::make_shared<shared_limit>(0, kOutputAllowance);
  std::uint64_t unread_responses = 0;  // cut for lack of memory

  void SetMemory() {
    input->SetLimit(limits.input_memory_bytes);
    output->SetLimit(limits.output_memory_bytes);
    const auto for_long = static_cast<std::size_t>(kLongBodyShare * static_cast<double>(limits.body_memory_bytes));
    long_bodies->SetLimit(for_long);
    short_bodies->SetLimit(limits.body_memory_bytes - for_long);
  }

  task<> Accept();
  void AddConnection(tcp::socket socket);
  bool FreeDescriptors();
  bool DisplaceConnection();
  void ReserveOutput(shared_limit::share& memory, std::size_t bytes);
  void AcceptEstablished();
};

namespace detail {

class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  http_connection(tcp::socket socket, std::shared_ptr<http_server::state> server)
      : stream_(std::move(socket)),
        server_(std::move(server)),
        input_memory_(server_->input),
        output_memory_(server_->output) {
    sys_error failure;
    const auto remote = stream_.socket().remote_endpoint(failure);
    if (!failure) {
      remote_ = fmt::format("{}:{}", remote.address().to_string(), remote.port());
    }
    stream_.socket().set_option(tcp::no_delay(true), failure);
    ++server_->open_connections;
    state_since_ = timer_service::Now();
  }

  task<> Run() {
    const auto self = shared_from_this();
    while (!closed_) {
      auto request = co_await ReadRequest();
      if (!request) {
        break;
      }
      co_await Serve(std::move(request.value()));
      if (!keep_alive_ || (server_->draining && !HasInput())) {
        break;
      }
    }
    Close();
    server_->connections.erase(self);
  }

  void Close() {
    if (!std::exchange(closed_, true)) {
      --server_->open_connections;
    }
    (void)output_memory_.Resize(0);  // what is being sent is dropped
    sys_error ignored;
    if (in_unframed_body_) {
      // An orderly close would mark the end of the body. A reset shows that it is incomplete.
      stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    } else {
      stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }
    stream_.socket().close(ignored);
  }

  // Closes the connection for the sake of another one. A request in progress ends as if its caller had disconnected.
  void Displace() {
    Close();
    if (serving_) {
      HandleDisconnect();
    }
  }

  // What can be lost by closing the connection for a new one, from the least to the most.
  enum class value : std::uint8_t {
    kUnreadAnswer,       // the caller has not read for kStalledTime
    kSendsAhead,         // the caller sends requests without end, whatever it reads
    kIdle,               // no request is being read or processed; one may have arrived
    kIncompleteRequest,  // for kStalledTime
    kInUse,
  };

  value Value(time_point now) {
    const bool is_stalled = now - state_since_ >= kStalledTime;
    if (is_sending_ && is_stalled) {
      return value::kUnreadAnswer;
    }
    if (requests_ahead_ >= kManyRequestsAhead) {
      return value::kSendsAhead;
    }
    if (is_sending_) {
      return value::kInUse;
    }
    if (reading_) {
      return is_stalled ? value::kIncompleteRequest : value::kInUse;
    }
    return serving_ ? value::kInUse : value::kIdle;
  }

  bool IsSending() const { return is_sending_ && !closed_; }
  std::size_t UnsentBytes() const { return output_memory_.Bytes(); }
  time_point StateSince() const { return state_since_; }  // since when it sends, reads or is idle
  bool IsClosed() const { return closed_; }

  // True if input is buffered or waits in the socket.
  bool HasInput() {
    sys_error failure;
    return !closed_ && (buffer_.size() > 0 || (stream_.socket().available(failure) > 0 && !failure));
  }

  // True if no request is being read or processed.
  bool IsIdle() { return !serving_ && !reading_ && !HasInput(); }
  bool IsDisconnected() const { return disconnected_ || closed_; }
  void SetDisconnectCallback(std::function<void()> callback) { on_disconnect_ = std::move(callback); }

  task<result<void>> Write(http_response response) {
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    SetHeaders(message, response.headers);
    keep_alive_ = keep_alive_ && !server_->disable_keep_alive;
    message.keep_alive(keep_alive_ && !server_->draining);
    message.body() = std::move(response.body);
    message.prepare_payload();
    if (head_request_) {
      // A response to HEAD carries the Content-Length of the body but not the body.
      const auto length = message.body().size();
      message.body().clear();
      message.content_length(length);
    }
    http::response_serializer<http::string_body> serializer(message);
    sys_error failure;
    is_writing_ = true;
    BeginSending(TextBytes(response.headers) + message.body().size());
    if (head_request_) {
      co_await http::async_write_header(stream_, serializer, RedirectError(failure));
    } else {
      co_await http::async_write(stream_, serializer, RedirectError(failure));
    }
    EndSending();
    is_writing_ = false;
    co_return Finish(failure);
  }

  task<result<void>> WriteHead(int status, header_list headers, body_framing framing) {
    chunked_ = chunked_ && framing == body_framing::kChunks;
    http::response<http::empty_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(status));
    SetHeaders(message, headers);
    // Without chunks, closing the connection ends the body.
    keep_alive_ = keep_alive_ && chunked_ && !server_->disable_keep_alive;
    message.keep_alive(keep_alive_ && !server_->draining);
    message.chunked(chunked_);
    if (framing == body_framing::kLength) {
      message.set(http::field::content_length, FindHeader(headers, "Content-Length"));
    }
    http::response_serializer<http::empty_body> serializer(message);
    sys_error failure;
    in_unframed_body_ = !chunked_;
    BeginSending(TextBytes(headers));
    co_await http::async_write_header(stream_, serializer, RedirectError(failure));
    EndSending();
    if (failure) {
      co_return Finish(failure);
    }
    co_return outcome::success();
  }

  task<result<void>> WriteRaw(std::string bytes) {
    sys_error failure;
    BeginSending(bytes.size());
    co_await asio::async_write(stream_, asio::buffer(bytes), RedirectError(failure));
    EndSending();
    if (failure) {
      co_return Finish(failure);
    }
    co_return outcome::success();
  }

  task<result<void>> WriteChunk(std::string data, bool last) {
    std::string frame;
    std::size_t copied_bytes = 0;
    if (!chunked_) {
      frame = std::move(data);
    } else if (!data.empty()) {
      frame = fmt::format("{:x}\r\n", data.size()) + data + "\r\n";
      copied_bytes = data.size();
    }
    if (last && chunked_) {
      frame += "0\r\n\r\n";
    }
    sys_error failure;
    BeginSending(frame.size() + copied_bytes);
    co_await asio::async_write(stream_, asio::buffer(frame), RedirectError(failure));
    EndSending();
    if (failure || last) {
      co_return Finish(failure);
    }
    co_return outcome::success();
  }

 private:
  using request_parser = http::request_parser<http::string_body>;

  // `bytes`: memory of what is sent, until it has been sent.
  void BeginSending(std::size_t bytes) {
    server_->ReserveOutput(output_memory_, bytes);
    is_sending_ = true;
    state_since_ = timer_service::Now();
    stream_.expires_after(server_->limits.write_timeout);
  }

  void EndSending() {
    stream_.expires_never();
    is_sending_ = false;
    (void)output_memory_.Resize(0);
  }

  task<result<http_request>> ReadRequest() {
    sys_error failure;
    const http_limits& limits = server_->limits;
    ReleaseInput();
    requests_ahead_ = buffer_.size() > 0 ? requests_ahead_ + 1 : requests_ahead_ / 2;
    if (buffer_.size() == 0) {
      state_since_ = timer_service::Now();
      co_await AwaitInput(failure);
      // From here on, the input may be neither in the socket nor in the buffer while a read completes.
      reading_ = true;
      if (!failure) {
        co_await ReadSome(kHeadReadBytes, failure);
      }
      if (failure || closed_) {
        reading_ = false;
        co_return error{error_code::kClosed, "connection closed"};
      }
    }
    reading_ = true;
    state_since_ = timer_service::Now();
    std::optional<request_parser> parser(std::in_place);
    parser->header_limit(static_cast<std::uint32_t>(
        std::min<std::size_t>(limits.header_bytes, std::numeric_limits<std::uint32_t>::max())));
    parser->body_limit(limits.body_bytes);
    buffer_budget::lease body_memory;
    co_await ReadMessage(*parser, body_memory, failure);
    if (failure) {
      parser.reset();  // the caller may be slow to read the rejection
      { const buffer_budget::lease unused = std::move(body_memory); }
      co_await RejectInput(failure);
      reading_ = false;
      co_return MakeError(failure, "reading a request");
    }
    reading_ = false;
    auto message = parser->release();
    keep_alive_ = message.keep_alive();
    chunked_ = message.version() > kHttp10;
    head_request_ = message.method() == http::verb::head;
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = CopyHeaders(message);
    body_memory.Shrink(message.body().size());
    request.body = shared_body(std::move(message.body()), std::move(body_memory));
    request.remote = remote_;
    co_return request;
  }

  // Waits up to the idle timeout. A connection without a request has no buffer meanwhile.
  task<> AwaitInput(sys_error& failure) {
    bool timed_out = false;
    const auto timeout = server_->timers.SubscribeOnce(server_->limits.idle_timeout, [this, &timed_out] {
      timed_out = true;
      sys_error ignored;
      stream_.socket().cancel(ignored);
    });
    co_await stream_.socket().async_wait(tcp::socket::wait_read, RedirectError(failure));
    if (timed_out) {
      failure = beast::error::timeout;
    }
  }

  // Fails with no_memory if the buffer would need more than is available.
  task<> ReadSome(std::size_t bytes, sys_error& failure) {
    if (!ReserveInput(bytes) && !ReserveInput(kHeadReadBytes)) {
      failure = asio::error::no_memory;
      co_return;
    }
    const auto space = buffer_.prepare(std::min(bytes, buffer_.capacity() - buffer_.size()));
    const std::size_t count = co_await stream_.async_read_some(space, RedirectError(failure));
    buffer_.commit(count);
  }

  // Makes room for so many more bytes of input. Returns false if there is no memory.
  bool ReserveInput(std::size_t bytes) {
    const std::size_t needed = buffer_.size() + bytes;
    if (needed <= buffer_.capacity()) {
      return true;
    }
    const std::size_t capacity = std::max(2 * buffer_.size(), needed);  // as the buffer grows
    if (!input_memory_.Resize(capacity + head_bytes_)) {
      return false;
    }
    buffer_.reserve(needed);
    return true;
  }

  // Frees a buffer that is empty or much larger than its content.
  void ReleaseInput() {
    if (buffer_.size() <= buffer_.capacity() / 4) {
      buffer_.shrink_to_fit();
    }
    (void)input_memory_.Resize(buffer_.capacity() + head_bytes_);  // not more than before
  }

  // Takes the memory that the head will use until the request has been answered. Returns false if there is none.
  template <class message>
  bool ReserveHead(const message& request) {
    std::size_t bytes = request.target().size();
    for (const auto& field : request) {
      bytes += kFieldBytes + field.name_string().size() + field.value().size();
    }
    // At most half of the memory, so that a long head that is alone is always accepted.
    head_bytes_ = std::min(kHeadCopies * bytes, std::max(server_->input->Limit() / 2, kInputAllowance));
    if (input_memory_.Resize(buffer_.capacity() + head_bytes_)) {
      return true;
    }
    head_bytes_ = 0;
    return false;
  }

  // Reads a complete message within the read timeout. The time in which the body waits for memory does not count.
  // Beast's own timeout closes the socket, so no 408 could be sent; this one only cancels the read.
  task<> ReadMessage(request_parser& parser, buffer_budget::lease& body_memory, sys_error& failure) {
    bool timed_out = false;
    const auto start_timeout = [this, &timed_out] {
      return server_->timers.SubscribeOnce(server_->limits.read_timeout, [this, &timed_out] {
        timed_out = true;
        sys_error ignored;
        stream_.socket().cancel(ignored);
      });
    };
    auto timeout = start_timeout();
    bool has_head = false;
    bool body_started = false;
    while (!parser.is_done()) {
      const std::size_t used = buffer_.size() == 0 ? 0 : parser.put(buffer_.data(), failure);
      buffer_.consume(used);
      const bool needs_more = failure == http::error::need_more;
      if (needs_more) {
        failure = {};
        if (parser.is_header_done() && buffer_.size() >= kMaxUnparsedBytes) {
          failure = http::error::header_limit;
        }
      }
      if (!failure && parser.is_header_done() && HasOtherCoding(parser.get())) {
        failure = http::error::bad_transfer_encoding;
      }
      const bool has_new_fields = parser.is_header_done() && (!has_head || (parser.is_done() && parser.chunked()));
      if (!failure && has_new_fields && !ReserveHead(parser.get())) {
        failure = asio::error::no_memory;
      }
      has_head = parser.is_header_done();
      if (failure || parser.is_done()) {
        co_return;
      }
      if (const std::size_t missing = MissingBodyMemory(parser, body_memory.Bytes())) {
        timeout.Cancel();
        if (!co_await TakeBodyMemory(missing, body_memory)) {
          failure = asio::error::no_buffer_space;
          co_return;
        }
        if (!parser.content_length() && missing > kLongBodyBytes) {
          parser.get().body().reserve(missing);  // growing would need up to three times the length for a moment
        }
        timeout = start_timeout();
      }
      if (parser.is_header_done() && !std::exchange(body_started, true)) {
        parser.eager(true);  // not before, because the parser allocates the memory for a body with its first byte
        if (ExpectsContinue(parser.get())) {
          static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
          co_await asio::async_write(stream_, asio::buffer(kContinue), RedirectError(failure));
        }
      } else if (used > 0 && !needs_more) {
        continue;
      }
      if (!failure && (needs_more || buffer_.size() == 0)) {
        co_await ReadSome(body_started ? kBodyReadBytes : kHeadReadBytes, failure);
      }
      if (timed_out) {
        failure = beast::error::timeout;
      } else if (failure == asio::error::eof) {
        failure = http::error::partial_message;
      }
      if (failure) {
        co_return;
      }
    }
  }

  // Memory that the body needs before more of it is read; 0 if it has enough. The length of a chunked body is unknown:
  // it starts as a short one and takes the maximum length when it turns out to be longer.
  std::size_t MissingBodyMemory(const request_parser& parser, std::size_t taken) const {
    if (!parser.is_header_done()) {
      return 0;
    }
    std::size_t needed = kLongBodyBytes;
    if (const auto length = parser.content_length()) {
      needed = static_cast<std::size_t>(*length);
    } else if (parser.get().body().size() >= kLongBodyBytes) {
      needed = std::max(server_->limits.body_bytes, taken);
    }
    return needed > taken ? needed : 0;
  }

  // Waits up to the read timeout. Replaces the amount that has been taken before. Returns false if there is no memory.
  task<bool> TakeBodyMemory(std::size_t bytes, buffer_budget::lease& taken) {
    const auto budget = bytes > kLongBodyBytes ? server_->long_bodies : server_->short_bodies;
    struct request_guard {  // also for a coroutine that is destroyed while it waits
      ~request_guard() { budget->Cancel(id); }
      std::shared_ptr<buffer_budget> budget;
      buffer_budget::request_id id;
    };
    mailbox<buffer_budget::lease> grants(server_->context);
    const request_guard guard{
        budget, budget->Request(bytes, [&grants](buffer_budget::lease lease) { grants.Push(std::move(lease)); })};
    auto granted = co_await grants.Receive(server_->limits.read_timeout);
    if (!granted || closed_) {
      co_return false;
    }
    taken = std::move(*granted);
    co_return true;
  }

  template <class message>
  static bool ExpectsContinue(const message& request) {
    return beast::iequals(request[http::field::expect], "100-continue");
  }

  // Responds to invalid input with an error status. A closed or idle connection gets no response.
  task<> RejectInput(sys_error failure) {
    int status = 0;
    if (failure == http::error::body_limit) {
      status = 413;
    } else if (failure == http::error::header_limit || failure == http::error::buffer_overflow) {
      status = 431;
    } else if (failure == beast::error::timeout) {
      status = 408;
    } else if (failure == asio::error::no_buffer_space || failure == asio::error::no_memory) {
      status = 503;
    } else if (failure.category() == http::make_error_code(http::error::bad_method).category() &&
               failure != http::error::end_of_stream && failure != http::error::partial_message) {
      status = 400;
    }
    if (status == 0 || closed_) {
      co_return;
    }
    Log().Info("Rejected a request from {}: {}.", remote_, failure.message());
    keep_alive_ = false;
    head_bytes_ = 0;
    buffer_.clear();
    ReleaseInput();
    const char* code = "bad_request";
    if (status == 413) {
      code = "body_too_large";
    } else if (status == 503) {
      code = failure == asio::error::no_memory ? "head_memory" : "body_memory";
    }
    auto body = fmt::format(
        R"({{"error":{{"code":"{}","outcome":"not_run","message":"The request could not be read."}}}})", code);
    auto response = JsonResponse(status, std::move(body));
    if (status == 503) {
      response.headers.push_back(
          {"Retry-After", std::to_string(ceil<std::chrono::seconds>(kMemoryRetryAfter).count())});
    }
    auto sent = co_await Write(std::move(response));
    if (sent) {
      co_await Linger();
    }
  }

  // Lingering close: closing a socket with unread input sends a TCP reset, which may discard a response in flight. So
  // the input is read and dropped until the caller closes the connection, within limits.
  task<> Linger() {
    sys_error failure;
    stream_.socket().shutdown(tcp::socket::shutdown_send, failure);
    stream_.expires_after(kLingerTimeout);
    std::size_t dropped = 0;
    while (!failure && !closed_ && dropped < kMaxLingerBytes) {
      co_await ReadSome(kHeadReadBytes, failure);
      dropped += buffer_.size();
      buffer_.consume(buffer_.size());
    }
    stream_.expires_never();
  }

  task<> Serve(http_request request) {
    serving_ = true;
    complete_ = false;
    ReleaseInput();
    ++server_->requests;
    auto exchange = std::make_shared<http_exchange>(shared_from_this(), std::move(request));
    ++watch_generation_;
    WatchForDisconnect();
    try {
      co_await server_->handler(exchange);
    } catch (const std::exception& failure) {
      Log().Error("The handler of a request from {} failed: {}.", remote_, failure.what());
      complete_ = false;
    }
    while (is_writing_ && !closed_) {
      co_await server_->timers.Sleep(kWritePollPeriod);  // a response that replaces the handler's
    }
    if (!complete_ && !closed_) {
      // The handler returned without a complete response. Closing tells the caller that none will follow.
      Close();
    }
    on_disconnect_ = nullptr;
    serving_ = false;
    head_bytes_ = 0;
    --server_->requests;
  }

  // Detects that the caller disconnects while a response is prepared. Pipelined input is buffered for the next request,
  // because the end of the stream can be read only after all input before it; while memory is short, only a little.
  void WatchForDisconnect() {
    stream_.socket().async_wait(
        tcp::socket::wait_read, [self = shared_from_this(), generation = watch_generation_](sys_error failure) {
          if (failure || self->complete_ || self->closed_ || generation != self->watch_generation_) {
            return;
          }
          self->ReadPipelinedInput();
        });
  }

  void ReadPipelinedInput() {
    const auto available = static_cast<std::size_t>(kReadAheadShare * static_cast<double>(server_->input->Limit()));
    const bool is_within_allowance = buffer_.size() + kHeadReadBytes + head_bytes_ <= kInputAllowance;
    if ((!is_within_allowance && server_->input->InUse() >= available) || !ReserveInput(kHeadReadBytes)) {
      return;
    }
    sys_error failure;
    stream_.socket().non_blocking(true, failure);
    const auto space = buffer_.prepare(kHeadReadBytes);
    const std::size_t count = stream_.socket().read_some(space, failure);
    buffer_.commit(count);
    if (failure && failure != asio::error::would_block) {
      HandleDisconnect();
    } else if (buffer_.size() < kMaxPipelinedBytes) {
      WatchForDisconnect();
    }
  }

  void HandleDisconnect() {
    disconnected_ = true;
    keep_alive_ = false;
    if (auto callback = std::exchange(on_disconnect_, nullptr)) {
      callback();
    }
  }

  result<void> Finish(sys_error failure) {
    complete_ = !failure;
    in_unframed_body_ = in_unframed_body_ && !complete_;
    if (failure) {
      HandleDisconnect();
      Close();
      return MakeError(failure, "writing a response");
    }
    sys_error ignored;
    stream_.socket().cancel(ignored);
    return outcome::success();
  }

  beast::tcp_stream stream_;
  std::shared_ptr<http_server::state> server_;
  beast::flat_buffer buffer_;
  std::size_t requests_ahead_ = 0;     // that had arrived before their predecessors were answered; halved by each other
  std::size_t head_bytes_ = 0;         // memory of the head of the request in progress
  shared_limit::share input_memory_;   // of the buffer and the head
  shared_limit::share output_memory_;  // of what is being sent
  std::string remote_;
  std::function<void()> on_disconnect_;
  std::uint64_t watch_generation_ = 0;
  time_point state_since_;
  bool keep_alive_ = true;
  bool chunked_ = true;            // false: the end of the connection ends the body of a stream
  bool in_unframed_body_ = false;  // a body without chunks has been started and is incomplete
  bool head_request_ = false;
  bool reading_ = false;
  bool is_sending_ = false;  // a response or a part of one
  bool is_writing_ = false;  // a complete response
  bool serving_ = false;
  bool complete_ = false;
  bool disconnected_ = false;
  bool closed_ = false;
};

}  // namespace detail

http_exchange::http_exchange(std::shared_ptr<detail::http_connection> connection, http_request request)
    : connection_(std::move(connection)), request_(std::move(request)) {}

namespace {

error ReplacedError() { return error{error_code::kCancelled, "another response has been sent instead"}; }

}  // namespace

task<result<void>> http_exchange::Respond(http_response response) {
  if (is_replaced_) {
    co_return ReplacedError();
  }
  if (std::exchange(started_, true)) {
    AbortProgram("A second response was started on an HTTP exchange.");
  }
  co_return co_await connection_->Write(std::move(response));
}

task<result<void>> http_exchange::RespondInstead(http_response response) {
  if (std::exchange(started_, true)) {
    AbortProgram("A second response was started on an HTTP exchange.");
  }
  is_replaced_ = true;
  co_return co_await connection_->Write(std::move(response));
}

task<result<void>> http_exchange::StartStream(int status, header_list headers, body_framing framing) {
  if (is_replaced_) {
    co_return ReplacedError();
  }
  if (std::exchange(started_, true)) {
    AbortProgram("A second response was started on an HTTP exchange.");
  }
  co_return co_await connection_->WriteHead(status, std::move(headers), framing);
}

task<result<void>> http_exchange::WriteChunk(std::string data) {
  if (is_replaced_) {
    co_return ReplacedError();
  }
  if (data.empty()) {
    co_return outcome::success();
  }
  co_return co_await connection_->WriteChunk(std::move(data), false);
}

task<result<void>> http_exchange::FinishStream() {
  if (is_replaced_) {
    co_return ReplacedError();
  }
  co_return co_await connection_->WriteChunk({}, true);
}

void http_exchange::AbortStream() {
  if (!is_replaced_) {
    connection_->Close();
  }
}

task<result<void>> http_exchange::WriteRaw(std::string bytes) {
  co_return co_await connection_->WriteRaw(std::move(bytes));
}

void http_exchange::OnDisconnect(std::function<void()> callback) {
  if (connection_->IsDisconnected()) {
    callback();
    return;
  }
  connection_->SetDisconnectCallback(std::move(callback));
}

bool http_exchange::IsDisconnected() const { return connection_->IsDisconnected(); }

// ---------------------------------------------------------------------------------------------------------------------
// 3. server
// ---------------------------------------------------------------------------------------------------------------------

task<> http_server::state::Accept() {
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
      if (failure != asio::error::no_descriptors || !FreeDescriptors()) {
        co_await timers.Sleep(kAcceptRetryDelay);
      }
      continue;
    }
    AddConnection(std::move(socket));
  }
}

// Closes connections that nobody uses now, so that a new caller is accepted. Returns false if there are none.
bool http_server::state::FreeDescriptors() {
  return (free_descriptors && free_descriptors() > 0) || DisplaceConnection();
}

// Closes the connection with the least to lose, of several the one that has been so for the longest time, so that a new
// caller is accepted. Returns false if all are in use.
bool http_server::state::DisplaceConnection() {
  using value = detail::http_connection::value;
  const time_point now = timer_service::Now();
  detail::http_connection* least = nullptr;
  value least_value = value::kInUse;
  for (const auto& connection : connections) {
    if (connection->IsClosed()) {
      continue;
    }
    const value candidate = connection->Value(now);
    const bool is_longer = least != nullptr && connection->StateSince() < least->StateSince();
    const bool is_less = candidate < least_value || (candidate == least_value && is_longer);
    // The input is checked last, because that takes a system call.
    if (is_less && !(candidate == value::kIdle && connection->HasInput())) {
      least = connection.get();
      least_value = candidate;
    }
  }
  if (least == nullptr) {
    return false;
  }
  ++displaced_connections;
  least->Displace();
  return true;
}

// Takes the memory for a response. If there is none, closes the connections that have been sending for the longest
// time: a caller that reads its response does not need so long.
void http_server::state::ReserveOutput(shared_limit::share& memory, std::size_t bytes) {
  while (!memory.Resize(bytes)) {
    detail::http_connection* longest = nullptr;
    for (const auto& connection : connections) {
      const bool is_longer = longest == nullptr || connection->StateSince() < longest->StateSince();
      if (connection->IsSending() && connection->UnsentBytes() > kOutputAllowance && is_longer) {
        longest = connection.get();
      }
    }
    if (longest == nullptr) {
      return;  // nothing else is being sent, so a response above the limit is alone
    }
    ++unread_responses;
    longest->Displace();
  }
}

void http_server::state::AddConnection(tcp::socket socket) {
  if (open_connections >= limits.connections && !DisplaceConnection()) {
    Log().Warning("Closed a connection: the limit of {} connections is reached.", limits.connections);
    return;
  }
  auto connection = std::make_shared<detail::http_connection>(std::move(socket), shared_from_this());
  connections.insert(connection);
  asio::co_spawn(context, connection->Run(), asio::detached);
}

// Closing the acceptor resets the connections that the system has established and that are not accepted yet.
void http_server::state::AcceptEstablished() {
  sys_error failure;
  acceptor.non_blocking(true, failure);
  while (!failure) {
    tcp::socket socket(context);
    acceptor.accept(socket, failure);
    if (!failure) {
      AddConnection(std::move(socket));
    }
  }
}

http_server::http_server(asio::io_context& context, host_port address, http_limits limits, http_handler handler)
    : state_(std::make_shared<state>(context, std::move(address), limits, std::move(handler))) {}

http_server::~http_server() { Stop(); }

result<void> http_server::Start() {
  if (auto opened = OpenAcceptor(state_->acceptor, state_->address); !opened) {
    return opened.error();
  }
  asio::co_spawn(state_->context, state_->Accept(), asio::detached);
  return outcome::success();
}

void http_server::SetLimits(const http_limits& limits) {
  state_->limits = limits;
  state_->SetMemory();
}

void http_server::SetDescriptorSource(std::function<std::size_t()> free_descriptors) {
  state_->free_descriptors = std::move(free_descriptors);
}

void http_server::DisableKeepAlive() { state_->disable_keep_alive = true; }

void http_server::Drain() {
  state_->draining = true;
  sys_error ignored;
  if (state_->acceptor.is_open()) {
    state_->AcceptEstablished();
  }
  state_->acceptor.close(ignored);
  for (const auto& connection : state_->connections) {
    if (connection->IsIdle()) {
      connection->Close();
    }
  }
}

void http_server::Stop() {
  state_->draining = true;
  sys_error ignored;
  state_->acceptor.close(ignored);
  for (const auto& connection : state_->connections) {
    connection->Close();
  }
}

std::size_t http_server::RequestsInProgress() const { return state_->requests; }

bool http_server::IsBusy() const {
  return std::any_of(state_->connections.begin(), state_->connections.end(),
                     [](const auto& connection) { return !connection->IsIdle(); });
}

std::uint64_t http_server::DisplacedConnections() const { return state_->displaced_connections; }

std::uint64_t http_server::UnreadResponses() const { return state_->unread_responses; }

std::size_t http_server::InputMemoryInUse() const { return state_->input->InUse(); }

std::size_t http_server::BodyMemoryInUse() const {
  return state_->long_bodies->InUse() + state_->short_bodies->InUse();
}

std::size_t http_server::WaitingBodies() const {
  return state_->long_bodies->WaitingCount() + state_->short_bodies->WaitingCount();
}

std::uint16_t http_server::Port() const {
  sys_error ignored;
  return state_->acceptor.local_endpoint(ignored).port();
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. client
// ---------------------------------------------------------------------------------------------------------------------

namespace {

struct client_connection {
  explicit client_connection(asio::io_context& context) : stream(context), buffer(kClientBufferBytes) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  connection_number number = 0;
  time_point idle_since;
  microseconds reuse_limit{0};  // maximum idle time before reuse
  bool sending = false;         // a request body is being written
  sys_error write_failure;      // of a request body
};

// A request as it is written. The message refers to the bytes of the body.
struct call_message {
  http::request<http::span_body<const char>> message;
  shared_body body;
};

// Shared, because the write of a body may outlast its call.
using client_connection_ptr = std::shared_ptr<client_connection>;

// True if the connection has not been idle too long and the server has neither closed it nor sent data on it.
bool IsUsable(client_connection& connection) {
  if (timer_service::Now() - connection.idle_since > connection.reuse_limit) {
    return false;
  }
  char byte = 0;
  sys_error failure;
  connection.stream.socket().non_blocking(true, failure);
  connection.stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
  return failure == asio::error::would_block;
}

// Timeout in a Keep-Alive header such as "timeout=5, max=100"; the maximum if the header has none.
microseconds ParseKeepAliveTimeout(std::string_view header) {
  static constexpr std::string_view kName = "timeout=";
  const auto position = header.find(kName);
  std::uint32_t seconds = 0;
  const char* begin = header.data() + position + kName.size();
  if (position == std::string_view::npos ||
      std::from_chars(begin, header.data() + header.size(), seconds).ec != std::errc{}) {
    return microseconds::max();
  }
  return std::chrono::seconds(seconds);
}

// True if a line of a head begins with a blank and continues the value before it (RFC 9112, section 5.2). Beast's
// parser joins such lines. `input` begins with a line of the head and may end inside it or after it.
bool HasContinuationLine(std::string_view input) {
  if (input.starts_with("\r\n")) {
    return false;  // the end of the head
  }
  const std::string_view head = input.substr(0, input.find("\r\n\r\n"));
  return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

// Like http::async_read_header, but fails if a line continues the one before it. The parser consumes whole fields, and
// only when the byte after them has arrived.
template <class parser_type>
task<sys_error> ReadNextHead(client_connection& connection, parser_type& parser) {
  beast::flat_buffer& buffer = connection.buffer;
  while (true) {
    sys_error failure;
    if (buffer.size() > 0) {
      if (HasContinuationLine({static_cast<const char*>(buffer.data().data()), buffer.size()})) {
        co_return http::error::bad_field;
      }
      buffer.consume(parser.put(buffer.data(), failure));
      if (failure != http::error::need_more) {
        co_return failure;
      }
    }
    const std::size_t space = beast::read_size(buffer, kClientBufferBytes);
    if (space == 0) {
      co_return http::error::buffer_overflow;
    }
    const std::size_t count = co_await connection.stream.async_read_some(buffer.prepare(space), RedirectError(failure));
    buffer.commit(count);
    if (failure == asio::error::eof) {
      failure = parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
    }
    if (failure) {
      co_return failure;
    }
  }
}

// Finds a fault of a head that Beast's parser accepts.
template <class message>
sys_error FindHeadFault(const message& response) {
  if (response.result_int() < kFirstStatus || response.result_int() > kLastStatus) {
    return http::error::bad_status;
  }
  if (HasOtherCoding(response)) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

// Reads the status and headers of the next final response; interim responses (1xx) before it are skipped. `prepare`
// sets the limits of a new parser.
template <class parser_type, class prepare_function>
task<sys_error> ReadFinalHead(client_connection& connection, std::optional<parser_type>& parser,
                              prepare_function prepare) {
  for (std::size_t interim_responses = 0; interim_responses <= kMaxInterimResponses; ++interim_responses) {
    parser.emplace();
    prepare(*parser);
    sys_error failure = co_await ReadNextHead(connection, *parser);
    if (!failure) {
      failure = FindHeadFault(parser->get());
    }
    if (failure || parser->get().result_int() >= kFirstFinalStatus) {
      co_return failure;
    }
  }
  Log().Warning("A server has sent more than {} interim responses to one request.", kMaxInterimResponses);
  co_return http::error::bad_status;
}

template <class response_parser>
body_framing FramingOf(const response_parser& parser) {
  if (parser.chunked()) {
    return body_framing::kChunks;
  }
  return parser.need_eof() ? body_framing::kConnectionEnd : body_framing::kLength;
}

// Returns the error of the socket, which this clears.
sys_error TakeSocketError(int socket) {
  int code = 0;
  socklen_t size = sizeof(code);
  const int result = getsockopt(socket, SOL_SOCKET, SO_ERROR, &code, &size);
  return {result == 0 ? code : errno, boost::system::system_category()};
}

// True if the host of the server has acknowledged everything that has been written to the socket.
bool IsAcknowledged(int socket) {
  int bytes = 0;
  return ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes == 0;
}

// The end of the connection ends a body without framing. It proves that the body is whole only if the server has
// received the whole request: one that has closed the connection before resets it on further input, and this may happen
// after the end of the body. So this waits until the request has been written and acknowledged. Returns the error of
// the connection, or beast::error::timeout at the deadline.
task<sys_error> ConfirmConnectionEnd(client_connection& connection, time_point deadline) {
  asio::steady_timer pause(connection.stream.get_executor());
  while (true) {
    const bool is_writing = connection.sending && !connection.write_failure;
    if (!is_writing) {
      const int socket = connection.stream.socket().native_handle();
      const bool is_acknowledged = IsAcknowledged(socket);
      const sys_error failure = connection.write_failure ? connection.write_failure : TakeSocketError(socket);
      if (failure || is_acknowledged) {
        co_return failure;
      }
    }
    if (timer_service::Now() >= deadline) {
      co_return beast::error::timeout;
    }
    pause.expires_after(kAcknowledgePollPeriod);
    sys_error ignored;
    co_await pause.async_wait(RedirectError(ignored));
  }
}

// Splits a byte stream into lines.
class line_splitter {
 public:
  // Passes an unterminated last line to the handler. Returns false if the handler does.
  bool Finish(const http_client::line_handler& on_line) { return partial_line_.empty() || on_line(partial_line_); }

  // Size of the line whose end has not arrived.
  std::size_t PartialLineBytes() const { return partial_line_.size(); }

  // Passes each complete line to the handler. Returns false as soon as the handler does.
  bool Add(std::string_view data, const http_client::line_handler& on_line) {
    partial_line_.append(data);
    std::size_t begin = 0;
    for (auto end = partial_line_.find('\n'); end != std::string::npos; end = partial_line_.find('\n', begin)) {
      std::string_view line(partial_line_.data() + begin, end - begin);
      begin = end + 1;
      if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
      }
      if (!on_line(line)) {
        return false;
      }
    }
    partial_line_.erase(0, begin);
    return true;
  }

 private:
  std::string partial_line_;
};

}  // namespace

struct http_client::state {
  state(asio::io_context& context, http_client_limits limits) : context(context), limits(limits) {}

  asio::io_context& context;
  http_client_limits limits;
  std::map<host_port, std::deque<client_connection_ptr>> idle;  // none is empty
  std::size_t idle_count = 0;
  connection_number opened = 0;  // number of the connection that was established last
  time_point last_check;
  host_port last_checked;  // address of the pool

  task<result<client_connection_ptr>> Connect(host_port address) {
    if (auto pooled = TakeFromPool(address)) {
      co_return std::move(pooled);
    }
    auto connection = std::make_shared<client_connection>(context);
    connection->stream.expires_after(limits.connect_timeout);
    const sys_error failure = co_await Open(*connection, address);
    if (failure) {
      co_return MakeConnectError(address, failure);
    }
    SetUp(*connection);
    co_return std::move(connection);
  }

  // If no descriptor is left, takes that of the connection that has been idle for the longest time.
  task<sys_error> Open(client_connection& connection, host_port address) {
    sys_error failure;
    const auto ip = asio::ip::make_address(address.host, failure);
    if (!failure) {
      const tcp::endpoint endpoint(ip, address.port);
      co_await connection.stream.async_connect(endpoint, RedirectError(failure));
      if (failure == asio::error::no_descriptors && CloseOldest()) {
        co_await connection.stream.async_connect(endpoint, RedirectError(failure));
      }
    }
    co_return failure;
  }

  static error MakeConnectError(const host_port& address, const sys_error& failure) {
    const auto code = failure == asio::error::no_descriptors ? error_code::kNoResources : error_code::kUnavailable;
    return {code, fmt::format("cannot connect to {}: {}", address.Text(), failure.message())};
  }

  // For a connection that has been established.
  void SetUp(client_connection& connection) {
    sys_error ignored;
    connection.stream.socket().set_option(tcp::no_delay(true), ignored);
    connection.number = ++opened;
  }

  // Takes the most recently used pooled connection to the address that is still usable and allowed; null if there is
  // none.
  client_connection_ptr TakeFromPool(const host_port& address, const http_call::reuse_check& may_reuse = nullptr) {
    const auto is_allowed = [&may_reuse](const client_connection_ptr& connection) {
      return !may_reuse || may_reuse(connection->number);
    };
    for (auto pooled = idle.find(address); pooled != idle.end(); pooled = idle.find(address)) {
      const auto found = std::find_if(pooled->second.rbegin(), pooled->second.rend(), is_allowed);
      if (found == pooled->second.rend()) {
        return nullptr;
      }
      auto connection = *found;
      Remove(pooled, connection);
      if (IsUsable(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  void Remove(std::map<host_port, std::deque<client_connection_ptr>>::iterator pooled,
              const client_connection_ptr& connection) {
    idle_count -= std::erase(pooled->second, connection);
    if (pooled->second.empty()) {
      idle.erase(pooled);
    }
  }

  // The front of each pool has been idle for the longest time.
  bool CloseOldest() {
    auto oldest = idle.end();
    for (auto pooled = idle.begin(); pooled != idle.end(); ++pooled) {
      if (oldest == idle.end() || pooled->second.front()->idle_since < oldest->second.front()->idle_since) {
        oldest = pooled;
      }
    }
    if (oldest == idle.end()) {
      return false;
    }
    Remove(oldest, client_connection_ptr(oldest->second.front()));
    return true;
  }

  // Closes connections that are too old to be used again, or that the server has closed: their addresses may never be
  // used again. Checks a limited number of connections at a time, address by address.
  void CloseUnusable(time_point now) {
    if (now - last_check < kIdleCheckPeriod) {
      return;
    }
    last_check = now;
    std::size_t checked = 0;
    for (std::size_t addresses = idle.size(); addresses > 0 && checked < kMaxIdleChecks; --addresses) {
      auto pooled = idle.upper_bound(last_checked);
      pooled = pooled == idle.end() ? idle.begin() : pooled;
      if (pooled == idle.end()) {
        return;
      }
      last_checked = pooled->first;
      const auto connections = pooled->second;
      checked += connections.size();
      for (const client_connection_ptr& connection : connections) {
        if (!IsUsable(*connection)) {
          Remove(pooled, connection);
        }
      }
    }
  }

  static call_message MakeMessage(const host_port& address, http_request request) {
    call_message made{{}, std::move(request.body)};
    auto& message = made.message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    SetHeaders(message, request.headers);
    if (message.find(http::field::host) == message.end()) {
      message.set(http::field::host, address.Text());
    }
    message.body() = beast::span<const char>(made.body.Text().data(), made.body.Text().size());
    message.prepare_payload();
    return made;
  }

  // Returns a connection to the pool once its response has been read. Surplus input belongs to no request; a
  // connection with such input or with an unfinished request body is closed instead.
  void ReturnToPool(const host_port& address, client_connection_ptr connection, std::string_view keep_alive_header) {
    const auto pooled = idle.find(address);
    const bool has_room = pooled == idle.end() || pooled->second.size() < limits.idle_connections;
    if (!has_room || limits.idle_connections == 0 || limits.total_idle_connections == 0 ||
        connection->buffer.size() > 0 || connection->sending) {
      return;
    }
    const time_point now = timer_service::Now();
    CloseUnusable(now);
    if (idle_count >= limits.total_idle_connections) {
      CloseOldest();
    }
    connection->idle_since = now;
    connection->reuse_limit = std::min<microseconds>(limits.reuse_limit, ParseKeepAliveTimeout(keep_alive_header) / 2);
    connection->stream.expires_never();
    idle[address].push_back(std::move(connection));
    ++idle_count;
  }

  task<result<void>> Send(client_connection& connection, const host_port& address, http_request request) {
    const call_message sent = MakeMessage(address, std::move(request));
    sys_error failure;
    co_await http::async_write(connection.stream, sent.message, RedirectError(failure));
    if (failure) {
      co_return MakeError(failure, "write to " + address.Text());
    }
    co_return outcome::success();
  }
};

http_client::http_client(asio::io_context& context, http_client_limits limits)
    : state_(std::make_shared<state>(context, limits)) {}

http_client::~http_client() = default;

void http_client::CloseIdleConnections(const host_port& address) {
  const auto pooled = state_->idle.find(address);
  if (pooled != state_->idle.end()) {
    state_->idle_count -= pooled->second.size();
    state_->idle.erase(pooled);
  }
}

std::size_t http_client::CloseOldestIdleConnections(std::size_t count) {
  std::size_t closed = 0;
  while (closed < count && state_->CloseOldest()) {
    ++closed;
  }
  return closed;
}

std::size_t http_client::IdleConnections() const { return state_->idle_count; }

std::uint64_t http_client::OpenedConnections() const { return state_->opened; }

task<result<http_response>> http_client::Fetch(host_port address, http_request request) {
  const milliseconds timeout = state_->limits.response_timeout;
  co_return co_await Fetch(std::move(address), std::move(request), timeout);
}

task<result<http_response>> http_client::Fetch(host_port address, http_request request, milliseconds response_timeout) {
  co_return co_await Fetch(std::move(address), std::move(request), response_timeout, nullptr);
}

task<result<http_response>> http_client::Fetch(host_port address, http_request request, milliseconds response_timeout,
                                               response_filter matches) {
  const std::size_t body_bytes = state_->limits.body_bytes;
  co_return co_await Fetch(std::move(address), std::move(request), response_timeout, std::move(matches), body_bytes);
}

task<result<http_response>> http_client::Fetch(host_port address, http_request request, milliseconds response_timeout,
                                               response_filter matches, std::size_t body_bytes) {
  const auto state = state_;
  const bool head_request = request.method == "HEAD";
  auto connected = co_await state->Connect(address);
  if (!connected) {
    co_return connected.error();
  }
  client_connection_ptr connection = std::move(connected.value());
  const time_point end = timer_service::Now() + response_timeout;
  connection->stream.expires_at(end);
  auto sent = co_await state->Send(*connection, address, std::move(request));
  if (!sent) {
    co_return sent.error();
  }
  std::optional<http::response_parser<http::string_body>> parser;
  sys_error failure = co_await ReadFinalHead(*connection, parser, [&](auto& created) {
    created.body_limit(body_bytes);
    created.skip(head_request);
  });
  if (!failure) {
    co_await http::async_read(connection->stream, connection->buffer, *parser, RedirectError(failure));
  }
  if (!failure && FramingOf(*parser) == body_framing::kConnectionEnd) {
    failure = co_await ConfirmConnectionEnd(*connection, end);
  }
  if (failure) {
    co_return MakeError(failure, "response from " + address.Text());
  }
  http_response response;
  response.status = static_cast<int>(parser->get().result_int());
  response.headers = CopyHeaders(parser->get());
  response.body = std::move(parser->get().body());
  if (matches && !matches(response)) {
    co_return error{error_code::kProtocol,
                    fmt::format("{} sent a response with status {} that does not belong to the request", address.Text(),
                                response.status)};
  }
  if (parser->get().keep_alive()) {
    state->ReturnToPool(address, std::move(connection), FindHeader(response.headers, "Keep-Alive"));
  }
  co_return response;
}

task<result<http_response>> http_client::FetchLines(host_port address, http_request request, line_handler on_line,
                                                    head_handler on_head) {
  co_return co_await FetchLines(std::move(address), std::move(request), std::move(on_line), milliseconds::max(),
                                std::move(on_head));
}

task<result<http_response>> http_client::FetchLines(host_port address, http_request request, line_handler on_line,
                                                    milliseconds total_timeout, head_handler on_head) {
  const auto state = state_;
  const bool has_total_timeout = total_timeout != milliseconds::max();
  const time_point end = has_total_timeout ? timer_service::Now() + total_timeout : time_point::max();
  auto connected = co_await state->Connect(address);
  if (!connected) {
    co_return connected.error();
  }
  client_connection_ptr connection = std::move(connected.value());
  connection->stream.expires_at(std::min(end, timer_service::Now() + state->limits.response_timeout));
  auto sent = co_await state->Send(*connection, address, std::move(request));
  if (!sent) {
    co_return sent.error();
  }
  std::optional<http::response_parser<http::buffer_body>> parser;
  sys_error failure =
      co_await ReadFinalHead(*connection, parser, [](auto& created) { created.body_limit(boost::none); });
  if (failure) {
    co_return MakeError(failure, "response from " + address.Text());
  }
  http_response response;
  response.status = static_cast<int>(parser->get().result_int());
  response.headers = CopyHeaders(parser->get());
  if (on_head) {
    on_head(response.Head());
  }
  line_splitter lines;
  // Bytes of a line that does not end are no progress.
  time_point last_line = timer_service::Now();
  const line_handler on_whole_line = [&](std::string_view line) {
    last_line = timer_service::Now();
    return on_line(line);
  };
  std::array<char, 16384> chunk{};
  while (!parser->is_done()) {
    parser->get().body().data = chunk.data();
    parser->get().body().size = chunk.size();
    connection->stream.expires_at(std::min(end, last_line + state->limits.idle_timeout));
    co_await http::async_read_some(connection->stream, connection->buffer, *parser, RedirectError(failure));
    if (failure == http::error::need_buffer) {
      failure = {};
    }
    if (!failure && timer_service::Now() >= std::min(end, last_line + state->limits.idle_timeout + kLateReadLimit)) {
      // The timeout of the stream does not cancel a read whose data has already arrived.
      failure = beast::error::timeout;
    }
    if (failure) {
      co_return MakeError(failure, "response from " + address.Text());
    }
    const std::string_view data(chunk.data(), chunk.size() - parser->get().body().size);
    if (response.status != 200) {
      response.body.append(data);
    } else if (!lines.Add(data, on_whole_line)) {
      co_return error{error_code::kCancelled, "the line handler ended the exchange"};
    }
    if (std::max(lines.PartialLineBytes(), response.body.size()) > state->limits.body_bytes) {
      co_return error{error_code::kProtocol,
                      fmt::format("response from {} exceeds the size limit of a line or body", address.Text())};
    }
  }
  if (FramingOf(*parser) == body_framing::kConnectionEnd) {
    if (lines.PartialLineBytes() > 0) {
      co_return error{error_code::kClosed, fmt::format("response from {} ends inside a line", address.Text())};
    }
    failure = co_await ConfirmConnectionEnd(*connection, std::min(end, last_line + state->limits.idle_timeout));
    if (failure) {
      co_return MakeError(failure, "write to " + address.Text());
    }
  }
  if (!lines.Finish(on_line)) {
    co_return error{error_code::kCancelled, "the line handler ended the exchange"};
  }
  if (parser->get().keep_alive()) {
    state->ReturnToPool(address, std::move(connection), FindHeader(response.headers, "Keep-Alive"));
  }
  co_return response;
}

// ---------------------------------------------------------------------------------------------------------------------
// 5. streaming calls
// ---------------------------------------------------------------------------------------------------------------------

namespace {

// A body up to this size fits the socket buffers of a new connection and is written before the response is read. A
// larger one is written in the background.
constexpr std::size_t kMaxForegroundBodyBytes = 8'192;
constexpr std::size_t kMaxUnmatchedBytes = 1U << 20U;  // of one such response that are read and dropped
constexpr std::size_t kMaxUnmatchedResponses = 4;      // responses read per call before the connection is abandoned

void WriteInBackground(const client_connection_ptr& connection, const std::shared_ptr<call_message>& message) {
  connection->sending = true;
  http::async_write(connection->stream, message->message, [connection, message](sys_error failure, std::size_t) {
    connection->sending = static_cast<bool>(failure);  // a partly sent body leaves the connection unusable
    connection->write_failure = failure;
  });
}

}  // namespace

struct http_call::state {
  std::shared_ptr<http_client::state> client;
  host_port address;
  client_connection_ptr connection;
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::string keep_alive;  // Keep-Alive header of the response
  body_framing framing = body_framing::kLength;
  bool reused = false;
  connection_number number = 0;
  time_point deadline;                   // of the read in progress
  std::optional<time_point> late_since;  // first read that ended after its deadline
  bool unmatched = false;                // the connection carried a response that belongs to another request
  bool cancelled = false;
  bool finished = false;

  void Close() {
    if (connection) {
      sys_error ignored;
      connection->stream.socket().close(ignored);
      connection->stream.cancel();
    }
  }

  void SetDeadline(time_point end) {
    deadline = end;
    connection->stream.expires_at(end);
  }

  // The timeout of the stream does not cancel a read whose data has already arrived. Such data is still delivered, for
  // example after the process was suspended, but not for as long as a server sends more.
  bool IsTooLate() {
    const time_point now = timer_service::Now();
    if (now < deadline) {
      late_since.reset();
      return false;
    }
    late_since = late_since.value_or(now);
    return now - *late_since > kLateReadLimit;
  }

  error MakeCallError(const sys_error& failure, std::string_view what) {
    if (cancelled) {
      return error{error_code::kCancelled, "the call was cancelled"};
    }
    const bool is_protocol = failure.category() == http::make_error_code(http::error::bad_method).category() &&
                             failure != http::error::end_of_stream && failure != http::error::partial_message;
    error described = MakeError(failure, fmt::format("{} {}", what, address.Text()));
    if (is_protocol) {
      described.code = error_code::kProtocol;
    }
    return described;
  }

  // Reads the status and headers of the next response.
  task<result<http_response_head>> ReadHead(bool head_request) {
    const sys_error failure = co_await ReadFinalHead(*connection, parser, [head_request](auto& created) {
      created.body_limit(boost::none);
      created.skip(head_request);
    });
    if (failure || cancelled) {
      co_return MakeCallError(failure, "response from");
    }
    http_response_head head{static_cast<int>(parser->get().result_int()), CopyHeaders(parser->get())};
    keep_alive = std::string(FindHeader(head.headers, "Keep-Alive"));
    framing = FramingOf(*parser);
    co_return head;
  }

  // Returns the next part of the body, or an empty string at its end.
  task<result<std::string>> ReadBodyPart() {
    std::string part(kBodyReadBytes, '\0');
    while (!parser->is_done()) {
      parser->get().body().data = part.data();
      parser->get().body().size = part.size();
      parser->get().body().more = true;
      sys_error failure;
      co_await http::async_read_some(connection->stream, connection->buffer, *parser, RedirectError(failure));
      if (failure == http::error::need_buffer) {
        failure = {};
      }
      if (!failure && IsTooLate()) {
        failure = beast::error::timeout;
        Close();
      }
      if (failure || cancelled) {
        co_return MakeCallError(failure, "response from");
      }
      const std::size_t count = part.size() - parser->get().body().size;
      if (count > 0) {
        part.resize(count);
        co_return part;
      }
    }
    if (framing == body_framing::kConnectionEnd) {
      const sys_error failure = co_await ConfirmConnectionEnd(*connection, deadline);
      if (failure || cancelled) {
        Close();
        co_return MakeCallError(failure, "write to");
      }
    }
    co_return std::string();
  }

  void Finish() {
    finished = true;
    const bool reusable = parser->get().keep_alive() && !unmatched && !cancelled;
    if (reusable) {
      client->ReturnToPool(address, std::move(connection), keep_alive);
    }
    connection.reset();
  }
};

http_call::http_call(http_client& client) : state_(std::make_shared<state>()) { state_->client = client.state_; }

http_call::~http_call() {
  if (!state_->finished) {
    state_->Close();
  }
}

task<result<http_response_head>> http_call::Send(host_port address, http_request request, time_point deadline,
                                                 head_filter matches, send_check may_send, reuse_check may_reuse) {
  const auto state = state_;
  const auto client = state->client;
  state->address = address;
  const bool head_request = request.method == "HEAD";
  auto message = std::make_shared<call_message>(http_client::state::MakeMessage(address, std::move(request)));
  sys_error failure;
  state->connection = client->TakeFromPool(address, may_reuse);
  state->reused = state->connection != nullptr;
  if (!state->reused) {
    state->connection = std::make_shared<client_connection>(client->context);
    state->connection->stream.expires_at(std::min(deadline, timer_service::Now() + client->limits.connect_timeout));
    failure = co_await client->Open(*state->connection, address);
    if (failure || state->cancelled) {
      error described = http_client::state::MakeConnectError(address, failure);
      described.code = state->cancelled ? error_code::kCancelled : described.code;
      co_return described;
    }
    client->SetUp(*state->connection);
  }
  state->number = state->connection->number;
  if (may_send && !may_send()) {
    co_return error{error_code::kUnavailable, fmt::format("{} no longer receives requests", address.Text())};
  }
  state->SetDeadline(deadline);
  if (message->body.Text().size() <= kMaxForegroundBodyBytes) {
    const std::size_t written =
        co_await http::async_write(state->connection->stream, message->message, RedirectError(failure));
    if (failure || state->cancelled) {
      error described = state->MakeCallError(failure, "write to");
      if (written == 0 && described.code == error_code::kClosed) {
        described.code = error_code::kUnavailable;
      }
      co_return described;
    }
  } else {
    WriteInBackground(state->connection, message);
  }
  for (std::size_t responses = 0; responses < kMaxUnmatchedResponses; ++responses) {
    auto head = co_await state->ReadHead(head_request);
    if (!head || matches(head.value())) {
      co_return head;
    }
    state->unmatched = true;
    std::size_t dropped_bytes = 0;
    for (bool more = true; more;) {
      auto part = co_await state->ReadBodyPart();
      if (!part) {
        co_return part.error();
      }
      dropped_bytes += part.value().size();
      if (dropped_bytes > kMaxUnmatchedBytes) {
        co_return error{error_code::kProtocol,
                        fmt::format("{} sent a response to another request that exceeds {} bytes", address.Text(),
                                    kMaxUnmatchedBytes)};
      }
      more = !part.value().empty();
    }
    if (!state->parser->get().keep_alive()) {
      break;
    }
  }
  co_return error{error_code::kClosed,
                  fmt::format("{} sent only responses that belong to other requests", address.Text())};
}

task<result<std::string>> http_call::Read(time_point deadline) {
  const auto state = state_;
  if (state->finished) {
    co_return std::string();
  }
  if (!state->connection || !state->parser) {
    co_return error{error_code::kCancelled, "the request has not been sent"};
  }
  state->SetDeadline(deadline);
  auto part = co_await state->ReadBodyPart();
  if (part && part.value().empty()) {
    state->Finish();
  }
  co_return part;
}

void http_call::Cancel() {
  state_->cancelled = true;
  state_->Close();
}

bool http_call::IsReused() const { return state_->reused; }

connection_number http_call::Connection() const { return state_->number; }

body_framing http_call::Framing() const { return state_->framing; }

}  // namespace persimmon
