#include "fleet/watch_delay.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr double kLargest = 0.999;

// Many instances that watch without leading must not each make a call for each
// change, and the changes must still be read within a second.
BOOST_AUTO_TEST_CASE(InstancesThatDoNotLeadWaitLongerAfterChanges) {
  BOOST_TEST((DelayAfterChanges(true, kLargest) <= 100ms));
  BOOST_TEST((DelayAfterChanges(false, 0) >= 400ms));
  BOOST_TEST((DelayAfterChanges(false, kLargest) <= 600ms));
  BOOST_TEST((DelayAfterChanges(false, 0) != DelayAfterChanges(false, 0.5)));
}

BOOST_AUTO_TEST_CASE(FirstCallsAreSpreadButThoseOfALeader) {
  BOOST_TEST((DelayOfFirstCall(true, 600ms, kLargest) == 0ms));
  BOOST_TEST((DelayOfFirstCall(false, 600ms, 0) == 0ms));
  BOOST_TEST((DelayOfFirstCall(false, 600ms, 0.5) == 300ms));
}

BOOST_AUTO_TEST_CASE(TheDelayAfterFailuresGrowsToItsMaximum) {
  BOOST_TEST((DelayAfterFailure(1, 0) == 120ms));
  BOOST_TEST((DelayAfterFailure(2, 0) > DelayAfterFailure(1, 0)));
  BOOST_TEST((DelayAfterFailure(1000, kLargest) <= 500ms));
  BOOST_TEST((DelayAfterFailure(1000, 0.5) > DelayAfterFailure(1000, 0)));
  // A call that took long to fail is followed soon, but not at once.
  BOOST_TEST((DelayAfterFailure(1000, 0, 300ms) == 100ms));
  BOOST_TEST((DelayAfterFailure(1000, 0, 5s) > 0ms));
}

}  // namespace
}  // namespace jackdaw::serving
