#include "fleet/departed_targets.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Time for which a departure is remembered; far longer than the age of a copy
// from which the store may come back.
constexpr Micros kDepartureLifetime = 600s;

}  // namespace

void DepartedTargets::OnDraining(const TargetRow& row, Instant now) {
  Departure& departure = departures_[row.id];
  departure.born_ms = std::max(departure.born_ms, row.entry.born_ms);
  departure.announced = true;
  departure.version = std::max(departure.version, row.version);
  departure.read_at = now;
  RemoveOld(now);
}

void DepartedTargets::OnRemoved(const std::string& id,
                                std::int64_t born_ms,
                                std::int64_t version,
                                Instant now) {
  Departure& departure = departures_[id];
  if (born_ms > departure.born_ms) {
    departure = {born_ms};
  }
  departure.version = std::max(departure.version, version);
  departure.read_at = now;
  RemoveOld(now);
}

void DepartedTargets::RemoveOld(Instant now) {
  std::erase_if(departures_, [&](const auto& item) {
    return now - item.second.read_at > kDepartureLifetime;
  });
}

// Numbers of versions are given out again in a later epoch, but none up to that
// of the copy. A higher number than any that was read of the entry therefore
// belongs to a later write.
DepartedTargets::Standing DepartedTargets::Judge(const TargetRow& row,
                                                 bool may_be_older) const {
  const auto found = departures_.find(row.id);
  if (found == departures_.end() || row.entry.born_ms > found->second.born_ms) {
    return Standing::kPresent;
  }
  if (found->second.announced) {
    return Standing::kDraining;
  }
  return may_be_older && row.version <= found->second.version
             ? Standing::kInDoubt
             : Standing::kPresent;
}

}  // namespace jackdaw::serving
