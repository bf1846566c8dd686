#include "direct/send_budgets.h"

#include <algorithm>

#include "core/event_log.h"

namespace persimmon {
namespace {

constexpr const char* kComponent = "router.budgets";

}  // namespace

void send_budgets::Start() {
  const auto& deployment = settings_.deployment;
  group_ = &kernel_.Find<router_group>("group");
  slack_from_ = timer_service::Now() + (deployment.first_start ? milliseconds(0) : deployment.budget_window);
}

send_budget& send_budgets::BudgetFor(const std::string& service) {
  const auto& deployment = settings_.deployment;
  send_budget_settings limits;
  limits.ratio = deployment.budget_ratio;
  limits.slack = deployment.budget_slack;
  limits.window = deployment.budget_window;
  send_budget& budget = budgets_.try_emplace(service, limits, slack_from_).first->second;
  budget.SetRouters(group_->RouterCount());
  return budget;
}

void send_budgets::RecordRequest(const direct_call& call) {
  BudgetFor(call.Service().name).RecordRequest(timer_service::Now());
}

bool send_budgets::AllowExtraSends(direct_call& call, std::uint32_t count) {
  send_budget& budget = BudgetFor(call.Service().name);
  const time_point now = timer_service::Now();
  if (budget.AllowSends(count, now)) {
    call.extra_sends += count;
    return true;
  }
  Events()
      .Line(kComponent, "budget_spent")
      .Request(call.Metadata().attempt)
      .Add("service", call.Service().name)
      .Add("asked", count)
      .Add("requests", budget.RequestCount())
      .Add("extra_sends", budget.SendCount())
      .Add("available", budget.Available(now))
      .Add("routers", group_->RouterCount());
  return false;
}

void send_budgets::ReturnExtraSends(direct_call& call, std::uint32_t count) {
  BudgetFor(call.Service().name).ReturnSends(count);
  call.extra_sends -= std::min(count, call.extra_sends);
}

send_budget::provisional_check send_budgets::CheckProvisional(const std::string& service) {
  return BudgetFor(service).CheckProvisional(timer_service::Now());
}

void send_budgets::RecordExtraSend(direct_call& call) {
  BudgetFor(call.Service().name).RecordSend(timer_service::Now());
  ++call.extra_sends;
}

}  // namespace persimmon
