// Random numbers for identifiers and jitter. Decisions do not use it: they receive their random values as arguments.
#pragma once

#include <cstdint>
#include <string>

namespace persimmon {

// Uniform in [0, 1).
double RandomUnit();

std::uint64_t RandomNumber();

// Lower-case hexadecimal text of the given number of characters.
std::string RandomHex(int characters);

}  // namespace persimmon
