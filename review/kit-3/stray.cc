#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <stdexcept>

#include "stray.h"

namespace review {
namespace {

using namespace std::chrono_literals;

constexpr const char* kConfig = R"({"version": 1,
 "routes": [{"name": "book", "hostname": "app.example", "prefix": "/book/",
   "type": "unsafe", "max-attempts": 1, "timeout-ms": 1200,
   "target-latency-ms": 150, "priority": 2, "service": "app"}],
 "services": [{"name": "app", "health-path": "/healthz",
   "max-connections": 96}],
 "tenants": [{"name": "school", "api-keys": ["school-key"]}],
 "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
   "header-timeout-ms": 5000, "idle-timeout-ms": 30000}})";

// The fault: one of two engines (share 0.5), 3 in 100 of its answers, 5 s.
constexpr double kGarbled = 0.03;
constexpr std::int64_t kGarbleMs = 5000;
constexpr int kClients = 12;
constexpr std::int64_t kTrafficMs = 8000;

// Time in which a booking that was answered may still begin to run.
constexpr jackdaw::Micros kRunsLater{200'000};

struct Counts {
  int asked = 0;
  int good = 0;
  int other = 0;
  int broken = 0;
};

using Engines = std::vector<std::unique_ptr<Engine>>;

bool Ran(const Engines& engines, const std::string& attempt) {
  for (const auto& engine : engines) {
    if (engine->runs().contains(attempt)) {
      return true;
    }
  }
  return false;
}

Task AskOn(Lab& lab,
           const Instance& instance,
           const Engines& engines,
           int number,
           std::int64_t until,
           const std::function<bool(const Booking&)>& breaks_rule,
           Counts& counts,
           int& running) {
  Client client(lab, instance);
  for (int i = 0; lab.Ms() < until; ++i) {
    Asked asked;
    asked.path = "/book/seat";
    asked.attempt = "c" + std::to_string(number) + "-" + std::to_string(i);
    asked.key = "school-key";
    asked.body = "{}";
    Booking booking;
    booking.attempt = asked.attempt;
    booking.body = engines.front()->BodyOf(asked.attempt);
    booking.got = co_await client.Ask(std::move(asked));
    const bool good = booking.got.status == 200 &&
                      !booking.got.signature.empty() &&
                      booking.got.body == booking.body;
    ++counts.asked;
    counts.good += good ? 1 : 0;
    counts.other += good ? 0 : 1;
    co_await lab.Pause(good ? 10ms : kRunsLater);
    booking.ran = Ran(engines, booking.attempt);
    if (breaks_rule(booking)) {
      ++counts.broken;
      lab.Note("booking " + booking.attempt +
               (booking.ran ? " ran" : " did not run") + ", its client got " +
               std::to_string(booking.got.status) + ", signature '" +
               booking.got.signature + "', attempt id '" + booking.got.attempt +
               "', body " + booking.got.body);
    }
  }
  --running;
}

}  // namespace

Task PlayStrayBytes(Lab& lab,
                    bool trouble,
                    std::string stray_bytes,
                    std::function<bool(const Booking&)> breaks_rule,
                    int& verdict) {
  co_await lab.StartStore();
  co_await lab.Configure(kConfig);
  Engines engines;
  for (int i = 1; i <= 2; ++i) {
    Engine::Shape shape;
    shape.id = "i-" + std::to_string(i);
    shape.service = "app";
    shape.zone = "a-" + std::to_string(i);
    shape.number = 100 + i;
    engines.push_back(std::make_unique<Engine>(lab, shape));
    engines.back()->Start();
  }
  std::vector<Instance*> instances;
  for (int i = 1; i <= 3; ++i) {
    instances.push_back(
        &lab.Start("n" + std::to_string(i), "a-" + std::to_string(i), 10 + i));
  }
  for (Instance* instance : instances) {
    co_await lab.AwaitReady(*instance);
  }
  co_await lab.Pause(2s);
  const std::int64_t start = lab.Ms();
  int answers = 0;
  int due = 0;
  engines[0]->stray_bytes = std::move(stray_bytes);
  engines[0]->garbles = [&] {
    const std::int64_t at = lab.Ms() - start;
    if (!trouble || at < 1000 || at > 1000 + kGarbleMs) {
      return false;
    }
    ++answers;
    if (due + 1 > kGarbled * answers) {
      return false;
    }
    ++due;
    return true;
  };
  Counts counts;
  int running = kClients;
  for (int i = 0; i < kClients; ++i) {
    boost::asio::co_spawn(
        co_await boost::asio::this_coro::executor,
        AskOn(lab, *instances[static_cast<std::size_t>(i % 3)], engines, i,
              start + kTrafficMs, breaks_rule, counts, running),
        boost::asio::detached);
  }
  while (running > 0) {
    co_await lab.Pause(100ms);
  }
  lab.Note("asked " + std::to_string(counts.asked) + ", answered well " +
           std::to_string(counts.good) + ", otherwise " +
           std::to_string(counts.other) + ", against the rule " +
           std::to_string(counts.broken));
  lab.Note("answers of the faulty engine during the fault " +
           std::to_string(answers) + ", followed by stray bytes " +
           std::to_string(due) + ", sent " +
           std::to_string(engines[0]->strays()));
  if (counts.good == 0) {
    throw std::runtime_error("nothing was served");
  }
  verdict = counts.broken > 0 ? kBroken : kHeld;
}

}  // namespace review
