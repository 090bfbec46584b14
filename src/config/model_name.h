#pragma once

#include <string_view>

namespace jackdaw {

/// What the model field of a request names.
struct ModelName {
  std::string_view model;
  /// Adapter, empty for none.
  std::string_view adapter;
};

/// Splits `model` or `model:adapter`.
constexpr ModelName SplitModelName(std::string_view name) {
  const std::size_t colon = name.find(':');
  return colon == std::string_view::npos
             ? ModelName{name, {}}
             : ModelName{name.substr(0, colon), name.substr(colon + 1)};
}

static_assert(SplitModelName("m:a").adapter == "a");
static_assert(SplitModelName("m").adapter.empty());

}  // namespace jackdaw
