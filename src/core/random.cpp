#include "core/random.h"

#include <random>

namespace persimmon {
namespace {

std::mt19937_64& Generator() {
  static std::mt19937_64 generator = [] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }();
  return generator;
}

}  // namespace

double RandomUnit() { return std::uniform_real_distribution<double>(0.0, 1.0)(Generator()); }

std::uint64_t RandomNumber() { return Generator()(); }

std::string RandomHex(int characters) {
  static constexpr const char* kDigits = "0123456789abcdef";
  std::string text;
  for (int i = 0; i < characters; ++i) {
    text.push_back(kDigits[RandomNumber() & 15U]);
  }
  return text;
}

}  // namespace persimmon
