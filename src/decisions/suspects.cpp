#include "persimmon/suspects.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace persimmon {
namespace {

const std::string kOwnOrigin;

milliseconds AgeOf(time_point observed_at, time_point now) {
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - observed_at));
}

// Removes the items with the earliest times until `limit` are left.
template <class table, class item>
void RemoveOldest(table& items, std::size_t limit, time_point item::*time) {
  if (items.size() <= limit) {
    return;
  }
  std::vector<std::pair<time_point, fingerprint_number>> by_time;
  by_time.reserve(items.size());
  for (const auto& [key, value] : items) {
    by_time.emplace_back(value.*time, key);
  }
  const auto excess = static_cast<std::ptrdiff_t>(items.size() - limit);
  std::nth_element(by_time.begin(), by_time.begin() + excess, by_time.end());
  for (auto oldest = by_time.begin(); oldest != by_time.begin() + excess; ++oldest) {
    items.erase(oldest->second);
  }
}

}  // namespace

std::uint32_t suspect_table::TotalCrashes(const suspect_entry& entry) {
  std::uint32_t sum = 0;
  for (const auto& [origin, crashes] : entry.crashes) {
    sum += crashes;
  }
  return sum;
}

std::uint32_t suspect_table::RunningCopies(fingerprint_number fingerprint) const {
  const auto found = running_.find(fingerprint);
  if (found == running_.end()) {
    return 0;
  }
  std::uint32_t copies = 0;
  for (const auto& [endpoint, count] : found->second) {
    copies += count;
  }
  return copies;
}

suspect_check suspect_table::CheckSuspect(fingerprint_number fingerprint, time_point now) const {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end() || now - found->second.last_crash_at > settings_.retention) {
    return {};
  }
  const std::uint32_t crashes = TotalCrashes(found->second);
  if (crashes >= settings_.max_crashes) {
    const auto left = found->second.last_crash_at + settings_.retention - now;
    return {suspect_verdict::kRefused, std::chrono::ceil<milliseconds>(left)};
  }
  // Every running copy may crash another endpoint.
  const bool may_run = crashes + RunningCopies(fingerprint) < settings_.max_crashes;
  return {may_run ? suspect_verdict::kSuspect : suspect_verdict::kWait, milliseconds(0)};
}

void suspect_table::RecordStart(fingerprint_number fingerprint, const endpoint_name& endpoint) {
  running_[fingerprint][endpoint] += 1;
}

void suspect_table::RecordEnd(fingerprint_number fingerprint, const endpoint_name& endpoint, bool answered,
                              time_point now) {
  const auto found = running_.find(fingerprint);
  if (found == running_.end()) {
    return;
  }
  const auto copies = found->second.find(endpoint);
  if (copies == found->second.end()) {
    return;
  }
  copies->second -= 1;
  if (copies->second == 0) {
    found->second.erase(copies);
  }
  if (found->second.empty()) {
    running_.erase(found);
  }
  if (answered && suspects_.contains(fingerprint)) {
    Clear(fingerprint, now, true);
  }
}

std::vector<fingerprint_number> suspect_table::RecordCrash(const endpoint_name& endpoint, time_point now) {
  std::vector<fingerprint_number> lost;
  for (auto entry = running_.begin(); entry != running_.end();) {
    const bool was_there = entry->second.erase(endpoint) > 0;
    if (was_there) {
      lost.push_back(entry->first);
    }
    entry = entry->second.empty() ? running_.erase(entry) : std::next(entry);
  }
  std::sort(lost.begin(), lost.end());
  for (const fingerprint_number fingerprint : lost) {
    const auto found = suspects_.find(fingerprint);
    std::uint32_t crashes = 1;
    if (found != suspects_.end()) {
      const auto own_crashes = found->second.crashes.find(kOwnOrigin);
      crashes += own_crashes == found->second.crashes.end() ? 0 : own_crashes->second;
    }
    RecordCrashes(fingerprint, kOwnOrigin, crashes, now);
  }
  EnforceLimits();
  return lost;
}

void suspect_table::RecordCrashes(fingerprint_number fingerprint, const std::string& origin, std::uint32_t crashes,
                                  time_point crashed) {
  suspect_entry& entry = suspects_[fingerprint];
  std::uint32_t& known = entry.crashes[origin];
  known = std::max(known, crashes);
  entry.last_crash_at = std::max(entry.last_crash_at, crashed);
  if (origin == kOwnOrigin) {
    entry.own_crash_at = std::max(entry.own_crash_at, crashed);
  }
}

void suspect_table::Clear(fingerprint_number fingerprint, time_point cleared_at, bool observed_here) {
  clearing& entry = cleared_[fingerprint];
  entry.cleared_at = std::max(entry.cleared_at, cleared_at);
  entry.observed_here = entry.observed_here || observed_here;
  const auto found = suspects_.find(fingerprint);
  if (found != suspects_.end() && found->second.last_crash_at <= cleared_at) {
    suspects_.erase(found);
  }
}

void suspect_table::MergeCrashReports(const std::string& origin, std::span<const crash_report> reports,
                                      time_point now) {
  if (origin == kOwnOrigin) {
    return;
  }
  for (const crash_report& report : reports) {
    const time_point observed_at = now - std::max(report.age, milliseconds(0));
    if (report.crashes == 0) {
      Clear(report.fingerprint, observed_at, false);
      continue;
    }
    const auto known = cleared_.find(report.fingerprint);
    const bool is_cleared = known != cleared_.end() && observed_at <= known->second.cleared_at;
    if (!is_cleared && report.age <= settings_.retention) {
      RecordCrashes(report.fingerprint, origin, report.crashes, observed_at);
    }
  }
  EnforceLimits();
}

std::vector<crash_report> suspect_table::OwnCrashReports(time_point now) const {
  std::vector<crash_report> reports;
  for (const auto& [fingerprint, entry] : suspects_) {
    const auto own_crashes = entry.crashes.find(kOwnOrigin);
    if (own_crashes != entry.crashes.end() && now - entry.own_crash_at <= settings_.retention) {
      reports.push_back({fingerprint, own_crashes->second, AgeOf(entry.own_crash_at, now)});
    }
  }
  for (const auto& [fingerprint, entry] : cleared_) {
    if (entry.observed_here && now - entry.cleared_at <= settings_.clear_report_time) {
      reports.push_back({fingerprint, 0, AgeOf(entry.cleared_at, now)});
    }
  }
  std::sort(reports.begin(), reports.end(), [](const crash_report& left, const crash_report& right) {
    return std::pair(left.age, left.fingerprint) < std::pair(right.age, right.fingerprint);
  });
  if (reports.size() > settings_.max_reports) {
    reports.resize(settings_.max_reports);
  }
  return reports;
}

void suspect_table::ExpireSuspects(time_point now) {
  std::erase_if(suspects_, [&](const auto& item) { return now - item.second.last_crash_at > settings_.retention; });
  std::erase_if(cleared_, [&](const auto& item) { return now - item.second.cleared_at > settings_.retention; });
}

void suspect_table::EnforceLimits() {
  RemoveOldest(suspects_, settings_.max_suspects, &suspect_entry::last_crash_at);
  RemoveOldest(cleared_, settings_.max_suspects, &clearing::cleared_at);
}

}  // namespace persimmon
