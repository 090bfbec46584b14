// The store turns the leader away. Other instances, which it serves, learn too
// late that an engine drains.
#include <map>
#include <string>

#include "case_main.h"
#include "even_load.h"

namespace review {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr int kRounds = 10;
// Engines that serve at a time.
constexpr int kEngines = 4;
// Time for which the store turns the leader away, and from then on to the next
// round, by when the instance is in touch again.
constexpr jackdaw::Micros kTurnedAway = 7s;
constexpr jackdaw::Micros kRest = 2500ms;
// Interval of the requests to each instance.
constexpr jackdaw::Micros kInterval = 10ms;
// The rule's bound.
constexpr std::int64_t kDrainMs = 2000;

/// An engine that drains, and the instance that is turned away meanwhile.
struct Leaving {
  std::int64_t acknowledged_ms = 0;
  std::string turned_away;
};

// Waits until the leader has renewed its lease once more.
Task AwaitRenewal(Fleet& fleet) {
  const std::string before = co_await fleet.ReadRow("leader");
  std::string now = before;
  while (now == before) {
    co_await fleet.Pause(20ms);
    now = co_await fleet.ReadRow("leader");
  }
}

// Returns the number of requests that reached a draining engine too late, sent
// on by instances that were in touch.
int CountLate(Fleet& fleet, const std::map<std::string, Leaving>& leaving) {
  const auto instance_of = InstancesOfAttempts(fleet);
  int late = 0;
  for (const auto& engine : fleet.engines()) {
    const auto found = leaving.find(engine->id());
    if (found == leaving.end()) {
      continue;
    }
    for (const Arrival& arrival : engine->arrivals()) {
      const std::int64_t after = arrival.at_ms - found->second.acknowledged_ms;
      const std::string& by = instance_of.at(arrival.attempt);
      if (after > kDrainMs && arrival.ran && by != found->second.turned_away) {
        ++late;
        fleet.Note("late: " + arrival.attempt + " reached " + engine->id() +
                   " from " + by + " " + std::to_string(after) +
                   " ms after the acknowledgement");
      }
    }
  }
  return late;
}

Task Play(Fleet& fleet, bool trouble, int& verdict) {
  co_await StartPlainFleet(fleet, kEngines);
  auto& instances = fleet.instances();
  bool stop = false;
  for (const auto& instance : instances) {
    boost::asio::co_spawn(co_await boost::asio::this_coro::executor,
                          AskEvenly(fleet, *instance, kInterval, stop),
                          boost::asio::detached);
  }
  co_await fleet.Pause(5s);
  std::map<std::string, Leaving> leaving;
  for (int i = 0; i < kRounds; ++i) {
    co_await AwaitRenewal(fleet);
    Instance* leader = co_await Leader(fleet);
    Engine& engine = *fleet.engines()[static_cast<std::size_t>(i)];
    if (trouble) {
      leader->store_path->SetCut(true);
    }
    const std::int64_t acknowledged_ms = co_await engine.Drain();
    boost::asio::co_spawn(co_await boost::asio::this_coro::executor,
                          ExitLater(fleet, engine), boost::asio::detached);
    leaving[engine.id()] = {acknowledged_ms, leader->name};
    fleet.Note(engine.id() + " drains, acknowledged" +
               (trouble ? "; turned away: " + leader->name : ""));
    co_await fleet.Pause(kTurnedAway);
    AddPlainEngine(fleet);
    leader->store_path->SetCut(false);
    co_await fleet.Pause(kRest);
  }
  stop = true;
  co_await fleet.Pause(2s);
  if (!fleet.AllLive()) {
    fleet.Note("a process has ended");
    co_return;
  }
  NoteAnswers(fleet);
  std::map<std::string, std::string> excused;
  for (const auto& [engine, news] : leaving) {
    excused[engine] = news.turned_away;
  }
  NoteCut(fleet, excused);
  const int late = CountLate(fleet, leaving);
  fleet.Note("requests that came too late: " + std::to_string(late));
  verdict = late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
