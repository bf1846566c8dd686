// HTTP/1.1 server and client. The interface includes no Beast headers.
//
// Sections
//   1. messages
//   2. server
//   3. client
//   4. streaming calls
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/settings.h"
#include "core/timers.h"
#include "net/wire.h"
#include "persimmon/buffer_budget.h"
#include "persimmon/error.h"
#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. messages
// ---------------------------------------------------------------------------------------------------------------------

using header_list = std::vector<header_field>;

// Immutable bytes of a request body. Copies share the bytes, so that a body exists once however often it is sent.
class shared_body {
 public:
  shared_body() = default;
  shared_body(std::string bytes) : shared_body(std::move(bytes), {}) {}  // NOLINT(google-explicit-constructor)
  shared_body(const char* text) : shared_body(std::string(text)) {}      // NOLINT(google-explicit-constructor)

  // `memory`: the amount that the bytes use; it is returned with the last copy.
  shared_body(std::string bytes, buffer_budget::lease memory)
      : content_(bytes.empty() ? nullptr : std::make_shared<content>(std::move(bytes), std::move(memory))) {}

  const std::string& Text() const;

  bool operator==(const shared_body& other) const { return Text() == other.Text(); }

 private:
  struct content {
    content(std::string text, buffer_budget::lease lease) : bytes(std::move(text)), memory(std::move(lease)) {}
    std::string bytes;
    buffer_budget::lease memory;
  };

  std::shared_ptr<const content> content_;  // null: empty
};

// Value of a header; names are compared case-insensitively. Returns an empty view if the header is absent.
std::string_view FindHeader(const header_list& headers, std::string_view name);

struct http_request {
  std::string method;  // "GET", "POST", ...
  std::string target;  // path and query
  header_list headers;
  shared_body body;
  std::string remote;  // address of the caller, IP:PORT; set by the server

  bool operator==(const http_request&) const = default;
};

struct http_response_head {
  int status = 0;
  header_list headers;

  bool operator==(const http_response_head&) const = default;
};

// What marks the end of a response body. Only a length or chunks prove that the body is whole.
enum class body_framing : std::uint8_t {
  kLength,         // Content-Length, or a response that has no body
  kChunks,         // the terminating chunk
  kConnectionEnd,  // the server closes the connection, which it also does when it stops in the middle of the body
};

// "length", "chunks" or "connection_end".
const char* BodyFramingName(body_framing framing);

struct http_response {
  int status = 200;
  header_list headers;
  std::string body;

  http_response_head Head() const { return {status, headers}; }

