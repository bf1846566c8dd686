// link: persimmon_direct persimmon_fake_parts
// Endpoints that state "not run" for requests that they run, and refusals that prove nothing: the caller must not be
// told "not run", and a request that must not be repeated must not reach another endpoint.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "support/router_harness.h"
#include "support/scripted_endpoint.h"

namespace persimmon {
namespace {

using support::caller_exchange_ptr;
using support::router_harness;
using support::scripted_endpoint;
using support::WholeStream;
using request_seen = scripted_endpoint::scripted_request;
using step = scripted_endpoint::scripted_step;
using steps = std::vector<step>;

constexpr milliseconds kRunTime(20);  // of a request that an endpoint runs after it has sent a refusal

struct refusal_options {
  int status = 503;
  std::string attempt = {};  // empty: names no request
  bool states_not_run = true;
  bool has_seal = false;
};

std::string RefusalText(const refusal_options& options) {
  std::string text = fmt::format("HTTP/1.1 {} Refused\r\nContent-Length: 0\r\n", options.status);
  text += options.attempt.empty() ? "" : "Persimmonchute-Attempt-Id: " + options.attempt + "\r\n";
  text += options.states_not_run ? "Persimmonchute-Not-Executed: 1\r\n" : "";
  text += options.has_seal ? "Persimmonchute-Server-Seal: s\r\n" : "";
  return text + "\r\n";
}

std::string AnswerText(const std::string& attempt, const std::string& body, const std::string& type = "text/plain") {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nContent-Type: {}\r\nPersimmonchute-Attempt-Id: {}\r\nPersimmonchute-Server-Seal: "
      "s\r\nContent-Length: {}\r\n\r\n{}",
      type, attempt, body.size(), body);
}

std::string StreamText(const std::string& attempt) {
  return AnswerText(attempt, WholeStream(attempt, 5), "text/event-stream");
}

std::string PrefillText(const std::string& attempt) {
  const std::string body = R"({"handle":"h1","tokens":100,"version":1})";
  return fmt::format(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nPersimmonchute-Attempt-Id: {}\r\nContent-Length: "
      "{}\r\n\r\n{}",
      attempt, body.size(), body);
}

step Send(std::string bytes) { return {.bytes = std::move(bytes)}; }
step SendAndRun(std::string bytes) { return {.bytes = std::move(bytes), .starts_run_after = true}; }
step SendLater(std::string bytes) { return {.bytes = std::move(bytes), .delay = kRunTime}; }

// Sends what it is given and runs the request, which it answers later on the same connection.
template <class answer_function>
scripted_endpoint::script RefuseAndRun(refusal_options refusal, bool names_request, answer_function answer) {
  return [=](const request_seen& request) {
    refusal_options sent = refusal;
    sent.attempt = names_request ? request.attempt : "";
    return steps{SendAndRun(RefusalText(sent)), SendLater(answer(request.attempt))};
  };
}

std::string PlainAnswer(const std::string& attempt) { return AnswerText(attempt, "answer to " + attempt); }

steps Refuse(const request_seen& request) { return steps{Send(RefusalText({.attempt = request.attempt}))}; }

class endpoints_test : public testing::Test {
 protected:
  explicit endpoints_test(const std::function<void(direct_settings&)>& adjust = nullptr) : harness_(adjust) {}

  scripted_endpoint& Add(const std::string& name, const std::string& service, const std::string& stage = "") {
    endpoints_.push_back(std::make_unique<scripted_endpoint>(harness_.Kernel().Context(), name, service, stage));
    endpoints_.back()->Register(harness_.Platform().Tables());
    ++entries_;
    return *endpoints_.back();
  }

  void StartRouter(const support::desired_state_options& options) {
    harness_.WriteDesiredState(options);
    harness_.StartWithoutWaiting();
    ASSERT_TRUE(harness_.RunUntil(
        [this] { return harness_.Directory().IsInForce() && harness_.Directory().Endpoints().Size() == entries_; }));
  }

  int Runs(const std::string& attempt) const {
    int total = 0;
    for (const auto& endpoint : endpoints_) {
      total += endpoint->Runs(attempt);
    }
    return total;
  }

  std::size_t Sends() const {
    std::size_t total = 0;
    for (const auto& endpoint : endpoints_) {
      total += endpoint->Requests().size();
    }
    return total;
  }

