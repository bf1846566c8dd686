#include "persimmon/routes.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace persimmon {
namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
  return lower;
}

std::string_view WithoutPort(std::string_view host) {
  const auto colon = host.rfind(':');
  return colon == std::string_view::npos ? host : host.substr(0, colon);
}

}  // namespace

const char* CallKindName(call_kind kind) {
  switch (kind) {
    case call_kind::kIdempotent:
      return "idempotent";
    case call_kind::kNonIdempotent:
      return "non_idempotent";
    case call_kind::kStreaming:
      return "streaming";
  }
  return "unknown";
}

bool route_record::Names(const std::string& service) const {
  return std::any_of(services.begin(), services.end(),
                     [&](const weighted_service& target) { return target.service == service; });
}

urgency_level UrgencyOf(const route_record& route, const caller_account* account) {
  const bool has_priority = account != nullptr && account->priority.has_value();
  return {has_priority ? *account->priority : route.priority, route.priority};
}

milliseconds AbandonTime(const route_record& route) {
  constexpr milliseconds kShortest(2'000);
  return std::max({kShortest, 4 * route.target_latency, 8 * route.target_event_interval});
}

routing_table::routing_table(revision_number revision, std::vector<route_record> routes,
                             std::vector<service_record> services, const caller_limits& limits,
                             std::optional<account_directory> accounts)
    : revision_(revision), limits_(limits), accounts_(std::move(accounts)) {
  std::map<std::string, std::set<std::uint32_t>> priorities;  // of the streaming routes, by service
  std::set<std::uint32_t> account_priorities;
  for (const caller_account& account : accounts_ ? accounts_->Accounts() : std::vector<caller_account>()) {
    if (account.priority) {
      account_priorities.insert(*account.priority);
    }
  }
  for (route_record& route : routes) {
    for (const weighted_service& target : route.services) {
      if (route.kind == call_kind::kStreaming && target.weight > 0) {
        priorities[target.service].insert(route.priority);
        std::set<urgency_level>& levels = urgency_levels_[target.service];
        levels.insert({route.priority, route.priority});
        for (const std::uint32_t priority : account_priorities) {
          levels.insert({priority, route.priority});
        }
      }
    }
    prefix_map& prefixes = hosts_[LowerCase(route.host)];
    std::string prefix = route.path_prefix;
    prefixes.insert_or_assign(std::move(prefix), std::move(route));
  }
  for (service_record& service : services) {
    std::string name = service.name;
    services_.insert_or_assign(std::move(name), std::move(service));
  }
  for (const auto& [service, values] : priorities) {
    if (values.size() > 1) {
      services_with_priorities_.insert(service);
    }
  }
}

const route_record* routing_table::FindRoute(std::string_view host, std::string_view target) const {
  const auto found = hosts_.find(LowerCase(WithoutPort(host)));
  if (found == hosts_.end()) {
    return nullptr;
  }
  std::string_view path = target.substr(0, target.find('?'));
  // Route prefixes end with a slash, so only the path prefixes that do are looked up, the longest first.
  for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/')) {
    const auto route = found->second.find(path.substr(0, slash + 1));
    if (route != found->second.end()) {
      return &route->second;
    }
    path = path.substr(0, slash);
  }
  return nullptr;
}

const service_record* routing_table::FindService(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

const std::set<urgency_level>& routing_table::UrgencyLevels(const std::string& service) const {
  static const std::set<urgency_level> no_levels;
  const auto found = urgency_levels_.find(service);
  return found == urgency_levels_.end() ? no_levels : found->second;
}

std::vector<const route_record*> routing_table::Routes() const {
  std::vector<const route_record*> routes;
  for (const auto& [host, prefixes] : hosts_) {
    for (const auto& [prefix, route] : prefixes) {
      routes.push_back(&route);
    }
  }
  return routes;
}

milliseconds routing_table::LongestResumableTimeout() const {
  milliseconds longest(0);
  for (const auto& [host, prefixes] : hosts_) {
    for (const auto& [prefix, route] : prefixes) {
      longest = std::max(longest, route.resumable ? route.timeout : milliseconds(0));
    }
  }
  return longest;
}

std::size_t routing_table::RouteCount() const {
  return std::accumulate(hosts_.begin(), hosts_.end(), std::size_t{0},
                         [](std::size_t sum, const auto& host) { return sum + host.second.size(); });
}

std::set<std::string> ServicesOf(const route_record& route) {
  std::set<std::string> services;
  for (const weighted_service& target : route.services) {
    if (target.weight > 0) {
      services.insert(target.service);
    }
  }
  // Without any weight, PickService returns the last one.
  return services.empty() ? std::set<std::string>{route.services.back().service} : services;
}

const std::string& PickService(const route_record& route, double draw) {
  const auto total = std::accumulate(route.services.begin(), route.services.end(), std::uint64_t{0},
                                     [](std::uint64_t sum, const auto& target) { return sum + target.weight; });
  double remaining = draw * static_cast<double>(total);
  for (const weighted_service& target : route.services) {
    remaining -= target.weight;
    if (remaining < 0 && target.weight > 0) {
      return target.service;
    }
  }
  return route.services.back().service;
}

}  // namespace persimmon
