#include "persimmon/stream_origins.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "persimmon/selection.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. where streams may have begun
// ---------------------------------------------------------------------------------------------------------------------

void recent_names::Set(name_set names, time_point now) {
  for (const std::string& name : current_) {
    if (!names.contains(name)) {
      last_seen_[name] = now;
    }
  }
  current_ = std::move(names);
}

void recent_names::AddSeen(const name_set& names, time_point now) {
  for (const std::string& name : names) {
    last_seen_.insert_or_assign(name, now);
  }
}

name_set recent_names::Candidates(time_point now, milliseconds retention) const {
  name_set candidates = current_;
  for (const auto& [name, seen] : last_seen_) {
    if (now - seen < retention) {
      candidates.insert(name);
    }
  }
  return candidates;
}

void recent_names::RemoveExpired(time_point now, milliseconds retention) {
  std::erase_if(last_seen_, [&](const auto& item) { return now - item.second >= retention; });
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. origins of streams
// ---------------------------------------------------------------------------------------------------------------------

std::uint64_t VersionKey(std::string_view service, std::string_view version) {
  return std::max<std::uint64_t>(RendezvousScore(service, version), 1);
}

origin_key OriginKey(std::string_view attempt) { return RendezvousScore("", attempt); }

stream_origin_table::origin_state& stream_origin_table::Insert(const stream_origin& origin) {
  if (origins_.size() >= settings_.max_origins) {
    RemoveExpired(by_expiry_.begin()->first);
  }
  origin_state& state = origins_[origin.attempt];
  state.version = origin.version;
  state.expiry = origin.expiry;
  by_expiry_.emplace(origin.expiry, origin.attempt);
  return state;
}

void stream_origin_table::Record(const stream_origin& origin) {
  const auto found = origins_.find(origin.attempt);
  if (found == origins_.end()) {
    Insert(origin).is_own = true;
    unsent_.insert(origin.attempt);
    return;
  }
  found->second.is_own = true;
  if (origin.expiry > found->second.expiry) {
    found->second.expiry = origin.expiry;
    found->second.copies.clear();  // the holders have the earlier expiry
    found->second.generation = 0;
    unsent_.insert(origin.attempt);
    by_expiry_.emplace(origin.expiry, origin.attempt);
  }
}

void stream_origin_table::RecordCopy(const stream_origin& origin) {
  if (origins_.contains(origin.attempt)) {
    return;
  }
  origin_state& state = Insert(origin);
  PlaceCopies(origin.attempt, state);
  for (copy_state& copy : state.copies) {
    copy.is_held = true;
  }
}

std::optional<std::uint64_t> stream_origin_table::Find(origin_key attempt, time_point now) const {
  const auto found = origins_.find(attempt);
  return found != origins_.end() && now < found->second.expiry ? std::optional(found->second.version) : std::nullopt;
}

void stream_origin_table::SetHolders(std::vector<origin_holder> holders) {
  std::sort(holders.begin(), holders.end());
  if (holders == holders_) {
    return;
  }
  holders_ = std::move(holders);
  ++generation_;
  for (auto& [attempt, state] : origins_) {
    if (!std::exchange(state.is_misplaced, true)) {
      misplaced_.push_back(attempt);
    }
  }
}

std::vector<origin_holder> stream_origin_table::HoldersOf(origin_key attempt) const {
  const std::string_view chooser(reinterpret_cast<const char*>(&attempt), sizeof(attempt));
  std::vector<std::pair<std::uint64_t, const origin_holder*>> ranked;
  ranked.reserve(holders_.size());
  for (const origin_holder& holder : holders_) {
    ranked.emplace_back(RendezvousScore(chooser, holder.address), &holder);
  }
  const auto count = std::min(settings_.copies, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                    [](const auto& left, const auto& right) { return left.first > right.first; });
  std::vector<origin_holder> chosen;
  for (std::size_t i = 0; i < count; ++i) {
    if (ranked[i].second->address != own_address_) {
      chosen.push_back(*ranked[i].second);
    }
  }
  return chosen;
}

// Keeps the state of copies whose holder is chosen again. A holder that has restarted gets its copy again.
void stream_origin_table::PlaceCopies(origin_key attempt, origin_state& state) const {
  std::vector<copy_state> copies;
  for (const origin_holder& holder : HoldersOf(attempt)) {
    const auto known = std::find_if(state.copies.begin(), state.copies.end(),
                                    [&](const copy_state& copy) { return copy.holder == holder; });
    copies.push_back(known != state.copies.end() ? *known : copy_state{holder, 0, {}, false});
  }
  state.copies = std::move(copies);
  state.generation = generation_;
}

void stream_origin_table::PlaceMisplaced() {
  for (std::size_t placed = 0; placed < settings_.max_replaced && !misplaced_.empty(); misplaced_.pop_front()) {
    const auto found = origins_.find(misplaced_.front());
    if (found == origins_.end()) {
      continue;
    }
    found->second.is_misplaced = false;
    if (found->second.generation != generation_) {
      PlaceCopies(found->first, found->second);
      unsent_.insert(found->first);
      ++placed;
    }
  }
}

std::map<origin_holder, std::vector<stream_origin>> stream_origin_table::TakeDueCopies(time_point now) {
  PlaceMisplaced();
  std::map<origin_holder, std::vector<stream_origin>> due;
  for (auto item = unsent_.begin(); item != unsent_.end();) {
    const auto found = origins_.find(*item);
    if (found == origins_.end() || now >= found->second.expiry) {
      item = unsent_.erase(item);
      continue;
    }
    origin_state& state = found->second;
    if (state.generation != generation_) {
      PlaceCopies(found->first, state);
    }
    bool is_unsent = false;
    for (copy_state& copy : state.copies) {
      if (copy.is_held || copy.sends >= settings_.max_sends) {
        continue;
      }
      is_unsent = true;
      if (copy.sends > 0 && now - copy.sent_at < settings_.resend_interval) {
        continue;
      }
      ++copy.sends;
      copy.sent_at = now;
      due[copy.holder].push_back({found->first, state.version, state.expiry});
    }
    item = is_unsent ? std::next(item) : unsent_.erase(item);
  }
  return due;
}

void stream_origin_table::RecordHeld(const origin_holder& holder, const std::vector<origin_key>& attempts) {
  for (const origin_key attempt : attempts) {
    const auto found = origins_.find(attempt);
    if (found == origins_.end()) {
      continue;
    }
    for (copy_state& copy : found->second.copies) {
      copy.is_held = copy.is_held || copy.holder == holder;
    }
  }
}

std::vector<stream_origin> stream_origin_table::TakeUnlogged(
    const std::function<bool(std::uint64_t version)>& needs_log, time_point now) {
  std::vector<stream_origin> unlogged;
  for (auto& [attempt, state] : origins_) {
    if (state.is_own && !state.is_logged && now < state.expiry && needs_log(state.version)) {
      state.is_logged = true;
      unlogged.push_back({attempt, state.version, state.expiry});
    }
  }
  return unlogged;
}

void stream_origin_table::ForgetLogged() {
  for (auto& [attempt, state] : origins_) {
    state.is_logged = false;
  }
}

void stream_origin_table::RemoveExpired(time_point now) {
  const auto end = by_expiry_.upper_bound(now);
  for (auto item = by_expiry_.begin(); item != end; ++item) {
    const auto found = origins_.find(item->second);
    if (found != origins_.end() && found->second.expiry <= now) {
      origins_.erase(found);
    }
  }
  by_expiry_.erase(by_expiry_.begin(), end);
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. confirmations of the record of versions
// ---------------------------------------------------------------------------------------------------------------------

void record_confirmations::Begin(std::uint64_t era, time_point now, const std::vector<origin_holder>& routers,
                                 bool knows_all) {
  era_ = era;
  began_ = now;
  unconfirmed_.insert(routers.begin(), routers.end());  // those of the era before still count
  knows_all_ = knows_all;
}

void record_confirmations::RecordConfirmed(const origin_holder& router, std::uint64_t era) {
  if (era >= era_) {
    unconfirmed_.erase(router);
  }
}

bool record_confirmations::IsDoubtful(time_point now, milliseconds retention) const {
  return era_ != 0 && now - began_ < retention && !(unconfirmed_.empty() && knows_all_);
}

}  // namespace persimmon
