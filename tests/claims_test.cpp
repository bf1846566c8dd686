// Model checker for the at-most-once protocol. It guards against a call with an idempotency key that runs twice, and
// against a caller that is told not_run although its call ran.
//
// Sections
//   1. safeguards that the model can disable
//   2. model: routers, store, agents and the messages between them
//   3. exhaustive search for the shortest violation
//   4. random event orders
//   5. state machine transitions
//
// The model runs the production decision code: the claim state machine, the attempt table and the store operations that
// the state machine requests. Only the network, the store and the faults are simulated.
#include "persimmon/claims.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <sstream>
#include <unordered_map>

#include "decisions/claims_step.h"
#include "persimmon/attempts.h"

namespace persimmon {
namespace {

// ---------------------------------------------------------------------------------------------------------------------
// 1. safeguards that the model can disable
// ---------------------------------------------------------------------------------------------------------------------

const std::string kEndpoints = "AB";

struct model_safeguards : detail::all_safeguards {
  static constexpr bool kKeepTombstone = true;     // the agent rejects an attempt whose tombstone it has confirmed
  static constexpr bool kCheckHolder = true;       // the store checks who holds the claim before it replaces the row
  static constexpr bool kCheckIncarnation = true;  // the agent rejects calls for another incarnation
  static constexpr bool kRunOnce = true;           // the agent runs an attempt id once
  static endpoint_name OtherEndpoint(const endpoint_name& endpoint) {
    return endpoint_name{endpoint.value == "A" ? "B" : "A"};
  }
};
struct without_tombstone : model_safeguards {
  static constexpr bool kTombstoneFirst = false;
};
// Unlike without_tombstone, the router requests the tombstone, and the agent confirms it without storing it.
struct without_kept_tombstone : model_safeguards {
  static constexpr bool kKeepTombstone = false;
};
struct without_condition : model_safeguards {
  static constexpr bool kCheckHolder = false;
};
struct without_incarnation : model_safeguards {
  static constexpr bool kCheckIncarnation = false;
};
// The router claims the same attempt id again, for another endpoint, after its tombstone is confirmed.
struct without_claim_once : model_safeguards {
  static constexpr bool kClaimOnce = false;
};
struct without_run_once : model_safeguards {
  static constexpr bool kRunOnce = false;
};
// Once the call has been sent, the router reports not_run without asking for a tombstone.
struct without_proof : model_safeguards {
  static constexpr bool kProveNotRun = false;
};
// The router replaces the claim of an agent that is lost or has restarted.
struct with_takeover : model_safeguards {
  static constexpr bool kRefuseTakeover = false;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. model
// ---------------------------------------------------------------------------------------------------------------------

struct model_bounds {
  int attempts = 3;    // attempts of one key, each through a different router
  int restarts = 1;    // per agent
  int duplicates = 1;  // messages that the network duplicates, in total
  int timeouts = 2;    // requests of routers that time out, in total
  int outages = 1;     // store operations rejected, in total
  int crashes = 1;     // routers that crash, in total
};

enum class message_kind : std::uint8_t {
  kOperation,  // router to store
  kStoreReply,
  kCall,  // router to agent
  kCallReply,
  kTombstone,
  kQuery,
  kReport,
};

struct model_message {
  message_kind kind = message_kind::kOperation;
  int attempt = 0;            // attempt whose router sends or receives the message
  int serial = 0;             // number of the router's request; the router drops replies to older requests
  claim_operation operation;  // kOperation
  claim_result result;        // kStoreReply
  claim_row row;              // kCall, kTombstone, kQuery
  call_reply reply = call_reply::kLost;
  attempt_report_status status = attempt_report_status::kUnreachable;
};

struct model_agent {
  explicit model_agent(incarnation_number number) : incarnation(number), table(number, attempt_limits{}) {}
  incarnation_number incarnation;
  attempt_table table;
};

struct model_router {
  claim_state state;
  int serial = 0;  // of the latest request
  bool alive = true;
};

char ToDigit(std::size_t number) { return static_cast<char>('0' + static_cast<int>(number)); }

template <class safeguards>
class model {
 public:
  explicit model(const model_bounds& bounds) : remaining_(bounds) {
    for (int i = 0; i < bounds.attempts; ++i) {
      claim_row row;
      row.key.value = "k";
      row.attempt.value = std::string(1, static_cast<char>('a' + i));
      row.endpoint.value = kEndpoints.substr(static_cast<std::size_t>(i) % 2, 1);
      row.incarnation = 1;
      routers_.push_back({MakeClaimState(row), 0, true});
    }
  }

  // One event that can happen next.
  struct event_choice {
    enum event_kind : std::uint8_t {
      kStart,
      kDeliver,
      kDuplicate,
      kTimeOut,
      kRejectOperation,
      kFinish,
      kRestart,
      kCrash
    } kind;
    int index;        // of the router, the message or the agent
    int attempt = 0;  // kFinish
  };

