#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

#include "core/duty.h"
#include "instance/fleet_view.h"
#include "once/expiry_sweep.h"
#include "once/intent_tracker.h"
#include "platform/table_store.h"

namespace jackdaw {

/// Submission of a call that must run at most once.
struct ClaimRequest {
  /// Row key of the call.
  std::string key;
  /// Digest of the request.
  std::string fingerprint;
  /// Unique over all instances.
  std::string request_id;
  /// Moment at which the claim is given up.
  Instant deadline{};
};

/// Runs an IntentTracker against the platform's table service, on the platform
/// thread. Its methods may be awaited on any thread.
class IntentStore {
 public:
  IntentStore(Duty& duty,
              const MonotonicClock& clock,
              const Endpoint& platform,
              const FleetViewHolder& view);

  /// Claims the right to dispatch a call.
  /// @returns the answer; kClaimed must be followed by one Release, Abandon or
  /// Finish. kOverloaded when too many calls are open; nothing was stored then
  boost::asio::awaitable<Result<ClaimResult>> Claim(ClaimRequest request);

  /// No byte of the call left: others may run it. Waits until that is stored.
  /// @param until moment to stop waiting; the write goes on
  boost::asio::awaitable<void> Release(CallId call, Instant until);

  /// The call ran with this outcome. Waits like Release.
  boost::asio::awaitable<void> Finish(CallId call,
                                      StoredOutcome outcome,
                                      Instant until);

  /// The call's outcome will not be known. Returns at once.
  void Abandon(CallId call);

  /// Starts to delete rows that have expired, and to share the table's writes
  /// among the instances seen.
  void Start();

  /// Calls with a claim or a write under way.
  std::size_t open_calls() const { return open_calls_; }

 private:
  // A coroutine on the platform thread that waits for a call.
  struct Waiter;

  boost::asio::awaitable<Result<ClaimResult>> DoClaim(ClaimRequest request);
  boost::asio::awaitable<Result<void>> AwaitSettled(CallId call, Instant until);
  boost::asio::awaitable<void> Send(SendTransaction send);
  boost::asio::awaitable<void> Read(SendRead read);
  boost::asio::awaitable<void> RunMaintenance();
  boost::asio::awaitable<void> DeleteExpired(Micros keep_time);
  void RunDueActions();
  void Execute(IntentAction action);

  Duty& duty_;
  const MonotonicClock& clock_;
  serving::platform::TableStore platform_;
  const FleetViewHolder& view_;
  IntentTracker tracker_{IntentLimits{}};
  ExpirySweep sweep_;
  std::map<CallId, std::shared_ptr<Waiter>> waiters_;
  boost::asio::steady_timer wake_;
  std::atomic<std::size_t> open_calls_{0};
};

}  // namespace jackdaw
