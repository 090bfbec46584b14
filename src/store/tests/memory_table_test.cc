#include "store/memory_table.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw {
namespace {

BOOST_AUTO_TEST_CASE(ATransactionTakesEffectWholeOrNotAtAll) {
  MemoryTable table;
  BOOST_TEST(table.Apply({{{"a", 0}}, {{"a", "1"}}}).committed);
  const Commit refused =
      table.Apply({{{"b", 0}, {"a", 0}}, {{"b", "2"}, {"a", "2"}}});
  BOOST_TEST(!refused.committed);
  BOOST_TEST(refused.conflict == "a");
  const auto rows = table.Read({{"a", "b"}, {}, 0});
  BOOST_TEST_REQUIRE(rows.size() == 1);
  BOOST_TEST(rows[0].value == "1");
}

BOOST_AUTO_TEST_CASE(ReadsOnlyWhatIsNewer) {
  MemoryTable table;
  const auto version = table.Apply({{}, {{"p/1", "x"}}}).version;
  table.Apply({{}, {{"p/2", "y"}}});
  BOOST_TEST(table.Read({{}, {"p/"}, 0}).size() == 2);
  BOOST_TEST(table.Read({{}, {"p/"}, version}).size() == 1);
}

}  // namespace
}  // namespace jackdaw
