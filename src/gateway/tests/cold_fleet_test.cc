// Tests that instances which know of each other only by late messages keep the
// bound of a target that becomes cold, and that they use it.
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "gateway/target_registry.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
// The bound is 24.5 requests a second.
constexpr double kPerSecond = 13;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5;
constexpr double kBound = kPerSecond * kOvershoot + kSlack;
// Demand for the one target, over all instances.
constexpr double kDemandPerSecond = 150;
constexpr Micros kColdTime = 3s;
constexpr Micros kColdInterval = 5s;
// Delay of a message, and of a notice, which waits for others first.
constexpr Micros kDelay = 4ms;
constexpr Micros kNoticeDelay = 6ms;
constexpr Micros kLease = 3s;
constexpr Micros kRenewInterval = 600ms;
constexpr Micros kFailAt = 20s;
constexpr Micros kEnd = 40s;

enum class Failure : std::uint8_t {
  kNone,
  kKilled,
  kCutOff,
  /// Another instance reaches only the target.
  kSplit,
  kPaused,
  kLate
};

/// A fleet of registries in virtual time. Instance 0 leads first, and 1 after
/// it has failed.
class ColdFleet {
 public:
  ColdFleet(std::size_t size, std::uint64_t seed) : random_(seed) {
    Service service;
    service.name = "s";
    service.cold_time = kColdTime;
    service.cold_per_second = kPerSecond;
    entry_.id = "t";
    entry_.service = "s";
    entry_.born_ms = 1;
    for (std::size_t i = 0; i < size; ++i) {
      nodes_.push_back(std::make_unique<Node>());
      Node& node = *nodes_.back();
      node.clock_offset = Within(0s, 3600s);
      node.registry.SetColdLimits({&service, 1}, kOvershoot, kSlack);
      node.registry.Update(entry_);
    }
  }

  void Run(Failure failure) {
    failure_ = failure;
    At(0s, [this] { Renew(); });
    At(0s, [this] { Contact(); });
    At(0s, [this] { NextRequest(); });
    At(kColdInterval, [this] { TurnCold(); });
    while (!events_.empty() && events_.begin()->first < kEnd) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
  }

  /// Returns the largest number of arrivals within a second.
  std::size_t Worst() const {
    std::size_t worst = 0;
    for (auto first = arrivals_.begin(); first != arrivals_.end(); ++first) {
      const auto end = arrivals_.lower_bound(*first + 1s);
      worst =
          std::max(worst, static_cast<std::size_t>(std::distance(first, end)));
    }
    return worst;
  }
  /// Returns the share of the bound that was used in a time.
  double Used(Micros from, Micros to) const {
    const auto count =
        std::distance(arrivals_.lower_bound(from), arrivals_.lower_bound(to));
    return static_cast<double>(count) /
           (std::chrono::duration<double>(to - from).count() * kBound);
  }

 private:
  struct Node {
    TargetRegistry registry{"here"};
    Micros clock_offset{};
  };

  void At(Micros at, std::function<void()> run) {
    events_.emplace(at, std::move(run));
  }
  Micros Within(Micros low, Micros high) {
    return Micros(std::uniform_int_distribution<std::int64_t>(
        low.count(), high.count())(random_));
  }
  Instant Local(std::size_t i) const {
    return kStart + now_ + nodes_[i]->clock_offset;
  }
  Target& TargetAt(std::size_t i) { return *nodes_[i]->registry.Find("t"); }
  bool Failed(std::size_t i) const {
    const std::size_t failed = failure_ == Failure::kSplit ? 2 : 0;
    return i == failed && failure_ != Failure::kNone && now_ >= kFailAt;
  }
  /// Returns the end of the pause of an instance, or now.
  Micros PausedUntil(std::size_t i) const {
    if (!Failed(i) || failure_ < Failure::kPaused) {
      return now_;
    }
    const Micros pause = failure_ == Failure::kPaused ? 6s : 1s;
    return std::max(now_, kFailAt + pause);
  }
  /// Runs an event of an instance, after its pause if there is one. Then it
  /// reads the notices last, which is the worst order.
  void Handle(std::size_t i, bool notice, std::function<void()> run) {
    if (i == 0 && failure_ == Failure::kKilled && Failed(i)) {
      return;
    }
    const Micros at = PausedUntil(i);
    at == now_ ? run() : At(at + (notice ? 1ms : 0ms), std::move(run));
  }
  bool Reaches(std::size_t i) const {
    return !Failed(i) ||
           (failure_ >= Failure::kPaused && PausedUntil(i) == now_);
  }
  bool Split(std::size_t i) const {
    return failure_ == Failure::kSplit && Failed(i);
  }

