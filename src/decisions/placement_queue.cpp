#include "persimmon/placement_queue.h"

#include <algorithm>

namespace persimmon {

void placement_queue::Insert(const placement_request& request, time_point now) {
  const bool is_late = request.latest_start < now;
  request_map& requests = is_late ? late_ : in_time_;
  requests.emplace(order_key{is_late ? request.expiry : request.latest_start, next_sequence_++}, request);
}

bool placement_queue::Add(const placement_request& request, time_point now) {
  const bool is_late = request.latest_start < now;
  const bool is_refused = is_late && (request.expiry <= now || late_.size() >= settings_.late_limit);
  if (is_refused || Size() >= settings_.request_limit) {
    return false;
  }
  Insert(request, now);
  return true;
}

void placement_queue::Requeue(const placement_request& request, time_point now) { Insert(request, now); }

bool placement_queue::Remove(const request_id& request) {
  const auto is_same = [&](const auto& item) { return item.second.request == request; };
  return std::erase_if(in_time_, is_same) + std::erase_if(late_, is_same) > 0;
}

std::vector<placement_request> placement_queue::TakeExpired(time_point now) {
  while (!in_time_.empty() && in_time_.begin()->first.time < now) {
    const placement_request request = in_time_.begin()->second;
    in_time_.erase(in_time_.begin());
    Insert(request, now);
  }
  std::vector<placement_request> expired;
  while (!late_.empty() && late_.begin()->first.time <= now) {
    expired.push_back(late_.begin()->second);
    late_.erase(late_.begin());
  }
  return expired;
}

const placement_request* placement_queue::FindNext(bool peers_have_in_time_requests, bool short_prompts_only,
                                                   const std::set<std::uint64_t>& skipped_groups) const {
  const auto is_suitable = [&](const placement_request& request) {
    return !skipped_groups.contains(request.engine_group) &&
           (!short_prompts_only || request.memory.held_tokens <= settings_.local_prefill_limit);
  };
  for (const auto& [key, request] : in_time_) {
    if (is_suitable(request)) {
      return &request;
    }
  }
  for (const auto& [key, request] : late_) {
    if (is_suitable(request) && (request.is_resumed || !peers_have_in_time_requests)) {
      return &request;
    }
  }
  return nullptr;
}

placement_step placement_queue::TryNext(const engine_chooser& choose, bool peers_have_in_time_requests,
                                        const std::set<std::uint64_t>& skipped_groups) {
  placement_step step;
  const placement_request* next = FindNext(peers_have_in_time_requests, false, skipped_groups);
  if (next == nullptr) {
    return step;
  }
  step.blocked_group = next->engine_group;
  step.engines = choose(*next);
  step.blocked = step.engines.waits_for;
  if (step.blocked == wait_reason::kPrefillBusy) {
    next = FindNext(peers_have_in_time_requests, true, skipped_groups);
    if (next == nullptr) {
      return step;
    }
    step.engines = choose(*next);
  }
  if (step.engines.waits_for == wait_reason::kNone) {
    step.placed = *next;
    Remove(step.placed->request);
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
      const bool reports_first = !step.placed && step.blocked == wait_reason::kNone && first_blocked;
      return reports_first ? *first_blocked : step;
    }
    skipped_groups.insert(step.blocked_group);
    first_blocked = first_blocked.value_or(step);
  }
}

}  // namespace persimmon
