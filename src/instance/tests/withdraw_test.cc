#include "ctl/commands.h"
#include "instance/tests/fleet_fixture.h"

namespace jackdaw {
namespace {

BOOST_AUTO_TEST_CASE(KeyWithdrawalReportsEachInstance) {
  FleetFixture fleet(2);
  const OperatorClient client(fleet.Operators(0));
  CommandLine line;
  line.words = {"key", "withdraw", "k1"};
  line.json = true;
  fleet.SetPlatformFaults(R"({"lose_answers":1})");
  const auto first = RunCommand(client, line);
  BOOST_TEST_REQUIRE(first.has_value());
  BOOST_TEST(first.value().find("not yet") == std::string::npos);
  // Repeating the withdrawal writes no new version and reports again.
  const std::uint64_t version = client.GetConfig().value().version;
  BOOST_TEST(RunCommand(client, line).has_value());
  BOOST_TEST(client.GetConfig().value().version == version);
  fleet.Kill(1);
  const auto unreachable = RunCommand(client, line);
  BOOST_TEST_REQUIRE(!unreachable.has_value());
  BOOST_TEST((unreachable.error().kind == ErrorKind::kUnavailable));
  BOOST_TEST(unreachable.error().message.find("unreachable") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(ConflictingAndInvalidConfigWritesAreRefused) {
  const FleetFixture fleet;
  const OperatorClient client(fleet.Operators(0));
  const ConfigDocument mine = client.GetConfig().value();
  BOOST_TEST(client.PutConfig(mine).has_value());
  const auto late = client.PutConfig(mine);
  BOOST_TEST_REQUIRE(!late.has_value());
  BOOST_TEST((late.error().kind == ErrorKind::kConflict));
  const auto put = [&](const std::string& query, const std::string& body) {
    return client.Call("PUT", "/v1/config?" + query, body);
  };
  const std::string version = std::to_string(mine.version + 1);
  BOOST_TEST(!put("expect=" + version + "&operation=x", "{}").has_value());
  BOOST_TEST(!put("expect=new&operation=operation-1", "{}").has_value());
  const std::string document = boost::json::serialize(mine.content);
  const std::string query = "expect=" + version + "&operation=operation-1";
  BOOST_TEST(put(query, document).has_value());
  // Repeating an operation returns the same version. The same operation id with
  // another document is a conflict.
  BOOST_TEST(put(query, document).value() == put(query, document).value());
  BOOST_TEST(!put(query, document + " ").has_value());
}

}  // namespace
}  // namespace jackdaw
