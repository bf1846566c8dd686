#include "persimmon/types.h"

namespace persimmon {

const char* OutcomeName(outcome_kind outcome) {
  switch (outcome) {
    case outcome_kind::kAnswered:
      return "answered";
    case outcome_kind::kNotRun:
      return "not_run";
    case outcome_kind::kMayHaveRun:
      return "may_have_run";
  }
  return "may_have_run";
}

}  // namespace persimmon
