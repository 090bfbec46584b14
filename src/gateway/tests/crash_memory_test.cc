#include "gateway/crash_memory.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

BOOST_AUTO_TEST_CASE(ARequestThatBreaksThreeTargetsIsBarredForAWhile) {
  CrashMemory memory;
  const auto digest = RequestDigest("/a/b", "key", "body");
  memory.OnBroken(digest, kStart);
  memory.OnBroken(digest, kStart);
  BOOST_TEST(!memory.Barred(digest, kStart));
  memory.OnBroken(digest, kStart);
  BOOST_TEST(memory.Barred(digest, kStart));
  BOOST_TEST(!memory.Barred(RequestDigest("/a/b", "key", "other"), kStart));
  BOOST_TEST(!memory.Barred(digest, kStart + 61s));
}

BOOST_AUTO_TEST_CASE(BreaksAtOtherInstancesCount) {
  CrashMemory first;
  CrashMemory second;
  const auto digest = RequestDigest("/a/b", "key", "body");
  first.OnBroken(digest, kStart);
  first.OnBroken(digest, kStart);
  second.OnBroken(digest, kStart);
  second.OnPeerCounts("first", first.Own(kStart));
  BOOST_TEST(second.Barred(digest, kStart));
}

BOOST_AUTO_TEST_CASE(AnAnswerClearsTheCount) {
  CrashMemory memory;
  const auto digest = RequestDigest("/a/b", "key", "body");
  for (int i = 0; i < 5; ++i) {
    memory.OnBroken(digest, kStart);
  }
  memory.OnAnswered(digest);
  BOOST_TEST(!memory.Barred(digest, kStart));
}

}  // namespace
}  // namespace jackdaw::serving
