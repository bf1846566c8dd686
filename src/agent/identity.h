// The agent's incarnation, allocated from a counter in the table service.
//
// Rules
//   1. With the store available: the next number of the counter row (store/incarnation.h).
//   2. While the store is unavailable: a provisional number from the wall clock in microseconds. It is far above any
//      counter value. If the engine reports the highest incarnation it has accepted, the number is also above that.
//      This number identifies the agent to routers. Until the store is available, commands are sent only to an engine
//      that reports its highest number, and only while that number is not above the agent's.
//   3. Once the store is available again, the counter is advanced to the provisional number, so that later starts are
//      assigned higher ones.
//   4. A counter row with a higher number means that a newer incarnation has started and this one is superseded.
#pragma once

#include <optional>
#include <string>

#include "core/timers.h"
#include "persimmon/error.h"
#include "persimmon/types.h"
#include "platform/table_client.h"
#include "store/incarnation.h"

namespace persimmon {

enum class incarnation_check : std::uint8_t { kCurrent, kSuperseded, kUnknown };

class incarnation_counter {
 public:
  incarnation_counter(timer_service& timers, table_client& table, std::string key)
      : timers_(timers), table_(table), key_(std::move(key)) {}

  // Allocates the next number. Errors: those of AllocateIncarnation.
  task<result<incarnation_number>> Allocate();

  // Compares the counter row with `own`. If advance is set, a lower row is first advanced to `own`.
  // kUnknown: the store is unavailable, or other writers changed the row at each attempt.
  task<incarnation_check> Check(incarnation_number own, bool advance);

 private:
  struct counter_row {
    incarnation_number value = 0;
    std::uint64_t version = 0;  // 0: the row is absent
  };

  task<result<counter_row>> ReadCounter();
  task<result<bool>> WriteCounter(counter_row observed, incarnation_number value);

  timer_service& timers_;
  table_client& table_;
  std::string key_;  // "agent/<endpoint name>"
};

// An incarnation for a start without the store: the wall clock in microseconds, but above engine_highest.
incarnation_number MakeProvisionalIncarnation(std::optional<incarnation_number> engine_highest);

}  // namespace persimmon
