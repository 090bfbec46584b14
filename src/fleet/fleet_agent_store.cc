// Rows of the fleet table in the store: lease, view, quota parts, and members
// that cannot reach a leader.
#include <algorithm>
#include <set>

#include "core/log.h"
#include "fleet/fleet_agent.h"
#include "fleet/leader_row.h"
#include "fleet/row_log.h"
#include "fleet/table_read.h"
#include "platform/tables.h"

namespace jackdaw::serving {
namespace {

// Timeout of a call to the store.
constexpr Micros kStoreTimeout = 900ms;
// Interval at which the leader reads the rows of members that cannot reach it.
constexpr Micros kLeaderReadInterval = 1900ms;
constexpr std::string_view kMemberPrefix = "member/";
constexpr std::string_view kLeaseKey = "leader";
constexpr std::string_view kPartsKey = "parts";
constexpr std::string_view kViewKey = "view";
constexpr std::string_view kCrashesKey = "crashes";

platform::RowKey FleetKey(std::string_view key) {
  return {std::string(platform::kFleetTable), "", std::string(key)};
}

}  // namespace

boost::asio::awaitable<void> FleetAgent::ReadFleetTable() {
  const Instant now = clock_.Now();
  if (leadership_.HoldsLease() && now - fleet_read_at_ < kLeaderReadInterval) {
    co_return;
  }
  const Result<platform::RowSet> read = co_await ReadTable(
      store_, std::string(platform::kFleetTable), clock_, kStoreTimeout);
  if (!read) {
    co_return;
  }
  fleet_read_at_ = clock_.Now();
  store_clock_.OnAnswer({read.value().epoch, read.value().store_ms},
                        fleet_read_at_);
  OnFleetRows(read.value());
  registry_.OnContact(fleet_read_at_);
  fleet_known_ = true;
}

// Rows of an earlier epoch must not hide those of the new one, and what the
// store has lost is written again.
void FleetAgent::OnStoreRestored(std::int64_t epoch) {
  Log(LogLevel::kInfo, "store_epoch",
      {{"epoch", std::to_string(epoch)},
       {"epoch_before", std::to_string(store_epoch_)}});
  store_epoch_ = epoch;
  member_rows_.Clear();
  view_row_version_ = 0;
  stored_view_.reset();
  view_written_.clear();
  parts_row_version_ = 0;
  crashes_row_version_ = 0;
  crashes_written_ = 0;
}

// If the row is unreadable, the lease that was known before stands, with the
// version of the row, so that its holder replaces the row.
LeaderLease FleetAgent::ReadLease(const platform::StoredRow& row) const {
  const Result<LeaderLease> read = DecodeLeaderLease(row.value);
  LogUnreadable(row, read);
  LeaderLease lease = read ? read.value() : leadership_.lease();
  lease.row_version = row.version;
  return lease;
}

void FleetAgent::OnFleetRows(const platform::RowSet& rows) {
  if (rows.epoch < store_epoch_) {
    return;
  }
  const bool restored = rows.epoch > store_epoch_;
  if (restored) {
    OnStoreRestored(rows.epoch);
  }
  const Instant now = clock_.Now();
  bool lease_seen = false;
  std::set<std::string> member_keys;
  for (const platform::StoredRow& row : rows.rows) {
    if (row.at.key.starts_with(kMemberPrefix)) {
      member_keys.insert(row.at.key);
      OnMemberRow(row);
    } else if (row.at.key == kLeaseKey) {
      LeaderLease lease = ReadLease(row);
      leadership_.OnLeaseRow(&lease, boot_clock_.Now(), rows.epoch);
      lease_seen = true;
    } else if (row.at.key == kViewKey) {
      OnViewRow(row);
    } else if (row.at.key == kCrashesKey &&
               row.version > crashes_row_version_) {
      crashes_row_version_ = row.version;
      const auto reports = DecodeCrashRow(row.value);
      LogUnreadable(row, reports);
      if (reports) {
        crashes_.AddReports(reports.value(), now);
      }
    } else if (row.at.key == kPartsKey && row.version > parts_row_version_) {
      auto table = DecodePartTable(row.value);
      parts_row_version_ = row.version;
      LogUnreadable(row, table);
      if (table && table.value().epoch >= part_table_.epoch) {
        part_table_ = std::move(table.value());
      }
    }
  }
  if (!lease_seen) {
    leadership_.OnLeaseRow(nullptr, boot_clock_.Now(), rows.epoch);
  }
  // Rows of members from an older copy do not tell what they use now.
  if (restored) {
    members_.ForgetReports();
  }
  member_rows_.Retain(member_keys);
  LowerParts();
  ConfirmStoredView();
  RefreshView();
}

// A row may be read long after it was written, so its own time decides how old
// a sign of life it is.
void FleetAgent::OnMemberRow(const platform::StoredRow& row) {
  const Instant now = clock_.Now();
  if (!member_rows_.OnRow(row.at.key, row.version, now)) {
    return;
  }
  const auto member = DecodeMember(row.value);
  LogUnreadable(row, member);
  if (!member) {
    return;
  }
  const auto written_at = store_clock_.ToLocal(member.value().sent_at, now);
  if (written_at) {
    member_rows_.SetWritten(row.at.key, *written_at);
  }
  if (member.value().name == settings_.name) {
    return;
  }
  members_.OnReport(member.value(), LifeSign::kRow,
                    written_at.value_or(Instant{}), now);
  crashes_.AddReports(member.value().crashes, now);
}

// Members of the previous view and holders of quota parts may live, so that
// their parts are not given to others before they were heard or have been
// silent for long enough. Callers are sent only to those that certainly live.
void FleetAgent::OnLeaseAcquired(const std::string& last_holder) {
  const Instant now = clock_.Now();
  Log(LogLevel::kInfo, "lease_won",
      {{"term", std::to_string(leadership_.term())},
       {"last_holder", last_holder}});
  members_.ForgetReports();
  for (const FleetMember& member : view_.members) {
    if (member.name != last_holder) {
      members_.AddExpected(member, now);
    }
  }
  for (const std::string& name : part_table_.Names()) {
    FleetMember holder;
    holder.name = name;
    holder.state = MemberState::kStarting;
    members_.AddExpected(holder, now);
  }
  if (target_replica_.HasCompactRows()) {
    target_watch_.RequestSnapshot();
  }
  UpdateWatches();
  order_dispatcher_.OnLeaseAcquired(now);
  registry_.RestartRateLimits(now);
  RefreshView();
}

boost::asio::awaitable<bool> FleetAgent::WriteFleetTable(bool with_member) {
  platform::RowTransaction write;
  const Member own = OwnMember();
  const bool ending =
      state_ == MemberState::kDraining || state_ == MemberState::kGone;
  const Instant sent_at = boot_clock_.Now();
  LeaseStep step = leadership_.NextStep(sent_at);
  LeaderLease proposal = leadership_.Proposal(step);
  if (ending) {
    step = leadership_.HoldsLease() ? LeaseStep::kRenew : LeaseStep::kNone;
    proposal = leadership_.Proposal(step);
    proposal.released = true;
  }
  if (step != LeaseStep::kNone) {
    proposal.renewed_at = store_clock_.At(clock_.Now());
    proposal.silent = members_.Silent(clock_.Now());
    write.conditions.push_back(
        {FleetKey(kLeaseKey), leadership_.lease().row_version});
    write.puts.push_back({FleetKey(kLeaseKey), EncodeLeaderLease(proposal)});
  }
  if (with_member) {
    write.puts.push_back(
        {FleetKey(std::string(kMemberPrefix) + own.name), EncodeMember(own)});
  }
  PartTable planned = part_table_;
  if (leadership_.HoldsLease() && !ending) {
    members_.OnHeartbeat(own, clock_.Now());
    RefreshView();
    planned = PlanParts(part_table_, members_, clock_.Now(),
                        FirstNumberOfEpoch(store_epoch_));
    if (planned.epoch != part_table_.epoch) {
      if (step == LeaseStep::kNone) {
        write.conditions.push_back(
            {FleetKey(kLeaseKey), leadership_.lease().row_version});
      }
      write.conditions.push_back({FleetKey(kPartsKey), parts_row_version_});
      write.puts.push_back({FleetKey(kPartsKey), EncodePartTable(planned)});
    }
  }
  const FleetView view = view_;
  const bool writes_view = leadership_.HoldsLease() && view.id != view_written_;
  if (writes_view) {
    if (write.conditions.empty()) {
      write.conditions.push_back(
          {FleetKey(kLeaseKey), leadership_.lease().row_version});
    }
    write.puts.push_back({FleetKey(kViewKey), EncodeViewRow(view)});
  }
  const std::uint64_t crashes = crashes_.revision();
  const bool writes_crashes =
      leadership_.HoldsLease() && crashes != crashes_written_;
  if (writes_crashes) {
    if (write.conditions.empty()) {
      write.conditions.push_back(
          {FleetKey(kLeaseKey), leadership_.lease().row_version});
    }
    write.puts.push_back({FleetKey(kCrashesKey),
                          EncodeCrashRow(crashes_.AllCrashes(clock_.Now()))});
  }
  if (write.puts.empty()) {
    co_return true;
  }
  const Instant write_sent_at = clock_.Now();
  const Result<platform::RowCommit> commit =
      co_await store_.Commit(std::move(write), clock_.Now() + kStoreTimeout);
  if (commit) {
    store_clock_.OnAnswer({commit.value().epoch, commit.value().store_ms},
                          clock_.Now());
  }
  const bool applied =
      commit && commit.value().applied && commit.value().epoch == store_epoch_;
  if (!applied) {
    // Another instance may have written; its rows are read before the next try.
    fleet_read_at_ = Instant{};
    co_return false;
  }
  last_write_at_ = sent_at;
  store_contact_at_ = std::max(store_contact_at_, sent_at);
  ExtendParts(sent_at);
  if (step != LeaseStep::kNone) {
    // The same margin to the end of the lease as that of orders.
    const Instant until = write_sent_at + settings_.lease_time / 2;
    registry_.AllowLimitedSends(ending ? write_sent_at : until);
  }
  if (writes_view) {
    view_written_ = view.id;
    view_row_version_ = commit.value().version;
  }
  if (writes_crashes) {
    crashes_written_ = crashes;
    crashes_row_version_ = commit.value().version;
  }
  if (step != LeaseStep::kNone) {
    const bool acquired = step == LeaseStep::kAcquire;
    const std::string last_holder = leadership_.lease().holder;
    proposal.row_version = commit.value().version;
    leadership_.OnApplied(proposal, sent_at);
    if (acquired) {
      OnLeaseAcquired(last_holder);
    }
  }
  if (planned.epoch != part_table_.epoch) {
    part_table_ = std::move(planned);
    parts_row_version_ = commit.value().version;
  }
  ApplyOwnParts(sent_at);
  co_return true;
}

// Removes rows of members that are gone, or that reach a leader again and need
// none. The call is apart from the renewal of the lease: a row that its member
// writes meanwhile makes it fail.
boost::asio::awaitable<void> FleetAgent::RemoveOldRows() {
  const std::vector<MemberRows::OldRow> old = member_rows_.Old(clock_.Now());
  if (!leadership_.HoldsLease() || old.empty()) {
    co_return;
  }
  platform::RowTransaction removal;
  removal.conditions.push_back(
      {FleetKey(kLeaseKey), leadership_.lease().row_version});
  for (const MemberRows::OldRow& row : old) {
    removal.conditions.push_back({FleetKey(row.key), row.version});
    removal.drops.push_back(FleetKey(row.key));
  }
  const Result<platform::RowCommit> commit =
      co_await store_.Commit(std::move(removal), clock_.Now() + kStoreTimeout);
  // What is there is read before the next try.
  fleet_read_at_ = Instant{};
  Log(LogLevel::kInfo, "rows_removed",
      {{"rows", std::to_string(old.size())},
       {"removed", commit && commit.value().applied ? "yes" : "no"}});
}

}  // namespace jackdaw::serving
