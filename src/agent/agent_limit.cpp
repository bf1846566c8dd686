// The limit of requests per second that the engine or service states. The agent is the only process that sends requests
// to it, so it keeps the limit alone.
#include "agent/agent_state.h"
#include "platform/requests.h"

namespace persimmon::detail {

void agent_state::RecordResponse(const http_response_head& head, time_point sent) {
  const auto metadata = platform::ParseResponseHeaders(head);
  if (metadata.has_unreadable_limit) {
    log.Warning("{} states a limit of requests that is not a number.", settings.name);
    return;
  }
  const time_point now = timer_service::NowWithSuspension();
  if (limit.RecordStatement({metadata.request_limit, now - (timer_service::Now() - sent), now})) {
    log.Info("{} states {}.", settings.name,
             limit.IsLimited() ? fmt::format("a limit of {:.3f} requests per second", *limit.Rate()) : "no limit");
    SendLoadReports();
  }
}

task<bool> agent_state::AcquirePermit(milliseconds max_wait) {
  const auto self = shared_from_this();
  const time_point end = timer_service::Now() + max_wait;
  while (true) {
    const std::optional<double> rate = limit.Rate();
    const time_point asked = timer_service::NowWithSuspension();
    const auto remaining = std::chrono::duration_cast<microseconds>(end - timer_service::Now());
    const permit_slot slot = limit.Take(std::max(remaining, microseconds(0)), asked);
    if (!slot.granted) {
      co_return false;
    }
    if (slot.wait > microseconds(0)) {
      co_await timers.Sleep(slot.wait);
    }
    // While it waited, the limit may have fallen or the machine may have been suspended.
    const time_point expires = asked + slot.wait + request_limit_settings{}.permit_lifetime;
    if (!IsStricter(limit.Rate(), rate) && timer_service::NowWithSuspension() <= expires) {
      co_return true;
    }
  }
}

milliseconds agent_state::PredictPermitWait() const {
  if (!limit.IsLimited()) {
    return milliseconds(0);
  }
  std::uint32_t unstarted = 0;
  for (const slot_kind kind : {slot_kind::kPrefill, slot_kind::kDecode}) {
    unstarted += slots.CountEntries(kind) - slots.CountRunning(kind);
  }
  const double rate = std::max(*limit.Rate(), request_limit_settings{}.min_rate);
  const auto queued = microseconds(static_cast<std::int64_t>(1e6 * unstarted / rate));
  return std::chrono::ceil<milliseconds>(limit.PredictWait(timer_service::NowWithSuspension()) + queued);
}

}  // namespace persimmon::detail
