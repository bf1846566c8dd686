#include "core/api_key.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace persimmon {
namespace {

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

}  // namespace

std::string_view ParseBearerKey(std::string_view authorization) {
  constexpr std::string_view kScheme = "bearer ";
  // Names of schemes are case-insensitive (RFC 9110, section 11.1).
  const bool has_scheme =
      authorization.size() > kScheme.size() &&
      std::equal(kScheme.begin(), kScheme.end(), authorization.begin(), [](char a, char b) { return a == ToLower(b); });
  if (!has_scheme) {
    return {};
  }
  std::string_view key = authorization.substr(kScheme.size());
  key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
  key.remove_suffix(key.size() - std::min(key.find_last_not_of(" \t") + 1, key.size()));
  return key;
}

std::string HashApiKey(std::string_view key) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  EVP_Digest(key.data(), key.size(), digest.data(), &length, EVP_sha256(), nullptr);
  std::string text;
  text.reserve(2 * static_cast<std::size_t>(length));
  for (unsigned i = 0; i < length; ++i) {
    text += kDigits[digest[i] >> 4U];
    text += kDigits[digest[i] & 0xfU];
  }
  return text;
}

}  // namespace persimmon
