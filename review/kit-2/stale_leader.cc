// A region loses the store, and with it the leader of the fleet, for longer
// than parts of the quotas stay with a silent instance.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <string>

#include "case_main.h"
#include "quota_window.h"

namespace review {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

// The tenant's quota, in tokens: 1.8 times what it usually asks for.
constexpr std::int64_t kRate = 60'000;
constexpr std::int64_t kBurst = 60'000;
constexpr std::int64_t kTokensIn = 1460;
constexpr std::int64_t kTokensOut = 40;
// Tokens a second that its clients ask for at each of six instances: usually,
// and while the tenant sends 7.5 times that.
constexpr std::int64_t kUsual = 5'500;
constexpr std::int64_t kHot = 41'250;
constexpr jackdaw::Micros kHotTime = 11s;
// Time without the store before that.
constexpr jackdaw::Micros kCutBefore = 42s;
// The rule's window, overshoot and slack.
constexpr std::int64_t kWindowMs = 8000;
constexpr double kOvershoot = 0.1;
constexpr double kSlack = 11'000;

constexpr const char* kConfig = R"({"version": 1,
 "routes": [{"name": "chat", "hostname": "app.example", "prefix": "/chat/",
   "type": "streaming", "max-attempts": 2, "resumable": true,
   "timeout-ms": 8000, "target-latency-ms": 5000, "gap-target-ms": 2000,
   "priority": 1, "session-affinity": true, "service": "engines"}],
 "services": [{"name": "engines", "health-path": "/healthz",
   "max-connections": 400, "engine": {"slots": 64, "kv-capacity": 157143,
   "weights-mb": 200000, "adapter-slots": 8, "loads-per-s": 2,
   "models": [{"name": "m1", "weights-mb": 72700, "load-time-s": 1.2}]}}],
 "tenants": [{"name": "school", "api-keys": ["school-key"], "unit": "tokens",
   "rate-per-s": 60000, "burst": 60000, "plain-tokens": 200}],
 "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
   "header-timeout-ms": 5000, "idle-timeout-ms": 30000}})";

// Sends requests at an even pace to one instance.
// @param rate tokens a second; 0 ends it
Task Ask(Fleet& fleet, const Instance& instance, const std::int64_t& rate) {
  while (rate > 0) {
    boost::asio::co_spawn(co_await boost::asio::this_coro::executor,
                          fleet.Send(instance, "school", "school-key",
                                     "/chat/x", "m1", kTokensIn, kTokensOut),
                          boost::asio::detached);
    co_await fleet.Pause(
        jackdaw::Micros(1'000'000 * (kTokensIn + kTokensOut) / rate));
  }
}

Task NoteLease(Fleet& fleet) {
  const std::string row = co_await fleet.ReadRow("leader");
  fleet.Note("lease " + row);
}

Task Play(Fleet& fleet, bool trouble, int& verdict) {
  co_await fleet.StartStore();
  co_await fleet.Configure(kConfig);
  for (int i = 1; i <= 4; ++i) {
    Engine::Shape shape;
    shape.id = "e-" + std::to_string(i);
    shape.service = "engines";
    shape.zone = i <= 2 ? "a-1" : "b-1";
    shape.models = {"m1"};
    fleet.AddEngine(shape);
  }
  // Region b has the leader: it starts first.
  for (const char* name : {"b1", "b2", "b3", "a1", "a2", "a3"}) {
    fleet.Add(name, std::string(name).substr(0, 1) + "-" + name[1]);
  }
  auto& instances = fleet.instances();
  fleet.Start(*instances[0]);
  co_await fleet.AwaitReady(*instances[0]);
  co_await fleet.Pause(1500ms);
  for (std::size_t i = 1; i < instances.size(); ++i) {
    fleet.Start(*instances[i]);
  }
  for (std::size_t i = 1; i < instances.size(); ++i) {
    co_await fleet.AwaitReady(*instances[i]);
  }
  co_await NoteLease(fleet);
  std::int64_t rate = kUsual;
  for (const auto& instance : instances) {
    boost::asio::co_spawn(co_await boost::asio::this_coro::executor,
                          Ask(fleet, *instance, rate), boost::asio::detached);
  }
  co_await fleet.Pause(8s);
  if (trouble) {
    fleet.Note("region b loses the store");
    for (std::size_t i = 0; i < 3; ++i) {
      instances[i]->store_path->SetCut(true);
    }
  }
  for (int i = 0; i < 6; ++i) {
    co_await fleet.Pause(kCutBefore / 6);
    co_await NoteLease(fleet);
  }
  fleet.Note("the tenant sends 7.5 times its usual");
  rate = kHot;
  co_await fleet.Pause(kHotTime);
  rate = 0;
  co_await fleet.Pause(1s);
  if (!fleet.AllLive()) {
    fleet.Note("a process has ended");
    co_return;
  }
  const double bound =
      (static_cast<double>(kRate) * kWindowMs / 1000 + kBurst) *
          (1 + kOvershoot) +
      kSlack;
  const std::vector<Run> runs = RunsOf(fleet, "school");
  const Fullest fullest = FullestWindow(runs, kWindowMs, 0);
  fleet.Note("requests sent " + std::to_string(fleet.sent().size()) + ", run " +
             std::to_string(runs.size()));
  std::string shares;
  for (const auto& [name, tokens] : fullest.by_instance) {
    shares += " " + name + "=" + std::to_string(tokens);
  }
  fleet.Note("fullest window of 8 s: tokens " + std::to_string(fullest.tokens) +
             " bound " + std::to_string(static_cast<std::int64_t>(bound)) +
             " taken by" + shares);
  verdict = static_cast<double>(fullest.tokens) > bound ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
