#include "fleet/target_feed.h"

#include <set>

namespace jackdaw::serving {
namespace {

// Time in which live targets register again after an outage of the store. An
// entry that is found missing within this time after the outage may only have
// expired; its target is kept for as long again.
constexpr Micros kReregistrationTime = 1800ms;

}  // namespace

void TargetFeed::OnStoreRestored(Instant now) {
  OnStoreReconnected(now);
  for (auto& [id, version] : versions_) {
    version = 0;
  }
}

void TargetFeed::OnMissing(const std::string& id,
                           Instant now,
                           Changes& changes) {
  if (!versions_.contains(id)) {
    return;
  }
  if (now - reconnected_at_ < kReregistrationTime) {
    missing_until_.emplace(id, now + kReregistrationTime);
    return;
  }
  versions_.erase(id);
  missing_until_.erase(id);
  changes.removed.push_back(id);
}

void TargetFeed::Apply(const TargetRow& row, Instant now, Changes& changes) {
  const auto known = versions_.find(row.id);
  if (known != versions_.end() && known->second >= row.version) {
    return;
  }
  if (!row.readable) {
    OnMissing(row.id, now, changes);
    return;
  }
  versions_[row.id] = row.version;
  missing_until_.erase(row.id);
  changes.updated.push_back(row.entry);
}

TargetFeed::Changes TargetFeed::OnSnapshot(const std::vector<TargetRow>& rows,
                                           Instant now) {
  Changes changes;
  std::set<std::string> present;
  for (const TargetRow& row : rows) {
    present.insert(row.id);
    Apply(row, now, changes);
  }
  std::vector<std::string> absent;
  for (const auto& [id, version] : versions_) {
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
    Apply(row, now, changes);
  }
  return changes;
}

std::vector<std::string> TargetFeed::Expire(Instant now) {
  std::vector<std::string> removed;
  std::erase_if(missing_until_, [&](const auto& item) {
    if (now < item.second) {
      return false;
    }
    versions_.erase(item.first);
    removed.push_back(item.first);
    return true;
  });
  return removed;
}

}  // namespace jackdaw::serving
