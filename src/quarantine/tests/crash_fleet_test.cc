#include <mutex>
#include <set>
#include <utility>

#include "instance/tests/fleet_fixture.h"

namespace jackdaw {
namespace {

constexpr int kEngines = 4;

// Engines that crash on the prompt "boom": they drop the connection and come
// back with a new incarnation.
class CrashingEngines {
 public:
  CrashingEngines() {
    for (int i = 0; i < kEngines; ++i) {
      EngineShape shape;
      shape.name = "c" + std::to_string(i);
      shape.models = {"m"};
      shape.first_token_us = 1000;
      shape.token_us = 1000;
      shape.crash = [this, i] { Crash(i); };
      engines_.push_back(
          std::make_unique<EngineStandin>(thread_.context(), shape));
      addresses_.push_back(
          ToText(engines_.back()
                     ->Listen(ParseEndpoint("127.0.0.1:0").value())
                     .value()));
    }
    thread_.Start();
    for (const auto& address : addresses_) {
      HttpRequest faults{
          "POST", "/standin/faults", {}, R"({"crash_on":"boom"})"};
      BOOST_TEST_REQUIRE(
          FetchNow(ParseEndpoint(address).value(), faults, 5s).has_value());
    }
  }
  ~CrashingEngines() { thread_.Stop(); }
  CrashingEngines(const CrashingEngines&) = delete;
  CrashingEngines& operator=(const CrashingEngines&) = delete;

  // Returns how many engines crashed since the last call, each counted once.
  std::size_t TakeCrashed() {
    const std::lock_guard lock(mutex_);
    return std::exchange(crashed_, {}).size();
  }

  std::string Config() const {
    std::string targets;
    std::string names;
    for (int i = 0; i < kEngines; ++i) {
      const std::string comma = i == 0 ? "" : ",";
      names += comma + "\"c" + std::to_string(i) + "\"";
      targets += comma + R"({"name":"c)" + std::to_string(i) +
                 R"(","address":")" + addresses_[i] + R"(","memory_mb":80000})";
    }
    return R"({"defaults":{"rate_tokens_per_s":80000,"burst_tokens":160000,
                           "entry_keep_ms":100},
      "workspaces":[{"name":"school"}],
      "keys":[{"id":"k1","workspace":"school","digest":")" +
           Sha256Hex(FleetFixture::kKey) + R"("}],"targets":[)" + targets +
           R"(],"models":[{"name":"m","memory_mb":1000}],
      "deployments":[{"name":"d","models":["m"],"targets":[)" +
           names + "]}]}";
  }

 private:
  void Crash(int engine) {
    const std::lock_guard lock(mutex_);
    crashed_.insert(engine);
  }

  Duty thread_{"crashing", 64};
  std::mutex mutex_;
  std::set<int> crashed_;
  std::vector<std::unique_ptr<EngineStandin>> engines_;
  std::vector<std::string> addresses_;
};

HttpRequest CrashingRequest(std::string_view prompt) {
  HttpRequest request = FleetFixture::Completion(FleetFixture::kKey, 2, false);
  request.body = R"({"model":"m","prompt":"boom )" + std::string(prompt) +
                 R"(","max_tokens":2})";
  return request;
}

bool HasErrorKind(const HttpResponse& answer, std::string_view kind) {
  return answer.body.find(R"("kind":")" + std::string(kind)) !=
         std::string::npos;
}

// Waits until both instances list each other, so that each answers the other's
// queries about suspects. The list then has an outer object and at least one
// object per instance.
void WaitUntilListed(const FleetFixture& fleet) {
  for (std::size_t i = 0; i < 2; ++i) {
    BOOST_TEST_REQUIRE(WaitFor([&] {
      HttpRequest entry{"GET", "/v1/entry", {}, {}};
      const auto body = fleet.Send(i, entry).body;
      return body.find("entry-0") != body.find("entry-1") &&
             std::count(body.begin(), body.end(), '{') >= 3;
    }));
  }
}

// Starts or ends an outage of the platform, which serves the table.
void SetOutage(const FleetFixture& fleet, bool outage) {
  HttpRequest faults{
      "POST", "/standin/faults", {}, outage ? R"({"outage":true})" : "{}"};
  BOOST_TEST_REQUIRE(
      FetchNow(fleet.platform_address(), faults, 5s).has_value());
}

BOOST_AUTO_TEST_CASE(ACrashingRequestCrashesAtMostTwoTargets) {
  CrashingEngines engines;
  FleetFixture fleet(2);
  fleet.Apply(engines.Config());
  fleet.WaitServing(0);
  fleet.WaitServing(1);
  WaitUntilListed(fleet);
  const auto first = fleet.Send(0, CrashingRequest("a"));
  BOOST_TEST_CONTEXT(first.body) {
    BOOST_TEST(HasErrorKind(first, "quarantined"));
  }
  for (std::size_t i = 0; i < 6; ++i) {
    const auto again = fleet.Send(i % 2, CrashingRequest("a"));
    BOOST_TEST(again.status == 422);
    BOOST_TEST(HasErrorKind(again, "quarantined"));
  }
  BOOST_TEST(engines.TakeCrashed() == 2U);
  fleet.WaitServing(0);
  fleet.WaitServing(1);
}

BOOST_AUTO_TEST_CASE(ASuspectDoesNotRunWhileTheStoreIsDown) {
  CrashingEngines engines;
  FleetFixture fleet(2);
  fleet.Apply(engines.Config());
  fleet.WaitServing(0);
  fleet.WaitServing(1);
  WaitUntilListed(fleet);
  SetOutage(fleet, true);
  BOOST_TEST(
      HasErrorKind(fleet.Send(0, CrashingRequest("b")), "store-unavailable"));
  BOOST_TEST(
      HasErrorKind(fleet.Send(1, CrashingRequest("b")), "store-unavailable"));
  BOOST_TEST(engines.TakeCrashed() == 1U);
  fleet.WaitServing(1);
  SetOutage(fleet, false);
  BOOST_TEST(WaitFor([&] {
    return HasErrorKind(fleet.Send(1, CrashingRequest("b")), "quarantined");
  }));
  BOOST_TEST(HasErrorKind(fleet.Send(0, CrashingRequest("b")), "quarantined"));
  BOOST_TEST(engines.TakeCrashed() == 1U);
}

BOOST_AUTO_TEST_CASE(ConcurrentRequestsCrashAtMostTwoTargets) {
  CrashingEngines engines;
  FleetFixture fleet(2);
  fleet.Apply(engines.Config());
  fleet.WaitServing(0);
  fleet.WaitServing(1);
  WaitUntilListed(fleet);
  for (int round = 0; round < 5; ++round) {
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 4; ++i) {
      callers.emplace_back([&fleet, i, round] {
        fleet.Send(i % 2, CrashingRequest("r" + std::to_string(round)));
      });
    }
    for (auto& caller : callers) {
      caller.join();
    }
    const std::string prompt = "r" + std::to_string(round);
    BOOST_TEST(WaitFor([&] {
      return HasErrorKind(fleet.Send(0, CrashingRequest(prompt)),
                          "quarantined");
    }));
    BOOST_TEST(engines.TakeCrashed() <= 2U);
    fleet.WaitServing(0);
  }
}

}  // namespace
}  // namespace jackdaw
