// Which service and software version began a stream, for streams that callers take up again at any router.
//
// Sections
//   1. where streams may have begun
//   2. origins of streams
//   3. confirmations of the record of versions
//
// What engines of two services or software versions write does not fit together, so a stream may go on only where it
// began, and engines do not check this. The router that forwards the first event of a stream records its source and
// copies the record to a few other routers, which are found by hashing the attempt. It does so also while there is only
// one source, because the next one may join when the router can no longer send copies. The number of copies does not
// grow with the number of routers.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. where streams may have begun
// ---------------------------------------------------------------------------------------------------------------------

using name_set = std::set<std::string>;

// Names that are in use, and those that were until recently: of the versions of a service, or of the services of a
// route, that may have begun a stream which can still be resumed.
class recent_names {
 public:
  // Sets the names in use.
  void Set(name_set names, time_point now);

  // Adds names that were in use at an unknown time before `now`.
  void AddSeen(const name_set& names, time_point now);

  // Names in use now or within the retention: the longest time for which callers resume a stream.
  name_set Candidates(time_point now, milliseconds retention) const;

  // Forgets the names that are no candidates any more.
  void RemoveExpired(time_point now, milliseconds retention);

  const name_set& Current() const { return current_; }
  std::size_t Size() const { return current_.size() + last_seen_.size(); }

 private:
  name_set current_;
  std::map<std::string, time_point> last_seen_;  // of names that are no longer in use
};

// Engines of one software version of one service. Streams of plain services have an empty version.
struct stream_source {
  std::string service;
  std::string version;

  auto operator<=>(const stream_source&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. origins of streams
// ---------------------------------------------------------------------------------------------------------------------

using origin_key = std::uint64_t;  // xxHash of the attempt that brought the first event

// xxHash of the service and its version. 0 stands for an unknown version.
std::uint64_t VersionKey(std::string_view service, std::string_view version);

origin_key OriginKey(std::string_view attempt);

// A router that can hold copies. A router that restarts loses them, and what it knew, and has another incarnation.
struct origin_holder {
  std::string address;
  std::uint64_t incarnation = 0;

  auto operator<=>(const origin_holder&) const = default;
};

struct stream_origin {
  origin_key attempt = 0;
  std::uint64_t version = 0;  // VersionKey
  time_point expiry;          // when the caller no longer resumes the stream

  bool operator==(const stream_origin&) const = default;
};

struct stream_origin_settings {
  std::size_t max_origins = 16'384;  // about 5 MB; the one that expires first is dropped
  std::size_t copies = 3;            // holders of an attempt; two may end at the same time
  milliseconds resend_interval = milliseconds(100);
  std::uint32_t max_sends = 8;  // of one copy to one holder
  // Origins that one call of TakeDueCopies places anew after a change of the holders. Placing one takes 10 us with 370
  // routers.
  std::size_t max_replaced = 200;

  bool operator==(const stream_origin_settings&) const = default;
};

class stream_origin_table {
 public:
  // `own_address` identifies this router among the holders.
  stream_origin_table(std::string own_address, stream_origin_settings settings)
      : own_address_(std::move(own_address)), settings_(settings) {}

  // Records the origin of a stream that this router forwards. A known one keeps its version and the later expiry.
  void Record(const stream_origin& origin);

  // Records a copy that another router has sent. That router serves the other holders, so copies go out from here only
  // when the holders change.
  void RecordCopy(const stream_origin& origin);

  // Returns the version key of the attempt's stream.
  std::optional<std::uint64_t> Find(origin_key attempt, time_point now) const;

  // Sets the routers that can hold copies, with this one. Copies whose holder is missing are placed anew, some with
  // each call of TakeDueCopies.
  void SetHolders(std::vector<origin_holder> holders);

  // Returns the holders of an attempt without this router, the first choice first.
  std::vector<origin_holder> HoldersOf(origin_key attempt) const;

  // Returns the copies that are due at their holders: not acknowledged, and not sent within the resend interval.
  std::map<origin_holder, std::vector<stream_origin>> TakeDueCopies(time_point now);

  // Records that a holder has acknowledged copies.
  void RecordHeld(const origin_holder& holder, const std::vector<origin_key>& attempts);

  // Returns the origins of streams that this router forwards and that have not been returned before.
  std::vector<stream_origin> TakeUnlogged(const std::function<bool(std::uint64_t version)>& needs_log, time_point now);

  // TakeUnlogged returns all origins once more, because what has been logged is lost.
  void ForgetLogged();

  void RemoveExpired(time_point now);

  std::size_t Size() const { return origins_.size(); }

 private:
  struct copy_state {
    origin_holder holder;
    std::uint32_t sends = 0;
    time_point sent_at;
    bool is_held = false;
  };
  struct origin_state {
    std::uint64_t version = 0;
    time_point expiry;
    std::uint64_t generation = 0;  // of the holders for which the copies were placed
    bool is_own = false;           // of a stream that this router forwards
    bool is_logged = false;
    bool is_misplaced = false;  // in misplaced_
    std::vector<copy_state> copies;
  };

  origin_state& Insert(const stream_origin& origin);
  void PlaceCopies(origin_key attempt, origin_state& state) const;
  // Places some of the origins anew whose holders may have changed.
  void PlaceMisplaced();

  std::string own_address_;
  stream_origin_settings settings_;
  std::unordered_map<origin_key, origin_state> origins_;
  std::multimap<time_point, origin_key> by_expiry_;
  std::unordered_set<origin_key> unsent_;  // some copies are neither acknowledged nor given up
  std::deque<origin_key> misplaced_;       // the holders have changed since their copies were placed
  std::vector<origin_holder> holders_;
  std::uint64_t generation_ = 1;  // increases with every change of the holders
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. confirmations of the record of versions
// ---------------------------------------------------------------------------------------------------------------------

// Tells whether the record of versions in the store can be trusted after the store has come back from an older copy.
//
// The copy may lack versions that other routers have recorded and at which they have begun streams. A router confirms
// the record in an era of the store once it has found or written all versions there that it knows. What it begins
// later is recorded in that era first. So the record is complete as soon as each router that may have begun streams
// before has confirmed it. A router that has ended cannot; then the record stays doubtful for as long as callers resume
// its streams.
class record_confirmations {
 public:
  // The store has come back in a new era. `routers`: the other routers that may have begun streams before, with those
  // that have ended. `knows_all`: false if there may be more of them.
  void Begin(std::uint64_t era, time_point now, const std::vector<origin_holder>& routers, bool knows_all);

  // Records that a router has confirmed the record in an era.
  void RecordConfirmed(const origin_holder& router, std::uint64_t era);

  // `retention`: the longest time for which callers resume a stream.
  bool IsDoubtful(time_point now, milliseconds retention) const;

  const std::set<origin_holder>& Unconfirmed() const { return unconfirmed_; }
  std::uint64_t Era() const { return era_; }  // 0: the store has never come back from a copy

 private:
  std::uint64_t era_ = 0;
  time_point began_;
  std::set<origin_holder> unconfirmed_;
  bool knows_all_ = true;
};

}  // namespace persimmon
