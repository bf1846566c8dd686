// Explanations of refusal and failure codes.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace persimmon {

struct code_explanation {
  std::string_view code;
  std::string_view meaning;          // what happened
  std::string_view caller_action;    // what the caller can do
  std::string_view operator_action;  // what an operator can check or change

  bool operator==(const code_explanation&) const = default;
};

// Explanations of all codes, ordered by code.
std::span<const code_explanation> Explanations();

// Returns null for an unknown code.
const code_explanation* FindExplanation(std::string_view code);

}  // namespace persimmon
