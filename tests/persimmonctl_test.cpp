// link: persimmon_ctl_parts
// Guards against operators who overwrite the changes of others unknowingly, writes that are misreported after a lost
// reply, and a wait that ends before every process has the revision. Runs the real programs on loopback.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "core/log.h"
#include "net/channel.h"
#include "net/http.h"
#include "support/processes.h"

namespace persimmon {
namespace {

using json = nlohmann::json;
using support::child_process;
using support::FreePort;
using support::LoopbackHostPort;
using support::program_result;
using support::WaitForProgram;

constexpr const char* kSecret = "test-secret";

// Imitates a process that listens for channels and reports a revision. Runs on its own thread.
class listening_process {
 public:
  listening_process(std::string program, std::string name, revision_number revision)
      : port_(FreePort()), revision_(revision) {
    channel_handlers handlers;
    handlers.make_hello = [this, program, name] {
      hello own;
      own.program = program;
      own.name = name;
      own.incarnation = 4;
      own.secret = kSecret;
      own.revision = revision_;
      return own;
    };
    handlers.make_heartbeat = [this] {
      heartbeat next_heartbeat;
      next_heartbeat.revision = revision_;
      return next_heartbeat;
    };
    handlers.on_open = [](const channel_ptr&) {};
    handlers.on_message = [](const channel_ptr&, const message&) {};
    listener_ = std::make_unique<channel_listener>(context_, host_port{"127.0.0.1", static_cast<std::uint16_t>(port_)},
                                                   channel_settings(), handlers);
    if (!listener_->Start()) {
      AbortProgram("Cannot start the listener of a test process.");
    }
    thread_ = std::thread([this] { context_.run(); });
  }

  ~listening_process() {
    asio::post(context_, [this] {
      listener_->Stop();
      context_.stop();
    });
    thread_.join();
  }

  int Port() const { return port_; }
  void SetRevision(revision_number revision) { revision_ = revision; }

 private:
  int port_;
  std::atomic<revision_number> revision_;
  asio::io_context context_{1};
  std::unique_ptr<channel_listener> listener_;
  std::thread thread_;
};

class persimmonctl_test : public testing::Test {
 protected:
  persimmonctl_test()
      : port_(FreePort()),
        platform_("fake-platform", {"--listen", LoopbackHostPort(port_)}),
        folder_(std::filesystem::temp_directory_path() / fmt::format("persimmonctl-test-{}", getpid())) {
    SetLogLevel(log_level::kError);
    std::filesystem::create_directories(folder_);
  }

  ~persimmonctl_test() override { std::filesystem::remove_all(folder_); }

  void SetUp() override { ASSERT_TRUE(platform_.WaitForPort(port_)) << platform_.Err(); }

  std::vector<std::string> Arguments(std::vector<std::string> words) const {
    words.insert(words.end(), {"--platform", LoopbackHostPort(port_), "--secret", kSecret});
    return words;
  }

  program_result Ctl(const std::vector<std::string>& words) const {
    return support::RunProgram("persimmonctl", Arguments(words));
  }

  std::string WriteFile(const std::string& name, const std::string& text) const {
    const auto path = folder_ / name;
    std::ofstream(path) << text;
    return path.string();
  }

  // Sends a request to the platform and returns the response body.
  std::string Fetch(const std::string& method, const std::string& target, const std::string& body) const {
    asio::io_context context;
    http_client client(context, http_client_limits());
    std::string answer;
    const auto work = [&]() -> task<> {
      http_request request;
      request.method = method;
      request.target = target;
      request.body = body;
      const host_port address{"127.0.0.1", static_cast<std::uint16_t>(port_)};
      const auto response = co_await client.Fetch(address, request);
      answer = response ? response.value().body : response.error().message;
    };
    asio::co_spawn(context, work(), asio::detached);
    context.run();
    return answer;
  }

  void SetFaults(const std::string& body) const { ASSERT_EQ(Fetch("POST", "/faults", body), "{}"); }

  void RegisterRouter(const std::string& name, int port, const std::string& state = "live") const {
    const json body = {{"role", "router"}, {"address", LoopbackHostPort(port)}, {"zone", "sofia-a"}, {"state", state}};
    Fetch("PUT", "/vms/" + name, body.dump());
  }

