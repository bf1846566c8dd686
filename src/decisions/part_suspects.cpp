#include "persimmon/part_suspects.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace persimmon {
namespace {

// True if enough different requests have crashed engines, at enough moments apart.
bool HasEnoughCrashes(const std::vector<part_crash>& crashes, const part_suspect_settings& settings) {
  std::set<fingerprint_number> requests;
  std::size_t moments = 0;
  std::optional<time_point> counted;
  for (const part_crash& crash : crashes) {
    requests.insert(crash.request);
    if (!counted || crash.at - *counted >= settings.same_moment) {
      ++moments;
      counted = crash.at;
    }
  }
  return requests.size() >= settings.requests_to_refuse && moments >= settings.crashes_to_refuse;
}

std::vector<std::uint64_t> CrashIds(const std::vector<part_crash>& crashes) {
  std::set<std::uint64_t> ids;
  for (const part_crash& crash : crashes) {
    ids.insert(crash.crash);
  }
  return {ids.begin(), ids.end()};
}

// Number of crashes of the part in which none of the accused parts was present that the predicate selects.
template <class predicate>
std::size_t CountUnexplained(const accused_part& part, const std::vector<accused_part>& accused,
                             const predicate& is_selected) {
  return static_cast<std::size_t>(std::count_if(part.crashes.begin(), part.crashes.end(), [&](std::uint64_t crash) {
    return std::none_of(accused.begin(), accused.end(), [&](const accused_part& other) {
      return other.part != part.part && is_selected(other.part) &&
             std::binary_search(other.crashes.begin(), other.crashes.end(), crash);
    });
  }));
}

}  // namespace

std::optional<time_point> part_suspect_table::LastAnswer(part_id part) const {
  const auto found = answered_.find(part);
  return found == answered_.end() ? std::nullopt : std::optional(found->second);
}

bool part_suspect_table::RecordAnswerAt(part_id part, time_point answered_at, time_point now) {
  const auto [found, inserted] = answered_.try_emplace(part, answered_at);
  const bool is_new = inserted || found->second < answered_at;
  found->second = std::max(found->second, answered_at);
  const auto suspected = suspects_.find(part);
  if (!is_new || suspected == suspects_.end()) {
    return false;
  }
  const auto cleared = std::erase_if(suspected->second.crashes,
                                     [answered_at](const part_crash& crash) { return crash.at <= answered_at; });
  if (cleared > 0) {
    suspected->second.changed_at = now;
  }
  // The first answer of a part matters although it is older than its crashes.
  return cleared > 0 || inserted;
}

bool part_suspect_table::RecordAnswer(std::span<const part_id> parts, time_point now) {
  answered_since_crash_ = true;
  bool is_changed = false;
  for (const part_id part : parts) {
    is_changed = RecordAnswerAt(part, now, now) || is_changed;
  }
  if (is_changed) {
    FindAccused();
  }
  EnforceLimits();
  return is_changed;
}

part_suspect_table::suspect& part_suspect_table::SuspectFor(part_id part, time_point now) {
  const auto [found, inserted] = suspects_.try_emplace(part);
  if (inserted) {
    found->second.changed_at = now;
  }
  return found->second;
}

bool part_suspect_table::AddCrash(part_id part, const part_crash& crash, time_point now) {
  const auto answer = LastAnswer(part);
  if ((answer && crash.at <= *answer) || now - crash.at > settings_.refusal_time) {
    return false;
  }
  auto& crashes = SuspectFor(part, now).crashes;
  const bool is_known = std::any_of(crashes.begin(), crashes.end(), [&](const part_crash& known) {
    return known.crash == crash.crash && known.request == crash.request;
  });
  // A crash that was dropped for newer ones must not come back from another router, which would drop one of these
  // again.
  const bool is_full = crashes.size() >= settings_.max_crashes;
  if (is_known || (is_full && crash.at < crashes.back().at + settings_.same_moment)) {
    return false;
  }
  crashes.push_back(crash);
  std::sort(crashes.begin(), crashes.end(), [](const part_crash& left, const part_crash& right) {
    return std::tie(left.at, left.crash, left.request) < std::tie(right.at, right.crash, right.request);
  });
  if (crashes.size() > settings_.max_crashes) {
    crashes.erase(crashes.begin());
  }
  suspects_[part].changed_at = now;
  return true;
}

bool part_suspect_table::RecordCrash(std::uint64_t crash, fingerprint_number request, std::span<const part_id> parts,
                                     time_point now) {
  const bool is_new_moment = !last_crash_ || now - *last_crash_ >= settings_.same_moment;
  if (is_new_moment && !answered_since_crash_) {
    return false;
  }
  if (is_new_moment) {
    last_crash_ = now;
    answered_since_crash_ = false;
  }
  bool is_changed = false;
  for (const part_id part : parts) {
    is_changed = AddCrash(part, {crash, request, now}, now) || is_changed;
  }
  EnforceLimits();
  if (is_changed) {
    FindAccused();
  }
  return is_changed;
}