  std::vector<event_choice> Choices() const {
    std::vector<event_choice> choices;
    for (int i = 0; i < Size(routers_); ++i) {
      const model_router& router = routers_[i];
      if (!router.alive || router.state.step == claim_step::kEnded) {
        continue;
      }
      if (router.state.step == claim_step::kIdle) {
        choices.push_back({event_choice::kStart, i});
        continue;
      }
      if (remaining_.timeouts > 0) {
        choices.push_back({event_choice::kTimeOut, i});
      }
      if (remaining_.crashes > 0) {
        choices.push_back({event_choice::kCrash, i});
      }
    }
    for (int i = 0; i < Size(network_); ++i) {
      choices.push_back({event_choice::kDeliver, i});
      if (remaining_.duplicates > 0) {
        choices.push_back({event_choice::kDuplicate, i});
      }
      if (remaining_.outages > 0 && network_[i].kind == message_kind::kOperation) {
        choices.push_back({event_choice::kRejectOperation, i});
      }
    }
    for (int i = 0; i < Size(agents_); ++i) {
      if (agents_[i].incarnation <= static_cast<incarnation_number>(remaining_.restarts)) {
        choices.push_back({event_choice::kRestart, i});
      }
      for (int j = 0; j < Size(routers_); ++j) {
        const attempt_entry* entry = agents_[i].table.FindAttempt(routers_[j].state.own_row.attempt);
        if (entry != nullptr && entry->phase == attempt_entry_phase::kRunning) {
          choices.push_back({event_choice::kFinish, i, j});
        }
      }
    }
    return choices;
  }

  void Apply(const event_choice& next) {
    switch (next.kind) {
      case event_choice::kStart:
        return StepRouter(next.index, claim_started{});
      case event_choice::kDeliver: {
        const model_message message = network_[next.index];
        network_.erase(network_.begin() + next.index);
        return Deliver(message);
      }
      case event_choice::kDuplicate: {
        --remaining_.duplicates;
        const model_message message = network_[next.index];
        return Deliver(message);
      }
      case event_choice::kTimeOut:
        --remaining_.timeouts;
        return TimeOut(next.index);
      case event_choice::kRejectOperation: {
        --remaining_.outages;
        model_message message = network_[next.index];
        network_.erase(network_.begin() + next.index);
        return ReplyFromStore(message, {claim_result_kind::kStoreUnavailable, {}});
      }
      case event_choice::kFinish:
        return Finish(next.index, next.attempt);
      case event_choice::kRestart:
        agents_[next.index] = model_agent(agents_[next.index].incarnation + 1);
        return;
      case event_choice::kCrash:
        --remaining_.crashes;
        routers_[next.index].alive = false;
        return;
    }
  }

  std::string Describe(const event_choice& next) const {
    const auto name = [this](int router) { return routers_[router].state.own_row.attempt.value; };
    switch (next.kind) {
      case event_choice::kStart:
        return "router of " + name(next.index) + " starts";
      case event_choice::kDeliver:
        return "deliver " + DescribeMessage(network_[next.index]);
      case event_choice::kDuplicate:
        return "deliver a duplicate of " + DescribeMessage(network_[next.index]);
      case event_choice::kTimeOut:
        return "router of " + name(next.index) + " times out";
      case event_choice::kRejectOperation:
        return "store is unavailable for " + DescribeMessage(network_[next.index]);
      case event_choice::kFinish:
        return "agent " + kEndpoints.substr(next.index, 1) + " finishes " + name(next.attempt);
      case event_choice::kRestart:
        return "agent " + kEndpoints.substr(next.index, 1) + " restarts";
      case event_choice::kCrash:
        return "router of " + name(next.index) + " crashes";
    }
    return "";
  }

  // Describes the violated guarantee in this state; empty if there is none.
  std::string Violation() const {
    int runs = 0;
    for (int i = 0; i < Size(routers_); ++i) {
      runs += runs_[i];
      const bool reported_not_run = outcomes_[i] == outcome_kind::kNotRun;
      if (reported_not_run && runs_[i] > 0) {
        return "attempt " + routers_[i].state.own_row.attempt.value + " was reported as not_run but ran";
      }
    }
    return runs > 1 ? "the call ran " + std::to_string(runs) + " times" : "";
  }

