#pragma once

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "budget/escrow_budget.h"
#include "replay/trace_world.h"
#include "store/memory_table.h"

namespace jackdaw {

/// Joins the escrow budgets of a replay: their rounds with a table in memory,
/// their messages to each other, and requests that wait for tokens.
class JoinedBudgets {
 public:
  static EscrowBudget MakeBudget(std::int64_t instance) {
    return EscrowBudget(NameOf(static_cast<std::size_t>(instance)), 1);
  }

  /// Takes in the budget of an instance and starts its rounds.
  void Join(TraceWorld& world, std::size_t instance, EscrowBudget& budget) {
    members_.push_back({&budget, true});
    InstanceEntry entry;
    entry.name = NameOf(instance);
    entry.incarnation = 1;
    entry.failure_domain = "domain-" + std::to_string(instance % kDomains);
    entries_.push_back(std::move(entry));
    Round(world, instance);
  }

  /// An instance died; the platform's list learns of it later.
  void Leave(TraceWorld& world, std::size_t instance) {
    members_[instance].alive = false;
    world.At(world.now() + kListLag, [this, name = NameOf(instance)] {
      std::erase_if(entries_,
                    [&](const auto& entry) { return entry.name == name; });
    });
  }

  /// Keeps a request that its budget could not take now.
  /// @param again called to try once more
  /// @returns false when it could not run in time
  template <typename Node, typename Again>
  bool Wait(TraceWorld& world,
            Node& node,
            const std::string& workspace,
            std::int64_t tokens,
            Instant arrived,
            Again again) {
    EscrowBudget& budget = node.admission.budget();
    const Instant now = world.now();
    const Instant deadline = arrived + kWaitTime;
    if (now >= deadline || budget.ReadyAt(now, workspace, tokens) > deadline) {
      return false;
    }
    budget.RequestTokens(now, workspace, tokens, tokens);
    for (std::size_t i = 0; i < members_.size(); ++i) {
      Send(world, i);
    }
    world.At(now + kLookTime, std::move(again));
    return true;
  }

 private:
  struct Member {
    EscrowBudget* budget;
    bool alive;
  };

  static constexpr std::size_t kDomains = 3;
  static constexpr Micros kRoundTime = 2s;
  // Time for which an instance may act on its view without another word.
  static constexpr Micros kConfirmedTime = 4s;
  static constexpr Micros kListLag = 10s;
  static constexpr Micros kWaitTime = 2s;
  static constexpr Micros kLookTime = 20ms;
  static constexpr Micros kFlightTime = 2ms;

  static std::string NameOf(std::size_t instance) {
    return "entry-" + std::to_string(instance);
  }

  void Round(TraceWorld& world, std::size_t index) {
    Member& member = members_[index];
    if (!member.alive) {
      return;
    }
    const Instant now = world.now();
    EscrowBudget& budget = *member.budget;
    budget.OnInstances(now, entries_, false);
    budget.OnConfirmed(now, now + kConfirmedTime);
    const auto rows = table_.Read(budget.BeginRound(now));
    const Transaction write = budget.OnRows(now, rows);
    if (!write.writes.empty()) {
      budget.OnCommit(now, table_.Apply(write));
    }
    Send(world, index);
    world.At(now + kRoundTime, [this, &world, index] { Round(world, index); });
  }

  void Send(TraceWorld& world, std::size_t from) {
    for (auto& message : members_[from].budget->TakeMessages()) {
      world.At(world.now() + kFlightTime, [this, &world, from, message] {
        Deliver(world, from, message);
      });
    }
  }

  void Deliver(TraceWorld& world,
               std::size_t from,
               const BudgetMessage& message) {
    for (std::size_t to = 0; to < members_.size(); ++to) {
      if (NameOf(to) != message.peer || !members_[to].alive) {
        continue;
      }
      std::visit(
          [&](const auto& body) {
            static_cast<void>(members_[to].budget->OnMessage(
                world.now(), NameOf(from), body));
          },
          message.body);
      Send(world, to);
    }
  }

  std::vector<Member> members_;
  std::vector<InstanceEntry> entries_;
  MemoryTable table_;
};

}  // namespace jackdaw
