// Builds a router that sends requests directly to the endpoints, without agents.
#pragma once

#include "core/program.h"
#include "direct/direct_settings.h"

namespace persimmon {

// Registers the services of the router. Returns the function that performs a graceful shutdown.
detail::stop_function RegisterDirectRouter(kernel& services, direct_settings settings);

// Reads the deployment settings from the platform's settings file and registers the services. Errors: kInvalid if no
// file is configured or its content is invalid, kUnavailable if it cannot be read.
result<detail::stop_function> BuildDirectRouter(kernel& services, const direct_settings& settings);

}  // namespace persimmon
