// API keys of callers: reads them from a request header and hashes them.
#pragma once

#include <string>
#include <string_view>

namespace persimmon {

// Key in the value of an Authorization header with the scheme Bearer; empty if there is none.
std::string_view ParseBearerKey(std::string_view authorization);

// SHA-256 of the key in lower-case hexadecimal.
std::string HashApiKey(std::string_view key);

}  // namespace persimmon
