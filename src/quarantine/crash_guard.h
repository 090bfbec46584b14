#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>
#include <vector>

#include "decisions/decision_thread.h"
#include "quarantine/crash_broadcaster.h"
#include "quarantine/crash_store.h"
#include "targets/target_probe.h"

namespace jackdaw {

/// An attempt whose connection broke after bytes of the request were sent.
struct BrokenAttempt {
  std::string request_id;
  std::string digest;
  PickedTarget target;
  /// Whether the attempt held a claim.
  bool claimed = false;
};

/// Result of the assessment of a broken connection.
enum class CrashVerdict : std::uint8_t { kNotCrashed, kSuspect, kQuarantined };

/// Why a suspect got no claim.
enum class ClaimDenial : std::uint8_t {
  kNone,
  /// It runs at this or another instance, its record expired or its row
  /// changed, or the targets tried run other suspects. May be retried.
  kBusy,
  /// Not every peer confirmed that it does not run the suspect.
  kPeersUnconfirmed,
  kStoreDown,
  kNoTarget,
  kRetryBudget,
  kQuarantined,
};

/// The target at which a suspect may run, or the reason why it may not run.
struct SuspectClaimResult {
  ClaimDenial denial = ClaimDenial::kNone;
  PickedTarget target;
  /// For kQuarantined, when the quarantine ends.
  Instant until{};
};

/// Ensures that one request crashes at most two targets: determines whether a
/// broken connection was a crash, notifies the fleet of suspects, and lets a
/// suspect run only under a claim, with one run in the fleet at a time. Members
/// may be called from any thread.
class CrashGuard {
 public:
  /// @param thread thread of the platform client and of the peer service
  /// @param name name of this instance
  CrashGuard(Duty& thread,
             const MonotonicClock& clock,
             const Endpoint& platform,
             std::string name,
             FleetViewHolder& view,
             DecisionThread& decisions,
             PeerService& peers,
             TargetProbe& probe);

  void Start();

  /// Whether the suspects of the fleet have been read at least once.
  bool ready() const { return ready_; }
  /// Reads the suspects unless that was done. @returns the error of the read
  boost::asio::awaitable<Result<bool>> EnsureReady();

  /// Determines whether a broken attempt crashed its target. Must be called
  /// before the request is retried or rejected. Notifies the fleet of a crash
  /// before it returns the verdict.
  boost::asio::awaitable<Result<CrashVerdict>> OnConnectionBroken(
      BrokenAttempt broken);

  /// Picks a target for a suspect and claims the right to run it there.
  /// @param holder id of the request
  /// @param until latest end of the attempt
  boost::asio::awaitable<Result<SuspectClaimResult>>
  Claim(DispatchRequest order, std::string holder, Instant until);
  /// Releases the claim of an attempt that did not crash its target.
  /// @param completed whether the attempt ran to its end, which clears
  /// suspicion
  boost::asio::awaitable<Result<bool>> Release(std::string holder,
                                               std::string digest,
                                               std::string target,
                                               bool completed);

 private:
  // A release that is not yet stored in the table.
  struct PendingRelease {
    SuspectClaim claim;
    AttemptOutcome end = AttemptOutcome::kFailed;
  };

  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<Result<bool>> ReadRows();
  boost::asio::awaitable<void> PublishPending();
  boost::asio::awaitable<bool> HasCrashed(const PickedTarget& target);
  boost::asio::awaitable<Result<CrashVerdict>> Assess(BrokenAttempt broken);
  boost::asio::awaitable<Suspect> Publish(std::string digest, Suspect suspect);
  boost::asio::awaitable<Result<SuspectClaimResult>> DoClaim(
      DispatchRequest order,
      SuspectClaim claim);
  boost::asio::awaitable<SuspectClaimResult>
  ConfirmWithPeers(SuspectClaim claim, Suspect suspect, PickedTarget target);
  boost::asio::awaitable<SuspectClaimResult> ResolveLapsed(SuspectClaim claim,
                                                           Suspect suspect);
  boost::asio::awaitable<void> DoRelease(SuspectClaim claim,
                                         AttemptOutcome end);
  // Ends a dispatch whose attempt got no claim.
  void Cancel(const std::string& digest, const std::string& target);
  // Returns when the record of a crash that happens now expires.
  Instant SuspectExpiry() const;

  Duty& thread_;
  const MonotonicClock& clock_;
  FleetViewHolder& view_;
  DecisionThread& decisions_;
  TargetProbe& probe_;
  CrashStore store_;
  CrashBroadcaster peers_;
  std::atomic<bool> ready_{false};
  std::map<std::string, Suspect> unpublished_;
  std::vector<PendingRelease> unreleased_;
};

}  // namespace jackdaw
