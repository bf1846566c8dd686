// link: persimmon_core
// Structured log: JSON output, rate limit, and writes that never block.
#include "core/event_log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>
#include <sstream>

namespace persimmon {
namespace {

class event_log_test : public testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(pipe(pipe_.data()), 0); }
  void TearDown() override {
    close(pipe_[0]);
    close(pipe_[1]);
  }

  std::string ReadAll() const {
    std::string text;
    std::array<char, 65536> bytes{};
    fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
    for (ssize_t count = 0; (count = read(pipe_[0], bytes.data(), bytes.size())) > 0;) {
      text.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  std::array<int, 2> pipe_{};
};

TEST_F(event_log_test, Line_WithAnyText_IsOneJsonObject) {
  event_log log({}, pipe_[1]);
  log.Line("router.test", "refused").Request("a\"1\n\xff").Add("waited_ms", 12).Add("ready", true).Add("share", 0.5);
  log.Flush();
  const auto line = nlohmann::json::parse(ReadAll(), nullptr, false);
  ASSERT_TRUE(line.is_object());
  EXPECT_EQ(line["part"], "router.test");
  EXPECT_EQ(line["event"], "refused");
  EXPECT_EQ(line["waited_ms"], 12);
  EXPECT_EQ(line["ready"], true);
}

// Callers choose paths and ids as long as a head may be.
TEST_F(event_log_test, Line_WithALongText_HoldsItsBeginningAndItsLength) {
  event_log log({}, pipe_[1]);
  log.Line("router.test", "refused").Request(std::string(100'000, 'a')).Add("target", std::string(1'024, 'b'));
  log.Flush();
  const std::string text = ReadAll();
  EXPECT_LT(text.size(), 2'500U);
  const auto line = nlohmann::json::parse(text, nullptr, false);
  ASSERT_TRUE(line.is_object());
  EXPECT_EQ(line["request"], std::string(1'024, 'a') + "... (100000 bytes)");
  EXPECT_EQ(line["target"], std::string(1'024, 'b'));
}

// A burst of events must not exhaust the CPU time or memory of the process.
TEST_F(event_log_test, Flood_BeyondTheRate_IsDroppedAndCounted) {
  event_log log({.lines_per_second = 1, .burst_lines = 100}, pipe_[1]);
  for (int i = 0; i < 10'000; ++i) {
    log.Line("test", "flood");
  }
  EXPECT_LE(log.WrittenLines(), 110U);
  EXPECT_EQ(log.WrittenLines() + log.DroppedLines(), 10'000U);
}

// The process must not block if the reader of the log stalls.
TEST_F(event_log_test, Receiver_ThatDoesNotRead_NeverBlocksTheWriter) {
  event_log log({.lines_per_second = 1e9, .burst_lines = 1e9, .pending_bytes = 10'000}, pipe_[1]);
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < 50'000; ++i) {
    log.Line("test", "flood").Add("number", i);
  }
  log.Flush();
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(20));
  EXPECT_GT(log.DroppedLines(), 0U);
  ReadAll();
  log.Line("test", "after");
  log.Flush();
  std::istringstream lines(ReadAll());
  std::string line;
  std::uint64_t reported = 0;
  while (std::getline(lines, line)) {
    const auto parsed = nlohmann::json::parse(line, nullptr, false);
    reported += parsed.is_object() ? parsed.value("dropped", 0ULL) : 0;
  }
  EXPECT_EQ(reported, log.DroppedLines());
}

}  // namespace
}  // namespace persimmon
