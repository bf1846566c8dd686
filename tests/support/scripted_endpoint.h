// Endpoint on a plain socket whose script decides which bytes it sends for each request and when, so that a test can
// send what no sound endpoint sends. Reservations and releases are answered without the script.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "core/timers.h"
#include "fakes/fake_platform.h"
#include "net/http.h"
#include "support/registry_entry.h"

namespace persimmon::support {

class scripted_endpoint {
 public:
  struct scripted_request {
    std::string head;
    std::string attempt;         // id that it names; empty: none
    bool is_prefill = false;     // only the prompt is to be read
    std::size_t connection = 0;  // number of its connection, from 1
    std::size_t position = 0;    // number of the request on its connection, from 1
    bool is_repeated = false;    // the connection has carried a request with the same id before
  };

  struct scripted_step {
    std::string bytes;
    milliseconds delay{0};          // before the bytes are sent
    bool closes_after = false;      // closes the connection after the bytes
    bool starts_run_after = false;  // the request runs from here on
  };

  using script = std::function<std::vector<scripted_step>(const scripted_request&)>;

  scripted_endpoint(asio::io_context& context, std::string name, std::string service, std::string stage = "")
      : state_(std::make_shared<state>(context)),
        name_(std::move(name)),
        service_(std::move(service)),
        stage_(std::move(stage)) {
    asio::co_spawn(context, Accept(state_), asio::detached);
  }

  ~scripted_endpoint() {
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    for (const auto& socket : state_->sockets) {
      socket->close(ignored);
    }
  }

  scripted_endpoint(const scripted_endpoint&) = delete;
  scripted_endpoint& operator=(const scripted_endpoint&) = delete;

  void SetScript(script answers) { state_->answers = std::move(answers); }

  // Writes its entry in the table service. `stage`: role of the entry, if the address has entries of several roles.
  void Register(fakes::table_store& tables) const { Register(tables, name_, stage_); }
  void Register(fakes::table_store& tables, const std::string& name, const std::string& stage) const {
    RegisterEndpoint(tables, name, service_, Address(), stage, 16);
  }

  host_port Address() const { return {"127.0.0.1", state_->acceptor.local_endpoint().port()}; }
  int Runs(const std::string& attempt) const {
    const auto found = state_->runs.find(attempt);
    return found == state_->runs.end() ? 0 : found->second;
  }
  const std::vector<scripted_request>& Requests() const { return state_->requests; }  // without control requests
  std::size_t Connections() const { return state_->connections; }

 private:
  using tcp = asio::ip::tcp;
  using tcp_socket = std::shared_ptr<tcp::socket>;

  struct state {
    explicit state(asio::io_context& context)
        : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}), timers(context) {}
    tcp::acceptor acceptor;
    timer_service timers;
    script answers;
    std::vector<tcp_socket> sockets;
    std::vector<scripted_request> requests;
    std::map<std::string, int> runs;
    std::size_t connections = 0;
    std::size_t reservations = 0;
  };
  using state_ptr = std::shared_ptr<state>;

  static std::string HeaderOf(const std::string& head, const std::string& name) {
    const auto begin = head.find("\r\n" + name + ": ");
    if (begin == std::string::npos) {
      return "";
    }
    const auto value = begin + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
  }

  static bool IsControl(const std::string& head) {
    const std::string target = head.substr(head.find(' ') + 1);
    return target.starts_with("/hold-") || target.starts_with("/kv-handle/") || target.starts_with("/report") ||
           target.starts_with("/health");
  }

  static std::string ControlAnswer(state& shared, const std::string& head) {
    std::string body = R"({"stage":"decode","busy":false,"seq":0})";
    if (head.find(" /hold-take ") != std::string::npos) {
      body = R"({"hold":"hold)" + std::to_string(++shared.reservations) + "\"}";
    }
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  static task<> Accept(state_ptr shared) {
    while (true) {
      boost::system::error_code failure;
      auto socket = std::make_shared<tcp::socket>(shared->acceptor.get_executor());
      co_await shared->acceptor.async_accept(*socket, asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        co_return;
      }
      socket->set_option(tcp::no_delay(true), failure);
      shared->sockets.push_back(socket);
      asio::co_spawn(shared->acceptor.get_executor(), Serve(shared, socket, ++shared->connections), asio::detached);
    }
  }

  static task<> Serve(state_ptr shared, tcp_socket socket, std::size_t connection) {
    std::string input;
    std::set<std::string> carried;
    boost::system::error_code failure;
    for (std::size_t position = 1; !failure;) {
      const std::size_t head_size = co_await asio::async_read_until(*socket, asio::dynamic_buffer(input), "\r\n\r\n",
                                                                    asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        break;
      }
      scripted_request request;
      request.head = input.substr(0, head_size);
      const std::string length = HeaderOf(request.head, "Content-Length");
      std::size_t body_size = 0;
      std::from_chars(length.data(), length.data() + length.size(), body_size);
      while (!failure && input.size() < head_size + body_size) {
        std::string part(body_size, '\0');
        const std::size_t count =
            co_await socket->async_read_some(asio::buffer(part), asio::redirect_error(asio::use_awaitable, failure));
        input.append(part, 0, count);
      }
      input.erase(0, head_size + body_size);
      std::vector<scripted_step> steps;
      if (IsControl(request.head)) {
        scripted_step step;
        step.bytes = ControlAnswer(*shared, request.head);
        steps.push_back(std::move(step));
      } else {
        request.attempt = HeaderOf(request.head, "Persimmonchute-Attempt-Id");
        request.is_prefill = HeaderOf(request.head, "Persimmonchute-Stage") == "prefill";
        request.connection = connection;
        request.position = position++;
        request.is_repeated = !request.attempt.empty() && !carried.insert(request.attempt).second;
        shared->requests.push_back(request);
        steps = shared->answers(request);
      }
      for (const scripted_step& step : steps) {
        co_await shared->timers.Sleep(step.delay);
        co_await asio::async_write(*socket, asio::buffer(step.bytes),
                                   asio::redirect_error(asio::use_awaitable, failure));
        if (step.starts_run_after) {
          ++shared->runs[request.attempt];
        }
        if (step.closes_after) {
          failure = asio::error::eof;
        }
      }
    }
    boost::system::error_code ignored;
    socket->close(ignored);
  }

  state_ptr state_;
  std::string name_;
  std::string service_;
  std::string stage_;
};

}  // namespace persimmon::support
