// Tests the choice of a target while failure domains are evacuated.
#include <boost/test/unit_test.hpp>

#include "gateway/target_registry.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

TargetRegistration EntryOf(std::string id, std::string domain) {
  TargetRegistration entry;
  entry.id = std::move(id);
  entry.service = "s";
  entry.failure_domain = std::move(domain);
  entry.slots = 6;
  entry.born_ms = 1;
  entry.models = {{"m", 1, {}}};
  return entry;
}

class Fixture {
 protected:
  Fixture() : targets_("a") {
    engine_.slots = 64;
    call_.model = "m";
    query_.service = "s";
    query_.engine = &engine_;
    query_.call = &call_;
    targets_.Update(EntryOf("a-1", "a"));
    targets_.Update(EntryOf("b-1", "b"));
  }

  TargetPick Pick() { return targets_.Pick(query_, kStart); }
  std::string Choice() {
    const TargetPick pick = Pick();
    return pick.target == nullptr ? "" : pick.target->entry.id;
  }

  TargetRegistry targets_;
  EngineSpec engine_;
  RequestMetadata call_;
  TargetQuery query_;
};

BOOST_FIXTURE_TEST_SUITE(EvacuatedTargets, Fixture)

BOOST_AUTO_TEST_CASE(TargetOfAnEvacuatedDomainIsNotChosen) {
  BOOST_TEST(Choice() == "a-1");
  targets_.SetEvacuated({"a"}, kStart);
  BOOST_TEST(Choice() == "b-1");
  BOOST_TEST(!targets_.Find("a-1")->AcceptsRequests(kStart));
  BOOST_TEST(targets_.Usable("s").size() == 1U);
  targets_.SetEvacuated({}, kStart + 5s);
  BOOST_TEST(Choice() == "a-1");
}

BOOST_AUTO_TEST_CASE(TargetThatRegistersDuringTheEvacuationIsNotChosen) {
  targets_.SetEvacuated({"a", "b"}, kStart);
  targets_.Update(EntryOf("a-2", "a"));
  BOOST_TEST((Pick().outcome == PickOutcome::kEvacuated));
  targets_.Update(EntryOf("c-1", "c"));
  BOOST_TEST(Choice() == "c-1");
}

// Guards against a request that waits for a target whose entry another
// incarnation has replaced.
BOOST_AUTO_TEST_CASE(ReplacedTargetOfAnEvacuatedDomainAcceptsNothing) {
  const TargetPtr old = targets_.Find("a-1");
  TargetRegistration entry = EntryOf("a-1", "a");
  entry.born_ms = 2;
  targets_.Update(entry);
  targets_.SetEvacuated({"a"}, kStart);
  BOOST_TEST(!old->AcceptsRequests(kStart));
}

BOOST_AUTO_TEST_CASE(OutcomeTellsWhetherAllTargetsAreEvacuated) {
  targets_.SetEvacuated({"a", "b", "unknown"}, kStart);
  BOOST_TEST((Pick().outcome == PickOutcome::kEvacuated));
  // A target in service lacks the model: it can be loaded there.
  TargetRegistration entry = EntryOf("c-1", "c");
  entry.models = {};
  targets_.Update(entry);
  BOOST_TEST((Pick().outcome == PickOutcome::kNoModel));
  query_.service = "other";
  BOOST_TEST((Pick().outcome == PickOutcome::kNoTarget));
}

// Guards against a burst at targets that became cold while they were
// evacuated.
BOOST_AUTO_TEST_CASE(TargetsCountAsColdAfterTheirEvacuation) {
  Service service;
  service.name = "s";
  service.cold_time = 3s;
  service.cold_per_second = 13;
  targets_.SetColdLimits({&service, 1}, 1.5, 5);
  const auto is_cold = [&](std::string_view id, Instant now) {
    return targets_.Find(id)->rate_limit.cold(now);
  };
  targets_.SetEvacuated({"a", "b"}, kStart);
  BOOST_TEST(!is_cold("a-1", kStart));
  targets_.SetEvacuated({"b"}, kStart + 9s);
  BOOST_TEST(is_cold("a-1", kStart + 9s));
  BOOST_TEST(is_cold("a-1", kStart + 11900ms));
  BOOST_TEST(!is_cold("a-1", kStart + 12100ms));
  BOOST_TEST(!is_cold("b-1", kStart + 9s));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jackdaw::serving
