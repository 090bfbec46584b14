#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "store/table.h"

namespace jackdaw {

/// The targets committed to keep one model resident; one row of the table. A
/// target leaves the set before an unload of the model is ordered there, by a
/// write that requires another usable target in the set. Two lease holders that
/// unload concurrently therefore never remove both of the last two copies.
struct CopySet {
  std::string model;
  std::uint64_t row_version = 0;
  /// Names of the targets in ascending order.
  std::vector<std::string> targets;
};

/// Returns whether a target is known and usable.
using IsUsableTarget = std::function<bool(std::string_view)>;

/// Returns the key of the row for a model.
std::string CopyKey(std::string_view model);
Result<CopySet> DecodeCopySet(const Row& row);

bool Contains(const CopySet& set, std::string_view target);
/// Whether the set holds another usable target.
bool CanRemove(const CopySet& set,
               std::string_view target,
               const IsUsableTarget& is_usable);
/// Returns the write that adds a target on which the model is ready.
Transaction AddToCopySet(const CopySet& set, std::string_view target);
/// Returns the write that removes a target, which may then unload the model.
/// Requires CanRemove to hold.
Transaction RemoveFromCopySet(const CopySet& set, std::string_view target);

}  // namespace jackdaw
