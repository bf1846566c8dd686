// link: persimmon_net
// Evidence on parts of prompts among many routers: size of the messages, and time and bytes until all know a verdict.
#include "net/part_board.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <thread>
#include <utility>

namespace persimmon {
namespace {

constexpr const char* kService = "llm";
constexpr part_id kFirst = 1;
constexpr part_id kDeadly = 2;

// Routers that exchange messages, of which some are lost. Messages arrive before the next round.
class part_board_test : public testing::Test {
 protected:
  void AddBoards(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      boards_.push_back(std::make_unique<part_board>(
          metrics_, [this, i](const message& value, std::size_t receivers) { SendToSome(i, value, receivers); }));
    }
    sent_bytes_.resize(count);
  }

  void SendToSome(std::size_t sender, const message& value, std::size_t receivers) {
    const std::size_t bytes = EncodeFrame(value).size();
    EXPECT_LE(bytes, kMaxDatagramBytes);
    for (std::size_t i = 0; i < receivers; ++i) {
      sent_bytes_[sender] += bytes;
      const std::size_t receiver = random_() % boards_.size();
      if (receiver != sender && random_() % 100 >= kLossPercent) {
        in_flight_.emplace_back(receiver, std::get<part_evidence_list>(value));
      }
    }
  }

  // Delivers all messages, and those that are sent because of them.
  void Deliver() {
    while (!in_flight_.empty()) {
      for (const auto& [receiver, list] : std::exchange(in_flight_, {})) {
        boards_[receiver]->Receive(list);
      }
    }
  }

  // An engine crashes under a new request with these parts at this router, after another request was answered there.
  void Crash(std::size_t router, std::vector<part_id> parts) {
    const auto sound = boards_[router]->BeginRun({kService, {99}, 0, "sound", endpoint_name{"sound"}, 0, 0});
    boards_[router]->RecordEvents(*sound, 2);
    const endpoint_name engine{"engine-" + std::to_string(++crashes_)};
    const auto run = boards_[router]->BeginRun({kService, std::move(parts), crashes_, "guilty", engine, 1, 0});
    boards_[router]->RecordCrash(engine, 1);
  }

  std::size_t RefusingBoards() const {
    return static_cast<std::size_t>(std::count_if(boards_.begin(), boards_.end(), [](const auto& board) {
      return board->RemainingRefusal(kService, {kFirst, kDeadly}).has_value();
    }));
  }

  static constexpr std::uint32_t kLossPercent = 5;
  metrics_registry metrics_;
  std::vector<std::unique_ptr<part_board>> boards_;
  std::vector<std::size_t> sent_bytes_;  // by router
  std::vector<std::pair<std::size_t, part_evidence_list>> in_flight_;
  std::mt19937 random_{20261204};
  std::uint64_t crashes_ = 0;
};

// Guards against a verdict that reaches the routers of a large deployment later than contact_ms, 3 s.
TEST_F(part_board_test, Verdict_Among370Routers_IsKnownToAllWithinThreeSeconds) {
  AddBoards(370);
  for (const std::size_t router : {0U, 100U, 200U}) {
    Crash(router, {kFirst, kDeadly});
    Deliver();
    std::this_thread::sleep_for(part_suspect_settings{}.same_moment + milliseconds(50));
  }
  const std::size_t most_at_once = *std::max_element(sent_bytes_.begin(), sent_bytes_.end());
  RecordProperty("known_at_once", static_cast<int>(RefusingBoards()));
  RecordProperty("most_bytes_at_once", static_cast<int>(most_at_once));
  std::fill(sent_bytes_.begin(), sent_bytes_.end(), 0);
  int rounds = 0;
  constexpr int kMaxRounds = 6;
  while (rounds < kMaxRounds && (rounds == 0 || RefusingBoards() < boards_.size())) {
    ++rounds;
    for (const auto& board : boards_) {
      board->Gossip();
    }
    Deliver();
  }
  EXPECT_EQ(RefusingBoards(), boards_.size()) << "after " << rounds << " rounds";
  const std::size_t most = *std::max_element(sent_bytes_.begin(), sent_bytes_.end());
  RecordProperty("rounds", rounds);
  RecordProperty("bytes_of_a_round", static_cast<int>(most / static_cast<std::size_t>(rounds)));
  // 13 KB/s for control traffic of all kinds; a round is half a second.
  EXPECT_LT(most / static_cast<std::size_t>(rounds) * 2, 13'000U / 4);
}

// Guards against messages that the datagram socket drops because of their size.
TEST_F(part_board_test, Evidence_OfManyPartsWithManyCrashes_IsSentInMessagesThatFit) {
  AddBoards(2);
  for (int i = 0; i < 12; ++i) {
    std::vector<part_id> parts;
    for (part_id part = 0; part < 32; ++part) {
      parts.push_back(UINT64_MAX - part);
    }
    Crash(0, parts);
  }
  std::size_t parts = 0;
  for (const part_evidence_list& list : boards_[0]->AllEvidence()) {
    EXPECT_LE(EncodeFrame(message(list)).size(), kMaxDatagramBytes);
    parts += list.parts.size();
  }
  EXPECT_EQ(parts, part_suspect_settings{}.max_reports);
  Deliver();
}

// Guards against a message of a faulty router that makes this one keep parts without limit.
TEST_F(part_board_test, Evidence_OfManyServices_IsKeptForALimitedNumber) {
  AddBoards(1);
  for (std::uint64_t service = 0; service < 10'000; ++service) {
    boards_[0]->Receive({service, {{service, part_evidence::kNoAnswer, {{1, 1, 0}}}}});
  }
  EXPECT_LE(boards_[0]->AllEvidence().size(), 256U);
}

}  // namespace
}  // namespace persimmon
