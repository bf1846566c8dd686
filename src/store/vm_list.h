// The platform's list of VMs, which lags, and the registration of this process in it.
//
// Sections
//   1. values
//   2. reading and registering once
//   3. service
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/timers.h"
#include "platform/table_client.h"

namespace persimmon {

// ---------------------------------------------------------------------------------------------------------------------
// 1. values
// ---------------------------------------------------------------------------------------------------------------------

enum class vm_role : std::uint8_t { kRouter, kEndpoint };
enum class vm_phase : std::uint8_t { kLive, kLeaving, kGone };

struct listed_vm {
  std::string name;
  vm_role role = vm_role::kRouter;
  host_port address;  // of its channel listener
  std::string zone;
  vm_phase phase = vm_phase::kLive;

  bool operator==(const listed_vm&) const = default;
};

// "live", "leaving" or "gone".
const char* PhaseName(vm_phase phase);

// ---------------------------------------------------------------------------------------------------------------------
// 2. reading and registering once
// ---------------------------------------------------------------------------------------------------------------------

// Entries that cannot be read are left out with a warning. Errors: kUnavailable, kTimeout, kClosed, kProtocol.
task<result<std::vector<listed_vm>>> ReadVmList(platform_client client);

// Registers or updates one entry. Registering the same entry twice has no further effect.
task<result<void>> RegisterVm(platform_client client, listed_vm entry);

// ---------------------------------------------------------------------------------------------------------------------
// 3. service
// ---------------------------------------------------------------------------------------------------------------------

struct vm_list_settings {
  milliseconds poll_period = milliseconds(2'000);  // spread by a jitter of a quarter

  bool operator==(const vm_list_settings&) const = default;
};

// A service of the kernel.
class vm_list {
 public:
  using listener = std::function<void(const std::vector<listed_vm>&)>;

  vm_list(timer_service& timers, asio::io_context& context, platform_client client, vm_list_settings settings);

  void Start();
  void Stop();

  // The last list that was read. Stays as it is while the platform does not answer.
  const std::vector<listed_vm>& Entries() const;
  bool HasBeenRead() const;

  // Calls the function after every change of the list, and at once if it has been read.
  void Subscribe(const listener& on_change);

  // Registers this process, and repeats that with every poll until it has succeeded.
  void Announce(listed_vm own);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
