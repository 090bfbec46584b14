#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"
#include "fleet/fleet_view.h"
#include "fleet/leadership.h"
#include "platform/store_types.h"
#include "quota/part_table.h"

namespace jackdaw::serving {

/// A write of rows of the fleet's table, and what is in them. All rows are
/// written or none. A write that is not answered may have been applied, or may
/// be later, as long as its conditions hold; each renewal of the lease ends
/// that.
struct FleetWrite {
  platform::RowTransaction transaction;
  /// What it does to the lease, and the lease that it writes if that is not
  /// kNone.
  LeaseStep step = LeaseStep::kNone;
  LeaderLease lease;
  /// The table of quota parts, the view and the revision of the crashes that it
  /// writes.
  std::optional<PartTable> parts;
  std::optional<FleetView> view;
  std::optional<std::uint64_t> crashes;
  /// Sending time, by the boot clock and by the monotonic one.
  Instant sent_at{};
  Instant sent_at_monotonic{};

  bool Releases() const { return step != LeaseStep::kNone && lease.released; }
};

}  // namespace jackdaw::serving
