#pragma once

#include <cstdint>
#include <string_view>

namespace jackdaw {

/// Running hash over decisions, for the one-line signature of a bench.
class Signature {
 public:
  void Add(std::uint64_t value) {
    hash_ = (hash_ ^ value) * 0x100000001b3ULL;
    hash_ ^= hash_ >> 29;
  }
  void Add(std::string_view text) {
    for (const char c : text) {
      Add(static_cast<unsigned char>(c));
    }
  }
  /// At most seven decimal digits.
  std::uint64_t Short() const { return hash_ % 10'000'000; }

 private:
  std::uint64_t hash_ = 0xcbf29ce484222325ULL;
};

}  // namespace jackdaw
