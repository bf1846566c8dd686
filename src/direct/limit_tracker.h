// Keeps the limits of requests per second that endpoints state (persimmon/request_limits.h): tells the other routers
// what endpoints have stated, and gets a permit for each request from the home router of its endpoint. A service of the
// kernel.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "core/kernel.h"
#include "core/mailbox.h"
#include "direct/directory.h"
#include "direct/router_group.h"
#include "persimmon/request_limits.h"
#include "platform/requests.h"

namespace persimmon {

struct permit_result {
  std::optional<send_permit> permit;  // absent: refused
  milliseconds retry_in{0};           // refused: until the endpoint is expected to take a request

  bool operator==(const permit_result&) const = default;
};

class limit_tracker {
 public:
  explicit limit_tracker(kernel& services) : kernel_(services) {}

  void Start();
  void Stop();

  // Records what a response of the endpoint states. `sent` is in the time of timer_service::Now.
  void RecordResponse(const endpoint_name& name, std::uint64_t started_ms, const platform::response_metadata& metadata,
                      time_point sent);

  bool IsLimited(const limited_endpoint& endpoint) const { return limits_->Rate(endpoint).has_value(); }
  milliseconds PredictWait(const limited_endpoint& endpoint) const;

  // Waits until a request may be sent, at most `max_wait`. Returns at once if the endpoint has no limit, or if a
  // request would have to wait longer.
  task<permit_result> Acquire(limited_endpoint endpoint, milliseconds max_wait);

  // Accounts for a request that must be sent without waiting.
  void Charge(const limited_endpoint& endpoint);

  bool IsValid(const limited_endpoint& endpoint, const send_permit& permit) const;

  // The routers as this one sees them, and the home routers. Valid from Start on.
  limit_members& Members() { return limits_->Members(); }

 private:
  using answer_mailbox = mailbox<permit_answer>;

  task<std::optional<permit_decision>> Ask(limited_endpoint endpoint, std::string home, milliseconds max_wait);
  void Receive(const host_port& sender, const message& received);
  void Merge(const endpoint_limit_entry& entry);
  endpoint_limit_entry MakeEntry(const limited_endpoint& endpoint) const;
  void RecordChange(const limited_endpoint& endpoint);
  void TellHome(const limited_endpoint& endpoint);
  void TellOthers();
  void SendEntries(const std::vector<limited_endpoint>& endpoints, const std::vector<host_port>& receivers);
  std::vector<host_port> Others() const;
  void RemoveUnregistered();

  kernel& kernel_;
  deployment_directory* directory_ = nullptr;
  router_group* group_ = nullptr;
  std::unique_ptr<request_limits> limits_;                          // set by Start, when the own address is known
  std::map<limited_endpoint, int> news_;                            // changes to tell, with the number of times left
  std::map<std::uint64_t, std::shared_ptr<answer_mailbox>> asked_;  // by sequence
  std::uint64_t next_sequence_ = 0;
  timer_subscription tick_timer_;
  timer_subscription news_timer_;
  timer_subscription expiry_timer_;
};

}  // namespace persimmon