bool part_suspect_table::MergeReports(std::span<const part_report> reports, time_point now) {
  bool is_changed = false;
  for (const part_report& report : reports) {
    if (report.answer_age) {
      // The time of an answer grows with every router that passes it on, by the time that its message takes.
      const time_point answered_at = now - std::max(*report.answer_age, milliseconds(0));
      const auto known = LastAnswer(report.part);
      if (!known || answered_at >= *known + settings_.same_moment) {
        is_changed = RecordAnswerAt(report.part, answered_at, now) || is_changed;
      }
    }
    for (const part_report::crash_entry& entry : report.crashes) {
      const part_crash crash{entry.crash, entry.request, now - std::max(entry.age, milliseconds(0))};
      is_changed = AddCrash(report.part, crash, now) || is_changed;
    }
  }
  EnforceLimits();
  if (is_changed) {
    FindAccused();
  }
  return is_changed;
}

milliseconds part_suspect_table::RefusalTime(part_id part, std::size_t crashes) const {
  if (!answered_.contains(part)) {
    return settings_.refusal_time;
  }
  milliseconds time = settings_.answered_refusal_time;
  for (std::size_t i = settings_.crashes_to_refuse; i < crashes && time < settings_.refusal_time; ++i) {
    time *= 2;
  }
  return std::min(time, settings_.refusal_time);
}

void part_suspect_table::FindAccused() {
  accused_.clear();
  for (const auto& [part, suspected] : suspects_) {
    if (HasEnoughCrashes(suspected.crashes, settings_)) {
      const auto until = suspected.crashes.back().at + RefusalTime(part, suspected.crashes.size());
      accused_.push_back({part, CrashIds(suspected.crashes), until});
    }
  }
  // A part that was answered before is not to blame for crashes in which one was present that never was.
  const std::vector<accused_part> all_accused = accused_;
  std::erase_if(accused_, [&](const accused_part& item) {
    return answered_.contains(item.part) && CountUnexplained(item, all_accused, [this](part_id other) {
                                              return !answered_.contains(other);
                                            }) < settings_.own_crashes_to_refuse;
  });
}

std::optional<milliseconds> part_suspect_table::RemainingRefusal(std::span<const part_id> parts, time_point now) const {
  const auto is_elsewhere = [&](part_id part) { return std::find(parts.begin(), parts.end(), part) == parts.end(); };
  std::optional<milliseconds> longest;
  for (const accused_part& accused : accused_) {
    if (now < accused.until && !is_elsewhere(accused.part) &&
        CountUnexplained(accused, accused_, is_elsewhere) >= settings_.own_crashes_to_refuse) {
      longest = std::max(longest.value_or(milliseconds(0)), std::chrono::ceil<milliseconds>(accused.until - now));
    }
  }
  return longest;
}

bool part_suspect_table::IsSuspected(std::span<const part_id> parts, fingerprint_number request) const {
  return std::any_of(parts.begin(), parts.end(), [&](part_id part) {
    const auto found = suspects_.find(part);
    return found != suspects_.end() && std::any_of(found->second.crashes.begin(), found->second.crashes.end(),
                                                   [&](const part_crash& crash) { return crash.request != request; });
  });
}

std::vector<accused_part> part_suspect_table::AccusedParts(time_point now) const {
  std::vector<accused_part> accused = accused_;
  std::erase_if(accused, [now](const accused_part& item) { return now >= item.until; });
  return accused;
}

std::vector<part_report> part_suspect_table::Reports(time_point now) const {
  const auto age_of = [now](time_point at) {
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - at));
  };
  std::vector<std::pair<part_id, const suspect*>> reported;
  for (const auto& [part, suspected] : suspects_) {
    reported.emplace_back(part, &suspected);
  }
  std::sort(reported.begin(), reported.end(), [](const auto& left, const auto& right) {
    const auto rank = [](const auto& item) {
      return std::tuple(item.second->crashes.size(), item.second->changed_at, item.first);
    };
    return rank(left) > rank(right);
  });
  reported.resize(std::min(reported.size(), settings_.max_reports));
  std::vector<part_report> reports;
  for (const auto& [part, suspected] : reported) {
    part_report report{part, std::nullopt, {}};
    if (const auto answer = LastAnswer(part)) {
      report.answer_age = age_of(*answer);
    }
    for (const part_crash& crash : suspected->crashes) {
      report.crashes.push_back({crash.crash, crash.request, age_of(crash.at)});
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

void part_suspect_table::Expire(time_point now) {
  bool is_changed = false;
  for (auto item = suspects_.begin(); item != suspects_.end();) {
    const auto expired = std::erase_if(
        item->second.crashes, [&](const part_crash& crash) { return now - crash.at > settings_.refusal_time; });
    is_changed = is_changed || expired > 0;
    const bool is_cleared = item->second.crashes.empty() && now - item->second.changed_at > settings_.clear_report_time;
    item = is_cleared ? suspects_.erase(item) : std::next(item);
  }
  if (is_changed) {
    FindAccused();
  }
}

void part_suspect_table::EnforceLimits() {
  while (suspects_.size() > settings_.max_suspects) {
    // Parts that are refused have several crashes and go last.
    suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(), [](const auto& left, const auto& right) {
      const auto rank = [](const auto& item) {
        return std::tuple(item.second.crashes.size(), item.second.changed_at, item.first);
      };
      return rank(left) < rank(right);
    }));
  }
  if (answered_.size() <= settings_.max_answered) {
    return;
  }
  // Drops the older half at once, so that the search for the oldest is rare.
  std::vector<time_point> times;
  times.reserve(answered_.size());
  for (const auto& [part, answered_at] : answered_) {
    times.push_back(answered_at);
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(answered_, [&](const auto& item) { return item.second < *middle && !suspects_.contains(item.first); });
}

}  // namespace persimmon
