#include "instance/tests/fleet_fixture.h"

namespace jackdaw {
namespace {

// Returns the configuration with a second model, which no engine has loaded.
std::string WithModel(std::string document, std::int64_t memory_mb) {
  const auto replace = [&](std::string_view from, const std::string& to) {
    document.replace(document.find(from), from.size(), to);
  };
  replace(R"("models":["m"])", R"("models":["m","n"])");
  replace(
      R"("models":[{"name":"m","memory_mb":1000}])",
      R"("models":[{"name":"m","memory_mb":1000},{"name":"n","memory_mb":)" +
          std::to_string(memory_mb) + "}]");
  replace(R"("defaults":{)",
          R"("defaults":{"order_flight_ms":100,"model_load_ms":300,)");
  return document;
}

HttpRequest CompletionFor(std::string_view model) {
  auto request = FleetFixture::Completion(FleetFixture::kKey, 2, false);
  request.body = R"({"model":")" + std::string(model) +
                 R"(","prompt":"hello","max_tokens":2})";
  return request;
}

HttpRequest Faults(const std::string& body) {
  return {"POST", "/standin/faults", {}, body};
}

bool PlacementContains(const FleetFixture& fleet, std::string_view text) {
  const auto answer =
      FetchNow(fleet.Operators(0), {"GET", "/v1/placement", {}, {}}, 10s);
  return answer && answer.value().body.find(text) != std::string::npos;
}

BOOST_AUTO_TEST_CASE(CallersWaitWhileAModelIsLoaded) {
  FleetFixture fleet;
  fleet.Apply(WithModel(fleet.DefaultConfig(), 2000));
  const auto answer = fleet.Send(0, CompletionFor("n"));
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(
      WaitFor([&] { return PlacementContains(fleet, R"("item":"model n")"); }));
}

BOOST_AUTO_TEST_CASE(ModelLoadSurvivesLostLateAndDuplicateOrders) {
  FleetFixture fleet;
  const auto set = FetchNow(
      fleet.engine_address(),
      Faults(
          R"({"lose_orders":1,"late_orders":2,"late_ms":50,"double_orders":2})"),
      10s);
  BOOST_TEST_REQUIRE(set.value().status == 200);
  fleet.Apply(WithModel(fleet.DefaultConfig(), 2000));
  BOOST_TEST(
      WaitFor([&] { return fleet.Send(0, CompletionFor("n")).status == 200; }));
}

BOOST_AUTO_TEST_CASE(ModelLoadPastDeadlineIsRefusedAtOnce) {
  FleetFixture fleet;
  auto document = WithModel(fleet.DefaultConfig(), 80'000);
  const std::string quick = R"("model_load_ms":300)";
  document.replace(document.find(quick), quick.size(),
                   R"("model_load_ms":600000)");
  fleet.Apply(document);
  fleet.WaitServing();
  BOOST_TEST_REQUIRE(
      WaitFor([&] { return PlacementContains(fleet, R"("usable":true)"); }));
  HttpResponse answer;
  BOOST_TEST(WaitFor([&] {
    answer = fleet.Send(0, CompletionFor("n"));
    return answer.status == 503;
  }));
  BOOST_TEST(!answer.body.empty());
  BOOST_TEST(answer.body.find(R"("ran":"no")") != std::string::npos);
  BOOST_TEST(!FindHeader(answer.headers, "Retry-After").empty());
}

}  // namespace
}  // namespace jackdaw
