// link: persimmon_direct persimmon_fake_parts
// What callers see of streams whose endpoints repeat, omit or replace events.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>

#include "support/router_harness.h"
#include "support/scripted_engine.h"

namespace persimmon {
namespace {

using support::caller_exchange_ptr;
using support::router_harness;
using support::scripted_engine;
using support::scripted_run;

std::string Event(std::uint64_t id) { return fmt::format("id: {}\ndata: piece {}\n\n", id, id); }

// Events first, first + step, ... up to last.
std::vector<std::string> Events(std::uint64_t first, std::uint64_t last, std::uint64_t step = 1) {
  std::vector<std::string> events;
  for (std::uint64_t id = first; id <= last; id += step) {
    events.push_back(Event(id));
  }
  return events;
}

std::string Text(const std::vector<std::string>& events) {
  std::string text;
  for (const std::string& event : events) {
    text += event;
  }
  return text;
}

const char* const kOtherHead = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

// Three endpoints of a service; the n-th call of a test gets the n-th of the runs, at whichever endpoint it arrives.
class stream_continuity_test : public testing::Test {
 protected:
  // With `path` "/digest/1" the route is resumable and an event has 10 tokens.
  static constexpr const char* kResumable = "/digest/1";
  static constexpr const char* kFinal = "/chat/1";
  static constexpr const char* kPlain = "/feed/1";

  ~stream_continuity_test() override {
    for (const auto& engine : engines_) {
      engine->Stop();
    }
    harness_.RunFor(milliseconds(2));
  }

  void SetUp() override {
    harness_.WriteDesiredState({.timeout_ms = 14'000, .attempts = 3});
    for (const char* name : {"dec-1", "dec-2", "dec-3"}) {
      AddEngine(name, "llm", "decode");
    }
    AddEngine("app-1", "app", "");
    harness_.StartWithoutWaiting();
    ASSERT_TRUE(harness_.RunUntil([this] {
      const auto& directory = harness_.Directory();
      return directory.IsInForce() && directory.Endpoints().Size() == engines_.size();
    }));
  }

  // Sends a request for 120 tokens, which are 12 events, or for `tokens`.
  caller_exchange_ptr Call(const char* path, std::vector<scripted_run> runs, const std::string& resume_after = "",
                           std::uint32_t tokens = 120) {
    runs_ = std::move(runs);
    next_run_ = 0;
    header_list headers;
    if (!resume_after.empty()) {
      headers = {{"Resumes", "unknown"}, {"Last-Event-Id", resume_after}};
    }
    auto call = harness_.SendModel(path, fmt::format("a{}", ++attempts_), 1'000, tokens, milliseconds(14'000), headers);
    EXPECT_TRUE(harness_.Finish(call));
    return call;
  }

  // Value of the header in the n-th call since the start of the test.
  std::string LastEventId(std::size_t run) const { return run < resumes_.size() ? resumes_[run] : "none"; }

  static void ExpectWhole(const caller_exchange_ptr& call, const std::string& body) {
    EXPECT_EQ(call->Status(), 200);
    EXPECT_FALSE(call->failure) << call->failure->message;
    EXPECT_EQ(call->body, body);
  }

  // Expects an answer that shows that it is not whole.
  static void ExpectBroken(const caller_exchange_ptr& call, const std::string& body) {
    EXPECT_TRUE(call->failure || call->Status() != 200) << call->body;
    if (call->Status() == 200) {
      EXPECT_EQ(call->body, body);
    } else {
      EXPECT_EQ(call->body.find("piece"), std::string::npos) << call->body;
    }
  }

  router_harness harness_;
  std::vector<std::unique_ptr<scripted_engine>> engines_;
  std::vector<std::string> resumes_;  // Last-Event-Id of each call

 private:
  void AddEngine(const char* name, const char* service, const char* stage) {
    engines_.push_back(std::make_unique<scripted_engine>(
        harness_.Kernel().Context(), name, service, stage, [this](const http_request& request) {
          resumes_.emplace_back(FindHeader(request.headers, "Last-Event-Id"));
          return next_run_ < runs_.size() ? runs_[next_run_++] : scripted_run{{}, true};
        }));
    engines_.back()->Register(harness_.Platform().Tables());
  }

  std::vector<scripted_run> runs_;
  std::size_t next_run_ = 0;
  int attempts_ = 0;
};

// Row numbers are those of issue 45.

// Row 4: the next engine ignored Last-Event-Id.
TEST_F(stream_continuity_test, Continuation_ThatBeginsAgain_IsNotPassedOn) {
  const scripted_run cut{Events(1, 5), true};
  const scripted_run again{Events(1, 12)};
  ExpectBroken(Call(kResumable, {cut, again, again}), Text(Events(1, 5)));
  ExpectWhole(Call(kResumable, {cut, again, {Events(6, 12)}}), Text(Events(1, 12)));
  EXPECT_EQ(resumes_.back(), "5");
}

// Row 5: the next engine began one event too late.
TEST_F(stream_continuity_test, Continuation_ThatOmitsAnEvent_IsNotPassedOn) {
  const scripted_run cut{Events(1, 5), true};
  const scripted_run late{Events(7, 12)};
  ExpectBroken(Call(kResumable, {cut, late, late}), Text(Events(1, 5)));
  ExpectWhole(Call(kResumable, {cut, late, {Events(6, 12)}}), Text(Events(1, 12)));
}

// Row 6: an event without an id, and the head of another answer.
TEST_F(stream_continuity_test, Continuation_ThatIsNoEventOfTheStream_IsNotPassedOn) {
  const scripted_run cut{Events(1, 5), true};
  for (const std::string text : {"event: error\ndata: lost\n\n", kOtherHead, "{\"error\": \"lost\"}\n\n"}) {
    ExpectBroken(Call(kResumable, {cut, {{text}}, {{text}}}), Text(Events(1, 5)));
    ExpectWhole(Call(kResumable, {cut, {{text}}, {Events(6, 12)}}), Text(Events(1, 12)));
  }
}

// Row 6 with another content type.
TEST_F(stream_continuity_test, Continuation_OfAnotherContentType_IsNotPassedOn) {
  const scripted_run cut{Events(1, 5), true};
  const scripted_run text{Events(6, 12), false, "text/plain"};
  ExpectBroken(Call(kResumable, {cut, text, text}), Text(Events(1, 5)));
  ExpectWhole(Call(kResumable, {cut, text, {Events(6, 12)}}), Text(Events(1, 12)));
}

// Row 7: the next engine had nothing to add.
TEST_F(stream_continuity_test, Continuation_WithoutAnyEvent_IsNoEnd) {
  const scripted_run cut{Events(1, 5), true};
  ExpectBroken(Call(kResumable, {cut, {}, {}}), Text(Events(1, 5)));
  ExpectWhole(Call(kResumable, {cut, {}, {Events(6, 12)}}), Text(Events(1, 12)));
}

}  // namespace
}  // namespace persimmon
