#include "gateway/crash_tracker.h"

#include <array>
#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

/// Lets a new target crash under a request.
void Crash(CrashTracker& tracker, std::uint64_t digest, std::string_view id) {
  CrashSuspect suspect;
  suspect.digest = digest;
  suspect.target = std::make_shared<Target>();
  suspect.target->entry.id = id;
  suspect.target->ended = true;
  suspect.sent_at = kStart;
  suspect.ended_at = kStart;
  tracker.OnAttemptFailed(suspect);
  tracker.CountCrashes(kStart);
}

BOOST_AUTO_TEST_CASE(BlocksRequestAfterThreeCrashedTargets) {
  CrashTracker tracker;
  const auto digest = RequestDigest("/a/b", "key", "body");
  Crash(tracker, digest, "t-1");
  Crash(tracker, digest, "t-2");
  BOOST_TEST(!tracker.IsBlocked(digest, kStart));
  Crash(tracker, digest, "t-3");
  BOOST_TEST(tracker.IsBlocked(digest, kStart));
  BOOST_TEST(!tracker.IsBlocked(RequestDigest("/a/b", "key", "other"), kStart));
  BOOST_TEST(tracker.IsBlocked(digest, kStart + 599s));
  BOOST_TEST(!tracker.IsBlocked(digest, kStart + 601s));
}

/// Sends a member's reports to the leader and the leader's answer back.
void ExchangeReports(CrashTracker& member, CrashTracker& leader) {
  const auto reports = member.Unreported(kStart);
  leader.AddReports(reports, kStart);
  member.OnReported(reports);
  member.AddReports(leader.BlockedRequests(kStart), kStart);
}

BOOST_AUTO_TEST_CASE(EachInstanceLearnsTheSumOfAll) {
  CrashTracker leader;
  std::array<CrashTracker, 3> members;
  const auto digest = RequestDigest("/a/b", "key", "body");
  Crash(members[0], digest, "t-1");
  Crash(members[1], digest, "t-2");
  Crash(leader, digest, "t-3");
  for (CrashTracker& member : members) {
    ExchangeReports(member, leader);
  }
  for (CrashTracker& member : members) {
    ExchangeReports(member, leader);
    BOOST_TEST(member.IsBlocked(digest, kStart));
    BOOST_TEST(member.Unreported(kStart).empty());
  }
}

BOOST_AUTO_TEST_CASE(CrashSeenBySeveralInstancesCountsOnce) {
  CrashTracker leader;
  std::array<CrashTracker, 3> members;
  for (CrashTracker& member : members) {
    Crash(member, 7, "t-1");
    ExchangeReports(member, leader);
    member.ReportAgain();
    ExchangeReports(member, leader);
  }
  BOOST_TEST(leader.Crashes(7, kStart) == 1);
  BOOST_TEST(!leader.IsBlocked(7, kStart));
}

BOOST_AUTO_TEST_CASE(RestartUnderTheSameIdCountsAgain) {
  CrashTracker tracker;
  auto target = std::make_shared<Target>();
  target->ended = true;
  for (int i = 0; i < 3; ++i) {
    const Instant sent_at = kStart + i * 10s;
    tracker.OnAttemptFailed({7, target, sent_at, sent_at + 1s, true});
    tracker.CountCrashes(sent_at + 2s);
  }
  BOOST_TEST(tracker.IsBlocked(7, kStart + 22s));
}

BOOST_AUTO_TEST_CASE(NewLeaderLearnsWhatMembersAndTheStoreKnow) {
  CrashTracker first_leader;
  CrashTracker member;
  Crash(first_leader, 7, "t-1");
  Crash(first_leader, 7, "t-2");
  Crash(member, 7, "t-3");
  ExchangeReports(member, first_leader);
  CrashTracker from_store;
  from_store.AddReports(first_leader.AllCrashes(kStart), kStart);
  BOOST_TEST(from_store.IsBlocked(7, kStart));
  CrashTracker from_member;
  member.ReportAgain();
  ExchangeReports(member, from_member);
  BOOST_TEST(from_member.IsBlocked(7, kStart));
}

BOOST_AUTO_TEST_CASE(BreaksOfSeveralConnectionsToOneTargetCountOnce) {
  CrashTracker tracker;
  const auto target = std::make_shared<Target>();
  for (int i = 0; i < 3; ++i) {
    const Instant sent_at = kStart + i * 1ms;
    tracker.OnAttemptFailed({7, target, sent_at, sent_at, true});
  }
  tracker.CountCrashes(kStart + 2s);
  BOOST_TEST(tracker.Crashes(7, kStart + 2s) == 1);
}

BOOST_AUTO_TEST_CASE(AnswerClearsTheCountAtTheLeader) {
  CrashTracker leader;
  CrashTracker member;
  Crash(leader, 7, "t-1");
  Crash(member, 7, "t-2");
  ExchangeReports(member, leader);
  member.OnRequestAnswered(7);
  ExchangeReports(member, leader);
  BOOST_TEST(leader.Crashes(7, kStart) == 0);
}

BOOST_AUTO_TEST_CASE(ManyRequestsDoNotDisplaceABlockedOne) {
  CrashTracker tracker;
  for (const char* id : {"t-1", "t-2", "t-3"}) {
    Crash(tracker, 7, id);
  }
  for (std::uint64_t digest = 100; digest < 10'000; ++digest) {
    Crash(tracker, digest, "t-4");
  }
  BOOST_TEST(tracker.IsBlocked(7, kStart));
  BOOST_TEST(tracker.tracked_requests() < 3000U);
}

BOOST_AUTO_TEST_CASE(ResponseClearsCount) {
  CrashTracker tracker;
  const auto digest = RequestDigest("/a/b", "key", "body");
  for (const char* id : {"t-1", "t-2", "t-3", "t-4", "t-5"}) {
    Crash(tracker, digest, id);
  }
  tracker.OnRequestAnswered(digest);
  BOOST_TEST(!tracker.IsBlocked(digest, kStart));
}

BOOST_AUTO_TEST_CASE(AnswerOfARunFromBeforeTheCrashesDoesNotUnblock) {
  CrashTracker tracker;
  for (const char* id : {"t-1", "t-2", "t-3"}) {
    Crash(tracker, 7, id);
  }
  tracker.OnAnswerComplete({7, {}}, kStart - 1s, kStart + 1s);
  BOOST_TEST(tracker.IsBlocked(7, kStart + 1s));
  tracker.OnAnswerComplete({7, {}}, kStart + 1s, kStart + 2s);
  BOOST_TEST(!tracker.IsBlocked(7, kStart + 2s));
}

}  // namespace
}  // namespace jackdaw::serving