  int port_;
  child_process platform_;
  std::filesystem::path folder_;
};

std::string Pool(int queue_limit, int version = 0) {
  json value = {{"kind", "pool"}, {"name", "p"}, {"schema", 2}, {"queue_limit", queue_limit}};
  if (version != 0) {
    value["version"] = version;
  }
  return value.dump();
}

// ---------------------------------------------------------------------------------------------------------------------
// records
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(persimmonctl_test, PutGetListDelete_OfOneRecord_RaiseTheRevisionOncePerWrite) {
  const auto file = WriteFile("p.json", Pool(10));
  const auto put = Ctl({"put", file});
  EXPECT_EQ(put.exit_code, 0) << put.err;
  EXPECT_EQ(put.out, "revision 1: pool/p\n");
  EXPECT_EQ(Ctl({"put", file}).out, "revision 1: nothing to change\n");
  EXPECT_EQ(json::parse(Ctl({"get", "pool/p"}).out)["version"], 1);
  EXPECT_EQ(Ctl({"list"}).out, "KIND  NAME  SCHEMA  VERSION\npool  p     2       1\nrevision 1, 1 record(s)\n");
  const auto changed = WriteFile("changed.json", Pool(11));
  const auto diff = Ctl({"diff", changed});
  EXPECT_EQ(diff.exit_code, 1);
  EXPECT_EQ(diff.out, "pool/p: queue_limit: 10 -> 11\n");
  EXPECT_EQ(Ctl({"diff", file}).exit_code, 0);
  EXPECT_EQ(Ctl({"delete", "pool/p"}).out, "revision 2: pool/p\n");
  EXPECT_EQ(Ctl({"get", "pool/p"}).exit_code, 4);
}

TEST_F(persimmonctl_test, Put_ByTwoOperatorsAtOneMoment_OneSucceedsAndOneSeesTheDifference) {
  ASSERT_EQ(Ctl({"put", WriteFile("p.json", Pool(1))}).exit_code, 0);
  const auto left = WriteFile("left.json", Pool(100, 1));
  json right_record = {{"kind", "pool"}, {"name", "p"}, {"schema", 1}, {"version", 1}, {"queue_limit", 200}};
  const auto right = WriteFile("right.json", right_record.dump());
  child_process first("persimmonctl", Arguments({"put", left}));
  child_process second("persimmonctl", Arguments({"put", right}));
  const auto first_result = WaitForProgram(first);
  const auto second_result = WaitForProgram(second);
  EXPECT_EQ(std::min(first_result.exit_code, second_result.exit_code), 0) << first_result.err << second_result.err;
  EXPECT_EQ(std::max(first_result.exit_code, second_result.exit_code), 3) << first_result.err << second_result.err;
  const bool first_won = first_result.exit_code == 0;
  const std::string& shown = first_won ? second_result.err : first_result.err;
  EXPECT_NE(shown.find(first_won ? "queue_limit: 100 -> 200" : "queue_limit: 200 -> 100"), std::string::npos) << shown;
  EXPECT_EQ(json::parse(Ctl({"get", "pool/p"}).out)["queue_limit"], first_won ? 100 : 200);
  EXPECT_NE(Ctl({"list"}).out.find("revision 2, 1 record(s)"), std::string::npos);
}

TEST_F(persimmonctl_test, Put_WhenTheReplyIsLost_SucceedsExactlyOnce) {
  SetFaults(R"({"lose_replies":1})");
  const auto put = Ctl({"put", WriteFile("p.json", Pool(10))});
  EXPECT_EQ(put.exit_code, 0) << put.err;
  EXPECT_EQ(put.out, "revision 1: pool/p\n");
  EXPECT_EQ(json::parse(Fetch("GET", "/counters", ""))["lost_replies"], 1);
  EXPECT_EQ(Ctl({"put", WriteFile("p.json", Pool(10))}).out, "revision 1: nothing to change\n");
}

TEST_F(persimmonctl_test, Put_OfBadFiles_ReportsAllFindingsAndWritesNothing) {
  const auto good = WriteFile("good.json", Pool(10));
  const auto bad = WriteFile(
      "bad.json", R"([{"kind":"pool","name":"q","schema":2,"type":"x","queue_limit":0},{"kind":"modell","name":"m"}])");
  const auto broken = WriteFile("broken.json", "{");
  const auto put = Ctl({"put", good, bad, broken});
  EXPECT_EQ(put.exit_code, 2);
  for (const std::string text : {"bad.json: record pool/q: type: ", "bad.json: record pool/q: queue_limit: ",
                                 "bad.json: record modell/m: kind: ", "bad.json: record modell/m: schema: ",
                                 "broken.json: not valid JSON", "5 finding(s); nothing was written"}) {
    EXPECT_NE(put.err.find(text), std::string::npos) << text << "\n" << put.err;
  }
  EXPECT_EQ(Ctl({"list"}).out, "KIND  NAME  SCHEMA  VERSION\nrevision 0, 0 record(s)\n");
}

TEST_F(persimmonctl_test, Put_BySchema1OverSchema2_KeepsUnknownFields) {
  json stored = json::parse(Pool(10));
  stored["future"] = {{"a", 1}};
  stored["targets"] = {{"first_token_ms", 700}, {"future_percentile", 95}};
  ASSERT_EQ(Ctl({"put", WriteFile("new.json", stored.dump())}).exit_code, 0);
  const json old = {{"kind", "pool"}, {"name", "p"}, {"schema", 1}, {"queue_limit", 12}, {"first_token_ms", 800}};
  ASSERT_EQ(Ctl({"put", WriteFile("old.json", old.dump())}).exit_code, 0);
  const json now = json::parse(Ctl({"get", "pool/p"}).out);
  EXPECT_EQ(now["future"], stored["future"]);
  EXPECT_EQ(now["targets"], json({{"future_percentile", 95}}));
  EXPECT_EQ(now["first_token_ms"], 800);
}

TEST_F(persimmonctl_test, Put_InAnOutage_ReportsThatNothingWasWritten) {
  SetFaults(R"({"outage":true})");
  const auto put = Ctl({"put", WriteFile("p.json", Pool(10))});
  EXPECT_EQ(put.exit_code, 5);
  EXPECT_NE(put.err.find("nothing was written"), std::string::npos) << put.err;
}

TEST_F(persimmonctl_test, CommandLine_WhenWrong_IsRefusedWithExitCode2) {
  EXPECT_EQ(Ctl({}).exit_code, 2);
  EXPECT_EQ(Ctl({"put"}).exit_code, 2);
  EXPECT_EQ(Ctl({"fly"}).exit_code, 2);
  EXPECT_EQ(Ctl({"wait", "soon"}).exit_code, 2);
  EXPECT_EQ(Ctl({"explain", "no_such_code"}).exit_code, 4);
  EXPECT_NE(Ctl({"explain", "over_capacity"}).out.find("429"), std::string::npos);
}

// ---------------------------------------------------------------------------------------------------------------------
// processes
// ---------------------------------------------------------------------------------------------------------------------

TEST_F(persimmonctl_test, Wait_WhileOneProcessLags_EndsOnlyWhenItHasTheRevision) {
  SetFaults(R"({"vm_lag_ms":0})");
  listening_process router("router", "r1", 2);
  listening_process agent("agent", "e1", 1);
  RegisterRouter("r1", router.Port());
  const json endpoint = {{"kind", "endpoint"},
                         {"name", "e1"},
                         {"schema", 1},
                         {"pool", "p"},
                         {"role", "decode"},
                         {"zone", "sofia-b"},
                         {"address", LoopbackHostPort(agent.Port())}};
  ASSERT_EQ(Ctl({"put", WriteFile("p.json", Pool(10)), WriteFile("e.json", endpoint.dump())}).exit_code, 0);
  ASSERT_EQ(Ctl({"drain", "e1"}).out, "revision 2: endpoint/e1\n");
  const auto early = Ctl({"wait", "2", "--timeout_ms", "700"});
  EXPECT_EQ(early.exit_code, 1) << early.out << early.err;
  child_process waiting("persimmonctl", Arguments({"wait", "2"}));
  EXPECT_FALSE(waiting.WaitForExit(milliseconds(300)));
  agent.SetRevision(2);
  const auto done = WaitForProgram(waiting);
  EXPECT_EQ(done.exit_code, 0) << done.out << done.err;
  const json status = json::parse(Ctl({"status", "--json"}).out);
  EXPECT_EQ(status["revision"], 2);
  ASSERT_EQ(status["processes"].size(), 2U);
  EXPECT_EQ(status["processes"][0]["name"], "r1");
  EXPECT_EQ(status["processes"][1]["name"], "e1");
  EXPECT_EQ(status["processes"][1]["revision"], 2);
  EXPECT_EQ(status["processes"][1]["incarnation"], 4);
}

TEST_F(persimmonctl_test, Wait_WhenALiveRouterCannotBeReached_DoesNotSucceed) {
  SetFaults(R"({"vm_lag_ms":0})");
  listening_process router("router", "r1", 5);
  RegisterRouter("r1", router.Port());
  RegisterRouter("r2", FreePort());
  const auto blocked = Ctl({"wait", "1", "--timeout_ms", "700"});
  EXPECT_EQ(blocked.exit_code, 1) << blocked.out << blocked.err;
  RegisterRouter("r2", FreePort(), "gone");
  const auto done = Ctl({"wait", "1"});
  EXPECT_EQ(done.exit_code, 0) << done.out << done.err;
}

}  // namespace
}  // namespace persimmon
