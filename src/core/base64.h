// Base64 encoding and decoding of byte strings.
#pragma once

#include <optional>
#include <string>

namespace persimmon {

std::string EncodeBase64(const std::string& bytes);

// Returns nullopt if the text is not valid base64.
std::optional<std::string> DecodeBase64(const std::string& text);

}  // namespace persimmon
