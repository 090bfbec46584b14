#include "gateway/crash_tracker.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

BOOST_AUTO_TEST_CASE(BlocksRequestAfterThreeBrokenConnections) {
  CrashTracker tracker;
  const auto digest = RequestDigest("/a/b", "key", "body");
  tracker.OnConnectionBroken(digest, kStart);
  tracker.OnConnectionBroken(digest, kStart);
  BOOST_TEST(!tracker.IsBlocked(digest, kStart));
  tracker.OnConnectionBroken(digest, kStart);
  BOOST_TEST(tracker.IsBlocked(digest, kStart));
  BOOST_TEST(!tracker.IsBlocked(RequestDigest("/a/b", "key", "other"), kStart));
  BOOST_TEST(!tracker.IsBlocked(digest, kStart + 61s));
}

BOOST_AUTO_TEST_CASE(CountsBrokenConnectionsOfPeers) {
  CrashTracker first;
  CrashTracker second;
  const auto digest = RequestDigest("/a/b", "key", "body");
  first.OnConnectionBroken(digest, kStart);
  first.OnConnectionBroken(digest, kStart);
  second.OnConnectionBroken(digest, kStart);
  second.OnPeerCounts("first", first.OwnCounts(kStart));
  BOOST_TEST(second.IsBlocked(digest, kStart));
}

BOOST_AUTO_TEST_CASE(ResponseClearsCount) {
  CrashTracker tracker;
  const auto digest = RequestDigest("/a/b", "key", "body");
  for (int i = 0; i < 5; ++i) {
    tracker.OnConnectionBroken(digest, kStart);
  }
  tracker.OnAnswered(digest);
  BOOST_TEST(!tracker.IsBlocked(digest, kStart));
}

}  // namespace
}  // namespace jackdaw::serving
