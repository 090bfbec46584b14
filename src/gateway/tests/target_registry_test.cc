#include "gateway/target_registry.h"

#include <boost/test/unit_test.hpp>

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
  Fixture() : targets_("here") {
    engine_.slots = 64;
    call_.model = "m";
    call_.prompt_tokens = 1000;
    call_.prompt_parts = {{1, 300}, {2, 700}};
    query_.service = "s";
    query_.engine = &engine_;
    query_.call = &call_;
  }

  std::string Choice(Instant now = kStart) {
    const TargetPick pick = targets_.Pick(query_, now);
    return pick.target == nullptr ? "" : pick.target->entry.id;
  }

  TargetRegistry targets_;
  EngineSpec engine_;
  RequestMetadata call_;
  TargetQuery query_;
};

BOOST_FIXTURE_TEST_SUITE(Registry, Fixture)

BOOST_AUTO_TEST_CASE(PrefersOwnFailureDomain) {
  targets_.Update(EntryOf("a", "there"));
  targets_.Update(EntryOf("b", "here"));
  BOOST_TEST(Choice() == "b");
}

BOOST_AUTO_TEST_CASE(PrefersTargetWithCachedPrompt) {
  targets_.Update(EntryOf("a", "here"));
  targets_.Update(EntryOf("b", "here"));
  const TargetPtr b = targets_.Find("b");
  targets_.OnSent(*b, call_, kStart);
  ResponseMetadata response;
  targets_.OnFirstByte(*b, response, 40ms, kStart, kStart + 40ms);
  targets_.OnEnded(*b, TargetOutcome::kAnswered, true, kStart, kStart + 100ms);
  BOOST_TEST(Choice(kStart + 200ms) == "b");
}

BOOST_AUTO_TEST_CASE(PendingPrefillsSpreadOverTargets) {
  targets_.Update(EntryOf("a", "here"));
  targets_.Update(EntryOf("b", "here"));
  call_.prompt_parts.clear();
  const std::string first = Choice();
  targets_.OnSent(*targets_.Find(first), call_, kStart);
  BOOST_TEST(Choice() != first);
}

// Requests sent by peers count like those sent by this instance.
BOOST_AUTO_TEST_CASE(PrefillsOfPeersSpreadOverTargets) {
  targets_.Update(EntryOf("a", "here"));
  targets_.Update(EntryOf("b", "here"));
  call_.prompt_parts.clear();
  const std::string first = Choice();
  targets_.OnPeerDispatch(TargetDigest(first), 1000, {}, kStart);
  BOOST_TEST(Choice() != first);
  BOOST_TEST(Choice(kStart + 10s) == first);
}

BOOST_AUTO_TEST_CASE(PromptSentByPeerCountsAsCached) {
  targets_.Update(EntryOf("a", "here"));
  targets_.Update(EntryOf("b", "here"));
  const std::vector<std::uint64_t> parts = {PartDigest(call_, 1),
                                            PartDigest(call_, 2)};
  targets_.OnPeerDispatch(TargetDigest("b"), 1000, parts, kStart);
  BOOST_TEST(Choice(kStart + 1s) == "b");
}

// Guards against a target that looks full forever because it sends no load
// report to this instance.
BOOST_AUTO_TEST_CASE(LoadOfPeersDecays) {
  targets_.Update(EntryOf("a", "here"));
  for (int i = 0; i < 20; ++i) {
    targets_.OnPeerDispatch(TargetDigest("a"), 0, {}, kStart);
  }
  BOOST_TEST(targets_.Find("a")->EstimatedLoad(kStart) == 20);
  BOOST_TEST(targets_.Find("a")->EstimatedLoad(kStart + 3s) <= 3);
}

BOOST_AUTO_TEST_CASE(LeavingTargetGetsNoRequest) {
  TargetRegistration entry = EntryOf("a", "here");
  targets_.Update(entry);
  entry.state = TargetState::kDraining;
  BOOST_TEST(targets_.Update(entry));
  BOOST_TEST(Choice().empty());
}

BOOST_AUTO_TEST_CASE(AvoidsBrokenTargetUnlessItIsTheOnlyOne) {
  targets_.Update(EntryOf("a", "here"));
  targets_.Update(EntryOf("b", "here"));
  const TargetPtr a = targets_.Find("a");
  targets_.OnSent(*a, call_, kStart);
  targets_.OnEnded(*a, TargetOutcome::kBroken, false, kStart, kStart);
  BOOST_TEST(Choice(kStart + 1ms) == "b");
  targets_.Remove("b");
  BOOST_TEST(Choice(kStart + 1ms) == "a");
}

BOOST_AUTO_TEST_CASE(ReportsMissingModelAndAdapter) {
  targets_.Update(EntryOf("a", "here"));
  call_.model = "other";
  BOOST_TEST(static_cast<int>(targets_.Pick(query_, kStart).outcome) ==
             static_cast<int>(PickOutcome::kNoModel));
  call_.model = "m";
  call_.adapter = "a1";
  BOOST_TEST(static_cast<int>(targets_.Pick(query_, kStart).outcome) ==
             static_cast<int>(PickOutcome::kNoAdapter));
}

BOOST_AUTO_TEST_CASE(NewIncarnationStartsWithoutState) {
  TargetRegistration entry = EntryOf("a", "here");
  targets_.Update(entry);
  targets_.SetAdapter(*targets_.Find("a"), "m/a1", true);
  entry.born_ms = 2;
  BOOST_TEST(targets_.Update(entry));
  BOOST_TEST(targets_.Find("a")->adapters.empty());
  entry.born_ms = 1;
  BOOST_TEST(!targets_.Update(entry));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jackdaw::serving
