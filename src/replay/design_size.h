#pragma once

#include <cstdint>

namespace jackdaw {

/// The size that the system is designed for.
struct DesignSize {
  static constexpr std::int64_t kNodes = 370;
  static constexpr std::int64_t kEngines = 640;
  static constexpr std::int64_t kAccelerators = 5100;
  static constexpr std::int64_t kModels = 200;
  static constexpr std::int64_t kRequestsPerSecond = 8900;
  static constexpr std::int64_t kTokensPerSecond = 2'100'000;
  static constexpr std::int64_t kConfigChangesPerDay = 370;
  static constexpr std::int64_t kWorkspaces = 100;
  static constexpr std::int64_t kKeysPerWorkspace = 10;
  static constexpr std::int64_t kAdapters = 800;
  /// Part of requests that are refused, for the refusal record.
  static constexpr double kRefusedPart = 0.05;
};

}  // namespace jackdaw
