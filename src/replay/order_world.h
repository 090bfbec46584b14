#pragma once

#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/random.h"
#include "placement/copy_set.h"
#include "placement/target_controller.h"
#include "replay/order_engine.h"
#include "store/memory_table.h"

namespace jackdaw {

/// Two engines, three instances that contend for their leases, a table whose
/// answers get lost, and orders that are lost, late, doubled and reordered.
/// Instances are paused at any point, also between a look at the lease and
/// the order.
class OrderWorld {
 public:
  static constexpr int kTargets = 2;
  static constexpr int kInstances = 3;
  static constexpr int kModels = 4;
  static constexpr std::int64_t kModelMb = 30;
  // The network really behaves within these bounds, whatever the controllers
  // believe.
  static constexpr Micros kFlight = 3s;
  static constexpr Micros kPause = 40s;

  OrderWorld(std::uint64_t seed, bool checks_fence, OrderTiming believed)
      : random_(seed) {
    for (auto& engine : engines) {
      engine.capacity_mb = 100;
      engine.checks_fence = checks_fence;
      for (int m = 0; m < 2; ++m) {
        engine.slots[ModelItem(m)] = {kModelMb, ArtifactState::kResident, {}};
      }
    }
    for (int i = 0; i < kInstances; ++i) {
      for (int t = 0; t < kTargets; ++t) {
        controllers_.emplace_back(
            ControlledTarget{Name(t), 100, 5, checks_fence},
            "i" + std::to_string(i) + "/1", believed);
      }
    }
  }

  static Artifact ModelItem(int m) {
    return {ArtifactKind::kModel, "m" + std::to_string(m), 1};
  }
  static std::string Name(int t) { return "t" + std::to_string(t); }

  /// One step of 100 ms. @returns false once a promise was broken
  bool Step() {
    clock_.Advance(100ms);
    while (!due_.empty() && due_.top().at <= clock_.Now()) {
      const auto run = due_.top().run;
      due_.pop();
      run();
    }
    for (int i = 0; i < kInstances; ++i) {
      if (random_.OneIn(400)) {
        paused_[i] = clock_.Now() + Span(kPause);
      }
      if (paused_[i] <= clock_.Now()) {
        for (int t = 0; t < kTargets; ++t) {
          Act(i, t);
        }
      }
    }
    return Holds();
  }

  std::array<OrderEngine, kTargets> engines;
  int unloads = 0;
  int takeovers = 0;

 private:
  struct Event {
    Instant at;
    std::function<void()> run;
    bool operator<(const Event& other) const { return at > other.at; }
  };

  Micros Span(Micros bound) {
    return Micros(static_cast<std::int64_t>(
        random_.Below(static_cast<std::uint64_t>(bound.count()))));
  }
  void At(Instant at, std::function<void()> run) {
    due_.push({at, std::move(run)});
  }
  // Runs once the instance is not paused any more.
  void AtInstance(int i, Micros in, const std::function<void()>& run) {
    At(clock_.Now() + in, [this, i, run] {
      paused_[i] > clock_.Now() ? AtInstance(i, paused_[i] - clock_.Now(), run)
                                : run();
    });
  }
  TargetController& Controller(int i, int t) {
    return controllers_[static_cast<std::size_t>(i) * kTargets +
                        static_cast<std::size_t>(t)];
  }

