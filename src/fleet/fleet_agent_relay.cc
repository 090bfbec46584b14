// Rows that the leader relays in the replies to heartbeats, and the watches of
// instances that read them from the store.
#include <algorithm>

#include "core/log.h"
#include "fleet/fleet_agent.h"
#include "fleet/fleet_timing.h"
#include "fleet/relayed_target.h"
#include "platform/tables.h"

namespace jackdaw::serving {
namespace {

// Least time between two log lines that this instance was told to read the
// store.
constexpr Micros kReferralLogInterval = 10s;

// Returns whether all compact rows of targets can be read.
bool CanRead(const platform::RowSet& rows) {
  return std::ranges::all_of(rows.rows, [](const platform::StoredRow& row) {
    return row.dropped || !IsRelayedTarget(row.value) ||
           DecodeRelayedTarget(row.at.key, row.value);
  });
}

}  // namespace

// The configuration gets at most half of what is left, so that a large one does
// not keep the rows of targets from the followers.
void FleetAgent::RelayRows(const HeartbeatRequest& heartbeat,
                           HeartbeatReply& reply) {
  const auto relay = [&](TableReplica& replica, const TableVersion& after,
                         std::size_t max_bytes) {
    RowDelta delta = heartbeat.row_form >= kRowForm
                         ? replica.CompactDeltaSince(after, max_bytes)
                         : replica.DeltaSince(after, max_bytes);
    relay_budget_.Spend(delta.bytes);
    relayed_.referrals_sent += delta.read_store ? 1 : 0;
    return delta;
  };
  const Instant now = clock_.Now();
  const Micros round = FollowerInterval(FleetSize());
  reply.config = relay(config_replica_, heartbeat.config_after,
                       relay_budget_.Left(now, round) / 2);
  reply.targets = relay(target_replica_, heartbeat.targets_after,
                        relay_budget_.Left(now, round));
}

// A leader of an earlier release relays only the configuration, so this
// instance reads the table from the store. The replica stays at the version up
// to which it has all rows.
void FleetAgent::OnRelayedConfig(const HeartbeatReply& reply) {
  const RowDelta& delta = reply.config;
  const auto rows = config_replica_.Expand(delta);
  const bool complete = rows && !delta.read_store;
  read_config_ = !complete || !reply.relays_evacuations;
  if (!complete) {
    LogReferral(platform::kConfigTable,
                rows ? "referred" : rows.error().message);
  } else if (reply.relays_evacuations) {
    OnConfigRows(rows.value(), delta.whole);
  } else {
    for (const platform::StoredRow& row : rows.value().rows) {
      if (row.at.key == platform::kConfigKey && !row.dropped) {
        TakeConfig(row.value);
      }
    }
  }
}

// Rows that cannot be read must not count as those of targets that are gone.
void FleetAgent::OnRelayedTargets(const RowDelta& delta) {
  const auto rows = target_replica_.Expand(delta);
  const bool readable = rows && CanRead(rows.value());
  read_targets_ = delta.read_store || !readable;
  if (read_targets_) {
    LogReferral(platform::kTargetTable, readable ? "referred" : "unreadable");
  } else {
    OnTargetRows(rows.value(), delta.whole, true);
  }
}

void FleetAgent::LogReferral(std::string_view table, std::string_view reason) {
  ++relayed_.referrals_received;
  const Instant now = clock_.Now();
  if (now - referral_logged_at_ < kReferralLogInterval) {
    return;
  }
  referral_logged_at_ = now;
  Log(LogLevel::kInfo, "store_referral",
      {{"table", std::string(table)},
       {"reason", std::string(reason)},
       {"leader", leadership_.lease().holder},
       {"referrals", std::to_string(relayed_.referrals_received)}});
}

void FleetAgent::ConfigureWatch(StoreWatch& watch,
                                const TableReplica& replica,
                                bool active) const {
  if (active) {
    watch.ResumeFrom(replica.version());
  }
  watch.SetLeads(leadership_.HoldsLease());
  watch.SetActive(active, ActivationSpread(FleetSize()));
}

void FleetAgent::UpdateWatches() {
  ConfigureWatch(config_watch_, config_replica_, !following_ || read_config_);
  ConfigureWatch(target_watch_, target_replica_, !following_ || read_targets_);
}

RelayCounters FleetAgent::relay_counters() const {
  RelayCounters counters = relayed_;
  for (const StoreWatch* watch : {&config_watch_, &target_watch_}) {
    counters.watch_as_leader += watch->calls().as_leader;
    counters.watch_as_follower += watch->calls().as_follower;
    counters.snapshot += watch->calls().snapshot;
  }
  counters.rows = store_.calls() - counters.watch_as_leader -
                  counters.watch_as_follower - counters.snapshot;
  counters.relayed_bytes = relay_budget_.total();
  return counters;
}

}  // namespace jackdaw::serving
