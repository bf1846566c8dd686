// Guards against "not run" without proof, and against responses that are taken for those of another request.
#include "persimmon/reply_proof.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <set>

namespace persimmon {
namespace {

constexpr std::array<int, 5> kRefusalStatuses = {400, 408, 421, 429, 503};

reply_statement Refusal(int status, const std::string& attempt = "a1") { return {status, attempt, true, false}; }

TEST(reply_proof_test, OwnRefusal_OfEachListedStatus_ProvesNotRun) {
  for (const int status : kRefusalStatuses) {
    EXPECT_EQ(JudgeReply(Refusal(status), {"a1", true, false}), reply_verdict::kNotRun) << status;
    // A kept connection proves as much if it has carried only other ids.
    EXPECT_EQ(JudgeReply(Refusal(status), {"a1", false, false}), reply_verdict::kNotRun) << status;
  }
}

TEST(reply_proof_test, Reply_ToAnotherOrNoRequest_IsNotOwn) {
  EXPECT_EQ(JudgeReply(Refusal(503, "a0"), {"a1", true, false}), reply_verdict::kOtherRequest);
  EXPECT_EQ(JudgeReply(Refusal(503, ""), {"a1", true, false}), reply_verdict::kNamesNoRequest);
  EXPECT_EQ(JudgeReply(Refusal(503, "a0"), {"", true, false}), reply_verdict::kOtherRequest);
  EXPECT_EQ(JudgeReply({200, "", false, true}, {"a1", true, false}), reply_verdict::kNamesNoRequest);
}

TEST(reply_proof_test, RequestWithoutAnId_IsProvedNotRunOnANewConnectionOnly) {
  EXPECT_EQ(JudgeReply(Refusal(400, ""), {"", true, false}), reply_verdict::kNotRun);
  EXPECT_EQ(JudgeReply(Refusal(400, ""), {"", false, false}), reply_verdict::kUsedConnection);
}

TEST(reply_proof_test, StatusWithoutAStatement_ProvesNothing) {
  for (const int status : {408, 421, 429, 503}) {
    EXPECT_EQ(JudgeReply({status, "a1", false, false}, {"a1", true, false}), reply_verdict::kNoStatement) << status;
    EXPECT_EQ(JudgeReply({status, "a1", false, true}, {"a1", true, false}), reply_verdict::kNoStatement) << status;
  }
  for (const int status : {200, 400, 404, 500, 504}) {
    EXPECT_EQ(JudgeReply({status, "a1", false, true}, {"a1", true, false}), reply_verdict::kResponse) << status;
  }
}

TEST(reply_proof_test, Statement_ThatIsContradicted_ProvesNothing) {
  for (const int status : {200, 202, 404, 500, 502, 504}) {
    EXPECT_EQ(JudgeReply(Refusal(status), {"a1", true, false}), reply_verdict::kUnexpectedStatus) << status;
  }
  EXPECT_EQ(JudgeReply({503, "a1", true, true}, {"a1", true, false}), reply_verdict::kContradictingSeal);
}

TEST(reply_proof_test, OwnRefusal_OnAConnectionThatCarriedTheId_ProvesNothing) {
  EXPECT_EQ(JudgeReply(Refusal(503), {"a1", false, true}), reply_verdict::kUsedConnection);
}

TEST(reply_proof_test, VerdictNames_AreDistinct) {
  std::set<std::string> names;
  for (int i = 0; i <= static_cast<int>(reply_verdict::kUsedConnection); ++i) {
    names.insert(ReplyVerdictName(static_cast<reply_verdict>(i)));
  }
  EXPECT_EQ(names.size(), static_cast<std::size_t>(reply_verdict::kUsedConnection) + 1);
}

rc::Gen<std::string> AnyAttempt() { return rc::gen::element<std::string>("", "a1", "a2"); }

rc::Gen<int> AnyStatus() {
  return rc::gen::weightedOneOf<int>(
      {{2, rc::gen::elementOf(std::vector<int>(kRefusalStatuses.begin(), kRefusalStatuses.end()))},
       {1, rc::gen::inRange(200, 600)}});
}

RC_GTEST_PROP(reply_proof_property, AnyReply_ProvesNotRunOnlyIfEachConditionHolds, ()) {
  const reply_statement reply{*AnyStatus(), *AnyAttempt(), *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()};
  const reply_context context{*AnyAttempt(), *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()};
  const reply_verdict verdict = JudgeReply(reply, context);
  const bool is_own = reply.attempt == context.attempt;
  const bool is_refusal =
      std::find(kRefusalStatuses.begin(), kRefusalStatuses.end(), reply.status) != kRefusalStatuses.end();
  const bool is_fresh = !context.has_carried_before && (!context.attempt.empty() || context.is_connection_new);
  RC_ASSERT((verdict == reply_verdict::kNotRun) ==
            (is_own && is_refusal && reply.states_not_run && !reply.has_seal && is_fresh));
  RC_ASSERT(IsOwnReply(verdict) == is_own);
  // A response that is passed on as it is neither states nor implies "not run".
  const bool implies_not_run = is_refusal && reply.status != 400;
  RC_ASSERT((verdict == reply_verdict::kResponse) == (is_own && !reply.states_not_run && !implies_not_run));
  // Exactly one of the four holds.
  const int classes = (IsOwnReply(verdict) ? 0 : 1) + (verdict == reply_verdict::kResponse ? 1 : 0) +
                      (verdict == reply_verdict::kNotRun ? 1 : 0) + (IsUnprovenRefusal(verdict) ? 1 : 0);
  RC_ASSERT(classes == 1);
}

struct sent_attempt {
  std::string attempt;
  bool is_refused = false;  // otherwise the endpoint runs it
};

// An endpoint refuses or runs requests on one connection and may write any of its earlier responses again before the
// next one. If no id is sent twice over the connection, no request that runs is taken for refused.
RC_GTEST_PROP(reply_proof_property, RepeatedReplies_OnAConnectionThatCarriesEachIdOnce_ProveNothingFalse, ()) {
  const int requests = *rc::gen::inRange(1, 8);
  std::vector<reply_statement> written;
  for (int i = 0; i < requests; ++i) {
    const sent_attempt sent{"a" + std::to_string(i), *rc::gen::arbitrary<bool>()};
    const reply_context context{sent.attempt, i == 0, false};
    for (const reply_statement& earlier : written) {
      RC_ASSERT(!IsOwnReply(JudgeReply(earlier, context)));
    }
    const reply_statement own =
        sent.is_refused ? Refusal(503, sent.attempt) : reply_statement{200, sent.attempt, false, true};
    RC_ASSERT((JudgeReply(own, context) == reply_verdict::kNotRun) == sent.is_refused);
    written.push_back(own);
  }
}

}  // namespace
}  // namespace persimmon
