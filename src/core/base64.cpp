#include "core/base64.h"

#include <openssl/evp.h>

namespace persimmon {

std::string EncodeBase64(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::optional<std::string> DecodeBase64(const std::string& text) {
  std::string bytes(text.size(), '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
  if (length < 0) {
    return std::nullopt;
  }
  const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

}  // namespace persimmon
