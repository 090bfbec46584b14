#include "fleet/target_feed.h"

#include <algorithm>
#include <set>

namespace jackdaw::serving {
namespace {

// Time in which live targets register again after an outage of the store.
constexpr Micros kReregistrationTime = 2s;
// Longest time for which a target without an entry is kept, from the last call
// that the store did not serve. It is less than the time after which the
// instance must again be aware of all targets that have left, which is 3 s from
// the end of the outage.
constexpr Micros kMaxKeepTime = 2800ms;
// Time in which the store, back from an older copy, removes the entries of
// targets that are gone. One that it still has then belongs to a live target.
constexpr Micros kDoubtTime = 10s;

}  // namespace

void TargetFeed::OnStoreReconnected(Instant refused_at, Instant now) {
  keep_until_ = std::min(now + kReregistrationTime, refused_at + kMaxKeepTime);
}

void TargetFeed::OnStoreRestored(Instant now) {
  keep_until_ = now + kReregistrationTime;
  awaits_first_snapshot_ = true;
  in_doubt_.clear();
  for (auto& [id, known] : known_) {
    known.version = 0;
  }
}

void TargetFeed::Remove(const std::string& id, Instant now, Changes& changes) {
  const KnownTarget& known = known_[id];
  departed_.OnRemoved(id, known.born_ms, known.highest_version, now);
  known_.erase(id);
  missing_until_.erase(id);
  changes.removed.push_back(id);
}

void TargetFeed::OnMissing(const std::string& id,
                           Instant now,
                           Changes& changes) {
  in_doubt_.erase(id);
  if (!known_.contains(id)) {
    return;
  }
  if (now < keep_until_) {
    missing_until_.emplace(id, keep_until_);
    return;
  }
  Remove(id, now, changes);
}

// Returns whether the row was read before in this epoch of the store. A
// complete row is new if only the relayed one of the same version was read.
bool TargetFeed::IsKnown(const TargetRow& row) const {
  const auto covers = [&](std::int64_t version, bool complete) {
    return version > row.version ||
           (version == row.version && (complete || !row.complete));
  };
  const auto known = known_.find(row.id);
  const auto doubt = in_doubt_.find(row.id);
  return (known != known_.end() &&
          covers(known->second.version, known->second.complete)) ||
         (doubt != in_doubt_.end() &&
          covers(doubt->second.row.version, doubt->second.row.complete));
}

void TargetFeed::Apply(const TargetRow& row, Instant now, Changes& changes) {
  if (IsKnown(row)) {
    return;
  }
  if (!row.readable) {
    OnMissing(row.id, now, changes);
    return;
  }
  using Standing = DepartedTargets::Standing;
  const Standing standing = departed_.Judge(row, awaits_first_snapshot_);
  if (standing == Standing::kInDoubt) {
    in_doubt_[row.id] = {row, now + kDoubtTime};
    return;
  }
  if (standing == Standing::kDraining ||
      row.entry.state == TargetState::kDraining) {
    departed_.OnDraining(row, now);
    Accept(row, TargetState::kDraining, changes);
    return;
  }
  departed_.OnPresent(row.id);
  Accept(row, TargetState::kReady, changes);
}

void TargetFeed::Accept(const TargetRow& row,
                        TargetState state,
                        Changes& changes) {
  KnownTarget& known = known_[row.id];
  known.version = row.version;
  known.complete = row.complete;
  known.highest_version = std::max(known.highest_version, row.version);
  known.born_ms = std::max(known.born_ms, row.entry.born_ms);
  missing_until_.erase(row.id);
  in_doubt_.erase(row.id);
  changes.updated.push_back(row.entry);
  changes.updated.back().state = state;
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
  for (const auto& [id, known] : known_) {
    if (!present.contains(id)) {
      absent.push_back(id);
    }
  }
  for (const std::string& id : absent) {
    OnMissing(id, now, changes);
  }
  std::erase_if(in_doubt_, [&](const auto& item) {
    return !present.contains(item.first);
  });
  awaits_first_snapshot_ = false;
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

std::optional<Instant> TargetFeed::NextExpiry() const {
  std::optional<Instant> next;
  const auto add = [&](Instant until) {
    next = next ? std::min(*next, until) : until;
  };
  for (const auto& [id, until] : missing_until_) {
    add(until);
  }
  for (const auto& [id, doubt] : in_doubt_) {
    add(doubt.until);
  }
  return next;
}

TargetFeed::Changes TargetFeed::Expire(Instant now) {
  Changes changes;
  std::vector<std::string> missing;
  for (const auto& [id, until] : missing_until_) {
    if (now >= until) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    Remove(id, now, changes);
  }
  std::vector<TargetRow> confirmed;
  for (const auto& [id, doubt] : in_doubt_) {
    if (now >= doubt.until) {
      confirmed.push_back(doubt.row);
    }
  }
  for (const TargetRow& row : confirmed) {
    departed_.OnPresent(row.id);
    Accept(row, row.entry.state, changes);
  }
  return changes;
}

}  // namespace jackdaw::serving
