#include <boost/test/unit_test.hpp>
#include <sstream>

#include "logread/refusal_summary.h"
#include "logread/request_explanation.h"

namespace jackdaw::logread {
namespace {

constexpr const char* kLog =
    "  2.10 edge-b "
    "{\"time\":\"2026-08-14T07:07:22.500000Z\",\"level\":\"info\","
    "\"process\":\"edge-b\",\"message\":\"request\",\"id\":\"r1\",\"outcome\":"
    "\"refused\",\"status\":\"429\",\"reason\":\"over_quota\",\"workspace\":"
    "\"school\",\"took_ms\":\"20\",\"steps\":\"+0ms quota_short missing=48; "
    "+20ms refused over_quota\"}\n"
    "built in 2 s\n"
    "{\"time\":\"2026-08-14T07:07:21.000000Z\",\"level\":\"info\",\"process\":"
    "\"edge-a\",\"message\":\"target_gone\",\"id\":\"i-9\"}\r\n"
    "{\"time\":\"2026-08-14T07:07:20.900000Z\",\"level\":\"warning\","
    "\"process\":\"edge-a\",\"message\":\"store_lost\",\"table\":\"op\"}\n"
    "{\"time\":\"2026-08-14T07:07:23.000000Z\",\"level\":\"info\",\"process\":"
    "\"edge-a\",\"message\":\"request\",\"id\":\"r2\",\"outcome\":\"failed\","
    "\"status\":\"502\",\"reason\":\"target_broke_off\",\"workspace\":"
    "\"school\",\"took_ms\":\"2100\",\"steps\":\"+0ms chosen i-9 of 3; +1ms "
    "sent i-9 kept; +2100ms broken i-9 reset\"}\n"
    "{\"time\":\"2026-08-14T07:07:23.100000Z\",\"level\":\"info\",\"process\":"
    "\"edge-a\",\"message\":\"request\",\"id\":\"r3\",\"outcome\":\"refused\","
    "\"status\":\"429\",\"reason\":\"over_quota\",\"workspace\":\"school\"}\n"
    "{\"time\":broken\n";

std::vector<LogRecord> Records() {
  std::istringstream in(kLog);
  std::vector<LogRecord> records;
  BOOST_TEST(ReadRecords(in, records) == 2U);
  SortByTime(records);
  return records;
}

BOOST_AUTO_TEST_CASE(FailedRequestIsExplainedWithInstanceEvents) {
  const auto explanation = ExplainRequest(Records(), "r2");
  BOOST_REQUIRE(explanation);
  BOOST_TEST(explanation.value().ends.size() == 1U);
  BOOST_TEST(explanation.value().steps.size() == 3U);
  BOOST_REQUIRE(explanation.value().context.size() == 2U);
  BOOST_TEST(explanation.value().context[0].text == "store_lost table=op");
  BOOST_TEST(explanation.value().context[1].text == "target_gone id=i-9");
  BOOST_TEST(explanation.value().cause.find(
                 "ended before its answer was whole") != std::string::npos);
  const std::string text = ExplanationText(explanation.value());
  BOOST_TEST(text.find("+2100ms broken i-9 reset") != std::string::npos);
  BOOST_TEST(
      ExplanationJson(explanation.value()).at("steps").as_array().size() == 3U);
}

BOOST_AUTO_TEST_CASE(UnknownRequestIsNotFound) {
  const auto explanation = ExplainRequest(Records(), "r9");
  BOOST_REQUIRE(!explanation);
  BOOST_TEST((explanation.error().kind == ErrorKind::kNotFound));
}

BOOST_AUTO_TEST_CASE(RefusalsAreGroupedWithAnExample) {
  const auto groups = SummarizeRefusals(Records(), {});
  BOOST_REQUIRE(groups.size() == 3U);
  const auto later =
      SummarizeRefusals(Records(), {"2026-08-14T07:07:23.050000Z", ""});
  BOOST_REQUIRE(later.size() == 1U);
  BOOST_TEST(later[0].example == "r3");
  BOOST_TEST(later[0].reason == "over_quota");
  BOOST_TEST(RefusalText(groups).find("school") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(TimestampsAreParsed) {
  BOOST_TEST(TimeMillis("1970-01-02T00:00:01.250000Z") == 86'401'250);
  BOOST_TEST(TimeMillis("soon") == 0);
}

}  // namespace
}  // namespace jackdaw::logread