  std::size_t Leader() const {
    const bool changed =
        failure_ != Failure::kNone && failure_ != Failure::kLate &&
        failure_ != Failure::kSplit && now_ > kFailAt + kLease + 300ms;
    return changed ? 1 : 0;
  }
  void Renew() {
    At(now_ + kRenewInterval, [this] { Renew(); });
    const std::size_t leader = Leader();
    const bool renews = !Failed(leader) || (failure_ == Failure::kLate &&
                                            PausedUntil(leader) == now_);
    if (renews) {
      TargetRegistry& registry = nodes_[leader]->registry;
      if (!registry.DecidesLimitedSends(Local(leader))) {
        registry.RestartRateLimits(Local(leader));
      }
      registry.AllowLimitedSends(Local(leader) + kLease / 2);
    }
  }
  void Contact() {
    At(now_ + 1s, [this] { Contact(); });
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!Failed(i) || failure_ == Failure::kLate) {
        nodes_[i]->registry.OnContact(Local(i));
      }
    }
  }
  void TurnCold() {
    At(now_ + kColdInterval, [this] { TurnCold(); });
    ++entry_.row_version;
    entry_.cold_remaining = kColdTime;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const Micros delay = i == Leader() ? 100ms : Within(400ms, 1100ms);
      At(now_ + delay, [this, i, row = entry_] {
        if (Reaches(i)) {
          nodes_[i]->registry.OnColdRow(row, Local(i));
        }
      });
    }
  }

  void NextRequest() {
    const double wait =
        std::exponential_distribution<double>(kDemandPerSecond)(random_);
    At(now_ + Micros(static_cast<std::int64_t>(wait * 1e6) + 1),
       [this] { NextRequest(); });
    const auto i = static_cast<std::size_t>(random_() % nodes_.size());
    Handle(i, false, [this, i] { OnRequest(i); });
  }
  void OnRequest(std::size_t i) {
    const RequestMetadata call;
    TargetQuery query;
    query.service = "s";
    query.call = &call;
    const TargetPick pick = nodes_[i]->registry.Pick(query, Local(i));
    if (pick.outcome == PickOutcome::kChosen) {
      Send(i, false);
    } else if (pick.target != nullptr) {
      Ask(i);
    }
  }
  void Ask(std::size_t i) {
    if (Split(i)) {
      return;
    }
    const std::size_t leader = Leader();
    const Instant use_until = Local(i) + SendWindow::kSendTime;
    const RateLimitReport known =
        TargetRegistry::RateLimitOf(TargetAt(i), Local(i));
    At(now_ + (i == leader ? 0ms : kDelay), [=, this] {
      Handle(leader, false, [=, this] {
        TargetRegistry& registry = nodes_[leader]->registry;
        registry.AddRateLimits({&known, 1}, Local(leader));
        if (registry.DecidesLimitedSends(Local(leader)) &&
            registry.TryTakeSend(TargetAt(leader), Local(leader))) {
          At(now_ + (i == leader ? 0ms : kDelay), [=, this] {
            Handle(i, false, [=, this] {
              if (Local(i) <= use_until) {
                Send(i, true);
              }
            });
          });
        }
      });
    });
  }
  void Send(std::size_t i, bool granted) {
    if (!nodes_[i]->registry.TakeSend(TargetAt(i), granted, Local(i))) {
      return;
    }
    // One in twenty waits for its connection.
    const Micros connecting =
        random_() % 20 == 0 ? Within(0ms, SendWindow::kSendTime - 2 * kDelay)
                            : Micros(0);
    arrivals_.insert(now_ + connecting + Within(kDelay, kDelay + 2ms));
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      if (other != i && !Split(i) && !Split(other)) {
        At(now_ + kNoticeDelay, [this, other, granted] {
          Handle(other, true, [this, other, granted] {
            nodes_[other]->registry.OnPeerSend(TargetDigest("t"), granted,
                                               Local(other));
          });
        });
      }
    }
  }

  std::mt19937_64 random_;
  TargetRegistration entry_;
  std::vector<std::unique_ptr<Node>> nodes_;
  Failure failure_ = Failure::kNone;
  Micros now_{};
  std::multimap<Micros, std::function<void()>> events_;
  std::multiset<Micros> arrivals_;
};

void ExpectBoundKept(Failure failure, std::size_t size) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    ColdFleet fleet(size, seed);
    fleet.Run(failure);
    BOOST_TEST_CONTEXT("instances " << size << " seed " << seed) {
      BOOST_TEST_MESSAGE("failure " << static_cast<int>(failure) << " of "
                                    << size << ": worst " << fleet.Worst()
                                    << ", used " << fleet.Used(2s, kFailAt)
                                    << " and " << fleet.Used(28s, kEnd));
      BOOST_TEST(static_cast<double>(fleet.Worst()) <= kBound);
      BOOST_TEST(fleet.Used(2s, kFailAt) >= 0.8);
      BOOST_TEST(fleet.Used(28s, kEnd) >= 0.8);
    }
  }
}

void ExpectBoundKept(Failure failure) {
  for (const std::size_t size : {8, 65, 90, 295}) {
    ExpectBoundKept(failure, size);
  }
}

BOOST_AUTO_TEST_SUITE(ColdTarget)

BOOST_AUTO_TEST_CASE(BoundIsKeptAndUsedWhileATargetTurnsColdAgainAndAgain) {
  ExpectBoundKept(Failure::kNone);
}

BOOST_AUTO_TEST_CASE(NextLeaderDoesNotAddToWhatAKilledOneHasGranted) {
  ExpectBoundKept(Failure::kKilled);
}

BOOST_AUTO_TEST_CASE(LeaderThatIsCutOffFromTheStoreDoesNotGrantBesideTheNext) {
  ExpectBoundKept(Failure::kCutOff);
}

BOOST_AUTO_TEST_CASE(InstanceThatReachesOnlyTheTargetDoesNotAddTooMuch) {
  ExpectBoundKept(Failure::kSplit);
}

BOOST_AUTO_TEST_CASE(LeaderThatGoesOnAfterAPauseDoesNotGrantBesideTheNext) {
  ExpectBoundKept(Failure::kPaused);
}

BOOST_AUTO_TEST_CASE(LeaderThatMissedNoticesInAPauseDoesNotGrantTooMuch) {
  ExpectBoundKept(Failure::kLate);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jackdaw::serving
