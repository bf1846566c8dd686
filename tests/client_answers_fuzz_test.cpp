// link: persimmon_net
// Answers that are cut, doubled and glued at random places, on kept connections. Guards against a client that returns
// what the server has not written for the request, or a part of it as the whole.
//
// Sections
//   1. reference: what the bytes of a connection say
//   2. server
//   3. client
//   4. tests
#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <rapidcheck/gtest.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http.h"
#include "net_support.h"

namespace persimmon {
namespace {

using asio::ip::tcp;

// ---------------------------------------------------------------------------------------------------------------------
// 1. reference: what the bytes of a connection say
// ---------------------------------------------------------------------------------------------------------------------

enum class connection_end : std::uint8_t { kOpen, kClosed, kReset };

struct reference_answer {
  int status = 0;
  std::string id;    // first header "Id"
  std::string body;  // as far as it has been written
  bool is_whole = false;
  std::size_t end = 0;  // offset behind the answer; only if it is whole
};

std::string Trim(std::string_view text) {
  const auto begin = text.find_first_not_of(" \t");
  const auto end = text.find_last_not_of(" \t");
  return begin == std::string_view::npos ? "" : std::string(text.substr(begin, end - begin + 1));
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

// Reads the chunks from `offset`.
void ReadChunks(const std::string& bytes, std::size_t offset, reference_answer& answer) {
  while (true) {
    const std::size_t line_end = bytes.find("\r\n", offset);
    if (line_end == std::string::npos) {
      return;
    }
    std::size_t size = 0;
    const char* line = bytes.data() + offset;
    const auto parsed = std::from_chars(line, bytes.data() + line_end, size, 16);
    if (parsed.ec != std::errc{}) {
      return;
    }
    offset = line_end + 2;
    if (size == 0) {
      for (std::size_t end = bytes.find("\r\n", offset); end != std::string::npos; end = bytes.find("\r\n", offset)) {
        const bool is_last = end == offset;
        offset = end + 2;
        if (is_last) {
          answer.is_whole = true;
          answer.end = offset;
          return;
        }
      }
      return;
    }
    answer.body += bytes.substr(offset, size);
    if (bytes.size() < offset + size + 2 || bytes.compare(offset + size, 2, "\r\n") != 0) {
      return;
    }
    offset += size + 2;
  }
}

// The answers that begin at `offset`, until one is not whole. It accepts at least what a client may accept.
std::vector<reference_answer> ReadAnswers(const std::string& bytes, std::size_t offset, connection_end end) {
  std::vector<reference_answer> answers;
  while (true) {
    const std::size_t head_end = bytes.find("\r\n\r\n", offset);
    if (head_end == std::string::npos || bytes.compare(offset, 7, "HTTP/1.") != 0) {
      return answers;
    }
    reference_answer answer;
    std::from_chars(bytes.data() + offset + 9, bytes.data() + offset + 12, answer.status);
    std::vector<std::pair<std::string, std::string>> headers;
    std::size_t line = bytes.find("\r\n", offset) + 2;
    while (line < head_end + 2) {
      const std::size_t line_end = bytes.find("\r\n", line);
      const std::string text = bytes.substr(line, line_end - line);
      const std::size_t colon = text.find(':');
      const bool is_continuation = text.starts_with(' ') || text.starts_with('\t');
      if (is_continuation && !headers.empty()) {
        headers.back().second += " " + Trim(text);
      } else if (colon != std::string::npos) {
        headers.emplace_back(Lower(text.substr(0, colon)), Trim(text.substr(colon + 1)));
      }
      line = line_end + 2;
    }
    const auto header = [&](const char* name) {
      const auto found = std::find_if(headers.begin(), headers.end(), [&](auto& item) { return item.first == name; });
      return found == headers.end() ? "" : found->second;
    };
    offset = head_end + 4;
    answer.id = header("id");
    const std::string length = header("content-length");
    // Several headers of a transfer encoding are one list, of which the last element counts.
    const auto encoding =
        std::find_if(headers.rbegin(), headers.rend(), [](auto& item) { return item.first == "transfer-encoding"; });
    const bool is_chunked = encoding != headers.rend() && Lower(encoding->second).ends_with("chunked");
    const bool has_body = answer.status >= 200 && answer.status != 204 && answer.status != 304;
    if (!has_body) {
      answer.is_whole = true;
      answer.end = offset;
    } else if (is_chunked) {
      ReadChunks(bytes, offset, answer);
    } else if (!length.empty()) {
      std::size_t size = 0;
      std::from_chars(length.data(), length.data() + length.size(), size);
      answer.body = bytes.substr(offset, size);
      answer.is_whole = bytes.size() >= offset + size;
      answer.end = offset + size;
    } else {
      answer.body = bytes.substr(offset);
      answer.is_whole = end == connection_end::kClosed;
      answer.end = bytes.size();
    }
    if (answer.status >= 200 || !answer.is_whole) {  // interim answers are skipped
      answers.push_back(answer);
    }
    if (!answer.is_whole) {
      return answers;
    }
    offset = answer.end;
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. server
// ---------------------------------------------------------------------------------------------------------------------

// What the server writes for one request.
struct answer_script {
  std::vector<std::string> parts;  // written one after the other
  connection_end end = connection_end::kOpen;
  bool is_plain = false;  // one whole answer to the request, with a length or chunks
};

struct server_connection {
  explicit server_connection(tcp::socket accepted) : socket(std::move(accepted)) {}
  tcp::socket socket;
  std::string written;
  std::size_t request_offset = 0;  // of `written`, when the latest request arrived
  connection_end end = connection_end::kOpen;
  std::optional<std::size_t> expected_offset;  // end of the answer that the client has taken; absent: none
};
using server_connection_ptr = std::shared_ptr<server_connection>;

class scripted_server : public std::enable_shared_from_this<scripted_server> {
 public:
  explicit scripted_server(asio::io_context& context) : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {}

  void Start() { asio::co_spawn(acceptor_.get_executor(), Accept(shared_from_this()), asio::detached); }
  void Stop() {
    acceptor_.close();
    for (const auto& connection : connections_) {
      boost::system::error_code ignored;
      connection->socket.close(ignored);
    }
  }
  host_port Address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

  // Sets what is written for the next request.
  void Expect(answer_script script) {
    script_ = std::move(script);
    latest_.reset();
    is_written_ = false;
  }

  const server_connection_ptr& Latest() const { return latest_; }  // that the request arrived on
  bool IsWritten() const { return is_written_; }
  // A request arrived on a connection on which more than the answers before it had been written.
  bool HasMisusedConnection() const { return has_misused_connection_; }

  // Writes bytes while no request is in progress.
  void WriteSurplus(const std::string& bytes) {
    if (latest_ && latest_->end == connection_end::kOpen) {
      boost::system::error_code ignored;
      latest_->written += bytes.substr(0, latest_->socket.write_some(asio::buffer(bytes), ignored));
    }
  }

  // False while written bytes may not have reached the client.
  bool IsDelivered() const {
    int unsent = 0;
    const bool is_open = latest_ && latest_->socket.is_open();
    return !is_open || ::ioctl(latest_->socket.native_handle(), SIOCOUTQ, &unsent) != 0 || unsent == 0;
  }

 private:
  static task<> Accept(std::shared_ptr<scripted_server> self) {
    while (true) {
      boost::system::error_code failure;
      tcp::socket socket = co_await self->acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        co_return;
      }
      auto connection = std::make_shared<server_connection>(std::move(socket));
      connection->socket.set_option(tcp::no_delay(true), failure);
      self->connections_.push_back(connection);
      asio::co_spawn(self->acceptor_.get_executor(), Serve(self, std::move(connection)), asio::detached);
    }
  }

  static task<> Serve(std::shared_ptr<scripted_server> self, server_connection_ptr connection) {
    boost::system::error_code failure;
    std::string input;
    while (connection->end == connection_end::kOpen) {
      const std::size_t size =
          co_await asio::async_read_until(connection->socket, asio::dynamic_buffer(input), "\r\n\r\n",
                                          asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        break;
      }
      input.erase(0, size);
      if (!connection->written.empty() && connection->expected_offset != connection->written.size()) {
        self->has_misused_connection_ = true;
      }
      connection->expected_offset.reset();
      connection->request_offset = connection->written.size();
      self->latest_ = connection;
      for (const std::string& part : self->script_.parts) {
        connection->written += part;
        asio::write(connection->socket, asio::buffer(part), failure);  // fits the socket buffer
        co_await asio::post(asio::use_awaitable);  // so that the client may read it apart from the next one
      }
      connection->end = self->script_.end;
      if (connection->end == connection_end::kReset) {
        connection->socket.set_option(asio::socket_base::linger(true, 0), failure);
      }
      if (connection->end != connection_end::kOpen) {
        connection->socket.close(failure);
      }
      self->is_written_ = true;
    }
    connection->socket.close(failure);
    std::erase(self->connections_, connection);
  }

  tcp::acceptor acceptor_;
  std::vector<server_connection_ptr> connections_;
  answer_script script_;
  server_connection_ptr latest_;
  bool is_written_ = false;
  bool has_misused_connection_ = false;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. client
// ---------------------------------------------------------------------------------------------------------------------

enum class exchange_kind : std::uint8_t { kCall, kFetch, kLines };

struct observed_exchange {
  std::optional<http_response_head> head;
  std::string body;                // of kLines only if the status is not 200
  std::vector<std::string> lines;  // of kLines
  std::optional<error> failure;
  bool done = false;
};

// Of a silent server. Clean answers arrive within a millisecond, so that a time-out is rare and allowed.
constexpr milliseconds kSilenceLimit(30);

task<> Exchange(http_client& client, host_port address, exchange_kind kind, std::string id,
                std::shared_ptr<observed_exchange> observed) {
  http_request request{"GET", "/x", {{"Id", id}}, {}, {}};
  if (kind == exchange_kind::kCall) {
    const time_point end = timer_service::Now() + kSilenceLimit;
    http_call call(client);
    const http_call::head_filter matches = [id](const http_response_head& head) {
      return FindHeader(head.headers, "Id") == id;
    };
    auto head = co_await call.Send(address, std::move(request), end, matches);
    if (!head) {
      observed->failure = head.error();
    } else {
      observed->head = head.value();
    }
    for (bool more = head.has_value(); more;) {
      auto part = co_await call.Read(end);
      if (!part) {
        observed->failure = part.error();
        break;
      }
      more = !part.value().empty();
      observed->body += part.value();
    }
  } else {
    result<http_response> response(error{error_code::kInvalid, ""});
    if (kind == exchange_kind::kFetch) {
      response = co_await client.Fetch(address, std::move(request), kSilenceLimit);
    } else {
      http_client::line_handler on_line = [observed](std::string_view line) {
        observed->lines.emplace_back(line);
        return true;
      };
      http_client::head_handler on_head = [observed](const http_response_head& head) { observed->head = head; };
      response = co_await client.FetchLines(address, std::move(request), std::move(on_line), kSilenceLimit,
                                            std::move(on_head));
    }
    if (!response) {
      observed->failure = response.error();
    } else {
      observed->head = response.value().Head();
      observed->body = response.value().body;
    }
  }
  observed->done = true;
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. tests
// ---------------------------------------------------------------------------------------------------------------------

std::vector<std::string> LinesOf(const std::string& body, bool is_whole) {
  std::vector<std::string> lines;
  std::size_t begin = 0;
  for (std::size_t end = body.find('\n'); end != std::string::npos; end = body.find('\n', begin)) {
    std::string line = body.substr(begin, end - begin);
    if (line.ends_with('\r')) {
      line.pop_back();
    }
    lines.push_back(line);
    begin = end + 1;
  }
  if (is_whole && begin < body.size()) {
    lines.push_back(body.substr(begin));
  }
  return lines;
}

class client_answers_fuzz_test : public testing::Test {
 protected:
  ~client_answers_fuzz_test() override {
    server_->Stop();
    loop_.RunFor(milliseconds(1));
  }

  // `id`: empty for an answer without one.
  static std::string MakeAnswer(const std::string& id, int status, body_framing framing, const std::string& body) {
    const std::string id_line = id.empty() ? "" : "Id: " + id + "\r\n";
    std::string head = "HTTP/1.1 " + std::to_string(status) + " Reason\r\n";
    const bool has_id_first = *rc::gen::arbitrary<bool>();
    head += has_id_first ? id_line : "Content-Type: text/plain\r\n";
    std::string framed = body;
    if (framing == body_framing::kLength) {
      head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    } else if (framing == body_framing::kChunks) {
      head += "Transfer-Encoding: chunked\r\n";
      framed.clear();
      const std::size_t first = *rc::gen::inRange<std::size_t>(0, body.size() + 1);
      for (const std::string& chunk : {body.substr(0, first), body.substr(first)}) {
        if (!chunk.empty()) {
          char size[17] = {};
          std::to_chars(size, size + sizeof(size) - 1, chunk.size(), 16);
          framed += std::string(size) + "\r\n" + chunk + "\r\n";
        }
      }
      framed += "0\r\n\r\n";
    }
    return head + (has_id_first ? "" : id_line) + "\r\n" + framed;
  }

  // Text that tells where it was written for.
  std::string MakeBody(const std::string& id) {
    std::string body;
    const int lines = *rc::gen::inRange(0, 4);
    for (int line = 0; line < lines; ++line) {
      body += "line " + std::to_string(++next_line_) + " for " + id + "\n";
    }
    return *rc::gen::arbitrary<bool>() ? body : body + "rest " + std::to_string(++next_line_) + " for " + id;
  }

  static body_framing AnyFraming() {
    return *rc::gen::weightedElement<body_framing>(
        {{4, body_framing::kLength}, {4, body_framing::kChunks}, {1, body_framing::kConnectionEnd}});
  }

  std::string AnyAnswer(const std::string& id) {
    return MakeAnswer(id, *rc::gen::element(200, 503, 404), AnyFraming(), MakeBody(id));
  }

  // An earlier answer, or one without an id or with a strange one.
  std::string AnyOtherAnswer() {
    if (!earlier_answers_.empty() && *rc::gen::inRange(0, 3) > 0) {
      return earlier_answers_[*rc::gen::inRange<std::size_t>(0, earlier_answers_.size())];
    }
    return AnyAnswer(*rc::gen::element<std::string>("", "other"));
  }

  answer_script AnyScript(const std::string& id) {
    answer_script script;
    if (*rc::gen::inRange(0, 3) == 0) {
      const auto framing = *rc::gen::element(body_framing::kLength, body_framing::kChunks);
      script.parts = {MakeAnswer(id, 200, framing, MakeBody(id))};
      script.is_plain = true;
      script.end = *rc::gen::element(connection_end::kOpen, connection_end::kOpen, connection_end::kClosed);
      earlier_answers_.push_back(script.parts.front());
      return script;
    }
    std::string own = AnyAnswer(id);
    earlier_answers_.push_back(own);
    std::string bytes;
    for (int others = *rc::gen::weightedElement<int>({{4, 0}, {2, 1}, {1, 2}}); others > 0; --others) {
      bytes += AnyOtherAnswer();
    }
    const std::size_t cut = *rc::gen::inRange<std::size_t>(0, own.size() + 1);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        bytes += own;
        break;
      case 1:
        bytes += own.substr(0, cut);
        break;
      case 2:
        bytes += own + own;
        break;
      case 3:
        bytes += own.substr(0, cut) + AnyOtherAnswer();
        break;
      default: {
        const std::string other = *rc::gen::arbitrary<bool>() ? own : AnyOtherAnswer();
        bytes += own.substr(0, cut) + other.substr(*rc::gen::inRange<std::size_t>(0, other.size() + 1));
      }
    }
    if (*rc::gen::inRange(0, 4) == 0) {
      bytes += AnyOtherAnswer();
    }
    while (!bytes.empty()) {
      const std::size_t size = *rc::gen::arbitrary<bool>() ? bytes.size() : *rc::gen::inRange<std::size_t>(1, 60);
      script.parts.push_back(bytes.substr(0, size));
      bytes.erase(0, size);
    }
    script.end = *rc::gen::element(connection_end::kOpen, connection_end::kClosed, connection_end::kClosed,
                                   connection_end::kReset);
    return script;
  }

  // Checks one exchange against what was written for it.
  static void Check(const observed_exchange& seen, exchange_kind kind, const std::string& id,
                    server_connection& connection) {
    const auto answers = ReadAnswers(connection.written, connection.request_offset, connection.end);
    const auto taken = std::find_if(answers.begin(), answers.end(), [&](const reference_answer& answer) {
      return kind != exchange_kind::kCall || answer.id == id;
    });
    if (!seen.head) {
      RC_ASSERT(seen.failure.has_value());
      RC_ASSERT(seen.body.empty() && seen.lines.empty());
      return;
    }
    RC_LOG() << "written:\n"
             << connection.written.substr(connection.request_offset) << "\nend: " << static_cast<int>(connection.end)
             << ", body seen:\n"
             << seen.body << std::endl;
    RC_ASSERT(taken != answers.end());
    RC_ASSERT(seen.head->status == taken->status);
    RC_ASSERT(std::string(FindHeader(seen.head->headers, "Id")) == taken->id);
    const bool is_complete = !seen.failure;
    RC_ASSERT(!is_complete || taken->is_whole);
    if (kind == exchange_kind::kLines && taken->status == 200) {
      const auto lines = LinesOf(taken->body, taken->is_whole);
      RC_ASSERT(seen.body.empty());
      RC_ASSERT((is_complete ? seen.lines == lines
                             : seen.lines.size() <= lines.size() &&
                                   std::equal(seen.lines.begin(), seen.lines.end(), lines.begin())));
    } else {
      RC_ASSERT(seen.lines.empty());
      RC_ASSERT((is_complete ? seen.body == taken->body : taken->body.starts_with(seen.body)));
    }
    if (is_complete) {
      connection.expected_offset = taken->end;
    }
  }

  // Sends some requests one after the other; the server disturbs the answers.
  void Run(const std::vector<exchange_kind>& kinds) {
    server_ = std::make_shared<scripted_server>(loop_.Context());
    server_->Start();
    http_client client(
        loop_.Context(),
        http_client_limits{.response_timeout = kSilenceLimit, .idle_timeout = kSilenceLimit, .idle_connections = 4});
    earlier_answers_.clear();
    for (int i = 0; i < 6; ++i) {
      const std::string id = "r" + std::to_string(++next_request_);
      const exchange_kind kind = *rc::gen::elementOf(kinds);
      const answer_script script = AnyScript(id);
      server_->Expect(script);
      auto seen = std::make_shared<observed_exchange>();
      asio::co_spawn(loop_.Context(), Exchange(client, server_->Address(), kind, id, seen), asio::detached);
      RC_ASSERT(loop_.RunUntil([&] { return seen->done && server_->IsWritten(); }));
      RC_ASSERT(!server_->HasMisusedConnection());
      Check(*seen, kind, id, *server_->Latest());
      const bool is_allowed = seen->failure && seen->failure->code == error_code::kTimeout;
      RC_ASSERT(!script.is_plain || !seen->failure || is_allowed);
      if (*rc::gen::inRange(0, 6) == 0) {
        server_->WriteSurplus(AnyOtherAnswer());
      }
      RC_ASSERT(loop_.RunUntil([&] { return server_->IsDelivered(); }));
    }
    server_->Stop();
    loop_.RunFor(milliseconds(0));
  }

  test_loop loop_;
  std::shared_ptr<scripted_server> server_ = std::make_shared<scripted_server>(loop_.Context());
  std::vector<std::string> earlier_answers_;  // of the connections so far
  int next_request_ = 0;
  int next_line_ = 0;
};

RC_GTEST_FIXTURE_PROP(client_answers_fuzz_test, Call_ForAnyAnswers_ReturnsOnlyWhatWasWrittenForIt, ()) {
  Run({exchange_kind::kCall});
}

RC_GTEST_FIXTURE_PROP(client_answers_fuzz_test, Fetch_ForAnyAnswers_ReturnsOnlyWholeAnswersInOrder, ()) {
  Run({exchange_kind::kFetch});
}

RC_GTEST_FIXTURE_PROP(client_answers_fuzz_test, Lines_ForAnyAnswers_AreThoseOfTheAnswerInOrder, ()) {
  Run({exchange_kind::kLines});
}

RC_GTEST_FIXTURE_PROP(client_answers_fuzz_test, MixedExchanges_OverSharedConnections_KeepTheirAnswersApart, ()) {
  Run({exchange_kind::kCall, exchange_kind::kFetch, exchange_kind::kLines});
}

}  // namespace
}  // namespace persimmon
