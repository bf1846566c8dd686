// Admission of calls to plain services: how many calls a router may have in progress at an endpoint.
//
// The load: a burst or retrying callers bring more calls than the endpoints of a service can run. An endpoint whose
// queue is full rejects a call, which uses up the only attempt of a call that must not be repeated, and its caller
// comes back at once and adds to the load. Therefore calls wait at the router while the endpoints have enough to do.
//
// Each router decides by what endpoints state in their responses. What the other routers send is known 0.2 s late with
// 25 routers, in which time an endpoint empties its whole queue.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "persimmon/types.h"

namespace persimmon {

struct call_window_settings {
  double initial_window = 4;  // calls
  double max_window = 64;     // bounds the calls of one router that an endpoint without load reports may hold
  // Waiting calls per slot at the endpoint. Up to `grow_below` the window grows. Above `shrink_above` a call spends two
  // thirds of its time waiting there, and the window shrinks.
  double grow_below = 1;
  double shrink_above = 2;
  double shrink_factor = 0.7;                     // of a window whose endpoint has too many waiting calls
  double reject_factor = 0.5;                     // of a window whose endpoint has rejected a call
  milliseconds shrink_pause = milliseconds(100);  // until the effect of a smaller window can be seen in responses

  bool operator==(const call_window_settings&) const = default;
};

// What the response to a call states about its endpoint.
struct call_feedback {
  bool is_rejected = false;              // the endpoint was full
  std::optional<std::uint32_t> waiting;  // calls in its queue
  std::optional<std::uint32_t> slots;    // calls that it runs at the same time

  bool operator==(const call_feedback&) const = default;
};

// Number of calls that a router may have in progress at one endpoint: grows by one per window of responses that state a
// short queue, and shrinks by a factor when the queue is long or full, as the congestion window of a transport
// protocol.
class call_window {
 public:
  explicit call_window(const call_window_settings& settings = {})
      : settings_(settings), window_(settings.initial_window) {}

  // `calls`: in progress at the endpoint when the response arrived, with its own. A window that is not used does not
  // grow, because otherwise a burst after a calm time would meet windows without effect.
  void RecordResponse(const call_feedback& feedback, std::uint32_t calls, time_point now);

  // Number of calls that may be sent besides `calls` in progress. One call is always allowed.
  std::uint32_t Room(std::uint32_t calls) const {
    const auto allowed = static_cast<std::uint32_t>(window_);
    return allowed > calls ? allowed - calls : 0;
  }
  bool HasRoom(std::uint32_t calls) const { return Room(calls) > 0; }
  double Calls() const { return window_; }

 private:
  void Shrink(double factor, time_point now);

  call_window_settings settings_;
  double window_;
  std::optional<time_point> shrunk_at_;
};

// Rate of the calls that end while others wait. Without waiting calls the rate is the demand and not the capacity.
class call_rate {
 public:
  void RecordEnd(bool others_wait, time_point now);
  double PerSecond() const { return interval_us_ > 0 ? 1e6 / interval_us_ : 0; }  // 0: not known

  // Time until a call with `waiting` calls before it can be sent; zero if the rate is not known.
  microseconds PredictWait(std::size_t waiting) const;

 private:
  static constexpr double kSampleShare = 0.1;  // weight of a new interval

  time_point last_;
  bool has_last_ = false;
  double interval_us_ = 0;  // mean time between two ends; 0: not known
};

}  // namespace persimmon
