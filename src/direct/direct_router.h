// Builds a router that goes straight to the endpoints.
#pragma once

#include "core/program.h"
#include "direct/direct_settings.h"

namespace persimmon {

// Registers the services of the router. The result is what a planned stop does.
detail::stop_function RegisterDirectRouter(kernel& services, direct_settings settings);

// The same, with the deployment settings of the platform's settings file.
result<detail::stop_function> BuildDirectRouter(kernel& services, const direct_settings& settings);

}  // namespace persimmon
