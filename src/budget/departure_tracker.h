#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "membership/instance_entry.h"

namespace jackdaw {

/// Determines from the platform's delayed instance list which incarnations
/// have certainly ended: a newer incarnation of the same name is listed, or
/// the name has been absent for kDepartureDelay, which exceeds the delay of the
/// list.
class DepartureTracker {
 public:
  /// Applies a list that was read from the platform.
  void OnInstanceList(Instant now, const std::vector<InstanceEntry>& instances);
  /// Records that the platform returned the same list again.
  void OnUnchangedList(Instant now) { list_at_ = now; }
  /// Records a name that was found outside the list, in a stored row.
  void OnNameFound(Instant now, std::string_view name);
  /// Removes a name that has no rows left.
  void Forget(std::string_view name) { known_.erase(std::string(name)); }

  /// Returns whether this incarnation has certainly ended.
  bool IsGone(Instant now,
              std::string_view name,
              std::uint64_t incarnation) const;

  /// Returns the names whose rows `self` watches. Each name, listed or not, is
  /// watched by the two listed instances that follow it in the ring of names;
  /// so the names are those that precede `self` up to the second listed one,
  /// but kMaxWatched at most.
  std::vector<std::string> NamesWatchedBy(std::string_view self) const;
  /// Returns whether `self` is the first listed name. This selects the one
  /// instance that scans the table for rows of instances that ended before any
  /// running instance had seen them listed.
  bool IsFirstListed(std::string_view self) const;

 private:
  struct KnownInstance {
    std::uint64_t incarnation = 0;
    bool listed = false;
    Instant absent_since{};
  };

  std::map<std::string, KnownInstance, std::less<>> known_;
  Instant list_at_{};
};

}  // namespace jackdaw
