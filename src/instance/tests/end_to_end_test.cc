#include <future>

#include "instance/tests/fleet_fixture.h"

namespace jackdaw {
namespace {

bool Has(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

BOOST_AUTO_TEST_CASE(ServesWholeAndStreamedAnswers) {
  const FleetFixture fleet;
  fleet.WaitServing();
  const auto whole =
      fleet.Send(0, FleetFixture::Completion(FleetFixture::kKey, 3, false));
  BOOST_TEST(whole.status == 200);
  BOOST_TEST(Has(whole.body, R"("completion_tokens":3)"));
  const auto stream =
      fleet.Send(0, FleetFixture::Completion(FleetFixture::kKey, 5, true));
  for (int i = 0; i < 5; ++i) {
    const auto stem = Sha256Hex("hello").substr(0, 8);
    BOOST_TEST(Has(stream.body, StandinToken(stem, i)));
  }
  BOOST_TEST(stream.body.ends_with("data: [DONE]\n\n"));
}

BOOST_AUTO_TEST_CASE(RefusesWithATypedProblem) {
  const FleetFixture fleet;
  const auto expect = [&](HttpRequest request, int status,
                          std::string_view kind) {
    const auto answer = fleet.Send(0, std::move(request));
    BOOST_TEST_CONTEXT(answer.body) {
      BOOST_TEST(answer.status == status);
      BOOST_TEST(Has(answer.body, R"("kind":")" + std::string(kind) + "\""));
      BOOST_TEST(Has(answer.body, R"("ran":"no")"));
      BOOST_TEST(Has(answer.body, R"("remedy":)"));
    }
  };
  expect(FleetFixture::Completion("", 1, false), 401, "missing-key");
  expect(FleetFixture::Completion("jdk-other", 1, false), 401, "unknown-key");
  auto bad = FleetFixture::Completion(FleetFixture::kKey, 1, false);
  bad.body = "{";
  expect(bad, 400, "malformed-request");
  bad.body = R"({"model":"none","prompt":"x"})";
  expect(bad, 404, "unknown-model");
  bad.body = std::string(100'000, 'x');
  expect(bad, 413, "body-too-large");
  auto leaking = FleetFixture::Booking("");
  leaking.target += "?key=" + std::string(FleetFixture::kKey);
  expect(leaking, 400, "malformed-request");
  expect(FleetFixture::Completion(FleetFixture::kKey, 900'000, false), 429,
         "over-burst");
}

BOOST_AUTO_TEST_CASE(KeysAreNotForwardedToTargets) {
  // The stand-in aborts the process if it receives a key.
  const FleetFixture fleet;
  fleet.WaitServing();
  auto request = FleetFixture::Completion(FleetFixture::kKey, 1, false);
  request.headers.push_back({"X-Api-Key", std::string(FleetFixture::kKey)});
  request.headers.push_back({"Cookie", std::string(FleetFixture::kKey)});
  const auto answer = fleet.Send(0, request);
  BOOST_TEST(answer.status == 200);
}

BOOST_AUTO_TEST_CASE(KeyedCallRunsOnceAcrossInstances) {
  const FleetFixture fleet(2);
  const auto first = fleet.Send(0, FleetFixture::Booking("seat-1"));
  const auto second = fleet.Send(1, FleetFixture::Booking("seat-1"));
  BOOST_TEST(first.status == 200);
  BOOST_TEST(first.body == second.body);
  BOOST_TEST(Has(second.body, R"("total":1)"));
  auto other = FleetFixture::Booking("seat-1");
  other.body = R"({"seat":2})";
  BOOST_TEST(Has(fleet.Send(0, other).body, "idempotency-conflict"));
}

BOOST_AUTO_TEST_CASE(DrainCompletesOpenStream) {
  FleetFixture fleet(2);
  fleet.WaitServing(1);
  auto stream = std::async(std::launch::async, [&] {
    return fleet.Send(1,
                      FleetFixture::Completion(FleetFixture::kKey, 300, true));
  });
  BOOST_TEST_REQUIRE(WaitFor([&] {
    const auto status =
        OperatorClient(fleet.Operators(1)).Call("GET", "/v1/status");
    return status.value().at("requests_in_flight").to_number<int>() > 0;
  }));
  fleet.instance(1).BeginDrain();
  const auto answer = stream.get();
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body.ends_with("data: [DONE]\n\n"));
}

}  // namespace
}  // namespace jackdaw
