// However a stream is split into pieces, each of its events is returned complete and exactly once.
#include "persimmon/event_stream.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace persimmon {
namespace {

std::string MakeEvents(int count, const std::string& line_end) {
  std::string text;
  for (int id = 1; id <= count; ++id) {
    text += "id: " + std::to_string(id) + line_end + "data: piece" + line_end + line_end;
  }
  return text;
}

// Network reads end anywhere, also between the two line ends that terminate an event.
RC_GTEST_PROP(event_splitter_test, Add_ForAnyPieces_YieldsTheSameWholeEvents, ()) {
  const std::string line_end = *rc::gen::element<std::string>("\n", "\r\n");
  const std::string text = MakeEvents(4, line_end) + "id: 5" + line_end + "data: hal";
  event_splitter events;
  std::string complete;
  for (std::size_t begin = 0; begin < text.size();) {
    const auto count = *rc::gen::inRange<std::size_t>(1, 20);
    complete += events.Add(std::string_view(text).substr(begin, count));
    begin += count;
  }
  RC_ASSERT(complete == MakeEvents(4, line_end));
  RC_ASSERT(events.LastId() == "4");
  RC_ASSERT(events.EventCount() == 4U);
  RC_ASSERT(complete + events.Incomplete() == text);
}

TEST(event_splitter_test, DropIncomplete_AfterALostEndpoint_DiscardsOnlyTheIncompleteEvent) {
  event_splitter events;
  events.Add("id: 1\ndata: a\n\nid: 2\nda");
  events.DropIncomplete();
  EXPECT_EQ(events.Add("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(events.LastId(), "2");
}

// Guards against taking a cut event for a whole stream, and line breaks after the last event for a cut one.
TEST(event_splitter_test, IsInsideEvent_AfterEachByteOfAStream_IsFalseOnlyBetweenEvents) {
  for (const std::string line_end : {"\n", "\r\n"}) {
    const std::string event = MakeEvents(1, line_end);
    event_splitter events;
    for (std::size_t count = 1; count <= event.size(); ++count) {
      events.Add(event.substr(count - 1, 1));
      EXPECT_EQ(events.IsInsideEvent(), count < event.size()) << count;
    }
    events.Add(line_end);
    EXPECT_FALSE(events.IsInsideEvent());
  }
}

// Guards against taking a body without any event for a whole stream, also where it continues one.
TEST(event_splitter_test, FindBrokenEnd_WithoutAnyEvent_AllowsItOnlyWhenTheOutputIsExhausted) {
  event_splitter events;
  EXPECT_NE(events.FindBrokenEnd(false), nullptr);
  EXPECT_EQ(events.FindBrokenEnd(true), nullptr);
  events.Add("data: a\n");
  EXPECT_NE(events.FindBrokenEnd(true), nullptr);
  events.Add("\n");
  EXPECT_EQ(events.FindBrokenEnd(false), nullptr);
  events.BeginRun({});
  events.Add(": comment\n\n");
  EXPECT_NE(events.FindBrokenEnd(false), nullptr);
  EXPECT_EQ(events.FindBrokenEnd(true), nullptr);
}

// Guards against a log that cannot tell a repeated or missing event.
TEST(event_splitter_test, Fault_AcrossRuns_IsStatedAfterARepeatedOrMissingEvent) {
  for (const auto& [second_run, follows] :
       {std::pair("id: 3\ndata: c\n\n", true), std::pair("id: 1\ndata: a\n\n", false),
        std::pair("id: 4\ndata: d\n\n", false)}) {
    event_splitter events;
    events.BeginRun({});
    events.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    EXPECT_EQ(events.RunFirstId(), "1");
    EXPECT_EQ(events.Sequence().Fault(), nullptr);
    events.BeginRun({});
    events.Add(second_run);
    EXPECT_EQ(events.Sequence().Fault() == nullptr, follows) << second_run;
  }
}

// Guards against passing on text that is no event, or two events whose separation was lost.
TEST(event_splitter_test, Add_ForALineThatIsNoField_ReturnsOnlyTheEventsBefore) {
  for (const std::string text : {"HTTP/1.1 200 OK\r\n", "Content-Length: 3\n", "id: 3\nid: 4\n", "{\"a\": 1}\n",
                                 "event: a\nevent: b\n", "other: 2\n", " data: a\n"}) {
    event_splitter events("extension");
    EXPECT_EQ(events.Add("extension: 1\nid: 1\ndata: a\n\n" + text), "extension: 1\nid: 1\ndata: a\n\n");
    EXPECT_NE(events.FindFault(), nullptr) << text;
    EXPECT_EQ(events.Add("id: 2\ndata: b\n\n"), "");
    events.BeginRun({});
    EXPECT_EQ(events.Add("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(events.FindFault(), nullptr);
  }
}

TEST(event_splitter_test, LastId_WithoutIds_StaysEmpty) {
  event_splitter events;
  events.Add("data: a\n\n");
  EXPECT_EQ(events.LastId(), "");
}

}  // namespace
}  // namespace persimmon
