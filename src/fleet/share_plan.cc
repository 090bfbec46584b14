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

// What the members may hold before a plan.
struct Holdings {
  std::map<std::string, ShareEntry> entries;
  /// Sum of the bounds.
  double sum = 0;
};

// Returns whether the member's share, if it had one, is free: it has left or
// has been silent for so long that it has dropped the share.
bool IsReclaimed(const MemberRecord* record, Instant now) {
  return record == nullptr || record->member.state == MemberState::kGone ||
         now - record->changed_at > kShareReclaimTimeout;
}

// Returns the largest share that a member may use now: what it states, if it
// has confirmed the epoch, else the bound or what it states.
double MaxHeldShare(const ShareEntry& entry,
                    const MemberRecord& record,
                    std::int64_t epoch) {
  const Member& member = record.member;
  if (member.shares_epoch == epoch) {
    return member.share < 0 ? entry.share : member.share;
  }
  return std::max(entry.bound, member.share);
}

Holdings HeldShares(const ShareTable& current,
                    const MemberTable& members,
                    Instant now) {
  Holdings held;
  const auto add = [&](const ShareEntry& entry, double bound) {
    if (bound > 0) {
      held.entries[entry.name] = {entry.name, entry.share, bound};
      held.sum += bound;
    }
  };
  for (const ShareEntry& entry : current.entries) {
    const MemberRecord* record = members.Find(entry.name);
    if (!IsReclaimed(record, now)) {
      add(entry, MaxHeldShare(entry, *record, current.epoch));
    }
  }
  for (const auto& [name, record] : members.all()) {
    if (current.Find(name) == nullptr && !IsReclaimed(&record, now)) {
      add({name, 0, 0}, record.member.share);
    }
  }
  return held;
}

bool WasHeard(const MemberRecord& record) {
  return !record.member.boot_id.empty();
}

// Lets each holder that was not heard hold all that the others do not, as they
// state themselves.
void WidenUnheard(const MemberTable& members, Instant now, Holdings& held) {
  double unclaimed = 1;
  std::vector<ShareEntry*> unheard;
  for (const auto& [name, record] : members.all()) {
    if (IsReclaimed(&record, now)) {
      continue;
    }
    const Member& member = record.member;
    const auto entry = held.entries.find(name);
    const double bound = entry == held.entries.end() ? 0 : entry->second.bound;
    const bool heard = WasHeard(record);
    unclaimed -= heard && member.share >= 0 ? member.share : bound;
    if (!heard) {
      held.entries[name] = {name, 0, bound};
      unheard.push_back(&held.entries[name]);
    }
  }
  for (ShareEntry* entry : unheard) {
    const double widening =
        std::clamp(unclaimed, 0.0, std::max(0.0, 1 - entry->bound));
    entry->bound += widening;
    held.sum += widening;
  }
}

// Raises or lowers a live member towards the equal share.
void SetShare(const MemberRecord& record, double equal_share, Holdings& held) {
  ShareEntry& entry = held.entries[record.member.name];
  entry.name = record.member.name;
  if (entry.bound >= equal_share) {
    entry.share = equal_share;
    return;
  }
  const double increase =
      std::clamp(1.0 - held.sum, 0.0, equal_share - entry.bound);
  held.sum += increase;
  entry.bound += increase;
  entry.share = entry.bound;
}

// While the bounds exceed the whole, no member may get more than it holds.
void CapAtHeld(const MemberTable& members, Holdings& held) {
  for (auto& [name, entry] : held.entries) {
    const MemberRecord* record = members.Find(name);
    if (record != nullptr && record->member.share >= 0) {
      entry.share = std::min(entry.share, record->member.share);
    }
  }
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

double ShareToApply(const ShareTable& table,
                    std::string_view name,
                    double held,
                    std::int64_t first_epoch) {
  const ShareEntry* own = table.Find(name);
  const double share = own == nullptr ? 0 : own->share;
  return table.epoch < first_epoch ? std::min(share, held) : share;
}

ShareTable PlanShares(const ShareTable& current,
                      const MemberTable& members,
                      Instant now,
                      std::int64_t first_epoch) {
  std::vector<MemberRecord> live = members.Live(now);
  const bool is_older = current.epoch < first_epoch;
  if (is_older && !std::ranges::all_of(live, WasHeard)) {
    return current;
  }
  Holdings held = HeldShares(current, members, now);
  if (is_older) {
    WidenUnheard(members, now, held);
  }
  const double sum_before = held.sum;
  // A draining instance gets no share, as it serves fewer and fewer requests;
  // it borrows the units that it still needs.
  std::erase_if(live, [](const MemberRecord& record) {
    return record.member.state == MemberState::kDraining;
  });
  const double equal_share =
      live.empty() ? 0 : 1.0 / static_cast<double>(live.size());
  for (auto& [name, entry] : held.entries) {
    const MemberRecord* record = members.Find(name);
    const bool draining = record != nullptr &&
                          record->member.state == MemberState::kDraining &&
                          !live.empty();
    entry.share = draining ? 0 : std::min(entry.share, entry.bound);
  }
  for (const MemberRecord& record : live) {
    SetShare(record, equal_share, held);
  }
  if (sum_before > 1 + kRounding) {
    CapAtHeld(members, held);
  }
  CheckInvariant(held.sum <= std::max(1.0, sum_before) + kRounding,
                 "shares exceed the whole");
  ShareTable table;
  bool changed = is_older;
  for (auto& [name, entry] : held.entries) {
    const ShareEntry* old = current.Find(name);
    changed = changed || old == nullptr ||
              std::abs(old->share - entry.share) > kRounding;
    table.entries.push_back(entry);
  }
  changed = changed || table.entries.size() != current.entries.size();
  table.epoch = std::max(current.epoch + 1, first_epoch);
  return changed ? table : current;
}

}  // namespace jackdaw::serving
