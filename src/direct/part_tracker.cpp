#include "direct/part_tracker.h"

#include <algorithm>

#include "core/random.h"
#include "core/telemetry.h"
#include "direct/suspect_tracker.h"

namespace persimmon {

void part_tracker::Start() {
  endpoint_tracker_ = &kernel_.Find<endpoint_tracker>("board");
  group_ = &kernel_.Find<router_group>("group");
  board_ = std::make_unique<part_board>(
      kernel_.Find<telemetry>("telemetry").Metrics(),
      [this](const message& value, std::size_t receivers) { SendToSome(value, receivers); });
  kernel_.Find<suspect_tracker>("crashes").on_crash = [this](const chosen_endpoint& engine) { RecordCrash(engine); };
  group_->SubscribeMessages([this](const host_port&, const message& received) {
    if (const auto* evidence = std::get_if<part_evidence_list>(&received)) {
      board_->Receive(*evidence);
    }
  });
  group_->SubscribeRouters([this](const host_port& router) {
    for (part_evidence_list& list : board_->AllEvidence()) {
      group_->Send(router, message(std::move(list)));
    }
  });
  gossip_timer_ = kernel_.Timers().SubscribeEvery(part_board::kGossipPeriod, 0.2, [this] { board_->Gossip(); });
}

void part_tracker::Stop() { gossip_timer_.Cancel(); }

std::optional<milliseconds> part_tracker::RemainingRefusal(const direct_call& call) const {
  return board_->RemainingRefusal(call.Service().name, call.Metadata().shared_parts);
}

engine_run_ptr part_tracker::BeginRun(const direct_call& call, const chosen_endpoint& engine) {
  return board_->BeginRun({call.Service().name, call.Metadata().shared_parts, call.Fingerprint(),
                           call.Metadata().attempt, engine.name, engine.started_ms, 0});
}

// A leaving engine ends with the streams that it still has; that is no crash.
void part_tracker::RecordCrash(const chosen_endpoint& engine) {
  if (endpoint_tracker_->IsCurrent(engine)) {
    board_->RecordCrash(engine.name, engine.started_ms);
  }
}

void part_tracker::SendToSome(const message& value, std::size_t receivers) const {
  std::vector<host_port> others;
  for (const router_group::member& member : group_->LiveMembers()) {
    if (member != group_->Self()) {
      others.push_back(member.address);
    }
  }
  const std::size_t count = std::min(receivers, others.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(others[i], others[i + RandomNumber() % (others.size() - i)]);
    group_->Send(others[i], value);
  }
}

}  // namespace persimmon
