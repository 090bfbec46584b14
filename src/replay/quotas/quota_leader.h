#pragma once

#include <deque>
#include <string>
#include <vector>

#include "fleet/part_plan.h"
#include "replay/quotas/quota_node.h"

namespace jackdaw {

/// The leader of a run: hears heartbeats, plans the parts and hands them out.
/// Every table that it plans counts as written to the store.
class QuotaLeader {
 public:
  struct Reply {
    std::optional<serving::PartGrant> grant;
    std::vector<std::string> members;
  };

  Reply OnHeartbeat(const serving::Member& member, Instant now) {
    members_.OnHeartbeat(member, now);
    Reply reply;
    const serving::PartTable& table = tables_.back();
    const serving::PartSet usable = table.UsableBy(member.name);
    if (table.epoch > 0 && table.epoch >= first_epoch_ &&
        (member.parts_epoch != table.epoch || member.parts != usable)) {
      reply.grant = serving::PartGrant{table.epoch, usable};
    }
    for (const serving::MemberRecord* record : members_.MayLive(now)) {
      if (record->member.state != serving::MemberState::kDraining) {
        reply.members.push_back(record->member.name);
      }
    }
    return reply;
  }

  void Plan(Instant now) {
    serving::PartTable next =
        serving::PlanParts(tables_.back(), members_, now, first_epoch_);
    if (next.epoch != tables_.back().epoch) {
      tables_.push_back(std::move(next));
    }
  }

  /// The store comes back without the last tables, and a new leader reads it.
  void Restore(std::size_t lost, Instant now) {
    constexpr std::int64_t kEpochs = 1'000'000;
    first_epoch_ += kEpochs;
    tables_.resize(tables_.size() - std::min(lost, tables_.size() - 1));
    members_.ForgetReports();
    for (const std::string& name : tables_.back().Names()) {
      serving::FleetMember expected;
      expected.name = name;
      members_.AddExpected(expected, now);
    }
  }

 private:
  serving::MemberTable members_;
  std::deque<serving::PartTable> tables_{serving::PartTable{}};
  std::int64_t first_epoch_ = 0;
};

}  // namespace jackdaw
