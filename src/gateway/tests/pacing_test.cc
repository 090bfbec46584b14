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

BOOST_AUTO_TEST_CASE(IdleEngineGetsRequestAtOnce) {
  BOOST_TEST((DecidePacing(Input(0ms, 800ms)).action == PacingAction::kSend));
}

BOOST_AUTO_TEST_CASE(BusyEngineGetsRequestLater) {
  const PacingDecision pacing = DecidePacing(Input(250ms, 800ms));
  BOOST_TEST((pacing.action == PacingAction::kSendLater));
  BOOST_TEST((pacing.at > kStart));
  BOOST_TEST((pacing.at < kStart + 250ms));
}

BOOST_AUTO_TEST_CASE(RejectsLateRequestWithRetryTime) {
  const PacingDecision pacing = DecidePacing(Input(1500ms, 800ms));
  BOOST_TEST((pacing.action == PacingAction::kReject));
  BOOST_TEST((pacing.at > kStart + 1s));
  BOOST_TEST((pacing.at < kStart + 1500ms));
}

BOOST_AUTO_TEST_CASE(DeferrableRequestWaitsWhileItHasTime) {
  PacingInput input = Input(120ms, 2500ms);
  input.deferrable = true;
  BOOST_TEST((DecidePacing(input).action == PacingAction::kRecheck));
  input.first_byte_deadline = kStart + 300ms;
  BOOST_TEST((DecidePacing(input).action == PacingAction::kSend));
}

BOOST_AUTO_TEST_CASE(SendsLongPromptToIdleEngine) {
  PacingInput input = Input(0ms, 800ms);
  input.own_prefill = 400ms;
  BOOST_TEST((DecidePacing(input).action == PacingAction::kSend));
}

BOOST_AUTO_TEST_CASE(FullEngineDelaysRequestBySlotTime) {
  PacingInput input = Input(0ms, 800ms);
  input.excess_requests = 4;
  input.slot_time = 125ms;
  BOOST_TEST((DecidePacing(input).action != PacingAction::kSend));
  input.slot_time = 20ms;
  BOOST_TEST((DecidePacing(input).action == PacingAction::kSend));
}

struct Outcome {
  int on_time = 0;
  int overloaded = 0;
  int rejected = 0;
};

// Four engines with a prefill time of 57 ms per prompt receive bursts of
// requests at 80% of their prefill capacity. A running stream is on time while
// at most 250 ms of prefill delay its next event.
Outcome SimulateBursts(bool paced) {
  Random random(5);
  constexpr Micros kOwnPrefill = 57ms;
  constexpr Micros kPauseLimit = 250ms;
  std::vector<Instant> prefill(4, kStart);
  Outcome outcome;
  Instant now = kStart;
  for (int burst = 0; burst < 400; ++burst) {
    // Time for 4 engines to prefill 8 prompts, at 80% load.
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
      if (paced && pacing.action == PacingAction::kReject) {
        ++outcome.rejected;
        continue;
      }
      const Instant sent =
          paced && pacing.action == PacingAction::kSendLater ? pacing.at : now;
      engine += kOwnPrefill;
      const bool overloads = engine - sent > kPauseLimit;
      outcome.overloaded += overloads ? 1 : 0;
      outcome.on_time += !overloads && engine - now < 800ms ? 1 : 0;
    }
  }
  return outcome;
}

BOOST_AUTO_TEST_CASE(PacedBurstsOverloadNoEngineAndServeMoreOnTime) {
  const Outcome paced = SimulateBursts(true);
  const Outcome unpaced = SimulateBursts(false);
  BOOST_TEST(paced.overloaded == 0);
  BOOST_TEST(paced.rejected <= 3200 / 100);
  BOOST_TEST(paced.on_time >= 3200 * 95 / 100);
  BOOST_TEST(unpaced.on_time < paced.on_time);
}

}  // namespace
}  // namespace jackdaw::serving
