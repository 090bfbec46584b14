#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/time.h"
#include "fleet/target_row.h"

namespace jackdaw::serving {

/// Remembers which incarnations of targets have left, as read from their
/// entries. A store that came back from an older copy may still list such an
/// incarnation as ready; that does not undo what was read before.
class DepartedTargets {
 public:
  /// What an entry says, given what is known of its target.
  enum class Standing : std::uint8_t {
    /// The target is there.
    kPresent,
    /// The target has announced before that it leaves.
    kDraining,
    /// The target's entry was removed before, and this one may be older.
    kInDoubt,
  };

  /// The target has announced that it leaves.
  void OnDraining(const TargetRow& row, Instant now);
  /// The target's entry was removed.
  /// @param version highest version of the entry that was read in any epoch of
  /// the store
  void OnRemoved(const std::string& id,
                 std::int64_t born_ms,
                 std::int64_t version,
                 Instant now);
  /// The target is there, in another incarnation or by a later write.
  void OnPresent(const std::string& id) { departures_.erase(id); }

  /// @param may_be_older whether the row may have been written before what is
  /// known, as in the first snapshot of an epoch of the store
  Standing Judge(const TargetRow& row, bool may_be_older) const;

 private:
  struct Departure {
    std::int64_t born_ms = 0;
    /// The target announced that it leaves; else its entry was only removed.
    bool announced = false;
    std::int64_t version = 0;
    Instant read_at{};
  };

  void RemoveOld(Instant now);

  std::map<std::string, Departure> departures_;
};

}  // namespace jackdaw::serving
