#include <array>

#include "replay/history.h"
#include "replay/once_world.h"
#include "replay/order_world.h"

namespace jackdaw {
namespace {

constexpr std::array<std::string_view, 3> kOnceMutants{
    "dispatch-after-giving-up", "run-pending", "table-without-checks"};
constexpr std::array<std::string_view, 1> kNoFlight{"no-flight-time"};
constexpr std::array<std::string_view, 1> kNoWait{"no-waiting-out"};

OnceMutant OnceMutantOf(std::string_view name) {
  if (name == kOnceMutants[0]) {
    return OnceMutant::kDispatchesAfterGivingUp;
  }
  if (name == kOnceMutants[1]) {
    return OnceMutant::kRunsPending;
  }
  return name == kOnceMutants[2] ? OnceMutant::kTableWithoutChecks
                                 : OnceMutant::kNone;
}

// Calls that may run at most once, at three instances.
class OnceHistory {
 public:
  OnceHistory(std::uint64_t seed, std::string_view mutant)
      : world_(seed, OnceMutantOf(mutant)) {}

  std::string Step() {
    world_.StepOnce();
    return "ran " + std::to_string(world_.ran()) + ", replayed " +
           std::to_string(world_.replayed()) + ", refused as not run " +
           std::to_string(world_.refused_no());
  }
  void Check() const {
    CheckInvariant(world_.doubled() == 0, "no call runs twice");
    CheckInvariant(world_.false_no() == 0, "a call told not run did not run");
  }

 private:
  OnceWorld world_;
};

// Orders to engines by instances that contend for their leases.
template <bool kChecksFence>
class OrderHistory {
 public:
  OrderHistory(std::uint64_t seed, std::string_view mutant)
      : world_(seed, kChecksFence, TimingOf(mutant)) {}

  std::string Step() {
    holds_ = world_.Step();
    return "takeovers " + std::to_string(world_.takeovers) + ", unloads " +
           std::to_string(world_.unloads);
  }
  void Check() const {
    CheckInvariant(holds_, "no engine is overcommitted, no last copy lost");
  }

 private:
  static constexpr Micros kLeaseTerm = 15s;

  static OrderTiming TimingOf(std::string_view mutant) {
    const Micros flight = mutant.empty() ? OrderWorld::kFlight : Micros(0);
    const Micros pause = mutant == kNoWait[0] ? Micros(0) : OrderWorld::kPause;
    return {kLeaseTerm, flight, pause};
  }

  OrderWorld world_;
  bool holds_ = true;
};

static_assert(HistoryWorld<OnceHistory> && HistoryWorld<OrderHistory<true>>);

constexpr std::array kKinds{
    HistoryKind{"once", RunHistory<OnceHistory>, kOnceMutants},
    HistoryKind{"orders-fenced", RunHistory<OrderHistory<true>>, kNoFlight},
    HistoryKind{"orders-unfenced", RunHistory<OrderHistory<false>>, kNoWait},
};

}  // namespace

std::span<const HistoryKind> HistoryKinds() {
  return kKinds;
}

}  // namespace jackdaw
