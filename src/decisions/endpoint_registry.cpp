#include "persimmon/endpoint_registry.h"

#include <algorithm>
#include <set>

namespace persimmon {

void endpoint_registry::PutEntry(const endpoint_entry& entry) {
  endpoint_entry& stored = entries_.insert_or_assign(entry.name, stored_entry{entry, {}, {}}).first->second.entry;
  removed_.erase(entry.name);
  const auto left = leaving_.find(entry.name);
  if (left != leaving_.end() && left->second.started_ms == entry.started_ms) {
    stored.draining = true;
  } else if (stored.draining) {
    leaving_.insert_or_assign(entry.name, past_incarnation{entry.started_ms, {}});
  }
}

bool endpoint_registry::RecordLeaving(const endpoint_name& name, std::uint64_t started_ms, time_point now) {
  const auto left = leaving_.find(name);
  if (left != leaving_.end() && left->second.started_ms >= started_ms) {
    return false;
  }
  leaving_.insert_or_assign(name, past_incarnation{started_ms, now});
  const auto found = entries_.find(name);
  if (found != entries_.end() && found->second.entry.started_ms == started_ms) {
    found->second.entry.draining = true;
  }
  return true;
}

bool endpoint_registry::ReceivesWork(const endpoint_name& name, std::uint64_t started_ms) const {
  const auto found = entries_.find(name);
  return found != entries_.end() && found->second.ReceivesWork() && found->second.entry.started_ms == started_ms;
}

std::optional<time_point> endpoint_registry::RemoveEntry(const endpoint_name& name, time_point now) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  if (const auto left = leaving_.find(name); left != leaving_.end()) {
    left->second.remembered_from = now;
  }
  removed_.insert_or_assign(name, past_incarnation{found->second.entry.started_ms, now});
  const bool may_have_expired = now < grace_end_ && !found->second.entry.draining;
  if (!may_have_expired) {
    entries_.erase(found);
    return std::nullopt;
  }
  if (!found->second.remove_at) {
    found->second.remove_at = grace_end_;
  }
  return found->second.remove_at;
}

void endpoint_registry::ReplaceAll(const std::vector<endpoint_entry>& entries, bool after_outage, time_point now) {
  if (after_outage) {
    RecordStoreRecovery(now);
  }
  std::set<endpoint_name> present;
  for (const endpoint_entry& entry : entries) {
    present.insert(entry.name);
    const auto known = entries_.find(entry.name);
    const bool is_unchanged = known != entries_.end() && known->second.unknown_until && known->second.entry == entry;
    if (!is_unchanged) {  // reading a restored entry again does not show that its endpoint is there
      PutEntry(entry);
    }
  }
  std::vector<endpoint_name> missing;
  for (const auto& [name, stored] : entries_) {
    if (!present.contains(name)) {
      missing.push_back(name);
    }
  }
  for (const endpoint_name& name : missing) {
    RemoveEntry(name, now);
  }
}

void endpoint_registry::ReplaceAllRestored(const std::vector<endpoint_entry>& entries, time_point now) {
  const std::map<endpoint_name, past_incarnation> removed_before = removed_;
  ReplaceAll(entries, true, now);
  for (const endpoint_entry& entry : entries) {
    const auto removed = removed_before.find(entry.name);
    const bool was_removed = removed != removed_before.end() && removed->second.started_ms == entry.started_ms;
    std::optional<time_point>& unknown_until = entries_.at(entry.name).unknown_until;
    if (was_removed || unknown_until) {
      unknown_until = now + settings_.restored_entry_check;
    }
  }
}

bool endpoint_registry::RemoveExpiredEntries(time_point now) {
  for (auto* remembered : {&leaving_, &removed_}) {
    std::erase_if(*remembered, [&](const auto& item) {
      return !entries_.contains(item.first) && now - item.second.remembered_from > settings_.leaving_retention;
    });
  }
  bool changed = false;
  for (auto& [name, stored] : entries_) {
    if (stored.unknown_until && *stored.unknown_until <= now) {
      stored.unknown_until.reset();
      changed = true;
    }
  }
  const auto removed = std::erase_if(
      entries_, [now](const auto& item) { return item.second.remove_at && *item.second.remove_at <= now; });
  return changed || removed > 0;
}

const endpoint_entry* endpoint_registry::Find(const endpoint_name& name) const {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : &found->second.entry;
}

std::vector<const endpoint_entry*> endpoint_registry::ListReady(const std::string& service) const {
  std::vector<const endpoint_entry*> ready;
  for (const auto& [name, stored] : entries_) {
    if (stored.entry.service == service && stored.ReceivesWork()) {
      ready.push_back(&stored.entry);
    }
  }
  return ready;
}

bool endpoint_registry::HasDecodeEngine(const std::string& service, const std::string& version) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    const endpoint_entry& entry = item.second.entry;
    return entry.service == service && entry.version == version && entry.role == endpoint_role::kDecode &&
           item.second.ReceivesWork();
  });
}

std::set<served_model> endpoint_registry::ModelsOf(const std::string& service, const std::string& version) const {
  std::set<served_model> models;
  for (const auto& [name, stored] : entries_) {
    if (stored.entry.service == service && stored.entry.version == version) {
      models.insert(stored.entry.models.begin(), stored.entry.models.end());
    }
  }
  return models;
}

}  // namespace persimmon
