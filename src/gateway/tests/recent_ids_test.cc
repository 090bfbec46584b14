#include "gateway/recent_ids.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace jackdaw::serving {
namespace {

BOOST_AUTO_TEST_CASE(ForgetsTheOldestIdsOnly) {
  RecentIds ids;
  BOOST_TEST(!ids.Contains("0"));
  for (int id = 0; id < 40; ++id) {
    ids.Add(std::to_string(id));
  }
  BOOST_TEST(!ids.Contains("0"));
  BOOST_TEST(!ids.Contains("7"));
  BOOST_TEST(ids.Contains("8"));
  BOOST_TEST(ids.Contains("39"));
}

}  // namespace
}  // namespace jackdaw::serving
