// The store turns the leader away for a while. Soon after that instance is
// back, an engine's entry is removed, and it goes on sending to the engine.
#include <map>
#include <set>
#include <string>

#include "case_main.h"
#include "even_load.h"

namespace review {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr int kRounds = 7;
// Engines that serve at a time.
constexpr int kEngines = 4;
constexpr jackdaw::Micros kTurnedAway = 5500ms;
// Time from then on to the removal of an entry, and to the next round.
constexpr jackdaw::Micros kToRemoval = 1100ms;
constexpr jackdaw::Micros kRest = 5s;
// Interval of the requests to each instance.
constexpr jackdaw::Micros kInterval = 10ms;
// The rule's bound, and the time after which an instance is in touch again.
constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kContactMs = 3000;

/// An engine whose entry was removed.
struct Left {
  std::int64_t acknowledged_ms = 0;
  std::set<std::string> turned_away;
  /// End of the time in which those instances were turned away.
  std::int64_t back_ms = 0;
};

// Returns the number of requests that reached an engine too late after it had
// left, sent on by instances that were in touch.
int CountLate(Fleet& fleet, const std::map<std::string, Left>& left) {
  const auto instance_of = InstancesOfAttempts(fleet);
  int late = 0;
  for (const auto& engine : fleet.engines()) {
    const auto found = left.find(engine->id());
    if (found == left.end()) {
      continue;
    }
    for (const Arrival& arrival : engine->arrivals()) {
      const std::string& by = instance_of.at(arrival.attempt);
      const std::int64_t after = arrival.at_ms - found->second.acknowledged_ms;
      const bool in_touch = !found->second.turned_away.contains(by) ||
                            arrival.at_ms > found->second.back_ms + kContactMs;
      if (after > kDrainMs && in_touch && arrival.ran) {
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
  bool stop = false;
  for (const auto& instance : fleet.instances()) {
    boost::asio::co_spawn(co_await boost::asio::this_coro::executor,
                          AskEvenly(fleet, *instance, kInterval, stop),
                          boost::asio::detached);
  }
  co_await fleet.Pause(5s);
  std::map<std::string, Left> left;
  for (std::size_t i = 0; i < kRounds; ++i) {
    Instance* leader = co_await Leader(fleet);
    Engine& engine = *fleet.engines()[i];
    const auto& instances = fleet.instances();
    Instance* other = instances[i % instances.size()].get();
    if (other == leader) {
      other = instances[(i + 1) % instances.size()].get();
    }
    leader->store_path->SetReset(trouble);
    other->store_path->SetReset(trouble);
    fleet.Note(trouble ? "turned away: " + leader->name + ", " + other->name
                       : "no disruption");
    co_await fleet.Pause(kTurnedAway);
    leader->store_path->SetReset(false);
    other->store_path->SetReset(false);
    const std::int64_t back_ms = fleet.NowMs();
    co_await fleet.Pause(kToRemoval);
    const std::int64_t acknowledged_ms = co_await engine.Withdraw();
    boost::asio::co_spawn(co_await boost::asio::this_coro::executor,
                          ExitLater(fleet, engine), boost::asio::detached);
    left[engine.id()] = {acknowledged_ms, {leader->name, other->name}, back_ms};
    fleet.Note(engine.id() + " has left, acknowledged");
    co_await fleet.Pause(kRest);
    AddPlainEngine(fleet);
  }
  stop = true;
  co_await fleet.Pause(2s);
  if (!fleet.AllLive()) {
    fleet.Note("a process has ended");
    co_return;
  }
  NoteAnswers(fleet);
  NoteCut(fleet, {});
  const int late = CountLate(fleet, left);
  fleet.Note("requests that came too late: " + std::to_string(late));
  verdict = late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
