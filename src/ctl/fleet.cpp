#include "ctl/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <tuple>

#include "core/random.h"

namespace persimmon {

std::vector<process_target> ListProcesses(const std::vector<listed_vm>& vms, const configuration& records) {
  std::vector<process_target> targets;
  std::map<std::string, vm_phase> endpoint_phases;
  for (const listed_vm& vm : vms) {
    if (vm.role == vm_role::kEndpoint) {
      endpoint_phases[vm.name] = vm.phase;
    } else if (vm.phase != vm_phase::kGone) {
      targets.push_back({"router", vm.name, vm.zone, vm.address, vm.phase});
    }
  }
  for (const auto& [name, endpoint] : records.endpoints) {
    const auto listed = endpoint_phases.find(name.value);
    const vm_phase phase = listed == endpoint_phases.end() ? vm_phase::kLive : listed->second;
    const auto address = ParseHostPort(endpoint.address);
    if (phase != vm_phase::kGone && address) {
      targets.push_back({"agent", name.value, endpoint.zone.value, address.value(), phase});
    }
  }
  return targets;
}

bool IsInForceEverywhere(const std::vector<process_view>& views, revision_number revision) {
  const auto is_up_to_date = [revision](const process_view& view) {
    const bool has_ended = view.is_leaving && !view.is_connected;
    return has_ended || (view.is_connected && view.revision >= revision);
  };
  const bool any_connected =
      std::any_of(views.begin(), views.end(), [](const process_view& view) { return view.is_connected; });
  return any_connected && std::all_of(views.begin(), views.end(), is_up_to_date);
}

struct fleet_monitor::entry {
  process_view view;
  time_point since;
  std::unique_ptr<channel_connector> connector;
};

fleet_monitor::fleet_monitor(asio::io_context& context, std::string secret, channel_settings settings)
    : context_(context), secret_(std::move(secret)), name_("ctl-" + RandomHex(8)), settings_(std::move(settings)) {}

fleet_monitor::~fleet_monitor() { SetTargets({}); }

namespace {

// Another process may be listening at the address of the target. Empty if the peer is the expected one.
std::string DescribeMismatch(const process_target& target, const hello& peer) {
  if (peer.program == target.program && peer.name == target.name) {
    return {};
  }
  return fmt::format("another process answers at this address: {} {}", peer.program, peer.name);
}

}  // namespace

void fleet_monitor::SetTargets(const std::vector<process_target>& targets) {
  std::set<std::string> listed_addresses;
  for (const process_target& target : targets) {
    const std::string key = target.address.Text();
    listed_addresses.insert(key);
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
      found->second->view.target = target;
      continue;
    }
    auto created = std::make_shared<entry>();
    created->view.target = target;
    created->view.problem = "no answer yet";
    created->since = timer_service::Now();
    const std::weak_ptr<entry> weak = created;
    channel_handlers handlers;
    handlers.make_hello = [name = name_, secret = secret_] {
      hello own;
      own.program = "ctl";
      own.name = name;
      own.secret = secret;
      return own;
    };
    handlers.make_heartbeat = [] { return heartbeat(); };
    handlers.on_open = [weak](const channel_ptr& opened) {
      if (const auto self = weak.lock()) {
        self->view.problem = DescribeMismatch(self->view.target, opened->Peer());
        self->view.is_connected = self->view.problem.empty();
        self->view.revision = opened->Peer().revision;
        self->view.incarnation = opened->Peer().incarnation;
      }
    };
    handlers.on_message = [weak](const channel_ptr&, const message& received) {
      const auto self = weak.lock();
      const auto* beat = std::get_if<heartbeat>(&received);
      if (self && beat != nullptr) {
        self->view.revision = beat->revision;
        self->view.is_leaving = beat->leaving;
      }
    };
    handlers.on_close = [weak](const channel_ptr&, const error& reason) {
      if (const auto self = weak.lock()) {
        self->view.is_connected = false;
        self->view.problem = reason.message;
      }
    };
    created->connector = std::make_unique<channel_connector>(context_, target.address, settings_, handlers);
    created->connector->Start();
    entries_[key] = std::move(created);
  }
  std::erase_if(entries_, [&listed_addresses](const auto& item) { return listed_addresses.count(item.first) == 0; });
}

std::vector<process_view> fleet_monitor::Views() const {
  std::vector<process_view> views;
  for (const auto& [key, item] : entries_) {
    views.push_back(item->view);
    process_view& view = views.back();
    view.is_leaving = view.is_leaving || view.target.phase == vm_phase::kLeaving;
    if (!view.is_connected && view.problem == "no answer yet" &&
        timer_service::Now() - item->since > settings_.connect_timeout) {
      view.problem = "unreachable, or rejects the secret";
    }
  }
  std::sort(views.begin(), views.end(), [](const process_view& left, const process_view& right) {
    return std::tie(left.target.program, left.target.name) > std::tie(right.target.program, right.target.name);
  });
  return views;
}

bool fleet_monitor::HasTriedAll() const {
  return std::all_of(entries_.begin(), entries_.end(), [this](const auto& item) {
    return item.second->view.problem != "no answer yet" ||
           timer_service::Now() - item.second->since > settings_.connect_timeout;
  });
}

}  // namespace persimmon
