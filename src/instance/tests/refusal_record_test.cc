#include "ctl/commands.h"
#include "instance/tests/fleet_fixture.h"

namespace jackdaw {
namespace {

std::string RefusalsJson(const FleetFixture& fleet,
                         std::size_t i,
                         CommandLine line) {
  line.words = {"refusals"};
  line.json = true;
  const auto text = RunCommand(OperatorClient(fleet.Operators(i)), line);
  return text ? text.value() : std::string();
}

bool Has(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

BOOST_AUTO_TEST_CASE(RecordsLostWithAnInstanceAreReportedAsAGap) {
  FleetFixture fleet(2);
  fleet.WaitServing(0);
  // The first record is stored. The second is lost with its instance, which
  // is destroyed during an outage of the store.
  const auto refuse = [&] {
    const auto refused =
        fleet.Send(0, FleetFixture::Completion("jdk-other", 1, false));
    BOOST_TEST(refused.status == 401);
  };
  refuse();
  CommandLine line;
  line.instance = "entry-0";
  BOOST_TEST_REQUIRE(WaitFor(
      [&] { return Has(RefusalsJson(fleet, 1, line), R"("ran":"no")"); }));
  BOOST_TEST(!Has(RefusalsJson(fleet, 1, line), "ended without notice"));
  fleet.SetPlatformFaults(R"({"outage":true})");
  refuse();
  fleet.Kill(0);
  fleet.SetPlatformFaults("{}");
  BOOST_TEST_REQUIRE(WaitFor([&] {
    return Has(RefusalsJson(fleet, 1, line), "ended without notice");
  }));
  line.from = "1000";
  line.to = "2000";
  BOOST_TEST(!Has(RefusalsJson(fleet, 1, line), "unknown-key"));
}

BOOST_AUTO_TEST_CASE(RecordsMadeDuringOutageAreStoredAfterwards) {
  FleetFixture fleet(2);
  fleet.WaitServing(0);
  fleet.SetPlatformFaults(R"({"outage":true})");
  const auto refused =
      fleet.Send(0, FleetFixture::Completion("jdk-other", 1, false));
  BOOST_TEST(refused.status == 401);
  fleet.SetPlatformFaults("{}");
  const OperatorClient owner(fleet.Operators(0));
  BOOST_TEST_REQUIRE(WaitFor([&] {
    const auto status = owner.Call("GET", "/v1/status");
    const auto number = [&](std::string_view member) {
      return status.value().at(member).to_number<std::uint64_t>();
    };
    return status && number("records_made") > number("refused_total") &&
           number("records_stored") >= number("records_made");
  }));
  CommandLine line;
  line.kind = "unknown-key";
  BOOST_TEST(Has(RefusalsJson(fleet, 1, line), R"("ran":"no")"));
}

BOOST_AUTO_TEST_CASE(LostStoreAnswersDoNotDuplicateRecords) {
  FleetFixture fleet;
  fleet.WaitServing();
  fleet.SetPlatformFaults(R"({"lose_answers":50})");
  for (int i = 0; i < 3; ++i) {
    fleet.Send(0, FleetFixture::Completion("jdk-other", 1, false));
  }
  CommandLine line;
  line.kind = "unknown-key";
  const auto count = [&] {
    const std::string shown = RefusalsJson(fleet, 0, line);
    std::size_t found = 0;
    for (std::size_t at = 0;
         (at = shown.find("unknown-key", at)) != std::string::npos; ++at) {
      ++found;
    }
    return found;
  };
  BOOST_TEST_REQUIRE(WaitFor([&] { return count() >= 3; }));
  fleet.SetPlatformFaults("{}");
  BOOST_TEST(count() == 3U);
}

}  // namespace
}  // namespace jackdaw
