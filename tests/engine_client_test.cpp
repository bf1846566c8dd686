// link: persimmon_agent_parts
// The agent's client of its engine, with an engine that writes an answer twice.
#include "agent/engine_client.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "net_support.h"

namespace persimmon {
namespace {

std::string MakeAnswer(int status, const std::string& body) {
  return fmt::format("HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}", status,
                     body.size(), body);
}

const char* const kState = R"({"roles":[],"models":[],"adapters":[],"fence":null,"decode_slots":1})";

class engine_client_test : public testing::Test {
 protected:
  ~engine_client_test() override { loop_.RunFor(milliseconds(5)); }

  // Starts the exchange and returns the connection on which its request arrives. `kept`: the connection before.
  std::unique_ptr<raw_connection> AwaitRequest(std::unique_ptr<raw_connection> kept, std::string_view line) {
    if (kept) {
      EXPECT_TRUE(loop_.RunUntil([&] {
        kept->Poll();
        return kept->IsClosed() || kept->Received().find(line) != std::string::npos;
      }));
    }
    if (!kept || kept->IsClosed()) {
      kept = listener_.Accept();
    }
    EXPECT_TRUE(kept && kept->AwaitText(line));
    return kept;
  }

  test_loop loop_;
  raw_listener listener_{loop_};
  engine_client client_{loop_.Context(), {"127.0.0.1", listener_.Port()}, milliseconds(1'000)};
};

// Guards against an agent that takes a second copy of another answer for the engine's consent to its command.
TEST_F(engine_client_test, CommandRefused_AfterASecondCopyOfTheState_IsRefused) {
  result<engine_state> state(error{error_code::kClosed, ""});
  bool state_read = false;
  loop_.Start(client_.ReadState(), state, state_read);
  auto engine = AwaitRequest(nullptr, "GET /v1/state");
  engine->Send(MakeAnswer(200, kState));
  ASSERT_TRUE(loop_.RunUntil([&] { return state_read; }));
  ASSERT_TRUE(state);

  result<command_reply> reply(error{error_code::kClosed, ""});
  bool replied = false;
  loop_.Start(client_.SendCommand({1, 1}, {}), reply, replied);
  auto second = AwaitRequest(std::move(engine), "POST /v1/commands");
  if (second->Received().find("GET /v1/state") != std::string::npos) {
    second->Send(MakeAnswer(200, kState));
  }
  second->Send(MakeAnswer(409, R"({"highest":{"revision":2,"incarnation":7}})"));
  ASSERT_TRUE(loop_.RunUntil([&] { return replied; }));
  ASSERT_TRUE(reply);
  EXPECT_FALSE(reply.value().accepted);
  EXPECT_EQ(reply.value().highest_token, (fencing_token{2, 7}));
}

}  // namespace
}  // namespace persimmon
