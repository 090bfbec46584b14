// The parts of the workspaces' quotas that this instance may spend.
#include "core/log.h"
#include "fleet/fleet_agent.h"

namespace jackdaw::serving {
namespace {

// Time after which a grant of parts is too old to be applied. With the age of
// the leader's last write it is less than the time of its lease.
constexpr Micros kMaxGrantAge = 1s;

}  // namespace

// Applies the leader's own parts of the table, of which its last write has
// shown that it is the newest.
// @param sent_at sending time of the write
void FleetAgent::ApplyOwnParts(Instant sent_at) {
  if (leadership_.HoldsLease() && part_table_.epoch > 0 && !parts_in_doubt_) {
    OnPartsGranted({part_table_.epoch,
                    PartsToApply(part_table_, settings_.name, quotas_.parts(),
                                 FirstNumberOfEpoch(store_epoch_))},
                   sent_at);
  }
}

// Gives up parts that the store's table no longer names. More parts are taken
// from a leader only: a replica of the store may lag behind.
void FleetAgent::LowerParts() {
  // Before the first grant: the table shows that nobody else uses them.
  if (quotas_.epoch() == 0 && !parts_reserved_ &&
      part_table_.epoch >= FirstNumberOfEpoch(store_epoch_)) {
    parts_reserved_ = true;
    quotas_.Reserve(part_table_.UsableBy(settings_.name), boot_clock_.Now());
  }
  if (leadership_.HoldsLease() || part_table_.epoch <= quotas_.epoch() ||
      quotas_.epoch() <= 0) {
    return;
  }
  SetParts(part_table_.UsableBy(settings_.name) & quotas_.parts(),
           part_table_.epoch);
}

// Takes parts from the leader. A process that was paused since it asked may
// not: others may hold them by now.
// @param sent_at sending time of the request to the leader or to the store
void FleetAgent::OnPartsGranted(const PartGrant& grant, Instant sent_at) {
  const bool stale = boot_clock_.Now() - sent_at > kMaxGrantAge;
  if (stale || grant.epoch < quotas_.epoch() ||
      (grant.epoch == quotas_.epoch() && grant.parts == quotas_.parts())) {
    return;
  }
  SetParts(grant.parts, grant.epoch);
}

// Fewer parts are in force here before a heartbeat confirms their epoch, and
// only then does the leader give them to others.
void FleetAgent::SetParts(const PartSet& parts, std::int64_t epoch) {
  if (parts != quotas_.parts()) {
    Log(LogLevel::kInfo, "parts_taken",
        {{"epoch", std::to_string(epoch)},
         {"parts", std::to_string(parts.count())},
         {"parts_before", std::to_string(quotas_.parts().count())}});
  }
  quotas_.SetParts(parts, epoch, boot_clock_.Now());
}

// @param contact_at time at which a request was sent that the leader or the
// store has answered since
void FleetAgent::ExtendParts(Instant contact_at) {
  registry_.OnContact(clock_.Now());
  quotas_.ExtendUntil(contact_at + kPartsLapseTimeout, boot_clock_.Now());
}

void FleetAgent::LogLapsedParts() {
  quotas_.DropIfLapsed(boot_clock_.Now());
  if (had_parts_ && quotas_.epoch() < 0) {
    Log(LogLevel::kWarn, "parts_lapsed",
        {{"leader", leadership_.lease().holder},
         {"last_write_ms_ago",
          std::to_string((boot_clock_.Now() - last_write_at_) / 1ms)}});
  }
  had_parts_ = quotas_.parts().any();
}

}  // namespace jackdaw::serving
