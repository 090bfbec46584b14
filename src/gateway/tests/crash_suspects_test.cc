#include "gateway/crash_suspects.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr std::uint64_t kDigest = 7;

class SuspectsFixture {
 protected:
  /// An attempt that was sent at kStart and ended 40 ms later.
  void Add(bool connection_ended) {
    suspects_.Add({kDigest, target_, kStart, kStart + 40ms, connection_ended});
  }

  TargetPtr target_ = std::make_shared<Target>();
  CrashSuspects suspects_;
};

BOOST_FIXTURE_TEST_CASE(TargetThatStaysSilentHasCrashed, SuspectsFixture) {
  Add(true);
  suspects_.OnTargetBytes(*target_, kStart - 1s, kStart + 60ms);
  BOOST_TEST(suspects_.CountTargets(kDigest) == 1);
  BOOST_TEST(suspects_.TakeCrashes(kStart + 60ms).empty());
  BOOST_TEST(suspects_.TakeCrashes(kStart + 1100ms).size() == 1U);
  BOOST_TEST(suspects_.TakeCrashes(kStart + 1100ms).empty());
}

BOOST_FIXTURE_TEST_CASE(ResetByALiveTargetIsNoCrash, SuspectsFixture) {
  Add(true);
  suspects_.OnTargetBytes(*target_, kStart - 1s, kStart + 400ms);
  BOOST_TEST(suspects_.CountTargets(kDigest) == 0);
  BOOST_TEST(suspects_.TakeCrashes(kStart + 1100ms).empty());
}

BOOST_FIXTURE_TEST_CASE(ResetOfAllConnectionsByALiveTargetIsNoCrash,
                        SuspectsFixture) {
  Add(true);
  suspects_.OnTargetAnswered(*target_, kStart + 60ms);
  BOOST_TEST(suspects_.CountTargets(kDigest) == 1);
  suspects_.OnTargetAnswered(*target_, kStart + 400ms);
  BOOST_TEST(suspects_.CountTargets(kDigest) == 0);
}

BOOST_FIXTURE_TEST_CASE(BytesOfASuccessorDoNotClearTheTarget, SuspectsFixture) {
  Add(true);
  suspects_.OnTargetBytes(*target_, kStart + 100ms, kStart + 400ms);
  BOOST_TEST(suspects_.TakeCrashes(kStart + 1100ms).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(EndOfADrainedTargetIsNoCrash, SuspectsFixture) {
  Add(true);
  target_->entry.state = TargetState::kDraining;
  target_->ended = true;
  BOOST_TEST(suspects_.TakeCrashes(kStart + 1100ms).empty());
}

BOOST_FIXTURE_TEST_CASE(CrashThatShowsAsSilenceCounts, SuspectsFixture) {
  Add(false);
  BOOST_TEST(suspects_.TakeCrashes(kStart + 4s).empty());
  target_->ended = true;
  BOOST_TEST(suspects_.TakeCrashes(kStart + 5s).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AbandonedAttemptAtALiveTargetIsNoCrash,
                        SuspectsFixture) {
  Add(false);
  suspects_.OnTargetBytes(*target_, kStart - 1s, kStart + 2s);
  BOOST_TEST(suspects_.TakeCrashes(kStart + 3s).empty());
  target_->ended = true;
  BOOST_TEST(suspects_.TakeCrashes(kStart + 4s).empty());
}

BOOST_FIXTURE_TEST_CASE(OneTargetCountsOnce, SuspectsFixture) {
  Add(true);
  Add(true);
  BOOST_TEST(suspects_.CountTargets(kDigest) == 1);
}

}  // namespace
}  // namespace jackdaw::serving
