#pragma once

#include <cstdint>
#include <vector>

#include "core/time.h"

namespace jackdaw {

/// Step of a graceful shutdown.
enum class DrainStep : std::uint8_t {
  /// Serving as usual.
  kRunning,
  /// Left the list; callers that hold an older answer still come.
  kLeavingList,
  /// No caller should come any more; requests under way go on.
  kFinishing,
  /// The stop must end now; requests still under way are told so.
  kEnding,
  /// Storing what others must know.
  kFlushing,
  kDone,
};

/// What a shutdown asks of the instance, once each.
enum class DrainAction : std::uint8_t {
  /// Tell the platform's list; asked again until it is done.
  kAnnounce,
  /// Give up leases and shares of budgets.
  kHandOver,
  /// Refuse requests that still come; close idle connections.
  kRefuseNew,
  /// End requests under way with an explicit error.
  kEndRequests,
  /// Store refusal records and outcomes; asked again until it is done.
  kFlush,
  /// Everything is done: the process may end.
  kFinish,
};

/// What the instance sees of itself.
struct DrainStatus {
  bool announced = false;
  /// Requests under way, each from its first byte on.
  std::uint64_t in_flight = 0;
  /// Latest moment until which a caller may keep an answer of /v1/entry that
  /// names this instance.
  Instant entry_cached_until{};
  bool flushed = false;
};

/// Moments of a shutdown.
struct DrainTiming {
  /// Longest time in which other instances still name this one after it left
  /// the list.
  Micros list_lag{};
  /// Time that callers keep an answer of /v1/entry.
  Micros entry_keep_time{};
  /// Moment by which requests must have ended.
  Instant deadline{};
  /// Time for requests to end explicitly, and for the last writes.
  Micros end_grace = 2s;
  Micros flush_grace = 30s;
};

/// Order of a graceful shutdown. Pure: facts and `now` in, actions out.
/// Nothing is refused or closed before every answer that names this instance
/// has expired, and nothing under way is cut off before the deadline.
class DrainPlan {
 public:
  /// Begins the shutdown.
  void Begin(Instant now, const DrainTiming& timing);

  /// Goes on as far as the facts allow. Call at a steady pace.
  std::vector<DrainAction> Advance(Instant now, const DrainStatus& status);

  DrainStep step() const { return step_; }

 private:
  bool AdvanceLeavingList(Instant now,
                          const DrainStatus& status,
                          std::vector<DrainAction>& actions);
  void EnterStep(DrainStep step);

  DrainStep step_ = DrainStep::kRunning;
  DrainTiming timing_;
  Instant callers_gone_at_{};
  Instant announce_deadline_{};
  Instant step_deadline_{};
  bool announced_ = false;
};

}  // namespace jackdaw