  std::string MetricsText() {
    const auto metrics = harness_.SendToControl("/metrics");
    EXPECT_TRUE(harness_.Finish(metrics));
    return metrics->body;
  }

  void SetAll(const scripted_endpoint::script& answers) {
    for (const auto& endpoint : endpoints_) {
      endpoint->SetScript(answers);
    }
  }

  router_harness harness_;
  std::size_t entries_ = 0;
  std::vector<std::unique_ptr<scripted_endpoint>> endpoints_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 1. plain calls
// ---------------------------------------------------------------------------------------------------------------------

class plain_refusal_test : public endpoints_test {
 protected:
  plain_refusal_test() : first_(Add("app-1", "app")), second_(Add("app-2", "app")) {}
  void SetUp() override { StartRouter({}); }

  caller_exchange_ptr Submit(const std::string& attempt) {
    auto call = harness_.Send("POST", "/submit/1", attempt, {}, "quiz");
    EXPECT_TRUE(harness_.Finish(call));
    return call;
  }

  caller_exchange_ptr Get(const std::string& attempt) {
    auto call = harness_.Send("GET", "/pages/1", attempt);
    EXPECT_TRUE(harness_.Finish(call));
    return call;
  }

  scripted_endpoint& first_;
  scripted_endpoint& second_;
};

// Guards against "not run" for a call that runs, because of a refusal that names no request.
TEST_F(plain_refusal_test, RefusalWithoutAnId_OfACallThatRuns_IsNotTheCallsAnswer) {
  for (const int status : {503, 429, 421, 408, 400}) {
    SetAll(RefuseAndRun({.status = status}, false, PlainAnswer));
    const std::string attempt = fmt::format("a{}", status);
    const auto call = Submit(attempt);
    EXPECT_EQ(call->Status(), 200) << status;
    EXPECT_EQ(call->body, "answer to " + attempt);
    EXPECT_EQ(Runs(attempt), 1) << status;
  }
}

// The same for an endpoint that closes the connection and never answers: the call may have run.
TEST_F(plain_refusal_test, RefusalWithoutAnId_AndNoAnswer_MayHaveRun) {
  SetAll([](const request_seen&) {
    return steps{SendAndRun(RefusalText({})), {.bytes = "", .delay = kRunTime, .closes_after = true}};
  });
  EXPECT_EQ(Submit("a1")->Status(), 502);
  EXPECT_EQ(Runs("a1"), 1);
}

TEST_F(plain_refusal_test, RefusalWithoutAnId_OfAnIdempotentCallThatRuns_IsNotTheCallsAnswer) {
  for (const int status : {503, 429, 421}) {
    SetAll(RefuseAndRun({.status = status}, false, PlainAnswer));
    const std::string attempt = fmt::format("a{}", status);
    const auto call = Get(attempt);
    EXPECT_EQ(call->Status(), 200) << status;
    EXPECT_EQ(call->body, "answer to " + attempt);
  }
}

// Guards against "not run" because of a status alone.
TEST_F(plain_refusal_test, RefusalWithoutAStatement_OfACallThatRuns_MayHaveRun) {
  for (const int status : {421, 429, 503, 408}) {
    SetAll(RefuseAndRun({.status = status, .states_not_run = false}, true, PlainAnswer));
    const std::string attempt = fmt::format("a{}", status);
    EXPECT_EQ(Submit(attempt)->Status(), 502) << status;
    EXPECT_EQ(Runs(attempt), 1) << status;
  }
}

TEST_F(plain_refusal_test, RefusalWithoutAStatement_OfAnIdempotentCall_MayHaveRunAndIsRepeatedAsAllowed) {
  SetAll(RefuseAndRun({.status = 421, .states_not_run = false}, true, PlainAnswer));
  EXPECT_EQ(Get("a1")->Status(), 502);
  EXPECT_EQ(Runs("a1"), 2);  // max_attempts
}

// A seal says that the endpoint has run the request, so the statement beside it is not believed.
TEST_F(plain_refusal_test, RefusalWithASeal_OfACallThatRuns_MayHaveRun) {
  for (const int status : {503, 429, 421}) {
    SetAll(RefuseAndRun({.status = status, .has_seal = true}, true, PlainAnswer));
    const std::string attempt = fmt::format("a{}", status);
    EXPECT_EQ(Submit(attempt)->Status(), 502) << status;
    EXPECT_EQ(Runs(attempt), 1) << status;
  }
}

// Guards against "not run" because of the statement on a response that cannot be a refusal.
TEST_F(plain_refusal_test, StatementOnAnotherStatus_OfACallThatRuns_MayHaveRun) {
  for (const int status : {200, 202, 404, 500, 504}) {
    SetAll(RefuseAndRun({.status = status, .has_seal = true}, true, PlainAnswer));
    const std::string attempt = fmt::format("a{}", status);
    EXPECT_EQ(Submit(attempt)->Status(), 502) << status;
    EXPECT_EQ(Runs(attempt), 1) << status;
  }
}

// Guards against an answer that names no request, which may be another caller's.
TEST_F(plain_refusal_test, AnswerWithoutAnId_IsNotPassedOn) {
  SetAll([](const request_seen& request) {
    return steps{SendAndRun("HTTP/1.1 200 OK\r\nPersimmonchute-Server-Seal: s\r\nContent-Length: 7\r\n\r\nanother"),
                 SendLater(PlainAnswer(request.attempt))};
  });
  const auto call = Submit("a1");
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(call->body, "answer to a1");
}

// Guards against a refusal that is written once more on a kept connection, before or instead of the next answer.
TEST_F(plain_refusal_test, RefusalWrittenTwice_OnAKeptConnection_IsNotTheNextCallsAnswer) {
  for (const bool names_request : {true, false}) {
    std::string earlier;
    SetAll([&earlier, names_request](const request_seen& request) {
      steps result;
      if (earlier.empty()) {
        earlier = RefusalText({.attempt = names_request ? request.attempt : ""});
        result.push_back(Send(RefusalText({.attempt = request.attempt})));
      } else {
        result.push_back(SendAndRun(earlier));
        result.push_back(SendLater(PlainAnswer(request.attempt)));
      }
      return result;
    });
    const std::string suffix = names_request ? "named" : "unnamed";
    ASSERT_EQ(Submit("first-" + suffix)->Status(), 503);
    for (const char* name : {"second-", "third-"}) {
      const auto call = Submit(name + suffix);
      EXPECT_EQ(call->Status(), 200) << suffix;
      EXPECT_EQ(call->body, "answer to " + (name + suffix));
      EXPECT_EQ(Runs(name + suffix), 1);
    }
  }
}

// A rule that believes no refusal would fail calls that another endpoint can serve.
TEST_F(plain_refusal_test, SoundRefusal_LeadsToTheNextEndpointOrA503) {
  first_.SetScript(Refuse);
  second_.SetScript([](const request_seen& request) { return steps{Send(PlainAnswer(request.attempt))}; });
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Get("a" + std::to_string(i))->Status(), 200);
  }
  EXPECT_GT(first_.Requests().size(), 0U);
  for (const int status : {503, 429, 421}) {
    SetAll([status](const request_seen& request) {
      return steps{Send(RefusalText({.status = status, .attempt = request.attempt}))};
    });
    for (const auto& call : {Submit(fmt::format("s{}", status)), Get(fmt::format("g{}", status))}) {
      EXPECT_EQ(call->Status(), 503) << status;
      EXPECT_NE(call->Header("Retry-After"), "");
    }
  }
}

