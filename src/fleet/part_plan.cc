#include "fleet/part_plan.h"

#include <algorithm>
#include <map>
#include <span>

namespace jackdaw::serving {
namespace {

// Parts of a pool that may move at a time.
constexpr std::size_t kMaxMovesPerPool = 2;

using Counts = std::map<std::string, std::size_t, std::less<>>;

bool WasHeard(const MemberRecord& record) {
  return !record.member.boot_id.empty();
}

// Returns whether an instance certainly uses no parts: it has left, or was
// silent for so long that its parts have lapsed.
bool IsReclaimed(const MemberRecord* record, Instant now) {
  return record == nullptr || record->member.state == MemberState::kGone ||
         now - record->learned_at > kPartsReclaimTimeout;
}

/// One plan of the table.
class PartPlanner {
 public:
  PartPlanner(const PartTable& current,
              const MemberTable& members,
              Instant now,
              std::int64_t first_epoch)
      : members_(members),
        now_(now),
        is_older_(current.epoch < first_epoch),
        next_(current) {
    next_.epoch = std::max(current.epoch + 1, first_epoch);
    for (const MemberRecord* record : members.MayLive(now)) {
      // A member may know a later table, which the store has lost.
      const std::int64_t confirmed = record->member.parts_epoch;
      is_older_ = is_older_ || confirmed > current.epoch;
      next_.epoch = std::max(next_.epoch, confirmed + 1);
      live_.emplace(record->member.name, record->member.state);
      all_heard_ = all_heard_ && WasHeard(*record);
      if (record->member.state != MemberState::kDraining) {
        candidates_.push_back(record->member.name);
      }
    }
  }

  // Whether live instances may hold parts that are not known yet.
  bool MustWait() const {
    return candidates_.empty() || (is_older_ && !all_heard_);
  }

  PartTable Plan() {
    if (is_older_) {
      TakeClaims();
    }
    next_.parts.resize(kQuotaParts);
    for (PartEntry& entry : next_.parts) {
      Release(entry);
    }
    for (std::size_t pool = 0; pool < kQuotaPools; ++pool) {
      PlanPool(pool);
    }
    return std::move(next_);
  }

 private:
  // Gives each part to the live instance that says it uses it. A part that
  // nobody claims may be used by any instance that was not heard.
  void TakeClaims() {
    next_.parts.assign(kQuotaParts, {});
    std::vector<std::string> unheard;
    for (const auto& [name, record] : members_.all()) {
      if (IsReclaimed(&record, now_)) {
        continue;
      }
      if (!WasHeard(record) || !record.member.parts) {
        unheard.push_back(name);
        continue;
      }
      for (std::size_t i = 0; i < kQuotaParts; ++i) {
        if (record.member.parts->test(i)) {
          Claim(next_.parts[i], name);
        }
      }
    }
    for (PartEntry& entry : next_.parts) {
      if (entry.holder.empty()) {
        entry.releasing = unheard;
        entry.since_epoch = next_.epoch;
      }
    }
  }

  void Claim(PartEntry& entry, const std::string& name) const {
    entry.since_epoch = next_.epoch;
    if (entry.holder.empty()) {
      entry.holder = name;
    } else {
      entry.releasing.push_back(name);
    }
  }

  // Drops those who certainly do not use the part any more.
  void Release(PartEntry& entry) const {
    std::erase_if(entry.releasing, [&](const std::string& name) {
      const MemberRecord* record = members_.Find(name);
      return IsReclaimed(record, now_) ||
             (WasHeard(*record) &&
              record->member.parts_epoch >= entry.since_epoch);
    });
    if (IsReclaimed(members_.Find(entry.holder), now_)) {
      entry.holder.clear();
    }
  }

  std::span<PartEntry> PartsOf(std::size_t pool) {
    return std::span(next_.parts).subspan(pool * kPartsPerPool, kPartsPerPool);
  }

  // A part is given only to an instance that was heard.
  bool MayTake(const std::string& name) const {
    const MemberRecord* record = members_.Find(name);
    return record != nullptr && WasHeard(*record);
  }

  // Returns how many parts of the pool each instance is to hold.
  Counts WantedCounts(std::size_t pool) const {
    const std::vector<std::size_t> ranked = RankHolders(pool, candidates_);
    Counts wanted;
    for (std::size_t i = 0; i < kPartsPerPool; ++i) {
      ++wanted[candidates_[ranked[i % ranked.size()]]];
    }
    return wanted;
  }

  void PlanPool(std::size_t pool) {
    // Parts that each instance lacks; those that it has too many of.
    Counts lacking = WantedCounts(pool);
    Counts excess;
    std::size_t moving = 0;
    for (const PartEntry& entry : PartsOf(pool)) {
      moving += entry.releasing.empty() ? 0 : 1;
      if (entry.holder.empty()) {
        continue;
      }
      const auto found = lacking.find(entry.holder);
      if (found != lacking.end() && found->second > 0) {
        --found->second;
      } else {
        ++excess[entry.holder];
      }
    }
    const auto next_holder = [&] {
      return std::ranges::find_if(lacking, [&](const auto& item) {
        return item.second > 0 && MayTake(item.first);
      });
    };
    for (PartEntry& entry : PartsOf(pool)) {
      const auto taker = next_holder();
      if (taker == lacking.end()) {
        return;
      }
      if (!entry.holder.empty()) {
        const auto giver = excess.find(entry.holder);
        if (giver == excess.end() || giver->second == 0 ||
            !MayMove(entry, pool, moving)) {
          continue;
        }
        --giver->second;
        ++moving;
        entry.releasing.push_back(entry.holder);
      }
      entry.holder = taker->first;
      entry.since_epoch = next_.epoch;
      --taker->second;
    }
  }

  // A part is moved if its holder can confirm that soon. Those of an instance
  // that drains, or holds several, move all at once: the first is no longer
  // asked for them, and the second is one of a few that the fleet began with.
  bool MayMove(const PartEntry& entry, std::size_t pool, std::size_t moving) {
    const auto holder = live_.find(entry.holder);
    if (holder == live_.end() || !entry.releasing.empty()) {
      return false;
    }
    const auto held =
        std::ranges::count(PartsOf(pool), entry.holder, &PartEntry::holder);
    return holder->second == MemberState::kDraining || held > 1 ||
           moving < kMaxMovesPerPool;
  }

  const MemberTable& members_;
  Instant now_;
  bool is_older_;
  bool all_heard_ = true;
  std::map<std::string, MemberState, std::less<>> live_;
  /// Names of the instances that can hold parts.
  std::vector<std::string> candidates_;
  PartTable next_;
};

}  // namespace

PartTable PlanParts(const PartTable& current,
                    const MemberTable& members,
                    Instant now,
                    std::int64_t first_epoch) {
  PartPlanner planner(current, members, now, first_epoch);
  if (planner.MustWait()) {
    return current;
  }
  PartTable next = planner.Plan();
  return next.parts == current.parts ? current : next;
}

}  // namespace jackdaw::serving
