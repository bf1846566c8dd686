// Base64 of bytes in texts.
#pragma once

#include <optional>
#include <string>

namespace persimmon {

std::string EncodeBase64(const std::string& bytes);

// Nothing if the text is not base64.
std::optional<std::string> DecodeBase64(const std::string& text);

}  // namespace persimmon
