// Sections
//   1. predictions
//   2. reservations and bids
//   3. starts and releases
//   4. openings and counts
#include "persimmon/slots.h"

#include <algorithm>
#include <tuple>

namespace persimmon {
namespace {

// Assumed remaining time of a running request that has reached its predicted length.
constexpr milliseconds kMinRemainingTime(1);

// A waiting entry whose start is overdue, and a refused decode request, are checked again after this time, or earlier
// when a slot is released.
constexpr milliseconds kRecheckDelay(20);

milliseconds RoundUp(std::chrono::nanoseconds duration) {
  return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(duration));
}

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. predictions
// ---------------------------------------------------------------------------------------------------------------------

microseconds slot_table::PredictDuration(const slot_request& request) const {
  if (request.kind == slot_kind::kPrefill) {
    const double seconds = request.prompt_tokens / std::max(1.0, speed_.prefill_tokens_per_s);
    return microseconds(static_cast<std::int64_t>(seconds * 1e6));
  }
  return speed_.token_interval * static_cast<std::int64_t>(std::max(1U, request.output_tokens));
}

time_point slot_table::PredictBegin(const slot_entry& entry, time_point now) const {
  return entry.phase == slot_phase::kRunning ? now : std::max(now, entry.start);
}

time_point slot_table::PredictEnd(const slot_entry& entry, time_point now) const {
  if (entry.phase != slot_phase::kRunning) {
    return PredictBegin(entry, now) + PredictDuration(entry.request);
  }
  slot_request remaining = entry.request;
  std::uint32_t& total = remaining.kind == slot_kind::kPrefill ? remaining.prompt_tokens : remaining.output_tokens;
  total -= std::min(total, entry.tokens_done);
  // Prefill progress is reported in chunks, so the time since the last report counts as progress; decode progress is
  // reported for every token.
  const bool is_prefill = remaining.kind == slot_kind::kPrefill;
  const time_point from = is_prefill ? entry.last_progress : std::max(entry.last_progress, now - speed_.token_interval);
  return std::max(now + kMinRemainingTime, from + PredictDuration(remaining));
}

// Highest number of slots in use at any time between begin and end.
std::uint32_t slot_table::PeakUsage(slot_kind kind, time_point begin, time_point end, time_point now,
                                    const attempt_id& except) const {
  struct interval {
    time_point begin;
    time_point end;
  };
  std::vector<interval> intervals;
  std::vector<time_point> points = {begin};
  for (const auto& [attempt, entry] : entries_) {
    if (entry.request.kind == kind && attempt != except) {
      intervals.push_back({PredictBegin(entry, now), PredictEnd(entry, now)});
      if (intervals.back().begin > begin && intervals.back().begin < end) {
        points.push_back(intervals.back().begin);
      }
    }
  }
  std::uint32_t peak = 0;
  for (const time_point point : points) {
    const auto count = std::count_if(intervals.begin(), intervals.end(), [point](const interval& taken) {
      return taken.begin <= point && point < taken.end;
    });
    peak = std::max(peak, static_cast<std::uint32_t>(count));
  }
  return peak;
}

milliseconds slot_table::PredictFree(slot_kind kind, time_point now) const {
  if (CountEntries(kind) < Slots(kind)) {
    return milliseconds(0);
  }
  std::vector<time_point> ends;
  for (const auto& [attempt, entry] : entries_) {
    if (entry.request.kind == kind) {
      ends.push_back(PredictEnd(entry, now));
    }
  }
  if (ends.empty() || Slots(kind) == 0) {
    return RoundUp(settings_.max_lead);
  }
  // A new entry can start once enough entries have ended to leave one slot free.
  std::sort(ends.begin(), ends.end());
  const std::size_t index = ends.size() - Slots(kind);
  return RoundUp(ends[index] - now);
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. reservations and bids
// ---------------------------------------------------------------------------------------------------------------------

void slot_table::SetSlots(std::uint32_t prefill_slots, std::uint32_t decode_slots) {
  settings_.prefill_slots = prefill_slots;
  settings_.decode_slots = decode_slots;
}

bool slot_table::IsSuspectBlocked(const slot_request& request) const {
  return request.suspect && std::any_of(entries_.begin(), entries_.end(), [&request](const auto& item) {
           return item.second.request.suspect && item.first != request.attempt;
         });
}

std::optional<slot_verdict> slot_table::FindRefusal(const slot_request& request) const {
  if (leaving_) {
    return slot_verdict::kLeaving;
  }
  if (!IsOpen(request.kind)) {
    return slot_verdict::kWrongRole;
  }
  if (entries_.count(request.attempt) != 0) {
    return slot_verdict::kDuplicate;
  }
  if (IsSuspectBlocked(request)) {
    return slot_verdict::kSuspectRunning;
  }
  return std::nullopt;
}

bool slot_table::IsPrefillOpen(time_point now) const {
  if (leaving_ || !IsOpen(slot_kind::kPrefill)) {
    return false;
  }
  std::uint32_t occupied = 0;
  for (const auto& [attempt, entry] : entries_) {
    const bool ends_soon = entry.phase == slot_phase::kRunning && PredictEnd(entry, now) <= now + settings_.lookahead;
    occupied += entry.request.kind == slot_kind::kPrefill && !ends_soon ? 1 : 0;
  }
  return occupied < settings_.prefill_slots;
}

void slot_table::UpdatePrefillOpening(time_point now) {
  const bool open = IsPrefillOpen(now);
  if (open && !prefill_open_since_) {
    prefill_open_since_ = now;
    prefill_announced_ = false;
  } else if (!open) {
    prefill_open_since_.reset();
  }
}

bool slot_table::HasFreeSlot(const slot_request& request, time_point now) const {
  if (request.kind == slot_kind::kPrefill) {
    return IsPrefillOpen(now);
  }
  const time_point begin = std::max(now, request.start);
  const time_point end = begin + PredictDuration(request);
  return begin - now <= settings_.max_lead &&
         PeakUsage(slot_kind::kDecode, begin, end, now, request.attempt) < settings_.decode_slots;
}

std::optional<time_point> slot_table::WindowEnd(slot_kind kind) const {
  if (kind == slot_kind::kDecode) {
    return decode_window_end_;
  }
  return prefill_open_since_ ? std::optional(*prefill_open_since_ + settings_.bid_window) : std::nullopt;
}

bool slot_table::HasBid(slot_kind kind) const {
  return std::any_of(bids_.begin(), bids_.end(), [kind](const bid& item) { return item.request.kind == kind; });
}

std::optional<slot_decision> slot_table::ReserveSlot(const slot_request& request, time_point now) {
  if (const auto refusal = FindRefusal(request)) {
    return Refuse(request, *refusal, now);
  }
  const bool has_bid = std::any_of(bids_.begin(), bids_.end(),
                                   [&request](const bid& item) { return item.request.attempt == request.attempt; });
  if (has_bid) {
    return Refuse(request, slot_verdict::kDuplicate, now);
  }
  if (request.kind == slot_kind::kPrefill) {
    UpdatePrefillOpening(now);
  } else if (decode_contended_ && !decode_window_end_) {
    decode_window_end_ = now + settings_.bid_window;
  }
  const auto window_end = WindowEnd(request.kind);
  // A bid that arrives after the window but before the decision must not be granted before the collected bids.
  if ((window_end && now < *window_end) || HasBid(request.kind)) {
    bids_.push_back({request, ++last_bid_sequence_});
    return std::nullopt;
  }
  return HasFreeSlot(request, now) ? Grant(request, now) : Refuse(request, slot_verdict::kBusy, now);
}

std::vector<slot_decision> slot_table::DecideBids(time_point now) {
  std::vector<slot_decision> decisions;
  for (const slot_kind kind : {slot_kind::kPrefill, slot_kind::kDecode}) {
    const auto window_end = WindowEnd(kind);
    if (window_end && now < *window_end) {
      continue;
    }
    std::vector<bid> due;
    const auto is_other = [kind](const bid& item) { return item.request.kind != kind; };
    const auto first_due = std::stable_partition(bids_.begin(), bids_.end(), is_other);
    due.assign(first_due, bids_.end());
    bids_.erase(first_due, bids_.end());
    std::sort(due.begin(), due.end(), [](const bid& left, const bid& right) {
      return std::tie(left.request.latest_start, left.sequence) < std::tie(right.request.latest_start, right.sequence);
    });
    if (kind == slot_kind::kDecode && window_end) {
      decode_window_end_.reset();
      decode_contended_ = false;  // a refusal below sets it again
    }
    for (const bid& item : due) {
      const auto refusal = FindRefusal(item.request);
      if (refusal) {
        decisions.push_back(Refuse(item.request, *refusal, now));
      } else if (HasFreeSlot(item.request, now)) {
        decisions.push_back(Grant(item.request, now));
      } else {
        decisions.push_back(Refuse(item.request, slot_verdict::kBusy, now));
      }
    }
  }
  return decisions;
}

slot_decision slot_table::Grant(const slot_request& request, time_point now) {
  slot_entry entry;
  entry.request = request;
  entry.request.hold = std::min(request.hold, settings_.max_hold);
  if (request.kind == slot_kind::kPrefill) {
    entry.start = now + PredictFree(slot_kind::kPrefill, now);
  } else {
    entry.start = std::max(now, request.start);
  }
  entries_[request.attempt] = entry;
  if (request.kind == slot_kind::kPrefill) {
    UpdatePrefillOpening(now);
  }
  return {request, slot_verdict::kGranted, entry.start, milliseconds(0)};
}

slot_decision slot_table::Refuse(const slot_request& request, slot_verdict verdict, time_point now) {
  slot_decision decision{request, verdict, now, PredictFree(request.kind, now)};
  if (request.kind == slot_kind::kPrefill) {
    decision.retry = std::max(milliseconds(0), decision.retry - settings_.lookahead);
  }
  if (verdict == slot_verdict::kBusy && request.kind == slot_kind::kDecode) {
    const auto lead = std::chrono::duration_cast<microseconds>(std::max(now, request.start) - now);
    decode_contended_ = true;
    if (!decode_refused_ || lead > decode_refused_lead_) {
      decode_refused_ = request;
      decode_refused_lead_ = std::min<microseconds>(lead, settings_.max_lead);
    }
  }
  return decision;
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. starts and releases
// ---------------------------------------------------------------------------------------------------------------------

bool slot_table::CanRun(const slot_entry& entry, time_point now) const {
  const slot_kind kind = entry.request.kind;
  if (CountRunning(kind) >= Slots(kind)) {
    return false;
  }
  if (kind == slot_kind::kPrefill || now >= entry.start) {
    return true;
  }
  const bool has_many_free_slots = CountFree(kind) >= settings_.early_start_free_share * Slots(kind);
  if (now + entry.lead < entry.start && !has_many_free_slots) {
    return false;
  }
  // An early start must not use the slot of a reservation that starts before this one.
  return PeakUsage(kind, now, entry.start, now, entry.request.attempt) < Slots(kind);
}

start_verdict slot_table::TryStart(slot_entry& entry, time_point now) {
  if (!CanRun(entry, now)) {
    entry.phase = slot_phase::kWaiting;
    return start_verdict::kWaiting;
  }
  entry.phase = slot_phase::kRunning;
  entry.start = now;
  entry.last_progress = now;
  return start_verdict::kStarted;
}

start_verdict slot_table::StartSlot(const attempt_id& attempt, microseconds lead, time_point now) {
  const auto found = entries_.find(attempt);
  if (found == entries_.end()) {
    return start_verdict::kUnknown;
  }
  slot_entry& entry = found->second;
  if (entry.phase == slot_phase::kRunning) {
    return start_verdict::kStarted;
  }
  entry.lead = lead;
  return TryStart(entry, now);
}

start_verdict slot_table::StartUnreserved(const slot_request& request, time_point now) {
  const auto [found, inserted] = entries_.try_emplace(request.attempt);
  if (inserted) {
    found->second.request = request;
    found->second.start = now;
  }
  return found->second.phase == slot_phase::kRunning ? start_verdict::kStarted : TryStart(found->second, now);
}

std::vector<attempt_id> slot_table::TakeDueStarts(time_point now) {
  std::vector<std::pair<time_point, attempt_id>> waiting;
  for (const auto& [attempt, entry] : entries_) {
    if (entry.phase == slot_phase::kWaiting) {
      waiting.emplace_back(entry.start, attempt);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  std::vector<attempt_id> started;
  for (const auto& [start, attempt] : waiting) {
    if (TryStart(entries_.at(attempt), now) == start_verdict::kStarted) {
      started.push_back(attempt);
    }
  }
  return started;
}

void slot_table::UpdateProgress(const attempt_id& attempt, std::uint32_t tokens_done, time_point now) {
  const auto found = entries_.find(attempt);
  if (found != entries_.end() && tokens_done > found->second.tokens_done) {
    found->second.tokens_done = tokens_done;
    found->second.last_progress = now;
  }
}

bool slot_table::ReleaseSlot(const attempt_id& attempt) {
  const auto before = bids_.size();
  bids_.erase(std::remove_if(bids_.begin(), bids_.end(),
                             [&attempt](const bid& item) { return item.request.attempt == attempt; }),
              bids_.end());
  return entries_.erase(attempt) != 0 || bids_.size() != before;
}

std::vector<attempt_id> slot_table::ExpireReservations(time_point now) {
  std::vector<attempt_id> expired;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const bool is_expired =
        entry->second.phase == slot_phase::kReserved && now > entry->second.start + entry->second.request.hold;
    if (is_expired) {
      expired.push_back(entry->first);
      entry = entries_.erase(entry);
    } else {
      ++entry;
    }
  }
  return expired;
}

std::vector<attempt_id> slot_table::DropRouter(const router_identity& router) {
  std::vector<attempt_id> dropped;
  std::vector<attempt_id> unused;
  for (const bid& item : bids_) {
    if (item.request.router == router) {
      unused.push_back(item.request.attempt);
    }
  }
  for (const auto& [attempt, entry] : entries_) {
    if (entry.request.router != router) {
      continue;
    }
    (entry.phase == slot_phase::kRunning ? dropped : unused).push_back(attempt);
  }
  for (const attempt_id& attempt : unused) {
    ReleaseSlot(attempt);
  }
  dropped.insert(dropped.end(), unused.begin(), unused.end());
  return dropped;
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. openings and counts
// ---------------------------------------------------------------------------------------------------------------------

std::vector<slot_opening> slot_table::TakeOpenings(time_point now) {
  std::vector<slot_opening> openings;
  UpdatePrefillOpening(now);
  if (prefill_open_since_ && !prefill_announced_) {
    prefill_announced_ = true;
    openings.push_back({slot_kind::kPrefill, PredictFree(slot_kind::kPrefill, now)});
  }
  if (decode_refused_ && !leaving_ && IsOpen(slot_kind::kDecode)) {
    slot_request wanted = *decode_refused_;
    wanted.start = now + decode_refused_lead_;
    if (HasFreeSlot(wanted, now)) {
      decode_refused_.reset();
      openings.push_back({slot_kind::kDecode, PredictFree(slot_kind::kDecode, now)});
    }
  }
  return openings;
}

std::vector<slot_opening> slot_table::ListOpenings(time_point now) const {
  std::vector<slot_opening> openings;
  if (IsPrefillOpen(now)) {
    openings.push_back({slot_kind::kPrefill, PredictFree(slot_kind::kPrefill, now)});
  }
  if (!leaving_ && IsOpen(slot_kind::kDecode) && CountFree(slot_kind::kDecode) > 0) {
    openings.push_back({slot_kind::kDecode, milliseconds(0)});
  }
  return openings;
}

std::optional<time_point> slot_table::NextDue(time_point now) const {
  std::optional<time_point> due;
  const auto consider = [&due](time_point when) { due = due ? std::min(*due, when) : when; };
  for (const bid& item : bids_) {
    consider(WindowEnd(item.request.kind).value_or(now));
  }
  for (const auto& [attempt, entry] : entries_) {
    switch (entry.phase) {
      case slot_phase::kReserved:
        consider(entry.start + entry.request.hold + milliseconds(1));
        break;
      case slot_phase::kWaiting:
        consider(std::max(entry.start - entry.lead, now + kRecheckDelay));
        break;
      case slot_phase::kRunning:
        if (entry.request.kind == slot_kind::kPrefill && !prefill_open_since_ && !leaving_ &&
            IsOpen(slot_kind::kPrefill) && CountEntries(slot_kind::kPrefill) <= settings_.prefill_slots) {
          consider(std::max(now + milliseconds(1), PredictEnd(entry, now) - settings_.lookahead));
        }
        break;
    }
  }
  if (decode_refused_) {
    consider(now + kRecheckDelay);
  }
  return due;
}

const slot_entry* slot_table::FindEntry(const attempt_id& attempt) const {
  const auto found = entries_.find(attempt);
  return found == entries_.end() ? nullptr : &found->second;
}

std::uint32_t slot_table::CountRunning(slot_kind kind) const {
  return static_cast<std::uint32_t>(std::count_if(entries_.begin(), entries_.end(), [kind](const auto& item) {
    return item.second.request.kind == kind && item.second.phase == slot_phase::kRunning;
  }));
}

std::uint32_t slot_table::CountEntries(slot_kind kind) const {
  return static_cast<std::uint32_t>(std::count_if(
      entries_.begin(), entries_.end(), [kind](const auto& item) { return item.second.request.kind == kind; }));
}

std::uint32_t slot_table::CountFree(slot_kind kind) const {
  const std::uint32_t used = CountEntries(kind);
  return used < Slots(kind) ? Slots(kind) - used : 0;
}

std::uint32_t slot_table::Slots(slot_kind kind) const {
  return kind == slot_kind::kPrefill ? settings_.prefill_slots : settings_.decode_slots;
}

std::uint32_t slot_table::QueuedPromptTokens() const {
  std::uint32_t tokens = 0;
  for (const auto& [attempt, entry] : entries_) {
    if (entry.request.kind == slot_kind::kPrefill) {
      tokens += entry.request.prompt_tokens - std::min(entry.request.prompt_tokens, entry.tokens_done);
    }
  }
  return tokens;
}

}  // namespace persimmon
