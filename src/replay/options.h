#pragma once

#include <charconv>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace jackdaw {

/// Value behind `--name` among a command's words, or the fallback.
inline std::string OptionOr(std::span<const std::string> words,
                            std::string_view name,
                            std::string_view fallback) {
  for (std::size_t i = 0; i + 1 < words.size(); ++i) {
    if (words[i] == name) {
      return words[i + 1];
    }
  }
  return std::string(fallback);
}

/// Number behind `--name` among a command's words, or the fallback.
inline std::uint64_t NumberOr(std::span<const std::string> words,
                              std::string_view name,
                              std::uint64_t fallback) {
  const std::string text = OptionOr(words, name, "");
  std::uint64_t number = fallback;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace jackdaw
