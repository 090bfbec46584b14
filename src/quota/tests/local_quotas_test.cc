#include "quota/local_quotas.h"

#include <boost/test/unit_test.hpp>
#include <deque>

#include "core/random.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

ServingConfig ConfigWith(double rate, double burst) {
  ServingConfig config;
  config.version = 1;
  Workspace school;
  school.name = "school";
  school.rate = rate;
  school.burst = burst;
  school.counts_tokens = true;
  config.workspaces.push_back(school);
  return config;
}

QuotaTolerance Tolerance() {
  QuotaTolerance tolerance;
  tolerance.overshoot = 0.1;
  tolerance.slack = 11'000;
  return tolerance;
}

BOOST_AUTO_TEST_CASE(NewBucketStartsWithoutUnits) {
  LocalQuotas quotas(Tolerance());
  quotas.OnConfig(ConfigWith(1000, 1000), kStart);
  quotas.SetShare(0.5, kStart);
  BOOST_TEST(!quotas.Spend("school", 100, kStart).granted);
  BOOST_TEST(quotas.Spend("school", 100, kStart + 1s).granted);
}

BOOST_AUTO_TEST_CASE(RefusalStatesWhenUnitsSuffice) {
  LocalQuotas quotas(Tolerance());
  quotas.OnConfig(ConfigWith(1000, 1000), kStart);
  quotas.SetShare(0.5, kStart);
  const SpendOutcome refused = quotas.Spend("school", 250, kStart);
  BOOST_TEST((refused.retry_at > kStart));
  BOOST_TEST(!quotas.Spend("school", 250, refused.retry_at - 2ms).granted);
  BOOST_TEST(quotas.Spend("school", 250, refused.retry_at + 1ms).granted);
}

BOOST_AUTO_TEST_CASE(WorkspaceWithoutAQuotaIsNotLimited) {
  LocalQuotas quotas(Tolerance());
  quotas.OnConfig(ConfigWith(0, 0), kStart);
  BOOST_TEST(quotas.Spend("school", 1e9, kStart).granted);
  BOOST_TEST(quotas.Spend("unknown", 1e9, kStart).granted);
}

// Six instances with a skewed demand of many times the quota transfer units to
// each other. Together they never spend more than the bound in any window.
BOOST_AUTO_TEST_CASE(SpendingStaysWithinTheBoundInAnyWindow) {
  constexpr double kRate = 20'000;
  constexpr double kBurst = 20'000;
  constexpr int kInstances = 6;
  const QuotaTolerance tolerance = Tolerance();
  constexpr Micros kWindow = 8s;
  const double window = std::chrono::duration<double>(kWindow).count();
  const double bound =
      (kRate * window + kBurst) * (1 + tolerance.overshoot) + tolerance.slack;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    Random random(seed);
    std::vector<LocalQuotas> instances(kInstances, LocalQuotas(tolerance));
    for (LocalQuotas& quotas : instances) {
      quotas.OnConfig(ConfigWith(kRate, kBurst), kStart);
      quotas.SetShare(1.0 / kInstances, kStart);
    }
    std::deque<std::pair<Instant, double>> spent;
    double in_window = 0;
    Instant now = kStart;
    for (int step = 0; step < 40'000; ++step) {
      now += 1ms;
      // Low demand for the first 12 s, so that all buckets are full at its end.
      if (step < 12'000 && !random.OneIn(40)) {
        continue;
      }
      const auto at = random.OneIn(2) ? 0 : random.Below(kInstances);
      const double units = 500 + static_cast<double>(random.Below(4000));
      SpendOutcome outcome = instances[at].Spend("school", units, now);
      if (!outcome.granted) {
        LocalQuotas& donor = instances[random.Below(kInstances)];
        instances[at].Receive("school",
                              donor.Give("school", outcome.missing, now), now);
        outcome = instances[at].Spend("school", units, now);
      }
      if (outcome.granted) {
        spent.emplace_back(now, units);
        in_window += units;
      }
      while (!spent.empty() && now - spent.front().first > kWindow) {
        in_window -= spent.front().second;
        spent.pop_front();
      }
      BOOST_REQUIRE_LE(in_window, bound);
    }
  }
}

// A workspace at half of its quota whose callers all use one instance is not
// refused, because the other instances give the units that they do not need.
BOOST_AUTO_TEST_CASE(SkewedDemandBelowTheQuotaIsServed) {
  constexpr double kRate = 20'000;
  constexpr int kInstances = 6;
  std::vector<LocalQuotas> instances(kInstances, LocalQuotas(Tolerance()));
  for (LocalQuotas& quotas : instances) {
    quotas.OnConfig(ConfigWith(kRate, kRate), kStart);
    quotas.SetShare(1.0 / kInstances, kStart);
  }
  Random random(3);
  int refused = 0;
  constexpr int kRequests = 400;
  Instant now = kStart + 10s;
  for (int i = 0; i < kRequests; ++i) {
    now += 200ms;
    constexpr double kUnits = 2000;
    SpendOutcome outcome = instances[0].Spend("school", kUnits, now);
    for (std::size_t ask = 0; ask < 3 && !outcome.granted; ++ask) {
      LocalQuotas& donor = instances[1 + random.Below(kInstances - 1)];
      instances[0].Receive("school", donor.Give("school", outcome.missing, now),
                           now);
      outcome = instances[0].Spend("school", kUnits, now);
    }
    refused += outcome.granted ? 0 : 1;
  }
  BOOST_TEST(refused == 0);
}

}  // namespace
}  // namespace jackdaw::serving