  // Canonical text of the state. The order of the messages in the network does not matter.
  std::string StateKey() const {
    std::string text;
    for (const int number : {remaining_.duplicates, remaining_.timeouts, remaining_.outages, remaining_.crashes}) {
      text += ToDigit(number);
    }
    AppendRow(text, row_);
    for (int i = 0; i < Size(routers_); ++i) {
      const model_router& router = routers_[i];
      text += ToDigit(static_cast<std::size_t>(router.state.step));
      text += router.alive ? '+' : '-';
      text += ToDigit(router.serial);
      text += ToDigit(runs_[i]);
      text += outcomes_[i] ? ToDigit(static_cast<std::size_t>(*outcomes_[i])) : '_';
      AppendRow(text, router.state.own_row);
      AppendRow(text, router.state.other_row);
    }
    for (const model_agent& agent : agents_) {
      text += ToDigit(agent.incarnation);
      for (const model_router& router : routers_) {
        const attempt_entry* entry = agent.table.FindAttempt(router.state.own_row.attempt);
        text += entry == nullptr ? '_' : ToDigit(static_cast<std::size_t>(entry->phase));
      }
    }
    std::vector<std::string> messages;
    for (const model_message& message : network_) {
      std::string line;
      line += ToDigit(static_cast<std::size_t>(message.kind));
      line += ToDigit(message.attempt);
      line += ToDigit(message.serial);
      line += ToDigit(static_cast<std::size_t>(message.operation.kind));
      line += message.operation.expected_attempt.value;
      AppendRow(line, message.operation.row);
      line += ToDigit(static_cast<std::size_t>(message.result.kind));
      AppendRow(line, message.result.current);
      AppendRow(line, message.row);
      line += ToDigit(static_cast<std::size_t>(message.reply));
      line += ToDigit(static_cast<std::size_t>(message.status));
      messages.push_back(std::move(line));
    }
    std::sort(messages.begin(), messages.end());
    for (const std::string& line : messages) {
      text += '/' + line;
    }
    return text;
  }

 private:
  template <class container>
  static int Size(const container& items) {
    return static_cast<int>(items.size());
  }

  static void AppendRow(std::string& text, const claim_row& row) {
    text += row.attempt.value + row.endpoint.value + ToDigit(row.incarnation) +
            (row.phase == claim_phase::kDone ? 'd' : 'c');
  }

  static std::string DescribeMessage(const model_message& message) {
    static constexpr std::array kNames = {"store operation",   "store reply", "call",          "call reply",
                                          "tombstone request", "query",       "attempt report"};
    static constexpr std::array kOperations = {"insert", "replace", "finish", "read"};
    const std::string router(1, static_cast<char>('a' + message.attempt));
    std::string text = std::string(kNames[static_cast<std::size_t>(message.kind)]) + " of " + router;
    if (message.kind == message_kind::kOperation) {
      text += std::string(" (") + kOperations[static_cast<std::size_t>(message.operation.kind)] + ")";
    } else if (message.kind == message_kind::kTombstone || message.kind == message_kind::kQuery ||
               message.kind == message_kind::kCall) {
      text += " (attempt " + message.row.attempt.value + " to agent " + message.row.endpoint.value + ")";
    }
    return text;
  }

  void StepRouter(int index, const claim_event& event) {
    model_router& router = routers_[index];
    if (!router.alive) {
      return;
    }
    claim_transition next = detail::claim_stepper<safeguards>(router.state).Step(event);
    router.state = std::move(next.state);
    for (const claim_action& action : next.actions) {
      Execute(index, action);
    }
  }

  void Execute(int index, const claim_action& action) {
    model_message message;
    message.attempt = index;
    if (const auto* end = std::get_if<end_claim>(&action)) {
      outcomes_[index] = end->outcome;
      return;
    }
    message.serial = ++routers_[index].serial;
    if (const auto* call = std::get_if<send_call>(&action)) {
      message.kind = message_kind::kCall;
      message.row = call->row;
    } else if (const auto* tombstone = std::get_if<request_tombstone>(&action)) {
      message.kind = message_kind::kTombstone;
      message.row = tombstone->row;
    } else if (const auto* query = std::get_if<query_attempt_status>(&action)) {
      message.kind = message_kind::kQuery;
      message.row = query->row;
    } else {
      message.kind = message_kind::kOperation;
      message.operation = MakeClaimOperation(action);
    }
    network_.push_back(std::move(message));
  }

  void Deliver(const model_message& message) {
    switch (message.kind) {
      case message_kind::kOperation:
        return ReplyFromStore(message, RunOperation(message.operation));
      case message_kind::kStoreReply:
        return IsCurrent(message) ? StepRouter(message.attempt, store_replied{message.result}) : void();
      case message_kind::kCall:
        return StartCall(message);
      case message_kind::kCallReply:
        return StepRouter(message.attempt, call_replied{message.reply});
      case message_kind::kTombstone:
        return Report(message, AskForTombstone(message.row));
      case message_kind::kQuery:
        return Report(message, AskForStatus(message.row));
      case message_kind::kReport:
        return IsCurrent(message) ? StepRouter(message.attempt, attempt_reported{message.row.attempt, message.status})
                                  : void();
    }
  }

  bool IsCurrent(const model_message& message) const { return message.serial == routers_[message.attempt].serial; }

