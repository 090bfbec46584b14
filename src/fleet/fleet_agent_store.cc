// Reads of the fleet table in the store: lease, view, quota parts, and members
// that cannot reach a leader.
#include <algorithm>
#include <set>

#include "core/log.h"
#include "fleet/fleet_agent.h"
#include "fleet/fleet_rows.h"
#include "fleet/leader_row.h"
#include "fleet/row_log.h"
#include "fleet/table_read.h"
#include "platform/tables.h"

namespace jackdaw::serving {
namespace {

// Interval at which the leader reads the rows of members that cannot reach it.
constexpr Micros kLeaderReadInterval = 1900ms;

}  // namespace

boost::asio::awaitable<void> FleetAgent::ReadFleetTable() {
  const Instant now = clock_.Now();
  if (leadership_.HoldsLease() && now - fleet_read_at_ < kLeaderReadInterval) {
    co_return;
  }
  const Result<platform::RowSet> read = co_await ReadTable(
      store_, std::string(platform::kFleetTable), clock_, kFleetTableTimeout);
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
  const std::string last_holder = leadership_.lease().holder;
  bool lease_seen = false;
  bool acquired = false;
  std::set<std::string> member_keys;
  for (const platform::StoredRow& row : rows.rows) {
    if (row.at.key.starts_with(kMemberPrefix)) {
      member_keys.insert(row.at.key);
      OnMemberRow(row);
    } else if (row.at.key == kLeaseKey) {
      const LeaderLease lease = ReadLease(row);
      acquired = leadership_.OnLeaseRow(&lease, boot_clock_.Now(), rows.epoch);
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
  if (acquired) {
    OnLeaseAcquired(last_holder, "read");
  }
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
//
// @param noticed_by whether the write of the lease was answered, or the lease
// was read since
void FleetAgent::OnLeaseAcquired(const std::string& last_holder,
                                 std::string_view noticed_by) {
  const Instant now = clock_.Now();
  Log(LogLevel::kInfo, "lease_won",
      {{"term", std::to_string(leadership_.term())},
       {"last_holder", last_holder},
       {"noticed_by", std::string(noticed_by)}});
  parts_in_doubt_ = false;
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

}  // namespace jackdaw::serving