// Guards against a price of the rule: an endpoint that is merely full must not cost new connections.
TEST_F(plain_refusal_test, SoundRefusals_KeepTheirConnections) {
  SetAll(Refuse);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Submit("a" + std::to_string(i))->Status(), 503);
  }
  EXPECT_EQ(Sends(), 20U);
  EXPECT_LE(first_.Connections(), 1U);
  EXPECT_LE(second_.Connections(), 1U);
}

// Guards against the next request waiting behind one that the endpoint still runs on the same connection.
TEST_F(plain_refusal_test, UnprovenRefusals_CloseTheirConnections) {
  SetAll(RefuseAndRun({.status = 421, .states_not_run = false}, true, PlainAnswer));
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(Submit("a" + std::to_string(i))->Status(), 502);
  }
  EXPECT_EQ(Sends(), 6U);
  EXPECT_EQ(first_.Connections() + second_.Connections(), 6U);
}

// Without an id nothing tells a request's response from a late one on a kept connection.
TEST_F(plain_refusal_test, RequestWithoutAnId_IsSentOverANewConnection) {
  SetAll([](const request_seen& request) {
    steps result;
    if (request.position > 1) {
      result.push_back(SendAndRun(RefusalText({.status = 400})));
    }
    result.push_back(SendAndRun(fmt::format(
        "HTTP/1.1 200 OK\r\nPersimmonchute-Server-Seal: s\r\nContent-Length: 2\r\n\r\n{:02}", request.connection)));
    return result;
  });
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(Submit("")->Status(), 200);
  }
  for (const auto& endpoint : endpoints_) {
    EXPECT_EQ(endpoint->Connections(), endpoint->Requests().size());
  }
}

