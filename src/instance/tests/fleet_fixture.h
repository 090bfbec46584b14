#pragma once

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "core/digest.h"
#include "core/duty.h"
#include "ctl/operator_client.h"
#include "http/client.h"
#include "instance/instance.h"
#include "platform/standin/platform_standin.h"
#include "standin/engine_standin.h"

namespace jackdaw {

/// Waits until a condition holds. The limit of one minute is reached only if
/// the code under test hangs.
template <typename F>
bool WaitFor(F condition) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::minutes(1);
  while (std::chrono::steady_clock::now() < until) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

/// A small fleet in one process that uses real sockets: the platform, one
/// engine, one plain service and one or more instances.
class FleetFixture {
 public:
  static constexpr std::string_view kKey = "jdk-school";

  explicit FleetFixture(int instances = 1)
      : platform_(platform_duty_.context()),
        engine_(engine_duty_.context(), EngineStandinShape()),
        plain_service_(plain_service_duty_.context(), PlainServiceShape()) {
    const Endpoint any = ParseEndpoint("127.0.0.1:0").value();
    platform_address_ = platform_.Listen(any).value();
    cuttable_address_ = platform_.ListenCuttable(any).value();
    engine_address_ = engine_.Listen(any).value();
    plain_service_address_ = plain_service_.Listen(any).value();
    for (Duty* duty : {&platform_duty_, &engine_duty_, &plain_service_duty_}) {
      duty->Start();
    }
    for (int i = 0; i < instances; ++i) {
      // With several instances, the last one's connection to the platform can
      // be cut.
      const bool cuttable = i > 0 && i + 1 == instances;
      StartInstance("entry-" + std::to_string(i),
                    cuttable ? cuttable_address_ : platform_address_);
    }
    Apply(DefaultConfig());
  }

  ~FleetFixture() {
    // Faults that a test has left set would only delay the drains.
    const HttpRequest faultless{"POST", "/standin/faults", {}, "{}"};
    BOOST_TEST(FetchNow(platform_address_, faultless, 30s).has_value());
    for (auto& instance : instances_) {
      if (instance) {
        instance->BeginDrain();
      }
    }
    for (auto& instance : instances_) {
      if (instance) {
        instance->WaitDrained();
      }
    }
    instances_.clear();
    for (Duty* duty : {&platform_duty_, &engine_duty_, &plain_service_duty_}) {
      duty->Stop();
    }
    // Suspended coroutines of a stand-in must be destroyed before it.
    for (Duty* duty : {&platform_duty_, &engine_duty_, &plain_service_duty_}) {
      duty->EndCoroutines();
    }
  }

  FleetFixture(const FleetFixture&) = delete;
  FleetFixture& operator=(const FleetFixture&) = delete;

