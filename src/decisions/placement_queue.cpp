#include "persimmon/placement_queue.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace persimmon {
namespace {

double Decay(time_point from, time_point to, milliseconds window) {
  const std::chrono::duration<double> elapsed = to - from;
  return std::exp(-std::max(0.0, elapsed / std::chrono::duration<double>(window)));
}

// Of the window, so that a single early request is not taken for a high rate.
constexpr double kMinMeasuredShare = 0.1;

constexpr double kMinBlockedSeconds = 1;  // until a rate of starts counts as measured
// Of all memory and of the backlog. The rest suffices for less urgent requests, also with few engines.
constexpr double kMaxReservedShare = 0.25;

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 2. shares of levels and accounts
// ---------------------------------------------------------------------------------------------------------------------

void decaying_sum::Add(double amount, time_point now, milliseconds window) {
  sum_ = std::max(0.0, At(now, window) + amount);
  updated_ = std::max(updated_, now);
}

double decaying_sum::At(time_point now, milliseconds window) const { return sum_ * Decay(updated_, now, window); }

double placement_queue::Tokens(const placement_request& request) {
  return static_cast<double>(request.memory.held_tokens) + request.memory.remaining_tokens;
}

void placement_queue::RecordStart(const placement_request& request, double sign) {
  const milliseconds window = settings_.share_window;
  const double tokens = sign * Tokens(request);
  all_.started.Add(tokens, now_, window);
  levels_[request.urgency].started.Add(tokens, now_, window);
  if (!request.account.value.empty()) {
    ShareOf(request.account).started.Add(tokens, now_, window);
  }
  first_start_ = first_start_.value_or(now_);
  level_use& use = uses_[request.urgency];
  use.requests.Add(sign, now_, settings_.use_window);
  use.prompt_tokens.Add(sign * request.memory.held_tokens, now_, settings_.use_window);
  use.memory_tokens.Add(tokens, now_, settings_.use_window);
}

void placement_queue::RecordRefusal(const placement_request& request) {
  const milliseconds window = settings_.share_window;
  const double tokens = Tokens(request);
  all_.refused.Add(tokens, now_, window);
  levels_[request.urgency].refused.Add(tokens, now_, window);
  if (!request.account.value.empty()) {
    ShareOf(request.account).refused.Add(tokens, now_, window);
  }
}

// Bounds the memory: forgets accounts without requests in the window, and all if there are too many with some.
service_share& placement_queue::ShareOf(const account_name& account) {
  constexpr std::size_t kMaxRememberedAccounts = 4'096;
  if (accounts_.size() >= kMaxRememberedAccounts && !accounts_.contains(account)) {
    std::erase_if(accounts_, [&](const auto& item) {
      const milliseconds window = settings_.share_window;
      return item.second.started.At(now_, window) + item.second.refused.At(now_, window) < 1;
    });
    if (accounts_.size() >= kMaxRememberedAccounts) {
      accounts_.clear();
    }
  }
  return accounts_[account];
}

bool placement_queue::IsStarved(const service_share& share) const {
  const milliseconds window = settings_.share_window;
  const double started = share.started.At(now_, window);
  const double requested = started + share.refused.At(now_, window);
  const double all_started = all_.started.At(now_, window);
  const double all_requested = all_started + all_.refused.At(now_, window);
  return requested > 0 && started * all_requested < settings_.starved_share * all_started * requested;
}

urgent_use placement_queue::UseAbove(const urgency_level& level, time_point now) const {
  // Before the first window has passed, the sums hold less than one window.
  const double window = std::chrono::duration<double>(settings_.use_window).count();
  const double measured = first_start_ ? 1 - Decay(*first_start_, now, settings_.use_window) : 1;
  const double seconds = window * std::max(measured, kMinMeasuredShare);
  urgent_use sum;
  for (auto use = uses_.begin(); use != uses_.end() && use->first < level; ++use) {
    sum.requests_per_s += use->second.requests.At(now, settings_.use_window) / seconds;
    sum.prompt_tokens_per_s += use->second.prompt_tokens.At(now, settings_.use_window) / seconds;
    sum.memory_tokens_per_s += use->second.memory_tokens.At(now, settings_.use_window) / seconds;
  }
  return sum;
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. queue
// ---------------------------------------------------------------------------------------------------------------------

void placement_queue::Advance(time_point now) {
  if (is_blocked_ && now > now_) {
    blocked_seconds_.Add(std::chrono::duration<double>(now - now_).count(), now, settings_.share_window);
  }
  now_ = std::max(now_, now);
  UpdateBlocked();
}

void placement_queue::UpdateBlocked() {
  is_blocked_ = is_blocked_ && (Size() > 0 || std::any_of(reserving_.begin(), reserving_.end(), [](const auto& item) {
                                  return item.second.has_waited_in_vain;
                                }));
}

std::size_t placement_queue::WaitingCount() const { return Size() + (is_blocked_ ? reserving_.size() : 0); }

std::size_t placement_queue::InTimeCount() const {
  const auto reserving = std::count_if(reserving_.begin(), reserving_.end(),
                                       [&](const auto& item) { return !IsLate(item.second.request); });
  return in_time_.size() + (is_blocked_ ? static_cast<std::size_t>(reserving) : 0);
}

std::optional<double> placement_queue::StartsPerSecond(time_point now) const {
  const double seconds = blocked_seconds_.At(now, settings_.share_window);
  return seconds < kMinBlockedSeconds ? std::nullopt
                                      : std::optional(starts_while_blocked_.At(now, settings_.share_window) / seconds);
}

std::optional<microseconds> placement_queue::PredictWait(const placement_request& request, std::size_t peers_in_time,
                                                         std::uint32_t routers, time_point now) const {
  const double blocked_seconds = blocked_seconds_.At(now, settings_.share_window);
  const bool is_late = request.latest_start < now;
  const order_key key = KeyOf(request, next_sequence_, now);
  const auto count_before = [&](const request_map& requests) {
    return static_cast<double>(std::distance(requests.begin(), requests.lower_bound(key)));
  };
  const auto is_before = [&](const auto& item) {
    const bool is_other_late = item.second.request.latest_start < now;
    return is_other_late == is_late ? KeyOf(item.second.request, item.second.sequence, now) < key : is_late;
  };
  double before = is_late ? static_cast<double>(in_time_.size()) + count_before(late_) +
                                static_cast<double>(peers_in_time) / std::max(1U, routers)
                          : count_before(in_time_);
  if (is_blocked_) {
    before += static_cast<double>(std::count_if(reserving_.begin(), reserving_.end(), is_before));
  }
  if (blocked_seconds < kMinBlockedSeconds || before < 1) {
    return std::nullopt;
  }
  // One more start is assumed, because a short time without any does not show that none will follow.
  const double starts = starts_while_blocked_.At(now, settings_.share_window) + 1;
  return microseconds(static_cast<std::int64_t>(before * blocked_seconds / starts * 1e6));
}

void placement_queue::CountRefusal(const placement_request& request, time_point now) {
  Advance(now);
  RecordRefusal(request);
}

placement_queue::order_key placement_queue::KeyOf(const placement_request& request, std::uint64_t sequence,
                                                  time_point now) {
  const bool is_late = request.latest_start < now;
  return {is_late && !request.is_retry, request.urgency, is_late ? request.expiry : request.latest_start, sequence};
}

void placement_queue::Insert(const placement_request& request, std::uint64_t sequence) {
  request_map& requests = IsLate(request) ? late_ : in_time_;
  requests.emplace(KeyOf(request, sequence, now_), request);
}

bool placement_queue::Add(const placement_request& request, time_point now) {
  Advance(now);
  const bool is_refused =
      IsLate(request) && (request.expiry <= now || WaitingCount() - InTimeCount() >= settings_.late_limit);
  if (is_refused || WaitingCount() >= settings_.request_limit) {
    RecordRefusal(request);
    return false;
  }
  Insert(request, next_sequence_++);
  return true;
}

void placement_queue::Start(const request_id& request, time_point now) {
  Advance(now);
  const auto found = reserving_.find(request);
  if (found != reserving_.end()) {
    starts_while_blocked_.Add(found->second.request.has_blocked_start ? 1 : 0, now_, settings_.share_window);
    reserving_.erase(found);
    UpdateBlocked();
  }
}

placement_request placement_queue::BeginReservation(const request_id& request, bool has_starved_start) {
  const auto is_same = [&](const auto& item) { return item.second.request == request; };
  request_map& requests = std::any_of(in_time_.begin(), in_time_.end(), is_same) ? in_time_ : late_;
  const auto found = std::find_if(requests.begin(), requests.end(), is_same);
  reserving_request reserving{found->second, found->first.sequence, found->first.sequence < waited_sequence_};
  reserving.request.has_blocked_start = is_blocked_;
  reserving.request.has_starved_start = has_starved_start;
  requests.erase(found);
  RecordStart(reserving.request, 1);
  started_as_starved_.Add(has_starved_start ? Tokens(reserving.request) : 0, now_, settings_.share_window);
  return reserving_.insert_or_assign(reserving.request.request, reserving).first->second.request;
}

std::optional<placement_queue::reserving_request> placement_queue::EndReservation(const request_id& request) {
  const auto found = reserving_.find(request);
  if (found == reserving_.end()) {
    return std::nullopt;
  }
  const reserving_request ended = found->second;
  reserving_.erase(found);
  RecordStart(ended.request, -1);
  started_as_starved_.Add(ended.request.has_starved_start ? -Tokens(ended.request) : 0, now_, settings_.share_window);
  return ended;
}

void placement_queue::Requeue(const request_id& request, time_point now) {
  Advance(now);
  if (const auto refused = EndReservation(request)) {
    Insert(refused->request, refused->sequence);
    is_blocked_ = true;
    waited_sequence_ = next_sequence_;
  }
}

bool placement_queue::Remove(const request_id& request) {
  const auto is_same = [&](const auto& item) { return item.second.request == request; };
  const bool was_queued = std::erase_if(in_time_, is_same) + std::erase_if(late_, is_same) > 0;
  const bool was_waiting = was_queued || EndReservation(request).has_value();
  UpdateBlocked();
  return was_waiting;
}

std::vector<placement_request> placement_queue::TakeExpired(time_point now) {
  Advance(now);
  // Within a level, the requests are in the order of their latest start.
  for (auto next = in_time_.begin(); next != in_time_.end();) {
    if (IsLate(next->second)) {
      const auto [key, request] = *next;
      next = in_time_.erase(next);
      Insert(request, key.sequence);
    } else {
      const urgency_level level = next->second.urgency;
      next = std::find_if(next, in_time_.end(), [&](const auto& item) { return item.second.urgency != level; });
    }
  }
  std::vector<placement_request> expired;
  std::erase_if(late_, [&](const auto& item) {
    if (item.second.expiry > now) {
      return false;
    }
    expired.push_back(item.second);
    return true;
  });
  for (const placement_request& request : expired) {
    RecordRefusal(request);
  }
  return expired;
}

const placement_request* placement_queue::FindStarved(const std::set<std::uint64_t>& skipped_groups) const {
  const milliseconds window = settings_.share_window;
  const bool has_refused = all_.refused.At(now_, window) >= 1;
  if (!has_refused ||
      started_as_starved_.At(now_, window) > settings_.max_starved_starts * all_.started.At(now_, window)) {
    return nullptr;
  }
  return FindNext(false, [&](const placement_request& request) {
    const auto level = levels_.find(request.urgency);
    const auto account = accounts_.find(request.account);
    return !skipped_groups.contains(request.engine_group) &&
           ((level != levels_.end() && IsStarved(level->second)) ||
            (account != accounts_.end() && IsStarved(account->second)));
  });
}

// True if less urgent requests, and no more urgent ones, have arrived in the window.
bool placement_queue::IsMostUrgent(const urgency_level& level) const {
  const auto is_used = [&](const auto& item) {
    const milliseconds window = settings_.share_window;
    return item.second.started.At(now_, window) + item.second.refused.At(now_, window) >= 1;
  };
  return std::none_of(levels_.begin(), levels_.lower_bound(level), is_used) &&
         std::any_of(levels_.upper_bound(level), levels_.end(), is_used);
}

const placement_request* placement_queue::FindNext(bool peers_have_in_time_requests,
                                                   const request_filter& accepts) const {
  for (const auto& [key, request] : in_time_) {
    if (accepts(request)) {
      return &request;
    }
  }
  for (const auto& [key, request] : late_) {
    if (accepts(request) && (request.is_resumed || !peers_have_in_time_requests || IsMostUrgent(request.urgency))) {
      return &request;
    }
  }
  return nullptr;
}

placement_step placement_queue::TryNext(const engine_chooser& choose, bool peers_have_in_time_requests,
                                        const std::set<std::uint64_t>& skipped_groups) {
  placement_step step;
  const auto is_in_group = [&](const placement_request& request) {
    return !skipped_groups.contains(request.engine_group);
  };
  const placement_request* starved = FindStarved(skipped_groups);
  const placement_request* next = starved != nullptr ? starved : FindNext(peers_have_in_time_requests, is_in_group);
  if (next == nullptr) {
    return step;
  }
  const placement_request head = *next;
  step.blocked_group = next->engine_group;
  step.engines = choose(*next);
  step.blocked = step.engines.waits_for;
  if (step.blocked != wait_reason::kNone && starved == nullptr) {
    // Only late requests can be more urgent than the head.
    const placement_request* urgent = FindNext(peers_have_in_time_requests, [&](const placement_request& request) {
      return is_in_group(request) && request.urgency < head.urgency;
    });
    if (urgent != nullptr) {
      step.engines = choose(*urgent);
      next = step.engines.waits_for == wait_reason::kNone ? urgent : next;
    }
  }
  if (step.blocked == wait_reason::kPrefillBusy && step.engines.waits_for != wait_reason::kNone) {
    next = FindNext(peers_have_in_time_requests, [&](const placement_request& request) {
      return is_in_group(request) && request.memory.held_tokens <= settings_.local_prefill_limit;
    });
    if (next == nullptr) {
      return step;
    }
    step.engines = choose(*next);
  }
  if (step.engines.waits_for == wait_reason::kNone) {
    step.placed = BeginReservation(next->request, starved != nullptr);
  }
  return step;
}

placement_step placement_queue::TakeNext(const engine_chooser& choose, bool peers_have_in_time_requests) {
  std::set<std::uint64_t> skipped_groups;
  std::optional<placement_step> first_blocked;
  while (true) {
    placement_step step = TryNext(choose, peers_have_in_time_requests, skipped_groups);
    const bool can_skip = !step.placed && step.blocked != wait_reason::kNone && step.blocked_group != 0 &&
                          step.blocked != wait_reason::kPrefillBusy;
    if (!can_skip) {
      if (!step.placed && Size() > 0) {
        is_blocked_ = true;
        waited_sequence_ = next_sequence_;
      }
      UpdateBlocked();
      const bool reports_first = !step.placed && step.blocked == wait_reason::kNone && first_blocked;
      return reports_first ? *first_blocked : step;
    }
    skipped_groups.insert(step.blocked_group);
    first_blocked = first_blocked.value_or(step);
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. room for urgent requests
// ---------------------------------------------------------------------------------------------------------------------

void ReserveForUrgent(const urgent_use& use, std::uint32_t routers, milliseconds time,
                      std::span<engine_view> decode_engines, std::size_t prefill_engines,
                      placement_settings& settings) {
  if (use.requests_per_s <= 0 || use.memory_tokens_per_s <= 0 || decode_engines.empty()) {
    return;
  }
  const double seconds = std::chrono::duration<double>(time).count() * routers;
  const double memory = std::accumulate(decode_engines.begin(), decode_engines.end(), 0.0,
                                        [](double sum, const engine_view& engine) { return sum + engine.kv_tokens; });
  const double block = use.memory_tokens_per_s / use.requests_per_s;
  const double blocks = std::min(std::round(use.requests_per_s * seconds), kMaxReservedShare * memory / block);
  for (std::size_t i = 0; i < static_cast<std::size_t>(blocks); ++i) {
    decode_engines[i % decode_engines.size()].headroom_tokens += static_cast<std::uint32_t>(block);
  }
  const double backlog = use.prompt_tokens_per_s * seconds / std::max<double>(1, static_cast<double>(prefill_engines));
  settings.max_prefill_backlog -=
      static_cast<std::uint32_t>(std::min(kMaxReservedShare * settings.max_prefill_backlog, backlog));
}

}  // namespace persimmon
