#pragma once

#include <cstdint>
#include <vector>

#include "core/time.h"

namespace jackdaw {

/// Step of a graceful shutdown.
enum class DrainStep : std::uint8_t {
  /// Serving normally.
  kRunning,
  /// Leaving the list of instances. Callers that hold an older answer of
  /// /v1/entry still send requests.
  kLeavingList,
  /// No new requests are expected; those in progress go on.
  kFinishing,
  /// The deadline has passed: requests still in progress end with an error.
  kEnding,
  /// Storing the records that other instances need.
  kFlushing,
  kDone,
};

/// Action that the instance carries out for a shutdown, at most once unless
/// stated otherwise.
enum class DrainAction : std::uint8_t {
  /// Announce the shutdown in the platform's list; repeated until it is done or
  /// timed out.
  kAnnounce,
  /// Release leases and shares of budgets.
  kHandOver,
  /// Refuse new requests; close idle connections.
  kRefuseNew,
  /// End requests in progress with an explicit error.
  kEndRequests,
  /// Store refusal records and outcomes; repeated until it is done or timed
  /// out.
  kFlush,
  /// The shutdown is complete or timed out: the process may exit.
  kFinish,
};

/// State of the instance that a shutdown depends on.
struct DrainStatus {
  bool announced = false;
  /// Requests in progress, each counted from its first byte on.
  std::uint64_t in_flight = 0;
  /// Latest time until which a caller may keep an answer of /v1/entry that
  /// names this instance.
  Instant entry_cached_until{};
  bool flushed = false;
};

/// Time limits of a shutdown.
struct DrainTiming {
  /// Longest time for which other instances still name this one after it left
  /// the list.
  Micros list_lag{};
  /// Time for which callers may keep an answer of /v1/entry.
  Micros entry_keep_time{};
  /// Time by which requests must have ended.
  Instant deadline{};
  /// Time after the deadline for requests to end with their error, and time
  /// for the last writes.
  Micros end_grace = 2s;
  Micros flush_grace = 30s;
};

/// State machine of a graceful shutdown. Takes the status and `now`, returns
/// the actions, and does no I/O. Before the deadline, no request is refused and
/// no connection closed until every answer of /v1/entry that names this
/// instance has expired, and no request in progress is ended.
class DrainPlan {
 public:
  /// Starts the shutdown.
  void Begin(Instant now, const DrainTiming& timing);

  /// Advances as far as the status allows. Call at a regular interval.
  /// @returns the actions to carry out now
  std::vector<DrainAction> Advance(Instant now, const DrainStatus& status);

  DrainStep step() const { return step_; }

 private:
  bool AdvanceLeavingList(Instant now,
                          const DrainStatus& status,
                          std::vector<DrainAction>& actions);
  void EnterStep(DrainStep step);

  DrainStep step_ = DrainStep::kRunning;
  DrainTiming timing_;
  Instant entry_answers_expire_at_{};
  Instant announce_deadline_{};
  Instant step_deadline_{};
  bool announced_ = false;
};

}  // namespace jackdaw
