#include "direct/direct_router.h"

#include "core/telemetry.h"
#include "direct/account_tracker.h"
#include "direct/answer_memory.h"
#include "direct/caller_auth.h"
#include "direct/ingress.h"
#include "direct/origin_tracker.h"
#include "direct/part_tracker.h"
#include "direct/prompt_tracker.h"

namespace persimmon {
namespace {

// Of the answers of peers. The largest is their state: a desired state and the entries of all endpoints, some 300 bytes
// each.
constexpr std::size_t kMaxPeerBodyBytes = 4U << 20U;

// Of the descriptors, for idle connections to endpoints. 18 engines with 12 each take 216 of 3,900.
constexpr double kIdleConnectionShare = 0.2;

}  // namespace

detail::stop_function RegisterDirectRouter(kernel& services, direct_settings initial) {
  const auto settings = std::make_shared<direct_settings>(std::move(initial));
  http_client_limits limits;
  limits.connect_timeout = settings->connect_timeout;
  limits.idle_connections = static_cast<std::size_t>(settings->idle_connections);
  limits.reuse_limit = settings->reuse_limit;
  limits.body_bytes = kMaxPeerBodyBytes;
  if (const auto descriptors = settings->deployment.descriptors) {
    limits.total_idle_connections = static_cast<std::size_t>(kIdleConnectionShare * static_cast<double>(*descriptors));
  }
  const auto client = std::make_shared<http_client>(services.Context(), limits);
  const table_client table(services.Context(), {settings->deployment.store}, settings->store_timeout);

  services.Register<telemetry>("telemetry", services, settings->deployment.name, std::string());
  auto& group = services.Register<router_group>("group", services, *settings);
  auto& directory = services.Register<deployment_directory>("directory", services, *settings, table);
  services.Register<answer_memory>("answers", *settings);
  services.Register<limit_tracker>("limits", services);
  services.Register<account_tracker>("accounts", services);
  services.Register<caller_auth>("auth", services, *settings, *client);
  auto& tracker = services.Register<endpoint_tracker>("board", services, *settings);
  services.Register<suspect_tracker>("crashes", services, *client);
  services.Register<part_tracker>("parts", services);
  services.Register<prompt_tracker>("prompts", services, *settings);
  services.Register<send_budgets>("budgets", services, *settings);
  services.Register<origin_tracker>("origins", services, *settings, table);
  services.Register<plain_calls>("plain", services, *settings, *client);
  auto& generations = services.Register<generation_calls>("generations", services, *settings, *client);
  services.Register<stage_orders>("stages", services, *settings, *client, table);
  auto& request_ingress = services.Register<ingress>("entry", services, *settings, *client);
  group.local_revision = [&directory] { return directory.Routes()->Revision(); };
  group.local_uses = [&tracker] { return tracker.LocalUses(); };
  group.local_waiting = [&generations] { return generations.LocalWaiting(); };
  // The stop function owns the settings and the client; the program keeps it until the kernel has stopped.
  return detail::stop_function([&request_ingress, settings, client](std::function<void()> finished) {
    request_ingress.Drain(std::move(finished));
  });
}

result<detail::stop_function> BuildDirectRouter(kernel& services, const direct_settings& defaults) {
  const auto path = platform::SettingsPath();
  if (!path) {
    return error{error_code::kInvalid, "the platform's settings file is not configured"};
  }
  auto deployment = platform::ReadDeploymentSettings(*path);
  if (!deployment) {
    return deployment.error();
  }
  direct_settings settings = defaults;
  settings.deployment = deployment.value();
  return RegisterDirectRouter(services, std::move(settings));
}

}  // namespace persimmon
