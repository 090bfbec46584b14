#pragma once

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdint>
#include <vector>

#include "replay/routing_case.h"

namespace jackdaw {

/// Targets of the measure: first token and mean time between tokens.
inline constexpr std::int64_t kFirstTokenTargetUs = 970'000;
inline constexpr std::int64_t kBetweenTokensTargetUs = 58'000;

/// What the requests of an experiment came to.
struct RoutingFigures {
  std::vector<std::int64_t> first_token_us;
  std::vector<std::int64_t> between_tokens_us;
  std::array<std::int64_t, kRoutingWorkspaces> asked{};
  std::array<std::int64_t, kRoutingWorkspaces> attained{};

  void Add(std::uint32_t workspace,
           std::int64_t first_us,
           std::int64_t between_us) {
    first_token_us.push_back(first_us);
    between_tokens_us.push_back(between_us);
    attained.at(workspace) +=
        first_us <= kFirstTokenTargetUs && between_us <= kBetweenTokensTargetUs
            ? 1
            : 0;
  }
  /// Part of the requests of a workspace that were served within the targets.
  double AttainedBy(std::uint32_t workspace) const {
    const std::int64_t all = asked.at(workspace);
    return all == 0 ? 1.0
                    : static_cast<double>(attained.at(workspace)) /
                          static_cast<double>(all);
  }
};

/// Value below which `percent` of the values lie. @returns 0 for none
inline std::int64_t PercentileOf(std::vector<std::int64_t> values,
                                 std::size_t percent) {
  if (values.empty()) {
    return 0;
  }
  const std::size_t at =
      std::min(values.size() - 1, values.size() * percent / 100);
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return values[at];
}

/// The figures of a run as JSON.
boost::json::object ToJson(const RoutingCase& shape,
                           const RoutingFigures& figures);

}  // namespace jackdaw
