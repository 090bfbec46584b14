#include "budget/share_synchronizer.h"

#include <algorithm>
#include <limits>

#include "budget/timing.h"
#include "core/invariant.h"

namespace jackdaw {
namespace {

constexpr std::string_view kSharePrefix = "budget/share/";
// Passed to IsGone for a name without a row: no listed incarnation is newer, so
// the name is gone only if it is absent from the list.
constexpr std::uint64_t kNoIncarnation =
    std::numeric_limits<std::uint64_t>::max();
// Rounds between two reads of the watched rows of other instances.
constexpr std::uint64_t kRoundsPerWatch = 3;
// Time between two scans for rows of names that no instance knows.
constexpr Micros kScanInterval = 60s;

const Row* FindRow(const std::vector<Row>& rows, std::string_view key) {
  const auto found = std::find_if(
      rows.begin(), rows.end(), [&](const Row& row) { return row.key == key; });
  return found == rows.end() ? nullptr : &*found;
}

}  // namespace

ShareSynchronizer::ShareSynchronizer(std::string name,
                                     std::uint64_t incarnation)
    : name_(std::move(name)), incarnation_(incarnation) {}

void ShareSynchronizer::OnInstances(
    Instant now,
    const std::vector<InstanceEntry>& instances) {
  departures_.OnInstanceList(now, instances);
}

void ShareSynchronizer::Transfer(std::string_view peer,
                                 std::string_view workspace,
                                 std::int64_t units) {
  Share& share = held_[std::string(workspace)];
  CheckInvariant(units > 0 && units <= share.Total(),
                 "only held units are transferred");
  const std::int64_t flexible = std::min(units, share.flexible);
  share.flexible -= flexible;
  share.floor -= units - flexible;
  outgoing_[std::string(peer)][std::string(workspace)] += units;
}

ReadQuery ShareSynchronizer::BeginRound(Instant now) {
  ReadQuery query;
  query.keys.push_back(ShareKey(name_));
  query.prefixes.push_back(TransferPrefix(name_));
  for (const auto& workspace : mintable_) {
    query.keys.push_back(MintKey(workspace));
  }
  watched_names_.clear();
  if (++round_ % kRoundsPerWatch == 0) {
    watched_names_ = departures_.NamesWatchedBy(name_);
  }
  for (const auto& name : watched_names_) {
    query.keys.push_back(ShareKey(name));
    query.prefixes.push_back(TransferPrefix(name));
  }
  if (now >= next_scan_at_ && departures_.IsFirstListed(name_)) {
    next_scan_at_ = now + kScanInterval;
    query.prefixes.emplace_back(kSharePrefix);
  }
  return query;
}

Transaction ShareSynchronizer::OnRows(Instant now,
                                      const std::vector<Row>& rows,
                                      const FloorUnits& floor_units) {
  Draft draft;
  ReadOwnRow(rows, draft);
  if (superseded_) {
    return {};
  }
  for (const auto& row : rows) {
    if (row.key.starts_with(kSharePrefix)) {
      departures_.OnNameFound(
          now, std::string_view(row.key).substr(kSharePrefix.size()));
    }
  }
  StoreTransfers(draft);
  LowerHeld(draft.row.shares);
  ReceiveTransfers(TransferPrefix(name_), rows, draft);
  MintUnits(rows, draft);
  for (const auto& name : watched_names_) {
    Reclaim(now, name, rows, draft);
  }
  for (auto& [workspace, share] : draft.row.shares) {
    const std::int64_t total = share.Total();
    CheckInvariant(total <= kTotalUnits, "a share is at most the whole budget");
    share.floor = std::clamp<std::int64_t>(floor_units(workspace), 0, total);
    share.flexible = total - share.floor;
  }
  draft.row.incarnation = incarnation_;
  draft.row.sequence = ++sequence_;
  draft.transaction.writes.push_back(
      {ShareKey(name_), EncodeShareRow(draft.row)});
  next_held_ = draft.row.shares;
  sent_at_ = now;
  attempts_.push_back({sequence_, outgoing_});
  return std::move(draft.transaction);
}

// Initializes the draft from the stored row. A row of an earlier incarnation of
// this instance is taken over. Without a row, which was not written yet or
// which peers have reclaimed, no units may be used.
void ShareSynchronizer::ReadOwnRow(const std::vector<Row>& rows, Draft& draft) {
  const Row* row = FindRow(rows, ShareKey(name_));
  draft.transaction.checks.push_back(
      {ShareKey(name_), row == nullptr ? 0 : row->version});
  if (row == nullptr) {
    row_lost_ = row_lost_ || had_row_;
    had_row_ = false;
    held_.clear();
    outgoing_.clear();
    attempts_.clear();
    return;
  }
  const auto stored = DecodeShareRow(row->value);
  superseded_ = !stored || stored.value().incarnation > incarnation_;
  if (superseded_) {
    held_.clear();
    return;
  }
  if (stored.value().incarnation == incarnation_) {
    had_row_ = true;
    ResolveAttempts(stored.value().sequence);
  }
  draft.row.shares = stored.value().shares;
}

// Finds the write of unknown outcome that took effect, and removes its
// transfers from those to be stored. The other writes can no longer take
// effect, as the version of the row has changed.
void ShareSynchronizer::ResolveAttempts(std::uint64_t sequence) {
  const auto committed_attempt = std::find_if(
      attempts_.begin(), attempts_.end(),
      [&](const Attempt& attempt) { return attempt.sequence == sequence; });
  if (committed_attempt == attempts_.end()) {
    return;
  }
  for (const auto& [peer, shares] : committed_attempt->transfers) {
    for (const auto& [workspace, units] : shares) {
      std::int64_t& left = outgoing_[peer][workspace];
      left -= units;
      CheckInvariant(left >= 0, "no transfer is stored twice");
    }
  }
  for (auto& [peer, shares] : outgoing_) {
    std::erase_if(shares, [](const auto& entry) { return entry.second == 0; });
  }
  std::erase_if(outgoing_,
                [](const auto& entry) { return entry.second.empty(); });
  attempts_.clear();
}

// Lowers the usable units to at most those in the row.
void ShareSynchronizer::LowerHeld(const Shares& to) {
  for (auto& [workspace, share] : held_) {
    const auto found = to.find(workspace);
    const std::int64_t limit = found == to.end() ? 0 : found->second.Total();
    const std::int64_t excess =
        std::max<std::int64_t>(0, share.Total() - limit);
    const std::int64_t flexible = std::min(excess, share.flexible);
    share.flexible -= flexible;
    share.floor -= excess - flexible;
  }
}

bool ShareSynchronizer::ReceiveTransfers(std::string_view prefix,
                                         const std::vector<Row>& rows,
                                         Draft& draft) {
  bool any = false;
  for (const auto& row : rows) {
    if (!row.key.starts_with(prefix)) {
      continue;
    }
    const auto transfer = DecodeShareRow(row.value);
    if (!transfer) {
      continue;
    }
    any = true;
    draft.transaction.checks.push_back({row.key, row.version});
    draft.transaction.writes.push_back({row.key, std::nullopt});
    for (const auto& [workspace, share] : transfer.value().shares) {
      draft.row.shares[workspace].flexible += share.Total();
    }
  }
  return any;
}

void ShareSynchronizer::MintUnits(const std::vector<Row>& rows, Draft& draft) {
  for (auto workspace = mintable_.begin(); workspace != mintable_.end();) {
    const std::string key = MintKey(*workspace);
    if (FindRow(rows, key) != nullptr) {
      workspace = mintable_.erase(workspace);
      continue;
    }
    draft.transaction.checks.push_back({key, 0});
    draft.transaction.writes.push_back({key, name_});
    draft.row.shares[*workspace].flexible += kTotalUnits;
    ++workspace;
  }
}

// Reclaims the flexible parts of a row that was not renewed for so long that
// the lease of its holder has expired, and the whole row once the holder is
// gone.
void ShareSynchronizer::Reclaim(Instant now,
                                std::string_view name,
                                const std::vector<Row>& rows,
                                Draft& draft) {
  const std::string key = ShareKey(name);
  const Row* row = FindRow(rows, key);
  const auto stored = row == nullptr ? Result<ShareRow>(ShareRow{})
                                     : DecodeShareRow(row->value);
  if (!stored) {
    return;
  }
  ShareRow other = stored.value();
  const bool gone = departures_.IsGone(
      now, name, row == nullptr ? kNoIncarnation : other.incarnation);
  WatchedRow& watched = watched_[std::string(name)];
  const std::uint64_t version = row == nullptr ? 0 : row->version;
  if (watched.version != version) {
    watched = {version, now};
  }
  if (gone && !ReceiveTransfers(TransferPrefix(name), rows, draft) &&
      row == nullptr) {
    departures_.Forget(name);
    watched_.erase(std::string(name));
  }
  if (row == nullptr) {
    return;
  }
  const bool lapsed = now - watched.seen_at >= kReclaimDelay;
  std::int64_t reclaimed = 0;
  for (auto& [workspace, share] : other.shares) {
    const std::int64_t units =
        (gone ? share.floor : 0) + (gone || lapsed ? share.flexible : 0);
    if (units > 0) {
      draft.row.shares[workspace].flexible += units;
      share.flexible = 0;
      reclaimed += units;
    }
  }
  if (!gone && reclaimed == 0) {
    return;
  }
  draft.transaction.checks.push_back({key, version});
  draft.transaction.writes.push_back(
      {key, gone ? std::nullopt : std::optional(EncodeShareRow(other))});
}

// Stores each transfer as a separate row for its receiver. Units that peers
// have reclaimed from the own row meanwhile are no longer transferred.
void ShareSynchronizer::StoreTransfers(Draft& draft) {
  for (auto& [peer, shares] : outgoing_) {
    ShareRow transfer;
    for (auto& [workspace, units] : shares) {
      Share& left = draft.row.shares[workspace];
      units = std::min(units, left.Total());
      const std::int64_t flexible = std::min(units, left.flexible);
      left.flexible -= flexible;
      left.floor -= units - flexible;
      transfer.shares[workspace].flexible = units;
    }
    std::erase_if(shares, [](const auto& entry) { return entry.second == 0; });
    if (shares.empty()) {
      continue;
    }
    const std::string key = TransferPrefix(peer) + name_ + "-" +
                            std::to_string(incarnation_) + "-" +
                            std::to_string(sequence_ + 1);
    draft.transaction.checks.push_back({key, 0});
    draft.transaction.writes.push_back({key, EncodeShareRow(transfer)});
  }
  std::erase_if(outgoing_,
                [](const auto& entry) { return entry.second.empty(); });
}

bool ShareSynchronizer::IsEmpty() const {
  return outgoing_.empty() && std::ranges::all_of(held_, [](const auto& entry) {
           return entry.second.Total() == 0;
         });
}

void ShareSynchronizer::OnCommit(const std::optional<Commit>& commit) {
  if (!commit) {
    return;
  }
  CheckInvariant(!attempts_.empty(),
                 "a commit arrives only for a pending attempt");
  if (!commit->committed) {
    attempts_.pop_back();
    return;
  }
  had_row_ = true;
  ResolveAttempts(sequence_);
  held_ = next_held_;
  for (const auto& [peer, shares] : outgoing_) {
    for (const auto& [workspace, units] : shares) {
      // These units were transferred while the write was in flight.
      Share& share = held_[workspace];
      CheckInvariant(units <= share.Total(), "only held units are transferred");
      const std::int64_t flexible = std::min(units, share.flexible);
      share.flexible -= flexible;
      share.floor -= units - flexible;
    }
  }
  lease_until_ = sent_at_ + kShareLeaseTerm;
}

}  // namespace jackdaw