  std::string DefaultConfig() const {
    return R"({"defaults":{"rate_tokens_per_s":80000,"burst_tokens":160000,
                           "entry_keep_ms":100,"list_lag_ms":100},
      "workspaces":[{"name":"school"}],
      "keys":[{"id":"k1","workspace":"school","digest":")" +
           Sha256Hex(kKey) + R"("}],
      "targets":[{"name":"e1","address":")" +
           ToText(engine_address_) +
           R"(","memory_mb":80000},
                 {"name":"d1","kind":"plain","address":")" +
           ToText(plain_service_address_) + R"("}],
      "models":[{"name":"m","memory_mb":1000}],
      "deployments":[{"name":"d","models":["m"],"targets":["e1"]}],
      "services":[{"name":"desk","targets":["d1"],"routes":[
        {"path":"/book"},{"path":"/open","method":"GET","idempotent":true,
                          "open":true}]}]})";
  }

  /// Applies a configuration and waits until it is in force at every instance.
  void Apply(const std::string& document) {
    const OperatorClient client(Operators(0));
    ConfigDocument next = client.GetConfig().value();
    next.content = boost::json::parse(document).as_object();
    const std::uint64_t version = client.PutConfig(next).value();
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      BOOST_TEST_REQUIRE(WaitFor([&] {
        const auto status =
            OperatorClient(Operators(i)).Call("GET", "/v1/status");
        return status &&
               status.value().at("config_version").to_number<std::uint64_t>() >=
                   version;
      }));
    }
  }

  HttpResponse Send(std::size_t instance, HttpRequest request) const {
    return FetchNow(Entry(instance), std::move(request), 30s).value();
  }

  static HttpRequest Completion(std::string_view key,
                                std::int64_t tokens,
                                bool stream) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/completions";
    if (!key.empty()) {
      request.headers.push_back(
          {"Authorization", "Bearer " + std::string(key)});
    }
    request.body = R"({"model":"m","prompt":"hello","max_tokens":)" +
                   std::to_string(tokens) +
                   (stream ? R"(,"stream":true})" : "}");
    return request;
  }

  static HttpRequest Booking(std::string_view idempotency_key) {
    HttpRequest request{"POST", "/call/desk/book", {}, R"({"seat":1})"};
    request.headers.push_back({"Authorization", "Bearer " + std::string(kKey)});
    if (!idempotency_key.empty()) {
      request.headers.push_back(
          {"Idempotency-Key", std::string(idempotency_key)});
    }
    return request;
  }

  Endpoint Entry(std::size_t i) const {
    return ParseEndpoint(bound_[i].entry).value();
  }
  Endpoint Operators(std::size_t i) const {
    return ParseEndpoint(bound_[i].operators).value();
  }
  Instance& instance(std::size_t i) { return *instances_[i]; }
  const Endpoint& platform_address() const { return platform_address_; }
  const Endpoint& engine_address() const { return engine_address_; }
  const Endpoint& plain_service_address() const {
    return plain_service_address_;
  }

  /// Destroys an instance without a drain.
  void Kill(std::size_t i) { instances_[i].reset(); }

  /// Sets the faults of the platform stand-in; `{}` clears them.
  void SetPlatformFaults(std::string faults) const {
    const HttpRequest request{"POST", "/standin/faults", {}, std::move(faults)};
    BOOST_TEST_REQUIRE(
        FetchNow(platform_address_, request, 30s).value().status == 200);
  }

  /// Waits until instance `i` serves a completion.
  void WaitServing(std::size_t i = 0) const {
    BOOST_TEST_REQUIRE(WaitFor(
        [&] { return Send(i, Completion(kKey, 1, false)).status == 200; }));
  }

 private:
  static EngineShape EngineStandinShape() {
    EngineShape shape;
    shape.name = "e1";
    shape.models = {"m"};
    shape.first_token_us = 1000;
    shape.token_us = 1000;
    return shape;
  }
  static EngineShape PlainServiceShape() {
    EngineShape shape;
    shape.name = "d1";
    shape.plain = true;
    return shape;
  }

  void StartInstance(const std::string& name, const Endpoint& platform) {
    InstanceSettings settings;
    settings.name = name;
    settings.failure_domain = "domain-" + name;
    settings.entry = settings.operators = settings.peer =
        ParseEndpoint("127.0.0.1:0").value();
    settings.platform = platform;
    settings.body_bytes = 64 * 1024;
    settings.connections = 256;
    instances_.push_back(std::make_unique<Instance>(settings));
    bound_.push_back(instances_.back()->Start().value());
  }

  Duty platform_duty_{"platform", 64};
  Duty engine_duty_{"engine", 64};
  Duty plain_service_duty_{"desk", 64};
  serving::platform::PlatformStandin platform_;
  EngineStandin engine_;
  EngineStandin plain_service_;
  Endpoint platform_address_;
  Endpoint cuttable_address_;
  Endpoint engine_address_;
  Endpoint plain_service_address_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<BoundAddresses> bound_;
};

}  // namespace jackdaw
