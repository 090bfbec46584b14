#include <boost/test/unit_test.hpp>

#include "config/fleet_config.h"
#include "core/object_reader.h"

namespace jackdaw {
namespace {

void ExpectSizes(const std::string& name,
                 std::size_t targets,
                 std::size_t models,
                 std::size_t adapters) {
  const auto text = ReadFile(JACKDAW_SOURCE_DIR "/deploy/" + name + ".json");
  BOOST_TEST_REQUIRE(text.has_value());
  const auto config = ParseFleetConfig(text.value(), 1);
  BOOST_TEST_REQUIRE(config.has_value());
  BOOST_TEST(config.value().targets.size() == targets);
  BOOST_TEST(config.value().models.size() == models);
  BOOST_TEST(config.value().adapters.size() == adapters);
  BOOST_TEST(config.value().workspaces.size() == 5);
}

BOOST_AUTO_TEST_CASE(BothDeploymentsAreValid) {
  ExpectSizes("ponte-nordeste", 15, 20, 60);
  ExpectSizes("lantern-permits", 22, 25, 95);
}

}  // namespace
}  // namespace jackdaw