  // The latest request of the router times out. The request and its reply may still be delivered.
  void TimeOut(int index) {
    model_router& router = routers_[index];
    const claim_step step = router.state.step;
    if (step == claim_step::kSent) {
      return StepRouter(index, call_replied{call_reply::kLost});
    }
    const bool awaits_store = step == claim_step::kInserting || step == claim_step::kVerifyingInsert ||
                              step == claim_step::kReplacing || step == claim_step::kVerifyingReplace;
    ++router.serial;
    if (awaits_store) {
      return StepRouter(index, store_replied{{claim_result_kind::kUnknown, {}}});
    }
    const bool asks_own = step == claim_step::kTombstoningOwn || step == claim_step::kWaitingForOwn;
    const attempt_id asked = asks_own ? router.state.own_row.attempt : router.state.other_row.attempt;
    StepRouter(index, attempt_reported{asked, attempt_report_status::kUnreachable});
  }

  // Simulates the store: one row with conditional writes.
  claim_result RunOperation(const claim_operation& operation) {
    const bool is_absent = row_.attempt.empty();
    switch (operation.kind) {
      case claim_operation_kind::kRead:
        return is_absent ? claim_result{claim_result_kind::kAbsent, {}} : claim_result{claim_result_kind::kFound, row_};
      case claim_operation_kind::kInsert:
        if (!is_absent) {
          return {claim_result_kind::kConflict, row_};
        }
        break;
      case claim_operation_kind::kReplace:
        if (safeguards::kCheckHolder && row_.attempt != operation.expected_attempt) {
          return {claim_result_kind::kConflict, row_};
        }
        break;
      case claim_operation_kind::kFinish:
        if (row_.attempt != operation.expected_attempt) {
          return {claim_result_kind::kConflict, row_};
        }
        break;
    }
    row_ = operation.row;
    return {claim_result_kind::kWritten, {}};
  }

  void ReplyFromStore(model_message message, claim_result result) {
    if (message.operation.kind == claim_operation_kind::kFinish) {
      return;  // the router does not wait for the result
    }
    message.kind = message_kind::kStoreReply;
    message.operation = {};
    message.result = std::move(result);
    network_.push_back(std::move(message));
  }

  model_agent& Agent(const claim_row& row) { return agents_[kEndpoints.find(row.endpoint.value)]; }

  incarnation_number ExpectedIncarnation(const claim_row& row) const {
    return safeguards::kCheckIncarnation ? row.incarnation : 0;
  }

  void StartCall(const model_message& message) {
    model_agent& agent = Agent(message.row);
    accept_verdict verdict =
        agent.table.AcceptAttempt(message.row.attempt, ExpectedIncarnation(message.row), time_point{});
    const bool is_repeat = verdict == accept_verdict::kAlreadyRunning || verdict == accept_verdict::kAlreadyDone;
    if (!safeguards::kRunOnce && is_repeat) {
      verdict = accept_verdict::kRun;
    }
    if (verdict == accept_verdict::kRun) {
      ++runs_[message.attempt];
    } else if (!is_repeat) {
      ReplyToCall(message.attempt, call_reply::kNotRun);
    }
  }

  void Finish(int agent, int attempt) {
    agents_[agent].table.FinishAttempt(routers_[attempt].state.own_row.attempt, "answer", time_point{});
    ReplyToCall(attempt, call_reply::kAnswered);
  }

  void ReplyToCall(int attempt, call_reply reply) {
    model_message message;
    message.kind = message_kind::kCallReply;
    message.attempt = attempt;
    message.reply = reply;
    network_.push_back(std::move(message));
  }

  attempt_report_status AskForTombstone(const claim_row& row) {
    if (!safeguards::kKeepTombstone && Agent(row).table.FindAttempt(row.attempt) == nullptr) {
      return attempt_report_status::kNotRun;
    }
    switch (Agent(row).table.TombstoneAttempt(row.attempt, ExpectedIncarnation(row), time_point{})) {
      case tombstone_verdict::kConfirmed:
        return attempt_report_status::kNotRun;
      case tombstone_verdict::kRunning:
        return attempt_report_status::kRunning;
      case tombstone_verdict::kDone:
        return attempt_report_status::kAnswered;
      case tombstone_verdict::kWrongIncarnation:
        return attempt_report_status::kOtherIncarnation;
    }
    return attempt_report_status::kUnknown;
  }

  attempt_report_status AskForStatus(const claim_row& row) {
    const model_agent& agent = Agent(row);
    if (ExpectedIncarnation(row) != 0 && agent.incarnation != row.incarnation) {
      return attempt_report_status::kOtherIncarnation;
    }
    const attempt_entry* entry = agent.table.FindAttempt(row.attempt);
    if (entry == nullptr) {
      return attempt_report_status::kUnknown;
    }
    switch (entry->phase) {
      case attempt_entry_phase::kTombstoned:
        return attempt_report_status::kNotRun;
      case attempt_entry_phase::kRunning:
        return attempt_report_status::kRunning;
      case attempt_entry_phase::kDone:
        return attempt_report_status::kAnswered;
    }
    return attempt_report_status::kUnknown;
  }

  void Report(model_message message, attempt_report_status status) {
    message.kind = message_kind::kReport;
    message.status = status;
    network_.push_back(std::move(message));
  }

