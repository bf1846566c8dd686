// Refuses requests with a part of a prompt under which engines crash: the board of such parts (net/part_board.h) with
// the crashes and the messages of the router without agents. A service of the kernel.
#pragma once

#include <memory>
#include <vector>

#include "direct/direct_call.h"
#include "direct/endpoint_tracker.h"
#include "direct/router_group.h"
#include "net/part_board.h"

namespace persimmon {

class part_tracker {
 public:
  explicit part_tracker(kernel& services) : kernel_(services) {}

  void Start();
  void Stop();

  part_board& Board() { return *board_; }

  // Remaining time of the refusal; nothing if the request may be sent to an engine.
  std::optional<milliseconds> RemainingRefusal(const direct_call& call) const;

  engine_run_ptr BeginRun(const direct_call& call, const chosen_endpoint& engine);

 private:
  void RecordCrash(const chosen_endpoint& engine);
  void SendToSome(const message& value, std::size_t receivers) const;

  kernel& kernel_;
  endpoint_tracker* endpoint_tracker_ = nullptr;
  router_group* group_ = nullptr;
  std::unique_ptr<part_board> board_;  // set by Start
  timer_subscription gossip_timer_;
};

}  // namespace persimmon
