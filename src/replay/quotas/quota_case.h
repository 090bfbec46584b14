#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "core/time.h"

namespace jackdaw {

/// What happens to the fleet while quotas are measured.
enum class QuotaFault : std::uint8_t {
  kNone,
  /// An instance is lost for good.
  kLost,
  /// An instance stands still for a few seconds, then goes on.
  kPaused,
  /// An instance stands still until its parts have lapsed, then goes on.
  kPausedLong,
  /// An instance reaches callers and peers, but neither leader nor store.
  kCutFromLeader,
  /// A third of the instances does not reach the others.
  kPartition,
  /// All quotas are halved.
  kLowered,
  /// The store comes back from an older copy, the leader knows no more.
  kRestored,
  /// All instances are restarted at once.
  kRestarted,
  /// The instances are restarted one after the other, with notice.
  kRolling,
};

struct QuotaCase {
  std::string_view name;
  QuotaFault fault = QuotaFault::kNone;
  /// Part of the requests that come in at a tenth of the instances.
  double skew = 0;
  /// Demand of the largest workspace during the fault, as a multiple.
  double surge = 1;
};

/// All cases; the first has no fault.
std::span<const QuotaCase> QuotaCases();

/// Ways to hold quotas that are compared.
enum class QuotaWay : std::uint8_t {
  /// Each instance holds an equal part of all quotas and borrows from three
  /// random peers.
  kEqualParts,
  /// A few instances hold the parts of a workspace; the others ask them for
  /// the units of each request.
  kHeldParts,
  /// The same, and the others ask for a second's demand ahead.
  kHeldPartsAhead,
  /// Held parts, but a holder uses them after they lapsed: shows that the
  /// auditor notices.
  kIgnoresLapse,
};

std::string_view Name(QuotaWay way);

struct QuotaRun {
  std::uint64_t seed = 1;
  std::size_t instances = 8;
  std::size_t workspaces = 40;
  /// Requests a second over all workspaces, without a surge.
  double requests_per_s = 100;
  /// Quota of each workspace as a multiple of its demand.
  double headroom = 1.8;
  /// Time before the requests, and that from then on until the fault.
  Micros start = 14s;
  Micros warm_up = 10s;
  Micros fault = 40s;
};

struct QuotaFigures {
  std::int64_t requests = 0;
  std::int64_t refused = 0;
  /// Refusals beyond those of one bucket for the whole fleet, over all
  /// workspaces, and among the largest tenth of the requests.
  std::int64_t wrongful = 0;
  std::int64_t largest = 0;
  std::int64_t largest_wrongful = 0;
  /// Most units over the bound in a window of any workspace.
  double units_over = 0;
  /// Parts that two instances could use at the same time.
  std::int64_t double_held = 0;
  /// Datagrams and bytes a second, with 28 bytes of headers each: the mean of
  /// the instances and the busiest one, both directions.
  double messages_per_s = 0;
  double busiest_messages_per_s = 0;
  double busiest_bytes_per_s = 0;
  /// Time that the granted requests waited for units.
  Micros wait_p50{};
  Micros wait_p99{};
};

/// Plays a case in virtual time.
QuotaFigures RunQuotas(const QuotaRun& run,
                       const QuotaCase& shape,
                       QuotaWay way);

}  // namespace jackdaw