  bool operator==(const http_response&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. server
// ---------------------------------------------------------------------------------------------------------------------

struct http_limits {
  std::size_t header_bytes = 16U << 10U;              // a request with larger headers is rejected with 431
  std::size_t body_bytes = 4U << 20U;                 // a request with a larger body is rejected with 413
  milliseconds read_timeout = milliseconds(10'000);   // for a complete request, from its first byte
  milliseconds idle_timeout = milliseconds(60'000);   // between requests on one connection
  milliseconds write_timeout = milliseconds(10'000);  // for one response or one chunk
  // Maximum of open connections. A new one beyond it displaces the one with the least to lose: an answer that its
  // caller has not read for a second, else the connection that has been idle for the longest time, else a request that
  // has been incomplete for a second. If all are in use, the new one is closed.
  std::size_t connections = 4096;
  // For the request bodies of all connections together. While it is used up, further bodies are not read. A body that
  // gets no memory within the read timeout is rejected with 503.
  std::size_t body_memory_bytes = 256U << 20U;
  // For what callers have sent and no handler has got yet, and for the heads of the requests in progress, of all
  // connections together. 12 KiB per connection, several times an ordinary head, are available in any case. A request
  // whose head gets no memory is rejected with 503.
  std::size_t input_memory_bytes = 16U << 20U;
  // For what has been sent and callers have not read, of all connections together: responses, or parts of them, that do
  // not fit into the buffers of the system. 8 KiB per connection are available in any case. Beyond it, the connections
  // that have been sending for the longest time are closed within their responses.
  std::size_t output_memory_bytes = 16U << 20U;

  bool operator==(const http_limits&) const = default;
};

namespace detail {
class http_connection;
}

// One request and its response. The handler calls either Respond or StartStream, exactly once.
class http_exchange {
 public:
  http_exchange(std::shared_ptr<detail::http_connection> connection, http_request request);

  const http_request& Request() const { return request_; }

  // Sends a complete response. Errors: kClosed if the caller has disconnected; kTimeout; kCancelled after
  // RespondInstead.
  task<result<void>> Respond(http_response response);

  // Sends a complete response in place of the one that the handler is preparing, whose parts are dropped from now on:
  // all other functions that send fail with kCancelled. Only before a response has been started. Errors: as of Respond.
  task<result<void>> RespondInstead(http_response response);

  // Sends the status line and headers of a response whose body follows in parts. kLength: the headers state its length.
  // kConnectionEnd: the body is sent without chunks and ends with the connection, as always for callers that speak
  // HTTP/1.0.
  task<result<void>> StartStream(int status, header_list headers, body_framing framing = body_framing::kChunks);
  task<result<void>> WriteChunk(std::string data);
  task<result<void>> FinishStream();

  // Closes the connection without the terminating chunk, so that the caller detects an incomplete response.
  void AbortStream();

  // Sends bytes that are not part of the response, as they are. For test doubles of faulty servers.
  task<result<void>> WriteRaw(std::string bytes);

  // Calls the function at most once, when the caller disconnects before the response is complete. Calls it immediately
  // if that has already happened.
  void OnDisconnect(std::function<void()> callback);

  bool IsDisconnected() const;
  bool IsStarted() const { return started_; }  // Respond or StartStream has been called

 private:
  std::shared_ptr<detail::http_connection> connection_;
  http_request request_;
  bool started_ = false;
  bool is_replaced_ = false;  // by RespondInstead
};

using http_handler = std::function<task<>(std::shared_ptr<http_exchange>)>;

class http_server {
 public:
  struct state;

  http_server(asio::io_context& context, host_port address, http_limits limits, http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Binds the address and listens. Errors: kUnavailable if it is in use.
  result<void> Start();

  // Replaces the limits, also for open connections. An operation in progress keeps the timeout it was started with.
  void SetLimits(const http_limits& limits);

  // Sets a function that frees descriptors when none is left for a new connection, and returns how many. If it frees
  // none, the new connection displaces one, as at the limit of connections.
  void SetDescriptorSource(std::function<std::size_t()> free_descriptors);

  // Disables keep-alive: each further response closes its connection, so that callers reconnect to other servers before
  // Drain. New connections are still accepted.
  void DisableKeepAlive();

  // Graceful shutdown: stops accepting and closes idle connections. Requests in progress are completed, then their
  // connections are closed.
  void Drain();

  // Stops accepting and closes all connections immediately.
  void Stop();

  std::size_t RequestsInProgress() const;

  // True if a request is being read or served, or waits to be read, on some connection.
  bool IsBusy() const;
  std::uint64_t DisplacedConnections() const;  // closed for new ones at the limit of connections or descriptors
  std::uint64_t UnreadResponses() const;       // cut because callers have not read them and others need the memory
  std::size_t InputMemoryInUse() const;        // bytes
  std::size_t BodyMemoryInUse() const;         // bytes
  std::size_t WaitingBodies() const;           // requests whose body is not read yet because the memory is used up
  std::uint16_t Port() const;                  // the bound port; differs from the configured one if that is 0

 private:
  std::shared_ptr<state> state_;
};

// Response with a JSON body.
http_response JsonResponse(int status, std::string body);

// ---------------------------------------------------------------------------------------------------------------------
// 3. client. Idle connections are pooled per address.
// ---------------------------------------------------------------------------------------------------------------------

struct http_client_limits {
  milliseconds connect_timeout = milliseconds(1'000);
  milliseconds response_timeout = milliseconds(5'000);  // for the response headers; in Fetch, for the complete response
  milliseconds idle_timeout = milliseconds(5'000);      // between two reads of a body
  std::size_t body_bytes = 64U << 20U;
  std::size_t idle_connections = 16;  // pooled per address
  // Pooled for all addresses together; the one that has been idle for the longest time is closed first. Endpoints come
  // and go under new addresses, so a limit per address does not bound the descriptors.
  std::size_t total_idle_connections = 1'024;
  // An idle connection is not reused after this time, or after half of the timeout in the server's Keep-Alive header,
  // because the server may close it while a request is in flight.
  milliseconds reuse_limit = milliseconds(60'000);

  bool operator==(const http_client_limits&) const = default;
};

// True for hop-by-hop headers, which are never forwarded: the fixed list and those named in the Connection header.
bool IsHopByHopHeader(const header_list& headers, std::string_view name);

// Identifies a connection among all that a client has opened, from 1. 0: none.
using connection_number = std::uint64_t;

class http_call;

class http_client {
 public:
  http_client(asio::io_context& context, http_client_limits limits);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // Sends a request and reads the complete response. The request is never retried.
  // Errors: kUnavailable and kNoResources if nothing was sent; kTimeout and kClosed if the request may have taken
  // effect.
  task<result<http_response>> Fetch(host_port address, http_request request);
  task<result<http_response>> Fetch(host_port address, http_request request, milliseconds response_timeout);

  // Returns true if a response can be the one to the request.
  using response_filter = std::function<bool(const http_response&)>;

  // Like Fetch above, but fails with kProtocol if `matches` rejects the response. The connection is closed then,
  // because it may be one response behind. Null: every response matches.
  task<result<http_response>> Fetch(host_port address, http_request request, milliseconds response_timeout,
                                    response_filter matches);
  // The same with another limit of the body, in bytes.
  task<result<http_response>> Fetch(host_port address, http_request request, milliseconds response_timeout,
                                    response_filter matches, std::size_t body_bytes);

  // Closes the pooled connections to the address.
  void CloseIdleConnections(const host_port& address);

  // Closes the pooled connections that have been idle for the longest time. Returns how many there were, at most
  // `count`.
  std::size_t CloseOldestIdleConnections(std::size_t count);

  std::size_t IdleConnections() const;

  // Number of connections that have been established since the start.
  std::uint64_t OpenedConnections() const;

  // Like Fetch, but passes each line of the body to the handler as it arrives; the returned body is empty. A last line
  // without a line end is passed on only if a length or chunks prove that it is whole; otherwise kClosed. If the
  // handler returns false, the connection is closed and the result is kCancelled. A response whose status is not 200 is
  // returned with its body, without calling the handler.
  using line_handler = std::function<bool(std::string_view line)>;
  // `on_head` is called with the status and headers before the first line.
  using head_handler = std::function<void(const http_response_head&)>;
  task<result<http_response>> FetchLines(host_port address, http_request request, line_handler on_line,
                                         head_handler on_head = nullptr);

  // Like FetchLines above, with an additional timeout for the whole exchange. Errors: kTimeout when it expires.
  task<result<http_response>> FetchLines(host_port address, http_request request, line_handler on_line,
                                         milliseconds total_timeout, head_handler on_head = nullptr);

 private:
  friend class http_call;
  struct state;
  std::shared_ptr<state> state_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 4. streaming calls
// ---------------------------------------------------------------------------------------------------------------------

// One request to a server whose response body is read incrementally. Destroying or cancelling the call closes its
// connection unless the response has been read completely.
class http_call {
 public:
  explicit http_call(http_client& client);
  ~http_call();
  http_call(const http_call&) = delete;
  http_call& operator=(const http_call&) = delete;

  // Returns true if a response belongs to this call. Other responses, which a server sends late or twice, are read and
  // dropped.
  using head_filter = std::function<bool(const http_response_head&)>;

  // Checked right before the request is written, because connecting takes time. If it returns false, nothing is sent.
  using send_check = std::function<bool()>;

  // Returns true if the request may be sent over this pooled connection. Others stay in the pool.
  using reuse_check = std::function<bool(connection_number)>;

  // Sends the request and returns the status and headers of its response, which may arrive before the request body has
  // been sent. A null `may_reuse` allows any pooled connection. Errors: kUnavailable and kNoResources if nothing was
  // sent; kTimeout and kClosed if the request may have taken effect; kProtocol for a response that is not valid HTTP;
  // kCancelled.
  task<result<http_response_head>> Send(host_port address, http_request request, time_point deadline,
                                        head_filter matches, send_check may_send = nullptr,
                                        reuse_check may_reuse = nullptr);

  // Returns the next part of the body, or an empty string at its end. Errors: kTimeout, kClosed, kProtocol, kCancelled.
  task<result<std::string>> Read(time_point deadline);

  // Closes the connection. Pending operations fail with kCancelled.
  void Cancel();

  bool IsReused() const;                 // the request was sent over a pooled connection
  connection_number Connection() const;  // over which it was sent; 0 until there is one
  body_framing Framing() const;          // of the response whose head Send has returned

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
