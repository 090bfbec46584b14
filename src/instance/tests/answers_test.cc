#include <future>

#include "instance/tests/fleet_fixture.h"

namespace jackdaw {
namespace {

bool Has(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

void SetFaults(const Endpoint& standin, std::string faults) {
  HttpRequest request{"POST", "/standin/faults", {}, std::move(faults)};
  const auto answer = FetchNow(standin, std::move(request), 10s);
  BOOST_TEST_REQUIRE(answer.has_value());
}

// Returns how many calls the stand-in has executed.
std::int64_t TotalRuns(const Endpoint& standin) {
  const auto answer =
      FetchNow(standin, {"GET", "/standin/runs", {}, {}}, 10s).value();
  std::int64_t runs = 0;
  const auto counts = boost::json::parse(answer.body);
  for (const auto& one : counts.as_object()) {
    runs += one.value().to_number<std::int64_t>();
  }
  return runs;
}

// Returns the stream without its heartbeat comments.
std::string Events(std::string body) {
  constexpr std::string_view kHeartbeat = ": heartbeat\n\n";
  for (auto at = body.find(kHeartbeat); at != std::string::npos;
       at = body.find(kHeartbeat)) {
    body.erase(at, kHeartbeat.size());
  }
  return body;
}

void CheckWholeStream(const HttpResponse& answer, int tokens) {
  const std::string stem = Sha256Hex("hello").substr(0, 8);
  BOOST_TEST_CONTEXT(answer.body) {
    BOOST_TEST(answer.status == 200);
    std::size_t at = 0;
    for (int i = 0; i < tokens; ++i) {
      const std::string token = "\"content\":\"" + StandinToken(stem, i);
      at = answer.body.find(token, at);
      BOOST_TEST_REQUIRE(at != std::string::npos);
      BOOST_TEST(answer.body.find(token, at + 1) == std::string::npos);
    }
    BOOST_TEST(Events(answer.body).ends_with("data: [DONE]\n\n"));
  }
}

BOOST_AUTO_TEST_CASE(BrokenStreamResumesAtItsOffset) {
  const FleetFixture fleet;
  fleet.WaitServing();
  SetFaults(fleet.engine_address(),
            R"({"cut_streams":1,"cut_after_tokens":4})");
  CheckWholeStream(
      fleet.Send(0, FleetFixture::Completion(FleetFixture::kKey, 9, true)), 9);
}

BOOST_AUTO_TEST_CASE(ForeignEventIsDroppedAndStreamResumes) {
  const FleetFixture fleet;
  fleet.WaitServing();
  SetFaults(fleet.engine_address(), R"({"cross_streams":1})");
  const auto answer =
      fleet.Send(0, FleetFixture::Completion(FleetFixture::kKey, 6, true));
  CheckWholeStream(answer, 6);
  BOOST_TEST(!Has(answer.body, "crossed"));
  SetFaults(fleet.engine_address(), R"({"cross_streams":1})");
  const auto whole =
      fleet.Send(0, FleetFixture::Completion(FleetFixture::kKey, 6, false));
  BOOST_TEST(whole.status == 200);
  BOOST_TEST(!Has(whole.body, "crossed"));
}

BOOST_AUTO_TEST_CASE(UnresponsiveTargetIsReplaced) {
  FleetFixture fleet;
  fleet.WaitServing();
  std::string config = fleet.DefaultConfig();
  config.insert(config.find("\"entry_keep_ms\""), R"("first_byte_ms":300,)");
  fleet.Apply(config);
  SetFaults(fleet.engine_address(), R"({"silent":1})");
  CheckWholeStream(
      fleet.Send(0, FleetFixture::Completion(FleetFixture::kKey, 3, true)), 3);
}

BOOST_AUTO_TEST_CASE(CallToUnresponsiveTargetIsUnknownAndNotRepeated) {
  FleetFixture fleet(2);
  fleet.WaitServing();
  std::string config = fleet.DefaultConfig();
  config.insert(config.find("\"entry_keep_ms\""), R"("first_byte_ms":300,)");
  fleet.Apply(config);
  SetFaults(fleet.plain_service_address(), R"({"silent":1})");
  const auto first = fleet.Send(0, FleetFixture::Booking("seat-9"));
  BOOST_TEST(Has(first.body, R"("kind":"outcome-unknown")"));
  BOOST_TEST(Has(first.body, R"("ran":"unknown")"));
  const auto second = fleet.Send(1, FleetFixture::Booking("seat-9"));
  BOOST_TEST(Has(second.body, R"("ran":"unknown")"));
  BOOST_TEST(TotalRuns(fleet.plain_service_address()) == 0);
}

BOOST_AUTO_TEST_CASE(UndispatchedCallMayBeSentAgain) {
  FleetFixture fleet(2);
  const std::string config = fleet.DefaultConfig();
  std::string dead = config;
  const std::string address = ToText(fleet.plain_service_address());
  dead.replace(dead.find(address), address.size(), "127.0.0.1:1");
  fleet.Apply(dead);
  const auto refused = fleet.Send(0, FleetFixture::Booking("seat-3"));
  BOOST_TEST(Has(refused.body, R"("ran":"no")"));
  fleet.Apply(config);
  BOOST_TEST_REQUIRE(WaitFor([&] {
    return fleet.Send(1, FleetFixture::Booking("seat-3")).status == 200;
  }));
  BOOST_TEST(TotalRuns(fleet.plain_service_address()) == 1);
}

BOOST_AUTO_TEST_CASE(StoreFaultsDoNotRepeatCalls) {
  FleetFixture fleet(2);
  fleet.WaitServing();
  SetFaults(fleet.platform_address(), R"({"lose_answers":3})");
  BOOST_TEST(fleet.Send(0, FleetFixture::Booking("seat-4")).status == 200);
  SetFaults(fleet.platform_address(), R"({"outage":true})");
  const auto refused = fleet.Send(0, FleetFixture::Booking("seat-5"));
  BOOST_TEST(Has(refused.body, R"("kind":"store-unavailable")"));
  BOOST_TEST(Has(refused.body, R"("ran":"no")"));
  // A call without an Idempotency-Key stores no intent, so the outage doesn't
  // affect it.
  BOOST_TEST(fleet.Send(0, FleetFixture::Booking("")).status == 200);
  SetFaults(fleet.platform_address(), "{}");
  BOOST_TEST_REQUIRE(WaitFor([&] {
    return fleet.Send(1, FleetFixture::Booking("seat-5")).status == 200;
  }));
  BOOST_TEST(
      Has(fleet.Send(1, FleetFixture::Booking("seat-4")).body, R"("runs":1)"));
  BOOST_TEST(TotalRuns(fleet.plain_service_address()) == 3);
}

BOOST_AUTO_TEST_CASE(CallerDisconnectEndsGeneration) {
  const FleetFixture fleet;
  fleet.WaitServing();
  const auto running = [&] {
    const auto report =
        FetchNow(fleet.engine_address(), {"GET", "/engine/report", {}, {}}, 10s)
            .value();
    return boost::json::parse(report.body)
        .at("running")
        .to_number<std::int64_t>();
  };
  // The caller's timeout closes its connection in the middle of the stream.
  auto left = std::async(std::launch::async, [&] {
    return FetchNow(fleet.Entry(0),
                    FleetFixture::Completion(FleetFixture::kKey, 15'000, true),
                    Micros(300ms));
  });
  BOOST_TEST(WaitFor([&] { return running() == 1; }));
  BOOST_TEST(WaitFor([&] { return running() == 0; }));
  left.wait();
}

BOOST_AUTO_TEST_CASE(DrainDeadlineEndsStreamWithError) {
  FleetFixture fleet(2);
  fleet.WaitServing(1);
  std::string config = fleet.DefaultConfig();
  config.insert(config.find("\"entry_keep_ms\""),
                R"("drain_deadline_ms":500,)");
  fleet.Apply(config);
  auto stream = std::async(std::launch::async, [&] {
    return fleet.Send(
        1, FleetFixture::Completion(FleetFixture::kKey, 15'000, true));
  });
  BOOST_TEST_REQUIRE(WaitFor([&] {
    const auto status =
        OperatorClient(fleet.Operators(1)).Call("GET", "/v1/status");
    return status.value().at("requests_in_flight").to_number<int>() > 0;
  }));
  fleet.instance(1).BeginDrain();
  const auto answer = stream.get();
  BOOST_TEST(Has(answer.body, "event: error"));
  BOOST_TEST(Has(answer.body, R"("kind":"leaving")"));
}

BOOST_AUTO_TEST_CASE(InstanceCanBeDestroyedWithRequestsInFlight) {
  for (int round = 0; round < 3; ++round) {
    FleetFixture fleet;
    fleet.WaitServing();
    std::vector<std::future<Result<HttpResponse>>> callers;
    callers.reserve(8);
    for (int i = 0; i < 8; ++i) {
      callers.push_back(std::async(std::launch::async, [&] {
        return FetchNow(
            fleet.Entry(0),
            FleetFixture::Completion(FleetFixture::kKey, 2'400, true), 30s);
      }));
    }
    BOOST_TEST_REQUIRE(WaitFor([&] {
      const auto status =
          OperatorClient(fleet.Operators(0)).Call("GET", "/v1/status");
      return status.value().at("requests_in_flight").to_number<int>() == 8;
    }));
    fleet.Kill(0);
    for (auto& caller : callers) {
      BOOST_TEST(!caller.get().has_value());
    }
  }
}

}  // namespace
}  // namespace jackdaw