TEST_F(plain_refusal_test, DroppedAndUnprovenReplies_AreCounted) {
  SetAll(RefuseAndRun({}, false, PlainAnswer));
  Submit("a1");
  SetAll(RefuseAndRun({.status = 421, .states_not_run = false}, true, PlainAnswer));
  Submit("a2");
  const std::string text = MetricsText();
  EXPECT_NE(text.find("persimmon_replies_dropped_total{reason=\"names_no_request\"} 1"), std::string::npos) << text;
  EXPECT_NE(text.find("persimmon_unproven_refusals_total{reason=\"no_statement\"} 1"), std::string::npos) << text;
  EXPECT_NE(text.find("persimmon_upstream_connections_total"), std::string::npos);
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. model calls
// ---------------------------------------------------------------------------------------------------------------------

class model_refusal_test : public endpoints_test {
 protected:
  // Starts a router with engines that answer prefills soundly and decodes by the script.
  void Start(std::size_t prefill_engines, std::size_t decode_engines, int attempts = 3) {
    for (std::size_t i = 1; i <= prefill_engines; ++i) {
      Add(fmt::format("pre-{}", i), "llm", "prefill").SetScript(&AnswerSoundly);
    }
    for (std::size_t i = 1; i <= decode_engines; ++i) {
      decode_.push_back(&Add(fmt::format("dec-{}", i), "llm", "decode"));
      decode_.back()->SetScript(&AnswerSoundly);
    }
    StartRouter({.timeout_ms = 3'000, .attempts = attempts, .chat_attempts = attempts});
  }

  static steps AnswerSoundly(const request_seen& request) {
    steps result;
    if (request.is_prefill) {
      result.push_back(Send(PrefillText(request.attempt)));
    } else {
      result.push_back(SendAndRun(""));
      result.push_back(Send(StreamText(request.attempt)));
    }
    return result;
  }

  caller_exchange_ptr Chat(const std::string& path, const std::string& attempt) {
    auto call = harness_.SendModel(path, attempt);
    EXPECT_TRUE(harness_.Finish(call));
    return call;
  }

  std::size_t DecodeSends() const {
    std::size_t total = 0;
    for (const scripted_endpoint* engine : decode_) {
      total += engine->Requests().size();
    }
    return total;
  }

  std::vector<scripted_endpoint*> decode_;
};

// Guards against a request that runs at several decode engines at once, and "not run" afterwards.
TEST_F(model_refusal_test, RefusalWithoutAnId_OfADecodeThatRuns_LeadsToNoOtherEngine) {
  Start(1, 3);
  for (const int status : {503, 429, 421}) {
    for (scripted_endpoint* engine : decode_) {
      engine->SetScript(RefuseAndRun({.status = status}, false, StreamText));
    }
    const std::string attempt = fmt::format("a{}", status);
    const std::size_t before = DecodeSends();
    const auto call = Chat("/chat/1", attempt);
    EXPECT_EQ(call->Status(), 200) << status;
    EXPECT_EQ(call->body, WholeStream(attempt, 5));
    EXPECT_EQ(DecodeSends() - before, 1U) << status;
    EXPECT_EQ(Runs(attempt), 1) << status;
  }
}

// Row 8 and its relatives at decode engines.
TEST_F(model_refusal_test, UnprovenRefusal_OfADecodeThatRuns_MayHaveRunAndLeadsToNoOtherEngine) {
  Start(1, 3);
  const std::vector<refusal_options> refusals = {{.status = 421, .states_not_run = false},
                                                 {.status = 503, .states_not_run = false},
                                                 {.status = 503, .has_seal = true},
                                                 {.status = 200, .has_seal = true},
                                                 {.status = 500, .has_seal = true}};
  for (std::size_t i = 0; i < refusals.size(); ++i) {
    for (scripted_endpoint* engine : decode_) {
      engine->SetScript(RefuseAndRun(refusals[i], true, StreamText));
    }
    const std::string attempt = fmt::format("a{}", i);
    const std::size_t before = DecodeSends();
    EXPECT_EQ(Chat("/chat/1", attempt)->Status(), 502) << i;
    EXPECT_EQ(DecodeSends() - before, 1U) << i;
    EXPECT_EQ(Runs(attempt), 1) << i;
  }
}

// A stream that may be resumed goes on elsewhere, as after a lost answer.
TEST_F(model_refusal_test, UnprovenRefusal_OfAResumableDecode_LeadsToAnotherEngine) {
  Start(1, 2);
  bool has_refused = false;
  const scripted_endpoint::script answers = [&has_refused](const request_seen& request) {
    if (has_refused) {
      return AnswerSoundly(request);
    }
    has_refused = true;
    return RefuseAndRun({.status = 421, .states_not_run = false}, true, StreamText)(request);
  };
  for (scripted_endpoint* engine : decode_) {
    engine->SetScript(answers);
  }
  const auto call = Chat("/digest/1", "a1");
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(call->body, WholeStream("a1", 5));
}

TEST_F(model_refusal_test, SoundRefusal_OfADecode_LeadsToAnotherEngineOrA503) {
  Start(1, 2);
  decode_[0]->SetScript(Refuse);
  EXPECT_EQ(Chat("/digest/1", "a1")->Status(), 200);
  decode_[1]->SetScript(Refuse);
  EXPECT_EQ(Chat("/digest/1", "a2")->Status(), 503);
  EXPECT_EQ(Chat("/chat/1", "a3")->Status(), 503);
}

// Guards against a prompt that is read at several engines, and a refusal although its prefill succeeds.
TEST_F(model_refusal_test, RefusalWithoutAnId_OfAPrefillThatIsDone_LeadsToNoOtherEngine) {
  Start(2, 1);
  for (std::size_t i = 0; i < 2; ++i) {
    endpoints_[i]->SetScript(RefuseAndRun({}, false, PrefillText));
  }
  const auto call = Chat("/chat/1", "a1");
  EXPECT_EQ(call->Status(), 200);
  EXPECT_EQ(call->body, WholeStream("a1", 5));
  EXPECT_EQ(endpoints_[0]->Requests().size() + endpoints_[1]->Requests().size(), 1U);
}

// A statement beside a handle contradicts it, so the handle is not used.
TEST_F(model_refusal_test, PrefillAnswerWithAStatement_IsNoPrefill) {
  Start(2, 1);
  endpoints_[0]->SetScript([](const request_seen& request) {
    std::string text = PrefillText(request.attempt);
    text.insert(text.find("\r\n") + 2, "Persimmonchute-Not-Executed: 1\r\n");
    return steps{Send(std::move(text))};
  });
  for (int i = 0; i < 4; ++i) {
    const auto call = Chat("/chat/1", fmt::format("a{}", i));
    EXPECT_EQ(call->Status(), 200);
    EXPECT_NE(decode_[0]->Requests().back().head.find(
                  fmt::format("Persimmonchute-Kv-Source: {}/h1", endpoints_[1]->Address().Text())),
              std::string::npos);
  }
}

// Guards against a refusal of the prefill that is written once more on the connection of the decode, which has the
// same id: an id is sent over a connection once.
TEST_F(model_refusal_test, RefusalWithTheOwnId_OnAConnectionThatCarriedTheId_IsNotRead) {
  scripted_endpoint& engine = Add("pre-1", "llm", "prefill");
  engine.Register(harness_.Platform().Tables(), "dec-1", "decode");  // the same process serves both
  ++entries_;
  engine.SetScript([](const request_seen& request) {
    return request.is_repeated ? RefuseAndRun({}, true, StreamText)(request) : AnswerSoundly(request);
  });
  StartRouter({.timeout_ms = 3'000});
  for (const char* attempt : {"a1", "a2", "a3"}) {
    const auto call = Chat("/chat/1", attempt);
    EXPECT_EQ(call->Status(), 200);
    EXPECT_EQ(call->body, WholeStream(attempt, 5));
    EXPECT_EQ(engine.Runs(attempt), 1);
  }
  for (const request_seen& request : engine.Requests()) {
    EXPECT_FALSE(request.is_repeated) << request.attempt;
  }
  EXPECT_LE(engine.Connections(), 3U);  // two for calls, one more for reservations
}

}  // namespace
}  // namespace persimmon
