#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "fleet/member_table.h"
#include "quota/loan_book.h"
#include "quota/unit_broker.h"

namespace jackdaw {

/// One instance of a run.
struct QuotaNode {
  /// Units that were asked for ahead of the demand.
  struct Ahead {
    double units = 0;
    Instant usable_until{};
    double demand_per_s = 0;
    Instant averaged_at{};
  };

  QuotaNode(std::string own_name,
            const serving::QuotaTolerance& tolerance,
            std::uint64_t seed)
      : name(std::move(own_name)), quotas(tolerance) {
    broker.emplace(quotas, name, seed);
  }

  std::string name;
  std::size_t failure_domain = 0;
  serving::LocalQuotas quotas;
  /// Of the running process.
  std::optional<serving::UnitBroker> broker;
  serving::LoanBook loans;
  /// Number of the process; a restart begins a new one.
  int boot = 0;
  std::int64_t heartbeats = 0;
  bool up = true;
  bool draining = false;
  /// The process stands still until then.
  Instant paused_until{};
  /// Number of the partition that the instance is in.
  int partition = 0;
  bool cut_from_leader = false;
  std::int64_t messages = 0;
  std::int64_t bytes = 0;
  std::map<std::string, Ahead> ahead;
  /// Of the equal parts: no peer is asked until then.
  std::map<std::string, Instant> no_lender_until;
};

}  // namespace jackdaw
