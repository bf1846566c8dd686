// Sections
//   1. what an endpoint states
//   2. schedule of permits
//   3. members and home routers
//   4. limits of all endpoints
#include "persimmon/request_limits.h"

#include <algorithm>
#include <cmath>
#include <string_view>

#include "persimmon/selection.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. what an endpoint states
// ---------------------------------------------------------------------------------------------------------------------

bool IsStricter(const std::optional<double>& rate, const std::optional<double>& other) {
  return rate && (!other || *rate < *other);
}

bool stated_limit::Merge(const limit_statement& added) {
  const std::optional<double> before = known_.rate;
  const bool is_newer = !has_statement_ || added.sent >= known_.received;
  const bool is_older = !is_newer && added.received <= known_.sent;
  if (is_newer) {
    known_ = added;
  } else if (!is_older && !IsStricter(known_.rate, added.rate)) {
    // The order is uncertain: only a request sent after both responses can prove that the limit has ended.
    known_ = {added.rate, std::max(known_.sent, added.sent), std::max(known_.received, added.received)};
  }
  has_statement_ = true;
  return known_.rate != before;
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. schedule of permits
// ---------------------------------------------------------------------------------------------------------------------

void permit_schedule::SetRate(double rate, double share, time_point now) {
  constexpr double kMaxRate = 1e6;  // keeps the interval above 0
  const double assigned = std::clamp(rate * share, settings_.min_rate, kMaxRate);
  interval_ = microseconds(static_cast<std::int64_t>(std::ceil(1e6 / assigned)));
  if (rate != rate_ && rate_ > 0) {
    // Permits of another rate do not delay those of the new one by more than one request.
    next_ = std::min(next_, now + interval_);
  }
  rate_ = rate;
}

permit_slot permit_schedule::Take(double rate, double share, microseconds max_wait, time_point now) {
  SetRate(rate, share, now);
  const time_point start = std::max(next_, now - settings_.burst_time);
  const auto wait = std::chrono::duration_cast<microseconds>(std::max(start, now) - now);
  if (wait > max_wait) {
    return {false, wait};
  }
  next_ = start + interval_;
  return {true, wait};
}

void permit_schedule::Charge(double rate, double share, time_point now) {
  SetRate(rate, share, now);
  next_ = std::max(next_, now - settings_.burst_time) + interval_;
}

microseconds permit_schedule::PredictWait(time_point now) const {
  return std::chrono::duration_cast<microseconds>(std::max(next_, now) - now);
}

permit_slot exclusive_limit::Take(microseconds max_wait, time_point now) {
  return IsLimited() ? schedule_.Take(*Rate(), 1, max_wait, now) : permit_slot{true, microseconds(0)};
}

void exclusive_limit::Charge(time_point now) {
  if (IsLimited()) {
    schedule_.Charge(*Rate(), 1, now);
  }
}

microseconds exclusive_limit::PredictWait(time_point now) const {
  return IsLimited() ? schedule_.PredictWait(now) : microseconds(0);
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. members and home routers
// ---------------------------------------------------------------------------------------------------------------------

namespace {

constexpr milliseconds kExpiryPeriod(1'000);

std::uint64_t Rank(std::uint64_t key, const std::string& router) {
  return RendezvousScore(std::string_view(reinterpret_cast<const char*>(&key), sizeof(key)), router);
}

}  // namespace

bool limit_members::IsAlive(const member& other, time_point now) const {
  const bool is_listed = other.last_listed && now - *other.last_listed <= settings_.listed_time;
  return !other.is_leaving && (is_listed || now - other.last_heard <= settings_.silence_time);
}

bool limit_members::IsEligible(const member& other, time_point now) const {
  return IsAlive(other, now) && now - other.since >= settings_.settle_time;
}

bool limit_members::MayBeHome(const member& other, time_point now) const {
  if (!IsSettled(now)) {
    // A router that has just started does not know how long the others have run.
    return IsAlive(other, now);
  }
  // Of routers that start together, each settles a little before it has heard the others for the settle time. Without
  // this, each of them would be home router of everything meanwhile.
  const bool may_be_settled = now - own_since_ < settings_.settle_time + settings_.join_time &&
                              other.since <= own_since_ + settings_.join_time && IsAlive(other, now);
  return may_be_settled || IsEligible(other, now);
}

void limit_members::RecordHeard(const std::string& address, std::uint64_t incarnation, bool leaving, time_point now) {
  const auto [found, is_new] = others_.try_emplace(address);
  member& other = found->second;
  if (!is_new && IsEligible(other, now)) {
    other.last_eligible = now;
  }
  if (is_new || other.incarnation != incarnation || !IsAlive(other, now)) {
    other.since = now;
    other.last_listed.reset();  // the list may have meant the earlier incarnation
  }
  other.incarnation = incarnation;
  other.is_leaving = leaving;
  other.last_heard = now;
}

void limit_members::RecordListed(const std::string& address, time_point now) {
  if (address == own_address_) {
    own_listed_ = now;
    return;
  }
  const auto found = others_.find(address);
  if (found != others_.end()) {
    found->second.last_listed = now;
    if (IsEligible(found->second, now)) {
      found->second.last_eligible = now;
    }
  }
}

void limit_members::Tick(time_point now) {
  if (now - last_tick_ > settings_.max_tick_delay) {
    own_since_ = now;
  }
  last_tick_ = now;
  // Not with each message: with 370 routers, more than 900 arrive per second.
  if (now - last_expiry_ > kExpiryPeriod) {
    last_expiry_ = now;
    std::erase_if(others_, [&](const auto& item) { return now - item.second.last_heard > settings_.retention; });
  }
}

std::optional<std::string> limit_members::HomeOf(std::uint64_t key, time_point now) const {
  std::optional<std::string> best;
  std::uint64_t best_rank = 0;
  const auto consider = [&](const std::string& address) {
    const std::uint64_t rank = Rank(key, address);
    if (!best || rank > best_rank) {
      best = address;
      best_rank = rank;
    }
  };
  if (IsSettled(now)) {
    consider(own_address_);
  }
  for (const auto& [address, other] : others_) {
    if (MayBeHome(other, now)) {
      consider(address);
    }
  }
  return best;
}

limit_members::home_role limit_members::OwnRole(std::uint64_t key, time_point now) const {
  home_role role;
  if (!IsSettled(now) || HomeOf(key, now) != own_address_) {
    return role;
  }
  role.is_home = true;
  const std::uint64_t own_rank = Rank(key, own_address_);
  const bool has_just_settled = now - own_since_ < settings_.settle_time + settings_.join_time;
  std::uint32_t alive = 1;
  for (const auto& [address, other] : others_) {
    alive += IsAlive(other, now) ? 1 : 0;
    const bool was_home_lately =
        other.last_eligible && now - *other.last_eligible <= settings_.takeover_time && Rank(key, address) > own_rank;
    role.takes_over = role.takes_over || was_home_lately || (has_just_settled && IsEligible(other, now));
  }
  // The others take a router that nobody hears for gone, and the next one by rank assigns the limit.
  if (!own_listed_ || now - *own_listed_ > settings_.unheard_time) {
    alive = 1;
  }
  if (router_count_ != 0) {
    role.side = static_cast<double>(alive) / std::max(alive, router_count_);
  }
  return role;
}

double limit_members::OwnShare(std::uint64_t key, time_point now) const {
  const home_role role = OwnRole(key, now);
  if (!role.is_home) {
    return 0;
  }
  double share = settings_.unknown_count_share;
  if (role.side > 0) {
    // Behind a cut, only the side with most of the routers assigns the whole limit.
    share = role.side > 0.5 ? 1 : role.side / 2;
  }
  return role.takes_over ? share * settings_.takeover_share : share;
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. limits of all endpoints
// ---------------------------------------------------------------------------------------------------------------------

const request_limits::endpoint_state* request_limits::Find(const limited_endpoint& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? nullptr : &found->second;
}

bool request_limits::RecordStatement(const limited_endpoint& endpoint, const limit_statement& statement,
                                     time_point now) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end() && (!statement.rate || endpoints_.size() >= kMaxEndpoints)) {
    return false;
  }
  endpoint_state& state = endpoints_[endpoint];
  const bool has_changed = state.stated.Merge(statement);
  if (has_changed) {
    state.refused_until = now;
    state.changed = now;
  }
  return has_changed;
}

std::optional<double> request_limits::Rate(const limited_endpoint& endpoint) const {
  const endpoint_state* state = Find(endpoint);
  return state == nullptr ? std::nullopt : state->stated.Rate();
}

std::optional<limit_statement> request_limits::Statement(const limited_endpoint& endpoint) const {
  const endpoint_state* state = Find(endpoint);
  return state == nullptr ? std::nullopt : std::optional(state->stated.Known());
}

std::vector<limited_endpoint> request_limits::LimitedEndpoints() const {
  std::vector<limited_endpoint> limited;
  for (const auto& [endpoint, state] : endpoints_) {
    if (state.stated.Rate()) {
      limited.push_back(endpoint);
    }
  }
  return limited;
}

permit_decision request_limits::Decide(const limited_endpoint& endpoint, microseconds max_wait, time_point now) {
  members_.Tick(now);
  if (!Rate(endpoint)) {
    return {permit_verdict::kNoLimit, microseconds(0)};
  }
  const double share = members_.OwnShare(endpoint.key, now);
  if (share <= 0) {
    return {permit_verdict::kNotHome, microseconds(0)};
  }
  endpoint_state& state = endpoints_.at(endpoint);
  if (!state.schedule) {
    state.schedule.emplace(settings_, now);
  }
  const permit_slot slot =
      state.schedule->Take(*state.stated.Rate(), share, std::min<microseconds>(max_wait, settings_.max_wait), now);
  return {slot.granted ? permit_verdict::kGranted : permit_verdict::kRefused, slot.wait};
}

void request_limits::RecordRefusal(const limited_endpoint& endpoint, microseconds wait, time_point now) {
  const auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end()) {
    found->second.refused_until = now + wait;
  }
}

microseconds request_limits::PredictWait(const limited_endpoint& endpoint, time_point now) const {
  const endpoint_state* state = Find(endpoint);
  return state == nullptr || !state->stated.Rate()
             ? microseconds(0)
             : std::chrono::duration_cast<microseconds>(std::max(state->refused_until, now) - now);
}

bool request_limits::IsValid(const limited_endpoint& endpoint, const send_permit& permit, time_point now) const {
  const std::optional<double> rate = Rate(endpoint);
  return !rate || (permit.rate && !IsStricter(rate, permit.rate) && now <= permit.expires);
}

}  // namespace persimmon
