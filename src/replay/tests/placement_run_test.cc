#include <boost/test/unit_test.hpp>

#include "replay/placement_run.h"

namespace jackdaw {
namespace {

// The stated target: this part of the oracle's attainment, with no more than
// so many times its moves.
constexpr double kLeastOfOracle = 0.95;
constexpr int kMostOfMoves = 2;

PlacementFigures Run(std::string_view deployment,
                     PlacementPolicy policy,
                     std::uint64_t seed,
                     bool lose_domain) {
  const auto shape = FindPlacementShape(deployment);
  return PlacementRun(*shape, policy, seed, lose_domain).Run();
}

BOOST_AUTO_TEST_CASE(ThePlannerComesNearTheOracle) {
  for (const auto* deployment : {"ponte-nordeste", "lantern-permits"}) {
    for (const std::uint64_t seed : {1, 2}) {
      const auto planner =
          Run(deployment, PlacementPolicy::kPlanner, seed, false);
      const auto oracle =
          Run(deployment, PlacementPolicy::kOracle, seed, false);
      const auto fixed = Run(deployment, PlacementPolicy::kStatic, seed, false);
      BOOST_TEST(planner.attainment >= kLeastOfOracle * oracle.attainment);
      BOOST_TEST(planner.moves <= kMostOfMoves * oracle.moves);
      BOOST_TEST(planner.attainment > fixed.attainment);
      BOOST_TEST(planner.unreachable == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(EveryModelStaysReachableWhenADomainIsLost) {
  for (const auto* deployment : {"ponte-nordeste", "lantern-permits"}) {
    const auto planner = Run(deployment, PlacementPolicy::kPlanner, 1, true);
    BOOST_TEST(planner.unreachable == 0);
  }
}

}  // namespace
}  // namespace jackdaw
