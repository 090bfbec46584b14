#include <future>

#include "instance/tests/fleet_fixture.h"

namespace jackdaw {
namespace {

bool Has(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

std::int64_t ValidUntil(const FleetFixture& fleet, std::size_t i) {
  const auto status =
      OperatorClient(fleet.Operators(i)).Call("GET", "/v1/status");
  return status ? status.value().at("keys_valid_until_ms").to_number<int64_t>()
                : 0;
}

bool Refused(const FleetFixture& fleet,
             std::size_t i,
             std::string_view kind,
             bool stream = false) {
  const auto answer =
      fleet.Send(i, FleetFixture::Completion(FleetFixture::kKey, 2000, stream));
  return Has(answer.body, kind);
}

void Withdraw(const FleetFixture& fleet) {
  const OperatorClient client(fleet.Operators(0));
  ConfigDocument document = client.GetConfig().value();
  document.content["keys"].as_array()[0].as_object()["withdrawn"] = true;
  BOOST_TEST_REQUIRE(client.PutConfig(document).has_value());
}

// Waits for a poll of the configuration that begins after the call. The first
// poll that ends may have begun earlier, so waits for the second.
void WaitForConfigRead(const FleetFixture& fleet, std::size_t i) {
  for (int look = 0; look < 2; ++look) {
    const std::int64_t before = ValidUntil(fleet, i);
    BOOST_TEST_REQUIRE(WaitFor([&] { return ValidUntil(fleet, i) > before; }));
  }
}

BOOST_AUTO_TEST_CASE(WithdrawnKeyEndsOpenStream) {
  const FleetFixture fleet(2);
  fleet.WaitServing(1);
  auto stream = std::async(std::launch::async, [&] {
    return fleet.Send(
        1, FleetFixture::Completion(FleetFixture::kKey, 15'000, true));
  });
  BOOST_TEST_REQUIRE(WaitFor([&] {
    const auto status =
        OperatorClient(fleet.Operators(1)).Call("GET", "/v1/status");
    return status.value().at("requests_in_flight").to_number<int>() > 0;
  }));
  Withdraw(fleet);
  BOOST_TEST(Has(stream.get().body, R"("kind":"withdrawn-key")"));
  BOOST_TEST_REQUIRE(
      WaitFor([&] { return Refused(fleet, 1, "withdrawn-key"); }));
}

BOOST_AUTO_TEST_CASE(InstanceWithoutStoreGetsConfigFromPeers) {
  const FleetFixture fleet(3);
  fleet.WaitServing(2);
  fleet.SetPlatformFaults(R"({"cut":true})");
  WaitForConfigRead(fleet, 2);
  BOOST_TEST(!Refused(fleet, 2, "stale-view"));
  Withdraw(fleet);
  BOOST_TEST_REQUIRE(
      WaitFor([&] { return Refused(fleet, 2, "withdrawn-key"); }));
}

BOOST_AUTO_TEST_CASE(StoreOutageDoesNotStopInstances) {
  const FleetFixture fleet(3);
  fleet.WaitServing(0);
  fleet.SetPlatformFaults(R"({"outage":true})");
  WaitForConfigRead(fleet, 0);
  WaitForConfigRead(fleet, 2);
  BOOST_TEST(!Refused(fleet, 0, "stale-view"));
  fleet.SetPlatformFaults("{}");
}

BOOST_AUTO_TEST_CASE(IsolatedInstanceKeepsServing) {
  FleetFixture fleet(2);
  fleet.WaitServing(1);
  fleet.SetPlatformFaults(R"({"cut":true})");
  fleet.Kill(0);
  WaitForConfigRead(fleet, 1);
  BOOST_TEST(
      fleet.Send(1, FleetFixture::Completion(FleetFixture::kKey, 1, false))
          .status == 200);
  fleet.SetPlatformFaults("{}");
}

}  // namespace
}  // namespace jackdaw
