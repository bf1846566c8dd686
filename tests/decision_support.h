// Times and names for the tests of the code in include/persimmon.
#pragma once

#include <ostream>
#include <string>

#include "persimmon/types.h"

namespace persimmon {

// A time on the virtual clock of a test. The clock starts far from 0, so that negative arguments are valid too.
inline time_point At(std::int64_t ms) { return time_point(milliseconds(1'000'000 + ms)); }

template <class tag>
void PrintTo(const text_id<tag>& id, std::ostream* out) {
  *out << id.value;
}

inline endpoint_name Endpoint(int number) { return {"endpoint-" + std::to_string(number)}; }
inline account_name Account(int number) { return {"account-" + std::to_string(number)}; }
inline router_name Router(int number) { return {"router-" + std::to_string(number)}; }

}  // namespace persimmon
