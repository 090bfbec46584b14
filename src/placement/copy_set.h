#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "store/table.h"

namespace jackdaw {

/// The targets bound to keep one model resident, a row of the table. A target
/// leaves the set before an unload of the model is ordered there, by a write
/// that needs another live target in the set; so two holders that unload at
/// the same moment never remove both of the last two copies.
struct CopySet {
  std::string model;
  std::uint64_t row_version = 0;
  /// In ascending order.
  std::vector<std::string> targets;
};

using IsLiveTarget = std::function<bool(std::string_view)>;

std::string CopyKey(std::string_view model);
Result<CopySet> DecodeCopySet(const Row& row);

bool Contains(const CopySet& set, std::string_view target);
/// Whether another live target in the set keeps the model.
bool CanRelease(const CopySet& set,
                std::string_view target,
                const IsLiveTarget& is_live);
/// The write that binds a target on which the model is ready.
Transaction BindCopy(const CopySet& set, std::string_view target);
/// The write that lets a target unload the model. To be asked for only when
/// CanRelease holds.
Transaction ReleaseCopy(const CopySet& set, std::string_view target);

}  // namespace jackdaw
