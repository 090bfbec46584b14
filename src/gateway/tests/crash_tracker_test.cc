#include "gateway/crash_tracker.h"

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
  BOOST_TEST(!tracker.IsBlocked(digest, kStart + 61s));
}

BOOST_AUTO_TEST_CASE(CountsCrashesOfPeers) {
  CrashTracker first;
  CrashTracker second;
  const auto digest = RequestDigest("/a/b", "key", "body");
  Crash(first, digest, "t-1");
  Crash(first, digest, "t-2");
  Crash(second, digest, "t-3");
  second.OnPeerCounts("first", first.OwnCounts(kStart));
  BOOST_TEST(second.IsBlocked(digest, kStart));
}

BOOST_AUTO_TEST_CASE(ResponseClearsCount) {
  CrashTracker tracker;
  const auto digest = RequestDigest("/a/b", "key", "body");
  for (const char* id : {"t-1", "t-2", "t-3", "t-4", "t-5"}) {
    Crash(tracker, digest, id);
  }
  tracker.OnAnswered(digest);
  BOOST_TEST(!tracker.IsBlocked(digest, kStart));
}

}  // namespace
}  // namespace jackdaw::serving
