#include <boost/test/unit_test.hpp>

#include "core/object_reader.h"
#include "replay/trace_run.h"

namespace jackdaw {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr std::int64_t kSeconds = 60;

BOOST_AUTO_TEST_CASE(ATraceSurvivesItsTextForm) {
  const Trace trace =
      GenerateTrace(*FindTraceShape("ponte-nordeste"), "target-down", 2, kSeed);
  const auto read = DecodeTrace(EncodeTrace(trace));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(EncodeTrace(read.value()) == EncodeTrace(trace));
}

BOOST_AUTO_TEST_CASE(OutcomesCanFail) {
  Figures figures;
  figures.refused_total = 3;
  BOOST_TEST(
      CheckOutcomes(figures, R"({"refused_total":{"max":3}})").has_value());
  BOOST_TEST(
      !CheckOutcomes(figures, R"({"refused_total":{"max":2}})").has_value());
  BOOST_TEST(!CheckOutcomes(figures, R"({"no_such":{"max":2}})").has_value());
  BOOST_TEST(!CheckOutcomes(figures, "{}").has_value());
}

// Replays a fault at both deployments against its stated outcomes.
void ExpectOutcomes(const std::string& fault) {
  for (const std::string deployment : {"ponte-nordeste", "lantern-permits"}) {
    const Trace trace =
        GenerateTrace(*FindTraceShape(deployment), fault, kSeconds, kSeed);
    const auto figures = RunTrace(trace, TracePolicy::kDaemon);
    BOOST_TEST_REQUIRE(figures.has_value());
    const auto outcomes =
        ReadFile(JACKDAW_SOURCE_DIR "/traces/" + fault + ".json");
    BOOST_TEST_REQUIRE(outcomes.has_value());
    const auto checked = CheckOutcomes(figures.value(), outcomes.value());
    BOOST_TEST(checked.has_value(),
               deployment << " " << fault << ": "
                          << (checked ? "" : checked.error().message));
  }
}

BOOST_AUTO_TEST_CASE(FaultsKeepTheStatedOutcomes) {
  for (const std::string fault :
       {"none", "target-down", "domain-down", "target-leaving", "key-withdrawn",
        "instance-down"}) {
    ExpectOutcomes(fault);
  }
}

BOOST_AUTO_TEST_CASE(ASurgeKeepsTheStatedOutcomes) {
  ExpectOutcomes("burst");
}

}  // namespace
}  // namespace jackdaw
