// Reads the platform's list of VMs, which may lag behind their actual state, and registers this process in it.
//
// Sections
//   1. values
//   2. single requests
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
// 2. single requests
// ---------------------------------------------------------------------------------------------------------------------

// Invalid entries are skipped with a warning. Errors: kUnavailable, kTimeout, kClosed, kProtocol.
task<result<std::vector<listed_vm>>> ReadVmList(platform_client client);

// Registers or updates one entry. Idempotent. Errors: as ReadVmList.
task<result<void>> RegisterVm(platform_client client, listed_vm entry);

// ---------------------------------------------------------------------------------------------------------------------
// 3. service
// ---------------------------------------------------------------------------------------------------------------------

struct vm_list_settings {
  milliseconds poll_period = milliseconds(2'000);  // with a jitter of 25 %

  bool operator==(const vm_list_settings&) const = default;
};

// A kernel service.
class vm_list {
 public:
  using listener = std::function<void(const std::vector<listed_vm>&)>;

  vm_list(timer_service& timers, asio::io_context& context, platform_client client, vm_list_settings settings);

  void Start();
  void Stop();

  // The last list that was read. Unchanged while the platform is unavailable.
  const std::vector<listed_vm>& Entries() const;
  bool HasBeenRead() const;

  // Calls on_change after every change of the list, and immediately if the list has been read.
  void Subscribe(const listener& on_change);

  // Registers this process. A failed registration is retried with every poll.
  void RegisterSelf(listed_vm own);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace persimmon
