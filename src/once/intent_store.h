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

/// Submission that claims a call which must run at most once.
struct ClaimRequest {
  /// Row key of the call.
  std::string key;
  /// Digest of the request.
  std::string fingerprint;
  /// Id of this submission, unique across all instances.
  std::string request_id;
  /// Time at which the claim times out.
  Instant deadline{};
};

/// Connects an IntentTracker to the table service of the platform. Runs on the
/// platform thread; its methods may be awaited on any thread.
class IntentStore {
 public:
  IntentStore(Duty& duty,
              const MonotonicClock& clock,
              const Endpoint& platform,
              const FleetViewHolder& view);

  /// Claims the right to dispatch a call.
  /// @returns the result of the claim, or kOverloaded without a stored row when
  /// too many calls are open. After kClaimed, the caller must call exactly one
  /// of Release, Abandon and Finish.
  boost::asio::awaitable<Result<ClaimResult>> Claim(ClaimRequest request);

  /// Records that no byte of the call was sent, so that another submission may
  /// run it. Waits until the write is closed or `until` is reached. If the task
  /// queue of the thread is full, the outcome is recorded as unknown instead.
  /// @param until time at which to stop waiting; the write continues
  boost::asio::awaitable<void> Release(CallId call, Instant until);

  /// Records the outcome of a call that ran. Waits like Release.
  boost::asio::awaitable<void> Finish(CallId call,
                                      StoredOutcome outcome,
                                      Instant until);

  /// Records that the outcome of the call cannot be determined. Returns without
  /// waiting for the write.
  void Abandon(CallId call);

  /// Starts the periodic deletion of expired rows. The same task adjusts the
  /// transaction interval to the number of known instances, which share the
  /// write rate of the table.
  void Start();

  /// Number of calls with a claim, dispatch or write in progress.
  std::size_t open_calls() const { return open_calls_; }

 private:
  // Coroutine on the platform thread that waits for a call.
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
