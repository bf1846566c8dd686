// link: persimmon_platform
// Compares the complete message exchange of a request with a golden file: the messages that the request causes, in
// order for each endpoint, and the response. A protocol change thus shows as a changed golden file in the same commit.
// PERSIMMON_UPDATE_GOLDEN=1 rewrites the files.
#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include "support/deployment.h"

namespace persimmon::support {
namespace {

class session_test : public testing::Test {
 protected:
  session_test() {
    deployment_.AddEndpoint("prefill-1", "prefill");
    deployment_.AddEndpoint("decode-1", "decode", {"--decode_base_ms", "20"});
    deployment_.AddEndpoint("service-1", "service");
    deployment_.AddRouter("router-1", "", {"--log_level", "debug"});
    deployment_.WriteRecords();
  }

  int Port() const { return deployment_.routers[0]->http_port; }

  // Messages of the session, grouped by endpoint. Consecutive equal messages are written once, because their number
  // depends on the load of the host. Tokens after a cancel are omitted, because their position and number vary.
  std::string ReadMessages() const {
    std::map<std::string, std::string> by_endpoint;
    std::map<std::string, std::string> last;
    std::set<std::string> cancelled;
    std::istringstream log(deployment_.routers[0]->process->Out());
    const std::regex pattern(
        R"re("part":"router\.endpoints".*"message":"(Sent|Received) (\w+) (?:to|from) (\S+)\.")re");
    for (std::string line; std::getline(log, line);) {
      std::smatch found;
      if (!std::regex_search(line, found, pattern)) {
        continue;
      }
      const std::string text = (found[1] == "Sent" ? "  > " : "  < ") + found[2].str();
      if (found[2] == "cancel") {
        cancelled.insert(found[3]);
      }
      if (found[2] == "tokens" && cancelled.contains(found[3])) {
        continue;
      }
      if (std::exchange(last[found[3]], text) != text) {
        by_endpoint[found[3]] += text + "\n";
      }
    }
    std::string session;
    for (const auto& [endpoint, messages] : by_endpoint) {
      session += endpoint + "\n" + messages;
    }
    return session;
  }

  static std::string FormatResponse(const http_response& response) {
    std::string text = "caller\n  status " + std::to_string(response.status) + "\n";
    for (const header_field& field : response.headers) {
      // Other headers, such as dates, lengths and retry times, vary.
      if (field.name == "Content-Type" || field.name == "X-Request-Id") {
        text += "  " + field.name + ": " + field.value + "\n";
      }
    }
    return text + "  " + std::regex_replace(response.body, std::regex("\n"), "\n  ") + "\n";
  }

  // Waits until the router has logged the last message of the session, then compares with the golden file.
  void CompareWithGoldenFile(const std::string& name, const std::string& caller, const std::string& last_message) {
    const std::string path = PERSIMMON_TEST_DIR "/golden/" + name + ".txt";
    ASSERT_TRUE(WaitUntil([&] {
      return last_message.empty() || ReadMessages().find(last_message) != std::string::npos;
    })) << deployment_.routers[0]->process->Out();
    if (std::getenv("PERSIMMON_UPDATE_GOLDEN") != nullptr) {
      std::ofstream(path) << caller + ReadMessages();
    }
    std::ostringstream expected;
    expected << std::ifstream(path).rdbuf();
    WaitUntil([&] { return caller + ReadMessages() == expected.str(); }, milliseconds(2'000));  // log lines may be late
    EXPECT_EQ(caller + ReadMessages(), expected.str());
  }

  deployment deployment_;
};

TEST_F(session_test, Completion_WhenStreamed_FollowsTheGoldenFile) {
  const http_response response =
      Post(Port(), "/v1/completions", R"({"model":"test-model","prompt":"one two three","max_tokens":3,"stream":true})",
           WithKey({{"X-Request-Id", "session-1"}}));
  CompareWithGoldenFile("completion_streamed", FormatResponse(response), "< tokens");
}

TEST_F(session_test, ChatCompletion_WhenNotStreamed_FollowsTheGoldenFile) {
  const http_response response =
      Post(Port(), "/v1/chat/completions",
           R"({"model":"test-model","messages":[{"role":"user","content":"one two three"}],"max_tokens":3})",
           WithKey({{"X-Request-Id", "session-2"}}));
  CompareWithGoldenFile("chat_completion", FormatResponse(response), "< tokens");
}

TEST_F(session_test, Completion_WhenModelIsUnknown_FollowsTheGoldenFile) {
  const http_response response =
      Post(Port(), "/v1/completions", R"({"model":"absent","prompt":"one"})", WithKey({{"X-Request-Id", "session-3"}}));
  CompareWithGoldenFile("unknown_model", FormatResponse(response), "");
}

TEST_F(session_test, Completion_WhenCallerDisconnects_FollowsTheGoldenFile) {
  Complete(Port(), "one two three", 200, [](const streamed_answer&) { return false; });
  CompareWithGoldenFile("caller_gone", "", "< attempt_status");
}

TEST_F(session_test, ServiceCall_WhenRepeatedWithItsKey_FollowsTheGoldenFile) {
  const header_list headers = WithKey({{"X-Request-Id", "session-5"}, {"Idempotency-Key", "quiz-1"}});
  const http_response first = Post(Port(), "/app/quiz", "answer B", headers);
  const http_response second = Post(Port(), "/app/quiz", "answer B", headers);
  CompareWithGoldenFile("keyed_call_repeated", FormatResponse(first) + FormatResponse(second), "< attempt_status");
}

}  // namespace
}  // namespace persimmon::support
