#include "gateway/target_board.h"

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
  Fixture() : board_("here") {
    engine_.slots = 64;
    call_.model = "m";
    call_.prompt_tokens = 1000;
    call_.prompt_parts = {{1, 300}, {2, 700}};
    need_.service = "s";
    need_.engine = &engine_;
    need_.call = &call_;
  }

  std::string Choice(Instant now = kStart) {
    const TargetPick pick = board_.Pick(need_, now);
    return pick.target == nullptr ? "" : pick.target->entry.id;
  }

  TargetBoard board_;
  EngineSpec engine_;
  RequestMetadata call_;
  TargetNeed need_;
};

BOOST_FIXTURE_TEST_SUITE(Board, Fixture)

BOOST_AUTO_TEST_CASE(TheOwnFailureDomainComesFirst) {
  board_.Update(EntryOf("a", "there"));
  board_.Update(EntryOf("b", "here"));
  BOOST_TEST(Choice() == "b");
}

BOOST_AUTO_TEST_CASE(ATargetThatReadThePromptBeforeIsPreferred) {
  board_.Update(EntryOf("a", "here"));
  board_.Update(EntryOf("b", "here"));
  const TargetPtr b = board_.Find("b");
  board_.OnSent(*b, call_, kStart);
  ResponseMetadata answer;
  board_.OnFirstByte(*b, answer, 40ms, kStart, kStart + 40ms);
  board_.OnEnded(*b, TargetOutcome::kAnswered, true, kStart, kStart + 100ms);
  BOOST_TEST(Choice(kStart + 200ms) == "b");
}

BOOST_AUTO_TEST_CASE(PromptsThatAreBeingReadSpreadOut) {
  board_.Update(EntryOf("a", "here"));
  board_.Update(EntryOf("b", "here"));
  call_.prompt_parts.clear();
  const std::string first = Choice();
  board_.OnSent(*board_.Find(first), call_, kStart);
  BOOST_TEST(Choice() != first);
}

// What other instances send counts as what is sent here.
BOOST_AUTO_TEST_CASE(PromptsOfOtherInstancesAreSpreadAround) {
  board_.Update(EntryOf("a", "here"));
  board_.Update(EntryOf("b", "here"));
  call_.prompt_parts.clear();
  const std::string first = Choice();
  board_.OnSentElsewhere(TargetDigest(first), 1000, {}, kStart);
  BOOST_TEST(Choice() != first);
  BOOST_TEST(Choice(kStart + 10s) == first);
}

BOOST_AUTO_TEST_CASE(APromptThatAnotherInstanceSentThereIsCached) {
  board_.Update(EntryOf("a", "here"));
  board_.Update(EntryOf("b", "here"));
  const std::vector<std::uint64_t> parts = {PartDigest(call_, 1),
                                            PartDigest(call_, 2)};
  board_.OnSentElsewhere(TargetDigest("b"), 1000, parts, kStart);
  BOOST_TEST(Choice(kStart + 1s) == "b");
}

// A target of which nothing was heard for a while is not full for ever.
BOOST_AUTO_TEST_CASE(WhatOthersSentLongAgoHasEnded) {
  board_.Update(EntryOf("a", "here"));
  for (int i = 0; i < 20; ++i) {
    board_.OnSentElsewhere(TargetDigest("a"), 0, {}, kStart);
  }
  BOOST_TEST(board_.Find("a")->LikelyLoad(kStart) == 20);
  BOOST_TEST(board_.Find("a")->LikelyLoad(kStart + 3s) <= 3);
}

BOOST_AUTO_TEST_CASE(ALeavingTargetGetsNothing) {
  TargetRegistration entry = EntryOf("a", "here");
  board_.Update(entry);
  entry.state = TargetState::kDraining;
  BOOST_TEST(board_.Update(entry));
  BOOST_TEST(Choice().empty());
}

BOOST_AUTO_TEST_CASE(ABrokenTargetIsLeftForAWhileUnlessItIsTheOnlyOne) {
  board_.Update(EntryOf("a", "here"));
  board_.Update(EntryOf("b", "here"));
  const TargetPtr a = board_.Find("a");
  board_.OnSent(*a, call_, kStart);
  board_.OnEnded(*a, TargetOutcome::kBroken, false, kStart, kStart);
  BOOST_TEST(Choice(kStart + 1ms) == "b");
  board_.Remove("b");
  BOOST_TEST(Choice(kStart + 1ms) == "a");
}

BOOST_AUTO_TEST_CASE(AModelThatNoTargetHoldsIsNamed) {
  board_.Update(EntryOf("a", "here"));
  call_.model = "other";
  BOOST_TEST(static_cast<int>(board_.Pick(need_, kStart).outcome) ==
             static_cast<int>(PickOutcome::kNoModel));
  call_.model = "m";
  call_.adapter = "a1";
  BOOST_TEST(static_cast<int>(board_.Pick(need_, kStart).outcome) ==
             static_cast<int>(PickOutcome::kNoAdapter));
}

BOOST_AUTO_TEST_CASE(ANewIncarnationForgetsWhatWasKnown) {
  TargetRegistration entry = EntryOf("a", "here");
  board_.Update(entry);
  board_.SetAdapter(*board_.Find("a"), "m/a1", true);
  entry.born_ms = 2;
  BOOST_TEST(board_.Update(entry));
  BOOST_TEST(board_.Find("a")->adapters.empty());
  entry.born_ms = 1;
  BOOST_TEST(!board_.Update(entry));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jackdaw::serving
