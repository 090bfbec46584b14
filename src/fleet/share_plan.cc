#include "fleet/share_plan.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <map>

#include "core/invariant.h"
#include "core/object_reader.h"

namespace jackdaw::serving {
namespace {

namespace json = boost::json;

// Shares are written in billionths.
constexpr double kUnit = 1e9;
// Differences below this are rounding.
constexpr double kRounding = 1e-6;

// The most that a member may hold now.
double Held(const ShareEntry& entry,
            const MemberTable& members,
            std::int64_t epoch,
            Instant read_at) {
  const MemberView* view = members.Find(entry.name);
  if (view == nullptr) {
    return 0;
  }
  if (view->member.state == MemberState::kGone ||
      read_at - view->changed_at > kShareReclaimed) {
    return 0;
  }
  return view->member.shares_epoch == epoch ? entry.share : entry.bound;
}

}  // namespace

const ShareEntry* ShareTable::Find(std::string_view name) const {
  const auto found =
      std::find_if(entries.begin(), entries.end(),
                   [&](const ShareEntry& entry) { return entry.name == name; });
  return found == entries.end() ? nullptr : &*found;
}

std::string EncodeShares(const ShareTable& table) {
  json::array entries;
  for (const ShareEntry& entry : table.entries) {
    entries.push_back(
        {{"name", entry.name},
         {"share", static_cast<std::int64_t>(entry.share * kUnit)},
         {"bound", static_cast<std::int64_t>(entry.bound * kUnit)}});
  }
  return json::serialize(
      json::value{{"epoch", table.epoch}, {"entries", std::move(entries)}});
}

Result<ShareTable> DecodeShares(std::string_view document) {
  BOOST_OUTCOME_TRY(const json::value value, ParseJson(document));
  ObjectReader reader(value, "");
  constexpr auto kMost = static_cast<std::int64_t>(kUnit);
  ShareTable table;
  table.epoch = reader.Integer("epoch", 0, INT64_MAX);
  for (const auto& item : reader.ItemsOr("entries")) {
    ObjectReader fields(item, "/entries");
    ShareEntry entry;
    entry.name = fields.Text("name");
    entry.share =
        static_cast<double>(fields.Integer("share", 0, kMost)) / kUnit;
    entry.bound =
        static_cast<double>(fields.Integer("bound", 0, kMost)) / kUnit;
    BOOST_OUTCOME_TRY(fields.Finish());
    table.entries.push_back(std::move(entry));
  }
  BOOST_OUTCOME_TRY(reader.Finish());
  return table;
}

ShareTable PlanShares(const ShareTable& current,
                      const MemberTable& members,
                      Instant read_at) {
  std::map<std::string, ShareEntry> next;
  double bounds = 0;
  for (const ShareEntry& entry : current.entries) {
    const double held = Held(entry, members, current.epoch, read_at);
    if (held > 0) {
      next[entry.name] = {entry.name, entry.share, held};
      bounds += held;
    }
  }
  // An instance that stops takes ever less; what it still needs, it borrows.
  std::vector<MemberView> live = members.Live(read_at);
  std::erase_if(live, [](const MemberView& view) {
    return view.member.state == MemberState::kDraining;
  });
  const double even = live.empty() ? 0 : 1.0 / static_cast<double>(live.size());
  for (auto& [name, entry] : next) {
    const MemberView* view = members.Find(name);
    const bool draining = view != nullptr &&
                          view->member.state == MemberState::kDraining &&
                          !live.empty();
    entry.share = draining ? 0 : std::min(entry.share, entry.bound);
  }
  for (const MemberView& view : live) {
    ShareEntry& entry = next[view.member.name];
    entry.name = view.member.name;
    if (entry.bound >= even) {
      entry.share = even;
      continue;
    }
    const double raise = std::clamp(1.0 - bounds, 0.0, even - entry.bound);
    bounds += raise;
    entry.bound += raise;
    entry.share = entry.bound;
  }
  CheckInvariant(bounds <= 1.0 + kRounding, "shares exceed the whole");
  ShareTable table;
  table.epoch = current.epoch;
  bool changed = false;
  for (auto& [name, entry] : next) {
    const ShareEntry* old = current.Find(name);
    changed = changed || old == nullptr ||
              std::abs(old->share - entry.share) > kRounding;
    table.entries.push_back(entry);
  }
  changed = changed || table.entries.size() != current.entries.size();
  table.epoch += changed ? 1 : 0;
  return changed ? table : current;
}

}  // namespace jackdaw::serving
