#include "routing/router.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

FleetConfig Config(int targets) {
  FleetConfig config;
  Deployment deployment{"d", {"m"}, {}};
  for (int i = 0; i < targets; ++i) {
    deployment.targets.push_back("t" + std::to_string(i));
    config.targets.push_back({deployment.targets.back(), "127.0.0.1:1", "z",
                              TargetKind::kEngine, 80'000, 1, true});
  }
  config.deployments.push_back(std::move(deployment));
  return config;
}

TargetReport Report(std::int64_t running) {
  TargetReport report;
  report.running = running;
  report.incarnation = 1;
  report.models = {"m"};
  return report;
}

TargetRequirements Need() {
  TargetRequirements requirements;
  requirements.model = "m";
  requirements.prompt_tokens = 300;
  return requirements;
}

template <typename R>
std::string Dispatch(R& router,
                     Instant now,
                     const TargetRequirements& requirements) {
  const auto target = router.Pick(now, requirements);
  if (!target) {
    return {};
  }
  router.OnDispatched(now, target->name, requirements);
  return target->name;
}

BOOST_AUTO_TEST_CASE(TargetOfAnEvacuatedDomainIsNotPicked) {
  Router router({"z", 1, 64});
  FleetConfig config = Config(2);
  config.targets[1].failure_domain = "y";
  const auto pick = [&] {
    router.OnConfig(kStart, config);
    const auto target = router.Pick(kStart, Need());
    return target ? target->name : std::string();
  };
  router.OnConfig(kStart, config);
  router.OnReport(kStart, "t0", Report(0));
  router.OnReport(kStart, "t1", Report(0));
  BOOST_TEST(pick() == "t0");
  config.evacuations = {{"z"}, {"unknown"}};
  BOOST_TEST(pick() == "t1");
  config.evacuations.push_back({"y"});
  BOOST_TEST(pick().empty());
  config.evacuations.clear();
  BOOST_TEST(pick() == "t0");
}

BOOST_AUTO_TEST_CASE(InstancesDoNotAllPickATargetThatReportsEmpty) {
  constexpr int kInstances = 8;
  constexpr int kTargets = 12;
  std::map<std::string, int> sent;
  for (int i = 0; i < kInstances; ++i) {
    Router router({"", static_cast<std::uint64_t>(i + 1), 64});
    router.OnConfig(kStart, Config(kTargets));
    router.OnInstances(kInstances);
    for (int t = 0; t < kTargets; ++t) {
      router.OnReport(kStart, "t" + std::to_string(t), Report(t == 0 ? 0 : 20));
    }
    for (int request = 0; request < 4; ++request) {
      ++sent[Dispatch(router, kStart + 10ms, Need())];
    }
  }
  // The empty target gets more than an equal share, but not all requests.
  BOOST_TEST(sent["t0"] >= kInstances);
  BOOST_TEST(sent["t0"] <= 2 * kInstances);
}

BOOST_AUTO_TEST_CASE(WarmupLimitIsSharedByAllInstances) {
  constexpr int kInstances = 100;
  int sent = 0;
  for (int i = 0; i < kInstances; ++i) {
    Router router({"", static_cast<std::uint64_t>(i + 1), 64});
    router.OnConfig(kStart, Config(2));
    router.OnInstances(kInstances);
    router.OnReport(kStart, "t0", Report(60));
    router.OnReport(kStart, "t1", Report(60));
    TargetReport restarted = Report(0);
    restarted.incarnation = 2;
    router.OnReport(kStart + 1s, "t1", restarted);
    for (int request = 0; request < 3; ++request) {
      sent += Dispatch(router, kStart + 1s, Need()) == "t1" ? 1 : 0;
    }
  }
  // All instances together may have some 4 requests in flight at a target that
  // starts to warm up. Without that limit, most of the 300 requests would go to
  // the restarted target, as it reports no load.
  BOOST_TEST(sent <= 30);
}

BOOST_AUTO_TEST_CASE(CachedPrefixOutweighsSlightlyHigherLoad) {
  Router router({"", 1, 64});
  router.OnConfig(kStart, Config(2));
  router.OnReport(kStart, "t0", Report(3));
  router.OnReport(kStart, "t1", Report(1));
  const PrefixChain chain = ComputePrefixChain("m", std::string(4096, 'p'));
  BOOST_TEST(chain.count == 4U);
  TargetRequirements requirements = Need();
  requirements.prompt_tokens = 1100;
  requirements.prefixes = &chain;
  router.OnDispatched(kStart + 10ms, "t0", requirements);
  BOOST_TEST(Dispatch(router, kStart + 20ms, requirements) == "t0");
  TargetReport restarted = Report(3);
  restarted.incarnation = 2;
  router.OnReport(kStart + 1s, "t0", restarted);
  BOOST_TEST(Dispatch(router, kStart + 1s, requirements) == "t1");
}

BOOST_AUTO_TEST_CASE(PicksOnlyTargetsThatAreResidentUpAndNotLeaving) {
  Router router({"", 1, 64});
  router.OnConfig(kStart, Config(3));
  BOOST_TEST(Dispatch(router, kStart, Need()).empty());
  TargetReport leaving = Report(0);
  leaving.leaving = true;
  router.OnReport(kStart, "t0", leaving);
  router.OnReport(kStart, "t1", Report(5));
  router.OnReport(kStart, "t2", Report(0));
  router.OnFailure(kStart, "t2");
  BOOST_TEST(Dispatch(router, kStart, Need()) == "t1");
  const std::vector<std::string> tried{"t1"};
  TargetRequirements requirements = Need();
  requirements.excluded = tried;
  BOOST_TEST(Dispatch(router, kStart, requirements).empty());
}

}  // namespace
}  // namespace jackdaw
