#include "gateway/part_suspicion.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr std::uint64_t kCrashing = 1;
constexpr std::uint64_t kSound = 2;

PartCrash Crash(std::uint64_t target, std::uint64_t request, Micros at) {
  return {target, request, kStart + at};
}

BOOST_AUTO_TEST_CASE(ThreeCrashesUnderDifferentRequestsBlockThePart) {
  const std::vector<PartCrash> two = {Crash(1, 11, 0s), Crash(2, 12, 1s)};
  std::vector<PartCrash> three = two;
  three.push_back(Crash(3, 13, 2s));
  BOOST_TEST(
      FindCrashingParts(std::vector<PartSuspicion>{{kCrashing, two}}).empty());
  BOOST_TEST(FindCrashingParts(std::vector<PartSuspicion>{{kCrashing, three}})
                 .size() == 1U);
}

BOOST_AUTO_TEST_CASE(RepeatsOfOneRequestDoNotBlockItsPart) {
  BOOST_TEST(FindCrashingParts(std::vector<PartSuspicion>{
                                   {kSound,
                                    {Crash(1, 11, 0s), Crash(2, 11, 1s),
                                     Crash(3, 11, 2s), Crash(4, 11, 3s)}}})
                 .empty());
}

BOOST_AUTO_TEST_CASE(PowerLossOfManyTargetsBlocksNoPart) {
  std::vector<PartCrash> crashes;
  for (std::uint64_t i = 1; i <= 10; ++i) {
    crashes.push_back(Crash(i, 10 + i, i * 1ms));
  }
  BOOST_TEST(
      FindCrashingParts(std::vector<PartSuspicion>{{kSound, crashes}}).empty());
}

BOOST_AUTO_TEST_CASE(PartThatTravelledWithTheCrashingOneIsNotBlocked) {
  const std::vector<PartCrash> sound = {Crash(1, 21, 0s), Crash(2, 22, 1s),
                                        Crash(3, 23, 2s)};
  const std::vector<PartCrash> crashing = {Crash(1, 11, 0s), Crash(2, 12, 1s),
                                           Crash(3, 13, 2s), Crash(4, 14, 3s)};
  const auto blocked = FindCrashingParts(
      std::vector<PartSuspicion>{{kSound, sound}, {kCrashing, crashing}});
  BOOST_TEST_REQUIRE(blocked.size() == 1U);
  BOOST_TEST(blocked[0].part == kCrashing);
  BOOST_TEST(blocked[0].partner == 0U);
}

BOOST_AUTO_TEST_CASE(PartsInTheSameCrashesAreNotToldApartByChance) {
  const std::vector<PartCrash> crashes = {Crash(1, 11, 0s), Crash(2, 12, 1s),
                                          Crash(3, 13, 2s)};
  BOOST_TEST(FindCrashingParts(std::vector<PartSuspicion>{{kSound, crashes},
                                                          {kCrashing, crashes}})
                 .size() == 2U);
}

BOOST_AUTO_TEST_CASE(CrashingPartThatMissesOneCrashIsStillBlocked) {
  std::vector<PartCrash> crashing;
  for (std::uint64_t i = 1; i <= 5; ++i) {
    crashing.push_back(Crash(i, 10 + i, i * 1s));
  }
  std::vector<PartCrash> sound = crashing;
  sound.push_back(Crash(6, 16, 6s));
  BOOST_TEST(FindCrashingParts(std::vector<PartSuspicion>{
                                   {kSound, sound}, {kCrashing, crashing}})
                 .size() == 2U);
}

BOOST_AUTO_TEST_CASE(TwoCrashingPartsAreBothBlocked) {
  const std::vector<PartCrash> one = {Crash(1, 11, 0s), Crash(2, 12, 2s),
                                      Crash(3, 13, 4s)};
  const std::vector<PartCrash> other = {Crash(4, 14, 1s), Crash(5, 15, 3s),
                                        Crash(6, 16, 5s)};
  BOOST_TEST(FindCrashingParts(
                 std::vector<PartSuspicion>{{kCrashing, one}, {kSound, other}})
                 .size() == 2U);
}

}  // namespace
}  // namespace jackdaw::serving
