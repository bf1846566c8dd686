// Sections
//   1. verdicts and runs
//   2. evidence of other routers
#include "net/part_board.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <iterator>

#include "core/event_log.h"
#include "core/timers.h"

namespace persimmon {
namespace {

constexpr const char* kComponent = "router.parts";
constexpr std::size_t kMaxServices = 256;      // with evidence; bounds the memory for messages of other routers
constexpr std::size_t kDirectReceivers = 16;   // routers that are told of a change at once
constexpr std::size_t kGossipReceivers = 2;    // routers that are told of received evidence, and again in each round
constexpr milliseconds kBrokenRunTime(1'000);  // for which it may still be found that the engine has crashed
constexpr milliseconds kGossipTime(10'000);    // after a change; a lost datagram and a cut of seconds are made up
constexpr std::uint64_t kIdleRounds = 4;       // of so many rounds one is sent, to one router, without a change
constexpr std::size_t kMaxEvidencePayloadBytes = 1'200;  // of one message; leaves room for its frame in a datagram
constexpr std::size_t kPartBytes = 24;                   // encoded size of a part without its crashes
constexpr std::size_t kCrashBytes = 20;                  // encoded size of one crash

// Identifies the crash of one incarnation of an endpoint.
std::uint64_t CrashId(const endpoint_name& engine, std::uint64_t incarnation) {
  return XXH64(engine.value.data(), engine.value.size(), incarnation);
}

std::uint64_t KeyOf(const std::string& service) { return XXH64(service.data(), service.size(), 0); }

std::uint32_t ClampedMs(milliseconds age) {
  constexpr std::int64_t kMax = part_evidence::kNoAnswer - 1;
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, kMax));
}

part_evidence MakeEvidence(const part_report& report) {
  part_evidence evidence;
  evidence.part = report.part;
  evidence.answer_age_ms = report.answer_age ? ClampedMs(*report.answer_age) : part_evidence::kNoAnswer;
  for (const part_report::crash_entry& crash : report.crashes) {
    evidence.crashes.push_back({crash.crash, crash.request, ClampedMs(crash.age)});
  }
  return evidence;
}

part_report MakeReport(const part_evidence& evidence) {
  part_report report{evidence.part, std::nullopt, {}};
  if (evidence.answer_age_ms != part_evidence::kNoAnswer) {
    report.answer_age = milliseconds(evidence.answer_age_ms);
  }
  for (const part_crash_entry& crash : evidence.crashes) {
    report.crashes.push_back({crash.crash, crash.request, milliseconds(crash.age_ms)});
  }
  return report;
}

std::string FormatParts(const std::vector<part_id>& parts) { return fmt::format("{:x}", fmt::join(parts, ",")); }

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. verdicts and runs
// ---------------------------------------------------------------------------------------------------------------------

part_board::service_parts& part_board::PartsOf(std::uint64_t service_key) {
  service_parts& parts = services_[service_key];
  parts.key = service_key;
  return parts;
}

part_board::service_parts& part_board::PartsOf(const std::string& service) {
  service_parts& parts = PartsOf(KeyOf(service));
  parts.name = service;
  return parts;
}

std::optional<milliseconds> part_board::RemainingRefusal(const std::string& service,
                                                         const std::vector<part_id>& parts) const {
  const auto found = services_.find(KeyOf(service));
  return found == services_.end() ? std::nullopt : found->second.table.RemainingRefusal(parts, timer_service::Now());
}

engine_run_ptr part_board::BeginRun(engine_run run) {
  auto begun = std::make_shared<engine_run>(std::move(run));
  if (!begun->parts.empty()) {
    runs_.push_back(begun);
  }
  return begun;
}

void part_board::RecordEvents(engine_run& run, std::size_t events) {
  const bool had_written_on = run.HasWrittenOn();
  run.events = events;
  if (run.HasWrittenOn() && !had_written_on) {
    RecordAnswer(run);
  }
}

void part_board::RecordEnd(const engine_run& run) {
  if (!run.HasWrittenOn()) {
    RecordAnswer(run);
  }
}

void part_board::RecordAnswer(const engine_run& run) {
  service_parts& parts = PartsOf(run.service);
  if (parts.table.RecordAnswer(run.parts, timer_service::Now())) {
    Events()
        .Line(kComponent, "part_answered")
        .Request(run.attempt)
        .Add("service", run.service)
        .Add("parts", FormatParts(run.parts));
    RecordChange(parts);
  }
}

bool part_board::IsSuspected(const engine_run& run) const {
  const auto found = services_.find(KeyOf(run.service));
  return found != services_.end() && !run.HasWrittenOn() && found->second.table.IsSuspected(run.parts, run.request);
}

void part_board::RecordBreak(engine_run_ptr run) { broken_runs_.emplace_back(timer_service::Now(), std::move(run)); }

void part_board::RecordCrash(const endpoint_name& engine, std::uint64_t incarnation) {
  for (const auto& reference : runs_) {
    const engine_run_ptr run = reference.lock();
    const bool is_candidate =
        run != nullptr && run->engine == engine && run->incarnation == incarnation && !run->HasWrittenOn();
    if (!is_candidate) {
      continue;
    }
    service_parts& parts = PartsOf(run->service);
    if (parts.table.RecordCrash(CrashId(engine, incarnation), run->request, run->parts, timer_service::Now())) {
      Events()
          .Line(kComponent, "crash_under_parts")
          .Request(run->attempt)
          .Add("endpoint", engine.value)
          .Add("service", run->service)
          .Add("parts", FormatParts(run->parts))
          .Add("events", run->events);
      RecordChange(parts);
    }
  }
}

void part_board::RecordChange(service_parts& parts) {
  parts.changed_at = timer_service::Now();
  LogVerdicts(parts);
  Send(parts, kDirectReceivers);
}

void part_board::LogVerdicts(service_parts& parts) {
  const time_point now = timer_service::Now();
  std::vector<part_id> accused;
  for (const accused_part& item : parts.table.AccusedParts(now)) {
    accused.push_back(item.part);
    if (std::find(parts.accused.begin(), parts.accused.end(), item.part) == parts.accused.end()) {
      Events()
          .Line(kComponent, "part_accused")
          .Add("service", parts.name)
          .Add("part", FormatParts({item.part}))
          .Add("crashes", item.crashes.size())
          .Add("for_ms", std::chrono::duration_cast<milliseconds>(item.until - now).count());
    }
  }
  for (const part_id part : parts.accused) {
    if (std::find(accused.begin(), accused.end(), part) == accused.end()) {
      Events().Line(kComponent, "part_cleared").Add("service", parts.name).Add("part", FormatParts({part}));
    }
  }
  if (accused != parts.accused) {
    metrics_
        .AddGauge("persimmon_accused_parts", "Parts of prompts under which engines crash.", {{"service", parts.name}})
        .Set(static_cast<double>(accused.size()));
  }
  parts.accused = std::move(accused);
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. evidence of other routers
// ---------------------------------------------------------------------------------------------------------------------

void part_board::Receive(const part_evidence_list& received) {
  if (!services_.contains(received.service) && services_.size() >= kMaxServices) {
    Events().Line(kComponent, "evidence_dropped").Add("services", services_.size());
    return;
  }
  std::vector<part_report> reports;
  for (const part_evidence& evidence : received.parts) {
    reports.push_back(MakeReport(evidence));
  }
  service_parts& parts = PartsOf(received.service);
  if (parts.table.MergeReports(reports, timer_service::Now())) {
    parts.changed_at = timer_service::Now();
    LogVerdicts(parts);
    Send(parts, kGossipReceivers);
  }
}

std::vector<part_evidence_list> part_board::EvidenceOf(const service_parts& parts) {
  std::vector<part_evidence_list> lists;
  std::size_t bytes = kMaxEvidencePayloadBytes;  // of the last list
  for (const part_report& report : parts.table.Reports(timer_service::Now())) {
    const std::size_t added = kPartBytes + report.crashes.size() * kCrashBytes;
    if (bytes + added > kMaxEvidencePayloadBytes) {
      lists.push_back({parts.key, {}});
      bytes = 0;
    }
    lists.back().parts.push_back(MakeEvidence(report));
    bytes += added;
  }
  return lists;
}

std::vector<part_evidence_list> part_board::AllEvidence() const {
  std::vector<part_evidence_list> all;
  for (const auto& [key, parts] : services_) {
    auto lists = EvidenceOf(parts);
    all.insert(all.end(), std::make_move_iterator(lists.begin()), std::make_move_iterator(lists.end()));
  }
  return all;
}

void part_board::Send(const service_parts& parts, std::size_t receivers) {
  for (part_evidence_list& list : EvidenceOf(parts)) {
    send_(message(std::move(list)), receivers);
  }
}

void part_board::Gossip() {
  const time_point now = timer_service::Now();
  const bool is_idle_round = ++rounds_ % kIdleRounds == 0;
  for (auto& [key, parts] : services_) {
    parts.table.Expire(now);
    LogVerdicts(parts);
    if (parts.changed_at && now - *parts.changed_at < kGossipTime) {
      Send(parts, kGossipReceivers);
    } else if (is_idle_round) {
      Send(parts, 1);
    }
  }
  std::erase_if(broken_runs_, [now](const auto& item) { return now - item.first > kBrokenRunTime; });
  std::erase_if(runs_, [](const auto& run) { return run.expired(); });
}

}  // namespace persimmon
