#include "load/histogram.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw {
namespace {

BOOST_AUTO_TEST_CASE(PercentilesAreOffByAtMostThreePercent) {
  Histogram histogram;
  for (int i = 1; i <= 100'000; ++i) {
    histogram.Add(i);
  }
  for (const double part : {0.5, 0.9, 0.99}) {
    const double exact = part * 100'000;
    BOOST_TEST(static_cast<double>(histogram.Percentile(part)) >= exact * 0.97);
    BOOST_TEST(static_cast<double>(histogram.Percentile(part)) <= exact * 1.04);
  }
  BOOST_TEST(histogram.max() == 100'000);
}

BOOST_AUTO_TEST_CASE(MergeAddsUp) {
  Histogram a;
  Histogram b;
  a.Add(10);
  b.Add(1'000'000);
  a.Merge(b);
  BOOST_TEST(a.total() == 2);
  BOOST_TEST(a.PartWithin(10) == 0.5);
  BOOST_TEST(a.PartWithin(1'000'000) == 1.0);
}

}  // namespace
}  // namespace jackdaw
