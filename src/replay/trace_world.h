#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/invariant.h"
#include "decisions/admission.h"
#include "replay/budget_auditor.h"
#include "replay/fake_engine.h"
#include "replay/figures.h"
#include "replay/trace.h"

namespace jackdaw {

/// Instances that a trace is replayed with.
inline constexpr std::int64_t kTraceInstances = 8;

/// The fleet that a trace runs against, apart from the policies: events in
/// virtual time, engines, and the figures.
class TraceWorld {
 public:
  using Action = std::function<void()>;

  explicit TraceWorld(const TraceShape& shape);

  Instant now() const { return clock_.Now(); }
  const FleetConfigPtr& config() const { return config_; }
  std::map<std::string, FakeEngine, std::less<>>& engines() { return engines_; }
  BudgetAuditor& auditor() { return auditor_; }
  Figures& figures() { return figures_; }

  /// Runs an action at a moment; those of one moment run in order.
  void At(Instant when, Action action);
  /// Runs every action up to and with `end`.
  void RunUntil(Instant end);

  /// Marks a key withdrawn in a new configuration.
  void WithdrawKey(std::string_view workspace);

  /// Counts a request that came in.
  void CountRequest(const std::string& workspace);
  /// Counts a request that was served.
  void CountServed(const std::string& workspace,
                   Micros first_token,
                   Micros between_tokens);
  /// Ends the figures. @param seconds length of the trace
  Figures Finish(double seconds);

 private:
  struct Scheduled {
    Instant when;
    std::uint64_t order;
    Action action;
    bool operator>(const Scheduled& other) const {
      return std::tie(when, order) > std::tie(other.when, other.order);
    }
  };
  struct PerWorkspace {
    std::uint64_t requests = 0;
    std::uint64_t attained = 0;
  };

  VirtualClock clock_;
  FleetConfigPtr config_;
  std::map<std::string, FakeEngine, std::less<>> engines_;
  BudgetAuditor auditor_;
  Figures figures_;
  std::map<std::string, PerWorkspace> workspaces_;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> queue_;
  std::uint64_t next_order_ = 0;
};

/// Name of the key of a workspace in the world's configuration.
std::string TraceKey(std::string_view workspace);

}  // namespace jackdaw
