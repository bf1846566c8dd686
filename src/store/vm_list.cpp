// Sections
//   1. values
//   2. single requests
//   3. service
#include "store/vm_list.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "core/log.h"

namespace persimmon {
namespace {

using json = nlohmann::json;

constexpr double kPollJitter = 0.25;  // of the period

const logger& Log() {
  static const logger log("platform.vm_list");
  return log;
}

// ---------------------------------------------------------------------------------------------------------------------
// 1. values
// ---------------------------------------------------------------------------------------------------------------------

std::string StringField(const json& item, const char* field) {
  const bool has_text = item.is_object() && item.contains(field) && item[field].is_string();
  return has_text ? item[field].get<std::string>() : std::string();
}

std::optional<listed_vm> ParseVm(const json& item) {
  listed_vm vm;
  vm.name = StringField(item, "name");
  vm.zone = StringField(item, "zone");
  const std::string role = StringField(item, "role");
  const std::string phase = StringField(item, "state");
  const auto address = ParseHostPort(StringField(item, "address"));
  const bool role_is_known = role == "router" || role == "endpoint";
  const bool phase_is_known = phase == "live" || phase == "leaving" || phase == "gone";
  if (vm.name.empty() || !address || !role_is_known || !phase_is_known) {
    return std::nullopt;
  }
  vm.address = address.value();
  vm.role = role == "router" ? vm_role::kRouter : vm_role::kEndpoint;
  vm.phase = phase == "live" ? vm_phase::kLive : phase == "leaving" ? vm_phase::kLeaving : vm_phase::kGone;
  return vm;
}

}  // namespace

const char* PhaseName(vm_phase phase) {
  switch (phase) {
    case vm_phase::kLive:
      return "live";
    case vm_phase::kLeaving:
      return "leaving";
    case vm_phase::kGone:
      return "gone";
  }
  return "gone";
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. single requests
// ---------------------------------------------------------------------------------------------------------------------

task<result<std::vector<listed_vm>>> ReadVmList(platform_client client) {
  http_request request;
  request.method = "GET";
  request.target = "/vms";
  auto response = co_await client.Fetch(std::move(request), failover_rule::kAlways);
  if (!response) {
    co_return response.error();
  }
  const json body = json::parse(response.value().body, nullptr, false);
  if (response.value().status != 200 || !body.is_object() || !body.contains("vms") || !body["vms"].is_array()) {
    co_return error{error_code::kProtocol,
                    fmt::format("the platform answered with HTTP status {} and no VM list", response.value().status)};
  }
  std::vector<listed_vm> entries;
  for (const json& item : body["vms"]) {
    auto entry = ParseVm(item);
    if (entry) {
      entries.push_back(std::move(*entry));
    } else {
      Log().Warning("Skipped an invalid entry of the VM list: {}.", StringField(item, "name"));
    }
  }
  co_return entries;
}

task<result<void>> RegisterVm(platform_client client, listed_vm entry) {
  const json body = {{"role", entry.role == vm_role::kRouter ? "router" : "endpoint"},
                     {"address", entry.address.Text()},
                     {"zone", entry.zone},
                     {"state", PhaseName(entry.phase)}};
  http_request request;
  request.method = "PUT";
  request.target = "/vms/" + EncodePercent(entry.name);
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = body.dump();
  // Registration is idempotent, so it may be retried at the next server after any failure.
  auto response = co_await client.Fetch(std::move(request), failover_rule::kAlways);
  if (!response) {
    co_return response.error();
  }
  if (response.value().status != 200) {
    co_return error{error_code::kProtocol,
                    fmt::format("the platform answered a registration with HTTP status {}", response.value().status)};
  }
  co_return outcome::success();
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. service
// ---------------------------------------------------------------------------------------------------------------------

struct vm_list::state : std::enable_shared_from_this<vm_list::state> {
  state(timer_service& timers, asio::io_context& context, platform_client client, vm_list_settings settings)
      : timers(timers), context(context), client(std::move(client)), settings(settings) {}

  timer_service& timers;
  asio::io_context& context;
  platform_client client;
  vm_list_settings settings;
  std::vector<listed_vm> entries;
  std::vector<listener> listeners;
  std::optional<listed_vm> pending_registration;  // own entry, until the platform has confirmed it
  timer_subscription poll_timer;
  bool running = false;
  bool polling = false;
  bool has_been_read = false;
  bool read_failing = false;

  void PollNow() {
    if (running && !polling) {
      asio::co_spawn(context, Poll(), asio::detached);
    }
  }

  task<> Poll() {
    const auto self = shared_from_this();
    polling = true;
    if (pending_registration) {
      const listed_vm own = *pending_registration;
      const auto registered = co_await RegisterVm(client, own);
      if (registered && pending_registration == own) {
        pending_registration.reset();
      }
    }
    auto list = co_await ReadVmList(client);
    polling = false;
    if (!running) {
      co_return;
    }
    LogReadResult(list);
    if (list && (!has_been_read || list.value() != entries)) {
      has_been_read = true;
      entries = std::move(list.value());
      NotifyListeners();
    }
  }

  // Logs only the start and the end of an outage, so that a long one does not fill the log.
  void LogReadResult(const result<std::vector<listed_vm>>& list) {
    if (!list && !read_failing) {
      Log().Warning("Cannot read the VM list: {}. The last known list stays in use.", list.error().message);
    } else if (list && read_failing) {
      Log().Info("The VM list can be read again.");
    }
    read_failing = !list;
  }

  void NotifyListeners() {
    const auto all = listeners;
    for (const listener& on_change : all) {
      on_change(entries);
    }
  }
};

vm_list::vm_list(timer_service& timers, asio::io_context& context, platform_client client, vm_list_settings settings)
    : state_(std::make_shared<state>(timers, context, std::move(client), settings)) {}

void vm_list::Start() {
  state_->running = true;
  state_->poll_timer =
      state_->timers.SubscribeEvery(state_->settings.poll_period, kPollJitter, [weak = std::weak_ptr(state_)] {
        if (const auto self = weak.lock()) {
          self->PollNow();
        }
      });
  state_->PollNow();
}

void vm_list::Stop() {
  state_->running = false;
  state_->poll_timer.Cancel();
}

const std::vector<listed_vm>& vm_list::Entries() const { return state_->entries; }

bool vm_list::HasBeenRead() const { return state_->has_been_read; }

void vm_list::Subscribe(const listener& on_change) {
  state_->listeners.push_back(on_change);
  if (state_->has_been_read) {
    on_change(state_->entries);
  }
}

void vm_list::RegisterSelf(listed_vm own) {
  state_->pending_registration = std::move(own);
  state_->PollNow();
}

}  // namespace persimmon
