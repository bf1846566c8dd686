// HTTP/1.1 server and client behind an interface that needs no Beast header.
//
// Sections
//   1. messages
//   2. server
//   3. client
//   4. calls whose answer is passed on
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
#include "persimmon/error.h"
#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. messages
// ---------------------------------------------------------------------------------------------------------------------

using header_list = std::vector<header_field>;

// Value of a header, compared without case. Returns an empty view if it is absent.
std::string_view FindHeader(const header_list& headers, std::string_view name);

struct http_request {
  std::string method;  // "GET", "POST", ...
  std::string target;  // path and query
  header_list headers;
  std::string body;
  std::string remote;  // address of the caller, IP:PORT; set by the server

  bool operator==(const http_request&) const = default;
};

struct http_response {
  int status = 200;
  header_list headers;
  std::string body;

  bool operator==(const http_response&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. server
// ---------------------------------------------------------------------------------------------------------------------

struct http_limits {
  std::size_t header_bytes = 16U << 10U;              // longer headers: 431
  std::size_t body_bytes = 4U << 20U;                 // longer bodies: 413
  milliseconds read_timeout = milliseconds(10'000);   // for one whole request, once its first byte has arrived
  milliseconds idle_timeout = milliseconds(60'000);   // between requests of one connection
  milliseconds write_timeout = milliseconds(10'000);  // for one response or one chunk
  std::size_t connections = 4096;                     // further connections are closed at once

  bool operator==(const http_limits&) const = default;
};

namespace detail {
class http_connection;
}

// One request and its response. Exactly one of Respond or StartStream is called, once.
class http_exchange {
 public:
  http_exchange(std::shared_ptr<detail::http_connection> connection, http_request request);

  const http_request& Request() const { return request_; }

  // Sends a whole response. Errors: kClosed if the caller has gone.
  task<result<void>> Respond(http_response response);

  // Sends the head of a response whose body follows in chunks.
  task<result<void>> StartStream(int status, header_list headers);
  task<result<void>> WriteChunk(std::string data);
  task<result<void>> FinishStream();

  // Ends a started stream without its end mark, so that the caller sees a broken answer and not a whole one.
  void AbortStream();

  // Calls the function once when the caller closes the connection before the response is complete.
  void OnDisconnect(std::function<void()> callback);

  bool IsDisconnected() const;
  bool IsStarted() const { return started_; }  // the head of a response has been sent

 private:
  std::shared_ptr<detail::http_connection> connection_;
  http_request request_;
  bool started_ = false;
};

using http_handler = std::function<task<>(std::shared_ptr<http_exchange>)>;

class http_server {
 public:
  struct state;

  http_server(asio::io_context& context, host_port address, http_limits limits, http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Binds and listens. Errors: kUnavailable if the address is taken.
  result<void> Start();

  // Replaces the limits, for connections that are open as well. A wait that has begun keeps its limit.
  void SetLimits(const http_limits& limits);

  // From now on each response ends its connection, so that callers move to other servers before Drain. New connections
  // are still accepted.
  void AnnounceClose();

  // Stops accepting; requests in progress go on and their connections close after the response.
  void Drain();

  // Closes every connection.
  void Stop();

  std::size_t RequestsInProgress() const;
  std::uint16_t Port() const;  // the bound port, useful after binding port 0

 private:
  std::shared_ptr<state> state_;
};

// Response with a JSON body.
http_response JsonResponse(int status, std::string body);

// ---------------------------------------------------------------------------------------------------------------------
// 3. client. Connections are kept alive and reused per address.
// ---------------------------------------------------------------------------------------------------------------------

struct http_client_limits {
  milliseconds connect_timeout = milliseconds(1'000);
  milliseconds response_timeout = milliseconds(5'000);  // until the head of the response
  milliseconds idle_timeout = milliseconds(5'000);      // between two parts of a body
  std::size_t body_bytes = 64U << 20U;
  std::size_t idle_connections = 16;  // kept per address
  // A kept connection is not used again after this time without use, or after half the time that the server announces
  // in Keep-Alive, because the server may close it while a request is on its way.
  milliseconds reuse_limit = milliseconds(60'000);

  bool operator==(const http_client_limits&) const = default;
};

// Headers that belong to one connection only and are never passed on, and those that the Connection header names.
bool IsHopHeader(const header_list& headers, std::string_view name);

class http_call;

class http_client {
 public:
  http_client(asio::io_context& context, http_client_limits limits);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // Sends a request and reads the whole response. The request is sent once and never repeated.
  // Errors: kUnavailable if nothing was sent; kTimeout and kClosed if the request may have taken effect.
  task<result<http_response>> Fetch(host_port address, http_request request);
  task<result<http_response>> Fetch(host_port address, http_request request, milliseconds response_timeout);

  // As Fetch, but passes each line of the body to the function as it arrives; the returned body is empty. The function
  // returns false to end the exchange and close the connection, which yields kCancelled. A response whose status is not
  // 200 is returned whole, without calling the function.
  using line_handler = std::function<bool(std::string_view line)>;
  task<result<http_response>> FetchLines(host_port address, http_request request, line_handler on_line);

  // The same with a limit for the whole exchange, beside the other limits. Errors: kTimeout when it is over.
  task<result<http_response>> FetchLines(host_port address, http_request request, line_handler on_line,
                                         milliseconds total_timeout);

 private:
  friend class http_call;
  struct state;
  std::shared_ptr<state> state_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 4. calls whose answer is passed on
// ---------------------------------------------------------------------------------------------------------------------

struct http_head {
  int status = 0;
  header_list headers;

  bool operator==(const http_head&) const = default;
};

// One request to a server and its answer, read piece by piece. Destroying or cancelling the call closes its connection
// unless the answer has been read to its end.
class http_call {
 public:
  explicit http_call(http_client& client);
  ~http_call();
  http_call(const http_call&) = delete;
  http_call& operator=(const http_call&) = delete;

  // Tells whether an answer belongs to this call. Others, which a server sends late or twice, are read and dropped.
  using head_filter = std::function<bool(const http_head&)>;

  // Sends the request and returns the head of its answer. The answer may arrive before the body has been sent.
  // Errors: kUnavailable if nothing was sent; kTimeout and kClosed if the request may have taken effect; kProtocol for
  // an answer that is not HTTP; kCancelled.
  task<result<http_head>> Send(host_port address, http_request request, time_point end, head_filter is_ours);

  // The next piece of the body; empty once the body is complete. Errors: kTimeout, kClosed, kProtocol, kCancelled.
  task<result<std::string>> Read(time_point end);

  // Closes the connection. Operations that wait yield kCancelled.
  void Cancel();

  bool IsReused() const;  // the request went over a kept connection

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
