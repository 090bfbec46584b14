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

// Shares are encoded in billionths, as integers.
constexpr double kBillion = 1e9;
// Largest epoch that is read: members report it and its successors.
constexpr std::int64_t kMaxSharesEpoch = 900'000'000'000;
// Differences of shares below this are rounding errors.
constexpr double kRounding = 1e-6;

// Returns the largest share that a member may use now: 0 if it has left or has
// been silent for so long that it has dropped its share, the planned share if
// it has confirmed the epoch, else the bound.
double MaxHeldShare(const ShareEntry& entry,
                    const MemberTable& members,
                    std::int64_t epoch,
                    Instant now) {
  const MemberRecord* record = members.Find(entry.name);
  if (record == nullptr) {
    return 0;
  }
  if (record->member.state == MemberState::kGone ||
      now - record->changed_at > kShareReclaimTimeout) {
    return 0;
  }
  return record->member.shares_epoch == epoch ? entry.share : entry.bound;
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
         {"share", static_cast<std::int64_t>(entry.share * kBillion)},
         {"bound", static_cast<std::int64_t>(entry.bound * kBillion)}});
  }
  return json::serialize(
      json::value{{"epoch", table.epoch}, {"entries", std::move(entries)}});
}

Result<ShareTable> DecodeShares(std::string_view document) {
  BOOST_OUTCOME_TRY(const json::value value, ParseJson(document));
  ObjectReader reader(value, "");
  constexpr auto kMaxUnits = static_cast<std::int64_t>(kBillion);
  ShareTable table;
  table.epoch = reader.Integer("epoch", 0, kMaxSharesEpoch);
  double bound_sum = 0;
  for (const auto& item : reader.ItemsOr("entries")) {
    ObjectReader fields(item, "/entries");
    ShareEntry entry;
    entry.name = fields.Text("name");
    entry.share =
        static_cast<double>(fields.Integer("share", 0, kMaxUnits)) / kBillion;
    entry.bound =
        static_cast<double>(fields.Integer("bound", 0, kMaxUnits)) / kBillion;
    bound_sum += entry.bound;
    if (entry.share > entry.bound || table.Find(entry.name) != nullptr) {
      fields.Fail("name", "has more than its bound, or two entries");
    }
    BOOST_OUTCOME_TRY(fields.FinishKnown());
    table.entries.push_back(std::move(entry));
  }
  if (bound_sum > 1.0 + kRounding) {
    reader.Fail("entries", "give out more than the whole");
  }
  BOOST_OUTCOME_TRY(reader.FinishKnown());
  return table;
}

ShareTable PlanShares(const ShareTable& current,
                      const MemberTable& members,
                      Instant now) {
  std::map<std::string, ShareEntry> next;
  double bound_sum = 0;
  for (const ShareEntry& entry : current.entries) {
    const double held = MaxHeldShare(entry, members, current.epoch, now);
    if (held > 0) {
      next[entry.name] = {entry.name, entry.share, held};
      bound_sum += held;
    }
  }
  // A draining instance gets no share, as it serves fewer and fewer requests;
  // it borrows the units that it still needs.
  std::vector<MemberRecord> live = members.Live(now);
  std::erase_if(live, [](const MemberRecord& record) {
    return record.member.state == MemberState::kDraining;
  });
  const double equal_share =
      live.empty() ? 0 : 1.0 / static_cast<double>(live.size());
  for (auto& [name, entry] : next) {
    const MemberRecord* record = members.Find(name);
    const bool draining = record != nullptr &&
                          record->member.state == MemberState::kDraining &&
                          !live.empty();
    entry.share = draining ? 0 : std::min(entry.share, entry.bound);
  }
  for (const MemberRecord& record : live) {
    ShareEntry& entry = next[record.member.name];
    entry.name = record.member.name;
    if (entry.bound >= equal_share) {
      entry.share = equal_share;
      continue;
    }
    const double increase =
        std::clamp(1.0 - bound_sum, 0.0, equal_share - entry.bound);
    bound_sum += increase;
    entry.bound += increase;
    entry.share = entry.bound;
  }
  CheckInvariant(bound_sum <= 1.0 + kRounding, "shares exceed the whole");
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
