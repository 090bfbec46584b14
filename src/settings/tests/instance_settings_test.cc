#include "settings/instance_settings.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw {
namespace {

constexpr std::string_view kGood =
    R"({"name":"a","failure_domain":"z","entry":"127.0.0.1:0",
        "operators":"127.0.0.1:0","peer":"127.0.0.1:0",
        "platform":"127.0.0.1:9"})";

std::string With(std::string_view member) {
  std::string text(kGood);
  text.insert(1, std::string(member) + ",");
  return text;
}

void ExpectError(std::string_view document, std::string_view part) {
  const auto settings = ParseInstanceSettings(document);
  BOOST_TEST_REQUIRE(!settings.has_value());
  BOOST_TEST_CONTEXT(settings.error().Line()) {
    BOOST_TEST(settings.error().message.find(part) != std::string::npos);
    BOOST_TEST(!settings.error().remedy.empty());
    BOOST_TEST(ExitCode(settings.error().kind) != 0);
  }
}

BOOST_AUTO_TEST_CASE(ReadsAGoodDocument) {
  const auto settings = ParseInstanceSettings(kGood);
  BOOST_TEST_REQUIRE(settings.has_value());
  BOOST_TEST(settings.value().name == "a");
  BOOST_TEST(settings.value().log_format == "text");
  BOOST_TEST(settings.value().memory_mb == 120);
}

BOOST_AUTO_TEST_CASE(NamesThePathOfEachError) {
  ExpectError(With(R"("extra":1)"), "/extra: is not a known member");
  ExpectError(With(R"("body_bytes":"x")"), "/body_bytes: must be a whole");
  ExpectError(With(R"("memory_mb":1)"), "/memory_mb: 1 is outside 48 to");
  ExpectError(With(R"("body_bytes":1)"), "/body_bytes: 1 is outside 1024 to");
  ExpectError(With(R"("log_format":"xml")"), "/log_format: must be one of");
  ExpectError(R"({"name":"a"})", "/failure_domain: is missing");
  ExpectError(R"({"name":"a","failure_domain":"z","entry":"host:1"})",
              "/entry: 'host:1' is not an address");
  ExpectError("{", "not JSON");
  ExpectError("[]", "must be an object");
}

}  // namespace
}  // namespace jackdaw
