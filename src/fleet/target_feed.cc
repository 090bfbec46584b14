#include "fleet/target_feed.h"

#include <set>

namespace jackdaw::serving {
namespace {

// Time after the return of the store within which a missing entry may only
// have lapsed, and for which its target is kept.
constexpr Micros kLapsedTime = 1800ms;

}  // namespace

void TargetFeed::OnMissing(const std::string& id,
                           Instant now,
                           Changes& changes) {
  if (!known_.contains(id)) {
    return;
  }
  if (now - back_at_ < kLapsedTime) {
    missing_.emplace(id, now + kLapsedTime);
    return;
  }
  known_.erase(id);
  missing_.erase(id);
  changes.removed.push_back(id);
}

void TargetFeed::Take(const TargetRow& row, Instant now, Changes& changes) {
  const auto known = known_.find(row.id);
  if (known != known_.end() && known->second >= row.version) {
    return;
  }
  if (!row.readable) {
    OnMissing(row.id, now, changes);
    return;
  }
  known_[row.id] = row.version;
  missing_.erase(row.id);
  changes.updated.push_back(row.entry);
}

TargetFeed::Changes TargetFeed::OnWhole(const std::vector<TargetRow>& rows,
                                        Instant now) {
  Changes changes;
  std::set<std::string> present;
  for (const TargetRow& row : rows) {
    present.insert(row.id);
    Take(row, now, changes);
  }
  std::vector<std::string> absent;
  for (const auto& [id, version] : known_) {
    if (!present.contains(id)) {
      absent.push_back(id);
    }
  }
  for (const std::string& id : absent) {
    OnMissing(id, now, changes);
  }
  return changes;
}

TargetFeed::Changes TargetFeed::OnChanges(const std::vector<TargetRow>& rows,
                                          Instant now) {
  Changes changes;
  for (const TargetRow& row : rows) {
    Take(row, now, changes);
  }
  return changes;
}

std::vector<std::string> TargetFeed::Expire(Instant now) {
  std::vector<std::string> removed;
  std::erase_if(missing_, [&](const auto& item) {
    if (now < item.second) {
      return false;
    }
    known_.erase(item.first);
    removed.push_back(item.first);
    return true;
  });
  return removed;
}

}  // namespace jackdaw::serving
