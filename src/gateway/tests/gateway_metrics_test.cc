#include "gateway/gateway_metrics.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace jackdaw::serving {
namespace {

// Returns the metric names listed in docs/METRICS.md, where each table row
// starts with a name in backquotes.
std::set<std::string> DocumentedNames() {
  std::ifstream page(std::string(JACKDAW_SOURCE_DIR) + "/docs/METRICS.md");
  BOOST_REQUIRE(page);
  std::set<std::string> names;
  std::string line;
  const std::regex row("^\\| `([a-z_]+)`.*");
  std::smatch match;
  while (std::getline(page, line)) {
    if (std::regex_match(line, match, row)) {
      names.insert(match[1]);
    }
  }
  return names;
}

BOOST_AUTO_TEST_CASE(DocumentationListsServedMetrics) {
  GatewayMetrics metrics;
  RequestEnd end;
  end.outcome = "answered";
  end.time_to_first_byte = 20ms;
  end.total_time = 30ms;
  end.late = true;
  metrics.OnRequestEnd(end);
  const std::string text = metrics.Text({});
  std::set<std::string> served;
  const std::regex type("# TYPE ([a-z_]+) .*");
  const std::regex state("jackdaw_state\\{name=\"([a-z_]+)\"\\}.*");
  std::istringstream lines(text);
  std::string line;
  std::smatch match;
  while (std::getline(lines, line)) {
    if (std::regex_match(line, match, type) ||
        std::regex_match(line, match, state)) {
      served.insert(match[1]);
    }
  }
  const std::set<std::string> listed = DocumentedNames();
  BOOST_TEST(served == listed, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(CountsRequestsByOutcomeAndReason) {
  GatewayMetrics metrics;
  RequestEnd end;
  end.kind = RouteKind::kStream;
  end.outcome = "refused";
  end.reason = "over_quota";
  metrics.OnRequestEnd(end);
  metrics.OnRequestEnd(end);
  const std::string text = metrics.Text({});
  BOOST_TEST(text.find("reason=\"over_quota\"} 2") != std::string::npos);
}

}  // namespace
}  // namespace jackdaw::serving
