#include "placement/copy_set.h"

#include <algorithm>
#include <boost/json.hpp>

#include "core/invariant.h"
#include "core/object_reader.h"

namespace jackdaw {
namespace {

constexpr std::string_view kPrefix = "copies/";

Transaction ReplaceTargets(const CopySet& set,
                           const std::vector<std::string>& targets) {
  Transaction transaction;
  transaction.checks.push_back({CopyKey(set.model), set.row_version});
  transaction.writes.push_back(
      {CopyKey(set.model),
       boost::json::serialize(boost::json::object{
           {"targets", boost::json::value_from(targets)}})});
  return transaction;
}

}  // namespace

std::string CopyKey(std::string_view model) {
  return std::string(kPrefix) + std::string(model);
}

Result<CopySet> DecodeCopySet(const Row& row) {
  BOOST_OUTCOME_TRY(const auto parsed, ParseJson(row.value));
  ObjectReader reader(parsed, "");
  CopySet set;
  set.model = row.key.substr(kPrefix.size());
  set.row_version = row.version;
  set.targets = reader.TextsOr("targets");
  BOOST_OUTCOME_TRY(reader.Finish());
  return set;
}

bool Contains(const CopySet& set, std::string_view target) {
  return std::find(set.targets.begin(), set.targets.end(), target) !=
         set.targets.end();
}

bool CanRemove(const CopySet& set,
               std::string_view target,
               const IsUsableTarget& is_usable) {
  return std::any_of(set.targets.begin(), set.targets.end(),
                     [&](const std::string& name) {
                       return name != target && is_usable(name);
                     });
}

Transaction AddToCopySet(const CopySet& set, std::string_view target) {
  std::vector<std::string> targets = set.targets;
  targets.emplace_back(target);
  std::sort(targets.begin(), targets.end());
  return ReplaceTargets(set, targets);
}

Transaction RemoveFromCopySet(const CopySet& set, std::string_view target) {
  std::vector<std::string> targets = set.targets;
  std::erase(targets, target);
  CheckInvariant(!targets.empty(), "a released copy must not be the last one");
  return ReplaceTargets(set, targets);
}

}  // namespace jackdaw