  void Act(int i, int t) {
    auto& controller = Controller(i, t);
    if (random_.OneIn(4)) {
      ReadRow(controller);
    }
    const bool wanted = (ToMillis(clock_.Now()) / 60'000 + t) % kInstances == i;
    if (random_.OneIn(4)) {
      Write(i, controller, wanted || random_.OneIn(50));
    }
    if (random_.OneIn(6)) {
      AskReport(i, t);
    }
    Plan(controller, t);
    if (const auto order = controller.NextOrder(clock_.Now())) {
      Send(i, t, *order);
    }
  }

  void ReadRow(TargetController& controller) {
    const auto rows = table_.Read({{controller.lease().key()}, {}, 0});
    const LeaseRow row =
        rows.empty() ? LeaseRow{} : DecodeLease(rows[0].value).value();
    controller.OnRow(clock_.Now(), rows.empty() ? 0 : rows[0].version, row);
  }

  // A write takes effect at once, late or never, and its answer may be lost.
  void Write(int i, TargetController& controller, bool wanted) {
    const Instant asked_at = clock_.Now();
    const auto write = controller.NextWrite(asked_at, wanted);
    if (!write) {
      return;
    }
    if (random_.OneIn(12)) {
      controller.OnUnknown(asked_at);
      if (random_.OneIn(2)) {
        At(asked_at + Span(2s), [this, write] { table_.Apply(*write); });
      }
      return;
    }
    const Commit commit = table_.Apply(*write);
    if (random_.OneIn(12)) {
      controller.OnUnknown(asked_at);
      return;
    }
    AtInstance(i, Span(300ms), [this, &controller, commit, asked_at] {
      if (!commit.committed) {
        controller.OnConflict();
        return;
      }
      const auto fence = controller.lease().fence();
      controller.OnCommitted(clock_.Now(), asked_at, commit.version);
      takeovers += controller.lease().fence() != fence ? 1 : 0;
    });
  }

  void AskReport(int i, int t) {
    const Instant asked_at = clock_.Now();
    At(asked_at + Span(200ms), [this, i, t, asked_at] {
      const auto items = engines[t].Items(clock_.Now());
      AtInstance(i, Span(500ms), [this, i, t, asked_at, items] {
        Controller(i, t).OnReport(asked_at, items);
      });
    });
  }

  void Plan(TargetController& controller, int t) {
    const Instant now = clock_.Now();
    if (!controller.IsReady(now) || !random_.OneIn(5)) {
      return;
    }
    const int m = static_cast<int>(random_.Below(kModels));
    const Artifact item = ModelItem(m);
    if (!controller.memory().allocations().contains(item)) {
      controller.Load(now, item, kModelMb);
      return;
    }
    if (!controller.memory().IsReady(item)) {
      return;
    }
    CopySet set{item.name, 0, {}};
    const auto rows = table_.Read({{CopyKey(item.name)}, {}, 0});
    if (!rows.empty()) {
      set = DecodeCopySet(rows[0]).value();
    }
    if (!Contains(set, Name(t))) {
      table_.Apply(AddToCopySet(set, Name(t)));
    } else if (CanRemove(set, Name(t), [](auto) { return true; })) {
      table_.Apply(RemoveFromCopySet(set, Name(t)));
      unloads += controller.Unload(now, item) ? 1 : 0;
    }
  }

  // The holder may be paused before the order leaves; the order may be lost,
  // late or doubled; the outcome may stay unknown.
  void Send(int i, int t, const Order& order) {
    const Micros pause = random_.OneIn(5) ? Span(kPause) : 0us;
    if (pause > 0us) {
      paused_[i] = std::max(paused_[i], clock_.Now() + pause);
    }
    At(clock_.Now() + pause, [this, i, t, order] {
      const bool lost = random_.OneIn(5);
      const bool late = random_.OneIn(4);
      auto outcome = OrderOutcome::kUnknown;
      if (!lost && !late) {
        outcome = engines[t].Carry(clock_.Now(), order, Span(4s));
      }
      if (random_.OneIn(6)) {
        outcome = OrderOutcome::kUnknown;
      }
      for (int copy = 0; copy < 2; ++copy) {
        if (copy == 0 ? late : random_.OneIn(4)) {
          At(clock_.Now() + Span(kFlight), [this, t, order] {
            engines[t].Carry(clock_.Now(), order, Span(4s));
          });
        }
      }
      AtInstance(i, Span(300ms), [this, i, t, order, outcome] {
        Controller(i, t).OnOrderEnded(clock_.Now(), order.id, outcome);
      });
    });
  }

  bool Holds() {
    for (auto& engine : engines) {
      engine.Advance(clock_.Now());
      if (engine.overcommitted) {
        return false;
      }
    }
    for (int m = 0; m < 2; ++m) {
      bool served = false;
      for (const auto& engine : engines) {
        served = served || engine.Serves(ModelItem(m));
      }
      if (!served) {
        return false;
      }
    }
    return true;
  }

  Random random_;
  VirtualClock clock_{Instant{Micros(1'700'000'000'000'000)}};
  MemoryTable table_;
  std::vector<TargetController> controllers_;
  std::array<Instant, kInstances> paused_{};
  std::priority_queue<Event> due_;
};

}  // namespace jackdaw
