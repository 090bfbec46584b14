// Tests of the crash tracker with parts of prompts that requests share.
#include <array>
#include <boost/test/unit_test.hpp>

#include "gateway/crash_tracker.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr std::uint64_t kCrashing = 0xdead;
constexpr std::uint64_t kShared = 0xa1;

/// Lets new targets crash, a second apart, under requests of which no two are
/// alike.
class PartsFixture {
 protected:
  CrashCauses NextRequest(std::vector<std::uint64_t> parts) {
    return {++requests_, std::move(parts)};
  }
  void Crash(CrashTracker& tracker, const CrashCauses& causes) {
    CrashSuspect suspect;
    suspect.digest = causes.request;
    suspect.parts = causes.parts;
    suspect.target = std::make_shared<Target>();
    suspect.target->entry.id = "t-" + std::to_string(++targets_);
    suspect.connection_ended = true;
    suspect.sent_at = now_;
    suspect.ended_at = now_;
    tracker.OnAttemptFailed(suspect);
    now_ += 1s;
    tracker.CountCrashes(now_);
  }
  void CrashOnPart(CrashTracker& tracker) {
    Crash(tracker, NextRequest({kShared, kCrashing}));
  }
  bool IsBlocked(const CrashTracker& tracker,
                 std::vector<std::uint64_t> parts) {
    return tracker.BlockedCause(NextRequest(std::move(parts)), now_) != 0;
  }
  /// Sends a member's reports to the leader and the leader's answer back.
  void ExchangeReports(CrashTracker& member, CrashTracker& leader) const {
    const auto reports = member.Unreported(now_);
    leader.AddReports(reports, now_);
    member.OnReported(reports);
    member.AddReports(leader.BlockedRequests(now_), now_);
  }

  Instant now_ = kStart;
  std::uint64_t requests_ = 100;
  int targets_ = 0;
};

BOOST_FIXTURE_TEST_CASE(ThirdCrashBlocksRequestsWithThePart, PartsFixture) {
  CrashTracker tracker;
  tracker.OnAnswerComplete(NextRequest({kShared}), now_, now_);
  CrashOnPart(tracker);
  CrashOnPart(tracker);
  BOOST_TEST(!IsBlocked(tracker, {kShared, kCrashing}));
  CrashOnPart(tracker);
  BOOST_TEST(IsBlocked(tracker, {kShared, kCrashing}));
  BOOST_TEST(!IsBlocked(tracker, {kShared}));
  tracker.OnAnswerComplete(NextRequest({kShared}), now_, now_);
  BOOST_TEST(IsBlocked(tracker, {kCrashing}));
}

BOOST_FIXTURE_TEST_CASE(AnswersKeepSharedPartsFromBeingBlocked, PartsFixture) {
  CrashTracker tracker;
  for (int i = 0; i < 10; ++i) {
    CrashOnPart(tracker);
    tracker.OnAnswerComplete(NextRequest({kShared}), now_, now_);
  }
  BOOST_TEST(IsBlocked(tracker, {kCrashing}));
  BOOST_TEST(!IsBlocked(tracker, {kShared}));
}

BOOST_FIXTURE_TEST_CASE(EachInstanceLearnsThePart, PartsFixture) {
  CrashTracker leader;
  std::array<CrashTracker, 4> members;
  for (std::size_t i = 0; i < 3; ++i) {
    members[i].OnAnswerComplete(NextRequest({kShared}), now_, now_);
    CrashOnPart(members[i]);
    ExchangeReports(members[i], leader);
  }
  for (CrashTracker& member : members) {
    ExchangeReports(member, leader);
  }
  for (CrashTracker& member : members) {
    ExchangeReports(member, leader);
    BOOST_TEST(IsBlocked(member, {kShared, kCrashing}));
    BOOST_TEST(!IsBlocked(member, {kShared}));
    BOOST_TEST(member.Unreported(now_).empty());
  }
}

BOOST_FIXTURE_TEST_CASE(PartWronglyBlockedIsFreedByAnAnswerElsewhere,
                        PartsFixture) {
  CrashTracker leader;
  std::array<CrashTracker, 2> members;
  for (int i = 0; i < 3; ++i) {
    Crash(members[0], NextRequest({kShared}));
  }
  ExchangeReports(members[0], leader);
  ExchangeReports(members[0], leader);
  BOOST_TEST(IsBlocked(members[0], {kShared}));
  now_ += 1s;
  members[1].OnAnswerComplete(NextRequest({kShared}), now_, now_);
  ExchangeReports(members[1], leader);
  BOOST_TEST(!IsBlocked(members[1], {kShared}));
  ExchangeReports(members[1], leader);
  ExchangeReports(members[0], leader);
  BOOST_TEST(!IsBlocked(members[0], {kShared}));
  BOOST_TEST(!IsBlocked(leader, {kShared}));
}

BOOST_FIXTURE_TEST_CASE(SoundPartThatBeginsToCrashTargetsIsBlocked,
                        PartsFixture) {
  CrashTracker tracker;
  tracker.OnAnswerComplete(NextRequest({kCrashing}), now_, now_);
  int crashes = 0;
  while (crashes < 20 && !IsBlocked(tracker, {kCrashing})) {
    Crash(tracker, NextRequest({kCrashing}));
    ++crashes;
  }
  BOOST_TEST(crashes < 20);
}

BOOST_FIXTURE_TEST_CASE(FormerTrustOfManyInstancesDoesNotFreeACrashingPart,
                        PartsFixture) {
  CrashTracker leader;
  std::array<CrashTracker, 12> members;
  leader.OnAnswerComplete(NextRequest({kCrashing}), now_, now_);
  for (CrashTracker& member : members) {
    member.OnAnswerComplete(NextRequest({kCrashing}), now_, now_);
  }
  int crashes = 0;
  for (std::size_t i = 0; i < 60; ++i) {
    CrashTracker& member = members[i % members.size()];
    if (!IsBlocked(member, {kCrashing})) {
      Crash(member, NextRequest({kCrashing}));
      ++crashes;
    }
    for (CrashTracker& other : members) {
      ExchangeReports(other, leader);
    }
  }
  BOOST_TEST(crashes <= 5);
}

BOOST_FIXTURE_TEST_CASE(SoundRequestsPassWhileNoAnswerTellsPartsApart,
                        PartsFixture) {
  CrashTracker tracker;
  for (int i = 0; i < 20; ++i) {
    CrashOnPart(tracker);
  }
  BOOST_TEST(IsBlocked(tracker, {kShared, kCrashing}));
  BOOST_TEST(!IsBlocked(tracker, {kShared}));
}

BOOST_FIXTURE_TEST_CASE(CrashWithoutTheOtherPartTellsThemApart, PartsFixture) {
  CrashTracker tracker;
  for (int i = 0; i < 3; ++i) {
    CrashOnPart(tracker);
  }
  Crash(tracker, NextRequest({kCrashing}));
  BOOST_TEST(IsBlocked(tracker, {kCrashing}));
  BOOST_TEST(!IsBlocked(tracker, {kShared}));
}

BOOST_FIXTURE_TEST_CASE(NewLeaderLearnsThePartFromTheStore, PartsFixture) {
  CrashTracker leader;
  for (int i = 0; i < 3; ++i) {
    CrashOnPart(leader);
  }
  CrashTracker from_store;
  from_store.AddReports(leader.AllCrashes(now_), now_);
  BOOST_TEST(IsBlocked(from_store, {kShared, kCrashing}));
}

}  // namespace
}  // namespace jackdaw::serving
