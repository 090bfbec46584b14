// Writes of the fleet table in the store.
#include "core/log.h"
#include "fleet/fleet_agent.h"
#include "fleet/fleet_rows.h"
#include "fleet/leader_row.h"

namespace jackdaw::serving {

// The row of the lease is a condition of all that only the leader writes.
void FleetAgent::RequireLease(FleetWrite& write) const {
  if (write.transaction.conditions.empty()) {
    write.transaction.conditions.push_back(
        {FleetKey(kLeaseKey), leadership_.lease().row_version});
  }
}

void FleetAgent::AddLease(FleetWrite& write) const {
  write.step = leadership_.NextStep(write.sent_at);
  if (ending()) {
    write.step =
        leadership_.HoldsLease() ? LeaseStep::kRenew : LeaseStep::kNone;
  }
  if (write.step == LeaseStep::kNone) {
    return;
  }
  const Instant now = clock_.Now();
  write.lease = leadership_.Proposal(
      write.step, {store_clock_.At(now), members_.Silent(now)});
  write.lease.released = ending();
  RequireLease(write);
  write.transaction.puts.push_back(
      {FleetKey(kLeaseKey), EncodeLeaderLease(write.lease)});
}

// Plans who holds the parts of the quotas.
void FleetAgent::AddParts(FleetWrite& write) const {
  PartTable planned = PlanParts(part_table_, members_, clock_.Now(),
                                FirstNumberOfEpoch(store_epoch_));
  if (planned.epoch == part_table_.epoch) {
    return;
  }
  RequireLease(write);
  write.transaction.conditions.push_back(
      {FleetKey(kPartsKey), parts_row_version_});
  write.transaction.puts.push_back(
      {FleetKey(kPartsKey), EncodePartTable(planned)});
  write.parts = std::move(planned);
}

void FleetAgent::AddView(FleetWrite& write) const {
  if (view_.id == view_written_) {
    return;
  }
  RequireLease(write);
  write.transaction.puts.push_back({FleetKey(kViewKey), EncodeViewRow(view_)});
  write.view = view_;
}

void FleetAgent::AddCrashes(FleetWrite& write) const {
  const std::uint64_t revision = crashes_.revision();
  if (revision == crashes_written_) {
    return;
  }
  RequireLease(write);
  write.transaction.puts.push_back(
      {FleetKey(kCrashesKey),
       EncodeCrashRow(crashes_.AllCrashes(clock_.Now()))});
  write.crashes = revision;
}

// @param with_member whether the write has the row of this instance
FleetWrite FleetAgent::PrepareWrite(bool with_member) {
  FleetWrite write;
  write.sent_at = boot_clock_.Now();
  write.sent_at_monotonic = clock_.Now();
  const Member own = OwnMember();
  AddLease(write);
  if (with_member) {
    write.transaction.puts.push_back(
        {FleetKey(std::string(kMemberPrefix) + own.name), EncodeMember(own)});
  }
  if (!leadership_.HoldsLease()) {
    return write;
  }
  if (!ending()) {
    members_.OnHeartbeat(own, clock_.Now());
    RefreshView();
    AddParts(write);
  }
  AddView(write);
  AddCrashes(write);
  return write;
}

// What others may do once the write is applied ends before it is sent: whether
// it was applied may stay unknown.
void FleetAgent::OnWriteSent(const FleetWrite& write) {
  if (write.step != LeaseStep::kNone) {
    leadership_.OnSent(write.lease, write.sent_at);
  }
  if (write.Releases()) {
    registry_.AllowLimitedSends(write.sent_at_monotonic);
  }
  parts_in_doubt_ = parts_in_doubt_ || write.parts.has_value();
}

void FleetAgent::OnWriteApplied(FleetWrite write, std::int64_t version) {
  last_write_at_ = write.sent_at;
  store_contact_at_ = std::max(store_contact_at_, write.sent_at);
  ExtendParts(write.sent_at);
  if (write.view) {
    view_written_ = write.view->id;
    view_row_version_ = version;
  }
  if (write.crashes) {
    crashes_written_ = *write.crashes;
    crashes_row_version_ = version;
  }
  if (write.step != LeaseStep::kNone) {
    OnLeaseWritten(write, version);
  }
  if (write.parts) {
    part_table_ = std::move(*write.parts);
    parts_row_version_ = version;
  }
  // No earlier write of the parts can be applied any more.
  if (write.parts || write.step != LeaseStep::kNone) {
    parts_in_doubt_ = false;
  }
  ApplyOwnParts(write.sent_at);
}

void FleetAgent::OnLeaseWritten(const FleetWrite& write, std::int64_t version) {
  if (!write.Releases()) {
    // The same margin to the end of the lease as that of orders.
    registry_.AllowLimitedSends(write.sent_at_monotonic +
                                settings_.lease_time / 2);
  }
  const std::string last_holder = leadership_.lease().holder;
  LeaderLease lease = write.lease;
  lease.row_version = version;
  leadership_.OnApplied(lease, write.sent_at);
  if (write.step == LeaseStep::kAcquire) {
    OnLeaseAcquired(last_holder, "answer");
  }
}

// @returns whether all that was to be written was
boost::asio::awaitable<bool> FleetAgent::WriteFleetTable(bool with_member) {
  FleetWrite write = PrepareWrite(with_member);
  if (write.transaction.puts.empty()) {
    co_return true;
  }
  const bool was_in_doubt = parts_in_doubt_;
  OnWriteSent(write);
  const Result<platform::RowCommit> commit = co_await store_.Commit(
      std::move(write.transaction), clock_.Now() + kFleetTableTimeout);
  if (commit) {
    store_clock_.OnAnswer({commit.value().epoch, commit.value().store_ms},
                          clock_.Now());
  }
  const bool applied =
      commit && commit.value().applied && commit.value().epoch == store_epoch_;
  if (applied) {
    OnWriteApplied(std::move(write), commit.value().version);
    co_return true;
  }
  if (commit && !commit.value().applied) {
    parts_in_doubt_ = was_in_doubt;
  }
  LogUnansweredWrite(write, commit);
  // Another instance may have written, or the store may have applied what it
  // did not answer; its rows are read before the next try.
  fleet_read_at_ = Instant{};
  co_return false;
}

void FleetAgent::LogUnansweredWrite(
    const FleetWrite& write,
    const Result<platform::RowCommit>& commit) const {
  if (commit) {
    return;
  }
  const std::string_view step = write.Releases()                    ? "release"
                                : write.step == LeaseStep::kAcquire ? "acquire"
                                : write.step == LeaseStep::kRenew   ? "renew"
                                                                    : "none";
  Log(LogLevel::kWarn, "fleet_write_unanswered",
      {{"lease", std::string(step)},
       {"term", std::to_string(write.lease.term)},
       {"parts", write.parts ? std::to_string(write.parts->epoch) : "none"},
       {"view", write.view ? write.view->id : "none"},
       {"error", commit.error().Line()}});
}

// Removes rows of members that are gone, or that reach a leader again and need
// none. The call is apart from the renewal of the lease: a row that its member
// writes meanwhile makes it fail, and the renewal does not wait for its answer.
boost::asio::awaitable<void> FleetAgent::RemoveOldRows() {
  const std::vector<MemberRows::OldRow> old = member_rows_.Old(clock_.Now());
  if (!leadership_.HoldsLease() || old.empty() || removing_rows_) {
    co_return;
  }
  removing_rows_ = true;
  platform::RowTransaction removal;
  removal.conditions.push_back(
      {FleetKey(kLeaseKey), leadership_.lease().row_version});
  for (const MemberRows::OldRow& row : old) {
    removal.conditions.push_back({FleetKey(row.key), row.version});
    removal.drops.push_back(FleetKey(row.key));
  }
  const Result<platform::RowCommit> commit = co_await store_.Commit(
      std::move(removal), clock_.Now() + kFleetTableTimeout);
  removing_rows_ = false;
  // What is there is read before the next try.
  fleet_read_at_ = Instant{};
  Log(LogLevel::kInfo, "rows_removed",
      {{"rows", std::to_string(old.size())},
       {"removed", commit && commit.value().applied ? "yes" : "no"}});
}

}  // namespace jackdaw::serving