  model_bounds remaining_;  // remaining faults
  claim_row row_;           // row in the store; absent if the attempt id is empty
  std::vector<model_router> routers_;
  std::vector<model_agent> agents_ = {model_agent(1), model_agent(1)};
  std::vector<model_message> network_;
  std::array<int, 8> runs_{};  // per attempt
  std::array<std::optional<outcome_kind>, 8> outcomes_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. exhaustive search for the shortest violation
// ---------------------------------------------------------------------------------------------------------------------

struct search_result {
  std::string violation;
  std::vector<std::string> steps;  // events that lead to the violation
  std::size_t states = 0;
  bool complete = false;  // all states within the bounds were visited
};

template <class safeguards>
search_result SearchBreadthFirst(const model_bounds& bounds, std::size_t state_limit) {
  struct node {
    std::size_t parent;
    std::string step;
  };
  search_result found;
  std::vector<node> nodes = {{0, ""}};
  std::unordered_map<std::string, std::size_t> visited;
  std::deque<std::pair<std::size_t, model<safeguards>>> frontier;
  frontier.emplace_back(0, model<safeguards>(bounds));
  visited.emplace(frontier.front().second.StateKey(), 0);
  while (!frontier.empty() && nodes.size() < state_limit) {
    const auto [index, current] = std::move(frontier.front());
    frontier.pop_front();
    for (const auto& choice : current.Choices()) {
      model<safeguards> next = current;
      next.Apply(choice);
      if (!visited.emplace(next.StateKey(), nodes.size()).second) {
        continue;
      }
      nodes.push_back({index, current.Describe(choice)});
      found.violation = next.Violation();
      if (!found.violation.empty()) {
        for (std::size_t at = nodes.size() - 1; at != 0; at = nodes[at].parent) {
          found.steps.insert(found.steps.begin(), nodes[at].step);
        }
        found.states = nodes.size();
        return found;
      }
      frontier.emplace_back(nodes.size() - 1, std::move(next));
    }
  }
  found.states = nodes.size();
  found.complete = frontier.empty();
  return found;
}

std::string FormatSteps(const search_result& found) {
  std::string text = found.violation + " after " + std::to_string(found.steps.size()) + " steps, " +
                     std::to_string(found.states) + " states searched\n";
  for (std::size_t i = 0; i < found.steps.size(); ++i) {
    text += "  " + std::to_string(i + 1) + ". " + found.steps[i] + "\n";
  }
  return text;
}

// Checks that the search finds a violation with a safeguard disabled, and none with all safeguards enabled.
template <class safeguards>
void ExpectViolation(const char* name, const model_bounds& bounds) {
  constexpr std::size_t kStateLimit = 200'000;
  const search_result found = SearchBreadthFirst<safeguards>(bounds, kStateLimit);
  std::printf("%s: %s", name, FormatSteps(found).c_str());
  EXPECT_NE(found.violation, "") << "disabling a safeguard must lead to a violation: " << name;
  const search_result control = SearchBreadthFirst<model_safeguards>(bounds, found.states);
  EXPECT_EQ(control.violation, "") << FormatSteps(control);
}

template <class safeguards>
void ExpectNoViolation(const model_bounds& bounds) {
  constexpr std::size_t kStateLimit = 1'000'000;
  const search_result found = SearchBreadthFirst<safeguards>(bounds, kStateLimit);
  std::printf("all safeguards: %zu states\n", found.states);
  EXPECT_EQ(found.violation, "") << FormatSteps(found);
  EXPECT_TRUE(found.complete);
}

TEST(claims_search, StepClaim_WithTwoAttemptsAndFaults_HasNoViolation) {
  ExpectNoViolation<model_safeguards>({2, 1, 1, 1, 0, 0});
}

TEST(claims_search, StepClaim_WithTwoAttemptsAndStoreOutage_HasNoViolation) {
  ExpectNoViolation<model_safeguards>({2, 0, 0, 2, 2, 1});
}

TEST(claims_search, StepClaim_WithThreeAttemptsAndRestarts_HasNoViolation) {
  ExpectNoViolation<model_safeguards>({3, 1, 0, 0, 0, 0});
}

TEST(claims_search, StepClaim_WithThreeAttemptsAndTimeout_HasNoViolation) {
  ExpectNoViolation<model_safeguards>({3, 0, 0, 1, 0, 0});
}

const model_bounds kTombstoneBounds = {2, 0, 0, 0, 0, 0};
const model_bounds kConditionBounds = {3, 0, 0, 0, 0, 0};
const model_bounds kIncarnationBounds = {2, 1, 1, 1, 0, 0};
const model_bounds kClaimOnceBounds = {2, 0, 0, 1, 0, 0};
const model_bounds kRunOnceBounds = {1, 0, 1, 0, 0, 0};
const model_bounds kProofBounds = {1, 0, 0, 1, 0, 0};
const model_bounds kTakeoverBounds = {2, 1, 0, 0, 0, 0};

TEST(claims_search, StepClaim_WithoutTombstone_IsFound) {
  ExpectViolation<without_tombstone>("without tombstone", kTombstoneBounds);
}

TEST(claims_search, StepClaim_WithoutKeptTombstone_IsFound) {
  ExpectViolation<without_kept_tombstone>("without kept tombstone", kTombstoneBounds);
}

TEST(claims_search, StepClaim_WithoutConditionalReplacement_IsFound) {
  ExpectViolation<without_condition>("without conditional replacement", kConditionBounds);
}

TEST(claims_search, StepClaim_WithoutIncarnation_IsFound) {
  ExpectViolation<without_incarnation>("without incarnation", kIncarnationBounds);
}

TEST(claims_search, StepClaim_WithoutSingleClaimOfAttempt_IsFound) {
  ExpectViolation<without_claim_once>("without single claim of an attempt id", kClaimOnceBounds);
}

TEST(claims_search, StepClaim_WithoutSingleRunOfAttempt_IsFound) {
  ExpectViolation<without_run_once>("without single run of an attempt id", kRunOnceBounds);
}

TEST(claims_search, StepClaim_WithoutProofOfNotRun_IsFound) {
  ExpectViolation<without_proof>("without proof of not_run", kProofBounds);
}

TEST(claims_search, StepClaim_WithTakeoverOfLostAgentsClaim_IsFound) {
  ExpectViolation<with_takeover>("with takeover of a lost or restarted agent's claim", kTakeoverBounds);
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. random event orders, longer than those of the search
// ---------------------------------------------------------------------------------------------------------------------

const model_bounds kRandomBounds = {4, 2, 3, 4, 2, 1};
constexpr int kRandomSteps = 120;  // maximum number of events in a sequence; most end earlier because none is possible

// Each number selects one of the possible next events. Shrinking removes steps.
template <class safeguards>
std::string RunRandomOrder(const model_bounds& bounds, const std::vector<std::uint16_t>& numbers) {
  model<safeguards> state(bounds);
  std::string steps;
  for (const std::uint16_t number : numbers) {
    const auto choices = state.Choices();
    if (choices.empty()) {
      break;
    }
    const auto& next = choices[number % choices.size()];
    steps += state.Describe(next) + "\n";
    state.Apply(next);
    const std::string violation = state.Violation();
    if (!violation.empty()) {
      return violation + ":\n" + steps;
    }
  }
  return "";
}

template <class safeguards>
rc::detail::TestResult CheckRandomOrders(const model_bounds& bounds, int orders) {
  rc::detail::TestParams parameters;
  parameters.seed = 20261203;
  parameters.maxSuccess = orders;
  parameters.maxSize = kRandomSteps;
  // RapidCheck generates small numbers for small sizes, which would select only the first choices.
  const auto numbers_of_full_range = rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint16_t>());
  const auto property = [&] {
    const auto numbers = *rc::gen::container<std::vector<std::uint16_t>>(numbers_of_full_range);
    const std::string violation = RunRandomOrder<safeguards>(bounds, numbers);
    RC_ASSERT(violation == "");
  };
  return rc::detail::checkTestable(property, rc::detail::TestMetadata(), parameters);
}

template <class safeguards>
void ExpectRandomViolation(const model_bounds& bounds) {
  constexpr int kOrders = 100'000;  // maximum; even the rarest violation is found after far fewer
  const auto checked = CheckRandomOrders<safeguards>(bounds, kOrders);
  ASSERT_TRUE(checked.template is<rc::detail::FailureResult>());
  std::printf("violation found after %d orders\n", checked.template get<rc::detail::FailureResult>().numSuccess);
}

TEST(claims_property, AnyOrder_RunsTheCallAtMostOnceAndTellsNotRunTruthfully) {
  const auto checked = CheckRandomOrders<model_safeguards>(kRandomBounds, 50'000);
  std::ostringstream report;
  rc::detail::printResultMessage(checked, report);
  EXPECT_TRUE(checked.is<rc::detail::SuccessResult>()) << report.str();
}

TEST(claims_property, AnyOrder_WithoutTombstone_IsFound) { ExpectRandomViolation<without_tombstone>(kTombstoneBounds); }

TEST(claims_property, AnyOrder_WithoutKeptTombstone_IsFound) {
  ExpectRandomViolation<without_kept_tombstone>(kTombstoneBounds);
}

TEST(claims_property, AnyOrder_WithoutConditionalReplacement_IsFound) {
  ExpectRandomViolation<without_condition>(kConditionBounds);
}

TEST(claims_property, AnyOrder_WithoutIncarnation_IsFound) {
  ExpectRandomViolation<without_incarnation>(kIncarnationBounds);
}

TEST(claims_property, AnyOrder_WithoutSingleClaimOfAttempt_IsFound) {
  ExpectRandomViolation<without_claim_once>(kClaimOnceBounds);
}

TEST(claims_property, AnyOrder_WithoutSingleRunOfAttempt_IsFound) {
  ExpectRandomViolation<without_run_once>(kRunOnceBounds);
}

TEST(claims_property, AnyOrder_WithoutProofOfNotRun_IsFound) { ExpectRandomViolation<without_proof>(kProofBounds); }

TEST(claims_property, AnyOrder_WithTakeoverOfLostAgentsClaim_IsFound) {
  ExpectRandomViolation<with_takeover>(kTakeoverBounds);
}

// ---------------------------------------------------------------------------------------------------------------------
// 5. state machine transitions
// ---------------------------------------------------------------------------------------------------------------------

class claim_rules_test : public testing::Test {
 protected:
  static claim_row Row(const std::string& attempt) {
    return {idempotency_key{"k"}, attempt_id{attempt}, endpoint_name{"A"}, 3, claim_phase::kClaimed};
  }
  static claim_row DoneRow(const std::string& attempt) {
    claim_row row = Row(attempt);
    row.phase = claim_phase::kDone;
    return row;
  }

  std::vector<claim_action> Step(const claim_event& event) {
    claim_transition next = StepClaim(state_, event);
    state_ = next.state;
    return next.actions;
  }
  std::vector<claim_action> Reply(claim_result_kind kind, const claim_row& current = {}) {
    return Step(store_replied{{kind, current}});
  }
  std::vector<claim_action> Report(const std::string& attempt, attempt_report_status status) {
    return Step(attempt_reported{attempt_id{attempt}, status});
  }
  void Claim() {
    Step(claim_started{});
    Reply(claim_result_kind::kWritten);
  }
  void ConflictWith(const claim_row& row) {
    Step(claim_started{});
    Reply(claim_result_kind::kConflict, row);
  }
  static std::vector<claim_action> Single(claim_action action) { return {std::move(action)}; }

  const claim_row own_ = Row("a");
  claim_state state_ = MakeClaimState(own_);
};

TEST_F(claim_rules_test, Start_WhenStoreIsUnavailable_EndsNotRunWithoutSending) {
  EXPECT_EQ(Step(claim_started{}), Single(insert_claim{own_}));
  EXPECT_EQ(Reply(claim_result_kind::kStoreUnavailable),
            Single(end_claim{outcome_kind::kNotRun, claim_error::kStoreUnavailable}));
  EXPECT_TRUE(Reply(claim_result_kind::kWritten).empty());
}

TEST_F(claim_rules_test, Insert_WhenReplyIsLostAndRowIsOwn_SendsTheCall) {
  Step(claim_started{});
  EXPECT_EQ(Reply(claim_result_kind::kUnknown), Single(read_claim{own_.key}));
  EXPECT_EQ(Reply(claim_result_kind::kFound, own_), Single(send_call{own_}));
}

TEST_F(claim_rules_test, Insert_WhenReplyIsLostAndOtherAttemptHoldsRow_EndsNotRun) {
  Step(claim_started{});
  Reply(claim_result_kind::kUnknown);
  EXPECT_EQ(Reply(claim_result_kind::kFound, Row("b")),
            Single(end_claim{outcome_kind::kNotRun, claim_error::kInProgress}));
}

TEST_F(claim_rules_test, Call_WhenAnswered_FinishesTheRowAndEnds) {
  Claim();
  EXPECT_EQ(
      Step(call_replied{call_reply::kAnswered}),
      (std::vector<claim_action>{finish_claim{DoneRow("a")}, end_claim{outcome_kind::kAnswered, claim_error::kNone}}));
}

// An agent's statement that it did not run the call does not rule out that a delayed copy of the call arrives later.
TEST_F(claim_rules_test, Call_WhenAgentReportsNotRun_AsksForTombstoneFirst) {
  Claim();
  EXPECT_EQ(Step(call_replied{call_reply::kNotRun}), Single(request_tombstone{own_}));
  EXPECT_EQ(Report("a", attempt_report_status::kNotRun),
            Single(end_claim{outcome_kind::kNotRun, claim_error::kEndpointLost}));
}

TEST_F(claim_rules_test, Call_WhenLostAndAgentUnreachable_EndsMayHaveRun) {
  Claim();
  EXPECT_EQ(Step(call_replied{call_reply::kLost}), Single(request_tombstone{own_}));
  EXPECT_EQ(Report("a", attempt_report_status::kUnreachable),
            Single(end_claim{outcome_kind::kMayHaveRun, claim_error::kEndpointLost}));
}

TEST_F(claim_rules_test, Call_WhenLostButRunning_WaitsForItsAnswer) {
  Claim();
  Step(call_replied{call_reply::kLost});
  EXPECT_EQ(Report("a", attempt_report_status::kRunning), Single(query_attempt_status{own_, true}));
  const auto actions = Report("a", attempt_report_status::kAnswered);
  ASSERT_EQ(actions.size(), 2U);
  EXPECT_EQ(actions[1], claim_action(end_claim{outcome_kind::kAnswered, claim_error::kNone}));
}

TEST_F(claim_rules_test, Call_WhenNeverPassedToAChannel_EndsNotRun) {
  Claim();
  EXPECT_EQ(Step(call_replied{call_reply::kNotSent}),
            Single(end_claim{outcome_kind::kNotRun, claim_error::kEndpointLost}));
}

TEST_F(claim_rules_test, Resend_WhenOtherAttemptIsTombstoned_ReplacesItConditionally) {
  ConflictWith(Row("b"));
  EXPECT_EQ(Report("b", attempt_report_status::kNotRun), Single(replace_claim{own_, attempt_id{"b"}}));
  EXPECT_EQ(Reply(claim_result_kind::kWritten), Single(send_call{own_}));
}

TEST_F(claim_rules_test, Resend_WhenOtherAttemptReplacedFirst_EndsNotRun) {
  ConflictWith(Row("b"));
  Report("b", attempt_report_status::kNotRun);
  EXPECT_EQ(Reply(claim_result_kind::kConflict, Row("c")),
            Single(end_claim{outcome_kind::kNotRun, claim_error::kInProgress}));
}

TEST_F(claim_rules_test, Resend_WhenOtherAttemptIsRunning_WaitsAndReturnsItsAnswer) {
  ConflictWith(Row("b"));
  EXPECT_EQ(Report("b", attempt_report_status::kRunning), Single(query_attempt_status{Row("b"), true}));
  EXPECT_EQ(Report("b", attempt_report_status::kAnswered),
            Single(end_claim{outcome_kind::kAnswered, claim_error::kNone}));
}

TEST_F(claim_rules_test, Resend_WhenOtherAgentHasRestarted_NeverTakesOver) {
  for (const auto status : {attempt_report_status::kOtherIncarnation, attempt_report_status::kUnreachable}) {
    state_ = MakeClaimState(own_);
    ConflictWith(Row("b"));
    EXPECT_EQ(Report("b", status), Single(end_claim{outcome_kind::kMayHaveRun, claim_error::kEndpointLost}));
  }
}

TEST_F(claim_rules_test, Resend_WhenRowIsDone_ReturnsRetainedAnswerOrAlreadyAnswered) {
  ConflictWith(DoneRow("b"));
  EXPECT_EQ(Report("b", attempt_report_status::kAnswered),
            Single(end_claim{outcome_kind::kAnswered, claim_error::kNone}));
  state_ = MakeClaimState(own_);
  ConflictWith(DoneRow("b"));
  EXPECT_EQ(Report("b", attempt_report_status::kUnreachable),
            Single(end_claim{outcome_kind::kMayHaveRun, claim_error::kAlreadyAnswered}));
}

TEST_F(claim_rules_test, Deadline_BeforeSending_EndsNotRunAndIgnoresTheLateClaim) {
  Step(claim_started{});
  EXPECT_EQ(Step(deadline_passed{}), Single(end_claim{outcome_kind::kNotRun, claim_error::kTimeout}));
  EXPECT_TRUE(Reply(claim_result_kind::kWritten).empty());
}

TEST_F(claim_rules_test, Deadline_AfterSending_RequestsTombstone) {
  Claim();
  EXPECT_EQ(Step(deadline_passed{}), Single(request_tombstone{own_}));
  EXPECT_EQ(Report("a", attempt_report_status::kRunning),
            Single(end_claim{outcome_kind::kMayHaveRun, claim_error::kTimeout}));
}

TEST(claim_batchers_test, ChooseBatchers_ForManyKeys_ReturnsTheSameFewRoutersForAnyListOrder) {
  std::vector<router_name> routers;
  for (int i = 0; i < 50; ++i) {
    routers.push_back(router_name{"r" + std::to_string(i)});
  }
  const std::vector<router_name> reversed(routers.rbegin(), routers.rend());
  std::map<router_name, int> first;
  for (int i = 0; i < 1000; ++i) {
    const idempotency_key key{"key" + std::to_string(i)};
    const auto chosen = ChooseBatchingRouters(key, routers);
    ASSERT_EQ(chosen.size(), kClaimBatchers);
    EXPECT_EQ(chosen, ChooseBatchingRouters(key, reversed));
    ++first[chosen.front()];
  }
  EXPECT_EQ(first.size(), kClaimBatchers);
  for (const auto& [router, keys] : first) {
    EXPECT_GT(keys, 150) << router.value;
  }
}

TEST(claim_batchers_test, ChooseBatchers_WhenFewRouters_ReturnsEachOnce) {
  const std::vector<router_name> routers = {router_name{"x"}, router_name{"y"}, router_name{"x"}};
  EXPECT_EQ(ChooseBatchingRouters(idempotency_key{"k"}, routers).size(), 2U);
  EXPECT_TRUE(ChooseBatchingRouters(idempotency_key{"k"}, {}).empty());
}

}  // namespace
}  // namespace persimmon
