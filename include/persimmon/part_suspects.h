// Detection of parts of prompts that crash engines.
//
// Sections
//   1. settings and values
//   2. table
//
// Requests share parts of their prompts: system prompts, documents, sessions. A part may crash every engine that begins
// to write an answer on it, in requests of which no two are alike. Suspects of suspects.h are whole requests and cannot
// show this.
//
// Evidence against a part are crashes of engines on which a request with it had written at most its first event.
// Evidence for it is any request with it that has written more. A part is accused once enough different requests with
// it have crashed engines since its last answer. Several accused parts that were present in the same crashes are told
// apart as follows: one that was answered before yields to one that never was, and crashes that an accused part
// explains which the request does not have do not count against it. So a request with some of the parts that cannot be
// told apart runs, and shows which of them it is.
//
// Evidence is a set of crashes and a latest answer for each part. Merging is idempotent and, up to `max_crashes`,
// independent of the order, so routers may pass on what they have heard.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. settings and values
// ---------------------------------------------------------------------------------------------------------------------

using part_id = std::uint64_t;

struct part_suspect_settings {
  std::size_t crashes_to_refuse = 3;
  // Different requests among these crashes. One request that is sent again may crash engines by its own text.
  std::size_t requests_to_refuse = 2;
  // Crashes of an accused part that must remain after those which other accused parts explain.
  std::size_t own_crashes_to_refuse = 2;
  // Crashes within this time count once: a zone or a rack may lose many engines at the same moment.
  milliseconds same_moment = milliseconds(250);
  milliseconds refusal_time = milliseconds(600'000);  // of a part that was never answered, after its last crash
  // Of a part that has been answered before: engines may have crashed for another reason. Doubles with each crash
  // beyond `crashes_to_refuse`, up to `refusal_time`.
  milliseconds answered_refusal_time = milliseconds(5'000);
  milliseconds clear_report_time = milliseconds(10'000);  // how long the answer of a suspected part is reported
  std::size_t max_suspects = 256;                         // parts; those with the oldest crash are dropped first
  std::size_t max_crashes = 8;                            // of one part; then only clearly newer ones are added
  std::size_t max_answered = 16'384;                      // parts whose latest answer is kept
  std::size_t max_reports = 16;                           // in one message

  bool operator==(const part_suspect_settings&) const = default;
};

// One crash under a request that might be to blame.
struct part_crash {
  std::uint64_t crash = 0;         // identifies the endpoint and its incarnation
  fingerprint_number request = 0;  // the request, not the attempt
  time_point at;

  auto operator<=>(const part_crash&) const = default;
};

// A part with enough crashes to be refused.
struct accused_part {
  part_id part = 0;
  std::vector<std::uint64_t> crashes;  // sorted
  time_point until;                    // of the refusal

  bool operator==(const accused_part&) const = default;
};

// Evidence on one part, sent to other routers.
struct part_report {
  struct crash_entry {
    std::uint64_t crash = 0;
    fingerprint_number request = 0;
    milliseconds age{0};

    bool operator==(const crash_entry&) const = default;
  };

  part_id part = 0;
  std::optional<milliseconds> answer_age;  // since its latest answer; absent: none is known
  std::vector<crash_entry> crashes;        // since that answer

  bool operator==(const part_report&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. table
// ---------------------------------------------------------------------------------------------------------------------

// The parts of the prompts of one service. `parts` in this interface are those that a request shares with others.
class part_suspect_table {
 public:
  explicit part_suspect_table(part_suspect_settings settings) : settings_(settings) {}

  // Records that a request with these parts has written more than its first event. Returns true if that clears a
  // suspect.
  bool RecordAnswer(std::span<const part_id> parts, time_point now);

  // Records the crash of an engine under a request that might be to blame. Ignored if no request of the service was
  // answered since the last recorded crash of another moment, because then parts make no difference. Returns true if
  // the crash is new evidence.
  bool RecordCrash(std::uint64_t crash, fingerprint_number request, std::span<const part_id> parts, time_point now);

  // Merges what another router knows. Returns true if anything was new.
  bool MergeReports(std::span<const part_report> reports, time_point now);

  // Returns the remaining time of the refusal if the request must not be sent to an engine.
  std::optional<milliseconds> RemainingRefusal(std::span<const part_id> parts, time_point now) const;

  // True if one of the parts has an unanswered crash under another request.
  bool IsSuspected(std::span<const part_id> parts, fingerprint_number request) const;

  // Evidence for other routers: at most `max_reports` parts, those with the most crashes first.
  std::vector<part_report> Reports(time_point now) const;

  // Accused parts in order of their ids. Whether a request is refused depends on all its parts.
  std::vector<accused_part> AccusedParts(time_point now) const;

  void Expire(time_point now);

  std::size_t SuspectCount() const { return suspects_.size(); }
  std::size_t AnsweredCount() const { return answered_.size(); }

 private:
  struct suspect {
    std::vector<part_crash> crashes;  // sorted; all after the latest answer
    time_point changed_at;            // last crash or clearing answer
  };

  suspect& SuspectFor(part_id part, time_point now);
  bool AddCrash(part_id part, const part_crash& crash, time_point now);
  bool RecordAnswerAt(part_id part, time_point answered_at, time_point now);
  std::optional<time_point> LastAnswer(part_id part) const;
  milliseconds RefusalTime(part_id part, std::size_t crashes) const;
  void FindAccused();
  void EnforceLimits();

  part_suspect_settings settings_;
  std::map<part_id, suspect> suspects_;
  std::unordered_map<part_id, time_point> answered_;
  std::vector<accused_part> accused_;  // derived from suspects_ and answered_, in order of their ids
  std::optional<time_point> last_crash_;
  bool answered_since_crash_ = true;  // any part of the service
};

}  // namespace persimmon
