#include "replay/crash_experiment.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/random.h"
#include "quarantine/crash_tracker.h"

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr Micros kTick = 50ms;
constexpr int kTicks = 72'000;
constexpr std::size_t kTargets = 18;
constexpr Micros kDownTime = 10s;
constexpr Micros kQuarantine = 600s;
// Ticks between two events on average.
constexpr std::uint64_t kTicksOfCrash = 1200;
constexpr std::uint64_t kTicksOfCulprit = 2400;
constexpr int kArrivalsPerTick = 2;
constexpr double kMeanRunSeconds = 4;
constexpr Micros kCulpritTime = 200ms;

struct Run {
  std::string digest;
  bool culprit = false;
  bool claimed = false;
  Instant end{};
};

struct Site {
  std::vector<Run> runs;
  Instant down_until{};
};

// A fleet of targets with one ledger, which stands for instances that have all
// been told.
class CrashRun {
 public:
  CrashRun(bool alone, std::uint64_t seed) : alone_(alone), random_(seed) {}

  boost::json::object Measure() {
    for (int tick = 0; tick < kTicks; ++tick) {
      now_ = kStart + tick * kTick;
      for (int i = 0; i < kArrivalsPerTick; ++i) {
        Send(NewRun(random_.OneIn(kTicksOfCulprit * kArrivalsPerTick)));
      }
      if (random_.OneIn(kTicksOfCrash)) {
        ++random_crashes_;
        Crash(random_.Below(kTargets));
      }
      EndRuns();
      SendWaiting();
    }
    return {{"suspects_run", alone_ ? "alone" : "together"},
            {"random_crashes", random_crashes_},
            {"culprits", culprits_},
            {"crashes_by_culprits", culprit_crashes_},
            {"suspects", suspects_},
            {"innocents_quarantined", innocents_quarantined_},
            {"longest_wait_s", static_cast<double>(longest_.count()) / 1e6}};
  }

 private:
  struct Waiting {
    Run run;
    Instant since{};
  };

  Run NewRun(bool culprit) {
    culprits_ += culprit ? 1 : 0;
    Run run;
    run.digest = (culprit ? "c" : "d") + std::to_string(next_++);
    run.culprit = culprit;
    return run;
  }

  Micros Length(bool culprit) {
    return culprit
               ? kCulpritTime
               : Micros(static_cast<std::int64_t>(
                     -std::log(1.0 - random_.Unit()) * kMeanRunSeconds * 1e6));
  }

  void Send(Run run) {
    std::size_t at = random_.Below(kTargets);
    while (sites_.at(at).down_until > now_) {
      at = (at + 1) % kTargets;
    }
    run.end = now_ + Length(run.culprit);
    sites_.at(at).runs.push_back(std::move(run));
  }

  void Crash(std::size_t at) {
    Site& site = sites_.at(at);
    site.down_until = now_ + kDownTime;
    const std::vector<Run> lost = std::exchange(site.runs, {});
    for (const auto& run : lost) {
      const Suspect suspect =
          ledger_.OnCrash(now_, run.digest, std::to_string(at), run.claimed,
                          now_ + kQuarantine);
      if (suspect.quarantined) {
        innocents_quarantined_ += run.culprit ? 0 : 1;
      } else {
        ++suspects_;
        waiting_.push_back({run, now_});
      }
    }
  }

  void EndRuns() {
    for (std::size_t at = 0; at < kTargets; ++at) {
      std::vector<Run>& runs = sites_.at(at).runs;
      const bool crash = std::any_of(
          runs.begin(), runs.end(),
          [&](const Run& run) { return run.culprit && run.end <= now_; });
      if (crash) {
        ++culprit_crashes_;
        Crash(at);
        continue;
      }
      std::erase_if(runs, [&](const Run& run) {
        if (run.end <= now_ && run.claimed) {
          ledger_.OnCleared(run.digest);
        }
        return run.end <= now_;
      });
    }
  }

  void SendWaiting() {
    while (!alone_ && !waiting_.empty()) {
      Run run = std::move(waiting_.front().run);
      waiting_.pop_front();
      run.claimed = true;
      Send(std::move(run));
    }
    for (std::size_t at = 0; at < kTargets && !waiting_.empty(); ++at) {
      Site& site = sites_.at(at);
      const bool taken =
          std::any_of(site.runs.begin(), site.runs.end(),
                      [](const Run& run) { return run.claimed; });
      if (site.down_until > now_ || taken) {
        continue;
      }
      Waiting next = std::move(waiting_.front());
      waiting_.pop_front();
      longest_ = std::max(longest_, Micros(now_ - next.since));
      next.run.claimed = true;
      next.run.end = now_ + Length(next.run.culprit);
      site.runs.push_back(std::move(next.run));
    }
  }

  bool alone_;
  Random random_;
  Instant now_{};
  CrashTracker ledger_;
  std::vector<Site> sites_ = std::vector<Site>(kTargets);
  std::deque<Waiting> waiting_;
  std::uint64_t next_ = 0;
  std::int64_t random_crashes_ = 0;
  std::int64_t culprits_ = 0;
  std::int64_t culprit_crashes_ = 0;
  std::int64_t suspects_ = 0;
  std::int64_t innocents_quarantined_ = 0;
  Micros longest_{};
};

}  // namespace

boost::json::array MeasureCrashes(std::uint64_t seed) {
  boost::json::array rows;
  rows.push_back(CrashRun(true, seed).Measure());
  rows.push_back(CrashRun(false, seed).Measure());
  return rows;
}

}  // namespace jackdaw
