// Entry point of fake-replica, which runs one fake endpoint that routers call directly: it registers itself in the
// table service, reports its status, and leaves on SIGTERM.
#include <gflags/gflags.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>

#include "core/event_log.h"
#include "core/program.h"
#include "fakes/fake_replica.h"
#include "platform/table_client.h"

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to listen on");
DEFINE_string(store, "", "IP:PORT of the table service");
DEFINE_string(name, "", "name of the endpoint, unique in the deployment");
DEFINE_string(service, "app", "service of the endpoint");
DEFINE_string(zone, "zone-a", "availability zone of the endpoint");
DEFINE_string(stage, "", "prefill or decode; empty: a plain service");
DEFINE_string(software_version, "", "software version in its entry; empty: none");
DEFINE_uint32(memory_tokens, 0, "KV cache capacity of a decode engine");
DEFINE_uint32(events, 5, "events per stream");
DEFINE_uint32(event_interval_ms, 20, "time after each event");
DEFINE_uint32(tokens_per_ms, 0, "prefill rate; 0: without delay");
DEFINE_uint32(work_ms, 0, "duration of a plain call");
DEFINE_uint32(heartbeat_ms, 1'200, "time between status reports");
DEFINE_uint32(announce_delay_ms, 0,
              "time between its first response that states its leaving and the change of its entry");
DEFINE_uint32(serve_after_leave_ms, 5'000, "how long it serves after the service has accepted that it leaves");
DEFINE_string(crash_on_part, "", "the process ends when it begins a stream whose prompt has this part; empty: never");
DEFINE_bool(leave_unannounced, false, "on SIGTERM, remove the entry instead of reporting that the endpoint drains");

namespace persimmon::fakes {
namespace {

constexpr const char* kComponent = "fake.replica";
constexpr milliseconds kStoreTimeout(500);
constexpr milliseconds kRetryDelay(100);
const std::string kEndpointTable = "servers";  // name of the platform's table of endpoint entries

class replica_process {
 public:
  replica_process(kernel& services, replica_options options, host_port store)
      : kernel_(services),
        name_(options.name),
        replica_(services.Context(), std::move(options)),
        table_(services.Context(), {std::move(store)}, kStoreTimeout) {
    replica_.Faults().crash_on_part = FLAGS_crash_on_part;
  }

  result<void> Start() {
    auto started = replica_.Start();
    if (started) {
      asio::co_spawn(kernel_.Context(), ReportStatus(), asio::detached);
    }
    return started;
  }

  void Leave(std::function<void()> finished) {
    leaving_ = true;
    asio::co_spawn(kernel_.Context(), LeaveDeployment(std::move(finished)), asio::detached);
  }

 private:
  task<bool> WriteEntry(std::optional<std::string> value) {
    std::vector<table_write> writes(1);
    writes[0].table = kEndpointTable;
    writes[0].key = name_;
    writes[0].value = std::move(value);
    auto written = co_await table_.Commit(std::move(writes));
    co_return written&& written.value().committed;
  }

  task<> ReportStatus() {
    while (!leaving_) {
      (void)co_await WriteEntry(replica_.EntryText(false, ++reports_));  // a failed report is repeated by the next one
      co_await kernel_.Timers().Sleep(milliseconds(FLAGS_heartbeat_ms));
    }
  }

  task<> LeaveDeployment(std::function<void()> finished) {
    replica_.Faults().leaving = true;
    Events().Line(kComponent, "leaving").Add("endpoint", name_).Add("announced", !FLAGS_leave_unannounced);
    co_await kernel_.Timers().Sleep(milliseconds(FLAGS_announce_delay_ms));
    std::optional<std::string> value;
    if (!FLAGS_leave_unannounced) {
      value = replica_.EntryText(true, ++reports_);
    }
    while (!co_await WriteEntry(value)) {
      co_await kernel_.Timers().Sleep(kRetryDelay);
    }
    Events().Line(kComponent, "leaving_acknowledged").Add("endpoint", name_);
    co_await kernel_.Timers().Sleep(milliseconds(FLAGS_serve_after_leave_ms));
    (void)co_await WriteEntry(std::nullopt);  // an entry that remains expires
    replica_.Stop();
    finished();
  }

  kernel& kernel_;
  std::string name_;
  fake_replica replica_;
  table_client table_;
  std::uint64_t reports_ = 0;
  bool leaving_ = false;
};

replica_options ReadOptions(const host_port& listen) {
  replica_options options;
  options.listen = listen;
  options.name = FLAGS_name;
  options.service = FLAGS_service;
  options.zone = FLAGS_zone;
  options.stage = FLAGS_stage;
  options.version = FLAGS_software_version;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  options.started_ms = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
  options.memory_tokens = FLAGS_memory_tokens;
  options.events = FLAGS_events;
  options.event_interval = milliseconds(FLAGS_event_interval_ms);
  options.tokens_per_ms = FLAGS_tokens_per_ms;
  options.work_time = milliseconds(FLAGS_work_ms);
  options.exits_after_crash = true;
  options.logs_arrivals = true;
  return options;
}

}  // namespace
}  // namespace persimmon::fakes

int main(int argc, char** argv) {
  gflags::SetVersionString(persimmon::kProgramVersion);
  gflags::SetUsageMessage("Fake of an endpoint that registers itself and is called by routers directly.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const persimmon::logger log("fake.replica");
  const auto listen = persimmon::ParseHostPort(FLAGS_listen);
  const auto store = persimmon::ParseHostPort(FLAGS_store);
  if (!listen || !store || FLAGS_name.empty()) {
    log.Error("--listen and --store must be IP:PORT, --name must not be empty.");
    return persimmon::kExitSettings;
  }
  persimmon::UseEventLog();
  persimmon::kernel services;
  persimmon::fakes::replica_process replica(services, persimmon::fakes::ReadOptions(listen.value()), store.value());
  if (const auto started = replica.Start(); !started) {
    log.Error("Cannot start: {}.", started.error().message);
    return persimmon::kExitFailure;
  }
  return persimmon::detail::RunKernel(
      services, [&replica](std::function<void()> finished) { replica.Leave(std::move(finished)); });
}
