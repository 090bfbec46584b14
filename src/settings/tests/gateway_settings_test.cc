#include "settings/gateway_settings.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <regex>
#include <sstream>

namespace jackdaw::serving {
namespace {

std::string Settings(std::string_view members) {
  return R"({"name":"i","failure_domain":"a","entry":"10.0.0.1:1",
      "ready":"10.0.0.1:2","directory":"10.0.0.1:3","peer":"10.0.0.1:4",
      "store":"10.0.0.1:5","metrics":"10.0.0.1:6","stop_ms":8000,
      "lease_ms":3000,"directory_ms":5000,"retry_ratio":0.2,"retry_extra":52,
      "retry_window_ms":10000,"quota_overshoot":0.1,"quota_slack":11000)" +
         std::string(members) + "}";
}

// Settings without the link must start the instance as before.
BOOST_AUTO_TEST_CASE(TheLinkIsOptional) {
  for (const char* absent : {"", R"(,"link_mbps":null)", R"(,"link_mbps":0)"}) {
    const auto settings = ParseGatewaySettings(Settings(absent));
    BOOST_TEST_REQUIRE(settings.has_value());
    BOOST_TEST(!settings.value().link_mbps.has_value());
  }
  const auto settings = ParseGatewaySettings(Settings(R"(,"link_mbps":12.5)"));
  BOOST_TEST_REQUIRE(settings.has_value());
  BOOST_TEST(settings.value().link_mbps.value() == 12.5);
}

BOOST_AUTO_TEST_CASE(ALinkThatIsNoValidNumberIsRefused) {
  for (const char* wrong : {"-1", R"("10")", "1e9"}) {
    const auto settings =
        ParseGatewaySettings(Settings(R"(,"link_mbps":)" + std::string(wrong)));
    BOOST_TEST_REQUIRE(!settings.has_value());
    BOOST_TEST(settings.error().message.find("/link_mbps") !=
               std::string::npos);
  }
}

constexpr std::string_view kGood =
    R"({"name":"i","failure_domain":"n-1","entry":"127.0.0.1:1",
        "ready":"127.0.0.1:2","directory":"127.0.0.1:3","peer":"127.0.0.1:4",
        "store":"127.0.0.1:5","metrics":"127.0.0.1:6","stop_ms":1000,
        "lease_ms":3000,"directory_ms":2000,"retry_ratio":0.1,"retry_extra":10,
        "retry_window_ms":10000,"quota_overshoot":0.1,"quota_slack":1})";

std::string With(std::string_view member) {
  std::string text(kGood);
  text.insert(1, std::string(member) + ",");
  return text;
}

BOOST_AUTO_TEST_CASE(RegionsMayBeAbsent) {
  const auto settings = ParseGatewaySettings(kGood);
  BOOST_TEST_REQUIRE(settings.has_value());
  BOOST_TEST(settings.value().region.empty());
  BOOST_TEST(settings.value().regions.empty());
}

BOOST_AUTO_TEST_CASE(RegionOfEachFailureDomainIsRead) {
  const auto settings = ParseGatewaySettings(
      With(R"("region":"north","regions":{"n-2":"north","s-1":"south"})"));
  BOOST_TEST_REQUIRE(settings.has_value());
  BOOST_TEST((settings.value().regions ==
              RegionMap{{"n-1", "north"}, {"n-2", "north"}, {"s-1", "south"}}));
}

BOOST_AUTO_TEST_CASE(UnusableTableOfRegionsIsAnError) {
  for (const char* regions : {"[]", "7", R"({"n-1":1})", R"("north")"}) {
    const auto settings =
        ParseGatewaySettings(With("\"regions\":" + std::string(regions)));
    BOOST_TEST_REQUIRE(!settings.has_value(), regions);
    BOOST_TEST(settings.error().Line().find("regions") != std::string::npos);
  }
}

// Fills in the template as a deployment does.
BOOST_AUTO_TEST_CASE(TemplateGivesSettingsThatAreAccepted) {
  std::ifstream file(std::string(JACKDAW_SOURCE_DIR) +
                     "/deploy/settings.template");
  std::stringstream text;
  text << file.rdbuf();
  std::string document = text.str();
  // A deployment without cold targets: sections of absent values stay out.
  document = std::regex_replace(
      document, std::regex(R"(\{\{#([^}]+)\}\}.*?\{\{/\1\}\})"), "");
  document =
      std::regex_replace(document, std::regex(R"(\{\{[/^][^}]+\}\})"), "");
  const std::pair<const char*, const char*> values[] = {
      {"contracts\\|json", R"(["base"])"},
      {"limits\\.[a-z-]+(\\|json)?", "200"},
      {"zones\\|json", R"({"n-1":"north","s-1":"south"})"},
      {"region", "north"},
      {"zone", "n-1"},
      {"(listen\\.[a-z]+|platform\\.address)", "127.0.0.1:9"},
      {"ip", "127.0.0.1"},
      {"internal-port-range\\.0", "7000"},
      {"node-name", "i"},
      {"[a-z._-]+(\\|json)?", "3"}};
  for (const auto& [name, value] : values) {
    document = std::regex_replace(
        document, std::regex("\\{\\{" + std::string(name) + "\\}\\}"), value);
  }
  const auto settings = ParseGatewaySettings(document);
  BOOST_TEST_REQUIRE(settings.has_value(), document);
  BOOST_TEST(settings.value().region == "north");
  BOOST_TEST(settings.value().regions.at("s-1") == "south");
}

}  // namespace
}  // namespace jackdaw::serving
