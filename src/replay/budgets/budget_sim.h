#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "replay/budgets/case.h"
#include "replay/budgets/central_bucket.h"
#include "replay/budgets/event_queue.h"
#include "replay/budgets/figures.h"
#include "replay/budgets/node.h"
#include "replay/budgets/workload.h"
#include "store/memory_table.h"

namespace jackdaw {

/// Runs the real budget code of many instances in virtual time, against a
/// table in memory and a network that delays and loses.
template <BudgetScheme Budget>
class BudgetSim {
 public:
  using Node = BudgetNode<Budget>;

  BudgetSim(const BudgetRun& run, const BudgetCase& shape, BudgetWay way);
  BudgetFigures Run();

 private:
  static constexpr bool kEscrow = std::is_same_v<Budget, EscrowBudget>;

  void AddNodes(BudgetWay way);
  void StartFault();
  void EndFault();
  void Halve();
  void Lose(std::size_t count);
  bool InFault() const;
  std::vector<std::int64_t>& Excess();
  bool Reaches(const Node& node) const;

  void Arrive();
  Node* PickNode();
  void Offer(Node& node, const LoadRequest& load);
  void Settle(Node& node, const PendingRequest& request, bool granted);
  void Look(Node& node);
  void AfterChange(Node& node);

  void PollConfig(Node& node);
  void ApplyConfig(Node& node);
  void Probe(Node& node);
  void Round(Node& node);
  void Write(Node& node, const Transaction& transaction);
  void Send(Node& from, const BudgetMessage& message);
  void CheckSums();
  void Guard(Node& node, const std::function<void()>& act);

  BudgetRun run_;
  BudgetCase shape_;
  BudgetLoad load_;
  Random random_;
  EventQueue events_;
  Instant start_;
  MemoryTable table_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<InstanceEntry> listed_;
  std::vector<CentralBucket> spent_;
  std::vector<CentralBucket> ideal_;
  // Refusals of each workspace beyond those of the ideal bucket.
  std::vector<std::int64_t> excess_;
  std::vector<std::int64_t> start_excess_;
  std::shared_ptr<FleetConfig> config_;
  BudgetFigures figures_;
};

extern template class BudgetSim<EscrowBudget>;
extern template class BudgetSim<EqualSplit>;

/// Runs one case one way.
BudgetFigures RunBudgets(const BudgetRun& run,
                         const BudgetCase& shape,
                         BudgetWay way);

}  // namespace jackdaw
