// Budgets of extra sends, one per service, with the log lines that explain them. A service of the kernel.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/kernel.h"
#include "direct/direct_call.h"
#include "direct/router_group.h"
#include "persimmon/send_budget.h"

namespace persimmon {

// A provisional send in progress, such as the first prefill of a request. It ends with End or with its last copy.
class provisional_send {
 public:
  provisional_send() = default;
  explicit provisional_send(send_budget& budget) : budget_(Begin(budget)) {}

  void End() { budget_.reset(); }

 private:
  static std::shared_ptr<send_budget> Begin(send_budget& budget) {
    budget.BeginProvisional();
    return {&budget, [](send_budget* begun) { begun->EndProvisional(); }};
  }

  std::shared_ptr<send_budget> budget_;
};

class send_budgets {
 public:
  send_budgets(kernel& services, const direct_settings& settings) : kernel_(services), settings_(settings) {}

  void Start();
  void Stop() {}

  // Counts a request of a caller, which raises the budget of its service.
  void RecordRequest(const direct_call& call);

  // Returns true and counts extra sends of the call if the budget of its service allows that many more.
  bool AllowExtraSends(direct_call& call, std::uint32_t count = 1);

  // Takes back extra sends that were allowed and then not sent.
  void ReturnExtraSends(direct_call& call, std::uint32_t count);

  // Whether a provisional send to the service may be started, and its start.
  send_budget::provisional_check CheckProvisional(const std::string& service);
  provisional_send BeginProvisional(const std::string& service) { return provisional_send(BudgetFor(service)); }

  // Counts an extra send without a check.
  void RecordExtraSend(direct_call& call);

 private:
  send_budget& BudgetFor(const std::string& service);

  kernel& kernel_;
  const direct_settings& settings_;
  router_group* group_ = nullptr;
  time_point slack_from_;
  std::map<std::string, send_budget> budgets_;  // elements are never removed, because provisional sends refer to them
};

}  // namespace persimmon
