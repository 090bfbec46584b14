#include "ctl/commands.h"
#include "instance/tests/fleet_fixture.h"

namespace jackdaw {
namespace {

std::string Run(const FleetFixture& fleet, const CommandLine& line) {
  const auto text = RunCommand(OperatorClient(fleet.Operators(0)), line);
  return text ? text.value() : text.error().Line();
}

CommandLine EvacuateLine(bool undo) {
  CommandLine line;
  line.words = {"evacuate", "default"};
  line.undo = undo;
  return line;
}

std::string Evacuations(const FleetFixture& fleet) {
  CommandLine line;
  line.words = {"evacuations"};
  line.json = true;
  return Run(fleet, line);
}

// The targets of the fixture are in the failure domain `default`.
BOOST_AUTO_TEST_CASE(EvacuatedDomainGetsNoRequestUntilItIsUndone) {
  FleetFixture fleet;
  fleet.WaitServing(0);
  const auto serves = [&] {
    return fleet.Send(0, {"GET", "/call/desk/open", {}, ""}).status == 200;
  };
  BOOST_TEST_REQUIRE(WaitFor(serves));
  Run(fleet, EvacuateLine(false));
  BOOST_TEST(Evacuations(fleet).find("default") != std::string::npos);
  BOOST_TEST(WaitFor([&] { return !serves(); }));
  BOOST_TEST(!serves());
  Run(fleet, EvacuateLine(true));
  BOOST_TEST(Evacuations(fleet).find("default") == std::string::npos);
  BOOST_TEST(WaitFor(serves));
  BOOST_TEST(Run(fleet, EvacuateLine(true)).find("no evacuation 'default'") !=
             std::string::npos);
}

}  // namespace
}  // namespace jackdaw
