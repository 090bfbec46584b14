#include "fleet/load_budget.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <vector>

#include "core/random.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

EngineSpec Offer(double loads_per_second, Micros load_time) {
  EngineSpec offer;
  offer.loads_per_second = loads_per_second;
  offer.models.push_back({"m", 1000, 0, 0, load_time});
  return offer;
}

// Returns the largest number of loads that start within any window of this
// length.
std::size_t MostWithin(const std::vector<Instant>& loads, Micros window) {
  std::size_t most = 0;
  for (std::size_t first = 0; first < loads.size(); ++first) {
    std::size_t last = first;
    while (last < loads.size() && loads[last] - loads[first] < window) {
      ++last;
    }
    most = std::max(most, last - first);
  }
  return most;
}

BOOST_AUTO_TEST_CASE(LoadsStayBelowTheStoresRateInEveryWindow) {
  for (const double rate : {0.4, 1.9, 2.2}) {
    const EngineSpec offer = Offer(rate, 4s);
    LoadBudget budget;
    Random random(7);
    std::vector<Instant> loads;
    Instant now = kStart;
    budget.OnLeaseAcquired(now);
    // There is always a model to be loaded.
    for (int i = 0; i < 20'000; ++i) {
      now += Micros(random.Below(40'000));
      if (budget.Available(offer, now) > 0) {
        budget.OnLoadStarted(now);
        loads.push_back(now);
      }
    }
    const double allowed = rate * std::chrono::duration<double>(5s).count();
    BOOST_TEST(static_cast<double>(MostWithin(loads, 5s)) <= allowed);
    // The budget is used: nine tenths of the rate, rounded down to whole loads.
    const double seconds = std::chrono::duration<double>(now - kStart).count();
    const double stated = std::floor(0.9 * allowed) * seconds / 5;
    BOOST_TEST(static_cast<double>(loads.size()) > 0.9 * stated);
  }
}

BOOST_AUTO_TEST_CASE(ConcurrentLoadsStayWithinTheStoresCapacity) {
  const EngineSpec offer = Offer(2.0, 1200ms);
  LoadBudget budget;
  int started = 0;
  while (budget.Available(offer, kStart) > 0) {
    budget.OnLoadStarted(kStart);
    ++started;
  }
  BOOST_TEST(started == 2);
  BOOST_TEST(budget.Available(offer, kStart + 1100ms) <= 0);
  BOOST_TEST(budget.Available(offer, kStart + 1200ms) == 2);
}

BOOST_AUTO_TEST_CASE(ANewLeaderCountsLoadsThatTheLastOneMayHaveStarted) {
  const EngineSpec offer = Offer(1.0, 1s);
  LoadBudget budget;
  budget.OnLeaseAcquired(kStart);
  BOOST_TEST(budget.Available(offer, kStart + 4900ms) <= 0);
  BOOST_TEST(budget.Available(offer, kStart + kLoadWindow) == 1);
}

}  // namespace
}  // namespace jackdaw::serving
