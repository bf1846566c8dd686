// link: persimmon_platform persimmon_fake_parts
// Limits of requests per second that an engine or a service behind an agent states. Runs the real programs; the test
// acts as the routers.
#include <algorithm>
#include <set>

#include "support/agent_harness.h"

namespace persimmon {
namespace {

using support::agent_harness;
using support::json;
using support::simulated_router;

constexpr double kLimit = 5;  // requests per second

class agent_limit_test : public agent_harness {
 protected:
  void StateLimit(const std::string& limit) { Post(engine_port_, "/faults", {{"request_limit", limit}}); }

  // Times of requests at the engine or service, in seconds.
  std::vector<double> Arrivals() {
    std::vector<double> arrivals;
    const json body = FetchJson(engine_port_, "/arrivals");
    for (const json& at : body["arrivals_ms"]) {
      arrivals.push_back(at.get<double>() / 1e3);
    }
    return arrivals;
  }

  static double NowS() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
  }

  // Any 4 s that begin at `from` or later have no more than one and a half times the limit and 5 requests, and the time
  // until `until` has most of the limit.
  void ExpectLimitKeptAndUsed(double from, double until, double wanted_share) {
    std::vector<double> arrivals = Arrivals();
    std::erase_if(arrivals, [&](double at) { return at < from || at > until; });
    for (auto begin = arrivals.begin(); begin != arrivals.end(); ++begin) {
      const auto count = std::lower_bound(begin, arrivals.end(), *begin + 4) - begin;
      ASSERT_LE(static_cast<double>(count), 1.5 * kLimit * 4 + 5) << AgentLog();
    }
    EXPECT_GE(static_cast<double>(arrivals.size()), wanted_share * kLimit * (until - from));
  }

  // Calls `send` with a new attempt id at a constant rate.
  template <class function>
  void SendFor(double seconds, double per_second, function send) {
    const double end = NowS() + seconds;
    for (double due = NowS(); due < end; due += 1 / per_second) {
      send("a" + std::to_string(++attempts_));
      RunUntil([due] { return NowS() >= due; });
    }
  }

  call_service MakeCall(const std::string& attempt) {
    call_service call;
    call.attempt = attempt_id{attempt};
    call.request = request_id{"request-" + attempt};
    call.incarnation = Router().peer->incarnation;
    call.timeout_ms = 3'000;
    call.method = "POST";
    call.target = "/app/quiz";
    call.body = attempt;
    return call;
  }

  int attempts_ = 0;
  std::set<std::string> started_;
};

// Calls of all routers go through the agent, which must keep the limit for them together.
TEST_F(agent_limit_test, ServiceThatStatesALimit_WithTwoRouters_GetsNoMoreAndWhatItTakes) {
  StartServiceEndpoint();
  simulated_router& other = ConnectRouter("router-b", 2);
  StateLimit("5");
  const auto send = [&](const std::string& attempt) {
    (attempts_ % 2 == 0 ? Router() : other).Send(MakeCall(attempt));
  };
  SendFor(0.5, 40, send);
  const double stated = NowS();
  SendFor(5, 40, send);
  const double end = NowS();
  ExpectLimitKeptAndUsed(stated, end, 0.9);
  std::size_t answered = 0;
  std::size_t refused = 0;
  RunUntil([&] {
    answered = refused = 0;
    for (int i = 1; i <= attempts_; ++i) {
      const std::string attempt = "a" + std::to_string(i);
      const auto* answer = (i % 2 == 0 ? Router() : other).Last<service_answer>(attempt);
      answered += answer != nullptr && answer->outcome == outcome_kind::kAnswered ? 1 : 0;
      refused += answer != nullptr && answer->outcome == outcome_kind::kNotRun ? 1 : 0;
    }
    return answered + refused == static_cast<std::size_t>(attempts_);
  });
  EXPECT_EQ(answered + refused, static_cast<std::size_t>(attempts_)) << "each call is answered or refused";
  EXPECT_EQ(answered, Arrivals().size()) << "a refused call has not run";
  StateLimit("");
  SendFor(2, 40, send);
  const double ended = NowS();
  SendFor(1, 40, send);
  RunUntil([ended] { return NowS() > ended + 1.5; });
  const std::vector<double> arrivals = Arrivals();
  EXPECT_GE(std::count_if(arrivals.begin(), arrivals.end(), [ended](double at) { return at > ended; }), 30);
}

// The agent's own calls, such as reading the state of the engine, are requests too.
TEST_F(agent_limit_test, EngineThatStatesALimit_WithManyPrefills_GetsNoMoreAndWhatItTakes) {
  StartModelEndpoint();
  StateLimit("5");
  const auto send = [&](const std::string& attempt) {
    reserve_slot request;
    request.attempt = attempt_id{attempt};
    request.role = slot_role::kPrefill;
    request.hold_ms = 2'000;
    request.latest_start_ms = 1'000;
    request.prompt_tokens = 20;
    Router().Send(request);
    for (int i = 1; i <= attempts_; ++i) {
      const std::string granted = "a" + std::to_string(i);
      if (Router().Last<slot_granted>(granted) != nullptr && started_.insert(granted).second) {
        start_prefill start;
        start.attempt = attempt_id{granted};
        start.request = request_id{"request-" + granted};
        start.model = "model-a";
        start.prompt = "a short prompt";
        Router().Send(start);
      }
    }
  };
  SendFor(0.6, 40, send);
  const double stated = NowS();
  SendFor(5, 40, send);
  ExpectLimitKeptAndUsed(stated, NowS(), 0.8);
}

}  // namespace
}  // namespace persimmon
