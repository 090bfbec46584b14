// A request crashes each engine that begins to run it, and comes again. The
// instance that has seen its crashes is killed.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "client.h"
#include "engine.h"

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr int kEngines = 8;
constexpr int kInstances = 6;
constexpr int kClients = 18;
// contact-ms of the deployment.
constexpr jackdaw::Micros kContact = 3s;
// Time for which an engine that crashed is down, and the instance.
constexpr jackdaw::Micros kEngineDown = 2s;
constexpr jackdaw::Micros kDown = 600ms;
// Pause between an answer to the deadly request and the next one.
constexpr jackdaw::Micros kPace = 500ms;

constexpr const char* kConfig = R"({"version": 1,
 "routes": [{"name": "read", "hostname": "app.example", "prefix": "/read/",
   "type": "safe", "max-attempts": 2, "timeout-ms": 1200,
   "target-latency-ms": 150, "priority": 2, "service": "app"},
  {"name": "book", "hostname": "app.example", "prefix": "/book/",
   "type": "unsafe", "max-attempts": 1, "timeout-ms": 1200,
   "target-latency-ms": 150, "priority": 2, "service": "app"}],
 "services": [{"name": "app", "health-path": "/healthz",
   "max-connections": 96}],
 "tenants": [{"name": "school", "api-keys": ["school-key"]}],
 "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
   "header-timeout-ms": 5000, "idle-timeout-ms": 30000}})";

// Sends bookings, which may run once only.
// @param answers takes the status that each attempt got
Task Book(Lab& lab,
          const Instance& instance,
          int number,
          std::map<std::string, int>& answers) {
  Client client(lab, instance);
  for (int i = 0;; ++i) {
    Asked asked;
    asked.path = "/book/x";
    asked.attempt = "b" + std::to_string(number) + "-" + std::to_string(i);
    asked.key = "school-key";
    asked.body = "booking " + asked.attempt;
    const std::string attempt = asked.attempt;
    const Got got = co_await client.Ask(std::move(asked));
    answers[attempt] = got.status;
    co_await lab.Pause(60ms);
  }
}

Task Restart(Lab& lab, Engine& engine) {
  co_await lab.Pause(kEngineDown);
  engine.Start();
}

// What became of the deadly request.
struct Deadly {
  int crashes = 0;
  std::int64_t third_at = 0;
  /// Crashes later than `contact-ms` after the third.
  int late = 0;
  /// The engines of these crashes, and the attempts that each had cut before.
  std::vector<const Engine*> late_engines;
  std::vector<std::size_t> cut_before;
  std::map<int, int> answers;
  int sent = 0;
};

boost::asio::awaitable<void> AskDeadly(Client& client, Deadly& deadly) {
  Asked asked;
  asked.path = "/read/deadly";
  asked.attempt = "d-" + std::to_string(++deadly.sent);
  asked.key = "school-key";
  asked.body = "deadly";
  const Got got = co_await client.Ask(std::move(asked));
  ++deadly.answers[got.status];
}

Task Play(Lab& lab, bool trouble, int& verdict) {
  co_await lab.StartStore();
  co_await lab.Configure(kConfig);
  const auto executor = co_await boost::asio::this_coro::executor;
  Deadly deadly;
  std::map<std::string, int> bookings;
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 1; i <= kEngines; ++i) {
    Engine::Shape shape;
    shape.id = "i-" + std::to_string(i);
    shape.service = "app";
    shape.zone = "a-" + std::to_string(1 + i % 3);
    shape.number = 100 + i;
    engines.push_back(std::make_unique<Engine>(lab, shape));
    Engine* engine = engines.back().get();
    engine->is_deadly = [&, engine](const std::string& attempt,
                                    const std::string& body) {
      if (body != "deadly") {
        return false;
      }
      const std::int64_t now = lab.Ms();
      if (++deadly.crashes == 3) {
        deadly.third_at = now;
      }
      const bool late =
          deadly.third_at > 0 && now > deadly.third_at + kContact / 1ms;
      deadly.late += late ? 1 : 0;
      if (late) {
        deadly.late_engines.push_back(engine);
        deadly.cut_before.push_back(engine->cut().size());
      }
      lab.Note(engine->id() + " crashes as it begins to run " + attempt +
               (late ? ", late" : ""));
      boost::asio::co_spawn(executor, Restart(lab, *engine),
                            boost::asio::detached);
      return true;
    };
    engine->Start();
  }
  std::vector<Instance*> instances;
  for (int i = 1; i <= kInstances; ++i) {
    instances.push_back(&lab.Start("n" + std::to_string(i),
                                   "a-" + std::to_string(1 + i % 3), 10 + i));
  }
  for (Instance* instance : instances) {
    co_await lab.AwaitReady(*instance);
  }
  co_await lab.Pause(2s);
  for (int i = 0; i < kClients; ++i) {
    const auto at = static_cast<std::size_t>(i % kInstances);
    boost::asio::co_spawn(executor, Book(lab, *instances[at], i, bookings),
                          boost::asio::detached);
  }
  co_await lab.Pause(3s);
  // One that does not lead, so that nothing else ends with it.
  const std::string row = co_await lab.ReadRow("leader");
  const std::string leader(boost::json::parse(row).at("holder").as_string());
  const std::size_t first = instances[0]->name == leader ? 1 : 0;
  {
    Client client(lab, *instances[first]);
    while (deadly.crashes < 3) {
      co_await AskDeadly(client, deadly);
      co_await lab.Pause(kPace);
    }
  }
  if (trouble) {
    lab.Note("kills " + instances[first]->name + ", which does not lead");
    co_await lab.KillAndRestart(*instances[first], kDown);
  }
  while (lab.Ms() < deadly.third_at + kContact / 1ms + 200) {
    co_await lab.Pause(50ms);
  }
  // The request comes again at the instances that were in touch all the while.
  const std::int64_t until = lab.Ms() + 15'000;
  for (std::size_t i = 0; lab.Ms() < until; ++i) {
    if (i % kInstances == first) {
      continue;
    }
    Client client(lab, *instances[i % kInstances]);
    co_await AskDeadly(client, deadly);
    co_await lab.Pause(kPace);
  }
  for (const auto& [status, count] : deadly.answers) {
    lab.Note("the deadly request was answered " + std::to_string(status) + " " +
             std::to_string(count) + " times");
  }
  std::set<std::string> cut;
  for (std::size_t i = 0; i < deadly.late_engines.size(); ++i) {
    const auto& attempts = deadly.late_engines[i]->cut();
    for (std::size_t at = deadly.cut_before[i]; at < attempts.size(); ++at) {
      if (attempts[at].starts_with("b") && cut.insert(attempts[at]).second) {
        lab.Note("booking " + attempts[at] + " was cut by a late crash of " +
                 deadly.late_engines[i]->id() + ", its client got " +
                 std::to_string(bookings[attempts[at]]));
      }
    }
  }
  lab.Note("bookings " + std::to_string(bookings.size()) +
           ", of which late crashes cut " + std::to_string(cut.size()));
  lab.Note("engines crashed " + std::to_string(deadly.crashes) +
           " times, later than contact-ms after the third " +
           std::to_string(deadly.late) + "; the most is 3");
  verdict = deadly.late > 3 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, Play);
}
