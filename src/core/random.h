// Random numbers for identifiers and jitter. Decision logic does not call these functions; it receives random values as
// arguments.
#pragma once

#include <cstdint>
#include <string>

namespace persimmon {

// Uniform in [0, 1).
double RandomUnit();

std::uint64_t RandomNumber();

// Random lower-case hexadecimal string of the given length.
std::string RandomHex(int characters);

}  // namespace persimmon
