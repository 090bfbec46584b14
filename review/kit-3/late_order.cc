// An order to load a model gets no answer, and the engine crashes. It starts
// again under its id and carries the order out late, after newer orders.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "client.h"
#include "engine.h"

namespace {

using namespace review;
using namespace std::chrono_literals;

// Each engine has room for one model.
constexpr double kModelMb = 600;
constexpr double kWeightsMb = 1000;
constexpr int kEngines = 6;
// The crash: one of six engines, 3 s. The order is carried out 9 s late.
constexpr jackdaw::Micros kDown = 3s;
constexpr jackdaw::Micros kLateBy = 9s;

constexpr const char* kConfig = R"({"version": 1,
 "routes": [{"name": "chat", "hostname": "app.example", "prefix": "/chat/",
   "type": "streaming", "max-attempts": 1, "timeout-ms": 8000,
   "target-latency-ms": 2000, "gap-target-ms": 250, "priority": 1,
   "service": "llm"}],
 "services": [{"name": "llm", "health-path": "/healthz",
   "max-connections": 360,
   "engine": {"slots": 64, "kv-capacity": 157143, "weights-mb": 1000,
     "adapter-slots": 8, "loads-per-s": 2, "models": [
       {"name": "m1", "weights-mb": 600, "load-time-s": 0.5},
       {"name": "m2", "weights-mb": 600, "load-time-s": 0.5},
       {"name": "m3", "weights-mb": 600, "load-time-s": 0.5}]}}],
 "tenants": [{"name": "school", "api-keys": ["school-key"]}],
 "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
   "header-timeout-ms": 5000, "idle-timeout-ms": 30000}})";

struct Counts {
  int asked = 0;
  int good = 0;
};

// Asks for a model again and again.
Task AskFor(Lab& lab,
            const Instance& instance,
            std::string model,
            const bool& wanted,
            Counts& counts) {
  Client client(lab, instance);
  for (int i = 0;; ++i) {
    if (wanted) {
      Asked asked;
      asked.path = "/chat/x";
      asked.attempt = model + "-" + instance.name + "-" + std::to_string(i);
      asked.key = "school-key";
      asked.model = model;
      asked.tokens = "1460,80";
      asked.body = "{}";
      const Got got = co_await client.Ask(std::move(asked));
      ++counts.asked;
      counts.good += got.status == 200 ? 1 : 0;
    }
    co_await lab.Pause(100ms);
  }
}

Task CrashAndRestart(Lab& lab, Engine& engine) {
  co_await lab.Pause(50ms);
  lab.Note(engine.id() + " crashes");
  engine.Crash();
  co_await lab.Pause(kDown);
  engine.Start();
  lab.Note(engine.id() + " starts again under the same id, empty");
}

Task Play(Lab& lab, bool trouble, int& verdict) {
  co_await lab.StartStore();
  co_await lab.Configure(kConfig);
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 1; i <= kEngines; ++i) {
    Engine::Shape shape;
    shape.id = "i-" + std::to_string(i);
    shape.service = "llm";
    shape.zone = "a-" + std::to_string(1 + i % 3);
    shape.number = 100 + i;
    // The first holds a model that nobody asks for.
    shape.models = {i == 1 ? "m3" : "m1"};
    shape.model_mb = kModelMb;
    shape.weights_mb = kWeightsMb;
    engines.push_back(std::make_unique<Engine>(lab, shape));
    engines.back()->Start();
  }
  Engine& engine = *engines.front();
  bool late = false;
  engine.late_by = kLateBy;
  engine.order_is_late = [&](const Engine::Order& order) {
    return trouble && !late && order.load;
  };
  const auto executor = co_await boost::asio::this_coro::executor;
  engine.on_late_order = [&](const Engine::Order&) {
    late = true;
    boost::asio::co_spawn(executor, CrashAndRestart(lab, engine),
                          boost::asio::detached);
  };
  std::vector<Instance*> instances;
  for (int i = 1; i <= 3; ++i) {
    instances.push_back(
        &lab.Start("n" + std::to_string(i), "a-" + std::to_string(i), 10 + i));
  }
  for (Instance* instance : instances) {
    co_await lab.AwaitReady(*instance);
  }
  std::map<std::string, Counts> counts;
  std::map<std::string, bool> wanted;
  for (const char* model : {"m1", "m2"}) {
    counts[model];
    wanted[model] = std::string_view(model) == "m1";
    for (Instance* instance : instances) {
      boost::asio::co_spawn(
          executor, AskFor(lab, *instance, model, wanted[model], counts[model]),
          boost::asio::detached);
    }
  }
  co_await lab.Pause(6s);
  lab.Note("clients ask for m2 too");
  wanted["m2"] = true;
  const std::int64_t until = lab.Ms() + 4000;
  while (!late && lab.Ms() < until) {
    co_await lab.Pause(10ms);
  }
  co_await lab.Pause(200ms);
  lab.Note("clients ask for m1 alone again");
  wanted["m2"] = false;
  co_await lab.Pause(15s);
  std::size_t overloads = 0;
  for (const auto& one : engines) {
    overloads += one->overloads().size();
  }
  for (const auto& [model, count] : counts) {
    lab.Note(model + ": asked " + std::to_string(count.asked) + ", answered " +
             std::to_string(count.good));
  }
  lab.Note("orders to load more than an engine holds: " +
           std::to_string(overloads));
  if (counts["m1"].good == 0 || (trouble && !late)) {
    throw std::runtime_error("the case did not come about");
  }
  verdict = overloads > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, Play);
}
