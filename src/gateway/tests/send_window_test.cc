#include "gateway/send_window.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

int SentAtOnce(SendWindow& window, SendKnowledge knowledge, Instant now) {
  int sent = 0;
  while (window.HasRoom(knowledge, now) && sent < 100) {
    window.OnSent(now);
    ++sent;
  }
  return sent;
}

BOOST_AUTO_TEST_CASE(LessKnowledgeDoesNotUseTheWholeBound) {
  SendWindow window;
  window.SetBound(24);
  BOOST_TEST(SentAtOnce(window, SendKnowledge::kUnsure, kStart) == 2);
  BOOST_TEST(SentAtOnce(window, SendKnowledge::kNotices, kStart) == 10);
  BOOST_TEST(SentAtOnce(window, SendKnowledge::kLeader, kStart) == 10);
  BOOST_TEST(window.Count(kStart) == 22);
}

BOOST_AUTO_TEST_CASE(RequestThatLeavesLateIsStillCountedInItsSecond) {
  SendWindow window;
  window.SetBound(24);
  SentAtOnce(window, SendKnowledge::kLeader, kStart);
  const Instant next = window.NextRoom(SendKnowledge::kLeader, kStart);
  BOOST_TEST((next == kStart + 1s + SendWindow::kSendTime));
  BOOST_TEST(!window.HasRoom(SendKnowledge::kLeader, next - 1us));
  BOOST_TEST(SentAtOnce(window, SendKnowledge::kLeader, next) == 22);
}

BOOST_AUTO_TEST_CASE(InstanceThatIsCutOffUnawaresSendsFewByItself) {
  SendWindow window;
  window.SetBound(24);
  window.OnSent(kStart, true);
  BOOST_TEST(window.HasRoom(SendKnowledge::kNotices, kStart));
  window.OnSent(kStart, true);
  BOOST_TEST(!window.HasRoom(SendKnowledge::kNotices, kStart));
  BOOST_TEST(window.HasRoom(SendKnowledge::kLeader, kStart));
}

BOOST_AUTO_TEST_CASE(ServiceWithoutABoundIsNotLimited) {
  SendWindow window;
  BOOST_TEST(SentAtOnce(window, SendKnowledge::kUnsure, kStart) == 100);
  BOOST_TEST(window.Count(kStart) == 0);
}

BOOST_AUTO_TEST_CASE(SmallBoundIsLeftToTheLeader) {
  for (const int bound : {1, 2, 5, 13}) {
    SendWindow window;
    window.SetBound(bound);
    const int unsure = SentAtOnce(window, SendKnowledge::kUnsure, kStart);
    const int all = unsure + SentAtOnce(window, SendKnowledge::kLeader, kStart);
    BOOST_TEST(all >= 1);
    BOOST_TEST(all + SendWindow::Limit(bound, SendKnowledge::kUnsure) <= bound);
    BOOST_TEST((window.NextRoom(SendKnowledge::kUnsure, kStart) > kStart));
  }
}

}  // namespace
}  // namespace jackdaw::serving
