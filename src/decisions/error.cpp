#include "persimmon/error.h"

namespace persimmon {

const char* ErrorName(error_code code) {
  switch (code) {
    case error_code::kInvalid:
      return "invalid";
    case error_code::kNotFound:
      return "not_found";
    case error_code::kConflict:
      return "conflict";
    case error_code::kTimeout:
      return "timeout";
    case error_code::kUnavailable:
      return "unavailable";
    case error_code::kNoResources:
      return "no_resources";
    case error_code::kProtocol:
      return "protocol";
    case error_code::kClosed:
      return "closed";
    case error_code::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string FormatFindings(const finding_list& findings) {
  std::string text;
  for (const finding& item : findings) {
    text += item.place + ": " + item.message + "\n";
  }
  return text;
}

}  // namespace persimmon
