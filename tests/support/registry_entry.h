// Entries of test endpoints in the table service.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "core/settings.h"
#include "fakes/fake_platform.h"

namespace persimmon::support {

// Writes the entry of an endpoint that is ready in zone-a. An empty `stage` names none.
inline void RegisterEndpoint(fakes::table_store& tables, const std::string& name, const std::string& service,
                             const host_port& address, const std::string& stage, int slots) {
  nlohmann::json entry = {{"service", service},
                          {"address", address.Text()},
                          {"zone", "zone-a"},
                          {"slots", slots},
                          {"state", "ready"},
                          {"born", 1},
                          {"seq", 1}};
  if (!stage.empty()) {
    entry["stage"] = stage;
  }
  tables.Commit({{{"servers", name}, entry.dump(), false, std::nullopt}});
}

}  // namespace persimmon::support
