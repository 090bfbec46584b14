#include "membership/view_freshness.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw {
namespace {

constexpr Instant kNow{Micros(1'700'000'000'000'000)};

ViewFreshness AtVersion(std::uint64_t version) {
  ViewFreshness freshness;
  freshness.OnVersion(version);
  freshness.OnMembers({"b", "c"});
  return freshness;
}

PeerEvidence Evidence(std::uint64_t version, bool confirmed, Micros age) {
  return {version, confirmed, age, true};
}

BOOST_AUTO_TEST_CASE(AReadCountsFromWhenItWasAsked) {
  ViewFreshness freshness = AtVersion(3);
  freshness.OnStoreRead(kNow, 3);
  BOOST_TEST((freshness.ValidUntil() == kNow + kFreshnessBound));
  // A newer version that is not in force confirms nothing.
  freshness.OnStoreRead(kNow + 1s, 4);
  BOOST_TEST((freshness.ConfirmedAt() == kNow));
}

BOOST_AUTO_TEST_CASE(APeerThatReadsTheStoreRelaysItsConfirmation) {
  ViewFreshness freshness = AtVersion(3);
  freshness.OnPeerAnswer("b", kNow, Evidence(3, true, 400ms));
  BOOST_TEST((freshness.ConfirmedAt() == kNow - 400ms));
  freshness.OnPeerAnswer("b", kNow + 1s, Evidence(4, true, 0ms));
  BOOST_TEST((freshness.ConfirmedAt() == kNow - 400ms));
}

BOOST_AUTO_TEST_CASE(InAnOutageForAllEveryWriterMustVouch) {
  ViewFreshness freshness = AtVersion(3);
  freshness.OnPeerAnswer("b", kNow + 9s, Evidence(3, false, 0ms));
  BOOST_TEST((freshness.ConfirmedAt() == Instant{}));
  freshness.OnPeerAnswer("c", kNow + 8s, Evidence(3, false, 0ms));
  BOOST_TEST((freshness.ConfirmedAt() == kNow + 8s));
  // A write of its own that may have taken effect takes the word away.
  freshness.OnOwnWrites(4);
  BOOST_TEST((freshness.ConfirmedAt() == Instant{}));
  BOOST_TEST(!freshness.Evidence(kNow + 9s).writes_settled);
  freshness.OnVersion(4);
  BOOST_TEST(freshness.Evidence(kNow + 9s).writes_settled);
}

BOOST_AUTO_TEST_CASE(AnUnsettledWriterOrAJoinerEndsTheVouching) {
  ViewFreshness freshness = AtVersion(3);
  PeerEvidence unsettled = Evidence(3, false, 0ms);
  unsettled.writes_settled = false;
  freshness.OnPeerAnswer("b", kNow, Evidence(3, false, 0ms));
  freshness.OnPeerAnswer("c", kNow, unsettled);
  BOOST_TEST((freshness.ConfirmedAt() == Instant{}));
  freshness.OnPeerAnswer("c", kNow, Evidence(3, false, 0ms));
  BOOST_TEST((freshness.ConfirmedAt() == kNow));
  freshness.OnMembers({"b", "c", "d"});
  BOOST_TEST((freshness.ConfirmedAt() == Instant{}));
}

BOOST_AUTO_TEST_CASE(NobodyIsAskedWhileTheStoreAnswers) {
  ViewFreshness freshness = AtVersion(3);
  freshness.OnStoreRead(kNow, 3);
  BOOST_TEST(freshness.PeersToAsk(kNow + 1s).empty());
  BOOST_TEST(freshness.PeersToAsk(kNow + 2s).size() == 2U);
}

}  // namespace
}  // namespace jackdaw
