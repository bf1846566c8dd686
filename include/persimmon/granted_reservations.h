// The reservations that engines have granted to this router. Each grant has a name of its own, so a name that comes
// again within the lifetime of its reservation is a second copy of a response and grants nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "persimmon/types.h"

namespace persimmon {

class granted_reservations {
 public:
  // `capacity`: number of names remembered; beyond it, those that expire first are forgotten.
  explicit granted_reservations(std::size_t capacity) : capacity_(capacity) {}

  // Records a grant of an engine's incarnation, which expires at a time. Returns false if it is known.
  bool Add(const endpoint_name& engine, std::uint64_t started_ms, const std::string& reservation, time_point expiry,
           time_point now);

  std::size_t Size() const { return grants_.size(); }

 private:
  using grant = std::tuple<endpoint_name, std::uint64_t, std::string>;

  std::size_t capacity_;
  std::set<grant> grants_;
  std::multimap<time_point, grant> by_expiry_;
};

}  // namespace persimmon
