#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "membership/instance_entry.h"

namespace jackdaw {

/// Judges from the platform's lagging list which incarnations are gone for
/// certain: a newer one of the same name is listed, or the name has been
/// absent from the list for longer than the list lags.
class DepartureTracker {
 public:
  /// Takes over a list that the platform answered with.
  void OnInstanceList(Instant now, const std::vector<InstanceEntry>& instances);
  /// The platform answered with the same list again.
  void OnUnchangedList(Instant now) { list_at_ = now; }
  /// A name was met outside the list.
  void OnNameFound(Instant now, std::string_view name);
  /// Nothing of the name is left to look after.
  void Forget(std::string_view name) { known_.erase(std::string(name)); }

  bool IsGone(Instant now,
              std::string_view name,
              std::uint64_t incarnation) const;

  /// Names whose rows `self` looks after: the absent ones before it in the
  /// order of names, and the nearest listed ones, so that each is looked
  /// after by a few others.
  std::vector<std::string> NamesWatchedBy(std::string_view self) const;
  /// Whether `self` looks for rows of names that nobody knows.
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
