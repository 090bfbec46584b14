#include "gateway/pacing.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

#include "core/random.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

PacingInput Input(Micros prefill, Micros objective) {
  PacingInput input;
  input.now = kStart;
  input.prefill_until = kStart + prefill;
  input.own_prefill = 57ms;
  input.first_byte_deadline = kStart + objective;
  return input;
}

BOOST_AUTO_TEST_CASE(AnIdleEngineGetsTheRequestAtOnce) {
  BOOST_TEST((DecidePacing(Input(0ms, 800ms)).step == PacingAction::kSend));
}

BOOST_AUTO_TEST_CASE(ABusyEngineGetsItWhenItHasCaughtUp) {
  const PacingDecision pacing = DecidePacing(Input(250ms, 800ms));
  BOOST_TEST((pacing.step == PacingAction::kSendLater));
  BOOST_TEST((pacing.at > kStart));
  BOOST_TEST((pacing.at < kStart + 250ms));
}

BOOST_AUTO_TEST_CASE(WhatWouldBeLateIsRefusedAtOnceWithTheMoment) {
  const PacingDecision pacing = DecidePacing(Input(1500ms, 800ms));
  BOOST_TEST((pacing.step == PacingAction::kReject));
  BOOST_TEST((pacing.at > kStart + 1s));
  BOOST_TEST((pacing.at < kStart + 1500ms));
}

BOOST_AUTO_TEST_CASE(APatientRequestLetsOthersGoFirstWhileItHasTime) {
  PacingInput input = Input(120ms, 2500ms);
  input.deferrable = true;
  BOOST_TEST((DecidePacing(input).step == PacingAction::kRecheck));
  input.first_byte_deadline = kStart + 300ms;
  BOOST_TEST((DecidePacing(input).step == PacingAction::kSend));
}

BOOST_AUTO_TEST_CASE(ALongPromptGoesWhenNothingIsBeforeIt) {
  PacingInput input = Input(0ms, 800ms);
  input.own_prefill = 400ms;
  BOOST_TEST((DecidePacing(input).step == PacingAction::kSend));
}

BOOST_AUTO_TEST_CASE(AFullEngineIsWaitedForByItsTurnover) {
  PacingInput input = Input(0ms, 800ms);
  input.requests_beyond_slots = 4;
  input.slot_time = 125ms;
  BOOST_TEST((DecidePacing(input).step != PacingAction::kSend));
  input.slot_time = 20ms;
  BOOST_TEST((DecidePacing(input).step == PacingAction::kSend));
}

// Four engines that read a prompt in 57 ms get clumps of requests at 80% of
// what they can read. A running stream is on time while no more than 250 ms of
// reading lie between two of its events.
struct Outcome {
  int on_time = 0;
  int overloaded = 0;
  int rejected = 0;
};

Outcome SimulateBursts(bool paced) {
  Random random(5);
  constexpr Micros kOwnPrefill = 57ms;
  constexpr Micros kPauseLimit = 250ms;
  std::vector<Instant> prefill(4, kStart);
  Outcome outcome;
  Instant now = kStart;
  for (int burst = 0; burst < 400; ++burst) {
    now += 57ms * 8 / 4 * 10 / 8;
    for (int i = 0; i < 8; ++i) {
      Instant& engine = paced
                            ? *std::min_element(prefill.begin(), prefill.end())
                            : prefill[random.Below(prefill.size())];
      engine = std::max(engine, now);
      PacingInput input = Input(0ms, 800ms);
      input.now = now;
      input.prefill_until = engine;
      input.first_byte_deadline = now + 800ms;
      const PacingDecision pacing = DecidePacing(input);
      if (paced && pacing.step == PacingAction::kReject) {
        ++outcome.rejected;
        continue;
      }
      const Instant sent =
          paced && pacing.step == PacingAction::kSendLater ? pacing.at : now;
      engine += kOwnPrefill;
      const bool overloads = engine - sent > kPauseLimit;
      outcome.overloaded += overloads ? 1 : 0;
      outcome.on_time += !overloads && engine - now < 800ms ? 1 : 0;
    }
  }
  return outcome;
}

BOOST_AUTO_TEST_CASE(PacedClumpsCrowdNoEngineAndServeMoreOnTime) {
  const Outcome paced = SimulateBursts(true);
  const Outcome unpaced = SimulateBursts(false);
  BOOST_TEST(paced.overloaded == 0);
  BOOST_TEST(paced.rejected <= 3200 / 100);
  BOOST_TEST(paced.on_time >= 3200 * 95 / 100);
  BOOST_TEST(unpaced.on_time < paced.on_time);
}

}  // namespace
}  // namespace jackdaw::serving
