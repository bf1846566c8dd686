// The agent's incarnation, drawn from a counter in the table service.
//
// Rules
//   1. With the store: the next number of the counter row (platform/incarnation.h).
//   2. While the store is out: a provisional number from the wall clock in microseconds, which is far above any
//   counter,
//      and above the engine's highest number if the engine can tell. It serves as identity. Commands need the engine's
//      highest number, so an engine that cannot tell receives none.
//   3. When the store is back, the counter is raised to a provisional number, so that later starts draw higher ones.
//   4. A counter row with a higher number means that a newer incarnation has started: this one has been superseded.
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

  // Draws the next number. Errors: those of DrawIncarnation.
  task<result<incarnation_number>> Draw();

  // Compares the row with an own number; with raise set, a lower row is raised to the number first.
  task<incarnation_check> Check(incarnation_number own, bool raise);

 private:
  struct counter_row {
    incarnation_number value = 0;
    std::uint64_t version = 0;  // 0: the row is absent
  };

  task<result<counter_row>> ReadCounter();
  task<result<bool>> WriteCounter(counter_row seen, incarnation_number value);

  timer_service& timers_;
  table_client& table_;
  std::string key_;  // "agent/<endpoint name>"
};

// A number for a start without the store: above the wall clock's microseconds and above the engine's highest.
incarnation_number MakeProvisionalIncarnation(std::optional<incarnation_number> engine_highest);

}  // namespace persimmon
