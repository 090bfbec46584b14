#include "gateway/wait_memory.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

BOOST_AUTO_TEST_CASE(ACallerThatComesBackHasLessTime) {
  WaitMemory memory;
  BOOST_TEST((memory.OnRequest("r", 15s) == 0us));
  BOOST_TEST((memory.OnRequest("r", 14'990ms) == 0us));
  BOOST_TEST((memory.OnRequest("r", 13s) == 2s));
  BOOST_TEST((memory.OnRequest("other", 13s) == 0us));
}

}  // namespace
}  // namespace jackdaw::serving
