#include "gateway/pace.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

#include "core/random.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

PaceInput Input(Micros reading, Micros objective) {
  PaceInput input;
  input.now = kStart;
  input.reading_until = kStart + reading;
  input.own_reading = 57ms;
  input.on_time_until = kStart + objective;
  return input;
}

BOOST_AUTO_TEST_CASE(AnIdleEngineGetsTheRequestAtOnce) {
  BOOST_TEST((Pace(Input(0ms, 800ms)).step == PaceStep::kSend));
}

BOOST_AUTO_TEST_CASE(ABusyEngineGetsItWhenItHasCaughtUp) {
  const PaceDecision pace = Pace(Input(250ms, 800ms));
  BOOST_TEST((pace.step == PaceStep::kSendLater));
  BOOST_TEST((pace.at > kStart));
  BOOST_TEST((pace.at < kStart + 250ms));
}

BOOST_AUTO_TEST_CASE(WhatWouldBeLateIsRefusedAtOnceWithTheMoment) {
  const PaceDecision pace = Pace(Input(1500ms, 800ms));
  BOOST_TEST((pace.step == PaceStep::kRefuse));
  BOOST_TEST((pace.at > kStart + 1s));
  BOOST_TEST((pace.at < kStart + 1500ms));
}

BOOST_AUTO_TEST_CASE(APatientRequestLetsOthersGoFirstWhileItHasTime) {
  PaceInput input = Input(120ms, 2500ms);
  input.patient = true;
  BOOST_TEST((Pace(input).step == PaceStep::kWait));
  input.on_time_until = kStart + 300ms;
  BOOST_TEST((Pace(input).step == PaceStep::kSend));
}

BOOST_AUTO_TEST_CASE(ALongPromptGoesWhenNothingIsBeforeIt) {
  PaceInput input = Input(0ms, 800ms);
  input.own_reading = 400ms;
  BOOST_TEST((Pace(input).step == PaceStep::kSend));
}

BOOST_AUTO_TEST_CASE(AFullEngineIsWaitedForByItsTurnover) {
  PaceInput input = Input(0ms, 800ms);
  input.beyond_places = 4;
  input.place_time = 125ms;
  BOOST_TEST((Pace(input).step != PaceStep::kSend));
  input.place_time = 20ms;
  BOOST_TEST((Pace(input).step == PaceStep::kSend));
}

// Four engines that read a prompt in 57 ms get clumps of requests at 80% of
// what they can read. A running stream is on time while no more than 250 ms of
// reading lie between two of its events.
struct Outcome {
  int on_time = 0;
  int crowded = 0;
  int refused = 0;
};

Outcome PlayClumps(bool paced) {
  Random random(5);
  constexpr Micros kOwn = 57ms;
  constexpr Micros kPauseLimit = 250ms;
  std::vector<Instant> reading(4, kStart);
  Outcome outcome;
  Instant now = kStart;
  for (int clump = 0; clump < 400; ++clump) {
    now += 57ms * 8 / 4 * 10 / 8;
    for (int i = 0; i < 8; ++i) {
      Instant& engine = paced
                            ? *std::min_element(reading.begin(), reading.end())
                            : reading[random.Below(reading.size())];
      engine = std::max(engine, now);
      PaceInput input = Input(0ms, 800ms);
      input.now = now;
      input.reading_until = engine;
      input.on_time_until = now + 800ms;
      const PaceDecision pace = Pace(input);
      if (paced && pace.step == PaceStep::kRefuse) {
        ++outcome.refused;
        continue;
      }
      const Instant sent =
          paced && pace.step == PaceStep::kSendLater ? pace.at : now;
      engine += kOwn;
      const bool crowds = engine - sent > kPauseLimit;
      outcome.crowded += crowds ? 1 : 0;
      outcome.on_time += !crowds && engine - now < 800ms ? 1 : 0;
    }
  }
  return outcome;
}

BOOST_AUTO_TEST_CASE(PacedClumpsCrowdNoEngineAndServeMoreOnTime) {
  const Outcome paced = PlayClumps(true);
  const Outcome simple = PlayClumps(false);
  BOOST_TEST(paced.crowded == 0);
  BOOST_TEST(paced.refused <= 3200 / 100);
  BOOST_TEST(paced.on_time >= 3200 * 95 / 100);
  BOOST_TEST(simple.on_time < paced.on_time);
}

}  // namespace
}  // namespace jackdaw::serving
