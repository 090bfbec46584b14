#include "replay/history.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw {
namespace {

constexpr std::uint64_t kSeeds = 200;
constexpr std::uint64_t kSteps = 1000;
constexpr std::uint64_t kMutantSteps = 20'000;
constexpr std::uint64_t kMutantSeeds = 12;

BOOST_AUTO_TEST_CASE(HistoriesKeepTheirInvariants) {
  for (const auto& kind : HistoryKinds()) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const HistoryReport report = kind.run(seed, kSteps, {});
      BOOST_TEST(report.breach.empty(),
                 kind.name << " seed " << seed << ": " << report.breach);
      BOOST_TEST(report.steps == kSteps);
    }
  }
}

BOOST_AUTO_TEST_CASE(EachMutantOfAHistoryIsCaught) {
  for (const auto& kind : HistoryKinds()) {
    for (const auto mutant : kind.mutants) {
      bool caught = false;
      for (std::uint64_t seed = 1; seed <= kMutantSeeds && !caught; ++seed) {
        caught = !kind.run(seed, kMutantSteps, mutant).breach.empty();
      }
      BOOST_TEST(caught, kind.name << ": " << mutant);
    }
  }
}

}  // namespace
}  // namespace jackdaw
