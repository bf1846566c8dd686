#include "direct/suspect_tracker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "core/event_log.h"
#include "direct/router_group.h"

namespace persimmon {
namespace {

constexpr const char* kComponent = "router.crashes";
constexpr milliseconds kHealthCheckDelay(50);     // a crashing endpoint still accepts connections briefly
constexpr int kMaxHealthChecks = 2;               // further ones follow a response to another request
constexpr milliseconds kHealthCheckTimeout(400);  // for the response of a live endpoint
// A request that did not cause the crashes is very unlikely to be running during this many consecutive crashes without
// ever receiving a response.
constexpr std::uint32_t kMaxCrashes = 3;
constexpr milliseconds kRetention(60'000);

suspect_settings MakeSuspectSettings() {
  suspect_settings settings;
  settings.max_crashes = kMaxCrashes;
  settings.retention = kRetention;
  settings.max_reports = 8;  // so that the reports and the endpoint loads fit into one datagram
  return settings;
}

}  // namespace

suspect_tracker::suspect_tracker(kernel& services, http_client& client)
    : kernel_(services), client_(client), suspects_(MakeSuspectSettings()) {}

void suspect_tracker::Start() {
  auto& group = kernel_.Find<router_group>("group");
  group.local_suspects = [this] {
    const auto crash_reports = suspects_.OwnCrashReports(timer_service::Now());
    std::vector<suspect_report> reports;
    reports.reserve(crash_reports.size());
    for (const crash_report& report : crash_reports) {
      reports.push_back({report.fingerprint, report.crashes, static_cast<std::uint32_t>(report.age.count())});
    }
    return reports;
  };
  group.on_suspects = [this](const std::string& origin, const std::vector<suspect_report>& reports) {
    std::vector<crash_report> crash_reports;
    crash_reports.reserve(reports.size());
    for (const suspect_report& report : reports) {
      crash_reports.push_back({report.fingerprint, report.crashes, milliseconds(report.age_ms)});
    }
    suspects_.MergeCrashReports(origin, crash_reports, timer_service::Now());
  };
}

fingerprint_number suspect_tracker::Fingerprint(const http_request& request) {
  const std::uint64_t target_hash = XXH64(request.target.data(), request.target.size(), request.method.size());
  return XXH64(request.body.Text().data(), request.body.Text().size(), target_hash);
}

std::optional<milliseconds> suspect_tracker::RemainingRefusal(fingerprint_number fingerprint) const {
  const suspect_check check = suspects_.CheckSuspect(fingerprint, timer_service::Now());
  return check.verdict == suspect_verdict::kRefused ? std::optional(check.retry_in) : std::nullopt;
}

void suspect_tracker::RecordStart(fingerprint_number fingerprint, const chosen_endpoint& endpoint) {
  suspects_.RecordStart(fingerprint, endpoint.name);
}

void suspect_tracker::RecordEnd(fingerprint_number fingerprint, const chosen_endpoint& endpoint, bool answered) {
  suspects_.RecordEnd(fingerprint, endpoint.name, answered, timer_service::Now());
}

void suspect_tracker::RecordDisconnect(fingerprint_number fingerprint, const chosen_endpoint& endpoint,
                                       const std::string& health_path) {
  asio::co_spawn(kernel_.Context(), CheckDisconnect(fingerprint, endpoint, health_path), asio::detached);
}

task<bool> suspect_tracker::HasCrashed(chosen_endpoint endpoint, std::string health_path) {
  co_await kernel_.Timers().Sleep(kHealthCheckDelay);
  // The check is short and rare, and a crash must be known at once.
  auto& tracker = kernel_.Find<endpoint_tracker>("board");
  error_code code = error_code::kProtocol;
  // A response to another request may have been written before a crash.
  for (int checks = 0; checks < kMaxHealthChecks && code == error_code::kProtocol; ++checks) {
    tracker.ChargeLimit(endpoint);
    http_request request{"GET", health_path.empty() ? "/" : health_path, {}, {}, {}};
    auto response = co_await tracker.FetchControl(client_, endpoint, std::move(request), kHealthCheckTimeout);
    if (response) {
      co_return false;
    }
    code = response.error().code;
  }
  co_return code == error_code::kUnavailable;
}

task<bool> suspect_tracker::CheckDisconnect(fingerprint_number fingerprint, chosen_endpoint endpoint,
                                            std::string health_path) {
  const bool has_crashed = co_await HasCrashed(endpoint, std::move(health_path));
  if (has_crashed) {
    const auto suspects = suspects_.RecordCrash(endpoint.name, timer_service::Now());
    Events()
        .Line(kComponent, "endpoint_crashed")
        .Add("endpoint", endpoint.name.value)
        .Add("suspects", suspects.size())
        .Add("fingerprint", fingerprint);
    kernel_.Find<router_group>("group").ScheduleUpdate();
    if (on_crash) {
      on_crash(endpoint);
    }
  } else {
    suspects_.RecordEnd(fingerprint, endpoint.name, false, timer_service::Now());
  }
  co_return has_crashed;
}

}  // namespace persimmon
