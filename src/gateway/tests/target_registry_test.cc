#include "gateway/target_registry.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

TargetEntry EntryOf(std::string id, std::string domain) {
  TargetEntry entry;
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
  Fixture() : registry_("here") {
    engine_.slots = 64;
    call_.model = "m";
    call_.prompt_tokens = 1000;
    call_.prompt_parts = {{1, 300}, {2, 700}};
    criteria_.service = "s";
    criteria_.engine = &engine_;
    criteria_.call = &call_;
  }

  std::string Choice(Instant now = kStart) {
    const TargetPick pick = registry_.Pick(criteria_, now);
    return pick.target == nullptr ? "" : pick.target->entry.id;
  }

  TargetRegistry registry_;
  EngineOffer engine_;
  CallHead call_;
  TargetCriteria criteria_;
};

BOOST_FIXTURE_TEST_SUITE(Board, Fixture)

BOOST_AUTO_TEST_CASE(TheOwnFailureDomainComesFirst) {
  registry_.Update(EntryOf("a", "there"));
  registry_.Update(EntryOf("b", "here"));
  BOOST_TEST(Choice() == "b");
}

BOOST_AUTO_TEST_CASE(ATargetThatReadThePromptBeforeIsPreferred) {
  registry_.Update(EntryOf("a", "here"));
  registry_.Update(EntryOf("b", "here"));
  const TargetPtr b = registry_.Find("b");
  registry_.OnSent(*b, call_, kStart);
  AnswerHead response;
  registry_.OnFirstByte(*b, response, 40ms, kStart, kStart + 40ms);
  registry_.OnEnded(*b, TargetOutcome::kAnswered, true, kStart, kStart + 100ms);
  BOOST_TEST(Choice(kStart + 200ms) == "b");
}

BOOST_AUTO_TEST_CASE(PromptsThatAreBeingReadSpreadOut) {
  registry_.Update(EntryOf("a", "here"));
  registry_.Update(EntryOf("b", "here"));
  call_.prompt_parts.clear();
  const std::string first = Choice();
  registry_.OnSent(*registry_.Find(first), call_, kStart);
  BOOST_TEST(Choice() != first);
}

// What other instances send counts as what is sent here.
BOOST_AUTO_TEST_CASE(PromptsOfOtherInstancesAreSpreadAround) {
  registry_.Update(EntryOf("a", "here"));
  registry_.Update(EntryOf("b", "here"));
  call_.prompt_parts.clear();
  const std::string first = Choice();
  registry_.OnPeerDispatch(TargetDigest(first), 1000, {}, kStart);
  BOOST_TEST(Choice() != first);
  BOOST_TEST(Choice(kStart + 10s) == first);
}

BOOST_AUTO_TEST_CASE(APromptThatAnotherInstanceSentThereIsCached) {
  registry_.Update(EntryOf("a", "here"));
  registry_.Update(EntryOf("b", "here"));
  const std::vector<std::uint64_t> parts = {PartDigest(call_, 1),
                                            PartDigest(call_, 2)};
  registry_.OnPeerDispatch(TargetDigest("b"), 1000, parts, kStart);
  BOOST_TEST(Choice(kStart + 1s) == "b");
}

// A target of which nothing was heard for a while is not full for ever.
BOOST_AUTO_TEST_CASE(WhatOthersSentLongAgoHasEnded) {
  registry_.Update(EntryOf("a", "here"));
  for (int i = 0; i < 20; ++i) {
    registry_.OnPeerDispatch(TargetDigest("a"), 0, {}, kStart);
  }
  BOOST_TEST(registry_.Find("a")->EstimatedLoad(kStart) == 20);
  BOOST_TEST(registry_.Find("a")->EstimatedLoad(kStart + 3s) <= 3);
}

BOOST_AUTO_TEST_CASE(ALeavingTargetGetsNothing) {
  TargetEntry entry = EntryOf("a", "here");
  registry_.Update(entry);
  entry.state = TargetState::kDraining;
  BOOST_TEST(registry_.Update(entry));
  BOOST_TEST(Choice().empty());
}

BOOST_AUTO_TEST_CASE(ABrokenTargetIsLeftForAWhileUnlessItIsTheOnlyOne) {
  registry_.Update(EntryOf("a", "here"));
  registry_.Update(EntryOf("b", "here"));
  const TargetPtr a = registry_.Find("a");
  registry_.OnSent(*a, call_, kStart);
  registry_.OnEnded(*a, TargetOutcome::kBroken, false, kStart, kStart);
  BOOST_TEST(Choice(kStart + 1ms) == "b");
  registry_.Remove("b");
  BOOST_TEST(Choice(kStart + 1ms) == "a");
}

BOOST_AUTO_TEST_CASE(AModelThatNoTargetHoldsIsNamed) {
  registry_.Update(EntryOf("a", "here"));
  call_.model = "other";
  BOOST_TEST(static_cast<int>(registry_.Pick(criteria_, kStart).outcome) ==
             static_cast<int>(PickOutcome::kNoModel));
  call_.model = "m";
  call_.adapter = "a1";
  BOOST_TEST(static_cast<int>(registry_.Pick(criteria_, kStart).outcome) ==
             static_cast<int>(PickOutcome::kNoAdapter));
}

BOOST_AUTO_TEST_CASE(ANewIncarnationForgetsWhatWasKnown) {
  TargetEntry entry = EntryOf("a", "here");
  registry_.Update(entry);
  registry_.SetAdapter(*registry_.Find("a"), "m/a1", true);
  entry.born_ms = 2;
  BOOST_TEST(registry_.Update(entry));
  BOOST_TEST(registry_.Find("a")->adapters.empty());
  entry.born_ms = 1;
  BOOST_TEST(!registry_.Update(entry));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jackdaw::serving
