#include "budget/share_row.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw {
namespace {

BOOST_AUTO_TEST_CASE(ShareOfMoreThanTheBudgetIsMalformed) {
  const auto decode = [](const std::string& units) {
    return DecodeShareRow(R"({"incarnation":1,"sequence":2,"shares":{"w":[)" +
                          units + "]}}");
  };
  BOOST_TEST(decode("0,65536").has_value());
  for (const char* units : {"65537,0", "0,65537", "9223372036854775807,4",
                            "-1,1", "1e300,0", "0.5,0"}) {
    BOOST_TEST(!decode(units).has_value(), units);
  }
}

}  // namespace
}  // namespace jackdaw
