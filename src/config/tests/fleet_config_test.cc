#include "config/fleet_config.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw {
namespace {

void ExpectError(std::string_view document, std::string_view part) {
  const auto config = ParseFleetConfig(document, 1);
  BOOST_TEST_REQUIRE(!config.has_value());
  BOOST_TEST_CONTEXT(config.error().Line()) {
    BOOST_TEST(config.error().message.find(part) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(ExceptionStandsBeforeDefaultUntilItExpires) {
  const auto config = ParseFleetConfig(
      R"({"defaults":{"rate_tokens_per_s":10},
          "workspaces":[{"name":"a"}],
          "exceptions":[{"scope":"workspace/a","setting":"rate_tokens_per_s",
                         "value":20,"reason":"term","expires_ms":5000}]})",
      1);
  BOOST_TEST_REQUIRE(config.has_value());
  const auto rate = [&](std::string_view scope, std::int64_t now_ms) {
    return SettingFor(config.value(), "rate_tokens_per_s", scope, now_ms);
  };
  BOOST_TEST(rate("workspace/a", 4999) == 20);
  BOOST_TEST(rate("workspace/a", 5000) == 10);
  BOOST_TEST(rate("workspace/b", 0) == 10);
}

BOOST_AUTO_TEST_CASE(EvacuatedDomainsAreRead) {
  const auto config =
      ParseFleetConfig(R"({"evacuations":[{"failure_domain":"a"}]})", 1);
  BOOST_TEST_REQUIRE(config.has_value());
  BOOST_TEST(config.value().IsEvacuated("a"));
  BOOST_TEST(!config.value().IsEvacuated("b"));
  ExpectError(R"({"evacuations":[{"failure_domain":""}]})",
              "/evacuations/0/failure_domain");
  ExpectError(R"({"evacuations":[{"failure_domain":")" + std::string(300, 'a') +
                  "\"}]}",
              "/evacuations/0/failure_domain");
  ExpectError(R"({"evacuations":[{"failure_domain":"a"},
                                 {"failure_domain":"a"}]})",
              "/evacuations/1: 'a' stands twice");
}

BOOST_AUTO_TEST_CASE(RefusesWhatWouldBreakAPromise) {
  ExpectError(R"({"exceptions":[{"scope":"workspace/a",
                   "setting":"rate_tokens_per_s","value":20}]})",
              "/exceptions/0/reason: is missing");
  ExpectError(R"({"keys":[{"id":"k","workspace":"a","digest":"00"}]})",
              "/keys/0/digest");
  ExpectError(
      R"({"targets":[{"name":"t","address":"127.0.0.1:1","memory_mb":10}],
          "models":[{"name":"m","memory_mb":20}],
          "deployments":[{"name":"d","models":["m"],"targets":["t"]}]})",
      "fits no target");
  ExpectError(R"({"services":[{"name":"s","targets":["x"]}]})",
              "'x' is not defined");
  ExpectError(R"({"workspaces":[{"name":"a"},{"name":"a"}]})", "stands twice");
}

}  // namespace
}  // namespace jackdaw
