#include "persimmon/claims.h"

#include <algorithm>
#include <cstdlib>
#include <string_view>
#include <tuple>
#include <utility>

#include "decisions/claims_step.h"

namespace persimmon {
namespace {

// FNV-1a with a final bit mix. Unlike std::hash, it gives the same value on every router.
std::uint64_t HashText(std::uint64_t seed, std::string_view text) {
  constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  std::uint64_t hash = 0xcbf29ce484222325ULL ^ seed;
  for (const char byte : text) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
  }
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  return hash ^ (hash >> 33U);
}

struct operation_maker {
  claim_operation operator()(const insert_claim& action) const {
    return {claim_operation_kind::kInsert, action.row, {}};
  }
  claim_operation operator()(const read_claim& action) const {
    claim_row row;
    row.key = action.key;
    return {claim_operation_kind::kRead, std::move(row), {}};
  }
  claim_operation operator()(const replace_claim& action) const {
    return {claim_operation_kind::kReplace, action.row, action.expected};
  }
  claim_operation operator()(const finish_claim& action) const {
    return {claim_operation_kind::kFinish, action.row, action.row.attempt};
  }
  template <class other>
  claim_operation operator()(const other&) const {
    std::abort();
  }
};

}  // namespace

const char* ClaimErrorName(claim_error code) {
  switch (code) {
    case claim_error::kNone:
      return "";
    case claim_error::kStoreUnavailable:
      return "store_unavailable";
    case claim_error::kAlreadyAnswered:
      return "already_answered";
    case claim_error::kInProgress:
      return "in_progress";
    case claim_error::kEndpointLost:
      return "endpoint_lost";
    case claim_error::kTimeout:
      return "timeout";
  }
  return "endpoint_lost";
}

claim_operation MakeClaimOperation(const claim_action& action) { return std::visit(operation_maker{}, action); }

claim_state MakeClaimState(claim_row own_row) {
  claim_state state;
  state.own_row = std::move(own_row);
  state.own_row.phase = claim_phase::kClaimed;
  return state;
}

claim_transition StartWithoutClaim(claim_row own_row) {
  claim_transition next{MakeClaimState(std::move(own_row)), {}};
  next.state.step = claim_step::kSent;
  next.actions.emplace_back(send_call{next.state.own_row});
  return next;
}

claim_transition StepClaim(const claim_state& state, const claim_event& event) {
  return detail::claim_stepper<detail::all_safeguards>(state).Step(event);
}

std::vector<router_name> ChooseBatchingRouters(const idempotency_key& key, std::vector<router_name> routers) {
  // Any constant will do: every router must choose the same few routers for all keys. Only their order depends on the
  // key.
  constexpr std::uint64_t kDeploymentSeed = 0;
  const auto sort_by_hash = [&routers](std::uint64_t seed) {
    std::sort(routers.begin(), routers.end(), [seed](const router_name& left, const router_name& right) {
      return std::make_tuple(HashText(seed, left.value), left.value) <
             std::make_tuple(HashText(seed, right.value), right.value);
    });
  };
  sort_by_hash(kDeploymentSeed);
  routers.erase(std::unique(routers.begin(), routers.end()), routers.end());
  if (routers.size() > kClaimBatchers) {
    routers.resize(kClaimBatchers);
  }
  sort_by_hash(HashText(kDeploymentSeed, key.value));
  return routers;
}

}  // namespace persimmon
