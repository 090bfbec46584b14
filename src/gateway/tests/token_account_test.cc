#include "gateway/token_account.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

EngineSpec EngineOf(int slots, double kv_tokens) {
  EngineSpec engine;
  engine.slots = slots;
  engine.kv_tokens = kv_tokens;
  return engine;
}

// A target ends, with all its requests, if they exceed its memory.
BOOST_AUTO_TEST_CASE(RequestsThatTheMemoryDoesNotHoldAreNotSent) {
  for (const double kv_tokens : {64'598.0, 62'823.0, 157'143.0}) {
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
      const EngineSpec engine = EngineOf(16, kv_tokens);
      LoadForecast forecast;
      std::mt19937 random(seed);
      double held = 0;
      for (int i = 0; i < 400; ++i) {
        const auto tokens = static_cast<std::int64_t>(200 + random() % 6000);
        if (IsFull(engine, forecast, tokens, kStart)) {
          continue;
        }
        held += static_cast<double>(tokens);
        if (i % 8 == 0) {
          forecast.AddOwn(kStart, kStart + 3s, tokens);
        } else {
          forecast.AddOther(kStart, kStart + 3s, tokens);
        }
      }
      BOOST_TEST(held <= kv_tokens);
      BOOST_TEST(held > kv_tokens * 0.8);
    }
  }
}

// Guards against refusals under ordinary load: with as many requests as slots a
// target is not full, however they vary around their mean.
BOOST_AUTO_TEST_CASE(TargetWithAsManyRequestsAsSlotsIsNotFull) {
  const EngineSpec engine = EngineOf(16, 64'598);
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    LoadForecast forecast;
    for (int i = 0; i < 16; ++i) {
      const auto tokens = static_cast<std::int64_t>(816 + random() % 1632);
      BOOST_TEST(!IsFull(engine, forecast, tokens, kStart));
      forecast.AddOther(kStart, kStart + 3s, tokens);
    }
  }
}

// Callers whose output bound is far above what they get take no slot away.
BOOST_AUTO_TEST_CASE(MemoryForTheSlotsIsUsedUpToTheCapacity) {
  const EngineSpec engine = EngineOf(10, 10'000);
  BOOST_TEST(TokenLimit(engine, 100) == 9200);
  BOOST_TEST(TokenLimit(engine, 960) == 9600);
  BOOST_TEST(TokenLimit(engine, 5000) == 10'000);
}

BOOST_AUTO_TEST_CASE(WaitingRequestsAndThoseUnderWayCount) {
  const EngineSpec engine = EngineOf(16, 64'598);
  LoadForecast forecast;
  for (int i = 0; i < 36; ++i) {
    forecast.AddOther(kStart, kStart + 3s, 1632);
  }
  BOOST_TEST(IsFull(engine, forecast, 1632, kStart));
}

BOOST_AUTO_TEST_CASE(TargetWithoutRequestsOrWithoutACapacityIsNeverFull) {
  LoadForecast forecast;
  BOOST_TEST(!IsFull(EngineOf(16, 1000), forecast, 5000, kStart));
  forecast.AddOther(kStart, kStart + 3s, 50'000);
  BOOST_TEST(!IsFull(EngineOf(16, 0), forecast, 5000, kStart));
}

BOOST_AUTO_TEST_CASE(RoomIsExpectedWhenEnoughRequestsHaveEnded) {
  const EngineSpec engine = EngineOf(2, 1000);
  LoadForecast forecast;
  for (int i = 1; i <= 9; ++i) {
    forecast.AddOther(kStart, kStart + i * 100ms, 100);
  }
  BOOST_TEST(IsFull(engine, forecast, 300, kStart));
  BOOST_TEST((TimeOfRoom(engine, forecast, 300, kStart) == kStart + 300ms));
  BOOST_TEST((TimeOfRoom(engine, forecast, 9000, kStart) == kStart + 900ms));
}

}  // namespace
}  // namespace jackdaw::serving
