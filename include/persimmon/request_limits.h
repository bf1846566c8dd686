// Limits of requests per second that endpoints state for themselves, kept by all routers together.
//
// Sections
//   1. settings and values
//   2. what an endpoint states
//   3. schedule of permits
//   4. members and home routers
//   5. limits of all endpoints
//
// An endpoint in need states in its responses how many requests per second it takes from all routers together. Each
// request to it then needs a permit of the endpoint's home router, which is chosen by rendezvous hashing. The home
// router assigns the times at which requests may be sent, one after another at the stated rate, so a router learns at
// once how long a request would wait. A permit is for one request and expires.
//
// For a stated rate r, all routers together send in any period of t seconds at most the sum of:
//   r*t + r*burst_time + 1      the schedule of one home router
//   r*permit_lifetime           permits from before the period that are used in it
//   r*takeover_share*d          for each change of the home router, where d is the time in which both act
//   r*m/(2n)*t                  for each group of m of n routers, m <= n/2, that is cut off from the others
// and what they send before they know the limit.
//
// All times must come from one clock that also counts the time for which the machine is suspended.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "persimmon/types.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. settings and values
// ---------------------------------------------------------------------------------------------------------------------

struct request_limit_settings {
  milliseconds burst_time = milliseconds(250);         // of the rate that is made up after a time without requests
  milliseconds permit_lifetime = milliseconds(1'000);  // after the time at which the request may be sent
  milliseconds max_wait = milliseconds(2'000);         // until the time of a permit
  // A router is no home router for this long after its start, a pause or its first message. Until then it may not know
  // the others, nor they it.
  milliseconds settle_time = milliseconds(2'000);
  milliseconds silence_time = milliseconds(1'500);  // a router that was not heard for this long may be gone
  // A router that no other one has listed for this long may be unheard, and assigns as if it were alone. Shorter than
  // silence_time and takeover_time together, in which its successor assigns a part of the rate only.
  milliseconds unheard_time = milliseconds(3'000);
  milliseconds listed_time = milliseconds(900);     // but not while another one has listed it within this time
  milliseconds max_tick_delay = milliseconds(800);  // a longer one means that the process was paused
  // For this long after another router was home router of an endpoint, its successor assigns less, because both may
  // act.
  milliseconds takeover_time = milliseconds(3'500);
  // A router that becomes eligible may take over too. The others learn that within the time of a lost heartbeat.
  milliseconds join_time = milliseconds(1'000);
  double takeover_share = 0.5;       // of the rate
  double unknown_count_share = 0.2;  // of the rate, while it is unknown how many routers there are
  double min_rate = 0.2;             // requests per second; with a lower limit nobody would learn that it has ended
  milliseconds retention = milliseconds(60'000);  // of what an unregistered endpoint has stated, and of silent routers

  bool operator==(const request_limit_settings&) const = default;
};

// One incarnation of an endpoint.
struct limited_endpoint {
  std::uint64_t key = 0;         // hash of its name
  std::uint64_t started_ms = 0;  // start time of its process

  auto operator<=>(const limited_endpoint&) const = default;
};

// Permission to send one request.
struct send_permit {
  std::optional<double> rate;  // limit at which it was given; absent: there was no limit
  time_point expires;

  bool operator==(const send_permit&) const = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. what an endpoint states
// ---------------------------------------------------------------------------------------------------------------------

// What one response states. The endpoint made it at some time between `sent` and `received`.
struct limit_statement {
  std::optional<double> rate;  // requests per second; absent: no limit
  time_point sent;             // of the request
  time_point received;         // of the response

  bool operator==(const limit_statement&) const = default;
};

// True if `rate` allows fewer requests than `other`; an absent rate is no limit.
bool IsStricter(const std::optional<double>& rate, const std::optional<double>& other);

// Combines statements of one incarnation in any order. One that is certainly newer replaces the earlier ones. Of those
// whose order is uncertain, the strictest holds.
class stated_limit {
 public:
  // Returns true if the limit in force has changed.
  bool Merge(const limit_statement& added);
  const std::optional<double>& Rate() const { return known_.rate; }
  const limit_statement& Known() const { return known_; }

 private:
  limit_statement known_;
  bool has_statement_ = false;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. schedule of permits
// ---------------------------------------------------------------------------------------------------------------------

struct permit_slot {
  bool granted = false;
  microseconds wait{0};  // until the request may be sent; refused: until one could be

  bool operator==(const permit_slot&) const = default;
};

// Times at which requests to one endpoint may be sent.
class permit_schedule {
 public:
  permit_schedule(const request_limit_settings& settings, time_point now) : settings_(settings), next_(now) {}

  // Takes the next time unless it is later than `max_wait` from now. `rate` is the stated one, of which `share` may be
  // assigned here.
  permit_slot Take(double rate, double share, microseconds max_wait, time_point now);

  // Accounts for a request that is sent without waiting.
  void Charge(double rate, double share, time_point now);

  microseconds PredictWait(time_point now) const;

 private:
  void SetRate(double rate, double share, time_point now);

  request_limit_settings settings_;
  time_point next_;  // earliest time of the next request
  double rate_ = 0;  // as stated last
  microseconds interval_{0};
};

// The limit of an endpoint to which only this process sends requests.
class exclusive_limit {
 public:
  explicit exclusive_limit(const request_limit_settings& settings) : settings_(settings), schedule_(settings, {}) {}

  bool RecordStatement(const limit_statement& statement) { return stated_.Merge(statement); }
  const std::optional<double>& Rate() const { return stated_.Rate(); }
  bool IsLimited() const { return Rate().has_value(); }
  permit_slot Take(microseconds max_wait, time_point now);
  void Charge(time_point now);
  microseconds PredictWait(time_point now) const;

 private:
  request_limit_settings settings_;
  stated_limit stated_;
  permit_schedule schedule_;
};

// ---------------------------------------------------------------------------------------------------------------------
// 4. members and home routers
// ---------------------------------------------------------------------------------------------------------------------

// What a router knows of the others, and which one is the home router of a hash key: of an endpoint with a limit, or of
// a client account.
class limit_members {
 public:
  limit_members(std::string own_address, const request_limit_settings& settings, time_point now)
      : settings_(settings), own_address_(std::move(own_address)), own_since_(now), last_tick_(now) {}

  void RecordHeard(const std::string& address, std::uint64_t incarnation, bool leaving, time_point now);
  // Another router has heard the one with this address lately, which may be this router itself.
  void RecordListed(const std::string& address, time_point now);
  void RecordOwnLeave() { is_leaving_ = true; }
  void SetRouterCount(std::uint32_t count) { router_count_ = count; }  // with silent ones; 0: unknown

  // To be called several times per max_tick_delay, and before each decision. Notices that the process was paused.
  void Tick(time_point now);

  // Address of the home router of what has this hash key; nothing if none is known.
  std::optional<std::string> HomeOf(std::uint64_t key, time_point now) const;

  // What this router may do as the home router.
  struct home_role {
    bool is_home = false;
    bool takes_over = false;  // another router may still act as home router
    double side = 0;          // part of all routers that this one can reach, with itself; 0: unknown

    bool operator==(const home_role&) const = default;
  };
  home_role OwnRole(std::uint64_t key, time_point now) const;

  // Share of the limit of an endpoint that this router may assign; 0 if it is not the home router.
  double OwnShare(std::uint64_t key, time_point now) const;

 private:
  struct member {
    std::uint64_t incarnation = 0;
    bool is_leaving = false;
    time_point since;       // start of its present incarnation or presence
    time_point last_heard;  // directly
    std::optional<time_point> last_listed;
    std::optional<time_point> last_eligible;  // when it could last have been a home router
  };
  bool IsAlive(const member& other, time_point now) const;
  bool IsEligible(const member& other, time_point now) const;
  bool MayBeHome(const member& other, time_point now) const;
  bool IsSettled(time_point now) const { return !is_leaving_ && now - own_since_ >= settings_.settle_time; }

  request_limit_settings settings_;
  std::string own_address_;
  time_point own_since_;  // start, or end of the latest pause
  time_point last_tick_;
  time_point last_expiry_;
  std::optional<time_point> own_listed_;  // when another router listed this one last
  bool is_leaving_ = false;
  std::uint32_t router_count_ = 0;
  std::map<std::string, member> others_;  // by address
};

// ---------------------------------------------------------------------------------------------------------------------
// 5. limits of all endpoints
// ---------------------------------------------------------------------------------------------------------------------

enum class permit_verdict : std::uint8_t {
  kGranted,  // the request may be sent after `wait`
  kRefused,  // not within the longest wait; one could be sent after `wait`
  kNoLimit,  // the endpoint has no limit any more
  kNotHome,  // another router is the home router
};

struct permit_decision {
  permit_verdict verdict = permit_verdict::kNotHome;
  microseconds wait{0};

  bool operator==(const permit_decision&) const = default;
};

// State of one router. It sends nothing itself.
class request_limits {
 public:
  request_limits(std::string own_address, const request_limit_settings& settings, time_point now)
      : settings_(settings), members_(std::move(own_address), settings, now) {}

  const request_limit_settings& Settings() const { return settings_; }
  limit_members& Members() { return members_; }
  const limit_members& Members() const { return members_; }

  // Merges what an endpoint has stated to this router or to another one. Returns true if its limit has changed.
  bool RecordStatement(const limited_endpoint& endpoint, const limit_statement& statement, time_point now);

  // Limit in force; absent: none.
  std::optional<double> Rate(const limited_endpoint& endpoint) const;
  std::optional<limit_statement> Statement(const limited_endpoint& endpoint) const;

  // All endpoints with a limit in force.
  std::vector<limited_endpoint> LimitedEndpoints() const;

  // Decides as the home router, for this router or another one.
  permit_decision Decide(const limited_endpoint& endpoint, microseconds max_wait, time_point now);

  // Records that a permit was refused, so that the endpoint is not chosen before it may get requests again.
  void RecordRefusal(const limited_endpoint& endpoint, microseconds wait, time_point now);
  microseconds PredictWait(const limited_endpoint& endpoint, time_point now) const;

  // Must be checked when the request is sent: a permit expires, and it is void once the limit is lower than the one at
  // which it was given.
  bool IsValid(const limited_endpoint& endpoint, const send_permit& permit, time_point now) const;

  // Removes what endpoints have stated that were used long ago and are no longer registered.
  template <class predicate>
  void RemoveUnregistered(predicate is_registered, time_point now) {
    std::erase_if(endpoints_, [&](const auto& item) {
      return now - item.second.changed > settings_.retention && !is_registered(item.first);
    });
  }

 private:
  static constexpr std::size_t kMaxEndpoints = 16'384;  // bounds the memory for messages of other routers

  struct endpoint_state {
    stated_limit stated;
    std::optional<permit_schedule> schedule;  // set on the home router
    time_point refused_until;
    time_point changed;
  };
  const endpoint_state* Find(const limited_endpoint& endpoint) const;

  request_limit_settings settings_;
  limit_members members_;
  std::map<limited_endpoint, endpoint_state> endpoints_;
};

}  // namespace persimmon
