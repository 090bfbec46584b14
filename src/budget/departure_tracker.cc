#include "budget/departure_tracker.h"

#include "budget/timing.h"

namespace jackdaw {
namespace {

// Listed names after which an instance stops; each name has as many listed
// watchers.
constexpr int kListedPerWatcher = 2;
// Maximum number of names that one instance watches at a time.
constexpr std::size_t kMaxWatched = 8;

}  // namespace

void DepartureTracker::OnInstanceList(
    Instant now,
    const std::vector<InstanceEntry>& instances) {
  // An empty list indicates a fault of the platform rather than the end of
  // every instance.
  if (instances.empty()) {
    return;
  }
  list_at_ = now;
  std::map<std::string_view, std::uint64_t> listed;
  for (const auto& instance : instances) {
    listed[instance.name] = instance.incarnation;
    known_.try_emplace(instance.name);
  }
  for (auto& [name, known] : known_) {
    const auto found = listed.find(name);
    if (found != listed.end()) {
      known = {std::max(known.incarnation, found->second), true, {}};
    } else if (known.listed) {
      known.listed = false;
      known.absent_since = now;
    }
  }
}

void DepartureTracker::OnNameFound(Instant now, std::string_view name) {
  known_.try_emplace(std::string(name), KnownInstance{0, false, now});
}

// An absence counts only if the list has been read within kDepartureDelay: an
// older list does not show the present state.
bool DepartureTracker::IsGone(Instant now,
                              std::string_view name,
                              std::uint64_t incarnation) const {
  const auto found = known_.find(name);
  if (found == known_.end()) {
    return false;
  }
  const KnownInstance& known = found->second;
  if (known.incarnation > incarnation) {
    return true;
  }
  return !known.listed && list_at_ - known.absent_since >= kDepartureDelay &&
         now - list_at_ < kDepartureDelay;
}

std::vector<std::string> DepartureTracker::NamesWatchedBy(
    std::string_view self) const {
  std::vector<std::string> names;
  auto at = known_.find(self);
  int listed = 0;
  for (std::size_t i = 1;
       at != known_.end() && i < known_.size() && listed < kListedPerWatcher &&
       names.size() < kMaxWatched;
       ++i) {
    at = at == known_.begin() ? std::prev(known_.end()) : std::prev(at);
    names.push_back(at->first);
    listed += at->second.listed ? 1 : 0;
  }
  return names;
}

bool DepartureTracker::IsFirstListed(std::string_view self) const {
  for (const auto& [name, known] : known_) {
    if (known.listed) {
      return name == self;
    }
  }
  return false;
}

}  // namespace jackdaw
